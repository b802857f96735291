"""What requests were refused for: counts, and the one line of log that tells them.  Pure.

A refusal is counted under its cause; nothing is logged for each.  A line comes at most once in `SPAN`, only
after refusals, and holds the counts since the start and those since the line before, so that shares over any
span can be made from a log (docs/operators/refusals.md).
"""

from __future__ import annotations

from collections import Counter

from orchidhill.interface import Why

LOG_INTERVAL_S = 60.0  # seconds
GATEWAY = "door"  # the front door's own limits on bodies, requests and connections
FAILED = "failed"  # answered as failed: an attempt may have run, and none may follow
TRIAL = "trial"  # by a trial of its caller (ivymux/fault_injection)
UNSERVED = (Why.BACKENDS.value, Why.ROOM.value, FAILED)
CAUSES = (*(why.value for why in Why), GATEWAY, FAILED, TRIAL)


class RefusalCounts:
    """Counts by cause, since the start."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.logged_counts: Counter[str] = Counter()
        self.has_unlogged = False  # whether any came since the last line

    def count(self, cause: str) -> bool:
        """Count one; whether it is the first since the last line, so that one is due in `SPAN`."""
        first, self.has_unlogged = not self.has_unlogged, True
        self.counts[cause] += 1
        return first

    def count_unserved(self) -> int:
        """Requests since the start that ended without service for want of workers, not of a quota."""
        return sum(self.counts[cause] for cause in UNSERVED)

    def log_line(self) -> str:
        """`refused: quota=12 (+3) room=1 (+0)`, causes in a fixed order; empty where there is nothing new."""
        if not self.has_unlogged:
            return ""
        parts = [
            f"{c}={self.counts[c]} (+{self.counts[c] - self.logged_counts[c]})"
            for c in CAUSES
            if self.counts[c]
        ]
        self.logged_counts, self.has_unlogged = self.counts.copy(), False
        return "refused: " + " ".join(parts)
