"""The store of the desired state: transactions, bounds, troubled disks, kills, backups."""

from __future__ import annotations

import os
import random
import signal
import sqlite3
import subprocess
import sys
import threading
from pathlib import Path

import msgspec
import pytest

from ivymux.desired import sqlite as sqlite_module
from ivymux.desired.model import (
    Admin,
    GatewayReport,
    HostTaken,
    StoreBusy,
    StoreDamaged,
    StoredAnswer,
    StoreError,
    StoreFull,
)
from ivymux.desired.sqlite import SqliteStore, restore, verify
from ivymux.tenants.model import text_digests
from ivymux.tenants.secret import ADMIN_PREFIX, KEY_PATTERN, create_key
from tests.desired import store_contract
from tests.desired.store_contract import change, put
from tests.tenants.making import tenant


def test_a_change_is_made_from_the_state_it_was_seen_in(tmp_path: Path) -> None:
    store_contract.check_optimistic_locking(SqliteStore(tmp_path / "s.db"), 0)


def test_a_host_name_is_one_tenants(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    put(store, "a")
    made, blobs, _ = tenant("a", [1])
    with pytest.raises(HostTaken) as taken:
        store.commit(change("b", made, blobs=blobs))
    assert store.get("b") is None and "u-a" not in str(taken.value)
    store.commit(change("a", None, 1))
    assert store.commit(change("b", made, blobs=blobs)) == 3


def test_what_a_tenant_was_made_of_goes_with_it(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    number, _, kept = create_key(ADMIN_PREFIX, 0.0)
    answer = StoredAnswer("f", 201, b"{}", "1")
    put(store, "a", add_admins=[Admin(number, "ann", "u-a", kept)], repeat=("k", answer))
    put(store, "b")
    found = store.get("a")
    assert found is not None and store.answer_of_repeat("k") == answer and store.admin(number) is not None
    names = text_digests(found.tenant)
    assert all(store.blob(name, "") for name in names)
    store.commit(change("a", None, 1))
    assert store.get("a") is None and store.history("u-a", 9) == [] and store.admins("u-a") == []
    assert store.answer_of_repeat("k") is None
    now, changed, gone = store.changes_since(1)
    assert now == 3 and [s.name for s in changed] == ["b"] and gone is not None
    assert [(g.name, g.uid) for g in gone] == [("a", "u-a")]
    others = store.get("b")
    assert others is not None
    assert names == text_digests(others.tenant)  # alike, and kept as long as one has them
    assert all(store.blob(name, "") for name in names)
    store.commit(change("b", None, 2))
    assert not any(store.blob(name, "") for name in names)
    assert [a.action for a in store.audit("u-a", 1 << 60, 9)] == ["test", "test"]  # that it was, stays


def test_history_audit_and_what_is_gone_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (("HISTORY", 3), ("MAX_AUDIT", 5), ("MAX_GONE", 2), ("MAX_REPEATS", 2)):
        monkeypatch.setattr(sqlite_module, name, value)
    store = SqliteStore(tmp_path / "s.db")
    last = 0
    for turn in range(8):
        last = put(store, "a", last, repeat=(f"k{turn}", StoredAnswer("", 201, b"", "")), at=1000.0 + turn)
    assert len(store.history("u-a", 99)) == 3 and len(store.audit("", 1 << 60, 99)) == 5
    assert store.answer_of_repeat("k7") and store.answer_of_repeat("k6") and not store.answer_of_repeat("k5")
    assert len(store.rows("SELECT * FROM blobs")) == 4  # the same workers and routes each time
    for name in "bcd":
        made = put(store, name)
        store.commit(change(name, None, made))
    assert store.changes_since(last)[2] is None  # not known that far back: all that is not listed is gone
    now, changed, gone = store.changes_since(store.revision())
    assert gone == [] and changed == [] and now == store.revision()


def test_a_locked_a_full_and_a_damaged_store_say_so_and_change_nothing(tmp_path: Path) -> None:
    path = tmp_path / "s.db"
    store = SqliteStore(path, busy=0.05)
    put(store, "a")
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreBusy):
        put(store, "b")
    assert store.get("a") is not None  # reading goes on
    other.execute("ROLLBACK")
    other.close()
    (pages,) = store.db.execute("PRAGMA page_count").fetchone()
    store.db.execute(f"PRAGMA max_page_count = {pages}")
    made, blobs, _ = tenant("big", [1])
    with pytest.raises(StoreFull):
        store.commit(change("big", made, blobs=blobs | {"x": os.urandom(1 << 20)}))
    assert store.get("big") is None and store.revision() == 1
    store.db.execute("PRAGMA max_page_count = 1000000")
    assert put(store, "b") == 2
    store.close()
    data = bytearray(path.read_bytes())
    data[:100] = b"x" * 100
    path.write_bytes(data)
    with pytest.raises(StoreDamaged):
        SqliteStore(path)
    assert path.read_bytes() == data  # never written over
    path.write_text("not a store at all")
    with pytest.raises(StoreDamaged):
        verify(path)


def test_a_later_versions_store_is_left_alone(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.db.execute("PRAGMA user_version = 99")
    store.close()
    with pytest.raises(StoreDamaged, match="later version"):
        SqliteStore(tmp_path / "s.db")


def test_migrations_keep_what_is_there(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = SqliteStore(tmp_path / "s.db")
    put(store, "a")
    store.close()
    steps = (
        *sqlite_module.MIGRATIONS,
        "ALTER TABLE doors ADD COLUMN more TEXT; CREATE TABLE extra (x INTEGER)",
    )
    monkeypatch.setattr(sqlite_module, "MIGRATIONS", steps)
    store = SqliteStore(tmp_path / "s.db")
    assert store.get("a") is not None and store.rows("SELECT * FROM extra") == []
    store.close()
    # One that breaks off leaves the version and all else as it was.
    monkeypatch.setattr(
        sqlite_module, "MIGRATIONS", (*steps, "CREATE TABLE more (x INTEGER); SELECT nonsense")
    )
    with pytest.raises(StoreError):
        SqliteStore(tmp_path / "s.db")
    monkeypatch.setattr(sqlite_module, "MIGRATIONS", steps)
    store = SqliteStore(tmp_path / "s.db")
    assert store.get("a") is not None
    with pytest.raises(StoreError):
        store.rows("SELECT * FROM more")


def test_a_backup_while_it_is_changed_is_whole_and_comes_back(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    put(store, "a")
    stop = threading.Event()

    def changing() -> None:
        mine = SqliteStore(tmp_path / "s.db", busy=10.0)
        last = 1
        while not stop.is_set():
            last = put(mine, "a", last)
        mine.close()

    thread = threading.Thread(target=changing)
    thread.start()
    try:
        for turn in range(3):
            store.backup(tmp_path / f"b{turn}.db")
    finally:
        stop.set()
        thread.join()
    seen, lineage = store.revision(), store.lineage()
    store.close()
    restore(tmp_path / "b0.db", tmp_path / "s.db")
    back = SqliteStore(tmp_path / "s.db")
    found = back.get("a")
    assert found is not None and found.revision <= seen and back.lineage() == lineage
    assert back.revision() > seen  # numbers that were given are not given again
    assert back.changes_since(seen)[2] is None  # who has followed the other line looks at all of it
    (tmp_path / "cut.db").write_bytes((tmp_path / "b1.db").read_bytes()[:5000])
    with pytest.raises(StoreDamaged):
        restore(tmp_path / "cut.db", tmp_path / "s.db")


def test_front_doors_tell_and_are_forgotten(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.report(GatewayReport("one", 3, 1000.0, {"u": {"served": 5.0}}))
    store.report(GatewayReport("two", 4, 1010.0))
    assert [(r.door, r.revision) for r in store.reports()] == [("one", 3), ("two", 4)]
    store.report(GatewayReport("two", 5, 1010.0 + sqlite_module.DOOR_LIFE))
    assert [(r.door, r.revision) for r in store.reports()] == [("two", 5)]


def test_no_secret_is_in_the_file(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    made, blobs, shown = tenant("a", [1])
    number, admin_key, kept = create_key(ADMIN_PREFIX, 0.0)
    store.commit(change("a", made, blobs=blobs, add_admins=[Admin(number, "ann", "u-a", kept)]))
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    data = (tmp_path / "s.db").read_bytes()
    assert b"u-a" in data
    for key in (shown, admin_key):
        assert (secret := KEY_PATTERN.fullmatch(key.encode())) and secret[
            3
        ] not in data  # it may hold a `_` itself
    assert (tmp_path / "s.db").stat().st_mode & 0o077 == 0


KILLED = """
import sys
from pathlib import Path
from ivymux.desired.sqlite import SqliteStore
from tests.desired.store_contract import put
store = SqliteStore(Path(sys.argv[1]))
found = store.get("a")
last = found.revision if found else 0
while True:
    last = put(store, "a", last, changes=[{"path": "/x", "after": "y" * 20000}])
    print(last, flush=True)
"""


def test_killed_at_a_hundred_points_what_was_answered_is_there_and_nothing_in_part(tmp_path: Path) -> None:
    rng, paths = random.Random(5), [tmp_path / f"{lane}.db" for lane in range(10)]
    answered = dict.fromkeys(paths, 0)
    for _ in range(10):  # ten stores side by side, each killed ten times
        children = [
            (path, subprocess.Popen([sys.executable, "-c", KILLED, str(path)], stdout=subprocess.PIPE))
            for path in paths
        ]
        for path, child in children:
            assert child.stdout is not None
            for _ in range(rng.randrange(1, 5)):
                answered[path] = int(child.stdout.readline())
            child.send_signal(signal.SIGKILL)
            rest = child.stdout.read().splitlines(keepends=True)
            child.wait()
            assert child.returncode == -signal.SIGKILL
            answered[path] = max([answered[path], *(int(line) for line in rest if line.endswith(b"\n"))])
            store = SqliteStore(path)
            found = store.get("a")
            assert found is not None and found.revision >= answered[path]
            assert store.revision() == found.revision == store.audit("", 1 << 60, 1)[0].revision
            assert store.history("u-a", 1)[0] == found
            assert all(store.blob(name, "") for name in text_digests(found.tenant))
            assert store.rows("PRAGMA integrity_check") == [("ok",)]
            store.close()
    assert min(answered.values()) >= 10


def test_what_this_version_cannot_read_is_told(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    put(store, "a")
    store.db.execute("UPDATE tenants SET body = ?", (msgspec.msgpack.encode({"nonsense": 1}),))
    with pytest.raises(StoreDamaged, match="can't read"):
        store.get("a")


def test_a_hint_is_other_after_each_commit(tmp_path: Path) -> None:
    """A front door looks only where it differs, and once a second all the same."""
    store, other = SqliteStore(tmp_path / "s.db"), SqliteStore(tmp_path / "s.db")
    last, seen = 0, [store.change_hint()]
    for _ in range(20):
        last = put(other, "a", last)
        seen.append(store.change_hint())
    assert None not in seen and len(set(seen)) == len(seen)
    assert store.change_hint() == seen[-1]
    (tmp_path / "s.db-wal").unlink()
    assert store.change_hint() is None
