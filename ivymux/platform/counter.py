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

LINES = 4  # connections; the counter holds 32 of a front door
MAX_PENDING = 1000  # calls on one connection that wait for their answers
PING_AFTER = 2.0  # seconds without a call after which a PING keeps the connection from standing idle
DEAD_AFTER = 2.0  # seconds with calls out and no byte back: the machine behind it has vanished
RETRY_FIRST, RETRY_MAX = 0.05, 1.0  # seconds between attempts to connect
CONNECT_TIMEOUT = 1.0
MAX_ANSWER = 64 * 1024  # bytes; a total is far shorter
TOTAL = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")  # neither nan nor inf

log = logging.getLogger(__name__)


class Call:
    __slots__ = ("asks", "began", "count", "line", "settled")

    def __init__(self, count: Count | None, began: float, line: Line, asks: bytes = b"PING") -> None:
        self.count = count  # None for one of the line's own, which is `asks`
        self.began = began
        self.line = line
        self.asks = asks
        self.settled = count is None  # the module has had its answer


class Line(asyncio.Protocol):
    """One connection, with the calls written to it in the order in which their answers come."""

    def __init__(self, owner: Counter, address: Address) -> None:
        self.owner, self.address = owner, address
        self.before: Line | None = None  # whose place this one took and whose calls come first
        self.heir: Line | None = None  # that took this one's place
        self.transport: asyncio.Transport | None = None
        self.calls: deque[Call] = deque()  # written
        self.held: deque[Call] = deque()  # to be written once the connection is up
        self.connecting = False
        self.unsent = False  # whether written bytes still wait in this process
        self.heard = 0.0
        self.wait = RETRY_FIRST
        self.reader: Any = None
        self.unread = 0  # bytes read since the last answer
        self.born = 0  # of which counts its answers are, where the counter tells

    # --- calls -------------------------------------------------------------------------------------

    def call(self, count: Count, now: float) -> None:
        call = Call(count, now, self)
        if len(self.calls) + len(self.held) >= MAX_PENDING:
            self.owner.settle(call, Outcome.FULL)
            return
        if self.transport is None and not self.connecting:  # refused a moment ago; it tries again shortly
            self.owner.settle(call, Outcome.CONNECT_FAILED)
            return
        self.owner.expiring.append(call)
        if self.open():
            self.write(call)
        else:
            self.held.append(call)

    def open(self) -> bool:
        """Whether a call may be written now.  Not before those at the old counter have ended: the answers
        for one name are told in the order of its calls.
        """
        return self.transport is not None and not self.transport.is_closing() and self.before is None

    def flush(self) -> None:
        while self.held and self.open():
            self.write(self.held.popleft())

    def write(self, call: Call) -> None:
        assert self.transport is not None
        if not self.calls:
            self.heard = time.monotonic()
        self.calls.append(call)
        count = call.count
        if count is None:
            self.transport.write(b"*1\r\n$%d\r\n%s\r\n" % (len(call.asks), call.asks))
            return
        life = max(1, min(60_000, round(count.expires * 1000)))
        command: tuple[str, ...] = ("TALLY", str(count.name), f"{count.amount:.6f}", str(life))
        if count.call and self.owner.shared is not None:
            command = (*command, f"{self.owner.caller}:{count.call}")
        self.transport.write(hiredis.pack_command(command))  # type: ignore[arg-type]  # any length is taken

    def expire(self, call: Call) -> None:
        if call in self.held:
            self.held.remove(call)  # never written, so it can never be added
            self.owner.settle(call, Outcome.CONNECT_FAILED)
        else:
            # It keeps its place in `calls`: its late answer must not be taken for the next call's.
            self.owner.settle(call, Outcome.TIMEOUT)
        self.retire()

    def give_way(self, heir: Line) -> None:
        """Another line takes this one's place: what is out here ends here, what was not written moves."""
        self.heir, heir.before = heir, self
        heir.held, self.held = self.held, deque()
        for call in heir.held:
            call.line = heir
        self.retire()

    def retire(self) -> None:
        """Once its calls have ended, a line that gave way lets its heir write, and ends."""
        if self.heir is not None and all(call.settled for call in self.calls):
            heir, self.heir = self.heir, None
            heir.before = None
            if self.transport is not None:
                self.transport.abort()
            heir.flush()

    def current(self) -> bool:
        return self in self.owner.lines or self in self.owner.coming

    # --- connection --------------------------------------------------------------------------------

    def connect(self) -> None:
        if not self.connecting and self.transport is None and not self.owner.closed and self.current():
            self.connecting = True
            task = self.owner.loop.create_task(self.try_connect())
            self.owner.tasks.add(task)
            task.add_done_callback(self.owner.tasks.discard)

    async def try_connect(self) -> None:
        address = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self.owner.loop.create_connection(lambda: self, address.host, address.port)
        except (OSError, TimeoutError):
            self.connecting = False
            if self.transport is not None:
                # It came up in the very moment in which the wait ended: the loop has closed it and calls no
                # `connection_lost`.  Kept, it would fail every call from then on.
                self.transport.abort()
                self.connection_lost(None)
                return
            self.fail_held()
            self.owner.loop.call_later(self.wait, self.connect)
            self.wait = min(RETRY_MAX, 2 * self.wait)
            self.owner.tried()
        else:
            if self.owner.shared is None:  # else the time comes first: it counts from the first event on
                self.owner.tried()

    def fail_held(self) -> None:
        held, self.held = self.held, deque()
        for call in held:
            self.owner.settle(call, Outcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)
        self.transport, self.connecting, self.unsent = transport, False, False
        self.reader, self.unread = hiredis.Reader(), 0
        self.heard = time.monotonic()
        if not self.current():  # moved on while it connected
            transport.abort()
            return
        self.owner.connected(self)
        if self.owner.shared is not None:
            # Before any call: each answer is then known to belong to these counts.
            self.write(Call(None, self.heard, self, b"INCARNATION"))
            self.write(Call(None, self.heard, self, b"TIME"))
        self.flush()

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        calls, self.calls = self.calls, deque()
        for call in calls:
            # Which of several calls the unsent bytes belong to is not known; only one alone is certain.
            alone = self.unsent and len(calls) == 1
            self.owner.settle(call, Outcome.CONNECT_FAILED if alone else Outcome.TIMEOUT)
        self.retire()
        self.connect()

    def data_received(self, data: bytes) -> None:
        self.heard, self.wait = time.monotonic(), RETRY_FIRST
        self.unread += len(data)
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self.unread = 0
                if not self.calls:
                    raise hiredis.ProtocolError("an answer that no call waits for")
                self.answer(self.calls.popleft(), reply)
            if self.unread > MAX_ANSWER:
                raise hiredis.ProtocolError("an answer without end")
        except hiredis.ProtocolError as error:  # framing is lost: nothing behind it can be matched
            log.warning("counter: %s", error)
            if self.transport is not None:
                self.transport.abort()
        self.retire()

    def answer(self, call: Call, reply: Any) -> None:
        """Settle one call.  An answer that is none raises: it is not known what the next ones belong to."""
        if call.settled and call.count is not None:
            self.owner.late(call)
        if call.asks == b"INCARNATION":
            # A tally that does not know the call tells nothing of its counts.
            self.born = incarnation(reply) if isinstance(reply, bytes) else 0
        elif call.asks == b"TIME":
            self.owner.time_told(call.began, reply)
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

    def look(self, now: float) -> None:
        if self.transport is None:
            return
        if self.calls and now - self.heard > DEAD_AFTER:
            self.transport.abort()
        elif not self.calls and now - self.heard > PING_AFTER:
            self.write(Call(None, now, self))
        elif self.owner.shared is not None and self is self.owner.lines[0]:
            self.write(Call(None, now, self, b"TIME"))


def incarnation(told: bytes) -> int:
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
        self.timeout, self.done, self.shared = timeout, done, shared
        self.caller = secrets.token_hex(6)  # whose calls these are, where they may come again
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.expiring: deque[Call] = deque()  # all wait equally long: oldest first
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.ready = self.loop.create_future()  # done once a first connection is up, with its time, or failed
        self.lines = [Line(self, address) for _ in range(LINES)]
        self.coming: list[Line] = []  # to another address: each takes over once it is up
        for line in self.lines:
            line.connect()
        self.watch = self.loop.call_later(PING_AFTER / 2, self.look)

    def tried(self) -> None:
        if not self.ready.done():
            self.ready.set_result(None)

    def move(self, address: Address) -> None:
        """Call at another address.  The old lines go on until the new ones are up, one by one."""
        if address == (self.coming or self.lines)[-1].address:
            return
        dropped, self.coming = self.coming, [Line(self, address) for _ in range(LINES)]
        for line in dropped:
            if line.transport is not None and line not in self.lines:
                line.transport.abort()
        for line in self.coming:
            line.connect()

    def connected(self, line: Line) -> None:
        if line in self.coming:
            place = self.coming.index(line)
            old, self.lines[place] = self.lines[place], line
            old.give_way(line)
            if all(up.address == line.address for up in self.lines):
                self.coming = []

    def add(self, count: Count) -> None:
        self.lines[count.name % LINES].call(count, time.monotonic())
        if self.timer is None and self.expiring:
            self.timer = self.loop.call_later(self.timeout, self.expire)

    def expire(self) -> None:
        now = time.monotonic()
        while self.expiring:
            call = self.expiring[0]
            if not call.settled:
                if (left := call.began + self.timeout - now) > 0:
                    self.timer = self.loop.call_later(left, self.expire)
                    return
                call.line.expire(call)
            self.expiring.popleft()
        self.timer = None

    def settle(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        if not call.settled and call.count is not None:
            call.settled = True
            told = Counted(call.count.name, outcome, total, self.spent(call), call.line.born)
            self.tell(call.count, told)

    def time_told(self, sent: float, reply: Any) -> None:
        """Seconds and microseconds of Unix time, or an error from a tally that does not tell."""
        self.tried()
        if self.shared is not None and isinstance(reply, list) and len(reply) == 2:
            try:
                told = int(reply[0]) + int(reply[1]) / 1e6
            except (TypeError, ValueError):
                raise hiredis.ProtocolError(f"not a time: {reply!r:.40}") from None
            self.shared.heard(sent, time.monotonic(), told)

    def late(self, call: Call) -> None:
        """Hear that a call was answered after it was told as timed out."""
        assert call.count is not None
        self.tell(call.count, Late(call.count.name))

    def tell(self, count: Count, told: Counted | Late) -> None:
        """Hand an answer to whom it is for."""
        self.done(told)

    def spent(self, call: Call) -> float:
        return time.monotonic() - call.began

    def look(self) -> None:
        self.watch = self.loop.call_later(PING_AFTER / 2, self.look)
        now = time.monotonic()
        for line in self.lines:
            line.look(now)

    def close(self) -> None:
        self.closed = True
        self.watch.cancel()
        if self.timer:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        for line in [*self.lines, *self.coming]:
            if line.transport is not None:
                line.transport.abort()
