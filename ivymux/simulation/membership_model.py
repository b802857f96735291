"""Models how proxies learn of backends: real registries' records, links with delays, views, connection pools.

Backends crash, leave, restart at their addresses under new ids and call one registry after another; links to
proxies are cut, and registries restart.  Then all is calm, and every proxy has to send requests to exactly
the backends that serve.  Time is virtual; only `Upstream` needs a running event loop.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any, cast

from ivymux.data_plane.host import Host
from ivymux.data_plane.limits import parse_address
from ivymux.data_plane.upstream import Upstream
from ivymux.proxy.answer_policy import proxy_answer_policy
from ivymux.proxy.member_entries import MemberEntries
from ivymux.proxy.membership_view import MembershipView
from ivymux.proxy.module_settings import module_settings
from ivymux.proxy.name_tables import NameTables
from ivymux.registry.backend_records import BackendRecords
from ivymux.registry.proxy_updates import ChangeBatch, split_changes
from orchidhill.gateway import Gateway
from orchidhill.proxy_gateway import ProxyGateway, ProxyRules

STEP_S = 0.25
HEARTBEAT_S = 1.5
SILENCE_TIMEOUT_S = 2.3 * HEARTBEAT_S
CALM_S = 12.0  # longer than the slowest of the time-outs by which silence is noticed
FORGETTING_S = 150.0  # longer than registries and proxies remember a backend that has ended
MACHINES = 6
SERVICES = 2
LINK_DELAYS_S = (0.001, 0.05, 0.4, 1.5)


@dataclass(slots=True)
class BackendLife:
    """One life of a backend; it calls `target` until a call fails there."""

    id: str
    service: str
    address: str
    target: RegistryModel
    next_call_at: float
    call_seq: int = 0
    oper_state: str = "in_service"


@dataclass(slots=True, eq=False)
class RegistryModel:
    """A registry: its records, which a restart empties."""

    name: str
    run: int = 0
    records: BackendRecords = field(default_factory=lambda: BackendRecords(SILENCE_TIMEOUT_S))

    @property
    def incarnation_id(self) -> str:
        return f"run-{self.run}"

    def restart(self) -> None:
        self.run += 1
        self.records = BackendRecords(SILENCE_TIMEOUT_S)


@dataclass(slots=True)
class Snapshot:
    """The first message on a connection."""

    incarnation_id: str
    sequence: int
    is_complete: bool
    backends: list[list[Any]]


Update = Snapshot | ChangeBatch


class ProxyModel:
    """A proxy's view, decision module and connection pools."""

    def __init__(self, seed: int, registries: list[RegistryModel], world: MembershipModel) -> None:
        self.world = world
        self.view, self.tables = MembershipView(), NameTables()
        self.entries = MemberEntries(self.view, self.tables, "hall")
        self.module = ProxyGateway(module_settings(), seed, ProxyRules(0.2, 5.0, 0.1, 20.0))
        self.upstream = Upstream(0.2, 10.0, (), 100, proxy_answer_policy(1 << 20, 1 << 20))
        self.host = Host(cast(Gateway, self.module), self.upstream)
        self.host.wall_clock = lambda: world.now
        # Messages on the way, by registry, with the time of their arrival; None: not connected.
        self.links: dict[str, list[tuple[float, Update]] | None] = {r.name: None for r in registries}

    def apply_changes(self) -> None:
        if backends := self.view.drain_changes():
            now = self.world.now
            self.host.update_members(*self.entries.translate(backends, self.host.current_time(), now))

    def receive(self, registry: RegistryModel) -> None:
        """Apply the messages that have arrived."""
        now = self.world.now
        while (link := self.links[registry.name]) and link[0][0] <= now:
            _, update = link.pop(0)
            if isinstance(update, Snapshot):
                self.view.apply_snapshot(
                    registry.name, update.incarnation_id, update.sequence, update.is_complete,
                    update.backends, [], now,
                )  # fmt: skip
            elif not self.view.apply_changes(registry.name, *update, now):
                self.world.send_snapshot(self, registry)
            self.apply_changes()

    def faults(self, lives: list[BackendLife]) -> list[str]:
        """Return in which way this proxy's backends differ from those that serve."""
        found = [fault for life in lives if (fault := self.fault_of(life))]
        serving = {life.id for life in lives}
        for number, backend in self.module.backends.by_id.items():
            known = self.view.by_number.get(number)
            if known is None:
                found.append(f"the decision module still has backend {number}")
            elif (
                backend in self.module.backends.service(backend.entry.service).backends
                and known.id not in serving
            ):
                found.append(f"{known.id} has crashed and is ready")
        forgotten = {*self.upstream.pools, *self.upstream.superseded} - set(self.view.by_number)
        return [*found, *(f"the connections still have backend {number}" for number in forgotten)]

    def fault_of(self, life: BackendLife) -> str:
        """Return what prevents requests to a backend that serves; empty if nothing does."""
        known = self.view.backends.get(life.id)
        if life.oper_state != "in_service":
            return ""
        if known is None:
            return f"{life.id} is unknown"
        backend = self.module.backends.by_id.get(known.number)
        if backend not in self.module.backends.service(self.tables.service_number(life.service)).backends:
            return f"{life.id} is not ready but {known.state}"
        pool = self.upstream.pools.get(known.number)
        if pool is None or pool.address != parse_address(life.address):
            return f"{life.id} has no connections"
        is_named = self.entries.instance_id(known.number) == life.id.encode()
        return "" if is_named else f"requests to {life.id} name another one"


class MembershipModel:
    """Registries, proxies and backends, with faults drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.random, self.now, self.is_calm = random.Random(seed), 1000.0, False
        self.registries = [RegistryModel(name) for name in "abc"]
        self.proxies = [ProxyModel(number, self.registries, self) for number in range(2)]
        self.lives: dict[int, BackendLife] = {}  # by machine
        self.life_count = 0

    def run(self) -> list[str]:
        """Play faults, then calm; return the faults that remain, and those after all is forgotten."""
        self.connect_all()
        for machine in range(MACHINES):
            self.start_backend(machine)
        self.advance(5.0)
        for _ in range(self.random.randrange(1, 40)):
            self.inject_fault()
            self.advance(self.random.randrange(6) * STEP_S)
        self.is_calm = True
        self.connect_all()
        for machine in range(MACHINES):
            if machine not in self.lives and self.random.random() < 0.5:
                self.start_backend(machine)
        self.advance(CALM_S)
        faults = self.faults()
        if not faults:
            self.advance(FORGETTING_S)
            faults = self.faults()
        for proxy in self.proxies:
            proxy.upstream.close()
        return faults

    def faults(self) -> list[str]:
        lives = list(self.lives.values())
        return [
            f"proxy {number}: {fault}"
            for number, proxy in enumerate(self.proxies)
            for fault in proxy.faults(lives)
        ]

    def advance(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.step()

    def step(self) -> None:
        self.now += STEP_S
        for registry in self.registries:
            before = registry.records.last_change
            if registry.records.expire(self.now):
                self.broadcast(registry, before)
        for life in self.lives.values():
            if self.now >= life.next_call_at:
                self.make_calls(life)
        for proxy in self.proxies:
            for registry in self.registries:
                proxy.receive(registry)
            proxy.view.expire_backends(self.now)
            proxy.apply_changes()

    # --- messages ----------------------------------------------------------------------------------

    def send(self, proxy: ProxyModel, registry: RegistryModel, update: Update) -> None:
        link = proxy.links[registry.name]
        if link is None:
            return
        delay_s = LINK_DELAYS_S[0] if self.is_calm else self.random.choice(LINK_DELAYS_S)
        arrives_at = max(self.now + delay_s, link[-1][0] if link else 0.0)  # a link keeps the order
        link.append((arrives_at, update))

    def broadcast(self, registry: RegistryModel, before: int) -> None:
        """Send the changes after a change number to all connected proxies."""
        changes = registry.records.changes_since(before, self.now) or []
        for batch in split_changes(before, registry.records.last_change, changes):
            for proxy in self.proxies:
                self.send(proxy, registry, batch)

    def send_snapshot(self, proxy: ProxyModel, registry: RegistryModel) -> None:
        """Send what a proxy that connects does not know yet."""
        known, changes = proxy.view.registry(registry.name), None
        if known.incarnation_id == registry.incarnation_id:
            changes = registry.records.changes_since(known.last_sequence, self.now)
        entries = registry.records.encode_all(self.now) if changes is None else changes
        first, *others = split_changes(known.last_sequence, registry.records.last_change, entries)
        snapshot = Snapshot(registry.incarnation_id, first.last, changes is None, first.backends)
        updates: list[Update] = [snapshot, *others]
        for update in updates:
            self.send(proxy, registry, update)

    def connect_all(self) -> None:
        for proxy in self.proxies:
            for registry in self.registries:
                self.connect(proxy, registry)

    def connect(self, proxy: ProxyModel, registry: RegistryModel) -> None:
        if proxy.links[registry.name] is None:
            proxy.links[registry.name] = []
            self.send_snapshot(proxy, registry)

    def disconnect(self, proxy: ProxyModel, registry: RegistryModel) -> None:
        proxy.links[registry.name] = None
        if proxy.view.registry(registry.name).connected:
            proxy.view.on_disconnected(registry.name, self.now)
            proxy.apply_changes()

    # --- backends ----------------------------------------------------------------------------------

    def start_backend(self, machine: int, service: int | None = None) -> None:
        """Start a new life of the backend at a machine's address."""
        self.life_count += 1
        name = f"service-{machine % SERVICES if service is None else service}"
        target = self.random.choice(self.registries)
        self.lives[machine] = BackendLife(
            f"i-{machine}-{self.life_count}", name, f"10.0.0.{machine + 1}:80", target, self.now
        )

    def make_calls(self, life: BackendLife) -> None:
        """Send a heartbeat; one may be lost, go to another registry, or be sent to a second one as well."""
        life.next_call_at = self.now + HEARTBEAT_S
        if self.is_calm:
            self.heartbeat(life, life.target)
            return
        if self.random.random() < 0.1:
            return
        if self.random.random() < 0.15:
            life.target = self.random.choice(self.registries)
        self.heartbeat(life, life.target)
        if self.random.random() < 0.1:
            self.heartbeat(life, self.random.choice(self.registries))

    def heartbeat(self, life: BackendLife, registry: RegistryModel) -> None:
        life.call_seq += 1
        body = {
            "service_name": life.service, "address": life.address, "zone_name": "hall",
            "oper_state": life.oper_state, "capacity": 2, "call_seq": life.call_seq, "warmup_left": "0ms",
        }  # fmt: skip
        before = registry.records.last_change
        if registry.records.heartbeat(life.id, body, self.now):
            self.broadcast(registry, before)

    def deregister(self, life: BackendLife) -> None:
        registry = self.random.choice(self.registries)
        before = registry.records.last_change
        if registry.records.deregister(life.id, self.now):
            self.broadcast(registry, before)

    # --- faults ------------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        draw = self.random.random()
        if draw < 0.6:
            self.change_machine(self.random.randrange(MACHINES))
        elif draw < 0.75:
            self.disconnect(self.random.choice(self.proxies), self.random.choice(self.registries))
        elif draw < 0.95:
            self.connect(self.random.choice(self.proxies), self.random.choice(self.registries))
        else:
            registry = self.random.choice(self.registries)
            registry.restart()
            for proxy in self.proxies:
                self.disconnect(proxy, registry)

    def change_machine(self, machine: int) -> None:
        """Start, crash, restart or take away the backend of a machine, or give its address to another one."""
        life, draw = self.lives.get(machine), self.random.random()
        if life is None:
            self.start_backend(machine)
        elif draw < 0.4:
            del self.lives[machine]
        elif draw < 0.65:
            self.start_backend(machine)
        elif draw < 0.75:
            self.start_backend(machine, service=(machine + 1) % SERVICES)
        elif draw < 0.9:
            life.oper_state = "quiescing"
        else:
            del self.lives[machine]
            self.deregister(life)
