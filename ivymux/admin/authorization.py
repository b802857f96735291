"""Roles, preconditions and rate limits of the administration API.  Pure; times are passed in, in seconds."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

MAX_CALLERS = 4096  # whose token buckets are kept
CALLS_PER_S, BURST_CALLS = 20.0, 60.0  # for each key, and for each client address
FAILED_CALL_COST = 10.0  # in calls, of a call without a valid key
OPERATOR_PARTS = frozenset(("hosts", "limits", "suspended"))  # parts that only an operator may change
SEPARATE_PARTS = frozenset(("keys", "routes", "inventory"))  # parts that have their own resources in the API


class ApiError(Exception):
    """An error that is answered with problem details (RFC 9457)."""

    def __init__(self, status: int, detail: str, headers: dict[str, str] | None = None, **more: Any) -> None:
        self.status, self.detail, self.headers, self.more = status, detail, headers or {}, more
        super().__init__(detail)


@dataclass(frozen=True, slots=True)
class Principal:
    """The owner of the key of a call; `uid` is the tenant's, or empty for an operator."""

    id: str
    name: str
    uid: str

    @property
    def is_operator(self) -> bool:
        return not self.uid

    def may_see(self, uid: str) -> bool:
        """Whether the principal may read the tenant with this uid."""
        return self.is_operator or self.uid == uid


def checked_patch(principal: Principal, patch: object) -> dict[str, Any]:
    """Return a merge patch of a tenant if the principal may apply it.  Raises ApiError."""
    if not isinstance(patch, dict):
        raise ApiError(422, "a merge patch is a JSON object")
    if forbidden := sorted(SEPARATE_PARTS & patch.keys()):
        raise ApiError(422, f"{forbidden[0]} has a resource of its own: change it there")
    if not principal.is_operator and (forbidden := sorted(OPERATOR_PARTS & patch.keys())):
        raise ApiError(403, f"only an operator changes {forbidden[0]}")
    return patch


def etag_of(revision: int) -> str:
    """Return a revision as an entity tag."""
    return f'"{revision}"'


def parse_if_match(if_match: str | None) -> int:
    """Return the revision of an If-Match field.  Raises ApiError, with 428 if it is missing (RFC 6585, 3)."""
    if if_match is None:
        raise ApiError(428, "send If-Match with the ETag of what you have seen")
    text = if_match.strip()
    digits = text[1:-1]
    if len(text) < 3 or text[0] != '"' or text[-1] != '"' or not digits.isascii() or not digits.isdigit():
        raise ApiError(412, "If-Match is no ETag of this resource")
    return int(digits[:18])


@dataclass(slots=True)
class RateLimiter:
    """A token bucket for each caller; the least recently used ones are evicted."""

    buckets: OrderedDict[str, tuple[float, float]] = field(default_factory=OrderedDict)  # tokens, refilled at

    def consume(self, caller: str, now: float, cost: float = 1.0) -> float:
        """Use tokens for a call and return 0, or return the seconds until a call is allowed."""
        tokens, refilled_at = self.buckets.pop(caller, (BURST_CALLS, now))
        tokens = min(BURST_CALLS, tokens + max(0.0, now - refilled_at) * CALLS_PER_S)
        wait_s = 0.0 if tokens >= 1 else (1 - tokens) / CALLS_PER_S
        self.buckets[caller] = (tokens - cost if not wait_s else tokens), max(refilled_at, now)
        if len(self.buckets) > MAX_CALLERS:
            self.buckets.popitem(last=False)
        return wait_s
