"""The tally within the process: the same calls, answered at once."""

from __future__ import annotations

import time
from collections.abc import Callable

from ivymux.tally.store import CounterFullError, CounterStore
from orchidhill.interface import Count, Counted, Outcome


class LocalCounter:
    """Answers each call by an event of its own, in the order of the calls."""

    def __init__(self, store: CounterStore, done: Callable[[Counted], None]) -> None:
        self.store, self.done = store, done

    def add(self, count: Count) -> None:
        try:
            total = self.store.add(str(count.name).encode(), count.amount, count.expires, time.monotonic())
        except CounterFullError:
            self.done(Counted(count.name, Outcome.FULL, 0.0, 0.0))
            return
        self.done(Counted(count.name, Outcome.OK, total, 0.0))
