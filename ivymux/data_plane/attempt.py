"""Attempts: single transmissions of a request to a backend, and how they end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ivymux.data_plane.body_buffer import Blocks
from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.piece_writer import write_pieces
from orchidhill.interface import Outcome

if TYPE_CHECKING:
    from ivymux.data_plane.backend_connection import BackendConnection


@dataclass(slots=True)
class Result:
    """How an attempt or a probe ended."""

    outcome: Outcome
    spent: float  # seconds
    report: tuple[float, ...] = ()  # the load report, in the order of the settings' columns
    body: bytes = b""
    content_type: bytes = b""
    status: int = 0  # of the backend, if its answer may be passed on
    headers: list[tuple[bytes, bytes]] | None = None  # likewise
    long_body: Blocks = ()  # in place of `body`, if it is long

    def backend_answer(self) -> Answer:
        """Return the backend's answer as it was given; statuses that are not passed on count as 200."""
        return Answer(
            self.status or 200, self.body, self.content_type, headers=self.headers, long_body=self.long_body
        )


class Attempt:
    """One transmission of a request to one backend; `on_done` is called exactly once, when it ends."""

    __slots__ = (
        "body",
        "connection",
        "give_up_outcome",
        "is_finished",
        "is_head",
        "on_done",
        "payload",
        "request_id",
        "started_at",
        "timer",
    )

    def __init__(
        self,
        payload: bytes,
        on_done: Callable[[Result], None],
        is_head: bool = False,
        request_id: bytes = b"",
        body: Blocks = (),
    ) -> None:
        """`body`: sent behind the payload."""
        self.payload, self.body = payload, body
        self.on_done, self.is_head = on_done, is_head
        self.request_id = request_id  # which its answer has to repeat
        self.started_at = time.perf_counter()
        self.connection: BackendConnection | None = None  # set just before the first byte is written
        self.timer: asyncio.TimerHandle | None = None
        self.give_up_outcome: Outcome | None = None  # set while its connection is being aborted
        self.is_finished = False

    @property
    def is_written(self) -> bool:
        """Whether a backend may have read part of it."""
        return self.connection is not None

    def write_to(self, transport: asyncio.Transport) -> None:
        """Write its bytes, and drop them; a long body is not copied."""
        write_pieces(transport, (self.payload, *self.body))
        self.payload, self.body = b"", ()

    def finish(self, result: Result) -> None:
        """End the attempt with a result; later calls have no effect."""
        if not self.is_finished:
            self.is_finished = True
            self.payload, self.body = b"", ()
            if self.timer is not None:
                self.timer.cancel()
            self.on_done(result)

    def fail(self, outcome: Outcome) -> None:
        self.finish(Result(outcome, time.perf_counter() - self.started_at))

    def give_up(self, outcome: Outcome) -> None:
        """Abandon the attempt.

        If bytes were written, `on_done` is called only after the connection has been closed: otherwise a
        retry could be in flight at the same time as this attempt.
        """
        if self.is_finished or self.give_up_outcome is not None:
            return
        if self.connection is None:
            # Nothing was written, so the request was not executed, whatever the reason for giving it up.
            self.fail(Outcome.MOOT if outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        else:
            self.give_up_outcome = outcome
            self.connection.abort()
