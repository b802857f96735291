"""A front door of many tenants over loopback, with a store of its own and stand-in workers."""

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
from standins.worker import Fleet, Plan, Worker, ordinary
from tests.service.doors import Got, read_answer, request
from tests.tenants.making import tenant


@dataclass
class Hosted:
    """One tenant as a test knows it."""

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
class Place:
    door: HostingGateway
    store: SqliteStore
    tenants: dict[str, Hosted] = field(default_factory=dict)
    workers: list[Worker] = field(default_factory=list)

    async def add(self, name: str, plan: Plan = ordinary, uid: str = "", **terms: Any) -> Hosted:
        worker = await Worker(Fleet(), plan).start()
        self.workers.append(worker)
        made, blobs, key = tenant(name, [worker.port], **terms)
        found = Hosted(name, uid or f"uid-{name}", made, blobs, key, worker)
        self.tenants[name] = found
        self.put(found, made)
        return found

    def put(self, hosted: Hosted, made: Tenant | None, blobs: dict[str, bytes] | None = None) -> None:
        """Commit a state; the front door goes over to it with its next look."""
        hosted.revision = self.store.commit(Change(
            name=hosted.name, expected=hosted.revision, tenant=made, uid=hosted.uid, at=time.time(),
            who="test", origin="", action="test", blobs=hosted.blobs | (blobs or {}),
        ))  # fmt: skip
        if made is not None:
            hosted.tenant = made

    def change(self, hosted: Hosted, **fields: Any) -> None:
        self.put(hosted, with_fields(hosted.tenant, **fields))

    async def ask(self, hosted: Hosted, line: str = "GET /read/7", body: bytes = b"", **more: str) -> Got:
        async with connected(self.door) as caller:
            return await caller.ask(hosted, line, body, **more)


@dataclass
class Caller:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def raw(self, data: bytes) -> Got:
        self.writer.write(data)
        return await read_answer(self.reader)

    async def ask(self, hosted: Hosted, line: str = "GET /read/7", body: bytes = b"", **more: str) -> Got:
        key = more.pop("key", hosted.key)
        return await self.raw(request(line, body, key, **({"Host": hosted.host} | more)))


@contextlib.asynccontextmanager
async def connected(door: HostingGateway) -> AsyncIterator[Caller]:
    reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def hosting(
    folder: Path, *names: str, follow: float = 60.0, extra: str = "", **terms: Any
) -> AsyncIterator[Place]:
    """With a front door that looks at the store only when it is told to, unless `follow` says otherwise."""
    store = SqliteStore(folder / "desired.db", busy=0.1)
    text = f'store = "desired.db"\nlisten = "127.0.0.1:0"\nfollow = {follow}\n{extra}'
    place = Place(HostingGateway(read_hosting(text, "hosting.toml"), store), store)
    for name in names:
        await place.add(name, **terms)
    await place.door.start()
    try:
        yield place
    finally:
        await place.door.close()
        for worker in place.workers:
            worker.stop()
        store.close()


__all__ = ["Caller", "Hosted", "Place", "connected", "hosting", "replace"]
