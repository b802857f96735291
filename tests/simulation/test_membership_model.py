"""Proxies send requests to exactly the backends that serve, whatever happened before."""

from __future__ import annotations

import asyncio

import pytest

from ivymux.simulation.membership_model import MembershipModel

RUNS = 60


# Guards against backends that serve and get no requests, crashed ones that get them, and ended ones that are
# kept for good, after calls, links and registries failed in any order.
@pytest.mark.parametrize("first_seed", range(0, 2 * RUNS, RUNS))
def test_requests_go_to_the_backends_that_serve(first_seed: int) -> None:
    async def test() -> None:
        for seed in range(first_seed, first_seed + RUNS):
            assert not MembershipModel(seed).run(), f"seed {seed}"

    asyncio.run(test())
