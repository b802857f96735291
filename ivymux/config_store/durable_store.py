"""What one core machine keeps on its disk, by lmdb.  A commit waits for the disk: never in the loop's
thread.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from ivymux.config_store.actions import Persist
from ivymux.config_store.history import MAX_CHANGES, digest_of
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord
from ivymux.data_plane.limits import ConfigError
from ivymux.idempotency.record_store import IdempotencyRecord

MAP_SIZE = 96 << 20  # bytes of the file at most
FOLDER = "exchange"  # within the disk's folder; stores of earlier releases have it
TICKET = b"ticket/"  # before the key of each
HISTORY = b"history/"  # before each version that was taken
FIRST = "first"  # the token of a machine that was there at the first start

_pack = msgspec.json.encode


class DurableStoreError(ConfigError):
    """The disk's folder cannot be used; the text is one plain line."""


class DurableStore:
    """The disk of one replica."""

    def __init__(self, folder: Path) -> None:
        """Raises DurableStoreError."""
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.env = lmdb.open(str(folder / FOLDER), map_size=MAP_SIZE, max_dbs=0, readahead=False)
        except (OSError, lmdb.Error) as error:
            raise DurableStoreError(f"{folder}: the store cannot be opened: {error}") from None

    def load(self, address: str, initial: bool, seeds: tuple[str, ...]) -> DurableState:
        """What is kept; a machine with an empty folder gets its identity, and keeps that.

        `initial`: the system starts for the first time, and `seeds` found it.  Raises DurableStoreError.
        """
        try:
            token = self.get(b"token") or self.found(address, initial, seeds)
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
        except (lmdb.Error, OSError, ValueError, TypeError) as error:
            why = f"{self.folder}: the store cannot be read: {error}; clear the folder"
            raise DurableStoreError(why) from None

    def found(self, address: str, initial: bool, seeds: tuple[str, ...]) -> str:
        """Keep an identity, before anything is said under it.

        Only a first start may found: else this machine has lost its disk, and is a new one.
        """
        token = FIRST if initial else secrets.token_hex(6)
        record = EpochRecord(0, "", "", tuple(sorted(f"{seed}/{FIRST}" for seed in seeds)))
        with self.env.begin(write=True) as change:
            change.put(b"token", _pack(token))
            if initial and address in seeds:
                change.put(b"record", _pack(record))
        return token

    def get(self, name: bytes) -> Any:
        with self.env.begin() as look:
            found = look.get(name)
        return None if found is None else msgspec.json.decode(found)

    def history(self, state: Any) -> tuple[tuple[int, str], ...]:
        """Versions that were taken with the digests of their texts; of a store without, of what it holds."""
        with self.env.begin() as look:
            found = tuple((int(key[len(HISTORY) :]), value.decode()) for key, value in _rows(look, HISTORY))
        if not found and state is not None and int(state[1]) >= 0:
            return ((int(state[1]), digest_of(str(state[2]))),)
        return found

    def idempotency_records(self) -> list[IdempotencyRecord]:
        with self.env.begin() as look:
            return [
                IdempotencyRecord.from_wire(msgspec.json.decode(value)) for _, value in _rows(look, TICKET)
            ]

    def write(self, steps: list[Persist]) -> None:
        """Write all of it in one commit.  Raises DurableStoreError."""
        try:
            with self.env.begin(write=True) as change:
                for step in steps:
                    _write_step(change, step)
        except (lmdb.Error, OSError) as error:
            raise DurableStoreError(f"{self.folder}: cannot be written: {error}") from None

    def close(self) -> None:
        self.env.close()


def _write_step(change: lmdb.Transaction, step: Persist) -> None:
    for name, value in ((b"record", step.epoch_record), (b"promised", step.promised), (b"state", step.state)):
        if value is not None:
            change.put(name, _pack(value))
    if step.history is not None:
        _delete(change, [key for key, _ in _rows(change, HISTORY)])
        for version, digest in step.history:
            change.put(_history_key(version), digest.encode())
    if step.change is not None:
        version, digest = step.change
        change.put(_history_key(version), digest.encode())
        _delete(change, [key for key, _ in _rows(change, HISTORY)][:-MAX_CHANGES])
    for key, record in step.idempotency_records:
        name = TICKET + key.encode()
        if record is None:
            change.delete(name)
        else:
            change.put(name, _pack(record))


def _history_key(version: int) -> bytes:
    """Keys of one width: they are in rising order of versions."""
    return HISTORY + b"%020d" % version


def _rows(transaction: lmdb.Transaction, prefix: bytes) -> Iterator[tuple[bytes, bytes]]:
    """The keys that begin so, in order, with their values."""
    with transaction.cursor() as cursor:
        there = cursor.set_range(prefix)
        while there and (key := bytes(cursor.key())).startswith(prefix):
            yield key, bytes(cursor.value())
            there = cursor.next()


def _delete(change: lmdb.Transaction, keys: list[bytes]) -> None:
    for key in keys:
        change.delete(key)


def sync_folder(folder: Path) -> None:
    """A new name endures once its folder is synced."""
    try:
        handle = os.open(folder, os.O_RDONLY)
    except OSError:
        return
    try:
        os.fsync(handle)
    except OSError:
        pass
    finally:
        os.close(handle)
