"""The rules as replay judges them: each is broken once by hand, and the request is named."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from ivymux.simulation.day_file import (
    Answered,
    Ask,
    Change,
    Day,
    Departed,
    Doing,
    Ended,
    Kill,
    Left,
    Ran,
    Read,
    Ready,
    Seen,
    Stalled,
    Start,
    Told,
)  # fmt: skip
from ivymux.simulation.rules import check

DAY = Day(1, 1, rate=1.0, burst=1.0)
ASKS = [
    Ask(1.0, "r1", 0, "/read/1"),
    Ask(2.0, "s1", 0, "/sign/1", "POST"),
    Ask(9.0, "r2", 1, "/read/2"),
]
CHANGES = [
    Change(0.0, 0, 1, {"read": "archive", "sign": "desk"}),
    Change(3.0, 0, 4, {"read": "desk", "sign": "desk"}),
]


def ran(ask: Ask, at: float, service: str, backend: str) -> Ran:
    return Ran(at, ask.id, service, backend, ask.method, ask.path, "clerks", False, True)


def answered(run: Ran) -> Answered:
    return Answered(
        run.at + 0.1, run.at, run.id, 200, run.id, f"seal-{run.id}", f"{run.service} {run.target}"
    )


RUNS = [
    ran(ASKS[0], 1.1, "archive", "archive-0"),
    ran(ASKS[1], 2.1, "desk", "desk-0"),
    ran(ASKS[2], 9.1, "desk", "desk-1"),
]
SEEN: list[Seen] = [
    Told(0.0, 0.0, 1, 200), Told(3.1, 3.0, 4, 200), Left(6.0, "archive-0"),
    *RUNS, *map(answered, RUNS), Read(12.0, 4, True),
]  # fmt: skip


def broken(seen: list[Seen], doing: list[Doing] | None = None) -> list[tuple[str, str]]:
    return [(b.rule, b.id) for b in check(DAY, doing or [*CHANGES, *ASKS], seen)]


def changed(number: int, **fields: Any) -> list[Seen]:
    return [msgspec.structs.replace(s, **fields) if n == number else s for n, s in enumerate(SEEN)]


def test_a_day_that_keeps_them() -> None:
    assert broken(SEEN) == []


FIRST_RUN, FIRST_ANSWER, READ = 3, 6, 9
CASES: dict[str, tuple[Callable[[], list[Seen]], list[tuple[str, str]]]] = {
    "another request's answer": (lambda: changed(FIRST_ANSWER, named="r2"), [("MIXED", "r1")]),
    "a success without its seal": (lambda: changed(FIRST_ANSWER, seal=""), [("MIXED", "r1")]),
    "half a body": (lambda: changed(FIRST_ANSWER, body="archive /re"), [("MIXED", "r1")]),
    "nobody sent it": (
        lambda: [*SEEN, Ran(5.0, "x9", "desk", "desk-0", "GET", "/read/9", "clerks", False, True)],
        [("UNASKED", "x9")],
    ),
    "another path": (
        lambda: changed(FIRST_RUN, target="/read/7"), [("MIXED", "r1"), ("UNASKED", "r1")]
    ),
    "the key went along": (lambda: changed(FIRST_RUN, key=True), [("UNASKED", "r1")]),
    "another tenant": (lambda: changed(FIRST_RUN, tenant="chairs"), [("UNASKED", "r1")]),
    "an action twice": (
        lambda: [*SEEN, ran(ASKS[1], 2.2, "desk", "desk-1")], [("TWICE", "s1")]
    ),
    "refused, and it ran": (
        lambda: changed(FIRST_ANSWER + 1, status=503, seal="", body=""), [("REFUSED", "s1")]
    ),
    "a service that no configuration names": (
        lambda: changed(FIRST_RUN, service="other"), [("MIXED", "r1"), ("ROUTE", "r1")]
    ),
    "an older version, long after a newer one held": (
        lambda: [*SEEN[:5], ran(ASKS[2], 9.1, "archive", "archive-1"), *SEEN[6:8],
                 answered(ran(ASKS[2], 9.1, "archive", "archive-1")), SEEN[9]],
        [("CONFIG", "r2")],
    ),
    "a backend that has left": (
        lambda: [*SEEN, ran(ASKS[0], 8.7, "archive", "archive-0")],
        [("DRAIN", "r1")],
    ),
    "more than the quota in a span": (
        lambda: [*SEEN, *(ran(ASKS[0], 1.2 + n / 100, "archive", "archive-0") for n in range(26))],
        [("QUOTA", "clerks")],
    ),
    "an acknowledged version gone": (lambda: changed(READ, version=1), [("LOST", "version 4")]),
    "another text under its number": (lambda: changed(READ, same=False), [("CONFIG", "version 4")]),
    "never read back": (lambda: SEEN[:READ], [("CONFIG", "version 4")]),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES)
def test_each_rule_names_what_broke_it(case: str) -> None:
    made, expected = CASES[case]
    assert broken(made()) == expected


def test_a_moment_soon_after_trouble_is_not_judged_by_time() -> None:
    made, _ = CASES["an older version, long after a newer one held"]
    assert broken(made(), [*CHANGES, *ASKS, Kill(8.0, "core-0")]) == []
    assert broken(made(), [*CHANGES, *ASKS, Kill(5.0, "core-0")]) == [("CONFIG", "r2")]


# --- rules on time, on those that leave, and on load --------------------------------------------------


WORK = 2.0  # seconds that a slow backend takes
WIDE = Day(2, 1, rate=1000.0, burst=1000.0)
HOLDS: list[Doing] = [Change(0.0, 0, 1, {"read": "archive", "sign": "desk"})]


def reads(count: int, **fields: Any) -> list[Ask]:
    return [Ask(20.0 + n / 100, f"r{n}", 0, f"/read/{n}", **fields) for n in range(count)]


def run_of(ask: Ask, after: float = 0.01, backend: str = "archive-0", **fields: Any) -> Ran:
    made = ran(ask, ask.at + after, "archive", backend)
    return msgspec.structs.replace(made, remaining=ask.waits - after, **fields)


def served(ask: Ask, took: float = 0.1, status: int = 200) -> Answered:
    body, seal = (f"archive {ask.path}", f"seal-{ask.id}") if status == 200 else ("", "")
    return Answered(ask.at + took, ask.at, ask.id, status, ask.id if status else "", seal, body)


def rules_of(doing: list[Doing], seen: list[Seen]) -> list[str]:
    ends: list[Seen] = [Told(0.0, 0.0, 1, 200), Read(90.0, 1, True)]
    return [breach.rule for breach in check(WIDE, [*HOLDS, *doing], [*ends, *seen])]


@pytest.mark.parametrize(("ended", "rules"), [(0.1, []), (0.6, ["GONE"]), (None, ["GONE"])])
def test_work_ends_half_a_second_behind_its_client(ended: float | None, rules: list[str]) -> None:
    asks = reads(3, leaves=0.1)
    seen: list[Seen] = [run_of(ask, work=WORK) for ask in asks]
    seen += [Departed(ask.at + 0.1, ask.id) for ask in asks]
    seen += [Ended(ask.at + 0.1 + ended, ask.id, "archive-0", False) for ask in asks if ended is not None]
    assert rules_of([*asks], seen) == rules


def test_what_would_have_ended_anyway_and_what_may_not_be_repeated_is_not_held_against_a_door() -> None:
    asks = reads(3, leaves=0.1)
    signs = [Ask(20.0, f"s{n}", 0, f"/sign/{n}", "POST", leaves=0.1) for n in range(3)]
    seen: list[Seen] = [run_of(ask, work=0.3) for ask in asks]
    seen += [ran(ask, ask.at + 0.01, "desk", "desk-0") for ask in signs]
    seen = [msgspec.structs.replace(s, work=WORK, remaining=1.9) if s.id[0] == "s" else s for s in seen]  # type: ignore[union-attr]
    seen += [Departed(ask.at + 0.1, ask.id) for ask in (*asks, *signs)]
    assert rules_of([*asks, *signs], seen) == []


def test_what_is_sent_behind_a_client_that_has_left_is_counted() -> None:
    asks = reads(4, leaves=0.1)
    seen: list[Seen] = [Departed(ask.at + 0.1, ask.id) for ask in asks]
    late: list[Seen] = [run_of(ask, after=0.7) for ask in asks]
    assert rules_of([*asks], seen + late) == ["GONE"]
    assert rules_of([*asks], seen + late[:3]) == []


@pytest.mark.parametrize(("took", "rules"), [(2.4, []), (2.6, ["CONFIG"])])
def test_a_request_has_its_answer_half_a_second_behind_its_time(took: float, rules: list[str]) -> None:
    asks = reads(8)
    seen: list[Seen] = [line for ask in asks for line in (run_of(ask), served(ask, took, 504))]
    assert rules_of([*asks], seen) == rules
    assert rules_of([*asks[:7]], seen[:14]) == []  # a few
    assert rules_of([*asks], [*seen, Stalled(21.0, 0.3)]) == []  # seen late, as its writer stood still


def test_a_door_that_ends_answers_what_it_has_passed_on() -> None:
    (ask,) = reads(1)
    seen: list[Seen] = [run_of(ask), served(ask, 0.5, 0)]
    term = Kill(ask.at + 0.2, "door-0", "term")
    assert rules_of([ask, term], seen) == ["LOST"]
    assert rules_of([ask, term, Kill(ask.at - 1, "core-0")], seen) == []  # other trouble beside it
    asks = reads(4)
    cut: list[Seen] = [line for ask in asks for line in (run_of(ask), served(ask, 0.5, 0))]
    assert rules_of([*asks], cut) == ["LOST"]
    assert rules_of([*asks], cut[:6]) == []


def test_a_door_that_ends_is_not_ready_four_seconds_later() -> None:
    term: list[Doing] = [Kill(30.0, "door-0", "term")]
    assert rules_of(term, [Ready(1.0, 0, True)]) == ["DRAIN"]
    assert rules_of(term, [Ready(1.0, 0, True), Ready(31.0, 0, False)]) == []


def test_further_tries_keep_to_the_budget_and_to_their_route() -> None:
    asks = reads(60)
    first: list[Seen] = [run_of(ask) for ask in asks]
    again: list[Seen] = [run_of(ask, 0.02, "archive-1") for ask in asks]
    more: list[Seen] = [run_of(ask, 0.03, "archive-1") for ask in asks[:20]]
    assert rules_of([*asks], first + again) == []  # 60: 0.2 of 60, and 56 more
    assert rules_of([*asks], first + again + more) == ["BUDGET"]
    third: list[Seen] = [run_of(ask, 0.03, "archive-2") for ask in asks[:4]]
    assert rules_of([*asks], first[:4] + again[:4] + third) == ["BUDGET"]
    assert rules_of([*asks], first[:3] + again[:3] + third[:3]) == []


def test_time_that_is_handed_on_is_what_is_left() -> None:
    asks = reads(30)
    runs = [run_of(ask) for ask in asks]
    assert rules_of([*asks], [*runs]) == []
    assert rules_of([*asks], [msgspec.structs.replace(run, remaining=2.6) for run in runs]) == ["BUDGET"]
    assert rules_of([*asks], [msgspec.structs.replace(run, remaining=-1.0) for run in runs]) == ["BUDGET"]


def test_no_kind_is_starved_and_nothing_proper_denied() -> None:
    asks = reads(20)
    signs = [Ask(20.0, f"s{n}", 0, f"/sign/{n}", "POST") for n in range(20)]
    good: list[Seen] = [line for ask in asks for line in (run_of(ask), served(ask))]
    assert rules_of([*asks, *signs], good + [served(ask, status=503) for ask in signs]) == ["STARVED"]
    assert rules_of([*asks], good[:28] + [served(ask, status=404) for ask in asks[14:]]) == ["DENIED"]
    assert rules_of([*asks], good[:30] + [served(ask, status=404) for ask in asks[15:]]) == []


def test_orders_and_leaves_are_acknowledged_in_calm_times() -> None:
    late: list[Seen] = [Left(36.0, "archive-0", 30.0)]
    assert rules_of([], late) == ["ACKS"]
    assert rules_of([Kill(31.0, "core-0")], late) == []


def test_a_door_does_not_go_back_to_an_older_version() -> None:
    asks = [Ask(at, f"r{at}", 0, f"/read/{at}") for at in (20.0, 21.0, 22.0)]
    newer: list[Doing] = [Change(19.0, 0, 2, {"read": "desk", "sign": "desk"})]
    seen: list[Seen] = [
        msgspec.structs.replace(ran(ask, ask.at + 0.1, service, f"{service}-0"), remaining=1.9)
        for ask, service in zip(asks, ("archive", "desk", "archive"), strict=True)
    ]
    assert rules_of([*asks, *newer], seen) == ["CONFIG"]
    assert rules_of([*asks, *newer], seen[:2]) == []
    assert rules_of([*asks, *newer, Kill(21.5, "door-0"), Start(21.6, "door-0")], seen) == []  # another life
