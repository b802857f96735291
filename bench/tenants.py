"""Many tenants: memory and start, what a refusal costs, one tenant alone, a flood, change to effect.

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


def installation(
    folder: Path, tenants: int, workers: list[ChildProcess], **limits: float
) -> tuple[Path, list[bytes]]:
    """Files of an installation, and one request of each tenant."""
    folder.mkdir()
    store, requests = SqliteStore(folder / "desired.db"), []
    plans = {"p": PlanPart(rate=10_000.0, burst=20_000.0)}  # as the front door of one tenant has
    routes = json.dumps(small_description()).encode()
    options = site_of(Tenant(plans=plans)).options
    compiled = msgspec.msgpack.encode(compile_description("a", {"a": routes}.__getitem__, options))
    listed = [Worker(f"w{n}", "127.0.0.1", w.port) for n, w in enumerate(workers)]
    parsed = msgspec.msgpack.encode(Inventory(tuple(listed)))
    blobs = {digest(data): data for data in (routes, compiled, parsed)}
    for number in range(tenants):
        key_id, key, kept = secret.create_key(secret.CALLER_PREFIX, 0.0)
        made = Tenant(
            hosts=[f"t{number}.example"], plans=plans, customers={"c": CustomerPart(plan="p")},
            keys={key_id: KeyEntry(salt=kept.salt, hash=kept.hash, made=0.0, customer="c")},
            routes=RoutesPart(main="a", files={"a": digest(routes)}, compiled=digest(compiled)),
            inventory=InventoryRef(digest=digest(parsed), parsed=digest(parsed)),
            limits=TenantLimits(requests=limits.get("requests", 1e6), burst=limits.get("burst", 1e6)),
        )  # fmt: skip
        store.commit(Change(name=f"t{number}", expected=0, tenant=made, uid=f"u{number}", at=0.0, who="",
                            origin="", action="", blobs=blobs if not number else {}))  # fmt: skip
        requests.append(
            b"GET /meetings/1 HTTP/1.1\r\nHost: t%d.example\r\nX-API-Key: %s\r\n\r\n" % (number, key.encode())
        )
    store.close()
    path = folder / "hosting.toml"
    path.write_text(f'store = "desired.db"\nlisten = "127.0.0.1:{free_port()}"\n')
    return path, requests


class Door:
    """`ivymux host` in a process of its own."""

    def __init__(self, path: Path) -> None:
        self.port = int(path.read_text().split(":")[1].split('"')[0])
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        self.child = ChildProcess("-m", "ivymux", "host", str(path), env=env, prints_port=False)


async def sizes(quick: bool, folder: Path) -> dict[str, Any]:
    """Memory and start for so many tenants, and the CPU that they take asleep."""
    figures: dict[str, Any] = {}
    # Asleep: nobody asks; 950 of 1,000 of a large installation are.
    for count in (1, 50) if quick else (1, 50, 1000):
        path, _ = installation(folder / str(count), count, [])
        starts, memory, idle = [], [], []
        for _ in range(1 if quick else 3):
            began = time.perf_counter()
            door = Door(path)
            await wait_until_listening(door.port)
            starts.append(time.perf_counter() - began)
            memory.append(door.child.peak_mb())
            await asyncio.sleep(0.5)
            before = door.child.cpu_seconds()
            await asyncio.sleep(1.0)
            idle.append((door.child.cpu_seconds() - before) * 1e3)
            door.child.stop()
        figures[f"{count} tenants: start"] = summarize(starts, "s")
        figures[f"{count} tenants: memory"] = summarize(memory, "MB")
        figures[f"{count} tenants asleep: CPU in a second"] = summarize(idle, "ms")
    return figures


async def cpu_for_each(child: ChildProcess, port: int, requests: list[bytes], count: int) -> float:
    """Microseconds of CPU for each request; also of refused ones."""
    load = Load(requests, 0, count)
    before = child.cpu_seconds()
    loop = asyncio.get_running_loop()
    made = [
        await loop.create_connection(lambda n=n: LoadConnection(load, n), "127.0.0.1", port)  # type: ignore[misc]
        for n in range(16)
    ]
    async with asyncio.timeout(60):
        await asyncio.gather(*(loader.done for _, loader in made))
    return (child.cpu_seconds() - before) / len(load.latencies_s) * 1e6


async def cpu_costs(quick: bool, folder: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """A served request, one refused early, and one of a front door of one tenant."""
    workers = [ChildProcess("-m", "bench.parts", "worker") for _ in range(4)]
    one, requests = installation(folder / "one", 1, workers)
    low, refused_requests = installation(folder / "low", 1, workers, requests=1.0, burst=1.0)
    (folder / "alone").mkdir()
    alone = write_site(
        folder / "alone", workers, port := free_port(), json.dumps(small_description()).encode()
    )
    costs: dict[str, list[float]] = {"served": [], "refused": [], "single": []}
    count = 1_000 if quick else 3_000
    rng = random.Random(1)
    try:
        # Two processes of the same program differ by up to a tenth, by where their memory came to lie, for
        # as long as they live: new ones for each round.
        for _ in range(3 if quick else 11):
            first, second = Door(one), Door(low)
            third = ChildProcess("-m", "ivymux", "serve", str(alone), prints_port=False)
            try:
                for at in (first.port, second.port, port):
                    await wait_until_listening(at)
                doors = {
                    "served": (first.child, first.port, requests),
                    "refused": (second.child, second.port, refused_requests),
                    "single": (third, port, standalone_requests()[:1]),
                }
                order, taken = list(doors), {name: list[float]() for name in doors}
                for turn in range(2 if quick else 5):
                    rng.shuffle(order)  # who comes first after a pause is dearer by a tenth
                    for name in order:
                        spent = await cpu_for_each(*doors[name], count)
                        if turn:  # the first one warms up
                            taken[name].append(spent)
                for name, kept in costs.items():
                    kept.append(statistics.median(taken[name]))
            finally:
                for child in (first.child, second.child, third):
                    child.stop()
    finally:
        for child in workers:
            child.stop()

    def over(one: list[float], other: list[float]) -> float:
        return statistics.median(x / y for x, y in zip(one, other, strict=True))

    return {
        "CPU of a served request": summarize(costs["served"], "us"),
        "CPU of one refused beyond the tenant's limits": summarize(costs["refused"], "us"),
        "CPU of one at a front door of one tenant": summarize(costs["single"], "us"),
    }, {
        "refused over served": over(costs["refused"], costs["served"]),
        "hosted over single": over(costs["served"], costs["single"]),
    }


def itself(loader: LoadConnection) -> LoadConnection:
    return loader


async def steady(port: int, requests: list[bytes]) -> Load:
    """Each tenant asks ten times a second, none at the same moment as another."""
    load = Load(requests, 0, 20 * len(requests), pause_s=0.1)
    loop, made = asyncio.get_running_loop(), list[LoadConnection]()
    async with asyncio.timeout(60):
        for number in range(len(requests)):
            made.append(LoadConnection(load, number))
            await loop.create_connection(partial(itself, made[-1]), "127.0.0.1", port)
            await asyncio.sleep(0.1 / len(requests))
        await asyncio.gather(*(loader.done for loader in made))
    return load


async def flood(quick: bool, folder: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """The others' p99 while one of 50 tenants floods from a process of its own, beside that without it."""
    workers = [ChildProcess("-m", "bench.parts", "worker") for _ in range(2)]
    path, requests = installation(folder / "flood", 50, workers, requests=50.0, burst=50.0)
    door = Door(path)
    times: dict[str, list[float]] = {"no flood": [], "20 times its quota": [], "all it can": []}
    # Connections and the seconds between a connection's answer and its next request.
    floods = {"20 times its quota": (20, 0.02), "all it can": (32, 0.0)}
    try:
        await wait_until_listening(door.port)
        for turn in range(3 if quick else 12):
            for kind, kept in times.items():
                child = None
                if kind in floods:
                    connections, pause = floods[kind]
                    child = ChildProcess("-m", "bench.parts", "flood", str(door.port), requests[0].hex(),
                                  str(connections), str(pause))  # fmt: skip
                load = await steady(door.port, requests[1:])
                if child is not None:
                    child.stop()
                if load.refused > 0.01 * len(load.latencies_s):
                    raise AssertionError(f"{load.refused} requests of others were not served beside {kind}")
                if turn:  # the first one warms up
                    kept.append(quantile(load.latencies_s, 0.99) * 1e3)
    finally:
        for process in (door.child, *workers):
            process.stop()
    figures = {f"p99 of the 49 others, {kind}": summarize(kept, "ms") for kind, kept in times.items()}
    alone = times.pop("no flood")
    return figures, {
        f"p99 beside a flood of {kind} over without": statistics.median(
            x / y for x, y in zip(kept, alone, strict=True)
        )
        for kind, kept in times.items()
    }


async def effect(quick: bool, folder: Path) -> dict[str, Any]:
    """From a commit until it is served: a tenant's new host name at a front door of 50."""
    workers = [ChildProcess("-m", "bench.parts", "worker")]
    path, requests = installation(folder / "effect", 50, workers)
    store, door, times = SqliteStore(folder / "effect" / "desired.db"), Door(path), []
    try:
        await wait_until_listening(door.port)
        stored = store.get("t7")
        assert stored is not None
        revision = stored.revision
        reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
        for turn in range(5 if quick else 20):
            host = f"new{turn}.example"
            made = msgspec.structs.replace(stored.tenant, hosts=[host])
            began = time.perf_counter()
            revision = store.commit(Change(name="t7", expected=revision, tenant=made, uid="u7", at=0.0,
                                           who="", origin="", action=""))  # fmt: skip
            while True:
                writer.write(requests[7].replace(b"t7.example", host.encode()))
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
                if b" 421 " not in head[:20]:
                    break
                await asyncio.sleep(0.002)
            times.append(time.perf_counter() - began)
        writer.close()
    finally:
        door.child.stop()
        workers[0].stop()
        store.close()
    return {"from a commit to its effect, 50 tenants": summarize(times, "s")}


async def effect_by_etcd(quick: bool, folder: Path) -> dict[str, Any]:
    """The same for three front doors that follow etcd (the stand-in): until the last of them serves it."""
    from ivymux.desired.copying import restore_etcd
    from ivymux.desired.etcd.client import Access
    from ivymux.desired.etcd.store import EtcdStore
    from standins.etcd import serving

    workers = [ChildProcess("-m", "bench.parts", "worker")]
    place = folder / "etcd"
    _, requests = installation(place, 50, workers)
    doors, times, starts = list[Door](), list[float](), list[float]()
    with serving() as server:
        store = EtcdStore(Access((server.endpoint_url,)))
        await asyncio.to_thread(restore_etcd, place / "desired.db", store)
        try:
            for number in range(3):
                file = place / f"door{number}.toml"
                file.write_text(
                    f'listen = "127.0.0.1:{free_port()}"\nname = "d{number}"\n'
                    f'[etcd]\nendpoints = ["{server.endpoint_url}"]\ncache = "cache{number}"\n'
                )
                began = time.perf_counter()
                doors.append(Door(file))
                await wait_until_listening(doors[-1].port)
                starts.append(time.perf_counter() - began)
            stored = await asyncio.to_thread(store.get, "t7")
            assert stored is not None
            revision = stored.revision
            for turn in range(5 if quick else 20):
                host = f"new{turn}.example"
                made = msgspec.structs.replace(stored.tenant, hosts=[host])
                change = Change(name="t7", expected=revision, tenant=made, uid="u7", at=0.0, who="",
                                origin="", action="")  # fmt: skip
                began = time.perf_counter()
                revision = await asyncio.to_thread(store.commit, change)
                for door in doors:
                    data = requests[7].replace(b"t7.example", host.encode())
                    while await status_of(door.port, data) == 421:
                        await asyncio.sleep(0.002)
                times.append(time.perf_counter() - began)
        finally:
            store.close()
            for process in (*(door.child for door in doors), *workers):
                process.stop()
    return {
        "from a commit to its effect at 3 front doors by etcd, 50 tenants": summarize(times, "s"),
        "50 tenants: start by etcd": summarize(starts, "s"),
    }


async def status_of(port: int, data: bytes) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1])


async def main() -> None:
    args = parse_arguments("tenants")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        figures = await sizes(args.quick, folder)
        more, ratios = await cpu_costs(args.quick, folder)
        beside, also = await flood(args.quick, folder)
        figures |= more | beside | await effect(args.quick, folder) | await effect_by_etcd(args.quick, folder)
        ratios |= also
    write_report(
        args, "one operation, one customer each; 4 and 2 workers that answer at once", figures, ratios
    )


if __name__ == "__main__":
    uvloop.run(main())
