"""An event loop with virtual time: its clock advances to the next timer only when no work is left.

It serves real sockets over loopback; a minute takes no longer than its work, and every run is timed alike.
"""

from __future__ import annotations

import asyncio
import os
import selectors
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import pytest

MAX_POLLS = 12  # of the sockets before time advances, while the kernel delivers bytes over loopback


class VirtualTimeSelector(selectors.BaseSelector):
    """Polls sockets; instead of waiting for a timer it advances the virtual time."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.now = 1_000_000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if found := self.selector.select(0):
            return found
        if timeout is not None and timeout <= 0:
            return []
        for _ in range(MAX_POLLS):
            os.sched_yield()  # a wait would take at least a millisecond, the resolution of epoll
            if found := self.selector.select(0):
                return found
        if timeout is None:
            raise AssertionError("no socket and no timer to wait for: the test would hang")
        self.now += timeout
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        return self.selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.selector.unregister(fileobj)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        return self.selector.modify(fileobj, events, data)

    def close(self) -> None:
        self.selector.close()

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self.selector.get_map()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.now


def run_in_virtual_time(test: Callable[[], Awaitable[None]], monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a test on a `VirtualTimeLoop`, with the clocks of module `time` patched to its time."""
    loop = VirtualTimeLoop()
    with monkeypatch.context() as patch:
        patch.setattr(time, "monotonic", loop.time)
        patch.setattr(time, "time", loop.time)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(as_coroutine(test))


async def as_coroutine(test: Callable[[], Awaitable[None]]) -> None:
    await test()
