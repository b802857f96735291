"""Draws the plan of a soak of long answers: bursts of them at one proxy after another.  Pure.

Usual requests go on beside them.  The clients read at once, so none may lose its connection.  The lengths of
some bursts are such that a whole number of answers takes all the room that a proxy has for answers.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from ivymux.data_plane.limits import ANSWER_MEMORY_SHARE
from ivymux.simulation.day_file import FORMAT, ClientRequest, Day, Event
from ivymux.simulation.local_cluster import DEFAULT_MEMORY_MB
from ivymux.simulation.soak_plan import SoakSize, draw_times
from ivymux.simulation.stop_plan import CALM_END_S, GRACE_S, draw_proxy_stops, draw_requests

ROOM_BYTES = int(DEFAULT_MEMORY_MB * ANSWER_MEMORY_SHARE * (1 << 20))  # of a proxy, for answers
BURST_INTERVAL_S = 2.5  # between two bursts, on average
MIN_BURST, MAX_BURST = 3, 8  # answers
FITTING_COUNTS = (2, 3, 4, 6)  # of answers that take the whole room
FITTING_SHARE = 0.5  # of the bursts, those of such answers
MIN_ANSWER_BYTES, MAX_ANSWER_BYTES = 1 << 20, 32 << 20
STOPS_SHARE = 0.5  # of the plans, those with planned stops


def draw_long_answers(seed: int, size: SoakSize) -> tuple[Day, list[Event]]:
    """Draw a soak of long answers by its seed."""
    services = {"archive": size.backends, "desk": size.backends}
    day = Day(FORMAT, seed, size.cores, size.doors, services, grace=GRACE_S)
    events = [*draw_requests(seed, size), *draw_bursts(seed, size)]
    if random.Random(f"with stops {seed}").random() < STOPS_SHARE:
        events += draw_proxy_stops(seed, size)
    return day, sorted(events, key=lambda event: event.at)


def draw_bursts(seed: int, size: SoakSize) -> Iterator[Event]:
    """Yield bursts of requests with long answers, each at one proxy."""
    rng = random.Random(f"bursts {seed}")
    for burst, at in enumerate(draw_times(rng, size, BURST_INTERVAL_S, CALM_END_S)):
        door, length = rng.randrange(size.doors), draw_length(rng)
        for number in range(rng.randint(MIN_BURST, MAX_BURST)):
            id = f"long{burst}-{number}"
            yield ClientRequest(at, id, door, f"/read/{id}", answer=length)


def draw_length(rng: random.Random) -> int:
    """Draw the length of the answers of one burst, in bytes."""
    if rng.random() < FITTING_SHARE:
        return ROOM_BYTES // rng.choice(FITTING_COUNTS)
    return rng.randint(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES)
