"""Tables of shards as they are stored, and ranges of keys as backends name them."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ivymux.sharding import KEYS, KEYS_PER_SHARD, SHARDS, ShardingError
from ivymux.sharding.shard_table import (
    KeyRow,
    ShardHolder,
    ShardTable,
    parse_rows,
    rows_of,
    shards_touched,
    shards_within,
)


@settings(max_examples=10)
@given(st.lists(st.tuples(st.sampled_from(["", "i-1", "i-é"]), st.integers(0, 1 << 50)), min_size=SHARDS,
                max_size=SHARDS))  # fmt: skip
def test_a_table_is_stored_and_read_back(holders: list[tuple[str, int]]) -> None:
    table = ShardTable(tuple(ShardHolder(*holder) for holder in holders))
    assert ShardTable.decode(table.encode()) == table


@pytest.mark.parametrize(
    "text", ["", "{}", '{"backends":[],"shards":[[0,1]]}', '{"backends":["a"],"shards":[]}']
)
def test_a_malformed_table_is_refused(text: str) -> None:
    with pytest.raises(ShardingError):
        ShardTable.decode(text)


def test_neighbours_share_a_row_unless_fence_or_handover_differ() -> None:
    rows = rows_of([(0, 3, ""), (1, 3, ""), (2, 4, ""), (3, 4, "code"), (5, 4, "")])
    width = KEYS_PER_SHARD
    assert rows == [
        KeyRow(0, 2 * width - 1, 3), KeyRow(2 * width, 3 * width - 1, 4),
        KeyRow(3 * width, 4 * width - 1, 4, "code"), KeyRow(5 * width, 6 * width - 1, 4),
    ]  # fmt: skip


def test_a_part_of_a_shard_is_touched_and_not_within() -> None:
    assert list(shards_within(1, 3 * KEYS_PER_SHARD)) == [1, 2]
    assert list(shards_touched(1, 3 * KEYS_PER_SHARD)) == [0, 1, 2, 3]
    assert list(shards_within(0, KEYS - 1)) == list(range(SHARDS))


@pytest.mark.parametrize(
    "rows", [{}, [[0, 1]], [[1, 0, 1]], [[0, KEYS, 1]], [[True, 3, 1]], [["0", 3, 1]], [7]]
)
def test_malformed_rows_are_refused(rows: Any) -> None:
    with pytest.raises(ShardingError):
        parse_rows(rows)
