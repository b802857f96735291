"""What doors cost the core: real registries and configuration stores, and doors that do nothing but hold on.

    python -m bench.sizing [--quick] [--json FILE|-]

A stand-in door holds its connections, acknowledges news and fetches configurations as a door does, in the
benchmark's own process.  Measured: CPU of the busiest registry and store, idle and with backends that
call; the time from a change to the last door; bytes to and from a door.
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
from ivymux.transport.connection import Connection, Connector
from ivymux.transport.frames import Message, encode_frame

DOORS = (11, 85, 300, 1000)
BACKENDS, BEAT = 155, 1.5
TENANTS = 84
SPAN = 6.0  # seconds over which CPU is counted


class Counted(Connection):
    """A connection that counts its bytes."""

    counted = 0

    def data_received(self, data: bytes) -> None:
        Counted.counted += len(data)
        super().data_received(data)

    def write(self, data: bytes) -> None:
        Counted.counted += len(data)
        super().write(data)


class Held(Connector):
    connection_class = Counted


class Door:
    """A door as the core sees it."""

    def __init__(self, number: int, port: int) -> None:
        self.id = f"10.9.{number // 250}.{number % 250}:7342"
        self.version, self.at = -1, 0.0
        self.lines = [Held(Address(core, port), self.heard, on_connect=self.up) for core in CORE_IPS]

    def up(self, line: Connection) -> None:
        line.send(
            {"k": "door", "id": self.id, "ip": "10.9.0.1", "port": 7342, "zone": "b", "run": "", "n": 0}
        )

    def heard(self, line: Connection, message: Message) -> None:
        kind = message["k"]
        if kind in ("news", "here"):
            line.send({"k": "ack", "n": message["n"]})
        if kind in ("config", "here") and message["v"] > self.version and line is self.lines[0].connection:
            line.send({"k": "want"})
        elif kind == "text" and message["v"] > self.version:
            self.version, self.at = message["v"], time.perf_counter()
            for dialler in self.lines:
                dialler.send({"k": "have", "v": self.version})

    def close(self) -> None:
        for line in self.lines:
            line.close()


def configuration(version: int) -> dict[str, Any]:
    tenants = [
        {"name": f"tenant-{n}", "api_keys": [f"key-{n}-{k:020d}" for k in range(2)], "rate_per_s": 9,
         "burst_size": 9}
        for n in range(TENANTS)
    ]  # fmt: skip
    return {**routing_configuration(), "config_version": version, "tenant_table": tenants}


async def put(http: httpx.AsyncClient, url: str, body: Any) -> int:
    """A call that is repeated until it is acknowledged; how often it was made."""
    content = json.dumps(body)
    for made in range(1, 50):
        try:
            if (await http.put(url, content=content)).status_code == 200:
                return made
        except httpx.TransportError:  # the connection it was sent on has just been closed
            pass
    raise AssertionError(f"{url} is not acknowledged")


async def beats(http: httpx.AsyncClient, control: int, count: int) -> None:
    """Backends that call, each at one core machine."""

    async def one(number: int) -> None:
        seq = 0
        await asyncio.sleep(BEAT * number / count)
        while True:
            seq += 1
            body = {"service_name": "archive", "address": f"127.0.1.1:{1000 + number}", "zone_name": "a",
                    "capacity": 2, "oper_state": "in_service", "call_seq": seq}  # fmt: skip
            url = f"http://{CORE_IPS[number % len(CORE_IPS)]}:{control}/instances/b-{number}"
            await put(http, url, body)
            await asyncio.sleep(BEAT)

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(one(number))


async def measure(folder: Path, count: int, changes: int) -> dict[str, Any]:
    system = LocalSystem(folder, configuration(1))
    system.fd_limit = 4096
    http = httpx.AsyncClient(trust_env=False, timeout=5.0)
    doors: list[Door] = []
    calling: asyncio.Task[None] | None = None
    try:
        stores = [system.start(ip, "config_store") for ip in CORE_IPS]
        registries = [system.start(ip, "registry") for ip in CORE_IPS]
        await system.configure([])
        doors = [Door(n, system.inner_port + 1) for n in range(count)]
        async with asyncio.timeout(60):
            while any(d.version < 1 or not all(line.is_connected for line in d.lines) for d in doors):
                await asyncio.sleep(0.05)

        async def busiest() -> tuple[float, float, float]:
            """Per cent of a core of the busiest registry and store; bytes a second of a door."""
            before, since = [c.cpu_seconds() for c in (*registries, *stores)], time.perf_counter()
            Counted.counted = 0
            await asyncio.sleep(SPAN)
            spent = time.perf_counter() - since
            used = [
                100 * (c.cpu_seconds() - b) / spent
                for c, b in zip((*registries, *stores), before, strict=True)
            ]
            return max(used[: len(CORE_IPS)]), max(used[len(CORE_IPS) :]), Counted.counted / spent / count

        idle = await busiest()
        calling = asyncio.get_running_loop().create_task(beats(http, system.control_port, BACKENDS))
        await asyncio.sleep(2 * BEAT)
        called = await busiest()
        spans, answered, calls = [], [], 0
        before = [c.cpu_seconds() for c in registries]
        for version in range(2, changes + 2):
            began = time.perf_counter()
            url = f"http://{CORE_IPS[0]}:{system.control_port}/configuration"
            calls += await put(http, url, configuration(version))
            answered.append(time.perf_counter() - began)
            async with asyncio.timeout(20):
                while any(d.version < version for d in doors):
                    await asyncio.sleep(0.002)
            spans.append(max(d.at for d in doors) - began)
        memory = max(c.peak_mb() for c in registries)
        change = max(c.cpu_seconds() - b for c, b in zip(registries, before, strict=True)) / changes
    finally:
        if calling is not None:
            calling.cancel()
            await asyncio.wait([calling])
        for door in doors:
            door.close()
        await http.aclose()
        for child in system.children:
            child.stop()
    name = f"{count} doors: "
    return {
        name + "CPU of the busiest registry, idle": summarize([idle[0]], "% of a core"),
        name + f"the same with {BACKENDS} backends that call each {BEAT} s": summarize(
            [called[0]], "% of a core"
        ),
        name + "CPU of the busiest configuration store": summarize([called[1]], "% of a core"),
        name + "bytes of a door, idle": summarize([idle[2]], "bytes/s"),
        name + "from a change to the last door": summarize(spans, "s"),
        name + "until it is answered": summarize(answered, "s"),
        name + "calls of the operator for a change": summarize([calls / changes], "calls"),
        name + "CPU of a change at the busiest registry": summarize([1000 * change], "ms"),
        name + "peak memory of a registry": summarize([memory], "MB"),
    }


async def main() -> None:
    args = parse_arguments("sizing")
    figures: dict[str, Any] = {}
    for count in DOORS[:2] if args.quick else DOORS:
        with tempfile.TemporaryDirectory() as name:
            figures |= await measure(Path(name), count, 3 if args.quick else 10)
    size = len(encode_frame({"k": "text", "v": 1, "t": json.dumps(configuration(1))}))
    load = f"{len(CORE_IPS)} core machines, {BACKENDS} backends, a configuration of {size} bytes"
    write_report(args, load, figures, {})


if __name__ == "__main__":
    uvloop.run(main())
