"""Members that are replaced while the core is cut into two parts: there is one primary, and nothing is lost.

The random runs are those of `ivymux/simulation/replacement_scenarios.py`.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.config_store import elections, messages
from ivymux.config_store.actions import Send
from ivymux.config_store.membership import are_majorities, deciding_memberships, newest_record
from ivymux.config_store.messages import AcceptRequest, PromiseRequest, Refusal, ReplicaMessage
from ivymux.config_store.records import EpochRecord, Membership, address_of
from ivymux.config_store.replica import Replica
from ivymux.config_store.replica_state import ElectionAttempt
from ivymux.simulation.core_cluster import CoreCluster, GuaranteeViolation
from ivymux.simulation.electable_parts import ElectablePartMonitor
from ivymux.simulation.fault_schedules import ReplicaFactory
from ivymux.simulation.loss_scenarios import WITNESS, machine_with_role, start_members
from ivymux.simulation.replacement_scenarios import replacement_during_a_cut

# Seeds and sizes of runs with two primaries, or with an older version read, before epochs named the
# memberships before them.
BROKEN_BEFORE = (
    (410, 3), (639, 3), (767, 4), (1701, 4), (21, 5), (239, 5), (541, 5), (830, 5),
    (20, 7), (99, 7), (262, 7), (1580, 7),
)  # fmt: skip


# Guards against a second primary in the other half of a core that is cut while a member is replaced.
@pytest.mark.parametrize(("seed", "count"), BROKEN_BEFORE)
def test_a_run_that_once_had_two_primaries_has_one(seed: int, count: int) -> None:
    replacement_during_a_cut(seed, count)


# Seeds and sizes of runs in which a core that was whole again had no primary for more than 3 s.
WITHOUT_PRIMARY_BEFORE = ((5002234, 4), (5001530, 5), (5000817, 7))


# Guards against two candidates with one number: the members that had promised it to one of them left the
# other's requests to accept its epoch without an answer, and it waited for a slow disk for 10 s.
@pytest.mark.parametrize(("seed", "count"), WITHOUT_PRIMARY_BEFORE)
def test_a_run_that_once_had_no_primary_for_long_has_one(seed: int, count: int) -> None:
    replacement_during_a_cut(seed, count)


@pytest.mark.parametrize("last", ["accept", "promise"])
def test_a_member_that_promised_a_number_to_another_candidate_refuses_the_record(last: str) -> None:
    cluster = CoreCluster(6, 3)
    start_members(cluster, 3)
    witness = cluster.machines[machine_with_role(cluster, WITNESS)].replica
    assert witness is not None and witness.known_epoch is not None
    epoch, number = witness.known_epoch, witness.known_epoch.number + 1
    chosen, other = epoch.primary, epoch.backup
    witness.handle(cluster.now, address_of(chosen), PromiseRequest(chosen, number, epoch))
    record = EpochRecord(number, other, chosen, epoch.members)
    request = AcceptRequest(other, record) if last == "accept" else PromiseRequest(other, number, epoch)
    actions = witness.handle(cluster.now, address_of(other), request)
    sent = [action.message for action in actions if isinstance(action, Send)]
    assert [type(message) for message in sent] == [Refusal]
    assert witness.known_epoch == epoch


@pytest.mark.parametrize("count", [3, 4, 5, 7, 12])
def test_a_member_is_replaced_while_the_core_is_cut(count: int) -> None:
    for seed in range(5000, 5040):
        replacement_during_a_cut(seed, count)


def newest_members_only(records: Iterable[EpochRecord]) -> tuple[Membership, ...]:
    """Let the members of the newest record decide alone, though it may not be in force."""
    newest = newest_record(records)
    return (Membership(newest.number, newest.members),)


class AcceptsByNewMembersOnly(Replica):
    """Puts an epoch into force once a majority of its own members stores its record."""

    def check_acceptance(self, attempt: ElectionAttempt) -> None:
        attempt.memberships = ()
        super().check_acceptance(attempt)


class SettlesUnacceptedEpochs(Replica):
    """Counts an epoch as in force as soon as this machine itself has accepted its record."""

    def accept_own_record(self, attempt: ElectionAttempt) -> None:
        super().accept_own_record(attempt)
        self.settle_epoch(attempt.number)


def replace_a_frozen_member(cluster: CutAtAcceptance | CutAsTheBackupIsAsked) -> None:
    """Freeze the third of three members, start a machine in its place, and wake it once the core is cut."""
    start_members(cluster, 3)
    primary, witness = cluster.primaries()[0], machine_with_role(cluster, WITNESS)
    cluster.freeze(witness)
    cluster.run_for(1.1)
    cluster.near = frozenset((primary, "m3"))
    cluster.wipe("m3")
    cluster.start("m3")
    assert cluster.run_until(lambda: bool(cluster.cut_links), 2.0)
    cluster.thaw(witness)


def play_halves_of_three(seed: int, make_replica: ReplicaFactory = Replica) -> None:
    """Cut a core of three members as a new machine replaces one of them; both halves are sent changes."""
    cluster = CutAtAcceptance(seed, 4, make_replica)
    replace_a_frozen_member(cluster)
    for version in (2, 3, 4, 5):
        for ip in cluster.machines:
            cluster.put(ip, version, f"{version} by {ip}")
        for _ in range(20):
            cluster.run_for(0.05)
            cluster.read_all()
    assert cluster.highest_acknowledged >= 4
    assert cluster.read(cluster.heal()) == cluster.highest_acknowledged


class CutAtAcceptance(CoreCluster):
    """Cuts the primary and the new machine from the others before the first member receives a new record."""

    near: frozenset[str] = frozenset()

    def deliver(self, source: str, target: str, incarnation: int, message: ReplicaMessage) -> None:
        if isinstance(message, AcceptRequest) and source in self.near and not self.cut_links:
            for one in self.near:
                for other in set(self.machines) - self.near:
                    self.cut_links |= {(one, other), (other, one)}
        if (source, target) not in self.cut_links:
            super().deliver(source, target, incarnation, message)


# Guards against the review's case 1: the record that only its candidate had accepted counted as the epoch
# before, and the candidate with the new machine was a majority of its members.
@pytest.mark.parametrize("seed", range(5))
def test_only_one_half_has_a_primary_after_a_cut_during_a_replacement(seed: int) -> None:
    play_halves_of_three(seed)


class CutAsTheBackupIsAsked(CoreCluster):
    """Cuts the core as the new record is on its way to the backup; the frozen member has it in its queue."""

    near: frozenset[str] = frozenset()

    def send(self, source: str, target: str, message: ReplicaMessage) -> None:
        if not isinstance(message, AcceptRequest) or source not in self.near or target in self.near:
            super().send(source, target, message)
        elif self.machines[target].deferred is not None:
            self.deliver(source, target, self.machines[target].incarnation, message)  # read when it wakes
        else:
            self.schedule(0.0, self.cut)

    def cut(self) -> None:
        for one in self.near:
            for other in set(self.machines) - self.near:
                self.cut_links |= {(one, other), (other, one)}


# Guards against the review's case 1 in its other order: the frozen member read the request of the primary
# that replaced it when it woke behind the cut, and then neither half could elect a primary.
@pytest.mark.parametrize("seed", range(5))
def test_a_half_with_a_member_that_was_frozen_elects_a_primary_during_the_cut(seed: int) -> None:
    cluster = CutAsTheBackupIsAsked(seed, 4)
    replace_a_frozen_member(cluster)
    far = set(cluster.machines) - cluster.near
    assert cluster.run_until(lambda: bool(far & set(cluster.primaries())), 3.0)


class NeverTakesOver(Replica):
    """Makes no epoch where another machine was the primary."""

    def may_begin_attempt(self) -> bool:
        return self.is_founder() and super().may_begin_attempt()


def observe_during_a_cut(make_replica: ReplicaFactory) -> None:
    """Cut a core as a frozen member has the new record in its queue, and observe the cut."""
    cluster = CutAsTheBackupIsAsked(0, 4, make_replica)
    replace_a_frozen_member(cluster)
    monitor = ElectablePartMonitor(cluster)
    for _ in range(100):
        cluster.run_for(0.05)
        monitor.observe()


# Guards against checks that overlook a half of the core that stays without a primary.
def test_the_monitor_detects_a_half_that_could_elect_a_primary_and_does_not() -> None:
    observe_during_a_cut(Replica)
    with pytest.raises(GuaranteeViolation, match="no primary"):
        observe_during_a_cut(NeverTakesOver)


def test_the_monitor_expects_no_primary_of_machines_that_follow_one_beyond_a_cut() -> None:
    cluster = CoreCluster(5, 3)
    start_members(cluster, 3)
    cluster.cut_links.add((machine_with_role(cluster, WITNESS), cluster.primaries()[0]))
    monitor = ElectablePartMonitor(cluster)
    for _ in range(100):
        cluster.run_for(0.05)
        monitor.observe()
    assert not monitor.parts()
    cluster.cut_links.clear()
    assert monitor.parts() == [frozenset(cluster.machines)]


def test_the_runs_detect_an_election_by_the_newest_members_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(elections, "deciding_memberships", newest_members_only)
    with pytest.raises(GuaranteeViolation):
        play_halves_of_three(0)


def test_the_runs_detect_an_epoch_that_is_settled_before_it_is_in_force() -> None:
    with pytest.raises(GuaranteeViolation):
        play_halves_of_three(0, SettlesUnacceptedEpochs)


def test_the_runs_detect_an_acceptance_by_the_new_members_alone() -> None:
    with pytest.raises(GuaranteeViolation):
        for seed, count in BROKEN_BEFORE:
            replacement_during_a_cut(seed, count, AcceptsByNewMembersOnly)


def test_the_members_of_an_epoch_in_force_store_that_it_is() -> None:
    cluster = CoreCluster(3, 4)
    start_members(cluster, 3)
    replaced = machine_with_role(cluster, WITNESS)
    cluster.kill(replaced)
    cluster.run_for(1.1)
    cluster.wipe("m3")
    cluster.start("m3")
    assert cluster.run_until(lambda: "m3" in cluster.member_addresses(), 5.0)
    cluster.run_for(0.5)
    assert replaced not in cluster.member_addresses()
    for ip in cluster.member_addresses():
        record = cluster.machines[ip].disk.durable.epoch_record
        assert record is not None and "m3" in map(address_of, record.members)
        assert record.joint_memberships == ()


# --- which memberships decide ------------------------------------------------------------------------------

IN_FORCE = EpochRecord(4, "a", "b", ("a", "b", "c"))
PROPOSED = EpochRecord(6, "a", "b", ("a", "b", "n"), (Membership(4, ("a", "b", "c")),))


def test_a_record_that_may_not_be_in_force_needs_the_members_before_it_too() -> None:
    memberships = deciding_memberships([IN_FORCE, PROPOSED])
    assert {m.members for m in memberships} == {("a", "b", "c"), ("a", "b", "n")}
    assert not are_majorities(memberships, {"a", "n"}) and are_majorities(memberships, {"a", "b"})
    # The record alone says the same, as a member may have forgotten the one before.
    assert set(deciding_memberships([PROPOSED])) == set(memberships)


def test_a_record_in_force_needs_its_own_members_only() -> None:
    settled = PROPOSED.settled()
    assert newest_record([PROPOSED, settled, IN_FORCE]) is settled
    assert deciding_memberships([PROPOSED, settled, IN_FORCE]) == (Membership(6, ("a", "b", "n")),)


MEMBERS = st.frozensets(st.sampled_from("abcdefg"), min_size=1).map(lambda names: tuple(sorted(names)))


@given(st.lists(MEMBERS, min_size=2, max_size=5), st.data())
def test_any_two_sets_of_votes_that_decide_meet(chain: list[tuple[str, ...]], data: st.DataObject) -> None:
    """Votes that put any record of a chain of proposals into force meet those for a later epoch."""
    records = [EpochRecord(1, "a", "b", chain[0])]
    for number, members in enumerate(chain[1:], 2):
        joint = tuple(m for m in deciding_memberships(records) if set(m.members) != set(members))
        records.append(EpochRecord(number, "a", "b", members, joint))
    votes = st.frozensets(st.sampled_from("abcdefg"))
    accepted, promised = set(data.draw(votes)), set(data.draw(votes))
    for earlier in records:
        if are_majorities(earlier.memberships(), accepted) and are_majorities(
            deciding_memberships(records), promised
        ):
            assert accepted & promised


# --- processes of the build before --------------------------------------------------------------------------


class FormerEpochRecord(msgspec.Struct, frozen=True, array_like=True):
    """An epoch's record as the build before stored and sent it."""

    number: int
    primary: str
    backup: str
    members: tuple[str, ...]


def test_records_of_both_builds_are_understood() -> None:
    former = FormerEpochRecord(6, "a", "b", ("a", "b", "n"))
    decoded = msgspec.json.decode(msgspec.json.encode(former), type=EpochRecord)
    assert decoded == PROPOSED.settled()
    assert msgspec.json.decode(msgspec.json.encode(PROPOSED), type=FormerEpochRecord) == former
    assert msgspec.json.decode(msgspec.json.encode(PROPOSED), type=EpochRecord) == PROPOSED
    request = AcceptRequest("a", PROPOSED)
    assert messages.decode(messages.encode(request)) == request
