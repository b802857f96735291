"""Programs that start while their predecessors stop, or while their settings are written."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from ivymux.data_plane.limits import Address
from ivymux.runtime import settings_file
from ivymux.runtime.listening_sockets import ListenError, ListeningSockets
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings, load
from ivymux.simulation.local_cluster import ROOT, LocalCluster

from ..sockets import run

# By role, what the log says once the program has its addresses.
STARTED = {"proxy": "listening on", "registry": "takes calls on", "config_store": "starts as"}
WAITS = "waits up to"


class LoggedProcess:
    """A program as a process, and the lines that it has logged."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.log = process, ""

    async def read_until(self, text: str) -> None:
        """Read the log until a line with this text.  Raises AssertionError at its end."""
        assert self.process.stdout is not None
        while text not in self.log:
            line = await self.process.stdout.readline()
            assert line, f"{text!r} is missing in: {self.log}"
            self.log += line.decode()


class Starter:
    """Starts one machine's programs, and kills those that still run at the end."""

    def __init__(self, folder: Path, role: str) -> None:
        self.cluster, self.role = LocalCluster(folder), role
        ips = self.cluster.proxy_ips if role == "proxy" else self.cluster.core_ips
        self.settings_path = self.cluster.write_settings(ips[0], True)
        self.started: list[LoggedProcess] = []

    async def start(self) -> LoggedProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ivymux", self.role, "--settings", str(self.settings_path), cwd=ROOT,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        self.started.append(LoggedProcess(process))
        return self.started[-1]


@contextlib.asynccontextmanager
async def starter(folder: Path, role: str) -> AsyncIterator[Starter]:
    made = Starter(folder, role)
    try:
        yield made
    finally:
        for logged in made.started:
            if logged.process.returncode is None:
                logged.process.kill()
                await logged.process.wait()
        await made.cluster.close()


# Guards against successors that ended again and again with "address already in use" (issue 73).
@pytest.mark.parametrize("role", list(STARTED))
def test_a_program_waits_until_its_predecessor_has_ended(tmp_path: Path, role: str) -> None:
    async def test() -> None:
        async with starter(tmp_path, role) as machine:
            predecessor = await machine.start()
            await predecessor.read_until(STARTED[role])
            successor = await machine.start()
            await successor.read_until(WAITS)
            assert STARTED[role] not in successor.log
            predecessor.process.send_signal(signal.SIGTERM)
            await successor.read_until(STARTED[role])
            assert await predecessor.process.wait() == 0
            assert successor.process.returncode is None

    run(test())


def test_a_program_that_waits_for_its_predecessor_can_be_stopped(tmp_path: Path) -> None:
    async def test() -> None:
        async with starter(tmp_path, "proxy") as machine:
            predecessor = await machine.start()
            await predecessor.read_until(STARTED["proxy"])
            successor = await machine.start()
            await successor.read_until(WAITS)
            successor.process.send_signal(signal.SIGTERM)
            assert await successor.process.wait() == 0
            assert predecessor.process.returncode is None

    run(test())


def test_an_address_that_stays_in_use_ends_the_start() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as occupant:
            address = Address("127.0.0.1", occupant.getsockname()[1])
            sockets, stopping = ListeningSockets(), asyncio.Event()
            with pytest.raises(ListenError, match="in use"):
                await sockets.open([Address("127.0.0.1", 0), address], 0.2, stopping, Log("test"))
            assert not sockets.by_address  # nothing is held meanwhile

    run(test())


# Guards against programs that ended because their settings file was empty for a moment (issue 73).
def test_a_program_waits_until_its_settings_are_written(tmp_path: Path) -> None:
    async def test() -> None:
        async with starter(tmp_path, "registry") as machine:
            text = machine.settings_path.read_text()
            machine.settings_path.write_text("")
            registry = await machine.start()
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(registry.process.wait(), 1.5)
            machine.settings_path.write_text(text[: len(text) // 2])
            machine.settings_path.write_text(text)
            await registry.read_until(STARTED["registry"])

    run(test())


def test_settings_that_stay_invalid_end_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with starter(tmp_path, "registry") as machine:
            machine.settings_path.write_text("self_entity: 1\n")
            registry = await machine.start()
            await registry.read_until("ivymux: settings: Expected")
            assert await registry.process.wait() == 2

    run(test())


# Guards against a start that ends as its settings are written between reading and judging them (issue 76).
def test_settings_that_are_written_while_they_are_read_are_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = LocalCluster(tmp_path).write_settings("127.0.0.1", True)
    text = path.read_text()
    path.write_text("")
    monkeypatch.setattr(settings_file, "MAX_INVALID_S", -1.0)  # the file has been empty for longer than that
    reads: list[str] = []

    def load_and_write(path: Path) -> Settings:
        reads.append(path.read_text())
        try:
            return load(path)
        finally:
            path.write_text(text)

    monkeypatch.setattr(settings_file, "load", load_and_write)
    settings, _ = settings_file.load_when_written(path)
    assert settings.ip == "127.0.0.1"
    assert reads == ["", text]
