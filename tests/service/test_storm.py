"""Thousands of mixed requests through troubled workers while the description changes every 100 ms."""

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
from standins.worker import Reply, Seen, troubled
from tests.pauses import Pauses
from tests.routes.describing import compiled, described, operation

from .doors import Caller, Place, request, standing

REQUESTS, CALLERS = 10_000, 100
DEADLINE = 0.8
READS = ("GET /read/{}", "HEAD /read/{}", "GET /flip")
KINDS = (*READS, "POST /write", "POST /keyed", "POST /bare", "PUT /flip")


def generation(number: int) -> dict[str, Any]:
    """Descriptions that differ in the effect of `/flip`, in classes, times and paths that come and go."""
    effects = ("unsafe", "safe", "keyed")
    flip = {"effect": effects[number % 3], "class": f"flip-{number % 5}"}
    paths: dict[str, Any] = {
        "/read/{id}": {"get": operation(x={"cost": 1 + number % 2})},
        "/write": {"post": operation(x={"class": f"w{number % 4}"})},
        "/keyed": {"post": operation(x={"effect": "keyed"})},
        "/bare": {"post": operation(x={"effect": "keyed"})},  # asked for without its key
        "/flip": {"put": operation(x=flip), "get": operation(x={"effect": effects[(number + 1) % 3]})},
        f"/passing-{number % 7}": {"get": operation()},
    }
    return described(paths, x={"deadline": DEADLINE, "aim": DEADLINE / 2})


class Storm:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.effects: dict[str, Effect] = {}  # by request, as it was taken
        self.not_started: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.asked: list[tuple[float, float]] = []  # when each was asked and answered, monotonic seconds
        self.swaps = self.spoilt = 0

    def plan(self, seed: int) -> Any:
        trouble = troubled(random.Random(seed))

        def plan(seen: Seen) -> Reply:
            reply = trouble(seen)
            if reply.data is not None and b"Not-Started" in reply.data:
                self.not_started[seen.header("request-id")] += 1
            return reply

        return plan

    def watch(self, place: Place) -> None:
        """Note under which effect each request was taken."""
        frontend, take = place.door.frontend, place.door.frontend.accept

        def noting(*args: Any) -> Any:
            call = take(*args)
            if isinstance(call, Call):
                number = call.make_event(0).cls
                self.effects[call.request_id.decode()] = place.door.classes.listed[number].effect
            return call

        frontend.accept = noting  # type: ignore[method-assign, assignment]

    async def swap(self, place: Place) -> None:
        """Another description every 100 ms."""
        made = [compiled(generation(number)) for number in range(105)]  # each combination once
        # The program does this before it serves.  Else each full collection goes through all that pytest
        # and the test modules hold, and stops the event loop for a quarter of a second and more.
        gc.collect()
        gc.freeze()
        while True:
            began = time.monotonic()
            await place.door.take_over(made[self.swaps % len(made)])
            self.swaps += 1
            await asyncio.sleep(max(0.0, 0.1 - (time.monotonic() - began)))

    async def spoil(self, place: Place) -> None:
        """Files that can't be served, compiled beside as a change of the file is."""
        while True:
            # Beside: a slow disk is no reason for a late answer.
            await asyncio.to_thread(place.describe, b'{"openapi": "3.0.3", "paths": {"/cut')
            assert not await place.door.reload_description()
            self.spoilt += 1
            await asyncio.sleep(0.5)

    async def half_written(self, place: Place, name: str) -> None:
        """A request that never comes whole."""
        data = request("POST /write", b"x" * 500, Request_Id=name)
        async with Caller(place.door) as caller:
            caller.writer.write(data[: self.rng.randrange(1, len(data) - 1)])
            await caller.writer.drain()

    async def calls(self, place: Place, number: int) -> None:
        caller = Caller(place.door)
        await caller.__aenter__()
        for turn in range(REQUESTS // CALLERS):
            name = f"r{number}-{turn}"
            if self.rng.random() < 0.02:
                await self.half_written(place, f"half-{name}")
            line = self.rng.choice(KINDS).format(turn)
            headers = {"Request_Id": name}
            if "/keyed" in line or ("/flip" in line and turn % 2):
                headers["Idempotency_Key"] = f"key-{name}"
            body = b"b" * self.rng.randrange(300) if line[0] == "P" else b""
            began = time.monotonic()
            got = await caller.ask(line, body, **headers)
            self.asked.append((began, time.monotonic()))
            self.answers[name] += 1
            self.statuses[got.status] += 1
            if got.header("connection") == "close":
                assert await caller.reader.read() == b""  # nothing after the answer
                await caller.__aexit__()
                await caller.__aenter__()
        caller.writer.write_eof()
        assert await caller.reader.read() == b""
        await caller.__aexit__()


@pytest.mark.alone
def test_no_write_runs_twice_and_every_request_has_one_answer(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    storm = Storm(seed=10)

    async def test(pauses: Pauses) -> None:
        plans = [storm.plan(n) for n in range(4)]
        site = {"description": "watch = 0", "limits": "sockets = 2048\nattempts = 4"}
        async with asyncio.timeout(120), standing(tmp_path, plans, generation(0), **site) as place:
            storm.watch(place)
            changing = [asyncio.ensure_future(work(place)) for work in (storm.swap, storm.spoil)]
            began = time.monotonic()
            await asyncio.gather(*(storm.calls(place, n) for n in range(CALLERS)))
            for task in changing:
                assert not task.done()
                task.cancel()
            await asyncio.gather(*changing, return_exceptions=True)
            assert storm.swaps > (time.monotonic() - began) * 10 / 2 and storm.spoilt
            while place.door.host.requests:  # attempts whose clients were answered run out
                await asyncio.sleep(0.01)
            check(storm, place, pauses)

    with Pauses() as pauses:
        try:
            uvloop.run(test(pauses))
        finally:
            gc.unfreeze()
    assert not [r for r in caplog.records if r.exc_info]  # the module took every event


def check(storm: Storm, place: Place, pauses: Pauses) -> None:
    fleet, door = place.fleet, place.door
    assert len(storm.answers) == REQUESTS and set(storm.answers.values()) == {1}
    assert set(storm.statuses) <= {200, 500, 502, 503, 504}
    assert max(end - began - pauses.total_within(began, end) for began, end in storm.asked) < DEADLINE + 0.5
    assert storm.statuses[200] > 0.7 * REQUESTS
    assert door.host.decision_module.settings.classes == tuple(door.classes.listed)
    repeated = 0
    for name, effect in storm.effects.items():
        runs, seen = fleet.runs[name], fleet.seen[name]
        if effect is Effect.UNSAFE:
            # Sent again only where the worker said that it did not start.
            assert runs <= 1 and seen - storm.not_started[name] <= 1, (name, runs, seen)
        elif effect is Effect.KEYED:
            assert runs <= 1, (name, runs)  # repeats stay in the bay that drops them
            repeated += seen > 1
        else:
            repeated += runs > 1
    kinds = Counter(storm.effects.values())
    assert min(kinds.values()) > REQUESTS / 10 and repeated > REQUESTS / 100  # the storm had all of it
    assert not fleet.together  # never two attempts out at once
    assert not any(name.startswith("half-") for name in fleet.seen)
    assert not any(door.classes.held) and door.server.held_bytes == 0 and door.host.unanswered_count == 0
    assert len(door.classes.listed) < 60  # numbers are used again
    assert not any(worker.malformed for worker in place.workers)
