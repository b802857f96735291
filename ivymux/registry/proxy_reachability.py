"""Whether this registry reaches the proxies, as far as it can tell.  Pure.

A registry that is cut off still hears backends of its side.  What it acknowledges binds every proxy, so it
says that it cannot where it reaches less than half of the proxies that it held a connection of of late: the
backend's call then goes on to another registry.  What it was told is passed on to those that it does reach.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

REMEMBERED = 20.0  # seconds for which a proxy whose connection ended counts, unless it comes back


@dataclass(slots=True)
class ProxyReach:
    """Addresses of proxies; times are steady seconds."""

    held: dict[str, int] = field(default_factory=dict)  # connections by address
    lost: dict[str, float] = field(default_factory=dict)  # when the last connection of an address ended

    def connected(self, address: str) -> None:
        self.held[address] = self.held.get(address, 0) + 1
        self.lost.pop(address, None)

    def disconnected(self, address: str, now: float) -> None:
        left = self.held.get(address, 0) - 1
        if left > 0:
            self.held[address] = left
        else:
            self.held.pop(address, None)
            self.lost[address] = now

    def suffices(self, heard: Iterable[str], now: float) -> bool:
        """Whether the proxies that have heard are at least half of those that there may be."""
        self.lost = {address: at for address, at in self.lost.items() if now - at < REMEMBERED}
        return 2 * len(set(heard)) >= len(self.held.keys() | self.lost.keys())
