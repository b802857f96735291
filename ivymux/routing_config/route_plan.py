"""The users' configuration: decoded, checked and compiled into a plan of routes.  Pure.

An invalid configuration is refused with the place and how to correct it.  The text is stored and passed on as
the operator sent it.  Proxies decode the text with msgspec alone, as importing pyserde's classes would add
0.4 s to each start; core machines, which accept it, check it with both (validation.py).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ivymux.json_values import MAX_VALUES, has_too_many_values

MAX_DEADLINE_S = 600.0
DEFAULT_DEADLINE_S = 30.0
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
MAX_TEXT_BYTES = 6 << 20  # of a configuration
DURATION = re.compile(r"(-?\d{1,12}(?:\.\d{1,9})?)(ms|s)", re.ASCII)
IS_IDEMPOTENT = {"idempotent": True, "non_idempotent": False}  # by `route_type`


class RoutingConfigError(ValueError):
    """An invalid configuration; the text is one line that names the place and how to correct it."""


@dataclass
class Split:
    """One service of a route's weighted split."""

    service_name: str
    weight_value: int | float


@dataclass
class RouteEntry:
    """An entry of `route_table`."""

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
    """An entry of `service_table`."""

    name: str
    health_path: str = "/"
    conn_limit: int = 0
    shard_mode: bool = False


@dataclass
class TenantEntry:
    """An entry of `tenant_table`."""

    name: str
    api_keys: list[str] = field(default_factory=list)
    precedence: int = 0
    rate_per_s: int | float = 0
    burst_size: int | float = 0


@dataclass
class LimitsEntry:
    """The table `limits`; sizes in bytes, times as texts such as `3s`."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


@dataclass
class Document:
    """A configuration as operators write it; the classes above are its parts."""

    config_version: int
    route_table: list[RouteEntry]
    service_table: list[ServiceEntry]
    limits: LimitsEntry = field(default_factory=LimitsEntry)
    tenant_table: list[TenantEntry] | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """A compiled route."""

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    deadline_s: float
    target_latency_s: float
    precedence: int
    max_attempts: int  # that reach a backend, each at another one
    no_auth: bool
    weighted_services: tuple[tuple[str, float], ...]  # names and weights, without those of weight 0

    def choose_service(self, draw: float) -> str:
        """Return the service for a draw from 0 up to 1."""
        remaining = draw * sum(weight for _, weight in self.weighted_services)
        for name, weight in self.weighted_services:
            remaining -= weight
            if remaining < 0:
                return name
        return self.weighted_services[-1][0]


@dataclass(frozen=True, slots=True)
class Service:
    """A compiled service."""

    name: str
    health_path: str
    max_connections: int  # from all callers together; 0: the limit is unknown
    is_sharded: bool = False  # whether its backends divide its keys among them


@dataclass(frozen=True, slots=True)
class Tenant:
    """A compiled tenant; its keys are in `RoutePlan.tenant_by_key`."""

    name: str
    precedence: int
    rate_per_s: float  # of requests; 0: no limit
    burst_size: float


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """A compiled configuration."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]  # the longest prefix first
    services: dict[str, Service]
    tenants: dict[str, Tenant]
    tenant_by_key: dict[bytes, str]
    has_tenants: bool  # if so, requests need an API key
    client_limits: ClientLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route for a host and a path without query; None if no route matches."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def duration(text: object, where: str, default_s: float) -> float:
    """Convert a time such as `1500ms` to seconds; None to `default_s`.  Raises RoutingConfigError."""
    if text is None:
        return default_s
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise RoutingConfigError(f"{where}: {text!r} is no time; write a number and ms or s, as 1500ms")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def required_text(value: object, where: str) -> str:
    """Return a value that has to be a text.  Raises RoutingConfigError."""
    if not isinstance(value, str):
        raise RoutingConfigError(f"{where}: {value!r} is no text")
    return value


def required_number(value: object, where: str) -> Any:
    """Return a value that has to be a number.  Raises RoutingConfigError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise RoutingConfigError(f"{where}: {value!r} is no number")
    return value


def decode_document(text: bytes) -> Document:
    """Decode a configuration's text.  Raises RoutingConfigError."""
    if len(text) > MAX_TEXT_BYTES:
        raise RoutingConfigError(f"the configuration has {len(text)} bytes; {MAX_TEXT_BYTES} at most")
    if has_too_many_values(text):
        raise RoutingConfigError(f"the configuration may hold more than {MAX_VALUES} values; send fewer")
    try:
        raw: Any = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RoutingConfigError(f"the configuration is no whole JSON: {error}") from None
    if not isinstance(raw, dict):
        raise RoutingConfigError(
            "the configuration is no object; send config_version, route_table, service_table"
        )
    version = raw.get("config_version")
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        raise RoutingConfigError("config_version: write a whole number of 0 or more")
    try:
        return msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        raise RoutingConfigError(f"the configuration: {error}") from None


def compile_document(document: Document) -> RoutePlan:
    """Check a document and compile it.  Raises RoutingConfigError."""
    services = compile_services(document.service_table)
    routes_by_host = compile_routes(document.route_table, services)
    tenants, tenant_by_key = compile_tenants(document.tenant_table or [])
    limits = document.limits
    client_limits = ClientLimits(
        int(required_number(limits.max_header_bytes, "limits.max_header_bytes")),
        int(required_number(limits.max_body_bytes, "limits.max_body_bytes")),
        duration(limits.header_timeout, "limits.header_timeout", DEFAULT_HEADER_TIMEOUT_S),
        duration(limits.idle_timeout, "limits.idle_timeout", DEFAULT_IDLE_TIMEOUT_S),
    )
    return RoutePlan(
        version=document.config_version,
        routes_by_host=routes_by_host,
        services=services,
        tenants=tenants,
        tenant_by_key=tenant_by_key,
        has_tenants=document.tenant_table is not None,
        client_limits=client_limits,
    )


def compile_services(entries: list[ServiceEntry]) -> dict[str, Service]:
    """Return the services by name.  Raises RoutingConfigError."""
    services: dict[str, Service] = {}
    for number, entry in enumerate(entries):
        where = f"service_table[{number}]"
        if not required_text(entry.name, f"{where}.name") or entry.name in services:
            raise RoutingConfigError(
                f"{where}.name: {entry.name!r} is empty or stands twice; name each service once"
            )
        max_connections = required_number(entry.conn_limit, where)
        services[entry.name] = Service(
            entry.name, str(entry.health_path), max_connections, entry.shard_mode is True
        )
    return services


def compile_routes(entries: list[RouteEntry], services: dict[str, Service]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, the longest prefix first.  Raises RoutingConfigError."""
    routes_by_host: dict[str, list[Route]] = {}
    known: set[tuple[str, str]] = set()
    for number, entry in enumerate(entries):
        where = f"route_table[{number}] ({entry.name})"
        route = compile_route(entry, where, services)
        if (route.host, route.path_prefix) in known:
            raise RoutingConfigError(f"{where}: host_name and path_prefix stand twice; change one")
        known.add((route.host, route.path_prefix))
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
        for host, routes in routes_by_host.items()
    }


def compile_route(entry: RouteEntry, where: str, services: dict[str, Service]) -> Route:
    """Check one route and compile it.  Raises RoutingConfigError."""
    if not required_text(entry.path_prefix, f"{where}.path_prefix").startswith("/"):
        raise RoutingConfigError(
            f"{where}.path_prefix: {entry.path_prefix!r} lacks its first slash; put one there"
        )
    if entry.route_type not in IS_IDEMPOTENT:
        raise RoutingConfigError(
            f"{where}.route_type: {entry.route_type!r}; write idempotent or non_idempotent"
        )
    deadline_s = duration(entry.deadline, f"{where}.deadline", DEFAULT_DEADLINE_S)
    if not 0 < deadline_s <= MAX_DEADLINE_S:
        raise RoutingConfigError(
            f"{where}.deadline: {entry.deadline!r}; write more than 0 and ten minutes at most"
        )
    weighted_services = compile_split(entry, where, services)
    return Route(
        name=entry.name,
        host=required_text(entry.host_name, f"{where}.host_name").lower(),
        path_prefix=entry.path_prefix,
        is_idempotent=IS_IDEMPOTENT[entry.route_type],
        deadline_s=deadline_s,
        target_latency_s=duration(entry.target, f"{where}.target", deadline_s),
        precedence=int(entry.precedence),
        max_attempts=max(1, int(required_number(entry.max_attempts, f"{where}.max_attempts"))),
        no_auth=entry.no_auth is True,
        weighted_services=weighted_services,
    )


def compile_split(
    entry: RouteEntry, where: str, services: dict[str, Service]
) -> tuple[tuple[str, float], ...]:
    """Return names and weights of a route's services, without weight 0.  Raises RoutingConfigError."""
    if entry.weighted_split is not None:
        split = [
            (part.service_name, required_number(part.weight_value, where)) for part in entry.weighted_split
        ]
    elif entry.service_name is not None:
        split = [(entry.service_name, 1.0)]
    else:
        raise RoutingConfigError(f"{where}: names no service; give service_name or weighted_split")
    for name, weight in split:
        if name not in services:
            raise RoutingConfigError(f"{where}: service {name!r} is not in service_table; add it there")
        if weight < 0:
            raise RoutingConfigError(f"{where}.weighted_split: a weight of {weight}; write 0 or more")
    if sum(weight for _, weight in split) <= 0:
        raise RoutingConfigError(f"{where}.weighted_split: the weights sum to 0; give one service more")
    return tuple((name, float(weight)) for name, weight in split if weight > 0)


def compile_tenants(entries: list[TenantEntry]) -> tuple[dict[str, Tenant], dict[bytes, str]]:
    """Return the tenants by name, and the tenants' names by API key.  Raises RoutingConfigError."""
    tenants: dict[str, Tenant] = {}
    tenant_by_key: dict[bytes, str] = {}
    for number, entry in enumerate(entries):
        where = f"tenant_table[{number}]"
        if not required_text(entry.name, f"{where}.name") or entry.name in tenants:
            raise RoutingConfigError(
                f"{where}.name: {entry.name!r} is empty or stands twice; name each tenant once"
            )
        rate_per_s = float(required_number(entry.rate_per_s, f"{where}.rate_per_s"))
        burst_size = float(required_number(entry.burst_size, f"{where}.burst_size"))
        tenants[entry.name] = Tenant(
            entry.name, int(entry.precedence), max(0.0, rate_per_s), max(0.0, burst_size)
        )
        for text in entry.api_keys:
            key = required_text(text, f"{where}.api_keys").encode()
            if tenant_by_key.get(key, entry.name) != entry.name:
                raise RoutingConfigError(
                    f"{where}.api_keys: one of them is another tenant's key; give each tenant its own"
                )
            tenant_by_key[key] = entry.name
    return tenants, tenant_by_key


def parse_route_plan(text: bytes) -> RoutePlan:
    """Decode and compile a configuration's text.  Raises RoutingConfigError."""
    return compile_document(decode_document(text))
