"""The actions that a replica asks its host to carry out, and which of them may overtake a write.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ivymux.config_store import messages
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.records import ConfigurationState, EpochRecord, ReplicatedSetting
from ivymux.idempotency.record_store import IdempotencyRecord

EVERYONE = "*"  # the address of all known core machines


@dataclass(slots=True)
class Persist:
    """Write to disk; later actions may depend on this write.

    `history` replaces the stored history, `change` is added to it.  A key whose idempotency record is None is
    deleted.
    """

    epoch_record: EpochRecord | None = None
    promised: tuple[int, str] | None = None  # number of the promised epoch, and its candidate
    state: ConfigurationState | None = None
    idempotency_records: tuple[tuple[str, IdempotencyRecord | None], ...] = ()
    history: tuple[tuple[int, str], ...] | None = None  # versions with the digests of their texts
    change: tuple[int, str] | None = None  # a version with the digest of its text
    same_primary: bool = False  # whether `epoch_record` names the same primary as the epoch known before


@dataclass(slots=True)
class Send:
    """Send a message to the machine at an address, or to EVERYONE but the machines at some addresses."""

    to: str
    message: ReplicaMessage
    except_for: frozenset[str] = frozenset()  # addresses; with EVERYONE only


@dataclass(slots=True)
class Complete:
    """Answer a call: all disks of the epoch hold the change that it waits for."""

    call_id: int


@dataclass(slots=True)
class Publish:
    """Tell registries the configuration in force, as far as this machine knows."""

    version: int
    text: str


@dataclass(slots=True)
class PublishSetting:
    """Tell registries a replicated setting that is in force."""

    setting: ReplicatedSetting


@dataclass(slots=True)
class LogLine:
    """Log a line."""

    text: str


Action = Persist | Send | Complete | Publish | PublishSetting | LogLine


@dataclass(slots=True)
class Reply:
    """The answer to a call; with `wait`, it is sent once `Complete` names the call."""

    actions: list[Action]
    answer: dict[str, Any]
    wait: bool = False


# Messages that do not depend on a write to the sender's disk.
DISK_INDEPENDENT: tuple[type[ReplicaMessage], ...] = (
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
    """Whether an action may be carried out before writes that are not on disk yet.

    A write never may, and of the messages only those in DISK_INDEPENDENT.  A lease grant must not overtake
    the write of its epoch's record: a member that lost the record in a restart could grant its next lease to
    another primary while the epoch's primary still relies on this grant.  It may overtake the write if the
    epoch before has the same primary, as the member then grants its lease to no other machine.
    """
    if not isinstance(action, Send):
        return not isinstance(action, Persist)
    if not isinstance(action.message, DISK_INDEPENDENT):
        return False
    return not isinstance(action.message, messages.LeaseGrant) or not any(
        isinstance(step, Persist) and step.epoch_record is not None and not step.same_primary
        for step in unwritten
    )
