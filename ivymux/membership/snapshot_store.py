"""Stores snapshots in a folder: atomic writes, a bounded history, damaged files are skipped.

The folder also carries commands from the command line to the running gateway, as files.
"""

from __future__ import annotations

import contextlib
import logging
import os
import re
import tempfile
from pathlib import Path

from ivymux.inventory.snapshot import Snapshot, SnapshotError, decode, encode

MAX_SNAPSHOTS = 10
FILE_NAME_PATTERN = re.compile(r"inventory-(\d{10})\.snap")
COMMANDS = ("confirm", "rollback")  # names of the files by which the command line sends commands
log = logging.getLogger("ivymux")


class SnapshotStore:
    """The snapshots of one gateway; in memory only if there is no folder or the folder can't be written."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.recent: list[Snapshot] = []
        self.is_durable = folder is not None
        if folder is None:
            log.warning("inventory: no state folder: the last good list is kept in memory only")

    def list_files(self) -> list[Path]:
        """Return the snapshots' files, newest first."""
        if self.folder is None:
            return []
        try:
            names = [p for p in self.folder.iterdir() if FILE_NAME_PATTERN.fullmatch(p.name)]
        except OSError:
            return []
        return sorted(names, reverse=True)

    def load_history(self) -> list[Snapshot]:
        """Return all undamaged snapshots, newest first."""
        found = {s.number: s for s in self.recent}
        for path in self.list_files():
            try:
                snapshot = decode(path.read_bytes())
            except (OSError, SnapshotError) as error:
                log.warning("inventory: skipping snapshot %s: %s", path, error)
                continue
            found.setdefault(snapshot.number, snapshot)
        return [found[number] for number in sorted(found, reverse=True)]

    def load_last(self) -> Snapshot | None:
        """Return the newest undamaged snapshot."""
        for path in self.list_files():
            with contextlib.suppress(OSError, SnapshotError):
                found = decode(path.read_bytes())
                if not self.recent or found.number >= self.recent[-1].number:
                    return found
                break
        return self.recent[-1] if self.recent else None

    def next_number(self) -> int:
        """Return a number above all existing ones, including those of damaged files."""
        numbers = [int(m[1]) for p in self.list_files() if (m := FILE_NAME_PATTERN.fullmatch(p.name))]
        return max([*numbers, *(s.number for s in self.recent)], default=0) + 1

    def save(self, snapshot: Snapshot) -> bool:
        """Store a snapshot and return whether it is on disk.

        On a write error, as on a full disk, the snapshot is kept in memory and the gateway goes on.
        """
        self.recent = [*self.recent, snapshot][-MAX_SNAPSHOTS:]
        if self.folder is None:
            return False
        try:
            self.write(snapshot)
        except OSError as error:
            if self.is_durable:
                log.error("inventory: the list is kept in memory only: %s", error)
            self.is_durable = False
            return False
        self.is_durable = True
        for path in self.list_files()[MAX_SNAPSHOTS:]:
            with contextlib.suppress(OSError):
                path.unlink()
        return True

    def write(self, snapshot: Snapshot) -> None:
        """Write a snapshot's file atomically and durably.  Raises OSError."""
        assert self.folder is not None
        self.folder.mkdir(parents=True, exist_ok=True)
        handle, temporary_name = tempfile.mkstemp(dir=self.folder, suffix=".part")
        try:
            with os.fdopen(handle, "wb") as sink:
                sink.write(encode(snapshot))
                sink.flush()
                os.fsync(sink.fileno())
            os.replace(temporary_name, self.folder / f"inventory-{snapshot.number:010d}.snap")
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary_name)
            raise
        folder_handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder_handle)
        finally:
            os.close(folder_handle)

    # --- commands ------------------------------------------------------------------------------------

    def write_command(self, command: str, text: str) -> None:
        """Write a command for the running gateway.  Raises OSError."""
        assert self.folder is not None and command in COMMANDS
        self.folder.mkdir(parents=True, exist_ok=True)
        part = self.folder / f"{command}.part"
        part.write_text(text)
        part.replace(self.folder / command)

    def take_command(self, command: str) -> str | None:
        """Return the text of a pending command and remove it; None if there is none."""
        if self.folder is None:
            return None
        path = self.folder / command
        try:
            text = path.read_text()[:200].strip()
            path.unlink()
        except (OSError, UnicodeDecodeError):
            return None
        return text
