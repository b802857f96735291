"""The decisions of one gateway.  Types, events and actions: orchidhill/interface.py.

This file covers backends, attempts, final answers and the timer; admission.py covers leases.
"""

from __future__ import annotations

import math
from dataclasses import replace

from orchidhill import interface as i
from orchidhill.admission import EPSILON, MARGIN_S, NEWEST_WEIGHT, SCAN_TICKS, TICK_S, Admission, stable_hash
from orchidhill.interface import Effect, Outcome, Scope, State, Why
from orchidhill.state import INITIAL_LATENCY_S, Backend, Job

TARGET_SHARE = 0.5  # of a class's target latency, above which an answer counts as a miss
INITIAL_LIMIT = 12.0  # attempts in flight at an average backend, from all gateways
LIMIT_DEVIATIONS = 0.7  # standard deviations above the mean limit: a gateway's load is uneven
MIN_LIMIT = 4.0  # attempts in flight at an average backend: fewer would leave its cores idle
LIMIT_BACKOFF = 0.85  # factor on the limit when too many answers miss the target
MAX_MISS_RATIO = 0.3  # of answers; single slow backends or costly requests must not cut the limit
LATENCY_WEIGHT = 0.1  # weight of the newest latency
EJECT_FACTOR = 8.0  # times the fleet's latency that a failed connection counts as
SLOW_FACTOR = 2.5  # times the fleet's latency from which a backend counts as slow
SILENT_FACTOR = 6.0  # times its class's latency without an answer after which a backend counts as silent
LOST_FACTOR = 10.0  # times its class's latency after which an attempt at an answering backend counts as lost
RETRY_BUDGET = 0.1  # retries of overdue attempts per first attempt
COLD_BUDGET_SHARE = 0.7  # part of the warm-up budget that is used, as the work per request varies
CANDIDATES = 12  # backends compared for an attempt, as the fleet may be large
SUBSET_SIZE = 16  # backends of a larger fleet to which a gateway keeps connections
FRESH_REPORTS = 8  # load reports kept fresh by probes
REPORT_FRESH_S = 1.5  # an older load report is no better than the fleet's mean
RATE_MEMORY_S = 5.0  # time constant of the request rate and of latency penalties


class Gateway(Admission):
    """Chooses backends, retries and answers for one gateway; `handle` is its only entry point."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.backends: dict[int, Backend] = {}
        self.queue: list[Job] = []
        self.sent_at: dict[tuple[int, int], float] = {}  # by attempt in flight, oldest first
        self.jobs_in_flight = 0  # jobs with attempts in flight
        self.timer_due = -math.inf
        self.scan_at, self.probe_at = 0.0, 0.0
        self.ready: list[Backend] = []
        self.subset: list[Backend] = []  # of a large fleet, the backends to use; else empty
        self.cold: list[Backend] = []  # in warm-up outside the subset, as of the last membership event
        # Smoothed: load of backends, latency of answers, and `burden` of the backends that gave them.
        self.mean_load, self.mean_latency, self.mean_burden = 0.0, INITIAL_LATENCY_S, 1.0
        self.min_target_latency = min((c.aim for c in settings.classes), default=1.0)
        self.class_latency = [INITIAL_LATENCY_S for _ in settings.classes]
        self.attempts_in_flight = 0  # at ready backends
        self.backend_limit = INITIAL_LIMIT / self.peers  # this gateway's attempts at an average backend
        self.miss_ratio, self.limit_cut_at = 0.0, 0.0
        self.warm_sends, self.warm_sends_at, self.retry_tokens = 0.0, 0.0, 1.0

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Handle one event at time `now`, in seconds; return the resulting actions, in order."""
        self.now, self.actions = now, []
        match event:
            case i.Request():
                self.on_request(event)
            case i.Finished():
                self.on_finished(event)
            case i.Probed() if event.backend in self.backends:
                self.record_load(self.backends[event.backend], event.report)
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
            case i.Late():
                self.counter_health.late_answer_at = now
            case i.Leaving():
                self.on_leaving()
        self.set_timer()
        return self.actions

    def on_classes(self, classes: tuple[i.RequestClass, ...]) -> None:
        """Replace the classes and drop what was learned of changed ones; open jobs keep their class."""
        self.class_latency += [INITIAL_LATENCY_S] * (len(classes) - len(self.class_latency))
        for number, (previous, cls) in enumerate(zip(self.settings.classes, classes, strict=False)):
            if cls != previous:
                self.class_latency[number] = INITIAL_LATENCY_S
                for backend in self.backends.values():
                    backend.class_answered_at.pop(number, None)
                    backend.silent_since.pop(number, None)
        self.settings = replace(self.settings, classes=classes)
        self.min_target_latency = min((c.aim for c in classes), default=1.0)

    def on_request(self, req: i.Request) -> None:
        job = self.create_job(req)
        self.probe_load()
        has_time = req.left >= MARGIN_S + 2 * TICK_S  # else the next tick would already end it
        self.admit(job) if has_time else self.refuse(job, 0.0, Why.DEADLINE)

    def on_members(self, event: i.Members) -> None:
        changed = event.listing in (i.Listing.CACHED, i.Listing.FULL)
        for known in self.backends.values() if changed else ():
            known.state = State.GONE  # unless listed below
        for entry in event.entries:
            found = self.backends.get(entry.backend)
            changed = changed or found is None or found.state is not entry.state
            if found is None:
                found = self.backends[entry.backend] = Backend(entry, answered_at=self.now)
                found.rank = stable_hash(entry.backend, self.settings.me)
            if entry.started > found.entry.started or not found.cold_at:
                found.latency, found.answered_at = self.latency, self.now
                found.cold_level, found.cold_at = self.random.random(), self.now  # random: who sends first
            found.entry, found.state = entry, entry.state
        if changed:  # costs time in proportion to the fleet
            for gone in [b for b in self.backends.values() if b.state is State.GONE and not b.in_flight]:
                del self.backends[gone.entry.backend]
            self.ready = [b for b in self.backends.values() if b.state is State.READY]
            self.attempts_in_flight = sum(len(b.in_flight) for b in self.ready)
            is_large = len(self.ready) > SUBSET_SIZE
            self.subset = sorted(self.ready, key=lambda b: b.rank)[:SUBSET_SIZE] if is_large else []
        if self.subset:
            self.cold = [b for b in self.ready if b.rank > self.subset[-1].rank and self.warmth(b) < 1]
        self.dispatch_queued()

    def allowed_backends(self, job: Job) -> list[Backend]:
        """Return the ready backends to which the next attempt may go without risk of a duplicate effect."""
        possible_runs = [*job.in_flight.values(), *([job.possible_run] if job.possible_run else [])]
        first_run = min(possible_runs, key=lambda run: run[1], default=None)
        if first_run is None or job.cls.effect is Effect.SAFE:
            return self.ready
        if job.cls.effect is Effect.UNSAFE or self.now > first_run[1] + job.cls.memory - MARGIN_S:
            return []
        return [b for b in self.ready if self.dedup_domain(job, b) == self.dedup_domain(job, first_run[0])]

    def dedup_domain(self, job: Job, backend: Backend) -> int:
        return {Scope.CELL: backend.entry.cell, Scope.ZONE: backend.entry.zone, Scope.ALL: 0}[job.cls.scope]

    def warmth(self, backend: Backend) -> float:
        """Return the part of a backend's capacity that its warm-up has reached so far, up to 1."""
        rules = self.settings.rules
        age = self.now - backend.entry.started
        if backend.entry.started <= 0 or rules.warm_up <= 0 or age >= rules.warm_up:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, age) / rules.warm_up

    def has_cold_budget(self, backend: Backend, warmth: float) -> bool:
        """Whether this gateway may send to a cold backend by its budget: half is a burst, half refills."""
        rules = self.settings.rules
        rate = self.warm_sends * math.exp((self.warm_sends_at - self.now) / RATE_MEMORY_S) / RATE_MEMORY_S
        share = COLD_BUDGET_SHARE * rules.fall_multiple * warmth
        budget = share * rate * rules.fall_time / max(1, len(self.ready))
        budget = max(budget, MIN_LIMIT / self.peers)  # some backends only warm up by serving
        refill_rate = budget / 2 / max(EPSILON, rules.fall_time)
        level = min(max(1.0, budget / 2), backend.cold_level + (self.now - backend.cold_at) * refill_rate)
        backend.cold_level, backend.cold_at = level, self.now
        return level >= 1.0

    def expected_latency(self, backend: Backend) -> float:
        """Return the latency to expect: penalties fade over time, and silence counts as latency."""
        latency, now, usual = backend.latency, self.now, self.latency
        if latency > usual:
            latency = usual + (latency - usual) * math.exp((backend.observed_at - now) / RATE_MEMORY_S)
        if backend.in_flight:
            latency = max(latency, now - max(next(iter(backend.in_flight.values())), backend.answered_at))
        return latency

    def record_load(self, backend: Backend, report: tuple[float, ...]) -> None:
        """Record a load report; an empty report means that the backend is busy, not idle."""
        values = dict(zip(self.settings.report_columns, report, strict=False))
        load = values.get("inflight", values.get("queue", 0.0) + values.get("util", 0.0))
        if values:
            self.mean_load += NEWEST_WEIGHT * (load - self.mean_load)
        else:
            load = self.mean_load + 1
        backend.load, backend.load_at = load, self.now

    def burden(self, backend: Backend) -> float:
        """Return a backend's reported load plus one, or the fleet's mean if the report is old."""
        return 1 + (backend.load if self.now - backend.load_at < REPORT_FRESH_S else self.mean_load)

    def load_ratio(self) -> float:
        """Return the latency that the reported load will cause, divided by the target latency."""
        if "inflight" not in self.settings.report_columns:
            return 0.0  # a queue alone does not determine latency
        target = TARGET_SHARE * self.min_target_latency
        return self.mean_latency / self.mean_burden * (1 + self.mean_load) / target

    def probe_load(self) -> None:
        """Probe a random backend's load, often enough to keep FRESH_REPORTS reports fresh."""
        limits, how = self.settings.limits, self.settings.report_how
        if limits.probes and how == "pull" and self.ready and self.now >= self.probe_at:
            self.probe_at = self.now + REPORT_FRESH_S / FRESH_REPORTS
            self.actions.append(i.Probe(self.random.choice(self.ready).entry.backend))

    def has_capacity(self) -> bool:
        """Whether another attempt fits the limit, which ignores overdue attempts at silent backends."""
        if self.random.random() > 2 - self.load_ratio():
            return False  # random: one gateway's load does not show the fleet's
        mean = self.backend_limit * len(self.ready)
        limit = mean + LIMIT_DEVIATIONS * math.sqrt(mean)
        slow_since, overdue = self.now - SLOW_FACTOR * self.latency, 0
        for at in self.sent_at.values():
            if at >= slow_since:
                break
            overdue += 1
        return self.attempts_in_flight - overdue < limit

    def choose_backend(self, job: Job) -> Backend | None:
        """Return the best of a few allowed backends, sampled from a large fleet; None if all are busy."""
        allowed = self.allowed_backends(job)
        if self.subset:
            # Connecting costs time and work at both ends; spread over 100 backends, few requests avoid it.
            last = self.subset[-1].rank
            subset = self.subset if allowed is self.ready else [b for b in allowed if b.rank <= last]
            if self.cold and allowed is self.ready:
                # Each gateway's part of a warm-up budget is small: all gateways have to use theirs.
                cold = self.random.sample(self.cold, min(CANDIDATES, len(self.cold)))
                subset = subset + [b for b in cold if self.warmth(b) < 1 and b.state is State.READY]
            if (found := self.best_backend(job, subset)) or len(subset) == len(allowed):
                return found
        is_large = len(allowed) > CANDIDATES
        return self.best_backend(job, self.random.sample(allowed, CANDIDATES) if is_large else allowed)

    def best_backend(self, job: Job, candidates: list[Backend]) -> Backend | None:
        best, best_score, recently_tried = None, math.inf, job.tried[-2:]
        for backend in candidates:
            warmth, in_flight = self.warmth(backend), len(backend.in_flight)
            expected = self.expected_latency(backend) / warmth
            limit = 2 * self.backend_limit * min(1.0, 1.5 * self.latency / expected)
            if in_flight and in_flight >= max(1.0, limit):
                continue
            is_tried = backend.entry.backend in recently_tried
            if is_tried or (warmth < 1 and not self.has_cold_budget(backend, warmth)):
                continue
            queue_length = in_flight + 1 + NEWEST_WEIGHT * self.burden(backend)
            silent_since = backend.silent_since.get(job.req.cls, -math.inf)
            if self.now - silent_since < 2 * RATE_MEMORY_S:
                queue_length *= EJECT_FACTOR
            score = expected * queue_length * (1 + self.random.random() / 20)
            if score < best_score:
                best, best_score = backend, score
        return best

    def dispatch(self, job: Job) -> None:
        """Send a job to the best backend, or queue it while all are busy."""
        if job.closed:
            return
        # Under a ceiling queued jobs' credits expire too: together they could exceed the ceiling later.
        for lease in job.leases if job.plan.ceiling_rate and not job.attempts else ():
            self.roll_window(lease)
            if not lease.for_slots and lease.refill_period != job.credit_period:
                lease.in_use -= 1
                job.granted.remove(lease)
                return self.admit(job)
        if self.has_capacity() and (backend := self.choose_backend(job)):
            self.send(job, backend)
        elif not job.in_flight:
            self.queue.append(job)

    def send(self, job: Job, backend: Backend) -> None:
        backend.in_flight[job.req.request, job.attempts] = self.now
        self.sent_at[job.req.request, job.attempts] = self.now
        self.attempts_in_flight += 1
        self.jobs_in_flight += not job.in_flight
        job.in_flight[job.attempts] = backend, self.now
        job.attempts += 1
        job.tried.append(backend.entry.backend)
        if self.warmth(backend) < 1:
            backend.cold_level -= 1
        else:
            self.warm_sends *= math.exp((self.warm_sends_at - self.now) / RATE_MEMORY_S)
            self.warm_sends, self.warm_sends_at = self.warm_sends + 1, self.now
        if job.attempts == 1:
            self.retry_tokens = min(10.0, self.retry_tokens + RETRY_BUDGET)
        self.actions.append(i.Send(job.req.request, backend.entry.backend, 0.0))

    def on_finished(self, event: i.Finished) -> None:
        backend = self.backends.get(event.backend)
        if backend and (sent_at := backend.in_flight.pop((event.request, event.attempt), None)) is not None:
            self.attempts_in_flight -= backend.state is State.READY
            self.observe(backend, event, sent_at)
            if backend.state is State.GONE and not backend.in_flight:
                del self.backends[event.backend]  # ids are never reused: the map would grow
        self.sent_at.pop((event.request, event.attempt), None)
        if job := self.jobs.get(event.request):
            ended = job.in_flight.pop(event.attempt, None)
            self.jobs_in_flight -= ended is not None and not job.in_flight
            if ended and not event.outcome.never_ran:
                job.possible_run = min(job.possible_run or ended, ended, key=lambda run: run[1])
            if event.closed or event.outcome is Outcome.OK:
                self.close(job)
            if not job.in_flight and job.closed:
                self.close(job)
            elif not job.in_flight:
                self.retry_or_end(job)
        self.dispatch_queued()

    def observe(self, backend: Backend, event: i.Finished, sent_at: float) -> None:
        """Update latencies and the limit of all backends (additive increase, multiplicative decrease)."""
        if event.outcome in (Outcome.CANCELLED, Outcome.MOOT):
            return
        took, backend.observed_at = self.now - sent_at, self.now
        if event.report:
            self.record_load(backend, event.report)
        good, job = event.outcome is Outcome.OK, self.jobs.get(event.request)
        if good and job:
            backend.silent_since.pop(job.req.cls, None)
            self.mean_latency += LATENCY_WEIGHT * (took - self.mean_latency)
            self.mean_burden += LATENCY_WEIGHT * (self.burden(backend) - self.mean_burden)
            backend.answered_at = backend.class_answered_at[job.req.cls] = self.now
            self.latency += LATENCY_WEIGHT / 4 * (took - self.latency)
            self.class_latency[job.req.cls] += LATENCY_WEIGHT / 4 * (took - self.class_latency[job.req.cls])
        latency = took if good else max(took, 2 * self.latency)
        backend.latency += LATENCY_WEIGHT * (latency - backend.latency)
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # The backend is down, whatever the list says: it is ejected until this penalty has faded.
            backend.latency = max(backend.latency, EJECT_FACTOR * self.latency)
        is_miss = not good or (job is not None and took > TARGET_SHARE * job.cls.aim)
        if backend.latency < SLOW_FACTOR * self.latency and event.outcome is not Outcome.CONNECT_FAILED:
            self.miss_ratio += LATENCY_WEIGHT / 2 * (is_miss - self.miss_ratio)  # slow backends don't count
        if self.miss_ratio < MAX_MISS_RATIO:
            if not is_miss and self.attempts_in_flight + 2 >= self.backend_limit * len(self.ready):
                self.backend_limit += 1 / (self.backend_limit * max(1, len(self.ready))) / self.peers
        elif self.now - self.limit_cut_at > self.latency:
            self.limit_cut_at = self.now
            self.backend_limit = max(MIN_LIMIT / self.peers, self.backend_limit * LIMIT_BACKOFF)

    def retry_or_end(self, job: Job) -> None:
        """Retry a job whose attempts have all failed if its class allows that, else end it."""
        # Hosts may time attempts out slightly early; the time that is left then is too short for a retry.
        has_time = self.now < job.deadline - MARGIN_S - TICK_S
        may_retry = has_time and job.attempts < self.settings.limits.max_attempts
        if not may_retry or all(b.entry.backend in job.tried[-2:] for b in self.allowed_backends(job)):
            self.end_job(job)  # `choose_backend` skips those just tried: waiting is useless
        elif self.miss_ratio > MAX_MISS_RATIO:
            self.queue.append(job)  # the fleet is overloaded: retry at the next tick
        else:
            self.dispatch(job)

    def end_job(self, job: Job) -> None:
        """Give the final answer: a refusal if nothing took effect, else a failure, which leaves that open."""
        effect, is_everywhere = job.cls.effect, job.cls.scope is Scope.ALL
        is_harmless = effect is Effect.SAFE or (effect is Effect.KEYED and is_everywhere)
        if not job.in_flight and (job.possible_run is None or is_harmless):
            has_credits = all(lease in job.granted for lease in job.leases)
            why = Why.BACKENDS if job.attempts else Why.ROOM if has_credits else Why.COUNTER
            self.refuse(job, self.latency, why)  # by then most attempts now in flight have ended
        else:
            self.close(job)
            self.actions.append(i.Fail(job.req.request))

    def refuse(self, job: Job, retry_after: float, why: Why) -> None:
        self.close(job)
        limit = self.settings.limits.max_retry_after  # sent even if most clients ignore a retry-after
        self.actions.append(i.Refuse(job.req.request, min(max(0.0, retry_after), limit), why))

    def close(self, job: Job | None) -> None:
        """Close a job, idempotently.  Its slots stay in use until its last attempt has ended."""
        if job and not job.in_flight and job.req.request in self.jobs:
            del self.jobs[job.req.request]
            self.release(job, unsent=job.attempts == 0)
        if job:
            job.closed = True

    def dispatch_queued(self) -> None:
        """Send queued jobs, the most valuable first, while backends have capacity."""
        if not self.queue or not self.has_capacity():
            return
        waiting, self.queue = sorted(self.queue, key=lambda j: -j.cls.worth * j.plan.price), []
        for job in waiting:
            if len(self.queue) > 3:  # the rest would not fit either, and trying them costs CPU time
                self.queue.append(job)
            else:
                self.dispatch(job)

    def set_timer(self) -> None:
        """Set a timer only while jobs are open or credits returnable: idle gateways cost nothing."""
        if not self.jobs and not self.returnable:
            return
        has_waiting = self.queue or self.jobs_in_flight < len(self.jobs)
        due = self.now + TICK_S * (1 if has_waiting else SCAN_TICKS)
        if not self.now + EPSILON < self.timer_due <= due:  # hosts may round a timer down slightly
            self.timer_due = due
            self.actions.append(i.SetTimer(due, 1))

    def on_tick(self) -> None:
        # Waiting jobs end before their deadline, unsent ones also once they can't meet their target.
        for job in [j for j in self.jobs.values() if not j.in_flight]:
            misses_target = not job.attempts and self.now + self.latency > job.arrived_at + job.cls.aim
            if misses_target or self.now > job.deadline - MARGIN_S - TICK_S:
                self.end_job(job)
        self.queue = [job for job in self.queue if not job.closed]
        self.admit_queued()
        self.dispatch_queued()
        self.retry_overdue()
        if self.now >= self.scan_at:
            self.scan_at = self.now + SCAN_TICKS * TICK_S
            self.return_idle_credits()

    def retry_overdue(self) -> None:
        """Retry attempts at backends that have stopped answering their class, and attempts that are lost.

        One attempt in 15 takes 2.5 times its class's latency, and its retry would take as long.  So a backend
        is judged by how long it has answered nothing of the class, and a single attempt by a longer wait;
        both waits double with each retry.  This guards against backends that hang, drop one class or vanish,
        and against answers that never come or end.  The rule does harm where requests really take ten times
        the usual latency, or all backends slow down so much at once: RETRY_BUDGET of the work is then lost.
        """
        limits = self.settings.limits
        for job in [j for j in self.jobs.values() if not j.closed and len(j.in_flight) == 1]:
            ((attempt, (backend, sent_at)),) = job.in_flight.items()
            usual = self.class_latency[job.req.cls]
            # Answers to other classes would hide that this class gets none.
            quiet_since = max(sent_at, backend.class_answered_at.get(job.req.cls, 0.0))
            is_silent = self.now - quiet_since >= SILENT_FACTOR * usual
            if is_silent:
                backend.silent_since[job.req.cls] = self.now
            wait = (SILENT_FACTOR if is_silent else LOST_FACTOR) * usual * 2 ** (job.attempts - 1)
            misses_target = self.now + usual > job.arrived_at + job.cls.aim
            if misses_target or job.attempts >= limits.max_attempts or self.now - sent_at < wait:
                continue
            if self.retry_tokens >= 1 and self.has_capacity() and (target := self.choose_backend(job)):
                self.retry_tokens -= 1
                if limits.second_copies:
                    self.send(job, target)
                elif limits.cancel:  # `retry_or_end` sends it again
                    self.actions.append(i.Cancel(job.req.request, attempt))
