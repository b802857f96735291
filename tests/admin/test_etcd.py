"""The administration API over a desired state in etcd."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from ivymux.admin import authorization, operations
from ivymux.desired.etcd.store import EtcdStore
from standins.etcd import EtcdServer, etcd_server
from tests.admin.api_client import ROUTES, ApiClient, api_over_store
from tests.desired.etcd_fixtures import access
from tests.sockets import run

TENANT = "/v1/tenants/a"


@pytest.fixture(autouse=True)
def without_rate_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(authorization, "CALLS_PER_S", 1e6)
    monkeypatch.setattr(authorization, "BURST_CALLS", 1e6)


@contextlib.asynccontextmanager
async def api_over_etcd(timeout: float = 2.0) -> AsyncIterator[tuple[ApiClient, EtcdServer, EtcdStore]]:
    with etcd_server() as server:
        store = EtcdStore(access(server, timeout=timeout))
        async with api_over_store(store) as caller:
            yield caller, server, store
        store.close()


def test_a_tenant_is_created_changed_read_and_deleted() -> None:
    async def test() -> None:
        async with api_over_etcd() as (olga, _server, store):
            await olga.create_tenant("a")
            got = await olga.call("GET", TENANT)
            etag = got.headers["etag"]
            done = await olga.call("PATCH", TENANT, {"customers": {"d": {"plan": "p"}}}, etag)
            assert done.status_code == 200 and done.headers["ivymux-in-effect"] == "true"
            conflict = await olga.call("PATCH", TENANT, {"customers": {"e": {"plan": "p"}}}, etag)
            assert conflict.status_code == 412 and conflict.headers["etag"] == done.headers["etag"]
            (conflicting_change,) = conflict.json()["changed"]
            assert conflicting_change["changes"] == [{"path": "/customers/d", "after": {"plan": "p"}}]
            assert (await olga.call("GET", f"{TENANT}/routes")).json()["main"] == ROUTES["main"]
            assert "w0" in (await olga.call("GET", f"{TENANT}/inventory")).json()["text"]
            ann = await olga.create_administrator("a")
            assert (await ann.call("GET", TENANT)).status_code == 200
            assert (await ann.call("GET", "/v1/tenants/b")).status_code == 404
            history = (await olga.call("GET", f"{TENANT}/history")).json()["items"]
            audit = (await olga.call("GET", f"{TENANT}/audit?limit=2")).json()
            assert len(history) == 5 and len(audit["items"]) == 2 and audit["next"]
            page = (await olga.call("GET", "/v1/tenants?limit=1")).json()
            assert [t["name"] for t in page["items"]] == ["a"]
            taken = await olga.call("POST", "/v1/tenants", {"name": "b", "hosts": ["a.example"]})
            assert taken.status_code == 409
            assert (await olga.change("DELETE", TENANT)).status_code == 204
            assert (await ann.call("GET", TENANT)).status_code == 401
            again = await olga.create_tenant("a")
            assert again.status_code == 200 and store.admins(store.get("a").uid) == []  # type: ignore[union-attr]

    run(test())


def test_errors_of_etcd_are_answered_and_a_repeated_creation_creates_one_key() -> None:
    async def test() -> None:
        async with api_over_etcd(timeout=0.3) as (olga, server, _store):
            await olga.create_tenant("a")
            faults = server.etcd.faults
            faults.unanswered_txns = 1  # the key is created, but etcd's answer is lost
            body = {"customer": "c"}
            first = await olga.call("POST", f"{TENANT}/keys", body, Idempotency_Key="same")
            assert first.status_code == 201
            second = await olga.call("POST", f"{TENANT}/keys", body, Idempotency_Key="same")
            assert second.status_code == 201 and second.json()["id"] == first.json()["id"]
            assert "key" not in second.json()
            assert len((await olga.call("GET", f"{TENANT}/keys")).json()["items"]) == 1
            faults.partition = True
            got = await olga.call("GET", TENANT)
            assert got.status_code == 503 and got.headers["retry-after"] == "1"
            faults.partition = False
            faults.no_space = True
            got = await olga.change("PATCH", TENANT, {"customers": {"x": {"plan": "p"}}})
            assert got.status_code == 507 and "defragment" in got.json()["detail"]
            faults.no_space = False
            got = await olga.change("PATCH", TENANT, {"customers": {"x": {"plan": "p"}}})
            assert got.status_code == 200
            server.run_on_loop(server.etcd.reset)  # an empty etcd
            got = await olga.call("GET", TENANT)
            assert got.status_code in (401, 503)
            created: Any = await olga.call("POST", "/v1/tenants", {"name": "z"})
            assert created.status_code in (401, 503) and server.etcd.revision == 1

    run(test())


def test_concurrent_changes_of_two_apis_over_one_etcd_keep_all_fields() -> None:
    async def test() -> None:
        async with api_over_etcd() as (olga, server, _store):
            await olga.create_tenant("a")
            other = EtcdStore(access(server))
            async with api_over_store(other) as ann:

                async def add_customers(caller: ApiClient, names: list[str]) -> None:
                    for name in names:
                        patch = {"customers": {name: {"plan": "p"}}}
                        while (await caller.change("PATCH", TENANT, patch)).status_code == 412:
                            await asyncio.sleep(0)

                first, second = [f"o{n}" for n in range(15)], [f"a{n}" for n in range(15)]
                await asyncio.gather(add_customers(olga, first), add_customers(ann, second))
                final = (await olga.call("GET", TENANT)).json()["customers"]
                assert set(final) == {"c", *first, *second}
            other.close()

    run(test())


def test_the_number_of_a_tenants_administrators_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operations, "MAX_ADMINS", 2)

    async def test() -> None:
        async with api_over_etcd() as (olga, _, _store):
            await olga.create_tenant("a")
            for _ in range(2):
                await olga.create_administrator("a")
            got = await olga.call("POST", f"{TENANT}/administrators", {"name": "third"})
            assert got.status_code == 409 and "dismiss" in got.json()["detail"]

    run(test())
