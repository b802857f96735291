"""What one core machine knows and stores: epochs, the configuration, its promises.  Pure.

An identity is `ADDRESS/TOKEN`.  A machine that has lost its disk returns at its address with another token.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ivymux.idempotency.record_store import IdempotencyRecord


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The members of an epoch that may be, or may have been, in force."""

    number: int  # of the epoch
    members: tuple[str, ...]


class EpochRecord(msgspec.Struct, frozen=True, array_like=True):
    """One epoch: its primary, its backups, and the members that form its majorities.

    Until the epoch is known to be in force, an election also needs majorities of the joint memberships: those
    of the epochs before it that may be in force instead, where their members differ.
    """

    number: int
    primary: str
    backup: str
    members: tuple[str, ...]
    joint_memberships: tuple[Membership, ...] = ()
    other_backups: tuple[str, ...] = ()  # beside `backup`, where more than one disk may be lost at once

    def backups(self) -> tuple[str, ...]:
        """Return the machines that store every change before it is acknowledged, beside the primary."""
        return (self.backup, *self.other_backups)

    def copies(self) -> tuple[str, ...]:
        """Return the machines that hold the state: the primary and the backups."""
        return (self.primary, *self.backups())

    def memberships(self) -> tuple[Membership, ...]:
        """Return all memberships of which an election needs a majority."""
        return (Membership(self.number, self.members), *self.joint_memberships)

    def voters(self) -> set[str]:
        """Return the machines whose votes may count in an election."""
        return {member for membership in self.memberships() for member in membership.members}

    def settled(self) -> EpochRecord:
        """Return the record of this epoch once it is in force: its own majority suffices from then on."""
        return msgspec.structs.replace(self, joint_memberships=()) if self.joint_memberships else self


class ConfigurationState(msgspec.Struct, frozen=True, array_like=True):
    """The configuration's text as the primary and the backups store it, under the epoch it belongs to."""

    epoch: int
    version: int
    text: str


class ReplicatedSetting(msgspec.Struct, frozen=True, array_like=True):
    """An internal setting of the system, which the config stores replicate."""

    name: str
    version: int
    text: str


@dataclass(frozen=True, slots=True)
class DurableState:
    """Everything that one machine has on its disk."""

    identity: str
    epoch_record: EpochRecord | None
    promised: int  # number of the highest epoch that this machine has promised; 0 if none
    promised_to: str  # identity of that epoch's candidate
    state: ConfigurationState | None
    idempotency_records: dict[str, IdempotencyRecord] = field(default_factory=dict)  # by key
    history: tuple[tuple[int, str], ...] = ()  # stored versions, with the digests of their texts


def address_of(identity: str) -> str:
    """Return the address part of an identity."""
    return identity.partition("/")[0]


def is_majority(members: Iterable[str], votes: set[str]) -> bool:
    """Whether more than half of the members have voted."""
    members = tuple(members)
    return sum(member in votes for member in members) > len(members) // 2
