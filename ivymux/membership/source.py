"""Follows an inventory's files, keeps the last good list and applies each accepted change."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from ivymux.inventory.change_policy import ChangePolicy, Limits
from ivymux.inventory.file_stability import FileStability
from ivymux.inventory.model import FileShape, GatewayAddresses, Inventory
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.files import fingerprint
from ivymux.membership.reader import ReadResult, ReadTask, read_in_child_process
from ivymux.membership.snapshot_store import SnapshotStore

# After a read the files are read once more: the coarsest file systems may give two writes within this time
# the same time stamp.
REREAD_DELAY_S = 2.5
EARLY_APPROVAL_LIFETIME_S = 60.0  # of a confirmation that arrives before its change is read
log = logging.getLogger("ivymux")
Apply = Callable[[Inventory], Awaitable[None]]


class NoInventoryError(ValueError):
    """There is neither a usable file nor an earlier good list."""


@dataclass(slots=True)
class Pending:
    """A change that is held back until an operator confirms it."""

    result: ReadResult
    fingerprint: object  # of the files that were read


@dataclass
class InventorySource:
    """Follows the files of one inventory; `apply` puts an accepted list into force."""

    path: Path
    store: SnapshotStore
    limits: Limits
    apply: Apply
    poll_period_s: float = 0.25
    gateway_addresses: GatewayAddresses = ()
    stability: FileStability = field(default_factory=FileStability)
    policy: ChangePolicy | None = None
    pending: Pending | None = None
    ignored_digest: str = ""  # of the content that was rolled back, which is ignored until the file changes
    # A confirmation received before its change was read, and until when it is valid (monotonic seconds).
    early_approval: tuple[str, float] = ("", 0.0)
    is_missing: bool = False
    last_digest: str = ""  # of the content that was read last
    reread_at: float | None = None  # when to read again, in case a time stamp hides a later write
    shape: FileShape = field(default_factory=FileShape)  # of the file that the current list was read from

    @property
    def current(self) -> Inventory:
        """The list in force."""
        assert self.policy is not None
        return self.policy.current

    # --- start ---------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Apply the file, or the last good list if the file is unusable or its change is held back.

        Raises NoInventoryError.
        """
        last = self.store.load_last()
        current = last.inventory if last is not None else None
        if last is not None and last.why == "rolled back":
            self.ignored_digest = last.content
        if last is not None:
            self.shape = last.shape
        result = await read_in_child_process(
            ReadTask(str(self.path), self.limits, current, None, self.shape, self.gateway_addresses)
        )
        # `stability` does not record this read, so the first poll finds changes made during the start.
        is_good = result.inventory is not None and not result.problem
        if last is None:
            if result.inventory is None:
                raise NoInventoryError(describe_failure(result, self.path))
            self.policy = ChangePolicy(self.limits, result.inventory)
            await self.store_snapshot(result, "started", result.inventory)
            await self.apply(result.inventory)
            return
        self.policy = ChangePolicy(self.limits, last.inventory)
        await self.apply(last.inventory)
        if not is_good or result.digest == self.ignored_digest:
            reason = (
                describe_failure(result, self.path)
                if not is_good
                else "the file has the content that was rolled back"
            )
            age_s = max(0.0, time.time() - last.taken)
            log.error("inventory: serving list %d, %.0f s old: %s", last.number, age_s, reason)
            return
        await self.handle_result(result)

    async def store_snapshot(self, result: ReadResult, why: str, inventory: Inventory) -> None:
        """Store a list before it is applied, in a thread because a disk may be slow."""
        self.shape = result.shape
        fields = time.time(), str(self.path), result.digest, why, inventory, result.shape
        await asyncio.to_thread(lambda: self.store.save(Snapshot(self.store.next_number(), *fields)))

    # --- polling -------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        while True:
            await asyncio.sleep(self.poll_period_s)
            try:
                await self.poll()
            except Exception:
                log.exception("inventory: polling failed")

    async def poll(self) -> None:
        """Handle operators' commands, then check the files for a change."""
        await self.handle_commands()
        now = time.monotonic()
        seen = await asyncio.to_thread(fingerprint, self.path)
        if (seen is None) is not self.is_missing:
            self.is_missing = seen is None
            if self.is_missing:
                log.error("inventory: %s is not there: the list stays as it was", self.path)
        match self.stability.observe(seen, now):
            case "read":
                await self.read_files()
            case "same" if self.reread_at is not None and now >= self.reread_at:
                self.reread_at = None
                await self.read_files()
            case "restless":
                log.error("inventory: %s does not come to rest: the list stays as it was", self.path)

    async def read_files(self) -> None:
        """Read the files, unless they change meanwhile, and handle a list with new content."""
        assert self.policy is not None
        base = self.policy.window_start(time.monotonic())
        seen = self.stability.last_fingerprint
        result = await read_in_child_process(self.build_task(base))
        if await asyncio.to_thread(fingerprint, self.path) != seen:
            return  # the files changed during the read, so the content may be incomplete
        self.stability.mark_read()
        if result.digest and result.digest == self.last_digest:
            return
        self.last_digest, self.reread_at = result.digest, time.monotonic() + REREAD_DELAY_S
        if result.inventory is None:
            self.pending = None
            log.error("inventory: the list stays as it was: %s", describe_failure(result, self.path))
            return
        if result.digest == self.ignored_digest:
            return
        self.ignored_digest = ""
        await self.handle_result(result)

    def build_task(self, base: Inventory | None) -> ReadTask:
        """Return the task of reading the files; `base` is the list at the start of the change window."""
        return ReadTask(str(self.path), self.limits, self.current, base, self.shape, self.gateway_addresses)

    async def handle_result(self, result: ReadResult) -> None:
        """Accept a list that was read, or hold it back if its change exceeds the limits."""
        for finding in result.findings[:5]:
            log.warning("inventory: %s", finding)
        if not result.change:
            self.pending, self.shape = None, result.shape
            return
        approved_code, approved_until = self.early_approval
        if result.reasons and approved_code == result.confirmation and time.monotonic() < approved_until:
            await self.accept(result, "confirmed")
            return
        if result.reasons:
            self.pending = Pending(result, self.stability.last_fingerprint)
            log.error(
                "inventory: held back, the list stays as it was: %s; if it is meant: ivymux inventory confirm"
                " SITE.toml %s", "; ".join(result.reasons), result.confirmation,
            )  # fmt: skip
            return
        await self.accept(result, "changed")

    async def accept(self, result: ReadResult, why: str) -> None:
        """Store and apply a list; `why`, "changed" or "confirmed", is recorded in its snapshot."""
        assert self.policy is not None and result.inventory is not None
        self.pending, self.early_approval = None, ("", 0.0)
        self.policy.accept(result.inventory, time.monotonic(), confirmed=why != "changed")
        await self.store_snapshot(result, why, result.inventory)
        log.info("inventory: %s: %s", why, result.change)
        await self.apply(result.inventory)

    # --- commands ------------------------------------------------------------------------------------

    async def handle_commands(self) -> None:
        """Carry out the commands that the command line has written to the state folder."""
        if (code := self.store.take_command("confirm")) is not None:
            await self.confirm(code)
        if (number := self.store.take_command("rollback")) is not None:
            await self.roll_back(number)

    async def confirm(self, code: str) -> bool:
        """Accept the change that is held back if `code` is its confirmation; return whether it was accepted.

        A code that matches no pending change stays valid for EARLY_APPROVAL_LIFETIME_S: a command may
        write it just before it replaces the file.
        """
        pending = self.pending
        if pending is None or code != pending.result.confirmation:
            self.early_approval = code, time.monotonic() + EARLY_APPROVAL_LIFETIME_S
            log.warning(
                "inventory: no change with that confirmation is held back; the code is valid for %g s",
                EARLY_APPROVAL_LIFETIME_S,
            )
            return False
        if await asyncio.to_thread(fingerprint, self.path) != pending.fingerprint:
            log.error("inventory: not confirmed: the file has changed since it was read")
            return False
        await self.accept(pending.result, "confirmed")
        return True

    async def roll_back(self, number: str) -> bool:
        """Apply a list of the history; the file's present content is ignored until the file changes."""
        assert self.policy is not None
        found = [s for s in self.store.load_history() if str(s.number) == number]
        if not found:
            log.error("inventory: no list %s in the history to roll back to", number[:20])
            return False
        result = await read_in_child_process(self.build_task(None))
        self.ignored_digest, self.pending = result.digest, None
        self.policy.accept(found[0].inventory, time.monotonic(), confirmed=True)
        await self.store_snapshot(result, "rolled back", found[0].inventory)
        log.warning("inventory: rolled back to list %s", number)
        await self.apply(found[0].inventory)
        return True


def describe_failure(result: ReadResult, path: Path) -> str:
    """Return the reason in one line why no inventory could be read."""
    if result.problem:
        return result.problem
    errors = [f for f in result.findings if f.level == "error"]
    more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
    return f"{errors[0]}{more}" if errors else f"{path}: no inventory could be read"
