"""Decides what a backend's answer means and which status a client gets.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from orchidhill.interface import Outcome


@dataclass(frozen=True, slots=True)
class AnswerPolicy:
    """How a gateway interprets the answers of its backends."""

    passes_all_statuses: bool  # whether each status is passed on with its headers; else only bodies of 200s
    max_body_bytes: int  # of one answer
    # Of the bodies of all answers that are being received or wait for clients; beyond it, reading pauses.
    max_held_bytes: int
    not_run_header: bytes = b"not-started"  # in which a backend says that it did not execute a request
    request_id_header: bytes = b""  # in which an answer repeats its request's id; empty if it does not
    requires_framing: bool = False  # whether an answer without length or chunks counts as cut off
    # Whether a backend begins a request only after its last byte.  Ordinary HTTP servers may begin before.
    starts_after_last_byte: bool = False

    def outcome(self, status: int, not_started: bool) -> Outcome:
        """Return the outcome of an attempt with a complete answer.

        If all statuses are passed on, 500, 502, 503 and 504 (RFC 9110, 15.6) mean that the backend failed,
        and every other status is a final answer; else only 200 is.
        """
        if status in (503, 504) and not_started:
            return Outcome.FULL
        is_final = status not in (500, 502, 503, 504) if self.passes_all_statuses else status == 200
        return Outcome.OK if is_final else Outcome.ERROR

    def is_valid(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether an answer may be passed on to the client."""
        return True

    def may_pass_on(self, status: int) -> bool:
        """Whether a backend's answer may reach the client as it is; else the client gets a failure."""
        return True

    def refusal_status(self, over_quota: bool, last_outcome: Outcome | None) -> int:
        """Return the status of a refusal: 429 if the customer is `over_quota` (RFC 6585, 4), else 503.

        Clients of ordinary HTTP take a refusal to mean that nothing was done.  If the last attempt may have
        been executed, they get the status of a failure, even if a retry of the request would be harmless.
        """
        if not self.passes_all_statuses:
            return 503
        if last_outcome is not None and not last_outcome.never_ran:
            return self.failure_status(last_outcome)
        return 429 if over_quota else 503

    def failure_status(self, last_outcome: Outcome | None) -> int:
        """Return the status of a failed request by the outcome of its last attempt."""
        return 504 if self.passes_all_statuses and last_outcome is Outcome.TIMEOUT else 502


def has_no_body(status: int, is_head: bool) -> bool:
    """Whether an answer ends with its header section, whatever length that announces (RFC 9112, 6.3)."""
    return is_head or status in (204, 304)


PLATFORM_POLICY = AnswerPolicy(
    passes_all_statuses=False,
    max_body_bytes=64 * 1024,
    max_held_bytes=1 << 62,  # the platform's protocol sets no limit on the bodies of all answers together
    starts_after_last_byte=True,
)
