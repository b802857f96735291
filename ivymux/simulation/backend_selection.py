"""Doors of the system before their servers, simulated: which server each takes, and what that costs.

No clock and no socket: a run has the same figures on every machine.  Servers of one service differ in speed,
work on two requests at once and queue a few more; doors know what they have sent themselves and, where it is
shared, what others have met.  Time is in seconds.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ivymux.proxy.failure_reports import indicates_backend_failure
from ivymux.proxy.module_settings import module_settings
from ivymux.registry.outlier_detection import OutlierDetector
from ivymux.simulation.event_queue import START, Clocked
from orchidhill import interface as i
from orchidhill.interface import Outcome
from orchidhill.proxy_gateway import ProxyGateway, ProxyRules

TERMS = ProxyRules(retry_ratio=0.2, quota_window=5.0, quota_excess=0.1, quota_slack=20.0)
HOP = 0.001  # one way between a door and a server
TOLD = 0.035  # from a failure at a door to all doors' knowing, where several met it
SLOTS, QUEUE = 2, 6
FAILS_AFTER = 0.01  # seconds in which a failing server answers
KEPT = 10.0  # seconds that an idle connection is kept
ZONES = 4
AIM = 4.0  # times the mean work


@dataclass(slots=True)
class Kind:
    """A service's requests, one class each; seconds, and requests a second over all doors."""

    work: float
    rate: float
    servers: int
    repeatable: bool = True


@dataclass(slots=True)
class Machine:
    """One server."""

    kind: int
    pace: float
    at_work: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)
    fails_until: float = 0.0


@dataclass(slots=True)
class Asked:
    kind: int
    door: int
    began: float
    out: int = 0  # attempts so far
    server: int = 0


class Floor(Clocked):
    def __init__(self, doors: int, kinds: list[Kind], seed: int, shared: bool = True) -> None:
        super().__init__()
        self.random, self.kinds, self.shared = random.Random(seed), kinds, shared
        self.number = itertools.count(1)
        self.machines = [
            Machine(n, self.random.lognormvariate(0.0, 0.25))
            for n, kind in enumerate(kinds)
            for _ in range(kind.servers)
        ]
        self.weights = [self.random.gammavariate(4.0, 1.0) for _ in range(doors)]
        self.doors = [self.door(n) for n in range(doors)]
        self.outliers = OutlierDetector()
        self.idle: dict[tuple[int, int], list[float]] = {}  # connections, by door and server, since when
        self.open: dict[int, Asked] = {}
        self.took: list[tuple[float, float]] = []  # when it began, its time over the mean work
        self.connections = self.failed = self.again = self.asked = 0
        self.first: dict[int, int] = {}  # servers' requests of the first second
        for n in range(len(kinds)):
            self.next(n)

    def door(self, n: int) -> ProxyGateway:
        made = ProxyGateway(module_settings(), self.random.getrandbits(64), TERMS)
        classes = tuple(
            i.RequestClass(
                f"k{k}", AIM * kind.work, 20 * kind.work,
                i.Effect.SAFE if kind.repeatable else i.Effect.UNSAFE, i.Scope.ALL, 0.0, 1.0, 0.2, False,
            )
            for k, kind in enumerate(self.kinds)
        )  # fmt: skip
        entries = tuple(
            i.Entry(m + 1, (m - n) % ZONES and 1, 0.0, i.State.READY, 0, 0, float(SLOTS), machine.kind)
            for m, machine in enumerate(self.machines)
        )
        plans = (i.Plan("", 0.0, 0.0, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0),)
        for event in (i.Classes(classes), i.Plans(plans), i.Members(i.Listing.DELTA, 1, entries)):
            made.handle(self.now, event)
        return made

    # --- doors ---------------------------------------------------------------------------------------

    def next(self, kind: int) -> None:
        def come() -> None:
            self.asked += 1
            door = self.random.choices(range(len(self.doors)), self.weights)[0]
            number, aim = next(self.number), self.kinds[kind].work
            self.open[number] = Asked(kind, door, self.now)
            write = not self.kinds[kind].repeatable
            self.tell(door, i.Request(number, kind, 0, 0, 20 * aim, 1.0, 1, 0, False, write, kind, 2))
            self.next(kind)

        self.at(self.now + self.random.expovariate(self.kinds[kind].rate), come)

    def tell(self, door: int, event: i.Event) -> None:
        for action in self.doors[door].handle(self.now, event):
            if isinstance(action, i.Send):
                self.send(door, action)
            elif isinstance(action, i.SetTimer):
                fired = i.Fired(action.token)
                self.at(action.at, lambda e=fired: self.tell(door, e))  # type: ignore[misc]
            elif isinstance(action, i.Cancel):
                asked = self.open[action.request]
                self.ended(action.request, asked.out - 1, asked.server, Outcome.CANCELLED)
            elif isinstance(action, i.Refuse | i.Fail):
                del self.open[action.request]
                self.failed += 1

    def send(self, door: int, action: i.Send) -> None:
        asked, server = self.open[action.request], action.backend - 1
        attempt, asked.out, asked.server = asked.out, asked.out + 1, action.backend
        self.again += attempt > 0
        if self.now < START + 1:
            self.first[server] = self.first.get(server, 0) + 1
        idle = self.idle.setdefault((door, server), [])
        while idle and idle[0] < self.now - KEPT:
            idle.pop(0)
        if idle:
            idle.pop()
        else:
            self.connections += 1
        self.at(self.now + HOP, lambda: self.arrive(action.request, attempt, server, door))

    # --- servers ---------------------------------------------------------------------------------------

    def arrive(self, number: int, attempt: int, server: int, door: int) -> None:
        machine = self.machines[server]

        def over(outcome: Outcome) -> None:
            self.idle[door, server].append(self.now)
            self.at(self.now + HOP, lambda: self.ended(number, attempt, server + 1, outcome))

        def begin() -> None:
            machine.at_work += 1
            kind = self.kinds[machine.kind]
            failing = self.now < machine.fails_until
            work = FAILS_AFTER if failing else kind.work * machine.pace * self.random.gammavariate(4.0, 0.25)
            self.at(self.now + work, lambda: done(Outcome.ERROR if failing else Outcome.OK))

        def done(outcome: Outcome) -> None:
            machine.at_work -= 1
            if machine.queue:
                machine.queue.popleft()()
            over(outcome)

        if machine.at_work < SLOTS:
            begin()
        elif len(machine.queue) < QUEUE:
            machine.queue.append(begin)
        else:
            over(Outcome.FULL)

    def ended(self, number: int, attempt: int, backend: int, outcome: Outcome) -> None:
        asked = self.open.get(number)
        if asked is None or attempt != asked.out - 1 or asked.server != backend:
            return  # it was given up before
        if outcome is Outcome.OK:
            del self.open[number]
            self.took.append((asked.began, (self.now - asked.began) / self.kinds[asked.kind].work))
        elif self.shared and indicates_backend_failure(outcome, 500):
            self.doubt(asked.door, backend)
        asked.server = 0
        self.tell(
            asked.door,
            i.Finished(number, attempt, backend, outcome, outcome is Outcome.OK, 0.0, 0, 0, ()),
        )

    def doubt(self, door: int, backend: int) -> None:
        kind = self.machines[backend - 1].kind
        peers = [str(n + 1) for n, machine in enumerate(self.machines) if machine.kind == kind]
        span = self.outliers.report(str(door), str(backend), 1, len(self.doors), peers, self.now)
        if span:
            for n in range(len(self.doors)):
                self.at(self.now + TOLD, lambda n=n: self.tell(n, i.Shun(backend, span)))  # type: ignore[misc]

    # --- what it came to -------------------------------------------------------------------------------

    def late(self, since: float, until: float) -> float:
        """Share of the requests of a span that were not answered inside their aim."""
        inside = [took for began, took in self.took if since <= began - START < until]
        return sum(took > AIM for took in inside) / max(1, len(inside))
