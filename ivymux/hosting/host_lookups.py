"""Look-ups of workers' names for many tenants: a few threads of their own, few of these for each tenant."""

from __future__ import annotations

import asyncio
import socket
from concurrent.futures import ThreadPoolExecutor

from ivymux.membership.resolver import LookUp

THREADS = 32
MAX_RUNNING = 2  # of one tenant: a look-up that hangs holds its thread until the system gives it up


def ask(name: str) -> list[str]:
    """All addresses of a name.  Raises OSError."""
    return sorted({str(entry[4][0]) for entry in socket.getaddrinfo(name, None, type=socket.SOCK_STREAM)})


class HostLookups:
    def __init__(self) -> None:
        self.threads = ThreadPoolExecutor(THREADS, thread_name_prefix="look-up")

    def for_tenant(self) -> LookUp:
        """One tenant's look-up.  A name that is waited for no longer goes on counting while it runs."""
        gate = asyncio.Semaphore(MAX_RUNNING)

        async def look_up(name: str) -> list[str]:
            await gate.acquire()
            try:
                running = asyncio.get_running_loop().run_in_executor(self.threads, ask, name)
            except BaseException:
                gate.release()
                raise
            running.add_done_callback(lambda _: gate.release())
            return await asyncio.shield(running)

        return look_up

    def close(self) -> None:
        self.threads.shutdown(wait=False, cancel_futures=True)
