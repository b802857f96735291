"""The control side at many seeds: departures, two operators, slow and hanging disks; how long ends take.

    python -m bench.control [--quick] [--runs N] [--jobs N] [--json FILE|-]

A model (ivymux/simulation/loss_scenarios.py) in simulated time, cores of 3 to 5 machines, 20 delays from 0 to
6 s. A broken promise ends the run with the case that plays it again.
"""

from __future__ import annotations

import itertools
import multiprocessing
from collections.abc import Callable
from typing import Any

from bench.common import argument_parser, summarize, write_report
from ivymux.simulation.core_cluster import CoreCluster, GuaranteeViolation
from ivymux.simulation.loss_scenarios import (
    CATCH_UP_S,
    ROLES,
    departure,
    hanging_backup,
    planned_exit,
    slow_repair,
    two_operators,
)

RUNS, QUICK = 1000, 60
COUNTS = (3, 4, 5)
DELAYS = tuple(round(6.0 * n / 19, 3) for n in range(20))  # seconds
COMMITS = (0.3, 2.0)  # seconds of a commit on a slow disk
ENDS = 100
Case = tuple[str, tuple[Any, ...]]
PLAYS: dict[str, Callable[..., CoreCluster]] = {
    "departure": departure,
    "two operators": two_operators,
    "slow repair": slow_repair,
    "hanging backup": lambda *case: hanging_backup(*case)[0],
}


def cases(runs: int) -> list[Case]:
    """So many of each kind and size, over all delays and roles in turn."""
    made: list[Case] = []
    pairs = list(itertools.permutations(ROLES, 2))
    for count, seed in itertools.product(COUNTS, range(runs)):
        delay = DELAYS[seed % len(DELAYS)]
        role, victim = pairs[seed // len(DELAYS) % len(pairs)]
        made.append(("departure", (seed, count, role, victim, delay)))
        made.append(("two operators", (seed, count, delay / 60)))  # around the time that a change takes
        made.append(("hanging backup", (seed, count, delay, victim)))
        made.append(("slow repair", (seed, count, COMMITS[seed // len(DELAYS) % 2], CATCH_UP_S + delay)))
    return made


def broken(case: Case) -> str:
    kind, arguments = case
    try:
        PLAYS[kind](*arguments)
    except GuaranteeViolation as error:
        return f"{kind}{arguments}: {error}"
    return ""


def end(case: tuple[int, int, str]) -> tuple[float, float]:
    return planned_exit(*case)


def hang(case: tuple[int, int, float]) -> float:
    return hanging_backup(*case)[1]


def main() -> None:
    arguments = argument_parser("control")
    arguments.add_argument("--runs", type=int, default=0)
    arguments.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    args = arguments.parse_args()
    runs = args.runs or (QUICK if args.quick else RUNS)
    figures = {}
    with multiprocessing.Pool(args.jobs) as pool:
        wanted = cases(runs)
        for found in pool.imap_unordered(broken, wanted, chunksize=20):
            if found:
                raise AssertionError(found)
        for kind in PLAYS:
            played = sum(case[0] == kind for case in wanted)
            figures[f"{kind}: runs in 3, 4 and 5 machines, none broken"] = summarize([played], "runs")
        ends = QUICK if args.quick else ENDS
        waits = pool.map(hang, [(seed, COUNTS[seed % 3], 0.0) for seed in range(ends)])
        figures["a change while the backup's disk hangs"] = summarize(waits, "s")
        for role in ROLES:
            took = pool.map(end, [(seed, COUNTS[seed % 3], role) for seed in range(ends)])
            figures[f"planned end of the {role}, until its process ends"] = summarize(
                [t for t, _ in took], "s"
            )
            figures[f"planned end of the {role}, longest that a change waits"] = summarize(
                [w for _, w in took], "s"
            )
    write_report(args, f"{runs} runs of each kind and size", figures, {})


if __name__ == "__main__":
    main()
