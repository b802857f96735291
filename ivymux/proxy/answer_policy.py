"""What a backend's answer means to a door of the system, and what its client is told in the end.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from ivymux.data_plane.answer_policy import AnswerPolicy
from orchidhill.interface import Outcome

SEAL = b"server-seal"
NOT_RUN = b"not-executed"
ID = b"try-id"
PROMISES = (408, 421, 429, 503)  # to a client they say that its request has not run


@dataclass(frozen=True, slots=True)
class ProxyAnswerPolicy(AnswerPolicy):
    def outcome(self, status: int, not_started: bool) -> Outcome:
        """Only `Not-Executed` and 421 say that a backend did not run a request."""
        if status == 421 or (not_started and status in (400, 408, 429, 503)):
            return Outcome.FULL
        return Outcome.ERROR if status >= 500 or status in PROMISES else Outcome.OK

    def is_valid(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """A success carries its backend's seal and the backend's own bytes, and names its request."""
        if not 200 <= status < 300:
            return True
        names = {name for name, _ in headers}
        return SEAL in names and ID in names and b"content-encoding" not in names

    def client_status(self, status: int) -> int:
        """A backend's status that promises more than the backend knows reaches no client."""
        return 502 if status in PROMISES else status

    def refusal_status(self, over_quota: bool, last_outcome: Outcome | None) -> int:
        if last_outcome is not None and not last_outcome.never_ran:
            return self.failure_status(last_outcome)
        return 429 if over_quota else 503


def proxy_answer_policy(most_body: int, held: int) -> ProxyAnswerPolicy:
    return ProxyAnswerPolicy(True, most_body, held, NOT_RUN, ID, True)
