"""Passwords that stand in files of their own."""

from __future__ import annotations

from pathlib import Path

from ivymux.data_plane.limits import ConfigError


def read_password(folder: Path, name: str, place: str) -> str:
    """The first line of a file; empty where none is named.  Raises ConfigError, whose text never says what is
    in the file.
    """
    if not name:
        return ""
    try:
        found = (folder / name).read_text(encoding="utf-8").partition("\n")[0].strip()
    except (OSError, UnicodeDecodeError):
        found = ""
    if not found:
        raise ConfigError(f"{place}: {name} has no password in its first line")
    return found
