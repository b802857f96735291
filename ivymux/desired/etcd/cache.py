"""A gateway's copy of the desired state on its own disk, from which it starts while etcd is unreachable."""

from __future__ import annotations

import contextlib
import os
import tempfile
from collections.abc import Iterable
from hashlib import sha256
from pathlib import Path

import msgspec

from ivymux.desired.etcd.keys import Head, State

STATE = "state"


class Known(msgspec.Struct, frozen=True):
    """The state and the tenants' heads as they were last received."""

    state: State
    heads: list[Head]
    at: int  # the revision of etcd as of which they were read
    saved: float  # Unix time


class Cache:
    """A folder with a file of the state, preceded by its checksum, and files of texts, named by digest.

    Raises OSError if the folder can't be used.  Damaged files are treated as missing.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def write(self, name: str, data: bytes) -> None:
        """Write a file atomically, so that after a crash or power failure it is complete or unchanged."""
        handle, partial_file = tempfile.mkstemp(dir=self.folder, prefix=".", suffix=".part")
        try:
            with os.fdopen(handle, "wb") as sink:
                sink.write(data)
                sink.flush()
                os.fsync(sink.fileno())
            os.replace(partial_file, self.folder / name)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(partial_file)
            raise

    def known(self) -> Known | None:
        """Read the cached state; None if it is missing or damaged."""
        try:
            data = (self.folder / STATE).read_bytes()
            if sha256(data[32:]).digest() != data[:32]:
                return None
            return msgspec.msgpack.decode(data[32:], type=Known)
        except (OSError, msgspec.MsgspecError):
            return None

    def save(self, known: Known) -> None:
        """Write a state, and delete the texts that it does not refer to."""
        data = msgspec.msgpack.encode(known)
        self.write(STATE, sha256(data).digest() + data)
        self.delete_unused(name for head in known.heads for name in (head.body, *head.texts))

    def delete_unused(self, referenced: Iterable[str]) -> None:
        """Delete all files but the state and the referenced texts."""
        wanted = {STATE, *referenced}
        for file in self.folder.iterdir():
            if file.name not in wanted:
                with contextlib.suppress(OSError):
                    file.unlink()

    def text(self, name: str) -> bytes | None:
        """Read a text; None if it is missing or its digest differs."""
        try:
            data = (self.folder / name).read_bytes()
        except OSError:
            return None
        return data if sha256(data).hexdigest() == name else None
