"""Opens the store of the desired state that an installation's file configures."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ivymux.data_plane.limits import ConfigError
from ivymux.data_plane.passwords import read_password
from ivymux.desired.model import GatewayStore, Store, StoreError
from ivymux.desired.sqlite import SqliteStore
from ivymux.hosting.site import EtcdPart, HostingFile

# The etcd client is imported on use: the import takes 8 MB and 0.2 s, which installations with SQLite save.
if TYPE_CHECKING:
    from ivymux.desired.etcd.client import Access


def etcd_access(etcd: EtcdPart, folder: Path) -> Access:
    """Return the settings of the etcd client.

    Raises StoreError if the password can't be read; the error never contains text of the password file.
    """
    from ivymux.desired.etcd.client import Access

    try:
        password = read_password(folder, etcd.password_file, "etcd.password_file")
    except ConfigError as error:
        raise StoreError(str(error)) from None
    ca, cert, key = (str(folder / name) if name else "" for name in (etcd.ca, etcd.cert, etcd.key))
    endpoints = tuple(e.rstrip("/") for e in etcd.endpoints)
    return Access(endpoints, etcd.username, password, ca, cert, key, etcd.timeout)


def open_store(file: HostingFile, folder: Path) -> Store:
    """Open the store through which the administration API changes the desired state.  Raises StoreError."""
    if file.etcd is None:
        return SqliteStore(folder / file.store)
    from ivymux.desired.etcd.store import EtcdStore

    return EtcdStore(etcd_access(file.etcd, folder), file.etcd.prefix)


def open_gateway_store(file: HostingFile, folder: Path) -> GatewayStore:
    """Open the store from which a gateway follows the desired state.

    Raises StoreError if there is no state to start from.
    """
    if file.etcd is None:
        return SqliteStore(folder / file.store)
    from ivymux.desired.etcd.follower import Follower

    cache = folder / file.etcd.cache if file.etcd.cache else None
    follower = Follower(etcd_access(file.etcd, folder), file.etcd.prefix, file.name, cache)
    try:
        follower.start()
    except BaseException:
        follower.close()
        raise
    return follower
