"""A stand-in backend of a service that is divided by key: it runs requests on keys that it was granted."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from standins.backend import Backend, ExecutedRequest

KEYS = 1 << 16
RELEASE_CALL_S = 0.1  # after an answer that leaves out keys, when it calls again
Put = Callable[[str, dict[str, object]], Awaitable[tuple[int, bytes]]]  # path and body to status and body


@dataclass
class Hold:
    """A range of keys that the backend was granted, both ends inside."""

    first: int
    last: int
    fence: int
    since: float
    until: float


@dataclass
class ShardedBackend(Backend):
    """A backend that holds keys; `history` keeps every hold with its time, by the steady clock."""

    holds: list[Hold] = field(default_factory=list)
    released: list[tuple[int, int, str]] = field(default_factory=list)
    history: list[Hold] = field(default_factory=list)
    state: str = "in_service"

    def __post_init__(self) -> None:
        self.make_answer = self.answer

    def holds_key(self, key: int) -> bool:
        now = time.monotonic()
        return any(hold.first <= key <= hold.last and now < hold.until for hold in self.holds)

    def answer(self, request: ExecutedRequest) -> bytes | None:
        """Answer a request; one on a key that is not held is turned away."""
        if self.holds_key(int(request.headers["shard-key"])):
            return None
        return self.encode_answer(421, request.id, headers="Not-Executed: 1\r\n")

    async def call_until_cancelled(self, put: Put, period_s: float) -> None:
        """Call the registry, each time with what is held and what was released."""
        while True:
            lets_go = await self.call(put)
            await asyncio.sleep(RELEASE_CALL_S if lets_go else period_s)

    async def call(self, put: Put) -> bool:
        """Call once; return whether the answer made it let go of keys."""
        sent_at = time.monotonic()
        self.holds = [hold for hold in self.holds if sent_at < hold.until]
        body = self.heartbeat_body(self.state) | {
            "holdings": [[hold.first, hold.last, hold.fence] for hold in self.holds],
            "released": [list(row) for row in self.released],
        }
        status, content = await put(f"/instances/{self.instance}", body)
        if status != 200 or time.monotonic() - sent_at > 1.0:
            return False
        self.released.clear()
        answer = json.loads(content)
        if "holdings" not in answer:
            return False
        until = sent_at + float(answer["hold_time"].removesuffix("ms")) / 1000
        return self.apply(answer["holdings"], until)

    def apply(self, rows: list[list[object]], until: float) -> bool:
        """Take over the granted rows; return whether others were let go."""
        now = time.monotonic()
        before = {key for hold in self.holds if now < hold.until for key in (hold.first, hold.last)}
        granted = [Hold(int(str(r[0])), int(str(r[1])), int(str(r[2])), now, until) for r in rows]
        for hold in self.holds:
            hold.until = min(hold.until, now)
            if not any(hold.first <= new.last and new.first <= hold.last for new in granted):
                self.released.append((hold.first, hold.last, f"code-{self.instance}-{hold.first}"))
        self.holds = granted
        self.history += granted
        return bool(self.released) and bool(before)


def overlapping_holds(backends: list[ShardedBackend]) -> list[str]:
    """Return the pairs of holds of different backends that share a key at the same time."""
    found = []
    for number, one in enumerate(backends):
        for other in backends[number + 1 :]:
            found += [
                f"{one.instance} {a} and {other.instance} {b}"
                for a in one.history
                for b in other.history
                if a.first <= b.last and b.first <= a.last and a.since < b.until and b.since < a.until
            ]
    return found
