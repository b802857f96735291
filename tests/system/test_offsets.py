"""Connections to backends that break at each byte of a request and of an answer, over real processes.

A non-idempotent request arrives complete at most once, and a success is the complete answer to its request.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

import httpx

from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster
from standins.backend import Backend

FAR_ABOVE_RATE = 1_000_000  # requests a second that no machine sends here: quotas are not what is tested


@dataclass(frozen=True, slots=True)
class Break:
    """Where a connection breaks, once."""

    of_answer: bool
    offset: int  # bytes received of a request, or sent of an answer
    reset: bool = True  # otherwise the connection is closed
    late: bool = False  # no break: `offset` bytes of the previous answer precede the next one


class BreakingBackend(Backend):
    """Breaks a connection at a byte of a request or of its answer, once each time it is armed."""

    armed: Break | None = None
    complete_runs: Counter[str]
    request_size = 0
    previous_answer = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                first = await reader.readexactly(1)
                if self.armed is not None and not self.armed.of_answer:
                    armed, self.armed = self.armed, None
                    await reader.readexactly(armed.offset - 1)
                    self.end(writer, armed.reset)
                    return
                head = first + await reader.readuntil(b"\r\n\r\n")
                await self.answer_one(head, writer)
                if writer.transport.is_closing():
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer_one(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        lines = head.decode("latin-1").split("\r\n")
        target = lines[0].split(" ")[1]
        id = next(line.partition(":")[2].strip() for line in lines if line.lower().startswith("try-id:"))
        self.complete_runs[id] += 1
        self.request_size = max(self.request_size, len(head))
        answer = self.encode_answer(
            200, id, f"{self.service} {target}".encode(), f"Server-Seal: seal-{id}\r\n"
        )
        armed, self.armed = self.armed, None
        if armed is None:
            writer.write(answer)
        elif armed.late:
            writer.write(self.previous_answer[: armed.offset] + answer)
        else:
            writer.write(answer[: armed.offset])
            if armed.offset < len(answer):
                await writer.drain()
                self.end(writer, armed.reset)
        self.previous_answer = answer

    @staticmethod
    def end(writer: asyncio.StreamWriter, reset: bool) -> None:
        if reset:
            raw: socket.socket = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


async def start_breaking_backend(cluster: LocalCluster) -> BreakingBackend:
    backend = BreakingBackend("i-desk", "desk", "127.0.0.1", "hall")
    backend.complete_runs = Counter()
    await backend.start()
    cluster.backends.append(backend)
    cluster.heartbeat_tasks["i-desk"] = asyncio.get_running_loop().create_task(
        cluster.send_heartbeats(backend)
    )
    return backend


def check_outcome(answer: httpx.Response | None, id: str, target: str, backend: BreakingBackend) -> None:
    """Check the outcome of one try against what its client and the backend observed."""
    assert answer is not None and answer.status_code in (200, 502, 503, 504), answer
    assert backend.complete_runs[id] <= 1
    if answer.status_code == 200:
        assert backend.complete_runs[id] == 1
        assert (answer.text, answer.headers["server-seal"]) == (f"desk {target}", f"seal-{id}")
        assert answer.headers["try-id"] == id
    elif answer.status_code == 503:
        assert backend.complete_runs[id] == 0  # 503 means that the request was not executed


def test_connections_that_break_at_each_byte(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1, timeout_s=100.0) as cluster:
            await cluster.start_all(initial_start=True)
            desk = await start_breaking_backend(cluster)
            configuration = build_configuration(1, sign="desk")
            configuration["tenant_table"][0] |= {"rate_per_s": FAR_ABOVE_RATE, "burst_size": FAR_ABOVE_RATE}
            await cluster.put_configuration(configuration)
            await cluster.wait_until_ready(cluster.proxy_ips[0])
            await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/0")

            async def ask(id: str) -> int:
                target = f"/sign/{id}"
                answer = await cluster.send_request(cluster.proxy_ips[0], "POST", target, Try_Id=id)
                check_outcome(answer, id, target, desk)
                assert answer is not None
                return answer.status_code

            size = len(desk.encode_answer(200, "a-000", b"desk /sign/a-000", "Server-Seal: seal-a-000\r\n"))
            statuses: Counter[tuple[str, int]] = Counter()
            cases = [("request", Break(False, 0, reset), desk.request_size) for reset in (True, False)]
            cases += [("answer", Break(True, 0, reset), size + 1) for reset in (True, False)]
            cases += [("late", Break(True, 0, late=True), size + 1)]
            for number, (name, kind, offsets) in enumerate(cases):
                for offset in range(1, offsets):
                    desk.armed = replace(kind, offset=offset)
                    statuses[name, await ask(f"{number}-{offset:03d}")] += 1
                    # The next request may use the same connection, if the proxy keeps it.
                    while await ask(f"{number}+{offset:03d}") == 503:  # the backend is avoided for a while
                        desk.complete_runs.pop(f"{number}+{offset:03d}", None)
            assert statuses["answer", 200] == 2  # only the answers whose last byte was sent
            assert statuses["late", 200] >= 1 and statuses["request", 200] == 0, statuses

    asyncio.run(scenario())
