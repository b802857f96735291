"""What a worker's answer means to a front door, and what its client is told in the end.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from orchidhill.interface import Outcome


@dataclass(frozen=True, slots=True)
class AnswerPolicy:
    """How a front door reads answers.

    `whole`: a worker's status and headers reach the client, also those of an error; else only its 200s
    do.  `most_body`: bytes of an answer's body.  `held`: bytes of all answers that are coming in.
    """

    passes_all_statuses: bool
    max_body_bytes: int
    max_held_bytes: int
    not_run_header: bytes = b"not-started"  # the header by which a worker says that it did not run a request
    request_id_header: bytes = (
        b""  # the header, if any, in which an answer names the request that it belongs to
    )
    requires_framing: bool = (
        False  # whether an answer without a length, ended by its connection's end, is broken off
    )

    def outcome(self, status: int, not_started: bool) -> Outcome:
        """The outcome of an attempt that was answered whole.

        Of ordinary HTTP the answers 500, 502, 503 and 504 (RFC 9110, 15.6) say that the worker failed at
        it; all others are its last word, whatever they tell.
        """
        if status in (503, 504) and not_started:
            return Outcome.FULL
        served = status not in (500, 502, 503, 504) if self.passes_all_statuses else status == 200
        return Outcome.OK if served else Outcome.ERROR

    def is_valid(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether an answer may be passed on as what it says it is."""
        return True

    def client_status(self, status: int) -> int:
        """The status under which a worker's answer reaches the client."""
        return status

    def refusal_status(self, beyond: bool, last: Outcome | None) -> int:
        """The status of a refusal; `beyond`: for the customer's quota (RFC 6585, 4).

        To ordinary clients a refusal says that nothing was done.  Where the last attempt may have run it
        is told as that attempt ended, though the request's class makes another try harmless.
        """
        if not self.passes_all_statuses:
            return 503
        if last is not None and not last.never_ran:
            return self.failure_status(last)
        return 429 if beyond else 503

    def failure_status(self, last: Outcome | None) -> int:
        """The status of a failure, by how the last attempt ended."""
        return 504 if self.passes_all_statuses and last is Outcome.TIMEOUT else 502


def has_no_body(status: int, head: bool) -> bool:
    """Whether an answer ends with its header section, whatever that announces (RFC 9112, 6.3)."""
    return head or status in (204, 304)


PLATFORM_POLICY = AnswerPolicy(
    passes_all_statuses=False, max_body_bytes=64 * 1024, max_held_bytes=1 << 62
)  # by the platform's protocol
