"""Bytes of an earlier answer that arrive, broken off anywhere, where the next answer is due."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from ivymux.data_plane.answer_flow import AnswerFlow
from ivymux.data_plane.attempt import Attempt, Result
from ivymux.data_plane.backend_connection import BackendConnection
from ivymux.proxy.answer_policy import proxy_answer_policy
from orchidhill.interface import Outcome


def answer(status: str, id: str, head: str = "", body: bytes = b"done") -> bytes:
    """Return a whole answer; `head` may name further headers."""
    lines = f"HTTP/1.1 {status}\r\nTry-Id: {id}\r\nServer-Seal: s.{id}\r\n{head}"
    return f"{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Seal: s.old\r\nTry-Id: old\r\n\r\n"
    b"4\r\ndone\r\n0\r\n\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLIER = {
    "with a body": answer("200 OK", "old"),
    "its id at the end": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nServer-Seal: s.old\r\nTry-Id: old\r\n\r\ndone"
    ),
    "whole, then once more": answer("200 OK", "old") * 2,
    "chunked": CHUNKED,
    "without a body": b"HTTP/1.1 204 No Content\r\nTry-Id: old\r\nServer-Seal: s.old\r\n\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\nTry-Id: old\r\n\r\n",
    "without a reason": answer("200 ", "old"),
    "behind an interim answer": INTERIM + answer("200 OK", "old"),
}
NEXT = {
    "a failure": (answer("500 Internal Server Error", "new"), 500),
    "a refusal": (answer("404 Not Found", "new"), 404),
    "a success": (answer("200 OK", "new"), 200),
}


class RecordingTransport(asyncio.Transport):
    """The transport of a connection to a backend; knows whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass


class Exchange:
    """One attempt on a connection, and what became of it."""

    def __init__(self) -> None:
        upstream = SimpleNamespace(
            answer_policy=proxy_answer_policy(1 << 20, 1 << 22), answer_flow=AnswerFlow(1 << 22),
            mismatched_answers=0, interrupted_writes=0, parse_report=lambda text: (),
            loop=SimpleNamespace(call_soon=self.call),
        )  # fmt: skip
        pool = SimpleNamespace(upstream=upstream, backend=1, put_back=self.put_back, forget=lambda _: None)
        self.reused = False
        self.result: Result | None = None
        self.connection = BackendConnection(cast(Any, pool))
        self.transport = RecordingTransport()
        self.connection.transport = self.transport
        self.connection.send(Attempt(b"", self.on_done, request_id=b"new"))

    def call(self, function: Any, *arguments: Any) -> None:
        function(*arguments)

    def put_back(self, connection: BackendConnection) -> None:
        self.reused = True

    def on_done(self, result: Result) -> None:
        self.result = result

    def receive(self, *parts: bytes) -> Result | None:
        for part in parts:
            if not self.transport.aborted:
                self.connection.data_received(part)
        if self.transport.aborted:
            self.connection.connection_lost(None)
        return self.result


def expected_results(result: Result | None, status: int) -> None:
    """Check that a result is the next answer as its backend gave it, or a failure of the proxy's own."""
    if result is None:
        return  # the time-out ends the attempt as one that may have run
    if result.headers is None:
        assert result.outcome not in (Outcome.OK, Outcome.FULL)
    else:
        assert result.status == status
        assert (b"server-seal", b"s.new") in result.headers


# Guards against the review's case 4: the first line of a broken-off second answer became the status of the
# next one, so that a client got 200 for a request that its backend had answered with 500.
@pytest.mark.parametrize("next_name", NEXT)
@pytest.mark.parametrize("earlier_name", EARLIER)
def test_an_earlier_answer_broken_off_anywhere_does_not_change_the_next_one(
    earlier_name: str, next_name: str
) -> None:
    earlier, (following, status) = EARLIER[earlier_name], NEXT[next_name]
    for cut in range(1, len(earlier) + 1):
        surplus = earlier[:cut]
        for parts in ((surplus, following), (surplus + following,), (surplus, following[:9], following[9:])):
            exchange = Exchange()
            expected_results(exchange.receive(*parts), status)
            assert not exchange.reused or surplus == INTERIM  # which may precede any answer


@pytest.mark.parametrize("earlier_name", ["with a body", "its id at the end", "chunked"])
def test_the_next_answer_is_passed_on_behind_a_broken_off_status_line(earlier_name: str) -> None:
    surplus, (following, status) = EARLIER[earlier_name][: len(b"HTTP/1.1 200 OK")], NEXT["a success"]
    result = Exchange().receive(surplus, following)
    assert result is not None and result.outcome is Outcome.OK and result.status == status


def test_bytes_behind_surplus_that_name_no_request_are_no_answer() -> None:
    unnamed = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n"
    result = Exchange().receive(b"HTTP/1.1 200 OK", unnamed)
    assert result is not None and result.outcome is Outcome.ERROR and result.headers is None


def test_a_status_line_in_a_body_or_an_ordinary_header_is_no_second_answer() -> None:
    body = b"HTTP/1.1 200 OK\r\nTry-Id: old\r\n\r\n"
    whole = answer("500 Internal Server Error", "new", "Via: HTTP/1.1 desk\r\n", body)
    for parts in ((whole,), (whole[:90], whole[90:])):
        exchange = Exchange()
        result = exchange.receive(*parts)
        assert result is not None and (result.status, result.body) == (500, body) and exchange.reused


# Guards against a failure that bears a backend's seal and another status than that backend gave.
@pytest.mark.parametrize(
    "status", ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"]
)
def test_a_status_that_is_not_passed_on_leaves_nothing_of_its_answer(status: str) -> None:
    result = Exchange().receive(answer(status, "new"))
    assert result is not None and result.outcome is Outcome.ERROR
    assert (result.status, result.headers) == (0, None)
    result = Exchange().receive(answer(status, "new", "Not-Executed: 1\r\n"))
    assert result is not None and result.outcome is Outcome.FULL
