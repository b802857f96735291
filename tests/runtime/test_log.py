"""The log of a process: what happens to lines that nobody reads."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import pytest

from ivymux.runtime import log as logs
from ivymux.runtime.log import MAX_LINE_CHARS, LineWriter


# Guards against a process that stops because nobody reads its log.
def test_lines_for_which_a_pipe_has_no_room_are_dropped_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logs, "MAX_LINES_PER_S", 10_000)
    reading, writing = os.pipe()
    with open(writing, "w") as pipe, open(reading, "rb", buffering=0) as reader:
        monkeypatch.setattr(sys, "stdout", pipe)
        writer = LineWriter()
        for _ in range(1000):
            writer({"message_type": "test", "says": "x" * 200})
        assert 0 < writer.dropped < 1000
        reader.read(1 << 17)
        dropped, writer.second = writer.dropped, -1
        writer({"message_type": "test", "says": "again"})
        assert reader.read(1 << 16) == f"log: {dropped} lines were dropped\ntest: again\n".encode()


def test_a_long_line_is_cut(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    with open(tmp_path / "log", "w+", encoding="utf-8") as file:
        monkeypatch.setattr(sys, "stdout", file)
        LineWriter()({"message_type": "test", "says": "ü" * 5000})
        file.seek(0)
        assert len(file.read()) == MAX_LINE_CHARS + 1


def test_a_process_without_an_output_only_counts_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sys, "stdout", None)
    writer = LineWriter()
    writer({"message_type": "test", "says": "unseen"})
    assert writer.dropped == 1
