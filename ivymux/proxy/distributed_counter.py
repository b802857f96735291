"""Counts of tenants' leases, held by the doors themselves: calls to a name's holder, and the own store."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from ivymux.data_plane.limits import Address
from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.lease_counts import LeaseCounts
from ivymux.runtime.log import Log
from ivymux.tally.store import MAX_AMOUNT, TallyFull
from ivymux.transport.connection import Connection, Connector
from ivymux.transport.frames import Message
from orchidhill.interface import Count, Counted, Late, Outcome

MAX_UNSENT = 500  # calls that wait for a connection
MAX_SPAN = 3600.0  # seconds, of a rule's window or of what is told late
MAX_OUT = 2_000  # calls that wait for their answers

log = Log("proxy")


class Pending:
    __slots__ = ("began", "count", "line", "told")

    def __init__(self, count: Count, began: float) -> None:
        self.count, self.began = count, began
        self.told: Counted | None = None
        self.line: Connection | None = None


def plain(value: object) -> float:
    """A number that can be counted with.  Raises ValueError."""
    made = float(value) if isinstance(value, int | float) else math.nan
    if not abs(made) <= MAX_AMOUNT:
        raise ValueError(f"no number to count with: {value!r:.40}")
    return made


def least(value: object, most: float = MAX_AMOUNT) -> float:
    """The same, of nothing below 0 and nothing above a bound.  Raises ValueError."""
    made = plain(value)
    if not 0 <= made <= most:
        raise ValueError(f"no number from 0 to {most:g}: {value!r:.40}")
    return made


class DistributedCounter:
    """The counter as the host calls it: each call is answered once, those of one name in their order."""

    def __init__(
        self,
        me: str,
        holders: CounterHolders,
        counts: LeaseCounts,
        timeout: float,
        post: Callable[[Counted | Late], None],
    ) -> None:
        self.me, self.holders, self.counts = me, holders, counts
        self.timeout, self.post = timeout, post
        self.loop = asyncio.get_running_loop()
        self.lines: dict[str, Connector] = {}
        self.places: dict[str, Address] = {}  # of the doors there are
        self.born: dict[Address, int] = {}  # the incarnation of the counts behind each, as last told
        self.queues: dict[int, deque[Pending]] = {}
        self.out: dict[int, Pending] = {}  # calls that were written, by number
        self.unsent: deque[Pending] = deque()  # that wait until their holder is known and connected
        self.number = 0
        self.spoilt = 0
        self.expiring: deque[tuple[float, Pending]] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def place(self, places: dict[str, Address], now: float) -> None:
        """The doors, and where they are: who holds what begins now is dialled, others as they are asked."""
        self.places = places
        may = self.holders.possible_holders(now)
        for door in [d for d in self.lines if d not in may or d not in places]:
            gone = self.lines.pop(door)
            gone.close()
            self.born.pop(gone.address, None)
        for door in self.holders.current_holders():
            self.line(door)
        self.flush()

    def line(self, door: str | None) -> Connector | None:
        found = self.lines.get(door) if door is not None else None
        if found is None and door is not None and door != self.me and door in self.places:
            found = self.lines[door] = Connector(self.places[door], self.heard, self.came_up, self.down)
        return found

    def came_up(self, line: Connection) -> None:
        self.loop.call_soon(self.flush)

    # --- calls ---------------------------------------------------------------------------------------

    def add(self, count: Count) -> None:
        now = time.monotonic()
        pending = Pending(count, now)
        self.queues.setdefault(count.name, deque()).append(pending)
        if not self.send(pending):
            self.unsent.append(pending)
            self.expire_in(pending, now)

    def expire_in(self, pending: Pending, now: float) -> None:
        self.expiring.append((now + self.timeout, pending))
        if self.timer is None:
            self.timer = self.loop.call_later(self.timeout, self.expire)

    def flush(self) -> None:
        """Calls that waited for their holder, in their order."""
        waiting, self.unsent = self.unsent, deque()
        for pending in waiting:
            if pending.told is None and not self.send(pending):
                self.unsent.append(pending)

    def send(self, pending: Pending) -> bool:
        """Make a call; False where its holder is not known or not connected yet, and may soon be."""
        count, now = pending.count, time.monotonic()
        holder = self.holders.find_holder(count.name, count.customer, pending.began - count.since)
        if holder == self.me:
            try:
                total = self.counts.add(count, self.me, now)
                told = Counted(count.name, Outcome.OK, total, 0.0, self.counts.incarnation)
            except TallyFull:
                told = Counted(count.name, Outcome.FULL, 0.0, 0.0)
            self.settle(pending, told)
            return True
        line = self.line(holder)
        if (
            (line is None or not line.is_connected)
            and (line is None or line.failed_attempts < 1)
            and len(self.unsent) < MAX_UNSENT
        ):
            return False
        if line is None or not line.is_connected or len(self.out) > MAX_OUT:
            self.settle(pending, Counted(count.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
            return True
        self.number += 1
        pending.line = line.connection
        self.out[self.number] = pending
        # Whom it knows its last total from it needs not say again.
        known = [round(count.known, 4), count.knew] if count.knew != self.born.get(line.address) else []
        line.send(
            {"k": "add", "c": self.number, "by": self.me, "a": [
                count.name, count.amount, count.expires, count.call, round(count.drained, 4),
                round(count.since, 4), count.customer, count.rate, count.burst, count.span,
                round(count.seed, 4), round(count.late, 4), round(count.spread, 3), *known,
            ]}
        )  # fmt: skip
        self.expire_in(pending, now)
        return True

    def expire(self) -> None:
        self.timer = None
        now = time.monotonic()
        while self.expiring and self.expiring[0][0] <= now + 0.001:
            _, pending = self.expiring.popleft()
            if pending.told is None:
                # What was never written can never be added.
                how = Outcome.TIMEOUT if pending.line is not None else Outcome.CONNECT_FAILED
                self.settle(pending, Counted(pending.count.name, how, 0.0, now - pending.began))
        self.flush()
        if self.expiring:
            self.timer = self.loop.call_later(max(0.001, self.expiring[0][0] - now), self.expire)

    def settle(self, pending: Pending, told: Counted) -> None:
        pending.told = told
        name = pending.count.name
        queue = self.queues.get(name)
        while queue and queue[0].told is not None:
            first = queue.popleft()
            if not queue:
                self.queues.pop(name, None)
            assert first.told is not None
            self.post(first.told)

    def down(self, line: Connection) -> None:
        for number, pending in [(n, p) for n, p in self.out.items() if p.line is line]:
            del self.out[number]
            if pending.told is None:
                # It may have been added before the connection ended.
                self.settle(pending, Counted(pending.count.name, Outcome.RESET, 0.0, 0.0))

    def heard(self, line: Connection, message: Message) -> None:
        self.guarded(self.answered, line, message)

    def guarded(
        self, take: Callable[[Connection, Message], None], line: Connection, message: Message
    ) -> None:
        """What no door sends ends its connection, counted."""
        try:
            take(line, message)
        except (KeyError, IndexError, TypeError, ValueError, OverflowError) as error:
            self.spoilt += 1
            if self.spoilt in (1, 10, 100, 1000):
                log.info(
                    f"a message that no door sends ended its connection: {error} ({self.spoilt} so far)."
                )
            line.abort()

    def answered(self, line: Connection, message: Message) -> None:
        if message.get("k") != "sum":
            return
        pending = self.out.pop(int(message["c"]), None)
        if pending is None:
            return
        if pending.told is not None:
            self.post(Late(pending.count.name))
            return
        spent = time.monotonic() - pending.began
        if message.get("t") is None:
            self.settle(pending, Counted(pending.count.name, Outcome.CONNECT_FAILED, 0.0, spent))
        else:
            told = Counted(pending.count.name, Outcome.OK, float(message["t"]), spent, int(message["b"]))
            self.born[line.peer] = told.born
            self.settle(pending, told)

    # --- calls of other doors --------------------------------------------------------------------------

    def asked(self, line: Connection, message: Message) -> None:
        self.guarded(self.add_for, line, message)

    def add_for(self, line: Connection, message: Message) -> None:
        """Another door's call."""
        if message.get("k") != "add":
            return
        answer: dict[str, Any] = {"k": "sum", "c": message["c"], "t": None, "b": 0}
        name, amount, life, call, drained, since, customer, rate, burst, span, seed, late, spread, *known = (
            message["a"]
        )
        now = time.monotonic()
        if self.holders.find_holder(int(name), int(customer), now - plain(since)) == self.me:
            count = Count(
                int(name), plain(amount), plain(life), int(call), plain(drained), plain(since), int(customer),
                least(rate), least(burst), least(span, MAX_SPAN), least(seed),
                plain(known[0]) if known else 0.0, int(known[1]) if known else 0,
                least(late), least(spread, MAX_SPAN),
            )  # fmt: skip
            with contextlib.suppress(TallyFull):
                answer["t"] = self.counts.add(count, str(message["by"]), now)
                answer["b"] = self.counts.incarnation
        line.send(answer)

    def close(self) -> None:
        for line in self.lines.values():
            line.close()
        if self.timer is not None:
            self.timer.cancel()
