"""Every decision of the gateway.  Types, events and actions: orchidhill/interface.py.

Reading order: admission.py (leases, trouble at the counter); here backends, attempts and final answers,
the tick.  Beside it: state.py, call_rate.py, bucket_overflow.py, degraded_mode.py.
"""

from __future__ import annotations

import math
from dataclasses import replace

from orchidhill import interface as i
from orchidhill.admission import EPS, MARGIN, NEWEST, TICK, WATCH_TICKS, Admission, mix
from orchidhill.interface import Effect, Outcome, Scope, State, Why
from orchidhill.state import FIRST_LATENCY, Backend, Job

# Tuned values: seconds, units or plain ratios.
TARGET = 0.5  # latency aimed at, as a share of the class's aim
FIRST_LIMIT = 12.0  # attempts out at a mean backend, all gateways, before anything is known
SPREAD = 0.7  # standard deviations of room above the mean: a gateway's load comes unevenly
LEAST_LIMIT = 4.0  # and at least: an idle core serves nobody
BACKOFF = 0.85  # factor on that limit when the target is missed
MISSED = 0.3  # by more than this part of the answers: not by one slow backend or costly request
SMOOTH = 0.1  # weight of the newest latency
EJECT = 8.0  # times the pool's latency that a failed connection counts as
SUSPECT = 2.5  # times the pool's latency that make a backend count as slow
SILENCE = 6.0  # times its class's latency without a word for which an attempt's backend counts as silent
LOST = 10.0  # and after which an attempt counts as lost at a backend that answers others
RESEND_BUDGET = 0.1  # further attempts for overdue ones, per first attempt
COLD_SAFETY = 0.7  # part of the cold budget that is used: work per request varies
CANDIDATES = 12  # backends looked at for an attempt: the fleet may be large
NEAR = 16  # of a larger fleet, those to which a gateway keeps connections
POOL = 8  # load reports kept fresh where they must be asked for
FRESH = 1.5  # for which a report counts; older ones say no more than the fleet's mean
RATE_SPAN = 5.0  # memory of the observed load


class Gateway(Admission):  # decides for one gateway; `handle` is the only way in
    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.backends: dict[int, Backend] = {}
        self.queue: list[Job] = []
        self.sent: dict[tuple[int, int], float] = {}  # attempts out, oldest first
        self.flying = 0  # jobs with attempts out
        self.tick_at = -math.inf  # when the timer that is set comes due
        self.scan_at, self.probe_at = 0.0, 0.0
        self.live: list[Backend] = []  # listed ready
        self.near: list[Backend] = []  # of a large fleet, those to go to
        self.cold: list[Backend] = []  # and all others that were cold when the list last changed
        # Mean of what backends report to hold; latencies and the loads that they met, fading sums.
        self.load, self.took, self.met = 0.0, FIRST_LATENCY, 1.0
        self.aim = min((c.aim for c in settings.classes), default=1.0)
        self.usual = [FIRST_LATENCY for _ in settings.classes]  # latencies by class: their work differs
        self.out = 0  # attempts out at live backends
        self.room = FIRST_LIMIT / self.peers  # attempts out at a mean backend, mine
        self.missed, self.lowered = 0.0, 0.0  # answers later than their target; last cut of `room`
        self.warm_sends, self.warm_at, self.resends = 0.0, 0.0, 1.0

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """The actions that answer one event, in order."""
        self.now, self.actions = now, []
        match event:
            case i.Request():
                self.on_request(event)
            case i.Finished():
                self.on_finished(event)
            case i.Probed() if event.backend in self.backends:
                self.note(self.backends[event.backend], event.report)
            case i.Counted():
                self.on_counted(event)
            case i.Fired():
                self.tick()
            case i.Members():
                self.on_members(event)
            case i.Left():
                self.close(self.jobs.get(event.request))
            case i.Classes():
                self.on_classes(event.classes)
            case i.Late():
                self.tally.late_at = now
            case i.Leaving():
                self.leave()
        self.set_timer()
        return self.actions

    def on_classes(self, classes: tuple[i.RequestClass, ...]) -> None:
        """What was learned under a number goes when another class has it; open jobs keep their class."""
        self.usual += [FIRST_LATENCY] * (len(classes) - len(self.usual))
        for number, (was, cls) in enumerate(zip(self.settings.classes, classes, strict=False)):
            if cls != was:
                self.usual[number] = FIRST_LATENCY
                for times in [t for b in self.backends.values() for t in (b.heard, b.silent)]:
                    times.pop(number, None)
        self.settings = replace(self.settings, classes=classes)
        self.aim = min((c.aim for c in classes), default=1.0)

    def on_request(self, req: i.Request) -> None:
        job = self.take(req)
        self.probe()
        # One too short to serve would be over before the next tick.
        self.admit(job) if req.left >= MARGIN + 2 * TICK else self.refuse(job, 0.0, Why.DEADLINE)

    # --- backends --------------------------------------------------------------------------------

    def on_members(self, event: i.Members) -> None:
        shifted = event.listing in (i.Listing.CACHED, i.Listing.FULL)
        for known in self.backends.values() if shifted else ():
            known.state = State.GONE  # unless the list names it
        for entry in event.entries:
            found = self.backends.get(entry.backend)
            shifted = shifted or found is None or found.state is not entry.state
            if found is None:
                found = self.backends[entry.backend] = Backend(entry, answered=self.now)
                found.rank = mix(entry.backend, self.settings.me)
            if entry.started > found.entry.started or not found.cold_at:
                found.latency, found.answered = self.latency, self.now
                found.cold_level, found.cold_at = self.random.random(), self.now  # not all at once
            found.entry, found.state = entry, entry.state
        if shifted:  # what follows looks at all there are
            for gone in [b for b in self.backends.values() if b.state is State.GONE and not b.out]:
                del self.backends[gone.entry.backend]
            self.live = [b for b in self.backends.values() if b.state is State.READY]
            self.out = sum(len(b.out) for b in self.live)
            large = len(self.live) > NEAR
            self.near = sorted(self.live, key=lambda b: b.rank)[:NEAR] if large else []
        if self.near:
            self.cold = [b for b in self.live if b.rank > self.near[-1].rank and self.warmth(b) < 1]
        self.pump()

    def allowed(self, job: Job) -> list[Backend]:
        """Backends that the rules leave open to this job's next attempt."""
        anchors = [*job.out.values(), *([job.ran] if job.ran else [])]
        anchor = min(anchors, key=lambda a: a[1], default=None)
        if anchor is None or job.cls.effect is Effect.SAFE:
            return self.live
        if job.cls.effect is Effect.UNSAFE or self.now > anchor[1] + job.cls.memory - MARGIN:
            return []
        return [b for b in self.live if self.group(job, b) == self.group(job, anchor[0])]

    def group(self, job: Job, backend: Backend) -> int:
        entry = backend.entry
        return {Scope.CELL: entry.cell, Scope.ZONE: entry.zone, Scope.ALL: 0}[job.cls.scope]

    def warmth(self, backend: Backend) -> float:
        """The share of its capacity that a backend surely has by now."""
        rules = self.settings.rules
        age = self.now - backend.entry.started
        if backend.entry.started <= 0 or rules.warm_up <= 0 or age >= rules.warm_up:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, age) / rules.warm_up

    def cold_room(self, backend: Backend, warmth: float) -> bool:
        """My part of a cold backend's budget over every window: half at once, half as it flows in.  Where
        that is below one request, the level each gateway starts from at random decides who sends first.
        """
        rules = self.settings.rules
        rate = self.warm_sends * math.exp((self.warm_at - self.now) / RATE_SPAN) / RATE_SPAN
        budget = COLD_SAFETY * rules.fall_multiple * warmth * rate * rules.fall_time / max(1, len(self.live))
        budget = max(budget, LEAST_LIMIT / self.peers)  # some may warm by serving only
        flow = budget / 2 / max(EPS, rules.fall_time)
        level = min(max(1.0, budget / 2), backend.cold_level + (self.now - backend.cold_at) * flow)
        backend.cold_level, backend.cold_at = level, self.now
        return level >= 1.0

    def expected(self, backend: Backend) -> float:
        """A silent backend is at least as slow as it has been silent; a bad figure fades."""
        latency, now, usual = backend.latency, self.now, self.latency
        if latency > usual:
            latency = usual + (latency - usual) * math.exp((backend.seen - now) / RATE_SPAN)
        if backend.out:
            latency = max(latency, now - max(next(iter(backend.out.values())), backend.answered))
        return latency

    def note(self, backend: Backend, report: tuple[float, ...]) -> None:
        """Keep a load report.  One that is missing where others come means busy, not idle."""
        values = dict(zip(self.settings.report_columns, report, strict=False))
        load = values.get("inflight", values.get("queue", 0.0) + values.get("util", 0.0))
        if values:
            self.load += NEWEST * (load - self.load)
        else:
            load = self.load + 1
        backend.load, backend.load_at = load, self.now

    def burden(self, backend: Backend) -> float:
        """What a backend holds, by its report; the fleet's mean where nothing new is known."""
        return 1 + (backend.load if self.now - backend.load_at < FRESH else self.load)

    def strain(self) -> float:
        """The latency that the reported load will bring, over what is aimed at."""
        if "inflight" not in self.settings.report_columns:
            return 0.0  # latency does not follow from a queue alone
        return self.took / self.met * (1 + self.load) / (TARGET * self.aim)

    def probe(self) -> None:
        """Ask a backend at random for its load, at most once a request and as often as keeps a pool fresh."""
        limits, how = self.settings.limits, self.settings.report_how
        if limits.probes and how == "pull" and self.live and self.now >= self.probe_at:
            self.probe_at = self.now + FRESH / POOL
            self.actions.append(i.Probe(self.random.choice(self.live).entry.backend))

    def has_room(self) -> bool:
        """What hangs on silent backends must not take the room of those that answer."""
        if self.random.random() > 2 - self.strain():
            return False  # each gateway sheds its part by chance: what it sends alone says nothing
        mean = self.room * len(self.live)
        most = mean + SPREAD * math.sqrt(mean)
        slow, hanging = self.now - SUSPECT * self.latency, 0
        for at in self.sent.values():
            if at >= slow:
                break
            hanging += 1
        return self.out - hanging < most

    def choose(self, job: Job) -> Backend | None:
        """The best of a few: those that the rules leave, drawn at random from a large fleet."""
        fits = self.allowed(job)
        if self.near:
            # A connection costs time and work at both ends; over 100 backends few requests find an open one.
            last = self.near[-1].rank
            near = self.near if fits is self.live else [b for b in fits if b.rank <= last]
            if self.cold and fits is self.live:
                # Each gateway may send a cold one so little that it takes all of them to warm it.
                some = self.random.sample(self.cold, min(CANDIDATES, len(self.cold)))
                near = near + [b for b in some if self.warmth(b) < 1 and b.state is State.READY]
            if (found := self.best(job, near)) or len(near) == len(fits):
                return found
        return self.best(job, self.random.sample(fits, CANDIDATES) if len(fits) > CANDIDATES else fits)

    def best(self, job: Job, fits: list[Backend]) -> Backend | None:
        best, best_score, tried = None, math.inf, job.tried[-2:]
        for backend in fits:
            warmth, out = self.warmth(backend), len(backend.out)
            expected = self.expected(backend) / warmth
            if out and out >= max(1.0, 2 * self.room * min(1.0, 1.5 * self.latency / expected)):
                continue
            held = tried and backend.entry.backend in tried
            if held or (warmth < 1 and not self.cold_room(backend, warmth)):
                continue
            ahead = out + 1 + NEWEST * self.burden(backend)
            if backend.silent and self.now - backend.silent.get(job.req.cls, -math.inf) < 2 * RATE_SPAN:
                ahead *= EJECT
            score = expected * ahead * (1 + self.random.random() / 20)
            if score < best_score:
                best, best_score = backend, score
        return best

    # --- attempts and final answers --------------------------------------------------------------

    def dispatch(self, job: Job) -> None:
        """Send a job to the best backend, or queue it while none has room.  Credit under a ceiling
        lapses with its window for a held request too, or held ones would pass the ceiling together.
        """
        if job.closed:
            return
        for lease in job.leases if job.plan.ceiling_rate and not job.attempts else ():
            self.roll(lease)
            if not lease.slots and lease.epoch != job.window:
                lease.in_use -= 1
                job.held.remove(lease)
                return self.admit(job)
        if self.has_room() and (backend := self.choose(job)):
            self.send(job, backend)
        elif not job.out:
            self.queue.append(job)

    def send(self, job: Job, backend: Backend) -> None:
        backend.out[job.req.request, job.attempts] = self.now
        self.sent[job.req.request, job.attempts] = self.now
        self.out += 1
        self.flying += not job.out
        job.out[job.attempts] = backend, self.now
        job.attempts += 1
        job.tried.append(backend.entry.backend)
        if self.warmth(backend) < 1:
            backend.cold_level -= 1
        else:
            self.warm_sends *= math.exp((self.warm_at - self.now) / RATE_SPAN)
            self.warm_sends, self.warm_at = self.warm_sends + 1, self.now
        if job.attempts == 1:
            self.resends = min(10.0, self.resends + RESEND_BUDGET)
        self.actions.append(i.Send(job.req.request, backend.entry.backend, 0.0))

    def on_finished(self, event: i.Finished) -> None:
        backend = self.backends.get(event.backend)
        if backend and (sent := backend.out.pop((event.request, event.attempt), None)) is not None:
            self.out -= backend.state is State.READY
            self.observe(backend, event, sent)
            if backend.state is State.GONE and not backend.out:
                del self.backends[event.backend]  # ids are ever new: kept ones would pile up
        self.sent.pop((event.request, event.attempt), None)
        if job := self.jobs.get(event.request):
            gone = job.out.pop(event.attempt, None)
            self.flying -= gone is not None and not job.out
            if gone and not event.outcome.never_ran and (job.ran is None or gone[1] < job.ran[1]):
                job.ran = gone
            if event.closed or event.outcome is Outcome.OK:
                self.close(job)
            if not job.out:
                (self.close if job.closed else self.further)(job)
        self.pump()

    def observe(self, backend: Backend, event: i.Finished, sent: float) -> None:
        """Additive increase, multiplicative decrease of what may be out at a mean backend: one for all."""
        if event.outcome in (Outcome.CANCELLED, Outcome.MOOT):
            return
        took, backend.seen = self.now - sent, self.now
        if event.report:
            self.note(backend, event.report)
        good, job = event.outcome is Outcome.OK, self.jobs.get(event.request)
        if good and job:
            backend.silent.pop(job.req.cls, None)
            self.took += SMOOTH * (took - self.took)
            self.met += SMOOTH * (self.burden(backend) - self.met)
            backend.answered = backend.heard[job.req.cls] = self.now
            self.latency += SMOOTH / 4 * (took - self.latency)
            self.usual[job.req.cls] += SMOOTH / 4 * (took - self.usual[job.req.cls])
        backend.latency += SMOOTH * ((took if good else max(took, 2 * self.latency)) - backend.latency)
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # It is down, whatever the list says: out of the way at once, tried again as this fades.
            backend.latency = max(backend.latency, EJECT * self.latency)
        late = not good or (job is not None and took > TARGET * job.cls.aim)
        if backend.latency < SUSPECT * self.latency and event.outcome is not Outcome.CONNECT_FAILED:
            self.missed += SMOOTH / 2 * (late - self.missed)  # one bad backend says nothing of the fleet
        if self.missed < MISSED:
            if not late and self.out + 2 >= self.room * len(self.live):
                self.room += 1 / (self.room * max(1, len(self.live))) / self.peers
        elif self.now - self.lowered > self.latency:
            self.lowered = self.now
            self.room = max(LEAST_LIMIT / self.peers, self.room * BACKOFF)

    def further(self, job: Job) -> None:
        """No attempt is out and none served: try again where its class allows, else end it."""
        # A host times an attempt out a little early: what is left then serves nobody.
        more = job.attempts < self.settings.limits.max_attempts and self.now < job.end - MARGIN - TICK
        if not more or all(b.entry.backend in job.tried[-2:] for b in self.allowed(job)):
            self.end(job)  # nobody is left whom `choose` would take: it is not held for what can't come
        elif self.missed > MISSED:
            self.queue.append(job)  # the fleet is full: what was turned away waits for a tick
        else:
            self.dispatch(job)

    def end(self, job: Job) -> None:
        """The final answer: a refusal where that is true, for a failure promises nothing."""
        effect, everywhere = job.cls.effect, job.cls.scope is Scope.ALL
        harmless = effect is Effect.SAFE or (effect is Effect.KEYED and everywhere)
        if not job.out and (job.ran is None or harmless):
            held = all(lease in job.held for lease in job.leases)
            why = Why.BACKENDS if job.attempts else Why.ROOM if held else Why.COUNTER
            self.refuse(job, self.latency, why)  # by then about as much has left the fleet as is out now
        else:
            self.close(job)
            self.actions.append(i.Fail(job.req.request))

    def refuse(self, job: Job, retry_after: float, why: Why) -> None:
        self.close(job)
        most = self.settings.limits.max_retry_after  # told also where clients at large do not heed it
        self.actions.append(i.Refuse(job.req.request, min(max(0.0, retry_after), most), why))

    def close(self, job: Job | None) -> None:
        """Late or repeated news changes nothing.  A slot is in use until the last attempt is over."""
        if job and not job.out and job.req.request in self.jobs:
            del self.jobs[job.req.request]
            self.release(job, unsent=job.attempts == 0)
        if job:
            job.closed = True

    def pump(self) -> None:
        """Send queued jobs, most worth per work first, while backends have room."""
        if not self.queue or not self.has_room():
            return
        waiting, self.queue = sorted(self.queue, key=lambda j: -j.cls.worth * j.plan.price), []
        for job in waiting:
            # After a few the rest would not fare better, and a long queue costs CPU.
            self.queue.append(job) if len(self.queue) > 3 else self.dispatch(job)

    # --- the tick --------------------------------------------------------------------------------

    def set_timer(self) -> None:
        """A timer only while something is held, out or to be given back: idle gateways cost nothing."""
        if not self.jobs and not self.holding:
            return
        held = self.queue or self.flying < len(self.jobs)
        due = self.now + TICK * (1 if held else WATCH_TICKS)
        if not self.now + EPS < self.tick_at <= due:  # a host may round a timer down a little
            self.tick_at = due
            self.actions.append(i.SetTimer(due, 1))

    def tick(self) -> None:
        # Whatever holds a request, it ends before its client's time, unstarted if it can't meet its aim.
        for job in [j for j in self.jobs.values() if not j.out]:
            hopeless = not job.attempts and self.now + self.latency > job.arrived + job.cls.aim
            if hopeless or self.now > job.end - MARGIN - TICK:
                self.end(job)
        self.queue = [job for job in self.queue if not job.closed]
        self.call_waiting()
        self.pump()
        self.rescue()
        if self.now >= self.scan_at:
            self.scan_at = self.now + WATCH_TICKS * TICK
            self.scan()

    def rescue(self) -> None:
        """Another attempt for what sits on a backend that has stopped answering, or is lost alone.

        Work differs by class and is spread widely within each: one attempt in 15 takes 2.5 times its class's
        latency.  An attempt that merely costs more is left alone, for begun again it would cost as much.  So
        a backend is judged by how long it has answered nothing of the class, and what it owes alone by a
        longer wait; both double with each further attempt.  This guards against backends that hang, drop
        one class or vanish without a word, and against single answers that never come or never end.  It does
        harm where requests really take ten times the usual, or where all backends slow down at once by more
        than that: their work is lost then, for RESEND_BUDGET of the attempts.
        """
        limits = self.settings.limits
        for job in [j for j in self.jobs.values() if not j.closed and len(j.out) == 1]:
            ((attempt, (backend, sent)),) = job.out.items()
            usual = self.usual[job.req.cls]
            # Any class's answer hides that another gets none: silence is judged by backend and class.
            silent = self.now - max(sent, backend.heard.get(job.req.cls, 0.0)) >= SILENCE * usual
            if silent:
                backend.silent[job.req.cls] = self.now
            wait = (SILENCE if silent else LOST) * usual * 2 ** (job.attempts - 1)
            useless = self.now + usual > job.arrived + job.cls.aim
            if useless or job.attempts >= limits.max_attempts or self.now - sent < wait:
                continue
            if self.resends >= 1 and self.has_room() and (target := self.choose(job)):
                self.resends -= 1
                if limits.second_copies:
                    self.send(job, target)
                elif limits.cancel:  # `further` sends again
                    self.actions.append(i.Cancel(job.req.request, attempt))
