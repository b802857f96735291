"""A hosting gateway over loopback with its own store and stand-in workers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from msgspec.structs import replace as with_fields

from ivymux.desired.model import Change
from ivymux.desired.sqlite import SqliteStore
from ivymux.hosting.hosting_gateway import HostingGateway
from ivymux.hosting.site import read_hosting
from ivymux.tenants.model import Tenant
from standins.worker import ExecutionRecord, Responder, Worker, reply_normally
from tests.service.fixtures import HttpAnswer, make_request, read_answer
from tests.tenants.fixtures import tenant


@dataclass
class TenantFixture:
    """One tenant with its desired state, a client's key and its worker."""

    name: str
    uid: str
    tenant: Tenant
    blobs: dict[str, bytes]
    key: str
    worker: Worker
    revision: int = 0

    @property
    def host(self) -> str:
        return f"{self.name}.example"


@dataclass
class HostingFixture:
    """A running gateway, its store and its tenants."""

    gateway: HostingGateway
    store: SqliteStore
    tenants: dict[str, TenantFixture] = field(default_factory=dict)
    workers: list[Worker] = field(default_factory=list)

    async def add(
        self, name: str, plan: Responder = reply_normally, uid: str = "", **options: Any
    ) -> TenantFixture:
        """Create a tenant with a worker; the gateway applies it with its next read of the store."""
        worker = await Worker(ExecutionRecord(), plan).start()
        self.workers.append(worker)
        state, blobs, key = tenant(name, [worker.port], **options)
        added = TenantFixture(name, uid or f"uid-{name}", state, blobs, key, worker)
        self.tenants[name] = added
        self.put(added, state)
        return added

    def put(self, hosted: TenantFixture, state: Tenant | None, blobs: dict[str, bytes] | None = None) -> None:
        """Commit a tenant's state or deletion; the gateway applies it with its next read of the store."""
        hosted.revision = self.store.commit(Change(
            name=hosted.name, expected=hosted.revision, tenant=state, uid=hosted.uid, at=time.time(),
            who="test", origin="", action="test", blobs=hosted.blobs | (blobs or {}),
        ))  # fmt: skip
        if state is not None:
            hosted.tenant = state

    def change(self, hosted: TenantFixture, **fields: Any) -> None:
        """Commit a tenant's state with some fields changed."""
        self.put(hosted, with_fields(hosted.tenant, **fields))

    async def ask(
        self, hosted: TenantFixture, line: str = "GET /read/7", body: bytes = b"", **headers: str
    ) -> HttpAnswer:
        """Send a request of a tenant's client on a connection of its own."""
        async with connect(self.gateway) as client:
            return await client.ask(hosted, line, body, **headers)


@dataclass
class GatewayClient:
    """A client's connection to the gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def raw(self, data: bytes) -> HttpAnswer:
        """Write bytes and read one answer."""
        self.writer.write(data)
        return await read_answer(self.reader)

    async def ask(
        self, hosted: TenantFixture, line: str = "GET /read/7", body: bytes = b"", **headers: str
    ) -> HttpAnswer:
        """Send a request with the tenant's host name and key, unless `Host` or `key` replace them."""
        key = headers.pop("key", hosted.key)
        return await self.raw(make_request(line, body, key, **({"Host": hosted.host} | headers)))


@contextlib.asynccontextmanager
async def connect(gateway: HostingGateway) -> AsyncIterator[GatewayClient]:
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    try:
        yield GatewayClient(reader, writer)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def hosting(
    folder: Path, *names: str, follow: float = 60.0, extra: str = "", **options: Any
) -> AsyncIterator[HostingFixture]:
    """Run a gateway with the named tenants.

    `follow` is the period in seconds at which the gateway reads the store; by default only a call of
    `gateway.follow` makes it read.  `extra` is further text of the installation's file.
    """
    store = SqliteStore(folder / "desired.db", busy_timeout_s=0.1)
    text = f'store = "desired.db"\nlisten = "127.0.0.1:0"\nfollow = {follow}\n{extra}'
    fixture = HostingFixture(HostingGateway(read_hosting(text, "hosting.toml"), store), store)
    for name in names:
        await fixture.add(name, **options)
    await fixture.gateway.start()
    try:
        yield fixture
    finally:
        await fixture.gateway.close()
        for worker in fixture.workers:
            worker.stop()
        store.close()


__all__ = ["GatewayClient", "HostingFixture", "TenantFixture", "connect", "hosting", "replace"]
