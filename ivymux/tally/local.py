"""A counter within the process, with the interface of a remote one; it replies at once."""

from __future__ import annotations

import time
from collections.abc import Callable

from ivymux.tally.store import CounterFullError, CounterStore
from orchidhill.interface import Count, Counted, Outcome


class LocalCounter:
    """Replies to each call with one event, in the order of the calls."""

    def __init__(self, store: CounterStore, on_reply: Callable[[Counted], None]) -> None:
        self.store, self.on_reply = store, on_reply

    def add(self, count: Count) -> None:
        """Add an amount, and pass the total or the outcome FULL to `on_reply`."""
        try:
            total = self.store.add(str(count.name).encode(), count.amount, count.expires, time.monotonic())
        except CounterFullError:
            self.on_reply(Counted(count.name, Outcome.FULL, 0.0, 0.0))
            return
        self.on_reply(Counted(count.name, Outcome.OK, total, 0.0))
