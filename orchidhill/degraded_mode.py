"""How to live without the tally: what it is taken for, and what a gateway may let in by itself.  Pure.

The bounds that follow from here are proven in docs/design/tally.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from orchidhill.interface import Outcome, Plan

EVEN = 0.5  # part of a quota that is split evenly; the rest goes by what each had of the last window
HOLD = 60.0  # seconds apart in which a share stays whole
FADED = 0.5  # of a share that stays however long that lasts: who keeps to half of a quota is served
LEAST_OVER = 0.5  # of a quota that may be let in beside a tally that gives the other side all of it
DEAR = 2.0  # an `over_cost` from which on the shares add up for a plan without a ceiling too
SETTLE = 2.0  # seconds after a replacement in which the others bring back what they had added
SMOOTH = 0.1  # weight of the newest call
BACK = 0.3  # and of one that is answered while the tally is not taken for well: few calls have to tell
LATE = 2.0  # seconds for which a late answer tells that the tally is slow, not away


def share(width: int, part: float) -> float:
    """This gateway's part of a quota while the tally cannot be asked.

    Half is split evenly over the customer's `width` gateways, half by `part`: what the tally confirmed of
    this gateway's adds to the customer's names, over the most that their totals may be.  All adds are parts
    of the totals, so over the gateways of a customer the shares come to 1 at the most.
    """
    return 1.0 if width <= 1 else EVEN / width + (1 - EVEN) * min(1.0, part)


def fade(age: float) -> float:
    """The part of a share that is left after so many seconds apart.

    The others may be together with a tally that grants the whole quota: what is let in here comes on top
    of that, so it may not go on in full for ever.
    """
    return 1.0 if age <= HOLD else max(FADED, HOLD / age)


def beside(plan: Plan) -> float:
    """The part of a quota's rate that its ceiling leaves beside a tally that grants the whole rate.

    Under a ceiling of less than 1.5 times the quota it is LEAST_OVER all the same, or those who keep to half
    of theirs would be refused: what that may pass the ceiling by is stated in the design note.
    """
    return min(1.0, max(LEAST_OVER, plan.ceiling_rate / plan.rate - 1)) if plan.ceiling_rate else 1.0


def store(plan: Plan) -> float:
    """Units that all gateways together may let in at once; under a ceiling what it leaves beside a full store
    that a tally grants.
    """
    if not plan.ceiling_rate:
        return plan.burst
    return min(plan.burst, max(LEAST_OVER * plan.burst, plan.ceiling_burst - plan.burst))


def least(plan: Plan, width: int, rank: int) -> float:
    """The least that a gateway's share of the store holds: a whole unit, as a part of one serves nobody.

    Where the gateways are more than half of a ceiling's burst has units, only the first ones have one.
    `rank`: this gateway's place among the customer's, from 0.
    """
    most = plan.ceiling_burst / 2
    return 1.0 if not plan.ceiling_rate or width <= most or rank < int(most) else 0.0


class Seen(Enum):
    """What the tally is taken for.  Whether a silent one is cut off or has vanished can't be told from here:
    when it answers again, its incarnation and its totals tell.
    """

    WELL = "well"
    SLOW = "slow"  # its answers come, after their time
    FULL = "full"  # turns calls away
    SILENT = "silent"  # cut off, the other side of a split, or a machine that vanished
    REFUSED = "refused"  # nobody listens there


@dataclass(slots=True)
class Watch:
    """What the calls tell of the tally; one of them changes nothing."""

    failing: float = 0.0  # share of the calls that fail, smoothed
    kinds: dict[Seen, float] = field(default_factory=dict)  # and by how
    late_at: float = -LATE  # when an answer last came after its time
    replaced_at: float = -SETTLE  # when other counts answered for a customer than before
    seen: Seen = Seen.WELL
    split_at: float = -HOLD  # when it was last told that others reached the tally while this gateway did not

    def called(self, now: float, outcome: Outcome) -> Seen | None:
        """Take in how a call ended: what the tally is taken for from now on, if that changes."""
        good = outcome is Outcome.OK
        weight = BACK if good and self.seen is not Seen.WELL else SMOOTH
        self.failing += weight * ((not good) - self.failing)
        for kind in self.kinds:
            self.kinds[kind] *= 1 - SMOOTH
        if not good:
            how = {Outcome.CONNECT_FAILED: Seen.REFUSED, Outcome.FULL: Seen.FULL}.get(outcome, Seen.SILENT)
            self.kinds[how] = self.kinds.get(how, 0.0) + SMOOTH
        was, self.seen = self.seen, self.judge(now)
        return self.seen if self.seen is not was else None

    def judge(self, now: float) -> Seen:
        # Between the two bounds it stays what it was: else each call would change it.
        if self.failing < 0.25 or (self.failing <= 0.5 and self.seen is Seen.WELL):
            return Seen.WELL
        how = max(self.kinds, key=lambda kind: self.kinds[kind])
        return Seen.SLOW if how is Seen.SILENT and now - self.late_at < LATE else how

    def split(self, now: float) -> bool:
        """Totals moved while no answer came here.  Whether to tell that: once in a while."""
        before, self.split_at = self.split_at, now
        return now - before >= HOLD

    def unsettled(self, now: float) -> bool:
        """Whether the others may still have to bring back what they had added to a tally now replaced."""
        return now - self.replaced_at < SETTLE
