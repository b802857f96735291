"""The proxy process: servers, connections to the core, membership and configuration."""

from __future__ import annotations

import asyncio
import math
import secrets
import time
from collections import deque
from typing import TYPE_CHECKING, cast

from ivymux.data_plane.answer_budget import share_answer_room
from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds, held_body_bytes, parse_address
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
from ivymux.proxy.member_entries import MemberEntries
from ivymux.proxy.membership_view import Backend, MembershipError, MembershipView, ProxyLocation
from ivymux.proxy.metrics import collect_metrics, format_metrics
from ivymux.proxy.module_settings import CONNECT_TIMEOUT_S, COUNTER_TIMEOUT_S, module_settings
from ivymux.proxy.name_tables import NameTables
from ivymux.proxy.proxy_list_sources import RegistryLink, further_list_sources
from ivymux.proxy.shard_tables import ShardTables
from ivymux.proxy.status_pages import METRICS, READINESS, StatusPagesFrontend
from ivymux.registry import message_kinds as kinds
from ivymux.routing_config.route_plan import RoutingConfigError, parse_route_plan
from ivymux.runtime.clock import SystemClock
from ivymux.runtime.listening_sockets import ListeningSockets
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings
from ivymux.transport.connector import Connector
from ivymux.transport.frames import Message
from ivymux.transport.listener import Listener, ListenerLimits
from orchidhill import interface as i
from orchidhill.proxy_gateway import ProxyGateway, ProxyRules

if TYPE_CHECKING:
    from ivymux.proxy.keyed_requests import KeyedRequests
    from ivymux.proxy.trial_client import TrialClient
    from orchidhill.gateway import Gateway

IDLE_TIMEOUT_S = 10.0  # assumed for connections to a backend that states no idle time-out
SWEEP_INTERVAL_S = 0.5
# Longest wait of clients for a proxy's first configuration, as they give up after one second.
MAX_ACCEPT_DELAY_S = 0.5
READY_DELAY_S = 0.15  # after the first configuration: the list of proxies arrives with it
LOG_INTERVAL_S = 10.0  # minimum between two summaries of one kind
STOP_LISTENING_DELAY_S = 2.5  # after SIGTERM, while the platform still hands over connections
STOP_MARGIN_S = 0.5  # of the shutdown grace, left for closing connections
STOP_POLL_S = 0.02
FLUSH_DELAY_S = 0.1  # for the last answers, and the counts that are returned to their holders
MAX_CLAIMS_FINISH_S = 0.4  # longest wait for claims in progress at the stop
BUFFERED_ANSWERS_PART = 1 / 4  # of the memory
MAX_ANSWER_BYTES = 64 << 20
RESERVED_SOCKETS = 260  # for other purposes than clients and backends
MIN_SOCKETS = 64  # for clients and backends
KEYED_REQUESTS_LOAD_DELAY_S = 1.0  # after conversation settings, if there was no keyed request before
REQUEST_COUNT_SAMPLES = 24  # that are kept; one is taken per sweep
MAX_CORE_MACHINES = 32
MAX_FAILED_CONNECTS = 60  # after which a core machine that no other core machine lists is dropped

log = Log("proxy")


class Proxy:
    """One proxy process; `runtime.program` starts, reloads and stops it."""

    def __init__(self, settings: Settings, sockets: ListeningSockets | None = None) -> None:
        """`sockets`: listen already; clients may have connected to them before this process was ready."""
        self.settings = settings
        self.sockets = sockets or ListeningSockets()
        self.loop = asyncio.get_running_loop()
        self.id = f"{settings.ip}:{settings.proxy_port}"
        now = time.monotonic()
        self.clock = SystemClock(time.time(), now)
        self.membership, self.tables = MembershipView(), NameTables()
        self.shard_tables = ShardTables()
        self.entries = MemberEntries(self.membership, self.tables, settings.zone)
        self.holders = CounterHolders(self.id, now, settings.is_initial_start)
        listener_limits = ListenerLimits.from_settings(settings)  # of connections from other proxies
        bounds = Bounds.from_limits(
            max(MIN_SOCKETS, settings.fd_limit - RESERVED_SOCKETS - listener_limits.max_connections),
            settings.memory_mb,
        )
        max_buffered_bytes = int(settings.memory_mb * BUFFERED_ANSWERS_PART * (1 << 20))
        upstream = Upstream(
            CONNECT_TIMEOUT_S,
            IDLE_TIMEOUT_S,
            (),
            bounds.max_backend_connections,
            proxy_answer_policy(MAX_ANSWER_BYTES, max_buffered_bytes),
        )
        rules = ProxyRules(
            settings.retry_ratio, settings.quota_window_s, settings.quota_excess, settings.quota_slack
        )
        self.gateway = ProxyGateway(module_settings(), secrets.randbits(64), rules)
        # The host uses only members that `Gateway` and `ProxyGateway` have in common.
        self.host = WatchedHost(cast("Gateway", self.gateway), upstream)
        self.failure_reporter = FailureReporter(
            lambda: self.host.success_count, self.backend_id, self.send_to_core
        )
        self.host.report_failure = self.failure_reporter.on_failure
        self.host.wall_clock = lambda: self.clock.system_time(time.monotonic())
        counts = LeaseCounts(self.holders, secrets.randbits(48) | 1)
        self.counter = DistributedCounter(self.id, self.holders, counts, COUNTER_TIMEOUT_S, self.host.post)
        self.host.counter = self.counter
        self.keyed_requests: KeyedRequests | None = None
        self.conversation_settings = ""  # the text that the core sent last
        self.trial_client: TrialClient | None = None
        # At each sweep: the time, and the counts of requests and of those refused for lack of backends.
        self.request_counts: deque[tuple[float, int, int]] = deque(maxlen=REQUEST_COUNT_SAMPLES)
        self.frontend = ProxyFrontend(
            self.tables,
            self.entries.instance_id,
            lambda: max(1, len(self.holders.joined_at)),
            self.load_keyed_requests,
            self.backend_number,
            self.shard_tables,
        )
        self.server = Server(self.frontend, settings.listen_address("front_addr"), bounds, self.host)
        self.server.listening_socket = self.sockets.take(self.server.listen)
        share_answer_room(self.server, upstream.answer_flow)
        status_bounds = Bounds(64, 8, 0, 1 << 16, max_total_head_bytes=1 << 20)
        self.ready_server = Server(
            StatusPagesFrontend({READINESS: self.answer_readiness}),
            settings.listen_address("ready_addr"),
            status_bounds,
            None,
        )
        self.ready_server.listening_socket = self.sockets.take(self.ready_server.listen)
        self.metrics_server: Server | None = None
        if settings.metrics_port is not None:
            address = Address(settings.ip, settings.metrics_port)
            self.metrics_server = Server(
                StatusPagesFrontend({METRICS: self.answer_metrics}), address, status_bounds, None
            )
        self.listener = Listener(
            self.counter.on_caller_message,
            limits=listener_limits,
        )
        self.cores: dict[str, CoreConnection] = {}
        self.config_version, self.first_applied_at = -1, 0.0
        self.configuration_requested_at, self.requested_version = 0.0, -1
        self.malformed_messages = 0
        self.is_stopping = False
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.is_core_connected = False
        self.core_connected_since = math.inf
        self.known_proxies: dict[str, ProxyLocation] = {}  # as last listed by a connected registry
        self.refusals_logged_at = self.claims_logged_at = self.departures_logged_at = 0.0
        self.accept_task: asyncio.Task[None] | None = None

    # --- readiness -------------------------------------------------------------------------------------

    def is_ready(self) -> bool:
        applied = self.config_version >= 0 and time.monotonic() - self.first_applied_at > READY_DELAY_S
        return applied and not self.is_stopping

    def answer_readiness(self) -> Answer:
        return Answer(200 if self.is_ready() else 503)

    def answer_metrics(self) -> Answer:
        return Answer(200, format_metrics(collect_metrics(self)))

    def core_connectors(self) -> list[Connector]:
        """Return the open connections to the core, those within the same zone first."""
        connected = [core for core in self.cores.values() if core.is_connected]
        connected.sort(key=lambda core: (core.zone != self.settings.zone, core.ip))
        return [core.connector for core in connected]

    def load_keyed_requests(self) -> KeyedRequests:
        """Return the handler of requests with keys; its modules are imported with the first such request."""
        if self.keyed_requests is None:
            from ivymux.proxy.keyed_requests import KeyedRequests

            self.keyed_requests = KeyedRequests(self.core_connectors, self.membership.present_backends)
            if self.conversation_settings:
                self.keyed_requests.update_settings(self.conversation_settings)
        return self.keyed_requests

    def backend_number(self, backend: str) -> int:
        """Return a backend's number in the decision module by the backend's id; 0 if the id is unknown."""
        found = self.membership.backends.get(backend)
        return found.number if found is not None else 0

    def backend_id(self, backend: int) -> str:
        found = self.membership.by_number.get(backend)
        return found.id if found is not None else ""

    def core_connected_seconds(self) -> float:
        """Return for how many seconds the core is connected; before, others may have replaced this proxy."""
        return max(0.0, time.monotonic() - self.core_connected_since)

    def registry_links(self) -> list[RegistryLink]:
        """Return the connected registries as sources of lists of proxies."""
        return [
            RegistryLink(core.ip, core.zone, core.sends_proxy_lists)
            for core in self.cores.values()
            if core.is_connected
        ]

    def replace_list_sources(self) -> None:
        """Ask other registries for lists of proxies in place of those that are no longer connected."""
        for ip in further_list_sources(self.registry_links(), self.settings.zone):
            self.cores[ip].request_proxy_lists()

    def send_to_core(self, message: Message) -> None:
        for connector in self.core_connectors():
            connector.send(message)

    def on_replicated_setting(self, name: str, text: str) -> None:
        """Apply a setting that the core replicates: trials, or conversation settings."""
        if name == TRIALS:
            self.update_trials(text)
        if name != CONVERSATIONS:
            return
        self.conversation_settings = text
        if self.keyed_requests is not None:
            self.keyed_requests.update_settings(text)
        else:  # delayed, as the import would slow down the proxy's start
            self.loop.call_later(KEYED_REQUESTS_LOAD_DELAY_S, self.load_keyed_requests)

    def update_trials(self, text: str) -> None:
        """Apply a set of trials; the module for trials is imported with the first set."""
        if self.trial_client is None:
            from ivymux.proxy.trial_client import TrialClient

            self.trial_client = TrialClient(
                self.settings.zone,
                self.id,
                self.host,
                self.core_connectors,
                self.clock.system_time,
                self.request_counts,
            )
            if self.frontend.plan is not None:
                self.trial_client.update_keys(self.frontend.plan.tenant_by_key)
        self.frontend.trial_client = self.trial_client if self.trial_client.apply(text) else None

    # --- the core ----------------------------------------------------------------------------------------

    @staticmethod
    def listen_addresses(settings: Settings) -> tuple[Address, ...]:
        """Return the addresses without which a proxy does not start.  Raises SettingsError."""
        return (
            Address(settings.ip, settings.proxy_port),
            settings.listen_address("ready_addr"),
            settings.listen_address("front_addr"),
        )

    async def start(self) -> None:
        """Start serving.  Raises OSError if an address cannot be listened on."""
        address = Address(self.settings.ip, self.settings.proxy_port)
        await self.listener.start(address, self.sockets.take(address))
        await self.ready_server.start()
        await self.start_metrics_server()
        # Clients that connect before the first configuration wait in the kernel's accept queue.  After a loss
        # of all processes the configuration arrives within moments, while refusals would cause a wave of
        # retries at all proxies.
        self.server.listen_without_accepting()
        self.loop.call_later(MAX_ACCEPT_DELAY_S, self.accept_clients)
        # Last, as a configuration, which may follow at once, lets clients be accepted.
        self.add_cores([address.host for address in self.settings.seed_addresses])
        self.sweep()
        log.info(f"listening on {self.server.listen.host}:{self.server.listen.port}.")

    async def start_metrics_server(self) -> None:
        """Start the metrics server; clients are served even if its port is taken."""
        if self.metrics_server is None:
            return
        try:
            await self.metrics_server.start()
        except OSError as error:
            log.info(f"cannot serve metrics: {error.strerror}.")

    def accept_clients(self) -> None:
        """Accept clients, including those that wait in the accept queue."""
        if self.server.listening_socket is not None and not self.is_stopping:
            self.accept_task = self.loop.create_task(self.server.start())

    def add_cores(self, cores: list[str]) -> None:
        """Connect to new core machines."""
        for ip in cores:
            if ip not in self.cores and len(self.cores) < MAX_CORE_MACHINES:
                parse_address(f"{ip}:1")  # raises ConfigError, a ValueError
                self.cores[ip] = CoreConnection(self, ip)

    def update_cores(self, cores: list[str]) -> None:
        """Connect to the core machines that one of them lists; drop others, unreachable for long."""
        self.add_cores(cores)
        for ip, core in list(self.cores.items()):
            if core.connector.failed_attempts > MAX_FAILED_CONNECTS and ip not in cores:
                core.connector.close()
                del self.cores[ip]

    def on_membership_changed(self) -> None:
        """Update the decision module and the counter after a change of backends or proxies."""
        now = time.monotonic()
        if self.membership.proxies_changed:
            self.membership.proxies_changed = False
            self.update_proxies(now)
        if self.membership.is_connected() != self.is_core_connected:
            self.is_core_connected = not self.is_core_connected
            self.core_connected_since = now if self.is_core_connected else math.inf
            log.info(
                "connected to the core."
                if self.is_core_connected
                else "disconnected from all core machines; serving with the last known state."
            )
        backends = self.membership.drain_changes()
        if backends:
            self.update_backends(backends)

    def update_proxies(self, now: float) -> None:
        """Pass the present proxies to the counter, and their number to the decision module."""
        proxies = self.membership.proxies()
        if self.membership.has_proxy_list():
            self.known_proxies = proxies
        elif self.membership.is_connected():
            return  # the last list is used until another registry has sent its own
        else:
            # The other proxies no longer list this proxy, and use other holders in its place.
            proxies = {id: location for id, location in self.known_proxies.items() if id != self.id}
        self.holders.update_proxies({id: location.joined_at for id, location in proxies.items()}, now)
        addresses = {id: Address(location.address, location.port) for id, location in proxies.items()}
        self.counter.update_proxies(addresses, now)
        if proxies:
            self.host.post(i.Doors(len(set(proxies) | {self.id})))

    def update_backends(self, backends: list[Backend]) -> None:
        """Pass changed backends to the decision module."""
        if self.keyed_requests is not None:
            self.keyed_requests.is_stale = True
        members, addresses = self.entries.translate(backends, self.host.current_time(), time.monotonic())
        self.host.update_members(members, addresses)

    def apply_configuration(self, version: int, text: str) -> None:
        """Apply a configuration that is in force; a version that is not newer than the current is ignored."""
        if version <= self.config_version:
            return
        try:
            plan = parse_route_plan(text.encode())
        except RoutingConfigError as error:
            log.info(f"cannot apply configuration version {version}, which the core accepted: {error}.")
            return
        self.tables.update(plan)
        self.host.post(i.Classes(tuple(self.tables.classes)))
        self.host.post(i.Plans(tuple(self.tables.plans)))
        self.frontend.update_plan(plan)
        if self.trial_client is not None:
            self.trial_client.update_keys(plan.tenant_by_key)
        self.server.max_held_bytes = held_body_bytes(
            self.settings.memory_mb, plan.client_limits.max_body_bytes
        )
        self.server.max_head_bytes = plan.client_limits.max_header_bytes
        self.server.read_timeout = plan.client_limits.header_timeout_s
        self.server.idle_timeout = plan.client_limits.idle_timeout_s
        if self.config_version < 0:
            self.first_applied_at = time.monotonic()
            self.accept_clients()
        self.config_version = version
        log.info(f"configuration version {version} is in force: {len(self.tables.classes)} routes so far.")

    def sweep(self) -> None:
        """Do the periodic work: expiry, samples and log summaries; called every SWEEP_INTERVAL_S."""
        try:
            self.membership.expire_backends(time.monotonic())
            self.on_membership_changed()
        except MembershipError:
            pass
        self.failure_reporter.sample()
        self.report_shard_loads()
        self.request_counts.append(
            (time.monotonic(), self.host.request_count, self.host.refusal_log.refusals.count_unserved())
        )
        if self.trial_client is not None and not self.trial_client.is_running():
            self.frontend.trial_client = None
        self.log_summaries()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def report_shard_loads(self) -> None:
        """Report the requests by shard to the nearest registry, which adds up those of its proxies."""
        connectors = self.core_connectors()
        if not connectors:
            return
        for service, counts in self.shard_tables.drain_requests().items():
            connectors[0].send({"k": kinds.SHARD_LOADS, "s": service, "c": counts})

    def log_summaries(self) -> None:
        """Log summaries of refusals, client departures and claims, each at most once per LOG_INTERVAL_S."""
        refusals, departures = self.host.refusal_log.refusals, self.host.departures
        refusals_due = time.monotonic() - self.refusals_logged_at > LOG_INTERVAL_S
        if refusals_due and (line := refusals.log_line()):
            self.refusals_logged_at = time.monotonic()
            log.info(f"{line}; further tries spared {self.gateway.denied_retries}.")
        departures_due = time.monotonic() - self.departures_logged_at > LOG_INTERVAL_S
        if departures_due and (line := departures.log_line()):
            self.departures_logged_at = time.monotonic()
            log.info(f"{line}.")
        if self.keyed_requests is None:
            return
        claims_due = time.monotonic() - self.claims_logged_at > LOG_INTERVAL_S
        if claims_due and (line := self.keyed_requests.claims.log_line()):
            self.claims_logged_at = time.monotonic()
            log.info(f"{line}.")

    def reload(self, settings: Settings) -> None:
        """Apply a changed settings file: new seed addresses are added to the known core machines."""
        self.settings = settings
        self.add_cores([address.host for address in settings.seed_addresses])

    # --- shutdown ------------------------------------------------------------------------------------------

    def has_unfinished_answers(self) -> bool:
        """Whether clients still wait for answers, or have not received them whole."""
        return bool(self.host.unanswered_count) or self.server.has_undelivered_answers()

    async def stop(self) -> None:
        """Stop gracefully.

        Reports not ready first, accepts connections for a while, then finishes open requests, and lets
        clients read their answers, within the configured shutdown grace.
        """
        started_at, earlier = time.monotonic(), self.host.endings.copy()
        open_count = self.host.unanswered_count
        self.is_stopping = self.server.closes_after_answer = True
        log.info("stopping: new connections are accepted for a while, then open requests are finished.")
        await asyncio.sleep(min(STOP_LISTENING_DELAY_S, self.settings.shutdown_grace_s / 2))
        self.server.stop_listening()
        deadline = started_at + self.settings.shutdown_grace_s - STOP_MARGIN_S
        while self.has_unfinished_answers() and time.monotonic() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        self.host.finish_all()
        if line := self.host.departures.log_line():
            log.info(f"{line}.")
        self.server.close()
        log.info(
            f"{open_count} requests were open as the stop began; since then"
            f" {self.host.endings.since(earlier).describe()}; {self.server.closed_connections.describe()}."
        )
        if self.trial_client is not None:
            self.trial_client.close()
        if self.keyed_requests is not None:
            await self.keyed_requests.claims.finish(MAX_CLAIMS_FINISH_S)
        await asyncio.sleep(FLUSH_DELAY_S)
        for core in self.cores.values():
            core.connector.close()
        self.counter.close()
        self.listener.close()
        self.host.upstream.close()
        self.ready_server.close()
        if self.metrics_server is not None:
            self.metrics_server.close()
