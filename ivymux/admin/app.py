"""The administration API over HTTP: resources, their OpenAPI 3.1 document, and the parsing of calls."""

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
from ivymux.admin.authorization import (
    FAILED_CALL_COST,
    ApiError,
    Principal,
    RateLimiter,
    etag_of,
    parse_if_match,
)
from ivymux.admin.operations import (
    InventoryBody,
    RequestContext,
    Result,
    TenantOperations,
    raise_store_problem,
)
from ivymux.desired.model import Store, StoreError
from ivymux.service.site import PlanPart
from ivymux.tenants.model import CustomerPart, Tenant, public_document
from ivymux.tenants.places import ANY_ADDRESS, AddressRules
from ivymux.tenants.shares import TenantLimits

MAX_BODY_BYTES = 48 << 20
DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE = 50, 200
MAX_WATCHES = 64
WATCH_POLL_PERIOD_S = 0.2
WATCH_KEEPALIVE_S = 15.0  # between comments on an idle watch, which keep its connection open
PROBLEM_MEDIA_TYPE = "application/problem+json"
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


# --- handlers ----------------------------------------------------------------------------


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


# --- reading calls ---------------------------------------------------------------------------------------


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


class Api:
    """Parses and authenticates calls, and runs their operations."""

    def __init__(self, store: Store, address_rules: AddressRules = ANY_ADDRESS) -> None:
        self.operations = TenantOperations(store, address_rules)
        self.rate_limiter = RateLimiter()
        self.watches = 0
        self.document = json.dumps(openapi_document()).encode()

    async def authenticate(self, request: Request) -> Principal:
        """Return the principal of a call.

        Raises ApiError: 401 without a valid key, 429 beyond the rate limit.
        """
        origin = request.client.host if request.client else ""
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        principal = None
        if wait_s := self.rate_limiter.consume(f"from {origin}", time.monotonic(), 0.0):
            raise rate_limit_error(wait_s)
        if scheme.lower() == "bearer" and key:
            principal = await self.operations.authenticate(key.strip().encode("latin-1", "replace"))
        if principal is None:
            self.rate_limiter.consume(f"from {origin}", time.monotonic(), FAILED_CALL_COST)
            raise ApiError(401, "send a key that counts: Authorization: Bearer KEY",
                           {"WWW-Authenticate": 'Bearer realm="ivymux administration"'})  # fmt: skip
        if wait_s := self.rate_limiter.consume(principal.id, time.monotonic()):
            raise rate_limit_error(wait_s)
        return principal

    def endpoint(self, operation: Operation) -> Callable[[Request], Awaitable[Response]]:
        """Return the endpoint that authenticates and parses a call, and runs an operation."""

        async def endpoint(request: Request) -> Response:
            try:
                principal = await self.authenticate(request)
                # A hidden or missing tenant is answered with 404 before the call is parsed.
                if "tenant" in request.path_params:
                    await self.operations.visible_tenant(principal, request.path_params["tenant"])
                call = await self.read(request, operation, principal)
                return to_response(await operation.handler(call))
            except ApiError as error:
                return problem_response(error)
            except StoreError as error:
                try:
                    raise_store_problem(error)
                except ApiError as store_problem:
                    return problem_response(store_problem)

        return endpoint

    async def read(self, request: Request, operation: Operation, principal: Principal) -> Call:
        """Parse the body, the preconditions and the options of a call.  Raises ApiError."""
        body = None
        raw = b""
        if operation.body is not None:
            expected_type = "application/merge-patch+json" if operation.merge else "application/json"
            content_type = request.headers.get("content-type", "").partition(";")[0].strip().lower()
            if content_type != expected_type and not (operation.merge and content_type == "application/json"):
                raise ApiError(415, f"send {expected_type}")
            raw = await self.body(request)
            try:
                body = json.loads(raw, parse_constant=reject_constant)
            except (ValueError, RecursionError):
                raise ApiError(400, "the body is no JSON") from None
        origin = request.client.host if request.client else ""
        expected_revision = parse_if_match(request.headers.get("if-match")) if operation.changes else 0
        idempotency = None
        if operation.creates:
            key = request.headers.get("idempotency-key", "")
            if not (1 <= len(key) <= 200 and key.isascii() and key.isprintable()):
                raise ApiError(400, "send an Idempotency-Key of 1 to 200 plain characters")
            scope = f"{principal.id} {request.method} {request.url.path} {key}"
            idempotency = sha256(scope.encode()).hexdigest(), sha256(raw).hexdigest()
        dry_run = parse_flag(request, "dry_run") if operation.changes or operation.creates else False
        return Call(
            self.operations,
            principal,
            request,
            body,
            RequestContext(principal, origin, expected_revision, dry_run, idempotency),
        )

    async def body(self, request: Request) -> bytes:
        """Receive a body of at most MAX_BODY_BYTES.  Raises ApiError."""
        parts, size = [], 0
        async for part in request.stream():
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise ApiError(413, f"a body has at most {MAX_BODY_BYTES >> 20} MiB")
            parts.append(part)
        return b"".join(parts)

    async def openapi(self, request: Request) -> Response:
        return Response(self.document, media_type="application/json")

    async def watch(self, request: Request) -> Response:
        """Send a tenant's revisions as server-sent events, starting with the current one."""
        try:
            principal = await self.authenticate(request)
            stored = await self.operations.visible_tenant(principal, request.path_params["tenant"])
            if self.watches >= MAX_WATCHES:
                raise ApiError(503, "too many watches", {"Retry-After": "5"})
        except ApiError as error:
            return problem_response(error)
        self.watches += 1
        return StreamingResponse(
            self.events(request, principal, stored.name, stored.uid), media_type="text/event-stream",
            headers={"Cache-Control": "no-store"},
        )  # fmt: skip

    async def events(self, request: Request, principal: Principal, name: str, uid: str) -> AsyncIterator[str]:
        """Yield a watch's events until the client leaves, its key is revoked or the tenant is deleted."""
        last, last_sent_at = 0, time.monotonic()
        try:
            while not await request.is_disconnected():
                try:
                    # A key that was revoked meanwhile receives no further events.
                    if await asyncio.to_thread(self.operations.store.admin, principal.id) is None:
                        return
                    stored = await asyncio.to_thread(self.operations.store.get, name)
                except StoreError:
                    stored = None
                    await asyncio.sleep(1.0)
                    continue
                if stored is None or stored.uid != uid:
                    yield "event: gone\ndata: {}\n\n"
                    return
                if stored.revision != last:
                    last = stored.revision
                    yield f"id: {last}\nevent: changed\ndata: {json.dumps({'etag': etag_of(last)})}\n\n"
                    last_sent_at = time.monotonic()
                elif time.monotonic() - last_sent_at > WATCH_KEEPALIVE_S:
                    yield ": alive\n\n"
                    last_sent_at = time.monotonic()
                await asyncio.sleep(max(WATCH_POLL_PERIOD_S, 10 * self.operations.store.poll_interval_s))
        finally:
            self.watches -= 1


def reject_constant(name: str) -> Any:
    """Refuse NaN and Infinity, which Python's JSON parser accepts.  Raises ValueError."""
    raise ValueError(name)


def rate_limit_error(wait_s: float) -> ApiError:
    """Return the ApiError for a call beyond the rate limit, which may be repeated after `wait_s`."""
    return ApiError(429, "too many calls", {"Retry-After": str(max(1, int(wait_s + 1)))})


TITLES = {400: "The call can't be read", 401: "No key that counts", 403: "Not allowed", 404: "Not there",
          405: "No such method here", 409: "It does not fit what is there", 412: "Changed meanwhile",
          413: "Too large", 415: "Another media type is wanted", 422: "It can't be taken",
          428: "If-Match is wanted", 429: "Too many calls", 500: "The program failed",
          503: "The store can't be used now", 507: "The store has no room"}  # fmt: skip


def problem_response(error: ApiError) -> Response:
    """Return an error as problem details (RFC 9457)."""
    title = TITLES.get(error.status, "Error")
    body = {
        "type": "about:blank",
        "title": title,
        "status": error.status,
        "detail": error.detail,
    } | error.more
    return JSONResponse(
        body, error.status, {**error.headers, "Cache-Control": "no-store"}, PROBLEM_MEDIA_TYPE
    )


def to_response(result: Result) -> Response:
    """Return the HTTP response for an operation's result."""
    headers = {"Cache-Control": "no-store"}
    if result.etag:
        headers["ETag"] = result.etag
    if result.in_effect is not None:
        headers["Ivymux-In-Effect"] = str(result.in_effect).lower()
    if result.repeated:
        headers["Idempotency-Replayed"] = "true"
    if result.status == 204 and result.in_effect is False:
        return JSONResponse({"detail": "kept, and not yet served by all front doors"}, 202, headers)
    if result.status == 204:
        return Response(status_code=204, headers=headers)
    return JSONResponse(result.body, result.status, headers)


# --- the resources -------------------------------------------------------------------------------------

OBJECT: dict[str, Any] = {"type": "object"}
TENANT = "/v1/tenants/{tenant}"
PAGED = (
    ("cursor", {"type": "string"}),
    ("limit", {"type": "integer", "minimum": 1, "maximum": MAX_PAGE_SIZE}),
)
# Statuses with which the operations may answer.
READ = (200, 401, 404, 429, 503)
LISTED = (200, 400, 401, 404, 429, 503)
CHANGED = (200, 400, 401, 403, 404, 409, 412, 413, 415, 422, 428, 429, 503, 507)
DROPPED = (200, 202, 204, 400, 401, 403, 404, 409, 412, 422, 428, 429, 503, 507)
CREATED = (200, 201, 400, 401, 403, 404, 409, 413, 415, 422, 429, 503, 507)


def schema_ref(kind: type) -> dict[str, Any]:
    """Return the JSON schema that refers to a struct's schema in the OpenAPI document."""
    return {"$ref": f"#/components/schemas/{kind.__name__}"}


def string_object(*names: str) -> dict[str, Any]:
    """Return the JSON schema of an object with these fields, all of them strings."""
    return {"type": "object", "required": list(names), "additionalProperties": False,
            "properties": {name: {"type": "string"} for name in names}}  # fmt: skip


def change_of(method: str) -> Callable[[Call], Awaitable[Result]]:
    """Return the handler for a method of TenantOperations that takes context, tenant name and body."""

    async def handle(call: Call) -> Result:
        result: Result = await getattr(call.operations, method)(call.context, call.name(), call.body)
        return result

    return handle


def member_change(method: str, body: bool = False) -> Callable[[Call], Awaitable[Result]]:
    """Return the handler for a method of TenantOperations that takes a member's name too."""

    async def handle(call: Call) -> Result:
        more = (call.body,) if body else ()
        result: Result = await getattr(call.operations, method)(
            call.context, call.name(), call.name("member"), *more
        )
        return result

    return handle


async def delete_tenant(call: Call) -> Result:
    return await call.operations.delete(call.context, call.name())


def api_operations() -> list[Operation]:
    """Return all operations of the API."""
    found = [
        Operation("GET", "/v1/tenants", "listTenants", "All tenants", list_tenants,
                  (200, 400, 401, 403, 429, 503), query=PAGED),
        Operation("POST", "/v1/tenants", "createTenant", "Make a tenant", create, CREATED,
                  {"type": "object", "required": ["name"], "properties": {"name": {"type": "string"}}},
                  creates=True),
        Operation("GET", TENANT, "getTenant", "A tenant",
                  lambda c: show(c, lambda s: {"name": s.name, **public_document(s.tenant)}), READ),
        Operation("PATCH", TENANT, "patchTenant", "Change parts of a tenant", change_of("patch"), CHANGED,
                  OBJECT, merge=True, changes=True),
        Operation("DELETE", TENANT, "deleteTenant", "Delete a tenant and all that belongs to it",
                  delete_tenant, DROPPED, changes=True),
        Operation("GET", TENANT + "/limits", "getLimits", "What it may take of a front door",
                  lambda c: show(c, lambda s: public_document(s.tenant)["limits"]), READ),
        Operation("PUT", TENANT + "/limits", "putLimits", "Other limits", put_member("limits", False),
                  CHANGED, schema_ref(TenantLimits), changes=True),
        Operation("PATCH", TENANT + "/limits", "patchLimits", "Some other limits", put_member("limits", True),
                  CHANGED, OBJECT, merge=True, changes=True),
        Operation("GET", TENANT + "/routes", "getRoutes", "The description of routes", get_routes, READ),
        Operation("PUT", TENANT + "/routes", "putRoutes", "Another description", change_of("put_routes"),
                  CHANGED, {"type": "object", "required": ["main", "files"]}, changes=True),
        Operation("GET", TENANT + "/inventory", "getInventory", "The list of workers", get_inventory, READ),
        Operation("PUT", TENANT + "/inventory", "putInventory", "Another list of workers", put_inventory,
                  CHANGED, schema_ref(InventoryBody), changes=True, query=(("confirm", {"type": "string"}),)),
        Operation("GET", TENANT + "/keys", "listKeys", "Callers' keys", list_members("keys"), LISTED,
                  query=PAGED),
        Operation("POST", TENANT + "/keys", "createKey", "Make a key; it is shown in this answer only",
                  change_of("add_key"), CREATED, string_object("customer"), creates=True),
        Operation("GET", TENANT + "/keys/{member}", "getKey", "A key", get_member("keys"), READ),
        Operation("DELETE", TENANT + "/keys/{member}", "deleteKey", "Revoke a key", member_change("drop_key"),
                  DROPPED, changes=True),
        Operation("POST", TENANT + "/keys/{member}/rotate", "rotateKey", "Another key in its place",
                  member_change("rotate_key", True), CREATED,
                  {"type": "object", "properties": {"overlap": {"type": "number"}}}, creates=True),
        Operation("GET", TENANT + "/usage", "getUsage", "What front doors tell of it", get_usage, READ),
        Operation("GET", TENANT + "/audit", "getAudit", "Who changed what", get_audit, LISTED, query=PAGED),
        Operation("GET", TENANT + "/history", "getHistory", "Its former states", get_history, LISTED,
                  query=PAGED),
        Operation("GET", TENANT + "/administrators", "listAdministrators", "Its administrators' keys",
                  list_admins, READ),
        Operation("POST", TENANT + "/administrators", "createAdministrator",
                  "Make an administrator's key; it is shown in this answer only", change_of("add_admin"),
                  CREATED, string_object("name"), creates=True),
        Operation("DELETE", TENANT + "/administrators/{member}", "deleteAdministrator", "Revoke such a key",
                  member_change("drop_admin"), DROPPED, changes=True),
    ]  # fmt: skip
    for part, kind, title in (("plans", PlanPart, "Plan"), ("customers", CustomerPart, "Customer")):
        list_path, member_path = f"{TENANT}/{part}", f"{TENANT}/{part}/{{member}}"
        created = (*CHANGED, 201)
        found += [
            Operation("GET", list_path, f"list{title}s", f"All {part}", list_members(part), LISTED,
                      query=PAGED),
            Operation("GET", member_path, f"get{title}", f"A {part[:-1]}", get_member(part), READ),
            Operation("PUT", member_path, f"put{title}", f"Make or replace a {part[:-1]}",
                      put_member(part, False), created, schema_ref(kind), changes=True),
            Operation("PATCH", member_path, f"patch{title}", f"Change parts of a {part[:-1]}",
                      put_member(part, True), CHANGED, OBJECT, merge=True, changes=True),
            Operation("DELETE", member_path, f"delete{title}", f"Take a {part[:-1]} away",
                      delete_member(part), DROPPED, changes=True),
        ]  # fmt: skip
    return found


def parameters(operation: Operation) -> list[dict[str, Any]]:
    """Return the parameters of an operation for the OpenAPI document."""
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


def openapi_document() -> dict[str, Any]:
    """Build the OpenAPI 3.1 document from the operations that are served."""
    kinds = (Tenant, PlanPart, CustomerPart, TenantLimits, InventoryBody)
    _, schemas = msgspec.json.schema_components(kinds, ref_template="#/components/schemas/{name}")
    schemas["Problem"] = {
        "type": "object", "required": ["type", "title", "status", "detail"],
        "properties": {"type": {"type": "string"}, "title": {"type": "string"},
                       "status": {"type": "integer"}, "detail": {"type": "string"}},
    }  # fmt: skip
    paths: dict[str, Any] = {}
    for operation in api_operations():
        answers: dict[str, Any] = {}
        for status in sorted(operation.answers):
            content = {}
            if status >= 400:
                content = {PROBLEM_MEDIA_TYPE: {"schema": {"$ref": "#/components/schemas/Problem"}}}
            elif status != 204:
                content = {"application/json": {"schema": OBJECT}}
            answers[str(status)] = {"description": TITLES.get(status, "Done")} | (
                {"content": content} if content else {}
            )
        entry: dict[str, Any] = {
            "operationId": operation.id, "summary": operation.summary, "parameters": parameters(operation),
            "responses": answers,
        }  # fmt: skip
        if operation.body is not None:
            kind = "application/merge-patch+json" if operation.merge else "application/json"
            entry["requestBody"] = {"required": True, "content": {kind: {"schema": operation.body}}}
        paths.setdefault(operation.path, {})[operation.method.lower()] = entry
    return {
        "openapi": "3.1.0",
        "info": {"title": "ivymux administration", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": schemas, "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"key": []}],
    }  # fmt: skip


async def on_http_exception(request: Request, error: Exception) -> Response:
    """Answer errors of the framework with problem details too."""
    assert isinstance(error, HTTPException)
    detail = "there is no such resource" if error.status_code == 404 else str(error.detail)
    return problem_response(ApiError(error.status_code, detail, dict(error.headers or {})))


async def on_failure(request: Request, error: Exception) -> Response:
    return problem_response(ApiError(500, "the program failed; its log says more"))


def application(store: Store, address_rules: AddressRules = ANY_ADDRESS) -> Starlette:
    """Return the ASGI application of one store; `address_rules` apply to tenants' workers."""
    api = Api(store, address_rules)
    by_path: dict[str, list[Operation]] = {}
    for operation in api_operations():
        by_path.setdefault(operation.path, []).append(operation)
    routes = [Route("/v1/openapi.json", api.openapi), Route(TENANT + "/watch", api.watch)]
    # One route for all methods of a path, so that a 405 lists all of them in Allow.
    for path, listed in by_path.items():
        endpoints = {o.method: api.endpoint(o) for o in listed}
        routes.append(Route(path, dispatch(endpoints), methods=list(endpoints)))
    return Starlette(routes=routes, exception_handlers={HTTPException: on_http_exception, 500: on_failure})


def dispatch(
    endpoints: dict[str, Callable[[Request], Awaitable[Response]]],
) -> Callable[[Request], Awaitable[Response]]:
    """Return the endpoint of a path, which calls the endpoint of the request's method."""

    async def endpoint(request: Request) -> Response:
        return await endpoints["GET" if request.method == "HEAD" else request.method](request)

    return endpoint
