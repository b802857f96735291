"""What is harmless at four gateways and harmful at 200."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from orchidhill import bucket_overflow, degraded_mode
from orchidhill import interface as i
from orchidhill.call_rate import CallRate
from orchidhill.gateway import SUBSET_SIZE, Gateway
from standins.fleet import Fleet
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


def places(gateway: Gateway, count: int) -> set[int]:
    """The backends that so many requests in turn are sent to."""
    counter, found = FakeCounter(), set()
    for rid in range(count):
        for send in sends(handle_event(gateway, counter, START + rid, make_request(rid, customer=rid))):
            found.add(send.backend)
            handle_event(
                gateway, counter, START + rid + 0.1, make_finished(rid, send, i.Outcome.OK, closed=True)
            )
    return found


def test_a_gateway_of_a_large_fleet_keeps_to_a_set_of_its_own() -> None:
    one, other = (places(make_gateway(FLEET, me=str(n), peers_total="200"), 300) for n in (0, 1))
    assert (
        8 <= len(one) <= SUBSET_SIZE
        and 8 <= len(other) <= SUBSET_SIZE
        and len(one & other) < SUBSET_SIZE // 2
    )


def test_the_set_changes_by_those_that_come_and_go_only() -> None:
    gateway = make_gateway(FLEET, peers_total="200")
    before = {b.entry.backend for b in gateway.subset}
    gone = random.Random(1).sample(sorted(before), 4)
    gateway.handle(
        START, i.Members(i.Listing.DELTA, 2, tuple(make_entry(n, state=i.State.GONE) for n in gone))
    )
    assert len(gateway.subset) == SUBSET_SIZE and before - {b.entry.backend for b in gateway.subset} == set(
        gone
    )


def test_others_are_gone_to_where_none_of_the_set_may_be() -> None:
    """A keyed request may be sent again only within the cell in which it may have run."""
    gateway, counter = make_gateway(FLEET, peers_total="200"), FakeCounter()
    for rid in range(40):
        (send,) = sends(handle_event(gateway, counter, START + rid, make_request(rid, cls=1, customer=rid)))
        (again,) = sends(
            handle_event(gateway, counter, START + rid + 0.1, make_finished(rid, send, i.Outcome.RESET))
        )
        assert again.backend % 9 == send.backend % 9 and again.backend != send.backend
        last = make_finished(rid, again, i.Outcome.OK, attempt=1, closed=True)
        handle_event(gateway, counter, START + rid + 0.2, last)
    assert len(gateway.subset) == SUBSET_SIZE


# --- leases of customers that come to more gateways than their burst has units ------------------


def wide(rid: int, again: bool = False) -> i.Request:
    return replace(make_request(rid), width=100, is_retry=again)


def crowd(count: int) -> list[Gateway]:
    return [make_gateway(me=str(n), peers_total="100") for n in range(count)]


def at_once(
    gateways: list[Gateway], counter: FakeCounter, events: list[i.Event], now: float
) -> list[i.Action]:
    """Each round all gateways' calls reach the counter before any hears of the others'."""
    seen: list[i.Action] = []
    calls = [(gateway, gateway.handle(now, event)) for gateway, event in zip(gateways, events, strict=True)]
    while any(isinstance(a, i.Count) for _, found in calls for a in found):
        seen += [a for _, found in calls for a in found]
        answers = [(m, counter.answer(a)) for m, found in calls for a in found if isinstance(a, i.Count)]
        calls = [(gateway, gateway.handle(now, answer)) for gateway, answer in answers]
    return seen + [a for _, found in calls for a in found]


def level(gateway: Gateway, counter: FakeCounter, now: float) -> float:
    """What the name of the one customer says that its store of 8 units, 4 a second, holds."""
    (lease,) = gateway.leases.values()
    since = now + lease.phase - lease.window * lease.window_length
    return 8.0 + 4.0 * since - sum(counter.totals.values())


def test_what_flowed_over_is_added_once_however_many_add_it() -> None:
    counter, gateways = FakeCounter(), crowd(6)
    found = at_once(gateways, counter, [wide(n) for n in range(6)], START)
    assert len(sends(found)) == 6
    assert level(gateways[0], counter, START) == pytest.approx(8.0 - 6, abs=0.1)


def test_totals_of_a_debt_stay_what_they_are_however_many_see_it() -> None:
    """Forgiven by all that saw it, it left less than each had added: all brought theirs back, without end."""
    counter, gateways = FakeCounter(), crowd(6)
    at_once(gateways, counter, [wide(n) for n in range(6)], START)
    for name in counter.totals:
        counter.totals[name] += 60.0
    for later in (1.0, 2.0, 3.0):
        at_once(gateways, counter, [wide(int(10 * later) + n) for n in range(6)], START + later)
    assert level(gateways[0], counter, START + 3.0) == pytest.approx(8.0 - 6 - 60.0 + 12.0, abs=0.1)


def test_a_customer_met_for_the_first_time_costs_one_call_and_a_clients_repeat_a_look() -> None:
    counter, (one, other) = FakeCounter(), crowd(2)
    (first,) = (a for a in one.handle(START, wide(1)) if isinstance(a, i.Count))
    (again,) = (a for a in other.handle(START, wide(2, again=True)) if isinstance(a, i.Count))
    assert first.amount == 1.0 and again.amount == 0.0
    # The store is empty: the repeat is refused by what its look says, and nothing has to be taken off again.
    counter.totals[again.name] = 8.0 + 4.0 * 20.0
    found = other.handle(START, counter.answer(again))
    assert [a.why for a in found if isinstance(a, i.Refuse)] == [i.Why.QUOTA]
    assert not [a for a in found if isinstance(a, i.Count)]


def test_a_request_waits_for_its_call_where_a_gateway_has_few() -> None:
    """200 gateways share 800 calls a second: what comes at once is neither refused nor let in unasked."""
    gateway, counter = make_gateway(peers_total="200", extra__counter_timeout_s="0.08"), FakeCounter()
    gateway.backend_limit = 10.0
    found: list[i.Action] = []
    for n in range(3):
        found += handle_event(gateway, counter, START, replace(make_request(n, customer=n), width=100))
    assert len(sends(found)) < 3 and not [a for a in found if isinstance(a, i.Refuse)]
    now = START
    while gateway.call_queue and now < START + 4.0:
        now += 0.025
        found += handle_event(gateway, counter, now, i.Fired(1))
    assert len(sends(found)) == 3 and counter.calls >= 3 and START < now < START + 1.0


def paced(pace: CallRate, seconds: float, now: float) -> float:
    """As many calls as the pace allows, each answered well at once.  The time at the end."""
    for _ in range(round(seconds / 0.01)):
        now += 0.01
        while pace.budget(now) >= 1:
            pace.record_call(now)
            pace.record_answer(now, i.Outcome.OK, 0.001, False)
    return now


def test_the_pace_of_one_gateway_of_many_goes_up_by_time_and_gently_behind_a_cut() -> None:
    """By the answer it took a front door with 4 calls a second 20 s to find what the counter bears."""
    pace = CallRate(800.0, 200, 0.08, 1.0)
    now = paced(pace, 1.0, START)
    pace.record_answer(now, i.Outcome.FULL, 0.001, False)
    low = pace.rate
    now = paced(pace, 1.0, now)
    assert low < pace.rate < 1.1 * low
    paced(pace, 4.0, now)
    assert pace.rate > 1.8 * low


def test_the_pace_of_a_few_gateways_goes_up_by_the_answer() -> None:
    pace = CallRate(800.0, 4, 0.08, 1.0)
    pace.record_answer(START, i.Outcome.FULL, 0.001, False)
    low, pace.tokens, pace.tokens_at = pace.rate, 0.0, START
    pace.record_answer(START, i.Outcome.OK, 0.001, False)
    assert pace.rate == pytest.approx(low * 1.01)


def test_a_tally_that_is_back_is_taken_for_well_after_a_few_answers() -> None:
    """Of 200 front doors each calls a silent counter once in some seconds: thirteen answers took as long."""
    watch = degraded_mode.CounterHealth()
    for _ in range(60):
        watch.record_outcome(START, i.Outcome.TIMEOUT)
    seen = [watch.status]
    for _ in range(4):
        watch.record_outcome(START, i.Outcome.OK)
        seen.append(watch.status)
    assert seen[:2] == [degraded_mode.CounterStatus.SILENT] * 2  # one of them changes nothing
    assert seen[-1] is degraded_mode.CounterStatus.HEALTHY


def test_a_gateway_that_leaves_gives_back_what_it_has_not_spent_and_pays_what_it_owes() -> None:
    counter, gateway = FakeCounter(), make_gateway()
    for rid in range(4):
        for send in sends(handle_event(gateway, counter, START, make_request(rid))):
            handle_event(gateway, counter, START, make_finished(rid, send, i.Outcome.OK, closed=True))
    (lease,) = gateway.leases.values()
    assert lease.credits > 0
    handle_event(gateway, counter, START, i.Leaving())
    assert level(gateway, counter, START) == pytest.approx(8.0 - 4)
    # Nothing is left to be given back, also where it is told twice.
    assert not [a for a in gateway.handle(START, i.Leaving()) if isinstance(a, i.Count)]
    lease.owed = 2.0
    handle_event(gateway, counter, START, i.Leaving())
    assert level(gateway, counter, START) == pytest.approx(8.0 - 6)


@pytest.mark.parametrize("doors", [4, 64])
def test_a_fleet_serves_what_is_inside_the_quotas(doors: int) -> None:
    played = Fleet(doors, workers=60, use=0.6).run(4.0)
    assert played.served >= 0.99 * played.offered
    assert played.beyond <= 0.04 * played.all_sent
    assert played.half <= 0.02 * played.tries  # refused with half of the store unused
    assert played.refused["quota"] >= 0.9 * played.refused.total()


def test_seven_in_ten_killed_with_their_unspent_leases_are_got_over() -> None:
    fleet = Fleet(64, workers=60, use=0.6)
    fleet.after(2.0, lambda: fleet.kill(list(range(45))))
    played = fleet.run(4.0)
    assert played.refused["killed"] > 20  # whose clients asked again
    assert played.served >= 0.97 * played.offered
    assert played.beyond <= 0.08 * played.all_sent
    assert played.ceiling >= 10.0


def test_what_flowed_over_is_added_however_few_calls_a_gateway_has() -> None:
    """Left out for want of a call, a name said for a whole window that its store held ten bursts."""
    gateway, counter = make_gateway(peers_total="200", extra__counter_timeout_s="0.08"), FakeCounter()
    gateway.call_rate.tokens, gateway.call_rate.tokens_at = 1.5, START
    found = handle_event(gateway, counter, START, replace(make_request(1, plan=1), width=100))
    assert len(sends(found)) == 1 and not gateway.may_call()
    assert level(gateway, counter, START) == pytest.approx(8.0 - 1, abs=0.1)


def test_under_a_ceiling_a_name_lacks_no_more_than_that_leaves() -> None:
    gateway = make_gateway()
    free, under = gateway.settings.plans[:2]
    assert (
        bucket_overflow.overflow(free, free.burst * 1.4) == 0
        and bucket_overflow.overflow(free, free.burst * 1.6) > 0
    )
    # A ceiling of two bursts: a full store and as much again let in unasked leave nothing.
    assert under.ceiling_burst == 2 * under.burst and bucket_overflow.overflow(under, under.burst + 0.1) > 0


def test_ceilings_hold_where_calls_are_few_and_customers_ask_far_more_than_their_quota() -> None:
    played = Fleet(100, seed=3, pace=100.0).run(5.0)
    assert played.ceiling >= 10.0  # of 33 units; none is allowed to get to -3
