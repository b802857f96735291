"""What one core machine keeps on its disk, by lmdb.  A commit waits for the disk: never in the loop's
thread.
"""

from __future__ import annotations

import os
import secrets
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from ivymux.door.limits import ConfigError
from ivymux.exchange.words import Keep, Kept, Record, State
from ivymux.ticket.book import Ticket

SIZE = 96 << 20  # bytes of the file at most
TICKET = b"ticket/"  # before the key of each
FIRST = "first"  # the token of a machine that was there at the first start

_pack = msgspec.json.encode


class VaultError(ConfigError):
    """The disk's folder cannot be used; the text is one plain line."""


class Vault:
    def __init__(self, folder: Path) -> None:
        """Raises VaultError."""
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.env = lmdb.open(str(folder / "exchange"), map_size=SIZE, max_dbs=0, readahead=False)
        except (OSError, lmdb.Error) as error:
            raise VaultError(f"{folder}: the store cannot be opened: {error}") from None

    def get(self, name: bytes) -> Any:
        with self.env.begin() as look:
            found = look.get(name)
        return None if found is None else msgspec.json.decode(found)

    def load(self, ip: str, initial: bool, seeds: tuple[str, ...]) -> Kept:
        """What is kept; a machine with an empty folder gets its identity, and keeps that.  Raises
        VaultError.
        """
        try:
            token = self.get(b"token")
            if token is None:
                # Only a first start may found: else this machine has lost its disk, and is a new one.
                token = FIRST if initial else secrets.token_hex(6)
                record = Record(0, "", "", tuple(sorted(f"{s}/{FIRST}" for s in seeds)))
                founds = initial and ip in seeds
                with self.env.begin(write=True) as change:
                    change.put(b"token", _pack(token))
                    if founds:
                        change.put(b"record", _pack(record.wire()))
            wire, promised, state = self.get(b"record"), self.get(b"promised"), self.get(b"state")
            tickets = self.tickets()
            return Kept(
                f"{ip}/{token}",
                None if wire is None else Record.read(wire),
                int(promised[0]) if promised else 0,
                str(promised[1]) if promised else "",
                None if state is None else State(*state),
                {t.key: t for t in tickets},
            )
        except (lmdb.Error, OSError, ValueError, TypeError, msgspec.DecodeError) as error:
            raise VaultError(f"{self.folder}: the store cannot be read: {error}; clear the folder") from None

    def tickets(self) -> list[Ticket]:
        found = []
        with self.env.begin() as look, look.cursor() as cursor:
            there = cursor.set_range(TICKET)
            while there and cursor.key().startswith(TICKET):
                found.append(Ticket.read(msgspec.json.decode(cursor.value())))
                there = cursor.next()
        return found

    def keep(self, things: list[Keep]) -> None:
        """Write all of it in one commit.  Raises VaultError."""
        try:
            with self.env.begin(write=True) as change:
                for thing in things:
                    if thing.record is not None:
                        change.put(b"record", _pack(thing.record.wire()))
                    if thing.promised is not None:
                        change.put(b"promised", _pack(thing.promised))
                    if thing.state is not None:
                        change.put(
                            b"state", _pack((thing.state.epoch, thing.state.version, thing.state.text))
                        )
                    for key, ticket in thing.tickets:
                        name = TICKET + key.encode()
                        if ticket is None:
                            change.delete(name)
                        else:
                            change.put(name, _pack(ticket.wire()))
        except (lmdb.Error, OSError) as error:
            raise VaultError(f"{self.folder}: cannot be written: {error}") from None

    def close(self) -> None:
        self.env.close()


def folder_synced(folder: Path) -> None:
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
