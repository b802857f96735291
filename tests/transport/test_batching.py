"""Lists that grow with the state are cut into messages below the transport's bound."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.transport import connection as transport
from ivymux.transport.batching import split_by_bytes
from ivymux.transport.connection import Connection, TransportError
from ivymux.transport.frames import MAX_FRAME_BYTES, FrameDecoder, Message

from .test_replaced import SilentTransport

TOO_LONG = "x" * (MAX_FRAME_BYTES + 1)


@given(st.lists(st.integers(0, 50)), st.integers(1, 40))
def test_batches_are_below_the_bound_and_hold_all_items_in_order(sizes: list[int], bound: int) -> None:
    items = list(enumerate(sizes))
    batches = list(split_by_bytes(items, lambda item: item[1], bound))
    assert [item for batch in batches for item in batch] == items
    assert all(len(batch) == 1 or sum(size for _, size in batch) <= bound for batch in batches)
    assert all(batches)


class RecordingTransport(SilentTransport):
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.decoder, self.messages = FrameDecoder(), list[Message]()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.messages += self.decoder.feed(bytes(data))


# Guards against a sender that repeats a message above the transport's bound for ever, as an invalid message
# of its peer.
def test_a_message_above_the_bound_is_counted_and_fails_its_call(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        counted = transport.oversized_messages.count
        connection = Connection(lambda _, message: None)
        sent = RecordingTransport()
        connection.connection_made(cast(asyncio.BaseTransport, sent))
        assert not connection.send({"kind": "book_repair", "ranges": TOO_LONG})
        with pytest.raises(TransportError, match="too large"):
            await connection.call({"k": "put", "text": TOO_LONG}, 60.0)
        connection.answer({"n": 3}, ok=True, t=TOO_LONG)
        assert sent.messages == [{"re": 3, "ok": False, "why": transport.TOO_LARGE}]
        assert connection.send({"k": "ping"}) and connection.is_connected
        assert transport.oversized_messages.count == counted + 3
        connection.mark_disconnected()

    asyncio.run(scenario())
