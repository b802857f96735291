"""The site file (TOML): parsed and validated settings.  Pure: text in, a site or one error out."""

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
    """An invalid site file; the text names the file, the setting and what to write."""


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the tables of the file; unknown fields are an error."""


class DescriptionPart(Part, frozen=True):
    """The OpenAPI description of the routes."""

    file: str  # relative to the site file, as are all paths in it
    base: str | None = None  # instead of the base paths of `servers`
    watch: float = 1.0  # seconds between checks for a change; 0: only on SIGHUP
    cache: str = ""  # folder for compiled descriptions; empty: none
    most_operations: int = 20_000


# Some tables of the file are also schemas of the administration API's OpenAPI document.  They have comments
# where others have docstrings, because the document would show a docstring.


# The settings of operations whose description and class set none.
class DefaultsPart(Part, frozen=True):
    aim: float = 2.0  # the target latency, in seconds
    deadline: float = 10.0  # seconds after which a request is answered in any case
    worth: float = 1.0  # of an answer within the target latency, compared with other classes


# How workers treat repeated requests with the same Idempotency-Key.
class KeyedPart(Part, frozen=True):
    memory: float = 0.0  # seconds for which workers drop a repeat with the same key; 0: never
    scope: str = "bay"  # which workers share that memory: all, room or bay


class KeyPart(Part, frozen=True):
    """An API key, stored as its hash."""

    customer: str
    plan: str  # the name of the customer's plan
    hash: str  # as `ivymux key` prints it


class CallersPart(Part, frozen=True):
    """The API keys and the header that holds them."""

    header: str = "X-API-Key"
    keys: list[KeyPart] = []


# A limit that a customer never exceeds, not even while the counter can't be reached.
class CeilingPart(Part, frozen=True):
    rate: float  # units a second
    burst: float  # units that may be used at once
    slack: float = 0.1


# A plan: the quota of each of its customers and what its requests are worth.
class PlanPart(Part, frozen=True):
    rate: float = 0.0  # units a second; 0: no quota
    burst: float = 0.0  # units that may be used at once
    parallel: int = 0  # requests open at once; 0: no such limit
    ceiling: CeilingPart | None = None
    price: float = 1.0  # the value of an answer, compared with other plans
    over_cost: float = 2.0  # of a unit beyond the quota, compared with the value of one within it


class WorkerPart(Part, frozen=True):
    """A backend that the site file lists itself."""

    name: str
    address: str  # HOST:PORT
    room: str = "main"
    bay: int = 0
    weight: float = 1.0


class InventoryPart(Part, frozen=True):
    """A file with the list of backends; the gateway reads it again when it changes."""

    file: str
    state: str = ""  # folder for the history of accepted lists; empty: they are kept in memory only
    watch: float = 0.25  # seconds between checks for a change
    settle: float = 0.5  # seconds for which the file must be unchanged before it is read
    limits: Limits = Limits()


# Parameters of the decision module's operating rules; times in seconds.
class RulesPart(Part, frozen=True):
    drain_grace: float = 2.0
    cold_share: float = 0.2  # of its full capacity that a backend has when it starts
    warm_up: float = 15.0  # seconds from a backend's start until it has its full capacity
    fall_multiple: float = 2.0  # bound on the load of a backend that warms up, relative to a warm one's share
    fall_time: float = 2.0  # seconds over which that load is measured


class LimitsPart(Part, frozen=True):
    """Limits on what the gateway uses and on how it sends requests."""

    sockets: int = 1024
    memory_mb: float = 512.0
    body_kb: int = 1024  # of a request
    answer_kb: int = 4096  # of an answer
    attempts: int = 3
    connect_timeout: float = 1.0  # seconds
    worker_idle: float = 30.0  # seconds after which workers close an idle connection
    max_retry_after: float = 60.0  # seconds


class TallyPart(Part, frozen=True):
    """The counter that gateways share; without `address` or `redis` the gateway counts in its own process."""

    address: str = ""  # of a counter service
    listen: str = ""  # where the gateway serves its own counter to other gateways; empty: nowhere
    doors: int = 1  # gateways that share the counter
    number: int = 0  # of this gateway among them, from 0
    timeout: float = 0.25  # seconds for a call
    redis: RedisPart | None = None  # instead of an address


class SiteFile(Part, frozen=True):
    """The whole file."""

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
    reports: list[str] = []  # fields of the Server-Load header that workers send with their answers
    trusted_proxies: list[str] = []


class Site(msgspec.Struct, frozen=True):
    """A validated site file with its parsed values."""

    file: SiteFile
    listen: Address
    callers: Any  # Callers
    plans: tuple[i.Plan, ...]
    workers: tuple[Worker, ...]  # listed in the site file; empty if that names an inventory
    tally: Address | None
    tally_listen: Address | None
    options: Options


SCOPES = {"all": i.Scope.ALL, "room": i.Scope.ZONE, "bay": i.Scope.CELL}
MAX_DEADLINE_S = 60.0
COUNTER_CALL_RATE = 20_000.0  # initial bound on the calls a second to a counter service or Redis
ANSWER_MEMORY_SHARE = 1 / 8  # of the memory limit, for answers that are being received


def read_site(text: str, name: str) -> Site:
    """Parse and validate a site file; `name` is its name in errors.  Raises SiteError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SiteError(f"{name}: not TOML: {error}") from None
    try:
        file = msgspec.convert(raw, SiteFile)
    except msgspec.ValidationError as error:
        # msgspec's message ends with the place: "... - at `$.plans[...].rate`".
        raise SiteError(f"{name}: {error}") from None
    try:
        return check_site(file)
    except (CallerError, ConfigError) as error:
        raise SiteError(f"{name}: {error}") from None


def check_site(file: SiteFile) -> Site:
    """Validate a parsed site file.  Raises CallerError, ConfigError."""
    limits, names = file.limits, list(file.plans)
    positive = {
        "defaults.aim": file.defaults.aim, "defaults.deadline": file.defaults.deadline,
        "defaults.worth": file.defaults.worth, "limits.connect_timeout": limits.connect_timeout,
        "limits.worker_idle": limits.worker_idle, "tally.timeout": file.tally.timeout,
        "limits.max_retry_after": limits.max_retry_after,
    }  # fmt: skip
    for place, value in positive.items():
        check_range(place, value, 1e-3, 1e6)
    for place, value in (("defaults.aim", file.defaults.aim), ("defaults.deadline", file.defaults.deadline)):
        check_range(place, value, 1e-3, MAX_DEADLINE_S)
    check_range("description.watch", file.description.watch, 0, 3600)
    check_range("description.most_operations", file.description.most_operations, 1, 1_000_000)
    check_range("keyed.memory", file.keyed.memory, 0, 86400)
    check_range("limits.sockets", limits.sockets, 64, 1 << 20)
    check_range("limits.memory_mb", limits.memory_mb, 64, 1 << 20)
    check_range("limits.body_kb", limits.body_kb, 1, 64 * 1024)
    check_range("limits.answer_kb", limits.answer_kb, 1, 64 * 1024)
    check_range("limits.attempts", limits.attempts, 1, 10)
    check_range("tally.doors", file.tally.doors, 1, 1000)
    check_range("tally.number", file.tally.number, 0, file.tally.doors - 1)
    if file.tally.redis is not None:
        if file.tally.address:
            raise ConfigError("tally: write address or redis, not both")
        check_redis_settings(file.tally.redis)
    for field in ("drain_grace", "warm_up", "fall_time"):
        check_range(f"rules.{field}", getattr(file.rules, field), 0, 3600)
    check_range("rules.cold_share", file.rules.cold_share, 0.01, 1)
    check_range("rules.fall_multiple", file.rules.fall_multiple, 0.1, 100)
    if limits.answer_kb / 1024 > limits.memory_mb * ANSWER_MEMORY_SHARE:
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
        check_range("inventory.watch", part.watch, 0.01, 3600)
        check_range("inventory.settle", part.settle, 0, 3600)
        for field in ("fleet", "bay", "moved"):
            check_range(f"inventory.limits.{field}", getattr(part.limits, field), 0, 1)
        check_range("inventory.limits.least", part.limits.least, 0, 1_000_000)
        check_range("inventory.limits.kept", part.limits.kept, 0, 1_000_000)
        check_range("inventory.limits.window", part.limits.window, 0, 1e6)
    for name, terms in file.classes.items():
        for field in ("aim", "deadline", "worth"):
            if (value := getattr(terms, field)) is not None:
                check_range(
                    f"classes.{name}.{field}", value, 1e-3, MAX_DEADLINE_S if field != "worth" else 1e6
                )
    for number, network in enumerate(file.trusted_proxies):
        try:
            ip_network(network)
        except ValueError:
            raise ConfigError(f"trusted_proxies[{number}]: {network!r} is no network") from None
    listed_workers = make_workers(file.workers)
    options = Options(
        parse_base_path(file.description.base), file.defaults.aim, file.defaults.deadline,
        file.defaults.worth, file.classes, MAX_DEADLINE_S, file.description.most_operations,
    )  # fmt: skip
    return Site(
        file, parse_address_setting("listen", file.listen), read_callers(file.callers, names),
        tuple(make_plan(name, part) for name, part in file.plans.items()), listed_workers,
        parse_address_setting("tally.address", file.tally.address) if file.tally.address else None,
        parse_address_setting("tally.listen", file.tally.listen) if file.tally.listen else None, options,
    )  # fmt: skip


def check_range(place: str, value: float, minimum: float, maximum: float) -> None:
    """Raise ConfigError if a setting is not within a range; `place` names the setting."""
    if not (math.isfinite(value) and minimum <= value <= maximum):
        raise ConfigError(f"{place} is {value}; write a number from {minimum:g} to {maximum:g}")


def parse_address_setting(place: str, text: str) -> Address:
    """Parse HOST:PORT; `place` names the setting.  Raises ConfigError."""
    try:
        return parse_address(text)
    except ConfigError as error:
        raise ConfigError(f"{place}: {error}") from None


def parse_base_path(text: str | None) -> str | None:
    """Return `description.base` without a slash at its end.  Raises ConfigError."""
    if text is None:
        return None
    if text and not text.startswith("/"):
        raise ConfigError(f"description.base is {text!r}; write a path such as /v1, or an empty text")
    return text.rstrip("/")


def read_callers(part: CallersPart, plans: list[str]) -> Callers:
    """Validate the API keys; `plans` are the names of the plans.  Raises CallerError, ConfigError."""
    entries = []
    for index, key in enumerate(part.keys):
        if key.plan not in plans:
            raise ConfigError(f"callers.keys[{index}].plan is {key.plan!r}; the plans are {', '.join(plans)}")
        if not key.customer.isascii() or not key.customer.isprintable() or not 1 <= len(key.customer) <= 128:
            raise ConfigError(f"callers.keys[{index}].customer: write 1 to 128 printable ASCII characters")
        entries.append((key.hash, key.customer, plans.index(key.plan)))
    try:
        return Callers(entries)
    except CallerError as error:
        raise CallerError(f"callers.{error}") from None


def make_plan(name: str, part: PlanPart) -> i.Plan:
    """Validate a plan and return it as the decision module takes it.  Raises ConfigError."""
    place = f"plans.{name}"
    for field, maximum in (("rate", 1e9), ("burst", 1e9), ("price", 1e6), ("over_cost", 1e6)):
        check_range(f"{place}.{field}", getattr(part, field), 0, maximum)
    check_range(f"{place}.parallel", part.parallel, 0, 1_000_000)
    if part.rate > 0 and part.burst < 1:
        raise ConfigError(f"{place}.burst is {part.burst:g}; a plan with a rate holds at least 1 unit")
    if part.burst and not part.rate:
        raise ConfigError(f"{place}.rate is 0: a burst alone is never filled again")
    ceiling = part.ceiling
    if ceiling is not None:
        check_range(f"{place}.ceiling.rate", ceiling.rate, max(part.rate, 1e-6), 1e9)
        check_range(f"{place}.ceiling.burst", ceiling.burst, max(part.burst, 1.0), 1e9)
        check_range(f"{place}.ceiling.slack", ceiling.slack, 0, 1)
        if not part.rate:
            raise ConfigError(f"{place}.ceiling: a plan without a rate has none")
    limits = (ceiling.rate, ceiling.burst, ceiling.slack) if ceiling else (0.0, 0.0, 0.0)
    return i.Plan(
        name, part.rate, part.burst, part.parallel, part.price, part.over_cost, 0.0, *limits
    )  # fmt: skip


def make_workers(parts: list[WorkerPart]) -> tuple[Worker, ...]:
    """Validate the workers that the site file lists itself.  Raises ConfigError."""
    workers: dict[str, Worker] = {}
    names_by_address: dict[tuple[str, int], str] = {}
    for index, part in enumerate(parts):
        place = f"workers[{index}]"
        if not part.name or len(part.name) > 128:
            raise ConfigError(f"{place}.name: write 1 to 128 characters")
        if part.name in workers:
            raise ConfigError(f"{place}.name: {part.name!r} stands twice")
        try:
            host, port = parse_worker_address(part.address)
        except FieldError as error:
            raise ConfigError(f"{place}.address: {error}") from None
        if port is None:
            raise ConfigError(f"{place}.address: {part.address!r} has no port")
        if (host, port) in names_by_address:
            raise ConfigError(f"{place}.address: {part.address} is that of {names_by_address[host, port]!r}")
        check_range(f"{place}.weight", part.weight, 0.001, 1000)
        check_range(f"{place}.bay", part.bay, 0, 1 << 31)
        workers[part.name] = Worker(part.name, host, port, part.room, part.bay, "standard", part.weight)
        names_by_address[host, port] = part.name
    return tuple(workers.values())


def settings(site: Site, classes: tuple[i.RequestClass, ...]) -> i.Settings:
    """Return the decision module's settings for a site."""
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
        report_columns=tuple(file.reports), prices={}, counter_pace=COUNTER_CALL_RATE,
    )  # fmt: skip


def findings(site: Site, compiled: CompiledDescription) -> list[str]:
    """Return warnings about operations that the site's plans or workers can serve only in part.

    These are operations that may cost more than a plan ever holds, and keyed ones whose repeats no worker
    drops.
    """
    warnings = []
    for plan in site.plans:
        capacity = min(plan.burst or math.inf, plan.ceiling_burst or math.inf)
        too_costly = [o for o in compiled.operations if o.cost.maximum > capacity]
        if too_costly:
            cost = too_costly[0].cost.maximum
            warnings.append(
                f"plan {plan.name} holds {capacity:g} units, and {too_costly[0].id} may cost {cost:g}:"
                f" such requests are refused with 403 ({len(too_costly)} operations)"
            )
    keyed = [o for o in compiled.operations if o.effect is i.Effect.KEYED]
    if keyed and not site.file.keyed.memory:
        warnings.append(
            f"{keyed[0].id} is keyed, and keyed.memory is 0: it is not repeated once it may have run"
            f" ({len(keyed)} operations)"
        )
    return warnings


__all__ = ["Site", "SiteError", "findings", "read_site", "settings"]
