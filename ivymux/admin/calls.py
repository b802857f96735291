"""Calls of the administration API: what a handler receives, and the parsing of query parameters."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.requests import Request

from ivymux.admin.authorization import ApiError, Principal
from ivymux.admin.model import RequestContext, Result
from ivymux.admin.operations import TenantOperations

DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE = 50, 200
Handler = Callable[["Call"], Awaitable[Result]]


@dataclass(slots=True)
class Call:
    """One parsed call."""

    operations: TenantOperations
    principal: Principal
    request: Request
    body: Any
    context: RequestContext

    def name(self, part: str = "tenant") -> str:
        """Return a path parameter: the tenant's name, or that of a `member`."""
        return str(self.request.path_params[part])


@dataclass(frozen=True, slots=True)
class Operation:
    """One method of one resource: its handler and its entry in the OpenAPI document."""

    method: str
    path: str
    id: str
    summary: str
    handler: Handler
    answers: tuple[int, ...]
    body: dict[str, Any] | None = None
    merge: bool = False  # the body is a merge patch
    changes: bool = False  # needs If-Match
    creates: bool = False  # needs Idempotency-Key
    query: tuple[tuple[str, dict[str, Any]], ...] = field(default=())


def encode_cursor(text: str) -> str:
    """Return the cursor of the page after an entry; clients don't depend on its form."""
    return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")


def parse_page(call: Call) -> tuple[str, int]:
    """Return the name after which a page starts, and its maximum length.  Raises ApiError."""
    query = call.request.query_params
    text, limit = query.get("cursor", ""), query.get("limit", str(DEFAULT_PAGE_SIZE))
    if not (limit.isascii() and limit.isdigit() and 1 <= int(limit[:9]) <= MAX_PAGE_SIZE and len(limit) < 9):
        raise ApiError(400, f"limit is a number from 1 to {MAX_PAGE_SIZE}")
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True).decode(), int(limit)
    except (binascii.Error, ValueError):
        raise ApiError(400, "cursor is none that was given out") from None


def parse_flag(request: Request, name: str) -> bool:
    """Return a query parameter that is true or false.  Raises ApiError."""
    value = request.query_params.get(name, "false")
    if value not in ("true", "false"):
        raise ApiError(400, f"{name} is true or false")
    return value == "true"
