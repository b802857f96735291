"""What changes from one description to the next, in the order of what it may do."""

from __future__ import annotations

from dataclasses import dataclass

from ivymux.routes.model import Compiled, Operation


@dataclass(slots=True, frozen=True)
class Changes:
    added: tuple[str, ...]
    removed: tuple[str, ...]
    loosened: tuple[str, ...]  # may be repeated now, and could not be, or not so far
    tightened: tuple[str, ...]
    other: tuple[str, ...]  # cost, times, class

    def __bool__(self) -> bool:
        return any((self.added, self.removed, self.loosened, self.tightened, self.other))

    def __str__(self) -> str:
        parts = []
        for name, listed in (
            ("added", self.added), ("removed", self.removed), ("may now be repeated", self.loosened),
            ("no longer repeated", self.tightened), ("changed otherwise", self.other),
        ):  # fmt: skip
            if listed:
                shown = ", ".join(listed[:5]) + (", ..." if len(listed) > 5 else "")
                parts.append(f"{len(listed)} {name} ({shown})")
        return "; ".join(parts) or "no change"


LOOSE = {"unsafe": 0, "keyed": 1, "safe": 2}


def compare(old: Compiled, new: Compiled) -> Changes:
    """The changes by method and path: an operationId may move from one to another."""
    before = {(o.method, o.path): o for o in old.operations}
    after = {(o.method, o.path): o for o in new.operations}
    loosened, tightened, other = [], [], []
    for place in before.keys() & after.keys():
        was, now = before[place], after[place]
        step = LOOSE[now.effect.value] - LOOSE[was.effect.value]
        if step > 0:
            loosened.append(name(now))
        elif step < 0:
            tightened.append(name(now))
        elif was != now:
            other.append(name(now))
    return Changes(
        tuple(sorted(name(after[p]) for p in after.keys() - before.keys())),
        tuple(sorted(name(before[p]) for p in before.keys() - after.keys())),
        tuple(sorted(loosened)), tuple(sorted(tightened)), tuple(sorted(other)),
    )  # fmt: skip


def name(operation: Operation) -> str:
    return f"{operation.method} {operation.path}"
