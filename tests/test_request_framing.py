"""Requests whose framing a gateway does not support: upgrades, tunnels, transfer encodings."""

from __future__ import annotations

import asyncio

import pytest

from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.server import Server
from ivymux.proxy.status_pages import StatusPagesFrontend

from .sockets import run

UPGRADE = b"GET /page HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
PLAIN = b"GET /page HTTP/1.1\r\nHost: h\r\n\r\n"
LAST = b"GET /page HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
POST = b"POST /page HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: %s\r\n\r\n4\r\nbody\r\n0\r\n\r\n"


async def statuses(*parts: bytes) -> list[int]:
    """Return the statuses of all answers to these bytes, until the gateway closes the connection."""
    frontend = StatusPagesFrontend({b"/page": lambda: Answer(200)})
    server = Server(frontend, Address("127.0.0.1", 0), Bounds(10, 5, 0, 1 << 16), None)
    await server.start()
    assert server.asyncio_server is not None
    host, port = server.asyncio_server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    for part in parts:
        writer.write(part)
        await writer.drain()
    received = await reader.read()
    writer.close()
    server.stop_listening()
    server.close()
    return [int(line.split(b" ")[1]) for line in received.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]


# Guards against a second answer, a 400, behind the one to a request that offers an upgrade.
@pytest.mark.parametrize("parts", [(UPGRADE, LAST), (UPGRADE + LAST,), (PLAIN + UPGRADE + LAST,)])
def test_a_request_that_offers_an_upgrade_gets_one_answer(parts: tuple[bytes, ...]) -> None:
    async def test() -> None:
        wanted = sum(part.count(b"GET") for part in parts)
        assert await statuses(*parts) == [200] * wanted

    run(test())


def test_a_tunnel_is_refused_once_and_what_follows_is_not_read() -> None:
    async def test() -> None:
        assert await statuses(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + PLAIN) == [400]

    run(test())


# Guards against a body that reaches its backend without the header that says how to decode it.
@pytest.mark.parametrize(
    ("encoding", "wanted"),
    [(b"gzip, chunked", [501]), (b"chunked, chunked", [400]), (b"Chunked", [200, 200])],
)
def test_a_transfer_encoding_that_is_not_supported_is_refused(encoding: bytes, wanted: list[int]) -> None:
    async def test() -> None:
        assert await statuses(POST % encoding, LAST) == wanted

    run(test())
