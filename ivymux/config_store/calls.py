"""What registries and doors ask of the configuration stores, of which the one that leads answers.  Pure.

The transport's own fields (the call's number, how long it may take) stand beside these.
"""

from __future__ import annotations

from typing import Any

import msgspec


class CallError(ValueError):
    """A call that no correct process makes."""


class Call(msgspec.Struct, frozen=True, tag_field="k", omit_defaults=True):
    """Common to all calls."""


class PutConfiguration(Call, frozen=True, tag="put"):
    """Take a change that was checked."""

    version: int
    text: str


class ClaimAction(Call, frozen=True, tag="claim"):
    """Open an action's idempotency record before the action goes to a backend."""

    key: str
    tenant: str
    claim: str
    place: str
    body: str
    life: float


class EndAction(Call, frozen=True, tag="end"):
    """How an action ended; the answer is kept for repeats of it."""

    key: str
    claim: str
    state: str
    answer: str = ""


class PutSetting(Call, frozen=True, tag="note"):
    """Keep a setting of the system's own; `based_on`: the version that it was made from, if that matters."""

    name: str
    version: int
    text: str
    based_on: int | None = None


class ReadSetting(Call, frozen=True, tag="read"):
    name: str


AnyCall = PutConfiguration | ClaimAction | EndAction | PutSetting | ReadSetting
TAGS = frozenset(("put", "claim", "end", "note", "read"))


def encode(call: Call) -> dict[str, Any]:
    """The call as a connection takes it."""
    fields = msgspec.to_builtins(call)
    assert isinstance(fields, dict)
    return fields


def decode(fields: dict[str, Any]) -> AnyCall:
    """Raises CallError."""
    try:
        return msgspec.convert(fields, type=AnyCall)  # type: ignore[no-any-return]
    except msgspec.ValidationError as error:
        raise CallError(f"{fields.get('k')!r}: {error}") from None
