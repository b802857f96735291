"""A front door of many tenants: nothing of one reaches another, and changes count whole."""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import time
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
from msgspec.structs import replace

from ivymux.desired.model import StoreBusy
from ivymux.inventory.model import Inventory, Worker
from ivymux.service.site import PlanPart
from ivymux.tenants.model import CustomerPart, InventoryRef, digest
from ivymux.tenants.shares import TenantLimits
from standins.worker import Reply
from tests.hosting.doors import Hosted, Place, connected, hosting
from tests.routes.describing import described, operation
from tests.service.doors import read_answer, request
from tests.sockets import run, until
from tests.tenants.making import OPTIONS, compiled_of, key


def test_each_tenant_has_its_own_workers_routes_and_keys(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as place:
            a, b = place.tenants["a"], place.tenants["b"]
            for hosted in (a, b):
                got = await place.ask(hosted)
                assert got.status == 200 and hosted.worker.fleet.seen.total() == 1
            for host in ("A.Example", "a.example.", "a.example:80", "a.example.:8080"):
                assert (await place.ask(a, Host=host)).status == 200
            before = b.worker.fleet.seen.total()
            # Another tenant's host name with a key of one's own, and the other way round.
            got = await place.ask(a, Host=b.host)
            assert got.status == 401 and b"a.example" not in got.body and b"uid" not in got.body
            assert (await place.ask(b, key=a.key)).status == 401
            assert (await place.ask(a, Host="c.example")).status == 421
            assert (await place.ask(a, Host="")).status in (400, 421)
            assert (await place.ask(a, "GET http://b.example/read/7")).status == 421
            assert (await place.ask(a, "GET http://a.example/read/7")).status == 200
            async with connected(place.door) as caller:  # one connection, two tenants
                assert (await caller.ask(a)).status == 200
                assert (await caller.ask(b)).status == 200
                residents = place.door.residents
                assert residents[a.uid].share.connections == 0
                assert residents[b.uid].share.connections == 1
            assert b.worker.fleet.seen.total() == before + 1
            await until(lambda: not residents[b.uid].share.connections)
            assert {r.share.open for r in residents.values()} == {0}

    run(test())


def test_a_change_counts_whole_and_a_new_plan_does_not_begin_the_quota_anew(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", rate=4.0) as place:
            a = place.tenants["a"]
            await asyncio.gather(*(place.ask(a) for _ in range(40)))
            used = a.worker.fleet.runs.total()
            assert used < 20
            resident = place.door.residents[a.uid]
            first = resident.part
            plan = PlanPart(rate=4.0, burst=4.0, price=2.0)
            number, shown, entry = key("d")
            customers = {name: CustomerPart(plan="p") for name in "cd"}
            place.change(a, plans={"p": plan}, customers=customers, keys=a.tenant.keys | {number: entry})
            await place.door.follow()
            assert resident.part is not first and resident.part is not None
            await asyncio.gather(*(place.ask(a) for _ in range(40)))
            assert a.worker.fleet.runs.total() < used + 12  # not a second burst on top of seconds gone by
            assert (await place.ask(a, key=shown)).status in (200, 429)
            resident.sweep()
            assert not resident.former and first is not None and first.host.upstream.is_closed
            # Routes alone leave the module as it is.
            part = resident.part
            routes = msgspec.json.encode(described({"/other": {"get": operation()}}))
            compiled = compiled_of(routes)
            place.put(a, replace(a.tenant, routes=replace(
                a.tenant.routes, files={"api.json": digest(routes)}, compiled=digest(compiled))),
                {digest(routes): routes, digest(compiled): compiled})  # fmt: skip
            await place.door.follow()
            assert resident.part is part and (await place.ask(a)).status == 404
            assert OPTIONS.deadline == 10.0

    run(test())


def test_a_state_that_cannot_be_served_leaves_what_was(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as place:
            a, b = place.tenants["a"], place.tenants["b"]
            broken = replace(a.tenant, routes=replace(a.tenant.routes, compiled=digest(b"nonsense")))
            place.put(a, broken, {digest(b"nonsense"): b"nonsense"})
            await place.door.follow()
            assert "another version" in place.door.problems[a.uid]
            for hosted in (a, b):
                assert (await place.ask(hosted)).status == 200
            (report,) = place.store.reports()
            assert a.uid in report.problems and report.revision == a.revision
            place.change(a, suspended=True, routes=b.tenant.routes)
            await place.door.follow()
            got = await place.ask(a)
            assert got.status == 503 and got.header("retry-after")
            assert a.uid not in place.door.problems and (await place.ask(b)).status == 200

    run(test())


def test_a_host_name_goes_over_though_who_gave_it_up_can_not_be_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as place:
            a, b = place.tenants["a"], place.tenants["b"]
            broken = replace(a.tenant.routes, compiled=digest(b"nonsense"))
            given_up = replace(a.tenant, hosts=["other.example"], routes=broken)
            place.put(a, given_up, {digest(b"nonsense"): b"nonsense"})
            place.change(b, hosts=["b.example", "a.example", "dotted.example."])
            place.put(a, replace(given_up, suspended=True))
            await place.door.follow()
            assert a.uid in place.door.problems
            for host in ("a.example", "dotted.example", "dotted.example."):
                assert (await place.ask(b, Host=host)).status == 200
            await place.door.follow()
            place.change(b, header="X-Other")  # another change finds its names again
            await place.door.follow()
            assert set(place.door.hosts) >= {"a.example", "dotted.example"}

    run(test())


def test_a_deleted_tenants_requests_are_answered_and_all_of_it_goes(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as place:
            a = place.tenants["a"]
            a.worker.plan = lambda seen: Reply(delay=0.5)
            resident = place.door.residents[a.uid]
            slow = [asyncio.ensure_future(place.ask(a)) for _ in range(4)]
            await until(lambda: sum(a.worker.fleet.out.values()) == 4)
            async with connected(place.door) as caller:
                place.put(a, None)
                await place.door.follow()
                # From here on nothing new, also on a connection that was there before.
                assert (await caller.ask(a)).status == 421
            assert place.door.leaving == [resident] and resident.tally.totals
            # One of the same name, made meanwhile, is another one.
            again = await place.add("a", uid="uid-second")
            await place.door.follow()
            fresh = place.door.residents["uid-second"]
            assert not fresh.tally.totals and fresh.part is not resident.part
            assert (await place.ask(again, key=a.key)).status == 401
            assert (await place.ask(again)).status == 200
            assert [got.status for got in await asyncio.gather(*slow)] == [200] * 4
            await until(lambda: not place.door.leaving)
            assert not resident.tally.totals and not resident.former and resident.served_by is None
            await until(lambda: not a.worker.connections)
            assert a.worker.fleet.seen.total() == 4
            assert set(place.door.residents) == {"uid-b", "uid-second"}

    run(test())


def test_a_store_that_is_locked_away_or_another_one_leaves_the_tenants(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a") as place:
            a, door = place.tenants["a"], place.door
            other = sqlite3.connect(tmp_path / "desired.db", isolation_level=None)
            other.execute("BEGIN EXCLUSIVE")
            await door.follow()
            assert (await place.ask(a)).status == 200
            other.execute("ROLLBACK")
            other.close()

            def away() -> int:
                raise StoreBusy("away")

            monkeypatch.setattr(place.store, "revision", away)
            for _ in range(3):
                await door.follow()
            assert (await place.ask(a)).status == 200
            monkeypatch.undo()
            place.store.db.execute("UPDATE state SET lineage = 'x', revision = revision + 1")
            await door.follow()
            assert (await place.ask(a)).status == 200
            assert sum("away" in r.getMessage() for r in caplog.records) == 1
            assert sum("replaced by another" in r.getMessage() for r in caplog.records) == 1

    run(test())


def test_a_restored_store_is_followed_and_what_is_not_in_it_goes(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as place:
            place.store.db.execute("DELETE FROM tenants WHERE uid = 'uid-b'")
            place.store.db.execute("UPDATE state SET revision = revision + 10, forgot = revision + 10")
            await place.door.follow()
            assert set(place.door.residents) == {"uid-a"}
            assert (await place.ask(place.tenants["a"])).status == 200

    run(test())


def test_a_tenants_limits_hold_for_it_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "b") as place:
            limits = TenantLimits(requests=1.0, burst=5.0, open=3, connections=4, held_mb=0.05)
            a, b = await place.add("a", limits=limits), place.tenants["b"]
            await place.door.follow()
            a.worker.plan = lambda seen: Reply(delay=0.3)
            got = await asyncio.gather(*(place.ask(a) for _ in range(4)))
            assert sorted(g.status for g in got) == [200, 200, 200, 429]  # open
            assert all(g.header("retry-after") for g in got if g.status == 429)
            a.worker.plan = lambda seen: Reply()
            got = [await place.ask(a) for _ in range(5)]
            assert [g.status for g in got][-1] == 429  # requests a second
            assert (await place.ask(b)).status == 200

            async def held(hosted: Hosted) -> int:
                async with connected(place.door) as caller:
                    data = request("POST /write", b"x" * 60_000, hosted.key, Host=hosted.host)
                    return (await caller.raw(data)).status

            assert await held(a) == 429 and await held(b) == 200
            async with begun(place, a, 4):
                async with connected(place.door) as fifth:
                    assert (await fifth.ask(a)).status == 429
                assert (await place.ask(b)).status == 200
            share = place.door.residents[a.uid].share
            await until(lambda: share.connections == 0)
            assert (share.open, share.held) == (0, 0)

    run(test())


@contextlib.asynccontextmanager
async def begun(place: Place, hosted: Hosted, count: int) -> AsyncIterator[None]:
    """So many connections of one tenant, each with a request that has just begun."""
    door = place.door
    share = door.residents[hosted.uid].share
    writers = [(await asyncio.open_connection("127.0.0.1", door.port))[1] for _ in range(count)]
    for writer in writers:
        key = f"X-API-Key: {hosted.key}\r\n"
        head = f"POST /write HTTP/1.1\r\nHost: {hosted.host}\r\n{key}Content-Length: 5\r\n\r\n"
        writer.write(head.encode())
    await until(lambda: share.connections >= count)
    try:
        yield
    finally:
        for writer in writers:
            writer.close()


def test_a_key_that_ended_no_longer_counts(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a") as place:
            a = place.tenants["a"]
            number = next(iter(a.tenant.keys))
            later = replace(a.tenant.keys[number], ends=time.time() + 0.2)
            place.change(a, keys={number: later})
            await place.door.follow()
            assert (await place.ask(a)).status == 200
            await until(lambda: time.time() > later.ends)
            assert (await place.ask(a)).status == 401

    run(test())


def test_a_request_whose_only_worker_is_dead_is_answered_at_once(tmp_path: Path) -> None:
    """It was held for 9.9 s of its deadline of 10 s."""

    async def test() -> None:
        async with hosting(tmp_path, "a") as place:
            a = place.tenants["a"]
            assert (await place.ask(a)).status == 200
            a.worker.stop()
            for line in ("GET /read/7", "POST /write"):
                began = time.monotonic()
                got = await place.ask(a, line, b"x" if "POST" in line else b"")
                assert got.status == 503 and got.header("retry-after") and time.monotonic() - began < 5

    run(test())


def test_who_drips_headers_takes_nobody_elses_place(tmp_path: Path) -> None:
    """Far more connections than there is room for, a byte at a time, each naming tenant a."""

    async def test() -> None:
        async with hosting(tmp_path, "a", "b", extra="limits = { sockets = 64 }\n") as place:
            a, b = place.tenants["a"], place.tenants["b"]
            room = place.door.server.max_clients
            assert room < 20
            text = request("GET /read/7", b"", a.key, Host=a.host)
            dripped = 0

            async def drip() -> None:
                nonlocal dripped
                while not answered:
                    with contextlib.suppress(OSError, RuntimeError):
                        reader, writer = await asyncio.open_connection("127.0.0.1", place.door.port)
                        for at in range(len(text) - 10):
                            writer.write(text[at : at + 1])
                            await writer.drain()
                            dripped += 1
                            await asyncio.sleep(0.002)
                            if reader.at_eof():
                                break
                        writer.close()

            answered = False
            got: list[int] = []
            dripping = [asyncio.ensure_future(drip()) for _ in range(3 * room)]
            await until(lambda: len(place.door.server.clients) >= room)
            while dripped < 1000 or len(got) < 10:  # as many of both, however slow the machine is
                got.append((await place.ask(b)).status)
            answered = True
            assert set(got) == {200}
            await asyncio.gather(*dripping)
            assert a.worker.fleet.seen.total() == 0
            shares = [r.share for r in place.door.residents.values()]
            await until(lambda: not any(s.connections for s in shares))
            assert all((s.open, s.held) == (0, 0) for s in shares) and place.door.server.held_bytes == 0

    run(test())


@pytest.mark.parametrize("before_host", [True, False])
def test_headers_of_64_kib_are_refused_and_reach_nobody(tmp_path: Path, before_host: bool) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as place:
            a, b = place.tenants["a"], place.tenants["b"]
            host, pad = b"Host: a.example\r\n", b"X-Pad: " + b"x" * 64 * 1024 + b"\r\n"
            key = b"X-API-Key: " + a.key.encode() + b"\r\n"
            lines = pad + host if before_host else host + pad
            many = b"".join(b"X-%d: y\r\n" % n for n in range(9000))
            for headers in (lines, many + host, host + many, b"Host: " + b"a" * 65_536 + b"\r\n"):
                async with connected(place.door) as caller:
                    got = await caller.raw(b"GET /read/7 HTTP/1.1\r\n" + key + headers + b"\r\n")
                    assert got.status in (400, 431), got.status
                assert (await place.ask(b)).status == 200
            async with connected(place.door) as caller:
                got = await caller.raw(b"GET /" + b"x" * 65_536 + b" HTTP/1.1\r\n" + host + b"\r\n")
                assert got.status in (400, 414)
            assert a.worker.fleet.seen.total() == 0
            share = place.door.residents[a.uid].share
            await until(lambda: not share.connections)
            assert (share.open, share.held, share.served) == (0, 0, 0)

    run(test())


def test_a_list_of_ten_thousand_workers_does_not_hold_up_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as place:
            a, b = place.tenants["a"], place.tenants["b"]
            listed = Inventory(tuple(
                Worker(f"w{n:05}", f"127.1.{n // 250}.{n % 250 + 1}", 9, bay=n % 7) for n in range(10_000)
            ))  # fmt: skip
            parsed = msgspec.msgpack.encode(listed)
            name = digest(parsed)
            ref = InventoryRef(digest=name, parsed=name)
            place.put(a, replace(a.tenant, inventory=ref), {name: parsed})
            following = asyncio.ensure_future(place.door.follow())
            between = 0
            while not following.done():
                assert (await place.ask(b)).status == 200
                pools = place.door.residents[a.uid].part.host.upstream.pools  # type: ignore[union-attr]
                between += 1 < len(pools) < 10_000
            await following
            assert len(pools) == 10_000 and between >= 3  # others were served while it went over

    run(test())


def test_strangers_use_up_nothing_of_the_tenant_whose_host_name_they_know(tmp_path: Path) -> None:
    """Guesses at keys, requests without one and connections that hold on, all naming tenant a."""

    async def test() -> None:
        async with hosting(tmp_path, "b") as place:
            limits = TenantLimits(requests=1.0, burst=6.0, open=3, connections=3, held_mb=0.05)
            a, b = await place.add("a", limits=limits), place.tenants["b"]
            await place.door.follow()
            share = place.door.residents[a.uid].share
            guesses = [key("c")[1], b.key, "nonsense", a.key[:-1] + ("x" if a.key[-1] != "x" else "y")]
            async with connected(place.door) as stranger:
                for turn in range(60):
                    got = await stranger.ask(a, key=guesses[turn % 4])
                    assert got.status == 401 and got.header("www-authenticate")
            assert (share.level, share.refused, share.connections) == (6.0, 0, 0)
            holding = [await asyncio.open_connection("127.0.0.1", place.door.port) for _ in range(8)]
            for turn, (_, writer) in enumerate(holding):  # a body that never ends, with a wrong key
                line = b"GET /read/7 HTTP/1.1\r\n" if turn % 2 else b"POST /write HTTP/1.1\r\n"
                writer.write(
                    line
                    + b"Host: a.example\r\n"
                    + (b"X" if turn % 2 else b"Content-Length: 60000\r\n\r\n" + b"x" * 50_000)
                )
            refused = [await read_answer(reader) for reader, _ in holding[::2]]
            assert {got.status for got in refused} == {401}  # at once, and not when the body has come
            assert (share.held, share.connections, share.open) == (0, 0, 0)
            for _ in range(5):
                assert (await place.ask(a)).status == 200
            for _, writer in holding:
                writer.close()
            assert a.worker.fleet.seen.total() == 5

    run(test())


def test_a_key_is_looked_at_again_where_the_state_changes_under_a_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a") as place:
            a = place.tenants["a"]
            data = request("POST /write", b"body", a.key, Host=a.host)
            for keys, status in ((a.tenant.keys, 200), ({}, 401)):
                async with connected(place.door) as caller:
                    caller.writer.write(data[:-2])
                    share = place.door.residents[a.uid].share
                    await until(lambda share=share: share.held)  # type: ignore[misc]
                    plan = PlanPart(rate=50.0, burst=50.0 + len(keys))
                    place.change(a, plans={"q": plan, "p": plan}, keys=keys)
                    await place.door.follow()
                    assert (await caller.raw(data[-2:])).status == status
                await until(lambda share=share: not share.connections)  # type: ignore[misc]
                assert (share.open, share.held) == (0, 0)

    run(test())
