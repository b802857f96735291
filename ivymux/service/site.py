"""A site file (TOML) as typed settings.  Pure: text in, a site or one clear error out."""

from __future__ import annotations

import math
import tomllib
from ipaddress import ip_network
from typing import Any

import msgspec

from ivymux.data_plane.limits import Address, ConfigError, parse_address
from ivymux.inventory.change_policy import Limits
from ivymux.inventory.model import FieldError, Worker, parse_worker_address
from ivymux.routes.model import ClassDefaults, CompiledDescription, Options
from ivymux.service.callers import CallerError, Callers
from ivymux.tally.engine import RedisPart, check_redis_settings
from orchidhill import interface as i


class SiteError(ConfigError):
    """A site file that can't be served; the text names the file, the place and what to write."""


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class DescriptionPart(Part, frozen=True):
    file: str
    base: str | None = None  # instead of the base paths of `servers`
    watch: float = 1.0  # seconds between looks for a change; 0: only on SIGHUP
    cache: str = ""  # a folder for compiled descriptions; empty: none
    most_operations: int = 20_000


class DefaultsPart(Part, frozen=True):
    aim: float = 2.0  # seconds in which an answer is wanted
    deadline: float = 10.0  # seconds after which a request is answered whatever happened
    worth: float = 1.0


class KeyedPart(Part, frozen=True):
    memory: float = 0.0  # seconds for which workers drop a repeat with the same key; 0: they do not
    scope: str = "bay"  # which workers share that memory: all, room or bay


class KeyPart(Part, frozen=True):
    customer: str
    plan: str
    hash: str


class CallersPart(Part, frozen=True):
    header: str = "X-API-Key"
    keys: list[KeyPart] = []


class CeilingPart(Part, frozen=True):
    rate: float
    burst: float
    slack: float = 0.1


class PlanPart(Part, frozen=True):
    rate: float = 0.0  # units a second; 0: no quota
    burst: float = 0.0  # units that may be used at once
    parallel: int = 0  # requests open at once; 0: no such limit
    ceiling: CeilingPart | None = None
    price: float = 1.0  # what its answers count beside those of other plans
    over_cost: float = 2.0  # what a request beyond the quota costs, over what one within it earns


class WorkerPart(Part, frozen=True):
    name: str
    address: str
    room: str = "main"
    bay: int = 0
    weight: float = 1.0


class InventoryPart(Part, frozen=True):
    file: str
    state: str = ""  # a folder for the last good lists; empty: memory only
    watch: float = 0.25  # seconds between looks
    settle: float = 0.5  # seconds that the file rests before it is read
    limits: Limits = Limits()


class RulesPart(Part, frozen=True):
    drain_grace: float = 2.0  # seconds
    cold_share: float = 0.2  # of its capacity that a worker has when it starts
    warm_up: float = 15.0  # seconds until it has all
    fall_multiple: float = 2.0
    fall_time: float = 2.0


class LimitsPart(Part, frozen=True):
    sockets: int = 1024
    memory_mb: float = 512.0
    body_kb: int = 1024  # of a request
    answer_kb: int = 4096  # of an answer
    attempts: int = 3
    connect_timeout: float = 1.0  # seconds
    worker_idle: float = 30.0  # seconds after which workers close an idle connection
    max_retry_after: float = 60.0  # seconds


class TallyPart(Part, frozen=True):
    address: str = ""  # of a tally that front doors share; empty: one of its own, within the process
    listen: str = ""  # where the own one is served to others; empty: nowhere
    doors: int = 1  # front doors that share it
    number: int = 0  # which of them this one is
    timeout: float = 0.25  # seconds for a call
    redis: RedisPart | None = None  # instead of an address


class SiteFile(Part, frozen=True):
    description: DescriptionPart
    callers: CallersPart
    plans: dict[str, PlanPart]
    workers: list[WorkerPart] = []
    inventory: InventoryPart | None = None
    listen: str = "127.0.0.1:8080"
    name: str = "door"
    defaults: DefaultsPart = DefaultsPart()
    classes: dict[str, ClassDefaults] = {}
    keyed: KeyedPart = KeyedPart()
    rules: RulesPart = RulesPart()
    limits: LimitsPart = LimitsPart()
    tally: TallyPart = TallyPart()
    reports: list[str] = []  # fields of Server-Load that workers tell with their answers
    trusted_proxies: list[str] = []


class Site(msgspec.Struct, frozen=True):
    """A site file that was checked whole."""

    file: SiteFile
    listen: Address
    callers: Any  # Callers
    plans: tuple[i.Plan, ...]
    workers: tuple[Worker, ...]  # of the file itself; none where there is an inventory
    tally: Address | None
    tally_listen: Address | None
    options: Options


SCOPES = {"all": i.Scope.ALL, "room": i.Scope.ZONE, "bay": i.Scope.CELL}
MAX_DEADLINE = 60.0
PACE = 20_000.0  # calls a second that a tally of ours, or Redis, bears to begin with
MAX_ANSWERS = 1 / 8  # of the memory, for answers that are coming in


def read_site(text: str, name: str) -> Site:
    """A site file's text as a site.  Raises SiteError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SiteError(f"{name}: not TOML: {error}") from None
    try:
        file = msgspec.convert(raw, SiteFile)
    except msgspec.ValidationError as error:
        # The library ends its text with the place: "... - at `$.plans[...].rate`".
        raise SiteError(f"{name}: {error}") from None
    try:
        return checked(file)
    except (CallerError, ConfigError) as error:
        raise SiteError(f"{name}: {error}") from None


def checked(file: SiteFile) -> Site:
    limits, names = file.limits, list(file.plans)
    positive = {
        "defaults.aim": file.defaults.aim, "defaults.deadline": file.defaults.deadline,
        "defaults.worth": file.defaults.worth, "limits.connect_timeout": limits.connect_timeout,
        "limits.worker_idle": limits.worker_idle, "tally.timeout": file.tally.timeout,
        "limits.max_retry_after": limits.max_retry_after,
    }  # fmt: skip
    for place, value in positive.items():
        bounded(place, value, 1e-3, 1e6)
    for place, value in (("defaults.aim", file.defaults.aim), ("defaults.deadline", file.defaults.deadline)):
        bounded(place, value, 1e-3, MAX_DEADLINE)
    bounded("description.watch", file.description.watch, 0, 3600)
    bounded("description.most_operations", file.description.most_operations, 1, 1_000_000)
    bounded("keyed.memory", file.keyed.memory, 0, 86400)
    bounded("limits.sockets", limits.sockets, 64, 1 << 20)
    bounded("limits.memory_mb", limits.memory_mb, 64, 1 << 20)
    bounded("limits.body_kb", limits.body_kb, 1, 64 * 1024)
    bounded("limits.answer_kb", limits.answer_kb, 1, 64 * 1024)
    bounded("limits.attempts", limits.attempts, 1, 10)
    bounded("tally.doors", file.tally.doors, 1, 1000)
    bounded("tally.number", file.tally.number, 0, file.tally.doors - 1)
    if file.tally.redis is not None:
        if file.tally.address:
            raise ConfigError("tally: write address or redis, not both")
        check_redis_settings(file.tally.redis)
    for field in ("drain_grace", "warm_up", "fall_time"):
        bounded(f"rules.{field}", getattr(file.rules, field), 0, 3600)
    bounded("rules.cold_share", file.rules.cold_share, 0.01, 1)
    bounded("rules.fall_multiple", file.rules.fall_multiple, 0.1, 100)
    if limits.answer_kb / 1024 > limits.memory_mb * MAX_ANSWERS:
        raise ConfigError("limits.answer_kb is more than an eighth of limits.memory_mb")
    if file.keyed.scope not in SCOPES:
        raise ConfigError(f"keyed.scope is {file.keyed.scope!r}; write all, room or bay")
    if not file.plans:
        raise ConfigError("plans: there is none; add a table [plans.NAME]")
    if not file.workers and file.inventory is None:
        raise ConfigError("workers: there is none; add a table [[workers]] or [inventory]")
    if file.workers and file.inventory is not None:
        raise ConfigError("inventory: there are [[workers]] too; keep one of both")
    if (part := file.inventory) is not None:
        bounded("inventory.watch", part.watch, 0.01, 3600)
        bounded("inventory.settle", part.settle, 0, 3600)
        for field in ("fleet", "bay", "moved"):
            bounded(f"inventory.limits.{field}", getattr(part.limits, field), 0, 1)
        bounded("inventory.limits.least", part.limits.least, 0, 1_000_000)
        bounded("inventory.limits.kept", part.limits.kept, 0, 1_000_000)
        bounded("inventory.limits.window", part.limits.window, 0, 1e6)
    for name, terms in file.classes.items():
        for field in ("aim", "deadline", "worth"):
            if (value := getattr(terms, field)) is not None:
                bounded(f"classes.{name}.{field}", value, 1e-3, MAX_DEADLINE if field != "worth" else 1e6)
    for number, network in enumerate(file.trusted_proxies):
        try:
            ip_network(network)
        except ValueError:
            raise ConfigError(f"trusted_proxies[{number}]: {network!r} is no network") from None
    listed = workers(file.workers)
    options = Options(
        base_path(file.description.base), file.defaults.aim, file.defaults.deadline, file.defaults.worth,
        file.classes, MAX_DEADLINE, file.description.most_operations,
    )  # fmt: skip
    return Site(
        file, address("listen", file.listen), read_callers(file.callers, names),
        tuple(plan(name, part) for name, part in file.plans.items()), listed,
        address("tally.address", file.tally.address) if file.tally.address else None,
        address("tally.listen", file.tally.listen) if file.tally.listen else None, options,
    )  # fmt: skip


def bounded(place: str, value: float, least: float, most: float) -> None:
    if not (math.isfinite(value) and least <= value <= most):
        raise ConfigError(f"{place} is {value}; write a number from {least:g} to {most:g}")


def address(place: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ConfigError as error:
        raise ConfigError(f"{place}: {error}") from None


def base_path(text: str | None) -> str | None:
    if text is None:
        return None
    if text and not text.startswith("/"):
        raise ConfigError(f"description.base is {text!r}; write a path such as /v1, or an empty text")
    return text.rstrip("/")


def read_callers(part: CallersPart, plans: list[str]) -> Callers:
    entries = []
    for place, key in enumerate(part.keys):
        if key.plan not in plans:
            raise ConfigError(f"callers.keys[{place}].plan is {key.plan!r}; the plans are {', '.join(plans)}")
        if not key.customer.isascii() or not key.customer.isprintable() or not 1 <= len(key.customer) <= 128:
            raise ConfigError(f"callers.keys[{place}].customer: write 1 to 128 printable ASCII characters")
        entries.append((key.hash, key.customer, plans.index(key.plan)))
    try:
        return Callers(entries)
    except CallerError as error:
        raise CallerError(f"callers.{error}") from None


def plan(name: str, part: PlanPart) -> i.Plan:
    at = f"plans.{name}"
    for field, most in (("rate", 1e9), ("burst", 1e9), ("price", 1e6), ("over_cost", 1e6)):
        bounded(f"{at}.{field}", getattr(part, field), 0, most)
    bounded(f"{at}.parallel", part.parallel, 0, 1_000_000)
    if part.rate > 0 and part.burst < 1:
        raise ConfigError(f"{at}.burst is {part.burst:g}; a plan with a rate holds at least 1 unit")
    if part.burst and not part.rate:
        raise ConfigError(f"{at}.rate is 0: a burst alone is never filled again")
    ceiling = part.ceiling
    if ceiling is not None:
        bounded(f"{at}.ceiling.rate", ceiling.rate, max(part.rate, 1e-6), 1e9)
        bounded(f"{at}.ceiling.burst", ceiling.burst, max(part.burst, 1.0), 1e9)
        bounded(f"{at}.ceiling.slack", ceiling.slack, 0, 1)
        if not part.rate:
            raise ConfigError(f"{at}.ceiling: a plan without a rate has none")
    over = (ceiling.rate, ceiling.burst, ceiling.slack) if ceiling else (0.0, 0.0, 0.0)
    return i.Plan(
        name, part.rate, part.burst, part.parallel, part.price, part.over_cost, 0.0, *over
    )  # fmt: skip


def workers(parts: list[WorkerPart]) -> tuple[Worker, ...]:
    """The workers that stand in the site file itself."""
    found: dict[str, Worker] = {}
    places: dict[tuple[str, int], str] = {}
    for place, part in enumerate(parts):
        at = f"workers[{place}]"
        if not part.name or len(part.name) > 128:
            raise ConfigError(f"{at}.name: write 1 to 128 characters")
        if part.name in found:
            raise ConfigError(f"{at}.name: {part.name!r} stands twice")
        try:
            host, port = parse_worker_address(part.address)
        except FieldError as error:
            raise ConfigError(f"{at}.address: {error}") from None
        if port is None:
            raise ConfigError(f"{at}.address: {part.address!r} has no port")
        if (host, port) in places:
            raise ConfigError(f"{at}.address: {part.address} is that of {places[host, port]!r}")
        bounded(f"{at}.weight", part.weight, 0.001, 1000)
        bounded(f"{at}.bay", part.bay, 0, 1 << 31)
        found[part.name] = Worker(part.name, host, port, part.room, part.bay, "standard", part.weight)
        places[host, port] = part.name
    return tuple(found.values())


def settings(site: Site, classes: tuple[i.RequestClass, ...]) -> i.Settings:
    """What the decision module is told of a site."""
    file = site.file
    rules, limits = file.rules, file.limits
    return i.Settings(
        me=file.tally.number, peers=file.tally.doors, zone=0, zones=(), period=0.002, classes=classes,
        plans=site.plans,
        rules=i.Rules(
            0.05, rules.drain_grace, rules.cold_share, rules.warm_up, rules.fall_multiple, rules.fall_time,
            0.0,
        ),
        limits=i.Limits(
            limits.attempts, second_copies=False, cancel=True, probes=False, retry_after=True,
            max_retry_after=limits.max_retry_after, connect_timeout=limits.connect_timeout,
        ),
        has_counter=True, counter_price=0.01, counter_timeout=file.tally.timeout, settles=False,
        membership_push=True, weight_source="silent", report_how="answers" if file.reports else "silent",
        report_columns=tuple(file.reports), prices={}, counter_pace=PACE,
    )  # fmt: skip


def findings(site: Site, compiled: CompiledDescription) -> list[str]:
    """What of a description a site's plans could never serve."""
    found = []
    for plan_ in site.plans:
        most = min(plan_.burst or math.inf, plan_.ceiling_burst or math.inf)
        dear = [o for o in compiled.operations if o.cost.maximum > most]
        if dear:
            cost = dear[0].cost.maximum
            found.append(
                f"plan {plan_.name} holds {most:g} units, and {dear[0].id} may cost {cost:g}:"
                f" such requests are refused with 403 ({len(dear)} operations)"
            )
    keyed = [o for o in compiled.operations if o.effect is i.Effect.KEYED]
    if keyed and not site.file.keyed.memory:
        found.append(
            f"{keyed[0].id} is keyed, and keyed.memory is 0: it is not repeated once it may have run"
            f" ({len(keyed)} operations)"
        )
    return found


__all__ = ["Site", "SiteError", "findings", "read_site", "settings"]
