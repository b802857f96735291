"""The rules as replay judges them: each is broken once by hand, and the request is named."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from ivymux.testdesk.day import (
    Answered,
    Ask,
    Change,
    Day,
    Doing,
    Kill,
    Left,
    Ran,
    Read,
    Seen,
    Told,
)  # fmt: skip
from ivymux.testdesk.rules import check

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
