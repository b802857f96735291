"""The clock of a model: what happens at which time, in one order.  Pure; time is in seconds."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

START = 1_000_000.0  # system time at which a run begins


class Clocked:
    def __init__(self) -> None:
        self.now = START
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), what))

    def run(self, seconds: float) -> None:
        """Until so many seconds behind the start."""
        until = START + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until
