"""Who of many tenants is served, before anything costly is done for a request.  Pure; seconds are passed in.

Each tenant has limits of its own (requests a second, requests open, connections, bytes held, share of
CPU).  Beside these the process has one CPU for all: while that is scarce, each tenant gets its weighted share
and what others leave over (max-min fairness; Bertsekas and Gallager, "Data Networks", section 6.5.2).  What
is idle can be used by whoever wants it and is given back at the next look, one span later.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

SPAN = 0.05  # seconds between looks at who wants how much
CAPACITY = 0.85  # part of one CPU that requests may take; the rest is for what nobody asked for
SCARCE = 0.7  # part of one CPU from which on shares are kept
FIRST_COST = 200e-6  # CPU seconds of a served request, before any was measured
REFUSED_PART = 0.15  # what a refusal costs of a served request
BLEND = 0.2  # how fast the measured cost follows
LEAST_PART = 0.25  # of the capacity that stays for requests, however many are refused
LEAST = 2.0  # requests in each span that a tenant may always have
LEAST_ROOM = 1e-9  # requests; less is no room: near a float's least, shares of it are no longer exact
NEVER = math.inf


class TenantLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What one tenant may take of a front door."""

    requests: float = 1000.0  # a second
    burst: float = 2000.0  # requests at once
    open: int = 1000  # requests without their answer
    connections: int = 500  # of its clients
    held_mb: float = 64.0  # bodies of its requests
    weight: float = 1.0  # beside other tenants, where CPU is scarce
    cpu: float = 1.0  # part of one CPU, also where it is not scarce


@dataclass(slots=True)
class Share:
    """One tenant at one front door."""

    limits: TenantLimits
    level: float  # requests that its burst still holds
    level_at: float
    allowed: float = NEVER  # requests that it may have in this span; without bound where CPU is not scarce
    wanted: float = 0.0  # requests that came in this span
    served: int = 0  # of these, taken
    active: bool = False  # whether it is among those that the next look counts
    open: int = 0
    connections: int = 0
    held: int = 0  # bytes
    refused: int = 0  # since the start

    @property
    def most_held(self) -> int:
        return int(self.limits.held_mb * (1 << 20))


@dataclass(slots=True)
class Shares:
    """All tenants of one front door.  Those that ask for nothing are never looked at."""

    active: list[Share] = field(default_factory=list)  # that asked in this span, or in the one before
    cost: float = FIRST_COST  # CPU seconds of a served request
    strangers: int = 0  # requests in this span that had no key of their tenant: nobody's, refused like others
    scarce: bool = False
    looked_at: float = 0.0

    def make(self, limits: TenantLimits, now: float) -> Share:
        return Share(limits, limits.burst, now)

    def change(self, share: Share, limits: TenantLimits, now: float) -> None:
        """Other limits for a tenant; what it has taken stays taken."""
        self.fill(share, now)
        share.limits = limits
        share.level = min(share.level, limits.burst)

    def fill(self, share: Share, now: float) -> None:
        limits = share.limits
        share.level = min(limits.burst, share.level + max(0.0, now - share.level_at) * limits.requests)
        share.level_at = max(share.level_at, now)

    def ask(self, share: Share, now: float) -> float:
        """0 where a request may go on; else the seconds after which one like it may.

        Takes its part of the burst and of the span; `over` gives back what is open.
        """
        if not share.active:
            share.active = True
            self.active.append(share)
            # It was idle: its own part is its own at once, whoever used it meanwhile.
            crowded = self.scarce and len(self.active) > 1
            share.allowed = self.own(share) if crowded else self.capped(share)
        share.wanted += 1
        limits = share.limits
        if share.open >= limits.open or share.allowed < 1:
            share.refused += 1
            return 1.0 if share.open >= limits.open else self.span_wait(share)
        # As `fill` does; this is every request's way.
        level = share.level
        if (passed := now - share.level_at) > 0:
            level += passed * limits.requests
            if level > limits.burst:
                level = limits.burst
            share.level_at = now
        if level < 1:
            share.level = level
            share.refused += 1
            return (1 - level) / limits.requests
        share.level = level - 1
        share.allowed -= 1
        share.served += 1
        share.open += 1
        return 0.0

    def span_wait(self, share: Share) -> float:
        return max(SPAN, SPAN * share.wanted / max(1.0, share.served))

    def over(self, share: Share) -> None:
        """A request has its answer, and nothing of it is out."""
        share.open -= 1

    # --- the look, once in a span ----------------------------------------------------------------------

    def own(self, share: Share) -> float:
        """Requests in a span that are a tenant's whatever others want."""
        weights = sum(s.limits.weight for s in self.active)
        part = CAPACITY * share.limits.weight / max(weights, share.limits.weight)
        return min(max(LEAST, part * SPAN / self.cost), self.capped(share))

    def capped(self, share: Share) -> float:
        cpu = share.limits.cpu
        return NEVER if cpu >= 1 else max(LEAST, cpu * SPAN / self.cost)

    def look(self, now: float, spent: float) -> None:
        """End a span: `spent` is the CPU seconds that the process took since the last look."""
        passed = now - self.looked_at
        self.looked_at = now
        served = sum(s.served for s in self.active)
        refused = sum(s.wanted for s in self.active) - served + self.strangers
        self.strangers = 0
        if served >= 5 and passed < 10 * SPAN:
            measured = spent / (served + REFUSED_PART * refused)
            self.cost += BLEND * (min(measured, 10 * self.cost) - self.cost)
        self.scarce = passed > 0 and spent >= SCARCE * min(passed, 10 * SPAN)
        for share in self.active:
            share.active = share.wanted > 0  # who asked for nothing leaves
        self.active = [s for s in self.active if s.active]
        if self.scarce:
            # Refusals take CPU as well, though they may not take all of it.
            whole = CAPACITY * SPAN / self.cost
            room = max(LEAST_PART * whole, whole - REFUSED_PART * refused * SPAN / max(passed, SPAN))
            given = max_min(room, [(id(s), s.limits.weight, s.wanted) for s in self.active])
        for share in self.active:
            if self.scarce and len(self.active) > 1:  # alone there is nobody to leave anything to
                # Its own part also where it asked for less: it may be about to ask for more.
                share.allowed = min(max(given[id(share)], self.own(share)), self.capped(share))
            else:
                share.allowed = self.capped(share)
        for share in self.active:
            share.wanted, share.served = 0.0, 0

    def leave(self, share: Share) -> None:
        """A tenant that goes."""
        share.active = False
        self.active = [s for s in self.active if s is not share]


def max_min(room: float, wants: Iterable[tuple[int, float, float]]) -> Mapping[int, float]:
    """Room divided by weight: nobody gets more than it wants, and what it leaves goes to the others.

    `wants` are (key, weight, wanted).
    """
    left = sorted(wants, key=lambda w: w[2] / w[1])
    weights = sum(w for _, w, _ in left)
    given = {}
    if room < LEAST_ROOM:
        room = 0.0
    for key, weight, wanted in left:  # the most modest first: what it leaves is everybody's
        part = room * weight / weights if weights > 0 else 0.0
        given[key] = min(wanted, part)
        room -= given[key]
        weights -= weight
    return given
