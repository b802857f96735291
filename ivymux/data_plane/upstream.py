"""The connections to backends: pools, their limits, load reports and probes."""

from __future__ import annotations

import asyncio
import re
import time
from collections import deque
from collections.abc import Callable, Container

from ivymux.data_plane.answer_flow import AnswerFlow
from ivymux.data_plane.answer_policy import PLATFORM_POLICY, AnswerPolicy
from ivymux.data_plane.attempt import Attempt, Result
from ivymux.data_plane.backend_connection import BackendConnection
from ivymux.data_plane.body_buffer import Blocks
from ivymux.data_plane.limits import Address
from ivymux.data_plane.receive_queue import ReceiveQueue
from orchidhill.interface import Outcome

MAX_SHARE_PER_BACKEND = 0.5  # of all connections that one backend may have
IDLE_TIME_SHARE = 0.5  # of a backend's idle timeout, after which an idle connection is closed on this side
SWEEP_INTERVAL_S = 1.0  # between two searches for connections that were idle for too long
REPORT_VALUE = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)


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
        self.answer_flow = AnswerFlow(answer_policy.max_held_bytes)
        self.connect_timeout, self.report_columns = connect_timeout, report_columns
        self.max_connections = max_connections
        self.default_max_idle_s = IDLE_TIME_SHARE * conn_idle
        self.loop = asyncio.get_running_loop()
        self.receive_queue = ReceiveQueue(self.loop)
        self.pools: dict[int, ConnectionPool] = {}
        self.backend_by_address: dict[Address, int] = {}
        # Backends whose address another one has taken, with the address and the start that they had.
        self.superseded: dict[int, tuple[Address, float]] = {}
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
        Attempts in flight on the others go on.  Unchanged news of a backend whose address another one has
        taken changes nothing.
        """
        pool = self.pools.get(backend)
        if pool is not None and (pool.address, pool.started) == (address, started):
            return
        holder = self.backend_by_address.get(address, backend)
        if holder != backend and self.superseded.get(backend) == (address, started):
            return
        self.remove_backend(backend)
        if holder != backend:
            # That backend no longer exists; its requests must not be sent to this one.
            self.superseded[holder] = address, self.pools[holder].started
            self.close_pool(holder)
        self.pools[backend] = ConnectionPool(self, backend, address, started)
        self.backend_by_address[address] = backend

    def remove_all_but(self, backends: Container[int]) -> None:
        """Forget the backends that a complete list does not name."""
        for backend in [b for b in (*self.pools, *self.superseded) if b not in backends]:
            self.remove_backend(backend)

    def remove_backend(self, backend: int) -> None:
        """Forget a backend and close its idle connections; its attempts in flight go on."""
        self.superseded.pop(backend, None)
        self.close_pool(backend)

    def close_pool(self, backend: int) -> None:
        """Close a backend's idle connections, and send it nothing more."""
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
        body: Blocks = (),
    ) -> Attempt:
        """Start an attempt; `timeout` is in seconds.

        `is_head`: its answer has no body; `request_id`: which the answer has to repeat; `body`: sent behind
        the payload.
        """
        attempt = Attempt(payload, on_done, is_head, request_id, body)
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
                result.report = self.parse_report(result.backend_answer().whole_body())
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
