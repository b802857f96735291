"""A stand-in worker: HTTP/1.1, counts executions by request ID, deduplicates by key, has scripted faults."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import httptools


@dataclass(slots=True)
class ReceivedRequest:
    """A request that was received completely."""

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: str) -> str:
        lower_name = name.lower().encode()
        return next((v.decode("latin-1") for k, v in self.headers if k == lower_name), "")


@dataclass(slots=True)
class Reply:
    """What a worker does with a request: execute it or not, answer after a delay, close the connection.

    `data`: the bytes of the answer; None: the default answer.  `reset` resets the connection instead of
    answering, `close` closes it after the answer.
    """

    execute: bool = True
    data: bytes | None = None
    gate: asyncio.Event | None = None  # the answer waits until this is set
    delay: float = 0.0  # seconds before the answer
    reset: bool = False
    close: bool = False


Responder = Callable[[ReceivedRequest], Reply]


def reply_normally(request: ReceivedRequest) -> Reply:
    """Execute the request, and send the default answer at once."""
    return Reply()


def encode_answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Encode an HTTP answer."""
    extra = headers + "\r\n" if headers else ""
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


@dataclass
class ExecutionRecord:
    """How often the workers of a test executed each request, and the keys executed in each bay."""

    executions: Counter[str] = field(default_factory=Counter)
    outstanding: Counter[str] = field(default_factory=Counter)  # attempts not yet answered, by request
    overlapping: set[str] = field(default_factory=set)  # requests with two unanswered attempts at once
    received: Counter[str] = field(default_factory=Counter)  # attempts received completely
    executed_keys: set[tuple[int, str]] = field(default_factory=set)  # bay and idempotency key


class ClientConnection(asyncio.Protocol):
    """A gateway's connection to a worker."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.outstanding_id: str | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.worker.connections.add(self)
        self.worker.accepted_connections += 1

    def connection_lost(self, error: Exception | None) -> None:
        self.worker.connections.discard(self)
        self.end_attempt()

    def end_attempt(self) -> None:
        """Count the attempt on this connection as no longer outstanding."""
        if self.outstanding_id is not None:
            self.worker.record.outstanding[self.outstanding_id] -= 1
            self.outstanding_id = None

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.worker.malformed_requests += 1
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        self.url, self.body = b"", b""
        self.headers: list[tuple[bytes, bytes]] = []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        request = ReceivedRequest(self.parser.get_method().decode(), self.url, self.headers, self.body)
        record, request_id = self.worker.record, request.header("request-id")
        self.worker.last_request = request
        record.received[request_id] += 1
        record.outstanding[request_id] += 1
        if record.outstanding[request_id] > 1:
            # The other attempt's connection may close in this turn of the event loop, so check after it.
            asyncio.get_running_loop().call_soon(self.worker.check_overlap, request_id)
        self.outstanding_id = request_id
        reply = self.worker.respond(request)
        if reply.execute:
            key = request.header("idempotency-key")
            if not key or (self.worker.bay, key) not in record.executed_keys:
                record.executions[request_id] += 1
                if key:
                    record.executed_keys.add((self.worker.bay, key))
        data = self.worker.default_answer(request) if reply.data is None else reply.data
        if reply.gate is not None:
            gate_task = asyncio.ensure_future(reply.gate.wait())
            self.worker.gated_replies.add(gate_task)
            gate_task.add_done_callback(lambda done: self.on_gate(done, reply, data))
        elif reply.delay > 0:
            asyncio.get_running_loop().call_later(reply.delay, self.send_reply, reply, data)
        else:
            self.send_reply(reply, data)

    def on_gate(self, done: asyncio.Future[Any], reply: Reply, data: bytes) -> None:
        self.worker.gated_replies.discard(done)
        if not done.cancelled():
            self.send_reply(reply, data)

    def send_reply(self, reply: Reply, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if reply.reset:
            self.transport.abort()
            return
        self.end_attempt()  # an attempt is outstanding until its answer is written
        self.transport.write(data)
        if reply.close:
            self.transport.close()


class Worker:
    """A worker on a loopback port."""

    def __init__(
        self, record: ExecutionRecord | None = None, respond: Responder = reply_normally, bay: int = 0
    ) -> None:
        self.record, self.respond, self.bay = record or ExecutionRecord(), respond, bay
        self.connections: set[ClientConnection] = set()
        self.gated_replies: set[asyncio.Future[Any]] = set()  # answers that wait for a gate
        self.accepted_connections = 0
        self.malformed_requests = 0
        self.last_request: ReceivedRequest | None = None
        self.server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def default_answer(self, request: ReceivedRequest) -> bytes:
        body = {"worker": self.port, "method": request.method, "target": request.target.decode("latin-1"),
                "customer": request.header("ivymux-customer")}  # fmt: skip
        data = json.dumps(body).encode() + b"\n"
        if request.method == "HEAD":
            return encode_answer(200, b"", "Content-Type: application/json")
        return encode_answer(200, data, "Content-Type: application/json")

    def check_overlap(self, request_id: str) -> None:
        """Record a request that has two outstanding attempts."""
        if self.record.outstanding[request_id] > 1:
            self.record.overlapping.add(request_id)

    async def start(self) -> Worker:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ClientConnection(self), "127.0.0.1", self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.gated_replies):
            task.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


def random_faults(rng: random.Random, fault_share: float = 0.3, max_delay: float = 0.02) -> Responder:
    """Return a responder that injects a fault before or after the execution of a share of the requests."""

    def respond(request: ReceivedRequest) -> Reply:
        if rng.random() > fault_share:
            return Reply(delay=rng.random() * max_delay if rng.random() < 0.1 else 0.0)
        match rng.randrange(9):
            case 0:
                return Reply(execute=True, reset=True)
            case 1:
                return Reply(execute=False, reset=True)
            case 2:
                return Reply(execute=True, data=encode_answer(500))
            case 3:
                return Reply(execute=False, data=encode_answer(503, headers="Not-Started: 1"))
            case 4:  # truncated in its body
                return Reply(data=b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this", close=True)
            case 5:  # truncated in its head
                return Reply(data=b"HTTP/1.1 200 OK\r\nContent-Le", close=True)
            case 6:  # after every deadline
                return Reply(delay=60.0)
            case 7:
                return Reply(
                    data=b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + encode_answer(200, b"late")
                )
            case _:
                return Reply(data=encode_answer(200, b"good"), close=True)

    return respond
