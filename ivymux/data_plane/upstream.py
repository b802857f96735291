"""Backends: pooled connections, attempts and how they end, load reports, probes."""

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

MAX_HEAD_BYTES = 16 * 1024  # with those of interim answers
MAX_CHUNKED_OVERHEAD = (
    8  # times its body that an answer may have on the wire, as chunks of one byte may be sent
)
MAX_SHARE_PER_BACKEND = 0.5  # of all connections, that one backend may have
IDLE_TIME_SHARE = 0.5  # of the backend's idle time, after which an idle connection is retired here
SWEEP_INTERVAL_S = 1.0  # seconds between looks for such connections
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})", re.ASCII | re.IGNORECASE)
REPORT_VALUE = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Result:
    """How an attempt or a probe ended."""

    outcome: Outcome
    spent: float
    report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: bytes = b""
    status: int = 0  # of a whole answer, where a front door passes it on
    headers: list[tuple[bytes, bytes]] | None = None


class Attempt:
    """One request on its way to one backend; `done` hears of its end exactly once."""

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
        self, payload: bytes, done: Callable[[Result], None], head: bool = False, name: bytes = b""
    ) -> None:
        self.payload, self.on_done, self.is_head = payload, done, head
        self.request_id = name  # of the request, as its answer has to name it
        self.started_at = time.perf_counter()
        self.connection: BackendConnection | None = None  # once its first byte may have been written
        self.timer: asyncio.TimerHandle | None = None
        self.give_up_outcome: Outcome | None = None  # why it was given up here
        self.is_finished = False

    @property
    def is_written(self) -> bool:
        """Whether a backend may have read any of it."""
        return self.connection is not None

    def finish(self, result: Result) -> None:
        if not self.is_finished:
            self.is_finished = True
            if self.timer is not None:
                self.timer.cancel()
            self.on_done(result)

    def fail(self, outcome: Outcome) -> None:
        self.finish(Result(outcome, time.perf_counter() - self.started_at))

    def give_up(self, why: Outcome) -> None:
        """Stop waiting.  What was written is out until its connection has ended, so that ends first and
        `done` hears of it then; else a further attempt might be out beside this one.
        """
        if self.is_finished or self.give_up_outcome is not None:
            return
        if self.connection is None:
            # Nothing was written: it never ran, whatever the reason for giving it up.
            self.fail(Outcome.MOOT if why is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        else:
            self.give_up_outcome = why
            self.connection.abort()


class InvalidAnswer(Exception):
    """Stops the parser: what comes is not, or no longer, part of an answer to the attempt."""


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it carries one attempt at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.policy = pool.upstream.answer_policy
        self.idle_since = 0.0
        self.has_unsent_bytes = False  # whether part of the request still waits in this process
        self.parser = httptools.HttpResponseParser(self)
        self.poller = select.poll()
        self.body_bytes = 0  # bytes of the body that is coming
        self.had_mismatch = False  # whether an answer to an earlier request came where another was due
        self.keep_alive_s = 0.0  # seconds that the backend said it keeps an idle connection; 0: it did not
        self.reset()

    def reset(self) -> None:
        self.read_bytes = 0  # bytes read for the answer that is coming, those of interim ones too
        self.pool.upstream.held_bytes -= self.body_bytes
        self.result: Result | None = None  # the whole answer
        self.is_reusable = False
        self.begin_answer()

    def begin_answer(self) -> None:
        self.has_final_headers = False
        self.is_bodiless = (
            False  # whether it ended with its header section, so that the parser is of no use on
        )
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.content_length = 0
        self.not_started = False
        self.is_framed = False  # whether the answer's end can be told from its connection's end
        self.load_report = b""
        self.answered_request_id = b""
        self.content_type = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)  # hear at once of bytes that could not be written
        self.transport = transport
        self.poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_usable(self) -> bool:
        """Whether an idle connection can carry an attempt.  What can be read from it before that is not
        its answer: a second copy of the last one, noise, or the connection's end.
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
            self.abort()  # an answer that nobody asked for: framing is lost
            return
        self.read_bytes += len(data)
        error: Exception | None = None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as caught:
            error = caught
        if self.result is None:
            if error is not None:
                log.warning("backend %s: spoilt answer: %s", self.pool.name, error.__context__ or error)
            elif self.read_bytes > (
                MAX_CHUNKED_OVERHEAD * self.policy.max_body_bytes
                if self.has_final_headers
                else MAX_HEAD_BYTES
            ):
                log.warning("backend %s: an answer without end", self.pool.name)
            else:
                return
            # It may have run.  The backend is well, so this is an error of its own, not a broken connection.
            self.attempt.give_up_outcome = self.attempt.give_up_outcome or Outcome.ERROR
            self.abort()  # the attempt ends with its connection
            return
        # Only now, with all that was read looked at: `finish` may bring the next attempt to this link,
        # which must not get what stood behind this answer.  The answer itself is good in any case.
        self.deliver(
            self.attempt, self.result, self.is_reusable and error is None and not self.has_unsent_bytes
        )

    def eof_received(self) -> None:
        """The backend has ended its sending: so ends an answer that announced no length (RFC 9112, 6.3)."""
        ends = self.policy.passes_all_statuses and not self.policy.requires_framing
        if ends and self.has_final_headers and not self.is_framed and self.attempt is not None:
            self.on_answer_complete(self.parser.get_status_code())
            if self.result is not None:
                self.deliver(self.attempt, self.result, keep=False)

    def deliver(self, attempt: Attempt, result: Result, keep: bool) -> None:
        """Give the attempt its answer; the connection goes back to its pool or ends."""
        self.attempt = None
        if self.is_bodiless and keep:
            self.parser = httptools.HttpResponseParser(self)  # that one would wait for a body
        self.reset()
        if keep:
            self.pool.put_back(self)
        else:
            self.abort()
        attempt.finish(result)

    def on_message_begin(self) -> None:
        if self.result is not None:
            raise InvalidAnswer("bytes behind the answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"server-load":
            self.load_report = value
        elif name == self.policy.not_run_header:
            self.not_started = value == b"1"
        elif name == self.policy.request_id_header:
            if self.answered_request_id and self.answered_request_id != value:
                raise InvalidAnswer("an answer that names two requests")  # part of another stands before it
            self.answered_request_id = value
        elif name == b"keep-alive" and self.policy.request_id_header:
            found = KEEP_ALIVE_TIMEOUT.search(value)
            self.keep_alive_s = float(found[1]) if found is not None else 0.0
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.is_framed, self.content_length = True, int(value)  # the parser takes digits only
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
            self.is_framed = status != 204 or not self.content_length  # one that announces a body may send it
            self.on_answer_complete(status)
            return
        if self.content_length > self.policy.max_body_bytes:
            raise InvalidAnswer(f"announces {self.content_length} bytes")

    def on_chunk_header(self) -> None:
        if self.is_bodiless:
            raise InvalidAnswer("a body behind an answer that has none")

    def on_body(self, body: bytes) -> None:
        if self.is_bodiless:
            raise InvalidAnswer("a body behind an answer that has none")
        self.body_bytes += len(body)
        self.pool.upstream.held_bytes += len(body)
        if self.body_bytes > self.policy.max_body_bytes:
            raise InvalidAnswer(f"over {self.policy.max_body_bytes} bytes")
        if self.pool.upstream.held_bytes > self.policy.max_held_bytes:
            raise InvalidAnswer("too much is held of all answers")
        self.body.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            self.begin_answer()  # an interim answer; the final one follows
        elif not self.is_bodiless:
            self.on_answer_complete(status)

    def on_answer_complete(self, status: int) -> None:
        """The answer is whole."""
        if self.transport is None or self.transport.is_closing() or self.attempt is None:
            return
        if (
            self.answered_request_id
            and self.attempt.request_id
            and self.answered_request_id != self.attempt.request_id
        ):
            # A second answer to an earlier request; the one that is waited for stands behind it.
            if self.is_bodiless:
                raise InvalidAnswer("another request's answer")
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
            outcome = attempt.give_up_outcome or (
                Outcome.CONNECT_FAILED if self.has_unsent_bytes else Outcome.RESET
            )
            if self.has_unsent_bytes and attempt.give_up_outcome is Outcome.CANCELLED:
                outcome = Outcome.MOOT
            # The descriptor is closed only after this call returns; a further attempt must come later.
            self.pool.upstream.loop.call_soon(attempt.fail, outcome)


class ConnectionPool:
    """The connections to one backend."""

    def __init__(self, owner: Upstream, name: int, address: Address, started: float) -> None:
        self.upstream, self.name, self.address, self.started = owner, name, address, started
        self.idle: deque[BackendConnection] = deque()  # the newest last; it is used first
        self.connections: set[BackendConnection] = set()
        self.connecting_count = 0

    def start_attempt(self, attempt: Attempt) -> None:
        while self.idle:
            link = self.idle.pop()
            if link.is_usable():
                link.send(attempt)
                return
            link.abort()
        if (
            self.connecting_count + len(self.connections)
            >= self.upstream.max_connections * MAX_SHARE_PER_BACKEND
            or not self.upstream.make_room()
        ):
            # Nothing was sent.  Not a failed connection: the backend is not to blame.
            self.upstream.loop.call_soon(attempt.fail, Outcome.FULL)
            return
        self.connecting_count += 1
        self.upstream.connection_count += 1
        task = self.upstream.loop.create_task(self.connect(attempt))
        self.upstream.tasks.add(task)
        task.add_done_callback(self.upstream.tasks.discard)

    async def connect(self, attempt: Attempt) -> None:
        try:
            async with asyncio.timeout(self.upstream.connect_timeout):
                _, link = await self.upstream.loop.create_connection(
                    lambda: BackendConnection(self), self.address.host, self.address.port
                )
        except (OSError, TimeoutError):
            self.upstream.connection_count -= 1
            attempt.fail(Outcome.CONNECT_FAILED)
            return
        finally:
            self.connecting_count -= 1
        self.connections.add(link)
        if link.transport is None or link.transport.is_closing():
            self.forget(link)
            attempt.fail(Outcome.CONNECT_FAILED)
        elif attempt.is_finished:  # given up meanwhile; the connection is paid for
            self.put_back(link)
        else:
            link.send(attempt)

    def put_back(self, link: BackendConnection) -> None:
        if self.upstream.pools.get(self.name) is not self:
            link.abort()  # the backend has moved or is gone
            return
        link.idle_since = time.monotonic()
        self.idle.append(link)
        self.upstream.schedule_sweep()

    def forget(self, link: BackendConnection) -> None:
        if link in self.connections:
            self.connections.remove(link)
            self.upstream.connection_count -= 1
        if link in self.idle:
            self.idle.remove(link)

    def close_idle(self) -> None:
        idle, self.idle = self.idle, deque()
        for link in idle:
            link.abort()


class Upstream:
    """All backends that discovery has named."""

    def __init__(
        self,
        connect_timeout: float,
        conn_idle: float,
        columns: tuple[str, ...],
        most_open: int,
        style: AnswerPolicy = PLATFORM_POLICY,
    ) -> None:
        self.answer_policy = style
        self.mismatched_answers = 0  # answers that belonged to an earlier request
        self.held_bytes = 0  # bytes of answers that are coming in
        self.connect_timeout, self.report_columns, self.max_connections = connect_timeout, columns, most_open
        self.default_max_idle_s = IDLE_TIME_SHARE * conn_idle
        self.loop = asyncio.get_running_loop()
        self.pools: dict[int, ConnectionPool] = {}
        self.backend_by_address: dict[Address, int] = {}  # who listens there
        self.tasks: set[asyncio.Task[None]] = set()
        self.connection_count = 0  # connections and attempts to connect
        self.is_closed = False
        self.sweep_timer: asyncio.TimerHandle | None = None  # only while something stands idle

    def schedule_sweep(self) -> None:
        if self.sweep_timer is None and not self.is_closed:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_expired)

    def update_backend(self, backend: int, address: Address, started: float) -> None:
        """Where a backend listens.  Once it has moved or started again its idle connections are stale: a
        machine that vanished never closed them.  What is out on the others runs on.
        """
        pool = self.pools.get(backend)
        if pool is None or (pool.address, pool.started) != (address, started):
            self.remove_backend(backend)
            # A new one where another listened: that one is gone, and what is meant for it must not go here.
            self.remove_backend(self.backend_by_address.get(address, backend))
            self.pools[backend] = ConnectionPool(self, backend, address, started)
            self.backend_by_address[address] = backend

    def remove_backend(self, backend: int) -> None:
        if (pool := self.pools.pop(backend, None)) is not None:
            del self.backend_by_address[pool.address]
            pool.close_idle()

    def start_attempt(
        self,
        backend: int,
        payload: bytes,
        timeout: float,
        done: Callable[[Result], None],
        head: bool = False,
        name: bytes = b"",
    ) -> Attempt:
        """Begin an attempt.

        `timeout` in seconds, `head`: its answer has no body, `name`: the request's id.
        """
        attempt = Attempt(payload, done, head, name)
        pool = self.pools.get(backend)
        if pool is None:
            self.loop.call_soon(attempt.fail, Outcome.CONNECT_FAILED)
        else:
            attempt.timer = self.loop.call_later(timeout, attempt.give_up, Outcome.TIMEOUT)
            pool.start_attempt(attempt)
        return attempt

    def probe(self, backend: int, done: Callable[[Result], None]) -> None:
        """Health, with the load report as body where there are reports."""
        path = b"/-/load" if self.report_columns else b"/-/healthy"

        def heard(result: Result) -> None:
            if result.outcome is Outcome.OK and not result.report:
                result.report = self.parse_report(result.body)
            done(result)

        self.start_attempt(
            backend, b"GET " + path + b" HTTP/1.1\r\nHost: origin.svc\r\n\r\n", self.connect_timeout, heard
        )

    def parse_report(self, text: bytes) -> tuple[float, ...]:
        """A load report in the order of the settings' columns; one that lacks a column counts as none."""
        if not text:
            return ()
        values: dict[str, float] = {}
        for part in text.decode("latin-1").removeprefix("TEXT").split(","):
            key, sep, value = part.partition("=")
            if sep:
                if not REPORT_VALUE.fullmatch(value.strip()):
                    return ()
                values[key.strip()] = float(value)
        if any(c not in values for c in self.report_columns):
            return ()
        return tuple(values[c] for c in self.report_columns)

    def close_idle(self, backend: int) -> None:
        if (pool := self.pools.get(backend)) is not None:
            pool.close_idle()

    def make_room(self) -> bool:
        """Whether a connection may be opened; the one that has stood idle longest makes room for it."""
        if self.connection_count < self.max_connections:
            return True
        idle = [pool for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        min(idle, key=lambda pool: pool.idle[0].idle_since).idle.popleft().abort()
        return True

    def close_expired(self) -> None:
        """Retire idle connections well before the backend does: a request that crosses its close is lost."""
        now, left = time.monotonic(), False
        for pool in self.pools.values():
            while pool.idle and now - pool.idle[0].idle_since > self.max_idle_s(pool.idle[0]):
                pool.idle.popleft().abort()
            left = left or bool(pool.idle)
        self.sweep_timer = None
        if left:
            self.schedule_sweep()

    def max_idle_s(self, link: BackendConnection) -> float:
        """Seconds that a connection may stand idle: by what its backend said, where it did."""
        return (
            max(IDLE_TIME_SHARE * link.keep_alive_s, link.keep_alive_s - 2 * SWEEP_INTERVAL_S)
            if link.keep_alive_s
            else self.default_max_idle_s
        )

    def close(self) -> None:
        self.is_closed = True
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            for link in pool.connections:
                link.abort()
