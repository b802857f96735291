"""Where tenants' workers may be, and names of workers that hang, move or lead where they may not."""

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
from ivymux.tenants.places import Places
from standins.worker import Fleet
from standins.worker import Worker as StandIn
from tests.admin.calling import calling
from tests.hosting.doors import Hosted, Place, hosting
from tests.sockets import run, until


def put(place: Place, hosted: Hosted, *workers: Worker) -> None:
    parsed = msgspec.msgpack.encode(Inventory(tuple(sorted(workers))))
    name = digest(parsed)
    made = replace(hosted.tenant, inventory=InventoryRef(digest=name, parsed=name))
    place.put(hosted, made, {name: parsed})


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
def test_where_workers_may_be(host: str, port: int, why: str) -> None:
    places = Places.of(["10.0.0.0/8"], [("127.0.0.1", 8081), ("0.0.0.0", 8080), ("10.9.9.9", 2379)])
    found = places.wrong(host, port)
    assert (why in found) if why else not found
    named = Places.of([], [("tally.example", 6400), ("localhost", 8081)])
    assert not named.wrong("10.0.0.1", 6400) and named.wrong("127.0.0.1", 8081)
    free = Places.of([], [("0.0.0.0", 8080)])
    assert not free.wrong("192.168.0.1", 8080) and free.wrong("127.0.0.1", 8080)


def test_a_list_that_leads_where_it_may_not_is_refused_and_a_name_that_does_is_left_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    found = {"good.example": "127.0.0.1", "bad.example": "127.3.0.1"}
    monkeypatch.setattr(host_lookups, "ask", lambda name: [found[name]])

    async def test() -> None:
        extra = 'worker_networks = ["127.0.0.0/16"]\nadmin = "127.0.0.1:8099"\n'
        async with hosting(tmp_path, "a", follow=0.02, extra=extra) as place:
            a, places = place.tenants["a"], place.door.hosting.places
            async with calling(place.store, places) as olga:
                for address in ("127.3.0.1:80", "127.0.0.1:8099"):
                    body = {"form": "csv", "text": f"name,address\nw,{address}\n"}
                    got = await olga.change("PUT", "/v1/tenants/a/inventory", body)
                    assert got.status_code == 422 and "w has an address that is" in got.text, got.text
            port = a.worker.port
            put(place, a, Worker("w0", "good.example", port), Worker("w1", "bad.example", port))
            resident = place.door.residents[a.uid]
            await until(lambda: resident.misplaced == 1)
            upstream = resident.part.host.upstream  # type: ignore[union-attr]
            assert {p.address.host for p in upstream.pools.values()} == {"127.0.0.1"}
            assert (await place.ask(a)).status == 200
            await place.door.tell()
            (report,) = place.store.reports()
            assert "does not allow" in report.problems[a.uid]

    run(test())


def test_names_that_hang_hold_up_nobody_else_and_join_when_they_are_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    answer, asked = threading.Event(), list[str]()

    def ask(name: str) -> list[str]:
        asked.append(name)
        answer.wait(20)
        return ["127.0.0.1"]

    monkeypatch.setattr(host_lookups, "ask", ask)

    async def test() -> None:
        async with hosting(tmp_path, "a", "b", follow=0.02) as place:
            a, b = place.tenants["a"], place.tenants["b"]
            second = await StandIn(Fleet()).start()
            place.workers.append(second)
            many = [Worker(f"h{n}", f"h{n}.example", 9) for n in range(50)]
            put(
                place,
                a,
                Worker("w0", "127.0.0.1", a.worker.port),
                Worker("w1", "x.example", second.port),
                *many,
            )
            began = time.monotonic()
            await until(lambda: place.door.residents[a.uid].revision == a.revision)
            place.change(b, hosts=["other.example"])
            while (await place.ask(b, Host="other.example")).status != 200:
                await asyncio.sleep(0.005)
            assert time.monotonic() - began < 5  # fifty names at 5 s each would be far more
            assert (await place.ask(a)).status == 200  # by the worker that has an address
            assert len(asked) <= host_lookups.MAX_RUNNING
            answer.set()
            await until(lambda: len(place.door.residents[a.uid].part.host.upstream.pools) >= 2)  # type: ignore[union-attr]

    run(test())


def test_a_name_that_moves_is_followed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    found = ["127.0.0.1"]
    monkeypatch.setattr(host_lookups, "ask", lambda name: list(found))
    monkeypatch.setattr(hosting_gateway, "RENEW", 0.05)

    async def test() -> None:
        async with hosting(tmp_path, "a", follow=0.02) as place:
            a = place.tenants["a"]
            put(place, a, Worker("w0", "moving.example", a.worker.port))
            resident = place.door.residents[a.uid]
            await until(lambda: resident.revision == a.revision)
            resident.resolver.life = 0.05
            assert (await place.ask(a)).status == 200
            for answer in resident.resolver.answers.values():
                answer.until = 0.0
            found[:] = ["127.0.0.9"]
            pools = resident.part.host.upstream.pools  # type: ignore[union-attr]
            await until(lambda: {p.address.host for p in pools.values()} == {"127.0.0.9"})
            found.clear()  # no answer: the last one is kept
            await until(lambda: "moving.example" in resident.resolver.failing)
            assert {p.address.host for p in pools.values()} == {"127.0.0.9"}

    run(test())
