"""The users' configuration: what is accepted, and the text of each refusal."""

from __future__ import annotations

import json
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from ivymux.routing_config import route_plan
from ivymux.routing_config.route_plan import RoutingConfigError
from ivymux.routing_config.validation import parse_route_plan


def document() -> dict[str, Any]:
    return {
        "config_version": 7,
        "route_table": [
            {
                "name": "read", "host_name": "Minutes.example", "path_prefix": "/a/",
                "route_type": "idempotent",
                "deadline": "1200ms", "target": "300ms", "precedence": 2, "max_attempts": 2,
                "weighted_split": [
                    {"service_name": "archive", "weight_value": 90},
                    {"service_name": "desk", "weight_value": 10},
                ],
            },
            {
                "name": "sign", "host_name": "minutes.example", "path_prefix": "/a/sign/", "deadline": "1.5s",
                "route_type": "non_idempotent", "target": "400ms", "service_name": "desk", "no_auth": True,
            },
        ],
        "service_table": [{"name": "archive", "conn_limit": 110}, {"name": "desk", "conn_limit": 110}],
        "tenant_table": [
            {"name": "clerks", "api_keys": ["key-one", "key-two"], "rate_per_s": 63, "burst_size": 31.5},
            {"name": "chairs", "api_keys": ["key-three"]},
        ],
    }  # fmt: skip


def encoded(**changes: Any) -> bytes:
    """Return the document's text with changes by path, such as `route_table__0__deadline`; `...` deletes."""
    changed: Any = document()
    for path, value in changes.items():
        *steps, last = path.split("__")
        parent = changed
        for step in steps:
            parent = parent[int(step)] if step.isdigit() else parent[step]
        if value is ...:
            del parent[last]
        else:
            parent[int(last) if last.isdigit() else last] = value
    return json.dumps(changed).encode()


# Changes that make the document invalid, by what is wrong.
INVALID: dict[str, dict[str, Any]] = {
    "unknown service": {"route_table__1__service_name": "nobody"},
    "unknown service beside a split": {"route_table__0__service_name": "nobody"},
    "route without a service": {"route_table__1__service_name": ...},
    "prefix without a slash": {"route_table__0__path_prefix": "a/"},
    "host and prefix twice": {"route_table__1__path_prefix": "/a/"},
    "weights sum to 0": {"route_table__0__weighted_split": [{"service_name": "desk", "weight_value": 0}]},
    "negative weight": {"route_table__0__weighted_split__0__weight_value": -1},
    "deadline too long": {"route_table__0__deadline": "601s"},
    "deadline that is no time": {"route_table__0__deadline": "soon"},
    "unknown route type": {"route_table__0__route_type": "maybe"},
    "key of two tenants": {"tenant_table__1__api_keys": ["key-one"]},
    "rate that is no number": {"tenant_table__0__rate_per_s": "many"},
    "route table that is no list": {"route_table": {}},
    "service without a name": {"service_table__0__name": ...},
    "version that is no number": {"config_version": "7"},
    "missing version": {"config_version": ...},
}


def test_each_refusal_names_the_place_and_how_to_correct_it(snapshot: SnapshotAssertion) -> None:
    refusals = {}
    for name, changes in INVALID.items():
        with pytest.raises(RoutingConfigError) as caught:
            parse_route_plan(encoded(**changes))
        refusals[name] = str(caught.value)
        assert "key-one" not in refusals[name] and "\n" not in refusals[name]
    assert refusals == snapshot


def test_a_truncated_text_is_refused() -> None:
    text = encoded()
    for cut in range(len(text)):
        with pytest.raises(RoutingConfigError):
            parse_route_plan(text[:cut])
    assert parse_route_plan(text).version == 7


def test_a_proxy_applies_a_split_that_an_earlier_release_acknowledged() -> None:
    text = encoded(route_table__0__service_name="nobody")
    read = route_plan.parse_route_plan(text).find_route("minutes.example", "/a/9")
    assert read is not None and read.choose_service(0.0) == "archive"


def test_routes_keys_and_weighted_splits() -> None:
    plan = parse_route_plan(encoded())
    sign, read = plan.find_route("minutes.example", "/a/sign/9"), plan.find_route("minutes.example", "/a/9")
    assert sign is not None and sign.name == "sign" and sign.no_auth and not sign.is_idempotent
    assert read is not None and read.name == "read" and read.is_idempotent and read.max_attempts == 2
    assert (
        plan.find_route("minutes.example", "/b/") is None and plan.find_route("other.example", "/a/") is None
    )
    assert plan.tenant_by_key[b"key-two"] == "clerks" and plan.tenants["clerks"].burst_size == 31.5
    chosen = [read.choose_service(n / 1000) for n in range(1000)]
    assert chosen.count("archive") == 900 and chosen.count("desk") == 100
    assert read.choose_service(0.9999999) == "desk"


def test_unknown_fields_are_ignored() -> None:
    extended = document()
    extended["new"] = extended["route_table"][0]["new"] = extended["tenant_table"][0]["new"] = {"x": 1}
    assert parse_route_plan(json.dumps(extended).encode()).version == 7
