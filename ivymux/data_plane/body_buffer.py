"""Keeps a body that arrives in pieces, in blocks that take little more memory than its bytes.  Pure.

A piece of two bytes takes some 45 as an object of its own, so short pieces are joined to blocks.  Blocks are
never joined to the whole body, which would take its memory once more.
"""

from __future__ import annotations

from collections.abc import Sequence

BLOCK_BYTES = 64 << 10
MIN_LONG_BODY_BYTES = 64 << 10  # below which one copy costs less than further writes

Blocks = Sequence[bytes | bytearray]


class BodyBuffer:
    """The blocks of a body that is being received."""

    __slots__ = ("blocks", "length")

    def __init__(self) -> None:
        self.blocks: list[bytes | bytearray] = []
        self.length = 0  # of the body so far, in bytes

    def append(self, piece: bytes) -> int:
        """Add a piece; return by how many bytes of memory the body has grown."""
        self.length += len(piece)
        blocks = self.blocks
        if not blocks or len(blocks[-1]) + len(piece) > BLOCK_BYTES:
            blocks.append(piece)
            return len(piece)
        last = blocks[-1]
        if not isinstance(last, bytearray):
            last = blocks[-1] = bytearray(last)
            before = len(last)
        else:
            before = last.__sizeof__()
        last += piece
        return last.__sizeof__() - before


def total_length(blocks: Blocks) -> int:
    """Return the length of a body in bytes."""
    return sum(map(len, blocks))
