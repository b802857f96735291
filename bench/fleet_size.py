"""The same load over 4 to 800 front doors: what is served inside the quotas, and what it costs.

    python -m bench.fleet_size [--quick] [--json FILE|-] [--svg FILE]

Simulated: the decision modules of all front doors in one process, with modelled workers, customers and a
counter (standins/fleet.py); no clock and no socket, so a run has the same figures on every machine.  --svg
needs the extra "bench" of the project.
"""

from __future__ import annotations

import statistics
from typing import Any

from bench.common import argument_parser, summarize, write_report
from standins.fleet import Fleet, Played, quantile

DOORS = (4, 16, 64, 200, 800)
BEARS = 1400.0  # calls a second of the counter
SEEDS = (1, 2, 3)
SECONDS = 20.0


def figures_of(played: Played, seconds: float) -> dict[str, float]:
    if played.served == 0 or played.offered < 100 * seconds:
        raise AssertionError("next to nothing was asked or served: the figures would mean nothing")
    refused = max(1, played.refused.total())
    calls = sum(played.calls[kind] for kind in ("add", "take off", "look"))
    found = {
        "served inside the quotas": played.served / played.offered,
        "units sent on beyond quotas": played.beyond / played.all_sent,
        "tries refused with a unit in the store": played.inside.total() / played.tries,
        "tries refused with half of the store": played.half / played.tries,
        "calls for each try": calls / played.tries,
        "calls without an answer": played.calls["unanswered"] / max(1, calls),
        "connections opened for each request sent on": played.connections / played.all_sent,
    }
    found |= {f"of the refusals: {why}": count / refused for why, count in sorted(played.refused.items())}
    for plan, (offered, served) in played.plans.items():
        found[f"served inside the quotas, {plan}"] = served / max(1, offered)
    return found


def draw(path: str, table: dict[int, dict[str, float]]) -> None:
    """Shares against front doors, as SVG."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    names = [n for n in next(iter(table.values())) if n.startswith(("served", "units", "tries", "calls for"))]
    canvas, axes = pyplot.subplots(figsize=(8, 5))
    for name in names:
        axes.plot(list(table), [row.get(name, 0.0) for row in table.values()], marker="o", label=name)
    axes.set_xscale("log")
    axes.set_xticks(list(table), [str(doors) for doors in table])
    axes.set_xlabel("front doors, the same load in all")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)
    canvas.savefig(path)


def main() -> None:
    told = argument_parser("fleet_size")
    told.add_argument("--svg", metavar="FILE", help="draw the shares there")
    args = told.parse_args()
    doors = (4, 64, 200) if args.quick else DOORS
    seeds, seconds = (SEEDS[:1], 8.0) if args.quick else (SEEDS, SECONDS)
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    table: dict[int, dict[str, float]] = {}
    for count in doors:
        runs = [Fleet(count, seed, bears=BEARS).run(seconds) for seed in seeds]
        rows = [figures_of(played, seconds) for played in runs]
        table[count] = {
            name: statistics.median(row.get(name, 0.0) for row in rows)
            for name in sorted({name for row in rows for name in row})
        }
        ratios |= {f"{count} front doors: {name}": value for name, value in table[count].items()}
        least = [played.ceiling for played in runs]
        if min(least) < 0:
            raise AssertionError(f"{count} front doors: a ceiling was passed")
        figures[f"{count} front doors: least that a ceiling's store of 33 held"] = summarize(least, "units")
        for part in (0.5, 0.99):
            waits = [1000 * quantile(played.waits, part) for played in runs]
            figures[f"{count} front doors: until the first attempt, p{round(100 * part)}"] = summarize(
                waits, "ms"
            )
    if args.svg:
        draw(args.svg, table)
    load = f"783 customers, {seconds:.0f} s, a counter of {BEARS:.0f} calls a second, seeds {seeds}"
    write_report(args, load, figures, ratios)


if __name__ == "__main__":
    main()
