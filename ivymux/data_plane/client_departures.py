"""Clients that disconnect before their answer: which attempts are cancelled, and counts of them.  Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LATE_AFTER_S = 0.5  # after a client's disconnect, when the attempts of its request should have ended


class OnDeparture(Enum):
    """What happens to a request's attempts when its client disconnects."""

    RUN_ON = "run on"  # they continue and are reported, as the platform's protocol demands
    CANCEL_UNWRITTEN = "cancel unwritten"  # attempts that a backend may have started continue
    CANCEL = "cancel"  # all are cancelled, as their results are not used

    @classmethod
    def for_request(cls, repeatable: bool) -> OnDeparture:
        """Return the rule for a request by whether it may be repeated.

        An unrepeatable request is never cancelled after it was written: its outcome would be unknown.
        """
        return cls.CANCEL if repeatable else cls.CANCEL_UNWRITTEN

    def cancels_attempt(self, written: bool) -> bool:
        """Whether an attempt is cancelled; `written`: part of it has been written to a backend."""
        return self is OnDeparture.CANCEL or (self is OnDeparture.CANCEL_UNWRITTEN and not written)


@dataclass(slots=True)
class DepartureCounts:
    """Counts of requests whose client disconnected before the answer, and of their attempts."""

    requests: int = 0
    attempts: int = 0  # in flight at the disconnect
    unwritten: int = 0  # of these attempts, with nothing written yet
    cancelled: int = 0  # of these attempts, given up because of the disconnect
    late: int = 0  # of these attempts, ended more than LATE_AFTER_S after the disconnect
    longest_s: float = 0.0  # maximum from a disconnect to the end of an attempt
    logged_requests: int = 0  # value of `requests` in the last log line

    def record_departure(self, attempts: int, unwritten: int) -> None:
        """Count a disconnect with `attempts` in flight, of which `unwritten` have not been written."""
        self.requests += 1
        self.attempts += attempts
        self.unwritten += unwritten

    def record_attempt_end(self, seconds: float, cancelled: bool) -> None:
        """Count an attempt that ended `seconds` after the disconnect."""
        self.cancelled += cancelled
        self.late += seconds > LATE_AFTER_S
        self.longest_s = max(self.longest_s, seconds)

    def log_line(self) -> str:
        """Return a line for the log; empty if no client has disconnected since the last one."""
        if self.requests == self.logged_requests:
            return ""
        self.logged_requests = self.requests
        return (
            f"clients left {self.requests} requests unanswered with {self.attempts} attempts out"
            f" ({self.unwritten} unwritten); {self.cancelled} cancelled for it, {self.late} ended over"
            f" {LATE_AFTER_S} s later, the longest {self.longest_s:.2f} s"
        )
