"""Fakes of a backend, the counter, the discovery agent, a client and the decision module for socket tests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import uvloop

from ivymux.data_plane.server import Server
from ivymux.platform.config import Config, parse
from ivymux.platform.program import PlatformGateway
from orchidhill import interface as i
from orchidhill.interface import Outcome

from .helpers import BASE

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def run(test: Awaitable[None]) -> None:
    """Run a test on the event loop that the programs use, with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(60):  # ends a test that hangs; a busy machine may take three times as long
            await test

    uvloop.run(bounded())


READ_STEP_BYTES, READ_STEP_PAUSE_S = 1 << 20, 0.1


async def read_steadily(port: int, request: bytes) -> int:
    """Send a request and read its answer at a steady rate; return the length of the answer with its head."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        connection.setblocking(False)
        await loop.sock_connect(connection, ("127.0.0.1", port))
        await loop.sock_sendall(connection, request)
        length, next_pause = 0, READ_STEP_BYTES
        while data := await loop.sock_recv(connection, READ_STEP_BYTES):
            length += len(data)
            if length >= next_pause:
                next_pause += READ_STEP_BYTES
                await asyncio.sleep(READ_STEP_PAUSE_S)
        return length


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition is true; the timeout of `run` ends the test if it never is."""
    while not condition():
        await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def listening(handler: Handler) -> AsyncIterator[str]:
    """Serve connections on a free loopback port; yield its address as HOST:PORT."""
    tasks: set[asyncio.Task[Any]] = set()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await handler(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}"
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@dataclass
class HttpMessage:
    """A request or an answer; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a request or an answer; without a Content-Length the body is empty."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(head[0], headers, body)


def http_answer(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    """Encode an answer; underscores in header names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class FakeBackend:
    """Answers each request with the bytes from `make_answer`; None gives no answer."""

    make_answer: Callable[[HttpMessage], bytes | None] = lambda message: http_answer(body=b"done")
    requests: list[HttpMessage] = field(default_factory=list)
    total_connections: int = 0
    open_connections: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.total_connections += 1
        self.open_connections += 1
        try:
            while True:
                message = await read_message(reader)
                self.requests.append(message)
                if (reply := self.make_answer(message)) is not None:
                    writer.write(reply)
                    if b"Connection: close" in reply or reply == b"":
                        return
        finally:
            self.open_connections -= 1


@dataclass
class FakeCounter:
    """A counter service; `override_reply` may replace the answer to a call, given its index."""

    override_reply: Callable[[int, list[bytes]], bytes | None] | None = None
    totals: dict[bytes, float] = field(default_factory=dict)
    calls: list[list[bytes]] = field(default_factory=list)
    total_connections: int = 0
    open_connections: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.total_connections += 1
        self.open_connections += 1
        try:
            await self.serve(reader, writer)
        finally:
            self.open_connections -= 1

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            parts = []
            # At the end of the connection this raises IncompleteReadError, which `listening` expects.
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                parts.append((await reader.readexactly(size + 2))[:-2])
            if parts[0] == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            self.calls.append(parts)
            override = self.override_reply(len(self.calls) - 1, parts) if self.override_reply else None
            self.totals[parts[1]] = self.totals.get(parts[1], 0.0) + float(parts[2])
            total = f"{self.totals[parts[1]]:g}".encode()
            writer.write(b"$%d\r\n%s\r\n" % (len(total), total) if override is None else override)


@dataclass
class FakeAgent:
    """A discovery agent: sends the whole list, then each of `watch_lines` as a chunk of the watch.

    The line `<end>` ends the watch.
    """

    watch_lines: list[bytes] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)
    whole_list: bytes = b'{"seq":41,"whole":true,"hosts":[]}'
    open_connections: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            self.targets.append((await read_message(reader)).start_line.split()[1])
            writer.write(http_answer(body=self.whole_list))
            self.targets.append((await read_message(reader)).start_line.split()[1])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            ended = asyncio.ensure_future(reader.read())
            sent = 0
            while not ended.done():
                for line in self.watch_lines[sent:]:
                    if line == b"<end>":
                        self.watch_lines.remove(line)
                        return
                    writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                sent = len(self.watch_lines)
                await asyncio.sleep(0.002)
        finally:
            self.open_connections -= 1


def host_line(name: str, endpoint: str, health: str = "Ready", block: int = 0) -> dict[str, Any]:
    """Return a backend in the format of discovery's lists."""
    return {
        "host": name, "dial": endpoint, "site": "a", "class": "m2", "block": block,
        "health": health, "share": 1.0, "born_ms": 0,
    }  # fmt: skip


def nest(flat: dict[str, str]) -> dict[str, Any]:
    """Return the helpers' settings in the nested form of a configuration file."""
    root: dict[str, Any] = {}
    for path, value in flat.items():
        node = root
        *parents, leaf = path.split(".")
        for part in parents:
            node = node.setdefault(part, {})
        node[leaf] = value.split(",") if leaf in ("zones", "columns") else value
    for name in ("classes", "tariffs"):
        root[name] = [root[name][str(n)] for n in range(int(root[name].pop("count")))]
    return root


def config_text(known: list[dict[str, Any]], counter: str = "", discovery: str = "", **changes: str) -> str:
    """Return the text of a configuration file with the `known` backends.

    `changes`: settings by path, with two underscores for each dot.
    """
    settings = BASE | {"caps.conn_idle_s": "30.0", "report.columns": "latency_ms,util,queue"}
    settings |= {key.replace("__", "."): value for key, value in changes.items()}
    if not counter:
        settings["extra.has_counter"] = "false"
    nested = nest(settings) | {"host_types": ["m2"]}
    return json.dumps(
        {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery or "127.0.0.1:1", "seed": "8c1f",
            "counter": counter, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 41, "whole": True, "hosts": known}, "settings": nested,
        }
    )  # fmt: skip


def config(known: list[dict[str, Any]], counter: str = "", discovery: str = "", **changes: str) -> Config:
    return parse(config_text(known, counter, discovery, **changes), {})


class GatewayClient:
    """A client connection to a gateway."""

    def __init__(self, server: Server, customer: int = 5) -> None:
        self.customer = customer
        assert server.asyncio_server is not None
        self.port = server.asyncio_server.sockets[0].getsockname()[1]
        self.request_count = 0

    async def __aenter__(self) -> GatewayClient:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def make_request(self, cls: int = 0, timeout_ms: int = 4000, body: bytes = b"", **headers: str) -> bytes:
        """Return a request as bytes; `cls` is one of the helpers' classes: 0 safe, 1 keyed, 2 unsafe.

        An empty value removes a header; underscores in header names stand for hyphens.
        """
        self.request_count += 1
        base = {
            "Host": "origin.svc",
            "Request-Id": f"{id(self):08x}{self.request_count:08x}",
            "Request-Class": f"class-{cls}",
            "X-Tier": "plan-0",
            "Request-Timeout": f"{timeout_ms}m",
            "X-Call-Terms": "units=1,spread=3,first=0",
        }
        if cls == 1:
            base["Idempotency-Key"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
        if cls != 0:
            base["Content-Length"] = str(len(body))
        base |= {key.replace("_", "-"): value for key, value in headers.items()}
        lines = [f"{'POST' if cls else 'GET'} /class-{cls}?customer={self.customer:016x} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in base.items() if v]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def send_bytes(self, data: bytes) -> HttpMessage:
        self.writer.write(data)
        return await read_message(self.reader)

    async def send_request(
        self, cls: int = 0, timeout_ms: int = 4000, body: bytes = b"", **headers: str
    ) -> HttpMessage:
        return await self.send_bytes(self.make_request(cls, timeout_ms, body, **headers))


FIRST = 0x00000001  # the id of the first backend


class FakeDecisionModule:
    """A decision module for tests: `react` returns the actions for each event."""

    def __init__(self, react: Callable[[Any], list[i.Action]]) -> None:
        self.react = react
        self.events: list[Any] = []
        self.actions: list[i.Action] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.events.append(event)
        self.actions = []
        for action in self.react(event):
            self.actions.append(action)
        return self.actions

    def outcomes(self) -> list[Outcome]:
        return [e.outcome for e in self.events if isinstance(e, i.Finished)]

    def events_of(self, kind: type) -> list[Any]:
        return [e for e in self.events if isinstance(e, kind)]


@contextlib.asynccontextmanager
async def platform_gateway(
    *endpoints: str, react: Callable[[Any], list[i.Action]] | None = None, counter: str = "", **changes: str
) -> AsyncIterator[tuple[PlatformGateway, FakeDecisionModule]]:
    """Run a gateway with a backend at each endpoint; with `react`, a fake replaces its decision module."""
    known = [host_line(f"s-{n:08x}", endpoint) for n, endpoint in enumerate(endpoints, 1)]
    gateway = PlatformGateway(config(known, counter, **changes))
    module = FakeDecisionModule(react or (lambda event: []))
    if react is not None:
        gateway.host.decision_module = module  # type: ignore[assignment]
    await gateway.start()
    try:
        yield gateway, module
    finally:
        await gateway.close()


def send_to_first(event: Any) -> list[i.Action]:
    """Send each request to the first backend, once; fail it if the attempt does."""
    if isinstance(event, i.Request):
        return [i.Send(event.request, FIRST, 0.0)]
    if isinstance(event, i.Finished) and event.outcome is not Outcome.OK:
        return [i.Fail(event.request)]
    return []
