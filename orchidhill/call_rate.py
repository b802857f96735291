"""Adaptive limit on a gateway's calls to the counter, driven by their outcomes (AIMD-like).  Pure.

The rate rises slowly and is cut when a call is rejected or slow, as by an overloaded counter.  After an
outage it doubles until it is back at half of the old rate.  A gateway of a large fleet has few calls per
second: rising with each answer would take it a minute to find the counter's capacity.  So there the rate
rises with time, and faster the longer ago the last cut was, lest all gateways rise right after each cut.

A broken connection fails its calls at once and says nothing about the counter's capacity unless most calls
fail, which is an outage.  In a network where one call in twelve fails at random, a cut for each failure would
leave all decisions to the local shares.  The rule does harm if a counter signals overload by resets.
"""

from __future__ import annotations

from orchidhill.interface import Outcome

MIN_TOTAL_RATE = 60.0  # calls per second of all gateways during an outage: enough to notice its end
MIN_RATE_SHARE = 0.01  # the same as a part of the initial total rate, if that is more
RISE_FACTOR = 1.01  # factor on the rate for each quick answer while the rate is the limit
RISES_PER_S = 12.0  # in a large fleet: such factors per second, for each second since the last cut
MAX_RISES_PER_S = 48.0  # maximum of such factors per second, or 6 for every 8 gateways if that is less
CUT_FACTOR = 0.88  # on the rate, for each call that fails or takes half of its time-out
BURST_CALLS = 4.0  # at once, besides BURST_S at the current rate: a small fleet's requests come unevenly
BURST_S = 0.1


class CallRate:
    """Token bucket for one gateway's part of `total` calls per second, the counter's assumed capacity."""

    def __init__(self, total: float, peers: int, timeout: float, tokens: float) -> None:
        """`timeout`: seconds allowed for a call; `tokens`: calls that may be made at the start."""
        self.rate, self.min_rate = total / peers, max(MIN_TOTAL_RATE, MIN_RATE_SHARE * total) / peers
        self.timeout, self.is_large_fleet = timeout, peers > 8
        self.max_rises = min(MAX_RISES_PER_S, 6 * peers / 8)
        self.steady_rate, self.cut_at = self.rate, 0.0  # the rate before an outage; the last cut
        self.tokens, self.tokens_at, self.answered_at = tokens, 0.0, 0.0

    @property
    def is_plentiful(self) -> bool:
        """Whether BURST_S at the current rate exceeds BURST_CALLS; else requests wait for their turn."""
        return self.rate * BURST_S > BURST_CALLS

    def budget(self, now: float) -> float:
        """Return the number of calls that may be made now."""
        return min(BURST_CALLS + self.rate * BURST_S, self.tokens + (now - self.tokens_at) * self.rate)

    def has_spare(self, now: float) -> bool:
        """Whether the budget also covers calls that only refine a decision."""
        return self.budget(now) > 1 + self.rate * BURST_S / 2

    def record_call(self, now: float) -> None:
        self.tokens, self.tokens_at = self.budget(now) - 1, now

    def record_answer(self, now: float, outcome: Outcome, spent: float, is_outage: bool) -> None:
        """Adapt the rate to a call that ended after `spent` seconds; `is_outage`: whether most calls fail."""
        good, slow = outcome is Outcome.OK, spent >= self.timeout / 2
        elapsed, self.answered_at = min(1.0, now - self.answered_at), now
        if good and not slow:
            if self.rate < self.steady_rate / 2:
                self.rate *= 2
            elif self.budget(now) < 1.0:
                rises_per_s = min(self.max_rises, RISES_PER_S * (now - self.cut_at))
                self.rate *= RISE_FACTOR ** (elapsed * rises_per_s if self.is_large_fleet else 1.0)
                self.steady_rate = max(self.steady_rate, self.rate)
        elif (is_outage or slow or outcome is Outcome.FULL) and now - self.cut_at > 2 * self.timeout:
            self.rate = max(self.min_rate, self.rate * CUT_FACTOR ** (1 + is_outage))
            self.steady_rate, self.cut_at = self.steady_rate if is_outage else self.rate, now
