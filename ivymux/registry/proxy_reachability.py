"""Whether this registry reaches enough proxies to acknowledge a call.  Pure.

A registry on one side of a network partition still gets heartbeats from the backends of that side.  An
acknowledged call must hold at all proxies, so the registry refuses to acknowledge while it reaches less than
half of the proxies that were connected recently; the backend then repeats its call at another registry.
The change itself is still passed on to the proxies that are connected.

A registry that has just started knows no proxies, and cannot tell whether there are none.  Unless it is the
system's first start, it acknowledges no departure before its machine has reached a majority of the core for
SETTLE_S: the proxies in touch have connected by then.  Calls of backends that stay need no such promise;
refusing them would make backends pause just when all have restarted.  While its machine is cut off, a
registry forgets no proxy.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

RETENTION_S = 20.0  # a disconnected proxy counts this long unless it comes back
SETTLE_S = 1.0  # within which proxies connect to a machine that they reach; they try each 0.1 s


@dataclass(slots=True)
class ProxyReachability:
    """The recently connected proxies by address; times are steady seconds."""

    connections: dict[str, int] = field(default_factory=dict)  # open connections by address
    disconnected_at: dict[str, float] = field(default_factory=dict)  # end of an address's last connection
    knows_fleet: bool = True  # whether the proxies that it has seen are all that it has to reach
    has_contact: bool | None = None  # whether the machine reaches a majority of the core; None: not known yet
    contact_since: float = 0.0

    def update_contact(self, has_contact: bool, now: float) -> None:
        """Note whether the machine reaches a majority of the core, as its config store reports it."""
        self.note_settled(now)
        if has_contact and not self.has_contact:
            self.contact_since = now
            self.disconnected_at = dict.fromkeys(self.disconnected_at, now)
        self.has_contact = has_contact

    def note_settled(self, now: float) -> None:
        """Note that all proxies in touch have connected, once the contact has lasted for SETTLE_S."""
        if self.has_contact and now - self.contact_since >= SETTLE_S:
            self.knows_fleet = True

    def on_connect(self, address: str) -> None:
        self.connections[address] = self.connections.get(address, 0) + 1
        self.disconnected_at.pop(address, None)

    def on_disconnect(self, address: str, now: float) -> None:
        remaining = self.connections.get(address, 0) - 1
        if remaining > 0:
            self.connections[address] = remaining
        else:
            self.connections.pop(address, None)
            self.disconnected_at[address] = now

    def is_sufficient(self, reached: Iterable[str], now: float) -> bool:
        """Whether the `reached` proxies are at least half of all that this registry knows."""
        if self.has_contact is not False:
            self.forget_disconnected(now)
        return 2 * len(set(reached)) >= len(self.connections.keys() | self.disconnected_at.keys())

    def may_confirm_departure(self, reached: Iterable[str], now: float) -> bool:
        """Whether the `reached` proxies suffice for a promise that no proxy sends anything more."""
        self.note_settled(now)
        is_empty = not self.connections and not self.disconnected_at
        if not self.knows_fleet or (is_empty and self.has_contact is False):
            return False
        return self.is_sufficient(reached, now)

    def forget_disconnected(self, now: float) -> None:
        """Drop the proxies that have been disconnected for RETENTION_S."""
        self.disconnected_at = {
            address: at for address, at in self.disconnected_at.items() if now - at < RETENTION_S
        }
