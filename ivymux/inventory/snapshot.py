"""Encodes an inventory for the disk, with a digest and a length by which damage is detected."""

from __future__ import annotations

from hashlib import sha256

import msgspec

from ivymux.inventory.model import FileShape, Inventory

MAGIC = b"ivymux-inventory-1\n"


class SnapshotError(ValueError):
    """The bytes are not a complete snapshot."""


class Snapshot(msgspec.Struct, frozen=True):
    """An inventory that was in force."""

    number: int  # in the order in which inventories came into force
    taken: float  # Unix time
    source: str  # the file that it came from
    content: str  # SHA-256 of the files that were read
    why: str  # changed, confirmed, rolled back or started
    inventory: Inventory
    shape: FileShape = FileShape()


def encode(snapshot: Snapshot) -> bytes:
    """Encode a snapshot: the format's name, a line with digest and length, and MessagePack."""
    payload = msgspec.msgpack.encode(snapshot)
    return MAGIC + b"%s %d\n" % (sha256(payload).hexdigest().encode(), len(payload)) + payload


def decode(data: bytes) -> Snapshot:
    """Decode a snapshot.  Raises SnapshotError if it is truncated or damaged."""
    if not data.startswith(MAGIC):
        raise SnapshotError("not a snapshot of this version")
    head, sep, payload = data[len(MAGIC) :].partition(b"\n")
    expected_digest, _, size = head.partition(b" ")
    if not sep or not size.isdigit() or int(size) != len(payload):
        raise SnapshotError("truncated")
    if sha256(payload).hexdigest().encode() != expected_digest:
        raise SnapshotError("damaged")
    try:
        return msgspec.msgpack.decode(payload, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"not a snapshot: {error}") from None
