"""Plans the repair of a backup's record store: which keys go into which message.  Pure.

A range of keys goes into one message whole where it fits.  A larger one is cut into intervals of keys, each
of which the backup makes equal to the primary's copy by itself: at no time does it lack a record that both
hold.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice

import msgspec

from ivymux.idempotency.record_store import (
    KEY_DIGITS,
    IdempotencyRecord,
    KeyInterval,
    key_range,
    range_interval,
)
from ivymux.transport.batching import MAX_BATCH_BYTES, split_by_bytes

# Sent for one comparison; the backup then compares again.  Far less than a connection buffers, so that a
# backup that reads slowly does not lose its connection.
MAX_REPAIR_BATCHES = 4
SEPARATOR_BYTES = 2  # beside a record
INTERVAL_BYTES = 2 * KEY_DIGITS + 16  # of an interval beside its records

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class RepairItem:
    """A whole range of keys, or an interval of one, with its encoded size in bytes."""

    interval: KeyInterval
    whole_range: int | None  # number of the range, None for a part of one
    size: int


def plan_repair(
    records_by_range: Mapping[int, Sequence[IdempotencyRecord]],
    resume_after: str = "",
    max_batch_bytes: int = MAX_BATCH_BYTES,
    max_batches: int = MAX_REPAIR_BATCHES,
) -> list[list[RepairItem]]:
    """Return the items of each of the next messages, in the order of keys.

    What does not fit into `max_batches` is left to the next comparison.  `resume_after`: the last key of an
    interval with which the last plan ended within a range; empty if it ended with a whole range.
    """
    items = (
        item
        for number in sorted(records_by_range)
        for item in range_items(number, records_by_range[number], resume_after, max_batch_bytes)
    )
    batches = split_by_bytes(items, lambda item: item.size, max_batch_bytes)
    return list(islice(batches, max_batches))


def range_items(
    number: int, records: Iterable[IdempotencyRecord], resume_after: str, max_bytes: int
) -> list[RepairItem]:
    """Return a range of keys as one item, or as several if it is larger than `max_bytes`.

    Of the range that `resume_after` lies in, only the keys after it.
    """
    whole = range_interval(number)
    is_resumed = whole.first <= resume_after < whole.last
    first = key_after(resume_after) if is_resumed else whole.first
    ordered = sorted((record for record in records if record.key >= first), key=lambda record: record.key)
    sizes = {record.key: len(_encode(record)) + SEPARATOR_BYTES for record in ordered}
    max_chunk_bytes = max_bytes - INTERVAL_BYTES
    chunks = list(split_by_bytes(ordered, lambda record: sizes[record.key], max_chunk_bytes)) or [[]]
    items: list[RepairItem] = []
    for chunk in chunks:
        is_last = chunk is chunks[-1]
        interval = KeyInterval(first, whole.last if is_last else chunk[-1].key, tuple(chunk))
        size = INTERVAL_BYTES + sum(sizes[record.key] for record in chunk)
        is_whole = len(chunks) == 1 and not is_resumed
        items.append(RepairItem(interval, number if is_whole else None, size))
        if not is_last:
            first = key_after(interval.last)
    return items


def resumption_key(intervals: Sequence[KeyInterval]) -> str:
    """Return after which key the next repair continues; empty if the last interval ends its range."""
    if not intervals:
        return ""
    last = intervals[-1].last
    return "" if last == range_interval(key_range(last)).last else last


def key_after(key: str) -> str:
    """Return the next higher key."""
    return f"{int(key, 16) + 1:0{KEY_DIGITS}x}"
