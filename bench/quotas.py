"""The same load on 11 to 1,000 proxies: what the quotas admit, and what they cost.

    python -m bench.quotas [--quick] [--json FILE|-]

A model (ivymux/simulation/quota_sharing.py) of all proxies' decisions, one holder and the tenants.  It uses
no clock and no socket, so a run gives the same figures on every machine.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from bench.common import argument_parser, summarize, write_report
from ivymux.simulation.event_queue import START_TIME
from ivymux.simulation.quota_sharing import DistributedQuotaSimulation, QuotaSimulation, Tenant, quota_plan

PROXY_COUNTS = (11, 85, 300, 1000)
DURATION_S = 15.0
# By tenant: its rate per second, which is also its burst, and the share of the rate that it uses.
TENANTS = (
    (198.0, 0.6),
    (66.0, 0.8),
    (20.0, 0.6),
    (8.0, 0.6),
    (2.0, 0.5),
)
FLOODING_TENANT = 1  # index of the tenant that sends nine times its usual rate during a flood
FLOOD_S = (5.0, 10.0)  # start and end of the flood


def make_tenants(flood: bool) -> list[Tenant]:
    def request_rate(rate: float, fraction: float, floods: bool) -> Any:
        return lambda second: rate * fraction * (9.0 if floods and FLOOD_S[0] <= second < FLOOD_S[1] else 1.0)

    return [
        Tenant(quota_plan(f"t{n}", rate, rate), request_rate(rate, fraction, flood and n == FLOODING_TENANT))
        for n, (rate, fraction) in enumerate(TENANTS)
    ]


def used_headroom(tenant: Tenant) -> float:
    """The fraction that was used, in the worst 5 s, of what the quota rule allows beyond the quota."""
    quota = 5 * tenant.plan.rate + tenant.plan.burst
    return (tenant.max_sent_within(5.0) - quota) / (tenant.allowed_within_window() - quota)


def constant_rate(rate: float, fraction: float) -> Callable[[float], float]:
    return lambda second: rate * fraction


def refused_after_partition(case: tuple[float, float, int]) -> float:
    """Partitions two of eight proxies for 8 s; returns the refused share of requests in the next 4 s."""
    rate, fraction, seed = case
    simulation = DistributedQuotaSimulation(
        8, [Tenant(quota_plan(f"t{n}", rate, rate), constant_rate(rate, fraction)) for n in range(8)], seed
    )
    partitioned_at = 3.0 + 1.1 * seed
    for proxy in (2 * seed % 8, (2 * seed + 1) % 8):
        simulation.schedule_at(
            START_TIME + partitioned_at,
            lambda proxy=proxy: simulation.partition(proxy),  # type: ignore[misc]
        )
        simulation.schedule_at(
            START_TIME + partitioned_at + 8.0,
            lambda proxy=proxy: simulation.reconnect(proxy),  # type: ignore[misc]
        )
    simulation.run_until(partitioned_at + 14.0)
    return sum(
        tenant.failed_share(partitioned_at + 8.0, partitioned_at + 12.0) for tenant in simulation.tenants
    ) / len(simulation.tenants)


def used_under_partitions(seed: int) -> float:
    """Partitions proxies repeatedly while two of eight tenants flood; returns the highest used headroom."""
    rng = random.Random(seed)
    request_rates = [constant_rate(33.0, 9.0), constant_rate(33.0, 0.7)]
    tenants = [Tenant(quota_plan(f"t{n}", 33.0, 33.0), request_rates[n >= 2]) for n in range(8)]
    simulation = DistributedQuotaSimulation(rng.choice((6, 11, 16)), tenants, seed)
    for _ in range(rng.randint(1, 4)):
        proxy, partitioned_at = rng.randrange(len(simulation.ids)), rng.uniform(3.0, 12.0)
        for _ in range(rng.randint(1, 3)):
            reconnected_at = partitioned_at + rng.uniform(0.05, 6.0)
            simulation.schedule_at(
                START_TIME + partitioned_at,
                lambda proxy=proxy: simulation.partition(proxy),  # type: ignore[misc]
            )
            simulation.schedule_at(
                START_TIME + reconnected_at,
                lambda proxy=proxy: simulation.reconnect(proxy),  # type: ignore[misc]
            )
            partitioned_at = reconnected_at + rng.uniform(0.05, 4.0)
    simulation.run_until(28.0)
    return max(used_headroom(tenant) for tenant in simulation.tenants)


def measure_partitions(quick: bool, figures: dict[str, Any]) -> None:
    """Adds the figures of partitions; raises AssertionError if a quota was exceeded."""
    partition_seeds, schedule_count = (8, 24) if quick else (24, 400)
    with ProcessPoolExecutor() as pool:
        for rate, fraction in ((33.0, 0.62), (33.0, 0.9), (66.0, 0.8), (198.0, 0.7)):
            refused = list(
                pool.map(refused_after_partition, [(rate, fraction, seed) for seed in range(partition_seeds)])
            )
            name = f"two of 8 doors back from a cut, tenants at {fraction} of {rate:.0f}/s: refused in 4 s"
            figures[name] = summarize(refused, "of requests")
        used_fractions = list(pool.map(used_under_partitions, range(schedule_count)))
    figures["random cuts with floods: used of what the rule leaves"] = summarize(used_fractions, "part")
    violating_seeds = [seed for seed, fraction in enumerate(used_fractions) if fraction > 1]
    if violating_seeds:
        raise AssertionError(f"a quota was exceeded with random partitions of seeds {violating_seeds}")


def main() -> None:
    args = argument_parser("quotas").parse_args()
    proxy_counts, seeds, duration_s = (
        (PROXY_COUNTS[:3], (1,), 11.0) if args.quick else (PROXY_COUNTS, (1, 2, 3), DURATION_S)
    )
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    for count in proxy_counts:
        calls: list[float] = []
        refused: list[float] = []
        worst_used: list[float] = []
        lost_counts_used: list[float] = []
        for seed in seeds:
            for fault in ("", "flood", "lost counts"):
                simulation = QuotaSimulation(count, make_tenants(fault != ""), seed)
                if fault == "lost counts":
                    simulation.schedule_at(START_TIME + 6.0, simulation.lose_counts)
                simulation.run_until(duration_s)
                highest_used = max(used_headroom(tenant) for tenant in simulation.tenants)
                if highest_used > 1:
                    raise AssertionError(f"{count} doors, seed {seed}, {fault}: a quota was exceeded")
                (lost_counts_used if fault == "lost counts" else worst_used).append(highest_used)
                if not fault:
                    requested = sum(tenant.requested for tenant in simulation.tenants)
                    calls.append(simulation.counter_calls.total() / requested)
                    refused.append(sum(tenant.failed for tenant in simulation.tenants) / requested)
                others = [tenant for n, tenant in enumerate(simulation.tenants) if n != FLOODING_TENANT]
                refused_share = sum(tenant.failed for tenant in others) / sum(
                    tenant.requested for tenant in others
                )
                ratios[f"{count} doors, seed {seed}, {fault or 'calm'}: others refused in their quota"] = (
                    refused_share
                )
        figures[f"{count} doors: calls to holders for each request"] = summarize(calls, "calls")
        figures[f"{count} doors: refused to the end inside quotas, calm"] = summarize(refused, "of requests")
        figures[f"{count} doors: used of what the rule leaves, worst tenant"] = summarize(worst_used, "part")
        figures[f"{count} doors: the same where counts are lost in a flood"] = summarize(
            lost_counts_used, "part"
        )
    measure_partitions(args.quick, figures)
    workload = (
        f"{len(TENANTS)} tenants, {sum(rate * fraction for rate, fraction in TENANTS):.0f} requests a second"
        f", {duration_s:.0f} s"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    main()
