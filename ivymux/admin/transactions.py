"""Changes of tenants: each is checked as a whole and committed in one transaction of the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from typing import Any, NoReturn

import msgspec
from msgspec.structs import replace

from ivymux.admin.authorization import ApiError, Principal, etag_of
from ivymux.admin.documents import compile_routes, raise_errors
from ivymux.admin.model import RequestContext, Result, TenantEdit
from ivymux.desired.model import (
    Change,
    HostTaken,
    RevisionConflict,
    Store,
    StoreBusy,
    StoreDamaged,
    StoredAnswer,
    StoredTenant,
    StoreError,
    StoreFull,
)
from ivymux.routes.model import CompiledDescription
from ivymux.service.compiler import DescriptionFiles
from ivymux.service.site import findings as site_findings
from ivymux.tenants.merge import differences
from ivymux.tenants.model import Finding, Tenant, check_tenant, digest, public_document, site_of

EFFECT_WAIT_S = 5.0  # how long an answer waits for the gateways to serve the change
GATEWAY_ALIVE_S = 6.0  # age of a gateway's last report from which it is not waited for


def raise_store_problem(error: StoreError) -> NoReturn:
    """Raise the ApiError for an error of the store, which has changed nothing."""
    if isinstance(error, HostTaken):
        raise ApiError(409, str(error)) from None
    if isinstance(error, StoreFull):
        raise ApiError(507, str(error)) from None
    wait = {"Retry-After": "1"} if isinstance(error, StoreBusy) else {}
    if isinstance(error, StoreDamaged):
        raise ApiError(503, "the store can't be read; its operator has to restore it") from None
    raise ApiError(503, str(error), wait) from None


class TenantTransactions:
    """Reads tenants, and commits prepared changes of them.  All methods raise ApiError."""

    def __init__(self, store: Store) -> None:
        self.store = store

    async def run(self, function: Any, *arguments: Any) -> Any:
        """Call the store in a thread."""
        try:
            return await asyncio.to_thread(function, *arguments)
        except StoreError as error:
            raise_store_problem(error)

    async def visible_tenant(self, principal: Principal, name: str) -> StoredTenant:
        """Return a tenant; 404 if it does not exist or the principal may not see it."""
        stored: StoredTenant | None = await self.run(self.store.get, name)
        if stored is None or not principal.may_see(stored.uid):
            raise ApiError(404, "there is no such tenant")
        return stored

    async def replayed_result(self, context: RequestContext) -> Result | None:
        """Return the result of an earlier creation with the same idempotency key."""
        if context.idempotency is None:
            return None
        found: StoredAnswer | None = await self.run(self.store.answer_of_repeat, context.idempotency[0])
        if found is None:
            return None
        if found.fingerprint != context.idempotency[1]:
            raise ApiError(422, "this Idempotency-Key was used for another request")
        return Result(found.status, msgspec.json.decode(found.body), found.etag, repeated=True)

    async def commit(
        self,
        context: RequestContext,
        name: str,
        before: StoredTenant | None,
        edit: TenantEdit,
        action: str,
        uid: str,
    ) -> Result:
        """Commit a change, or return its differences for a dry run."""
        old = public_document(before.tenant) if before is not None else {}
        new = public_document(edit.tenant) if edit.tenant is not None else {}
        changes = edit.changes or differences(old, new)
        if context.dry_run:
            return Result(
                200, {"dry_run": True, "changes": changes}, etag_of(before.revision) if before else ""
            )
        repeat = None
        if context.idempotency is not None:
            remembered_body = msgspec.json.encode(edit.remembered)
            repeat = (
                context.idempotency[0],
                StoredAnswer(context.idempotency[1], edit.status, remembered_body, ""),
            )
        change = Change(
            name=name, expected=context.expected, tenant=edit.tenant, uid=uid, at=time.time(),
            who=f"{context.principal.name} ({context.principal.id})", origin=context.origin, action=action,
            changes=changes, blobs=edit.blobs, add_admins=edit.add_admins, drop_admins=edit.drop_admins,
            repeat=repeat,
        )  # fmt: skip
        try:
            revision = await self.run(self.store.commit, change)
        except RevisionConflict as conflict:
            if (
                context.idempotency is not None
                and (earlier := await self.replayed_result(context)) is not None
            ):
                return earlier  # the same creation was committed concurrently
            self.raise_conflict(context, uid, conflict, before)
        in_effect = await self.wait_until_in_effect(revision)
        return Result(edit.status, edit.body, etag_of(revision) if edit.tenant is not None else "", in_effect)

    def raise_conflict(
        self, context: RequestContext, uid: str, conflict: RevisionConflict, before: StoredTenant | None
    ) -> NoReturn:
        """Raise the ApiError for a change that was not made because a concurrent one was committed first."""
        current = conflict.current
        if before is None:
            raise ApiError(409, "there is a tenant of this name")
        if current is None or current.uid != uid:
            raise ApiError(404, "there is no such tenant")
        self.raise_outdated(context, current)

    def raise_outdated(self, context: RequestContext, current: StoredTenant) -> NoReturn:
        """Raise the ApiError for a change that was based on an outdated revision."""
        raise ApiError(
            412, "it was changed meanwhile: read it again", {"ETag": etag_of(current.revision)},
            current=etag_of(current.revision), since=context.expected,
        )  # fmt: skip

    async def check_expected(self, context: RequestContext, stored: StoredTenant) -> None:
        """Raise ApiError, with the changes since, if a tenant's revision is not the expected one."""
        if context.expected != stored.revision:
            audit = await self.run(self.store.audit, stored.uid, 1 << 60, 20)
            changes = [
                {"revision": a.revision, "who": a.who, "action": a.action, "changes": a.changes}
                for a in audit if a.revision > context.expected
            ]  # fmt: skip
            raise ApiError(
                412, "it was changed meanwhile: look at what is other, and read it again",
                {"ETag": etag_of(stored.revision)}, current=etag_of(stored.revision), changed=changes,
            )  # fmt: skip

    async def wait_until_in_effect(self, revision: int) -> bool:
        """Return whether all live gateways serve a revision, after a wait of at most EFFECT_WAIT_S."""
        end = time.monotonic() + EFFECT_WAIT_S
        while True:
            try:
                reports = await asyncio.to_thread(self.store.reports)
            except StoreError:
                return False
            live = [r for r in reports if time.time() - r.at < GATEWAY_ALIVE_S]
            if all(r.revision >= revision for r in live):
                return True
            if time.monotonic() >= end:
                return False
            await asyncio.sleep(self.store.poll_interval_s)

    async def build_tenant(
        self, uid: str, tenant: Tenant, before: Tenant | None, blobs: Mapping[str, bytes]
    ) -> tuple[Tenant, dict[str, bytes], list[Finding]]:
        """Check a tenant in all its parts and compile its routes if needed.  Raises ApiError."""
        findings = check_tenant(tenant)
        raise_errors(findings)
        new_blobs: dict[str, bytes] = dict(blobs)
        if not tenant.plans:
            return tenant, new_blobs, findings
        site = site_of(tenant)
        routes, compiled = tenant.routes, None
        if routes.files:
            is_stale = before is None or not before.plans or site_of(before).options != site.options
            if is_stale or not routes.compiled or before is None or before.routes != routes:
                texts = {name: await self.read_text(uid, d, new_blobs) for name, d in routes.files.items()}
                compiled = await compile_routes(DescriptionFiles(routes.main, texts, site.options))
                data = msgspec.msgpack.encode(compiled)
                new_blobs[digest(data)] = data
                tenant = replace(tenant, routes=replace(routes, compiled=digest(data)))
            else:
                data = await self.read_text(uid, routes.compiled, new_blobs)
                compiled = msgspec.msgpack.decode(data, type=CompiledDescription)
            min_cost = min((o.cost.amount for o in compiled.operations if not o.cost.source), default=0.0)
            for plan in site.plans:
                max_cost = min(plan.burst or 1e18, plan.ceiling_burst or 1e18)
                if min_cost > max_cost:
                    path = f"/plans/{plan.name}/burst"
                    findings.append(
                        Finding("error", path, f"no request costs as little as {max_cost:g} units")
                    )
            findings += [Finding("warning", "", text) for text in site_findings(site, compiled)]
            raise_errors(findings)
        return tenant, new_blobs, findings

    async def read_text(self, uid: str, name: str, new_blobs: Mapping[str, bytes]) -> bytes:
        """Return a text by its digest, from the blobs of a change or from the store.  Raises ApiError."""
        if name in new_blobs:
            return new_blobs[name]
        data: bytes | None = await self.run(self.store.blob, name, uid)
        if data is None:
            raise ApiError(503, "a text of the tenant is not there; its operator has to restore the store")
        return data

    async def change(self, context: RequestContext, name: str, action: str, prepare_edit: Any) -> Result:
        """Change a tenant; `prepare_edit` makes a TenantEdit from its current state."""
        stored = await self.visible_tenant(context.principal, name)
        if (earlier := await self.replayed_result(context)) is not None:
            return earlier
        if context.idempotency is None:
            await self.check_expected(context, stored)
        else:
            # A creation has no If-Match, so it is made from the current state.
            context = RequestContext(
                context.principal, context.origin, stored.revision, context.dry_run, context.idempotency
            )
        edit: TenantEdit = await prepare_edit(stored.tenant)
        if edit.tenant is not None and edit.tenant is not stored.tenant:
            checked = await self.build_tenant(stored.uid, edit.tenant, stored.tenant, edit.blobs)
            edit.tenant, edit.blobs, _ = checked
        try:
            return await self.commit(context, name, stored, edit, action, stored.uid)
        except ApiError as error:
            if error.status == 412 and context.idempotency is not None:
                # A concurrent change was committed first: make the creation from the new state.
                return await self.change(context, name, action, prepare_edit)
            raise
