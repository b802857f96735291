"""Thousands of mixed requests to faulty workers while the description changes every 100 ms.

Guards against a write that runs twice and a request without exactly one answer, as if a request were handled
partly by the old description and partly by the new one, or a keyed one were retried in another bay.
"""

from __future__ import annotations

import asyncio
import gc
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
import uvloop

from ivymux.data_plane.frontend import Call
from orchidhill.interface import Effect
from standins.worker import ReceivedRequest, Reply, random_faults
from tests.pauses import Pauses
from tests.routes.describing import compiled, described, operation

from .fixtures import Client, GatewayFixture, make_request, running_gateway

REQUESTS, CALLERS = 10_000, 100
DEADLINE = 0.8
READS = ("GET /read/{}", "HEAD /read/{}", "GET /flip")
KINDS = (*READS, "POST /write", "POST /keyed", "POST /bare", "PUT /flip")


def generation(number: int) -> dict[str, Any]:
    """Return a description; they differ in the effect of `/flip`, in classes, costs and one of the paths."""
    effects = ("unsafe", "safe", "keyed")
    flip = {"effect": effects[number % 3], "class": f"flip-{number % 5}"}
    paths: dict[str, Any] = {
        "/read/{id}": {"get": operation(x={"cost": 1 + number % 2})},
        "/write": {"post": operation(x={"class": f"w{number % 4}"})},
        "/keyed": {"post": operation(x={"effect": "keyed"})},
        "/bare": {"post": operation(x={"effect": "keyed"})},  # requested without an Idempotency-Key
        "/flip": {"put": operation(x=flip), "get": operation(x={"effect": effects[(number + 1) % 3]})},
        f"/passing-{number % 7}": {"get": operation()},
    }
    return described(paths, x={"deadline": DEADLINE, "aim": DEADLINE / 2})


class Storm:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.effects: dict[str, Effect] = {}  # by request id, as each was accepted
        self.not_started: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.asked: list[tuple[float, float]] = []  # when each was sent and answered, monotonic seconds
        self.swaps = self.spoilt = 0

    def plan(self, seed: int) -> Any:
        trouble = random_faults(random.Random(seed))

        def plan(seen: ReceivedRequest) -> Reply:
            reply = trouble(seen)
            if reply.data is not None and b"Not-Started" in reply.data:
                self.not_started[seen.header("request-id")] += 1
            return reply

        return plan

    def watch(self, fixture: GatewayFixture) -> None:
        """Record the effect under which each request is accepted."""
        frontend, take = fixture.gateway.frontend, fixture.gateway.frontend.accept

        def noting(*args: Any) -> Any:
            call = take(*args)
            if isinstance(call, Call):
                number = call.make_event(0).cls
                self.effects[call.request_id.decode()] = fixture.gateway.classes.class_list[number].effect
            return call

        frontend.accept = noting  # type: ignore[method-assign, assignment]

    async def swap(self, fixture: GatewayFixture) -> None:
        """Switch to another description every 100 ms."""
        made = [compiled(generation(number)) for number in range(105)]  # each combination once
        # The program does this before it serves.  Else each full collection goes through all that pytest
        # and the test modules hold, and stops the event loop for a quarter of a second and more.
        gc.collect()
        gc.freeze()
        while True:
            began = time.monotonic()
            await fixture.gateway.apply_description(made[self.swaps % len(made)])
            self.swaps += 1
            await asyncio.sleep(max(0.0, 0.1 - (time.monotonic() - began)))

    async def spoil(self, fixture: GatewayFixture) -> None:
        """Write descriptions that can't be served, and let the gateway reload them."""
        while True:
            # In a thread: a slow disk must not delay answers.
            await asyncio.to_thread(fixture.write_description, b'{"openapi": "3.0.3", "paths": {"/cut')
            assert not await fixture.gateway.reload_description()
            self.spoilt += 1
            await asyncio.sleep(0.5)

    async def half_written(self, fixture: GatewayFixture, name: str) -> None:
        """Send a part of a request, then disconnect."""
        data = make_request("POST /write", b"x" * 500, Request_Id=name)
        async with Client(fixture.gateway) as client:
            client.writer.write(data[: self.rng.randrange(1, len(data) - 1)])
            await client.writer.drain()

    async def calls(self, fixture: GatewayFixture, number: int) -> None:
        client = Client(fixture.gateway)
        await client.__aenter__()
        for turn in range(REQUESTS // CALLERS):
            name = f"r{number}-{turn}"
            if self.rng.random() < 0.02:
                await self.half_written(fixture, f"half-{name}")
            line = self.rng.choice(KINDS).format(turn)
            headers = {"Request_Id": name}
            if "/keyed" in line or ("/flip" in line and turn % 2):
                headers["Idempotency_Key"] = f"key-{name}"
            body = b"b" * self.rng.randrange(300) if line[0] == "P" else b""
            began = time.monotonic()
            got = await client.send_request(line, body, **headers)
            self.asked.append((began, time.monotonic()))
            self.answers[name] += 1
            self.statuses[got.status] += 1
            if got.header("connection") == "close":
                assert await client.reader.read() == b""  # nothing after the answer
                await client.__aexit__()
                await client.__aenter__()
        client.writer.write_eof()
        assert await client.reader.read() == b""
        await client.__aexit__()


@pytest.mark.alone
def test_no_write_runs_twice_and_every_request_has_one_answer(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    storm = Storm(seed=10)

    async def test(pauses: Pauses) -> None:
        plans = [storm.plan(n) for n in range(4)]
        site = {"description": "watch = 0", "limits": "sockets = 2048\nattempts = 4"}
        async with asyncio.timeout(120), running_gateway(tmp_path, plans, generation(0), **site) as fixture:
            storm.watch(fixture)
            changing = [asyncio.ensure_future(work(fixture)) for work in (storm.swap, storm.spoil)]
            began = time.monotonic()
            await asyncio.gather(*(storm.calls(fixture, n) for n in range(CALLERS)))
            for task in changing:
                assert not task.done()
                task.cancel()
            await asyncio.gather(*changing, return_exceptions=True)
            assert storm.swaps > (time.monotonic() - began) * 10 / 2 and storm.spoilt
            while fixture.gateway.host.requests:  # until the attempts of answered requests have ended
                await asyncio.sleep(0.01)
            check(storm, fixture, pauses)

    with Pauses() as pauses:
        try:
            uvloop.run(test(pauses))
        finally:
            gc.unfreeze()
    assert not [r for r in caplog.records if r.exc_info]  # the decision module raised no error


def check(storm: Storm, fixture: GatewayFixture, pauses: Pauses) -> None:
    fleet, door = fixture.fleet, fixture.gateway
    assert len(storm.answers) == REQUESTS and set(storm.answers.values()) == {1}
    assert set(storm.statuses) <= {200, 500, 502, 503, 504}
    assert max(end - began - pauses.total_within(began, end) for began, end in storm.asked) < DEADLINE + 0.5
    assert storm.statuses[200] > 0.7 * REQUESTS
    assert door.host.decision_module.settings.classes == tuple(door.classes.class_list)
    repeated = 0
    for name, effect in storm.effects.items():
        runs, seen = fleet.executions[name], fleet.received[name]
        if effect is Effect.UNSAFE:
            # Retried only if the worker said that it had not started.
            assert runs <= 1 and seen - storm.not_started[name] <= 1, (name, runs, seen)
        elif effect is Effect.KEYED:
            assert runs <= 1, (name, runs)  # retries go to the bay whose workers drop them
            repeated += seen > 1
        else:
            repeated += runs > 1
    kinds = Counter(storm.effects.values())
    assert min(kinds.values()) > REQUESTS / 10 and repeated > REQUESTS / 100  # all cases occurred
    assert not fleet.overlapping  # never two attempts in flight for one request
    assert not any(name.startswith("half-") for name in fleet.received)
    assert (
        not any(door.classes.open_requests)
        and door.server.held_bytes == 0
        and door.host.unanswered_count == 0
    )
    assert len(door.classes.class_list) < 60  # numbers are reused
    assert not any(worker.malformed_requests for worker in fixture.workers)
