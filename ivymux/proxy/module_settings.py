"""What a door's module is told at its start.  Pure."""

from __future__ import annotations

from orchidhill import interface as i

CONNECT_TIMEOUT = 0.5  # seconds
COUNTER_TIMEOUT = 0.25
COUNTER_PACE = 400.0  # calls a second that a door may make to begin with
ATTEMPTS = 6  # of one try, those that reached nobody too
MAX_RETRY_AFTER = 0.6


def module_settings() -> i.Settings:
    limits = i.Limits(ATTEMPTS, False, True, False, True, MAX_RETRY_AFTER, CONNECT_TIMEOUT)
    rules = i.Rules(0.5, 2.5, 1.0, 0.0, 0.0, 0.0, 0.0)
    return i.Settings(
        0, 8, 0, (), 0.025, (), (), rules, limits, True, 0.01, COUNTER_TIMEOUT, False, True, "", "none", (),
        {},
        counter_pace=8 * COUNTER_PACE,
    )  # fmt: skip
