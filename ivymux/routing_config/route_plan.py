"""The users' configuration: read, checked, compiled into routes.  Pure.

What is invalid is refused with the place and the mend; what is held is the text as it was sent.  A door
reads it by msgspec: pyserde's classes cost it 0.4 s of each start.  The core, which takes it, has both
(validation.py).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

import msgspec

MAX_DEADLINE = 600.0  # seconds
MAX_TEXT = 6 << 20  # bytes of a configuration
TIME = re.compile(r"(-?\d{1,12}(?:\.\d{1,9})?)(ms|s)", re.ASCII)
KINDS = {"idempotent": True, "non_idempotent": False}


class PlanError(ValueError):
    """A configuration that is invalid; the text is one plain line with the place and the mend."""


@dataclass
class Split:
    service_name: str
    weight_value: int | float


@dataclass
class RouteEntry:
    name: str
    host_name: str
    path_prefix: str
    route_type: str = "non_idempotent"
    deadline: str | None = None
    target: str | None = None
    precedence: int = 0
    service_name: str | None = None
    weighted_split: list[Split] | None = None
    max_attempts: int = 1
    no_auth: bool = False


@dataclass
class ServiceEntry:
    name: str
    health_path: str = "/"
    conn_limit: int = 0


@dataclass
class TenantEntry:
    name: str
    api_keys: list[str] = field(default_factory=list)
    precedence: int = 0
    rate_per_s: int | float = 0
    burst_size: int | float = 0


@dataclass
class LimitsEntry:
    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


@dataclass
class Document:
    config_version: int
    route_table: list[RouteEntry]
    service_table: list[ServiceEntry]
    limits: LimitsEntry = field(default_factory=LimitsEntry)
    tenant_table: list[TenantEntry] | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times in seconds."""

    name: str
    host: str
    prefix: str
    repeatable: bool
    deadline: float
    target: float
    rank: int
    most: int  # backends to which a try may be sent
    open: bool
    split: tuple[tuple[str, float], ...]  # services and their weights, those of weight 0 left out

    def service(self, draw: float) -> str:
        """The service for a draw from 0 up to 1."""
        at = draw * sum(weight for _, weight in self.split)
        for name, weight in self.split:
            at -= weight
            if at < 0:
                return name
        return self.split[-1][0]


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    health: str
    connections: int  # from all callers together; 0: no limit is known


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    rank: int
    rate: float  # requests a second; 0: no limit
    burst: float


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a client may send, and how long it may take; seconds and bytes."""

    header_bytes: int
    body_bytes: int
    header_time: float
    idle_time: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A configuration, compiled."""

    version: int
    hosts: dict[str, tuple[Route, ...]]  # the longest prefix first
    services: dict[str, Service]
    tenants: dict[str, Tenant]
    keys: dict[bytes, str]
    keyed: bool  # whether requests carry keys
    bounds: Bounds

    def find(self, host: str, path: str) -> Route | None:
        """The route for a host and a path, without its query."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def seconds(text: object, where: str, default: float) -> float:
    if text is None:
        return default
    found = TIME.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise PlanError(f"{where}: {text!r} is no time; write a number and ms or s, as 1500ms")
    return float(found[1]) / (1000 if found[2] == "ms" else 1)


def read(text: bytes) -> Document:
    """The document in a configuration's text.  Raises PlanError."""
    if len(text) > MAX_TEXT:
        raise PlanError(f"the configuration has {len(text)} bytes; {MAX_TEXT} at most")
    try:
        raw: Any = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PlanError(f"the configuration is no whole JSON: {error}") from None
    if not isinstance(raw, dict):
        raise PlanError("the configuration is no object; send config_version, route_table, service_table")
    version = raw.get("config_version")
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        raise PlanError("config_version: write a whole number of 0 or more")
    try:
        return msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        raise PlanError(f"the configuration: {error}") from None


def compile(document: Document) -> Plan:
    """The plan of a document.  Raises PlanError."""
    services: dict[str, Service] = {}
    for number, entry in enumerate(document.service_table):
        where = f"service_table[{number}]"
        if not text_of(entry.name, f"{where}.name") or entry.name in services:
            raise PlanError(f"{where}.name: {entry.name!r} is empty or stands twice; name each service once")
        services[entry.name] = Service(entry.name, str(entry.health_path), number_of(entry.conn_limit, where))
    hosts: dict[str, list[Route]] = {}
    places: set[tuple[str, str]] = set()
    for number, line in enumerate(document.route_table):
        route = route_of(line, f"route_table[{number}] ({line.name})", services)
        if (route.host, route.prefix) in places:
            raise PlanError(
                f"route_table[{number}] ({line.name}): host_name and path_prefix stand twice; change one"
            )
        places.add((route.host, route.prefix))
        hosts.setdefault(route.host, []).append(route)
    tenants: dict[str, Tenant] = {}
    keys: dict[bytes, str] = {}
    for number, person in enumerate(document.tenant_table or ()):
        where = f"tenant_table[{number}]"
        if not text_of(person.name, f"{where}.name") or person.name in tenants:
            raise PlanError(f"{where}.name: {person.name!r} is empty or stands twice; name each tenant once")
        rate, burst = (
            float(number_of(value, f"{where}.{name}"))
            for name, value in (("rate_per_s", person.rate_per_s), ("burst_size", person.burst_size))
        )
        tenants[person.name] = Tenant(person.name, int(person.precedence), max(0.0, rate), max(0.0, burst))
        for key in person.api_keys:
            name = text_of(key, f"{where}.api_keys").encode()
            if keys.get(name, person.name) != person.name:
                raise PlanError(
                    f"{where}.api_keys: one of them is another tenant's key; give each tenant its own"
                )
            keys[name] = person.name
    limits = document.limits
    bounds = Bounds(
        int(number_of(limits.max_header_bytes, "limits.max_header_bytes")),
        int(number_of(limits.max_body_bytes, "limits.max_body_bytes")),
        seconds(limits.header_timeout, "limits.header_timeout", 3.0),
        seconds(limits.idle_timeout, "limits.idle_timeout", 15.0),
    )
    ordered = {h: tuple(sorted(rs, key=lambda r: -len(r.prefix))) for h, rs in hosts.items()}
    return Plan(
        document.config_version, ordered, services, tenants, keys, document.tenant_table is not None, bounds
    )


def text_of(value: object, where: str) -> str:
    if not isinstance(value, str):
        raise PlanError(f"{where}: {value!r} is no text")
    return value


def number_of(value: object, where: str) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise PlanError(f"{where}: {value!r} is no number")
    return value


def route_of(line: RouteEntry, where: str, services: dict[str, Service]) -> Route:
    """One route, checked.  Raises PlanError."""
    if not text_of(line.path_prefix, f"{where}.path_prefix").startswith("/"):
        raise PlanError(f"{where}.path_prefix: {line.path_prefix!r} lacks its first slash; put one there")
    if line.route_type not in KINDS:
        raise PlanError(f"{where}.route_type: {line.route_type!r}; write idempotent or non_idempotent")
    deadline = seconds(line.deadline, f"{where}.deadline", 30.0)
    if not 0 < deadline <= MAX_DEADLINE:
        raise PlanError(f"{where}.deadline: {line.deadline!r}; write more than 0 and ten minutes at most")
    if line.weighted_split is not None:
        parts = [(part.service_name, number_of(part.weight_value, where)) for part in line.weighted_split]
    elif line.service_name is not None:
        parts = [(line.service_name, 1.0)]
    else:
        raise PlanError(f"{where}: names no service; give service_name or weighted_split")
    for name, weight in parts:
        if name not in services:
            raise PlanError(f"{where}: service {name!r} is not in service_table; add it there")
        if weight < 0:
            raise PlanError(f"{where}.weighted_split: a weight of {weight}; write 0 or more")
    if sum(weight for _, weight in parts) <= 0:
        raise PlanError(f"{where}.weighted_split: the weights sum to 0; give one service more")
    return Route(
        line.name, text_of(line.host_name, f"{where}.host_name").lower(), line.path_prefix,
        KINDS[line.route_type], deadline, seconds(line.target, f"{where}.target", deadline),
        int(line.precedence),
        max(1, int(number_of(line.max_attempts, f"{where}.max_attempts"))), line.no_auth is True,
        tuple((name, float(weight)) for name, weight in parts if weight > 0),
    )  # fmt: skip


def plan_of(text: bytes) -> Plan:
    """The plan of a configuration's text.  Raises PlanError."""
    return compile(read(text))
