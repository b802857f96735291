"""Passwords that are kept in files."""

from __future__ import annotations

from pathlib import Path

from ivymux.data_plane.limits import ConfigError


def read_password(folder: Path, name: str, setting: str) -> str:
    """Return the first line of the file `name`; empty if no file is named.

    Raises ConfigError with `setting`, the key that names the file, but never with the file's contents.
    """
    if not name:
        return ""
    try:
        password = (folder / name).read_text(encoding="utf-8").partition("\n")[0].strip()
    except (OSError, UnicodeDecodeError):
        password = ""
    if not password:
        raise ConfigError(f"{setting}: {name} has no password in its first line")
    return password
