"""Outgoing connections between the system's processes, which are opened again whenever they end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ivymux.data_plane.limits import Address
from ivymux.transport.connection import Connection, TransportError
from ivymux.transport.frames import Message

CONNECT_TIMEOUT_S = 0.8
FIRST_RETRY_DELAY_S = 0.04
MAX_RETRY_DELAY_S = 0.5
# A killed process listens again within about FAST_RETRIES attempts.  The delay stays short for that many, so
# that its peers reconnect at once.
FAST_RETRIES = 30
MAX_FAST_RETRY_DELAY_S = 0.08


def reconnect_delay(failed_attempts: int) -> float:
    """Return the seconds to wait before the next connect, after `failed_attempts` failures in a row."""
    max_delay = MAX_FAST_RETRY_DELAY_S if failed_attempts < FAST_RETRIES else MAX_RETRY_DELAY_S
    return min(max_delay, FIRST_RETRY_DELAY_S * (1 << min(failed_attempts, 4)))


class Connector:
    """Keeps one connection to an address open and reconnects whenever it ends."""

    connection_class: type[Connection] = Connection

    def __init__(
        self,
        address: Address,
        on_message: Callable[[Connection, Message], None],
        on_connect: Callable[[Connection], None] | None = None,
        on_disconnect: Callable[[Connection], None] | None = None,
    ) -> None:
        self.address = address
        self.on_message, self.on_connect, self.on_disconnect = on_message, on_connect, on_disconnect
        self.connection: Connection | None = None
        self.is_closed = False
        self.failed_attempts = 0  # in a row
        self.task = asyncio.get_running_loop().create_task(self.keep_connected())

    @property
    def is_connected(self) -> bool:
        return self.connection is not None and self.connection.is_connected

    async def keep_connected(self) -> None:
        """Connect, wait for the connection's end, and start again until closed."""
        loop = asyncio.get_running_loop()
        while not self.is_closed:
            disconnected = asyncio.Event()

            def handle_disconnect(connection: Connection, disconnected: asyncio.Event = disconnected) -> None:
                disconnected.set()
                if self.on_disconnect is not None:
                    self.on_disconnect(connection)

            connection = self.connection_class(self.on_message, self.on_connect, handle_disconnect)

            def protocol_factory(protocol: Connection = connection) -> Connection:
                return protocol

            connection.peer = self.address
            # Set before connecting: the on_connect callback may send through this connector at once.
            self.connection = connection
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(protocol_factory, self.address.host, self.address.port)
                self.failed_attempts = 0
                await disconnected.wait()
            except (OSError, TimeoutError):
                self.failed_attempts += 1
                if connection.transport is not None:
                    connection.abort()
            if not self.is_closed:
                await asyncio.sleep(reconnect_delay(self.failed_attempts))

    def send(self, message: Message) -> bool:
        """Send a message if connected; return whether it was sent."""
        if self.connection is None or not self.connection.is_connected:
            return False
        self.connection.send(message)
        return True

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a message and return its answer, as `Connection.call`.  Raises TransportError."""
        if self.connection is None or not self.connection.is_connected:
            raise TransportError("not connected")
        return await self.connection.call(message, timeout)

    def close(self) -> None:
        self.is_closed = True
        self.task.cancel()
        if self.connection is not None:
            self.connection.abort()
