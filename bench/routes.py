"""Routes from an API description: CPU per request next to a minimal proxy, matching, loading, reloading.

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
HEADERS = [(b"user-agent", b"bench"), (b"accept", b"*/*")]
CALLER_KEYS = [f"iv_bench-key-{n:04d}" for n in range(CUSTOMERS)]


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


# --- the gateways ------------------------------------------------------------------------------------


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


def write_site(directory: Path, backends: list[ChildProcess], port: int, document: bytes) -> Path:
    """Writes the site file and the description of a gateway of `ivymux serve`; returns the site file."""
    (directory / "api.json").write_bytes(document)
    lines = [f'listen = "127.0.0.1:{port}"', '[description]\nfile = "api.json"\nwatch = 0',
             "[plans.p]\nrate = 10000.0\nburst = 20000"]  # fmt: skip
    lines += [f'[[callers.keys]]\ncustomer = "c{n}"\nplan = "p"\nhash = "{hash_key(key.encode())}"'
              for n, key in enumerate(CALLER_KEYS)]  # fmt: skip
    lines += [
        f'[[workers]]\nname = "w{n}"\naddress = "{backend.address}"' for n, backend in enumerate(backends)
    ]
    path = directory / "site.toml"
    path.write_text("\n".join(lines))
    return path


def standalone_requests() -> list[bytes]:
    return [
        b"GET /meetings/%d HTTP/1.1\r\nHost: h\r\nX-API-Key: %s\r\n\r\n" % (n, key.encode())
        for n, key in enumerate(CALLER_KEYS)
    ]


def write_platform_config(
    directory: Path, backends: list[ChildProcess], counter: ChildProcess, port: int
) -> Path:
    """Writes the configuration file of a platform gateway and returns it."""
    hosts = [
        {"host": f"s-{n:08x}", "dial": backend.address, "site": "a", "class": "m", "block": 0,
         "health": "Ready", "share": 1.0, "born_ms": 0}
        for n, backend in enumerate(backends)
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
    path = directory / "config.json"
    path.write_text(json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "1",
        "counter": counter.address, "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": hosts}, "settings": settings,
    }))  # fmt: skip
    return path


class PlatformLoad(Load):
    """Requests to the platform gateway, each with its own id."""

    def __init__(self, count: int) -> None:
        super().__init__([b""], len(ANSWER_BODY), count)
        self.requests = self  # type: ignore[assignment]
        self.request_number = 0

    def __len__(self) -> int:
        return 1 << 60

    def __getitem__(self, request_index: int) -> bytes:
        self.request_number += 1
        return (
            b"GET /meetings?customer=%016x HTTP/1.1\r\nHost: h\r\nRequest-Id: %016x\r\n"
            b"Request-Class: meetings\r\nX-Tier: p\r\nRequest-Timeout: 9000m\r\n"
            b"X-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
        ) % (request_index % CUSTOMERS, self.request_number)


async def cpu_per_request_us(gateway: ChildProcess, load: Load, port: int) -> float:
    """Runs the load; returns the gateway's CPU time per request in microseconds."""
    count = load.remaining
    cpu_before = gateway.cpu_seconds()
    await load.run(port, CONNECTIONS)
    return (gateway.cpu_seconds() - cpu_before) / count * 1e6


async def measure_requests(quick: bool, directory: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """CPU per request of a minimal proxy and of each gateway, in alternate rounds."""
    count, runs = (2_000, 11) if quick else (5_000, 21)  # short alternate rounds, as the machine is shared
    backends = [ChildProcess("-m", "bench.parts", "worker") for _ in range(BACKENDS)]
    minimal_proxy = ChildProcess("-m", "bench.parts", "floor", backends[0].address)
    counter = ChildProcess("-m", "bench.parts", "tally")
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    standalone_port, platform_port, large_port = free_port(), free_port(), free_port()
    (directory / "many").mkdir()
    config = env | {"NODE_CONFIG": str(write_platform_config(directory, backends, counter, platform_port))}
    small_site = write_site(directory, backends, standalone_port, json.dumps(small_description()).encode())
    large_site = write_site(directory / "many", backends, large_port, large_description_with_small(1200))
    gateways = {
        "floor": (minimal_proxy, minimal_proxy.port),
        "platform": (ChildProcess("-m", "ivymux", env=config, prints_port=False), platform_port),
        "standalone": (
            ChildProcess("-m", "ivymux", "serve", str(small_site), env=env, prints_port=False),
            standalone_port),
        "standalone, 1200 operations": (
            ChildProcess("-m", "ivymux", "serve", str(large_site), env=env, prints_port=False), large_port),
    }  # fmt: skip
    try:
        for _, port in gateways.values():
            await wait_until_listening(port)
        cpu_us: dict[str, list[float]] = {name: [] for name in gateways}
        for run in range(runs + 1):
            for name, (process, port) in gateways.items():
                if name == "platform":
                    load: Load = PlatformLoad(count)
                else:
                    load = Load(standalone_requests(), len(ANSWER_BODY), count)
                us = await cpu_per_request_us(process, load, port)
                if run:  # the first run is a warm-up
                    cpu_us[name].append(us)
        peak_mb = gateways["standalone, 1200 operations"][0].peak_mb()
    finally:
        for process in [process for process, _ in gateways.values()] + backends + [counter]:
            process.stop()
    figures = {f"CPU for each request, {name}": summarize(values, "us") for name, values in cpu_us.items()}
    figures["peak memory, standalone, 1200 operations"] = summarize([peak_mb], "MB")
    ratios_to_floor = {name: sorted(a / b for a, b in zip(values, cpu_us["floor"], strict=True))
                       for name, values in cpu_us.items()}  # fmt: skip
    ratios = {f"{name} over the floor": values[len(values) // 2] for name, values in ratios_to_floor.items()}
    ratios_to_platform = sorted(a / b for a, b in zip(cpu_us["standalone"], cpu_us["platform"], strict=True))
    ratios["standalone over platform"] = ratios_to_platform[len(ratios_to_platform) // 2]
    return figures, ratios


def large_description_with_small(operations: int) -> bytes:
    document = large_description(operations)
    document["paths"].update(small_description()["paths"])
    return json.dumps(document).encode()


# --- matching and loading ----------------------------------------------------------------------------


def measure_matching(quick: bool) -> tuple[dict[str, Any], dict[str, float]]:
    """The time to match a target, and to decide all that depends on the route, by number of operations."""
    figures, medians = {}, {}
    for size in (1_200, 12_000):
        data = large_description_text(size)
        compiled = compile_description("api.json", lambda _, data=data: data)  # type: ignore[misc]
        operations = compiled.operations
        router = Router.from_operations(operations)
        targets = [
            (operation, re.sub(r"{[^}]*}", "ab12", operation.path).encode()) for operation in operations
        ]
        for operation, target in targets:
            assert router.match(operation.method, target)[0].operation is operation
        durations_us = []
        for _ in range(15 if quick else 60):
            started_at = time.perf_counter()
            for operation, target in targets:
                router.match(operation.method, target)
            durations_us.append((time.perf_counter() - started_at) / len(targets) * 1e6)
        figures[f"match, {size} operations"] = summarize(durations_us, "us")
        table = Table(compiled, ClassTable(0.0, Scope.ALL))
        for _ in table.build():
            pass
        table.assign_class_numbers()
        durations_us = []
        for _ in range(15 if quick else 60):
            started_at = time.perf_counter()
            for operation, target in targets:
                table.decide(operation.method, target, HEADERS)
            durations_us.append((time.perf_counter() - started_at) / len(targets) * 1e6)
        figures[f"all that is decided of a route, {size} operations"] = summarize(durations_us, "us")
        medians[size] = figures[f"match, {size} operations"]["median"]
    return figures, {"match at 12000 over 1200": medians[12_000] / medians[1_200]}


def load_in_new_process(path: Path, cache: Path) -> tuple[float, float]:
    """Loads a description in a new process; returns the seconds that it took and the peak memory in MB."""
    code = (
        "import asyncio, resource, sys, time; from pathlib import Path\n"
        "from ivymux.service.compiler import load_or_compile, Options\n"
        "began = time.perf_counter()\n"
        "made, _ = asyncio.run(load_or_compile(Path(sys.argv[1]), Options(), Path(sys.argv[2])))\n"
        "assert len(made.operations) >= 1200\n"
        "who = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)\n"
        "peak = max(resource.getrusage(w).ru_maxrss for w in who)\n"
        "print(time.perf_counter() - began, peak / 1024)\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", code, str(path), str(cache)], capture_output=True, text=True, check=True
    )
    seconds, peak = map(float, process.stdout.split())
    return seconds, peak


def measure_loading(quick: bool, directory: Path) -> dict[str, Any]:
    """The time and the peak memory to load a large description, compiled and from the cache."""
    path = directory / "large.json"
    path.write_bytes(large_description_text(1_200, 10_500))
    uncached_s, cached_s, peaks_mb = [], [], []
    for run in range(2 if quick else 5):
        cache = directory / f"cache{run}"
        seconds, peak_mb = load_in_new_process(path, cache)
        uncached_s.append(seconds)
        peaks_mb.append(peak_mb)
        cached_s.append(load_in_new_process(path, cache)[0])
    return {
        "size of the large description": summarize([path.stat().st_size / 1e6], "MB"),
        "load, 1200 operations": summarize(uncached_s, "s"),
        "load from the cache": summarize(cached_s, "s"),
        "peak memory of the compiler": summarize(peaks_mb, "MB"),
    }


async def measure_latency_during_load(
    quick: bool, directory: Path
) -> tuple[dict[str, Any], dict[str, float]]:
    """The p99 latency at a constant request rate, while a large description is loaded and otherwise."""
    backend = ChildProcess("-m", "bench.parts", "worker")
    port = free_port()
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    path = write_site(directory, [backend], port, json.dumps(small_description()).encode())
    gateway = ChildProcess("-m", "ivymux", "serve", str(path), env=env, prints_port=False)
    document = json.loads(large_description_text(1_200, 10_500))
    steady_ms, loading_ms = [], []
    try:
        await wait_until_listening(port)
        for run in range(2 if quick else 5):
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            await load.run(port, 8)
            steady_ms.append(quantile(load.latencies_s, 0.99) * 1e3)
            document["info"]["version"] = str(run)
            document["paths"].update(small_description()["paths"])
            (directory / "api.json").write_text(json.dumps(document))
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            gateway.process.send_signal(signal.SIGHUP)
            await load.run(port, 8)
            loading_ms.append(quantile(load.latencies_s, 0.99) * 1e3)
    finally:
        gateway.stop()
        backend.stop()
    differences_ms = sorted(a - b for a, b in zip(loading_ms, steady_ms, strict=True))
    figures = {
        "p99 at a steady pace": summarize(steady_ms, "ms"),
        "p99 while a large description comes in": summarize(loading_ms, "ms"),
        "p99 more while it does": summarize(differences_ms, "ms"),
    }
    return figures, {
        "p99 while loading over quiet": loading_ms[len(loading_ms) // 2] / steady_ms[len(steady_ms) // 2]
    }


async def main() -> None:
    args = parse_arguments("routes")
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        (directory / "site").mkdir()
        (directory / "on").mkdir()
        figures, ratios = await measure_requests(args.quick, directory / "site")
        for more_figures, more_ratios in (
            measure_matching(args.quick),
            await measure_latency_during_load(args.quick, directory / "on"),
        ):
            figures |= more_figures
            ratios |= more_ratios
        figures |= measure_loading(args.quick, directory)
    workload = (
        f"{CONNECTIONS} connections, {CUSTOMERS} customers, {BACKENDS} workers; GET with a small answer"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
