"""The store that an installation's file names, for each of the programs that use one."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ivymux.data_plane.limits import ConfigError
from ivymux.data_plane.passwords import read_password
from ivymux.desired.model import DoorStore, Store, StoreError
from ivymux.desired.sqlite import SqliteStore
from ivymux.hosting.site import EtcdPart, HostingFile

# The client of etcd takes 8 MB and 0.2 s that an installation with SQLite need not have.
if TYPE_CHECKING:
    from ivymux.desired.etcd.client import Access


def etcd_access(etcd: EtcdPart, folder: Path) -> Access:
    """Raises StoreError where the password can't be read; its text never says what is in the file."""
    from ivymux.desired.etcd.client import Access

    try:
        word = read_password(folder, etcd.password_file, "etcd.password_file")
    except ConfigError as error:
        raise StoreError(str(error)) from None
    ca, cert, key = (str(folder / name) if name else "" for name in (etcd.ca, etcd.cert, etcd.key))
    endpoints = tuple(e.rstrip("/") for e in etcd.endpoints)
    return Access(endpoints, etcd.username, word, ca, cert, key, etcd.timeout)


def open_store(file: HostingFile, folder: Path) -> Store:
    """For changes.  Raises StoreError."""
    if file.etcd is None:
        return SqliteStore(folder / file.store)
    from ivymux.desired.etcd.store import EtcdStore

    return EtcdStore(etcd_access(file.etcd, folder), file.etcd.prefix)


def open_gateway_store(file: HostingFile, folder: Path) -> DoorStore:
    """For a front door.  Raises StoreError where there is no state to begin with."""
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
