"""Proxies that restart beside a core with a configuration, over real processes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from ivymux.simulation.local_cluster import ENTRY_POINT, LocalCluster, build_configuration, local_cluster

from ..sockets import run

PROXY_COUNT = 6
ROUNDS = 4
FAULTY_ENTRY_POINT = ("-m", "tests.simulation.faulty", "connects_before_it_listens")


async def start_configured_core(cluster: LocalCluster) -> None:
    for ip in cluster.core_ips:
        await cluster.start(ip, initial_start=True)
    status, _ = await cluster.put_configuration(build_configuration(1))
    assert status == 200


async def wait_until_ready_or_ended(cluster: LocalCluster, ip: str) -> None:
    while cluster.is_running(ip) and not await cluster.is_ready(ip):
        await asyncio.sleep(0.01)


# Guards against proxies that end by themselves as they restart beside a configured core (issue 73).
def test_no_proxy_ends_by_itself_as_all_are_killed_and_started_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_cluster(tmp_path, 3, PROXY_COUNT, entry_point=ENTRY_POINT) as cluster:
            await start_configured_core(cluster)
            for _ in range(ROUNDS):
                await asyncio.gather(*(cluster.start(ip) for ip in cluster.proxy_ips))
                await asyncio.gather(*(wait_until_ready_or_ended(cluster, ip) for ip in cluster.proxy_ips))
                assert cluster.monitor.ends == []
                await asyncio.gather(*(cluster.end(ip, signal.SIGKILL) for ip in cluster.proxy_ips))

    run(test())


def test_a_proxy_that_connects_before_it_listens_ends_by_itself(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_cluster(tmp_path, 3, 1, entry_point=FAULTY_ENTRY_POINT) as cluster:
            await start_configured_core(cluster)
            (proxy,) = cluster.proxy_ips
            await cluster.start(proxy)
            await wait_until_ready_or_ended(cluster, proxy)
            assert [(end.role, end.code) for end in cluster.monitor.ends] == [("proxy", 2)]

    run(test())
