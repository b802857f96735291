"""etcd v3's JSON gateway as values: requests out, answers in, errors told apart.  Pure.

Source: the published API (`rpc.proto` with its HTTP annotations): bytes are base64, 64-bit numbers are texts,
fields at their default may be left out.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass, field
from typing import Any, Literal

from ivymux.desired.model import StoreBusy, StoreDamaged, StoreError, StoreFull

MAX_OPERATIONS = 120  # in one transaction; etcd's own default is 128
Json = dict[str, Any]


class Compacted(StoreError):
    """The revision that was asked for is no longer kept."""


class Unauthenticated(StoreError):
    """The token counts no longer; another one has to be asked for."""


class Away(StoreBusy):
    """No connection: nothing was sent."""


class Unknown(StoreBusy):
    """A call went out and no answer came: it may have been done."""


@dataclass(frozen=True, slots=True)
class Kv:
    key: bytes
    value: bytes
    mod: int  # the revision of etcd that changed it last
    create: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Range:
    key: bytes
    end: bytes = b""
    limit: int = 0
    descending: bool = False
    oldest: bool = False  # by when they were made, the oldest first
    keys_only: bool = False
    count_only: bool = False
    revision: int = 0  # as of then; 0 for now


@dataclass(frozen=True, slots=True)
class Put:
    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    key: bytes
    end: bytes = b""


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition on one key: `mod` or `create` revision, or the value."""

    key: bytes
    target: Literal["MOD", "CREATE"]
    result: Literal["EQUAL", "GREATER"]
    number: int


@dataclass(frozen=True, slots=True)
class Txn:
    compares: tuple[Compare, ...]
    operations: tuple[Range | Put | Delete, ...]


@dataclass(frozen=True, slots=True)
class Ranged:
    kvs: tuple[Kv, ...]
    more: bool
    count: int
    revision: int  # of etcd, as of which it was read


@dataclass(frozen=True, slots=True)
class Transacted:
    succeeded: bool
    revision: int
    ranges: tuple[Ranged, ...]  # of the range operations, in their order


@dataclass(frozen=True, slots=True)
class Event:
    """A key that was put (with its Kv), or deleted (None)."""

    key: bytes
    kv: Kv | None


@dataclass(frozen=True, slots=True)
class Watched:
    """One answer of a watch."""

    revision: int
    created: bool = False
    canceled: bool = False
    compacted: int = 0  # the first revision that is still kept
    reason: str = ""
    events: tuple[Event, ...] = field(default=())


def text(data: bytes) -> str:
    return b64encode(data).decode()


def range_json(op: Range) -> Json:
    made: Json = {"key": text(op.key)}
    if op.end:
        made["range_end"] = text(op.end)
    if op.limit:
        made["limit"] = str(op.limit)
    if op.descending:
        made |= {"sort_order": "DESCEND", "sort_target": "KEY"}
    if op.oldest:
        made |= {"sort_order": "ASCEND", "sort_target": "CREATE"}
    if op.keys_only:
        made["keys_only"] = True
    if op.count_only:
        made["count_only"] = True
    if op.revision:
        made["revision"] = str(op.revision)
    return made


def put_json(op: Put) -> Json:
    made: Json = {"key": text(op.key), "value": text(op.value)}
    if op.lease:
        made["lease"] = str(op.lease)
    return made


def delete_json(op: Delete) -> Json:
    return {"key": text(op.key)} | ({"range_end": text(op.end)} if op.end else {})


def operation_json(op: Range | Put | Delete) -> Json:
    match op:
        case Range():
            return {"request_range": range_json(op)}
        case Put():
            return {"request_put": put_json(op)}
        case Delete():
            return {"request_delete_range": delete_json(op)}


def compare_json(compare: Compare) -> Json:
    field = {"MOD": "mod_revision", "CREATE": "create_revision"}[compare.target]
    return {"key": text(compare.key), "target": compare.target, "result": compare.result,
            field: str(compare.number)}  # fmt: skip


def txn_json(txn: Txn) -> Json:
    assert len(txn.operations) <= MAX_OPERATIONS and len(txn.compares) <= MAX_OPERATIONS
    return {"compare": [compare_json(c) for c in txn.compares],
            "success": [operation_json(op) for op in txn.operations]}  # fmt: skip


def watch_json(key: bytes, end: bytes, revision: int) -> Json:
    return {"create_request": {"key": text(key), "range_end": text(end), "start_revision": str(revision)}}


# --- answers ------------------------------------------------------------------------------------------


def number(value: Any) -> int:
    return int(value or 0)


def read_kv(found: Json) -> Kv:
    return Kv(
        b64decode(found["key"], validate=True), b64decode(found.get("value", ""), validate=True),
        number(found.get("mod_revision")), number(found.get("create_revision")), number(found.get("lease")),
    )  # fmt: skip


def revision_of(answer: Json) -> int:
    return number(answer.get("header", {}).get("revision"))


def read_range(answer: Json) -> Ranged:
    """Raises StoreDamaged for what is no such answer."""
    try:
        kvs = tuple(read_kv(kv) for kv in answer.get("kvs", ()))
        return Ranged(kvs, bool(answer.get("more", False)), number(answer.get("count")), revision_of(answer))
    except (KeyError, TypeError, ValueError, AttributeError, Base64Error):
        raise StoreDamaged("etcd's answer can't be read: is this its JSON gateway?") from None


def read_txn(answer: Json) -> Transacted:
    """Raises StoreDamaged for what is no such answer."""
    try:
        found = answer.get("responses", ())
        ranges = tuple(read_range(r["response_range"]) for r in found if "response_range" in r)
        return Transacted(bool(answer.get("succeeded", False)), revision_of(answer), ranges)
    except (KeyError, TypeError, ValueError, AttributeError):
        raise StoreDamaged("etcd's answer can't be read: is this its JSON gateway?") from None


def read_watch(line: Json) -> Watched:
    """Raises StoreError for an error in the stream, StoreDamaged for what is no answer of a watch."""
    if isinstance(error := line.get("error"), dict):
        raise failure(number(error.get("grpc_code", error.get("code"))), str(error.get("message", "")))
    try:
        result = line["result"]
        events = tuple(
            Event(b64decode(e["kv"]["key"], validate=True), None)
            if e.get("type") == "DELETE" else
            Event(b64decode(e["kv"]["key"], validate=True), read_kv(e["kv"]))
            for e in result.get("events", ())
        )  # fmt: skip
        return Watched(
            revision_of(result), bool(result.get("created")), bool(result.get("canceled")),
            number(result.get("compact_revision")), str(result.get("cancel_reason", "")), events,
        )  # fmt: skip
    except (KeyError, TypeError, ValueError, AttributeError, Base64Error):
        raise StoreDamaged("etcd's watch can't be read: is this its JSON gateway?") from None


def failure(code: int, message: str) -> StoreError:
    """An error of etcd (gRPC's codes) as the store's.  Its text is etcd's, which names no value."""
    told = message[:200]
    match code:
        case 8 if "space" in message:
            return StoreFull("etcd's database is full: compact and defragment it, then disarm its alarm")
        case 4:
            return Unknown(f"etcd did not tell whether it was done: {told}")
        case 14 if "timed out" in message or "leader changed" in message:
            return Unknown(f"etcd did not tell whether it was done: {told}")  # a proposal may still be made
        case 8 | 14:
            return StoreBusy(f"etcd can't do it now: {told}")
        case 11:
            return Compacted(f"etcd no longer keeps that revision: {told}")
        case 16:
            return Unauthenticated(f"etcd refuses the token: {told}")
        case 3 if "invalid auth token" in message:
            return Unauthenticated(f"etcd refuses the token: {told}")
        case 7:
            return StoreError(f"etcd's user may not do this; grant it readwrite on the prefix: {told}")
    return StoreError(f"etcd refused: {told}")
