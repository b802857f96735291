"""A gateway's replica of the desired state in etcd, updated by a watch and by full reads.  Does no I/O.

The watch delivers whole revisions of etcd (a transaction is never split).  A full read is needed at the
start, after a compaction, and whenever the watch may have missed something.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ivymux.desired.etcd.keys import Head, Keys, State, unpacked
from ivymux.desired.etcd.wire import Event, Kv
from ivymux.desired.model import DeletedTenant, StoreError

MAX_GONE = 10_000  # remembered deletions of tenants
MAX_WATCH_LAG_S = 2.0  # how long a watch may lag behind a read


class ForeignState(StoreError):
    """The state in etcd does not continue the one that the replica follows."""


@dataclass(slots=True)
class Replica:
    """The state and the tenants' heads, with the latest deletions."""

    keys: Keys
    state: State | None = None
    heads: dict[str, Head] = field(default_factory=dict)  # by name
    gone: list[DeletedTenant] = field(default_factory=list)
    forgot: int = 0  # revision up to which deletions are no longer known
    at: int = 0  # the revision of etcd as of which this is current
    behind_since: float | None = None  # when the watch was first seen to lag behind reads (monotonic seconds)

    @property
    def revision(self) -> int:
        return self.state.revision if self.state is not None else -1

    # --- full reads -----------------------------------------------------------------------------------

    def load(self, kvs: Iterable[Kv], at: int) -> None:
        """Replace the replica by a full read as of etcd's revision `at`.

        Raises ForeignState, changing nothing.

        An etcd that lost its data has no state, one with another installation's data has another lineage, and
        one that was restored from an old snapshot has a lower revision.
        """
        state: State | None = None
        heads: dict[str, Head] = {}
        for kv in kvs:
            if kv.key == self.keys.state:
                state = unpacked(kv.value, State)
            elif kv.key.startswith(self.keys.tenants):
                head = unpacked(kv.value, Head)
                heads[head.name] = head
        self.accept(state)
        assert state is not None
        deleted = [h for name, h in self.heads.items() if name not in heads or heads[name].uid != h.uid]
        self.state, self.heads, self.at, self.behind_since = state, heads, at, None
        self.record_deletions(deleted)

    def accept(self, state: State | None) -> None:
        """Check that a state continues the current one.  Raises ForeignState."""
        if state is None:
            raise ForeignState(
                "etcd holds no desired state here: it began anew, or the prefix is another one; "
                "put a copy back with `ivymux restore`"
            )
        if self.state is None:
            return
        if state.lineage != self.state.lineage:
            raise ForeignState("the desired state was replaced by another one: it is not followed")
        if state.revision < self.state.revision:
            raise ForeignState(
                f"the desired state went back from revision {self.state.revision} to {state.revision}: "
                "put a copy back with `ivymux restore`, which goes on beyond both"
            )

    # --- the watch -------------------------------------------------------------------------------------

    def apply(self, events: Iterable[Event], at: int) -> bool:
        """Apply a watch's events; return whether anything changed.

        Raises ForeignState, changing nothing.
        """
        state, heads, deleted = self.state, dict[str, Head | None](), list[Head]()
        for event in events:
            if event.kv is not None and event.kv.mod <= self.at:
                continue  # received before: the watch was restarted at an earlier revision
            if event.key == self.keys.state:
                state = unpacked(event.kv.value, State) if event.kv is not None else None
            elif event.key.startswith(self.keys.tenants):
                name = event.key[len(self.keys.tenants) :].decode()
                heads[name] = unpacked(event.kv.value, Head) if event.kv is not None else None
        if state is not self.state:
            self.accept(state)
        for name, head in heads.items():
            before = self.heads.get(name)
            if before is not None and (head is None or head.uid != before.uid):
                deleted.append(before)
        for name, head in heads.items():
            if head is None:
                self.heads.pop(name, None)
            else:
                self.heads[name] = head
        changed = state is not self.state or bool(heads)
        self.state, self.at = state, max(self.at, at)
        self.record_deletions(deleted)
        return changed

    def record_deletions(self, deleted: Iterable[Head]) -> None:
        """Record deletions at the current revision, and drop the oldest above MAX_GONE."""
        self.gone += [DeletedTenant(head.name, head.uid, self.revision) for head in deleted]
        if len(self.gone) > MAX_GONE:
            surplus = self.gone[: len(self.gone) - MAX_GONE]
            self.forgot = max(g.revision for g in surplus)
            del self.gone[: len(surplus)]

    def changes_since(self, revision: int) -> tuple[list[Head], list[DeletedTenant] | None]:
        """Return the heads changed and the tenants deleted since a revision.

        If the deletions are no longer known that far back, all heads and None are returned.
        """
        if revision < self.forgot:
            return sorted(self.heads.values(), key=sort_key), None
        changed = [h for h in self.heads.values() if h.revision > revision]
        return sorted(changed, key=sort_key), [g for g in self.gone if g.revision > revision]

    # --- supervision of the watch ----------------------------------------------------------------------

    def needs_full_read(self, state: Kv | None, at: int, now: float) -> bool:
        """Whether a full read is needed, given the state's key as it was read at revision `at` of etcd.

        A watch may stop delivering events without ending (a proxy keeps its connection open, or a new etcd
        has not reached the watch's revision yet), so the replica is compared with reads.  `now` is in
        monotonic seconds.

        Raises ForeignState.
        """
        self.accept(unpacked(state.value, State) if state is not None else None)
        assert state is not None
        if at < self.at:
            return True  # etcd's own revision went back
        if state.mod <= self.at:
            self.behind_since = None
            return False
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since >= MAX_WATCH_LAG_S


def sort_key(head: Head) -> tuple[int, str]:
    """Order heads by revision, then name."""
    return head.revision, head.name
