"""The desired state in SQLite: WAL mode, one transaction per change, versioned migrations, backups."""

from __future__ import annotations

import contextlib
import os
import secrets
import sqlite3
import threading
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ivymux.desired.model import (
    Admin,
    AuditRecord,
    Change,
    DeletedTenant,
    GatewayReport,
    HostTaken,
    RevisionConflict,
    StoreBusy,
    StoreDamaged,
    StoredAnswer,
    StoredTenant,
    StoreError,
    StoreFull,
)
from ivymux.tenants.model import Tenant, text_digests

MAX_HISTORY = 50  # revisions kept per tenant
MAX_AUDIT = 100_000  # audit records
MAX_GONE = 10_000  # deletions of tenants that a gateway can catch up on without a full read
MAX_REPEATS = 10_000  # stored answers to creations
REPEAT_RETENTION_S = 86_400.0  # how long the answer to a creation is kept
REPORT_RETENTION_S = 3600.0  # how long the last report of a silent gateway is kept
BUSY_TIMEOUT_S = 2.0  # how long to wait for another process's lock
COLUMNS = "name, uid, revision, created, body"

MIGRATIONS: Sequence[str] = (
    """
    CREATE TABLE state (one INTEGER PRIMARY KEY CHECK (one = 1), revision INTEGER, lineage TEXT,
                        forgot INTEGER);
    CREATE TABLE tenants (name TEXT PRIMARY KEY, uid TEXT UNIQUE, revision INTEGER, created REAL, body BLOB);
    CREATE INDEX tenants_revision ON tenants (revision);
    CREATE TABLE hosts (host TEXT PRIMARY KEY, uid TEXT);
    CREATE TABLE gone (revision INTEGER PRIMARY KEY, name TEXT, uid TEXT);
    CREATE TABLE history (uid TEXT, revision INTEGER, name TEXT, created REAL, body BLOB,
                          PRIMARY KEY (uid, revision));
    CREATE TABLE audit (revision INTEGER PRIMARY KEY, at REAL, who TEXT, origin TEXT, action TEXT, uid TEXT,
                        tenant TEXT, changes BLOB);
    CREATE INDEX audit_uid ON audit (uid, revision);
    CREATE TABLE blobs (digest TEXT PRIMARY KEY, data BLOB);
    CREATE TABLE uses (uid TEXT, revision INTEGER, digest TEXT, PRIMARY KEY (uid, revision, digest));
    CREATE INDEX uses_digest ON uses (digest);
    CREATE TABLE admins (id TEXT PRIMARY KEY, name TEXT, uid TEXT, kept BLOB);
    CREATE INDEX admins_uid ON admins (uid);
    CREATE TABLE repeats (key TEXT PRIMARY KEY, at REAL, uid TEXT, answer BLOB);
    CREATE TABLE doors (door TEXT PRIMARY KEY, at REAL, report BLOB);
    """,
)  # fmt: skip


def packed(value: object) -> bytes:
    """Encode a value as MessagePack."""
    return msgspec.msgpack.encode(value)


@contextlib.contextmanager
def translated_errors() -> Iterator[None]:
    """Raise errors of SQLite and of decoding as StoreErrors."""
    try:
        yield
    except sqlite3.OperationalError as error:
        text = str(error)
        if "full" in text:
            raise StoreFull("the store's disk is full; make room") from None
        if "locked" in text or "busy" in text:
            raise StoreBusy("the store is locked by another process") from None
        if "malformed" in text or "not a database" in text:
            raise StoreDamaged("the store is damaged; restore a backup") from None
        raise StoreError(f"the store can't be used: {text}") from None
    except sqlite3.DatabaseError as error:
        raise StoreDamaged(f"the store is damaged; restore a backup ({error})") from None
    except msgspec.MsgspecError:
        raise StoreDamaged("the store contains data that this version can't read; restore a backup") from None


class SqliteStore:
    """A store in one file and its write-ahead log; several processes on one machine may share it."""

    poll_interval_s = 0.02

    def __init__(self, path: Path, busy_timeout_s: float = BUSY_TIMEOUT_S) -> None:
        """Open the store, or create it.  Raises StoreError."""
        self.path, self.busy_timeout_s = path, busy_timeout_s
        self.wal_path = f"{path}-wal"
        self.lock = threading.Lock()
        with translated_errors():
            self.db = self.connect(path)
            self.migrate()

    def connect(self, path: Path) -> sqlite3.Connection:
        """Open the file; a new one is readable only by its owner, since it contains hashes of keys."""
        is_new = not path.exists()
        db = sqlite3.connect(path, timeout=self.busy_timeout_s, isolation_level=None, check_same_thread=False)
        if is_new:
            os.chmod(path, 0o600)
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")  # answered commits survive a power failure
        db.execute("PRAGMA foreign_keys = ON")
        return db

    def close(self) -> None:
        self.db.close()

    def migrate(self) -> None:
        """Bring the schema to this program's version.  Raises StoreDamaged if it has a later version."""
        with self.transaction() as db:
            (version,) = db.execute("PRAGMA user_version").fetchone()
            if version > len(MIGRATIONS):
                raise StoreDamaged(f"the store is of a later version ({version}): use a newer ivymux")
            for step in MIGRATIONS[version:]:
                for statement in step.split(";"):
                    if statement.strip():
                        db.execute(statement)
            db.execute(f"PRAGMA user_version = {len(MIGRATIONS)}")
            if version == 0:
                db.execute("INSERT INTO state VALUES (1, 0, ?, 0)", (secrets.token_hex(16),))

    @contextlib.contextmanager
    def transaction(self) -> Iterator[sqlite3.Connection]:
        """Run a write transaction; it is rolled back on any exception."""
        with self.lock, translated_errors():
            self.db.execute("BEGIN IMMEDIATE")
            try:
                yield self.db
                self.db.execute("COMMIT")
            except BaseException:
                with contextlib.suppress(sqlite3.Error):
                    self.db.execute("ROLLBACK")
                raise

    def rows(self, statement: str, *values: object) -> list[Any]:
        """Return all rows of a query.  Raises StoreError."""
        with self.lock, translated_errors():
            return self.db.execute(statement, values).fetchall()

    # --- reads ---------------------------------------------------------------------------------------

    def lineage(self) -> str:
        return str(self.rows("SELECT lineage FROM state")[0][0])

    def change_hint(self) -> object:
        """Return size, time and inode of the write-ahead log, which each commit changes; None without one."""
        try:
            status = os.stat(self.wal_path)
        except OSError:
            return None
        return status.st_size, status.st_mtime_ns, status.st_ino

    def revision(self) -> int:
        return int(self.rows("SELECT revision FROM state")[0][0])

    def decode_tenants(self, rows: list[Any]) -> list[StoredTenant]:
        """Decode rows that have the columns COLUMNS."""
        with translated_errors():
            return [
                StoredTenant(name, uid, revision, created, msgspec.msgpack.decode(body, type=Tenant))
                for name, uid, revision, created, body in rows
            ]

    def get(self, name: str) -> StoredTenant | None:
        rows = self.rows(f"SELECT {COLUMNS} FROM tenants WHERE name = ?", name)
        return next(iter(self.decode_tenants(rows)), None)

    def page(self, after: str, limit: int) -> list[StoredTenant]:
        return self.decode_tenants(self.rows(
            f"SELECT {COLUMNS} FROM tenants WHERE name > ? ORDER BY name LIMIT ?",
            after, limit,
        ))  # fmt: skip

    def changes_since(self, revision: int) -> tuple[int, list[StoredTenant], list[DeletedTenant] | None]:
        with self.lock, translated_errors():
            self.db.execute("BEGIN")  # all reads see one snapshot
            try:
                current, forgotten = self.db.execute("SELECT revision, forgot FROM state").fetchone()
                is_full = revision < forgotten
                rows = self.db.execute(
                    f"SELECT {COLUMNS} FROM tenants WHERE revision > ? ORDER BY revision",
                    (-1 if is_full else revision,),
                ).fetchall()  # fmt: skip
                deleted = self.db.execute(
                    "SELECT name, uid, revision FROM gone WHERE revision > ? ORDER BY revision", (revision,)
                ).fetchall()
            finally:
                self.db.execute("ROLLBACK")
        return (
            int(current),
            self.decode_tenants(rows),
            None if is_full else [DeletedTenant(*row) for row in deleted],
        )

    def blob(self, name: str, uid: str) -> bytes | None:
        rows = self.rows("SELECT data FROM blobs WHERE digest = ?", name)
        return bytes(rows[0][0]) if rows else None

    def answer_of_repeat(self, key: str) -> StoredAnswer | None:
        rows = self.rows("SELECT answer FROM repeats WHERE key = ?", key)
        with translated_errors():
            return msgspec.msgpack.decode(rows[0][0], type=StoredAnswer) if rows else None

    def admin(self, key_id: str) -> Admin | None:
        return next(iter(self.read_admins("id", key_id)), None)

    def admins(self, uid: str) -> list[Admin]:
        return self.read_admins("uid", uid)

    def read_admins(self, column: str, value: str) -> list[Admin]:
        rows = self.rows(f"SELECT id, name, uid, kept FROM admins WHERE {column} = ? ORDER BY id", value)
        with translated_errors():
            return [msgspec.convert({"id": a, "name": b, "uid": c, "kept": msgspec.msgpack.decode(d)}, Admin)
                    for a, b, c, d in rows]  # fmt: skip

    def audit(self, uid: str, before: int, limit: int) -> list[AuditRecord]:
        rows = self.rows(
            "SELECT revision, at, who, origin, action, uid, tenant, changes FROM audit"
            " WHERE (? = '' OR uid = ?) AND revision < ? ORDER BY revision DESC LIMIT ?",
            uid, uid, before, limit,
        )  # fmt: skip
        with translated_errors():
            return [
                AuditRecord(a, b, c, d, e, f, g, msgspec.msgpack.decode(h)) for a, b, c, d, e, f, g, h in rows
            ]

    def history(self, uid: str, limit: int) -> list[StoredTenant]:
        return self.decode_tenants(self.rows(
            f"SELECT {COLUMNS} FROM history WHERE uid = ? ORDER BY revision DESC LIMIT ?",
            uid, limit,
        ))  # fmt: skip

    # --- changes -------------------------------------------------------------------------------------

    def commit(self, change: Change) -> int:
        with self.transaction() as db:
            row = db.execute(f"SELECT {COLUMNS} FROM tenants WHERE name = ?", (change.name,)).fetchone()
            if (row[2] if row else 0) != change.expected or (row and row[1] != change.uid):
                raise RevisionConflict(self.decode_tenants([row])[0] if row else None)
            (revision,) = db.execute(
                "UPDATE state SET revision = revision + 1 RETURNING revision"
            ).fetchone()  # fmt: skip
            db.execute(
                "INSERT INTO audit VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (revision, change.at, change.who, change.origin, change.action, change.uid, change.name,
                 packed(change.changes)),
            )  # fmt: skip
            if change.tenant is None:
                self.delete_tenant(db, change, revision)
            else:
                self.put_tenant(db, change, change.tenant, revision, row[3] if row else change.at)
            for admin in change.add_admins:
                db.execute("INSERT OR REPLACE INTO admins VALUES (?, ?, ?, ?)",
                           (admin.id, admin.name, admin.uid, packed(admin.kept)))  # fmt: skip
            for key_id in change.drop_admins:
                db.execute("DELETE FROM admins WHERE id = ? AND uid = ?", (key_id, change.uid))
            if change.repeat is not None:
                key, answer = change.repeat
                db.execute("INSERT OR REPLACE INTO repeats VALUES (?, ?, ?, ?)",
                           (key, change.at, change.uid, packed(answer)))  # fmt: skip
            self.trim(db, change.at, revision)
        return int(revision)

    def put_tenant(
        self, db: sqlite3.Connection, change: Change, tenant: Tenant, revision: int, created: float
    ) -> None:
        """Store a tenant's new state with its history and texts.  Raises HostTaken."""
        body = packed(tenant)
        db.execute("DELETE FROM hosts WHERE uid = ?", (change.uid,))
        for host in tenant.hosts:
            owner = db.execute("SELECT uid FROM hosts WHERE host = ?", (host,)).fetchone()
            if owner is not None:
                raise HostTaken(host)
            db.execute("INSERT INTO hosts VALUES (?, ?)", (host, change.uid))
        db.execute("INSERT OR REPLACE INTO tenants VALUES (?, ?, ?, ?, ?)",
                   (change.name, change.uid, revision, created, body))  # fmt: skip
        db.execute("INSERT INTO history VALUES (?, ?, ?, ?, ?)",
                   (change.uid, revision, change.name, created, body))  # fmt: skip
        for name, data in change.blobs.items():
            db.execute("INSERT OR IGNORE INTO blobs VALUES (?, ?)", (name, data))
        for name in text_digests(tenant):
            if not db.execute("SELECT 1 FROM blobs WHERE digest = ?", (name,)).fetchone():
                raise StoreError("a text that the tenant names is not there")
            db.execute("INSERT OR IGNORE INTO uses VALUES (?, ?, ?)", (change.uid, revision, name))
        expired = db.execute(
            "SELECT revision FROM history WHERE uid = ? ORDER BY revision DESC LIMIT -1 OFFSET ?",
            (change.uid, MAX_HISTORY),
        ).fetchall()  # fmt: skip
        for (number,) in expired:
            db.execute("DELETE FROM history WHERE uid = ? AND revision = ?", (change.uid, number))
            db.execute("DELETE FROM uses WHERE uid = ? AND revision = ?", (change.uid, number))
        if expired:
            self.delete_unused_blobs(db)

    def delete_tenant(self, db: sqlite3.Connection, change: Change, revision: int) -> None:
        """Delete all data of a tenant except its audit records, and record the deletion."""
        db.execute("INSERT INTO gone VALUES (?, ?, ?)", (revision, change.name, change.uid))
        for table in ("tenants", "hosts", "history", "uses", "admins", "repeats"):
            db.execute(f"DELETE FROM {table} WHERE uid = ?", (change.uid,))
        self.delete_unused_blobs(db)

    def delete_unused_blobs(self, db: sqlite3.Connection) -> None:
        db.execute("DELETE FROM blobs WHERE digest NOT IN (SELECT digest FROM uses)")

    def trim(self, db: sqlite3.Connection, at: float, revision: int) -> None:
        """Delete the oldest entries of the tables that grow with each change."""
        db.execute("DELETE FROM audit WHERE revision <= ?", (revision - MAX_AUDIT,))
        (count, oldest) = db.execute("SELECT count(*), min(revision) FROM gone").fetchone()
        if count > MAX_GONE:
            db.execute("DELETE FROM gone WHERE revision = ?", (oldest,))
            db.execute("UPDATE state SET forgot = ?", (oldest,))
        db.execute("DELETE FROM repeats WHERE at < ?", (at - REPEAT_RETENTION_S,))
        surplus = "SELECT key FROM repeats ORDER BY at DESC LIMIT -1 OFFSET ?"
        db.execute(f"DELETE FROM repeats WHERE key IN ({surplus})", (MAX_REPEATS,))

    def add_operator(self, admin: Admin, at: float) -> None:
        """Store an operator's key, which the command line created."""
        with self.transaction() as db:
            (revision,) = db.execute("UPDATE state SET revision = revision + 1 RETURNING revision").fetchone()
            db.execute(
                "INSERT INTO audit VALUES (?, ?, 'command line', '', 'appoint', '', '', ?)",
                (revision, at, packed([{"path": f"/operators/{admin.id}", "after": admin.name}])),
            )  # fmt: skip
            db.execute("INSERT INTO admins VALUES (?, ?, ?, ?)",
                       (admin.id, admin.name, admin.uid, packed(admin.kept)))  # fmt: skip

    # --- reports of gateways -------------------------------------------------------------------------

    def report(self, report: GatewayReport) -> None:
        with self.transaction() as db:
            db.execute(
                "INSERT OR REPLACE INTO doors VALUES (?, ?, ?)", (report.door, report.at, packed(report))
            )
            db.execute("DELETE FROM doors WHERE at < ?", (report.at - REPORT_RETENTION_S,))

    def reports(self) -> list[GatewayReport]:
        rows = self.rows("SELECT report FROM doors ORDER BY door")
        with translated_errors():
            return [msgspec.msgpack.decode(row[0], type=GatewayReport) for row in rows]

    # --- backup --------------------------------------------------------------------------------------

    def backup(self, path: Path) -> None:
        """Write a consistent copy while the store is in use.  Raises StoreError, OSError."""
        partial_file = path.with_name(path.name + ".part")
        with contextlib.suppress(FileNotFoundError):
            partial_file.unlink()
        with translated_errors():
            source = sqlite3.connect(f"file:{self.path}?mode=ro", uri=True, timeout=self.busy_timeout_s)
            target = sqlite3.connect(partial_file)
            try:
                source.backup(target, pages=256)
                target.execute("PRAGMA journal_mode = DELETE")
            finally:
                target.close()
                source.close()
        verify(partial_file)
        with open(partial_file, "rb") as handle:
            os.fsync(handle.fileno())
        os.chmod(partial_file, 0o600)
        partial_file.replace(path)


def verify(path: Path) -> None:
    """Check that a file is an intact store.  Raises StoreDamaged."""
    with translated_errors():
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        try:
            (verdict,) = db.execute("PRAGMA integrity_check").fetchone()
            (version,) = db.execute("PRAGMA user_version").fetchone()
            db.execute("SELECT revision, lineage FROM state").fetchone()
        finally:
            db.close()
    if verdict != "ok" or not 1 <= version <= len(MIGRATIONS):
        raise StoreDamaged(f"{path} is not an intact store: {verdict}")


def restore(backup: Path, path: Path) -> None:
    """Replace a store with a backup; no process may have the store open.  Raises StoreError, OSError."""
    verify(backup)
    partial_file = path.with_name(path.name + ".part")
    partial_file.write_bytes(backup.read_bytes())
    with open(partial_file, "rb") as handle:
        os.fsync(handle.fileno())
    for suffix in ("-wal", "-shm"):
        with contextlib.suppress(FileNotFoundError):
            path.with_name(path.name + suffix).unlink()
    partial_file.replace(path)
    os.chmod(path, 0o600)
    # Gateways may have seen later revisions than the backup's, so the numbers continue above all that were
    # ever assigned.  `forgot` makes gateways read the whole state.
    store = SqliteStore(path)
    try:
        with store.transaction() as db:
            db.execute("UPDATE state SET revision = max(revision + 1000000, ?), forgot = revision + 1000000",
                       (int(time.time()),))  # fmt: skip
            db.execute("UPDATE state SET forgot = revision")
    finally:
        store.close()
