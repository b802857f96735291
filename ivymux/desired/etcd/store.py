"""The desired state in etcd, for the administration API."""

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
    Put,
    Range,
    Ranged,
    Transacted,
    Txn,
    Unknown,
    number,
    put_json,
    range_json,
    read_range,
    read_txn,
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

PAGE = 500  # keys that one reading brings
TRIES = 40  # times that a commit is worked out anew because others were first
REPEAT_LIFE = 86_400  # seconds that a creation's answer is remembered
BACK_OFF = 0.004  # seconds to begin with, doubled to a bound, of which a random part is waited


class EtcdStore:
    """Any number of processes on any number of machines may use it."""

    poll_interval_s = 0.1

    def __init__(self, access: Access, prefix: str = "/ivymux/") -> None:
        self.keys, self.client = Keys(prefix), Client(access)
        self.random = random.Random()
        self.newest = 0  # revision that was seen
        self.lock = threading.Lock()  # commits of one process need not lose to each other

    def close(self) -> None:
        self.client.close()

    # --- calls -----------------------------------------------------------------------------------------

    def range(self, op: Range) -> Ranged:
        return read_range(self.client.read("/v3/kv/range", range_json(op)))

    def one(self, key: bytes) -> Kv | None:
        return next(iter(self.range(Range(key)).kvs), None)

    def every(self, key: bytes, end: bytes, keys_only: bool = False, at: int = 0) -> tuple[list[Kv], int]:
        """All of a range as of one revision of etcd, which is given too."""
        found: list[Kv] = []
        while True:
            part = self.range(Range(key, end, PAGE, keys_only=keys_only, revision=at))
            at = at or part.revision
            found += part.kvs
            if not part.more or not part.kvs:
                return found, at
            key = part.kvs[-1].key + b"\0"

    def look_up(self, ops: Sequence[Range]) -> Transacted:
        """Several readings as of one revision."""
        return read_txn(self.client.read("/v3/kv/txn", txn_json(Txn((), tuple(ops)))))

    def transact(self, txn: Txn) -> Transacted:
        return read_txn(self.client.call("/v3/kv/txn", txn_json(txn)))

    def lease(self, seconds: int) -> int:
        return number(self.client.read("/v3/lease/grant", {"TTL": str(seconds)}).get("ID"))

    # --- reading ---------------------------------------------------------------------------------------

    def state(self) -> State:
        return plan.read_state(self.range(Range(self.keys.state)))[0]

    def lineage(self) -> str:
        return self.state().lineage

    def revision(self) -> int:
        return self.state().revision

    def blob(self, name: str, uid: str) -> bytes | None:
        key = self.keys.blob(uid, name)
        found, _ = self.every(key, prefix_end(key))
        if not found or found[0].key != key:
            return None
        return join_text(unpacked(found[0].value, TextHeader), [kv.value for kv in found[1:]], name)

    def stored(self, head: Head) -> StoredTenant | None:
        """A tenant of its head; None where it went meanwhile."""
        body = self.blob(head.body, head.uid)
        if body is None:
            return None
        return StoredTenant(head.name, head.uid, head.revision, head.created, unpacked(body, Tenant))

    def get(self, name: str) -> StoredTenant | None:
        if not name or "/" in name:
            return None
        for _ in range(TRIES):
            kv = self.one(self.keys.tenant(name))
            if kv is None:
                return None
            if (stored := self.stored(unpacked(kv.value, Head))) is not None:
                return stored
            if self.one(self.keys.tenant(name)) == kv:
                raise StoreDamaged("a tenant's document is not in etcd; restore a backup")
        raise StoreBusy("the tenant changes all the time: try again")

    def page(self, after_name: str, limit: int) -> list[StoredTenant]:
        begin = self.keys.tenant(after_name) + b"\0" if after_name else self.keys.tenants
        found = self.range(Range(begin, prefix_end(self.keys.tenants), limit))
        heads = [unpacked(kv.value, Head) for kv in found.kvs]
        return [stored for head in heads if (stored := self.stored(head)) is not None]

    def answer_of_repeat(self, key: str) -> StoredAnswer | None:
        index = self.one(self.keys.repeat_id(key))
        found = self.one(self.keys.repeat(index.value.decode(), key)) if index is not None else None
        if found is None:
            return None
        kept = unpacked(found.value, plan.Remembered)
        return StoredAnswer(kept.fingerprint, kept.status, kept.body, kept.etag)

    def admin(self, number: str) -> Admin | None:
        index = self.one(self.keys.admin_id(number))
        if index is None:
            return None
        kv = self.one(self.keys.admin(index.value.decode().removeprefix("-"), number))
        return unpacked(kv.value, Admin) if kv is not None else None

    def admins(self, uid: str) -> list[Admin]:
        begin = self.keys.all("admins", uid or "-")
        return [unpacked(kv.value, Admin) for kv in self.every(begin, prefix_end(begin))[0]]

    def audit(self, uid: str, before: int, limit: int) -> list[AuditRecord]:
        if not uid:
            found = self.range(Range(self.keys.audit(0), self.keys.audit(before), limit, descending=True))
            return [decode_audit(kv.value).audit for kv in found.kvs]
        begin, end = self.keys.audit_of(uid, 0), self.keys.audit_of(uid, before)
        listed = self.range(Range(begin, end, limit, descending=True, keys_only=True)).kvs
        numbers = iter([int(plan.tail(kv.key)) for kv in listed])
        records: list[AuditRecord] = []
        while part := list(islice(numbers, 50)):
            answer = self.look_up([Range(self.keys.audit(n)) for n in part])
            records += [decode_audit(kv.value).audit for found in answer.ranges for kv in found.kvs]
        return records

    def history(self, uid: str, limit: int) -> list[StoredTenant]:
        begin = self.keys.all("history", uid)
        found = self.range(Range(begin, prefix_end(begin), limit, descending=True)).kvs
        heads = [unpacked(kv.value, Head) for kv in found]
        return [stored for head in heads if (stored := self.stored(head)) is not None]

    def reports(self) -> list[GatewayReport]:
        """Of front doors that are alive: what one told goes with its lease, by etcd's clock, not by ours."""
        begin = self.keys.all("doors")
        found: dict[bytes, dict[str, Kv]] = {}
        for kv in self.every(begin, prefix_end(begin))[0]:
            door, _, part = kv.key.rpartition(b"/")
            found.setdefault(door, {})[part.decode()] = kv
        made = []
        for parts in found.values():
            if "serves" not in parts or "name" not in parts:
                continue
            serves = unpacked(parts["serves"].value, GatewayStatus)
            usage = unpacked(parts["usage"].value, dict[str, dict[str, float]]) if "usage" in parts else {}
            name = parts["name"].value.decode()
            made.append(GatewayReport(name, serves.revision, time.time(), usage, serves.problems))
        return sorted(made, key=lambda r: r.door)

    # --- changing --------------------------------------------------------------------------------------

    def put_texts(self, change: Change) -> None:
        """Put what the change's tenant is made of, but what is there.  Raises StoreError."""
        made = plan.needed(change)
        if made is None:
            return
        head, body = made
        texts = {**change.blobs, head.body: body}
        names = [head.body, *head.texts]
        found = self.look_up([Range(self.keys.blob(change.uid, name), keys_only=True) for name in names])
        for name, there in zip(names, found.ranges, strict=True):
            if there.kvs:
                continue
            if name not in texts:
                raise StoreError("a text that the tenant names is not there")
            place, rest = split_text(texts[name])
            for turn, part in enumerate(rest, 1):
                self.put(Put(self.keys.piece(change.uid, name, turn), part))
            # The first key comes last: where it is, all are.
            self.put(Put(self.keys.blob(change.uid, name), msgspec.msgpack.encode(place)))

    def put(self, op: Put) -> None:
        """Put what is the same however often it is put."""
        self.client.read("/v3/kv/put", put_json(op))

    def commit(self, change: Change) -> int:
        with self.lock:
            return self.committed(change)

    def committed(self, change: Change) -> int:
        token = secrets.token_hex(8)
        lease = self.lease(REPEAT_LIFE) if change.repeat is not None else 0
        unknown: set[int] = set()  # revisions that may be this change's
        for turn in range(TRIES):
            seen = plan.read_seen(change, self.look_up(plan.reading(self.keys, change, self.newest)).ranges)
            last = self.newest = seen.state.revision
            # One that went out without an answer may have been made, also after it was given up on.
            for revision in [r for r in unknown if r <= last]:
                if self.is_mine(revision, token):
                    return revision
                unknown.discard(revision)
            try:
                plan.check(change, seen)
            except RevisionConflict:
                raise RevisionConflict(self.get(change.name)) from None
            self.put_texts(change)
            revision, txn = plan.commit(self.keys, change, seen, token, lease)
            try:
                if self.transact(txn).succeeded:
                    self.newest = revision
                    if change.tenant is not None and len(seen.history) >= plan.HISTORY:
                        self.tidy(change.uid)
                    return revision
            except Unknown:
                unknown.add(revision)
            time.sleep(self.random.random() * min(0.25, BACK_OFF * 2 ** min(turn, 10)))
        if unknown:
            raise StoreBusy("etcd did not tell whether the change was made: look before it is repeated")
        raise StoreBusy("many change the desired state at once: try again")

    def is_mine(self, revision: int, token: str) -> bool:
        kv = self.one(self.keys.audit(revision))
        return kv is not None and decode_audit(kv.value).token == token

    def tidy(self, uid: str) -> None:
        """Take a tenant's texts away that none of its states names.  What fails is done the next time."""
        with contextlib.suppress(StoreError):
            begin, blobs = self.keys.all("history", uid), self.keys.all("blobs", uid)
            state = self.range(Range(self.keys.state))
            _, mod = plan.read_state(state)
            kept, _ = self.every(begin, prefix_end(begin), at=state.revision)
            there, _ = self.every(blobs, prefix_end(blobs), keys_only=True, at=state.revision)
            listed = [(plan.tail(kv.key), kv.create) for kv in there if kv.key.count(b"/", len(blobs)) == 0]
            heads = [unpacked(kv.value, Head) for kv in kept]
            if (txn := plan.sweep(self.keys, uid, mod, heads, listed)) is not None:
                self.transact(txn)

    def add_operator(self, admin: Admin, at: float) -> None:
        for turn in range(TRIES):
            found = self.range(Range(self.keys.state))
            state, mod = plan.read_state(found) if found.kvs else (None, 0)
            txn = plan.add_operator(self.keys, admin, at, state, mod, secrets.token_hex(16))
            try:
                if self.transact(txn).succeeded:
                    return
            except Unknown:
                if self.admin(admin.id) == admin:
                    return
            time.sleep(self.random.random() * min(0.25, BACK_OFF * 2 ** min(turn, 10)))
        raise StoreBusy("many change the desired state at once: try again")

    # --- copies ----------------------------------------------------------------------------------------

    def heads(self, at: int) -> Iterator[Head]:
        begin = self.keys.all("history")
        for kv in self.every(begin, prefix_end(begin), at=at)[0]:
            yield unpacked(kv.value, Head)
