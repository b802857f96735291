"""Reads the platform's configuration file, which NODE_CONFIG names, into typed settings."""

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
    """The configuration of one gateway."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    bounds: Bounds
    most_units: float  # maximum of one request
    known: dict[str, Any]  # the last list of backends that the gateway received, in discovery's format
    settings: i.Settings
    kinds: tuple[str, ...]  # names of the kinds of backends; the decision module uses their indices
    conn_idle: float  # seconds after which a backend closes an idle connection


def settings_text(value: object) -> str:
    """Return a value in the notation of the settings text."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Yield nested settings as the path=value lines that `orchidhill.wire.parse_settings` reads."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count={len(value)}"
        for number, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield f"{path}=" + ",".join(map(settings_text, value))
    elif value is not None:
        yield f"{path}={settings_text(value)}"


def parse(text: str, env: Mapping[str, str], is_reload: bool = False) -> Config:
    """Parse the file's text; environment variables take precedence over it.  Raises ConfigError.

    On a reload the file takes precedence over NODE_DISCOVERY, which holds the address at the start.
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
        initial = env.get("NODE_DISCOVERY")
        discovery = raw.get("discovery", initial) if is_reload else initial or raw["discovery"]
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
            kinds=tuple(map(settings_text, kinds if isinstance(kinds, list) else [kinds])),
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


def load(env: Mapping[str, str], is_reload: bool = False) -> Config:
    """Read and parse the file that NODE_CONFIG names.  Raises ConfigError."""
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as source:
            return parse(source.read(), env, is_reload)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
