"""Whether a day kept the rules: only what was seen from outside is looked at.  Pure.

After the users' page of rules, each rule by its name there; bounds in seconds.  Where time decides, a moment
is judged only if no machine was killed or started in the `CONTACT` before it.
"""

from __future__ import annotations

from collections.abc import Iterable

from ivymux.simulation.day_file import Day, Doing, Seen
from ivymux.simulation.rules import answers, configuration, departures, load
from ivymux.simulation.rules.history import Breach, Checker, History

CHECKERS: tuple[Checker, ...] = (
    answers.mixed, answers.unasked, answers.twice, answers.refused, answers.denied,
    configuration.routed, configuration.reverted, departures.drained, departures.stays_ready, departures.gone,
    departures.cut, load.quotas, load.attempts, load.budget, load.time_left, load.overdue, load.starved,
    configuration.acknowledged, configuration.lost,
)  # fmt: skip


def check(day: Day, doing: Iterable[Doing], seen: Iterable[Seen]) -> list[Breach]:
    """All that broke a rule, in the rules' order."""
    history = History.of(day, doing, seen)
    return [breach for checker in CHECKERS for breach in checker(history)]


__all__ = ["CHECKERS", "Breach", "check"]
