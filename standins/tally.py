"""A counter service with scripted faults: each gateway has its own port, and its own faults."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any, cast

import hiredis

from ivymux.tally.server import CounterServer
from ivymux.tally.store import CounterStore


class CopyableStore(CounterStore):
    """A counter store in memory that has an incarnation and can be copied."""

    def __init__(
        self, totals: dict[bytes, float] | None = None, expiries: list[tuple[float, bytes]] | None = None
    ) -> None:
        super().__init__()
        self.incarnation = secrets.token_bytes(16)
        self.totals, self.expiries = dict(totals or {}), list(expiries or [])

    def clone(self) -> CopyableStore:
        """Return another store, with another incarnation, that starts from the current totals."""
        return CopyableStore(self.totals, self.expiries)


class GatewayConnection(asyncio.Protocol):
    """A connection of a gateway."""

    def __init__(self, server: FaultyCounterServer) -> None:
        self.server = server
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        fault = self.server.fault
        if fault == "silent":
            return  # the call is lost on the network
        self.reader.feed(data)
        while (call := self.reader.gets()) is not False:
            answer = self.server.execute(call)
            if fault == "late":
                asyncio.get_running_loop().call_later(self.server.delay, self.send, answer)
            elif fault == "ok":
                self.send(answer)  # with "lost" the call was executed, but its answer is not sent

    def send(self, answer: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(answer)


class FaultyCounterServer:
    """The counter service as one gateway reaches it."""

    def __init__(self, store: CopyableStore) -> None:
        self.fault = "ok"  # or silent, refused, late, lost
        self.delay = 0.5  # of answers with "late", in seconds
        self.connections: set[GatewayConnection] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0
        self.calls = 0
        self.use_store(store)

    def use_store(self, store: CopyableStore) -> None:
        """Serve another store on new connections, as if the address led to another machine."""
        self.store = store
        self.executor = CounterServer(store, lambda: asyncio.get_running_loop().time())
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def execute(self, call: Any) -> bytes:
        """Execute a call on the current store, and count it if it is TALLY."""
        self.calls += call[0] == b"TALLY"
        return self.executor.execute(call)

    async def start(self) -> FaultyCounterServer:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: GatewayConnection(self), "127.0.0.1", self.port)
        self.port = int(self.listener.sockets[0].getsockname()[1])
        return self

    async def set_fault(self, fault: str) -> None:
        """Change the fault."""
        previous, self.fault = self.fault, fault
        if fault == "refused":
            self.stop()
        elif previous == "refused":
            await self.start()
        elif previous == "silent":
            # Calls were lost in the middle of the stream, so the connections cannot be used further.
            for connection in list(self.connections):
                if connection.transport is not None:
                    connection.transport.abort()

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
