"""A day's history, indexed as the checkers of its rules need it.  Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ivymux.simulation.day_file import (
    Answered,
    Ask,
    Change,
    Day,
    Departed,
    Doing,
    Ended,
    Kill,
    Leave,
    Ran,
    Ready,
    Seen,
    Stalled,
    Start,
)  # fmt: skip

CONTACT = 3.0  # seconds without trouble after which a moment is judged by its time


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    id: str  # of the request, or what else broke it
    text: str

    def __str__(self) -> str:
        return f"{self.rule} {self.id}: {self.text}"


@dataclass(frozen=True, slots=True)
class History:
    """What was done on a day and what was seen of it."""

    day: Day
    seen: list[Seen]
    asks: dict[str, Ask]
    changes: list[Change]  # by version
    runs: dict[str, list[Ran]]  # of each request, in the order seen
    answers: dict[str, Answered]
    departed: dict[str, float]  # when a request's client left it
    ended: dict[tuple[str, str], list[Ended]]  # by request and backend
    readiness: dict[int, list[Ready]]  # by door
    kills: list[Kill]
    starts: list[Start]
    stalls: list[Stalled]
    leaving: set[str]  # backends that leave on this day

    @classmethod
    def of(cls, day: Day, doing: Iterable[Doing], seen: Iterable[Seen]) -> History:
        doing, seen = list(doing), list(seen)
        runs: dict[str, list[Ran]] = defaultdict(list)
        ended: dict[tuple[str, str], list[Ended]] = defaultdict(list)
        readiness: dict[int, list[Ready]] = defaultdict(list)
        for line in seen:
            if isinstance(line, Ran):
                runs[line.id].append(line)
            elif isinstance(line, Ended):
                ended[line.id, line.backend].append(line)
            elif isinstance(line, Ready):
                readiness[line.door].append(line)
        return cls(
            day, seen,
            {e.id: e for e in doing if isinstance(e, Ask)},
            sorted((e for e in doing if isinstance(e, Change)), key=lambda e: e.version),
            runs,
            {line.id: line for line in seen if isinstance(line, Answered)},
            {line.id: line.at for line in seen if isinstance(line, Departed)},
            ended, readiness,
            [e for e in doing if isinstance(e, Kill)],
            [e for e in doing if isinstance(e, Start)],
            [line for line in seen if isinstance(line, Stalled)],
            {e.backend for e in doing if isinstance(e, Leave)},
        )  # fmt: skip

    def all_runs(self) -> Iterable[tuple[str, Ran]]:
        return ((id, run) for id, runs in self.runs.items() for run in runs)

    def troubles(self, machine: str = "") -> list[float]:
        """When machines, or one of them, were killed or started."""
        kills = [kill.at for kill in self.kills if machine in ("", kill.machine)]
        return kills + [start.at for start in self.starts if machine in ("", start.machine)]

    def calm(self, since: float, until: float | None = None) -> bool:
        """Whether no machine was killed or started from CONTACT before a moment, or a span, to its end.

        Nor did who wrote the history down stand still in the span.
        """
        end = since if until is None else until
        if any(stall.at <= end and stall.at + stall.seconds >= since for stall in self.stalls):
            return False
        return not any(since - CONTACT <= at <= end for at in self.troubles())

    def work_ended(self, run: Ran) -> float:
        """When a backend's work on a run was over; infinite where it was not seen to end."""
        after = [line.at for line in self.ended.get((run.id, run.backend), ()) if line.at >= run.at]
        return min(after, default=math.inf)


Checker = Callable[[History], Iterable[Breach]]


def repeatable(ask: Ask) -> bool:
    return not ask.path.startswith("/sign/")
