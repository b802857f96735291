"""A door's first moments: who comes before the configuration, how soon other processes are tried again."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.server import Server
from ivymux.proxy.status_pages import READINESS, StatusPagesFrontend
from ivymux.runtime.early_listener import find_client_address, keep_matching
from ivymux.transport.connection import (
    FAST_RETRIES,
    MAX_FAST_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    reconnect_delay,
)

from ..sockets import run

READY = StatusPagesFrontend({READINESS: lambda: Answer(200)})


def test_who_comes_before_a_door_reads_is_answered_once_it_does() -> None:
    async def test() -> None:
        server = Server(READY, Address("127.0.0.1", 0), Bounds(64, 8, 0, 1 << 16), None)
        server.listen_without_accepting()
        assert server.listening_socket is not None
        port = server.listening_socket.getsockname()[1]
        early = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
        for _, writer in early:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            await writer.drain()
        assert not server.clients  # nothing was taken, so nothing has been read
        await server.start()
        for reader, writer in early:
            assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
            writer.close()
        server.stop_listening()
        server.close()

    run(test())


def test_a_door_that_ends_before_it_reads_leaves_nobody_waiting() -> None:
    async def test() -> None:
        server = Server(READY, Address("127.0.0.1", 0), Bounds(64, 8, 0, 1 << 16), None)
        server.listen_without_accepting()
        assert server.listening_socket is not None
        reader, writer = await asyncio.open_connection("127.0.0.1", server.listening_socket.getsockname()[1])
        server.stop_listening()
        server.close()
        with contextlib.suppress(ConnectionResetError):  # either tells that nothing was read
            assert await reader.read() == b""
        writer.close()

    run(test())


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ('network_table:\n  listen_addrs:\n    front_addr: "10.1.0.30:8782"\n', ("10.1.0.30", 8782)),
        ("{listen_addrs: {front_addr: '10.1.0.30:8782'}}", None),  # as YAML has it, but not plainly
        ("front_addr: *elsewhere", None),
        ("front_addr: 10.1.0.30:http", None),
        ("front_addrs: 10.1.0.30:80\nfront_addr:  '10.1.0.31:81'  ", ("10.1.0.31", 81)),
        ("", None),
    ],
)
def test_the_first_step_takes_only_what_is_plain(text: str, found: tuple[str, int] | None) -> None:
    assert find_client_address(text) == found


def test_a_socket_that_the_checked_settings_do_not_name_is_given_up() -> None:
    made = socket.create_server(("127.0.0.1", 0))
    port = made.getsockname()[1]
    assert keep_matching(made, "127.0.0.1", port) is made
    assert keep_matching(made, "127.0.0.1", port + 1) is None and made.fileno() == -1
    assert keep_matching(None, "127.0.0.1", port) is None


def test_a_process_that_was_killed_is_tried_often_and_one_that_is_gone_seldom() -> None:
    waits = [reconnect_delay(tried) for tried in range(FAST_RETRIES + 5)]
    assert max(waits[:FAST_RETRIES]) == MAX_FAST_RETRY_DELAY_S and waits[-1] == MAX_RETRY_DELAY_S
    assert sum(waits[:FAST_RETRIES]) > 2.0  # a process that is killed is back, and listens, within that
