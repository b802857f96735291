"""Membership from an inventory: watches its files, keeps the last good list, tells of each change."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from ivymux.inventory.change_policy import Judge, Limits
from ivymux.inventory.file_stability import Settle
from ivymux.inventory.model import Inventory, Own, Shape
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.files import stamp
from ivymux.membership.reader import Done, Task, read_beside
from ivymux.membership.snapshot_store import Keeper

COARSE = 2.5  # seconds within which two writes may bear one time stamp, on the coarsest file systems
APPROVED = 60.0  # seconds that a confirmation waits for the step it is of
log = logging.getLogger("ivymux")
Apply = Callable[[Inventory], Awaitable[None]]


class NoInventory(ValueError):
    """There is neither a file that can be served nor a list that was good before."""


@dataclass(slots=True)
class Pending:
    """A change that is held back until it is confirmed."""

    done: Done
    stamp: object


@dataclass
class InventorySource:
    """One inventory's files, followed."""

    path: Path
    keeper: Keeper
    limits: Limits
    apply: Apply
    watch: float = 0.25  # seconds between looks
    own: Own = ()
    settle: Settle = field(default_factory=Settle)
    judge: Judge | None = None
    pending: Pending | None = None
    ignored: str = ""  # the digest of a content that was rolled back from: it counts only once it changes
    approved: tuple[str, float] = ("", 0.0)  # a confirmation given before its step was seen, and until when
    missing: bool = False
    last_read: str = ""  # the digest of what was read last
    again_at: float | None = None  # when it is read once more, for what its time stamps may hide
    shape: Shape = field(default_factory=Shape)  # of the file that the current list came from

    @property
    def current(self) -> Inventory:
        assert self.judge is not None
        return self.judge.current

    # --- the start -----------------------------------------------------------------------------------

    async def start(self) -> None:
        """Serve the file, or the last good list where that can't be.  Raises NoInventory."""
        last = self.keeper.last()
        current = last.inventory if last is not None else None
        if last is not None and last.why == "rolled back":
            self.ignored = last.content
        if last is not None:
            self.shape = last.shape
        done = await read_beside(Task(str(self.path), self.limits, current, None, self.shape, self.own))
        # It counts as not yet read: what changes while the front door starts is found by the first look.
        good = done.inventory is not None and not done.problem
        if last is None:
            if done.inventory is None:
                raise NoInventory(told(done, self.path))
            self.judge = Judge(self.limits, done.inventory)
            await self.keep(done, "started", done.inventory)
            await self.apply(done.inventory)
            return
        self.judge = Judge(self.limits, last.inventory)
        await self.apply(last.inventory)
        if not good or done.digest == self.ignored:
            why = told(done, self.path) if not good else "it was rolled back from"
            age = max(0.0, time.time() - last.taken)
            log.error("inventory: serving list %d, %.0f s old: %s", last.number, age, why)
            return
        await self.judged(done)

    async def keep(self, done: Done, why: str, inventory: Inventory) -> None:
        """Keep a list before it counts, in a thread: a disk may take its time."""
        self.shape = done.shape
        taken = time.time(), str(self.path), done.digest, why, inventory, done.shape
        await asyncio.to_thread(lambda: self.keeper.keep(Snapshot(self.keeper.next_number(), *taken)))

    # --- following -----------------------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.watch)
            try:
                await self.look()
            except Exception:
                log.exception("the look at the inventory failed")

    async def look(self) -> None:
        """One look: at what commands ask, then at the files."""
        await self.asked()
        now = time.monotonic()
        seen = await asyncio.to_thread(stamp, self.path)
        if (seen is None) is not self.missing:
            self.missing = seen is None
            if self.missing:
                log.error("inventory: %s is not there: the list stays as it was", self.path)
        match self.settle.look(seen, now):
            case "read":
                await self.read()
            case "same" if self.again_at is not None and now >= self.again_at:
                self.again_at = None
                await self.read()
            case "restless":
                log.error("inventory: %s does not come to rest: the list stays as it was", self.path)

    async def read(self) -> None:
        assert self.judge is not None
        base = self.judge.base(time.monotonic())
        seen = self.settle.seen
        done = await read_beside(self.task(base))
        if await asyncio.to_thread(stamp, self.path) != seen:
            return  # it changed meanwhile: what was read may be half of it
        self.settle.taken()
        if done.digest and done.digest == self.last_read:
            return
        self.last_read, self.again_at = done.digest, time.monotonic() + COARSE
        if done.inventory is None:
            self.pending = None
            log.error("inventory: the list stays as it was: %s", told(done, self.path))
            return
        if done.digest == self.ignored:
            return
        self.ignored = ""
        await self.judged(done)

    def task(self, base: Inventory | None) -> Task:
        return Task(str(self.path), self.limits, self.current, base, self.shape, self.own)

    async def judged(self, done: Done) -> None:
        for finding in done.findings[:5]:
            log.warning("inventory: %s", finding)
        if not done.change:
            self.pending, self.shape = None, done.shape
            return
        if done.reasons and self.approved[0] == done.confirmation and time.monotonic() < self.approved[1]:
            await self.take(done, "confirmed")
            return
        if done.reasons:
            self.pending = Pending(done, self.settle.seen)
            log.error(
                "inventory: held back, the list stays as it was: %s; if it is meant: ivymux inventory confirm"
                " SITE.toml %s", "; ".join(done.reasons), done.confirmation,
            )  # fmt: skip
            return
        await self.take(done, "changed")

    async def take(self, done: Done, why: str) -> None:
        assert self.judge is not None and done.inventory is not None
        self.pending, self.approved = None, ("", 0.0)
        self.judge.take(done.inventory, time.monotonic(), confirmed=why != "changed")
        await self.keep(done, why, done.inventory)
        log.info("inventory: %s: %s", why, done.change)
        await self.apply(done.inventory)

    # --- what commands ask ---------------------------------------------------------------------------

    async def asked(self) -> None:
        if (code := self.keeper.asked("confirm")) is not None:
            await self.confirm(code)
        if (number := self.keeper.asked("rollback")) is not None:
            await self.roll_back(number)

    async def confirm(self, code: str) -> bool:
        """Take what is held back, if the code is that of exactly this step.

        One that fits nothing yet is remembered for a while: a command may give it together with the file.
        """
        pending = self.pending
        if pending is None or code != pending.done.confirmation:
            self.approved = code, time.monotonic() + APPROVED
            log.warning("inventory: nothing is held back under that confirmation; it counts %g s", APPROVED)
            return False
        if await asyncio.to_thread(stamp, self.path) != pending.stamp:
            log.error("inventory: the file has changed since: look at what it says now")
            return False
        await self.take(pending.done, "confirmed")
        return True

    async def roll_back(self, number: str) -> bool:
        """Go back to a list of the history; the file as it is now counts again only once it changes."""
        assert self.judge is not None
        found = [s for s in self.keeper.history() if str(s.number) == number]
        if not found:
            log.error("inventory: there is no list %s to go back to", number[:20])
            return False
        done = await read_beside(self.task(None))
        self.ignored, self.pending = done.digest, None
        self.judge.take(found[0].inventory, time.monotonic(), confirmed=True)
        await self.keep(done, "rolled back", found[0].inventory)
        log.warning("inventory: rolled back to list %s", number)
        await self.apply(found[0].inventory)
        return True


def told(done: Done, path: Path) -> str:
    """Why there is no inventory, in one line."""
    if done.problem:
        return done.problem
    errors = [f for f in done.findings if f.level == "error"]
    more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
    return f"{errors[0]}{more}" if errors else f"{path}: can't be taken"
