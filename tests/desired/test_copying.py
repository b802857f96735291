"""Backup and restore of a desired state, between SQLite and etcd."""

from __future__ import annotations

from pathlib import Path

import pytest

from ivymux.desired import copying
from ivymux.desired.copying import backup_etcd, restore_etcd
from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.model import Admin, StoreDamaged, StoreError
from ivymux.desired.sqlite import SqliteStore, restore
from ivymux.tenants.model import text_digests
from ivymux.tenants.secret import ADMIN_PREFIX, create_key
from standins.etcd import etcd_server
from tests.desired.etcd_fixtures import access, begin, stored
from tests.desired.store_contract import change, put
from tests.tenants.fixtures import tenant


def assert_equal_states(one: SqliteStore | EtcdStore, other: SqliteStore | EtcdStore) -> None:
    assert one.lineage() == other.lineage()
    assert one.page("", 99) == other.page("", 99) and one.page("", 99)
    assert one.audit("", 1 << 60, 999) == other.audit("", 1 << 60, 999)
    for found in one.page("", 99):
        assert one.history(found.uid, 99) == other.history(found.uid, 99)
        assert one.admins(found.uid) == other.admins(found.uid)
        for state in one.history(found.uid, 99):
            for name in text_digests(state.tenant):
                assert one.blob(name, found.uid) == other.blob(name, found.uid) is not None
    assert one.admins("") == other.admins("") and one.admins("")


def test_a_backup_of_etcd_can_be_restored_to_another_etcd(tmp_path: Path) -> None:
    key_id, _, stored_key = create_key(ADMIN_PREFIX, 0.0)
    with stored() as (_, store):
        at = put(store, "a", add_admins=[Admin(key_id, "ann", "u-a", stored_key)])
        new_tenant, blobs, _key = tenant("a", [2])
        store.commit(change("a", new_tenant, at, blobs=blobs))
        put(store, "b")
        backup_etcd(store, tmp_path / "copy.db")
        backup_etcd(store, tmp_path / "copy.db")  # replaces the older copy
        copy = SqliteStore(tmp_path / "copy.db")
        assert_equal_states(store, copy)
        copy.close()
        with etcd_server() as second:
            other = EtcdStore(access(second))
            restore_etcd(tmp_path / "copy.db", other)
            assert_equal_states(store, other)
            assert other.revision() > store.revision()
            with pytest.raises(StoreError, match="a desired state is at /ivymux/"):
                restore_etcd(tmp_path / "copy.db", other)
            # The restored state accepts a change, and a deletion that leaves no data of the tenant.
            found = other.get("a")
            assert found is not None
            changed = put(other, "a", found.revision)
            assert changed == other.revision()
            other.commit(change("a", None, changed))
            assert other.history("u-a", 9) == [] and other.admin(key_id) is None
            other.close()


def test_a_state_moves_from_sqlite_to_etcd_and_back(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    key_id, _, stored_key = create_key(ADMIN_PREFIX, 0.0)
    store.add_operator(Admin(key_id, "olga", "", stored_key), 1000.0)
    at = put(store, "a")
    put(store, "a", at)
    store.backup(tmp_path / "one.db")
    with etcd_server() as server:
        etcd = EtcdStore(access(server))
        restore_etcd(tmp_path / "one.db", etcd)
        assert_equal_states(store, etcd)
        backup_etcd(etcd, tmp_path / "two.db")
        etcd.close()
    restore(tmp_path / "two.db", tmp_path / "back.db")
    back = SqliteStore(tmp_path / "back.db")
    assert_equal_states(store, back)
    assert back.revision() > store.revision()
    back.close()
    store.close()


def test_an_interrupted_restore_is_not_served_and_can_be_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with stored() as (_, store):
        put(store, "a")
        put(store, "b")
        backup_etcd(store, tmp_path / "copy.db")
    with etcd_server() as server:
        other = EtcdStore(access(server))
        copy_to_etcd, calls = copying.copy_to_etcd, 0

        def copy_and_fail(db: object, target: EtcdStore) -> object:
            copy_to_etcd(db, target)  # type: ignore[arg-type]
            raise StoreError("etcd is away")

        monkeypatch.setattr(copying, "copy_to_etcd", copy_and_fail)
        with pytest.raises(StoreError, match="away"):
            restore_etcd(tmp_path / "copy.db", other)
        with pytest.raises(StoreError, match="no desired state"):
            other.revision()
        monkeypatch.setattr(copying, "copy_to_etcd", copy_to_etcd)
        restore_etcd(tmp_path / "copy.db", other)
        assert [s.name for s in other.page("", 9)] == ["a", "b"] and calls == 0
        other.close()


def test_an_incomplete_state_is_not_backed_up_and_a_truncated_backup_not_restored(tmp_path: Path) -> None:
    with stored() as (server, store):
        put(store, "a")
        backup_etcd(store, tmp_path / "copy.db")
        good = (tmp_path / "copy.db").read_bytes()
        found = store.get("a")
        assert found is not None
        name = sorted(text_digests(found.tenant))[0]
        key = store.keys.blob("u-a", name)
        from ivymux.desired.etcd.wire import Delete, Txn

        store.transact(Txn((), (Delete(key),)))
        with pytest.raises(StoreError, match="nothing was copied"):
            backup_etcd(store, tmp_path / "copy.db")
        assert (tmp_path / "copy.db").read_bytes() == good  # the older copy stays
        (tmp_path / "cut.db").write_bytes(good[: len(good) // 2])
        empty = EtcdStore(access(server), "/empty/")
        with pytest.raises(StoreDamaged):
            restore_etcd(tmp_path / "cut.db", empty)
        assert not [n for n in server.etcd.all_keys if n.startswith(b"/empty/")]
        empty.close()


def test_a_restore_keeps_other_keys_below_the_prefix(tmp_path: Path) -> None:
    with stored() as (_, store):
        put(store, "a")
        backup_etcd(store, tmp_path / "copy.db")
    with etcd_server() as server:
        other = EtcdStore(access(server))
        from ivymux.desired.etcd.wire import Put

        other.put(Put(b"/ivymux/somebody", b"else"))
        restore_etcd(tmp_path / "copy.db", other)
        assert other.read_key(b"/ivymux/somebody") is not None
        begin(other, "ann")
        assert len(other.admins("")) == 2
        other.close()
