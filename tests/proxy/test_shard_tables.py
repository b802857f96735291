"""The holders of shards as proxies learn them: changes in order, whole tables, malformed messages."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.proxy.shard_tables import ShardTables
from ivymux.registry.shard_updates import shard_message
from ivymux.sharding import KEYS, SETTING_PREFIX, SHARDS
from ivymux.sharding.shard_table import ShardHolder, ShardTable

NAME = SETTING_PREFIX + "archive"
FIRST = ShardTable((ShardHolder("a", 1),) * SHARDS)
SECOND = ShardTable((ShardHolder("b", 2), *FIRST.holders[1:]))


def apply(tables: ShardTables, message: dict[str, Any]) -> bool:
    return tables.apply(message["s"], message["f"], message["v"], message["c"])


def test_changes_apply_to_the_version_before_them_alone() -> None:
    tables = ShardTables()
    change = shard_message(NAME, 2, SECOND.encode(), (1, FIRST.encode()))
    assert change["c"] == {"b": [0]}
    assert not apply(tables, change)  # the first version is missing
    assert apply(tables, shard_message(NAME, 1, FIRST.encode()))
    assert apply(tables, change) and apply(tables, change)
    assert tables.holder("archive", b"0") == "b" and tables.holder("archive", str(KEYS - 1).encode()) == "a"
    assert apply(tables, shard_message(NAME, 1, FIRST.encode()))  # a registry that is behind changes nothing
    assert tables.holder("archive", b"0") == "b"


def test_a_change_after_a_gap_asks_for_the_whole_table() -> None:
    tables = ShardTables()
    assert apply(tables, shard_message(NAME, 1, FIRST.encode()))
    assert not apply(tables, shard_message(NAME, 3, SECOND.encode(), (2, FIRST.encode())))
    assert tables.holder("archive", b"0") == "a"
    assert apply(tables, shard_message(NAME, 3, SECOND.encode()))
    assert tables.holder("archive", b"0") == "b"


@pytest.mark.parametrize("key", [b"", b"-1", b"65536", b"x", b"1.0", b"000001", "٣".encode()])
def test_a_malformed_key_has_no_holder(key: bytes) -> None:
    assert ShardTables().holder("archive", key) is None


def test_an_unknown_service_has_no_holder_yet() -> None:
    assert ShardTables().holder("archive", b"7") == ""


@pytest.mark.parametrize("changes", [{"a": [SHARDS]}, {"a": [-1]}, {"a": ["x"]}, {"a": None}])
def test_a_malformed_change_is_refused(changes: Any) -> None:
    tables = ShardTables()
    with pytest.raises((TypeError, ValueError)):
        tables.apply("archive", -1, 1, changes)
    assert tables.holder("archive", b"0") == ""


def test_requests_are_counted_by_shard_until_they_are_reported() -> None:
    tables = ShardTables()
    apply(tables, shard_message(NAME, 1, FIRST.encode()))
    for key in (b"0", b"1", str(KEYS - 1).encode()):
        tables.count_request("archive", key)
    assert tables.drain_requests() == {"archive": [(0, 2), (SHARDS - 1, 1)]}
    assert tables.drain_requests() == {}
