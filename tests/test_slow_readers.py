"""Clients that read long answers slowly keep their connections until they have read them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.data_plane import server as data_plane
from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.server import Server
from ivymux.data_plane.slow_readers import PATIENCE_S, ReadProgress, readers_to_close, slowest
from ivymux.proxy.status_pages import StatusPagesFrontend

from .sockets import run, until

BODY = b"m" * (24 << 20)  # more than the sockets of loopback addresses hold
CLOSING = b"GET /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
KEPT = b"GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
SHORT_S = 0.1  # in place of the times after which a connection that does nothing is closed


@contextlib.asynccontextmanager
async def long_answers(max_clients: int = 100) -> AsyncIterator[Server]:
    frontend = StatusPagesFrontend({b"/long": lambda: Answer(200, BODY), b"/short": lambda: Answer(200)})
    bounds = Bounds(max_clients, 5, 10, 1 << 20)
    server = Server(frontend, Address("127.0.0.1", 0), bounds, None)
    await server.start()
    try:
        yield server
    finally:
        server.stop_listening()
        server.close()


class SlowReader:
    """A client that has sent a request and reads only when it is told to."""

    def __init__(self, server: Server) -> None:
        assert server.asyncio_server is not None
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        self.socket.setblocking(False)
        self.address = server.asyncio_server.sockets[0].getsockname()
        self.read_bytes = 0

    async def ask(self, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, self.address)
        await loop.sock_sendall(self.socket, request)

    async def read(self, count: int) -> None:
        """Read up to `count` bytes more, or to the end of the connection."""
        loop, wanted = asyncio.get_running_loop(), self.read_bytes + count
        while self.read_bytes < wanted and (data := await loop.sock_recv(self.socket, 256 << 10)):
            self.read_bytes += len(data)

    async def has_whole_answer(self) -> bool:
        await self.read(len(BODY))
        self.socket.close()
        return self.read_bytes >= len(BODY)


async def sweeps(server: Server, count: int) -> None:
    """Wait until timeouts have been checked `count` times more."""
    seen: list[Any] = []

    def is_done() -> bool:
        if not seen or seen[-1] is not server.sweep_timer:
            seen.append(server.sweep_timer)
        return len(seen) > count

    await until(is_done)


# Guards against the review's case 7, and its 3 s after `Connection: close`: the time for the client to close
# began when the answer was handed over, not when it was sent.
@pytest.mark.parametrize("request_bytes", [CLOSING, KEPT])
def test_a_client_that_reads_slowly_gets_its_whole_answer(
    request_bytes: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(data_plane, "LINGER_S", SHORT_S)
    monkeypatch.setattr(data_plane, "EVICTABLE_IDLE_S", SHORT_S)

    async def test() -> None:
        async with long_answers() as server:
            server.idle_timeout = SHORT_S
            reader = SlowReader(server)
            await reader.ask(request_bytes)
            await reader.read(1000)
            for _ in range(4):
                await sweeps(server, 1)
                await reader.read(100_000)
            assert await reader.has_whole_answer()

    run(test())


def test_a_connection_with_an_unread_answer_is_not_closed_for_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(data_plane, "EVICTABLE_SILENT_S", 0.0)

    async def test() -> None:
        async with long_answers(max_clients=1) as server:
            reader, other = SlowReader(server), SlowReader(server)
            await reader.ask(KEPT)
            await reader.read(1000)
            await until(lambda: server.idle_clients)
            await other.ask(KEPT)
            await until(lambda: len(server.clients) == 2)
            assert await reader.has_whole_answer()
            other.socket.close()

    run(test())


# Guards against requests that were read, and whose connection a stop closes as idle before their turn.
def test_a_request_that_waits_for_its_turn_is_answered_by_a_stopping_server() -> None:
    async def test() -> None:
        async with long_answers() as server:
            reader = SlowReader(server)
            await reader.ask(KEPT.replace(b"/long", b"/short"))
            await until(lambda: server.idle_clients)
            (client,) = server.clients
            await reader.read(1)
            before = reader.read_bytes
            client.window_start, client.window_bytes = server.loop.time(), 1 << 30
            client.data_received(KEPT.replace(b"/long", b"/short"))
            assert client.waiting and client in server.idle_clients
            server.stop_listening()
            await reader.read(1)
            assert reader.read_bytes > before
            reader.socket.close()

    run(test())


# Guards against answers that are lost with a process whose machine goes with it.
def test_answers_with_the_kernel_are_undelivered_until_the_clients_machine_has_them() -> None:
    async def test() -> None:
        async with long_answers() as server:
            server.frontend = StatusPagesFrontend({b"/long": lambda: Answer(200, BODY[: 512 << 10])})
            reader = SlowReader(server)
            reader.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 10)
            await reader.ask(KEPT)
            await until(lambda: server.clients)
            (client,) = server.clients
            assert client.transport is not None
            raw = client.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 << 20)
            await until(lambda: server.idle_clients and not client.unsent_bytes)
            assert not server.has_unsent_answers() and server.has_undelivered_answers()
            await reader.read(512 << 10)
            await until(lambda: not server.has_undelivered_answers())
            reader.socket.close()

    run(test())


def test_unsent_answers_are_known_until_they_are_read() -> None:
    async def test() -> None:
        async with long_answers() as server:
            reader = SlowReader(server)
            await reader.ask(KEPT)
            await reader.read(1000)
            assert server.has_unsent_answers()
            server.stop_listening()
            await sweeps(server, 1)
            assert server.has_unsent_answers()
            assert await reader.has_whole_answer()
            await until(lambda: not server.has_unsent_answers())

    run(test())


def test_a_client_that_reads_nothing_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(data_plane, "UNREAD_TIMEOUT_S", SHORT_S)

    async def test() -> None:
        async with long_answers() as server:
            reader = SlowReader(server)
            await reader.ask(CLOSING)
            await reader.read(1000)
            assert server.clients
            await until(lambda: not server.clients)
            reader.socket.close()

    run(test())


# Guards against connections that stay for ever: what is unread may be less than fills a write buffer.
def test_a_client_that_reads_nothing_of_a_short_rest_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(data_plane, "UNREAD_TIMEOUT_S", SHORT_S)
    monkeypatch.setattr(data_plane, "LINGER_S", SHORT_S)

    async def test() -> None:
        async with long_answers() as server:
            reader = SlowReader(server)
            await reader.ask(b"")
            await until(lambda: server.clients)
            (client,) = server.clients
            assert client.transport is not None
            client.transport.set_write_buffer_limits(high=2 * len(BODY))  # it never counts as full
            await asyncio.get_running_loop().sock_sendall(reader.socket, CLOSING)
            await reader.read(1000)
            await until(lambda: not server.clients)
            assert not server.slow_readers
            reader.socket.close()

    run(test())


# --- the limit on unread bytes -----------------------------------------------------------------------------


def reader_progress(unsent_bytes: int, read_bytes: int, observed_s: float = 1.0) -> ReadProgress:
    progress = ReadProgress(10.0 - observed_s, unsent_bytes + read_bytes, unsent_bytes + read_bytes)
    progress.update(10.0, unsent_bytes, unsent_bytes)
    return progress


def test_the_readers_that_need_longest_are_closed_first() -> None:
    readers = {
        "nothing": reader_progress(100, 0), "slow": reader_progress(100, 10),
        "fast": reader_progress(100, 1000), "new": reader_progress(300, 0, 0.0),
    }  # fmt: skip
    assert list(slowest(readers, 10.0, 10, 1000)) == []
    assert list(slowest(readers, 10.0, 10, 500)) == ["nothing"]
    assert list(slowest(readers, 10.0, 10, 400)) == ["nothing", "slow"]
    assert list(slowest(readers, 10.0, 1, 1000)) == ["nothing", "slow", "fast"]


@given(st.lists(st.tuples(st.integers(0, 100), st.integers(0, 100)), max_size=12), st.integers(0, 500))
def test_what_remains_is_within_the_limits(drawn: list[tuple[int, int]], max_bytes: int) -> None:
    readers = {number: reader_progress(*sizes) for number, sizes in enumerate(drawn)}
    closed = set(slowest(readers, 10.0, 8, max_bytes))
    remaining = [progress for number, progress in readers.items() if number not in closed]
    held_bytes = sum(progress.held_bytes for progress in remaining)
    assert len(remaining) <= 8 and (held_bytes <= max_bytes or len(remaining) == 1)


# Guards against a proxy that outgrows its memory: the number of slow readers was limited, not their bytes.
def test_the_bytes_that_wait_for_slow_readers_are_bounded() -> None:
    async def test() -> None:
        async with long_answers() as server:
            server.max_held_answer_bytes = 2 * len(BODY) + 1000
            readers = [SlowReader(server) for _ in range(6)]
            for reader in readers:
                await reader.ask(KEPT)
                await reader.read(1000)
                held_bytes = sum(client.held_answer_bytes for client in server.slow_readers)
                assert held_bytes <= server.max_held_answer_bytes
            assert server.closed_slow_readers >= 3 and len(server.slow_readers) >= 2
            for reader in readers:
                reader.socket.close()

    run(test())


def test_the_readers_that_need_longest_are_closed_where_answers_to_others_wait() -> None:
    readers = {
        "slow": reader_progress(1000, 50, PATIENCE_S), "silent": reader_progress(100, 0, PATIENCE_S),
        "fast": reader_progress(1000, 1000, PATIENCE_S), "new": reader_progress(1000, 0, PATIENCE_S / 4),
    }  # fmt: skip
    assert readers_to_close(readers, 10.0, 0) == []
    assert readers_to_close(readers, 10.0, 1) == ["silent"]
    assert readers_to_close(readers, 10.0, 3) == ["silent", "slow"]
    assert readers_to_close(readers, 10.0, 4) == ["silent", "new", "slow"]  # each has had a quarter
    assert readers_to_close({}, 10.0, 4) == []
