"""The clock that gateways share for their quota windows: the counter service's.  Pure.

The name of a quota window's counter is derived from the time.  Two gateways whose clocks differ by a second
would lease from two names for a second of each window, and compute different fill levels of the token bucket
of one name.  The counter service's clock is read over its connections as in Cristian, "Probabilistic clock
synchronization", 1989: the reply is assumed to be from the middle of the call, an error of at most half the
call's duration.  Between readings, and without a counter service, the clock advances with the machine's
monotonic clock.  A step of the gateway's own wall clock has no effect.

The callers pass in the monotonic time, in seconds.
"""

from __future__ import annotations

MAX_ROUND_TRIP_S = 0.05  # slower readings are ignored; the error is at most half of this
MIN_RATE, MAX_RATE = 0.5, 2.0  # seconds per second while the clock is corrected
MIN_CORRECTION_S = 0.005  # smaller differences are ignored


class SharedClock:
    """A Unix clock that advances steadily while it is synchronized with the counter service."""

    def __init__(self, wall: float, now: float) -> None:
        """`wall`: Unix time of the gateway's own clock, used until the first reading."""
        self.offset = wall - now  # from the monotonic time to the Unix time
        self.last_time, self.last_read_at = wall, now
        self.is_synchronized = False

    def on_reading(self, sent_at: float, received_at: float, unix_time: float) -> None:
        """Use a reading of the counter service's Unix time that was requested and received at these times."""
        if not 0 <= received_at - sent_at <= MAX_ROUND_TRIP_S:
            return
        offset = unix_time - (sent_at + received_at) / 2
        if not self.is_synchronized:
            # No request was served with this clock yet, so it can be set at once.
            self.is_synchronized, self.offset = True, offset
            self.last_time, self.last_read_at = received_at + offset, received_at
        elif abs(offset - self.offset) > MIN_CORRECTION_S:
            self.offset = offset

    def read(self, now: float) -> float:
        """Return the Unix time.

        It never goes back, stops or jumps, because deadlines depend on it.
        """
        elapsed = max(0.0, now - self.last_read_at)
        earliest, latest = self.last_time + elapsed * MIN_RATE, self.last_time + elapsed * MAX_RATE
        self.last_time = min(max(now + self.offset, earliest), latest)
        self.last_read_at = max(now, self.last_read_at)
        return self.last_time
