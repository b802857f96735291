"""`python -m ivymux trial VERB`: an operator's calls about trials, from the command line.

    trial start NAME --core HOST:PORT --caller TENANT --by WHO --why TEXT [--does refuse|delay|lose|close] ...
    trial end NAME --core HOST:PORT --by WHO --why TEXT
    trial list | report NAME | watch NAME --core HOST:PORT
    trial digest                       reads a key from standard input, prints what names it in a trial

Exit codes: 0 done, 1 refused or not answered, 2 usage.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

import httpx
from absl import flags

from ivymux.fault_injection.trial_set import key_digest
from ivymux.runtime.log import fail

VERBS = ("start", "end", "list", "report", "watch", "digest")
TRIES = 4  # rounds over the core machines
PAUSE = 0.3  # seconds between them
SENT = (
    "caller", "by", "why", "does", "key_digest", "route", "service", "zone", "status", "retry_after",
    "delay", "share", "starts_in", "lasts", "dry_run",
)  # fmt: skip


class TrialDeskError(Exception):
    """A call that was refused or not answered; the text is one plain line."""


def define(values: flags.FlagValues) -> None:
    flags.DEFINE_list(
        "core", [], "Core machines, HOST:PORT each; the first that answers.", flag_values=values
    )
    flags.DEFINE_string("caller", "", "The tenant whose requests are caught.", flag_values=values)
    flags.DEFINE_string("by", "", "Who starts or ends it.", flag_values=values)
    flags.DEFINE_string("why", "", "What for.", flag_values=values)
    flags.DEFINE_string("does", "refuse", "refuse, delay, lose or close.", flag_values=values)
    flags.DEFINE_string("key_digest", "", "Of one key only: see `trial digest`.", flag_values=values)
    flags.DEFINE_string("route", "", "On one route only.", flag_values=values)
    flags.DEFINE_string("service", "", "To one service only.", flag_values=values)
    flags.DEFINE_string("zone", "", "At the doors of one zone only.", flag_values=values)
    flags.DEFINE_integer("status", 503, "Of a refusal: 429 or 503.", flag_values=values)
    flags.DEFINE_string("retry_after", "1s", "When a refused request may come back.", flag_values=values)
    flags.DEFINE_string("delay", "0ms", "Where does is delay.", flag_values=values)
    flags.DEFINE_float("share", 1.0, "Of its requests, more than 0 and 1 at most.", flag_values=values)
    flags.DEFINE_string("starts_in", "0s", "From when on.", flag_values=values)
    flags.DEFINE_string("lasts", "1m", "For how long at the most.", flag_values=values)
    flags.DEFINE_bool("dry_run", False, "Check it and tell what would be started.", flag_values=values)
    flags.DEFINE_float("every", 1.0, "Seconds between the looks of watch.", 0.1, 60.0, flag_values=values)


class Core:
    """The operators' calls at whichever core machine answers."""

    def __init__(self, addresses: Sequence[str], http: httpx.Client) -> None:
        self.addresses, self.http = addresses, http

    def call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Raises TrialDeskError."""
        why = "no core machine answers"
        for _ in range(TRIES):
            for address in self.addresses:
                try:
                    answer = self.http.request(
                        method, f"http://{address}{path}", content=json.dumps(body) if body else None
                    )
                    told = answer.json()
                except (httpx.HTTPError, ValueError) as error:
                    why = f"{address}: {error or type(error).__name__}"
                    continue
                if answer.status_code == 200:
                    return dict(told)
                why = str(told.get("error", answer.status_code))
                if answer.status_code < 500:
                    raise TrialDeskError(why)
            time.sleep(PAUSE)
        raise TrialDeskError(why)


def line(trial: dict[str, Any]) -> str:
    """One trial in one line."""
    asked, caught = trial.get("asked", 0), trial.get("caught", 0)
    text = f"{trial['name']}: {trial['does']} {trial['caller']}, share {trial['share']:g}"
    text += f", caught {caught} of {asked}"
    if "ended" in trial:
        return f"{text}; ended by {trial['ended_by']}: {trial['ended_why']}"
    there, lacking = trial.get("in_force_at", []), trial.get("not_in_force_at", [])
    return f"{text}; in force at {len(there)} doors, not at {len(lacking)}; by {trial['by']}: {trial['why']}"


def report(trial: dict[str, Any]) -> list[str]:
    found = [line(trial)]
    found += [
        f"  {door['door']}: for {door['for_s']:.1f} s, caught {door['caught']} of {door['asked']}"
        for door in trial.get("in_force_at", [])
    ]
    return found + [f"  {door}: not in force" for door in trial.get("not_in_force_at", [])]


def watch(core: Core, name: str, every: float, say: Callable[[str], None]) -> None:
    """Until it has ended."""
    while True:
        trial = core.call("GET", f"/trials/{name}")
        say(line(trial))
        if "ended" in trial:
            return
        time.sleep(every)


def carry(core: Core, verb: str, name: str, values: flags.FlagValues) -> list[str]:
    """Raises TrialDeskError."""
    if verb == "start":
        body = {field: values[field].value for field in SENT}
        trial = core.call("PUT", f"/trials/{name}", body)
        return [line(trial) + (" (dry run: nothing is started)" if values.dry_run else "")]
    if verb == "end":
        return [line(core.call("DELETE", f"/trials/{name}", {"by": values.by, "why": values.why}))]
    if verb == "report":
        return report(core.call("GET", f"/trials/{name}"))
    told = core.call("GET", "/trials")
    return [line(trial) for trial in (*told["running"], *told["past"])] or ["no trials"]


def main(arguments: Sequence[str]) -> int:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    define(values)
    try:
        verb, *names = values(["ivymux trial", *arguments])[1:] or [""]
        if verb not in VERBS:
            raise flags.Error(f"write one of {', '.join(VERBS)}")
        if verb == "digest" and not names:
            print(key_digest(sys.stdin.buffer.readline().strip()))
            return 0
        if len(names) != (verb != "list") or not values.core:
            raise flags.Error("name one trial (none for list) and --core=HOST:PORT[,HOST:PORT]")
    except flags.Error as error:
        return fail(error)
    try:
        with httpx.Client(timeout=3.0, trust_env=False) as http:
            core = Core(values.core, http)
            if verb == "watch":
                watch(core, names[0], values.every, lambda text: print(text, flush=True))
            else:
                print("\n".join(carry(core, verb, names[0] if names else "", values)))
    except TrialDeskError as error:
        fail(error)
        return 1
    return 0
