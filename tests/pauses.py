"""Measures during a test for how long the machine did not let its event loop run.

A bound on the time of an answer is about the gateway.  A machine that stands still for half a second, or runs
other processes, would break it without a fault of the gateway; a gateway that computes or waits for too long
is not excused.
"""

from __future__ import annotations

import bisect
import itertools
import threading
import time
from pathlib import Path
from typing import Self

CHECK_INTERVAL_S = 0.01
MIN_PAUSE_S = 0.01  # beyond the interval between two checks, to count as a pause


def read_schedstat(path: Path) -> tuple[float, float]:
    """Return the seconds for which a thread has run, and has waited for a core (Linux, `sched-stats`).

    Both are 0 on a kernel without these statistics.
    """
    if not path.exists():
        return 0.0, 0.0
    ran_ns, waited_ns, _ = map(int, path.read_text().split())
    return ran_ns / 1e9, waited_ns / 1e9


class Pauses:
    """A thread that notes for each interval of the clock how much of it the machine took from the creator.

    That is the time for which the thread that made this object was ready to run and waited for a core, as the
    kernel counts it; an event loop that computes does not wait for one, and one that sleeps or blocks is not
    ready.  Processes that take each other's place every few milliseconds are found by this alone.

    A machine that stands still as a whole counts nothing.  So an interval in which this thread ran late while
    the process used no CPU counts as well: a computing event loop uses CPU, and a blocked one lets this
    thread run.  Of the two measures the larger one counts, as they may be about the same time, and never more
    than the interval.
    """

    def __init__(self) -> None:
        self.pauses: list[tuple[float, float, float]] = []  # start and end in monotonic seconds, time lost
        self.statistics = Path(f"/proc/self/task/{threading.get_native_id()}/schedstat")
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.watch_clock, daemon=True)

    def waited(self) -> float:
        """Return the seconds for which the creator has waited for a core so far.

        0 on a kernel without these statistics: then only pauses of the whole process count.
        """
        return read_schedstat(self.statistics)[1]

    def watch_clock(self) -> None:
        last_time, last_cpu, last_waited = time.monotonic(), time.process_time(), self.waited()
        while not self.stopped.wait(CHECK_INTERVAL_S):
            now, cpu, waited = time.monotonic(), time.process_time(), self.waited()
            still = now - last_time - CHECK_INTERVAL_S - (cpu - last_cpu)
            lost = max(waited - last_waited, still if still > MIN_PAUSE_S else 0.0)
            if lost > 0:
                self.pauses.append((last_time, now, lost))
            last_time, last_cpu, last_waited = now, cpu, waited

    def total_within(self, start: float, end: float) -> float:
        """Return the seconds lost in a period; of an interval at its edge no more than lies within it."""
        first = bisect.bisect_right(self.pauses, start, key=lambda pause: pause[1])
        total = 0.0
        for at, until, lost in itertools.islice(self.pauses, first, None):
            if at >= end:
                break
            total += min(lost, min(until, end) - max(at, start))
        return total

    def __enter__(self) -> Self:
        self.thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.stopped.set()
        self.thread.join()
