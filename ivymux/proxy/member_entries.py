"""The membership view's changes as the decision module and the connections take them.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ivymux.data_plane.limits import Address, ConfigError, parse_address
from ivymux.proxy.membership_view import LOST, OFF, UP, Backend, MembershipView
from ivymux.proxy.name_tables import NameTables
from orchidhill import interface as i
from orchidhill.interface import State
from orchidhill.proxy_backends import SILENT

WARM_UP_S = 3.0  # for which a backend is slow after its start


@dataclass(slots=True)
class MemberEntries:
    """Translates changed backends, and remembers which of them the decision module knows."""

    membership: MembershipView
    tables: NameTables
    zone: str  # of this proxy
    instance_ids: dict[int, bytes] = field(default_factory=dict)  # of the known ones, by number
    listing_version: int = 0

    def instance_id(self, backend: int) -> bytes:
        """Return the id that requests to a backend name."""
        return self.instance_ids.get(backend, b"gone")

    def translate(
        self, backends: Iterable[Backend], gateway_time: float, now: float
    ) -> tuple[i.Members, dict[int, Address]]:
        """Return the change for the decision module, and the addresses of the backends in it.

        `gateway_time`: the decision module's time, in Unix seconds; `now`: the view's, in steady seconds.
        """
        entries: list[i.Entry] = []
        addresses: dict[int, Address] = {}
        for backend in backends:
            try:
                address = parse_address(backend.address)
            except ConfigError:
                continue  # backends that had ended when first reported have no address
            state = gateway_state(backend, self.membership.holds_address(backend))
            if state is not State.GONE:
                self.instance_ids[backend.number] = backend.id.encode()
            elif self.instance_ids.pop(backend.number, None) is None:
                continue
            entries.append(self.entry(backend, state, gateway_time, now))
            addresses[backend.number] = address
        self.listing_version += 1
        return i.Members(i.Listing.DELTA, self.listing_version, tuple(entries)), addresses

    def entry(self, backend: Backend, state: State, gateway_time: float, now: float) -> i.Entry:
        is_warming_up = backend.warm_until > now
        started = gateway_time - WARM_UP_S + backend.warm_until - now if is_warming_up else 0.0
        return i.Entry(
            backend.number,
            0 if backend.zone == self.zone else 1,
            started,
            state,
            SILENT if backend.state == LOST else 0,
            0,
            float(backend.capacity),
            self.tables.service_number(backend.service),
        )


def gateway_state(backend: Backend, holds_address: bool) -> State:
    """Return a backend's state in the terms of the decision module."""
    if backend.state == OFF or not holds_address:
        return State.GONE
    return State.READY if backend.state == UP else State.DRAINING
