"""Bounds the memory of messages that have not arrived whole, on all connections of a listener.  Pure."""

from __future__ import annotations

from typing import Protocol

MIN_COUNTED_BYTES = 16 << 10  # shorter ones are bounded by the number of connections


class Peer(Protocol):
    """A connection, as far as its choice as a victim goes."""

    @property
    def has_received_message(self) -> bool: ...


class PartialFrames:
    """The sizes of the messages that are arriving, by connection."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.sizes: dict[Peer, int] = {}
        self.total = 0

    def update(self, peer: Peer, size: int) -> Peer | None:
        """Note how much a connection holds; return one to close if all hold too much.

        A connection that has not sent a whole message yet goes first, then the one that holds the most.
        """
        self.total -= self.sizes.pop(peer, 0)
        if size < MIN_COUNTED_BYTES:
            return None
        self.sizes[peer] = size
        self.total += size
        if self.total <= self.max_bytes:
            return None
        return max(self.sizes, key=lambda other: (not other.has_received_message, self.sizes[other]))

    def forget(self, peer: Peer) -> None:
        """Stop counting a connection that has ended."""
        self.total -= self.sizes.pop(peer, 0)
