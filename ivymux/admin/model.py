"""What operations of the administration API take and return."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

from ivymux.admin.authorization import Principal
from ivymux.desired.model import Admin
from ivymux.tenants.model import Tenant


@dataclass(slots=True)
class TenantEdit:
    """A prepared change of one tenant with the answer to the call; `tenant` is None for a deletion."""

    tenant: Tenant | None
    body: Any = None
    status: int = 200
    blobs: dict[str, bytes] = field(default_factory=dict)
    add_admins: list[Admin] = field(default_factory=list)
    drop_admins: list[str] = field(default_factory=list)
    remembered: Any = None  # the body for a repeated creation, without secrets
    changes: list[dict[str, Any]] = field(default_factory=list)


@dataclass(slots=True)
class Result:
    """The result of an operation, from which the HTTP answer is built."""

    status: int
    body: Any
    etag: str = ""
    in_effect: bool | None = None
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class RequestContext:
    """The principal, origin and preconditions of a call."""

    principal: Principal
    origin: str
    expected: int = 0
    dry_run: bool = False
    idempotency: tuple[str, str] | None = None  # digests of the scoped key and of the body


class InventoryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # The body of a PUT of an inventory; a docstring would become part of the OpenAPI document.
    text: str
    form: Literal["csv", "yaml"] = "csv"
