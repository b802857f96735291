"""Checkers of the rules find faults that are seeded into a door; one without faults passes them all.

Real processes on loopback, one day for all faults: what clients, backends and the operator do there gives
each of them something to break.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from ivymux.simulation.day_file import FORMAT, Ask, Change, Day, Doing, Kill, Leave, Seen, Spoil
from ivymux.simulation.replay import judged, played
from ivymux.simulation.rules import Breach

SECONDS = 7.0
READS_A_SECOND, SIGNS_A_SECOND = 12, 8
LEAVING_FROM, LEAVING_TO = 1.0, 2.5  # seconds in which clients leave their reads
PATIENCE = 0.7  # seconds that some clients wait, less than a slow backend takes
FULL_QUOTA, LOW_QUOTA = 60.0, 6.0  # requests a second


def doing() -> list[Doing]:
    events: list[Doing] = []
    for number in range(int(SECONDS * READS_A_SECOND)):
        at = number / READS_A_SECOND
        leaves = 0.1 if LEAVING_FROM < at < LEAVING_TO else 0.0
        waits = PATIENCE if number % 2 == 0 else 2.0
        events.append(Ask(at, f"r{number}", 0, f"/read/{number}", waits=waits, leaves=leaves))
    for number in range(int(SECONDS * SIGNS_A_SECOND)):
        events.append(Ask(number / SIGNS_A_SECOND, f"s{number}", 0, f"/sign/{number}", "POST"))
    slow = [Spoil(at, f"archive-{n}", "slow", 8) for at in (LEAVING_FROM, LEAVING_TO) for n in range(4)]
    spoilt = [Spoil(0.3, f"desk-{n}", how, 2) for n in range(2) for how in ("lost", "unsealed", "full")]  # type: ignore[arg-type]
    unsealed = [Spoil(0.2, f"archive-{n}", "unsealed", 4) for n in range(4)]
    all_slow = [Spoil(4.3, f"desk-{n}", "slow", 16) for n in range(2)]  # no other has an answer in time
    last = [Spoil(SECONDS - 0.6, f"desk-{n}", "slow", 12) for n in range(2)]
    return [
        *events, *slow, *all_slow, *last, *spoilt, *unsealed,
        Change(3.2, 0, 5, {"read": "desk", "sign": "desk"}),
        Leave(0.6, "desk-2", stays=4.0), Kill(SECONDS - 0.2, "door-0", "term"),
    ]  # fmt: skip


def broken(folder: Path, fault: str, rate: float) -> list[Breach]:
    day = Day(FORMAT, 1, doors=1, services={"archive": 4, "desk": 3}, rate=rate, burst=rate, work=0.03)
    entry = ("-m", "tests.simulation.faulty", fault)
    seen: list[Seen] = asyncio.run(played(day, doing(), folder, entry))
    return judged(day, doing(), seen)


@pytest.mark.parametrize("rate", [FULL_QUOTA, LOW_QUOTA])
def test_a_day_without_a_fault_breaks_no_rule(tmp_path: Path, rate: float) -> None:
    assert broken(tmp_path, "no_fault", rate) == []


@pytest.mark.parametrize(
    ("fault", "rule", "text"),
    [
        ("leave_not_passed_on", "GONE", "runs went on"),
        ("action_sent_again", "TWICE", "ran"),
        ("failure_promised", "REFUSED", "says that it has not run"),
        ("seal_not_looked_at", "MIXED", "no backend gave"),
        ("key_passed_on", "UNASKED", "the key went along"),
        ("path_changed", "UNASKED", "ran as"),
        ("more_time_handed_on", "BUDGET", "more time than is left"),
        ("proper_requests_denied", "DENIED", "proper requests were denied"),
        ("kind_not_served", "STARVED", "served"),
        ("configuration_not_applied", "CONFIG", "after version 5 held"),
        ("configuration_reverted", "CONFIG", "whose effect was seen"),
        ("drain_not_heard", "DRAIN", "after its leaving was heard"),
        ("no_limit_of_attempts", "BUDGET", "more than 2 backends"),
        ("deadline_not_kept", "CONFIG", "past their time"),
        ("end_cuts_requests", "LOST", "closed its connection"),
    ],
)
def test_a_seeded_fault_is_found(tmp_path: Path, fault: str, rule: str, text: str) -> None:
    found = broken(tmp_path, fault, FULL_QUOTA)
    assert any(breach.rule == rule and text in breach.text for breach in found), found


def test_a_quota_that_is_not_held_is_found(tmp_path: Path) -> None:
    assert "QUOTA" in {breach.rule for breach in broken(tmp_path, "quota_not_held", LOW_QUOTA)}
