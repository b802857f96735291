"""A configuration's acknowledgements: what an operator's call waits for, and what it does not wait for."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ivymux.registry.program import Registry
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import Lab
from ivymux.transport.connection import Connection
from ivymux.transport.frames import FrameDecoder, Message

from ..sockets import run, until


def met(registry: Registry, number: int) -> Connection:
    """A door's connection, as far as the registry can tell."""
    line = Connection(registry.heard, on_disconnect=registry.lost)
    line.is_connected = True
    registry.hear(
        line,
        {"k": "door", "id": f"d{number}", "ip": "127.0.0.9", "port": 1, "zone": "hall", "run": "", "n": 0},
    )
    return line


def test_a_call_waits_until_each_connected_door_has_the_configuration(tmp_path: Path) -> None:
    async def test() -> None:
        lab = Lab(tmp_path)
        registry = Registry(load(lab.settings(lab.cores[0], True)))
        lines = [met(registry, number) for number in range(3)]

        async def call(version: int) -> None:
            await registry.all_apply(version, 30.0)

        waiting = asyncio.create_task(call(7))
        await until(lambda: registry.applied)
        registry.hear(lines[0], {"k": "have", "v": 7})
        registry.hear(lines[1], {"k": "have", "v": 6})
        await asyncio.wait([waiting], timeout=0)
        assert not waiting.done()
        registry.hear(lines[1], {"k": "have", "v": 9})  # a later one holds what this one asks for
        await asyncio.wait([waiting], timeout=0)
        assert not waiting.done()
        lines[2].abort()  # a door that is gone is waited for no more
        await waiting
        assert not registry.applied
        await call(7)  # the same again: all have it
        # A door that does not answer holds a call up for a bounded time only.
        await registry.all_apply(10, 0.0)
        assert not registry.applied
        await registry.stop()
        await lab.close()

    run(test())


class Heard(Connection):
    """A connection that keeps what is written to it."""

    told: list[Message]

    def write(self, data: bytes) -> None:
        self.told.extend(FrameDecoder().feed(data))


def test_doors_that_come_together_are_told_of_together(tmp_path: Path) -> None:
    """Of a fleet that starts at once no door gets a message for each other door."""

    async def test() -> None:
        lab = Lab(tmp_path)
        registry = Registry(load(lab.settings(lab.cores[0], True)))
        first = Heard(registry.heard, on_disconnect=registry.lost)
        first.told = []
        first.is_connected = True
        registry.welcome(first, {"id": "d", "ip": "127.0.0.8", "port": 1, "zone": "hall", "run": "", "n": 0})
        first.told.clear()
        lines = [met(registry, number) for number in range(40)]
        lines[7].abort()
        await until(lambda: not registry.stirred and registry.stirring is None)
        doors = [message for message in first.told if message["k"] == "doors"]
        assert len(doors) <= 2
        there = {f"d{number}" for number in range(40)} - {"d7"}
        assert {entry[0] for message in doors for entry in message["on"]} - {"d", "d7"} == there
        assert doors[-1]["off"] == ["d7"]
        await registry.stop()
        await lab.close()

    run(test())
