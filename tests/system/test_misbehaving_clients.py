"""Clients and backends that don't keep to the limits, against real processes (issue 79).

What is checked does not depend on the machine's speed: the processes live, their memory and descriptors stay
within their settings, and ordinary requests are answered, before the crowd has sent all of its bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from ivymux.runtime.memory_watch import peak_memory_mb
from ivymux.simulation import misbehaving_clients as clients
from ivymux.simulation.local_cluster import (
    CONTROL_PORT,
    FIRST_INNER_PORT,
    FRONT_PORT,
    READY_PORT,
    LocalCluster,
    build_configuration,
    local_cluster,
)
from ivymux.simulation.misbehaving_clients import Crowd, Misbehaviour
from ivymux.transport.frames import encode_frame

pytestmark = pytest.mark.alone

MEMORY_MB = 128  # in the settings
FD_LIMIT = 600  # likewise
CROWD_SIZE = 20
BYTES_EACH = 16 << 20  # of a member of the crowd
MEANWHILE_REQUESTS = 5  # answered before a crowd has sent BYTES_EACH for each member
TIMEOUT_S = 240.0  # of a whole test, for a slow machine
CONFIG_STORE_PORT, REGISTRY_PORT, PROXY_PORT = range(FIRST_INNER_PORT, FIRST_INNER_PORT + 3)


@contextlib.asynccontextmanager
async def small_cluster(
    folder: Path, memory_mb: int = MEMORY_MB, fd_limit: int = FD_LIMIT
) -> AsyncIterator[LocalCluster]:
    """Run a core machine and a proxy with low limits, and a backend of each service."""
    async with local_cluster(folder, core_count=3, proxy_count=1, timeout_s=TIMEOUT_S) as cluster:
        cluster.memory_mb, cluster.fd_limit = memory_mb, fd_limit
        await cluster.start_all(initial_start=True)
        configuration = build_configuration(1)
        for route in configuration["route_table"]:
            route["deadline"] = "60s"
        configuration["tenant_table"][0]["rate_per_s"] = 0
        await cluster.put_configuration(configuration)
        for service in ("archive", "desk"):
            backend = await cluster.start_backend(f"{service}-1", service)
            backend.keeps_bodies = False
        await cluster.wait_until_served(cluster.proxy_ips[0])
        yield cluster


def check_processes(cluster: LocalCluster, memory_mb: int = MEMORY_MB) -> None:
    """Check that each process lives, and has kept within its memory and its descriptors."""
    for processes in cluster.processes.values():
        for process in processes:
            assert process.returncode is None
            assert peak_memory_mb(process.pid) < memory_mb
            assert len(os.listdir(f"/proc/{process.pid}/fd")) < cluster.fd_limit


async def check_crowd(cluster: LocalCluster, crowd: Crowd) -> None:
    """Wait until a crowd has sent all; check the processes, and an ordinary request afterwards."""
    (proxy,) = cluster.proxy_ips
    try:
        await crowd.join()
        check_processes(cluster)
    finally:
        await crowd.close()
    await cluster.wait_until_served(proxy)
    check_processes(cluster)


def port_of(cluster: LocalCluster, name: str) -> tuple[str, int]:
    """Return the address of a port by its name."""
    proxy, core = cluster.proxy_ips[0], cluster.core_ips[0]
    return {
        "front": (proxy, FRONT_PORT), "ready": (proxy, READY_PORT), "control": (core, CONTROL_PORT),
        "proxy": (proxy, PROXY_PORT), "registry": (core, REGISTRY_PORT),
        "config_store": (core, CONFIG_STORE_PORT),
    }[name]  # fmt: skip


HTTP_MISBEHAVIOURS = {
    "header value": clients.HEADER_VALUE,
    "header name": clients.HEADER_NAME,
    "short headers": clients.SHORT_HEADERS,
    "path": clients.PATH,
    "empty lines": clients.EMPTY_LINES,
    "trailer value": clients.TRAILER_VALUE,
    "short trailers": clients.SHORT_TRAILERS,
    "chunk extension": clients.CHUNK_EXTENSION,
    "chunks of one byte": clients.CHUNKS_OF_ONE,
    "chunks of two bytes": clients.CHUNKS_OF_TWO,
    "large chunks": clients.LARGE_CHUNKS,
    "long body": clients.LONG_BODY,
}


@pytest.mark.parametrize("port", ["front", "ready", "control"])
@pytest.mark.parametrize("name", HTTP_MISBEHAVIOURS)
def test_what_clients_send_without_end_stays_within_the_memory(tmp_path: Path, name: str, port: str) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            address = port_of(cluster, port)
            await check_crowd(
                cluster, Crowd(*address, HTTP_MISBEHAVIOURS[name], CROWD_SIZE, BYTES_EACH)
            )  # fmt: skip

    asyncio.run(scenario())


@pytest.mark.parametrize("port", ["proxy", "registry", "config_store"])
@pytest.mark.parametrize(
    ("misbehaviour", "bytes_each"),
    # The first is short of the frame's length, so that it stays incomplete.
    [(clients.PARTIAL_FRAME, 8 << 20), (clients.LONG_JSON_FRAME, 8 << 20), (clients.EMPTY_FRAMES, 1 << 20)],
    ids=["partial", "long", "empty"],
)
def test_frames_of_strangers_stay_within_the_memory(
    tmp_path: Path, misbehaviour: Misbehaviour, bytes_each: int, port: str
) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            crowd = Crowd(*port_of(cluster, port), misbehaviour, CROWD_SIZE, bytes_each)
            await check_crowd(cluster, crowd)

    asyncio.run(scenario())


def test_calls_with_long_json_stay_within_the_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            address = port_of(cluster, "control")
            await check_crowd(cluster, Crowd(*address, clients.LONG_JSON_CALL, CROWD_SIZE, BYTES_EACH))

    asyncio.run(scenario())


@pytest.mark.parametrize("port", ["front", "ready", "control", "proxy", "registry", "config_store"])
def test_connections_without_end_stay_within_the_descriptors(tmp_path: Path, port: str) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            await check_crowd(cluster, Crowd(*port_of(cluster, port), clients.SILENCE, FD_LIMIT + 50, 1))

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("port", "misbehaviour"),
    [
        ("front", clients.CHUNKS_OF_ONE),
        ("front", clients.CHUNKS_OF_TWO),
        ("front", clients.CHUNK_EXTENSION),
        ("front", clients.COMPLETE_REQUESTS),
        ("front", clients.LONG_BODY),
        ("ready", clients.COMPLETE_REQUESTS),
        ("proxy", clients.EMPTY_FRAMES),
    ],
    ids=[
        "chunks of one byte", "chunks of two bytes", "chunk extension", "complete requests", "long body",
        "complete requests for readiness", "empty frames",
    ],
)  # fmt: skip
def test_ordinary_requests_are_answered_beside_a_crowd(
    tmp_path: Path, port: str, misbehaviour: Misbehaviour
) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            (proxy,) = cluster.proxy_ips
            crowd = Crowd(*port_of(cluster, port), misbehaviour, CROWD_SIZE, BYTES_EACH)
            answered = 0
            while answered < MEANWHILE_REQUESTS and crowd.is_sending():
                answer = await cluster.send_request(proxy, "POST", content=b"hello")
                answered += answer is not None and answer.status_code == 200 and crowd.is_sending()
            await crowd.close()
            assert answered == MEANWHILE_REQUESTS
            check_processes(cluster)

    asyncio.run(scenario())


def answer_with(head: str, body: bytes, cluster: LocalCluster) -> None:
    """Let all backends answer each request with this head, which is given the request's id, and body."""
    for backend in cluster.backends:
        backend.make_answer = lambda request: head.format(id=request.id).encode() + body


SEALED_HEAD = "HTTP/1.1 200 X\r\nTry-Id: {id}\r\nServer-Seal: seal-{id}\r\n"
CHUNKED_ANSWER_HEAD = SEALED_HEAD + "Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "body"),
    [
        (CHUNKED_ANSWER_HEAD, b"2\r\nab\r\n" * (1 << 20) + b"0\r\n\r\n"),
        (CHUNKED_ANSWER_HEAD, b"5\r\nhello\r\n0\r\nX-T: " + b"t" * (24 << 20)),
        (SEALED_HEAD + "X-Long: ", b"v" * (24 << 20)),
    ],
    ids=["chunks of two bytes", "trailer value", "header value"],
)
def test_what_backends_answer_without_end_stays_within_the_memory(
    tmp_path: Path, head: str, body: bytes
) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            (proxy,) = cluster.proxy_ips
            answer_with(head, body, cluster)
            await asyncio.gather(
                *(cluster.send_request(proxy, path=f"/read/{n}", Time_Remaining="20000") for n in range(8))
            )
            check_processes(cluster)
            for backend in cluster.backends:
                backend.make_answer = lambda request: None
            await cluster.wait_until_served(proxy)
            check_processes(cluster)

    asyncio.run(scenario())


# A connection at rest must not keep the headers of its last request.
def test_connections_that_rest_after_requests_of_many_headers_stay_within_the_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path, fd_limit=4 * FD_LIMIT) as cluster:
            address, misbehaviour = port_of(cluster, "front"), clients.WHOLE_REQUEST_OF_SHORT_HEADERS
            await check_crowd(cluster, Crowd(*address, misbehaviour, FD_LIMIT, 1))

    asyncio.run(scenario())


MIXTURE = (
    clients.HEADER_VALUE,
    clients.SHORT_HEADERS,
    clients.TRAILER_VALUE,
    clients.CHUNKS_OF_TWO,
    clients.LARGE_CHUNKS,
    clients.LONG_BODY,
    clients.COMPLETE_REQUESTS,
)


# Each part within its own limit must not add up to more than the memory.
def test_a_mixture_of_crowds_stays_within_the_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path, fd_limit=4 * FD_LIMIT) as cluster:
            (proxy,) = cluster.proxy_ips
            answer_with(SEALED_HEAD + "Content-Length: 4194304\r\n\r\n", b"a" * (4 << 20), cluster)
            address = port_of(cluster, "front")
            crowds = [Crowd(*address, misbehaviour, CROWD_SIZE, BYTES_EACH // 4) for misbehaviour in MIXTURE]
            inner = port_of(cluster, "proxy")
            crowds.append(Crowd(*inner, clients.PARTIAL_FRAME, CROWD_SIZE, 8 << 20))
            unread = await ask_and_read_nothing(proxy, 40)
            for crowd in crowds:
                await crowd.join()
            for backend in cluster.backends:
                backend.make_answer = lambda request: None
            for writer in unread:
                writer.transport.abort()
            for crowd in crowds:
                await check_crowd(cluster, crowd)

    asyncio.run(scenario())


async def ask_and_read_nothing(proxy: str, count: int) -> list[asyncio.StreamWriter]:
    """Send requests on connections of their own, and read no more than the beginning of the answers."""
    request = clients.REQUEST_HEAD.replace(b"2000", b"20000") + b"Content-Length: 0\r\n\r\n"
    writers = []
    for _ in range(count):
        reader, writer = await asyncio.open_connection(proxy, FRONT_PORT)
        writer.write(request)
        writers.append(writer)
        with contextlib.suppress(OSError):
            await reader.read(1)  # the rest stays unread
    return writers


# Answers that together are longer than a proxy's memory, to clients that read nothing.
def test_answers_that_nobody_reads_stay_within_the_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            (proxy,) = cluster.proxy_ips
            answer_with(SEALED_HEAD + "Content-Length: 4194304\r\n\r\n", b"a" * (4 << 20), cluster)
            writers = await ask_and_read_nothing(proxy, 40)
            check_processes(cluster)
            for writer in writers:
                writer.transport.abort()
            for backend in cluster.backends:
                backend.make_answer = lambda request: None
            await cluster.wait_until_served(proxy)
            check_processes(cluster)

    asyncio.run(scenario())


HONEST_MEMORY_MB = 300  # as on the sites' smaller machines
HONEST_BODY_BYTES = 62 << 20  # of the 64 MiB that a configuration allows by default


async def pieces_of(size: int) -> AsyncIterator[bytes]:
    """Yield a body in pieces of a size, each of which is sent as a chunk."""
    piece = b"b" * size
    for _ in range(HONEST_BODY_BYTES // size):
        yield piece


@pytest.mark.parametrize("chunk_bytes", [0, 64 << 10, 1 << 10], ids=["whole", "64 KiB", "1 KiB"])
def test_one_request_within_the_limits_is_served_in_calm(tmp_path: Path, chunk_bytes: int) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path, HONEST_MEMORY_MB) as cluster:
            (proxy,) = cluster.proxy_ips
            configuration = build_configuration(2)
            for route in configuration["route_table"]:
                route["deadline"] = "60s"
            configuration["limits"] = {"header_timeout": "60s"}  # so that a slow machine is not cut off
            await cluster.put_configuration(configuration)
            content = pieces_of(chunk_bytes) if chunk_bytes else b"b" * HONEST_BODY_BYTES
            answer = await cluster.client_of(proxy).post(
                f"http://{proxy}:{FRONT_PORT}/sign/1",
                content=content,
                headers={
                    "Host": "minutes.example",
                    "Authorization": "Bearer key-one",
                    "Try-Id": "long",
                    "Time-Remaining": "60000",
                },
                timeout=60.0,
            )
            assert answer.status_code == 200
            executed = [request for backend in cluster.backends for request in backend.executed]
            assert [int(r.headers["content-length"]) for r in executed if r.id == "long"] == [
                HONEST_BODY_BYTES
            ]
            check_processes(cluster, HONEST_MEMORY_MB)

    asyncio.run(scenario())


READ_CONFIGURATION = {"k": "get", "n": 1, "passed": True}  # a call to the primary config store
UNREAD_CALLS_EACH = 40  # whose answers one connection may leave unread
LONG_CONFIGURATION_ROUTES = 1500  # some 350 kB


async def call_and_read_nothing(address: tuple[str, int]) -> asyncio.StreamWriter:
    """Send calls and read none of the answers; return the open connection."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(encode_frame(READ_CONFIGURATION) * UNREAD_CALLS_EACH)
    with contextlib.suppress(OSError):
        await reader.read(1)
    return writer


# Answers to peers that do not read were bounded for each connection, not for all together.
def test_answers_that_peers_do_not_read_stay_within_the_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with small_cluster(tmp_path) as cluster:
            configuration = build_configuration(2)
            route = configuration["route_table"][0]
            for number in range(LONG_CONFIGURATION_ROUTES):
                more = {"name": f"more-{number}", "path_prefix": f"/more-{number}/"}
                configuration["route_table"].append(route | more)
            status, _ = await cluster.put_configuration(configuration)
            assert status == 200
            address = cluster.primary_ip(), CONFIG_STORE_PORT
            writers = await asyncio.gather(*(call_and_read_nothing(address) for _ in range(CROWD_SIZE)))
            check_processes(cluster)
            for writer in writers:
                writer.transport.abort()
            status, _ = await cluster.put_configuration(build_configuration(3))
            assert status == 200
            await cluster.wait_until_served(cluster.proxy_ips[0])
            check_processes(cluster)

    asyncio.run(scenario())
