"""One tenant at a hosting gateway: its decision module, worker connections, quota counts and routes."""

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
from ivymux.hosting.answer_flows import HostedAnswerFlow, TenantAnswerFlow
from ivymux.hosting.host_lookups import HostLookups
from ivymux.hosting.tenant_counters import SharedCounter, TenantCounter
from ivymux.inventory.model import Inventory
from ivymux.membership.member_list import MAX_ENTRIES_PER_EVENT, MemberList, worker_number
from ivymux.membership.resolver import Resolver, is_address, system_look_up
from ivymux.routes.classes import ClassTable, TooManyClasses
from ivymux.routes.model import CompiledDescription
from ivymux.routes.table import Table
from ivymux.service.frontend import HttpFrontend
from ivymux.service.site import SCOPES, Site, settings
from ivymux.tally.local import LocalCounter
from ivymux.tally.store import CounterStore
from ivymux.tenants.model import Tenant, callers_of, site_of
from ivymux.tenants.places import ANY_ADDRESS, AddressRules
from ivymux.tenants.secret import TenantCallers
from ivymux.tenants.shares import Share, Shares
from orchidhill import interface as i
from orchidhill.gateway import Gateway

MAX_COUNTER_NAMES = 50_000  # in one tenant's local counts
MAX_UNREAD_CLIENTS = 16
LOOKUP_WAIT_S = 0.3  # how long a change waits for host name look-ups
ADDRESSES_PER_STEP = 512  # checked before the event loop runs other tasks
log = logging.getLogger("ivymux")


class UnservableState(ValueError):
    """A tenant's state that this gateway can't serve; the previous state stays in force."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings that apply to all tenants of one gateway."""

    name: str
    gateway_count: int
    max_body_bytes: int  # of a request
    max_answer_bytes: int
    max_held_answer_bytes: int  # of all answers that are being received, for one tenant
    max_backend_connections: int  # to one tenant's workers
    trusted_proxies: tuple[str, ...]
    counter: SharedCounter | None = None  # shared with other gateways; None: each tenant counts locally
    counter_timeout_s: float = 0.25  # for one call
    gateway_number: int = 0  # among the gateways that share the counter
    wall_clock: Callable[[], float] = time.time  # common to the gateways that share the counter
    address_rules: AddressRules = ANY_ADDRESS  # for workers
    host_lookups: HostLookups | None = None  # None: the system resolver, without a limit for each tenant
    refusal_log: RefusalLog | None = None  # shared by all tenants; None: one for each tenant
    answer_flow: HostedAnswerFlow | None = None  # of the answers to all tenants; None: one for each tenant


@dataclass(slots=True)
class Generation:
    """One decision module of a tenant with its connections.

    A generation that was replaced still finishes the requests that it has accepted.
    """

    host: Host
    classes: ClassTable
    inputs: object  # the parts of the tenant's state from which the module was built

    @property
    def is_idle(self) -> bool:
        """Whether no request is open."""
        return not self.host.requests

    def close(self) -> None:
        self.host.upstream.close()


class HostedTenant:
    """A tenant that a gateway serves; `uid` distinguishes it from a later tenant of the same name."""

    def __init__(
        self, uid: str, name: str, gateway_settings: GatewaySettings, shares: Shares, share: Share
    ) -> None:
        self.uid, self.name, self.shares, self.share = uid, name, shares, share
        self.gateway_settings = gateway_settings
        self.revision = 0
        self.tenant: Tenant | None = None
        self.frontend: HttpFrontend | None = None  # None while the tenant's requests are not served
        self.generation: Generation | None = None
        self.former_generations: list[Generation] = []
        self.local_counts = CounterStore(MAX_COUNTER_NAMES)
        self.member_list = MemberList()
        lookups = gateway_settings.host_lookups
        look_up = lookups.for_tenant() if lookups is not None else system_look_up
        self.resolver = Resolver(look_up)
        self.members_lock = asyncio.Lock()  # serializes member updates
        self.running_lookups: asyncio.Task[None] | None = None
        self.misplaced_count = 0  # workers at addresses that are not allowed
        self.inventory = Inventory(())
        self.callers = TenantCallers({}, time.time)
        self.is_leaving = False  # whether the tenant was deleted and only finishes its open requests
        self.served_count = 0  # admitted requests since the start

    @property
    def is_ready(self) -> bool:
        """Whether the tenant's requests are served."""
        return self.frontend is not None

    # --- changes of state ------------------------------------------------------------------------------

    async def apply_state(
        self, tenant: Tenant, revision: int, compiled: CompiledDescription, inventory: Inventory, now: float
    ) -> None:
        """Switch to a new state as a whole.

        Raises UnservableState and changes nothing if the state can't be served.
        """
        site = site_of(tenant)
        inputs = (site.plans, tenant.rules, tenant.keyed, tenant.reports)
        generation = self.generation
        is_new = generation is None or generation.inputs != inputs
        if generation is None or is_new:
            generation = self.build_generation(site, tenant, inputs)
        table = Table(compiled, generation.classes)
        for _ in table.build():
            await asyncio.sleep(0)  # lets requests run between the steps
        if not is_new and self.inventory == inventory:
            member_list, addresses = self.member_list, {}
        else:
            member_list = MemberList() if is_new else self.member_list
            addresses = await self.resolve_addresses(inventory)
        plans = {plan.name: number for number, plan in enumerate(site.plans)}
        callers = TenantCallers(callers_of(tenant, plans), time.time)
        numbers = {worker_number(w.name) for w in inventory.workers}
        if len(numbers) < len(inventory.workers):
            raise UnservableState("two of its workers have one number: rename one")
        if is_new:
            await self.add_initial_workers(generation, member_list, inventory, addresses)
        # No await from here until the state is complete: a request sees either the old state or the new one.
        try:
            table.assign_class_numbers()
        except TooManyClasses as error:
            if is_new:
                generation.close()
            raise UnservableState(str(error)) from None
        generation.host.post(i.Classes(tuple(generation.classes.class_list)))
        if self.generation is not None and self.generation is not generation:
            self.former_generations.append(self.generation)
        has_new_workers = not is_new and self.inventory != inventory
        self.generation, self.member_list, self.inventory = generation, member_list, inventory
        self.callers = callers
        common = self.gateway_settings
        frontend = HttpFrontend(
            table, callers, tenant.header, site.plans, common.gateway_count, common.max_body_bytes,
            MAX_UNREAD_CLIENTS, common.trusted_proxies, lambda: True, make_request_id,
        )  # fmt: skip
        self.tenant, self.revision = tenant, revision
        self.frontend = None if tenant.suspended or self.is_leaving else frontend
        self.shares.change_limits(self.share, tenant.limits, now)
        self.close_idle_generations()
        if has_new_workers:
            await self.update_members(generation, addresses)
        if self.has_host_names:  # some may have been resolved meanwhile
            await self.update_members(generation, await self.allowed_addresses(inventory))

    # --- workers ---------------------------------------------------------------------------------------

    @property
    def has_host_names(self) -> bool:
        """Whether a worker's address has to be looked up."""
        return any(not is_address(w.host) for w in self.inventory.workers)

    async def resolve_addresses(self, inventory: Inventory) -> dict[str, Address]:
        """Return the addresses of workers that are known within LOOKUP_WAIT_S.

        The wait is short because a tenant whose look-ups hang must not delay other tenants' changes;
        addresses that are found later are added by `on_lookups_done`.
        """
        await asyncio.wait([self.start_lookups(inventory)], timeout=LOOKUP_WAIT_S)
        return await self.allowed_addresses(inventory)

    def start_lookups(self, inventory: Inventory) -> asyncio.Future[None]:
        """Look up an inventory's host names that are due, unless look-ups are running already."""
        if self.running_lookups is None or self.running_lookups.done():
            self.running_lookups = asyncio.ensure_future(self.resolver.refresh(inventory.workers))
            self.running_lookups.add_done_callback(lambda _: self.on_lookups_done(inventory))
        return self.running_lookups

    async def allowed_addresses(self, inventory: Inventory) -> dict[str, Address]:
        """Return the known addresses of workers without those that are not allowed."""
        found = await self.resolver.cached_addresses(inventory.workers)
        rules = self.gateway_settings.address_rules
        if not (rules.networks or rules.own_addresses):
            return found
        allowed = {}
        for number, (name, address) in enumerate(found.items()):
            if number % ADDRESSES_PER_STEP == ADDRESSES_PER_STEP - 1:
                await asyncio.sleep(0)
            if not rules.violation(address.host, address.port):
                allowed[name] = address
        self.misplaced_count = len(found) - len(allowed)
        return allowed

    def on_lookups_done(self, inventory: Inventory) -> None:
        """Update the members with the new addresses; look up the names of a newer inventory, if any."""
        if self.generation is None or self.is_leaving:
            return
        # The reference keeps the task from being garbage-collected before it ends.
        self.members_update = asyncio.ensure_future(self.update_current_members())
        if inventory != self.inventory and self.has_host_names:
            self.start_lookups(self.inventory)

    async def update_current_members(self) -> None:
        """Report changed addresses of workers to the current decision module."""
        if self.generation is not None:
            await self.update_members(self.generation, await self.allowed_addresses(self.inventory))

    def refresh_lookups(self) -> None:
        """Look up expired host names again."""
        if self.has_host_names:
            self.start_lookups(self.inventory)

    async def update_members(self, generation: Generation, addresses: Mapping[str, Address]) -> None:
        """Report changed workers to the decision module in steps, so that a long list delays no requests."""
        async with self.members_lock:
            if generation is not self.generation:
                return  # replaced meanwhile; the new generation was built with the new list
            for members, new_addresses in self.member_list.change(
                self.inventory.workers, addresses, time.time()
            ):
                generation.host.update_members(members, new_addresses)
                await asyncio.sleep(0)

    async def add_initial_workers(
        self,
        generation: Generation,
        member_list: MemberList,
        inventory: Inventory,
        addresses: Mapping[str, Address],
    ) -> None:
        """Report the workers to a new decision module in steps, before it serves requests.

        The workers count as warm, because they may have started long before the decision module was built.
        """
        for workers in (inventory.workers[:MAX_ENTRIES_PER_EVENT], inventory.workers):
            for members, new_addresses in member_list.change(workers, addresses, time.time(), cold=False):
                generation.host.update_members(members, new_addresses)
                await asyncio.sleep(0)

    def build_generation(self, site: Site, tenant: Tenant, inputs: object) -> Generation:
        """Build a decision module that continues the tenant's quota counts."""
        common = self.gateway_settings
        classes = ClassTable(tenant.keyed.memory, SCOPES[tenant.keyed.scope])
        policy = AnswerPolicy(True, common.max_answer_bytes, common.max_held_answer_bytes)
        upstream = Upstream(
            site.file.limits.connect_timeout, site.file.limits.worker_idle, tuple(tenant.reports),
            common.max_backend_connections, policy,
        )  # fmt: skip
        if common.answer_flow is not None:
            upstream.answer_flow = TenantAnswerFlow(common.max_held_answer_bytes, common.answer_flow)
        module_settings = replace(
            settings(site, ()), me=common.gateway_number, peers=common.gateway_count,
            counter_timeout=common.counter_timeout_s,
        )  # fmt: skip
        host = Host(Gateway(module_settings, secrets.randbits(64)), upstream, common.refusal_log)
        if common.counter is not None:
            host.counter = TenantCounter(common.counter, self.uid, host.post)
            host.wall_clock = common.wall_clock
        else:
            host.counter = LocalCounter(self.local_counts, host.post)
        return Generation(host, classes, inputs)

    # --- removal ---------------------------------------------------------------------------------------

    def close_idle_generations(self) -> bool:
        """Close former generations without open requests; return whether none remains."""
        busy = []
        for generation in self.former_generations:
            if generation.is_idle:
                generation.close()
            else:
                busy.append(generation)
        self.former_generations = busy
        return not busy

    def start_leaving(self) -> None:
        """Accept no new requests; open ones are still answered."""
        self.is_leaving, self.frontend = True, None
        if self.running_lookups is not None:
            self.running_lookups.cancel()
        self.callers = TenantCallers({}, time.time)
        if self.generation is not None:
            self.former_generations.append(self.generation)
            self.generation = None

    def finish_leaving(self) -> bool:
        """Drop the counts of a leaving tenant once its last request has ended; return whether it has."""
        if not self.close_idle_generations() or self.share.open:
            return False
        self.local_counts = CounterStore(0)
        self.shares.remove(self.share)
        return True

    @property
    def generations(self) -> list[Generation]:
        """All generations that are not closed, the current one last."""
        return [*self.former_generations, *([self.generation] if self.generation else [])]

    @property
    def unanswered_count(self) -> int:
        return sum(generation.host.unanswered_count for generation in self.generations)

    def finish_all(self) -> None:
        """Give all open requests their final answer."""
        for generation in self.generations:
            generation.host.finish_all()

    def close(self) -> None:
        if self.running_lookups is not None:
            self.running_lookups.cancel()
        for generation in self.generations:
            generation.close()


REQUEST_IDS = random.Random(secrets.randbits(64))


def make_request_id() -> str:
    return f"{REQUEST_IDS.getrandbits(64):016x}"
