"""Cuts lists that grow with the system's state into batches that fit into messages.  Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from ivymux.transport.frames import MAX_FRAME_BYTES

# Well below the largest frame, so that heartbeats and leases are not held up behind one message.
MAX_BATCH_BYTES = MAX_FRAME_BYTES // 8

Item = TypeVar("Item")


def split_by_bytes(
    items: Iterable[Item], size_of: Callable[[Item], int], max_bytes: int = MAX_BATCH_BYTES
) -> Iterator[list[Item]]:
    """Yield the items in order, in batches of at most `max_bytes`.

    `size_of`: the encoded bytes of an item.  An item above `max_bytes` is a batch of its own.
    """
    batch: list[Item] = []
    batch_bytes = 0
    for item in items:
        size = size_of(item)
        if batch and batch_bytes + size > max_bytes:
            yield batch
            batch, batch_bytes = [], 0
        batch.append(item)
        batch_bytes += size
    if batch:
        yield batch
