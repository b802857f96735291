"""Invalid answers of backends, and answers followed by further bytes, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from ivymux.data_plane.answer_policy import PLATFORM_POLICY, AnswerPolicy
from ivymux.data_plane.limits import Address
from ivymux.data_plane.upstream import Upstream
from ivymux.proxy.answer_policy import proxy_answer_policy
from orchidhill import interface as i
from orchidhill.interface import Outcome

from .sockets import (
    FIRST,
    FakeBackend,
    GatewayClient,
    HttpMessage,
    http_answer,
    listening,
    platform_gateway,
    read_message,
    run,
    send_to_first,
    until,
)

ORDINARY_HTTP_POLICY = AnswerPolicy(passes_all_statuses=True, max_body_bytes=1 << 20, max_held_bytes=1 << 20)
LONG_BODY = bytes(8 << 20)  # more than the sockets' buffers hold


def echo(message: HttpMessage) -> bytes:
    return http_answer(body=message.headers["request-id"].encode())


@contextlib.asynccontextmanager
async def upstream_of_one_backend() -> AsyncIterator[tuple[FakeBackend, Upstream]]:
    """Run a gateway with one backend, named FIRST, until its connections are set up."""
    backend = FakeBackend(echo)
    async with (
        listening(backend.handle) as endpoint,
        platform_gateway(endpoint, react=send_to_first) as (gateway, _),
    ):
        await until(lambda: FIRST in gateway.host.upstream.pools)
        yield backend, gateway.host.upstream


def in_turn() -> Callable[[Any], list[i.Action]]:
    """Return a `react` that sends one request at a time: the next once the last attempt has finished."""
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


# Bytes after an answer must not be taken for the answer to the next request, which may be started as soon as
# the first answer is complete.
@pytest.mark.parametrize(
    "extra", [http_answer(body=b"a second copy"), b"\x00\x01 noise", b"HTTP/1.1 2"], ids=range(3)
)
def test_bytes_after_an_answer_are_not_taken_for_the_next_answer(extra: bytes) -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: echo(message) + extra)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=in_turn()) as (gateway, module),
            GatewayClient(gateway.server) as one,
            GatewayClient(gateway.server) as two,
        ):
            one.writer.write(one.make_request(Request_Id="one"))
            two.writer.write(two.make_request(Request_Id="two"))
            answers = [await read_message(c.reader) for c in (one, two)]
            assert [(a.status, a.body) for a in answers] == [(200, b"one"), (200, b"two")]
            assert module.outcomes() == [Outcome.OK, Outcome.OK]
            assert backend.total_connections == 2  # such a connection is not reused

    run(test())


# The same for bytes that arrive on an idle connection and have not been read when the next attempt starts.
def test_an_idle_connection_with_bytes_to_read_is_not_used() -> None:
    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            while True:
                writer.write(echo(await read_message(reader)))

        async with (
            listening(handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request(Request_Id="one")).body == b"one"
            (pool,) = gateway.host.upstream.pools.values()
            (connection,) = pool.idle
            assert connection.is_usable()
            # The event loop does not run in between, so the bytes are in the socket but not read.
            writers[0].write(http_answer(body=b"a late second copy"))
            assert not connection.is_usable()
            results: list[Any] = []
            payload = b"GET / HTTP/1.1\r\nRequest-Id: two\r\n\r\n"
            gateway.host.upstream.start_attempt(FIRST, payload, 1.0, results.append)
            await until(lambda: results)
            assert results[0].body == b"two"

    run(test())


@pytest.mark.parametrize(
    "invalid",
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
def test_an_invalid_answer_ends_its_attempt_at_once_as_possibly_executed(invalid: bytes) -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: invalid)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request()).status == 502
            # Not RESET, after which the decision module avoids a backend: this one is reachable.
            assert module.outcomes() == [Outcome.ERROR] and not Outcome.ERROR.never_ran
            (finished,) = module.events_of(i.Finished)
            assert finished.spent < 2  # not only just before the client's deadline
            await until(lambda: not backend.open_connections)

    run(test())


@pytest.mark.parametrize(
    "load",
    ["TEXT util=none", "TEXT queue=1_0, util=0.5, latency_ms=3", "=,=,", "TEXT \xff\xfe", "nan"],
    ids=range(5),
)
def test_an_invalid_load_report_does_not_invalidate_its_answer(load: str) -> None:
    async def test() -> None:
        def answer(message: HttpMessage) -> bytes:
            early = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            head = f"HTTP/1.1 200 OK\r\nServer-Load: {load}\r\nContent-Length: 4\r\n\r\n"
            return early + head.encode("latin-1") + b"done"

        backend = FakeBackend(answer)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            for _ in range(2):
                served = await client.send_request()
                assert (served.status, served.body) == (200, b"done")
            assert [e.report for e in module.events_of(i.Finished)] == [(), ()]
            assert backend.total_connections == 1  # the connection is reused

    run(test())


# A new backend at the address of an old one must get neither its connections nor its requests: its caches are
# cold, and it does not know the old one's idempotency records.
def test_a_new_backend_at_an_old_address_does_not_get_the_old_ones_attempts() -> None:
    async def test() -> None:
        backend = FakeBackend(echo)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request()).status == 200
            upstream = gateway.host.upstream
            upstream.update_backend(9, upstream.pools[FIRST].address, 0.0)
            await until(lambda: not backend.open_connections)
            assert (
                await client.send_request()
            ).status == 502  # the decision module still sends to the old one
            assert module.outcomes() == [Outcome.OK, Outcome.CONNECT_FAILED]
            assert len(backend.requests) == 1 and list(upstream.pools) == [9]

    run(test())


# Guards against the review's case 6 where a list of the platform or of an inventory names both.
def test_late_news_of_an_old_backend_leaves_the_pool_of_the_new_one() -> None:
    async def test() -> None:
        async with upstream_of_one_backend() as (_, upstream):
            pool = upstream.pools[FIRST]
            upstream.update_backend(9, pool.address, 0.0)
            upstream.update_backend(FIRST, pool.address, pool.started)
            assert list(upstream.pools) == [9]
            upstream.update_backend(FIRST, pool.address, pool.started + 1.0)  # it has started again there
            assert list(upstream.pools) == [FIRST]
            upstream.update_backend(9, pool.address, 0.0)
            assert list(upstream.pools) == [FIRST]
            upstream.remove_backend(FIRST)
            upstream.update_backend(9, pool.address, 0.0)
            assert list(upstream.pools) == [9]
            upstream.update_backend(FIRST, pool.address, pool.started + 2.0)
            upstream.remove_all_but({FIRST})  # a complete list without the one whose address was taken
            assert list(upstream.pools) == [FIRST] and not upstream.superseded

    run(test())


def test_an_attempt_given_up_while_connecting_is_never_written() -> None:
    async def test() -> None:
        async with upstream_of_one_backend() as (backend, upstream):
            outcomes: list[Outcome] = []
            attempt = upstream.start_attempt(
                FIRST, b"GET / HTTP/1.1\r\n\r\n", 5.0, lambda r: outcomes.append(r.outcome)
            )
            assert not attempt.is_written
            attempt.give_up(Outcome.CANCELLED)
            assert outcomes == [Outcome.MOOT]  # proves that it was not executed
            await until(lambda: upstream.pools[FIRST].idle)  # the connection is kept for another attempt
            assert not backend.requests and outcomes == [Outcome.MOOT]

    run(test())


# Guards against a second run of a request whose backend began with its first bytes, and whose connection
# ended, or was given up, while the rest was still to be written (docs/incidents/early-run.md).
@pytest.mark.parametrize("ended_by", ["reset", "cancel"])
@pytest.mark.parametrize(
    ("policy", "after_reset", "after_cancel"),
    [
        (proxy_answer_policy(1 << 20, 1 << 20), Outcome.RESET, Outcome.CANCELLED),
        (ORDINARY_HTTP_POLICY, Outcome.RESET, Outcome.CANCELLED),
        # Backends of the operators' platform begin a request only when its last byte has come.
        (PLATFORM_POLICY, Outcome.CONNECT_FAILED, Outcome.MOOT),
    ],
    ids=["proxy", "ordinary HTTP", "platform"],
)
def test_a_request_interrupted_while_it_is_written_may_have_run(
    policy: AnswerPolicy, after_reset: Outcome, after_cancel: Outcome, ended_by: str
) -> None:
    async def test() -> None:
        began, may_end = asyncio.Event(), asyncio.Event()

        async def begin_with_the_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            began.set()
            await may_end.wait()
            writer.transport.abort()  # resets the connection, as received bytes are unread

        async with listening(begin_with_the_head) as endpoint:
            upstream = Upstream(1.0, 10.0, (), 8, policy)
            host, _, port = endpoint.rpartition(":")
            upstream.update_backend(FIRST, Address(host, int(port)), 0.0)
            outcomes: list[Outcome] = []
            payload = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY
            attempt = upstream.start_attempt(FIRST, payload, 30.0, lambda r: outcomes.append(r.outcome))
            await began.wait()
            assert attempt.connection is not None and attempt.connection.has_unsent_bytes
            if ended_by == "reset":
                may_end.set()
            else:
                attempt.give_up(Outcome.CANCELLED)
            await until(lambda: outcomes)
            may_end.set()
            expected = after_reset if ended_by == "reset" else after_cancel
            assert (outcomes, upstream.interrupted_writes) == ([expected], 1)
            upstream.close()

    run(test())
