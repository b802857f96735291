"""Epochs and leases over losses, kills, wipes, cuts, slow disks: nothing acknowledged is gone or read old."""

from __future__ import annotations

import itertools
import os

import pytest
from syrupy.assertion import SnapshotAssertion

from ivymux.config_store.actions import Persist, Send, may_overtake
from ivymux.config_store.messages import (
    Accepted,
    LeaseGrant,
    LeaseRequest,
    PromiseRequest,
    WriteRequest,
    WriteStored,
)
from ivymux.config_store.records import DurableState, EpochRecord
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import Broken, Cores
from ivymux.simulation.fault_schedules import Make, placed, play, two_changes

SCHEDULES = int(os.environ.get("EPOCH_SCHEDULES", "400"))


def started(seed: int, count: int = 3, make: Make = Replica) -> Cores:
    cores = Cores(seed, count, make)
    for ip in cores.machines:
        cores.start_at(cores.random.uniform(0, 0.3), ip)
    cores.run(0.5)
    cores.settle()
    return cores


def test_a_first_start_founds_once_in_any_order(snapshot: SnapshotAssertion) -> None:
    for order in itertools.permutations(range(3)):
        cores = Cores(7)
        for place, number in enumerate(order):
            cores.start_at(place * 1.7, f"m{number}")
        cores.run(9.0)
        assert len(cores.leaders()) == 1
        founded = {line.split(" is in force")[0] for line in cores.log if "is in force" in line}
        assert len({line.split("epoch ")[1] for line in founded}) == len(founded)  # no number twice
    assert started(3).log == snapshot


def test_a_fourth_machine_is_taken_in_and_a_gone_one_let_out() -> None:
    cores = started(5, 4)
    assert cores.until(lambda: members(cores) == {"m0", "m1", "m2", "m3"}, 3.0)
    cores.kill("m3")
    assert cores.until(lambda: members(cores) == {"m0", "m1", "m2"}, 12.0)
    cores.start("m3")
    assert cores.until(lambda: members(cores) == {"m0", "m1", "m2", "m3"}, 5.0)


def test_all_three_seeds_are_replaced() -> None:
    cores = Cores(11, 6)
    for ip in ("m0", "m1", "m2"):
        cores.start(ip)
    leader = cores.led(5.0) and cores.leaders()[0]
    assert isinstance(leader, str) and cores.put(leader, 3, "three")
    cores.run(0.5)
    for old, new in (("m0", "m3"), ("m1", "m4"), ("m2", "m5")):
        cores.start(new)
        cores.run(1.5)
        cores.leave(old, gone=True)
        assert cores.until(lambda old=old: cores.machines[old].replica is None, 2.0)  # type: ignore[misc]
        assert cores.led(6.0), cores.log[-6:]
        cores.run(2.5)
    assert members(cores) == {"m3", "m4", "m5"} and cores.read(cores.leaders()[0]) == 3


def members(cores: Cores) -> set[str]:
    leaders = cores.leaders()
    replica = cores.machines[leaders[0]].replica if leaders else None
    return (
        {m.partition("/")[0] for m in replica.led_epoch.members} if replica and replica.led_epoch else set()
    )


@pytest.mark.parametrize("count", [3, 4])
def test_a_lost_leader_is_replaced_soon(count: int) -> None:
    waits = []
    for seed in range(50):
        cores = started(seed, count)
        cores.run(1.0)
        leader = cores.leaders()[0]
        cores.kill(leader)
        began = cores.now
        assert cores.led(10.0)
        first = cores.leaders()[0]
        assert cores.put(first, 5, "five") and cores.acknowledged(5, 3.0)
        waits.append(cores.now - began)
    assert sorted(waits)[25] < 1.5 and max(waits) < 3.0


@pytest.mark.parametrize("count", [3, 4])
def test_the_aimed_loss(count: int) -> None:
    """The primary without its disk while every other machine loses power, right after an acknowledgement."""
    for seed in range(40):
        cores = started(seed, count)
        cores.run(1.5)
        leader = cores.leaders()[0]
        for version in (4, 9):
            cores.put(leader, version, f"v{version}")
            assert cores.acknowledged(version, 2.0)
        cores.wipe(leader)
        for ip in cores.machines:
            cores.kill(ip)
        cores.run(1.0)
        assert cores.read(cores.settle()) == 9


def test_a_backup_lost_with_its_disk_then_the_primary() -> None:
    for seed in range(30):
        cores = started(seed)
        cores.run(1.0)
        leader = cores.leaders()[0]
        replica = cores.machines[leader].replica
        assert replica is not None and replica.led_epoch is not None
        backup = replica.led_epoch.backup.partition("/")[0]
        cores.put(leader, 4, "four")
        assert cores.acknowledged(4, 2.0)
        cores.wipe(backup)
        cores.run(1.2)
        cores.start(backup)
        cores.run(4.0)  # what the operators give a machine to catch up
        cores.wipe(cores.leaders()[0])
        assert cores.read(cores.settle()) == 4


@pytest.mark.parametrize("one_way", [False, True])
def test_a_leader_that_is_cut_off_reads_nothing_old(one_way: bool) -> None:
    for seed in range(30):
        cores = started(seed, 3 + seed % 2)
        cores.run(1.0)
        leader = cores.leaders()[0]
        for ip in cores.machines:
            cores.cut.add((leader, ip))
            if not one_way:
                cores.cut.add((ip, leader))
        for step in range(60):
            cores.run(0.1)
            for ip in cores.machines:
                cores.read(ip)
                if step == 40:
                    cores.put(ip, 6, "six")
        assert cores.highest == 6
        assert cores.read(cores.settle()) == 6


def apart(seed: int, make: Make = Replica) -> Cores:
    """Primary and backup do not hear one another, the witness hears both; changes and reads go on.

    Just before the backup may try, the primary hears the witness no more: nobody tells it of another epoch.
    """
    cores = started(seed, 3, make)
    cores.run(1.0)
    replica = cores.machines[cores.leaders()[0]].replica
    assert replica is not None and replica.led_epoch is not None
    pair = [m.partition("/")[0] for m in (replica.led_epoch.primary, replica.led_epoch.backup)]
    cores.cut |= {(pair[0], pair[1]), (pair[1], pair[0])}
    (witness,) = set(cores.machines) - set(pair)
    for step in range(300):
        if step == 68:
            cores.cut.add((witness, pair[0]))
        cores.run(0.01)
        for ip in cores.machines:
            cores.put(ip, step, f"{step} by {ip}")
        cores.read_all()
    return cores


def test_a_primary_that_its_backup_does_not_hear_reads_nothing_old() -> None:
    taken = 0
    for seed in range(20):
        cores = apart(seed)
        taken += cores.highest > 0  # the two may go on meeting for longer than this lasts
        assert cores.read(cores.settle()) is not None
    assert taken > 15


def test_a_disk_that_hangs_does_not_stop_the_core() -> None:
    for seed in range(20):
        cores = started(seed)
        leader = cores.leaders()[0]
        cores.machines[leader].disk.slow = 8.0
        cores.put(leader, 4, "four")
        cores.run(3.0)
        cores.machines[leader].disk.slow = 0.008
        cores.run(9.0)
        for ip in cores.leaders():
            cores.put(ip, 5, "five")
        assert cores.acknowledged(5, 4.0)


def test_random_schedules_keep_what_was_acknowledged() -> None:
    changes = 0
    for seed in range(SCHEDULES):
        try:
            changes += len(play(seed).acked)
        except Broken as error:
            raise AssertionError(f"seed {seed}: {error}") from error
    assert changes > 3 * SCHEDULES


def test_every_fault_at_every_step_of_two_changes() -> None:
    """Pairs of them: `python -m bench.epochs`."""
    steps = two_changes(())
    assert steps >= 10
    for step in range(steps):
        for fault in placed(step):
            two_changes((fault,))


def test_a_vote_waits_for_the_disk_that_it_rests_on() -> None:
    """A disk hangs with the record of an epoch in force; the vote for its primary must not overtake that."""
    lease = Send("b", LeaseGrant("c/1", 3, 0.0))
    record = Persist(epoch_record=EpochRecord(3, "b/1", "a/1", ("a/1", "b/1", "c/1")))
    same_primary = Persist(epoch_record=record.epoch_record, same_primary=True)
    assert may_overtake(lease, [Persist(promised=(3, "b/1")), same_primary])
    assert not may_overtake(lease, [record])
    write = Send("b", WriteRequest("c/1", 3, 0, 1, "one"))
    assert may_overtake(write, [record]) and not may_overtake(Send("b", Accepted("c/1", 3)), [])


def test_a_fault_at_some_step_shows_an_answer_after_one_disk() -> None:
    with pytest.raises(Broken):
        for step in range(two_changes((), Lonely)):
            for fault in placed(step):
                two_changes((fault,), Lonely)


class Hasty(Replica):
    """Does not wait until a lease it stands by has ended."""

    def on_promise_request(self, source: str, message: PromiseRequest) -> None:
        self.leased_until = self.restart_lease_until = 0.0
        super().on_promise_request(source, message)


class Lonely(Replica):
    """Answers once its own disk has a change."""

    def on_write_stored(self, source: str, message: WriteStored) -> None:
        for change in self.pending:
            change.on_backup = True
        super().on_write_stored(source, message)


@pytest.mark.parametrize("broken", [Hasty, Lonely])
def test_the_checker_finds_seeded_faults(broken: type[Replica]) -> None:
    with pytest.raises(Broken):
        for seed in range(60):
            apart(seed, broken)
            play(seed, broken)


def test_no_vote_for_an_epoch_that_may_not_be_on_disk_yet() -> None:
    """Who first hears of an epoch by a lease might forget it with its process, and then vote for another."""
    old = EpochRecord(2, "a/1", "b/1", ("a/1", "b/1", "c/1"))
    replica = Replica(DurableState("c/1", old, 2, "a/1", None), 100.0)
    new = EpochRecord(3, "b/1", "a/1", old.members)
    lease = LeaseRequest("b/1", 3, 5.0, -1, new)

    def votes(now: float) -> list[str]:
        actions = replica.handle(now, "b", lease)
        return [type(a.message).__name__ for a in actions if isinstance(a, Send) and a.to != "c"]

    assert votes(101.0) == [] and replica.known_epoch == new
    assert votes(101.3) == [] and votes(102.3) == ["LeaseGrant"]
