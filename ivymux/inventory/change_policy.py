"""Decides whether a change of the inventory is applied without confirmation.

Held back are changes that are rarely intended and often a mistake: many workers removed, many addresses
changed, a room emptied.  Changes add up within a window, so that a large loss cannot pass as many small ones.
Does no I/O; times are passed in, in seconds.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from hashlib import sha256

import msgspec

from ivymux.inventory.model import FileShape, Inventory, Worker


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes through unasked.  Parts are of the ready workers at the window's start."""

    fleet: float = 0.25  # the fraction of all workers that may leave, drain or move
    bay: float = 0.5  # the same fraction for each bay
    least: int = 1  # this many workers may always do so, in the fleet and in each bay
    moved: float = 0.25  # the fraction of all workers that may get another address, room or bay
    kept: int = 1  # how many ready workers must remain in each room, and in the fleet
    window: float = 600.0  # seconds over which changes add up


@dataclass(frozen=True, slots=True)
class Change:
    """How a new inventory differs from the current one, by names of workers."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    drained: tuple[str, ...] = ()  # still listed, but no longer ready
    moved: tuple[str, ...] = ()  # with another address, room or bay
    other: tuple[str, ...] = ()  # with another weight or kind, or ready again

    def __bool__(self) -> bool:
        return any((self.added, self.removed, self.drained, self.moved, self.other))

    def __str__(self) -> str:
        parts = []
        for name in ("added", "removed", "drained", "moved", "other"):
            listed = getattr(self, name)
            if listed:
                shown = ", ".join(listed[:6]) + (", ..." if len(listed) > 6 else "")
                parts.append(f"{len(listed)} {name} ({shown})")
        return "; ".join(parts) or "no change"


def differences(old: Inventory, new: Inventory) -> Change:
    """Return how one inventory differs from another, by the workers' names."""
    before, after = old.by_name(), new.by_name()
    drained, moved, other = [], [], []
    for name in sorted(before.keys() & after.keys()):
        was, now = before[name], after[name]
        if was == now:
            continue
        if was.state == "ready" and now.state != "ready":
            drained.append(name)
        elif (was.host, was.port, was.room, was.bay) != (now.host, now.port, now.room, now.bay):
            moved.append(name)
        else:
            other.append(name)
    return Change(
        tuple(sorted(after.keys() - before.keys())), tuple(sorted(before.keys() - after.keys())),
        tuple(drained), tuple(moved), tuple(other),
    )  # fmt: skip


def digest(inventory: Inventory) -> str:
    """Return the SHA-256 of an inventory, in hex."""
    return sha256(msgspec.msgpack.encode(inventory)).hexdigest()


def confirmation(old: Inventory, new: Inventory) -> str:
    """Return the code that confirms the change from one inventory to another, and no other change."""
    return sha256(f"{digest(old)} {digest(new)}".encode()).hexdigest()[:24]


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a review; a change with `reasons` is held back."""

    change: Change
    reasons: tuple[str, ...]
    confirmation: str

    @property
    def passes(self) -> bool:
        """Whether the change is applied without confirmation."""
        return not self.reasons


# The defaults of the fields that a file may leave out, as in `Worker`.
DEFAULTS = {"room": "main", "bay": 0, "kind": "standard", "weight": 1.0, "state": "ready"}


def only_reset_to_defaults(before: Inventory, after: Inventory, name: str) -> bool:
    """Whether a worker differs only by fields that now have their defaults.

    That is how the last worker of a YAML file looks after the lines of its last fields are cut off.
    """
    was, now = before.by_name().get(name), after.by_name().get(name)
    if was is None or now is None:
        return False
    differ = [f for f in was.__struct_fields__ if getattr(was, f) != getattr(now, f)]
    return bool(differ) and all(DEFAULTS.get(f) == getattr(now, f) for f in differ)


def truncation_reason(
    old: FileShape, new: FileShape, before: Inventory, after: Inventory, change: Change
) -> str | None:
    """Return the reason why a file may be truncated, or None.

    A file that is cut at the end of a line is a valid shorter file, so a truncation can only be recognized by
    a comparison with the previous content.  A correct count in the last row rules a truncation out.  A lost
    mount of a folder of variables can also be recognized only by a comparison.
    """
    if not change:
        return None
    if lost := sorted(set(old.beside) - set(new.beside)):
        return f"{' and '.join(lost)} had files before and is now empty or missing, as when a mount is lost"
    if new.counted:
        return None
    if old.counted:
        return "the previous list ended with its count, this one does not: it may be truncated"
    size = len(new.order)
    if not 0 < size <= len(old.order):
        return None
    same = new.order[:-1] == old.order[: size - 1] and old.order[size - 1].startswith(new.order[-1])
    shorter = size < len(old.order) or (old.ended and not new.ended)
    if same and (shorter or only_reset_to_defaults(before, after, new.order[-1])):
        return "it is the previous list without its end and may be truncated; add a last row '# end COUNT'"
    return None


def ready_workers(inventory: Inventory) -> dict[str, Worker]:
    """Return the workers that are ready, by name."""
    return {w.name: w for w in inventory.workers if w.state == "ready"}


@dataclass(slots=True)
class ChangePolicy:
    """Compares each new inventory with the one at the start of the window in which changes add up."""

    limits: Limits
    current: Inventory
    # The changes within the window: when each was accepted, and the inventory that it replaced.
    accepted: deque[tuple[float, Inventory]] = field(default_factory=deque)
    latest_time: float = 0.0  # a clock that goes back must not shorten the window

    def window_start(self, now: float) -> Inventory:
        """Return the inventory that was in force when the window began."""
        self.latest_time = max(self.latest_time, now)
        while self.accepted and self.accepted[0][0] <= self.latest_time - self.limits.window:
            self.accepted.popleft()
        return self.accepted[0][1] if self.accepted else self.current

    def review(self, new: Inventory, now: float, truncation: str | None = None) -> Verdict:
        """Decide whether a new inventory may be applied; `truncation` is why its file may be truncated."""
        change = differences(self.current, new)
        reasons = tuple(self.find_reasons(self.window_start(now), new)) if change else ()
        # A change that removes, drains or moves no worker is not held back for earlier changes in the window.
        if reasons and not (change.removed or change.drained or change.moved):
            reasons = ()
        if truncation and change:
            reasons = (*reasons, truncation)
        return Verdict(change, reasons, confirmation(self.current, new))

    def find_reasons(self, start: Inventory, new: Inventory) -> list[str]:
        """Return the limits that the change from the window's start to a new inventory exceeds, as texts."""
        limits, was, now = self.limits, ready_workers(start), ready_workers(new)
        if not was:
            return []
        found = []
        gone = {name for name in was if name not in now}
        moved = {
            n for n in was.keys() & now.keys()
            if (was[n].host, was[n].port, was[n].room, was[n].bay)
            != (now[n].host, now[n].port, now[n].room, now[n].bay)
        }  # fmt: skip
        lost = gone | moved
        if len(lost) > max(limits.least, limits.fleet * len(was)):
            found.append(f"{len(lost)} of {len(was)} workers leave, drain or move")
        if len(moved) > max(limits.least, limits.moved * len(was)):
            found.append(f"{len(moved)} of {len(was)} workers get another address, room or bay")
        bays = Counter((w.room, w.bay) for w in was.values())
        for (room, bay), count in sorted(Counter((was[n].room, was[n].bay) for n in lost).items()):
            if count > max(limits.least, limits.bay * bays[room, bay]):
                found.append(
                    f"{count} of {bays[room, bay]} workers of bay {bay} in {room} leave, drain or move"
                )
        rooms_were, rooms_are = Counter(w.room for w in was.values()), Counter(w.room for w in now.values())
        for room, count in sorted(rooms_were.items()):
            if rooms_are[room] < min(limits.kept, count):
                found.append(f"the room {room} is left with {rooms_are[room]} of {count} workers")
        if len(now) < min(limits.kept, len(was)):
            found.append(f"the fleet is left with {len(now)} workers")
        return found

    def accept(self, new: Inventory, now: float, confirmed: bool = False) -> None:
        """Make a new inventory the current one.

        A confirmed change starts a new window, so that it does not count against later changes.
        """
        self.latest_time = max(self.latest_time, now)
        if confirmed:
            self.accepted.clear()
        elif self.current != new:
            self.accepted.append((self.latest_time, self.current))
            # The entries are bounded; the first one stays, because it is the window's start.
            while len(self.accepted) > 1000:
                del self.accepted[1]
        self.current = new
