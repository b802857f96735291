"""Turns of connections whose bytes wait to be parsed."""

from __future__ import annotations

import asyncio

from ivymux.data_plane.receive_queue import ReceiveQueue

SLICE_COUNT = 50


class RecordedReceiver:
    """Has a number of slices to parse, and records its turns."""

    def __init__(self, name: str, slice_count: int, turns: list[str]) -> None:
        self.name, self.left, self.turns = name, slice_count, turns

    def parse_next(self) -> bool:
        self.left -= 1
        self.turns.append(self.name)
        return self.left > 0


async def run_all(queue: ReceiveQueue) -> None:
    while queue.waiting:
        await asyncio.sleep(0)


def test_connections_take_turns_whatever_each_has_left() -> None:
    async def scenario() -> None:
        turns: list[str] = []
        queue = ReceiveQueue(asyncio.get_running_loop())
        for name, count in (("long", SLICE_COUNT), ("short", 2), ("last", 1)):
            queue.add(RecordedReceiver(name, count, turns))
        await run_all(queue)
        assert turns == ["long", "short", "last", "long", "short", *["long"] * (SLICE_COUNT - 2)]

    asyncio.run(scenario())


def test_the_event_loop_runs_between_turns_that_take_long() -> None:
    async def scenario() -> None:
        turns: list[str] = []
        queue = ReceiveQueue(asyncio.get_running_loop())
        queue.turn_s = 0.0
        queue.add(RecordedReceiver("long", SLICE_COUNT, turns))
        await asyncio.sleep(0)
        assert len(turns) <= 1  # one slice in each iteration where no time is left for more
        await run_all(queue)
        assert len(turns) == SLICE_COUNT

    asyncio.run(scenario())
