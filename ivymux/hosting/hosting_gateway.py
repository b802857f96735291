"""A front door of many tenants: follows the desired state, shares its CPU out, tells what it serves."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from ivymux.data_plane.limits import BODY_MEMORY_SHARE, Address, Bounds, ConfigError
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.desired.model import DoorStore, Gone, Report, Stored, StoreError
from ivymux.hosting.host_lookups import HostLookups
from ivymux.hosting.hosted_tenant import HostedTenant, Terms, Unserved
from ivymux.hosting.server import HostedFrontend, HostedServer
from ivymux.hosting.site import Hosting
from ivymux.hosting.tenant_counters import Shared, SharedCounter
from ivymux.inventory.model import Inventory
from ivymux.membership.resolver import LIFE
from ivymux.routes.model import Compiled
from ivymux.service.lifecycle import Door
from ivymux.service.site import MAX_ANSWERS
from ivymux.tally.clock import SharedClock
from ivymux.tally.server import TallyServer
from ivymux.tally.store import Store as TallyStore
from ivymux.tenants.model import Tenant, Whole
from ivymux.tenants.shares import SPAN, Shares

SWEEP = 1.0  # seconds between looks for modules that were replaced and have nothing left
RENEW = LIFE / 2  # seconds between looks for names of workers that have had their time
SURE = 1.0  # seconds between looks where nothing hints at a change
TELL = 2.0  # seconds between reports where nothing changed
log = logging.getLogger("ivymux")


class HostingGateway(Door):
    """One front door."""

    longest = 60.0  # the most that a description may say

    def __init__(self, hosting: Hosting, store: DoorStore, folder: Path = Path()) -> None:
        """`folder`: of the installation's file, beside which its passwords stand."""
        self.folder = folder
        super().__init__()
        self.hosting, self.store = hosting, store
        limits = hosting.file.limits
        bounds = Bounds.from_limits(limits.sockets, limits.memory_mb)
        answer = limits.answer_kb * 1024
        self.lookups = HostLookups()
        told = RefusalLog()  # refusals of all tenants
        self.terms = Terms(
            hosting.file.name, hosting.file.tally.doors, limits.body_kb * 1024, answer,
            max(answer, int(limits.memory_mb * MAX_ANSWERS * (1 << 20)) // 4),
            min(limits.tenant_upstream, bounds.max_backend_connections), tuple(hosting.file.trusted_proxies),
            places=hosting.places, lookups=self.lookups, told=told,
        )  # fmt: skip
        self.tally: TallyServer | None = None  # that runs here
        self.shares = Shares()
        self.residents: dict[str, HostedTenant] = {}  # by uid
        self.hosts: dict[str, HostedTenant] = {}
        self.leaving: list[HostedTenant] = []
        unread = max(8, int(limits.memory_mb * BODY_MEMORY_SHARE * (1 << 20)) // answer)
        self.frontend = HostedFrontend(limits.body_kb * 1024, unread, lambda: not self.server.is_stopping)
        self.server = HostedServer(self.frontend, hosting.listen, bounds, self.shares, self.hosts)
        self.server.refusal_log = told
        self.revision = -1  # up to which the desired state is followed
        self.lineage = ""
        self.problems: dict[str, str] = {}  # by uid
        self.told_at = self.swept_at = 0.0
        self.away = ""  # why the store can't be read, as it was told last

    # --- the desired state -----------------------------------------------------------------------------

    async def follow(self) -> None:
        """One look at the desired state.  While it is away, or another one, what there is serves on."""
        try:
            await self.look()
        except StoreError as error:
            if self.away != str(error):
                self.away = str(error)
                log.error("tenants stay as they were: %s", error)
            return
        if self.away:
            self.away = ""
            log.info("the desired state is there again")

    async def look(self) -> None:
        store = self.store
        if self.revision >= 0 and await asyncio.to_thread(store.revision) == self.revision:
            if time.monotonic() - self.told_at >= TELL:
                await self.tell()
            return
        lineage = await asyncio.to_thread(store.lineage)
        if self.lineage and lineage != self.lineage:
            raise StoreError("the desired state was replaced by another one: it is not followed")
        now, changed, gone = await asyncio.to_thread(store.since, max(0, self.revision))
        for lost in self.lost(changed, gone):
            self.remove(lost)
        for stored in changed:
            await self.take(stored)
        self.revision, self.lineage = now, lineage
        await self.tell()

    def lost(self, changed: list[Stored], gone: list[Gone] | None) -> list[str]:
        if gone is not None:
            return [g.uid for g in gone]
        listed = {stored.uid for stored in changed}
        return [uid for uid in self.residents if uid not in listed]

    async def take(self, stored: Stored) -> None:
        """Go over to a tenant's state.  One that can't be served leaves what it had, and is told of."""
        resident = self.residents.get(stored.uid)
        if resident is not None and resident.revision >= stored.revision:
            return
        tenant = stored.tenant
        if resident is None:
            share = self.shares.make(tenant.limits, time.monotonic())
            resident = HostedTenant(stored.uid, stored.name, self.terms, self.shares, share)
            self.residents[stored.uid] = resident
        self.problems.pop(stored.uid, None)
        lacks = Whole.of(tenant).lacks
        try:
            if lacks:
                raise Unserved(f"it lacks {', '.join(lacks)}")
            compiled = await self.text(stored.uid, tenant.routes.compiled, Compiled)
            inventory = await self.text(stored.uid, tenant.inventory.parsed, Inventory)
            await resident.take(tenant, stored.revision, compiled, inventory, time.monotonic())
        except (Unserved, ConfigError) as error:
            self.problems[stored.uid] = str(error)
            if not lacks:
                log.error("a tenant stays as it was: %s", error)
        self.name(resident, tenant)

    async def text(self, uid: str, digest: str, kind: type[Any]) -> Any:
        data = await asyncio.to_thread(self.store.blob, digest, uid)
        if data is None:
            raise Unserved("a text that it is made of is not there")
        try:
            return msgspec.msgpack.decode(data, type=kind)
        except msgspec.MsgspecError:
            raise Unserved("a text that it is made of is of another version: put it anew") from None

    def name(self, resident: HostedTenant, tenant: Tenant) -> None:
        """A tenant's host names, as the state says that it serves; nobody else's are touched."""
        served = resident.tenant if resident.tenant is not None else tenant
        kept = {host.removesuffix(".") for host in served.hosts}
        for host in [h for h, r in self.hosts.items() if r is resident and h not in kept]:
            del self.hosts[host]
        for host in served.hosts:
            # What it gave up with a state that can't be served may be another's by now.
            if host in tenant.hosts or host.removesuffix(".") not in self.hosts:
                self.hosts[host.removesuffix(".")] = resident

    def remove(self, uid: str) -> None:
        """Nothing new is taken from here on."""
        resident = self.residents.pop(uid, None)
        self.problems.pop(uid, None)
        if resident is None:
            return
        for host in [h for h, r in self.hosts.items() if r is resident]:
            del self.hosts[host]
        resident.leave()
        self.leaving.append(resident)

    async def tell(self) -> None:
        self.told_at = time.monotonic()
        usage = {
            uid: {"served": float(r.served), "refused": float(r.share.refused), "open": float(r.share.open)}
            for uid, r in self.residents.items()
        }  # fmt: skip
        problems = {
            uid: f"{r.misplaced} workers are at addresses that this installation does not allow"
            for uid, r in self.residents.items() if r.misplaced
        }  # fmt: skip
        problems |= self.problems
        report = Report(self.hosting.file.name, self.revision, time.time(), usage, problems)
        try:
            await asyncio.to_thread(self.store.report, report)
        except StoreError as error:
            log.warning("the report could not be kept: %s", error)

    # --- in service ------------------------------------------------------------------------------------

    async def following(self) -> None:
        seen, looked = None, 0.0
        while True:
            await asyncio.sleep(self.hosting.file.follow)
            # A look takes a thread, which a busy loop feels; nearly always nothing has changed.
            hint = self.store.hint()
            if hint is not None and hint == seen and time.monotonic() < looked + SURE:
                continue
            seen, looked = hint, time.monotonic()
            try:
                await self.follow()
            except Exception:
                log.exception("the look at the desired state failed")

    async def naming(self) -> None:
        """Look up workers' names again when their answers have had their time."""
        while True:
            await asyncio.sleep(RENEW)
            for resident in list(self.residents.values()):
                resident.renew()
                await asyncio.sleep(0)

    async def sharing(self) -> None:
        """Share the CPU out, once in a span while anybody asks."""
        spent = time.process_time()
        while True:
            await asyncio.sleep(SPAN)
            now = time.process_time()
            self.shares.look(time.monotonic(), now - spent)
            spent = now
            self.leaving = [r for r in self.leaving if not r.gone()]
            if time.monotonic() >= self.swept_at + SWEEP:
                self.swept_at = time.monotonic()
                for resident in self.residents.values():
                    resident.sweep()

    async def count_together(self) -> None:
        """Reach the tally that front doors share, if there is one.  Raises ConfigError."""
        hosting, address = self.hosting, self.hosting.tally
        if hosting.tally_listen is not None:
            self.tally = TallyServer(TallyStore())
            try:
                port = await self.tally.start(hosting.tally_listen)
            except OSError as error:
                raise ConfigError(f"tally.listen: cannot listen: {error}") from None
            address = Address(hosting.tally_listen.host, port)
        part, clock = hosting.file.tally, SharedClock(time.time(), time.monotonic())
        counter: Shared | None = None
        if address is not None:
            counter = SharedCounter(address, part.timeout, clock)
        elif part.redis is not None:
            from ivymux.hosting.redis_counters import SharedRedis
            from ivymux.tally.redis import with_passwords

            counter = SharedRedis(with_passwords(part.redis, self.folder), part.timeout, clock)
        if counter is not None:
            self.terms = replace(
                self.terms, counter=counter, counter_timeout=part.timeout, number=part.number,
                unix=lambda: clock.read(time.monotonic()),
            )  # fmt: skip
            await asyncio.wait([counter.ready], timeout=0.3)

    async def start(self) -> None:
        """Serve.  Raises StoreError where there is no state to begin with, ConfigError."""
        await self.count_together()
        await self.look()
        try:
            await self.server.start()
        except OSError as error:
            raise ConfigError(f"cannot listen: {error}") from None
        self.task(self.following())
        self.task(self.sharing())
        self.task(self.naming())

    @property
    def everyone(self) -> list[HostedTenant]:
        return [*self.residents.values(), *self.leaving]

    @property
    def waiting(self) -> int:
        return sum(resident.waiting for resident in self.everyone)

    def answer_all(self) -> None:
        for resident in self.everyone:
            resident.answer_all()
        self.server.refusal_log.write()  # what its own limits refused, where no tenant is resident

    def close_parts(self) -> None:
        for resident in self.everyone:
            resident.close()
        self.lookups.close()
        if self.terms.counter is not None:
            self.terms.counter.close()
        if self.tally is not None:
            self.tally.close()


def load_hosting(path: Path) -> Hosting:
    """An installation's file.  Raises SiteError."""
    from ivymux.hosting.site import read_hosting
    from ivymux.service.site import SiteError

    try:
        return read_hosting(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SiteError(f"{path}: cannot be read: {why}") from None
