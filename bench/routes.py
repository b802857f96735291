"""Routes by description: CPU for each request beside a bare pass-through, matching, loading, serving on.

`python -m bench.routes [--quick] [--json FILE|-]`
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from bench.common import ChildProcess, Load, parse_arguments, quantile, summarize, write_report
from bench.descriptions import large_description, large_description_text
from bench.parts import ANSWER_BODY
from ivymux.routes.classes import ClassTable
from ivymux.routes.description import compile_description
from ivymux.routes.matcher import Router
from ivymux.routes.table import Table
from ivymux.service.callers import hash_key
from orchidhill.interface import Scope

CONNECTIONS, CUSTOMERS, BACKENDS = 32, 200, 4
FIELDS = [(b"user-agent", b"bench"), (b"accept", b"*/*")]
KEYS = [f"iv_bench-key-{n:04d}" for n in range(CUSTOMERS)]


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def wait_until_listening(port: int) -> None:
    async with asyncio.timeout(30):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.02)


# --- the doors ---------------------------------------------------------------------------------------


def small_description() -> dict[str, Any]:
    return {
        "openapi": "3.0.3",
        "info": {"title": "small", "version": "1"},
        "paths": {
            "/meetings/{id}": {
                "parameters": [{"name": "id", "in": "path", "required": True, "schema": {"type": "string"}}],
                "get": {"responses": {"200": {"description": "x"}}},
            }
        },
    }


def write_site(folder: Path, workers: list[ChildProcess], port: int, document: bytes) -> Path:
    (folder / "api.json").write_bytes(document)
    lines = [f'listen = "127.0.0.1:{port}"', '[description]\nfile = "api.json"\nwatch = 0',
             "[plans.p]\nrate = 10000.0\nburst = 20000"]  # fmt: skip
    lines += [f'[[callers.keys]]\ncustomer = "c{n}"\nplan = "p"\nhash = "{hash_key(k.encode())}"'
              for n, k in enumerate(KEYS)]  # fmt: skip
    lines += [f'[[workers]]\nname = "w{n}"\naddress = "{w.address}"' for n, w in enumerate(workers)]
    path = folder / "site.toml"
    path.write_text("\n".join(lines))
    return path


def standalone_requests() -> list[bytes]:
    return [
        b"GET /meetings/%d HTTP/1.1\r\nHost: h\r\nX-API-Key: %s\r\n\r\n" % (n, key.encode())
        for n, key in enumerate(KEYS)
    ]


def write_platform_config(folder: Path, workers: list[ChildProcess], tally: ChildProcess, port: int) -> Path:
    known = [
        {"host": f"s-{n:08x}", "dial": w.address, "site": "a", "class": "m", "block": 0, "health": "Ready",
         "share": 1.0, "born_ms": 0}
        for n, w in enumerate(workers)
    ]  # fmt: skip
    settings = {
        "me": 0, "peers_total": 1, "az": 0, "zones": ["a"], "host_types": ["m"], "period_s": 0.002,
        "rules": {"answer_slack_s": 0.05, "drain_grace_s": 2.0, "cold_share": 0.2, "warm_up_s": 15.0,
                  "fall_multiple": 2.0, "fall_s": 2.0},
        "caps": {"max_attempts": 3, "second_copies": False, "cancel": True, "retry_after": True,
                 "max_retry_after_s": 1.0, "connect_timeout_s": 1.0, "conn_idle_s": 30.0},
        "extra": {"has_counter": True, "counter_price": 0.01, "counter_timeout_s": 0.25},
        "report": {"columns": []},
        "classes": [{"name": "meetings", "goal_time_s": 2.0, "deadline_s": 10.0, "effect": "safe",
                     "dedup_scope": "cell", "memory_span_s": 0.0, "worth": 1.0}],
        "tariffs": [{"name": "p", "pays": 1.0, "quota_rate": 10000.0, "peak_units": 20000.0}],
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "1",
        "counter": tally.address, "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": known}, "settings": settings,
    }))  # fmt: skip
    return path


class PlatformLoad(Load):
    """Each request has an id of its own there."""

    def __init__(self, count: int) -> None:
        super().__init__([b""], len(ANSWER_BODY), count)
        self.requests = self  # type: ignore[assignment]
        self.request_number = 0

    def __len__(self) -> int:
        return 1 << 60

    def __getitem__(self, turn: int) -> bytes:
        self.request_number += 1
        return (
            b"GET /meetings?customer=%016x HTTP/1.1\r\nHost: h\r\nRequest-Id: %016x\r\n"
            b"Request-Class: meetings\r\nX-Tier: p\r\nRequest-Timeout: 9000m\r\n"
            b"X-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
        ) % (turn % CUSTOMERS, self.request_number)


async def cpu_per_request_us(door: ChildProcess, load: Load, port: int) -> float:
    """Microseconds of CPU for each request."""
    count = load.remaining
    before = door.cpu_seconds()
    await load.run(port, CONNECTIONS)
    return (door.cpu_seconds() - before) / count * 1e6


async def requests(quick: bool, folder: Path) -> tuple[dict[str, Any], dict[str, float]]:
    count, runs = (2_000, 11) if quick else (5_000, 21)  # short rounds in turn: the machine is shared
    workers = [ChildProcess("-m", "bench.parts", "worker") for _ in range(BACKENDS)]
    floor = ChildProcess("-m", "bench.parts", "floor", workers[0].address)
    tally = ChildProcess("-m", "bench.parts", "tally")
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    own, theirs, many = free_port(), free_port(), free_port()
    (folder / "many").mkdir()
    config = env | {"NODE_CONFIG": str(write_platform_config(folder, workers, tally, theirs))}
    one = write_site(folder, workers, own, json.dumps(small_description()).encode())
    large_one = write_site(folder / "many", workers, many, with_small(1200))
    doors = {
        "floor": (floor, floor.port),
        "platform": (ChildProcess("-m", "ivymux", env=config, prints_port=False), theirs),
        "standalone": (ChildProcess("-m", "ivymux", "serve", str(one), env=env, prints_port=False), own),
        "standalone, 1200 operations": (
            ChildProcess("-m", "ivymux", "serve", str(large_one), env=env, prints_port=False), many),
    }  # fmt: skip
    try:
        for _, port in doors.values():
            await wait_until_listening(port)
        spent: dict[str, list[float]] = {name: [] for name in doors}
        for run in range(runs + 1):
            for name, (child, port) in doors.items():
                if name == "platform":
                    load: Load = PlatformLoad(count)
                else:
                    load = Load(standalone_requests(), len(ANSWER_BODY), count)
                found = await cpu_per_request_us(child, load, port)
                if run:  # the first warms up
                    spent[name].append(found)
        peak = doors["standalone, 1200 operations"][0].peak_mb()
    finally:
        for child in [c for c, _ in doors.values()] + workers + [tally]:
            child.stop()
    figures = {f"CPU for each request, {name}": summarize(values, "us") for name, values in spent.items()}
    figures["peak memory, standalone, 1200 operations"] = summarize([peak], "MB")
    pairs = {name: sorted(a / b for a, b in zip(values, spent["floor"], strict=True))
             for name, values in spent.items()}  # fmt: skip
    ratios = {f"{name} over the floor": values[len(values) // 2] for name, values in pairs.items()}
    beside = sorted(a / b for a, b in zip(spent["standalone"], spent["platform"], strict=True))
    ratios["standalone over platform"] = beside[len(beside) // 2]
    return figures, ratios


def with_small(operations: int) -> bytes:
    document = large_description(operations)
    document["paths"].update(small_description()["paths"])
    return json.dumps(document).encode()


# --- matching and loading ----------------------------------------------------------------------------


def matching(quick: bool) -> tuple[dict[str, Any], dict[str, float]]:
    figures, medians = {}, {}
    for size in (1_200, 12_000):
        data = large_description_text(size)
        compiled = compile_description("api.json", lambda _, data=data: data)  # type: ignore[misc]
        operations = compiled.operations
        router = Router.of(operations)
        targets = [(o, re.sub(r"{[^}]*}", "ab12", o.path).encode()) for o in operations]
        for operation, target in targets:
            assert router.match(operation.method, target)[0].operation is operation
        times = []
        for _ in range(15 if quick else 60):
            began = time.perf_counter()
            for operation, target in targets:
                router.match(operation.method, target)
            times.append((time.perf_counter() - began) / len(targets) * 1e6)
        figures[f"match, {size} operations"] = summarize(times, "us")
        table = Table(compiled, ClassTable(0.0, Scope.ALL))
        for _ in table.build():
            pass
        table.enter()
        times = []
        for _ in range(15 if quick else 60):
            began = time.perf_counter()
            for operation, target in targets:
                table.decide(operation.method, target, FIELDS)
            times.append((time.perf_counter() - began) / len(targets) * 1e6)
        figures[f"all that is decided of a route, {size} operations"] = summarize(times, "us")
        medians[size] = figures[f"match, {size} operations"]["median"]
    return figures, {"match at 12000 over 1200": medians[12_000] / medians[1_200]}


def start_alone(path: Path, cache: Path) -> tuple[float, float]:
    """Seconds until a description is there in a process of its own, and that process's peak memory in MB."""
    code = (
        "import asyncio, resource, sys, time; from pathlib import Path\n"
        "from ivymux.service.compiler import obtain, Options\n"
        "began = time.perf_counter()\n"
        "made, _ = asyncio.run(obtain(Path(sys.argv[1]), Options(), Path(sys.argv[2])))\n"
        "assert len(made.operations) >= 1200\n"
        "who = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)\n"
        "peak = max(resource.getrusage(w).ru_maxrss for w in who)\n"
        "print(time.perf_counter() - began, peak / 1024)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(path), str(cache)], capture_output=True, text=True, check=True
    )
    seconds, peak = map(float, done.stdout.split())
    return seconds, peak


def loading(quick: bool, folder: Path) -> dict[str, Any]:
    path = folder / "large.json"
    path.write_bytes(large_description_text(1_200, 10_500))
    first, second, peaks = [], [], []
    for run in range(2 if quick else 5):
        cache = folder / f"cache{run}"
        seconds, peak = start_alone(path, cache)
        first.append(seconds)
        peaks.append(peak)
        second.append(start_alone(path, cache)[0])
    return {
        "size of the large description": summarize([path.stat().st_size / 1e6], "MB"),
        "load, 1200 operations": summarize(first, "s"),
        "load from the cache": summarize(second, "s"),
        "peak memory of the compiler": summarize(peaks, "MB"),
    }


async def serving_on(quick: bool, folder: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """Latencies at a steady pace, with and without a large description on its way in."""
    worker = ChildProcess("-m", "bench.parts", "worker")
    port = free_port()
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    path = write_site(folder, [worker], port, json.dumps(small_description()).encode())
    door = ChildProcess("-m", "ivymux", "serve", str(path), env=env, prints_port=False)
    document = json.loads(large_description_text(1_200, 10_500))
    quiet, busy = [], []
    try:
        await wait_until_listening(port)
        for run in range(2 if quick else 5):
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            await load.run(port, 8)
            quiet.append(quantile(load.latencies_s, 0.99) * 1e3)
            document["info"]["version"] = str(run)
            document["paths"].update(small_description()["paths"])
            (folder / "api.json").write_text(json.dumps(document))
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            door.process.send_signal(signal.SIGHUP)
            await load.run(port, 8)
            busy.append(quantile(load.latencies_s, 0.99) * 1e3)
    finally:
        door.stop()
        worker.stop()
    more = sorted(b - q for b, q in zip(busy, quiet, strict=True))
    figures = {
        "p99 at a steady pace": summarize(quiet, "ms"),
        "p99 while a large description comes in": summarize(busy, "ms"),
        "p99 more while it does": summarize(more, "ms"),
    }
    return figures, {"p99 while loading over quiet": busy[len(busy) // 2] / quiet[len(quiet) // 2]}


async def main() -> None:
    args = parse_arguments("routes")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "site").mkdir()
        (folder / "on").mkdir()
        figures, ratios = await requests(args.quick, folder / "site")
        for more, others in (matching(args.quick), await serving_on(args.quick, folder / "on")):
            figures |= more
            ratios |= others
        figures |= loading(args.quick, folder)
    workload = (
        f"{CONNECTIONS} connections, {CUSTOMERS} customers, {BACKENDS} workers; GET with a small answer"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
