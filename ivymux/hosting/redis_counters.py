"""Tenants' counts on Redis.  Apart from the rest, as its client takes memory that few front doors need."""

from __future__ import annotations

from ivymux.hosting.tenant_counters import nobody, route
from ivymux.tally.clock import SharedClock
from ivymux.tally.engine import RedisPart
from ivymux.tally.redis import RedisCounter
from orchidhill.interface import Count, Counted, Late


class SharedRedis(RedisCounter):
    def __init__(self, part: RedisPart, timeout: float, clock: SharedClock) -> None:
        super().__init__(part, timeout, nobody, clock)

    def tell(self, count: Count, told: Counted | Late) -> None:
        route(count, told)
