"""What requests make a gateway keep is counted while it arrives, limited, and released."""

from __future__ import annotations

import asyncio

from ivymux.data_plane.client_connection import SLICE_BYTES
from ivymux.data_plane.server import MAX_HEAD_BYTES, REQUEST_MEMORY_BYTES

from .sockets import GatewayClient, platform_gateway, run, until

NOWHERE = "127.0.0.1:1"
PART = b"x" * SLICE_BYTES


def test_a_header_without_end_is_refused_while_it_arrives() -> None:
    async def test() -> None:
        async with (
            platform_gateway(NOWHERE, react=lambda event: []) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            client.writer.write(b"GET / HTTP/1.1\r\nLong: ")
            for _ in range(3 + MAX_HEAD_BYTES // SLICE_BYTES):
                client.writer.write(PART)
                await client.writer.drain()
            answer = await client.send_bytes(b"")
            assert answer.status == 400
            await until(lambda: gateway.server.head_bytes == 0)
            assert not module.events

    run(test())


def test_the_largest_incomplete_head_is_refused_first() -> None:
    async def test() -> None:
        async with platform_gateway(NOWHERE, react=lambda event: []) as (gateway, module):
            server = gateway.server
            async with GatewayClient(server) as large, GatewayClient(server) as small:
                large.writer.write(b"GET / HTTP/1.1\r\nLong: " + 2 * PART)
                await until(lambda: server.head_bytes > len(PART))
                server.max_total_head_bytes = server.head_bytes
                small.writer.write(b"GET / HTTP/1.1\r\nShort: x")
                assert (await large.send_bytes(b"")).status == 503
                await until(lambda: 0 < server.head_bytes < len(PART))
            await until(lambda: server.head_bytes == 0)
            assert not module.events

    run(test())


def test_requests_in_progress_count_until_their_clients_have_left() -> None:
    async def test() -> None:
        async with platform_gateway(NOWHERE, react=lambda event: []) as (gateway, _):
            server = gateway.server
            clients = [GatewayClient(server) for _ in range(5)]
            async with asyncio.timeout(10):
                for number, client in enumerate(clients, 1):
                    await client.__aenter__()
                    client.writer.write(client.make_request())
                    await until(lambda number=number: server.head_bytes > number * REQUEST_MEMORY_BYTES)  # type: ignore[misc]
            server.max_total_head_bytes = server.head_bytes
            async with GatewayClient(server) as further:
                assert (await further.send_bytes(further.make_request())).status == 503
            for client in clients:
                await client.__aexit__(None, None, None)
            await until(lambda: server.head_bytes == 0)

    run(test())
