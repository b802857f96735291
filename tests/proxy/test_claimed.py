"""The host and claims: an action is not sent before its claim is acquired or after its request has ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from ivymux.data_plane.attempt import Result
from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import Answer, Call
from ivymux.data_plane.host import Host, OpenRequest
from ivymux.proxy.answer_policy import proxy_answer_policy
from ivymux.proxy.module_settings import module_settings
from orchidhill import interface as i
from orchidhill.interface import Outcome


class ManualClaim:
    """A claim whose result the test delivers."""

    def __init__(self) -> None:
        self.on_result: Callable[[Answer | None], None] | None = None
        self.on_looked_up: Callable[[Answer | None], None] | None = None
        self.ends: list[tuple[int | None, bool]] = []

    def acquire(self, on_result: Callable[[Answer | None], None]) -> None:
        self.on_result = on_result

    def look_up(self, on_result: Callable[[Answer | None], None]) -> None:
        self.on_looked_up = on_result

    def finish(self, answer: Answer | None, ran: bool) -> None:
        self.ends.append((answer.status if answer is not None else None, ran))


class HostHarness:
    """A host whose decision module sends each request to backend 1, and whose results the test delivers."""

    def __init__(self, timeout: float = 5.0, refusal: i.Why | None = None) -> None:
        """`refusal`: why the decision module refuses each request instead."""
        self.refusal = refusal
        self.events: list[i.Event] = []
        self.sent: list[Callable[[Result], None]] = []
        module = SimpleNamespace(settings=module_settings(), actions=[], handle=self.handle)
        upstream = SimpleNamespace(
            answer_policy=proxy_answer_policy(1 << 20, 1 << 20), start_attempt=self.start
        )
        self.host = Host(cast(Any, module), cast(Any, upstream))
        self.claim, self.answers = ManualClaim(), list[int]()
        self.written = True  # whether a backend may have received bytes of an attempt
        call = Call(
            b"", time.monotonic() + timeout, self.make_event, lambda left: b"", claim=self.claim,
            on_departure=OnDeparture.for_request(repeatable=False),
        )  # fmt: skip
        self.request: OpenRequest = self.host.submit(
            call, lambda a: self.answers.append(a.status), lambda: None
        )

    def make_event(self, number: int) -> i.Request:
        return i.Request(number, 0, 0, 0, 5.0, 1.0, 1, 0, False, True)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.events.append(event)
        if not isinstance(event, i.Request):
            return []
        if self.refusal is not None:
            return [i.Refuse(event.request, 0.2, self.refusal)]
        return [i.Send(event.request, 1, 0.0)]

    def start(self, backend: int, payload: bytes, timeout: float, done: Any, *rest: Any) -> Any:
        self.sent.append(done)
        return SimpleNamespace(
            is_finished=False, is_written=self.written, give_up=lambda why: done(Result(why, 0.0))
        )

    def finished(self) -> list[tuple[Outcome, bool]]:
        return [(e.outcome, e.closed) for e in self.events if isinstance(e, i.Finished)]


def test_an_acquired_claim_is_ended_with_the_backends_answer() -> None:
    async def scenario() -> None:
        harness = HostHarness()
        assert not harness.sent and harness.claim.on_result is not None
        harness.claim.on_result(None)
        harness.sent[0](Result(Outcome.OK, 0.1, status=200, body=b"x", headers=[]))
        assert harness.answers == [200] and harness.claim.ends == [(200, True)] and not harness.host.requests

    asyncio.run(scenario())


def test_a_request_that_its_claim_answers_is_not_sent() -> None:
    async def scenario() -> None:
        harness = HostHarness()
        assert harness.claim.on_result is not None
        harness.claim.on_result(Answer(409, retry_after=0.1))
        assert harness.answers == [409] and not harness.sent and not harness.host.requests
        assert harness.finished() == [(Outcome.MOOT, True)] and harness.claim.ends == [(None, False)]

    asyncio.run(scenario())


def test_a_claim_acquired_after_the_client_left_or_its_deadline_sends_nothing() -> None:
    async def scenario() -> None:
        for end_request, answers in ((Host.on_client_left, []), (Host.on_deadline, [503])):
            harness = HostHarness()
            end_request(harness.host, harness.request)
            assert harness.answers == answers and harness.host.requests  # until the claim has its result
            assert harness.claim.on_result is not None
            harness.claim.on_result(None)
            assert not harness.sent and not harness.host.requests
            assert harness.finished() == [(Outcome.MOOT, True)] and harness.claim.ends == [(None, False)]

    asyncio.run(scenario())


def test_an_action_completes_after_its_client_left_and_is_unknown_after_its_deadline() -> None:
    async def scenario() -> None:
        harness = HostHarness()
        assert harness.claim.on_result is not None
        harness.claim.on_result(None)
        harness.host.on_client_left(harness.request)
        assert harness.host.requests and not harness.claim.ends  # the action may have begun, and continues
        harness.sent[0](Result(Outcome.OK, 0.1, status=201, body=b"x", headers=[]))
        assert harness.answers == [] and harness.claim.ends == [(201, True)]
        harness = HostHarness()
        assert harness.claim.on_result is not None
        harness.claim.on_result(None)
        harness.host.on_deadline(harness.request)
        assert harness.answers == [504] and harness.claim.ends == [(None, True)]

    asyncio.run(scenario())


def test_an_action_that_was_not_yet_written_ends_as_not_run_when_its_client_leaves() -> None:
    async def scenario() -> None:
        harness = HostHarness()
        harness.written = False
        assert harness.claim.on_result is not None
        harness.claim.on_result(None)
        attempt = harness.request.attempts[0]
        attempt.give_up = lambda outcome: harness.sent[0](Result(Outcome.MOOT, 0.0))  # type: ignore[method-assign]
        harness.host.on_client_left(harness.request)
        assert not harness.host.requests and harness.claim.ends == [(None, False)]

    asyncio.run(scenario())


# Guards against known keys that get 503 where their service has no backend just now.
def test_an_action_that_lacks_a_backend_is_answered_from_its_record() -> None:
    async def scenario() -> None:
        for why in (i.Why.ROOM, i.Why.BACKENDS):
            known, unknown, left, late = (HostHarness(refusal=why, timeout=5.0) for _ in range(4))
            for harness in (known, unknown, left, late):
                assert not harness.answers and harness.claim.on_looked_up is not None
                assert harness.claim.on_result is None and not harness.sent
            assert known.claim.on_looked_up is not None and unknown.claim.on_looked_up is not None
            known.claim.on_looked_up(Answer(201, headers=[]))
            unknown.claim.on_looked_up(None)
            assert (known.answers, unknown.answers) == ([201], [503])
            assert known.host.refusal_log.refusals.count_unserved() == 0
            assert unknown.host.refusal_log.refusals.count_unserved() == 1
            left.host.on_client_left(left.request)
            late.host.on_deadline(late.request)
            for harness in (left, late):
                assert harness.claim.on_looked_up is not None
                harness.claim.on_looked_up(Answer(201, headers=[]))
            assert (left.answers, late.answers) == ([], [503])
            assert not any(h.host.requests for h in (known, unknown, left, late))

    asyncio.run(scenario())


def test_an_action_beyond_its_quota_is_refused_without_a_look_at_its_record() -> None:
    async def scenario() -> None:
        harness = HostHarness(refusal=i.Why.QUOTA)
        assert harness.answers == [429] and harness.claim.on_looked_up is None

    asyncio.run(scenario())
