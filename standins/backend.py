"""A stand-in backend behind the proxies: executes requests, answers with their IDs, and records them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

CLOSE_MARKER = b"close"  # at the end of an answer's bytes: close the connection after the answer
LATE_MARKER = b"\0late\0"  # within an answer's bytes: what follows is sent `late_s` after what precedes


@dataclass
class ExecutedRequest:
    """A request that a backend executed."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    instance: str


class RequestObserver:
    """Is notified of each request at a backend; this one does nothing."""

    def on_request(self, request: ExecutedRequest) -> float:
        """Return how many seconds the request takes beyond `work_s`."""
        return 0.0

    def on_end(self, request: ExecutedRequest, completed: bool) -> None:
        """Called when the work has ended; `completed` is False if the connection was closed before."""


@dataclass
class Backend:
    """One incarnation of a backend.  `make_answer` returns an answer's bytes; None gives the default one."""

    instance: str
    service: str
    host: str
    zone: str
    make_answer: Callable[[ExecutedRequest], bytes | None] = lambda request: None
    answer_gate: asyncio.Event | None = None  # answers wait until it is set
    work_s: float = 0.0  # the time that a request takes
    late_s: float = 0.01  # see LATE_MARKER
    keeps_bodies: bool = True  # whether `executed` holds the requests' bodies
    observer: RequestObserver = field(default_factory=RequestObserver)
    executed: list[ExecutedRequest] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)  # IDs of requests whose work was completed
    disconnected: list[str] = field(default_factory=list)  # IDs of requests whose connection closed before
    misdirected: int = 0  # requests for another instance
    address: str = ""
    seq: int = 0  # number of the last heartbeat
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"

    def heartbeat_body(self, state: str = "in_service") -> dict[str, object]:
        """Return the body of the next heartbeat to the registry."""
        self.seq += 1
        return {
            "service_name": self.service, "address": self.address, "zone_name": self.zone,
            "config_version": "v1", "capacity": 2, "oper_state": state, "warmup_left": "0ms",
            "call_seq": self.seq,
        }  # fmt: skip

    def default_answer(self, request: ExecutedRequest) -> bytes:
        body = f"{self.service} {request.target}".encode()
        return self.encode_answer(200, request.id, body, f"Server-Seal: seal-{request.id}\r\n")

    @staticmethod
    def encode_answer(status: int, id: str, body: bytes = b"", headers: str = "") -> bytes:
        head = f"HTTP/1.1 {status} X\r\nTry-Id: {id}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests on one connection, one after another."""
        self.connections.add(writer)
        next_request_start = b""  # first bytes of the next request, if read while this one was worked on
        try:
            while True:
                head = (next_request_start + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                next_request_start = b""
                request_line, *lines = head.rstrip("\r\n").split("\r\n")
                method, target, _ = request_line.split(" ")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = ExecutedRequest(
                    headers.get("try-id", ""), method, target, headers, body, self.instance
                )
                if headers.get("target-instance", self.instance) != self.instance:
                    self.misdirected += 1
                    writer.write(
                        self.encode_answer(421, request.id, headers=f"Instance-Id: {self.instance}\r\n")
                    )
                    continue
                self.executed.append(request)
                seconds = self.work_s + self.observer.on_request(request)
                if seconds or self.answer_gate is not None:
                    closed, next_request_start = await self.work_until_disconnect(reader, seconds)
                    (self.disconnected if closed else self.finished).append(request.id)
                    if closed:
                        self.observer.on_end(request, completed=False)
                        break
                self.observer.on_end(request, completed=True)
                data = self.make_answer(request)
                if not self.keeps_bodies:
                    request.body = b""
                self.write_answer(writer, self.default_answer(request) if data is None else data)
                if data is not None and data.endswith(CLOSE_MARKER):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def write_answer(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write an answer's bytes, those behind a LATE_MARKER later, whatever is written meanwhile."""
        first, _, late = data.removesuffix(CLOSE_MARKER).partition(LATE_MARKER)
        writer.write(first)
        if late:
            asyncio.get_running_loop().call_later(self.late_s, self.write_late, writer, late)

    @staticmethod
    def write_late(writer: asyncio.StreamWriter, late: bytes) -> None:
        if not writer.is_closing():
            writer.write(late)

    async def do_work(self, seconds: float) -> None:
        if seconds:
            await asyncio.sleep(seconds)
        if self.answer_gate is not None:
            await self.answer_gate.wait()

    async def work_until_disconnect(self, reader: asyncio.StreamReader, seconds: float) -> tuple[bool, bytes]:
        """Work on a request.

        Returns whether its connection was closed before the end, and otherwise the bytes received after it.
        """
        working = asyncio.ensure_future(self.do_work(seconds))
        reading = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({working, reading}, return_when=asyncio.FIRST_COMPLETED)
        if reading.done():
            next_request_start = b"" if reading.exception() is not None else reading.result()
            if not next_request_start:
                working.cancel()
                return True, b""
            await working
            return False, next_request_start
        reading.cancel()
        await asyncio.wait({reading})
        return False, b""

    def stop(self) -> None:
        """Simulate a crash: stop listening, and abort the connections without a notice."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
