"""Home backends of conversations: rendezvous hashing with bounded loads.  Pure.

Conversations are hashed into buckets.  Each bucket ranks all backends by a hash (rendezvous hashing, Thaler
and Ravishankar 1998) and is assigned to the first that has capacity left.  A backend's limit is its share by
capacity plus a quarter (bounded loads; Mirrokni, Thorup, Zadimoghaddam 2018).  Proxies that know the same
backends compute the same table without exchanging messages; the table does not depend on the proxies.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from hashlib import blake2b

BUCKET_COUNT = 1024
MAX_LOAD_FACTOR = 1.25  # limit of a backend's buckets, as a multiple of its share by capacity
WEIGHTS_PER_DIGEST = 8  # 64-bit weights in one 64-byte digest
_unpack_weights = struct.Struct(f">{WEIGHTS_PER_DIGEST}Q").unpack


def bucket_of(tenant: str, name: str) -> int:
    """Return the bucket of a tenant's conversation."""
    digest = blake2b(f"{tenant}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % BUCKET_COUNT


def bucket_scores(backend: str, capacity: int) -> list[float]:
    """Return a backend's score in each bucket, weighted by its capacity (Schindelhauer 2005)."""
    scores: list[float] = []
    for part in range(BUCKET_COUNT // WEIGHTS_PER_DIGEST):
        digest = blake2b(f"{part}\0{backend}".encode(), digest_size=8 * WEIGHTS_PER_DIGEST).digest()
        for weight in _unpack_weights(digest):
            uniform = ((weight >> 12) + 0.5) / 2**52  # strictly between 0 and 1
            scores.append(-capacity / math.log(uniform))
    return scores


@dataclass(slots=True)
class HomeBackends:
    """The home backends of each service's buckets; a service's table is computed on first use."""

    backends: dict[str, dict[str, int]] = field(default_factory=dict)  # capacity by backend, by service
    tables: dict[str, tuple[str, ...]] = field(default_factory=dict)  # backend by bucket, by service
    scores: dict[tuple[str, int], list[float]] = field(default_factory=dict)  # by backend and capacity

    def set_backends(self, service: str, backends: dict[str, int]) -> None:
        """Set a service's backends with their capacities."""
        if self.backends.get(service) != backends:
            self.backends[service] = backends
            self.tables.pop(service, None)

    def home_backend(self, service: str, bucket: int) -> str:
        """Return the home backend of a bucket; empty where the service has no backends."""
        table = self.tables.get(service)
        if table is None:
            table = self.tables[service] = self.compute_table(service)
        return table[bucket] if table else ""

    def compute_table(self, service: str) -> tuple[str, ...]:
        """Return the backend of each bucket."""
        backends = self.backends.get(service) or {}
        if not backends:
            return ()
        self.drop_unused_scores()
        total_capacity = sum(max(1, capacity) for capacity in backends.values())
        columns, free = [], {}
        for backend, capacity in sorted(backends.items()):
            key = (backend, max(1, capacity))
            if key not in self.scores:
                self.scores[key] = bucket_scores(*key)
            columns.append((backend, self.scores[key]))
            free[backend] = math.ceil(MAX_LOAD_FACTOR * BUCKET_COUNT * key[1] / total_capacity)
        table = []
        for bucket in range(BUCKET_COUNT):
            _, best = max((scores[bucket], backend) for backend, scores in columns if free[backend])
            free[best] -= 1
            table.append(best)
        return tuple(table)

    def drop_unused_scores(self) -> None:
        """Drop the scores of backends that no service has any longer."""
        used = {
            (backend, capacity)
            for backends in self.backends.values()
            for backend, capacity in backends.items()
        }
        self.scores = {key: scores for key, scores in self.scores.items() if key in used}
