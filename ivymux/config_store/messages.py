"""Messages between the config stores of the core machines.  Pure.

Each message carries its sender's identity.  `encode` returns the fields that a connection carries, `decode`
the typed message; the first message of a connection is a `Greeting` with the protocol's version.  Where a
field's name on the wire is not the attribute's, `msgspec.field` gives it.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ivymux.config_store.records import EpochRecord, ReplicatedSetting
from ivymux.idempotency.record_store import IdempotencyRecord, KeyInterval

PROTOCOL_VERSION = 2
TAG = "kind"


class MessageError(ValueError):
    """A message that no config store of this protocol version sends."""


class ReplicaMessage(msgspec.Struct, frozen=True, tag_field=TAG, omit_defaults=True):
    """Base of all messages between replicas."""

    sender: str


class Greeting(ReplicaMessage, frozen=True, tag="greeting"):
    """The first message of a connection."""

    address: str
    version: int


# --- elections --------------------------------------------------------------------------------------------


class PromiseRequest(ReplicaMessage, frozen=True, tag="promise_request"):
    """A candidate's request for a promise to ignore epochs below its number."""

    epoch: int
    epoch_record: EpochRecord = msgspec.field(name="record")  # the newest that the candidate knows
    waits_for_disk: bool = False  # a member is still writing to its disk, so other candidates should wait


class Promise(ReplicaMessage, frozen=True, tag="promise"):
    """A promise, sent once it is on the member's disk."""

    epoch: int
    epoch_record: EpochRecord = msgspec.field(name="record")  # the newest that the sender knows


class Refusal(ReplicaMessage, frozen=True, tag="refusal"):
    """The sender has promised a higher number, or this number to another candidate."""

    promised: int
    epoch_record: EpochRecord = msgspec.field(name="record")


class StillWriting(ReplicaMessage, frozen=True, tag="working"):
    """The sender is still writing the requested step to its disk."""

    epoch: int


class StateTransfer(ReplicaMessage, frozen=True, tag="state_transfer"):
    """The whole configuration state and the digest of the record store, for the backup of a new epoch."""

    epoch: int
    version: int
    text: str
    history: tuple[tuple[int, str], ...]
    store_digest: int = msgspec.field(name="book_digest")


class StateStored(ReplicaMessage, frozen=True, tag="state_stored"):
    """The new backup's disk holds the whole state."""

    epoch: int


class AcceptRequest(ReplicaMessage, frozen=True, tag="accept_request"):
    """A candidate's request to store the record of its epoch."""

    epoch_record: EpochRecord = msgspec.field(name="record")


class Accepted(ReplicaMessage, frozen=True, tag="accepted"):
    """The sender's disk holds the epoch's record."""

    epoch: int


class EpochKnown(ReplicaMessage, frozen=True, tag="epoch_known"):
    """The newest epoch that the sender knows, sent while it receives no lease requests."""

    epoch_record: EpochRecord = msgspec.field(name="record")


class DiskSynced(ReplicaMessage, frozen=True, tag="disk_synced"):
    """Sent by a machine to itself once a step is on its disk."""

    step: int


# --- membership and leases --------------------------------------------------------------------------------


class JoinRequest(ReplicaMessage, frozen=True, tag="join_request"):
    """The sender is not a member and asks to become one."""


class Leaving(ReplicaMessage, frozen=True, tag="leaving"):
    """The sender's process was asked to shut down."""


class DepartureGranted(ReplicaMessage, frozen=True, tag="departure_granted"):
    """The primary's permission to end: an epoch is in force that does not depend on the leaving machine."""

    epoch: int


class LeadershipReleased(ReplicaMessage, frozen=True, tag="leadership_released"):
    """The sender is no longer the primary: leases granted to it are void."""


class LeaseRequest(ReplicaMessage, frozen=True, tag="lease_request"):
    """The primary's periodic request for its lease.

    Only some requests carry the epoch record; a member that does not know the epoch waits for one that does.
    """

    epoch: int
    sent_at: float  # seconds on the sender's steady clock
    version: int  # of the configuration that the sender holds
    epoch_record: EpochRecord | None = msgspec.field(name="record", default=None)
    settings_progress: int = msgspec.field(name="notes_told", default=0)  # see RecordReplication


class LeaseGrant(ReplicaMessage, frozen=True, tag="lease_grant"):
    """A member's grant of the lease."""

    epoch: int
    sent_at: float  # of the request


# --- the configuration ------------------------------------------------------------------------------------


class WriteRequest(ReplicaMessage, frozen=True, tag="write_request"):
    """A change of the configuration, for the backup."""

    epoch: int
    previous: int  # the version that the change follows
    version: int
    text: str


class WriteStored(ReplicaMessage, frozen=True, tag="write_stored"):
    """The sender's disk holds all changes of an epoch up to a version."""

    epoch: int
    version: int


class ConfigurationRequest(ReplicaMessage, frozen=True, tag="configuration_request"):
    """The sender knows an older configuration than the one in force."""


class ConfigurationInForce(ReplicaMessage, frozen=True, tag="configuration_in_force"):
    """The configuration in force."""

    epoch: int
    version: int
    text: str


# --- idempotency records and replicated settings ----------------------------------------------------------


class RecordWrite(ReplicaMessage, frozen=True, tag="ticket_write"):
    """A change of an idempotency record, for the backup."""

    epoch: int
    record: IdempotencyRecord = msgspec.field(name="ticket")


class RecordStored(ReplicaMessage, frozen=True, tag="ticket_stored"):
    """The sender's disk holds the change of this number."""

    epoch: int
    change_number: int = msgspec.field(name="number")


class RecordsExpired(ReplicaMessage, frozen=True, tag="tickets_dropped"):
    """The retention time of the records with these keys is over."""

    epoch: int
    keys: tuple[str, ...]


class RecordDigest(ReplicaMessage, frozen=True, tag="book_comparison"):
    """The digest of the primary's record store, for a comparison with the backup's."""

    epoch: int
    digest: int


class RecordRangeDigests(ReplicaMessage, frozen=True, tag="book_digests"):
    """The digests of each range of the backup's record store, sent where it differs from the primary's."""

    epoch: int
    digests: tuple[int, ...]
    resume_after: str = ""  # the key up to which a range that is repaired in several parts is equal by now


class RecordRepair(ReplicaMessage, frozen=True, tag="book_repair"):
    """Ranges of the primary's record store, and intervals of ranges that are too large for one message.

    A comparison may be followed by several messages; the last of them carries the digest of the whole store.
    """

    epoch: int
    last_change_number: int = msgspec.field(name="last_number")  # of the newest change in the store
    ranges: tuple[tuple[int, tuple[IdempotencyRecord, ...]], ...]
    digest: int | None = None
    intervals: tuple[KeyInterval, ...] = ()


class SettingsRequest(ReplicaMessage, frozen=True, tag="notes_request"):
    """The sender knows older replicated settings than those in force."""


class SettingsInForce(ReplicaMessage, frozen=True, tag="notes_in_force"):
    """The replicated settings in force."""

    settings: tuple[ReplicatedSetting, ...] = msgspec.field(name="notes")


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
    """Return the fields of a message as a connection carries them."""
    fields = msgspec.to_builtins(message)
    assert isinstance(fields, dict)
    return fields


def decode(fields: dict[str, Any]) -> ReplicaMessage:
    """Return the message that the fields describe.  Raises MessageError."""
    try:
        return msgspec.convert(fields, type=AnyMessage)  # type: ignore[no-any-return]
    except msgspec.ValidationError as error:
        raise MessageError(f"{fields.get(TAG)!r}: {error}") from None
