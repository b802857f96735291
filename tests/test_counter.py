"""The counter's client against a fake counter on loopback sockets."""

from __future__ import annotations

import asyncio
import time

import pytest

from ivymux.data_plane.limits import parse_address
from ivymux.platform import counter as counter_module
from ivymux.platform.counter import CONNECTION_COUNT, DEAD_AFTER_S, MAX_PENDING, Counter, CounterConnection
from orchidhill.interface import Count, Counted, Late, Outcome

from .sockets import Tally, listening, run, until


def start(dial: str, timeout: float = 0.08) -> tuple[Counter, list[Counted]]:
    heard: list[Counted] = []

    def told(event: Counted | Late) -> None:
        if isinstance(event, Counted):
            heard.append(event)

    return Counter(parse_address(dial), timeout, told), heard


def test_calls_go_out_pipelined_and_their_answers_come_in_order() -> None:
    async def test() -> None:
        tally = Tally()
        async with listening(tally.handle) as dial:
            counter, heard = start(dial)
            for amount in (4.0, -1.5, 0.0):
                counter.add(Count(9, amount, 4.0))
            counter.add(Count(10, 1.0, 90.0))
            await until(lambda: len(heard) == 4)
            assert [c.total for c in heard if c.name == 9] == [4.0, 2.5, 2.5]
            assert all(c.outcome is Outcome.OK for c in heard)
            assert [b"TALLY", b"9", b"-1.500000", b"4000"] in tally.calls
            assert [b"TALLY", b"10", b"1.000000", b"60000"] in tally.calls
            counter.close()

    run(test())


@pytest.mark.parametrize("reply", [b"-BUSY try later\r\n", b"-ERR no such call\r\n"])
def test_a_call_that_is_turned_away_leaves_the_line_in_use(reply: bytes) -> None:
    async def test() -> None:
        tally = Tally(lambda number, call: reply if number == 0 else None)
        async with listening(tally.handle) as dial:
            counter, heard = start(dial)
            counter.add(Count(9, 1.0, 4.0))
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: len(heard) == 2)
            assert [c.outcome for c in heard] == [Outcome.FULL, Outcome.OK]
            counter.close()

    run(test())


# Guards against totals that belong to another call: after an answer without a number nothing on that line
# can be matched, so it ends, and what was written behind may have been added.  No total is nan or inf: a
# customer's sums would never be right again.
@pytest.mark.parametrize(
    "reply",
    [b"+what\r\n", b"$3\r\nnan\r\n", b"$3\r\ninf\r\n", b"$3\r\n1_0\r\n", b"$0\r\n\r\n", b"*0\r\n", b"$-1\r\n",
     b":5\r\n", b"\x00noise\r\n", b"$300000000\r\n" + b"7" * 100_000],
    ids=range(10),
)  # fmt: skip
def test_an_answer_without_a_number_ends_its_line(reply: bytes) -> None:
    async def test() -> None:
        tally = Tally(lambda number, call: reply if number == 0 else None)
        async with listening(tally.handle) as dial:
            counter, heard = start(dial, timeout=5.0)
            counter.add(Count(9, 1.0, 4.0))
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: len(heard) == 2)
            assert [c.outcome for c in heard] == [Outcome.TIMEOUT, Outcome.TIMEOUT]
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: len(heard) == 3)
            assert (heard[2].outcome, heard[2].total) == (Outcome.OK, 3.0)
            counter.close()

    run(test())


# Guards against a gap when the configuration names another counter, and against answers out of their order:
# a call out at the old one ends there, with its own answer, before the next of its name is made.
def test_calls_move_to_another_counter_without_a_gap() -> None:
    async def test() -> None:
        gate = asyncio.Event()
        old, new = Tally(), Tally()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await old.handle(reader, writer)

        async with listening(slow) as dial, listening(new.handle) as elsewhere:
            counter, heard = start(dial, timeout=5.0)
            await counter.ready
            counter.add(Count(8, 5.0, 4.0))
            counter.change_address(parse_address(elsewhere))
            counter.add(Count(8, 6.0, 4.0))  # the old line still serves until the new one is up
            await until(
                lambda: all(line.transport for line in counter.connections) and not counter.next_connections
            )
            counter.add(Count(8, 7.0, 4.0))
            await asyncio.sleep(0)
            assert not heard and not new.calls
            gate.set()
            await until(lambda: len(heard) == 3)
            assert [(c.outcome, c.total) for c in heard][-1] == (Outcome.OK, 7.0)
            assert [float(call[2]) for call in new.calls] == [7.0]
            assert [line.address for line in counter.connections] == [
                parse_address(elsewhere)
            ] * CONNECTION_COUNT
            counter.close()

    run(test())


# Guards against an outage by a wrong address: the old counter serves until another one is up.
def test_a_counter_that_is_not_there_does_not_take_over() -> None:
    async def test() -> None:
        tally = Tally()
        async with listening(tally.handle) as dial:
            counter, heard = start(dial)
            await until(lambda: all(line.transport for line in counter.connections))
            counter.change_address(parse_address("127.0.0.1:1"))
            counter.change_address(parse_address("127.0.0.1:2"))
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: heard)
            assert heard[0].outcome is Outcome.OK
            counter.close()

    run(test())


def test_a_late_answer_is_not_taken_for_the_next_calls() -> None:
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

        async with listening(slow) as dial:
            counter, heard = start(dial, timeout=0.05)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: heard)
            assert heard[0].outcome is Outcome.TIMEOUT and heard[0].spent >= 0.05
            counter.timeout = 5.0
            counter.add(Count(8, 2.0, 4.0))
            go.set()
            await until(lambda: len(heard) == 2)
            assert (heard[1].outcome, heard[1].total) == (Outcome.OK, 3.0)
            counter.close()

    run(test())


def test_a_call_whose_connection_ends_may_have_been_added_and_the_next_reconnects() -> None:
    async def test() -> None:
        tally = Tally()
        ended: list[int] = []

        async def first_ends(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not ended:
                if await reader.read(1000):
                    ended.append(1)
                return
            await tally.handle(reader, writer)

        async with listening(first_ends) as dial:
            counter, heard = start(dial, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: heard)
            assert heard[0].outcome is Outcome.TIMEOUT
            await until(lambda: counter.connections[0].transport is not None)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: len(heard) == 2)
            assert heard[1].outcome is Outcome.OK and len(tally.calls) == 1
            counter.close()

    run(test())


def test_a_refused_connection_proves_that_nothing_was_added() -> None:
    async def test() -> None:
        async with listening(Tally().handle) as dial:
            pass
        counter, heard = start(dial)
        counter.add(Count(8, 1.0, 4.0))  # held while the connection is tried
        await until(lambda: heard)
        counter.add(Count(8, 1.0, 4.0))  # not held while it is known to be down
        await until(lambda: len(heard) == 2)
        assert [c.outcome for c in heard] == [Outcome.CONNECT_FAILED] * 2
        counter.close()

    run(test())


def test_bytes_that_are_no_answer_end_the_connection() -> None:
    async def test() -> None:
        tally = Tally(lambda number, call: b"?!\r\n" if number == 0 else None)
        async with listening(tally.handle) as dial:
            counter, heard = start(dial, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: heard)
            assert heard[0].outcome is Outcome.TIMEOUT
            await until(lambda: counter.connections[0].transport is not None)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: len(heard) == 2)
            assert heard[1].outcome is Outcome.OK
            counter.close()

    run(test())


def test_a_counter_that_vanished_is_connected_to_anew() -> None:
    async def test() -> None:
        opened: list[int] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(1)
            await asyncio.sleep(30)

        async with listening(silent) as dial:
            counter, heard = start(dial, timeout=0.02)
            await until(lambda: len(opened) == CONNECTION_COUNT)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: heard)
            line = counter.connections[0]
            line.check_liveness(time.monotonic() + DEAD_AFTER_S / 2)
            assert line.transport is not None and not line.transport.is_closing()
            line.check_liveness(time.monotonic() + DEAD_AFTER_S + 0.1)
            await until(lambda: len(opened) == CONNECTION_COUNT + 1)
            counter.close()

    run(test())


def test_a_connection_that_comes_up_as_the_wait_for_it_ends_is_made_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """uvloop closes it and tells nobody: the line kept it, and failed each call for the rest of its days."""
    monkeypatch.setattr(counter_module, "CONNECT_TIMEOUT_S", 0.2)
    made, stalls = CounterConnection.connection_made, [CONNECTION_COUNT]

    def stalled(line: CounterConnection, transport: asyncio.BaseTransport) -> None:
        made(line, transport)
        if stalls[0]:
            stalls[0] -= 1
            time.sleep(0.25)  # the loop has no turn until the wait is over

    monkeypatch.setattr(CounterConnection, "connection_made", stalled)

    async def test() -> None:
        tally = Tally()
        async with listening(tally.handle) as dial:
            counter, heard = start(dial, timeout=5.0)
            # Not before each attempt to connect has ended: the last that were closed unseen still stand as
            # connected until their own waits are told to end.
            await until(
                lambda: (
                    not stalls[0]
                    and not counter.tasks
                    and all(line.transport is not None for line in counter.connections)
                )
            )
            for name in range(CONNECTION_COUNT):
                counter.add(Count(name, 1.0, 4.0))
            await until(lambda: len(heard) == CONNECTION_COUNT)
            assert [told.outcome for told in heard] == [Outcome.OK] * CONNECTION_COUNT
            counter.close()

    run(test())


def test_an_idle_connection_is_kept_by_a_ping() -> None:
    async def test() -> None:
        tally = Tally()
        async with listening(tally.handle) as dial:
            counter, _ = start(dial)
            line = counter.connections[0]
            await until(lambda: line.transport is not None)
            before = line.last_received_at
            line.check_liveness(time.monotonic() + 3.0)
            assert len(line.written_calls) == 1
            await until(lambda: not line.written_calls)
            assert line.last_received_at > before and not tally.calls
            counter.close()

    run(test())


def test_pending_calls_are_bounded() -> None:
    async def test() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(30)

        async with listening(silent) as dial:
            counter, heard = start(dial, timeout=10.0)
            for _ in range(MAX_PENDING + 1):
                counter.add(Count(8, 1.0, 4.0))
            assert [c.outcome for c in heard] == [Outcome.FULL]
            counter.close()

    run(test())
