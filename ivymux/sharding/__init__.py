"""Services whose keys are divided among their backends: who holds which keys, and how keys move.  Pure.

Requests of such a service carry a key.  The keys are divided into shards of equal size; a shard is leased to
one backend at a time, with a fencing token that grows with each change of its holder.
"""

KEYS = 1 << 16
SHARDS = 512
KEYS_PER_SHARD = KEYS // SHARDS
SETTING_PREFIX = "shards/"  # of the replicated settings that hold the tables, followed by the service's name


class ShardingError(ValueError):
    """A malformed key, row or table."""


def shard_of(key: int) -> int:
    """Return the shard of a key from 0 to KEYS - 1."""
    return key // KEYS_PER_SHARD
