"""Gateways' decision modules, counters and faults in simulated time: no sockets, no clock, fixed event order.

A simulated counter is a table of totals with an incarnation; each decision module has a link to one of them
and its own clock.  Admitted requests are recorded with their time, so that they can be checked against any
token bucket afterwards.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial

from orchidhill import interface as i
from orchidhill.gateway import Gateway

CALL_TIMEOUT_S = 0.05  # of a call to the counter
ANSWER_DELAY_S = 0.002  # of the counter
WORK_S = 0.02  # of a request at a worker


WORKERS = tuple(i.Entry(n, 0, 0.0, i.State.READY, 0, n % 2, 1.0) for n in range(1, 7))
REQUEST_CLASS = i.RequestClass("read", 2.0, 4.0, i.Effect.SAFE, i.Scope.ALL, 0.0, 1.0, 0.0, False)
RULES = i.Rules(0.008, 1.0, 0.2, 10.0, 2.0, 2.0, 0.0)
LIMITS = i.Limits(4, False, True, False, True, 1.0, 0.25)


def make_plan(rate: float, burst: float, ceiling: float = 0.0) -> i.Plan:
    """Return a plan with a quota of `rate` units a second.

    `ceiling`: the ceiling as a multiple of the quota; 0: no ceiling.
    """
    return i.Plan("p", rate, burst, 0, 1.0, 1.0, 0.0, ceiling * rate, ceiling * burst, 0.1)


def make_settings(gateway_count: int, plans: tuple[i.Plan, ...]) -> i.Settings:
    return i.Settings(
        me=0, peers=gateway_count, zone=0, zones=(), period=0.002, classes=(REQUEST_CLASS,), plans=plans,
        rules=RULES, limits=LIMITS, has_counter=True, counter_price=0.01, counter_timeout=CALL_TIMEOUT_S,
        settles=False, membership_push=True, weight_source="silent", report_how="silent", report_columns=(),
        prices={},
    )  # fmt: skip


class SimulatedCounter:
    """A counter's totals; a repeated call counts once."""

    def __init__(self, incarnation: int, totals: dict[int, float] | None = None) -> None:
        self.incarnation = incarnation
        self.totals = dict(totals or {})
        # Calls that may be repeated: name, gateway, the gateway's restarts, call number.
        self.counted_calls: set[tuple[int, int, int, int]] = set()

    def add(self, name: int, amount: float, call_id: tuple[int, int, int] = (0, 0, 0)) -> float:
        if call_id[2]:
            if (name, *call_id) in self.counted_calls:
                return self.totals[name]
            self.counted_calls.add((name, *call_id))
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return self.totals[name]


@dataclass
class CounterLink:
    """A decision module's link to its counter.

    `fault` is ok, refused, silent, late (calls are added, after the timeout) or lost (calls are added, but
    not answered).
    """

    counter: SimulatedCounter
    fault: str = "ok"
    shard: int | None = None  # half of the names that the fault affects; None: all names


@dataclass(slots=True)
class AdmittedRequest:
    """A request that was admitted."""

    at: float
    customer: int
    gateway: int
    units: float


class GatewaySimulation:
    """The decision modules of some gateways, their counters, and customers' requests, in virtual time."""

    def __init__(
        self,
        gateway_count: int,
        *plans: i.Plan,
        seed: int = 1,
        sends_incarnation: bool = True,
        call_rate: float = 800.0,
    ) -> None:
        """`sends_incarnation`: whether counters send their incarnation with each total.

        Customer n has plan n modulo the number of plans.  `call_rate`: initial calls a second to the counter.
        """
        self.settings = replace(make_settings(gateway_count, plans), counter_pace=call_rate)
        self.sends_incarnation, self.plan_count = sends_incarnation, len(plans)
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.incarnations = itertools.count(1)
        self.counter = SimulatedCounter(next(self.incarnations))
        self.links = [CounterLink(self.counter) for _ in range(gateway_count)]
        self.clock_skew = [0.0] * gateway_count
        self.gateways = [self.start_gateway(n) for n in range(gateway_count)]
        self.restarts = [0] * gateway_count
        self.pending: dict[int, tuple[int, int, float]] = {}  # by request: gateway, customer, units
        self.admitted: list[AdmittedRequest] = []
        self.refused: list[tuple[float, int, int]] = []  # time, customer, gateway
        self.request_counts: dict[int, int] = {}
        self.request_ids = itertools.count(1)
        self.calls = 0
        self.logs: list[str] = []
        self.begun_units: dict[int, float] = {}  # units of work that workers have begun, by customer

    def start_gateway(self, index: int) -> Gateway:
        gateway = Gateway(replace(self.settings, me=index), 100 + index)
        gateway.handle(self.now + self.clock_skew[index], i.Members(i.Listing.CACHED, 1, WORKERS))
        return gateway

    # --- time --------------------------------------------------------------------------------------

    def schedule(self, delay: float, function: Callable[[], None]) -> None:
        """Run a function after a delay in seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.event_numbers), function))

    def run_until(self, end: float) -> None:
        """Run all events up to the absolute time `end`."""
        while self.events and self.events[0][0] <= end:
            self.now, _, function = heapq.heappop(self.events)
            function()
        self.now = end

    # --- events ------------------------------------------------------------------------------------

    def handle_event(self, index: int, event: i.Event) -> None:
        gateway = self.gateways[index]
        for action in gateway.handle(self.now + self.clock_skew[index], event):
            self.perform(index, action)

    def perform(self, index: int, action: i.Action) -> None:
        """Execute an action of a gateway's decision module."""
        restarts = self.restarts[index]

        def schedule_event(delay: float, event: i.Event) -> None:
            self.schedule(
                delay, lambda: self.handle_event(index, event) if self.restarts[index] == restarts else None
            )

        match action:
            case i.Count():
                self.call_counter(index, action, schedule_event)
            case i.Send():
                if (request := self.pending.pop(action.request, None)) is not None:
                    self.admitted.append(AdmittedRequest(self.now, request[1], index, request[2]))
                    self.begun_units[request[1]] = self.begun_units.get(request[1], 0.0) + request[2]
                finished = i.Finished(action.request, 0, action.backend, i.Outcome.OK, True, WORK_S, 0, 0, ())
                schedule_event(WORK_S, finished)
            case i.Refuse() | i.Fail():
                if (request := self.pending.pop(action.request, None)) is not None:
                    self.refused.append((self.now, request[1], index))
            case i.SetTimer():
                schedule_event(
                    max(0.001, action.at - self.now - self.clock_skew[index]), i.Fired(action.token)
                )
            case i.Log():
                self.logs.append(action.text)

    def call_counter(
        self, index: int, count: i.Count, schedule_event: Callable[[float, i.Event], None]
    ) -> None:
        """Execute a call to the counter with the fault of the gateway's link."""
        self.calls += 1
        link = self.links[index]
        fault = link.fault if link.shard is None or link.shard == count.name % 2 else "ok"
        counter, name = link.counter, count.name
        call_id = index, self.restarts[index], count.call
        if fault == "refused":
            schedule_event(0.001, i.Counted(name, i.Outcome.CONNECT_FAILED, 0.0, 0.001))
            return
        if fault == "ok":
            incarnation = counter.incarnation if self.sends_incarnation else 0
            schedule_event(
                ANSWER_DELAY_S,
                i.Counted(
                    name, i.Outcome.OK, counter.add(name, count.amount, call_id), ANSWER_DELAY_S, incarnation
                ),
            )
            return
        if fault != "silent":
            add = partial(self.add_to_counter, counter, name, count.amount, call_id)
            self.schedule(CALL_TIMEOUT_S * 1.5 if fault == "late" else ANSWER_DELAY_S, add)
        schedule_event(CALL_TIMEOUT_S, i.Counted(name, i.Outcome.TIMEOUT, 0.0, CALL_TIMEOUT_S))
        if fault == "late":
            schedule_event(CALL_TIMEOUT_S * 1.5, i.Late(name))

    def add_to_counter(
        self, counter: SimulatedCounter, name: int, amount: float, call_id: tuple[int, int, int]
    ) -> None:
        counter.add(name, amount, call_id)

    def send_request(self, index: int, customer: int, units: float = 1.0) -> None:
        """Send a customer's request to a gateway."""
        number = next(self.request_ids)
        self.pending[number] = index, customer, units
        self.request_counts[customer] = self.request_counts.get(customer, 0) + 1
        width = len(self.gateways)
        request = i.Request(
            number, 0, customer % self.plan_count, customer, 2.0, units, width, 0, False, False
        )
        self.handle_event(index, request)

    def generate_load(
        self, customer: int, rate: float, gateways: Iterable[int], begin: float, end: float
    ) -> None:
        """Send requests at random times, with this total rate per second over the gateways, until `end`."""
        at, indexes, rng = begin, list(gateways), random.Random(f"{customer}-{begin}-{rate}")
        while (at := at + rng.expovariate(rate)) < end:
            index = rng.choice(indexes)
            heapq.heappush(
                self.events,
                (at, next(self.event_numbers), lambda d=index: self.send_request(d, customer)),  # type: ignore[misc]
            )

    # --- faults ------------------------------------------------------------------------------------

    def set_fault(self, gateways: Iterable[int], fault: str, shard: int | None = None) -> None:
        """Set the fault of the links of these gateways (see CounterLink)."""
        for index in gateways:
            self.links[index].fault, self.links[index].shard = fault, shard

    def replace_counter(
        self, totals: dict[int, float] | None = None, gateways: Iterable[int] | None = None
    ) -> SimulatedCounter:
        """Replace the counter of these gateways by one that is empty or has a copy of totals."""
        counter = SimulatedCounter(next(self.incarnations), totals)
        for index in range(len(self.gateways)) if gateways is None else gateways:
            self.links[index].counter = counter
        return counter

    def copy_totals(self) -> dict[int, float]:
        return dict(self.links[0].counter.totals)

    def restart(self, index: int) -> None:
        """Kill a gateway and start another one without state in its place."""
        self.restarts[index] += 1
        for number in [n for n, (d, _, _) in self.pending.items() if d == index]:
            del self.pending[number]
        self.gateways[index] = self.start_gateway(index)

    # --- results -----------------------------------------------------------------------------------

    def overshoot(self, customer: int, rate: float, burst: float) -> float:
        """Return the most units that were admitted beyond a token bucket that was full at first."""
        level, at, worst = burst, 0.0, 0.0
        for request in self.admitted:
            if request.customer == customer:
                level = (
                    min(burst, level + (request.at - at) * rate) - request.units
                    if at
                    else burst - request.units
                )
                at = request.at
                worst = max(worst, -level)
        return worst

    def served_share(self, customer: int, begin: float = 0.0, end: float = 1e18) -> float:
        """Return the share of a customer's requests in a period that were admitted."""
        served = sum(begin <= request.at < end for request in self.admitted if request.customer == customer)
        refused = sum(
            begin <= at < end for at, refused_customer, _ in self.refused if refused_customer == customer
        )
        return served / max(1, served + refused)
