"""When a file counts as whole.  Pure; time is passed in, in seconds on a clock that does not go back.

A file is read once what is seen of it (size, times, place on the disk) has stayed as it is for a while.  One
that flips between versions never is; then the last good list stays, and that is told once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

Look = Literal["same", "wait", "read", "restless"]


@dataclass(slots=True)
class Settle:
    """Follows one file, or several that belong together."""

    rest: float = 0.5  # seconds without a change
    patience: float = 30.0  # seconds of changes after which they are told of
    seen: object = None  # as last looked at
    since: float = 0.0
    restless_since: float | None = None
    told: bool = False
    done: object = field(default=None)  # what was read last

    def look(self, stamp: object, now: float) -> Look:
        """What to do about the file as it is now; `stamp` None where it can't be looked at."""
        if stamp is None:
            self.seen = None
            return "wait"
        if stamp != self.seen:
            self.seen, self.since = stamp, now
            if stamp == self.done:
                # It is again as it was when it was read: nothing to do, but it may be flipping.
                return self.restless(now)
            return self.restless(now)
        if stamp == self.done:
            self.restless_since, self.told = None, False
            return "same"
        if now - self.since < self.rest:
            return self.restless(now)
        return "read"

    def restless(self, now: float) -> Look:
        if self.restless_since is None:
            self.restless_since = now
        if not self.told and now - self.restless_since >= self.patience:
            self.told = True
            return "restless"
        return "wait"

    def taken(self) -> None:
        """It was read as it was last seen, whatever became of it."""
        self.done = self.seen
        self.restless_since, self.told = None, False
