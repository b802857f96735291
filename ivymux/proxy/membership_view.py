"""A proxy's view of backends, other proxies and core machines, merged from all registries.  Pure.

Each registry reports only what it received itself; registries do not copy one another.  For a backend, the
report with the highest `call_seq` decides, with two exceptions: the end of a backend is final whichever
registry reports it, and a backend that is up at one registry is not lost because it calls another one no
longer.  A backend that no connected registry lists is kept for a while: the registry that received its
heartbeats may have just failed, and another one will receive them.

Several backends may be known at one address, as a crash is noticed late.  The address belongs to one of them
(`address_claims.py`); the others count as gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ivymux.proxy.address_claims import AddressClaims

ORPHAN_RETENTION_S = 6.0  # for a backend that no connected registry lists as alive
ENDED_RETENTION_S = 120.0  # for the id of a backend that has ended
# States of a backend.
UP, QUIESCING, LOST, OFF = "up", "quiescing", "lost", "off"


class MembershipError(ValueError):
    """A registry's message is malformed."""


class BackendReport(NamedTuple):
    """One registry's latest report on a backend."""

    call_seq: int
    state: str


@dataclass(slots=True)
class Backend:
    """A backend, with its state as derived from all registries' reports."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int  # requests that it handles at the same time
    state: str
    call_seq: int  # orders the backend's heartbeats
    warm_until: float  # end of its warm-up, in steady seconds
    number: int  # identifies the backend in this proxy's decision module
    last_listed_at: float = 0.0  # when a connected registry last listed it
    reports: dict[str, BackendReport] = field(default_factory=dict)  # by registry


@dataclass(frozen=True, slots=True)
class ProxyLocation:
    """A proxy, as a registry reports it."""

    address: str
    port: int
    zone: str
    joined_at: float  # in the local process's steady seconds

    @classmethod
    def decode(cls, entry: Any, now: float) -> ProxyLocation:
        _, address, port, zone, age = entry
        return cls(str(address), int(port), str(zone), now - max(0.0, float(age)))


@dataclass(slots=True)
class RegistryState:
    """One registry, as of the current or the last connection to it."""

    incarnation_id: str = ""
    last_sequence: int = 0  # number of the last change received
    proxies: dict[str, ProxyLocation] = field(default_factory=dict)
    sends_proxy_lists: bool = False
    connected: bool = False


class MembershipView:
    """Backends and proxies as all registries report them."""

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.by_number: dict[int, Backend] = {}
        self.registries: dict[str, RegistryState] = {}
        self.address_claims = AddressClaims()
        self.last_number = 0
        self.changed: dict[int, Backend] = {}  # since the last `drain_changes`
        self.proxies_changed = False

    def registry(self, name: str) -> RegistryState:
        return self.registries.setdefault(name, RegistryState())

    def apply_snapshot(
        self, name: str, incarnation_id: str, sequence: int, complete: bool, backends: Any, proxies: Any,
        now: float,
    ) -> None:  # fmt: skip
        """Apply a registry's first message on a connection.

        It lists all backends if `complete`, otherwise those that changed since the last message.
        `proxies`: None if this registry sends no lists of proxies.
        """
        registry = self.registry(name)
        registry.incarnation_id, registry.last_sequence, registry.connected = incarnation_id, sequence, True
        registry.sends_proxy_lists = proxies is not None
        registry.proxies = {str(entry[0]): ProxyLocation.decode(entry, now) for entry in proxies or ()}
        self.proxies_changed = True
        for backend in self.backends.values():
            if name not in backend.reports:
                continue
            if complete:
                del backend.reports[name]
            self.recompute_state(backend, now)  # without changes, what it reported before holds again
        self.apply_backends(name, backends, now)

    def apply_changes(self, name: str, previous: int, sequence: int, backends: Any, now: float) -> bool:
        """Apply numbered changes; return False, and apply none, if earlier changes are missing."""
        registry = self.registry(name)
        if previous != registry.last_sequence:
            return False
        registry.last_sequence = sequence
        self.apply_backends(name, backends, now)
        return True

    def apply_backends(self, name: str, backends: Any, now: float) -> None:
        try:
            for id, service, address, zone, capacity, state, call_seq, warm_up_left in backends:
                self.apply_backend(
                    name, str(id), str(service), str(address), str(zone), int(capacity), str(state),
                    int(call_seq), now + float(warm_up_left), now,
                )  # fmt: skip
        except (TypeError, ValueError) as error:
            raise MembershipError(f"malformed backend entry: {error}") from None

    def apply_backend(
        self, name: str, id: str, service: str, address: str, zone: str, capacity: int, state: str,
        call_seq: int, warm_until: float, now: float,
    ) -> None:  # fmt: skip
        backend = self.backends.get(id)
        if backend is None:
            self.last_number += 1
            number = self.last_number
            backend = Backend(id, service, address, zone, capacity, state, call_seq, warm_until, number)
            self.backends[id] = self.by_number[number] = backend
            self.address_claims.claim(id, address)
            self.mark_changed(backend)
        elif call_seq >= backend.call_seq and state != OFF and backend.state != OFF:
            is_moved = backend.address != address
            if is_moved:
                self.mark_changed(backend)
                self.address_claims.release(id, backend.address)
                self.address_claims.claim(id, address)
            if is_moved or backend.service != service:
                backend.service, backend.address = service, address
                self.mark_changed(backend)
            backend.zone, backend.capacity = zone, capacity
        report = BackendReport(call_seq, state)
        if backend.reports.get(name) != report and backend.state == QUIESCING:
            self.mark_changed(backend)  # who holds its address may have changed
        backend.reports[name] = report
        backend.last_listed_at = now
        self.recompute_state(backend, now)

    def recompute_state(self, backend: Backend, now: float) -> None:
        """Derive a backend's state from the reports of all registries."""
        previous = backend.state
        if previous == OFF:
            return
        connected = self.connected_reports(backend)
        if any(report.state == OFF for report in backend.reports.values()):
            state = OFF
        elif not connected:
            state = previous
        else:
            call_seq = max(backend.call_seq, *(report.call_seq for report in connected))
            newest = [report.state for report in connected if report.call_seq == call_seq]
            if previous == QUIESCING or QUIESCING in newest:
                state = QUIESCING
            elif any(report.state == UP for report in connected):
                state = UP  # calls that change nothing are not reported, so its number may be the lower one
            else:
                state = LOST if newest else previous  # the newest report is of a disconnected registry
            backend.call_seq = call_seq
        if state != previous:
            backend.state = state
            self.mark_changed(backend)

    def connected_reports(self, backend: Backend) -> list[BackendReport]:
        """Return the reports on a backend of the registries that are connected."""
        return [report for name, report in backend.reports.items() if self.registry(name).connected]

    def mark_changed(self, backend: Backend) -> None:
        """Note a change of a backend, which may also change who else at its address holds that address."""
        for id in self.address_claims.at(backend.address):
            known = self.backends[id]
            self.changed[known.number] = known

    def holds_address(self, backend: Backend) -> bool:
        """Whether requests to a backend's address reach this backend, as far as is known."""

        def is_serving(id: str) -> bool:
            return self.is_alive(self.backends[id])

        return self.address_claims.holder(backend.address, is_serving) == backend.id

    def is_alive(self, backend: Backend) -> bool:
        """Whether a backend runs, as far as is known.

        One that quiesces keeps that state when it falls silent, so its reports decide.
        """
        if backend.state != QUIESCING:
            return backend.state == UP
        reports = self.connected_reports(backend)
        return not reports or any(report.state != LOST for report in reports)

    def present_backends(self) -> list[Backend]:
        """Return the backends but those whose address belongs to another one by now."""
        return [backend for backend in self.backends.values() if self.holds_address(backend)]

    def on_disconnected(self, name: str, now: float) -> None:
        """Handle the end of the connection to a registry."""
        registry = self.registry(name)
        registry.connected, registry.sends_proxy_lists = False, False
        registry.proxies, self.proxies_changed = {}, True
        for backend in self.backends.values():
            if name in backend.reports:
                backend.last_listed_at = now

    def expire_backends(self, now: float) -> None:
        """Expire backends that no registry hears any more, only while at least one is connected."""
        connected = {name for name, registry in self.registries.items() if registry.connected}
        if not connected:
            return
        for backend in list(self.backends.values()):
            if backend.state not in (OFF, LOST) and is_listed(backend, connected):
                backend.last_listed_at = now
                continue
            unlisted_for = now - backend.last_listed_at
            if backend.state in (UP, QUIESCING) and unlisted_for > ORPHAN_RETENTION_S:
                # One that quiesces never returns to service, so it has ended.
                backend.state = LOST if backend.state == UP else OFF
                self.mark_changed(backend)
            elif backend.state in (OFF, LOST) and unlisted_for > ENDED_RETENTION_S:
                self.forget(backend)

    def forget(self, backend: Backend) -> None:
        """Remove a backend that ended long ago; the next `drain_changes` names it a last time, as ended."""
        backend.state = OFF
        self.mark_changed(backend)
        self.address_claims.release(backend.id, backend.address)
        del self.backends[backend.id], self.by_number[backend.number]

    def drain_changes(self) -> list[Backend]:
        """Return the backends that changed since the last call."""
        changed, self.changed = list(self.changed.values()), {}
        return changed

    def update_proxies(self, name: str, joined: Any, left: Any, now: float) -> None:
        """Apply a registry's report of proxies that joined, and of the ids of those that left."""
        registry = self.registry(name)
        registry.sends_proxy_lists = True
        for entry in joined:
            registry.proxies[str(entry[0])] = ProxyLocation.decode(entry, now)
        for id in left:
            registry.proxies.pop(str(id), None)
        self.proxies_changed = True

    def proxies(self) -> dict[str, ProxyLocation]:
        """Return all proxies that a connected registry lists, by id, each with its earliest join time."""
        found: dict[str, ProxyLocation] = {}
        for registry in self.registries.values():
            if registry.connected:
                for id, location in registry.proxies.items():
                    if id not in found or location.joined_at < found[id].joined_at:
                        found[id] = location
        return found

    def has_proxy_list(self) -> bool:
        """Whether any connected registry has sent a list of proxies."""
        return any(r.connected and r.sends_proxy_lists for r in self.registries.values())

    def is_connected(self) -> bool:
        """Whether any registry is connected."""
        return any(registry.connected for registry in self.registries.values())


def is_listed(backend: Backend, registries: set[str]) -> bool:
    """Whether any of some registries lists a backend as alive."""
    for name, report in backend.reports.items():  # noqa: SIM110  # a generator takes three times as long
        if name in registries and report.state != LOST:
            return True
    return False
