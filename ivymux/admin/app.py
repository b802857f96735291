"""The administration API over HTTP: authentication and parsing of calls, and the application's routes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from hashlib import sha256
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from ivymux.admin.authorization import (
    FAILED_CALL_COST,
    ApiError,
    Principal,
    RateLimiter,
    etag_of,
    parse_if_match,
)
from ivymux.admin.calls import Call, Operation, parse_flag
from ivymux.admin.model import RequestContext
from ivymux.admin.openapi import openapi_document
from ivymux.admin.operations import TenantOperations
from ivymux.admin.resources import TENANT, api_operations
from ivymux.admin.responses import (
    on_failure,
    on_http_exception,
    problem_response,
    rate_limit_error,
    to_response,
)
from ivymux.admin.transactions import raise_store_problem
from ivymux.desired.model import Store, StoreError
from ivymux.tenants.places import ANY_ADDRESS, AddressRules

MAX_BODY_BYTES = 48 << 20
MAX_WATCHES = 64
WATCH_POLL_PERIOD_S = 0.2
WATCH_KEEPALIVE_S = 15.0  # between comments on an idle watch, which keep its connection open


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
