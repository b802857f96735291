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

MAX_HEAD = 16 * 1024  # with those of interim answers
CHUNKED = 8  # times its body that an answer may have on the wire, as chunks of one byte may be sent
BACKEND_PART = 0.5  # of all connections, that one backend may have
IDLE_PART = 0.5  # of the backend's idle time, after which an idle connection is retired here
SWEEP = 1.0  # seconds between looks for such connections
KEEP = re.compile(rb"timeout\s*=\s*(\d{1,6})", re.ASCII | re.IGNORECASE)
NUMBER = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)

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

    __slots__ = ("began", "done", "head", "link", "name", "over", "payload", "timer", "verdict")

    def __init__(
        self, payload: bytes, done: Callable[[Result], None], head: bool = False, name: bytes = b""
    ) -> None:
        self.payload, self.done, self.head = payload, done, head
        self.name = name  # of the request, as its answer has to name it
        self.began = time.perf_counter()
        self.link: BackendConnection | None = None  # once its first byte may have been written
        self.timer: asyncio.TimerHandle | None = None
        self.verdict: Outcome | None = None  # why it was given up here
        self.over = False

    @property
    def written(self) -> bool:
        """Whether a backend may have read any of it."""
        return self.link is not None

    def finish(self, result: Result) -> None:
        if not self.over:
            self.over = True
            if self.timer is not None:
                self.timer.cancel()
            self.done(result)

    def fail(self, outcome: Outcome) -> None:
        self.finish(Result(outcome, time.perf_counter() - self.began))

    def give_up(self, why: Outcome) -> None:
        """Stop waiting.  What was written is out until its connection has ended, so that ends first and
        `done` hears of it then; else a further attempt might be out beside this one.
        """
        if self.over or self.verdict is not None:
            return
        if self.link is None:
            # Nothing was written: it never ran, whatever the reason for giving it up.
            self.fail(Outcome.MOOT if why is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        else:
            self.verdict = why
            self.link.abort()


class InvalidAnswer(Exception):
    """Stops the parser: what comes is not, or no longer, part of an answer to the attempt."""


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it carries one attempt at a time."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.style = pool.owner.style
        self.idle_since = 0.0
        self.unsent = False  # whether part of the request still waits in this process
        self.parser = httptools.HttpResponseParser(self)
        self.readable = select.poll()
        self.size = 0  # bytes of the body that is coming
        self.foreign = False  # whether an answer to an earlier request came where another was due
        self.idle_most = 0.0  # seconds that the backend said it keeps an idle connection; 0: it did not
        self.clear()

    def clear(self) -> None:
        self.read = 0  # bytes read for the answer that is coming, those of interim ones too
        self.pool.owner.held -= self.size
        self.result: Result | None = None  # the whole answer
        self.keep = False
        self.new_answer()

    def new_answer(self) -> None:
        self.headed = False
        self.bodiless = False  # whether it ended with its header section, so that the parser is of no use on
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size = 0
        self.length = 0
        self.not_started = False
        self.framed = False  # whether the answer's end can be told from its connection's end
        self.load = b""
        self.named = b""
        self.content_type = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)  # hear at once of bytes that could not be written
        self.transport = transport
        self.readable.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def usable(self) -> bool:
        """Whether an idle connection can carry an attempt.  What can be read from it before that is not
        its answer: a second copy of the last one, noise, or the connection's end.
        """
        return self.transport is not None and not self.transport.is_closing() and not self.readable.poll(0)

    def carry(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.link = attempt, self
        self.transport.write(attempt.payload)
        attempt.payload = b""

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    # --- the answer --------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.abort()  # an answer that nobody asked for: framing is lost
            return
        self.read += len(data)
        error: Exception | None = None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as caught:
            error = caught
        if self.result is None:
            if error is not None:
                log.warning("backend %s: spoilt answer: %s", self.pool.name, error.__context__ or error)
            elif self.read > (CHUNKED * self.style.most_body if self.headed else MAX_HEAD):
                log.warning("backend %s: an answer without end", self.pool.name)
            else:
                return
            # It may have run.  The backend is well, so this is an error of its own, not a broken connection.
            self.attempt.verdict = self.attempt.verdict or Outcome.ERROR
            self.abort()  # the attempt ends with its connection
            return
        # Only now, with all that was read looked at: `finish` may bring the next attempt to this link,
        # which must not get what stood behind this answer.  The answer itself is good in any case.
        self.deliver(self.attempt, self.result, self.keep and error is None and not self.unsent)

    def eof_received(self) -> None:
        """The backend has ended its sending: so ends an answer that announced no length (RFC 9112, 6.3)."""
        ends = self.style.whole and not self.style.framed
        if ends and self.headed and not self.framed and self.attempt is not None:
            self.answered(self.parser.get_status_code())
            if self.result is not None:
                self.deliver(self.attempt, self.result, keep=False)

    def deliver(self, attempt: Attempt, result: Result, keep: bool) -> None:
        """Give the attempt its answer; the connection goes back to its pool or ends."""
        self.attempt = None
        if self.bodiless and keep:
            self.parser = httptools.HttpResponseParser(self)  # that one would wait for a body
        self.clear()
        if keep:
            self.pool.put(self)
        else:
            self.abort()
        attempt.finish(result)

    def on_message_begin(self) -> None:
        if self.result is not None:
            raise InvalidAnswer("bytes behind the answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"server-load":
            self.load = value
        elif name == self.style.not_run:
            self.not_started = value == b"1"
        elif name == self.style.echo:
            if self.named and self.named != value:
                raise InvalidAnswer("an answer that names two requests")  # part of another stands before it
            self.named = value
        elif name == b"keep-alive" and self.style.echo:
            found = KEEP.search(value)
            self.idle_most = float(found[1]) if found is not None else 0.0
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.framed, self.length = True, int(value)  # the parser takes digits only
        elif name == b"transfer-encoding":
            self.framed = True
        if self.style.whole:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        self.headed = status >= 200
        attempt = self.attempt if self.headed and self.style.whole else None
        if attempt is not None and has_no_body(status, attempt.head):
            self.bodiless = True
            self.framed = status != 204 or not self.length  # one that announces a body may send it
            self.answered(status)
            return
        if self.length > self.style.most_body:
            raise InvalidAnswer(f"announces {self.length} bytes")

    def on_chunk_header(self) -> None:
        if self.bodiless:
            raise InvalidAnswer("a body behind an answer that has none")

    def on_body(self, body: bytes) -> None:
        if self.bodiless:
            raise InvalidAnswer("a body behind an answer that has none")
        self.size += len(body)
        self.pool.owner.held += len(body)
        if self.size > self.style.most_body:
            raise InvalidAnswer(f"over {self.style.most_body} bytes")
        if self.pool.owner.held > self.style.held:
            raise InvalidAnswer("too much is held of all answers")
        self.body.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            self.new_answer()  # an interim answer; the final one follows
        elif not self.bodiless:
            self.answered(status)

    def answered(self, status: int) -> None:
        """The answer is whole."""
        if self.transport is None or self.transport.is_closing() or self.attempt is None:
            return
        if self.named and self.attempt.name and self.named != self.attempt.name:
            # A second answer to an earlier request; the one that is waited for stands behind it.
            if self.bodiless:
                raise InvalidAnswer("another request's answer")
            self.foreign = True
            self.pool.owner.foreign += 1
            self.pool.owner.held -= self.size
            self.new_answer()
            return
        self.result = Result(
            self.style.outcome(status, self.not_started),
            time.perf_counter() - self.attempt.began,
            self.pool.owner.report(self.load),
            b"".join(self.body),
            self.content_type,
        )
        if self.style.whole:
            self.result.status, self.result.headers = self.style.told(status), self.headers
        if self.result.outcome is Outcome.OK and not self.style.sound(status, self.headers):
            self.result.outcome, self.result.status = Outcome.ERROR, 0
        self.keep = self.parser.should_keep_alive() and self.framed and not self.foreign

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.owner.held -= self.size
        self.size = 0
        self.pool.forget(self)
        if (attempt := self.attempt) is not None:
            self.attempt = None
            outcome = attempt.verdict or (Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)
            if self.unsent and attempt.verdict is Outcome.CANCELLED:
                outcome = Outcome.MOOT
            # The descriptor is closed only after this call returns; a further attempt must come later.
            self.pool.owner.loop.call_soon(attempt.fail, outcome)


class Pool:
    """The connections to one backend."""

    def __init__(self, owner: Upstream, name: int, address: Address, started: float) -> None:
        self.owner, self.name, self.address, self.started = owner, name, address, started
        self.idle: deque[BackendConnection] = deque()  # the newest last; it is used first
        self.links: set[BackendConnection] = set()
        self.connecting = 0

    def start(self, attempt: Attempt) -> None:
        while self.idle:
            link = self.idle.pop()
            if link.usable():
                link.carry(attempt)
                return
            link.abort()
        if (
            self.connecting + len(self.links) >= self.owner.most_open * BACKEND_PART
            or not self.owner.make_room()
        ):
            # Nothing was sent.  Not a failed connection: the backend is not to blame.
            self.owner.loop.call_soon(attempt.fail, Outcome.FULL)
            return
        self.connecting += 1
        self.owner.open += 1
        task = self.owner.loop.create_task(self.connect(attempt))
        self.owner.tasks.add(task)
        task.add_done_callback(self.owner.tasks.discard)

    async def connect(self, attempt: Attempt) -> None:
        try:
            async with asyncio.timeout(self.owner.connect_timeout):
                _, link = await self.owner.loop.create_connection(
                    lambda: BackendConnection(self), self.address.host, self.address.port
                )
        except (OSError, TimeoutError):
            self.owner.open -= 1
            attempt.fail(Outcome.CONNECT_FAILED)
            return
        finally:
            self.connecting -= 1
        self.links.add(link)
        if link.transport is None or link.transport.is_closing():
            self.forget(link)
            attempt.fail(Outcome.CONNECT_FAILED)
        elif attempt.over:  # given up meanwhile; the connection is paid for
            self.put(link)
        else:
            link.carry(attempt)

    def put(self, link: BackendConnection) -> None:
        if self.owner.pools.get(self.name) is not self:
            link.abort()  # the backend has moved or is gone
            return
        link.idle_since = time.monotonic()
        self.idle.append(link)
        self.owner.watch_idle()

    def forget(self, link: BackendConnection) -> None:
        if link in self.links:
            self.links.remove(link)
            self.owner.open -= 1
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
        self.style = style
        self.foreign = 0  # answers that belonged to an earlier request
        self.held = 0  # bytes of answers that are coming in
        self.connect_timeout, self.columns, self.most_open = connect_timeout, columns, most_open
        self.keep_idle = IDLE_PART * conn_idle
        self.loop = asyncio.get_running_loop()
        self.pools: dict[int, Pool] = {}
        self.places: dict[Address, int] = {}  # who listens there
        self.tasks: set[asyncio.Task[None]] = set()
        self.open = 0  # connections and attempts to connect
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None  # only while something stands idle

    def watch_idle(self) -> None:
        if self.timer is None and not self.closed:
            self.timer = self.loop.call_later(SWEEP, self.sweep)

    def place(self, backend: int, address: Address, started: float) -> None:
        """Where a backend listens.  Once it has moved or started again its idle connections are stale: a
        machine that vanished never closed them.  What is out on the others runs on.
        """
        pool = self.pools.get(backend)
        if pool is None or (pool.address, pool.started) != (address, started):
            self.remove(backend)
            # A new one where another listened: that one is gone, and what is meant for it must not go here.
            self.remove(self.places.get(address, backend))
            self.pools[backend] = Pool(self, backend, address, started)
            self.places[address] = backend

    def remove(self, backend: int) -> None:
        if (pool := self.pools.pop(backend, None)) is not None:
            del self.places[pool.address]
            pool.close_idle()

    def start(
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
            pool.start(attempt)
        return attempt

    def probe(self, backend: int, done: Callable[[Result], None]) -> None:
        """Health, with the load report as body where there are reports."""
        path = b"/-/load" if self.columns else b"/-/healthy"

        def heard(result: Result) -> None:
            if result.outcome is Outcome.OK and not result.report:
                result.report = self.report(result.body)
            done(result)

        self.start(
            backend, b"GET " + path + b" HTTP/1.1\r\nHost: origin.svc\r\n\r\n", self.connect_timeout, heard
        )

    def report(self, text: bytes) -> tuple[float, ...]:
        """A load report in the order of the settings' columns; one that lacks a column counts as none."""
        if not text:
            return ()
        values: dict[str, float] = {}
        for part in text.decode("latin-1").removeprefix("TEXT").split(","):
            key, sep, value = part.partition("=")
            if sep:
                if not NUMBER.fullmatch(value.strip()):
                    return ()
                values[key.strip()] = float(value)
        if any(c not in values for c in self.columns):
            return ()
        return tuple(values[c] for c in self.columns)

    def close_idle(self, backend: int) -> None:
        if (pool := self.pools.get(backend)) is not None:
            pool.close_idle()

    def make_room(self) -> bool:
        """Whether a connection may be opened; the one that has stood idle longest makes room for it."""
        if self.open < self.most_open:
            return True
        idle = [pool for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        min(idle, key=lambda pool: pool.idle[0].idle_since).idle.popleft().abort()
        return True

    def sweep(self) -> None:
        """Retire idle connections well before the backend does: a request that crosses its close is lost."""
        now, left = time.monotonic(), False
        for pool in self.pools.values():
            while pool.idle and now - pool.idle[0].idle_since > self.idle_most(pool.idle[0]):
                pool.idle.popleft().abort()
            left = left or bool(pool.idle)
        self.timer = None
        if left:
            self.watch_idle()

    def idle_most(self, link: BackendConnection) -> float:
        """Seconds that a connection may stand idle: by what its backend said, where it did."""
        return (
            max(IDLE_PART * link.idle_most, link.idle_most - 2 * SWEEP) if link.idle_most else self.keep_idle
        )

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            for link in pool.links:
                link.abort()
