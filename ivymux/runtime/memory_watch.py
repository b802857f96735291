"""Warns once when a process has come near its memory limit, beyond which its supervisor kills it."""

from __future__ import annotations

import resource
from pathlib import Path

from ivymux.runtime.log import Log

WARNING_SHARE = 0.8  # of the limit
KIB_PER_MB = 1024


def peak_memory_mb(process: int | str = "self") -> float:
    """Return the most memory that a process, given by its id, has had resident so far, in MB.

    Raises OSError if another process has ended.  Where the system has no /proc, only this process's peak is
    known, and not less than that of the process that started it: `ru_maxrss` outlives an exec.
    """
    try:
        lines = Path(f"/proc/{process}/status").read_text(encoding="ascii", errors="replace").splitlines()
    except OSError:
        if process != "self":
            raise
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MB
    for line in lines:
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KIB_PER_MB
    return 0.0


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
