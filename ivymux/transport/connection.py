"""Held connections: one that was dialled or taken, messages on it, calls with answers, silence noticed."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any, cast

from ivymux.data_plane.limits import Address
from ivymux.transport.frames import FrameError, Frames, Message, pack

CONNECT_TIMEOUT = 0.8  # seconds
PING = 0.7  # seconds without a word after which one is said
SILENT = 2.0  # seconds without a word after which the connection counts as dead
RETRY_FIRST, RETRY_MAX = 0.04, 0.5  # seconds between attempts to connect
SOON = 30  # attempts in a row, nearly all within the start of a process that was killed, for which
RETRY_SOON = 0.08  # it is the most: a process that comes back is met at once
MAX_UNSENT = 16 << 20  # bytes that may wait for a peer that does not read
MAX_HELD = 600  # connections that one listener holds


class TransportError(Exception):
    """A call that could not be carried: no connection, or no answer in time."""


class Line(asyncio.Protocol):
    """One connection to another process of the system."""

    def __init__(
        self,
        on_message: Callable[[Line, Message], None],
        on_up: Callable[[Line], None] | None = None,
        on_down: Callable[[Line], None] | None = None,
    ) -> None:
        self.on_message, self.on_up, self.on_down = on_message, on_up, on_down
        self.transport: asyncio.Transport | None = None
        self.frames = Frames()
        self.heard = self.said = time.monotonic()
        self.peer: Any = None  # whatever the owner knows of the other end
        self.calls: dict[int, asyncio.Future[Message]] = {}
        self.numbers = itertools.count(1)
        self.timer: asyncio.TimerHandle | None = None
        self.up = False
        self.ended = False
        self.spoilt = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:  # it came up in the very moment in which it was given up
            self.transport.abort()
            return
        self.heard = self.said = time.monotonic()
        self.up = True
        self.timer = asyncio.get_running_loop().call_later(PING, self.watch)
        if self.on_up is not None:
            self.on_up(self)

    def data_received(self, data: bytes) -> None:
        self.heard = time.monotonic()
        try:
            messages = self.frames.feed(data)
        except FrameError:
            self.spoilt += 1
            self.abort()
            return
        for message in messages:
            number = message.get("re")
            if number is not None:
                waiting = self.calls.pop(number, None) if isinstance(number, int) else None
                if waiting is not None and not waiting.done():
                    waiting.set_result(message)
            elif message.get("k") == "ping":
                pass
            else:
                self.on_message(self, message)
            if not self.up:
                return

    def send(self, message: Message) -> None:
        self.write(pack(message))

    def write(self, data: bytes) -> None:
        """Bytes that `pack` made; the same may go to many."""
        if not self.up or self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT:
            self.abort()
            return
        self.said = time.monotonic()
        try:
            self.transport.write(data)
        except RuntimeError:  # the loop closed it unseen: a connect that was cancelled as it came up
            self.abort()

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a message that is answered by one with `re`.  Raises TransportError."""
        if not self.up:
            raise TransportError("not connected")
        number = next(self.numbers)
        waiting: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.calls[number] = waiting
        self.send({**message, "n": number})
        try:
            return await asyncio.wait_for(waiting, timeout)
        except TimeoutError:
            raise TransportError("no answer in time") from None
        finally:
            self.calls.pop(number, None)

    def answer(self, message: Message, **fields: Any) -> None:
        """Answer a call."""
        self.send({"re": message.get("n"), **fields})

    def watch(self) -> None:
        now = time.monotonic()
        if not self.up:
            return
        if now - self.heard > SILENT:
            self.abort()
            return
        if now - self.said >= PING * 0.95:
            self.send({"k": "ping"})
        self.timer = asyncio.get_running_loop().call_later(PING, self.watch)

    def connection_lost(self, error: Exception | None) -> None:
        self.down()

    def down(self) -> None:
        if not self.up:
            return
        self.up = False
        if self.timer is not None:
            self.timer.cancel()
        for waiting in self.calls.values():
            if not waiting.done():
                waiting.set_exception(TransportError("the connection ended"))
                waiting.exception()  # seen, also where nobody waits any more
        self.calls.clear()
        if self.on_down is not None:
            self.on_down(self)

    def abort(self) -> None:
        self.ended = True
        if self.transport is not None:
            self.transport.abort()
        self.down()


def pause(tried: int) -> float:
    """Seconds before the next attempt to connect, after so many in a row that failed."""
    return min(RETRY_SOON if tried < SOON else RETRY_MAX, RETRY_FIRST * (1 << min(tried, 4)))


class Dialler:
    """Keeps one connection to an address, and dials again whenever it ends."""

    kind: type[Line] = Line

    def __init__(
        self,
        address: Address,
        on_message: Callable[[Line, Message], None],
        on_up: Callable[[Line], None] | None = None,
        on_down: Callable[[Line], None] | None = None,
    ) -> None:
        self.address = address
        self.on_message, self.on_up, self.on_down = on_message, on_up, on_down
        self.line: Line | None = None
        self.closed = False
        self.tried = 0  # attempts in a row that failed
        self.task = asyncio.get_running_loop().create_task(self.keep())

    @property
    def up(self) -> bool:
        return self.line is not None and self.line.up

    async def keep(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.closed:
            ended = asyncio.Event()

            def down(line: Line, ended: asyncio.Event = ended) -> None:
                ended.set()
                if self.on_down is not None:
                    self.on_down(line)

            line = self.kind(self.on_message, self.on_up, down)
            made = (lambda held: lambda: held)(line)
            line.peer = self.address
            # Known before it is up: what hears of that may send at once.
            self.line = line
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    await loop.create_connection(made, self.address.host, self.address.port)
                self.tried = 0
                await ended.wait()
            except (OSError, TimeoutError):
                self.tried += 1
                if line.transport is not None:
                    line.abort()
            if not self.closed:
                await asyncio.sleep(pause(self.tried))

    def send(self, message: Message) -> bool:
        """Whether there was a connection to send it on."""
        if self.line is None or not self.line.up:
            return False
        self.line.send(message)
        return True

    async def call(self, message: Message, timeout: float) -> Message:
        if self.line is None or not self.line.up:
            raise TransportError("not connected")
        return await self.line.call(message, timeout)

    def close(self) -> None:
        self.closed = True
        self.task.cancel()
        if self.line is not None:
            self.line.abort()


class Listener:
    """Takes connections of other processes of the system."""

    def __init__(
        self,
        on_message: Callable[[Line, Message], None],
        on_up: Callable[[Line], None] | None = None,
        on_down: Callable[[Line], None] | None = None,
        most: int = MAX_HELD,
    ) -> None:
        """`most`: connections that are held at once."""
        self.on_message, self.on_up, self.on_down = on_message, on_up, on_down
        self.most = most
        self.lines: set[Line] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> int:
        """Listen; the port.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.make, address.host, address.port, backlog=512)
        return int(self.server.sockets[0].getsockname()[1])

    def make(self) -> Line:
        return Line(self.on_message, self.add, self.drop)

    def add(self, line: Line) -> None:
        self.lines.add(line)
        if len(self.lines) > self.most:
            line.abort()
        elif self.on_up is not None:
            self.on_up(line)

    def drop(self, line: Line) -> None:
        self.lines.discard(line)
        if self.on_down is not None:
            self.on_down(line)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for line in list(self.lines):
            line.abort()
