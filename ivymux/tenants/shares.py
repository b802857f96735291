"""Decides which tenants' requests a gateway admits, before any costly work for a request.  Pure.

Each tenant has its own limits (requests per second, open requests, connections, buffered bytes, share of
CPU).  Beside these, all tenants share the one CPU of the process: while it is scarce, each tenant gets its
weighted share and what the others leave unused (max-min fairness; Bertsekas and Gallager, "Data Networks",
section 6.5.2).  Idle capacity can be used by any tenant and is redistributed at the end of each span.

Times are passed in, in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

SPAN_S = 0.05  # between two distributions of the CPU
CPU_CAPACITY = 0.85  # part of one CPU that requests may use; the rest is for the process itself
SCARCITY_THRESHOLD = 0.7  # part of one CPU in use from which shares are enforced
INITIAL_COST_S = 200e-6  # CPU time assumed for a served request before the first measurement
REFUSAL_COST_RATIO = 0.15  # CPU time of a refusal relative to a served request
COST_SMOOTHING = 0.2  # weight of a new measurement in the average cost
MAX_COST_RATIO = 10  # by which one measurement may exceed the average
MIN_MEASURED_REQUESTS = 5  # served in a span for a measurement of the cost
LONG_SPAN = 10  # spans after which an interval is too long for a measurement
MIN_CAPACITY_RATIO = 0.25  # of the capacity that remains for requests, however many are refused
MIN_SPAN_REQUESTS = 2.0  # that each tenant may have in any span
MIN_CAPACITY_REQUESTS = 1e-9  # less counts as 0: shares of it lose precision near the smallest float
UNLIMITED = math.inf


class TenantLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    # The docstring is a description in the OpenAPI document of the administration API.
    """What one tenant may take of a front door."""

    requests: float = 1000.0  # per second
    burst: float = 2000.0  # requests at once
    open: int = 1000  # unanswered requests
    connections: int = 500  # of its clients
    held_mb: float = 64.0  # of buffered request bodies
    weight: float = 1.0  # relative to other tenants while CPU is scarce
    cpu: float = 1.0  # part of one CPU, whether it is scarce or not


@dataclass(slots=True)
class Share:
    """The usage of one tenant at one gateway."""

    limits: TenantLimits
    tokens: float  # of the tenant's token bucket, in requests
    refilled_at: float
    allowance: float = UNLIMITED  # requests that are left for this span
    requested: float = 0.0  # requests in this span
    admitted: int = 0  # of these
    is_active: bool = False  # whether the tenant had requests in this span or the one before
    open: int = 0  # requests
    connections: int = 0
    held_bytes: int = 0  # of request bodies
    refused_count: int = 0  # since the start

    @property
    def max_held_bytes(self) -> int:
        """The limit on buffered request bodies."""
        return int(self.limits.held_mb * (1 << 20))


@dataclass(slots=True)
class Shares:
    """The shares of all tenants of one gateway.

    The work at the end of a span depends on the active tenants only.
    """

    active: list[Share] = field(default_factory=list)
    cost_s: float = INITIAL_COST_S  # average CPU time of a served request
    unauthenticated_count: int = 0  # requests in this span without a valid key; they count as refused
    is_scarce: bool = False  # whether CPU was scarce in the last span
    span_ended_at: float = 0.0

    def create(self, limits: TenantLimits, now: float) -> Share:
        """Return the share of a new tenant, with a full token bucket."""
        return Share(limits, limits.burst, now)

    def change_limits(self, share: Share, limits: TenantLimits, now: float) -> None:
        """Replace a tenant's limits; the tokens that it has used stay used."""
        self.refill(share, now)
        share.limits = limits
        share.tokens = min(share.tokens, limits.burst)

    def refill(self, share: Share, now: float) -> None:
        """Add the tokens that have accrued since the last refill, up to the burst."""
        limits = share.limits
        share.tokens = min(limits.burst, share.tokens + max(0.0, now - share.refilled_at) * limits.requests)
        share.refilled_at = max(share.refilled_at, now)

    def admit(self, share: Share, now: float) -> float:
        """Admit a request and return 0, or refuse it and return the seconds until a retry may succeed.

        An admitted request uses a token and counts as open until `release`.
        """
        if not share.is_active:
            share.is_active = True
            self.active.append(share)
            # A tenant that was idle gets its guaranteed share at once, though others have used it meanwhile.
            is_contended = self.is_scarce and len(self.active) > 1
            share.allowance = self.guaranteed_requests(share) if is_contended else self.cpu_limit(share)
        share.requested += 1
        limits = share.limits
        if share.open >= limits.open or share.allowance < 1:
            share.refused_count += 1
            return 1.0 if share.open >= limits.open else self.retry_wait(share)
        # The same as `refill`, inline because it runs for every request.
        tokens = share.tokens
        if (elapsed := now - share.refilled_at) > 0:
            tokens += elapsed * limits.requests
            if tokens > limits.burst:
                tokens = limits.burst
            share.refilled_at = now
        if tokens < 1:
            share.tokens = tokens
            share.refused_count += 1
            return (1 - tokens) / limits.requests
        share.tokens = tokens - 1
        share.allowance -= 1
        share.admitted += 1
        share.open += 1
        return 0.0

    def retry_wait(self, share: Share) -> float:
        """Return the wait after a refusal for lack of CPU: longer the smaller the admitted part is."""
        return max(SPAN_S, SPAN_S * share.requested / max(1.0, share.admitted))

    def release(self, share: Share) -> None:
        """End a request that was answered and has no open attempts."""
        share.open -= 1

    # --- distribution of the CPU, at the end of each span ----------------------------------------------

    def guaranteed_requests(self, share: Share) -> float:
        """Return the requests per span that a tenant may have however many the others send."""
        weights = sum(s.limits.weight for s in self.active)
        cpu = CPU_CAPACITY * share.limits.weight / max(weights, share.limits.weight)
        return min(max(MIN_SPAN_REQUESTS, cpu * SPAN_S / self.cost_s), self.cpu_limit(share))

    def cpu_limit(self, share: Share) -> float:
        """Return the requests per span that a tenant's own CPU limit allows."""
        cpu = share.limits.cpu
        return UNLIMITED if cpu >= 1 else max(MIN_SPAN_REQUESTS, cpu * SPAN_S / self.cost_s)

    def end_span(self, now: float, cpu_s: float) -> None:
        """Set the allowances for the next span; `cpu_s` is the process's CPU time since the last call."""
        elapsed = now - self.span_ended_at
        self.span_ended_at = now
        admitted = sum(s.admitted for s in self.active)
        refused = sum(s.requested for s in self.active) - admitted + self.unauthenticated_count
        self.unauthenticated_count = 0
        if admitted >= MIN_MEASURED_REQUESTS and elapsed < LONG_SPAN * SPAN_S:
            measured_s = cpu_s / (admitted + REFUSAL_COST_RATIO * refused)
            self.cost_s += COST_SMOOTHING * (min(measured_s, MAX_COST_RATIO * self.cost_s) - self.cost_s)
        self.is_scarce = elapsed > 0 and cpu_s >= SCARCITY_THRESHOLD * min(elapsed, LONG_SPAN * SPAN_S)
        for share in self.active:
            share.is_active = share.requested > 0
        self.active = [s for s in self.active if s.is_active]
        if self.is_scarce:
            # Refusals use CPU as well, but must not use all of it.
            total = CPU_CAPACITY * SPAN_S / self.cost_s
            refusals = REFUSAL_COST_RATIO * refused * SPAN_S / max(elapsed, SPAN_S)
            capacity = max(MIN_CAPACITY_RATIO * total, total - refusals)
            fair = max_min(capacity, [(id(s), s.limits.weight, s.requested) for s in self.active])
        for share in self.active:
            if self.is_scarce and len(self.active) > 1:  # a single tenant competes with no other
                # At least the guaranteed share, as a tenant that requested less may request more in the next
                # span.
                share.allowance = min(
                    max(fair[id(share)], self.guaranteed_requests(share)), self.cpu_limit(share)
                )
            else:
                share.allowance = self.cpu_limit(share)
        for share in self.active:
            share.requested, share.admitted = 0.0, 0

    def remove(self, share: Share) -> None:
        """Forget the share of a tenant that is removed."""
        share.is_active = False
        self.active = [s for s in self.active if s is not share]


def max_min(capacity: float, demands: Iterable[tuple[int, float, float]]) -> Mapping[int, float]:
    """Divide a capacity by weight; what one demand does not need goes to the others.

    `demands` are (key, weight, demand); the result maps keys to amounts.
    """
    remaining = sorted(demands, key=lambda d: d[2] / d[1])
    weights = sum(weight for _, weight, _ in remaining)
    amounts = {}
    if capacity < MIN_CAPACITY_REQUESTS:
        capacity = 0.0
    for key, weight, demand in remaining:  # the smallest relative demand first, whose rest others can use
        fair = capacity * weight / weights if weights > 0 else 0.0
        amounts[key] = min(demand, fair)
        capacity -= amounts[key]
        weights -= weight
    return amounts
