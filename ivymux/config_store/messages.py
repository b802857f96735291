"""What the core machines' configuration stores say to one another.  Pure.

Each message names its sender's identity.  `decode` gives them their type, `encode` is what a connection
carries; the first message of a connection is a `Greeting` with the protocol's version.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ivymux.config_store.records import EpochRecord, ReplicatedSetting
from ivymux.idempotency.record_store import IdempotencyRecord

PROTOCOL_VERSION = 2
TAG = "kind"


class MessageError(ValueError):
    """What no configuration store of this version says."""


class ReplicaMessage(msgspec.Struct, frozen=True, tag_field=TAG, omit_defaults=True):
    """Common to all messages between replicas."""

    sender: str


class Greeting(ReplicaMessage, frozen=True, tag="greeting"):
    """The first message of a connection."""

    address: str
    version: int


# --- a new epoch ------------------------------------------------------------------------------------------


class PromiseRequest(ReplicaMessage, frozen=True, tag="promise_request"):
    """Asks to take part in nothing below an epoch's number; `record`: the newest that the candidate knows.

    `waits_for_disk`: a member's disk is at what was asked of it, and others do well to wait too.
    """

    epoch: int
    record: EpochRecord
    waits_for_disk: bool = False


class Promise(ReplicaMessage, frozen=True, tag="promise"):
    """Given, and on disk; `record`: the newest epoch that the sender knows."""

    epoch: int
    record: EpochRecord


class Refusal(ReplicaMessage, frozen=True, tag="refusal"):
    """A higher number was promised, or this one to another."""

    promised: int
    record: EpochRecord


class StillWriting(ReplicaMessage, frozen=True, tag="working"):
    """The sender's disk is at what was asked of it."""

    epoch: int


class StateTransfer(ReplicaMessage, frozen=True, tag="state_transfer"):
    """The whole state, to who is to be the backup of an epoch."""

    epoch: int
    version: int
    text: str
    history: tuple[tuple[int, str], ...]
    book_digest: int


class StateStored(ReplicaMessage, frozen=True, tag="state_stored"):
    epoch: int


class AcceptRequest(ReplicaMessage, frozen=True, tag="accept_request"):
    """Asks to keep an epoch's record."""

    record: EpochRecord


class Accepted(ReplicaMessage, frozen=True, tag="accepted"):
    epoch: int


class EpochKnown(ReplicaMessage, frozen=True, tag="epoch_known"):
    """The newest epoch that the sender knows, while it hears of none in force."""

    record: EpochRecord


class DiskSynced(ReplicaMessage, frozen=True, tag="disk_synced"):
    """Said by a machine to itself once a step is on its disk."""

    step: int


# --- membership and leases --------------------------------------------------------------------------------


class JoinRequest(ReplicaMessage, frozen=True, tag="join_request"):
    """The sender is no member and would be one."""


class Leaving(ReplicaMessage, frozen=True, tag="leaving"):
    """The sender's process is to end."""


class DepartureGranted(ReplicaMessage, frozen=True, tag="departure_granted"):
    """The primary's answer to one that leaves: an epoch is in force in which nothing rests on it."""

    epoch: int


class LeadershipReleased(ReplicaMessage, frozen=True, tag="leadership_released"):
    """The sender leads no more: votes for its lease are void."""


class LeaseRequest(ReplicaMessage, frozen=True, tag="lease_request"):
    """Asks to stand by the sender; `sent_at` is of its steady clock, in seconds.

    `record` comes with some of them only: who does not know the epoch waits for such a one.
    """

    epoch: int
    sent_at: float
    version: int
    record: EpochRecord | None = None
    notes_told: int = 0


class LeaseGrant(ReplicaMessage, frozen=True, tag="lease_grant"):
    """A vote; `sent_at` is that of the request."""

    epoch: int
    sent_at: float


# --- the configuration ------------------------------------------------------------------------------------


class WriteRequest(ReplicaMessage, frozen=True, tag="write_request"):
    """A change, to the backup; `previous` is the version that it follows."""

    epoch: int
    previous: int
    version: int
    text: str


class WriteStored(ReplicaMessage, frozen=True, tag="write_stored"):
    """All changes of an epoch up to a version are on the sender's disk."""

    epoch: int
    version: int


class ConfigurationRequest(ReplicaMessage, frozen=True, tag="configuration_request"):
    """The sender knows an older configuration than the one in force."""


class ConfigurationInForce(ReplicaMessage, frozen=True, tag="configuration_in_force"):
    epoch: int
    version: int
    text: str


# --- idempotency records and notes ------------------------------------------------------------------------


class RecordWrite(ReplicaMessage, frozen=True, tag="ticket_write"):
    epoch: int
    ticket: IdempotencyRecord


class RecordStored(ReplicaMessage, frozen=True, tag="ticket_stored"):
    """The change of this number is on the sender's disk."""

    epoch: int
    number: int


class RecordsExpired(ReplicaMessage, frozen=True, tag="tickets_dropped"):
    """These keys' time is over."""

    epoch: int
    keys: tuple[str, ...]


class RecordDigest(ReplicaMessage, frozen=True, tag="book_comparison"):
    """The digest of the primary's copy."""

    epoch: int
    digest: int


class RecordRangeDigests(ReplicaMessage, frozen=True, tag="book_digests"):
    """The backup's digests by range, where its copy is not the primary's."""

    epoch: int
    digests: tuple[int, ...]


class RecordRepair(ReplicaMessage, frozen=True, tag="book_repair"):
    """Ranges as the primary has them; the last of several messages has the digest of all.

    `last_number`: of the newest change that is in them.
    """

    epoch: int
    last_number: int
    ranges: tuple[tuple[int, tuple[IdempotencyRecord, ...]], ...]
    digest: int | None = None


class SettingsRequest(ReplicaMessage, frozen=True, tag="notes_request"):
    """The sender knows older notes than those in force."""


class SettingsInForce(ReplicaMessage, frozen=True, tag="notes_in_force"):
    notes: tuple[ReplicatedSetting, ...]


AnyMessage = (
    Greeting
    | PromiseRequest
    | Promise
    | Refusal
    | StillWriting
    | StateTransfer
    | StateStored
    | AcceptRequest
    | Accepted
    | EpochKnown
    | DiskSynced
    | JoinRequest
    | Leaving
    | DepartureGranted
    | LeadershipReleased
    | LeaseRequest
    | LeaseGrant
    | WriteRequest
    | WriteStored
    | ConfigurationRequest
    | ConfigurationInForce
    | RecordWrite
    | RecordStored
    | RecordsExpired
    | RecordDigest
    | RecordRangeDigests
    | RecordRepair
    | SettingsRequest
    | SettingsInForce
)


def encode(message: ReplicaMessage) -> dict[str, Any]:
    """The message as a connection takes it."""
    fields = msgspec.to_builtins(message)
    assert isinstance(fields, dict)
    return fields


def decode(fields: dict[str, Any]) -> ReplicaMessage:
    """Raises MessageError."""
    try:
        return msgspec.convert(fields, type=AnyMessage)  # type: ignore[no-any-return]
    except msgspec.ValidationError as error:
        raise MessageError(f"{fields.get(TAG)!r}: {error}") from None
