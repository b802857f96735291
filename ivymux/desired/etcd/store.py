"""The desired state in etcd, as the administration API uses it."""

from __future__ import annotations

import contextlib
import random
import secrets
import threading
import time
from collections.abc import Iterator, Sequence
from itertools import islice

import msgspec

from ivymux.desired.etcd import plan
from ivymux.desired.etcd.client import Access, Client
from ivymux.desired.etcd.keys import (
    GatewayStatus,
    Head,
    Keys,
    State,
    TextHeader,
    decode_audit,
    join_text,
    prefix_end,
    split_text,
    unpacked,
)
from ivymux.desired.etcd.wire import (
    Kv,
    OutcomeUnknown,
    Put,
    Range,
    RangeResult,
    Txn,
    TxnResult,
    decode_range,
    decode_txn,
    number,
    put_json,
    range_json,
    txn_json,
)
from ivymux.desired.model import (
    Admin,
    AuditRecord,
    Change,
    GatewayReport,
    RevisionConflict,
    StoreBusy,
    StoreDamaged,
    StoredAnswer,
    StoredTenant,
    StoreError,
)
from ivymux.tenants.model import Tenant

PAGE_SIZE = 500  # keys per range request
MAX_ATTEMPTS = 40  # at one commit, while concurrent commits come first
REPEAT_RETENTION_S = 86_400  # how long the answer to a creation is kept
INITIAL_BACKOFF_S = 0.004  # doubled per attempt up to MAX_BACKOFF_S; a random part of it is waited
MAX_BACKOFF_S = 0.25


class EtcdStore:
    """A store in etcd that processes on several machines may share."""

    poll_interval_s = 0.1

    def __init__(self, access: Access, prefix: str = "/ivymux/") -> None:
        self.keys, self.client = Keys(prefix), Client(access)
        self.random = random.Random()
        self.newest = 0  # the newest known revision
        self.lock = threading.Lock()  # serialises this process's commits, so that they don't conflict

    def close(self) -> None:
        self.client.close()

    # --- calls -----------------------------------------------------------------------------------------

    def range(self, op: Range) -> RangeResult:
        return decode_range(self.client.read("/v3/kv/range", range_json(op)))

    def read_key(self, key: bytes) -> Kv | None:
        return next(iter(self.range(Range(key)).kvs), None)

    def read_range(
        self, key: bytes, end: bytes, keys_only: bool = False, at: int = 0
    ) -> tuple[list[Kv], int]:
        """Read a whole range, page by page, as of revision `at` of etcd, or of the current one if it is 0.

        Returns the keys and that revision.
        """
        found: list[Kv] = []
        while True:
            part = self.range(Range(key, end, PAGE_SIZE, keys_only=keys_only, revision=at))
            at = at or part.revision
            found += part.kvs
            if not part.more or not part.kvs:
                return found, at
            key = part.kvs[-1].key + b"\0"

    def read_together(self, ops: Sequence[Range]) -> TxnResult:
        """Read several ranges as of one revision of etcd."""
        return decode_txn(self.client.read("/v3/kv/txn", txn_json(Txn((), tuple(ops)))))

    def transact(self, txn: Txn) -> TxnResult:
        """Carry out a transaction, without retries.  Raises OutcomeUnknown if its answer is lost."""
        return decode_txn(self.client.call("/v3/kv/txn", txn_json(txn)))

    def grant_lease(self, seconds: int) -> int:
        """Create a lease and return its id."""
        return number(self.client.read("/v3/lease/grant", {"TTL": str(seconds)}).get("ID"))

    # --- reads -----------------------------------------------------------------------------------------

    def state(self) -> State:
        return plan.decode_state(self.range(Range(self.keys.state)))[0]

    def lineage(self) -> str:
        return self.state().lineage

    def revision(self) -> int:
        return self.state().revision

    def blob(self, name: str, uid: str) -> bytes | None:
        key = self.keys.blob(uid, name)
        found, _ = self.read_range(key, prefix_end(key))
        if not found or found[0].key != key:
            return None
        return join_text(unpacked(found[0].value, TextHeader), [kv.value for kv in found[1:]], name)

    def read_tenant(self, head: Head) -> StoredTenant | None:
        """Read the tenant of a head; None if it was deleted meanwhile."""
        body = self.blob(head.body, head.uid)
        if body is None:
            return None
        return StoredTenant(head.name, head.uid, head.revision, head.created, unpacked(body, Tenant))

    def get(self, name: str) -> StoredTenant | None:
        if not name or "/" in name:
            return None
        for _ in range(MAX_ATTEMPTS):
            kv = self.read_key(self.keys.tenant(name))
            if kv is None:
                return None
            if (stored := self.read_tenant(unpacked(kv.value, Head))) is not None:
                return stored
            if self.read_key(self.keys.tenant(name)) == kv:
                raise StoreDamaged("a tenant's document is not in etcd; restore a backup")
        raise StoreBusy("the tenant changes all the time: try again")

    def page(self, after_name: str, limit: int) -> list[StoredTenant]:
        begin = self.keys.tenant(after_name) + b"\0" if after_name else self.keys.tenants
        found = self.range(Range(begin, prefix_end(self.keys.tenants), limit))
        heads = [unpacked(kv.value, Head) for kv in found.kvs]
        return [stored for head in heads if (stored := self.read_tenant(head)) is not None]

    def answer_of_repeat(self, key: str) -> StoredAnswer | None:
        index = self.read_key(self.keys.repeat_id(key))
        found = self.read_key(self.keys.repeat(index.value.decode(), key)) if index is not None else None
        if found is None:
            return None
        answer = unpacked(found.value, plan.RepeatAnswer)
        return StoredAnswer(answer.fingerprint, answer.status, answer.body, answer.etag)

    def admin(self, key_id: str) -> Admin | None:
        index = self.read_key(self.keys.admin_id(key_id))
        if index is None:
            return None
        kv = self.read_key(self.keys.admin(index.value.decode().removeprefix("-"), key_id))
        return unpacked(kv.value, Admin) if kv is not None else None

    def admins(self, uid: str) -> list[Admin]:
        begin = self.keys.all("admins", uid or "-")
        return [unpacked(kv.value, Admin) for kv in self.read_range(begin, prefix_end(begin))[0]]

    def audit(self, uid: str, before: int, limit: int) -> list[AuditRecord]:
        if not uid:
            found = self.range(Range(self.keys.audit(0), self.keys.audit(before), limit, descending=True))
            return [decode_audit(kv.value).audit for kv in found.kvs]
        begin, end = self.keys.audit_of(uid, 0), self.keys.audit_of(uid, before)
        listed = self.range(Range(begin, end, limit, descending=True, keys_only=True)).kvs
        revisions = iter([int(plan.last_segment(kv.key)) for kv in listed])
        records: list[AuditRecord] = []
        while part := list(islice(revisions, 50)):
            answer = self.read_together([Range(self.keys.audit(n)) for n in part])
            records += [decode_audit(kv.value).audit for found in answer.ranges for kv in found.kvs]
        return records

    def history(self, uid: str, limit: int) -> list[StoredTenant]:
        begin = self.keys.all("history", uid)
        found = self.range(Range(begin, prefix_end(begin), limit, descending=True)).kvs
        heads = [unpacked(kv.value, Head) for kv in found]
        return [stored for head in heads if (stored := self.read_tenant(head)) is not None]

    def reports(self) -> list[GatewayReport]:
        """The reports of live gateways; etcd deletes a report when its lease expires, by etcd's clock."""
        begin = self.keys.all("doors")
        found: dict[bytes, dict[str, Kv]] = {}
        for kv in self.read_range(begin, prefix_end(begin))[0]:
            door, _, part = kv.key.rpartition(b"/")
            found.setdefault(door, {})[part.decode()] = kv
        reports = []
        for parts in found.values():
            if "serves" not in parts or "name" not in parts:
                continue
            serves = unpacked(parts["serves"].value, GatewayStatus)
            usage = unpacked(parts["usage"].value, dict[str, dict[str, float]]) if "usage" in parts else {}
            name = parts["name"].value.decode()
            reports.append(GatewayReport(name, serves.revision, time.time(), usage, serves.problems))
        return sorted(reports, key=lambda report: report.door)

    # --- changes ---------------------------------------------------------------------------------------

    def put_texts(self, change: Change) -> None:
        """Store the document and texts of the changed tenant that etcd lacks.  Raises StoreError."""
        document = plan.encode_document(change)
        if document is None:
            return
        head, body = document
        texts = {**change.blobs, head.body: body}
        names = [head.body, *head.texts]
        found = self.read_together(
            [Range(self.keys.blob(change.uid, name), keys_only=True) for name in names]
        )
        for name, existing in zip(names, found.ranges, strict=True):
            if existing.kvs:
                continue
            if name not in texts:
                raise StoreError("a text that the tenant names is not there")
            header, rest = split_text(texts[name])
            for index, piece in enumerate(rest, 1):
                self.put(Put(self.keys.piece(change.uid, name, index), piece))
            # The header is written last: if it exists, the text is complete.
            self.put(Put(self.keys.blob(change.uid, name), msgspec.msgpack.encode(header)))

    def put(self, op: Put) -> None:
        """Store a key; only for puts that are idempotent, as they may be retried."""
        self.client.read("/v3/kv/put", put_json(op))

    def commit(self, change: Change) -> int:
        with self.lock:
            return self.commit_with_retries(change)

    def commit_with_retries(self, change: Change) -> int:
        """Commit a change, again from the current state whenever a concurrent commit came first.

        An attempt whose answer was lost is recognized by its token in the audit record, so that a change is
        never made twice.
        """
        token = secrets.token_hex(8)
        lease = self.grant_lease(REPEAT_RETENTION_S) if change.repeat is not None else 0
        unknown: set[int] = set()  # revisions of attempts without an answer
        for attempt in range(MAX_ATTEMPTS):
            found = self.read_together(plan.ranges_to_read(self.keys, change, self.newest))
            snapshot = plan.decode_snapshot(change, found.ranges)
            last = self.newest = snapshot.state.revision
            # An attempt without an answer may have been carried out, even after the call timed out.
            for revision in [r for r in unknown if r <= last]:
                if self.has_token(revision, token):
                    return revision
                unknown.discard(revision)
            try:
                plan.check_preconditions(change, snapshot)
            except RevisionConflict:
                raise RevisionConflict(self.get(change.name)) from None
            self.put_texts(change)
            revision, txn = plan.build_commit(self.keys, change, snapshot, token, lease)
            try:
                if self.transact(txn).succeeded:
                    self.newest = revision
                    if change.tenant is not None and len(snapshot.history) >= plan.MAX_HISTORY:
                        self.delete_unused_texts(change.uid)
                    return revision
            except OutcomeUnknown:
                unknown.add(revision)
            time.sleep(self.random.random() * min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempt, 10)))
        if unknown:
            raise StoreBusy("etcd did not tell whether the change was made: look before it is repeated")
        raise StoreBusy("many change the desired state at once: try again")

    def has_token(self, revision: int, token: str) -> bool:
        """Whether a revision was created by the commit with this token."""
        kv = self.read_key(self.keys.audit(revision))
        return kv is not None and decode_audit(kv.value).token == token

    def delete_unused_texts(self, uid: str) -> None:
        """Delete a tenant's texts that no stored revision refers to.

        Errors are ignored, since the next call deletes the texts that a failed call has left.
        """
        with contextlib.suppress(StoreError):
            begin, blobs = self.keys.all("history", uid), self.keys.all("blobs", uid)
            state = self.range(Range(self.keys.state))
            _, mod = plan.decode_state(state)
            history, _ = self.read_range(begin, prefix_end(begin), at=state.revision)
            stored, _ = self.read_range(blobs, prefix_end(blobs), keys_only=True, at=state.revision)
            listed = [
                (plan.last_segment(kv.key), kv.create) for kv in stored if kv.key.count(b"/", len(blobs)) == 0
            ]
            heads = [unpacked(kv.value, Head) for kv in history]
            if (txn := plan.build_text_deletion(self.keys, uid, mod, heads, listed)) is not None:
                self.transact(txn)

    def add_operator(self, admin: Admin, at: float) -> None:
        for attempt in range(MAX_ATTEMPTS):
            found = self.range(Range(self.keys.state))
            state, mod = plan.decode_state(found) if found.kvs else (None, 0)
            txn = plan.build_operator_commit(self.keys, admin, at, state, mod, secrets.token_hex(16))
            try:
                if self.transact(txn).succeeded:
                    return
            except OutcomeUnknown:
                if self.admin(admin.id) == admin:
                    return
            time.sleep(self.random.random() * min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempt, 10)))
        raise StoreBusy("many change the desired state at once: try again")

    # --- backup ----------------------------------------------------------------------------------------

    def heads(self, at: int) -> Iterator[Head]:
        """Yield the heads of all stored revisions as of etcd's revision `at`."""
        begin = self.keys.all("history")
        for kv in self.read_range(begin, prefix_end(begin), at=at)[0]:
            yield unpacked(kv.value, Head)
