"""Homes of conversations: the same at every door, bounded, and few move when a backend comes or goes."""

from __future__ import annotations

from collections import Counter

import pytest

from ivymux.idempotency.affinity import BUCKETS, ROOM, Homes, bucket


def table(count: int, capacity: int = 2, without: str = "") -> list[str]:
    homes = Homes()
    homes.set("s", {f"i-{n}": capacity for n in range(count) if f"i-{n}" != without})
    return [homes.home("s", at) for at in range(BUCKETS)]


def test_every_door_has_the_same_whatever_it_heard_first() -> None:
    one, other = Homes(), Homes()
    one.set("s", {"a": 2, "b": 2, "c": 4})
    other.set("s", {"z": 2})
    assert other.home("s", 0) == "z"
    other.set("s", {"c": 4, "b": 2, "a": 2})
    assert [one.home("s", n) for n in range(BUCKETS)] == [other.home("s", n) for n in range(BUCKETS)]
    assert one.home("none", 0) == ""


@pytest.mark.parametrize("count", [3, 8, 30, 64])
def test_no_backend_has_more_than_its_part_and_a_quarter(count: int) -> None:
    used = Counter(table(count))
    assert max(used.values()) <= ROOM * BUCKETS / count + 1 and len(used) == count
    uneven = Homes()
    uneven.set("s", {"small": 1, "large": 3})
    large = sum(uneven.home("s", n) == "large" for n in range(BUCKETS)) / BUCKETS
    assert 0.65 < large < 0.85


@pytest.mark.parametrize("count", [8, 30, 64])
def test_a_backend_that_comes_or_goes_moves_its_own_part(count: int) -> None:
    """Beside its own, what the bound on load takes."""
    before = table(count)
    more = sum(a != b for a, b in zip(before, table(count + 1), strict=True))
    assert more <= 1.6 * BUCKETS / (count + 1)
    less = table(count, without="i-0")
    moved = sum(a != b for a, b in zip(before, less, strict=True) if a != "i-0")
    assert moved <= 0.6 * BUCKETS / count


def test_a_tenants_conversations_are_spread() -> None:
    homes = table(8)
    used = Counter(homes[bucket("one partner", f"c-{n}")] for n in range(400))
    assert max(used.values()) < 0.25 * 400
