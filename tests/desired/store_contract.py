"""Checks that every store of the desired state has to pass."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.desired.model import Change, RevisionConflict, Store
from ivymux.tenants.model import Tenant
from tests.tenants.fixtures import tenant


def change(name: str, new_tenant: Tenant | None, expected: int = 0, uid: str = "", **options: Any) -> Change:
    fields: dict[str, Any] = {"at": 1000.0, "who": "me", "origin": "127.0.0.1", "action": "test"}
    return Change(
        name=name, expected=expected, tenant=new_tenant, uid=uid or f"u-{name}", **(fields | options)
    )


def put(store: Store, name: str, expected: int = 0, **options: Any) -> int:
    new_tenant, blobs, _ = tenant(name, [1])
    return store.commit(change(name, new_tenant, expected, blobs=blobs, **options))


def check_optimistic_locking(store: Store, before: int) -> None:
    """A change is accepted only against the revision that it expects.

    `before` is the store's revision and the number of its audit records.
    """
    first = put(store, "a")
    assert first == store.revision() == before + 1
    found = store.get("a")
    assert found is not None and found.revision == first and found.uid == "u-a"
    second = put(store, "a", first)
    with pytest.raises(RevisionConflict) as conflict:
        put(store, "a", first)
    assert conflict.value.current is not None and conflict.value.current.revision == second
    with pytest.raises(RevisionConflict):
        put(store, "a")  # creates a tenant that exists
    with pytest.raises(RevisionConflict):
        put(store, "a", second, uid="another")  # another tenant of the same name
    with pytest.raises(RevisionConflict):
        store.commit(change("b", None, 1))
    assert store.revision() == second and len(store.audit("", 1 << 60, 10)) == before + 2
    assert [s.revision for s in store.history("u-a", 9)] == [second, first]
    assert [a.revision for a in store.audit("u-a", second, 9)] == [first]
