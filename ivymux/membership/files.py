"""Reads an inventory's files consistently, and detects changes to them by their metadata."""

from __future__ import annotations

import os
from hashlib import sha256
from pathlib import Path

import msgspec
from msgspec.structs import replace

from ivymux.inventory.ansible import VariableFolders, read_ansible
from ivymux.inventory.csv_reader import MAX_BYTES, read_csv
from ivymux.inventory.model import GatewayAddresses, ParsedInventory

SHEET_SUFFIXES = (".csv", ".tsv", ".txt")
ANSIBLE_SUFFIXES = (".yml", ".yaml", ".json")
MAX_FILES = 5_000  # variable files next to one inventory
VARIABLE_FOLDERS = ("group_vars", "host_vars")


class FilesError(OSError):
    """The files can't be read now, so the last good list stays in force."""


class Content(msgspec.Struct, frozen=True):
    """The bytes of an inventory file and of its variable files, all read at the same state.

    `beside` maps a folder (group_vars or host_vars) and a group or host to its files, by relative path.
    """

    name: str
    data: bytes
    beside: dict[str, dict[str, dict[str, bytes]]]

    @property
    def digest(self) -> str:
        """SHA-256 of all the bytes and their file names, in hex."""
        return sha256(msgspec.msgpack.encode(self)).hexdigest()


def is_csv(path: Path) -> bool:
    """Whether an inventory is read as CSV: all files whose suffix is not one of Ansible's are."""
    return path.suffix.lower() not in ANSIBLE_SUFFIXES


def list_variable_files(path: Path) -> list[Path]:
    """Return the files in group_vars and host_vars next to an Ansible inventory.  Raises FilesError."""
    found: list[Path] = []
    if is_csv(path):
        return found
    for folder in VARIABLE_FOLDERS:
        top = path.parent / folder
        # Only a missing folder counts as empty: one that can't be read must not look as if it had no files.
        for parent, folders, files in os.walk(top, onerror=raise_unreadable) if top.exists() else ():
            folders.sort()
            found += [Path(parent) / name for name in sorted(files) if not name.startswith((".", "~"))]
            if len(found) > MAX_FILES:
                raise FilesError(f"more than {MAX_FILES} variable files next to {path.name}")
    return [p for p in found if p.suffix.lower() in (*ANSIBLE_SUFFIXES, "")]


def raise_unreadable(error: OSError) -> None:
    """Error handler of `os.walk`, which ignores unreadable folders by default.  Raises FilesError."""
    raise FilesError(f"{error.filename} can't be read: {error.strerror}")


def fingerprint(path: Path) -> object:
    """Return a value that changes with the files' metadata; None if the file is missing or unreadable."""
    entries = []
    try:
        for part in (path, *list_variable_files(path)):
            stat = part.stat()
            # The change time detects a write even if a tool restores the modification time.
            entries.append(
                (str(part), stat.st_mtime_ns, stat.st_ctime_ns, stat.st_size, stat.st_ino, stat.st_dev)
            )
    except OSError:
        return None
    return tuple(entries)


def read_content(path: Path) -> Content:
    """Read an inventory and its variable files.  Raises FilesError, also if one changed during the read."""
    before = fingerprint(path)
    if before is None:
        raise FilesError(f"{path} is not there")
    try:
        with open(path, "rb") as source:
            data = source.read(MAX_BYTES + 1)
        folders: dict[str, dict[str, dict[str, bytes]]] = {folder: {} for folder in VARIABLE_FOLDERS}
        size = len(data)
        for part in list_variable_files(path):
            folder, *rest = part.relative_to(path.parent).parts
            name = Path(rest[0]).stem if len(rest) == 1 else rest[0]
            content = part.read_bytes()
            size += len(content)
            if size > MAX_BYTES:
                raise FilesError(f"{path} with its variable files is larger than {MAX_BYTES >> 20} MiB")
            folders[folder].setdefault(name, {})[str(part.relative_to(path.parent))] = content
    except FilesError:
        raise
    except OSError as error:
        raise FilesError(f"{path} can't be read: {error.strerror}") from None
    if fingerprint(path) != before:
        raise FilesError(f"{path} changed while it was read")
    return Content(path.name, data, folders)


def parse_content(content: Content, gateway_addresses: GatewayAddresses = ()) -> ParsedInventory:
    """Parse the inventory in the format of its file name.  Raises InventoryError."""
    if is_csv(Path(content.name)):
        return read_csv(content.data, content.name, gateway_addresses)
    folders = VariableFolders(content.beside.get("group_vars", {}), content.beside.get("host_vars", {}))
    reading = read_ansible(content.data, content.name, folders, gateway_addresses)
    shape = replace(
        reading.shape, beside=tuple(folder for folder in VARIABLE_FOLDERS if content.beside.get(folder))
    )
    return replace(reading, shape=shape)
