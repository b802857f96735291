"""Whether a day kept the rules: only what was seen from outside is looked at.  Pure.

After the users' page of rules, each rule by its name there; bounds in seconds.  Where time decides, a moment
is judged only if no machine was killed or started in the `CONTACT` before it.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ivymux.testdesk.day import Answered, Ask, Change, Day, Doing, Kill, Left, Ran, Read, Seen, Start, Told

CONTACT = 3.0
CONFIG_APPLY = 2.5
DRAIN = 2.5
WINDOW = 5.0
EXCESS, SLACK = 0.1, 20.0
PROMISES = (408, 421, 429, 503)
TENANT = "clerks"


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    id: str  # of the request, or what else broke it
    text: str

    def __str__(self) -> str:
        return f"{self.rule} {self.id}: {self.text}"


def repeatable(ask: Ask) -> bool:
    return not ask.path.startswith("/sign/")


def check(day: Day, doing: Iterable[Doing], seen: Iterable[Seen]) -> list[Breach]:
    """All that broke a rule, in the rules' order."""
    doing, seen = list(doing), list(seen)
    asks = {e.id: e for e in doing if isinstance(e, Ask)}
    changes = sorted((e for e in doing if isinstance(e, Change)), key=lambda e: e.version)
    runs: dict[str, list[Ran]] = defaultdict(list)
    for line in seen:
        if isinstance(line, Ran):
            runs[line.id].append(line)
    answers = [line for line in seen if isinstance(line, Answered)]
    troubles = [e.at for e in doing if isinstance(e, Kill | Start)]
    return [
        *mixed(answers, runs), *unasked(asks, runs), *twice(asks, runs), *refused(asks, answers, runs),
        *routed(asks, changes, seen, runs, troubles), *drained(seen, runs, troubles), *quotas(day, runs),
        *lost(changes, seen),
    ]  # fmt: skip


def calm(at: float, troubles: list[float]) -> bool:
    return not any(at - CONTACT <= trouble <= at for trouble in troubles)


def mixed(answers: list[Answered], runs: dict[str, list[Ran]]) -> Iterable[Breach]:
    for answer in answers:
        if answer.status == 0:
            continue
        if answer.named and answer.named != answer.id:
            yield Breach("MIXED", answer.id, f"its answer names {answer.named}")
        if 200 <= answer.status < 300:
            whole = {(f"seal-{ran.id}", f"{ran.service} {ran.target}") for ran in runs[answer.id]}
            if (answer.seal, answer.body) not in whole:
                yield Breach("MIXED", answer.id, "a success that no backend gave as it is")


def unasked(asks: dict[str, Ask], runs: dict[str, list[Ran]]) -> Iterable[Breach]:
    for id, ran in ((id, ran) for id, all_ran in runs.items() for ran in all_ran):
        ask = asks.get(id)
        if ask is None:
            yield Breach("UNASKED", id, "no client sent it")
            continue
        if (ran.method, ran.target) != (ask.method, ask.path):
            yield Breach("UNASKED", id, f"ran as {ran.method} {ran.target}, sent as {ask.method} {ask.path}")
        if ran.tenant != TENANT or ran.key:
            yield Breach("UNASKED", id, "the tenant's name is not its own, or the key went along")


def twice(asks: dict[str, Ask], runs: dict[str, list[Ran]]) -> Iterable[Breach]:
    for id, all_ran in runs.items():
        done = [ran for ran in all_ran if ran.done]
        if id in asks and not repeatable(asks[id]) and len(done) > 1:
            yield Breach("TWICE", id, f"ran {len(done)} times: {', '.join(r.backend for r in done)}")


def refused(asks: dict[str, Ask], answers: list[Answered], runs: dict[str, list[Ran]]) -> Iterable[Breach]:
    for answer in answers:
        ask = asks.get(answer.id)
        if ask is None or repeatable(ask) or answer.status not in PROMISES:
            continue
        if any(ran.done for ran in runs[answer.id]):
            yield Breach("REFUSED", answer.id, f"{answer.status} says that it has not run, and it has")


def routed(
    asks: dict[str, Ask],
    changes: list[Change],
    seen: list[Seen],
    runs: dict[str, list[Ran]],
    troubles: list[float],
) -> Iterable[Breach]:
    """Services that no configuration allows; versions that were over."""
    acknowledged = {t.version: t.at for t in seen if isinstance(t, Told) and t.status == 200}
    for id, ran in ((id, ran) for id, all_ran in runs.items() for ran in all_ran):
        if (ask := asks.get(id)) is None:
            continue
        route = ask.path.split("/")[1]
        allowed = [(c.version, c.routes.get(route)) for c in changes]
        if ran.service not in {service for _, service in allowed}:
            yield Breach("ROUTE", id, f"{ran.service} was never named for /{route}/")
            continue
        over = [v for v, at in acknowledged.items() if ask.at > at + CONFIG_APPLY]
        newest = max(over, default=-1)
        still = {service for version, service in allowed if version >= newest}
        if ran.service not in still and calm(ask.at, troubles):
            yield Breach("CONFIG", id, f"ran at {ran.service}, {CONFIG_APPLY} s after version {newest} held")


def drained(seen: list[Seen], runs: dict[str, list[Ran]], troubles: list[float]) -> Iterable[Breach]:
    left = {line.backend: line.at for line in seen if isinstance(line, Left)}
    for id, all_ran in runs.items():
        for ran in all_ran:
            late = ran.at - left.get(ran.backend, ran.at)
            if ran.done and late > DRAIN and calm(ran.at, troubles):
                yield Breach("DRAIN", id, f"reached {ran.backend} {late:.1f} s after its leaving was heard")


def quotas(day: Day, runs: dict[str, list[Ran]]) -> Iterable[Breach]:
    allowed = (day.rate * WINDOW + day.burst) * (1 + EXCESS) + SLACK
    sent: Counter[float] = Counter(ran.at for all_ran in runs.values() for ran in all_ran if ran.done)
    times = sorted(sent.elements())
    first = 0
    for number, at in enumerate(times):
        while times[first] <= at - WINDOW:
            first += 1
        if number - first + 1 > allowed:
            yield Breach("QUOTA", TENANT, f"{number - first + 1} in {WINDOW} s, {allowed:.0f} are allowed")
            return


def lost(changes: list[Change], seen: list[Seen]) -> Iterable[Breach]:
    acknowledged = max((t.version for t in seen if isinstance(t, Told) and t.status == 200), default=None)
    read = next((line for line in seen if isinstance(line, Read)), None)
    if acknowledged is None:
        return
    if read is None:
        yield Breach("CONFIG", f"version {acknowledged}", "was never read back")
    elif read.version < acknowledged:
        yield Breach("LOST", f"version {acknowledged}", f"was acknowledged; version {read.version} was read")
    elif not read.same or read.version not in {c.version for c in changes}:
        yield Breach("CONFIG", f"version {read.version}", "read back other than it was sent")
