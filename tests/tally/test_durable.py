"""A tally that outlives its process: kills, cut and damaged files, full disks, files written anew."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.cli import main
from ivymux.tally import durable
from ivymux.tally.durable import DurableError, DurableStore
from ivymux.tally.journal import HEADER, MAGIC, JournalError, encode_header, encode_record, parse_journal
from tests.sockets import run, until

CHANGES = st.lists(
    st.tuples(st.binary(min_size=1, max_size=64), st.floats(-1e9, 1e9), st.floats(1.0, 4e9)), max_size=30
)


@given(CHANGES)
def test_journal_round_trips_and_truncation_keeps_the_records_before_the_cut(
    changes: list[tuple[bytes, float, float]],
) -> None:
    data, states = encode_header(b"i" * 16), [dict[bytes, tuple[float, float]]()]
    ends = [len(data)]
    for name, total, expires_at in changes:
        data += encode_record(name, total, expires_at)
        states.append(states[-1] | {name: (total, expires_at)})
        ends.append(len(data))
    contents = parse_journal(data)
    assert contents.totals == states[-1]
    assert contents.good == len(data) and contents.records == len(changes)
    for cut in range(ends[0], len(data)):
        contents = parse_journal(data[:cut])
        at = max(n for n, end in enumerate(ends) if end <= cut)
        assert contents.totals == states[at] and contents.good == ends[at]


def test_flipped_bit_never_yields_a_wrong_total() -> None:
    names = [b"n%d" % n for n in range(20)]
    data = encode_header(b"i" * 16) + b"".join(
        encode_record(n, float(at), 100.0 + at) for at, n in enumerate(names)
    )
    header_end = len(MAGIC) + HEADER.size
    for at in range(len(data)):
        damaged = bytearray(data)
        damaged[at] ^= 0x10
        if at < header_end:
            with pytest.raises(JournalError):
                parse_journal(bytes(damaged))
            continue
        contents = parse_journal(bytes(damaged))
        assert all(total == float(names.index(n)) for n, (total, _) in contents.totals.items())
        assert contents.records < 20


def test_counts_go_on_and_end_when_they_would_have(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    now = [1000.0]
    monkeypatch.setattr(time, "time", lambda: now[0])
    store = DurableStore(tmp_path / "t")
    store.add(b"a", 5.0, 10.0, store.clock())
    store.add(b"b", 1.0, 60.0, store.clock())
    store.add(b"a", 2.5, 60.0, store.clock())
    incarnation = store.incarnation
    store.close()
    now[0] = 1009.0
    again = DurableStore(tmp_path / "t")
    assert again.incarnation == incarnation and again.add(b"a", 1.0, 10.0, again.clock()) == 8.5
    now[0] = 900.0  # a clock that goes back stands still
    assert again.clock() == 1009.0
    again.close()
    now[0] = 1010.0
    third = DurableStore(tmp_path / "t")
    assert third.add(b"a", 1.0, 10.0, third.clock()) == 1.0 and third.totals[b"b"] == 1.0
    third.close()
    assert (tmp_path / "t").stat().st_mode & 0o077 == 0


def test_a_file_that_is_no_tallys_is_left_as_it_is(tmp_path: Path) -> None:
    for text in (b"somebody's letter\n", MAGIC, encode_header(b"i" * 16)[:-1] + b"\0"):
        (tmp_path / "t").write_bytes(text)
        with pytest.raises(DurableError, match="name another file"):
            DurableStore(tmp_path / "t")
        assert (tmp_path / "t").read_bytes() == text
    with pytest.raises(DurableError):
        DurableStore(tmp_path / "none" / "t")
    assert main(["tally", "--file", str(tmp_path / "t"), "--listen", "127.0.0.1:0"]) == 2
    assert main(["tally", "--listen", "nowhere"]) == 2 and main(["tally", "--names", "0"]) == 2


def test_a_full_disk_is_told_once_and_all_is_written_when_there_is_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(durable, "SYNC", 0.01)
    monkeypatch.setattr(durable, "LOOK", 0.02)
    write, full = os.write, [False]

    def writes(handle: int, data: bytes) -> int:
        if full[0]:
            write(handle, data[: len(data) // 2])  # a part of it is there before the disk is full
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(handle, data)

    async def test() -> None:
        store = DurableStore(tmp_path / "t")
        monkeypatch.setattr(os, "write", writes)
        store.add(b"a", 1.0, 60.0, store.clock())
        store.flush()
        tending = asyncio.ensure_future(store.tend())
        full[0] = True
        for _ in range(5):
            assert store.add(b"a", 1.0, 60.0, store.clock()) > 1.0  # it serves on
            store.flush()
            await asyncio.sleep(0)
        assert store.trouble
        # The file still holds what was written before the disk was full.
        assert parse_journal((tmp_path / "t").read_bytes()).totals[b"a"][0] == 1.0
        full[0] = False
        await until(lambda: not store.trouble)
        store.add(b"b", 7.0, 60.0, store.clock())
        store.flush()
        tending.cancel()
        found = parse_journal((tmp_path / "t").read_bytes())
        assert found.totals[b"a"][0] == 6.0 and found.totals[b"b"][0] == 7.0
        assert len([r for r in caplog.records if "can't be written" in r.getMessage()]) == 1
        store.close()

    run(test())


def test_a_file_written_anew_while_calls_go_on_lacks_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(durable, "SLICE", 7)

    async def test() -> None:
        store = DurableStore(tmp_path / "t")
        rng = random.Random(2)
        for _ in range(3000):
            store.add(b"n%d" % rng.randrange(100), 1.0, 60.0, store.clock())
            store.flush()
        before = store.size
        rewriting = asyncio.ensure_future(store.rewrite())
        for _ in range(200):  # as many on a slow disk as on a quick one: each is a line of the file
            if not rewriting.done():
                store.add(b"n%d" % rng.randrange(120), 1.0, 60.0, store.clock())
                store.flush()
            await asyncio.sleep(0)
        await rewriting
        store.add(b"last", 1.0, 60.0, store.clock())
        totals, size = dict(store.totals), store.size
        store.close()
        again = DurableStore(tmp_path / "t")
        assert again.totals == totals and size < before / 5
        again.close()

    run(test())


def tally(file: Path) -> tuple[subprocess.Popen[bytes], int]:
    child = subprocess.Popen(
        [sys.executable, "-m", "ivymux", "tally", "--listen", "127.0.0.1:0", "--file", str(file)],
        stderr=subprocess.PIPE,
    )
    assert child.stderr is not None
    while not (found := re.search(rb"tally on \S+:(\d+)", line := child.stderr.readline())):
        assert line, "the tally ended"
    return child, int(found[1])


def test_killed_at_any_point_what_was_answered_is_there(tmp_path: Path) -> None:
    rng, answered = random.Random(4), 0.0
    incarnations = set()
    for _ in range(8):
        child, port = tally(tmp_path / "t")
        with socket.create_connection(("127.0.0.1", port), 10) as line, line.makefile("rb") as answers:
            line.sendall(b"*1\r\n$11\r\nINCARNATION\r\n")
            answers.readline()
            incarnations.add(answers.readline())
            line.sendall(b"*4\r\n$5\r\nTALLY\r\n$1\r\na\r\n$1\r\n1\r\n$5\r\n60000\r\n" * 500)
            for turn in range(rng.randrange(1, 400)):
                answers.readline()
                total = float(answers.readline())
                # All that was answered, and at most what was sent without an answer.
                assert answered < total <= answered + 500 * 8 + 1 if not turn else total == answered + 1
                answered = total
            child.send_signal(signal.SIGKILL)
            child.wait()
    assert len(incarnations) == 1
    child, _ = tally(tmp_path / "t")
    child.send_signal(signal.SIGTERM)
    assert child.wait(10) == 0
    assert parse_journal((tmp_path / "t").read_bytes()).totals[b"a"][0] >= answered
