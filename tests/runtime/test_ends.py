"""What a program's log says about its start and its end."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from ivymux.simulation.local_cluster import ROOT, LocalCluster

from ..sockets import run


async def log_of_ended_proxy(folder: Path, number: signal.Signals) -> tuple[int, str]:
    """Start a proxy, send it a signal once it listens, and return its exit code and its output."""
    cluster = LocalCluster(folder)
    path = cluster.write_settings(cluster.proxy_ips[0], True)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ivymux", "proxy", "--settings", str(path), cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    assert process.stdout is not None
    lines = []
    while b"listening on" not in (line := await process.stdout.readline()):
        lines.append(line)
    process.send_signal(number)
    lines.append(await process.stdout.read())
    await cluster.close()
    return await process.wait(), b"".join(lines).decode()


@pytest.mark.parametrize(
    ("number", "code", "reason"),
    [
        (signal.SIGTERM, 0, "SIGTERM was received"),
        (signal.SIGBUS, -signal.SIGBUS, "Fatal Python error: Bus error"),
        (signal.SIGSEGV, -signal.SIGSEGV, "Fatal Python error: Segmentation fault"),
    ],
)
def test_a_program_that_ends_says_why(tmp_path: Path, number: signal.Signals, code: int, reason: str) -> None:
    async def test() -> None:
        ended, log = await log_of_ended_proxy(tmp_path, number)
        assert ended == code
        assert "proxy: starts ivymux " in log
        assert reason in log

    run(test())


async def code_of_stopped_registry(folder: Path, redirections: str) -> int:
    """Start a registry with these redirections of a shell, stop it once it serves; return its exit code."""
    cluster = LocalCluster(folder)
    (core, *_) = cluster.core_ips
    path = cluster.write_settings(core, True)
    command = f"exec {sys.executable} -m ivymux registry --settings {path} {redirections}"
    environment = {name: text for name, text in os.environ.items() if name != "PYTHONUNBUFFERED"}
    process = await asyncio.create_subprocess_exec("/bin/sh", "-c", command, cwd=ROOT, env=environment)
    while process.returncode is None and (await cluster.call_core("GET", core, "/configuration"))[0] == 0:
        await asyncio.sleep(0.02)
    assert process.returncode is None
    process.send_signal(signal.SIGTERM)
    code = await process.wait()
    await cluster.close()
    return code


# Guards against processes that abort because their standard streams are closed: sockets got these numbers.
@pytest.mark.parametrize("closed", ["<&-", ">&-", "2>&-", "<&- >&- 2>&-"])
def test_a_program_runs_and_stops_with_standard_streams_closed(tmp_path: Path, closed: str) -> None:
    async def test() -> None:
        assert await code_of_stopped_registry(tmp_path, closed) == 0

    run(test())


# Guards against a stop with code 120 because the log could not be written (issue 76).
@pytest.mark.parametrize("log", [">/dev/full", ">/dev/full 2>&1"])
def test_a_program_runs_and_stops_with_a_log_that_cannot_be_written(tmp_path: Path, log: str) -> None:
    async def test() -> None:
        assert await code_of_stopped_registry(tmp_path, log) == 0

    run(test())
