"""Clients that disconnect before their answer, over real processes: which work continues at backends."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster
from standins.backend import Backend

MAX_CANCEL_DELAY_S = 0.5  # from a client's disconnect to the end of the work for it
ROUNDS = 3  # the fastest one counts, as other load on the machine can only slow a round down
CLIENT_TIMEOUT_MS = 30_000  # so long that no deadline ends the work


def with_long_deadlines(version: int) -> dict[str, Any]:
    """The cluster's configuration, with deadlines too long to end the work in these tests."""
    configuration = build_configuration(version)
    for route in configuration["route_table"]:
        route["deadline"] = f"{CLIENT_TIMEOUT_MS}ms"
    return configuration


class DisconnectingClient:
    """A client that closes its connection before its requests are answered."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, proxy: str) -> DisconnectingClient:
        return cls(*await asyncio.open_connection(proxy, 8520))

    def send_request(
        self, id: str, method: str = "GET", path: str = "/read/1", extra_headers: str = ""
    ) -> None:
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: minutes.example\r\nTry-Id: {id}\r\n{extra_headers}"
            f"Time-Remaining: {CLIENT_TIMEOUT_MS}\r\n"
            f"Authorization: Bearer key-one\r\nContent-Length: 0\r\n\r\n".encode()
        )

    def disconnect(self, how: str) -> None:
        if how == "reset":
            raw: socket.socket = self.writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        else:
            self.writer.close()


@asynccontextmanager
async def cluster_with_gated_backends(folder: Path) -> AsyncIterator[tuple[LocalCluster, str, Backend]]:
    """A proxy with one backend per service; both record together, and answer once a shared gate opens."""
    async with local_cluster(folder, proxy_count=1) as cluster:
        await cluster.start_all(initial_start=True)
        archive, desk = (
            await cluster.start_backend("i-archive", "archive"),
            await cluster.start_backend("i-desk", "desk"),
        )
        await cluster.put_configuration(with_long_deadlines(1))
        await cluster.wait_until_ready(cluster.proxy_ips[0])
        await cluster.wait_until_served(cluster.proxy_ips[0])
        await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/0")
        archive.answer_gate = desk.answer_gate = asyncio.Event()
        desk.executed, desk.finished, desk.disconnected = (
            archive.executed,
            archive.finished,
            archive.disconnected,
        )
        yield cluster, cluster.proxy_ips[0], archive


async def wait_until_runs(backend: Backend, id: str) -> None:
    while not any(ran.id == id for ran in backend.executed):
        await asyncio.sleep(0.005)


async def wait_until_dropped(backend: Backend, id: str) -> float:
    """Wait until a backend has dropped a request, and return the seconds that took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.timeout(10):
        while id not in backend.disconnected:
            await asyncio.sleep(0.005)
    return loop.time() - began


async def has_departure(cluster: LocalCluster, proxy: str) -> bool:
    """Whether a proxy's metrics count a disconnected client."""
    text = (await cluster.http_client.get(f"http://{proxy}:7343/metrics")).text
    return "ivymux_proxy_departed_requests_total 1\n" in text


@pytest.mark.parametrize("how", ["close", "reset"])
def test_work_for_an_idempotent_request_ends_when_its_client_leaves(tmp_path: Path, how: str) -> None:
    async def scenario() -> None:
        async with cluster_with_gated_backends(tmp_path) as (_, proxy, backend):
            delays_s = []
            for n in range(ROUNDS):
                client = await DisconnectingClient.connect(proxy)
                client.send_request(f"left-{n}")
                await wait_until_runs(backend, f"left-{n}")
                client.disconnect(how)
                delays_s.append(await wait_until_dropped(backend, f"left-{n}"))
            assert min(delays_s) < MAX_CANCEL_DELAY_S and not backend.finished

    asyncio.run(scenario())


def test_work_ends_when_clients_leave_a_proxy_that_is_shutting_down(tmp_path: Path) -> None:
    """The work for a pipelined request behind another one ends too."""

    async def scenario() -> None:
        async with cluster_with_gated_backends(tmp_path) as (cluster, proxy, backend):
            client = await DisconnectingClient.connect(proxy)
            client.send_request("first")
            client.send_request("second")
            await wait_until_runs(backend, "first")
            await wait_until_runs(backend, "second")
            cluster.send_signal(proxy, signal.SIGTERM)
            while await cluster.is_ready(proxy):
                await asyncio.sleep(0.005)
            client.disconnect("close")
            assert (
                max(
                    await asyncio.gather(
                        wait_until_dropped(backend, "first"), wait_until_dropped(backend, "second")
                    )
                )
                < MAX_CANCEL_DELAY_S
            )

    asyncio.run(scenario())


@pytest.mark.parametrize("extra_headers", ["", 'Idempotency-Key: "a"\r\n'])
def test_an_action_that_may_have_begun_continues_without_its_client(
    tmp_path: Path, extra_headers: str
) -> None:
    """Cancelling it would leave its outcome unknown; with a key, a retry gets the stored answer."""

    async def scenario() -> None:
        async with cluster_with_gated_backends(tmp_path) as (cluster, proxy, backend):
            client = await DisconnectingClient.connect(proxy)
            client.send_request("action", "POST", "/sign/1", extra_headers)
            await wait_until_runs(backend, "action")
            client.disconnect("close")
            while not await has_departure(cluster, proxy):
                await asyncio.sleep(0.005)
            assert backend.answer_gate is not None
            backend.answer_gate.set()
            while "action" not in backend.finished:
                await asyncio.sleep(0.005)
            assert "action" not in backend.disconnected
            if extra_headers:
                while (
                    again := await cluster.send_request(proxy, "POST", "/sign/1", Idempotency_Key='"a"')
                ) is not None:
                    if again.status_code == 200:
                        break
                assert again is not None and again.headers["idempotent-replayed"] == "true"
                assert [ran.id for ran in backend.executed].count("action") == 1

    asyncio.run(scenario())
