"""Clients that send invalid requests, too many bytes or nothing, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import Any

import pytest

from ivymux.data_plane import server
from ivymux.data_plane.client_connection import MAX_DISCARD_BYTES
from orchidhill import interface as i

from .sockets import (
    FakeBackend,
    GatewayClient,
    http_answer,
    listening,
    platform_gateway,
    read_message,
    run,
    send_to_first,
    until,
)


# Invalid terms must not reach the decision module or change a customer's quota.
@pytest.mark.parametrize(
    "terms",
    [
        "units=0,spread=3,first=0", "units=-1,spread=3,first=0", "units=3,spread=3,first=0",
        "units=1_0,spread=3,first=0", "units=inf,spread=3,first=0", "units=1e0,spread=3,first=0",
        "units=1,spread=0,first=0", "units=1,spread=4,first=0", "units=1,spread=1_0,first=0",
        "units=1,spread=+3,first=0", "units=1,spread=3,first=3", "units=1,spread=3,first=-1",
        "units=1,spread=3", "units=1,units=2,spread=3,first=0", "units,spread=3,first=0",
        "units=1,spread=3.0,first=0", "units=1,spread=3,first=0" + " " * 100, "",
    ],
)  # fmt: skip
def test_terms_out_of_range_are_refused(terms: str) -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first, extra__most_units="2") as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request(X_Call_Terms=terms)).status == 400
            assert await client.reader.read() == b""  # closed, which frees its descriptor
            assert not module.events and not gateway.server.open_keys

    run(test())


@pytest.mark.parametrize(
    "target",
    [
        b"/class-0?customer=0000000200000000", b"/class-0?customer=5", b"/class-0", b"/class-0?customer=",
        b"/class-0?customer=0000000000000005&%63ustomer=0000000000000006",
        b"/class-0#?customer=0000000000000005",
        b"/class-0/../class-1?customer=0000000000000005", b"http://x/class-0?customer=0000000000000005",
        b"/class-9?customer=0000000000000005",
        b"/class-0?customer=0000000000000005&customer=0000000000000005",
    ],
    ids=range(10),
)  # fmt: skip
def test_ambiguous_targets_are_refused(target: bytes) -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            good = client.make_request()
            bad = good.replace(b"/class-0?customer=0000000000000005", target)
            assert bad != good
            assert (await client.send_bytes(bad)).status in (400, 404)
            assert not module.events

    run(test())


# Guards against request smuggling in the body of another request.
@pytest.mark.parametrize("length_first", [True, False])
@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b"gzip, chunked", b"identity"])
def test_a_content_length_with_a_transfer_coding_is_refused(length_first: bool, coding: bytes) -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            head = client.make_request(2, Content_Length="").removesuffix(b"\r\n")
            pair = [b"Content-Length: 5\r\n", b"Transfer-Encoding: " + coding + b"\r\n"]
            lines = b"".join(pair if length_first else reversed(pair))
            answer = await client.send_bytes(head + lines + b"\r\n0\r\n\r\n" + client.make_request())
            assert answer.status == 400
            assert await client.reader.read() == b""
            assert not module.events

    run(test())


# Two open requests with one id could get each other's answers at the backends or here.
def test_the_id_of_an_open_request_is_refused() -> None:
    async def test() -> None:
        accepted: list[i.Request] = []

        def react(event: Any) -> list[i.Action]:
            accepted.extend([event] if isinstance(event, i.Request) else [])
            return [i.Refuse(accepted[0].request, 0.5)] if len(accepted) == 2 else []

        async with (
            platform_gateway("127.0.0.1:1", react=react) as (gateway, _),
            GatewayClient(gateway.server) as one,
            GatewayClient(gateway.server) as two,
            GatewayClient(gateway.server) as three,
        ):
            one.writer.write(one.make_request(Request_Id="taken"))
            await until(lambda: accepted)
            assert (await two.send_request(Request_Id="taken")).status == 409
            assert len(accepted) == 1
            three.writer.write(three.make_request(Request_Id="other"))
            assert (await read_message(one.reader)).status == 503
            assert gateway.server.open_keys == {b"other"}

    run(test())


# Silent or slow clients must not hold descriptors.
@pytest.mark.parametrize("sent", [b"", b"GET /class-0?customer=00", b"\r\n"])
def test_an_incomplete_request_is_answered_or_closed_after_the_read_timeout(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "READ_TIMEOUT_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module):
            started_at = time.monotonic()  # the server may accept before the client knows of it
            async with GatewayClient(gateway.server) as client:
                if sent:
                    client.writer.write(sent)
                    assert (await read_message(client.reader)).status == 408
                assert await client.reader.read() == b""
                assert 0.1 <= time.monotonic() - started_at < 2
                client.writer.close()
                await until(lambda: not gateway.server.clients)
                assert not module.events

    run(test())


# Closing a connection with unread bytes sends a reset, which could overtake the error answer.
def test_an_error_answer_arrives_in_spite_of_many_bytes_after_the_request() -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            client.writer.write(client.make_request(2, Content_Length=str(20 * MAX_DISCARD_BYTES)))
            for _ in range(20):
                client.writer.write(b"x" * MAX_DISCARD_BYTES)
                await client.writer.drain()
            assert (await read_message(client.reader)).status == 413
            assert await client.reader.read() == b""
            assert not module.events and gateway.server.held_bytes == 0

    run(test())


def test_a_client_that_does_not_close_after_an_error_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "LINGER_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_bytes(b"nonsense\r\n\r\n")).status == 400
            await until(lambda: not gateway.server.clients)

    run(test())


# Hundreds of connections without a request must not keep other clients from being served.
def test_silent_connections_are_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "EVICTABLE_SILENT_S", 0.0)

    async def test() -> None:
        backend = FakeBackend(lambda message: http_answer())
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as active,
        ):
            gateway.server.max_clients = 5
            assert (await active.send_request()).status == 200
            silent = [await asyncio.open_connection("127.0.0.1", active.port) for _ in range(30)]
            await until(lambda: len(gateway.server.clients) == 5)
            async with GatewayClient(gateway.server) as new:
                assert (await new.send_request()).status == 200
            assert (
                await active.send_request()
            ).status == 200  # it was active a moment ago, so others were evicted
            for _, writer in silent:
                writer.close()

    run(test())


# Incomplete bodies must not fill the memory.
def test_the_bytes_of_all_incomplete_bodies_are_bounded() -> None:
    async def test() -> None:
        async with platform_gateway("127.0.0.1:1", react=lambda event: []) as (gateway, module):
            gateway.server.max_held_bytes = 1500
            async with GatewayClient(gateway.server) as one, GatewayClient(gateway.server) as two:
                half = one.make_request(2, Content_Length="2000") + b"x" * 1000
                one.writer.write(half)
                await until(lambda: gateway.server.held_bytes == 1000)
                answer = await two.send_bytes(half)
                assert (answer.status, "retry-after" in answer.headers) == (503, True)
            await until(lambda: gateway.server.held_bytes == 0)
            assert not module.events

    run(test())


# A request that is accepted after the last answer on its connection would be lost.
def test_a_request_after_a_last_answer_is_not_accepted(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            gateway.server.max_clients = 0
            client.writer.write(client.make_request() + client.make_request())
            assert (await read_message(client.reader)).status == 503
            assert await client.reader.read() == b""
            assert not module.events

    run(test())
    assert not caplog.records


# Idle connections must not keep new clients from being served, as in incident r76ab84 (README.md).
def test_idle_connections_are_closed_early_once_half_of_all_are_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "EVICTABLE_IDLE_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        backend = FakeBackend(lambda message: http_answer())
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as one,
            GatewayClient(gateway.server) as two,
        ):
            for client in (one, two):
                assert (await client.send_request()).status == 200
            gateway.server.max_clients = 4
            await until(lambda: not gateway.server.clients)

    run(test())


def test_a_burst_of_connections_is_accepted_in_few_steps_of_the_event_loop() -> None:
    """The last of n connections must not wait for n steps: each may also serve requests of earlier ones."""

    async def test() -> None:
        async with platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, _):
            assert gateway.server.asyncio_server is not None
            address = gateway.server.asyncio_server.sockets[0].getsockname()
            with contextlib.ExitStack() as stack:
                for _ in range(64):  # the kernel queues them, as the event loop is not running meanwhile
                    stack.enter_context(socket.create_connection(address))
                steps = 0  # in which connections were accepted
                while (before := len(gateway.server.clients)) < 64:
                    await asyncio.sleep(0)
                    steps += len(gateway.server.clients) > before
                assert steps <= 16
            gateway.server.stop_listening()
            await asyncio.sleep(0.01)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)

    run(test())
