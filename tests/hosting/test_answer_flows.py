"""Long answers to the clients of several tenants share the memory of their gateway."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.data_plane.answer_flow import MIN_PAUSED_BYTES
from ivymux.hosting.answer_flows import HostedAnswerFlow, TenantAnswerFlow
from standins.worker import Reply, encode_answer
from tests.service.fixtures import make_request
from tests.sockets import read_steadily, run
from tests.test_answer_flow import CHUNK, LIMIT, Arriving

from .fixtures import hosting

TENANT_LIMIT = LIMIT // 2


@given(st.data())
def test_answers_of_all_tenants_come_to_their_end_within_the_limits(data: st.DataObject) -> None:
    hosted_flow = HostedAnswerFlow(LIMIT)
    flows = [TenantAnswerFlow(TENANT_LIMIT, hosted_flow) for _ in range(3)]
    drawn = data.draw(st.lists(st.tuples(st.sampled_from(flows), st.integers(1, 3 * LIMIT)), max_size=12))
    arriving = [Arriving(flow, size) for flow, size in drawn]
    unread = 0
    hosted_flow.unread_bytes = lambda: unread
    while arriving:
        unread = data.draw(st.sampled_from([0, unread, LIMIT // 2, 2 * LIMIT]))
        hosted_flow.update()
        if all(answer.is_paused for answer in arriving):
            assert hosted_flow.is_held_up and unread
            unread = 0
            hosted_flow.update()
        readable = [answer for answer in arriving if not answer.is_paused]
        assert readable
        answer = data.draw(st.sampled_from(readable))
        answer.read()
        for flow, limit in [(hosted_flow, LIMIT), *((flow, TENANT_LIMIT) for flow in flows)]:
            _, *others = flow.sizes.values() or [0]
            assert sum(others) <= limit + len(others) * (CHUNK + MIN_PAUSED_BYTES)
        if not answer.left:
            arriving.remove(answer)
            answer.flow.remove(answer)
    for flow in (hosted_flow, *flows):
        assert not flow.held_bytes and not flow.sizes and not flow.paused
    assert not hosted_flow.tenant_flows


# Guards against honest clients that lose their connections because other tenants' answers are long too.
@pytest.mark.alone
def test_clients_of_several_tenants_get_long_answers_whole(tmp_path: Path) -> None:
    body = b"z" * (16 << 20)  # more than the sockets of loopback addresses hold
    limits = "limits = { answer_kb = 32768, memory_mb = 256 }\n"

    async def test() -> None:
        async with hosting(tmp_path, extra=limits) as fixture:
            for name in ("a", "b", "c"):
                await fixture.add(name, lambda request: Reply(data=encode_answer(200, body)))
            await fixture.gateway.follow()
            requests = [
                make_request("GET /read/7", b"", hosted.key, Host=hosted.host, Connection="close")
                for hosted in fixture.tenants.values()
            ]
            port = fixture.gateway.port
            lengths = await asyncio.gather(*(read_steadily(port, request) for request in requests * 5))
            assert min(lengths) > len(body)  # with its head

    run(test())
