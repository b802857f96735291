"""The frontend for ordinary HTTP: which header fields it forwards or sets, and which requests it refuses."""

from __future__ import annotations

import asyncio
import json
import struct
from pathlib import Path
from socket import SO_LINGER, SOL_SOCKET

import pytest

from standins.worker import ReceivedRequest, Reply, encode_answer
from tests.routes.describing import described, operation
from tests.sockets import read_steadily, run, until

from .fixtures import PATHS, Client, make_request, read_answer, running_gateway, send_request


def test_a_request_is_served_and_headers_pass_both_ways(tmp_path: Path) -> None:
    def respond(request: ReceivedRequest) -> Reply:
        fields = "X-Own: 1\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nServer-Load: TEXT queue=1\r\n"
        fields += "Connection: X-Hop\r\nX-Hop: secret\r\nKeep-Alive: timeout=5"
        return Reply(data=encode_answer(418, b"tea", fields))

    async def test() -> None:
        async with running_gateway(tmp_path, [respond]) as fixture:
            answer = await send_request(
                fixture, "GET /read/7?x=%41", X_Extra="e", Connection="X-Away", X_Away="1", TE="trailers"
            )
            assert (answer.status, answer.body, answer.header("x-own")) == (418, b"tea", "1")
            assert [v for k, v in answer.headers if k.lower() == "set-cookie"] == ["a=1", "b=2"]
            assert not any(answer.header(n) for n in ("x-hop", "keep-alive", "server-load", "connection"))
            forwarded = fixture.workers[0].last_request
            assert forwarded is not None and (forwarded.method, forwarded.target) == ("GET", b"/read/7?x=%41")
            assert (forwarded.header("x-extra"), forwarded.header("host")) == ("e", "h.example")
            assert forwarded.header("ivymux-customer") == "c" and len(forwarded.header("request-id")) == 16
            assert not any(forwarded.header(n) for n in ("x-away", "te", "connection", "x-api-key"))

    run(test())


def test_forwarding_fields_are_accepted_from_trusted_proxies_only(tmp_path: Path) -> None:
    async def test() -> None:
        forged_fields = {"X_Forwarded_For": "6.6.6.6", "Forwarded": "for=6.6.6.6", "X_Real_IP": "6.6.6.6"}
        forged_fields |= {"X_Original_URL": "/admin", "Ivymux_Customer": "other", "X_Forwarded_Host": "evil"}
        async with running_gateway(tmp_path) as fixture:
            await send_request(fixture, "GET /read/7", **forged_fields)
            forwarded = fixture.workers[0].last_request
            assert forwarded is not None and forwarded.header("x-forwarded-for") == "127.0.0.1"
            assert forwarded.header("forwarded") == 'for=127.0.0.1;host="h.example";proto=http'
            assert (
                forwarded.header("x-forwarded-host") == "h.example"
                and forwarded.header("ivymux-customer") == "c"
            )
            assert not any(b"6.6.6.6" in v or b"/admin" in v for _, v in forwarded.headers)
        async with running_gateway(tmp_path, top='trusted_proxies = ["127.0.0.0/8"]') as fixture:
            await send_request(fixture, "GET /read/7", **forged_fields)
            forwarded = fixture.workers[0].last_request
            assert forwarded is not None and forwarded.header("x-forwarded-for") == "6.6.6.6, 127.0.0.1"
            assert forwarded.header("forwarded").startswith("for=6.6.6.6, for=127.0.0.1")
            assert forwarded.header("ivymux-customer") == "c" and not forwarded.header("x-original-url")

    run(test())


@pytest.mark.parametrize(
    ("line", "headers", "status"),
    [
        ("GET /none", {}, 404), ("PATCH /write", {}, 405), ("GET /read/7", {"X_API_Key": "wrong"}, 401),
        ("GET /read/7", {"X_API_Key": ""}, 401), ("GET /read//7", {}, 400), ("GET /read/%2F", {}, 400),
        ("GET /read/7;v=1", {}, 400), ("GET /read/../write", {}, 400), ("GET /READ/7", {}, 404),
        ("GET /read/7?_method=DELETE", {}, 400), ("GET /read/7", {"X_HTTP_Method_Override": "DELETE"}, 400),
        ("GET /read/7", {"Host": "a b"}, 400), ("GET /read/7", {"Host": ""}, 400),
        ("GET /read/7", {"Upgrade": "websocket", "Connection": "upgrade"}, 200),
        ("POST /keyed", {"Idempotency_Key": "a b"}, 400), ("GET ftp://h/read/7", {}, 400), ("GET *", {}, 400),
        ("GET http://other.example/read/7", {}, 200), ("OPTIONS /write", {}, 204),
        ("GET /read/7", {"Transfer_Encoding": "gzip, chunked"}, 501),
    ],
)  # fmt: skip
def test_a_refused_request_never_reaches_a_worker(
    tmp_path: Path, line: str, headers: dict[str, str], status: int
) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as fixture:
            data = make_request(line, **headers)
            if "Transfer_Encoding" in headers:
                data += b"0\r\n\r\n"
            async with Client(fixture.gateway) as client:
                answer = await client.send_bytes(data)
            assert answer.status == status
            if status >= 400:
                assert answer.problem["detail"] and not fixture.record.received
            if status in (204, 405):
                assert answer.header("allow").split(", ")[-1] in ("PUT", "POST")
            if status == 401:
                assert answer.header("www-authenticate").startswith("ApiKey")
            if "other" in line:
                forwarded = fixture.workers[0].last_request
                assert forwarded is not None and (forwarded.target, forwarded.header("host")) == (
                    b"/read/7",
                    "other.example",
                )

    run(test())


def test_a_form_field_that_overrides_the_method_is_refused_unless_the_operation_is_unsafe(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as fixture:
            form = {"Content_Type": "application/x-www-form-urlencoded; charset=utf-8"}
            answer = await send_request(
                fixture, "POST /keyed", b"a=1&%5Fmethod=delete", Idempotency_Key="k", **form
            )
            assert answer.status == 400 and not fixture.record.received
            assert (await send_request(fixture, "POST /write", b"_method=delete", **form)).status == 200
            assert (
                await send_request(fixture, "POST /keyed", b"_method=delete", Idempotency_Key="k")
            ).status == 200

    run(test())


def test_headers_with_an_underscore_do_not_pass(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as fixture:
            data = make_request("GET /read/7").replace(
                b"\r\n\r\n", b"\r\nX_Http_Method_Override: DELETE\r\n\r\n"
            )
            async with Client(fixture.gateway) as client:
                assert (await client.send_bytes(data)).status == 200
            forwarded = fixture.workers[0].last_request
            assert forwarded is not None and not any(b"_" in name for name, _ in forwarded.headers)

    run(test())


def test_a_body_too_large_is_413_and_one_that_fits_is_forwarded_completely(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, limits="body_kb = 64") as fixture:
            assert (await send_request(fixture, "POST /write", b"x" * 65_537)).status == 413
            assert (await send_request(fixture, "POST /write", b"y" * 65_536)).status == 200
            forwarded = fixture.workers[0].last_request
            assert forwarded is not None and forwarded.body == b"y" * 65_536

    run(test())


def test_an_exhausted_quota_is_429_with_retry_after_and_a_too_costly_request_403(tmp_path: Path) -> None:
    limit = {"name": "limit", "in": "query", "schema": {"type": "integer"}}
    costly = operation(parameters=[limit], x={"cost": {"from": "query.limit", "per": 1, "most": 50}})

    async def test() -> None:
        document = described({"/a": {"get": costly}})
        async with running_gateway(tmp_path, document=document, plan="rate = 2.0\nburst = 10") as fixture:
            assert (await send_request(fixture, "GET /a?limit=10")).status == 200
            answer = await send_request(fixture, "GET /a?limit=8")
            assert answer.status == 429 and "Nothing was done" in answer.problem["detail"]
            assert 1 <= int(answer.header("retry-after")) <= 4  # 8 units are refilled in 4 s
            answer = await send_request(fixture, "GET /a?limit=11")
            assert answer.status == 403 and "11 units" in answer.problem["detail"]
            assert sum(fixture.record.received.values()) == 1

    run(test())


@pytest.mark.parametrize(
    ("reply", "line", "status", "runs"),
    [
        (Reply(data=encode_answer(500, b"mine")), "GET /read/7", 500, 3),
        (Reply(data=encode_answer(500, b"mine")), "POST /write", 500, 1),
        (Reply(reset=True), "GET /read/7", 502, 3),
        (Reply(reset=True), "POST /write", 502, 1),
        (Reply(delay=60.0), "GET /slow", 504, 1),
        (Reply(execute=False, data=encode_answer(503, headers="Not-Started: 1")), "POST /write", 503, 0),
        (Reply(data=encode_answer(503, b"later", "Retry-After: 7")), "POST /write", 503, 1),
        (Reply(data=encode_answer(404, b"gone")), "POST /write", 404, 1),
    ],
)
def test_a_workers_failure_is_answered_with_the_matching_status(
    tmp_path: Path, reply: Reply, line: str, status: int, runs: int
) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, [lambda request: reply] * 3) as fixture:
            answer = await send_request(fixture, line, Request_Id="r1")
            assert answer.status == status and fixture.record.executions["r1"] <= runs
            if runs == 1:
                assert fixture.record.executions["r1"] == 1
            if reply.data and b"Not-Started" not in reply.data:
                assert answer.body == reply.data.partition(b"\r\n\r\n")[2]  # the worker's own body
            else:
                assert answer.problem["instance"] == "urn:request:r1" and answer.header("request-id") == "r1"

    run(test())


@pytest.mark.parametrize(
    ("line", "data", "status", "length", "is_reused"),
    [
        ("HEAD /read/7", b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", 200, "99", True),
        ("HEAD /read/7", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, "", True),
        ("HEAD /read/7", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "4", False),
        ("HEAD /read/7", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", 200, "", False),
        ("GET /read/7", b"HTTP/1.1 204 X\r\n\r\n", 204, "", True),
        ("GET /read/7", b"HTTP/1.1 204 X\r\nContent-Length: 3\r\n\r\n", 204, "", False),
        ("GET /read/7", b"HTTP/1.1 204 X\r\nContent-Length: 3\r\n\r\nabc", 204, "", False),
        ("GET /read/7", b"HTTP/1.1 304 X\r\nContent-Length: 50\r\nETag: x\r\n\r\n", 304, "50", True),
        ("GET /read/7", b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + encode_answer(200, b"good"),
         200, "4", True),
        ("GET /read/7", b"HTTP/1.1 100 Continue\r\n\r\n" + encode_answer(200, b"good"), 200, "4", True),
        ("GET /read/7", b"HTTP/1.1 200 X\r\n\r\nto the end", 200, "10", False),
    ],
)  # fmt: skip
def test_answers_with_and_without_bodies(
    tmp_path: Path, line: str, data: bytes, status: int, length: str, is_reused: bool
) -> None:
    ends_with_connection = data.endswith(b"to the end")

    def respond(request: ReceivedRequest) -> Reply:
        return Reply(data=data, close=ends_with_connection)

    async def test() -> None:
        async with running_gateway(tmp_path, [respond]) as fixture:
            async with Client(fixture.gateway) as client:
                for _ in range(3):  # on one connection: no bytes of an answer may be left for the next one
                    answer = await client.send_request(line)
                    assert (answer.status, answer.header("content-length")) == (status, length)
                    assert not answer.header("transfer-encoding")
            assert (fixture.workers[0].accepted_connections == 1) is is_reused

    run(test())


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nBad Name: x\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_an_ambiguous_answer_is_invalid(tmp_path: Path, head: bytes) -> None:
    def respond(request: ReceivedRequest) -> Reply:
        return Reply(data=head + b"4\r\nHTTP\r\n0\r\n\r\n" + encode_answer(200, b"another's"))

    async def test() -> None:
        async with running_gateway(tmp_path, [respond]) as fixture:
            async with Client(fixture.gateway) as client:
                for _ in range(3):
                    answer = await client.send_request("POST /write")
                    assert answer.status == 502 and b"another" not in answer.body
            assert fixture.workers[0].accepted_connections == 3

    run(test())


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Content-Length: +4\r\n",
        b"Content-Length : 4\r\n",
        b"X: a\r\n Transfer-Encoding: chunked\r\n",
        b"Host: other\r\n",
    ],
)
def test_an_ambiguous_request_is_refused(tmp_path: Path, fields: bytes) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as fixture:
            data = b"POST /write HTTP/1.1\r\nHost: h\r\nX-API-Key: iv_test-key\r\n" + fields + b"\r\n"
            data += b"0\r\n\r\nGET /read/smuggled HTTP/1.1\r\nHost: h\r\nX-API-Key: iv_test-key\r\n\r\n"
            async with Client(fixture.gateway) as client:
                answer = await client.send_bytes(data)
                assert answer.status in (400, 501)
                rest = await client.reader.read()
            assert rest.count(b"HTTP/1.1 200") <= 1 and not fixture.record.received

    run(test())


def test_a_chunked_body_is_forwarded_with_its_length_and_without_trailers(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as fixture:
            data = make_request("POST /write").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            async with Client(fixture.gateway) as client:
                answer = await client.send_bytes(data + b"3\r\nabc\r\n0\r\nX-API-Key: other\r\n\r\n")
            forwarded = fixture.workers[0].last_request
            assert answer.status == 200 and forwarded is not None
            assert (forwarded.body, forwarded.header("content-length")) == (b"abc", "3")
            assert not forwarded.header("transfer-encoding") and not forwarded.header("x-api-key")

    run(test())


def test_a_client_that_closes_its_sending_side_still_gets_its_answers(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, [lambda request: Reply(delay=0.05)]) as fixture:
            async with Client(fixture.gateway) as client:
                client.writer.write(make_request("GET /read/1") + make_request("GET /read/2"))
                client.writer.write_eof()
                assert [(await read_answer(client.reader)).status for _ in range(2)] == [200, 200]
                assert await client.reader.read() == b""
            await until(lambda: not fixture.gateway.server.clients)
            assert not fixture.gateway.host.requests

    run(test())


def test_an_incomplete_request_is_not_sent_to_a_worker(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as fixture:
            async with Client(fixture.gateway) as client:
                client.writer.write(make_request("POST /write", b"whole")[:-2])
                client.writer.write_eof()
                await client.reader.read()
            await until(lambda: not fixture.gateway.server.clients)
            assert not fixture.record.received and fixture.gateway.server.held_bytes == 0

    run(test())


def reset(client: Client) -> None:
    """Disconnect with a TCP reset."""
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


def test_a_disconnected_client_holds_no_memory(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, [lambda request: Reply(delay=0.2)]) as fixture:
            client = Client(fixture.gateway)
            await client.__aenter__()
            client.writer.write(make_request("POST /write", b"x" * 1000))
            await until(lambda: fixture.record.received)
            reset(client)
            await until(lambda: not fixture.gateway.host.requests)
            assert fixture.gateway.server.held_bytes == 0 and not any(fixture.gateway.classes.open_requests)
            assert max(fixture.record.executions.values()) == 1

    run(test())


@pytest.mark.parametrize(("line", "is_cancelled"), [("GET /read/1", True), ("POST /write", False)])
def test_a_disconnect_cancels_a_read_but_not_a_write(tmp_path: Path, line: str, is_cancelled: bool) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, [lambda request: Reply(delay=20.0)]) as fixture:
            async with Client(fixture.gateway) as client:
                client.writer.write(make_request(line))
                await until(lambda: fixture.record.received)
                reset(client)  # after a plain close the client might still read its answer
            host = fixture.gateway.host
            await until(lambda: host.departures.requests)
            if is_cancelled:
                await until(lambda: not host.requests)
            assert (host.departures.cancelled, len(host.requests)) == ((1, 0) if is_cancelled else (0, 1))

    run(test())


def test_clients_that_do_not_read_their_answers_are_closed(tmp_path: Path) -> None:
    big = encode_answer(200, b"z" * (1 << 20))

    async def test() -> None:
        limits = "answer_kb = 2048\nmemory_mb = 128"
        async with running_gateway(tmp_path, [lambda request: Reply(data=big)], limits=limits) as fixture:
            max_unread = fixture.gateway.frontend.max_unread_clients
            clients = [Client(fixture.gateway) for _ in range(max_unread + 4)]
            for client in clients:
                await client.__aenter__()
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.writer.write(make_request("GET /read/1") * 4)
            await until(lambda: fixture.record.received.total() >= max_unread)
            await until(lambda: len(fixture.gateway.server.clients) <= max_unread)
            assert len(fixture.gateway.server.slow_readers) <= max_unread
            assert (await send_request(fixture, "GET /read/1")).status == 200
            for client in clients:
                client.writer.transport.abort()

    run(test())


# Guards against honest clients that lose their connections because others read long answers too.
@pytest.mark.alone
def test_clients_that_read_long_answers_at_a_steady_rate_get_them_whole(tmp_path: Path) -> None:
    body = b"z" * (16 << 20)  # more than the sockets of loopback addresses hold

    async def test() -> None:
        limits = "answer_kb = 32768\nmemory_mb = 256"
        responder = lambda request: Reply(data=encode_answer(200, body))  # noqa: E731
        async with running_gateway(tmp_path, [responder] * 4, limits=limits) as fixture:
            port = fixture.gateway.port
            request = make_request("GET /read/1", Connection="close")
            lengths = await asyncio.gather(*(read_steadily(port, request) for _ in range(16)))
            assert min(lengths) > len(body)  # with its head

    run(test())


def test_readiness_and_the_request_id(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as fixture:
            assert (await send_request(fixture, "GET /-/ready", b"", "")).body == b"ready\n"
            await send_request(fixture, "GET /read/7", Request_Id="mine-1")
            forwarded = fixture.workers[0].last_request
            assert forwarded is not None and forwarded.header("request-id") == "mine-1"
            await send_request(fixture, "GET /read/7", Request_Id="a b\tc")
            assert fixture.workers[0].last_request is not None
            assert len(fixture.workers[0].last_request.header("request-id")) == 16

    run(test())


def test_a_refusal_is_problem_details_in_json(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, document=described(PATHS)) as fixture:
            answer = await send_request(fixture, "GET /none")
            assert json.loads(answer.body) == {
                "type": "about:blank", "title": "No such path", "status": 404,
                "detail": "no such path in the description",
            }  # fmt: skip

    run(test())


def test_a_bearer_token_is_accepted_as_an_api_key(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, callers='header = "Authorization"') as fixture:
            assert (
                await send_request(fixture, "GET /read/1", Authorization="Bearer iv_test-key")
            ).status == 200
            assert (
                await send_request(fixture, "GET /read/1", Authorization="bearer  iv_test-key")
            ).status == 200
            assert (
                await send_request(fixture, "GET /read/1", Authorization="Basic iv_test-key")
            ).status == 401
            forwarded = fixture.workers[0].last_request
            assert forwarded is not None and not forwarded.header("authorization")
            await asyncio.sleep(0)

    run(test())
