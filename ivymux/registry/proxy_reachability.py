"""Whether this registry reaches enough proxies to acknowledge a call.  Pure.

A registry on one side of a network partition still gets heartbeats from the backends of that side.  An
acknowledged call must hold at all proxies, so the registry refuses to acknowledge while it reaches less than
half of the proxies that were connected recently; the backend then repeats its call at another registry.
The change itself is still passed on to the proxies that are connected.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

RETENTION_S = 20.0  # a disconnected proxy counts this long unless it comes back


@dataclass(slots=True)
class ProxyReachability:
    """The recently connected proxies by address; times are steady seconds."""

    connections: dict[str, int] = field(default_factory=dict)  # open connections by address
    disconnected_at: dict[str, float] = field(default_factory=dict)  # end of an address's last connection

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
        """Whether the `reached` proxies are at least half of all recently connected ones."""
        self.disconnected_at = {
            address: at for address, at in self.disconnected_at.items() if now - at < RETENTION_S
        }
        return 2 * len(set(reached)) >= len(self.connections.keys() | self.disconnected_at.keys())
