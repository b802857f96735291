"""Replication of idempotency records and settings: two disks before an answer, repair by ranges."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.config_store.actions import Reply
from ivymux.config_store.calls import (
    Call,
    CallError,
    ClaimAction,
    EndAction,
    LookUpAction,
    PutSetting,
    ReadSetting,
    decode,
)
from ivymux.config_store.idempotency import RecordReplication
from ivymux.config_store.messages import (
    RecordDigest,
    RecordRangeDigests,
    RecordRepair,
    RecordStored,
    RecordWrite,
    ReplicaMessage,
    StateStored,
)
from ivymux.config_store.replica import Replica
from ivymux.idempotency.record_store import RecordStore
from ivymux.simulation.core_cluster import Answer, CoreCluster, GuaranteeViolation
from ivymux.simulation.fault_schedules import play_random_schedule

from .test_epochs import started_cluster


def claim(key: int, number: int = 1) -> ClaimAction:
    return ClaimAction(f"{key:032x}", "tenant", f"door/{number}", "place", "body", 4.0)


def call_primary(cluster: CoreCluster, call: Call, timeout_s: float = 5.0) -> Answer:
    """Return the primary's answer to a call."""
    answers: list[Answer] = []
    for _ in range(int(timeout_s / 0.05)):
        for ip in cluster.machines:
            if not answers:
                cluster.call(ip, call, answers.append)
        cluster.run_for(0.05)
        if answers:
            return answers[0]
    raise AssertionError("no primary answered")


def record_store(cluster: CoreCluster, ip: str) -> RecordStore:
    member = cluster.machines[ip].replica
    assert member is not None
    return member.record_replication.store


def primary_and_backup(cluster: CoreCluster) -> tuple[str, str]:
    member = cluster.machines[cluster.primaries()[0]].replica
    assert member is not None and member.led_epoch is not None
    return member.led_epoch.primary.partition("/")[0], member.led_epoch.backup.partition("/")[0]


def record_message_types(cluster: CoreCluster) -> list[type[ReplicaMessage]]:
    """Return a list to which the type of each later message between machines is added."""
    seen: list[type[ReplicaMessage]] = []
    send = cluster.send

    def recording_send(source: str, target: str, message: ReplicaMessage) -> None:
        seen.append(type(message))
        send(source, target, message)

    cluster.send = recording_send  # type: ignore[method-assign]
    return seen


def look_up(key: int, body: str = "body") -> LookUpAction:
    return LookUpAction(f"{key:032x}", "place", body)


def test_a_look_up_tells_what_became_of_an_action_and_opens_no_record() -> None:
    cluster = started_cluster(3)
    primary, _ = primary_and_backup(cluster)
    assert call_primary(cluster, look_up(1))["verdict"] == "none"
    assert not record_store(cluster, primary).records
    assert call_primary(cluster, claim(1))["verdict"] == "go"
    assert call_primary(cluster, look_up(1))["verdict"] == "in hand"
    assert call_primary(cluster, look_up(1, "other"))["verdict"] == "differs"
    call_primary(cluster, EndAction(f"{1:032x}", "door/1", "done", "kept"))
    known = call_primary(cluster, look_up(1))
    assert (known["verdict"], known["answer"]) == ("answered", "kept")
    call_primary(cluster, claim(2))
    call_primary(cluster, EndAction(f"{2:032x}", "door/1", "free"))
    assert call_primary(cluster, look_up(2))["verdict"] == "none"
    call_primary(cluster, claim(3))
    cluster.run_for(4.1)  # longer than its claim may end it
    assert call_primary(cluster, look_up(3))["verdict"] == "unknown"


def test_a_look_up_does_not_tell_what_is_not_on_both_disks_yet() -> None:
    cluster = started_cluster(3)
    primary, _ = primary_and_backup(cluster)
    answers: list[Answer] = []
    call_primary(cluster, claim(1))
    cluster.call(primary, EndAction(f"{1:032x}", "door/1", "done", "kept"), answers.append)
    cluster.call(primary, look_up(1), answers.append)
    assert [answer["verdict"] for answer in answers] == ["in hand"]


def test_a_claim_is_on_both_disks_before_it_is_answered() -> None:
    cluster = started_cluster(3)
    primary, backup = primary_and_backup(cluster)
    answers: list[Answer] = []
    assert cluster.call(primary, claim(1), answers.append) and not answers
    cluster.run_for(0.2)
    assert [answer["verdict"] for answer in answers] == ["go"]
    assert all(
        f"{1:032x}" in cluster.machines[ip].disk.durable.idempotency_records for ip in (primary, backup)
    )
    assert call_primary(cluster, claim(1, 2))["verdict"] == "in hand"


def test_a_new_backup_receives_only_the_ranges_that_differ() -> None:
    cluster = started_cluster(4)
    for key in range(40):
        call_primary(cluster, claim(key << 120 | key))
    _, backup = primary_and_backup(cluster)
    cluster.kill(backup)
    for key in range(40, 44):
        call_primary(cluster, claim(key << 120 | key))
    repaired_ranges: list[Any] = []
    send = cluster.send

    def recording_send(source: str, target: str, message: ReplicaMessage) -> None:
        if isinstance(message, RecordRepair):
            repaired_ranges.extend(message.ranges)
        send(source, target, message)

    cluster.send = recording_send  # type: ignore[method-assign]
    cluster.start(backup)
    cluster.run_for(2.0)
    if (replacement := primary_and_backup(cluster)[1]) != backup:
        cluster.kill(replacement)
        cluster.run_for(6.0)
    primary, new_backup = primary_and_backup(cluster)
    assert record_store(cluster, primary).root_digest() == record_store(cluster, new_backup).root_digest()
    assert repaired_ranges and sum(len(records) for _, records in repaired_ranges) < 44


def test_copies_that_differ_are_repaired_while_an_epoch_is_in_force() -> None:
    cluster = started_cluster(5)
    for key in range(10):
        call_primary(cluster, claim(key))
    primary, backup = primary_and_backup(cluster)
    record_store(cluster, backup).remove(f"{3:032x}")
    cluster.run_for(6.0)
    assert primary_and_backup(cluster) == (primary, backup)
    assert record_store(cluster, primary).root_digest() == record_store(cluster, backup).root_digest()
    seen = record_message_types(cluster)
    cluster.run_for(6.0)
    assert RecordDigest in seen and RecordRepair not in seen


def test_copies_are_not_compared_without_records() -> None:
    cluster = started_cluster(6)
    seen = record_message_types(cluster)
    cluster.run_for(8.0)
    assert not {RecordDigest, RecordRangeDigests, RecordRepair, RecordWrite} & set(seen)


def test_settings_reach_all_machines_and_one_that_starts_later() -> None:
    cluster = started_cluster(7)
    cluster.kill("m2")
    cluster.run_for(0.5)
    setting = PutSetting("conversations", 4, '{"settings_version":4,"kept_for":"1h"}')
    assert call_primary(cluster, setting) == {"ok": True, "version": 4}
    cluster.start("m2")
    cluster.run_for(3.0)
    for machine in cluster.machines.values():
        assert machine.replica is not None
        assert machine.replica.record_replication.settings["conversations"].version == 4
    primary = cluster.machines[cluster.primaries()[0]].replica
    assert primary is not None and primary.record_replication.limits.retention_s == 3600.0
    assert call_primary(cluster, PutSetting("conversations", 3, "older"))["ok"]
    assert primary.record_replication.settings["conversations"].version == 4


@pytest.mark.parametrize("wrong", [{"k": "claim", "key": ["x"]}, {"k": "claim"}, {"k": "end", "key": "a"}])
def test_a_malformed_call_is_rejected(wrong: dict[str, Any]) -> None:
    with pytest.raises(CallError):
        decode(wrong)


def test_a_claim_out_of_bounds_is_rejected() -> None:
    cluster = started_cluster(8)
    with pytest.raises(ValueError):
        cluster.call(
            cluster.primaries()[0], ClaimAction("no key", "tenant", "door/1", "place", "body", 4.0), print
        )


class AcknowledgesAfterOneDisk(RecordReplication):
    """A primary that acknowledges a claim once its own disk holds it."""

    def on_record_stored(self, source: str, message: RecordStored) -> None:
        pending = self.pending.get(message.change_number)
        if pending is not None and self.replica.led_epoch is not None:
            pending.stored_by |= set(self.replica.led_epoch.backups())
        super().on_record_stored(source, message)


class ClaimsToBeRepaired(RecordReplication):
    """A backup that reports the state as stored without the repair."""

    def send_digests(self, primary: str, epoch: int, resume_after: str = "") -> None:
        self.replica.send(primary, StateStored(self.replica.identity, epoch))


class IgnoresTheClaimant(RecordReplication):
    """A primary that lets any claim end a record."""

    def end_action(self, call_id: int, call: EndAction) -> Reply:
        held = self.store.records.get(call.key)
        claim = held.claim if held is not None else ""
        return super().end_action(call_id, EndAction(call.key, claim, call.state, call.answer))


@pytest.mark.parametrize("broken", [AcknowledgesAfterOneDisk, ClaimsToBeRepaired, IgnoresTheClaimant])
def test_the_checker_detects_seeded_faults(broken: type[RecordReplication]) -> None:
    class Faulty(Replica):
        record_replication_class = broken

    with pytest.raises(GuaranteeViolation):
        for seed in range(150):
            play_random_schedule(seed, Faulty)


def test_a_setting_based_on_another_version_is_not_stored() -> None:
    """Of two operators who change the same setting at once, the later one must make the change again."""
    cluster = started_cluster(3)

    def put(based_on: int, version: int, text: str) -> Answer:
        return call_primary(cluster, PutSetting("trials", version, text, based_on))

    first = {"ok": True, "version": 0}
    assert put(-1, 0, "first") == first
    assert put(-1, 0, "another first") == {**first, "taken": False}
    assert put(-1, 0, "first") == first  # a repeat, as if its answer was lost
    assert put(0, 1, "second") == {"ok": True, "version": 1}
    assert put(0, 1, "another") == {"ok": True, "version": 1, "taken": False}
    read = ReadSetting("trials")
    assert call_primary(cluster, read) == {"ok": True, "version": 1, "text": "second"}
    cluster.kill(primary_and_backup(cluster)[0])
    assert call_primary(cluster, read) == {"ok": True, "version": 1, "text": "second"}
    assert put(1, 2, "third") == {"ok": True, "version": 2}


def test_another_text_under_the_version_held_is_not_stored() -> None:
    cluster = started_cluster(3)
    assert call_primary(cluster, PutSetting("conversations", 4, "one")) == {"ok": True, "version": 4}
    assert call_primary(cluster, PutSetting("conversations", 4, "other")) == {
        "ok": True,
        "version": 4,
        "taken": False,
    }
    assert call_primary(cluster, PutSetting("conversations", 4, "one")) == {"ok": True, "version": 4}
