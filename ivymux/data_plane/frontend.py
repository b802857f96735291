"""The interface between the data plane and a frontend: requests, answers, claims and their encoding."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ivymux.data_plane.body_buffer import Blocks, total_length
from ivymux.data_plane.client_departures import OnDeparture
from orchidhill import interface as i

Headers = list[tuple[bytes, bytes]]
CLOSE_CONNECTION = 0  # as an answer's status: no answer is sent and the connection is closed


class BadRequest(ValueError):
    """A request that can't be served; its text and `status` go to the client."""

    def __init__(self, text: str, status: int = 400, headers: Headers | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers


@dataclass(slots=True)
class Answer:
    """A final answer.

    With `headers` it comes from a backend, which sent them; else from the gateway, which may add
    `extra_headers`.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after: float = 0.0  # seconds; 0 for no Retry-After
    headers: Headers | None = None
    extra_headers: Headers | None = None
    long_body: Blocks = ()  # in place of `body`, if it is long

    @property
    def body_length(self) -> int:
        """The length of the body in bytes."""
        return len(self.body) + total_length(self.long_body)

    def whole_body(self) -> bytes:
        """Return the body in one piece; a long one takes its memory once more."""
        return b"".join(self.long_body) if self.long_body else self.body


class Claim(Protocol):
    """The exclusive right to run an action, acquired before the action is sent to a backend."""

    def acquire(self, on_result: Callable[[Answer | None], None]) -> None:
        """Call `on_result` with None if the action may be sent, else with the answer to the request."""

    def look_up(self, on_result: Callable[[Answer | None], None]) -> None:
        """Call `on_result` with the answer to an action that may have run before, else with None.

        Used in place of `acquire` for a request that is about to be refused.
        """

    def finish(self, answer: Answer | None, ran: bool) -> None:
        """End the claim with the backend's answer, if any; `ran`: the action may have been executed."""


@dataclass(slots=True)
class Call:
    """A request that a frontend has accepted."""

    unique_key: bytes  # a second open request with the same key is refused; empty for no check
    deadline: float  # monotonic time at which its client gives up
    make_event: Callable[[int], i.Request]  # makes the event for the decision module, by request number
    make_payload: Callable[[float], bytes]  # makes the bytes for a backend, by the seconds left
    is_head: bool = False  # whether answers to it have no body
    request_id: bytes = b""  # which answers to it repeat
    on_finished: Callable[[], None] | None = None  # called when it is answered with no attempts in flight
    # Replaces `make_payload` if the bytes depend on the backend; by the seconds left and the backend.
    make_payload_for: Callable[[float, int], bytes] | None = None
    claim: Claim | None = None
    hold_s: float = 0.0  # delay before it is passed to the decision module (fault injection)
    drops_answer: bool = False  # whether the client gets no answer from a backend (fault injection)
    on_departure: OnDeparture = OnDeparture.RUN_ON
    body: Blocks = ()  # sent behind the payload; a long one is never copied into it

    def release(self) -> None:
        """Drop what was only needed to send the request, such as its body; called once it is finished.

        A request, its exchange and its call refer to each other, so all of them stay in memory until the
        garbage collector runs.
        """
        self.body = ()
        self.make_payload, self.make_payload_for = _released_payload, None
        self.claim = self.on_finished = None


def _released_payload(seconds_left: float) -> bytes:
    raise AssertionError("the request is finished")


class Frontend(Protocol):
    """Implements a protocol with clients: the platform's, the proxy's, or ordinary HTTP."""

    max_body_bytes: int  # of a request
    allows_half_close: bool  # whether a client that has closed its sending side still gets its answers
    closes_after_refusal: bool  # whether a refusal closes the connection, which frees its descriptor
    header_too_large_status: int = 400
    max_unread_clients: int  # with full write buffers; if there are more, the longest waiting is closed

    def answer_locally(self, target: bytes) -> Answer | None:
        """Return the answer to a request for the gateway itself, such as its readiness, else None."""

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Blocks,
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        """Validate a request; return it as a call, or its answer if it needs no backend.

        `received_at`: monotonic time of its first byte.  Raises BadRequest for requests that must reach
        neither the decision module nor a backend.
        """

    def refusal(self, error: BadRequest) -> Answer:
        """Return the answer to a refused request."""

    def encode(self, answer: Answer, close: bool, call: Call | None) -> Blocks:
        """Return an answer as pieces of bytes; `call`: the request it answers, None if that was refused."""
