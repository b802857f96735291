"""A TCP connection between two of the system's processes: messages, calls with answers, liveness checks."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any, cast

from ivymux.data_plane.receive_queue import ReceiveQueue
from ivymux.runtime.log import Log
from ivymux.transport.frames import FrameDecoder, FrameError, FrameTooLargeError, Message, encode_frame
from ivymux.transport.partial_frames import PartialFrames
from ivymux.transport.unread_messages import UnreadMessages

PING_INTERVAL_S = 0.7  # a ping is sent after this long without any other message
RECEIVE_TIMEOUT_S = 2.0  # a connection on which nothing arrives for this long counts as dead
MAX_UNSENT_BYTES = 16 << 20  # written to a peer that does not read
MAX_DIRECT_MESSAGES = 64  # of one connection that are handled as they arrive; further ones wait for its turn
MESSAGES_PER_TURN = 16
PING_TOLERANCE = 0.95  # share of PING_INTERVAL_S, so that a check slightly early still sends its ping

# Keys of every message, and the kind that this module handles itself.
KIND = "k"
CALL_NUMBER = "n"
REPLY_TO = "re"
PING = "ping"

TOO_LARGE = "the answer is too large for one message"
LOGGED_OVERSIZED_COUNTS = (1, 10, 100, 1000)  # oversized messages are logged at these counts only

log = Log("transport")


class TransportError(Exception):
    """A call could not be made: there is no connection, or no answer arrived in time."""


class OversizedMessages:
    """Counts the messages of this process that were too large to be sent."""

    def __init__(self) -> None:
        self.count = 0

    def add(self, error: FrameTooLargeError) -> None:
        """Count a message, and log its kind and length."""
        self.count += 1
        if self.count in LOGGED_OVERSIZED_COUNTS:
            log.info(f"not sent: {error} ({self.count} so far).")


oversized_messages = OversizedMessages()


class Connection(asyncio.Protocol):
    """One connection to another process of the system."""

    def __init__(
        self,
        on_message: Callable[[Connection, Message], None],
        on_connect: Callable[[Connection], None] | None = None,
        on_disconnect: Callable[[Connection], None] | None = None,
    ) -> None:
        self.on_message, self.on_connect, self.on_disconnect = on_message, on_connect, on_disconnect
        self.transport: asyncio.Transport | None = None
        self.frame_decoder = FrameDecoder()
        self.last_received_at = self.last_sent_at = time.monotonic()
        self.peer: Any = None  # set by the owner to whatever identifies the other end
        self.pending_calls: dict[int, asyncio.Future[Message]] = {}
        self.call_numbers = itertools.count(1)
        self.liveness_timer: asyncio.TimerHandle | None = None
        self.is_connected = False
        self.has_received = False  # whether anything has arrived; a relay may accept a connection to nobody
        self.is_aborted = False
        self.frame_errors = 0
        self.has_received_message = False
        self.receive_queue: ReceiveQueue | None = None  # for turns with other connections, if it is to wait
        self.has_turn = False  # whether it is in that queue
        self.partial_frames: PartialFrames | None = None  # of all connections of its listener
        self.unread_messages: UnreadMessages | None = None  # likewise

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.is_aborted:  # abort() was called while the connection was being established
            self.transport.abort()
            return
        self.last_received_at = self.last_sent_at = time.monotonic()
        self.is_connected = True
        self.liveness_timer = asyncio.get_running_loop().call_later(PING_INTERVAL_S, self.check_liveness)
        if self.on_connect is not None:
            self.on_connect(self)

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        self.has_received = True
        if self.count_partial_frame(len(self.frame_decoder.buffer) + len(data)):
            self.frame_decoder.add(data)
            self.handle_messages()

    def handle_messages(self) -> None:
        """Handle messages that have arrived; those beyond the first ones wait for the connection's turn."""
        if not self.handle_next(MAX_DIRECT_MESSAGES):
            return
        if self.receive_queue is None:
            while self.handle_next(MAX_DIRECT_MESSAGES):
                pass
        elif not self.has_turn and self.transport is not None and not self.transport.is_closing():
            self.has_turn = True
            self.transport.pause_reading()
            self.receive_queue.add(self)

    def parse_next(self) -> bool:
        """Handle the messages of one turn; return whether there may be more."""
        self.has_turn = self.is_connected and self.handle_next(MESSAGES_PER_TURN)
        self.last_received_at = time.monotonic()  # what arrives meanwhile is not read yet
        if not self.has_turn and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        return self.has_turn

    def handle_next(self, max_messages: int) -> bool:
        """Handle up to so many messages; return whether there may be more."""
        for _ in range(max_messages):
            try:
                message = self.frame_decoder.next_message()
            except FrameError:
                self.frame_errors += 1
                self.abort()
                return False
            if message is None:
                self.count_partial_frame(len(self.frame_decoder.buffer))
                return False
            self.has_received_message = True
            self.handle_message(message)
            if not self.is_connected:
                return False
        return True

    def handle_message(self, message: Message) -> None:
        """Complete the call that a message answers, or pass the message to the owner."""
        call_number = message.get(REPLY_TO)
        if call_number is not None:
            pending = self.pending_calls.pop(call_number, None) if isinstance(call_number, int) else None
            if pending is not None and not pending.done():
                pending.set_result(message)
        elif message.get(KIND) != PING:
            self.on_message(self, message)

    def count_partial_frame(self, size: int) -> bool:
        """Count what is held of messages, close a connection beyond the limit; return if this is open."""
        if self.partial_frames is not None:
            victim = self.partial_frames.update(self, size)
            if isinstance(victim, Connection):
                victim.abort()
        return self.is_connected

    @property
    def unsent_bytes(self) -> int:
        """The bytes of messages that are not with the kernel yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def has_received_since(self, since: float) -> bool:
        """Whether the connection is open and something has arrived on it after the steady time `since`."""
        return self.is_connected and self.has_received and self.last_received_at > since

    def send(self, message: Message) -> bool:
        """Send a message; return False, and log and count it, if it is too large for one frame."""
        try:
            data = encode_frame(message)
        except FrameTooLargeError as error:
            oversized_messages.add(error)
            return False
        self.write(data)
        return True

    def write(self, data: bytes) -> None:
        """Write a message that `encode_frame` encoded; one encoded message may go to many connections."""
        if not self.is_connected or self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return
        self.last_sent_at = time.monotonic()
        try:
            self.transport.write(data)
        except RuntimeError:
            # The event loop closed the transport without notice: the connect was cancelled while completing.
            self.abort()
            return
        if self.unread_messages is not None:
            victim = self.unread_messages.add(self, data)
            if isinstance(victim, Connection):
                victim.abort()

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a message and return its answer, for which it waits at most `timeout` seconds.

        Raises TransportError.
        """
        if not self.is_connected:
            raise TransportError("not connected")
        call_number = next(self.call_numbers)
        pending: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.pending_calls[call_number] = pending
        try:
            if not self.send({**message, CALL_NUMBER: call_number}):
                raise TransportError("the call is too large for one message")
            return await asyncio.wait_for(pending, timeout)
        except TimeoutError:
            raise TransportError("no answer in time") from None
        finally:
            self.pending_calls.pop(call_number, None)

    def answer(self, message: Message, **fields: Any) -> None:
        """Answer the call that `message` carries; an answer that is too large is replaced by an error."""
        if not self.send({REPLY_TO: message.get(CALL_NUMBER), **fields}):
            self.send({REPLY_TO: message.get(CALL_NUMBER), "ok": False, "why": TOO_LARGE})

    def check_liveness(self) -> None:
        """Abort a connection on which nothing arrives any more; send a ping if nothing else was sent."""
        now = time.monotonic()
        if not self.is_connected:
            return
        if now - self.last_received_at > RECEIVE_TIMEOUT_S:
            self.abort()
            return
        if now - self.last_sent_at >= PING_INTERVAL_S * PING_TOLERANCE:
            self.send({KIND: PING})
        self.liveness_timer = asyncio.get_running_loop().call_later(PING_INTERVAL_S, self.check_liveness)

    def connection_lost(self, error: Exception | None) -> None:
        self.mark_disconnected()
        if self.unread_messages is not None:
            # uvloop frees a closed connection's buffers at the end of this turn of the event loop.
            asyncio.get_running_loop().call_soon(self.unread_messages.forget, self)

    def mark_disconnected(self) -> None:
        """Fail the pending calls and notify the owner, once per connection."""
        if not self.is_connected:
            return
        self.is_connected = False
        self.frame_decoder.buffer.clear()
        if self.partial_frames is not None:
            self.partial_frames.forget(self)
        if self.liveness_timer is not None:
            self.liveness_timer.cancel()
        for pending in self.pending_calls.values():
            if not pending.done():
                pending.set_exception(TransportError("the connection ended"))
                pending.exception()  # marks it as retrieved, or asyncio logs it if the caller was cancelled
        self.pending_calls.clear()
        if self.on_disconnect is not None:
            self.on_disconnect(self)

    def abort(self) -> None:
        """Close the connection at once, also while it is being established."""
        self.is_aborted = True
        if self.transport is not None:
            self.transport.abort()
        self.mark_disconnected()
