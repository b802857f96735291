"""Incoming connections from other processes of the system, and their limits."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from ivymux.data_plane.limits import LISTEN_BACKLOG, Address
from ivymux.data_plane.receive_queue import ReceiveQueue
from ivymux.runtime.settings import Settings
from ivymux.transport.connection import Connection
from ivymux.transport.frames import Message
from ivymux.transport.partial_frames import PartialFrames
from ivymux.transport.unread_messages import UnreadMessages

MAX_CONNECTIONS = 600  # of one listener
CONNECTION_FD_SHARE = 1 / 4  # of a process's descriptors, for the connections of one listener
PARTIAL_MEMORY_SHARE = 1 / 8  # of a process's memory, for messages that have not arrived whole
MAX_PARTIAL_BYTES = 32 << 20  # of these, where the memory is not known
UNREAD_MEMORY_SHARE = 1 / 6  # of a process's memory, for messages that peers have not read
MAX_UNREAD_BYTES = 48 << 20  # of these, where the memory is not known


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What one listener takes on all its connections together."""

    max_connections: int = MAX_CONNECTIONS  # further ones are aborted as soon as they are accepted
    max_partial_bytes: int = MAX_PARTIAL_BYTES  # of messages that have not arrived whole
    max_unread_bytes: int = MAX_UNREAD_BYTES  # of messages that peers have not read

    @classmethod
    def from_settings(cls, settings: Settings, max_connections: int | None = None) -> ListenerLimits:
        """Return the limits of a process's listener; `max_connections` replaces the usual number."""
        if max_connections is None:
            max_connections = min(MAX_CONNECTIONS, int(CONNECTION_FD_SHARE * settings.fd_limit))
        memory_bytes = settings.memory_mb * (1 << 20)
        return cls(
            max_connections,
            int(PARTIAL_MEMORY_SHARE * memory_bytes),
            int(UNREAD_MEMORY_SHARE * memory_bytes),
        )


DEFAULT_LIMITS = ListenerLimits()


class Listener:
    """Accepts connections from other processes of the system."""

    def __init__(
        self,
        on_message: Callable[[Connection, Message], None],
        on_connect: Callable[[Connection], None] | None = None,
        on_disconnect: Callable[[Connection], None] | None = None,
        limits: ListenerLimits = DEFAULT_LIMITS,
    ) -> None:
        self.on_message, self.on_connect, self.on_disconnect = on_message, on_connect, on_disconnect
        self.max_connections = limits.max_connections
        self.connections: set[Connection] = set()
        self.partial_frames = PartialFrames(limits.max_partial_bytes)
        self.unread_messages = UnreadMessages(limits.max_unread_bytes)
        self.receive_queue: ReceiveQueue | None = None  # from the start on
        self.server: asyncio.Server | None = None

    async def start(self, address: Address, listening: socket.socket | None = None) -> int:
        """Listen at `address`, where `listening` may listen already; return the port.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self.receive_queue = ReceiveQueue(loop)
        if listening is None:
            listening = socket.create_server((address.host, address.port), backlog=LISTEN_BACKLOG)
        self.server = await loop.create_server(self.create_protocol, sock=listening, backlog=LISTEN_BACKLOG)
        return int(self.server.sockets[0].getsockname()[1])

    def create_protocol(self) -> Connection:
        connection = Connection(self.on_message, self.add_connection, self.remove_connection)
        connection.receive_queue, connection.partial_frames = self.receive_queue, self.partial_frames
        connection.unread_messages = self.unread_messages
        return connection

    def add_connection(self, connection: Connection) -> None:
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            connection.abort()
        elif self.on_connect is not None:
            self.on_connect(connection)

    def remove_connection(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if self.on_disconnect is not None:
            self.on_disconnect(connection)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
