"""A front door in service: descriptions and sites that change, damaged ones that must change nothing."""

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
    compile_beside,
    keep,
    load_cached,
    obtain,
    reader,
)  # fmt: skip
from ivymux.service.standalone import open_standalone
from standins.worker import Reply, Seen, Worker
from tests.routes.describing import described, operation
from tests.sockets import run, until
from tests.test_text import alias_bomb

from .doors import PATHS, Caller, Place, ask, request, site_text, standing

UNSAFE = operation(x={"effect": "unsafe"})


# --- descriptions that change ------------------------------------------------------------------------


def test_a_changed_description_is_noticed_and_taken(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, description="watch = 0.02") as place:
            assert (await ask(place, "GET /new")).status == 404
            place.describe(described({"/new": {"get": operation()}}))
            while (await ask(place, "GET /new")).status != 200:
                await asyncio.sleep(0.02)
            assert (await ask(place, "GET /read/7")).status == 404

    run(test())


@pytest.mark.parametrize(("before", "after"), [("unsafe", "safe"), ("safe", "unsafe")])
def test_a_request_stays_under_the_description_it_came_with_between_two_attempts(
    tmp_path: Path, before: str, after: str
) -> None:
    """It changes while the first attempt is out: what follows that attempt is as the request came in."""

    def document(effect: str) -> Any:
        return described({"/a": {"get": operation(x={"effect": effect})}})

    async def test() -> None:
        tasks: list[asyncio.Task[bool]] = []
        gate = asyncio.Event()

        async def change(place: Place) -> bool:
            place.describe(document(after))
            taken = await place.door.reload_description()
            gate.set()
            return taken

        def plan(seen: Seen) -> Reply:
            if len(held) == 0:
                held.append(seen)
                tasks.append(asyncio.ensure_future(change(box[0])))
                return Reply(delay=60.0)  # silent; the test ends its connection
            return Reply()

        held: list[Seen] = []
        box: list[Place] = []
        async with standing(tmp_path, [plan] * 3, document(before), description="watch = 0") as place:
            box.append(place)
            async with Caller(place.door) as caller:
                caller.writer.write(request("GET /a", Request_Id="r"))
                await gate.wait()
                assert await tasks[0]
                for worker in place.workers:  # the first attempt may have run
                    for connection in list(worker.connections):
                        if connection.out == "r" and connection.transport is not None:
                            connection.transport.abort()
                from .doors import read_answer

                got = await read_answer(caller.reader)
            if before == "unsafe":
                assert got.status == 502 and place.fleet.seen["r"] == 1
            else:
                assert got.status == 200 and place.fleet.seen["r"] == 2
            assert not any(place.door.classes.open_requests)

    run(test())


BROKEN = [
    b"", b"{", b"not: [closed", json.dumps(described(PATHS)).encode()[:-40], b"\xff\xfe\x00", b"[]", b"null",
    b"openapi: 3.0.0\n" + alias_bomb(30), json.dumps({"openapi": "2.0"}).encode(),
    json.dumps(described({"/a": {"get": operation(x={"effect": "sometimes"})}})).encode(),
    json.dumps(described({"/a": {"get": {"$ref": "https://x.example/y"}}})).encode(),
    json.dumps(described({"/a": {"$ref": "../outside.json"}})).encode(),
    json.dumps(described({"/{x}": {"get": operation()}, "/{y}": {"get": operation()}})).encode(),
]  # fmt: skip


@pytest.mark.parametrize("data", BROKEN, ids=range(len(BROKEN)))
def test_a_damaged_description_changes_nothing(
    tmp_path: Path, data: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with standing(tmp_path, description="watch = 0") as place:
            table = place.door.table
            place.describe(data)
            assert not await place.door.reload_description()
            assert place.door.table is table is place.door.frontend.table
            assert (await ask(place, "GET /read/7")).status == 200
            place.describe(described({"/new": {"get": operation()}}))
            assert await place.door.reload_description()
            assert (await ask(place, "GET /new")).status == 200

    run(test())
    (line,) = [r.getMessage() for r in caplog.records if "stays as it was" in r.getMessage()]
    assert "\n" not in line and "api.json" in line


def test_a_file_that_goes_and_comes_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, description="watch = 0") as place:
            (place.folder / "api.json").unlink()
            await place.door.look()
            await place.door.look()
            assert (await ask(place, "GET /read/7")).status == 200
            place.describe(described({"/new": {"get": operation()}}))
            await place.door.look()
            assert (await ask(place, "GET /new")).status == 200

    run(test())


def test_serving_goes_on_while_a_description_is_compiled(tmp_path: Path) -> None:
    from bench.descriptions import text

    async def test() -> None:
        async with standing(tmp_path, description="watch = 0") as place:
            place.describe(text(1200, 2000))
            work = asyncio.ensure_future(place.door.reload_description())
            served = 0
            async with Caller(place.door) as caller:
                while not work.done():
                    assert (await caller.ask("GET /read/7")).status in (200, 404)
                    served += 1
            assert await work and served > 20  # how fast: the benchmark has the figure

    run(test())


# --- the compiler ------------------------------------------------------------------------------------


def test_a_compiler_that_ends_without_a_result_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "api.json").write_text(json.dumps(described(PATHS)))
    site = tmp_path / "site.toml"
    site.write_text(site_text([Worker()]).replace("127.0.0.1:0", "127.0.0.1:1"))

    async def test() -> None:
        monkeypatch.setattr(compiler, "TIMEOUT", 0.01)
        with pytest.raises(compiler.CompilerError, match="not compiled within"):
            await compile_beside(tmp_path / "api.json", Options())
        monkeypatch.setattr(sys, "executable", "/bin/false")
        monkeypatch.setattr(compiler, "TIMEOUT", 10.0)
        with pytest.raises(compiler.CompilerError):
            await open_standalone(site)

    run(test())


def test_links_out_of_the_folder_are_not_followed(tmp_path: Path) -> None:
    (tmp_path / "secret.json").write_text("{}")
    folder = tmp_path / "in"
    folder.mkdir()
    (folder / "link.json").symlink_to(tmp_path / "secret.json")
    (folder / "near.json").write_text("{}")
    read = reader(folder / "api.json")
    assert read("near.json") == b"{}"
    with pytest.raises(OSError, match="leads out"):
        read("link.json")
    # The description itself may be a link: so configuration tools swap it.
    (folder / "api.json").symlink_to(tmp_path / "secret.json")
    assert read("api.json") == b"{}"
    os.mkfifo(folder / "pipe.json")


def test_the_cache_is_used_only_where_every_file_is_the_same(tmp_path: Path) -> None:
    path, cache, options = tmp_path / "api.json", tmp_path / "cache", Options()
    more = {"limit": {"name": "limit", "in": "query", "schema": {"type": "integer"}}}

    def write(extra: Any) -> None:
        parameters = [{"$ref": "more.json#/limit"}]
        path.write_text(json.dumps(described({"/a": {"get": operation(parameters=parameters)}})))
        (tmp_path / "more.json").write_text(json.dumps(more | {"extra": extra}))

    async def test() -> None:
        write(1)
        first, kept = await obtain(path, options, cache)
        assert not kept
        again, kept = await obtain(path, options, cache)
        assert kept and again == first
        write(2)  # only the file beside it
        assert load_cached(cache, path, options) is None
        second, kept = await obtain(path, options, cache)
        assert not kept and second.files != first.files
        assert load_cached(cache, path, Options(base="/x")) is None
        whole = cache_file(cache, path).read_bytes()
        for cut in (0, 5, 60, len(whole) // 2, len(whole) - 1):
            cache_file(cache, path).write_bytes(whole[:cut])
            assert load_cached(cache, path, options) is None
        for at in (20, 90, len(whole) // 2):
            cache_file(cache, path).write_bytes(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])
            assert load_cached(cache, path, options) is None
        cache_file(cache, path).write_bytes(whole)
        assert load_cached(cache, path, options) == second

    run(test())


def test_a_cache_that_cannot_be_written_costs_only_time(tmp_path: Path) -> None:
    path = tmp_path / "api.json"
    path.write_text(json.dumps(described(PATHS)))
    blocked = tmp_path / "blocked"
    blocked.write_text("a file where the folder should be")

    async def test() -> None:
        made, kept = await obtain(path, Options(), blocked / "cache")
        assert not kept and made.operations

    run(test())
    with pytest.raises(OSError):
        keep(blocked / "cache", path, Options(), CompiledDescription("", "", [], [], 0, {}))
    assert set(tmp_path.iterdir()) == {path, blocked}


# --- sites that change -------------------------------------------------------------------------------


def test_keys_and_workers_change_with_the_site_file(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, description="watch = 0") as place:
            other = await Worker(place.fleet).start()
            text = site_text([other], keyed="memory = 30.0", description="watch = 0")
            site = place.folder / "site.toml"
            site.write_text(text.replace('name = "w0"', 'name = "other"'))
            await place.door.reload()
            assert (await ask(place, "GET /read/1")).status == 200
            assert other.last is not None and place.workers[0].last is None
            (known,) = place.door.member_list.members.values()
            assert known.worker.name == "other" and known.since > 0  # it begins cold
            site.write_text(site.read_text().replace("sha256:", "sha256:00", 1)[:-2])
            await place.door.reload()  # a broken hash: the old keys stay
            assert (await ask(place, "GET /read/1")).status == 200
            from ivymux.service.callers import hash_key

            new = text.replace('name = "w0"', 'name = "other"')
            new = new.replace(hash_key(b"iv_test-key"), hash_key(b"iv_second"))
            site.write_text(new)
            await place.door.reload()
            assert (await ask(place, "GET /read/1")).status == 401
            assert (await ask(place, "GET /read/1", b"", "iv_second")).status == 200
            other.stop()

    run(test())


@pytest.mark.parametrize("change", ["cut", "plan", "worker", "gone"])
def test_a_site_file_that_cannot_be_served_changes_nothing(tmp_path: Path, change: str) -> None:
    async def test() -> None:
        async with standing(tmp_path, description="watch = 0") as place:
            site = place.folder / "site.toml"
            text = site.read_text()
            before = (place.door.site, place.door.frontend.callers, place.door.workers)
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
            await place.door.reload()
            assert (place.door.site, place.door.frontend.callers, place.door.workers) == before
            assert (await ask(place, "GET /read/1")).status == 200

    run(test())


def test_a_drain_answers_what_is_open(tmp_path: Path) -> None:
    async def test() -> None:
        async with standing(tmp_path, [lambda seen: Reply(delay=0.3)]) as place:
            async with Caller(place.door) as caller:
                caller.writer.write(request("POST /write"))
                await until(lambda: place.fleet.seen)
                draining = asyncio.ensure_future(place.door.drain())
                from .doors import read_answer

                assert (await read_answer(caller.reader)).status == 200
                await draining
            assert not place.door.host.requests

    run(test())


def test_two_doors_share_a_quota_by_one_tally(tmp_path: Path) -> None:
    async def test() -> None:
        plan = "rate = 1.0\nburst = 20"
        (tmp_path / "a").mkdir()
        (tmp_path / "b").mkdir()
        first = standing(tmp_path / "a", plan=plan, tally='doors = 2\nlisten = "127.0.0.1:0"')
        async with first as one:
            assert one.door.tally is not None and one.door.tally.server is not None
            port = one.door.tally.server.sockets[0].getsockname()[1]
            tally = f'doors = 2\naddress = "127.0.0.1:{port}"'
            async with standing(tmp_path / "b", plan=plan, tally=tally) as two:
                served = 0
                for number in range(60):
                    served += (await ask((one, two)[number % 2], "GET /read/1")).status == 200
                assert 15 <= served <= 24  # 20 at once and one a second, over both

    run(test())
