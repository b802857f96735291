"""The client of the counter service, with a fake service on loopback sockets."""

from __future__ import annotations

import asyncio
import time

import pytest

from ivymux.data_plane.limits import parse_address
from ivymux.platform import counter as counter_module
from ivymux.platform.counter import CONNECTION_COUNT, DEAD_AFTER_S, MAX_PENDING, Counter, CounterConnection
from orchidhill.interface import Count, Counted, Late, Outcome

from .sockets import FakeCounter, listening, run, until


def start(endpoint: str, timeout: float = 5.0) -> tuple[Counter, list[Counted]]:
    results: list[Counted] = []

    def on_result(event: Counted | Late) -> None:
        if isinstance(event, Counted):
            results.append(event)

    return Counter(parse_address(endpoint), timeout, on_result), results


def test_calls_are_pipelined_and_their_results_come_in_order() -> None:
    async def test() -> None:
        tally = FakeCounter()
        async with listening(tally.handle) as endpoint:
            counter, results = start(endpoint)
            for amount in (4.0, -1.5, 0.0):
                counter.add(Count(9, amount, 4.0))
            counter.add(Count(10, 1.0, 90.0))
            await until(lambda: len(results) == 4)
            assert [c.total for c in results if c.name == 9] == [4.0, 2.5, 2.5]
            assert all(c.outcome is Outcome.OK for c in results)
            assert [b"TALLY", b"9", b"-1.500000", b"4000"] in tally.calls
            assert [b"TALLY", b"10", b"1.000000", b"60000"] in tally.calls
            counter.close()

    run(test())


@pytest.mark.parametrize("reply", [b"-BUSY try later\r\n", b"-ERR no such call\r\n"])
def test_an_error_answer_leaves_the_connection_in_use(reply: bytes) -> None:
    async def test() -> None:
        tally = FakeCounter(lambda number, call: reply if number == 0 else None)
        async with listening(tally.handle) as endpoint:
            counter, results = start(endpoint)
            counter.add(Count(9, 1.0, 4.0))
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: len(results) == 2)
            assert [c.outcome for c in results] == [Outcome.FULL, Outcome.OK]
            counter.close()

    run(test())


# After an answer without a number, later answers can't be assigned to their calls: the connection is closed,
# and calls written on it may have been counted.  A total of nan or inf would spoil a customer's sums.
@pytest.mark.parametrize(
    "reply",
    [b"+what\r\n", b"$3\r\nnan\r\n", b"$3\r\ninf\r\n", b"$3\r\n1_0\r\n", b"$0\r\n\r\n", b"*0\r\n", b"$-1\r\n",
     b":5\r\n", b"\x00noise\r\n", b"$300000000\r\n" + b"7" * 100_000],
    ids=range(10),
)  # fmt: skip
def test_an_answer_without_a_number_ends_its_connection(reply: bytes) -> None:
    async def test() -> None:
        tally = FakeCounter(lambda number, call: reply if number == 0 else None)
        async with listening(tally.handle) as endpoint:
            counter, results = start(endpoint, timeout=5.0)
            counter.add(Count(9, 1.0, 4.0))
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: len(results) == 2)
            assert [c.outcome for c in results] == [Outcome.TIMEOUT, Outcome.TIMEOUT]
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: len(results) == 3)
            assert (results[2].outcome, results[2].total) == (Outcome.OK, 3.0)
            counter.close()

    run(test())


# When the configuration names another counter, calls are served without a gap and in order: calls written to
# the old one are settled there before the next call for the same name is written.
def test_calls_move_to_another_counter_without_a_gap() -> None:
    async def test() -> None:
        gate = asyncio.Event()
        old, new = FakeCounter(), FakeCounter()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await old.handle(reader, writer)

        async with listening(slow) as endpoint, listening(new.handle) as elsewhere:
            counter, results = start(endpoint, timeout=5.0)
            await counter.ready
            counter.add(Count(8, 5.0, 4.0))
            counter.change_address(parse_address(elsewhere))
            counter.add(Count(8, 6.0, 4.0))  # the old connection serves until the new one is established
            await until(
                lambda: (
                    all(connection.transport for connection in counter.connections)
                    and not counter.next_connections
                )
            )
            counter.add(Count(8, 7.0, 4.0))
            await asyncio.sleep(0)
            assert not results and not new.calls
            gate.set()
            await until(lambda: len(results) == 3)
            assert [(c.outcome, c.total) for c in results][-1] == (Outcome.OK, 7.0)
            assert [float(call[2]) for call in new.calls] == [7.0]
            assert [connection.address for connection in counter.connections] == [
                parse_address(elsewhere)
            ] * CONNECTION_COUNT
            counter.close()

    run(test())


# A wrong address must not cause an outage: the old counter serves until the new one is connected.
def test_an_unreachable_counter_does_not_replace_the_old_one() -> None:
    async def test() -> None:
        tally = FakeCounter()
        async with listening(tally.handle) as endpoint:
            counter, results = start(endpoint)
            await until(lambda: all(connection.transport for connection in counter.connections))
            counter.change_address(parse_address("127.0.0.1:1"))
            counter.change_address(parse_address("127.0.0.1:2"))
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: results)
            assert results[0].outcome is Outcome.OK
            counter.close()

    run(test())


def test_a_late_answer_is_not_taken_for_that_of_the_next_call() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if b"TALLY" not in await reader.read(1000):
                return
            await go.wait()
            writer.write(b"$1\r\n1\r\n")  # the answer to the call that has timed out
            await reader.read(1000)
            writer.write(b"$1\r\n3\r\n")
            await reader.read()

        async with listening(slow) as endpoint:
            counter, results = start(endpoint, timeout=0.05)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: results)
            assert results[0].outcome is Outcome.TIMEOUT and results[0].spent >= 0.05
            counter.timeout = 5.0
            counter.add(Count(8, 2.0, 4.0))
            go.set()
            await until(lambda: len(results) == 2)
            assert (results[1].outcome, results[1].total) == (Outcome.OK, 3.0)
            counter.close()

    run(test())


def test_a_call_on_a_lost_connection_may_have_been_counted_and_the_next_reconnects() -> None:
    async def test() -> None:
        tally = FakeCounter()
        ended: list[int] = []

        async def first_ends(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not ended:
                if await reader.read(1000):
                    ended.append(1)
                return
            await tally.handle(reader, writer)

        async with listening(first_ends) as endpoint:
            counter, results = start(endpoint, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: results)
            assert results[0].outcome is Outcome.TIMEOUT
            await until(lambda: counter.connections[0].transport is not None)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: len(results) == 2)
            assert results[1].outcome is Outcome.OK and len(tally.calls) == 1
            counter.close()

    run(test())


def test_a_refused_connection_proves_that_nothing_was_counted() -> None:
    async def test() -> None:
        async with listening(FakeCounter().handle) as endpoint:
            pass
        counter, results = start(endpoint)
        counter.add(Count(8, 1.0, 4.0))  # queued while the connection is being established
        await until(lambda: results)
        counter.add(Count(8, 1.0, 4.0))  # not queued while the counter is known to be down
        await until(lambda: len(results) == 2)
        assert [c.outcome for c in results] == [Outcome.CONNECT_FAILED] * 2
        counter.close()

    run(test())


def test_invalid_bytes_end_the_connection() -> None:
    async def test() -> None:
        tally = FakeCounter(lambda number, call: b"?!\r\n" if number == 0 else None)
        async with listening(tally.handle) as endpoint:
            counter, results = start(endpoint, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: results)
            assert results[0].outcome is Outcome.TIMEOUT
            await until(lambda: counter.connections[0].transport is not None)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: len(results) == 2)
            assert results[1].outcome is Outcome.OK
            counter.close()

    run(test())


def test_a_counter_that_stops_answering_is_reconnected() -> None:
    async def test() -> None:
        opened: list[int] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(1)
            await asyncio.sleep(30)

        async with listening(silent) as endpoint:
            counter, results = start(endpoint, timeout=0.02)
            await until(lambda: len(opened) == CONNECTION_COUNT)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: results)
            connection = counter.connections[0]
            connection.check_liveness(time.monotonic() + DEAD_AFTER_S / 2)
            assert connection.transport is not None and not connection.transport.is_closing()
            connection.check_liveness(time.monotonic() + DEAD_AFTER_S + 0.1)
            await until(lambda: len(opened) == CONNECTION_COUNT + 1)
            counter.close()

    run(test())


def test_a_connection_established_just_as_its_timeout_expires_is_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """uvloop closes such a connection without `connection_lost`; if kept, it would fail every later call."""
    monkeypatch.setattr(counter_module, "CONNECT_TIMEOUT_S", 0.2)
    connection_made, stalls = CounterConnection.connection_made, [CONNECTION_COUNT]

    def stalled(connection: CounterConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(connection, transport)
        if stalls[0]:
            stalls[0] -= 1
            time.sleep(0.25)  # blocks the event loop until the timeout has expired

    monkeypatch.setattr(CounterConnection, "connection_made", stalled)

    async def test() -> None:
        tally = FakeCounter()
        async with listening(tally.handle) as endpoint:
            counter, results = start(endpoint, timeout=5.0)
            # Wait until each attempt to connect has ended: a connection that was closed without
            # `connection_lost` looks established until its timeout is handled.
            await until(
                lambda: (
                    not stalls[0]
                    and not counter.tasks
                    and all(connection.transport is not None for connection in counter.connections)
                )
            )
            for name in range(CONNECTION_COUNT):
                counter.add(Count(name, 1.0, 4.0))
            await until(lambda: len(results) == CONNECTION_COUNT)
            assert [result.outcome for result in results] == [Outcome.OK] * CONNECTION_COUNT
            counter.close()

    run(test())


def test_an_idle_connection_is_kept_by_a_ping() -> None:
    async def test() -> None:
        tally = FakeCounter()
        async with listening(tally.handle) as endpoint:
            counter, _ = start(endpoint)
            connection = counter.connections[0]
            await until(lambda: connection.transport is not None)
            before = connection.last_received_at
            connection.check_liveness(time.monotonic() + 3.0)
            assert len(connection.written_calls) == 1
            await until(lambda: not connection.written_calls)
            assert connection.last_received_at > before and not tally.calls
            counter.close()

    run(test())


def test_pending_calls_are_bounded() -> None:
    async def test() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(30)

        async with listening(silent) as endpoint:
            counter, results = start(endpoint, timeout=10.0)
            for _ in range(MAX_PENDING + 1):
                counter.add(Count(8, 1.0, 4.0))
            assert [c.outcome for c in results] == [Outcome.FULL]
            counter.close()

    run(test())
