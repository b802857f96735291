"""What proxies cost the core: real registries and config stores, with stand-ins that only stay connected.

    python -m bench.sizing [--quick] [--json FILE|-]

A stand-in proxy keeps its connections, acknowledges messages and fetches configurations as a proxy does, in
the benchmark's process.  Measures the CPU of the busiest registry and config store, idle and with heartbeats
of backends, the delay from a change to the last proxy, and the bytes to and from a proxy.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx
import uvloop

from bench.common import parse_arguments, summarize, write_report
from bench.system import CORE_IPS, LocalSystem, routing_configuration
from ivymux.data_plane.limits import Address
from ivymux.transport.connection import Connection
from ivymux.transport.connector import Connector
from ivymux.transport.frames import Message, encode_frame

PROXY_COUNTS = (11, 85, 300, 1000)
BACKENDS, HEARTBEAT_PERIOD_S = 155, 1.5
TENANTS = 84
CPU_SPAN_S = 6.0  # for which CPU time and bytes are counted


class CountingConnection(Connection):
    """A connection that adds its bytes in both directions to a total of all connections."""

    total_bytes = 0

    def data_received(self, data: bytes) -> None:
        CountingConnection.total_bytes += len(data)
        super().data_received(data)

    def write(self, data: bytes) -> None:
        CountingConnection.total_bytes += len(data)
        super().write(data)


class CountingConnector(Connector):
    connection_class = CountingConnection


class StandInProxy:
    """A proxy as the core observes it: connections, acknowledgements and a configuration version."""

    def __init__(self, number: int, port: int) -> None:
        self.id = f"10.9.{number // 250}.{number % 250}:7342"
        self.version, self.version_at = -1, 0.0
        self.connectors = [
            CountingConnector(Address(core, port), self.on_message, on_connect=self.on_connect)
            for core in CORE_IPS
        ]

    def on_connect(self, connection: Connection) -> None:
        connection.send(
            {"k": "door", "id": self.id, "ip": "10.9.0.1", "port": 7342, "zone": "b", "run": "", "n": 0}
        )

    def on_message(self, connection: Connection, message: Message) -> None:
        kind = message["k"]
        if kind in ("news", "here"):
            connection.send({"k": "ack", "n": message["n"]})
        if (
            kind in ("config", "here")
            and message["v"] > self.version
            and connection is self.connectors[0].connection
        ):
            connection.send({"k": "want"})
        elif kind == "text" and message["v"] > self.version:
            self.version, self.version_at = message["v"], time.perf_counter()
            for connector in self.connectors:
                connector.send({"k": "have", "v": self.version})

    def close(self) -> None:
        for connector in self.connectors:
            connector.close()


def configuration(version: int) -> dict[str, Any]:
    tenants = [
        {"name": f"tenant-{n}", "api_keys": [f"key-{n}-{k:020d}" for k in range(2)], "rate_per_s": 9,
         "burst_size": 9}
        for n in range(TENANTS)
    ]  # fmt: skip
    return {**routing_configuration(), "config_version": version, "tenant_table": tenants}


async def put(http: httpx.AsyncClient, url: str, body: Any) -> int:
    """Makes a call until it is acknowledged; returns the number of calls."""
    content = json.dumps(body)
    for call_count in range(1, 50):
        try:
            if (await http.put(url, content=content)).status_code == 200:
                return call_count
        except httpx.TransportError:  # the server has just closed the kept-alive connection
            pass
    raise AssertionError(f"{url} was not acknowledged")


async def send_heartbeats(http: httpx.AsyncClient, control_port: int, count: int) -> None:
    """Sends the heartbeats of `count` backends, each to one core machine."""

    async def send_one(number: int) -> None:
        seq = 0
        await asyncio.sleep(HEARTBEAT_PERIOD_S * number / count)
        while True:
            seq += 1
            body = {"service_name": "archive", "address": f"127.0.1.1:{1000 + number}", "zone_name": "a",
                    "capacity": 2, "oper_state": "in_service", "call_seq": seq}  # fmt: skip
            url = f"http://{CORE_IPS[number % len(CORE_IPS)]}:{control_port}/instances/b-{number}"
            await put(http, url, body)
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(send_one(number))


async def measure(directory: Path, proxy_count: int, change_count: int) -> dict[str, Any]:
    system = LocalSystem(directory, configuration(1))
    system.fd_limit = 4096
    http = httpx.AsyncClient(trust_env=False, timeout=5.0)
    proxies: list[StandInProxy] = []
    heartbeats: asyncio.Task[None] | None = None
    try:
        stores = [system.start(ip, "config_store") for ip in CORE_IPS]
        registries = [system.start(ip, "registry") for ip in CORE_IPS]
        await system.configure([])
        proxies = [StandInProxy(n, system.inner_port + 1) for n in range(proxy_count)]
        async with asyncio.timeout(60):
            while any(
                proxy.version < 1 or not all(connector.is_connected for connector in proxy.connectors)
                for proxy in proxies
            ):
                await asyncio.sleep(0.05)

        async def measure_load() -> tuple[float, float, float]:
            """CPU of the busiest registry and store in per cent of a core; bytes per second of a proxy."""
            cpu_before, started_at = (
                [process.cpu_seconds() for process in (*registries, *stores)],
                time.perf_counter(),
            )
            CountingConnection.total_bytes = 0
            await asyncio.sleep(CPU_SPAN_S)
            elapsed_s = time.perf_counter() - started_at
            percents = [
                100 * (process.cpu_seconds() - b) / elapsed_s
                for process, b in zip((*registries, *stores), cpu_before, strict=True)
            ]
            return (
                max(percents[: len(CORE_IPS)]),
                max(percents[len(CORE_IPS) :]),
                CountingConnection.total_bytes / elapsed_s / proxy_count,
            )

        idle_load = await measure_load()
        heartbeats = asyncio.get_running_loop().create_task(
            send_heartbeats(http, system.control_port, BACKENDS)
        )
        await asyncio.sleep(2 * HEARTBEAT_PERIOD_S)
        heartbeat_load = await measure_load()
        delays_s, answered_s, calls = [], [], 0
        cpu_before = [process.cpu_seconds() for process in registries]
        for version in range(2, change_count + 2):
            started_at = time.perf_counter()
            url = f"http://{CORE_IPS[0]}:{system.control_port}/configuration"
            calls += await put(http, url, configuration(version))
            answered_s.append(time.perf_counter() - started_at)
            async with asyncio.timeout(20):
                while any(proxy.version < version for proxy in proxies):
                    await asyncio.sleep(0.002)
            delays_s.append(max(proxy.version_at for proxy in proxies) - started_at)
        peak_mb = max(process.peak_mb() for process in registries)
        change_cpu_s = (
            max(process.cpu_seconds() - b for process, b in zip(registries, cpu_before, strict=True))
            / change_count
        )
    finally:
        if heartbeats is not None:
            heartbeats.cancel()
            await asyncio.wait([heartbeats])
        for proxy in proxies:
            proxy.close()
        await http.aclose()
        for child in system.children:
            child.stop()
    name = f"{proxy_count} doors: "
    return {
        name + "CPU of the busiest registry, idle": summarize([idle_load[0]], "% of a core"),
        name + f"the same with {BACKENDS} backends that call each {HEARTBEAT_PERIOD_S} s": summarize(
            [heartbeat_load[0]], "% of a core"
        ),
        name + "CPU of the busiest configuration store": summarize([heartbeat_load[1]], "% of a core"),
        name + "bytes of a door, idle": summarize([idle_load[2]], "bytes/s"),
        name + "from a change to the last door": summarize(delays_s, "s"),
        name + "until it is answered": summarize(answered_s, "s"),
        name + "calls of the operator for a change": summarize([calls / change_count], "calls"),
        name + "CPU of a change at the busiest registry": summarize([1000 * change_cpu_s], "ms"),
        name + "peak memory of a registry": summarize([peak_mb], "MB"),
    }


async def main() -> None:
    args = parse_arguments("sizing")
    figures: dict[str, Any] = {}
    for count in PROXY_COUNTS[:2] if args.quick else PROXY_COUNTS:
        with tempfile.TemporaryDirectory() as name:
            figures |= await measure(Path(name), count, 3 if args.quick else 10)
    size = len(encode_frame({"k": "text", "v": 1, "t": json.dumps(configuration(1))}))
    workload = f"{len(CORE_IPS)} core machines, {BACKENDS} backends, a configuration of {size} bytes"
    write_report(args, workload, figures, {})


if __name__ == "__main__":
    uvloop.run(main())
