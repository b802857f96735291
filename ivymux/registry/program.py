"""The registry's process: which backends, proxies and core machines there are.

It serves HTTP calls of backends and operators, and is connected to the proxies and to the config store of its
own machine.  It sends the proxies every change of backends, proxies, core machines and the configuration.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ivymux.config_store.calls import ReportHoldings, ReportLoads, encode
from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.server import Server
from ivymux.fault_injection import TRIALS
from ivymux.registry import message_kinds as kinds
from ivymux.registry.backend_records import OFF, QUIESCING, UP, BackendRecords, CallError
from ivymux.registry.operator_endpoints import OperatorEndpoints
from ivymux.registry.outlier_detection import OutlierDetector
from ivymux.registry.proxy_reachability import ProxyReachability
from ivymux.registry.proxy_updates import (
    change_message,
    proxy_change_messages,
    snapshot_messages,
    split_changes,
)
from ivymux.registry.shard_reports import holdings_answer, holdings_report
from ivymux.registry.shard_updates import is_shard_table, shard_message
from ivymux.registry.trial_endpoints import TrialEndpoints
from ivymux.routing_config.route_plan import MAX_TEXT_BYTES
from ivymux.runtime.listening_sockets import ListeningSockets
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings
from ivymux.sharding import SETTING_PREFIX
from ivymux.transport.connection import CALL_NUMBER, REPLY_TO, Connection, TransportError
from ivymux.transport.connector import Connector
from ivymux.transport.frames import Message, encode_frame
from ivymux.transport.http_calls import (
    JSON,
    HttpCallDispatcher,
    HttpCallFrontend,
    HttpRequest,
    endpoint,
    error_answer,
)
from ivymux.transport.listener import Listener, ListenerLimits

MAX_SILENT_HEARTBEATS = 2.3  # heartbeat periods without a call after which a backend counts as lost
EXPIRY_INTERVAL_S = 0.25
LOADS_INTERVAL_S = 1.0  # between two reports of requests by shard
HOLDINGS_TIMEOUT_S = 0.7  # of a call about a backend's keys; backends wait a second
ACK_TIMEOUT_S = 0.45  # for the proxies to acknowledge a change of a backend
FORWARD_TIMEOUT_S = 0.88  # of a proxy's call that the config store answers
MAX_FORWARDED_CALLS = 4000  # at once
ANNOUNCE_INTERVAL_S = 0.05  # proxies that join or leave within it are announced in one message
MAX_REPORTED_FAILURES = 10_000  # of one backend in one message
MAX_HEARTBEAT_BYTES = 16 * 1024
STOP_TIMEOUT_S = 1.0  # for HTTP calls under way
STOP_POLL_S = 0.02
LOGGED_COUNTS = (1, 10, 100, 1000)  # repeated events are logged at these counts only

# How the process's file descriptors are divided.
PROXY_FD_SHARE = 0.4
MIN_PROXY_CONNECTIONS = 64
RESERVED_FDS = 200
MIN_HTTP_CONNECTIONS = 64
MAX_HTTP_CONNECTIONS = 2000

NO_PRIMARY = "no core machine can hand out keys just now; call another core machine"
NOT_REACHED = "this machine does not reach the doors just now; call another core machine"

log = Log("registry")


def setting_message(name: str, version: int, text: str) -> Message:
    """The message that carries a replicated setting."""
    return {"k": kinds.SETTING, "name": name, "v": version, "t": text}


@dataclass(slots=True, eq=False)
class ConnectedProxy:
    """A proxy with a connection to this registry."""

    connection: Connection
    id: str
    address: str
    port: int
    zone: str
    joined_at: float  # steady time since which it has been connected to some core machine
    wants_proxy_lists: bool = True
    acked_change: int = 0  # the last change of backends that it has acknowledged
    config_version: int = -1  # of the configuration that it has in force
    ack_waiters: list[tuple[int, asyncio.Future[None]]] = field(default_factory=list)  # by change

    def encode(self, now: float) -> list[Any]:
        """The proxy as messages to other proxies carry it; the last field is for how long it is connected."""
        return [self.id, self.address, self.port, self.zone, round(now - self.joined_at, 3)]


def subscribe(connection: Connection) -> None:
    """Ask a config store for its updates."""
    connection.send({"k": kinds.SUBSCRIPTION})


class Registry(OperatorEndpoints, TrialEndpoints):
    """The registry of one core machine."""

    def __init__(self, settings: Settings, sockets: ListeningSockets | None = None) -> None:
        """`sockets`: listen already at some of the addresses, or at all."""
        self.sockets = sockets or ListeningSockets()
        self.max_trial_s = settings.max_trial_s
        self.settings = settings
        self.incarnation_id = secrets.token_hex(6)  # change numbers are valid within one incarnation only
        self.unix_offset = time.time() - time.monotonic()  # system time minus steady time
        self.backends = BackendRecords(MAX_SILENT_HEARTBEATS * settings.heartbeat_period_s)
        self.proxies: dict[Connection, ConnectedProxy] = {}
        self.reachability = ProxyReachability(knows_fleet=settings.is_initial_start)
        max_proxies = max(MIN_PROXY_CONNECTIONS, int(settings.fd_limit * PROXY_FD_SHARE))
        self.listener = Listener(
            self.on_message,
            on_disconnect=self.on_disconnect,
            limits=ListenerLimits.from_settings(settings, max_proxies),
        )
        self.config_store = Connector(
            Address(settings.ip, settings.config_store_port),
            self.on_config_store_message,
            on_connect=subscribe,
        )
        self.config_version = -1
        self.config_text = ""
        self.encoded_config = b""  # the message with the configuration, encoded once for all proxies
        self.shard_loads: dict[str, Counter[int]] = {}  # requests by service and shard, not reported yet
        self.loads_reported_at = 0.0
        self.apply_waiters: list[tuple[int, asyncio.Future[None]]] = []  # by configuration version
        self.replicated_settings: dict[str, tuple[int, str]] = {}  # versions and texts by name
        self.cores: list[str] = [settings.ip]
        self.outliers = OutlierDetector()
        self.ejections = 0
        # Proxies that joined (True) or left and are not announced yet, by id.
        self.unannounced: dict[str, tuple[ConnectedProxy, bool]] = {}
        self.announced_at = 0.0
        self.announce_timer: asyncio.TimerHandle | None = None
        self.forwarded_calls: set[asyncio.Task[None]] = set()
        self.invalid_messages = 0
        self.http_calls = HttpCallDispatcher(self)
        max_http = min(settings.fd_limit - RESERVED_FDS - max_proxies, MAX_HTTP_CONNECTIONS)
        self.server = Server(
            HttpCallFrontend(self, MAX_TEXT_BYTES),
            settings.listen_address("control_addr"),
            Bounds.from_limits(max(MIN_HTTP_CONNECTIONS, max_http), settings.memory_mb),
            self.http_calls.as_host(),
        )
        self.server.listening_socket = self.sockets.take(self.server.listen)
        self.is_stopping = False
        self.expiry_task: asyncio.Task[None] | None = None

    @staticmethod
    def listen_addresses(settings: Settings) -> tuple[Address, ...]:
        """Return the addresses that a registry listens at.  Raises SettingsError."""
        return Address(settings.ip, settings.registry_port), settings.listen_address("control_addr")

    async def start(self) -> None:
        """Listen for proxies and HTTP calls.  Raises OSError."""
        address = Address(self.settings.ip, self.settings.registry_port)
        await self.listener.start(address, self.sockets.take(address))
        await self.server.start()
        self.expiry_task = asyncio.get_running_loop().create_task(self.expire_backends())
        log.info(f"takes calls on {self.server.listen.host}:{self.server.listen.port}.")

    async def expire_backends(self) -> None:
        """Tell the proxies of backends whose heartbeats have stopped."""
        while not self.is_stopping:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            before = self.backends.last_change
            if self.backends.expire(time.monotonic()):
                self.broadcast_changes(before)
            if self.shard_loads and time.monotonic() - self.loads_reported_at > LOADS_INTERVAL_S:
                self.report_shard_loads()

    def report_shard_loads(self) -> None:
        """Report the proxies' counts of requests by shard to the primary; a lost report is not repeated."""
        self.loads_reported_at, loads = time.monotonic(), self.shard_loads
        self.shard_loads = {}
        for service, counts in loads.items():
            self.spawn(self.send_shard_loads(ReportLoads(service, list(counts.items()))))

    async def send_shard_loads(self, report: ReportLoads) -> None:
        with contextlib.suppress(TransportError):
            await self.config_store.call(encode(report), HOLDINGS_TIMEOUT_S)

    # --- messages of proxies -----------------------------------------------------------------------------

    def on_message(self, connection: Connection, message: Message) -> None:
        """Handle a proxy's message; an invalid one ends its connection."""
        try:
            self.handle_message(connection, message)
        except (KeyError, TypeError, ValueError) as error:
            self.invalid_messages += 1
            if self.invalid_messages in LOGGED_COUNTS:
                log.info(
                    f"invalid message from a proxy, connection closed: {error}"
                    f" ({self.invalid_messages} so far)."
                )
            connection.abort()

    def handle_message(self, connection: Connection, message: Message) -> None:
        """Handle one message.  Raises KeyError, TypeError or ValueError if it is invalid."""
        kind = message["k"]
        if kind == kinds.HELLO:
            self.add_proxy(connection, message)
            return
        proxy = self.proxies.get(connection)
        if proxy is None:
            return
        if kind == kinds.CHANGE_ACK:
            proxy.acked_change = max(proxy.acked_change, int(message["n"]))
            self.release_ack_waiters(proxy)
        elif kind == kinds.CONFIG_APPLIED:
            proxy.config_version = max(proxy.config_version, int(message["v"]))
            self.release_apply_waiters()
        elif kind == kinds.CONFIG_REQUEST and self.config_version >= 0:
            connection.write(self.encoded_config)
        elif kind == kinds.SHARD_LOADS:
            loads = self.shard_loads.setdefault(str(message["s"]), Counter())
            loads.update({int(shard): int(count) for shard, count in message["c"]})
        elif kind == kinds.SHARDS:
            self.send_setting(proxy, SETTING_PREFIX + str(message["s"]))
        elif kind == kinds.PROXY_LISTS:
            self.send_proxy_list(proxy)
        elif kind == kinds.FAILURE_REPORT:
            for id, failures in message["l"]:
                self.on_failure_report(proxy, str(id), int(failures))
        elif kind == kinds.TRIAL_REPORT:
            self.trial_service().on_proxy_message(connection, message, proxy.id, proxy.zone)
        elif kind in kinds.FORWARDED:
            if len(self.forwarded_calls) >= MAX_FORWARDED_CALLS:
                connection.answer(message, ok=False)
            else:
                self.spawn(self.forward_call(connection, message))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a forwarded call in a task of its own."""
        task = asyncio.get_running_loop().create_task(work)
        self.forwarded_calls.add(task)
        task.add_done_callback(self.forwarded_calls.discard)

    async def forward_call(self, connection: Connection, message: Message) -> None:
        """Forward a proxy's call about an action to the config store, and its reply back."""
        call = {key: value for key, value in message.items() if key != CALL_NUMBER}
        try:
            reply = await self.config_store.call(call, FORWARD_TIMEOUT_S)
        except TransportError:
            reply = {"ok": False}
        connection.answer(message, **{key: value for key, value in reply.items() if key != REPLY_TO})

    def on_failure_report(self, proxy: ConnectedProxy, id: str, failures: int) -> None:
        """Take a proxy's report of failures of a backend.  Raises ValueError if it is invalid."""
        if not 0 < failures < MAX_REPORTED_FAILURES:
            raise ValueError(f"{failures} failures of one backend in a report")
        record = self.backends.records.get(id)
        if record is None or record.state != UP:
            return
        peers = [
            peer.id
            for peer in self.backends.records.values()
            if peer.service == record.service and peer.state == UP
        ]
        ejection_s = self.outliers.report(proxy.id, id, failures, len(self.proxies), peers, time.monotonic())
        if ejection_s:
            self.ejections += 1
            if self.ejections in LOGGED_COUNTS:
                log.info(f"backend {id} is ejected for {ejection_s:g} s ({self.ejections} ejections so far).")
            self.broadcast(encode_frame({"k": kinds.EJECTION, "id": id, "for": ejection_s}))

    # --- proxies that join and leave -----------------------------------------------------------------------

    def add_proxy(self, connection: Connection, message: Message) -> None:
        """Send a proxy that connects all that it lacks, and announce it to the others."""
        now = time.monotonic()
        age_s = max(0.0, float(message.get("age", 0.0)))
        proxy = ConnectedProxy(
            connection, str(message["id"]), str(message["ip"]), int(message["port"]), str(message["zone"]),
            now - age_s, message.get("lists") is not False,
        )  # fmt: skip
        known_change, changes = int(message["n"]), None
        if message["run"] == self.incarnation_id:
            changes = self.backends.changes_since(known_change, now)
        self.proxies[connection] = proxy
        self.reachability.on_connect(proxy.address)
        fields = {
            "run": self.incarnation_id, "whole": changes is None, "cores": self.cores,
            "t": self.unix_offset + now, "v": self.config_version, "zone": self.settings.zone,
        }  # fmt: skip
        entries = self.backends.encode_all(now) if changes is None else changes
        batches = split_changes(known_change, self.backends.last_change, entries)
        proxies = [p.encode(now) for p in self.proxies.values()] if proxy.wants_proxy_lists else []
        for part in snapshot_messages(fields, batches, proxies):
            connection.send(part)
        for name in self.replicated_settings:
            self.send_setting(proxy, name)
        self.announce(proxy, True)

    def send_setting(self, proxy: ConnectedProxy, name: str) -> None:
        """Send a proxy a whole replicated setting."""
        if name not in self.replicated_settings:
            return
        version, text = self.replicated_settings[name]
        make = shard_message if is_shard_table(name) else setting_message
        proxy.connection.send(make(name, version, text))

    def send_proxy_list(self, proxy: ConnectedProxy) -> None:
        """Send the list of all proxies, and from now on its changes."""
        proxy.wants_proxy_lists = True
        now = time.monotonic()
        for part in proxy_change_messages([p.encode(now) for p in self.proxies.values()], []):
            proxy.connection.send(part)

    def on_disconnect(self, connection: Connection) -> None:
        """Forget a proxy's connection; calls no longer wait for its acknowledgements."""
        proxy = self.proxies.pop(connection, None)
        if proxy is None:
            return
        self.reachability.on_disconnect(proxy.address, time.monotonic())
        for _, waiter in proxy.ack_waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.release_apply_waiters()
        if any(p.id == proxy.id for p in self.proxies.values()):
            return  # the proxy has reconnected already
        self.announce(proxy, False)

    def announce(self, proxy: ConnectedProxy, has_joined: bool) -> None:
        """Announce a proxy that has joined or left to the others.

        The first is announced at once, those that follow within ANNOUNCE_INTERVAL_S together.  Otherwise,
        when a fleet starts, each proxy would get as many messages as there are proxies.
        """
        self.unannounced[proxy.id] = proxy, has_joined
        if self.announce_timer is None:
            delay = self.announced_at + ANNOUNCE_INTERVAL_S - time.monotonic()
            if delay <= 0:
                self.send_announcements()
            else:
                self.announce_timer = asyncio.get_running_loop().call_later(delay, self.send_announcements)

    def send_announcements(self) -> None:
        """Send the collected announcements to all connected proxies."""
        self.announce_timer, self.announced_at = None, time.monotonic()
        announced, self.unannounced = self.unannounced, {}
        joined = [proxy.encode(self.announced_at) for proxy, has_joined in announced.values() if has_joined]
        left = [id for id, (_, has_joined) in announced.items() if not has_joined]
        for message in proxy_change_messages(joined, left):
            data = encode_frame(message)
            for proxy in self.proxies.values():
                # A proxy that is announced alone knows of itself already.
                is_news = len(announced) > 1 or proxy.id not in announced
                if is_news and proxy.wants_proxy_lists:
                    proxy.connection.write(data)

    # --- acknowledgements of proxies -----------------------------------------------------------------------

    def broadcast(self, data: bytes) -> None:
        """Send an encoded message to all connected proxies."""
        for proxy in self.proxies.values():
            proxy.connection.write(data)

    def broadcast_changes(self, since: int) -> None:
        """Send the changes of backends after the change number `since` to all proxies."""
        changes = self.backends.changes_since(since, time.monotonic()) or []
        for batch in split_changes(since, self.backends.last_change, changes):
            self.broadcast(encode_frame(change_message(batch)))

    async def wait_until_acknowledged(self, change: int, is_departure: bool) -> bool:
        """Wait until all connected proxies have acknowledged a change, at most ACK_TIMEOUT_S.

        Returns whether enough proxies have (see proxy_reachability.py).
        """
        waiters = []
        for proxy in self.proxies.values():
            if proxy.acked_change < change:
                waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
                proxy.ack_waiters.append((change, waiter))
                waiters.append(waiter)
        if waiters:
            await asyncio.wait(waiters, timeout=ACK_TIMEOUT_S)
        reached = [proxy.address for proxy in self.proxies.values() if proxy.acked_change >= change]
        now = time.monotonic()
        if is_departure:
            return self.reachability.may_confirm_departure(reached, now)
        return self.reachability.is_sufficient(reached, now)

    def release_ack_waiters(self, proxy: ConnectedProxy) -> None:
        """Wake calls that wait for a change that the proxy has acknowledged."""
        due = [entry for entry in proxy.ack_waiters if entry[0] <= proxy.acked_change]
        proxy.ack_waiters = [entry for entry in proxy.ack_waiters if entry[0] > proxy.acked_change]
        for _, waiter in due:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_until_applied(self, version: int, timeout: float) -> None:
        """Wait until all connected proxies have a configuration in force, at most `timeout` seconds."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.apply_waiters.append((version, waiter))
        self.release_apply_waiters()
        await asyncio.wait([waiter], timeout=max(0.0, timeout))
        self.apply_waiters.remove((version, waiter))

    def release_apply_waiters(self) -> None:
        """Wake calls that wait for a configuration that all proxies have in force."""
        lowest = min((proxy.config_version for proxy in self.proxies.values()), default=1 << 62)
        for version, waiter in self.apply_waiters:
            if version <= lowest and not waiter.done():
                waiter.set_result(None)

    # --- messages of the config store ----------------------------------------------------------------------

    def on_config_store_message(self, connection: Connection, message: Message) -> None:
        """Take a newer configuration, setting or list of core machines, and pass it on to the proxies."""
        kind = message.get("k")
        if kind == kinds.CONFIG:
            version, text = int(message["v"]), str(message["t"])
            if version > self.config_version:
                self.config_version, self.config_text = version, text
                self.encoded_config = encode_frame({"k": kinds.CONFIG_TEXT, "v": version, "t": text})
                self.broadcast(encode_frame({"k": kinds.CONFIG, "v": version}))
        elif kind == kinds.SETTING:
            name, version, text = str(message["name"]), int(message["v"]), str(message["t"])
            known = self.replicated_settings.get(name)
            if known is None or version > known[0]:
                self.replicated_settings[name] = version, text
                is_table = is_shard_table(name)
                news = shard_message(name, version, text, known) if is_table else None
                self.broadcast(encode_frame(news or setting_message(name, version, text)))
                if name == TRIALS:
                    self.trial_service().apply(text)
        elif kind == kinds.CONTACT:
            self.reachability.update_contact(message["v"] is True, time.monotonic())
        elif kind == kinds.CORES:
            cores = [str(address) for address in message["l"]]
            if cores != self.cores:
                self.cores = cores
                self.broadcast(encode_frame({"k": kinds.CORES, "l": cores}))

    # --- HTTP calls of backends ----------------------------------------------------------------------------

    @endpoint("PUT", "/instances/{}")
    async def put_backend(self, request: HttpRequest) -> Answer:
        """Take a backend's heartbeat; a change is acknowledged once it has reached the proxies."""
        if len(request.body) > MAX_HEARTBEAT_BYTES:
            return error_answer(413, f"a call of {len(request.body)} bytes; {MAX_HEARTBEAT_BYTES} at most")
        before = self.backends.last_change
        try:
            body = msgspec.json.decode(request.body)
            has_changed = self.backends.heartbeat(request.name, body, time.monotonic())
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return error_answer(400, "the body is no whole JSON")
        except CallError as error:
            return error_answer(400, str(error))
        if has_changed:
            self.broadcast_changes(before)
        record = self.backends.records[request.name]
        try:
            report = holdings_report(body, record) if record.state != OFF else None
        except CallError as error:
            return error_answer(400, str(error))
        grants = self.ask_for_holdings(report) if report is not None else None
        if has_changed or record.state == QUIESCING:  # the call may repeat one that was interrupted
            is_departure = record.state == QUIESCING
            is_reached = await self.wait_until_acknowledged(record.change_number, is_departure)
        else:
            connected = [proxy.address for proxy in self.proxies.values()]
            is_reached = self.reachability.is_sufficient(connected, time.monotonic())
        granted = await grants if grants is not None else {}
        if not is_reached:
            return error_answer(503, NOT_REACHED)
        if granted is None:
            return error_answer(503, NO_PRIMARY)
        own = self.server.listen
        fields = {"beat_target": f"{own.host}:{own.port}", **granted}
        return Answer(200, msgspec.json.encode(fields), JSON)

    def ask_for_holdings(self, report: ReportHoldings) -> asyncio.Task[dict[str, Any] | None]:
        """Begin to ask the primary which keys a backend is to hold; the result is None without an answer."""

        async def ask() -> dict[str, Any] | None:
            try:
                reply = await self.config_store.call(encode(report), HOLDINGS_TIMEOUT_S)
            except TransportError:
                return None
            return holdings_answer(reply) if reply.get("ok") else None

        return asyncio.get_running_loop().create_task(ask())

    @endpoint("DELETE", "/instances/{}")
    async def delete_backend(self, request: HttpRequest) -> Answer:
        """End a backend's id for good."""
        before = self.backends.last_change
        try:
            has_changed = self.backends.deregister(request.name, time.monotonic())
        except CallError as error:
            return error_answer(400, str(error))
        if has_changed:
            self.broadcast_changes(before)
        if not await self.wait_until_acknowledged(self.backends.last_change, is_departure=True):
            return error_answer(503, NOT_REACHED)
        return Answer(200, b"{}", JSON)

    def has_unfinished_answers(self) -> bool:
        """Whether callers still wait for answers, or read them."""
        return bool(self.http_calls.tasks) or self.server.has_unsent_answers()

    async def stop(self) -> None:
        """Finish HTTP calls under way, then close all connections, by which proxies notice the end."""
        self.server.stop_listening()
        until = time.monotonic() + STOP_TIMEOUT_S
        while self.has_unfinished_answers() and time.monotonic() < until:
            await asyncio.sleep(STOP_POLL_S)
        self.is_stopping = True
        if self.announce_timer is not None:
            self.announce_timer.cancel()
        self.server.close()
        self.listener.close()
        self.config_store.close()
