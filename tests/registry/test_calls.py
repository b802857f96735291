"""Truncated HTTP calls of backends change nothing."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from ivymux.registry.backend_records import UP
from ivymux.registry.program import Registry
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import LocalCluster

from ..sockets import run, until

BODY = json.dumps(
    {
        "service_name": "archive", "address": "10.0.0.9:80", "zone_name": "hall", "config_version": "v1",
        "capacity": 2, "oper_state": "in_service", "warmup_left": "0ms", "call_seq": 1,
    }
).encode()  # fmt: skip
CALL = b"PUT /instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


def test_a_call_truncated_at_any_byte_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        await registry.start()
        listen = registry.server.listen
        for size in range(len(CALL)):
            reader, writer = await asyncio.open_connection(listen.host, listen.port)
            writer.write(CALL[:size])
            writer.write_eof()
            assert b" 200 " not in await reader.read()
            writer.close()
        await until(lambda: not registry.server.clients)
        assert not registry.backends.records and registry.backends.last_change == 0
        # The last byte of the body is late and the connection stays open: nothing is done before it arrives.
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        writer.write(CALL[:-1])
        await until(lambda: any(client.has_headers for client in registry.server.clients))
        assert not registry.backends.records
        writer.write(CALL[-1:])
        assert b" 200 " in await reader.readline()
        assert registry.backends.records["i-1"].state == UP
        writer.close()
        await registry.stop()
        await cluster.close()

    run(test())
