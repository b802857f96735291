"""Whether a change of the inventory may go through unasked.  Pure; time is passed in, in seconds.

What a slip does and a volunteer rarely means: many workers gone, many addresses moved, a room emptied.
Changes add up within a window, so that one large drop can't pass as many small ones.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from hashlib import sha256

import msgspec

from ivymux.inventory.model import Inventory, Shape, Worker


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes through unasked.  Parts are of the ready workers at the window's start."""

    fleet: float = 0.25  # of all workers that leave, drain or move
    bay: float = 0.5  # of one bay's
    least: int = 1  # so many may always, in the fleet and in a bay
    moved: float = 0.25  # of all workers that get another address
    kept: int = 1  # ready workers that a room keeps at least, and the fleet
    window: float = 600.0  # seconds over which changes add up


@dataclass(frozen=True, slots=True)
class Change:
    """What is other in a new inventory, by worker."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    drained: tuple[str, ...] = ()  # no longer ready, but listed
    moved: tuple[str, ...] = ()  # at another address, or in another room or bay
    other: tuple[str, ...] = ()  # weight, kind, or ready again

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
    return sha256(msgspec.msgpack.encode(inventory)).hexdigest()


def confirmation(old: Inventory, new: Inventory) -> str:
    """What confirms the step from one inventory to another, and no other step."""
    return sha256(f"{digest(old)} {digest(new)}".encode()).hexdigest()[:24]


@dataclass(frozen=True, slots=True)
class Verdict:
    """`reasons` say why a change is held back; with none it goes through."""

    change: Change
    reasons: tuple[str, ...]
    confirmation: str

    @property
    def passes(self) -> bool:
        return not self.reasons


DEFAULTS = {"room": "main", "bay": 0, "kind": "standard", "weight": 1.0, "state": "ready"}


def lost_its_end(before: Inventory, after: Inventory, name: str) -> bool:
    """Whether a worker is other only by fields that are back at their defaults, as by lines cut off."""
    was, now = before.by_name().get(name), after.by_name().get(name)
    if was is None or now is None:
        return False
    differ = [f for f in was.__struct_fields__ if getattr(was, f) != getattr(now, f)]
    return bool(differ) and all(DEFAULTS.get(f) == getattr(now, f) for f in differ)


def cut_reason(old: Shape, new: Shape, before: Inventory, after: Inventory, change: Change) -> str | None:
    """Why a file may be one that was cut.  At a line's end that is a valid shorter file: only what it was
    before tells.  A right count in the last row clears it.  Nor does a folder of variables that lost its
    mount leave a trace of its own.
    """
    if not change:
        return None
    if lost := sorted(set(old.beside) - set(new.beside)):
        return f"{' and '.join(lost)} held files before and is empty or gone, as when a mount is lost"
    if new.counted:
        return None
    if old.counted:
        return "the last list ended with its count, this one does not: it may have been cut"
    size = len(new.order)
    if not 0 < size <= len(old.order):
        return None
    same = new.order[:-1] == old.order[: size - 1] and old.order[size - 1].startswith(new.order[-1])
    shorter = size < len(old.order) or (old.ended and not new.ended)
    if same and (shorter or lost_its_end(before, after, new.order[-1])):
        return "it is the last list without its end, as one that was cut; end it with a row '# end COUNT'"
    return None


def ready(inventory: Inventory) -> dict[str, Worker]:
    return {w.name: w for w in inventory.workers if w.state == "ready"}


@dataclass(slots=True)
class Judge:
    """Keeps what has been taken within the window, and compares each new inventory with its start."""

    limits: Limits
    current: Inventory
    taken: deque[tuple[float, Inventory]] = field(default_factory=deque)  # what was replaced, and when
    latest: float = 0.0  # the latest time seen: a clock that goes back must not shorten the window

    def base(self, now: float) -> Inventory:
        """The inventory that counted when the window began."""
        self.latest = max(self.latest, now)
        while self.taken and self.taken[0][0] <= self.latest - self.limits.window:
            self.taken.popleft()
        return self.taken[0][1] if self.taken else self.current

    def look(self, new: Inventory, now: float, cut: str | None = None) -> Verdict:
        """Whether a new inventory may go through; `cut`: why its file may be one that was cut."""
        change = differences(self.current, new)
        reasons = tuple(self.reasons(self.base(now), new)) if change else ()
        # A step back toward the window's start, or one that takes no more away, is not held back for
        # what earlier, confirmed steps took.
        if reasons and not (change.removed or change.drained or change.moved):
            reasons = ()
        if cut and change:
            reasons = (*reasons, cut)
        return Verdict(change, reasons, confirmation(self.current, new))

    def reasons(self, base: Inventory, new: Inventory) -> list[str]:
        limits, was, now = self.limits, ready(base), ready(new)
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

    def take(self, new: Inventory, now: float, confirmed: bool = False) -> None:
        """Go over to a new inventory.  A confirmed one begins the window anew: what it took was meant."""
        self.latest = max(self.latest, now)
        if confirmed:
            self.taken.clear()
        elif self.current != new:
            self.taken.append((self.latest, self.current))
            while len(self.taken) > 1000:  # a flood of changes: the window's start is what counts
                del self.taken[1]
        self.current = new
