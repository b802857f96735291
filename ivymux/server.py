"""Clients: HTTP/1.1, /-/ready, the request's terms, answers."""

from __future__ import annotations

import asyncio
import functools
import logging
import re
import time
from collections import deque
from typing import cast

import httptools

from ivymux.config import Config
from ivymux.host import Answer, Host, Open
from orchidhill import interface as i
from orchidhill.interface import Effect

MOST_BODY = 64 * 1024  # bytes of a request's body, by the protocol
MOST_HEAD = 16 * 1024
MOST_HELD = 32 << 20  # bytes of bodies held in all; beyond it requests are refused
MOST_PIPELINED = 4  # requests on one connection that wait for their answers
MOST_TIMEOUT = 600.0  # seconds that a request is held, whatever its client would wait
READ_TIMEOUT = 10.0  # seconds for a request to come whole
IDLE_TIMEOUT = 75.0  # seconds that a connection may stand idle
LINGER = 5.0  # seconds that a client has to read the last answer on its connection
SURPLUS = 64  # connections above the most that are still answered, with a refusal
SWEEP = 2.0

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large",
    502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length request-timeout".split()
)
SINGLE = frozenset(
    b"request-id request-class x-tier request-timeout idempotency-key x-call-terms content-length host"
    b" client-retry".split()
)
TIMEOUT = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")

log = logging.getLogger(__name__)


class BadRequest(ValueError):
    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@functools.lru_cache(maxsize=4096)  # few distinct ones come; bounded against odd clients
def parse_call_terms(text: bytes) -> tuple[float, int, int]:
    """Units, spread and first of X-Call-Terms."""
    try:
        pairs = dict(part.split("=", 1) for part in text.decode("ascii").replace(" ", "").split(","))
        units, spread, first = float(pairs["units"]), int(pairs["spread"]), int(pairs["first"])
    except (KeyError, ValueError):
        raise BadRequest("malformed X-Call-Terms") from None
    if not (0 < units < 1e6 and 0 < spread < 1 << 16 and 0 <= first < 1 << 16):
        raise BadRequest("X-Call-Terms out of range")
    return units, spread, first


def parse_timeout(text: bytes) -> float:
    """Request-Timeout in seconds."""
    found = TIMEOUT.fullmatch(text)
    if found is None:
        raise BadRequest("malformed Request-Timeout")
    number = float(found[1] + b"." + (found[2] or b"0"))
    return min(MOST_TIMEOUT, number / (1e3 if found[3] == b"m" else 1e6))


def encode(answer: Answer, close: bool) -> bytes:
    head = f"HTTP/1.1 {answer.status} {REASONS[answer.status]}\r\nContent-Length: {len(answer.body)}\r\n"
    if answer.retry_after > 0:
        head += f"Retry-After: {answer.retry_after:.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    if answer.content_type:
        return head.encode() + b"Content-Type: " + answer.content_type + b"\r\n\r\n" + answer.body
    return head.encode() + b"\r\n" + answer.body


class Exchange:
    """One request on a client's connection and its answer, which waits for those before it."""

    __slots__ = ("answer", "client", "held", "keep_alive", "request")

    def __init__(self, client: Client, keep_alive: bool) -> None:
        self.client, self.keep_alive = client, keep_alive
        self.answer: Answer | None = None
        self.request: Open | None = None
        self.held = 0

    def reply(self, answer: Answer) -> None:
        self.answer = answer
        self.release()
        self.client.flush()

    def release(self) -> None:
        """The request is settled: what was kept for it is let go."""
        self.client.server.held -= self.held
        self.held = 0


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[Exchange] = deque()
        self.since = time.monotonic()  # idle, or a request has been coming in, since then
        self.arriving = False
        self.broken = False  # nothing more is read as a request
        self.clear()

    def clear(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.headed = False
        self.head = 0
        self.body: list[bytes] = []
        self.size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.server.clients.discard(self)
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            exchange.release()
            if exchange.request is not None:
                self.server.host.left(exchange.request)

    # --- reading -----------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(BadRequest("no upgrades here"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequest) else BadRequest("malformed request"))

    def on_message_begin(self) -> None:
        self.clear()
        self.since, self.arriving = time.monotonic(), True

    def count(self, size: int) -> None:
        self.head += size
        if self.head > MOST_HEAD:
            raise BadRequest("header too large")

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count(len(name) + len(value) + 4)
        if not self.headed:  # a trailer is no header: it could stand in for one that was left out
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.headed = True
        for name, value in self.headers:
            if name == b"content-length" and int(value) > MOST_BODY:
                raise BadRequest("body too large", 413)
            if name == b"expect" and value.lower() == b"100-continue" and self.transport and not self.pending:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > MOST_BODY:
            raise BadRequest("body too large", 413)
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.arriving = False
        exchange = Exchange(self, self.parser.should_keep_alive())
        self.pending.append(exchange)
        if len(self.pending) > MOST_PIPELINED:
            # One read may hold hundreds of requests, each with an answer of 64 KiB to be kept for its turn.
            exchange.reply(Answer(503, retry_after=1.0))
            return
        try:
            self.take(exchange)
        except BadRequest as error:
            exchange.reply(Answer(error.status, f"{error}\n".encode()))
        except Exception:
            log.exception("a request could not be taken")
            if exchange.answer is None:
                exchange.reply(Answer(502))

    def take(self, exchange: Exchange) -> None:
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError:
            raise BadRequest("malformed target") from None
        path = url.path or b""
        method = self.parser.get_method()
        server = self.server
        if path == b"/-/ready":
            exchange.reply(Answer(200 if server.ready() else 503))
            return
        if len(server.clients) > server.most_clients:
            exchange.keep_alive = False
            exchange.reply(Answer(503, retry_after=1.0))
            return
        headers = dict(self.headers)
        if len(headers) != len(self.headers):
            self.no_repeats()
        number = server.classes.get(path[1:].partition(b"/")[0])
        if number is None:
            raise BadRequest("no such class", 404)
        cls = server.settings.classes[number]
        if headers.get(b"request-class") != cls.name.encode():
            raise BadRequest("Request-Class is not the path's")
        plan = server.plans.get(headers.get(b"x-tier", b""))
        if plan is None:
            raise BadRequest("no such X-Tier")
        effect = Effect.SAFE if method == b"GET" else Effect.UNSAFE
        if method == b"POST" and headers.get(b"idempotency-key"):
            effect = Effect.KEYED
        if method not in (b"GET", b"POST") or effect is not cls.effect:
            raise BadRequest("the method or Idempotency-Key is not that of the class")
        customers = [p[9:] for p in (url.query or b"").split(b"&") if p.startswith(b"customer=")]
        if len(customers) != 1 or not CUSTOMER.fullmatch(customers[0]) or int(customers[0], 16) >= 1 << 33:
            raise BadRequest("malformed customer")
        request_id = headers.get(b"request-id", b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequest("malformed Request-Id")
        timeout = parse_timeout(headers.get(b"request-timeout", b""))
        units, spread, first = parse_call_terms(headers.get(b"x-call-terms", b""))
        customer = int(customers[0], 16)
        end = self.since + timeout
        body = b"".join(self.body)
        if server.held + len(body) > MOST_HELD:
            exchange.reply(Answer(503, retry_after=1.0))  # nothing has run: memory is bounded
            return
        exchange.held = len(body)
        server.held += len(body)
        head = b"%s %s HTTP/1.1\r\n" % (method, self.url) + b"".join(
            b"%s: %s\r\n" % pair for pair in self.headers if pair[0] not in HOP_BY_HOP
        )
        if method == b"POST" or body:
            head += b"Content-Length: %d\r\n" % len(body)

        def payload(left: float) -> bytes:
            return b"%sRequest-Timeout: %dm\r\n\r\n%s" % (head, max(1, int(left * 1000)), body)

        def make(request: int) -> i.Request:
            left = end - time.monotonic()
            is_retry = headers.get(b"client-retry") == b"1"
            return i.Request(
                request, number, plan, customer, left, units, spread, first, is_retry, method == b"POST"
            )

        exchange.request = server.host.request(make, end, payload, exchange.reply)

    def no_repeats(self) -> None:
        """A header that counts and stands twice could be read differently here and at a backend."""
        seen = set()
        for name, _ in self.headers:
            if name in seen and name in SINGLE:
                raise BadRequest("a header stands twice")
            seen.add(name)

    # --- writing -----------------------------------------------------------------------------------

    def flush(self) -> None:
        while self.pending and (answer := self.pending[0].answer) is not None:
            exchange = self.pending.popleft()
            if self.transport is None or self.transport.is_closing():
                continue
            close = not exchange.keep_alive or (self.server.stopping and not self.pending)
            self.transport.write(encode(answer, close))
            if close:
                self.end()
                return
        if not self.arriving:
            self.since = time.monotonic()

    def pause_writing(self) -> None:
        """Answers that a client does not read must not pile up here: no further requests until it does."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()

    def reject(self, error: BadRequest) -> None:
        """Answer what cannot be read as a request, behind the answers still owed, and end."""
        if not self.broken:
            self.broken = True
            exchange = Exchange(self, keep_alive=False)
            self.pending.append(exchange)
            exchange.reply(Answer(error.status, f"{error}\n".encode()))

    def end(self) -> None:
        """End sending; read on for a moment, as a reset on unread bytes could overtake the answer."""
        self.broken = True
        if self.transport is not None:
            self.transport.write_eof()
            self.server.loop.call_later(LINGER, self.transport.abort)

    def look(self, now: float) -> None:
        if self.transport is None or self.pending:
            return
        if self.arriving and now - self.since > READ_TIMEOUT:
            self.reject(BadRequest("the request did not come whole"))
        elif not self.arriving and now - self.since > IDLE_TIMEOUT:
            self.transport.abort()  # a close would wait for a client that never reads its last answer


class Server:
    def __init__(self, config: Config, host: Host, most_clients: int) -> None:
        self.settings, self.host, self.most_clients = config.settings, host, most_clients
        self.listen = config.listen
        self.loop = asyncio.get_running_loop()
        self.classes = {c.name.encode(): n for n, c in enumerate(self.settings.classes)}
        self.plans = {p.name.encode(): n for n, p in enumerate(self.settings.plans)}
        self.clients: set[Client] = set()
        self.held = 0
        self.stopping = False
        self.server: asyncio.Server | None = None
        self.timer = self.loop.call_later(SWEEP, self.sweep)

    async def start(self) -> None:
        self.server = await self.loop.create_server(
            lambda: Client(self), self.listen.host, self.listen.port, backlog=1024
        )

    def ready(self) -> bool:
        return not self.stopping and bool(self.host.upstream.pools)

    def add(self, client: Client) -> None:
        self.clients.add(client)
        if len(self.clients) <= self.most_clients:
            return
        # Descriptors are bounded: the connection that has been idle longest gives way.  With none idle the
        # new one is answered with a refusal, as ending it at once could lose a request.
        idle = [c for c in self.clients if not c.pending and not c.arriving and c is not client]
        victim = min(idle, key=lambda c: c.since, default=None)
        if victim is None and len(self.clients) > self.most_clients + SURPLUS:
            victim = client
        if victim is not None and victim.transport is not None:
            victim.transport.close()

    def sweep(self) -> None:
        now = time.monotonic()
        for client in list(self.clients):
            client.look(now)
        self.timer = self.loop.call_later(SWEEP, self.sweep)

    def stop_listening(self) -> None:
        """No new connections; those that stand idle are closed, the others after their answers."""
        self.stopping = True
        if self.server is not None:
            self.server.close()
        for client in list(self.clients):
            if not client.pending and not client.arriving and client.transport is not None:
                client.transport.close()

    def close(self) -> None:
        self.timer.cancel()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
