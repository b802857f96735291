"""Allowed addresses of workers, and host names whose look-up hangs, changes or gives a forbidden address."""

from __future__ import annotations

import asyncio
import threading
import time
from pathlib import Path

import msgspec
import pytest
from msgspec.structs import replace

from ivymux.hosting import host_lookups, hosting_gateway
from ivymux.inventory.model import Inventory, Worker
from ivymux.tenants.model import InventoryRef, digest
from ivymux.tenants.places import AddressRules
from standins.worker import ExecutionRecord
from standins.worker import Worker as StandIn
from tests.admin.api_client import api_over_store
from tests.hosting.fixtures import HostingFixture, TenantFixture, hosting
from tests.sockets import run, until


def put_inventory(fixture: HostingFixture, hosted: TenantFixture, *workers: Worker) -> None:
    parsed = msgspec.msgpack.encode(Inventory(tuple(sorted(workers))))
    name = digest(parsed)
    state = replace(hosted.tenant, inventory=InventoryRef(digest=name, parsed=name))
    fixture.put(hosted, state, {name: parsed})


@pytest.mark.parametrize(
    ("host", "port", "why"),
    [
        ("10.1.2.3", 80, ""),
        ("10.1.2.3", 8080, ""),
        ("192.168.0.1", 80, "no network"),
        ("169.254.169.254", 80, "no network"),
        ("::ffff:169.254.169.254", 80, "no network"),
        ("::ffff:10.1.2.3", 80, ""),
        ("127.0.0.1", 8081, "own"),
        ("127.9.9.9", 8081, "own"),
        ("0.0.0.0", 8081, "own"),
        ("::1", 8081, "own"),
        ("::ffff:127.0.0.1", 8081, "own"),
        ("localhost", 8081, "own"),
        ("10.9.9.9", 2379, "own"),
        ("worker.example", 80, ""),
    ],
)
def test_addresses_that_workers_may_have(host: str, port: int, why: str) -> None:
    rules = AddressRules.parse(["10.0.0.0/8"], [("127.0.0.1", 8081), ("0.0.0.0", 8080), ("10.9.9.9", 2379)])
    found = rules.violation(host, port)
    assert (why in found) if why else not found
    named = AddressRules.parse([], [("tally.example", 6400), ("localhost", 8081)])
    assert not named.violation("10.0.0.1", 6400) and named.violation("127.0.0.1", 8081)
    free = AddressRules.parse([], [("0.0.0.0", 8080)])
    assert not free.violation("192.168.0.1", 8080) and free.violation("127.0.0.1", 8080)


def test_an_inventory_with_a_forbidden_address_is_refused_and_a_name_that_resolves_to_one_is_left_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    addresses = {"good.example": "127.0.0.1", "bad.example": "127.3.0.1"}
    monkeypatch.setattr(host_lookups, "resolve", lambda name: [addresses[name]])

    async def test() -> None:
        extra = 'worker_networks = ["127.0.0.0/16"]\nadmin = "127.0.0.1:8099"\n'
        async with hosting(tmp_path, "a", follow=0.02, extra=extra) as fixture:
            a, rules = fixture.tenants["a"], fixture.gateway.hosting.address_rules
            async with api_over_store(fixture.store, rules) as client:
                for address in ("127.3.0.1:80", "127.0.0.1:8099"):
                    body = {"form": "csv", "text": f"name,address\nw,{address}\n"}
                    got = await client.change("PUT", "/v1/tenants/a/inventory", body)
                    assert got.status_code == 422 and "w has an address that is" in got.text, got.text
            port = a.worker.port
            put_inventory(fixture, a, Worker("w0", "good.example", port), Worker("w1", "bad.example", port))
            hosted_tenant = fixture.gateway.tenants[a.uid]
            await until(lambda: hosted_tenant.misplaced_count == 1)
            upstream = hosted_tenant.generation.host.upstream  # type: ignore[union-attr]
            assert {p.address.host for p in upstream.pools.values()} == {"127.0.0.1"}
            assert (await fixture.ask(a)).status == 200
            await fixture.gateway.send_report()
            (report,) = fixture.store.reports()
            assert "does not allow" in report.problems[a.uid]

    run(test())


def test_hanging_lookups_delay_no_other_tenant_and_their_workers_join_when_resolved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    may_answer, looked_up = threading.Event(), list[str]()

    def resolve(name: str) -> list[str]:
        looked_up.append(name)
        may_answer.wait(20)
        return ["127.0.0.1"]

    monkeypatch.setattr(host_lookups, "resolve", resolve)

    async def test() -> None:
        async with hosting(tmp_path, "a", "b", follow=0.02) as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            second = await StandIn(ExecutionRecord()).start()
            fixture.workers.append(second)
            many = [Worker(f"h{n}", f"h{n}.example", 9) for n in range(50)]
            put_inventory(
                fixture,
                a,
                Worker("w0", "127.0.0.1", a.worker.port),
                Worker("w1", "x.example", second.port),
                *many,
            )
            began = time.monotonic()
            await until(lambda: fixture.gateway.tenants[a.uid].revision == a.revision)
            fixture.change(b, hosts=["other.example"])
            while (await fixture.ask(b, Host="other.example")).status != 200:
                await asyncio.sleep(0.005)
            assert (
                time.monotonic() - began < 5
            )  # fifty look-ups that time out after 5 s each would take far longer
            assert (await fixture.ask(a)).status == 200  # by the worker with a literal address
            assert len(looked_up) <= host_lookups.MAX_RUNNING
            may_answer.set()
            await until(lambda: len(fixture.gateway.tenants[a.uid].generation.host.upstream.pools) >= 2)  # type: ignore[union-attr]

    run(test())


def test_a_name_whose_address_changes_is_followed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    addresses = ["127.0.0.1"]
    monkeypatch.setattr(host_lookups, "resolve", lambda name: list(addresses))
    monkeypatch.setattr(hosting_gateway, "LOOKUP_REFRESH_PERIOD_S", 0.05)

    async def test() -> None:
        async with hosting(tmp_path, "a", follow=0.02) as fixture:
            a = fixture.tenants["a"]
            put_inventory(fixture, a, Worker("w0", "moving.example", a.worker.port))
            hosted_tenant = fixture.gateway.tenants[a.uid]
            await until(lambda: hosted_tenant.revision == a.revision)
            hosted_tenant.resolver.lifetime_s = 0.05
            assert (await fixture.ask(a)).status == 200
            for answer in hosted_tenant.resolver.answers.values():
                answer.expires_at = 0.0
            addresses[:] = ["127.0.0.9"]
            pools = hosted_tenant.generation.host.upstream.pools  # type: ignore[union-attr]
            await until(lambda: {p.address.host for p in pools.values()} == {"127.0.0.9"})
            addresses.clear()  # without an answer the last address is kept
            await until(lambda: "moving.example" in hosted_tenant.resolver.failing_names)
            assert {p.address.host for p in pools.values()} == {"127.0.0.9"}

    run(test())
