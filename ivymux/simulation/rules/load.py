"""Rules on the load of backends and on deadlines: QUOTA, BUDGET, CONFIG, STARVED.  Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from ivymux.simulation.rules.answers import TENANT
from ivymux.simulation.rules.history import Breach, History

QUOTA_WINDOW_S = 5.0
QUOTA_EXCESS, QUOTA_SLACK = 0.1, 20.0  # share of the quota and number of requests that may run beyond it
MAX_ATTEMPTS = 2  # of each route in replay's configurations
OVER_ATTEMPTS_ALLOWANCE = 3  # requests that may run at more backends than that
# Retries that are allowed in a window: a share of the requests, and a number in addition.
RETRY_RATIO, RETRY_WINDOW_S, RETRY_SLACK = 0.2, 10.0, 56
REMAINING_TIME_FORMAT = 2  # first file format in which backends record the remaining time they received
# By how much a backend's remaining time may exceed the client's, and how many requests may exceed that: the
# number or the share of all forwarded requests, whichever is larger.
REMAINING_SLACK_S, REMAINING_ALLOWANCE, REMAINING_SHARE = 0.5, 20, 0.2
DEADLINE_SLACK_S = 0.5  # after its deadline, a request has its answer
OVERDUE_MIN = 8  # least number of overdue requests that breaks the rule, if they also exceed OVERDUE_SHARE
OVERDUE_SHARE = 0.25  # of the requests that are unanswered at their deadline
# A route is starved if its success rate is below this share of the mean, over at least this many requests.
STARVED_SHARE, STARVED_MIN_REQUESTS = 0.25, 20


def check_quota(history: History) -> Iterable[Breach]:
    """QUOTA: more requests of the tenant ran in a window than its quota allows."""
    day = history.day
    allowed = (day.rate * QUOTA_WINDOW_S + day.burst) * (1 + QUOTA_EXCESS) + QUOTA_SLACK
    times = sorted(run.at for _, run in history.all_runs() if run.done)
    first = 0
    for number, at in enumerate(times):
        while times[first] <= at - QUOTA_WINDOW_S:
            first += 1
        count = number - first + 1
        if count > allowed:
            yield Breach("QUOTA", TENANT, f"{count} in {QUOTA_WINDOW_S} s, {allowed:.0f} are allowed")
            return


def check_attempts(history: History) -> Iterable[Breach]:
    """BUDGET: requests ran on more backends than their route allows.

    Runs on quiescing backends are not counted, nor on those that crashed meanwhile.
    """
    over = []
    for id, runs in history.runs.items():
        waits_s = history.requests[id].waits if id in history.requests else 0.0
        backends = {
            run.backend
            for run in runs
            if run.done
            and run.backend not in history.quiesced_backends
            and not history.crashed_during(run, waits_s)
        }
        if len(backends) > MAX_ATTEMPTS:
            over.append(id)
    if len(over) > OVER_ATTEMPTS_ALLOWANCE:
        yield Breach("BUDGET", over[0], f"{len(over)} requests ran on more than {MAX_ATTEMPTS} backends each")


def check_retry_budget(history: History) -> Iterable[Breach]:
    """BUDGET: a service received more retries in a window than its share of the requests allows.

    A window's retries are compared with the largest number of requests in the same window and in windows that
    end up to `RETRY_WINDOW_S` earlier, as a request can arrive before the window of its retry.
    """
    retries: dict[str, list[float]] = defaultdict(list)
    requests: dict[str, list[float]] = defaultdict(list)
    for id, runs in history.runs.items():
        ordered = sorted(runs, key=lambda run: run.at)
        for run in ordered[1:]:
            retries[run.service].append(run.at)
        if id in history.requests:
            requests[ordered[0].service].append(history.requests[id].at)
    for service, times in retries.items():
        for end in sorted(times):
            retry_count = count_in_window(times, end)
            request_counts = [
                count_in_window(requests[service], end - earlier)
                for earlier in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            ]
            if retry_count > RETRY_RATIO * max(request_counts) + RETRY_SLACK:
                yield Breach("BUDGET", service, f"{retry_count} retries in {RETRY_WINDOW_S} s")
                return


def count_in_window(times: list[float], end: float) -> int:
    """Return how many of the times are in the `RETRY_WINDOW_S` up to `end`."""
    return sum(end - RETRY_WINDOW_S < at <= end for at in times)


def check_remaining_time(history: History) -> Iterable[Breach]:
    """BUDGET: backends received requests with more remaining time than their clients have.

    Requests during a stall of the recorder are left out, as the times of their runs are recorded too late,
    unless they carry no remaining time.
    """
    if history.day.v < REMAINING_TIME_FORMAT:
        return
    forwarded, over = 0, []
    for id, runs in history.runs.items():
        if (request := history.requests.get(id)) is None:
            continue
        answer = history.answers.get(id)
        sent = answer.sent if answer is not None else request.at
        for run in runs:
            if run.remaining >= 0 and history.has_stall(sent, run.at):
                continue
            forwarded += 1
            remaining = max(0.0, request.waits - max(0.0, run.at - sent))
            if run.remaining < 0 or run.remaining > remaining + REMAINING_SLACK_S:
                over.append(id)
    if len(over) > REMAINING_ALLOWANCE and len(over) > REMAINING_SHARE * forwarded:
        text = f"{len(over)} of {forwarded} were forwarded with more time than is left"
        yield Breach("BUDGET", over[0], text)


def check_deadlines(history: History) -> Iterable[Breach]:
    """CONFIG: requests without an answer at their deadline have none `DEADLINE_SLACK_S` later either."""
    unanswered, overdue = 0, []
    for id, answer in history.answers.items():
        request = history.requests.get(id)
        if request is None or not history.is_quiet(answer.sent, answer.at):
            continue
        took_s = answer.at - answer.sent
        unanswered += took_s > request.waits
        if took_s > request.waits + DEADLINE_SLACK_S:
            overdue.append(id)
    if len(overdue) >= OVERDUE_MIN and len(overdue) > OVERDUE_SHARE * unanswered:
        text = f"{len(overdue)} of {unanswered} unanswered {DEADLINE_SLACK_S} s after their deadline"
        yield Breach("CONFIG", overdue[0], text)


def check_starvation(history: History) -> Iterable[Breach]:
    """STARVED: the requests of one route succeed far less often than all requests."""
    answered: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for id, answer in history.answers.items():
        if (request := history.requests.get(id)) is not None:
            route = request.path.split("/")[1]
            answered[route] += 1
            served[route] += 200 <= answer.status < 300
    if not answered:
        return
    mean = served.total() / answered.total()
    for route, count in answered.items():
        if count >= STARVED_MIN_REQUESTS and served[route] / count < STARVED_SHARE * mean:
            yield Breach(
                "STARVED",
                route,
                f"{served[route]} of {count} served, {mean:.2f} on all routes",
            )
