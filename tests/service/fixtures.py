"""A gateway of `ivymux serve` over loopback, with stand-in workers and a client."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ivymux.service.callers import hash_key
from ivymux.service.standalone import StandaloneGateway, open_standalone
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
    """Return a site file with one plan, one customer and these workers.

    `plan` replaces the plan's quota.  `top` has settings outside of tables, `tables` the content of tables.
    """
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
class GatewayFixture:
    """A running gateway, the folder of its files, and its workers."""

    gateway: StandaloneGateway
    folder: Path
    workers: list[Worker]
    record: ExecutionRecord  # what the workers executed

    def write_description(self, document: Any) -> None:
        """Replace the description atomically."""
        data = document if isinstance(document, bytes) else json.dumps(document).encode()
        temporary = self.folder / "api.json.part"
        temporary.write_bytes(data)
        temporary.replace(self.folder / "api.json")


@contextlib.asynccontextmanager
async def running_gateway(
    folder: Path, responders: Sequence[Responder] = (reply_normally,), document: Any = None, **site: str
) -> AsyncIterator[GatewayFixture]:
    """Run a gateway with a worker for each responder; `site` has further arguments of `site_text`."""
    record = ExecutionRecord()
    workers = [await Worker(record, responder, bay=n % 2).start() for n, responder in enumerate(responders)]
    document = document or described(PATHS)
    (folder / "api.json").write_bytes(
        document if isinstance(document, bytes) else json.dumps(document).encode()
    )
    site.setdefault("keyed", "memory = 30.0")
    (folder / "site.toml").write_text(site_text(workers, **site))
    gateway = await open_standalone(folder / "site.toml")
    await gateway.start()
    try:
        yield GatewayFixture(gateway, folder, workers, record)
    finally:
        await gateway.close()
        for worker in workers:
            worker.stop()


@dataclass
class HttpAnswer:
    """An answer as the client received it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        return next((v for k, v in self.headers if k.lower() == name.lower()), "")

    @property
    def problem(self) -> dict[str, Any]:
        """The body as problem details."""
        assert self.header("content-type") == "application/problem+json"
        problem: dict[str, Any] = json.loads(self.body)
        assert problem["status"] == self.status and problem["title"]
        return problem


async def read_answer(reader: asyncio.StreamReader, is_head: bool = False) -> HttpAnswer:
    """Read one answer.  `is_head`: the request was HEAD, so the answer has no body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = [(k, v.strip()) for k, _, v in (line.partition(":") for line in lines[1:] if line)]
    answer = HttpAnswer(int(lines[0].split()[1]), headers, b"")
    if not is_head and answer.status not in (204, 304):
        answer.body = await reader.readexactly(int(answer.header("content-length")))
    return answer


def make_request(line: str, body: bytes = b"", key: str = KEY, /, **headers: str) -> bytes:
    """Return a request as bytes; `line` is METHOD TARGET.

    An empty value removes a header; underscores in header names stand for hyphens.
    """
    method, target = line.split(" ", 1)
    fields = {"Host": "h.example", "X-API-Key": key} | {k.replace("_", "-"): v for k, v in headers.items()}
    if body or method in ("POST", "PUT", "PATCH"):
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items() if v]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One client connection."""

    def __init__(self, gateway: StandaloneGateway) -> None:
        self.gateway = gateway

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.gateway.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def send_bytes(self, data: bytes, is_head: bool = False) -> HttpAnswer:
        """Write bytes and read one answer."""
        self.writer.write(data)
        return await read_answer(self.reader, is_head)

    async def send_request(
        self, line: str, body: bytes = b"", key: str = KEY, /, **headers: str
    ) -> HttpAnswer:
        return await self.send_bytes(make_request(line, body, key, **headers), line.startswith("HEAD "))


async def send_request(
    fixture: GatewayFixture, line: str, body: bytes = b"", key: str = KEY, /, **headers: str
) -> HttpAnswer:
    """Send a request on a new connection."""
    async with Client(fixture.gateway) as client:
        return await client.send_request(line, body, key, **headers)
