"""Reads the settings file at a program's start, while another program may be writing it."""

from __future__ import annotations

import time
from pathlib import Path

from ivymux.runtime.settings import Settings, SettingsError, load

RETRY_INTERVAL_S = 0.02
# For how long a file is read again that has not changed and cannot be used.
MAX_EMPTY_S = 10.0  # whoever emptied it, or has not created it yet, still has to write it
MAX_INVALID_S = 1.0  # a part of it may be missing


def file_fingerprint(path: Path) -> object:
    """Return a value that changes when the file does; None if the file can't be read."""
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def is_empty(path: Path) -> bool:
    """Whether the file is missing or holds nothing."""
    try:
        return path.stat().st_size == 0
    except OSError:
        return True


def load_when_written(path: Path) -> tuple[Settings, object]:
    """Return the settings, and the file's fingerprint from before they were read.

    A file that cannot be used is read again until it has not changed for a while.  Raises SettingsError.
    """
    previous, changed_at = file_fingerprint(path), time.monotonic()
    while True:
        fingerprint, now = file_fingerprint(path), time.monotonic()
        if fingerprint != previous:
            previous, changed_at = fingerprint, now
        try:
            return load(path), fingerprint
        except SettingsError:
            max_unchanged_s = MAX_EMPTY_S if is_empty(path) else MAX_INVALID_S
            has_changed = file_fingerprint(path) != fingerprint  # while it was read
            if not has_changed and now - changed_at > max_unchanged_s:
                raise
        time.sleep(RETRY_INTERVAL_S)
