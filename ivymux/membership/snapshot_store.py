"""Snapshots in a folder: written whole or not at all, a short history, damaged ones passed over."""

from __future__ import annotations

import contextlib
import logging
import os
import re
import tempfile
from pathlib import Path

from ivymux.inventory.snapshot import Snapshot, SnapshotError, decode, encode

HISTORY = 10
NAME = re.compile(r"inventory-(\d{10})\.snap")
REQUESTS = ("confirm", "rollback")  # files by which a command asks a front door that runs
log = logging.getLogger("ivymux")


class Keeper:
    """The snapshots of one front door; in memory without a folder, or where that can't be written."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.memory: list[Snapshot] = []
        self.lasting = folder is not None
        if folder is None:
            log.warning("inventory: no state folder: the last good list is kept in memory only")

    def files(self) -> list[Path]:
        """The snapshots' files, the newest first."""
        if self.folder is None:
            return []
        try:
            names = [p for p in self.folder.iterdir() if NAME.fullmatch(p.name)]
        except OSError:
            return []
        return sorted(names, reverse=True)

    def history(self) -> list[Snapshot]:
        """All snapshots that are whole, the newest first."""
        found = {s.number: s for s in self.memory}
        for path in self.files():
            try:
                snapshot = decode(path.read_bytes())
            except (OSError, SnapshotError) as error:
                log.warning("inventory: %s is passed over: %s", path, error)
                continue
            found.setdefault(snapshot.number, snapshot)
        return [found[number] for number in sorted(found, reverse=True)]

    def last(self) -> Snapshot | None:
        for path in self.files():
            with contextlib.suppress(OSError, SnapshotError):
                found = decode(path.read_bytes())
                if not self.memory or found.number >= self.memory[-1].number:
                    return found
                break
        return self.memory[-1] if self.memory else None

    def next_number(self) -> int:
        """Beyond all there are, damaged ones too: their names are taken."""
        numbers = [int(m[1]) for p in self.files() if (m := NAME.fullmatch(p.name))]
        return max([*numbers, *(s.number for s in self.memory)], default=0) + 1

    def keep(self, snapshot: Snapshot) -> bool:
        """Keep a snapshot; whether it lasts.  A disk that is full costs the history, never the service."""
        self.memory = [*self.memory, snapshot][-HISTORY:]
        if self.folder is None:
            return False
        try:
            self.write(snapshot)
        except OSError as error:
            if self.lasting:
                log.error("inventory: the list is kept in memory only: %s", error)
            self.lasting = False
            return False
        self.lasting = True
        for path in self.files()[HISTORY:]:
            with contextlib.suppress(OSError):
                path.unlink()
        return True

    def write(self, snapshot: Snapshot) -> None:
        assert self.folder is not None
        self.folder.mkdir(parents=True, exist_ok=True)
        handle, name = tempfile.mkstemp(dir=self.folder, suffix=".part")
        try:
            with os.fdopen(handle, "wb") as sink:
                sink.write(encode(snapshot))
                sink.flush()
                os.fsync(sink.fileno())
            os.replace(name, self.folder / f"inventory-{snapshot.number:010d}.snap")
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(name)
            raise
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    # --- what commands ask ---------------------------------------------------------------------------

    def ask(self, request: str, text: str) -> None:
        """Leave a request for the front door that runs.  Raises OSError."""
        assert self.folder is not None and request in REQUESTS
        self.folder.mkdir(parents=True, exist_ok=True)
        part = self.folder / f"{request}.part"
        part.write_text(text)
        part.replace(self.folder / request)

    def asked(self, request: str) -> str | None:
        """Take a request, once."""
        if self.folder is None:
            return None
        path = self.folder / request
        try:
            text = path.read_text()[:200].strip()
            path.unlink()
        except (OSError, UnicodeDecodeError):
            return None
        return text
