"""Checks a recorded day against the rules that clients, backends and operators can observe.  Pure.

A day is a run of the system by a file of events (see day_file.py).  The checkers read only what was observed
from outside the system.  A breach has the name of its rule, such as MIXED; bounds are in seconds.  A rule
that depends on time is checked only at quiet moments: no machine was killed, started or frozen within
`QUIET_PERIOD_S` before them.
"""

from __future__ import annotations

from collections.abc import Iterable

from ivymux.simulation.day_file import Day, Event, Observation
from ivymux.simulation.rules import answers, configuration, departures, load, processes
from ivymux.simulation.rules.history import Breach, Checker, History

CHECKERS: tuple[Checker, ...] = (
    answers.check_answers,
    answers.check_runs,
    answers.check_single_runs,
    answers.check_refusals,
    answers.check_denials,
    configuration.check_routes,
    configuration.check_version_order,
    departures.check_drained_backends,
    departures.check_readiness,
    departures.check_abandoned_work,
    departures.check_lost_requests,
    departures.check_replaced_answers,
    load.check_quota,
    load.check_attempts,
    load.check_retry_budget,
    load.check_remaining_time,
    load.check_deadlines,
    load.check_starvation,
    configuration.check_acknowledgements,
    configuration.check_last_version,
    processes.check_ends,
    processes.check_recovery,
)


def check(day: Day, events: Iterable[Event], observations: Iterable[Observation]) -> list[Breach]:
    """Return all breaches of the rules, in the order of `CHECKERS`."""
    history = History.of(day, events, observations)
    return [breach for checker in CHECKERS for breach in checker(history)]


__all__ = ["CHECKERS", "Breach", "check"]
