"""Requests whose clients have left before their answer: what ends with them, and counts of it.  Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LATE_AFTER_S = 0.5  # seconds behind its client's leaving by which work for a request should have ended


class OnDeparture(Enum):
    """What becomes of a request's attempts at backends once nobody waits for its answer."""

    RUN_ON = "run on"  # they end by themselves and are reported, as the platform's protocol has it
    CANCEL_UNWRITTEN = "cancel unwritten"  # those that a backend may have begun run on
    CANCEL = "cancel"  # all end: what they do is of use to nobody

    @classmethod
    def for_request(cls, repeatable: bool) -> OnDeparture:
        """A request that may not be repeated is not cut off: nobody would know whether it had run."""
        return cls.CANCEL if repeatable else cls.CANCEL_UNWRITTEN

    def cancels_attempt(self, written: bool) -> bool:
        """Whether an attempt ends with its client, by whether any of it has been written to a backend."""
        return self is OnDeparture.CANCEL or (self is OnDeparture.CANCEL_UNWRITTEN and not written)


@dataclass(slots=True)
class DepartureCounts:
    """Counts of requests that were left unanswered, and of their attempts at backends."""

    requests: int = 0  # whose client left before its answer
    attempts: int = 0  # of them that were out as the client left
    unwritten: int = 0  # of these, with nothing written yet
    cancelled: int = 0  # of these, given up because the client had left
    late: int = 0  # of these, that ended later than LATE_AFTER_S behind the leaving
    longest_s: float = 0.0  # seconds between a client's leaving and the end of an attempt for it
    logged_requests: int = 0  # `requests` as of the last line

    def record_departure(self, attempts: int, unwritten: int) -> None:
        """A client has left a request that has `attempts` out, `unwritten` of them not written at all."""
        self.requests += 1
        self.attempts += attempts
        self.unwritten += unwritten

    def record_attempt_end(self, seconds: float, cancelled: bool) -> None:
        """An attempt ended so many seconds after its client had left."""
        self.cancelled += cancelled
        self.late += seconds > LATE_AFTER_S
        self.longest_s = max(self.longest_s, seconds)

    def log_line(self) -> str:
        """For the log; empty where no client has left since the last line."""
        if self.requests == self.logged_requests:
            return ""
        self.logged_requests = self.requests
        return (
            f"clients left {self.requests} requests unanswered with {self.attempts} attempts out"
            f" ({self.unwritten} unwritten); {self.cancelled} cancelled for it, {self.late} ended over"
            f" {LATE_AFTER_S} s later, the longest {self.longest_s:.2f} s"
        )
