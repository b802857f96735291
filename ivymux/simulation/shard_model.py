"""Models the leases of shards: backends with slow clocks, lost and late calls, stores that take their time.

A primary is replaced at random moments, after its lease has surely ended.  The check is the rule for owners:
no two backends hold the same key at the same time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ivymux.sharding import KEYS_PER_SHARD, SHARDS
from ivymux.sharding.shard_leases import CLOCK_ERROR, HolderCall, ShardLeases
from ivymux.sharding.shard_table import KeyRow, ShardTable, shards_within

STEP_S = 0.1
HEARTBEAT_S = 1.5
LEASE_S = 4.0
ANSWER_TIMEOUT_S = 1.0
RELEASE_CALL_S = 0.1  # after an answer that leaves out keys, when a backend calls again
HOT_SHARDS, HOT_REQUESTS = 20, 200  # neighbours that become busy, and the requests on each
MakeLeases = Callable[[ShardTable, float], ShardLeases]


class OwnerViolation(AssertionError):
    """Two backends hold the same shard."""


@dataclass(slots=True)
class HeldShard:
    """A shard at a backend."""

    fence: int
    until: float  # in true seconds, when the lease ends by the backend's own clock


@dataclass(slots=True)
class ModelBackend:
    """A backend as the users' page describes it."""

    id: str
    address: str
    clock_factor: float  # by which its clock is slow
    next_call_at: float
    is_leaving: bool = False
    is_frozen: bool = False
    call_seq: int = 0
    held: dict[int, HeldShard] = field(default_factory=dict)
    working: dict[int, float] = field(default_factory=dict)  # shards that are let go, until their work ends
    released: dict[int, str] = field(default_factory=dict)  # since the last acknowledged call
    highest_fence: dict[int, int] = field(default_factory=dict)
    waiting_since: float | None = None  # for an answer

    def holds(self, shard: int, now: float) -> bool:
        return shard in self.held and now < self.held[shard].until


def make_leases(table: ShardTable, now: float) -> ShardLeases:
    return ShardLeases(table, LEASE_S, HEARTBEAT_S, now)


class ShardModel:
    """One service's backends and the core's primary."""

    def __init__(self, seed: int, make: MakeLeases = make_leases, backends: int = 6) -> None:
        self.random, self.make, self.now = random.Random(seed), make, 100.0
        self.stored = ShardTable()
        self.primary: ShardLeases | None = make(self.stored, self.now)
        self.store_done_at = 0.0
        self.no_primary_until = 0.0
        self.backends: dict[str, ModelBackend] = {}
        self.events: list[tuple[float, Callable[[], None]]] = []
        self.count = self.moves = 0
        for _ in range(backends):
            self.add_backend()

    def add_backend(self, address: str = "") -> None:
        self.count += 1
        id = f"i-{self.count}"
        factor = self.random.choice((1.0, 1.0, CLOCK_ERROR))
        backend = ModelBackend(id, address or f"10.0.0.{self.count}:80", factor, self.now)
        backend.next_call_at += self.random.uniform(0, HEARTBEAT_S)
        self.backends[id] = backend

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        self.events.append((self.now + delay_s, event))

    def run(self, duration_s: float, has_faults: bool = True) -> None:
        """Play; raises OwnerViolation."""
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            due = [event for at, event in self.events if at <= self.now]
            self.events = [(at, event) for at, event in self.events if at > self.now]
            for event in due:
                event()
            if has_faults and self.random.random() < 0.06:
                self.inject_fault()
            self.step_primary()
            for backend in list(self.backends.values()):
                self.step_backend(backend, has_faults)
            self.check()

    # --- the core ----------------------------------------------------------------------------------

    def step_primary(self) -> None:
        if self.primary is None:
            if self.now >= self.no_primary_until:
                self.primary = self.make(self.stored, self.now)
            return
        primary = self.primary
        if self.store_done_at > self.now:
            return
        if (table := primary.propose_table(self.now)) is not None:
            delay_s = self.random.choice((0.02, 0.1, 0.8))
            self.store_done_at = self.now + delay_s
            self.after(delay_s, lambda: self.finish_store(primary, table))

    def finish_store(self, primary: ShardLeases, table: ShardTable) -> None:
        if self.primary is primary:
            self.moves += sum(a != b for a, b in zip(self.stored.holders, table.holders, strict=True))
            self.stored = table
            if self.random.random() < 0.9:  # otherwise the answer is lost, and the table is stored again
                primary.on_stored(table)

    def replace_primary(self) -> None:
        """Lose the primary, maybe with its last write on the disks of its backups."""
        if self.primary is not None:
            if self.primary.proposed is not None and self.random.random() < 0.5:
                self.stored = self.primary.proposed
            self.primary, self.no_primary_until = None, self.now + self.random.choice((0.1, 1.0, 3.0))
            self.store_done_at = 0.0

    # --- backends ----------------------------------------------------------------------------------

    def step_backend(self, backend: ModelBackend, has_faults: bool) -> None:
        if backend.is_frozen:
            return
        for shard in [s for s, held in backend.held.items() if self.now >= held.until]:
            del backend.held[shard]
        for shard in [s for s, until in backend.working.items() if self.now >= until]:
            del backend.working[shard]
            backend.released[shard] = f"code-{shard}-{backend.id}"
        is_waiting = backend.waiting_since is not None and self.now - backend.waiting_since < ANSWER_TIMEOUT_S
        if self.now >= backend.next_call_at and not is_waiting:
            self.call(backend, has_faults)

    def call(self, backend: ModelBackend, has_faults: bool) -> None:
        """Send a call; it, or its answer, may be late or lost."""
        backend.call_seq += 1
        backend.next_call_at = self.now + HEARTBEAT_S
        backend.waiting_since = self.now
        sent_at, seq = self.now, backend.call_seq
        holdings = [(*keys_of(shard), held.fence) for shard, held in backend.held.items()]
        holdings += [(*keys_of(shard), 0) for shard in backend.working]
        released = [(*keys_of(shard), code) for shard, code in backend.released.items()]
        message = HolderCall(
            backend.id, backend.address, 2, backend.is_leaving, seq, holdings, released
        )  # fmt: skip
        fate = self.random.random() if has_faults else 1.0
        if fate < 0.05:
            return
        delay_s = self.random.choice((0.0, 0.05, 0.5)) if has_faults else 0.0

        def arrive() -> None:
            rows = self.primary.on_call(message, self.now) if self.primary is not None else None
            if rows is None or fate < 0.12:
                return
            answer_delay_s = self.random.choice((0.0, 0.05, 0.7)) if has_faults else 0.0
            self.after(answer_delay_s, lambda: self.receive(backend, seq, sent_at, rows))

        self.after(delay_s, arrive)

    def receive(self, backend: ModelBackend, seq: int, sent_at: float, rows: list[KeyRow]) -> None:
        """Apply an answer, unless it came late."""
        if seq != backend.call_seq or self.now - sent_at > ANSWER_TIMEOUT_S or backend.is_frozen:
            return
        backend.waiting_since = None
        for shard in list(backend.released):
            del backend.released[shard]
        granted = {shard: row for row in rows for shard in shards_within(row.first, row.last)}
        for shard in [shard for shard in backend.held if shard not in granted]:
            del backend.held[shard]
            backend.working[shard] = self.now + self.random.choice((0.0, 0.1, 0.4))
            backend.next_call_at = min(backend.next_call_at, self.now + RELEASE_CALL_S)
        if backend.working:
            backend.next_call_at = min(backend.next_call_at, self.now + RELEASE_CALL_S)
        for shard, row in granted.items():
            if row.fence >= backend.highest_fence.get(shard, 0):
                backend.highest_fence[shard] = row.fence
                backend.held[shard] = HeldShard(row.fence, sent_at + LEASE_S * backend.clock_factor)
                backend.working.pop(shard, None)

    # --- faults ------------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        draw, backend = self.random.random(), self.random.choice(list(self.backends.values()))
        if draw < 0.25:
            self.replace_primary()
        elif draw < 0.45:
            backend.is_frozen = not backend.is_frozen
        elif draw < 0.6 and len(self.backends) > 2:
            del self.backends[backend.id]
            self.after(self.random.choice((0.2, 3.0)), lambda: self.add_backend(backend.address))
        elif draw < 0.8 and len(self.backends) < 10:
            self.add_backend()
        elif draw < 0.9 and len(self.backends) > 3:
            backend.is_leaving = True
            self.after(5.0, lambda: self.remove(backend))
        elif self.primary is not None:
            hot = self.random.randrange(SHARDS - HOT_SHARDS)
            self.primary.loads.add(
                [(shard, HOT_REQUESTS) for shard in range(hot, hot + HOT_SHARDS)], self.now
            )

    def remove(self, backend: ModelBackend) -> None:
        self.backends.pop(backend.id, None)

    # --- checks ------------------------------------------------------------------------------------

    def check(self) -> None:
        """Raises OwnerViolation if two backends hold a shard."""
        holders: dict[int, str] = {}
        for backend in self.backends.values():
            for shard in backend.held:
                if backend.holds(shard, self.now):
                    if shard in holders:
                        raise OwnerViolation(
                            f"shard {shard} is held by {holders[shard]} and {backend.id} at {self.now:.2f}"
                        )
                    holders[shard] = backend.id

    def held_share(self) -> float:
        """Return the share of shards that some running backend holds."""
        held = {s for b in self.backends.values() for s in b.held if b.holds(s, self.now) and not b.is_frozen}
        return len(held) / SHARDS

    def loads(self) -> list[int]:
        """Return how many shards each backend that stays holds."""
        return [len(b.held) for b in self.backends.values() if not b.is_leaving and not b.is_frozen]


def keys_of(shard: int) -> tuple[int, int]:
    return shard * KEYS_PER_SHARD, (shard + 1) * KEYS_PER_SHARD - 1
