"""The SQLite store of the desired state: transactions, limits, disk faults, crashes, backups."""

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
from tests.tenants.fixtures import tenant


def test_a_change_against_an_outdated_revision_is_refused(tmp_path: Path) -> None:
    store_contract.check_optimistic_locking(SqliteStore(tmp_path / "s.db"), 0)


def test_a_host_name_belongs_to_one_tenant(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    put(store, "a")
    new_tenant, blobs, _ = tenant("a", [1])
    with pytest.raises(HostTaken) as conflict:
        store.commit(change("b", new_tenant, blobs=blobs))
    assert store.get("b") is None and "u-a" not in str(conflict.value)
    store.commit(change("a", None, 1))
    assert store.commit(change("b", new_tenant, blobs=blobs)) == 3


def test_deleting_a_tenant_deletes_its_data(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    key_id, _, stored_key = create_key(ADMIN_PREFIX, 0.0)
    answer = StoredAnswer("f", 201, b"{}", "1")
    put(store, "a", add_admins=[Admin(key_id, "ann", "u-a", stored_key)], repeat=("k", answer))
    put(store, "b")
    found = store.get("a")
    assert found is not None and store.answer_of_repeat("k") == answer and store.admin(key_id) is not None
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
    assert names == text_digests(others.tenant)  # equal texts are kept while a tenant refers to them
    assert all(store.blob(name, "") for name in names)
    store.commit(change("b", None, 2))
    assert not any(store.blob(name, "") for name in names)
    assert [a.action for a in store.audit("u-a", 1 << 60, 9)] == ["test", "test"]  # audit records stay


def test_history_audit_deletions_and_repeats_are_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name, value in (("MAX_HISTORY", 3), ("MAX_AUDIT", 5), ("MAX_GONE", 2), ("MAX_REPEATS", 2)):
        monkeypatch.setattr(sqlite_module, name, value)
    store = SqliteStore(tmp_path / "s.db")
    last = 0
    for turn in range(8):
        last = put(store, "a", last, repeat=(f"k{turn}", StoredAnswer("", 201, b"", "")), at=1000.0 + turn)
    assert len(store.history("u-a", 99)) == 3 and len(store.audit("", 1 << 60, 99)) == 5
    assert store.answer_of_repeat("k7") and store.answer_of_repeat("k6") and not store.answer_of_repeat("k5")
    assert len(store.rows("SELECT * FROM blobs")) == 4  # the tenant has the same workers and routes each time
    for name in "bcd":
        revision = put(store, name)
        store.commit(change(name, None, revision))
    assert store.changes_since(last)[2] is None  # deletions are not known that far back
    now, changed, gone = store.changes_since(store.revision())
    assert gone == [] and changed == [] and now == store.revision()


def test_a_locked_full_or_damaged_store_raises_its_error_and_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "s.db"
    store = SqliteStore(path, busy_timeout_s=0.05)
    put(store, "a")
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreBusy):
        put(store, "b")
    assert store.get("a") is not None  # reads still work
    other.execute("ROLLBACK")
    other.close()
    (pages,) = store.db.execute("PRAGMA page_count").fetchone()
    store.db.execute(f"PRAGMA max_page_count = {pages}")
    new_tenant, blobs, _ = tenant("big", [1])
    with pytest.raises(StoreFull):
        store.commit(change("big", new_tenant, blobs=blobs | {"x": os.urandom(1 << 20)}))
    assert store.get("big") is None and store.revision() == 1
    store.db.execute("PRAGMA max_page_count = 1000000")
    assert put(store, "b") == 2
    store.close()
    data = bytearray(path.read_bytes())
    data[:100] = b"x" * 100
    path.write_bytes(data)
    with pytest.raises(StoreDamaged):
        SqliteStore(path)
    assert path.read_bytes() == data  # never overwritten
    path.write_text("not a store at all")
    with pytest.raises(StoreDamaged):
        verify(path)


def test_a_store_of_a_later_version_is_not_opened(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.db.execute("PRAGMA user_version = 99")
    store.close()
    with pytest.raises(StoreDamaged, match="later version"):
        SqliteStore(tmp_path / "s.db")


def test_migrations_keep_the_data(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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
    # A migration that fails changes neither the version nor the data.
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


def test_a_backup_during_changes_is_consistent_and_can_be_restored(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    put(store, "a")
    stop = threading.Event()

    def keep_changing() -> None:
        own_store = SqliteStore(tmp_path / "s.db", busy_timeout_s=10.0)
        last = 1
        while not stop.is_set():
            last = put(own_store, "a", last)
        own_store.close()

    thread = threading.Thread(target=keep_changing)
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
    assert back.revision() > seen  # revisions are not assigned twice
    assert back.changes_since(seen)[2] is None  # a gateway that saw later revisions reads everything
    (tmp_path / "cut.db").write_bytes((tmp_path / "b1.db").read_bytes()[:5000])
    with pytest.raises(StoreDamaged):
        restore(tmp_path / "cut.db", tmp_path / "s.db")


def test_reports_of_gateways_are_kept_for_a_limited_time(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.report(GatewayReport("one", 3, 1000.0, {"u": {"served": 5.0}}))
    store.report(GatewayReport("two", 4, 1010.0))
    assert [(r.door, r.revision) for r in store.reports()] == [("one", 3), ("two", 4)]
    store.report(GatewayReport("two", 5, 1010.0 + sqlite_module.REPORT_RETENTION_S))
    assert [(r.door, r.revision) for r in store.reports()] == [("two", 5)]


def test_no_secret_is_in_the_file(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    new_tenant, blobs, shown = tenant("a", [1])
    key_id, admin_key, stored_key = create_key(ADMIN_PREFIX, 0.0)
    store.commit(change("a", new_tenant, blobs=blobs, add_admins=[Admin(key_id, "ann", "u-a", stored_key)]))
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    data = (tmp_path / "s.db").read_bytes()
    assert b"u-a" in data
    for key in (shown, admin_key):
        # The secret may contain `_` itself, so it is taken from the key by the pattern.
        assert (secret := KEY_PATTERN.fullmatch(key.encode())) and secret[3] not in data
    assert (tmp_path / "s.db").stat().st_mode & 0o077 == 0


WRITER_PROGRAM = """
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


def test_a_hundred_kills_lose_no_answered_commit_and_leave_none_partial(tmp_path: Path) -> None:
    rng, paths = random.Random(5), [tmp_path / f"{lane}.db" for lane in range(10)]
    answered = dict.fromkeys(paths, 0)
    for _ in range(10):  # ten stores in parallel, each killed ten times
        children = [
            (
                path,
                subprocess.Popen([sys.executable, "-c", WRITER_PROGRAM, str(path)], stdout=subprocess.PIPE),
            )
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


def test_undecodable_data_raises_store_damaged(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    put(store, "a")
    store.db.execute("UPDATE tenants SET body = ?", (msgspec.msgpack.encode({"nonsense": 1}),))
    with pytest.raises(StoreDamaged, match="can't read"):
        store.get("a")


def test_the_change_hint_differs_after_each_commit(tmp_path: Path) -> None:
    """A gateway reads the store when the hint differs, and otherwise once a second."""
    store, other = SqliteStore(tmp_path / "s.db"), SqliteStore(tmp_path / "s.db")
    last, seen = 0, [store.change_hint()]
    for _ in range(20):
        last = put(other, "a", last)
        seen.append(store.change_hint())
    assert None not in seen and len(set(seen)) == len(seen)
    assert store.change_hint() == seen[-1]
    (tmp_path / "s.db-wal").unlink()
    assert store.change_hint() is None
