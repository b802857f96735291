"""Which backend holds each shard of a service, with its fencing token, as it is stored and sent.  Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from ivymux.sharding import KEYS, KEYS_PER_SHARD, SHARDS, ShardingError


class ShardHolder(NamedTuple):
    """The backend to which a shard is leased; an empty id: none yet."""

    backend: str = ""
    fence: int = 0


class KeyRow(NamedTuple):
    """A range of keys, both ends inside, as backends name it."""

    first: int
    last: int
    fence: int
    handover: str = ""


@dataclass(frozen=True, slots=True)
class ShardTable:
    """The holders of all shards of one service."""

    holders: tuple[ShardHolder, ...] = (ShardHolder(),) * SHARDS

    def encode(self) -> str:
        """Return the text that is stored: the backends' ids, and for each shard the id's place and fence."""
        ids = sorted({holder.backend for holder in self.holders})
        places = {id: place for place, id in enumerate(ids)}
        shards = [(places[holder.backend], holder.fence) for holder in self.holders]
        return msgspec.json.encode({"backends": ids, "shards": shards}).decode()

    @classmethod
    def decode(cls, text: str) -> ShardTable:
        """Return the table of a stored text.  Raises ShardingError."""
        try:
            fields = msgspec.json.decode(text)
            ids = [str(id) for id in fields["backends"]]
            holders = tuple(ShardHolder(ids[place], int(fence)) for place, fence in fields["shards"])
        except (msgspec.DecodeError, KeyError, IndexError, TypeError, ValueError) as error:
            raise ShardingError(f"a malformed table of shards: {error}") from None
        if len(holders) != SHARDS:
            raise ShardingError(f"a table of {len(holders)} shards; {SHARDS} are expected")
        return cls(holders)

    def highest_fence(self) -> int:
        return max(holder.fence for holder in self.holders)

    def shards_by_holder(self) -> dict[str, list[int]]:
        """Return the shards of each backend, in ascending order."""
        found: dict[str, list[int]] = {}
        for shard, holder in enumerate(self.holders):
            found.setdefault(holder.backend, []).append(shard)
        return found


def rows_of(shards: Iterable[tuple[int, int, str]]) -> list[KeyRow]:
    """Return the key ranges of shards, each given with its fence and its handover code, in ascending order.

    Neighbours with the same fence and no handover code share a row.
    """
    rows: list[KeyRow] = []
    for shard, fence, handover in shards:
        first, last = shard * KEYS_PER_SHARD, (shard + 1) * KEYS_PER_SHARD - 1
        before = rows[-1] if rows else None
        if before is not None and (before.last + 1, before.fence, before.handover, handover) == (
            first, fence, "", "",
        ):  # fmt: skip
            rows[-1] = before._replace(last=last)
        else:
            rows.append(KeyRow(first, last, fence, handover))
    return rows


def parse_rows(value: Any) -> list[tuple[int, int, Any]]:
    """Return the rows of a backend's call: first key, last key, and what it gives for them.

    Raises ShardingError.
    """
    if not isinstance(value, list):
        raise ShardingError("write a list of rows [from, to, ...]")
    rows = []
    for row in value:
        if not isinstance(row, list) or len(row) != 3 or not is_range(row[0], row[1]):
            raise ShardingError(f"{row!r}: write [from, to, ...] with keys from 0 to {KEYS - 1}")
        rows.append((row[0], row[1], row[2]))
    return rows


def is_range(first: Any, last: Any) -> bool:
    are_numbers = all(isinstance(key, int) and not isinstance(key, bool) for key in (first, last))
    return are_numbers and 0 <= first <= last < KEYS


def shards_within(first: int, last: int) -> Iterator[int]:
    """Yield the shards whose keys are all in a range."""
    yield from range(-(-first // KEYS_PER_SHARD), (last + 1) // KEYS_PER_SHARD)


def shards_touched(first: int, last: int) -> Iterator[int]:
    """Yield the shards of which any key is in a range."""
    yield from range(first // KEYS_PER_SHARD, last // KEYS_PER_SHARD + 1)
