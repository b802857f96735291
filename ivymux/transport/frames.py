"""Encodes messages as netstrings of JSON and decodes them from a byte stream.  Pure."""

from __future__ import annotations

from typing import Any

import msgspec

from ivymux.json_values import MAX_VALUES, object_has_too_many_values

MAX_FRAME_BYTES = 8 << 20  # of one message; a whole configuration fits
MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))
LENGTH_END = b":"
FRAME_END = 0x2C  # a comma

Message = dict[str, Any]
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(dict[str, Any]).decode


class FrameError(ValueError):
    """Bytes that violate the framing; the connection that they arrived on can't be used any further."""


class FrameTooLargeError(FrameError):
    """A message that is larger than MAX_FRAME_BYTES: a fault of its sender, which should have split it."""

    def __init__(self, kind: str, size: int) -> None:
        super().__init__(f"a message {kind!r} of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}")
        self.kind, self.size = kind, size


def kind_of(message: Message) -> str:
    """Return what a message calls itself, for the log."""
    return next((str(message[key]) for key in ("kind", "k") if key in message), "answer")


def encode_frame(message: Message) -> bytes:
    """Encode one message as a netstring.  Raises FrameTooLargeError."""
    body = _encode(message)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(kind_of(message), len(body))
    return b"%d:%s," % (len(body), body)


class FrameDecoder:
    """Splits a byte stream into messages."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that are complete with `data`.

        Raises FrameError on malformed input; the decoder must not be fed after that.
        """
        self.add(data)
        messages: list[Message] = []
        while (message := self.next_message()) is not None:
            messages.append(message)
        return messages

    def add(self, data: bytes) -> None:
        """Keep further bytes of the stream."""
        self.buffer += data

    def next_message(self) -> Message | None:
        """Return the next message, None if it is not complete.

        Raises FrameError on malformed input; the decoder must not be used after that.
        """
        buffer = self.buffer
        length_end = buffer.find(LENGTH_END, 0, MAX_LENGTH_DIGITS + 1)
        if length_end < 0:
            if len(buffer) > MAX_LENGTH_DIGITS:
                raise FrameError("a message starts without its length")
            return None
        digits = bytes(buffer[:length_end])
        if not digits.isdigit():
            raise FrameError("the length of a message is not a number")
        size = int(digits)
        if size > self.max_frame_bytes:
            raise FrameError(f"a message of {size} bytes exceeds the limit of {self.max_frame_bytes}")
        end = length_end + 1 + size
        if len(buffer) <= end:
            return None
        if buffer[end] != FRAME_END:
            raise FrameError("a message does not end where its length says")
        text = memoryview(buffer)[length_end + 1 : end].tobytes()
        del buffer[: end + 1]
        return decode_message(text)


def decode_message(text: bytes) -> Message:
    """Decode a message's JSON.  Raises FrameError."""
    try:
        if object_has_too_many_values(text):
            raise FrameError(f"a message of {len(text)} bytes holds more than {MAX_VALUES} values")
        return _decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise FrameError("a message is not a JSON object") from None
