"""The memory of a proxy's process under long bodies, against the `memory_mb` of its settings."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import httpx
import pytest

from ivymux.runtime.memory_watch import peak_memory_mb
from ivymux.simulation.local_cluster import FRONT_PORT, LocalCluster, build_configuration, local_cluster
from standins.backend import Backend

MEMORY_MB = 300  # in the settings that a LocalCluster writes
LONG_BODY = b"b" * (24 << 20)
TIME_REMAINING = "20000"  # milliseconds


@contextlib.asynccontextmanager
async def one_proxy(folder: Path, memory_mb: int = MEMORY_MB) -> AsyncIterator[LocalCluster]:
    """Run one proxy with a backend of each service, and routes with a long deadline."""
    async with local_cluster(folder, proxy_count=1) as cluster:
        cluster.memory_mb = memory_mb
        await cluster.start_all(initial_start=True)
        configuration = build_configuration(1)
        for route in configuration["route_table"]:
            route["deadline"] = "20s"
        await cluster.put_configuration(configuration)
        for service in ("archive", "desk"):
            await cluster.start_backend(f"{service}-1", service)
        await cluster.wait_until_served(cluster.proxy_ips[0])
        yield cluster


def answer_at_length(cluster: LocalCluster, body: bytes = LONG_BODY) -> None:
    """Let all backends answer with a long body."""
    for backend in cluster.backends:
        backend.make_answer = lambda request: Backend.encode_answer(
            200, request.id, body, f"Server-Seal: seal-{request.id}\r\n"
        )


# Guards against bodies that stay in memory after their requests, until the proxy is killed (issue 76).
@pytest.mark.parametrize("headers", [{}, {"Idempotency_Key": '"key-{number}"'}])
def test_long_bodies_one_after_another_stay_within_the_memory(
    tmp_path: Path, headers: dict[str, str]
) -> None:
    async def scenario() -> None:
        async with one_proxy(tmp_path) as cluster:
            (proxy,) = cluster.proxy_ips
            for number in range(30):
                answer = await cluster.send_request(
                    proxy, "POST", f"/sign/{number}", content=LONG_BODY, Time_Remaining=TIME_REMAINING,
                    **{name: value.format(number=number) for name, value in headers.items()},
                )  # fmt: skip
                assert answer is not None and answer.status_code == 200
                for backend in cluster.backends:
                    backend.executed.clear()
            assert peak_memory_mb(cluster.processes[proxy][0].pid) < MEMORY_MB

    asyncio.run(scenario())


ROOM_BYTES = (MEMORY_MB << 20) // 4  # that unread answers may take
THIRD_OF_ROOM = b"b" * (ROOM_BYTES // 3)


# Guards against answers that arrive at once and together take more memory than the process has (issue 76).
@pytest.mark.parametrize("body", [LONG_BODY, THIRD_OF_ROOM], ids=["long", "third of the room"])
def test_long_answers_at_once_stay_within_the_memory(tmp_path: Path, body: bytes) -> None:
    async def scenario() -> None:
        async with one_proxy(tmp_path) as cluster:
            (proxy,) = cluster.proxy_ips
            answer_at_length(cluster, body)
            for _ in range(5):
                # None is replaced by a failure for lack of room, or closed as one that reads slowly.
                answers = await asyncio.gather(*(ask_for_long_answer(cluster, n) for n in range(8)))
                assert [answer.status_code for answer in answers] == [200] * len(answers)
                assert all(answer.content == body for answer in answers)
            assert peak_memory_mb(cluster.processes[proxy][0].pid) < MEMORY_MB

    asyncio.run(scenario())


SILENT_READERS = 6  # twice as many as their answers have room for


async def ask_and_read_nothing(proxy: str, number: int) -> asyncio.StreamWriter:
    """Send a request and read only the beginning of its answer; return the open connection."""
    _, writer = await asyncio.open_connection(proxy, FRONT_PORT, limit=1 << 16)
    writer.write(
        f"GET /read/silent-{number} HTTP/1.1\r\nHost: minutes.example\r\nTry-Id: silent-{number}\r\n"
        f"Time-Remaining: {TIME_REMAINING}\r\nAuthorization: Bearer key-one\r\n\r\n".encode()
    )
    return writer


async def ask_for_long_answer(cluster: LocalCluster, number: int) -> httpx.Response:
    """Send a request to the only proxy, and read its answer at once."""
    (proxy,) = cluster.proxy_ips
    headers = {
        "Host": "minutes.example", "Authorization": "Bearer key-one",
        "Try-Id": f"long-{number}", "Time-Remaining": TIME_REMAINING,
    }  # fmt: skip
    url = f"http://{proxy}:{FRONT_PORT}/read/{number}"
    return await cluster.client_of(proxy).get(url, headers=headers, timeout=20.0)


# Guards against readers that hold up the answers to others for as long as they please.
def test_long_answers_are_served_beside_clients_that_read_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_proxy(tmp_path) as cluster:
            (proxy,) = cluster.proxy_ips
            answer_at_length(cluster)
            writers = [await ask_and_read_nothing(proxy, number) for number in range(SILENT_READERS)]
            while sum(len(backend.executed) for backend in cluster.backends) < SILENT_READERS:
                await asyncio.sleep(0.02)
            answer = await ask_for_long_answer(cluster, 1)
            assert answer.status_code == 200 and answer.content == LONG_BODY
            assert peak_memory_mb(cluster.processes[proxy][0].pid) < MEMORY_MB
            for writer in writers:
                writer.transport.abort()

    asyncio.run(scenario())


SMALL_MEMORY_MB = 200  # as on the sites' proxies
LONGEST_BODY = b"b" * (62 << 20)  # of 64 MiB that an answer may have


# Guards against an answer that alone takes more than all unread ones may, or its memory several times.
def test_the_longest_answers_at_once_are_served_within_a_small_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_proxy(tmp_path, SMALL_MEMORY_MB) as cluster:
            (proxy,) = cluster.proxy_ips
            answer_at_length(cluster, LONGEST_BODY)
            answers = await asyncio.gather(*(ask_for_long_answer(cluster, n) for n in range(4)))
            assert [answer.status_code for answer in answers] == [200] * 4
            assert all(answer.content == LONGEST_BODY for answer in answers)
            assert peak_memory_mb(cluster.processes[proxy][0].pid) < SMALL_MEMORY_MB

    asyncio.run(scenario())
