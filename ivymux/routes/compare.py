"""Compares two versions of a description."""

from __future__ import annotations

from dataclasses import dataclass

from ivymux.routes.model import CompiledDescription, Operation


@dataclass(slots=True, frozen=True)
class Changes:
    """The operations that differ between two descriptions, as `METHOD PATH`, by kind of change."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    loosened: tuple[str, ...]  # may be retried under more conditions than before
    tightened: tuple[str, ...]  # may be retried under fewer conditions
    other: tuple[str, ...]  # cost, times, class

    def __bool__(self) -> bool:
        return any((self.added, self.removed, self.loosened, self.tightened, self.other))

    def __str__(self) -> str:
        parts = []
        for name, listed in (
            ("added", self.added), ("removed", self.removed), ("may now be retried", self.loosened),
            ("no longer retried", self.tightened), ("changed otherwise", self.other),
        ):  # fmt: skip
            if listed:
                shown = ", ".join(listed[:5]) + (", ..." if len(listed) > 5 else "")
                parts.append(f"{len(listed)} {name} ({shown})")
        return "; ".join(parts) or "no change"


RETRY_RANK = {"unsafe": 0, "keyed": 1, "safe": 2}  # effects, in the order of how freely they are retried


def compare(old: CompiledDescription, new: CompiledDescription) -> Changes:
    """Compare by method and path, because an operationId may move from one operation to another."""
    before = {(o.method, o.path): o for o in old.operations}
    after = {(o.method, o.path): o for o in new.operations}
    loosened, tightened, other = [], [], []
    for route in before.keys() & after.keys():
        was, now = before[route], after[route]
        rank_change = RETRY_RANK[now.effect.value] - RETRY_RANK[was.effect.value]
        if rank_change > 0:
            loosened.append(label(now))
        elif rank_change < 0:
            tightened.append(label(now))
        elif was != now:
            other.append(label(now))
    return Changes(
        tuple(sorted(label(after[p]) for p in after.keys() - before.keys())),
        tuple(sorted(label(before[p]) for p in before.keys() - after.keys())),
        tuple(sorted(loosened)), tuple(sorted(tightened)), tuple(sorted(other)),
    )  # fmt: skip


def label(operation: Operation) -> str:
    """Return an operation's method and path, as messages show it."""
    return f"{operation.method} {operation.path}"
