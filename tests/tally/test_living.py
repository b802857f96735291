"""Tests of degraded mode: random fault schedules over four gateways in simulated time."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from orchidhill import degraded_mode
from standins.world import GatewaySimulation, make_plan

GATEWAY_COUNT, SCHEDULE_S = 4, 32.0  # schedules are longer than a window of 20 s
RATE, BURST, CEILING = 4.0, 12.0, 2.0
FLOODING, MODERATE = 1, 2  # customers
SLACK_SHARE = 0.05  # of the ceiling's burst
SCHEDULE_COUNT, PART_COUNT = 1000, 10


@dataclass(frozen=True)
class Fault:
    at: float
    kind: str
    gateways: tuple[int, ...]


faults = st.builds(
    Fault,
    st.integers(2, 28).map(float),
    st.sampled_from(["refused", "silent", "late", "lost", "ok", "empty", "copy", "old", "restart", "skew"]),
    st.lists(st.integers(0, GATEWAY_COUNT - 1), min_size=1, max_size=GATEWAY_COUNT, unique=True).map(tuple),
)
schedules = st.lists(faults, max_size=6).map(lambda found: sorted(found, key=lambda f: f.at))


def allowed_excess(schedule: list[Fault]) -> float:
    """Return the units allowed beyond the ceiling's bucket by the theorem in docs/design/tally.md.

    The sides are the counters that serve at the same time, plus one for gateways in degraded mode.  Up to
    CEILING sides (the ceiling over the quota), only SLACK_SHARE of the ceiling's burst is allowed.
    """
    sides = max_counters(schedule) + any(f.kind in ("refused", "silent", "late", "lost") for f in schedule)
    if sides <= CEILING:
        return SLACK_SHARE * CEILING * BURST
    replacements = sum(f.kind in ("empty", "copy", "old") for f in schedule)
    restarts = sum(len(f.gateways) for f in schedule if f.kind == "restart")
    return (
        (sides - CEILING) * (BURST + RATE * SCHEDULE_S)
        + replacements * BURST
        + restarts * (1 + BURST / GATEWAY_COUNT)
    )


def max_counters(schedule: list[Fault]) -> int:
    """Return the maximum number of counters that serve gateways at the same time."""
    counter_of, maximum, started = [0] * GATEWAY_COUNT, 1, 0
    for fault in schedule:
        if fault.kind in ("empty", "copy", "old"):
            started += 1
            for gateway in fault.gateways:
                counter_of[gateway] = 0 if fault.kind == "old" else started
            maximum = max(maximum, len(set(counter_of)))
    return maximum


def run_schedule(schedule: list[Fault], rate: float = 5 * RATE) -> GatewaySimulation:
    simulation = GatewaySimulation(GATEWAY_COUNT, make_plan(RATE, BURST, CEILING), seed=1)
    begin, first = simulation.now, simulation.counter
    simulation.generate_load(FLOODING, rate, range(GATEWAY_COUNT), begin, begin + SCHEDULE_S)
    copies: list[dict[int, float]] = [{}]

    def inject(fault: Fault) -> None:
        match fault.kind:
            case "empty":
                simulation.replace_counter(gateways=fault.gateways)
            case "copy":
                simulation.replace_counter(copies[-1], fault.gateways)
            case "old":
                for gateway in fault.gateways:
                    simulation.links[gateway].counter = first
            case "restart":
                for gateway in fault.gateways:
                    simulation.restart(gateway)
            case "skew":  # clocks differ by at most 200 ms
                for gateway in fault.gateways:
                    simulation.clock_skew[gateway] = (
                        0.1 if simulation.clock_skew[gateway] <= 0 else simulation.clock_skew[gateway]
                    )
            case kind:
                simulation.set_fault(fault.gateways, kind)

    for second in range(0, int(SCHEDULE_S), 3):
        simulation.schedule(float(second), lambda: copies.append(simulation.copy_totals()))
    for fault in schedule:
        simulation.schedule(fault.at, lambda f=fault: inject(f))  # type: ignore[misc]
    simulation.run_until(begin + SCHEDULE_S + 1)
    return simulation


@pytest.mark.parametrize("part", range(PART_COUNT))
def test_no_schedule_of_faults_exceeds_the_proven_bound(part: int) -> None:
    """Checks 1,000 schedules; a schedule that fails is reduced to the smallest that fails, and printed."""
    checked_count = 0

    @settings(max_examples=SCHEDULE_COUNT // PART_COUNT, deadline=None, database=None,
              suppress_health_check=list(HealthCheck))  # fmt: skip
    @given(schedules)
    def check(schedule: list[Fault]) -> None:
        nonlocal checked_count
        checked_count += 1
        simulation = run_schedule(schedule)
        over = simulation.overshoot(FLOODING, CEILING * RATE, CEILING * BURST)
        assert over <= allowed_excess(schedule), (schedule, over)

    seed(part)(check)()
    assert checked_count >= SCHEDULE_COUNT // PART_COUNT


def test_local_shares_beyond_the_quota_are_detected_and_shrunk_to_one_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Checks the search itself: with the whole quota as each local share, it must find a failing one."""
    monkeypatch.setattr(degraded_mode, "quota_share", lambda width, part: 1.0)
    failed: list[list[Fault]] = []

    @seed(1)
    @settings(max_examples=60, deadline=None, database=None, suppress_health_check=list(HealthCheck))
    @given(schedules)
    def check(schedule: list[Fault]) -> None:
        simulation = run_schedule(schedule)
        if simulation.overshoot(FLOODING, CEILING * RATE, CEILING * BURST) > allowed_excess(schedule):
            failed.append(schedule)
            raise AssertionError(schedule)

    with pytest.raises(AssertionError):
        check()
    assert len(failed[-1]) == 1 and failed[-1][0].kind in ("refused", "silent", "late", "lost")


@pytest.mark.parametrize(
    ("fault", "expected"),
    [("refused", {"counter-refused"}), ("silent", {"counter-silent"}), ("lost", {"counter-silent"}),
     ("late", {"counter-slow"})],
)  # fmt: skip
def test_the_counters_status_follows_from_its_failures(fault: str, expected: set[str]) -> None:
    simulation = run_schedule([Fault(5.0, fault, (0, 1, 2, 3)), Fault(20.0, "ok", (0, 1, 2, 3))])
    logged = set(simulation.logs)
    assert expected <= logged and "counter-well" in logged
    assert logged <= expected | {"counter-well", "counter-silent"}  # a slow counter looks silent at first


def test_a_replaced_counter_is_logged_and_its_totals_are_restored_once() -> None:
    """Four gateways reach an empty counter in turn: the bucket never gets fuller, and lacks units briefly."""
    simulation = GatewaySimulation(GATEWAY_COUNT, make_plan(RATE, BURST, CEILING), seed=1)
    begin = simulation.now
    simulation.generate_load(FLOODING, 5 * RATE, range(GATEWAY_COUNT), begin, begin + 19.0)
    simulation.generate_load(MODERATE, RATE / 2, range(GATEWAY_COUNT), begin, begin + 19.0)
    simulation.schedule(10.0, lambda: simulation.replace_counter())  # type: ignore[arg-type]
    simulation.run_until(begin + 20.0)
    assert sum(log.startswith("counter-lost") for log in simulation.logs) >= 4
    assert simulation.overshoot(FLOODING, RATE, BURST) <= BURST
    assert simulation.served_share(MODERATE) == 1.0
    flood = [
        request
        for request in simulation.admitted
        if request.customer == FLOODING and request.at >= begin + 10.0
    ]
    assert len(flood) >= 0.8 * RATE * 9  # the customer's quota remains available


def test_a_local_share_shrinks_during_a_long_outage() -> None:
    assert degraded_mode.fade_factor(10.0) == degraded_mode.fade_factor(degraded_mode.HOLD_S) == 1.0
    assert degraded_mode.fade_factor(90.0) == pytest.approx(2 / 3)
    assert degraded_mode.fade_factor(1e6) == degraded_mode.MIN_FADE


@given(
    st.integers(1, 40),
    st.lists(st.floats(0.0, 1e6), min_size=1, max_size=40),
    st.floats(0.0, 1e3),
)
def test_local_shares_never_add_up_to_more_than_the_quota(
    width: int, counts: list[float], unknown_count: float
) -> None:
    counts = counts[:width]
    total_count = sum(counts) + unknown_count
    parts = [count / max(count, total_count) if total_count else 0.0 for count in counts]
    total_share = sum(degraded_mode.quota_share(width, part) for part in parts) + (
        width - len(counts)
    ) * degraded_mode.quota_share(width, 0.0)
    assert total_share <= 1 + 1e-9


@pytest.mark.parametrize(
    ("ceiling", "rate", "burst"), [(0.0, 1.0, 8.0), (3.0, 1.0, 8.0), (1.75, 0.75, 6.0), (1.0, 0.5, 4.0)]
)
def test_rate_and_burst_left_by_a_ceiling_beside_a_counter_that_grants_the_quota(
    ceiling: float, rate: float, burst: float
) -> None:
    plan = make_plan(4.0, 8.0, ceiling)
    assert degraded_mode.rate_factor(plan) == pytest.approx(rate)
    assert degraded_mode.shared_burst(plan) == pytest.approx(burst)


def test_if_gateways_outnumber_the_burst_only_the_first_ones_hold_a_unit() -> None:
    small_plan = make_plan(1.0, 2.0, 2.0)  # a ceiling of 4 units
    assert [degraded_mode.min_local_capacity(small_plan, 8, rank) for rank in range(8)] == [
        1.0,
        1.0,
        0,
        0,
        0,
        0,
        0,
        0,
    ]
    assert (
        degraded_mode.min_local_capacity(small_plan, 2, 1) == 1.0
        and degraded_mode.min_local_capacity(make_plan(1.0, 2.0), 8, 7) == 1.0
    )
    simulation = GatewaySimulation(8, small_plan, seed=2)
    begin = simulation.now
    simulation.generate_load(FLOODING, 40.0, range(8), begin, begin + 25.0)
    simulation.schedule(5.0, lambda: simulation.set_fault(range(8), "silent"))
    simulation.run_until(begin + 26.0)
    assert simulation.overshoot(FLOODING, 2.0, 4.0) <= SLACK_SHARE * 4.0


def test_a_silent_counter_shard_does_not_affect_customers_of_the_other() -> None:
    rate, burst = 3 * RATE, 3 * BURST
    simulation = GatewaySimulation(GATEWAY_COUNT, make_plan(rate, burst, CEILING), seed=1)
    begin, quiet_customers = simulation.now, range(2, 12)
    simulation.generate_load(FLOODING, 5 * rate, range(GATEWAY_COUNT), begin, begin + 40.0)
    for customer in quiet_customers:
        simulation.generate_load(customer, 0.4 * rate, range(GATEWAY_COUNT), begin, begin + 40.0)
    simulation.schedule(10.0, lambda: simulation.set_fault(range(GATEWAY_COUNT), "silent", shard=0))
    simulation.run_until(begin + 41.0)
    assert simulation.overshoot(FLOODING, CEILING * rate, CEILING * burst) <= SLACK_SHARE * CEILING * burst
    served = [simulation.served_share(customer, begin + 10.0) for customer in quiet_customers]
    assert min(served) >= 0.95


def test_ten_gateways_that_restart_during_an_outage_keep_the_ceiling() -> None:
    simulation = GatewaySimulation(10, make_plan(RATE, BURST, CEILING), seed=1)
    begin = simulation.now
    simulation.generate_load(FLOODING, 10 * RATE, range(10), begin, begin + 40.0)

    def start_all() -> None:
        simulation.set_fault(range(10), "silent")
        for gateway in range(10):
            simulation.restart(gateway)

    simulation.schedule(10.0, start_all)
    simulation.schedule(30.0, lambda: simulation.set_fault(range(10), "ok"))
    simulation.run_until(begin + 41.0)
    assert simulation.overshoot(FLOODING, CEILING * RATE, CEILING * BURST) <= SLACK_SHARE * CEILING * BURST


def test_a_partitioned_gateway_logs_that_others_used_the_counter_meanwhile() -> None:
    simulation = run_schedule([Fault(8.0, "silent", (2,)), Fault(16.0, "ok", (2,))])
    assert any(log.startswith("counter-split") for log in simulation.logs)
    simulation = run_schedule([])
    assert not [log for log in simulation.logs if log.startswith("counter-")]


@pytest.mark.parametrize("fault", ["silent", "lost", "late"])
def test_a_lease_call_without_an_answer_is_repeated_and_counts_once(fault: str) -> None:
    """The total holds the admitted and the unspent units, however the answer was lost."""

    def remainder(fault: str) -> float:
        """Return what else the total holds: the overflow at the time of the first request."""
        simulation = GatewaySimulation(1, make_plan(RATE, BURST, CEILING), seed=1)
        begin = simulation.now
        simulation.generate_load(FLOODING, 5 * RATE, [0], begin, begin + 12.0)  # no further overflow
        simulation.schedule(4.0, lambda: simulation.set_fault([0], fault))
        simulation.schedule(6.0, lambda: simulation.set_fault([0], "ok"))
        simulation.run_until(begin + 14.0)
        (lease,) = [each for each in simulation.gateways[0].leases.values() if not each.for_slots]
        totals = [total for total in simulation.counter.totals.values() if total > 0]
        # A single name: the whole run is within one window.
        assert not lease.unanswered_adds and len(totals) == 1 and len(simulation.admitted) > 40
        return totals[0] + lease.owed - lease.credits - len(simulation.admitted)

    assert remainder(fault) == pytest.approx(remainder("ok"), abs=1.0)


def test_a_large_fleet_soon_uses_a_counter_of_higher_capacity() -> None:
    """64 gateways share an initial 800 calls per second, 12 each, while the counter handles 20,000: requests
    wait until calls may be made, and the call rates rise soon.
    """

    def mean_served_share(call_rate: float) -> float:
        simulation = GatewaySimulation(64, make_plan(20.0, 40.0, CEILING), seed=3, call_rate=call_rate)
        begin = simulation.now
        for customer in range(1, 41):
            simulation.generate_load(
                customer, 10.0, [(customer * 7 + n) % 64 for n in range(4)], begin, begin + 6.0
            )
        simulation.run_until(begin + 7.0)
        return sum(simulation.served_share(customer) for customer in range(1, 41)) / 40

    assert mean_served_share(20_000.0) >= 0.99
    assert mean_served_share(800.0) >= 0.99
