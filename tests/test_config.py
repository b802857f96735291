"""The platform's configuration, its limits, and starts with an invalid configuration."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ivymux.data_plane.limits import RESERVED_DESCRIPTORS, Address, Bounds, ConfigError
from ivymux.platform.config import parse
from orchidhill.wire import parse_settings

from .helpers import settings_text
from .sockets import config_text


def test_nested_settings_equal_the_simulators_flat_settings() -> None:
    config = parse(config_text([], "127.0.0.1:6400", report__columns="latency_ms,util"), {})
    expected = parse_settings(settings_text(report__columns="latency_ms,util"))
    assert config.settings == expected
    assert (config.kinds, config.conn_idle, config.seed) == (("m2",), 30.0, 0x8C1F)
    assert config.counter == Address("127.0.0.1", 6400)


def test_environment_variables_take_precedence() -> None:
    config = parse(config_text([]), {"NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.7:9"})
    assert (config.name, config.listen) == ("n7", Address("127.0.0.7", 9))


# The variable holds discovery's address at the start; after a reload it must not keep the gateway there.
def test_on_a_reload_the_file_takes_precedence_for_discovery() -> None:
    env = {"NODE_DISCOVERY": "127.0.0.1:7"}
    assert parse(config_text([], discovery="127.0.0.1:8"), env).discovery == Address("127.0.0.1", 7)
    assert parse(config_text([], discovery="127.0.0.1:8"), env, is_reload=True).discovery.port == 8
    assert parse(without("discovery"), env, is_reload=True).discovery.port == 7


def without(key: str) -> str:
    raw: dict[str, Any] = json.loads(config_text([]))
    del raw[key]
    return json.dumps(raw)


@pytest.mark.parametrize(
    "bad",
    [
        "{", "[]", "{}", without("listen"), without("settings"), without("limits"), without("seed"),
        config_text([], rules__warm_up_s="soon"), config_text([], discovery="nowhere"),
        config_text([]).replace('"sockets": 1024', '"sockets": 10'),
    ],
)  # fmt: skip
def test_bad_configuration_is_refused(bad: str) -> None:
    with pytest.raises(ConfigError):
        parse(bad, {})


@pytest.mark.parametrize("content", [None, "{", without("listen"), '{"settings": {}}'])
def test_a_start_with_a_bad_configuration_prints_one_line(content: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_text(content)
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")} | {"NODE_CONFIG": str(path)}
    process = subprocess.run(
        [sys.executable, "-m", "ivymux"], env=env, capture_output=True, text=True, timeout=20, check=False
    )
    assert process.returncode == 2 and not process.stdout
    assert process.stderr.startswith("ivymux: ") and process.stderr.count("\n") == 1


# Clients and backends must each get a third of the descriptors even on a small machine, as each request may
# need a connection to a backend.
@pytest.mark.parametrize(("sockets", "memory_mb"), [(256, 32), (1024, 192)])
def test_bounds_follow_the_limits(sockets: int, memory_mb: int) -> None:
    bounds = Bounds.from_limits(sockets, memory_mb)
    assert min(bounds.max_clients, bounds.max_backend_connections) > sockets / 3
    assert (
        bounds.max_clients + bounds.surplus_clients + bounds.max_backend_connections + RESERVED_DESCRIPTORS
        <= sockets
    )
    assert bounds.max_held_bytes <= memory_mb * (1 << 20) / 8
