"""A tally with scripted faults: each front door has a port of its own, and sees what is scripted for it."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any, cast

import hiredis

from ivymux.tally.server import CounterServer
from ivymux.tally.store import CounterStore


class Counts(CounterStore):
    """Totals with an incarnation of their own."""

    def __init__(
        self, copy: dict[bytes, float] | None = None, ends: list[tuple[float, bytes]] | None = None
    ) -> None:
        super().__init__()
        self.incarnation = secrets.token_bytes(16)
        self.totals, self.expiries = dict(copy or {}), list(ends or [])

    def copied(self) -> Counts:
        """Another tally that starts from what this one has now."""
        return Counts(self.totals, self.expiries)


class Line(asyncio.Protocol):
    """One connection of a front door."""

    def __init__(self, gate: Gate) -> None:
        self.gate = gate
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.gate.lines.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.gate.lines.discard(self)

    def data_received(self, data: bytes) -> None:
        how = self.gate.how
        if how == "silent":
            return  # dropped on the way, for good
        self.reader.feed(data)
        while (call := self.reader.gets()) is not False:
            answer = self.gate.answer(call)
            if how == "late":
                asyncio.get_running_loop().call_later(self.gate.late, self.say, answer)
            elif how == "ok":
                self.say(answer)  # "lost": it was done, and its answer does not come

    def say(self, answer: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(answer)


class Gate:
    """The way of one front door to a tally."""

    def __init__(self, counts: Counts) -> None:
        self.how = "ok"  # silent, refused, late, lost
        self.late = 0.5  # seconds
        self.lines: set[Line] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.calls = 0
        self.lead(counts)

    def lead(self, counts: Counts) -> None:
        """From now on the door reaches these counts, on new connections: at another machine, as it were."""
        self.counts = counts
        self.rules = CounterServer(counts, lambda: asyncio.get_running_loop().time())
        for line in list(self.lines):
            if line.transport is not None:
                line.transport.abort()

    def answer(self, call: Any) -> bytes:
        self.calls += call[0] == b"TALLY"
        return self.rules.execute(call)

    async def start(self) -> Gate:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Line(self), "127.0.0.1", self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def trouble(self, how: str) -> None:
        """Change what the door meets from now on."""
        before, self.how = self.how, how
        if how == "refused":
            self.stop()
        elif before == "refused":
            await self.start()
        elif before == "silent":
            # What was dropped never comes: the connection is of no use when the network is back.
            for line in list(self.lines):
                if line.transport is not None:
                    line.transport.abort()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for line in list(self.lines):
            if line.transport is not None:
                line.transport.abort()
