"""Rules on what clients are answered and on what runs: MIXED, UNASKED, TWICE, REFUSED, DENIED.  Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ivymux.simulation.rules.history import Breach, History, repeatable

PROMISES = (408, 421, 429, 503)  # to a client they say that its request has not run
ALLOWED_ERRORS = (408, 409, 421, 429)
TENANT, KEY = "clerks", "key-one"
DENIED_FREE, DENIED_SHARE = 5, 1 / 500  # requests that may be denied: so many, and this share of all


def mixed(history: History) -> Iterable[Breach]:
    for answer in history.answers.values():
        if answer.status == 0:
            continue
        if answer.named and answer.named != answer.id:
            yield Breach("MIXED", answer.id, f"its answer names {answer.named}")
        if 200 <= answer.status < 300:
            runs = history.runs.get(answer.id, ())
            whole = {(f"seal-{run.id}", f"{run.service} {run.target}") for run in runs}
            if (answer.seal, answer.body) not in whole:
                yield Breach("MIXED", answer.id, "a success that no backend gave as it is")


def unasked(history: History) -> Iterable[Breach]:
    for id, run in history.all_runs():
        ask = history.asks.get(id)
        if ask is None:
            yield Breach("UNASKED", id, "no client sent it")
            continue
        if (run.method, run.target) != (ask.method, ask.path):
            yield Breach("UNASKED", id, f"ran as {run.method} {run.target}, sent as {ask.method} {ask.path}")
        if run.tenant != TENANT or run.key:
            yield Breach("UNASKED", id, "the tenant's name is not its own, or the key went along")


def twice(history: History) -> Iterable[Breach]:
    for id, runs in history.runs.items():
        done = [run for run in runs if run.done]
        if id in history.asks and not repeatable(history.asks[id]) and len(done) > 1:
            yield Breach("TWICE", id, f"ran {len(done)} times: {', '.join(r.backend for r in done)}")


def refused(history: History) -> Iterable[Breach]:
    for answer in history.answers.values():
        ask = history.asks.get(answer.id)
        if ask is None or repeatable(ask) or answer.status not in PROMISES:
            continue
        if any(run.done for run in history.runs.get(answer.id, ())):
            yield Breach("REFUSED", answer.id, f"{answer.status} says that it has not run, and it has")


def denied(history: History) -> Iterable[Breach]:
    """Errors of our own for requests that every configuration of the day allows."""
    routes = [set(change.routes) for change in history.changes]
    wrong = []
    for answer in history.answers.values():
        ask = history.asks.get(answer.id)
        if ask is None or ask.key != KEY or not 300 <= answer.status < 500 or answer.status in ALLOWED_ERRORS:
            continue
        if all(ask.path.split("/")[1] in names for names in routes):
            wrong.append(answer)
    if len(wrong) > DENIED_FREE + DENIED_SHARE * len(history.asks):
        yield Breach(
            "DENIED", wrong[0].id, f"{len(wrong)} proper requests were denied, {wrong[0].status} first"
        )
