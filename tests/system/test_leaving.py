"""Clients that leave before their answer, over real processes: what goes on at backends, what does not."""

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

BOUND = 0.5  # seconds behind a client's leaving by which work for it has ended
ROUNDS = 3  # what else a machine does makes one later, never sooner
LONG = 30_000  # milliseconds that these clients would wait: no deadline ends the work in their place


def patient(version: int) -> dict[str, Any]:
    """The lab's configuration, with deadlines that do not end what these tests look at."""
    made = build_configuration(version)
    for route in made["route_table"]:
        route["deadline"] = f"{LONG}ms"
    return made


class Leaver:
    """A client on one connection, which leaves it with its requests unanswered."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def at(cls, door: str) -> Leaver:
        return cls(*await asyncio.open_connection(door, 8520))

    def ask(self, id: str, method: str = "GET", path: str = "/read/1", more: str = "") -> None:
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: minutes.example\r\nTry-Id: {id}\r\n{more}"
            f"Time-Remaining: {LONG}\r\nAuthorization: Bearer key-one\r\nContent-Length: 0\r\n\r\n".encode()
        )

    def leave(self, how: str) -> None:
        if how == "reset":
            raw: socket.socket = self.writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        else:
            self.writer.close()


@asynccontextmanager
async def working(folder: Path) -> AsyncIterator[tuple[LocalCluster, str, Backend]]:
    """A door before one backend of both services' work, whose requests take until its gate opens."""
    async with local_cluster(folder, proxy_count=1) as cluster:
        await cluster.start_all(initial_start=True)
        archive, desk = (
            await cluster.start_backend("i-archive", "archive"),
            await cluster.start_backend("i-desk", "desk"),
        )
        await cluster.put_configuration(patient(1))
        await cluster.wait_until_ready(cluster.proxy_ips[0])
        await cluster.wait_until_served(cluster.proxy_ips[0])
        await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/0")
        archive.gate = desk.gate = asyncio.Event()
        desk.ran, desk.finished, desk.dropped = archive.ran, archive.finished, archive.dropped
        yield cluster, cluster.proxy_ips[0], archive


async def runs(backend: Backend, id: str) -> None:
    while not any(ran.id == id for ran in backend.ran):
        await asyncio.sleep(0.005)


async def is_dropped(backend: Backend, id: str) -> float:
    """Seconds until a backend has dropped a request."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.timeout(10):
        while id not in backend.dropped:
            await asyncio.sleep(0.005)
    return loop.time() - began


async def departed(cluster: LocalCluster, door: str) -> bool:
    """Whether a door has met a client's leaving, by its metrics."""
    text = (await cluster.http_client.get(f"http://{door}:7343/metrics")).text
    return "ivymux_proxy_departed_requests_total 1\n" in text


@pytest.mark.parametrize("how", ["close", "reset"])
def test_work_for_a_repeatable_request_ends_as_its_client_leaves(tmp_path: Path, how: str) -> None:
    async def day() -> None:
        async with working(tmp_path) as (_, door, backend):
            took = []
            for n in range(ROUNDS):
                client = await Leaver.at(door)
                client.ask(f"left-{n}")
                await runs(backend, f"left-{n}")
                client.leave(how)
                took.append(await is_dropped(backend, f"left-{n}"))
            assert min(took) < BOUND and not backend.finished

    asyncio.run(day())


def test_work_ends_as_clients_leave_a_door_that_ends_itself(tmp_path: Path) -> None:
    """Also for a request behind another one on its connection."""

    async def day() -> None:
        async with working(tmp_path) as (cluster, door, backend):
            client = await Leaver.at(door)
            client.ask("first")
            client.ask("second")
            await runs(backend, "first")
            await runs(backend, "second")
            cluster.send_signal(door, signal.SIGTERM)
            while await cluster.is_ready(door):
                await asyncio.sleep(0.005)
            client.leave("close")
            assert (
                max(await asyncio.gather(is_dropped(backend, "first"), is_dropped(backend, "second"))) < BOUND
            )

    asyncio.run(day())


@pytest.mark.parametrize("more", ["", 'Idempotency-Key: "a"\r\n'])
def test_an_action_that_may_run_runs_on_without_its_client(tmp_path: Path, more: str) -> None:
    """To cut it off would leave nobody knowing whether it ran; with a key its answer is there for a retry."""

    async def day() -> None:
        async with working(tmp_path) as (cluster, door, backend):
            client = await Leaver.at(door)
            client.ask("action", "POST", "/sign/1", more)
            await runs(backend, "action")
            client.leave("close")
            while not await departed(cluster, door):
                await asyncio.sleep(0.005)
            assert backend.gate is not None
            backend.gate.set()
            while "action" not in backend.finished:
                await asyncio.sleep(0.005)
            assert "action" not in backend.dropped
            if more:
                while (
                    again := await cluster.send_request(door, "POST", "/sign/1", Idempotency_Key='"a"')
                ) is not None:
                    if again.status_code == 200:
                        break
                assert again is not None and again.headers["idempotent-replayed"] == "true"
                assert [ran.id for ran in backend.ran].count("action") == 1

    asyncio.run(day())
