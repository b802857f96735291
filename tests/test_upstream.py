"""Answers that come spoilt, or with more than belongs to them, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from orchidhill import interface as i
from orchidhill.interface import Outcome

from .sockets import (
    FIRST,
    Backend,
    Client,
    Message,
    front_door,
    http_answer,
    listening,
    read_message,
    run,
    send_on,
    until,
)


def echo(message: Message) -> bytes:
    return http_answer(body=message.headers["request-id"].encode())


def in_turn() -> Callable[[Any], list[i.Action]]:
    """Sends one request at a time: the next goes out with the news of the last one's end."""
    waiting: list[int] = []

    def react(event: Any) -> list[i.Action]:
        if isinstance(event, i.Request):
            waiting.append(event.request)
            return [i.Send(event.request, FIRST, 0.0)] if len(waiting) == 1 else []
        if isinstance(event, i.Finished):
            waiting.pop(0)
            following: list[i.Action] = [i.Send(waiting[0], FIRST, 0.0)] if waiting else []
            return following if event.outcome is Outcome.OK else [i.Fail(event.request), *following]
        return []

    return react


# Guards against passing on what stands behind an answer as the answer to the next request: that one is
# started by the news of the first, on a connection that still brings a second copy or noise.
@pytest.mark.parametrize(
    "behind", [http_answer(body=b"a second copy"), b"\x00\x01 noise", b"HTTP/1.1 2"], ids=range(3)
)
def test_what_stands_behind_an_answer_is_not_the_next_ones(behind: bytes) -> None:
    async def test() -> None:
        backend = Backend(lambda message: echo(message) + behind)
        async with (
            listening(backend.handle) as dial,
            front_door(dial, react=in_turn()) as (door, script),
            Client(door.server) as one,
            Client(door.server) as two,
        ):
            one.writer.write(one.request(Request_Id="one"))
            two.writer.write(two.request(Request_Id="two"))
            answers = [await read_message(c.reader) for c in (one, two)]
            assert [(a.status, a.body) for a in answers] == [(200, b"one"), (200, b"two")]
            assert script.outcomes() == [Outcome.OK, Outcome.OK]
            assert backend.opened == 2  # such a connection is of no further use

    run(test())


# Guards against the same where the bytes come when the connection is idle, and the loop has not read them
# when the next attempt wants a connection.
def test_an_idle_connection_with_bytes_to_read_carries_no_attempt() -> None:
    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            while True:
                writer.write(echo(await read_message(reader)))

        async with (
            listening(handle) as dial,
            front_door(dial, react=send_on) as (door, _),
            Client(door.server) as client,
        ):
            assert (await client.ask(Request_Id="one")).body == b"one"
            (pool,) = door.host.upstream.pools.values()
            (link,) = pool.idle
            assert link.is_usable()
            # No step of the loop lies between these: the bytes are in the socket, not yet read.
            writers[0].write(http_answer(body=b"a late second copy"))
            assert not link.is_usable()
            results: list[Any] = []
            payload = b"GET / HTTP/1.1\r\nRequest-Id: two\r\n\r\n"
            door.host.upstream.start_attempt(FIRST, payload, 1.0, results.append)
            await until(lambda: results)
            assert results[0].body == b"two"

    run(test())


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x16\x03\x01 noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: and so on\r\n" * 2000,  # a head that does not end
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"x" * 20_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"400\r\n" + b"x" * 1024 + b"\r\n" * 100,
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + http_answer(),
    ],
    ids=range(10),
)
def test_a_spoilt_answer_ends_its_attempt_at_once_and_may_have_run(spoilt: bytes) -> None:
    async def test() -> None:
        backend = Backend(lambda message: spoilt)
        async with (
            listening(backend.handle) as dial,
            front_door(dial, react=send_on) as (door, script),
            Client(door.server) as client,
        ):
            assert (await client.ask()).status == 502
            # Not RESET, which keeps the module off a backend: spoilt answers come from well ones.
            assert script.outcomes() == [Outcome.ERROR] and not Outcome.ERROR.never_ran
            (finished,) = script.of(i.Finished)
            assert finished.spent < 2  # it does not hang until the client's time is nearly up
            await until(lambda: not backend.open)

    run(test())


@pytest.mark.parametrize(
    "load",
    ["TEXT util=none", "TEXT queue=1_0, util=0.5, latency_ms=3", "=,=,", "TEXT \xff\xfe", "nan"],
    ids=range(5),
)
def test_an_unreadable_report_does_not_spoil_a_good_answer(load: str) -> None:
    async def test() -> None:
        def answer(message: Message) -> bytes:
            early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            head = f"HTTP/1.1 200 OK\r\nServer-Load: {load}\r\nContent-Length: 4\r\n\r\n"
            return early + head.encode("latin-1") + b"done"

        backend = Backend(answer)
        async with (
            listening(backend.handle) as dial,
            front_door(dial, react=send_on) as (door, script),
            Client(door.server) as client,
        ):
            for _ in range(2):
                served = await client.ask()
                assert (served.status, served.body) == (200, b"done")
            assert [e.report for e in script.of(i.Finished)] == [(), ()]
            assert backend.opened == 1  # the connection goes on being used

    run(test())


# Guards against sending on an old backend's connections, or what is meant for it, to a new one that listens
# where it did: the new one is cold, and its kept answers are its own.
def test_a_new_backend_at_an_old_address_does_not_get_the_old_ones_attempts() -> None:
    async def test() -> None:
        backend = Backend(echo)
        async with (
            listening(backend.handle) as dial,
            front_door(dial, react=send_on) as (door, script),
            Client(door.server) as client,
        ):
            assert (await client.ask()).status == 200
            upstream = door.host.upstream
            upstream.update_backend(9, upstream.pools[FIRST].address, 0.0)
            await until(lambda: not backend.open)
            assert (await client.ask()).status == 502  # still meant for the old one
            assert script.outcomes() == [Outcome.OK, Outcome.CONNECT_FAILED]
            assert len(backend.seen) == 1 and list(upstream.pools) == [9]

    run(test())


def test_an_attempt_given_up_while_its_connection_is_made_is_never_written() -> None:
    async def test() -> None:
        backend = Backend(echo)
        async with listening(backend.handle) as dial, front_door(dial, react=send_on) as (door, _):
            upstream = door.host.upstream
            await until(lambda: FIRST in upstream.pools)
            ended: list[Outcome] = []
            attempt = upstream.start_attempt(
                FIRST, b"GET / HTTP/1.1\r\n\r\n", 5.0, lambda r: ended.append(r.outcome)
            )
            assert not attempt.is_written
            attempt.give_up(Outcome.CANCELLED)
            assert ended == [Outcome.MOOT]  # which proves that it never ran
            await until(lambda: upstream.pools[FIRST].idle)  # the connection is there for another
            assert not backend.seen and ended == [Outcome.MOOT]

    run(test())
