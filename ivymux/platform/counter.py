"""Client of the counter service: TALLY calls on a few pipelined RESP2 connections."""

from __future__ import annotations

import asyncio
import logging
import re
import secrets
import time
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, cast

import hiredis

from ivymux.data_plane.limits import Address
from ivymux.tally.clock import SharedClock
from orchidhill.interface import Count, Counted, Late, Outcome

CONNECTION_COUNT = 4  # the service accepts up to 32 of one gateway
MAX_PENDING = 1000  # unanswered calls on one connection
PING_AFTER_S = 2.0  # without traffic; a PING then keeps the connection from being closed as idle
DEAD_AFTER_S = 2.0  # without any byte read while calls are unanswered; the connection is then closed
RETRY_MIN_S, RETRY_MAX_S = 0.05, 1.0  # between attempts to connect
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024  # a total is far shorter
TOTAL_PATTERN = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")  # neither nan nor inf

log = logging.getLogger(__name__)


class CounterCall:
    """A call for a count of the decision module, or a command of the connection itself."""

    __slots__ = ("command", "connection", "count", "is_settled", "started_at")

    def __init__(
        self,
        count: Count | None,
        started_at: float,
        connection: CounterConnection,
        command: bytes = b"PING",
    ) -> None:
        self.count = count  # None for a command of the connection, which is `command`
        self.started_at = started_at
        self.connection = connection
        self.command = command
        self.is_settled = count is None  # whether the decision module has its result


class CounterConnection(asyncio.Protocol):
    """One connection with its unanswered calls; answers come in the order of the calls."""

    def __init__(self, owner: Counter, address: Address) -> None:
        self.owner, self.address = owner, address
        # After a change of address: the old connection, whose calls must be settled before calls here are
        # written, and the reverse.
        self.predecessor: CounterConnection | None = None
        self.successor: CounterConnection | None = None
        self.transport: asyncio.Transport | None = None
        self.written_calls: deque[CounterCall] = deque()
        self.queued_calls: deque[CounterCall] = deque()  # written once `can_write`
        self.is_connecting = False
        self.has_unsent_bytes = False  # whether written bytes are still in the write buffer
        self.last_received_at = 0.0
        self.retry_delay = RETRY_MIN_S  # seconds
        self.reader: Any = None
        self.unread_bytes = 0  # read since the last complete answer
        self.incarnation = 0  # of the service's counts (see `incarnation_number`); 0: unknown

    # --- calls -------------------------------------------------------------------------------------

    def call(self, count: Count, now: float) -> None:
        """Write a call, queue it, or settle it at once if neither is possible."""
        call = CounterCall(count, now, self)
        if len(self.written_calls) + len(self.queued_calls) >= MAX_PENDING:
            self.owner.settle(call, Outcome.FULL)
            return
        if self.transport is None and not self.is_connecting:  # waiting for the next attempt to connect
            self.owner.settle(call, Outcome.CONNECT_FAILED)
            return
        self.owner.expiring.append(call)
        if self.can_write():
            self.write(call)
        else:
            self.queued_calls.append(call)

    def can_write(self) -> bool:
        """Whether a call may be written now.

        After a change of address, calls are written only once all calls at the old address are settled, as
        the results for one name must be reported in the order of its calls.
        """
        return self.transport is not None and not self.transport.is_closing() and self.predecessor is None

    def flush(self) -> None:
        """Write the queued calls while calls may be written."""
        while self.queued_calls and self.can_write():
            self.write(self.queued_calls.popleft())

    def write(self, call: CounterCall) -> None:
        """Write a call; its answer comes after those of the calls written before."""
        assert self.transport is not None
        if not self.written_calls:
            self.last_received_at = time.monotonic()
        self.written_calls.append(call)
        count = call.count
        if count is None:
            self.transport.write(b"*1\r\n$%d\r\n%s\r\n" % (len(call.command), call.command))
            return
        expires_ms = max(1, min(60_000, round(count.expires * 1000)))
        command: tuple[str, ...] = ("TALLY", str(count.name), f"{count.amount:.6f}", str(expires_ms))
        if count.call and self.owner.shared_clock is not None:
            command = (*command, f"{self.owner.caller_id}:{count.call}")
        self.transport.write(hiredis.pack_command(command))  # type: ignore[arg-type]  # any length is taken

    def expire(self, call: CounterCall) -> None:
        """Settle a call that has timed out."""
        if call in self.queued_calls:
            self.queued_calls.remove(call)  # never written, so it will never be counted
            self.owner.settle(call, Outcome.CONNECT_FAILED)
        else:
            # It stays in `written_calls`, so that a late answer to it is not taken for that of the next call.
            self.owner.settle(call, Outcome.TIMEOUT)
        self.close_if_drained()

    def hand_over_to(self, successor: CounterConnection) -> None:
        """Let another connection replace this one: queued calls move, written ones are settled here."""
        self.successor, successor.predecessor = successor, self
        successor.queued_calls, self.queued_calls = self.queued_calls, deque()
        for call in successor.queued_calls:
            call.connection = successor
        self.close_if_drained()

    def close_if_drained(self) -> None:
        """Close a replaced connection once its calls are settled; its successor may then write."""
        if self.successor is not None and all(call.is_settled for call in self.written_calls):
            successor, self.successor = self.successor, None
            successor.predecessor = None
            if self.transport is not None:
                self.transport.abort()
            successor.flush()

    def is_current(self) -> bool:
        """Whether the counter uses this connection; after a change of address it no longer does."""
        return self in self.owner.connections or self in self.owner.next_connections

    # --- connection --------------------------------------------------------------------------------

    def connect(self) -> None:
        """Start to connect, unless it is connected or connecting already, or no longer used."""
        if (
            not self.is_connecting
            and self.transport is None
            and not self.owner.is_closed
            and self.is_current()
        ):
            self.is_connecting = True
            task = self.owner.loop.create_task(self.try_connect())
            self.owner.tasks.add(task)
            task.add_done_callback(self.owner.tasks.discard)

    async def try_connect(self) -> None:
        """Connect, or schedule the next attempt after a growing delay."""
        address = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.owner.loop.create_connection(lambda: self, address.host, address.port)
        except (OSError, TimeoutError):
            self.is_connecting = False
            if self.transport is not None:
                # The connection was established just as the timeout expired.  The event loop has closed it
                # without a call of `connection_lost`; kept, it would fail every further call.
                self.transport.abort()
                self.connection_lost(None)
                return
            self.fail_queued()
            self.owner.loop.call_later(self.retry_delay, self.connect)
            self.retry_delay = min(RETRY_MAX_S, 2 * self.retry_delay)
            self.owner.set_ready()
        else:
            if self.owner.shared_clock is None:  # else the answer to TIME has to arrive first
                self.owner.set_ready()

    def fail_queued(self) -> None:
        """Settle the queued calls: they were never sent."""
        queued, self.queued_calls = self.queued_calls, deque()
        for call in queued:
            self.owner.settle(call, Outcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)
        self.transport, self.is_connecting, self.has_unsent_bytes = transport, False, False
        self.reader, self.unread_bytes = hiredis.Reader(), 0
        self.last_received_at = time.monotonic()
        if not self.is_current():  # the address changed again while it connected
            transport.abort()
            return
        self.owner.on_connected(self)
        if self.owner.shared_clock is not None:
            # Before any call, so that the incarnation of every total is known.
            self.write(CounterCall(None, self.last_received_at, self, b"INCARNATION"))
            self.write(CounterCall(None, self.last_received_at, self, b"TIME"))
        self.flush()

    def pause_writing(self) -> None:
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        self.has_unsent_bytes = False

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        calls, self.written_calls = self.written_calls, deque()
        for call in calls:
            # If several calls were written, it is unknown which of them still has unsent bytes.
            is_unsent = self.has_unsent_bytes and len(calls) == 1
            self.owner.settle(call, Outcome.CONNECT_FAILED if is_unsent else Outcome.TIMEOUT)
        self.close_if_drained()
        self.connect()

    def data_received(self, data: bytes) -> None:
        self.last_received_at, self.retry_delay = time.monotonic(), RETRY_MIN_S
        self.unread_bytes += len(data)
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self.unread_bytes = 0
                if not self.written_calls:
                    raise hiredis.ProtocolError("an answer without a call")
                self.on_answer(self.written_calls.popleft(), reply)
            if self.unread_bytes > MAX_ANSWER_BYTES:
                raise hiredis.ProtocolError(f"an answer longer than {MAX_ANSWER_BYTES} bytes")
        except hiredis.ProtocolError as error:  # later answers can't be assigned to their calls
            log.warning("counter: %s", error)
            if self.transport is not None:
                self.transport.abort()
        self.close_if_drained()

    def on_answer(self, call: CounterCall, reply: Any) -> None:
        """Handle the answer to the oldest call.

        Raises hiredis.ProtocolError for an invalid one, as later answers can't be assigned to their calls.
        """
        if call.is_settled and call.count is not None:
            self.owner.on_late_answer(call)
        if call.command == b"INCARNATION":
            # A service that does not know the command answers with an error.
            self.incarnation = incarnation_number(reply) if isinstance(reply, bytes) else 0
        elif call.command == b"TIME":
            self.owner.on_time(call.started_at, reply)
        elif isinstance(reply, hiredis.ReplyError):
            if not str(reply).startswith("BUSY"):
                log.warning("counter: %.80s", reply)
            self.owner.settle(call, Outcome.FULL)  # nothing was counted
        elif call.count is None:
            if reply != b"PONG":
                raise hiredis.ProtocolError(f"not an answer to PING: {reply!r:.40}")
        elif isinstance(reply, bytes) and TOTAL_PATTERN.fullmatch(reply):
            self.owner.settle(call, Outcome.OK, float(reply))
        else:
            self.owner.settle(call, Outcome.TIMEOUT)  # it may have been counted
            raise hiredis.ProtocolError(f"not a total: {reply!r:.40}")

    def check_liveness(self, now: float) -> None:
        """Close the connection if it does not answer; otherwise send PING or TIME if one is due."""
        if self.transport is None:
            return
        if self.written_calls and now - self.last_received_at > DEAD_AFTER_S:
            self.transport.abort()
        elif not self.written_calls and now - self.last_received_at > PING_AFTER_S:
            self.write(CounterCall(None, now, self))
        elif self.owner.shared_clock is not None and self is self.owner.connections[0]:
            self.write(CounterCall(None, now, self, b"TIME"))


def incarnation_number(name: bytes) -> int:
    """Return a number, never 0, for the name of a service's incarnation.

    Totals of one incarnation continue the same counts.
    """
    return int.from_bytes(blake2b(name, digest_size=7).digest(), "big") + 1


class Counter:
    """A pool of connections; calls for one name share a connection, so that their order is kept."""

    def __init__(
        self, address: Address, timeout: float, on_result: Callable[[Counted | Late], None],
        shared_clock: SharedClock | None = None,
    ) -> None:  # fmt: skip
        """`timeout`: of a call, in seconds; `on_result` gets the results, in call order for each name.

        `shared_clock`: the clock to synchronize with an `ivymux tally`; None for the operators' counter,
        which does not support INCARNATION and TIME.
        """
        self.timeout, self.on_result, self.shared_clock = timeout, on_result, shared_clock
        self.caller_id = secrets.token_hex(6)  # identifies repeated calls together with their number
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.expiring: deque[CounterCall] = deque()  # oldest first, as all have the same timeout
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.is_closed = False
        # Done once a first connection has failed, or is established and (with a shared clock) has the time.
        self.ready = self.loop.create_future()
        self.connections = [CounterConnection(self, address) for _ in range(CONNECTION_COUNT)]
        # Connections to a new address; each replaces an old connection once it is established.
        self.next_connections: list[CounterConnection] = []
        for connection in self.connections:
            connection.connect()
        self.check_timer = self.loop.call_later(PING_AFTER_S / 2, self.check_connections)

    def set_ready(self) -> None:
        """Mark the counter as ready for the first calls."""
        if not self.ready.done():
            self.ready.set_result(None)

    def change_address(self, address: Address) -> None:
        """Use another address; each old connection serves until its successor is established."""
        if address == (self.next_connections or self.connections)[-1].address:
            return
        dropped = self.next_connections
        self.next_connections = [CounterConnection(self, address) for _ in range(CONNECTION_COUNT)]
        for connection in dropped:
            if connection.transport is not None and connection not in self.connections:
                connection.transport.abort()
        for connection in self.next_connections:
            connection.connect()

    def on_connected(self, connection: CounterConnection) -> None:
        """Let a new connection replace the old one at its index."""
        if connection in self.next_connections:
            index = self.next_connections.index(connection)
            old, self.connections[index] = self.connections[index], connection
            old.hand_over_to(connection)
            if all(current.address == connection.address for current in self.connections):
                self.next_connections = []

    def add(self, count: Count) -> None:
        """Send a count to the service."""
        self.connections[count.name % CONNECTION_COUNT].call(count, time.monotonic())
        if self.expiry_timer is None and self.expiring:
            self.expiry_timer = self.loop.call_later(self.timeout, self.expire)

    def expire(self) -> None:
        """Settle the calls that have timed out, and set the timer for the next one."""
        now = time.monotonic()
        while self.expiring:
            call = self.expiring[0]
            if not call.is_settled:
                if (time_left := call.started_at + self.timeout - now) > 0:
                    self.expiry_timer = self.loop.call_later(time_left, self.expire)
                    return
                call.connection.expire(call)
            self.expiring.popleft()
        self.expiry_timer = None

    def settle(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        """Report the result of a call, once."""
        if not call.is_settled and call.count is not None:
            call.is_settled = True
            incarnation = call.connection.incarnation
            result = Counted(call.count.name, outcome, total, self.elapsed(call), incarnation)
            self.deliver(call.count, result)

    def on_time(self, sent_at: float, reply: Any) -> None:
        """Handle the answer to TIME: seconds and microseconds of Unix time, or an error if unsupported."""
        self.set_ready()
        if self.shared_clock is not None and isinstance(reply, list) and len(reply) == 2:
            try:
                unix_time = int(reply[0]) + int(reply[1]) / 1e6
            except (TypeError, ValueError):
                raise hiredis.ProtocolError(f"not a time: {reply!r:.40}") from None
            self.shared_clock.on_reading(sent_at, time.monotonic(), unix_time)

    def on_late_answer(self, call: CounterCall) -> None:
        """Report that a call was answered after its timeout."""
        assert call.count is not None
        self.deliver(call.count, Late(call.count.name))

    def deliver(self, count: Count, result: Counted | Late) -> None:
        """Pass a result on; subclasses choose the receiver by `count`."""
        self.on_result(result)

    def elapsed(self, call: CounterCall) -> float:
        """Return the seconds since a call began."""
        return time.monotonic() - call.started_at

    def check_connections(self) -> None:
        """Check periodically that the connections answer."""
        self.check_timer = self.loop.call_later(PING_AFTER_S / 2, self.check_connections)
        now = time.monotonic()
        for connection in self.connections:
            connection.check_liveness(now)

    def close(self) -> None:
        self.is_closed = True
        self.check_timer.cancel()
        if self.expiry_timer:
            self.expiry_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for connection in [*self.connections, *self.next_connections]:
            if connection.transport is not None:
                connection.transport.abort()
