"""Bounds the memory of messages that peers have not read yet, on all connections of a listener.  Pure."""

from __future__ import annotations

from collections import Counter, deque
from typing import Protocol

MIN_VICTIM_BYTES = 64 << 10  # closing a connection on which less waits frees too little


class Peer(Protocol):
    """A connection, as far as what it has not sent yet goes."""

    is_aborted: bool  # its buffers are freed later: `UnreadMessages.forget` is called then

    @property
    def unsent_bytes(self) -> int: ...


class UnreadMessages:
    """The encoded messages that wait for their peers; one that was written to many takes its memory once."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total = 0  # bytes of distinct messages
        self.queues: dict[Peer, deque[bytes]] = {}  # oldest first
        self.queued_bytes: Counter[Peer] = Counter()
        self.reference_counts: Counter[int] = Counter()  # connections on which a message waits, by its `id`

    def add(self, peer: Peer, message: bytes) -> Peer | None:
        """Note a message that was written; return a connection to close if all hold too much."""
        self.queues.setdefault(peer, deque()).append(message)
        self.queued_bytes[peer] += len(message)
        self.reference_counts[id(message)] += 1
        if self.reference_counts[id(message)] == 1:
            self.total += len(message)
        self.drop_sent(peer)
        if self.total <= self.max_bytes:
            return None
        for other in list(self.queues):
            self.drop_sent(other)
        if self.total <= self.max_bytes:
            return None
        return self.peer_to_close()

    def peer_to_close(self) -> Peer | None:
        """Return the open connection on which most waits that no other has, if that is worth its end."""
        open_peers = (
            peer
            for peer, queued_bytes in self.queued_bytes.items()
            if queued_bytes >= MIN_VICTIM_BYTES and not peer.is_aborted
        )
        return max(open_peers, key=lambda peer: (self.own_bytes(peer), self.queued_bytes[peer]), default=None)

    def own_bytes(self, peer: Peer) -> int:
        """Return the bytes that wait for one connection alone."""
        return sum(len(message) for message in self.queues[peer] if self.reference_counts[id(message)] == 1)

    def drop_sent(self, peer: Peer) -> None:
        """Forget the messages of an open connection that it has sent whole."""
        if peer.is_aborted:
            return
        queue, unsent_bytes = self.queues[peer], peer.unsent_bytes
        while queue and self.queued_bytes[peer] - len(queue[0]) >= unsent_bytes:
            self.release(peer, queue.popleft())
        if not queue:
            self.forget(peer)

    def release(self, peer: Peer, message: bytes) -> None:
        self.queued_bytes[peer] -= len(message)
        self.reference_counts[id(message)] -= 1
        if not self.reference_counts[id(message)]:
            del self.reference_counts[id(message)]
            self.total -= len(message)

    def forget(self, peer: Peer) -> None:
        """Forget a connection that has ended and whose buffers are freed."""
        for message in self.queues.pop(peer, ()):
            self.release(peer, message)
        self.queued_bytes.pop(peer, None)
