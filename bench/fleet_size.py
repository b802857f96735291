"""The same load on 4 to 800 gateways: what is served within the quotas, and what it costs.

    python -m bench.fleet_size [--quick] [--json FILE|-] [--svg FILE]

Simulates the decision modules of all gateways in one process, with models of workers, customers and a counter
(standins/fleet.py).  It uses no clock and no socket, so a run gives the same figures on every machine.  --svg
needs the project's extra "bench".
"""

from __future__ import annotations

import statistics
from typing import Any

from bench.common import argument_parser, summarize, write_report
from standins.fleet import FleetResult, FleetSimulation, quantile

GATEWAY_COUNTS = (4, 16, 64, 200, 800)
COUNTER_CALLS_PER_S = 1400.0  # capacity of the counter
SEEDS = (1, 2, 3)
DURATION_S = 20.0


def figures_of(played: FleetResult, duration_s: float) -> dict[str, float]:
    """The figures of one run; raises AssertionError if hardly any requests were sent or served."""
    if played.served == 0 or played.offered < 100 * duration_s:
        raise AssertionError("hardly any requests were sent or served: the figures would be meaningless")
    refused = max(1, played.refused.total())
    calls = sum(played.calls[kind] for kind in ("add", "take off", "look"))
    figures = {
        "served inside the quotas": played.served / played.offered,
        "units sent on beyond quotas": played.beyond_quota / played.sent,
        "tries refused with a unit in the store": played.refused_within_quota.total() / played.tries,
        "tries refused with half of the store": played.refused_with_half_bucket / played.tries,
        "calls for each try": calls / played.tries,
        "calls without an answer": played.calls["unanswered"] / max(1, calls),
        "connections opened for each request sent on": played.connections / played.sent,
    }
    figures |= {
        f"of the refusals: {reason}": count / refused for reason, count in sorted(played.refused.items())
    }
    for plan, (offered, served) in played.by_plan.items():
        figures[f"served inside the quotas, {plan}"] = served / max(1, offered)
    return figures


def draw_svg(path: str, table: dict[int, dict[str, float]]) -> None:
    """Draws the shares by number of gateways as SVG."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    names = [
        name
        for name in next(iter(table.values()))
        if name.startswith(("served", "units", "tries", "calls for"))
    ]
    plot, axes = pyplot.subplots(figsize=(8, 5))
    for name in names:
        axes.plot(list(table), [row.get(name, 0.0) for row in table.values()], marker="o", label=name)
    axes.set_xscale("log")
    axes.set_xticks(list(table), [str(gateways) for gateways in table])
    axes.set_xlabel("gateways, the same total load")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)
    plot.savefig(path)


def main() -> None:
    parser = argument_parser("fleet_size")
    parser.add_argument("--svg", metavar="FILE", help="draw the shares to FILE")
    args = parser.parse_args()
    gateway_counts = (4, 64, 200) if args.quick else GATEWAY_COUNTS
    seeds, duration_s = (SEEDS[:1], 8.0) if args.quick else (SEEDS, DURATION_S)
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    table: dict[int, dict[str, float]] = {}
    for count in gateway_counts:
        runs = [
            FleetSimulation(count, seed, counter_rate=COUNTER_CALLS_PER_S).run(duration_s) for seed in seeds
        ]
        rows = [figures_of(played, duration_s) for played in runs]
        table[count] = {
            name: statistics.median(row.get(name, 0.0) for row in rows)
            for name in sorted({name for row in rows for name in row})
        }
        ratios |= {f"{count} front doors: {name}": value for name, value in table[count].items()}
        lowest_levels = [played.min_ceiling_level for played in runs]
        if min(lowest_levels) < 0:
            raise AssertionError(f"{count} gateways: a customer exceeded its upper bound")
        figures[f"{count} front doors: least that a ceiling's store of 33 held"] = summarize(
            lowest_levels, "units"
        )
        for fraction in (0.5, 0.99):
            waits_ms = [1000 * quantile(played.waits, fraction) for played in runs]
            figures[f"{count} front doors: until the first attempt, p{round(100 * fraction)}"] = summarize(
                waits_ms, "ms"
            )
    if args.svg:
        draw_svg(args.svg, table)
    workload = (
        f"783 customers, {duration_s:.0f} s, a counter of {COUNTER_CALLS_PER_S:.0f} calls a second, "
        f"seeds {seeds}"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    main()
