"""Epochs under faults: random schedules, every pair of faults at every step, and how long a takeover takes.

    python -m bench.epochs [--quick] [--schedules N] [--first SEED] [--jobs N] [--json FILE|-]
    python -m bench.epochs --play 4:kill:m0,9:wipe:m0     # one pair again

A model (ivymux/simulation/core_cluster.py, fault_schedules.py) in simulated time.  A broken promise ends the
run with the seed or the faults that play it again.
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

QUICK = 400
SCHEDULES = 100_000
TAKEOVERS = 50
Pair = tuple[Fault, ...]


def seeds(span: range) -> tuple[int, str]:
    """Changes acknowledged in some random schedules, and the first promise that was not kept."""
    changes = 0
    for seed in span:
        try:
            changes += len(play_random_schedule(seed).acknowledged_versions)
        except GuaranteeViolation as error:
            return changes, f"seed {seed}: {error}"
    return changes, ""


def pairs_behind(first: Fault) -> tuple[int, str]:
    """Runs with a fault and each that can come behind it."""
    runs = 1
    faults: Pair = (first,)
    try:
        steps = run_two_changes(faults)
        for faults in pairs_with_second_fault(first, steps):
            runs += 1
            run_two_changes(faults)
    except GuaranteeViolation as error:
        return runs, f"{','.join(map(str, faults))}: {error}"
    return runs, ""


def takeover(case: tuple[int, int]) -> float:
    """Seconds from a lost leader to a change that is acknowledged."""
    seed, count = case
    cluster = CoreCluster(seed, count)
    for ip in cluster.machines:
        cluster.start_at(cluster.random.uniform(0, 0.3), ip)
    cluster.run_for(0.5)
    cluster.heal()
    cluster.run_for(1.0)
    cluster.kill(cluster.primaries()[0])
    began = cluster.now
    if (
        not cluster.run_until_led(10.0)
        or not cluster.put(cluster.primaries()[0], 5, "five")
        or not cluster.run_until_acknowledged(5, 3.0)
    ):
        raise AssertionError(f"seed {seed}: no change is acknowledged behind a lost leader")
    return cluster.now - began


def checked(results: Iterator[tuple[int, str]]) -> int:
    total = 0
    for done, broken in results:
        total += done
        if broken:
            raise AssertionError(broken)
    return total


def main() -> None:
    arguments = argument_parser("epochs")
    arguments.add_argument("--schedules", type=int, default=0)
    arguments.add_argument("--first", type=int, default=1_000_000)
    arguments.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    arguments.add_argument("--play", default="")
    args = arguments.parse_args()
    if args.play:
        print("steps:", run_two_changes(tuple(Fault.parse(text) for text in args.play.split(","))))
        return
    wanted = args.schedules or (QUICK if args.quick else SCHEDULES)
    began = time.monotonic()
    with multiprocessing.Pool(args.jobs) as pool:
        end = args.first + wanted
        spans = [range(n, min(n + 50, end)) for n in range(args.first, end, 50)]
        changes = checked(pool.imap_unordered(seeds, spans))
        played_s = time.monotonic() - began
        steps = run_two_changes(())
        firsts = [fault for step in range(steps) for fault in faults_before_step(step)]
        firsts = firsts[:: 25 if args.quick else 1]
        runs = checked(pool.imap_unordered(pairs_behind, firsts))
        waits = {n: pool.map(takeover, [(seed, n) for seed in range(TAKEOVERS)]) for n in (3, 4)}
    figures = {
        "random schedules": summarize([wanted], "schedules"),
        "changes acknowledged in them": summarize([changes], "changes"),
        "schedules in a second": summarize([wanted / played_s], "schedules/s"),
        "steps of two changes without a fault": summarize([steps], "steps"),
        "runs with one or two faults": summarize([runs], "runs"),
    }
    for count, spent in waits.items():
        figures[f"from a lost leader of {count} to a change acknowledged"] = summarize(spent, "s")
    write_report(args, f"seeds from {args.first} on; {len(firsts)} first faults", figures, {})


if __name__ == "__main__":
    main()
