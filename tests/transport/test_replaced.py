"""An answer belongs to the connection on which its call went: another one's numbers mean nothing there."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from ivymux.transport.connection import Connection, TransportError
from ivymux.transport.frames import pack


class Silent(asyncio.Transport):
    """A connection that takes all and says nothing."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass


def connected() -> Connection:
    line = Connection(lambda line, message: None)
    line.connection_made(cast(asyncio.BaseTransport, Silent()))
    return line


def test_a_late_answer_of_a_connection_that_was_replaced_reaches_no_call() -> None:
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
        old.data_received(pack({"re": 1, "ok": True, "verdict": "answered", "answer": "to first"}))
        await asyncio.sleep(0)
        assert not second.done()
        new.data_received(pack({"re": 1, "ok": True, "verdict": "go"}))
        assert (await second)["verdict"] == "go"
        new.mark_disconnected()

    asyncio.run(test())


def test_a_second_answer_and_one_to_no_call_are_left() -> None:
    async def test() -> None:
        line = connected()
        calls = [asyncio.create_task(line.call({"k": "read", "name": str(n)}, 5.0)) for n in range(2)]
        await asyncio.sleep(0)
        line.data_received(pack({"re": 1, "text": "one"}) + pack({"re": 1, "text": "again"}))
        line.data_received(pack({"re": 9, "text": "nobody's"}) + pack({"re": 2, "text": "two"}))
        assert [(await call)["text"] for call in calls] == ["one", "two"]
        line.mark_disconnected()

    asyncio.run(test())
