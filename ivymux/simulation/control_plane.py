"""Simulates the core under planned exits, replacements, network faults and frozen processes, in virtual time.

A run has phases.  In each, faults start at their offsets while operators send changes and proxies claim
actions; then all faults end, a primary has to be elected, and the machines get the time to catch up that
operators allow.  At most one disk is lost in a phase, including that of a replaced machine; the other faults
are not limited.  CoreCluster and ActionCallers check the guarantees from outside.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass

from ivymux.config_store.history import ChangeOutcome
from ivymux.config_store.records import address_of
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import EXIT_GRACE_S, USUAL_COMMIT_S, CoreCluster, GuaranteeViolation
from ivymux.simulation.fault_schedules import ActionCallers, ReplicaFactory
from ivymux.simulation.loss_scenarios import CATCH_UP_S

SPARES = 3  # machines that may be added during a run
FAULT_WINDOW_S = 5.0  # of a phase, in which faults start
CALM_S = CATCH_UP_S + 0.2  # without faults after a phase
RECOVERY_TIMEOUT_S = 15.0  # until there is a primary after all faults ended, on disks of usual speed
STEP_S = 0.05  # time scale of the steps of the operators and the proxies
SINGLE_MACHINE_FAULTS = (
    "kill", "power", "wipe", "leave", "retire", "replace", "cut", "out", "in", "slow", "hang", "freeze",
    "full",
)  # fmt: skip
CLUSTER_FAULTS = ("kill all", "power all", "aimed", "halves", "loss")
TARGETS = ("primary", "backup", "primary", "backup", "m0", "m1", "m2", "m3", "m4")
MAX_FAULTS = 4  # in one phase
SEQUENCE_SHARE = 0.4  # share of the phases whose faults are drawn by `draw_sequence`


@dataclass(frozen=True, slots=True)
class ControlFault:
    """A fault of a machine, `offset_s` seconds after the start of a phase.

    `machine` is an address, or the role of the machine that is affected.
    """

    phase: int
    offset_s: float
    kind: str
    machine: str
    duration_s: float

    @staticmethod
    def parse(text: str) -> ControlFault:
        """Parse the printed form, `phase:offset:kind:machine:duration`."""
        phase, offset_s, kind, machine, duration_s = text.split(":")
        return ControlFault(int(phase), float(offset_s), kind.replace("_", " "), machine, float(duration_s))

    def __str__(self) -> str:
        kind = self.kind.replace(" ", "_")
        return f"{self.phase}:{self.offset_s:.3f}:{kind}:{self.machine}:{self.duration_s:.2f}"


def draw_sequence(rng: random.Random, phase: int) -> list[ControlFault]:
    """Draw a sequence of faults that is hard to tolerate.

    A departure followed by a lost disk, a primary that freezes while another takes over on a slow disk, or a
    machine that rejoins the core while another is isolated.
    """
    offset_s = rng.uniform(0.1, 2.0)
    one, other = rng.choice(TARGETS), rng.choice(TARGETS)
    kind = rng.choice(("departure", "standstill", "repair"))
    if kind == "departure":
        loss_at_s = offset_s + CATCH_UP_S + rng.choice((0.05, 0.2, rng.uniform(0, 1.0)))
        steps = [(offset_s, "retire", one, 0.1), (loss_at_s, rng.choice(("wipe", "aimed")), other, 0.6)]
    elif kind == "standstill":
        frozen_at_s = offset_s + rng.uniform(0, 0.3)
        steps = [(offset_s, "slow", other, 4.0), (frozen_at_s, "freeze", "primary", rng.uniform(0.6, 2.0))]
        if rng.random() < 0.5:
            steps.append((frozen_at_s + rng.uniform(0, 2.0), "kill all", one, 0.4))
    else:
        rejoined_at_s = offset_s + 0.5 + rng.uniform(0.0, 0.2)
        steps = [
            (offset_s, "wipe", one, 0.5),
            (rejoined_at_s, rng.choice(("cut", "in", "out", "halves")), other, 3.0),
        ]
    return [
        ControlFault(phase, round(at_s, 3), kind, role, round(duration_s, 2))
        for at_s, kind, role, duration_s in steps
    ]


def draw_faults(rng: random.Random, phases: int) -> list[ControlFault]:
    """Draw the faults of a run; many follow shortly after another, when a second loss does most harm."""
    faults = []
    for phase in range(phases):
        if rng.random() < SEQUENCE_SHARE:
            faults += draw_sequence(rng, phase)
            continue
        offset_s = rng.uniform(0.1, 2.0)
        for _ in range(rng.randint(1, MAX_FAULTS)):
            kind = rng.choice(SINGLE_MACHINE_FAULTS if rng.random() < 0.8 else CLUSTER_FAULTS)
            # Durations close to the lease time may make a replica forget a lease grant, or give two.
            duration_s = rng.choice((0.1, 0.4, round(rng.uniform(0.6, 1.4), 2), 1.5, 3.0, 8.0))
            faults.append(ControlFault(phase, round(offset_s, 3), kind, rng.choice(TARGETS), duration_s))
            gaps = (rng.uniform(0, 0.1), rng.uniform(0.6, 1.2), rng.uniform(0, 2.5))
            offset_s = min(FAULT_WINDOW_S, offset_s + rng.choice(gaps))
    return faults


class Operators:
    """Two operators that send changes to any machine, miss answers, and repeat open and answered changes."""

    def __init__(self, cluster: CoreCluster, rng: random.Random) -> None:
        self.cluster, self.rng = cluster, rng
        self.version = 0
        self.unanswered: dict[tuple[int, str], int] = {}  # changes without a received answer
        self.answered: list[tuple[int, str, ChangeOutcome]] = []
        check_outcome = cluster.on_change_outcome

        def on_change_outcome(version: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
            check_outcome(version, text, outcome, known)
            if rng.random() < 0.7 and self.unanswered.pop((version, text), None) is not None:
                self.answered.append((version, text, outcome))

        cluster.on_change_outcome = on_change_outcome  # type: ignore[method-assign]

    def step(self) -> None:
        """Send new changes and repeat earlier ones, at random."""
        rng, machines = self.rng, list(self.cluster.machines)
        if rng.random() < 0.3 and len(self.unanswered) < 8:
            self.version += rng.randint(0, 2)
            for name in rng.choice((("a",), ("b",), ("a", "b"))):
                self.unanswered[(self.version, f"{self.version} by {name}")] = 0
        for version, text in list(self.unanswered):
            if rng.random() < 0.5:
                self.cluster.put(rng.choice(machines), version, text)
        if self.answered and rng.random() < 0.1:  # repeat an answered change
            version, text, _ = rng.choice(self.answered)
            self.cluster.put(rng.choice(machines), version, text)


class ControlPlaneRun:
    """One run, which depends only on its seed, its size and its faults."""

    def __init__(
        self, seed: int, count: int, faults: tuple[ControlFault, ...], make_replica: ReplicaFactory
    ) -> None:
        self.rng = random.Random(seed)
        self.count, self.faults = count, faults
        self.cluster = CoreCluster(seed, count + SPARES, make_replica)
        self.spares = [f"m{n}" for n in range(count, count + SPARES)]
        self.operators = Operators(self.cluster, self.rng)
        self.callers = ActionCallers(self.cluster, self.rng)
        self.is_disk_lost = False  # in this phase
        self.phase_ends = 0.0
        self.successor_synced_at = 0.0  # when the last successor has caught up
        self.successors: set[str] = set()  # machines that replaced others in this phase

    def play(self) -> CoreCluster:
        """Play all phases and return the cluster.  Raises GuaranteeViolation."""
        cluster = self.cluster
        cluster.removed_machines |= set(self.spares)  # until they are added
        for number in range(self.count):
            cluster.start_at(self.rng.uniform(0, 0.4), f"m{number}")
        cluster.run_for(2.0)
        phases = sorted({fault.phase for fault in self.faults})
        for phase in phases:
            self.play_phase([fault for fault in self.faults if fault.phase == phase])
        longest_fault_s = max((fault.duration_s for fault in self.faults), default=0.0)
        # A commit that hangs at the end of a phase may take that long.
        self.callers.verify_kept_answers(5.0 + 2 * longest_fault_s)
        return cluster

    def play_phase(self, faults: list[ControlFault]) -> None:
        """Inject the faults of a phase, then end them all and let the machines catch up."""
        cluster = self.cluster
        self.is_disk_lost = False
        self.successors.clear()
        began = cluster.now
        self.phase_ends = began + max(fault.offset_s + fault.duration_s for fault in faults) + 0.5
        for fault in faults:
            cluster.schedule(fault.offset_s, lambda fault=fault: self.inject(fault))  # type: ignore[misc]
        while cluster.now < self.phase_ends:
            self.step()
        for machine in cluster.machines.values():
            machine.disk.commit_s, machine.disk.is_full = USUAL_COMMIT_S, False
        # A hanging disk recovers only when its running commit ends.
        recovered_at = max([cluster.now, *(machine.commit_ends_at for machine in cluster.machines.values())])
        cluster.heal(RECOVERY_TIMEOUT_S + recovered_at - cluster.now)
        calm_ends = max(cluster.now, recovered_at) + CALM_S
        while cluster.now < calm_ends:
            self.step()
        cluster.heal(RECOVERY_TIMEOUT_S)

    def step(self) -> None:
        """Advance the time a little and let operators and proxies act."""
        self.cluster.run_for(STEP_S * self.rng.uniform(0.2, 1.5))
        self.operators.step()
        self.callers.step()
        self.cluster.read_all()

    # --- faults ---------------------------------------------------------------------------------------

    def target_of(self, fault: ControlFault) -> str:
        """Return the address of the machine that a fault affects."""
        if fault.machine not in ("primary", "backup"):
            present = [m for m in self.cluster.machines if m not in self.cluster.removed_machines]
            return fault.machine if fault.machine in present else present[0]
        records = [m.replica.led_epoch for m in self.cluster.machines.values() if m.replica is not None]
        leading = [record for record in records if record is not None]
        if not leading:
            return next(m for m in self.cluster.machines if m not in self.cluster.removed_machines)
        newest = max(leading, key=lambda record: record.number)
        return address_of(newest.primary if fault.machine == "primary" else newest.backup)

    def reserve_disk_loss(self) -> bool:
        """Return whether a disk may be lost now; if so, it counts as the lost disk of this phase.

        A replaced machine counts as lost until its successor has been up for CATCH_UP_S.
        """
        if self.is_disk_lost or self.cluster.now < self.successor_synced_at:
            return False
        self.is_disk_lost = True
        return True

    def inject(self, fault: ControlFault) -> None:
        """Apply a fault and schedule its end; a disk that must not be lost is only restarted."""
        cluster = self.cluster
        if fault.kind in CLUSTER_FAULTS:
            self.inject_cluster_fault(fault)
            return
        machine = self.target_of(fault)
        if machine in self.successors:
            return  # the machine that this one replaces counts as lost until this one has caught up
        kind = fault.kind
        if kind in ("wipe", "replace") and not self.reserve_disk_loss():
            kind = "kill"
        if kind in ("kill", "power"):
            cluster.kill(machine)
            self.restart_after(machine, fault.duration_s)
        elif kind == "wipe":
            cluster.wipe(machine)
            self.restart_after(machine, fault.duration_s)
        elif kind == "leave":
            cluster.leave(machine)
            self.restart_after_exit(machine, fault.duration_s)
        elif kind == "retire":
            self.retire(machine)
        elif kind == "replace":
            self.replace(machine, fault.duration_s)
        elif kind in ("cut", "out", "in"):
            cluster.isolate(machine, outward=kind != "in", inward=kind != "out")
            cluster.schedule(fault.duration_s, cluster.cut_links.clear)
        elif kind in ("slow", "hang"):
            self.slow_disk(machine, 0.3 if kind == "slow" else fault.duration_s, fault.duration_s)
        elif kind == "freeze":
            cluster.freeze(machine)
            cluster.schedule(fault.duration_s, lambda: cluster.thaw(machine))
        elif kind == "full":
            self.fill_disk(machine, fault.duration_s)

    def inject_cluster_fault(self, fault: ControlFault) -> None:
        """Apply a fault that affects all machines or links, and schedule its end."""
        cluster = self.cluster
        if fault.kind == "halves":
            machines = [m for m in cluster.machines if m not in cluster.removed_machines]
            half = set(self.rng.sample(machines, len(machines) // 2))
            for one, other in itertools.permutations(machines, 2):
                if (one in half) != (other in half):
                    cluster.cut_links.add((one, other))
            cluster.schedule(fault.duration_s, cluster.cut_links.clear)
            return
        if fault.kind == "loss":
            cluster.loss_rate = 0.2
            cluster.schedule(fault.duration_s, self.end_loss)
            return
        victim = self.target_of(fault)
        for machine in list(cluster.machines):
            cluster.kill(machine)
            self.restart_after(machine, min(fault.duration_s, 1.5))
        if fault.kind == "aimed" and self.reserve_disk_loss():
            cluster.wipe(victim)

    def end_loss(self) -> None:
        self.cluster.loss_rate = 0.0

    def restart_after(self, machine: str, after: float) -> None:
        """Restart a process after a delay, unless its machine was removed meanwhile."""

        def start() -> None:
            if machine not in self.cluster.removed_machines:
                self.cluster.start(machine)

        self.cluster.schedule(after, start)

    def restart_after_exit(self, machine: str, after: float) -> None:
        """Restart a process `after` seconds after the grace time of its exit."""
        self.restart_after(machine, EXIT_GRACE_S + 0.1 + after)

    def start_spare(self) -> None:
        """Start a spare machine at a new address, if one is left."""
        if self.spares:
            spare = self.spares.pop(0)
            self.successors.add(spare)
            self.cluster.removed_machines.discard(spare)
            self.cluster.start(spare)

    def retire(self, machine: str) -> None:
        """Replace a machine as planned: start the successor, then let the machine exit.

        The machine is removed for good if its replica allowed the exit.  Otherwise its process ended while
        its copy was still needed, and its disk counts as lost: the machine is removed if a disk may be lost
        now, and restarted if not.
        """
        cluster = self.cluster
        if cluster.machines[machine].replica is None or not self.spares or self.is_disk_lost:
            return
        self.start_spare()
        self.successor_synced_at = cluster.now + CATCH_UP_S
        self.phase_ends = max(self.phase_ends, self.successor_synced_at + 1.0)
        cluster.schedule(CATCH_UP_S, lambda: cluster.leave(machine))

        def remove_once_exited() -> None:
            replica = cluster.machines[machine].replica
            if replica is None:  # it exited, or was killed meanwhile
                self.remove_or_restart(machine)
            elif replica.leaving_since is not None and replica.may_exit():
                cluster.removed_machines.add(machine)
                cluster.kill(machine)
            else:
                cluster.schedule(0.02, remove_once_exited)

        cluster.schedule(CATCH_UP_S + 0.01, remove_once_exited)

    def remove_or_restart(self, machine: str) -> None:
        """Remove a machine that is down if its disk may be lost; otherwise restart it."""
        if self.reserve_disk_loss():
            self.cluster.removed_machines.add(machine)
        else:
            self.restart_after(machine, 0.3)

    def replace(self, machine: str, after: float) -> None:
        """Remove a machine for good and start an empty one later at another address."""
        if not self.spares:
            self.cluster.wipe(machine)
            self.restart_after(machine, after)
            return
        self.cluster.removed_machines.add(machine)
        self.cluster.kill(machine)
        self.cluster.schedule(min(after, 3.0), self.start_spare)

    def slow_disk(self, machine: str, commit_s: float, duration_s: float) -> None:
        """Slow down the commits of a disk for `duration_s` seconds."""
        disk = self.cluster.machines[machine].disk
        disk.commit_s = commit_s

        def restore() -> None:
            disk.commit_s = USUAL_COMMIT_S

        self.cluster.schedule(duration_s, restore)

    def fill_disk(self, machine: str, duration_s: float) -> None:
        """Fill a disk for `duration_s` seconds, and restart the process afterwards."""
        disk = self.cluster.machines[machine].disk
        disk.is_full = True

        def free_space() -> None:
            disk.is_full = False
            self.restart_after(machine, 0.3)

        self.cluster.schedule(duration_s, free_space)


@dataclass(frozen=True, slots=True)
class ControlPlaneWorld:
    """Random runs of the core for `explore`, with the faults of this module."""

    make_replica: ReplicaFactory = Replica
    name: str = "control"

    def draw(self, rng: random.Random) -> tuple[str, ...]:
        faults = draw_faults(rng, rng.randint(1, 3))
        return (f"seed:{rng.randrange(1 << 30)}:{rng.choice((3, 3, 4, 5))}", *map(str, faults))

    def play(self, events: tuple[str, ...]) -> str:
        seed, count = 0, 3
        faults = []
        for event in events:
            if event.startswith("seed:"):
                _, seed_text, count_text = event.split(":")
                seed, count = int(seed_text), int(count_text)
            else:
                faults.append(ControlFault.parse(event))
        try:
            ControlPlaneRun(seed, count, tuple(faults), self.make_replica).play()
        except GuaranteeViolation as error:
            return str(error)
        return ""
