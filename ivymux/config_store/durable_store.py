"""The durable state of one core machine, in lmdb.

A commit waits for the disk, so it must not run in the event loop's thread.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from ivymux.config_store.actions import Persist
from ivymux.config_store.history import MAX_CHANGES, digest_of
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord
from ivymux.data_plane.limits import ConfigError
from ivymux.idempotency.record_store import IdempotencyRecord

MAP_SIZE = 96 << 20  # bytes; limit of the file's size
FOLDER = "exchange"  # within the data folder; the name that stores of earlier releases have
RECORD_PREFIX = b"ticket/"  # before the key of an idempotency record
HISTORY_PREFIX = b"history/"  # before each stored version
CHECK_KEY = b"check"
FOUNDER_TOKEN = "first"  # of a machine that took part in the first start

_encode = msgspec.json.encode


class DurableStoreError(ConfigError):
    """The data folder cannot be used; the text is one line."""


class DiskFailure(DurableStoreError):
    """The disk did not do what it was asked to; it may do so later."""


# With these, a data folder cannot be used until somebody mends it.
LASTING_ERRORS = (
    PermissionError,
    FileExistsError,
    FileNotFoundError,
    NotADirectoryError,
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.InvalidParameterError,
    lmdb.ReadonlyError,
    lmdb.VersionMismatchError,
)


def store_error(text: str, cause: Exception) -> DurableStoreError:
    """Return the error that says whether its cause may pass by itself."""
    return DurableStoreError(text) if isinstance(cause, LASTING_ERRORS) else DiskFailure(text)


class DurableStore:
    """The durable state of one replica."""

    def __init__(self, folder: Path) -> None:
        """Open the store, creating the folder if it is missing.  Raises DurableStoreError."""
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.env = lmdb.open(str(folder / FOLDER), map_size=MAP_SIZE, max_dbs=0, readahead=False)
        except (OSError, lmdb.Error) as error:
            raise store_error(f"{folder}: the store cannot be opened: {error}", error) from None

    def load(self, address: str, initial: bool, seeds: tuple[str, ...]) -> DurableState:
        """Return the stored state; a machine with an empty folder first gets an identity.

        `initial`: this is the system's first start, with `seeds` as the members.  Raises DurableStoreError.
        """
        try:
            token = self.get(b"token") or self.create_identity(address, initial, seeds)
            record, promised, state = self.get(b"record"), self.get(b"promised"), self.get(b"state")
            return DurableState(
                f"{address}/{token}",
                None if record is None else msgspec.convert(record, EpochRecord),
                int(promised[0]) if promised else 0,
                str(promised[1]) if promised else "",
                None if state is None else msgspec.convert(state, ConfigurationState),
                {record.key: record for record in self.idempotency_records()},
                self.history(state),
            )
        except (ValueError, TypeError) as error:
            why = f"{self.folder}: the store cannot be read: {error}; clear the folder"
            raise DurableStoreError(why) from None
        except (lmdb.Error, OSError) as error:
            raise store_error(f"{self.folder}: the store cannot be used: {error}", error) from None

    def create_identity(self, address: str, initial: bool, seeds: tuple[str, ...]) -> str:
        """Store and return a new identity's token, before any message is sent under it.

        At the system's first start the token is the same for every seed.  Later, an empty folder means that
        this machine has lost its disk: it gets a random token, and so counts as a new machine.
        """
        token = FOUNDER_TOKEN if initial else secrets.token_hex(6)
        record = EpochRecord(0, "", "", tuple(sorted(f"{seed}/{FOUNDER_TOKEN}" for seed in seeds)))
        with self.env.begin(write=True) as transaction:
            transaction.put(b"token", _encode(token))
            if initial and address in seeds:
                transaction.put(b"record", _encode(record))
        return token

    def get(self, name: bytes) -> Any:
        """Return the decoded value under a key, None where there is none."""
        with self.env.begin() as transaction:
            value = transaction.get(name)
        return None if value is None else msgspec.json.decode(value)

    def history(self, state: Any) -> tuple[tuple[int, str], ...]:
        """Return the stored versions with the digests of their texts.

        A store of an earlier release has no history; its configuration is then the only entry.
        """
        with self.env.begin() as transaction:
            history = tuple(
                (int(key[len(HISTORY_PREFIX) :]), value.decode())
                for key, value in _rows(transaction, HISTORY_PREFIX)
            )
        if not history and state is not None and int(state[1]) >= 0:
            return ((int(state[1]), digest_of(str(state[2]))),)
        return history

    def idempotency_records(self) -> list[IdempotencyRecord]:
        """Return all idempotency records."""
        with self.env.begin() as transaction:
            return [
                IdempotencyRecord.from_wire(msgspec.json.decode(value))
                for _, value in _rows(transaction, RECORD_PREFIX)
            ]

    def write(self, steps: list[Persist]) -> None:
        """Write steps in one commit.  Raises DurableStoreError."""
        try:
            with self.env.begin(write=True) as transaction:
                for step in steps:
                    _write_step(transaction, step)
        except (lmdb.Error, OSError) as error:
            raise DiskFailure(f"{self.folder}: cannot be written: {error}") from None

    def check_writable(self) -> None:
        """Write to the disk and wait for it.  Raises DiskFailure."""
        try:
            with self.env.begin(write=True) as transaction:
                transaction.put(CHECK_KEY, b"")
        except (lmdb.Error, OSError) as error:
            raise DiskFailure(f"{self.folder}: cannot be written: {error}") from None

    def close(self) -> None:
        self.env.close()


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """A store, and what was on its disk when it was opened."""

    store: DurableStore
    durable: DurableState


def open_store(folder: Path, address: str, initial: bool, seeds: tuple[str, ...]) -> OpenedStore:
    """Open the store in a folder, and make its files durable; the arguments are those of `load`.

    Raises DurableStoreError.
    """
    store = DurableStore(folder)
    try:
        durable = store.load(address, initial, seeds)
    except DurableStoreError:
        store.close()
        raise
    sync_folder(folder)
    sync_folder(folder / FOLDER)
    return OpenedStore(store, durable)


def _write_step(transaction: lmdb.Transaction, step: Persist) -> None:
    for name, value in ((b"record", step.epoch_record), (b"promised", step.promised), (b"state", step.state)):
        if value is not None:
            transaction.put(name, _encode(value))
    if step.history is not None:
        _delete(transaction, [key for key, _ in _rows(transaction, HISTORY_PREFIX)])
        for version, digest in step.history:
            transaction.put(_history_key(version), digest.encode())
    if step.change is not None:
        version, digest = step.change
        transaction.put(_history_key(version), digest.encode())
        _delete(transaction, [key for key, _ in _rows(transaction, HISTORY_PREFIX)][:-MAX_CHANGES])
    for key, record in step.idempotency_records:
        name = RECORD_PREFIX + key.encode()
        if record is None:
            transaction.delete(name)
        else:
            transaction.put(name, _encode(record))


def _history_key(version: int) -> bytes:
    """Return a version's key; keys have one width, so that they are in order of versions."""
    return HISTORY_PREFIX + b"%020d" % version


def _rows(transaction: lmdb.Transaction, prefix: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the keys with a prefix, in order, with their values."""
    with transaction.cursor() as cursor:
        found = cursor.set_range(prefix)
        while found and (key := bytes(cursor.key())).startswith(prefix):
            yield key, bytes(cursor.value())
            found = cursor.next()


def _delete(transaction: lmdb.Transaction, keys: list[bytes]) -> None:
    for key in keys:
        transaction.delete(key)


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes new files in it durable; a folder that cannot be synced is ignored."""
    try:
        descriptor = os.open(folder, os.O_RDONLY)
    except OSError:
        return
    try:
        os.fsync(descriptor)
    except OSError:
        pass
    finally:
        os.close(descriptor)
