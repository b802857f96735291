"""The decisions of one of the system's proxies: admission (admission.py), backend choice, retries.  Pure.

A proxy serves requests of several services.  Admitted requests are sent to a backend at once: backends keep a
short queue, and a second queue at the proxy would not help.  Retries draw on one budget for all proxies
together, whatever their number: each proxy earns retries in proportion to its first attempts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from orchidhill import interface as i
from orchidhill.admission import EPSILON, MARGIN_S, SCAN_TICKS, TICK_S, Admission, stable_hash
from orchidhill.interface import Effect, Outcome, State, Why
from orchidhill.proxy_backends import MIN_SILENCE_S, SILENT_FACTOR, ProxyBackend, ProxyBackends
from orchidhill.state import Call, Job, Lease

INITIAL_LATENCY_SHARE = 0.3  # of a class's target latency, the estimate before its first answer
MAX_INITIAL_LATENCY_S = 1.0  # upper bound of that estimate
INITIAL_ANSWER_COUNT = 4  # weight of that estimate, in answers
LATENCY_WEIGHT = 0.1  # weight of the newest latency in the mean
RETRY_BUDGET_SHARE = 0.6  # part of the operators' retry ratio that is used
MAX_RETRY_TOKENS = 2.0  # per service; keeps all proxies together within the operators' slack
EJECT_S = 0.6  # for which an unreachable backend is ejected; doubles with each further failure in a row
MAX_EJECT_S = 5.0
LOST_FACTOR = 8.0  # times its class's latency after which a safe request also goes to another backend
RETRY_AFTER_SHARE = 0.25  # of the target latency: the retry-after of a refusal for lack of backends
# Parts of the units that the quota rule allows beyond a quota (`excess_allowance`):
LOSS_ALLOWANCE = 0.7  # granted again after a loss of totals
LOCAL_ALLOWANCE = 0.45  # admitted by all proxies together in degraded mode
UNSPENT_ALLOWANCE = 0.4  # held unspent by all proxies together
RETRY_RATE_SHARE = 0.5  # of a tenant's rate, over which the retries of refused requests are spread
FLOOD_S = 4.0  # a tenant with retries scheduled this far ahead counts as far beyond its quota
MAX_RETRY_DELAY_SHARE = 0.3  # of a request's remaining time, of which clients wait a third at most


@dataclass(slots=True)
class RetrySchedule:
    """When a customer's refused requests were asked to retry."""

    next_at: float = 0.0  # earliest time for the next of them
    is_flooded: bool = False


def initial_latency(cls: i.RequestClass) -> float:
    """Return the estimate of a class's latency before its first answer, in seconds."""
    return min(MAX_INITIAL_LATENCY_S, INITIAL_LATENCY_SHARE * cls.aim)


@dataclass(frozen=True, slots=True)
class ProxyRules:
    """The operators' rules on retries and quotas."""

    retry_ratio: float  # retries per first attempt, over all proxies
    quota_window: float  # seconds, over which a quota has to hold
    quota_excess: float  # part of a quota's units in a window that may be granted beyond them
    quota_slack: float  # requests that may be granted beyond that


class ProxyGateway(Admission):
    """Decides for one proxy; `handle` is its only entry point."""

    counter_caps = True

    def __init__(self, settings: i.Settings, seed: int, rules: ProxyRules) -> None:
        super().__init__(settings, seed)
        self.rules = rules
        self.instance_hash = stable_hash(seed)  # differs between proxies
        self.backends = ProxyBackends(self.instance_hash)
        self.class_latency = [initial_latency(cls) for cls in settings.classes]
        self.answer_counts = [INITIAL_ANSWER_COUNT] * len(self.class_latency)  # by class
        self.timer_due = -math.inf
        self.scan_at = 0.0
        self.attempts_in_flight = 0
        self.owed_since: dict[int, float] = {}  # by customer: start of the local admissions in `Lease.owed`
        self.unreached: dict[int, int] = {}  # by request: attempts that reached no backend
        self.denied_retries = 0  # by the retry budget
        self.retry_schedules: dict[int, RetrySchedule] = {}  # by customer

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Handle one event at time `now`, in seconds; return the resulting actions, in order."""
        self.now, self.actions = now, []
        match event:
            case i.Request():
                self.on_request(event)
            case i.Finished():
                self.on_finished(event)
            case i.Counted():
                self.on_counted(event)
            case i.Fired():
                self.on_tick()
            case i.Members():
                self.on_members(event)
            case i.Left():
                self.close(self.jobs.get(event.request))
            case i.Classes():
                self.on_classes(event.classes)
            case i.Plans():
                self.on_plans(event.plans)
            case i.Doors():
                self.on_proxy_count(event.count)
            case i.Shun():
                self.on_eject(event)
            case i.Late():
                self.counter_health.late_answer_at = now
            case i.Leaving():
                self.on_leaving()
        self.set_timer()
        return self.actions

    # --- configuration and registry ---------------------------------------------------------------

    def on_classes(self, classes: tuple[i.RequestClass, ...]) -> None:
        new = classes[len(self.class_latency) :]
        self.class_latency += [initial_latency(cls) for cls in new]
        self.answer_counts += [INITIAL_ANSWER_COUNT] * len(new)
        for number, (before, cls) in enumerate(zip(self.settings.classes, classes, strict=False)):
            if cls.name != before.name:
                self.class_latency[number] = initial_latency(cls)
                self.answer_counts[number] = INITIAL_ANSWER_COUNT
        self.settings = replace(self.settings, classes=classes)

    def on_plans(self, plans: tuple[i.Plan, ...]) -> None:
        """Apply tenants' quotas.  Bucket deficits persist; a lower rate takes effect at once."""
        changed = [
            plan
            for before, plan in zip(self.settings.plans, plans, strict=False)
            if before != plan and before.name == plan.name
        ]
        self.settings = replace(self.settings, plans=plans)
        for plan in changed:
            for key in [k for k, lease in self.leases.items() if lease.plan.name == plan.name]:
                lease = self.leases[key]
                if plan.rate <= 0:
                    continue
                lease.plan = plan
                lease.capacity = max(1.0, math.floor(plan.burst))
                lease.refill_time = lease.capacity / plan.rate
                lease.credits = min(lease.credits, lease.capacity)
                lease.is_wide = lease.width > lease.capacity

    def on_proxy_count(self, count: int) -> None:
        self.peers = max(1, count)
        self.settings = replace(self.settings, peers=self.peers)
        for lease in self.leases.values():
            lease.width = self.peers
            lease.is_wide = not lease.for_slots and lease.width > lease.capacity

    def on_members(self, event: i.Members) -> None:
        self.backends.update(self.now, event)

    def on_eject(self, event: i.Shun) -> None:
        self.backends.eject(self.now, event)

    # --- admission and quotas ---------------------------------------------------------------------

    def on_request(self, req: i.Request) -> None:
        job = self.create_job(req)
        self.admit(job) if req.left >= MARGIN_S + TICK_S else self.refuse(job, 0.0, Why.DEADLINE)

    def dispatch(self, job: Job) -> None:
        if job.closed:
            return
        backend = self.choose_backend(job)
        if backend is None:
            self.end_job(job)
        else:
            self.send(job, backend)

    def load_ratio(self) -> float:
        return 0.0

    def local_capacity(self, lease: Lease, share: float) -> float:
        """Return the capacity of the local share: for all proxies together, LOCAL_ALLOWANCE at most.

        Where that is less than one unit per proxy, only some proxies have a unit; which ones depends on the
        tenant.
        """
        if lease.for_slots:
            return super().local_capacity(lease, share)
        allowance = LOCAL_ALLOWANCE * self.excess_allowance(lease.plan) / lease.width
        if allowance >= 1:
            return min(super().local_capacity(lease, share), allowance)
        return 1.0 if stable_hash(lease.customer, self.instance_hash) / 2**64 < allowance else 0.0

    def fits_local_share(self, lease: Lease, units: float) -> bool:
        """Whether the local share admits `units`; never into debt, as all proxies would allow a debt."""
        return self.refill_local_level(lease) + EPSILON >= units

    def bucket_level(self, lease: Lease) -> float:
        """Return the bucket's level, less the deficit at the window's edge that no total contains yet."""
        return super().bucket_level(lease) - lease.edge_deficit

    def repair_total(self, lease: Lease, call: Call) -> None:
        """Do nothing: the counter caps buckets itself."""

    def call_counter(self, lease: Lease, amount: float, is_adjustment: bool, correction: float = 0.0) -> None:
        """Call the counter with the fields that a counter needs to keep buckets itself."""
        super().call_counter(lease, amount, is_adjustment, correction)
        count, plan = self.actions[-1], lease.plan
        assert isinstance(count, i.Count)
        count.since = self.now + lease.phase - lease.window * lease.window_length
        count.customer, count.seed = lease.customer, lease.edge_deficit
        count.rate, count.burst, count.span = plan.rate, plan.burst, self.rules.quota_window
        allowance = LOSS_ALLOWANCE * self.excess_allowance(plan)
        count.drained = plan.burst + count.since * plan.rate - min(plan.burst, allowance)
        count.known, count.knew = lease.last_total, lease.incarnation if lease.is_synced else 0
        owed = (amount if is_adjustment else lease.owed) if amount > 0 else 0.0
        if owed > 0 and (since := self.owed_since.get(lease.customer)) is not None:
            # The last units, as many as the local share holds, may have been admitted all at once.
            count.late = max(0.0, owed - self.local_capacity(lease, self.local_share(lease)))
            count.spread = min(self.now - since, count.since)

    def admit_locally(self, lease: Lease, job: Job, units: float) -> None:
        """As in Admission; also record when local admissions began, as the counter learns of them late."""
        before = lease.owed
        super().admit_locally(lease, job, units)
        if before < EPSILON < lease.owed and not lease.for_slots:
            if len(self.owed_since) > 2 * len(self.leases) + 64:
                self.owed_since = {c: at for c, at in self.owed_since.items() if (c, False) in self.leases}
            self.owed_since[lease.customer] = self.now

    def max_lease_size(self, lease: Lease) -> float:
        """Return the maximum of credits to lease in advance.

        While proxies hold credits unspent, the bucket that granted them refills: in a flood all proxies would
        spend these credits at once, on top of a full burst.
        """
        return math.floor(1 + UNSPENT_ALLOWANCE * self.excess_allowance(lease.plan) / lease.width)

    def excess_allowance(self, plan: i.Plan) -> float:
        """Return the units that the quota rule allows beyond a quota, in one window of the rule."""
        rules = self.rules
        return rules.quota_excess * (rules.quota_window * plan.rate + plan.burst) + rules.quota_slack

    # --- attempts and final answers ---------------------------------------------------------------

    def choose_backend(self, job: Job) -> ProxyBackend | None:
        """Return the backend for a job's next attempt, if there is one."""
        return self.backends.choose(self.now, job, self.class_latency[job.req.cls])

    def send(self, job: Job, backend: ProxyBackend) -> None:
        backend.in_flight[job.req.request, job.attempts] = self.now
        backend.last_sent_at = self.now
        self.attempts_in_flight += 1
        job.in_flight[job.attempts] = backend, self.now
        job.attempts += 1
        job.tried.append(backend.entry.backend)
        if len(job.tried) == 1:
            service = self.backends.service(job.req.service)
            earned_tokens = RETRY_BUDGET_SHARE * self.rules.retry_ratio
            service.retry_tokens = min(MAX_RETRY_TOKENS, service.retry_tokens + earned_tokens)
        self.actions.append(i.Send(job.req.request, backend.entry.backend, 0.0))

    def on_finished(self, event: i.Finished) -> None:
        job = self.jobs.get(event.request)
        backend = self.backends.by_id.get(event.backend)
        attempt = event.request, event.attempt
        sent_at = backend.in_flight.pop(attempt, None) if backend is not None else None
        if backend is not None and sent_at is not None:
            self.attempts_in_flight -= 1
            self.observe(backend, event, self.now - sent_at, job)
            if backend.state is State.GONE and not backend.in_flight:
                del self.backends.by_id[event.backend]
        if job is None:
            return
        ended = job.in_flight.pop(event.attempt, None)
        if ended is not None and not event.outcome.never_ran:
            job.possible_run = ended
        if event.closed or event.outcome is Outcome.OK:
            self.close(job)
        if event.outcome is Outcome.OK:
            self.actions += [i.Cancel(event.request, attempt) for attempt in job.in_flight]
        if not job.in_flight:
            if job.closed:
                self.close(job)
            else:
                self.retry_or_end(job, event.outcome)

    def observe(self, backend: ProxyBackend, event: i.Finished, took: float, job: Job | None) -> None:
        """Update latencies and ejections by an attempt that ended after `took` seconds."""
        outcome = event.outcome
        if outcome is Outcome.MOOT:
            return
        if outcome is Outcome.CANCELLED:
            if job is not None and job.closed:
                self.observe_departure(backend, took / self.class_latency[job.req.cls])
            return
        if outcome is Outcome.OK and job is not None:
            backend.answered_at, backend.failures = self.now, 0
            # One good answer does not outweigh several proxies' reports.
            if not backend.is_reported or self.now >= backend.ejected_until:
                backend.ejected_until, backend.is_reported = 0.0, False
            cls = job.req.cls
            usual_latency = self.class_latency[cls]
            self.answer_counts[cls] += 1
            weight = max(LATENCY_WEIGHT / 4, 1 / self.answer_counts[cls])
            self.class_latency[cls] += weight * (min(took, 4 * usual_latency) - usual_latency)
            backend.relative_latency += LATENCY_WEIGHT * (
                min(4.0, took / usual_latency) - backend.relative_latency
            )
        elif outcome in (Outcome.ERROR, Outcome.FULL):
            backend.answered_at = self.now
            if outcome is Outcome.FULL:
                backend.ejected_until = max(backend.ejected_until, self.now + TICK_S * 2)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            backend.failures += 1
            if outcome is Outcome.CONNECT_FAILED or backend.failures > 2:
                seconds = min(MAX_EJECT_S, EJECT_S * 2 ** min(4, backend.failures - 1))
                backend.ejected_until = max(backend.ejected_until, self.now + seconds)

    def observe_departure(self, backend: ProxyBackend, relative_latency: float) -> None:
        """Record that a client left before its answer: the backend's latency is at least `relative_latency`.

        Otherwise a backend that answers nothing would look idle as soon as its clients had left.
        """
        if relative_latency > backend.relative_latency:
            change = min(4.0, relative_latency) - backend.relative_latency
            backend.relative_latency += LATENCY_WEIGHT * change

    def retry_or_end(self, job: Job, outcome: Outcome) -> None:
        """Retry a job whose attempts have all failed at another backend if that is allowed, else end it."""
        may_repeat = job.possible_run is None or job.cls.effect is Effect.SAFE
        max_attempts = job.req.most or self.settings.limits.max_attempts
        if outcome is Outcome.CONNECT_FAILED:
            self.unreached[job.req.request] = self.unreached.get(job.req.request, 0) + 1
        reached_count = job.attempts - self.unreached.get(job.req.request, 0)
        has_time = job.deadline - self.now > MARGIN_S + TICK_S
        if not may_repeat or not has_time or job.attempts >= self.settings.limits.max_attempts:
            return self.end_job(job)
        if reached_count:
            service = self.backends.service(job.req.service)
            if reached_count >= max_attempts or service.retry_tokens < 1:
                self.denied_retries += 1
                return self.end_job(job)
            if (backend := self.choose_backend(job)) is None:
                return self.end_job(job)
            service.retry_tokens -= 1
            return self.send(job, backend)
        self.dispatch(job)

    def end_job(self, job: Job) -> None:
        """Give the final answer: a refusal, which promises that nothing took effect, or else a failure."""
        if not job.in_flight and (job.possible_run is None or job.cls.effect is Effect.SAFE):
            why = Why.BACKENDS if job.attempts else Why.ROOM
            self.refuse(job, RETRY_AFTER_SHARE * job.cls.aim, why)
        else:
            self.close(job)
            self.actions.append(i.Fail(job.req.request))

    def schedule_retry(self, job: Job, after: float) -> float:
        """Return the seconds after which a request refused for its quota may retry, spread over time.

        `after`: seconds until the customer may lease again.  With the same delay for all, requests refused
        together would retry together, and most would be refused again until they give up.  So retries are
        spread over this proxy's part of half of the tenant's rate.  During a flood that would only delay
        some requests while later ones are served in their place: then new requests get `after`.
        """
        lease = job.leases[0]
        schedule = self.retry_schedules.setdefault(lease.customer, RetrySchedule())
        if schedule.next_at <= self.now:
            schedule.next_at, schedule.is_flooded = self.now, False
        retry_at = max(self.now + after, schedule.next_at)
        interval = lease.width / (RETRY_RATE_SHARE * lease.plan.rate)
        schedule.next_at = min(retry_at + interval, self.now + FLOOD_S)
        schedule.is_flooded = schedule.is_flooded or schedule.next_at >= self.now + FLOOD_S
        max_delay = MAX_RETRY_DELAY_SHARE * (job.deadline - self.now)
        if schedule.is_flooded:  # new requests may still be served in time, older ones after the flood
            age = job.cls.deadline - (job.deadline - self.now)
            return after if age < job.cls.aim / 4 else max_delay
        return min(retry_at - self.now, max_delay)

    def refuse(self, job: Job, retry_after: float, why: Why) -> None:
        self.close(job)
        limit = self.settings.limits.max_retry_after
        if why is Why.QUOTA and job.leases and job.plan.rate > 0:
            limit, retry_after = math.inf, self.schedule_retry(job, retry_after)
        self.actions.append(i.Refuse(job.req.request, min(max(0.0, retry_after), limit), why))

    def close(self, job: Job | None) -> None:
        """Close a job, idempotently."""
        if job and not job.in_flight and job.req.request in self.jobs:
            del self.jobs[job.req.request]
            self.unreached.pop(job.req.request, None)
            self.release(job, unsent=job.possible_run is None)
        if job:
            job.closed = True

    # --- timer ------------------------------------------------------------------------------------

    def set_timer(self) -> None:
        if not self.jobs and not self.returnable:
            return
        has_waiting = self.attempts_in_flight < len(self.jobs)
        due = self.now + TICK_S * (1 if has_waiting else SCAN_TICKS)
        if not self.now + EPSILON < self.timer_due <= due:
            self.timer_due = due
            self.actions.append(i.SetTimer(due, 1))

    def on_tick(self) -> None:
        for job in [j for j in self.jobs.values() if not j.in_flight and not j.closed]:
            if self.now > job.deadline - MARGIN_S - TICK_S:
                self.refuse(job, 0.0, Why.DEADLINE)
        self.admit_queued()
        self.copy_to_others()
        if self.now >= self.scan_at:
            self.scan_at = self.now + SCAN_TICKS * TICK_S
            self.return_idle_credits()

    def copy_to_others(self) -> None:
        """Send safe requests whose backends are silent to another backend too, and let both run.

        The first whole answer counts.  An attempt that was cancelled at a slow backend would have to begin
        again elsewhere, with less time left, and might end without an answer although it was at work.
        """
        for job in [j for j in self.jobs.values() if len(j.in_flight) == 1 and not j.closed]:
            if job.cls.effect is not Effect.SAFE:
                continue
            ((backend, sent_at),) = job.in_flight.values()
            usual_latency = self.class_latency[job.req.cls]
            silence = self.now - max(sent_at, backend.answered_at)
            is_silent = silence >= max(MIN_SILENCE_S, SILENT_FACTOR * usual_latency)
            if not is_silent or self.now - sent_at < LOST_FACTOR * usual_latency:
                continue
            max_attempts = job.req.most or self.settings.limits.max_attempts
            service = self.backends.service(job.req.service)
            reached_count = job.attempts - self.unreached.get(job.req.request, 0)
            may_copy = reached_count < max_attempts and service.retry_tokens >= 1
            has_time = job.deadline - self.now > usual_latency
            if may_copy and has_time and (other := self.choose_backend(job)) is not None:
                service.retry_tokens -= 1
                self.send(job, other)
