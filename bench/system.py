"""A proxy compared with the platform gateway: CPU per request, measured alternately; start-up and memory.

Two processes of the same program differ in CPU per request by up to a fifth, for as long as they run.  Each
round therefore starts new processes, and the reported ratio is that of the median round.

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
from bench.parts import ANSWER_BODY
from bench.routes import (
    BACKENDS,
    CONNECTIONS,
    CUSTOMERS,
    PlatformLoad,
    cpu_per_request_us,
    free_port,
    wait_until_listening,
    write_platform_config,
)  # fmt: skip

CORE_IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
TENANTS = 8
# The slack of the quota rule, in requests.  With it proxies call the holder of the counts about once in four
# requests, as in the deployments.  Without slack they call it for each request, which is measured too.
QUOTA_SLACK = 8.0


def routing_configuration() -> dict[str, Any]:
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
    """Requests to a proxy, each with its own try id."""

    def __getitem__(self, request_index: int) -> bytes:
        self.request_number += 1
        return (
            b"GET /meetings/%d HTTP/1.1\r\nHost: h.example\r\nTry-Id: %016x\r\nTime-Remaining: 9000\r\n"
            b"Authorization: Bearer key-%d\r\n\r\n"
        ) % (request_index % CUSTOMERS, self.request_number, request_index % TENANTS)


class LocalSystem:
    """Processes of three core machines and of proxies on loopback addresses."""

    def __init__(self, directory: Path, configuration: dict[str, Any] | None = None) -> None:
        self.directory, self.children = directory, list[ChildProcess]()
        self.configuration = configuration or routing_configuration()
        self.fd_limit = 1300  # file descriptors per process
        self.quota_slack = QUOTA_SLACK
        self.call_numbers = itertools.count(1)
        self.control_port, self.frontend_port, self.readiness_port, self.inner_port = (
            free_port(),
            free_port(),
            free_port(),
            free_port(),
        )

    def start(self, ip: str, role: str) -> ChildProcess:
        listen_addresses = {"control_addr": f"{ip}:{self.control_port}"}
        if role == "proxy":
            listen_addresses = {
                "front_addr": f"{ip}:{self.frontend_port}",
                "ready_addr": f"{ip}:{self.readiness_port}",
            }
        settings_path = self.directory / f"{role}-{ip}.yaml"
        settings_path.write_text(yaml.safe_dump({
            "self_entity": {"node_name": ip, "ip_address": ip, "zone_name": "a", "initial_start": True,
                            "data_path": str(self.directory / ip),
                            "limits": {"memory_mb": 512, "fd_limit": self.fd_limit}},
            "network_table": {"listen_addrs": listen_addresses,
                              "inner_port_range": [self.inner_port, self.inner_port + 3],
                              "seed_nodes": [f"{core}:{self.control_port}" for core in CORE_IPS]},
            "terms_table": {"timing_bounds": {"quota_slack": self.quota_slack}},
        }))  # fmt: skip
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        process = ChildProcess(
            "-m", "ivymux", role, "--settings", str(settings_path), env=env, prints_port=False
        )
        self.children.append(process)
        return process

    async def configure(self, backends: list[ChildProcess]) -> None:
        """Sends the configuration and a heartbeat of each backend; repeats each call until it succeeds."""
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as http:
            calls: list[tuple[str, Any]] = [("/configuration", self.configuration)]
            calls += [
                (f"/instances/w{n}", {"service_name": "archive", "address": backend.address, "zone_name": "a",
                                      "capacity": 20, "oper_state": "in_service",
                                      "call_seq": next(self.call_numbers)})
                for n, backend in enumerate(backends)
            ]  # fmt: skip
            async with asyncio.timeout(30):
                for path, body in calls:
                    while True:
                        try:
                            url = f"http://{CORE_IPS[0]}:{self.control_port}{path}"
                            if (await http.put(url, content=json.dumps(body))).status_code == 200:
                                break
                        except httpx.HTTPError:
                            pass
                        await asyncio.sleep(0.02)

    async def send_heartbeats(self, backends: list[ChildProcess]) -> None:
        while True:
            await self.configure(backends)
            await asyncio.sleep(1)

    async def wait_until_ready(self, ip: str = "127.0.0.1") -> None:
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as http, asyncio.timeout(30):
            while True:
                try:
                    if (await http.get(f"http://{ip}:{self.readiness_port}/readiness")).status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await asyncio.sleep(0.005)


class GatewayComparison:
    """Starts a platform gateway and a proxy in each round; measures their CPU and the proxy's memory."""

    def __init__(self, system: LocalSystem, platform_env: dict[str, str], platform_port: int) -> None:
        self.system, self.platform_env, self.platform_port = system, platform_env, platform_port
        self.startup_s = 0.0

    async def measure(self, count: int, runs: int) -> dict[str, list[float]]:
        """Microseconds of CPU per request by kind of gateway, one value per run."""
        platform = ChildProcess("-m", "ivymux", prints_port=False, env=self.platform_env)
        started_at = time.perf_counter()
        proxy = self.system.start("127.0.0.1", "proxy")
        try:
            await self.system.wait_until_ready()
            self.startup_s = time.perf_counter() - started_at
            await wait_until_listening(self.platform_port)
            cpu_us: dict[str, list[float]] = {"platform": [], "system": []}
            for run in range(runs + 1):
                platform_us = await cpu_per_request_us(platform, PlatformLoad(count), self.platform_port)
                system_us = await cpu_per_request_us(proxy, SystemLoad(count), self.system.frontend_port)
                if run:  # the first run is a warm-up
                    cpu_us["platform"].append(platform_us)
                    cpu_us["system"].append(system_us)
            cpu_before, idle_since = proxy.cpu_seconds(), time.perf_counter()
            await asyncio.sleep(1)
            self.idle_percent = 100 * (proxy.cpu_seconds() - cpu_before) / (time.perf_counter() - idle_since)
            self.peak_mb = proxy.peak_mb()
            return cpu_us
        finally:
            proxy.stop()
            platform.stop()
            self.system.children.remove(proxy)


def median(values: list[float]) -> float:
    """The median; the upper of the two middle values if their number is even."""
    return sorted(values)[len(values) // 2]


async def measure(quick: bool, directory: Path) -> tuple[dict[str, Any], dict[str, float]]:
    count, runs, rounds = (1_000, 3, 5) if quick else (3_000, 5, 11)
    backends = [ChildProcess("-m", "bench.parts", "worker") for _ in range(BACKENDS)]
    sealing_backends = [ChildProcess("-m", "bench.parts", "sealed") for _ in range(BACKENDS)]
    counter = ChildProcess("-m", "bench.parts", "tally")
    system, platform_port = LocalSystem(directory), free_port()
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    env |= {"NODE_CONFIG": str(write_platform_config(directory, backends, counter, platform_port))}
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    try:
        for ip in CORE_IPS:
            system.start(ip, "config_store")
            system.start(ip, "registry")
        await system.configure(sealing_backends)
        heartbeats = asyncio.get_running_loop().create_task(system.send_heartbeats(sealing_backends))
        comparison = GatewayComparison(system, env, platform_port)
        for quota_slack, name in ((QUOTA_SLACK, ""), (0.0, ", quotas without slack")):
            system.quota_slack = quota_slack
            cpu_us: dict[str, list[float]] = {"platform": [], "system": []}
            pair_ratios, idle_percents, peaks_mb, startups_s = [], list[float](), list[float](), list[float]()
            for _ in range(rounds):
                round_us = await comparison.measure(count, runs)
                for kind, values in round_us.items():
                    cpu_us[kind].append(median(values))
                pair_ratios.append(cpu_us["system"][-1] / cpu_us["platform"][-1])
                idle_percents.append(comparison.idle_percent)
                peaks_mb.append(comparison.peak_mb)
                startups_s.append(comparison.startup_s)
            ratios[f"system over platform{name}"] = median(pair_ratios)
            figures[f"CPU for each request, system{name}"] = summarize(cpu_us["system"], "us")
            if not name:
                figures["CPU for each request, platform"] = summarize(cpu_us["platform"], "us")
                figures["idle CPU of a door"] = summarize(idle_percents, "% of a core")
                figures["peak memory of a door"] = summarize(peaks_mb, "MB")
                figures["a door started, configuration in force"] = summarize(startups_s, "s")
        figures["peak memory of a core process"] = summarize([c.peak_mb() for c in system.children], "MB")
        heartbeats.cancel()
    finally:
        for child in (*backends, *sealing_backends, counter, *system.children):
            child.stop()
    return figures, ratios


async def main() -> None:
    args = parse_arguments("system")
    with tempfile.TemporaryDirectory() as name:
        figures, ratios = await measure(args.quick, Path(name))
    workload = (
        f"{CONNECTIONS} connections, {TENANTS} tenants, {BACKENDS} backends; "
        f"GET with {len(ANSWER_BODY)} bytes"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
