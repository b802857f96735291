"""Processes that a benchmark needs beside itself: `python -m bench.parts worker|sealed|floor|echo|tally
[ADDRESS]`, which print their port and run until their standard input ends; `flood PORT REQUEST CONNECTIONS
PAUSE`, which asks for half a minute at most.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from typing import cast

import hiredis
import httptools
import uvloop

MAX_FLOOD = 30.0  # seconds
ANSWER_BODY = b'{"id":7,"title":"minutes of the last meeting"}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(ANSWER_BODY)


class Quick(asyncio.Protocol):
    """A worker that answers at once."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.transport.write(HEAD + ANSWER_BODY)


class Sealed(Quick):
    """The same as the system's users have it: it names the request in its answer and seals it."""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"try-id":
            self.named = value

    def on_message_complete(self) -> None:
        head = HEAD.replace(b"\r\n\r\n", b"\r\nServer-Seal: s\r\nTry-Id: %s\r\n\r\n" % self.named)
        self.transport.write(head + ANSWER_BODY)


class Back(asyncio.Protocol):
    """The floor's connection to the worker."""

    def __init__(self, idle: deque[Back]) -> None:
        self.idle = idle
        self.parser = httptools.HttpResponseParser(self)
        self.front: Floor | None = None
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        front, body, self.body, self.front = self.front, self.body, b"", None
        self.idle.append(self)
        if front is not None:
            front.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Floor(asyncio.Protocol):
    """The least that a proxy does: parse, pass on over a pooled connection, parse, answer."""

    def __init__(self, target: tuple[str, int], idle: deque[Back]) -> None:
        self.target, self.idle = target, idle
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.headers = b"", list[tuple[bytes, bytes]]()
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.url, self.headers = b"", []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_message_complete(self) -> None:
        head = b"%s %s HTTP/1.1\r\n" % (self.parser.get_method(), self.url)
        head += b"".join(b"%s: %s\r\n" % pair for pair in self.headers) + b"\r\n"
        if self.idle:
            self.send(self.idle.pop(), head)
        else:
            task = asyncio.ensure_future(self.connect(head))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect(self, head: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, back = await loop.create_connection(lambda: Back(self.idle), *self.target)
        self.send(back, head)

    def send(self, back: Back, head: bytes) -> None:
        back.front = self
        back.transport.write(head)


class Echo(asyncio.Protocol):
    """The least that a tally does: parse RESP, answer one bulk for each call."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        count = 0
        while self.reader.gets() is not False:
            count += 1
        self.transport.write(b"$3\r\n1.5\r\n" * count)


async def serve(kind: str, address: str) -> None:
    loop = asyncio.get_running_loop()
    if kind == "tally":
        from ivymux.data_plane.limits import Address
        from ivymux.tally.server import CounterServer
        from ivymux.tally.store import CounterStore

        port = await CounterServer(CounterStore()).start(Address("127.0.0.1", 0))
    else:
        idle: deque[Back] = deque()
        host, _, number = address.rpartition(":")
        target = (host, int(number or 0))
        kinds = {"worker": Quick, "echo": Echo, "sealed": Sealed}
        made = kinds.get(kind, lambda: Floor(target, idle))
        server = await loop.create_server(made, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
    print(port, flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


async def flood(port: int, request: bytes, connections: int, pause: float) -> None:
    """Ask again and again, whatever the answers are."""
    from bench.common import Load, LoadConnection

    load = Load([request], 0, 1 << 30, pause)
    loop = asyncio.get_running_loop()
    for number in range(connections):
        await loop.create_connection(lambda n=number: LoadConnection(load, n), "127.0.0.1", port)  # type: ignore[misc]
    print(port, flush=True)
    await asyncio.sleep(MAX_FLOOD)


if __name__ == "__main__":
    if sys.argv[1] == "flood":
        uvloop.run(flood(int(sys.argv[2]), bytes.fromhex(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5])))
        sys.exit()
    uvloop.run(serve(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
