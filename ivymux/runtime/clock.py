"""System time: steady, and nearly the same at all proxies even if a machine's wall clock jumps.  Pure.

The registry of each core machine reads its wall clock once, when it starts, and advances it by its steady
clock.  A proxy takes the median of its registries' times, and moves its own time only if the median is off by
more than MAX_DRIFT_S: quota windows depend on system time and must not jump with every message.
"""

from __future__ import annotations

MAX_DRIFT_S = 0.25


class SystemClock:
    """A proxy's estimate of system time."""

    def __init__(self, unix: float, steady: float) -> None:
        """Start from the local wall clock, until a registry reports its time."""
        self.offset = unix - steady
        self.offsets: dict[str, float] = {}  # system time minus local steady time, by registry
        self.is_synchronized = False

    def system_time(self, steady: float) -> float:
        """System time in seconds since the Unix epoch."""
        return steady + self.offset

    def update(self, source: str, system_time: float, steady: float) -> None:
        """Take the system time that a registry reports at the local steady time `steady`."""
        self.offsets[source] = system_time - steady
        offsets = sorted(self.offsets.values())
        median = offsets[(len(offsets) - 1) // 2]
        if not self.is_synchronized or abs(median - self.offset) > MAX_DRIFT_S:
            self.offset, self.is_synchronized = median, True

    def remove_source(self, source: str) -> None:
        """Drop a disconnected registry's time, unless it is the only one."""
        if len(self.offsets) > 1:
            self.offsets.pop(source, None)
