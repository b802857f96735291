"""A tally that outlives its process: each change is in the file before it is answered.

What was answered is there after the process was killed at any point; after a loss of power it may lack the
last SYNC seconds.  Where the disk has no room it serves on from memory, says so, and writes all anew once
there is some.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import logging
import os
import secrets
import time
from pathlib import Path

from ivymux.tally.journal import JournalError, encode_header, encode_record, parse_journal
from ivymux.tally.store import MAX_LIFE_S, MAX_NAMES, CounterStore

SYNC = 0.1  # seconds between writes to the disk itself
LOOK = 1.0  # seconds between looks at the file's size
LEAST_LOG = 16 << 20  # bytes of a file that is not written anew
WASTE = 4  # times what it has to hold, from which on a file is written anew
PASSES = 2  # over what comes while a file is written anew
SLICE = 2000  # names written before calls go between
log = logging.getLogger("ivymux")


class DurableError(OSError):
    """A file that a tally can't be kept in."""


class DurableStore(CounterStore):
    """Times are Unix times, as names live on over a restart; a clock that goes back stands still here."""

    def __init__(self, path: Path, max_names: int = MAX_NAMES) -> None:
        """Go on with what the file holds.  Raises DurableError; one that is no tally's is left as it is."""
        super().__init__(max_names)
        self.path, self.incarnation = path, secrets.token_bytes(16)
        self.lives: dict[bytes, float] = {}
        self.pending: list[bytes] = []
        self.behind: list[bytes] | None = None  # changes since a new file was begun
        self.trouble, self.dirty, self.size, self.latest = "", False, 0, 0.0
        try:
            self.handle = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self.recover()
        except JournalError as error:
            os.close(self.handle)
            raise DurableError(f"{path}: {error}: name another file, or move this one away") from None
        except OSError as error:
            raise DurableError(f"{path}: {error.strerror}") from None

    def recover(self) -> None:
        data = self.path.read_bytes()
        if not data:
            self.size = os.write(self.handle, encode_header(self.incarnation))
            os.fsync(self.handle)
            return
        found = parse_journal(data)
        if found.good < len(data):
            # Killed in the middle of a write; or damage, which loses what comes behind it.
            log.warning("tally: %d bytes at the file's end are not whole: left out", len(data) - found.good)
            os.ftruncate(self.handle, found.good)
        os.lseek(self.handle, found.good, os.SEEK_SET)
        self.size, self.incarnation, now = found.good, found.incarnation, time.time()
        for name, (total, ends) in found.totals.items():
            if ends > now:
                self.totals[name], self.lives[name] = total, ends
                self.expiries.append((ends, name))
        heapq.heapify(self.expiries)

    def clock(self) -> float:
        self.latest = max(self.latest, time.time())
        return self.latest

    def add(self, name: bytes, amount: float, life: float, now: float) -> float:
        total = super().add(name, amount, life, now)
        ends = self.lives.get(name)
        if ends is None:
            ends = self.lives[name] = now + min(life, MAX_LIFE_S)
        self.pending.append(encode_record(name, total, ends))
        return total

    def expire(self, now: float) -> None:
        while self.expiries and self.expiries[0][0] <= now:
            name = heapq.heappop(self.expiries)[1]
            del self.totals[name]
            del self.lives[name]
            self.recent_calls.pop(name, None)

    # --- the file ------------------------------------------------------------------------------------------

    def flush(self) -> None:
        """Hand what changed to the file: called before its answers leave."""
        if not self.pending:
            return
        data, self.pending = b"".join(self.pending), []
        if self.behind is not None:
            self.behind.append(data)
        if self.trouble:
            return
        try:
            written = 0
            while written < len(data):
                written += os.write(self.handle, data[written:])
            self.size += len(data)
            self.dirty = True
        except OSError as error:
            self.fail(error)

    def fail(self, error: OSError) -> None:
        """No room: what stands there stays whole, and the counts go on in memory."""
        self.trouble = error.strerror or str(error)
        log.error("tally: the file can't be written (%s): counts go on in memory only", self.trouble)
        with contextlib.suppress(OSError):
            os.ftruncate(self.handle, self.size)
            os.lseek(self.handle, self.size, os.SEEK_SET)

    async def tend(self) -> None:
        """Write to the disk now and then, and the file anew where it has grown or could not be written."""
        looked = time.monotonic()
        while True:
            await asyncio.sleep(SYNC)
            if self.dirty:
                self.dirty = False
                with contextlib.suppress(OSError):
                    await asyncio.to_thread(os.fsync, self.handle)
            if time.monotonic() >= looked + LOOK:
                looked = time.monotonic()
                if self.trouble or self.size > max(LEAST_LOG, WASTE * 48 * len(self.totals)):
                    await self.rewrite()

    async def rewrite(self) -> None:
        """Write all that lives into a new file and put it in the place of the old one, while calls go on."""
        part = self.path.with_name(self.path.name + ".part")
        self.behind = []
        handle = -1
        try:
            handle = os.open(part, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            size = put(handle, encode_header(self.incarnation))
            names = list(self.totals)
            for at in range(0, len(names), SLICE):
                found = [n for n in names[at : at + SLICE] if n in self.totals]
                size += put(handle, b"".join(encode_record(n, self.totals[n], self.lives[n]) for n in found))
                await asyncio.sleep(0)
            for _ in range(PASSES):  # what came meanwhile, and what came while that was written
                data, self.behind = b"".join(self.behind), []
                size += put(handle, data)
                await asyncio.to_thread(os.fsync, handle)
            size += put(handle, b"".join(self.behind))  # the rest without a pause, or it would never end
            self.dirty = True
            os.replace(part, self.path)
        except OSError as error:
            if not self.trouble:
                self.fail(error)
            if handle >= 0:
                os.close(handle)
            with contextlib.suppress(OSError):
                part.unlink()
        else:
            os.close(self.handle)
            if self.trouble:
                log.info("tally: the file can be written again")
            self.handle, self.size, self.trouble = handle, size, ""
        finally:
            self.behind = None

    def close(self) -> None:
        self.flush()
        with contextlib.suppress(OSError):
            os.fsync(self.handle)
        os.close(self.handle)


def put(handle: int, data: bytes) -> int:
    """Write all of it; its length.  Raises OSError."""
    written = 0
    while written < len(data):
        written += os.write(handle, data[written:])
    return written
