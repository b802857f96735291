"""No two backends hold a key, whatever fails; faults seeded into the primary are found."""

from __future__ import annotations

import pytest

from ivymux.sharding.shard_leases import HolderCall, ShardLeases
from ivymux.sharding.shard_table import ShardTable
from ivymux.simulation.shard_model import (
    HEARTBEAT_S,
    LEASE_S,
    MakeLeases,
    OwnerViolation,
    ShardModel,
    make_leases,
)

START_S, FAULTS_S, CALM_S = 12.0, 20.0, 14.0
SEEDS = 8
MAX_SEEDS_TO_FIND = 60


def play(seed: int, make: MakeLeases = make_leases) -> ShardModel:
    model = ShardModel(seed, make)
    model.run(START_S, has_faults=False)
    model.run(FAULTS_S)
    return model


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_key_has_one_holder_and_has_one_again_in_calm_times(seed: int) -> None:
    model = play(seed)
    for backend in model.backends.values():
        backend.is_frozen = False
    model.run(CALM_S, has_faults=False)
    assert model.held_share() > 0.9  # the others are being moved


def test_all_keys_are_held_before_the_first_requests() -> None:
    model = ShardModel(1)
    model.run(START_S, has_faults=False)
    assert model.held_share() == 1.0


class ForgetsFormerLeases(ShardLeases):
    """Takes over as if no leases had been granted before."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.rebalance_at = 0.0
        for lease in self.leases:
            lease.ends_at = self.now


class GrantsWhatIsProposed(ShardLeases):
    """Renews the lease of a shard while a table that gives it away is being stored."""

    def is_proposed_to_other(self, shard: int) -> bool:
        return False


class TrustsCallsWithoutAShard(ShardLeases):
    """Takes a shard that a withheld holder no longer names as released, though it still works on it."""

    def note_released(self, call: HolderCall) -> None:
        super().note_released(call)
        for shard, lease in enumerate(self.leases):
            if lease.is_withheld and self.table.holders[shard].backend == call.id:
                lease.is_released = True


@pytest.mark.parametrize(
    "faulty",
    [
        ForgetsFormerLeases,
        GrantsWhatIsProposed,
        TrustsCallsWithoutAShard,
    ],
)
def test_a_seeded_fault_is_found(faulty: type[ShardLeases]) -> None:
    def make(table: ShardTable, now: float) -> ShardLeases:
        return faulty(table, LEASE_S, HEARTBEAT_S, now)

    with pytest.raises(OwnerViolation):
        for seed in range(MAX_SEEDS_TO_FIND):
            play(seed, make)
