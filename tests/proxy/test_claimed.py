"""The host and a claim: nothing is sent before it is heard of, and nothing behind a request that is over."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import Answer, Call
from ivymux.data_plane.host import Host, OpenRequest
from ivymux.data_plane.upstream import Result
from ivymux.proxy.answer_policy import proxy_answer_policy
from ivymux.proxy.module_settings import module_settings
from orchidhill import interface as i
from orchidhill.interface import Outcome


class Asks:
    """A claim that is heard of when the test says so."""

    def __init__(self) -> None:
        self.go: Callable[[Answer | None], None] | None = None
        self.ends: list[tuple[int | None, bool]] = []

    def acquire(self, go: Callable[[Answer | None], None]) -> None:
        self.go = go

    def finish(self, answer: Answer | None, ran: bool) -> None:
        self.ends.append((answer.status if answer is not None else None, ran))


class Bench:
    """A host whose module sends each request to backend 1, and whose backends do what the test says."""

    def __init__(self, wait: float = 5.0) -> None:
        self.events: list[i.Event] = []
        self.sent: list[Callable[[Result], None]] = []
        module = SimpleNamespace(settings=module_settings(), actions=[], handle=self.handle)
        upstream = SimpleNamespace(
            answer_policy=proxy_answer_policy(1 << 20, 1 << 20), start_attempt=self.start
        )
        self.host = Host(cast(Any, module), cast(Any, upstream))
        self.claim, self.answers = Asks(), list[int]()
        self.written = True  # whether a backend may have read of an attempt
        call = Call(
            b"", time.monotonic() + wait, self.made, lambda left: b"", claim=self.claim,
            on_departure=OnDeparture.for_request(repeatable=False),
        )  # fmt: skip
        self.request: OpenRequest = self.host.submit(
            call, lambda a: self.answers.append(a.status), lambda: None
        )

    def made(self, number: int) -> i.Request:
        return i.Request(number, 0, 0, 0, 5.0, 1.0, 1, 0, False, True)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.events.append(event)
        return [i.Send(event.request, 1, 0.0)] if isinstance(event, i.Request) else []

    def start(self, backend: int, payload: bytes, timeout: float, done: Any, *rest: Any) -> Any:
        self.sent.append(done)
        return SimpleNamespace(
            is_finished=False, is_written=self.written, give_up=lambda why: done(Result(why, 0.0))
        )

    def finished(self) -> list[tuple[Outcome, bool]]:
        return [(e.outcome, e.closed) for e in self.events if isinstance(e, i.Finished)]


def test_a_claim_that_goes_is_ended_with_the_backends_answer() -> None:
    async def day() -> None:
        it = Bench()
        assert not it.sent and it.claim.go is not None
        it.claim.go(None)
        it.sent[0](Result(Outcome.OK, 0.1, status=200, body=b"x", headers=[]))
        assert it.answers == [200] and it.claim.ends == [(200, True)] and not it.host.requests

    asyncio.run(day())


def test_a_claim_that_is_answered_sends_nothing() -> None:
    async def day() -> None:
        it = Bench()
        assert it.claim.go is not None
        it.claim.go(Answer(409, retry_after=0.1))
        assert it.answers == [409] and not it.sent and not it.host.requests
        assert it.finished() == [(Outcome.MOOT, True)] and it.claim.ends == [(None, False)]

    asyncio.run(day())


def test_a_late_go_sends_nothing_for_a_client_that_has_left_or_whose_time_is_over() -> None:
    async def day() -> None:
        for over, answers in ((Host.on_client_left, []), (Host.on_deadline, [503])):
            it = Bench()
            over(it.host, it.request)
            assert it.answers == answers and it.host.requests  # until the claim is heard of
            assert it.claim.go is not None
            it.claim.go(None)
            assert not it.sent and not it.host.requests
            assert it.finished() == [(Outcome.MOOT, True)] and it.claim.ends == [(None, False)]

    asyncio.run(day())


def test_what_runs_on_behind_a_client_that_left_is_kept_and_what_was_lost_is_not_known() -> None:
    async def day() -> None:
        it = Bench()
        assert it.claim.go is not None
        it.claim.go(None)
        it.host.on_client_left(it.request)
        assert it.host.requests and not it.claim.ends  # it may have begun: it runs on
        it.sent[0](Result(Outcome.OK, 0.1, status=201, body=b"x", headers=[]))
        assert it.answers == [] and it.claim.ends == [(201, True)]
        it = Bench()
        assert it.claim.go is not None
        it.claim.go(None)
        it.host.on_deadline(it.request)
        assert it.answers == [504] and it.claim.ends == [(None, True)]

    asyncio.run(day())


def test_an_action_that_was_not_written_yet_ends_with_its_client_as_not_run() -> None:
    async def day() -> None:
        it = Bench()
        it.written = False
        assert it.claim.go is not None
        it.claim.go(None)
        attempt = it.request.attempts[0]
        attempt.give_up = lambda outcome: it.sent[0](Result(Outcome.MOOT, 0.0))  # type: ignore[method-assign]
        it.host.on_client_left(it.request)
        assert not it.host.requests and it.claim.ends == [(None, False)]

    asyncio.run(day())
