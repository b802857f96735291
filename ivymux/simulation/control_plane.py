"""Worst days of the control side in simulated time: planned ends, replacements, cuts, frozen processes.

A day has phases.  In each, faults come at their times while operators send changes and doors claim actions;
then all is mended, a machine must lead, and what the operators count as time to catch up goes by.  Disks are
lost as often as is to be borne: one in a phase, a replaced machine's counts.  All else comes in any number.
What holds is checked from outside: `Cores` and `Callers` say what.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass

from ivymux.config_store.history import ChangeOutcome
from ivymux.config_store.records import address_of
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import EXIT_GRACE_S, CoreCluster, GuaranteeViolation
from ivymux.simulation.fault_schedules import ActionCallers, ReplicaFactory
from ivymux.simulation.loss_scenarios import CATCH_UP_S

SPARES = 3  # machines that may be added in the course of a day
PHASE = 5.0  # seconds in which faults begin
CALM_S = CATCH_UP_S + 0.2  # seconds of calm behind a phase
RECOVERY = 15.0  # seconds within which a machine leads once all is mended, at a disk's usual pace
USUAL_COMMIT = 0.008  # seconds
STEP = 0.05  # seconds between steps of the operators and the doors
ONE_MACHINE = (
    "kill", "power", "wipe", "leave", "retire", "replace", "cut", "out", "in", "slow", "hang", "freeze",
    "full",
)  # fmt: skip
ALL_MACHINES = ("kill all", "power all", "aimed", "halves", "loss")
ROLES = ("primary", "backup", "primary", "backup", "m0", "m1", "m2", "m3", "m4")
MAX_FAULTS = 4  # in one phase
SEQUENCES = 0.4  # part of the phases whose faults are drawn as a sequence


@dataclass(frozen=True, slots=True)
class ControlFault:
    """In a phase, so many seconds from its begin, something happens to a machine and lasts for a while.

    `machine`: an address, or the role of who has it then.
    """

    phase: int
    at: float
    kind: str
    machine: str
    lasts: float

    @staticmethod
    def read(text: str) -> ControlFault:
        """As it is printed."""
        phase, at, kind, machine, lasts = text.split(":")
        return ControlFault(int(phase), float(at), kind.replace("_", " "), machine, float(lasts))

    def __str__(self) -> str:
        return f"{self.phase}:{self.at:.3f}:{self.kind.replace(' ', '_')}:{self.machine}:{self.lasts:.2f}"


def drawn_sequence(chance: random.Random, phase: int) -> list[ControlFault]:
    """Faults that come one behind the other where promises are hardest to keep.

    A departure and then a lost disk; a primary that stands still while another takes over on a slow disk; a
    machine that comes back into the core as another is cut off.
    """
    at = chance.uniform(0.1, 2.0)
    one, other = chance.choice(ROLES), chance.choice(ROLES)
    kind = chance.choice(("departure", "standstill", "repair"))
    if kind == "departure":
        loss = at + CATCH_UP_S + chance.choice((0.05, 0.2, chance.uniform(0, 1.0)))
        steps = [(at, "retire", one, 0.1), (loss, chance.choice(("wipe", "aimed")), other, 0.6)]
    elif kind == "standstill":
        frozen = at + chance.uniform(0, 0.3)
        steps = [(at, "slow", other, 4.0), (frozen, "freeze", "primary", chance.uniform(0.6, 2.0))]
        if chance.random() < 0.5:
            steps.append((frozen + chance.uniform(0, 2.0), "kill all", one, 0.4))
    else:
        returned = at + 0.5 + chance.uniform(0.0, 0.2)
        steps = [
            (at, "wipe", one, 0.5),
            (returned, chance.choice(("cut", "in", "out", "halves")), other, 3.0),
        ]
    return [ControlFault(phase, round(t, 3), kind, role, round(lasts, 2)) for t, kind, role, lasts in steps]


def drawn_faults(chance: random.Random, phases: int) -> list[ControlFault]:
    """Faults of a day; half of them close behind another, where second losses are worst."""
    faults = []
    for phase in range(phases):
        if chance.random() < SEQUENCES:
            faults += drawn_sequence(chance, phase)
            continue
        at = chance.uniform(0.1, 2.0)
        for _ in range(chance.randint(1, MAX_FAULTS)):
            kind = chance.choice(ONE_MACHINE if chance.random() < 0.8 else ALL_MACHINES)
            # Around a lease's length is where a vote may be forgotten, or given twice.
            lasts = chance.choice((0.1, 0.4, round(chance.uniform(0.6, 1.4), 2), 1.5, 3.0, 8.0))
            faults.append(ControlFault(phase, round(at, 3), kind, chance.choice(ROLES), lasts))
            gaps = (chance.uniform(0, 0.1), chance.uniform(0.6, 1.2), chance.uniform(0, 2.5))
            at = min(PHASE, at + chance.choice(gaps))
    return faults


class Operators:
    """Two that change the configuration at any machine, lose answers, send again, also what is long past."""

    def __init__(self, cluster: CoreCluster, chance: random.Random) -> None:
        self.cluster, self.chance = cluster, chance
        self.version = 0
        self.open: dict[tuple[int, str], int] = {}  # changes without a clear answer, and how often sent
        self.settled: list[tuple[int, str, ChangeOutcome]] = []
        checked = cluster.on_change_outcome

        def answered(version: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
            checked(version, text, outcome, known)
            if chance.random() < 0.7 and self.open.pop((version, text), None) is not None:
                self.settled.append((version, text, outcome))

        cluster.on_change_outcome = answered  # type: ignore[method-assign]

    def step(self) -> None:
        chance, machines = self.chance, list(self.cluster.machines)
        if chance.random() < 0.3 and len(self.open) < 8:
            self.version += chance.randint(0, 2)
            for name in chance.choice((("a",), ("b",), ("a", "b"))):
                self.open[(self.version, f"{self.version} by {name}")] = 0
        for version, text in list(self.open):
            if chance.random() < 0.5:
                self.cluster.put(chance.choice(machines), version, text)
        if self.settled and chance.random() < 0.1:  # one that was answered before, at any machine
            version, text, _ = chance.choice(self.settled)
            self.cluster.put(chance.choice(machines), version, text)


class ControlDay:
    """One day, played from its numbers alone.  Raises Broken."""

    def __init__(
        self, seed: int, count: int, faults: tuple[ControlFault, ...], make_replica: ReplicaFactory
    ) -> None:
        self.chance = random.Random(seed)
        self.count, self.faults = count, faults
        self.cluster = CoreCluster(seed, count + SPARES, make_replica)
        self.spares = [f"m{n}" for n in range(count, count + SPARES)]
        self.operators = Operators(self.cluster, self.chance)
        self.callers = ActionCallers(self.cluster, self.chance)
        self.disk_lost = False  # in this phase
        self.phase_ends = 0.0
        self.successor_synced_at = 0.0
        self.successors: set[str] = set()  # machines that have come in this phase in the place of others

    def play(self) -> CoreCluster:
        cluster = self.cluster
        cluster.removed_machines |= set(self.spares)  # nobody has added them yet
        for number in range(self.count):
            cluster.start_at(self.chance.uniform(0, 0.4), f"m{number}")
        cluster.run_for(2.0)
        phases = sorted({fault.phase for fault in self.faults})
        for phase in phases:
            self.play_phase([fault for fault in self.faults if fault.phase == phase])
        slowest = max((fault.lasts for fault in self.faults), default=0.0)
        self.callers.verify_kept_answers(
            5.0 + 2 * slowest
        )  # a commit that hangs when a phase ends may last for that long
        return cluster

    def play_phase(self, faults: list[ControlFault]) -> None:
        cluster = self.cluster
        self.disk_lost = False
        self.successors.clear()
        began = cluster.now
        self.phase_ends = began + max(fault.at + fault.lasts for fault in faults) + 0.5
        for fault in faults:
            cluster.schedule(fault.at, lambda fault=fault: self.strike(fault))  # type: ignore[misc]
        while cluster.now < self.phase_ends:
            self.step()
        for machine in cluster.machines.values():
            machine.disk.commit_s, machine.disk.is_full = USUAL_COMMIT, False
        # A disk that hung is one in trouble until the commit that it was at is done.
        mended = max([cluster.now, *(machine.commit_ends_at for machine in cluster.machines.values())])
        cluster.heal(RECOVERY + mended - cluster.now)
        until = max(cluster.now, mended) + CALM_S
        while cluster.now < until:
            self.step()
        cluster.heal(RECOVERY)

    def step(self) -> None:
        self.cluster.run_for(STEP * self.chance.uniform(0.2, 1.5))
        self.operators.step()
        self.callers.step()
        self.cluster.read_all()

    # --- faults ----------------------------------------------------------------------------------------

    def victim(self, fault: ControlFault) -> str:
        """The address that a fault is meant for."""
        if fault.machine not in ("primary", "backup"):
            present = [m for m in self.cluster.machines if m not in self.cluster.removed_machines]
            return fault.machine if fault.machine in present else present[0]
        records = [m.replica.led_epoch for m in self.cluster.machines.values() if m.replica is not None]
        leading = [record for record in records if record is not None]
        if not leading:
            return next(m for m in self.cluster.machines if m not in self.cluster.removed_machines)
        newest = max(leading, key=lambda record: record.number)
        return address_of(newest.primary if fault.machine == "primary" else newest.backup)

    def may_lose_disk(self) -> bool:
        """Whether one more disk may be lost in this phase; it counts as lost then.

        A machine that is replaced counts as lost until its successor has had SYNC_TIME.
        """
        if self.disk_lost or self.cluster.now < self.successor_synced_at:
            return False
        self.disk_lost = True
        return True

    def strike(self, fault: ControlFault) -> None:
        cluster = self.cluster
        if fault.kind in ALL_MACHINES:
            self.strike_all(fault)
            return
        machine = self.victim(fault)
        if machine in self.successors:
            return  # what it replaces counts as lost until it has caught up: no more is to be borne
        kind = fault.kind
        if kind in ("wipe", "replace") and not self.may_lose_disk():
            kind = "kill"
        if kind in ("kill", "power"):
            cluster.kill(machine)
            self.back(machine, fault.lasts)
        elif kind == "wipe":
            cluster.wipe(machine)
            self.back(machine, fault.lasts)
        elif kind == "leave":
            cluster.leave(machine)
            self.back_after_end(machine, fault.lasts)
        elif kind == "retire":
            self.retire(machine)
        elif kind == "replace":
            self.replace(machine, fault.lasts)
        elif kind in ("cut", "out", "in"):
            cluster.isolate(machine, outward=kind != "in", inward=kind != "out")
            cluster.schedule(fault.lasts, cluster.cut_links.clear)
        elif kind in ("slow", "hang"):
            self.slow_disk(machine, 0.3 if kind == "slow" else fault.lasts, fault.lasts)
        elif kind == "freeze":
            cluster.freeze(machine)
            cluster.schedule(fault.lasts, lambda: cluster.thaw(machine))
        elif kind == "full":
            self.fill_disk(machine, fault.lasts)

    def strike_all(self, fault: ControlFault) -> None:
        cluster = self.cluster
        if fault.kind == "halves":
            machines = [m for m in cluster.machines if m not in cluster.removed_machines]
            half = set(self.chance.sample(machines, len(machines) // 2))
            for one, other in itertools.permutations(machines, 2):
                if (one in half) != (other in half):
                    cluster.cut_links.add((one, other))
            cluster.schedule(fault.lasts, cluster.cut_links.clear)
            return
        if fault.kind == "loss":
            cluster.loss_rate = 0.2
            cluster.schedule(fault.lasts, self.end_loss)
            return
        victim = self.victim(fault)
        for machine in list(cluster.machines):
            cluster.kill(machine)
            self.back(machine, min(fault.lasts, 1.5))
        if fault.kind == "aimed" and self.may_lose_disk():
            cluster.wipe(victim)

    def end_loss(self) -> None:
        self.cluster.loss_rate = 0.0

    def back(self, machine: str, after: float) -> None:
        """The process starts again, unless its machine is gone for good."""

        def start() -> None:
            if machine not in self.cluster.removed_machines:
                self.cluster.start(machine)

        self.cluster.schedule(after, start)

    def back_after_end(self, machine: str, after: float) -> None:
        """The same, once a planned end is over."""
        self.back(machine, EXIT_GRACE_S + 0.1 + after)

    def add_spare(self) -> None:
        """A new machine, at another address, where there is one left."""
        if self.spares:
            spare = self.spares.pop(0)
            self.successors.add(spare)
            self.cluster.removed_machines.discard(spare)
            self.cluster.start(spare)

    def retire(self, machine: str) -> None:
        """A planned replacement: the successor first, and then the end, for good where nothing is held.

        A process that still holds a copy at the end of its grace takes a disk with it: then the operators
        start it again, unless a disk may be lost.
        """
        cluster = self.cluster
        if cluster.machines[machine].replica is None or not self.spares or self.disk_lost:
            return
        self.add_spare()
        self.successor_synced_at = cluster.now + CATCH_UP_S
        self.phase_ends = max(self.phase_ends, self.successor_synced_at + 1.0)
        cluster.schedule(CATCH_UP_S, lambda: cluster.leave(machine))

        def look() -> None:
            replica = cluster.machines[machine].replica
            if replica is None:  # it ended in time, or was lost meanwhile
                self.remove(machine)
            elif replica.leaving_since is not None and replica.may_exit():
                cluster.removed_machines.add(machine)
                cluster.kill(machine)
            else:
                cluster.schedule(0.02, look)

        cluster.schedule(CATCH_UP_S + 0.01, look)

    def remove(self, machine: str) -> None:
        """A process that is down is not started again if its disk may be lost, else it is."""
        if self.may_lose_disk():
            self.cluster.removed_machines.add(machine)
        else:
            self.back(machine, 0.3)

    def replace(self, machine: str, after: float) -> None:
        """A machine is gone for good, an empty one comes later at another address."""
        if not self.spares:
            self.cluster.wipe(machine)
            self.back(machine, after)
            return
        self.cluster.removed_machines.add(machine)
        self.cluster.kill(machine)
        self.cluster.schedule(min(after, 3.0), self.add_spare)

    def slow_disk(self, machine: str, commit_s: float, lasts: float) -> None:
        disk = self.cluster.machines[machine].disk
        disk.commit_s = commit_s

        def usual() -> None:
            disk.commit_s = USUAL_COMMIT

        self.cluster.schedule(lasts, usual)

    def fill_disk(self, machine: str, lasts: float) -> None:
        disk = self.cluster.machines[machine].disk
        disk.is_full = True

        def room() -> None:
            disk.is_full = False
            self.back(machine, 0.3)

        self.cluster.schedule(lasts, room)


@dataclass(frozen=True, slots=True)
class Control:
    """A world for `explore`: days of the control side."""

    make_replica: ReplicaFactory = Replica
    name: str = "control"

    def draw(self, chance: random.Random) -> tuple[str, ...]:
        faults = drawn_faults(chance, chance.randint(1, 3))
        return (f"seed:{chance.randrange(1 << 30)}:{chance.choice((3, 3, 4, 5))}", *map(str, faults))

    def play(self, events: tuple[str, ...]) -> str:
        seed, count = 0, 3
        faults = []
        for event in events:
            if event.startswith("seed:"):
                _, seed_text, count_text = event.split(":")
                seed, count = int(seed_text), int(count_text)
            else:
                faults.append(ControlFault.read(event))
        try:
            ControlDay(seed, count, tuple(faults), self.make_replica).play()
        except GuaranteeViolation as error:
            return str(error)
        return ""
