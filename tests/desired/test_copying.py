"""Whole copies of a desired state, between SQLite and etcd."""

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
from standins.etcd import serving
from tests.desired.etcd_fixtures import access, begin, stored
from tests.desired.store_contract import change, put
from tests.tenants.making import tenant


def same(one: SqliteStore | EtcdStore, other: SqliteStore | EtcdStore) -> None:
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


def test_from_etcd_to_a_file_and_into_another_etcd(tmp_path: Path) -> None:
    number, _, kept = create_key(ADMIN_PREFIX, 0.0)
    with stored() as (_, store):
        at = put(store, "a", add_admins=[Admin(number, "ann", "u-a", kept)])
        made, blobs, _key = tenant("a", [2])
        store.commit(change("a", made, at, blobs=blobs))
        put(store, "b")
        backup_etcd(store, tmp_path / "copy.db")
        backup_etcd(store, tmp_path / "copy.db")  # over an older one
        copy = SqliteStore(tmp_path / "copy.db")
        same(store, copy)
        copy.close()
        with serving() as second:
            other = EtcdStore(access(second))
            restore_etcd(tmp_path / "copy.db", other)
            same(store, other)
            assert other.revision() > store.revision()
            with pytest.raises(StoreError, match="a desired state is at /ivymux/"):
                restore_etcd(tmp_path / "copy.db", other)
            # It goes on from there: a change, the bounds of history, and a deletion that leaves nothing.
            found = other.get("a")
            assert found is not None
            changed = put(other, "a", found.revision)
            assert changed == other.revision()
            other.commit(change("a", None, changed))
            assert other.history("u-a", 9) == [] and other.admin(number) is None
            other.close()


def test_from_a_file_into_etcd_and_back(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    number, _, kept = create_key(ADMIN_PREFIX, 0.0)
    store.add_operator(Admin(number, "olga", "", kept), 1000.0)
    at = put(store, "a")
    put(store, "a", at)
    store.backup(tmp_path / "one.db")
    with serving() as server:
        etcd = EtcdStore(access(server))
        restore_etcd(tmp_path / "one.db", etcd)
        same(store, etcd)
        backup_etcd(etcd, tmp_path / "two.db")
        etcd.close()
    restore(tmp_path / "two.db", tmp_path / "back.db")
    back = SqliteStore(tmp_path / "back.db")
    same(store, back)
    assert back.revision() > store.revision()
    back.close()
    store.close()


def test_a_restore_that_breaks_off_is_followed_by_nobody_and_begun_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with stored() as (_, store):
        put(store, "a")
        put(store, "b")
        backup_etcd(store, tmp_path / "copy.db")
    with serving() as server:
        other = EtcdStore(access(server))
        whole, calls = copying.put_all, 0

        def breaks(db: object, target: EtcdStore) -> object:
            whole(db, target)  # type: ignore[arg-type]
            raise StoreError("etcd is away")

        monkeypatch.setattr(copying, "put_all", breaks)
        with pytest.raises(StoreError, match="away"):
            restore_etcd(tmp_path / "copy.db", other)
        with pytest.raises(StoreError, match="no desired state"):
            other.revision()
        monkeypatch.setattr(copying, "put_all", whole)
        restore_etcd(tmp_path / "copy.db", other)
        assert [s.name for s in other.page("", 9)] == ["a", "b"] and calls == 0
        other.close()


def test_what_is_not_whole_is_neither_copied_nor_restored(tmp_path: Path) -> None:
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
        assert not [n for n in server.etcd.names if n.startswith(b"/empty/")]
        empty.close()


def test_what_else_stands_below_the_prefix_is_left(tmp_path: Path) -> None:
    with stored() as (_, store):
        put(store, "a")
        backup_etcd(store, tmp_path / "copy.db")
    with serving() as server:
        other = EtcdStore(access(server))
        from ivymux.desired.etcd.wire import Put

        other.put(Put(b"/ivymux/somebody", b"else"))
        restore_etcd(tmp_path / "copy.db", other)
        assert other.one(b"/ivymux/somebody") is not None
        begin(other, "ann")
        assert len(other.admins("")) == 2
        other.close()
