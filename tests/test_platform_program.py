"""The platform gateway over loopback sockets, with fakes of its clients, backends and counter."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from ivymux.data_plane.client_connection import MAX_PIPELINED
from ivymux.data_plane.server import IDLE_TIMEOUT_S, MAX_HEAD_BYTES
from ivymux.platform.frontend import MAX_BODY_BYTES
from orchidhill import interface as i
from orchidhill.admission import WINDOW_S, stable_hash
from orchidhill.interface import Outcome

from .pauses import Pauses
from .sockets import (
    FIRST,
    FakeBackend,
    FakeCounter,
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


def customer_in_mid_window() -> int:
    """Return a customer whose lease window began 8 to 10 s ago."""
    ages = ((c, (time.time() + stable_hash(c) / 2**64 * WINDOW_S) % WINDOW_S) for c in range(1, 1000))
    return next(customer for customer, age in ages if 8 < age < 10)


def test_a_request_is_served_with_its_headers_and_body_unchanged() -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: http_answer(body=b"got " + message.body))
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            ready = await client.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert ready.status == 200
            answer = await client.send_request(1, body=b"a recording", Request_Id="9b1f03aa5c7e2d41")
            assert (answer.status, answer.body) == (200, b"got a recording")
            (seen,) = backend.requests
            assert seen.start_line == "POST /class-1?customer=0000000000000005 HTTP/1.1"
            assert seen.headers["request-id"] == "9b1f03aa5c7e2d41"
            assert seen.headers["idempotency-key"] == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
            assert seen.body == b"a recording"
            # The backend gets the gateway's timeout, which is shorter than the client's.
            assert 3000 < int(seen.headers["request-timeout"].removesuffix("m")) < 4000

    run(test())


def test_the_decision_module_gets_the_terms_of_a_request() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            return [i.Refuse(event.request, 0.25)] if isinstance(event, i.Request) else []

        async with (
            platform_gateway("127.0.0.1:1", react=react) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            answer = await client.send_request(
                2, 900, X_Tier="plan-1", X_Call_Terms="units=2,spread=2,first=1", Client_Retry="1"
            )
            # A refused request is answered at once, with Retry-After.
            assert (answer.status, answer.headers["retry-after"]) == (503, "0.250")
            (event,) = module.events_of(i.Request)
            assert (event.cls, event.plan, event.customer) == (2, 1, 5)
            assert (event.units, event.width, event.first, event.is_retry) == (2.0, 2, 1, True)
            assert 0.8 < event.left <= 0.9

    run(test())


@pytest.mark.parametrize(
    ("cls", "header", "value", "status"),
    [
        (0, "Request-Id", "", 400),
        (0, "Request-Class", "class-1", 400),
        (0, "X-Tier", "gold", 400),
        (0, "Request-Timeout", "4", 400),
        (0, "X-Call-Terms", "units=none,spread=1,first=0", 400),
        (0, "X-Call-Terms", "units=nan,spread=1,first=0", 400),
        (1, "Idempotency-Key", "", 400),  # a keyed class needs a key to detect a repeat
        (2, "Idempotency-Key", "5c0f", 400),
        (0, "X-Pad", "x" * MAX_HEAD_BYTES, 400),
        (2, "Content-Length", str(MAX_BODY_BYTES + 1), 413),
        (2, "Content-Length", "x", 400),
    ],
)
def test_an_invalid_request_reaches_neither_the_decision_module_nor_a_backend(
    cls: int, header: str, value: str, status: int
) -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            bad = client.make_request(cls, 4000, b"", **{header: value})
            assert (await client.send_bytes(bad)).status == status
            assert not module.events and not backend.total_connections

    run(test())


def test_bytes_that_are_not_a_request_are_answered_and_end_the_connection() -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_bytes(b"\x00\x01 nonsense\r\n\r\n")).status == 400
            assert await client.reader.read() == b""
            assert not module.events

    run(test())


@pytest.mark.parametrize("target", [b"http://[::", b"/\xff?customer=0000000000000005", b"*"])
def test_a_malformed_target_is_answered_as_a_client_error(
    target: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            answer = await client.send_bytes(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            assert answer.status in (400, 404) and not module.events

    run(test())
    assert not caplog.records  # nothing is logged per request


def test_a_trailer_does_not_replace_a_header() -> None:
    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            head = client.make_request(2, Request_Id="", Content_Length="", Transfer_Encoding="chunked")
            answer = await client.send_bytes(head + b"3\r\nabc\r\n0\r\nRequest-Id: 9b1f\r\n\r\n")
            assert answer.status == 400 and not module.events

    run(test())


def test_pipelined_requests_are_bounded() -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: http_answer(body=b"x" * MAX_BODY_BYTES))
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            client.writer.write(b"".join(client.make_request() for _ in range(100)))
            answers = [await read_message(client.reader) for _ in range(MAX_PIPELINED + 1)]
            assert [a.status for a in answers] == [200] * MAX_PIPELINED + [503]
            assert "retry-after" in answers[-1].headers
            assert await client.reader.read() == b""  # the rest is not read as requests
            assert len(module.events_of(i.Request)) == MAX_PIPELINED

    run(test())


def test_requests_of_a_client_that_does_not_read_its_answers_are_not_read() -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: http_answer(body=b"x" * MAX_BODY_BYTES))
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            (served,) = gateway.server.clients
            transport = served.transport
            assert transport is not None
            request_count = 0
            while transport.is_reading():  # until the sockets' buffers are full of answers
                request_count += 1
                seen = len(backend.requests)
                client.writer.write(client.make_request())
                await until(lambda seen=seen: len(backend.requests) > seen and not served.exchanges)  # type: ignore[misc]
            client.writer.write(client.make_request())
            for _ in range(request_count + 1):  # all answers arrive once it reads
                answer = await read_message(client.reader)
                assert (answer.status, len(answer.body)) == (200, MAX_BODY_BYTES)

    run(test())


def test_a_client_that_never_reads_is_closed() -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: http_answer(body=b"x" * MAX_BODY_BYTES))
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            (served,) = gateway.server.clients
            transport = served.transport
            assert transport is not None
            while transport.is_reading():
                seen = len(backend.requests)
                client.writer.write(client.make_request())
                await until(lambda seen=seen: len(backend.requests) > seen and not served.exchanges)  # type: ignore[misc]
            served.queued_at -= IDLE_TIMEOUT_S
            await until(lambda: not gateway.server.clients)

    run(test())


def test_pipelined_requests_are_answered_in_their_order() -> None:
    async def test() -> None:
        accepted: list[i.Request] = []

        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                accepted.append(event)
                if len(accepted) == 2:  # the second is answered first
                    return [i.Refuse(accepted[1].request, 0.0), i.Fail(accepted[0].request)]
            return []

        async with (
            platform_gateway("127.0.0.1:1", react=react) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            first = await client.send_bytes(client.make_request() + client.make_request())
            assert MAX_PIPELINED >= 2
            assert [first.status, int((await client.reader.readline()).split()[1])] == [502, 503]

    run(test())


def test_a_disconnect_is_reported_to_the_decision_module_and_the_attempt_runs_on() -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: None)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
        ):
            async with GatewayClient(gateway.server) as client:
                client.writer.write(client.make_request())
                await until(lambda: backend.requests)
            await until(lambda: module.events_of(i.Left))
            assert backend.open_connections == 1 and not module.outcomes() and gateway.host.requests

    run(test())


def test_outcomes_say_whether_a_request_may_have_been_executed() -> None:
    replies: list[tuple[bytes, Outcome]] = [
        (http_answer(500), Outcome.ERROR),
        (http_answer(503, Not_Started="1"), Outcome.FULL),
        (http_answer(504, Not_Started="1"), Outcome.FULL),
        (http_answer(503), Outcome.ERROR),  # does not prove that it was not executed
        (b"", Outcome.RESET),  # closed after the whole request was written
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf", Outcome.RESET),
        (b"what?\r\n\r\n", Outcome.ERROR),  # invalid, and the request may have been executed
    ]

    async def test() -> None:
        for reply, expected in replies:
            backend = FakeBackend(lambda message, reply=reply: reply)  # type: ignore[misc]
            async with (
                listening(backend.handle) as endpoint,
                platform_gateway(endpoint, react=send_to_first) as (gateway, module),
                GatewayClient(gateway.server) as client,
            ):
                assert (await client.send_request(2)).status == 502
                # One attempt each: the gateway does not retry by itself.
                assert (module.outcomes(), len(backend.requests)) == ([expected], 1)

    run(test())


@pytest.mark.parametrize("unsent", [True, False])
def test_a_request_that_was_not_completely_written_was_not_executed(unsent: bool) -> None:
    """The transport calls `pause_writing` while bytes are buffered.

    On loopback 64 KiB are always written at once, so the test makes this call itself.
    """

    async def test() -> None:
        backend = FakeBackend(lambda message: None)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            waiting = asyncio.create_task(client.send_request(2))
            await until(lambda: backend.requests)
            (connection,) = gateway.host.upstream.pools[FIRST].connections
            if unsent:
                connection.pause_writing()
            connection.abort()
            assert (await waiting).status == 502
            assert module.outcomes() == [Outcome.CONNECT_FAILED if unsent else Outcome.RESET]

    run(test())


def test_a_request_on_a_refused_connection_was_not_executed() -> None:
    async def test() -> None:
        async with listening(FakeBackend().handle) as endpoint:
            pass
        async with (
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request(2)).status == 502
            assert module.outcomes() == [Outcome.CONNECT_FAILED]

    run(test())


def test_a_connection_that_is_not_established_ends_with_the_connect_timeout() -> None:
    async def test() -> None:
        # A listener that accepts no connections and has a full backlog: further ones hang.
        with contextlib.ExitStack() as stack:
            silent = stack.enter_context(socket.socket())
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            for _ in range(3):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(silent.getsockname())
            endpoint = f"127.0.0.1:{silent.getsockname()[1]}"
            async with (
                platform_gateway(endpoint, react=send_to_first) as (gateway, module),
                GatewayClient(gateway.server) as client,
            ):
                started_at = time.monotonic()
                assert (await client.send_request(2)).status == 502
                assert module.outcomes() == [Outcome.CONNECT_FAILED]
                assert 0.2 < time.monotonic() - started_at < 2.0  # caps.connect_timeout_s is 0.25

    run(test())


def test_an_attempt_on_a_stale_connection_ends_as_reset_without_a_silent_retry() -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: http_answer(body=b"x") if len(backend.requests) < 2 else b"")
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request(2)).status == 200
            assert (await client.send_request(2)).status == 502
            assert module.outcomes() == [Outcome.OK, Outcome.RESET]
            assert (backend.total_connections, len(backend.requests)) == (1, 2)

    run(test())


def test_connections_are_reused_and_connection_close_is_honoured() -> None:
    async def test() -> None:
        answers = [http_answer(), http_answer(Connection="close"), http_answer()]
        backend = FakeBackend(lambda message: answers[len(backend.requests) - 1])
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            for opened in (1, 1, 2):
                assert (await client.send_request()).status == 200
                assert backend.total_connections == opened

    run(test())


def test_idle_connections_are_closed_before_the_backend_closes_them() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request()).status == 200
            assert backend.open_connections == 1
            pool = gateway.host.upstream.pools[FIRST]
            pool.idle[0].idle_since -= 16.0  # the backends' idle timeout is 30 s
            timer = gateway.host.upstream.sweep_timer
            assert timer is not None
            timer.cancel()
            gateway.host.upstream.close_expired()
            await until(lambda: backend.open_connections == 0)
            assert not pool.connections and gateway.host.upstream.connection_count == 0

    run(test())


def test_a_restarted_backend_gets_new_connections() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request()).status == 200
            (address,) = [pool.address for pool in gateway.host.upstream.pools.values()]
            entry = i.Entry(FIRST, 0, time.time(), i.State.READY, 0, 0, 1.0)
            gateway.host.update_members(i.Members(i.Listing.DELTA, 42, (entry,)), {FIRST: address})
            await until(lambda: backend.open_connections == 0)
            assert (await client.send_request()).status == 200
            assert backend.total_connections == 2

    run(test())


def test_load_reports_are_in_the_order_of_the_settings() -> None:
    async def test() -> None:
        loads = ["TEXT queue=2, latency_ms=180.5, util=0.61", "TEXT queue=2", "TEXT queue=x, util=1", ""]
        backend = FakeBackend(lambda message: http_answer(Server_Load=loads[len(backend.requests) - 1]))
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=send_to_first) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            for _ in loads:
                assert (await client.send_request()).status == 200
            reports = [event.report for event in module.events_of(i.Finished)]
            assert reports == [(180.5, 0.61, 2.0), (), (), ()]

    run(test())


def test_a_probe_returns_the_load_report() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            return [i.Probe(FIRST), i.Refuse(event.request, 0.0)] if isinstance(event, i.Request) else []

        backend = FakeBackend(lambda message: http_answer(body=b"TEXT latency_ms=9, util=0.5, queue=1"))
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=react) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request()).status == 503
            await until(lambda: module.events_of(i.Probed))
            (probed,) = module.events_of(i.Probed)
            assert (probed.backend, probed.outcome, probed.report) == (FIRST, Outcome.OK, (9.0, 0.5, 1.0))
            assert backend.requests[0].start_line == "GET /-/load HTTP/1.1"

    run(test())


@pytest.mark.parametrize("how", ["cancel", "time-out"])
def test_a_given_up_attempt_has_ended_before_the_next_is_sent(how: str) -> None:
    """Two attempts must never be in flight at once: the next may start once the connection has ended."""

    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, FIRST, 0.1 if how == "time-out" else 0.0), i.SetTimer(0.0, 1)]
            if isinstance(event, i.Fired) and how == "cancel":
                # Cancel only after the backend has received the request, so that it is in flight.
                return [i.Cancel(1, 0)] if silent.requests else [i.SetTimer(0.0, 1)]
            if isinstance(event, i.Finished) and event.attempt == 0:
                return [i.Send(event.request, 2, 0.0)]
            return []

        silent = FakeBackend(lambda message: None)
        open_then: list[int] = []

        def serve(message: HttpMessage) -> bytes:
            open_then.append(silent.open_connections)
            return http_answer(body=b"second")

        async with (
            listening(silent.handle) as first,
            listening(FakeBackend(serve).handle) as second,
            platform_gateway(first, second, react=react, caps__second_copies="false") as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            answer = await client.send_request()
            assert (answer.status, answer.body, open_then) == (200, b"second", [0])
            expected = Outcome.CANCELLED if how == "cancel" else Outcome.TIMEOUT
            assert module.outcomes() == [expected, Outcome.OK]

    run(test())


# Gateways must agree on the rest of a quota: one that gets a customer's first request in the middle of a
# window must take the token bucket neither for full nor for emptier than it is.
def test_a_quota_holds_over_two_gateways_that_see_a_customer_first_in_mid_window() -> None:
    async def test() -> None:
        customer = customer_in_mid_window()
        async with (
            listening(FakeBackend().handle) as endpoint,
            listening(FakeCounter().handle) as counter,
            platform_gateway(endpoint, counter=counter) as (one, _),
            platform_gateway(endpoint, counter=counter) as (other, _),
            GatewayClient(one.server, customer) as first,
            GatewayClient(other.server, customer) as second,
        ):
            started_at = time.monotonic()
            served = 0
            for client in (first, second):
                for _ in range(16):
                    served += (await client.send_request()).status == 200
            # The bucket holds 8 tokens and gets 4 per second; a gateway may keep one more.
            assert 8 <= served <= 9 + 4 * (time.monotonic() - started_at)

    run(test())


# A request that merely takes longer must not be given up, as a retry would take as long.
def test_a_request_that_takes_five_times_the_usual_is_not_given_up() -> None:
    async def test() -> None:
        release = asyncio.Event()
        costly: list[HttpMessage] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                message = await read_message(reader)
                if "costly" in message.headers.get("idempotency-key", ""):
                    costly.append(message)
                    await release.wait()
                writer.write(http_answer(body=b"done"))

        async with (
            listening(handle) as first,
            listening(handle) as second,
            platform_gateway(
                first,
                second,
                tariffs__0__quota_rate="0",
                caps__second_copies="false",
                classes__1__dedup_scope="all",
            ) as (gateway, _),
            GatewayClient(gateway.server) as client,
            GatewayClient(gateway.server) as other,
        ):
            decision_module = gateway.host.decision_module
            pending = asyncio.ensure_future(client.send_request(1, Idempotency_Key="costly"))
            await until(lambda: costly)
            sent = time.monotonic()
            while time.monotonic() - sent < 0.5:
                decision_module.class_latency[1] = decision_module.latency = 0.1
                assert (await other.send_request(1)).status == 200
            release.set()
            assert (await pending).status == 200
            assert len(costly) == 1

    run(test())


# There must be no retries in the last millisecond before a deadline; each would cost a connection.
def test_an_attempt_that_ends_at_the_deadline_is_not_retried() -> None:
    async def test() -> None:
        silent = FakeBackend(lambda message: None)
        async with (
            listening(silent.handle) as first,
            listening(silent.handle) as second,
            platform_gateway(first, second, tariffs__0__quota_rate="0", caps__second_copies="false") as (
                gateway,
                _,
            ),
        ):

            async def ask(customer: int) -> int:
                async with GatewayClient(gateway.server, customer) as client:
                    return (await client.send_request(timeout_ms=150 + customer)).status

            statuses = await asyncio.gather(*(ask(customer) for customer in range(8)))
            assert all(status != 200 for status in statuses)
            assert len(silent.requests) == silent.total_connections == 8

    run(test())


# A backend may accept requests without answering any.
def test_a_request_at_a_silent_backend_is_retried_once_its_connection_has_ended() -> None:
    async def test() -> None:
        seen: list[FakeBackend] = []

        def serve(at: int) -> Callable[[HttpMessage], bytes | None]:
            def answer(message: HttpMessage) -> bytes | None:
                seen.append(backends[at])
                return None if seen[0] is backends[at] else http_answer(body=b"done")

            return answer

        backends = [FakeBackend(serve(0)), FakeBackend(serve(1))]
        async with (
            listening(backends[0].handle) as first,
            listening(backends[1].handle) as second,
            platform_gateway(first, second, tariffs__0__quota_rate="0", caps__second_copies="false") as (
                gateway,
                _,
            ),
            GatewayClient(gateway.server) as client,
        ):
            gateway.host.decision_module.class_latency[0] = gateway.host.decision_module.latency = 0.02
            answer = await client.send_request()
            assert (answer.status, answer.body) == (200, b"done")
            assert len(seen) == 2 and seen[0] is not seen[1] and seen[0].open_connections == 0

    run(test())


def test_no_second_copy_is_sent_if_the_settings_forbid_it() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, FIRST, 0.0), i.Send(event.request, FIRST, 0.0)]
            return []

        backend = FakeBackend()
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=react, caps__second_copies="false") as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request()).status == 200
            assert module.outcomes() == [Outcome.MOOT, Outcome.OK] and len(backend.requests) == 1

    run(test())


@pytest.mark.alone
def test_a_request_is_answered_in_time_even_if_the_decision_module_does_not_answer_it() -> None:
    async def test(pauses: Pauses) -> None:
        def react(event: Any) -> list[i.Action]:
            return [i.Send(event.request, FIRST, 0.0)] if isinstance(event, i.Request) else []

        backend = FakeBackend(lambda message: None)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=react) as (gateway, module),
            GatewayClient(gateway.server) as client,
        ):
            started_at = time.monotonic()
            assert (await client.send_request(2, 300)).status == 504
            ended_at = time.monotonic()
            took = ended_at - started_at - pauses.total_within(started_at, ended_at)
            assert took < 0.35  # its deadline and the 50 ms that the protocol allows beyond it
            # The attempt was given up before the deadline, and nothing is left behind.
            assert module.outcomes() == [Outcome.TIMEOUT] and len(module.events_of(i.Left)) == 1
            assert not gateway.host.requests and gateway.host.unanswered_count == 0

    with Pauses() as pauses:
        run(test(pauses))


def test_an_error_in_the_decision_module_loses_no_request(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request) and event.cls == 0:
                raise RuntimeError("a bug")
            if isinstance(event, i.Finished) and event.outcome is not Outcome.OK:
                raise RuntimeError("another")
            return send_to_first(event)

        backend = FakeBackend(lambda message: http_answer(500 if len(backend.requests) == 1 else 200))
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, react=react) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            assert (await client.send_request(0)).status == 503  # it was not executed
            assert (await client.send_request(2)).status == 502  # it may have been executed
            assert (await client.send_request(2)).status == 200
            assert not gateway.host.requests

    run(test())
    assert (
        "the decision module failed on Request" in caplog.text
        and "the decision module failed on Finished" in caplog.text
    )


def test_timers_never_fire_early() -> None:
    """The decision module drops a timer that fires early and would then wait for its next event."""

    async def test() -> None:
        due: dict[int, float] = {}
        fired: list[tuple[int, float]] = []

        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                due.update({n: gateway.host.last_time + n * 0.0017 for n in range(40)})
                return [i.SetTimer(at, n) for n, at in due.items()]
            if isinstance(event, i.Fired):
                fired.append((event.token, gateway.host.last_time))
            return []

        async with (
            platform_gateway("127.0.0.1:1", react=react) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            client.writer.write(client.make_request())
            await until(lambda: len(fired) == 40)
            assert all(at >= due[n] for n, at in fired)

    run(test())


def test_client_connections_are_bounded_and_surplus_clients_are_refused() -> None:
    async def test() -> None:
        async with platform_gateway("127.0.0.1:1", react=lambda event: []) as (gateway, module):
            gateway.server.max_clients = 2
            async with GatewayClient(gateway.server) as one, GatewayClient(gateway.server) as two:
                for busy in (one, two):
                    busy.writer.write(busy.make_request())
                await until(lambda: len(module.events_of(i.Request)) == 2)
                async with GatewayClient(gateway.server) as three:
                    answer = await three.send_request()
                assert (answer.status, "retry-after" in answer.headers) == (503, True)
                assert len(module.events_of(i.Request)) == 2

    run(test())


def test_backend_connections_are_bounded_and_idle_ones_are_replaced() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, event.cls + 1, 0.0)]
            return send_to_first(event)

        one, two = FakeBackend(), FakeBackend(lambda message: None)
        async with (
            listening(one.handle) as first,
            listening(two.handle) as second,
            listening(two.handle) as third,
            platform_gateway(first, second, third, react=react) as (gateway, module),
            GatewayClient(gateway.server) as client,
            GatewayClient(gateway.server) as other,
        ):
            gateway.host.upstream.max_connections = 1
            assert (await client.send_request(0)).status == 200
            client.writer.write(
                client.make_request(1)
            )  # the idle connection to the first backend is closed for it
            await until(lambda: two.requests)
            await until(lambda: one.open_connections == 0)
            assert (
                await other.send_request(2)
            ).status == 502  # no connection is free, so it was not executed
            assert module.outcomes() == [Outcome.OK, Outcome.FULL]

    run(test())


def test_a_drain_serves_new_clients_for_a_while_and_finishes_open_requests() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await go.wait()
            writer.write(http_answer(body=b"late"))
            await asyncio.sleep(5)

        backend = FakeBackend()

        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, 2 if event.cls == 2 else FIRST, 0.0)]
            return []

        async with (
            listening(backend.handle) as first,
            listening(slow) as second,
            platform_gateway(first, second, react=react) as (gateway, module),
            GatewayClient(gateway.server) as slow_client,
            GatewayClient(gateway.server) as client,
        ):
            waiting = asyncio.create_task(slow_client.send_request(2))
            await until(lambda: module.events_of(i.Request))
            drained = asyncio.create_task(gateway.drain())
            await asyncio.sleep(0)
            async with GatewayClient(gateway.server) as late:  # new connections are accepted for a while
                assert (await late.send_request()).status == 200
            assert (await client.send_request()).status == 200
            assert await client.reader.read() == b""  # closed between requests
            go.set()
            answer = await waiting
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            await drained

    run(test())


def test_a_request_that_cannot_finish_before_sigkill_is_answered_with_504() -> None:
    async def test() -> None:
        backend = FakeBackend(lambda message: None)
        async with (
            listening(backend.handle) as endpoint,
            platform_gateway(
                endpoint, react=lambda e: send_to_first(e) if isinstance(e, i.Request) else []
            ) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            waiting = asyncio.create_task(client.send_request(2, 60_000))
            await until(lambda: backend.requests)
            gateway.drain_timeout = 0.7
            await gateway.drain()
            assert (await waiting).status == 504

    run(test())


def test_a_gateway_that_ends_returns_its_unspent_credit_to_the_counter() -> None:
    async def test() -> None:
        customer = customer_in_mid_window()
        tally, backend = FakeCounter(), FakeBackend()
        async with (
            listening(tally.handle) as counter,
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, counter=counter) as (gateway, _),
        ):
            async with GatewayClient(gateway.server, customer) as client:
                for _ in range(4):  # a lease is for three requests, so some of the second is left
                    assert (await client.send_request()).status == 200
            (lease,) = gateway.host.decision_module.leases.values()
            kept, before = lease.credits, sum(tally.totals.values())
            assert kept >= 1
            gateway.host.finish_all()  # as at the end of a drain; unused credit is also returned without it
            await until(lambda: sum(tally.totals.values()) < before)
            assert sum(tally.totals.values()) == pytest.approx(before - kept, abs=0.1)

    run(test())


# Broken connections must not slow down leasing: a call that fails at once is no sign of overload.
def test_the_call_rate_to_a_counter_is_kept_while_its_connections_break() -> None:
    async def test() -> None:
        tally = FakeCounter(lambda number, call: b"?\r\n" if number % 4 == 3 else None)
        async with (
            listening(tally.handle) as counter,
            listening(FakeBackend().handle) as endpoint,
            # A call that takes half of its timeout cuts the rate too, however it ends.  Half of this timeout
            # is as long as a test may run, so that a stall of the machine makes no slow call.
            platform_gateway(endpoint, counter=counter, extra__counter_timeout_s="120") as (gateway, _),
        ):
            decision_module = gateway.host.decision_module
            call_rate = decision_module.call_rate.rate
            for customer in range(1, 80):
                async with GatewayClient(gateway.server, customer) as client:
                    assert (await client.send_request()).status == 200
            assert tally.total_connections > 6 and decision_module.counter_health.failing > 0
            assert decision_module.call_rate.rate >= call_rate

    run(test())


def test_gateways_use_the_same_name_for_a_lease() -> None:
    """Lease windows follow from Unix time: a gateway with its own clock would use other names."""

    async def test() -> None:
        customer = customer_in_mid_window()
        tally, backend = FakeCounter(), FakeBackend()
        async with (
            listening(tally.handle) as counter,
            listening(backend.handle) as endpoint,
            platform_gateway(endpoint, counter=counter) as (gateway, _),
            platform_gateway(endpoint, counter=counter) as (other, _),
            GatewayClient(gateway.server, customer) as client,
            GatewayClient(other.server, customer) as second,
        ):
            assert (await client.send_request()).status == 200
            assert (await second.send_request()).status == 200
            assert abs(gateway.host.last_time - time.time()) < 5
            names = [name for _, name, *_ in tally.calls]
            assert len(names) >= 4 and len(set(names)) == 1  # each reads the total first, then leases

    run(test())
