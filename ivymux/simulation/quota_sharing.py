"""Doors of the system that share tenants' quotas, simulated: their decision modules, one counter, tenants.

No clock and no socket: a run has the same figures on every machine.  Time is in seconds, what tenants ask for
in requests.  What is measured is what the users' rule on quotas looks at: the most that was sent on within
any span of its window.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.lease_counts import LeaseCounts
from ivymux.proxy.module_settings import module_settings
from ivymux.simulation.event_queue import START, Clocked
from orchidhill import interface as i
from orchidhill.proxy_gateway import ProxyGateway, ProxyRules

TERMS = ProxyRules(retry_ratio=0.2, quota_window=5.0, quota_excess=0.1, quota_slack=20.0)
ROUND_TRIP = 0.004  # of a call to the counter
NOTICED = 1.0  # seconds after which it is noticed that a door is cut off
TOLD = 0.3  # seconds within which doors hear what the core tells
TIMEOUT = 0.25  # of a call that nobody answers
WORK = 0.1  # of a request at its server
CLASSES = tuple(
    i.RequestClass(name, 0.3, 1.2, effect, i.Scope.ALL, 0.0, 1.0, 0.1, False)
    for name, effect in (("read", i.Effect.SAFE), ("sign", i.Effect.UNSAFE))
)
FREE = i.Plan("", 0.0, 0.0, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0)


def plan(name: str, rate: float, burst: float) -> i.Plan:
    return i.Plan(name, rate, burst, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class Tenant:
    """One tenant: its quota, and how much it asks for over time."""

    plan: i.Plan
    asks: Callable[[float], float]  # requests a second, by seconds since the start
    sent: list[float] = field(default_factory=list)  # when its requests were sent on
    asked: int = 0
    given_up: int = 0  # requests whose last try was refused
    given_up_at: list[float] = field(default_factory=list)
    asked_at: list[float] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)  # tries, by cause

    def most(self, span: float) -> int:
        """The most that was sent on within any span."""
        inside: deque[float] = deque()
        most = 0
        for at in self.sent:
            inside.append(at)
            while inside[0] <= at - span:
                inside.popleft()
            most = max(most, len(inside))
        return most

    def refused_part(self, start: float, end: float) -> float:
        """Of the requests asked between two times after the start, the part that was given up."""
        asked, given_up = (
            sum(START + start <= at < START + end for at in times)
            for times in (self.asked_at, self.given_up_at)
        )
        return given_up / max(1, asked)

    def allowed(self, terms: ProxyRules = TERMS) -> float:
        whole = self.plan.rate * terms.quota_window + self.plan.burst
        return whole * (1 + terms.quota_excess) + terms.quota_slack


def alone(id: str, now: float, age: float = 100.0, first: bool = False) -> CounterHolders:
    made = CounterHolders(id, now, first)
    made.update_proxies({id: now - age}, now)
    return made


class Doors(Clocked):
    def __init__(self, count: int, tenants: list[Tenant], seed: int, tries: int = 3) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.tenants, self.tries = tenants, tries
        self.counts = LeaseCounts(alone("one", START, first=True), 1)
        self.number = itertools.count(1)
        self.calls: Counter[int] = Counter()
        self.dark_until = START
        self.waiting: dict[int, tuple[Tenant, int, int]] = {}  # whose, which try, at which door
        self.weights = [self.random.gammavariate(4.0, 1.0) for _ in range(count)]
        # A door's calls and their answers keep their order.
        self.way = [ROUND_TRIP / 2 * (0.5 + self.random.random()) for _ in range(count)]
        self.doors: list[ProxyGateway] = [self.door(count) for _ in range(count)]
        for tenant in tenants:
            self.next(tenant)

    def door(self, count: int) -> ProxyGateway:
        made = ProxyGateway(module_settings(), self.random.getrandbits(64), TERMS)
        servers = tuple(i.Entry(n, 0, 0.0, i.State.READY, 0, 0, 1e6, 0) for n in (1, 2))
        plans = (FREE, *(t.plan for t in self.tenants))
        for event in (
            i.Classes(CLASSES), i.Plans(plans), i.Doors(count), i.Members(i.Listing.DELTA, 1, servers)
        ):  # fmt: skip
            made.handle(self.now, event)
        return made

    # --- what happens -----------------------------------------------------------------------------------

    def next(self, tenant: Tenant) -> None:
        rate = tenant.asks(self.now - START)

        def come() -> None:
            if rate > 0:
                tenant.asked += 1
                tenant.asked_at.append(self.now)
                self.ask(tenant, 1)
            self.next(tenant)

        self.at(self.now + (self.random.expovariate(rate) if rate > 0 else 0.05), come)

    def ask(self, tenant: Tenant, tried: int) -> None:
        if self.now < self.dark_until:
            return
        where = self.random.choices(range(len(self.doors)), self.weights)[0]
        number, index = next(self.number), self.tenants.index(tenant) + 1
        self.waiting[number] = tenant, tried, where
        request = i.Request(
            number, 0, index, index, 1.2 - 0.2 * (tried - 1), 1.0, len(self.doors), 0, False, False, 0, 1
        )
        self.tell(where, request)

    def change(self, tenant: Tenant, made: i.Plan) -> None:
        """A configuration with another quota reaches all doors within some milliseconds."""
        tenant.plan = made
        plans = (FREE, *(t.plan for t in self.tenants))
        for n in range(len(self.doors)):
            self.at(self.now + 0.02 * self.random.random(), lambda n=n: self.tell(n, i.Plans(plans)))  # type: ignore[misc]

    # --- troubles ------------------------------------------------------------------------------------------

    def lose_counts(self) -> None:
        """Who held the counts is gone; another door is named that knows nothing of them."""
        self.lost(100.0)

    def lost(self, age: float) -> None:
        self.counts = LeaseCounts(alone("another", self.now, age), self.counts.incarnation + 1)

    def lose_all(self, dark: float) -> None:
        """All doors are killed, and serve again after `dark` seconds; what comes meanwhile is given up."""
        self.lost(0.0)
        self.waiting.clear()
        self.dark_until = self.now + dark
        self.at(self.dark_until, self.again)

    def again(self) -> None:
        self.doors = [self.door(len(self.doors)) for _ in self.doors]

    def tell(self, n: int, event: i.Event) -> None:
        for action in self.doors[n].handle(self.now, event):
            self.act(n, self.doors[n], action)

    def tell_same(self, n: int, door: ProxyGateway, event: i.Event) -> None:
        """What a door asked for, unless it has been killed since."""
        if self.doors[n] is door and self.now >= self.dark_until:
            self.tell(n, event)

    def act(self, n: int, door: ProxyGateway, action: i.Action) -> None:
        if isinstance(action, i.Count):
            self.at(self.now + self.way[n], lambda: self.add(n, door, action))
        elif isinstance(action, i.SetTimer):
            self.at(action.at, lambda: self.tell_same(n, door, i.Fired(action.token)))
        elif isinstance(action, i.Send):
            tenant = self.waiting[action.request][0]
            tenant.sent.append(self.now)
            ended = i.Finished(action.request, 0, action.backend, i.Outcome.OK, True, WORK, 0, 0, ())
            self.at(self.now + WORK, lambda: self.tell_same(n, door, ended))
        elif isinstance(action, i.Refuse):
            tenant, tried, _ = self.waiting.pop(action.request)
            tenant.refused[action.why.name] += 1
            if tried >= self.tries:
                tenant.given_up += 1
                tenant.given_up_at.append(self.now)
            else:
                self.at(self.now + action.retry_after + 0.002, lambda: self.ask(tenant, tried + 1))

    def add(self, n: int, door: ProxyGateway, count: i.Count) -> None:
        """One order for all calls of a name, as their holder has it."""
        if self.now < self.dark_until:
            return
        self.calls[n] += 1
        self.counted(n, door, count, self.counts)

    def counted(self, n: int, door: ProxyGateway, count: i.Count, counts: LeaseCounts) -> None:
        total = counts.add(count, f"door {n}", self.now)
        told = i.Counted(count.name, i.Outcome.OK, total, ROUND_TRIP, counts.incarnation)
        self.at(self.now + self.way[n], lambda: self.tell_same(n, door, told))


class HeldByDoors(Doors):
    """Each door holds what its own list of doors says that it holds; doors are cut off and come back."""

    def __init__(self, count: int, tenants: list[Tenant], seed: int) -> None:
        ids = [f"d{n}" for n in range(count)]
        self.ids, self.cut_off = ids, dict[int, float]()  # since when
        long_ago = START - 100.0
        self.lists = [CounterHolders(id, long_ago, first_start=True) for id in ids]
        self.came = dict.fromkeys(ids, long_ago)  # the doors that the core hears
        for holders in self.lists:
            holders.update_proxies(self.came, long_ago)
            holders.first_start = False
        self.held = [LeaseCounts(holders, number + 1) for number, holders in enumerate(self.lists)]
        super().__init__(count, tenants, seed)

    def cut(self, n: int) -> None:
        """Nobody hears a door any more, and it hears nobody; both are noticed if it lasts."""
        self.cut_off[n] = self.now
        self.at(self.now + NOTICED, lambda at=self.now: self.lose(n, at))  # type: ignore[misc]

    def lose(self, n: int, cut_at: float) -> None:
        if self.cut_off.get(n) != cut_at:
            return
        self.came.pop(self.ids[n], None)
        self.tell_lists()
        alone = {id: came for id, came in self.came.items() if id != self.ids[n]}
        self.lists[n].update_proxies(alone, self.now)

    def back(self, n: int) -> None:
        """It is heard again: as one that has just come, where it was given up."""
        if self.cut_off.pop(n, None) is None:
            return
        if self.ids[n] in self.came:
            self.hear(n)  # on the connections that it still has
        else:
            self.came[self.ids[n]] = self.now
            self.tell_lists()

    def tell_lists(self) -> None:
        """The core's word reaches each door that it hears, at a time of its own."""
        for n in range(len(self.lists)):
            self.at(self.now + TOLD * self.random.random(), lambda n=n: self.hear(n))  # type: ignore[misc]

    def hear(self, n: int) -> None:
        if n not in self.cut_off:
            self.lists[n].update_proxies(self.came, self.now)

    def add(self, n: int, door: ProxyGateway, count: i.Count) -> None:
        began = self.now - self.way[n]
        name = self.lists[n].find_holder(count.name, count.customer, began - count.since)
        at = self.ids.index(name) if name is not None else n
        self.calls[n] += 1
        if at != n and (n in self.cut_off or at in self.cut_off):
            late = i.Counted(count.name, i.Outcome.TIMEOUT, 0.0, TIMEOUT)
            self.at(began + TIMEOUT, lambda: self.tell_same(n, door, late))
        elif (
            name is None
            or self.lists[at].find_holder(count.name, count.customer, self.now - count.since) != self.ids[at]
        ):
            failed = i.Counted(count.name, i.Outcome.CONNECT_FAILED, 0.0, ROUND_TRIP)
            self.at(self.now + self.way[n], lambda: self.tell_same(n, door, failed))
        else:
            self.counted(n, door, count, self.held[at])
