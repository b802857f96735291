"""Handlers of the administration API: each runs one operation and returns its result."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ivymux.admin.authorization import ApiError, etag_of
from ivymux.admin.calls import Call, Handler, encode_cursor, parse_page
from ivymux.admin.model import Result
from ivymux.tenants.model import public_document


def find_member(stored: Any, part: str, name: str) -> Any:
    """Return a plan, customer or key by its name.  Raises ApiError."""
    members = public_document(stored.tenant)[part]
    if name not in members:
        raise ApiError(404, f"there is no such {part[:-1]}")
    return members[name]


async def show(call: Call, value: Callable[[Any], Any]) -> Result:
    """Answer with a value of the call's tenant."""
    stored = await call.operations.visible_tenant(call.principal, call.name())
    return Result(200, value(stored), etag_of(stored.revision))


async def list_tenants(call: Call) -> Result:
    after, limit = parse_page(call)
    if call.principal.is_operator:
        found = await call.operations.run(call.operations.store.page, after, limit + 1)
    else:
        raise ApiError(403, "only an operator lists tenants")
    items = [{"name": s.name, "etag": etag_of(s.revision), "hosts": s.tenant.hosts} for s in found[:limit]]
    return Result(
        200, {"items": items, "next": encode_cursor(found[limit - 1].name) if len(found) > limit else None}
    )


def list_members(part: str) -> Handler:
    """Return the handler that lists a tenant's plans, customers or keys by pages."""

    async def handle(call: Call) -> Result:
        after, limit = parse_page(call)
        stored = await call.operations.visible_tenant(call.principal, call.name())
        members = public_document(stored.tenant)[part]
        names = [name for name in sorted(members) if name > after]
        items = [{"name": name, **members[name]} for name in names[:limit]]
        following = encode_cursor(names[limit - 1]) if len(names) > limit else None
        return Result(200, {"items": items, "next": following}, etag_of(stored.revision))

    return handle


def put_member(part: str, merged: bool) -> Handler:
    """Return the handler that replaces a plan, a customer or the limits, or merges a patch into it."""

    async def handle(call: Call) -> Result:
        if not isinstance(call.body, dict):
            raise ApiError(422, "send a JSON object")
        name = call.name("member") if part != "limits" else ""
        return await call.operations.change_part(call.context, call.name(), part, name, call.body, merged)

    return handle


def delete_member(part: str) -> Handler:
    """Return the handler that deletes a plan or a customer."""

    async def handle(call: Call) -> Result:
        return await call.operations.change_part(
            call.context, call.name(), part, call.name("member"), None, False
        )

    return handle


def get_member(part: str) -> Handler:
    """Return the handler that shows a plan, a customer or a key."""

    async def handle(call: Call) -> Result:
        return await show(call, lambda stored: find_member(stored, part, call.name("member")))

    return handle


async def get_routes(call: Call) -> Result:
    stored = await call.operations.visible_tenant(call.principal, call.name())
    routes = stored.tenant.routes
    files = {}
    for name, digest in routes.files.items():
        files[name] = (await call.operations.read_text(stored.uid, digest, {})).decode("utf-8", "replace")
    return Result(200, {"main": routes.main, "files": files, "base": routes.base}, etag_of(stored.revision))


async def get_inventory(call: Call) -> Result:
    stored = await call.operations.visible_tenant(call.principal, call.name())
    inventory = stored.tenant.inventory
    text = (
        (await call.operations.read_text(stored.uid, inventory.digest, {})).decode("utf-8", "replace")
        if inventory.digest
        else ""
    )
    return Result(200, {"form": inventory.form, "text": text}, etag_of(stored.revision))


async def put_inventory(call: Call) -> Result:
    confirm = call.request.query_params.get("confirm", "")
    return await call.operations.put_inventory(call.context, call.name(), call.body, confirm)


async def get_usage(call: Call) -> Result:
    stored = await call.operations.visible_tenant(call.principal, call.name())
    gateways = []
    for report in await call.operations.run(call.operations.store.reports):
        if stored.uid in report.usage:
            problem = report.problems.get(stored.uid)
            in_effect = report.revision >= stored.revision
            entry = {
                "door": report.door,
                "at": report.at,
                "in_effect": in_effect,
                "problem": problem,
            }
            gateways.append(entry | report.usage[stored.uid])
    total = {name: sum(d[name] for d in gateways) for name in ("served", "refused", "open")}
    return Result(200, {"doors": gateways, "total": total})


async def get_audit(call: Call) -> Result:
    stored = await call.operations.visible_tenant(call.principal, call.name())
    after, limit = parse_page(call)
    before = int(after) if after.isascii() and after.isdigit() else 1 << 60
    found = await call.operations.run(call.operations.store.audit, stored.uid, before, limit + 1)
    items = [msgspec.to_builtins(a) for a in found[:limit]]
    for item in items:
        del item["uid"]
    following = encode_cursor(str(found[limit - 1].revision)) if len(found) > limit else None
    return Result(200, {"items": items, "next": following})


async def get_history(call: Call) -> Result:
    stored = await call.operations.visible_tenant(call.principal, call.name())
    _, limit = parse_page(call)
    found = await call.operations.run(call.operations.store.history, stored.uid, limit)
    return Result(
        200, {"items": [{"revision": s.revision, "tenant": public_document(s.tenant)} for s in found]}
    )


async def list_admins(call: Call) -> Result:
    stored = await call.operations.visible_tenant(call.principal, call.name())
    found = await call.operations.run(call.operations.store.admins, stored.uid)
    items = [{"id": a.id, "name": a.name, "made": a.kept.made} for a in found]
    return Result(200, {"items": items, "next": None}, etag_of(stored.revision))


async def create(call: Call) -> Result:
    return await call.operations.create(call.context, call.body)


async def delete_tenant(call: Call) -> Result:
    return await call.operations.delete(call.context, call.name())


def change_of(method: str) -> Handler:
    """Return the handler for a method of TenantOperations that takes context, tenant name and body."""

    async def handle(call: Call) -> Result:
        result: Result = await getattr(call.operations, method)(call.context, call.name(), call.body)
        return result

    return handle


def member_change(method: str, body: bool = False) -> Handler:
    """Return the handler for a method of TenantOperations that takes a member's name too."""

    async def handle(call: Call) -> Result:
        more = (call.body,) if body else ()
        result: Result = await getattr(call.operations, method)(
            call.context, call.name(), call.name("member"), *more
        )
        return result

    return handle
