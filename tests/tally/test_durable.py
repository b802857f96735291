"""The durable counter store: kills, truncated and damaged files, full disks, rewrites of the file."""

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
from ivymux.tally.durable import CounterFileError, DurableStore
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
    assert contents.valid_bytes == len(data) and contents.records == len(changes)
    for cut in range(ends[0], len(data)):
        contents = parse_journal(data[:cut])
        at = max(n for n, end in enumerate(ends) if end <= cut)
        assert contents.totals == states[at] and contents.valid_bytes == ends[at]


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


def test_totals_and_expiries_survive_a_restart(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    now = [1000.0]
    monkeypatch.setattr(time, "time", lambda: now[0])
    store = DurableStore(tmp_path / "t")
    store.add(b"a", 5.0, 10.0, store.clock())
    store.add(b"b", 1.0, 60.0, store.clock())
    store.add(b"a", 2.5, 60.0, store.clock())
    incarnation = store.incarnation
    store.close()
    now[0] = 1009.0
    second = DurableStore(tmp_path / "t")
    assert second.incarnation == incarnation and second.add(b"a", 1.0, 10.0, second.clock()) == 8.5
    now[0] = 900.0  # the system clock goes back
    assert second.clock() == 1009.0
    second.close()
    now[0] = 1010.0
    third = DurableStore(tmp_path / "t")
    assert third.add(b"a", 1.0, 10.0, third.clock()) == 1.0 and third.totals[b"b"] == 1.0
    third.close()
    assert (tmp_path / "t").stat().st_mode & 0o077 == 0


def test_file_in_another_format_is_left_unchanged(tmp_path: Path) -> None:
    for text in (b"somebody's letter\n", MAGIC, encode_header(b"i" * 16)[:-1] + b"\0"):
        (tmp_path / "t").write_bytes(text)
        with pytest.raises(CounterFileError, match="name another file"):
            DurableStore(tmp_path / "t")
        assert (tmp_path / "t").read_bytes() == text
    with pytest.raises(CounterFileError):
        DurableStore(tmp_path / "none" / "t")
    assert main(["tally", "--file", str(tmp_path / "t"), "--listen", "127.0.0.1:0"]) == 2
    assert main(["tally", "--listen", "nowhere"]) == 2 and main(["tally", "--names", "0"]) == 2


def test_full_disk_is_logged_once_and_the_file_is_rewritten_when_there_is_space(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(durable, "SYNC_PERIOD_S", 0.01)
    monkeypatch.setattr(durable, "SIZE_CHECK_PERIOD_S", 0.02)
    write, is_full = os.write, [False]

    def write_unless_full(handle: int, data: bytes) -> int:
        if is_full[0]:
            write(handle, data[: len(data) // 2])  # the disk fills up in the middle of the write
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(handle, data)

    async def test() -> None:
        store = DurableStore(tmp_path / "t")
        monkeypatch.setattr(os, "write", write_unless_full)
        store.add(b"a", 1.0, 60.0, store.clock())
        store.flush()
        maintenance = asyncio.ensure_future(store.maintain())
        is_full[0] = True
        for _ in range(5):
            assert store.add(b"a", 1.0, 60.0, store.clock()) > 1.0  # calls are still served
            store.flush()
            await asyncio.sleep(0)
        assert store.write_error
        # The file still holds what was written before the disk was full.
        assert parse_journal((tmp_path / "t").read_bytes()).totals[b"a"][0] == 1.0
        is_full[0] = False
        await until(lambda: not store.write_error)
        store.add(b"b", 7.0, 60.0, store.clock())
        store.flush()
        maintenance.cancel()
        contents = parse_journal((tmp_path / "t").read_bytes())
        assert contents.totals[b"a"][0] == 6.0 and contents.totals[b"b"][0] == 7.0
        assert len([r for r in caplog.records if "can't be written" in r.getMessage()]) == 1
        store.close()

    run(test())


def test_rewrite_during_calls_loses_no_change(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(durable, "REWRITE_BATCH_NAMES", 7)

    async def test() -> None:
        store = DurableStore(tmp_path / "t")
        rng = random.Random(2)
        for _ in range(3000):
            store.add(b"n%d" % rng.randrange(100), 1.0, 60.0, store.clock())
            store.flush()
        before = store.size
        rewriting = asyncio.ensure_future(store.rewrite())
        # At most 200 calls, as each adds a record: a slow disk must not make the new file larger.
        for _ in range(200):
            if not rewriting.done():
                store.add(b"n%d" % rng.randrange(120), 1.0, 60.0, store.clock())
                store.flush()
            await asyncio.sleep(0)
        await rewriting
        store.add(b"last", 1.0, 60.0, store.clock())
        totals, size = dict(store.totals), store.size
        store.close()
        restored = DurableStore(tmp_path / "t")
        assert restored.totals == totals and size < before / 5
        restored.close()

    run(test())


def start_counter_service(file: Path) -> tuple[subprocess.Popen[bytes], int]:
    child = subprocess.Popen(
        [sys.executable, "-m", "ivymux", "tally", "--listen", "127.0.0.1:0", "--file", str(file)],
        stderr=subprocess.PIPE,
    )
    assert child.stderr is not None
    while not (found := re.search(rb"tally on \S+:(\d+)", line := child.stderr.readline())):
        assert line, "the counter service exited"
    return child, int(found[1])


def test_killed_service_restores_every_total_that_it_replied(tmp_path: Path) -> None:
    rng, last_total = random.Random(4), 0.0
    incarnations = set()
    for _ in range(8):
        child, port = start_counter_service(tmp_path / "t")
        with (
            socket.create_connection(("127.0.0.1", port), 10) as connection,
            connection.makefile("rb") as replies,
        ):
            connection.sendall(b"*1\r\n$11\r\nINCARNATION\r\n")
            replies.readline()
            incarnations.add(replies.readline())
            connection.sendall(b"*4\r\n$5\r\nTALLY\r\n$1\r\na\r\n$1\r\n1\r\n$5\r\n60000\r\n" * 500)
            for turn in range(rng.randrange(1, 400)):
                replies.readline()
                total = float(replies.readline())
                # Includes every replied call, and at most the calls that were sent without a reply.
                assert last_total < total <= last_total + 500 * 8 + 1 if not turn else total == last_total + 1
                last_total = total
            child.send_signal(signal.SIGKILL)
            child.wait()
    assert len(incarnations) == 1
    child, _ = start_counter_service(tmp_path / "t")
    child.send_signal(signal.SIGTERM)
    assert child.wait(10) == 0
    assert parse_journal((tmp_path / "t").read_bytes()).totals[b"a"][0] >= last_total
