"""An installation's file (TOML): the settings common to all its tenants.  Pure: text in, settings out."""

from __future__ import annotations

import re
import tomllib
from ipaddress import ip_network
from urllib.parse import urlsplit

import msgspec

from ivymux.data_plane.limits import Address, ConfigError, parse_address
from ivymux.service.site import ANSWER_MEMORY_SHARE, SiteError, check_range, parse_address_setting
from ivymux.tally.engine import RedisPart, check_redis_settings
from ivymux.tenants.places import AddressRules

PREFIX = re.compile(r"/([A-Za-z0-9_.-]{1,64}/){1,8}")


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the tables of the file; unknown fields are an error."""


class HostingLimits(Table, frozen=True):
    """The limits of one gateway, common to all its tenants."""

    sockets: int = 4096
    memory_mb: float = 1024.0
    body_kb: int = 1024  # of one request
    answer_kb: int = 4096  # of one answer
    tenant_upstream: int = 200  # connections to one tenant's workers


class TallyPart(Table, frozen=True):
    """The counter that gateways share; without `address`, `listen` or `redis` each counts for itself."""

    address: str = ""
    listen: str = ""  # where this gateway runs the counter service, which it uses itself
    doors: int = 1  # gateways that share the counter
    number: int = 0  # of this gateway among them, from 0
    timeout: float = 0.25  # seconds for a call
    redis: RedisPart | None = None  # instead of an address


class EtcdPart(Table, frozen=True):
    """Access to a desired state in etcd v3, through etcd's JSON gateway."""

    endpoints: list[str]  # `http://HOST:PORT` or `https://...`
    prefix: str = "/ivymux/"  # of all keys
    username: str = ""
    password_file: str = ""  # relative to this file; its first line is the password
    ca: str = ""  # PEM files, relative to this file, as are cert and key
    cert: str = ""
    key: str = ""
    timeout: float = 2.0  # of one call, in seconds
    cache: str = "cache"  # folder for the last known state, used while etcd is unreachable; empty: no cache


class HostingFile(Table, frozen=True):
    """The content of an installation's file."""

    store: str = ""  # SQLite file of the desired state, relative to this file
    etcd: EtcdPart | None = None  # access to a desired state in etcd, instead of `store`
    listen: str = "127.0.0.1:8080"
    admin: str = ""  # address of the administration API; empty: not served
    name: str = "door"  # of this gateway, in reports
    follow: float = 0.1  # seconds between reads of the desired state
    limits: HostingLimits = HostingLimits()
    tally: TallyPart = TallyPart()
    trusted_proxies: list[str] = []
    worker_networks: list[str] = []  # networks allowed for tenants' workers; empty: any network


class Hosting(msgspec.Struct, frozen=True):
    """A validated installation's file with its parsed addresses."""

    file: HostingFile
    listen: Address
    admin: Address | None
    tally: Address | None = None  # of the counter service
    tally_listen: Address | None = None

    @property
    def address_rules(self) -> AddressRules:
        """The addresses that tenants' workers may have."""
        redis = self.file.tally.redis
        nodes = [parse_address(node) for node in redis.nodes] if redis is not None else []
        own_addresses = (self.listen, self.admin, self.tally, self.tally_listen, *nodes)
        return AddressRules.parse(
            self.file.worker_networks, ((a.host, a.port) for a in own_addresses if a is not None)
        )


def read_hosting(text: str, name: str) -> Hosting:
    """Parse and validate an installation's file.  Raises SiteError."""
    try:
        file = msgspec.convert(tomllib.loads(text), HostingFile)
    except tomllib.TOMLDecodeError as error:
        raise SiteError(f"{name}: not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise SiteError(f"{name}: {error}") from None
    try:
        limits = file.limits
        check_range("follow", file.follow, 0.01, 60)
        check_range("limits.sockets", limits.sockets, 64, 1 << 20)
        check_range("limits.memory_mb", limits.memory_mb, 64, 1 << 20)
        check_range("limits.body_kb", limits.body_kb, 1, 64 * 1024)
        check_range("limits.answer_kb", limits.answer_kb, 1, 64 * 1024)
        check_range("limits.tenant_upstream", limits.tenant_upstream, 4, 100_000)
        if limits.answer_kb / 1024 > limits.memory_mb * ANSWER_MEMORY_SHARE:
            raise ConfigError("limits.answer_kb is more than an eighth of limits.memory_mb")
        if bool(file.store) == (file.etcd is not None):
            raise ConfigError("write store, a file, or a table etcd: one of the two")
        if file.etcd is not None:
            check_etcd(file.etcd)
        if not file.name or len(file.name) > 64:
            raise ConfigError("name: write 1 to 64 characters")
        for number, network in enumerate(file.trusted_proxies):
            try:
                ip_network(network)
            except ValueError:
                raise ConfigError(f"trusted_proxies[{number}]: {network!r} is no network") from None
        admin = parse_address_setting("admin", file.admin) if file.admin else None
        for number, network in enumerate(file.worker_networks):
            try:
                ip_network(network)
            except ValueError:
                raise ConfigError(f"worker_networks[{number}]: {network!r} is no network") from None
        tally = file.tally
        if bool(tally.address) + bool(tally.listen) + (tally.redis is not None) > 1:
            raise ConfigError(
                "tally: write address (of a counter service elsewhere), listen (to run one here) or redis"
            )
        if tally.doors > 1 and not (tally.address or tally.listen or tally.redis):
            raise ConfigError(
                "tally.doors: gateways that share their counts need tally.address or tally.redis"
            )
        check_range("tally.doors", tally.doors, 1, 1000)
        check_range("tally.number", tally.number, 0, tally.doors - 1)
        if tally.redis is not None:
            check_redis_settings(tally.redis)
        check_range("tally.timeout", tally.timeout, 0.01, 5)
        shared = parse_address_setting("tally.address", tally.address) if tally.address else None
        served = parse_address_setting("tally.listen", tally.listen) if tally.listen else None
        return Hosting(file, parse_address_setting("listen", file.listen), admin, shared, served)
    except ConfigError as error:
        raise SiteError(f"{name}: {error}") from None


def check_etcd(etcd: EtcdPart) -> None:
    """Validate the access to etcd.  Raises ConfigError."""
    if not 1 <= len(etcd.endpoints) <= 20:
        raise ConfigError("etcd.endpoints: write 1 to 20")
    for number, endpoint in enumerate(etcd.endpoints):
        parts = urlsplit(endpoint)
        try:
            is_valid = parts.scheme in ("http", "https") and parts.hostname and parts.port
        except ValueError:
            is_valid = None
        if not is_valid or parts.path not in ("", "/") or parts.query or parts.username is not None:
            raise ConfigError(f"etcd.endpoints[{number}]: write http://HOST:PORT or https://HOST:PORT")
    if not PREFIX.fullmatch(etcd.prefix):
        raise ConfigError("etcd.prefix: letters, digits, - _ . and /, with / at both ends")
    check_range("etcd.timeout", etcd.timeout, 0.1, 60)
    if bool(etcd.username) != bool(etcd.password_file):
        raise ConfigError("etcd.username and etcd.password_file go together")
    if etcd.key and not etcd.cert:
        raise ConfigError("etcd.key goes with etcd.cert")
    if (etcd.ca or etcd.cert) and not all(e.startswith("https:") for e in etcd.endpoints):
        raise ConfigError("etcd.ca and etcd.cert go with https endpoints")
