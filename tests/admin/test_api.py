"""The administration API: changes, roles, concurrent changes, repeated calls and failing stores."""

from __future__ import annotations

import asyncio
import os
import random
import sqlite3
from pathlib import Path
from typing import Any

import pytest

from ivymux.admin import authorization, transactions
from ivymux.admin.authorization import ApiError, RateLimiter, parse_if_match
from ivymux.admin.openapi import openapi_document
from ivymux.admin.resources import api_operations
from ivymux.inventory.csv_reader import write_csv
from ivymux.inventory.model import Inventory, Worker
from ivymux.tenants.secret import KEY_PATTERN
from tests.admin.api_client import ApiClient, api_over_sqlite
from tests.hosting.fixtures import hosting
from tests.routes.describing import described, operation
from tests.service.fixtures import PATHS
from tests.sockets import run, until

TENANT = "/v1/tenants/a"


@pytest.fixture
def without_rate_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(authorization, "CALLS_PER_S", 1e6)
    monkeypatch.setattr(authorization, "BURST_CALLS", 1e6)


def test_a_tenant_is_created_changed_read_and_deleted(tmp_path: Path, without_rate_limit: None) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _store):
            await operator.create_tenant("a")
            got = await operator.call("GET", TENANT)
            etag = got.headers["etag"]
            assert got.json()["customers"] == {"c": {"plan": "p"}}
            assert (
                await operator.call("PATCH", TENANT, {"customers": {"d": {"plan": "p"}}})
            ).status_code == 428
            dry = await operator.call(
                "PATCH", f"{TENANT}?dry_run=true", {"customers": {"d": {"plan": "p"}}}, etag
            )
            assert dry.json()["changes"] == [{"path": "/customers/d", "after": {"plan": "p"}}]
            done = await operator.call("PATCH", TENANT, {"customers": {"d": {"plan": "p"}}}, etag)
            assert done.status_code == 200 and done.headers["etag"] != etag
            assert done.headers["ivymux-in-effect"] == "true"  # there is no gateway to wait for
            conflict = await operator.call("PATCH", TENANT, {"customers": {"e": {"plan": "p"}}}, etag)
            assert conflict.status_code == 412 and conflict.headers["etag"] == done.headers["etag"]
            (conflicting_change,) = conflict.json()["changed"]
            assert (
                conflicting_change["changes"] == dry.json()["changes"] and "olga" in conflicting_change["who"]
            )
            assert (
                await operator.change("PUT", f"{TENANT}/plans/q", {"rate": 1.0, "burst": 5.0})
            ).status_code == 201
            assert (await operator.change("PATCH", f"{TENANT}/plans/q", {"burst": 6.0})).json()["rate"] == 1.0
            assert (
                await operator.change("DELETE", f"{TENANT}/plans/p")
            ).status_code == 422  # customers are on it
            assert (await operator.change("DELETE", f"{TENANT}/plans/q")).status_code == 204
            assert (await operator.change("DELETE", f"{TENANT}/plans/q")).status_code == 404
            page = (await operator.call("GET", f"{TENANT}/customers?limit=1")).json()
            assert [c["name"] for c in page["items"]] == ["c"]
            more = (await operator.call("GET", f"{TENANT}/customers?limit=1&cursor={page['next']}")).json()
            assert [c["name"] for c in more["items"]] == ["d"] and more["next"] is None
            assert (await operator.call("GET", f"{TENANT}/routes")).json()["main"] == "api.json"
            assert "w0" in (await operator.call("GET", f"{TENANT}/inventory")).json()["text"]
            assert (await operator.call("GET", f"{TENANT}/usage")).json()["doors"] == []
            audit = (await operator.call("GET", f"{TENANT}/audit")).json()["items"]
            assert [a["action"] for a in audit][:2] == ["plans q", "plans q"] and audit[0]["at"] > 0
            assert len((await operator.call("GET", f"{TENANT}/history")).json()["items"]) == len(audit)
            assert (await operator.change("DELETE", TENANT)).status_code == 204
            assert (await operator.call("GET", TENANT)).status_code == 404
            listed = (await operator.call("GET", "/v1/tenants")).json()
            assert listed == {"items": [], "next": None}

    run(test())


def test_invalid_changes_are_refused_as_a_whole_with_their_findings(
    tmp_path: Path, without_rate_limit: None
) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _store):
            await operator.create_tenant("a")
            before = (await operator.call("GET", TENANT)).headers["etag"]
            broken = {"main": "api.json", "files": {"api.json": {"openapi": "3.0.3", "paths": {"no": {}}}}}
            got = await operator.change("PUT", f"{TENANT}/routes", broken)
            assert got.status_code == 422 and got.json()["findings"][0]["path"].startswith("/files/api.json#")
            got = await operator.change(
                "PUT", f"{TENANT}/inventory", {"text": "name,address\nw,10.0.0.1:0\n"}
            )
            assert got.status_code == 422 and got.json()["findings"][0]["line"] == 2
            expensive_routes = described({"/a": {"get": operation(x={"cost": 50})}})
            got = await operator.change(
                "PUT", f"{TENANT}/routes", {"main": "f", "files": {"f": expensive_routes}}
            )
            assert got.status_code == 422 and got.json()["findings"][0]["path"] == "/plans/p/burst"
            patches: list[Any] = [{"plans": None}, {"hosts": ["UP"]}, {"nonsense": 1}, {"keys": {}}, [1]]
            for patch in patches:
                got = await operator.change("PATCH", TENANT, patch)
                assert got.status_code == 422, (patch, got.text)
            puts: list[tuple[str, str, Any]] = [
                ("PUT", f"{TENANT}/routes", {"main": "x", "files": {"../x": "y"}}),
                ("PUT", f"{TENANT}/routes", {"main": "x", "files": {}}),
                ("PUT", f"{TENANT}/plans/p", {"rate": "fast"}), ("PUT", f"{TENANT}/limits", {"open": -1}),
                ("PUT", f"{TENANT}/inventory", {"form": "xls", "text": ""}),
            ]  # fmt: skip
            for method, path, body in puts:
                assert (await operator.change(method, path, body)).status_code == 422, (path, body)
            assert (await operator.call("GET", TENANT)).headers["etag"] == before
            taken = await operator.call("POST", "/v1/tenants", {"name": "b", "hosts": ["a.example"]})
            assert taken.status_code == 409 and "uid" not in taken.text
            assert (await operator.call("POST", "/v1/tenants", {"name": "a"})).status_code == 409
            assert (await operator.call("POST", "/v1/tenants", {"name": "No!"})).status_code == 422

    run(test())


def test_an_inventory_that_changes_too_much_needs_its_own_confirmation(
    tmp_path: Path, without_rate_limit: None
) -> None:
    def sheet(size: int) -> dict[str, str]:
        workers = tuple(Worker(f"w{n}", "127.0.0.1", 9 + n) for n in range(size))
        return {"text": write_csv(Inventory(workers)).decode()}

    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _):
            await operator.create_tenant("a")
            assert (await operator.change("PUT", f"{TENANT}/inventory", sheet(8))).status_code == 200
            held = await operator.change("PUT", f"{TENANT}/inventory", sheet(2))
            assert held.status_code == 409
            code = held.json()["confirmation"]
            assert (
                await operator.change("PUT", f"{TENANT}/inventory?confirm={code}", sheet(1))
            ).status_code == 409
            assert (await operator.change("PUT", f"{TENANT}/inventory?confirm={code}", sheet(2))).json()[
                "workers"
            ] == 2

    run(test())


def test_keys_are_shown_once_rotated_with_an_overlap_and_revoked(
    tmp_path: Path, without_rate_limit: None
) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, store):
            await operator.create_tenant("a")
            path = f"{TENANT}/keys"
            created = await operator.call("POST", path, {"customer": "c"}, Idempotency_Key="one")
            again = await operator.call("POST", path, {"customer": "c"}, Idempotency_Key="one")
            assert created.status_code == again.status_code == 201
            assert again.headers["idempotency-replayed"] == "true"
            assert again.json()["id"] == created.json()["id"] and "key" not in again.json()
            other = await operator.call("POST", path, {"customer": "d"}, Idempotency_Key="one")
            assert other.status_code == 422
            assert len((await operator.call("GET", path)).json()["items"]) == 1
            key_id, key = created.json()["id"], created.json()["key"]
            rotated = await operator.call("POST", f"{path}/{key_id}/rotate", {"overlap": 100})
            assert rotated.status_code == 201 and rotated.json()["replaces"] == key_id
            entry = (await operator.call("GET", f"{path}/{key_id}")).json()
            assert entry["ends"] == pytest.approx(rotated.json()["until"])
            store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            kept = (tmp_path / "desired.db").read_bytes()
            texts = [
                (await operator.call("GET", f"{TENANT}{p}")).text for p in ("", "/keys", "/audit", "/history")
            ]
            for text in texts:
                assert key not in text and "salt" not in text and "hash" not in text
            # The secret may contain `_` itself, so it is taken from the key by the pattern.
            assert (secret := KEY_PATTERN.fullmatch(key.encode())) and secret[3] not in kept
            assert (await operator.change("DELETE", f"{path}/{key_id}")).status_code == 204
            assert (await operator.call("GET", f"{path}/{key_id}")).status_code == 404

    run(test())


def test_a_tenants_administrator_may_change_that_tenant_but_not_its_limits(
    tmp_path: Path, without_rate_limit: None
) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _):
            await operator.create_tenant("a")
            await operator.create_tenant("b")
            ann = await operator.create_administrator("a")
            assert (await ann.call("GET", TENANT)).status_code == 200
            assert (await ann.change("PATCH", TENANT, {"customers": {"x": {"plan": "p"}}})).status_code == 200
            for patch in ({"limits": {"open": 5}}, {"hosts": ["b.example"]}, {"suspended": True}):
                assert (await ann.change("PATCH", TENANT, patch)).status_code == 403
            assert (await ann.change("PUT", f"{TENANT}/limits", {})).status_code == 403
            assert (await ann.change("DELETE", TENANT)).status_code == 403
            assert (await ann.call("GET", "/v1/tenants")).status_code == 403
            assert (await ann.call("POST", "/v1/tenants", {"name": "c"})).status_code == 403
            listed = (await ann.call("GET", f"{TENANT}/administrators")).json()["items"]
            assert [a["name"] for a in listed] == ["adm of a"]
            gone = await operator.change("DELETE", f"{TENANT}/administrators/{listed[0]['id']}")
            assert gone.status_code == 204 and (await ann.call("GET", TENANT)).status_code == 401
            # The deletion of a tenant revokes all its keys.
            bob = await operator.create_administrator("b")
            assert (await operator.change("DELETE", "/v1/tenants/b")).status_code == 204
            assert (await bob.call("GET", "/v1/tenants/b")).status_code == 401

    run(test())


def test_no_data_of_a_tenant_is_shown_to_other_keys(tmp_path: Path, without_rate_limit: None) -> None:
    """Calls each method of each resource with another tenant's key, none, a revoked one and a caller's."""

    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _):
            for name in ("a", "b"):
                await operator.create_tenant(name)
            secret_name = "confidential-customer"
            put = await operator.change("PUT", f"{TENANT}/customers/{secret_name}", {"plan": "p"})
            assert put.status_code == 201
            bob = await operator.create_administrator("b")
            revoked = await operator.create_administrator("a")
            key_id = revoked.key.split("_")[1]
            assert (await operator.change("DELETE", f"{TENANT}/administrators/{key_id}")).status_code == 204
            before = (await operator.call("GET", TENANT)).headers["etag"]
            callers = {
                "another's": (bob, {403, 404}), "none": (ApiClient(operator.client, ""), {401}),
                "revoked": (revoked, {401}),
                "a caller's": (ApiClient(operator.client, "iv_" + "0" * 16), {401}),
            }  # fmt: skip
            call_count = 0
            for path, verbs in openapi_document()["paths"].items():
                for verb in verbs:
                    at = path.replace("{tenant}", "a").replace("{member}", secret_name)
                    body: Any = {} if "requestBody" in verbs[verb] else None
                    for who, (caller, allowed) in callers.items():
                        got = await caller.call(verb.upper(), at, body, before)
                        call_count += 1
                        assert got.status_code in allowed, (who, verb, at, got.text)
                        shown = got.text + str(dict(got.headers))
                        for private_text in (secret_name, "a.example", "rate", before):
                            assert private_text not in shown, (who, verb, at)
            assert call_count == 4 * len(api_operations()) and call_count > 100
            for caller, _ in callers.values():
                watch = await caller.call("GET", f"{TENANT}/watch")
                assert watch.status_code in (401, 404)
            assert (await operator.call("GET", TENANT)).headers["etag"] == before
            # The answers for a missing tenant and for another one's tenant are the same.
            existing, missing = [await bob.call("GET", f"/v1/tenants/{n}") for n in ("a", "zzz")]
            assert (existing.status_code, existing.text) == (missing.status_code, missing.text)

    run(test())


def test_twenty_administrators_make_a_thousand_changes(tmp_path: Path, without_rate_limit: None) -> None:
    """The final state is that of the accepted changes in some order, and the audit record lists them all."""

    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, store):
            await operator.create_tenant("a")
            audit_before = len(store.audit("", 1 << 60, 10_000))
            rng, done = random.Random(3), list[tuple[int, dict[str, Any]]]()
            refused = 0

            async def administrator(number: int) -> None:
                nonlocal refused
                change_count = 0
                etag = (await operator.call("GET", TENANT)).headers["etag"]
                while change_count < 50:
                    customer, value = f"c{rng.randrange(5)}", float(rng.randrange(3600))
                    patch: dict[str, Any] = {"rules": {"drain_grace": value}}
                    if number % 2:
                        patch = {"customers": {customer: {"plan": "p"}}, "keyed": {"memory": value}}
                    got = await operator.call("PATCH", TENANT, patch, etag)
                    if got.status_code == 200:
                        etag = got.headers["etag"]
                        done.append((int(etag.strip('"')), patch))
                        change_count += 1
                    else:
                        assert got.status_code == 412, got.text
                        refused += 1
                        etag = got.headers["etag"]
                        await asyncio.sleep(rng.random() * 0.1)  # spreads the retries

            await asyncio.gather(*(administrator(n) for n in range(20)))
            assert len(done) == 1000 == len({revision for revision, _ in done}) and refused > 0
            audit = store.audit("", 1 << 60, 10_000)
            assert len(audit) - audit_before == 1000
            assert {a.revision for a in audit[:1000]} == {revision for revision, _ in done}
            final = (await operator.call("GET", TENANT)).json()
            order = [patch for _, patch in sorted(done, key=lambda d: d[0])]
            last_memory = [p["keyed"]["memory"] for p in order if "keyed" in p][-1]
            last_grace = [p["rules"]["drain_grace"] for p in order if "rules" in p][-1]
            assert final["keyed"]["memory"] == last_memory and final["rules"]["drain_grace"] == last_grace
            named = {c for p in order for c in p.get("customers", ())}
            assert set(final["customers"]) == named | {"c"}  # each merge kept the other fields

    async def with_timeout() -> None:
        async with asyncio.timeout(120):
            await test()

    asyncio.run(with_timeout())


def test_concurrent_repeats_of_a_creation_create_one_key(tmp_path: Path, without_rate_limit: None) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _):
            await operator.create_tenant("a")
            path, body = f"{TENANT}/keys", {"customer": "c"}
            got = await asyncio.gather(
                *(operator.call("POST", path, body, Idempotency_Key="same") for _ in range(10)),
                *(operator.call("POST", path, body) for _ in range(10)),
            )
            assert {g.status_code for g in got} == {201}
            assert len({g.json()["id"] for g in got[:10]}) == 1
            assert len((await operator.call("GET", path)).json()["items"]) == 11
            assert sum("key" in g.json() for g in got[:10]) == 1

    run(test())


def test_errors_of_the_store_are_answered_and_no_change_is_partly_written(
    tmp_path: Path, without_rate_limit: None
) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, store):
            await operator.create_tenant("a")
            other = sqlite3.connect(tmp_path / "desired.db", isolation_level=None)
            other.execute("BEGIN IMMEDIATE")
            got = await operator.change("PATCH", TENANT, {"customers": {"x": {"plan": "p"}}})
            assert got.status_code == 503 and got.headers["retry-after"] == "1"
            other.execute("ROLLBACK")
            other.close()
            (pages,) = store.db.execute("PRAGMA page_count").fetchone()
            store.db.execute(f"PRAGMA max_page_count = {pages}")
            files = {"f": described(PATHS), "more": os.urandom(1 << 19).hex()}
            text = {"main": "f", "files": files}
            got = await operator.change("PUT", f"{TENANT}/routes", text)
            assert got.status_code == 507 and "room" in got.json()["detail"]
            store.db.execute("PRAGMA max_page_count = 1000000")
            assert (
                await operator.change("PATCH", TENANT, {"customers": {"x": {"plan": "p"}}})
            ).status_code == 200
            store.db.execute("UPDATE tenants SET body = x'c1'")
            got = await operator.call("GET", TENANT)
            assert got.status_code == 503 and "restore" in got.json()["detail"]

    run(test())


def test_an_answer_waits_until_the_gateways_have_applied_the_change(
    tmp_path: Path, without_rate_limit: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with hosting(tmp_path, follow=0.02) as fixture, api_over_sqlite(tmp_path) as (operator, _):
            await fixture.gateway.follow()
            created = await operator.create_tenant("a")
            assert created.headers["ivymux-in-effect"] == "true"
            (hosted,) = fixture.gateway.tenants.values()
            assert hosted.is_ready and hosted.name == "a"
            usage = (await operator.call("GET", f"{TENANT}/usage")).json()
            assert usage["doors"][0]["door"] == "door" and usage["doors"][0]["in_effect"]
            gone = await operator.change("DELETE", TENANT)
            assert (
                gone.status_code == 204
                and not fixture.gateway.tenants
                and not fixture.gateway.tenants_by_host
            )
            # A live gateway that does not apply the change is reported as such.
            await operator.create_tenant("a")
            monkeypatch.setattr(transactions, "EFFECT_WAIT_S", 0.05)
            for task in list(fixture.gateway.tasks):
                task.cancel()
            slow = await operator.change("DELETE", TENANT)
            assert slow.status_code == 202 and slow.headers["ivymux-in-effect"] == "false"

    run(test())


def test_a_watch_sends_changes_and_the_deletion(tmp_path: Path, without_rate_limit: None) -> None:
    from ivymux.admin.app import Api
    from ivymux.admin.authorization import Principal

    class ConnectedRequest:
        async def is_disconnected(self) -> bool:
            return False

    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, store):
            await operator.create_tenant("a")
            api, uid = Api(store), store.get("a").uid  # type: ignore[union-attr]
            admin = store.admins("")[0]
            events: list[str] = []

            async def listen() -> None:
                principal = Principal(admin.id, admin.name, "")
                async for event in api.events(ConnectedRequest(), principal, "a", uid):  # type: ignore[arg-type]
                    events.append(event)

            listening = asyncio.ensure_future(listen())
            await until(lambda: len(events) == 1)
            await operator.change("PATCH", TENANT, {"customers": {"x": {"plan": "p"}}})
            await until(lambda: len(events) == 2)
            assert events[1].startswith("id: ") and "event: changed" in events[1]
            await operator.change("DELETE", TENANT)
            await listening
            assert "event: gone" in events[-1]

    run(test())


def test_wrong_keys_and_floods_are_rate_limited(tmp_path: Path) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _):
            got = [
                await ApiClient(operator.client, f"ivadm_{n:016x}_{'x' * 43}").call("GET", TENANT)
                for n in range(12)
            ]
            assert [g.status_code for g in got][:5] == [401] * 5 and got[-1].status_code == 429
            assert int(got[-1].headers["retry-after"]) >= 1

    run(test())
    limiter = RateLimiter()
    assert all(limiter.consume("a", 0.0) == 0 for _ in range(int(authorization.BURST_CALLS)))
    wait = limiter.consume("a", 0.0)
    assert wait > 0 and limiter.consume("a", wait) == 0 and limiter.consume("b", 0.0) == 0
    for n in range(authorization.MAX_CALLERS + 10):
        limiter.consume(f"x{n}", 1.0)
    assert len(limiter.buckets) == authorization.MAX_CALLERS


@pytest.mark.parametrize("text", ["", "*", "1", '""', '"x"', 'W/"1"', '"1', "'1'", '"\uff11"'])
def test_an_invalid_etag_matches_nothing(text: str) -> None:
    with pytest.raises(ApiError) as error:
        parse_if_match(text)
    assert error.value.status == 412
    assert parse_if_match('"12"') == 12


def test_errors_of_the_framework_and_of_parsing_are_answered_with_problem_details(
    tmp_path: Path, without_rate_limit: None
) -> None:
    async def test() -> None:
        async with api_over_sqlite(tmp_path) as (operator, _):
            for method, path, status in (("GET", "/nowhere", 404), ("PUT", "/v1/tenants", 405)):
                got = await operator.call(method, path)
                assert got.status_code == status, got.text
                assert got.headers["content-type"] == "application/problem+json"
            await operator.create_tenant("a")
            sent = {"Authorization": f"Bearer {operator.key}", "Idempotency-Key": "k"}
            good = "application/json"
            deep = b"[" * 100_000
            for body, kind, status in (
                (b"{", good, 400), (b"{}", "text/plain", 415), (b"NaN", good, 400), (deep, good, 400)
            ):  # fmt: skip
                headers = sent | {"Content-Type": kind}
                got = await operator.client.post(f"{TENANT}/keys", content=body, headers=headers)
                assert got.status_code == status, got.text
            for query in ("limit=0", "limit=x", "cursor=%25%25", "limit=99999999999999999999"):
                assert (await operator.call("GET", f"{TENANT}/keys?{query}")).status_code == 400, query
            document = (await operator.call("GET", "/v1/openapi.json")).json()
            assert document == openapi_document() and document["openapi"] == "3.1.0"

    run(test())
