"""The counter service: expiry of names, limits, and the TALLY command on a loopback connection."""

from __future__ import annotations

import asyncio
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.data_plane.limits import Address
from ivymux.platform.counter import Counter
from ivymux.tally import server
from ivymux.tally.clock import SharedClock
from ivymux.tally.local import LocalCounter
from ivymux.tally.server import CounterServer
from ivymux.tally.store import CounterFullError, CounterStore, InvalidCallError, format_total, parse_call
from orchidhill.interface import Count, Counted, Outcome
from tests.sockets import run, until


def test_name_expires_after_the_life_of_its_first_call() -> None:
    store = CounterStore()
    assert store.add(b"a", 2.5, 4.0, 100.0) == 2.5
    assert store.add(b"a", -1.0, 60.0, 103.9) == 1.5
    assert store.add(b"a", 1.0, 4.0, 104.0) == 1.0  # expired, and created again
    assert store.add(b"b", 1.0, 1e9, 104.0) == 1.0
    store.expire(164.0)
    assert not store.totals and not store.expiries


def test_full_store_refuses_new_names_and_serves_known_ones() -> None:
    store = CounterStore(max_names=2)
    store.add(b"a", 1, 5, 0.0)
    store.add(b"b", 1, 5, 0.0)
    with pytest.raises(CounterFullError):
        store.add(b"c", 1, 5, 0.0)
    assert store.add(b"a", 1, 5, 1.0) == 2
    assert store.add(b"c", 1, 5, 5.0) == 1


@given(
    st.lists(st.tuples(st.sampled_from([b"a", b"b"]), st.integers(-100, 100), st.floats(0.1, 5)), max_size=40)
)
def test_total_is_the_sum_since_the_name_was_created(calls: list[tuple[bytes, int, float]]) -> None:
    store, now = CounterStore(), 0.0
    created_at: dict[bytes, float] = {}
    sums: dict[bytes, int] = {}
    for name, amount, step in calls:
        now += step
        if name not in created_at or now >= created_at[name] + 4.0:
            created_at[name], sums[name] = now, 0
        sums[name] += amount
        assert store.add(name, amount, 4.0, now) == sums[name]


@pytest.mark.parametrize(
    "parts",
    [
        [b"TALLY", b"n", b"1"], [b"TALLY", b"", b"1", b"1"], [b"TALLY", b"x" * 65, b"1", b"1"],
        [b"TALLY", b"n", b"nan", b"1"], [b"TALLY", b"n", b"1e3", b"1"], [b"TALLY", b"n", b"2000000000", b"1"],
        [b"TALLY", b"n", b"1", b"0"], [b"TALLY", b"n", b"1", b"-5"], [b"TALLY", b"n", b"1", b"1.5"],
        b"TALLY", [1],
    ],
)  # fmt: skip
def test_malformed_calls_are_rejected(parts: object) -> None:
    with pytest.raises(InvalidCallError):
        parse_call(parts)


@given(st.floats(-1e12, 1e12))
def test_formatted_total_parses_to_the_same_number(total: float) -> None:
    assert float(format_total(total)) == total


def test_repeated_call_counts_once_and_is_forgotten_with_its_name() -> None:
    store = CounterStore()

    def call(number: bytes, caller: bytes = b"d") -> float:
        return store.add_once(parse_call([b"TALLY", b"n", b"2", b"5000", caller + b":" + number]), 1.0)

    assert [call(b"1"), call(b"1"), call(b"2"), call(b"1"), call(b"1", b"e")] == [2, 2, 4, 4, 6]
    assert store.add_once(parse_call([b"TALLY", b"n", b"2", b"5000"]), 1.0) == 8
    store.expire(7.0)
    assert not store.totals and not store.recent_calls
    for invalid in (b"", b"d", b":1", b"d:x", b"d" * 33 + b":1"):
        with pytest.raises(InvalidCallError):
            parse_call([b"TALLY", b"n", b"2", b"5000", invalid])


def test_gateway_client_over_a_socket() -> None:
    async def test() -> None:
        service = CounterServer(CounterStore())
        replies: list[Counted] = []
        port = await service.start(Address("127.0.0.1", 0))
        clock = SharedClock(0.0, time.monotonic())
        counter = Counter(
            Address("127.0.0.1", port),
            2.0,
            lambda reply: replies.append(reply) if isinstance(reply, Counted) else None,
            clock,
        )
        await counter.ready
        assert clock.is_synchronized  # synchronized before the first decision
        for amount in (1.5, 2.0, -0.5):
            counter.add(Count(7, amount, 4.0))
        counter.add(Count(8, 100_000_000.0, 4.0))
        await until(lambda: len(replies) == 4)
        assert [r.total for r in replies if r.name == 7] == [1.5, 3.5, 3.0]
        assert len({r.born for r in replies}) == 1 and replies[0].born
        assert clock.read(time.monotonic()) == pytest.approx(time.time(), abs=0.1)
        assert [r.total for r in replies if r.name == 8] == [100_000_000.0]
        assert {r.outcome for r in replies} == {Outcome.OK}
        counter.close()
        service.close()

    run(test())


async def exchange(port: int, data: bytes, lines: int) -> bytes:
    """Send data on a new connection, and return what comes back until it has that many lines."""
    reader, stream = await asyncio.open_connection("127.0.0.1", port)
    stream.write(data)
    received = b""
    while received.count(b"\r\n") < lines and (more := await reader.read(4096)):
        received += more
    stream.close()
    return received


def test_other_commands_and_malformed_data() -> None:
    async def test() -> None:
        service = CounterServer(CounterStore())
        port = await service.start(Address("127.0.0.1", 0))
        ping = b"*1\r\n$4\r\nPING\r\n"
        bad = b"*4\r\n$5\r\nTALLY\r\n$1\r\nn\r\n$1\r\nx\r\n$1\r\n1\r\n"
        get = b"*2\r\n$3\r\nGET\r\n$1\r\na\r\n"
        received = await exchange(port, ping + bad + get + ping, 4)
        assert received.split(b"\r\n")[0] == b"+PONG" and received.count(b"-ERR") == 2
        assert received.endswith(b"+PONG\r\n")
        assert (await exchange(port, b"\x00\x01nonsense\r\n\r\n", 1)).startswith(b"-ERR")
        too_long = b"*4\r\n$5\r\nTALLY\r\n$70000\r\n" + b"x" * 70_010
        assert (await exchange(port, too_long, 1)).startswith(b"-ERR")
        assert not service.store.totals
        service.close()

    run(test())


def test_limits_on_names_and_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(server, "MAX_CONNECTIONS", 2)
        service = CounterServer(CounterStore(max_names=1))
        port = await service.start(Address("127.0.0.1", 0))
        one = b"*4\r\n$5\r\nTALLY\r\n$1\r\na\r\n$1\r\n1\r\n$4\r\n9000\r\n"
        two = one.replace(b"a\r\n", b"b\r\n")
        assert (await exchange(port, one + two, 3)).endswith(b"-BUSY no room for a new name\r\n")
        await until(lambda: not service.connections)
        streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        await until(lambda: len(service.connections) == 2)
        reader, _ = await asyncio.open_connection("127.0.0.1", port)
        with pytest.raises((ConnectionError, AssertionError)):
            assert await reader.read() != b""
        for _, stream in streams:
            stream.close()
        service.close()

    run(test())


def test_local_counter_replies_once_to_each_call_in_order() -> None:
    replies: list[Counted] = []
    counter = LocalCounter(CounterStore(max_names=1), replies.append)
    for name, amount in ((1, 2.0), (1, 3.0), (2, 1.0)):
        counter.add(Count(name, amount, 4.0))
    assert [(r.name, r.outcome, r.total) for r in replies] == [
        (1, Outcome.OK, 2.0), (1, Outcome.OK, 5.0), (2, Outcome.FULL, 0.0),
    ]  # fmt: skip
