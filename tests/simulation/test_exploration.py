"""The simulations find no violation in the code, and one for each seeded fault, shrunk to few events."""

from __future__ import annotations

import random

import pytest

from ivymux.simulation.exploration import WORLDS, Finding, World, explore, shrink
from ivymux.simulation.seeded_faults import FAULTS

# Runs of each world without seeded faults.
RUNS = {"core": 60, "control": 150, "trials": 40, "quotas": 4, "cuts": 6, "doubts": 40}
MAX_EVENTS = 12


@pytest.mark.parametrize("make", WORLDS)
def test_the_code_without_seeded_faults_violates_no_guarantee(make: type[World]) -> None:
    world = make()
    assert explore(world, range(1000, 1000 + RUNS[world.name])) is None


@pytest.mark.parametrize("name", FAULTS)
def test_a_seeded_fault_is_found_and_shrunk(name: str) -> None:
    with FAULTS[name]() as world:
        found = explore(world, range(1, 400))
        assert found is not None
        shrunk = shrink(world, found)
        assert len(shrunk.events) <= MAX_EVENTS and world.play(shrunk.events) == shrunk.violation


class Pairs:
    """A world that is violated if two particular events are played."""

    name = "pairs"

    def draw(self, rng: random.Random) -> tuple[str, ...]:
        return tuple(map(str, range(40)))

    def play(self, events: tuple[str, ...]) -> str:
        return "both" if {"7", "31"} <= set(events) else ""


def test_a_shrunk_finding_has_only_the_events_that_it_needs() -> None:
    found = explore(Pairs(), [1])
    assert found == Finding("pairs", 1, tuple(map(str, range(40))), "both")
    assert shrink(Pairs(), found).events == ("7", "31")
