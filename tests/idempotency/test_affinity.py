"""Home backends of conversations: equal at every proxy, bounded load, few moves when the backends change."""

from __future__ import annotations

from collections import Counter

import pytest

from ivymux.idempotency.affinity import BUCKET_COUNT, MAX_LOAD_FACTOR, HomeBackends, bucket_of


def table(count: int, capacity: int = 2, without: str = "") -> list[str]:
    homes = HomeBackends()
    homes.set_backends("s", {f"i-{n}": capacity for n in range(count) if f"i-{n}" != without})
    return [homes.home_backend("s", bucket) for bucket in range(BUCKET_COUNT)]


def test_the_table_depends_on_the_current_backends_alone() -> None:
    one, other = HomeBackends(), HomeBackends()
    one.set_backends("s", {"a": 2, "b": 2, "c": 4})
    other.set_backends("s", {"z": 2})
    assert other.home_backend("s", 0) == "z"
    other.set_backends("s", {"c": 4, "b": 2, "a": 2})
    buckets = range(BUCKET_COUNT)
    assert [one.home_backend("s", n) for n in buckets] == [other.home_backend("s", n) for n in buckets]
    assert one.home_backend("none", 0) == ""


@pytest.mark.parametrize("count", [3, 8, 30, 64])
def test_no_backend_exceeds_its_share_by_more_than_a_quarter(count: int) -> None:
    used = Counter(table(count))
    assert max(used.values()) <= MAX_LOAD_FACTOR * BUCKET_COUNT / count + 1 and len(used) == count
    uneven = HomeBackends()
    uneven.set_backends("s", {"small": 1, "large": 3})
    large = sum(uneven.home_backend("s", n) == "large" for n in range(BUCKET_COUNT)) / BUCKET_COUNT
    assert 0.65 < large < 0.85


@pytest.mark.parametrize("count", [8, 30, 64])
def test_an_added_or_removed_backend_moves_little_more_than_its_share(count: int) -> None:
    """The bound on load moves some buckets beside those of the backend itself."""
    before = table(count)
    added = sum(a != b for a, b in zip(before, table(count + 1), strict=True))
    assert added <= 1.6 * BUCKET_COUNT / (count + 1)
    fewer = table(count, without="i-0")
    moved = sum(a != b for a, b in zip(before, fewer, strict=True) if a != "i-0")
    assert moved <= 0.6 * BUCKET_COUNT / count


def test_a_tenants_conversations_are_spread_over_the_backends() -> None:
    homes = table(8)
    used = Counter(homes[bucket_of("one partner", f"c-{n}")] for n in range(400))
    assert max(used.values()) < 0.25 * 400
