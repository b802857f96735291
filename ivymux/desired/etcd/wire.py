"""Encodes requests to etcd v3's JSON gateway, and decodes its answers and errors.  Does no I/O.

Source: the published API (`rpc.proto` with its HTTP annotations): bytes are base64, 64-bit numbers are
strings, and fields with their default value may be missing.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass, field
from typing import Any, Literal

from ivymux.desired.model import StoreBusy, StoreDamaged, StoreError, StoreFull

MAX_OPERATIONS = 120  # in one transaction; etcd's default limit is 128
Json = dict[str, Any]


class Compacted(StoreError):
    """The requested revision has been compacted."""


class Unauthenticated(StoreError):
    """The token is no longer valid; the client has to authenticate again."""


class Unreachable(StoreBusy):
    """There is no connection, so nothing was sent."""


class OutcomeUnknown(StoreBusy):
    """A call was sent and not answered; it may have been carried out."""


@dataclass(frozen=True, slots=True)
class Kv:
    """A key, its value and etcd's metadata."""

    key: bytes
    value: bytes
    mod: int  # the revision of etcd that last changed the key
    create: int  # the revision of etcd that created the key
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Range:
    """A read of one key, or of the keys from `key` up to `end`."""

    key: bytes
    end: bytes = b""
    limit: int = 0
    descending: bool = False
    oldest: bool = False  # in order of creation, oldest first
    keys_only: bool = False
    count_only: bool = False
    revision: int = 0  # read as of this revision; 0 for the current one


@dataclass(frozen=True, slots=True)
class Put:
    """A write of one key."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """A deletion of one key, or of the keys from `key` up to `end`."""

    key: bytes
    end: bytes = b""


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition on the `mod` or `create` revision of one key."""

    key: bytes
    target: Literal["MOD", "CREATE"]
    result: Literal["EQUAL", "GREATER"]
    number: int


@dataclass(frozen=True, slots=True)
class Txn:
    """Operations that etcd carries out atomically if all conditions hold."""

    compares: tuple[Compare, ...]
    operations: tuple[Range | Put | Delete, ...]


@dataclass(frozen=True, slots=True)
class RangeResult:
    """The answer to a Range."""

    kvs: tuple[Kv, ...]
    more: bool
    count: int
    revision: int  # the revision of etcd as of which the range was read


@dataclass(frozen=True, slots=True)
class TxnResult:
    """The answer to a Txn."""

    succeeded: bool
    revision: int
    ranges: tuple[RangeResult, ...]  # results of the Range operations, in order


@dataclass(frozen=True, slots=True)
class Event:
    """A key that was put (`kv` has its value) or deleted (`kv` is None)."""

    key: bytes
    kv: Kv | None


@dataclass(frozen=True, slots=True)
class WatchResponse:
    """One response of a watch stream."""

    revision: int
    created: bool = False
    canceled: bool = False
    compacted: int = 0  # the first revision that is available, if the requested one is compacted
    reason: str = ""
    events: tuple[Event, ...] = field(default=())


def base64_text(data: bytes) -> str:
    """Encode bytes as the gateway's JSON has them."""
    return b64encode(data).decode()


def range_json(op: Range) -> Json:
    fields: Json = {"key": base64_text(op.key)}
    if op.end:
        fields["range_end"] = base64_text(op.end)
    if op.limit:
        fields["limit"] = str(op.limit)
    if op.descending:
        fields |= {"sort_order": "DESCEND", "sort_target": "KEY"}
    if op.oldest:
        fields |= {"sort_order": "ASCEND", "sort_target": "CREATE"}
    if op.keys_only:
        fields["keys_only"] = True
    if op.count_only:
        fields["count_only"] = True
    if op.revision:
        fields["revision"] = str(op.revision)
    return fields


def put_json(op: Put) -> Json:
    fields: Json = {"key": base64_text(op.key), "value": base64_text(op.value)}
    if op.lease:
        fields["lease"] = str(op.lease)
    return fields


def delete_json(op: Delete) -> Json:
    return {"key": base64_text(op.key)} | ({"range_end": base64_text(op.end)} if op.end else {})


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
    return {"key": base64_text(compare.key), "target": compare.target, "result": compare.result,
            field: str(compare.number)}  # fmt: skip


def txn_json(txn: Txn) -> Json:
    assert len(txn.operations) <= MAX_OPERATIONS and len(txn.compares) <= MAX_OPERATIONS
    return {"compare": [compare_json(c) for c in txn.compares],
            "success": [operation_json(op) for op in txn.operations]}  # fmt: skip


def watch_json(key: bytes, end: bytes, revision: int) -> Json:
    return {
        "create_request": {
            "key": base64_text(key),
            "range_end": base64_text(end),
            "start_revision": str(revision),
        }
    }


# --- answers ------------------------------------------------------------------------------------------


def number(value: Any) -> int:
    """Decode a number, which may be a string or missing."""
    return int(value or 0)


def decode_kv(found: Json) -> Kv:
    return Kv(
        b64decode(found["key"], validate=True), b64decode(found.get("value", ""), validate=True),
        number(found.get("mod_revision")), number(found.get("create_revision")), number(found.get("lease")),
    )  # fmt: skip


def revision_of(answer: Json) -> int:
    return number(answer.get("header", {}).get("revision"))


def decode_range(answer: Json) -> RangeResult:
    """Decode the answer to a range request.  Raises StoreDamaged."""
    try:
        kvs = tuple(decode_kv(kv) for kv in answer.get("kvs", ()))
        return RangeResult(
            kvs, bool(answer.get("more", False)), number(answer.get("count")), revision_of(answer)
        )
    except (KeyError, TypeError, ValueError, AttributeError, Base64Error):
        raise StoreDamaged("etcd's answer can't be read: is this its JSON gateway?") from None


def decode_txn(answer: Json) -> TxnResult:
    """Decode the answer to a transaction.  Raises StoreDamaged."""
    try:
        found = answer.get("responses", ())
        ranges = tuple(decode_range(r["response_range"]) for r in found if "response_range" in r)
        return TxnResult(bool(answer.get("succeeded", False)), revision_of(answer), ranges)
    except (KeyError, TypeError, ValueError, AttributeError):
        raise StoreDamaged("etcd's answer can't be read: is this its JSON gateway?") from None


def decode_watch(line: Json) -> WatchResponse:
    """Decode a line of a watch stream.

    Raises StoreError for an error in the stream, StoreDamaged for anything else that is no watch response.
    """
    if isinstance(error := line.get("error"), dict):
        raise store_error(number(error.get("grpc_code", error.get("code"))), str(error.get("message", "")))
    try:
        result = line["result"]
        events = tuple(
            Event(b64decode(e["kv"]["key"], validate=True), None)
            if e.get("type") == "DELETE" else
            Event(b64decode(e["kv"]["key"], validate=True), decode_kv(e["kv"]))
            for e in result.get("events", ())
        )  # fmt: skip
        return WatchResponse(
            revision_of(result), bool(result.get("created")), bool(result.get("canceled")),
            number(result.get("compact_revision")), str(result.get("cancel_reason", "")), events,
        )  # fmt: skip
    except (KeyError, TypeError, ValueError, AttributeError, Base64Error):
        raise StoreDamaged("etcd's watch can't be read: is this its JSON gateway?") from None


def store_error(code: int, message: str) -> StoreError:
    """Translate an error of etcd (a gRPC code) to a StoreError; etcd's message contains no stored value."""
    detail = message[:200]
    match code:
        case 8 if "space" in message:
            return StoreFull("etcd's database is full: compact and defragment it, then disarm its alarm")
        case 4:
            return OutcomeUnknown(f"etcd did not tell whether it was done: {detail}")
        case 14 if "timed out" in message or "leader changed" in message:
            # etcd may still apply the proposal.
            return OutcomeUnknown(f"etcd did not tell whether it was done: {detail}")
        case 8 | 14:
            return StoreBusy(f"etcd can't do it now: {detail}")
        case 11:
            return Compacted(f"etcd no longer keeps that revision: {detail}")
        case 16:
            return Unauthenticated(f"etcd refuses the token: {detail}")
        case 3 if "invalid auth token" in message:
            return Unauthenticated(f"etcd refuses the token: {detail}")
        case 7:
            return StoreError(f"etcd's user may not do this; grant it readwrite on the prefix: {detail}")
    return StoreError(f"etcd refused: {detail}")
