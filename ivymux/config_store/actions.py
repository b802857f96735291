"""What a replica has its host do, and what of it may be done before the disk is.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ivymux.config_store import messages
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.records import ConfigurationState, EpochRecord, ReplicatedSetting
from ivymux.idempotency.record_store import IdempotencyRecord

EVERYONE = "*"  # the address of all core machines that are known


@dataclass(slots=True)
class Persist:
    """Write this to disk; what follows rests on it.  A ticket that is None is gone.

    `history` takes the place of the history that is there, `change` is added to it.
    """

    record: EpochRecord | None = None
    promised: tuple[int, str] | None = None
    state: ConfigurationState | None = None
    idempotency_records: tuple[tuple[str, IdempotencyRecord | None], ...] = ()
    history: tuple[tuple[int, str], ...] | None = None
    change: tuple[int, str] | None = None
    same_primary: bool = False  # of a record: the one before it has the same primary


@dataclass(slots=True)
class Send:
    """A message to the machine at an address, or to EVERYONE."""

    to: str
    message: ReplicaMessage


@dataclass(slots=True)
class Complete:
    """What a call waits for is on both disks: it may be answered."""

    call: int


@dataclass(slots=True)
class Publish:
    """The configuration that is in force, as far as this machine knows."""

    version: int
    text: str


@dataclass(slots=True)
class PublishSetting:
    note: ReplicatedSetting


@dataclass(slots=True)
class LogLine:
    text: str


Action = Persist | Send | Complete | Publish | PublishSetting | LogLine


@dataclass(slots=True)
class Reply:
    """What a call is answered with: now, or (`wait`) once both disks have what it rests on."""

    actions: list[Action]
    answer: dict[str, Any]
    wait: bool = False


# Messages that rest on no disk.
UNSTORED: tuple[type[ReplicaMessage], ...] = (
    messages.PromiseRequest,
    messages.Refusal,
    messages.StillWriting,
    messages.JoinRequest,
    messages.Leaving,
    messages.DepartureGranted,
    messages.LeadershipReleased,
    messages.LeaseRequest,
    messages.LeaseGrant,
    messages.WriteRequest,
    messages.ConfigurationRequest,
    messages.ConfigurationInForce,
    messages.RecordWrite,
    messages.SettingsRequest,
    messages.SettingsInForce,
)


def may_overtake(action: Action, unwritten: Iterable[Action]) -> bool:
    """Whether an action may be carried out before what is not on disk yet: what rests on no disk may.

    A vote for a lease rests on its epoch's record: a member that forgot that with its process would give
    the next vote to another, while this one is still counted on.  Where the record before names the same
    primary the member that forgot gives it to that one alone.
    """
    if not isinstance(action, Send):
        return not isinstance(action, Persist)
    if not isinstance(action.message, UNSTORED):
        return False
    return not isinstance(action.message, messages.LeaseGrant) or not any(
        isinstance(step, Persist) and step.record is not None and not step.same_primary for step in unwritten
    )
