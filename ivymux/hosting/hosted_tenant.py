"""One tenant at a front door: its own module, workers' connections, counts and routes."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from ivymux.data_plane.answer_policy import AnswerPolicy
from ivymux.data_plane.host import Host
from ivymux.data_plane.limits import Address
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.data_plane.upstream import Upstream
from ivymux.hosting.host_lookups import HostLookups
from ivymux.hosting.tenant_counters import Shared, TenantCounter
from ivymux.inventory.model import Inventory
from ivymux.membership.member_list import SLICE, Roster, worker_number
from ivymux.membership.resolver import Resolver, is_address, system
from ivymux.routes.classes import ClassTable, TooManyClasses
from ivymux.routes.model import Compiled
from ivymux.routes.table import Table
from ivymux.service.frontend import HttpFrontend
from ivymux.service.site import SCOPES, Site, settings
from ivymux.tally.local import LocalCounter
from ivymux.tally.store import Store
from ivymux.tenants.model import Tenant, callers_of, site_of
from ivymux.tenants.places import ANYWHERE, Places
from ivymux.tenants.secret import TenantCallers
from ivymux.tenants.shares import Share, Shares
from orchidhill import interface as i
from orchidhill.gateway import Gateway

MAX_NAMES = 50_000  # of one tenant's tally
MAX_UNREAD = 16
NAMES_WAIT = 0.3  # seconds that a change waits for look-ups
CHECKED = 512  # workers judged before requests go between
log = logging.getLogger("ivymux")


class Unserved(ValueError):
    """A tenant's state that this front door can't serve; what it served before goes on."""


@dataclass(frozen=True, slots=True)
class Terms:
    """What all tenants have alike at one front door."""

    name: str
    doors: int
    body: int  # bytes of a request
    answer: int  # bytes of an answer
    answers: int  # bytes of all answers that are coming in, for one tenant
    upstream: int  # connections to one tenant's workers
    trusted: tuple[str, ...]
    counter: Shared | None = None  # a tally that front doors share; None: each tenant's own, in here
    counter_timeout: float = 0.25  # seconds for a call
    number: int = 0  # of this front door among those that count together
    unix: Callable[[], float] = time.time  # the clock that these have in common
    places: Places = ANYWHERE  # where workers may be
    lookups: HostLookups | None = None  # None: the system's, for one tenant alone
    told: RefusalLog | None = None  # refusals of all tenants; None: each tenant's own


@dataclass(slots=True)
class Part:
    """A generation of a tenant's module.  One that was replaced serves what it has to its end."""

    host: Host
    classes: ClassTable
    fixed: object  # what of the tenant's state the module is made of

    @property
    def idle(self) -> bool:
        return not self.host.requests

    def close(self) -> None:
        self.host.upstream.close()


class HostedTenant:
    """A tenant in service.  `uid` tells it from another one that has its name later."""

    def __init__(self, uid: str, name: str, terms: Terms, shares: Shares, share: Share) -> None:
        self.uid, self.name, self.terms, self.shares, self.share = uid, name, terms, shares, share
        self.revision = 0
        self.tenant: Tenant | None = None
        self.served_by: HttpFrontend | None = None  # that takes its requests; None while nobody does
        self.part: Part | None = None
        self.former: list[Part] = []
        self.tally = Store(MAX_NAMES)
        self.roster = Roster()
        look_up = terms.lookups.for_tenant() if terms.lookups is not None else system
        self.resolver = Resolver(look_up)
        self.placing = asyncio.Lock()  # one list at a time
        self.renewing: asyncio.Task[None] | None = None  # look-ups that are out
        self.misplaced = 0  # workers at addresses that are not allowed
        self.inventory = Inventory(())
        self.callers = TenantCallers({}, time.time)
        self.leaving = False
        self.served = 0

    @property
    def ready(self) -> bool:
        return self.served_by is not None

    # --- going over to a state -------------------------------------------------------------------------

    async def take(
        self, tenant: Tenant, revision: int, compiled: Compiled, inventory: Inventory, now: float
    ) -> None:
        """Go over to a whole state, in all parts at once.  Raises Unserved, changing nothing."""
        site = site_of(tenant)
        fixed = (site.plans, tenant.rules, tenant.keyed, tenant.reports)
        part, fresh = self.part, self.part is None or self.part.fixed != fixed
        if part is None or fresh:
            part = self.make_part(site, tenant, fixed)
        table = Table(compiled, part.classes)
        for _ in table.build():
            await asyncio.sleep(0)  # requests go between
        if not fresh and self.inventory == inventory:
            roster, addresses = self.roster, {}
        else:
            roster = Roster() if fresh else self.roster
            addresses = await self.look_up(inventory)
        plans = {plan.name: number for number, plan in enumerate(site.plans)}
        callers = TenantCallers(callers_of(tenant, plans), time.time)
        numbers = {worker_number(w.name) for w in inventory.workers}
        if len(numbers) < len(inventory.workers):
            raise Unserved("two of its workers have one number: rename one")
        if fresh:
            await self.begin(part, roster, inventory, addresses)
        # From here to the next wait a request has the old state whole, or the new one.
        try:
            table.enter()
        except TooManyClasses as error:
            if fresh:
                part.close()
            raise Unserved(str(error)) from None
        part.host.post(i.Classes(tuple(part.classes.listed)))
        if self.part is not None and self.part is not part:
            self.former.append(self.part)
        moved = not fresh and self.inventory != inventory
        self.part, self.roster, self.inventory = part, roster, inventory
        self.callers = callers
        frontend = HttpFrontend(
            table, callers, tenant.header, site.plans, self.terms.doors,
            self.terms.body, MAX_UNREAD, self.terms.trusted, lambda: True, make_id,
        )  # fmt: skip
        self.tenant, self.revision = tenant, revision
        self.served_by = None if tenant.suspended or self.leaving else frontend
        self.shares.change(self.share, tenant.limits, now)
        self.sweep()
        if moved:
            await self.place(part, addresses)
        if self.has_names:  # some may have been found since
            await self.place(part, await self.allowed(inventory))

    # --- workers ---------------------------------------------------------------------------------------

    @property
    def has_names(self) -> bool:
        return any(not is_address(w.host) for w in self.inventory.workers)

    async def look_up(self, inventory: Inventory) -> dict[str, Address]:
        """Addresses of workers, those that are known within a moment: a tenant whose names hang must not
        hold up the others.  The rest comes later.
        """
        await asyncio.wait([self.renewed(inventory)], timeout=NAMES_WAIT)
        return await self.allowed(inventory)

    def renewed(self, inventory: Inventory) -> asyncio.Future[None]:
        """Look-ups of an inventory's names that are due; those that are out already end first."""
        if self.renewing is None or self.renewing.done():
            self.renewing = asyncio.ensure_future(self.resolver.renew_all(inventory.workers))
            self.renewing.add_done_callback(lambda _: self.placed_later(inventory))
        return self.renewing

    async def allowed(self, inventory: Inventory) -> dict[str, Address]:
        """Addresses that workers may have; those that they may not have count as not known."""
        found = await self.resolver.known(inventory.workers)
        places = self.terms.places
        if not (places.networks or places.own):
            return found
        kept = {}
        for number, (name, address) in enumerate(found.items()):
            if number % CHECKED == CHECKED - 1:
                await asyncio.sleep(0)
            if not places.wrong(address.host, address.port):
                kept[name] = address
        self.misplaced = len(found) - len(kept)
        return kept

    def placed_later(self, inventory: Inventory) -> None:
        """Look-ups have ended: tell the module what they changed, look up what came meanwhile."""
        if self.part is None or self.leaving:
            return
        self.later = asyncio.ensure_future(self.place_again())
        if inventory != self.inventory and self.has_names:
            self.renewed(self.inventory)

    async def place_again(self) -> None:
        if self.part is not None:
            await self.place(self.part, await self.allowed(self.inventory))

    def renew(self) -> None:
        """Look up again what has had its time."""
        if self.has_names:
            self.renewed(self.inventory)

    async def place(self, part: Part, addresses: Mapping[str, Address]) -> None:
        """Workers come and go bit by bit, as they do by themselves: a long list must not hold up others."""
        async with self.placing:
            if part is not self.part:
                return  # another module has its own list
            for members, places in self.roster.change(self.inventory.workers, addresses, time.time()):
                part.host.update_members(members, places)
                await asyncio.sleep(0)

    async def begin(
        self, part: Part, roster: Roster, inventory: Inventory, addresses: Mapping[str, Address]
    ) -> None:
        """Tell a module that serves nobody yet of its workers, bit by bit.

        It knows nothing of those that served before: they are not cold.
        """
        for workers in (inventory.workers[:SLICE], inventory.workers):
            for members, places in roster.change(workers, addresses, time.time(), cold=False):
                part.host.update_members(members, places)
                await asyncio.sleep(0)

    def make_part(self, site: Site, tenant: Tenant, fixed: object) -> Part:
        """A module of its own, with the counts that the tenant has: its quota is not begun anew."""
        terms = self.terms
        classes = ClassTable(tenant.keyed.memory, SCOPES[tenant.keyed.scope])
        policy = AnswerPolicy(True, terms.answer, terms.answers)
        upstream = Upstream(
            site.file.limits.connect_timeout, site.file.limits.worker_idle, tuple(tenant.reports),
            terms.upstream, policy,
        )  # fmt: skip
        told = replace(
            settings(site, ()), me=terms.number, peers=terms.doors, counter_timeout=terms.counter_timeout
        )
        host = Host(Gateway(told, secrets.randbits(64)), upstream, terms.told)
        if terms.counter is not None:
            host.counter = TenantCounter(terms.counter, self.uid, host.post)
            host.wall_clock = terms.unix
        else:
            host.counter = LocalCounter(self.tally, host.post)
        return Part(host, classes, fixed)

    # --- the end ---------------------------------------------------------------------------------------

    def sweep(self) -> bool:
        """Let former parts go that have nothing left; whether none is left."""
        kept = []
        for part in self.former:
            if part.idle:
                part.close()
            else:
                kept.append(part)
        self.former = kept
        return not kept

    def leave(self) -> None:
        """Nothing new from here on; what is open gets its answer."""
        self.leaving, self.served_by = True, None
        if self.renewing is not None:
            self.renewing.cancel()
        self.callers = TenantCallers({}, time.time)
        if self.part is not None:
            self.former.append(self.part)
            self.part = None

    def gone(self) -> bool:
        """Whether nothing of a tenant that leaves is left; then its counts go too."""
        if not self.sweep() or self.share.open:
            return False
        self.tally = Store(0)
        self.shares.leave(self.share)
        return True

    @property
    def waiting(self) -> int:
        parts = [*self.former, *([self.part] if self.part else [])]
        return sum(part.host.unanswered_count for part in parts)

    def answer_all(self) -> None:
        for part in [*self.former, *([self.part] if self.part else [])]:
            part.host.finish_all()

    def close(self) -> None:
        if self.renewing is not None:
            self.renewing.cancel()
        for part in [*self.former, *([self.part] if self.part else [])]:
            part.close()


IDS = random.Random(secrets.randbits(64))


def make_id() -> str:
    return f"{IDS.getrandbits(64):016x}"
