"""Plays a day, a file of timed events, against real processes on loopback; reports which rules are broken.

python3 -m ivymux replay DAY [--record FILE]     play a day, or a record again; the record goes to FILE
python3 -m ivymux replay --make DAY --seed N     draw a day and write it
python3 -m ivymux replay --check RECORD          check a record without playing it
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from ivymux.runtime.log import fail
from ivymux.simulation import day_file
from ivymux.simulation.day_file import (
    BackendRun,
    ClientAnswer,
    ConfigurationChange,
    Day,
    DayError,
    Event,
    Observation,
)
from ivymux.simulation.day_player import FIRST_ROUTES, FIRST_VERSION, play_day
from ivymux.simulation.rules import Breach, check


def find_breaches(day: Day, events: Sequence[Event], observations: Sequence[Observation]) -> list[Breach]:
    """Return the breaches of a played day, which began with the first configuration in force."""
    first_change = ConfigurationChange(0.0, 0, FIRST_VERSION, FIRST_ROUTES)
    return check(day, [first_change, *events], observations)


def format_summary(events: Sequence[Event], observations: Sequence[Observation]) -> str:
    """Return one line with the numbers of requests, runs and other events."""
    answers = [record for record in observations if isinstance(record, ClientAnswer)]
    served = sum(200 <= answer.status < 300 for answer in answers)
    runs = sum(isinstance(record, BackendRun) and record.done for record in observations)
    other_events = len(events) - len(answers)
    return f"{len(answers)} requests, {served} served, {runs} runs, {other_events} other events"


def define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "record", None, "Write the day with its observations to this file.", flag_values=values
    )
    flags.DEFINE_string("make", None, "Draw a day by --seed and write it to this file.", flag_values=values)
    flags.DEFINE_bool("check", False, "Check a record without playing it.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of a drawn day.", flag_values=values)
    flags.DEFINE_float("seconds", 20.0, "Length of a drawn day.", 1.0, 3600.0, flag_values=values)
    flags.DEFINE_float("rate", 40.0, "Requests per second of a drawn day.", 0.1, 1000.0, flag_values=values)


def main(arguments: Sequence[str]) -> int:
    """Run the command; return 0: no rule broken, 1: a rule broken, 2: wrong usage or an unreadable file."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    define_flags(values)
    try:
        names = values(["ivymux replay", *arguments])[1:]
        if values.make:
            day, events = day_file.draw(values.seed, values.seconds, values.rate)
            Path(values.make).write_bytes(day_file.write([day, *events]))
            print(f"{values.make}: {len(events)} events in {values.seconds:g} s")
            return 0
        if len(names) != 1:
            raise flags.Error("name one day; --record FILE, --check, --make FILE --seed N")
        day, events, observations = day_file.read(Path(names[0]).read_bytes())
        if not values.check:
            with tempfile.TemporaryDirectory() as folder:
                observations = asyncio.run(play_day(day, events, Path(folder)))
        if values.record:
            Path(values.record).write_bytes(day_file.write([day, *events, *observations]))
    except (flags.Error, DayError, OSError) as error:
        return fail(error)
    breaches = find_breaches(day, events, observations)
    print(format_summary(events, observations))
    for breach in breaches:
        print(f"broken: {breach}")
    print("no rule broken" if not breaches else f"{len(breaches)} broken")
    return 1 if breaches else 0
