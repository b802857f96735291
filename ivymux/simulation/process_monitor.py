"""Watches the processes of a local cluster: which end without being asked to, and what they use at most."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from dataclasses import dataclass

from ivymux.runtime.memory_watch import peak_memory_mb

SAMPLE_INTERVAL_S = 0.5
ENDING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGKILL})


@dataclass(frozen=True, slots=True)
class UnrequestedEnd:
    """A process that ended by itself, or whose stop failed; a negative `code` is the signal that ended it."""

    machine: str  # its address
    role: str
    code: int


@dataclass(slots=True)
class PeakUse:
    """The most that the processes of one machine and role have used at one time."""

    memory_mb: float = 0.0
    descriptors: int = 0


class ProcessMonitor:
    """Watches processes until they have ended."""

    def __init__(self) -> None:
        self.ends: list[UnrequestedEnd] = []
        self.peaks: dict[tuple[str, str], PeakUse] = {}  # by machine and role
        self.running: dict[asyncio.subprocess.Process, tuple[str, str]] = {}
        self.asked: set[asyncio.subprocess.Process] = set()  # to end
        self.tasks: set[asyncio.Task[None]] = set()

    def watch(self, machine: str, role: str, process: asyncio.subprocess.Process) -> None:
        """Watch a process that has just been started."""
        self.running[process] = machine, role
        task = asyncio.get_running_loop().create_task(self.await_end(machine, role, process))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def await_end(self, machine: str, role: str, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        del self.running[process]
        if process not in self.asked or code > 0:  # a stop ends with 0, or by the signal itself
            self.ends.append(UnrequestedEnd(machine, role, code))
        self.asked.discard(process)

    def send_signal(self, process: asyncio.subprocess.Process, number: int) -> None:
        """Send a signal to a process, which may have ended already."""
        if process.returncode is not None:
            return
        if number in ENDING_SIGNALS:
            self.asked.add(process)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def sample(self) -> None:
        """Record what the processes use, until this is cancelled."""
        while True:
            for process, place in self.running.items():
                with contextlib.suppress(OSError):  # it has ended
                    peak = self.peaks.setdefault(place, PeakUse())
                    peak.memory_mb = max(peak.memory_mb, peak_memory_mb(process.pid))
                    peak.descriptors = max(peak.descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
