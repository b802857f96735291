"""Stores over the stand-in for etcd."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from ivymux.desired.etcd.client import Access
from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.model import Admin
from ivymux.tenants import secret
from standins.etcd import EtcdServer, etcd_server


def access(*servers: EtcdServer, **options: Any) -> Access:
    return Access(tuple(s.endpoint_url for s in servers), **({"timeout": 2.0} | options))


@contextlib.contextmanager
def stored(**options: Any) -> Iterator[tuple[EtcdServer, EtcdStore]]:
    """A stand-in for etcd with a new desired state, and a store over it."""
    with etcd_server() as server:
        store = EtcdStore(access(server, **options))
        begin(store)
        try:
            yield server, store
        finally:
            store.close()


def begin(store: EtcdStore, name: str = "olga") -> str:
    """Store an operator's key as the command line does, which creates the state.  Return the key."""
    key_id, key, stored_key = secret.create_key(secret.ADMIN_PREFIX, 0.0)
    store.add_operator(Admin(key_id, name, "", stored_key), 1000.0)
    return key
