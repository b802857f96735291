"""A hosting gateway with many tenants: memory, start-up, CPU per request, a flooding tenant, commit delays.

`python -m bench.tenants [--quick] [--json FILE|-]`
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import statistics
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from bench.common import (
    ChildProcess,
    Load,
    LoadConnection,
    parse_arguments,
    quantile,
    summarize,
    write_report,
)
from bench.routes import free_port, small_description, standalone_requests, wait_until_listening, write_site
from ivymux.desired.model import Change
from ivymux.desired.sqlite import SqliteStore
from ivymux.inventory.model import Inventory, Worker
from ivymux.routes.description import compile_description
from ivymux.service.site import PlanPart
from ivymux.tenants import secret
from ivymux.tenants.model import (
    CustomerPart,
    InventoryRef,
    KeyEntry,
    RoutesPart,
    Tenant,
    digest,
    site_of,
)
from ivymux.tenants.shares import TenantLimits


def write_installation(
    directory: Path, tenants: int, backends: list[ChildProcess], **limits: float
) -> tuple[Path, list[bytes]]:
    """Writes the files of an installation; returns its settings file and one request of each tenant."""
    directory.mkdir()
    store, requests = SqliteStore(directory / "desired.db"), []
    plans = {"p": PlanPart(rate=10_000.0, burst=20_000.0)}  # as in the site file of a single tenant
    routes = json.dumps(small_description()).encode()
    options = site_of(Tenant(plans=plans)).options
    compiled = msgspec.msgpack.encode(compile_description("a", {"a": routes}.__getitem__, options))
    inventory_workers = [Worker(f"w{n}", "127.0.0.1", backend.port) for n, backend in enumerate(backends)]
    packed_inventory = msgspec.msgpack.encode(Inventory(tuple(inventory_workers)))
    blobs = {digest(data): data for data in (routes, compiled, packed_inventory)}
    for number in range(tenants):
        key_id, key, secret_entry = secret.create_key(secret.CALLER_PREFIX, 0.0)
        tenant = Tenant(
            hosts=[f"t{number}.example"], plans=plans, customers={"c": CustomerPart(plan="p")},
            keys={key_id: KeyEntry(salt=secret_entry.salt, hash=secret_entry.hash, made=0.0, customer="c")},
            routes=RoutesPart(main="a", files={"a": digest(routes)}, compiled=digest(compiled)),
            inventory=InventoryRef(digest=digest(packed_inventory), parsed=digest(packed_inventory)),
            limits=TenantLimits(requests=limits.get("requests", 1e6), burst=limits.get("burst", 1e6)),
        )  # fmt: skip
        store.commit(Change(name=f"t{number}", expected=0, tenant=tenant, uid=f"u{number}", at=0.0, who="",
                            origin="", action="", blobs=blobs if not number else {}))  # fmt: skip
        requests.append(
            b"GET /meetings/1 HTTP/1.1\r\nHost: t%d.example\r\nX-API-Key: %s\r\n\r\n" % (number, key.encode())
        )
    store.close()
    path = directory / "hosting.toml"
    path.write_text(f'store = "desired.db"\nlisten = "127.0.0.1:{free_port()}"\n')
    return path, requests


class HostingProcess:
    """A process that runs `ivymux host`."""

    def __init__(self, path: Path) -> None:
        self.port = int(path.read_text().split(":")[1].split('"')[0])
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        self.child = ChildProcess("-m", "ivymux", "host", str(path), env=env, prints_port=False)


async def measure_sizes(quick: bool, directory: Path) -> dict[str, Any]:
    """Memory and start-up time by number of tenants, and the CPU time of tenants without requests."""
    figures: dict[str, Any] = {}
    # In a large installation 950 of 1,000 tenants have no requests.
    for count in (1, 50) if quick else (1, 50, 1000):
        path, _ = write_installation(directory / str(count), count, [])
        startups_s, peaks_mb, idle_cpu_ms = [], [], []
        for _ in range(1 if quick else 3):
            started_at = time.perf_counter()
            gateway = HostingProcess(path)
            await wait_until_listening(gateway.port)
            startups_s.append(time.perf_counter() - started_at)
            peaks_mb.append(gateway.child.peak_mb())
            await asyncio.sleep(0.5)
            cpu_before = gateway.child.cpu_seconds()
            await asyncio.sleep(1.0)
            idle_cpu_ms.append((gateway.child.cpu_seconds() - cpu_before) * 1e3)
            gateway.child.stop()
        figures[f"{count} tenants: start"] = summarize(startups_s, "s")
        figures[f"{count} tenants: memory"] = summarize(peaks_mb, "MB")
        figures[f"{count} tenants asleep: CPU in a second"] = summarize(idle_cpu_ms, "ms")
    return figures


async def cpu_per_request_us(child: ChildProcess, port: int, requests: list[bytes], count: int) -> float:
    """Microseconds of CPU per request, whether it is served or refused."""
    load = Load(requests, 0, count)
    cpu_before = child.cpu_seconds()
    loop = asyncio.get_running_loop()
    connections = [
        await loop.create_connection(lambda n=n: LoadConnection(load, n), "127.0.0.1", port)  # type: ignore[misc]
        for n in range(16)
    ]
    async with asyncio.timeout(60):
        await asyncio.gather(*(connection.done for _, connection in connections))
    return (child.cpu_seconds() - cpu_before) / len(load.latencies_s) * 1e6


async def measure_cpu_costs(quick: bool, directory: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """CPU per request: served, refused by the tenant's limits, and served by a gateway of a single tenant."""
    backends = [ChildProcess("-m", "bench.parts", "worker") for _ in range(4)]
    served_path, requests = write_installation(directory / "one", 1, backends)
    limited_path, refused_requests = write_installation(
        directory / "low", 1, backends, requests=1.0, burst=1.0
    )
    (directory / "alone").mkdir()
    site_path = write_site(
        directory / "alone", backends, site_port := free_port(), json.dumps(small_description()).encode()
    )
    costs_us: dict[str, list[float]] = {"served": [], "refused": [], "single": []}
    count = 1_000 if quick else 3_000
    random_order = random.Random(1)
    try:
        # Two processes of the same program differ by up to a tenth for as long as they run, depending on
        # their memory layout.  Each round therefore starts new ones.
        for _ in range(3 if quick else 11):
            served, limited = HostingProcess(served_path), HostingProcess(limited_path)
            single = ChildProcess("-m", "ivymux", "serve", str(site_path), prints_port=False)
            try:
                for port in (served.port, limited.port, site_port):
                    await wait_until_listening(port)
                gateways = {
                    "served": (served.child, served.port, requests),
                    "refused": (limited.child, limited.port, refused_requests),
                    "single": (single, site_port, standalone_requests()[:1]),
                }
                order, round_us = list(gateways), {name: list[float]() for name in gateways}
                for turn in range(2 if quick else 5):
                    random_order.shuffle(order)  # the first one after a pause costs a tenth more
                    for name in order:
                        us = await cpu_per_request_us(*gateways[name], count)
                        if turn:  # the first turn is a warm-up
                            round_us[name].append(us)
                for name, values in costs_us.items():
                    values.append(statistics.median(round_us[name]))
            finally:
                for child in (served.child, limited.child, single):
                    child.stop()
    finally:
        for child in backends:
            child.stop()

    def median_ratio(numerators: list[float], denominators: list[float]) -> float:
        return statistics.median(x / y for x, y in zip(numerators, denominators, strict=True))

    return {
        "CPU of a served request": summarize(costs_us["served"], "us"),
        "CPU of one refused beyond the tenant's limits": summarize(costs_us["refused"], "us"),
        "CPU of one at a front door of one tenant": summarize(costs_us["single"], "us"),
    }, {
        "refused over served": median_ratio(costs_us["refused"], costs_us["served"]),
        "hosted over single": median_ratio(costs_us["served"], costs_us["single"]),
    }


def return_connection(connection: LoadConnection) -> LoadConnection:
    return connection


async def steady_load(port: int, requests: list[bytes]) -> Load:
    """Sends ten requests per second for each tenant, evenly spread over time."""
    load = Load(requests, 0, 20 * len(requests), pause_s=0.1)
    loop, connections = asyncio.get_running_loop(), list[LoadConnection]()
    async with asyncio.timeout(60):
        for number in range(len(requests)):
            connections.append(LoadConnection(load, number))
            await loop.create_connection(partial(return_connection, connections[-1]), "127.0.0.1", port)
            await asyncio.sleep(0.1 / len(requests))
        await asyncio.gather(*(connection.done for connection in connections))
    return load


async def measure_flood(quick: bool, directory: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """The p99 latency of 49 tenants while another one floods from a separate process, and without that."""
    backends = [ChildProcess("-m", "bench.parts", "worker") for _ in range(2)]
    path, requests = write_installation(directory / "flood", 50, backends, requests=50.0, burst=50.0)
    gateway = HostingProcess(path)
    p99_ms: dict[str, list[float]] = {"no flood": [], "20 times its quota": [], "all it can": []}
    # The number of connections, and the pause in seconds between an answer and the next request.
    floods = {"20 times its quota": (20, 0.02), "all it can": (32, 0.0)}
    try:
        await wait_until_listening(gateway.port)
        for turn in range(3 if quick else 12):
            for kind, values in p99_ms.items():
                flooder = None
                if kind in floods:
                    connections, pause = floods[kind]
                    flooder = ChildProcess("-m", "bench.parts", "flood", str(gateway.port), requests[0].hex(),
                                  str(connections), str(pause))  # fmt: skip
                load = await steady_load(gateway.port, requests[1:])
                if flooder is not None:
                    flooder.stop()
                if load.refused > 0.01 * len(load.latencies_s):
                    raise AssertionError(f"{load.refused} requests of others were not served during: {kind}")
                if turn:  # the first turn is a warm-up
                    values.append(quantile(load.latencies_s, 0.99) * 1e3)
    finally:
        for process in (gateway.child, *backends):
            process.stop()
    figures = {f"p99 of the 49 others, {kind}": summarize(values, "ms") for kind, values in p99_ms.items()}
    without_flood = p99_ms.pop("no flood")
    return figures, {
        f"p99 beside a flood of {kind} over without": statistics.median(
            x / y for x, y in zip(values, without_flood, strict=True)
        )
        for kind, values in p99_ms.items()
    }


async def measure_commit_delay(quick: bool, directory: Path) -> dict[str, Any]:
    """The delay from a commit of a tenant's new host name until a gateway with 50 tenants serves it."""
    backends = [ChildProcess("-m", "bench.parts", "worker")]
    path, requests = write_installation(directory / "effect", 50, backends)
    store, gateway, delays_s = SqliteStore(directory / "effect" / "desired.db"), HostingProcess(path), []
    try:
        await wait_until_listening(gateway.port)
        stored = store.get("t7")
        assert stored is not None
        revision = stored.revision
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        for turn in range(5 if quick else 20):
            host = f"new{turn}.example"
            tenant = msgspec.structs.replace(stored.tenant, hosts=[host])
            committed_at = time.perf_counter()
            revision = store.commit(Change(name="t7", expected=revision, tenant=tenant, uid="u7", at=0.0,
                                           who="", origin="", action=""))  # fmt: skip
            while True:
                writer.write(requests[7].replace(b"t7.example", host.encode()))
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
                if b" 421 " not in head[:20]:
                    break
                await asyncio.sleep(0.002)
            delays_s.append(time.perf_counter() - committed_at)
        writer.close()
    finally:
        gateway.child.stop()
        backends[0].stop()
        store.close()
    return {"from a commit to its effect, 50 tenants": summarize(delays_s, "s")}


async def measure_etcd_commit_delay(quick: bool, directory: Path) -> dict[str, Any]:
    """The delay from such a commit until three gateways serve it, with the stand-in for etcd as the store."""
    from ivymux.desired.copying import restore_etcd
    from ivymux.desired.etcd.client import Access
    from ivymux.desired.etcd.store import EtcdStore
    from standins.etcd import etcd_server

    backends = [ChildProcess("-m", "bench.parts", "worker")]
    installation = directory / "etcd"
    _, requests = write_installation(installation, 50, backends)
    gateways, delays_s, startups_s = list[HostingProcess](), list[float](), list[float]()
    with etcd_server() as server:
        store = EtcdStore(Access((server.endpoint_url,)))
        await asyncio.to_thread(restore_etcd, installation / "desired.db", store)
        try:
            for number in range(3):
                settings_path = installation / f"door{number}.toml"
                settings_path.write_text(
                    f'listen = "127.0.0.1:{free_port()}"\nname = "d{number}"\n'
                    f'[etcd]\nendpoints = ["{server.endpoint_url}"]\ncache = "cache{number}"\n'
                )
                started_at = time.perf_counter()
                gateways.append(HostingProcess(settings_path))
                await wait_until_listening(gateways[-1].port)
                startups_s.append(time.perf_counter() - started_at)
            stored = await asyncio.to_thread(store.get, "t7")
            assert stored is not None
            revision = stored.revision
            for turn in range(5 if quick else 20):
                host = f"new{turn}.example"
                tenant = msgspec.structs.replace(stored.tenant, hosts=[host])
                change = Change(name="t7", expected=revision, tenant=tenant, uid="u7", at=0.0, who="",
                                origin="", action="")  # fmt: skip
                started_at = time.perf_counter()
                revision = await asyncio.to_thread(store.commit, change)
                for gateway in gateways:
                    data = requests[7].replace(b"t7.example", host.encode())
                    while await status_of(gateway.port, data) == 421:
                        await asyncio.sleep(0.002)
                delays_s.append(time.perf_counter() - started_at)
        finally:
            store.close()
            for process in (*(gateway.child for gateway in gateways), *backends):
                process.stop()
    return {
        "from a commit to its effect at 3 front doors by etcd, 50 tenants": summarize(delays_s, "s"),
        "50 tenants: start by etcd": summarize(startups_s, "s"),
    }


async def status_of(port: int, request: bytes) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1])


async def main() -> None:
    args = parse_arguments("tenants")
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        figures = await measure_sizes(args.quick, directory)
        cost_figures, ratios = await measure_cpu_costs(args.quick, directory)
        flood_figures, flood_ratios = await measure_flood(args.quick, directory)
        figures |= (
            cost_figures
            | flood_figures
            | await measure_commit_delay(args.quick, directory)
            | await measure_etcd_commit_delay(args.quick, directory)
        )
        ratios |= flood_ratios
    write_report(
        args, "one operation, one customer each; 4 and 2 workers that answer at once", figures, ratios
    )


if __name__ == "__main__":
    uvloop.run(main())
