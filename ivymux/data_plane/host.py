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

ATTEMPT_MARGIN = 0.030  # seconds before the client's deadline at which an attempt is given up
GUARD_MARGIN = 0.015  # and at which the request is answered whatever the module does

log = logging.getLogger(__name__)


@dataclass(slots=True)
class OpenRequest:
    """A request that still needs an answer, or whose attempts are still out."""

    host: Host  # which has it
    number: int
    call: Call
    reply: Callable[[Answer], None]
    over: Callable[[], None]  # hears when it is answered and none of its attempts is out
    guard: asyncio.TimerHandle | None = None
    out: dict[int, Attempt] = field(default_factory=dict)
    sent: int = 0
    may_have_run: bool = False
    last: Result | None = None  # of the attempt that ended last
    settled: bool = False  # answered, or nobody waits any more
    claiming: bool = False  # nothing is sent before its claim is heard of, or while it is held
    answer: Answer | None = None
    left_at: float | None = None  # monotonic time at which its client left it unanswered


class Counter(Protocol):
    """What the host needs of a counter: each call is answered once, by a `Counted` posted to the host."""

    def add(self, count: i.Count) -> None: ...


class Host:
    def __init__(self, gateway: Gateway, upstream: Upstream, told: RefusalLog | None = None) -> None:
        self.gateway, self.upstream, self.style = gateway, upstream, upstream.style
        self.counter: Counter | None = None
        self.unix: Callable[[], float] = time.time  # or the clock of a tally that front doors share
        self.limits = gateway.settings.limits
        self.loop = asyncio.get_running_loop()
        self.table: dict[int, OpenRequest] = {}
        self.events: deque[i.Event] = deque()
        self.busy = False
        self.now = 0.0
        self.number = 0
        self.unknown: set[str] = set()  # kinds of action that were logged as not supported
        self.waiting = 0  # requests without their answer
        self.told = told or RefusalLog()
        self.departures = DepartureCounts()

    # --- events in ---------------------------------------------------------------------------------

    def clock(self) -> float:
        """Unix time, as lease windows must agree between front doors; it never goes back."""
        self.now = max(self.now, self.unix())
        return self.now

    def post(self, event: i.Event) -> None:
        """Hand an event to the module.  Those that its actions bring about wait for their turn."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.step(self.events.popleft())
        finally:
            self.busy = False

    def step(self, event: i.Event) -> None:
        gateway = self.gateway
        failed = False
        try:
            actions = gateway.handle(self.clock(), event)
        except Exception:
            # One bad event must not lose the others: what was decided before the error still holds.
            log.exception("the module failed on %s", type(event).__name__)
            actions, failed = gateway.actions, True
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                if isinstance(action, i.Send | i.Refuse | i.Fail):
                    self.give_up(action.request)
        if failed and isinstance(event, i.Request | i.Finished):
            self.give_up(event.request)

    def give_up(self, number: int) -> None:
        """A truthful final answer for a request that an error has left without one."""
        request = self.table.get(number)
        if request is not None and not request.settled and not request.out:
            self.settle(request, Answer(502 if request.may_have_run else 503))
            self.events.append(i.Left(number))
            self.drop(request)

    def request(self, call: Call, reply: Callable[[Answer], None], over: Callable[[], None]) -> OpenRequest:
        """Take a request: `reply` gets its answer, `over` hears when none of its attempts is out either."""
        self.number += 1
        request = OpenRequest(self, self.number, call, reply, over)
        self.table[request.number] = request
        self.waiting += 1
        left = call.end - GUARD_MARGIN - time.monotonic()
        request.guard = self.loop.call_later(max(0.0, left), self.overdue, request)
        if call.hold > 0:
            request.claiming = True
            self.loop.call_later(call.hold, self.held, request)
        else:
            self.post(call.make(request.number))
        return request

    def held(self, request: OpenRequest) -> None:
        """It was held for as long as it was to be; now the module hears of it, if anybody still waits."""
        request.claiming = False
        if request.settled:
            self.drop(request)
        else:
            self.post(request.call.make(request.number))

    def left(self, request: OpenRequest) -> None:
        """The client has gone away: the module hears of it first, then what need not go on is cancelled."""
        if request.settled:
            return
        request.left_at = time.monotonic()
        out = list(request.out.values())
        self.departures.left(len(out), sum(not attempt.written for attempt in out))
        self.settle(request, None)
        self.post(i.Left(request.number))
        for attempt in out:
            if request.call.on_departure.cancels(attempt.written):
                attempt.give_up(Outcome.CANCELLED)
        self.drop(request)

    def overdue(self, request: OpenRequest) -> None:
        """Guards the rule that no request is lost: its client's time is nearly up, and nobody answered."""
        if request.settled:
            return
        for attempt in list(request.out.values()):
            attempt.give_up(Outcome.TIMEOUT)
        if not request.settled:  # what never ran may have been answered just now
            self.told.refused(FAILED)
            self.settle(request, Answer(503 if request.claiming else 504))
            self.post(i.Left(request.number))
            self.drop(request)

    def answer_all(self) -> None:
        """The process is about to end: what is still held gets its final answer."""
        for request in list(self.table.values()):
            self.overdue(request)
        self.post(i.Leaving())
        self.told.tell()

    def members(self, members: i.Members, addresses: dict[int, Address]) -> None:
        if members.listing is not i.Listing.DELTA:
            for backend in [b for b in self.upstream.pools if b not in addresses]:
                self.upstream.remove(backend)
        for entry in members.entries:
            if entry.state is State.GONE:
                self.upstream.remove(entry.backend)
            else:
                self.upstream.place(entry.backend, addresses[entry.backend], entry.started)
        self.post(members)

    # --- actions out -------------------------------------------------------------------------------

    def carry_out(self, action: i.Action) -> None:
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
                self.end(action.request, action)
            case i.Fail():
                self.end(action.request, action)
            case i.Cancel():
                request = self.table.get(action.request)
                if request is not None and (attempt := request.out.get(action.attempt)) is not None:
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
                if type(action).__name__ not in self.unknown:
                    self.unknown.add(type(action).__name__)
                    log.warning("not supported here: %s", type(action).__name__)

    def send(self, action: i.Send) -> None:
        request = self.table.get(action.request)
        number = request.sent if request is not None else 0
        if request is not None:
            request.sent += 1
        left = request.call.end - ATTEMPT_MARGIN - time.monotonic() if request is not None else 0.0
        if (
            request is None
            or request.settled
            or left <= 0
            or number >= self.limits.max_attempts
            or (request.out and not self.limits.second_copies)
        ):
            closed = request is None or request.settled
            self.events.append(
                i.Finished(action.request, number, action.backend, Outcome.MOOT, closed, 0.0, 0, 0, ())
            )
            return
        claim = request.call.claim
        if claim is not None and number == 0:
            request.claiming = True
            claim.ask(lambda said: self.claimed(request, action, said))
            return
        self.start(request, number, action, left)

    def claimed(self, request: OpenRequest, action: i.Send, said: Answer | None) -> None:
        """A claim has been heard of: its action goes to a backend, or is answered without."""
        request.claiming = False
        left = request.call.end - ATTEMPT_MARGIN - time.monotonic()
        if said is None and not request.settled and left > 0:
            self.start(request, 0, action, left)
            return
        if said is not None and not request.settled:
            self.settle(request, said)
        closed = request.settled
        self.post(i.Finished(request.number, 0, action.backend, Outcome.MOOT, closed, 0.0, 0, 0, ()))
        self.drop(request)

    def start(self, request: OpenRequest, number: int, action: i.Send, left: float) -> None:
        timeout = min(left, action.timeout) if action.timeout > 0 else left

        def done(result: Result) -> None:
            self.finished(request, number, action.backend, result)

        call = request.call
        payload = call.to(timeout, action.backend) if call.to is not None else call.payload(timeout)
        attempt = self.upstream.start(action.backend, payload, timeout, done, call.head, call.name)
        if not attempt.over:
            request.out[number] = attempt

    def finished(self, request: OpenRequest, number: int, backend: int, result: Result) -> None:
        request.out.pop(number, None)
        request.last = result
        if request.left_at is not None:
            cancelled = result.outcome in (Outcome.CANCELLED, Outcome.MOOT)
            self.departures.ended(time.monotonic() - request.left_at, cancelled)
        if not result.outcome.never_ran:
            request.may_have_run = True
        if result.outcome is Outcome.OK and not request.settled:
            status = result.status or 200
            self.settle(request, Answer(status, result.body, result.content_type, headers=result.headers))
        closed = request.settled
        self.post(
            i.Finished(
                request.number, number, backend, result.outcome, closed, result.spent, 0, 0, result.report
            )
        )
        self.drop(request)

    def end(self, number: int, how: i.Refuse | i.Fail) -> None:
        """Refuse or fail a request; what its worker said last goes before a wording of our own."""
        request = self.table.get(number)
        if request is not None and not request.settled:
            self.told.refused(how.why.value if isinstance(how, i.Refuse) else FAILED)
            last = request.last
            if last is not None and last.outcome is Outcome.ERROR and last.status:
                answer = Answer(last.status, last.body, last.content_type, headers=last.headers)
            elif isinstance(how, i.Refuse):
                outcome = last.outcome if last is not None and request.may_have_run else None
                status = self.style.refused(how.why is i.Why.QUOTA, outcome)
                answer = Answer(status, retry_after=how.retry_after)
            else:
                answer = Answer(self.style.failed(last.outcome if last is not None else None))
            self.settle(request, answer)
            self.drop(request)

    def settle(self, request: OpenRequest, answer: Answer | None) -> None:
        request.settled, request.answer = True, answer
        self.waiting -= 1
        if request.guard is not None:
            request.guard.cancel()
        if answer is not None:
            request.reply(answer)

    def drop(self, request: OpenRequest) -> None:
        if not request.settled or request.out or request.claiming:
            return
        if self.table.pop(request.number, None) is not None:
            request.over()
            if (claim := request.call.claim) is not None:
                claim.end(self.ended_with(request), request.may_have_run)

    def ended_with(self, request: OpenRequest) -> Answer | None:
        """The whole answer of a backend that a request ended with, told to its client or not."""
        answer, last = request.answer, request.last
        if answer is not None:
            return answer if answer.headers is not None and request.may_have_run else None
        if last is None or last.outcome not in (Outcome.OK, Outcome.ERROR) or not last.status:
            return None
        return Answer(last.status, last.body, last.content_type, headers=last.headers)

    def set_timer(self, at: float, token: int) -> None:
        # The loop counts whole milliseconds from a cached clock and may fire early by some: look again.
        delay = math.ceil((at - self.clock()) * 1000) / 1000
        self.loop.call_later(max(0.001, delay), self.fire, at, token)

    def fire(self, at: float, token: int) -> None:
        if self.clock() < at:
            self.set_timer(at, token)
        else:
            self.post(i.Fired(token))
