"""Counts of client connections that a server closed as it stopped, by what was left undone on them."""

from __future__ import annotations

import fcntl
import sys
import termios
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from ivymux.data_plane.client_connection import ClientConnection

QUEUE_LENGTH_BYTES = 4  # of the integer in which the kernel tells it


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel keeps until the peer has acknowledged them; 0 if it does not tell."""
    socket = transport.get_extra_info("socket")
    if socket is None:
        return 0
    try:
        length = fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, bytes(QUEUE_LENGTH_BYTES))
    except OSError:
        return 0
    return int.from_bytes(length, sys.byteorder)


@dataclass(slots=True)
class ClosedConnections:
    """Counts of closed connections; each counts once, for the first of these that applies."""

    unanswered: int = 0  # a request that was read whole has no answer
    unsent: int = 0  # answers are still in this process
    unacknowledged: int = 0  # answers are with the kernel, which the client has not acknowledged
    receiving: int = 0  # part of a request has arrived
    idle: int = 0

    def record(self, client: ClientConnection) -> None:
        """Count a connection that is closed next."""
        if client.transport is None:
            return
        if client.exchanges:
            self.unanswered += 1
        elif client.unsent_bytes:
            self.unsent += 1
        elif unacknowledged_bytes(client.transport):
            self.unacknowledged += 1
        elif client.has_begun:
            self.receiving += 1
        else:
            self.idle += 1

    def describe(self) -> str:
        """Return the counts as part of a log line."""
        return (
            f"connections closed: {self.idle} idle, {self.receiving} within a request,"
            f" {self.unanswered} with an unanswered request, {self.unsent} with unsent answers,"
            f" {self.unacknowledged} with unacknowledged answers"
        )
