"""Runs the decision module: passes it events, executes its actions in order and tracks open requests."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from ivymux.data_plane.attempt import Attempt, Result
from ivymux.data_plane.client_departures import DepartureCounts
from ivymux.data_plane.frontend import Answer, Call
from ivymux.data_plane.limits import Address
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.data_plane.refusals import FAILED
from ivymux.data_plane.request_endings import RequestEndings
from ivymux.data_plane.upstream import Upstream
from orchidhill import interface as i
from orchidhill.interface import Outcome, State

if TYPE_CHECKING:  # a core machine runs no decision module and starts faster without the import
    from orchidhill.gateway import Gateway

ATTEMPT_MARGIN_S = 0.030  # before the client's deadline, when an attempt is given up
ANSWER_MARGIN_S = 0.015  # before the client's deadline, when the request is answered in any case

log = logging.getLogger(__name__)


@dataclass(slots=True)
class OpenRequest:
    """A request that is not yet answered, or that still has attempts in flight."""

    host: Host
    number: int
    call: Call
    reply: Callable[[Answer], None]
    on_finished: Callable[[], None]  # called once it is answered and has no attempts in flight
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)  # in flight, by attempt number
    attempt_count: int = 0
    may_have_run: bool = False  # whether a backend may have executed it
    last_result: Result | None = None  # of the attempt that ended last
    has_broken_off: bool = False  # whether an attempt was given up while a backend may have been at work
    is_settled: bool = False  # answered, or its client has disconnected
    is_on_hold: bool = False  # delayed, or waiting for the result of its claim; nothing is sent meanwhile
    answer: Answer | None = None
    client_left_at: float | None = None  # monotonic time of the disconnect, if it was unanswered then


class Counter(Protocol):
    """The counter that a host uses: it answers each `Count` once, by posting a `Counted` to the host."""

    def add(self, count: i.Count) -> None: ...


class Host:
    """Connects one decision module with its clients, its backends, its timers and the counter."""

    def __init__(
        self, decision_module: Gateway, upstream: Upstream, refusal_log: RefusalLog | None = None
    ) -> None:
        """`refusal_log`: shared with other hosts; None: the host gets its own."""
        self.decision_module, self.upstream = decision_module, upstream
        self.answer_policy = upstream.answer_policy
        self.counter: Counter | None = None
        # Returns Unix time; replaced by the time of the counter service if gateways share one.
        self.wall_clock: Callable[[], float] = time.time
        self.limits = decision_module.settings.limits
        self.loop = asyncio.get_running_loop()
        self.requests: dict[int, OpenRequest] = {}
        self.events: deque[i.Event] = deque()
        self.is_handling = False  # whether an event is being handled now
        self.last_time = 0.0  # as last returned by `current_time`
        self.request_count = 0
        self.unsupported_actions: set[str] = set()  # action types already logged as unsupported
        self.unanswered_count = 0
        self.refusal_log = refusal_log or RefusalLog()
        self.departures = DepartureCounts()
        self.endings = RequestEndings()

    # --- events in ---------------------------------------------------------------------------------

    def current_time(self) -> float:
        """Return Unix time, which never decreases.

        It is not a process-local clock because lease windows must be the same at all gateways.
        """
        self.last_time = max(self.last_time, self.wall_clock())
        return self.last_time

    def post(self, event: i.Event) -> None:
        """Pass an event to the decision module.

        Events that its actions cause are queued and handled after it, not within it.
        """
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
        """Let the decision module handle an event, then execute its actions."""
        has_failed = False
        try:
            actions = self.decision_module.handle(self.current_time(), event)
        except Exception:
            # The actions decided before the error are still executed, so that other requests go on.
            log.exception("the decision module failed on %s", type(event).__name__)
            actions, has_failed = self.decision_module.actions, True
        for action in actions:
            try:
                self.execute(action)
            except Exception:
                log.exception("could not execute %s", type(action).__name__)
                if isinstance(action, i.Send | i.Refuse | i.Fail):
                    self.fail_request(action.request)
        if has_failed and isinstance(event, i.Request | i.Finished):
            self.fail_request(event.request)

    def fail_request(self, number: int) -> None:
        """Answer a request that an internal error has left without attempts and without an answer.

        The status is 502 if a backend may have executed it, else 503.
        """
        request = self.requests.get(number)
        if request is not None and not request.is_settled and not request.attempts:
            self.settle(request, Answer(502 if request.may_have_run else 503))
            self.events.append(i.Left(number))
            self.forget_if_finished(request)

    def submit(
        self, call: Call, reply: Callable[[Answer], None], on_finished: Callable[[], None]
    ) -> OpenRequest:
        """Start handling a request.

        `reply` is called with its answer; `on_finished` once it is answered and has no attempts in flight.
        """
        self.request_count += 1
        request = OpenRequest(self, self.request_count, call, reply, on_finished)
        self.requests[request.number] = request
        self.unanswered_count += 1
        time_left = call.deadline - ANSWER_MARGIN_S - time.monotonic()
        request.deadline_timer = self.loop.call_later(max(0.0, time_left), self.on_deadline, request)
        if call.hold_s > 0:
            request.is_on_hold = True
            self.loop.call_later(call.hold_s, self.on_hold_ended, request)
        else:
            self.post(call.make_event(request.number))
        return request

    def on_hold_ended(self, request: OpenRequest) -> None:
        """Pass a delayed request to the decision module, unless it has been settled meanwhile."""
        request.is_on_hold = False
        if request.is_settled:
            self.forget_if_finished(request)
        else:
            self.post(request.call.make_event(request.number))

    def on_client_left(self, request: OpenRequest) -> None:
        """Handle the disconnect of a request's client.

        The decision module is informed first; then the attempts that `on_departure` names are cancelled.
        """
        if request.is_settled:
            return
        request.client_left_at = time.monotonic()
        attempts = list(request.attempts.values())
        self.departures.record_departure(len(attempts), sum(not attempt.is_written for attempt in attempts))
        self.settle(request, None)
        self.post(i.Left(request.number))
        for attempt in attempts:
            if request.call.on_departure.cancels_attempt(attempt.is_written):
                attempt.give_up(Outcome.CANCELLED)
        self.forget_if_finished(request)

    def on_deadline(self, request: OpenRequest) -> None:
        """Answer a request just before its client's deadline, so that every request gets an answer."""
        if request.is_settled:
            return
        for attempt in list(request.attempts.values()):
            attempt.give_up(Outcome.TIMEOUT)
        if not request.is_settled:  # giving up an unwritten attempt may have led to an answer at once
            self.refusal_log.record(FAILED)
            self.settle(request, Answer(503 if request.is_on_hold else 504))
            self.post(i.Left(request.number))
            self.forget_if_finished(request)

    def finish_all(self) -> None:
        """Answer all open requests before the process ends."""
        for request in list(self.requests.values()):
            self.on_deadline(request)
        self.post(i.Leaving())
        self.refusal_log.write()

    def update_members(self, members: i.Members, addresses: dict[int, Address]) -> None:
        """Apply a list of backends, or a change of it, to the connections; then post it."""
        if members.listing is not i.Listing.DELTA:
            self.upstream.remove_all_but(addresses)
        for entry in members.entries:
            if entry.state is State.GONE:
                self.upstream.remove_backend(entry.backend)
            else:
                self.upstream.update_backend(entry.backend, addresses[entry.backend], entry.started)
        self.post(members)

    # --- actions out -------------------------------------------------------------------------------

    def execute(self, action: i.Action) -> None:
        """Execute one action of the decision module."""
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
                self.cancel_attempt(action)
            case i.Probe():
                backend = action.backend
                self.upstream.probe(
                    backend,
                    lambda result: self.post(i.Probed(backend, result.outcome, result.spent, result.report)),
                )
            case i.CloseIdle():
                self.upstream.close_idle(action.backend)
            case i.Log():
                log.info("module: %s", action.text)
            case _:  # `Watch`: discovery is always watched; `Tell`: gateways are not connected to each other
                if type(action).__name__ not in self.unsupported_actions:
                    self.unsupported_actions.add(type(action).__name__)
                    log.warning("unsupported action: %s", type(action).__name__)

    def cancel_attempt(self, action: i.Cancel) -> None:
        """Give up an attempt that is in flight."""
        request = self.requests.get(action.request)
        attempt = request.attempts.get(action.attempt) if request is not None else None
        if request is None or attempt is None:
            return
        if attempt.is_written and not request.is_settled:
            request.has_broken_off = True
            self.endings.broken_off_attempts += 1
        attempt.give_up(Outcome.CANCELLED)

    def send(self, action: i.Send) -> None:
        """Start an attempt, after claiming its action if need be; report it MOOT if it can't be started."""
        request = self.requests.get(action.request)
        number = request.attempt_count if request is not None else 0
        if request is not None:
            request.attempt_count += 1
        time_left = (
            request.call.deadline - ATTEMPT_MARGIN_S - time.monotonic() if request is not None else 0.0
        )
        if (
            request is None
            or request.is_settled
            or time_left <= 0
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
            claim.acquire(lambda answer: self.on_claim_result(request, action, answer))
            return
        self.start_attempt(request, number, action, time_left)

    def on_claim_result(self, request: OpenRequest, action: i.Send, answer: Answer | None) -> None:
        """Start the attempt if the claim was granted (`answer` is None); else settle the request with it."""
        request.is_on_hold = False
        time_left = request.call.deadline - ATTEMPT_MARGIN_S - time.monotonic()
        if answer is None and not request.is_settled and time_left > 0:
            self.start_attempt(request, 0, action, time_left)
            return
        if answer is not None and not request.is_settled:
            self.settle(request, answer)
        closed = request.is_settled
        self.post(i.Finished(request.number, 0, action.backend, Outcome.MOOT, closed, 0.0, 0, 0, ()))
        self.forget_if_finished(request)

    def start_attempt(self, request: OpenRequest, number: int, action: i.Send, time_left: float) -> None:
        """Send a request to a backend; `time_left` in seconds limits the attempt's timeout."""
        timeout = min(time_left, action.timeout) if action.timeout > 0 else time_left

        def on_done(result: Result) -> None:
            self.on_attempt_finished(request, number, action.backend, result)

        call = request.call
        payload = (
            call.make_payload_for(timeout, action.backend)
            if call.make_payload_for is not None
            else call.make_payload(timeout)
        )
        attempt = self.upstream.start_attempt(
            action.backend, payload, timeout, on_done, call.is_head, call.request_id, call.body
        )
        if not attempt.is_finished:
            request.attempts[number] = attempt

    def on_attempt_finished(self, request: OpenRequest, number: int, backend: int, result: Result) -> None:
        """Settle the request with a successful result; report every result to the decision module."""
        request.attempts.pop(number, None)
        request.last_result = result
        if request.client_left_at is not None:
            cancelled = result.outcome in (Outcome.CANCELLED, Outcome.MOOT)
            self.departures.record_attempt_end(time.monotonic() - request.client_left_at, cancelled)
        if not result.outcome.never_ran:
            request.may_have_run = True
        if result.outcome is Outcome.OK and not request.is_settled:
            self.settle(request, result.backend_answer())
        closed = request.is_settled
        self.post(
            i.Finished(
                request.number, number, backend, result.outcome, closed, result.spent, 0, 0, result.report
            )
        )
        self.forget_if_finished(request)

    def refuse_or_fail(self, number: int, action: i.Refuse | i.Fail) -> None:
        """Refuse or fail a request.

        If the last attempt ended with an error answer of its backend, the client gets that answer.  An
        action with a key that lacks a backend may have run before, and is then answered from its record.
        """
        request = self.requests.get(number)
        if request is None or request.is_settled:
            return
        claim = request.call.claim
        lacks_backend = isinstance(action, i.Refuse) and action.why in (i.Why.ROOM, i.Why.BACKENDS)
        if claim is None or request.attempt_count or not lacks_backend:
            self.settle_unserved(request, action)
            return
        request.is_on_hold = True
        claim.look_up(lambda answer: self.on_looked_up(request, action, answer))

    def on_looked_up(self, request: OpenRequest, action: i.Refuse | i.Fail, answer: Answer | None) -> None:
        """Answer a request that lacks a backend from its action's record, or refuse it without one."""
        request.is_on_hold = False
        if request.is_settled:
            self.forget_if_finished(request)
        elif answer is None:
            self.settle_unserved(request, action)
        else:
            self.settle(request, answer)
            self.forget_if_finished(request)

    def settle_unserved(self, request: OpenRequest, action: i.Refuse | i.Fail) -> None:
        """Give the final answer to a request that no backend has answered."""
        self.refusal_log.record(action.why.value if isinstance(action, i.Refuse) else FAILED)
        last = request.last_result
        if last is not None and last.outcome is Outcome.ERROR and last.status:
            answer = last.backend_answer()
        elif isinstance(action, i.Refuse):
            outcome = last.outcome if last is not None and request.may_have_run else None
            status = self.answer_policy.refusal_status(action.why is i.Why.QUOTA, outcome)
            answer = Answer(status, retry_after=action.retry_after)
        else:
            answer = Answer(self.answer_policy.failure_status(last.outcome if last is not None else None))
        self.settle(request, answer)
        self.forget_if_finished(request)

    def settle(self, request: OpenRequest, answer: Answer | None) -> None:
        """Deliver a request's only answer; None if its client has disconnected."""
        request.is_settled, request.answer = True, answer
        self.unanswered_count -= 1
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if answer is not None:
            self.endings.record_answer(answer, request.has_broken_off)
            request.reply(answer)

    def forget_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that is settled and has nothing in flight, and end its claim."""
        if not request.is_settled or request.attempts or request.is_on_hold:
            return
        if self.requests.pop(request.number, None) is not None:
            request.on_finished()
            if (claim := request.call.claim) is not None:
                claim.finish(self.backend_answer(request), request.may_have_run)
            request.answer = request.last_result = None  # their bodies are not kept until it is collected
            request.call.release()

    def backend_answer(self, request: OpenRequest) -> Answer | None:
        """Return the complete backend answer that ended a request, whether or not its client received it."""
        answer, last = request.answer, request.last_result
        if answer is not None:
            return answer if answer.headers is not None and request.may_have_run else None
        if last is None or last.outcome not in (Outcome.OK, Outcome.ERROR) or not last.status:
            return None
        return last.backend_answer()

    def set_timer(self, at: float, token: int) -> None:
        # The event loop counts whole milliseconds from a cached clock, so a timer may fire early.
        delay = math.ceil((at - self.current_time()) * 1000) / 1000
        self.loop.call_later(max(0.001, delay), self.on_timer, at, token)

    def on_timer(self, at: float, token: int) -> None:
        """Pass a timer to the decision module; wait again if the event loop fired it early."""
        if self.current_time() < at:
            self.set_timer(at, token)
        else:
            self.post(i.Fired(token))
