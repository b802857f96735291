"""A door of the system beside the platform's: CPU for each request, in turn; start and memory.

Two processes of one program differ by up to a fifth as long as they live, so each round has fresh ones, and
the ratio is that of the median round.

`python -m bench.system [--quick] [--json FILE|-]`
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx
import uvloop
import yaml

from bench.common import ChildProcess, parse_arguments, summarize, write_report
from bench.parts import ANSWER
from bench.routes import (
    CONNECTIONS,
    CUSTOMERS,
    WORKERS,
    PlatformLoad,
    cpu_for_each,
    free_port,
    listening,
    platform_config,
)  # fmt: skip

CORES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
TENANTS = 8
# What the rule on quotas leaves, in requests: a call to the holder for each fourth request or so, as doors of
# the deployments make; without any there is one for each request, which is measured beside.
SLACK = 8.0


def document() -> dict[str, Any]:
    return {
        "config_version": 1,
        "route_table": [
            {
                "name": "read", "host_name": "h.example", "path_prefix": "/meetings/", "deadline": "9s",
                "route_type": "idempotent", "target": "2s", "service_name": "archive", "max_attempts": 2,
            }
        ],
        "service_table": [{"name": "archive"}],
        "tenant_table": [
            {"name": f"t{n}", "api_keys": [f"key-{n}"], "rate_per_s": 10_000, "burst_size": 20_000}
            for n in range(TENANTS)
        ],
    }  # fmt: skip


class SystemLoad(PlatformLoad):
    def __getitem__(self, turn: int) -> bytes:
        self.number += 1
        return (
            b"GET /meetings/%d HTTP/1.1\r\nHost: h.example\r\nTry-Id: %016x\r\nTime-Remaining: 9000\r\n"
            b"Authorization: Bearer key-%d\r\n\r\n"
        ) % (turn % CUSTOMERS, self.number, turn % TENANTS)


class System:
    """Three core machines and a door on loopback addresses."""

    def __init__(self, folder: Path, configuration: dict[str, Any] | None = None) -> None:
        self.folder, self.children = folder, list[ChildProcess]()
        self.configuration = configuration or document()
        self.descriptors = 1300  # of a process
        self.slack = SLACK
        self.seq = itertools.count(1)
        self.control, self.front, self.ready, self.inner = free_port(), free_port(), free_port(), free_port()

    def start(self, ip: str, role: str) -> ChildProcess:
        listen = {"control_addr": f"{ip}:{self.control}"}
        if role == "proxy":
            listen = {"front_addr": f"{ip}:{self.front}", "ready_addr": f"{ip}:{self.ready}"}
        path = self.folder / f"{role}-{ip}.yaml"
        path.write_text(yaml.safe_dump({
            "self_entity": {"node_name": ip, "ip_address": ip, "zone_name": "a", "initial_start": True,
                            "data_path": str(self.folder / ip),
                            "limits": {"memory_mb": 512, "fd_limit": self.descriptors}},
            "network_table": {"listen_addrs": listen, "inner_port_range": [self.inner, self.inner + 3],
                              "seed_nodes": [f"{core}:{self.control}" for core in CORES]},
            "terms_table": {"timing_bounds": {"quota_slack": self.slack}},
        }))  # fmt: skip
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        made = ChildProcess("-m", "ivymux", role, "--settings", str(path), env=env, prints_port=False)
        self.children.append(made)
        return made

    async def take(self, workers: list[ChildProcess]) -> None:
        """A configuration and the backends, once the core takes them."""
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as http:
            calls: list[tuple[str, Any]] = [("/configuration", self.configuration)]
            calls += [
                (f"/instances/w{n}", {"service_name": "archive", "address": w.address, "zone_name": "a",
                                      "capacity": 20, "oper_state": "in_service", "call_seq": next(self.seq)})
                for n, w in enumerate(workers)
            ]  # fmt: skip
            async with asyncio.timeout(30):
                for path, body in calls:
                    while True:
                        try:
                            url = f"http://{CORES[0]}:{self.control}{path}"
                            if (await http.put(url, content=json.dumps(body))).status_code == 200:
                                break
                        except httpx.HTTPError:
                            pass
                        await asyncio.sleep(0.02)

    async def beat(self, workers: list[ChildProcess]) -> None:
        while True:
            await self.take(workers)
            await asyncio.sleep(1)

    async def serves(self, ip: str = "127.0.0.1") -> None:
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as http, asyncio.timeout(30):
            while True:
                try:
                    if (await http.get(f"http://{ip}:{self.ready}/readiness")).status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await asyncio.sleep(0.005)


class Round:
    """Fresh doors of both kinds; microseconds of CPU for each request, by kind, a figure a run."""

    def __init__(self, system: System, platform: dict[str, str], port: int) -> None:
        self.system, self.env, self.port = system, platform, port
        self.started = 0.0

    async def measure(self, count: int, runs: int) -> dict[str, list[float]]:
        platform = ChildProcess("-m", "ivymux", prints_port=False, env=self.env)
        began = time.perf_counter()
        door = self.system.start("127.0.0.1", "proxy")
        try:
            await self.system.serves()
            self.started = time.perf_counter() - began
            await listening(self.port)
            spent: dict[str, list[float]] = {"platform": [], "system": []}
            for run in range(runs + 1):
                of_platform = await cpu_for_each(platform, PlatformLoad(count), self.port)
                of_system = await cpu_for_each(door, SystemLoad(count), self.system.front)
                if run:  # the first warms up
                    spent["platform"].append(of_platform)
                    spent["system"].append(of_system)
            before, since = door.cpu_seconds(), time.perf_counter()
            await asyncio.sleep(1)
            self.idle = 100 * (door.cpu_seconds() - before) / (time.perf_counter() - since)
            self.peak_mb = door.peak_mb()
            return spent
        finally:
            door.stop()
            platform.stop()
            self.system.children.remove(door)


def middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


async def measure(quick: bool, folder: Path) -> tuple[dict[str, Any], dict[str, float]]:
    count, runs, rounds = (1_000, 3, 5) if quick else (3_000, 5, 11)
    workers = [ChildProcess("-m", "bench.parts", "worker") for _ in range(WORKERS)]
    sealed = [ChildProcess("-m", "bench.parts", "sealed") for _ in range(WORKERS)]
    tally = ChildProcess("-m", "bench.parts", "tally")
    system, port = System(folder), free_port()
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    env |= {"NODE_CONFIG": str(platform_config(folder, workers, tally, port))}
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    try:
        for ip in CORES:
            system.start(ip, "config_store")
            system.start(ip, "registry")
        await system.take(sealed)
        beating = asyncio.get_running_loop().create_task(system.beat(sealed))
        made = Round(system, env, port)
        for slack, name in ((SLACK, ""), (0.0, ", quotas without slack")):
            system.slack = slack
            spent: dict[str, list[float]] = {"platform": [], "system": []}
            pairs, idle, peak, started = [], list[float](), list[float](), list[float]()
            for _ in range(rounds):
                found = await made.measure(count, runs)
                for kind, values in found.items():
                    spent[kind].append(middle(values))
                pairs.append(spent["system"][-1] / spent["platform"][-1])
                idle.append(made.idle)
                peak.append(made.peak_mb)
                started.append(made.started)
            ratios[f"system over platform{name}"] = middle(pairs)
            figures[f"CPU for each request, system{name}"] = summarize(spent["system"], "us")
            if not name:
                figures["CPU for each request, platform"] = summarize(spent["platform"], "us")
                figures["idle CPU of a door"] = summarize(idle, "% of a core")
                figures["peak memory of a door"] = summarize(peak, "MB")
                figures["a door started, configuration in force"] = summarize(started, "s")
        figures["peak memory of a core process"] = summarize([c.peak_mb() for c in system.children], "MB")
        beating.cancel()
    finally:
        for child in (*workers, *sealed, tally, *system.children):
            child.stop()
    return figures, ratios


async def main() -> None:
    args = parse_arguments("system")
    with tempfile.TemporaryDirectory() as name:
        figures, ratios = await measure(args.quick, Path(name))
    workload = (
        f"{CONNECTIONS} connections, {TENANTS} tenants, {WORKERS} backends; GET with {len(ANSWER)} bytes"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
