"""The counts that a door holds for all doors: tenants' stores, kept to their bursts.  Pure.

A name is a tenant's window; its total is what was granted there.  The store behind it fills by the tenant's
rate and holds a burst at the most.  That is kept here, where calls have one order: doors that each put right
by themselves what they saw flow over corrected one another's corrections, and with 75 of them totals swung
without bound (docs/design/quotas.md).
"""

from __future__ import annotations

from dataclasses import dataclass

from ivymux.switchboard.holders import Holders
from ivymux.tally.store import Store, TallyCall
from orchidhill.interface import Count

MOST_NAMES = 100_000
SURE = 1e18  # of a name that began by the worst case: nothing that its store lacked can come on top


@dataclass(slots=True)
class Mark:
    seeded: float = 0.0  # what the store lacked at the window's edge, the most that any door knew of
    raised: float = 0.0  # by how much the total was raised as the store flowed over


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
        self.store.add_once(TallyCall(key, count.amount, life, caller.encode(), number), now)
        self.raise_to(key, count, mark, now)  # what is given back to a full store is lost
        return self.store.totals[key]

    def begin(self, key: bytes, count: Count, now: float) -> None:
        if len(self.marks) > 2 * len(self.store.totals) + 64:
            self.marks = {k: m for k, m in self.marks.items() if k in self.store.totals}
        lost = count.drained > 0 and not self.holders.trusted(count.since, now)
        self.store.add(key, count.drained if lost else 0.0, count.expires, now)
        self.marks[key] = Mark(SURE if lost else 0.0)

    def raise_to(self, key: bytes, count: Count, mark: Mark, now: float) -> None:
        """What the store has flowed over by is gone: nobody can be granted it any more."""
        over = count.floor - self.store.totals[key]
        if over > 0:
            mark.raised += over
            self.store.add(key, over, count.expires, now)
