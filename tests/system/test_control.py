"""The core over real processes: planned shutdowns, double losses, one text for each version."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster


def two_configurations(version: int) -> tuple[dict[str, Any], dict[str, Any]]:
    """Two configurations with the same version."""
    return build_configuration(version), build_configuration(version, read="desk")


async def put(cluster: LocalCluster, body: Any) -> dict[str, Any]:
    """Send a configuration; return the fields of the answer, and its status under `status`."""
    status, answer = await cluster.put_configuration(body)
    return {"status": status, **json.loads(answer)}


def test_two_operators_send_one_version_to_two_machines(tmp_path: Path) -> None:
    """One text is accepted and the other refused, also after a failover and after later versions."""

    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=0) as cluster:
            await cluster.start_all(initial_start=True)
            await cluster.put_configuration(build_configuration(1))
            first, second = two_configurations(7)
            results = await asyncio.gather(
                cluster.put_configuration(first, [cluster.core_ips[0], cluster.core_ips[1]]),
                cluster.put_configuration(second, [cluster.core_ips[2], cluster.core_ips[1]]),
            )
            assert sorted(status for status, _ in results) == [200, 409]
            accepted, rejected = (first, second) if results[0][0] == 200 else (second, first)
            await cluster.kill(cluster.primary_ip())
            assert (await put(cluster, accepted))["outcome"] == "taken"
            refused = await put(cluster, rejected)
            assert refused["status"] == 409 and "higher version" in refused["error"]
            assert json.loads(await cluster.read_configuration()) == accepted
            await cluster.put_configuration(build_configuration(9))
            assert (await put(cluster, accepted))["outcome"] == "taken"  # also after a later version
            unknown = await put(cluster, build_configuration(8))
            assert (unknown["outcome"], unknown["held_version"]) == ("superseded", 9)

    asyncio.run(scenario())


def test_two_planned_shutdowns_in_a_row_and_then_a_lost_disk(tmp_path: Path) -> None:
    """The primary leaves for good, then its successor does; each hands over before it ends."""

    async def scenario() -> None:
        async with local_cluster(tmp_path, core_count=5, proxy_count=0) as cluster:
            await cluster.start_all(initial_start=True)
            await cluster.put_configuration(build_configuration(1))
            while "5 members" not in (tmp_path / "log.txt").read_text():
                await asyncio.sleep(0.05)
            left: list[str] = []
            for version in (2, 3):
                leaving = cluster.primary_ip()
                ended = asyncio.create_task(cluster.kill(leaving, signal.SIGTERM))
                cluster.core_ips.remove(leaving)
                left.append(leaving)
                began = time.monotonic()
                assert (await put(cluster, build_configuration(version)))["outcome"] == "taken"
                assert time.monotonic() - began < 2.0  # bench.control measures far less, in simulated time
                await ended
            lost = cluster.primary_ip()
            assert lost not in left
            await cluster.wipe(lost)
            assert json.loads(await cluster.read_configuration()) == build_configuration(3)
            await cluster.start(lost)
            assert (await put(cluster, build_configuration(4)))["outcome"] == "taken"
            assert "could take over" not in (tmp_path / "log.txt").read_text()

    asyncio.run(scenario())


# Guards against the review's case 2: two disks were kept, whatever number of losses the operators allowed.
def test_two_disks_that_are_lost_at_once_where_two_may_be(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, core_count=5, proxy_count=0) as cluster:
            cluster.machine_losses = 2
            await cluster.start_all(initial_start=True)
            await cluster.put_configuration(build_configuration(1))
            while "5 members" not in (tmp_path / "log.txt").read_text():
                await asyncio.sleep(0.05)
            assert (await put(cluster, build_configuration(2)))["outcome"] == "taken"
            primary, first, second = cluster.copy_holders()
            for lost in (primary, first):
                await cluster.wipe(lost)
            assert json.loads(await cluster.read_configuration()) == build_configuration(2)
            assert cluster.primary_ip() == second
            for lost in (primary, first):
                await cluster.start(lost)
            assert (await put(cluster, build_configuration(3)))["outcome"] == "taken"
            assert len(set(cluster.copy_holders())) == 3

    asyncio.run(scenario())


# Guards against the review's case 8, over real processes.
def test_a_machine_that_starts_alone_acknowledges_no_departure(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=0) as cluster:
            await cluster.start_all(initial_start=True)
            await cluster.put_configuration(build_configuration(1))
            first, *others = cluster.core_ips
            for ip in cluster.core_ips:
                await cluster.kill(ip)
            await cluster.start(first)
            while (status := (await cluster.call_core("DELETE", first, "/instances/i-1"))[0]) == 0:
                await asyncio.sleep(0.05)
            assert status == 503
            for ip in others:
                await cluster.start(ip)
            while (await cluster.call_core("DELETE", first, "/instances/i-1"))[0] != 200:
                await asyncio.sleep(0.05)

    asyncio.run(scenario())


# Guards against a change that is neither taken nor refused with what to do, at a machine without its store.
def test_a_machine_without_its_store_tells_the_operator_to_repeat_the_call(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, core_count=4, proxy_count=0) as cluster:
            await cluster.start_all(initial_start=True)
            await cluster.put_configuration(build_configuration(1))
            machine = next(ip for ip in cluster.core_ips if ip != cluster.primary_ip())
            _, store = cluster.processes[machine]
            cluster.monitor.send_signal(store, signal.SIGKILL)
            await store.wait()
            settings = {"settings_version": 1, "conversation_header": "X-Matter"}
            status, answer = await cluster.call_core("PUT", machine, "/conversations", settings)
            assert status == 503 and json.loads(answer)["error"].endswith("repeat the call")
            machines = [machine, *(ip for ip in cluster.core_ips if ip != machine)]
            assert (await cluster.put_until_answered("/conversations", settings, machines))[0] == 200

    asyncio.run(scenario())
