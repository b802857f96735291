"""The same load over 11 to 1,000 doors of the system: what quotas let through, and what that costs.

    python -m bench.quotas [--quick] [--json FILE|-]

A model (ivymux/simulation/quota_sharing.py): all doors' decisions, one holder, tenants; no clock and no
socket, so a run has the same figures on every machine.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from bench.common import argument_parser, summarize, write_report
from ivymux.simulation.event_queue import START_TIME
from ivymux.simulation.quota_sharing import DistributedQuotaSimulation, QuotaSimulation, Tenant, quota_plan

DOORS = (11, 85, 300, 1000)
SECONDS = 15.0
TENANTS = ((198.0, 0.6), (66.0, 0.8), (20.0, 0.6), (8.0, 0.6), (2.0, 0.5))  # rate and burst; part asked for
HOT = 1  # the one that floods, at nine times its usual from FLOOD on
FLOOD = (5.0, 10.0)


def tenants(flood: bool) -> list[Tenant]:
    def asks(rate: float, part: float, hot: bool) -> Any:
        return lambda s: rate * part * (9.0 if hot and FLOOD[0] <= s < FLOOD[1] else 1.0)

    return [
        Tenant(quota_plan(f"t{n}", rate, rate), asks(rate, part, flood and n == HOT))
        for n, (rate, part) in enumerate(TENANTS)
    ]


def used(tenant: Tenant) -> float:
    """Of what the rule leaves beyond the quota, the part that was used in the worst 5 s."""
    whole = 5 * tenant.plan.rate + tenant.plan.burst
    return (tenant.max_sent_within(5.0) - whole) / (tenant.allowed_within_window() - whole)


def at_rate(rate: float, part: float) -> Callable[[float], float]:
    return lambda s: rate * part


def one_cut(case: tuple[float, float, int]) -> float:
    """Two of eight doors are cut off for 8 s: of all requests of the 4 s behind, the part given up."""
    rate, part, seed = case
    made = DistributedQuotaSimulation(
        8, [Tenant(quota_plan(f"t{n}", rate, rate), at_rate(rate, part)) for n in range(8)], seed
    )
    cut = 3.0 + 1.1 * seed
    for door in (2 * seed % 8, (2 * seed + 1) % 8):
        made.schedule_at(START_TIME + cut, lambda door=door: made.partition(door))  # type: ignore[misc]
        made.schedule_at(START_TIME + cut + 8.0, lambda door=door: made.reconnect(door))  # type: ignore[misc]
    made.run_until(cut + 14.0)
    return sum(t.failed_share(cut + 8.0, cut + 12.0) for t in made.tenants) / len(made.tenants)


def many_cuts(seed: int) -> float:
    """Doors cut off again and again while two of eight tenants flood: used of what the rule leaves."""
    chance = random.Random(seed)
    asks = [at_rate(33.0, 9.0), at_rate(33.0, 0.7)]
    tenants = [Tenant(quota_plan(f"t{n}", 33.0, 33.0), asks[n >= 2]) for n in range(8)]
    made = DistributedQuotaSimulation(chance.choice((6, 11, 16)), tenants, seed)
    for _ in range(chance.randint(1, 4)):
        door, at = chance.randrange(len(made.ids)), chance.uniform(3.0, 12.0)
        for _ in range(chance.randint(1, 3)):
            back = at + chance.uniform(0.05, 6.0)
            made.schedule_at(START_TIME + at, lambda door=door: made.partition(door))  # type: ignore[misc]
            made.schedule_at(START_TIME + back, lambda door=door: made.reconnect(door))  # type: ignore[misc]
            at = back + chance.uniform(0.05, 4.0)
    made.run_until(28.0)
    return max(used(t) for t in made.tenants)


def cuts(quick: bool, figures: dict[str, Any]) -> None:
    cut, schedules = (8, 24) if quick else (24, 400)
    with ProcessPoolExecutor() as pool:
        for rate, part in ((33.0, 0.62), (33.0, 0.9), (66.0, 0.8), (198.0, 0.7)):
            refused = list(pool.map(one_cut, [(rate, part, seed) for seed in range(cut)]))
            name = f"two of 8 doors back from a cut, tenants at {part} of {rate:.0f}/s: refused in 4 s"
            figures[name] = summarize(refused, "of requests")
        found = list(pool.map(many_cuts, range(schedules)))
    figures["random cuts with floods: used of what the rule leaves"] = summarize(found, "part")
    broken = [seed for seed, part in enumerate(found) if part > 1]
    if broken:
        raise AssertionError(f"a quota was passed by random cuts of seeds {broken}")


def main() -> None:
    args = argument_parser("quotas").parse_args()
    doors, seeds, seconds = (DOORS[:3], (1,), 11.0) if args.quick else (DOORS, (1, 2, 3), SECONDS)
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    for count in doors:
        calls: list[float] = []
        refused: list[float] = []
        worst: list[float] = []
        lost: list[float] = []
        for seed in seeds:
            for trouble in ("", "flood", "lost counts"):
                made = QuotaSimulation(count, tenants(trouble != ""), seed)
                if trouble == "lost counts":
                    made.schedule_at(START_TIME + 6.0, made.lose_counts)
                made.run_until(seconds)
                most = max(used(t) for t in made.tenants)
                if most > 1:
                    raise AssertionError(f"{count} doors, seed {seed}, {trouble}: a quota was passed")
                (lost if trouble == "lost counts" else worst).append(most)
                if not trouble:
                    asked = sum(t.requested for t in made.tenants)
                    calls.append(made.counter_calls.total() / asked)
                    refused.append(sum(t.failed for t in made.tenants) / asked)
                quiet = [t for n, t in enumerate(made.tenants) if n != HOT]
                given_up = sum(t.failed for t in quiet) / sum(t.requested for t in quiet)
                ratios[f"{count} doors, seed {seed}, {trouble or 'calm'}: others refused in their quota"] = (
                    given_up
                )
        figures[f"{count} doors: calls to holders for each request"] = summarize(calls, "calls")
        figures[f"{count} doors: refused to the end inside quotas, calm"] = summarize(refused, "of requests")
        figures[f"{count} doors: used of what the rule leaves, worst tenant"] = summarize(worst, "part")
        figures[f"{count} doors: the same where counts are lost in a flood"] = summarize(lost, "part")
    cuts(args.quick, figures)
    load = f"{len(TENANTS)} tenants, {sum(r * p for r, p in TENANTS):.0f} requests a second, {seconds:.0f} s"
    write_report(args, load, figures, ratios)


if __name__ == "__main__":
    main()
