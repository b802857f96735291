"""Builds the etcd transaction that commits a change of the desired state.  Does no I/O.

Every commit compares and replaces the state's key, so commits are serialised: a transaction succeeds only if
nothing that it was built from has changed.  Otherwise the store reads again and builds a new transaction.
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
from ivymux.desired.etcd.wire import MAX_OPERATIONS, Compare, Delete, Put, Range, RangeResult, Txn
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

MAX_HISTORY = 50  # revisions kept per tenant
MAX_AUDIT = 100_000  # audit records
MAX_AUDIT_DELETIONS = 5  # expired audit records that one commit deletes
NO_STATE = "no desired state is here: `ivymux operator` begins one, `ivymux restore` puts a copy back"


class RepeatAnswer(msgspec.Struct, frozen=True):
    """The stored answer to the creation of a tenant, which is sent again for repeated requests."""

    fingerprint: str
    status: int
    body: bytes
    etag: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a transaction is built from, as of one revision of etcd."""

    state: State
    mod: int  # etcd's revision that last changed the state's key
    head: Head | None
    hosts: dict[str, str]  # the owners' uids of those of the change's host names that are taken
    history: list[int]  # the tenant's stored revisions, newest first
    records: list[tuple[int, str]]  # expired audit records: revision and uid
    admins: list[str]  # ids of the tenant's administrators


def ranges_to_read(keys: Keys, change: Change, last: int) -> list[Range]:
    """The ranges that make up a snapshot; `last` is the newest known revision."""
    hosts = change.tenant.hosts if change.tenant is not None else []
    oldest = max(0, last + 1 - MAX_AUDIT)
    return [
        Range(keys.state),
        Range(keys.tenant(change.name)),
        Range(keys.all("history", change.uid), prefix_end(keys.all("history", change.uid)), descending=True,
              keys_only=True),
        Range(keys.audit(0), keys.audit(oldest + 1), limit=MAX_AUDIT_DELETIONS),
        Range(keys.all("admins", change.uid), prefix_end(keys.all("admins", change.uid)), keys_only=True),
        *(Range(keys.host(host)) for host in hosts),
    ]  # fmt: skip


def decode_state(found: RangeResult) -> tuple[State, int]:
    """Decode the state, with etcd's revision that last changed its key.

    Raises StoreError if there is no state, StoreDamaged if it has a later format.
    """
    if not found.kvs:
        raise StoreError(NO_STATE)
    state = unpacked(found.kvs[0].value, State)
    if state.form > 1:
        raise StoreDamaged(f"the desired state is of a later format ({state.form}): use a newer ivymux")
    return state, found.kvs[0].mod


def last_segment(key: bytes) -> str:
    """The last path segment of a key."""
    return key.rpartition(b"/")[2].decode()


def decode_snapshot(change: Change, ranges: tuple[RangeResult, ...]) -> Snapshot:
    """Decode the results of the ranges of `ranges_to_read`, in that order.  Raises StoreError."""
    state, mod = decode_state(ranges[0])
    head = unpacked(ranges[1].kvs[0].value, Head) if ranges[1].kvs else None
    hosts = {}
    for found in ranges[5:]:
        for kv in found.kvs:
            hosts[last_segment(kv.key)] = kv.value.decode()
    records = [(a.revision, a.uid) for a in (decode_audit(kv.value).audit for kv in ranges[3].kvs)]
    history = [int(last_segment(kv.key)) for kv in ranges[2].kvs]
    return Snapshot(state, mod, head, hosts, history, records, [last_segment(kv.key) for kv in ranges[4].kvs])


def check_preconditions(change: Change, snapshot: Snapshot) -> None:
    """Check that a change still fits the current state.

    Raises RevisionConflict (without the current tenant, which the store reads) and HostTaken.
    """
    head = snapshot.head
    if (head.revision if head else 0) != change.expected or (head and head.uid != change.uid):
        raise RevisionConflict(None)
    for host, uid in snapshot.hosts.items():
        if uid != change.uid:
            raise HostTaken(host)


def encode_document(change: Change) -> tuple[Head, bytes] | None:
    """The head (without its revision) and document of the changed tenant; None if it is deleted."""
    return None if change.tenant is None else head_of(change.name, change.uid, 0, 0.0, change.tenant)


def build_commit(keys: Keys, change: Change, snapshot: Snapshot, token: str, lease: int) -> tuple[int, Txn]:
    """Build the transaction of a change; return it after the revision that it creates.

    `token` identifies this attempt in the audit record; `lease` limits the life of a stored answer.

    Raises RevisionConflict, HostTaken, StoreError.
    """
    check_preconditions(change, snapshot)
    revision = snapshot.state.revision + 1
    compares = [Compare(keys.state, "MOD", "EQUAL", snapshot.mod)]
    audit = AuditRecord(
        revision, change.at, change.who, change.origin, change.action, change.uid, change.name, change.changes
    )
    operations: list[Range | Put | Delete] = [
        Put(keys.state, packed(msgspec.structs.replace(snapshot.state, revision=revision))),
        Put(keys.audit(revision), encode_audit(token, audit)),
        Put(keys.audit_of(change.uid, revision), b""),
    ]
    for number, uid in snapshot.records:
        operations += [Delete(keys.audit(number)), Delete(keys.audit_of(uid, number))]
    old_hosts = set(snapshot.head.hosts) if snapshot.head else set()
    if change.tenant is None:
        operations += [Delete(keys.host(host)) for host in sorted(old_hosts)]
        operations.append(Delete(keys.tenant(change.name)))
        operations += [Delete(keys.admin_id(key_id)) for key_id in snapshot.admins[:40]]
        for part in ("history", "admins", "repeats", "blobs"):
            operations.append(Delete(keys.all(part, change.uid), prefix_end(keys.all(part, change.uid))))
    else:
        created = snapshot.head.created if snapshot.head else change.at
        head, _ = head_of(change.name, change.uid, revision, created, change.tenant)
        new_hosts = set(head.hosts)
        operations += [Delete(keys.host(host)) for host in sorted(old_hosts - new_hosts)]
        operations += [Put(keys.host(host), change.uid.encode()) for host in sorted(new_hosts - old_hosts)]
        operations += [Put(keys.tenant(change.name), packed(head)),
                       Put(keys.history(change.uid, revision), packed(head))]  # fmt: skip
        if len(snapshot.history) >= MAX_HISTORY:
            operations.append(
                Delete(
                    keys.history(change.uid, 0), keys.history(change.uid, snapshot.history[MAX_HISTORY - 2])
                )
            )
        # The texts were stored before this transaction, which fails if one of them was deleted since then.
        compares += [
            Compare(keys.blob(change.uid, name), "CREATE", "GREATER", 0) for name in (head.body, *head.texts)
        ]
        operations += admin_puts(keys, change.add_admins)
        for key_id in change.drop_admins:
            operations += [Delete(keys.admin(change.uid, key_id)), Delete(keys.admin_id(key_id))]
        if change.repeat is not None:
            key, answer = change.repeat
            kept = packed(RepeatAnswer(answer.fingerprint, answer.status, answer.body, answer.etag))
            if len(kept) > MAX_VALUE_BYTES:
                raise StoreFull("the answer is too large to be kept for a repeat: make less at once")
            operations += [Put(keys.repeat(change.uid, key), kept, lease),
                           Put(keys.repeat_id(key), change.uid.encode(), lease)]  # fmt: skip
    if len(operations) > MAX_OPERATIONS or len(compares) > MAX_OPERATIONS:
        raise StoreFull("the change is of too many parts for one transaction: make it in two")
    return revision, Txn(tuple(compares), tuple(operations))


def admin_puts(keys: Keys, admins: Iterable[Admin]) -> list[Range | Put | Delete]:
    """The operations that store administrators' keys."""
    operations: list[Range | Put | Delete] = []
    for admin in admins:
        operations += [Put(keys.admin(admin.uid, admin.id), packed(admin)),
                 Put(keys.admin_id(admin.id), (admin.uid or "-").encode())]  # fmt: skip
    return operations


def build_operator_commit(
    keys: Keys, admin: Admin, at: float, state: State | None, mod: int, lineage: str
) -> Txn:
    """Build the transaction that stores an operator's key; without a state it creates one of that lineage."""
    current = state or State(0, lineage)
    revision = current.revision + 1
    changes = [{"path": f"/operators/{admin.id}", "after": admin.name}]
    audit = AuditRecord(revision, at, "command line", "", "appoint", "", "", changes)
    guard = Compare(keys.state, "MOD", "EQUAL", mod) if state else Compare(keys.state, "CREATE", "EQUAL", 0)
    return Txn((guard,), (
        Put(keys.state, packed(msgspec.structs.replace(current, revision=revision))),
        Put(keys.audit(revision), encode_audit("", audit)),
        Put(keys.audit_of("", revision), b""),
        *admin_puts(keys, (admin,)),
    ))  # fmt: skip


def build_text_deletion(
    keys: Keys, uid: str, mod: int, history: Iterable[Head], stored: Iterable[tuple[str, int]]
) -> Txn | None:
    """Build the transaction that deletes a tenant's unreferenced texts; None if there are none.

    `stored` has the texts' digests and etcd's revisions that created them.  Texts that were stored after the
    last commit (`mod`) may belong to a commit in progress, so they stay.
    """
    referenced = {name for head in history for name in (head.body, *head.texts)}
    unused = sorted(name for name, created in stored if name not in referenced and created <= mod)
    if not unused:
        return None
    deletions = tuple(
        Delete(keys.blob(uid, name), prefix_end(keys.blob(uid, name))) for name in unused[:MAX_OPERATIONS]
    )
    return Txn((Compare(keys.state, "MOD", "EQUAL", mod),), deletions)
