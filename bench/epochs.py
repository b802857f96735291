"""Epochs under faults: random schedules, each pair of faults at each step, and the duration of takeovers.

    python -m bench.epochs [--quick] [--schedules N] [--first SEED] [--jobs N] [--json FILE|-]
    python -m bench.epochs --play 4:kill:m0,9:wipe:m0     # reproduces a pair

Runs a model (ivymux/simulation/core_cluster.py, fault_schedules.py) in simulated time.  A violated guarantee
ends the run with the seed or the faults that reproduce it.
"""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Iterator

from bench.common import argument_parser, summarize, write_report
from ivymux.simulation.core_cluster import CoreCluster, GuaranteeViolation
from ivymux.simulation.fault_schedules import (
    Fault,
    faults_before_step,
    pairs_with_second_fault,
    play_random_schedule,
    run_two_changes,
)

QUICK_SCHEDULES = 400
FULL_SCHEDULES = 100_000
TAKEOVER_RUNS = 50
Faults = tuple[Fault, ...]


def run_schedules(seeds: range) -> tuple[int, str]:
    """The number of changes acknowledged in random schedules, and the first violation or an empty string."""
    changes = 0
    for seed in seeds:
        try:
            changes += len(play_random_schedule(seed).acknowledged_versions)
        except GuaranteeViolation as error:
            return changes, f"seed {seed}: {error}"
    return changes, ""


def run_pairs(first: Fault) -> tuple[int, str]:
    """Runs a fault alone and with each second fault; returns the number of runs and the first violation."""
    runs = 1
    faults: Faults = (first,)
    try:
        steps = run_two_changes(faults)
        for faults in pairs_with_second_fault(first, steps):
            runs += 1
            run_two_changes(faults)
    except GuaranteeViolation as error:
        return runs, f"{','.join(map(str, faults))}: {error}"
    return runs, ""


def measure_takeover(case: tuple[int, int]) -> float:
    """Seconds from the loss of the primary until a change is acknowledged again."""
    seed, count = case
    cluster = CoreCluster(seed, count)
    for ip in cluster.machines:
        cluster.start_at(cluster.random.uniform(0, 0.3), ip)
    cluster.run_for(0.5)
    cluster.heal()
    cluster.run_for(1.0)
    cluster.kill(cluster.primaries()[0])
    started_at = cluster.now
    if (
        not cluster.run_until_led(10.0)
        or not cluster.put(cluster.primaries()[0], 5, "five")
        or not cluster.run_until_acknowledged(5, 3.0)
    ):
        raise AssertionError(f"seed {seed}: no change was acknowledged after the loss of the primary")
    return cluster.now - started_at


def total_without_violation(results: Iterator[tuple[int, str]]) -> int:
    """The sum of the counts of all results; raises AssertionError at the first violation."""
    total = 0
    for count, violation in results:
        total += count
        if violation:
            raise AssertionError(violation)
    return total


def main() -> None:
    parser = argument_parser("epochs")
    parser.add_argument("--schedules", type=int, default=0)
    parser.add_argument("--first", type=int, default=1_000_000)
    parser.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    parser.add_argument("--play", default="")
    args = parser.parse_args()
    if args.play:
        print("steps:", run_two_changes(tuple(Fault.parse(text) for text in args.play.split(","))))
        return
    schedule_count = args.schedules or (QUICK_SCHEDULES if args.quick else FULL_SCHEDULES)
    started_at = time.monotonic()
    with multiprocessing.Pool(args.jobs) as pool:
        end = args.first + schedule_count
        spans = [range(n, min(n + 50, end)) for n in range(args.first, end, 50)]
        changes = total_without_violation(pool.imap_unordered(run_schedules, spans))
        elapsed_s = time.monotonic() - started_at
        steps = run_two_changes(())
        first_faults = [fault for step in range(steps) for fault in faults_before_step(step)]
        first_faults = first_faults[:: 25 if args.quick else 1]
        runs = total_without_violation(pool.imap_unordered(run_pairs, first_faults))
        takeovers_s = {
            n: pool.map(measure_takeover, [(seed, n) for seed in range(TAKEOVER_RUNS)]) for n in (3, 4)
        }
    figures = {
        "random schedules": summarize([schedule_count], "schedules"),
        "changes acknowledged in them": summarize([changes], "changes"),
        "schedules in a second": summarize([schedule_count / elapsed_s], "schedules/s"),
        "steps of two changes without a fault": summarize([steps], "steps"),
        "runs with one or two faults": summarize([runs], "runs"),
    }
    for count, durations_s in takeovers_s.items():
        figures[f"from a lost leader of {count} to a change acknowledged"] = summarize(durations_s, "s")
    write_report(args, f"seeds from {args.first} on; {len(first_faults)} first faults", figures, {})


if __name__ == "__main__":
    main()
