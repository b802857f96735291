"""The counts that a door holds for all doors: what tenants were granted lately.  Pure.

What a tenant is owed is counted in any span of the rule's window: its rate times that, and its burst.  So a
grant is bounded twice: over the span, exactly, and by a store that holds a burst and fills by a span's worth
in a span, which keeps grants from coming all in the span's first moment.  That is kept here, where calls have
one order: doors that each put right by themselves what they saw flow over corrected one another's
corrections, and with 75 of them totals swung without bound (docs/design/quotas.md).

Doors reckon with a total on the name of a tenant's window: its store, full when the window begins, fills by
its rate and lacks the total.  They are told the total at which that store holds what may be granted now.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ivymux.proxy.counter_holders import CounterHolders
from ivymux.tally.store import Store, TallyCall
from orchidhill.interface import Count

MAX_NAMES = 100_000
MAX_IDLE = 60.0  # seconds after which what was granted to a tenant is of no matter any more
SURE = 1e18  # of a name that began by the worst case: nothing that its store lacked can come on top
LUMP = 0.5  # of a burst, what a tenant that is taken over is granted less to begin with
STEP = 0.1  # seconds: how finely it is kept when something was granted
KEPT = 30.0  # seconds for which it is kept when a store flowed over


class Steps:
    """Amounts by the step of time in which they were."""

    __slots__ = ("amounts", "first", "total")

    def __init__(self) -> None:
        self.amounts: dict[int, float] = {}
        self.first, self.total = -(1 << 62), 0.0

    def put(self, step: int, amount: float) -> None:
        if step >= self.first:
            self.amounts[step] = self.amounts.get(step, 0.0) + amount
            self.total += amount

    def spread(self, amount: float, start: float, end: float) -> None:
        """An amount that was taken evenly over a span of time."""
        for step, part in parts(start, end):
            self.put(step, part * amount)

    def take(self, amount: float, step: int, back: int = 1 << 30) -> float:
        """Take an amount out, from a step on backwards: how much of it was there."""
        rest = amount
        while rest > 0 and back and self.amounts and step >= self.first:
            there = min(rest, self.amounts.get(step, 0.0))
            if there > 0:
                self.amounts[step] -= there
                self.total -= there
                rest -= there
            step, back = step - 1, back - 1
            if step < min(self.amounts):
                break
        return amount - rest

    def forget(self, before: int) -> None:
        """Drop what was before a step."""
        if before <= self.first:
            return
        for step in [s for s in self.amounts if s < before]:
            self.total -= self.amounts.pop(step)
        self.first = before
        if not self.amounts:
            self.total = 0.0


def parts(start: float, end: float) -> list[tuple[int, float]]:
    """The steps of a span of time, each with its part of the span."""
    first, last = math.floor(start / STEP), math.floor(end / STEP)
    if end <= start or first == last or last - first > KEPT / STEP:
        return [(last, 1.0)]
    return [
        (step, (min(end, (step + 1) * STEP) - max(start, step * STEP)) / (end - start))
        for step in range(first, last + 1)
    ]


@dataclass(slots=True)
class TenantUsage:
    """What one tenant was granted lately, and what its store holds."""

    level: float
    at: float  # up to when the store has filled
    name: int  # of its newest window, and when that began, steady seconds
    began: float
    seeded: float = 0.0  # what the store lacked when it was opened, the most that any door knew of
    granted: Steps = field(default_factory=Steps)  # over the span
    over: Steps = field(default_factory=Steps)  # what the store flowed over by
    kept: Steps = field(default_factory=Steps)  # what was kept for doors that may be cut off


class LeaseCounts:
    def __init__(self, holders: CounterHolders, incarnation: int) -> None:
        self.store = Store(MAX_NAMES)
        self.holders, self.incarnation = holders, incarnation
        self.books: dict[int, TenantUsage] = {}

    def add(self, count: Count, caller: str, now: float) -> float:
        """The total after an amount was added.  Raises TallyFull.

        A name that another door may have held before begins as if its store had been emptied: what was
        granted there is not known, and its quota must hold all the same.
        """
        key, life = b"%d" % count.name, count.expires
        self.store.expire(now)
        new = key not in self.store.totals
        before = self.store.add(key, 0.0, life, now)
        book = self.books.get(count.customer)
        if book is None or (new and not self.continues(book, count, now)):
            book = self.open(count, now)
        if now - count.since >= book.began:
            book.name, book.began = count.name, now - count.since
        self.fill(book, count, now)
        self.heed(book, count, now)
        number = b"%d" % count.call if count.call else b""
        total = self.store.add_once(TallyCall(key, count.amount, life, caller.encode(), number), now)
        if total != before:  # not one that has come before
            self.grant(book, count, now)
        return count.burst + count.since * count.rate - self.room(book, count)

    def room(self, book: TenantUsage, count: Count) -> float:
        """What may be granted now; less than nothing where too much was."""
        return min(book.level, count.span * count.rate + count.burst - book.granted.total)

    def continues(self, book: TenantUsage, count: Count, now: float) -> bool:
        """Whether what is known of a tenant's earlier windows is all there was: nobody else held one."""
        trusted = self.holders.has_full_history(count.customer, count.since, now)
        return trusted and self.holders.find_holder(book.name, count.customer, book.began) == self.holders.me

    def open(self, count: Count, now: float) -> TenantUsage:
        """A tenant that nothing is known of: as if it had been granted its rate and what its store lacks."""
        if len(self.books) > 2 * len(self.store.totals) + 64:
            self.books = {c: b for c, b in self.books.items() if now - b.at < MAX_IDLE}
        lost = count.drained > 0 and not self.holders.has_full_history(count.customer, count.since, now)
        level = count.burst
        if lost:
            # Whoever held it may have granted a burst just now, unless all doors had to start first.
            spent = 0.0 if self.holders.is_common_start(now) else LUMP * count.burst
            level += count.since * count.rate - count.drained - spent
            level = max(min(1.0, count.burst), level)  # one request is within what the rule leaves
        book = TenantUsage(level, now, count.name, now - count.since, SURE if lost else 0.0)
        book.granted.spread(count.span * count.rate, now - count.span, now)
        book.granted.put(math.floor(now / STEP), count.burst - level)
        self.books[count.customer] = book
        return book

    def fill(self, book: TenantUsage, count: Count, now: float) -> None:
        """The store fills up to now; what it flows over by nobody can be granted any more."""
        pace = count.rate + count.burst / count.span if count.span else 0.0
        span, book.at = max(0.0, now - book.at), max(now, book.at)
        self.keep_for_missing(book, count, span, now)
        book.level += span * pace
        over = book.level - count.burst
        if over > 0:
            book.level = count.burst
            if pace:
                book.over.spread(over, now - min(span, over / pace), now)
        step = math.floor(now / STEP)
        book.granted.forget(math.floor((now - count.span) / STEP))
        if span > STEP:
            book.over.forget(step - int(KEPT / STEP))
            book.kept.forget(step - int(KEPT / STEP))

    def keep_for_missing(self, book: TenantUsage, count: Count, span: float, now: float) -> None:
        """Doors that went may be cut off and let in their shares: nobody tells before they come back."""
        part = self.holders.missing_share(now)
        if part > 0 and span > 0:
            amount = part * span * count.rate
            book.level -= amount
            book.kept.spread(amount, now - span, now)
            book.granted.spread(amount, now - span, now)

    def heed(self, book: TenantUsage, count: Count, now: float) -> None:
        """What doors know that this one does not."""
        step, lacks = math.floor(now / STEP), 0.0
        # All that doors know of an edge is less than or as much as what was: the most of it counts.
        if count.seed > book.seeded:
            more, book.seeded = count.seed - book.seeded, count.seed
            lacks = more - book.over.take(more, step)  # it would have flowed over by so much less since
        if count.knew not in (0, self.incarnation):
            level = count.burst + count.since * count.rate - count.known
            lacks = max(lacks, self.room(book, count) - level)
        if lacks > 0:
            book.level -= lacks
            book.granted.put(step, lacks)

    def grant(self, book: TenantUsage, count: Count, now: float) -> None:
        step, late = math.floor(now / STEP), max(0.0, min(count.late, count.amount))
        fresh = count.amount - late
        book.level = min(count.burst, book.level - fresh)  # what is given back to a full store is lost
        if fresh >= 0:
            book.granted.put(step, fresh)
        else:
            book.granted.take(-fresh, step)
        if late > 0:
            self.let_in_before(book, late, count.spread, now)

    def let_in_before(self, book: TenantUsage, late: float, spread: float, now: float) -> None:
        """An amount that was let in over the last seconds by a door that was cut off."""
        lacks = kept = 0.0
        for step, part in parts(now - spread, now):
            lacks += part * late
            taken = book.kept.take(lacks, step, 1)
            kept += taken
            lacks -= taken + book.over.take(lacks - taken, step, 1)
        book.level -= lacks
        book.granted.spread(late - kept, now - spread, now)
