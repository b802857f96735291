"""What front doors of one and of many tenants have alike: their tasks, how they drain and how they end."""

from __future__ import annotations

import asyncio
import contextlib
import time
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any

from ivymux.data_plane.server import Server

LINGER = 0.6  # seconds after SIGTERM in which new connections go on coming
OVER = 0.4  # seconds beyond the longest deadline in which all that is held has its answer


class Door(ABC):
    """A front door that serves until it is told to end."""

    server: Server
    longest: float  # seconds that a request may take

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    @abstractmethod
    def waiting(self) -> int:
        """Requests without their answer."""

    @abstractmethod
    def answer_all(self) -> None:
        """Give what is still held its final answer."""

    @abstractmethod
    def close_parts(self) -> None:
        """Let go of all that is not the listener's."""

    @property
    def port(self) -> int:
        assert self.server.asyncio_server is not None
        return int(self.server.asyncio_server.sockets[0].getsockname()[1])

    def task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def drain(self) -> None:
        """Serve on while clients still come, then finish what is held, in time for all of it."""
        began = time.monotonic()
        await asyncio.sleep(LINGER)
        self.server.stop_listening()
        while self.waiting and time.monotonic() - began < self.longest + OVER:
            await asyncio.sleep(0.01)
        self.answer_all()
        await self.close()

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.close()
        await asyncio.sleep(0.05)  # the last answers leave
        self.close_parts()
