"""What a customer's store flows over by, and who puts that on its name.  Pure.

A store holds a burst at the most, but a name on the counter only ever sums: what the store flows over by has
to be added to it.  Any gateway that sees a total may do so, and at 200 of them several see the same total
before the first of their additions has arrived.  So none is guessed ahead of an answer, and each is judged
again by the total that it met itself.  The counter takes calls in one order: the first addition finds a store
that is too full and stands, later ones do not and are taken off again.  So it is added once, however many do.

Debts are not forgiven in this way.  Taken off by several at once they leave less than a gateway itself had
added, which is how a counter looks that has lost its counts: all would bring theirs back, and totals went to
billions (docs/design/fleet-size.md).  They end with their window.
"""

from __future__ import annotations

from orchidhill import degraded_mode
from orchidhill.interface import Plan

LOOSE = 0.5  # of a burst that a name may lack before it is added: each addition costs a call


def loose(plan: Plan) -> float:
    """Units that a name may lack; under a ceiling, what that leaves beside a full store and all unasked."""
    most = LOOSE * plan.burst
    if not plan.ceiling_rate:
        return most
    return max(0.0, min(most, plan.ceiling_burst - plan.burst - degraded_mode.store(plan)))


def over(plan: Plan, level: float) -> float:
    """Units to be added to a name that says its store holds `level`; 0 where it is near enough."""
    return level - plan.burst if level > plan.burst + loose(plan) else 0.0


def stands(plan: Plan, added: float, level: float) -> bool:
    """Whether units that were added met a name that lacked them, by the `level` it said.  Some may have been
    leased between, so half is enough; where another addition was first, next to nothing is lacking.
    """
    return level - plan.burst >= added / 2
