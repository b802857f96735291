"""A gateway for many tenants: follows the desired state, divides its CPU among them and reports usage."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from ivymux.data_plane.answer_budget import share_answer_room
from ivymux.data_plane.limits import BODY_MEMORY_SHARE, Address, Bounds, ConfigError
from ivymux.data_plane.refusal_log import RefusalLog
from ivymux.desired.model import DeletedTenant, GatewayReport, GatewayStore, StoredTenant, StoreError
from ivymux.hosting.answer_flows import HostedAnswerFlow
from ivymux.hosting.host_lookups import HostLookups
from ivymux.hosting.hosted_tenant import GatewaySettings, HostedTenant, UnservableState
from ivymux.hosting.server import HostedFrontend, HostedServer
from ivymux.hosting.site import Hosting
from ivymux.hosting.tenant_counters import SharedCounter, SharedTallyCounter
from ivymux.inventory.model import Inventory
from ivymux.membership.resolver import CACHE_LIFETIME_S
from ivymux.routes.model import CompiledDescription
from ivymux.service.lifecycle import BaseGateway
from ivymux.service.site import ANSWER_MEMORY_SHARE
from ivymux.tally.clock import SharedClock
from ivymux.tally.server import CounterServer
from ivymux.tally.store import CounterStore
from ivymux.tenants.model import Tenant, missing_parts
from ivymux.tenants.shares import SPAN_S, Shares

CLOSE_IDLE_PERIOD_S = 1.0  # between searches for replaced decision modules without open requests
LOOKUP_REFRESH_PERIOD_S = CACHE_LIFETIME_S / 2
FULL_READ_PERIOD_S = 1.0  # between reads of the revision while the store's hint does not change
REPORT_PERIOD_S = 2.0  # between reports while the desired state does not change
COUNTER_WAIT_S = 0.3  # how long the start waits for the connection to the shared counter
log = logging.getLogger("ivymux")


class HostingGateway(BaseGateway):
    """One gateway process that serves all tenants of an installation."""

    max_deadline_s = 60.0  # the longest deadline that a route description may set

    def __init__(self, hosting: Hosting, store: GatewayStore, folder: Path = Path()) -> None:
        """`folder` is the folder of the installation's file, to which password files are relative."""
        self.folder = folder
        super().__init__()
        self.hosting, self.store = hosting, store
        limits = hosting.file.limits
        bounds = Bounds.from_limits(limits.sockets, limits.memory_mb)
        max_body_bytes, max_answer_bytes = limits.body_kb * 1024, limits.answer_kb * 1024
        self.host_lookups = HostLookups()
        refusal_log = RefusalLog()  # shared by all tenants
        answer_flow = HostedAnswerFlow(bounds.max_held_answer_bytes)
        self.settings = GatewaySettings(
            hosting.file.name, hosting.file.tally.doors, max_body_bytes, max_answer_bytes,
            max(max_answer_bytes, int(limits.memory_mb * ANSWER_MEMORY_SHARE * (1 << 20)) // 4),
            min(limits.tenant_upstream, bounds.max_backend_connections), tuple(hosting.file.trusted_proxies),
            address_rules=hosting.address_rules, host_lookups=self.host_lookups, refusal_log=refusal_log,
            answer_flow=answer_flow,
        )  # fmt: skip
        self.tally: CounterServer | None = None  # a counter service that runs in this process
        self.shares = Shares()
        self.tenants: dict[str, HostedTenant] = {}  # by uid
        self.tenants_by_host: dict[str, HostedTenant] = {}
        self.leaving_tenants: list[HostedTenant] = []
        max_unread = max(8, int(limits.memory_mb * BODY_MEMORY_SHARE * (1 << 20)) // max_answer_bytes)
        self.frontend = HostedFrontend(max_body_bytes, max_unread, lambda: not self.server.is_stopping)
        self.server = HostedServer(self.frontend, hosting.listen, bounds, self.shares, self.tenants_by_host)
        self.server.refusal_log = refusal_log
        share_answer_room(self.server, answer_flow)
        self.revision = -1  # of the desired state that is applied; -1 before the first
        self.lineage = ""  # of that desired state
        self.problems: dict[str, str] = {}  # why a tenant's latest state is not served, by uid
        self.reported_at = self.closed_idle_at = 0.0  # monotonic seconds
        self.store_error = ""  # the error of the last read if it failed, to log it only once

    # --- the desired state -----------------------------------------------------------------------------

    async def follow(self) -> None:
        """Read the desired state once and apply its changes.

        Tenants are served as before while the store can't be read or holds another installation's state.
        """
        try:
            await self.apply_changes()
        except StoreError as error:
            if self.store_error != str(error):
                self.store_error = str(error)
                log.error("cannot read the desired state, tenants stay as they were: %s", error)
            return
        if self.store_error:
            self.store_error = ""
            log.info("the desired state can be read again")

    async def apply_changes(self) -> None:
        """Apply what changed in the store since the last call.  Raises StoreError."""
        store = self.store
        if self.revision >= 0 and await asyncio.to_thread(store.revision) == self.revision:
            if time.monotonic() - self.reported_at >= REPORT_PERIOD_S:
                await self.send_report()
            return
        lineage = await asyncio.to_thread(store.lineage)
        if self.lineage and lineage != self.lineage:
            raise StoreError("the desired state was replaced by another one: it is not followed")
        revision, changed, gone = await asyncio.to_thread(store.changes_since, max(0, self.revision))
        for uid in self.removed_uids(changed, gone):
            self.remove_tenant(uid)
        for stored in changed:
            await self.apply_tenant(stored)
        self.revision, self.lineage = revision, lineage
        await self.send_report()

    def removed_uids(self, changed: list[StoredTenant], gone: list[DeletedTenant] | None) -> list[str]:
        """Return the uids of the tenants to remove.

        If the store knows no list of deletions, `changed` has all tenants that exist.
        """
        if gone is not None:
            return [g.uid for g in gone]
        listed = {stored.uid for stored in changed}
        return [uid for uid in self.tenants if uid not in listed]

    async def apply_tenant(self, stored: StoredTenant) -> None:
        """Switch a tenant to a new state.

        If the new state can't be served, the old one stays in force, and the problem is recorded.
        """
        hosted = self.tenants.get(stored.uid)
        if hosted is not None and hosted.revision >= stored.revision:
            return
        tenant = stored.tenant
        if hosted is None:
            share = self.shares.create(tenant.limits, time.monotonic())
            hosted = HostedTenant(stored.uid, stored.name, self.settings, self.shares, share)
            self.tenants[stored.uid] = hosted
        self.problems.pop(stored.uid, None)
        missing = missing_parts(tenant)
        try:
            if missing:
                raise UnservableState(f"it lacks {', '.join(missing)}")
            compiled = await self.read_blob(stored.uid, tenant.routes.compiled, CompiledDescription)
            inventory = await self.read_blob(stored.uid, tenant.inventory.parsed, Inventory)
            await hosted.apply_state(tenant, stored.revision, compiled, inventory, time.monotonic())
        except (UnservableState, ConfigError) as error:
            self.problems[stored.uid] = str(error)
            if not missing:
                log.error("cannot apply a new state, a tenant stays as it was: %s", error)
        self.assign_host_names(hosted, tenant)

    async def read_blob(self, uid: str, digest: str, kind: type[Any]) -> Any:
        """Read and decode a blob of a tenant.  Raises UnservableState."""
        data = await asyncio.to_thread(self.store.blob, digest, uid)
        if data is None:
            raise UnservableState("a text that it is made of is not there")
        try:
            return msgspec.msgpack.decode(data, type=kind)
        except msgspec.MsgspecError:
            raise UnservableState("a text that it is made of is of another version: put it anew") from None

    def assign_host_names(self, hosted: HostedTenant, tenant: Tenant) -> None:
        """Route the host names of a tenant's state in force to it, without taking another tenant's."""
        in_force = hosted.tenant if hosted.tenant is not None else tenant
        kept = {host.removesuffix(".") for host in in_force.hosts}
        for host in [h for h, owner in self.tenants_by_host.items() if owner is hosted and h not in kept]:
            del self.tenants_by_host[host]
        for host in in_force.hosts:
            # If the state in force is older than the tenant's latest one, another tenant may already own a
            # name that the latest state no longer has.
            if host in tenant.hosts or host.removesuffix(".") not in self.tenants_by_host:
                self.tenants_by_host[host.removesuffix(".")] = hosted

    def remove_tenant(self, uid: str) -> None:
        """Stop accepting a tenant's requests; open ones are still answered."""
        hosted = self.tenants.pop(uid, None)
        self.problems.pop(uid, None)
        if hosted is None:
            return
        for host in [h for h, owner in self.tenants_by_host.items() if owner is hosted]:
            del self.tenants_by_host[host]
        hosted.start_leaving()
        self.leaving_tenants.append(hosted)

    async def send_report(self) -> None:
        """Write this gateway's revision, usage and problems to the store."""
        self.reported_at = time.monotonic()
        usage = {
            uid: {
                "served": float(hosted.served_count),
                "refused": float(hosted.share.refused_count),
                "open": float(hosted.share.open),
            }
            for uid, hosted in self.tenants.items()
        }
        problems = {
            uid: f"{hosted.misplaced_count} workers are at addresses that this installation does not allow"
            for uid, hosted in self.tenants.items() if hosted.misplaced_count
        }  # fmt: skip
        problems |= self.problems
        report = GatewayReport(self.hosting.file.name, self.revision, time.time(), usage, problems)
        try:
            await asyncio.to_thread(self.store.report, report)
        except StoreError as error:
            log.warning("cannot store the gateway's report: %s", error)

    # --- background tasks ------------------------------------------------------------------------------

    async def follow_forever(self) -> None:
        """Follow the desired state until the task is cancelled."""
        last_hint, read_at = None, 0.0
        while True:
            await asyncio.sleep(self.hosting.file.follow)
            # A read uses a thread, which delays a busy event loop, and most reads find no change.
            hint = self.store.change_hint()
            if hint is not None and hint == last_hint and time.monotonic() < read_at + FULL_READ_PERIOD_S:
                continue
            last_hint, read_at = hint, time.monotonic()
            try:
                await self.follow()
            except Exception:
                log.exception("applying the desired state failed")

    async def refresh_lookups_forever(self) -> None:
        """Look up workers' host names again when their answers expire."""
        while True:
            await asyncio.sleep(LOOKUP_REFRESH_PERIOD_S)
            for hosted in list(self.tenants.values()):
                hosted.refresh_lookups()
                await asyncio.sleep(0)

    async def share_cpu_forever(self) -> None:
        """Divide the CPU among the active tenants once in each span."""
        last_cpu_s = time.process_time()
        while True:
            await asyncio.sleep(SPAN_S)
            cpu_s = time.process_time()
            self.shares.end_span(time.monotonic(), cpu_s - last_cpu_s)
            last_cpu_s = cpu_s
            self.leaving_tenants = [t for t in self.leaving_tenants if not t.finish_leaving()]
            if time.monotonic() >= self.closed_idle_at + CLOSE_IDLE_PERIOD_S:
                self.closed_idle_at = time.monotonic()
                for hosted in self.tenants.values():
                    hosted.close_idle_generations()

    # --- start and end ---------------------------------------------------------------------------------

    async def connect_counter(self) -> None:
        """Connect to the counter that gateways share, if one is configured.  Raises ConfigError."""
        hosting, address = self.hosting, self.hosting.tally
        if hosting.tally_listen is not None:
            self.tally = CounterServer(CounterStore())
            try:
                port = await self.tally.start(hosting.tally_listen)
            except OSError as error:
                raise ConfigError(f"tally.listen: cannot listen: {error}") from None
            address = Address(hosting.tally_listen.host, port)
        part, clock = hosting.file.tally, SharedClock(time.time(), time.monotonic())
        counter: SharedCounter | None = None
        if address is not None:
            counter = SharedTallyCounter(address, part.timeout, clock)
        elif part.redis is not None:
            from ivymux.hosting.redis_counters import SharedRedisCounter
            from ivymux.tally.redis import read_passwords

            counter = SharedRedisCounter(read_passwords(part.redis, self.folder), part.timeout, clock)
        if counter is not None:
            self.settings = replace(
                self.settings, counter=counter, counter_timeout_s=part.timeout, gateway_number=part.number,
                wall_clock=lambda: clock.read(time.monotonic()),
            )  # fmt: skip
            await asyncio.wait([counter.ready], timeout=COUNTER_WAIT_S)

    async def start(self) -> None:
        """Start to serve.  Raises StoreError if no desired state can be read, and ConfigError."""
        await self.connect_counter()
        await self.apply_changes()
        try:
            await self.server.start()
        except OSError as error:
            raise ConfigError(f"cannot listen: {error}") from None
        self.start_task(self.follow_forever())
        self.start_task(self.share_cpu_forever())
        self.start_task(self.refresh_lookups_forever())

    @property
    def all_tenants(self) -> list[HostedTenant]:
        """The tenants in service, then those that still finish their open requests."""
        return [*self.tenants.values(), *self.leaving_tenants]

    @property
    def unanswered_count(self) -> int:
        """The number of requests of all tenants that are not answered yet."""
        return sum(hosted.unanswered_count for hosted in self.all_tenants)

    def finish_all(self) -> None:
        """Give all open requests of all tenants their final answer."""
        for hosted in self.all_tenants:
            hosted.finish_all()
        self.server.refusal_log.write()  # refusals by the gateway's own limits

    def close_components(self) -> None:
        for hosted in self.all_tenants:
            hosted.close()
        self.host_lookups.close()
        if self.settings.counter is not None:
            self.settings.counter.close()
        if self.tally is not None:
            self.tally.close()


def load_hosting(path: Path) -> Hosting:
    """Read an installation's file.  Raises SiteError."""
    from ivymux.hosting.site import read_hosting
    from ivymux.service.site import SiteError

    try:
        return read_hosting(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SiteError(f"{path}: cannot be read: {reason}") from None
