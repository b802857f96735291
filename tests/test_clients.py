"""Clients that send what cannot be served, or too much, or nothing, over loopback sockets."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from ivymux.data_plane import server
from ivymux.data_plane.server import MAX_DISCARD_BYTES
from orchidhill import interface as i

from .sockets import Backend, Client, front_door, http_answer, listening, read_message, run, send_on, until


# Guards the module and customers' quotas against terms that the protocol or the settings do not allow.
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
            front_door("127.0.0.1:1", react=send_on, extra__most_units="2") as (door, script),
            Client(door.server) as client,
        ):
            assert (await client.ask(X_Call_Terms=terms)).status == 400
            assert await client.reader.read() == b""  # and a close: its descriptor is of use to others
            assert not script.events and not door.server.open_keys

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
def test_targets_that_could_be_read_in_two_ways_are_refused(target: bytes) -> None:
    async def test() -> None:
        async with front_door("127.0.0.1:1", react=send_on) as (door, script), Client(door.server) as client:
            good = client.request()
            bad = good.replace(b"/class-0?customer=0000000000000005", target)
            assert bad != good
            assert (await client.send(bad)).status in (400, 404)
            assert not script.events

    run(test())


# Guards against a request that hides in another's body.
@pytest.mark.parametrize("length_first", [True, False])
@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b"gzip, chunked", b"identity"])
def test_a_length_beside_a_transfer_coding_is_refused(length_first: bool, coding: bytes) -> None:
    async def test() -> None:
        async with front_door("127.0.0.1:1", react=send_on) as (door, script), Client(door.server) as client:
            head = client.request(2, Content_Length="").removesuffix(b"\r\n")
            pair = [b"Content-Length: 5\r\n", b"Transfer-Encoding: " + coding + b"\r\n"]
            lines = b"".join(pair if length_first else reversed(pair))
            answer = await client.send(head + lines + b"\r\n0\r\n\r\n" + client.request())
            assert answer.status == 400
            assert await client.reader.read() == b""
            assert not script.events

    run(test())


# Guards against two requests of one id at the backends, and against an answer for the wrong client.
def test_an_id_that_is_open_is_refused() -> None:
    async def test() -> None:
        held: list[i.Request] = []

        def react(event: Any) -> list[i.Action]:
            held.extend([event] if isinstance(event, i.Request) else [])
            return [i.Refuse(held[0].request, 0.5)] if len(held) == 2 else []

        async with (
            front_door("127.0.0.1:1", react=react) as (door, _),
            Client(door.server) as one,
            Client(door.server) as two,
            Client(door.server) as three,
        ):
            one.writer.write(one.request(Request_Id="taken"))
            await until(lambda: held)
            assert (await two.ask(Request_Id="taken")).status == 409
            assert len(held) == 1
            three.writer.write(three.request(Request_Id="other"))
            assert (await read_message(one.reader)).status == 503
            assert door.server.open_keys == {b"other"}

    run(test())


# Guards against connections that say nothing or drip: each is a descriptor.
@pytest.mark.parametrize("sent", [b"", b"GET /class-0?customer=00", b"\r\n"])
def test_who_does_not_ask_in_time_gets_an_error_or_a_close(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "READ_TIMEOUT_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with front_door("127.0.0.1:1", react=send_on) as (door, script), Client(door.server) as client:
            began = time.monotonic()
            if sent:
                client.writer.write(sent)
                assert (await read_message(client.reader)).status == 408
            assert await client.reader.read() == b""
            assert 0.1 <= time.monotonic() - began < 2
            client.writer.close()
            await until(lambda: not door.server.clients)
            assert not script.events

    run(test())


# Guards the error answer against the reset that follows when a connection is closed on unread bytes.
def test_a_flood_behind_an_error_does_not_swallow_it() -> None:
    async def test() -> None:
        async with front_door("127.0.0.1:1", react=send_on) as (door, script), Client(door.server) as client:
            client.writer.write(client.request(2, Content_Length=str(20 * MAX_DISCARD_BYTES)))
            for _ in range(20):
                client.writer.write(b"x" * MAX_DISCARD_BYTES)
                await client.writer.drain()
            assert (await read_message(client.reader)).status == 413
            assert await client.reader.read() == b""
            assert not script.events and door.server.held_bytes == 0

    run(test())


def test_who_does_not_close_behind_an_error_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "LINGER_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with front_door("127.0.0.1:1", react=send_on) as (door, _), Client(door.server) as client:
            assert (await client.send(b"nonsense\r\n\r\n")).status == 400
            await until(lambda: not door.server.clients)

    run(test())


# Guards usual clients against hundreds of connections that say nothing.
def test_silent_connections_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "EVICTABLE_SILENT_S", 0.0)

    async def test() -> None:
        backend = Backend(lambda message: http_answer())
        async with (
            listening(backend.handle) as dial,
            front_door(dial, react=send_on) as (door, _),
            Client(door.server) as usual,
        ):
            door.server.max_clients = 5
            assert (await usual.ask()).status == 200
            silent = [await asyncio.open_connection("127.0.0.1", usual.port) for _ in range(30)]
            await until(lambda: len(door.server.clients) == 5)
            async with Client(door.server) as new:
                assert (await new.ask()).status == 200
            assert (await usual.ask()).status == 200  # it asked a moment ago: others gave way
            for _, writer in silent:
                writer.close()

    run(test())


# Guards against memory held for bodies that never come whole.
def test_half_bodies_are_bounded_together() -> None:
    async def test() -> None:
        async with front_door("127.0.0.1:1", react=lambda event: []) as (door, script):
            door.server.max_held_bytes = 1500
            async with Client(door.server) as one, Client(door.server) as two:
                half = one.request(2, Content_Length="2000") + b"x" * 1000
                one.writer.write(half)
                await until(lambda: door.server.held_bytes == 1000)
                answer = await two.send(half)
                assert (answer.status, "retry-after" in answer.headers) == (503, True)
            await until(lambda: door.server.held_bytes == 0)
            assert not script.events

    run(test())


# Guards against taking a request whose answer can no longer be sent: it would be lost.
def test_what_stands_behind_a_last_answer_is_not_taken(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with front_door("127.0.0.1:1", react=send_on) as (door, script), Client(door.server) as client:
            door.server.max_clients = 0
            client.writer.write(client.request() + client.request())
            assert (await read_message(client.reader)).status == 503
            assert await client.reader.read() == b""
            assert not script.events

    run(test())
    assert not caplog.records


# Guards new usual clients against a table full of connections that asked once and stay: the incident r76ab84.
def test_idle_connections_end_early_once_the_table_is_half_full(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "EVICTABLE_IDLE_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        backend = Backend(lambda message: http_answer())
        async with (
            listening(backend.handle) as dial,
            front_door(dial, react=send_on) as (door, _),
            Client(door.server) as one,
            Client(door.server) as two,
        ):
            for client in (one, two):
                assert (await client.ask()).status == 200
            door.server.max_clients = 4
            await until(lambda: not door.server.clients)

    run(test())
