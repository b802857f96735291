"""Bodies that arrive in pieces: their blocks hold the same bytes, at a cost near their length."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ivymux.data_plane.body_buffer import BLOCK_BYTES, BodyBuffer, total_length
from ivymux.data_plane.frontend import Answer
from ivymux.proxy.frontend import ProxyFrontend
from ivymux.proxy.name_tables import NameTables
from ivymux.proxy.shard_tables import ShardTables

OBJECT_BYTES = 64  # that one block takes beside its bytes
PIECE_SIZES = st.lists(st.one_of(st.integers(1, 3), st.integers(1, 3 * BLOCK_BYTES)), max_size=60)


@given(PIECE_SIZES)
def test_blocks_hold_the_pieces_and_count_what_they_take(sizes: list[int]) -> None:
    buffer, expected, counted = BodyBuffer(), b"", 0
    for number, size in enumerate(sizes):
        piece = bytes([number]) * size
        expected += piece
        counted += buffer.append(piece)
    assert b"".join(buffer.blocks) == expected and buffer.length == total_length(buffer.blocks)
    taken = sum(block.__sizeof__() for block in buffer.blocks)
    assert taken - OBJECT_BYTES * len(buffer.blocks) <= counted <= taken


def test_short_pieces_take_little_more_than_their_bytes() -> None:
    buffer = BodyBuffer()
    counted = sum(buffer.append(b"ab") for _ in range(1 << 18))
    assert counted < 1.15 * buffer.length and len(buffer.blocks) <= 1 + buffer.length // (BLOCK_BYTES - 2)


# Guards against copies of a long answer, each of which takes its memory once more.
def test_a_long_answer_is_encoded_with_its_blocks_as_they_are() -> None:
    buffer = BodyBuffer()
    for _ in range(8):
        buffer.append(bytes(BLOCK_BYTES))
    answer = Answer(200, headers=[], long_body=buffer.blocks)
    frontend = ProxyFrontend(
        NameTables(), lambda backend: b"", lambda: 1, None, lambda name: 0, ShardTables()
    )
    head, *blocks = frontend.encode(answer, False, None)
    assert b"content-length: %d\r\n" % buffer.length in head
    assert len(blocks) == 8 and all(a is b for a, b in zip(blocks, buffer.blocks, strict=True))
    assert answer.whole_body() == bytes(buffer.length)
