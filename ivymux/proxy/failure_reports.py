"""What a door tells the core of backends that fail what they are sent."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable

from ivymux.data_plane.host import Host, OpenRequest
from ivymux.data_plane.upstream import Result
from ivymux.transport.frames import Message
from orchidhill.interface import Outcome

TOGETHER = 0.03  # seconds: what is met within them is told in one message
LOOK = 1.0  # seconds over which a door looks whether it is well itself


def indicates_backend_failure(outcome: Outcome, status: int) -> bool:
    """Whether an attempt tells against its backend.

    Not what a full one says or does (503, 504, a reset): to leave those alone would fill the others.
    """
    return outcome is Outcome.CANCELLED or (outcome is Outcome.ERROR and status in (500, 502))


class WatchedHost(Host):
    """A host that tells which backends failed, and counts what went well."""

    well = 0
    doubt: Callable[[int], None] = staticmethod(lambda backend: None)

    def on_attempt_finished(self, request: OpenRequest, number: int, backend: int, result: Result) -> None:
        if result.outcome is Outcome.OK:
            self.well += 1
        elif indicates_backend_failure(result.outcome, result.status) and not request.is_settled:
            self.doubt(backend)
        super().on_attempt_finished(request, number, backend, result)


class FailureReporter:
    def __init__(
        self, well: Callable[[], int], id: Callable[[int], str], send: Callable[[Message], None]
    ) -> None:
        """`well`: requests that went well so far; `id`: a backend's, by its number; `send`: to the core."""
        self.well, self.id, self.send = well, id, send
        self.met: Counter[int] = Counter()
        self.timer: asyncio.TimerHandle | None = None
        self.kept: deque[tuple[float, int]] = deque(maxlen=64)  # when, and how many had gone well

    def doubt(self, backend: int) -> None:
        self.met[backend] += 1
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(TOGETHER, self.tell)

    def sample(self) -> None:
        self.kept.append((time.monotonic(), self.well()))

    def tell(self) -> None:
        """What was met, unless most goes wrong here: then it is this door's own trouble."""
        self.timer, met, self.met = None, self.met, Counter()
        self.sample()
        since = next((count for at, count in self.kept if at > time.monotonic() - LOOK), 0)
        if self.kept[-1][1] - since >= met.total():
            self.send({"k": "doubt", "l": [[id, n] for b, n in met.items() if (id := self.id(b))]})
