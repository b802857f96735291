"""Decides when a file is stable enough to be read.  Does no I/O; times are seconds of a monotonic clock.

A file is read when its metadata (size, times, inode) has not changed for a while.  A file that keeps changing
is never read; the last good list stays in force, and this is reported once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

# "same": in the state that was read last; "wait": changing or missing; "read": to be read now; "restless":
# changing for too long, which is returned only once until the file is stable.
Status = Literal["same", "wait", "read", "restless"]


@dataclass(slots=True)
class FileStability:
    """Follows the fingerprint of one file, or of several that belong together."""

    quiet_period_s: float = 0.5  # without a change, before the file is read
    report_after_s: float = 30.0  # of continual changes
    last_fingerprint: object = None
    unchanged_since: float = 0.0
    unstable_since: float | None = None
    is_reported: bool = False
    read_fingerprint: object = field(default=None)  # of the state that was read last

    def observe(self, fingerprint: object, now: float) -> Status:
        """Decide what to do by the present fingerprint: None if the file is missing or unreadable."""
        if fingerprint is None:
            self.last_fingerprint = None
            return "wait"
        if fingerprint != self.last_fingerprint:
            self.last_fingerprint, self.unchanged_since = fingerprint, now
            if fingerprint == self.read_fingerprint:
                # The file is back in the state that was read last, so there is nothing to read, but it may
                # change again.
                return self.unstable_or_wait(now)
            return self.unstable_or_wait(now)
        if fingerprint == self.read_fingerprint:
            self.unstable_since, self.is_reported = None, False
            return "same"
        if now - self.unchanged_since < self.quiet_period_s:
            return self.unstable_or_wait(now)
        return "read"

    def unstable_or_wait(self, now: float) -> Status:
        """Return "restless" once if the file has been changing for too long, else "wait"."""
        if self.unstable_since is None:
            self.unstable_since = now
        if not self.is_reported and now - self.unstable_since >= self.report_after_s:
            self.is_reported = True
            return "restless"
        return "wait"

    def mark_read(self) -> None:
        """Record that the file was read in its last observed state, whether or not its content was valid."""
        self.read_fingerprint = self.last_fingerprint
        self.unstable_since, self.is_reported = None, False
