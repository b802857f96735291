"""The HTTP/1.1 server for client connections: accepts them, and limits their number, times and memory."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import islice
from typing import TYPE_CHECKING

from ivymux.data_plane.client_connection import ClientConnection, Exchange
from ivymux.data_plane.closed_connections import ClosedConnections, unacknowledged_bytes
from ivymux.data_plane.frontend import Answer, BadRequest, Frontend
from ivymux.data_plane.limits import LISTEN_BACKLOG, Address, Bounds
from ivymux.data_plane.receive_queue import ReceiveQueue
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.data_plane.refusals import GATEWAY
from ivymux.data_plane.slow_readers import ReadProgress, readers_to_close, slowest

if TYPE_CHECKING:
    from ivymux.data_plane.host import Host

MAX_HEAD_BYTES = 16 * 1024
REQUEST_MEMORY_BYTES = 2 << 10  # of a request in progress, beside its head and its body
READ_TIMEOUT_S = 2.3  # to receive a complete request; the first one is timed from the connect
IDLE_TIMEOUT_S = 15.0  # of a keep-alive connection, while fewer than half of all connections are in use
LINGER_S = 3.0  # for a client to read the last answer on its connection
UNREAD_TIMEOUT_S = 30.0  # within which a client has to read anything of the answers in its write buffer
MAX_EVICTION_CANDIDATES = 32  # connections of a queue that are looked at
SWEEP_INTERVAL_S = 0.25  # between two checks of these timeouts
EVICTABLE_IDLE_S = 2.0  # idle time after which a connection may be closed in favour of a new one
EVICTABLE_SILENT_S = 0.1  # the same for one that sent no request yet or got its last answer
ACCEPTS_PER_STEP = 8  # further connections accepted in a step of the event loop while few are open


class Server:
    """One listening address, its client connections and their limits."""

    client_type: type[ClientConnection] = ClientConnection

    def __init__(self, frontend: Frontend, listen: Address, bounds: Bounds, host: Host | None) -> None:
        """`host`: receives the requests; None if a subclass selects a host for each request."""
        self.frontend, self.listen, self.host = frontend, listen, host
        self.max_clients, self.surplus_clients = bounds.max_clients, bounds.surplus_clients
        self.max_held_bytes = bounds.max_held_bytes  # of request bodies; requests beyond it are refused
        self.usual_held_bytes = bounds.max_held_bytes  # the same while answers take their whole share
        self.max_message_bytes = bounds.max_message_bytes
        self.answer_bytes: Callable[[], int] = self.unread_answer_bytes  # memory of all answers
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
        self.held_bytes = 0  # of request bodies
        self.receive_queue = ReceiveQueue(self.loop)
        self.head_bytes = 0  # memory of the heads and trailers that are being received
        self.max_total_head_bytes = bounds.max_total_head_bytes
        self.is_stopping = False
        self.closed_connections = ClosedConnections()  # by `stop_listening` and `close`
        self.closes_after_answer = False  # no keep-alive; new connections are still accepted
        self.max_head_bytes = MAX_HEAD_BYTES
        self.read_timeout, self.idle_timeout = READ_TIMEOUT_S, IDLE_TIMEOUT_S
        self.asyncio_server: asyncio.Server | None = None
        self.listener_copies: list[socket.socket] = []  # copies of its sockets, for `accept_further`
        self.accepting: set[asyncio.Task[None]] = set()
        self.listening_socket: socket.socket | None = None  # until connections are accepted from it
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_overdue)
        self.refusal_log = host.refusal_log if host is not None else RefusalLog()
        self.waiting_answers: Callable[[], int] = lambda: 0  # that wait for room among the unread ones
        # Called when clients may have read answers that waited.
        self.on_answers_read: Callable[[], None] = lambda: None

    def refusal(self, error: BadRequest) -> Answer:
        """Return the answer to a refused request; count it if the gateway's own limits are the cause."""
        if error.status == 503:
            self.refusal_log.record(GATEWAY)
        return self.frontend.refusal(error)

    def count_head(self, client: ClientConnection, size: int) -> None:
        """Count the memory of a connection's incomplete head, within the limit of all."""
        self.head_bytes += size - client.counted_head_bytes
        client.counted_head_bytes = size
        self.limit_heads()

    def limit_heads(self) -> None:
        """Refuse the incomplete requests with the largest heads while all take more than the limit."""
        while self.head_bytes > self.max_total_head_bytes:
            largest = max(self.clients, key=lambda other: other.counted_head_bytes, default=None)
            if largest is None or not largest.counted_head_bytes:
                return
            largest.reject(BadRequest("too much is held", 503))  # nothing has been executed

    def hold_request(self, exchange: Exchange, head_bytes: int) -> None:
        """Count the memory of a request, without its body, until it is released.

        Raises BadRequest if there is no room, even without the heads that are being received.
        """
        exchange.request_bytes = head_bytes + REQUEST_MEMORY_BYTES
        self.head_bytes += exchange.request_bytes
        self.limit_heads()
        if self.head_bytes > self.max_total_head_bytes:
            self.release_request(exchange)
            raise BadRequest("too much is held", 503)  # nothing has been executed

    def release_request(self, exchange: Exchange) -> None:
        """Stop counting a request; once more has no effect."""
        self.head_bytes -= exchange.request_bytes
        exchange.request_bytes = 0

    def body_room_bytes(self) -> int:
        """Return how much memory bodies may take: their usual share, and more where answers leave it."""
        usual = min(self.usual_held_bytes, self.max_held_bytes)
        if self.held_bytes <= usual:
            return usual
        return max(usual, min(self.max_held_bytes, self.max_message_bytes - self.answer_bytes()))

    def answer_room_bytes(self) -> int:
        """Return how much memory answers may take: their usual share, less what bodies have of it."""
        return min(self.max_held_answer_bytes, self.max_message_bytes - self.held_bytes)

    def limit_bodies(self, client: ClientConnection) -> None:
        """Refuse the incomplete requests with the longest bodies while all take more than the limit.

        Raises BadRequest if that of `client`, which has just grown, is one of them.
        """
        too_much = BadRequest("too much is held", 503)  # nothing has been executed
        while self.held_bytes > self.body_room_bytes():
            longest = max(self.clients, key=lambda other: other.held_bytes, default=client)
            if longest.held_bytes <= client.held_bytes:
                raise too_much
            longest.reject(too_much)

    def listen_without_accepting(self) -> None:
        """Listen, but leave connections and their bytes in the kernel's queue.  Raises OSError.

        Does nothing if the server listens already.
        """
        if self.listening_socket is None and self.asyncio_server is None:
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
        if self.is_stopping and client in self.new_clients and not client.has_begun:
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
            first = next(
                (client for client in candidates if not client.unsent_bytes and not client.waiting), None
            )
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
        self.limit_slow_readers()
        self.on_answers_read()
        self.close_readers_that_hold_others_up()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_overdue)

    def limit_slow_readers(self) -> None:
        """Close the slowest readers while their number, or the bytes that wait, exceed the limits."""
        now = time.monotonic()
        for client, progress in self.slow_readers.items():
            progress.update(now, client.unsent_bytes, client.held_answer_bytes)
        max_clients = self.frontend.max_unread_clients
        for client in slowest(self.slow_readers, now, max_clients, self.answer_room_bytes()):
            self.closed_slow_readers += 1
            client.abort()

    def close_readers_that_hold_others_up(self) -> None:
        """Close slow readers while answers to others wait for room."""
        for client in readers_to_close(self.slow_readers, time.monotonic(), self.waiting_answers()):
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

    def unread_answer_bytes(self) -> int:
        """Return the memory of the answers that clients with full write buffers have not read yet."""
        return sum(client.held_answer_bytes for client in self.slow_readers)

    def has_unsent_answers(self) -> bool:
        """Whether any client has not yet read all of its answers, as far as they are in this process."""
        return any(client.unsent_bytes for client in self.clients)

    def has_undelivered_answers(self) -> bool:
        """Whether any client's machine has not received all of its answers yet.

        What the kernel still holds is lost if this process's address goes with it.
        """
        return any(
            client.unsent_bytes or unacknowledged_bytes(client.transport)
            for client in self.clients
            if client.transport is not None
        )

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
        for client in [c for c in (*self.idle_clients, *self.new_clients) if not c.has_begun]:
            self.close_client(client)

    def close_client(self, client: ClientConnection) -> None:
        """Close a connection, once the answers on it are with the kernel."""
        if client.transport is not None and not client.transport.is_closing():
            self.closed_connections.record(client)
            client.transport.close()

    def close(self) -> None:
        self.sweep_timer.cancel()
        for client in list(self.clients):
            self.close_client(client)
