"""The frame of a program: settings that change while it starts."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest

from ivymux.data_plane.limits import Address
from ivymux.runtime import program as programs
from ivymux.runtime.listening_sockets import ListeningSockets
from ivymux.runtime.program import serve
from ivymux.runtime.settings import Settings, load
from ivymux.runtime.settings_file import file_fingerprint
from ivymux.simulation.local_cluster import LocalCluster

from ..sockets import run, until


class RecordingProgram:
    """Records the settings that it gets."""

    def __init__(self, settings: Settings) -> None:
        self.grace_s = [settings.shutdown_grace_s]

    async def start(self) -> None:
        """Nothing is started."""

    async def stop(self) -> None:
        """Nothing is stopped."""

    def reload(self, settings: Settings) -> None:
        self.grace_s.append(settings.shutdown_grace_s)


# Guards against settings that change after they were read and before SIGHUP is handled, as it is ignored so
# long: the changed file was taken for the one that was read.
def test_settings_that_change_while_a_program_starts_are_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(programs, "WATCH_INTERVAL_S", 0.05)

    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        path = Path(cluster.write_settings(cluster.core_ips[0], True))
        fingerprint, settings = file_fingerprint(path), load(path)
        text = path.read_text()
        assert text.count("grace: ") == 1
        started: list[RecordingProgram] = []

        class RecordingProgramType:
            def listen_addresses(self, settings: Settings) -> tuple[Address, ...]:
                return ()

            def __call__(self, settings: Settings, sockets: ListeningSockets) -> RecordingProgram:
                path.write_text(text.replace("grace: ", "grace: 1"))
                os.utime(path, ns=(1, 1))  # another time of change, whatever the file system's resolution is
                started.append(RecordingProgram(settings))
                return started[0]

        serving = asyncio.create_task(serve(RecordingProgramType(), settings, path, fingerprint))
        await until(lambda: started and len(started[0].grace_s) > 1)
        assert started[0].grace_s[1] != started[0].grace_s[0]
        path.write_text(text.replace("grace: ", "grace: 2"))
        await until(lambda: len(started[0].grace_s) > 2)
        assert len(set(started[0].grace_s)) == 3  # the file was read once after each change
        os.kill(os.getpid(), signal.SIGTERM)
        await serving
        await cluster.close()

    run(test())
