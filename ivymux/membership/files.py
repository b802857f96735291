"""An inventory's files: what is seen of them without reading, and their bytes when they are whole."""

from __future__ import annotations

import os
from hashlib import sha256
from pathlib import Path

import msgspec
from msgspec.structs import replace

from ivymux.inventory.ansible import Beside, read_ansible
from ivymux.inventory.csv_reader import MAX_BYTES, read_sheet
from ivymux.inventory.model import Own, Reading

SHEETS = (".csv", ".tsv", ".txt")
ANSIBLE = (".yml", ".yaml", ".json")
MAX_FILES = 5_000
FOLDERS = ("group_vars", "host_vars")


class FilesError(OSError):
    """Files that can't be read now; the last good list stays."""


class Content(msgspec.Struct, frozen=True):
    """The bytes of an inventory and of what stands beside it, as they were at one time."""

    name: str
    data: bytes
    beside: dict[str, dict[str, dict[str, bytes]]]

    @property
    def digest(self) -> str:
        return sha256(msgspec.msgpack.encode(self)).hexdigest()


def is_sheet(path: Path) -> bool:
    return path.suffix.lower() not in ANSIBLE


def beside(path: Path) -> list[Path]:
    """The files of the folders beside an inventory."""
    found: list[Path] = []
    if is_sheet(path):
        return found
    for folder in FOLDERS:
        top = path.parent / folder
        # Left out without a word only where it is not there: a part that can't be read must not look empty.
        for at, folders, files in os.walk(top, onerror=unreadable) if top.exists() else ():
            folders.sort()
            found += [Path(at) / name for name in sorted(files) if not name.startswith((".", "~"))]
            if len(found) > MAX_FILES:
                raise FilesError(f"more than {MAX_FILES} files beside {path.name}")
    return [p for p in found if p.suffix.lower() in (*ANSIBLE, "")]


def unreadable(error: OSError) -> None:
    raise FilesError(f"{error.filename} can't be read: {error.strerror}")


def stamp(path: Path) -> object:
    """What tells a change apart without reading; None where the file is not there."""
    seen = []
    try:
        for part in (path, *beside(path)):
            stat = part.stat()
            # The change time moves also where a tool sets the modification time back.
            seen.append(
                (str(part), stat.st_mtime_ns, stat.st_ctime_ns, stat.st_size, stat.st_ino, stat.st_dev)
            )
    except OSError:
        return None
    return tuple(seen)


def read(path: Path) -> Content:
    """The files, if none of them changed while they were read.  Raises FilesError."""
    before = stamp(path)
    if before is None:
        raise FilesError(f"{path} is not there")
    try:
        with open(path, "rb") as source:
            data = source.read(MAX_BYTES + 1)
        folders: dict[str, dict[str, dict[str, bytes]]] = {folder: {} for folder in FOLDERS}
        size = len(data)
        for part in beside(path):
            folder, *rest = part.relative_to(path.parent).parts
            name = Path(rest[0]).stem if len(rest) == 1 else rest[0]
            content = part.read_bytes()
            size += len(content)
            if size > MAX_BYTES:
                raise FilesError(f"{path} and what stands beside it is larger than {MAX_BYTES >> 20} MiB")
            folders[folder].setdefault(name, {})[str(part.relative_to(path.parent))] = content
    except FilesError:
        raise
    except OSError as error:
        raise FilesError(f"{path} can't be read: {error.strerror}") from None
    if stamp(path) != before:
        raise FilesError(f"{path} changed while it was read")
    return Content(path.name, data, folders)


def parse(content: Content, own: Own = ()) -> Reading:
    """The inventory of some files.  Raises InventoryError."""
    if is_sheet(Path(content.name)):
        return read_sheet(content.data, content.name, own)
    folders = Beside(content.beside.get("group_vars", {}), content.beside.get("host_vars", {}))
    reading = read_ansible(content.data, content.name, folders, own)
    shape = replace(reading.shape, beside=tuple(folder for folder in FOLDERS if content.beside.get(folder)))
    return replace(reading, shape=shape)
