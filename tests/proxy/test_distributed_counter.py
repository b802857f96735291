"""Calls to the holder of a count: sent once the holder is connected; each gets one result, in order."""

from __future__ import annotations

import math
import time
from typing import Any

import pytest

from ivymux.data_plane.limits import Address
from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.distributed_counter import DistributedCounter
from ivymux.proxy.lease_counts import LeaseCounts
from ivymux.transport.connection import Connection
from ivymux.transport.listener import Listener
from orchidhill.interface import Count, Counted, Late, Outcome

from ..sockets import run, until


class CountingProxy:
    """The counter of a proxy, and the listener for other proxies' calls."""

    def __init__(self, me: str, others: set[str]) -> None:
        self.me, self.results = me, list[Counted]()
        self.holders = CounterHolders(me, time.monotonic(), first_start=True)
        self.holders.update_proxies(established(me, *others), time.monotonic())
        self.counter = DistributedCounter(
            me, self.holders, LeaseCounts(self.holders, hash(me) | 1), 0.25, self.post
        )
        self.listener = Listener(self.counter.on_caller_message)

    def post(self, result: Counted | Late) -> None:
        if isinstance(result, Counted):
            self.results.append(result)


def established(*proxies: str) -> dict[str, float]:
    """Return join times of proxies that have been present for long."""
    return dict.fromkeys(proxies, time.monotonic() - 100.0)


def names_held_by(proxy: CountingProxy, holder: str, count: int) -> list[int]:
    """Return the first `count` names that `holder` holds according to `proxy`."""
    return [n for n in range(10_000) if proxy.holders.find_holder(n, n, time.monotonic()) == holder][:count]


def test_calls_wait_for_their_holder_and_fail_once_it_is_gone() -> None:
    async def test() -> None:
        one, two = CountingProxy("one", {"two"}), CountingProxy("two", {"one"})
        port = await two.listener.start(Address("127.0.0.1", 0))
        addresses = {"two": Address("127.0.0.1", port), "one": Address("127.0.0.1", 1)}
        mine, theirs = names_held_by(one, "one", 1)[0], names_held_by(one, "two", 2)
        # Calls made before the holder is connected wait for the connection.
        for amount in (1.0, 2.0, 4.0):
            one.counter.add(Count(theirs[0], amount, 60.0, customer=theirs[0]))
        one.counter.add(Count(mine, 8.0, 60.0, customer=mine))
        assert [result.total for result in one.results] == [8.0]
        one.counter.update_proxies(addresses, time.monotonic())
        await until(lambda: len(one.results) == 4)
        assert [result.total for result in one.results[1:]] == [1.0, 3.0, 7.0]
        assert len({result.born for result in one.results}) == 2
        # The holder ends while a call is unanswered: the call may have been added, and gets one result.
        two.counter.holders.update_proxies(established("two"), time.monotonic())
        one.counter.add(Count(theirs[1], 1.0, 60.0, customer=theirs[1]))
        for connection in list(two.listener.connections):
            connection.abort()
        two.listener.close()
        await until(lambda: len(one.results) == 5)
        assert one.results[4].outcome in (Outcome.RESET, Outcome.OK)
        one.counter.add(Count(theirs[1], 1.0, 60.0, customer=theirs[1]))
        await until(lambda: len(one.results) == 6)
        assert one.results[5].outcome is Outcome.CONNECT_FAILED  # never sent
        one.counter.close()
        two.counter.close()

    run(test())


def test_a_proxy_that_is_not_the_holder_adds_nothing() -> None:
    async def test() -> None:
        one, two = CountingProxy("one", {"two"}), CountingProxy("two", {"one"})
        port = await two.listener.start(Address("127.0.0.1", 0))
        one.counter.update_proxies({"two": Address("127.0.0.1", port)}, time.monotonic())
        name = names_held_by(one, "two", 1)[0]
        # The holder has lost its core machines and no longer counts itself as present.
        two.holders.update_proxies(established("one"), time.monotonic())
        one.counter.add(Count(name, 1.0, 60.0, customer=name))
        await until(lambda: one.results)
        assert one.results[0].outcome is Outcome.CONNECT_FAILED
        assert not two.counter.counts.store.totals
        one.counter.close()
        two.listener.close()

    run(test())


@pytest.mark.parametrize(
    "message",
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
def test_a_malformed_call_ends_its_connection_and_adds_nothing(message: dict[str, Any]) -> None:
    async def test() -> None:
        one = CountingProxy("one", set())
        connection = Connection(lambda connection, message: None)
        connection.is_connected = True
        one.counter.on_caller_message(connection, message)
        assert (
            connection.is_aborted
            and one.counter.malformed_messages == 1
            and not one.counter.counts.store.totals
        )
        one.counter.close()

    run(test())
