"""The core under faults with many seeds: departures, lost disks, replacements during cuts, slow disks, exits.

    python -m bench.control [--quick] [--runs N] [--jobs N] [--json FILE|-]

Runs a model (loss_scenarios.py and replacement_scenarios.py in ivymux/simulation) in simulated time, with
cores of 3 to 5 machines and 20 delays from 0 to 6 s, and of up to 12 machines where disks are lost or members
replaced.  A violated guarantee ends the run with the case that reproduces it.
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
    lost_disks,
    planned_exit,
    slow_repair,
    two_operators,
)
from ivymux.simulation.replacement_scenarios import replacement_during_a_cut

FULL_RUNS, QUICK_RUNS = 1000, 60
MACHINE_COUNTS = (3, 4, 5)
# Members, and disks that may be lost at once; an epoch has one copy more.
LOST_DISKS_SIZES = ((3, 1), (4, 1), (5, 2), (7, 2), (7, 3), (12, 2))
REPLACEMENT_SIZES = ((3, 1), (4, 1), (5, 1), (7, 1), (12, 1), (5, 2), (7, 2), (12, 2))
DELAYS_S = tuple(round(6.0 * n / 19, 3) for n in range(20))
SLOW_COMMITS_S = (0.3, 2.0)  # duration of a commit on a slow disk
EXIT_RUNS = 100
Case = tuple[str, tuple[Any, ...]]
SCENARIOS: dict[str, Callable[..., CoreCluster]] = {
    "departure": departure,
    "two operators": two_operators,
    "slow repair": slow_repair,
    "hanging backup": lambda *case: hanging_backup(*case)[0],
    "lost disks": lost_disks,
    "replacement during a cut": lambda seed, count, losses: replacement_during_a_cut(
        seed, count, backup_count=losses
    ),
}


def cases(runs: int) -> list[Case]:
    """`runs` cases of each kind and number of machines, which go through all delays and roles in turn."""
    generated: list[Case] = []
    role_pairs = list(itertools.permutations(ROLES, 2))
    for count, seed in itertools.product(MACHINE_COUNTS, range(runs)):
        delay = DELAYS_S[seed % len(DELAYS_S)]
        role, victim = role_pairs[seed // len(DELAYS_S) % len(role_pairs)]
        generated.append(("departure", (seed, count, role, victim, delay)))
        generated.append(("two operators", (seed, count, delay / 60)))  # around the time that a change takes
        generated.append(("hanging backup", (seed, count, delay, victim)))
        generated.append(
            ("slow repair", (seed, count, SLOW_COMMITS_S[seed // len(DELAYS_S) % 2], CATCH_UP_S + delay))
        )
    for seed in range(runs):
        generated += [("lost disks", (seed, *size)) for size in LOST_DISKS_SIZES]
        generated += [("replacement during a cut", (seed, *size)) for size in REPLACEMENT_SIZES]
    return generated


def violation_of(case: Case) -> str:
    """Runs a case; returns the guarantee that it violates, or an empty string."""
    kind, arguments = case
    try:
        SCENARIOS[kind](*arguments)
    except GuaranteeViolation as error:
        return f"{kind}{arguments}: {error}"
    return ""


def run_planned_exit(case: tuple[int, int, str]) -> tuple[float, float]:
    return planned_exit(*case)


def run_hanging_backup(case: tuple[int, int, float]) -> float:
    return hanging_backup(*case)[1]


def main() -> None:
    parser = argument_parser("control")
    parser.add_argument("--runs", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    args = parser.parse_args()
    runs = args.runs or (QUICK_RUNS if args.quick else FULL_RUNS)
    figures = {}
    with multiprocessing.Pool(args.jobs) as pool:
        all_cases = cases(runs)
        for violation in pool.imap_unordered(violation_of, all_cases, chunksize=20):
            if violation:
                raise AssertionError(violation)
        for kind in SCENARIOS:
            case_count = sum(case[0] == kind for case in all_cases)
            figures[f"{kind}: runs in all sizes, none broken"] = summarize([case_count], "runs")
        exit_runs = QUICK_RUNS if args.quick else EXIT_RUNS
        waits_s = pool.map(
            run_hanging_backup, [(seed, MACHINE_COUNTS[seed % 3], 0.0) for seed in range(exit_runs)]
        )
        figures["a change while the backup's disk hangs"] = summarize(waits_s, "s")
        for role in ROLES:
            exits_s = pool.map(
                run_planned_exit, [(seed, MACHINE_COUNTS[seed % 3], role) for seed in range(exit_runs)]
            )
            figures[f"planned end of the {role}, until its process ends"] = summarize(
                [exit_s for exit_s, _ in exits_s], "s"
            )
            figures[f"planned end of the {role}, longest that a change waits"] = summarize(
                [wait_s for _, wait_s in exits_s], "s"
            )
    write_report(args, f"{runs} runs of each kind and size", figures, {})


if __name__ == "__main__":
    main()
