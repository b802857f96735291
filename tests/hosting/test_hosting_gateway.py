"""The hosting gateway: tenants are isolated from each other, and a change is applied as a whole."""

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
from tests.hosting.fixtures import HostingFixture, TenantFixture, connect, hosting
from tests.routes.describing import described, operation
from tests.service.fixtures import make_request, read_answer
from tests.sockets import run, until
from tests.tenants.fixtures import OPTIONS, compile_routes, key


def test_each_tenant_has_its_own_workers_routes_and_keys(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            for hosted in (a, b):
                got = await fixture.ask(hosted)
                assert got.status == 200 and hosted.worker.record.received.total() == 1
            for host in ("A.Example", "a.example.", "a.example:80", "a.example.:8080"):
                assert (await fixture.ask(a, Host=host)).status == 200
            before = b.worker.record.received.total()
            # The host name of another tenant with the own key, and the reverse.
            got = await fixture.ask(a, Host=b.host)
            assert got.status == 401 and b"a.example" not in got.body and b"uid" not in got.body
            assert (await fixture.ask(b, key=a.key)).status == 401
            assert (await fixture.ask(a, Host="c.example")).status == 421
            assert (await fixture.ask(a, Host="")).status in (400, 421)
            assert (await fixture.ask(a, "GET http://b.example/read/7")).status == 421
            assert (await fixture.ask(a, "GET http://a.example/read/7")).status == 200
            async with connect(fixture.gateway) as client:  # one connection, two tenants
                assert (await client.ask(a)).status == 200
                assert (await client.ask(b)).status == 200
                tenants = fixture.gateway.tenants
                assert tenants[a.uid].share.connections == 0
                assert tenants[b.uid].share.connections == 1
            assert b.worker.record.received.total() == before + 1
            await until(lambda: not tenants[b.uid].share.connections)
            assert {r.share.open for r in tenants.values()} == {0}

    run(test())


def test_a_change_is_applied_as_a_whole_and_a_new_plan_keeps_the_quota_count(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", rate=4.0) as fixture:
            a = fixture.tenants["a"]
            await asyncio.gather(*(fixture.ask(a) for _ in range(40)))
            used = a.worker.record.executions.total()
            assert used < 20
            hosted_tenant = fixture.gateway.tenants[a.uid]
            first = hosted_tenant.generation
            plan = PlanPart(rate=4.0, burst=4.0, price=2.0)
            key_id, shown, entry = key("d")
            customers = {name: CustomerPart(plan="p") for name in "cd"}
            fixture.change(a, plans={"p": plan}, customers=customers, keys=a.tenant.keys | {key_id: entry})
            await fixture.gateway.follow()
            assert hosted_tenant.generation is not first and hosted_tenant.generation is not None
            await asyncio.gather(*(fixture.ask(a) for _ in range(40)))
            assert (
                a.worker.record.executions.total() < used + 12
            )  # no second burst, only the rate of the elapsed seconds
            assert (await fixture.ask(a, key=shown)).status in (200, 429)
            hosted_tenant.close_idle_generations()
            assert (
                not hosted_tenant.former_generations and first is not None and first.host.upstream.is_closed
            )
            # A change of the routes alone keeps the decision module.
            generation = hosted_tenant.generation
            routes = msgspec.json.encode(described({"/other": {"get": operation()}}))
            compiled = compile_routes(routes)
            fixture.put(a, replace(a.tenant, routes=replace(
                a.tenant.routes, files={"api.json": digest(routes)}, compiled=digest(compiled))),
                {digest(routes): routes, digest(compiled): compiled})  # fmt: skip
            await fixture.gateway.follow()
            assert hosted_tenant.generation is generation and (await fixture.ask(a)).status == 404
            assert OPTIONS.deadline == 10.0

    run(test())


def test_a_state_that_cannot_be_served_leaves_the_previous_one_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            broken = replace(a.tenant, routes=replace(a.tenant.routes, compiled=digest(b"nonsense")))
            fixture.put(a, broken, {digest(b"nonsense"): b"nonsense"})
            await fixture.gateway.follow()
            assert "another version" in fixture.gateway.problems[a.uid]
            for hosted in (a, b):
                assert (await fixture.ask(hosted)).status == 200
            (report,) = fixture.store.reports()
            assert a.uid in report.problems and report.revision == a.revision
            fixture.change(a, suspended=True, routes=b.tenant.routes)
            await fixture.gateway.follow()
            got = await fixture.ask(a)
            assert got.status == 503 and got.header("retry-after")
            assert a.uid not in fixture.gateway.problems and (await fixture.ask(b)).status == 200

    run(test())


def test_a_host_name_changes_its_owner_even_if_the_former_owner_cannot_be_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            broken = replace(a.tenant.routes, compiled=digest(b"nonsense"))
            without_name = replace(a.tenant, hosts=["other.example"], routes=broken)
            fixture.put(a, without_name, {digest(b"nonsense"): b"nonsense"})
            fixture.change(b, hosts=["b.example", "a.example", "dotted.example."])
            fixture.put(a, replace(without_name, suspended=True))
            await fixture.gateway.follow()
            assert a.uid in fixture.gateway.problems
            for host in ("a.example", "dotted.example", "dotted.example."):
                assert (await fixture.ask(b, Host=host)).status == 200
            await fixture.gateway.follow()
            fixture.change(b, header="X-Other")  # a further change assigns the same names again
            await fixture.gateway.follow()
            assert set(fixture.gateway.tenants_by_host) >= {"a.example", "dotted.example"}

    run(test())


def test_a_deleted_tenants_open_requests_are_answered_before_it_is_removed(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as fixture:
            a = fixture.tenants["a"]
            a.worker.respond = lambda request: Reply(delay=0.5)
            hosted_tenant = fixture.gateway.tenants[a.uid]
            slow = [asyncio.ensure_future(fixture.ask(a)) for _ in range(4)]
            await until(lambda: sum(a.worker.record.outstanding.values()) == 4)
            async with connect(fixture.gateway) as client:
                fixture.put(a, None)
                await fixture.gateway.follow()
                # No new requests are accepted, not even on a connection that was open before.
                assert (await client.ask(a)).status == 421
            assert fixture.gateway.leaving_tenants == [hosted_tenant] and hosted_tenant.local_counts.totals
            # A tenant of the same name that is created meanwhile is a different one.
            again = await fixture.add("a", uid="uid-second")
            await fixture.gateway.follow()
            fresh = fixture.gateway.tenants["uid-second"]
            assert not fresh.local_counts.totals and fresh.generation is not hosted_tenant.generation
            assert (await fixture.ask(again, key=a.key)).status == 401
            assert (await fixture.ask(again)).status == 200
            assert [got.status for got in await asyncio.gather(*slow)] == [200] * 4
            await until(lambda: not fixture.gateway.leaving_tenants)
            assert (
                not hosted_tenant.local_counts.totals
                and not hosted_tenant.former_generations
                and hosted_tenant.frontend is None
            )
            await until(lambda: not a.worker.connections)
            assert a.worker.record.received.total() == 4
            assert set(fixture.gateway.tenants) == {"uid-b", "uid-second"}

    run(test())


def test_a_store_that_is_locked_unavailable_or_replaced_leaves_the_tenants_in_service(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a") as fixture:
            a, gateway = fixture.tenants["a"], fixture.gateway
            other = sqlite3.connect(tmp_path / "desired.db", isolation_level=None)
            other.execute("BEGIN EXCLUSIVE")
            await gateway.follow()
            assert (await fixture.ask(a)).status == 200
            other.execute("ROLLBACK")
            other.close()

            def raise_store_busy() -> int:
                raise StoreBusy("away")

            monkeypatch.setattr(fixture.store, "revision", raise_store_busy)
            for _ in range(3):
                await gateway.follow()
            assert (await fixture.ask(a)).status == 200
            monkeypatch.undo()
            fixture.store.db.execute("UPDATE state SET lineage = 'x', revision = revision + 1")
            await gateway.follow()
            assert (await fixture.ask(a)).status == 200
            assert sum("away" in r.getMessage() for r in caplog.records) == 1
            assert sum("replaced by another" in r.getMessage() for r in caplog.records) == 1

    run(test())


def test_a_restored_store_is_followed_and_tenants_missing_in_it_are_removed(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as fixture:
            fixture.store.db.execute("DELETE FROM tenants WHERE uid = 'uid-b'")
            fixture.store.db.execute("UPDATE state SET revision = revision + 10, forgot = revision + 10")
            await fixture.gateway.follow()
            assert set(fixture.gateway.tenants) == {"uid-a"}
            assert (await fixture.ask(fixture.tenants["a"])).status == 200

    run(test())


def test_a_tenants_limits_apply_to_it_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "b") as fixture:
            limits = TenantLimits(requests=1.0, burst=5.0, open=3, connections=4, held_mb=0.05)
            a, b = await fixture.add("a", limits=limits), fixture.tenants["b"]
            await fixture.gateway.follow()
            a.worker.respond = lambda request: Reply(delay=0.3)
            got = await asyncio.gather(*(fixture.ask(a) for _ in range(4)))
            assert sorted(g.status for g in got) == [200, 200, 200, 429]  # limit of open requests
            assert all(g.header("retry-after") for g in got if g.status == 429)
            a.worker.respond = lambda request: Reply()
            got = [await fixture.ask(a) for _ in range(5)]
            assert [g.status for g in got][-1] == 429  # limit of requests per second
            assert (await fixture.ask(b)).status == 200

            async def held(hosted: TenantFixture) -> int:
                async with connect(fixture.gateway) as client:
                    data = make_request("POST /write", b"x" * 60_000, hosted.key, Host=hosted.host)
                    return (await client.raw(data)).status

            assert await held(a) == 429 and await held(b) == 200
            async with hold_open_requests(fixture, a, 4):
                async with connect(fixture.gateway) as fifth:
                    assert (await fifth.ask(a)).status == 429
                assert (await fixture.ask(b)).status == 200
            share = fixture.gateway.tenants[a.uid].share
            await until(lambda: share.connections == 0)
            assert (share.open, share.held_bytes) == (0, 0)

    run(test())


@contextlib.asynccontextmanager
async def hold_open_requests(
    fixture: HostingFixture, hosted: TenantFixture, count: int
) -> AsyncIterator[None]:
    """Open `count` connections of one tenant, each with a request whose body is incomplete."""
    gateway = fixture.gateway
    share = gateway.tenants[hosted.uid].share
    writers = [(await asyncio.open_connection("127.0.0.1", gateway.port))[1] for _ in range(count)]
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


def test_an_expired_key_is_refused(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a") as fixture:
            a = fixture.tenants["a"]
            key_id = next(iter(a.tenant.keys))
            later = replace(a.tenant.keys[key_id], ends=time.time() + 0.2)
            fixture.change(a, keys={key_id: later})
            await fixture.gateway.follow()
            assert (await fixture.ask(a)).status == 200
            await until(lambda: time.time() > later.ends)
            assert (await fixture.ask(a)).status == 401

    run(test())


def test_a_request_whose_only_worker_is_dead_is_answered_at_once(tmp_path: Path) -> None:
    """Guards against a request that is held until just before its deadline of 10 s."""

    async def test() -> None:
        async with hosting(tmp_path, "a") as fixture:
            a = fixture.tenants["a"]
            assert (await fixture.ask(a)).status == 200
            a.worker.stop()
            for line in ("GET /read/7", "POST /write"):
                began = time.monotonic()
                got = await fixture.ask(a, line, b"x" if "POST" in line else b"")
                assert got.status == 503 and got.header("retry-after") and time.monotonic() - began < 5

    run(test())


def test_slow_headers_of_many_clients_do_not_block_other_tenants(tmp_path: Path) -> None:
    """Three times as many connections as the limit send the headers of tenant a byte by byte."""

    async def test() -> None:
        async with hosting(tmp_path, "a", "b", extra="limits = { sockets = 64 }\n") as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            capacity = fixture.gateway.server.max_clients
            assert capacity < 20
            text = make_request("GET /read/7", b"", a.key, Host=a.host)
            sent_bytes = 0

            async def send_slowly() -> None:
                nonlocal sent_bytes
                while not is_done:
                    with contextlib.suppress(OSError, RuntimeError):
                        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.gateway.port)
                        for at in range(len(text) - 10):
                            writer.write(text[at : at + 1])
                            await writer.drain()
                            sent_bytes += 1
                            await asyncio.sleep(0.002)
                            if reader.at_eof():
                                break
                        writer.close()

            is_done = False
            got: list[int] = []
            slow_clients = [asyncio.ensure_future(send_slowly()) for _ in range(3 * capacity)]
            await until(lambda: len(fixture.gateway.server.clients) >= capacity)
            while sent_bytes < 1000 or len(got) < 10:  # enough of both on a slow machine too
                got.append((await fixture.ask(b)).status)
            is_done = True
            assert set(got) == {200}
            await asyncio.gather(*slow_clients)
            assert a.worker.record.received.total() == 0
            shares = [r.share for r in fixture.gateway.tenants.values()]
            await until(lambda: not any(s.connections for s in shares))
            assert (
                all((s.open, s.held_bytes) == (0, 0) for s in shares)
                and fixture.gateway.server.held_bytes == 0
            )

    run(test())


@pytest.mark.parametrize("before_host", [True, False])
def test_headers_of_64_kib_are_refused_and_reach_no_worker(tmp_path: Path, before_host: bool) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            host, pad = b"Host: a.example\r\n", b"X-Pad: " + b"x" * 64 * 1024 + b"\r\n"
            key = b"X-API-Key: " + a.key.encode() + b"\r\n"
            lines = pad + host if before_host else host + pad
            many = b"".join(b"X-%d: y\r\n" % n for n in range(9000))
            for headers in (lines, many + host, host + many, b"Host: " + b"a" * 65_536 + b"\r\n"):
                async with connect(fixture.gateway) as client:
                    got = await client.raw(b"GET /read/7 HTTP/1.1\r\n" + key + headers + b"\r\n")
                    assert got.status in (400, 431), got.status
                assert (await fixture.ask(b)).status == 200
            async with connect(fixture.gateway) as client:
                got = await client.raw(b"GET /" + b"x" * 65_536 + b" HTTP/1.1\r\n" + host + b"\r\n")
                assert got.status in (400, 414)
            assert a.worker.record.received.total() == 0
            share = fixture.gateway.tenants[a.uid].share
            await until(lambda: not share.connections)
            assert (share.open, share.held_bytes, share.admitted) == (0, 0, 0)

    run(test())


def test_a_list_of_ten_thousand_workers_does_not_delay_other_tenants(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a", "b") as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            listed = Inventory(tuple(
                Worker(f"w{n:05}", f"127.1.{n // 250}.{n % 250 + 1}", 9, bay=n % 7) for n in range(10_000)
            ))  # fmt: skip
            parsed = msgspec.msgpack.encode(listed)
            name = digest(parsed)
            ref = InventoryRef(digest=name, parsed=name)
            fixture.put(a, replace(a.tenant, inventory=ref), {name: parsed})
            following = asyncio.ensure_future(fixture.gateway.follow())
            served_during_update = 0
            while not following.done():
                assert (await fixture.ask(b)).status == 200
                pools = fixture.gateway.tenants[a.uid].generation.host.upstream.pools  # type: ignore[union-attr]
                served_during_update += 1 < len(pools) < 10_000
            await following
            assert (
                len(pools) == 10_000 and served_during_update >= 3
            )  # b was served while the list was applied

    run(test())


def test_clients_without_a_valid_key_use_up_none_of_a_tenants_limits(tmp_path: Path) -> None:
    """Wrong keys, missing keys and incomplete requests, all with the host name of tenant a."""

    async def test() -> None:
        async with hosting(tmp_path, "b") as fixture:
            limits = TenantLimits(requests=1.0, burst=6.0, open=3, connections=3, held_mb=0.05)
            a, b = await fixture.add("a", limits=limits), fixture.tenants["b"]
            await fixture.gateway.follow()
            share = fixture.gateway.tenants[a.uid].share
            guesses = [key("c")[1], b.key, "nonsense", a.key[:-1] + ("x" if a.key[-1] != "x" else "y")]
            async with connect(fixture.gateway) as client:
                for turn in range(60):
                    got = await client.ask(a, key=guesses[turn % 4])
                    assert got.status == 401 and got.header("www-authenticate")
            assert (share.tokens, share.refused_count, share.connections) == (6.0, 0, 0)
            open_connections = [
                await asyncio.open_connection("127.0.0.1", fixture.gateway.port) for _ in range(8)
            ]
            for turn, (_, writer) in enumerate(
                open_connections
            ):  # a body that is never complete, without a key
                line = b"GET /read/7 HTTP/1.1\r\n" if turn % 2 else b"POST /write HTTP/1.1\r\n"
                writer.write(
                    line
                    + b"Host: a.example\r\n"
                    + (b"X" if turn % 2 else b"Content-Length: 60000\r\n\r\n" + b"x" * 50_000)
                )
            refused = [await read_answer(reader) for reader, _ in open_connections[::2]]
            assert {got.status for got in refused} == {401}  # before the body is complete
            assert (share.held_bytes, share.connections, share.open) == (0, 0, 0)
            for _ in range(5):
                assert (await fixture.ask(a)).status == 200
            for _, writer in open_connections:
                writer.close()
            assert a.worker.record.received.total() == 5

    run(test())


def test_a_key_is_checked_again_if_the_state_changes_while_a_request_is_received(tmp_path: Path) -> None:
    async def test() -> None:
        async with hosting(tmp_path, "a") as fixture:
            a = fixture.tenants["a"]
            data = make_request("POST /write", b"body", a.key, Host=a.host)
            for keys, status in ((a.tenant.keys, 200), ({}, 401)):
                async with connect(fixture.gateway) as client:
                    client.writer.write(data[:-2])
                    share = fixture.gateway.tenants[a.uid].share
                    await until(lambda share=share: share.held_bytes)  # type: ignore[misc]
                    plan = PlanPart(rate=50.0, burst=50.0 + len(keys))
                    fixture.change(a, plans={"q": plan, "p": plan}, keys=keys)
                    await fixture.gateway.follow()
                    assert (await client.raw(data[-2:])).status == status
                await until(lambda share=share: not share.connections)  # type: ignore[misc]
                assert (share.open, share.held_bytes) == (0, 0)

    run(test())
