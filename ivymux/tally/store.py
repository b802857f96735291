"""Named counters that expire.  Pure: the time is passed in."""

from __future__ import annotations

import heapq
import math
import re
from collections import deque
from dataclasses import dataclass

MAX_NAMES = 1_000_000
MAX_LIFE_S = 60.0  # longer lives are cut to this
MAX_AMOUNT = 1e9  # of one call, positive or negative
REMEMBERED_CALLS = 4  # call numbers kept for each caller of a name, to detect repeated calls
AMOUNT_PATTERN = re.compile(rb"-?\d{1,20}(\.\d{1,20})?", re.ASCII)
INTEGER_PATTERN = re.compile(rb"\d{1,15}", re.ASCII)


class CounterFullError(Exception):
    """The store has its maximum number of names, so a new name was refused and nothing was added."""


class InvalidCallError(ValueError):
    """A call is malformed, and nothing was added."""


class CounterStore:
    """Totals by name; a name expires after the life that its first call set."""

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        self.max_names = max_names
        # Identifies the set of totals across restarts; empty if the totals end with the process.
        self.incarnation = b""
        self.totals: dict[bytes, float] = {}
        self.recent_calls: dict[bytes, dict[bytes, deque[bytes]]] = {}  # numbers by name and caller
        self.expiries: list[tuple[float, bytes]] = []  # a heap: the next name to expire is first

    def flush(self) -> None:
        """Save pending changes before replies are sent; does nothing for a store in memory."""

    def add_once(self, call: TallyCall, now: float) -> float:
        """Add a call's amount unless the call is a repetition, and return the total.

        Raises CounterFullError.
        """
        if not call.number:
            return self.add(call.name, call.amount, call.life, now)
        self.expire(now)
        numbers = self.recent_calls.setdefault(call.name, {}).setdefault(
            call.caller, deque(maxlen=REMEMBERED_CALLS)
        )
        if call.number in numbers and call.name in self.totals:
            return self.totals[call.name]
        total = self.add(call.name, call.amount, call.life, now)
        numbers.append(call.number)
        return total

    def add(self, name: bytes, amount: float, life: float, now: float) -> float:
        """Add an amount and return the total.

        `life` and `now` are in seconds; `now` comes from a clock that never goes back.  Raises
        CounterFullError.
        """
        self.expire(now)
        total = self.totals.get(name)
        if total is None:
            if len(self.totals) >= self.max_names:
                raise CounterFullError
            heapq.heappush(self.expiries, (now + min(life, MAX_LIFE_S), name))
            total = 0.0
        total += amount
        self.totals[name] = total
        return total

    def expire(self, now: float) -> None:
        """Remove the names whose life has ended."""
        while self.expiries and self.expiries[0][0] <= now:
            name = heapq.heappop(self.expiries)[1]
            del self.totals[name]
            self.recent_calls.pop(name, None)


@dataclass(frozen=True, slots=True)
class TallyCall:
    """A parsed TALLY call; `caller` and `number` are empty if the call is never repeated."""

    name: bytes
    amount: float
    life: float  # seconds
    caller: bytes = b""  # with `number`, identifies the call, so that a repetition is counted once
    number: bytes = b""


def parse_call(parts: object) -> TallyCall:
    """Parse `TALLY NAME AMOUNT LIFE_MS [CALLER:NUMBER]`.  Raises InvalidCallError."""
    if not (isinstance(parts, list) and len(parts) in (4, 5) and all(isinstance(p, bytes) for p in parts)):
        raise InvalidCallError("TALLY takes a name, an amount and a life in milliseconds")
    _, name, amount, life = parts[:4]
    caller, _, number = parts[4].partition(b":") if len(parts) == 5 else (b"", b"", b"")
    if len(parts) == 5 and not (0 < len(caller) <= 32 and INTEGER_PATTERN.fullmatch(number)):
        raise InvalidCallError("a call that may come again is named CALLER:NUMBER")
    if not 1 <= len(name) <= 64:
        raise InvalidCallError("a name has 1 to 64 bytes")
    if not AMOUNT_PATTERN.fullmatch(amount) or not abs(float(amount)) <= MAX_AMOUNT:
        raise InvalidCallError("an amount is a decimal number up to 1e9")
    if not INTEGER_PATTERN.fullmatch(life) or int(life) < 1:
        raise InvalidCallError("a life is a whole number of milliseconds from 1")
    return TallyCall(name, float(amount), min(MAX_LIFE_S, int(life) / 1000), caller, number)


def format_total(total: float) -> bytes:
    """Format a total as text that parses to the same number."""
    return b"%d" % total if total == math.floor(total) and abs(total) < 1e15 else repr(total).encode()
