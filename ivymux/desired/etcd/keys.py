"""Where each part of the desired state stands in etcd, and its form.  Pure.

`live/` is what front doors watch: the state's own revision and a small head for each tenant.  The document of
a tenant and its texts stand below its own uid in pieces, named by digest, since a request to etcd is bounded
(1.5 MiB by default): all that is a tenant's goes with one range.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from ivymux.desired.model import AuditRecord, StoreDamaged
from ivymux.tenants.model import Tenant, digest, text_digests

PIECE = 512 * 1024  # bytes of a text in one key
MAX_TEXT = 64 << 20  # bytes that a text may have unpacked
MAX_VALUE = 512 * 1024  # bytes of an audit record or an answer that is kept
FEW_CHANGES = 200  # of a record that is too large
FORM = 1
T = TypeVar("T")


class State(msgspec.Struct, frozen=True):
    revision: int  # of the installation; etcd's own begins anew with an etcd that does
    lineage: str
    form: int = FORM


class Head(msgspec.Struct, frozen=True):
    """A tenant, small; `body` is the digest of its document, `texts` of what that names."""

    name: str
    uid: str
    revision: int
    created: float
    body: str
    texts: list[str]
    hosts: list[str]


class Recorded(msgspec.Struct, frozen=True):
    """An audit record; `token` tells a commit without an answer whether it was made."""

    token: str
    audit: AuditRecord


class Serves(msgspec.Struct, frozen=True):
    revision: int
    problems: dict[str, str] = {}


class Place(msgspec.Struct, frozen=True):
    """A text's first key: how many pieces follow it, and of how many bytes it is when unpacked."""

    pieces: int
    size: int
    data: bytes


def after(prefix: bytes) -> bytes:
    """The end of the range of all keys that begin so."""
    return prefix[:-1] + bytes((prefix[-1] + 1,))


def numbered(revision: int) -> str:
    return f"{revision:020d}"


@dataclass(frozen=True, slots=True)
class Keys:
    prefix: str

    def at(self, *parts: str) -> bytes:
        return (self.prefix + "/".join(parts)).encode()

    def all(self, *parts: str) -> bytes:
        return self.at(*parts, "")

    @property
    def live(self) -> bytes:
        return self.all("live")

    @property
    def state(self) -> bytes:
        return self.at("live", "state")

    def tenant(self, name: str) -> bytes:
        return self.at("live", "tenants", name)

    @property
    def tenants(self) -> bytes:
        return self.all("live", "tenants")

    def host(self, host: str) -> bytes:
        return self.at("hosts", host)

    def history(self, uid: str, revision: int) -> bytes:
        return self.at("history", uid, numbered(revision))

    def audit(self, revision: int) -> bytes:
        return self.at("audit", numbered(revision))

    def audit_of(self, uid: str, revision: int) -> bytes:
        return self.at("audit-of", uid or "-", numbered(revision))

    def admin(self, uid: str, number: str) -> bytes:
        return self.at("admins", uid or "-", number)

    def admin_id(self, number: str) -> bytes:
        return self.at("admin-ids", number)

    def repeat(self, uid: str, key: str) -> bytes:
        return self.at("repeats", uid, key)

    def repeat_id(self, key: str) -> bytes:
        return self.at("repeat-ids", key)

    def blob(self, uid: str, name: str) -> bytes:
        return self.at("blobs", uid, name)

    def piece(self, uid: str, name: str, number: int) -> bytes:
        return self.at("blobs", uid, name, f"{number:04d}")

    def door(self, door: str, part: str) -> bytes:
        return self.at("doors", digest(door.encode())[:16], part)


def packed(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def unpacked(data: bytes, kind: type[T]) -> T:
    """Raises StoreDamaged."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        raise StoreDamaged("etcd holds what this version can't read: use the ivymux that wrote it") from None


def head_of(name: str, uid: str, revision: int, created: float, tenant: Tenant) -> tuple[Head, bytes]:
    """A tenant's head and its document."""
    body = packed(tenant)
    return Head(
        name, uid, revision, created, digest(body), sorted(text_digests(tenant)), list(tenant.hosts)
    ), body


def pieces(data: bytes) -> tuple[Place, list[bytes]]:
    """A text's first key and what follows it."""
    small = zlib.compress(data, 6)
    parts = [small[at : at + PIECE] for at in range(0, len(small), PIECE)]
    return Place(len(parts) - 1, len(data), parts[0]), parts[1:]


def whole(place: Place, rest: list[bytes], name: str) -> bytes:
    """A text of its pieces.  Raises StoreDamaged where it is not what its name says."""
    try:
        engine = zlib.decompressobj()
        data = engine.decompress(b"".join((place.data, *rest)), MAX_TEXT)
    except zlib.error:
        data = b""
    if len(rest) != place.pieces or digest(data) != name:
        raise StoreDamaged("a text in etcd is not what its digest says; restore a backup")
    return data


def recorded(token: str, audit: AuditRecord) -> bytes:
    """An audit record; of one that is too large the first changes, and how many there were."""
    value = zlib.compress(packed(Recorded(token, audit)))
    if len(value) <= MAX_VALUE:
        return value
    left = len(audit.changes) - FEW_CHANGES
    few = [{"path": c.get("path", "")} for c in audit.changes[:FEW_CHANGES]]
    note = {"path": "", "after": f"{max(0, left)} more changes and all values: too large to be kept"}
    return zlib.compress(packed(Recorded(token, msgspec.structs.replace(audit, changes=[*few, note]))))


def read_recorded(value: bytes) -> Recorded:
    try:
        return unpacked(zlib.decompress(value), Recorded)
    except zlib.error:
        raise StoreDamaged("an audit record in etcd can't be read") from None
