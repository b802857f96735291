"""Writes messages that are held in pieces, without a copy of long ones."""

from __future__ import annotations

import asyncio

from ivymux.data_plane.body_buffer import MIN_LONG_BODY_BYTES, Blocks, total_length


def write_pieces(transport: asyncio.WriteTransport, pieces: Blocks) -> None:
    """Write pieces one after another."""
    if len(pieces) == 1:
        transport.write(pieces[0])
    elif total_length(pieces) < MIN_LONG_BODY_BYTES:
        transport.write(b"".join(pieces))
    else:
        transport.writelines(pieces)
