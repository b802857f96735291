"""Calls between doors for counts: made once the holder is reached, answered once and in their order."""

from __future__ import annotations

import math
import time
from typing import Any

import pytest

from ivymux.data_plane.limits import Address
from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.distributed_counter import DistributedCounter
from ivymux.proxy.lease_counts import LeaseCounts
from ivymux.transport.connection import Connection, Listener
from orchidhill.interface import Count, Counted, Late, Outcome

from ..sockets import run, until


class Proxy:
    """The counting part of a door."""

    def __init__(self, me: str, others: set[str]) -> None:
        self.me, self.told = me, list[Counted]()
        self.holders = CounterHolders(me, time.monotonic(), first_start=True)
        self.holders.update_proxies(there(me, *others), time.monotonic())
        self.counter = DistributedCounter(
            me, self.holders, LeaseCounts(self.holders, hash(me) | 1), 0.25, self.post
        )
        self.listener = Listener(self.counter.asked)

    def post(self, told: Counted | Late) -> None:
        if isinstance(told, Counted):
            self.told.append(told)


def there(*doors: str) -> dict[str, float]:
    """Doors that have been there for long."""
    return dict.fromkeys(doors, time.monotonic() - 100.0)


def names(door: Proxy, holder: str, count: int) -> list[int]:
    return [n for n in range(10_000) if door.holders.find_holder(n, n, time.monotonic()) == holder][:count]


def test_calls_reach_their_holder_and_end_with_it() -> None:
    async def test() -> None:
        one, two = Proxy("one", {"two"}), Proxy("two", {"one"})
        port = await two.listener.start(Address("127.0.0.1", 0))
        at = {"two": Address("127.0.0.1", port), "one": Address("127.0.0.1", 1)}
        mine, theirs = names(one, "one", 1)[0], names(one, "two", 2)
        # Called before the line to the holder is there: they wait for it.
        for amount in (1.0, 2.0, 4.0):
            one.counter.add(Count(theirs[0], amount, 60.0, customer=theirs[0]))
        one.counter.add(Count(mine, 8.0, 60.0, customer=mine))
        assert [t.total for t in one.told] == [8.0]
        one.counter.place(at, time.monotonic())
        await until(lambda: len(one.told) == 4)
        assert [t.total for t in one.told[1:]] == [1.0, 3.0, 7.0]
        assert len({t.born for t in one.told}) == 2
        # The holder goes with a call on its way: it may have been added, and is told once.
        two.counter.holders.update_proxies(there("two"), time.monotonic())
        one.counter.add(Count(theirs[1], 1.0, 60.0, customer=theirs[1]))
        for line in list(two.listener.connections):
            line.abort()
        two.listener.close()
        await until(lambda: len(one.told) == 5)
        assert one.told[4].outcome in (Outcome.RESET, Outcome.OK)
        one.counter.add(Count(theirs[1], 1.0, 60.0, customer=theirs[1]))
        await until(lambda: len(one.told) == 6)
        assert one.told[5].outcome is Outcome.CONNECT_FAILED  # never written
        one.counter.close()
        two.counter.close()

    run(test())


def test_a_door_that_is_not_the_holder_adds_nothing() -> None:
    async def test() -> None:
        one, two = Proxy("one", {"two"}), Proxy("two", {"one"})
        port = await two.listener.start(Address("127.0.0.1", 0))
        one.counter.place({"two": Address("127.0.0.1", port)}, time.monotonic())
        name = names(one, "two", 1)[0]
        # The holder has lost its core machines and no longer counts itself as present.
        two.holders.update_proxies(there("one"), time.monotonic())
        one.counter.add(Count(name, 1.0, 60.0, customer=name))
        await until(lambda: one.told)
        assert one.told[0].outcome is Outcome.CONNECT_FAILED
        assert not two.counter.counts.store.totals
        one.counter.close()
        two.listener.close()

    run(test())


@pytest.mark.parametrize(
    "spoilt",
    [
        {"k": "add"},
        {"k": "add", "c": 1, "by": "x", "a": [1, 2.0]},
        {"k": "add", "c": 1, "by": "x", "a": [0, 1.0, 60.0, 0, 0.0, 0.0, 7, -1.0, 0.0, 5.0, 0.0, 0.0, 0.0]},
        {"k": "add", "c": 1, "by": "x", "a": [0, 1.0, 60.0, 0, 0.0, 0.0, 7, 1.0, 9.0, 1e8, 0.0, 0.0, 0.0]},
        {"k": "add", "c": 1, "by": "x", "a": [0, 1.0, 60.0, 0, 0.0, 0.0, 7, 1.0, 9.0, 5.0, 0.0, 1.0, -5.0]},
        {"k": "add", "c": 1, "by": "x", "a": [0, "much", 60.0, 0, 0.0, 0.0, 7, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]},
        {"k": "add", "c": 1, "by": "x", "a": [0, 1e300, 60.0, 0, 0.0, 0.0, 7, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]},
        {
            "k": "add",
            "c": 1,
            "by": "x",
            "a": [0, math.nan, 60.0, 0, 0.0, 0.0, 7, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0],
        },
        {
            "k": "add",
            "c": 1,
            "by": "x",
            "a": [0, 1.0, 60.0, 0, 0.0, 0.0, 7, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 5.0],
        },
    ],
)
def test_what_no_door_sends_ends_its_connection_and_counts_nothing(spoilt: dict[str, Any]) -> None:
    async def test() -> None:
        one = Proxy("one", set())
        line = Connection(lambda line, message: None)
        line.is_connected = True
        one.counter.asked(line, spoilt)
        assert line.is_aborted and one.counter.spoilt == 1 and not one.counter.counts.store.totals
        one.counter.close()

    run(test())
