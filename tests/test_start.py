"""The platform gateway as a process: start, readiness, SIGHUP and SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from ivymux.platform.counter import CONNECTION_COUNT

from .sockets import (
    FakeAgent,
    FakeBackend,
    FakeCounter,
    config_text,
    host_line,
    http_answer,
    listening,
    read_message,
    run,
    until,
)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@contextlib.asynccontextmanager
async def running(path: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Start the program; yield it and its port once it listens."""
    port = free_port()
    env = dict(os.environ) | {"NODE_CONFIG": str(path), "NODE_LISTEN": f"127.0.0.1:{port}"}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ivymux", env=env, stderr=asyncio.subprocess.PIPE
    )
    try:
        while process.returncode is None:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.01)
        yield process, port
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def readiness_status(port: int) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    status = (await read_message(reader)).status
    writer.close()
    return status


def test_the_program_starts_becomes_ready_and_ends_on_sigterm(tmp_path: Path) -> None:
    async def test() -> None:
        backend, agent = FakeBackend(lambda message: http_answer()), FakeAgent()
        async with listening(backend.handle) as endpoint, listening(agent.handle) as discovery:
            host = host_line("s-00000001", endpoint)
            agent.whole_list = json.dumps({"seq": 1, "whole": True, "hosts": [host]}).encode()
            path = tmp_path / "config.json"
            path.write_text(config_text([host], discovery=discovery))
            async with running(path) as (process, port):
                assert await readiness_status(port) == 200
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
                assert process.stderr is not None and await process.stderr.read() == b""

    run(test())


# On SIGHUP the program must neither end nor keep the old addresses; with a bad file it must keep them.
def test_sighup_changes_the_addresses_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        agents, counters = [FakeAgent(), FakeAgent()], [FakeCounter(), FakeCounter()]
        backend = FakeBackend(lambda message: http_answer())
        async with contextlib.AsyncExitStack() as stack:
            host = host_line("s-00000001", await stack.enter_async_context(listening(backend.handle)))
            discovery = [await stack.enter_async_context(listening(a.handle)) for a in agents]
            counter = [await stack.enter_async_context(listening(c.handle)) for c in counters]
            for agent in agents:
                agent.whole_list = json.dumps({"seq": 1, "whole": True, "hosts": [host]}).encode()
            path = tmp_path / "config.json"
            path.write_text(config_text([host], counter[0], discovery[0]))
            process, port = await stack.enter_async_context(running(path))
            await until(
                lambda: agents[0].open_connections and counters[0].total_connections == CONNECTION_COUNT
            )
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            assert b"stays as it was" in await process.stderr.readline()
            assert agents[0].open_connections and await readiness_status(port) == 200
            path.write_text(config_text([host], counter[1], discovery[1]))
            process.send_signal(signal.SIGHUP)
            await until(lambda: len(agents[1].targets) == 2 and not agents[0].open_connections)
            await until(
                lambda: counters[1].total_connections == CONNECTION_COUNT and not counters[0].open_connections
            )
            assert await readiness_status(port) == 200 and process.returncode is None
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


# Guards against gateways that end as their predecessors still stop (issue 73).
def test_the_program_waits_until_its_predecessor_has_ended(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(config_text([]))
        async with running(path) as (predecessor, port):
            env = dict(os.environ) | {"NODE_CONFIG": str(path), "NODE_LISTEN": f"127.0.0.1:{port}"}
            successor = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ivymux", env=env, stderr=asyncio.subprocess.PIPE
            )
            assert successor.stderr is not None
            while b"waits up to" not in (line := await successor.stderr.readline()):
                assert line
            predecessor.send_signal(signal.SIGTERM)
            assert await predecessor.wait() == 0
            while True:
                with contextlib.suppress(OSError):
                    assert await readiness_status(port) == 503  # it has no backend
                    break
            successor.send_signal(signal.SIGTERM)
            assert await successor.wait() == 0

    run(test())
