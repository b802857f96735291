"""The conversation load test for twenty seconds: proxies, backends and the primary fail and return."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from ivymux.simulation.conversation_load import LoadRecord, LoadSettings, LoadTest
from ivymux.simulation.local_cluster import local_cluster


@pytest.mark.alone
def test_no_action_runs_twice_or_is_answered_wrongly(tmp_path: Path) -> None:
    settings = LoadSettings(duration_s=20.0, proxies=6, backends_per_service=3, conversations=100)
    record = LoadRecord(settings, 11)

    async def scenario() -> None:
        async with local_cluster(tmp_path, 3, settings.proxies, timeout_s=110.0) as cluster:
            await LoadTest(cluster, record).run()

    asyncio.run(scenario())
    figures = record.report()
    assert figures["actions"] > 100 and figures["answered"] > 0.8 * figures["actions"], figures
    assert (
        figures["doubled"]
        == figures["answered and without effect"]
        == figures["refused and with effect"]
        == 0
    )
    assert figures["effects at another backend without need"] == 0
    assert {"leader", "release"} <= set(figures["troubles"]), figures
