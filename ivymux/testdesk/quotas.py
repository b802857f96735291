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

from ivymux.switchboard.counts import Counts
from ivymux.switchboard.holders import Holders
from ivymux.switchboard.module import module_settings
from ivymux.testdesk.clocked import START, Clocked
from orchidhill import interface as i
from orchidhill.switch import Switch, Terms

TERMS = Terms(retry_ratio=0.2, quota_window=5.0, quota_excess=0.1, quota_slack=20.0)
ROUND_TRIP = 0.004  # of a call to the counter
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

    def allowed(self, terms: Terms = TERMS) -> float:
        whole = self.plan.rate * terms.quota_window + self.plan.burst
        return whole * (1 + terms.quota_excess) + terms.quota_slack


class Doors(Clocked):
    def __init__(self, count: int, tenants: list[Tenant], seed: int, tries: int = 3) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.tenants, self.tries = tenants, tries
        self.counts = Counts(Holders("one", START, first=True), 1)
        self.number = itertools.count(1)
        self.calls: Counter[int] = Counter()
        self.dark_until = START
        self.waiting: dict[int, tuple[Tenant, int, int]] = {}  # whose, which try, at which door
        self.weights = [self.random.gammavariate(4.0, 1.0) for _ in range(count)]
        # A door's calls and their answers keep their order.
        self.way = [ROUND_TRIP / 2 * (0.5 + self.random.random()) for _ in range(count)]
        self.doors: list[Switch] = [self.door(count) for _ in range(count)]
        for tenant in tenants:
            self.next(tenant)

    def door(self, count: int) -> Switch:
        made = Switch(module_settings(), self.random.getrandbits(64), TERMS)
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
        self.counts = Counts(Holders("another", self.now), self.counts.incarnation + 1)

    def lose_all(self, dark: float) -> None:
        """All doors are killed, and serve again after `dark` seconds; what comes meanwhile is given up."""
        self.lose_counts()
        self.waiting.clear()
        self.dark_until = self.now + dark
        self.at(self.dark_until, self.again)

    def again(self) -> None:
        self.doors = [self.door(len(self.doors)) for _ in self.doors]

    def tell(self, n: int, event: i.Event) -> None:
        for action in self.doors[n].handle(self.now, event):
            self.act(n, self.doors[n], action)

    def tell_same(self, n: int, door: Switch, event: i.Event) -> None:
        """What a door asked for, unless it has been killed since."""
        if self.doors[n] is door and self.now >= self.dark_until:
            self.tell(n, event)

    def act(self, n: int, door: Switch, action: i.Action) -> None:
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
            else:
                self.at(self.now + action.retry_after + 0.002, lambda: self.ask(tenant, tried + 1))

    def add(self, n: int, door: Switch, count: i.Count) -> None:
        """One order for all calls of a name, as their holder has it."""
        if self.now < self.dark_until:
            return
        total = self.counts.add(count, f"door {n}", self.now)
        told = i.Counted(count.name, i.Outcome.OK, total, ROUND_TRIP, self.counts.incarnation)
        self.calls[n] += 1
        self.at(self.now + self.way[n], lambda: self.tell_same(n, door, told))
