"""Config stores whose disks fail go on running, and take part again once the disks can be written."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import shutil
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

import pytest

from ivymux.simulation.local_cluster import LOG_FILE_NAME, LocalCluster, build_configuration, local_cluster

ENTRY_POINT = (str(Path(__file__).parent / "faulty_disk.py"),)
FAILED, SOUND_AGAIN = "the disk failed", "the disk can be written again"


def order(cluster: LocalCluster, ips: Iterable[str], what: str) -> None:
    """Say what the disks of some machines do with each write."""
    for ip in ips:
        (cluster.folder / f"{ip}.disk").write_text(what)


async def until_logged(cluster: LocalCluster, text: str, count: int) -> None:
    while (cluster.folder / LOG_FILE_NAME).read_text().count(text) < count:
        await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def faulty_core(folder: Path) -> AsyncIterator[LocalCluster]:
    """Run three core machines with disks that obey orders, and a first configuration."""
    async with local_cluster(folder, proxy_count=0, entry_point=ENTRY_POINT) as cluster:
        await cluster.start_all(initial_start=True)
        await cluster.put_configuration(build_configuration(1))
        for ip in cluster.core_ips:  # a machine without its store passes no change on
            while (await cluster.call_core("GET", ip, "/configuration"))[0] != 200:
                await asyncio.sleep(0.02)
        yield cluster


def ends(cluster: LocalCluster) -> list[str]:
    return [f"{end.role} {end.code}" for end in cluster.monitor.ends]


# Guards against config stores that end by themselves, code 3, while disks fail (issue 76).
# Two machines write; where disks hang, one of them queues enough to notice.
@pytest.mark.parametrize(("trouble", "failed_stores"), [("refuse", 2), ("hang", 1)])
def test_no_process_ends_while_all_disks_fail_and_changes_go_on_afterwards(
    tmp_path: Path, trouble: str, failed_stores: int
) -> None:
    async def scenario() -> None:
        async with faulty_core(tmp_path) as cluster:
            order(cluster, cluster.core_ips, trouble)
            (first, *_) = cluster.core_ips
            status, _ = await cluster.call_core("PUT", first, "/configuration", build_configuration(2))
            assert status in (0, 503)
            await until_logged(cluster, FAILED, failed_stores)
            order(cluster, cluster.core_ips, "sound")
            assert (await cluster.put_configuration(build_configuration(3)))[0] == 200
            assert json.loads(await cluster.read_configuration()) == build_configuration(3)
            assert ends(cluster) == []

    asyncio.run(scenario())


def test_others_take_over_while_one_disk_fails_and_the_machine_comes_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_core(tmp_path) as cluster:
            failing = cluster.primary_ip()
            order(cluster, [failing], "refuse")
            assert (await cluster.put_configuration(build_configuration(2)))[0] == 200
            assert cluster.primary_ip() != failing
            assert (await cluster.call_core("PUT", failing, "/configuration", build_configuration(3)))[
                0
            ] == 503
            order(cluster, [failing], "sound")
            await until_logged(cluster, SOUND_AGAIN, 1)
            lost = next(ip for ip in cluster.core_ips if ip not in (failing, cluster.primary_ip()))
            await cluster.kill(lost)
            assert (await cluster.put_configuration(build_configuration(4), [failing]))[0] == 200
            assert json.loads(await cluster.read_configuration()) == build_configuration(4)
            assert ends(cluster) == []

    asyncio.run(scenario())


def test_a_store_that_waits_for_its_disk_can_be_stopped(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_core(tmp_path) as cluster:
            failing = cluster.primary_ip()
            order(cluster, [failing], "refuse")
            await cluster.put_configuration(build_configuration(2))
            await until_logged(cluster, FAILED, 1)
            processes = cluster.processes[failing]
            await cluster.end(failing, 15)
            assert [process.returncode for process in processes] == [0, 0]

    asyncio.run(scenario())


def test_a_first_start_waits_for_disks_that_refuse(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=0, entry_point=ENTRY_POINT) as cluster:
            order(cluster, cluster.core_ips, "refuse open")
            await cluster.start_all(initial_start=True)
            await until_logged(cluster, FAILED, 3)
            order(cluster, cluster.core_ips, "sound")
            assert (await cluster.put_configuration(build_configuration(1)))[0] == 200
            assert ends(cluster) == []

    asyncio.run(scenario())


def test_a_lost_disk_of_a_store_that_has_run_founds_no_core(tmp_path: Path) -> None:
    """After a failure, an empty folder gives the machine a new identity, as after a restart."""

    async def scenario() -> None:
        async with faulty_core(tmp_path) as cluster:
            failing = cluster.primary_ip()
            order(cluster, [failing], "refuse")
            assert (await cluster.put_configuration(build_configuration(2)))[0] == 200
            await until_logged(cluster, FAILED, 1)
            order(cluster, [failing], "refuse open")
            await until_logged(cluster, "refused in a test when opened", 1)
            shutil.rmtree(cluster.folder / failing)
            order(cluster, [failing], "sound")
            await until_logged(cluster, f"{failing}/", 2)
            starts = re.findall(rf"starts as {failing}/(\w+)", (tmp_path / LOG_FILE_NAME).read_text())
            assert starts[0] == "first" and starts[1] != "first"
            assert json.loads(await cluster.read_configuration()) == build_configuration(2)

    asyncio.run(scenario())
