"""Rules on answers to clients and on what backends run: MIXED, UNASKED, TWICE, REFUSED, DENIED.  Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ivymux.simulation.rules.history import Breach, History, is_repeatable

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # these promise the client that its request has not run
ALLOWED_ERRORS = (408, 409, 421, 429)  # which valid requests may get too
TENANT, KEY = "clerks", "key-one"  # of the clients of a day
DENIED_ALLOWANCE = 5  # valid requests that may be denied, in addition to DENIED_SHARE
DENIED_SHARE = 1 / 500  # of all requests


def check_answers(history: History) -> Iterable[Breach]:
    """MIXED: an answer to another request, or a success that differs from what a backend answered."""
    for answer in history.answers.values():
        if answer.status == 0:
            continue
        if answer.named and answer.named != answer.id:
            yield Breach("MIXED", answer.id, f"its answer names request {answer.named}")
        if 200 <= answer.status < 300:
            runs = history.runs.get(answer.id, ())
            complete_answers = {(f"seal-{run.id}", f"{run.service} {run.target}") for run in runs}
            if (answer.seal, answer.body) not in complete_answers:
                yield Breach("MIXED", answer.id, "a success that no backend gave")


def check_runs(history: History) -> Iterable[Breach]:
    """UNASKED: a request that no client sent, or with another method, target, tenant or the client's key."""
    for id, run in history.all_runs():
        request = history.requests.get(id)
        if request is None:
            yield Breach("UNASKED", id, "no client sent it")
            continue
        if (run.method, run.target) != (request.method, request.path):
            text = f"ran as {run.method} {run.target}, sent as {request.method} {request.path}"
            yield Breach("UNASKED", id, text)
        if run.tenant != TENANT or run.key:
            yield Breach("UNASKED", id, "the tenant's name is wrong, or the client's key was passed on")


def check_single_runs(history: History) -> Iterable[Breach]:
    """TWICE: a request that must not be repeated ran more than once."""
    for id, runs in history.runs.items():
        executed = [run for run in runs if run.done]
        if id in history.requests and not is_repeatable(history.requests[id]) and len(executed) > 1:
            backends = ", ".join(run.backend for run in executed)
            yield Breach("TWICE", id, f"ran {len(executed)} times: {backends}")


def check_refusals(history: History) -> Iterable[Breach]:
    """REFUSED: an answer promises that a request which must not be repeated has not run, although it has."""
    for answer in history.answers.values():
        request = history.requests.get(answer.id)
        if request is None or is_repeatable(request) or answer.status not in NOT_EXECUTED_STATUSES:
            continue
        if any(run.done for run in history.runs.get(answer.id, ())):
            yield Breach("REFUSED", answer.id, f"{answer.status} says that it has not run, but it has")


def check_denials(history: History) -> Iterable[Breach]:
    """DENIED: too many errors for requests that every configuration of the day allows."""
    routes = [set(change.routes) for change in history.changes]
    denied = []
    for answer in history.answers.values():
        request = history.requests.get(answer.id)
        if request is None or request.key != KEY:
            continue
        if not 300 <= answer.status < 500 or answer.status in ALLOWED_ERRORS:
            continue
        if all(request.path.split("/")[1] in names for names in routes):
            denied.append(answer)
    if len(denied) > DENIED_ALLOWANCE + DENIED_SHARE * len(history.requests):
        text = f"{len(denied)} valid requests were denied, with status {denied[0].status} first"
        yield Breach("DENIED", denied[0].id, text)
