"""The Redis counter client against a stand-in for Redis: each call counts at most once, with one result."""

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
from ivymux.tally.redis import RedisCounter, read_passwords
from orchidhill.interface import Count, Counted, Late, Outcome
from standins.redis import Node, RedisDeployment, slot_of
from tests.pauses import Pauses
from tests.sockets import run, until

NAMES = range(1, 200)


class RecordingCounter:
    """A counter client that records its results."""

    def __init__(self, part: RedisPart, timeout: float = 1.0) -> None:
        self.results: list[Counted | Late] = []
        self.clock = SharedClock(0.0, time.monotonic())
        self.counter = RedisCounter(part, timeout, self.results.append, self.clock, seed=1)

    async def add(self, name: int, amount: float, life: float = 30.0) -> Counted:
        """Make a call and return its result; other calls' results are recorded in `results` only."""
        before = len(self.results)
        self.counter.add(Count(name, amount, life))
        await until(lambda: self.find(name, before))
        found = self.find(name, before)
        assert found is not None
        return found

    def find(self, name: int, since: int) -> Counted | None:
        return next((t for t in self.results[since:] if isinstance(t, Counted) and t.name == name), None)

    async def add_until_ok(self, name: int, amount: float = 1.0) -> Counted:
        """Repeat a call until its outcome is OK, when the client has recovered."""
        while (found := await self.add(name, amount)).outcome is not Outcome.OK:
            await asyncio.sleep(0.01)
        return found


@contextlib.asynccontextmanager
async def recording_counter(
    deployment: RedisDeployment, mode: str = "single", timeout: float = 1.0, protocol: int = 3, **more: str
) -> AsyncIterator[RecordingCounter]:
    """Connect a client to a started deployment; close the client and stop the deployment afterwards."""
    if mode == "sentinel":
        nodes = [node.address for node in deployment.sentinels]
    else:
        nodes = [node.address for node in deployment.nodes][: 1 if mode == "single" else 2]
    service = deployment.service if mode == "sentinel" else ""
    part = RedisPart(nodes=nodes, mode=mode, service=service, protocol=protocol, **more)  # type: ignore[arg-type]
    recorder = RecordingCounter(part, timeout)
    try:
        await recorder.counter.ready
        yield recorder
    finally:
        recorder.counter.close()
        assert recorder.counter.close_task is not None
        await recorder.counter.close_task
        deployment.stop()


def name_on(deployment: RedisDeployment, node: Node, prefix: str = "ivymux:") -> int:
    """Return a name whose key this node of a cluster owns."""
    return next(n for n in NAMES if deployment.slot_owner(slot_of(b"%s%x" % (prefix.encode(), n))) is node)


def key(name: int) -> bytes:
    return b"ivymux:%x" % name


# --- without a connection ---


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


def test_passwords_are_read_from_files_and_are_in_no_error(tmp_path: Path) -> None:
    (tmp_path / "word").write_text("secret\nmore")
    part = RedisPart(nodes=["a:1"], password_file="word")
    assert read_passwords(part, tmp_path).password == "secret"
    (tmp_path / "word").write_text("\nsecret")
    with pytest.raises(ConfigError, match="password_file: word has no password") as caught:
        read_passwords(part, tmp_path)
    assert "secret" not in str(caught.value)


# --- one server ---


@pytest.mark.parametrize("protocol", [2, 3])
def test_totals_lives_and_incarnations_of_names(protocol: int) -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment, protocol=protocol) as recorder:
            first = await recorder.add(1, 2.5, life=0.3)
            second = await recorder.add(1, -1.0, life=60.0)
            assert (first.outcome, first.total, second.total) == (Outcome.OK, 2.5, 1.5)
            assert first.born == second.born != 0
            assert (await recorder.add(2, 1.0)).born != first.born
            node = deployment.master
            await until(lambda: node.value(key(1)) is None)  # expires after the life of its first call
            again = await recorder.add(1, 1.0)
            assert again.total == 1.0 and again.born != first.born
            assert {connection.resp for connection in node.connections} == {protocol}

    run(test())


def test_answers_of_one_name_come_in_the_order_of_its_calls() -> None:
    async def test() -> None:
        async with recording_counter(await RedisDeployment().start()) as recorder:
            for turn in range(50):
                for name in (1, 2, 3):
                    recorder.counter.add(Count(name, 1.0 + turn % 2, 30.0))
            await until(lambda: len(recorder.results) == 150)
            for name in (1, 2, 3):
                totals = [t.total for t in recorder.results if isinstance(t, Counted) and t.name == name]
                assert totals == sorted(totals) and totals[-1] == 75.0

    run(test())


def test_a_script_lost_by_the_server_is_loaded_again_and_counts_once() -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment) as recorder:
            await recorder.add(1, 1.0)
            assert set(deployment.master.scripts) == {SCRIPT_SHA1}
            deployment.master.scripts.clear()
            assert (await recorder.add(1, 1.0)).total == 2.0
            assert set(deployment.master.scripts) == {SCRIPT_SHA1}
            executed = deployment.master.executed_calls
            assert (await recorder.add(1, 1.0)).total == 3.0
            assert deployment.master.executed_calls == executed + 1  # a single EVALSHA

    run(test())


@pytest.mark.parametrize(
    "answer",
    ["LOADING Redis is loading the dataset in memory", "BUSY Redis is busy running a script.",
     "OOM command not allowed when used memory > 'maxmemory'.", "READONLY You can't write against it.",
     "MASTERDOWN Link with MASTER is down", "NOPERM no permissions", "ERR something else"],
)  # fmt: skip
def test_a_call_rejected_by_the_server_was_not_added(answer: str, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment) as recorder:
            await recorder.add(1, 1.0)
            deployment.master.faults.error = answer
            assert (await recorder.add(1, 1.0)).outcome is Outcome.FULL
            deployment.master.faults.error = ""
            assert (await recorder.add_until_ok(1)).total == 2.0

    run(test())
    assert "tally: redis" in caplog.text


def test_a_repeated_call_counts_once() -> None:
    async def test() -> None:
        async with recording_counter(await RedisDeployment().start()) as recorder:
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
                before = len(recorder.results)
                recorder.counter.add(Count(1, 2.0, 30.0, number))
                await until(lambda before=before: len(recorder.results) > before)  # type: ignore[misc]
                result = recorder.results[-1]
                assert isinstance(result, Counted) and result.total == total, number

    run(test())


def test_a_call_whose_connection_broke_has_an_unknown_outcome_and_is_not_repeated() -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment) as recorder:
            await recorder.add(1, 1.0)
            executed = deployment.master.executed_calls
            deployment.master.faults.answers_to_drop = 1  # the call is executed, but not answered
            assert (await recorder.add(1, 1.0)).outcome is Outcome.TIMEOUT
            assert deployment.master.executed_calls == executed + 1
            assert (await recorder.add_until_ok(1)).total == 3.0  # the unanswered call was added, once

    run(test())


def test_an_unreachable_server_is_reported_at_once_and_retried_with_a_delay() -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment) as recorder:
            before = await recorder.add(1, 1.0)
            deployment.master.stop()
            outcomes = [(await recorder.add(1, 1.0)).outcome for _ in range(20)]
            # The call in flight when the connection broke may have been executed; later ones were not sent.
            assert set(outcomes[1:]) == {Outcome.CONNECT_FAILED}
            accepted = deployment.master.accepted_connections
            await deployment.master.start()
            restored = await recorder.add_until_ok(1)
            assert restored.total == 1.0 and restored.born != before.born  # a new incarnation
            assert deployment.master.accepted_connections <= accepted + LANES

    run(test())


def test_a_late_answer_is_reported_and_calls_queued_behind_it_are_never_sent() -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment, timeout=0.1) as recorder:
            await recorder.add(1, 1.0)
            deployment.master.faults.delay = 0.4
            executed = deployment.master.executed_calls
            for _ in range(3):
                recorder.counter.add(Count(1, 1.0, 30.0))
            await until(lambda: len(recorder.results) == 5)
            outcomes = [t.outcome for t in recorder.results[1:] if isinstance(t, Counted)]
            assert outcomes == [Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED]
            assert isinstance(recorder.results[-1], Late)
            assert deployment.master.executed_calls == executed + 1

    run(test())


def test_a_silent_server_blocks_at_most_one_call_per_lane(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(redis_module, "ANSWER_TIMEOUT_S", 0.2)

    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment, timeout=0.05) as recorder:
            await recorder.add(1, 1.0)
            deployment.master.faults.silent = True
            for _ in range(3):
                for name in NAMES:
                    recorder.counter.add(Count(name, 1.0, 30.0))
            before = len(recorder.results)
            await until(lambda: len(recorder.results) >= 1 + 3 * len(NAMES))
            assert before <= len(recorder.results)
            outcomes = [t.outcome for t in recorder.results[1:] if isinstance(t, Counted)]
            assert outcomes.count(Outcome.TIMEOUT) <= LANES * 2
            deployment.master.faults.silent = False
            assert (await recorder.add_until_ok(1)).outcome is Outcome.OK

    run(test())


def test_a_lane_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(redis_module, "MAX_PENDING", 3)

    async def test() -> None:
        async with recording_counter(await RedisDeployment().start()) as recorder:
            for _ in range(10):
                recorder.counter.add(Count(1, 1.0, 30.0))
            full = [t for t in recorder.results if isinstance(t, Counted) and t.outcome is Outcome.FULL]
            assert len(full) == 7
            await until(lambda: len(recorder.results) == 10)

    run(test())


def test_a_password_is_sent_and_a_wrong_one_never_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        deployment = await RedisDeployment(password="right").start()
        async with recording_counter(deployment, password="right") as recorder:
            assert (await recorder.add(1, 1.0)).outcome is Outcome.OK
        deployment = await RedisDeployment(password="right").start()
        async with recording_counter(deployment, password="wrong-word") as recorder:
            assert (await recorder.add(1, 1.0)).outcome is Outcome.FULL

    run(test())
    assert "AuthenticationError" in caplog.text and "wrong-word" not in caplog.text


# --- sentinels ---


def test_sentinels_name_the_master_and_a_failover_loses_unreplicated_writes() -> None:
    async def test() -> None:
        deployment = await RedisDeployment(replication_lag=3600.0).start(replicas=1, sentinels=3)
        async with recording_counter(deployment, mode="sentinel") as recorder:
            first = await recorder.add(1, 5.0)
            deployment.replication_lag = 0.0
            deployment.unreplicated.clear()
            # This call is replicated, with those before it.
            assert (await recorder.add(1, 1.0)).total == 6.0
            deployment.replication_lag = 3600.0
            assert (await recorder.add(1, 2.0)).total == 8.0  # this one is not replicated
            deployment.promote(deployment.master)
            found = await recorder.add_until_ok(1, 0.0)
            # The same incarnation, without the unreplicated call.
            assert found.total == 6.0 and found.born == first.born

    run(test())


def test_a_demoted_master_is_replaced_by_the_new_one() -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start(replicas=1, sentinels=3)
        async with recording_counter(deployment, mode="sentinel") as recorder:
            await recorder.add(1, 5.0)
            old = deployment.master
            new = deployment.promote(old, demote=True)
            assert (await recorder.add(1, 1.0)).outcome is Outcome.FULL  # READONLY: nothing was added
            assert (await recorder.add_until_ok(1)).total == 6.0
            assert old.faults.error == "" and new.executed_calls > 0

    run(test())


# --- a cluster ---


@pytest.mark.parametrize("protocol", [2, 3])
def test_a_cluster_serves_each_name_at_its_slots_owner(protocol: int) -> None:
    async def test(pauses: Pauses) -> None:
        deployment = await RedisDeployment(cluster=True).start(masters=3)
        # Calls must not time out: the duration of all calls, without pauses of the machine, is checked below.
        async with recording_counter(deployment, mode="cluster", timeout=60.0, protocol=protocol) as recorder:
            began = time.monotonic()
            for name in NAMES:
                recorder.counter.add(Count(name, 1.0, 30.0))
            await until(lambda: len(recorder.results) == len(NAMES))
            ended = time.monotonic()
            assert all(isinstance(t, Counted) and t.outcome is Outcome.OK for t in recorder.results)
            for node in deployment.nodes:
                assert node.data and all(deployment.slot_owner(slot_of(k)) is node for k in node.data)
        assert ended - began - pauses.total_within(began, ended) < 1.0

    with Pauses() as pauses:
        run(test(pauses))


def test_a_migrating_slot_is_followed_and_nothing_counts_twice() -> None:
    """During the migration the server redirects by ASK, afterwards by MOVED; TRYAGAIN adds nothing."""

    async def test() -> None:
        deployment = await RedisDeployment(cluster=True).start(masters=2)
        async with recording_counter(deployment, mode="cluster") as recorder:
            source, target = deployment.nodes
            name = name_on(deployment, source)
            slot = slot_of(key(name))
            born = (await recorder.add(name, 1.0)).born
            deployment.begin_migration(slot, target)
            assert (await recorder.add(name, 1.0)).total == 2.0  # the source still has the key
            deployment.migrate_key(key(name))
            redirected = await recorder.add(name, 1.0)  # by ASK
            assert redirected.total == 3.0 and redirected.born == born
            target.faults.next_errors.append("TRYAGAIN Multiple keys request during rehashing of slot")
            assert (await recorder.add(name, 1.0)).total == 4.0  # redis-py repeats the call by itself
            deployment.end_migration(slot)
            assert (await recorder.add_until_ok(name)).total == 5.0  # by MOVED
            executed = source.executed_calls
            assert (await recorder.add(name, 1.0)).total == 6.0
            assert source.executed_calls == executed  # the client remembers the new owner

    run(test())


def test_an_unavailable_shard_does_not_affect_the_others() -> None:
    async def test() -> None:
        deployment = await RedisDeployment(cluster=True).start(masters=2)
        async with recording_counter(deployment, mode="cluster", timeout=0.3) as recorder:
            one, two = (name_on(deployment, node) for node in deployment.nodes)
            await recorder.add(one, 1.0)
            await recorder.add(two, 1.0)
            deployment.nodes[1].faults.error = "CLUSTERDOWN The cluster is down"
            assert (await recorder.add(two, 1.0)).outcome in (Outcome.FULL, Outcome.TIMEOUT)
            assert (await recorder.add_until_ok(one)).total == 2.0
            deployment.nodes[1].faults.error = ""
            assert (await recorder.add_until_ok(two)).total == 2.0

    run(test())


def test_a_failover_in_the_cluster_is_followed() -> None:
    async def test() -> None:
        deployment = await RedisDeployment(cluster=True).start(masters=2, replicas=1)
        async with recording_counter(deployment, mode="cluster") as recorder:
            first = deployment.masters[0]
            name = name_on(deployment, first)
            await recorder.add(name, 3.0)
            new = deployment.promote(first)
            found = await recorder.add_until_ok(name)
            assert found.total == 4.0 and deployment.slot_owner(slot_of(key(name))) is new

    run(test())


def test_errors_are_logged_once_a_second(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with recording_counter(deployment) as recorder:
            deployment.master.faults.error = "LOADING Redis is loading the dataset in memory"
            for name in NAMES:
                recorder.counter.add(Count(name, 1.0, 30.0))
            await until(lambda: len(recorder.results) == len(NAMES))

    with caplog.at_level(logging.WARNING):
        run(test())
    assert 1 <= caplog.text.count("tally: redis") <= 3
