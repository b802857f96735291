"""How busy each shard of a service is, from the proxies' counts of requests.  Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ivymux.sharding import SHARDS, ShardingError

WINDOW_S = 10.0  # over which counts fade to a third
PRIOR_COUNT = 4.0  # added to each shard's count, so that a few requests more do not make a shard hot


@dataclass(slots=True)
class ShardLoads:
    """Fading counts of the requests on each shard."""

    counts: list[float] = field(default_factory=lambda: [0.0] * SHARDS)
    faded_at: float = 0.0

    def add(self, counts: Iterable[tuple[int, int]], now: float) -> None:
        """Add requests by shard.  Raises ShardingError."""
        self.fade(now)
        for shard, count in counts:
            if not 0 <= shard < SHARDS or count < 0:
                raise ShardingError(f"{count} requests on shard {shard}; there are {SHARDS} shards")
            self.counts[shard] += count

    def fade(self, now: float) -> None:
        factor = math.exp(min(0.0, self.faded_at - now) / WINDOW_S)
        self.counts = [count * factor for count in self.counts]
        self.faded_at = max(self.faded_at, now)

    def costs(self) -> list[float]:
        """Return the cost of each shard, relative to their mean."""
        mean = sum(self.counts) / SHARDS + PRIOR_COUNT
        return [(count + PRIOR_COUNT) / mean for count in self.counts]
