"""Tenants' token buckets at their holder: by themselves, and in a simulation of all proxies."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.lease_counts import LeaseCounts
from ivymux.proxy.name_tables import customer_number
from ivymux.simulation.event_queue import START_TIME
from ivymux.simulation.quota_sharing import DistributedQuotaSimulation, QuotaSimulation, Tenant, quota_plan
from orchidhill.interface import Count


def empty_counts(first: bool = True, at: float = 0.0) -> LeaseCounts:
    return LeaseCounts(CounterHolders("d0", at, first_start=first), 77)


RATE, BURST, SPAN = 10.0, 20.0, 5.0  # units/s, units, s: 70 units in any 5 s


def count(name: int, amount: float, since: float = 0.0, **fields: float) -> Count:
    """A call for customer 3, `since` seconds after the start of window `name`."""
    call, knew = int(fields.pop("call", 0)), int(fields.pop("knew", 0))
    fields = {"drained": BURST + RATE * since, **fields}
    return Count(
        name,
        amount,
        60.0,
        call,
        customer=3,
        rate=RATE,
        burst=BURST,
        span=SPAN,
        since=since,
        knew=knew,
        **fields,
    )


def available(counts: LeaseCounts, now: float, since: float, name: int = 1, **fields: float) -> float:
    """Return what may be granted, as proxies derive it from the total in the answer."""
    return BURST + RATE * since - counts.add(count(name, 0.0, since, **fields), "looks", now)


def test_a_name_that_another_proxy_may_have_held_begins_drained() -> None:
    holders = CounterHolders("d0", 0.0)
    holders.update_proxies({"d0": 1.0, "d1": 1.0}, 1.0)
    counts = LeaseCounts(holders, 77)
    # The window began before this proxy joined: what was granted elsewhere is unknown.
    assert available(counts, 2.0, 2.0, drained=BURST + 20.0 - 4.0) == pytest.approx(4.0)
    # The previous holder may have just granted a burst, unless all proxies had to start again since.
    holders = CounterHolders("d0", 0.0)
    holders.update_proxies({"d0": 1.0, "d1": -50.0}, 1.0)
    assert available(LeaseCounts(holders, 77), 2.0, 2.0, drained=BURST + 20.0 - 4.0) == pytest.approx(1.0)
    assert available(LeaseCounts(holders, 77), 2.0, 2.0, drained=BURST + 20.0 - 14.0) == pytest.approx(
        14.0 - BURST / 2
    )
    # A window that began after all proxies agreed on the list was held nowhere else.
    counts = LeaseCounts(holders, 77)
    assert available(counts, 9.0, 2.0, name=2) == pytest.approx(BURST)
    # A repeated call counts once.
    for _ in range(2):
        counts.add(count(2, 4.0, 2.0, call=12), "d1", 9.0)
    assert available(counts, 9.0, 2.0, name=2) == pytest.approx(BURST - 4.0)


def test_overflow_of_a_bucket_is_not_granted() -> None:
    counts = empty_counts()
    counts.add(count(1, 2.0), "d1", 0.0)
    assert available(counts, 5.0, 5.0) == pytest.approx(BURST)
    counts.add(count(1, -4.0, 5.0), "d1", 5.0)  # returned to a full bucket
    assert available(counts, 5.0, 5.0) == pytest.approx(BURST)


def test_a_span_is_granted_the_whole_quota_and_no_more() -> None:
    """A bucket that refills by the rate alone grants only 50 of 70 from the second span on."""
    counts, granted = empty_counts(), list[tuple[float, float]]()
    for tick in range(2001):
        now = tick / 100
        units = float(int(available(counts, now, now) + 1e-6))
        if units >= 1:
            counts.add(count(1, units, now), "d1", now)
            granted.append((now, units))
    spans = [sum(units for at, units in granted if a / 10 <= at < a / 10 + SPAN) for a in range(150)]
    assert max(spans) <= 70 and sum(units for at, units in granted if at >= 5.0) >= 0.95 * 3 * 70
    assert max(sum(units for at, units in granted if a / 10 <= at < a / 10 + 1.0) for a in range(190)) <= 35


def test_a_shortfall_at_the_window_start_counts_once_however_many_proxies_report_it() -> None:
    counts = empty_counts()
    assert available(counts, 0.0, 0.0, seed=5.0) == pytest.approx(BURST - 5.0)
    assert available(counts, 0.0, 0.0, seed=4.0) == pytest.approx(BURST - 5.0)
    assert available(counts, 0.0, 0.0, seed=8.0) == pytest.approx(BURST - 8.0)  # this proxy knows of more
    # Reported late, after the bucket was full again: there is no shortfall any more.
    counts = empty_counts()
    assert available(counts, 0.0, 0.0) == available(counts, 2.0, 2.0) == pytest.approx(BURST)
    assert available(counts, 2.0, 2.0, seed=8.0) == pytest.approx(BURST)


def test_a_tenants_next_window_continues_from_the_last_one() -> None:
    """The holder uses its own record, as callers know less of the grants before the window's beginning."""
    counts = empty_counts()
    counts.holders.update_proxies({"d0": -100.0}, 0.0)
    counts.add(count(1, BURST, 19.9), "d1", 19.9)
    assert available(counts, 20.0, 0.0, name=2) == pytest.approx(1.0)  # not the whole burst
    # After another proxy held a window in between, the record here is incomplete.
    counts.holders.first_start = False
    assert counts.is_complete(counts.usages[3], count(3, 0.0, 0.1), 40.1)
    counts.holders.update_proxies({"d9": -100.0}, 21.0)
    assert not counts.is_complete(counts.usages[3], count(3, 0.0, 0.1), 40.1)
    counts.holders.update_proxies({"d0": -100.0}, 40.0)
    assert not counts.is_complete(counts.usages[3], count(3, 0.0, 0.1), 40.1)


def test_a_new_holder_continues_from_the_last_total_that_callers_received() -> None:
    counts = empty_counts(first=False, at=10.0)
    drained = BURST + 50.0 - 15.0
    assert available(counts, 10.5, 5.0, drained=drained, known=67.0, knew=55) == pytest.approx(3.0)
    assert available(counts, 10.5, 5.0, drained=drained, known=200.0, knew=77) == pytest.approx(
        3.0
    )  # a total that this holder reported


def test_a_late_grant_made_during_overflow_does_not_drain_the_bucket() -> None:
    counts = empty_counts()
    for tick in range(81):  # full throughout
        available(counts, tick / 10, tick / 10)
    late = {"late": 24.0, "spread": 6.0}
    for _ in range(2):  # the second is a repeated call
        counts.add(count(1, 24.0, 8.0, call=5, **late), "d2", 8.0)
    assert available(counts, 8.0, 8.0) == pytest.approx(BURST)
    # The bucket lacks what exceeds the overflow of these seconds, and any amount that is not spread.
    counts.add(count(1, 70.0, 8.0, late=70.0, spread=6.0), "d3", 8.0)
    assert available(counts, 8.0, 8.0) < BURST - 5.0
    before = available(counts, 8.0, 8.0)
    counts.add(count(1, 5.0, 8.0), "d3", 8.0)
    assert available(counts, 8.0, 8.0) == pytest.approx(before - 5.0)


def test_a_share_is_reserved_for_proxies_that_may_be_partitioned() -> None:
    holders = CounterHolders("d0", 0.0, first_start=True)
    proxies = {f"d{n}": -100.0 for n in range(8)}
    holders.update_proxies(proxies, 0.0)
    counts = LeaseCounts(holders, 77)
    counts.add(count(1, BURST, 10.0), "d1", 10.0)
    holders.update_proxies({proxy: at for proxy, at in proxies.items() if proxy not in ("d6", "d7")}, 10.0)
    # Two of eight are missing for a second: a quarter of the rate is reserved for them.
    available_before = available(counts, 11.0, 11.0)
    assert available_before == pytest.approx(RATE - RATE / 4)
    holders.update_proxies(proxies, 11.0)
    # One is back and reports a late grant that its reserved share covers.
    counts.add(count(1, 1.25, 11.0, late=1.25, spread=1.0), "d6", 11.0)
    assert available(counts, 11.0, 11.0) == pytest.approx(available_before)


def run_with_partition(seed: int, fraction: float) -> DistributedQuotaSimulation:
    """Simulate eight tenants, each at `fraction` of its quota, at eight proxies.

    Two proxies are partitioned at 3 s + 1.1 s per seed, for 8 s.
    """
    tenants = [Tenant(quota_plan(f"t{n}", 33.0, 33.0), lambda s: fraction * 33.0) for n in range(8)]
    simulation = DistributedQuotaSimulation(8, tenants, seed)
    at = START_TIME + 3.0 + 1.1 * seed
    for proxy in (2 * seed % 8, (2 * seed + 1) % 8):
        simulation.schedule_at(at, lambda proxy=proxy: simulation.partition(proxy))  # type: ignore[misc]
        simulation.schedule_at(at + 8.0, lambda proxy=proxy: simulation.reconnect(proxy))  # type: ignore[misc]
    simulation.run_until(3.0 + 1.1 * seed + 12.0)
    return simulation


@pytest.mark.parametrize("seed", [3, 11, 20])
def test_tenants_within_their_quotas_are_served_when_proxies_reconnect(seed: int) -> None:
    """Guards against late grants that drain full buckets: 0.08 to 0.16 of requests, and 0.24 of one tenant's,
    would be refused.
    """
    simulation, reconnected_at = run_with_partition(seed, 0.8), 3.0 + 1.1 * seed + 8.0
    assert max(t.failed_share(reconnected_at, reconnected_at + 3.0) for t in simulation.tenants) < 1 / 20


@pytest.mark.parametrize("seed", [0, 1])
def test_a_quota_holds_while_partitioned_proxies_grant_their_shares(seed: int) -> None:
    """Three of eight proxies grant their shares; without reserves, 51 requests too many would be sent."""
    tenant = Tenant(quota_plan("hot", 99.0, 99.0), lambda s: 99.0 * LOAD_FACTOR(s))
    simulation = DistributedQuotaSimulation(8, [tenant], seed)
    for proxy in range(seed, seed + 3):
        simulation.schedule_at(START_TIME + 3.5, lambda proxy=proxy: simulation.partition(proxy))  # type: ignore[misc]
        simulation.schedule_at(START_TIME + 10.5, lambda proxy=proxy: simulation.reconnect(proxy))  # type: ignore[misc]
    simulation.run_until(11.5)
    assert tenant.max_sent_within(5.0) <= tenant.allowed_within_window()


# Demand at a time in seconds, as a multiple of the tenant's rate.
LOAD_FACTOR: Callable[[float], float] = lambda s: 9.0 if 3.0 <= s < 9.0 else 0.6  # noqa: E731


@pytest.mark.parametrize(("proxies", "rate", "burst"), [(11, 33.0, 33.0), (75, 198.0, 198.0), (85, 8.0, 8.0)])
def test_no_span_exceeds_the_quota_however_many_proxies_grant_it(
    proxies: int, rate: float, burst: float
) -> None:
    """Guards against overflow corrections by each proxy, with which 75 proxies sent 4.1 times the quota."""
    tenant = Tenant(quota_plan("hot", rate, burst), lambda s: rate * LOAD_FACTOR(s))
    QuotaSimulation(proxies, [tenant], 1).run_until(10.0)
    quota = 5 * rate + burst
    assert (
        0.95 * quota < tenant.max_sent_within(5.0) <= quota + 0.2 * (tenant.allowed_within_window() - quota)
    )


@pytest.mark.parametrize("loss_count", [1, 2])
def test_a_quota_holds_when_its_counts_are_lost(loss_count: int) -> None:
    for fault in ("counts lost", "proxies restarted"):
        tenant = Tenant(quota_plan("hot", 33.0, 33.0), lambda s: 33.0 * LOAD_FACTOR(s))
        simulation = QuotaSimulation(11, [tenant], 2)
        lose = (
            simulation.lose_counts
            if fault == "counts lost"
            else lambda simulation=simulation: simulation.restart_all_proxies(0.6)
        )
        for loss in range(loss_count):
            simulation.schedule_at(START_TIME + 6.0 + 1.2 * loss, lose)
        simulation.run_until(10.0)
        assert tenant.max_sent_within(5.0) <= tenant.allowed_within_window(), fault
        assert len([at for at in tenant.sent_at if at > START_TIME + 8.0]) > 2 * 33.0 * 0.8, fault


def test_a_quota_that_changes_within_a_window_holds_with_its_new_value() -> None:
    tenant = Tenant(quota_plan("hot", 260.0, 260.0), lambda s: 150.0 * LOAD_FACTOR(s))
    simulation = QuotaSimulation(40, [tenant], 3)
    simulation.schedule_at(
        START_TIME + 1.0, lambda: simulation.change_quota(tenant, quota_plan("hot", 150.0, 150.0))
    )
    simulation.run_until(10.0)
    assert tenant.max_sent_within(5.0) <= tenant.allowed_within_window()


def test_tenants_with_long_names_that_end_alike_have_separate_counts() -> None:
    names = [f"{place}-hall-minute-takers" for place in ("matlock", "belper", "cromford")]
    assert len({customer_number(name) for name in names}) == 3
