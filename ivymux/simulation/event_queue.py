"""Runs the events of a simulation in order of virtual time, without a clock or I/O."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

START_TIME = 1_000_000.0  # virtual system time at the start of a run, in seconds


class EventQueue:
    """Events by time; events at the same time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now = START_TIME
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()

    def schedule_at(self, time: float, callback: Callable[[], None]) -> None:
        """Run a callback at an absolute virtual time."""
        heapq.heappush(self.events, (time, next(self.order), callback))

    def run_until(self, elapsed_s: float) -> None:
        """Run all events up to `elapsed_s` seconds after START_TIME."""
        end = START_TIME + elapsed_s
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end
