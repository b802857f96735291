"""The counter: TALLY calls on a few pipelined RESP2 connections."""

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

CONNECTION_COUNT = 4  # connections; the counter holds 32 of a front door
MAX_PENDING = 1000  # calls on one connection that wait for their answers
PING_AFTER_S = 2.0  # seconds without a call after which a PING keeps the connection from standing idle
DEAD_AFTER_S = 2.0  # seconds with calls out and no byte back: the machine behind it has vanished
RETRY_MIN_S, RETRY_MAX_S = 0.05, 1.0  # seconds between attempts to connect
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024  # bytes; a total is far shorter
TOTAL = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")  # neither nan nor inf

log = logging.getLogger(__name__)


class CounterCall:
    __slots__ = ("command", "connection", "count", "is_settled", "started_at")

    def __init__(
        self, count: Count | None, began: float, line: CounterConnection, asks: bytes = b"PING"
    ) -> None:
        self.count = count  # None for one of the line's own, which is `asks`
        self.started_at = began
        self.connection = line
        self.command = asks
        self.is_settled = count is None  # the module has had its answer


class CounterConnection(asyncio.Protocol):
    """One connection, with the calls written to it in the order in which their answers come."""

    def __init__(self, owner: Counter, address: Address) -> None:
        self.owner, self.address = owner, address
        self.predecessor: CounterConnection | None = (
            None  # whose place this one took and whose calls come first
        )
        self.successor: CounterConnection | None = None  # that took this one's place
        self.transport: asyncio.Transport | None = None
        self.written_calls: deque[CounterCall] = deque()  # written
        self.queued_calls: deque[CounterCall] = deque()  # to be written once the connection is up
        self.is_connecting = False
        self.has_unsent_bytes = False  # whether written bytes still wait in this process
        self.last_received_at = 0.0
        self.retry_delay = RETRY_MIN_S
        self.reader: Any = None
        self.unread_bytes = 0  # bytes read since the last answer
        self.incarnation = 0  # of which counts its answers are, where the counter tells

    # --- calls -------------------------------------------------------------------------------------

    def call(self, count: Count, now: float) -> None:
        call = CounterCall(count, now, self)
        if len(self.written_calls) + len(self.queued_calls) >= MAX_PENDING:
            self.owner.settle(call, Outcome.FULL)
            return
        if self.transport is None and not self.is_connecting:  # refused a moment ago; it tries again shortly
            self.owner.settle(call, Outcome.CONNECT_FAILED)
            return
        self.owner.expiring.append(call)
        if self.can_write():
            self.write(call)
        else:
            self.queued_calls.append(call)

    def can_write(self) -> bool:
        """Whether a call may be written now.  Not before those at the old counter have ended: the answers
        for one name are told in the order of its calls.
        """
        return self.transport is not None and not self.transport.is_closing() and self.predecessor is None

    def flush(self) -> None:
        while self.queued_calls and self.can_write():
            self.write(self.queued_calls.popleft())

    def write(self, call: CounterCall) -> None:
        assert self.transport is not None
        if not self.written_calls:
            self.last_received_at = time.monotonic()
        self.written_calls.append(call)
        count = call.count
        if count is None:
            self.transport.write(b"*1\r\n$%d\r\n%s\r\n" % (len(call.command), call.command))
            return
        life = max(1, min(60_000, round(count.expires * 1000)))
        command: tuple[str, ...] = ("TALLY", str(count.name), f"{count.amount:.6f}", str(life))
        if count.call and self.owner.shared_clock is not None:
            command = (*command, f"{self.owner.caller_id}:{count.call}")
        self.transport.write(hiredis.pack_command(command))  # type: ignore[arg-type]  # any length is taken

    def expire(self, call: CounterCall) -> None:
        if call in self.queued_calls:
            self.queued_calls.remove(call)  # never written, so it can never be added
            self.owner.settle(call, Outcome.CONNECT_FAILED)
        else:
            # It keeps its place in `calls`: its late answer must not be taken for the next call's.
            self.owner.settle(call, Outcome.TIMEOUT)
        self.close_if_drained()

    def hand_over_to(self, heir: CounterConnection) -> None:
        """Another line takes this one's place: what is out here ends here, what was not written moves."""
        self.successor, heir.predecessor = heir, self
        heir.queued_calls, self.queued_calls = self.queued_calls, deque()
        for call in heir.queued_calls:
            call.connection = heir
        self.close_if_drained()

    def close_if_drained(self) -> None:
        """Once its calls have ended, a line that gave way lets its heir write, and ends."""
        if self.successor is not None and all(call.is_settled for call in self.written_calls):
            heir, self.successor = self.successor, None
            heir.predecessor = None
            if self.transport is not None:
                self.transport.abort()
            heir.flush()

    def is_current(self) -> bool:
        return self in self.owner.connections or self in self.owner.next_connections

    # --- connection --------------------------------------------------------------------------------

    def connect(self) -> None:
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
        address = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.owner.loop.create_connection(lambda: self, address.host, address.port)
        except (OSError, TimeoutError):
            self.is_connecting = False
            if self.transport is not None:
                # It came up in the very moment in which the wait ended: the loop has closed it and calls no
                # `connection_lost`.  Kept, it would fail every call from then on.
                self.transport.abort()
                self.connection_lost(None)
                return
            self.fail_queued()
            self.owner.loop.call_later(self.retry_delay, self.connect)
            self.retry_delay = min(RETRY_MAX_S, 2 * self.retry_delay)
            self.owner.set_ready()
        else:
            if (
                self.owner.shared_clock is None
            ):  # else the time comes first: it counts from the first event on
                self.owner.set_ready()

    def fail_queued(self) -> None:
        held, self.queued_calls = self.queued_calls, deque()
        for call in held:
            self.owner.settle(call, Outcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)
        self.transport, self.is_connecting, self.has_unsent_bytes = transport, False, False
        self.reader, self.unread_bytes = hiredis.Reader(), 0
        self.last_received_at = time.monotonic()
        if not self.is_current():  # moved on while it connected
            transport.abort()
            return
        self.owner.on_connected(self)
        if self.owner.shared_clock is not None:
            # Before any call: each answer is then known to belong to these counts.
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
            # Which of several calls the unsent bytes belong to is not known; only one alone is certain.
            alone = self.has_unsent_bytes and len(calls) == 1
            self.owner.settle(call, Outcome.CONNECT_FAILED if alone else Outcome.TIMEOUT)
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
                    raise hiredis.ProtocolError("an answer that no call waits for")
                self.on_answer(self.written_calls.popleft(), reply)
            if self.unread_bytes > MAX_ANSWER_BYTES:
                raise hiredis.ProtocolError("an answer without end")
        except hiredis.ProtocolError as error:  # framing is lost: nothing behind it can be matched
            log.warning("counter: %s", error)
            if self.transport is not None:
                self.transport.abort()
        self.close_if_drained()

    def on_answer(self, call: CounterCall, reply: Any) -> None:
        """Settle one call.  An answer that is none raises: it is not known what the next ones belong to."""
        if call.is_settled and call.count is not None:
            self.owner.on_late_answer(call)
        if call.command == b"INCARNATION":
            # A tally that does not know the call tells nothing of its counts.
            self.incarnation = incarnation_number(reply) if isinstance(reply, bytes) else 0
        elif call.command == b"TIME":
            self.owner.on_time(call.started_at, reply)
        elif isinstance(reply, hiredis.ReplyError):
            if not str(reply).startswith("BUSY"):
                log.warning("counter: %.80s", reply)
            self.owner.settle(call, Outcome.FULL)  # nothing was added
        elif call.count is None:
            if reply != b"PONG":
                raise hiredis.ProtocolError(f"not an answer to PING: {reply!r:.40}")
        elif isinstance(reply, bytes) and TOTAL.fullmatch(reply):
            self.owner.settle(call, Outcome.OK, float(reply))
        else:
            self.owner.settle(call, Outcome.TIMEOUT)  # it may have been added
            raise hiredis.ProtocolError(f"not a total: {reply!r:.40}")

    def check_liveness(self, now: float) -> None:
        if self.transport is None:
            return
        if self.written_calls and now - self.last_received_at > DEAD_AFTER_S:
            self.transport.abort()
        elif not self.written_calls and now - self.last_received_at > PING_AFTER_S:
            self.write(CounterCall(None, now, self))
        elif self.owner.shared_clock is not None and self is self.owner.connections[0]:
            self.write(CounterCall(None, now, self, b"TIME"))


def incarnation_number(told: bytes) -> int:
    """A number for the counts that a tally says its totals continue; never 0."""
    return int.from_bytes(blake2b(told, digest_size=7).digest(), "big") + 1


class Counter:
    """Calls by name: those of one name share a connection, so their answers come in their order."""

    def __init__(
        self, address: Address, timeout: float, done: Callable[[Counted | Late], None],
        shared: SharedClock | None = None,
    ) -> None:  # fmt: skip
        """`shared`: at `ivymux tally`, which tells of its counts and its time, as the operators' counter does
        not: the clock that is set by it.
        """
        self.timeout, self.on_result, self.shared_clock = timeout, done, shared
        self.caller_id = secrets.token_hex(6)  # whose calls these are, where they may come again
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.expiring: deque[CounterCall] = deque()  # all wait equally long: oldest first
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.is_closed = False
        self.ready = self.loop.create_future()  # done once a first connection is up, with its time, or failed
        self.connections = [CounterConnection(self, address) for _ in range(CONNECTION_COUNT)]
        self.next_connections: list[
            CounterConnection
        ] = []  # to another address: each takes over once it is up
        for line in self.connections:
            line.connect()
        self.check_timer = self.loop.call_later(PING_AFTER_S / 2, self.check_connections)

    def set_ready(self) -> None:
        if not self.ready.done():
            self.ready.set_result(None)

    def change_address(self, address: Address) -> None:
        """Call at another address.  The old lines go on until the new ones are up, one by one."""
        if address == (self.next_connections or self.connections)[-1].address:
            return
        dropped, self.next_connections = (
            self.next_connections,
            [CounterConnection(self, address) for _ in range(CONNECTION_COUNT)],
        )
        for line in dropped:
            if line.transport is not None and line not in self.connections:
                line.transport.abort()
        for line in self.next_connections:
            line.connect()

    def on_connected(self, line: CounterConnection) -> None:
        if line in self.next_connections:
            place = self.next_connections.index(line)
            old, self.connections[place] = self.connections[place], line
            old.hand_over_to(line)
            if all(up.address == line.address for up in self.connections):
                self.next_connections = []

    def add(self, count: Count) -> None:
        self.connections[count.name % CONNECTION_COUNT].call(count, time.monotonic())
        if self.expiry_timer is None and self.expiring:
            self.expiry_timer = self.loop.call_later(self.timeout, self.expire)

    def expire(self) -> None:
        now = time.monotonic()
        while self.expiring:
            call = self.expiring[0]
            if not call.is_settled:
                if (left := call.started_at + self.timeout - now) > 0:
                    self.expiry_timer = self.loop.call_later(left, self.expire)
                    return
                call.connection.expire(call)
            self.expiring.popleft()
        self.expiry_timer = None

    def settle(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        if not call.is_settled and call.count is not None:
            call.is_settled = True
            told = Counted(call.count.name, outcome, total, self.elapsed(call), call.connection.incarnation)
            self.deliver(call.count, told)

    def on_time(self, sent: float, reply: Any) -> None:
        """Seconds and microseconds of Unix time, or an error from a tally that does not tell."""
        self.set_ready()
        if self.shared_clock is not None and isinstance(reply, list) and len(reply) == 2:
            try:
                told = int(reply[0]) + int(reply[1]) / 1e6
            except (TypeError, ValueError):
                raise hiredis.ProtocolError(f"not a time: {reply!r:.40}") from None
            self.shared_clock.heard(sent, time.monotonic(), told)

    def on_late_answer(self, call: CounterCall) -> None:
        """Hear that a call was answered after it was told as timed out."""
        assert call.count is not None
        self.deliver(call.count, Late(call.count.name))

    def deliver(self, count: Count, told: Counted | Late) -> None:
        """Hand an answer to whom it is for."""
        self.on_result(told)

    def elapsed(self, call: CounterCall) -> float:
        return time.monotonic() - call.started_at

    def check_connections(self) -> None:
        self.check_timer = self.loop.call_later(PING_AFTER_S / 2, self.check_connections)
        now = time.monotonic()
        for line in self.connections:
            line.check_liveness(now)

    def close(self) -> None:
        self.is_closed = True
        self.check_timer.cancel()
        if self.expiry_timer:
            self.expiry_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for line in [*self.connections, *self.next_connections]:
            if line.transport is not None:
                line.transport.abort()
