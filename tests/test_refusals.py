"""Refusals are counted by cause and logged in at most one line per minute."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from ivymux.data_plane.refusals import CAUSES, RefusalCounts
from orchidhill import interface as i

from .sockets import GatewayClient, platform_gateway, run


def test_a_line_lists_causes_in_order_with_totals_and_increments() -> None:
    refusals = RefusalCounts()
    assert refusals.log_line() == ""
    assert [refusals.count("room"), refusals.count("quota"), refusals.count("quota")] == [True, False, False]
    assert refusals.log_line() == "refused: quota=2 (+2) room=1 (+1)"
    assert refusals.log_line() == "" and refusals.count("quota")
    assert refusals.log_line() == "refused: quota=3 (+1) room=1 (+0)"
    assert {why.value for why in i.Why} < set(CAUSES)


def test_a_gateway_counts_refusals_by_module_and_limits_and_failures(
    caplog: pytest.LogCaptureFixture,
) -> None:
    whys = iter([i.Why.QUOTA, i.Why.ROOM, i.Why.QUOTA])

    def react(event: Any) -> list[i.Action]:
        if not isinstance(event, i.Request):
            return []
        why = next(whys, None)
        return [i.Refuse(event.request, 0.25, why)] if why is not None else [i.Fail(event.request)]

    async def test() -> None:
        async with (
            platform_gateway("127.0.0.1:1", react=react) as (gateway, _),
            GatewayClient(gateway.server) as client,
        ):
            assert [(await client.send_request()).status for _ in range(4)] == [503, 503, 503, 502]
            gateway.server.max_clients = 0
            assert (await client.send_request()).status == 503
            refusal_log = gateway.server.refusal_log
            assert refusal_log is gateway.host.refusal_log and refusal_log.timer is not None
            assert refusal_log.refusals.counts == {"quota": 2, "room": 1, "failed": 1, "door": 1}
            assert not any("refused" in r.getMessage() for r in caplog.records)  # not one line for each
            # The line that is due within a minute is logged at the end, once.
            with caplog.at_level(logging.INFO):
                gateway.host.finish_all()
                gateway.host.finish_all()
            lines = [r.getMessage() for r in caplog.records if "refused" in r.getMessage()]
            assert lines == ["refused: quota=2 (+2) room=1 (+1) door=1 (+1) failed=1 (+1)"]
            assert refusal_log.timer is None
            await asyncio.sleep(0)

    run(test())
