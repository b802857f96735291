"""Every decision of a door of the system: who is let in (admission.py), which server, what next.  Pure.

A door has requests for several services.  What is let in goes to a server at once: a server keeps a short
queue of its own, and a request that is held here helps nobody.  Further tries draw on a budget that holds
for all doors together, whatever their number: each door has a part of its own first tries, and little
besides.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from orchidhill import interface as i
from orchidhill.admission import EPS, MARGIN, TICK, WATCH_TICKS, Admission, mix
from orchidhill.interface import Effect, Outcome, State, Why
from orchidhill.state import Backend, Call, Job, Lease

# Tuned values: seconds, requests or plain ratios.
FIRST_PART = 0.3  # of a class's aim, the guess of its latency before its first answer
MAX_FIRST = 1.0  # seconds, the most of that guess
FIRST_SEEN = 4  # answers that the guess weighs
SMOOTH = 0.1  # weight of the newest latency
DEPTH = 4.0  # times its slots that a door lets one server hold of its own requests
BUDGET = 0.6  # part of the operators' ratio of further tries that is used
FIRST_TRIES = 1.0  # further tries that a service has at the start
MAX_TRIES = 2.0  # and that it may save up: all doors together stay under the operators' slack
SILENT = 1  # kind of an entry whose server is not leaving, but silent
DOWN = 0.6  # for which a server that could not be reached is left alone, doubled with each time
MAX_DOWN = 5.0
SILENCE = 5.0  # times its class's latency without a word for which a server counts as silent
LOST = 8.0  # and after which a repeatable attempt is given to another
LEAST_SILENCE = 0.4  # seconds
BACK = 0.25  # retry-after of a refusal for want of servers, as a part of the aim
AFTER_LOSS = 0.7  # of what a quota's rule leaves beyond it, what is granted anew after a loss of counts
UNASKED = 0.45  # and what all doors together let in without having asked, where none answers
TURN_PART = 0.5  # of a tenant's rate, what those that were refused are given turns by
FLOOD = 4.0  # seconds of turns from which on a tenant is taken to ask for far more than its quota
TURN_LEFT = 0.3  # of its time, what a refused request is told to wait at most; clients heed up to a third
HELD = 0.4  # of what a quota's rule leaves beyond it, what all doors together may hold unspent
HOME = 3.0  # times the usual pace, and the best server's queue, to which an action stays with its home
FAR = 1.2  # times its score that a server of another zone has: bytes between zones cost
TURNS = 40.0  # seconds from which on it counts no more how long ago a server was asked
TURN = 3e-4  # by how much each of them makes it better
COLD = 2.0  # times its work that a server takes that has just started


@dataclass(slots=True)
class Server(Backend):
    """One backend, as this door sees it."""

    pace: float = 1.0  # its latency over that of its service
    asked: float = 0.0  # when it was last sent anything
    fails: int = 0  # in a row
    down_until: float = 0.0
    shunned: bool = False  # until then by the word of several doors


@dataclass(slots=True)
class Service:
    """What is known of a service's servers together."""

    servers: list[Server] = field(default_factory=list)
    silent: list[Server] = field(default_factory=list)  # that the registry has not heard lately
    tries: float = FIRST_TRIES  # further tries that may be made


@dataclass(slots=True)
class Line:
    """A customer's refused requests, as they were told to come back."""

    until: float = 0.0  # when the next of them may
    flooded: bool = False


def first_usual(cls: i.RequestClass) -> float:
    """A class's latency as it is taken to be before its first answer, in seconds."""
    return min(MAX_FIRST, FIRST_PART * cls.aim)


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operators' rules say of further tries and quotas; seconds, requests and plain ratios."""

    retry_ratio: float
    quota_window: float
    quota_excess: float
    quota_slack: float


class Switch(Admission):
    caps = True

    def __init__(self, settings: i.Settings, seed: int, terms: Terms) -> None:
        super().__init__(settings, seed)
        self.terms = terms
        self.own = mix(seed)  # tells this door from others
        self.servers: dict[int, Server] = {}
        self.services: dict[int, Service] = {}
        self.usual = [first_usual(cls) for cls in settings.classes]
        self.seen = [FIRST_SEEN] * len(self.usual)  # answers that `usual` rests on, by class
        self.tick_at = -math.inf
        self.scan_at = 0.0
        self.out = 0  # attempts that are out
        self.alone_since: dict[int, float] = {}  # when what a customer's lease owes began to be let in
        self.unreached: dict[int, int] = {}  # attempts of a request that reached nobody
        self.spared = 0  # further tries that the budget did not allow
        self.lines: dict[int, Line] = {}  # of customers' refused requests

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """The actions that answer one event, in order."""
        self.now, self.actions = now, []
        match event:
            case i.Request():
                self.on_request(event)
            case i.Finished():
                self.on_finished(event)
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
            case i.Plans():
                self.on_plans(event.plans)
            case i.Doors():
                self.on_doors(event.count)
            case i.Shun():
                self.on_shun(event)
            case i.Late():
                self.tally.late_at = now
            case i.Leaving():
                self.leave()
        self.set_timer()
        return self.actions

    # --- what the configuration and the registry say ----------------------------------------------

    def on_classes(self, classes: tuple[i.RequestClass, ...]) -> None:
        new = classes[len(self.usual) :]
        self.usual += [first_usual(cls) for cls in new]
        self.seen += [FIRST_SEEN] * len(new)
        for number, (was, cls) in enumerate(zip(self.settings.classes, classes, strict=False)):
            if cls.name != was.name:
                self.usual[number], self.seen[number] = first_usual(cls), FIRST_SEEN
        self.settings = replace(self.settings, classes=classes)

    def on_plans(self, plans: tuple[i.Plan, ...]) -> None:
        """Tenants' quotas.  What a tenant's store lacks stays lacking; a lower rate holds at once."""
        changed = [
            plan
            for was, plan in zip(self.settings.plans, plans, strict=False)
            if was != plan and was.name == plan.name
        ]
        self.settings = replace(self.settings, plans=plans)
        for plan in changed:
            for key in [k for k, lease in self.leases.items() if lease.plan.name == plan.name]:
                lease = self.leases[key]
                if plan.rate <= 0:
                    continue
                lease.plan = plan
                lease.base = max(1.0, math.floor(plan.burst))
                lease.span = lease.base / plan.rate
                lease.credits = min(lease.credits, lease.base)
                lease.wide = lease.width > lease.base

    def on_doors(self, count: int) -> None:
        self.peers = max(1, count)
        self.settings = replace(self.settings, peers=self.peers)
        for lease in self.leases.values():
            lease.width = self.peers
            lease.wide = not lease.slots and lease.width > lease.base

    def on_members(self, event: i.Members) -> None:
        whole = event.listing in (i.Listing.CACHED, i.Listing.FULL)
        if whole:
            for known in self.servers.values():
                known.state = State.GONE
        for entry in event.entries:
            found = self.servers.get(entry.backend)
            if found is None:
                found = self.servers[entry.backend] = Server(entry, answered=self.now)
                # Taken to have been asked some time ago, in an order of this door's own: doors that know
                # nothing yet would else all go to the same server, then all to the next.
                found.asked = self.now - TURNS * mix(entry.backend, self.own) / 2**64
            found.entry, found.state = entry, entry.state
        for gone in [b for b, s in self.servers.items() if s.state is State.GONE and not s.out]:
            del self.servers[gone]
        for service in self.services.values():
            service.servers, service.silent = [], []
        for server in self.servers.values():
            if server.state is State.READY:
                self.service(server.entry.service).servers.append(server)
            elif server.entry.kind == SILENT and server.state is State.DRAINING:
                self.service(server.entry.service).silent.append(server)

    def on_shun(self, event: i.Shun) -> None:
        """What other doors have met at a server; this one, which sees little, heeds it before it meets it."""
        if (server := self.servers.get(event.backend)) is not None:
            server.down_until = max(server.down_until, self.now + event.seconds)
            server.shunned = True

    def service(self, number: int) -> Service:
        found = self.services.get(number)
        if found is None:
            found = self.services[number] = Service()
        return found

    # --- requests ----------------------------------------------------------------------------------

    def on_request(self, req: i.Request) -> None:
        job = self.take(req)
        self.admit(job) if req.left >= MARGIN + TICK else self.refuse(job, 0.0, Why.DEADLINE)

    def dispatch(self, job: Job) -> None:
        if job.closed:
            return
        server = self.choose(job)
        if server is None:
            self.end(job)
        else:
            self.send(job, server)

    def strain(self) -> float:
        return 0.0

    def most(self, lease: Lease, share: float) -> float:
        """What the local share holds at most: over all doors what the rule on quotas leaves for a loss.

        Where that is under a whole unit for each door, only so many doors have one, others for each tenant.
        """
        if lease.slots:
            return super().most(lease, share)
        part = UNASKED * self.beyond(lease.plan) / lease.width
        if part >= 1:
            return min(super().most(lease, share), part)
        return 1.0 if mix(lease.customer, self.own) / 2**64 < part else 0.0

    def fits(self, lease: Lease, units: float) -> bool:
        """Within the local share; no request goes into debt there, as all doors would let one in."""
        return self.refill(lease) + EPS >= units

    def level(self, lease: Lease) -> float:
        """What the store holds; what it lacked at the window's edge is on no name before it was offered."""
        return super().level(lease) - lease.seed

    def put_right(self, lease: Lease, call: Call) -> None:
        """The counter does."""

    def count(self, lease: Lease, amount: float, gives: bool, fix: float = 0.0) -> None:
        """With what a counter goes by that keeps the store itself."""
        super().count(lease, amount, gives, fix)
        made, plan = self.actions[-1], lease.plan
        assert isinstance(made, i.Count)
        made.since = self.now + lease.phase - lease.window * lease.length
        made.customer, made.seed = lease.customer, lease.seed
        made.rate, made.burst, made.span = plan.rate, plan.burst, self.terms.quota_window
        spare = AFTER_LOSS * self.beyond(plan)
        made.drained = plan.burst + made.since * plan.rate - min(plan.burst, spare)
        made.known, made.knew = lease.told, lease.born if lease.met else 0
        owed = (amount if gives else lease.owed) if amount > 0 else 0.0
        if owed > 0 and (began := self.alone_since.get(lease.customer)) is not None:
            # The latest of it may have come all at once, as much as the local share holds.
            made.late = max(0.0, owed - self.most(lease, self.share(lease)))
            made.spread = min(self.now - began, made.since)

    def admit_alone(self, lease: Lease, job: Job, units: float) -> None:
        """As in Admission; since when is kept: what was let in then is told late."""
        before = lease.owed
        super().admit_alone(lease, job, units)
        if before < EPS < lease.owed and not lease.slots:
            if len(self.alone_since) > 2 * len(self.leases) + 64:
                self.alone_since = {c: at for c, at in self.alone_since.items() if (c, False) in self.leases}
            self.alone_since[lease.customer] = self.now

    def largest(self, lease: Lease) -> float:
        """What doors hold unspent was taken from a store that has filled up since: in a flood it comes on top
        of the burst, from all of them at once.
        """
        return math.floor(1 + HELD * self.beyond(lease.plan) / lease.width)

    def beyond(self, plan: i.Plan) -> float:
        """Units of one of its windows that the rule on quotas leaves beyond them."""
        terms = self.terms
        return terms.quota_excess * (terms.quota_window * plan.rate + plan.burst) + terms.quota_slack

    def choose(self, job: Job) -> Server | None:
        """The server that will most likely be done first, of those that may be asked."""
        best, best_score, spare, spare_score = None, math.inf, None, math.inf
        usual = self.usual[job.req.cls]
        service = self.service(job.req.service)
        # Where all have fallen silent it is most likely the registry that does not hear.
        for server in service.servers or service.silent:
            if server.entry.backend in job.tried:
                continue
            held = len(server.out)
            slots = max(1.0, server.entry.weight)
            if held >= DEPTH * slots:
                continue
            score = self.expected(server, usual) * (1 + held / slots)
            if server.entry.zone:
                score *= FAR
            if self.now < server.down_until:
                if score < spare_score:
                    spare, spare_score = server, score
                continue
            score *= 1 + TURN * max(-TURNS, server.asked - self.now)  # who was asked longest ago first
            if score < best_score:
                best, best_score = server, score
        if job.req.home and (home := self.at_home(job, usual, best)) is not None:
            return home
        return best if best is not None else spare

    def at_home(self, job: Job, usual: float, best: Server | None) -> Server | None:
        """The server of its conversation, while that is in service and not much worse than others.

        Paces are compared with the service's usual one, not with the best server's: one that was asked less
        is known less.
        """
        server = self.servers.get(job.req.home)
        if server is None or server.state is not State.READY or server.entry.service != job.req.service:
            return None
        if server.entry.backend in job.tried or self.now < server.down_until:
            return None
        held = len(server.out) / max(1.0, server.entry.weight)
        others = len(best.out) / max(1.0, best.entry.weight) if best is not None else held
        near = self.expected(server, usual) <= HOME and 1 + held <= HOME * (1 + others)
        return server if near and held < DEPTH else None

    def expected(self, server: Server, usual: float) -> float:
        """Its pace, and longer the longer it has been silent with something out."""
        pace = server.pace
        if self.now < server.entry.started + 3.0:
            pace *= COLD
        if server.out:
            quiet = self.now - max(next(iter(server.out.values())), server.answered)
            if quiet > max(LEAST_SILENCE, SILENCE * usual):
                pace = max(pace, quiet / usual)
        return pace

    def send(self, job: Job, server: Server) -> None:
        server.out[job.req.request, job.attempts] = self.now
        server.asked = self.now
        self.out += 1
        job.out[job.attempts] = server, self.now
        job.attempts += 1
        job.tried.append(server.entry.backend)
        if len(job.tried) == 1:
            service = self.service(job.req.service)
            service.tries = min(MAX_TRIES, service.tries + BUDGET * self.terms.retry_ratio)
        self.actions.append(i.Send(job.req.request, server.entry.backend, 0.0))

    def on_finished(self, event: i.Finished) -> None:
        job = self.jobs.get(event.request)
        server = self.servers.get(event.backend)
        sent = server.out.pop((event.request, event.attempt), None) if server is not None else None
        if server is not None and sent is not None:
            self.out -= 1
            self.observe(server, event, self.now - sent, job)
            if server.state is State.GONE and not server.out:
                del self.servers[event.backend]
        if job is None:
            return
        gone = job.out.pop(event.attempt, None)
        if gone is not None and not event.outcome.never_ran:
            job.ran = gone
        if event.closed or event.outcome is Outcome.OK:
            self.close(job)
        if not job.out:
            if job.closed:
                self.close(job)
            else:
                self.further(job, event.outcome)

    def observe(self, server: Server, event: i.Finished, took: float, job: Job | None) -> None:
        """Learn from how an attempt ended."""
        outcome = event.outcome
        if outcome is Outcome.MOOT:
            return
        if outcome is Outcome.CANCELLED:
            if job is not None and job.closed:
                self.observe_departure(server, took / self.usual[job.req.cls])
            return
        if outcome is Outcome.OK and job is not None:
            server.answered, server.fails = self.now, 0
            if (
                not server.shunned or self.now >= server.down_until
            ):  # one good answer is no word against several
                server.down_until, server.shunned = 0.0, False
            cls = job.req.cls
            usual = self.usual[cls]
            self.seen[cls] += 1
            self.usual[cls] += max(SMOOTH / 4, 1 / self.seen[cls]) * (min(took, 4 * usual) - usual)
            server.pace += SMOOTH * (min(4.0, took / usual) - server.pace)
        elif outcome in (Outcome.ERROR, Outcome.FULL):
            server.answered = self.now
            if outcome is Outcome.FULL:
                server.down_until = max(server.down_until, self.now + TICK * 2)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            server.fails += 1
            if outcome is Outcome.CONNECT_FAILED or server.fails > 2:
                down = min(MAX_DOWN, DOWN * 2 ** min(4, server.fails - 1))
                server.down_until = max(server.down_until, self.now + down)

    def observe_departure(self, server: Server, pace: float) -> None:
        """Its client did not wait for the answer.  The server's pace is this at least; without it one that
        answers nobody would look idle as soon as its clients had left.
        """
        if pace > server.pace:
            server.pace += SMOOTH * (min(4.0, pace) - server.pace)

    def further(self, job: Job, outcome: Outcome) -> None:
        """No attempt is out and none served: another server where that is allowed, else the end."""
        may = job.ran is None or job.cls.effect is Effect.SAFE
        most = job.req.most or self.settings.limits.max_attempts
        if outcome is Outcome.CONNECT_FAILED:
            self.unreached[job.req.request] = self.unreached.get(job.req.request, 0) + 1
        arrived = job.attempts - self.unreached.get(job.req.request, 0)
        left = job.end - self.now > MARGIN + TICK
        if not may or not left or job.attempts >= self.settings.limits.max_attempts:
            return self.end(job)
        if arrived:
            service = self.service(job.req.service)
            if arrived >= most or service.tries < 1:
                self.spared += 1
                return self.end(job)
            if (server := self.choose(job)) is None:
                return self.end(job)
            service.tries -= 1
            return self.send(job, server)
        self.dispatch(job)

    def end(self, job: Job) -> None:
        """The final answer: a refusal where nothing has run, for that is a promise; else a failure."""
        if not job.out and (job.ran is None or job.cls.effect is Effect.SAFE):
            why = Why.BACKENDS if job.attempts else Why.ROOM
            self.refuse(job, BACK * job.cls.aim, why)
        else:
            self.close(job)
            self.actions.append(i.Fail(job.req.request))

    def turn(self, job: Job, after: float) -> float:
        """Seconds after which a request that its quota does not hold now may come back: each its own time.

        Told the same time, those that were refused together come back together, and most are refused again
        until they give up.  Half of the tenant's rate is dealt out in turns, this door's part of it.  Where
        far more comes than its quota holds, and goes on coming, turns would only make requests late that
        others are served in place of: there `after` is told.
        """
        lease = job.leases[0]
        line = self.lines.setdefault(lease.customer, Line())
        if line.until <= self.now:
            line.until, line.flooded = self.now, False
        at = max(self.now + after, line.until)
        line.until = min(at + lease.width / (TURN_PART * lease.plan.rate), self.now + FLOOD)
        line.flooded = line.flooded or line.until >= self.now + FLOOD
        most = TURN_LEFT * (job.end - self.now)
        if line.flooded:  # who has just come may still be served in time; the others once it is over
            return after if job.cls.deadline - (job.end - self.now) < job.cls.aim / 4 else most
        return min(at - self.now, most)

    def refuse(self, job: Job, retry_after: float, why: Why) -> None:
        self.close(job)
        most = self.settings.limits.max_retry_after
        if why is Why.QUOTA and job.leases and job.plan.rate > 0:
            most, retry_after = math.inf, self.turn(job, retry_after)
        self.actions.append(i.Refuse(job.req.request, min(max(0.0, retry_after), most), why))

    def close(self, job: Job | None) -> None:
        """Late or repeated news changes nothing."""
        if job and not job.out and job.req.request in self.jobs:
            del self.jobs[job.req.request]
            self.unreached.pop(job.req.request, None)
            self.release(job, unsent=job.ran is None)
        if job:
            job.closed = True

    # --- the tick ----------------------------------------------------------------------------------

    def set_timer(self) -> None:
        if not self.jobs and not self.holding:
            return
        waits = self.out < len(self.jobs)
        due = self.now + TICK * (1 if waits else WATCH_TICKS)
        if not self.now + 1e-4 < self.tick_at <= due:
            self.tick_at = due
            self.actions.append(i.SetTimer(due, 1))

    def tick(self) -> None:
        for job in [j for j in self.jobs.values() if not j.out and not j.closed]:
            if self.now > job.end - MARGIN - TICK:
                self.refuse(job, 0.0, Why.DEADLINE)
        self.call_waiting()
        self.rescue()
        if self.now >= self.scan_at:
            self.scan_at = self.now + WATCH_TICKS * TICK
            self.scan()

    def rescue(self) -> None:
        """Another server for a repeatable request whose own has fallen silent."""
        for job in [j for j in self.jobs.values() if len(j.out) == 1 and not j.closed]:
            if job.cls.effect is not Effect.SAFE:
                continue
            ((attempt, (server, sent)),) = job.out.items()
            usual = self.usual[job.req.cls]
            quiet = self.now - max(sent, server.answered)
            if quiet < max(LEAST_SILENCE, SILENCE * usual) or self.now - sent < LOST * usual:
                continue
            most = job.req.most or self.settings.limits.max_attempts
            service = self.service(job.req.service)
            arrived = job.attempts - self.unreached.get(job.req.request, 0)
            if arrived < most and service.tries >= 1 and job.end - self.now > usual:
                self.actions.append(i.Cancel(job.req.request, attempt))  # `further` sends again
