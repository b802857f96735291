"""Waits until no other process listens at an address, as a predecessor that still stops does."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket
import time
from collections.abc import Sequence

from ivymux.data_plane.limits import Address

RETRY_INTERVAL_S = 0.05
MAX_WAIT_S = 15.0  # longer than any of the programs takes to stop

log = logging.getLogger("ivymux")


def is_in_use(address: Address) -> bool:
    """Whether another process listens at an address.  Any other fault is left to the start itself."""
    with socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address.host, address.port))
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False


async def wait_until_free(addresses: Sequence[Address], stopping: asyncio.Event) -> None:
    """Wait until the addresses are free, until `MAX_WAIT_S` has passed, or until `stopping` is set."""
    deadline = time.monotonic() + MAX_WAIT_S
    is_logged = False
    while not stopping.is_set() and time.monotonic() < deadline:
        taken = [address for address in addresses if is_in_use(address)]
        if not taken:
            return
        if not is_logged:
            host, port = taken[0].host, taken[0].port
            log.info("waits up to %g s: another process listens on %s:%d", MAX_WAIT_S, host, port)
            is_logged = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), RETRY_INTERVAL_S)
