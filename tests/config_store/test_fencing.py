"""Messages of a lower epoch are fenced off: nothing is stored, no lease granted, nothing acknowledged."""

from __future__ import annotations

import pytest

from ivymux.config_store.actions import Action, Persist, Send
from ivymux.config_store.messages import (
    Accepted,
    AcceptRequest,
    LeaseGrant,
    LeaseRequest,
    Promise,
    PromiseRequest,
    RecordDigest,
    RecordRangeDigests,
    RecordRepair,
    RecordsExpired,
    RecordStored,
    RecordWrite,
    Refusal,
    ReplicaMessage,
    StateStored,
    StateTransfer,
    WriteRequest,
    WriteStored,
)
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord
from ivymux.config_store.replica import Replica
from ivymux.idempotency.record_store import IdempotencyRecord

MEMBERS = ("a/1", "b/1", "c/1")
OLD = EpochRecord(4, "a/1", "b/1", MEMBERS)
NEW = EpochRecord(6, "c/1", "b/1", MEMBERS)
RECORD = IdempotencyRecord("0" * 32, "tenant", "door/1", "place", "body", 2.0, change_number=4 << 32)
ACKNOWLEDGEMENTS = (Promise, Accepted, LeaseGrant, StateStored, WriteStored, RecordStored, RecordRangeDigests)
FROM_OLD_PRIMARY: tuple[ReplicaMessage, ...] = (
    PromiseRequest("a/1", 5, OLD),
    AcceptRequest("a/1", EpochRecord(5, "a/1", "b/1", MEMBERS)),
    StateTransfer("a/1", 5, 9, "nine", ((9, "digest"),), 0),
    LeaseRequest("a/1", 4, 1.0, 9, OLD),
    WriteRequest("a/1", 4, 3, 9, "nine"),
    RecordWrite("a/1", 4, RECORD),
    RecordsExpired("a/1", 4, (RECORD.key,)),
    RecordDigest("a/1", 4, 1),
    RecordRepair("a/1", 4, 4 << 32, ((0, (RECORD,)),), 1),
)


def backup(state_epoch: int) -> Replica:
    """Return the backup of the new epoch in force; leases granted before its restart have expired."""
    state = ConfigurationState(state_epoch, 3, "three")
    return Replica(DurableState("b/1", NEW, 6, "c/1", state, {}, ((3, "digest"),)), 0.0)


def answers_to(actions: list[Action], source: str) -> list[ReplicaMessage]:
    return [a.message for a in actions if isinstance(a, Send) and a.to == source]


@pytest.mark.parametrize("message", FROM_OLD_PRIMARY, ids=lambda m: type(m).__name__)
@pytest.mark.parametrize("state_epoch", [4, 6])
def test_a_message_of_a_lower_epoch_changes_nothing(message: ReplicaMessage, state_epoch: int) -> None:
    replica = backup(state_epoch)
    actions = replica.handle(6.0, "a", message)
    assert not any(isinstance(action, Persist) for action in actions)
    assert not any(isinstance(answer, ACKNOWLEDGEMENTS) for answer in answers_to(actions, "a"))
    assert (replica.known_epoch, replica.promised, replica.promised_to) == (NEW, 6, "c/1")
    assert (
        replica.state == ConfigurationState(state_epoch, 3, "three")
        and not replica.record_replication.store.records
    )


@pytest.mark.parametrize("message", FROM_OLD_PRIMARY[:4], ids=lambda m: type(m).__name__)
def test_a_request_for_a_lower_epoch_is_answered_with_the_higher_one(message: ReplicaMessage) -> None:
    answers = answers_to(backup(6).handle(6.0, "a", message), "a")
    assert [type(answer) for answer in answers] == [Refusal]
    assert isinstance(answers[0], Refusal) and (answers[0].promised, answers[0].epoch_record) == (6, NEW)


def test_an_old_primary_steps_down_when_it_learns_of_a_higher_epoch() -> None:
    replica = Replica(DurableState("a/1", OLD, 4, "a/1", ConfigurationState(4, 3, "three")), 0.0)
    replica.led_epoch = OLD
    replica.lease_grants = {"b/1": 100.0, "c/1": 100.0}
    assert replica.may_serve(1.0)
    replica.handle(1.0, "c", Refusal("c/1", 6, NEW))
    assert (
        replica.led_epoch is None
        and not replica.may_serve(1.0)
        and replica.put_configuration(1, 9, "nine") is None
    )
