"""Which backend should hold each shard: even loads, and few moves as backends come and go."""

from __future__ import annotations

import itertools
from collections import Counter

import pytest

from ivymux.sharding import SHARDS
from ivymux.sharding.assignment import MAX_LOAD, MIN_LOAD, Candidate, assign

NONE = [""] * SHARDS


def backends(count: int, weight: float = 2) -> list[Candidate]:
    return [Candidate(f"i-{n}", f"10.0.0.{n}:80", weight) for n in range(count)]


def moved(before: list[str], after: list[str]) -> int:
    return sum(a != b for a, b in zip(before, after, strict=True))


@pytest.mark.parametrize("count", [1, 2, 7, 50])
def test_loads_are_bounded(count: int) -> None:
    loads = Counter(assign(NONE, backends(count)))
    fair = SHARDS / count
    assert sum(loads.values()) == SHARDS and len(loads) == count
    assert all(int(MIN_LOAD * fair) <= load <= MAX_LOAD * fair + 1 for load in loads.values())


def test_a_backend_that_comes_takes_its_part_alone() -> None:
    before = assign(NONE, backends(20))
    after = assign(before, backends(21))
    assert MIN_LOAD * SHARDS / 21 - 1 <= moved(before, after) <= SHARDS / 20
    assert {after[shard] for shard in range(SHARDS) if before[shard] != after[shard]} == {"i-20"}


def test_only_the_shards_of_a_backend_that_goes_are_moved() -> None:
    before = assign(NONE, backends(20))
    after = assign(before, backends(19))
    assert moved(before, after) == before.count("i-19")
    assert assign(after, backends(19)) == after


def test_loads_follow_the_capacity() -> None:
    candidates = [*backends(3, weight=1), Candidate("large", "10.0.1.1:80", 3)]
    loads = Counter(assign(NONE, candidates))
    assert loads["large"] >= MIN_LOAD * SHARDS / 2


def test_few_backends_get_few_ranges() -> None:
    holders = assign(NONE, backends(2))
    changes = sum(a != b for a, b in itertools.pairwise(holders))
    assert changes <= 128


def test_without_a_backend_no_shard_has_a_holder() -> None:
    assert assign(["i-1"] * SHARDS, []) == NONE


def test_a_hot_shards_holder_keeps_little_else() -> None:
    before = assign(NONE, backends(20))
    hot = before.index("i-3")
    costs = [1.0] * SHARDS
    costs[hot] = 60.0  # twice a fair share
    after = assign(before, backends(20), costs)
    assert after[hot] == "i-3"  # it would be too much anywhere
    assert after.count("i-3") == 1
    assert all(before[shard] == "i-3" for shard in range(SHARDS) if before[shard] != after[shard])


def test_warm_shards_are_spread_by_their_costs() -> None:
    costs = [4.0 if shard < 64 else 1.0 for shard in range(SHARDS)]
    loads: Counter[str] = Counter()
    for shard, holder in enumerate(assign(NONE, backends(16), costs)):
        loads[holder] += int(costs[shard])
    fair = sum(costs) / 16
    assert all(MIN_LOAD * fair - 4 <= load <= MAX_LOAD * fair + 1 for load in loads.values())
