"""The guard of trials: ends them where others' requests fail beside them.  Pure; steady time is passed in.

Doors tell how many requests they had that are under no trial, and how many of these ended without service
for other reasons than a quota; and the same of the time before.  Where that rises over all doors together
beyond chance, the trial is taken to be the cause: wrongly at times, as an outage of something else ends it
too, and that does no harm.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

SPAN = 5.0  # seconds over which others' failures are looked at
FLOOR = 0.01  # share of others' failures that is ordinary, where none was seen before
RISE = 2.0  # times what was seen before
CHANCE = 4.0  # standard deviations
LEAST = 10  # failures, under which nothing is said
FORGET = 10.0  # seconds without a word after which a door's counts are left out


class GuardError(ValueError):
    """A report that no door sends."""


@dataclass(slots=True)
class Seen:
    """One door's counts of requests under no trial, rising; and those of a span before the trials."""

    at: deque[tuple[float, int, int]] = field(default_factory=deque)  # time, requests, failures
    before: tuple[int, int] = (0, 0)


@dataclass(slots=True)
class Guard:
    doors: dict[str, Seen] = field(default_factory=dict)

    def hear(self, door: str, now: float, asked: int, failed: int, before: tuple[int, int]) -> None:
        """Raises GuardError."""
        if min(asked, failed, *before) < 0:
            raise GuardError("counts below 0")
        seen = self.doors.setdefault(door, Seen())
        if seen.at and (asked < seen.at[-1][1] or failed < seen.at[-1][2]):
            seen.at.clear()  # a door that has started anew
        seen.at.append((now, asked, failed))
        seen.before = before
        while len(seen.at) > 2 and seen.at[1][0] <= now - SPAN:
            seen.at.popleft()

    def tripped(self, now: float) -> str:
        """Why the trials have to end; empty where they need not."""
        asked = failed = before = lost = 0
        for door, seen in list(self.doors.items()):
            if now - seen.at[-1][0] > FORGET:
                del self.doors[door]
                continue
            asked += seen.at[-1][1] - seen.at[0][1]
            failed += seen.at[-1][2] - seen.at[0][2]
            before += seen.before[0]
            lost += seen.before[1]
        usual = max(FLOOR, RISE * lost / before) if before else FLOOR
        expected = asked * min(1.0, usual)
        if failed < LEAST or failed <= expected + CHANCE * math.sqrt(max(1.0, expected)):
            return ""
        return f"others failed beside it: {failed} of {asked} in {SPAN:g} s, {usual:.1%} are usual"
