"""A standalone front door: its parts, put together from a site file, and how they change in service."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import time
from pathlib import Path
from typing import TYPE_CHECKING

from ivymux.data_plane.answer_policy import AnswerPolicy
from ivymux.data_plane.host import Host
from ivymux.data_plane.limits import BODY_MEMORY_SHARE, Bounds, ConfigError
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
from ivymux.service.compiler import CompilerError, obtain, unchanged
from ivymux.service.frontend import HttpFrontend
from ivymux.service.lifecycle import Door
from ivymux.service.site import MAX_ANSWERS, SCOPES, Site, SiteError, findings, read_site, settings
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
    """A site file.  Raises SiteError."""
    try:
        return read_site(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SiteError(f"{path}: cannot be read: {why}") from None


def description_path(site: Site, path: Path) -> Path:
    return path.parent / site.file.description.file


def cache_path(site: Site, path: Path) -> Path | None:
    return path.parent / site.file.description.cache if site.file.description.cache else None


class Standalone(Door):
    """One front door."""

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
        answer = limits.answer_kb * 1024
        policy = AnswerPolicy(True, answer, int(limits.memory_mb * MAX_ANSWERS * (1 << 20)))
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
        told = settings(site, tuple(self.classes.class_list))
        self.host = Host(Gateway(told, seed), upstream)
        self.store = CounterStore()
        self.tally: CounterServer | None = None
        self.counter: Counter | RedisCounter | None = None
        self.clock = SharedClock(time.time(), time.monotonic())
        if site.tally is not None:
            self.counter = Counter(site.tally, file.tally.timeout, self.host.post, self.clock)
        elif file.tally.redis is not None:
            from ivymux.tally.redis import RedisCounter, with_passwords

            part = with_passwords(file.tally.redis, path.parent)
            self.counter = RedisCounter(part, file.tally.timeout, self.host.post, self.clock)
        if self.counter is not None:
            self.host.counter = self.counter
            self.host.wall_clock = lambda: self.clock.read(time.monotonic())
        else:
            self.host.counter = LocalCounter(self.store, self.host.post)
        unread = max(8, int(limits.memory_mb * BODY_MEMORY_SHARE * (1 << 20)) // answer)
        self.frontend = HttpFrontend(
            self.table, site.callers, file.callers.header, site.plans, file.tally.doors,
            limits.body_kb * 1024, unread, tuple(file.trusted_proxies), self.ready, self.make_id,
        )  # fmt: skip
        self.server = Server(self.frontend, site.listen, bounds, self.host)
        self.member_list, self.resolver = MemberList(), Resolver()
        self.workers: tuple[Worker, ...] = ()  # as last told
        self.placing = asyncio.Lock()
        self.inventory: InventorySource | None = None
        self.reloading = asyncio.Lock()
        self.seen: dict[str, object] | None = None  # the files of the description, as last looked at
        self.longest = max(o.deadline for o in compiled.operations)

    # --- parts ---------------------------------------------------------------------------------------

    def ready(self) -> bool:
        return not self.server.is_stopping and bool(self.host.upstream.pools)

    def make_id(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    async def apply(self, workers: tuple[Worker, ...], cold: bool = True) -> None:
        """Go over to a list of workers, bit by bit.  Raises MemberListError, changing nothing."""
        async with self.placing:
            addresses = await self.resolver.resolve(workers)
            for members, places in self.member_list.change(workers, addresses, time.time(), cold):
                self.host.update_members(members, places)
                await asyncio.sleep(0)  # requests go between
            self.workers = workers

    async def join(self) -> None:
        """The workers at the start.  Raises ConfigError."""
        part = self.site.file.inventory
        try:
            if part is None:
                await self.apply(self.site.workers, cold=False)
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
        try:
            await self.apply(inventory.workers, cold=self.member_list.version > 0)
        except MemberListError as error:
            log.error("inventory: the list stays as it was: %s", error)

    async def follow_names(self) -> None:
        """Look up host names again when their answers have had their time."""
        while True:
            await asyncio.sleep(self.resolver.lifetime_s / 2)
            if any(not is_address(w.host) for w in self.workers):
                await self.apply(self.workers)

    async def start(self) -> None:
        """Serve.  Raises ConfigError where an address can't be listened on."""
        if self.counter is not None:  # its time counts from the module's first event on
            await asyncio.wait([self.counter.ready], timeout=0.3)
        await self.join()
        try:
            if self.site.tally_listen is not None:
                self.tally = CounterServer(self.store)
                await self.tally.start(self.site.tally_listen)
            await self.server.start()
        except OSError as error:
            raise ConfigError(f"cannot listen: {error}") from None
        if self.site.file.description.watch > 0:
            self.task(self.watch())
        if self.inventory is not None:
            self.task(self.inventory.run())
        self.task(self.follow_names())

    # --- changes in service ----------------------------------------------------------------------------

    async def watch(self) -> None:
        """Look now and then whether a file of the description has changed."""
        while True:
            await asyncio.sleep(self.site.file.description.watch)
            try:
                await self.look()
            except Exception:
                log.exception("the look at the description failed")

    def stamps(self) -> dict[str, object]:
        """What tells a change of the files apart, without reading them."""
        path = description_path(self.site, self.path)
        found: dict[str, object] = {}
        for name in {path.name, *self.table.compiled.files}:
            try:
                stat = (path.parent / name).stat()
                found[name] = stat.st_mtime_ns, stat.st_size, stat.st_ino, stat.st_dev
            except OSError as error:
                found[name] = error.errno
        return found

    async def look(self) -> None:
        stamps = self.stamps()
        if self.seen is None:
            # What changed between the compilation and this first look is told by the digests.
            path = description_path(self.site, self.path)
            with contextlib.suppress(OSError):
                if await asyncio.to_thread(unchanged, path, self.table.compiled):
                    self.seen = stamps
        if stamps != self.seen:
            self.seen = stamps
            await self.reload_description()

    async def reload_description(self) -> bool:
        """Compile the description anew and go over to it; whether there was anything to go over to.

        One that can't be served changes nothing.
        """
        async with self.reloading:
            path = description_path(self.site, self.path)
            try:
                compiled, _ = await obtain(path, self.site.options, cache_path(self.site, self.path))
                if (compiled.files, self.site.options) == (self.table.compiled.files, self.options):
                    return False
                changes = compare(self.table.compiled, compiled)
                await self.take_over(compiled)
            except (DescriptionError, CompilerError, TooManyClasses) as error:
                log.error("the description stays as it was: %s", error)
                return False
            self.options = self.site.options
            log.info("description %s: %s", compiled.version, changes)
            for text in findings(self.site, compiled):
                log.warning("description: %s", text)
            return True

    async def take_over(self, compiled: CompiledDescription) -> None:
        """Serve new requests by another description.  Raises TooManyClasses, changing nothing."""
        table = Table(compiled, self.classes)
        for _ in table.build():
            await asyncio.sleep(0)  # requests go between
        # From here to the end nothing waits: a request has the old description whole, or the new one.
        table.assign_class_numbers()
        self.host.post(i.Classes(tuple(self.classes.class_list)))
        self.table = self.frontend.table = table
        self.longest = max(self.longest, *(o.deadline for o in compiled.operations))

    async def reload(self) -> None:
        """Read the site file again: description, keys and workers.  A bad file changes nothing."""
        try:
            site = load_site(self.path)
        except SiteError as error:
            log.error("the site stays as it was: %s", error)
            return
        if site.plans != self.site.plans or fixed(site) != fixed(self.site):
            log.warning("plans, limits, rules, listeners and tally change only with a restart")
            if [p.name for p in site.plans] != [p.name for p in self.site.plans]:
                log.error("the site stays as it was: other plans need a restart")
                return
        try:
            if site.file.inventory is None:
                await self.apply(site.workers)
        except MemberListError as error:
            log.error("the site stays as it was: %s", error)
            return
        self.site = site
        self.frontend.callers = site.callers
        await self.reload_description()

    # --- the end ---------------------------------------------------------------------------------------

    @property
    def waiting(self) -> int:
        return self.host.unanswered_count

    def answer_all(self) -> None:
        self.host.finish_all()

    def close_parts(self) -> None:
        if self.counter is not None:
            self.counter.close()
        if self.tally is not None:
            self.tally.close()
        self.host.upstream.close()


def fixed(site: Site) -> object:
    """What of a site counts only from its start."""
    file = site.file
    return (
        file.listen, file.limits, file.rules, file.tally, file.keyed, file.reports, file.callers.header,
        file.trusted_proxies, file.name, file.inventory,
    )  # fmt: skip


async def open_standalone(path: Path) -> Standalone:
    """A front door of a site file, not yet serving.  Raises ConfigError, DescriptionError, CompilerError."""
    site = load_site(path)
    compiled, _ = await obtain(description_path(site, path), site.options, cache_path(site, path))
    for text in findings(site, compiled):
        log.warning("description: %s", text)
    try:
        return Standalone(path, site, compiled)
    except TooManyClasses as error:
        raise ConfigError(f"{path}: {error}") from None
