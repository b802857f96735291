"""Listens at all of a program's addresses before the program is created, and waits for those in use.

A program that is started while its predecessor still stops finds the addresses in use.  It waits for them
instead of ending, as a supervisor that starts it again would only repeat the failure.  The program that holds
the addresses is also the only one that uses the machine's data folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from collections.abc import Sequence

from ivymux.data_plane.limits import LISTEN_BACKLOG, Address, ConfigError
from ivymux.runtime.log import Log

RETRY_INTERVAL_S = 0.05
# Another process holds the address, or the machine does not have it yet.
PASSING_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})


class ListenError(ConfigError):
    """An address cannot be listened on; the text is one line."""


class ListeningSockets:
    """Listening sockets by address, until the program takes them over."""

    def __init__(self) -> None:
        self.by_address: dict[Address, socket.socket] = {}

    def add(self, listening: socket.socket) -> None:
        """Add a socket that listens already."""
        host, port = listening.getsockname()[:2]
        self.by_address[Address(host, port)] = listening

    def take(self, address: Address) -> socket.socket | None:
        """Return the socket of an address, which the caller then owns; None if there is none."""
        return self.by_address.pop(address, None)

    def open_missing(self, addresses: Sequence[Address]) -> None:
        """Listen at all these addresses, or at none.  Raises OSError."""
        try:
            for address in addresses:
                if address not in self.by_address:
                    self.by_address[address] = socket.create_server(
                        (address.host, address.port), backlog=LISTEN_BACKLOG
                    )
        except OSError:
            # A client that connects meanwhile must be refused at once, not wait for this program.
            self.close()
            raise

    async def open(
        self, addresses: Sequence[Address], patience_s: float, stopping: asyncio.Event, log: Log
    ) -> None:
        """Listen at all addresses, waiting up to `patience_s` for them, or until `stopping` is set.

        Raises ListenError.
        """
        deadline = time.monotonic() + patience_s
        is_logged = False
        while not stopping.is_set():
            try:
                self.open_missing(addresses)
                return
            except OSError as error:
                if error.errno not in PASSING_ERRORS or time.monotonic() > deadline:
                    raise ListenError(f"cannot listen: {error}") from None
                if not is_logged:
                    log.info(f"waits up to {patience_s:g} s to listen: {error}.")
                    is_logged = True
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), RETRY_INTERVAL_S)

    def close(self) -> None:
        """Close the sockets that were not taken."""
        for listening in self.by_address.values():
            listening.close()
        self.by_address.clear()
