"""Quota counters of many tenants in Redis.

A separate module, so that gateways without Redis do not load the Redis client into memory.
"""

from __future__ import annotations

from ivymux.hosting.tenant_counters import deliver_to_recipient, reject_unrouted
from ivymux.tally.clock import SharedClock
from ivymux.tally.engine import RedisPart
from ivymux.tally.redis import RedisCounter
from orchidhill.interface import Count, Counted, Late


class SharedRedisCounter(RedisCounter):
    """The connections to Redis that all tenants use."""

    def __init__(self, part: RedisPart, timeout: float, clock: SharedClock) -> None:
        super().__init__(part, timeout, reject_unrouted, clock)

    def deliver(self, count: Count, result: Counted | Late) -> None:
        deliver_to_recipient(count, result)
