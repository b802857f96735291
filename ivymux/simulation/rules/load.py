"""Rules on how much is asked of backends, and for how long: QUOTA, BUDGET, deadlines, Starved.  Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from ivymux.simulation.rules.answers import TENANT
from ivymux.simulation.rules.history import Breach, History

WINDOW = 5.0
EXCESS, SLACK = 0.1, 20.0
MAX_ATTEMPTS = 2  # of a route, as replay's configurations have it
ATTEMPTS_FEW = 3  # tries that may run at more backends
RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK = 0.2, 10.0, 56
TOLD_TIME = 2  # the form of days from which on backends tell what time they were given
TIME_SLACK, TIME_FEW, TIME_SHARE = 0.5, 20, 0.2
LATE_SLACK = 0.5  # seconds behind its deadline by which a request has its answer
LATE_FEW, LATE_SHARE = 8, 0.25  # so many, and this share of those that are unanswered at their deadline
STARVED, STARVED_LEAST = 0.25, 20


def quotas(history: History) -> Iterable[Breach]:
    day = history.day
    allowed = (day.rate * WINDOW + day.burst) * (1 + EXCESS) + SLACK
    times = sorted(run.at for _, run in history.all_runs() if run.done)
    first = 0
    for number, at in enumerate(times):
        while times[first] <= at - WINDOW:
            first += 1
        if number - first + 1 > allowed:
            yield Breach("QUOTA", TENANT, f"{number - first + 1} in {WINDOW} s, {allowed:.0f} are allowed")
            return


def attempts(history: History) -> Iterable[Breach]:
    """Tries that ran on more backends than their route allows; those that were leaving do not count."""
    over = []
    for id, runs in history.runs.items():
        backends = {run.backend for run in runs if run.done and run.backend not in history.leaving}
        if len(backends) > MAX_ATTEMPTS:
            over.append(id)
    if len(over) > ATTEMPTS_FEW:
        yield Breach("BUDGET", over[0], f"{len(over)} tries ran on more than {MAX_ATTEMPTS} backends each")


def budget(history: History) -> Iterable[Breach]:
    """Arrivals beyond the first of each request, by service and span."""
    repeats: dict[str, list[float]] = defaultdict(list)
    asked: dict[str, list[float]] = defaultdict(list)
    for id, runs in history.runs.items():
        ordered = sorted(runs, key=lambda run: run.at)
        for run in ordered[1:]:
            repeats[run.service].append(run.at)
        if id in history.asks:
            asked[ordered[0].service].append(history.asks[id].at)
    for service, times in repeats.items():
        for end in sorted(times):
            count = sum(end - RETRY_WINDOW < at <= end for at in times)
            spans = [
                sum(end - back - RETRY_WINDOW < at <= end - back for at in asked[service])
                for back in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
            ]
            if count > RETRY_RATIO * max(spans) + RETRY_SLACK:
                yield Breach("BUDGET", service, f"{count} further tries in {RETRY_WINDOW} s")
                return


def time_left(history: History) -> Iterable[Breach]:
    """Requests handed to backends with more time than their clients have."""
    if history.day.v < TOLD_TIME:
        return
    passed, over = 0, []
    for id, runs in history.runs.items():
        if (ask := history.asks.get(id)) is None:
            continue
        for run in runs:
            passed += 1
            answer = history.answers.get(id)
            spent = run.at - (answer.sent if answer is not None else ask.at)
            if run.remaining < 0 or run.remaining > max(0.0, ask.waits - max(0.0, spent)) + TIME_SLACK:
                over.append(id)
    if len(over) > TIME_FEW and len(over) > TIME_SHARE * passed:
        yield Breach("BUDGET", over[0], f"{len(over)} of {passed} were handed on with more time than is left")


def overdue(history: History) -> Iterable[Breach]:
    """Requests unanswered at their deadline that have no answer half a second later either."""
    unanswered, late = 0, []
    for id, answer in history.answers.items():
        ask = history.asks.get(id)
        if ask is None or not history.calm(answer.sent, answer.at):
            continue
        took = answer.at - answer.sent
        unanswered += took > ask.waits
        if took > ask.waits + LATE_SLACK:
            late.append(id)
    if len(late) >= LATE_FEW and len(late) > LATE_SHARE * unanswered:
        yield Breach(
            "CONFIG", late[0], f"{len(late)} of {unanswered} unanswered {LATE_SLACK} s past their time"
        )


def starved(history: History) -> Iterable[Breach]:
    """Kinds of request that are served far less often than all."""
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for id, answer in history.answers.items():
        if (ask := history.asks.get(id)) is not None:
            kind = ask.path.split("/")[1]
            asked[kind] += 1
            served[kind] += 200 <= answer.status < 300
    if not asked:
        return
    mean = served.total() / asked.total()
    for kind, count in asked.items():
        if count >= STARVED_LEAST and served[kind] / count < STARVED * mean:
            yield Breach("STARVED", kind, f"{served[kind]} of {count} served, {mean:.2f} of all")
