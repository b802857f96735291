"""Netstrings of JSON, as bytes and back.  Pure."""

from __future__ import annotations

from typing import Any

import msgspec

MAX_FRAME = 8 << 20  # bytes of one message; a whole configuration fits
MAX_DIGITS = len(str(MAX_FRAME))

Message = dict[str, Any]
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(dict[str, Any]).decode


class FrameError(ValueError):
    """Bytes that no correct peer would send; the connection they came on is of no further use."""


def pack(message: Message) -> bytes:
    """One message as a netstring.  Raises FrameError where it is larger than a peer would take."""
    body = _encode(message)
    if len(body) > MAX_FRAME:
        raise FrameError(f"a message of {len(body)} bytes, over {MAX_FRAME}")
    return b"%d:%s," % (len(body), body)


class Frames:
    """Takes bytes as they come, gives whole messages."""

    def __init__(self, most: int = MAX_FRAME) -> None:
        self.most = most
        self.held = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now.  Raises FrameError; nothing may be fed after that."""
        held = self.held
        held += data
        found: list[Message] = []
        at = 0
        while True:
            colon = held.find(b":", at, at + MAX_DIGITS + 1)
            if colon < 0:
                if len(held) - at > MAX_DIGITS:
                    raise FrameError("no length before a message")
                break
            digits = bytes(held[at:colon])
            if not digits.isdigit():
                raise FrameError("a length that is no number")
            size = int(digits)
            if size > self.most:
                raise FrameError(f"a message of {size} bytes, over {self.most}")
            end = colon + 1 + size
            if len(held) <= end:
                break
            if held[end] != 0x2C:
                raise FrameError("a message does not end where its length says")
            try:
                found.append(_decode(memoryview(held)[colon + 1 : end].tobytes()))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                raise FrameError("a message that is no object of JSON") from None
            at = end + 1
        del held[:at]
        return found
