"""The program itself: a start, readiness and SIGTERM."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

from .sockets import Backend, config_text, host_line, http_answer, listening, read_message, run


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def test_it_starts_becomes_ready_and_ends_on_sigterm(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend(lambda message: http_answer())
        async with listening(backend.handle) as dial:
            path = tmp_path / "config.json"
            path.write_text(config_text([host_line("s-00000001", dial)]))
            port = free_port()
            env = dict(os.environ) | {"NODE_CONFIG": str(path), "NODE_LISTEN": f"127.0.0.1:{port}"}
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ivymux", env=env, stderr=asyncio.subprocess.PIPE
            )
            try:
                while True:
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", port)
                        break
                    except OSError:
                        await asyncio.sleep(0.01)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await read_message(reader)).status == 200
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
                assert process.stderr is not None and await process.stderr.read() == b""
                writer.close()
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(test())
