"""Planned departures, second losses, slow disks, two texts under one version: no acknowledged change is lost.

`python -m bench.control` runs more seeds, sizes and delays.
"""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from ivymux.config_store import durable_store
from ivymux.config_store.actions import Persist
from ivymux.config_store.durable_store import DurableStore, DurableStoreError
from ivymux.config_store.history import MAX_CHANGES, ChangeHistory, ChangeOutcome, digest_of
from ivymux.config_store.messages import ReplicaMessage, StateTransfer
from ivymux.config_store.records import ConfigurationState
from ivymux.simulation.core_cluster import CoreCluster, GuaranteeViolation
from ivymux.simulation.loss_scenarios import (
    BACKUP,
    PRIMARY,
    ROLES,
    WITNESS,
    departure,
    hanging_backup,
    hanging_disks,
    machine_with_role,
    put_until_acknowledged,
    slow_repair,
    start_cluster,
)

DELAYS = (0.0, 0.5, 1.0, 3.0)
MAX_ATTEMPTS = 6  # epochs tried in 30 s


@pytest.mark.parametrize("count", [3, 4, 5])
@pytest.mark.parametrize(("role", "victim"), list(itertools.permutations(ROLES, 2)))
def test_a_departure_followed_by_a_lost_disk(count: int, role: str, victim: str) -> None:
    for delay, seed in itertools.product(DELAYS, range(4)):
        departure(seed, count, role, victim, delay)


@pytest.mark.parametrize("commit_s", [0.3, 2.0])
def test_a_second_loss_after_a_repair_on_a_slow_disk(commit_s: float) -> None:
    for seed in range(15):
        slow_repair(seed, 3, commit_s)


@pytest.mark.parametrize("count", [3, 4, 5])
@pytest.mark.parametrize("victim", ROLES)
def test_a_backup_with_a_hanging_disk_is_replaced_before_another_disk_is_lost(
    count: int, victim: str
) -> None:
    for delay, seed in itertools.product(DELAYS, range(3)):
        hanging_backup(seed, count, delay, victim)


@pytest.mark.parametrize("count", [3, 4])
def test_few_epochs_are_tried_while_all_other_disks_hang(count: int) -> None:
    for seed in range(3):
        assert hanging_disks(seed, count) <= MAX_ATTEMPTS


@pytest.mark.parametrize("role", ROLES)
def test_a_change_during_a_planned_end_is_answered_within_half_a_second(role: str) -> None:
    for seed in range(10):
        cluster = start_cluster(seed, 3 + seed % 3)
        cluster.leave(machine_with_role(cluster, role))
        assert put_until_acknowledged(cluster, 2) < 0.5


def test_a_primary_and_a_backup_that_end_at_once_hand_over_to_a_third_machine() -> None:
    for seed in range(10):
        cluster = start_cluster(seed, 4)
        for machine in (machine_with_role(cluster, PRIMARY), machine_with_role(cluster, BACKUP)):
            cluster.leave(machine, for_good=True)
        cluster.run_for(1.0)
        assert all(cluster.machines[m].replica is None for m in cluster.removed_machines)
        assert cluster.read(cluster.heal()) == 1


def test_a_machine_with_the_only_other_copy_stays_until_its_grace_is_over() -> None:
    cluster = start_cluster(1, 3)
    leaving = machine_with_role(cluster, BACKUP)
    cluster.kill(machine_with_role(cluster, WITNESS))
    cluster.leave(leaving)
    cluster.run_for(3.0)
    assert cluster.machines[leaving].replica is not None and cluster.primaries()
    cluster.run_for(3.0)
    assert cluster.machines[leaving].replica is None


def test_the_primary_serves_reads_while_a_member_with_a_slow_disk_joins() -> None:
    cluster = start_cluster(2, 3)
    primary = machine_with_role(cluster, PRIMARY)
    witness = machine_with_role(cluster, WITNESS)
    cluster.wipe(witness)
    cluster.machines[witness].disk.commit_s = 1.0
    cluster.run_for(0.5)
    cluster.start(witness)
    for _ in range(160):
        cluster.run_for(0.05)
        assert cluster.primaries() == [primary]


# --- one version, one text --------------------------------------------------------------------------------


class Operator:
    """Sends a change to all machines in turn until one answers with its outcome."""

    def __init__(self, cluster: CoreCluster) -> None:
        self.cluster = cluster
        self.outcomes: list[tuple[int, str, ChangeOutcome]] = []
        check_outcome = cluster.on_change_outcome

        def on_change_outcome(version: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
            check_outcome(version, text, outcome, known)
            self.outcomes.append((version, text, outcome))

        cluster.on_change_outcome = on_change_outcome  # type: ignore[method-assign]

    def put(self, version: int, text: str, timeout_s: float = 6.0) -> ChangeOutcome | None:
        self.outcomes.clear()
        deadline = self.cluster.now + timeout_s
        while self.cluster.now < deadline:
            for machine in self.cluster.machines:
                self.cluster.put(machine, version, text)
            self.cluster.run_for(0.02)
            outcomes = [outcome for *change, outcome in self.outcomes if change == [version, text]]
            if outcomes:
                return outcomes[0]
        return None


def test_two_texts_under_one_version_are_not_both_confirmed() -> None:
    for seed in range(20):
        cluster = start_cluster(seed, 3)
        primary = cluster.primaries()[0]
        for text in ("seven by a", "seven by b"):  # at the same instant, by two operators
            cluster.put(primary, 7, text)
        assert cluster.run_until_acknowledged(7, 2.0)
        operator = Operator(cluster)
        outcomes = {operator.put(7, text) for text in ("seven by a", "seven by b")}
        assert outcomes == {ChangeOutcome.STORED, ChangeOutcome.CONFLICT}
        assert operator.put(7, "a third") is ChangeOutcome.CONFLICT


def test_a_repeated_change_is_recognised_after_lost_primaries_and_a_hundred_changes() -> None:
    cluster = start_cluster(3, 3)
    operator = Operator(cluster)
    for version in range(10, 115):
        assert operator.put(version, f"v{version}") is ChangeOutcome.STORED
    cluster.wipe(machine_with_role(cluster, PRIMARY))
    cluster.run_for(1.0)
    cluster.heal()
    assert operator.put(10, "v10") is ChangeOutcome.STORED
    assert operator.put(60, "other") is ChangeOutcome.CONFLICT
    assert operator.put(9, "never taken") is ChangeOutcome.SUPERSEDED
    cluster.run_for(4.0)
    cluster.wipe(machine_with_role(cluster, PRIMARY))
    cluster.run_for(1.0)
    cluster.heal()
    assert operator.put(114, "v114") is ChangeOutcome.STORED
    assert operator.put(114, "other") is ChangeOutcome.CONFLICT


def test_a_text_that_only_a_lost_primary_had_does_not_conflict_with_another() -> None:
    """Only the primary's disk holds the first text; after its loss another text is stored, and stays."""
    for seed in range(20):
        cluster = start_cluster(seed, 3)
        primary = machine_with_role(cluster, PRIMARY)
        backup = machine_with_role(cluster, BACKUP)
        cluster.cut_links = {(primary, backup)}
        assert cluster.put(primary, 5, "first")
        cluster.run_for(0.05)
        cluster.kill(primary)
        cluster.cut_links.clear()
        operator = Operator(cluster)
        assert operator.put(5, "second") is ChangeOutcome.STORED
        cluster.heal()
        cluster.run_for(1.0)
        assert operator.put(5, "first") is ChangeOutcome.CONFLICT


def test_a_history_drops_the_lowest_versions_first() -> None:
    history = ChangeHistory()
    for version in range(MAX_CHANGES + 10):
        history.add(version, digest_of(str(version)))
    assert len(history.digests) == MAX_CHANGES and history.newest() == MAX_CHANGES + 9
    assert history.outcome_of(9, digest_of("9")) is ChangeOutcome.SUPERSEDED
    assert history.outcome_of(10, digest_of("10")) is ChangeOutcome.STORED
    assert history.outcome_of(10, digest_of("x")) is ChangeOutcome.CONFLICT
    assert history.outcome_of(MAX_CHANGES + 10, digest_of("x")) is ChangeOutcome.NEW


def test_a_store_keeps_the_history_within_its_bound(tmp_path: Path) -> None:
    store = DurableStore(tmp_path)
    store.load("a", True, ("a", "b", "c"))
    whole = tuple((version, digest_of(str(version))) for version in range(MAX_CHANGES))
    store.write([Persist(state=ConfigurationState(1, MAX_CHANGES - 1, "text"), history=whole)])
    store.write([Persist(state=ConfigurationState(1, 9000, "newest"), change=(9000, digest_of("newest")))])
    store.close()
    again = DurableStore(tmp_path).load("a", False, ())
    assert again.history == (*whole[1:], (9000, digest_of("newest")))


def test_a_store_without_a_history_knows_its_configuration(tmp_path: Path) -> None:
    store = DurableStore(tmp_path)
    store.load("a", True, ("a", "b", "c"))
    store.write([Persist(state=ConfigurationState(1, 4, "four"))])
    assert store.load("a", False, ()).history == ((4, digest_of("four")),)


def test_the_checker_detects_two_texts_confirmed_under_one_version() -> None:
    cluster = start_cluster(1, 3)
    cluster.on_change_outcome(7, "a", ChangeOutcome.STORED)
    with pytest.raises(GuaranteeViolation):
        cluster.on_change_outcome(7, "b", ChangeOutcome.STORED)


# --- hundreds of changes ----------------------------------------------------------------------------------


def test_a_thousand_changes_while_machines_are_down_in_turn() -> None:
    cluster = start_cluster(5, 4)
    away: dict[str, int] = {}  # machines that are down, and the version at which each starts again
    for version in range(2, 1002):
        if version % 100 == 50:
            victim = machine_with_role(cluster, ROLES[version // 100 % 3])
            cluster.wipe(victim) if version % 300 == 50 else cluster.kill(victim)
            away[victim] = version + 60
        for machine in [m for m, until in away.items() if until <= version]:
            cluster.start(machine)
            del away[machine]
        put_until_acknowledged(cluster, version)
    assert away and cluster.read(cluster.heal()) == 1001
    operator = Operator(cluster)
    for known in (2, 500, 1001):
        assert operator.put(known, f"v{known}") is ChangeOutcome.STORED
        assert operator.put(known, "other") is ChangeOutcome.CONFLICT


def test_a_new_backup_that_restarts_twice_during_its_transfer_catches_up() -> None:
    cluster = start_cluster(6, 3)
    lost = machine_with_role(cluster, BACKUP)
    send = cluster.send
    interrupted: list[str] = []

    def cut_short(source: str, target: str, message: ReplicaMessage) -> None:
        send(source, target, message)
        if isinstance(message, StateTransfer) and len(interrupted) < 2:
            interrupted.append(target)
            cluster.schedule(0.006, lambda: cluster.kill(target))  # received, but not on disk yet
            cluster.start_at(0.4, target)

    cluster.send = cut_short  # type: ignore[method-assign]
    cluster.kill(lost)
    put_until_acknowledged(cluster, 2, timeout_s=8.0)
    assert len(interrupted) == 2
    cluster.wipe(machine_with_role(cluster, PRIMARY))
    assert cluster.read(cluster.heal()) == 2


def test_a_full_map_fails_the_write_and_keeps_the_stored_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(durable_store, "MAP_SIZE", 256 << 10)
    store = DurableStore(tmp_path)
    store.load("a", True, ("a", "b", "c"))
    store.write([Persist(state=ConfigurationState(1, 4, "four"), change=(4, digest_of("four")))])
    with pytest.raises(DurableStoreError, match="cannot be written"):
        store.write([Persist(state=ConfigurationState(1, 5, "x" * (1 << 20)), change=(5, "digest"))])
    store.close()
    again = DurableStore(tmp_path).load("a", False, ())
    assert again.state == ConfigurationState(1, 4, "four") and again.history == ((4, digest_of("four")),)


def test_repeated_changes_do_not_fill_the_map(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(durable_store, "MAP_SIZE", 4 << 20)
    store = DurableStore(tmp_path)
    store.load("a", True, ("a", "b", "c"))
    for version in range(300):  # 60 MB in all
        text = f"{version}" + "x" * 200_000
        store.write([Persist(state=ConfigurationState(1, version, text), change=(version, digest_of(text)))])
    assert store.load("a", False, ()).state == ConfigurationState(1, 299, text)
