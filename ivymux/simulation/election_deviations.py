"""Explores a small core exhaustively, up to two deviations from a schedule in which nothing is late or lost.

Three members and a spare machine; one member fails, the spare replaces it, and the core may be cut meanwhile.
Latencies and commits are constant, so that a run depends on its scenario and its deviations alone.  Each step
of an election, which is a message that arrives or a commit that ends, may deviate: it is late, or, if it is a
message, lost.  What bounds the exploration is the number of deviations and how many steps apart they are.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ivymux.config_store.actions import Persist
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import CoreCluster, Disk, GuaranteeViolation, Machine
from ivymux.simulation.electable_parts import ElectablePartMonitor
from ivymux.simulation.fault_schedules import ReplicaFactory
from ivymux.simulation.loss_scenarios import (
    BACKUP,
    PRIMARY,
    RECOVERY_TIMEOUT_S,
    ROLES,
    machine_with_role,
    put_until_acknowledged,
    start_members,
)
from ivymux.simulation.replacement_scenarios import ELECTION_STEPS

MEMBERS = 3
MESSAGE_DELAY_S = 0.002
LATE_S = 0.45  # longer than the time-outs after which requests are repeated
FAULT_S, CUT_AFTER_S, CUT_S = 2.0, 0.7, 3.0
RUN_S = 6.0
POLL_S = 0.05  # between two actions of operators
MAX_OPEN_CHANGES = 8


class Deviation(Enum):
    """What happens to a step instead of being on time."""

    LATE = "late"
    LOST = "lost"


class Cut(Enum):
    """Which machines are cut off from the others; the spare stays with the primary."""

    NONE = "none"
    PRIMARY = "primary"
    HALVES = "halves"


@dataclass(frozen=True, slots=True)
class Scenario:
    """The member that fails, by its role, and the cut."""

    victim: str
    is_killed: bool
    cut: Cut


SCENARIOS = [
    Scenario(victim, is_killed, cut) for victim in ROLES for is_killed in (False, True) for cut in Cut
]
Deviations = Mapping[int, Deviation]  # by step


class DeviatingCluster(CoreCluster):
    """Counts the steps of elections once `is_counting`, and lets some of them deviate."""

    def __init__(self, deviations: Deviations, make_replica: ReplicaFactory) -> None:
        super().__init__(0, MEMBERS + 1, make_replica)
        self.deviations, self.steps, self.is_counting = deviations, 0, False

    def message_delay_s(self) -> float:
        return MESSAGE_DELAY_S

    def commit_factor(self) -> float:
        return 1.0

    def next_deviation(self) -> Deviation | None:
        """Count a step and return its deviation."""
        if not self.is_counting:
            return None
        self.steps += 1
        return self.deviations.get(self.steps)

    def deliver(self, source: str, target: str, incarnation: int, message: ReplicaMessage) -> None:
        deviation = self.next_deviation() if isinstance(message, ELECTION_STEPS) else None
        if deviation is None:
            super().deliver(source, target, incarnation, message)
        elif deviation is Deviation.LATE:
            deliver = super().deliver
            self.schedule(LATE_S, lambda: deliver(source, target, incarnation, message))

    def finish_commit(self, machine: Machine, incarnation: int, disk: Disk, writes: list[Persist]) -> None:
        is_step = any(write.epoch_record is not None or write.promised is not None for write in writes)
        if is_step and self.next_deviation() is not None:
            finish = super().finish_commit
            self.schedule(LATE_S, lambda: finish(machine, incarnation, disk, writes))
        else:
            super().finish_commit(machine, incarnation, disk, writes)


def play(scenario: Scenario, deviations: Deviations, make_replica: ReplicaFactory = Replica) -> int:
    """Play a run; return the number of its steps.  Raises GuaranteeViolation."""
    cluster = DeviatingCluster(deviations, make_replica)
    spare = f"m{MEMBERS}"
    cluster.removed_machines.add(spare)
    start_members(cluster, MEMBERS)
    primary, backup = machine_with_role(cluster, PRIMARY), machine_with_role(cluster, BACKUP)
    victim = machine_with_role(cluster, scenario.victim)
    cluster.is_counting = True
    if scenario.is_killed:
        cluster.kill(victim)
        cluster.start_at(FAULT_S, victim)
    else:
        cluster.freeze(victim)
        cluster.schedule(FAULT_S, lambda: cluster.thaw(victim))
    cluster.removed_machines.discard(spare)
    cluster.start(spare)
    if scenario.cut is not Cut.NONE:
        part = {primary, spare} if scenario.cut is Cut.HALVES else {primary}
        cluster.schedule(CUT_AFTER_S, lambda: cut_off(cluster, part))
        cluster.schedule(CUT_AFTER_S + CUT_S, cluster.cut_links.clear)
    operate(cluster, [primary, backup, spare])
    cluster.heal(RECOVERY_TIMEOUT_S)
    put_until_acknowledged(cluster, cluster.highest_acknowledged + 1 + MAX_OPEN_CHANGES, RECOVERY_TIMEOUT_S)
    cluster.read_all()
    return cluster.steps


def cut_off(cluster: CoreCluster, part: set[str]) -> None:
    cluster.cut_links |= {
        (one, other)
        for one, other in itertools.permutations(cluster.machines, 2)
        if (one in part) != (other in part)
    }


def operate(cluster: CoreCluster, machines: list[str]) -> None:
    """Send changes and read everywhere while faults happen, and look for parts without a primary."""
    monitor = ElectablePartMonitor(cluster)
    version, ends_at = cluster.highest_acknowledged, cluster.now + RUN_S
    while cluster.now < ends_at:
        cluster.run_for(POLL_S)
        if version - cluster.highest_acknowledged < MAX_OPEN_CHANGES:
            version += 1
        for ip in machines:
            cluster.put(ip, version, f"{version} by {ip}")
        cluster.read_all()
        monitor.observe()


def single_deviations(steps: int) -> Iterator[Deviations]:
    for step in range(1, steps + 1):
        for deviation in Deviation:
            yield {step: deviation}


def pairs_of_deviations(steps: int, max_distance: int) -> Iterator[Deviations]:
    """Yield all pairs of deviations of steps that are at most `max_distance` apart."""
    for first in range(1, steps + 1):
        for second in range(first + 1, min(steps, first + max_distance) + 1):
            for kinds in itertools.product(Deviation, repeat=2):
                yield dict(zip((first, second), kinds, strict=True))


@dataclass(slots=True)
class Report:
    """What was explored of one scenario."""

    scenario: Scenario
    steps: int  # without a deviation
    runs: int = 0
    violations: list[str] = field(default_factory=list)


def explore(scenario: Scenario, max_distance: int = 0, make_replica: ReplicaFactory = Replica) -> Report:
    """Play a scenario without a deviation, with every single one, and with the pairs within a distance.

    The number of steps is that of the undisturbed run of correct replicas.
    """
    steps = play(scenario, {})
    report = Report(scenario, steps)
    schedules = itertools.chain([{}], single_deviations(steps), pairs_of_deviations(steps, max_distance))
    for deviations in schedules:
        report.runs += 1
        try:
            play(scenario, deviations, make_replica)
        except GuaranteeViolation as error:
            report.violations.append(f"{deviations}: {error}")
    return report
