"""Shares of the door: limits of one's own, max-min fairness where CPU is scarce, nothing for who is idle."""

from __future__ import annotations

import math

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ivymux.tenants.shares import CAPACITY, LEAST, SPAN, Share, Shares, TenantLimits, max_min

WANTS = st.lists(st.tuples(st.floats(0.01, 100), st.floats(0, 1e4)), min_size=1, max_size=20)


@given(WANTS, st.floats(0, 1e4))
@example([(17.0, 1.0), (0.01171875, 1.0)], 2.2250738585e-313)  # below it a float has no relative precision
def test_max_min_wastes_nothing_and_nobody_gains_by_asking_for_more(
    wants: list[tuple[float, float]], room: float
) -> None:
    listed = [(n, weight, wanted) for n, (weight, wanted) in enumerate(wants)]
    given_ = max_min(room, listed)
    total = sum(given_.values())
    assert total <= room * (1 + 1e-9) + 1e-9
    assert all(given_[n] <= wanted + 1e-9 for n, _, wanted in listed)
    assert total >= min(room, sum(w for _, w in wants)) * (1 - 1e-9) - 1e-9
    # Who gets less than it wants has no less for its weight than anybody else.
    for n, weight, wanted in listed:
        if given_[n] < wanted * (1 - 1e-9):
            assert all(given_[m] / other <= given_[n] / weight * (1 + 1e-6) for m, other, _ in listed)


def rounds(
    shares: Shares, who: dict[str, tuple[Share, int]], spans: int, cost: float = 1e-3
) -> dict[str, list[int]]:
    """Spans in which each asks so often; what was taken of each, in each.  A taken one costs CPU."""
    taken: dict[str, list[int]] = {name: [] for name in who}
    now = shares.looked_at
    for _ in range(spans):
        spent = 0.0
        asks = [name for name, (_, count) in who.items() for _ in range(count)]
        asks.sort(key=lambda name: hash(name))
        counts = dict.fromkeys(who, 0)
        most = max(count for _, count in who.values())
        for turn in range(most):  # in turn, as they come in
            for name, (share, count) in who.items():
                if turn < count and not shares.ask(share, now + SPAN * turn / most):
                    counts[name] += 1
                    shares.over(share)
                    spent += cost
                elif turn < count:
                    spent += 0.15 * cost
        for name, count in counts.items():
            taken[name].append(count)
        now += max(SPAN, spent)
        shares.look(now, spent)
    return taken


def made(shares: Shares, weight: float = 1.0, **limits: float) -> Share:
    return shares.make(TenantLimits(requests=1e6, burst=1e6, weight=weight, **limits), 0.0)  # type: ignore[arg-type]


def test_a_flood_leaves_the_others_what_they_ask_for() -> None:
    shares = Shares()
    quiet = {f"q{n}": (made(shares), 1) for n in range(10)}
    flood = made(shares)
    taken = rounds(shares, {"flood": (flood, 100), **quiet}, 60)
    for name in quiet:
        assert all(count == 1 for count in taken[name][3:]), name
    # And the flood has what is left of 42 in a span, behind the others' 10 and the cost of its refusals.
    rest = taken["flood"][30:]
    assert 12 <= sum(rest) / len(rest) <= CAPACITY * SPAN / 1e-3


def test_weights_count_among_those_that_want_more_than_there_is() -> None:
    shares = Shares()
    taken = rounds(shares, {"one": (made(shares, 1.0), 500), "three": (made(shares, 3.0), 500)}, 80)
    one, three = (sum(taken[name][40:]) for name in ("one", "three"))
    assert 2.5 <= three / one <= 3.5


def test_what_is_idle_is_used_and_given_back_at_once() -> None:
    shares = Shares()
    busy, idle = made(shares), made(shares)
    alone = rounds(shares, {"busy": (busy, 500)}, 40)["busy"][20:]
    assert set(alone) == {500} and not busy.refused  # nobody else is there: it has all
    alone = [int(CAPACITY * SPAN / 1e-3)]
    both = rounds(shares, {"busy": (busy, 500), "idle": (idle, 500)}, 40)
    assert both["idle"][0] >= sum(alone) / len(alone) / 3  # in its very first span
    assert sum(both["idle"][20:]) == pytest.approx(sum(both["busy"][20:]), rel=0.25)
    assert set(rounds(shares, {"busy": (busy, 500)}, 20)["busy"][10:]) == {500}


def test_without_scarcity_nothing_is_refused_but_beyond_limits() -> None:
    shares = Shares()
    share = made(shares)
    assert all(count == 30 for count in rounds(shares, {"a": (share, 30)}, 50, cost=1e-4)["a"])
    assert share.refused == 0 and share.allowed == math.inf


def test_limits_of_its_own_hold_whatever_is_free() -> None:
    shares = Shares()
    share = shares.make(TenantLimits(requests=10.0, burst=5.0, open=3), 0.0)
    for _ in range(3):
        assert shares.ask(share, 0.0) == 0
    assert shares.ask(share, 0.0) == 1.0 and share.open == 3
    for _ in range(3):
        shares.over(share)
    assert shares.ask(share, 0.0) == 0 and shares.ask(share, 0.0) == 0
    wait = shares.ask(share, 0.0)
    assert wait == pytest.approx(0.1)
    assert shares.ask(share, wait) == 0  # honest: at that time there is one
    assert shares.ask(share, wait - 0.05) > 0  # a clock that goes back gives nothing
    shares.change(share, TenantLimits(requests=10.0, burst=1.0), 10.0)
    assert share.level == 1.0
    capped = shares.make(TenantLimits(requests=1e6, burst=1e6, cpu=0.1), 0.0)
    taken = rounds(shares, {"capped": (capped, 500)}, 40)["capped"][20:]
    assert sum(taken) / len(taken) <= max(LEAST, 0.1 * SPAN / 1e-3) * 1.3


def test_who_is_idle_is_not_looked_at() -> None:
    shares = Shares()
    many = [made(shares) for _ in range(1000)]
    shares.ask(many[7], 0.0)
    assert shares.active == [many[7]]
    shares.look(SPAN, 0.001)
    shares.look(2 * SPAN, 0.001)
    assert shares.active == [] and not many[7].active
    shares.ask(many[7], 3 * SPAN)
    assert shares.active == [many[7]]
    shares.leave(many[7])
    assert shares.active == []
