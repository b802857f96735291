"""Backends that fail what they are sent while they call in good order, by what several doors met.  Pure.

A door of a large fleet meets one backend every twenty seconds, and has learned nothing when the trouble is
over; all doors together know within a few requests.  No single door's word counts, as it may be that door's
own trouble.  Where much of a service would be shut out the rule itself is taken to be wrong: it may be the
service, or the way to it, and then shutting out makes it worse.  What is shut out comes back soon, and later
each time that it fails anew.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SPAN = 2.0  # seconds within which failures count together
LEAST = 3  # of them
DOORS = 2  # that met them, where there are as many
FIRST, MOST = 2.0, 8.0  # seconds for which a backend is left alone
AGAIN = 4.0  # seconds behind that within which it counts as the same trouble
PART = 1 / 3  # of a service, the most that is left alone at once
MAX_KNOWN = 5000  # backends


@dataclass(slots=True)
class Seen:
    met: deque[tuple[float, str, int]] = field(default_factory=deque)  # when, by which door, how many
    until: float = 0.0  # left alone until then
    span: float = 0.0


@dataclass(slots=True)
class Grey:
    seen: dict[str, Seen] = field(default_factory=dict)

    def hear(self, door: str, backend: str, count: int, doors: int, peers: list[str], now: float) -> float:
        """A door's failures at a backend; for how many seconds all doors leave it alone, 0 for not.

        `doors`: how many are connected; `peers`: the backends in service of its service, itself among them.
        """
        found = self.seen.get(backend)
        if found is None:
            if len(self.seen) >= MAX_KNOWN:
                self.forget(now)
            found = self.seen[backend] = Seen()
        found.met.append((now, door, count))
        while found.met[0][0] < now - SPAN:
            found.met.popleft()
        if now < found.until or sum(n for _, _, n in found.met) < LEAST:
            return 0.0
        if len({name for _, name, _ in found.met}) < min(DOORS, doors):
            return 0.0
        out = sum(peer in self.seen and self.seen[peer].until > now for peer in peers)
        if out + 1 > max(1.0, PART * len(peers)):
            return 0.0
        again = now < found.until + AGAIN
        found.span = min(MOST, 2 * found.span) if again and found.span else FIRST
        found.until = now + found.span
        found.met.clear()
        return found.span

    def forget(self, now: float) -> None:
        self.seen = {id: seen for id, seen in self.seen.items() if seen.until + AGAIN > now}
