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

    The answer that has been arriving for longest is always read, so that one comes to its end.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.unread_bytes: Callable[[], int] = lambda: 0  # of whole answers that clients have not read yet
        self.room_bytes: Callable[[], int] = lambda: max_bytes  # of these, and of answers that are received
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

    def pause(self, reader: Reader) -> None:
        """Pause an answer unless it is short, or the one that has been arriving for longest."""
        is_first = next(iter(self.sizes)) is reader
        if not is_first and self.sizes[reader] >= MIN_PAUSED_BYTES and reader not in self.paused:
            self.paused.add(reader)
            reader.pause_reading()

    def update(self) -> None:
        """Go on reading what there is room for; called when answers have ended or were read by clients."""
        if not self.paused:
            return
        first = next(iter(self.sizes))
        resumed = [first] if self.is_full() else list(self.sizes)
        for reader in resumed:
            if reader in self.paused:
                self.paused.discard(reader)
                reader.resume_reading()
