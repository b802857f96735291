"""Clients: HTTP/1.1, /-/ready, answers; refuses what cannot be read."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, cast

import httptools

from ivymux.data_plane.frontend import CLOSE_CONNECTION, Answer, BadRequest, Call, Frontend
from ivymux.data_plane.limits import BACKLOG, Address, Bounds
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.data_plane.refusals import GATEWAY

if TYPE_CHECKING:
    from ivymux.data_plane.host import Host, OpenRequest

MAX_HEAD = 16 * 1024
MAX_STRAY = 1024  # bytes, such as empty lines, that belong to no request
MAX_PIPELINED = 4  # requests on one connection that wait for their answers
READ_TIMEOUT = 2.3  # seconds for a request to come whole, the first one counted from connecting
IDLE_TIMEOUT = 15.0  # seconds that a connection may stand idle, while there is room for it
LINGER = 3.0  # seconds that a client has to read the last answer on its connection
UNREAD_TIMEOUT = 30.0  # seconds that a client may take to read what waits for it
SWEEP = 0.25  # seconds between looks at these times
SETTLED_AFTER = 2.0  # seconds without a request after which a connection may be closed for room
SILENT_AFTER = 0.1  # and after which one that has asked nothing, or has its last answer, may be
FLOOD = 1 << 20  # bytes read of a client that is being turned away, after which it has to pause
FLOOD_PAUSE = 0.01

log = logging.getLogger(__name__)


class Exchange:
    """One request on a client's connection and its answer, which waits for those before it."""

    __slots__ = ("answer", "call", "client", "held", "keep_alive", "request")

    def __init__(self, client: Client, keep_alive: bool) -> None:
        self.client, self.keep_alive = client, keep_alive
        self.answer: Answer | None = None
        self.request: OpenRequest | None = None
        self.call: Call | None = None
        self.held = 0

    def reply(self, answer: Answer) -> None:
        self.answer = answer
        self.client.flush()

    def release(self) -> None:
        """The request is over, also at the backends: what was kept for it is let go."""
        server = self.client.server
        server.held -= self.held
        self.held = 0
        if (call := self.call) is not None:
            server.ids.discard(call.key)
            if call.over is not None:
                call.over()


class Client(asyncio.Protocol):
    """One client connection."""

    exchange: type[Exchange] = Exchange

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[Exchange] = deque()
        self.standing: OrderedDict[Client, None] | None = None  # the waiting line of `Server` that it is in
        self.since = 0.0  # and since when
        self.began = 0.0  # when the request that is coming in began
        self.arriving = False
        self.broken = False  # nothing more is read as a request
        self.peer = ""  # the client's address
        self.ended = False  # whether the client has ended its sending
        self.stray = 0
        self.held = 0  # bytes of a body that is coming in
        self.clear()

    def clear(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.headed = False
        self.head = 0
        self.body: list[bytes] = []

    def stand(self, line: OrderedDict[Client, None] | None) -> None:
        """Wait in a line, last, or in none."""
        if self.standing is not None:
            self.standing.pop(self, None)
        self.standing = line
        if line is not None:
            line[self] = None
            self.since = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer = name[0] if name else ""
        self.stand(self.server.fresh)
        self.server.add(self)

    def eof_received(self) -> bool:
        """A client that has ended its sending after a whole request may still be owed an answer."""
        if not (self.server.front.half_close and self.pending):
            return False
        self.broken = self.ended = True
        self.arriving = False
        self.let_go()
        self.pending[-1].keep_alive = False
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.server.unread.pop(self, None)
        self.stand(None)
        self.server.clients.discard(self)
        self.let_go()
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if exchange.request is not None:
                exchange.request.host.left(exchange.request)

    def let_go(self) -> None:
        self.server.held -= self.held
        self.held, self.body = 0, []

    # --- reading -----------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        self.stray += len(data)
        if self.broken:
            self.discard()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(BadRequest("no upgrades here"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequest) else BadRequest("malformed request"))
        if self.stray > MAX_STRAY and not self.arriving:
            self.reject(BadRequest("no request"))

    def discard(self) -> None:
        """Read on behind an error, as a reset on unread bytes could overtake it, but at a bounded pace."""
        if self.stray > FLOOD and self.transport is not None:
            self.stray = 0
            self.transport.pause_reading()
            self.server.loop.call_later(FLOOD_PAUSE, self.resume_reading)

    def on_message_begin(self) -> None:
        if self.broken:
            raise BadRequest("nothing more is read here")
        self.clear()
        self.began, self.arriving = time.monotonic(), True
        if self.standing is self.server.idle:
            self.stand(self.server.coming)

    def count(self, size: int) -> None:
        self.head += size
        if self.head > self.server.most_head:
            raise BadRequest("header too large", self.server.front.head_status)

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
            if name == b"content-length" and int(value) > self.server.front.most_body:
                raise BadRequest("body too large", 413)
            if name == b"expect" and value.lower() == b"100-continue" and self.transport and not self.pending:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.held += len(body)
        self.server.held += len(body)
        if self.held > self.server.front.most_body:
            raise BadRequest("body too large", 413)
        if self.server.held > self.server.most_held:
            raise BadRequest("too much is held", 503)  # nothing has run: memory is bounded
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.arriving, self.stray = False, 0
        if len(self.pending) >= MAX_PIPELINED:
            # One read may hold hundreds of requests, each with an answer of 64 KiB to be kept for its turn.
            raise BadRequest("too many requests at once", 503)
        self.stand(None)
        exchange = self.exchange(self, self.parser.should_keep_alive())
        self.pending.append(exchange)
        try:
            self.take(exchange)
        except BadRequest as error:
            exchange.keep_alive = exchange.keep_alive and not self.server.front.close_refused
            exchange.reply(self.server.refusal(error))
        except Exception:
            log.exception("a request could not be taken")
            if exchange.answer is None:
                exchange.reply(Answer(502))
        self.let_go()

    def take(self, exchange: Exchange) -> None:
        server = self.server
        if (answer := server.front.local(self.url)) is not None:
            exchange.reply(answer)
            return
        if len(server.clients) > server.most_clients:
            exchange.keep_alive = False
            exchange.reply(server.refusal(BadRequest("too many connections", 503)))
            return
        call = server.front.take(
            self.parser.get_method(), self.url, self.headers, self.body, self.began, self.peer
        )
        if isinstance(call, Answer):
            exchange.reply(call)
            return
        if call.key:
            if call.key in server.ids:
                raise BadRequest("this Request-Id is open", 409)
            server.ids.add(call.key)
        self.hand_over(exchange, call)

    def hand_over(self, exchange: Exchange, call: Call) -> None:
        """What was taken goes to the module, and its body with it."""
        exchange.call = call
        exchange.held, self.held = self.held, 0
        host = self.server.host
        assert host is not None
        exchange.request = host.request(call, exchange.reply, exchange.release)

    # --- writing -----------------------------------------------------------------------------------

    def flush(self) -> None:
        while self.pending and (answer := self.pending[0].answer) is not None:
            exchange = self.pending.popleft()
            if self.transport is None or self.transport.is_closing():
                continue
            ends = self.server.stopping or self.server.leaving
            close = (
                not exchange.keep_alive or (ends and not self.pending) or answer.status == CLOSE_CONNECTION
            )
            self.transport.write(self.server.front.encode(answer, close, exchange.call))
            if close:
                self.end()
                return
        if not self.pending and self.standing is None:
            self.stand(self.server.coming if self.arriving else self.server.idle)

    def pause_writing(self) -> None:
        """Answers that a client does not read must not pile up here: no further requests until it does."""
        if self.transport is not None:
            self.transport.pause_reading()
        unread = self.server.unread
        unread[self] = time.monotonic()
        if len(unread) > self.server.front.most_unread:
            next(iter(unread)).abort()

    def resume_writing(self) -> None:
        self.server.unread.pop(self, None)
        self.resume_reading()

    def resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def reject(self, error: BadRequest) -> None:
        """Answer what cannot be read as a request, behind the answers still owed, and end."""
        if not self.broken:
            self.broken, self.arriving = True, False
            self.let_go()
            if self.pending:
                self.stand(None)  # the answers before it have their own time limits
            exchange = Exchange(self, keep_alive=False)
            self.pending.append(exchange)
            exchange.reply(self.server.refusal(error))

    def end(self) -> None:
        """End sending; read on for a moment, as a reset on unread bytes could overtake the answer."""
        self.broken = True
        if self.transport is not None:
            self.transport.close() if self.ended else self.transport.write_eof()
            self.stand(self.server.ended)
            for exchange in self.pending:
                if exchange.request is not None:  # pipelined behind a last one: nobody waits for it
                    exchange.request.host.left(exchange.request)
            self.pending.clear()

    def abort(self) -> None:
        self.stand(None)
        if self.transport is not None:
            self.transport.abort()


class Server:
    client: type[Client] = Client

    def __init__(self, front: Frontend, listen: Address, bounds: Bounds, host: Host | None) -> None:
        """Without a host its clients name one for each request."""
        self.front, self.listen, self.host = front, listen, host
        self.most_clients, self.surplus = bounds.clients, bounds.surplus
        self.most_held = bounds.held  # bytes of bodies; beyond it requests are refused
        self.loop = asyncio.get_running_loop()
        self.clients: set[Client] = set()
        # Waiting lines, the longest wait first: before a first request is whole, between requests, while
        # one comes in, and after the last answer.  Who waits for an answer is in none.
        self.fresh: OrderedDict[Client, None] = OrderedDict()
        self.idle: OrderedDict[Client, None] = OrderedDict()
        self.coming: OrderedDict[Client, None] = OrderedDict()
        self.ended: OrderedDict[Client, None] = OrderedDict()
        self.unread: dict[Client, float] = {}  # who does not read its answers, and since when
        self.ids: set[bytes] = set()  # of requests that are open
        self.held = 0
        self.stopping = False
        self.leaving = False  # no connection is kept behind its answer, though new ones are taken
        self.most_head, self.read_time, self.idle_time = MAX_HEAD, READ_TIMEOUT, IDLE_TIMEOUT
        self.server: asyncio.Server | None = None
        self.waiting: socket.socket | None = None  # listens, and nobody reads there yet
        self.timer = self.loop.call_later(SWEEP, self.sweep)
        self.told = host.told if host is not None else RefusalLog()

    def refusal(self, error: BadRequest) -> Answer:
        """The answer to what can't be taken; counted where that is for limits of this front door."""
        if error.status == 503:
            self.told.refused(GATEWAY)
        return self.front.refusal(error)

    def open(self) -> None:
        """Listen without reading: connections wait, whole, in the system's queue.  Raises OSError."""
        if self.waiting is None:
            self.waiting = socket.create_server((self.listen.host, self.listen.port), backlog=BACKLOG)

    async def start(self) -> None:
        """Take connections, those first that have waited since `open`.  Raises OSError."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            made = self.loop.create_server(lambda: self.client(self), sock=waiting, backlog=BACKLOG)
        else:
            made = self.loop.create_server(
                lambda: self.client(self), self.listen.host, self.listen.port, backlog=BACKLOG
            )
        self.server = await made

    def add(self, client: Client) -> None:
        self.clients.add(client)
        if len(self.clients) <= self.most_clients:
            return
        # Descriptors are bounded: one without a request gives way.  With none the new one is answered with
        # a refusal, as ending it at once could fail a request.
        victim = self.victim(client)
        if victim is None and len(self.clients) > self.most_clients + self.surplus:
            victim = client
        if victim is not None:
            self.clients.discard(victim)
            victim.abort()

    def victim(self, newest: Client) -> Client | None:
        """Whose connection is missed least; one that has just been opened may be about to ask."""
        now = time.monotonic()
        choices = (
            (self.ended, SILENT_AFTER), (self.fresh, SILENT_AFTER), (self.idle, SETTLED_AFTER),
            (self.ended, 0.0), (self.idle, 0.0), (self.fresh, 0.0),
        )  # fmt: skip
        for line, least in choices:
            first = next(iter(line), None)
            if first is not None and first is not newest and now - first.since >= least:
                return first
        return None

    def sweep(self) -> None:
        """End who has waited too long: says nothing, drips, stands idle or does not read."""
        late = BadRequest("the request did not come whole", 408)
        for line, most in ((self.fresh, self.read_time), (self.coming, self.read_time)):
            for client in self.overdue(line, most):
                # Bytes that came without a request, such as empty lines, are owed an answer too.
                client.reject(late) if client.arriving or client.stray else client.abort()
        # Room is made before it is needed: a burst of new ones must not end those that are about to ask.
        idle_most = self.idle_time if len(self.clients) < self.most_clients / 2 else SETTLED_AFTER
        for line, most in ((self.idle, idle_most), (self.ended, LINGER)):
            for client in self.overdue(line, most):
                client.abort()  # a close would wait for a client that never reads its last answer
        if self.front.half_close:  # on the platform others' time limits do for it
            slow = time.monotonic() - UNREAD_TIMEOUT
            for client in [c for c, since in self.unread.items() if since < slow]:
                client.abort()
        self.timer = self.loop.call_later(SWEEP, self.sweep)

    def overdue(self, line: OrderedDict[Client, None], most: float) -> Iterator[Client]:
        before = time.monotonic() - most
        while line and (client := next(iter(line))).since < before:
            client.stand(None)
            yield client

    def stop_listening(self) -> None:
        """No new connections; those that stand idle are closed, the others after their answers."""
        self.stopping = True
        if self.waiting is not None:
            self.waiting.close()
        if self.server is not None:
            self.server.close()
        for client in [*self.idle, *(c for c in self.fresh if not c.arriving)]:
            if client.transport is not None:
                client.transport.close()

    def close(self) -> None:
        self.timer.cancel()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
