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
from ivymux.data_plane.limits import LISTEN_BACKLOG, Address, Bounds
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.data_plane.refusals import GATEWAY

if TYPE_CHECKING:
    from ivymux.data_plane.host import Host, OpenRequest

MAX_HEAD_BYTES = 16 * 1024
MAX_STRAY_BYTES = 1024  # bytes, such as empty lines, that belong to no request
MAX_PIPELINED = 4  # requests on one connection that wait for their answers
READ_TIMEOUT_S = 2.3  # seconds for a request to come whole, the first one counted from connecting
IDLE_TIMEOUT_S = 15.0  # seconds that a connection may stand idle, while there is room for it
LINGER_S = 3.0  # seconds that a client has to read the last answer on its connection
UNREAD_TIMEOUT_S = 30.0  # seconds that a client may take to read what waits for it
SWEEP_INTERVAL_S = 0.25  # seconds between looks at these times
EVICTABLE_IDLE_S = 2.0  # seconds without a request after which a connection may be closed for room
EVICTABLE_SILENT_S = 0.1  # and after which one that has asked nothing, or has its last answer, may be
MAX_DISCARD_BYTES = 1 << 20  # bytes read of a client that is being turned away, after which it has to pause
DISCARD_PAUSE_S = 0.01

log = logging.getLogger(__name__)


class Exchange:
    """One request on a client's connection and its answer, which waits for those before it."""

    __slots__ = ("answer", "call", "client", "held_bytes", "keep_alive", "request")

    def __init__(self, client: ClientConnection, keep_alive: bool) -> None:
        self.client, self.keep_alive = client, keep_alive
        self.answer: Answer | None = None
        self.request: OpenRequest | None = None
        self.call: Call | None = None
        self.held_bytes = 0

    def reply(self, answer: Answer) -> None:
        self.answer = answer
        self.client.write_answers()

    def release(self) -> None:
        """The request is over, also at the backends: what was kept for it is let go."""
        server = self.client.server
        server.held_bytes -= self.held_bytes
        self.held_bytes = 0
        if (call := self.call) is not None:
            server.open_keys.discard(call.unique_key)
            if call.on_finished is not None:
                call.on_finished()


class ClientConnection(asyncio.Protocol):
    """One client connection."""

    exchange_type: type[Exchange] = Exchange

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()
        self.queue: OrderedDict[ClientConnection, None] | None = (
            None  # the waiting line of `Server` that it is in
        )
        self.queued_at = 0.0  # and since when
        self.request_started_at = 0.0  # when the request that is coming in began
        self.is_receiving = False
        self.is_discarding = False  # nothing more is read as a request
        self.peer_address = ""  # the client's address
        self.has_sent_eof = False  # whether the client has ended its sending
        self.stray_bytes = 0
        self.held_bytes = 0  # bytes of a body that is coming in
        self.reset_request()

    def reset_request(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_headers = False
        self.head_bytes = 0
        self.body: list[bytes] = []

    def move_to_queue(self, line: OrderedDict[ClientConnection, None] | None) -> None:
        """Wait in a line, last, or in none."""
        if self.queue is not None:
            self.queue.pop(self, None)
        self.queue = line
        if line is not None:
            line[self] = None
            self.queued_at = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer_address = name[0] if name else ""
        self.move_to_queue(self.server.new_clients)
        self.server.add_client(self)

    def eof_received(self) -> bool:
        """A client that has ended its sending after a whole request may still be owed an answer."""
        if not (self.server.frontend.allows_half_close and self.exchanges):
            return False
        self.is_discarding = self.has_sent_eof = True
        self.is_receiving = False
        self.release_body()
        self.exchanges[-1].keep_alive = False
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.server.slow_readers.pop(self, None)
        self.move_to_queue(None)
        self.server.clients.discard(self)
        self.release_body()
        pending, self.exchanges = self.exchanges, deque()
        for exchange in pending:
            if exchange.request is not None:
                exchange.request.host.on_client_left(exchange.request)

    def release_body(self) -> None:
        self.server.held_bytes -= self.held_bytes
        self.held_bytes, self.body = 0, []

    # --- reading -----------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        self.stray_bytes += len(data)
        if self.is_discarding:
            self.limit_discarding()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(BadRequest("no upgrades here"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequest) else BadRequest("malformed request"))
        if self.stray_bytes > MAX_STRAY_BYTES and not self.is_receiving:
            self.reject(BadRequest("no request"))

    def limit_discarding(self) -> None:
        """Read on behind an error, as a reset on unread bytes could overtake it, but at a bounded pace."""
        if self.stray_bytes > MAX_DISCARD_BYTES and self.transport is not None:
            self.stray_bytes = 0
            self.transport.pause_reading()
            self.server.loop.call_later(DISCARD_PAUSE_S, self.resume_reading)

    def on_message_begin(self) -> None:
        if self.is_discarding:
            raise BadRequest("nothing more is read here")
        self.reset_request()
        self.request_started_at, self.is_receiving = time.monotonic(), True
        if self.queue is self.server.idle_clients:
            self.move_to_queue(self.server.receiving_clients)

    def count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.server.max_head_bytes:
            raise BadRequest("header too large", self.server.frontend.header_too_large_status)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_head_bytes(len(name) + len(value) + 4)
        if not self.has_headers:  # a trailer is no header: it could stand in for one that was left out
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.has_headers = True
        for name, value in self.headers:
            if name == b"content-length" and int(value) > self.server.frontend.max_body_bytes:
                raise BadRequest("body too large", 413)
            if (
                name == b"expect"
                and value.lower() == b"100-continue"
                and self.transport
                and not self.exchanges
            ):
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.held_bytes += len(body)
        self.server.held_bytes += len(body)
        if self.held_bytes > self.server.frontend.max_body_bytes:
            raise BadRequest("body too large", 413)
        if self.server.held_bytes > self.server.max_held_bytes:
            raise BadRequest("too much is held", 503)  # nothing has run: memory is bounded
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.is_receiving, self.stray_bytes = False, 0
        if len(self.exchanges) >= MAX_PIPELINED:
            # One read may hold hundreds of requests, each with an answer of 64 KiB to be kept for its turn.
            raise BadRequest("too many requests at once", 503)
        self.move_to_queue(None)
        exchange = self.exchange_type(self, self.parser.should_keep_alive())
        self.exchanges.append(exchange)
        try:
            self.handle_request(exchange)
        except BadRequest as error:
            exchange.keep_alive = exchange.keep_alive and not self.server.frontend.closes_after_refusal
            exchange.reply(self.server.refusal(error))
        except Exception:
            log.exception("a request could not be taken")
            if exchange.answer is None:
                exchange.reply(Answer(502))
        self.release_body()

    def handle_request(self, exchange: Exchange) -> None:
        server = self.server
        if (answer := server.frontend.answer_locally(self.url)) is not None:
            exchange.reply(answer)
            return
        if len(server.clients) > server.max_clients:
            exchange.keep_alive = False
            exchange.reply(server.refusal(BadRequest("too many connections", 503)))
            return
        call = server.frontend.accept(
            self.parser.get_method(),
            self.url,
            self.headers,
            self.body,
            self.request_started_at,
            self.peer_address,
        )
        if isinstance(call, Answer):
            exchange.reply(call)
            return
        if call.unique_key:
            if call.unique_key in server.open_keys:
                raise BadRequest("this Request-Id is open", 409)
            server.open_keys.add(call.unique_key)
        self.submit(exchange, call)

    def submit(self, exchange: Exchange, call: Call) -> None:
        """What was taken goes to the module, and its body with it."""
        exchange.call = call
        exchange.held_bytes, self.held_bytes = self.held_bytes, 0
        host = self.server.host
        assert host is not None
        exchange.request = host.submit(call, exchange.reply, exchange.release)

    # --- writing -----------------------------------------------------------------------------------

    def write_answers(self) -> None:
        while self.exchanges and (answer := self.exchanges[0].answer) is not None:
            exchange = self.exchanges.popleft()
            if self.transport is None or self.transport.is_closing():
                continue
            ends = self.server.is_stopping or self.server.closes_after_answer
            close = (
                not exchange.keep_alive or (ends and not self.exchanges) or answer.status == CLOSE_CONNECTION
            )
            self.transport.write(self.server.frontend.encode(answer, close, exchange.call))
            if close:
                self.end_sending()
                return
        if not self.exchanges and self.queue is None:
            self.move_to_queue(
                self.server.receiving_clients if self.is_receiving else self.server.idle_clients
            )

    def pause_writing(self) -> None:
        """Answers that a client does not read must not pile up here: no further requests until it does."""
        if self.transport is not None:
            self.transport.pause_reading()
        unread = self.server.slow_readers
        unread[self] = time.monotonic()
        if len(unread) > self.server.frontend.max_unread_clients:
            next(iter(unread)).abort()

    def resume_writing(self) -> None:
        self.server.slow_readers.pop(self, None)
        self.resume_reading()

    def resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def reject(self, error: BadRequest) -> None:
        """Answer what cannot be read as a request, behind the answers still owed, and end."""
        if not self.is_discarding:
            self.is_discarding, self.is_receiving = True, False
            self.release_body()
            if self.exchanges:
                self.move_to_queue(None)  # the answers before it have their own time limits
            exchange = Exchange(self, keep_alive=False)
            self.exchanges.append(exchange)
            exchange.reply(self.server.refusal(error))

    def end_sending(self) -> None:
        """End sending; read on for a moment, as a reset on unread bytes could overtake the answer."""
        self.is_discarding = True
        if self.transport is not None:
            self.transport.close() if self.has_sent_eof else self.transport.write_eof()
            self.move_to_queue(self.server.closing_clients)
            for exchange in self.exchanges:
                if exchange.request is not None:  # pipelined behind a last one: nobody waits for it
                    exchange.request.host.on_client_left(exchange.request)
            self.exchanges.clear()

    def abort(self) -> None:
        self.move_to_queue(None)
        if self.transport is not None:
            self.transport.abort()


class Server:
    client_type: type[ClientConnection] = ClientConnection

    def __init__(self, front: Frontend, listen: Address, bounds: Bounds, host: Host | None) -> None:
        """Without a host its clients name one for each request."""
        self.frontend, self.listen, self.host = front, listen, host
        self.max_clients, self.surplus_clients = bounds.max_clients, bounds.surplus_clients
        self.max_held_bytes = bounds.max_held_bytes  # bytes of bodies; beyond it requests are refused
        self.loop = asyncio.get_running_loop()
        self.clients: set[ClientConnection] = set()
        # Waiting lines, the longest wait first: before a first request is whole, between requests, while
        # one comes in, and after the last answer.  Who waits for an answer is in none.
        self.new_clients: OrderedDict[ClientConnection, None] = OrderedDict()
        self.idle_clients: OrderedDict[ClientConnection, None] = OrderedDict()
        self.receiving_clients: OrderedDict[ClientConnection, None] = OrderedDict()
        self.closing_clients: OrderedDict[ClientConnection, None] = OrderedDict()
        self.slow_readers: dict[ClientConnection, float] = {}  # who does not read its answers, and since when
        self.open_keys: set[bytes] = set()  # of requests that are open
        self.held_bytes = 0
        self.is_stopping = False
        self.closes_after_answer = False  # no connection is kept behind its answer, though new ones are taken
        self.max_head_bytes, self.read_timeout, self.idle_timeout = (
            MAX_HEAD_BYTES,
            READ_TIMEOUT_S,
            IDLE_TIMEOUT_S,
        )
        self.asyncio_server: asyncio.Server | None = None
        self.listening_socket: socket.socket | None = None  # listens, and nobody reads there yet
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_overdue)
        self.refusal_log = host.refusal_log if host is not None else RefusalLog()

    def refusal(self, error: BadRequest) -> Answer:
        """The answer to what can't be taken; counted where that is for limits of this front door."""
        if error.status == 503:
            self.refusal_log.record(GATEWAY)
        return self.frontend.refusal(error)

    def listen_without_accepting(self) -> None:
        """Listen without reading: connections wait, whole, in the system's queue.  Raises OSError."""
        if self.listening_socket is None:
            self.listening_socket = socket.create_server(
                (self.listen.host, self.listen.port), backlog=LISTEN_BACKLOG
            )

    async def start(self) -> None:
        """Take connections, those first that have waited since `open`.  Raises OSError."""
        waiting, self.listening_socket = self.listening_socket, None
        if waiting is not None:
            made = self.loop.create_server(
                lambda: self.client_type(self), sock=waiting, backlog=LISTEN_BACKLOG
            )
        else:
            made = self.loop.create_server(
                lambda: self.client_type(self), self.listen.host, self.listen.port, backlog=LISTEN_BACKLOG
            )
        self.asyncio_server = await made

    def add_client(self, client: ClientConnection) -> None:
        self.clients.add(client)
        if len(self.clients) <= self.max_clients:
            return
        # Descriptors are bounded: one without a request gives way.  With none the new one is answered with
        # a refusal, as ending it at once could fail a request.
        victim = self.client_to_evict(client)
        if victim is None and len(self.clients) > self.max_clients + self.surplus_clients:
            victim = client
        if victim is not None:
            self.clients.discard(victim)
            victim.abort()

    def client_to_evict(self, newest: ClientConnection) -> ClientConnection | None:
        """Whose connection is missed least; one that has just been opened may be about to ask."""
        now = time.monotonic()
        choices = (
            (self.closing_clients, EVICTABLE_SILENT_S), (self.new_clients, EVICTABLE_SILENT_S),
            (self.idle_clients, EVICTABLE_IDLE_S),
            (self.closing_clients, 0.0), (self.idle_clients, 0.0), (self.new_clients, 0.0),
        )  # fmt: skip
        for line, least in choices:
            first = next(iter(line), None)
            if first is not None and first is not newest and now - first.queued_at >= least:
                return first
        return None

    def close_overdue(self) -> None:
        """End who has waited too long: says nothing, drips, stands idle or does not read."""
        late = BadRequest("the request did not come whole", 408)
        for line, most in (
            (self.new_clients, self.read_timeout),
            (self.receiving_clients, self.read_timeout),
        ):
            for client in self.pop_overdue(line, most):
                # Bytes that came without a request, such as empty lines, are owed an answer too.
                client.reject(late) if client.is_receiving or client.stray_bytes else client.abort()
        # Room is made before it is needed: a burst of new ones must not end those that are about to ask.
        idle_most = self.idle_timeout if len(self.clients) < self.max_clients / 2 else EVICTABLE_IDLE_S
        for line, most in ((self.idle_clients, idle_most), (self.closing_clients, LINGER_S)):
            for client in self.pop_overdue(line, most):
                client.abort()  # a close would wait for a client that never reads its last answer
        if self.frontend.allows_half_close:  # on the platform others' time limits do for it
            slow = time.monotonic() - UNREAD_TIMEOUT_S
            for client in [c for c, since in self.slow_readers.items() if since < slow]:
                client.abort()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_overdue)

    def pop_overdue(
        self, line: OrderedDict[ClientConnection, None], most: float
    ) -> Iterator[ClientConnection]:
        before = time.monotonic() - most
        while line and (client := next(iter(line))).queued_at < before:
            client.move_to_queue(None)
            yield client

    def stop_listening(self) -> None:
        """No new connections; those that stand idle are closed, the others after their answers."""
        self.is_stopping = True
        if self.listening_socket is not None:
            self.listening_socket.close()
        if self.asyncio_server is not None:
            self.asyncio_server.close()
        for client in [*self.idle_clients, *(c for c in self.new_clients if not c.is_receiving)]:
            if client.transport is not None:
                client.transport.close()

    def close(self) -> None:
        self.sweep_timer.cancel()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
