"""`python -m ivymux trial VERB`: starts, ends and shows trials (controlled fault injection).

    trial start NAME --core HOST:PORT --caller TENANT --by WHO --why TEXT [--does refuse|delay|lose|close] ...
    trial end NAME --core HOST:PORT --by WHO --why TEXT
    trial list | report NAME | watch NAME --core HOST:PORT
    trial digest                 reads an API key from standard input, prints its digest for --key_digest

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
MAX_ROUNDS = 4  # over all core machines, until one answers
ROUND_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 3.0
START_FIELDS = (
    "caller", "by", "why", "does", "key_digest", "route", "service", "zone", "status", "retry_after",
    "delay", "share", "starts_in", "lasts", "dry_run",
)  # fmt: skip  # of the body that starts a trial; each is a flag too


class TrialCommandError(Exception):
    """A call that was refused or not answered; the message is one line."""


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of all verbs."""
    flags.DEFINE_list(
        "core", [], "Core machines, each as HOST:PORT; the first that answers is used.", flag_values=values
    )
    flags.DEFINE_string(
        "caller", "", "The tenant into whose requests faults are injected.", flag_values=values
    )
    flags.DEFINE_string("by", "", "Who starts or ends the trial.", flag_values=values)
    flags.DEFINE_string("why", "", "The reason.", flag_values=values)
    flags.DEFINE_string(
        "does", "refuse", "The injected fault: refuse, delay, lose or close.", flag_values=values
    )
    flags.DEFINE_string(
        "key_digest",
        "",
        "Only requests with the API key of this digest (`trial digest`).",
        flag_values=values,
    )
    flags.DEFINE_string("route", "", "Only requests on one route.", flag_values=values)
    flags.DEFINE_string("service", "", "Only requests to one service.", flag_values=values)
    flags.DEFINE_string("zone", "", "Only at the proxies of one zone.", flag_values=values)
    flags.DEFINE_integer("status", 503, "The status of a refusal: 429 or 503.", flag_values=values)
    flags.DEFINE_string("retry_after", "1s", "When a refused request may be repeated.", flag_values=values)
    flags.DEFINE_string("delay", "0ms", "The delay, if `does` is delay.", flag_values=values)
    flags.DEFINE_float(
        "share", 1.0, "The share of the requests that get the fault: over 0, at most 1.", flag_values=values
    )
    flags.DEFINE_string("starts_in", "0s", "The time until the trial starts.", flag_values=values)
    flags.DEFINE_string("lasts", "1m", "The longest time that the trial runs.", flag_values=values)
    flags.DEFINE_bool(
        "dry_run", False, "Only check the trial and show what would be started.", flag_values=values
    )
    flags.DEFINE_float("every", 1.0, "Seconds between the lines of watch.", 0.1, 60.0, flag_values=values)


class CoreClient:
    """Calls the control interface of the first core machine that answers."""

    def __init__(self, addresses: Sequence[str], http: httpx.Client) -> None:
        self.addresses, self.http = addresses, http

    def call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Return the answer's JSON object.  Raises TrialCommandError."""
        why = "no core machine answers"
        for _ in range(MAX_ROUNDS):
            for address in self.addresses:
                try:
                    response = self.http.request(
                        method, f"http://{address}{path}", content=json.dumps(body) if body else None
                    )
                    answer = response.json()
                except (httpx.HTTPError, ValueError) as error:
                    why = f"{address}: {error or type(error).__name__}"
                    continue
                if response.status_code == 200:
                    return dict(answer)
                why = str(answer.get("error", response.status_code))
                if response.status_code < 500:
                    raise TrialCommandError(why)
            time.sleep(ROUND_INTERVAL_S)
        raise TrialCommandError(why)


def summary_line(trial: dict[str, Any]) -> str:
    """Return a trial as one line."""
    requests, injected = trial.get("asked", 0), trial.get("caught", 0)
    text = f"{trial['name']}: {trial['does']} {trial['caller']}, share {trial['share']:g}"
    text += f", caught {injected} of {requests}"
    if "ended" in trial:
        return f"{text}; ended by {trial['ended_by']}: {trial['ended_why']}"
    in_force_at, not_in_force_at = trial.get("in_force_at", []), trial.get("not_in_force_at", [])
    text += f"; in force at {len(in_force_at)} doors, not at {len(not_in_force_at)}"
    return f"{text}; by {trial['by']}: {trial['why']}"


def report_lines(trial: dict[str, Any]) -> list[str]:
    """Return a trial as one line, with a further line for each proxy."""
    lines = [summary_line(trial)]
    lines += [
        f"  {proxy['door']}: for {proxy['for_s']:.1f} s, caught {proxy['caught']} of {proxy['asked']}"
        for proxy in trial.get("in_force_at", [])
    ]
    return lines + [f"  {proxy}: not in force" for proxy in trial.get("not_in_force_at", [])]


def watch(core: CoreClient, name: str, interval_s: float, write_line: Callable[[str], None]) -> None:
    """Write a line about a trial every `interval_s` until it has ended.  Raises TrialCommandError."""
    while True:
        trial = core.call("GET", f"/trials/{name}")
        write_line(summary_line(trial))
        if "ended" in trial:
            return
        time.sleep(interval_s)


def run_verb(core: CoreClient, verb: str, name: str, values: flags.FlagValues) -> list[str]:
    """Make a verb's call and return the lines to print.  Raises TrialCommandError."""
    if verb == "start":
        body = {field: values[field].value for field in START_FIELDS}
        trial = core.call("PUT", f"/trials/{name}", body)
        return [summary_line(trial) + (" (dry run: nothing is started)" if values.dry_run else "")]
    if verb == "end":
        trial = core.call("DELETE", f"/trials/{name}", {"by": values.by, "why": values.why})
        return [summary_line(trial)]
    if verb == "report":
        return report_lines(core.call("GET", f"/trials/{name}"))
    answer = core.call("GET", "/trials")
    return [summary_line(trial) for trial in (*answer["running"], *answer["past"])] or ["no trials"]


def main(arguments: Sequence[str]) -> int:
    """Run the command; return its exit code."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    define_flags(values)
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
        with httpx.Client(timeout=CALL_TIMEOUT_S, trust_env=False) as http:
            core = CoreClient(values.core, http)
            if verb == "watch":
                watch(core, names[0], values.every, lambda text: print(text, flush=True))
            else:
                print("\n".join(run_verb(core, verb, names[0] if names else "", values)))
    except TrialCommandError as error:
        fail(error)
        return 1
    return 0
