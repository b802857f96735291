"""Counts of how requests ended: with a backend's answer, or with one of the gateway's own.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, fields

from ivymux.data_plane.frontend import Answer

FAILURE_STATUSES = (500, 502, 504)  # which leave open whether the request was executed


@dataclass(slots=True)
class RequestEndings:
    """Counts since the start of the process, or since an earlier moment."""

    backend_answers: int = 0
    own_answers: int = 0  # refusals and failures of the gateway itself
    own_failures: int = 0  # of these, failures
    broken_off_attempts: int = 0  # given up before their timeout, while a backend may have been at work
    replaced_answers: int = 0  # failures of the gateway's own for requests with such an attempt

    def record_answer(self, answer: Answer, has_broken_off: bool) -> None:
        """Count an answer; `has_broken_off`: an attempt of its request was broken off."""
        if answer.headers is not None:
            self.backend_answers += 1
            return
        self.own_answers += 1
        if answer.status in FAILURE_STATUSES:
            self.own_failures += 1
            self.replaced_answers += has_broken_off

    def copy(self) -> RequestEndings:
        return RequestEndings(*(getattr(self, field.name) for field in fields(self)))

    def since(self, earlier: RequestEndings) -> RequestEndings:
        """Return the counts since an earlier copy was made."""
        names = [field.name for field in fields(self)]
        return RequestEndings(*(getattr(self, name) - getattr(earlier, name) for name in names))

    def describe(self) -> str:
        """Return the counts as part of a log line."""
        return (
            f"{self.backend_answers} requests answered by backends, {self.own_answers} by the gateway"
            f" ({self.own_failures} as failed, {self.replaced_answers} of these after an attempt was broken"
            f" off), {self.broken_off_attempts} attempts broken off"
        )
