"""Detects pauses of the machine during a test: periods in which the process got no CPU time.

A bound on the time of an answer is about the gateway.  A machine that stands still for half a second, or runs
other processes, would break it without a fault of the gateway; a gateway that computes or waits for too long
is not excused.
"""

from __future__ import annotations

import threading
import time
from typing import Self

CHECK_INTERVAL_S = 0.01
MIN_PAUSE_S = 0.01  # beyond the interval between two checks, to count as a pause


class Pauses:
    """A thread that checks the clock and notes when it ran late while the process used no CPU.

    An event loop that computes uses CPU, and one that blocks lets this thread run: neither is a pause.
    """

    def __init__(self) -> None:
        self.pauses: list[tuple[float, float]] = []  # start in monotonic seconds, duration
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.watch_clock, daemon=True)

    def watch_clock(self) -> None:
        last_time, last_cpu = time.monotonic(), time.process_time()
        while not self.stopped.wait(CHECK_INTERVAL_S):
            now, cpu = time.monotonic(), time.process_time()
            if (lost := now - last_time - CHECK_INTERVAL_S - (cpu - last_cpu)) > MIN_PAUSE_S:
                self.pauses.append((last_time, lost))
            last_time, last_cpu = now, cpu

    def total_within(self, start: float, end: float) -> float:
        """Return the seconds of all pauses that overlap a period."""
        return sum(lost for at, lost in self.pauses if at + lost > start and at < end)

    def __enter__(self) -> Self:
        self.thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.stopped.set()
        self.thread.join()
