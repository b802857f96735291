"""Tenants' shares of a gateway: their own limits, and max-min fairness while CPU is scarce."""

from __future__ import annotations

import math

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ivymux.tenants.shares import (
    CPU_CAPACITY,
    MIN_SPAN_REQUESTS,
    SPAN_S,
    Share,
    Shares,
    TenantLimits,
    max_min,
)

WANTS = st.lists(st.tuples(st.floats(0.01, 100), st.floats(0, 1e4)), min_size=1, max_size=20)


@given(WANTS, st.floats(0, 1e4))
@example([(17.0, 1.0), (0.01171875, 1.0)], 2.2250738585e-313)  # a subnormal float has less relative precision
def test_max_min_uses_the_whole_capacity_and_larger_demands_gain_nothing(
    wants: list[tuple[float, float]], capacity: float
) -> None:
    demands = [(n, weight, wanted) for n, (weight, wanted) in enumerate(wants)]
    amounts = max_min(capacity, demands)
    total = sum(amounts.values())
    assert total <= capacity * (1 + 1e-9) + 1e-9
    assert all(amounts[n] <= wanted + 1e-9 for n, _, wanted in demands)
    assert total >= min(capacity, sum(w for _, w in wants)) * (1 - 1e-9) - 1e-9
    # A demand that is not met gets at least as much for its weight as each other one.
    for n, weight, wanted in demands:
        if amounts[n] < wanted * (1 - 1e-9):
            assert all(amounts[m] / other <= amounts[n] / weight * (1 + 1e-6) for m, other, _ in demands)


def run_spans(
    shares: Shares, senders: dict[str, tuple[Share, int]], spans: int, cost: float = 1e-3
) -> dict[str, list[int]]:
    """Send a number of requests of each tenant in each span; return the admitted numbers, by span.

    An admitted request uses `cost` seconds of CPU, a refused one 0.15 of it.
    """
    admitted: dict[str, list[int]] = {name: [] for name in senders}
    now = shares.span_ended_at
    for _ in range(spans):
        spent = 0.0
        counts = dict.fromkeys(senders, 0)
        max_count = max(count for _, count in senders.values())
        for turn in range(max_count):  # the tenants take turns
            for name, (share, count) in senders.items():
                if turn < count and not shares.admit(share, now + SPAN_S * turn / max_count):
                    counts[name] += 1
                    shares.release(share)
                    spent += cost
                elif turn < count:
                    spent += 0.15 * cost
        for name, count in counts.items():
            admitted[name].append(count)
        now += max(SPAN_S, spent)
        shares.end_span(now, spent)
    return admitted


def create_share(shares: Shares, weight: float = 1.0, **limits: float) -> Share:
    return shares.create(TenantLimits(requests=1e6, burst=1e6, weight=weight, **limits), 0.0)  # type: ignore[arg-type]


def test_a_flood_leaves_the_other_tenants_what_they_request() -> None:
    shares = Shares()
    quiet = {f"q{n}": (create_share(shares), 1) for n in range(10)}
    flood = create_share(shares)
    admitted = run_spans(shares, {"flood": (flood, 100), **quiet}, 60)
    for name in quiet:
        assert all(count == 1 for count in admitted[name][3:]), name
    # The flood gets the rest of 42 requests in a span, after the others' 10 and the cost of its refusals.
    rest = admitted["flood"][30:]
    assert 12 <= sum(rest) / len(rest) <= CPU_CAPACITY * SPAN_S / 1e-3


def test_scarce_cpu_is_divided_by_weight() -> None:
    shares = Shares()
    admitted = run_spans(
        shares, {"one": (create_share(shares, 1.0), 500), "three": (create_share(shares, 3.0), 500)}, 80
    )
    one, three = (sum(admitted[name][40:]) for name in ("one", "three"))
    assert 2.5 <= three / one <= 3.5


def test_idle_capacity_is_used_and_given_back_at_once() -> None:
    shares = Shares()
    busy, idle = create_share(shares), create_share(shares)
    alone = run_spans(shares, {"busy": (busy, 500)}, 40)["busy"][20:]
    assert set(alone) == {500} and not busy.refused_count  # the only tenant gets the whole CPU
    alone = [int(CPU_CAPACITY * SPAN_S / 1e-3)]
    both = run_spans(shares, {"busy": (busy, 500), "idle": (idle, 500)}, 40)
    assert both["idle"][0] >= sum(alone) / len(alone) / 3  # in its first span
    assert sum(both["idle"][20:]) == pytest.approx(sum(both["busy"][20:]), rel=0.25)
    assert set(run_spans(shares, {"busy": (busy, 500)}, 20)["busy"][10:]) == {500}


def test_without_scarcity_only_requests_beyond_the_limits_are_refused() -> None:
    shares = Shares()
    share = create_share(shares)
    assert all(count == 30 for count in run_spans(shares, {"a": (share, 30)}, 50, cost=1e-4)["a"])
    assert share.refused_count == 0 and share.allowance == math.inf


def test_a_tenants_own_limits_apply_with_idle_cpu_too() -> None:
    shares = Shares()
    share = shares.create(TenantLimits(requests=10.0, burst=5.0, open=3), 0.0)
    for _ in range(3):
        assert shares.admit(share, 0.0) == 0
    assert shares.admit(share, 0.0) == 1.0 and share.open == 3
    for _ in range(3):
        shares.release(share)
    assert shares.admit(share, 0.0) == 0 and shares.admit(share, 0.0) == 0
    wait = shares.admit(share, 0.0)
    assert wait == pytest.approx(0.1)
    assert shares.admit(share, wait) == 0  # the wait is exact: a token is available then
    assert shares.admit(share, wait - 0.05) > 0  # a clock that goes back adds no tokens
    shares.change_limits(share, TenantLimits(requests=10.0, burst=1.0), 10.0)
    assert share.tokens == 1.0
    capped = shares.create(TenantLimits(requests=1e6, burst=1e6, cpu=0.1), 0.0)
    admitted = run_spans(shares, {"capped": (capped, 500)}, 40)["capped"][20:]
    assert sum(admitted) / len(admitted) <= max(MIN_SPAN_REQUESTS, 0.1 * SPAN_S / 1e-3) * 1.3


def test_idle_tenants_are_not_processed_at_the_end_of_a_span() -> None:
    shares = Shares()
    many = [create_share(shares) for _ in range(1000)]
    shares.admit(many[7], 0.0)
    assert shares.active == [many[7]]
    shares.end_span(SPAN_S, 0.001)
    shares.end_span(2 * SPAN_S, 0.001)
    assert shares.active == [] and not many[7].is_active
    shares.admit(many[7], 3 * SPAN_S)
    assert shares.active == [many[7]]
    shares.remove(many[7])
    assert shares.active == []
