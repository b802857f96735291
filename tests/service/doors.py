"""A standalone front door with stand-in workers over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ivymux.service.callers import hash_key
from ivymux.service.standalone import Standalone, open_standalone
from standins.worker import ExecutionRecord, Responder, Worker, reply_normally
from tests.routes.describing import described, operation

KEY = "iv_test-key"
PATHS: dict[str, Any] = {
    "/read/{id}": {"get": operation(), "post": operation(x={"effect": "unsafe"})},
    "/keyed": {"post": operation(x={"effect": "keyed"})},
    "/write": {"post": operation(), "put": operation(), "delete": operation()},
    "/slow": {"get": operation(x={"deadline": 0.6, "aim": 0.5})},
}


def site_text(workers: Sequence[Worker], plan: str = "", top: str = "", **tables: str) -> str:
    parts = [
        'listen = "127.0.0.1:0"', top, '[description]\nfile = "api.json"', tables.pop("description", ""),
        "[plans.p]", plan or "rate = 100000.0\nburst = 100000",
        f'[[callers.keys]]\ncustomer = "c"\nplan = "p"\nhash = "{hash_key(KEY.encode())}"',
    ]  # fmt: skip
    for name, text in tables.items():
        parts.append(f"[{name}]\n{text}")
    for number, worker in enumerate(workers):
        parts.append(f'[[workers]]\nname = "w{number}"\naddress = "{worker.address}"\nbay = {worker.bay}')
    return "\n".join(parts)


@dataclass
class Place:
    """A door, its files and its workers."""

    door: Standalone
    folder: Path
    workers: list[Worker]
    fleet: ExecutionRecord

    def describe(self, document: Any) -> None:
        data = document if isinstance(document, bytes) else json.dumps(document).encode()
        part = self.folder / "api.json.part"
        part.write_bytes(data)
        part.replace(self.folder / "api.json")


@contextlib.asynccontextmanager
async def standing(
    folder: Path, plans: Sequence[Responder] = (reply_normally,), document: Any = None, **site: str
) -> AsyncIterator[Place]:
    fleet = ExecutionRecord()
    workers = [await Worker(fleet, plan, bay=n % 2).start() for n, plan in enumerate(plans)]
    document = document or described(PATHS)
    (folder / "api.json").write_bytes(
        document if isinstance(document, bytes) else json.dumps(document).encode()
    )
    site.setdefault("keyed", "memory = 30.0")
    (folder / "site.toml").write_text(site_text(workers, **site))
    door = await open_standalone(folder / "site.toml")
    await door.start()
    try:
        yield Place(door, folder, workers, fleet)
    finally:
        await door.close()
        for worker in workers:
            worker.stop()


@dataclass
class Got:
    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        return next((v for k, v in self.headers if k.lower() == name.lower()), "")

    @property
    def problem(self) -> dict[str, Any]:
        assert self.header("content-type") == "application/problem+json"
        found: dict[str, Any] = json.loads(self.body)
        assert found["status"] == self.status and found["title"]
        return found


async def read_answer(reader: asyncio.StreamReader, head: bool = False) -> Got:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = [(k, v.strip()) for k, _, v in (line.partition(":") for line in lines[1:] if line)]
    got = Got(int(lines[0].split()[1]), headers, b"")
    if not head and got.status not in (204, 304):
        got.body = await reader.readexactly(int(got.header("content-length")))
    return got


def request(line: str, body: bytes = b"", key: str = KEY, /, **headers: str) -> bytes:
    method, target = line.split(" ", 1)
    fields = {"Host": "h.example", "X-API-Key": key} | {k.replace("_", "-"): v for k, v in headers.items()}
    if body or method in ("POST", "PUT", "PATCH"):
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items() if v]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Caller:
    """One client connection."""

    def __init__(self, door: Standalone) -> None:
        self.door = door

    async def __aenter__(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.door.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def raw(self, data: bytes, head: bool = False) -> Got:
        self.writer.write(data)
        return await read_answer(self.reader, head)

    async def ask(self, line: str, body: bytes = b"", key: str = KEY, /, **headers: str) -> Got:
        return await self.raw(request(line, body, key, **headers), line.startswith("HEAD "))


async def ask(place: Place, line: str, body: bytes = b"", key: str = KEY, /, **headers: str) -> Got:
    """One request on a connection of its own."""
    async with Caller(place.door) as caller:
        return await caller.ask(line, body, key, **headers)
