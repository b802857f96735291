"""The administration API over HTTP: resources, their description (OpenAPI 3.1), and how calls are read."""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ivymux import __version__
from ivymux.admin.authorization import FAILED_COST, ApiError, Pace, Principal, expected, tag
from ivymux.admin.operations import Desk, Done, InventoryBody, Terms, store_problem
from ivymux.desired.model import Store, StoreError
from ivymux.service.site import PlanPart
from ivymux.tenants.model import CustomerPart, Tenant, public_document
from ivymux.tenants.places import ANY_ADDRESS, AddressRules
from ivymux.tenants.shares import TenantLimits

MAX_BODY = 48 << 20
PAGE, MAX_PAGE = 50, 200
MAX_WATCHES = 64
WATCH_LOOK = 0.2  # seconds between a watch's looks
WATCH_ALIVE = 15.0  # seconds between its signs of life
PROBLEM = "application/problem+json"
Work = Callable[["Call"], Awaitable[Done]]


@dataclass(slots=True)
class Call:
    """One call, read."""

    desk: Desk
    principal: Principal
    request: Request
    body: Any
    terms: Terms

    def name(self, part: str = "tenant") -> str:
        return str(self.request.path_params[part])


@dataclass(frozen=True, slots=True)
class Operation:
    """One verb at one resource: how it is done, and what its description says."""

    method: str
    path: str
    id: str
    summary: str
    work: Work
    answers: tuple[int, ...]
    body: dict[str, Any] | None = None
    merge: bool = False  # the body is a merge patch
    changes: bool = False  # needs If-Match
    creates: bool = False  # needs Idempotency-Key
    query: tuple[tuple[str, dict[str, Any]], ...] = field(default=())


# --- what the operations do ----------------------------------------------------------------------------


def member(stored: Any, part: str, name: str) -> Any:
    members = public_document(stored.tenant)[part]
    if name not in members:
        raise ApiError(404, f"there is no such {part[:-1]}")
    return members[name]


async def seen(call: Call, value: Callable[[Any], Any]) -> Done:
    stored = await call.desk.seen(call.principal, call.name())
    return Done(200, value(stored), tag(stored.revision))


async def list_tenants(call: Call) -> Done:
    after, limit = page_of(call)
    if call.principal.operator:
        found = await call.desk.call(call.desk.store.page, after, limit + 1)
    else:
        raise ApiError(403, "only an operator lists tenants")
    items = [{"name": s.name, "etag": tag(s.revision), "hosts": s.tenant.hosts} for s in found[:limit]]
    return Done(200, {"items": items, "next": cursor(found[limit - 1].name) if len(found) > limit else None})


def members_of(part: str) -> Work:
    async def work(call: Call) -> Done:
        after, limit = page_of(call)
        stored = await call.desk.seen(call.principal, call.name())
        members = public_document(stored.tenant)[part]
        names = [name for name in sorted(members) if name > after]
        items = [{"name": name, **members[name]} for name in names[:limit]]
        following = cursor(names[limit - 1]) if len(names) > limit else None
        return Done(200, {"items": items, "next": following}, tag(stored.revision))

    return work


def put_member(part: str, merged: bool) -> Work:
    async def work(call: Call) -> Done:
        if not isinstance(call.body, dict):
            raise ApiError(422, "send a JSON object")
        name = call.name("member") if part != "limits" else ""
        return await call.desk.part(call.terms, call.name(), part, name, call.body, merged)

    return work


def drop_member(part: str) -> Work:
    async def work(call: Call) -> Done:
        return await call.desk.part(call.terms, call.name(), part, call.name("member"), None, False)

    return work


def get_member(part: str) -> Work:
    async def work(call: Call) -> Done:
        return await seen(call, lambda stored: member(stored, part, call.name("member")))

    return work


async def get_routes(call: Call) -> Done:
    stored = await call.desk.seen(call.principal, call.name())
    routes = stored.tenant.routes
    files = {}
    for name, digest in routes.files.items():
        files[name] = (await call.desk.text(stored.uid, digest, {})).decode("utf-8", "replace")
    return Done(200, {"main": routes.main, "files": files, "base": routes.base}, tag(stored.revision))


async def get_inventory(call: Call) -> Done:
    stored = await call.desk.seen(call.principal, call.name())
    kept = stored.tenant.inventory
    text = (
        (await call.desk.text(stored.uid, kept.digest, {})).decode("utf-8", "replace") if kept.digest else ""
    )
    return Done(200, {"form": kept.form, "text": text}, tag(stored.revision))


async def put_inventory(call: Call) -> Done:
    confirm = call.request.query_params.get("confirm", "")
    return await call.desk.put_inventory(call.terms, call.name(), call.body, confirm)


async def get_usage(call: Call) -> Done:
    stored = await call.desk.seen(call.principal, call.name())
    doors = []
    for report in await call.desk.call(call.desk.store.reports):
        if stored.uid in report.usage:
            problem = report.problems.get(stored.uid)
            effect = report.revision >= stored.revision
            told = {"door": report.door, "at": report.at, "in_effect": effect, "problem": problem}
            doors.append(told | report.usage[stored.uid])
    total = {name: sum(d[name] for d in doors) for name in ("served", "refused", "open")}
    return Done(200, {"doors": doors, "total": total})


async def get_audit(call: Call) -> Done:
    stored = await call.desk.seen(call.principal, call.name())
    after, limit = page_of(call)
    before = int(after) if after.isascii() and after.isdigit() else 1 << 60
    found = await call.desk.call(call.desk.store.audit, stored.uid, before, limit + 1)
    items = [msgspec.to_builtins(a) for a in found[:limit]]
    for item in items:
        del item["uid"]
    following = cursor(str(found[limit - 1].revision)) if len(found) > limit else None
    return Done(200, {"items": items, "next": following})


async def get_history(call: Call) -> Done:
    stored = await call.desk.seen(call.principal, call.name())
    _, limit = page_of(call)
    found = await call.desk.call(call.desk.store.history, stored.uid, limit)
    return Done(
        200, {"items": [{"revision": s.revision, "tenant": public_document(s.tenant)} for s in found]}
    )


async def list_admins(call: Call) -> Done:
    stored = await call.desk.seen(call.principal, call.name())
    found = await call.desk.call(call.desk.store.admins, stored.uid)
    items = [{"id": a.id, "name": a.name, "made": a.kept.made} for a in found]
    return Done(200, {"items": items, "next": None}, tag(stored.revision))


async def create(call: Call) -> Done:
    return await call.desk.create(call.terms, call.body)


# --- reading calls ---------------------------------------------------------------------------------------


def cursor(text: str) -> str:
    return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")


def page_of(call: Call) -> tuple[str, int]:
    """Where a page begins and how long it is.  Raises ApiError."""
    query = call.request.query_params
    text, limit = query.get("cursor", ""), query.get("limit", str(PAGE))
    if not (limit.isascii() and limit.isdigit() and 1 <= int(limit[:9]) <= MAX_PAGE and len(limit) < 9):
        raise ApiError(400, f"limit is a number from 1 to {MAX_PAGE}")
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True).decode(), int(limit)
    except (binascii.Error, ValueError):
        raise ApiError(400, "cursor is none that was given out") from None


def truth(request: Request, name: str) -> bool:
    value = request.query_params.get(name, "false")
    if value not in ("true", "false"):
        raise ApiError(400, f"{name} is true or false")
    return value == "true"


class Api:
    def __init__(self, store: Store, address_rules: AddressRules = ANY_ADDRESS) -> None:
        self.desk = Desk(store, address_rules)
        self.pace = Pace()
        self.watches = 0
        self.document = json.dumps(description()).encode()

    async def principal(self, request: Request) -> Principal:
        """Raises ApiError: 401 without a key that counts, 429 for who calls too often."""
        origin = request.client.host if request.client else ""
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        known = None
        if wait := self.pace.ask(f"from {origin}", time.monotonic(), 0.0):
            raise too_often(wait)
        if scheme.lower() == "bearer" and key:
            known = await self.desk.principal(key.strip().encode("latin-1", "replace"))
        if known is None:
            self.pace.ask(f"from {origin}", time.monotonic(), FAILED_COST)
            raise ApiError(401, "send a key that counts: Authorization: Bearer KEY",
                           {"WWW-Authenticate": 'Bearer realm="ivymux administration"'})  # fmt: skip
        if wait := self.pace.ask(known.id, time.monotonic()):
            raise too_often(wait)
        return known

    def endpoint(self, operation: Operation) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            try:
                principal = await self.principal(request)
                # Whether a tenant is there is told before anything of the call is looked at.
                if "tenant" in request.path_params:
                    await self.desk.seen(principal, request.path_params["tenant"])
                call = await self.read(request, operation, principal)
                return written(await operation.work(call))
            except ApiError as error:
                return problem(error)
            except StoreError as error:
                try:
                    store_problem(error)
                except ApiError as told:
                    return problem(told)

        return endpoint

    async def read(self, request: Request, operation: Operation, principal: Principal) -> Call:
        body = None
        raw = b""
        if operation.body is not None:
            wanted = "application/merge-patch+json" if operation.merge else "application/json"
            kind = request.headers.get("content-type", "").partition(";")[0].strip().lower()
            if kind != wanted and not (operation.merge and kind == "application/json"):
                raise ApiError(415, f"send {wanted}")
            raw = await self.body(request)
            try:
                body = json.loads(raw, parse_constant=no_constant)
            except (ValueError, RecursionError):
                raise ApiError(400, "the body is no JSON") from None
        origin = request.client.host if request.client else ""
        match = expected(request.headers.get("if-match")) if operation.changes else 0
        repeat = None
        if operation.creates:
            key = request.headers.get("idempotency-key", "")
            if not (1 <= len(key) <= 200 and key.isascii() and key.isprintable()):
                raise ApiError(400, "send an Idempotency-Key of 1 to 200 plain characters")
            scope = f"{principal.id} {request.method} {request.url.path} {key}"
            repeat = sha256(scope.encode()).hexdigest(), sha256(raw).hexdigest()
        dry = truth(request, "dry_run") if operation.changes or operation.creates else False
        return Call(self.desk, principal, request, body, Terms(principal, origin, match, dry, repeat))

    async def body(self, request: Request) -> bytes:
        parts, size = [], 0
        async for part in request.stream():
            size += len(part)
            if size > MAX_BODY:
                raise ApiError(413, f"a body has at most {MAX_BODY >> 20} MiB")
            parts.append(part)
        return b"".join(parts)

    async def openapi(self, request: Request) -> Response:
        return Response(self.document, media_type="application/json")

    async def watch(self, request: Request) -> Response:
        """A tenant's revisions as server-sent events, beginning with the one that counts now."""
        try:
            principal = await self.principal(request)
            stored = await self.desk.seen(principal, request.path_params["tenant"])
            if self.watches >= MAX_WATCHES:
                raise ApiError(503, "too many watches", {"Retry-After": "5"})
        except ApiError as error:
            return problem(error)
        self.watches += 1
        return StreamingResponse(
            self.events(request, principal, stored.name, stored.uid), media_type="text/event-stream",
            headers={"Cache-Control": "no-store"},
        )  # fmt: skip

    async def events(self, request: Request, principal: Principal, name: str, uid: str) -> AsyncIterator[str]:
        last, alive = 0, time.monotonic()
        try:
            while not await request.is_disconnected():
                try:
                    # A key that was revoked meanwhile sees nothing more.
                    if await asyncio.to_thread(self.desk.store.admin, principal.id) is None:
                        return
                    stored = await asyncio.to_thread(self.desk.store.get, name)
                except StoreError:
                    stored = None
                    await asyncio.sleep(1.0)
                    continue
                if stored is None or stored.uid != uid:
                    yield "event: gone\ndata: {}\n\n"
                    return
                if stored.revision != last:
                    last = stored.revision
                    yield f"id: {last}\nevent: changed\ndata: {json.dumps({'etag': tag(last)})}\n\n"
                    alive = time.monotonic()
                elif time.monotonic() - alive > WATCH_ALIVE:
                    yield ": alive\n\n"
                    alive = time.monotonic()
                await asyncio.sleep(max(WATCH_LOOK, 10 * self.desk.store.poll_interval_s))
        finally:
            self.watches -= 1


def no_constant(name: str) -> Any:
    raise ValueError(name)


def too_often(wait: float) -> ApiError:
    return ApiError(429, "too many calls", {"Retry-After": str(max(1, int(wait + 1)))})


TITLES = {400: "The call can't be read", 401: "No key that counts", 403: "Not allowed", 404: "Not there",
          405: "No such method here", 409: "It does not fit what is there", 412: "Changed meanwhile",
          413: "Too large", 415: "Another media type is wanted", 422: "It can't be taken",
          428: "If-Match is wanted", 429: "Too many calls", 500: "The program failed",
          503: "The store can't be used now", 507: "The store has no room"}  # fmt: skip


def problem(error: ApiError) -> Response:
    title = TITLES.get(error.status, "Error")
    body = {
        "type": "about:blank",
        "title": title,
        "status": error.status,
        "detail": error.detail,
    } | error.more
    return JSONResponse(body, error.status, {**error.headers, "Cache-Control": "no-store"}, PROBLEM)


def written(done: Done) -> Response:
    headers = {"Cache-Control": "no-store"}
    if done.etag:
        headers["ETag"] = done.etag
    if done.in_effect is not None:
        headers["Ivymux-In-Effect"] = str(done.in_effect).lower()
    if done.repeated:
        headers["Idempotency-Replayed"] = "true"
    if done.status == 204 and done.in_effect is False:
        return JSONResponse({"detail": "kept, and not yet served by all front doors"}, 202, headers)
    if done.status == 204:
        return Response(status_code=204, headers=headers)
    return JSONResponse(done.body, done.status, headers)


# --- the resources -------------------------------------------------------------------------------------

OBJECT: dict[str, Any] = {"type": "object"}
ONE = "/v1/tenants/{tenant}"
PAGED = (("cursor", {"type": "string"}), ("limit", {"type": "integer", "minimum": 1, "maximum": MAX_PAGE}))
READ = (200, 401, 404, 429, 503)
LISTED = (200, 400, 401, 404, 429, 503)
CHANGED = (200, 400, 401, 403, 404, 409, 412, 413, 415, 422, 428, 429, 503, 507)
DROPPED = (200, 202, 204, 400, 401, 403, 404, 409, 412, 422, 428, 429, 503, 507)
CREATED = (200, 201, 400, 401, 403, 404, 409, 413, 415, 422, 429, 503, 507)


def ref(kind: type) -> dict[str, Any]:
    return {"$ref": f"#/components/schemas/{kind.__name__}"}


def with_name(*names: str) -> dict[str, Any]:
    return {"type": "object", "required": list(names), "additionalProperties": False,
            "properties": {name: {"type": "string"} for name in names}}  # fmt: skip


def change_of(method: str) -> Callable[[Call], Awaitable[Done]]:
    """A change of one tenant that takes the call's terms, the tenant's name and the body."""

    async def work(call: Call) -> Done:
        done: Done = await getattr(call.desk, method)(call.terms, call.name(), call.body)
        return done

    return work


def member_change(method: str, body: bool = False) -> Callable[[Call], Awaitable[Done]]:
    async def work(call: Call) -> Done:
        more = (call.body,) if body else ()
        done: Done = await getattr(call.desk, method)(call.terms, call.name(), call.name("member"), *more)
        return done

    return work


async def delete_tenant(call: Call) -> Done:
    return await call.desk.delete(call.terms, call.name())


def operations() -> list[Operation]:
    found = [
        Operation("GET", "/v1/tenants", "listTenants", "All tenants", list_tenants,
                  (200, 400, 401, 403, 429, 503), query=PAGED),
        Operation("POST", "/v1/tenants", "createTenant", "Make a tenant", create, CREATED,
                  {"type": "object", "required": ["name"], "properties": {"name": {"type": "string"}}},
                  creates=True),
        Operation("GET", ONE, "getTenant", "A tenant",
                  lambda c: seen(c, lambda s: {"name": s.name, **public_document(s.tenant)}), READ),
        Operation("PATCH", ONE, "patchTenant", "Change parts of a tenant", change_of("patch"), CHANGED,
                  OBJECT, merge=True, changes=True),
        Operation("DELETE", ONE, "deleteTenant", "Delete a tenant and all that belongs to it",
                  delete_tenant, DROPPED, changes=True),
        Operation("GET", ONE + "/limits", "getLimits", "What it may take of a front door",
                  lambda c: seen(c, lambda s: public_document(s.tenant)["limits"]), READ),
        Operation("PUT", ONE + "/limits", "putLimits", "Other limits", put_member("limits", False), CHANGED,
                  ref(TenantLimits), changes=True),
        Operation("PATCH", ONE + "/limits", "patchLimits", "Some other limits", put_member("limits", True),
                  CHANGED, OBJECT, merge=True, changes=True),
        Operation("GET", ONE + "/routes", "getRoutes", "The description of routes", get_routes, READ),
        Operation("PUT", ONE + "/routes", "putRoutes", "Another description", change_of("put_routes"),
                  CHANGED, {"type": "object", "required": ["main", "files"]}, changes=True),
        Operation("GET", ONE + "/inventory", "getInventory", "The list of workers", get_inventory, READ),
        Operation("PUT", ONE + "/inventory", "putInventory", "Another list of workers", put_inventory,
                  CHANGED, ref(InventoryBody), changes=True, query=(("confirm", {"type": "string"}),)),
        Operation("GET", ONE + "/keys", "listKeys", "Callers' keys", members_of("keys"), LISTED, query=PAGED),
        Operation("POST", ONE + "/keys", "createKey", "Make a key; it is shown in this answer only",
                  change_of("add_key"), CREATED, with_name("customer"), creates=True),
        Operation("GET", ONE + "/keys/{member}", "getKey", "A key", get_member("keys"), READ),
        Operation("DELETE", ONE + "/keys/{member}", "deleteKey", "Revoke a key", member_change("drop_key"),
                  DROPPED, changes=True),
        Operation("POST", ONE + "/keys/{member}/rotate", "rotateKey", "Another key in its place",
                  member_change("rotate_key", True), CREATED,
                  {"type": "object", "properties": {"overlap": {"type": "number"}}}, creates=True),
        Operation("GET", ONE + "/usage", "getUsage", "What front doors tell of it", get_usage, READ),
        Operation("GET", ONE + "/audit", "getAudit", "Who changed what", get_audit, LISTED, query=PAGED),
        Operation("GET", ONE + "/history", "getHistory", "Its former states", get_history, LISTED,
                  query=PAGED),
        Operation("GET", ONE + "/administrators", "listAdministrators", "Its administrators' keys",
                  list_admins, READ),
        Operation("POST", ONE + "/administrators", "createAdministrator",
                  "Make an administrator's key; it is shown in this answer only", change_of("add_admin"),
                  CREATED, with_name("name"), creates=True),
        Operation("DELETE", ONE + "/administrators/{member}", "deleteAdministrator", "Revoke such a key",
                  member_change("drop_admin"), DROPPED, changes=True),
    ]  # fmt: skip
    for part, kind, title in (("plans", PlanPart, "Plan"), ("customers", CustomerPart, "Customer")):
        at, one = f"{ONE}/{part}", f"{ONE}/{part}/{{member}}"
        created = (*CHANGED, 201)
        found += [
            Operation("GET", at, f"list{title}s", f"All {part}", members_of(part), LISTED, query=PAGED),
            Operation("GET", one, f"get{title}", f"A {part[:-1]}", get_member(part), READ),
            Operation("PUT", one, f"put{title}", f"Make or replace a {part[:-1]}", put_member(part, False),
                      created, ref(kind), changes=True),
            Operation("PATCH", one, f"patch{title}", f"Change parts of a {part[:-1]}",
                      put_member(part, True), CHANGED, OBJECT, merge=True, changes=True),
            Operation("DELETE", one, f"delete{title}", f"Take a {part[:-1]} away", drop_member(part), DROPPED,
                      changes=True),
        ]  # fmt: skip
    return found


def parameters(operation: Operation) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    for name in ("tenant", "member"):
        if f"{{{name}}}" in operation.path:
            found.append({"name": name, "in": "path", "required": True, "schema": {"type": "string"}})
    if operation.changes:
        found.append({"name": "If-Match", "in": "header", "required": True, "schema": {"type": "string"}})
    if operation.creates:
        schema: dict[str, Any] = {"type": "string", "maxLength": 200, "pattern": "^[!-~]+$"}
        found.append({"name": "Idempotency-Key", "in": "header", "required": True, "schema": schema})
    if operation.changes or operation.creates:
        found.append({"name": "dry_run", "in": "query", "schema": {"type": "boolean"}})
    return found + [{"name": name, "in": "query", "schema": schema} for name, schema in operation.query]


def description() -> dict[str, Any]:
    """The API's own OpenAPI 3.1 document, made from the operations that are served."""
    kinds = (Tenant, PlanPart, CustomerPart, TenantLimits, InventoryBody)
    _, schemas = msgspec.json.schema_components(kinds, ref_template="#/components/schemas/{name}")
    schemas["Problem"] = {
        "type": "object", "required": ["type", "title", "status", "detail"],
        "properties": {"type": {"type": "string"}, "title": {"type": "string"},
                       "status": {"type": "integer"}, "detail": {"type": "string"}},
    }  # fmt: skip
    paths: dict[str, Any] = {}
    for operation in operations():
        answers: dict[str, Any] = {}
        for status in sorted(operation.answers):
            content = {}
            if status >= 400:
                content = {PROBLEM: {"schema": {"$ref": "#/components/schemas/Problem"}}}
            elif status != 204:
                content = {"application/json": {"schema": OBJECT}}
            answers[str(status)] = {"description": TITLES.get(status, "Done")} | (
                {"content": content} if content else {}
            )
        made: dict[str, Any] = {
            "operationId": operation.id, "summary": operation.summary, "parameters": parameters(operation),
            "responses": answers,
        }  # fmt: skip
        if operation.body is not None:
            kind = "application/merge-patch+json" if operation.merge else "application/json"
            made["requestBody"] = {"required": True, "content": {kind: {"schema": operation.body}}}
        paths.setdefault(operation.path, {})[operation.method.lower()] = made
    return {
        "openapi": "3.1.0",
        "info": {"title": "ivymux administration", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": schemas, "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"key": []}],
    }  # fmt: skip


async def not_served(request: Request, error: Exception) -> Response:
    """What the framework itself refuses, as a problem too."""
    assert isinstance(error, HTTPException)
    detail = "there is no such resource" if error.status_code == 404 else str(error.detail)
    return problem(ApiError(error.status_code, detail, dict(error.headers or {})))


async def failed(request: Request, error: Exception) -> Response:
    return problem(ApiError(500, "the program failed; its log says more"))


def application(store: Store, address_rules: AddressRules = ANY_ADDRESS) -> Starlette:
    """The API of one store, for an ASGI server; `address_rules`: where tenants' workers may be."""
    api = Api(store, address_rules)
    by_path: dict[str, list[Operation]] = {}
    for operation in operations():
        by_path.setdefault(operation.path, []).append(operation)
    routes = [Route("/v1/openapi.json", api.openapi), Route(ONE + "/watch", api.watch)]
    # Verbs of one path stand together: a verb that none has gets 405 with all that there are.
    for path, listed in by_path.items():
        verbs = {o.method: api.endpoint(o) for o in listed}
        routes.append(Route(path, chosen(verbs), methods=list(verbs)))
    return Starlette(routes=routes, exception_handlers={HTTPException: not_served, 500: failed})


def chosen(
    verbs: dict[str, Callable[[Request], Awaitable[Response]]],
) -> Callable[[Request], Awaitable[Response]]:
    async def endpoint(request: Request) -> Response:
        return await verbs["GET" if request.method == "HEAD" else request.method](request)

    return endpoint
