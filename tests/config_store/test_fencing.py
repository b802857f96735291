"""Each receiver of what acts for an epoch refuses a lower one: nothing kept, no vote, no acknowledgement."""

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
TICKET = IdempotencyRecord("0" * 32, "tenant", "door/1", "place", "body", 2.0, change_number=4 << 32)
ACKNOWLEDGED = (Promise, Accepted, LeaseGrant, StateStored, WriteStored, RecordStored, RecordRangeDigests)
OF_OLD_PRIMARY: tuple[ReplicaMessage, ...] = (
    PromiseRequest("a/1", 5, OLD),
    AcceptRequest("a/1", EpochRecord(5, "a/1", "b/1", MEMBERS)),
    StateTransfer("a/1", 5, 9, "nine", ((9, "digest"),), 0),
    LeaseRequest("a/1", 4, 1.0, 9, OLD),
    WriteRequest("a/1", 4, 3, 9, "nine"),
    RecordWrite("a/1", 4, TICKET),
    RecordsExpired("a/1", 4, (TICKET.key,)),
    RecordDigest("a/1", 4, 1),
    RecordRepair("a/1", 4, 4 << 32, ((0, (TICKET,)),), 1),
)


def backup(state_epoch: int) -> Replica:
    """The backup of the new epoch, which is in force; votes of before its restart have ended."""
    state = ConfigurationState(state_epoch, 3, "three")
    return Replica(DurableState("b/1", NEW, 6, "c/1", state, {}, ((3, "digest"),)), 0.0)


def told(actions: list[Action], source: str) -> list[ReplicaMessage]:
    return [a.message for a in actions if isinstance(a, Send) and a.to == source]


@pytest.mark.parametrize("message", OF_OLD_PRIMARY, ids=lambda m: type(m).__name__)
@pytest.mark.parametrize("state_epoch", [4, 6])
def test_what_acts_for_a_lower_epoch_is_refused(message: ReplicaMessage, state_epoch: int) -> None:
    replica = backup(state_epoch)
    actions = replica.handle(6.0, "a", message)
    assert not any(isinstance(action, Persist) for action in actions)
    assert not any(isinstance(answer, ACKNOWLEDGED) for answer in told(actions, "a"))
    assert (replica.known_epoch, replica.promised, replica.promised_to) == (NEW, 6, "c/1")
    assert (
        replica.state == ConfigurationState(state_epoch, 3, "three")
        and not replica.record_replication.store.records
    )


@pytest.mark.parametrize("message", OF_OLD_PRIMARY[:4], ids=lambda m: type(m).__name__)
def test_who_asks_for_a_lower_epoch_hears_of_the_higher_one(message: ReplicaMessage) -> None:
    answers = told(backup(6).handle(6.0, "a", message), "a")
    assert [type(answer) for answer in answers] == [Refusal]
    assert isinstance(answers[0], Refusal) and (answers[0].promised, answers[0].epoch_record) == (6, NEW)


def test_an_old_primary_that_hears_of_a_higher_epoch_leads_no_more() -> None:
    replica = Replica(DurableState("a/1", OLD, 4, "a/1", ConfigurationState(4, 3, "three")), 0.0)
    replica.led_epoch = OLD
    replica.lease_grants = {"b/1": 100.0, "c/1": 100.0}
    assert replica.may_serve(1.0)
    replica.handle(1.0, "c", Refusal("c/1", 6, NEW))
    assert replica.led_epoch is None and not replica.may_serve(1.0) and replica.put(1, 9, "nine") is None
