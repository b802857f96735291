"""The TALLY call on a socket (RESP2), for front doors that share one tally."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from typing import Any, cast

import hiredis

from ivymux.data_plane.limits import Address
from ivymux.tally.store import CounterFullError, CounterStore, InvalidCallError, format_total, parse_call

MAX_CONNECTIONS = 512
MAX_UNREAD = 64 * 1024  # bytes of one call
PONG = b"+PONG\r\n"


class Caller(asyncio.Protocol):
    def __init__(self, owner: TallyServer) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.unread = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.owner.callers.add(self)
        if len(self.owner.callers) > MAX_CONNECTIONS:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.callers.discard(self)

    def pause_writing(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.unread += len(data)
        answers = []
        try:
            self.reader.feed(data)
            while (call := self.reader.gets()) is not False:
                self.unread = 0
                answers.append(self.owner.answer(call))
            if self.unread > MAX_UNREAD:
                raise hiredis.ProtocolError("a call without end")
        except hiredis.ProtocolError:
            answers.append(b"-ERR Protocol error\r\n")
            self.owner.store.flush()
            self.transport.write(b"".join(answers))
            self.transport.close()
            return
        self.owner.store.flush()  # what is answered is kept
        self.transport.write(b"".join(answers))


class TallyServer:
    """Serves one store."""

    def __init__(self, store: CounterStore, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: the store's seconds; they must not go back."""
        self.store, self.clock = store, clock
        # One that is kept nowhere ends with its process: no other continues its counts.
        self.incarnation = store.incarnation or secrets.token_bytes(16)
        self.callers: set[Caller] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> int:
        """Listen; the port.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), address.host, address.port)
        return int(self.server.sockets[0].getsockname()[1])

    def answer(self, call: Any) -> bytes:
        name = call[0].upper() if isinstance(call, list) and call and isinstance(call[0], bytes) else b""
        if name == b"PING":
            return PONG
        if name in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if name == b"INCARNATION":
            told = self.incarnation.hex().encode()
            return b"$%d\r\n%s\r\n" % (len(told), told)
        if name == b"TIME":  # as Redis has it: front doors set their clocks by it
            seconds, part = divmod(int(time.time() * 1e6), 1_000_000)
            pair = b"%d" % seconds, b"%d" % part
            return b"*2\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(t), t) for t in pair)
        if name != b"TALLY":
            return b"-ERR unknown command\r\n"
        try:
            read = parse_call(call)
            total = format_total(self.store.add_once(read, self.clock()))
        except InvalidCallError as error:
            return f"-ERR {error}\r\n".encode()
        except CounterFullError:
            return b"-BUSY no room for a new name\r\n"
        return b"$%d\r\n%s\r\n" % (len(total), total)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.abort()
