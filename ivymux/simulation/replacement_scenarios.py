"""Members of the core that are replaced while the core is cut into two parts, over simulated machines.

A run depends on its seed and size alone.  One member fails, spare machines start in its place, and the core
is cut at a step of an election, at a commit, or at a random moment.  The checks are those of CoreCluster,
ActionCallers and ElectablePartMonitor; after the cut there has to be a primary, and what was acknowledged has
to be read.
"""

from __future__ import annotations

import itertools
import random

from ivymux.config_store import messages
from ivymux.config_store.actions import Persist
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import EXIT_GRACE_S, USUAL_COMMIT_S, CoreCluster, Disk, Machine
from ivymux.simulation.electable_parts import ElectablePartMonitor
from ivymux.simulation.fault_schedules import ActionCallers, ReplicaFactory
from ivymux.simulation.loss_scenarios import (
    RECOVERY_TIMEOUT_S,
    put_until_acknowledged,
    start_members,
)

SPARES = 2  # machines that may be added in a run
MEMBER_FAULTS = ("freeze", "freeze", "kill", "power", "leave", "hang")
SLOW_COMMIT_S = 0.1
SLOW_DISK_SHARE = 0.5  # of the runs, with one slow disk
EXACT_CUT_SHARE = 0.7  # of the runs, cut before a step of an election or a commit
AIMED_CUT_SHARE = 0.4  # of the cuts, with the primary and the new machines in one half
ONE_WAY_SHARE = 0.2  # of the cuts, in which messages pass in one direction
MAX_CUT_STEP = 60  # steps after the member's fault, among which the one of the cut is drawn
STEP_S = 0.03  # between two actions of the operators and the callers
MAX_OPEN_CHANGES = 8  # without an acknowledgement
ELECTION_STEPS: tuple[type[ReplicaMessage], ...] = (
    messages.PromiseRequest,
    messages.Promise,
    messages.StateTransfer,
    messages.StateStored,
    messages.AcceptRequest,
    messages.Accepted,
)


class SteppedElections(CoreCluster):
    """Calls `on_step` once, before a chosen step: a message of an election that arrives, or a commit."""

    def __init__(self, seed: int, count: int, make_replica: ReplicaFactory) -> None:
        super().__init__(seed, count, make_replica)
        self.steps_left = 0  # until `on_step`; 0: none is chosen

    def choose_step(self, steps: int) -> None:
        self.steps_left = steps

    def count_step(self) -> None:
        if self.steps_left:
            self.steps_left -= 1
            if not self.steps_left:
                self.on_step()

    def on_step(self) -> None:
        """Called before the chosen step."""

    def deliver(self, source: str, target: str, incarnation: int, message: ReplicaMessage) -> None:
        if isinstance(message, ELECTION_STEPS):
            self.count_step()
        super().deliver(source, target, incarnation, message)

    def finish_commit(self, machine: Machine, incarnation: int, disk: Disk, writes: list[Persist]) -> None:
        if any(write.epoch_record is not None or write.promised is not None for write in writes):
            self.count_step()
        super().finish_commit(machine, incarnation, disk, writes)


class ReplacementRun:
    """One run: a member fails, spares start, the core is cut and heals."""

    def __init__(self, seed: int, count: int, make_replica: ReplicaFactory, backup_count: int) -> None:
        """`count`: the number of members before the fault.  Raises GuaranteeViolation."""
        self.cluster = SteppedElections(seed, count + SPARES, make_replica)
        self.cluster.backup_count = backup_count
        start_members(self.cluster, count)
        self.rng = random.Random(seed)
        self.members = [f"m{n}" for n in range(count)]
        self.spares = [f"m{n}" for n in range(count, count + SPARES)]
        self.cluster.removed_machines |= set(self.spares)  # until they are started
        self.callers = ActionCallers(self.cluster, self.rng)
        self.monitor = ElectablePartMonitor(self.cluster)
        self.version = 1
        self.primary = ""  # before the faults
        self.cut_ends_at = 0.0

    def play(self) -> CoreCluster:
        """Play the run and return the cluster.  Raises GuaranteeViolation."""
        cluster, rng = self.cluster, self.rng
        cluster.run_for(rng.uniform(0.0, 0.5))
        self.primary = cluster.primaries()[0]
        if rng.random() < SLOW_DISK_SHARE:
            cluster.machines[rng.choice(self.members)].disk.commit_s = SLOW_COMMIT_S
        self.fail_member(rng.choice(self.members), rng.uniform(1.2, 3.0))
        for spare in self.spares[: rng.choice((1, 1, 2))]:
            cluster.schedule(rng.uniform(0.0, 1.3), lambda spare=spare: self.start_spare(spare))  # type: ignore[misc]
        self.plan_cut(rng.uniform(0.5, 5.5))
        ends_at = cluster.now + rng.uniform(5.0, 8.0)
        while cluster.now < max(ends_at, self.cut_ends_at):
            self.step()
        cluster.choose_step(0)  # no cut from here on
        for machine in cluster.machines.values():
            machine.disk.commit_s = USUAL_COMMIT_S
        cluster.heal(RECOVERY_TIMEOUT_S)
        put_until_acknowledged(cluster, self.version + 1, RECOVERY_TIMEOUT_S)
        cluster.read_all()
        self.callers.verify_kept_answers()
        return cluster

    def step(self) -> None:
        """Advance the time a little; operators send changes to any machines, and read at all of them."""
        cluster, rng = self.cluster, self.rng
        cluster.run_for(STEP_S * rng.uniform(0.2, 1.5))
        self.callers.step()
        if rng.random() < 0.3 and self.version - cluster.highest_acknowledged < MAX_OPEN_CHANGES:
            self.version += 1
        for ip in rng.sample(list(cluster.machines), 3):
            cluster.put(ip, self.version, f"{self.version} by {ip}")
        cluster.read_all()
        self.monitor.observe()

    def start_spare(self, spare: str) -> None:
        """Start a machine with an empty disk."""
        self.cluster.removed_machines.discard(spare)
        self.cluster.wipe(spare)
        self.cluster.start(spare)

    def fail_member(self, member: str, duration_s: float) -> None:
        """Let a member fail for a while."""
        cluster, kind = self.cluster, self.rng.choice(MEMBER_FAULTS)
        if kind == "freeze":
            cluster.freeze(member)
            cluster.schedule(duration_s, lambda: cluster.thaw(member))
        elif kind == "leave":
            cluster.leave(member)
            cluster.start_at(EXIT_GRACE_S + 0.1, member)
        elif kind == "hang":
            cluster.machines[member].disk.commit_s = duration_s
        else:
            cluster.interrupted_write_survives = lambda: kind == "kill"  # type: ignore[method-assign]
            cluster.kill(member)
            cluster.start_at(duration_s, member)

    def plan_cut(self, duration_s: float) -> None:
        """Cut the core once, at a step of an election or at a random moment, and heal it later."""
        cluster, rng = self.cluster, self.rng
        if rng.random() < EXACT_CUT_SHARE:
            cluster.on_step = lambda: self.cut(duration_s)  # type: ignore[method-assign]
            cluster.choose_step(rng.randint(1, MAX_CUT_STEP))
        else:
            cluster.schedule(rng.uniform(1.0, 2.2), lambda: self.cut(duration_s))

    def cut(self, duration_s: float) -> None:
        """Cut the core into two parts for a while."""
        cluster, rng = self.cluster, self.rng
        machines = [m for m in cluster.machines if m not in cluster.removed_machines]
        part = set(rng.sample(machines, rng.choice((1, len(machines) // 2, len(machines) // 2))))
        if rng.random() < AIMED_CUT_SHARE:
            # The primary with the new machines, and as many other members as make a half.
            part = {self.primary, *(m for m in machines if m not in self.members)}
            others = [m for m in machines if m not in part]
            part |= set(rng.sample(others, max(0, len(machines) // 2 - len(part))))
        is_one_way = rng.random() < ONE_WAY_SHARE
        cluster.cut_links |= {
            (one, other)
            for one, other in itertools.permutations(machines, 2)
            if (one in part) != (other in part) and (one in part or not is_one_way)
        }
        self.cut_ends_at = cluster.now + duration_s
        cluster.schedule(duration_s, cluster.cut_links.clear)


def replacement_during_a_cut(
    seed: int, count: int, make_replica: ReplicaFactory = Replica, backup_count: int = 1
) -> CoreCluster:
    """Replace a member of `count` while the core is cut into two parts.  Raises GuaranteeViolation."""
    return ReplacementRun(seed, count, make_replica, backup_count).play()
