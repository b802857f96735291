"""A last good inventory as bytes that tell whether they are whole.  Pure."""

from __future__ import annotations

from hashlib import sha256

import msgspec

from ivymux.inventory.model import Inventory, Shape

MAGIC = b"ivymux-inventory-1\n"


class SnapshotError(ValueError):
    """Bytes that are no whole snapshot."""


class Snapshot(msgspec.Struct, frozen=True):
    """One inventory that counted, in the order in which they did."""

    number: int
    taken: float  # Unix time
    source: str  # the file that it came from
    content: str  # SHA-256 of what was read
    why: str  # changed, confirmed, rolled back or started
    inventory: Inventory
    shape: Shape = Shape()


def encode(snapshot: Snapshot) -> bytes:
    payload = msgspec.msgpack.encode(snapshot)
    return MAGIC + b"%s %d\n" % (sha256(payload).hexdigest().encode(), len(payload)) + payload


def decode(data: bytes) -> Snapshot:
    """A snapshot.  Raises SnapshotError for what is cut short or damaged."""
    if not data.startswith(MAGIC):
        raise SnapshotError("not a snapshot of this version")
    head, sep, payload = data[len(MAGIC) :].partition(b"\n")
    told, _, size = head.partition(b" ")
    if not sep or not size.isdigit() or int(size) != len(payload):
        raise SnapshotError("cut short")
    if sha256(payload).hexdigest().encode() != told:
        raise SnapshotError("damaged")
    try:
        return msgspec.msgpack.decode(payload, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"not a snapshot: {error}") from None
