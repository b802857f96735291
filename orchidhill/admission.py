"""Admission by lease (GALE): who is let in, by which credit, what is done while the counter is away.  Pure.

A door's decisions are this and what it does with whom it lets in: `dispatch`, `refuse`, `strain` are of the
class that holds both.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import replace
from hashlib import blake2b

from orchidhill import bucket_overflow, degraded_mode
from orchidhill import interface as i
from orchidhill.call_rate import Pace
from orchidhill.interface import Outcome, Why
from orchidhill.state import FIRST_LATENCY, Call, Job, Lease

# Tuned values: seconds, units or plain ratios.
TICK = 0.025  # how often held work is looked at
WATCH_TICKS = 2  # ticks between looks at attempts that are out and at idle leases
LEARN_RATE = 0.5  # AdaGrad step on ln(batch)
STRAND_FLOOR = 0.5  # least strand penalty, in counter calls: nothing is stranded for free
IDLE_SHARE = 0.25  # credit idle for this part of its window goes back
WINDOW = 20.0  # seconds: what is leased near an edge is seen by the other gateways as late as after it
FORGET = 30.0  # idle records, and what the counter said of a customer, are dropped after this
CALL_WAIT = 0.3  # part of its class's aim for which a request waits until a call may be made
LIKELY = 0.5  # odds of a lease below which a look goes before it
FRESH_TOTAL = 0.005  # seconds for which a look counts
MAX_WAIT = 1.0  # seconds, or that in which two units come, after which a refused customer is asked for anew
NEWEST = 0.3  # weight of the newest grant or denial, the newest report, a reported against an own attempt
UNASKED = 0.8  # strain from which only what the counter granted is let in
MARGIN = 0.03  # time kept before a deadline or a memory span runs out
DRIFT = 0.02  # units that a total may be wrong by until the next lease puts it right
EPS, GRAIN = 1e-4, 1e-6  # totals come back to seven digits: of large ones wrong by this part


def mix(*parts: int) -> int:
    """A stable 64-bit name that every gateway derives alike."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "little")


class Admission:
    caps = False  # whether the counter itself keeps stores to their bursts, over windows too

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.jobs: dict[int, Job] = {}
        self.leases: dict[tuple[int, bool], Lease] = {}  # the one touched last at the end
        self.calls: dict[int, deque[Call]] = {}
        self.wanting: deque[Lease] = deque()  # whose requests wait until a call may be made
        self.serial = mix(seed) >> 16  # of calls that may be made again
        self.actions: list[i.Action] = []
        self.now = 0.0
        self.holding: dict[tuple[int, bool], Lease] = {}  # leases with credit or slots to give back
        self.latency = FIRST_LATENCY
        self.peers = max(1, settings.peers)
        total = settings.counter_pace if settings.has_counter else 0.0
        self.pace = Pace(total, self.peers, settings.counter_timeout, 1 + self.random.random())
        self.tally = degraded_mode.Watch()

    def dispatch(self, job: Job) -> None:
        """Send a job that was let in to a backend."""
        raise NotImplementedError

    def refuse(self, job: Job, retry_after: float, why: Why) -> None:
        raise NotImplementedError

    def largest(self, lease: Lease) -> float:
        """Units that a lease may bring at most beyond what is asked for at once."""
        return math.inf

    def strain(self) -> float:
        """The latency that the present load will bring, over what is aimed at."""
        raise NotImplementedError

    def take(self, req: i.Request) -> Job:
        """A new job, with the leases of its customer whose credit it takes."""
        plan = self.settings.plans[req.plan]
        kinds = [slots for slots, on in ((False, plan.rate > 0), (True, plan.parallel > 0)) if on]
        leases = [self.lease(req, plan, slots) for slots in kinds]
        job = Job(req, self.settings.classes[req.cls], plan, self.now, self.now + req.left, leases)
        self.jobs[req.request] = job
        return job

    def lease(self, req: i.Request, plan: i.Plan, slots: bool) -> Lease:
        lease = self.leases.get((req.customer, slots))
        if lease is None:
            # Whole units: a burst, or under a ceiling what fits it twice over and twice more unasked.
            most = min(plan.burst, plan.ceiling_burst / 4 if plan.ceiling_rate else plan.burst)
            base = float(plan.parallel) if slots else max(1.0, math.floor(most))
            length = 2 * max(c.deadline for c in self.settings.classes) if slots else WINDOW
            span = length if slots else base / plan.rate
            width = max(1, min(req.width, self.settings.peers))
            phase = mix(req.customer) / 2**64 * length
            size = math.log(max(1.0, base / width))  # a new customer's first lease is its share
            lease = Lease(req.customer, plan, width, req.first, slots, length, phase, base, span, size)
            lease.wide = width > base and not slots
            # After a restart: no full share.  A client's repeat was refused elsewhere just now.
            lease.bucket, lease.bucket_at = 0.0 if req.is_retry else 1.0, self.now
        self.leases.pop((req.customer, slots), None)
        self.leases[req.customer, slots] = lease
        self.roll(lease)
        lease.touched = self.now
        return lease

    def admit(self, job: Job) -> None:
        """Take a credit of each of the job's leases, then send it on; else it waits or is refused."""
        for lease in job.leases:
            if lease in job.held:
                continue
            units = self.units(lease, job)
            if self.ripe(lease) + EPS >= units and not lease.waiters:
                self.spend(lease, job, units)
            elif self.now < lease.denied_until:
                self.refuse(job, lease.denied_until - self.now, Why.QUOTA)
            elif self.alone(lease, units):
                self.admit_alone(lease, job, units)
            elif lease.waiting or self.may_call():
                lease.waiters.append(job)
                self.ask(lease)
            elif lease.waiters or self.worth_waiting(lease, job):
                self.wanting.append(lease) if not lease.waiters else None
                lease.waiters.append(job)
            else:
                self.admit_alone(lease, job, units)
            if lease not in job.held:
                return
        self.dispatch(job)

    def spend(self, lease: Lease, job: Job, units: float) -> None:
        lease.credits -= units
        lease.served += units
        lease.bucket = max(self.refill(lease) - units, -lease.base)
        lease.in_use += 1
        job.held.append(lease)
        if not lease.slots:
            job.window = lease.epoch
        if lease.slots or lease.credits > EPS:
            self.holding[lease.customer, lease.slots] = lease

    def units(self, lease: Lease, job: Job) -> float:
        return 1.0 if lease.slots else job.req.units

    def ripe(self, lease: Lease) -> float:
        """Credit that may be spent now."""
        return lease.credits - max(0.0, lease.unripe - (self.now - lease.unripe_at) * lease.plan.rate)

    def roll(self, lease: Lease) -> None:
        """At the window's edge leftovers expire; after each span the sizer learns from the served demand."""
        epoch = math.floor((self.now + lease.phase) / lease.span)
        if epoch != lease.epoch:
            if lease.epoch >= 0:
                self.learn(lease)
            lease.epoch, lease.served = epoch, 0.0
        window = math.floor((self.now + lease.phase) / lease.length)
        if window == lease.window:
            return
        if lease.slots:
            lease.owed = float(lease.in_use)
        else:
            # The next name begins with what the store lacks, put there by whoever comes first.
            filled = (window - lease.window) * lease.length * lease.plan.rate
            lacking = lease.total + lease.owed - (0.0 if self.caps else lease.credits) - filled
            lease.seed = min(max(0.0, lacking), lease.plan.burst)
            lease.owed, lease.lapsed = 0.0 if self.caps else lease.seed, lease.credits
        if not lease.apart_at:  # else what the last window with an answer told still counts
            edge = (lease.window + 1) * lease.length - lease.phase
            known = lease.met and window == lease.window + 1
            lease.last, lease.whole = self.known(lease, edge) if known else (0.0, 0.0)
            lease.part = lease.last / lease.whole if lease.whole else 0.0
        lease.met, lease.shaky, lease.brought, lease.told = False, 0.0, 0.0, 0.0
        lease.doubts.clear()
        lease.window, lease.credits, lease.unripe, lease.mine, lease.total = window, 0.0, 0.0, 0.0, 0.0
        lease.denied_until = 0.0

    def learn(self, lease: Lease) -> None:
        """One AdaGrad step on ln b of orderCost*D/b + strandPenalty*b/2 (optimum sqrt(2*o*D/s))."""
        price = max(self.settings.counter_price, 1e-3)
        used = lease.total / lease.base if lease.slots else 1 - self.store(lease) / lease.plan.burst
        strand = max(STRAND_FLOOR * price, min(1.0, max(0.0, used)) ** 2)  # dear where little is left
        batch = math.exp(lease.size)
        gradient = (strand * batch / 2 - price * lease.served / batch) / price
        lease.slope += gradient * gradient
        lease.size -= LEARN_RATE * gradient / math.sqrt(lease.slope)
        lease.size = min(max(lease.size, 0.0), math.log(max(1.0, lease.base)))

    def ask(self, lease: Lease) -> None:
        """Lease a batch, unless one is in flight: further shortfalls await that one."""
        if lease.waiting:
            return
        need = sum(self.units(lease, job) for job in lease.waiters) - lease.credits
        # Whole units: a fraction beside them would serve nobody and expire.  No more than the store holds.
        size = min(math.exp(lease.size), self.store(lease), self.largest(lease))
        batch = 1.0 if lease.slots else float(round(size))
        lease.asked = max(need, 1.0, batch)
        lease.waiting = True
        if not lease.slots and (lease.apart_at or lease.doubts or self.unsure(lease)):
            return self.look(lease)
        # What the store flowed over by goes along, but where many would all bring it.
        alone = not (lease.slots or lease.wide or self.caps)
        over = max(0.0, self.level(lease) - lease.plan.burst) if alone else 0.0
        self.count(lease, lease.asked + lease.owed + over, gives=False, fix=over)
        lease.owed = 0.0

    def unsure(self, lease: Lease) -> bool:
        """Whether a look goes before a lease.  A customer of few gateways is met often, and its window's name
        is looked at once.  One that goes to more of them than its burst has units hardly meets one twice: a
        look doubles its calls.  But one that is denied has to be taken off again: who may be, looks first.
        """
        if not lease.wide:
            return not lease.met and not self.caps
        if not lease.met and abs(lease.owed) > DRIFT:
            return True
        doubtful = lease.odds < LIKELY or (not lease.met and all(job.req.is_retry for job in lease.waiters))
        return doubtful and self.now - lease.checked >= FRESH_TOTAL

    def look(self, lease: Lease) -> None:
        """A call that adds nothing new, where it is not known what the others have put there.  One without an
        answer may have been added or not: what is in doubt is made again, where that counts once.
        """
        lease.asked, lease.waiting = 0.0, True
        self.count(lease, 0.0, gives=False)
        if lease.doubts:
            (amount, number), call = lease.doubts[0], self.actions[-1]
            assert isinstance(call, i.Count)
            self.actions[-1] = replace(call, amount=amount, call=number)
            self.calls[call.name][-1] = Call(lease, lease.window, 0.0, False, number)

    def level(self, lease: Lease) -> float:
        """What the customer's store holds, the same for all gateways that have seen the same total: it was
        full when the window began and fills at the rate, and all that is taken from it is on the window's
        name.  So is what it flows over by: where each gateway kept that to itself their levels drifted
        apart, one let in too much and another refused with a full store.  It does harm where a gateway
        dies between putting too much there and taking it off again: it is missing until the edge, or
        until `put_right` forgives it.
        """
        since = self.now + lease.phase - lease.window * lease.length
        return lease.plan.burst + since * lease.plan.rate - lease.total - lease.owed

    def store(self, lease: Lease) -> float:
        return min(lease.plan.burst, self.level(lease))

    def see(self, lease: Lease, answer: i.Counted, call: Call, later: float) -> None:
        """A total of this window, with what `call` added; `later` is what I have out behind it."""
        total, before, amount = answer.total, lease.mine, call.amount
        fresh = lease.met and lease.born != answer.born != 0 != lease.born
        lease.born = answer.born or lease.born
        lease.mine += amount
        lost = lease.mine - total
        if self.caps:
            lease.seed = 0.0
        elif fresh or lost > max(0.01, GRAIN * lease.mine):
            # It lost this name, or another one answers: what I know of goes back, of the others too, once.
            self.actions.append(i.Log(f"counter-lost customer={lease.customer}"))
            if fresh:
                self.tally.replaced_at = self.now
            missing = max(0.0, lost if lease.slots else lease.total - later - total)
            lease.owed += missing
            lease.brought += max(0.0, missing - (before if fresh else lost))
            lease.mine = amount if fresh else total
        elif total > EPS:
            if total - amount > max(EPS, GRAIN * total):  # another brought it, and what lapsed here unspent
                lease.owed -= lease.seed + lease.lapsed
            else:
                lease.mine -= lease.seed  # the others may take their part of it off again
            lease.seed = lease.lapsed = 0.0
        moved = total - (lease.total - later) > 1 and lease.met and not lease.slots
        if lease.apart_at and moved and not fresh and self.tally.split(self.now):
            self.actions.append(i.Log("counter-split: others counted there meanwhile"))
        lease.met, lease.total, lease.told = True, total + later, total
        lease.checked = self.now
        if not lease.slots:
            self.put_right(lease, call)
        owes = amount and abs(lease.owed) >= max(DRIFT, GRAIN * total)
        if owes and not (lease.slots or call.gives) and self.may_call():
            owed, lease.owed = lease.owed, 0.0
            self.count(lease, owed, gives=True)

    def put_right(self, lease: Lease, call: Call) -> None:
        """Add what the store has flowed over by; mine is taken off again where another did so first."""
        before = self.level(lease) + call.fix + (0.0 if call.gives else lease.asked)
        if call.gives:
            stands = bucket_overflow.stands(lease.plan, call.fix, before)
            return None if stands else self.give_back(lease, call.fix)
        if lease.wide:
            if over := bucket_overflow.over(lease.plan, before):  # even with few calls: it holds the ceiling
                self.count(lease, over, gives=True, fix=over)
            return
        # What is missing beyond leases that are out, and a burst, was put there in error: who did so died, or
        # heard nothing before taking it off.  Where requests were let in unasked for long some is forgiven.
        if before < -lease.plan.burst - 2 * lease.width:
            lease.owed += before
        if call.amount:  # the others may have put some there before me, or more has flowed over than I knew
            lease.owed += max(0.0, before - lease.plan.burst) - call.fix

    def miss(self, lease: Lease, call: Call, added: bool) -> None:
        """A call failed.  One without an answer most likely was added, as a crowded counter works on.  For
        what was to be taken off that is not relied on, as it would be missing until the edge; taken off
        twice, the store is full sooner, and flows over.
        """
        self.part(lease)
        amount = call.amount
        lease.shaky += min(0.0, amount)
        if added and call.number:
            lease.doubts.append((amount, call.number))
            self.holding[lease.customer, lease.slots] = lease
        if not added:
            lease.total -= amount
            lease.owed += amount - call.fix - (0.0 if call.gives else lease.asked)
        elif not call.gives and not lease.slots:
            lease.owed -= lease.asked  # of no use here any more
            lease.seed = lease.seed if self.caps else 0.0
            lease.lapsed = 0.0

    def count(self, lease: Lease, amount: float, gives: bool, fix: float = 0.0) -> None:
        name = mix(lease.customer, lease.window, lease.slots)
        again = amount > 0 and lease.born > 0 and not lease.slots and not fix
        self.serial += again
        number = self.serial if again else 0
        call = Call(lease, lease.window, amount, gives, number, fix)
        self.calls.setdefault(name, deque()).append(call)
        lease.total += amount
        self.actions.append(i.Count(name, amount, min(60.0, 4 * lease.length), number))
        self.pace.called(self.now)

    def on_counted(self, event: i.Counted) -> None:
        pending = self.calls.get(event.name)
        if not pending:
            return
        call = pending.popleft()
        lease, amount = call.lease, call.amount
        if not pending:
            del self.calls[event.name]
        good = event.outcome is Outcome.OK
        self.judge_counter(event)
        self.roll(lease)
        current = call.window == lease.window
        if good and current and call.number and not amount:
            lease.doubts.pop(0)  # it counts now, once
        if good and current:
            self.see(lease, event, call, sum(c.amount for c in pending))
        elif current:
            self.miss(lease, call, amount > 0 and not event.outcome.never_ran)
        if good:
            lease.apart_at = 0.0
        if call.gives:
            return
        lease.waiting = False
        if good and current and lease.wide and not lease.asked and self.spent(lease):
            lease.odds += NEWEST * (0 - lease.odds)
            self.serve(lease, denied=True)
        elif not current or (good and not lease.asked):  # the batch lapsed with its window, or it only looked
            self.ask(lease) if lease.waiters else None
        elif good:
            self.settle(lease)
        else:
            waiters, lease.waiters = lease.waiters, deque()
            for job in (job for job in waiters if not job.closed):
                self.admit_alone(lease, job, self.units(lease, job))
                if lease in job.held:
                    self.admit(job)

    def spent(self, lease: Lease) -> bool:  # whether the store, as just seen, holds nothing for who waits
        if not lease.waiters or lease.doubts or lease.owed < -DRIFT:
            return False
        return self.level(lease) + lease.credits + EPS < self.units(lease, lease.waiters[0])

    def settle(self, lease: Lease) -> None:
        """Keep what fits and serve the waiters; the rest stays added (a full window), but for slots."""
        first = self.units(lease, lease.waiters[0]) if lease.waiters else 1.0
        excess = max(0.0, lease.total - lease.base if lease.slots else -self.level(lease))
        grant = max(0.0, lease.asked - excess)
        if not lease.slots and excess > EPS:
            # Units that are missing by less than one come with time, and wait here for it, unless a customer
            # comes to so many gateways that another one needs them first.
            grant = min(lease.asked, math.floor(grant + EPS) if lease.wide else math.ceil(grant - EPS))
            lease.unripe, lease.unripe_at = max(0.0, excess - (lease.asked - grant)), self.now
        elif excess > EPS:
            grant = math.floor((grant + lease.credits) / first + EPS) * first - lease.credits
        self.give_back(lease, lease.asked - grant)
        lease.odds += NEWEST * ((excess <= EPS) - lease.odds)
        lease.credits += grant
        self.serve(lease, denied=excess > EPS)

    def give_back(self, lease: Lease, units: float) -> None:
        if units > EPS:
            self.count(lease, -units, gives=True)

    def serve(self, lease: Lease, denied: bool) -> None:
        """Hand credits to waiters in turn; the rest leases again, or is refused if that was denied."""
        ready = []
        while lease.waiters:
            job = lease.waiters[0]
            units = self.units(lease, job)
            if not job.closed and self.ripe(lease) + EPS < units:
                break
            lease.waiters.popleft()
            if not job.closed:
                self.spend(lease, job, units)
                ready.append(job)
        if denied:  # until the store holds what the next one takes; slots come back at any time
            missing = (lease.waiters[0].req.units if lease.waiters else 1.0) - self.ripe(lease)
            if lease.credits < EPS:
                missing = max(missing, 1.0 - self.level(lease))
            # What comes is for all its gateways: the more often it was denied, the rarer it is asked for.
            wait = 2 * TICK if lease.slots else max(0.0, missing) / lease.plan.rate
            if lease.wide:
                wait = min(wait / max(lease.odds, 0.1), max(MAX_WAIT, 2 / lease.plan.rate))
            lease.denied_until = self.now + wait
            refused, lease.waiters = lease.waiters, deque()
            for job in (job for job in refused if not job.closed):
                self.refuse(job, lease.denied_until - self.now, Why.QUOTA)
        elif lease.waiters:
            self.ask(lease)
        for job in ready:
            self.admit(job)

    # --- trouble at the counter ------------------------------------------------------------------

    def judge_counter(self, event: i.Counted) -> None:
        if (seen := self.tally.called(self.now, event.outcome)) is not None:
            self.actions.append(i.Log(f"counter-{seen.value}"))
        self.pace.answered(self.now, event.outcome, event.spent, self.tally.failing > 0.5)

    def may_call(self) -> bool:
        return self.settings.has_counter and self.pace.budget(self.now) >= 1.0

    def spare(self) -> bool:
        return self.pace.spare(self.now)

    def alone(self, lease: Lease, units: float) -> bool:
        """Whether the local share decides though a call could be made: where calls are short, which may hurt
        who is busy at its other gateways, and where the tally was replaced just now, as a new name may lack
        what the others have yet to bring back.
        """
        lacks = not lease.met and self.tally.unsettled(self.now)
        return lacks or (self.pace.many and not self.spare() and self.fits(lease, units))

    def worth_waiting(self, lease: Lease, job: Job) -> bool:
        """Whether a call may be made for it soon, by a counter that answers: a gateway of many has few calls
        a second, and they are asked for unevenly.  A client's repeat where nothing is known of the customer
        was most likely refused for its quota just now: while calls are short they are for the others.
        """
        again = job.req.is_retry and lease.wide and not lease.met
        if again or self.tally.seen is not degraded_mode.Seen.WELL or not self.pace.rate:
            return False
        wait = (len(self.wanting) + 1 - self.pace.budget(self.now)) / self.pace.rate
        return wait < min(CALL_WAIT * job.cls.aim, job.end - self.now - 4 * TICK)

    def call_waiting(self) -> None:
        """Calls for those that wait for one, the longest first."""
        for _ in range(len(self.wanting)):
            if not self.may_call() and self.tally.seen is degraded_mode.Seen.WELL:
                break
            lease = self.wanting.popleft()
            self.roll(lease)
            waiters, lease.waiters = lease.waiters, deque()
            for job in (job for job in waiters if not job.closed):
                self.admit(job)

    def share(self, lease: Lease) -> float:
        """The part of a quota to use unasked.  Under a ceiling, and where what is beyond the quota is dear,
        the parts of all gateways add up to 1 at the most.  Elsewhere it is more where that costs less than
        it earns: by the critical ratio of `over_cost` against the worth lost, and by the denials of a
        customer that was seen lately."""
        plan, width = lease.plan, lease.width
        if plan.ceiling_rate or plan.over_cost >= degraded_mode.DEAR:
            age = self.now - lease.apart_at if lease.apart_at else 0.0
            part = 1 / width if lease.slots else lease.part  # of slots it is not known who had them
            return degraded_mode.share(width, part) * degraded_mode.fade(age)
        ratio = plan.over_cost / (1 + plan.over_cost)
        if self.now - lease.checked < FORGET and not lease.wide:
            ratio *= 1 - lease.odds
        return 1 / (1 + (width - 1) * ratio)

    def known(self, lease: Lease, now: float) -> tuple[float, float]:
        """What the counter confirmed of my adds to this window, and the most that its total may be: no more
        is granted than a store that was full at the window's beginning holds and fills by."""
        own = max(0.0, lease.mine + lease.shaky - lease.brought)
        passed = now + lease.phase - lease.window * lease.length
        return own, max(own, lease.told, lease.plan.burst + passed * lease.plan.rate)

    def most(self, lease: Lease, share: float) -> float:
        """What the local share holds at most."""
        if lease.slots:
            return max(1.0, share * lease.base)
        rank = (self.settings.me - lease.first) % self.peers
        least = degraded_mode.least(lease.plan, lease.width, rank)
        return max(least, share * degraded_mode.store(lease.plan))

    def refill(self, lease: Lease) -> float:
        # A cap on attempts out lets through as many a second as it holds in a latency.
        plan = lease.plan
        rate = lease.base / self.latency if lease.slots else plan.rate * degraded_mode.beside(plan)
        share = self.share(lease)
        level = min(self.most(lease, share), lease.bucket + (self.now - lease.bucket_at) * share * rate)
        lease.bucket, lease.bucket_at = level, self.now
        return level

    def part(self, lease: Lease) -> None:
        """The counter does not answer for a customer: what it granted before does not count against the
        local share any more."""
        if not lease.apart_at:
            if lease.met and not lease.slots:
                own, whole = self.known(lease, self.now)
                lease.part = (lease.last + own) / (lease.whole + whole)
            lease.apart_at, lease.bucket = self.now, max(0.0, self.refill(lease))

    def fits(self, lease: Lease, units: float) -> bool:
        """Within the local share; while the fleet is strained and the counter well, only it grants.  A
        request that is larger than the share holds goes into debt, but under a ceiling.
        """
        strained = self.tally.failing < 0.5 and self.strain() > UNASKED
        level = self.refill(lease)
        wanted = units if lease.plan.ceiling_rate else min(units, self.most(lease, self.share(lease)))
        return not strained and level + EPS >= wanted

    def admit_alone(self, lease: Lease, job: Job, units: float) -> None:
        """Let a request in by the local share; what it takes is added when the counter is back."""
        if self.tally.seen is not degraded_mode.Seen.WELL:
            self.part(lease)
        if self.fits(lease, units):
            lease.credits += units
            lease.owed += units
            self.spend(lease, job, units)
            self.holding[lease.customer, lease.slots] = lease
        else:
            why = Why.CEILING if lease.plan.ceiling_rate and lease.apart_at else Why.COUNTER
            self.refuse(job, self.settings.limits.max_retry_after / 2, why)

    def release(self, job: Job, unsent: bool) -> None:
        """Slots go back; rate credit only if the request was never sent on."""
        for lease in job.held:
            self.roll(lease)
            lease.in_use -= 1
            if not lease.slots:
                lease.credits += job.req.units if unsent else 0.0
            elif not self.may_call() or lease.owed > 0:
                lease.owed -= 1
            else:
                self.give_back(lease, 1.0)

    def scan(self) -> None:
        """Idle credit of customers near their limit goes back, and slots that nobody uses."""
        for key, lease in list(self.holding.items()):
            self.roll(lease)
            if lease.waiting or not self.may_call():
                continue
            if lease.slots and lease.owed > 0:
                owed, lease.owed = lease.owed, 0.0
                self.count(lease, owed, gives=True)
            idle = self.now - lease.touched > IDLE_SHARE * lease.span and not lease.slots
            if idle and (abs(lease.owed) > DRIFT or lease.doubts) and self.now - lease.touched < FORGET:
                self.pay(lease)  # nobody asks: no lease brings along what was let in unasked
                continue
            short = self.store(lease) < lease.plan.burst / 2  # else nobody misses it
            if idle and short and self.spare():
                units, lease.credits = lease.credits, 0.0
                self.give_back(lease, units)
            if (lease.credits <= EPS or (idle and not short)) and not lease.in_use:
                del self.holding[key]
        self.forget()

    def leave(self) -> None:
        """What is leased and not spent goes back, and what is owed is paid: nobody asks here again."""
        for lease in [held for held in self.holding.values() if self.tally.seen is degraded_mode.Seen.WELL]:
            self.roll(lease)
            rest, lease.credits, lease.owed = lease.owed - lease.credits, 0.0, 0.0
            if abs(rest) > EPS and not lease.slots:
                self.count(lease, rest, gives=True)

    def pay(self, lease: Lease) -> None:
        """Add what a customer owes, once its counter answers; a look goes first, as before a lease."""
        if not self.spare() or self.tally.seen is not degraded_mode.Seen.WELL:
            return
        if not lease.met or lease.doubts:
            return self.look(lease)
        owed, lease.owed = lease.owed, 0.0
        self.count(lease, owed, gives=True)

    def forget(self) -> None:
        while self.leases:
            key, lease = next(iter(self.leases.items()))
            if self.now - lease.touched <= FORGET:
                break
            del self.leases[key]
            if lease.in_use:  # looked at again after the others
                lease.touched = self.now
                self.leases[key] = lease
