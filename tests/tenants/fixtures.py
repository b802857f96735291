"""Builds tenants for tests."""

from __future__ import annotations

import json
from functools import lru_cache
from typing import Any

import msgspec

from ivymux.inventory.csv_reader import write_csv
from ivymux.inventory.model import Inventory, Worker
from ivymux.routes.description import compile_description
from ivymux.service.site import PlanPart
from ivymux.tenants.model import CustomerPart, InventoryRef, KeyEntry, RoutesPart, Tenant, digest, site_of
from ivymux.tenants.secret import CALLER_PREFIX, create_key
from ivymux.tenants.shares import TenantLimits
from tests.routes.describing import described
from tests.service.fixtures import PATHS

OPTIONS = site_of(Tenant(plans={"p": PlanPart(rate=1.0, burst=1.0)})).options


@lru_cache
def compile_routes(routes: bytes) -> bytes:
    return msgspec.msgpack.encode(compile_description("api.json", {"api.json": routes}.__getitem__, OPTIONS))


def key(customer: str, now: float = 0.0) -> tuple[str, str, KeyEntry]:
    """Return a new key's id, the key itself and its stored entry."""
    key_id, plain_key, stored = create_key(CALLER_PREFIX, now)
    entry = KeyEntry(salt=stored.salt, hash=stored.hash, made=stored.made, customer=customer)
    return key_id, plain_key, entry


def tenant(
    name: str, ports: list[int], rate: float = 1e5, paths: Any = None, limits: TenantLimits | None = None
) -> tuple[Tenant, dict[str, bytes], str]:
    """Return a complete tenant with one customer, its texts by digest, and the customer's key."""
    key_id, plain_key, entry = key("c")
    routes = json.dumps(described(paths or PATHS)).encode()
    workers = [Worker(f"w{n}", "127.0.0.1", port, bay=n % 2) for n, port in enumerate(ports)]
    sheet = write_csv(Inventory(tuple(workers)))
    inventory = Inventory(tuple(sorted(workers)))
    compiled, parsed = compile_routes(routes), msgspec.msgpack.encode(inventory)
    state = Tenant(
        hosts=[f"{name}.example"], plans={"p": PlanPart(rate=rate, burst=rate)},
        customers={"c": CustomerPart(plan="p")}, keys={key_id: entry},
        routes=RoutesPart(main="api.json", files={"api.json": digest(routes)}, compiled=digest(compiled)),
        inventory=InventoryRef(digest=digest(sheet), parsed=digest(parsed)), limits=limits or TenantLimits(),
    )  # fmt: skip
    return state, {digest(data): data for data in (routes, sheet, compiled, parsed)}, plain_key
