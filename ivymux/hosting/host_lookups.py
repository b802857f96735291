"""Host name look-ups for the workers of many tenants: a shared thread pool with a limit for each tenant."""

from __future__ import annotations

import asyncio
import socket
from concurrent.futures import ThreadPoolExecutor

from ivymux.membership.resolver import LookUp

THREADS = 32
MAX_RUNNING = 2  # look-ups of one tenant; one that hangs occupies its thread until the system's time-out


def resolve(name: str) -> list[str]:
    """Return all addresses of a host name.  Raises OSError."""
    return sorted({str(entry[4][0]) for entry in socket.getaddrinfo(name, None, type=socket.SOCK_STREAM)})


class HostLookups:
    """The thread pool that looks up host names for all tenants."""

    def __init__(self) -> None:
        self.threads = ThreadPoolExecutor(THREADS, thread_name_prefix="look-up")

    def for_tenant(self) -> LookUp:
        """Return one tenant's look-up function.

        A look-up whose caller has stopped waiting still counts towards the limit until it ends.
        """
        slots = asyncio.Semaphore(MAX_RUNNING)

        async def look_up(name: str) -> list[str]:
            await slots.acquire()
            try:
                running = asyncio.get_running_loop().run_in_executor(self.threads, resolve, name)
            except BaseException:
                slots.release()
                raise
            running.add_done_callback(lambda _: slots.release())
            return await asyncio.shield(running)

        return look_up

    def close(self) -> None:
        """Cancel queued look-ups without waiting for the running ones."""
        self.threads.shutdown(wait=False, cancel_futures=True)
