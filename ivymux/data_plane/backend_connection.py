"""One HTTP/1.1 connection to a backend, and the answers that arrive on it."""

from __future__ import annotations

import asyncio
import logging
import re
import select
import time
from typing import TYPE_CHECKING, cast

import httptools

from ivymux.data_plane.answer_policy import has_no_body
from ivymux.data_plane.attempt import Attempt, Result
from ivymux.data_plane.body_buffer import MIN_LONG_BODY_BYTES, BodyBuffer
from orchidhill.interface import Outcome

if TYPE_CHECKING:
    from ivymux.data_plane.upstream import ConnectionPool

MAX_HEAD_BYTES = 16 * 1024  # of an answer's header section, including interim answers
SLICE_BYTES = 16 << 10  # parsed at a time, so that a parser holds no more than this before it is counted
MAX_UNPARSED_BYTES = MAX_HEAD_BYTES + SLICE_BYTES  # without a part of a body, such as a trailer
MAX_CHUNKED_OVERHEAD = 8  # bytes on the wire for each byte of body, as a chunk may hold a single byte
STATUS_LINE_START = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9][ \r]")
HEAD_END = b"\r\n\r\n"
SECOND_STATUS_LINE = "another answer begins within the header section"
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})", re.ASCII | re.IGNORECASE)

log = logging.getLogger(__name__)


class InvalidAnswer(Exception):
    """The bytes read are not a valid answer to the attempt; stops the parser."""


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it serves one attempt at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.policy = pool.upstream.answer_policy
        self.idle_since = 0.0
        self.has_unsent_bytes = False  # whether part of the request is still in the write buffer
        self.parser = httptools.HttpResponseParser(self)
        self.poller = select.poll()
        self.body_bytes = 0  # of the answer that is being received
        self.waiting = memoryview(b"")  # received, and not parsed yet
        self.is_paused = False  # while too many bytes of answers are held
        self.had_mismatch = False  # whether the answer to an earlier request was received instead
        self.keep_alive_s = 0.0  # idle timeout that the backend announced; 0 if none
        self.reset()

    def reset(self) -> None:
        """Prepare for the answer to the next request."""
        self.unparsed_bytes = 0  # since the last part of a body; the parser may hold them
        self.has_parsed_body = False  # whether the slice that is being parsed held such a part
        self.read_bytes = 0  # of the current answer, including interim answers
        self.pool.upstream.answer_flow.remove(self)
        self.result: Result | None = None  # set once the answer is complete
        self.is_reusable = False
        self.head_bytes = b""  # what was read before the final answer's header section was complete
        self.must_name_request = False  # whether the answer counts only if it names its request
        self.begin_answer()

    def begin_answer(self) -> None:
        """Reset what is known of the answer that is being received."""
        self.has_final_headers = False
        self.reason = b""  # phrase of the status line
        # Whether the answer ended with its header section; the parser then still waits for a body.
        self.is_bodiless = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = BodyBuffer()
        self.body_bytes = 0
        self.content_length = 0
        self.not_started = False  # whether the backend says that it did not execute the request
        self.is_framed = False  # whether the answer's length is known without the connection's end
        self.load_report = b""
        self.answered_request_id = b""
        self.content_type = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        transport.set_write_buffer_limits(high=0)  # `pause_writing` is called as soon as bytes are buffered
        self.transport = transport
        self.poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_usable(self) -> bool:
        """Whether an idle connection can serve an attempt.

        If it is readable before a request is sent, the bytes can't be the answer: they are a repeated
        answer, garbage or the end of the connection.
        """
        return self.transport is not None and not self.transport.is_closing() and not self.poller.poll(0)

    def send(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        attempt.write_to(self.transport)

    def pause_writing(self) -> None:
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        self.has_unsent_bytes = False

    def pause_reading(self) -> None:
        """Leave further bytes of the answer to the kernel, whose buffers hold the backend up."""
        self.is_paused = True
        self.update_reading()

    def resume_reading(self) -> None:
        self.is_paused = False
        self.update_reading()

    def update_reading(self) -> None:
        """Read unless too many bytes of answers are held, or bytes of this one wait for their turn."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_paused or self.waiting:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # --- the answer --------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.abort()  # an answer without a request: the bytes can't be attributed
            return
        if len(data) <= SLICE_BYTES:
            self.parse_slice(data)
            return
        self.waiting = memoryview(data)
        self.update_reading()
        self.pool.upstream.receive_queue.add(self)

    def parse_next(self) -> bool:
        """Parse the next slice of the bytes that wait; return whether there are more."""
        if self.attempt is None or self.transport is None or self.transport.is_closing():
            self.waiting = memoryview(b"")  # the answer has ended, or was given up
            return False
        piece, self.waiting = self.waiting[:SLICE_BYTES], self.waiting[SLICE_BYTES:]
        self.parse_slice(bytes(piece))
        if not self.waiting:
            self.update_reading()
        return bool(self.waiting)

    def parse_slice(self, data: bytes) -> None:
        """Parse bytes of the answer; deliver it if it is complete, end the attempt if it is invalid."""
        assert self.attempt is not None
        self.read_bytes += len(data)
        if not self.has_final_headers:
            self.head_bytes += data
        self.has_parsed_body = False
        error = self.feed_parser(data)
        while error is not None and self.result is None and self.restart_after_surplus():
            error = self.feed_parser(self.head_bytes)
        self.unparsed_bytes = 0 if self.has_parsed_body else self.unparsed_bytes + len(data)
        if self.result is None:
            if error is not None:
                log.warning("backend %s: invalid answer: %s", self.pool.backend, error.__context__ or error)
            elif self.read_bytes > self.max_answer_bytes() or self.unparsed_bytes > MAX_UNPARSED_BYTES:
                log.warning("backend %s: the answer is too long", self.pool.backend)
            else:
                return
            # The request may have been executed.  The connection works, so the outcome is not RESET.
            self.attempt.give_up_outcome = self.attempt.give_up_outcome or Outcome.ERROR
            self.abort()  # ends the attempt, in `connection_lost`
            return
        # Deliver only after all bytes read were parsed: `finish` may start the next attempt on this
        # connection, and bytes after this answer must not count for that attempt.  They do not invalidate
        # this answer.
        is_whole = error is None and not self.has_unsent_bytes and not self.waiting
        self.deliver(self.attempt, self.result, self.is_reusable and is_whole)

    def feed_parser(self, data: bytes) -> Exception | None:
        """Parse bytes of the answer; return the error that ended it, if there was one."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            return error
        return None

    def restart_after_surplus(self) -> bool:
        """Drop bytes that precede a status line, if the header section that holds it could not be read.

        They are the beginning of a repeated earlier answer, broken off within its header section.  What
        follows counts as the answer only if it names its request.
        """
        is_named = self.attempt is not None and self.attempt.request_id and self.policy.request_id_header
        if self.has_final_headers or not is_named:
            return False
        found = STATUS_LINE.search(self.head_bytes, 1)
        if found is None:
            return False
        self.head_bytes = self.head_bytes[found.start() :]
        self.parser = httptools.HttpResponseParser(self)
        self.must_name_request = self.had_mismatch = True
        self.begin_answer()
        return True

    def max_answer_bytes(self) -> int:
        """Return how many bytes may be read of an answer that is not complete."""
        if self.has_final_headers:
            return MAX_CHUNKED_OVERHEAD * self.policy.max_body_bytes
        return MAX_HEAD_BYTES

    def eof_received(self) -> None:
        """Complete an answer whose length is given only by the end of the connection (RFC 9112, 6.3)."""
        may_end = self.policy.passes_all_statuses and not self.policy.requires_framing
        if may_end and self.has_final_headers and not self.is_framed and self.attempt is not None:
            self.on_answer_complete(self.parser.get_status_code())
            if self.result is not None:
                self.deliver(self.attempt, self.result, is_reusable=False)

    def deliver(self, attempt: Attempt, result: Result, is_reusable: bool) -> None:
        """Finish the attempt with its answer; put the connection back into its pool or close it."""
        self.attempt = None
        if self.is_bodiless and is_reusable:
            self.parser = httptools.HttpResponseParser(self)  # the old one still waits for a body
        self.reset()
        if is_reusable:
            self.pool.put_back(self)
        else:
            self.abort()
        attempt.finish(result)

    def on_message_begin(self) -> None:
        if self.result is not None:
            raise InvalidAnswer("bytes after the answer")

    def on_status(self, part: bytes) -> None:
        self.reason += part

    def check_single_status_line(self) -> None:
        """Raise InvalidAnswer if a second status line stands within the header section.

        Behind an answer to an earlier request, `head_bytes` does not begin with this answer; its headers are
        then checked one by one.
        """
        head = b"" if self.had_mismatch else self.head_bytes.partition(HEAD_END)[0]
        if STATUS_LINE.search(self.reason + b" ") or STATUS_LINE.search(head + b" ", 1):
            raise InvalidAnswer(SECOND_STATUS_LINE)

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if self.had_mismatch and STATUS_LINE.search(value + b" "):
            raise InvalidAnswer(SECOND_STATUS_LINE)
        if name == b"server-load":
            self.load_report = value
        elif name == self.policy.not_run_header:
            self.not_started = value == b"1"
        elif name == self.policy.request_id_header:
            if self.answered_request_id and self.answered_request_id != value:
                # Part of another answer has been read as the beginning of this one.
                raise InvalidAnswer("the answer names two requests")
            self.answered_request_id = value
        elif name == b"keep-alive" and self.policy.request_id_header:
            found = KEEP_ALIVE_TIMEOUT.search(value)
            self.keep_alive_s = float(found[1]) if found is not None else 0.0
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.is_framed, self.content_length = True, int(value)  # the parser accepts digits only
        elif name == b"transfer-encoding":
            self.is_framed = True
        if self.policy.passes_all_statuses:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.had_mismatch or self.head_bytes.find(STATUS_LINE_START, 1) > 0:
            self.check_single_status_line()
        status = self.parser.get_status_code()
        self.has_final_headers = status >= 200
        attempt = self.attempt if self.has_final_headers and self.policy.passes_all_statuses else None
        if attempt is not None and has_no_body(status, attempt.is_head):
            self.is_bodiless = True
            # A 204 that announces a body may also send it; its connection is not reused.
            self.is_framed = status != 204 or not self.content_length
            self.on_answer_complete(status)
            return
        if self.content_length > self.policy.max_body_bytes:
            raise InvalidAnswer(f"its Content-Length is {self.content_length} bytes")

    def on_chunk_header(self) -> None:
        if self.is_bodiless:
            raise InvalidAnswer("a body after an answer that has none")

    def on_body(self, body: bytes) -> None:
        if self.is_bodiless:
            raise InvalidAnswer("a body after an answer that has none")
        self.has_parsed_body = True
        self.body_bytes += len(body)
        if self.body_bytes > self.policy.max_body_bytes:
            raise InvalidAnswer(f"its body is longer than {self.policy.max_body_bytes} bytes")
        self.pool.upstream.answer_flow.add(self, self.body.append(body))

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            self.head_bytes = self.head_bytes.partition(HEAD_END)[2]
            self.begin_answer()  # an interim answer; the final one follows
        elif not self.is_bodiless:
            self.on_answer_complete(status)

    def on_answer_complete(self, status: int) -> None:
        """Make the complete answer the result of the attempt, unless it belongs to another request."""
        if self.transport is None or self.transport.is_closing() or self.attempt is None:
            return
        answered_id, expected_id = self.answered_request_id, self.attempt.request_id
        if self.must_name_request and not answered_id:
            raise InvalidAnswer("the answer behind surplus bytes names no request")
        if answered_id and expected_id and answered_id != expected_id:
            # A repeated answer to an earlier request; the expected one may follow.
            if self.is_bodiless:
                raise InvalidAnswer("the answer belongs to another request")
            self.had_mismatch = True
            self.pool.upstream.mismatched_answers += 1
            self.pool.upstream.answer_flow.remove(self)
            self.begin_answer()
            return
        is_long = self.body.length >= MIN_LONG_BODY_BYTES
        self.result = Result(
            self.policy.outcome(status, self.not_started),
            time.perf_counter() - self.attempt.started_at,
            self.pool.upstream.parse_report(self.load_report),
            b"" if is_long else b"".join(self.body.blocks),
            self.content_type,
            long_body=self.body.blocks if is_long else (),
        )
        if self.policy.passes_all_statuses and self.policy.may_pass_on(status):
            self.result.status, self.result.headers = status, self.headers
        if self.result.outcome is Outcome.OK and not self.policy.is_valid(status, self.headers):
            self.result.outcome, self.result.status = Outcome.ERROR, 0
        self.is_reusable = self.parser.should_keep_alive() and self.is_framed and not self.had_mismatch

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.reset()  # the parser and this connection refer to each other, and would keep what was read
        self.pool.forget(self)
        if (attempt := self.attempt) is not None:
            self.attempt = None
            self.pool.upstream.interrupted_writes += self.has_unsent_bytes
            # The descriptor is closed only after this call returns, and a retry must not start before that.
            self.pool.upstream.loop.call_soon(attempt.fail, self.outcome_without_answer(attempt))

    def outcome_without_answer(self, attempt: Attempt) -> Outcome:
        """Return the outcome of an attempt whose connection has ended without an answer."""
        reason = attempt.give_up_outcome
        if not (self.has_unsent_bytes and self.policy.starts_after_last_byte):
            return reason or Outcome.RESET  # a backend may have executed it
        return Outcome.MOOT if reason is Outcome.CANCELLED else reason or Outcome.CONNECT_FAILED
