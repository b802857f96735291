"""Tests of faults that are harmless with four gateways and harmful with 200."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from orchidhill import bucket_overflow, degraded_mode
from orchidhill import interface as i
from orchidhill.call_rate import CallRate
from orchidhill.gateway import SUBSET_SIZE, Gateway
from standins.fleet import FleetSimulation
from tests.helpers import (
    START,
    FakeCounter,
    handle_event,
    make_entry,
    make_finished,
    make_gateway,
    make_request,
    sends,
)

FLEET = [make_entry(n, cell=n % 9) for n in range(1, 101)]


def used_backends(gateway: Gateway, count: int) -> set[int]:
    """Return the backends that get one of `count` requests sent in turn."""
    counter, backends = FakeCounter(), set()
    for rid in range(count):
        for send in sends(handle_event(gateway, counter, START + rid, make_request(rid, customer=rid))):
            backends.add(send.backend)
            finished = make_finished(rid, send, i.Outcome.OK, closed=True)
            handle_event(gateway, counter, START + rid + 0.1, finished)
    return backends


def test_a_gateway_of_a_large_fleet_uses_its_own_subset() -> None:
    one, other = (used_backends(make_gateway(FLEET, me=str(n), peers_total="200"), 300) for n in (0, 1))
    assert 8 <= len(one) <= SUBSET_SIZE and 8 <= len(other) <= SUBSET_SIZE
    assert len(one & other) < SUBSET_SIZE // 2


def test_the_subset_changes_only_by_backends_that_join_or_leave() -> None:
    gateway = make_gateway(FLEET, peers_total="200")
    before = {b.entry.backend for b in gateway.subset}
    gone = random.Random(1).sample(sorted(before), 4)
    entries = tuple(make_entry(n, state=i.State.GONE) for n in gone)
    gateway.handle(START, i.Members(i.Listing.DELTA, 2, entries))
    after = {b.entry.backend for b in gateway.subset}
    assert len(gateway.subset) == SUBSET_SIZE and before - after == set(gone)


def test_backends_outside_the_subset_are_used_where_none_inside_is_allowed() -> None:
    """A keyed request may be retried only within the cell in which it may have run."""
    gateway, counter = make_gateway(FLEET, peers_total="200"), FakeCounter()
    for rid in range(40):
        (send,) = sends(handle_event(gateway, counter, START + rid, make_request(rid, cls=1, customer=rid)))
        (retry,) = sends(
            handle_event(gateway, counter, START + rid + 0.1, make_finished(rid, send, i.Outcome.RESET))
        )
        assert retry.backend % 9 == send.backend % 9 and retry.backend != send.backend
        last = make_finished(rid, retry, i.Outcome.OK, attempt=1, closed=True)
        handle_event(gateway, counter, START + rid + 0.2, last)
    assert len(gateway.subset) == SUBSET_SIZE


# --- leases of wide customers: customers with more gateways than units in their burst ---


def make_wide_request(request: int, is_retry: bool = False) -> i.Request:
    """Return a request of a customer whose requests come to 100 gateways."""
    return replace(make_request(request), width=100, is_retry=is_retry)


def make_gateways(count: int) -> list[Gateway]:
    return [make_gateway(me=str(n), peers_total="100") for n in range(count)]


def handle_concurrently(
    gateways: list[Gateway], counter: FakeCounter, events: list[i.Event], now: float
) -> list[i.Action]:
    """Pass one event to each gateway; in each round all calls reach the counter before any gets an answer."""
    all_actions: list[i.Action] = []
    calls = [(gateway, gateway.handle(now, event)) for gateway, event in zip(gateways, events, strict=True)]
    while any(isinstance(a, i.Count) for _, actions in calls for a in actions):
        all_actions += [a for _, actions in calls for a in actions]
        answers = [(g, counter.answer(a)) for g, actions in calls for a in actions if isinstance(a, i.Count)]
        calls = [(gateway, gateway.handle(now, answer)) for gateway, answer in answers]
    return all_actions + [a for _, actions in calls for a in actions]


def bucket_level(gateway: Gateway, counter: FakeCounter, now: float) -> float:
    """Return the only customer's bucket level by the counter: 8 units, refilled at 4 per second."""
    (lease,) = gateway.leases.values()
    since = now + lease.phase - lease.window * lease.window_length
    return 8.0 + 4.0 * since - sum(counter.totals.values())


def test_overflow_is_added_once_however_many_gateways_add_it() -> None:
    counter, gateways = FakeCounter(), make_gateways(6)
    actions = handle_concurrently(gateways, counter, [make_wide_request(n) for n in range(6)], START)
    assert len(sends(actions)) == 6
    assert bucket_level(gateways[0], counter, START) == pytest.approx(8.0 - 6, abs=0.1)


def test_a_deficit_stays_in_the_total_however_many_gateways_see_it() -> None:
    """If all gateways took it off, the total would be less than each had added, and each would restore its
    own additions again and again.
    """
    counter, gateways = FakeCounter(), make_gateways(6)
    handle_concurrently(gateways, counter, [make_wide_request(n) for n in range(6)], START)
    for name in counter.totals:
        counter.totals[name] += 60.0
    for later in (1.0, 2.0, 3.0):
        handle_concurrently(
            gateways, counter, [make_wide_request(int(10 * later) + n) for n in range(6)], START + later
        )
    assert bucket_level(gateways[0], counter, START + 3.0) == pytest.approx(8.0 - 6 - 60.0 + 12.0, abs=0.1)


def test_a_new_customer_costs_one_call_and_a_clients_retry_reads_first() -> None:
    counter, (one, other) = FakeCounter(), make_gateways(2)
    (first,) = (a for a in one.handle(START, make_wide_request(1)) if isinstance(a, i.Count))
    (retry,) = (a for a in other.handle(START, make_wide_request(2, is_retry=True)) if isinstance(a, i.Count))
    assert first.amount == 1.0 and retry.amount == 0.0
    # The bucket is empty: the retry is refused by its read, and nothing has to be taken off again.
    counter.totals[retry.name] = 8.0 + 4.0 * 20.0
    actions = other.handle(START, counter.answer(retry))
    assert [a.why for a in actions if isinstance(a, i.Refuse)] == [i.Why.QUOTA]
    assert not [a for a in actions if isinstance(a, i.Count)]


def test_a_request_waits_for_a_call_where_a_gateway_has_few() -> None:
    """200 gateways share 800 calls per second; concurrent requests are not refused or admitted locally."""
    gateway, counter = make_gateway(peers_total="200", extra__counter_timeout_s="0.08"), FakeCounter()
    gateway.backend_limit = 10.0
    actions: list[i.Action] = []
    for n in range(3):
        actions += handle_event(gateway, counter, START, replace(make_request(n, customer=n), width=100))
    assert len(sends(actions)) < 3 and not [a for a in actions if isinstance(a, i.Refuse)]
    now = START
    while gateway.call_queue and now < START + 4.0:
        now += 0.025
        actions += handle_event(gateway, counter, now, i.Fired(1))
    assert len(sends(actions)) == 3 and counter.calls >= 3 and START < now < START + 1.0


def call_at_full_rate(call_rate: CallRate, seconds: float, now: float) -> float:
    """Make all calls that the rate allows, each answered at once; return the time at the end."""
    for _ in range(round(seconds / 0.01)):
        now += 0.01
        while call_rate.budget(now) >= 1:
            call_rate.record_call(now)
            call_rate.record_answer(now, i.Outcome.OK, 0.001, False)
    return now


def test_the_call_rate_in_a_large_fleet_rises_with_time_and_slowly_after_a_cut() -> None:
    """Rising with each answer, a gateway with 4 calls/s would need 20 s to reach the counter's capacity."""
    call_rate = CallRate(800.0, 200, 0.08, 1.0)
    now = call_at_full_rate(call_rate, 1.0, START)
    call_rate.record_answer(now, i.Outcome.FULL, 0.001, False)
    reduced_rate = call_rate.rate
    now = call_at_full_rate(call_rate, 1.0, now)
    assert reduced_rate < call_rate.rate < 1.1 * reduced_rate
    call_at_full_rate(call_rate, 4.0, now)
    assert call_rate.rate > 1.8 * reduced_rate


def test_the_call_rate_in_a_small_fleet_rises_with_each_answer() -> None:
    call_rate = CallRate(800.0, 4, 0.08, 1.0)
    call_rate.record_answer(START, i.Outcome.FULL, 0.001, False)
    reduced_rate, call_rate.tokens, call_rate.tokens_at = call_rate.rate, 0.0, START
    call_rate.record_answer(START, i.Outcome.OK, 0.001, False)
    assert call_rate.rate == pytest.approx(reduced_rate * 1.01)


def test_a_counter_is_healthy_again_after_a_few_answers() -> None:
    """Each of 200 gateways calls a silent counter only every few seconds: 13 answers would take too long."""
    health = degraded_mode.CounterHealth()
    for _ in range(60):
        health.record_outcome(START, i.Outcome.TIMEOUT)
    statuses = [health.status]
    for _ in range(4):
        health.record_outcome(START, i.Outcome.OK)
        statuses.append(health.status)
    assert statuses[:2] == [degraded_mode.CounterStatus.SILENT] * 2  # a single answer changes nothing
    assert statuses[-1] is degraded_mode.CounterStatus.HEALTHY


def test_a_leaving_gateway_returns_unspent_credits_and_adds_what_it_owes() -> None:
    counter, gateway = FakeCounter(), make_gateway()
    for rid in range(4):
        for send in sends(handle_event(gateway, counter, START, make_request(rid))):
            handle_event(gateway, counter, START, make_finished(rid, send, i.Outcome.OK, closed=True))
    (lease,) = gateway.leases.values()
    assert lease.credits > 0
    handle_event(gateway, counter, START, i.Leaving())
    assert bucket_level(gateway, counter, START) == pytest.approx(8.0 - 4)
    # A second event finds nothing left to return.
    assert not [a for a in gateway.handle(START, i.Leaving()) if isinstance(a, i.Count)]
    lease.owed = 2.0
    handle_event(gateway, counter, START, i.Leaving())
    assert bucket_level(gateway, counter, START) == pytest.approx(8.0 - 6)


@pytest.mark.parametrize("gateways", [4, 64])
def test_a_fleet_serves_requests_within_quotas(gateways: int) -> None:
    result = FleetSimulation(gateways, workers=60, load_factor=0.6).run(4.0)
    assert result.served >= 0.99 * result.offered
    assert result.beyond_quota <= 0.04 * result.sent
    assert result.refused_with_half_bucket <= 0.02 * result.tries  # although half of the bucket was unused
    assert result.refused["quota"] >= 0.9 * result.refused.total()


def test_a_fleet_recovers_from_losing_seven_in_ten_gateways_with_unspent_leases() -> None:
    fleet = FleetSimulation(64, workers=60, load_factor=0.6)
    fleet.schedule(2.0, lambda: fleet.kill_gateways(list(range(45))))
    result = fleet.run(4.0)
    assert result.refused["killed"] > 20  # their clients retried
    assert result.served >= 0.97 * result.offered
    assert result.beyond_quota <= 0.08 * result.sent
    assert result.min_ceiling_level >= 10.0


def test_overflow_is_added_even_without_spare_calls() -> None:
    """Guards against a total that implies ten bursts of credit for a window, as it does without overflow."""
    gateway, counter = make_gateway(peers_total="200", extra__counter_timeout_s="0.08"), FakeCounter()
    gateway.call_rate.tokens, gateway.call_rate.tokens_at = 1.5, START
    actions = handle_event(gateway, counter, START, replace(make_request(1, plan=1), width=100))
    assert len(sends(actions)) == 1 and not gateway.may_call()
    assert bucket_level(gateway, counter, START) == pytest.approx(8.0 - 1, abs=0.1)


def test_a_ceiling_limits_the_tolerated_overflow() -> None:
    gateway = make_gateway()
    without_ceiling, with_ceiling = gateway.settings.plans[:2]
    assert (
        bucket_overflow.overflow(without_ceiling, without_ceiling.burst * 1.4) == 0
        and bucket_overflow.overflow(without_ceiling, without_ceiling.burst * 1.6) > 0
    )
    # A ceiling of two bursts: a full bucket and one burst in degraded mode leave no tolerance.
    assert (
        with_ceiling.ceiling_burst == 2 * with_ceiling.burst
        and bucket_overflow.overflow(with_ceiling, with_ceiling.burst + 0.1) > 0
    )


def test_ceilings_hold_where_calls_are_few_and_demand_far_exceeds_quotas() -> None:
    result = FleetSimulation(100, seed=3, call_rate=100.0).run(5.0)
    # The fewest units left of a ceiling's burst of 33; the rules allow -3.
    assert result.min_ceiling_level >= 10.0
