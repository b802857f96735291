"""A proxy's start: clients that connect before the configuration, and delays between connection attempts."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from pathlib import Path

import pytest

from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.server import Server
from ivymux.proxy.program import MAX_FAILED_CONNECTS, Proxy
from ivymux.proxy.status_pages import READINESS, StatusPagesFrontend
from ivymux.runtime.early_listener import find_client_address
from ivymux.runtime.listening_sockets import ListeningSockets
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import LocalCluster, build_configuration
from ivymux.transport.connector import (
    FAST_RETRIES,
    MAX_FAST_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    reconnect_delay,
)

from ..sockets import run

READY = StatusPagesFrontend({READINESS: lambda: Answer(200)})


def test_clients_that_connect_before_a_proxy_accepts_are_answered_once_it_does() -> None:
    async def test() -> None:
        server = Server(READY, Address("127.0.0.1", 0), Bounds(64, 8, 0, 1 << 16), None)
        server.listen_without_accepting()
        assert server.listening_socket is not None
        port = server.listening_socket.getsockname()[1]
        connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
        for _, writer in connections:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            await writer.drain()
        assert not server.clients  # nothing was accepted, so nothing has been read
        await server.start()
        for reader, writer in connections:
            assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
            writer.close()
        server.stop_listening()
        server.close()

    run(test())


def test_a_proxy_that_ends_before_it_accepts_closes_waiting_connections() -> None:
    async def test() -> None:
        server = Server(READY, Address("127.0.0.1", 0), Bounds(64, 8, 0, 1 << 16), None)
        server.listen_without_accepting()
        assert server.listening_socket is not None
        reader, writer = await asyncio.open_connection("127.0.0.1", server.listening_socket.getsockname()[1])
        server.stop_listening()
        server.close()
        with contextlib.suppress(ConnectionResetError):  # a reset also tells the client that nothing was read
            assert await reader.read() == b""
        writer.close()

    run(test())


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ('network_table:\n  listen_addrs:\n    front_addr: "10.1.0.30:8782"\n', ("10.1.0.30", 8782)),
        ("{listen_addrs: {front_addr: '10.1.0.30:8782'}}", None),  # valid YAML, but not in the plain form
        ("front_addr: *elsewhere", None),
        ("front_addr: 10.1.0.30:http", None),
        ("front_addrs: 10.1.0.30:80\nfront_addr:  '10.1.0.31:81'  ", ("10.1.0.31", 81)),
        ("", None),
    ],
)
def test_the_early_listener_reads_only_plain_addresses(text: str, found: tuple[str, int] | None) -> None:
    assert find_client_address(text) == found


def test_an_early_socket_that_differs_from_the_checked_settings_is_closed() -> None:
    listening = socket.create_server(("127.0.0.1", 0))
    port = listening.getsockname()[1]
    sockets = ListeningSockets()
    sockets.add(listening)
    assert sockets.take(Address("127.0.0.1", port)) is listening
    sockets.add(listening)
    assert sockets.take(Address("127.0.0.1", port + 1)) is None
    sockets.close()  # as `serve` does once the program has started
    assert listening.fileno() == -1
    assert ListeningSockets().take(Address("127.0.0.1", port)) is None


def test_reconnects_are_frequent_at_first_and_rare_later() -> None:
    delays = [reconnect_delay(failures) for failures in range(FAST_RETRIES + 5)]
    assert max(delays[:FAST_RETRIES]) == MAX_FAST_RETRY_DELAY_S and delays[-1] == MAX_RETRY_DELAY_S
    assert sum(delays[:FAST_RETRIES]) > 2.0  # a killed process is back, and listens, within that time


# Guards against a proxy that stays without the core for good: it was without it for more than 60 connects,
# and a settings file read then made it drop all its connections to the core.
def test_a_proxy_that_is_without_the_core_keeps_its_connections_through_a_reload(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        settings = load(cluster.write_settings(cluster.proxy_ips[0], False))
        proxy = Proxy(settings)
        proxy.add_cores(cluster.core_ips)
        for core in proxy.cores.values():
            core.connector.failed_attempts = MAX_FAILED_CONNECTS + 1
        proxy.reload(settings)
        assert list(proxy.cores) == cluster.core_ips
        gone = cluster.core_ips[2]
        proxy.update_cores(cluster.core_ips[:2])  # a core machine lists the present ones
        assert gone not in proxy.cores and len(proxy.cores) == 2
        for core in proxy.cores.values():
            core.connector.close()
        await cluster.close()

    run(test())


# Guards against a proxy that listened twice and ended, as the configuration came while it started (issue 73).
def test_a_configuration_that_arrives_during_the_start_does_not_end_the_proxy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        settings = load(cluster.write_settings(cluster.proxy_ips[0], False))
        sockets = ListeningSockets()
        sockets.open_missing(Proxy.listen_addresses(settings))
        proxy = Proxy(settings, sockets)

        async def receive_configuration() -> None:
            proxy.apply_configuration(1, json.dumps(build_configuration(1)))
            assert proxy.accept_task is not None
            await proxy.accept_task

        monkeypatch.setattr(proxy, "start_metrics_server", receive_configuration)
        await proxy.start()
        listen = proxy.server.listen
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: nowhere\r\nConnection: close\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 4")
        writer.close()
        await proxy.stop()
        await cluster.close()

    run(test())
