"""Overflow of a customer's token bucket, and which gateway adds it to the counter total.  Pure.

A bucket holds at most one burst, but a total on the counter only sums, so overflow has to be added to it.
Any gateway that reads a total may do so; of 200, several read the same total before the first addition has
arrived.  So a gateway adds overflow only to a total that it has read, and checks the addition by its answer.
The counter orders the calls: the first addition finds a bucket that is too full and stays, later additions
do not and are taken off again.  So overflow is added once, however many gateways add it.

Deficits are not forgiven in this way.  If several gateways took one off at once, the total would be less than
each had added, as if the counter had lost totals: each gateway would restore its additions, and totals would
grow into the billions (docs/design/fleet-size.md).  Deficits end with their window.
"""

from __future__ import annotations

from orchidhill import degraded_mode
from orchidhill.interface import Plan

TOLERATED_SHARE = 0.5  # of a burst that a total may lack before overflow is added: each addition costs a call


def tolerated_overflow(plan: Plan) -> float:
    """Return the units that a total may lack; a ceiling also has to cover a full bucket and degraded mode."""
    limit = TOLERATED_SHARE * plan.burst
    if not plan.ceiling_rate:
        return limit
    return max(0.0, min(limit, plan.ceiling_burst - plan.burst - degraded_mode.shared_burst(plan)))


def overflow(plan: Plan, level: float) -> float:
    """Return the units to add to a total by which the bucket holds `level`; 0 within the tolerance."""
    return level - plan.burst if level > plan.burst + tolerated_overflow(plan) else 0.0


def was_lacking(plan: Plan, added: float, level: float) -> bool:
    """Whether `added` units met a total that lacked them, by the bucket's `level` before the addition."""
    # Half is enough, as some may have been leased since; after another gateway's addition little is lacking.
    return level - plan.burst >= added / 2
