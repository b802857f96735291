"""Rules on configurations: ROUTE, CONFIG, LOST of what was acknowledged, Acks.  Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from ivymux.simulation.day_file import Left, Ran, Read, Told
from ivymux.simulation.rules.history import CONTACT, Breach, History

CONFIG_APPLY = 2.5
REVERT_SLACK = 0.25
ACK_BOUND = 5.0
LEAVE_BOUND = 5.0


def routed(history: History) -> Iterable[Breach]:
    """Services that no configuration allows; versions that were over."""
    acknowledged = {t.version: t.at for t in history.seen if isinstance(t, Told) and t.status == 200}
    for id, run in history.all_runs():
        if (ask := history.asks.get(id)) is None:
            continue
        route = ask.path.split("/")[1]
        allowed = [(c.version, c.routes.get(route)) for c in history.changes]
        if run.service not in {service for _, service in allowed}:
            yield Breach("ROUTE", id, f"{run.service} was never named for /{route}/")
            continue
        over = [v for v, at in acknowledged.items() if ask.at > at + CONFIG_APPLY]
        newest = max(over, default=-1)
        still = {service for version, service in allowed if version >= newest}
        if run.service not in still and history.calm(ask.at):
            yield Breach("CONFIG", id, f"ran at {run.service}, {CONFIG_APPLY} s after version {newest} held")


def reverted(history: History) -> Iterable[Breach]:
    """Doors that go back to an older version within one life, once the newer one's effect was seen."""
    by_door: dict[int, list[tuple[float, Ran]]] = defaultdict(list)
    for id, run in history.all_runs():
        if (ask := history.asks.get(id)) is not None:
            by_door[ask.door].append((ask.at, run))
    for door, pairs in by_door.items():
        lives = history.troubles(f"door-{door}")
        newest, seen_at, life = -1, 0.0, 0
        for sent, run in sorted(pairs, key=lambda pair: pair[1].at):
            if (now := sum(at <= sent for at in lives)) != life:
                life, newest = now, -1
            route = run.target.split("/")[1]
            named = [c.version for c in history.changes if c.routes.get(route) == run.service]
            later = [version for version in named if version >= newest]
            if not later:
                if named and sent > seen_at + REVERT_SLACK:
                    text = f"door {door} sent it as before version {newest}, whose effect was seen"
                    yield Breach("CONFIG", run.id, text)
            elif min(later) > newest:
                newest, seen_at = min(later), run.at


def acknowledged(history: History) -> Iterable[Breach]:
    """Orders and leaves without an acknowledgement in calm times."""
    for line in history.seen:
        if isinstance(line, Told) and line.status == 200:
            took, bound, what = line.at - line.sent, ACK_BOUND, f"version {line.version}"
        elif isinstance(line, Left) and line.sent >= 0:
            took, bound, what = line.at - line.sent, LEAVE_BOUND, line.backend
        else:
            continue
        if took > bound and history.calm(line.at - took, line.at - took + bound):
            yield Breach("ACKS", what, f"acknowledged after {took:.1f} s, {CONTACT} s of calm before it")


def lost(history: History) -> Iterable[Breach]:
    told = [t.version for t in history.seen if isinstance(t, Told) and t.status == 200]
    read = next((line for line in history.seen if isinstance(line, Read)), None)
    if not told:
        return
    newest = max(told)
    if read is None:
        yield Breach("CONFIG", f"version {newest}", "was never read back")
    elif read.version < newest:
        yield Breach("LOST", f"version {newest}", f"was acknowledged; version {read.version} was read")
    elif not read.same or read.version not in {c.version for c in history.changes}:
        yield Breach("CONFIG", f"version {read.version}", "read back other than it was sent")
