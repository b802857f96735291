"""Tests of the snapshot store, file reading, the member list and the resolver."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.data_plane.limits import Address
from ivymux.inventory.model import Inventory, Worker
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.files import FilesError, fingerprint, read_content
from ivymux.membership.member_list import MAX_ENTRIES_PER_EVENT, MemberList, worker_number
from ivymux.membership.resolver import Resolver
from ivymux.membership.snapshot_store import MAX_SNAPSHOTS, SnapshotStore
from orchidhill import interface as i
from tests.sockets import run

WRITER = """
import sys
from pathlib import Path
from ivymux.inventory.model import Inventory, Worker
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.snapshot_store import SnapshotStore
store = SnapshotStore(Path(sys.argv[1]))
number = store.next_number()
print(number, flush=True)
for version in range(number, number + 400):
    workers = tuple(Worker(f"w{n}", "10.0.0.1", 1 + n, bay=version) for n in range(300))
    store.save(Snapshot(version, 1.0, "w.csv", str(version), "changed", Inventory(workers)))
    print(version, flush=True)
"""


def listed(*workers: Worker) -> Inventory:
    return Inventory(tuple(sorted(workers)))


def snapshot(number: int, why: str = "changed") -> Snapshot:
    return Snapshot(number, 1.0, "w.csv", str(number), why, listed(Worker("w", "10.0.0.1", number)))


def test_after_a_kill_at_a_random_point_the_last_snapshot_is_complete(tmp_path: Path) -> None:
    rng = random.Random(7)
    last = 0
    writer = tmp_path / "writer.py"
    writer.write_text(WRITER)
    processes = []
    for writer_number in range(10):  # ten concurrent writers, each killed ten times
        folder = tmp_path / f"writer{writer_number}"
        processes.append((folder, 0))
    for _ in range(10):
        children = []
        for folder, _before in processes:
            child = subprocess.Popen([sys.executable, str(writer), str(folder)], stdout=subprocess.PIPE)
            children.append(child)
        saved_numbers = []
        for child in children:
            assert child.stdout is not None
            saved_numbers.append([int(child.stdout.readline())])
        for child, numbers in zip(children, saved_numbers, strict=True):
            assert child.stdout is not None
            for _ in range(rng.randrange(1, 6)):  # these snapshots were certainly saved
                numbers.append(int(child.stdout.readline()))
            child.send_signal(signal.SIGKILL)
        for number, (child, numbers) in enumerate(zip(children, saved_numbers, strict=True)):
            child.wait()
            folder = processes[number][0]
            found = SnapshotStore(folder).load_last()
            assert found is not None and found.number >= numbers[-1]
            assert {w.bay for w in found.inventory.workers} == {found.number}  # all workers are of one list
            assert len(found.inventory.workers) == 300 and found.content == str(found.number)
            last = max(last, found.number)
    assert last > 10


def test_damaged_snapshots_are_skipped_and_the_history_is_bounded(tmp_path: Path) -> None:
    store = SnapshotStore(tmp_path / "state")
    for number in range(1, MAX_SNAPSHOTS + 6):
        assert store.save(snapshot(number))
    fresh = SnapshotStore(tmp_path / "state")
    assert [s.number for s in fresh.load_history()] == list(range(MAX_SNAPSHOTS + 5, 5, -1))
    newest = fresh.list_files()[0]
    newest.write_bytes(newest.read_bytes()[:-3])
    found = SnapshotStore(tmp_path / "state").load_last()
    assert found is not None and found.number == MAX_SNAPSHOTS + 4
    # The number of the damaged file is not used again.
    assert SnapshotStore(tmp_path / "state").next_number() == MAX_SNAPSHOTS + 6


def test_without_a_writable_disk_the_last_list_is_kept_in_memory(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = SnapshotStore(None)
    assert not store.save(snapshot(1)) and store.load_last() == snapshot(1)
    assert "in memory only" in caplog.text
    full = SnapshotStore(tmp_path)
    assert full.save(snapshot(1))

    def no_space(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", no_space)
    assert not full.save(snapshot(2)) and full.load_last() == snapshot(2)
    monkeypatch.undo()
    assert [p.name for p in tmp_path.iterdir()] == ["inventory-0000000001.snap"]  # no partial file is left
    assert full.save(snapshot(3)) and SnapshotStore(tmp_path).load_last() == snapshot(3)


# --- files -------------------------------------------------------------------------------------------


def test_files_that_change_while_they_are_read_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "w.yml"
    path.write_text("all: {}")
    (tmp_path / "group_vars").mkdir()
    (tmp_path / "group_vars" / "all.yml").write_text("room: x\n")
    content = read_content(path)
    assert content.beside["group_vars"] == {"all": {"group_vars/all.yml": b"room: x\n"}}
    before = fingerprint(path)
    (tmp_path / "group_vars" / "all.yml").write_text("room: yy\n")
    assert fingerprint(path) != before and read_content(path).digest != content.digest
    fingerprints = iter([("a",), ("b",)])
    monkeypatch.setattr("ivymux.membership.files.fingerprint", lambda _: next(fingerprints))
    with pytest.raises(FilesError, match="changed while"):
        read_content(path)


def test_replacing_or_removing_a_link_changes_the_fingerprint(tmp_path: Path) -> None:
    one, two, link = tmp_path / "1.csv", tmp_path / "2.csv", tmp_path / "w.csv"
    one.write_text("a")
    two.write_text("b")
    os.utime(two, ns=(one.stat().st_atime_ns, one.stat().st_mtime_ns))
    link.symlink_to(one)
    before = fingerprint(link)
    link.unlink()
    link.symlink_to(two)
    assert fingerprint(link) != before
    link.unlink()
    assert fingerprint(link) is None
    with pytest.raises(FilesError):
        read_content(link)


# --- member list -------------------------------------------------------------------------------------


def addresses(*workers: Worker) -> dict[str, Address]:
    return {w.name: Address(w.host, w.port) for w in workers}


def events(
    member_list: MemberList, *workers: Worker, now: float = 50.0, cold: bool = True
) -> list[i.Members]:
    return [members for members, _ in member_list.change(workers, addresses(*workers), now, cold)]


def test_new_and_moved_workers_start_cold_and_removed_ones_are_gone() -> None:
    a, b, c = (Worker(n, "10.0.0.1", p, "r") for n, p in (("a", 1), ("b", 2), ("c", 3)))
    member_list = MemberList()
    (first,) = events(member_list, a, b, cold=False)
    assert first.listing is i.Listing.FULL and {e.started for e in first.entries} == {0.0}
    assert events(member_list, a, b) == []
    (second,) = events(member_list, a, c, now=60.0)
    states = {e.backend: (e.state, e.started) for e in second.entries}
    assert states == {worker_number("b"): (i.State.GONE, 0.0), worker_number("c"): (i.State.READY, 60.0)}
    assert second.entries[0].state is i.State.GONE  # removals come first
    moved = Worker("a", "10.0.0.1", 9, "r")
    (third,) = events(member_list, moved, c, now=70.0)
    assert [(e.backend, e.started) for e in third.entries] == [(worker_number("a"), 70.0)]
    draining = Worker("c", "10.0.0.1", 3, "r", state="draining")
    (fourth,) = events(member_list, moved, draining, now=80.0)
    assert [(e.state, e.started) for e in fourth.entries] == [(i.State.DRAINING, 60.0)]
    out = Worker("c", "10.0.0.1", 3, "r", state="out")
    (fifth,) = events(member_list, moved, out, now=90.0)
    assert [e.state for e in fifth.entries] == [i.State.GONE]


def test_a_large_list_is_split_into_events_of_bounded_size() -> None:
    workers = [Worker(f"w{n}", "10.0.0.1", 1 + n) for n in range(1000)]
    member_list = MemberList()
    events(member_list, workers[0])
    changes = events(member_list, *workers)
    assert len(changes) == -(-999 // MAX_ENTRIES_PER_EVENT)
    assert sum(len(change.entries) for change in changes) == 999
    assert [change.version for change in changes] == sorted({change.version for change in changes})


FLEETS = st.lists(
    st.dictionaries(st.sampled_from("abcdef"), st.tuples(st.integers(1, 9), st.booleans()), max_size=6),
    max_size=8,
)


@given(FLEETS)
def test_applying_the_events_in_order_gives_the_list(fleets: list[dict[str, tuple[int, bool]]]) -> None:
    member_list, listed_now = MemberList(), dict[int, tuple[int, i.State]]()
    for turn, fleet in enumerate(fleets):
        workers = tuple(
            Worker(name, "10.0.0.1", port, state="draining" if drains else "ready")
            for name, (port, drains) in fleet.items()
        )
        for members, new_addresses in member_list.change(workers, addresses(*workers), float(turn)):
            if members.listing is i.Listing.FULL:
                listed_now = {}
            for entry in members.entries:
                if entry.state is i.State.GONE:
                    listed_now.pop(entry.backend, None)
                else:
                    listed_now[entry.backend] = new_addresses[entry.backend].port, entry.state
        wanted = {
            worker_number(n): (p, i.State.DRAINING if drains else i.State.READY)
            for n, (p, drains) in fleet.items()
        }
        assert listed_now == wanted


# --- resolver ----------------------------------------------------------------------------------------


def test_a_failing_name_keeps_its_answer_and_one_with_several_addresses_its_present_one() -> None:
    records: dict[str, list[str]] = {"w.example": ["10.0.0.2", "10.0.0.3"]}
    looked_up: list[str] = []

    async def look_up(name: str) -> list[str]:
        looked_up.append(name)
        if name not in records:
            raise OSError("no such name")
        return records[name]

    async def test() -> None:
        resolver = Resolver(look_up, lifetime_s=0.0)
        workers = (Worker("a", "w.example", 80), Worker("b", "10.0.0.9", 81), Worker("c", "gone.example", 82))
        expected = {"a": Address("10.0.0.2", 80), "b": Address("10.0.0.9", 81)}
        assert await resolver.resolve(workers) == expected
        records["w.example"] = ["10.0.0.3", "10.0.0.2"]
        assert await resolver.resolve(workers) == expected  # the order of the answers does not matter
        del records["w.example"]
        assert await resolver.resolve(workers) == expected
        records["w.example"] = ["10.0.0.7"]
        assert (await resolver.resolve(workers))["a"] == Address("10.0.0.7", 80)
        resolver.lifetime_s = 60.0
        await resolver.resolve(workers)
        looked_up.clear()
        await resolver.resolve(workers)
        assert "w.example" not in looked_up
        await asyncio.sleep(0)

    run(test())
