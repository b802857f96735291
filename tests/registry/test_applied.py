"""What an operator's call waits for, and how proxies that join are announced to each other."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from ivymux.registry.program import Registry
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import LocalCluster
from ivymux.transport.connection import Connection
from ivymux.transport.frames import FrameDecoder, Message
from ivymux.transport.http_calls import HttpRequest

from ..sockets import run, until


def connect_proxy(registry: Registry, number: int) -> Connection:
    """Register a proxy without a socket; return its connection."""
    connection = Connection(registry.on_message, on_disconnect=registry.on_disconnect)
    connection.is_connected = True
    registry.handle_message(
        connection,
        {"k": "door", "id": f"d{number}", "ip": "127.0.0.9", "port": 1, "zone": "hall", "run": "", "n": 0},
    )
    return connection


def test_a_call_waits_until_each_connected_proxy_has_the_configuration(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        connections = [connect_proxy(registry, number) for number in range(3)]

        async def call(version: int) -> None:
            await registry.wait_until_applied(version, 30.0)

        waiting = asyncio.create_task(call(7))
        await until(lambda: registry.apply_waiters)
        registry.handle_message(connections[0], {"k": "have", "v": 7})
        registry.handle_message(connections[1], {"k": "have", "v": 6})
        await asyncio.wait([waiting], timeout=0)
        assert not waiting.done()
        registry.handle_message(connections[1], {"k": "have", "v": 9})  # a later version includes this one
        await asyncio.wait([waiting], timeout=0)
        assert not waiting.done()
        connections[2].abort()  # the call no longer waits for a disconnected proxy
        await waiting
        assert not registry.apply_waiters
        await call(7)  # a repeat returns at once: all proxies have the version
        # A proxy that does not answer delays a call for a bounded time only.
        await registry.wait_until_applied(10, 0.0)
        assert not registry.apply_waiters
        await registry.stop()
        await cluster.close()

    run(test())


class RecordingConnection(Connection):
    """A connection that keeps the messages written to it."""

    written: list[Message]

    def write(self, data: bytes) -> None:
        self.written.extend(FrameDecoder().feed(data))


def connect_recording_proxy(registry: Registry, **fields: bool) -> RecordingConnection:
    """Register a proxy without a socket, which says `fields` besides; return its connection."""
    connection = RecordingConnection(registry.on_message, on_disconnect=registry.on_disconnect)
    connection.written = []
    connection.is_connected = True
    message = {"id": "d", "ip": "127.0.0.8", "port": 1, "zone": "hall", "run": "", "n": 0, **fields}
    registry.add_proxy(connection, message)
    return connection


def test_proxies_that_join_together_are_announced_together(tmp_path: Path) -> None:
    """When a whole fleet starts, no proxy gets a message for each other proxy."""

    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        first = connect_recording_proxy(registry)
        first.written.clear()
        connections = [connect_proxy(registry, number) for number in range(40)]
        connections[7].abort()
        await until(lambda: not registry.unannounced and registry.announce_timer is None)
        announcements = [message for message in first.written if message["k"] == "doors"]
        assert len(announcements) <= 2
        expected = {f"d{number}" for number in range(40)} - {"d7"}
        joined = {entry[0] for message in announcements for entry in message["on"]}
        assert joined - {"d", "d7"} == expected
        assert announcements[-1]["off"] == ["d7"]
        await registry.stop()
        await cluster.close()

    run(test())


def test_a_proxy_that_takes_lists_elsewhere_is_sent_none_until_it_asks(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        first = connect_recording_proxy(registry, lists=False)
        connect_proxy(registry, 1)
        await until(lambda: not registry.unannounced and registry.announce_timer is None)
        assert first.written[0]["doors"] == []
        assert not [message for message in first.written if message["k"] == "doors"]
        registry.handle_message(first, {"k": "lists"})
        connect_proxy(registry, 2)
        await until(lambda: not registry.unannounced and registry.announce_timer is None)
        lists = [message for message in first.written if message["k"] == "doors"]
        assert {entry[0] for entry in lists[0]["on"]} == {"d", "d1"}
        assert {entry[0] for message in lists for entry in message["on"]} == {"d", "d1", "d2"}
        await registry.stop()
        await cluster.close()

    run(test())


def test_a_registry_adds_up_its_proxies_counts_of_requests_by_shard(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        for number in range(2):
            connection = connect_proxy(registry, number)
            registry.handle_message(connection, {"k": "loads", "s": "archive", "c": [[3, 2], [9, number]]})
        assert registry.shard_loads == {"archive": {3: 4, 9: 1}}
        registry.report_shard_loads()  # a report that cannot be sent is not repeated
        await until(lambda: not registry.forwarded_calls)
        assert not registry.shard_loads
        await registry.stop()
        await cluster.close()

    run(test())


def test_a_backend_that_holds_keys_is_sent_to_another_machine_without_a_primary(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        body = {
            "service_name": "archive", "address": "10.0.0.9:80", "zone_name": "hall", "capacity": 2,
            "oper_state": "in_service", "call_seq": 1,
        }  # fmt: skip
        plain = await registry.put_backend(HttpRequest("i-1", json.dumps(body).encode()))
        assert plain.status == 200
        with_keys = {**body, "call_seq": 2, "holdings": []}
        answer = await registry.put_backend(HttpRequest("i-1", json.dumps(with_keys).encode()))
        assert answer.status == 503 and registry.backends.records["i-1"].call_seq == 2
        await registry.stop()
        await cluster.close()

    run(test())
