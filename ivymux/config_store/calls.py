"""Calls of registries and proxies to the config stores; the primary answers them.  Pure.

The transport adds its own fields beside these: the call's number and how long the call may take.  Where a
field's name on the wire is not the attribute's, `msgspec.field` gives it.
"""

from __future__ import annotations

from typing import Any

import msgspec


class CallError(ValueError):
    """A call that no correct process makes."""


class Call(msgspec.Struct, frozen=True, tag_field="k", omit_defaults=True):
    """Base of all calls."""


class PutConfiguration(Call, frozen=True, tag="put"):
    """Store a change of the configuration, which the registry has validated."""

    version: int
    text: str


class ClaimAction(Call, frozen=True, tag="claim"):
    """Open an action's idempotency record before the action goes to a backend."""

    key: str
    tenant: str
    claim: str  # id of the claim
    request_digest: str = msgspec.field(name="place")
    body_digest: str = msgspec.field(name="body")
    lifetime_s: float = msgspec.field(name="life")


class LookUpAction(Call, frozen=True, tag="look"):
    """Return what is known of an action, without opening a record for it."""

    key: str
    request_digest: str = msgspec.field(name="place")
    body_digest: str = msgspec.field(name="body")


class EndAction(Call, frozen=True, tag="end"):
    """End an action's idempotency record; the answer is kept for repeats of the action."""

    key: str
    claim: str
    state: str  # one of the end states in ivymux/idempotency/record_store.py
    answer: str = ""


class PutSetting(Call, frozen=True, tag="note"):
    """Store a replicated setting."""

    name: str
    version: int
    text: str
    based_on: int | None = None  # the version that must be held; None for any


class ReadSetting(Call, frozen=True, tag="read"):
    """Return a replicated setting."""

    name: str


class ReportHoldings(Call, frozen=True, tag="hold"):
    """Report which keys a backend holds; the answer says which it is to hold."""

    service: str
    id: str
    address: str
    capacity: int
    is_leaving: bool
    call_seq: int
    holdings: list[Any]  # rows of first key, last key, fence
    released: list[Any]  # rows of first key, last key, handover code


class ReportLoads(Call, frozen=True, tag="load"):
    """Report how many requests on each shard of a service proxies have had since the last report."""

    service: str
    counts: list[tuple[int, int]]  # shards and requests


AnyCall = (
    PutConfiguration
    | ClaimAction
    | LookUpAction
    | EndAction
    | PutSetting
    | ReadSetting
    | ReportHoldings
    | ReportLoads
)
TAGS = frozenset(("put", "claim", "look", "end", "note", "read", "hold", "load"))


def encode(call: Call) -> dict[str, Any]:
    """Return the fields of a call as a connection carries them."""
    fields = msgspec.to_builtins(call)
    assert isinstance(fields, dict)
    return fields


def decode(fields: dict[str, Any]) -> AnyCall:
    """Return the call that the fields describe.  Raises CallError."""
    try:
        return msgspec.convert(fields, type=AnyCall)  # type: ignore[no-any-return]
    except msgspec.ValidationError as error:
        raise CallError(f"{fields.get('k')!r}: {error}") from None
