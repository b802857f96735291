"""Searches the simulations for violated guarantees with random events, and shrinks the findings.

A world is a simulation with its checks.  Its input is a list of events, which can be printed and played
again.  A finding is a list of events that violates a guarantee; it is shrunk to events that are all needed
for a violation.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from ivymux.config_store.replica import Replica
from ivymux.registry import outlier_detection
from ivymux.simulation.control_plane import ControlPlaneWorld
from ivymux.simulation.core_cluster import GuaranteeViolation
from ivymux.simulation.event_queue import START_TIME
from ivymux.simulation.fault_schedules import FAULT_TARGETS, Fault, ReplicaFactory, run_two_changes
from ivymux.simulation.quota_sharing import DistributedQuotaSimulation, QuotaSimulation, Tenant, quota_plan
from ivymux.simulation.trial_model import TrialEvent, TrialRun, draw_events

Events = tuple[str, ...]
FAULT_STEPS = 40  # first steps of a run of the core, before which faults are injected
MAX_FAULTS = 8
FLOOD_END_S = 9.0  # since the start of a run
PARTITION_PROXIES = 6  # proxies in PartitionWorld


def parse_seed(events: Events) -> int:
    """Return the seed among the events of a run, or 0."""
    return next((int(e.removeprefix("seed:")) for e in events if e.startswith("seed:")), 0)


class World(Protocol):
    """A simulation whose runs are determined by lists of events."""

    @property
    def name(self) -> str: ...

    def draw(self, rng: random.Random) -> Events:
        """Draw the events of a run, within the faults that have to be tolerated."""

    def play(self, events: Events) -> str:
        """Play the events and return the first violated guarantee; empty if there is none."""


@dataclass(frozen=True, slots=True)
class CoreWorld:
    """Three core machines, two changes of the configuration, and faults before steps (fault_schedules.py)."""

    make_replica: ReplicaFactory = Replica
    name: str = "core"

    def draw(self, rng: random.Random) -> Events:
        """Draw faults; beside a lost disk there are only faults of the same machine or of all machines."""
        kinds = [kind for kind in FAULT_TARGETS if kind != "wipe"]
        count = rng.randint(1, MAX_FAULTS)
        kinds = rng.choices(kinds, k=count)
        faults = [Fault(rng.randrange(FAULT_STEPS), kind, rng.choice(FAULT_TARGETS[kind])) for kind in kinds]
        if rng.random() < 0.3:
            victim = rng.choice(FAULT_TARGETS["wipe"])
            faults = [f for f in faults if f.machine in (victim, "-")]
            faults.append(Fault(rng.randrange(FAULT_STEPS), "wipe", victim))
        return tuple(str(f) for f in sorted(faults, key=lambda f: f.step))

    def play(self, events: Events) -> str:
        try:
            run_two_changes(tuple(Fault.parse(text) for text in events), self.make_replica)
        except GuaranteeViolation as error:
            # Many faults may keep a change from being stored in time; no acknowledged change is lost then.
            return "" if "is not stored within" in str(error) else str(error)
        return ""


@dataclass(frozen=True, slots=True)
class TrialWorld:
    """Trials that start and end while proxies and registries are partitioned or restart (trial_model.py)."""

    name: str = "trials"

    def draw(self, rng: random.Random) -> Events:
        trial_events = sorted(draw_events(rng), key=lambda event: event.at)
        return (f"seed:{rng.randrange(1 << 30)}", *map(str, trial_events))

    def play(self, events: Events) -> str:
        seed = parse_seed(events)
        trial_events = tuple(TrialEvent.parse(e) for e in events if not e.startswith("seed:"))
        violations = TrialRun(seed, events=trial_events).play().violations
        return violations[0] if violations else ""


def quota_violation(tenant: Tenant) -> str:
    """Describe by how much a tenant exceeded its quota within 5 s; empty if it did not."""
    sent, allowed = tenant.max_sent_within(5.0), tenant.allowed_within_window()
    return f"{sent} in 5 s, {allowed:.0f} are allowed" if sent > allowed else ""


@dataclass(frozen=True, slots=True)
class QuotaWorld:
    """A tenant floods eight proxies while the holder of its counts is lost (quota_sharing.py)."""

    name: str = "quotas"

    def draw(self, rng: random.Random) -> Events:
        losses = [
            f"{rng.uniform(1.0, FLOOD_END_S - 1):.2f}:{rng.choice(('counts', 'counts', 'all'))}"
            for _ in range(rng.randint(1, 2))
        ]
        return (f"seed:{rng.randrange(1 << 30)}", *sorted(losses))

    def play(self, events: Events) -> str:
        seed = parse_seed(events)
        tenant = Tenant(quota_plan("t", 30.0, 30.0), lambda s: 20.0 if s < 1.0 else 180.0)
        simulation = QuotaSimulation(8, [tenant], seed)
        for event in events:
            at, _, kind = event.partition(":")
            if kind == "counts":
                simulation.schedule_at(START_TIME + float(at), simulation.lose_counts)
            elif kind == "all":
                simulation.schedule_at(START_TIME + float(at), lambda: simulation.restart_all_proxies(0.6))
        simulation.run_until(FLOOD_END_S)
        return quota_violation(tenant)


@dataclass(frozen=True, slots=True)
class PartitionWorld:
    """A tenant floods proxies that are partitioned and reconnect (quota_sharing.py)."""

    name: str = "cuts"

    def draw(self, rng: random.Random) -> Events:
        partitions = []
        for _ in range(rng.randint(1, 4)):
            proxy, at = rng.randrange(PARTITION_PROXIES), rng.uniform(1.0, FLOOD_END_S - 1)
            partitions.append(f"{at:.2f}:{proxy}:{rng.uniform(0.05, 6.0):.2f}")
        return (f"seed:{rng.randrange(1 << 30)}", *sorted(partitions))

    def play(self, events: Events) -> str:
        """Play events of the form `start:proxy:duration`, each of which partitions a proxy."""
        seed = parse_seed(events)
        tenant = Tenant(quota_plan("t", 30.0, 30.0), lambda s: 20.0 if s < 1.0 else 180.0)
        simulation = DistributedQuotaSimulation(PARTITION_PROXIES, [tenant], seed)
        for event in events:
            if not event.startswith("seed:"):
                at, proxy, duration_s = (float(part) for part in event.split(":"))
                simulation.schedule_at(START_TIME + at, partial(simulation.partition, int(proxy)))
                ends_at = START_TIME + at + duration_s
                simulation.schedule_at(ends_at, partial(simulation.reconnect, int(proxy)))
        simulation.run_until(FLOOD_END_S + 4.0)
        return quota_violation(tenant)


@dataclass(frozen=True, slots=True)
class OutlierWorld:
    """Proxies report failures of a service's backends, some of which are ejected (outlier_detection.py)."""

    name: str = "doubts"
    proxies: int = 5
    backends: int = 9

    def draw(self, rng: random.Random) -> Events:
        failures, at = [], 0.0
        for _ in range(rng.randint(10, 120)):
            at += rng.expovariate(rng.choice((2.0, 20.0)))
            failures.append(f"{at:.2f}:{rng.randrange(self.proxies)}:{rng.randrange(self.backends)}")
        return tuple(failures)

    def play(self, events: Events) -> str:
        detector = outlier_detection.OutlierDetector()
        peers = [str(n) for n in range(self.backends)]
        reports: list[tuple[float, str, str]] = []
        ejected_until: dict[str, float] = {}
        for event in events:
            text, proxy, backend = event.split(":")
            now = float(text)
            reports.append((now, proxy, backend))
            ejection_s = detector.report(proxy, backend, 1, self.proxies, peers, now)
            if not ejection_s:
                continue
            reporters = {p for at, p, b in reports if b == backend and at >= now - 2.0}
            ejected_until = {b: until for b, until in ejected_until.items() if until > now}
            ejected_until[backend] = now + ejection_s
            if len(reporters) < 2:
                return f"{backend} is ejected on the reports of one proxy"
            if 3 * len(ejected_until) > self.backends:
                return f"{len(ejected_until)} of {self.backends} are ejected at once"
        return ""


WORLDS: tuple[Callable[[], World], ...] = (
    CoreWorld, ControlPlaneWorld, TrialWorld, QuotaWorld, PartitionWorld, OutlierWorld,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Finding:
    """Events of a world that violate a guarantee, and the seed by which they were drawn."""

    world: str
    seed: int
    events: Events
    violation: str

    def __str__(self) -> str:
        return f"{self.world} seed {self.seed}: {self.violation}: {' '.join(self.events)}"


def explore(world: World, seeds: Sequence[int]) -> Finding | None:
    """Play a run for each seed; return the first that violates a guarantee, or None."""
    for seed in seeds:
        events = world.draw(random.Random(seed))
        if violation := world.play(events):
            return Finding(world.name, seed, events, violation)
    return None


def shrink(world: World, found: Finding) -> Finding:
    """Reduce a finding to events none of which can be left out, by delta debugging.

    Source: Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002.
    """
    events, violation, parts = found.events, found.violation, 2
    while len(events) > 1:
        size = max(1, len(events) // parts)
        for first in range(0, len(events), size):
            fewer = events[:first] + events[first + size :]
            if found_violation := world.play(fewer):
                events, violation, parts = fewer, found_violation, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(events), 2 * parts)
    return Finding(found.world, found.seed, events, violation)
