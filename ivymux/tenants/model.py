"""A tenant's desired state: one document, changed and checked as a whole.  Pure.

Large texts (descriptions, inventories) stand beside it, named by their digests; the document holds no secret.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Any, Literal

import msgspec

from ivymux.data_plane.limits import ConfigError
from ivymux.inventory.change_policy import Limits as JudgeLimits
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
    bounded,
    checked,
)
from ivymux.service.site import LimitsPart as SiteLimits
from ivymux.tenants.secret import Kept
from ivymux.tenants.shares import TenantLimits

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
HOST = re.compile(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?(\.[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?)*\.?")
MAX_HOSTS, MAX_PLANS, MAX_CUSTOMERS, MAX_KEYS = 50, 200, 50_000, 50_000
MAX_FINDINGS = 100


class CustomerPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    plan: str


class KeyEntry(Kept, frozen=True):
    """A caller's key, as kept."""

    customer: str = ""


class RoutesPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A description: its main file, the digests of all its files by name, and what was compiled of them."""

    main: str = ""
    files: dict[str, str] = {}
    base: str | None = None
    compiled: str = ""  # the digest of `Compiled` as MessagePack


class InventoryRef(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A list of workers: its text, and what was read of it."""

    form: Literal["csv", "yaml"] = "csv"
    digest: str = ""
    parsed: str = ""  # the digest of `Inventory` as MessagePack
    limits: JudgeLimits = JudgeLimits()


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
    suspended: bool = False  # answered with 503 and not served


class Finding(msgspec.Struct, frozen=True):
    """One thing that keeps a change from being served, or that may be a slip; `path` is a JSON pointer."""

    level: Literal["error", "warning"]
    path: str
    text: str
    line: int = 0


class TenantError(ValueError):
    """A document that can't be a tenant's."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings[:MAX_FINDINGS]
        super().__init__(findings[0].text if findings else "it can't be taken")


def texts(tenant: Tenant) -> set[str]:
    """The digests of all that stands beside a tenant's document."""
    named = (tenant.routes.compiled, tenant.inventory.digest, tenant.inventory.parsed)
    return {*tenant.routes.files.values(), *(name for name in named if name)}


def digest(data: bytes) -> str:
    return sha256(data).hexdigest()


def read(document: Any) -> Tenant:
    """A JSON document as a tenant.  Raises TenantError, with the place."""
    try:
        return msgspec.convert(document, Tenant)
    except msgspec.ValidationError as error:
        text, _, place = str(error).rpartition(" - at `$")
        path = "/".join(re.split(r"\.|\[\.\.\.\]", place.rstrip("`"))) if text else ""
        raise TenantError([Finding("error", path, text or str(error))]) from None


def shown(tenant: Tenant) -> dict[str, Any]:
    """A tenant's document as anyone with a right to it may see it: of keys neither salt nor hash."""
    document: dict[str, Any] = msgspec.to_builtins(tenant)
    for entry in document["keys"].values():
        del entry["salt"], entry["hash"]
    return document


def site_of(tenant: Tenant) -> Site:
    """The settings that a front door of one tenant has.  Raises ConfigError."""
    return checked(SiteFile(
        description=DescriptionPart(file=tenant.routes.main or "-", base=tenant.routes.base, watch=0.0),
        callers=SiteCallers(header=tenant.header), plans=tenant.plans, inventory=InventoryPart(file="-"),
        defaults=tenant.defaults, keyed=tenant.keyed, rules=tenant.rules, limits=SiteLimits(),
        reports=tenant.reports,
    ))  # fmt: skip


def callers_of(tenant: Tenant, plans: Mapping[str, int]) -> dict[str, tuple[Kept, Caller]]:
    """The callers by their keys' ids."""
    made: dict[str, Caller] = {}
    found: dict[str, tuple[Kept, Caller]] = {}
    for number, key in tenant.keys.items():
        caller = made.get(key.customer)
        if caller is None:
            plan = plans[tenant.customers[key.customer].plan]
            made[key.customer] = caller = Caller(key.customer, customer_number(key.customer), plan)
        found[number] = key, caller
    return found


def check(tenant: Tenant) -> list[Finding]:
    """What keeps a tenant from being served, seen from its document alone."""
    found: list[Finding] = []

    def error(path: str, text: str) -> None:
        found.append(Finding("error", path, text))

    for field, most in (
        ("hosts", MAX_HOSTS), ("plans", MAX_PLANS), ("customers", MAX_CUSTOMERS), ("keys", MAX_KEYS)
    ):  # fmt: skip
        if len(getattr(tenant, field)) > most:
            error(f"/{field}", f"there are {len(getattr(tenant, field))}; {most} are taken")
    seen: set[str] = set()
    for at, host in enumerate(tenant.hosts):
        if len(host) > 253 or not HOST.fullmatch(host):
            error(
                f"/hosts/{at}",
                f"{host[:80]!r} is no host name: small letters and no port",
            )
        if host in seen:
            error(f"/hosts/{at}", f"{host!r} stands twice")
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
    for number, key in tenant.keys.items():
        if key.customer not in tenant.customers:
            error(f"/keys/{number}/customer", f"there is no customer {key.customer[:80]!r}")
    limits = tenant.limits
    for field, least, top in (
        ("requests", 0.1, 1e6), ("burst", 1, 1e6), ("open", 1, 100_000), ("connections", 1, 100_000),
        ("held_mb", 0.01, 65_536), ("weight", 0.01, 1000), ("cpu", 0.001, 1),
    ):  # fmt: skip
        try:
            bounded(f"limits.{field}", getattr(limits, field), least, top)
        except ConfigError as wrong:
            error(f"/limits/{field}", str(wrong))
    if tenant.plans:
        try:
            site_of(tenant)
        except (ConfigError, CallerError) as wrong:
            place, _, text = str(wrong).partition(" ")
            path = "/" + place.rstrip(":").replace(".", "/")
            error(path, text if text.startswith("is ") else str(wrong))
    return found


@dataclass(frozen=True, slots=True)
class Whole:
    """Whether a tenant can be served at all; what it lacks where it can't."""

    lacks: tuple[str, ...]

    @classmethod
    def of(cls, tenant: Tenant) -> Whole:
        """A tenant that was just made lacks parts; it is answered with 503 until it has all."""
        parts = (
            ("hosts", tenant.hosts), ("plans", tenant.plans), ("routes", tenant.routes.compiled),
            ("inventory", tenant.inventory.parsed),
        )  # fmt: skip
        return cls(tuple(name for name, part in parts if not part))
