"""One copy more than disks may be lost at once: nothing acknowledged is lost with any of them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import pytest

from ivymux.config_store import elections
from ivymux.config_store.actions import Send
from ivymux.config_store.calls import ClaimAction
from ivymux.config_store.idempotency import RecordReplication
from ivymux.config_store.membership import choose_backups
from ivymux.config_store.messages import (
    AcceptRequest,
    DiskSynced,
    Promise,
    RecordStored,
    StateStored,
    WriteStored,
)
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord, address_of
from ivymux.config_store.replica import Replica
from ivymux.runtime import settings
from ivymux.simulation.core_cluster import Answer, CoreCluster, GuaranteeViolation, Machine
from ivymux.simulation.fault_schedules import ReplicaFactory
from ivymux.simulation.loss_scenarios import (
    BACKUP,
    PRIMARY,
    lost_disks,
    machine_with_role,
    put_until_acknowledged,
    start_cluster,
    start_members,
)
from ivymux.simulation.replacement_scenarios import replacement_during_a_cut

SIZES = [(3, 1), (5, 2), (7, 2), (7, 3), (12, 2)]  # members, and disks that may be lost at once


def has_ended(machine: Machine) -> bool:
    return machine.replica is None


# Guards against the loss of what was acknowledged with two disks, where the operators allow that.
@pytest.mark.parametrize(("count", "losses"), SIZES)
def test_any_disks_that_may_be_lost_at_once(count: int, losses: int) -> None:
    for seed in range(40):
        lost_disks(seed, count, losses)


@pytest.mark.parametrize("count", [5, 7, 12])
def test_members_are_replaced_while_a_core_with_three_copies_is_cut(count: int) -> None:
    for seed in range(6000, 6030):
        replacement_during_a_cut(seed, count, backup_count=2)


@pytest.mark.parametrize(("first", "second"), [(PRIMARY, 0), (BACKUP, 0), (BACKUP, 1)])
def test_two_planned_ends_in_a_row_leave_three_copies(first: str, second: int) -> None:
    for seed in range(5):
        cluster = start_cluster(seed, 6, backup_count=2)
        for leaving in (machine_with_role(cluster, first, 0), machine_with_role(cluster, BACKUP, second)):
            cluster.leave(leaving, for_good=True)
            leaver = cluster.machines[leaving]
            assert cluster.run_until(partial(has_ended, leaver), 6.0)
            put_until_acknowledged(cluster, cluster.highest_acknowledged + 1)
        replica = cluster.machines[cluster.primaries()[0]].replica
        assert replica is not None and replica.led_epoch is not None
        assert len(set(replica.led_epoch.copies())) == 3


def test_a_hanging_disk_of_one_of_two_backups_is_replaced() -> None:
    for seed in range(5):
        cluster = start_cluster(seed, 5, backup_count=2)
        stuck = machine_with_role(cluster, BACKUP, seed)
        cluster.machines[stuck].disk.commit_s = 30.0
        assert put_until_acknowledged(cluster, 2) < 3.0
        assert stuck not in {machine_with_role(cluster, BACKUP, number) for number in range(2)}


def test_no_change_is_acknowledged_with_too_few_copies() -> None:
    """The founders of the core are too few for four copies: changes wait until a fourth machine joins."""
    cluster = CoreCluster(3, 4)
    cluster.backup_count = 3
    for ip in ("m0", "m1", "m2"):
        cluster.start(ip)
    assert cluster.run_until_led(5.0)
    for _ in range(60):
        cluster.put(cluster.primaries()[0], 1, "one")
        cluster.run_for(0.05)
    assert cluster.highest_acknowledged == -1
    assert any("changes wait for more machines: 3 of 4 hold a copy" in line for line in cluster.log)
    cluster.start("m3")
    put_until_acknowledged(cluster, 2, 5.0)
    assert cluster.highest_acknowledged == 2


# Guards against a claim that is answered as an epoch with too few copies comes into force.
def test_a_claim_and_a_change_wait_while_an_epoch_has_too_few_copies() -> None:
    cluster = start_cluster(4, 3, backup_count=2)
    primary, lost = machine_with_role(cluster, PRIMARY), machine_with_role(cluster, BACKUP, 1)
    cluster.kill(lost)
    answers: list[Answer] = []
    cluster.call(primary, ClaimAction("1" * 32, "tenant", "claim", "place", "body", 60.0), answers.append)
    cluster.put(primary, 2, "two")
    cluster.run_for(5.0)
    assert "2 of 3 hold a copy" in cluster.log[-1]  # there is an epoch without the lost machine as a backup
    assert cluster.read(primary) == 1 and not answers
    cluster.start(lost)
    assert cluster.run_until_acknowledged(2, 5.0) and answers


# --- seeded faults ------------------------------------------------------------------------------------------


class IgnoresSetting(Replica):
    """Keeps two copies, whatever its setting says."""

    backup_count = property(lambda self: 1, lambda self, count: None)


class AcknowledgesAfterFirstBackup(Replica):
    """Acknowledges a change once the primary's disk and one backup's hold it."""

    def on_write_stored(self, source: str, message: WriteStored) -> None:
        if self.led_epoch is not None and message.sender in self.led_epoch.backups():
            for change in self.pending:
                change.stored_by |= set(self.led_epoch.backups())
        super().on_write_stored(source, message)


class RecordsOnTwoDisks(RecordReplication):
    """Acknowledges a claim once the primary's disk and one backup's hold it."""

    def on_record_stored(self, source: str, message: RecordStored) -> None:
        pending, epoch = self.pending.get(message.change_number), self.replica.led_epoch
        if pending is not None and epoch is not None and message.sender in epoch.backups():
            pending.stored_by |= set(epoch.backups())
        super().on_record_stored(source, message)


class ClaimsOnTwoDisks(Replica):
    """Keeps claims on two disks only, and repairs no other copy."""

    record_replication_class = RecordsOnTwoDisks


class CountsStateOfFirstBackup(Replica):
    """Puts an epoch into force once one of its backups has the state."""

    def on_state_stored(self, source: str, message: Any) -> None:
        if self.attempt is not None and self.attempt.epoch_record is not None:
            self.attempt.stored_by |= set(self.attempt.epoch_record.backups()) - {message.sender}
        super().on_state_stored(source, message)


def test_the_runs_detect_a_setting_that_is_ignored() -> None:
    with pytest.raises(GuaranteeViolation):
        for seed in range(20):
            lost_disks(seed, 5 if seed % 2 else 12, 2, IgnoresSetting)


def check_acknowledgements(make_replica: ReplicaFactory = Replica) -> None:
    """Check that a change and a claim wait for a second backup that cannot be reached."""
    cluster = start_cluster(4, 5, make_replica=make_replica, backup_count=2)
    primary, second = machine_with_role(cluster, PRIMARY), machine_with_role(cluster, BACKUP, 1)
    cluster.cut_links |= {(primary, second), (second, primary)}
    cluster.put(primary, 2, "two")
    answers: list[Answer] = []
    cluster.call(primary, ClaimAction("1" * 32, "tenant", "claim", "place", "body", 5.0), answers.append)
    cluster.run_for(0.5)
    assert cluster.highest_acknowledged == 1 and not answers
    cluster.run_for(2.0)  # the second backup is replaced
    assert cluster.highest_acknowledged == 2 and answers


def check_next_epoch(make_replica: Callable[[DurableState, float, int], Replica] = Replica) -> None:
    """Check that a candidate requests acceptance only once the disks of both backups hold the state."""
    members = ("a/1", "b/1", "c/1", "d/1", "e/1")
    record = EpochRecord(2, "a/1", "b/1", members, (), ("c/1",))
    replica = make_replica(DurableState("b/1", record, 2, "a/1", ConfigurationState(2, 7, "seven")), 100.0, 2)
    now = 102.0
    replica.tick(now)
    assert replica.attempt is not None
    number = replica.attempt.number
    replica.handle(now, "b", DiskSynced("b/1", replica.epoch_steps))
    for member in "cde":
        replica.handle(now, member, Promise(f"{member}/1", number, record))
    replica.tick(now + 0.2)  # the former primary's promise is not awaited any longer
    assert replica.attempt.epoch_record is not None
    first, second = replica.attempt.epoch_record.backups()
    for backup, is_last in ((first, False), (second, True)):
        actions = replica.handle(now + 0.2, address_of(backup), StateStored(backup, number))
        sent = [action.message for action in actions if isinstance(action, Send)]
        assert any(isinstance(message, AcceptRequest) for message in sent) == is_last


def test_a_change_and_a_claim_wait_for_every_backup() -> None:
    check_acknowledgements()


def test_an_epoch_waits_for_the_state_of_every_backup() -> None:
    check_next_epoch()


@pytest.mark.parametrize("fault", [AcknowledgesAfterFirstBackup, ClaimsOnTwoDisks])
def test_the_check_of_acknowledgements_detects_seeded_faults(fault: type[Replica]) -> None:
    with pytest.raises(AssertionError):
        check_acknowledgements(fault)


def test_the_check_of_epochs_detects_a_backup_that_is_counted_before_its_disk() -> None:
    with pytest.raises(AssertionError):
        check_next_epoch(CountsStateOfFirstBackup)


def test_the_runs_detect_a_setting_that_is_ignored_while_a_backup_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def one_backup_after_the_first_epochs(
        record: EpochRecord, identity: str, able: Any, unfit: Any, count: int
    ) -> tuple[str, ...]:
        chosen = choose_backups(record, identity, able, unfit, count)
        return chosen[:1] * count if record.number > 4 else chosen

    monkeypatch.setattr(elections, "choose_backups", one_backup_after_the_first_epochs)
    with pytest.raises(GuaranteeViolation):
        for seed in range(400):
            lost_disks(seed, 7, 2)


# --- records ------------------------------------------------------------------------------------------------


def test_backups_are_preferably_machines_that_hold_the_state() -> None:
    record = EpochRecord(3, "a/1", "b/1", ("a/1", "b/1", "c/1", "d/1", "e/1"), (), ("d/1",))
    assert record.copies() == ("a/1", "b/1", "d/1")
    able = ["a/1", "c/1", "d/1", "e/1", "n/1"]
    assert choose_backups(record, "b/1", able, set(), 2) == ("a/1", "d/1")
    assert choose_backups(record, "b/1", able, {"a/1"}, 3) == ("d/1", "c/1", "e/1")
    assert choose_backups(record, "b/1", ["n/1", "b/1"], {"n/1"}, 2) == ("n/1",)


def test_a_record_with_several_backups_is_stored_and_read() -> None:
    record = EpochRecord(3, "a/1", "b/1", ("a/1", "b/1", "c/1"), (), ("c/1",))
    assert msgspec.json.decode(msgspec.json.encode(record), type=EpochRecord) == record


def test_the_second_backup_leaves_the_first_one_the_time_to_take_over() -> None:
    record = EpochRecord(3, "a/1", "b/1", ("a/1", "b/1", "c/1"), (), ("c/1",))
    delays = [
        Replica(DurableState(identity, record, 3, "a/1", None), 0.0, 2).takeover_delay_s()
        for identity in ("a/1", "b/1", "c/1")
    ]
    assert delays[:2] == [0.0, 0.0] and delays[2] > 0.0


def test_a_change_follows_the_loss_of_the_primary_as_soon_with_three_copies() -> None:
    for seed in range(10):
        waits = []
        for backup_count in (1, 2):
            cluster = CoreCluster(seed, 5)
            cluster.backup_count = backup_count
            start_members(cluster, 5)
            cluster.run_for(1.0)
            cluster.kill(cluster.primaries()[0])
            waits.append(put_until_acknowledged(cluster, 2))
        assert waits[1] < waits[0] + 0.3  # an election that the second backup disturbed would take longer


# --- the setting --------------------------------------------------------------------------------------------

SETTINGS = """
self_entity:
  {node_name: a, ip_address: 10.0.0.1, zone_name: hall, initial_start: true, data_path: /data,
   limits: {memory_mb: 300, fd_limit: 1000}}
network_table: {listen_addrs: {control_addr: "10.0.0.1:8000"}, inner_port_range: [7000, 7015], seed_nodes: []}
"""


@pytest.mark.parametrize(
    ("terms", "backups"), [("{machine_losses: 0}", 1), ("{machine_losses: 2}", 2), ("{}", 1)]
)
def test_the_number_of_backups_follows_the_losses_that_are_allowed(terms: str, backups: int) -> None:
    text = SETTINGS + f"terms_table: {{fault_tolerance: {terms}}}\n"
    assert settings.read(text).backup_count == backups


@pytest.mark.parametrize("losses", ["two", "-1", "9", "1.5", "true", "null"])
def test_an_invalid_number_of_losses_is_refused_with_its_place(losses: str) -> None:
    text = SETTINGS + f"terms_table: {{fault_tolerance: {{machine_losses: {losses}}}}}\n"
    with pytest.raises(settings.SettingsError, match="machine_losses: write a whole number"):
        settings.read(text)
