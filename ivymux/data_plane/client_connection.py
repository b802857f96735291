"""One HTTP/1.1 client connection: parses requests, writes answers in the order of the requests."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import OrderedDict, deque
from enum import Enum, auto
from typing import TYPE_CHECKING, cast

import httptools

from ivymux.data_plane.body_buffer import BodyBuffer, total_length
from ivymux.data_plane.frontend import CLOSE_CONNECTION, Answer, BadRequest, Call
from ivymux.data_plane.piece_writer import write_pieces
from ivymux.data_plane.slow_readers import ReadProgress

if TYPE_CHECKING:
    from ivymux.data_plane.host import OpenRequest
    from ivymux.data_plane.server import Server

MAX_STRAY_BYTES = 1024  # received outside of requests, such as empty lines
MAX_PIPELINED = 4  # unanswered requests on one connection
SLICE_BYTES = 4 << 10  # parsed at a time, so that a parser holds no more than this before it is counted
# Of one connection within DIRECT_WINDOW_S that are parsed as they arrive; the rest waits for turns.
MAX_DIRECT_BYTES = 64 << 10
MAX_DIRECT_BYTES_BESIDE_OTHERS = 8 << 10  # while other connections wait for turns
DIRECT_WINDOW_S = 0.05
REQUEST_COST_BYTES = 512  # as which a complete request counts towards these
HEADER_MEMORY_BYTES = 160  # of a header that was parsed, beside its name and value
MAX_DISCARD_BYTES = 1 << 20  # read from a refused client before reading pauses
DISCARD_PAUSE_S = 0.01

log = logging.getLogger(__name__)


class Pause(Enum):
    """Why nothing is read from a client."""

    WRITING = auto()  # it does not read its answers
    TURN = auto()  # what it sent before waits to be parsed
    DISCARDING = auto()  # it was refused, and sends on


class Exchange:
    """One request on a client connection and its answer, which is written after all earlier answers."""

    __slots__ = ("answer", "call", "client", "held_bytes", "keep_alive", "request", "request_bytes")

    def __init__(self, client: ClientConnection, keep_alive: bool) -> None:
        self.client, self.keep_alive = client, keep_alive
        self.answer: Answer | None = None
        self.request: OpenRequest | None = None
        self.call: Call | None = None
        self.held_bytes = 0  # of its body
        self.request_bytes = 0  # memory of the rest of the request, while it is in progress

    def reply(self, answer: Answer) -> None:
        self.answer = answer
        self.client.write_answers()

    def release(self) -> None:
        """Free what the request held; called once it is answered and has no attempts in flight."""
        server = self.client.server
        server.held_bytes -= self.held_bytes
        self.held_bytes = 0
        server.release_request(self)
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
        self.unparsed_bytes = 0  # since the last part of a body or end of a request; the parser may hold them
        self.has_parsed = False  # whether the slice that is being parsed held such a part or end
        self.counted_head_bytes = 0  # memory of an incomplete head or trailer, as the server counts it
        self.waiting = memoryview(b"")  # received, and not parsed yet
        self.waiting_memory_bytes = 0  # of the buffer that holds them
        self.has_turn = False  # whether the connection is in the queue for turns
        self.window_start, self.window_bytes = 0.0, 0  # of DIRECT_WINDOW_S, and what it has parsed in it
        self.pauses: set[Pause] = set()  # reasons for which nothing is read
        self.reset_request()

    @property
    def has_begun(self) -> bool:
        """Whether part of a request has arrived."""
        return self.is_receiving or bool(self.waiting)

    def reset_request(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_headers = False
        self.head_bytes = 0
        self.body = BodyBuffer()

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
        self.release_head()
        self.exchanges[-1].keep_alive = False
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.server.slow_readers.pop(self, None)
        self.move_to_queue(None)
        self.server.clients.discard(self)
        self.release_body()
        self.drop_waiting()
        self.server.count_head(self, 0)
        del self.parser  # the parser and this connection refer to each other
        unanswered, self.exchanges = self.exchanges, deque()
        for exchange in unanswered:
            if exchange.request is not None:
                exchange.request.host.on_client_left(exchange.request)

    def release_body(self) -> None:
        """Drop the body that is being received, and stop counting its bytes."""
        self.server.held_bytes -= self.held_bytes
        self.held_bytes, self.body = 0, BodyBuffer()

    def release_head(self) -> None:
        """Drop the head that is being received, with what the parser holds, and what waits for a turn."""
        self.waiting, self.waiting_memory_bytes = memoryview(b""), 0
        self.resume_reading(Pause.TURN)
        self.headers, self.parser = [], httptools.HttpRequestParser(self)
        self.server.count_head(self, 0)

    # --- reading -----------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        self.stray_bytes += len(data)
        if self.is_discarding:
            self.limit_discarding()
            return
        if self.waiting or not self.is_parsed_at_once(len(data)):
            self.wait_for_turn(data)
        else:
            self.feed_parser(data)
            self.limit_stray_bytes()

    def limit_stray_bytes(self) -> None:
        if self.stray_bytes > MAX_STRAY_BYTES and not self.is_receiving and not self.waiting:
            self.reject(BadRequest("no request"))

    def is_parsed_at_once(self, size: int) -> bool:
        """Whether bytes that have arrived need not wait for a turn; counts them."""
        now = self.server.loop.time()
        if now - self.window_start > DIRECT_WINDOW_S:
            self.window_start, self.window_bytes = now, 0
        self.window_bytes += size
        others_wait = self.server.receive_queue.waiting
        return self.window_bytes <= (MAX_DIRECT_BYTES_BESIDE_OTHERS if others_wait else MAX_DIRECT_BYTES)

    def wait_for_turn(self, data: bytes) -> None:
        """Keep bytes until their turn, and read no more until then."""
        self.waiting = memoryview(bytes(self.waiting) + data if self.waiting else data)
        self.waiting_memory_bytes = len(self.waiting)
        self.pause_reading(Pause.TURN)
        self.take_turns()
        self.server.count_head(self, self.head_memory_bytes())

    def take_turns(self) -> None:
        """Queue for turns if there are bytes to parse."""
        if self.waiting and not self.has_turn:
            self.has_turn = True
            self.server.receive_queue.add(self)

    def parse_next(self) -> bool:
        """Parse the next slice of the bytes that wait; return whether to go on with the next turn."""
        if self.transport is None or self.is_discarding:
            self.drop_waiting()
        elif Pause.WRITING not in self.pauses:
            piece, self.waiting = self.waiting[:SLICE_BYTES], self.waiting[SLICE_BYTES:]
            self.feed_parser(piece)
            self.limit_stray_bytes()
            if not self.waiting:
                self.drop_waiting()
        self.has_turn = bool(self.waiting) and Pause.WRITING not in self.pauses
        return self.has_turn

    def drop_waiting(self) -> None:
        """Forget bytes that wait, or that were all parsed; read again."""
        self.waiting, self.waiting_memory_bytes = memoryview(b""), 0
        if self.transport is not None:
            self.server.count_head(self, self.head_memory_bytes())
        self.resume_reading(Pause.TURN)

    def feed_parser(self, data: bytes | memoryview) -> None:
        """Parse bytes of requests in slices; between two, limit and count what the parser may hold."""
        if len(data) <= SLICE_BYTES:
            self.parse_slice(data)
        else:
            view = memoryview(data)
            for start in range(0, len(data), SLICE_BYTES):
                if self.is_discarding:
                    break
                self.parse_slice(view[start : start + SLICE_BYTES])
        if self.is_receiving or self.counted_head_bytes:
            self.server.count_head(self, self.head_memory_bytes())

    def parse_slice(self, data: bytes | memoryview) -> None:
        """Parse a slice; a request that offers an upgrade is answered without it (RFC 9110, 7.8)."""
        self.has_parsed = False
        size = len(data)
        while data and not self.is_discarding:
            try:
                self.parser.feed_data(data)
                break
            except httptools.HttpParserUpgrade as upgrade:
                self.parser = httptools.HttpRequestParser(self)
                data = data[upgrade.args[0] :]
            except httptools.HttpParserError as error:
                cause = error.__context__
                self.reject(cause if isinstance(cause, BadRequest) else BadRequest("malformed request"))
        self.unparsed_bytes = 0 if self.has_parsed else self.unparsed_bytes + size
        if self.is_receiving and self.unparsed_bytes > self.server.max_head_bytes + SLICE_BYTES:
            self.reject(BadRequest("header too large", self.server.frontend.header_too_large_status))

    def head_memory_bytes(self) -> int:
        """The memory of the head or trailer that is being received, and of bytes that wait for a turn."""
        if not self.is_receiving:
            return self.waiting_memory_bytes
        return (
            self.waiting_memory_bytes
            + self.unparsed_bytes
            + self.head_bytes
            + HEADER_MEMORY_BYTES * len(self.headers)
        )

    def limit_discarding(self) -> None:
        """Pause reading after `MAX_DISCARD_BYTES`.

        Bytes after a rejected request are read, as unread ones make the kernel send a reset that could
        overtake the answer; the pauses bound the effort.
        """
        if self.stray_bytes > MAX_DISCARD_BYTES and self.transport is not None:
            self.stray_bytes = 0
            self.pause_reading(Pause.DISCARDING)
            # In proportion to their number, so that all of them together take the same share of the time.
            pause_s = DISCARD_PAUSE_S * max(1, len(self.server.closing_clients))
            self.server.loop.call_later(pause_s, self.resume_reading, Pause.DISCARDING)

    def on_message_begin(self) -> None:
        if self.is_discarding:
            raise BadRequest("nothing more is read here")
        self.reset_request()
        self.has_parsed = True
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
        self.has_parsed = True
        self.count_body(self.body.append(body))
        if self.body.length > self.server.frontend.max_body_bytes:
            raise BadRequest("body too large", 413)

    def count_body(self, size: int) -> None:
        """Count memory that the body takes more than before.  Raises BadRequest beyond the limit."""
        self.held_bytes += size
        self.server.held_bytes += size
        self.server.limit_bodies(self)

    def on_message_complete(self) -> None:
        self.is_receiving, self.has_parsed, self.stray_bytes = False, True, 0
        self.window_bytes += REQUEST_COST_BYTES
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
        self.headers = []  # many short ones take much more than their text

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
            self.body.blocks,
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
        self.server.hold_request(exchange, self.head_bytes)
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
            pieces = self.server.frontend.encode(answer, close, exchange.call)
            exchange.answer = None  # its body is not kept until the request is collected
            self.note_written(total_length(pieces))
            write_pieces(self.transport, pieces)
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
        self.pause_reading(Pause.WRITING)
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
        self.resume_reading(Pause.WRITING)
        self.take_turns()
        self.server.on_answers_read()

    def pause_reading(self, reason: Pause) -> None:
        """Leave further bytes to the kernel, whose buffers hold the client up, until the reason has ended."""
        self.pauses.add(reason)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self, reason: Pause) -> None:
        """Read again if there is no other reason for a pause."""
        if reason not in self.pauses:
            return
        self.pauses.discard(reason)
        if not self.pauses and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def reject(self, error: BadRequest) -> None:
        """Refuse bytes that can't be parsed as a request, after the answers still due, and close."""
        if not self.is_discarding:
            self.is_discarding, self.is_receiving = True, False
            self.release_body()
            self.release_head()
            if self.exchanges:
                self.move_to_queue(None)  # the requests before this answer have their own deadlines
            exchange = Exchange(self, keep_alive=False)
            self.exchanges.append(exchange)
            exchange.reply(self.server.refusal(error))

    def end_sending(self) -> None:
        """Close the sending side; keep reading for up to `server.LINGER_S`.

        Unread bytes would make the kernel send a reset, which could overtake the last answer.
        """
        self.is_discarding = True
        if self.is_receiving:
            self.is_receiving = False
            self.release_body()
            self.release_head()
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
