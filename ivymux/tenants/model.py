"""A tenant's desired state: one document that is changed and checked as a whole.  Pure.

Large texts (route descriptions, inventories) are stored separately under their digests.  The document
contains no secrets.

The docstrings of the structs that `Tenant` contains are descriptions in the OpenAPI document of the
administration API.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from hashlib import sha256
from typing import Any, Literal

import msgspec

from ivymux.data_plane.limits import ConfigError
from ivymux.inventory.change_policy import Limits as InventoryChangeLimits
from ivymux.service.callers import Caller, CallerError, customer_number
from ivymux.service.site import CallersPart as SiteCallers
from ivymux.service.site import (
    DefaultsPart,
    DescriptionPart,
    InventoryPart,
    KeyedPart,
    PlanPart,
    RulesPart,
    Site,
    SiteFile,
    check_range,
    check_site,
)
from ivymux.service.site import LimitsPart as SiteLimits
from ivymux.tenants.secret import StoredKey
from ivymux.tenants.shares import TenantLimits

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
HOST = re.compile(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?(\.[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?)*\.?")
MAX_HOSTS, MAX_PLANS, MAX_CUSTOMERS, MAX_KEYS = 50, 200, 50_000, 50_000
MAX_FINDINGS = 100  # of one error


class CustomerPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    plan: str


class KeyEntry(StoredKey, frozen=True):
    """A caller's key, as kept."""

    customer: str = ""


class RoutesPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A description: its main file, the digests of all its files by name, and what was compiled of them."""

    main: str = ""
    files: dict[str, str] = {}
    base: str | None = None
    compiled: str = ""  # the digest of `CompiledDescription` as MessagePack


class InventoryRef(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A list of workers: its text, and what was read of it."""

    form: Literal["csv", "yaml"] = "csv"
    digest: str = ""
    parsed: str = ""  # the digest of `Inventory` as MessagePack
    limits: InventoryChangeLimits = InventoryChangeLimits()


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a tenant is to be."""

    hosts: list[str] = []
    header: str = "X-API-Key"
    plans: dict[str, PlanPart] = {}
    customers: dict[str, CustomerPart] = {}
    keys: dict[str, KeyEntry] = {}
    routes: RoutesPart = RoutesPart()
    inventory: InventoryRef = InventoryRef()
    limits: TenantLimits = TenantLimits()
    rules: RulesPart = RulesPart()
    defaults: DefaultsPart = DefaultsPart()
    keyed: KeyedPart = KeyedPart()
    reports: list[str] = []
    suspended: bool = False  # its requests are answered with 503


class Finding(msgspec.Struct, frozen=True):
    """An error or a warning about a tenant's state; `path` is a JSON pointer."""

    level: Literal["error", "warning"]
    path: str
    text: str
    line: int = 0


class TenantError(ValueError):
    """A document is not a valid tenant; `findings` has the reasons."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings[:MAX_FINDINGS]
        super().__init__(findings[0].text if findings else "it can't be taken")


def text_digests(tenant: Tenant) -> set[str]:
    """Return the digests of all texts that a tenant's document refers to."""
    digests = (tenant.routes.compiled, tenant.inventory.digest, tenant.inventory.parsed)
    return {*tenant.routes.files.values(), *(name for name in digests if name)}


def digest(data: bytes) -> str:
    """Return the SHA-256 of a text, in hex, under which it is stored."""
    return sha256(data).hexdigest()


def parse_tenant(document: Any) -> Tenant:
    """Convert a JSON document to a tenant.  Raises TenantError with the path of the first error."""
    try:
        return msgspec.convert(document, Tenant)
    except msgspec.ValidationError as error:
        text, _, place = str(error).rpartition(" - at `$")
        path = "/".join(re.split(r"\.|\[\.\.\.\]", place.rstrip("`"))) if text else ""
        raise TenantError([Finding("error", path, text or str(error))]) from None


def public_document(tenant: Tenant) -> dict[str, Any]:
    """Return a tenant's document for API answers, without the salts and hashes of its keys."""
    document: dict[str, Any] = msgspec.to_builtins(tenant)
    for entry in document["keys"].values():
        del entry["salt"], entry["hash"]
    return document


def site_of(tenant: Tenant) -> Site:
    """Return the settings that a gateway for this tenant alone would have.  Raises ConfigError."""
    return check_site(SiteFile(
        description=DescriptionPart(file=tenant.routes.main or "-", base=tenant.routes.base, watch=0.0),
        callers=SiteCallers(header=tenant.header), plans=tenant.plans, inventory=InventoryPart(file="-"),
        defaults=tenant.defaults, keyed=tenant.keyed, rules=tenant.rules, limits=SiteLimits(),
        reports=tenant.reports,
    ))  # fmt: skip


def callers_of(tenant: Tenant, plans: Mapping[str, int]) -> dict[str, tuple[StoredKey, Caller]]:
    """Return the stored keys with their callers, by key id; `plans` maps names to numbers."""
    callers: dict[str, Caller] = {}
    found: dict[str, tuple[StoredKey, Caller]] = {}
    for key_id, key in tenant.keys.items():
        caller = callers.get(key.customer)
        if caller is None:
            plan = plans[tenant.customers[key.customer].plan]
            callers[key.customer] = caller = Caller(key.customer, customer_number(key.customer), plan)
        found[key_id] = key, caller
    return found


def check_tenant(tenant: Tenant) -> list[Finding]:
    """Return the errors of a tenant that can be found from its document alone."""
    found: list[Finding] = []

    def error(path: str, text: str) -> None:
        found.append(Finding("error", path, text))

    for field, limit in (
        ("hosts", MAX_HOSTS), ("plans", MAX_PLANS), ("customers", MAX_CUSTOMERS), ("keys", MAX_KEYS)
    ):  # fmt: skip
        if len(getattr(tenant, field)) > limit:
            error(f"/{field}", f"there are {len(getattr(tenant, field))}; {limit} are taken")
    seen: set[str] = set()
    for index, host in enumerate(tenant.hosts):
        if len(host) > 253 or not HOST.fullmatch(host):
            error(
                f"/hosts/{index}",
                f"{host[:80]!r} is no host name: small letters and no port",
            )
        if host in seen:
            error(f"/hosts/{index}", f"{host!r} stands twice")
        seen.add(host)
    for name in tenant.plans:
        if not NAME.fullmatch(name):
            error(f"/plans/{name[:80]}", "a name has 1 to 63 small letters, digits and hyphens")
    numbers: dict[int, str] = {}
    for name, customer in tenant.customers.items():
        if not (name.isascii() and name.isprintable() and 1 <= len(name) <= 128):
            error(f"/customers/{name[:80]}", "a customer's name has 1 to 128 printable ASCII characters")
        if customer.plan not in tenant.plans:
            error(f"/customers/{name[:80]}/plan", f"there is no plan {customer.plan[:80]!r}")
        other = numbers.setdefault(customer_number(name), name)
        if other != name:
            error(f"/customers/{name[:80]}", f"has the number of {other!r}: rename it")
    for key_id, key in tenant.keys.items():
        if key.customer not in tenant.customers:
            error(f"/keys/{key_id}/customer", f"there is no customer {key.customer[:80]!r}")
    limits = tenant.limits
    for field, minimum, maximum in (
        ("requests", 0.1, 1e6), ("burst", 1, 1e6), ("open", 1, 100_000), ("connections", 1, 100_000),
        ("held_mb", 0.01, 65_536), ("weight", 0.01, 1000), ("cpu", 0.001, 1),
    ):  # fmt: skip
        try:
            check_range(f"limits.{field}", getattr(limits, field), minimum, maximum)
        except ConfigError as invalid:
            error(f"/limits/{field}", str(invalid))
    if tenant.plans:
        try:
            site_of(tenant)
        except (ConfigError, CallerError) as invalid:
            place, _, text = str(invalid).partition(" ")
            path = "/" + place.rstrip(":").replace(".", "/")
            error(path, text if text.startswith("is ") else str(invalid))
    return found


def missing_parts(tenant: Tenant) -> tuple[str, ...]:
    """Return the names of the parts without which a tenant can't be served.

    The requests of a tenant that lacks a part are answered with 503.
    """
    parts = (
        ("hosts", tenant.hosts), ("plans", tenant.plans), ("routes", tenant.routes.compiled),
        ("inventory", tenant.inventory.parsed),
    )  # fmt: skip
    return tuple(name for name, part in parts if not part)
