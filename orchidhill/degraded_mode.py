"""Degraded mode: whether the counter answers, and what a gateway may admit by itself meanwhile.  Pure.

docs/design/tally.md proves the bounds that follow from these rules.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from orchidhill.interface import Outcome, Plan

EVEN_SHARE = 0.5  # part of a quota that is split evenly; the rest follows the use in the last window
HOLD_S = 60.0  # time in degraded mode during which a local share stays whole
MIN_FADE = 0.5  # lower bound of the fade factor: customers that use half of their quota stay served
MIN_EXCESS = 0.5  # part of a quota admitted locally even if the counter grants others all of the quota
HIGH_OVER_COST = 2.0  # `over_cost` from which local shares add up to at most 1 without a ceiling too
SETTLE_S = 2.0  # after a counter's replacement, in which other gateways restore what they had added
FAILURE_WEIGHT = 0.1  # weight of the newest call
RECOVERY_WEIGHT = 0.3  # of a good answer from an unhealthy counter: a few calls have to suffice
LATE_ANSWER_S = 2.0  # for which a late answer shows that the counter is slow, not unreachable


def quota_share(width: int, usage_share: float) -> float:
    """Return this gateway's part of a quota while the counter cannot be asked.

    Half is split evenly over the customer's `width` gateways, half by `usage_share`: its additions that the
    counter confirmed, over the maximum of the totals.  So a customer's shares add up to at most 1.
    """
    return 1.0 if width <= 1 else EVEN_SHARE / width + (1 - EVEN_SHARE) * min(1.0, usage_share)


def fade_factor(age: float) -> float:
    """Return the part of a local share that is left after `age` seconds in degraded mode.

    The counter may grant other gateways the whole quota, so local admissions on top of it have to shrink.
    """
    return 1.0 if age <= HOLD_S else max(MIN_FADE, HOLD_S / age)


def rate_factor(plan: Plan) -> float:
    """Return the part of a quota's rate that its ceiling leaves while the counter grants others the rate.

    It is at least MIN_EXCESS, or customers that use half of their quota would be refused under a ceiling of
    less than 1.5 times the quota; the design note states by how much that may pass the ceiling.
    """
    return min(1.0, max(MIN_EXCESS, plan.ceiling_rate / plan.rate - 1)) if plan.ceiling_rate else 1.0


def shared_burst(plan: Plan) -> float:
    """Return the burst of all gateways in degraded mode; a ceiling has to cover it and a full bucket."""
    if not plan.ceiling_rate:
        return plan.burst
    return min(plan.burst, max(MIN_EXCESS * plan.burst, plan.ceiling_burst - plan.burst))


def min_local_capacity(plan: Plan, width: int, rank: int) -> float:
    """Return the minimum of a local bucket's capacity: one unit, as a fraction of one admits nothing.

    If the gateways outnumber half of the units of a ceiling's burst, only the first ones get a unit.
    `rank`: this gateway's place among the customer's, from 0.
    """
    limit = plan.ceiling_burst / 2
    return 1.0 if not plan.ceiling_rate or width <= limit or rank < int(limit) else 0.0


class CounterStatus(Enum):
    """State of the counter as inferred from its calls."""

    HEALTHY = "well"
    SLOW = "slow"  # answers arrive after the time-out
    FULL = "full"  # rejects calls
    SILENT = "silent"  # partitioned or gone: once it answers again, incarnation and totals show which
    REFUSED = "refused"  # connections are refused


@dataclass(slots=True)
class CounterHealth:
    """Infers the counter's status from call outcomes; a single call never changes it."""

    failing: float = 0.0  # smoothed share of calls that fail
    failures: dict[CounterStatus, float] = field(default_factory=dict)  # the same by kind of failure
    late_answer_at: float = -LATE_ANSWER_S  # when an answer last arrived after its time-out
    replaced_at: float = -SETTLE_S  # when a total last came from a new incarnation
    status: CounterStatus = CounterStatus.HEALTHY
    split_at: float = -HOLD_S  # when totals last moved while this gateway could not reach the counter

    @property
    def is_healthy(self) -> bool:
        return self.status is CounterStatus.HEALTHY

    def record_outcome(self, now: float, outcome: Outcome) -> CounterStatus | None:
        """Record how a call ended; return the new status if it changed."""
        good = outcome is Outcome.OK
        weight = RECOVERY_WEIGHT if good and not self.is_healthy else FAILURE_WEIGHT
        self.failing += weight * ((not good) - self.failing)
        for kind in self.failures:
            self.failures[kind] *= 1 - FAILURE_WEIGHT
        if not good:
            kinds = {Outcome.CONNECT_FAILED: CounterStatus.REFUSED, Outcome.FULL: CounterStatus.FULL}
            kind = kinds.get(outcome, CounterStatus.SILENT)
            self.failures[kind] = self.failures.get(kind, 0.0) + FAILURE_WEIGHT
        before, self.status = self.status, self.infer_status(now)
        return self.status if self.status is not before else None

    def infer_status(self, now: float) -> CounterStatus:
        # Hysteresis between the two bounds: else single calls would change the status back and forth.
        if self.failing < 0.25 or (self.failing <= 0.5 and self.is_healthy):
            return CounterStatus.HEALTHY
        kind = max(self.failures, key=lambda kind: self.failures[kind])
        is_slow = kind is CounterStatus.SILENT and now - self.late_answer_at < LATE_ANSWER_S
        return CounterStatus.SLOW if is_slow else kind

    def record_split(self, now: float) -> bool:
        """Record that totals moved during an outage of this gateway; return whether to log it again."""
        before, self.split_at = self.split_at, now
        return now - before >= HOLD_S

    def is_settling(self, now: float) -> bool:
        """Whether other gateways may still have to restore their additions to a replaced counter."""
        return now - self.replaced_at < SETTLE_S
