"""The counter service's clock as the gateways read it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.tally.clock import MAX_RATE, MAX_ROUND_TRIP_S, MIN_RATE, SharedClock


def test_first_reading_sets_the_clock_at_once() -> None:
    clock = SharedClock(wall=5000.0, now=10.0)
    assert clock.read(11.0) == 5001.0
    clock.on_reading(12.0, 12.02, 4000.0)
    assert clock.read(12.02) == pytest.approx(4000.01)
    assert clock.read(13.02) == pytest.approx(4001.01)


def test_slow_readings_are_ignored() -> None:
    clock = SharedClock(wall=5000.0, now=10.0)
    clock.on_reading(10.0, 10.0 + MAX_ROUND_TRIP_S + 0.01, 4000.0)
    clock.on_reading(10.0, 9.0, 4000.0)
    assert clock.read(11.0) == 5001.0


def test_later_difference_is_corrected_without_a_jump_or_a_stop() -> None:
    for step in (-5.0, 5.0):
        clock = SharedClock(0.0, 0.0)
        clock.on_reading(0.0, 0.0, 1000.0)
        assert clock.read(1.0) == 1001.0
        clock.on_reading(1.0, 1.0, 1001.0 + step)
        assert clock.read(2.0) == 1001.0 + (MIN_RATE if step < 0 else MAX_RATE)
        for second in range(3, 14):
            clock.read(float(second))
        assert clock.read(14.0) == 1014.0 + step


@given(
    st.lists(
        st.tuples(st.floats(0, 2), st.none() | st.floats(-20, 20), st.floats(0, 0.1)), min_size=1, max_size=40
    )
)
def test_clock_rate_stays_between_its_limits(
    steps: list[tuple[float, float | None, float]],
) -> None:
    clock, now = SharedClock(1000.0, 0.0), 0.0
    clock.on_reading(0.0, 0.0, 1000.0)
    last = clock.read(now)
    for elapsed, error, round_trip in steps:
        if error is not None:
            clock.on_reading(now, now + round_trip, 1000.0 + now + error)
        now += elapsed
        time = clock.read(now)
        assert last + elapsed * MIN_RATE - 1e-6 <= time <= last + elapsed * MAX_RATE + 1e-6
        last = time


def test_gateways_with_different_wall_clocks_agree_on_the_time() -> None:
    clocks = [SharedClock(1000.0 + error, 0.0) for error in (-0.2, 0.0, 0.2, 5.0)]
    for n, clock in enumerate(clocks):
        clock.on_reading(1.0, 1.0 + n * 0.01, 7000.0 + n * 0.005)
    times = [clock.read(50.0) for clock in clocks]
    assert max(times) - min(times) < 1e-6
