"""The gateway of `ivymux serve`: changes of its description and site; invalid ones must change nothing."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

import pytest

from ivymux.routes.model import CompiledDescription, Options
from ivymux.service import compiler
from ivymux.service.compiler import (
    cache_file,
    compile_file,
    folder_reader,
    load_cached,
    load_or_compile,
    store_cached,
)  # fmt: skip
from ivymux.service.standalone import open_standalone
from standins.worker import ReceivedRequest, Reply, Worker
from tests.routes.describing import described, operation
from tests.sockets import run, until
from tests.test_text import alias_bomb

from .fixtures import PATHS, Client, GatewayFixture, make_request, running_gateway, send_request, site_text

UNSAFE = operation(x={"effect": "unsafe"})


# --- descriptions that change ------------------------------------------------------------------------


def test_a_changed_description_is_detected_and_applied(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, description="watch = 0.02") as fixture:
            assert (await send_request(fixture, "GET /new")).status == 404
            fixture.write_description(described({"/new": {"get": operation()}}))
            while (await send_request(fixture, "GET /new")).status != 200:
                await asyncio.sleep(0.02)
            assert (await send_request(fixture, "GET /read/7")).status == 404

    run(test())


@pytest.mark.parametrize(("before", "after"), [("unsafe", "safe"), ("safe", "unsafe")])
def test_a_request_keeps_its_description_between_two_attempts(
    tmp_path: Path, before: str, after: str
) -> None:
    """The description changes during the first attempt; whether to retry depends on the old one's effect."""

    def document(effect: str) -> Any:
        # The change, which starts a process, is over before the deadline on a busy machine too.
        return described({"/a": {"get": operation(x={"effect": effect, "deadline": 20.0})}})

    async def test() -> None:
        tasks: list[asyncio.Task[bool]] = []
        gate = asyncio.Event()

        async def change(fixture: GatewayFixture) -> bool:
            fixture.write_description(document(after))
            is_changed = await fixture.gateway.reload_description()
            gate.set()
            return is_changed

        def respond(request: ReceivedRequest) -> Reply:
            if len(first_attempts) == 0:
                first_attempts.append(request)
                tasks.append(asyncio.ensure_future(change(fixtures[0])))
                return Reply(delay=60.0)  # no answer; the test aborts the connection
            return Reply()

        first_attempts: list[ReceivedRequest] = []
        fixtures: list[GatewayFixture] = []  # set once the gateway runs
        async with running_gateway(
            tmp_path, [respond] * 3, document(before), description="watch = 0"
        ) as fixture:
            fixtures.append(fixture)
            async with Client(fixture.gateway) as client:
                client.writer.write(make_request("GET /a", Request_Id="r"))
                await gate.wait()
                assert await tasks[0]
                for worker in fixture.workers:  # end the first attempt, which may have run
                    for connection in list(worker.connections):
                        if connection.outstanding_id == "r" and connection.transport is not None:
                            connection.transport.abort()
                from .fixtures import read_answer

                answer = await read_answer(client.reader)
            if before == "unsafe":
                assert answer.status == 502 and fixture.record.received["r"] == 1
            else:
                assert answer.status == 200 and fixture.record.received["r"] == 2
            assert not any(fixture.gateway.classes.open_requests)

    run(test())


INVALID_DESCRIPTIONS = [
    b"", b"{", b"not: [closed", json.dumps(described(PATHS)).encode()[:-40], b"\xff\xfe\x00", b"[]", b"null",
    b"openapi: 3.0.0\n" + alias_bomb(30), json.dumps({"openapi": "2.0"}).encode(),
    json.dumps(described({"/a": {"get": operation(x={"effect": "sometimes"})}})).encode(),
    json.dumps(described({"/a": {"get": {"$ref": "https://x.example/y"}}})).encode(),
    json.dumps(described({"/a": {"$ref": "../outside.json"}})).encode(),
    json.dumps(described({"/{x}": {"get": operation()}, "/{y}": {"get": operation()}})).encode(),
]  # fmt: skip


@pytest.mark.parametrize("data", INVALID_DESCRIPTIONS, ids=range(len(INVALID_DESCRIPTIONS)))
def test_an_invalid_description_changes_nothing(
    tmp_path: Path, data: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, description="watch = 0") as fixture:
            table = fixture.gateway.table
            fixture.write_description(data)
            assert not await fixture.gateway.reload_description()
            assert fixture.gateway.table is table is fixture.gateway.frontend.table
            assert (await send_request(fixture, "GET /read/7")).status == 200
            fixture.write_description(described({"/new": {"get": operation()}}))
            assert await fixture.gateway.reload_description()
            assert (await send_request(fixture, "GET /new")).status == 200

    run(test())
    (line,) = [r.getMessage() for r in caplog.records if "stays as it was" in r.getMessage()]
    assert "\n" not in line and "api.json" in line


def test_a_description_that_is_deleted_and_written_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, description="watch = 0") as fixture:
            (fixture.folder / "api.json").unlink()
            await fixture.gateway.check_description()
            await fixture.gateway.check_description()
            assert (await send_request(fixture, "GET /read/7")).status == 200
            fixture.write_description(described({"/new": {"get": operation()}}))
            await fixture.gateway.check_description()
            assert (await send_request(fixture, "GET /new")).status == 200

    run(test())


def test_requests_are_served_while_a_description_is_compiled(tmp_path: Path) -> None:
    from bench.descriptions import large_description_text

    async def test() -> None:
        async with running_gateway(tmp_path, description="watch = 0") as fixture:
            fixture.write_description(large_description_text(1200, 2000))
            work = asyncio.ensure_future(fixture.gateway.reload_description())
            served = 0
            async with Client(fixture.gateway) as client:
                while not work.done():
                    assert (await client.send_request("GET /read/7")).status in (200, 404)
                    served += 1
            assert await work and served > 20  # bench/routes.py measures the latency meanwhile

    run(test())


# --- the compiler ------------------------------------------------------------------------------------


def test_a_compiler_that_ends_without_a_result_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "api.json").write_text(json.dumps(described(PATHS)))
    site = tmp_path / "site.toml"
    site.write_text(site_text([Worker()]).replace("127.0.0.1:0", "127.0.0.1:1"))

    async def test() -> None:
        monkeypatch.setattr(compiler, "TIMEOUT_S", 0.01)
        with pytest.raises(compiler.CompilerError, match="not compiled within"):
            await compile_file(tmp_path / "api.json", Options())
        monkeypatch.setattr(sys, "executable", "/bin/false")
        monkeypatch.setattr(compiler, "TIMEOUT_S", 10.0)
        with pytest.raises(compiler.CompilerError):
            await open_standalone(site)

    run(test())


def test_links_out_of_the_folder_are_not_followed(tmp_path: Path) -> None:
    (tmp_path / "secret.json").write_text("{}")
    folder = tmp_path / "in"
    folder.mkdir()
    (folder / "link.json").symlink_to(tmp_path / "secret.json")
    (folder / "near.json").write_text("{}")
    read = folder_reader(folder / "api.json")
    assert read("near.json") == b"{}"
    with pytest.raises(OSError, match="leads out"):
        read("link.json")
    # The description itself may be a link, as some configuration tools replace a file by changing a link.
    (folder / "api.json").symlink_to(tmp_path / "secret.json")
    assert read("api.json") == b"{}"
    os.mkfifo(folder / "pipe.json")


def test_the_cache_is_used_only_if_every_file_is_unchanged(tmp_path: Path) -> None:
    path, cache, options = tmp_path / "api.json", tmp_path / "cache", Options()
    definitions = {"limit": {"name": "limit", "in": "query", "schema": {"type": "integer"}}}

    def write(extra: Any) -> None:
        parameters = [{"$ref": "more.json#/limit"}]
        path.write_text(json.dumps(described({"/a": {"get": operation(parameters=parameters)}})))
        (tmp_path / "more.json").write_text(json.dumps(definitions | {"extra": extra}))

    async def test() -> None:
        write(1)
        first, from_cache = await load_or_compile(path, options, cache)
        assert not from_cache
        again, from_cache = await load_or_compile(path, options, cache)
        assert from_cache and again == first
        write(2)  # changes only the file that the description refers to
        assert load_cached(cache, path, options) is None
        second, from_cache = await load_or_compile(path, options, cache)
        assert not from_cache and second.files != first.files
        assert load_cached(cache, path, Options(base="/x")) is None
        contents = cache_file(cache, path).read_bytes()
        for cut in (0, 5, 60, len(contents) // 2, len(contents) - 1):
            cache_file(cache, path).write_bytes(contents[:cut])
            assert load_cached(cache, path, options) is None
        for at in (20, 90, len(contents) // 2):
            cache_file(cache, path).write_bytes(
                contents[:at] + bytes([contents[at] ^ 1]) + contents[at + 1 :]
            )
            assert load_cached(cache, path, options) is None
        cache_file(cache, path).write_bytes(contents)
        assert load_cached(cache, path, options) == second

    run(test())


def test_a_cache_that_cannot_be_written_costs_only_time(tmp_path: Path) -> None:
    path = tmp_path / "api.json"
    path.write_text(json.dumps(described(PATHS)))
    blocked = tmp_path / "blocked"
    blocked.write_text("a file where the folder should be")

    async def test() -> None:
        compiled, from_cache = await load_or_compile(path, Options(), blocked / "cache")
        assert not from_cache and compiled.operations

    run(test())
    with pytest.raises(OSError):
        store_cached(blocked / "cache", path, Options(), CompiledDescription("", "", [], [], 0, {}))
    assert set(tmp_path.iterdir()) == {path, blocked}


# --- sites that change -------------------------------------------------------------------------------


def test_keys_and_workers_change_with_the_site_file(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, description="watch = 0") as fixture:
            other = await Worker(fixture.record).start()
            text = site_text([other], keyed="memory = 30.0", description="watch = 0")
            site = fixture.folder / "site.toml"
            site.write_text(text.replace('name = "w0"', 'name = "other"'))
            await fixture.gateway.reload()
            assert (await send_request(fixture, "GET /read/1")).status == 200
            assert other.last_request is not None and fixture.workers[0].last_request is None
            (known,) = fixture.gateway.member_list.members.values()
            assert known.worker.name == "other" and known.since > 0  # it starts cold
            site.write_text(site.read_text().replace("sha256:", "sha256:00", 1)[:-2])
            await fixture.gateway.reload()  # an invalid hash: the old keys stay in force
            assert (await send_request(fixture, "GET /read/1")).status == 200
            from ivymux.service.callers import hash_key

            new = text.replace('name = "w0"', 'name = "other"')
            new = new.replace(hash_key(b"iv_test-key"), hash_key(b"iv_second"))
            site.write_text(new)
            await fixture.gateway.reload()
            assert (await send_request(fixture, "GET /read/1")).status == 401
            assert (await send_request(fixture, "GET /read/1", b"", "iv_second")).status == 200
            other.stop()

    run(test())


@pytest.mark.parametrize("change", ["cut", "plan", "worker", "gone"])
def test_a_site_file_that_cannot_be_served_changes_nothing(tmp_path: Path, change: str) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, description="watch = 0") as fixture:
            site = fixture.folder / "site.toml"
            text = site.read_text()
            before = (fixture.gateway.site, fixture.gateway.frontend.callers, fixture.gateway.workers)
            match change:
                case "cut":
                    site.write_text(text[: len(text) // 2])
                case "plan":
                    site.write_text(
                        text.replace("[plans.p]", "[plans.q]").replace('plan = "p"', 'plan = "q"')
                    )
                case "worker":
                    site.write_text(text + text[text.index("[[workers]]") :])
                case "gone":
                    site.unlink()
            await fixture.gateway.reload()
            assert (fixture.gateway.site, fixture.gateway.frontend.callers, fixture.gateway.workers) == before
            assert (await send_request(fixture, "GET /read/1")).status == 200

    run(test())


def test_a_drain_answers_open_requests(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, [lambda request: Reply(delay=0.3)]) as fixture:
            async with Client(fixture.gateway) as client:
                client.writer.write(make_request("POST /write"))
                await until(lambda: fixture.record.received)
                draining = asyncio.ensure_future(fixture.gateway.drain())
                from .fixtures import read_answer

                assert (await read_answer(client.reader)).status == 200
                await draining
            assert not fixture.gateway.host.requests

    run(test())


def test_two_gateways_share_a_quota_through_one_counter(tmp_path: Path) -> None:
    async def test() -> None:
        plan = "rate = 1.0\nburst = 20"
        (tmp_path / "a").mkdir()
        (tmp_path / "b").mkdir()
        first = running_gateway(tmp_path / "a", plan=plan, tally='doors = 2\nlisten = "127.0.0.1:0"')
        async with first as one:
            assert one.gateway.tally is not None and one.gateway.tally.server is not None
            port = one.gateway.tally.server.sockets[0].getsockname()[1]
            tally = f'doors = 2\naddress = "127.0.0.1:{port}"'
            async with running_gateway(tmp_path / "b", plan=plan, tally=tally) as two:
                served = 0
                for number in range(60):
                    served += (await send_request((one, two)[number % 2], "GET /read/1")).status == 200
                assert 15 <= served <= 24  # 20 at once and one a second, over both

    run(test())
