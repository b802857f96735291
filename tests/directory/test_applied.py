"""A configuration's acknowledgements: what an operator's call waits for, and what it does not wait for."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ivymux.directory.program import Directory
from ivymux.station.settings import load
from ivymux.testdesk.lab import Lab
from ivymux.trunk.line import Line

from ..sockets import run, until


def test_a_call_waits_until_each_connected_door_has_the_configuration(tmp_path: Path) -> None:
    async def test() -> None:
        lab = Lab(tmp_path)
        directory = Directory(load(lab.settings(lab.cores[0], True)))
        lines = [Line(directory.heard, on_down=directory.lost) for _ in range(3)]
        for number, line in enumerate(lines):
            line.up = True
            directory.hear(
                line,
                {
                    "k": "door",
                    "id": f"d{number}",
                    "ip": "127.0.0.9",
                    "port": 1,
                    "zone": "hall",
                    "run": "",
                    "n": 0,
                },
            )

        async def call(version: int) -> None:
            await directory.all_apply(version, 30.0)

        waiting = asyncio.create_task(call(7))
        await until(lambda: directory.applied)
        directory.hear(lines[0], {"k": "have", "v": 7})
        directory.hear(lines[1], {"k": "have", "v": 6})
        await asyncio.wait([waiting], timeout=0)
        assert not waiting.done()
        directory.hear(lines[1], {"k": "have", "v": 9})  # a later one holds what this one asks for
        await asyncio.wait([waiting], timeout=0)
        assert not waiting.done()
        lines[2].abort()  # a door that is gone is waited for no more
        await waiting
        assert not directory.applied
        await call(7)  # the same again: all have it
        # A door that does not answer holds a call up for a bounded time only.
        await directory.all_apply(10, 0.0)
        assert not directory.applied
        await directory.stop()
        await lab.close()

    run(test())
