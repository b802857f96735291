"""Explores the models of the pure parts: draws what happens, plays it, shrinks what breaks a promise.  Pure.

A world is one model with its rules.  What happens in it is a list of events that can be printed and played
again; what is found is cut down to the events without which it does not break any more.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
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
STEPS = 40  # of the core's run in which faults are placed
MAX_FAULTS = 8
FLOODED = 9.0  # seconds of a flood
CUT_DOORS = 6


class World(Protocol):
    @property
    def name(self) -> str: ...

    def draw(self, chance: random.Random) -> Events:
        """What happens on one day, within what is to be borne."""

    def play(self, events: Events) -> str:
        """The promise that was broken; empty where all are kept."""


@dataclass(frozen=True, slots=True)
class Core:
    """Three core machines, two changes of the configuration, faults at steps (fault_schedules.py)."""

    make_replica: ReplicaFactory = Replica
    name: str = "core"

    def draw(self, chance: random.Random) -> Events:
        """One disk is lost at the most, and then nothing else happens to other machines by themselves."""
        kinds = [kind for kind in FAULT_TARGETS if kind != "wipe"]
        count = chance.randint(1, MAX_FAULTS)
        kinds = chance.choices(kinds, k=count)
        faults = [Fault(chance.randrange(STEPS), kind, chance.choice(FAULT_TARGETS[kind])) for kind in kinds]
        if chance.random() < 0.3:
            victim = chance.choice(FAULT_TARGETS["wipe"])
            faults = [f for f in faults if f.machine in (victim, "-")]
            faults.append(Fault(chance.randrange(STEPS), "wipe", victim))
        return tuple(str(f) for f in sorted(faults, key=lambda f: f.step))

    def play(self, events: Events) -> str:
        try:
            run_two_changes(tuple(Fault.parse(text) for text in events), self.make_replica)
        except GuaranteeViolation as error:
            # Many faults may keep a change from being stored in time; no acknowledged change is lost then.
            return "" if "is not stored within" in str(error) else str(error)
        return ""


@dataclass(frozen=True, slots=True)
class Trials:
    """Trials that start and end while doors and registries are cut off and start anew (trial_model.py)."""

    name: str = "trials"

    def draw(self, chance: random.Random) -> Events:
        trial_events = sorted(draw_events(chance), key=lambda event: event.at)
        return (f"seed:{chance.randrange(1 << 30)}", *map(str, trial_events))

    def play(self, events: Events) -> str:
        seed = next((int(e.removeprefix("seed:")) for e in events if e.startswith("seed:")), 0)
        trial_events = tuple(TrialEvent.parse(e) for e in events if not e.startswith("seed:"))
        violations = TrialRun(seed, events=trial_events).play().violations
        return violations[0] if violations else ""


def quota_violation(tenant: Tenant) -> str:
    """Describe by how much a tenant exceeded its quota within 5 s; empty if it did not."""
    sent, allowed = tenant.max_sent_within(5.0), tenant.allowed_within_window()
    return f"{sent} in 5 s, {allowed:.0f} are allowed" if sent > allowed else ""


@dataclass(frozen=True, slots=True)
class Quotas:
    """A tenant that floods eight doors while who holds its counts is lost (quota_sharing.py)."""

    name: str = "quotas"

    def draw(self, chance: random.Random) -> Events:
        lost = [
            f"{chance.uniform(1.0, FLOODED - 1):.2f}:{chance.choice(('counts', 'counts', 'all'))}"
            for _ in range(chance.randint(1, 2))
        ]
        return (f"seed:{chance.randrange(1 << 30)}", *sorted(lost))

    def play(self, events: Events) -> str:
        seed = next((int(e.removeprefix("seed:")) for e in events if e.startswith("seed:")), 0)
        tenant = Tenant(quota_plan("t", 30.0, 30.0), lambda s: 20.0 if s < 1.0 else 180.0)
        doors = QuotaSimulation(8, [tenant], seed)
        for event in events:
            at, _, kind = event.partition(":")
            if kind == "counts":
                doors.schedule_at(START_TIME + float(at), doors.lose_counts)
            elif kind == "all":
                doors.schedule_at(START_TIME + float(at), lambda: doors.restart_all_proxies(0.6))
        doors.run_until(FLOODED)
        most = tenant.max_sent_within(5.0)
        return (
            f"{most} in 5 s, {tenant.allowed_within_window():.0f} are allowed"
            if most > tenant.allowed_within_window()
            else ""
        )


@dataclass(frozen=True, slots=True)
class Cuts:
    """A tenant floods six doors that are cut off and return; each uses its own list (quota_sharing.py)."""

    name: str = "cuts"

    def draw(self, chance: random.Random) -> Events:
        cuts = []
        for _ in range(chance.randint(1, 4)):
            door, at = chance.randrange(CUT_DOORS), chance.uniform(1.0, FLOODED - 1)
            cuts.append(f"{at:.2f}:{door}:{chance.uniform(0.05, 6.0):.2f}")
        return (f"seed:{chance.randrange(1 << 30)}", *sorted(cuts))

    def play(self, events: Events) -> str:
        """Of each event: when a door is cut off, which, and for how many seconds."""
        seed = next((int(e.removeprefix("seed:")) for e in events if e.startswith("seed:")), 0)
        tenant = Tenant(quota_plan("t", 30.0, 30.0), lambda s: 20.0 if s < 1.0 else 180.0)
        made = DistributedQuotaSimulation(CUT_DOORS, [tenant], seed)
        for event in events:
            if not event.startswith("seed:"):
                at, door, lasts = (float(part) for part in event.split(":"))
                made.schedule_at(START_TIME + at, lambda n=int(door): made.partition(n))  # type: ignore[misc]
                made.schedule_at(START_TIME + at + lasts, lambda n=int(door): made.reconnect(n))  # type: ignore[misc]
        made.run_until(FLOODED + 4.0)
        most = tenant.max_sent_within(5.0)
        return (
            f"{most} in 5 s, {tenant.allowed_within_window():.0f} are allowed"
            if most > tenant.allowed_within_window()
            else ""
        )


@dataclass(frozen=True, slots=True)
class Doubts:
    """Doors that meet failures at the backends of one service (outlier_detection.py): whom they shut out."""

    name: str = "doubts"
    doors: int = 5
    backends: int = 9

    def draw(self, chance: random.Random) -> Events:
        met, at = [], 0.0
        for _ in range(chance.randint(10, 120)):
            at += chance.expovariate(chance.choice((2.0, 20.0)))
            met.append(f"{at:.2f}:{chance.randrange(self.doors)}:{chance.randrange(self.backends)}")
        return tuple(met)

    def play(self, events: Events) -> str:
        made, peers = outlier_detection.OutlierDetector(), [str(n) for n in range(self.backends)]
        heard: list[tuple[float, str, str]] = []
        alone: dict[str, float] = {}
        for event in events:
            text, door, backend = event.split(":")
            now = float(text)
            heard.append((now, door, backend))
            span = made.report(door, backend, 1, self.doors, peers, now)
            if not span:
                continue
            voices = {d for at, d, b in heard if b == backend and at >= now - 2.0}
            alone = {b: until for b, until in alone.items() if until > now} | {backend: now + span}
            if len(voices) < 2:
                return f"{backend} is left alone by one door's word"
            if 3 * len(alone) > self.backends:
                return f"{len(alone)} of {self.backends} are left alone at once"
        return ""


WORLDS: tuple[Callable[[], World], ...] = (Core, ControlPlaneWorld, Trials, Quotas, Cuts, Doubts)


@dataclass(frozen=True, slots=True)
class Find:
    world: str
    seed: int
    events: Events
    broken: str

    def __str__(self) -> str:
        return f"{self.world} seed {self.seed}: {self.broken}: {' '.join(self.events)}"


def explore(world: World, seeds: Sequence[int]) -> Find | None:
    """The first of the days drawn by these seeds on which a promise is broken."""
    for seed in seeds:
        events = world.draw(random.Random(seed))
        if broken := world.play(events):
            return Find(world.name, seed, events, broken)
    return None


def shrink(world: World, found: Find) -> Find:
    """The same with as few events as can be: parts are left out for as long as it still breaks (Zeller and
    Hildebrandt 2002); what is left cannot lose one more.
    """
    events, broken, parts = found.events, found.broken, 2
    while len(events) > 1:
        size = max(1, len(events) // parts)
        for first in range(0, len(events), size):
            fewer = events[:first] + events[first + size :]
            if why := world.play(fewer):
                events, broken, parts = fewer, why, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(events), 2 * parts)
    return Find(found.world, found.seed, events, broken)
