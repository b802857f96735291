"""The gateway of `ivymux serve`: its components, and changes of its site while it serves."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import time
from pathlib import Path
from typing import TYPE_CHECKING

from ivymux.data_plane.answer_budget import share_answer_room
from ivymux.data_plane.answer_policy import AnswerPolicy
from ivymux.data_plane.host import Host
from ivymux.data_plane.limits import ANSWER_MEMORY_SHARE, BODY_MEMORY_SHARE, Bounds, ConfigError
from ivymux.data_plane.server import Server
from ivymux.data_plane.upstream import Upstream
from ivymux.inventory.file_stability import FileStability
from ivymux.inventory.model import Inventory, Worker
from ivymux.membership.member_list import MemberList, MemberListError
from ivymux.membership.resolver import Resolver, is_address
from ivymux.membership.snapshot_store import SnapshotStore
from ivymux.membership.source import InventorySource, NoInventoryError
from ivymux.platform.counter import Counter
from ivymux.routes.classes import ClassTable, TooManyClasses
from ivymux.routes.compare import compare
from ivymux.routes.model import CompiledDescription, DescriptionError
from ivymux.routes.table import Table
from ivymux.service.compiler import CompilerError, is_unchanged, load_or_compile
from ivymux.service.frontend import HttpFrontend
from ivymux.service.lifecycle import BaseGateway
from ivymux.service.site import SCOPES, Site, SiteError, findings, read_site, settings
from ivymux.tally.clock import SharedClock
from ivymux.tally.local import LocalCounter
from ivymux.tally.server import CounterServer
from ivymux.tally.store import CounterStore
from orchidhill import interface as i
from orchidhill.gateway import Gateway

if TYPE_CHECKING:
    from ivymux.tally.redis import RedisCounter

log = logging.getLogger("ivymux")


def load_site(path: Path) -> Site:
    """Read and validate a site file.  Raises SiteError."""
    try:
        return read_site(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SiteError(f"{path}: cannot be read: {why}") from None


def description_path(site: Site, path: Path) -> Path:
    """Return the path of a site's description; `path` is that of the site file."""
    return path.parent / site.file.description.file


def cache_path(site: Site, path: Path) -> Path | None:
    """Return the folder of a site's cache, or None; `path` is that of the site file."""
    return path.parent / site.file.description.cache if site.file.description.cache else None


class StandaloneGateway(BaseGateway):
    """A gateway for one site, whose description, workers and API keys may change while it serves."""

    def __init__(self, path: Path, site: Site, compiled: CompiledDescription) -> None:
        super().__init__()
        self.path, self.site, self.options = path, site, site.options
        limits, file = site.file.limits, site.file
        bounds = Bounds.from_limits(limits.sockets, limits.memory_mb)
        self.classes = ClassTable(file.keyed.memory, SCOPES[file.keyed.scope])
        self.table = Table(compiled, self.classes)
        for _ in self.table.build():
            pass
        self.table.assign_class_numbers()
        max_answer_bytes = limits.answer_kb * 1024
        policy = AnswerPolicy(True, max_answer_bytes, int(limits.memory_mb * ANSWER_MEMORY_SHARE * (1 << 20)))
        upstream = Upstream(
            limits.connect_timeout,
            limits.worker_idle,
            tuple(file.reports),
            bounds.max_backend_connections,
            policy,
        )
        seed = secrets.randbits(64)
        log.info("seed %016x", seed)
        self.random = random.Random(seed)
        module_settings = settings(site, tuple(self.classes.class_list))
        self.host = Host(Gateway(module_settings, seed), upstream)
        self.counter_store = CounterStore()
        self.tally: CounterServer | None = None  # a counter service that runs in this process
        self.counter: Counter | RedisCounter | None = None
        self.clock = SharedClock(time.time(), time.monotonic())
        if site.tally is not None:
            self.counter = Counter(site.tally, file.tally.timeout, self.host.post, self.clock)
        elif file.tally.redis is not None:
            from ivymux.tally.redis import RedisCounter, read_passwords

            part = read_passwords(file.tally.redis, path.parent)
            self.counter = RedisCounter(part, file.tally.timeout, self.host.post, self.clock)
        if self.counter is not None:
            self.host.counter = self.counter
            self.host.wall_clock = lambda: self.clock.read(time.monotonic())
        else:
            self.host.counter = LocalCounter(self.counter_store, self.host.post)
        max_unread_clients = max(8, int(limits.memory_mb * BODY_MEMORY_SHARE * (1 << 20)) // max_answer_bytes)
        self.frontend = HttpFrontend(
            self.table, site.callers, file.callers.header, site.plans, file.tally.doors,
            limits.body_kb * 1024, max_unread_clients, tuple(file.trusted_proxies), self.is_ready,
            self.make_id,
        )  # fmt: skip
        self.server = Server(self.frontend, site.listen, bounds, self.host)
        share_answer_room(self.server, upstream.answer_flow)
        self.member_list, self.resolver = MemberList(), Resolver()
        self.workers: tuple[Worker, ...] = ()  # the list in force
        self.members_lock = asyncio.Lock()
        self.inventory: InventorySource | None = None
        self.reload_lock = asyncio.Lock()
        self.last_stamps: dict[str, object] | None = None  # of the description's files, at the last check
        self.max_deadline_s = max(o.deadline for o in compiled.operations)

    # --- components ----------------------------------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether the gateway accepts requests and has a backend to send them to."""
        return not self.server.is_stopping and bool(self.host.upstream.pools)

    def make_id(self) -> str:
        """Return a new request id."""
        return f"{self.random.getrandbits(64):016x}"

    async def apply_workers(self, workers: tuple[Worker, ...], cold: bool = True) -> None:
        """Switch to a list of workers in small steps.  Raises MemberListError without a change.

        `cold`: whether new workers start with a share of their capacity only.
        """
        async with self.members_lock:
            addresses = await self.resolver.resolve(workers)
            for members, backends in self.member_list.change(workers, addresses, time.time(), cold):
                self.host.update_members(members, backends)
                await asyncio.sleep(0)  # requests are handled between the steps
            self.workers = workers

    async def load_workers(self) -> None:
        """Apply the list of workers at the start.  Raises ConfigError."""
        part = self.site.file.inventory
        try:
            if part is None:
                await self.apply_workers(self.site.workers, cold=False)
                return
            state = self.path.parent / part.state if part.state else None
            self.inventory = InventorySource(
                self.path.parent / part.file, SnapshotStore(state), part.limits, self.apply_inventory,
                part.watch, ((self.site.listen.host, self.site.listen.port),), FileStability(part.settle),
            )  # fmt: skip
            await self.inventory.start()
        except (MemberListError, NoInventoryError) as error:
            raise ConfigError(str(error)) from None

    async def apply_inventory(self, inventory: Inventory) -> None:
        """Switch to a new inventory; one that can't be served is logged and changes nothing."""
        try:
            await self.apply_workers(inventory.workers, cold=self.member_list.version > 0)
        except MemberListError as error:
            log.error("inventory: the list stays as it was: %s", error)

    async def refresh_addresses(self) -> None:
        """Look up the workers' host names again before their cached answers expire."""
        while True:
            await asyncio.sleep(self.resolver.lifetime_s / 2)
            if any(not is_address(w.host) for w in self.workers):
                await self.apply_workers(self.workers)

    async def start(self) -> None:
        """Start to serve.  Raises ConfigError, also if the gateway can't listen on an address."""
        if self.counter is not None:  # the decision module uses the counter's clock from its first event on
            await asyncio.wait([self.counter.ready], timeout=0.3)
        await self.load_workers()
        try:
            if self.site.tally_listen is not None:
                self.tally = CounterServer(self.counter_store)
                await self.tally.start(self.site.tally_listen)
            await self.server.start()
        except OSError as error:
            raise ConfigError(f"cannot listen: {error}") from None
        if self.site.file.description.watch > 0:
            self.start_task(self.watch_description())
        if self.inventory is not None:
            self.start_task(self.inventory.run())
        self.start_task(self.refresh_addresses())

    # --- changes in service ----------------------------------------------------------------------------

    async def watch_description(self) -> None:
        """Check periodically whether a file of the description has changed."""
        while True:
            await asyncio.sleep(self.site.file.description.watch)
            try:
                await self.check_description()
            except Exception:
                log.exception("checking the description for changes failed")

    def file_stamps(self) -> dict[str, object]:
        """Return metadata of each file of the description, which differs once the file has changed."""
        path = description_path(self.site, self.path)
        stamps: dict[str, object] = {}
        for name in {path.name, *self.table.compiled.files}:
            try:
                stat = (path.parent / name).stat()
                stamps[name] = stat.st_mtime_ns, stat.st_size, stat.st_ino, stat.st_dev
            except OSError as error:
                stamps[name] = error.errno
        return stamps

    async def check_description(self) -> None:
        """Reload the description if one of its files has changed since the last check."""
        stamps = self.file_stamps()
        if self.last_stamps is None:
            # Files may have changed between their compilation and this first check, so compare their digests.
            path = description_path(self.site, self.path)
            with contextlib.suppress(OSError):
                if await asyncio.to_thread(is_unchanged, path, self.table.compiled):
                    self.last_stamps = stamps
        if stamps != self.last_stamps:
            self.last_stamps = stamps
            await self.reload_description()

    async def reload_description(self) -> bool:
        """Compile the description and switch to it; return whether that changed anything.

        A description that can't be served is logged and changes nothing.
        """
        async with self.reload_lock:
            path = description_path(self.site, self.path)
            try:
                compiled, _ = await load_or_compile(path, self.site.options, cache_path(self.site, self.path))
                if (compiled.files, self.site.options) == (self.table.compiled.files, self.options):
                    return False
                changes = compare(self.table.compiled, compiled)
                await self.apply_description(compiled)
            except (DescriptionError, CompilerError, TooManyClasses) as error:
                log.error("the description stays as it was: %s", error)
                return False
            self.options = self.site.options
            log.info("description %s: %s", compiled.version, changes)
            for text in findings(self.site, compiled):
                log.warning("description: %s", text)
            return True

    async def apply_description(self, compiled: CompiledDescription) -> None:
        """Serve new requests by another description.  Raises TooManyClasses without a change."""
        table = Table(compiled, self.classes)
        for _ in table.build():
            await asyncio.sleep(0)  # requests are handled between the steps
        # No await from here on: each request is handled wholly by the old description or by the new one.
        table.assign_class_numbers()
        self.host.post(i.Classes(tuple(self.classes.class_list)))
        self.table = self.frontend.table = table
        self.max_deadline_s = max(self.max_deadline_s, *(o.deadline for o in compiled.operations))

    async def reload(self) -> None:
        """Read the site file again; apply its description, keys and workers.

        A file that can't be served changes nothing.  Other settings change only with a restart.
        """
        try:
            site = load_site(self.path)
        except SiteError as error:
            log.error("the site stays as it was: %s", error)
            return
        if site.plans != self.site.plans or restart_settings(site) != restart_settings(self.site):
            log.warning("plans, limits, rules, listeners and tally change only with a restart")
            if [p.name for p in site.plans] != [p.name for p in self.site.plans]:
                log.error("the site stays as it was: other plans need a restart")
                return
        try:
            if site.file.inventory is None:
                await self.apply_workers(site.workers)
        except MemberListError as error:
            log.error("the site stays as it was: %s", error)
            return
        self.site = site
        self.frontend.callers = site.callers
        await self.reload_description()

    # --- closing ---------------------------------------------------------------------------------------

    @property
    def unanswered_count(self) -> int:
        return self.host.unanswered_count

    def finish_all(self) -> None:
        self.host.finish_all()

    def close_components(self) -> None:
        if self.counter is not None:
            self.counter.close()
        if self.tally is not None:
            self.tally.close()
        self.host.upstream.close()


def restart_settings(site: Site) -> object:
    """Return the settings of a site that take effect only at a restart, for comparison."""
    file = site.file
    return (
        file.listen, file.limits, file.rules, file.tally, file.keyed, file.reports, file.callers.header,
        file.trusted_proxies, file.name, file.inventory,
    )  # fmt: skip


async def open_standalone(path: Path) -> StandaloneGateway:
    """Set up the gateway of a site file without starting it.

    Raises ConfigError, DescriptionError, CompilerError.
    """
    site = load_site(path)
    compiled, _ = await load_or_compile(description_path(site, path), site.options, cache_path(site, path))
    for text in findings(site, compiled):
        log.warning("description: %s", text)
    try:
        return StandaloneGateway(path, site, compiled)
    except TooManyClasses as error:
        raise ConfigError(f"{path}: {error}") from None
