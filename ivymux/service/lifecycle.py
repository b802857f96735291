"""What gateways of one and of many tenants have in common: background tasks, draining and closing."""

from __future__ import annotations

import asyncio
import contextlib
import time
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any

from ivymux.data_plane.server import Server

LINGER_S = 0.6  # after SIGTERM, while clients may still open connections
DRAIN_POLL_S = 0.01
DRAIN_MARGIN_S = 0.4  # beyond the longest deadline, for the last open requests to be answered


class BaseGateway(ABC):
    """A gateway that serves requests until it is drained or closed."""

    server: Server
    max_deadline_s: float  # the longest time that a request may take

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    @abstractmethod
    def unanswered_count(self) -> int:
        """The number of requests that have no answer yet."""

    @abstractmethod
    def finish_all(self) -> None:
        """Answer all requests that are still open."""

    @abstractmethod
    def close_components(self) -> None:
        """Close all that does not belong to the listener, such as the connections to backends."""

    @property
    def port(self) -> int:
        """The port that the gateway listens on."""
        assert self.server.asyncio_server is not None
        return int(self.server.asyncio_server.sockets[0].getsockname()[1])

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task until it ends or the gateway is closed."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def has_unfinished_answers(self) -> bool:
        """Whether clients still wait for answers, or read them."""
        return bool(self.unanswered_count) or self.server.has_unsent_answers()

    async def drain(self) -> None:
        """Serve new connections for `LINGER_S`, finish open requests by their deadlines, then close."""
        started_at = time.monotonic()
        await asyncio.sleep(LINGER_S)
        self.server.stop_listening()
        deadline = started_at + self.max_deadline_s + DRAIN_MARGIN_S
        while self.has_unfinished_answers() and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        self.finish_all()
        await self.close()

    async def close(self) -> None:
        """Cancel the background tasks and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.close()
        await asyncio.sleep(0.05)  # the last answers are sent
        self.close_components()
