"""The etcd keys of the desired state and the formats of their values.  Does no I/O.

Gateways watch `live/`, which has the state's revision and a small head for each tenant.  A tenant's document
and texts are stored below the tenant's uid, so that one range deletion removes them all.  They are named by
digest, and split into pieces, since etcd limits the size of a request (1.5 MiB by default).
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from ivymux.desired.model import AuditRecord, StoreDamaged
from ivymux.tenants.model import Tenant, digest, text_digests

MAX_PIECE_BYTES = 512 * 1024  # of a compressed text in one key
MAX_TEXT_BYTES = 64 << 20  # of a decompressed text
MAX_VALUE_BYTES = 512 * 1024  # of a stored audit record or answer
MAX_LISTED_CHANGES = 200  # in an audit record that is too large
FORMAT_VERSION = 1
T = TypeVar("T")


class State(msgspec.Struct, frozen=True):
    """The desired state as a whole; every commit replaces it."""

    revision: int  # of the installation; etcd's own revisions restart with a new etcd
    lineage: str
    form: int = FORMAT_VERSION


class Head(msgspec.Struct, frozen=True):
    """A tenant's entry: `body` is the digest of its document, `texts` those of the texts it refers to."""

    name: str
    uid: str
    revision: int
    created: float
    body: str
    texts: list[str]
    hosts: list[str]


class StoredAuditRecord(msgspec.Struct, frozen=True):
    """An audit record with the `token` of its commit.

    A client that did not receive the answer to a commit finds its token here if the commit was carried out.
    """

    token: str
    audit: AuditRecord


class GatewayStatus(msgspec.Struct, frozen=True):
    """The revision that a gateway serves, and the tenants whose latest state it can't serve."""

    revision: int
    problems: dict[str, str] = {}  # the reasons, by uid


class TextHeader(msgspec.Struct, frozen=True):
    """A text's first key: the number of pieces that follow, and the decompressed size in bytes."""

    pieces: int
    size: int
    data: bytes


def prefix_end(prefix: bytes) -> bytes:
    """The end of the range of all keys with this prefix."""
    return prefix[:-1] + bytes((prefix[-1] + 1,))


def revision_text(revision: int) -> str:
    """A revision as text that sorts in the order of the numbers."""
    return f"{revision:020d}"


@dataclass(frozen=True, slots=True)
class Keys:
    """The keys of one desired state, below a prefix."""

    prefix: str

    def at(self, *parts: str) -> bytes:
        """The key of these path segments."""
        return (self.prefix + "/".join(parts)).encode()

    def all(self, *parts: str) -> bytes:
        """The prefix of all keys below these path segments."""
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
        return self.at("history", uid, revision_text(revision))

    def audit(self, revision: int) -> bytes:
        return self.at("audit", revision_text(revision))

    def audit_of(self, uid: str, revision: int) -> bytes:
        """The key of an entry in the index of a tenant's audit records; `uid` is empty for no tenant."""
        return self.at("audit-of", uid or "-", revision_text(revision))

    def admin(self, uid: str, key_id: str) -> bytes:
        return self.at("admins", uid or "-", key_id)

    def admin_id(self, key_id: str) -> bytes:
        """The key that maps the id of an administrator's key to the tenant's uid."""
        return self.at("admin-ids", key_id)

    def repeat(self, uid: str, key: str) -> bytes:
        """The key of the stored answer to a creation, by its idempotency key."""
        return self.at("repeats", uid, key)

    def repeat_id(self, key: str) -> bytes:
        """The key that maps an idempotency key to the tenant's uid."""
        return self.at("repeat-ids", key)

    def blob(self, uid: str, name: str) -> bytes:
        """The key of a text's header, which has the text's first piece."""
        return self.at("blobs", uid, name)

    def piece(self, uid: str, name: str, number: int) -> bytes:
        """The key of a further piece of a text, numbered from 1."""
        return self.at("blobs", uid, name, f"{number:04d}")

    def door(self, door: str, part: str) -> bytes:
        """The key of a part of a gateway's report: its name, the revision that it serves, or the usage."""
        return self.at("doors", digest(door.encode())[:16], part)


def packed(value: object) -> bytes:
    """Encode a value as MessagePack."""
    return msgspec.msgpack.encode(value)


def unpacked(data: bytes, kind: type[T]) -> T:
    """Decode a value from MessagePack.  Raises StoreDamaged."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        raise StoreDamaged("etcd contains data that this version can't read: use a newer ivymux") from None


def head_of(name: str, uid: str, revision: int, created: float, tenant: Tenant) -> tuple[Head, bytes]:
    """Make a tenant's head and its encoded document."""
    body = packed(tenant)
    return Head(
        name, uid, revision, created, digest(body), sorted(text_digests(tenant)), list(tenant.hosts)
    ), body


def split_text(data: bytes) -> tuple[TextHeader, list[bytes]]:
    """Compress a text and split it into the header and the pieces that follow it."""
    compressed = zlib.compress(data, 6)
    parts = [
        compressed[start : start + MAX_PIECE_BYTES] for start in range(0, len(compressed), MAX_PIECE_BYTES)
    ]
    return TextHeader(len(parts) - 1, len(data), parts[0]), parts[1:]


def join_text(header: TextHeader, rest: list[bytes], name: str) -> bytes:
    """Reassemble a text.  Raises StoreDamaged if its digest is not `name`."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(b"".join((header.data, *rest)), MAX_TEXT_BYTES)
    except zlib.error:
        data = b""
    if len(rest) != header.pieces or digest(data) != name:
        raise StoreDamaged("a text in etcd does not match its digest; restore a backup")
    return data


def encode_audit(token: str, audit: AuditRecord) -> bytes:
    """Encode an audit record.

    A record that is too large lists only the paths of its first changes, and the number of the others.
    """
    value = zlib.compress(packed(StoredAuditRecord(token, audit)))
    if len(value) <= MAX_VALUE_BYTES:
        return value
    omitted = len(audit.changes) - MAX_LISTED_CHANGES
    listed = [{"path": c.get("path", "")} for c in audit.changes[:MAX_LISTED_CHANGES]]
    summary = {"path": "", "after": f"{max(0, omitted)} more changes and all values: too large to be kept"}
    shortened = msgspec.structs.replace(audit, changes=[*listed, summary])
    return zlib.compress(packed(StoredAuditRecord(token, shortened)))


def decode_audit(value: bytes) -> StoredAuditRecord:
    """Decode an audit record.  Raises StoreDamaged."""
    try:
        return unpacked(zlib.decompress(value), StoredAuditRecord)
    except zlib.error:
        raise StoreDamaged("an audit record in etcd can't be read") from None
