"""Whole copies of a desired state, from one kind of store to the other.

A backup is always an SQLite file, also that of a state in etcd.  So an installation moves from one to the
other by `ivymux backup` with the old file and `ivymux restore` with the new one.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import tempfile
import time
from pathlib import Path

import msgspec

from ivymux.desired.etcd.keys import (
    Head,
    State,
    TextHeader,
    decode_audit,
    encode_audit,
    head_of,
    join_text,
    packed,
    prefix_end,
    split_text,
    unpacked,
)
from ivymux.desired.etcd.plan import adding, read_state
from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.etcd.wire import MAX_OPERATIONS, Compare, Delete, Kv, Put, Range, Txn
from ivymux.desired.model import Admin, AuditRecord, StoreError
from ivymux.desired.sqlite import SqliteStore, verify
from ivymux.tenants.model import Tenant

PARTS = (
    "live", "hosts", "history", "audit", "audit-of", "admins", "admin-ids", "repeats", "repeat-ids", "blobs"
)  # fmt: skip
JUMP = 1_000_000  # beyond all revisions that were given out since the copy was made


def backup_etcd(store: EtcdStore, path: Path) -> None:
    """A whole copy as of one revision of etcd, while it is changed.  Raises StoreError, OSError."""
    part = path.with_name(path.name + ".part")
    for end in ("", "-wal", "-shm"):
        with contextlib.suppress(FileNotFoundError):
            part.with_name(part.name + end).unlink()
    copy = SqliteStore(part)
    try:
        fill(copy.db, store)
        copy.db.execute("PRAGMA journal_mode = DELETE")
    finally:
        copy.close()
    verify(part)
    with open(part, "rb") as handle:
        os.fsync(handle.fileno())
    part.replace(path)


def fill(db: sqlite3.Connection, store: EtcdStore) -> None:
    keys = store.keys
    found = store.range(Range(keys.state))
    (state, _), at = read_state(found), found.revision

    def every(*parts: str) -> list[Kv]:
        begin = keys.all(*parts)
        return store.every(begin, prefix_end(begin), at=at)[0]

    db.execute("BEGIN IMMEDIATE")
    db.execute("UPDATE state SET revision = ?, lineage = ?, forgot = ?",
               (state.revision, state.lineage, state.revision))  # fmt: skip
    for kv in every("history"):
        head = unpacked(kv.value, Head)
        texts = {name: text_at(store, head.uid, name, at) for name in (head.body, *head.texts)}
        body = texts.pop(head.body)
        db.execute("INSERT INTO history VALUES (?, ?, ?, ?, ?)",
                   (head.uid, head.revision, head.name, head.created, body))  # fmt: skip
        for name, data in texts.items():
            db.execute("INSERT OR IGNORE INTO blobs VALUES (?, ?)", (name, data))
            db.execute("INSERT OR IGNORE INTO uses VALUES (?, ?, ?)", (head.uid, head.revision, name))
    for kv in every("live", "tenants"):
        head = unpacked(kv.value, Head)
        db.execute("INSERT INTO tenants VALUES (?, ?, ?, ?, ?)",
                   (head.name, head.uid, head.revision, head.created,
                    text_at(store, head.uid, head.body, at)))  # fmt: skip
        for host in head.hosts:
            db.execute("INSERT INTO hosts VALUES (?, ?)", (host, head.uid))
    for kv in every("audit"):
        a = decode_audit(kv.value).audit
        row = a.revision, a.at, a.who, a.origin, a.action, a.uid, a.tenant, packed(a.changes)
        db.execute("INSERT INTO audit VALUES (?, ?, ?, ?, ?, ?, ?, ?)", row)
    for kv in every("admins"):
        admin = unpacked(kv.value, Admin)
        db.execute("INSERT INTO admins VALUES (?, ?, ?, ?)",
                   (admin.id, admin.name, admin.uid, packed(admin.kept)))  # fmt: skip
    db.execute("COMMIT")


def text_at(store: EtcdStore, uid: str, name: str, at: int) -> bytes:
    key = store.keys.blob(uid, name)
    found, _ = store.every(key, prefix_end(key), at=at)
    if not found or found[0].key != key:
        raise StoreError("a text that a tenant names is not there: nothing was copied")
    return join_text(unpacked(found[0].value, TextHeader), [kv.value for kv in found[1:]], name)


def restore_etcd(backup: Path, store: EtcdStore) -> None:
    """Put a backup where no desired state is.  Raises StoreError.

    The state's own key comes last: until then no front door follows, and one that broke off is begun again.
    """
    verify(backup)
    if store.range(Range(store.keys.state)).kvs:
        raise StoreError(
            f"a desired state is at {store.keys.prefix}: restore to another etcd.prefix, or delete its keys"
        )
    # What a restore that broke off has left; what else may stand below the prefix is not ours.
    ours = [store.keys.all(part) for part in PARTS]
    store.transact(Txn((), tuple(Delete(key, prefix_end(key)) for key in ours)))
    with tempfile.TemporaryDirectory() as folder:
        mine = Path(folder) / "copy.db"  # opening it may write to it
        mine.write_bytes(backup.read_bytes())
        copy = SqliteStore(mine)
        try:
            state = put_all(copy.db, store)
        finally:
            copy.close()
    guard = Compare(store.keys.state, "CREATE", "EQUAL", 0)
    if not store.transact(Txn((guard,), (Put(store.keys.state, packed(state)),))).succeeded:
        raise StoreError("another restore was first: nothing was changed")


def put_all(db: sqlite3.Connection, store: EtcdStore) -> State:
    keys, waiting = store.keys, list[Range | Put | Delete]()
    there: set[tuple[str, str]] = set()

    def put(*ops: Range | Put | Delete) -> None:
        waiting.extend(ops)
        if len(waiting) >= MAX_OPERATIONS // 4:
            store.transact(Txn((), tuple(waiting)))
            waiting.clear()

    def head(name: str, uid: str, revision: int, created: float, body: bytes) -> Head:
        made, data = head_of(name, uid, revision, created, msgspec.msgpack.decode(body, type=Tenant))
        for text in (made.body, *made.texts):
            if (uid, text) in there:
                continue
            there.add((uid, text))
            rows = db.execute("SELECT data FROM blobs WHERE digest = ?", (text,)).fetchall()
            place, rest = split_text(data if text == made.body else bytes(rows[0][0]))
            for turn, part in enumerate(rest, 1):
                store.put(Put(keys.piece(uid, text, turn), part))
            store.put(Put(keys.blob(uid, text), packed(place)))
        return made

    for row in db.execute("SELECT name, uid, revision, created, body FROM history").fetchall():
        put(Put(keys.history(row[1], row[2]), packed(head(*row))))
    for row in db.execute("SELECT name, uid, revision, created, body FROM tenants").fetchall():
        made = head(*row)
        put(Put(keys.tenant(made.name), packed(made)))
        for host in made.hosts:
            put(Put(keys.host(host), made.uid.encode()))
    columns = "revision, at, who, origin, action, uid, tenant, changes"
    rows = db.execute(f"SELECT {columns} FROM audit").fetchall()
    for revision, at, who, origin, action, uid, tenant, changes in rows:
        audit = AuditRecord(revision, at, who, origin, action, uid, tenant, msgspec.msgpack.decode(changes))
        put(Put(keys.audit(revision), encode_audit("", audit)), Put(keys.audit_of(uid, revision), b""))
    for number, name, uid, kept in db.execute("SELECT id, name, uid, kept FROM admins").fetchall():
        found = {"id": number, "name": name, "uid": uid, "kept": msgspec.msgpack.decode(kept)}
        put(*adding(keys, [msgspec.convert(found, Admin)]))
    if waiting:
        store.transact(Txn((), tuple(waiting)))
    (revision, lineage) = db.execute("SELECT revision, lineage FROM state").fetchone()
    return State(max(revision + JUMP, int(time.time())), lineage)
