"""Helper processes of the benchmarks.

    python -m bench.parts worker|sealed|floor|echo|tally [ADDRESS]
    python -m bench.parts flood PORT REQUEST CONNECTIONS PAUSE

The processes of the first line print their port and run until their standard input ends: a backend, a backend
that seals its answers, a minimal proxy in front of ADDRESS, an echo server and a counter service.  `flood`
sends REQUEST (in hexadecimal digits) to PORT for at most MAX_FLOOD_S, over CONNECTIONS connections with PAUSE
seconds between an answer and the next request, and prints PORT once it is connected.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from typing import cast

import hiredis
import httptools
import uvloop

MAX_FLOOD_S = 30.0
ANSWER_BODY = b'{"id":7,"title":"minutes of the last meeting"}'
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(
    ANSWER_BODY
)


class FixedAnswerBackend(asyncio.Protocol):
    """A backend that sends the same answer at once to each request."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.transport.write(ANSWER_HEAD + ANSWER_BODY)


class SealingBackend(FixedAnswerBackend):
    """A backend of the system: its answers carry the id of the attempt and a seal."""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"try-id":
            self.try_id = value

    def on_message_complete(self) -> None:
        head = ANSWER_HEAD.replace(b"\r\n\r\n", b"\r\nServer-Seal: s\r\nTry-Id: %s\r\n\r\n" % self.try_id)
        self.transport.write(head + ANSWER_BODY)


class UpstreamConnection(asyncio.Protocol):
    """A minimal proxy's pooled connection to the backend."""

    def __init__(self, idle: deque[UpstreamConnection]) -> None:
        self.idle = idle
        self.parser = httptools.HttpResponseParser(self)
        self.client: MinimalProxy | None = None
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        client, body, self.body, self.client = self.client, self.body, b"", None
        self.idle.append(self)
        if client is not None:
            client.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class MinimalProxy(asyncio.Protocol):
    """The least that any proxy does: parse, forward over a pooled connection, parse, answer.

    Its CPU time per request is the lower bound that the gateways are compared with.
    """

    def __init__(self, target: tuple[str, int], idle: deque[UpstreamConnection]) -> None:
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
            task = asyncio.ensure_future(self.connect_and_send(head))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect_and_send(self, head: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_connection(lambda: UpstreamConnection(self.idle), *self.target)
        self.send(upstream, head)

    def send(self, upstream: UpstreamConnection, head: bytes) -> None:
        upstream.client = self
        upstream.transport.write(head)


class EchoCounter(asyncio.Protocol):
    """The least that a counter does: parse RESP and answer each call with a fixed bulk string.

    Its CPU time per call is the lower bound that the counter service is compared with.
    """

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
        idle: deque[UpstreamConnection] = deque()
        host, _, port_text = address.rpartition(":")
        target = (host, int(port_text or 0))
        protocols = {"worker": FixedAnswerBackend, "echo": EchoCounter, "sealed": SealingBackend}
        protocol = protocols.get(kind, lambda: MinimalProxy(target, idle))
        server = await loop.create_server(protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
    print(port, flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


async def flood(port: int, request: bytes, connections: int, pause: float) -> None:
    """Sends requests over all connections for MAX_FLOOD_S, whatever the answers are."""
    from bench.common import Load, LoadConnection

    load = Load([request], 0, 1 << 30, pause)
    loop = asyncio.get_running_loop()
    for number in range(connections):
        await loop.create_connection(lambda n=number: LoadConnection(load, n), "127.0.0.1", port)  # type: ignore[misc]
    print(port, flush=True)
    await asyncio.sleep(MAX_FLOOD_S)


if __name__ == "__main__":
    if sys.argv[1] == "flood":
        uvloop.run(flood(int(sys.argv[2]), bytes.fromhex(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5])))
        sys.exit()
    uvloop.run(serve(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
