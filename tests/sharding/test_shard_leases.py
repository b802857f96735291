"""The primary's leases of shards: first grants, moves, takeovers, tables that are being stored."""

from __future__ import annotations

from ivymux.sharding import KEYS, KEYS_PER_SHARD, SHARDS
from ivymux.sharding.shard_leases import (
    FIRST_SETTLE_S,
    MAX_RELEASE_DELAY_S,
    MAX_ROWS,
    HolderCall,
    ShardLeases,
)
from ivymux.sharding.shard_table import KeyRow, ShardHolder, ShardTable, shards_within

LEASE_S, HEARTBEAT_S = 4.0, 1.5
ALL_KEYS = KEYS - 1


class Service:
    """Leases and the calls of their backends, which report what they were granted last."""

    def __init__(self, table: ShardTable | None = None, now: float = 0.0) -> None:
        self.leases, self.now = ShardLeases(table or ShardTable(), LEASE_S, HEARTBEAT_S, now), now
        self.rows: dict[str, list[KeyRow]] = {}
        self.seq = 0

    def call(
        self, id: str, now: float, released: tuple[tuple[int, int, str], ...] = (), is_leaving: bool = False
    ) -> set[int]:
        """Let a backend call; return the shards that it is to hold."""
        self.seq += 1
        held = [(row.first, row.last, row.fence) for row in self.rows.get(id, [])]
        call = HolderCall(id, f"{id}:80", 2, is_leaving, self.seq, held, list(released))
        rows = self.leases.on_call(call, now)
        assert rows is not None
        self.rows[id] = rows
        return {shard for row in rows for shard in shards_within(row.first, row.last)}

    def store(self, now: float) -> bool:
        """Store the next table; return whether there was one."""
        table = self.leases.propose_table(now)
        if table is not None:
            self.leases.on_stored(table)
        return table is not None


def table_of(id: str, fence: int = 1) -> ShardTable:
    return ShardTable((ShardHolder(id, fence),) * SHARDS)


def test_all_shards_are_granted_once_the_first_backends_are_known() -> None:
    service = Service()
    assert not service.call("a", 0.0) and not service.call("b", 0.5) and not service.store(1.0)
    assert service.store(FIRST_SETTLE_S + 0.1)
    first, second = service.call("a", 3.2), service.call("b", 3.3)
    assert first | second == set(range(SHARDS)) and not first & second
    assert service.call("a", 4.7) == first  # a renewal
    assert service.leases.table.highest_fence() == 1


def test_a_crashed_backends_shards_are_moved_when_its_lease_has_ended_and_not_before() -> None:
    service = Service(table_of("a"))
    service.call("a", 0.0)
    end = service.leases.lease_bound_s()
    assert end > 1.02 * LEASE_S  # a backend's clock may be 2% slow
    for now in (1.0, 2.5, 4.0):
        assert not service.call("b", now) and not service.store(now)
    assert not service.store(end - 0.01)
    service.call("b", end + 1.0)
    assert service.store(end + 1.1)
    assert service.call("b", end + 1.2) == set(range(SHARDS))
    assert service.rows["b"][0].fence == 2


def test_a_backend_that_leaves_hands_over_what_it_has_released() -> None:
    service = Service(table_of("a"))
    for now in (0.0, 1.5, 3.0, 4.5):
        service.call("a", now)
        service.call("b", now + 0.1)
    while service.call("a", now := now + 1.5) == set(range(SHARDS)):
        service.call("b", now + 0.1)
    assert not service.call("a", now + 1.5, is_leaving=True)
    assert not service.store(now + 1.6)  # it has let go nothing yet
    assert not service.call("a", now + 1.8, ((0, ALL_KEYS, "code"),), is_leaving=True)
    assert service.store(now + 1.9)
    service.call("b", now + 2.0)
    assert service.rows["b"] == [
        KeyRow(shard * KEYS_PER_SHARD, (shard + 1) * KEYS_PER_SHARD - 1, 2, "code") for shard in range(SHARDS)
    ]
    service.call("b", now + 3.5)  # it has confirmed them
    assert service.rows["b"] == [KeyRow(0, ALL_KEYS, 2)]


# Guards against two holders after a takeover: the former primary may have renewed a lease at its very end.
def test_a_new_primary_counts_all_leases_from_its_start() -> None:
    service = Service(table_of("a"), now=100.0)
    for now in (100.1, 101.6, 103.1, 104.1):
        assert not service.call("b", now) and not service.store(now)
    service.call("b", 100.0 + service.leases.lease_bound_s() + 0.1)
    assert service.store(104.4)


# Guards against two holders where a backend calls again while its shards are given away on the disks.
def test_a_backend_is_not_granted_what_a_proposed_table_gives_to_another() -> None:
    service = Service(table_of("a"))
    service.call("a", 0.0)
    service.call("b", 5.0)
    table = service.leases.propose_table(5.1)
    assert table is not None and table.holders[0].backend == "b"
    assert not service.call("a", 5.2)
    assert not service.call("b", 5.25)  # nothing is granted that is not stored
    assert service.leases.propose_table(5.3) is table  # the first attempt to store it may have succeeded
    service.leases.on_stored(table)
    assert service.call("b", 5.4) == set(range(SHARDS))


def test_a_late_call_changes_nothing() -> None:
    service = Service(table_of("a"))
    service.call("a", 0.0)
    late = HolderCall("a", "a:80", 2, False, service.seq - 1, [], [(0, ALL_KEYS, "code")])
    assert service.leases.on_call(late, 0.5) is None
    assert not any(lease.is_released for lease in service.leases.leases)


def test_a_repeated_call_is_granted_the_same_and_releases_nothing() -> None:
    service = Service(table_of("a"))
    granted = service.call("a", 0.0)
    repeated = HolderCall("a", "a:80", 2, False, service.seq, [], [(0, ALL_KEYS, "code")])
    rows = service.leases.on_call(repeated, 0.5)
    assert rows is not None and {s for row in rows for s in shards_within(row.first, row.last)} == granted
    assert not any(lease.is_released for lease in service.leases.leases)


def test_a_backend_that_was_just_added_is_filled_in_steps() -> None:
    service = Service(table_of("a"))
    now, held = 0.0, set(range(SHARDS))
    for _ in range(4):
        service.call("a", now)
        service.call("b", now + 0.5)
        now += HEARTBEAT_S
    steps = 0
    while len(service.call("b", now + 0.5)) < 0.7 * SHARDS / 2 and steps < 100:
        now += HEARTBEAT_S
        before, held = held, service.call("a", now)
        if gone := before - held:
            assert len(gone) <= 32
            width = KEYS_PER_SHARD
            service.call("a", now + 0.1, tuple((s * width, (s + 1) * width - 1, "c") for s in gone))
        service.store(now + 0.2)
        steps += 1
    assert steps < 20 and MAX_RELEASE_DELAY_S > HEARTBEAT_S


def test_a_backends_shards_get_a_common_fence_if_they_need_too_many_rows() -> None:
    holders = tuple(ShardHolder("a", 1 + shard % 2) for shard in range(SHARDS))
    service = Service(ShardTable(holders))
    service.call("a", 0.0)
    assert len(service.rows["a"]) > MAX_ROWS
    assert service.store(0.1)
    assert service.call("a", 1.5) == set(range(SHARDS)) and service.rows["a"] == [KeyRow(0, ALL_KEYS, 3)]
