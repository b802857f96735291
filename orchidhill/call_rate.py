"""How many calls a gateway makes to the counter: a pace that follows from their answers.  Pure.

Up slowly, down when a call is turned away or slow, as a crowded counter's are; after a silence doubling
back to half.  A gateway of many has a few calls a second: by a step for each answer it would take a minute to
find what the counter bears.  It goes up by time, the faster the longer ago its last cut is, as all of them
together must not rush in behind each cut.

A connection that breaks fails its calls at once and says nothing of how many the counter bears until most
fail: then it is away.  Slowing down for each would leave all to the local shares, where one call in twelve
fails by chance.  It would do harm with a counter that resets connections to say that it is full.
"""

from __future__ import annotations

from orchidhill.interface import Outcome

LEAST, PART = (
    60.0,
    0.01,
)  # calls a second of all gateways while it answers nothing: enough to see it come back
UP = 1.01  # factor on the pace for each quick answer while it binds
STEPS = 12.0  # of many gateways: so many such factors in a second, for each second since the last cut
CUT = 0.88  # and for each call that fails or takes half its time-out
FAST = 48.0  # and this at the most, or six for each eight gateways if that is less
BURST = 4.0  # calls at once, besides what the pace gives in AT_ONCE: few requests come unevenly
AT_ONCE = 0.1  # seconds


class Pace:
    """One gateway's part of the `total` calls a second that the counter bears to begin with."""

    def __init__(self, total: float, peers: int, timeout: float, left: float) -> None:
        """`timeout`: seconds for a call; `left`: calls that may be made at the start."""
        self.rate, self.least = total / peers, max(LEAST, PART * total) / peers
        self.timeout, self.of_many = timeout, peers > 8
        self.fast = min(FAST, 6 * peers / 8)
        self.steady, self.cut_at = self.rate, 0.0  # before the counter's trouble; the last cut
        self.left, self.at = left, 0.0
        self.heard = 0.0  # the last answer

    @property
    def many(self) -> bool:
        """Whether what the pace gives at once is more than the burst: else requests wait for their turn."""
        return self.rate * AT_ONCE > BURST

    def budget(self, now: float) -> float:
        """Calls that may be made now."""
        return min(BURST + self.rate * AT_ONCE, self.left + (now - self.at) * self.rate)

    def spare(self, now: float) -> bool:
        """Whether there are calls enough for those that only refine a decision."""
        return self.budget(now) > 1 + self.rate * AT_ONCE / 2

    def called(self, now: float) -> None:
        self.left, self.at = self.budget(now) - 1, now

    def answered(self, now: float, outcome: Outcome, spent: float, away: bool) -> None:
        """Take in how a call ended after `spent` seconds; `away`: most calls fail."""
        good, slow = outcome is Outcome.OK, spent >= self.timeout / 2
        since, self.heard = min(1.0, now - self.heard), now
        if good and not slow:
            if self.rate < self.steady / 2:
                self.rate *= 2
            elif self.budget(now) < 1.0:
                steps = since * min(self.fast, STEPS * (now - self.cut_at)) if self.of_many else 1.0
                self.rate *= UP**steps
                self.steady = max(self.steady, self.rate)
        elif (away or slow or outcome is Outcome.FULL) and now - self.cut_at > 2 * self.timeout:
            self.rate = max(self.least, self.rate * CUT ** (1 + away))
            self.steady, self.cut_at = self.steady if away else self.rate, now
