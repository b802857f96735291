"""Simulates proxies that select backends, and measures the latencies, retries and connections.

It uses no clock and no sockets, so results are the same on every machine.  Backends of a service differ in
speed, work on a few requests at once and queue a few more.  Proxies know the requests that they sent and, if
failures are shared, the backends that were ejected.  Times are in seconds.
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
from ivymux.simulation.event_queue import START_TIME, EventQueue
from orchidhill import interface as i
from orchidhill.interface import Outcome
from orchidhill.proxy_gateway import ProxyGateway, ProxyRules

RULES = ProxyRules(retry_ratio=0.2, quota_window=5.0, quota_excess=0.1, quota_slack=20.0)
HOP_S = 0.001  # one way between a proxy and a backend
EJECTION_DELAY_S = 0.035  # from a failure report to the ejection at all proxies
SLOTS, MAX_QUEUED = 2, 6  # requests that a backend works on at once and that it queues
FAILURE_RESPONSE_S = 0.01  # until a failing backend answers
IDLE_TIMEOUT_S = 10.0  # after which an idle connection is closed
ZONES = 4
TARGET_LATENCY_FACTOR = 4.0  # of the mean work of a request


@dataclass(slots=True)
class ServiceLoad:
    """The requests of a service, which have one class, and its number of backends."""

    work_s: float  # mean of a request
    request_rate: float  # requests a second at all proxies
    backends: int
    is_repeatable: bool = True


@dataclass(slots=True)
class Backend:
    """A simulated backend."""

    service: int
    work_factor: float  # relative to the mean work of the service
    busy_slots: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)
    fails_until: float = 0.0


@dataclass(slots=True)
class OpenRequest:
    """A request without a final answer."""

    service: int
    proxy: int
    started_at: float
    attempts: int = 0
    in_flight: dict[int, int] = field(default_factory=dict)  # backends' numbers by attempt
    is_answered: bool = False


class BackendSelectionSimulation(EventQueue):
    """`proxies` proxies in front of the backends of several services, with a constant load."""

    def __init__(
        self, proxies: int, services: list[ServiceLoad], seed: int, shares_failures: bool = True
    ) -> None:
        super().__init__()
        self.random, self.services, self.shares_failures = random.Random(seed), services, shares_failures
        self.request_ids = itertools.count(1)
        self.backends = [
            Backend(n, self.random.lognormvariate(0.0, 0.25))
            for n, service in enumerate(services)
            for _ in range(service.backends)
        ]
        self.weights = [self.random.gammavariate(4.0, 1.0) for _ in range(proxies)]
        self.proxies = [self.create_proxy(n) for n in range(proxies)]
        self.outliers = OutlierDetector()
        # Times since which connections are idle, by proxy and backend.
        self.idle_connections: dict[tuple[int, int], list[float]] = {}
        self.open_requests: dict[int, OpenRequest] = {}
        self.latencies: list[tuple[float, float]] = []  # start, and duration relative to the mean work
        self.opened_connections = self.failed = self.retries = self.requested = 0
        self.first_second_requests: dict[int, int] = {}  # by backend
        for n in range(len(services)):
            self.schedule_next_request(n)

    def create_proxy(self, n: int) -> ProxyGateway:
        """Create the decision module of proxy `n`, which has every ZONES-th backend in its zone."""
        proxy = ProxyGateway(module_settings(), self.random.getrandbits(64), RULES)
        classes = tuple(
            i.RequestClass(
                f"k{k}", TARGET_LATENCY_FACTOR * service.work_s, 20 * service.work_s,
                i.Effect.SAFE if service.is_repeatable else i.Effect.UNSAFE, i.Scope.ALL, 0.0, 1.0, 0.2,
                False,
            )
            for k, service in enumerate(self.services)
        )  # fmt: skip
        entries = tuple(
            i.Entry(m + 1, (m - n) % ZONES and 1, 0.0, i.State.READY, 0, 0, float(SLOTS), backend.service)
            for m, backend in enumerate(self.backends)
        )
        plans = (i.Plan("", 0.0, 0.0, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0),)
        for event in (i.Classes(classes), i.Plans(plans), i.Members(i.Listing.DELTA, 1, entries)):
            proxy.handle(self.now, event)
        return proxy

    # --- proxies -------------------------------------------------------------------------------------

    def schedule_next_request(self, service: int) -> None:
        """Schedule the next request of a service, at an exponentially distributed interval."""

        def on_arrival() -> None:
            self.requested += 1
            proxy = self.random.choices(range(len(self.proxies)), self.weights)[0]
            number, work_s = next(self.request_ids), self.services[service].work_s
            self.open_requests[number] = OpenRequest(service, proxy, self.now)
            is_write = not self.services[service].is_repeatable
            self.dispatch(
                proxy, i.Request(number, service, 0, 0, 20 * work_s, 1.0, 1, 0, False, is_write, service, 2)
            )
            self.schedule_next_request(service)

        self.schedule_at(self.now + self.random.expovariate(self.services[service].request_rate), on_arrival)

    def dispatch(self, proxy: int, event: i.Event) -> None:
        """Let a proxy handle an event, and execute its actions."""
        for action in self.proxies[proxy].handle(self.now, event):
            if isinstance(action, i.Send):
                self.send(proxy, action)
            elif isinstance(action, i.SetTimer):
                fired = i.Fired(action.token)
                self.schedule_at(action.at, lambda e=fired: self.dispatch(proxy, e))  # type: ignore[misc]
            elif isinstance(action, i.Cancel):
                backend = self.open_requests[action.request].in_flight[action.attempt]
                self.on_attempt_end(action.request, action.attempt, backend, Outcome.CANCELLED)
            elif isinstance(action, i.Refuse | i.Fail):
                del self.open_requests[action.request]
                self.failed += 1

    def send(self, proxy: int, action: i.Send) -> None:
        """Send an attempt to a backend, on an idle connection if there is one."""
        request, backend_index = self.open_requests[action.request], action.backend - 1
        if self.shares_failures:
            for slow_backend in request.in_flight.values():
                self.report_failure(proxy, slow_backend)
        attempt, request.attempts = request.attempts, request.attempts + 1
        request.in_flight[attempt] = action.backend
        self.retries += attempt > 0
        if self.now < START_TIME + 1:
            self.first_second_requests[backend_index] = self.first_second_requests.get(backend_index, 0) + 1
        idle = self.idle_connections.setdefault((proxy, backend_index), [])
        while idle and idle[0] < self.now - IDLE_TIMEOUT_S:
            idle.pop(0)
        if idle:
            idle.pop()
        else:
            self.opened_connections += 1
        self.schedule_at(
            self.now + HOP_S,
            lambda: self.on_request_arrival(action.request, attempt, backend_index, proxy),
        )

    # --- backends --------------------------------------------------------------------------------------

    def on_request_arrival(self, number: int, attempt: int, backend_index: int, proxy: int) -> None:
        """Let a backend work on an attempt at once or from its queue, or reject it if the queue is full."""
        backend = self.backends[backend_index]

        def answer(outcome: Outcome) -> None:
            self.idle_connections[proxy, backend_index].append(self.now)
            self.schedule_at(
                self.now + HOP_S, lambda: self.on_attempt_end(number, attempt, backend_index + 1, outcome)
            )

        def start_work() -> None:
            backend.busy_slots += 1
            service = self.services[backend.service]
            is_failing = self.now < backend.fails_until
            work_s = FAILURE_RESPONSE_S
            if not is_failing:
                work_s = service.work_s * backend.work_factor * self.random.gammavariate(4.0, 0.25)
            outcome = Outcome.ERROR if is_failing else Outcome.OK
            self.schedule_at(self.now + work_s, lambda: finish_work(outcome))

        def finish_work(outcome: Outcome) -> None:
            backend.busy_slots -= 1
            if backend.queue:
                backend.queue.popleft()()
            answer(outcome)

        if backend.busy_slots < SLOTS:
            start_work()
        elif len(backend.queue) < MAX_QUEUED:
            backend.queue.append(start_work)
        else:
            answer(Outcome.FULL)

    def on_attempt_end(self, number: int, attempt: int, backend: int, outcome: Outcome) -> None:
        """End an attempt of a request and pass its outcome to the proxy."""
        request = self.open_requests.get(number)
        if request is None or request.in_flight.pop(attempt, None) is None:
            return  # the attempt was cancelled before
        if outcome is Outcome.OK and not request.is_answered:
            request.is_answered = True
            duration_s = self.now - request.started_at
            self.latencies.append((request.started_at, duration_s / self.services[request.service].work_s))
        elif self.shares_failures and not request.is_answered and indicates_backend_failure(outcome, 500):
            self.report_failure(request.proxy, backend)
        if request.is_answered and not request.in_flight:
            del self.open_requests[number]
        closed = request.is_answered
        self.dispatch(request.proxy, i.Finished(number, attempt, backend, outcome, closed, 0.0, 0, 0, ()))

    def report_failure(self, proxy: int, backend: int) -> None:
        """Report a failure to the outlier detector; an ejection reaches all proxies after a delay."""
        service = self.backends[backend - 1].service
        peers = [str(n + 1) for n, peer in enumerate(self.backends) if peer.service == service]
        ejection_s = self.outliers.report(str(proxy), str(backend), 1, len(self.proxies), peers, self.now)
        if ejection_s:
            event = i.Shun(backend, ejection_s)
            for n in range(len(self.proxies)):
                self.schedule_at(self.now + EJECTION_DELAY_S, lambda n=n: self.dispatch(n, event))  # type: ignore[misc]

    # --- results -------------------------------------------------------------------------------

    def late_share(self, since: float, until: float) -> float:
        """Return the share of answers later than the target latency, of requests started between two times.

        The times are in seconds since the start.
        """
        latencies = [latency for started, latency in self.latencies if since <= started - START_TIME < until]
        return sum(latency > TARGET_LATENCY_FACTOR for latency in latencies) / max(1, len(latencies))
