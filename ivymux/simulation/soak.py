"""Soaks of the system: seeded plans of overlapping troubles against real processes, checked by the rules.

python3 -m ivymux soak --seed N [--plan troubles|stops|releases|answers] [--runs N] [--seconds S] [--rate R]
    [--doors N] [--cores N] [--backends N] [--report DIR]

The programs are started as the deploy file starts them.  A plan depends on its seed alone; the times at which
processes carry it out do not.  The day and the observations of a run that breaks a rule are kept in the
report folder, where `replay --check` reads them, with the programs' log.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from ivymux.runtime.log import fail
from ivymux.simulation import day_file
from ivymux.simulation.answer_plan import draw_long_answers
from ivymux.simulation.day_file import Observation, ProcessUse, RecorderStall
from ivymux.simulation.day_player import play_day
from ivymux.simulation.local_cluster import LOG_FILE_NAME
from ivymux.simulation.release_plan import draw_releases
from ivymux.simulation.replay import find_breaches, format_summary
from ivymux.simulation.rules import Breach
from ivymux.simulation.soak_plan import CALM_END_S, CALM_START_S, SoakSize, draw_soak
from ivymux.simulation.stop_plan import draw_stops

ENTRY_POINT = ("-S", "deploy/start.py")  # as in deploy/system.toml
PLANS = {
    "troubles": draw_soak,
    "stops": draw_stops,
    "releases": draw_releases,
    "answers": draw_long_answers,
}
MIN_SECONDS = CALM_START_S + CALM_END_S + 1.0


def format_use(observations: Sequence[Observation]) -> str:
    """Return the most memory and descriptors that a process of each role used."""
    uses = [record for record in observations if isinstance(record, ProcessUse)]
    parts = []
    for role in sorted({use.role for use in uses}):
        memory = max(use.memory_mb for use in uses if use.role == role)
        descriptors = max(use.descriptors for use in uses if use.role == role)
        parts.append(f"{role} {memory:.0f} MB, {descriptors} descriptors")
    return "; ".join(parts)


def play_soak(plan: str, seed: int, size: SoakSize, report: Path | None) -> list[Breach]:
    """Play one soak and print a summary; return the breaches.  Raises AssertionError if it hangs."""
    day, events = PLANS[plan](seed, size)
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    with tempfile.TemporaryDirectory() as folder:
        # On uvloop, httpx fails with an AttributeError where a connection is reset while it is made.
        observations = asyncio.run(play_day(day, events, Path(folder), ENTRY_POINT, environment))
        breaches = find_breaches(day, events, observations)
        if breaches and report is not None:
            report.mkdir(parents=True, exist_ok=True)
            records = day_file.write([day, *events, *observations])
            (report / f"{plan}-{seed}.jsonl").write_bytes(records)
            shutil.copy(Path(folder) / LOG_FILE_NAME, report / f"{plan}-{seed}.log")
    stalled_s = sum(record.seconds for record in observations if isinstance(record, RecorderStall))
    summary = f"{format_summary(events, observations)}; {format_use(observations)}"
    print(f"seed {seed}: {summary}; this process stalled for {stalled_s:.1f} s", flush=True)
    for breach in breaches:
        print(f"seed {seed} broken: {breach}", flush=True)
    return breaches


def define_flags(values: flags.FlagValues) -> None:
    size = SoakSize()
    flags.DEFINE_integer("seed", 1, "Seed of the first plan.", flag_values=values)
    flags.DEFINE_enum("plan", "troubles", list(PLANS), "What happens.", flag_values=values)
    flags.DEFINE_integer("runs", 1, "Number of plans, with seeds in a row.", 1, flag_values=values)
    flags.DEFINE_float("seconds", size.seconds, "Length of a plan.", MIN_SECONDS, 3600.0, flag_values=values)
    flags.DEFINE_float("rate", size.rate, "Requests per second.", 0.1, 1000.0, flag_values=values)
    flags.DEFINE_integer("doors", size.doors, "Number of proxies.", 1, 150, flag_values=values)
    flags.DEFINE_integer("cores", size.cores, "Number of core machines.", 3, 12, flag_values=values)
    flags.DEFINE_integer("backends", size.backends, "Backends of a service.", 2, 100, flag_values=values)
    flags.DEFINE_string("report", None, "Folder for the records of broken runs.", flag_values=values)


def main(arguments: Sequence[str]) -> int:
    """Run the command; return 0: no rule broken, 1: a rule broken, 2: wrong usage."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    define_flags(values)
    try:
        rest = values(["ivymux soak", *arguments])[1:]
        if rest:
            raise flags.Error(f"unknown argument: {rest[0]}; write --seed N")
    except flags.Error as error:
        return fail(error)
    size = SoakSize(values.seconds, values.rate, values.cores, values.doors, values.backends)
    report = Path(values.report) if values.report else None
    seeds = range(values.seed, values.seed + values.runs)
    broken = [seed for seed in seeds if play_soak(values.plan, seed, size, report)]
    print(f"{values.runs} runs, {len(broken)} with a rule broken" + (f": {broken}" if broken else ""))
    return 1 if broken else 0
