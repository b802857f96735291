"""What the data plane asks of a front: what a request may ask for, and how an answer is worded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ivymux.data_plane.client_departures import OnDeparture
from orchidhill import interface as i

Headers = list[tuple[bytes, bytes]]
CLOSE_CONNECTION = 0  # the status of an answer that is none: the connection is closed in its place


class BadRequest(ValueError):
    """What a client sent can't be served; the text tells it why, `status` is the answer's."""

    def __init__(self, text: str, status: int = 400, headers: Headers | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers


@dataclass(slots=True)
class Answer:
    """A final answer.  With `headers` it is a worker's, with those it came with; else the front door's own,
    with what it adds in `extra`.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after: float = 0.0
    headers: Headers | None = None
    extra_headers: Headers | None = None


class Claim(Protocol):
    """An action that is claimed before it goes to a backend, so that it goes there once."""

    def acquire(self, go: Callable[[Answer | None], None]) -> None:
        """`go` hears None where the action may be sent, else its answer."""

    def finish(self, answer: Answer | None, ran: bool) -> None:
        """It is over: with a backend's answer, without one, or (not `ran`) without having run."""


@dataclass(slots=True)
class Call:
    """A request that a front has taken."""

    unique_key: bytes  # no second request with it may be open; empty for none
    deadline: float  # monotonic time at which its client gives up
    make_event: Callable[[int], i.Request]  # the module's event, given its number
    make_payload: Callable[[float], bytes]  # what goes to a backend, given the seconds that are left
    is_head: bool = False  # whether answers to it have no body
    request_id: bytes = b""  # the request's id, as its answers tell it
    on_finished: Callable[[], None] | None = None  # hears when it is answered and none of its attempts is out
    make_payload_for: Callable[[float, int], bytes] | None = (
        None  # in place of `payload`: what goes to one backend
    )
    claim: Claim | None = None
    hold_s: float = 0.0  # seconds for which it is held before the module hears of it
    drops_answer: bool = False  # whether a backend's answer to it is not passed on
    on_departure: OnDeparture = OnDeparture.RUN_ON


class Frontend(Protocol):
    """One kind of front door: the platform's, or one of ordinary HTTP."""

    max_body_bytes: int  # bytes of a request's body
    allows_half_close: bool  # whether a client that has ended its sending is still answered
    closes_after_refusal: (
        bool  # whether a refusal's connection is closed: its descriptor may be of use to others
    )
    header_too_large_status: int = 400  # of the answer to a header that is too large
    max_unread_clients: int  # clients that may leave answers unread; more of them make the first give way

    def answer_locally(self, target: bytes) -> Answer | None:
        """The answer to a request that is the front door's own, such as its readiness."""

    def accept(
        self, method: bytes, target: bytes, headers: Headers, body: list[bytes], began: float, peer: str
    ) -> Call | Answer:
        """The request's terms.  Raises BadRequest for what must not reach the module or a backend."""

    def refusal(self, error: BadRequest) -> Answer:
        """The answer to what could not be taken."""

    def encode(self, answer: Answer, close: bool, call: Call | None) -> bytes:
        """An answer as bytes; `call` is what it answers, where that was taken."""
