"""HTTP/1.1 connections to backends: pools, attempts and their outcomes, load reports and probes."""

from __future__ import annotations

import asyncio
import logging
import re
import select
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from ivymux.data_plane.answer_policy import PLATFORM_POLICY, AnswerPolicy, has_no_body
from ivymux.data_plane.limits import Address
from orchidhill.interface import Outcome

MAX_HEAD_BYTES = 16 * 1024  # of an answer's header section, including interim answers
MAX_CHUNKED_OVERHEAD = 8  # bytes on the wire for each byte of body, as a chunk may hold a single byte
MAX_SHARE_PER_BACKEND = 0.5  # of all connections that one backend may have
IDLE_TIME_SHARE = 0.5  # of a backend's idle timeout, after which an idle connection is closed on this side
SWEEP_INTERVAL_S = 1.0  # between two searches for connections that were idle for too long
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})", re.ASCII | re.IGNORECASE)
REPORT_VALUE = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Result:
    """How an attempt or a probe ended."""

    outcome: Outcome
    spent: float  # seconds
    report: tuple[float, ...] = ()  # the load report, in the order of the settings' columns
    body: bytes = b""
    content_type: bytes = b""
    status: int = 0  # for the client, if the answer policy passes the backend's status on
    headers: list[tuple[bytes, bytes]] | None = None  # likewise


class Attempt:
    """One transmission of a request to one backend; `on_done` is called exactly once, when it ends."""

    __slots__ = (
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
    ) -> None:
        self.payload, self.on_done, self.is_head = payload, on_done, is_head
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

    def finish(self, result: Result) -> None:
        """End the attempt with a result; later calls have no effect."""
        if not self.is_finished:
            self.is_finished = True
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


class InvalidAnswer(Exception):
    """The bytes read are not a valid answer to the attempt; stops the parser."""


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it serves one attempt at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.policy = pool.upstream.answer_policy
        self.idle_since = 0.0
        self.has_unsent_bytes = False  # whether part of the request is still in the write buffer
        self.parser = httptools.HttpResponseParser(self)
        self.poller = select.poll()
        self.body_bytes = 0  # of the answer that is being received
        self.had_mismatch = False  # whether the answer to an earlier request was received instead
        self.keep_alive_s = 0.0  # idle timeout that the backend announced; 0 if none
        self.reset()

    def reset(self) -> None:
        """Prepare for the answer to the next request."""
        self.read_bytes = 0  # of the current answer, including interim answers
        self.pool.upstream.held_bytes -= self.body_bytes
        self.result: Result | None = None  # set once the answer is complete
        self.is_reusable = False
        self.begin_answer()

    def begin_answer(self) -> None:
        """Reset what is known of the answer that is being received."""
        self.has_final_headers = False
        # Whether the answer ended with its header section; the parser then still waits for a body.
        self.is_bodiless = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.content_length = 0
        self.not_started = False  # whether the backend says that it did not execute the request
        self.is_framed = False  # whether the answer's length is known without the connection's end
        self.load_report = b""
        self.answered_request_id = b""
        self.content_type = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        transport.set_write_buffer_limits(high=0)  # `pause_writing` is called as soon as bytes are buffered
        self.transport = transport
        self.poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_usable(self) -> bool:
        """Whether an idle connection can serve an attempt.

        If it is readable before a request is sent, the bytes can't be the answer: they are a repeated
        answer, garbage or the end of the connection.
        """
        return self.transport is not None and not self.transport.is_closing() and not self.poller.poll(0)

    def send(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.transport.write(attempt.payload)
        attempt.payload = b""

    def pause_writing(self) -> None:
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        self.has_unsent_bytes = False

    # --- the answer --------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.abort()  # an answer without a request: the bytes can't be attributed
            return
        self.read_bytes += len(data)
        error: Exception | None = None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as caught:
            error = caught
        if self.result is None:
            if error is not None:
                log.warning("backend %s: invalid answer: %s", self.pool.backend, error.__context__ or error)
            elif self.read_bytes > self.max_answer_bytes():
                log.warning("backend %s: the answer is too long", self.pool.backend)
            else:
                return
            # The request may have been executed.  The connection works, so the outcome is not RESET.
            self.attempt.give_up_outcome = self.attempt.give_up_outcome or Outcome.ERROR
            self.abort()  # ends the attempt, in `connection_lost`
            return
        # Deliver only after all bytes read were parsed: `finish` may start the next attempt on this
        # connection, and bytes after this answer must not count for that attempt.  They do not invalidate
        # this answer.
        self.deliver(
            self.attempt, self.result, self.is_reusable and error is None and not self.has_unsent_bytes
        )

    def max_answer_bytes(self) -> int:
        """Return how many bytes may be read of an answer that is not complete."""
        if self.has_final_headers:
            return MAX_CHUNKED_OVERHEAD * self.policy.max_body_bytes
        return MAX_HEAD_BYTES

    def eof_received(self) -> None:
        """Complete an answer whose length is given only by the end of the connection (RFC 9112, 6.3)."""
        may_end = self.policy.passes_all_statuses and not self.policy.requires_framing
        if may_end and self.has_final_headers and not self.is_framed and self.attempt is not None:
            self.on_answer_complete(self.parser.get_status_code())
            if self.result is not None:
                self.deliver(self.attempt, self.result, is_reusable=False)

    def deliver(self, attempt: Attempt, result: Result, is_reusable: bool) -> None:
        """Finish the attempt with its answer; put the connection back into its pool or close it."""
        self.attempt = None
        if self.is_bodiless and is_reusable:
            self.parser = httptools.HttpResponseParser(self)  # the old one still waits for a body
        self.reset()
        if is_reusable:
            self.pool.put_back(self)
        else:
            self.abort()
        attempt.finish(result)

    def on_message_begin(self) -> None:
        if self.result is not None:
            raise InvalidAnswer("bytes after the answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"server-load":
            self.load_report = value
        elif name == self.policy.not_run_header:
            self.not_started = value == b"1"
        elif name == self.policy.request_id_header:
            if self.answered_request_id and self.answered_request_id != value:
                # Part of another answer has been read as the beginning of this one.
                raise InvalidAnswer("the answer names two requests")
            self.answered_request_id = value
        elif name == b"keep-alive" and self.policy.request_id_header:
            found = KEEP_ALIVE_TIMEOUT.search(value)
            self.keep_alive_s = float(found[1]) if found is not None else 0.0
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.is_framed, self.content_length = True, int(value)  # the parser accepts digits only
        elif name == b"transfer-encoding":
            self.is_framed = True
        if self.policy.passes_all_statuses:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        self.has_final_headers = status >= 200
        attempt = self.attempt if self.has_final_headers and self.policy.passes_all_statuses else None
        if attempt is not None and has_no_body(status, attempt.is_head):
            self.is_bodiless = True
            # A 204 that announces a body may also send it; its connection is not reused.
            self.is_framed = status != 204 or not self.content_length
            self.on_answer_complete(status)
            return
        if self.content_length > self.policy.max_body_bytes:
            raise InvalidAnswer(f"its Content-Length is {self.content_length} bytes")

    def on_chunk_header(self) -> None:
        if self.is_bodiless:
            raise InvalidAnswer("a body after an answer that has none")

    def on_body(self, body: bytes) -> None:
        if self.is_bodiless:
            raise InvalidAnswer("a body after an answer that has none")
        self.body_bytes += len(body)
        self.pool.upstream.held_bytes += len(body)
        if self.body_bytes > self.policy.max_body_bytes:
            raise InvalidAnswer(f"its body is longer than {self.policy.max_body_bytes} bytes")
        if self.pool.upstream.held_bytes > self.policy.max_held_bytes:
            raise InvalidAnswer("too many bytes of answers are buffered")
        self.body.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            self.begin_answer()  # an interim answer; the final one follows
        elif not self.is_bodiless:
            self.on_answer_complete(status)

    def on_answer_complete(self, status: int) -> None:
        """Make the complete answer the result of the attempt, unless it belongs to another request."""
        if self.transport is None or self.transport.is_closing() or self.attempt is None:
            return
        answered_id, expected_id = self.answered_request_id, self.attempt.request_id
        if answered_id and expected_id and answered_id != expected_id:
            # A repeated answer to an earlier request; the expected one may follow.
            if self.is_bodiless:
                raise InvalidAnswer("the answer belongs to another request")
            self.had_mismatch = True
            self.pool.upstream.mismatched_answers += 1
            self.pool.upstream.held_bytes -= self.body_bytes
            self.begin_answer()
            return
        self.result = Result(
            self.policy.outcome(status, self.not_started),
            time.perf_counter() - self.attempt.started_at,
            self.pool.upstream.parse_report(self.load_report),
            b"".join(self.body),
            self.content_type,
        )
        if self.policy.passes_all_statuses:
            self.result.status, self.result.headers = self.policy.client_status(status), self.headers
        if self.result.outcome is Outcome.OK and not self.policy.is_valid(status, self.headers):
            self.result.outcome, self.result.status = Outcome.ERROR, 0
        self.is_reusable = self.parser.should_keep_alive() and self.is_framed and not self.had_mismatch

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.upstream.held_bytes -= self.body_bytes
        self.body_bytes = 0
        self.pool.forget(self)
        if (attempt := self.attempt) is not None:
            self.attempt = None
            self.pool.upstream.interrupted_writes += self.has_unsent_bytes
            # The descriptor is closed only after this call returns, and a retry must not start before that.
            self.pool.upstream.loop.call_soon(attempt.fail, self.outcome_without_answer(attempt))

    def outcome_without_answer(self, attempt: Attempt) -> Outcome:
        """Return the outcome of an attempt whose connection has ended without an answer."""
        reason = attempt.give_up_outcome
        if not (self.has_unsent_bytes and self.policy.starts_after_last_byte):
            return reason or Outcome.RESET  # a backend may have executed it
        return Outcome.MOOT if reason is Outcome.CANCELLED else reason or Outcome.CONNECT_FAILED


class ConnectionPool:
    """The connections to one backend."""

    def __init__(self, upstream: Upstream, backend: int, address: Address, started: float) -> None:
        self.upstream, self.backend, self.address, self.started = upstream, backend, address, started
        self.idle: deque[BackendConnection] = deque()  # the last one was used last and is used next
        self.connections: set[BackendConnection] = set()
        self.connecting_count = 0

    def start_attempt(self, attempt: Attempt) -> None:
        """Send on an idle connection, or on a new one if the limits allow it."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                connection.send(attempt)
                return
            connection.abort()
        max_connections = self.upstream.max_connections * MAX_SHARE_PER_BACKEND
        if self.connecting_count + len(self.connections) >= max_connections or not self.upstream.make_room():
            # Nothing was sent.  The outcome is not CONNECT_FAILED, as the backend is not the cause.
            self.upstream.loop.call_soon(attempt.fail, Outcome.FULL)
            return
        self.connecting_count += 1
        self.upstream.connection_count += 1
        task = self.upstream.loop.create_task(self.connect(attempt))
        self.upstream.tasks.add(task)
        task.add_done_callback(self.upstream.tasks.discard)

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection and send the attempt on it."""
        try:
            async with asyncio.timeout(self.upstream.connect_timeout):
                _, connection = await self.upstream.loop.create_connection(
                    lambda: BackendConnection(self), self.address.host, self.address.port
                )
        except (OSError, TimeoutError):
            self.upstream.connection_count -= 1
            attempt.fail(Outcome.CONNECT_FAILED)
            return
        finally:
            self.connecting_count -= 1
        self.connections.add(connection)
        if connection.transport is None or connection.transport.is_closing():
            self.forget(connection)
            attempt.fail(Outcome.CONNECT_FAILED)
        elif attempt.is_finished:  # given up meanwhile; the connection is kept for the next attempt
            self.put_back(connection)
        else:
            connection.send(attempt)

    def put_back(self, connection: BackendConnection) -> None:
        """Keep a connection for the next attempt, unless its backend has been removed or replaced."""
        if self.upstream.pools.get(self.backend) is not self:
            connection.abort()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)
        self.upstream.schedule_sweep()

    def forget(self, connection: BackendConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.upstream.connection_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        idle, self.idle = self.idle, deque()
        for connection in idle:
            connection.abort()


class Upstream:
    """The connection pools of all backends that discovery has named."""

    def __init__(
        self,
        connect_timeout: float,
        conn_idle: float,
        report_columns: tuple[str, ...],
        max_connections: int,
        answer_policy: AnswerPolicy = PLATFORM_POLICY,
    ) -> None:
        """`connect_timeout` and `conn_idle`, the backends' default idle timeout, are in seconds.

        `report_columns` names the values of a load report; it is empty if there are no reports.
        """
        self.answer_policy = answer_policy
        self.mismatched_answers = 0  # answers that belonged to an earlier request
        self.interrupted_writes = 0  # attempts whose connection ended before their request was fully written
        self.held_bytes = 0  # of the bodies of answers that are being received
        self.connect_timeout, self.report_columns = connect_timeout, report_columns
        self.max_connections = max_connections
        self.default_max_idle_s = IDLE_TIME_SHARE * conn_idle
        self.loop = asyncio.get_running_loop()
        self.pools: dict[int, ConnectionPool] = {}
        self.backend_by_address: dict[Address, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.connection_count = 0  # including those that are being opened
        self.is_closed = False
        self.sweep_timer: asyncio.TimerHandle | None = None  # set only while there are idle connections

    def schedule_sweep(self) -> None:
        if self.sweep_timer is None and not self.is_closed:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_expired)

    def update_backend(self, backend: int, address: Address, started: float) -> None:
        """Add a backend or replace its pool after a change of its address or a restart.

        The idle connections of the old pool are closed: a machine that has failed never closes them.
        Attempts in flight on the others go on.
        """
        pool = self.pools.get(backend)
        if pool is None or (pool.address, pool.started) != (address, started):
            self.remove_backend(backend)
            # Another backend at this address no longer exists; its requests must not be sent to this one.
            self.remove_backend(self.backend_by_address.get(address, backend))
            self.pools[backend] = ConnectionPool(self, backend, address, started)
            self.backend_by_address[address] = backend

    def remove_backend(self, backend: int) -> None:
        """Forget a backend and close its idle connections; its attempts in flight go on."""
        if (pool := self.pools.pop(backend, None)) is not None:
            del self.backend_by_address[pool.address]
            pool.close_idle()

    def start_attempt(
        self,
        backend: int,
        payload: bytes,
        timeout: float,
        on_done: Callable[[Result], None],
        is_head: bool = False,
        request_id: bytes = b"",
    ) -> Attempt:
        """Start an attempt; `timeout` is in seconds.

        `is_head`: its answer has no body; `request_id`: which the answer has to repeat.
        """
        attempt = Attempt(payload, on_done, is_head, request_id)
        pool = self.pools.get(backend)
        if pool is None:
            self.loop.call_soon(attempt.fail, Outcome.CONNECT_FAILED)
        else:
            attempt.timer = self.loop.call_later(timeout, attempt.give_up, Outcome.TIMEOUT)
            pool.start_attempt(attempt)
        return attempt

    def probe(self, backend: int, on_done: Callable[[Result], None]) -> None:
        """Request a backend's load report, or its health if there are no reports."""
        path = b"/-/load" if self.report_columns else b"/-/healthy"

        def on_answer(result: Result) -> None:
            if result.outcome is Outcome.OK and not result.report:
                result.report = self.parse_report(result.body)
            on_done(result)

        payload = b"GET " + path + b" HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
        self.start_attempt(backend, payload, self.connect_timeout, on_answer)

    def parse_report(self, text: bytes) -> tuple[float, ...]:
        """Return the values of a load report in the order of `report_columns`.

        A report that lacks a column or holds an invalid value gives an empty tuple.
        """
        if not text:
            return ()
        values: dict[str, float] = {}
        for part in text.decode("latin-1").removeprefix("TEXT").split(","):
            key, separator, value = part.partition("=")
            if separator:
                if not REPORT_VALUE.fullmatch(value.strip()):
                    return ()
                values[key.strip()] = float(value)
        if any(column not in values for column in self.report_columns):
            return ()
        return tuple(values[column] for column in self.report_columns)

    def close_idle(self, backend: int) -> None:
        if (pool := self.pools.get(backend)) is not None:
            pool.close_idle()

    def make_room(self) -> bool:
        """Return whether a connection may be opened; close the one idle longest if that is needed."""
        if self.connection_count < self.max_connections:
            return True
        idle = [pool for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        min(idle, key=lambda pool: pool.idle[0].idle_since).idle.popleft().abort()
        return True

    def close_expired(self) -> None:
        """Close idle connections well before the backend does.

        A request that is sent while the backend closes its connection would be lost.
        """
        now, has_idle = time.monotonic(), False
        for pool in self.pools.values():
            while pool.idle and now - pool.idle[0].idle_since > self.max_idle_s(pool.idle[0]):
                pool.idle.popleft().abort()
            has_idle = has_idle or bool(pool.idle)
        self.sweep_timer = None
        if has_idle:
            self.schedule_sweep()

    def max_idle_s(self, connection: BackendConnection) -> float:
        """Return how many seconds a connection may be idle, by its backend's Keep-Alive if there was one."""
        announced = connection.keep_alive_s
        if not announced:
            return self.default_max_idle_s
        return max(IDLE_TIME_SHARE * announced, announced - 2 * SWEEP_INTERVAL_S)

    def close(self) -> None:
        self.is_closed = True
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            for connection in pool.connections:
                connection.abort()
