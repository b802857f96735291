"""Draws the plan of a soak: overlapping series of signals, restarts, changes and faults.  Pure.

Each series has a random generator of its own, so that one can be changed without the others.  A series begins
a new event whether or not the former one is over: a machine may get SIGTERM while it starts, its successor
may start while it still stops, and two operators may send changes at once.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal

from ivymux.simulation.day_file import (
    FORMAT,
    ClientRequest,
    ConfigurationChange,
    CrashBackend,
    Day,
    Event,
    FreezeMachine,
    KillMachine,
    QuiesceBackend,
    ReloadMachine,
    SendCrowd,
    SpoilAnswers,
    StartMachine,
)
from ivymux.simulation.misbehaving_clients import FRAME_MISBEHAVIOURS, HTTP_MISBEHAVIOURS, HTTP_PORTS

CALM_START_S = 2.0  # without trouble, at the beginning
CALM_END_S = 20.0  # at the end: the time to recover, and some requests after it
DISK_REPAIR_S = 6.0  # for which a machine that lost its disk still counts as lost
INTERPRETER_START_S = 0.2  # in which SIGHUP ends a process (KNOWN-RED.txt, issue 73)

# Mean seconds between two events of a series.
DOOR_KILL_INTERVAL_S = 6.0
DOOR_STOP_INTERVAL_S = 8.0
CORE_RESTART_INTERVAL_S = 7.0
FREEZE_INTERVAL_S = 6.0
RELOAD_INTERVAL_S = 1.5
CHANGE_INTERVAL_S = 2.0
SPOIL_INTERVAL_S = 1.5
CRASH_INTERVAL_S = 5.0
CROWD_INTERVAL_S = 3.0
LOSS_OF_ALL_INTERVAL_S = 25.0

SIGN_SHARE = 0.4  # of the requests, those that may not run twice
LEAVE_SHARE = 0.15  # of the repeatable requests, those whose client leaves
LEAVE_AFTER_S = 0.1
BODY_SHARE = 0.1  # of the requests that may not run twice, those with a long body
MAX_BODY_BYTES = 400_000
FAVOURITE_SHARE = 0.7  # of the very long bodies, those to one proxy
VERY_LONG_BODY_INTERVAL_S = 0.4  # between two requests with a very long body
MIN_VERY_LONG_BODY_BYTES, MAX_VERY_LONG_BODY_BYTES = 4 << 20, 24 << 20
CROWD_PORTS = {"door": ("front", "ready", "proxy"), "core": ("control", "config_store", "registry")}
MIN_CROWD_CONNECTIONS, MAX_CROWD_CONNECTIONS = 5, 40
MIN_CROWD_BYTES, MAX_CROWD_BYTES = 1 << 20, 8 << 20  # of each connection
MIN_CROWD_S, MAX_CROWD_S = 0.5, 4.0
MIN_DOWN_S, MAX_DOWN_S = 0.3, 8.0  # of a crashed backend; shorter and longer than its silence is noticed
SPOILT_ANSWERS = 3  # of a backend, in one event
SECOND_OPERATOR_SHARE = 0.4  # of the changes, those that are sent beside another one
ROUTES = ({"read": "archive", "sign": "desk"}, {"read": "desk", "sign": "desk"})

Spoil = Literal["lost", "unsealed", "full", "slow"]
SPOILS: tuple[Spoil, ...] = ("lost", "unsealed", "full", "slow")


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How much a soak plays; times in seconds, the rate in requests per second."""

    seconds: float = 60.0
    rate: float = 40.0
    cores: int = 4
    doors: int = 8  # proxies
    backends: int = 4  # of each service


def draw_soak(seed: int, size: SoakSize) -> tuple[Day, list[Event]]:
    """Draw a soak by its seed."""
    day = Day(
        FORMAT, seed, size.cores, size.doors, {"archive": size.backends, "desk": size.backends}, work=0.02
    )
    events = [
        *draw_requests(seed, size),
        *draw_very_long_bodies(seed, size),
        *draw_machine_troubles(seed, size),
        *draw_changes(seed, size),
        *draw_backend_troubles(seed, size),
        *draw_crowds(seed, size),
    ]
    return day, sorted(events, key=lambda event: event.at)


def draw_times(
    rng: random.Random, size: SoakSize, interval_s: float, calm_end_s: float = CALM_END_S
) -> Iterator[float]:
    """Yield the times of a series of troubles; there are none in the last `calm_end_s` seconds."""
    at = CALM_START_S
    while (at := at + rng.expovariate(1 / interval_s)) < size.seconds - calm_end_s:
        yield round(at, 3)


def draw_arrivals(rng: random.Random, size: SoakSize) -> Iterator[tuple[int, float]]:
    """Yield the number and the time of each request, from the beginning to the end."""
    at, number = 0.0, 0
    while (at := at + rng.expovariate(size.rate)) < size.seconds:
        number += 1
        yield number, round(at, 4)


def draw_requests(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield the clients' requests, from the beginning to the end."""
    rng = random.Random(f"requests {seed}")
    for number, at in draw_arrivals(rng, size):
        is_sign = rng.random() < SIGN_SHARE
        leaves_s = LEAVE_AFTER_S if not is_sign and rng.random() < LEAVE_SHARE else 0.0
        path = f"/{'sign' if is_sign else 'read'}/{number}"
        method = "POST" if is_sign else "GET"
        body = rng.randint(1, MAX_BODY_BYTES) if is_sign and rng.random() < BODY_SHARE else 0
        door = rng.randrange(size.doors)
        yield ClientRequest(at, f"r{number}", door, path, method, leaves=leaves_s, body=body)


def draw_very_long_bodies(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield requests with very long bodies, most of them to the same proxy one after another."""
    rng = random.Random(f"very long bodies {seed}")
    favourite = rng.randrange(size.doors)
    for number, at in enumerate(draw_times(rng, size, VERY_LONG_BODY_INTERVAL_S)):
        door = favourite if rng.random() < FAVOURITE_SHARE else rng.randrange(size.doors)
        body = rng.randint(MIN_VERY_LONG_BODY_BYTES, MAX_VERY_LONG_BODY_BYTES)
        yield ClientRequest(at, f"long{number}", door, f"/sign/long{number}", "POST", body=body)


class Machines:
    """When each machine is started, and when cores are disturbed, while a plan is drawn."""

    def __init__(self) -> None:
        self.starts: dict[str, list[float]] = {}
        self.core_troubles: list[tuple[float, float]] = []  # from, until
        self.events: list[Event] = []

    def restart(self, machine: str, at: float, how: Literal["kill", "term", "wipe"], down_s: float) -> None:
        """Kill or stop a machine, and start it again; with "term" it may still be stopping by then."""
        started_at = round(at + down_s, 3)
        self.events += [KillMachine(at, machine, how), StartMachine(started_at, machine)]
        self.starts.setdefault(machine, []).append(started_at)
        if machine.startswith("core-"):
            until = started_at + (DISK_REPAIR_S if how == "wipe" else 0.0)
            self.core_troubles.append((at, until))

    def is_core_calm(self, since: float, until: float) -> bool:
        """Whether no core machine is disturbed within a span, so that one of them may lose its disk."""
        return not any(begin <= until and end >= since for begin, end in self.core_troubles)

    def has_just_started(self, machine: str, at: float) -> bool:
        return any(start <= at <= start + INTERPRETER_START_S for start in self.starts.get(machine, ()))


def draw_machine_troubles(seed: int, size: SoakSize) -> list[Event]:
    """Return the restarts, freezes and reloads of machines."""
    doors = [f"door-{n}" for n in range(size.doors)]
    cores = [f"core-{n}" for n in range(size.cores)]
    machines = Machines()
    rng = random.Random(f"doors {seed}")
    for at in draw_times(rng, size, DOOR_KILL_INTERVAL_S):
        machines.restart(rng.choice(doors), at, "kill", rng.uniform(0.05, 1.5))
    for at in draw_times(rng, size, DOOR_STOP_INTERVAL_S):
        machines.restart(rng.choice(doors), at, "term", rng.uniform(0.05, 4.0))
    rng = random.Random(f"losses {seed}")
    for at in draw_times(rng, size, LOSS_OF_ALL_INTERVAL_S):
        for machine in rng.choice((doors, cores, doors + cores)):
            machines.restart(machine, at, "kill", rng.uniform(0.2, 1.0))
    rng = random.Random(f"cores {seed}")
    for at in draw_times(rng, size, CORE_RESTART_INTERVAL_S):
        machines.restart(rng.choice(cores), at, rng.choice(("kill", "term")), rng.uniform(0.05, 3.0))
    rng = random.Random(f"freezes {seed}")
    for at in draw_times(rng, size, FREEZE_INTERVAL_S):
        machine, seconds = rng.choice(doors + cores), round(rng.uniform(0.2, 4.0), 3)
        machines.events.append(FreezeMachine(at, machine, seconds))
        if machine in cores:
            machines.core_troubles.append((at, at + seconds))
    rng = random.Random(f"disks {seed}")
    for at in draw_times(rng, size, CORE_RESTART_INTERVAL_S):
        down_s = rng.uniform(0.1, 1.0)
        if machines.is_core_calm(at - DISK_REPAIR_S, at + down_s + DISK_REPAIR_S):
            machines.restart(rng.choice(cores), at, "wipe", down_s)
    rng = random.Random(f"reloads {seed}")
    for at in draw_times(rng, size, RELOAD_INTERVAL_S):
        machine = rng.choice(doors + cores)
        if not machines.has_just_started(machine, at):
            machines.events.append(ReloadMachine(at, machine))
    return machines.events


def draw_changes(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield the operators' changes; versions rise in uneven steps."""
    rng = random.Random(f"changes {seed}")
    version = 1
    for at in draw_times(rng, size, CHANGE_INTERVAL_S):
        for _ in range(2 if rng.random() < SECOND_OPERATOR_SHARE else 1):
            version += rng.randint(1, 4)
            yield ConfigurationChange(at, rng.randrange(size.cores), version, rng.choice(ROUTES))


def draw_backend_troubles(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield spoilt answers, crashes, and the departure of one backend."""
    rng = random.Random(f"backends {seed}")
    names = [f"{service}-{n}" for service in ("archive", "desk") for n in range(size.backends)]
    for at in draw_times(rng, size, SPOIL_INTERVAL_S):
        yield SpoilAnswers(at, rng.choice(names), rng.choice(SPOILS), SPOILT_ANSWERS)
    for at in draw_times(rng, size, CRASH_INTERVAL_S):
        yield CrashBackend(at, rng.choice(names), round(rng.uniform(MIN_DOWN_S, MAX_DOWN_S), 3))
    yield QuiesceBackend(round(rng.uniform(CALM_START_S, size.seconds - CALM_END_S), 3), names[0])


def draw_crowds(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield crowds of clients that don't keep to the limits, each at one port of one machine."""
    rng = random.Random(f"crowds {seed}")
    for at in draw_times(rng, size, CROWD_INTERVAL_S):
        kind, count = rng.choice((("door", size.doors), ("core", size.cores)))
        port = rng.choice(CROWD_PORTS[kind])
        misbehaviours = HTTP_MISBEHAVIOURS if port in HTTP_PORTS else FRAME_MISBEHAVIOURS
        yield SendCrowd(
            at,
            f"{kind}-{rng.randrange(count)}",
            port,
            rng.choice(list(misbehaviours)),
            rng.randint(MIN_CROWD_CONNECTIONS, MAX_CROWD_CONNECTIONS),
            rng.randint(MIN_CROWD_BYTES, MAX_CROWD_BYTES),
            round(rng.uniform(MIN_CROWD_S, MAX_CROWD_S), 3),
        )
