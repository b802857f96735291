"""The checkers find each fault that is seeded into a proxy, and report nothing for a proxy without a fault.

Real processes on loopback play one day that gives each fault an occasion to break its rule.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Literal

import pytest

from ivymux.simulation.day_file import (
    FORMAT,
    ClientRequest,
    ConfigurationChange,
    Day,
    Event,
    KillMachine,
    QuiesceBackend,
    SpoilAnswers,
)  # fmt: skip
from ivymux.simulation.replay import find_breaches, play_day
from ivymux.simulation.rules import Breach

DAY_S = 7.0
READS_PER_S, ACTIONS_PER_S = 12, 8
DISCONNECTS_FROM_S, DISCONNECTS_TO_S = 1.0, 2.5  # clients of reads sent in between disconnect
SHORT_WAIT_S = 0.7  # that every second client waits for its answer; a slow backend takes longer
FULL_QUOTA, LOW_QUOTA = 60.0, 6.0  # above and below the load, in requests per second


def make_events() -> list[Event]:
    """Return the events of a day on which each seeded fault breaks its rule."""
    events: list[Event] = []
    for number in range(int(DAY_S * READS_PER_S)):
        at = number / READS_PER_S
        leaves = 0.1 if DISCONNECTS_FROM_S < at < DISCONNECTS_TO_S else 0.0
        waits = SHORT_WAIT_S if number % 2 == 0 else 2.0
        events.append(ClientRequest(at, f"r{number}", 0, f"/read/{number}", waits=waits, leaves=leaves))
    for number in range(int(DAY_S * ACTIONS_PER_S)):
        events.append(ClientRequest(number / ACTIONS_PER_S, f"s{number}", 0, f"/sign/{number}", "POST"))
    for at in (DISCONNECTS_FROM_S, DISCONNECTS_TO_S):
        events += [SpoilAnswers(at, f"archive-{n}", "slow", 8) for n in range(4)]
    # All backends of the service are slow, so that no retry has an answer in time.
    events += [SpoilAnswers(4.3, f"desk-{n}", "slow", 16) for n in range(2)]
    events += [SpoilAnswers(DAY_S - 0.6, f"desk-{n}", "slow", 12) for n in range(2)]
    kinds: tuple[Literal["lost", "unsealed", "full"], ...] = ("lost", "unsealed", "full")
    for n in range(2):
        events += [SpoilAnswers(0.3, f"desk-{n}", kind, 2) for kind in kinds]
    events += [SpoilAnswers(0.2, f"archive-{n}", "unsealed", 4) for n in range(4)]
    return [
        *events,
        ConfigurationChange(3.2, 0, 5, {"read": "desk", "sign": "desk"}),
        QuiesceBackend(0.6, "desk-2", stays=4.0),
        KillMachine(DAY_S - 0.2, "door-0", "term"),
    ]


def play_with_fault(folder: Path, fault: str, rate: float) -> list[Breach]:
    day = Day(FORMAT, 1, doors=1, services={"archive": 4, "desk": 3}, rate=rate, burst=rate, work=0.03)
    entry_point = ("-m", "tests.simulation.faulty", fault)
    observations = asyncio.run(play_day(day, make_events(), folder, entry_point))
    return find_breaches(day, make_events(), observations)


@pytest.mark.parametrize("rate", [FULL_QUOTA, LOW_QUOTA])
def test_a_day_without_a_fault_breaks_no_rule(tmp_path: Path, rate: float) -> None:
    assert play_with_fault(tmp_path, "no_fault", rate) == []


@pytest.mark.parametrize(
    ("fault", "rule", "text"),
    [
        ("disconnect_not_passed_on", "GONE", "runs went on"),
        ("action_retried", "TWICE", "ran"),
        ("failure_reported_as_not_executed", "REFUSED", "says that it has not run"),
        ("seal_not_checked", "MIXED", "no backend gave"),
        ("key_passed_on", "UNASKED", "the client's key was passed on"),
        ("path_changed", "UNASKED", "ran as"),
        ("remaining_time_extended", "BUDGET", "more time than is left"),
        ("valid_requests_denied", "DENIED", "valid requests were denied"),
        ("route_not_served", "STARVED", "served"),
        ("configuration_not_applied", "CONFIG", "after version 5 held"),
        ("configuration_reverted", "CONFIG", "which had taken effect"),
        ("draining_ignored", "DRAIN", "after its quiescing was acknowledged"),
        ("attempts_not_limited", "BUDGET", "more than 2 backends"),
        ("deadline_ignored", "CONFIG", "after their deadline"),
        ("stop_cuts_requests", "LOST", "closed its connection"),
    ],
)
def test_a_seeded_fault_is_found(tmp_path: Path, fault: str, rule: str, text: str) -> None:
    breaches = play_with_fault(tmp_path, fault, FULL_QUOTA)
    assert any(breach.rule == rule and text in breach.text for breach in breaches), breaches


def test_a_quota_that_is_not_enforced_is_found(tmp_path: Path) -> None:
    breaches = play_with_fault(tmp_path, "quota_not_enforced", LOW_QUOTA)
    assert "QUOTA" in {breach.rule for breach in breaches}
