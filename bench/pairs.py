"""Days of the users' benchmark: a site's troubles alone and in pairs; closing faults; a busy evening.

    python -m bench.pairs SITE --fleetbench PATH --out FOLDER [--jobs N] [--part K/N] [--only KIND,...]
    python -m bench.pairs SITE --out FOLDER --table     # a Markdown table of the outcomes so far
    python -m bench.pairs SITE ... --set closing|busy --seeds N     # the same events with N seeds
    python -m bench.pairs SITE ... --set control|kinds --seeds N    # events at the core (control_days.py)
    python -m bench.pairs SITE ... --set leaving --seeds N          # clients that leave overloaded backends

Writes a file for each day (TOML, in FOLDER), runs it with fleetbench, and appends a line to
FOLDER/outcome.tsv: the day's number, its events, the score, the worth and the violated rules.  Days that
already have a line are skipped.  An event is a planned operation or a fault; site files call both troubles.
"""

from __future__ import annotations

import argparse
import itertools
import json
import re
import subprocess
import tomllib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from bench.control_days import CONTROL_DAYS, Day, departure_days, kinds_with_core_events

PLANNED_KINDS = {"config_change", "config_race", "bad_config", "revoke", "release", "scale_in", "roll_term"}
PLANNED_KINDS |= {"seed_turnover", "replace_with_reuse", "scale_out", "replace_core", "hup"}
Events = list[dict[str, Any]]
FIRST_AT_S, SECOND_AT_S = 3.0, 4.0  # when the first and the second event of a day begin
DAY_LENGTH_S = 17.0  # of traffic
CONFIG_CHANGE = {"kind": "config_change", "how": "route"}
CLOSING_FAULTS = ("power_off_all", "kill_all", "wipe_after_ack")
CLOSING_FIELDS = {"wipe_after_ack": {"how": "aimed"}}
BUSY_EVENING: Events = [  # all events of nodes on a busy evening
    {"kind": "release", "share": 0.4, "x": 1.0, "gap_s": 1.0},
    {"kind": "roll_term", "how": "busy", "gap_s": 1.2},
    {"at": 5.0, "kind": "scale_in", "share": 0.1},
    {"at": 6.0, "kind": "node_cut", "share": 0.15, "for_s": 3.0},
    {"at": 8.0, "kind": "node_kill", "share": 0.15},
    {"at": 11.0, "kind": "herd_kill", "share": 0.5, "for_s": 1.5, "how": ""},
]
DAY_SETS: dict[str, Callable[[], tuple[Day, ...]]] = {
    "control": lambda: CONTROL_DAYS, "kinds": kinds_with_core_events, "leaving": departure_days,
}  # fmt: skip
MODEL_DAY = "trouble-1"  # the day of the site whose traffic, `one` and `zero` are copied


def event_label(event: dict[str, Any]) -> str:
    how = f" {event['how']}" if event.get("how") else ""
    on = " on core" if event.get("on") == "core" else ""
    return f"{event['kind']}{on}{how}"


def toml_value(value: Any) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {toml_value(v)}" for k, v in value.items()) + " }"
    return json.dumps(value)


def day_text(
    site: dict[str, Any],
    events: Events,
    number: int,
    closing: dict[str, Any] | None = None,
    length_s: float = DAY_LENGTH_S,
) -> str:
    """A day as TOML; its first two events begin at FIRST_AT_S and SECOND_AT_S unless they have an `at`."""
    model = next(d for d in site["day"] if d["name"] == MODEL_DAY)
    entries = [{"at": at, **event} for at, event in zip((FIRST_AT_S, SECOND_AT_S), events, strict=False)]
    entries += events[2:]
    lines = ["[[day]]", f'name = "pair-{number}"', 'slot = "trouble"', f"seed = {7_000_000 + number}"]
    lines += [f"length_s = {length_s}", f"one = {model['one']}", f"zero = {model['zero']}", "labels = []"]
    lines += ["goal = { floor = 0.1 }", "wall = 2.0", "light = true"]
    lines += [f"closing = {toml_value(closing)}"] if closing else []
    for section, is_planned in (("plan", True), ("faults", False)):
        lines.append(f"{section} = [")
        lines += [
            f"  {toml_value(event)}," for event in entries if (event["kind"] in PLANNED_KINDS) == is_planned
        ]
        lines.append("]")
    lines += ["traffic = [", *(f"  {toml_value(segment)}," for segment in model["traffic"]), "]"]
    return "\n".join(lines) + "\n"


def run_day(
    args: argparse.Namespace, number: int, events: Events, closing: dict[str, Any] | None,
    site: dict[str, Any], length_s: float = DAY_LENGTH_S,
) -> str:  # fmt: skip
    """Runs a day with fleetbench and returns its line for outcome.tsv."""
    path = args.out / f"pair-{number}.toml"
    path.write_text(day_text(site, events, number, closing, length_s))
    report = args.out / f"pair-{number}.json"
    command = [args.fleetbench, "run", args.site, str(path), "--jobs", "1", "--report", str(report)]
    process = subprocess.run([*command, "--why", args.why], capture_output=True, text=True, timeout=600)
    text = process.stdout + process.stderr
    (args.out / f"pair-{number}.txt").write_text(text)
    result = json.loads(report.read_text()) if report.exists() else {}
    score = re.search(r"^pair-\d+\s+\S+\s+(\S+)", text, re.M)
    violations = " ".join(f"{rule}:{count}" for rule, count in result.get("breaks", {}).items())
    outcome = violations or result.get("fault") or ("-" if result else "no result")
    cells = [
        str(number),
        " + ".join([event_label(event) for event in events] + ([str(closing["kind"])] if closing else [])),
        score[1] if score else "",
        result.get("G", ""),
        outcome,
    ]
    return "\t".join(map(str, cells))


def outcome_table(events: Events, outcome: str) -> str:
    """A Markdown table of the worth in hundredths by pair of events; single events are on the diagonal.

    A `!` marks days that violated a rule.
    """
    numbers = range(len(events))
    pairs = [(n, n) for n in numbers] + list(itertools.combinations(numbers, 2))
    cells: dict[tuple[int, int], str] = {}
    for line in outcome.splitlines():
        number, _, _, worth, violations = line.split("\t")
        cells[pairs[int(number)]] = (
            f"{100 * float(worth):.0f}{'' if violations == '-' else '!'}" if worth else "?"
        )
    rows = ["| | trouble | " + " | ".join(str(n + 1) for n in numbers) + " |"]
    rows.append("| --- " * (len(numbers) + 2) + "|")
    for row in numbers:
        row_cells = [cells.get((row, column), "") if row <= column else "" for column in numbers]
        rows.append(f"| {row + 1} | {event_label(events[row])} | " + " | ".join(row_cells) + " |")
    return "\n".join(rows)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.pairs")
    parser.add_argument("site")
    parser.add_argument("--fleetbench", default="")
    parser.add_argument("--set", choices=("pairs", "closing", "busy", *DAY_SETS), default="pairs")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument(
        "--only", default="", help="kinds of events (troubles), separated by commas; others are skipped"
    )
    parser.add_argument("--table", action="store_true")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--part", default="0/1")
    parser.add_argument("--most", type=int, default=10_000)
    parser.add_argument("--why", default="each trouble alone and each two at once")
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    site = tomllib.loads(Path(args.site).read_text())
    kinds = set(args.only.split(",")) - {""}
    events = [event for event in site["troubles"] if not kinds or event["kind"] in kinds]
    if not events:
        parser.error(f"--only: the site has no trouble of these kinds: {args.only}")
    days: list[tuple[Events, dict[str, Any] | None, float]]
    if args.set == "pairs":
        days = [([event], None, DAY_LENGTH_S) for event in events] + [
            (list(pair), None, DAY_LENGTH_S) for pair in itertools.combinations(events, 2)
        ]
    elif args.set in DAY_SETS:
        day_set = DAY_SETS[args.set]()
        days = [(list(day.events), day.closing, day.length_s) for _ in range(args.seeds) for day in day_set]
    elif args.set == "closing":
        faults = [{"kind": kind, "down_s": 1.5, **CLOSING_FIELDS.get(kind, {})} for kind in CLOSING_FAULTS]
        days = [([CONFIG_CHANGE], fault, DAY_LENGTH_S) for _ in range(args.seeds) for fault in faults]
    else:
        days = [(BUSY_EVENING, None, DAY_LENGTH_S) for _ in range(args.seeds)]
    outcome = args.out / "outcome.tsv"
    if args.table:
        print(outcome_table(events, outcome.read_text()))
        return
    done_numbers = (
        {line.split("\t")[0] for line in outcome.read_text().splitlines()} if outcome.exists() else set()
    )
    part, parts = map(int, args.part.split("/"))
    wanted = [(n, day) for n, day in enumerate(days) if n % parts == part and str(n) not in done_numbers][
        : args.most
    ]
    with ThreadPoolExecutor(args.jobs) as pool:
        for line in pool.map(
            lambda numbered_day: run_day(
                args, numbered_day[0], numbered_day[1][0], numbered_day[1][1], site, numbered_day[1][2]
            ),
            wanted,
        ):
            print(line, flush=True)
            with outcome.open("a") as file:
                file.write(line + "\n")


if __name__ == "__main__":
    main()
