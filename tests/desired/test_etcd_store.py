"""The desired state in etcd: the same promises as the one in SQLite, and what only etcd can do wrong."""

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
from standins.etcd import Server, serving
from tests.desired import store_contract
from tests.desired.etcd_fixtures import access, begin, stored
from tests.desired.store_contract import change, put
from tests.tenants.making import tenant


def test_a_change_is_made_from_the_state_it_was_seen_in() -> None:
    with stored() as (_, store):  # the operator's key was the first change
        store_contract.check_optimistic_locking(store, 1)
        assert store.get("a/b") is None and store.get("") is None


def test_a_host_name_is_one_tenants() -> None:
    with stored() as (_, store):
        at = put(store, "a")
        made, blobs, _key = tenant("a", [1])
        with pytest.raises(HostTaken) as taken:
            store.commit(change("b", made, blobs=blobs))
        assert store.get("b") is None and "u-a" not in str(taken.value)
        other, more, _key = tenant("c", [1])
        moved = store.commit(change("a", other, at, blobs=more))  # it gives its own name up
        assert store.commit(change("b", made, blobs=blobs)) == moved + 1


def test_all_of_a_tenant_goes_with_it_and_nothing_of_another() -> None:
    with stored() as (server, store):
        number, _, kept = create_key(ADMIN_PREFIX, 0.0)
        answer = StoredAnswer("f", 201, b"{}", "1")
        admin = Admin(number, "ann", "u-a", kept)
        at = put(store, "a", add_admins=[admin], repeat=("k", answer))
        put(store, "b")
        found = store.get("a")
        assert found is not None and store.answer_of_repeat("k") == answer and store.admin(number) == admin
        names = text_digests(found.tenant)
        assert all(store.blob(name, "u-a") for name in names) and store.admins("u-a") == [admin]
        assert not any(store.blob(name, "u-other") for name in names)
        store.commit(change("a", None, at))
        assert store.get("a") is None and store.history("u-a", 9) == [] and store.admins("u-a") == []
        assert store.answer_of_repeat("k") is None and store.admin(number) is None
        assert not any(store.blob(name, "u-a") for name in names)
        assert [a.action for a in store.audit("u-a", 1 << 60, 9)] == ["test", "test"]  # that it was, stays
        left = [n for n in server.etcd.names if server.etcd.seen(n, server.etcd.revision)]
        assert not [n for n in left if b"u-a" in n and b"audit-of" not in n], left
        others = store.get("b")
        assert others is not None and all(store.blob(name, "u-b") for name in text_digests(others.tenant))


def test_history_audit_and_texts_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(plan, "HISTORY", 3)
    monkeypatch.setattr(plan, "MAX_AUDIT", 5)
    with stored() as (server, store):
        last = 0
        for turn in range(8):
            made, blobs, _ = tenant("a", [turn + 1])  # another list of workers each time
            last = store.commit(change("a", made, last, blobs=blobs))
        assert [s.revision for s in store.history("u-a", 99)] == [last, last - 1, last - 2]
        assert len(store.audit("", 1 << 60, 99)) == 5
        assert len(store.audit("u-a", 1 << 60, 99)) == 5
        blobs_kept = store.range(etcd_range(store, "blobs/u-a/")).kvs
        # Routes and what was compiled of them are the same; a list, what was read of it and a document each.
        assert len(blobs_kept) == 2 + 3 * 3
        assert all(store.blob(n, "u-a") for s in store.history("u-a", 9) for n in text_digests(s.tenant))
        assert server.etcd.calls["/v3/kv/txn"] < 8 * 8


def etcd_range(store: EtcdStore, below: str) -> Any:
    from ivymux.desired.etcd.wire import Range

    key = store.keys.prefix.encode() + below.encode()
    return Range(key, etcd_keys.prefix_end(key))


def test_texts_larger_than_a_request_are_put_in_pieces() -> None:
    with stored() as (_, store):
        made, blobs, _ = tenant("a", [1])
        big = os.urandom(2 * etcd_keys.MAX_PIECE_BYTES + 17)
        name = digest(big)
        files = made.routes.files | {"big.json": name}
        from msgspec.structs import replace

        made = replace(made, routes=replace(made.routes, files=files))
        with pytest.raises(StoreError, match="not there"):
            store.commit(change("a", made, blobs=blobs))
        assert store.get("a") is None
        store.commit(change("a", made, blobs=blobs | {name: big}))
        assert store.blob(name, "u-a") == big
        # Another tenant's of the same name in the same place, or one cut short, is not taken for it.
        key = store.keys.piece("u-a", name, 1)
        from ivymux.desired.etcd.wire import Put

        store.put(Put(key, b"something else"))
        with pytest.raises(StoreDamaged, match="digest"):
            store.blob(name, "u-a")


def test_an_audit_record_too_large_keeps_who_when_and_how_much() -> None:
    with stored() as (_, store):
        rng = random.Random(3)
        changes = [{"path": f"/customers/{n}", "after": rng.randbytes(20).hex()} for n in range(30_000)]
        put(store, "a", changes=changes)
        (record, _) = store.audit("", 1 << 60, 9)
        assert record.who == "me" and len(record.changes) == etcd_keys.MAX_LISTED_CHANGES + 1
        assert record.changes[-1]["after"].startswith("29800 more")


def test_nothing_begins_but_by_the_command_line() -> None:
    with serving() as server:
        store = EtcdStore(access(server))
        for call in (store.revision, store.lineage, lambda: put(store, "a")):
            with pytest.raises(StoreError, match="no desired state is here"):
                call()
        assert server.etcd.revision == 1  # and nothing was put
        begin(store)
        assert store.revision() == 1 and len(store.lineage()) == 32
        lineage = store.lineage()
        begin(store, "ann")
        assert store.lineage() == lineage and store.revision() == 2 and len(store.admins("")) == 2


# --- trouble -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("fault", ["unanswered", "lost", "unavailable"])
def test_a_commit_without_an_answer_is_made_once(fault: str) -> None:
    with stored(timeout=0.3) as (server, store):
        at = put(store, "a")
        for turn in range(3):
            setattr(server.etcd.faults, fault, 1 + turn % 2)
            now = put(store, "a", at)
            assert now == at + 1 == store.revision()
            at = now
        assert [a.revision for a in store.audit("u-a", 1 << 60, 99)] == [5, 4, 3, 2]


def test_who_hears_nothing_of_a_commit_that_another_followed_is_told_the_truth() -> None:
    """The answer is lost, and before the look somebody else changes the same tenant."""
    with stored(timeout=0.3) as (server, store):
        at = put(store, "a")
        other = EtcdStore(access(server))
        server.etcd.faults.unanswered = 1
        done: list[int] = []
        mine = threading.Thread(target=lambda: done.append(put(store, "a", at, who="first")))
        mine.start()
        while store.revision() == at:
            pass
        second = put(other, "a", at + 1, who="second")
        mine.join()
        assert done == [at + 1] and second == at + 2
        assert [a.who for a in other.audit("u-a", 1 << 60, 2)] == ["second", "first"]
        other.close()


def test_away_slow_full_and_refusing_change_nothing_and_say_so() -> None:
    with stored(timeout=0.2) as (server, store):
        at = put(store, "a")
        faults = server.etcd.faults
        faults.partition = True
        with pytest.raises(StoreBusy, match="in time"):
            store.get("a")
        faults.partition = False
        faults.slow = 0.05
        assert store.get("a") is not None
        faults.slow = 0.0
        faults.full = True
        with pytest.raises(StoreFull, match="full"):
            put(store, "a", at)
        assert store.get("a") is not None  # reading goes on
        faults.full = False
        assert put(store, "a", at) == at + 1
        port = server.port
    nobody = EtcdStore(access(server, timeout=0.2))
    with pytest.raises(StoreBusy, match="away"):
        nobody.revision()
    assert str(port) in nobody.client.access.endpoints[0]
    nobody.close()


def test_another_endpoint_answers_while_one_is_away() -> None:
    with stored() as (server, _):
        gone = Server()
        gone.socket.close()
        both = EtcdStore(access(gone, server, timeout=0.5))
        assert put(both, "a") == 2 and both.get("a") is not None
        hanging = Server().start()
        hanging.etcd.faults.partition = True
        third = EtcdStore(access(hanging, server, timeout=0.3))
        assert third.get("a") is not None  # a read goes on to the next one
        assert put(third, "b") == 3
        hanging.stop()
        both.close()
        third.close()


def test_what_answers_and_is_no_etcd_is_told() -> None:
    from ivymux.desired.etcd.wire import failure, read_range, read_txn, read_watch

    nonsense: list[Any] = [
        {"kvs": [1]},
        {"kvs": [{"key": "%%"}]},
        {"kvs": 5},
        {"kvs": [{"mod_revision": "x"}]},
    ]
    for answer in nonsense:
        with pytest.raises(StoreDamaged, match="JSON gateway"):
            read_range(answer)
        with pytest.raises(StoreDamaged, match="JSON gateway"):
            read_txn({"responses": [{"response_range": answer}]})
    lines: list[Any] = [{}, {"result": {"events": [{}]}}, {"result": {"events": [{"kv": {"key": "%"}}]}}]
    for line in lines:
        with pytest.raises(StoreDamaged, match="JSON gateway"):
            read_watch(line)
    assert isinstance(failure(8, "etcdserver: mvcc: database space exceeded"), StoreFull)
    assert isinstance(failure(14, "etcdserver: no leader"), StoreBusy)
    assert "readwrite" in str(failure(7, "etcdserver: permission denied"))


def test_users_their_tokens_and_a_password_that_shows_nowhere() -> None:
    with serving(users={"mux": "s3cret-word"}) as server:
        terms = access(server, username="mux", password="s3cret-word")
        store = EtcdStore(terms)
        begin(store)
        put(store, "a")
        server.on_loop(server.etcd.tokens.clear)  # they end by themselves, or with a restart
        assert store.get("a") is not None
        wrong = EtcdStore(access(server, username="mux", password="other-word"))
        with pytest.raises(StoreError, match="neither this user") as told:
            wrong.revision()
        with pytest.raises(StoreError) as nobody:
            EtcdStore(access(server)).revision()
        assert "-word" not in f"{told.value}{nobody.value}{terms!r}"
        store.close()
        wrong.close()


# --- many at once --------------------------------------------------------------------------------------


def test_ten_administrators_at_once_make_one_order_of_changes() -> None:
    with stored() as (server, _):
        made: list[int] = []
        lost: list[int] = []

        def administrator(number: int) -> None:
            store = EtcdStore(access(server, timeout=20.0))
            done = 0
            while done < 8:
                found = store.get("a")
                try:
                    made.append(put(store, "a", found.revision if found else 0, who=str(number)))
                    done += 1
                except RevisionConflict:
                    lost.append(number)
            store.close()

        threads = [threading.Thread(target=administrator, args=(n,)) for n in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        store = EtcdStore(access(server))
        assert sorted(made) == list(range(2, 82)) and lost
        records = store.audit("", 1 << 60, 999)
        assert [a.revision for a in records] == list(range(81, 0, -1))
        found = store.get("a")
        assert found is not None and found.revision == 81 == store.revision()
        store.close()


def test_a_sweep_never_takes_what_a_commit_on_its_way_needs(monkeypatch: pytest.MonkeyPatch) -> None:
    """It goes back to texts of an old state just as that falls out of the history."""
    monkeypatch.setattr(plan, "HISTORY", 2)
    with stored() as (server, store):
        old, old_texts, _ = tenant("a", [1])
        last = store.commit(change("a", old, blobs=old_texts))
        other = EtcdStore(access(server))
        made, blobs, _ = tenant("a", [2])
        last = store.commit(change("a", made, last, blobs=blobs))
        # `other` has looked and found its texts there; now they are swept away, and it goes on.
        look = other.put_texts
        swept: list[int] = []

        def late(given: Any) -> None:
            look(given)
            if not swept:
                made, blobs, _ = tenant("b", [3])
                store.commit(change("b", made, blobs=blobs))
                swept.append(1)
                key = store.keys.all("blobs", "u-a")
                from ivymux.desired.etcd.wire import Delete, Txn

                store.transact(Txn((), (Delete(key, etcd_keys.prefix_end(key)),)))

        monkeypatch.setattr(other, "put_texts", late)
        now = other.commit(change("a", old, last, blobs=old_texts))
        found = store.get("a")
        assert found is not None and found.revision == now
        assert all(store.blob(name, "u-a") for name in text_digests(found.tenant))
        other.close()


def test_no_secret_is_in_etcd() -> None:
    with stored() as (server, store):
        made, blobs, shown = tenant("a", [1])
        number, admin_key, kept = create_key(ADMIN_PREFIX, 0.0)
        store.commit(change("a", made, blobs=blobs, add_admins=[Admin(number, "ann", "u-a", kept)]))
        import zlib

        values = [v.value or b"" for vs in server.etcd.versions.values() for v in vs]
        opened = [zlib.decompress(v) if v[:1] == b"\x78" else v for v in values]
        for key in (shown, admin_key):
            assert (secret := KEY_PATTERN.fullmatch(key.encode()))  # it may hold a `_` itself
            assert not [v for v in opened if secret[3] in v]
