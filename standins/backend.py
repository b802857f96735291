"""A stand-in backend of the users' protocol: runs requests, names them in its answers, keeps what ran."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

CLOSE = b"close"


@dataclass
class Ran:
    """A request as a backend has run it."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    by: str


class Watcher:
    """Hears of each request at a backend; this one does nothing."""

    def arrived(self, ran: Ran) -> float:
        """A request is there; the seconds that it takes beyond `work`."""
        return 0.0

    def ended(self, ran: Ran, whole: bool) -> None:
        """Its work is over: by itself (`whole`), or as its connection closed."""


@dataclass
class Backend:
    """One life of a backend.  `plan` gives the bytes that answer a request; None: an ordinary answer."""

    instance: str
    service: str
    host: str
    zone: str
    plan: Callable[[Ran], bytes | None] = lambda ran: None
    gate: asyncio.Event | None = None  # an answer waits for it
    work: float = 0.0  # seconds that a request takes
    watcher: Watcher = field(default_factory=Watcher)
    ran: list[Ran] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)  # ids of requests that were worked on to their end
    dropped: list[str] = field(default_factory=list)  # and of those whose connection closed meanwhile
    misdirected: int = 0
    address: str = ""
    seq: int = 0
    server: asyncio.Server | None = None
    open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"

    def beat(self, state: str = "in_service") -> dict[str, object]:
        """The body of the next call to the registry."""
        self.seq += 1
        return {
            "service_name": self.service, "address": self.address, "zone_name": self.zone,
            "config_version": "v1", "capacity": 2, "oper_state": state, "warmup_left": "0ms",
            "call_seq": self.seq,
        }  # fmt: skip

    def answer(self, ran: Ran) -> bytes:
        body = f"{self.service} {ran.target}".encode()
        return self.whole(200, ran.id, body, f"Server-Seal: seal-{ran.id}\r\n")

    @staticmethod
    def whole(status: int, id: str, body: bytes = b"", more: str = "") -> bytes:
        head = f"HTTP/1.1 {status} X\r\nTry-Id: {id}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        early = b""  # of the next request
        try:
            while True:
                head = (early + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                early = b""
                first, *lines = head.rstrip("\r\n").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                ran = Ran(headers.get("try-id", ""), method, target, headers, body, self.instance)
                if headers.get("target-instance", self.instance) != self.instance:
                    self.misdirected += 1
                    writer.write(self.whole(421, ran.id, more=f"Instance-Id: {self.instance}\r\n"))
                    continue
                self.ran.append(ran)
                work = self.work + self.watcher.arrived(ran)
                if work or self.gate is not None:
                    closed, early = await self.works_until_closed(reader, work)
                    (self.dropped if closed else self.finished).append(ran.id)
                    if closed:
                        self.watcher.ended(ran, whole=False)
                        break
                self.watcher.ended(ran, whole=True)
                data = self.plan(ran)
                writer.write(self.answer(ran) if data is None else data.removesuffix(CLOSE))
                if data is not None and data.endswith(CLOSE):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def works(self, seconds: float) -> None:
        if seconds:
            await asyncio.sleep(seconds)
        if self.gate is not None:
            await self.gate.wait()

    async def works_until_closed(self, reader: asyncio.StreamReader, seconds: float) -> tuple[bool, bytes]:
        """Work on a request; whether its connection closed before the end, else what came behind it."""
        working = asyncio.ensure_future(self.works(seconds))
        reading = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({working, reading}, return_when=asyncio.FIRST_COMPLETED)
        if reading.done():
            early = b"" if reading.exception() is not None else reading.result()
            if not early:
                working.cancel()
                return True, b""
            await working
            return False, early
        reading.cancel()
        await asyncio.wait({reading})
        return False, b""

    def stop(self) -> None:
        """A crash: nothing is said, nobody listens any more."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
