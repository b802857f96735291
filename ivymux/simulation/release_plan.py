"""Draws the plan of a soak of releases: the stops of `stop_plan`, and planned work on everything else.  Pure.

Core machines are stopped and started in turn, one at a time; backends leave; in half of the plans the tenant
sends more than its quota allows.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from ivymux.simulation.day_file import Day, Event, KillMachine, QuiesceBackend, ReloadMachine, StartMachine
from ivymux.simulation.soak_plan import INTERPRETER_START_S, SoakSize, draw_times
from ivymux.simulation.stop_plan import (
    CALM_END_S,
    MAX_DOWN_S,
    MAX_RELOAD_LEAD_S,
    MIN_DOWN_S,
    RELOAD_SHARE,
    draw_stops,
)

CORE_STOP_INTERVAL_S = 3.0  # between a core machine's start and the next stop, on average
MIN_CORE_REST_S = 3.0  # for which all core machines run before one is stopped again
DEPARTURE_INTERVAL_S = 12.0
MIN_REMAINING_BACKENDS = 2  # of each service
QUOTA_PART = 0.8  # of the requests, those that the quota allows in plans with an excess
BURST_S = 0.5  # of the quota's rate


def draw_releases(seed: int, size: SoakSize) -> tuple[Day, list[Event]]:
    """Draw a soak of releases by its seed."""
    day, stops = draw_stops(seed, size)
    if random.Random(f"quota {seed}").random() < 0.5:
        rate = QUOTA_PART * size.rate
        day = msgspec.structs.replace(day, rate=rate, burst=BURST_S * rate)
    events = [*stops, *draw_core_stops(seed, size), *draw_departures(seed, size)]
    return day, sorted(events, key=lambda event: event.at)


def draw_core_stops(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield stops of core machines, one at a time, their starts, and reloads before some of the stops."""
    rng = random.Random(f"core stops {seed}")
    running_since = 0.0
    for at in draw_times(rng, size, CORE_STOP_INTERVAL_S, CALM_END_S):
        machine = f"core-{rng.randrange(size.cores)}"
        down_s, reload_lead_s = rng.uniform(MIN_DOWN_S, MAX_DOWN_S), rng.uniform(0.0, MAX_RELOAD_LEAD_S)
        is_reloaded = rng.random() < RELOAD_SHARE
        if at < running_since + MIN_CORE_REST_S:
            continue
        if is_reloaded and at - reload_lead_s > running_since + INTERPRETER_START_S:
            yield ReloadMachine(round(at - reload_lead_s, 3), machine)
        yield KillMachine(at, machine, "term")
        running_since = round(at + down_s, 3)
        yield StartMachine(running_since, machine)


def draw_departures(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield backends that leave, of each service while enough remain."""
    rng = random.Random(f"departures {seed}")
    count = size.backends - MIN_REMAINING_BACKENDS
    leaving = [f"{service}-{n}" for service in ("archive", "desk") for n in range(count)]
    rng.shuffle(leaving)
    times = draw_times(rng, size, DEPARTURE_INTERVAL_S, CALM_END_S)
    for at, backend in zip(times, leaving, strict=False):
        yield QuiesceBackend(at, backend)
