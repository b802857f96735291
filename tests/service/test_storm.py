"""Thousands of mixed requests to faulty workers while the description changes every 100 ms.

Guards against a write that runs twice and a request without exactly one answer.  Both could come about if a
request were handled partly by the old description and partly by the new one, or a keyed request were retried
in another bay.
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
DEADLINE_S = 0.8
READS = ("GET /read/{}", "HEAD /read/{}", "GET /flip")
KINDS = (*READS, "POST /write", "POST /keyed", "POST /bare", "PUT /flip")


def make_description(number: int) -> dict[str, Any]:
    """Return one of many descriptions, which differ in effects, classes, costs and one of the paths."""
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
    return described(paths, x={"deadline": DEADLINE_S, "aim": DEADLINE_S / 2})


class MixedLoad:
    """Clients that send random requests, changes of the description, and what was observed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.effects: dict[str, Effect] = {}  # by request id, as each request was accepted
        self.not_started: Counter[str] = Counter()  # refusals with Not-Started, by request id
        self.answers: Counter[str] = Counter()  # by request id
        self.statuses: Counter[int] = Counter()
        # When each request was sent and answered, in monotonic seconds.
        self.request_spans: list[tuple[float, float]] = []
        self.switches = self.rejected_descriptions = 0

    def make_responder(self, seed: int) -> Any:
        """Return a responder of a faulty worker, which also counts its Not-Started answers."""
        respond_with_faults = random_faults(random.Random(seed))

        def respond(request: ReceivedRequest) -> Reply:
            reply = respond_with_faults(request)
            if reply.data is not None and b"Not-Started" in reply.data:
                self.not_started[request.header("request-id")] += 1
            return reply

        return respond

    def record_effects(self, fixture: GatewayFixture) -> None:
        """Record the effect under which each request is accepted."""
        frontend, original_accept = fixture.gateway.frontend, fixture.gateway.frontend.accept

        def accept(*args: Any) -> Any:
            call = original_accept(*args)
            if isinstance(call, Call):
                number = call.make_event(0).cls
                self.effects[call.request_id.decode()] = fixture.gateway.classes.class_list[number].effect
            return call

        frontend.accept = accept  # type: ignore[method-assign, assignment]

    async def switch_descriptions(self, fixture: GatewayFixture) -> None:
        """Switch to another description every 100 ms."""
        descriptions = [compiled(make_description(number)) for number in range(105)]  # each combination once
        # As the program does before it serves.  Otherwise each full collection traverses all objects of
        # pytest and the test modules, and stops the event loop for a quarter of a second and more.
        gc.collect()
        gc.freeze()
        while True:
            began = time.monotonic()
            await fixture.gateway.apply_description(descriptions[self.switches % len(descriptions)])
            self.switches += 1
            await asyncio.sleep(max(0.0, 0.1 - (time.monotonic() - began)))

    async def reload_invalid_descriptions(self, fixture: GatewayFixture) -> None:
        """Write truncated descriptions, and let the gateway reload them."""
        while True:
            # In a thread: a slow disk must not delay answers.
            await asyncio.to_thread(fixture.write_description, b'{"openapi": "3.0.3", "paths": {"/cut')
            assert not await fixture.gateway.reload_description()
            self.rejected_descriptions += 1
            await asyncio.sleep(0.5)

    async def send_partial_request(self, fixture: GatewayFixture, name: str) -> None:
        """Send a part of a request, then disconnect."""
        data = make_request("POST /write", b"x" * 500, Request_Id=name)
        async with Client(fixture.gateway) as client:
            client.writer.write(data[: self.rng.randrange(1, len(data) - 1)])
            await client.writer.drain()

    async def run_client(self, fixture: GatewayFixture, number: int) -> None:
        """Send random requests on one connection, and on a new one whenever the gateway closes it."""
        client = Client(fixture.gateway)
        await client.__aenter__()
        for turn in range(REQUESTS // CALLERS):
            name = f"r{number}-{turn}"
            if self.rng.random() < 0.02:
                await self.send_partial_request(fixture, f"half-{name}")
            line = self.rng.choice(KINDS).format(turn)
            headers = {"Request_Id": name}
            if "/keyed" in line or ("/flip" in line and turn % 2):
                headers["Idempotency_Key"] = f"key-{name}"
            body = b"b" * self.rng.randrange(300) if line[0] == "P" else b""
            sent_at = time.monotonic()
            answer = await client.send_request(line, body, **headers)
            self.request_spans.append((sent_at, time.monotonic()))
            self.answers[name] += 1
            self.statuses[answer.status] += 1
            if answer.header("connection") == "close":
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
    load = MixedLoad(seed=10)

    async def test(pauses: Pauses) -> None:
        responders = [load.make_responder(n) for n in range(4)]
        site = {"description": "watch = 0", "limits": "sockets = 2048\nattempts = 4"}
        async with (
            asyncio.timeout(120),
            running_gateway(tmp_path, responders, make_description(0), **site) as fixture,
        ):
            load.record_effects(fixture)
            changing = [
                asyncio.ensure_future(work(fixture))
                for work in (load.switch_descriptions, load.reload_invalid_descriptions)
            ]
            began = time.monotonic()
            await asyncio.gather(*(load.run_client(fixture, n) for n in range(CALLERS)))
            for task in changing:
                assert not task.done()
                task.cancel()
            await asyncio.gather(*changing, return_exceptions=True)
            assert load.switches > (time.monotonic() - began) * 10 / 2 and load.rejected_descriptions
            while fixture.gateway.host.requests:  # until the attempts of answered requests have ended
                await asyncio.sleep(0.01)
            check(load, fixture, pauses)

    with Pauses() as pauses:
        try:
            uvloop.run(test(pauses))
        finally:
            gc.unfreeze()
    assert not [r for r in caplog.records if r.exc_info]  # the decision module raised no error


def check(load: MixedLoad, fixture: GatewayFixture, pauses: Pauses) -> None:
    record, gateway = fixture.record, fixture.gateway
    assert len(load.answers) == REQUESTS and set(load.answers.values()) == {1}
    assert set(load.statuses) <= {200, 500, 502, 503, 504}
    assert (
        max(end - began - pauses.total_within(began, end) for began, end in load.request_spans)
        < DEADLINE_S + 0.5
    )
    assert load.statuses[200] > 0.7 * REQUESTS
    assert gateway.host.decision_module.settings.classes == tuple(gateway.classes.class_list)
    repeated_requests = 0
    for name, effect in load.effects.items():
        runs, received = record.executions[name], record.received[name]
        if effect is Effect.UNSAFE:
            # Retried only if the worker said that it had not started.
            assert runs <= 1 and received - load.not_started[name] <= 1, (name, runs, received)
        elif effect is Effect.KEYED:
            assert runs <= 1, (name, runs)  # retries go to the bay whose workers drop them
            repeated_requests += received > 1
        else:
            repeated_requests += runs > 1
    kinds = Counter(load.effects.values())
    assert min(kinds.values()) > REQUESTS / 10 and repeated_requests > REQUESTS / 100  # all cases occurred
    assert not record.overlapping  # never two attempts in flight for one request
    assert not any(name.startswith("half-") for name in record.received)
    assert (
        not any(gateway.classes.open_requests)
        and gateway.server.held_bytes == 0
        and gateway.host.unanswered_count == 0
    )
    assert len(gateway.classes.class_list) < 60  # numbers are reused
    assert not any(worker.malformed_requests for worker in fixture.workers)
