"""System time: steady, and nearly the same on all doors whatever happens to the time of day.  Pure.

Each core machine's registry takes the time of day once, when it starts, and counts on by its steady clock.
A door takes the middle of what its registries say and holds on to it: it moves only where that middle is
off by more than `APART`, as windows of quotas must not jump with every word.
"""

from __future__ import annotations

APART = 0.25  # seconds


class SystemClock:
    def __init__(self, unix: float, steady: float) -> None:
        self.offset = unix - steady
        self.heard: dict[str, float] = {}  # offsets by registry
        self.settled = False

    def read(self, steady: float) -> float:
        """System time in seconds since the Unix epoch."""
        return steady + self.offset

    def hear(self, source: str, told: float, steady: float) -> None:
        self.heard[source] = told - steady
        offsets = sorted(self.heard.values())
        middle = offsets[(len(offsets) - 1) // 2]
        if not self.settled or abs(middle - self.offset) > APART:
            self.offset, self.settled = middle, True

    def forget(self, source: str) -> None:
        if len(self.heard) > 1:
            self.heard.pop(source, None)
