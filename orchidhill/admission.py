"""Admission by lease (GALE): gateways lease credits of customers' quotas from a shared counter.  Pure.

Credits are spent without a call; while the counter is unreachable, a local share of the quota decides.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import replace
from hashlib import blake2b

from orchidhill import bucket_overflow, degraded_mode
from orchidhill import interface as i
from orchidhill.call_rate import CallRate
from orchidhill.interface import Outcome, Why
from orchidhill.state import INITIAL_LATENCY_S, Call, Job, Lease

TICK_S = 0.025  # interval of the timer while requests wait
SCAN_TICKS = 2  # ticks between checks of attempts in flight and of idle leases
LEARNING_RATE = 0.5  # AdaGrad step on ln(lease size)
MIN_EXPIRY_PENALTY = 0.5  # in counter calls, for credits that expire unspent: they are never free
IDLE_RETURN_SHARE = 0.25  # of the refill time, after which idle credits are returned
WINDOW_S = 20.0  # other gateways learn of credits leased near a window's end only after it
IDLE_TTL_S = 30.0  # idle leases, and what the counter said of a customer, are dropped after this
CALL_WAIT_SHARE = 0.3  # of a class's target latency, the longest wait until a call may be made
LIKELY_GRANT_ODDS = 0.5  # odds of a grant below which a read precedes a lease
TOTAL_FRESH_S = 0.005  # for which a total that was read counts as current
MAX_DENIAL_S = 1.0  # until a denied customer may lease again, or the time in which two units refill if longer
NEWEST_WEIGHT = 0.3  # of the newest grant or load report, and of reported load against this gateway's
MAX_LOCAL_LOAD = 0.8  # load ratio above which only leased credits admit
MARGIN_S = 0.03  # kept before a deadline or a memory span ends
TOTAL_TOLERANCE = 0.02  # units by which a total may be wrong until the next lease corrects it
EPSILON, TOTAL_PRECISION = 1e-4, 1e-6  # units; part of a total, as totals are sent with seven digits


def stable_hash(*parts: int) -> int:
    """Return a 64-bit hash of the parts that is the same at every gateway."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "little")


class Admission:
    """Leases, admission and degraded mode of one gateway."""

    counter_caps = False  # whether the counter itself caps buckets at their bursts, across windows too

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.jobs: dict[int, Job] = {}
        self.leases: dict[tuple[int, bool], Lease] = {}  # by customer and `for_slots`, last used at the end
        self.pending_calls: dict[int, deque[Call]] = {}  # by counter name, in order
        self.call_queue: deque[Lease] = deque()  # leases whose requests wait until a call may be made
        self.call_serial = stable_hash(seed) >> 16  # of the last repeatable call
        self.actions: list[i.Action] = []
        self.now = 0.0
        self.returnable: dict[tuple[int, bool], Lease] = {}  # leases with credits or slots to return
        self.latency = INITIAL_LATENCY_S
        self.peers = max(1, settings.peers)
        total = settings.counter_pace if settings.has_counter else 0.0
        self.call_rate = CallRate(total, self.peers, settings.counter_timeout, 1 + self.random.random())
        self.counter_health = degraded_mode.CounterHealth()

    def dispatch(self, job: Job) -> None:
        """Send an admitted job to a backend."""
        raise NotImplementedError

    def refuse(self, job: Job, retry_after: float, why: Why) -> None:
        raise NotImplementedError

    def max_lease_size(self, lease: Lease) -> float:
        """Return the maximum of credits to lease beyond what waiting requests need."""
        return math.inf

    def load_ratio(self) -> float:
        """Return the latency that the present load will cause, divided by the target latency."""
        raise NotImplementedError

    def create_job(self, req: i.Request) -> Job:
        """Create a job with the leases whose credits it needs."""
        plan = self.settings.plans[req.plan]
        kinds = [for_slots for for_slots, on in ((False, plan.rate > 0), (True, plan.parallel > 0)) if on]
        leases = [self.get_lease(req, plan, for_slots) for for_slots in kinds]
        job = Job(req, self.settings.classes[req.cls], plan, self.now, self.now + req.left, leases)
        self.jobs[req.request] = job
        return job

    def get_lease(self, req: i.Request, plan: i.Plan, for_slots: bool) -> Lease:
        lease = self.leases.get((req.customer, for_slots))
        if lease is None:
            # Whole units: a burst; a ceiling's burst has to hold this twice, and twice more in degraded mode.
            limit = min(plan.burst, plan.ceiling_burst / 4 if plan.ceiling_rate else plan.burst)
            capacity = float(plan.parallel) if for_slots else max(1.0, math.floor(limit))
            length = 2 * max(c.deadline for c in self.settings.classes) if for_slots else WINDOW_S
            refill = length if for_slots else capacity / plan.rate
            width = max(1, min(req.width, self.settings.peers))
            phase = stable_hash(req.customer) / 2**64 * length
            log_size = math.log(max(1.0, capacity / width))  # a new customer's first lease is its share
            lease = Lease(
                req.customer, plan, width, req.first, for_slots, length, phase, capacity, refill, log_size
            )
            lease.is_wide = width > capacity and not for_slots
            # Not a full share after a restart, and none for a retry, which others most likely just refused.
            lease.local_level, lease.local_level_at = 0.0 if req.is_retry else 1.0, self.now
        self.leases.pop((req.customer, for_slots), None)
        self.leases[req.customer, for_slots] = lease
        self.roll_window(lease)
        lease.used_at = self.now
        return lease

    def admit(self, job: Job) -> None:
        """Spend a credit of each of the job's leases, then dispatch it; else it waits or is refused."""
        for lease in job.leases:
            if lease in job.granted:
                continue
            units = self.units_for(lease, job)
            if self.spendable(lease) + EPSILON >= units and not lease.waiters:
                self.spend(lease, job, units)
            elif self.now < lease.denied_until:
                self.refuse(job, lease.denied_until - self.now, Why.QUOTA)
            elif self.decides_locally(lease, units):
                self.admit_locally(lease, job, units)
            elif lease.is_leasing or self.may_call():
                lease.waiters.append(job)
                self.request_lease(lease)
            elif lease.waiters or self.is_worth_waiting(lease, job):
                if not lease.waiters:
                    self.call_queue.append(lease)
                lease.waiters.append(job)
            else:
                self.admit_locally(lease, job, units)
            if lease not in job.granted:
                return
        self.dispatch(job)

    def spend(self, lease: Lease, job: Job, units: float) -> None:
        """Move credits from a lease to a job; the local share is charged with them too."""
        lease.credits -= units
        lease.served_units += units
        lease.local_level = max(self.refill_local_level(lease) - units, -lease.capacity)
        lease.in_use += 1
        job.granted.append(lease)
        if not lease.for_slots:
            job.credit_period = lease.refill_period
        if lease.for_slots or lease.credits > EPSILON:
            self.returnable[lease.customer, lease.for_slots] = lease

    def units_for(self, lease: Lease, job: Job) -> float:
        return 1.0 if lease.for_slots else job.req.units

    def spendable(self, lease: Lease) -> float:
        """Return the credits that may be spent now, without those leased in advance of the refill."""
        return lease.credits - max(0.0, lease.advance - (self.now - lease.advance_at) * lease.plan.rate)

    def roll_window(self, lease: Lease) -> None:
        """Expire credits at the window's edge; adapt the lease size after each refill period."""
        period = math.floor((self.now + lease.phase) / lease.refill_time)
        if period != lease.refill_period:
            if lease.refill_period >= 0:
                self.adapt_lease_size(lease)
            lease.refill_period, lease.served_units = period, 0.0
        window = math.floor((self.now + lease.phase) / lease.window_length)
        if window == lease.window:
            return
        if lease.for_slots:
            lease.owed = float(lease.in_use)
        else:
            # The next window's total begins with the bucket's deficit, added by the window's first gateway.
            refilled = (window - lease.window) * lease.window_length * lease.plan.rate
            deficit = lease.total + lease.owed - (0.0 if self.counter_caps else lease.credits) - refilled
            lease.edge_deficit = min(max(0.0, deficit), lease.plan.burst)
            lease.owed = 0.0 if self.counter_caps else lease.edge_deficit
            lease.expired_credits = lease.credits
        if not lease.degraded_at:  # in degraded mode the last window with an answer still counts
            edge = (lease.window + 1) * lease.window_length - lease.phase
            is_known = lease.is_synced and window == lease.window + 1
            own, total = self.confirmed_use(lease, edge) if is_known else (0.0, 0.0)
            lease.previous_confirmed, lease.previous_total = own, total
            lease.usage_share = own / total if total else 0.0
        lease.is_synced, lease.last_total, lease.denied_until = False, 0.0, 0.0
        lease.unanswered_returns, lease.restored_for_others = 0.0, 0.0
        lease.unanswered_adds.clear()
        lease.window, lease.credits, lease.advance, lease.confirmed, lease.total = window, 0.0, 0.0, 0.0, 0.0

    def adapt_lease_size(self, lease: Lease) -> None:
        """AdaGrad step on ln(size) for price*D/size + penalty*size/2 (best sqrt(2*price*D/penalty))."""
        price, burst = max(self.settings.counter_price, 1e-3), lease.plan.burst
        used = lease.total / lease.capacity if lease.for_slots else 1 - self.bucket_credits(lease) / burst
        penalty = max(MIN_EXPIRY_PENALTY * price, min(1.0, max(0.0, used)) ** 2)  # high if little is left
        size = math.exp(lease.log_size)
        gradient = (penalty * size / 2 - price * lease.served_units / size) / price  # D: served units
        lease.gradient_sum += gradient * gradient
        lease.log_size -= LEARNING_RATE * gradient / math.sqrt(lease.gradient_sum)
        lease.log_size = min(max(lease.log_size, 0.0), math.log(max(1.0, lease.capacity)))

    def request_lease(self, lease: Lease) -> None:
        """Lease credits, unless a call is in flight: requests that need more wait for its answer."""
        if lease.is_leasing:
            return
        need = sum(self.units_for(lease, job) for job in lease.waiters) - lease.credits
        # Whole units, as a fraction would serve no request and expire; and no more than the bucket holds.
        size = min(math.exp(lease.log_size), self.bucket_credits(lease), self.max_lease_size(lease))
        lease.requested = max(need, 1.0, 1.0 if lease.for_slots else float(round(size)))
        lease.is_leasing = True
        if not lease.for_slots and (lease.degraded_at or lease.unanswered_adds or self.should_read(lease)):
            return self.read_total(lease)
        # The call also adds the overflow, but not of a wide customer: too many gateways would add it.
        adds_overflow = not (lease.for_slots or lease.is_wide or self.counter_caps)
        overflow = max(0.0, self.bucket_level(lease) - lease.plan.burst) if adds_overflow else 0.0
        amount = lease.requested + lease.owed + overflow
        self.call_counter(lease, amount, is_adjustment=False, correction=overflow)
        lease.owed = 0.0

    def should_read(self, lease: Lease) -> bool:
        """Whether to read the total before leasing.

        The total is read once per window.  A wide customer rarely comes to a gateway twice, so reads would
        double its calls: they precede only leases that may well be denied and then have to be taken off.
        """
        if not lease.is_wide:
            return not lease.is_synced and not self.counter_caps
        if not lease.is_synced and abs(lease.owed) > TOTAL_TOLERANCE:
            return True
        only_retries = not lease.is_synced and all(job.req.is_retry for job in lease.waiters)
        is_doubtful = lease.grant_odds < LIKELY_GRANT_ODDS or only_retries
        return is_doubtful and self.now - lease.answered_at >= TOTAL_FRESH_S

    def read_total(self, lease: Lease) -> None:
        """Make a call that adds nothing new; it repeats an unanswered addition, which then counts once."""
        lease.requested, lease.is_leasing = 0.0, True
        self.call_counter(lease, 0.0, is_adjustment=False)
        if lease.unanswered_adds:
            (amount, serial), call = lease.unanswered_adds[0], self.actions[-1]
            assert isinstance(call, i.Count)
            self.actions[-1] = replace(call, amount=amount, call=serial)
            self.pending_calls[call.name][-1] = Call(lease, lease.window, 0.0, False, serial)

    def bucket_level(self, lease: Lease) -> float:
        """Return the level of the customer's token bucket; above the burst it has overflowed.

        Gateways with the same total compute the same level: the bucket was full when the window began and
        refills at the rate, and all that leaves it is in the total.  So is overflow: if each gateway kept its
        own, levels would drift apart, and one would admit too much while another refused with a full bucket.
        Units that a dying gateway added in excess are missing until the window's edge or `repair_total`.
        """
        elapsed = self.now + lease.phase - lease.window * lease.window_length
        return lease.plan.burst + elapsed * lease.plan.rate - lease.total - lease.owed

    def bucket_credits(self, lease: Lease) -> float:
        return min(lease.plan.burst, self.bucket_level(lease))

    def apply_total(self, lease: Lease, answer: i.Counted, call: Call, in_flight: float) -> None:
        """Apply a total of this window that includes `call`; `in_flight`: sum of the calls made after it."""
        total, before, amount = answer.total, lease.confirmed, call.amount
        is_replaced = lease.is_synced and lease.incarnation != answer.born != 0 != lease.incarnation
        lease.incarnation = answer.born or lease.incarnation
        lease.confirmed += amount
        lost = lease.confirmed - total
        if self.counter_caps:
            lease.edge_deficit = 0.0
        elif is_replaced or lost > max(0.01, TOTAL_PRECISION * lease.confirmed):
            # The counter lost the total or was replaced: restore the last known total once, others' part too.
            self.actions.append(i.Log(f"counter-lost customer={lease.customer}"))
            if is_replaced:
                self.counter_health.replaced_at = self.now
            missing = max(0.0, lost if lease.for_slots else lease.total - in_flight - total)
            lease.owed += missing
            lease.restored_for_others += max(0.0, missing - (before if is_replaced else lost))
            lease.confirmed = amount if is_replaced else total
        elif total > EPSILON:
            if total - amount > max(EPSILON, TOTAL_PRECISION * total):  # another gateway added the deficit
                lease.owed -= lease.edge_deficit + lease.expired_credits  # it counted these as spent
            else:
                lease.confirmed -= lease.edge_deficit  # others may take their part of the deficit off again
            lease.edge_deficit = lease.expired_credits = 0.0
        moved = total - (lease.total - in_flight) > 1 and lease.is_synced and not lease.for_slots
        if lease.degraded_at and moved and not is_replaced and self.counter_health.record_split(self.now):
            self.actions.append(i.Log("counter-split: others counted there meanwhile"))
        lease.is_synced, lease.total, lease.last_total = True, total + in_flight, total
        lease.answered_at = self.now
        if not lease.for_slots:
            self.repair_total(lease, call)
        owes = amount and abs(lease.owed) >= max(TOTAL_TOLERANCE, TOTAL_PRECISION * total)
        if owes and not (lease.for_slots or call.is_adjustment) and self.may_call():
            owed, lease.owed = lease.owed, 0.0
            self.call_counter(lease, owed, is_adjustment=True)

    def repair_total(self, lease: Lease, call: Call) -> None:
        """Add overflow to the total, as ceilings depend on it; take it off if another gateway was first."""
        before = self.bucket_level(lease) + call.correction + (0.0 if call.is_adjustment else lease.requested)
        if call.is_adjustment:
            was_lacking = bucket_overflow.was_lacking(lease.plan, call.correction, before)
            return None if was_lacking else self.return_credits(lease, call.correction)
        if lease.is_wide:
            if overflow := bucket_overflow.overflow(lease.plan, before):  # also while calls are short
                self.call_counter(lease, overflow, is_adjustment=True, correction=overflow)
            return
        # A deficit of more than a burst and the leases in flight was added by mistake, by a gateway that died
        # or got no answer before taking it off.  After a long outage this forgives some local admissions.
        if before < -lease.plan.burst - 2 * lease.width:
            lease.owed += before
        if call.amount:  # others may have added overflow first, or there was more overflow than known
            lease.owed += max(0.0, before - lease.plan.burst) - call.correction

    def apply_failure(self, lease: Lease, call: Call, added: bool) -> None:
        """Handle a failed call; `added`: whether it may have been added, as is likely without an answer.

        Returns without an answer are repeated: credits that were never returned would be missing until the
        window's edge, while credits that were returned twice only fill the bucket sooner.
        """
        self.enter_degraded_mode(lease)
        amount = call.amount
        lease.unanswered_returns += min(0.0, amount)
        if added and call.serial:
            lease.unanswered_adds.append((amount, call.serial))
            self.returnable[lease.customer, lease.for_slots] = lease
        if not added:
            lease.total -= amount
            lease.owed += amount - call.correction - (0.0 if call.is_adjustment else lease.requested)
        elif not call.is_adjustment and not lease.for_slots:
            lease.owed -= lease.requested  # no request waits for these credits any more
            lease.edge_deficit = lease.edge_deficit if self.counter_caps else 0.0
            lease.expired_credits = 0.0

    def call_counter(self, lease: Lease, amount: float, is_adjustment: bool, correction: float = 0.0) -> None:
        name = stable_hash(lease.customer, lease.window, lease.for_slots)
        is_repeatable = amount > 0 and lease.incarnation > 0 and not lease.for_slots and not correction
        self.call_serial += is_repeatable
        serial = self.call_serial if is_repeatable else 0
        call = Call(lease, lease.window, amount, is_adjustment, serial, correction)
        self.pending_calls.setdefault(name, deque()).append(call)
        lease.total += amount
        self.actions.append(i.Count(name, amount, min(60.0, 4 * lease.window_length), serial))
        self.call_rate.record_call(self.now)

    def on_counted(self, event: i.Counted) -> None:
        pending = self.pending_calls.get(event.name)
        if not pending:
            return
        call = pending.popleft()
        lease, amount = call.lease, call.amount
        if not pending:
            del self.pending_calls[event.name]
        good = event.outcome is Outcome.OK
        self.observe_counter(event)
        self.roll_window(lease)
        current = call.window == lease.window
        if good and current and call.serial and not amount:
            lease.unanswered_adds.pop(0)  # the repeated addition now counts once
        if good and current:
            self.apply_total(lease, event, call, sum(c.amount for c in pending))
        elif current:
            self.apply_failure(lease, call, amount > 0 and not event.outcome.never_ran)
        if good:
            lease.degraded_at = 0.0
        if call.is_adjustment:
            return
        lease.is_leasing = False
        if good and current and lease.is_wide and not lease.requested and self.is_bucket_empty(lease):
            lease.grant_odds += NEWEST_WEIGHT * (0 - lease.grant_odds)
            self.serve_waiters(lease, denied=True)
        elif not current or (good and not lease.requested):  # the lease expired, or was a read
            if lease.waiters:
                self.request_lease(lease)
        elif good:
            self.apply_grant(lease)
        else:
            waiters, lease.waiters = lease.waiters, deque()
            for job in (job for job in waiters if not job.closed):
                self.admit_locally(lease, job, self.units_for(lease, job))
                if lease in job.granted:
                    self.admit(job)

    def is_bucket_empty(self, lease: Lease) -> bool:
        """Whether the bucket, as just read, can't serve the first waiter."""
        if not lease.waiters or lease.unanswered_adds or lease.owed < -TOTAL_TOLERANCE:
            return False
        return self.bucket_level(lease) + lease.credits + EPSILON < self.units_for(lease, lease.waiters[0])

    def apply_grant(self, lease: Lease) -> None:
        """Keep the credits that the bucket held, return the rest and serve the waiters."""
        first = self.units_for(lease, lease.waiters[0]) if lease.waiters else 1.0
        excess = max(0.0, lease.total - lease.capacity if lease.for_slots else -self.bucket_level(lease))
        grant = max(0.0, lease.requested - excess)
        if not lease.for_slots and excess > EPSILON:
            # A missing fraction of a unit refills soon and is leased in advance, unless the customer is so
            # wide that another gateway needs it first.
            whole = math.floor(grant + EPSILON) if lease.is_wide else math.ceil(grant - EPSILON)
            grant = min(lease.requested, whole)
            lease.advance, lease.advance_at = max(0.0, excess - (lease.requested - grant)), self.now
        elif excess > EPSILON:
            grant = math.floor((grant + lease.credits) / first + EPSILON) * first - lease.credits
        self.return_credits(lease, lease.requested - grant)
        lease.grant_odds += NEWEST_WEIGHT * ((excess <= EPSILON) - lease.grant_odds)
        lease.credits += grant
        self.serve_waiters(lease, denied=excess > EPSILON)

    def return_credits(self, lease: Lease, units: float) -> None:
        if units > EPSILON:
            self.call_counter(lease, -units, is_adjustment=True)

    def serve_waiters(self, lease: Lease, denied: bool) -> None:
        """Admit waiters in order; the rest lease again, or are refused if the lease was denied."""
        ready = []
        while lease.waiters:
            job = lease.waiters[0]
            units = self.units_for(lease, job)
            if not job.closed and self.spendable(lease) + EPSILON < units:
                break
            lease.waiters.popleft()
            if not job.closed:
                self.spend(lease, job, units)
                ready.append(job)
        if denied:  # until the bucket holds enough for the next request; slots may come back at any time
            missing = (lease.waiters[0].req.units if lease.waiters else 1.0) - self.spendable(lease)
            if lease.credits < EPSILON:
                missing = max(missing, 1.0 - self.bucket_level(lease))
            wait = 2 * TICK_S if lease.for_slots else max(0.0, missing) / lease.plan.rate
            if lease.is_wide:  # its gateways share the refill: lease less often the more it is denied
                wait = min(wait / max(lease.grant_odds, 0.1), max(MAX_DENIAL_S, 2 / lease.plan.rate))
            lease.denied_until = self.now + wait
            refused, lease.waiters = lease.waiters, deque()
            for job in (job for job in refused if not job.closed):
                self.refuse(job, lease.denied_until - self.now, Why.QUOTA)
        elif lease.waiters:
            self.request_lease(lease)
        for job in ready:
            self.admit(job)

    def observe_counter(self, event: i.Counted) -> None:
        if (status := self.counter_health.record_outcome(self.now, event.outcome)) is not None:
            self.actions.append(i.Log(f"counter-{status.value}"))
        self.call_rate.record_answer(self.now, event.outcome, event.spent, self.counter_health.failing > 0.5)

    def may_call(self) -> bool:
        return self.settings.has_counter and self.call_rate.budget(self.now) >= 1.0

    def decides_locally(self, lease: Lease, units: float) -> bool:
        """Whether the local share decides although a call may be made: while calls are scarce, at the expense
        of the customer's requests elsewhere, and while others restore the totals of a replaced counter.
        """
        may_lack = not lease.is_synced and self.counter_health.is_settling(self.now)
        is_short = self.call_rate.is_plentiful and not self.call_rate.has_spare(self.now)
        return may_lack or (is_short and self.fits_local_share(lease, units))

    def is_worth_waiting(self, lease: Lease, job: Job) -> bool:
        """Whether a call to a healthy counter may be made soon; in a large fleet a gateway has few calls."""
        # A client's retry was most likely just refused for its quota: other requests get the scarce calls.
        is_repeated = job.req.is_retry and lease.is_wide and not lease.is_synced
        if is_repeated or not self.counter_health.is_healthy or not self.call_rate.rate:
            return False
        wait = (len(self.call_queue) + 1 - self.call_rate.budget(self.now)) / self.call_rate.rate
        return wait < min(CALL_WAIT_SHARE * job.cls.aim, job.deadline - self.now - 4 * TICK_S)

    def admit_queued(self) -> None:
        """Admit the requests that wait for a call, oldest first, as far as calls may be made."""
        for _ in range(len(self.call_queue)):
            if not self.may_call() and self.counter_health.is_healthy:
                break
            lease = self.call_queue.popleft()
            self.roll_window(lease)
            waiters, lease.waiters = lease.waiters, deque()
            for job in (job for job in waiters if not job.closed):
                self.admit(job)

    def local_share(self, lease: Lease) -> float:
        """Return the part of a quota that may be admitted without the counter.

        The shares of all gateways add up to at most 1 under a ceiling or at a high `over_cost`.  Else they
        may be more, by the critical ratio of `over_cost` to the worth lost and by the customer's denials.
        """
        plan, width = lease.plan, lease.width
        if plan.ceiling_rate or plan.over_cost >= degraded_mode.HIGH_OVER_COST:
            age = self.now - lease.degraded_at if lease.degraded_at else 0.0
            usage_share = 1 / width if lease.for_slots else lease.usage_share  # slots' users aren't known
            return degraded_mode.quota_share(width, usage_share) * degraded_mode.fade_factor(age)
        ratio = plan.over_cost / (1 + plan.over_cost)
        if self.now - lease.answered_at < IDLE_TTL_S and not lease.is_wide:
            ratio *= 1 - lease.grant_odds
        return 1 / (1 + (width - 1) * ratio)

    def confirmed_use(self, lease: Lease, now: float) -> tuple[float, float]:
        """Return the confirmed additions to this window, and its maximal total from a full bucket."""
        own = max(0.0, lease.confirmed + lease.unanswered_returns - lease.restored_for_others)
        elapsed = now + lease.phase - lease.window * lease.window_length
        return own, max(own, lease.last_total, lease.plan.burst + elapsed * lease.plan.rate)

    def local_capacity(self, lease: Lease, share: float) -> float:
        """Return the capacity of the local share's token bucket."""
        if lease.for_slots:
            return max(1.0, share * lease.capacity)
        rank = (self.settings.me - lease.first_gateway) % self.peers
        minimum = degraded_mode.min_local_capacity(lease.plan, lease.width, rank)
        return max(minimum, share * degraded_mode.shared_burst(lease.plan))

    def refill_local_level(self, lease: Lease) -> float:
        # A concurrency limit admits as many requests per second as it has slots per latency.
        plan = lease.plan
        slot_rate = lease.capacity / self.latency
        rate = slot_rate if lease.for_slots else plan.rate * degraded_mode.rate_factor(plan)
        share = self.local_share(lease)
        level = lease.local_level + (self.now - lease.local_level_at) * share * rate
        lease.local_level, lease.local_level_at = min(self.local_capacity(lease, share), level), self.now
        return lease.local_level

    def enter_degraded_mode(self, lease: Lease) -> None:
        """Use the local share, as the counter does not answer; a debt from earlier grants is forgotten."""
        if not lease.degraded_at:
            if lease.is_synced and not lease.for_slots:
                own, total = self.confirmed_use(lease, self.now)
                lease.usage_share = (lease.previous_confirmed + own) / (lease.previous_total + total)
            lease.degraded_at, lease.local_level = self.now, max(0.0, self.refill_local_level(lease))

    def fits_local_share(self, lease: Lease, units: float) -> bool:
        """Whether the local share admits `units`; a request larger than its capacity may leave a debt, except
        under a ceiling.  While the fleet is overloaded and the counter answers, only leased credits admit.
        """
        is_overloaded = self.counter_health.failing < 0.5 and self.load_ratio() > MAX_LOCAL_LOAD
        level = self.refill_local_level(lease)
        limit = math.inf if lease.plan.ceiling_rate else self.local_capacity(lease, self.local_share(lease))
        return not is_overloaded and level + EPSILON >= min(units, limit)

    def admit_locally(self, lease: Lease, job: Job, units: float) -> None:
        """Admit a request by the local share; its units are added once the counter answers again."""
        if not self.counter_health.is_healthy:
            self.enter_degraded_mode(lease)
        if self.fits_local_share(lease, units):
            lease.credits += units
            lease.owed += units
            self.spend(lease, job, units)
            self.returnable[lease.customer, lease.for_slots] = lease
        else:
            why = Why.CEILING if lease.plan.ceiling_rate and lease.degraded_at else Why.COUNTER
            self.refuse(job, self.settings.limits.max_retry_after / 2, why)

    def release(self, job: Job, unsent: bool) -> None:
        """Return the job's slots; rate credits only if the request was never sent."""
        for lease in job.granted:
            self.roll_window(lease)
            lease.in_use -= 1
            if not lease.for_slots:
                lease.credits += job.req.units if unsent else 0.0
            elif not self.may_call() or lease.owed > 0:
                lease.owed -= 1
            else:
                self.return_credits(lease, 1.0)

    def return_idle_credits(self) -> None:
        """Return idle credits of customers near their limit, and unused slots."""
        for key, lease in list(self.returnable.items()):
            self.roll_window(lease)
            if lease.is_leasing or not self.may_call():
                continue
            if lease.for_slots and lease.owed > 0:
                owed, lease.owed = lease.owed, 0.0
                self.call_counter(lease, owed, is_adjustment=True)
            idle_time = self.now - lease.used_at
            is_idle = idle_time > IDLE_RETURN_SHARE * lease.refill_time and not lease.for_slots
            owes = abs(lease.owed) > TOTAL_TOLERANCE or lease.unanswered_adds
            if is_idle and owes and idle_time < IDLE_TTL_S:
                self.add_owed(lease)  # no further lease will add it
                continue
            is_short = self.bucket_credits(lease) < lease.plan.burst / 2  # else no one needs the credits
            if is_idle and is_short and self.call_rate.has_spare(self.now):
                units, lease.credits = lease.credits, 0.0
                self.return_credits(lease, units)
            if (lease.credits <= EPSILON or (is_idle and not is_short)) and not lease.in_use:
                del self.returnable[key]
        self.evict_idle_leases()

    def on_leaving(self) -> None:
        """Return unspent credits and add what is owed before the process ends."""
        for lease in list(self.returnable.values()) if self.counter_health.is_healthy else []:
            self.roll_window(lease)
            rest, lease.credits, lease.owed = lease.owed - lease.credits, 0.0, 0.0
            if abs(rest) > EPSILON and not lease.for_slots:
                self.call_counter(lease, rest, is_adjustment=True)

    def add_owed(self, lease: Lease) -> None:
        """Add what a customer owes once the counter answers; a read precedes it, as for a lease."""
        if not self.call_rate.has_spare(self.now) or not self.counter_health.is_healthy:
            return
        if not lease.is_synced or lease.unanswered_adds:
            return self.read_total(lease)
        owed, lease.owed = lease.owed, 0.0
        self.call_counter(lease, owed, is_adjustment=True)

    def evict_idle_leases(self) -> None:
        while self.leases:
            key, lease = next(iter(self.leases.items()))
            if self.now - lease.used_at <= IDLE_TTL_S:
                break
            del self.leases[key]
            if lease.in_use:  # moved to the end, checked again later
                lease.used_at = self.now
                self.leases[key] = lease
