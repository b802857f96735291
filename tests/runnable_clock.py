"""A clock that stands still while a process under test is ready to run and gets no processor.

A program that gets a third of a processor is overloaded by a rate of requests that it would carry easily on
one of its own: its queue then grows by the machine's fault.  A load that is sent by this clock, and latencies
that are measured by it, mean the same on a busy machine as on a quiet one.  What the program computes, sleeps
or blocks counts in full.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Self

from .pauses import read_schedstat

MACHINE_STATISTICS = Path("/proc/stat")
REFRESH_INTERVAL_S = 0.005  # between two readings of the kernel's statistics


class RunnableClock:
    """Seconds since its creation, without those that the machine took from a process's main thread.

    The kernel (Linux) counts two kinds of lost time: the thread waited for a processor that others used
    (`schedstat`), and a host took processors away from the machine (`steal` in `/proc/stat`; it is about all
    processors, and the thread's part is taken to be its part of the time computed on them).  As the host may
    have taken more from other processors than from the thread's, the clock never shows less than the time for
    which the thread has run.  Without these statistics this is a plain monotonic clock.
    """

    def __init__(self, thread_statistics: Path, machine_statistics: Path = MACHINE_STATISTICS) -> None:
        """The paths of `schedstat` of the process, and of the machine's statistics."""
        self.thread_statistics, self.machine_statistics = thread_statistics, machine_statistics
        self.ran_before_s, self.waited_before_s = read_schedstat(thread_statistics)
        self.computed_before, self.stolen_before = self.read_machine()
        self.started_at = self.read_at = time.monotonic()
        self.lost_s = self.ran_s = self.latest_s = 0.0

    @classmethod
    def of_process(cls, process_id: int) -> Self:
        """Return the clock of a running process."""
        return cls(Path(f"/proc/{process_id}/schedstat"))

    def read_machine(self) -> tuple[int, int]:
        """Return the times for which processors have computed, and were taken away, in the kernel's unit."""
        if not self.machine_statistics.exists():
            return 0, 0
        with self.machine_statistics.open(encoding="ascii") as file:
            user, nice, system, _, _, interrupts, soft_interrupts, stolen = map(
                int, file.readline().split()[1:9]
            )
        return user + nice + system + interrupts + soft_interrupts, stolen

    def read_statistics(self) -> None:
        """Read for how long the thread has run since the creation, and how much time it has lost."""
        ran_s, waited_s = read_schedstat(self.thread_statistics)
        computed, stolen = self.read_machine()
        stolen_part = (stolen - self.stolen_before) / max(1, computed - self.computed_before)
        self.ran_s = ran_s - self.ran_before_s
        self.lost_s = waited_s - self.waited_before_s + stolen_part * self.ran_s

    def now(self) -> float:
        """Return the clock's time in seconds; it never goes back, as a wait is counted when it has ended."""
        real = time.monotonic()
        if real - self.read_at >= REFRESH_INTERVAL_S:
            self.read_statistics()
            self.read_at = real
        self.latest_s = max(self.latest_s, self.ran_s, real - self.started_at - self.lost_s)
        return self.latest_s

    async def sleep_until(self, when: float) -> None:
        """Sleep until the clock shows a time."""
        while (left := when - self.now()) > 0:
            await asyncio.sleep(left)
