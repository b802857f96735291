"""Backends that begin with a long request before they have read it whole, over real processes."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from pathlib import Path

from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster
from standins.backend import Backend

FIRST_PART_BYTES = 16 * 1024  # of a body, read before the work begins
RECEIVE_BUFFER_BYTES = 32 * 1024
LONG_BODY = bytes(8 << 20)
SHORT_BODY = b"yes"


class EarlyBackend(Backend):
    """Begins a request with the first part of its body; may lose the answers to long requests, each once."""

    runs: Counter[str]  # of all backends, by the request's id
    lost: list[str]  # ids whose answer was lost by a reset, at any backend
    loses_answers = False

    async def start(self, port: int = 0) -> None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind((self.host, port))
        self.server = await asyncio.start_server(self.serve, sock=listening)
        self.address = f"{self.host}:{listening.getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                await self.serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        start_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        id, length = headers["try-id"], int(headers.get("content-length", 0))
        first = min(length, FIRST_PART_BYTES)
        await reader.readexactly(first)
        self.runs[id] += 1
        if self.loses_answers and length > first and id not in self.lost:
            self.lost.append(id)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            raise ConnectionAbortedError
        body = f"{self.service} {start_line.split(' ')[1]}".encode()
        writer.write(self.encode_answer(200, id, body, f"Server-Seal: seal-{id}\r\n"))
        await reader.readexactly(length - first)


async def start_early_backends(cluster: LocalCluster) -> list[EarlyBackend]:
    runs: Counter[str] = Counter()
    lost: list[str] = []
    backends = []
    for number in range(2):
        backend = EarlyBackend(f"i-desk-{number}", "desk", "127.0.0.1", "hall")
        backend.runs, backend.lost = runs, lost
        await backend.start()
        backends.append(backend)
        cluster.backends.append(backend)
        cluster.heartbeat_tasks[backend.instance] = asyncio.get_running_loop().create_task(
            cluster.send_heartbeats(backend)
        )
    return backends


# Guards against TWICE: a request that one backend has begun is sent to another one after a reset, because
# part of it was still in the proxy's write buffer (docs/incidents/early-run.md).
def test_a_long_request_runs_once_if_its_answer_is_lost(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            backends = await start_early_backends(cluster)
            await cluster.put_configuration(build_configuration(1, read="desk", sign="desk"))
            (proxy,) = cluster.proxy_ips
            await cluster.wait_until_ready(proxy)
            await cluster.wait_until_served(proxy)
            runs, lost = backends[0].runs, backends[0].lost

            async def send(id: str, path: str, body: bytes, **headers: str) -> int:
                answer = await cluster.send_request(proxy, "POST", path, content=body, Try_Id=id, **headers)
                assert answer is not None
                return answer.status_code

            assert await send("whole", "/sign/1", LONG_BODY) == 200
            for backend in backends:
                backend.loses_answers = True
            assert await send("short", "/sign/2", SHORT_BODY) == 200
            # Its client is told that it may have run, and it is sent to no other backend.
            assert await send("long", "/sign/3", LONG_BODY) == 502
            # The record of its key says the same, so that a retry of the action does not run it again.
            assert await send("keyed", "/sign/4", LONG_BODY, Idempotency_Key='"k"') == 502
            while (status := await send("again", "/sign/4", LONG_BODY, Idempotency_Key='"k"')) == 409:
                await asyncio.sleep(0.02)
            assert status == 502
            # A repeatable request is still retried.
            assert await send("repeatable", "/read/5", LONG_BODY) == 200
            assert lost == ["long", "keyed", "repeatable"]
            assert {id: runs[id] for id in ("whole", "short", "long", "keyed", "again", "repeatable")} == {
                "whole": 1, "short": 1, "long": 1, "keyed": 1, "again": 0, "repeatable": 2
            }  # fmt: skip

    asyncio.run(scenario())
