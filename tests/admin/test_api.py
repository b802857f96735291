"""The administration API: changes, roles, races, repeats, troubled stores."""

from __future__ import annotations

import asyncio
import os
import random
import sqlite3
from pathlib import Path
from typing import Any

import pytest

from ivymux.admin import authorization
from ivymux.admin import operations as operations_module
from ivymux.admin.app import description, operations
from ivymux.admin.authorization import ApiError, Pace, expected
from ivymux.inventory.csv_reader import write_sheet
from ivymux.inventory.model import Inventory, Worker
from ivymux.tenants.secret import KEY_PATTERN
from tests.admin.calling import Caller, serving
from tests.hosting.fixtures import hosting
from tests.routes.describing import described, operation
from tests.service.doors import PATHS
from tests.sockets import run, until

T = "/v1/tenants/a"


@pytest.fixture
def fast(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(authorization, "RATE", 1e6)
    monkeypatch.setattr(authorization, "BURST", 1e6)


def test_a_tenants_life(tmp_path: Path, fast: None) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, _store):
            await olga.make("a")
            got = await olga.call("GET", T)
            etag = got.headers["etag"]
            assert got.json()["customers"] == {"c": {"plan": "p"}}
            assert (await olga.call("PATCH", T, {"customers": {"d": {"plan": "p"}}})).status_code == 428
            dry = await olga.call("PATCH", f"{T}?dry_run=true", {"customers": {"d": {"plan": "p"}}}, etag)
            assert dry.json()["changes"] == [{"path": "/customers/d", "after": {"plan": "p"}}]
            done = await olga.call("PATCH", T, {"customers": {"d": {"plan": "p"}}}, etag)
            assert done.status_code == 200 and done.headers["etag"] != etag
            assert done.headers["ivymux-in-effect"] == "true"  # there is no front door to wait for
            lost = await olga.call("PATCH", T, {"customers": {"e": {"plan": "p"}}}, etag)
            assert lost.status_code == 412 and lost.headers["etag"] == done.headers["etag"]
            (what,) = lost.json()["changed"]
            assert what["changes"] == dry.json()["changes"] and "olga" in what["who"]
            assert (await olga.change("PUT", f"{T}/plans/q", {"rate": 1.0, "burst": 5.0})).status_code == 201
            assert (await olga.change("PATCH", f"{T}/plans/q", {"burst": 6.0})).json()["rate"] == 1.0
            assert (await olga.change("DELETE", f"{T}/plans/p")).status_code == 422  # customers are on it
            assert (await olga.change("DELETE", f"{T}/plans/q")).status_code == 204
            assert (await olga.change("DELETE", f"{T}/plans/q")).status_code == 404
            page = (await olga.call("GET", f"{T}/customers?limit=1")).json()
            assert [c["name"] for c in page["items"]] == ["c"]
            more = (await olga.call("GET", f"{T}/customers?limit=1&cursor={page['next']}")).json()
            assert [c["name"] for c in more["items"]] == ["d"] and more["next"] is None
            assert (await olga.call("GET", f"{T}/routes")).json()["main"] == "api.json"
            assert "w0" in (await olga.call("GET", f"{T}/inventory")).json()["text"]
            assert (await olga.call("GET", f"{T}/usage")).json()["doors"] == []
            audit = (await olga.call("GET", f"{T}/audit")).json()["items"]
            assert [a["action"] for a in audit][:2] == ["plans q", "plans q"] and audit[0]["at"] > 0
            assert len((await olga.call("GET", f"{T}/history")).json()["items"]) == len(audit)
            assert (await olga.change("DELETE", T)).status_code == 204
            assert (await olga.call("GET", T)).status_code == 404
            listed = (await olga.call("GET", "/v1/tenants")).json()
            assert listed == {"items": [], "next": None}

    run(test())


def test_bad_changes_are_refused_whole_with_their_findings(tmp_path: Path, fast: None) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, _store):
            await olga.make("a")
            before = (await olga.call("GET", T)).headers["etag"]
            broken = {"main": "api.json", "files": {"api.json": {"openapi": "3.0.3", "paths": {"no": {}}}}}
            got = await olga.change("PUT", f"{T}/routes", broken)
            assert got.status_code == 422 and got.json()["findings"][0]["path"].startswith("/files/api.json#")
            got = await olga.change("PUT", f"{T}/inventory", {"text": "name,address\nw,10.0.0.1:0\n"})
            assert got.status_code == 422 and got.json()["findings"][0]["line"] == 2
            dear = described({"/a": {"get": operation(x={"cost": 50})}})
            got = await olga.change("PUT", f"{T}/routes", {"main": "f", "files": {"f": dear}})
            assert got.status_code == 422 and got.json()["findings"][0]["path"] == "/plans/p/burst"
            patches: list[Any] = [{"plans": None}, {"hosts": ["UP"]}, {"nonsense": 1}, {"keys": {}}, [1]]
            for patch in patches:
                got = await olga.change("PATCH", T, patch)
                assert got.status_code == 422, (patch, got.text)
            puts: list[tuple[str, str, Any]] = [
                ("PUT", f"{T}/routes", {"main": "x", "files": {"../x": "y"}}),
                ("PUT", f"{T}/routes", {"main": "x", "files": {}}),
                ("PUT", f"{T}/plans/p", {"rate": "fast"}), ("PUT", f"{T}/limits", {"open": -1}),
                ("PUT", f"{T}/inventory", {"form": "xls", "text": ""}),
            ]  # fmt: skip
            for method, path, body in puts:
                assert (await olga.change(method, path, body)).status_code == 422, (path, body)
            assert (await olga.call("GET", T)).headers["etag"] == before
            taken = await olga.call("POST", "/v1/tenants", {"name": "b", "hosts": ["a.example"]})
            assert taken.status_code == 409 and "uid" not in taken.text
            assert (await olga.call("POST", "/v1/tenants", {"name": "a"})).status_code == 409
            assert (await olga.call("POST", "/v1/tenants", {"name": "No!"})).status_code == 422

    run(test())


def test_an_inventory_that_the_judge_stops_needs_its_own_confirmation(tmp_path: Path, fast: None) -> None:
    def sheet(size: int) -> dict[str, str]:
        workers = tuple(Worker(f"w{n}", "127.0.0.1", 9 + n) for n in range(size))
        return {"text": write_sheet(Inventory(workers)).decode()}

    async def test() -> None:
        async with serving(tmp_path) as (olga, _):
            await olga.make("a")
            assert (await olga.change("PUT", f"{T}/inventory", sheet(8))).status_code == 200
            held = await olga.change("PUT", f"{T}/inventory", sheet(2))
            assert held.status_code == 409
            code = held.json()["confirmation"]
            assert (await olga.change("PUT", f"{T}/inventory?confirm={code}", sheet(1))).status_code == 409
            assert (await olga.change("PUT", f"{T}/inventory?confirm={code}", sheet(2))).json()[
                "workers"
            ] == 2

    run(test())


def test_keys_are_shown_once_rotate_with_an_overlap_and_end(tmp_path: Path, fast: None) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, store):
            await olga.make("a")
            path = f"{T}/keys"
            made = await olga.call("POST", path, {"customer": "c"}, Idempotency_Key="one")
            again = await olga.call("POST", path, {"customer": "c"}, Idempotency_Key="one")
            assert made.status_code == again.status_code == 201
            assert again.headers["idempotency-replayed"] == "true"
            assert again.json()["id"] == made.json()["id"] and "key" not in again.json()
            other = await olga.call("POST", path, {"customer": "d"}, Idempotency_Key="one")
            assert other.status_code == 422
            assert len((await olga.call("GET", path)).json()["items"]) == 1
            number, key = made.json()["id"], made.json()["key"]
            turned = await olga.call("POST", f"{path}/{number}/rotate", {"overlap": 100})
            assert turned.status_code == 201 and turned.json()["replaces"] == number
            entry = (await olga.call("GET", f"{path}/{number}")).json()
            assert entry["ends"] == pytest.approx(turned.json()["until"])
            store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            kept = (tmp_path / "desired.db").read_bytes()
            texts = [(await olga.call("GET", f"{T}{p}")).text for p in ("", "/keys", "/audit", "/history")]
            for text in texts:
                assert key not in text and "salt" not in text and "hash" not in text
            assert (secret := KEY_PATTERN.fullmatch(key.encode())) and secret[
                3
            ] not in kept  # it may hold a `_`
            assert (await olga.change("DELETE", f"{path}/{number}")).status_code == 204
            assert (await olga.call("GET", f"{path}/{number}")).status_code == 404

    run(test())


def test_a_tenants_administrator_has_that_tenant_and_not_its_limits(tmp_path: Path, fast: None) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, _):
            await olga.make("a")
            await olga.make("b")
            ann = await olga.administrator("a")
            assert (await ann.call("GET", T)).status_code == 200
            assert (await ann.change("PATCH", T, {"customers": {"x": {"plan": "p"}}})).status_code == 200
            for patch in ({"limits": {"open": 5}}, {"hosts": ["b.example"]}, {"suspended": True}):
                assert (await ann.change("PATCH", T, patch)).status_code == 403
            assert (await ann.change("PUT", f"{T}/limits", {})).status_code == 403
            assert (await ann.change("DELETE", T)).status_code == 403
            assert (await ann.call("GET", "/v1/tenants")).status_code == 403
            assert (await ann.call("POST", "/v1/tenants", {"name": "c"})).status_code == 403
            listed = (await ann.call("GET", f"{T}/administrators")).json()["items"]
            assert [a["name"] for a in listed] == ["adm of a"]
            gone = await olga.change("DELETE", f"{T}/administrators/{listed[0]['id']}")
            assert gone.status_code == 204 and (await ann.call("GET", T)).status_code == 401
            # All of a tenant's keys go with it.
            bob = await olga.administrator("b")
            assert (await olga.change("DELETE", "/v1/tenants/b")).status_code == 204
            assert (await bob.call("GET", "/v1/tenants/b")).status_code == 401

    run(test())


def test_no_byte_of_a_tenant_reaches_another_key(tmp_path: Path, fast: None) -> None:
    """Each resource and verb of the description, with another tenant's key, none, and a revoked one."""

    async def test() -> None:
        async with serving(tmp_path) as (olga, _):
            for name in ("a", "b"):
                await olga.make(name)
            secret_name = "confidential-customer"
            put = await olga.change("PUT", f"{T}/customers/{secret_name}", {"plan": "p"})
            assert put.status_code == 201
            bob = await olga.administrator("b")
            revoked = await olga.administrator("a")
            number = revoked.key.split("_")[1]
            assert (await olga.change("DELETE", f"{T}/administrators/{number}")).status_code == 204
            before = (await olga.call("GET", T)).headers["etag"]
            callers = {
                "another's": (bob, {403, 404}), "none": (Caller(olga.client, ""), {401}),
                "revoked": (revoked, {401}), "a caller's": (Caller(olga.client, "iv_" + "0" * 16), {401}),
            }  # fmt: skip
            tried = 0
            for path, verbs in description()["paths"].items():
                for verb in verbs:
                    at = path.replace("{tenant}", "a").replace("{member}", secret_name)
                    body: Any = {} if "requestBody" in verbs[verb] else None
                    for who, (caller, allowed) in callers.items():
                        got = await caller.call(verb.upper(), at, body, before)
                        tried += 1
                        assert got.status_code in allowed, (who, verb, at, got.text)
                        shown = got.text + str(dict(got.headers))
                        for byte in (secret_name, "a.example", "rate", before):
                            assert byte not in shown, (who, verb, at)
            assert tried == 4 * len(operations()) and tried > 100
            for caller, _ in callers.values():
                watch = await caller.call("GET", f"{T}/watch")
                assert watch.status_code in (401, 404)
            assert (await olga.call("GET", T)).headers["etag"] == before
            # What is not there looks the same as what is another's.
            mine, nobody = [await bob.call("GET", f"/v1/tenants/{n}") for n in ("a", "zzz")]
            assert (mine.status_code, mine.text) == (nobody.status_code, nobody.text)

    run(test())


def test_twenty_administrators_make_a_thousand_changes(tmp_path: Path, fast: None) -> None:
    """The final state is that of some order of those that were answered with 2xx, and the record has them."""

    async def test() -> None:
        async with serving(tmp_path) as (olga, store):
            await olga.make("a")
            audit_before = len(store.audit("", 1 << 60, 10_000))
            rng, done = random.Random(3), list[tuple[int, dict[str, Any]]]()
            refused = 0

            async def administrator(number: int) -> None:
                nonlocal refused
                made = 0
                etag = (await olga.call("GET", T)).headers["etag"]
                while made < 50:
                    customer, value = f"c{rng.randrange(5)}", float(rng.randrange(3600))
                    patch: dict[str, Any] = {"rules": {"drain_grace": value}}
                    if number % 2:
                        patch = {"customers": {customer: {"plan": "p"}}, "keyed": {"memory": value}}
                    got = await olga.call("PATCH", T, patch, etag)
                    if got.status_code == 200:
                        etag = got.headers["etag"]
                        done.append((int(etag.strip('"')), patch))
                        made += 1
                    else:
                        assert got.status_code == 412, got.text
                        refused += 1
                        etag = got.headers["etag"]
                        await asyncio.sleep(rng.random() * 0.1)  # as people do: not all at once again

            await asyncio.gather(*(administrator(n) for n in range(20)))
            assert len(done) == 1000 == len({revision for revision, _ in done}) and refused > 0
            audit = store.audit("", 1 << 60, 10_000)
            assert len(audit) - audit_before == 1000
            assert {a.revision for a in audit[:1000]} == {revision for revision, _ in done}
            final = (await olga.call("GET", T)).json()
            order = [patch for _, patch in sorted(done, key=lambda d: d[0])]
            last_memory = [p["keyed"]["memory"] for p in order if "keyed" in p][-1]
            last_grace = [p["rules"]["drain_grace"] for p in order if "rules" in p][-1]
            assert final["keyed"]["memory"] == last_memory and final["rules"]["drain_grace"] == last_grace
            named = {c for p in order for c in p.get("customers", ())}
            assert set(final["customers"]) == named | {"c"}  # no merge lost a field

    async def longer() -> None:
        async with asyncio.timeout(120):
            await test()

    asyncio.run(longer())


def test_a_creation_sent_twice_at_once_is_made_once(tmp_path: Path, fast: None) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, _):
            await olga.make("a")
            path, body = f"{T}/keys", {"customer": "c"}
            got = await asyncio.gather(
                *(olga.call("POST", path, body, Idempotency_Key="same") for _ in range(10)),
                *(olga.call("POST", path, body) for _ in range(10)),
            )
            assert {g.status_code for g in got} == {201}
            assert len({g.json()["id"] for g in got[:10]}) == 1
            assert len((await olga.call("GET", path)).json()["items"]) == 11
            assert sum("key" in g.json() for g in got[:10]) == 1

    run(test())


def test_a_troubled_store_is_told_and_nothing_is_half_written(tmp_path: Path, fast: None) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, store):
            await olga.make("a")
            other = sqlite3.connect(tmp_path / "desired.db", isolation_level=None)
            other.execute("BEGIN IMMEDIATE")
            got = await olga.change("PATCH", T, {"customers": {"x": {"plan": "p"}}})
            assert got.status_code == 503 and got.headers["retry-after"] == "1"
            other.execute("ROLLBACK")
            other.close()
            (pages,) = store.db.execute("PRAGMA page_count").fetchone()
            store.db.execute(f"PRAGMA max_page_count = {pages}")
            files = {"f": described(PATHS), "more": os.urandom(1 << 19).hex()}
            text = {"main": "f", "files": files}
            got = await olga.change("PUT", f"{T}/routes", text)
            assert got.status_code == 507 and "room" in got.json()["detail"]
            store.db.execute("PRAGMA max_page_count = 1000000")
            assert (await olga.change("PATCH", T, {"customers": {"x": {"plan": "p"}}})).status_code == 200
            store.db.execute("UPDATE tenants SET body = x'c1'")
            got = await olga.call("GET", T)
            assert got.status_code == 503 and "restore" in got.json()["detail"]

    run(test())


def test_an_answer_waits_for_front_doors_and_a_deleted_tenant_is_gone_by_then(
    tmp_path: Path, fast: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with hosting(tmp_path, follow=0.02) as fixture, serving(tmp_path) as (olga, _):
            await fixture.gateway.follow()
            made = await olga.make("a")
            assert made.headers["ivymux-in-effect"] == "true"
            (hosted,) = fixture.gateway.tenants.values()
            assert hosted.is_ready and hosted.name == "a"
            usage = (await olga.call("GET", f"{T}/usage")).json()
            assert usage["doors"][0]["door"] == "door" and usage["doors"][0]["in_effect"]
            gone = await olga.change("DELETE", T)
            assert (
                gone.status_code == 204
                and not fixture.gateway.tenants
                and not fixture.gateway.tenants_by_host
            )
            # A front door that is alive and does not follow is not lied about.
            await olga.make("a")
            monkeypatch.setattr(operations_module, "EFFECT_WAIT", 0.05)
            for task in list(fixture.gateway.tasks):
                task.cancel()
            slow = await olga.change("DELETE", T)
            assert slow.status_code == 202 and slow.headers["ivymux-in-effect"] == "false"

    run(test())


def test_a_watch_tells_of_changes_and_of_the_end(tmp_path: Path, fast: None) -> None:
    from ivymux.admin.app import Api
    from ivymux.admin.authorization import Principal

    class Staying:
        async def is_disconnected(self) -> bool:
            return False

    async def test() -> None:
        async with serving(tmp_path) as (olga, store):
            await olga.make("a")
            api, uid = Api(store), store.get("a").uid  # type: ignore[union-attr]
            admin = store.admins("")[0]
            told: list[str] = []

            async def listen() -> None:
                principal = Principal(admin.id, admin.name, "")
                async for event in api.events(Staying(), principal, "a", uid):  # type: ignore[arg-type]
                    told.append(event)

            listening = asyncio.ensure_future(listen())
            await until(lambda: len(told) == 1)
            await olga.change("PATCH", T, {"customers": {"x": {"plan": "p"}}})
            await until(lambda: len(told) == 2)
            assert told[1].startswith("id: ") and "event: changed" in told[1]
            await olga.change("DELETE", T)
            await listening
            assert "event: gone" in told[-1]

    run(test())


def test_wrong_keys_and_floods_are_slowed_down(tmp_path: Path) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, _):
            got = [await Caller(olga.client, f"ivadm_{n:016x}_{'x' * 43}").call("GET", T) for n in range(12)]
            assert [g.status_code for g in got][:5] == [401] * 5 and got[-1].status_code == 429
            assert int(got[-1].headers["retry-after"]) >= 1

    run(test())
    pace = Pace()
    assert all(pace.ask("a", 0.0) == 0 for _ in range(int(authorization.BURST)))
    wait = pace.ask("a", 0.0)
    assert wait > 0 and pace.ask("a", wait) == 0 and pace.ask("b", 0.0) == 0
    for n in range(authorization.MAX_KNOWN + 10):
        pace.ask(f"x{n}", 1.0)
    assert len(pace.known) == authorization.MAX_KNOWN


@pytest.mark.parametrize("text", ["", "*", "1", '""', '"x"', 'W/"1"', '"1', "'1'", '"\uff11"'])
def test_what_is_no_etag_matches_nothing(text: str) -> None:
    with pytest.raises(ApiError) as error:
        expected(text)
    assert error.value.status == 412
    assert expected('"12"') == 12


def test_what_is_not_there_is_a_problem_too(tmp_path: Path, fast: None) -> None:
    async def test() -> None:
        async with serving(tmp_path) as (olga, _):
            for method, path, status in (("GET", "/nowhere", 404), ("PUT", "/v1/tenants", 405)):
                got = await olga.call(method, path)
                assert got.status_code == status, got.text
                assert got.headers["content-type"] == "application/problem+json"
            await olga.make("a")
            sent = {"Authorization": f"Bearer {olga.key}", "Idempotency-Key": "k"}
            good = "application/json"
            deep = b"[" * 100_000
            for body, kind, status in (
                (b"{", good, 400), (b"{}", "text/plain", 415), (b"NaN", good, 400), (deep, good, 400)
            ):  # fmt: skip
                headers = sent | {"Content-Type": kind}
                got = await olga.client.post(f"{T}/keys", content=body, headers=headers)
                assert got.status_code == status, got.text
            for query in ("limit=0", "limit=x", "cursor=%25%25", "limit=99999999999999999999"):
                assert (await olga.call("GET", f"{T}/keys?{query}")).status_code == 400, query
            document = (await olga.call("GET", "/v1/openapi.json")).json()
            assert document == description() and document["openapi"] == "3.1.0"

    run(test())
