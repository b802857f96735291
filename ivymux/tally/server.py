"""The counter service's server: the TALLY command over RESP2, for gateways that share one set of totals."""

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
MAX_CALL_BYTES = 64 * 1024
PONG = b"+PONG\r\n"


class ClientConnection(asyncio.Protocol):
    """A gateway's connection to the server."""

    def __init__(self, server: CounterServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.unparsed_bytes = 0  # since the last complete call

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        if len(self.server.connections) > MAX_CONNECTIONS:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)

    def pause_writing(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.unparsed_bytes += len(data)
        replies = []
        try:
            self.reader.feed(data)
            while (call := self.reader.gets()) is not False:
                self.unparsed_bytes = 0
                replies.append(self.server.execute(call))
            if self.unparsed_bytes > MAX_CALL_BYTES:
                raise hiredis.ProtocolError(f"call exceeds {MAX_CALL_BYTES} bytes")
        except hiredis.ProtocolError:
            replies.append(b"-ERR Protocol error\r\n")
            self.server.store.flush()
            self.transport.write(b"".join(replies))
            self.transport.close()
            return
        self.server.store.flush()  # saves the changes before their replies are sent
        self.transport.write(b"".join(replies))


class CounterServer:
    """Serves one store."""

    def __init__(self, store: CounterStore, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: returns the store's time in seconds, and must not go back."""
        self.store, self.clock = store, clock
        # The totals of a store without an incarnation end with the process, so it gets one for this process.
        self.incarnation = store.incarnation or secrets.token_bytes(16)
        self.connections: set[ClientConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> int:
        """Listen, and return the port.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ClientConnection(self), address.host, address.port)
        return int(self.server.sockets[0].getsockname()[1])

    def execute(self, call: Any) -> bytes:
        """Execute a call and return its encoded reply."""
        command = call[0].upper() if isinstance(call, list) and call and isinstance(call[0], bytes) else b""
        if command == b"PING":
            return PONG
        if command in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if command == b"INCARNATION":
            return encode_bulk_string(self.incarnation.hex().encode())
        if command == b"TIME":  # the same reply as in Redis; gateways synchronize their clocks with it
            seconds, microseconds = divmod(int(time.time() * 1e6), 1_000_000)
            pair = b"%d" % seconds, b"%d" % microseconds
            return b"*2\r\n" + b"".join(encode_bulk_string(text) for text in pair)
        if command != b"TALLY":
            return b"-ERR unknown command\r\n"
        try:
            tally_call = parse_call(call)
            total = format_total(self.store.add_once(tally_call, self.clock()))
        except InvalidCallError as error:
            return f"-ERR {error}\r\n".encode()
        except CounterFullError:
            return b"-BUSY no room for a new name\r\n"
        return encode_bulk_string(total)

    def close(self) -> None:
        """Stop listening, and abort the connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


def encode_bulk_string(text: bytes) -> bytes:
    """Encode a RESP bulk string."""
    return b"$%d\r\n%s\r\n" % (len(text), text)
