"""Draws the plan of a soak of planned stops: proxies end and start again while slow requests are open.  Pure.

Nothing but planned work happens (SIGTERM, SIGHUP, configurations), so no trouble excuses a lost request.
Requests take as long as real ones do: most a fraction of a second, a few so long that they look lost.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from ivymux.simulation.day_file import (
    FORMAT,
    ClientRequest,
    ConfigurationChange,
    Day,
    Event,
    KillMachine,
    ReloadMachine,
    StartMachine,
)
from ivymux.simulation.soak_plan import INTERPRETER_START_S, ROUTES, SoakSize, draw_arrivals, draw_times

GRACE_S = 6.0  # enough for a request that comes last and takes until its deadline
CALM_END_S = 8.0  # at the end, for the last proxies to be back
MEAN_STOP_INTERVAL_S = 0.7  # between two stops of a series
SERIES_OF_STOPS = 2  # that overlap
MIN_DOWN_S, MAX_DOWN_S = 0.05, 4.0  # from SIGTERM to the successor's start; a stop takes 2.6 s or more
MIN_REST_S = 1.5  # for which a proxy runs before it is stopped again, from its successor's start
RELOAD_SHARE = 0.3  # of the stops, those shortly after a SIGHUP
MAX_RELOAD_LEAD_S = 0.5  # before such a stop
CHANGE_INTERVAL_S = 4.0

SIGN_SHARE = 0.2  # of the requests, those that may not run twice
MEDIAN_WORK_S, WORK_SPREAD = 0.12, 0.5  # of a backend for a request; spread of the logarithm
TAIL_SHARE, TAIL_FACTOR = 0.06, 8.0  # of the requests, those that take much longer; how much
MAX_WORK_S = 1.6  # clients wait for 2 s


def draw_stops(seed: int, size: SoakSize) -> tuple[Day, list[Event]]:
    """Draw a soak of planned stops by its seed."""
    services = {"archive": size.backends, "desk": size.backends}
    day = Day(FORMAT, seed, size.cores, size.doors, services, grace=GRACE_S)
    events = [*draw_requests(seed, size), *draw_proxy_stops(seed, size), *draw_changes(seed, size)]
    return day, sorted(events, key=lambda event: event.at)


def draw_work(rng: random.Random) -> float:
    """Draw how long a request takes at its backend, in seconds."""
    work_s = MEDIAN_WORK_S * math.exp(rng.gauss(0.0, WORK_SPREAD))
    if rng.random() < TAIL_SHARE:
        work_s *= TAIL_FACTOR
    return round(min(MAX_WORK_S, work_s), 4)


def draw_requests(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield the clients' requests, from the beginning to the end."""
    rng = random.Random(f"requests {seed}")
    for number, at in draw_arrivals(rng, size):
        is_sign = rng.random() < SIGN_SHARE
        path, method = (f"/sign/{number}", "POST") if is_sign else (f"/read/{number}", "GET")
        door, work_s = rng.randrange(size.doors), draw_work(rng)
        yield ClientRequest(at, f"r{number}", door, path, method, work=work_s)


def draw_proxy_stops(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield stops of proxies, their successors' starts, and reloads before some of the stops."""
    rng = random.Random(f"stops {seed}")
    running_since = [0.0] * size.doors
    for at in sorted(at for n in range(SERIES_OF_STOPS) for at in draw_stop_times(seed, n, size)):
        door = rng.randrange(size.doors)
        down_s, reload_lead_s = rng.uniform(MIN_DOWN_S, MAX_DOWN_S), rng.uniform(0.0, MAX_RELOAD_LEAD_S)
        is_reloaded = rng.random() < RELOAD_SHARE
        if at < running_since[door] + MIN_REST_S:
            continue
        machine, started_at = f"door-{door}", round(at + down_s, 3)
        if is_reloaded and at - reload_lead_s > running_since[door] + INTERPRETER_START_S:
            yield ReloadMachine(round(at - reload_lead_s, 3), machine)
        yield KillMachine(at, machine, "term")
        yield StartMachine(started_at, machine)
        running_since[door] = started_at


def draw_stop_times(seed: int, series: int, size: SoakSize) -> Iterator[float]:
    rng = random.Random(f"stop times {seed} {series}")
    return draw_times(rng, size, MEAN_STOP_INTERVAL_S, CALM_END_S)


def draw_changes(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield the operator's changes, which move the reads from one service to the other."""
    rng = random.Random(f"changes {seed}")
    version = 1
    for at in draw_times(rng, size, CHANGE_INTERVAL_S, CALM_END_S):
        version += rng.randint(1, 4)
        yield ConfigurationChange(at, rng.randrange(size.cores), version, rng.choice(ROUTES))
