"""The counts that a door holds for all doors: tenants' stores, kept to their bursts.  Pure.

A name is a tenant's window; its total is what was granted there.  The store behind it fills by the tenant's
rate and holds a burst at the most.  That is kept here, where calls have one order: doors that each put right
by themselves what they saw flow over corrected one another's corrections, and with 75 of them totals swung
without bound (docs/design/quotas.md).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ivymux.switchboard.holders import Holders
from ivymux.tally.store import Store, TallyCall
from orchidhill.interface import Count

MOST_NAMES = 100_000
SURE = 1e18  # of a name that began by the worst case: nothing that its store lacked can come on top


STEP = 0.25  # seconds: how finely it is kept when a store flowed over
MOST_STEPS = 120


@dataclass(slots=True)
class Mark:
    seeded: float = 0.0  # what the store lacked at the window's edge, the most that any door knew of
    raised: float = 0.0  # by how much the total was raised as the store flowed over
    # The same, and what was kept for doors that may be cut off, by the step in which it was.
    flows: dict[int, float] = field(default_factory=dict)
    at: float = 0.0  # up to when something was kept for them

    def flowed(self, over: float, count: Count, now: float) -> None:
        """The store has flowed over up to now, at its rate."""
        self.raised += over
        if count.floor > 0:
            self.note(over, min(count.since, over * count.since / count.floor), now)

    def note(self, amount: float, spread: float, now: float) -> None:
        last = math.floor(now / STEP)
        if now - spread >= last * STEP:  # as it mostly is
            self.flows[last] = self.flows.get(last, 0.0) + amount
        else:
            for step, part in parts(now - spread, now):
                self.flows[step] = self.flows.get(step, 0.0) + part * amount
        while len(self.flows) > MOST_STEPS:
            del self.flows[min(self.flows)]

    def absorbed(self, late: float, spread: float, now: float) -> float:
        """How much of what was taken over the last seconds would have flowed over if it had not been."""
        lacks = gone = 0.0
        for step, part in parts(now - spread, now):
            lacks += part * late
            taken = min(lacks, self.flows.get(step, 0.0))
            if taken:
                self.flows[step] -= taken
                lacks, gone = lacks - taken, gone + taken
        self.raised = max(0.0, self.raised - gone)
        return gone


def parts(start: float, end: float) -> list[tuple[int, float]]:
    """The steps of a span of time, each with its part of the span."""
    first, last = math.floor(start / STEP), math.floor(end / STEP)
    if end <= start or last - first > MOST_STEPS:
        return [(last, 1.0)]
    return [
        (step, (min(end, (step + 1) * STEP) - max(start, step * STEP)) / (end - start))
        for step in range(first, last + 1)
    ]


class Counts:
    def __init__(self, holders: Holders, incarnation: int) -> None:
        self.store = Store(MOST_NAMES)
        self.holders, self.incarnation = holders, incarnation
        self.marks: dict[bytes, Mark] = {}

    def add(self, count: Count, caller: str, now: float) -> float:
        """The total after an amount was added.  Raises TallyFull.

        A name that another door may have held before begins as if its store had been emptied: what was
        granted there is not known, and its quota must hold all the same.
        """
        key, life = b"%d" % count.name, count.expires
        self.store.expire(now)
        if key not in self.store.totals:
            self.begin(key, count, now)
        mark = self.marks[key]
        self.keep_for_missing(key, count, mark, now)
        # All that doors know of a window is less than or as much as what was: the most of it counts.
        if count.seed > mark.seeded:
            more, mark.seeded = count.seed - mark.seeded, count.seed
            absorbed = min(more, mark.raised)  # the store would have flowed over by so much less since
            mark.raised -= absorbed
            self.store.add(key, more - absorbed, life, now)
        if count.knew not in (0, self.incarnation):
            self.store.add(key, max(0.0, count.known - self.store.totals[key]), life, now)
        self.raise_to(key, count, mark, now)
        number = b"%d" % count.call if count.call else b""
        before = self.store.totals[key]
        total = self.store.add_once(TallyCall(key, count.amount, life, caller.encode(), number), now)
        if count.late > 0 and total != before:  # not one that has come before
            self.store.add(key, -mark.absorbed(min(count.late, count.amount), count.spread, now), life, now)
        self.raise_to(key, count, mark, now)  # what is given back to a full store is lost
        return self.store.totals[key]

    def begin(self, key: bytes, count: Count, now: float) -> None:
        if len(self.marks) > 2 * len(self.store.totals) + 64:
            self.marks = {k: m for k, m in self.marks.items() if k in self.store.totals}
        lost = count.drained > 0 and not self.holders.trusted(count.since, now)
        self.store.add(key, count.drained if lost else 0.0, count.expires, now)
        self.marks[key] = Mark(SURE if lost else 0.0, at=now)

    def keep_for_missing(self, key: bytes, count: Count, mark: Mark, now: float) -> None:
        """Doors that went may be cut off and let in their shares: nobody tells before they come back."""
        span, mark.at = now - mark.at, now
        part = self.holders.missing(now)
        if part > 0 and span > 0 and count.since > 0:
            amount = part * span * count.floor / count.since
            self.store.add(key, amount, count.expires, now)
            mark.note(amount, span, now)

    def raise_to(self, key: bytes, count: Count, mark: Mark, now: float) -> None:
        """What the store has flowed over by is gone: nobody can be granted it any more."""
        over = count.floor - self.store.totals[key]
        if over > 0:
            mark.flowed(over, count, now)
            self.store.add(key, over, count.expires, now)
