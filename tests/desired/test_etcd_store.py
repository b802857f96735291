"""The etcd store of the desired state: the checks of every store, and the faults that only etcd has."""

from __future__ import annotations

import os
import random
import threading
from typing import Any

import pytest

from ivymux.desired.etcd import keys as etcd_keys
from ivymux.desired.etcd import plan
from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.model import (
    Admin,
    HostTaken,
    RevisionConflict,
    StoreBusy,
    StoreDamaged,
    StoredAnswer,
    StoreError,
    StoreFull,
)
from ivymux.tenants.model import digest, text_digests
from ivymux.tenants.secret import ADMIN_PREFIX, KEY_PATTERN, create_key
from standins.etcd import EtcdServer, etcd_server
from tests.desired import store_contract
from tests.desired.etcd_fixtures import access, begin, stored
from tests.desired.store_contract import change, put
from tests.tenants.fixtures import tenant


def test_a_change_against_an_outdated_revision_is_refused() -> None:
    with stored() as (_, store):  # storing the operator's key was the first change
        store_contract.check_optimistic_locking(store, 1)
        assert store.get("a/b") is None and store.get("") is None


def test_a_host_name_belongs_to_one_tenant() -> None:
    with stored() as (_, store):
        at = put(store, "a")
        new_tenant, blobs, _key = tenant("a", [1])
        with pytest.raises(HostTaken) as conflict:
            store.commit(change("b", new_tenant, blobs=blobs))
        assert store.get("b") is None and "u-a" not in str(conflict.value)
        other, more, _key = tenant("c", [1])
        moved = store.commit(change("a", other, at, blobs=more))  # releases its host name
        assert store.commit(change("b", new_tenant, blobs=blobs)) == moved + 1


def test_deleting_a_tenant_deletes_its_data_and_no_other() -> None:
    with stored() as (server, store):
        key_id, _, stored_key = create_key(ADMIN_PREFIX, 0.0)
        answer = StoredAnswer("f", 201, b"{}", "1")
        admin = Admin(key_id, "ann", "u-a", stored_key)
        at = put(store, "a", add_admins=[admin], repeat=("k", answer))
        put(store, "b")
        found = store.get("a")
        assert found is not None and store.answer_of_repeat("k") == answer and store.admin(key_id) == admin
        names = text_digests(found.tenant)
        assert all(store.blob(name, "u-a") for name in names) and store.admins("u-a") == [admin]
        assert not any(store.blob(name, "u-other") for name in names)
        store.commit(change("a", None, at))
        assert store.get("a") is None and store.history("u-a", 9) == [] and store.admins("u-a") == []
        assert store.answer_of_repeat("k") is None and store.admin(key_id) is None
        assert not any(store.blob(name, "u-a") for name in names)
        assert [a.action for a in store.audit("u-a", 1 << 60, 9)] == ["test", "test"]  # audit records stay
        left = [n for n in server.etcd.all_keys if server.etcd.version_at(n, server.etcd.revision)]
        assert not [n for n in left if b"u-a" in n and b"audit-of" not in n], left
        others = store.get("b")
        assert others is not None and all(store.blob(name, "u-b") for name in text_digests(others.tenant))


def test_history_audit_and_texts_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(plan, "MAX_HISTORY", 3)
    monkeypatch.setattr(plan, "MAX_AUDIT", 5)
    with stored() as (server, store):
        last = 0
        for turn in range(8):
            new_tenant, blobs, _ = tenant("a", [turn + 1])  # a different list of workers each time
            last = store.commit(change("a", new_tenant, last, blobs=blobs))
        assert [s.revision for s in store.history("u-a", 99)] == [last, last - 1, last - 2]
        assert len(store.audit("", 1 << 60, 99)) == 5
        assert len(store.audit("u-a", 1 << 60, 99)) == 5
        blobs_kept = store.range(etcd_range(store, "blobs/u-a/")).kvs
        # All share the routes and their compiled form; each has an inventory, its parsed form and a document.
        assert len(blobs_kept) == 2 + 3 * 3
        assert all(store.blob(n, "u-a") for s in store.history("u-a", 9) for n in text_digests(s.tenant))
        assert server.etcd.calls["/v3/kv/txn"] < 8 * 8


def etcd_range(store: EtcdStore, below: str) -> Any:
    from ivymux.desired.etcd.wire import Range

    key = store.keys.prefix.encode() + below.encode()
    return Range(key, etcd_keys.prefix_end(key))


def test_texts_larger_than_a_request_are_stored_in_pieces() -> None:
    with stored() as (_, store):
        new_tenant, blobs, _ = tenant("a", [1])
        big = os.urandom(2 * etcd_keys.MAX_PIECE_BYTES + 17)
        name = digest(big)
        files = new_tenant.routes.files | {"big.json": name}
        from msgspec.structs import replace

        new_tenant = replace(new_tenant, routes=replace(new_tenant.routes, files=files))
        with pytest.raises(StoreError, match="not there"):
            store.commit(change("a", new_tenant, blobs=blobs))
        assert store.get("a") is None
        store.commit(change("a", new_tenant, blobs=blobs | {name: big}))
        assert store.blob(name, "u-a") == big
        # A text with a piece of another text is refused.
        key = store.keys.piece("u-a", name, 1)
        from ivymux.desired.etcd.wire import Put

        store.put(Put(key, b"something else"))
        with pytest.raises(StoreDamaged, match="digest"):
            store.blob(name, "u-a")


def test_an_audit_record_that_is_too_large_keeps_its_author_and_number_of_changes() -> None:
    with stored() as (_, store):
        rng = random.Random(3)
        changes = [{"path": f"/customers/{n}", "after": rng.randbytes(20).hex()} for n in range(30_000)]
        put(store, "a", changes=changes)
        (record, _) = store.audit("", 1 << 60, 9)
        assert record.who == "me" and len(record.changes) == etcd_keys.MAX_LISTED_CHANGES + 1
        assert record.changes[-1]["after"].startswith("29800 more")


def test_only_the_command_line_creates_a_state() -> None:
    with etcd_server() as server:
        store = EtcdStore(access(server))
        for call in (store.revision, store.lineage, lambda: put(store, "a")):
            with pytest.raises(StoreError, match="no desired state is here"):
                call()
        assert server.etcd.revision == 1  # nothing was written
        begin(store)
        assert store.revision() == 1 and len(store.lineage()) == 32
        lineage = store.lineage()
        begin(store, "ann")
        assert store.lineage() == lineage and store.revision() == 2 and len(store.admins("")) == 2


# --- faults --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("fault", ["unanswered_txns", "lost_txns", "unavailable_calls"])
def test_a_commit_without_an_answer_is_applied_once(fault: str) -> None:
    with stored(timeout=0.3) as (server, store):
        at = put(store, "a")
        for turn in range(3):
            setattr(server.etcd.faults, fault, 1 + turn % 2)
            now = put(store, "a", at)
            assert now == at + 1 == store.revision()
            at = now
        assert [a.revision for a in store.audit("u-a", 1 << 60, 99)] == [5, 4, 3, 2]


def test_a_commit_with_a_lost_answer_is_recognised_after_a_later_commit() -> None:
    """The answer is lost, and another client changes the same tenant before the store reads again."""
    with stored(timeout=0.3) as (server, store):
        at = put(store, "a")
        other = EtcdStore(access(server))
        server.etcd.faults.unanswered_txns = 1
        done: list[int] = []
        first_commit = threading.Thread(target=lambda: done.append(put(store, "a", at, who="first")))
        first_commit.start()
        while store.revision() == at:
            pass
        second = put(other, "a", at + 1, who="second")
        first_commit.join()
        assert done == [at + 1] and second == at + 2
        assert [a.who for a in other.audit("u-a", 1 << 60, 2)] == ["second", "first"]
        other.close()


def test_an_unreachable_slow_or_full_etcd_raises_its_error_and_changes_nothing() -> None:
    with stored(timeout=0.2) as (server, store):
        at = put(store, "a")
        faults = server.etcd.faults
        faults.partition = True
        with pytest.raises(StoreBusy, match="in time"):
            store.get("a")
        faults.partition = False
        faults.delay = 0.05
        assert store.get("a") is not None
        faults.delay = 0.0
        faults.no_space = True
        with pytest.raises(StoreFull, match="full"):
            put(store, "a", at)
        assert store.get("a") is not None  # reads still work
        faults.no_space = False
        assert put(store, "a", at) == at + 1
        port = server.port
    unreachable = EtcdStore(access(server, timeout=0.2))
    with pytest.raises(StoreBusy, match="away"):
        unreachable.revision()
    assert str(port) in unreachable.client.access.endpoints[0]
    unreachable.close()


def test_another_endpoint_is_used_while_one_is_unreachable() -> None:
    with stored() as (server, _):
        gone = EtcdServer()
        gone.socket.close()
        both = EtcdStore(access(gone, server, timeout=0.5))
        assert put(both, "a") == 2 and both.get("a") is not None
        hanging = EtcdServer().start()
        hanging.etcd.faults.partition = True
        third = EtcdStore(access(hanging, server, timeout=0.3))
        assert third.get("a") is not None  # a read is retried at the next endpoint
        assert put(third, "b") == 3
        hanging.stop()
        both.close()
        third.close()


def test_answers_that_are_not_from_etcd_raise_store_damaged() -> None:
    from ivymux.desired.etcd.wire import decode_range, decode_txn, decode_watch, store_error

    nonsense: list[Any] = [
        {"kvs": [1]},
        {"kvs": [{"key": "%%"}]},
        {"kvs": 5},
        {"kvs": [{"mod_revision": "x"}]},
    ]
    for answer in nonsense:
        with pytest.raises(StoreDamaged, match="JSON gateway"):
            decode_range(answer)
        with pytest.raises(StoreDamaged, match="JSON gateway"):
            decode_txn({"responses": [{"response_range": answer}]})
    lines: list[Any] = [{}, {"result": {"events": [{}]}}, {"result": {"events": [{"kv": {"key": "%"}}]}}]
    for line in lines:
        with pytest.raises(StoreDamaged, match="JSON gateway"):
            decode_watch(line)
    assert isinstance(store_error(8, "etcdserver: mvcc: database space exceeded"), StoreFull)
    assert isinstance(store_error(14, "etcdserver: no leader"), StoreBusy)
    assert "readwrite" in str(store_error(7, "etcdserver: permission denied"))


def test_expired_tokens_are_renewed_and_passwords_are_never_shown() -> None:
    with etcd_server(users={"mux": "s3cret-word"}) as server:
        login = access(server, username="mux", password="s3cret-word")
        store = EtcdStore(login)
        begin(store)
        put(store, "a")
        server.run_on_loop(server.etcd.tokens.clear)  # tokens expire, or are lost with a restart
        assert store.get("a") is not None
        wrong = EtcdStore(access(server, username="mux", password="other-word"))
        with pytest.raises(StoreError, match="neither this user") as refused:
            wrong.revision()
        with pytest.raises(StoreError) as anonymous:
            EtcdStore(access(server)).revision()
        assert "-word" not in f"{refused.value}{anonymous.value}{login!r}"
        store.close()
        wrong.close()


# --- concurrency ---------------------------------------------------------------------------------------


def test_concurrent_changes_of_ten_administrators_are_serialised() -> None:
    with stored() as (server, _):
        revisions: list[int] = []
        conflicts: list[int] = []

        def administrator(number: int) -> None:
            store = EtcdStore(access(server, timeout=20.0))
            done = 0
            while done < 8:
                found = store.get("a")
                try:
                    revisions.append(put(store, "a", found.revision if found else 0, who=str(number)))
                    done += 1
                except RevisionConflict:
                    conflicts.append(number)
            store.close()

        threads = [threading.Thread(target=administrator, args=(n,)) for n in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        store = EtcdStore(access(server))
        assert sorted(revisions) == list(range(2, 82)) and conflicts
        records = store.audit("", 1 << 60, 999)
        assert [a.revision for a in records] == list(range(81, 0, -1))
        found = store.get("a")
        assert found is not None and found.revision == 81 == store.revision()
        store.close()


def test_a_clean_up_never_deletes_texts_that_a_commit_in_progress_needs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The commit returns to the texts of an old revision while that one expires from the history."""
    monkeypatch.setattr(plan, "MAX_HISTORY", 2)
    with stored() as (server, store):
        old, old_texts, _ = tenant("a", [1])
        last = store.commit(change("a", old, blobs=old_texts))
        other = EtcdStore(access(server))
        new_tenant, blobs, _ = tenant("a", [2])
        last = store.commit(change("a", new_tenant, last, blobs=blobs))
        # `other` has found its texts stored; they are deleted before its transaction.
        put_texts = other.put_texts
        deleted: list[int] = []

        def put_texts_then_delete(given: Any) -> None:
            put_texts(given)
            if not deleted:
                new_tenant, blobs, _ = tenant("b", [3])
                store.commit(change("b", new_tenant, blobs=blobs))
                deleted.append(1)
                key = store.keys.all("blobs", "u-a")
                from ivymux.desired.etcd.wire import Delete, Txn

                store.transact(Txn((), (Delete(key, etcd_keys.prefix_end(key)),)))

        monkeypatch.setattr(other, "put_texts", put_texts_then_delete)
        now = other.commit(change("a", old, last, blobs=old_texts))
        found = store.get("a")
        assert found is not None and found.revision == now
        assert all(store.blob(name, "u-a") for name in text_digests(found.tenant))
        other.close()


def test_no_secret_is_in_etcd() -> None:
    with stored() as (server, store):
        new_tenant, blobs, shown = tenant("a", [1])
        key_id, admin_key, stored_key = create_key(ADMIN_PREFIX, 0.0)
        store.commit(
            change("a", new_tenant, blobs=blobs, add_admins=[Admin(key_id, "ann", "u-a", stored_key)])
        )
        import zlib

        values = [v.value or b"" for vs in server.etcd.versions.values() for v in vs]
        opened = [zlib.decompress(v) if v[:1] == b"\x78" else v for v in values]
        for key in (shown, admin_key):
            assert (secret := KEY_PATTERN.fullmatch(key.encode()))  # it may hold a `_` itself
            assert not [v for v in opened if secret[3] in v]
