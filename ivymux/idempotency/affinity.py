"""Which backend a conversation goes to: rendezvous hashing with bounded load.  Pure.

Conversations fall into buckets.  Each bucket has an order of all backends that a hash gives (Thaler and
Ravishankar 1998), and takes the first with room; room is in proportion to capacity, a quarter above the mean
(Mirrokni, Thorup, Zadimoghaddam 2018).  Every door that has the same list of backends makes the same table,
with no word between them; doors that come and go change nothing.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from hashlib import blake2b

BUCKETS = 1024
ROOM = 1.25  # times its part that a backend may have of the buckets
EACH = 8  # weights that one digest gives
_weights = struct.Struct(f">{EACH}Q").unpack


def bucket(tenant: str, name: str) -> int:
    """The bucket of a conversation."""
    digest = blake2b(f"{tenant}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % BUCKETS


def scores(backend: str, capacity: int) -> list[float]:
    """How much each bucket prefers a backend; more for who has more capacity (Schindelhauer 2005)."""
    found: list[float] = []
    for part in range(BUCKETS // EACH):
        for weight in _weights(blake2b(f"{part}\0{backend}".encode(), digest_size=8 * EACH).digest()):
            draw = ((weight >> 12) + 0.5) / 2**52  # between 0 and 1, neither of them
            found.append(-capacity / math.log(draw))
    return found


@dataclass(slots=True)
class Homes:
    """The tables of one door's services, made when they are asked for."""

    backends: dict[str, dict[str, int]] = field(default_factory=dict)  # capacities by id, by service
    tables: dict[str, tuple[str, ...]] = field(default_factory=dict)
    known: dict[tuple[str, int], list[float]] = field(default_factory=dict)

    def set(self, service: str, backends: dict[str, int]) -> None:
        """The backends in service, with their capacities."""
        if self.backends.get(service) != backends:
            self.backends[service] = backends
            self.tables.pop(service, None)

    def home(self, service: str, at: int) -> str:
        """The backend of a bucket; empty where the service has none."""
        table = self.tables.get(service)
        if table is None:
            table = self.tables[service] = self.table(service)
        return table[at] if table else ""

    def table(self, service: str) -> tuple[str, ...]:
        backends = self.backends.get(service) or {}
        if not backends:
            return ()
        used = {(b, c) for there in self.backends.values() for b, c in there.items()}
        self.known = {pair: found for pair, found in self.known.items() if pair in used}
        whole = sum(max(1, c) for c in backends.values())
        columns, room = [], {}
        for backend, capacity in sorted(backends.items()):
            pair = (backend, max(1, capacity))
            if pair not in self.known:
                self.known[pair] = scores(*pair)
            columns.append((backend, self.known[pair]))
            room[backend] = math.ceil(ROOM * BUCKETS * pair[1] / whole)
        found = []
        for at in range(BUCKETS):
            _, best = max((column[at], backend) for backend, column in columns if room[backend])
            room[best] -= 1
            found.append(best)
        return tuple(found)
