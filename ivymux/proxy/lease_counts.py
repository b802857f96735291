"""Counts that one proxy holds on behalf of all proxies: recent grants to tenants.  Pure.

A quota allows, in any span of the rule's window, the tenant's rate times the span plus its burst.  A grant is
therefore bounded twice: exactly over the span, and by a token bucket that holds a burst and refills by a
span's allowance per span, which keeps grants from all falling into the span's first moment.  The holder keeps
both bounds, as it receives all calls in one order: if each proxy corrected totals for the overflow that it
sees, proxies would correct one another's corrections, and with 75 proxies the totals oscillate without bound
(docs/design/quotas.md).

Proxies compute a bucket's level from one total per window of a tenant: the bucket is full when the window
begins, refills by the tenant's rate, and lacks the total.  The holder answers with the total at which this
bucket contains exactly what may be granted now.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ivymux.proxy.counter_holders import CounterHolders
from ivymux.tally.store import CounterStore, TallyCall
from orchidhill.interface import Count

MAX_NAMES = 100_000
MAX_IDLE_S = 60.0  # without calls, after which earlier grants to a tenant no longer matter
# Assumed for a tenant with unknown grants, so that no shortfall that is reported later counts.
WORST_CASE_SHORTFALL = 1e18
TAKEOVER_BURST_PART = 0.5  # of a burst, withheld at first from a tenant whose counts are taken over
STEP_S = 0.1  # resolution at which grants are recorded
OVERFLOW_RETENTION_S = 30.0  # for which a bucket's overflow is recorded
ALL_STEPS = 1 << 30  # more steps than are ever kept


class StepAmounts:
    """Amounts by step of time; a step is STEP_S long."""

    __slots__ = ("amounts", "first", "total")

    def __init__(self) -> None:
        self.amounts: dict[int, float] = {}
        self.first, self.total = -(1 << 62), 0.0  # `first`: the oldest step that is kept

    def add(self, step: int, amount: float) -> None:
        if step >= self.first:
            self.amounts[step] = self.amounts.get(step, 0.0) + amount
            self.total += amount

    def add_evenly(self, amount: float, start: float, end: float) -> None:
        """Spread an amount evenly over a span of time, given in steady seconds."""
        for step, part in split_over_steps(start, end):
            self.add(step, part * amount)

    def remove(self, amount: float, step: int, max_steps: int = ALL_STEPS) -> float:
        """Remove an amount, from a step backwards; return how much of the amount was present."""
        remaining = amount
        while remaining > 0 and max_steps and self.amounts and step >= self.first:
            present = min(remaining, self.amounts.get(step, 0.0))
            if present > 0:
                self.amounts[step] -= present
                self.total -= present
                remaining -= present
            step, max_steps = step - 1, max_steps - 1
            if step < min(self.amounts):
                break
        return amount - remaining

    def drop_before(self, first: int) -> None:
        if first <= self.first:
            return
        for step in [step for step in self.amounts if step < first]:
            self.total -= self.amounts.pop(step)
        self.first = first
        if not self.amounts:
            self.total = 0.0


def split_over_steps(start: float, end: float) -> list[tuple[int, float]]:
    """Return the steps of a span of time, each with its part of it; of a long span only the last step."""
    first, last = math.floor(start / STEP_S), math.floor(end / STEP_S)
    if end <= start or first == last or last - first > OVERFLOW_RETENTION_S / STEP_S:
        return [(last, 1.0)]
    return [
        (step, (min(end, (step + 1) * STEP_S) - max(start, step * STEP_S)) / (end - start))
        for step in range(first, last + 1)
    ]


@dataclass(slots=True)
class TenantUsage:
    """Recent grants to one tenant, and the level of its token bucket."""

    level: float
    refilled_at: float
    window: int  # the name of its newest window
    window_start: float  # steady seconds
    # The largest shortfall, reported by any proxy, of the bucket at the window's beginning.
    reported_shortfall: float = 0.0
    granted: StepAmounts = field(default_factory=StepAmounts)  # within the rule's span
    overflow: StepAmounts = field(default_factory=StepAmounts)  # of the token bucket
    reserved: StepAmounts = field(default_factory=StepAmounts)  # for proxies that may be partitioned


class LeaseCounts:
    """The counts that this proxy holds, by tenant."""

    def __init__(self, holders: CounterHolders, incarnation: int) -> None:
        self.store = CounterStore(MAX_NAMES)
        self.holders, self.incarnation = holders, incarnation
        self.usages: dict[int, TenantUsage] = {}  # by customer

    def add(self, count: Count, caller: str, now: float) -> float:
        """Add an amount and return the total.  Raises CounterFullError.

        A name that another proxy may have held begins as if its bucket had been emptied: the grants of that
        proxy are unknown, and the quota must hold all the same.
        """
        key, ttl_s = b"%d" % count.name, count.expires
        self.store.expire(now)
        is_new = key not in self.store.totals
        before = self.store.add(key, 0.0, ttl_s, now)
        usage = self.usages.get(count.customer)
        if usage is None or (is_new and not self.is_complete(usage, count, now)):
            usage = self.start_usage(count, now)
        if now - count.since >= usage.window_start:
            usage.window, usage.window_start = count.name, now - count.since
        self.refill(usage, count, now)
        self.apply_reported_shortfall(usage, count, now)
        number = b"%d" % count.call if count.call else b""
        total = self.store.add_once(TallyCall(key, count.amount, ttl_s, caller.encode(), number), now)
        if total != before:  # otherwise a repeated call
            self.record_grant(usage, count, now)
        return count.burst + count.since * count.rate - self.available(usage, count)

    def available(self, usage: TenantUsage, count: Count) -> float:
        """Return the units that may be granted now; negative after too much was granted."""
        return min(usage.level, count.span * count.rate + count.burst - usage.granted.total)

    def is_complete(self, usage: TenantUsage, count: Count, now: float) -> bool:
        """Whether the usage contains all earlier grants, as no other proxy has held a window since."""
        has_history = self.holders.has_full_history(count.customer, count.since, now)
        holder = self.holders.find_holder
        return has_history and holder(usage.window, count.customer, usage.window_start) == self.holders.me

    def start_usage(self, count: Count, now: float) -> TenantUsage:
        """Start the usage of a tenant whose earlier grants are unknown.

        Assumes that the tenant was granted its rate over the last span, and the units that its bucket lacks.
        """
        if len(self.usages) > 2 * len(self.store.totals) + 64:
            self.usages = {
                customer: usage
                for customer, usage in self.usages.items()
                if now - usage.refilled_at < MAX_IDLE_S
            }
        is_takeover = count.drained > 0 and not self.holders.has_full_history(
            count.customer, count.since, now
        )
        level = count.burst
        if is_takeover:
            # The previous holder may have just granted a burst, unless all proxies had to start again since.
            spent = 0.0 if self.holders.is_common_start(now) else TAKEOVER_BURST_PART * count.burst
            level += count.since * count.rate - count.drained - spent
            level = max(min(1.0, count.burst), level)  # the rule's tolerance covers one request
        shortfall = WORST_CASE_SHORTFALL if is_takeover else 0.0
        usage = TenantUsage(level, now, count.name, now - count.since, shortfall)
        usage.granted.add_evenly(count.span * count.rate, now - count.span, now)
        usage.granted.add(math.floor(now / STEP_S), count.burst - level)
        self.usages[count.customer] = usage
        return usage

    def refill(self, usage: TenantUsage, count: Count, now: float) -> None:
        """Refill the bucket up to now, and record its overflow, which can no longer be granted."""
        refill_rate = count.rate + count.burst / count.span if count.span else 0.0
        elapsed, usage.refilled_at = max(0.0, now - usage.refilled_at), max(now, usage.refilled_at)
        self.reserve_for_missing(usage, count, elapsed, now)
        usage.level += elapsed * refill_rate
        overflow = usage.level - count.burst
        if overflow > 0:
            usage.level = count.burst
            if refill_rate:
                usage.overflow.add_evenly(overflow, now - min(elapsed, overflow / refill_rate), now)
        step = math.floor(now / STEP_S)
        usage.granted.drop_before(math.floor((now - count.span) / STEP_S))
        if elapsed > STEP_S:
            usage.overflow.drop_before(step - int(OVERFLOW_RETENTION_S / STEP_S))
            usage.reserved.drop_before(step - int(OVERFLOW_RETENTION_S / STEP_S))

    def reserve_for_missing(self, usage: TenantUsage, count: Count, elapsed: float, now: float) -> None:
        """Reserve the shares of proxies that left.

        Such a proxy may be partitioned and grant its share, and cannot report that before it reconnects.
        """
        share = self.holders.missing_share(now)
        if share > 0 and elapsed > 0:
            amount = share * elapsed * count.rate
            usage.level -= amount
            usage.reserved.add_evenly(amount, now - elapsed, now)
            usage.granted.add_evenly(amount, now - elapsed, now)

    def apply_reported_shortfall(self, usage: TenantUsage, count: Count, now: float) -> None:
        """Deduct grants that the calling proxy knows of and this holder does not."""
        step, shortfall = math.floor(now / STEP_S), 0.0
        # Each proxy reports no more than the actual shortfall at the window's edge: the largest one counts.
        if count.seed > usage.reported_shortfall:
            increase, usage.reported_shortfall = count.seed - usage.reported_shortfall, count.seed
            # With this shortfall, the bucket would have overflowed by that much less since.
            shortfall = increase - usage.overflow.remove(increase, step)
        if count.knew not in (0, self.incarnation):
            level = count.burst + count.since * count.rate - count.known
            shortfall = max(shortfall, self.available(usage, count) - level)
        if shortfall > 0:
            usage.level -= shortfall
            usage.granted.add(step, shortfall)

    def record_grant(self, usage: TenantUsage, count: Count, now: float) -> None:
        step, late = math.floor(now / STEP_S), max(0.0, min(count.late, count.amount))
        current = count.amount - late
        usage.level = min(count.burst, usage.level - current)  # returns to a full bucket are lost
        if current >= 0:
            usage.granted.add(step, current)
        else:
            usage.granted.remove(-current, step)
        if late > 0:
            self.record_late_grant(usage, late, count.spread, now)

    def record_late_grant(self, usage: TenantUsage, late: float, spread: float, now: float) -> None:
        """Record an amount that a partitioned proxy granted, evenly over the last `spread` seconds."""
        shortfall = from_reserve = 0.0
        for step, part in split_over_steps(now - spread, now):
            shortfall += part * late
            taken = usage.reserved.remove(shortfall, step, 1)
            from_reserve += taken
            shortfall -= taken + usage.overflow.remove(shortfall - taken, step, 1)
        usage.level -= shortfall
        usage.granted.add_evenly(late - from_reserve, now - spread, now)
