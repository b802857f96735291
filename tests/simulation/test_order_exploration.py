"""Every order of messages, commits and losses in small cores; faults that only some orders show."""

from __future__ import annotations

import pytest

from ivymux.config_store.replica import Replica
from ivymux.simulation.order_exploration import (
    Budget,
    OrderViolation,
    ReplicaFactory,
    before_takeover,
    explore_orders,
    is_whole,
    whole_core,
)
from ivymux.simulation.seeded_faults import (
    AcknowledgesAfterOneDisk,
    AcknowledgesBeforeOwnDisk,
    SkipsBackupWrites,
)


def test_no_order_of_a_change_a_lost_disk_and_a_restart_loses_what_was_acknowledged() -> None:
    world = whole_core(3)
    world.budget = Budget(change=1, wipe=1, restart=1)
    found = explore_orders(world, max_states=2000, finishes=True)
    assert found.is_complete and found.states > 200
    assert found.acknowledged == 1 and 0 < found.served_states < found.states


def test_no_order_of_a_takeover_has_two_primaries_or_loses_a_change() -> None:
    world = before_takeover(3)
    assert world.acknowledged == 1 and not world.primaries()
    world.budget = Budget(tick=1)
    found = explore_orders(world, max_states=2000, finishes=True)
    assert found.is_complete and found.states > 50 and found.served_states


@pytest.mark.parametrize("replica", [AcknowledgesAfterOneDisk, AcknowledgesBeforeOwnDisk, SkipsBackupWrites])
def test_an_order_that_loses_an_acknowledged_change_is_found(replica: ReplicaFactory) -> None:
    world = whole_core(3, replica)
    world.budget = Budget(change=1, wipe=1, restart=1)
    with pytest.raises(OrderViolation, match=r"serves version -1 after version 1.*wipe:"):
        explore_orders(world, max_states=2000, finishes=True)


def test_an_exploration_that_is_cut_short_says_so() -> None:
    world = whole_core(3)
    world.budget = Budget(change=1, wipe=1)
    assert not explore_orders(world, max_states=20).is_complete


def test_the_budget_never_takes_more_disks_than_may_be_lost() -> None:
    world = whole_core(5, Replica, backup_count=2)
    assert is_whole(world)
    world.budget = Budget(wipe=3)
    for _ in range(2):
        step = next(step for step in world.steps() if step.kind == "wipe")
        world.apply(step)
    assert all(step.kind != "wipe" for step in world.steps())
