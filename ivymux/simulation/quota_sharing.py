"""Simulates proxies that share tenants' quotas: decision modules, the distributed counter and tenants.

It uses no clock and no sockets, so results are the same on every machine.  Times are in seconds, load in
requests.  The measure is that of the quota rule: the most requests sent to backends within any period as long
as the quota window.
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
from ivymux.simulation.event_queue import START_TIME, EventQueue
from orchidhill import interface as i
from orchidhill.proxy_gateway import ProxyGateway, ProxyRules

RULES = ProxyRules(retry_ratio=0.2, quota_window=5.0, quota_excess=0.1, quota_slack=20.0)
COUNTER_ROUND_TRIP_S = 0.004  # of a call to the counter
PARTITION_DETECTION_S = 1.0  # after which a partitioned proxy is removed from the members
MAX_MEMBER_UPDATE_DELAY_S = 0.3  # from a change of the members until all proxies have it
MAX_CONFIGURATION_DELAY_S = 0.02  # from a change of the configuration until all proxies have it
COUNTER_TIMEOUT_S = 0.25  # of a call without an answer
BACKEND_WORK_S = 0.1  # of a request at its backend
CLASSES = tuple(
    i.RequestClass(name, 0.3, 1.2, effect, i.Scope.ALL, 0.0, 1.0, 0.1, False)
    for name, effect in (("read", i.Effect.SAFE), ("sign", i.Effect.UNSAFE))
)
UNLIMITED_PLAN = i.Plan("", 0.0, 0.0, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0)


def quota_plan(name: str, rate: float, burst: float) -> i.Plan:
    """Create a plan with a quota of `rate` requests a second and a bucket of `burst` requests."""
    return i.Plan(name, rate, burst, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class Tenant:
    """A tenant, its quota, its load over time and the outcome of its requests."""

    plan: i.Plan
    request_rate: Callable[[float], float]  # requests a second, by seconds since the start
    sent_at: list[float] = field(default_factory=list)  # times at which requests were sent to backends
    requested: int = 0
    failed: int = 0  # requests whose last attempt was refused
    failed_at: list[float] = field(default_factory=list)
    requested_at: list[float] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)  # attempts, by cause

    def max_sent_within(self, span_s: float) -> int:
        """Return the most requests sent to backends within any span of `span_s` seconds."""
        inside: deque[float] = deque()
        max_sent = 0
        for at in self.sent_at:
            inside.append(at)
            while inside[0] <= at - span_s:
                inside.popleft()
            max_sent = max(max_sent, len(inside))
        return max_sent

    def failed_share(self, start: float, end: float) -> float:
        """Return the share of failed requests between two times, in seconds since the start."""
        requested, failed = (
            sum(START_TIME + start <= at < START_TIME + end for at in times)
            for times in (self.requested_at, self.failed_at)
        )
        return failed / max(1, requested)

    def allowed_within_window(self, rules: ProxyRules = RULES) -> float:
        """Return the most requests that the quota rule allows within a quota window."""
        quota = self.plan.rate * rules.quota_window + self.plan.burst
        return quota * (1 + rules.quota_excess) + rules.quota_slack


def single_holder(id: str, now: float, age: float = 100.0, first: bool = False) -> CounterHolders:
    """Create the holders of a single proxy, which joined `age` seconds ago and holds all counts."""
    holders = CounterHolders(id, now, first)
    holders.update_proxies({id: now - age}, now)
    return holders


class QuotaSimulation(EventQueue):
    """Proxies that share quotas over one holder of all counts."""

    def __init__(self, proxy_count: int, tenants: list[Tenant], seed: int, max_attempts: int = 3) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.tenants, self.max_attempts = tenants, max_attempts
        self.counts = LeaseCounts(single_holder("one", START_TIME, first=True), 1)
        self.request_ids = itertools.count(1)
        self.counter_calls: Counter[int] = Counter()
        self.down_until = START_TIME
        self.open_requests: dict[int, tuple[Tenant, int, int]] = {}  # tenant, attempt, proxy; by request id
        self.weights = [self.random.gammavariate(4.0, 1.0) for _ in range(proxy_count)]
        # One delay for each proxy, so that its calls and their answers keep their order.
        self.link_delay_s = [
            COUNTER_ROUND_TRIP_S / 2 * (0.5 + self.random.random()) for _ in range(proxy_count)
        ]
        self.proxies: list[ProxyGateway] = [self.create_proxy(proxy_count) for _ in range(proxy_count)]
        for tenant in tenants:
            self.schedule_next_request(tenant)

    def create_proxy(self, proxy_count: int) -> ProxyGateway:
        """Create the decision module of one of `proxy_count` proxies, with all plans and two backends."""
        proxy = ProxyGateway(module_settings(), self.random.getrandbits(64), RULES)
        backends = tuple(i.Entry(n, 0, 0.0, i.State.READY, 0, 0, 1e6, 0) for n in (1, 2))
        plans = (UNLIMITED_PLAN, *(t.plan for t in self.tenants))
        for event in (
            i.Classes(CLASSES), i.Plans(plans), i.Doors(proxy_count), i.Members(i.Listing.DELTA, 1, backends)
        ):  # fmt: skip
            proxy.handle(self.now, event)
        return proxy

    # --- requests -----------------------------------------------------------------------------------

    def schedule_next_request(self, tenant: Tenant) -> None:
        """Schedule a tenant's next request, at an exponentially distributed interval."""
        rate = tenant.request_rate(self.now - START_TIME)

        def on_arrival() -> None:
            if rate > 0:
                tenant.requested += 1
                tenant.requested_at.append(self.now)
                self.send_request(tenant, 1)
            self.schedule_next_request(tenant)

        self.schedule_at(self.now + (self.random.expovariate(rate) if rate > 0 else 0.05), on_arrival)

    def send_request(self, tenant: Tenant, attempt: int) -> None:
        """Send an attempt of a request to a random proxy; it is lost while all proxies are down."""
        if self.now < self.down_until:
            return
        proxy_index = self.random.choices(range(len(self.proxies)), self.weights)[0]
        number, index = next(self.request_ids), self.tenants.index(tenant) + 1
        self.open_requests[number] = tenant, attempt, proxy_index
        request = i.Request(
            number, 0, index, index, 1.2 - 0.2 * (attempt - 1), 1.0, len(self.proxies), 0, False, False, 0, 1
        )
        self.dispatch(proxy_index, request)

    def change_quota(self, tenant: Tenant, plan: i.Plan) -> None:
        """Change a tenant's quota; the new configuration reaches each proxy with its own delay."""
        tenant.plan = plan
        plans = (UNLIMITED_PLAN, *(t.plan for t in self.tenants))
        for n in range(len(self.proxies)):
            at = self.now + MAX_CONFIGURATION_DELAY_S * self.random.random()
            self.schedule_at(at, lambda n=n: self.dispatch(n, i.Plans(plans)))  # type: ignore[misc]

    # --- faults --------------------------------------------------------------------------------------------

    def lose_counts(self) -> None:
        """Replace the holder of the counts by another proxy, which has none of them."""
        self.replace_counts(100.0)

    def replace_counts(self, age: float) -> None:
        """Start with empty counts at a holder that joined `age` seconds ago."""
        self.counts = LeaseCounts(single_holder("another", self.now, age), self.counts.incarnation + 1)

    def restart_all_proxies(self, downtime_s: float) -> None:
        """Kill all proxies and start them after `downtime_s` seconds; requests meanwhile are lost."""
        self.replace_counts(0.0)
        self.open_requests.clear()
        self.down_until = self.now + downtime_s
        self.schedule_at(self.down_until, self.start_all_proxies)

    def start_all_proxies(self) -> None:
        """Replace all proxies by new ones."""
        self.proxies = [self.create_proxy(len(self.proxies)) for _ in self.proxies]

    # --- decision modules ---------------------------------------------------------------------------------

    def dispatch(self, n: int, event: i.Event) -> None:
        """Let a proxy handle an event, and execute its actions."""
        for action in self.proxies[n].handle(self.now, event):
            self.execute(n, self.proxies[n], action)

    def dispatch_if_running(self, n: int, proxy: ProxyGateway, event: i.Event) -> None:
        """Deliver a result that a proxy waits for, unless it was killed meanwhile."""
        if self.proxies[n] is proxy and self.now >= self.down_until:
            self.dispatch(n, event)

    def execute(self, n: int, proxy: ProxyGateway, action: i.Action) -> None:
        """Execute an action of proxy `n`; a refused request is repeated up to `max_attempts` times."""
        if isinstance(action, i.Count):
            self.schedule_at(self.now + self.link_delay_s[n], lambda: self.count(n, proxy, action))
        elif isinstance(action, i.SetTimer):
            self.schedule_at(action.at, lambda: self.dispatch_if_running(n, proxy, i.Fired(action.token)))
        elif isinstance(action, i.Send):
            tenant = self.open_requests[action.request][0]
            tenant.sent_at.append(self.now)
            finished = i.Finished(
                action.request, 0, action.backend, i.Outcome.OK, True, BACKEND_WORK_S, 0, 0, ()
            )
            self.schedule_at(self.now + BACKEND_WORK_S, lambda: self.dispatch_if_running(n, proxy, finished))
        elif isinstance(action, i.Refuse):
            tenant, attempt, _ = self.open_requests.pop(action.request)
            tenant.refused[action.why.name] += 1
            if attempt >= self.max_attempts:
                tenant.failed += 1
                tenant.failed_at.append(self.now)
            else:
                self.schedule_at(
                    self.now + action.retry_after + 0.002, lambda: self.send_request(tenant, attempt + 1)
                )

    def count(self, n: int, proxy: ProxyGateway, count: i.Count) -> None:
        """Execute a call to the counter; its holder executes all calls for a total in one order."""
        if self.now < self.down_until:
            return
        self.counter_calls[n] += 1
        self.answer_count(n, proxy, count, self.counts)

    def answer_count(self, n: int, proxy: ProxyGateway, count: i.Count, counts: LeaseCounts) -> None:
        """Add a call to the counts and send the total to the proxy."""
        total = counts.add(count, f"door {n}", self.now)
        answer = i.Counted(count.name, i.Outcome.OK, total, COUNTER_ROUND_TRIP_S, counts.incarnation)
        self.schedule_at(self.now + self.link_delay_s[n], lambda: self.dispatch_if_running(n, proxy, answer))


class DistributedQuotaSimulation(QuotaSimulation):
    """Proxies that hold the counts themselves, each by its own list of members; they may be partitioned."""

    def __init__(self, proxy_count: int, tenants: list[Tenant], seed: int) -> None:
        ids = [f"d{n}" for n in range(proxy_count)]
        self.ids, self.partitioned_at = ids, dict[int, float]()  # by proxy
        long_ago = START_TIME - 100.0
        self.member_lists = [CounterHolders(id, long_ago, first_start=True) for id in ids]
        self.joined_at = dict.fromkeys(ids, long_ago)  # the members, as the core knows them
        for holders in self.member_lists:
            holders.update_proxies(self.joined_at, long_ago)
            holders.first_start = False
        self.counts_by_proxy = [
            LeaseCounts(holders, number + 1) for number, holders in enumerate(self.member_lists)
        ]
        super().__init__(proxy_count, tenants, seed)

    def partition(self, n: int) -> None:
        """Cut the connections of a proxy; the members change if this lasts."""
        self.partitioned_at[n] = self.now
        self.schedule_at(self.now + PARTITION_DETECTION_S, lambda at=self.now: self.detect_partition(n, at))  # type: ignore[misc]

    def detect_partition(self, n: int, partitioned_at: float) -> None:
        """Remove a proxy from the members, if it has been partitioned since `partitioned_at`."""
        if self.partitioned_at.get(n) != partitioned_at:
            return
        self.joined_at.pop(self.ids[n], None)
        self.publish_members()
        others = {id: joined_at for id, joined_at in self.joined_at.items() if id != self.ids[n]}
        self.member_lists[n].update_proxies(others, self.now)

    def reconnect(self, n: int) -> None:
        """End a partition; a proxy that was removed from the members joins anew."""
        if self.partitioned_at.pop(n, None) is None:
            return
        if self.ids[n] in self.joined_at:
            self.update_member_list(n)  # its connections are still open
        else:
            self.joined_at[self.ids[n]] = self.now
            self.publish_members()

    def publish_members(self) -> None:
        """Send the members to all proxies, with a random delay for each."""
        for n in range(len(self.member_lists)):
            at = self.now + MAX_MEMBER_UPDATE_DELAY_S * self.random.random()
            self.schedule_at(at, lambda n=n: self.update_member_list(n))  # type: ignore[misc]

    def update_member_list(self, n: int) -> None:
        """Update the member list of a proxy, unless it is partitioned."""
        if n not in self.partitioned_at:
            self.member_lists[n].update_proxies(self.joined_at, self.now)

    def count(self, n: int, proxy: ProxyGateway, count: i.Count) -> None:
        """Execute a call to the counter at the holder by the caller's list, if the holder's list agrees."""
        began = self.now - self.link_delay_s[n]
        holder_id = self.member_lists[n].find_holder(count.name, count.customer, began - count.since)
        holder = self.ids.index(holder_id) if holder_id is not None else n
        self.counter_calls[n] += 1
        if holder != n and (n in self.partitioned_at or holder in self.partitioned_at):
            timeout = i.Counted(count.name, i.Outcome.TIMEOUT, 0.0, COUNTER_TIMEOUT_S)
            self.schedule_at(began + COUNTER_TIMEOUT_S, lambda: self.dispatch_if_running(n, proxy, timeout))
        elif (
            holder_id is None
            or self.member_lists[holder].find_holder(count.name, count.customer, self.now - count.since)
            != holder_id
        ):
            failed = i.Counted(count.name, i.Outcome.CONNECT_FAILED, 0.0, COUNTER_ROUND_TRIP_S)
            self.schedule_at(
                self.now + self.link_delay_s[n], lambda: self.dispatch_if_running(n, proxy, failed)
            )
        else:
            self.answer_count(n, proxy, count, self.counts_by_proxy[holder])
