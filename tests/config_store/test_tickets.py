"""Tickets at the core machines: on two disks before a claim goes, mended by ranges, notes told to all."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.config_store.actions import Reply
from ivymux.config_store.calls import Call, CallError, ClaimAction, EndAction, PutSetting, ReadSetting, decode
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
from ivymux.simulation.core_cluster import Answer, Broken, Cores
from ivymux.simulation.fault_schedules import play

from .test_epochs import started


def claim(key: int, number: int = 1) -> ClaimAction:
    return ClaimAction(f"{key:032x}", "tenant", f"door/{number}", "place", "body", 4.0)


def asked(cores: Cores, call: Call, most: float = 5.0) -> Answer:
    """What who leads says of a call."""
    told: list[Answer] = []
    for _ in range(int(most / 0.05)):
        for ip in cores.machines:
            if not told:
                cores.ask(ip, call, told.append)
        cores.run(0.05)
        if told:
            return told[0]
    raise AssertionError("nobody answers")


def book(cores: Cores, ip: str) -> RecordStore:
    member = cores.machines[ip].replica
    assert member is not None
    return member.record_replication.store


def pair(cores: Cores) -> tuple[str, str]:
    member = cores.machines[cores.leaders()[0]].replica
    assert member is not None and member.led_epoch is not None
    return member.led_epoch.primary.partition("/")[0], member.led_epoch.backup.partition("/")[0]


def kinds(cores: Cores) -> list[type[ReplicaMessage]]:
    """Notes each message between machines from now on."""
    seen: list[type[ReplicaMessage]] = []
    send = cores.send

    def noted(source: str, target: str, message: ReplicaMessage) -> None:
        seen.append(type(message))
        send(source, target, message)

    cores.send = noted  # type: ignore[method-assign]
    return seen


def test_a_claim_is_on_both_disks_before_it_goes() -> None:
    cores = started(3)
    primary, backup = pair(cores)
    told: list[Answer] = []
    assert cores.ask(primary, claim(1), told.append) and not told
    cores.run(0.2)
    assert [t["verdict"] for t in told] == ["go"]
    assert all(f"{1:032x}" in cores.machines[ip].disk.kept.idempotency_records for ip in (primary, backup))
    assert asked(cores, claim(1, 2))["verdict"] == "in hand"


def test_a_new_backup_gets_only_the_ranges_in_which_it_differs() -> None:
    cores = started(4)
    for key in range(40):
        asked(cores, claim(key << 120 | key))
    _, backup = pair(cores)
    cores.kill(backup)
    for key in range(40, 44):
        asked(cores, claim(key << 120 | key))
    parts: list[Any] = []
    send = cores.send

    def noted(source: str, target: str, message: ReplicaMessage) -> None:
        if isinstance(message, RecordRepair):
            parts.extend(message.ranges)
        send(source, target, message)

    cores.send = noted  # type: ignore[method-assign]
    cores.start(backup)
    cores.run(2.0)
    if (stood_in := pair(cores)[1]) != backup:
        cores.kill(stood_in)
        cores.run(6.0)
    now = pair(cores)
    assert book(cores, now[0]).root_digest() == book(cores, now[1]).root_digest()
    assert parts and sum(len(tickets) for _, tickets in parts) < 44


def test_copies_that_have_drifted_are_found_and_mended_while_an_epoch_is_in_force() -> None:
    cores = started(5)
    for key in range(10):
        asked(cores, claim(key))
    primary, backup = pair(cores)
    book(cores, backup).remove(f"{3:032x}")
    cores.run(6.0)
    assert pair(cores) == (primary, backup)
    assert book(cores, primary).root_digest() == book(cores, backup).root_digest()
    seen = kinds(cores)
    cores.run(6.0)
    assert RecordDigest in seen and RecordRepair not in seen


def test_a_system_without_actions_compares_nothing() -> None:
    cores = started(6)
    seen = kinds(cores)
    cores.run(8.0)
    assert not {RecordDigest, RecordRangeDigests, RecordRepair, RecordWrite} & set(seen)


def test_notes_reach_all_and_a_machine_that_comes_later() -> None:
    cores = started(7)
    cores.kill("m2")
    cores.run(0.5)
    note = PutSetting("conversations", 4, '{"settings_version":4,"kept_for":"1h"}')
    assert asked(cores, note) == {"ok": True, "version": 4}
    cores.start("m2")
    cores.run(3.0)
    for machine in cores.machines.values():
        assert machine.replica is not None
        assert machine.replica.record_replication.settings["conversations"].version == 4
    leader = cores.machines[cores.leaders()[0]].replica
    assert leader is not None and leader.record_replication.limits.retention_s == 3600.0
    assert asked(cores, PutSetting("conversations", 3, "older"))["ok"]
    assert leader.record_replication.settings["conversations"].version == 4


@pytest.mark.parametrize("wrong", [{"k": "claim", "key": ["x"]}, {"k": "claim"}, {"k": "end", "key": "a"}])
def test_a_call_that_no_door_makes_is_refused(wrong: dict[str, Any]) -> None:
    with pytest.raises(CallError):
        decode(wrong)


def test_a_claim_out_of_its_bounds_is_refused() -> None:
    cores = started(8)
    with pytest.raises(ValueError):
        cores.ask(cores.leaders()[0], ClaimAction("no key", "tenant", "door/1", "place", "body", 4.0), print)


class Quick(RecordReplication):
    """Answers a claim once its own disk has it."""

    def on_record_stored(self, source: str, message: RecordStored) -> None:
        pending = self.pending.get(message.change_number)
        if pending is not None:
            pending.on_backup = True
        super().on_record_stored(source, message)


class Unmended(RecordReplication):
    """Says that it has all when it has only been asked to."""

    def send_digests(self, primary: str, epoch: int) -> None:
        self.replica.send(primary, StateStored(self.replica.identity, epoch))


class Generous(RecordReplication):
    """Lets anyone end a ticket."""

    def end_action(self, call_id: int, call: EndAction) -> Reply:
        held = self.store.records.get(call.key)
        claim = held.claim if held is not None else ""
        return super().end_action(call_id, EndAction(call.key, claim, call.state, call.answer))


@pytest.mark.parametrize("broken", [Quick, Unmended, Generous])
def test_the_checker_finds_seeded_faults(broken: type[RecordReplication]) -> None:
    class Faulty(Replica):
        record_replication_class = broken

    with pytest.raises(Broken):
        for seed in range(150):
            play(seed, Faulty)


def test_a_note_that_was_made_from_another_is_not_taken() -> None:
    """Two operators change the same board at once: the later one hears so, and makes its change anew."""
    cores = started(3)

    def put(based_on: int, version: int, text: str) -> Answer:
        return asked(cores, PutSetting("trials", version, text, based_on))

    first = {"ok": True, "version": 0}
    assert put(-1, 0, "first") == first
    assert put(-1, 0, "another first") == {**first, "taken": False}
    assert put(-1, 0, "first") == first  # the same again, as its answer was lost
    assert put(0, 1, "second") == {"ok": True, "version": 1}
    assert put(0, 1, "another") == {"ok": True, "version": 1, "taken": False}
    read = ReadSetting("trials")
    assert asked(cores, read) == {"ok": True, "version": 1, "text": "second"}
    cores.kill(pair(cores)[0])
    assert asked(cores, read) == {"ok": True, "version": 1, "text": "second"}
    assert put(1, 2, "third") == {"ok": True, "version": 2}


def test_other_settings_under_a_version_that_is_held_are_not_taken() -> None:
    cores = started(3)
    assert asked(cores, PutSetting("conversations", 4, "one")) == {"ok": True, "version": 4}
    assert asked(cores, PutSetting("conversations", 4, "other")) == {"ok": True, "version": 4, "taken": False}
    assert asked(cores, PutSetting("conversations", 4, "one")) == {"ok": True, "version": 4}
