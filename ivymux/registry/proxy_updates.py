"""Messages to proxies about backends and proxies, cut by bytes where a list is long.  Pure.

Changes of backends are sent in the order of their numbers.  A list that is cut after some change continues
with it, so a proxy that loses its connection in between gets the others with its next snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

import msgspec

from ivymux.registry import message_kinds as kinds
from ivymux.transport.batching import MAX_BATCH_BYTES, split_by_bytes
from ivymux.transport.frames import Message

_encode = msgspec.json.Encoder().encode


class NumberedEntry(NamedTuple):
    """A backend as messages carry it, with the number of its last change."""

    change_number: int
    fields: list[Any]


class ChangeBatch(NamedTuple):
    """The backends that changed after one change, up to and including another."""

    previous: int
    last: int
    backends: list[list[Any]]


def split_changes(
    previous: int, last: int, entries: Iterable[NumberedEntry], max_bytes: int = MAX_BATCH_BYTES
) -> list[ChangeBatch]:
    """Return the changes after `previous`, up to `last`, in batches of at most `max_bytes`; at least one."""
    ordered = sorted(entries, key=lambda entry: entry.change_number)
    parts = list(split_by_bytes(ordered, lambda entry: len(_encode(entry.fields)), max_bytes)) or [[]]
    batches: list[ChangeBatch] = []
    for part in parts:
        number = last if part is parts[-1] else part[-1].change_number
        batches.append(ChangeBatch(previous, number, [entry.fields for entry in part]))
        previous = number
    return batches


def change_message(batch: ChangeBatch) -> Message:
    """Return the message with a batch of changes."""
    return {"k": kinds.BACKEND_CHANGES, "f": batch.previous, "n": batch.last, "i": batch.backends}


def proxy_change_messages(
    joined: Iterable[list[Any]], left: Iterable[str], max_bytes: int = MAX_BATCH_BYTES
) -> Iterator[Message]:
    """Yield the messages with proxies that joined, and the ids of those that left; none if there are none."""
    for batch in split_by_bytes([*joined, *left], lambda item: len(_encode(item)), max_bytes):
        yield {
            "k": kinds.PROXY_CHANGES,
            "on": [item for item in batch if isinstance(item, list)],
            "off": [item for item in batch if isinstance(item, str)],
        }


def snapshot_messages(
    fields: Message,
    batches: Sequence[ChangeBatch],
    proxies: Iterable[list[Any]],
    max_bytes: int = MAX_BATCH_BYTES,
) -> Iterator[Message]:
    """Yield the first message to a proxy that connects, then those with what does not fit into it.

    `fields`: of the snapshot, but for the lists and the number of the last change in it.
    """
    first, *others = batches
    proxy_batches = list(split_by_bytes(proxies, lambda proxy: len(_encode(proxy)), max_bytes)) or [[]]
    yield {"k": kinds.SNAPSHOT, **fields, "n": first.last, "i": first.backends, "doors": proxy_batches[0]}
    for batch in others:
        yield change_message(batch)
    for proxy_batch in proxy_batches[1:]:
        yield from proxy_change_messages(proxy_batch, [], max_bytes)
