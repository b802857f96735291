"""Answers match calls of their own connection only.

Each connection numbers its calls from 1, so an answer that arrives late on a replaced connection carries the
number of an unrelated call on the new one.
"""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from ivymux.transport.connection import Connection, TransportError
from ivymux.transport.frames import encode_frame


class SilentTransport(asyncio.Transport):
    """A transport that accepts all writes and receives nothing."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass


def connected() -> Connection:
    connection = Connection(lambda connection, message: None)
    connection.connection_made(cast(asyncio.BaseTransport, SilentTransport()))
    return connection


def test_a_late_answer_on_a_replaced_connection_completes_no_call() -> None:
    async def test() -> None:
        old = connected()
        first = asyncio.create_task(old.call({"k": "claim", "key": "first"}, 5.0))
        await asyncio.sleep(0)
        old.connection_lost(None)
        with pytest.raises(TransportError):
            await first
        new = connected()
        second = asyncio.create_task(new.call({"k": "claim", "key": "second"}, 5.0))
        await asyncio.sleep(0)
        assert new.pending_calls.keys() == {1}  # the same number as the call that was lost
        old.data_received(encode_frame({"re": 1, "ok": True, "verdict": "answered", "answer": "to first"}))
        await asyncio.sleep(0)
        assert not second.done()
        new.data_received(encode_frame({"re": 1, "ok": True, "verdict": "go"}))
        assert (await second)["verdict"] == "go"
        new.mark_disconnected()

    asyncio.run(test())


def test_a_duplicate_answer_and_an_answer_to_no_call_are_ignored() -> None:
    async def test() -> None:
        connection = connected()
        calls = [asyncio.create_task(connection.call({"k": "read", "name": str(n)}, 5.0)) for n in range(2)]
        await asyncio.sleep(0)
        first, duplicate = {"re": 1, "text": "one"}, {"re": 1, "text": "again"}
        unknown, second = {"re": 9, "text": "nobody's"}, {"re": 2, "text": "two"}
        connection.data_received(encode_frame(first) + encode_frame(duplicate))
        connection.data_received(encode_frame(unknown) + encode_frame(second))
        assert [(await call)["text"] for call in calls] == ["one", "two"]
        connection.mark_disconnected()

    asyncio.run(test())
