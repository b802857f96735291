"""The leases of one service's shards, as the core's primary grants them in answers to backends' calls.  Pure.

Safety, by these rules:

* A change of holders is stored on the disks of primary and backups, with a higher fence, before the new
  holder is told.  So the stored holder may be granted its shards at any time, by any later primary.
* A holder is changed only once the former one has released the shard, or its last lease has ended.  A lease
  is counted here from the arrival of the call that it answers, which is later than the call's sending, from
  which the backend counts, and by a clock that may be slower.
* A primary that has just taken over knows nothing of the leases that were granted before; it counts each as
  granted at that moment, after which the former primary granted nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ivymux.sharding import SHARDS
from ivymux.sharding.assignment import Candidate, assign
from ivymux.sharding.shard_loads import ShardLoads
from ivymux.sharding.shard_table import (
    KeyRow,
    ShardHolder,
    ShardTable,
    rows_of,
    shards_touched,
    shards_within,
)

CLOCK_ERROR = 1.02  # a backend's clock may take this much longer for a lease
LEASE_MARGIN_S = 0.1  # beyond the end of a lease, before the shard goes to another backend
FIRST_SETTLE_S = 3.0  # after the first call, before shards without any holder are assigned
REBALANCE_INTERVAL_S = 0.5
MAX_ROWS = 100  # of one backend, beyond which its shards get a common fence, so that neighbours share a row
MAX_MOVES = 32  # shards that are being moved at a time, beside those of backends that leave or are gone
# A holder is asked to release a shard when the next holder's call, with which it is granted, is due soon.
MIN_GRANT_DELAY_S, MAX_GRANT_DELAY_S = 0.2, 0.9
MAX_RELEASE_DELAY_S = 4.0  # after which it is asked whenever it calls


@dataclass(frozen=True, slots=True)
class HolderCall:
    """A backend's call, as far as shards are concerned; `holdings`: first key, last key, fence."""

    id: str
    address: str
    capacity: int
    is_leaving: bool
    call_seq: int
    holdings: list[tuple[int, int, int]]
    released: list[tuple[int, int, str]]  # first key, last key, handover code


@dataclass(slots=True)
class Backend:
    """A backend of the service, as its calls show it."""

    id: str
    address: str
    capacity: int
    is_leaving: bool
    call_seq: int
    last_call_at: float


@dataclass(slots=True)
class ShardLease:
    """The lease of one shard to its stored holder."""

    ends_at: float  # when the last lease has surely ended at the holder
    granted_seq: int = -1  # the holder's call that was answered with the last grant
    next_holder: str = ""  # to which it is being moved
    moving_since: float = 0.0
    is_withheld: bool = False  # the holder has been answered without the shard, so that it lets it go
    is_released: bool = False
    handover: str = ""  # the former holder's code, until the holder has confirmed the shard


@dataclass(slots=True)
class ShardLeases:
    """The shards of one service at the primary."""

    table: ShardTable  # as stored
    lease_s: float
    heartbeat_s: float
    now: float
    backends: dict[str, Backend] = field(default_factory=dict)
    leases: list[ShardLease] = field(default_factory=list)
    loads: ShardLoads = field(default_factory=ShardLoads)
    first_call_at: float = math.inf
    rebalance_at: float = 0.0
    proposed: ShardTable | None = None  # being stored; its changes may come into force at any time
    with_many_rows: set[str] = field(default_factory=set)  # backends whose shards need a common fence
    shards_by_holder: dict[str, list[int]] = field(default_factory=dict)  # by the stored table

    def __post_init__(self) -> None:
        self.shards_by_holder = self.table.shards_by_holder()
        self.leases = [ShardLease(self.now + self.lease_bound_s()) for _ in range(SHARDS)]
        if self.table.highest_fence():  # backends that have not called yet may hold leases
            self.rebalance_at = self.now + self.lease_bound_s()

    def lease_bound_s(self) -> float:
        """Return how long a lease lasts at most, from the arrival of the call that it answers."""
        return CLOCK_ERROR * self.lease_s + LEASE_MARGIN_S

    # --- calls -------------------------------------------------------------------------------------

    def on_call(self, call: HolderCall, now: float) -> list[KeyRow] | None:
        """Handle a backend's call; return the rows that it is to hold, or None for a late call.

        A repeated call is answered anew: its first answer may have been lost on the way.
        """
        self.now = max(self.now, now)
        self.first_call_at = min(self.first_call_at, self.now)
        known = self.backends.get(call.id)
        if known is not None and call.call_seq < known.call_seq:
            return None
        is_leaving = call.is_leaving or (known is not None and known.is_leaving)
        self.backends[call.id] = Backend(
            call.id, call.address, call.capacity, is_leaving, call.call_seq, self.now
        )
        self.note_released(call)
        self.rebalance()
        return self.grant(call)

    def note_released(self, call: HolderCall) -> None:
        """Note which shards a backend has let go, and which it holds."""
        held = {shard for first, last, _ in call.holdings for shard in shards_touched(first, last)}
        for first, last, handover in call.released:
            for shard in shards_within(first, last):
                lease = self.leases[shard]
                is_holder = self.table.holders[shard].backend == call.id
                if is_holder and shard not in held and call.call_seq > lease.granted_seq:
                    lease.is_released, lease.handover = True, handover
                    lease.ends_at = self.now
        for first, last, fence in call.holdings:
            for shard in shards_within(first, last):
                if self.table.holders[shard] == ShardHolder(call.id, fence):
                    self.leases[shard].handover = ""

    def grant(self, call: HolderCall) -> list[KeyRow]:
        """Return the rows of a backend's shards, but for those that it is to let go."""
        shards: list[tuple[int, int, str]] = []
        for shard in self.shards_by_holder.get(call.id, ()):
            lease = self.leases[shard]
            if self.is_proposed_to_other(shard):
                continue
            if lease.next_holder and (lease.is_withheld or self.may_release(lease, call.is_leaving)):
                lease.is_withheld = True
                continue
            lease.is_released = lease.is_withheld = False
            lease.granted_seq, lease.ends_at = call.call_seq, self.now + self.lease_bound_s()
            shards.append((shard, self.table.holders[shard].fence, lease.handover))
        rows = rows_of(shards)
        if len(rows) > MAX_ROWS:
            self.with_many_rows.add(call.id)
        return rows

    def is_proposed_to_other(self, shard: int) -> bool:
        """Whether a table that is being stored gives a shard to another backend."""
        if self.proposed is None:
            return False
        return self.proposed.holders[shard].backend != self.table.holders[shard].backend

    def may_release(self, lease: ShardLease, is_leaving: bool) -> bool:
        """Whether a holder should let a shard go now: when the next holder is about to call."""
        next_holder = self.backends.get(lease.next_holder)
        if is_leaving or next_holder is None or self.now - lease.moving_since > MAX_RELEASE_DELAY_S:
            return True
        due_in = (next_holder.last_call_at - self.now) % self.heartbeat_s
        return MIN_GRANT_DELAY_S <= due_in <= MAX_GRANT_DELAY_S

    # --- moves -------------------------------------------------------------------------------------

    def is_alive(self, backend: Backend) -> bool:
        return self.now - backend.last_call_at <= self.lease_s

    def candidates(self) -> list[Candidate]:
        """Return the backends that may hold shards; a restarted one keeps its rank by its address."""
        return [
            Candidate(backend.id, backend.address, backend.capacity)
            for backend in self.backends.values()
            if self.is_alive(backend) and not backend.is_leaving
        ]

    def rebalance(self) -> None:
        """Decide which shards move, once in REBALANCE_INTERVAL_S."""
        if self.now < self.rebalance_at:
            return
        self.rebalance_at = self.now + REBALANCE_INTERVAL_S
        for backend in [b for b in self.backends.values() if self.now - b.last_call_at > 10 * self.lease_s]:
            if backend.id not in self.shards_by_holder:
                del self.backends[backend.id]
        candidates = self.candidates()
        is_first = not self.table.highest_fence()
        if not candidates or (is_first and self.now - self.first_call_at < FIRST_SETTLE_S):
            return
        staying = {candidate.id for candidate in candidates}
        for lease in self.leases:
            if lease.next_holder not in staying:
                lease.next_holder = ""
        current = [
            lease.next_holder or holder.backend
            for lease, holder in zip(self.leases, self.table.holders, strict=True)
        ]
        wanted = assign(current, candidates, self.loads.costs())
        moving = sum(bool(lease.next_holder) for lease in self.leases)
        for shard, holder in enumerate(self.table.holders):
            lease = self.leases[shard]
            if wanted[shard] in (holder.backend, lease.next_holder):
                if wanted[shard] == holder.backend:
                    lease.next_holder = ""
                continue
            if holder.backend in staying:
                if moving >= MAX_MOVES:
                    continue
                moving += 1
            lease.next_holder, lease.moving_since = wanted[shard], self.now

    def propose_table(self, now: float) -> ShardTable | None:
        """Return the table to store, None if no shard is free to change its holder.

        A table stays proposed until it is stored: an attempt that seemed to fail may have stored it.
        """
        self.now = max(self.now, now)
        if self.proposed is not None:
            return self.proposed
        self.rebalance()
        if not self.with_many_rows and not any(lease.next_holder for lease in self.leases):
            return None
        holders = list(self.table.holders)
        fence = self.table.highest_fence() + 1
        for shard, lease in enumerate(self.leases):
            is_free = lease.is_released or self.now >= lease.ends_at or not holders[shard].backend
            if lease.next_holder and is_free:
                holders[shard] = ShardHolder(lease.next_holder, fence)
        for shard, holder in enumerate(holders):
            if holder.backend in self.with_many_rows:
                holders[shard] = ShardHolder(holder.backend, fence)
        self.with_many_rows.clear()
        table = ShardTable(tuple(holders))
        self.proposed = table if table != self.table else None
        return self.proposed

    def on_stored(self, table: ShardTable) -> None:
        """Put a table into force that is on all disks."""
        for shard, (before, after) in enumerate(zip(self.table.holders, table.holders, strict=True)):
            if before.backend != after.backend:
                former = self.leases[shard]
                self.leases[shard] = ShardLease(0.0, handover=former.handover if former.is_released else "")
        self.table, self.proposed = table, None
        self.shards_by_holder = table.shards_by_holder()
