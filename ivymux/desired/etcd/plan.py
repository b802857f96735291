"""What a change of the desired state puts into one transaction of etcd.  Pure.

Every commit compares and moves the state's own key.  So commits come one after the other, and what one was
worked out from is still so when it is made, or it is worked out again from what is there now.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ivymux.desired.etcd.keys import (
    MAX_VALUE_BYTES,
    Head,
    Keys,
    State,
    decode_audit,
    encode_audit,
    head_of,
    packed,
    prefix_end,
    unpacked,
)
from ivymux.desired.etcd.wire import MAX_OPERATIONS, Compare, Delete, Put, Range, Ranged, Txn
from ivymux.desired.model import (
    Admin,
    AuditRecord,
    Change,
    HostTaken,
    RevisionConflict,
    StoreDamaged,
    StoreError,
    StoreFull,
)

HISTORY = 50  # revisions kept of a tenant
MAX_AUDIT = 100_000
DROPPED = 5  # audit records that one commit may drop
NOBODY = "no desired state is here: `ivymux operator` begins one, `ivymux restore` puts a copy back"


class Remembered(msgspec.Struct, frozen=True):
    """A creation's answer, under the tenant that it belongs to."""

    fingerprint: str
    status: int
    body: bytes
    etag: str


@dataclass(frozen=True, slots=True)
class Seen:
    """What a change is worked out from, as of one revision of etcd."""

    state: State
    mod: int  # of the state's key
    head: Head | None
    hosts: dict[str, str]  # of the host names that it wants, those that are somebody's
    history: list[int]  # revisions that are kept, the newest first
    records: list[tuple[int, str]]  # audit records that are too many: revision and uid
    admins: list[str]  # ids of the tenant's administrators, where it is to be deleted


def reading(keys: Keys, change: Change, last: int) -> list[Range]:
    """What has to be read; `last` is the newest revision that is known."""
    hosts = change.tenant.hosts if change.tenant is not None else []
    oldest = max(0, last + 1 - MAX_AUDIT)
    return [
        Range(keys.state),
        Range(keys.tenant(change.name)),
        Range(keys.all("history", change.uid), prefix_end(keys.all("history", change.uid)), descending=True,
              keys_only=True),
        Range(keys.audit(0), keys.audit(oldest + 1), limit=DROPPED),
        Range(keys.all("admins", change.uid), prefix_end(keys.all("admins", change.uid)), keys_only=True),
        *(Range(keys.host(host)) for host in hosts),
    ]  # fmt: skip


def read_state(found: Ranged) -> tuple[State, int]:
    """Raises StoreError where there is none, or one of a later form."""
    if not found.kvs:
        raise StoreError(NOBODY)
    state = unpacked(found.kvs[0].value, State)
    if state.form > 1:
        raise StoreDamaged(f"the desired state is of a later form ({state.form}): use that one's ivymux")
    return state, found.kvs[0].mod


def tail(key: bytes) -> str:
    return key.rpartition(b"/")[2].decode()


def read_seen(change: Change, ranges: tuple[Ranged, ...]) -> Seen:
    """Raises StoreError."""
    state, mod = read_state(ranges[0])
    head = unpacked(ranges[1].kvs[0].value, Head) if ranges[1].kvs else None
    hosts = {}
    for found in ranges[5:]:
        for kv in found.kvs:
            hosts[tail(kv.key)] = kv.value.decode()
    records = [(a.revision, a.uid) for a in (decode_audit(kv.value).audit for kv in ranges[3].kvs)]
    history = [int(tail(kv.key)) for kv in ranges[2].kvs]
    return Seen(state, mod, head, hosts, history, records, [tail(kv.key) for kv in ranges[4].kvs])


def check(change: Change, seen: Seen) -> None:
    """Check that a change still fits the current state.

    Raises RevisionConflict (without the current tenant, which the store reads) and HostTaken.
    """
    head = seen.head
    if (head.revision if head else 0) != change.expected or (head and head.uid != change.uid):
        raise RevisionConflict(None)
    for host, uid in seen.hosts.items():
        if uid != change.uid:
            raise HostTaken(host)


def needed(change: Change) -> tuple[Head, bytes] | None:
    """The head and document that a change makes, but for the revision; None where it deletes."""
    return None if change.tenant is None else head_of(change.name, change.uid, 0, 0.0, change.tenant)


def commit(keys: Keys, change: Change, seen: Seen, token: str, lease: int) -> tuple[int, Txn]:
    """The new revision and the transaction that makes it.  Raises RevisionConflict, HostTaken, StoreError."""
    check(change, seen)
    revision = seen.state.revision + 1
    compares = [Compare(keys.state, "MOD", "EQUAL", seen.mod)]
    audit = AuditRecord(
        revision, change.at, change.who, change.origin, change.action, change.uid, change.name, change.changes
    )
    operations: list[Range | Put | Delete] = [
        Put(keys.state, packed(msgspec.structs.replace(seen.state, revision=revision))),
        Put(keys.audit(revision), encode_audit(token, audit)),
        Put(keys.audit_of(change.uid, revision), b""),
    ]
    for number, uid in seen.records:
        operations += [Delete(keys.audit(number)), Delete(keys.audit_of(uid, number))]
    before = set(seen.head.hosts) if seen.head else set()
    if change.tenant is None:
        operations += [Delete(keys.host(host)) for host in sorted(before)]
        operations.append(Delete(keys.tenant(change.name)))
        operations += [Delete(keys.admin_id(number)) for number in seen.admins[:40]]
        for part in ("history", "admins", "repeats", "blobs"):
            operations.append(Delete(keys.all(part, change.uid), prefix_end(keys.all(part, change.uid))))
    else:
        created = seen.head.created if seen.head else change.at
        head, _ = head_of(change.name, change.uid, revision, created, change.tenant)
        wanted = set(head.hosts)
        operations += [Delete(keys.host(host)) for host in sorted(before - wanted)]
        operations += [Put(keys.host(host), change.uid.encode()) for host in sorted(wanted - before)]
        operations += [Put(keys.tenant(change.name), packed(head)),
                       Put(keys.history(change.uid, revision), packed(head))]  # fmt: skip
        if len(seen.history) >= HISTORY:
            operations.append(
                Delete(keys.history(change.uid, 0), keys.history(change.uid, seen.history[HISTORY - 2]))
            )
        # What it is made of was put before; a sweep that took it away meanwhile makes this one fail.
        compares += [
            Compare(keys.blob(change.uid, name), "CREATE", "GREATER", 0) for name in (head.body, *head.texts)
        ]
        operations += adding(keys, change.add_admins)
        for dropped in change.drop_admins:
            operations += [Delete(keys.admin(change.uid, dropped)), Delete(keys.admin_id(dropped))]
        if change.repeat is not None:
            key, answer = change.repeat
            kept = packed(Remembered(answer.fingerprint, answer.status, answer.body, answer.etag))
            if len(kept) > MAX_VALUE_BYTES:
                raise StoreFull("the answer is too large to be kept for a repeat: make less at once")
            operations += [Put(keys.repeat(change.uid, key), kept, lease),
                           Put(keys.repeat_id(key), change.uid.encode(), lease)]  # fmt: skip
    if len(operations) > MAX_OPERATIONS or len(compares) > MAX_OPERATIONS:
        raise StoreFull("the change is of too many parts for one transaction: make it in two")
    return revision, Txn(tuple(compares), tuple(operations))


def adding(keys: Keys, admins: Iterable[Admin]) -> list[Range | Put | Delete]:
    made: list[Range | Put | Delete] = []
    for admin in admins:
        made += [Put(keys.admin(admin.uid, admin.id), packed(admin)),
                 Put(keys.admin_id(admin.id), (admin.uid or "-").encode())]  # fmt: skip
    return made


def add_operator(keys: Keys, admin: Admin, at: float, state: State | None, mod: int, lineage: str) -> Txn:
    """Keep an operator's key; where there is no state at all this begins one."""
    now = state or State(0, lineage)
    revision = now.revision + 1
    changes = [{"path": f"/operators/{admin.id}", "after": admin.name}]
    audit = AuditRecord(revision, at, "command line", "", "appoint", "", "", changes)
    guard = Compare(keys.state, "MOD", "EQUAL", mod) if state else Compare(keys.state, "CREATE", "EQUAL", 0)
    return Txn((guard,), (
        Put(keys.state, packed(msgspec.structs.replace(now, revision=revision))),
        Put(keys.audit(revision), encode_audit("", audit)),
        Put(keys.audit_of("", revision), b""),
        *adding(keys, (admin,)),
    ))  # fmt: skip


def sweep(
    keys: Keys, uid: str, mod: int, kept: Iterable[Head], there: Iterable[tuple[str, int]]
) -> Txn | None:
    """The transaction that takes a tenant's texts away which no state of it names; None for nothing to take.

    `there`: digests and the revisions of etcd that made them.  What was put after the last commit is of one
    that is on its way.
    """
    named = {name for head in kept for name in (head.body, *head.texts)}
    left = sorted(name for name, created in there if name not in named and created <= mod)
    if not left:
        return None
    dropped = tuple(
        Delete(keys.blob(uid, name), prefix_end(keys.blob(uid, name))) for name in left[:MAX_OPERATIONS]
    )
    return Txn((Compare(keys.state, "MOD", "EQUAL", mod),), dropped)
