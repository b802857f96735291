"""The system's programs as real processes on loopback addresses: machines, an operator, clients, backends."""

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

from standins.backend import Backend

ROOT = Path(__file__).parent.parent.parent
BEAT = 0.4  # seconds between the backends' calls here
ENTRY = ("-m", "ivymux")
LINGER = 1.0  # seconds for which a backend that leaves serves on


def document(version: int, **routes: str) -> dict[str, Any]:
    """A configuration with one route a service: `read` idempotent, `sign` not."""
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


class Lab:
    def __init__(self, folder: Path, cores: int = 3, doors: int = 2, entry: tuple[str, ...] = ENTRY) -> None:
        """`entry`: what starts a program, given its role and settings."""
        self.folder, self.entry = folder, entry
        net = f"127.{40 + os.getpid() % 200}.{(os.getpid() // 200) % 250}"
        self.cores = [f"{net}.{n}" for n in range(1, cores + 1)]
        self.doors = [f"{net}.{n}" for n in range(101, 101 + doors)]
        self.machines: dict[str, list[asyncio.subprocess.Process]] = {}
        self.backends: list[Backend] = []
        self.beating: dict[str, asyncio.Task[None]] = {}
        self.leaving: set[asyncio.Task[None]] = set()
        self.http = httpx.AsyncClient(timeout=3.0, trust_env=False, limits=httpx.Limits(max_connections=200))
        self.ids = itertools.count(1)
        self.logs = open(folder / "log.txt", "ab")  # noqa: SIM115  # as long as the lab

    # --- machines ------------------------------------------------------------------------------------

    def settings(self, ip: str, first: bool) -> Path:
        core = ip in self.cores
        data = self.folder / ip
        listen = {"control_addr": f"{ip}:8529"} if core else {
            "front_addr": f"{ip}:8520", "ready_addr": f"{ip}:8521"
        }  # fmt: skip
        made = {
            "self_entity": {
                "node_name": ip, "ip_address": ip, "zone_name": "hall", "initial_start": first,
                "data_path": str(data) if core else None, "limits": {"memory_mb": 300, "fd_limit": 1000},
            },
            "network_table": {
                "listen_addrs": listen, "inner_port_range": [7340, 7355], "zones": {"hall": "valley"},
                "seed_nodes": [f"{c}:8529" for c in self.cores[:3]],
            },
            "platform_table": {"beat_period": f"{BEAT}s"},
            "terms_table": {"timing_bounds": {"quota_excess": 0.1, "quota_slack": 20, "grace": "3s"}},
        }  # fmt: skip
        path = self.folder / f"{ip}.yaml"
        path.write_text(yaml.safe_dump(made))
        return path

    async def start(self, ip: str, first: bool = False) -> None:
        path = self.settings(ip, first)
        roles = ("registry", "config_store") if ip in self.cores else ("proxy",)
        self.machines[ip] = [
            await asyncio.create_subprocess_exec(
                sys.executable, *self.entry, role, "--settings", str(path), cwd=ROOT,
                stdout=self.logs, stderr=self.logs,
            )
            for role in roles
        ]  # fmt: skip

    async def kill(self, ip: str, how: int = signal.SIGKILL) -> None:
        """End a machine's processes, by their ids."""
        for process in self.machines.pop(ip, []):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(how)
            await process.wait()

    def signal(self, ip: str, how: int) -> None:
        """To a machine's processes, by their ids."""
        for process in self.machines.get(ip, []):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(how)

    def leader(self) -> str:
        """The core machine that leads, as its log has it."""
        return (self.folder / "log.txt").read_text().split("is in force: primary ")[-1].split(",")[0]

    async def wipe(self, ip: str) -> None:
        await self.kill(ip)
        shutil.rmtree(self.folder / ip, ignore_errors=True)

    async def all(self, first: bool = False) -> None:
        for ip in (*self.cores, *self.doors):
            await self.start(ip, first)

    # --- the operator ----------------------------------------------------------------------------------

    async def call(self, method: str, ip: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """One call to a core machine; status 0 where it gave no answer."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else None
        try:
            answer = await self.http.request(method, f"http://{ip}:8529{path}", content=content)
        except httpx.HTTPError:
            return 0, b""
        return answer.status_code, answer.content

    async def put(self, body: Any, cores: list[str] | None = None) -> tuple[int, bytes]:
        """A call that is repeated at other machines until it has a clear answer."""
        for ip in itertools.cycle(cores or self.cores):
            status, answer = await self.call("PUT", ip, "/configuration", body)
            if status and status < 500:
                return status, answer
            await asyncio.sleep(0.02)
        raise AssertionError

    async def read(self) -> bytes:
        for ip in itertools.cycle(self.cores):
            status, answer = await self.call("GET", ip, "/configuration")
            if status == 200:
                return answer
            await asyncio.sleep(0.02)
        raise AssertionError

    # --- backends ----------------------------------------------------------------------------------------

    async def backend(self, instance: str, service: str, port: int = 0) -> Backend:
        """A backend that serves and calls the registry until it is stopped."""
        made = Backend(instance, service, "127.0.0.1", "hall")
        await made.start(port)
        self.backends.append(made)
        self.beating[instance] = asyncio.get_running_loop().create_task(self.beat(made))
        return made

    async def beat(self, backend: Backend) -> None:
        while True:
            await self.say(backend)
            await asyncio.sleep(BEAT)

    async def release(self, old: Backend, instance: str) -> Backend:
        """A new backend in the place of an old one, which leaves in order."""
        new = await self.backend(instance, old.service)
        new.work = old.work
        self.beating.pop(old.instance).cancel()
        await self.say(old, "quiescing")
        asyncio.get_running_loop().call_later(LINGER, self.gone, old)
        return new

    def gone(self, old: Backend) -> None:
        async def leave() -> None:
            for ip in self.cores:
                if (await self.call("DELETE", ip, f"/instances/{old.instance}"))[0] == 200:
                    break
            old.stop()

        task = asyncio.get_running_loop().create_task(leave())
        self.leaving.add(task)
        task.add_done_callback(self.leaving.discard)

    async def say(self, backend: Backend, state: str = "in_service") -> None:
        body = backend.beat(state)
        for ip in self.cores:
            status, _ = await self.call("PUT", ip, f"/instances/{backend.instance}", body)
            if status == 200:
                return

    # --- clients -----------------------------------------------------------------------------------------

    async def ask(
        self,
        door: str,
        method: str = "GET",
        path: str = "/read/1",
        key: str = "key-one",
        content: bytes = b"",
        **headers: str,
    ) -> httpx.Response | None:
        """One try at a door; None where no answer came."""
        sent = {
            "Host": "minutes.example", "Try-Id": f"try-{next(self.ids)}", "Time-Remaining": "2000",
            "Authorization": f"Bearer {key}", **{k.replace("_", "-"): v for k, v in headers.items()},
        }  # fmt: skip
        try:
            return await self.http.request(
                method, f"http://{door}:8520{path}", headers=sent, content=content or None
            )
        except httpx.HTTPError:
            return None

    async def ready(self, door: str) -> bool:
        try:
            return (await self.http.get(f"http://{door}:8521/readiness")).status_code == 200
        except httpx.HTTPError:
            return False

    async def served(self, door: str, path: str = "/read/1", status: int = 200) -> httpx.Response:
        """Ask until a door answers with a status."""
        while True:
            answer = await self.ask(door, path=path)
            if answer is not None and answer.status_code == status:
                return answer
            await asyncio.sleep(0.02)

    async def takes_clients(self, door: str) -> None:
        while not await self.ready(door):
            await asyncio.sleep(0.02)

    async def sends_to(self, door: str, service: str) -> None:
        """Until a door sends reads to a service."""
        while not (await self.served(door)).text.startswith(service):
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        for task in (*self.beating.values(), *self.leaving):
            task.cancel()
        for ip in list(self.machines):
            await self.kill(ip)
        for backend in self.backends:
            backend.stop()
        await self.http.aclose()
        self.logs.close()


@contextlib.asynccontextmanager
async def lab(
    folder: Path, cores: int = 3, doors: int = 2, most: float = 50.0, entry: tuple[str, ...] = ENTRY
) -> AsyncIterator[Lab]:
    """Machines that are ended behind it; `most` seconds, for one that hangs."""
    made = Lab(folder, cores, doors, entry)
    try:
        async with asyncio.timeout(most):
            yield made
    except TimeoutError:
        raise AssertionError((folder / "log.txt").read_text()[-3000:]) from None
    finally:
        await made.close()
