"""Tenants' documents: errors with their paths, and what is shown of keys."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ivymux.tenants import secret
from ivymux.tenants.merge import merge
from ivymux.tenants.model import (
    TenantError,
    check_tenant,
    missing_parts,
    parse_tenant,
    public_document,
    text_digests,
)
from tests.tenants.fixtures import tenant

VALID, TEXTS, KEY = tenant("a", [1])
DOCUMENT: dict[str, Any] = msgspec.to_builtins(VALID)


def test_a_valid_tenant_has_no_findings_and_lists_its_texts() -> None:
    assert parse_tenant(DOCUMENT) == VALID and check_tenant(VALID) == [] and missing_parts(VALID) == ()
    assert text_digests(VALID) == set(TEXTS)
    assert set(missing_parts(parse_tenant({}))) == {"hosts", "plans", "routes", "inventory"}


@pytest.mark.parametrize(
    ("patch", "path"),
    [
        ({"hosts": ["UPPER.example"]}, "/hosts/0"),
        ({"hosts": ["a.example:80"]}, "/hosts/0"),
        ({"hosts": ["a.example", "a.example"]}, "/hosts/1"),
        ({"plans": {"p": {"rate": -1.0}}}, "/plans/p/rate"),
        ({"plans": {"p": {"rate": 1.0, "burst": 0.5}}}, "/plans/p/burst"),
        ({"plans": {"No": {}}}, "/plans/No"),
        ({"customers": {"c": {"plan": "gold"}}}, "/customers/c/plan"),
        ({"customers": {"d\n": {"plan": "p"}}}, "/customers/d\n"),
        ({"customers": {"c": None, "d": {"plan": "p"}}}, "/keys/"),
        ({"limits": {"weight": 0.0}}, "/limits/weight"),
        ({"limits": {"open": 0}}, "/limits/open"),
        ({"rules": {"warm_up": 1e9}}, "/rules/warm_up"),
        ({"keyed": {"scope": "moon"}}, "/keyed/scope"),
        ({"defaults": {"deadline": 0.0}}, "/defaults/deadline"),
    ],
)
def test_each_error_is_reported_with_its_path(patch: dict[str, Any], path: str) -> None:
    findings = check_tenant(parse_tenant(merge(DOCUMENT, patch)))
    assert any(f.level == "error" and f.path.startswith(path) and f.text for f in findings), findings


@pytest.mark.parametrize(
    ("patch", "path"),
    [
        ({"plans": {"p": {"rate": "much"}}}, "/plans"),
        ({"plain": {}}, ""),
        ({"limits": {"cpus": 1}}, "/limits"),
        ({"hosts": "a.example"}, "/hosts"),
        ({"inventory": {"form": "xls"}}, "/inventory/form"),
    ],
)
def test_a_malformed_document_is_refused_with_its_path(patch: dict[str, Any], path: str) -> None:
    with pytest.raises(TenantError) as error:
        parse_tenant(merge(DOCUMENT, patch))
    (finding,) = error.value.findings
    assert finding.path.startswith(path) and finding.text


def test_keys_are_shown_without_salt_and_hash() -> None:
    document = msgspec.json.encode(public_document(VALID)).decode()
    (entry,) = VALID.keys.values()
    assert entry.salt not in document and entry.hash not in document and entry.customer in document


def test_a_key_is_valid_only_for_its_own_entry_until_it_expires() -> None:
    key_id, key, stored = secret.create_key(secret.CALLER_PREFIX, 10.0)
    parts = secret.split_key(key.encode(), secret.CALLER_PREFIX)
    assert parts is not None and parts[0] == key_id
    assert secret.is_valid_secret(stored, parts[1], 20.0) and not secret.is_valid_secret(None, parts[1], 20.0)
    other = secret.create_key(secret.CALLER_PREFIX, 10.0)[2]
    assert not secret.is_valid_secret(other, parts[1], 20.0)
    ending = secret.StoredKey(stored.salt, stored.hash, 10.0, 20.0)
    assert secret.is_valid_secret(ending, parts[1], 19.9) and not secret.is_valid_secret(
        ending, parts[1], 20.0
    )
    assert secret.split_key(key.encode(), secret.ADMIN_PREFIX) is None
    for bad in (b"", b"iv_", key.encode() + b"x", key.encode()[:-1], key.upper().encode(), b"x" * 10_000):
        assert secret.split_key(bad, secret.CALLER_PREFIX) is None
    assert secret.hash_secret(stored.salt, parts[1]) == stored.hash and parts[1].decode() not in stored.hash
