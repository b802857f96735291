"""The HTTP/1.1 server for client connections: reads requests, writes answers in order, limits resources."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from itertools import islice
from typing import TYPE_CHECKING, cast

import httptools

from ivymux.data_plane.frontend import CLOSE_CONNECTION, Answer, BadRequest, Call, Frontend
from ivymux.data_plane.limits import LISTEN_BACKLOG, Address, Bounds
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.data_plane.refusals import GATEWAY
from ivymux.data_plane.slow_readers import ReadProgress, slowest

if TYPE_CHECKING:
    from ivymux.data_plane.host import Host, OpenRequest

MAX_HEAD_BYTES = 16 * 1024
MAX_STRAY_BYTES = 1024  # received outside of requests, such as empty lines
MAX_PIPELINED = 4  # unanswered requests on one connection
READ_TIMEOUT_S = 2.3  # to receive a complete request; the first one is timed from the connect
IDLE_TIMEOUT_S = 15.0  # of a keep-alive connection, while fewer than half of all connections are in use
LINGER_S = 3.0  # for a client to read the last answer on its connection
UNREAD_TIMEOUT_S = 30.0  # within which a client has to read anything of the answers in its write buffer
MAX_EVICTION_CANDIDATES = 32  # connections of a queue that are looked at
SWEEP_INTERVAL_S = 0.25  # between two checks of these timeouts
EVICTABLE_IDLE_S = 2.0  # idle time after which a connection may be closed in favour of a new one
EVICTABLE_SILENT_S = 0.1  # the same for one that sent no request yet or got its last answer
MAX_DISCARD_BYTES = 1 << 20  # read from a refused client before reading pauses
DISCARD_PAUSE_S = 0.01
ACCEPTS_PER_STEP = 8  # further connections accepted in a step of the event loop while few are open

log = logging.getLogger(__name__)


class Exchange:
    """One request on a client connection and its answer, which is written after all earlier answers."""

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
        """Free what the request held; called once it is answered and has no attempts in flight."""
        server = self.client.server
        server.held_bytes -= self.held_bytes
        self.held_bytes = 0
        if (call := self.call) is not None:
            server.open_keys.discard(call.unique_key)
            if call.on_finished is not None:
                call.on_finished()


class ClientConnection(asyncio.Protocol):
    """One client connection with its parser and its pipelined requests."""

    exchange_type: type[Exchange] = Exchange

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()  # whose answers are not written yet, in request order
        self.queue: OrderedDict[ClientConnection, None] | None = None  # of `Server`, ordered by `queued_at`
        self.queued_at = 0.0
        self.request_started_at = 0.0  # when the first byte of the current request was received
        self.is_receiving = False  # whether a request is incomplete
        self.is_discarding = False  # whether further bytes are read but not parsed
        self.answer_sizes: deque[int] = deque()  # bytes of the answers that are written, the last ones
        self.peer_address = ""
        self.has_sent_eof = False  # whether the client has closed its sending side
        self.stray_bytes = 0  # since the last complete request
        self.held_bytes = 0  # of the body that is being received
        self.reset_request()

    def reset_request(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_headers = False
        self.head_bytes = 0
        self.body: list[bytes] = []

    def move_to_queue(self, queue: OrderedDict[ClientConnection, None] | None) -> None:
        """Leave the current queue and append the connection to another one, if any."""
        if self.queue is not None:
            self.queue.pop(self, None)
        self.queue = queue
        if queue is not None:
            queue[self] = None
            self.queued_at = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self.transport = transport
        name = transport.get_extra_info("peername")
        self.peer_address = name[0] if name else ""
        self.move_to_queue(self.server.new_clients)
        self.server.add_client(self)

    def eof_received(self) -> bool:
        """Keep a half-closed connection open if requests on it are still unanswered."""
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
        unanswered, self.exchanges = self.exchanges, deque()
        for exchange in unanswered:
            if exchange.request is not None:
                exchange.request.host.on_client_left(exchange.request)

    def release_body(self) -> None:
        """Drop the body that is being received, and stop counting its bytes."""
        self.server.held_bytes -= self.held_bytes
        self.held_bytes, self.body = 0, []

    # --- reading -----------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        self.stray_bytes += len(data)
        if self.is_discarding:
            self.limit_discarding()
            return
        self.feed_parser(data)
        if self.stray_bytes > MAX_STRAY_BYTES and not self.is_receiving:
            self.reject(BadRequest("no request"))

    def feed_parser(self, data: bytes) -> None:
        """Parse bytes of requests; one that offers an upgrade is answered without it (RFC 9110, 7.8)."""
        while data and not self.is_discarding:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                self.parser = httptools.HttpRequestParser(self)
                data = data[upgrade.args[0] :]
            except httptools.HttpParserError as error:
                cause = error.__context__
                self.reject(cause if isinstance(cause, BadRequest) else BadRequest("malformed request"))

    def limit_discarding(self) -> None:
        """Pause reading after `MAX_DISCARD_BYTES`.

        Bytes after a rejected request are read, as unread ones make the kernel send a reset that could
        overtake the answer; the pauses bound the effort.
        """
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
        """Raise BadRequest if the request line and headers are too large."""
        self.head_bytes += size
        if self.head_bytes > self.server.max_head_bytes:
            raise BadRequest("header too large", self.server.frontend.header_too_large_status)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_head_bytes(len(name) + len(value) + 4)
        if not self.has_headers:  # trailers are dropped: they must not replace a missing header
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.has_headers = True
        if self.parser.get_method() == b"CONNECT":
            raise BadRequest("no tunnels here")
        for name, value in self.headers:
            if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                # The body would reach a backend without the header that says how to decode it.
                raise BadRequest("no transfer encoding but chunked", 501)
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
            raise BadRequest("too much is held", 503)  # nothing has been executed
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.is_receiving, self.stray_bytes = False, 0
        if len(self.exchanges) >= MAX_PIPELINED:
            # One read may hold hundreds of requests, and each answer of up to 64 KiB waits for its turn.
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
            log.exception("a request could not be handled")
            if exchange.answer is None:
                exchange.reply(Answer(502))
        self.release_body()

    def handle_request(self, exchange: Exchange) -> None:
        """Answer a complete request or pass it to the host.  Raises BadRequest."""
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
        """Pass an accepted request to the host; its body is then counted by the exchange."""
        exchange.call = call
        exchange.held_bytes, self.held_bytes = self.held_bytes, 0
        host = self.server.host
        assert host is not None
        exchange.request = host.submit(call, exchange.reply, exchange.release)

    # --- writing -----------------------------------------------------------------------------------

    def write_answers(self) -> None:
        """Write all answers that are due, in the order of their requests."""
        while self.exchanges and (answer := self.exchanges[0].answer) is not None:
            exchange = self.exchanges.popleft()
            if self.transport is None or self.transport.is_closing():
                continue
            server_ends = self.server.is_stopping or self.server.closes_after_answer
            is_last = server_ends and not self.exchanges
            close = not exchange.keep_alive or is_last or answer.status == CLOSE_CONNECTION
            data = self.server.frontend.encode(answer, close, exchange.call)
            exchange.answer = None  # its body is not kept until the request is collected
            self.note_written(len(data))
            self.transport.write(data)
            if close:
                self.end_sending()
                return
        if not self.exchanges and self.queue is None:
            self.move_to_queue(
                self.server.receiving_clients if self.is_receiving else self.server.idle_clients
            )

    @property
    def unsent_bytes(self) -> int:
        """The bytes of answers that wait for the client to read; 0 once all are with the kernel."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def note_written(self, size: int) -> None:
        """Note that an answer of `size` bytes is written next."""
        if not self.unsent_bytes:
            self.answer_sizes.clear()
        self.answer_sizes.append(size)

    @property
    def held_answer_bytes(self) -> int:
        """The memory of answers that wait for the client; each is held whole until its last byte is sent."""
        unsent_bytes, held_bytes = self.unsent_bytes, sum(self.answer_sizes)
        while self.answer_sizes and held_bytes - self.answer_sizes[0] >= unsent_bytes:
            held_bytes -= self.answer_sizes.popleft()
        return held_bytes

    def pause_writing(self) -> None:
        """Read no further requests from a client that does not read its answers, to bound the buffer."""
        if self.transport is not None:
            self.transport.pause_reading()
        self.watch_reading()
        self.server.limit_slow_readers()

    def watch_reading(self) -> None:
        """Watch from now on whether the client reads its answers, unless it is watched already."""
        if self not in self.server.slow_readers:
            self.server.slow_readers[self] = ReadProgress(
                time.monotonic(), self.unsent_bytes, self.held_answer_bytes
            )

    def resume_writing(self) -> None:
        self.server.slow_readers.pop(self, None)
        self.resume_reading()

    def resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def reject(self, error: BadRequest) -> None:
        """Refuse bytes that can't be parsed as a request, after the answers still due, and close."""
        if not self.is_discarding:
            self.is_discarding, self.is_receiving = True, False
            self.release_body()
            if self.exchanges:
                self.move_to_queue(None)  # the requests before this answer have their own deadlines
            exchange = Exchange(self, keep_alive=False)
            self.exchanges.append(exchange)
            exchange.reply(self.server.refusal(error))

    def end_sending(self) -> None:
        """Close the sending side; keep reading for up to `LINGER_S`.

        Unread bytes would make the kernel send a reset, which could overtake the last answer.
        """
        self.is_discarding = True
        if self.transport is not None:
            self.transport.close() if self.has_sent_eof else self.transport.write_eof()
            self.move_to_queue(self.server.closing_clients)
            for exchange in self.exchanges:
                if exchange.request is not None:  # pipelined after the last answered request
                    exchange.request.host.on_client_left(exchange.request)
            self.exchanges.clear()

    def abort(self) -> None:
        self.move_to_queue(None)
        if self.transport is not None:
            self.transport.abort()


class Server:
    """One listening address, its client connections and their limits."""

    client_type: type[ClientConnection] = ClientConnection

    def __init__(self, frontend: Frontend, listen: Address, bounds: Bounds, host: Host | None) -> None:
        """`host`: receives the requests; None if a subclass selects a host for each request."""
        self.frontend, self.listen, self.host = frontend, listen, host
        self.max_clients, self.surplus_clients = bounds.max_clients, bounds.surplus_clients
        self.max_held_bytes = bounds.max_held_bytes  # of request bodies; requests beyond it are refused
        self.max_held_answer_bytes = bounds.max_held_answer_bytes  # of answers that clients have not read yet
        self.closed_slow_readers = 0  # since the start, to keep within that
        self.loop = asyncio.get_running_loop()
        self.clients: set[ClientConnection] = set()
        # Queues of connections, each in the order in which connections entered it.  A connection is in at
        # most one of them; while it waits for an answer it is in none.
        self.new_clients: OrderedDict[ClientConnection, None] = OrderedDict()  # no complete request yet
        self.idle_clients: OrderedDict[ClientConnection, None] = OrderedDict()  # between two requests
        self.receiving_clients: OrderedDict[ClientConnection, None] = OrderedDict()  # within a request
        self.closing_clients: OrderedDict[ClientConnection, None] = OrderedDict()  # after the last answer
        self.slow_readers: dict[ClientConnection, ReadProgress] = {}  # whose write buffers are full
        self.open_keys: set[bytes] = set()  # of requests that are not finished
        self.held_bytes = 0
        self.is_stopping = False
        self.closes_after_answer = False  # no keep-alive; new connections are still accepted
        self.max_head_bytes = MAX_HEAD_BYTES
        self.read_timeout, self.idle_timeout = READ_TIMEOUT_S, IDLE_TIMEOUT_S
        self.asyncio_server: asyncio.Server | None = None
        self.listener_copies: list[socket.socket] = []  # copies of its sockets, for `accept_further`
        self.accepting: set[asyncio.Task[None]] = set()
        self.listening_socket: socket.socket | None = None  # until connections are accepted from it
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_overdue)
        self.refusal_log = host.refusal_log if host is not None else RefusalLog()

    def refusal(self, error: BadRequest) -> Answer:
        """Return the answer to a refused request; count it if the gateway's own limits are the cause."""
        if error.status == 503:
            self.refusal_log.record(GATEWAY)
        return self.frontend.refusal(error)

    def listen_without_accepting(self) -> None:
        """Listen, but leave connections and their bytes in the kernel's queue.  Raises OSError."""
        if self.listening_socket is None:
            self.listening_socket = socket.create_server(
                (self.listen.host, self.listen.port), backlog=LISTEN_BACKLOG
            )

    async def start(self) -> None:
        """Accept connections, beginning with those queued since `listen_without_accepting`.

        Raises OSError.
        """
        listening_socket, self.listening_socket = self.listening_socket, None
        if listening_socket is not None:
            server = self.loop.create_server(
                lambda: self.client_type(self), sock=listening_socket, backlog=LISTEN_BACKLOG
            )
        else:
            server = self.loop.create_server(
                lambda: self.client_type(self), self.listen.host, self.listen.port, backlog=LISTEN_BACKLOG
            )
        self.asyncio_server = await server
        for listening in self.asyncio_server.sockets:
            copy = socket.fromfd(listening.fileno(), listening.family, listening.type)
            copy.setblocking(False)
            self.listener_copies.append(copy)
            # By `call_soon`, so that uvloop accepts first: for a single connection that costs less.
            self.loop.add_reader(copy, self.loop.call_soon, self.accept_further, copy)

    def accept_further(self, listening: socket.socket) -> None:
        """Accept further connections of a burst; uvloop itself accepts one in each step of the event loop.

        Otherwise the last of n connections would wait for n steps, each of which also serves requests of
        earlier connections.  While more than half of `max_clients` are open, only uvloop accepts: a
        connection whose request is not read yet could be evicted in favour of the next ones.
        """
        room = self.max_clients // 2 - len(self.clients) - len(self.accepting)
        for _ in range(min(ACCEPTS_PER_STEP, room)):
            try:
                accepted, _ = listening.accept()
            except OSError:  # there are no more, or there is no descriptor left
                return
            task = self.loop.create_task(self.add_accepted(accepted))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    async def add_accepted(self, accepted: socket.socket) -> None:
        """Serve a connection that `accept_further` accepted."""
        try:
            accepted.setblocking(False)
            _, client = await self.loop.connect_accepted_socket(lambda: self.client_type(self), accepted)
        except OSError:  # the client has disconnected
            accepted.close()
            return
        if self.is_stopping and client in self.new_clients and not client.is_receiving:
            client.abort()

    def add_client(self, client: ClientConnection) -> None:
        """Add a connection; if there are too many, close the one whose closing does the least harm."""
        self.clients.add(client)
        if len(self.clients) <= self.max_clients:
            return
        # Descriptors are limited, so a connection without a request is closed.  If there is none, the new
        # connection is kept and its request refused, as closing it at once could fail that request.
        victim = self.client_to_evict(client)
        if victim is None and len(self.clients) > self.max_clients + self.surplus_clients:
            victim = client
        if victim is not None:
            self.clients.discard(victim)
            victim.abort()

    def client_to_evict(self, newest: ClientConnection) -> ClientConnection | None:
        """Return the connection whose closing does the least harm, if there is one.

        A connection that was opened or used a moment ago is closed last: it may be about to send a request.
        """
        now = time.monotonic()
        choices = (
            (self.closing_clients, EVICTABLE_SILENT_S), (self.new_clients, EVICTABLE_SILENT_S),
            (self.idle_clients, EVICTABLE_IDLE_S),
            (self.closing_clients, 0.0), (self.idle_clients, 0.0), (self.new_clients, 0.0),
        )  # fmt: skip
        for queue, min_wait_s in choices:
            candidates = islice(queue, MAX_EVICTION_CANDIDATES)
            first = next((client for client in candidates if not client.unsent_bytes), None)
            if first is not None and first is not newest and now - first.queued_at >= min_wait_s:
                return first
        return None

    def close_overdue(self) -> None:
        """Close connections whose client has exceeded a timeout for sending, idling or reading.

        A connection is idle, or lingers, from when its last answer is sent: clients may read slowly.
        """
        late = BadRequest("the request did not come whole", 408)
        for queue, timeout in (
            (self.new_clients, self.read_timeout),
            (self.receiving_clients, self.read_timeout),
        ):
            for client in self.pop_overdue(queue, timeout):
                # A client that sent bytes outside of a request, such as empty lines, gets an answer too.
                client.reject(late) if client.is_receiving or client.stray_bytes else client.abort()
        # Free descriptors early: a burst of new connections must not evict clients about to send a request.
        is_half_full = len(self.clients) >= self.max_clients / 2
        max_idle_s = EVICTABLE_IDLE_S if is_half_full else self.idle_timeout
        for queue, timeout in ((self.idle_clients, max_idle_s), (self.closing_clients, LINGER_S)):
            for client in list(self.pop_overdue(queue, timeout)):
                if client.unsent_bytes:
                    client.watch_reading()
                    client.move_to_queue(queue)
                else:
                    client.abort()
        self.close_stalled_readers()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_overdue)

    def limit_slow_readers(self) -> None:
        """Close the slowest readers while their number, or the bytes that wait, exceed the limits."""
        now = time.monotonic()
        for client, progress in self.slow_readers.items():
            progress.update(now, client.unsent_bytes, client.held_answer_bytes)
        max_clients = self.frontend.max_unread_clients
        for client in slowest(self.slow_readers, now, max_clients, self.max_held_answer_bytes):
            self.closed_slow_readers += 1
            client.abort()

    def close_stalled_readers(self) -> None:
        """Close connections whose client has read nothing of its answers for UNREAD_TIMEOUT_S."""
        now = time.monotonic()
        for client, progress in list(self.slow_readers.items()):
            progress.update(now, client.unsent_bytes, client.held_answer_bytes)
            if not progress.unsent_bytes:
                del self.slow_readers[client]
            elif now - progress.at > UNREAD_TIMEOUT_S:
                client.abort()

    def has_unsent_answers(self) -> bool:
        """Whether any client has not yet read all of its answers, as far as they are in this process."""
        return any(client.unsent_bytes for client in self.clients)

    def pop_overdue(
        self, queue: OrderedDict[ClientConnection, None], timeout: float
    ) -> Iterator[ClientConnection]:
        """Remove and return the connections that have been in a queue for longer than `timeout` seconds."""
        latest = time.monotonic() - timeout
        while queue and (client := next(iter(queue))).queued_at < latest:
            client.move_to_queue(None)
            yield client

    def stop_listening(self) -> None:
        """Accept no connections; close idle ones now and the others after their answers."""
        self.is_stopping = True
        if self.listening_socket is not None:
            self.listening_socket.close()
        if self.asyncio_server is not None:
            self.asyncio_server.close()
        for copy in self.listener_copies:
            self.loop.remove_reader(copy)
            copy.close()
        self.listener_copies = []
        for client in [*self.idle_clients, *(c for c in self.new_clients if not c.is_receiving)]:
            if client.transport is not None:
                client.transport.close()

    def close(self) -> None:
        self.sweep_timer.cancel()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
