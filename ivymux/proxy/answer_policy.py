"""How a proxy interprets backends' answers, and which status a client gets.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from ivymux.data_plane.answer_policy import AnswerPolicy
from orchidhill.interface import Outcome

SEAL_HEADER = b"server-seal"
NOT_RUN_HEADER = b"not-executed"
REQUEST_ID_HEADER = b"try-id"
NOT_RUN_STATUSES = (408, 421, 429, 503)  # which tell a client that its request has not been executed


@dataclass(frozen=True, slots=True)
class ProxyAnswerPolicy(AnswerPolicy):
    """The answer policy of the system's own protocol between proxies, backends and clients."""

    def outcome(self, status: int, not_started: bool) -> Outcome:
        """Only `Not-Executed` and 421 mean that a backend did not execute a request."""
        if status == 421 or (not_started and status in (400, 408, 429, 503)):
            return Outcome.FULL
        return Outcome.ERROR if status >= 500 or status in NOT_RUN_STATUSES else Outcome.OK

    def is_valid(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether a success has its backend's seal, its request's id, and an unencoded body."""
        if not 200 <= status < 300:
            return True
        names = {name for name, _ in headers}
        return SEAL_HEADER in names and REQUEST_ID_HEADER in names and b"content-encoding" not in names

    def may_pass_on(self, status: int) -> bool:
        """Whether a status tells the client no more than the backend knows."""
        return status not in NOT_RUN_STATUSES

    def refusal_status(self, over_quota: bool, last_outcome: Outcome | None) -> int:
        if last_outcome is not None and not last_outcome.never_ran:
            return self.failure_status(last_outcome)
        return 429 if over_quota else 503


def proxy_answer_policy(max_body_bytes: int, max_held_bytes: int) -> ProxyAnswerPolicy:
    return ProxyAnswerPolicy(
        passes_all_statuses=True,
        max_body_bytes=max_body_bytes,
        max_held_bytes=max_held_bytes,
        not_run_header=NOT_RUN_HEADER,
        request_id_header=REQUEST_ID_HEADER,
        requires_framing=True,
    )
