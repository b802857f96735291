"""The settings file of one process (YAML).

It is read and checked by msgspec: importing pyserde would add 0.3 s to each start.
"""

from __future__ import annotations

import os
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import yaml

from ivymux.data_plane.limits import Address, ConfigError, parse_address
from ivymux.runtime.early_listener import SETTINGS_FILE_VARIABLE

MAX_MACHINE_LOSSES = 8  # more copies would cost more than a core of this size bears
DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)", re.ASCII)


class SettingsError(ConfigError):
    """A settings file that can't be used; the text is one line that names the place and how to correct it."""


def seconds(text: object, where: str) -> float:
    """Convert a time such as `1500ms` or `2.5s` to seconds.  Raises SettingsError."""
    found = DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise SettingsError(f"{where}: {text!r} is no time; write a number and ms or s, as 1500ms")
    return float(found[1]) / (1000 if found[2] == "ms" else 1)


@dataclass
class ProcessLimits:
    """What the platform lets the process use."""

    cpu_quota: int | float = 1
    memory_mb: int | float = 256
    fd_limit: int = 1024


@dataclass
class SelfEntity:
    """The process itself."""

    node_name: str
    ip_address: str
    zone_name: str
    initial_start: bool = False
    data_path: str | None = None
    limits: ProcessLimits = field(default_factory=ProcessLimits)


@dataclass
class NetworkTable:
    """The addresses and ports of this process, and the core machines and zones it starts from."""

    listen_addrs: dict[str, str]
    inner_port_range: list[int]
    seed_nodes: list[str]
    zones: dict[str, str] = field(default_factory=dict)


@dataclass
class PlatformTable:
    """What the platform does by itself: how often its backends send heartbeats."""

    beat_period: str = "1500ms"


@dataclass
class TermsTable:
    """The bounds that the platform holds the system to, and how much may be lost at once."""

    fault_tolerance: dict[str, Any] = field(default_factory=dict)
    timing_bounds: dict[str, Any] = field(default_factory=dict)


@dataclass
class TrialSettings:
    """Settings of trials; the only table that this system defines, as the platform defines the others."""

    longest: str = "600s"


@dataclass
class SettingsFile:
    """The file's content as it is written."""

    self_entity: SelfEntity
    network_table: NetworkTable
    platform_table: PlatformTable = field(default_factory=PlatformTable)
    terms_table: TermsTable = field(default_factory=TermsTable)
    trials: TrialSettings = field(default_factory=TrialSettings)


class Settings:
    """The file's content as the programs use it; times in seconds."""

    def __init__(self, file: SettingsFile) -> None:
        """Raises SettingsError."""
        entity, network, bounds = file.self_entity, file.network_table, file.terms_table.timing_bounds
        self.node_name, self.ip, self.zone = entity.node_name, entity.ip_address, entity.zone_name
        self.is_initial_start = entity.initial_start
        self.data_path = Path(entity.data_path) if entity.data_path else None
        self.memory_mb, self.fd_limit = entity.limits.memory_mb, entity.limits.fd_limit
        ports = network.inner_port_range
        if len(ports) != 2 or ports[1] - ports[0] < 2:
            raise SettingsError("network_table.inner_port_range: give a first and a last port, three or more")
        first_port, last_port = ports
        self.config_store_port, self.registry_port, self.proxy_port = range(first_port, first_port + 3)
        self.metrics_port = first_port + 3 if first_port + 3 <= last_port else None
        self.listen_addresses: dict[str, Address] = {}
        for name, text in network.listen_addrs.items():
            self.listen_addresses[name] = address(text, f"network_table.listen_addrs.{name}")
        self.seed_addresses = tuple(address(text, "network_table.seed_nodes") for text in network.seed_nodes)
        self.zones = tuple(sorted(network.zones or {self.zone: ""}))
        self.heartbeat_period_s = seconds(file.platform_table.beat_period, "platform_table.beat_period")
        self.shutdown_grace_s = duration_bound(bounds, "grace", "6s")
        self.drain_bound_s = duration_bound(bounds, "drain_bound", "2500ms")
        self.config_apply_s = duration_bound(bounds, "config_apply", "2500ms")
        self.retry_ratio = number_bound(bounds, "retry_ratio", 0.2)
        self.quota_window_s = duration_bound(bounds, "quota_window", "5s")
        self.quota_excess = number_bound(bounds, "quota_excess", 0.0)  # share of a quota
        self.max_hold_s = duration_bound(bounds, "hold_max", "10s")  # of keys by a backend
        self.quota_slack = number_bound(bounds, "quota_slack", 0.0)  # requests
        # Beside the primary, so that as many disks may be lost at once; one is always kept.
        self.backup_count = max(1, machine_losses(file.terms_table.fault_tolerance))
        self.max_trial_s = seconds(file.trials.longest, "trials.longest")

    def seed_hosts(self) -> tuple[str, ...]:
        """Return the IP addresses of the seeds, each once."""
        return tuple(dict.fromkeys(address.host for address in self.seed_addresses))

    def listen_address(self, name: str) -> Address:
        """Return one of the addresses to listen at.  Raises SettingsError if it is missing."""
        if name not in self.listen_addresses:
            raise SettingsError(f"network_table.listen_addrs.{name}: missing; write HOST:PORT")
        return self.listen_addresses[name]


def machine_losses(tolerance: dict[str, Any]) -> int:
    """Return how many machines with a disk may be lost at once.  Raises SettingsError."""
    losses = tolerance.get("machine_losses", 1)
    if not isinstance(losses, int) or isinstance(losses, bool) or not 0 <= losses <= MAX_MACHINE_LOSSES:
        where = "terms_table.fault_tolerance.machine_losses"
        raise SettingsError(f"{where}: write a whole number from 0 to {MAX_MACHINE_LOSSES}, not {losses!r}")
    return losses


def address(text: str, where: str) -> Address:
    """Parse `HOST:PORT`.  Raises SettingsError."""
    try:
        return parse_address(text)
    except ConfigError as error:
        raise SettingsError(f"{where}: {error}") from None


def duration_bound(bounds: dict[str, Any], name: str, default: str) -> float:
    """One of the timing bounds that is a time, in seconds.  Raises SettingsError."""
    return seconds(bounds.get(name, default), f"terms_table.timing_bounds.{name}")


def number_bound(bounds: dict[str, Any], name: str, default: float) -> float:
    """One of the timing bounds that is a plain number.  Raises SettingsError."""
    value = bounds.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise SettingsError(f"terms_table.timing_bounds.{name}: {value!r} is no number of 0 or more")
    return float(value)


def read(text: str) -> Settings:
    """Parse and check a settings file's text.  Raises SettingsError."""
    try:
        document = yaml.load(text, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise SettingsError(f"not YAML: {' '.join(str(error).split())}") from None
    try:
        return Settings(msgspec.convert(document, SettingsFile))
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings: {error}; see the page of settings") from None


def settings_path(flag: str | None) -> Path:
    """The settings file that the flag or else the environment names.  Raises SettingsError."""
    path = flag or os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"no settings file: set {SETTINGS_FILE_VARIABLE} or give --settings")
    return Path(path)


def load(path: Path) -> Settings:
    """Read and check the settings file at `path`.  Raises SettingsError."""
    try:
        return read(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        cause = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SettingsError(f"{path}: cannot be read: {cause}") from None
