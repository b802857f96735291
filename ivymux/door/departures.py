"""Requests whose clients have left: counts since the start, for the log and the metrics.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

BOUND = 0.5  # seconds behind its client's leaving by which work for a request should have ended


@dataclass(slots=True)
class Departures:
    """Counts of requests that were left unanswered, and of their attempts at backends."""

    requests: int = 0  # whose client left before its answer
    attempts: int = 0  # of them that were out as the client left
    unwritten: int = 0  # of these, with nothing written yet
    cancelled: int = 0  # of these, given up because the client had left
    overran: int = 0  # of these, that ended later than BOUND behind the leaving
    longest: float = 0.0  # seconds between a client's leaving and the end of an attempt for it
    logged: int = 0  # `requests` as of the last line

    def left(self, attempts: int, unwritten: int) -> None:
        """A client has left a request that has `attempts` out, `unwritten` of them not written at all."""
        self.requests += 1
        self.attempts += attempts
        self.unwritten += unwritten

    def ended(self, seconds: float, cancelled: bool) -> None:
        """An attempt ended so many seconds after its client had left."""
        self.cancelled += cancelled
        self.overran += seconds > BOUND
        self.longest = max(self.longest, seconds)

    def line(self) -> str:
        """For the log; empty where no client has left since the last line."""
        if self.requests == self.logged:
            return ""
        self.logged = self.requests
        return (
            f"clients left {self.requests} requests unanswered with {self.attempts} attempts out"
            f" ({self.unwritten} unwritten); {self.cancelled} cancelled for it, {self.overran} ended over"
            f" {BOUND} s later, the longest {self.longest:.2f} s"
        )
