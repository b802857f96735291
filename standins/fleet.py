"""A fleet in simulated time: up to 800 modules, one counter, workers that queue, customers and their clients.

Front doors hold the decision module itself and nothing else; what is around them is modelled.  The load, the
workers and the customers are the same however many doors share them, so that what a fleet costs shows alone.
Everything comes from one seed.  Each customer's true store is kept beside, as the operators keep it: a try
that is sent on takes a unit if there is one, else it is beyond the quota and takes nothing.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from orchidhill import interface as i
from orchidhill.gateway import Gateway

AIMS = (2.6, 3.25, 1.95)  # seconds: read, submit, publish
DEADLINES = (6.5, 7.8, 6.5)
WORK = (0.2, 0.3, 0.2)  # mean seconds of work of a request
MIX = (0.4, 0.4, 0.2)  # share of the requests
EFFECTS = (i.Effect.SAFE, i.Effect.KEYED, i.Effect.UNSAFE)
PLANS = (
    i.Plan("community", 0.6, 3.0, 0, 0.9, 0.5, 0.0, 0.0, 0.0, 0.0),
    i.Plan("standard", 2.5, 11.0, 0, 1.2, 0.5, 0.0, 0.0, 0.0, 0.0),
    i.Plan("council", 9.5, 15.0, 0, 1.8, 0.8, 0.0, 20.0, 33.0, 3.0),
)
CUSTOMERS = (560, 184, 39)  # of each plan
RETRIES = 2  # of a client that is refused
LINGER = 15.0  # seconds for which an idle connection is kept
HANDSHAKE = 0.004  # seconds of a new connection
WAY = 0.001  # seconds to a worker or to the counter, and back
STORE_STEP = 1e-9


def settings(doors: int, pace: float) -> i.Settings:
    classes = tuple(
        i.RequestClass(name, AIMS[n], DEADLINES[n], EFFECTS[n], i.Scope.CELL, 8.0, 1.0, 0.0, False)
        for n, name in enumerate(("read", "submit", "publish"))
    )
    return i.Settings(
        me=0, peers=doors, zone=0, zones=("a",), period=0.001, classes=classes, plans=PLANS,
        rules=i.Rules(0.005, 2.0, 0.15, 17.0, 2.0, 2.0, 10.0),
        limits=i.Limits(6, False, True, True, False, 2.0, 0.25), has_counter=True, counter_price=0.01,
        counter_timeout=0.08, settles=False, membership_push=True, weight_source="silent",
        report_how="piggyback", report_columns=("latency_ms", "util", "queue"), prices={}, counter_pace=pace,
    )  # fmt: skip


@dataclass(slots=True)
class Customer:
    number: int
    plan: int
    width: int
    first: int
    weights: list[float]  # of its doors
    level: float  # of its true store
    at: float = 0.0
    asked: float = 0.0  # of a store from which first tries alone take, at one door that sees all
    asked_at: float = 0.0
    offered: int = 0  # first tries that found a unit there
    served: int = 0  # tries that found one in the true store, and were answered within the aim
    sent: int = 0
    beyond: int = 0  # of these
    above: float = 0.0  # what its ceiling's store holds, where it has one
    above_at: float = 0.0


@dataclass(slots=True)
class Try:
    customer: Customer
    cls: int
    first: float  # when the client first asked
    left: int  # tries behind this one
    door: int = 0
    at: float = 0.0
    inside: bool = False  # whether it took a unit of the true store
    out: int = 0  # attempts so far
    open: bool = True


@dataclass(slots=True)
class Worker:
    """Four cores and a waiting room; work that is turned away was never begun."""

    cores: int = 4
    room: int = 64
    busy: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass
class Played:
    """What came of a run."""

    offered: int = 0  # first tries that one door which saw them all would have let in
    served: int = 0  # requests within their quota answered within their aim, no more than that of a customer
    all_sent: int = 0
    beyond: int = 0  # units sent on beyond their quota
    tries: int = 0
    calls: Counter[str] = field(default_factory=Counter)  # by what they do, and those that went wrong
    refused: Counter[str] = field(default_factory=Counter)  # by why
    inside: Counter[str] = field(default_factory=Counter)  # of these, with a unit in the store
    half: int = 0  # and with half of it
    connections: int = 0  # opened to workers
    open: int = 0  # at the end
    cancelled: int = 0  # attempts
    ceiling: float = math.inf  # the least that any customer's ceiling store held
    waits: list[float] = field(default_factory=list)  # seconds from a try to its first attempt
    plans: dict[str, list[int]] = field(default_factory=dict)  # offered and served


class Fleet:
    """`bears`: calls a second of the counter, in two parts; the doors begin at `pace`, all together."""

    def __init__(
        self, doors: int, seed: int = 1, use: float = 1.0, workers: int = 100, bears: float = 1400.0,
        pace: float = 800.0,
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.now, self.order = 1000.0, itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.settings = settings(doors, pace)
        self.workers = [Worker() for _ in range(workers)]
        self.entries = tuple(
            i.Entry(self.rng.getrandbits(32), 0, 0.0, i.State.READY, 0, n // 6, 1.0) for n in range(workers)
        )
        self.place = {entry.backend: n for n, entry in enumerate(self.entries)}
        self.gateways = [self.start(door) for door in range(doors)]
        self.lives = [0] * doors
        self.idle: list[dict[int, list[float]]] = [{} for _ in range(doors)]  # connections, since when
        self.tries: dict[int, Try] = {}
        self.out: dict[tuple[int, int], int] = {}  # attempts, and where they are
        self.numbers = itertools.count(1)
        self.totals: dict[int, float] = {}
        self.free = [0.0, 0.0]  # when each part of the counter has done what it was given
        self.bears = bears / 2
        self.played = Played(plans={plan.name: [0, 0] for plan in PLANS})
        self.customers = [self.customer(p, doors) for p, count in enumerate(CUSTOMERS) for _ in range(count)]
        self.use = use

    def start(self, door: int) -> Gateway:
        made = Gateway(replace(self.settings, me=door), 100 + door)
        made.handle(self.now, i.Members(i.Listing.CACHED, 1, self.entries))
        return made

    def customer(self, plan: int, doors: int) -> Customer:
        most = doors
        if PLANS[plan].ceiling_rate:
            most = min(doors, int(PLANS[plan].ceiling_burst / 2))
        width = min(most, max(2, round(self.rng.uniform(0.5, 1.0) * doors)))
        weights = [1 / (1 + n) ** self.rng.uniform(0.2, 0.7) for n in range(width)]
        self.rng.shuffle(weights)
        number = self.rng.getrandbits(33)
        return Customer(
            number, plan, width, self.rng.randrange(doors), weights, PLANS[plan].burst, self.now, 1e9
        )

    # --- time --------------------------------------------------------------------------------------

    def after(self, delay: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), act))

    def run(self, seconds: float) -> Played:
        """So many seconds of load; then on until all is answered."""
        end = self.now + seconds
        for customer in self.customers:
            self.load(customer, end)
        while self.events and self.events[0][0] <= end + max(DEADLINES):
            self.now, _, act = heapq.heappop(self.events)
            act()
        if any(t.open for t in self.tries.values()):
            raise AssertionError("a request was left without an answer")
        for customer in self.customers:
            served = min(customer.served, customer.offered)
            self.played.offered += customer.offered
            self.played.served += served
            plan = self.played.plans[PLANS[customer.plan].name]
            plan[0], plan[1] = plan[0] + customer.offered, plan[1] + served
            self.played.all_sent += customer.sent
            self.played.beyond += customer.beyond
        self.played.open = sum(len(links) for door in self.idle for links in door.values())
        return self.played

    def load(self, customer: Customer, end: float) -> None:
        """Most use a part of their quota, some nearly all, some ask far more, some in spikes."""
        kind, rate = self.rng.random(), PLANS[customer.plan].rate
        if kind < 0.09:
            self.arrive(customer, self.use * rate * self.rng.uniform(2.0, 4.8), end)
        elif kind < 0.26:
            self.arrive(customer, self.use * rate, end)
        else:
            self.arrive(customer, self.use * rate * self.rng.uniform(0.17, 0.49), end)
            if kind < 0.42:
                self.spike(customer, end)

    def spike(self, customer: Customer, end: float) -> None:
        at = self.now + self.rng.uniform(0, 20)
        while at < end:
            until = min(end, at + self.rng.uniform(0.7, 4.5))
            rate = PLANS[customer.plan].rate * self.rng.uniform(3.8, 7.4)
            self.after(at - self.now, lambda r=rate, u=until: self.arrive(customer, r, u))  # type: ignore[misc]
            at += self.rng.uniform(11, 24)

    def arrive(self, customer: Customer, rate: float, end: float) -> None:
        def come() -> None:
            self.first(customer)
            self.arrive(customer, rate, end)

        delay = self.rng.expovariate(rate)
        if self.now + delay < end:
            self.after(delay, come)

    # --- customers ---------------------------------------------------------------------------------

    def level(self, customer: Customer) -> float:
        plan = PLANS[customer.plan]
        customer.level = min(plan.burst, customer.level + (self.now - customer.at) * plan.rate)
        customer.at = self.now
        return customer.level

    def first(self, customer: Customer) -> None:
        cls = self.rng.choices((0, 1, 2), MIX)[0]
        plan = PLANS[customer.plan]
        customer.asked = min(plan.burst, customer.asked + (self.now - customer.asked_at) * plan.rate)
        customer.asked_at = self.now
        if customer.asked >= 1:
            customer.asked -= 1
            customer.offered += 1
        self.ask(Try(customer, cls, self.now, RETRIES), False)

    def ask(self, made: Try, again: bool) -> None:
        customer, doors = made.customer, len(self.gateways)
        number = next(self.numbers)
        made.door = (customer.first + self.rng.choices(range(customer.width), customer.weights)[0]) % doors
        made.at, made.out = self.now, 0
        self.tries[number] = made
        self.played.tries += 1
        left = DEADLINES[made.cls] - (self.now - made.first)
        who, first, write = customer.number, customer.first, made.cls != 0
        width, plan = customer.width, customer.plan
        self.post(made.door, i.Request(number, made.cls, plan, who, left, 1.0, width, first, again, write))

    def refuse(self, number: int, why: str) -> None:
        made = self.tries.pop(number)
        if not made.open:
            return
        self.played.refused[why] += 1
        level = self.level(made.customer)
        if level >= 1 - STORE_STEP:
            self.played.inside[why] += 1
            self.played.half += level >= PLANS[made.customer.plan].burst / 2
        if made.left and self.now < made.first + 0.8 * DEADLINES[made.cls]:
            made.left -= 1
            self.after(self.rng.uniform(0.075, 0.6), lambda: self.ask(made, True))
        else:
            made.open = False

    # --- doors -------------------------------------------------------------------------------------

    def post(self, door: int, event: i.Event) -> None:
        for action in self.gateways[door].handle(self.now, event):
            self.carry_out(door, action)

    def later(self, door: int, delay: float, event: i.Event) -> None:
        life = self.lives[door]
        self.after(delay, lambda: self.post(door, event) if self.lives[door] == life else None)

    def carry_out(self, door: int, action: i.Action) -> None:
        match action:
            case i.Count():
                self.count(door, action)
            case i.Send():
                self.send(door, action)
            case i.Refuse():
                self.refuse(action.request, action.why.value)
            case i.Fail():
                self.refuse(action.request, "failed")
            case i.Cancel():
                self.cancel(door, action)
            case i.SetTimer():
                self.later(door, max(0.001, action.at - self.now), i.Fired(action.token))

    def send(self, door: int, action: i.Send) -> None:
        made, number, attempt = self.tries[action.request], action.request, self.tries[action.request].out
        if not attempt:
            self.played.waits.append(self.now - made.at)
            made.customer.sent += 1
            made.inside = self.level(made.customer) >= 1 - STORE_STEP
            if made.inside:
                made.customer.level -= 1
            else:
                made.customer.beyond += 1
            self.rise(made.customer)
        made.out += 1
        place = self.place[action.backend]
        links = self.idle[door].setdefault(place, [])
        links[:] = [since for since in links if self.now - since < LINGER]
        delay = WAY
        if links:
            links.pop()
        else:
            self.played.connections += 1
            delay += HANDSHAKE
        began = self.now
        self.out[number, attempt] = action.backend
        self.after(delay, lambda: self.work(door, place, number, attempt, began))

    def rise(self, customer: Customer) -> None:
        """Every try that is sent on takes a unit of its ceiling's store, which may not go below nothing."""
        plan = PLANS[customer.plan]
        if plan.ceiling_rate:
            filled = customer.above + (self.now - customer.above_at) * plan.ceiling_rate
            customer.above, customer.above_at = min(plan.ceiling_burst, filled) - 1, self.now
            self.played.ceiling = min(self.played.ceiling, customer.above)

    def cancel(self, door: int, action: i.Cancel) -> None:
        """The attempt is given up; the worker does not stop, and its connection is lost."""
        key = action.request, action.attempt
        if (backend := self.out.pop(key, None)) is not None:
            self.played.cancelled += 1
            self.later(door, 0.0, i.Finished(*key, backend, i.Outcome.CANCELLED, False, 0.0, 0, 0, ()))

    def work(self, door: int, place: int, number: int, attempt: int, began: float) -> None:
        worker, made = self.workers[place], self.tries.get(number)
        if made is None or (number, attempt) not in self.out:
            return
        if len(worker.waiting) >= worker.room:
            self.over(door, place, number, attempt, began, i.Outcome.FULL)
            return
        # Spread like the site's: half exponential, half of it the same for every request.
        seconds = WORK[made.cls] * (0.5 + 0.5 * self.rng.expovariate(1.0))

        def begin() -> None:
            worker.busy += 1
            self.after(seconds, end)

        def end() -> None:
            worker.busy -= 1
            if worker.waiting:
                worker.waiting.popleft()()
            self.over(door, place, number, attempt, began, i.Outcome.OK)

        if worker.busy < worker.cores:
            begin()
        else:
            worker.waiting.append(begin)

    def over(
        self, door: int, place: int, number: int, attempt: int, began: float, outcome: i.Outcome
    ) -> None:
        worker, made = self.workers[place], self.tries.get(number)
        backend = self.out.pop((number, attempt), None)
        if made is None or backend is None:
            return  # it was cancelled
        self.idle[door].setdefault(place, []).append(self.now)
        closed = outcome is i.Outcome.OK
        if closed and made.open:
            made.open = False
            made.customer.served += made.inside and self.now - made.first <= AIMS[made.cls]
        spent = self.now - began + WAY
        report = (spent * 1000, worker.busy / worker.cores, float(len(worker.waiting)))
        done = i.Finished(number, attempt, backend, outcome, closed, spent, 0, 0, report)
        self.later(door, WAY, done)
        if closed:
            del self.tries[number]

    # --- the counter -------------------------------------------------------------------------------

    def count(self, door: int, action: i.Count) -> None:
        self.played.calls["look" if not action.amount else "add" if action.amount > 0 else "take off"] += 1
        part, timeout = action.name % 2, self.settings.counter_timeout
        begin = max(self.now + WAY, self.free[part])
        if begin - self.now > 1.5 * timeout:
            self.played.calls["full"] += 1
            self.later(door, 2 * WAY, i.Counted(action.name, i.Outcome.FULL, 0.0, 2 * WAY))
            return
        self.free[part] = begin + 1 / self.bears
        spent = self.free[part] + WAY - self.now

        def serve() -> None:
            total = self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
            total = float(f"{total:.7g}")  # as the platform's counter tells it
            if spent < timeout:
                self.later(door, WAY, i.Counted(action.name, i.Outcome.OK, total, spent))

        self.after(spent - WAY, serve)
        if spent >= timeout:
            self.played.calls["unanswered"] += 1
            self.later(door, timeout, i.Counted(action.name, i.Outcome.TIMEOUT, 0.0, timeout))

    # --- faults ------------------------------------------------------------------------------------

    def kill(self, doors: list[int]) -> None:
        """The processes die with all they know and have leased, others begin in their place; clients whose
        connections break try again, and what workers do for them is lost.
        """
        for door in doors:
            self.lives[door] += 1
            self.idle[door] = {}
            self.gateways[door] = self.start(door)
            for number in [n for n, made in self.tries.items() if made.door == door]:
                self.refuse(number, "killed")


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, math.floor(part * len(values)))] if values else 0.0
