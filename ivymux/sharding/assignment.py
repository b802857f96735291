"""Which backend should hold each shard: rendezvous hashing with bounded loads.  Pure.

Every backend has a rank for every shard, by a hash of both.  A shard stays where it is unless its holder is
gone or holds too much; otherwise it goes to the backend with the highest rank that has room.  A backend that
holds too little, as one that was just added, takes the shards for which it ranks highest.  So a change of one
backend among n moves about one shard in n.  What a backend holds is counted by the shards' costs: hot shards
count for several.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from ivymux.sharding import SHARDS

MAX_LOAD = 1.15  # times a backend's fair share, up to which it is given shards
MAX_KEPT_LOAD = 1.35  # up to which it keeps them: as backends come and go, fair shares change a little
MIN_LOAD = 0.75  # of it, below which a backend takes shards of others
MAX_RANGES = 64  # about how many separate ranges a backend gets where there are few backends


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend that may hold shards; `name` stays the same when it restarts."""

    id: str
    name: str
    weight: float


@functools.lru_cache(maxsize=1 << 17)
def draw_of(name: str, group: int) -> float:
    """Return the logarithm of a backend's pseudo-random draw between 0 and 1 for a group of shards."""
    digest = blake2b(f"{name} {group}".encode(), digest_size=8).digest()
    return math.log((int.from_bytes(digest, "big") + 1) / (2**64 + 1))


def rank(candidate: Candidate, group: int) -> float:
    """Return a candidate's rank for a group of shards; higher is better, in proportion to its weight."""
    return -candidate.weight / draw_of(candidate.name, group)


class Assignment:
    """An assignment that is being made."""

    def __init__(
        self, current: Sequence[str], candidates: Iterable[Candidate], costs: Sequence[float]
    ) -> None:
        self.costs = costs
        self.candidates = {candidate.id: candidate for candidate in candidates}
        weight = sum(candidate.weight for candidate in self.candidates.values())
        self.fair = {c.id: sum(costs) * c.weight / weight for c in self.candidates.values()}
        self.group_size = max(1, SHARDS // (MAX_RANGES * len(self.candidates)))
        self.holders = [holder if holder in self.candidates else "" for holder in current]
        self.loads = dict.fromkeys(["", *self.candidates], 0.0)
        for shard, holder in enumerate(self.holders):
            self.loads[holder] += costs[shard]

    def rank(self, id: str, shard: int) -> float:
        return rank(self.candidates[id], shard // self.group_size)

    def give(self, shard: int, id: str) -> None:
        self.loads[self.holders[shard]] -= self.costs[shard]
        self.holders[shard] = id
        self.loads[id] += self.costs[shard]

    def shed_excess(self) -> None:
        """Take the shards for which it ranks lowest from each backend that holds too much.

        A shard that costs more than a fair share by itself stays: it would be too much anywhere.
        """
        for id, fair in self.fair.items():
            if self.loads[id] <= MAX_KEPT_LOAD * fair:
                continue
            held = [shard for shard, holder in enumerate(self.holders) if holder == id]
            for shard in sorted(held, key=lambda shard: self.rank(id, shard)):
                if self.loads[id] > MAX_LOAD * fair and self.costs[shard] <= fair:
                    self.give(shard, "")

    def place_rest(self) -> None:
        """Give each shard without a holder to the backend with the highest rank that has room."""
        rest = [shard for shard, holder in enumerate(self.holders) if not holder]
        for shard in sorted(rest, key=lambda shard: -self.costs[shard]):
            free = [
                id
                for id, fair in self.fair.items()
                if self.loads[id] + self.costs[shard] <= MAX_LOAD * fair + 1
            ]
            if free:
                self.give(shard, max(free, key=lambda id: (self.rank(id, shard), id)))
            else:
                self.give(shard, min(self.fair, key=lambda id: (self.loads[id] / self.fair[id], id)))

    def fill_low(self) -> None:
        """Give shards to the backends that hold too little, from those that hold more than their share."""
        for id in sorted(self.candidates):
            missing = MIN_LOAD * self.fair[id] - self.loads[id]
            if missing <= 0:
                continue
            for shard in sorted(range(SHARDS), key=lambda shard: -self.rank(id, shard)):
                holder, cost = self.holders[shard], self.costs[shard]
                if holder != id and cost <= missing and self.loads[holder] > self.fair[holder]:
                    self.give(shard, id)
                    missing -= cost


EQUAL_COSTS = (1.0,) * SHARDS


def assign(
    current: Sequence[str], candidates: Iterable[Candidate], costs: Sequence[float] = EQUAL_COSTS
) -> list[str]:
    """Return the backend that should hold each shard; all are empty if there is no candidate.

    `current`: the present holder of each shard, empty if it has none; `costs`: of each shard, relative to
    their mean.
    """
    candidates = list(candidates)
    if not candidates:
        return [""] * SHARDS
    assignment = Assignment(current, candidates, costs)
    assignment.shed_excess()
    assignment.place_rest()
    assignment.fill_low()
    return assignment.holders
