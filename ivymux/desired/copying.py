"""Backs up a desired state in etcd to an SQLite file, and restores such a file to etcd.

A backup is an SQLite file for either kind of store.  So an installation moves from one kind to the other by
`ivymux backup` with the old configuration file and `ivymux restore` with the new one.
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
from ivymux.desired.etcd.plan import admin_puts, decode_state
from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.etcd.wire import MAX_OPERATIONS, Compare, Delete, Kv, Put, Range, Txn
from ivymux.desired.model import Admin, AuditRecord, StoreError
from ivymux.desired.sqlite import SqliteStore, verify
from ivymux.tenants.model import Tenant

# The first path segments of all keys of a desired state in etcd.
PARTS = (
    "live", "hosts", "history", "audit", "audit-of", "admins", "admin-ids", "repeats", "repeat-ids", "blobs"
)  # fmt: skip
# Added to the revision of a restored state: more than were assigned since the backup was made, so that no
# revision is assigned twice.
REVISION_GAP = 1_000_000


def backup_etcd(store: EtcdStore, path: Path) -> None:
    """Write a copy as of one revision of etcd while the store is in use.  Raises StoreError, OSError."""
    partial_file = path.with_name(path.name + ".part")
    for suffix in ("", "-wal", "-shm"):
        with contextlib.suppress(FileNotFoundError):
            partial_file.with_name(partial_file.name + suffix).unlink()
    copy = SqliteStore(partial_file)
    try:
        copy_to_sqlite(copy.db, store)
        copy.db.execute("PRAGMA journal_mode = DELETE")
    finally:
        copy.close()
    verify(partial_file)
    with open(partial_file, "rb") as handle:
        os.fsync(handle.fileno())
    partial_file.replace(path)


def copy_to_sqlite(db: sqlite3.Connection, store: EtcdStore) -> None:
    """Fill an empty SQLite store with the state in etcd.  Raises StoreError."""
    keys = store.keys
    found = store.range(Range(keys.state))
    (state, _), at = decode_state(found), found.revision

    def read_all(*parts: str) -> list[Kv]:
        begin = keys.all(*parts)
        return store.read_range(begin, prefix_end(begin), at=at)[0]

    db.execute("BEGIN IMMEDIATE")
    db.execute("UPDATE state SET revision = ?, lineage = ?, forgot = ?",
               (state.revision, state.lineage, state.revision))  # fmt: skip
    for kv in read_all("history"):
        head = unpacked(kv.value, Head)
        texts = {name: text_at(store, head.uid, name, at) for name in (head.body, *head.texts)}
        body = texts.pop(head.body)
        db.execute("INSERT INTO history VALUES (?, ?, ?, ?, ?)",
                   (head.uid, head.revision, head.name, head.created, body))  # fmt: skip
        for name, data in texts.items():
            db.execute("INSERT OR IGNORE INTO blobs VALUES (?, ?)", (name, data))
            db.execute("INSERT OR IGNORE INTO uses VALUES (?, ?, ?)", (head.uid, head.revision, name))
    for kv in read_all("live", "tenants"):
        head = unpacked(kv.value, Head)
        db.execute("INSERT INTO tenants VALUES (?, ?, ?, ?, ?)",
                   (head.name, head.uid, head.revision, head.created,
                    text_at(store, head.uid, head.body, at)))  # fmt: skip
        for host in head.hosts:
            db.execute("INSERT INTO hosts VALUES (?, ?)", (host, head.uid))
    for kv in read_all("audit"):
        a = decode_audit(kv.value).audit
        row = a.revision, a.at, a.who, a.origin, a.action, a.uid, a.tenant, packed(a.changes)
        db.execute("INSERT INTO audit VALUES (?, ?, ?, ?, ?, ?, ?, ?)", row)
    for kv in read_all("admins"):
        admin = unpacked(kv.value, Admin)
        db.execute("INSERT INTO admins VALUES (?, ?, ?, ?)",
                   (admin.id, admin.name, admin.uid, packed(admin.kept)))  # fmt: skip
    db.execute("COMMIT")


def text_at(store: EtcdStore, uid: str, name: str, at: int) -> bytes:
    """Read a text as of etcd's revision `at`.  Raises StoreError."""
    key = store.keys.blob(uid, name)
    found, _ = store.read_range(key, prefix_end(key), at=at)
    if not found or found[0].key != key:
        raise StoreError("a text that a tenant refers to is missing: nothing was copied")
    return join_text(unpacked(found[0].value, TextHeader), [kv.value for kv in found[1:]], name)


def restore_etcd(backup: Path, store: EtcdStore) -> None:
    """Restore a backup to a prefix without a desired state.  Raises StoreError.

    The state's key is written last.  Without it no gateway follows the state, so an interrupted restore can
    be repeated.
    """
    verify(backup)
    if store.range(Range(store.keys.state)).kvs:
        raise StoreError(
            f"a desired state is at {store.keys.prefix} already: set another etcd.prefix, or delete its keys"
        )
    # Delete what an interrupted restore left.  Other keys below the prefix are not ivymux's, and stay.
    own_prefixes = [store.keys.all(part) for part in PARTS]
    store.transact(Txn((), tuple(Delete(key, prefix_end(key)) for key in own_prefixes)))
    with tempfile.TemporaryDirectory() as folder:
        scratch_file = Path(folder) / "copy.db"  # opening a store may write to its file
        scratch_file.write_bytes(backup.read_bytes())
        copy = SqliteStore(scratch_file)
        try:
            state = copy_to_etcd(copy.db, store)
        finally:
            copy.close()
    guard = Compare(store.keys.state, "CREATE", "EQUAL", 0)
    if not store.transact(Txn((guard,), (Put(store.keys.state, packed(state)),))).succeeded:
        raise StoreError("another restore has completed meanwhile: this one has no effect")


def copy_to_etcd(db: sqlite3.Connection, store: EtcdStore) -> State:
    """Write everything but the state's key to etcd, and return the state to write.  Raises StoreError."""
    keys, pending = store.keys, list[Range | Put | Delete]()
    written_texts: set[tuple[str, str]] = set()

    def put(*ops: Range | Put | Delete) -> None:
        pending.extend(ops)
        if len(pending) >= MAX_OPERATIONS // 4:
            store.transact(Txn((), tuple(pending)))
            pending.clear()

    def put_document(name: str, uid: str, revision: int, created: float, body: bytes) -> Head:
        head, data = head_of(name, uid, revision, created, msgspec.msgpack.decode(body, type=Tenant))
        for text in (head.body, *head.texts):
            if (uid, text) in written_texts:
                continue
            written_texts.add((uid, text))
            rows = db.execute("SELECT data FROM blobs WHERE digest = ?", (text,)).fetchall()
            header, rest = split_text(data if text == head.body else bytes(rows[0][0]))
            for index, piece in enumerate(rest, 1):
                store.put(Put(keys.piece(uid, text, index), piece))
            store.put(Put(keys.blob(uid, text), packed(header)))
        return head

    for row in db.execute("SELECT name, uid, revision, created, body FROM history").fetchall():
        put(Put(keys.history(row[1], row[2]), packed(put_document(*row))))
    for row in db.execute("SELECT name, uid, revision, created, body FROM tenants").fetchall():
        head = put_document(*row)
        put(Put(keys.tenant(head.name), packed(head)))
        for host in head.hosts:
            put(Put(keys.host(host), head.uid.encode()))
    columns = "revision, at, who, origin, action, uid, tenant, changes"
    rows = db.execute(f"SELECT {columns} FROM audit").fetchall()
    for revision, at, who, origin, action, uid, tenant, changes in rows:
        audit = AuditRecord(revision, at, who, origin, action, uid, tenant, msgspec.msgpack.decode(changes))
        put(Put(keys.audit(revision), encode_audit("", audit)), Put(keys.audit_of(uid, revision), b""))
    for key_id, name, uid, kept in db.execute("SELECT id, name, uid, kept FROM admins").fetchall():
        found = {"id": key_id, "name": name, "uid": uid, "kept": msgspec.msgpack.decode(kept)}
        put(*admin_puts(keys, [msgspec.convert(found, Admin)]))
    if pending:
        store.transact(Txn((), tuple(pending)))
    (revision, lineage) = db.execute("SELECT revision, lineage FROM state").fetchone()
    return State(max(revision + REVISION_GAP, int(time.time())), lineage)
