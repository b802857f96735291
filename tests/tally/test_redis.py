"""The tally on Redis by its client library, at the stand-in: what is added once, and what is told of it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from ivymux.data_plane.limits import ConfigError
from ivymux.tally import redis as redis_module
from ivymux.tally.clock import SharedClock
from ivymux.tally.engine import (
    LANES,
    SCRIPT_SHA1,
    RedisPart,
    check_redis_settings,
    hash_slot,
    lane_of,
    retry_delay,
    script_arguments,
)
from ivymux.tally.redis import RedisCounter, with_passwords
from orchidhill.interface import Count, Counted, Late, Outcome
from standins.redis import Node, Redis, slot_of
from tests.pauses import Pauses
from tests.sockets import run, until

NAMES = range(1, 200)


class Calls:
    """A counter and what it told."""

    def __init__(self, part: RedisPart, timeout: float = 1.0) -> None:
        self.told: list[Counted | Late] = []
        self.clock = SharedClock(0.0, time.monotonic())
        self.counter = RedisCounter(part, timeout, self.told.append, self.clock, seed=1)

    async def add(self, name: int, amount: float, life: float = 30.0) -> Counted:
        """One call and its answer; what comes for others meanwhile stays in `told`."""
        before = len(self.told)
        self.counter.add(Count(name, amount, life))
        await until(lambda: self.find(name, before))
        found = self.find(name, before)
        assert found is not None
        return found

    def find(self, name: int, since: int) -> Counted | None:
        return next((t for t in self.told[since:] if isinstance(t, Counted) and t.name == name), None)

    async def settled(self, name: int, amount: float = 1.0) -> Counted:
        """Call until the answer is a total: the client has found its way again."""
        while (found := await self.add(name, amount)).outcome is not Outcome.OK:
            await asyncio.sleep(0.01)
        return found


@contextlib.asynccontextmanager
async def calling(
    world: Redis, mode: str = "single", timeout: float = 1.0, protocol: int = 3, **more: str
) -> AsyncIterator[Calls]:
    """A counter at a started deployment, and the end of both."""
    if mode == "sentinel":
        nodes = [node.address for node in world.sentinels]
    else:
        nodes = [node.address for node in world.nodes][: 1 if mode == "single" else 2]
    service = world.service if mode == "sentinel" else ""
    part = RedisPart(nodes=nodes, mode=mode, service=service, protocol=protocol, **more)  # type: ignore[arg-type]
    calls = Calls(part, timeout)
    try:
        await calls.counter.ready
        yield calls
    finally:
        calls.counter.close()
        assert calls.counter.closing is not None
        await calls.counter.closing
        world.stop()


def name_at(world: Redis, node: Node, prefix: str = "ivymux:") -> int:
    """A name that this node of a cluster has."""
    return next(n for n in NAMES if world.owner(slot_of(b"%s%x" % (prefix.encode(), n))) is node)


def key(name: int) -> bytes:
    return b"ivymux:%x" % name


# --- pure ---


def test_hash_slots_match_the_specification() -> None:
    assert hash_slot(b"123456789") == 0x31C3 == slot_of(b"123456789")  # test vector of the specification
    assert all(hash_slot(key(n)) == slot_of(key(n)) for n in NAMES)
    assert {lane_of(key(n)) for n in NAMES} == set(range(LANES))


def test_retry_delays_grow_to_a_limit_and_have_jitter() -> None:
    assert retry_delay(0.05, 0.0) == (0.025, 0.1) and retry_delay(0.05, 1.0) == (0.05, 0.1)
    assert retry_delay(1.0, 1.0) == (1.0, 1.0)


def test_script_arguments_are_limited() -> None:
    assert script_arguments(-2.5, 4.0, 7, b"c", 9) == (b"-2.500000", b"4000", b"7", b"c", b"9")
    assert (
        script_arguments(0.0, 1e9, 7, b"c", 0)[1] == b"60000"
        and script_arguments(0.0, 0.0, 7, b"c", 0)[1] == b"1"
    )


@pytest.mark.parametrize(
    ("fields", "setting"),
    [
        ({"nodes": []}, "nodes"), ({"nodes": ["a"]}, "nodes"), ({"nodes": ["a:1", "b:2"]}, "nodes"),
        ({"nodes": ["a:1"], "mode": "ring"}, "mode"), ({"nodes": ["a:1"], "service": "x"}, "service"),
        ({"nodes": ["a:1"], "mode": "sentinel"}, "service"), ({"nodes": ["a:1"], "protocol": 4}, "protocol"),
        ({"nodes": ["a:1"], "prefix": "{x}"}, "prefix"), ({"nodes": ["a:1"], "password": "x"}, "password"),
    ],
)  # fmt: skip
def test_invalid_settings_are_rejected_by_name(fields: dict[str, object], setting: str) -> None:
    with pytest.raises(ConfigError, match=rf"tally\.redis\.{setting}"):
        check_redis_settings(RedisPart(**fields))  # type: ignore[arg-type]


def test_passwords_stand_in_files_and_in_no_error(tmp_path: Path) -> None:
    (tmp_path / "word").write_text("secret\nmore")
    part = RedisPart(nodes=["a:1"], password_file="word")
    assert with_passwords(part, tmp_path).password == "secret"
    (tmp_path / "word").write_text("\nsecret")
    with pytest.raises(ConfigError, match="password_file: word has no password") as caught:
        with_passwords(part, tmp_path)
    assert "secret" not in str(caught.value)


# --- one server ---


@pytest.mark.parametrize("protocol", [2, 3])
def test_totals_lives_and_births_of_names(protocol: int) -> None:
    async def test() -> None:
        world = await Redis().start()
        async with calling(world, protocol=protocol) as calls:
            first = await calls.add(1, 2.5, life=0.3)
            second = await calls.add(1, -1.0, life=60.0)
            assert (first.outcome, first.total, second.total) == (Outcome.OK, 2.5, 1.5)
            assert first.born == second.born != 0
            assert (await calls.add(2, 1.0)).born != first.born
            node = world.leader
            await until(lambda: node.value(key(1)) is None)  # by the life of its first call
            again = await calls.add(1, 1.0)
            assert again.total == 1.0 and again.born != first.born
            assert {link.resp for link in node.links} == {protocol}

    run(test())


def test_answers_of_one_name_come_in_the_order_of_its_calls() -> None:
    async def test() -> None:
        async with calling(await Redis().start()) as calls:
            for turn in range(50):
                for name in (1, 2, 3):
                    calls.counter.add(Count(name, 1.0 + turn % 2, 30.0))
            await until(lambda: len(calls.told) == 150)
            for name in (1, 2, 3):
                totals = [t.total for t in calls.told if isinstance(t, Counted) and t.name == name]
                assert totals == sorted(totals) and totals[-1] == 75.0

    run(test())


def test_a_script_that_the_server_lost_is_loaded_again_and_counts_once() -> None:
    async def test() -> None:
        world = await Redis().start()
        async with calling(world) as calls:
            await calls.add(1, 1.0)
            assert set(world.leader.scripts) == {SCRIPT_SHA1}
            world.leader.scripts.clear()
            assert (await calls.add(1, 1.0)).total == 2.0
            assert set(world.leader.scripts) == {SCRIPT_SHA1}
            taken = world.leader.taken
            assert (await calls.add(1, 1.0)).total == 3.0
            assert world.leader.taken == taken + 1  # by its digest alone

    run(test())


@pytest.mark.parametrize(
    "answer",
    ["LOADING Redis is loading the dataset in memory", "BUSY Redis is busy running a script.",
     "OOM command not allowed when used memory > 'maxmemory'.", "READONLY You can't write against it.",
     "MASTERDOWN Link with MASTER is down", "NOPERM no permissions", "ERR something else"],
)  # fmt: skip
def test_what_the_server_turns_away_was_not_added(answer: str, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        world = await Redis().start()
        async with calling(world) as calls:
            await calls.add(1, 1.0)
            world.leader.faults.answer = answer
            assert (await calls.add(1, 1.0)).outcome is Outcome.FULL
            world.leader.faults.answer = ""
            assert (await calls.settled(1)).total == 2.0

    run(test())
    assert "tally: redis" in caplog.text


def test_a_call_that_comes_again_counts_once() -> None:
    async def test() -> None:
        async with calling(await Redis().start()) as calls:
            for number, total in (
                (5, 2.0),
                (5, 2.0),
                (6, 4.0),
                (5, 4.0),
                (6, 4.0),
                (7, 6.0),
                (0, 8.0),
                (0, 10.0),
            ):
                before = len(calls.told)
                calls.counter.add(Count(1, 2.0, 30.0, number))
                await until(lambda before=before: len(calls.told) > before)  # type: ignore[misc]
                told = calls.told[-1]
                assert isinstance(told, Counted) and told.total == total, number

    run(test())


def test_a_connection_that_breaks_under_a_call_is_told_as_unknown_and_it_is_not_made_again() -> None:
    async def test() -> None:
        world = await Redis().start()
        async with calling(world) as calls:
            await calls.add(1, 1.0)
            taken = world.leader.taken
            world.leader.faults.cut = 1  # it runs, and its answer never comes
            assert (await calls.add(1, 1.0)).outcome is Outcome.TIMEOUT
            assert world.leader.taken == taken + 1
            assert (await calls.settled(1)).total == 3.0  # it had been added, once

    run(test())


def test_nobody_there_is_told_at_once_and_calls_come_again_with_a_pause() -> None:
    async def test() -> None:
        world = await Redis().start()
        async with calling(world) as calls:
            before = await calls.add(1, 1.0)
            world.leader.stop()
            found = [(await calls.add(1, 1.0)).outcome for _ in range(20)]
            # What stood on the connection when it broke may have run; from then on none was written.
            assert set(found[1:]) == {Outcome.CONNECT_FAILED}
            opened = world.leader.opened
            await world.leader.start()
            back = await calls.settled(1)
            assert back.total == 1.0 and back.born != before.born  # begun anew, and it shows
            assert world.leader.opened <= opened + LANES

    run(test())


def test_an_answer_after_its_time_is_told_as_late_and_those_behind_it_were_never_written() -> None:
    async def test() -> None:
        world = await Redis().start()
        async with calling(world, timeout=0.1) as calls:
            await calls.add(1, 1.0)
            world.leader.faults.hold = 0.4
            taken = world.leader.taken
            for _ in range(3):
                calls.counter.add(Count(1, 1.0, 30.0))
            await until(lambda: len(calls.told) == 5)
            outcomes = [t.outcome for t in calls.told[1:] if isinstance(t, Counted)]
            assert outcomes == [Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED]
            assert isinstance(calls.told[-1], Late)
            assert world.leader.taken == taken + 1

    run(test())


def test_a_silent_server_holds_up_no_more_than_its_lanes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(redis_module, "LOST", 0.2)

    async def test() -> None:
        world = await Redis().start()
        async with calling(world, timeout=0.05) as calls:
            await calls.add(1, 1.0)
            world.leader.faults.silent = True
            for _ in range(3):
                for name in NAMES:
                    calls.counter.add(Count(name, 1.0, 30.0))
            before = len(calls.told)
            await until(lambda: len(calls.told) >= 1 + 3 * len(NAMES))
            assert before <= len(calls.told)
            outcomes = [t.outcome for t in calls.told[1:] if isinstance(t, Counted)]
            assert outcomes.count(Outcome.TIMEOUT) <= LANES * 2
            world.leader.faults.silent = False
            assert (await calls.settled(1)).outcome is Outcome.OK

    run(test())


def test_a_lane_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(redis_module, "MAX_PENDING", 3)

    async def test() -> None:
        async with calling(await Redis().start()) as calls:
            for _ in range(10):
                calls.counter.add(Count(1, 1.0, 30.0))
            full = [t for t in calls.told if isinstance(t, Counted) and t.outcome is Outcome.FULL]
            assert len(full) == 7
            await until(lambda: len(calls.told) == 10)

    run(test())


def test_a_password_is_given_and_a_wrong_one_never_shown(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        world = await Redis(password="right").start()
        async with calling(world, password="right") as calls:
            assert (await calls.add(1, 1.0)).outcome is Outcome.OK
        world = await Redis(password="right").start()
        async with calling(world, password="wrong-word") as calls:
            assert (await calls.add(1, 1.0)).outcome is Outcome.FULL

    run(test())
    assert "AuthenticationError" in caplog.text and "wrong-word" not in caplog.text


# --- sentinels ---


def test_sentinels_tell_the_master_and_a_failover_loses_what_was_not_replicated() -> None:
    async def test() -> None:
        world = await Redis(lag=3600.0).start(replicas=1, sentinels=3)
        async with calling(world, mode="sentinel") as calls:
            first = await calls.add(1, 5.0)
            world.lag = 0.0
            world.waiting.clear()
            assert (await calls.add(1, 1.0)).total == 6.0  # this one is replicated, with what was before it
            world.lag = 3600.0
            assert (await calls.add(1, 2.0)).total == 8.0  # this one is not
            world.promote(world.leader)
            found = await calls.settled(1, 0.0)
            assert found.total == 6.0 and found.born == first.born  # the same counts, three seconds old

    run(test())


def test_a_demoted_master_is_left_for_the_new_one() -> None:
    async def test() -> None:
        world = await Redis().start(replicas=1, sentinels=3)
        async with calling(world, mode="sentinel") as calls:
            await calls.add(1, 5.0)
            old = world.leader
            new = world.promote(old, demote=True)
            assert (await calls.add(1, 1.0)).outcome is Outcome.FULL  # READONLY: nothing was added
            assert (await calls.settled(1)).total == 6.0
            assert old.faults.answer == "" and new.taken > 0

    run(test())


# --- a cluster ---


@pytest.mark.parametrize("protocol", [2, 3])
def test_a_cluster_serves_each_name_at_its_slots_owner(protocol: int) -> None:
    async def test(pauses: Pauses) -> None:
        world = await Redis(cluster=True).start(masters=3)
        # The time of all calls is checked below, without what the machine takes of it.
        async with calling(world, mode="cluster", timeout=60.0, protocol=protocol) as calls:
            began = time.monotonic()
            for name in NAMES:
                calls.counter.add(Count(name, 1.0, 30.0))
            await until(lambda: len(calls.told) == len(NAMES))
            ended = time.monotonic()
            assert all(isinstance(t, Counted) and t.outcome is Outcome.OK for t in calls.told)
            for node in world.nodes:
                assert node.data and all(world.owner(slot_of(k)) is node for k in node.data)
        assert ended - began - pauses.total_within(began, ended) < 1.0

    with Pauses() as pauses:
        run(test(pauses))


def test_a_slot_that_moves_is_followed_and_nothing_counts_twice() -> None:
    """ASK while it is on its way, MOVED when it is there; what got TRYAGAIN is added once."""

    async def test() -> None:
        world = await Redis(cluster=True).start(masters=2)
        async with calling(world, mode="cluster") as calls:
            source, target = world.nodes
            name = name_at(world, source)
            where = slot_of(key(name))
            born = (await calls.add(name, 1.0)).born
            world.begin_move(where, target)
            assert (await calls.add(name, 1.0)).total == 2.0  # still here
            world.move_key(key(name))
            asked = await calls.add(name, 1.0)  # by ASK
            assert asked.total == 3.0 and asked.born == born
            target.faults.once.append("TRYAGAIN Multiple keys request during rehashing of slot")
            assert (await calls.add(name, 1.0)).total == 4.0  # which the client asks again by itself
            world.end_move(where)
            assert (await calls.settled(name)).total == 5.0  # by MOVED
            taken = source.taken
            assert (await calls.add(name, 1.0)).total == 6.0
            assert source.taken == taken  # and remembered

    run(test())


def test_one_shard_that_is_away_leaves_the_others() -> None:
    async def test() -> None:
        world = await Redis(cluster=True).start(masters=2)
        async with calling(world, mode="cluster", timeout=0.3) as calls:
            one, two = (name_at(world, node) for node in world.nodes)
            await calls.add(one, 1.0)
            await calls.add(two, 1.0)
            world.nodes[1].faults.answer = "CLUSTERDOWN The cluster is down"
            assert (await calls.add(two, 1.0)).outcome in (Outcome.FULL, Outcome.TIMEOUT)
            assert (await calls.settled(one)).total == 2.0
            world.nodes[1].faults.answer = ""
            assert (await calls.settled(two)).total == 2.0

    run(test())


def test_a_failover_in_the_cluster_is_followed() -> None:
    async def test() -> None:
        world = await Redis(cluster=True).start(masters=2, replicas=1)
        async with calling(world, mode="cluster") as calls:
            first = world.masters[0]
            name = name_at(world, first)
            await calls.add(name, 3.0)
            new = world.promote(first)
            found = await calls.settled(name)
            assert found.total == 4.0 and world.owner(slot_of(key(name))) is new

    run(test())


def test_trouble_is_logged_once_a_second(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        world = await Redis().start()
        async with calling(world) as calls:
            world.leader.faults.answer = "LOADING Redis is loading the dataset in memory"
            for name in NAMES:
                calls.counter.add(Count(name, 1.0, 30.0))
            await until(lambda: len(calls.told) == len(NAMES))

    with caplog.at_level(logging.WARNING):
        run(test())
    assert 1 <= caplog.text.count("tally: redis") <= 3
