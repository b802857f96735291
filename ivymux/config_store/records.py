"""What one core machine knows and keeps: epochs, the configuration, its own promises.  Pure.

Identities are `ADDRESS/TOKEN`: a machine whose disk was lost comes back at its address with another token.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ivymux.idempotency.record_store import IdempotencyRecord


class EpochRecord(msgspec.Struct, frozen=True, array_like=True):
    """One epoch: who leads, who keeps the second copy, whose majority decides."""

    number: int
    primary: str
    backup: str
    members: tuple[str, ...]


class ConfigurationState(msgspec.Struct, frozen=True, array_like=True):
    """What the primary and the backup keep: the configuration's text, under the epoch that it belongs to."""

    epoch: int
    version: int
    text: str


class ReplicatedSetting(msgspec.Struct, frozen=True, array_like=True):
    """A setting of the system's own that is in force, as far as a machine knows."""

    name: str
    version: int
    text: str


@dataclass(frozen=True, slots=True)
class DurableState:
    """All that one machine has on its disk."""

    identity: str
    record: EpochRecord | None
    promised: int
    promised_to: str
    state: ConfigurationState | None
    idempotency_records: dict[str, IdempotencyRecord] = field(default_factory=dict)
    history: tuple[tuple[int, str], ...] = ()  # versions that were taken, with the digests of their texts


def address_of(identity: str) -> str:
    return identity.partition("/")[0]


def is_majority(members: Iterable[str], votes: set[str]) -> bool:
    """Whether more than half of the members have voted."""
    members = tuple(members)
    return sum(member in votes for member in members) > len(members) // 2
