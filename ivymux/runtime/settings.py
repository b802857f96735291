"""The settings file of one process (YAML), read and checked by msgspec: pyserde costs each start 0.3 s."""

from __future__ import annotations

import os
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import yaml

from ivymux.data_plane.limits import Address, ConfigError, parse_address
from ivymux.runtime.early_listener import VARIABLE

TIME = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)", re.ASCII)


class SettingsError(ConfigError):
    """A settings file that cannot be used; the text is one plain line with the place and the mend."""


def seconds(text: object, where: str) -> float:
    """A time, `1500ms` or `2.5s`, in seconds.  Raises SettingsError."""
    found = TIME.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise SettingsError(f"{where}: {text!r} is no time; write a number and ms or s, as 1500ms")
    return float(found[1]) / (1000 if found[2] == "ms" else 1)


@dataclass
class Limits:
    cpu_quota: int | float = 1
    memory_mb: int | float = 256
    fd_limit: int = 1024


@dataclass
class Self:
    node_name: str
    ip_address: str
    zone_name: str
    initial_start: bool = False
    data_path: str | None = None
    limits: Limits = field(default_factory=Limits)


@dataclass
class Network:
    listen_addrs: dict[str, str]
    inner_port_range: list[int]
    seed_nodes: list[str]
    zones: dict[str, str] = field(default_factory=dict)


@dataclass
class Platform:
    beat_period: str = "1500ms"


@dataclass
class Terms:
    timing_bounds: dict[str, Any] = field(default_factory=dict)


@dataclass
class Trials:
    """The system's own, beside what the platform writes."""

    longest: str = "600s"


@dataclass
class File:
    self_entity: Self
    network_table: Network
    platform_table: Platform = field(default_factory=Platform)
    terms_table: Terms = field(default_factory=Terms)
    trials: Trials = field(default_factory=Trials)


class Settings:
    """The file's content, as the programs use it; times in seconds."""

    def __init__(self, file: File) -> None:
        me, net, bounds = file.self_entity, file.network_table, file.terms_table.timing_bounds
        self.name, self.ip, self.zone = me.node_name, me.ip_address, me.zone_name
        self.initial = me.initial_start
        self.data = Path(me.data_path) if me.data_path else None
        self.memory_mb, self.sockets = me.limits.memory_mb, me.limits.fd_limit
        if len(net.inner_port_range) != 2 or net.inner_port_range[1] - net.inner_port_range[0] < 2:
            raise SettingsError("network_table.inner_port_range: give a first and a last port, three or more")
        first_port, last_port = net.inner_port_range
        self.config_store_port, self.registry_port, self.door_port = range(first_port, first_port + 3)
        self.metrics_port = first_port + 3 if first_port + 3 <= last_port else None
        self.listen: dict[str, Address] = {}
        for name, text in net.listen_addrs.items():
            self.listen[name] = self.address(text, f"network_table.listen_addrs.{name}")
        self.seeds = tuple(self.address(text, "network_table.seed_nodes") for text in net.seed_nodes)
        self.zones = tuple(sorted(net.zones or {self.zone: ""}))
        self.beat = seconds(file.platform_table.beat_period, "platform_table.beat_period")
        self.grace = self.bound(bounds, "grace", "6s")
        self.drain_bound = self.bound(bounds, "drain_bound", "2500ms")
        self.config_apply = self.bound(bounds, "config_apply", "2500ms")
        self.retry_ratio = self.figure(bounds, "retry_ratio", 0.2)
        self.quota_window = self.bound(bounds, "quota_window", "5s")
        self.quota_excess = self.figure(bounds, "quota_excess", 0.0)
        self.quota_slack = self.figure(bounds, "quota_slack", 0.0)
        self.longest_trial = seconds(file.trials.longest, "trials.longest")

    def address(self, text: str, where: str) -> Address:
        try:
            return parse_address(text)
        except ConfigError as error:
            raise SettingsError(f"{where}: {error}") from None

    def bound(self, bounds: dict[str, Any], name: str, default: str) -> float:
        return seconds(bounds.get(name, default), f"terms_table.timing_bounds.{name}")

    def figure(self, bounds: dict[str, Any], name: str, default: float) -> float:
        value = bounds.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise SettingsError(f"terms_table.timing_bounds.{name}: {value!r} is no number of 0 or more")
        return float(value)


def read(text: str) -> Settings:
    """The settings in a file's text.  Raises SettingsError."""
    try:
        raw = yaml.load(text, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise SettingsError(f"not YAML: {' '.join(str(error).split())}") from None
    try:
        return Settings(msgspec.convert(raw, File))
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings: {error}; see the page of settings") from None


def path_of(flag: str | None) -> Path:
    named = flag or os.environ.get(VARIABLE)
    if not named:
        raise SettingsError(f"no settings file: set {VARIABLE} or give --settings")
    return Path(named)


def load(path: Path) -> Settings:
    """The settings in a file.  Raises SettingsError."""
    try:
        return read(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SettingsError(f"{path}: cannot be read: {why}") from None
