"""Clients that don't keep to the limits: what they send, and crowds of them on one port.

Each misbehaviour is a pattern of bytes.  A crowd sends it on many connections, opens a connection that was
closed again, and ends after a fixed number of bytes, whatever the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

WRITE_BYTES = 64 << 10  # of one write, about
CONNECT_TIMEOUT_S = 5.0
REQUEST_HEAD = (
    b"POST /read/1 HTTP/1.1\r\nHost: minutes.example\r\nAuthorization: Bearer key-one\r\n"
    b"Time-Remaining: 2000\r\n"
)
CHUNKED_HEAD = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def repeated(pattern: bytes) -> bytes:
    """Return a pattern repeated to about one write."""
    return pattern * max(1, WRITE_BYTES // len(pattern))


@dataclass(frozen=True, slots=True)
class Misbehaviour:
    """What a client sends: `opening` once, then `repeated` again and again."""

    opening: bytes
    repeated: bytes


HEADER_VALUE = Misbehaviour(REQUEST_HEAD + b"X-Long: ", repeated(b"v"))
HEADER_NAME = Misbehaviour(REQUEST_HEAD, repeated(b"n"))
SHORT_HEADERS = Misbehaviour(REQUEST_HEAD, repeated(b"a:b\r\n"))
WHOLE_REQUEST_OF_SHORT_HEADERS = Misbehaviour(
    REQUEST_HEAD + b"a:b\r\n" * 2500 + b"Content-Length: 0\r\n\r\n", b"\r\n"
)
PATH = Misbehaviour(b"GET /", repeated(b"p"))
EMPTY_LINES = Misbehaviour(b"", repeated(b"\r\n"))
TRAILER_VALUE = Misbehaviour(CHUNKED_HEAD + b"5\r\nhello\r\n0\r\nX-Trailer: ", repeated(b"t"))
SHORT_TRAILERS = Misbehaviour(CHUNKED_HEAD + b"5\r\nhello\r\n0\r\n", repeated(b"a:b\r\n"))
CHUNK_EXTENSION = Misbehaviour(CHUNKED_HEAD + b"5;x=", repeated(b"e"))
CHUNKS_OF_ONE = Misbehaviour(CHUNKED_HEAD, repeated(b"1\r\na\r\n"))
CHUNKS_OF_TWO = Misbehaviour(CHUNKED_HEAD, repeated(b"2\r\nab\r\n"))
LARGE_CHUNKS = Misbehaviour(CHUNKED_HEAD, b"10000\r\n" + b"c" * 0x10000 + b"\r\n")
LONG_BODY = Misbehaviour(REQUEST_HEAD + b"Content-Length: 67108864\r\n\r\n", repeated(b"b"))
COMPLETE_REQUESTS = Misbehaviour(b"", repeated(REQUEST_HEAD + b"Content-Length: 0\r\n\r\n"))
REFUSED_REQUESTS = Misbehaviour(b"", repeated(b"GET /nowhere HTTP/1.1\r\nHost: minutes.example\r\n\r\n"))
PARTIAL_FRAME = Misbehaviour(b"8388608:", repeated(b" "))
EMPTY_FRAMES = Misbehaviour(b"", repeated(b"2:{},"))
SILENCE = Misbehaviour(b"", b"G")  # with few bytes for each connection
LONG_JSON = b"[" + b"[]," * (2 << 20) + b"[]]"  # takes many times its length once it is decoded
LONG_JSON_FRAME = Misbehaviour(b"", b'%d:{"k":%s},' % (len(LONG_JSON) + 6, LONG_JSON))
LONG_JSON_BODY = LONG_JSON[: (6 << 20) - 1] + b"]"
LONG_JSON_CALL = Misbehaviour(
    b"",
    b"PUT /configuration HTTP/1.1\r\nHost: core\r\nContent-Length: %d\r\n\r\n%s"
    % (len(LONG_JSON_BODY), LONG_JSON_BODY),
)


# By name, as day files write them; none sends a request that a backend runs.
HTTP_MISBEHAVIOURS = {
    "header-value": HEADER_VALUE,
    "header-name": HEADER_NAME,
    "short-headers": SHORT_HEADERS,
    "path": PATH,
    "empty-lines": EMPTY_LINES,
    "trailer-value": TRAILER_VALUE,
    "short-trailers": SHORT_TRAILERS,
    "chunk-extension": CHUNK_EXTENSION,
    "chunks-of-one": CHUNKS_OF_ONE,
    "chunks-of-two": CHUNKS_OF_TWO,
    "large-chunks": LARGE_CHUNKS,
    "long-body": LONG_BODY,
    "refused-requests": REFUSED_REQUESTS,
}
FRAME_MISBEHAVIOURS = {
    "partial-frame": PARTIAL_FRAME,
    "long-json-frame": LONG_JSON_FRAME,
    "empty-frames": EMPTY_FRAMES,
}
MISBEHAVIOURS = HTTP_MISBEHAVIOURS | FRAME_MISBEHAVIOURS
HTTP_PORTS = ("front", "ready", "control")
INNER_PORTS = ("config_store", "registry", "proxy")
PORTS = HTTP_PORTS + INNER_PORTS


class Crowd:
    """Connections that misbehave in the same way on one port."""

    def __init__(
        self, host: str, port: int, misbehaviour: Misbehaviour, connection_count: int, bytes_each: int
    ) -> None:
        """`bytes_each`: sent on each connection, and on those opened in its place, together."""
        self.host, self.port, self.misbehaviour = host, port, misbehaviour
        self.bytes_each = bytes_each
        self.sent_bytes = 0  # by all
        self.sending_count = connection_count  # connections that have not sent all of their bytes
        self.all_sent = asyncio.Event()
        self.tasks = [asyncio.ensure_future(self.run_connection()) for _ in range(connection_count)]

    async def run_connection(self) -> None:
        """Send the bytes of one connection; keep it open until all others have sent theirs."""
        left_bytes = self.bytes_each
        while left_bytes > 0:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(self.host, self.port)
            except (OSError, TimeoutError):
                left_bytes -= WRITE_BYTES  # so that a crowd ends though nothing listens any more
                continue
            discarding = asyncio.ensure_future(discard(reader))
            try:
                left_bytes = await self.send(writer, left_bytes)
                if left_bytes <= 0:
                    await self.wait_for_others()
                    return
            finally:
                discarding.cancel()
                writer.transport.abort()
        await self.wait_for_others()

    async def send(self, writer: asyncio.StreamWriter, left_bytes: int) -> int:
        """Send until the connection is closed or nothing is left; return how many bytes are left."""
        writer.write(self.misbehaviour.opening)
        with contextlib.suppress(OSError):
            while left_bytes > 0 and not writer.is_closing():
                data = self.misbehaviour.repeated
                writer.write(data)
                left_bytes -= len(data)
                self.sent_bytes += len(data)
                await writer.drain()
        return left_bytes

    async def wait_for_others(self) -> None:
        self.sending_count -= 1
        if not self.sending_count:
            self.all_sent.set()
        await self.all_sent.wait()

    async def join(self) -> None:
        """Wait until all bytes are sent."""
        await self.all_sent.wait()

    def is_sending(self) -> bool:
        return not self.all_sent.is_set()

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)


async def discard(reader: asyncio.StreamReader) -> None:
    """Read answers until the connection ends."""
    with contextlib.suppress(OSError):
        while await reader.read(WRITE_BYTES):
            pass
