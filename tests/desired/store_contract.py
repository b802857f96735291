"""What every store of a desired state promises, whatever it is made of."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.desired.model import Change, RevisionConflict, Store
from ivymux.tenants.model import Tenant
from tests.tenants.making import tenant


def change(name: str, made: Tenant | None, expected: int = 0, uid: str = "", **more: Any) -> Change:
    terms: dict[str, Any] = {"at": 1000.0, "who": "me", "origin": "127.0.0.1", "action": "test"}
    return Change(name=name, expected=expected, tenant=made, uid=uid or f"u-{name}", **(terms | more))


def put(store: Store, name: str, expected: int = 0, **more: Any) -> int:
    made, blobs, _ = tenant(name, [1])
    return store.commit(change(name, made, expected, blobs=blobs, **more))


def check_optimistic_locking(store: Store, before: int) -> None:
    """`before`: the store's revision, and its audit records."""
    first = put(store, "a")
    assert first == store.revision() == before + 1
    found = store.get("a")
    assert found is not None and found.revision == first and found.uid == "u-a"
    second = put(store, "a", first)
    with pytest.raises(RevisionConflict) as lost:
        put(store, "a", first)
    assert lost.value.current is not None and lost.value.current.revision == second
    with pytest.raises(RevisionConflict):
        put(store, "a")  # creating what is there
    with pytest.raises(RevisionConflict):
        put(store, "a", second, uid="another")  # one of the same name, made meanwhile
    with pytest.raises(RevisionConflict):
        store.commit(change("b", None, 1))
    assert store.revision() == second and len(store.audit("", 1 << 60, 10)) == before + 2
    assert [s.revision for s in store.history("u-a", 9)] == [second, first]
    assert [a.revision for a in store.audit("u-a", second, 9)] == [first]
