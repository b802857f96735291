"""Named counts with a life each.  Pure: time is passed in."""

from __future__ import annotations

import heapq
import math
import re
from collections import deque
from dataclasses import dataclass

MAX_NAMES = 1_000_000
MAX_LIFE = 60.0  # seconds; longer ones count as this
MAX_AMOUNT = 1e9
LAST_CALLS = 4  # of a caller for a name, that are known if they come again
NUMBER = re.compile(rb"-?\d{1,20}(\.\d{1,20})?", re.ASCII)
LIFE = re.compile(rb"\d{1,15}", re.ASCII)


class TallyFull(Exception):
    """No room for a new name: nothing was added."""


class BadCall(ValueError):
    """A call that is none: nothing was added."""


class Store:
    """Counts by name; a new name is forgotten after the life that its first call gave it."""

    def __init__(self, most_names: int = MAX_NAMES) -> None:
        self.most_names = most_names
        self.incarnation = b""  # of which counts these are a continuation; empty: of its process alone
        self.totals: dict[bytes, float] = {}
        self.made: dict[bytes, dict[bytes, deque[bytes]]] = {}  # of each name: the last calls of each caller
        self.ends: list[tuple[float, bytes]] = []  # a heap: which name ends next

    def flush(self) -> None:
        """Before answers leave: a store that lasts keeps what changed."""

    def add_once(self, call: TallyCall, now: float) -> float:
        """The same for a call that may have been made before: then the total as it is."""
        if not call.number:
            return self.add(call.name, call.amount, call.life, now)
        self.expire(now)
        last = self.made.setdefault(call.name, {}).setdefault(call.caller, deque(maxlen=LAST_CALLS))
        if call.number in last and call.name in self.totals:
            return self.totals[call.name]
        total = self.add(call.name, call.amount, call.life, now)
        last.append(call.number)
        return total

    def add(self, name: bytes, amount: float, life: float, now: float) -> float:
        """The total after an amount was added.  Seconds on any clock that does not go back."""
        self.expire(now)
        total = self.totals.get(name)
        if total is None:
            if len(self.totals) >= self.most_names:
                raise TallyFull
            heapq.heappush(self.ends, (now + min(life, MAX_LIFE), name))
            total = 0.0
        total += amount
        self.totals[name] = total
        return total

    def expire(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            name = heapq.heappop(self.ends)[1]
            del self.totals[name]
            self.made.pop(name, None)


@dataclass(frozen=True, slots=True)
class TallyCall:
    name: bytes
    amount: float
    life: float  # seconds
    caller: bytes = b""  # with its number: the call may come again, and counts once
    number: bytes = b""


def read_call(parts: object) -> TallyCall:
    """`TALLY NAME AMOUNT LIFE_MS [CALLER:NUMBER]` as a call.  Raises BadCall."""
    if not (isinstance(parts, list) and len(parts) in (4, 5) and all(isinstance(p, bytes) for p in parts)):
        raise BadCall("TALLY takes a name, an amount and a life in milliseconds")
    _, name, amount, life = parts[:4]
    caller, _, number = parts[4].partition(b":") if len(parts) == 5 else (b"", b"", b"")
    if len(parts) == 5 and not (0 < len(caller) <= 32 and LIFE.fullmatch(number)):
        raise BadCall("a call that may come again is named CALLER:NUMBER")
    if not 1 <= len(name) <= 64:
        raise BadCall("a name has 1 to 64 bytes")
    if not NUMBER.fullmatch(amount) or not abs(float(amount)) <= MAX_AMOUNT:
        raise BadCall("an amount is a decimal number up to 1e9")
    if not LIFE.fullmatch(life) or int(life) < 1:
        raise BadCall("a life is a whole number of milliseconds from 1")
    return TallyCall(name, float(amount), min(MAX_LIFE, int(life) / 1000), caller, number)


def written(total: float) -> bytes:
    """A total as text that reads back as the same number."""
    return b"%d" % total if total == math.floor(total) and abs(total) < 1e15 else repr(total).encode()
