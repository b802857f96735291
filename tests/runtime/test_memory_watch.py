"""A process says once that it has come near its memory limit."""

from __future__ import annotations

import subprocess
import sys

import pytest

from ivymux.runtime.log import Log
from ivymux.runtime.memory_watch import MemoryWatch, peak_memory_mb


def test_memory_near_the_limit_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    log = Log("test")
    monkeypatch.setattr(log, "info", lines.append)
    watch = MemoryWatch(log, 300.0)
    for peak_mb in (100.0, 239.0, 241.0, 310.0):
        watch.check(peak_mb)
    assert lines == ["has used 241 of 300 MB of memory; a process beyond is killed."]


def test_the_peak_is_in_megabytes() -> None:
    before = peak_memory_mb()
    held = b"x" * (512 << 20)
    assert before < peak_memory_mb() < before + 2 * len(held) / (1 << 20)


# Guards against a warning by a process that is small, because the one that started it is large.
def test_the_peak_of_the_starting_process_is_not_counted() -> None:
    held = b"x" * (400 << 20)
    program = "from ivymux.runtime.memory_watch import peak_memory_mb; print(peak_memory_mb())"
    command = [sys.executable, "-c", program]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert 1 < float(output) < 200 < len(held) / (1 << 20)
