"""The administration API without a socket, and a client for its calls."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import Any

import httpx

from ivymux.admin.app import application
from ivymux.desired.model import Admin, Store
from ivymux.desired.sqlite import SqliteStore
from ivymux.inventory.csv_reader import write_csv
from ivymux.inventory.model import Inventory, Worker
from ivymux.tenants import secret
from ivymux.tenants.places import ANY_ADDRESS, AddressRules
from tests.routes.describing import described
from tests.service.fixtures import PATHS

IDEMPOTENCY_KEY_NUMBERS = count()
SHEET = write_csv(Inventory((Worker("w0", "127.0.0.1", 9),))).decode()
ROUTES = {"main": "api.json", "files": {"api.json": described(PATHS)}}


@dataclass
class ApiClient:
    """A client with one key."""

    client: httpx.AsyncClient
    key: str

    async def call(
        self, method: str, path: str, body: Any = None, etag: str | None = None, **extra_headers: str
    ) -> httpx.Response:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        if etag is not None:
            headers["If-Match"] = etag
        if method == "POST":
            headers["Idempotency-Key"] = f"k{next(IDEMPOTENCY_KEY_NUMBERS)}"
        if body is not None:
            content_type = "application/merge-patch+json" if method == "PATCH" else "application/json"
            headers["Content-Type"] = content_type
        headers |= {k.replace("_", "-"): v for k, v in extra_headers.items()}
        data = json.dumps(body) if body is not None else None
        return await self.client.request(method, path, content=data, headers=headers)

    async def change(self, method: str, path: str, body: Any = None, **extra_headers: str) -> httpx.Response:
        """Change a tenant with the entity tag of its current state."""
        tenant = "/".join(path.split("/")[:4])
        current = await self.call("GET", tenant)
        return await self.call(method, path, body, current.headers.get("etag", '"0"'), **extra_headers)

    async def create_tenant(self, name: str) -> httpx.Response:
        """Create a complete tenant."""
        created = await self.call("POST", "/v1/tenants", {
            "name": name, "hosts": [f"{name}.example"], "plans": {"p": {"rate": 10.0, "burst": 10.0}},
            "customers": {"c": {"plan": "p"}},
        })  # fmt: skip
        assert created.status_code == 201, created.text
        for part, body in (("routes", ROUTES), ("inventory", {"form": "csv", "text": SHEET})):
            put = await self.change("PUT", f"/v1/tenants/{name}/{part}", body)
            assert put.status_code == 200, put.text
        return put

    async def create_administrator(self, name: str) -> ApiClient:
        response = await self.call("POST", f"/v1/tenants/{name}/administrators", {"name": f"adm of {name}"})
        assert response.status_code == 201, response.text
        return ApiClient(self.client, response.json()["key"])


@contextlib.asynccontextmanager
async def api_over_sqlite(folder: Path) -> AsyncIterator[tuple[ApiClient, SqliteStore]]:
    """Serve the API over SQLite; yield an operator's client and the store."""
    store = SqliteStore(folder / "desired.db", busy_timeout_s=0.2)
    async with api_over_store(store) as caller:
        yield caller, store
    store.close()


@contextlib.asynccontextmanager
async def api_over_store(store: Store, address_rules: AddressRules = ANY_ADDRESS) -> AsyncIterator[ApiClient]:
    """Serve the API over a store; yield an operator's client."""
    key_id, key, stored = secret.create_key(secret.ADMIN_PREFIX, time.time())
    store.add_operator(Admin(key_id, "olga", "", stored), time.time())
    transport = httpx.ASGITransport(application(store, address_rules), raise_app_exceptions=False)
    async with httpx.AsyncClient(transport=transport, base_url="http://admin.example", timeout=30) as client:
        yield ApiClient(client, key)
