"""The users' configuration: what is taken, and what each refusal says."""

from __future__ import annotations

import json
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from ivymux.routing_config.route_plan import PlanError
from ivymux.routing_config.validation import plan_of


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


def sent(**changes: Any) -> bytes:
    """The document's text with changes by path, as `route_table.0.deadline`."""
    made: Any = document()
    for path, value in changes.items():
        *steps, last = path.split("__")
        at = made
        for step in steps:
            at = at[int(step)] if step.isdigit() else at[step]
        if value is ...:
            del at[last]
        else:
            at[int(last) if last.isdigit() else last] = value
    return json.dumps(made).encode()


INVALID: dict[str, dict[str, Any]] = {
    "unknown service": {"route_table__1__service_name": "nobody"},
    "no service": {"route_table__1__service_name": ...},
    "bare prefix": {"route_table__0__path_prefix": "a/"},
    "same place": {"route_table__1__path_prefix": "/a/"},
    "no weight": {"route_table__0__weighted_split": [{"service_name": "desk", "weight_value": 0}]},
    "below zero": {"route_table__0__weighted_split__0__weight_value": -1},
    "long time-out": {"route_table__0__deadline": "601s"},
    "no time": {"route_table__0__deadline": "soon"},
    "a type": {"route_table__0__route_type": "maybe"},
    "shared key": {"tenant_table__1__api_keys": ["key-one"]},
    "a number's place": {"tenant_table__0__rate_per_s": "many"},
    "a list's place": {"route_table": {}},
    "a missing name": {"service_table__0__name": ...},
    "a version": {"config_version": "7"},
    "no version": {"config_version": ...},
}


def test_each_refusal_names_the_place_and_the_mend(snapshot: SnapshotAssertion) -> None:
    told = {}
    for name, changes in INVALID.items():
        with pytest.raises(PlanError) as caught:
            plan_of(sent(**changes))
        told[name] = str(caught.value)
        assert "key-one" not in told[name] and "\n" not in told[name]
    assert told == snapshot


def test_a_text_that_is_cut_anywhere_is_refused() -> None:
    text = sent()
    for cut in range(len(text)):
        with pytest.raises(PlanError):
            plan_of(text[:cut])
    assert plan_of(text).version == 7


def test_routes_keys_and_splits() -> None:
    plan = plan_of(sent())
    sign, read = plan.find("minutes.example", "/a/sign/9"), plan.find("minutes.example", "/a/9")
    assert sign is not None and sign.name == "sign" and sign.open and not sign.repeatable
    assert read is not None and read.name == "read" and read.repeatable and read.most == 2
    assert plan.find("minutes.example", "/b/") is None and plan.find("other.example", "/a/") is None
    assert plan.keys[b"key-two"] == "clerks" and plan.tenants["clerks"].burst == 31.5
    drawn = [read.service(n / 1000) for n in range(1000)]
    assert drawn.count("archive") == 900 and drawn.count("desk") == 100
    assert read.service(0.9999999) == "desk"


def test_fields_that_are_not_known_are_left() -> None:
    made = document()
    made["new"] = made["route_table"][0]["new"] = made["tenant_table"][0]["new"] = {"x": 1}
    assert plan_of(json.dumps(made).encode()).version == 7
