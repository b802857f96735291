"""Drives the one Gateway: events in, its actions carried out in order, the table of open requests."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from ivymux.data_plane.client_departures import DepartureCounts
from ivymux.data_plane.frontend import Answer, Call
from ivymux.data_plane.limits import Address
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.data_plane.refusals import FAILED
from ivymux.data_plane.upstream import Attempt, Result, Upstream
from orchidhill import interface as i
from orchidhill.interface import Outcome, State

if TYPE_CHECKING:  # a core machine has no module, and starts faster without
    from orchidhill.gateway import Gateway

ATTEMPT_MARGIN_S = 0.030  # seconds before the client's deadline at which an attempt is given up
ANSWER_MARGIN_S = 0.015  # and at which the request is answered whatever the module does

log = logging.getLogger(__name__)


@dataclass(slots=True)
class OpenRequest:
    """A request that still needs an answer, or whose attempts are still out."""

    host: Host  # which has it
    number: int
    call: Call
    reply: Callable[[Answer], None]
    on_finished: Callable[[], None]  # hears when it is answered and none of its attempts is out
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    may_have_run: bool = False
    last_result: Result | None = None  # of the attempt that ended last
    is_settled: bool = False  # answered, or nobody waits any more
    is_on_hold: bool = False  # nothing is sent before its claim is heard of, or while it is held
    answer: Answer | None = None
    client_left_at: float | None = None  # monotonic time at which its client left it unanswered


class Counter(Protocol):
    """What the host needs of a counter: each call is answered once, by a `Counted` posted to the host."""

    def add(self, count: i.Count) -> None: ...


class Host:
    def __init__(self, gateway: Gateway, upstream: Upstream, told: RefusalLog | None = None) -> None:
        self.gateway, self.upstream, self.answer_policy = gateway, upstream, upstream.answer_policy
        self.counter: Counter | None = None
        self.wall_clock: Callable[[], float] = time.time  # or the clock of a tally that front doors share
        self.limits = gateway.settings.limits
        self.loop = asyncio.get_running_loop()
        self.requests: dict[int, OpenRequest] = {}
        self.events: deque[i.Event] = deque()
        self.is_handling = False
        self.last_time = 0.0
        self.request_count = 0
        self.unsupported_actions: set[str] = set()  # kinds of action that were logged as not supported
        self.unanswered_count = 0  # requests without their answer
        self.refusal_log = told or RefusalLog()
        self.departures = DepartureCounts()

    # --- events in ---------------------------------------------------------------------------------

    def current_time(self) -> float:
        """Unix time, as lease windows must agree between front doors; it never goes back."""
        self.last_time = max(self.last_time, self.wall_clock())
        return self.last_time

    def post(self, event: i.Event) -> None:
        """Hand an event to the module.  Those that its actions bring about wait for their turn."""
        self.events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.events:
                self.handle_event(self.events.popleft())
        finally:
            self.is_handling = False

    def handle_event(self, event: i.Event) -> None:
        gateway = self.gateway
        failed = False
        try:
            actions = gateway.handle(self.current_time(), event)
        except Exception:
            # One bad event must not lose the others: what was decided before the error still holds.
            log.exception("the module failed on %s", type(event).__name__)
            actions, failed = gateway.actions, True
        for action in actions:
            try:
                self.execute(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                if isinstance(action, i.Send | i.Refuse | i.Fail):
                    self.fail_request(action.request)
        if failed and isinstance(event, i.Request | i.Finished):
            self.fail_request(event.request)

    def fail_request(self, number: int) -> None:
        """A truthful final answer for a request that an error has left without one."""
        request = self.requests.get(number)
        if request is not None and not request.is_settled and not request.attempts:
            self.settle(request, Answer(502 if request.may_have_run else 503))
            self.events.append(i.Left(number))
            self.forget_if_finished(request)

    def submit(self, call: Call, reply: Callable[[Answer], None], over: Callable[[], None]) -> OpenRequest:
        """Take a request: `reply` gets its answer, `over` hears when none of its attempts is out either."""
        self.request_count += 1
        request = OpenRequest(self, self.request_count, call, reply, over)
        self.requests[request.number] = request
        self.unanswered_count += 1
        left = call.deadline - ANSWER_MARGIN_S - time.monotonic()
        request.deadline_timer = self.loop.call_later(max(0.0, left), self.on_deadline, request)
        if call.hold_s > 0:
            request.is_on_hold = True
            self.loop.call_later(call.hold_s, self.on_hold_ended, request)
        else:
            self.post(call.make_event(request.number))
        return request

    def on_hold_ended(self, request: OpenRequest) -> None:
        """It was held for as long as it was to be; now the module hears of it, if anybody still waits."""
        request.is_on_hold = False
        if request.is_settled:
            self.forget_if_finished(request)
        else:
            self.post(request.call.make_event(request.number))

    def on_client_left(self, request: OpenRequest) -> None:
        """The client has gone away: the module hears of it first, then what need not go on is cancelled."""
        if request.is_settled:
            return
        request.client_left_at = time.monotonic()
        out = list(request.attempts.values())
        self.departures.record_departure(len(out), sum(not attempt.is_written for attempt in out))
        self.settle(request, None)
        self.post(i.Left(request.number))
        for attempt in out:
            if request.call.on_departure.cancels_attempt(attempt.is_written):
                attempt.give_up(Outcome.CANCELLED)
        self.forget_if_finished(request)

    def on_deadline(self, request: OpenRequest) -> None:
        """Guards the rule that no request is lost: its client's time is nearly up, and nobody answered."""
        if request.is_settled:
            return
        for attempt in list(request.attempts.values()):
            attempt.give_up(Outcome.TIMEOUT)
        if not request.is_settled:  # what never ran may have been answered just now
            self.refusal_log.record(FAILED)
            self.settle(request, Answer(503 if request.is_on_hold else 504))
            self.post(i.Left(request.number))
            self.forget_if_finished(request)

    def finish_all(self) -> None:
        """The process is about to end: what is still held gets its final answer."""
        for request in list(self.requests.values()):
            self.on_deadline(request)
        self.post(i.Leaving())
        self.refusal_log.write()

    def update_members(self, members: i.Members, addresses: dict[int, Address]) -> None:
        if members.listing is not i.Listing.DELTA:
            for backend in [b for b in self.upstream.pools if b not in addresses]:
                self.upstream.remove_backend(backend)
        for entry in members.entries:
            if entry.state is State.GONE:
                self.upstream.remove_backend(entry.backend)
            else:
                self.upstream.update_backend(entry.backend, addresses[entry.backend], entry.started)
        self.post(members)

    # --- actions out -------------------------------------------------------------------------------

    def execute(self, action: i.Action) -> None:
        match action:
            case i.Send():
                self.send(action)
            case i.SetTimer():
                self.set_timer(action.at, action.token)
            case i.Count():
                if self.counter is None:
                    self.events.append(i.Counted(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
                else:
                    self.counter.add(action)
            case i.Refuse():
                self.refuse_or_fail(action.request, action)
            case i.Fail():
                self.refuse_or_fail(action.request, action)
            case i.Cancel():
                request = self.requests.get(action.request)
                if request is not None and (attempt := request.attempts.get(action.attempt)) is not None:
                    attempt.give_up(Outcome.CANCELLED)
            case i.Probe():
                backend = action.backend
                self.upstream.probe(
                    backend, lambda r: self.post(i.Probed(backend, r.outcome, r.spent, r.report))
                )
            case i.CloseIdle():
                self.upstream.close_idle(action.backend)
            case i.Log():
                log.info("module: %s", action.text)
            case _:  # discovery is always watched, and front doors cannot talk to each other
                if type(action).__name__ not in self.unsupported_actions:
                    self.unsupported_actions.add(type(action).__name__)
                    log.warning("not supported here: %s", type(action).__name__)

    def send(self, action: i.Send) -> None:
        request = self.requests.get(action.request)
        number = request.attempt_count if request is not None else 0
        if request is not None:
            request.attempt_count += 1
        left = request.call.deadline - ATTEMPT_MARGIN_S - time.monotonic() if request is not None else 0.0
        if (
            request is None
            or request.is_settled
            or left <= 0
            or number >= self.limits.max_attempts
            or (request.attempts and not self.limits.second_copies)
        ):
            closed = request is None or request.is_settled
            self.events.append(
                i.Finished(action.request, number, action.backend, Outcome.MOOT, closed, 0.0, 0, 0, ())
            )
            return
        claim = request.call.claim
        if claim is not None and number == 0:
            request.is_on_hold = True
            claim.acquire(lambda said: self.on_claim_result(request, action, said))
            return
        self.start_attempt(request, number, action, left)

    def on_claim_result(self, request: OpenRequest, action: i.Send, said: Answer | None) -> None:
        """A claim has been heard of: its action goes to a backend, or is answered without."""
        request.is_on_hold = False
        left = request.call.deadline - ATTEMPT_MARGIN_S - time.monotonic()
        if said is None and not request.is_settled and left > 0:
            self.start_attempt(request, 0, action, left)
            return
        if said is not None and not request.is_settled:
            self.settle(request, said)
        closed = request.is_settled
        self.post(i.Finished(request.number, 0, action.backend, Outcome.MOOT, closed, 0.0, 0, 0, ()))
        self.forget_if_finished(request)

    def start_attempt(self, request: OpenRequest, number: int, action: i.Send, left: float) -> None:
        timeout = min(left, action.timeout) if action.timeout > 0 else left

        def done(result: Result) -> None:
            self.on_attempt_finished(request, number, action.backend, result)

        call = request.call
        payload = (
            call.make_payload_for(timeout, action.backend)
            if call.make_payload_for is not None
            else call.make_payload(timeout)
        )
        attempt = self.upstream.start_attempt(
            action.backend, payload, timeout, done, call.is_head, call.request_id
        )
        if not attempt.is_finished:
            request.attempts[number] = attempt

    def on_attempt_finished(self, request: OpenRequest, number: int, backend: int, result: Result) -> None:
        request.attempts.pop(number, None)
        request.last_result = result
        if request.client_left_at is not None:
            cancelled = result.outcome in (Outcome.CANCELLED, Outcome.MOOT)
            self.departures.record_attempt_end(time.monotonic() - request.client_left_at, cancelled)
        if not result.outcome.never_ran:
            request.may_have_run = True
        if result.outcome is Outcome.OK and not request.is_settled:
            status = result.status or 200
            self.settle(request, Answer(status, result.body, result.content_type, headers=result.headers))
        closed = request.is_settled
        self.post(
            i.Finished(
                request.number, number, backend, result.outcome, closed, result.spent, 0, 0, result.report
            )
        )
        self.forget_if_finished(request)

    def refuse_or_fail(self, number: int, how: i.Refuse | i.Fail) -> None:
        """Refuse or fail a request; what its worker said last goes before a wording of our own."""
        request = self.requests.get(number)
        if request is not None and not request.is_settled:
            self.refusal_log.record(how.why.value if isinstance(how, i.Refuse) else FAILED)
            last = request.last_result
            if last is not None and last.outcome is Outcome.ERROR and last.status:
                answer = Answer(last.status, last.body, last.content_type, headers=last.headers)
            elif isinstance(how, i.Refuse):
                outcome = last.outcome if last is not None and request.may_have_run else None
                status = self.answer_policy.refusal_status(how.why is i.Why.QUOTA, outcome)
                answer = Answer(status, retry_after=how.retry_after)
            else:
                answer = Answer(self.answer_policy.failure_status(last.outcome if last is not None else None))
            self.settle(request, answer)
            self.forget_if_finished(request)

    def settle(self, request: OpenRequest, answer: Answer | None) -> None:
        request.is_settled, request.answer = True, answer
        self.unanswered_count -= 1
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if answer is not None:
            request.reply(answer)

    def forget_if_finished(self, request: OpenRequest) -> None:
        if not request.is_settled or request.attempts or request.is_on_hold:
            return
        if self.requests.pop(request.number, None) is not None:
            request.on_finished()
            if (claim := request.call.claim) is not None:
                claim.finish(self.backend_answer(request), request.may_have_run)

    def backend_answer(self, request: OpenRequest) -> Answer | None:
        """The whole answer of a backend that a request ended with, told to its client or not."""
        answer, last = request.answer, request.last_result
        if answer is not None:
            return answer if answer.headers is not None and request.may_have_run else None
        if last is None or last.outcome not in (Outcome.OK, Outcome.ERROR) or not last.status:
            return None
        return Answer(last.status, last.body, last.content_type, headers=last.headers)

    def set_timer(self, at: float, token: int) -> None:
        # The loop counts whole milliseconds from a cached clock and may fire early by some: look again.
        delay = math.ceil((at - self.current_time()) * 1000) / 1000
        self.loop.call_later(max(0.001, delay), self.on_timer, at, token)

    def on_timer(self, at: float, token: int) -> None:
        if self.current_time() < at:
            self.set_timer(at, token)
        else:
            self.post(i.Fired(token))
