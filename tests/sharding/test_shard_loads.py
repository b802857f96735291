"""Costs of shards by the requests that proxies count."""

from __future__ import annotations

import pytest

from ivymux.sharding import SHARDS, ShardingError
from ivymux.sharding.shard_loads import PRIOR_COUNT, WINDOW_S, ShardLoads


def test_without_requests_all_shards_cost_the_same() -> None:
    assert ShardLoads().costs() == [1.0] * SHARDS


def test_a_hot_shard_costs_more_and_a_few_requests_do_not_make_one() -> None:
    loads = ShardLoads()
    loads.add([(7, 1000), (8, 2)], 1.0)
    costs = loads.costs()
    assert costs[7] > 100 and costs[8] < 2 * costs[9]
    assert sum(costs) == pytest.approx(SHARDS)


def test_counts_fade() -> None:
    loads = ShardLoads()
    loads.add([(7, 1000)], 1.0)
    loads.add([], 1.0 + 3 * WINDOW_S)
    assert loads.counts[7] == pytest.approx(1000 * 2.718281828**-3)
    loads.add([(7, 1)], 0.0)  # an earlier time
    assert loads.counts[7] < 100 and loads.costs()[7] > 1 + 1 / PRIOR_COUNT


@pytest.mark.parametrize("counts", [[(SHARDS, 1)], [(-1, 1)], [(0, -1)]])
def test_a_malformed_report_is_refused(counts: list[tuple[int, int]]) -> None:
    with pytest.raises(ShardingError):
        ShardLoads().add(counts, 1.0)
