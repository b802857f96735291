"""A counter store that survives restarts: each change is in the file before its reply is sent.

A process that is killed loses none of the replied totals; a power loss may lose those of the last
SYNC_PERIOD_S.  When the disk is full, the store logs an error, keeps serving from memory, and rewrites the
file once there is space.
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

SYNC_PERIOD_S = 0.1  # between calls of fsync
SIZE_CHECK_PERIOD_S = 1.0
MIN_REWRITE_BYTES = 16 << 20  # smaller files are not rewritten
REWRITE_RATIO = 4  # a file is rewritten if it is this many times larger than its live records
ESTIMATED_RECORD_BYTES = 48  # of one record in the file
CATCH_UP_PASSES = 2  # over the changes that arrive during a rewrite
REWRITE_BATCH_NAMES = 2000  # names written before the event loop serves other calls
log = logging.getLogger("ivymux")


class CounterFileError(OSError):
    """A file cannot be used to store the counters."""


class DurableStore(CounterStore):
    """A counter store with a file.

    Times are Unix times, because names keep their expiry over a restart.  If the system clock goes back, the
    store's clock stops until the system clock has caught up.
    """

    def __init__(self, path: Path, max_names: int = MAX_NAMES) -> None:
        """Restore the totals from the file, or create it.

        Raises CounterFileError; a file in another format is left unchanged.
        """
        super().__init__(max_names)
        self.path, self.incarnation = path, secrets.token_bytes(16)
        self.expires_at: dict[bytes, float] = {}
        self.pending: list[bytes] = []  # encoded records not yet in the file
        self.rewrite_changes: list[bytes] | None = None  # since the current rewrite began
        self.write_error = ""  # why the file cannot be written; empty if it can be
        self.needs_sync, self.size, self.last_time = False, 0, 0.0
        try:
            self.fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self.recover()
        except JournalError as error:
            os.close(self.fd)
            raise CounterFileError(f"{path}: {error}: name another file, or move this one away") from None
        except OSError as error:
            raise CounterFileError(f"{path}: {error.strerror}") from None

    def recover(self) -> None:
        """Load the totals that have not expired; cut off what follows the last valid record."""
        data = self.path.read_bytes()
        if not data:
            self.size = os.write(self.fd, encode_header(self.incarnation))
            os.fsync(self.fd)
            return
        contents = parse_journal(data)
        if contents.valid_bytes < len(data):
            # The process was killed during a write, or the file is damaged: then the records behind the
            # damaged one are lost too.
            log.warning(
                "tally: discarding %d bytes at the end of the file that are incomplete or damaged",
                len(data) - contents.valid_bytes,
            )
            os.ftruncate(self.fd, contents.valid_bytes)
        os.lseek(self.fd, contents.valid_bytes, os.SEEK_SET)
        self.size, self.incarnation, now = contents.valid_bytes, contents.incarnation, time.time()
        for name, (total, expires_at) in contents.totals.items():
            if expires_at > now:
                self.totals[name], self.expires_at[name] = total, expires_at
                self.expiries.append((expires_at, name))
        heapq.heapify(self.expiries)

    def clock(self) -> float:
        """Return the Unix time; never goes back."""
        self.last_time = max(self.last_time, time.time())
        return self.last_time

    def add(self, name: bytes, amount: float, life: float, now: float) -> float:
        total = super().add(name, amount, life, now)
        expires_at = self.expires_at.get(name)
        if expires_at is None:
            expires_at = self.expires_at[name] = now + min(life, MAX_LIFE_S)
        self.pending.append(encode_record(name, total, expires_at))
        return total

    def expire(self, now: float) -> None:
        while self.expiries and self.expiries[0][0] <= now:
            name = heapq.heappop(self.expiries)[1]
            del self.totals[name]
            del self.expires_at[name]
            self.recent_calls.pop(name, None)

    # --- the file ------------------------------------------------------------------------------------------

    def flush(self) -> None:
        """Write the pending records to the file; called before their replies are sent."""
        if not self.pending:
            return
        data, self.pending = b"".join(self.pending), []
        if self.rewrite_changes is not None:
            self.rewrite_changes.append(data)
        if self.write_error:
            return
        try:
            written = 0
            while written < len(data):
                written += os.write(self.fd, data[written:])
            self.size += len(data)
            self.needs_sync = True
        except OSError as error:
            self.on_write_error(error)

    def on_write_error(self, error: OSError) -> None:
        """Cut off an incomplete write, and continue in memory only."""
        self.write_error = error.strerror or str(error)
        log.error("tally: the file can't be written (%s): counters are in memory only", self.write_error)
        with contextlib.suppress(OSError):
            os.ftruncate(self.fd, self.size)
            os.lseek(self.fd, self.size, os.SEEK_SET)

    async def maintain(self) -> None:
        """Sync the file periodically, and rewrite it when it has grown too large or could not be written."""
        checked_at = time.monotonic()
        while True:
            await asyncio.sleep(SYNC_PERIOD_S)
            if self.needs_sync:
                self.needs_sync = False
                with contextlib.suppress(OSError):
                    await asyncio.to_thread(os.fsync, self.fd)
            if time.monotonic() >= checked_at + SIZE_CHECK_PERIOD_S:
                checked_at = time.monotonic()
                live_bytes = ESTIMATED_RECORD_BYTES * len(self.totals)
                if self.write_error or self.size > max(MIN_REWRITE_BYTES, REWRITE_RATIO * live_bytes):
                    await self.rewrite()

    async def rewrite(self) -> None:
        """Write the live totals to a new file and replace the old one by it, while calls are served."""
        part_path = self.path.with_name(self.path.name + ".part")
        self.rewrite_changes = []
        fd = -1
        try:
            fd = os.open(part_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            size = write_all(fd, encode_header(self.incarnation))
            names = list(self.totals)
            for start in range(0, len(names), REWRITE_BATCH_NAMES):
                live = [n for n in names[start : start + REWRITE_BATCH_NAMES] if n in self.totals]
                records = (encode_record(n, self.totals[n], self.expires_at[n]) for n in live)
                size += write_all(fd, b"".join(records))
                await asyncio.sleep(0)
            # The first pass writes the changes made during the batches, the next those made during that pass.
            for _ in range(CATCH_UP_PASSES):
                data, self.rewrite_changes = b"".join(self.rewrite_changes), []
                size += write_all(fd, data)
                await asyncio.to_thread(os.fsync, fd)
            # Writes the rest without yielding to the event loop, as otherwise changes could arrive forever.
            size += write_all(fd, b"".join(self.rewrite_changes))
            self.needs_sync = True
            os.replace(part_path, self.path)
        except OSError as error:
            if not self.write_error:
                self.on_write_error(error)
            if fd >= 0:
                os.close(fd)
            with contextlib.suppress(OSError):
                part_path.unlink()
        else:
            os.close(self.fd)
            if self.write_error:
                log.info("tally: the file can be written again")
            self.fd, self.size, self.write_error = fd, size, ""
        finally:
            self.rewrite_changes = None

    def close(self) -> None:
        """Write and sync what is pending, and close the file."""
        self.flush()
        with contextlib.suppress(OSError):
            os.fsync(self.fd)
        os.close(self.fd)


def write_all(fd: int, data: bytes) -> int:
    """Write all of the data and return its length.  Raises OSError."""
    written = 0
    while written < len(data):
        written += os.write(fd, data[written:])
    return written
