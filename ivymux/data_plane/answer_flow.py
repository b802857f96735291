"""Which connections to backends may be read while many bytes of answers are held.  Pure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MIN_PAUSED_BYTES = 64 << 10  # of an answer; shorter ones are read whatever is held


class Reader(Protocol):
    """A connection on which an answer arrives."""

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


class AnswerFlow:
    """Counts the bytes of the answers that are received, and pauses reading beyond a limit.

    The answer that has been arriving for longest is read beyond it, so that one comes to its end, but not
    while it and the answers that clients have not read yet take more than these may.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.unread_bytes: Callable[[], int] = lambda: 0  # of whole answers that clients have not read yet
        self.room_bytes: Callable[[], int] = lambda: max_bytes  # of these, and of answers that are received
        # Of these alone; beyond it the connections of clients that read slowly are closed.
        self.max_unread_bytes: Callable[[], int] = self.room_bytes
        self.held_bytes = 0  # of answers that are being received
        self.sizes: dict[Reader, int] = {}  # of these, the longest arriving first
        self.paused: set[Reader] = set()

    def add(self, reader: Reader, size: int) -> None:
        """Count further bytes of an answer."""
        self.held_bytes += size
        self.sizes[reader] = self.sizes.get(reader, 0) + size
        if self.is_full():
            self.pause(reader)

    def remove(self, reader: Reader) -> None:
        """Stop counting an answer, which is complete or broken off."""
        self.held_bytes -= self.sizes.pop(reader, 0)
        if reader in self.paused:
            self.paused.discard(reader)
            reader.resume_reading()
        self.update()

    def is_full(self) -> bool:
        return self.held_bytes + self.unread_bytes() > min(self.max_bytes, self.room_bytes())

    @property
    def is_held_up(self) -> bool:
        """Whether no long answer is read until clients have read theirs."""
        return bool(self.paused) and self.first_arriving() in self.paused

    def first_arriving(self) -> Reader:
        """Return the connection whose answer has been arriving for longest."""
        return next(iter(self.sizes))

    def may_read(self, reader: Reader) -> bool:
        """Whether there is room for more of an answer."""
        if self.sizes[reader] < MIN_PAUSED_BYTES or not self.is_full():
            return True
        if reader is not self.first_arriving():
            return False
        unread_bytes = self.unread_bytes()
        return not unread_bytes or unread_bytes + self.sizes[reader] <= self.max_unread_bytes()

    def pause(self, reader: Reader) -> None:
        """Pause an answer if there is no room for more of it."""
        if reader not in self.paused and not self.may_read(reader):
            self.paused.add(reader)
            reader.pause_reading()

    def update(self) -> None:
        """Go on reading what there is room for; called when answers have ended or were read by clients."""
        if not self.paused:
            return
        for reader in [reader for reader in self.sizes if reader in self.paused and self.may_read(reader)]:
            self.paused.discard(reader)
            reader.resume_reading()
