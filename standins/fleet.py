"""A fleet of up to 800 gateways in simulated time, with a counter, queueing workers, customers and clients.

A gateway is the real decision module; everything around it is modelled.  The load, the workers and the
customers do not depend on the number of gateways, so the results show the cost of the fleet's size alone.
Everything is drawn from one seed.  Each customer's exact token bucket is computed separately, as the
operators define it: a try that is sent to a worker takes a unit if there is one; otherwise the try is
beyond the quota and takes nothing.
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

TARGET_LATENCIES_S = (2.6, 3.25, 1.95)  # of the classes read, submit, publish
DEADLINES_S = (6.5, 7.8, 6.5)
MEAN_WORK_S = (0.2, 0.3, 0.2)  # at a worker
CLASS_SHARES = (0.4, 0.4, 0.2)  # of the requests
EFFECTS = (i.Effect.SAFE, i.Effect.KEYED, i.Effect.UNSAFE)
PLANS = (
    i.Plan("community", 0.6, 3.0, 0, 0.9, 0.5, 0.0, 0.0, 0.0, 0.0),
    i.Plan("standard", 2.5, 11.0, 0, 1.2, 0.5, 0.0, 0.0, 0.0, 0.0),
    i.Plan("council", 9.5, 15.0, 0, 1.8, 0.8, 0.0, 20.0, 33.0, 3.0),
)
CUSTOMER_COUNTS = (560, 184, 39)  # of each plan
MAX_RETRIES = 2  # of a client whose request is refused
IDLE_TIMEOUT_S = 15.0  # of connections to workers
HANDSHAKE_S = 0.004  # of a new connection
NETWORK_DELAY_S = 0.001  # in each direction, to a worker or the counter
BUCKET_TOLERANCE = 1e-9  # units, for rounding errors


def make_settings(gateway_count: int, call_rate: float) -> i.Settings:
    classes = tuple(
        i.RequestClass(
            name, TARGET_LATENCIES_S[n], DEADLINES_S[n], EFFECTS[n], i.Scope.CELL, 8.0, 1.0, 0.0, False
        )
        for n, name in enumerate(("read", "submit", "publish"))
    )
    return i.Settings(
        me=0, peers=gateway_count, zone=0, zones=("a",), period=0.001, classes=classes, plans=PLANS,
        rules=i.Rules(0.005, 2.0, 0.15, 17.0, 2.0, 2.0, 10.0),
        limits=i.Limits(6, False, True, True, False, 2.0, 0.25), has_counter=True, counter_price=0.01,
        counter_timeout=0.08, settles=False, membership_push=True, weight_source="silent",
        report_how="piggyback", report_columns=("latency_ms", "util", "queue"), prices={},
        counter_pace=call_rate,
    )  # fmt: skip


@dataclass(slots=True)
class Customer:
    """A customer, its exact token buckets and its totals."""

    number: int
    plan: int  # index into PLANS
    width: int  # number of gateways that its requests go to
    first_gateway: int
    weights: list[float]  # shares of its gateways
    level: float  # of its exact token bucket
    level_at: float = 0.0
    first_try_level: float = 0.0  # of a bucket for first tries only, over all gateways
    first_try_level_at: float = 0.0
    offered: int = 0  # first tries that found a unit in the bucket for first tries
    served: int = 0  # tries within the quota, answered within the target latency
    sent: int = 0
    beyond_quota: int = 0  # tries that were sent without a unit in the exact bucket
    ceiling_level: float = 0.0  # of the ceiling's token bucket, if its plan has one
    ceiling_level_at: float = 0.0


@dataclass(slots=True)
class ClientTry:
    """A request as its client sent it to a gateway, for the first time or again."""

    customer: Customer
    cls: int
    first_sent_at: float  # of the first try
    retries_left: int
    gateway: int = 0
    sent_at: float = 0.0
    within_quota: bool = False  # took a unit of the exact bucket
    attempts: int = 0
    is_open: bool = True


@dataclass(slots=True)
class Worker:
    """A worker with four cores and a queue; work that it rejects was never begun."""

    cores: int = 4
    max_queued: int = 64
    busy: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass
class FleetResult:
    """The results of a run."""

    offered: int = 0  # first tries that a single gateway would have admitted
    served: int = 0  # within quota and target latency; at most a customer's offered
    sent: int = 0
    beyond_quota: int = 0  # units sent to workers beyond their quota
    tries: int = 0
    calls: Counter[str] = field(default_factory=Counter)  # to the counter, by kind; failed calls too
    refused: Counter[str] = field(default_factory=Counter)  # by reason
    # Refused although the exact bucket held a unit, by reason; although it held half of its burst or more.
    refused_within_quota: Counter[str] = field(default_factory=Counter)
    refused_with_half_bucket: int = 0
    connections: int = 0  # opened to workers, in all
    open_connections: int = 0  # at the end
    cancelled_attempts: int = 0
    min_ceiling_level: float = math.inf  # the lowest level of any ceiling's bucket
    waits: list[float] = field(default_factory=list)  # seconds from a try to its first attempt
    by_plan: dict[str, list[int]] = field(default_factory=dict)  # offered and served tries, by plan name


class FleetSimulation:
    """Gateways, their counter, workers and customers in one queue of events in virtual time.

    `counter_rate`: calls per second that the counter serves, half by each of two shards.  `call_rate`:
    initial calls per second of all gateways together.
    """

    def __init__(
        self, gateway_count: int, seed: int = 1, load_factor: float = 1.0, workers: int = 100,
        counter_rate: float = 1400.0, call_rate: float = 800.0,
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.now, self.event_numbers = 1000.0, itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.settings = make_settings(gateway_count, call_rate)
        self.workers = [Worker() for _ in range(workers)]
        self.entries = tuple(
            i.Entry(self.rng.getrandbits(32), 0, 0.0, i.State.READY, 0, n // 6, 1.0) for n in range(workers)
        )
        self.worker_indexes = {entry.backend: n for n, entry in enumerate(self.entries)}
        self.gateways = [self.start_gateway(index) for index in range(gateway_count)]
        self.restarts = [0] * gateway_count
        # For each gateway, by worker: the times since which its idle connections have been unused.
        self.idle_connections: list[dict[int, list[float]]] = [{} for _ in range(gateway_count)]
        self.tries: dict[int, ClientTry] = {}
        self.backend_of_attempt: dict[tuple[int, int], int] = {}  # attempts in flight
        self.request_ids = itertools.count(1)
        self.totals: dict[int, float] = {}
        self.shard_free_at = [0.0, 0.0]  # when each shard has served its queue
        self.shard_rate = counter_rate / 2
        self.result = FleetResult(by_plan={plan.name: [0, 0] for plan in PLANS})
        self.customers = [
            self.make_customer(p, gateway_count)
            for p, count in enumerate(CUSTOMER_COUNTS)
            for _ in range(count)
        ]
        self.load_factor = load_factor

    def start_gateway(self, index: int) -> Gateway:
        gateway = Gateway(replace(self.settings, me=index), 100 + index)
        gateway.handle(self.now, i.Members(i.Listing.CACHED, 1, self.entries))
        return gateway

    def make_customer(self, plan: int, gateway_count: int) -> Customer:
        max_width = gateway_count
        if PLANS[plan].ceiling_rate:
            max_width = min(gateway_count, int(PLANS[plan].ceiling_burst / 2))
        width = min(max_width, max(2, round(self.rng.uniform(0.5, 1.0) * gateway_count)))
        weights = [1 / (1 + n) ** self.rng.uniform(0.2, 0.7) for n in range(width)]
        self.rng.shuffle(weights)
        number = self.rng.getrandbits(33)
        return Customer(
            number, plan, width, self.rng.randrange(gateway_count), weights, PLANS[plan].burst, self.now, 1e9
        )

    # --- time --------------------------------------------------------------------------------------

    def schedule(self, delay: float, function: Callable[[], None]) -> None:
        """Run a function after a delay in seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.event_numbers), function))

    def run(self, seconds: float) -> FleetResult:
        """Generate load for a time, and run until everything is answered."""
        end = self.now + seconds
        for customer in self.customers:
            self.start_load(customer, end)
        while self.events and self.events[0][0] <= end + max(DEADLINES_S):
            self.now, _, function = heapq.heappop(self.events)
            function()
        if any(t.is_open for t in self.tries.values()):
            raise AssertionError("a request got no answer")
        for customer in self.customers:
            served = min(customer.served, customer.offered)
            self.result.offered += customer.offered
            self.result.served += served
            plan = self.result.by_plan[PLANS[customer.plan].name]
            plan[0], plan[1] = plan[0] + customer.offered, plan[1] + served
            self.result.sent += customer.sent
            self.result.beyond_quota += customer.beyond_quota
        self.result.open_connections = sum(
            len(connections)
            for gateway_connections in self.idle_connections
            for connections in gateway_connections.values()
        )
        return self.result

    def start_load(self, customer: Customer, end: float) -> None:
        """Start a customer's load: part of its quota for most, all or far more for some, spikes for some."""
        kind, rate = self.rng.random(), PLANS[customer.plan].rate
        if kind < 0.09:
            self.schedule_tries(customer, self.load_factor * rate * self.rng.uniform(2.0, 4.8), end)
        elif kind < 0.26:
            self.schedule_tries(customer, self.load_factor * rate, end)
        else:
            self.schedule_tries(customer, self.load_factor * rate * self.rng.uniform(0.17, 0.49), end)
            if kind < 0.42:
                self.schedule_spikes(customer, end)

    def schedule_spikes(self, customer: Customer, end: float) -> None:
        """Schedule short times of requests far beyond the quota, until `end`."""
        spike_begin = self.now + self.rng.uniform(0, 20)
        while spike_begin < end:
            spike_end = min(end, spike_begin + self.rng.uniform(0.7, 4.5))
            rate = PLANS[customer.plan].rate * self.rng.uniform(3.8, 7.4)
            self.schedule(
                spike_begin - self.now,
                lambda r=rate, u=spike_end: self.schedule_tries(customer, r, u),  # type: ignore[misc]
            )
            spike_begin += self.rng.uniform(11, 24)

    def schedule_tries(self, customer: Customer, rate: float, end: float) -> None:
        """Schedule first tries at exponentially distributed intervals until `end`."""

        def send_and_continue() -> None:
            self.send_first_try(customer)
            self.schedule_tries(customer, rate, end)

        delay = self.rng.expovariate(rate)
        if self.now + delay < end:
            self.schedule(delay, send_and_continue)

    # --- customers ---------------------------------------------------------------------------------

    def refill_bucket(self, customer: Customer) -> float:
        """Refill a customer's exact bucket up to now, and return its level."""
        plan = PLANS[customer.plan]
        customer.level = min(plan.burst, customer.level + (self.now - customer.level_at) * plan.rate)
        customer.level_at = self.now
        return customer.level

    def send_first_try(self, customer: Customer) -> None:
        """Send a new request; count it as offered if the bucket for first tries has a unit."""
        cls = self.rng.choices((0, 1, 2), CLASS_SHARES)[0]
        plan = PLANS[customer.plan]
        customer.first_try_level = min(
            plan.burst, customer.first_try_level + (self.now - customer.first_try_level_at) * plan.rate
        )
        customer.first_try_level_at = self.now
        if customer.first_try_level >= 1:
            customer.first_try_level -= 1
            customer.offered += 1
        self.send_try(ClientTry(customer, cls, self.now, MAX_RETRIES), False)

    def send_try(self, client_try: ClientTry, is_retry: bool) -> None:
        """Send a request to one of its customer's gateways."""
        customer, gateway_count = client_try.customer, len(self.gateways)
        request_id = next(self.request_ids)
        client_try.gateway = (
            customer.first_gateway + self.rng.choices(range(customer.width), customer.weights)[0]
        ) % gateway_count
        client_try.sent_at, client_try.attempts = self.now, 0
        self.tries[request_id] = client_try
        self.result.tries += 1
        time_left = DEADLINES_S[client_try.cls] - (self.now - client_try.first_sent_at)
        customer_number, first_gateway, is_write = (
            customer.number,
            customer.first_gateway,
            client_try.cls != 0,
        )
        width, plan = customer.width, customer.plan
        self.handle_event(client_try.gateway, i.Request(
            request_id, client_try.cls, plan, customer_number, time_left, 1.0, width, first_gateway,
            is_retry, is_write,
        ))  # fmt: skip

    def handle_refusal(self, request_id: int, reason: str) -> None:
        """Count a refused try, and let its client retry later if it may."""
        client_try = self.tries.pop(request_id)
        if not client_try.is_open:
            return
        self.result.refused[reason] += 1
        level = self.refill_bucket(client_try.customer)
        if level >= 1 - BUCKET_TOLERANCE:
            self.result.refused_within_quota[reason] += 1
            self.result.refused_with_half_bucket += level >= PLANS[client_try.customer.plan].burst / 2
        if (
            client_try.retries_left
            and self.now < client_try.first_sent_at + 0.8 * DEADLINES_S[client_try.cls]
        ):
            client_try.retries_left -= 1
            self.schedule(self.rng.uniform(0.075, 0.6), lambda: self.send_try(client_try, True))
        else:
            client_try.is_open = False

    # --- gateways ----------------------------------------------------------------------------------

    def handle_event(self, index: int, event: i.Event) -> None:
        for action in self.gateways[index].handle(self.now, event):
            self.perform(index, action)

    def schedule_event(self, index: int, delay: float, event: i.Event) -> None:
        """Deliver an event to a gateway after a delay, unless the gateway is restarted before."""
        restarts = self.restarts[index]
        self.schedule(
            delay, lambda: self.handle_event(index, event) if self.restarts[index] == restarts else None
        )

    def perform(self, index: int, action: i.Action) -> None:
        """Execute an action of a gateway's decision module."""
        match action:
            case i.Count():
                self.call_counter(index, action)
            case i.Send():
                self.send_attempt(index, action)
            case i.Refuse():
                self.handle_refusal(action.request, action.why.value)
            case i.Fail():
                self.handle_refusal(action.request, "failed")
            case i.Cancel():
                self.cancel_attempt(index, action)
            case i.SetTimer():
                self.schedule_event(index, max(0.001, action.at - self.now), i.Fired(action.token))

    def send_attempt(self, index: int, action: i.Send) -> None:
        """Send an attempt to a worker, on an idle connection if there is one."""
        client_try, request_id, attempt = (
            self.tries[action.request],
            action.request,
            self.tries[action.request].attempts,
        )
        if not attempt:
            self.result.waits.append(self.now - client_try.sent_at)
            client_try.customer.sent += 1
            client_try.within_quota = self.refill_bucket(client_try.customer) >= 1 - BUCKET_TOLERANCE
            if client_try.within_quota:
                client_try.customer.level -= 1
            else:
                client_try.customer.beyond_quota += 1
            self.take_ceiling_unit(client_try.customer)
        client_try.attempts += 1
        worker_index = self.worker_indexes[action.backend]
        connections = self.idle_connections[index].setdefault(worker_index, [])
        connections[:] = [since for since in connections if self.now - since < IDLE_TIMEOUT_S]
        delay = NETWORK_DELAY_S
        if connections:
            connections.pop()
        else:
            self.result.connections += 1
            delay += HANDSHAKE_S
        began = self.now
        self.backend_of_attempt[request_id, attempt] = action.backend
        self.schedule(delay, lambda: self.start_work(index, worker_index, request_id, attempt, began))

    def take_ceiling_unit(self, customer: Customer) -> None:
        """Take a unit of the ceiling's bucket for a try that is sent; its level must not fall below zero."""
        plan = PLANS[customer.plan]
        if plan.ceiling_rate:
            filled = customer.ceiling_level + (self.now - customer.ceiling_level_at) * plan.ceiling_rate
            customer.ceiling_level, customer.ceiling_level_at = min(plan.ceiling_burst, filled) - 1, self.now
            self.result.min_ceiling_level = min(self.result.min_ceiling_level, customer.ceiling_level)

    def cancel_attempt(self, index: int, action: i.Cancel) -> None:
        """Cancel an attempt; the worker continues, and the connection is lost."""
        key = action.request, action.attempt
        if (backend := self.backend_of_attempt.pop(key, None)) is not None:
            self.result.cancelled_attempts += 1
            self.schedule_event(
                index, 0.0, i.Finished(*key, backend, i.Outcome.CANCELLED, False, 0.0, 0, 0, ())
            )

    def start_work(self, index: int, worker_index: int, request_id: int, attempt: int, began: float) -> None:
        """Let a worker begin or queue an attempt, or reject it."""
        worker, client_try = self.workers[worker_index], self.tries.get(request_id)
        if client_try is None or (request_id, attempt) not in self.backend_of_attempt:
            return
        if len(worker.queue) >= worker.max_queued:
            self.end_attempt(index, worker_index, request_id, attempt, began, i.Outcome.FULL)
            return
        # As on the operators' site, half of the work is exponentially distributed, half is constant.
        seconds = MEAN_WORK_S[client_try.cls] * (0.5 + 0.5 * self.rng.expovariate(1.0))

        def begin() -> None:
            worker.busy += 1
            self.schedule(seconds, end)

        def end() -> None:
            worker.busy -= 1
            if worker.queue:
                worker.queue.popleft()()
            self.end_attempt(index, worker_index, request_id, attempt, began, i.Outcome.OK)

        if worker.busy < worker.cores:
            begin()
        else:
            worker.queue.append(begin)

    def end_attempt(
        self, index: int, worker_index: int, request_id: int, attempt: int, began: float, outcome: i.Outcome
    ) -> None:
        """Report the end of an attempt to its gateway; count the request as served if it was in time."""
        worker, client_try = self.workers[worker_index], self.tries.get(request_id)
        backend = self.backend_of_attempt.pop((request_id, attempt), None)
        if client_try is None or backend is None:
            return  # cancelled
        self.idle_connections[index].setdefault(worker_index, []).append(self.now)
        closed = outcome is i.Outcome.OK
        if closed and client_try.is_open:
            client_try.is_open = False
            client_try.customer.served += (
                client_try.within_quota
                and self.now - client_try.first_sent_at <= TARGET_LATENCIES_S[client_try.cls]
            )
        elapsed = self.now - began + NETWORK_DELAY_S
        report = (elapsed * 1000, worker.busy / worker.cores, float(len(worker.queue)))
        finished = i.Finished(request_id, attempt, backend, outcome, closed, elapsed, 0, 0, report)
        self.schedule_event(index, NETWORK_DELAY_S, finished)
        if closed:
            del self.tries[request_id]

    # --- the counter -------------------------------------------------------------------------------

    def call_counter(self, index: int, action: i.Count) -> None:
        """Queue a call at its shard of the counter, and schedule the answer or the timeout."""
        self.result.calls["look" if not action.amount else "add" if action.amount > 0 else "take off"] += 1
        shard, timeout = action.name % 2, self.settings.counter_timeout
        begin = max(self.now + NETWORK_DELAY_S, self.shard_free_at[shard])
        if begin - self.now > 1.5 * timeout:
            self.result.calls["full"] += 1
            self.schedule_event(
                index, 2 * NETWORK_DELAY_S, i.Counted(action.name, i.Outcome.FULL, 0.0, 2 * NETWORK_DELAY_S)
            )
            return
        self.shard_free_at[shard] = begin + 1 / self.shard_rate
        elapsed = self.shard_free_at[shard] + NETWORK_DELAY_S - self.now

        def serve() -> None:
            total = self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
            total = float(f"{total:.7g}")  # with the precision of the platform's counter
            if elapsed < timeout:
                self.schedule_event(
                    index, NETWORK_DELAY_S, i.Counted(action.name, i.Outcome.OK, total, elapsed)
                )

        self.schedule(elapsed - NETWORK_DELAY_S, serve)
        if elapsed >= timeout:
            self.result.calls["unanswered"] += 1
            self.schedule_event(index, timeout, i.Counted(action.name, i.Outcome.TIMEOUT, 0.0, timeout))

    # --- faults ------------------------------------------------------------------------------------

    def kill_gateways(self, gateways: list[int]) -> None:
        """Kill gateways with their state and leases, and start others in their place.

        Clients whose connections break send their requests again; the work done for them is lost.
        """
        for index in gateways:
            self.restarts[index] += 1
            self.idle_connections[index] = {}
            self.gateways[index] = self.start_gateway(index)
            for request_id in [n for n, client_try in self.tries.items() if client_try.gateway == index]:
                self.handle_refusal(request_id, "killed")


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, math.floor(fraction * len(values)))] if values else 0.0
