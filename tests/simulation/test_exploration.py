"""The models find faults that are seeded into the pure parts, and say by which few events."""

from __future__ import annotations

import random

import pytest

from ivymux.simulation.exploration import WORLDS, Find, World, explore, shrink
from ivymux.simulation.seeded_faults import FAULTS

DAYS = {"core": 60, "control": 150, "trials": 40, "quotas": 4, "cuts": 6, "doubts": 40}
MAX_EVENTS = 12


@pytest.mark.parametrize("make", WORLDS)
def test_the_true_parts_keep_their_promises(make: type[World]) -> None:
    world = make()
    assert explore(world, range(1000, 1000 + DAYS[world.name])) is None


@pytest.mark.parametrize("name", FAULTS)
def test_a_seeded_fault_is_found_and_cut_down(name: str) -> None:
    with FAULTS[name]() as world:
        found = explore(world, range(1, 400))
        assert found is not None
        least = shrink(world, found)
        assert len(least.events) <= MAX_EVENTS and world.play(least.events) == least.broken


class Pairs:
    """Breaks where two certain things happen, whatever else does."""

    name = "pairs"

    def draw(self, chance: random.Random) -> tuple[str, ...]:
        return tuple(map(str, range(40)))

    def play(self, events: tuple[str, ...]) -> str:
        return "both" if {"7", "31"} <= set(events) else ""


def test_what_is_left_cannot_lose_one_more() -> None:
    found = explore(Pairs(), [1])
    assert found == Find("pairs", 1, tuple(map(str, range(40))), "both")
    assert shrink(Pairs(), found).events == ("7", "31")
