"""Runs the config store of one machine, and replaces it by a new one when its disk fails.

A store whose write failed must not go on: its memory is ahead of its disk.  It is given up as if its process
had been killed, and a new one begins with what the disk holds, once that can be written again.  Meanwhile
calls are refused, and other config stores find nobody here.
"""

from __future__ import annotations

import asyncio
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from ivymux.config_store import messages
from ivymux.config_store.durable_store import DiskFailure, DurableStoreError, OpenedStore, open_store
from ivymux.config_store.program import ConfigStore
from ivymux.data_plane.limits import LISTEN_BACKLOG, Address
from ivymux.runtime.listening_sockets import ListeningSockets
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings
from ivymux.transport.connection import CALL_NUMBER, Connection
from ivymux.transport.frames import Message
from ivymux.transport.listener import Listener

FIRST_RETRY_DELAY_S = 0.1  # after a failure, until the disk is tried again
MAX_RETRY_DELAY_S = 2.0
STABLE_S = 10.0  # after which a store counts as sound, and the delay as new

log = Log("config_store")


def refuse(connection: Connection, message: Message) -> None:
    """Refuse a call, and end the connections of other config stores."""
    if messages.TAG in message:
        connection.abort()
    elif CALL_NUMBER in message:
        connection.answer(message, ok=False)


def announce_no_contact(connection: Connection) -> None:
    """Tell a registry that changes can't be made through this machine."""
    connection.send({"k": "contact", "v": False})


class RecoveringConfigStore:
    """The program of a config store: one `ConfigStore` after another, at the same address."""

    def __init__(self, settings: Settings, sockets: ListeningSockets | None = None) -> None:
        """`sockets`: listen already at the address.  Whoever holds it is the only user of the data folder.

        Raises DurableStoreError.
        """
        if settings.data_path is None:
            raise DurableStoreError(
                "self_entity.data_path: a configuration store needs a disk; name its folder"
            )
        self.settings, self.data_path = settings, settings.data_path
        (self.address,) = self.listen_addresses(settings)
        self.sockets = sockets or ListeningSockets()
        self.listening: socket.socket | None = None
        self.store: ConfigStore | None = None
        self.store_began_at, self.has_run = 0.0, False
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self.recovery: asyncio.Task[None] | None = None
        self.is_stopping = False
        self.disk_executor = ThreadPoolExecutor(1)

    @staticmethod
    def listen_addresses(settings: Settings) -> tuple[Address, ...]:
        return ConfigStore.listen_addresses(settings)

    async def start(self) -> None:
        """Start the store, or wait for its disk.  Raises DurableStoreError if the folder can't be used."""
        listening = self.sockets.take(self.address)
        self.listening = listening or socket.create_server(
            (self.address.host, self.address.port), backlog=LISTEN_BACKLOG
        )
        try:
            opened = self.open()
        except DiskFailure as error:
            self.on_disk_failed(str(error))
        else:
            await self.run(opened)

    def open(self) -> OpenedStore:
        """Open the store.  Raises DurableStoreError.

        Once a store has run, an empty folder means that the disk was lost, also at the system's first start.
        """
        is_initial_start = self.settings.is_initial_start and not self.has_run
        return open_store(self.data_path, self.settings.ip, is_initial_start, self.settings.seed_hosts())

    def open_writable(self) -> OpenedStore:
        """Open the store of a disk that has failed, if it can be written.  Raises DurableStoreError."""
        opened = self.open()
        try:
            opened.store.check_writable()
        except DiskFailure:
            opened.store.close()
            raise
        return opened

    async def run(self, opened: OpenedStore) -> None:
        self.store, self.has_run = ConfigStore(self.settings, opened, self.on_disk_failed), True
        self.store_began_at = time.monotonic()
        await self.store.start(self.copy_of_listening())

    def copy_of_listening(self) -> socket.socket:
        """Return the listening socket once more, as whoever gets it closes it."""
        assert self.listening is not None
        return self.listening.dup()

    def on_disk_failed(self, why: str) -> None:
        if self.is_stopping:
            log.info(f"the disk failed: {why}; this machine hands over nothing.")
            return
        log.info(f"the disk failed: {why}; this machine takes no part until it can be written.")
        store, self.store = self.store, None
        self.recovery = asyncio.get_running_loop().create_task(self.recover(store))

    async def recover(self, failed: ConfigStore | None) -> None:
        """Replace a failed store by a new one once the disk can be written."""
        if time.monotonic() - self.store_began_at > STABLE_S:
            self.retry_delay_s = FIRST_RETRY_DELAY_S
        abandoned = asyncio.ensure_future(failed.abandon()) if failed is not None else None
        await asyncio.sleep(0)  # the store stops listening before others are refused
        listener = Listener(refuse, on_connect=announce_no_contact)
        await listener.start(self.address, self.copy_of_listening())
        try:
            if abandoned is not None:
                await abandoned
            opened = await self.until_writable()
        finally:
            listener.close()
        self.recovery = None
        log.info("the disk can be written again.")
        await self.run(opened)

    async def until_writable(self) -> OpenedStore:
        """Try the disk until it can be written, less often each time."""
        logged = ""
        while True:
            await asyncio.sleep(self.retry_delay_s)
            self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay_s)
            try:
                return await asyncio.get_running_loop().run_in_executor(
                    self.disk_executor, self.open_writable
                )
            except DurableStoreError as error:
                if str(error) != logged:
                    logged = str(error)
                    log.info(f"the disk still fails: {error}.")

    async def stop(self) -> None:
        """Hand over this machine's roles; a store that waits for its disk has none."""
        self.is_stopping = True
        if self.recovery is not None:
            self.recovery.cancel()
        if self.store is not None:
            await self.store.stop()
        if self.listening is not None:
            self.listening.close()
