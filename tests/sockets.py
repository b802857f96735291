"""Small fakes of a backend, the counter, discovery and a client on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
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
    """Run one test on the loop that serves, bounded in time."""

    async def bounded() -> None:
        async with asyncio.timeout(60):  # for one that hangs; a busy machine takes thrice its usual time
            await test

    uvloop.run(bounded())


async def until(condition: Callable[[], object]) -> None:
    """Wait for a condition; the test's own time-out ends one that never comes."""
    while not condition():
        await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def listening(handler: Handler) -> AsyncIterator[str]:
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
class Message:
    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def http_answer(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Backend:
    """Answers each request with what `answer` makes of it; None keeps silent."""

    answer: Callable[[Message], bytes | None] = lambda message: http_answer(body=b"done")
    seen: list[Message] = field(default_factory=list)
    opened: int = 0
    open: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.open += 1
        try:
            while True:
                message = await read_message(reader)
                self.seen.append(message)
                if (reply := self.answer(message)) is not None:
                    writer.write(reply)
                    if b"Connection: close" in reply or reply == b"":
                        return
        finally:
            self.open -= 1


@dataclass
class Tally:
    """A counter; `reply` may stand in for the answer to the call with that number."""

    reply: Callable[[int, list[bytes]], bytes | None] | None = None
    totals: dict[bytes, float] = field(default_factory=dict)
    calls: list[list[bytes]] = field(default_factory=list)
    opened: int = 0
    open: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.open += 1
        try:
            await self.serve(reader, writer)
        finally:
            self.open -= 1

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            parts = []
            for _ in range(int((await reader.readline())[1:])):
                size = int((await reader.readline())[1:])
                parts.append((await reader.readexactly(size + 2))[:-2])
            if parts[0] == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            self.calls.append(parts)
            special = self.reply(len(self.calls) - 1, parts) if self.reply else None
            self.totals[parts[1]] = self.totals.get(parts[1], 0.0) + float(parts[2])
            total = f"{self.totals[parts[1]]:g}".encode()
            writer.write(b"$%d\r\n%s\r\n" % (len(total), total) if special is None else special)


@dataclass
class Agent:
    """Discovery: the whole list, then a watch that gets the lines put into `lines`, one chunk a line."""

    lines: list[bytes] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)
    whole: bytes = b'{"seq":41,"whole":true,"hosts":[]}'
    open: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            self.targets.append((await read_message(reader)).start.split()[1])
            writer.write(http_answer(body=self.whole))
            self.targets.append((await read_message(reader)).start.split()[1])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            ended = asyncio.ensure_future(reader.read())
            sent = 0
            while not ended.done():
                for line in self.lines[sent:]:
                    if line == b"<end>":
                        self.lines.remove(line)
                        return
                    writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                sent = len(self.lines)
                await asyncio.sleep(0.002)
        finally:
            self.open -= 1


def host_line(name: str, dial: str, health: str = "Ready", block: int = 0) -> dict[str, Any]:
    return {
        "host": name, "dial": dial, "site": "a", "class": "m2", "block": block,
        "health": health, "share": 1.0, "born_ms": 0,
    }  # fmt: skip


def nest(flat: dict[str, str]) -> dict[str, Any]:
    """The helpers' settings as a front door finds them: nested, with typed values."""
    root: dict[str, Any] = {}
    for path, value in flat.items():
        at = root
        *parents, leaf = path.split(".")
        for part in parents:
            at = at.setdefault(part, {})
        at[leaf] = value.split(",") if leaf in ("zones", "columns") else value
    for name in ("classes", "tariffs"):
        root[name] = [root[name][str(n)] for n in range(int(root[name].pop("count")))]
    return root


def config_text(known: list[dict[str, Any]], counter: str = "", discovery: str = "", **changes: str) -> str:
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


class Client:
    """A client's connection to a front door."""

    def __init__(self, server: Server, customer: int = 5) -> None:
        self.customer = customer
        assert server.asyncio_server is not None
        self.port = server.asyncio_server.sockets[0].getsockname()[1]
        self.count = 0

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def request(self, cls: int = 0, timeout_ms: int = 4000, body: bytes = b"", **headers: str) -> bytes:
        """The bytes of a request of one of the helpers' classes: safe, keyed, unsafe."""
        self.count += 1
        base = {
            "Host": "origin.svc",
            "Request-Id": f"{id(self):08x}{self.count:08x}",
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

    async def send(self, data: bytes) -> Message:
        self.writer.write(data)
        return await read_message(self.reader)

    async def ask(self, cls: int = 0, timeout_ms: int = 4000, body: bytes = b"", **headers: str) -> Message:
        return await self.send(self.request(cls, timeout_ms, body, **headers))


FIRST = 0x00000001


class Script:
    """Stands in for the module: `react` gives the actions for each event."""

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

    def of(self, kind: type) -> list[Any]:
        return [e for e in self.events if isinstance(e, kind)]


@contextlib.asynccontextmanager
async def front_door(
    *dials: str, react: Callable[[Any], list[i.Action]] | None = None, counter: str = "", **changes: str
) -> AsyncIterator[tuple[PlatformGateway, Script]]:
    known = [host_line(f"s-{n:08x}", dial) for n, dial in enumerate(dials, 1)]
    door = PlatformGateway(config(known, counter, **changes))
    script = Script(react or (lambda event: []))
    if react is not None:
        door.host.gateway = script  # type: ignore[assignment]
    await door.start()
    try:
        yield door, script
    finally:
        await door.close()


def send_on(event: Any) -> list[i.Action]:
    """Sends each request to the first backend and fails it when that did not serve."""
    if isinstance(event, i.Request):
        return [i.Send(event.request, FIRST, 0.0)]
    if isinstance(event, i.Finished) and event.outcome is not Outcome.OK:
        return [i.Fail(event.request)]
    return []
