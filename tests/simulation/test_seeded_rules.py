"""The checkers find each fault that is seeded into a proxy, and report nothing for a proxy without a fault.

Real processes on loopback play one day that gives each fault an occasion to break its rule.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Literal

import pytest

from ivymux.simulation.day_file import (
    FORMAT,
    ClientRequest,
    ConfigurationChange,
    Day,
    Event,
    KillMachine,
    Observation,
    QuiesceBackend,
    RecorderStall,
    SpoilAnswers,
)  # fmt: skip
from ivymux.simulation.day_player import HANG_TIMEOUT_S, Player
from ivymux.simulation.local_cluster import LocalCluster, local_cluster
from ivymux.simulation.replay import find_breaches
from ivymux.simulation.rules import Breach
from ivymux.simulation.rules.configuration import APPLY_BOUND_S

MIN_DAY_S = 7.0
ENDING_S = 0.6  # the part of the day that begins with slow backends and in which the proxy stops
STOP_BEFORE_END_S = 0.2
ROUTE_CHECK_S = 1.0  # for which the rule on routes applies to the changed configuration
NEW_VERSION = 5
MAX_PLAYS = 3  # of a day with a seeded fault, while the recorder stalls
READS_PER_S, ACTIONS_PER_S = 12, 8
DISCONNECTS_FROM_S, DISCONNECTS_TO_S = 1.0, 2.5  # clients of reads sent in between disconnect
SHORT_WAIT_S = 0.7  # that every second client waits for its answer; a slow backend takes longer
FULL_QUOTA, LOW_QUOTA = 60.0, 6.0  # above and below the load, in requests per second


def numbers_within(from_s: float, to_s: float, per_s: int) -> range:
    return range(math.ceil(from_s * per_s), math.ceil(to_s * per_s))


def make_requests(from_s: float, to_s: float) -> Iterator[Event]:
    for number in numbers_within(from_s, to_s, READS_PER_S):
        at = number / READS_PER_S
        leaves = 0.1 if DISCONNECTS_FROM_S < at < DISCONNECTS_TO_S else 0.0
        waits = SHORT_WAIT_S if number % 2 == 0 else 2.0
        yield ClientRequest(at, f"r{number}", 0, f"/read/{number}", waits=waits, leaves=leaves)
    for number in numbers_within(from_s, to_s, ACTIONS_PER_S):
        yield ClientRequest(number / ACTIONS_PER_S, f"s{number}", 0, f"/sign/{number}", "POST")


def make_events() -> list[Event]:
    """Return the events, up to its ending, of a day on which each seeded fault breaks its rule."""
    events = list(make_requests(0.0, MIN_DAY_S - ENDING_S))
    for at in (DISCONNECTS_FROM_S, DISCONNECTS_TO_S):
        events += [SpoilAnswers(at, f"archive-{n}", "slow", 8) for n in range(4)]
    # All backends of the service are slow, so that no retry has an answer in time.
    events += [SpoilAnswers(4.3, f"desk-{n}", "slow", 16) for n in range(2)]
    kinds: tuple[Literal["lost", "unsealed", "full"], ...] = ("lost", "unsealed", "full")
    for n in range(2):
        events += [SpoilAnswers(0.3, f"desk-{n}", kind, 2) for kind in kinds]
    events += [SpoilAnswers(0.2, f"archive-{n}", "unsealed", 4) for n in range(4)]
    return [
        *events,
        ConfigurationChange(3.2, 0, NEW_VERSION, {"read": "desk", "sign": "desk"}),
        QuiesceBackend(0.6, "desk-2", stays=4.0),
    ]


def make_ending(now: float, day_s: float) -> list[Event]:
    """Make the remaining events of a day of `day_s`, after those of `make_events`."""
    return [
        *make_requests(max(now, MIN_DAY_S - ENDING_S), day_s),
        *(SpoilAnswers(day_s - ENDING_S, f"desk-{n}", "slow", 12) for n in range(2)),
        KillMachine(day_s - STOP_BEFORE_END_S, "door-0", "term"),
    ]


class ExtendingPlayer(Player):
    """Plays a day that ends no earlier than the rule on routes has applied for `ROUTE_CHECK_S`.

    The rule applies from `APPLY_BOUND_S` after the acknowledgement of the changed configuration up to the
    stop of the proxy.  On a busy machine, the acknowledgement may take more than a second.
    """

    async def change(self, event: ConfigurationChange) -> int:
        status = await super().change(event)
        if event.version == NEW_VERSION:
            now = self.now()
            ending = make_ending(now, max(MIN_DAY_S, now + APPLY_BOUND_S + ROUTE_CHECK_S + STOP_BEFORE_END_S))
            self.events = [*self.events, *ending]
            await asyncio.gather(*(self.perform_at_its_time(event) for event in ending))
        return status


async def play_day(
    day: Day, folder: Path, entry_point: tuple[str, ...]
) -> tuple[list[Event], list[Observation]]:
    """Return the events of the day and what was observed."""
    async with local_cluster(
        folder, day.cores, day.doors, timeout_s=MIN_DAY_S + HANG_TIMEOUT_S, entry_point=entry_point
    ) as cluster:
        player = ExtendingPlayer(day, make_events(), cluster)
        observations = await player.play()
        return list(player.events), observations


def play_with_fault(folder: Path, fault: str, rate: float, max_plays: int = 1) -> list[Breach]:
    """Return the breaches of a day; a day on which the recorder stalled is played again, up to `max_plays`.

    Rules on time do not apply to requests during a stall, so such a day may give a fault no occasion.
    """
    day = Day(FORMAT, 1, doors=1, services={"archive": 4, "desk": 3}, rate=rate, burst=rate, work=0.03)
    entry_point = ("-m", "tests.simulation.faulty", fault)
    breaches: list[Breach] = []
    for play in range(max_plays):
        play_folder = folder / f"play-{play}"
        play_folder.mkdir()
        events, observations = asyncio.run(play_day(day, play_folder, entry_point))
        breaches += find_breaches(day, events, observations)
        if not any(isinstance(observation, RecorderStall) for observation in observations):
            break
    return breaches


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
        ("slow_requests_broken_off", "LOST", "broke off its run"),
    ],
)
def test_a_seeded_fault_is_found(tmp_path: Path, fault: str, rule: str, text: str) -> None:
    breaches = play_with_fault(tmp_path, fault, FULL_QUOTA, MAX_PLAYS)
    assert any(breach.rule == rule and text in breach.text for breach in breaches), breaches


def test_a_configuration_that_is_not_applied_is_found_after_a_late_acknowledgement(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a day of fixed length, the rule on routes did not apply to any request of this day."""
    put_configuration = LocalCluster.put_configuration

    async def put_slowly(self: LocalCluster, *arguments: Any) -> tuple[int, bytes]:
        result = await put_configuration(self, *arguments)
        await asyncio.sleep(2.0)
        return result

    monkeypatch.setattr(LocalCluster, "put_configuration", put_slowly)
    breaches = play_with_fault(tmp_path, "configuration_not_applied", FULL_QUOTA, MAX_PLAYS)
    assert any(breach.rule == "CONFIG" and "after version 5 held" in breach.text for breach in breaches)


def test_a_quota_that_is_not_enforced_is_found(tmp_path: Path) -> None:
    breaches = play_with_fault(tmp_path, "quota_not_enforced", LOW_QUOTA, MAX_PLAYS)
    assert "QUOTA" in {breach.rule for breach in breaches}


@pytest.mark.parametrize(("stalled_days", "plays"), [(0, 1), (1, 2), (5, MAX_PLAYS)])
def test_a_day_with_a_stalled_recorder_is_played_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, stalled_days: int, plays: int
) -> None:
    played: list[Path] = []

    async def play_nothing(day: Day, folder: Path, entry_point: tuple[str, ...]) -> Any:
        played.append(folder)
        return [], [RecorderStall(5.0, 0.3)] if len(played) <= stalled_days else []

    monkeypatch.setattr("tests.simulation.test_seeded_rules.play_day", play_nothing)
    play_with_fault(tmp_path, "no_fault", FULL_QUOTA, MAX_PLAYS)
    assert len(played) == plays
