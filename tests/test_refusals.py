"""Every refusal says why: counted under its cause, told in one line a minute."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from ivymux.data_plane.refusals import CAUSES, RefusalCounts
from orchidhill import interface as i

from .sockets import Client, front_door, run


def test_a_line_tells_the_causes_in_order_and_what_is_new() -> None:
    made = RefusalCounts()
    assert made.log_line() == ""
    assert [made.count("room"), made.count("quota"), made.count("quota")] == [True, False, False]
    assert made.log_line() == "refused: quota=2 (+2) room=1 (+1)"
    assert made.log_line() == "" and made.count("quota")
    assert made.log_line() == "refused: quota=3 (+1) room=1 (+0)"
    assert {why.value for why in i.Why} < set(CAUSES)


def test_a_front_door_counts_the_modules_causes_its_own_limits_and_failures(
    caplog: pytest.LogCaptureFixture,
) -> None:
    whys = iter([i.Why.QUOTA, i.Why.ROOM, i.Why.QUOTA])

    def react(event: Any) -> list[i.Action]:
        if not isinstance(event, i.Request):
            return []
        why = next(whys, None)
        return [i.Refuse(event.request, 0.25, why)] if why is not None else [i.Fail(event.request)]

    async def test() -> None:
        async with front_door("127.0.0.1:1", react=react) as (door, _), Client(door.server) as client:
            assert [(await client.ask()).status for _ in range(4)] == [503, 503, 503, 502]
            door.server.max_clients = 0
            assert (await client.ask()).status == 503
            told = door.server.refusal_log
            assert told is door.host.refusal_log and told.timer is not None
            assert told.refusals.counts == {"quota": 2, "room": 1, "failed": 1, "door": 1}
            assert not any("refused" in r.getMessage() for r in caplog.records)  # none for each
            # The line that is due in a minute comes at the end, and only once.
            with caplog.at_level(logging.INFO):
                door.host.finish_all()
                door.host.finish_all()
            lines = [r.getMessage() for r in caplog.records if "refused" in r.getMessage()]
            assert lines == ["refused: quota=2 (+2) room=1 (+1) door=1 (+1) failed=1 (+1)"]
            assert told.timer is None
            await asyncio.sleep(0)

    run(test())
