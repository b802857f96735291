"""The conversation load test for twenty seconds: proxies, backends and the leader fail and return."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from ivymux.simulation.conversation_load import Evening, Play, Size
from ivymux.simulation.local_cluster import local_cluster


@pytest.mark.alone
def test_no_action_runs_twice_or_is_answered_wrongly(tmp_path: Path) -> None:
    size = Size(seconds=20.0, doors=6, backends=3, conversations=100)
    evening = Evening(size, 11)

    async def scenario() -> None:
        async with local_cluster(tmp_path, 3, size.doors, timeout_s=110.0) as cluster:
            await Play(cluster, evening).run()

    asyncio.run(scenario())
    found = evening.report()
    assert found["actions"] > 100 and found["answered"] > 0.8 * found["actions"], found
    assert found["doubled"] == found["answered and without effect"] == found["refused and with effect"] == 0
    assert found["effects at another backend without need"] == 0
    assert {"leader", "release"} <= set(found["troubles"]), found
