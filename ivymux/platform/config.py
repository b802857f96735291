"""NODE_CONFIG as typed configuration."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from ivymux.data_plane.limits import Address, Bounds, ConfigError, parse_address
from orchidhill import interface as i
from orchidhill.wire import SettingsError, parse_settings


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    bounds: Bounds
    most_units: float  # of one request
    known: dict[str, Any]  # the list of backends as this front door last had it, in discovery's form
    settings: i.Settings
    kinds: tuple[str, ...]
    conn_idle: float  # seconds after which a backend closes an idle connection


def plain(value: object) -> str:
    """A value as the settings text writes it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Nested settings as the path=value lines that the inherited parser reads."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count={len(value)}"
        for number, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield f"{path}=" + ",".join(map(plain, value))
    elif value is not None:
        yield f"{path}={plain(value)}"


def parse(text: str, env: Mapping[str, str], again: bool = False) -> Config:
    """The configuration.  The environment's own variables win over the file; not so NODE_DISCOVERY when the
    file is read `again`: it tells where discovery was at the start.
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"not JSON: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError("the configuration is not an object with settings")
    try:
        nested = raw["settings"]
        sockets, memory_mb = int(raw["limits"]["sockets"]), float(raw["limits"]["memory_mb"])
        settings = parse_settings("\n".join(flatten(nested)))
        kinds = nested.get("host_types", [])
        known = raw.get("known") or {}
        told = env.get("NODE_DISCOVERY")
        discovery = raw.get("discovery", told) if again else told or raw["discovery"]
        config = Config(
            name=env.get("NODE_NAME") or str(raw["name"]),
            listen=parse_address(env.get("NODE_LISTEN") or raw["listen"]),
            discovery=parse_address(discovery),
            counter=parse_address(raw["counter"]) if raw.get("counter") else None,
            seed=int(str(raw["seed"]), 16),
            bounds=Bounds.from_limits(sockets, memory_mb),
            most_units=float(nested["extra"].get("most_units", "inf")),
            known=known,
            settings=settings,
            kinds=tuple(map(plain, kinds if isinstance(kinds, list) else [kinds])),
            conn_idle=float(nested["caps"]["conn_idle_s"]),
        )
    except KeyError as error:
        raise ConfigError(f"missing {error}") from None
    except (SettingsError, TypeError, ValueError) as error:
        raise ConfigError(str(error)) from None
    if not isinstance(known, dict):
        raise ConfigError("known is not an object")
    if settings.has_counter and config.counter is None:
        raise ConfigError("the settings name a counter, but no address is given")
    if sockets < 64 or not 16 <= memory_mb < float("inf"):
        raise ConfigError(f"too little to serve with: {sockets} sockets, {memory_mb:g} MB")
    return config


def load(env: Mapping[str, str], again: bool = False) -> Config:
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as source:
            return parse(source.read(), env, again)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
