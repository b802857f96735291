"""Which backend holds which keys of a service, as the registries report it.  Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ivymux.sharding import KEYS, SHARDS, shard_of

ALL = -1  # the version before a message that names every holder


@dataclass(slots=True)
class ServiceTable:
    """The holders of one service's shards; an empty id: none yet."""

    version: int = ALL
    holders: list[str] = field(default_factory=lambda: [""] * SHARDS)
    requests: Counter[int] = field(default_factory=Counter)  # by shard, since the last `drain_requests`


@dataclass(slots=True)
class ShardTables:
    """The tables of all services that are divided by key."""

    services: dict[str, ServiceTable] = field(default_factory=dict)

    def apply(self, service: str, previous: int, version: int, changes: Any) -> bool:
        """Apply the holders that changed between two versions, with the shards of each.

        Returns False if earlier changes are missing.  Raises TypeError or ValueError for a malformed message.
        """
        table = self.services.setdefault(service, ServiceTable())
        if version <= table.version:
            return True
        if previous not in (ALL, table.version):
            return False
        holders = list(table.holders)
        for backend, shards in changes.items():
            for shard in shards:
                if not 0 <= int(shard) < SHARDS:
                    raise ValueError(f"no such shard: {shard}")
                holders[int(shard)] = str(backend)
        table.version, table.holders = version, holders
        return True

    def holder(self, service: str, key: bytes) -> str | None:
        """Return the id of the backend that holds a key, empty if there is none; None for a malformed key."""
        if not key.isdigit() or len(key) > len(str(KEYS)) or int(key) >= KEYS:
            return None
        table = self.services.get(service)
        return table.holders[shard_of(int(key))] if table is not None else ""

    def count_request(self, service: str, key: bytes) -> None:
        """Count a request on a key that has a holder."""
        self.services[service].requests[shard_of(int(key))] += 1

    def drain_requests(self) -> dict[str, list[tuple[int, int]]]:
        """Return the requests by service and shard since the last call."""
        found = {}
        for service, table in self.services.items():
            if table.requests:
                found[service] = list(table.requests.items())
                table.requests = Counter()
        return found
