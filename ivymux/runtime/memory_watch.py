"""Warns once when a process has come near its memory limit, beyond which its supervisor kills it."""

from __future__ import annotations

import resource

from ivymux.runtime.log import Log

WARNING_SHARE = 0.8  # of the limit
KIB_PER_MB = 1024


def peak_memory_mb() -> float:
    """Return the most memory that this process has had resident so far, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MB


class MemoryWatch:
    """Compares this process's peak memory with its limit."""

    def __init__(self, log: Log, limit_mb: float) -> None:
        self.log, self.limit_mb = log, limit_mb
        self.has_warned = False

    def check(self, peak_mb: float) -> None:
        """Log a line the first time that the peak is near the limit."""
        if not self.has_warned and peak_mb > WARNING_SHARE * self.limit_mb:
            self.has_warned = True
            self.log.info(
                f"has used {peak_mb:.0f} of {self.limit_mb:g} MB of memory; a process beyond is killed."
            )
