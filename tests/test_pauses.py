"""The measure of what the machine takes of a test's time."""

from __future__ import annotations

import time

import pytest

from .pauses import Pauses


def test_of_an_interval_at_its_edge_a_period_has_no_more_than_lies_within_it() -> None:
    pauses = Pauses()
    pauses.pauses = [(1.0, 1.5, 0.2), (1.5, 2.0, 0.0), (2.0, 2.1, 0.1)]
    assert pauses.total_within(0.0, 3.0) == pytest.approx(0.3)
    assert pauses.total_within(1.4, 3.0) == pytest.approx(0.2)
    assert pauses.total_within(1.1, 1.4) == pytest.approx(0.2)
    assert pauses.total_within(1.5, 2.0) == pauses.total_within(2.1, 3.0) == 0.0


def test_a_thread_that_computes_is_not_excused() -> None:
    with Pauses() as pauses:
        began, cpu = time.monotonic(), time.thread_time()
        while time.thread_time() - cpu < 0.3:
            pass
        ended = time.monotonic()
    # The three clocks are not read at one moment.
    assert ended - began - pauses.total_within(began, ended) > 0.25
