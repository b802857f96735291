"""Runs the system's programs as real processes on loopback addresses: core machines, proxies and backends.

A `LocalCluster` also acts as the operator (configuration calls) and as the clients (requests to proxies).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import httpx
import yaml

from ivymux.simulation.process_monitor import ProcessMonitor
from standins.backend import Backend

ROOT = Path(__file__).parent.parent.parent
HEARTBEAT_PERIOD_S = 0.4  # of the backends
ENTRY_POINT = ("-m", "ivymux")
QUIESCE_S = 1.0  # time for which a replaced backend still serves
POLL_INTERVAL_S = 0.02
LOG_FILE_NAME = "log.txt"
HTTP_TIMEOUT_S = 3.0
DEFAULT_MEMORY_MB = 300
DEFAULT_FD_LIMIT = 1000
FRONT_PORT, READY_PORT, CONTROL_PORT = 8520, 8521, 8529
FIRST_INNER_PORT, LAST_INNER_PORT = 7340, 7355
MAX_CONNECTIONS = 200  # of one client
MAX_OPERATOR_PAUSE_S = 0.5  # between two calls of one change
OPERATOR_PAUSE_GROWTH = 1.5
DEFAULT_GRACE_S = 3.0  # between SIGTERM and SIGKILL


PORTS_BY_NAME = {
    "front": FRONT_PORT, "ready": READY_PORT, "control": CONTROL_PORT, "config_store": FIRST_INNER_PORT,
    "registry": FIRST_INNER_PORT + 1, "proxy": FIRST_INNER_PORT + 2,
}  # fmt: skip


def build_configuration(version: int, **routes: str) -> dict[str, Any]:
    """Build a configuration with one route for each service; `sign` is not idempotent, all others are."""
    return {
        "config_version": version,
        "route_table": [
            {
                "name": name, "host_name": "minutes.example", "path_prefix": f"/{name}/",
                "route_type": "non_idempotent" if name == "sign" else "idempotent", "deadline": "2s",
                "target": "300ms", "service_name": service, "max_attempts": 2,
            }
            for name, service in (routes or {"read": "archive", "sign": "desk"}).items()
        ],
        "service_table": [{"name": "archive"}, {"name": "desk"}],
        "tenant_table": [{"name": "clerks", "api_keys": ["key-one"], "rate_per_s": 500, "burst_size": 500}],
    }  # fmt: skip


def make_http_client() -> httpx.AsyncClient:
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    return httpx.AsyncClient(timeout=HTTP_TIMEOUT_S, trust_env=False, verify=False, limits=limits)


class LocalCluster:
    """Core machines and proxies as local processes, one loopback address each, and backends in this process.

    The addresses derive from this process's id, so that clusters of parallel test workers do not collide.
    """

    def __init__(
        self,
        folder: Path,
        core_count: int = 3,
        proxy_count: int = 2,
        entry_point: tuple[str, ...] = ENTRY_POINT,
    ) -> None:
        """`entry_point`: the interpreter's arguments that start a program, before its role and settings."""
        self.folder, self.entry_point = folder, entry_point
        self.machine_losses = 1  # disks that may be lost at once
        self.grace_s = DEFAULT_GRACE_S
        self.memory_mb, self.fd_limit = DEFAULT_MEMORY_MB, DEFAULT_FD_LIMIT  # of each process, as settings
        net = f"127.{40 + os.getpid() % 200}.{(os.getpid() // 200) % 250}"
        self.core_ips = [f"{net}.{n}" for n in range(1, core_count + 1)]
        self.proxy_ips = [f"{net}.{n}" for n in range(101, 101 + proxy_count)]
        self.processes: dict[str, list[asyncio.subprocess.Process]] = {}  # by the machine's address
        self.monitor = ProcessMonitor()
        self.environment = dict(os.environ)  # of the programs
        self.backends: list[Backend] = []
        self.heartbeat_tasks: dict[str, asyncio.Task[None]] = {}  # by backend instance
        self.deregistrations: set[asyncio.Task[None]] = set()
        self.http_client = make_http_client()
        # A pool of connections costs time in proportion to its requests, so each machine has its own.
        self.http_clients: dict[str, httpx.AsyncClient] = {}  # by the machine's address
        self.request_numbers = itertools.count(1)
        self.log_file = open(folder / LOG_FILE_NAME, "ab")  # noqa: SIM115  # closed in close()

    # --- machines ------------------------------------------------------------------------------------

    def write_settings(self, ip: str, initial_start: bool) -> Path:
        """Write a machine's settings file and return its path."""
        is_core = ip in self.core_ips
        data_path = self.folder / ip
        listen_addrs = {"control_addr": f"{ip}:{CONTROL_PORT}"} if is_core else {
            "front_addr": f"{ip}:{FRONT_PORT}", "ready_addr": f"{ip}:{READY_PORT}"
        }  # fmt: skip
        settings = {
            "self_entity": {
                "node_name": ip, "ip_address": ip, "zone_name": "hall", "initial_start": initial_start,
                "data_path": str(data_path) if is_core else None,
                "limits": {"memory_mb": self.memory_mb, "fd_limit": self.fd_limit},
            },
            "network_table": {
                "listen_addrs": listen_addrs, "inner_port_range": [FIRST_INNER_PORT, LAST_INNER_PORT],
                "zones": {"hall": "valley"},
                "seed_nodes": [f"{core_ip}:{CONTROL_PORT}" for core_ip in self.core_ips[:3]],
            },
            "platform_table": {"beat_period": f"{HEARTBEAT_PERIOD_S}s"},
            "terms_table": {
                "fault_tolerance": {"machine_losses": self.machine_losses},
                "timing_bounds": {"quota_excess": 0.1, "quota_slack": 20, "grace": f"{self.grace_s}s"},
            },
        }  # fmt: skip
        path = self.folder / f"{ip}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    async def start(self, ip: str, initial_start: bool = False) -> None:
        """Start a machine's processes; `initial_start`: it may found a new core."""
        path = self.write_settings(ip, initial_start)
        roles = ("registry", "config_store") if ip in self.core_ips else ("proxy",)
        started = self.processes[ip] = []
        for role in roles:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *self.entry_point, role, "--settings", str(path), cwd=ROOT,
                env=self.environment, stdout=self.log_file, stderr=self.log_file,
            )  # fmt: skip
            started.append(process)
            self.monitor.watch(ip, role, process)

    def is_running(self, ip: str) -> bool:
        """Whether a machine's programs run, and were not asked to end."""
        return any(process.returncode is None for process in self.processes.get(ip, []))

    async def start_all(self, initial_start: bool = False) -> None:
        for ip in (*self.core_ips, *self.proxy_ips):
            await self.start(ip, initial_start)

    async def kill(self, ip: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to each process of a machine, one after another, and wait until each has ended."""
        for process in self.processes.pop(ip, []):
            self.monitor.send_signal(process, signal_number)
            await process.wait()

    async def end(self, ip: str, signal_number: int) -> None:
        """Send a signal to all processes of a machine at once; kill those that outlast `grace_s`."""
        processes = self.processes.pop(ip, [])
        for process in processes:
            self.monitor.send_signal(process, signal_number)
        for process in processes:
            try:
                await asyncio.wait_for(process.wait(), self.grace_s)
            except TimeoutError:
                self.monitor.send_signal(process, signal.SIGKILL)
                await process.wait()

    def send_signal(self, ip: str, signal_number: int) -> None:
        """Send a signal to each process of a machine, without waiting for its end."""
        for process in self.processes.get(ip, []):
            self.monitor.send_signal(process, signal_number)

    def primary_ip(self) -> str:
        """Return the address of the core machine that was the last to log that it is the primary."""
        log = (self.folder / LOG_FILE_NAME).read_text()
        return log.split("is in force: primary ")[-1].split(",")[0]

    def copy_holders(self) -> list[str]:
        """Return the addresses of the primary and the backups, as last logged."""
        log = (self.folder / LOG_FILE_NAME).read_text()
        *roles, _ = log.split("is in force: ")[-1].partition(" members")[0].split(", ")
        return [role.split(" ")[1] for role in roles]

    async def wipe(self, ip: str) -> None:
        """Kill a machine and delete its data."""
        await self.kill(ip)
        shutil.rmtree(self.folder / ip, ignore_errors=True)

    def client_of(self, ip: str) -> httpx.AsyncClient:
        """Return the client whose connections go to one machine."""
        if ip not in self.http_clients:
            self.http_clients[ip] = make_http_client()
        return self.http_clients[ip]

    # --- the operator ----------------------------------------------------------------------------------

    async def call_core(self, method: str, ip: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Call a core machine once; the status is 0 if no answer arrived."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else None
        try:
            answer = await self.client_of(ip).request(
                method, f"http://{ip}:{CONTROL_PORT}{path}", content=content
            )
        except httpx.HTTPError:
            return 0, b""
        return answer.status_code, answer.content

    async def put_configuration(self, body: Any, core_ips: list[str] | None = None) -> tuple[int, bytes]:
        """Send a configuration as `put_until_answered` does."""
        return await self.put_until_answered("/configuration", body, core_ips)

    async def put_until_answered(
        self, path: str, body: Any, core_ips: list[str] | None = None
    ) -> tuple[int, bytes]:
        """Send a change to one core machine after another until a status below 500 is returned.

        The pause between two calls grows, as the operators' does.
        """
        pause_s = POLL_INTERVAL_S
        for ip in itertools.cycle(core_ips or self.core_ips):
            status, answer = await self.call_core("PUT", ip, path, body)
            if status and status < 500:
                return status, answer
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_OPERATOR_PAUSE_S, pause_s * OPERATOR_PAUSE_GROWTH)
        raise AssertionError

    async def read_configuration(self) -> bytes:
        """Read the configuration from one core machine after another until one returns it."""
        for ip in itertools.cycle(self.core_ips):
            status, answer = await self.call_core("GET", ip, "/configuration")
            if status == 200:
                return answer
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError

    # --- backends ----------------------------------------------------------------------------------------

    async def start_backend(self, instance: str, service: str, port: int = 0) -> Backend:
        """Start a backend that serves and sends heartbeats to the registry until it is stopped."""
        backend = Backend(instance, service, "127.0.0.1", "hall")
        await backend.start(port)
        self.backends.append(backend)
        self.start_heartbeats(backend)
        return backend

    def start_heartbeats(self, backend: Backend) -> None:
        heartbeats = self.send_heartbeats(backend)
        self.heartbeat_tasks[backend.instance] = asyncio.get_running_loop().create_task(heartbeats)

    async def send_heartbeats(self, backend: Backend) -> None:
        while True:
            await self.send_heartbeat(backend)
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def send_heartbeat(self, backend: Backend, state: str = "in_service") -> None:
        """Send one heartbeat to one core machine after another until one accepts it."""
        body = backend.heartbeat_body(state)
        for ip in self.core_ips:
            status, _ = await self.call_core("PUT", ip, f"/instances/{backend.instance}", body)
            if status == 200:
                return

    async def replace_backend(self, old: Backend, instance: str) -> Backend:
        """Start a backend for the same service, quiesce the old one and remove it after `QUIESCE_S`."""
        new = await self.start_backend(instance, old.service)
        new.work_s = old.work_s
        self.heartbeat_tasks.pop(old.instance).cancel()
        await self.send_heartbeat(old, "quiescing")
        asyncio.get_running_loop().call_later(QUIESCE_S, self.start_removal, old)
        return new

    def start_removal(self, backend: Backend) -> None:
        task = asyncio.get_running_loop().create_task(self.remove_backend(backend))
        self.deregistrations.add(task)
        task.add_done_callback(self.deregistrations.discard)

    async def remove_backend(self, backend: Backend) -> None:
        """Deregister a backend and stop it."""
        for ip in self.core_ips:
            status, _ = await self.call_core("DELETE", ip, f"/instances/{backend.instance}")
            if status == 200:
                break
        backend.stop()

    # --- clients -----------------------------------------------------------------------------------------

    async def send_request(
        self,
        proxy_ip: str,
        method: str = "GET",
        path: str = "/read/1",
        key: str = "key-one",
        content: bytes = b"",
        **headers: str,
    ) -> httpx.Response | None:
        """Send one request to a proxy; return None if no answer arrived.

        An underscore in the name of a header stands for a hyphen.
        """
        all_headers = {
            "Host": "minutes.example", "Try-Id": f"try-{next(self.request_numbers)}",
            "Time-Remaining": "2000", "Authorization": f"Bearer {key}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }  # fmt: skip
        try:
            return await self.client_of(proxy_ip).request(
                method, f"http://{proxy_ip}:{FRONT_PORT}{path}", headers=all_headers, content=content or None
            )
        except httpx.HTTPError:
            return None

    async def is_ready(self, proxy_ip: str) -> bool:
        try:
            answer = await self.client_of(proxy_ip).get(f"http://{proxy_ip}:{READY_PORT}/readiness")
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    async def wait_until_ready(self, proxy_ip: str) -> None:
        while not await self.is_ready(proxy_ip):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_served(
        self, proxy_ip: str, path: str = "/read/1", status: int = 200
    ) -> httpx.Response:
        """Repeat a request until the proxy answers with this status, and return that answer."""
        while True:
            answer = await self.send_request(proxy_ip, path=path)
            if answer is not None and answer.status_code == status:
                return answer
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_routed_to(self, proxy_ip: str, service: str) -> None:
        """Repeat a read until the proxy forwards it to this service."""
        while not (await self.wait_until_served(proxy_ip)).text.startswith(service):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """End all processes, backends and tasks."""
        for task in (*self.heartbeat_tasks.values(), *self.deregistrations):
            task.cancel()
        for ip in list(self.processes):
            await self.kill(ip)
        self.monitor.close()
        for backend in self.backends:
            backend.stop()
        for client in (self.http_client, *self.http_clients.values()):
            await client.aclose()
        self.log_file.close()


@contextlib.asynccontextmanager
async def local_cluster(
    folder: Path,
    core_count: int = 3,
    proxy_count: int = 2,
    timeout_s: float = 50.0,
    entry_point: tuple[str, ...] = ENTRY_POINT,
) -> AsyncIterator[LocalCluster]:
    """Yield a cluster, whose machines are not started yet, and close it afterwards.

    Raises AssertionError with the end of the processes' log if the body takes longer than `timeout_s`.
    """
    cluster = LocalCluster(folder, core_count, proxy_count, entry_point)
    try:
        async with asyncio.timeout(timeout_s):
            yield cluster
    except TimeoutError:
        raise AssertionError((folder / LOG_FILE_NAME).read_text()[-3000:]) from None
    finally:
        await cluster.close()
