"""The distributed counter of tenants' leases: calls to the proxy that holds a name, and calls from others."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ivymux.data_plane.limits import Address
from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.lease_counts import LeaseCounts
from ivymux.runtime.log import Log
from ivymux.tally.store import MAX_AMOUNT, CounterFullError
from ivymux.transport.connection import Connection
from ivymux.transport.connector import Connector
from ivymux.transport.frames import Message
from orchidhill.interface import Count, Counted, Late, Outcome

MAX_UNSENT_CALLS = 500  # calls that wait for a connection
MAX_UNANSWERED_CALLS = 2_000
MAX_SPAN_S = 3600.0  # upper bound of a rule's window, and of the time over which late grants were made
TIMER_TOLERANCE_S = 0.001  # by which a timer may fire early

log = Log("proxy")


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call whose result has not been delivered yet."""

    count: Count
    started_at: float
    result: Counted | None = None  # delivered after the results of earlier calls of the same name
    connection: Connection | None = None  # set once the call was sent


def check_number(value: object) -> float:
    """Check a number that can be added to a count.  Raises ValueError."""
    checked = float(value) if isinstance(value, int | float) else math.nan
    if not abs(checked) <= MAX_AMOUNT:
        raise ValueError(f"not a number within the counter's range: {value!r:.40}")
    return checked


def check_non_negative(value: object, maximum: float = MAX_AMOUNT) -> float:
    """Check a number from 0 to a maximum.  Raises ValueError."""
    checked = check_number(value)
    if not 0 <= checked <= maximum:
        raise ValueError(f"not a number from 0 to {maximum:g}: {value!r:.40}")
    return checked


class DistributedCounter:
    """The counter that the host calls: each call gets one result, in order among the calls of a name."""

    def __init__(
        self,
        me: str,
        holders: CounterHolders,
        counts: LeaseCounts,
        timeout: float,
        post: Callable[[Counted | Late], None],
    ) -> None:
        """`me`: this proxy's id; `timeout`: of a call, in seconds; `post`: delivers results to the host."""
        self.me, self.holders, self.counts = me, holders, counts
        self.timeout, self.post = timeout, post
        self.loop = asyncio.get_running_loop()
        self.connectors: dict[str, Connector] = {}  # by proxy
        self.addresses: dict[str, Address] = {}  # of all proxies
        self.incarnations: dict[Address, int] = {}  # of the counts at each address, as last received
        self.queues: dict[int, deque[PendingCall]] = {}  # by name
        self.unanswered: dict[int, PendingCall] = {}  # by call number
        self.unsent: deque[PendingCall] = deque()  # calls whose holder is not known or not connected yet
        self.last_call_number = 0
        self.malformed_messages = 0
        self.deadlines: deque[tuple[float, PendingCall]] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def update_proxies(self, addresses: dict[str, Address], now: float) -> None:
        """Set the present proxies' addresses, and connect to the current holders.

        Connections to other proxies are opened when a call needs them.
        """
        self.addresses = addresses
        possible = self.holders.possible_holders(now)
        unneeded = [p for p in self.connectors if p not in possible or p not in addresses]
        for proxy in unneeded:
            connector = self.connectors.pop(proxy)
            connector.close()
            self.incarnations.pop(connector.address, None)
        for proxy in self.holders.current_holders():
            self.connector_to(proxy)
        self.send_waiting()

    def connector_to(self, proxy: str | None) -> Connector | None:
        """Return the connector to a proxy, created on first use; None for this proxy or an unknown one."""
        connector = self.connectors.get(proxy) if proxy is not None else None
        if connector is None and proxy is not None and proxy != self.me and proxy in self.addresses:
            connector = self.connectors[proxy] = Connector(
                self.addresses[proxy], self.on_holder_message, self.on_connect, self.on_disconnect
            )
        return connector

    def on_connect(self, connection: Connection) -> None:
        self.loop.call_soon(self.send_waiting)

    # --- calls ---------------------------------------------------------------------------------------

    def add(self, count: Count) -> None:
        now = time.monotonic()
        call = PendingCall(count, now)
        self.queues.setdefault(count.name, deque()).append(call)
        if not self.send(call):
            self.unsent.append(call)
            self.set_deadline(call, now)

    def set_deadline(self, call: PendingCall, now: float) -> None:
        self.deadlines.append((now + self.timeout, call))
        if self.timer is None:
            self.timer = self.loop.call_later(self.timeout, self.expire_calls)

    def send_waiting(self) -> None:
        """Send the calls that waited for their holder, in order."""
        waiting, self.unsent = self.unsent, deque()
        for call in waiting:
            if call.result is None and not self.send(call):
                self.unsent.append(call)

    def send(self, call: PendingCall) -> bool:
        """Make a call; return False while its holder is not yet known or not yet connected."""
        count, now = call.count, time.monotonic()
        holder = self.holders.find_holder(count.name, count.customer, call.started_at - count.since)
        if holder == self.me:
            self.settle(call, self.add_locally(count, now))
            return True
        connector = self.connector_to(holder)
        connected = connector is not None and connector.is_connected
        may_connect = connector is None or connector.failed_attempts < 1
        if not connected and may_connect and len(self.unsent) < MAX_UNSENT_CALLS:
            return False
        if connector is None or not connected or len(self.unanswered) > MAX_UNANSWERED_CALLS:
            self.settle(call, Counted(count.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
            return True
        self.last_call_number += 1
        call.connection = connector.connection
        self.unanswered[self.last_call_number] = call
        connector.send(self.encode_call(count, self.last_call_number, connector.address))
        self.set_deadline(call, now)
        return True

    def add_locally(self, count: Count, now: float) -> Counted:
        """Add to a total that this proxy holds."""
        try:
            total = self.counts.add(count, self.me, now)
        except CounterFullError:
            return Counted(count.name, Outcome.FULL, 0.0, 0.0)
        return Counted(count.name, Outcome.OK, total, 0.0, self.counts.incarnation)

    def encode_call(self, count: Count, call_number: int, holder: Address) -> Message:
        # The holder need not be sent a total that it reported itself.
        known = [round(count.known, 4), count.knew] if count.knew != self.incarnations.get(holder) else []
        return {
            "k": "add", "c": call_number, "by": self.me, "a": [
                count.name, count.amount, count.expires, count.call, round(count.drained, 4),
                round(count.since, 4), count.customer, count.rate, count.burst, count.span,
                round(count.seed, 4), round(count.late, 4), round(count.spread, 3), *known,
            ]
        }  # fmt: skip

    def expire_calls(self) -> None:
        self.timer = None
        now = time.monotonic()
        while self.deadlines and self.deadlines[0][0] <= now + TIMER_TOLERANCE_S:
            _, call = self.deadlines.popleft()
            if call.result is None:
                # A call that was never sent cannot have been added.
                outcome = Outcome.TIMEOUT if call.connection is not None else Outcome.CONNECT_FAILED
                self.settle(call, Counted(call.count.name, outcome, 0.0, now - call.started_at))
        self.send_waiting()
        if self.deadlines:
            self.timer = self.loop.call_later(
                max(TIMER_TOLERANCE_S, self.deadlines[0][0] - now), self.expire_calls
            )

    def settle(self, call: PendingCall, result: Counted) -> None:
        """Set a call's result, and deliver all results at the head of its name's queue."""
        call.result = result
        name = call.count.name
        queue = self.queues.get(name)
        while queue and queue[0].result is not None:
            first = queue.popleft()
            if not queue:
                self.queues.pop(name, None)
            assert first.result is not None
            self.post(first.result)

    def on_disconnect(self, connection: Connection) -> None:
        lost = [(n, call) for n, call in self.unanswered.items() if call.connection is connection]
        for call_number, call in lost:
            del self.unanswered[call_number]
            if call.result is None:
                # The holder may have added the amount before the connection ended.
                self.settle(call, Counted(call.count.name, Outcome.RESET, 0.0, 0.0))

    def on_holder_message(self, connection: Connection, message: Message) -> None:
        self.handle_checked(self.on_answer, connection, message)

    def handle_checked(
        self, handle: Callable[[Connection, Message], None], connection: Connection, message: Message
    ) -> None:
        """Handle a message; a malformed one is counted and ends its connection."""
        try:
            handle(connection, message)
        except (KeyError, IndexError, TypeError, ValueError, OverflowError) as error:
            self.malformed_messages += 1
            if self.malformed_messages in (1, 10, 100, 1000):
                log.info(
                    f"closed a connection after a malformed message of a proxy: {error}"
                    f" ({self.malformed_messages} so far)."
                )
            connection.abort()

    def on_answer(self, connection: Connection, message: Message) -> None:
        if message.get("k") != "sum":
            return
        call = self.unanswered.pop(int(message["c"]), None)
        if call is None:
            return
        name = call.count.name
        if call.result is not None:  # the call had timed out
            self.post(Late(name))
            return
        spent = time.monotonic() - call.started_at
        total = message.get("t")
        if total is None:
            self.settle(call, Counted(name, Outcome.CONNECT_FAILED, 0.0, spent))
        else:
            result = Counted(name, Outcome.OK, float(total), spent, int(message["b"]))
            self.incarnations[connection.peer] = result.born
            self.settle(call, result)

    # --- calls of other proxies ------------------------------------------------------------------------

    def on_caller_message(self, connection: Connection, message: Message) -> None:
        self.handle_checked(self.on_call, connection, message)

    def on_call(self, connection: Connection, message: Message) -> None:
        """Answer another proxy's call; the answer has no total if this proxy does not hold the name."""
        if message.get("k") != "add":
            return
        answer: dict[str, Any] = {"k": "sum", "c": message["c"], "t": None, "b": 0}
        name, amount, ttl_s, call, drained, since, customer, rate, burst, span, seed, late, spread, *known = (
            message["a"]
        )
        now = time.monotonic()
        if self.holders.find_holder(int(name), int(customer), now - check_number(since)) == self.me:
            count = Count(
                int(name),
                check_number(amount),
                check_number(ttl_s),
                int(call),
                check_number(drained),
                check_number(since),
                int(customer),
                check_non_negative(rate),
                check_non_negative(burst),
                check_non_negative(span, MAX_SPAN_S),
                check_non_negative(seed),
                check_number(known[0]) if known else 0.0,
                int(known[1]) if known else 0,
                check_non_negative(late),
                check_non_negative(spread, MAX_SPAN_S),
            )
            with contextlib.suppress(CounterFullError):
                answer["t"] = self.counts.add(count, str(message["by"]), now)
                answer["b"] = self.counts.incarnation
        connection.send(answer)

    def close(self) -> None:
        for connector in self.connectors.values():
            connector.close()
        if self.timer is not None:
            self.timer.cancel()
