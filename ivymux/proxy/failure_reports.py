"""Reports to the core on backends that fail requests."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable

from ivymux.data_plane.attempt import Result
from ivymux.data_plane.host import Host, OpenRequest
from ivymux.transport.frames import Message
from orchidhill import interface as i
from orchidhill.interface import Outcome

BATCH_INTERVAL_S = 0.03  # failures within this time are reported in one message
HEALTH_WINDOW_S = 1.0  # over which a proxy compares its successes with its failures
MAX_SAMPLES = 64


def indicates_backend_failure(outcome: Outcome, status: int) -> bool:
    """Whether an attempt's outcome counts as a failure of its backend.

    503, 504 and resets do not count: overloaded backends cause them, and ejections would overload others.
    """
    return outcome is Outcome.CANCELLED or (outcome is Outcome.ERROR and status in (500, 502))


class WatchedHost(Host):
    """A host that reports failures of backends, and counts successes."""

    success_count = 0
    report_failure: Callable[[int], None] = staticmethod(lambda backend: None)

    def start_attempt(self, request: OpenRequest, number: int, action: i.Send, time_left: float) -> None:
        """Report the backends of the attempts in flight, which took too long, and start a further one."""
        for attempt in request.attempts.values():
            if attempt.connection is not None:
                self.report_failure(attempt.connection.pool.backend)
        super().start_attempt(request, number, action, time_left)

    def on_attempt_finished(self, request: OpenRequest, number: int, backend: int, result: Result) -> None:
        if result.outcome is Outcome.OK:
            self.success_count += 1
        elif indicates_backend_failure(result.outcome, result.status) and not request.is_settled:
            self.report_failure(backend)
        super().on_attempt_finished(request, number, backend, result)


class FailureReporter:
    """Collects failures of backends, and reports them to the core in batches."""

    def __init__(
        self,
        success_count: Callable[[], int],
        backend_id: Callable[[int], str],
        send: Callable[[Message], None],
    ) -> None:
        """`success_count`: successes so far; `backend_id`: a backend's id by number; `send`: to the core."""
        self.success_count, self.backend_id, self.send = success_count, backend_id, send
        self.failures: Counter[int] = Counter()  # not reported yet, by backend
        self.timer: asyncio.TimerHandle | None = None
        self.samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)  # time, successes so far

    def on_failure(self, backend: int) -> None:
        self.failures[backend] += 1
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(BATCH_INTERVAL_S, self.send_report)

    def sample(self) -> None:
        """Record the time and the number of successes so far."""
        self.samples.append((time.monotonic(), self.success_count()))

    def send_report(self) -> None:
        """Report the failures unless they outnumber successes: then this proxy itself is the likely cause."""
        self.timer, failures, self.failures = None, self.failures, Counter()
        self.sample()
        window_start = time.monotonic() - HEALTH_WINDOW_S
        earlier = next((count for at, count in self.samples if at > window_start), 0)
        if self.samples[-1][1] - earlier >= failures.total():
            entries = [[id, n] for backend, n in failures.items() if (id := self.backend_id(backend))]
            self.send({"k": "doubt", "l": entries})
