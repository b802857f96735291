"""What a front door knows of a desired state in etcd, and what to do about each thing it hears.  Pure.

The watch brings whole revisions of etcd (a transaction is never split); a reading of all brings the rest: at
the start, after a compaction, and wherever the two could differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ivymux.desired.etcd.keys import Head, Keys, State, unpacked
from ivymux.desired.etcd.wire import Event, Kv
from ivymux.desired.model import DeletedTenant, StoreError

MAX_GONE = 10_000  # tenants that went, kept to be told
MAX_WATCH_LAG_S = 2.0  # seconds that a watch may be behind what a read has seen


class OtherState(StoreError):
    """What is there is no continuation of what is followed."""


@dataclass(slots=True)
class Replica:
    keys: Keys
    state: State | None = None
    heads: dict[str, Head] = field(default_factory=dict)  # by name
    gone: list[DeletedTenant] = field(default_factory=list)
    forgot: int = 0  # revision up to which tenants that went are no longer known
    at: int = 0  # the revision of etcd that this is of
    behind_since: float | None = None

    @property
    def revision(self) -> int:
        return self.state.revision if self.state is not None else -1

    # --- readings of all -------------------------------------------------------------------------------

    def load(self, kvs: Iterable[Kv], at: int) -> None:
        """Go over to all that is there as of a revision of etcd.  Raises OtherState, changing nothing.

        An etcd that began anew without its data has no state, and one that was given another installation's
        has another lineage; one that came back from an old copy of its data goes back in revisions.
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
        lost = [h for name, h in self.heads.items() if name not in heads or heads[name].uid != h.uid]
        self.state, self.heads, self.at, self.behind_since = state, heads, at, None
        self.bury(lost)

    def accept(self, state: State | None) -> None:
        """Raises OtherState for a state that is not to be followed."""
        if state is None:
            raise OtherState(
                "etcd holds no desired state here: it began anew, or the prefix is another one; "
                "put a copy back with `ivymux restore`"
            )
        if self.state is None:
            return
        if state.lineage != self.state.lineage:
            raise OtherState("the desired state was replaced by another one: it is not followed")
        if state.revision < self.state.revision:
            raise OtherState(
                f"the desired state went back from revision {self.state.revision} to {state.revision}: "
                "put a copy back with `ivymux restore`, which goes on beyond both"
            )

    # --- the watch -------------------------------------------------------------------------------------

    def apply(self, events: Iterable[Event], at: int) -> bool:
        """Take over what a watch told; whether anything changed.  Raises OtherState, changing nothing."""
        state, heads, lost = self.state, dict[str, Head | None](), list[Head]()
        for event in events:
            if event.kv is not None and event.kv.mod <= self.at:
                continue  # told twice: a watch that began anew at an earlier revision
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
                lost.append(before)
        for name, head in heads.items():
            if head is None:
                self.heads.pop(name, None)
            else:
                self.heads[name] = head
        changed = state is not self.state or bool(heads)
        self.state, self.at = state, max(self.at, at)
        self.bury(lost)
        return changed

    def bury(self, lost: Iterable[Head]) -> None:
        """Keep who went, as of now; the oldest are forgotten."""
        self.gone += [DeletedTenant(head.name, head.uid, self.revision) for head in lost]
        if len(self.gone) > MAX_GONE:
            surplus = self.gone[: len(self.gone) - MAX_GONE]
            self.forgot = max(g.revision for g in surplus)
            del self.gone[: len(surplus)]

    def changes_since(self, revision: int) -> tuple[list[Head], list[DeletedTenant] | None]:
        """Heads changed since, and who went since; None, with all heads, where that is not known."""
        if revision < self.forgot:
            return sorted(self.heads.values(), key=order), None
        changed = [h for h in self.heads.values() if h.revision > revision]
        return sorted(changed, key=order), [g for g in self.gone if g.revision > revision]

    # --- whether the watch still tells all ---------------------------------------------------------------

    def behind(self, state: Kv | None, at: int, now: float) -> bool:
        """Whether to read all anew, by what a read of the state's key saw as of revision `at` of etcd.

        Raises OtherState.  `now` is monotonic.  A watch may stop telling without ending (a proxy holds it, or
        etcd began anew and has not reached its revision yet), so what it told is held against reads.
        """
        self.accept(unpacked(state.value, State) if state is not None else None)
        assert state is not None
        if at < self.at:
            return True  # etcd itself went back
        if state.mod <= self.at:
            self.behind_since = None
            return False
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since >= MAX_WATCH_LAG_S


def order(head: Head) -> tuple[int, str]:
    return head.revision, head.name
