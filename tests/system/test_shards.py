"""Keys that are divided among backends, over real processes: handed out, moved, and never held twice."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from ivymux.simulation.local_cluster import (
    HEARTBEAT_PERIOD_S,
    LocalCluster,
    build_configuration,
    local_cluster,
)
from standins.sharded_backend import KEYS, ShardedBackend, overlapping_holds

KEY_STEP = KEYS // 64  # between two keys that are tried
Backends = dict[str, ShardedBackend]


async def start_backend(cluster: LocalCluster, backends: Backends, name: str) -> ShardedBackend:
    backend = ShardedBackend(name, "archive", "127.0.0.1", "hall")
    await backend.start()

    async def put(path: str, body: dict[str, object]) -> tuple[int, bytes]:
        for ip in list(cluster.core_ips):
            status, answer = await cluster.call_core("PUT", ip, path, body)
            if status == 200:
                return status, answer
        return 0, b""

    calls = backend.call_until_cancelled(put, HEARTBEAT_PERIOD_S)
    cluster.heartbeat_tasks[name] = asyncio.get_running_loop().create_task(calls)
    cluster.backends.append(backend)
    backends[name] = backend
    return backend


async def start_service(cluster: LocalCluster) -> Backends:
    """Start the cluster with three backends, and wait until each key is served by each proxy."""
    await cluster.start_all(initial_start=True)
    configuration = build_configuration(1)
    configuration["service_table"][0]["shard_mode"] = True
    await cluster.put_configuration(configuration)
    backends: Backends = {}
    for name in ("i-1", "i-2", "i-3"):
        await start_backend(cluster, backends, name)
    for ip in cluster.proxy_ips:
        await cluster.wait_until_ready(ip)
        await wait_until_served(cluster, ip)
    return backends


async def wait_until_served(cluster: LocalCluster, proxy_ip: str) -> None:
    """Repeat a request on each of some keys until it is served."""
    for key in range(0, KEYS, KEY_STEP):
        while True:
            answer = await cluster.send_request(proxy_ip, Shard_Key=str(key))
            if answer is not None and answer.status_code == 200:
                break
            assert answer is not None and answer.status_code == 503
            await asyncio.sleep(0.02)


def held_keys(backend: ShardedBackend) -> list[int]:
    return [key for key in range(0, KEYS, KEY_STEP) if backend.holds_key(key)]


def test_requests_go_to_the_backend_that_holds_their_key(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            backends = await start_service(cluster)
            assert all(held_keys(backend) for backend in backends.values())
            assert sum(len(held_keys(backend)) for backend in backends.values()) == KEYS // KEY_STEP
            for backend in backends.values():
                backend.executed.clear()
                key = held_keys(backend)[0]
                answer = await cluster.send_request(cluster.proxy_ips[0], Shard_Key=str(key))
                assert answer is not None and answer.status_code == 200
                assert [request.headers["shard-key"] for request in backend.executed] == [str(key)]
            for bad in ("", "-1", "65536", "x"):
                answer = await cluster.send_request(cluster.proxy_ips[0], Shard_Key=bad)
                assert answer is not None and answer.status_code == 400

    asyncio.run(scenario())


# Guards against keys that two backends hold at once, or that none gets any more, as a backend crashes, one
# leaves, one is added, and the primary of the core is lost meanwhile.
def test_keys_of_lost_and_leaving_backends_are_served_again_and_never_held_twice(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, timeout_s=80.0) as cluster:
            backends = await start_service(cluster)
            cluster.heartbeat_tasks["i-1"].cancel()
            backends["i-1"].stop()
            await cluster.kill(cluster.primary_ip())
            await start_backend(cluster, backends, "i-4")
            await wait_until_served(cluster, cluster.proxy_ips[0])
            backends["i-2"].state = "quiescing"
            while held_keys(backends["i-2"]):
                await asyncio.sleep(0.02)
            await wait_until_served(cluster, cluster.proxy_ips[1])
            while not held_keys(backends["i-4"]):
                await asyncio.sleep(0.02)
            assert not overlapping_holds(list(backends.values()))

    asyncio.run(scenario())


def test_a_malformed_report_is_refused_with_its_place(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            await cluster.start_all(initial_start=True)
            backend = ShardedBackend("i-1", "archive", "127.0.0.1", "hall")
            await backend.start()
            body = backend.heartbeat_body() | {"holdings": [[0, 70000, 1]]}
            status, answer = 0, b""
            while status != 400:
                status, answer = await cluster.call_core("PUT", cluster.core_ips[0], "/instances/i-1", body)
                await asyncio.sleep(0.02)
            assert "holdings: " in json.loads(answer)["error"]
            backend.stop()

    asyncio.run(scenario())
