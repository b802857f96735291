"""The clock that stands still while a process waits for a processor."""

from __future__ import annotations

import os
import time
from pathlib import Path

import pytest

from .runnable_clock import REFRESH_INTERVAL_S, RunnableClock
from .sockets import run


class RecordedClock(RunnableClock):
    """A clock that reads its statistics from files of the test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record(ran_s=5.0, waited_s=1.0, computed=1000, stolen=100)
        super().__init__(folder / "schedstat", folder / "stat")

    def record(self, ran_s: float, waited_s: float, computed: int, stolen: int) -> None:
        (self.folder / "schedstat").write_text(f"{ran_s * 1e9:.0f} {waited_s * 1e9:.0f} 7\n")
        (self.folder / "stat").write_text(
            f"cpu  {computed} 0 0 9999 0 0 0 {stolen} 0 0\ncpu0 1 1 1 1 1 1 1 1 1 1\n"
        )


def test_time_lost_is_the_threads_wait_and_its_part_of_the_stolen_time(tmp_path: Path) -> None:
    clock = RecordedClock(tmp_path)
    clock.read_statistics()
    assert clock.lost_s == 0.0
    clock.record(ran_s=7.0, waited_s=1.5, computed=1000, stolen=100)
    clock.read_statistics()
    assert clock.lost_s == pytest.approx(0.5)
    # Of 400 units computed by all processors 2 s are the thread's; 100 units were stolen meanwhile.
    clock.record(ran_s=7.0, waited_s=1.5, computed=1400, stolen=200)
    clock.read_statistics()
    assert clock.lost_s == pytest.approx(0.5 + 2.0 * 100 / 400)


def test_the_clock_stands_still_during_a_wait_and_never_goes_back(tmp_path: Path) -> None:
    clock = RecordedClock(tmp_path)
    while clock.now() < 0.1:
        pass
    clock.record(ran_s=5.0, waited_s=3.0, computed=1000, stolen=100)
    time.sleep(REFRESH_INTERVAL_S)
    shown = clock.now()
    assert shown >= 0.1
    time.sleep(0.05)
    assert clock.now() == shown


def test_time_stolen_from_other_processors_does_not_excuse_a_thread_that_runs(tmp_path: Path) -> None:
    # Guards against a clock that is slower than the thread computes: 0.3 s computed, 0.238 s shown.
    clock = RecordedClock(tmp_path)
    began = time.monotonic()
    while time.monotonic() - began < 0.3:
        pass
    clock.record(ran_s=5.3, waited_s=1.0, computed=1240, stolen=150)
    time.sleep(REFRESH_INTERVAL_S)
    assert clock.now() > 0.299


def test_a_process_that_computes_is_not_excused() -> None:
    clock, cpu_s = RunnableClock.of_process(os.getpid()), time.thread_time()
    while time.thread_time() - cpu_s < 0.3:
        pass
    assert clock.now() > 0.25  # the clocks are not read at one moment


def test_a_sleep_ends_when_the_clock_shows_its_time(tmp_path: Path) -> None:
    clock = RecordedClock(tmp_path)
    clock.record(ran_s=5.0, waited_s=1.2, computed=1000, stolen=100)
    began = time.monotonic()
    run(clock.sleep_until(0.1))
    assert time.monotonic() - began >= 0.28
    assert clock.now() >= 0.1
