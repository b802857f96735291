"""Connections whose received bytes are worked off in turns, so that none holds up the others.

A connection that sends much at once gets one slice of its bytes parsed in each turn.  After `TURN_S` the
event loop runs again, so that all other connections, timers and answers are served meanwhile.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

TURN_S = 0.003  # in each iteration of the event loop


class Receiver(Protocol):
    """A connection that has received bytes which are not parsed yet."""

    def parse_next(self) -> bool:
        """Parse a slice of them; return whether there are more that can be parsed now."""


class ReceiveQueue:
    """The connections of one owner that wait for their turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[Receiver] = deque()
        self.is_scheduled = False
        self.turn_s = TURN_S

    def add(self, receiver: Receiver) -> None:
        """Let a connection that is not in the queue wait for its turn."""
        self.waiting.append(receiver)
        self.schedule()

    def schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self.run)

    def run(self) -> None:
        """Give turns, one slice each, until the time of this iteration is used."""
        self.is_scheduled = False
        deadline = time.monotonic() + self.turn_s
        while self.waiting:
            receiver = self.waiting.popleft()
            if receiver.parse_next():
                self.waiting.append(receiver)
            if time.monotonic() >= deadline:
                break
        if self.waiting:
            self.schedule()
