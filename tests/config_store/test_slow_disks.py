"""Elections on slow disks: how long a core that is whole again is without a primary."""

from __future__ import annotations

import itertools

from ivymux.simulation.core_cluster import CoreCluster
from ivymux.simulation.loss_scenarios import start_members

ACK_BOUND_S = 5.0  # within which a proper order has to be acknowledged
SLOW_COMMIT_S = 0.4  # mean duration of a commit; one takes half to twice as long
CUT_S = 3.5


# Guards against candidates that take turns: while one waits for its own disk, the others hear nothing of it,
# and try a higher number.
def test_a_core_with_slow_disks_has_a_primary_soon_after_a_cut_into_halves() -> None:
    waits_s = [seconds_without_primary(seed) for seed in range(20)]
    assert max(waits_s) <= ACK_BOUND_S, sorted(waits_s)


def seconds_without_primary(seed: int) -> float:
    """Cut a core of four with slow disks into halves; return how long it has no primary after the cut."""
    cluster = CoreCluster(seed, 4)
    start_members(cluster, 4)
    for machine in cluster.machines.values():
        machine.disk.commit_s = SLOW_COMMIT_S
    cluster.run_for(1.0)
    one, other = ("m0", "m1"), ("m2", "m3")
    cluster.cut_links = {link for pair in itertools.product(one, other) for link in (pair, pair[::-1])}
    cluster.run_for(CUT_S)
    cluster.cut_links.clear()
    healed_at = cluster.now
    assert cluster.run_until_led(60.0)
    return cluster.now - healed_at
