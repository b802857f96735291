"""The control side over real processes: planned ends, second losses, one text for each number."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

from ivymux.simulation.local_cluster import Lab, document, lab


def texts(version: int) -> tuple[dict[str, Any], dict[str, Any]]:
    """Two configurations of one number."""
    return document(version), document(version, read="desk")


async def told(it: Lab, body: Any) -> dict[str, Any]:
    status, answer = await it.put(body)
    return {"status": status, **json.loads(answer)}


def test_two_operators_with_one_number_at_two_machines(tmp_path: Path) -> None:
    async def day() -> None:
        async with lab(tmp_path, doors=0) as it:
            await it.all(first=True)
            await it.put(document(1))
            first, second = texts(7)
            at_once = await asyncio.gather(
                it.put(first, [it.cores[0], it.cores[1]]), it.put(second, [it.cores[2], it.cores[1]])
            )
            assert sorted(status for status, _ in at_once) == [200, 409]
            taken, other = (first, second) if at_once[0][0] == 200 else (second, first)
            await it.kill(it.leader())
            assert (await told(it, taken))["outcome"] == "taken"
            refused = await told(it, other)
            assert refused["status"] == 409 and "higher version" in refused["error"]
            assert json.loads(await it.read()) == taken
            await it.put(document(9))
            assert (await told(it, taken))["outcome"] == "taken"  # however late
            unknown = await told(it, document(8))
            assert (unknown["outcome"], unknown["held_version"]) == ("superseded", 9)

    asyncio.run(day())


def test_planned_ends_one_after_another_and_then_a_lost_disk(tmp_path: Path) -> None:
    """The leader leaves for good, then who leads then; each hands over before it ends."""

    async def day() -> None:
        async with lab(tmp_path, cores=5, doors=0) as it:
            await it.all(first=True)
            await it.put(document(1))
            while "5 members" not in (tmp_path / "log.txt").read_text():
                await asyncio.sleep(0.05)
            gone: list[str] = []
            for version in (2, 3):
                leaving = it.leader()
                ended = asyncio.create_task(it.kill(leaving, signal.SIGTERM))
                it.cores.remove(leaving)
                gone.append(leaving)
                began = time.monotonic()
                assert (await told(it, document(version)))["outcome"] == "taken"
                assert time.monotonic() - began < 2.0  # far less in simulated time: bench.control
                await ended
            lost = it.leader()
            assert lost not in gone
            await it.wipe(lost)
            assert json.loads(await it.read()) == document(3)
            await it.start(lost)
            assert (await told(it, document(4)))["outcome"] == "taken"
            assert "could take over" not in (tmp_path / "log.txt").read_text()

    asyncio.run(day())
