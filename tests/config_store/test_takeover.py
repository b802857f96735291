"""The backup takes over once its primary's lease has run out."""

from __future__ import annotations

from ivymux.config_store.messages import DiskSynced, LeaseRequest, Promise
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord
from ivymux.config_store.replica import Replica
from ivymux.config_store.timing import LEASE_S

RECORD = EpochRecord(2, "a/1", "b/1", ("a/1", "b/1", "c/1"))
STARTED_AT = 100.0


def candidate(primary_seen_at: float, now: float) -> Replica:
    """Return the backup as it tries to make the next epoch and one member has promised.

    `primary_seen_at`: when the primary last asked for its lease; 0: not since the backup started.
    """
    state = ConfigurationState(2, 7, "seven")
    replica = Replica(DurableState("b/1", RECORD, 2, "a/1", state), STARTED_AT)
    if primary_seen_at:
        replica.handle(primary_seen_at, "a", LeaseRequest("a/1", 2, 5.0, 7, RECORD))
    replica.tick(now)
    assert replica.attempt is not None
    replica.handle(now, "b", DiskSynced("b/1", replica.epoch_steps))
    replica.handle(now, "c", Promise("c/1", replica.attempt.number, RECORD))
    return replica


def test_the_backup_does_not_wait_for_a_primary_whose_lease_has_run_out() -> None:
    seen_at = STARTED_AT + 1.0
    attempt = candidate(seen_at, seen_at + LEASE_S + 0.01).attempt
    assert attempt is not None and attempt.epoch_record is not None
    assert attempt.epoch_record.backup == "c/1"


def test_the_backup_waits_for_a_primary_that_may_have_restarted_with_it() -> None:
    attempt = candidate(0.0, STARTED_AT + LEASE_S + 0.01).attempt
    assert attempt is not None and attempt.epoch_record is None
