"""Counts of refused requests by cause, and the log line that reports them.  Pure.

Single refusals are not logged.  A line is logged at most once in `LOG_INTERVAL_S` and only after refusals; it
holds the counts since the start and those since the line before, so that shares over any period can be
computed from a log (docs/operators/refusals.md).
"""

from __future__ import annotations

from collections import Counter

from orchidhill.interface import Why

LOG_INTERVAL_S = 60.0
GATEWAY = "door"  # the gateway's own limits on bodies, requests and connections
FAILED = "failed"  # answered as failed: an attempt may have been executed, and no retry is allowed
TRIAL = "trial"  # by a fault injection trial (ivymux/fault_injection)
UNSERVED = (Why.BACKENDS.value, Why.ROOM.value, FAILED)  # failures and lack of backends or their capacity
CAUSES = (*(why.value for why in Why), GATEWAY, FAILED, TRIAL)


class RefusalCounts:
    """Counts of refusals by cause since the start."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.logged_counts: Counter[str] = Counter()
        self.has_unlogged = False  # whether there were refusals since the last line

    def count(self, cause: str) -> bool:
        """Count a refusal; return whether it is the first since the last line.

        After the first one, the next line is due in `LOG_INTERVAL_S`.
        """
        first, self.has_unlogged = not self.has_unlogged, True
        self.counts[cause] += 1
        return first

    def count_unserved(self) -> int:
        """Return how many requests since the start failed for lack of backends, as opposed to quota."""
        return sum(self.counts[cause] for cause in UNSERVED)

    def log_line(self) -> str:
        """Return a line such as `refused: quota=12 (+3) room=1 (+0)`; empty if there are no new refusals.

        The causes are in a fixed order.
        """
        if not self.has_unlogged:
            return ""
        parts = [
            f"{cause}={self.counts[cause]} (+{self.counts[cause] - self.logged_counts[cause]})"
            for cause in CAUSES
            if self.counts[cause]
        ]
        self.logged_counts, self.has_unlogged = self.counts.copy(), False
        return "refused: " + " ".join(parts)
