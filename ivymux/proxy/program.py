"""The proxy's process: one door of the system, its parts wired together."""

from __future__ import annotations

import asyncio
import math
import secrets
import socket
import time
from collections import deque
from typing import TYPE_CHECKING, cast

from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds, ConfigError, parse_address
from ivymux.data_plane.server import Server
from ivymux.data_plane.upstream import Upstream
from ivymux.fault_injection import TRIALS
from ivymux.idempotency import CONVERSATIONS
from ivymux.proxy.answer_policy import proxy_answer_policy
from ivymux.proxy.core_connection import CoreConnection
from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.distributed_counter import DistributedCounter
from ivymux.proxy.failure_reports import FailureReporter, WatchedHost
from ivymux.proxy.frontend import ProxyFrontend
from ivymux.proxy.lease_counts import LeaseCounts
from ivymux.proxy.membership_view import (
    LOST,
    OFF,
    UP,
    Backend,
    MembershipError,
    MembershipView,
    ProxyLocation,
)
from ivymux.proxy.metrics import collect_metrics, format_metrics
from ivymux.proxy.module_settings import CONNECT_TIMEOUT, COUNTER_TIMEOUT, module_settings
from ivymux.proxy.name_tables import NameTables
from ivymux.proxy.status_pages import METRICS, READINESS, StatusPagesFrontend
from ivymux.routing_config.route_plan import RoutingConfigError, parse_route_plan
from ivymux.runtime.clock import SystemClock
from ivymux.runtime.early_listener import keep_matching
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings
from ivymux.transport.connection import Connector, Listener
from ivymux.transport.frames import Message
from orchidhill import interface as i
from orchidhill.interface import State
from orchidhill.proxy_gateway import SILENT, ProxyGateway, ProxyRules

if TYPE_CHECKING:
    from ivymux.proxy.keyed_requests import KeyedRequests
    from ivymux.proxy.trial_client import TrialClient
    from orchidhill.gateway import Gateway

IDLE = 10.0  # seconds that a backend is taken to keep an idle connection, where it says nothing
SWEEP = 0.5
UNREAD = 0.5  # for which clients may wait for a door's first configuration; they give up after a second
READY_AFTER = 0.15  # seconds after the first configuration: the list of doors comes with it
TELL = 10.0  # seconds between lines of the log on what was refused
LAME = 2.5  # seconds after SIGTERM in which the platform goes on handing over connections
HELD_PART = 1 / 4  # of the memory, for answers that are coming in
LATER = 1.0  # seconds after which that is read at a door that has had no action with a key
COUNTED = 24  # sweeps
COLD = 3.0  # seconds that a backend is slow from its start

log = Log("proxy")


class Proxy:
    def __init__(self, settings: Settings, waiting: socket.socket | None = None) -> None:
        """`waiting`: where clients wait already."""
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.id = f"{settings.ip}:{settings.proxy_port}"
        now = time.monotonic()
        self.clock = SystemClock(time.time(), now)
        self.membership, self.tables = MembershipView(), NameTables()
        self.holders = CounterHolders(self.id, now, settings.is_initial_start)
        bounds = Bounds.from_limits(max(64, settings.fd_limit - 260), settings.memory_mb)
        held = int(settings.memory_mb * HELD_PART * (1 << 20))
        upstream = Upstream(
            CONNECT_TIMEOUT, IDLE, (), bounds.max_backend_connections, proxy_answer_policy(64 << 20, held)
        )
        made = module_settings()
        terms = ProxyRules(
            settings.retry_ratio, settings.quota_window_s, settings.quota_excess, settings.quota_slack
        )
        self.switch = ProxyGateway(made, secrets.randbits(64), terms)
        # The host needs of a module what both kinds have.
        self.host = WatchedHost(cast("Gateway", self.switch), upstream)
        self.doubts = FailureReporter(lambda: self.host.well, self.id_of, self.tell_core)
        self.host.doubt = self.doubts.doubt
        self.host.wall_clock = lambda: self.clock.system_time(time.monotonic())
        counts = LeaseCounts(self.holders, secrets.randbits(48) | 1)
        self.counter = DistributedCounter(self.id, self.holders, counts, COUNTER_TIMEOUT, self.host.post)
        self.host.counter = self.counter
        self.keyed: KeyedRequests | None = None
        self.terms = ""  # settings of conversations, as the core told them last
        self.catcher: TrialClient | None = None
        # Requests and those that ended without service, at each sweep: what trials are held against.
        self.counted: deque[tuple[float, int, int]] = deque(maxlen=COUNTED)
        self.front = ProxyFrontend(
            self.tables, self.instance, lambda: max(1, len(self.holders.joined_at)), self.keys, self.number
        )
        self.server = Server(self.front, settings.listen_addresses["front_addr"], bounds, self.host)
        front = settings.listen_addresses["front_addr"]
        self.server.listening_socket = keep_matching(waiting, front.host, front.port)
        own_bounds = Bounds(64, 8, 0, 1 << 16)
        self.ready_server = Server(
            StatusPagesFrontend({READINESS: self.readiness}),
            settings.listen_addresses["ready_addr"],
            own_bounds,
            None,
        )
        self.metrics_server: Server | None = None
        if settings.metrics_port is not None:
            address = Address(settings.ip, settings.metrics_port)
            self.metrics_server = Server(
                StatusPagesFrontend({METRICS: self.metrics}), address, own_bounds, None
            )
        self.listener = Listener(self.counter.on_caller_message)
        self.cores: dict[str, CoreConnection] = {}
        self.version, self.applied_at = -1, 0.0
        self.asked_at, self.asked_version = 0.0, -1
        self.ids: dict[int, bytes] = {}
        self.spoilt = 0
        self.ending = False
        self.sweeper: asyncio.TimerHandle | None = None
        self.listing = 0
        self.touch = False
        self.touched_at = math.inf  # since when it is in touch with the core
        self.known_doors: dict[str, ProxyLocation] = {}  # as last heard of, in touch
        self.told_at = self.claims_told_at = self.departed_told_at = 0.0
        self.taking: asyncio.Task[None] | None = None

    # --- readiness -------------------------------------------------------------------------------------

    def ready(self) -> bool:
        applied = self.version >= 0 and time.monotonic() - self.applied_at > READY_AFTER
        return applied and not self.ending

    def readiness(self) -> Answer:
        return Answer(200 if self.ready() else 503)

    def metrics(self) -> Answer:
        return Answer(200, format_metrics(collect_metrics(self)))

    def instance(self, backend: int) -> bytes:
        return self.ids.get(backend, b"gone")

    def lines(self) -> list[Connector]:
        """The lines to the core that are up, those of this door's zone first."""
        up = [core for core in self.cores.values() if core.line.is_connected]
        return [core.line for core in sorted(up, key=lambda c: (c.zone != self.settings.zone, c.ip))]

    def keys(self) -> KeyedRequests:
        """What actions with keys need, loaded with the first of them."""
        if self.keyed is None:
            from ivymux.proxy.keyed_requests import KeyedRequests

            self.keyed = KeyedRequests(self.lines, self.membership.backends.values)
            if self.terms:
                self.keyed.update_settings(self.terms)
        return self.keyed

    def number(self, backend: str) -> int:
        """A backend's number here, by its id; 0 for none."""
        found = self.membership.backends.get(backend)
        return found.number if found is not None else 0

    def id_of(self, backend: int) -> str:
        found = self.membership.by_number.get(backend)
        return found.id if found is not None else ""

    def age(self) -> float:
        """Seconds for which this door is in touch with the core: who is not may have been replaced."""
        return max(0.0, time.monotonic() - self.touched_at)

    def tell_core(self, message: Message) -> None:
        for line in self.lines():
            line.send(message)

    def note(self, name: str, text: str) -> None:
        """A note of the core's: settings of the system's own, or trials."""
        if name == TRIALS:
            self.trials(text)
        if name != CONVERSATIONS:
            return
        self.terms = text
        if self.keyed is not None:
            self.keyed.update_settings(text)
        else:  # not while the door starts
            self.loop.call_later(LATER, self.keys)

    def trials(self, text: str) -> None:
        """A board of trials; what it takes is loaded with the first of them."""
        if self.catcher is None:
            from ivymux.proxy.trial_client import TrialClient

            self.catcher = TrialClient(
                self.settings.zone, self.id, self.host, self.lines, self.clock.system_time, self.counted
            )
            if self.front.plan is not None:
                self.catcher.configured(self.front.plan.tenant_by_key)
        self.front.catcher = self.catcher if self.catcher.use(text) else None

    # --- the core ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Raises OSError."""
        await self.listener.start(Address(self.settings.ip, self.settings.proxy_port))
        self.meet([a.host for a in self.settings.seed_addresses])
        await self.ready_server.start()
        await self.serve_metrics()
        # Who comes before the configuration waits for it in the system's queue: after a loss of all processes
        # it is there in a moment, and a refusal would send whole crowds round the doors again.
        self.server.listen_without_accepting()
        self.loop.call_later(UNREAD, self.take_clients)
        self.sweep()
        log.info(f"serves on {self.server.listen.host}:{self.server.listen.port}.")

    async def serve_metrics(self) -> None:
        """Clients are served also where the port of the metrics is taken."""
        if self.metrics_server is None:
            return
        try:
            await self.metrics_server.start()
        except OSError as error:
            log.info(f"tells no metrics: {error.strerror}.")

    def take_clients(self) -> None:
        """Read what clients send, also those who came before."""
        if self.server.listening_socket is not None and not self.ending:
            self.taking = self.loop.create_task(self.server.start())

    def meet(self, cores: list[str]) -> None:
        """Core machines there are: each is dialled, and those that are gone for long are let go."""
        for ip in cores:
            if ip not in self.cores and len(self.cores) < 32:
                parse_address(f"{ip}:1")
                self.cores[ip] = CoreConnection(self, ip)
        told = {ip for c in self.cores.values() if c.line.is_connected for ip in cores}
        for ip, core in list(self.cores.items()):
            if core.line.failed_attempts > 60 and ip not in told:
                core.line.close()
                del self.cores[ip]

    def changed(self) -> None:
        """Something of backends or doors has changed: the module and the counter are told."""
        now = time.monotonic()
        if self.membership.proxies_changed:
            self.membership.proxies_changed = False
            doors = self.membership.proxies()
            if not self.membership.is_connected():
                # Out of touch: the others no longer count on this door, and will have named another holder.
                doors = {d: self.known_doors[d] for d in self.known_doors if d != self.id}
            else:
                self.known_doors = doors
            self.holders.update_proxies({id: door.joined_at for id, door in doors.items()}, now)
            self.counter.update_proxies({id: Address(d.address, d.port) for id, d in doors.items()}, now)
            if doors:
                self.host.post(i.Doors(len(set(doors) | {self.id})))
        if self.membership.is_connected() != self.touch:
            self.touch = not self.touch
            self.touched_at = now if self.touch else math.inf
            log.info(
                "hears the core." if self.touch else "hears no core machine; serves on with what it knows."
            )
        backends = self.membership.drain_changes()
        if backends:
            self.members(backends)

    def members(self, backends: list[Backend]) -> None:
        if self.keyed is not None:
            self.keyed.is_stale = True
        entries, addresses = [], {}
        clock, now = self.host.current_time(), time.monotonic()
        for backend in backends:
            try:
                address = parse_address(backend.address)
            except ConfigError:
                continue  # an id that ended unseen has no address
            state = (
                State.GONE if backend.state == OFF else State.READY if backend.state == UP else State.DRAINING
            )
            if state is State.GONE:
                if backend.number not in self.ids:
                    continue
            else:
                self.ids[backend.number] = backend.id.encode()
            started = clock - COLD + backend.warm_until - now if backend.warm_until > now else 0.0
            entries.append(
                i.Entry(
                    backend.number, 0 if backend.zone == self.settings.zone else 1, started, state,
                    SILENT if backend.state == LOST else 0, 0,
                    float(backend.capacity), self.tables.service(backend.service),
                )
            )  # fmt: skip
            addresses[backend.number] = address
        self.listing += 1
        self.host.update_members(i.Members(i.Listing.DELTA, self.listing, tuple(entries)), addresses)

    def apply(self, version: int, text: str) -> None:
        """A configuration that is in force; an older one than this door has changes nothing."""
        if version <= self.version:
            return
        try:
            plan = parse_route_plan(text.encode())
        except RoutingConfigError as error:
            log.info(f"version {version} was taken by the core and cannot be used here: {error}.")
            return
        self.tables.enter(plan)
        self.host.post(i.Classes(tuple(self.tables.classes)))
        self.host.post(i.Plans(tuple(self.tables.plans)))
        self.front.use(plan)
        if self.catcher is not None:
            self.catcher.configured(plan.tenant_by_key)
        self.server.max_head_bytes = plan.client_limits.max_header_bytes
        self.server.read_timeout = plan.client_limits.header_timeout_s
        self.server.idle_timeout = plan.client_limits.idle_timeout_s
        if self.version < 0:
            self.applied_at = time.monotonic()
            self.take_clients()
        self.version = version
        log.info(f"version {version} is in force: {len(self.tables.classes)} routes so far.")

    def sweep(self) -> None:
        try:
            self.membership.expire_backends(time.monotonic())
            self.changed()
        except MembershipError:
            pass
        self.doubts.sample()
        self.counted.append(
            (time.monotonic(), self.host.request_count, self.host.refusal_log.refusals.count_unserved())
        )
        if self.catcher is not None and not self.catcher.busy():
            self.front.catcher = None
        if time.monotonic() - self.told_at > TELL and (line := self.host.refusal_log.refusals.log_line()):
            self.told_at = time.monotonic()
            log.info(f"{line}; further tries spared {self.switch.denied_retries}.")
        departed_due = time.monotonic() - self.departed_told_at > TELL
        if departed_due and (line := self.host.departures.log_line()):
            self.departed_told_at = time.monotonic()
            log.info(f"{line}.")
        claims = self.keyed.claims if self.keyed is not None else None
        if (
            claims is not None
            and time.monotonic() - self.claims_told_at > TELL
            and (line := claims.log_line())
        ):
            self.claims_told_at = time.monotonic()
            log.info(f"{line}.")
        self.sweeper = self.loop.call_later(SWEEP, self.sweep)

    def reload(self, settings: Settings) -> None:
        """The settings file has changed: seeds are added to what is known."""
        self.settings = settings
        self.meet([a.host for a in settings.seed_addresses])

    # --- the end -------------------------------------------------------------------------------------------

    async def stop(self) -> None:
        """Not ready first; serve on while connections come; finish what is held within the grace."""
        began = time.monotonic()
        self.ending = self.server.closes_after_answer = True
        log.info("ends: it takes what still comes, then finishes.")
        await asyncio.sleep(min(LAME, self.settings.shutdown_grace_s / 2))
        self.server.stop_listening()
        until = began + self.settings.shutdown_grace_s - 0.5
        while self.host.unanswered_count and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.host.finish_all()
        if line := self.host.departures.log_line():
            log.info(f"{line}.")
        self.server.close()
        if self.catcher is not None:
            self.catcher.close()
        if self.keyed is not None:
            await self.keyed.claims.finish(0.4)
        await asyncio.sleep(0.1)  # the last answers and what goes back to the holders leave
        for core in self.cores.values():
            core.line.close()
        self.counter.close()
        self.listener.close()
        self.host.upstream.close()
        self.ready_server.close()
        if self.metrics_server is not None:
            self.metrics_server.close()
