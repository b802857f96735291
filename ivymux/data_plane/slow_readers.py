"""Which clients lose their connections when too many bytes of answers wait to be read.  Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TypeVar

Client = TypeVar("Client")
MIN_OBSERVATION_S = 0.25  # before which a client's rate says nothing
PATIENCE_S = 2.0  # that a reader has while one answer to another client waits for room
MIN_PATIENCE_S = 0.5  # the same while many wait; a client on a busy machine may read nothing for less
SLOW_READER_S = 10.0  # a client that will have read its answers within this time is not closed for others


class ReadProgress:
    """How far a client with a full write buffer has come in reading its answers."""

    __slots__ = ("at", "held_bytes", "read_bytes", "since", "unsent_bytes")

    def __init__(self, now: float, unsent_bytes: int, held_bytes: int) -> None:
        self.since = now  # monotonic time at which its buffer became full
        self.at = now  # monotonic time at which it was last seen to have read something
        self.unsent_bytes = unsent_bytes
        self.held_bytes = held_bytes  # the memory of the answers that wait for it
        self.read_bytes = 0

    def update(self, now: float, unsent_bytes: int, held_bytes: int) -> None:
        """Note how much is still unsent, and how much memory is held for it."""
        if unsent_bytes < self.unsent_bytes:
            self.at = now
            self.read_bytes += self.unsent_bytes - unsent_bytes
        self.unsent_bytes, self.held_bytes = unsent_bytes, held_bytes

    def remaining_s(self, now: float) -> float:
        """Return for how long the client will go on reading at its rate; infinite if it read nothing."""
        observed_s = now - self.since
        if observed_s < MIN_OBSERVATION_S:
            return 0.0
        return self.unsent_bytes * observed_s / self.read_bytes if self.read_bytes else float("inf")


def slowest(
    readers: Mapping[Client, ReadProgress], now: float, max_clients: int, max_bytes: int
) -> Iterator[Client]:
    """Yield the clients to close so that the others keep within the limits, those that need longest first.

    Of clients that have been observed too briefly, the one with the most unsent bytes goes first.  A client
    alone may hold more than `max_bytes`: an answer may be longer than that.
    """
    count, held_bytes = len(readers), sum(progress.held_bytes for progress in readers.values())
    if count <= max_clients and (held_bytes <= max_bytes or count == 1):
        return
    by_need = sorted(
        readers.items(), key=lambda item: (item[1].remaining_s(now), item[1].unsent_bytes), reverse=True
    )
    for client, progress in by_need:
        if count <= max_clients and (held_bytes <= max_bytes or count == 1):
            return
        count, held_bytes = count - 1, held_bytes - progress.held_bytes
        yield client


def readers_to_close(readers: Mapping[Client, ReadProgress], now: float, waiting_count: int) -> list[Client]:
    """Return the clients to close because `waiting_count` answers to others wait for room, slowest first.

    The more answers wait, the less time a reader has had.  Clients that will have read their answers within
    SLOW_READER_S are kept.
    """
    if not waiting_count:
        return []
    observation_s = max(MIN_PATIENCE_S, PATIENCE_S / waiting_count)
    remaining_s = {
        client: progress.remaining_s(now)
        for client, progress in readers.items()
        if now - progress.since >= observation_s
    }
    slow = [client for client in remaining_s if remaining_s[client] > SLOW_READER_S]
    return sorted(slow, key=lambda client: remaining_s[client], reverse=True)[:waiting_count]
