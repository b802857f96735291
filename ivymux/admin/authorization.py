"""Who may do what at the administration API, and how often.  Pure; seconds are passed in."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

MAX_KNOWN = 4096  # callers that are told apart
RATE, BURST = 20.0, 60.0  # calls a second of one key, or of one address without one
FAILED_COST = 10.0  # calls that a wrong key counts as
OPERATORS = frozenset(("hosts", "limits", "suspended"))  # parts that only an operator changes
ELSEWHERE = frozenset(("keys", "routes", "inventory"))  # that have resources of their own


class ApiError(Exception):
    """A call that is answered with a problem (RFC 9457)."""

    def __init__(self, status: int, detail: str, headers: dict[str, str] | None = None, **more: Any) -> None:
        self.status, self.detail, self.headers, self.more = status, detail, headers or {}, more
        super().__init__(detail)


@dataclass(frozen=True, slots=True)
class Principal:
    """Whose key a call came with.  An operator has no tenant's uid."""

    id: str
    name: str
    uid: str

    @property
    def operator(self) -> bool:
        return not self.uid

    def may_see(self, uid: str) -> bool:
        return self.operator or self.uid == uid


def patchable(principal: Principal, patch: object) -> dict[str, Any]:
    """A merge patch of a tenant that a principal may make.  Raises ApiError."""
    if not isinstance(patch, dict):
        raise ApiError(422, "a merge patch is a JSON object")
    if wrong := sorted(ELSEWHERE & patch.keys()):
        raise ApiError(422, f"{wrong[0]} has a resource of its own: change it there")
    if not principal.operator and (wrong := sorted(OPERATORS & patch.keys())):
        raise ApiError(403, f"only an operator changes {wrong[0]}")
    return patch


def tag(revision: int) -> str:
    return f'"{revision}"'


def expected(if_match: str | None) -> int:
    """The revision that an If-Match names.  Raises ApiError: 428 without one (RFC 6585, 3)."""
    if if_match is None:
        raise ApiError(428, "send If-Match with the ETag of what you have seen")
    text = if_match.strip()
    digits = text[1:-1]
    if len(text) < 3 or text[0] != '"' or text[-1] != '"' or not digits.isascii() or not digits.isdigit():
        raise ApiError(412, "If-Match is no ETag of this resource")
    return int(digits[:18])


@dataclass(slots=True)
class Pace:
    """How often each caller calls; those that were not heard of for longest are forgotten first."""

    known: OrderedDict[str, tuple[float, float]] = field(default_factory=OrderedDict)

    def ask(self, who: str, now: float, cost: float = 1.0) -> float:
        """0 where a call may go on, else the seconds until it may."""
        level, at = self.known.pop(who, (BURST, now))
        level = min(BURST, level + max(0.0, now - at) * RATE)
        wait = 0.0 if level >= 1 else (1 - level) / RATE
        self.known[who] = (level - cost if not wait else level), max(at, now)
        if len(self.known) > MAX_KNOWN:
            self.known.popitem(last=False)
        return wait
