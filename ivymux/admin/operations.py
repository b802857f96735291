"""Operations of the administration API: each change is checked as a whole and made in one transaction."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Literal, NoReturn

import msgspec
from msgspec.structs import replace

from ivymux.admin.authorization import ApiError, Principal, checked_patch, etag_of
from ivymux.desired.model import (
    Admin,
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
from ivymux.inventory.change_policy import ChangePolicy
from ivymux.inventory.model import Inventory, InventoryError
from ivymux.membership.files import Content, parse_content
from ivymux.routes.model import CompiledDescription, DescriptionError
from ivymux.service.compiler import CompilerError, DescriptionFiles, compile_in_memory
from ivymux.service.site import findings as site_findings
from ivymux.tenants import secret
from ivymux.tenants.merge import differences, merge
from ivymux.tenants.model import (
    NAME,
    Finding,
    InventoryRef,
    KeyEntry,
    RoutesPart,
    Tenant,
    TenantError,
    check_tenant,
    digest,
    parse_tenant,
    public_document,
    site_of,
)
from ivymux.tenants.places import ANY_ADDRESS, AddressRules

EFFECT_WAIT_S = 5.0  # how long an answer waits for the gateways to serve the change
GATEWAY_ALIVE_S = 6.0  # age of a gateway's last report from which it is not waited for
MAX_ADMINS = 40  # of one tenant
MAX_DESCRIPTION_BYTES = 32 << 20  # of all files of a description
MAX_OVERLAP_S = 30 * 86_400.0  # how long a replaced key may stay valid


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


class TenantOperations:
    """Reads and changes tenants on behalf of principals.  All operations raise ApiError."""

    def __init__(self, store: Store, address_rules: AddressRules = ANY_ADDRESS) -> None:
        self.store, self.address_rules = store, address_rules

    async def run(self, function: Any, *arguments: Any) -> Any:
        """Call the store in a thread."""
        try:
            return await asyncio.to_thread(function, *arguments)
        except StoreError as error:
            raise_store_problem(error)

    async def authenticate(self, key: bytes) -> Principal | None:
        """Return the owner of an administrator's key, or None for an invalid one."""
        parts = secret.split_key(key, secret.ADMIN_PREFIX)
        if parts is None:
            return None
        admin: Admin | None = await self.run(self.store.admin, parts[0])
        if not secret.is_valid_secret(admin.kept if admin else None, parts[1], time.time()) or admin is None:
            return None
        return Principal(admin.id, admin.name, admin.uid)

    async def visible_tenant(self, principal: Principal, name: str) -> StoredTenant:
        """Return a tenant; 404 if it does not exist or the principal may not see it."""
        stored: StoredTenant | None = await self.run(self.store.get, name)
        if stored is None or not principal.may_see(stored.uid):
            raise ApiError(404, "there is no such tenant")
        return stored

    # --- changes ---------------------------------------------------------------------------------------

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

    async def create(self, context: RequestContext, document: Any) -> Result:
        """Create a tenant from a name and any parts that a merge patch may have."""
        if not context.principal.is_operator:
            raise ApiError(403, "only an operator makes tenants")
        if not isinstance(document, dict) or not isinstance(name := document.get("name"), str):
            raise ApiError(422, "a tenant has a name")
        if not NAME.fullmatch(name):
            raise ApiError(422, "a name has 1 to 63 small letters, digits and hyphens")
        if (earlier := await self.replayed_result(context)) is not None:
            return earlier
        patch = checked_patch(context.principal, {k: v for k, v in document.items() if k != "name"})
        tenant = read_document(merge({}, patch))
        uid = secrets.token_hex(12)
        tenant, blobs, _ = await self.build_tenant(uid, tenant, None, {})
        body = {"name": name, **public_document(tenant)}
        edit = TenantEdit(tenant, body, 201, blobs, remembered=body)
        return await self.commit(context, name, None, edit, "create", uid)

    async def delete(self, context: RequestContext, name: str) -> Result:
        if not context.principal.is_operator:
            raise ApiError(403, "only an operator deletes tenants")

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            return TenantEdit(None, None, 204)

        return await self.change(context, name, "delete", prepare_edit)

    # --- parts -----------------------------------------------------------------------------------------

    async def patch(self, context: RequestContext, name: str, patch: Any) -> Result:
        """Apply a merge patch to a tenant."""
        allowed = checked_patch(context.principal, patch)

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            changed = read_document(merge(msgspec.to_builtins(tenant), allowed))
            return TenantEdit(changed, public_document(changed))

        return await self.change(context, name, "patch", prepare_edit)

    async def change_part(
        self, context: RequestContext, name: str, part: str, member: str, value: Any, merged: bool
    ) -> Result:
        """Put or merge a plan, a customer or the limits; the value None deletes a plan or a customer."""
        if part == "limits" and not context.principal.is_operator:
            raise ApiError(403, "only an operator changes limits")

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            document = msgspec.to_builtins(tenant)
            if part == "limits":
                document["limits"] = merge(document["limits"], value) if merged else value
                changed = read_document(document)
                return TenantEdit(changed, document["limits"])
            members = document[part]
            exists = member in members
            if (value is None or merged) and not exists:
                raise ApiError(404, f"there is no such {part[:-1]}")
            if value is None:
                del members[member]
            else:
                members[member] = merge(members[member], value) if merged else value
            changed = read_document(document)
            if value is None:
                return TenantEdit(changed, None, 204)
            body = msgspec.to_builtins(getattr(changed, part)[member])
            return TenantEdit(changed, body, 200 if exists else 201)

        return await self.change(context, name, f"{part} {member}".strip(), prepare_edit)

    async def add_key(self, context: RequestContext, name: str, body: Any) -> Result:
        """Create a caller's key, which is shown in this answer only."""
        customer = body.get("customer") if isinstance(body, dict) else None
        if not isinstance(customer, str) or set(body) != {"customer"}:
            raise ApiError(422, 'a key is made for a customer: send {"customer": NAME}')

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            if customer not in tenant.customers:
                raise ApiError(422, "there is no such customer")
            key_id, key, stored_key = secret.create_key(secret.CALLER_PREFIX, time.time())
            entry = KeyEntry(
                salt=stored_key.salt, hash=stored_key.hash, made=stored_key.made, customer=customer
            )
            answer = {"id": key_id, "customer": customer, "made": stored_key.made}
            return TenantEdit(replace(tenant, keys=tenant.keys | {key_id: entry}), answer | {"key": key}, 201,
                        remembered=answer)  # fmt: skip

        return await self.change(context, name, "make key", prepare_edit)

    async def rotate_key(self, context: RequestContext, name: str, key_id: str, body: Any) -> Result:
        """Create a key in place of another one, which stays valid for `overlap` seconds."""
        overlap = body.get("overlap", 86_400.0) if isinstance(body, dict) else None
        if (
            not isinstance(overlap, int | float)
            or isinstance(overlap, bool)
            or not 0 <= overlap <= MAX_OVERLAP_S
        ):
            raise ApiError(422, f"overlap is seconds, from 0 to {MAX_OVERLAP_S:g}")

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            old = tenant.keys.get(key_id)
            if old is None:
                raise ApiError(404, "there is no such key")
            now = time.time()
            new_id, key, stored_key = secret.create_key(secret.CALLER_PREFIX, now)
            ends = min(old.ends or now + overlap, now + overlap)
            entry = KeyEntry(
                salt=stored_key.salt, hash=stored_key.hash, made=stored_key.made, customer=old.customer
            )
            keys = {k: e for k, e in tenant.keys.items() if e.is_valid_at(now)}
            keys |= {key_id: replace(old, ends=ends), new_id: entry}
            answer = {"id": new_id, "customer": old.customer, "made": now, "replaces": key_id, "until": ends}
            return TenantEdit(replace(tenant, keys=keys), answer | {"key": key}, 201, remembered=answer)

        return await self.change(context, name, "rotate key", prepare_edit)

    async def drop_key(self, context: RequestContext, name: str, key_id: str) -> Result:
        """Revoke a caller's key."""

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            if key_id not in tenant.keys:
                raise ApiError(404, "there is no such key")
            return TenantEdit(
                replace(tenant, keys={k: e for k, e in tenant.keys.items() if k != key_id}), None, 204
            )

        return await self.change(context, name, "revoke key", prepare_edit)

    async def put_routes(self, context: RequestContext, name: str, body: Any) -> Result:
        """Replace a tenant's description of routes."""
        main, files, base = parse_routes(body)

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            blobs = {digest(data): data for data in files.values()}
            digests = {file: digest(data) for file, data in files.items()}
            changed = replace(tenant, routes=RoutesPart(main=main, files=digests, base=base))
            return TenantEdit(changed, {"main": main, "files": digests, "base": base}, 200, blobs)

        return await self.change(context, name, "put routes", prepare_edit)

    async def put_inventory(self, context: RequestContext, name: str, body: Any, confirm: str) -> Result:
        """Replace a tenant's list of workers; `confirm` is the code for a change that was held back."""
        try:
            given = msgspec.convert(body, InventoryBody)
        except msgspec.ValidationError as error:
            raise ApiError(422, f"an inventory is form, text and limits: {error}") from None
        data = given.text.encode()
        file = "inventory.csv" if given.form == "csv" else "inventory.yml"
        try:
            reading = await asyncio.to_thread(parse_content, Content(file, data, {}))
        except InventoryError as error:
            raise findings_error(
                [Finding(f.level, "/text", f.text, f.line) for f in error.findings]
            ) from None

        raise_errors([
            Finding("error", "/text", f"{w.name} has an address that {violation}: {w.address}")
            for w in reading.inventory.workers if (violation := self.address_rules.violation(w.host, w.port))
        ])  # fmt: skip
        stored = await self.visible_tenant(context.principal, name)

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            packed = msgspec.msgpack.encode(reading.inventory)
            ref = InventoryRef(form=given.form, digest=digest(data), parsed=digest(packed),
                               limits=tenant.inventory.limits)  # fmt: skip
            if tenant.inventory.parsed:
                before = await self.read_text(stored.uid, tenant.inventory.parsed, {})
                current = msgspec.msgpack.decode(before, type=Inventory)
                verdict = ChangePolicy(tenant.inventory.limits, current).review(reading.inventory, 0.0)
                if not verdict.passes and confirm != verdict.confirmation:
                    raise ApiError(409, "the change is held back: " + "; ".join(verdict.reasons),
                                   confirmation=verdict.confirmation, change=str(verdict.change))  # fmt: skip
            body = {"form": given.form, "workers": len(reading.inventory.workers), "digest": ref.digest}
            return TenantEdit(
                replace(tenant, inventory=ref), body, 200, {ref.digest: data, ref.parsed: packed}
            )

        return await self.change(context, name, "put inventory", prepare_edit)

    async def add_admin(self, context: RequestContext, name: str, body: Any) -> Result:
        """Create an administrator's key, which is shown in this answer only."""
        admin_name = body.get("name") if isinstance(body, dict) and len(body) == 1 else None
        if not isinstance(admin_name, str) or not 1 <= len(admin_name) <= 100 or not admin_name.isprintable():
            raise ApiError(422, 'an administrator has a name: send {"name": NAME}')
        stored = await self.visible_tenant(context.principal, name)
        if len(await self.run(self.store.admins, stored.uid)) >= MAX_ADMINS:
            raise ApiError(409, f"a tenant has at most {MAX_ADMINS} administrators: dismiss one first")

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            key_id, key, stored_key = secret.create_key(secret.ADMIN_PREFIX, time.time())
            answer = {"id": key_id, "name": admin_name, "made": stored_key.made}
            changes = [{"path": f"/administrators/{key_id}", "after": admin_name}]
            admin = Admin(key_id, admin_name, stored.uid, stored_key)
            return TenantEdit(
                tenant, answer | {"key": key}, 201, add_admins=[admin], remembered=answer, changes=changes
            )

        return await self.change(context, name, "appoint", prepare_edit)

    async def drop_admin(self, context: RequestContext, name: str, key_id: str) -> Result:
        """Revoke an administrator's key."""
        stored = await self.visible_tenant(context.principal, name)
        if key_id not in {a.id for a in await self.run(self.store.admins, stored.uid)}:
            raise ApiError(404, "there is no such administrator")

        async def prepare_edit(tenant: Tenant) -> TenantEdit:
            return TenantEdit(tenant, None, 204, drop_admins=[key_id],
                        changes=[{"path": f"/administrators/{key_id}", "before": key_id}])  # fmt: skip

        return await self.change(context, name, "dismiss", prepare_edit)


class InventoryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # The body of a PUT of an inventory; a docstring would become part of the OpenAPI document.
    text: str
    form: Literal["csv", "yaml"] = "csv"


def raise_errors(findings: list[Finding]) -> None:
    """Raise ApiError if one of the findings is an error."""
    if any(f.level == "error" for f in findings):
        raise findings_error(findings)


def findings_error(findings: list[Finding]) -> ApiError:
    """Return the ApiError that has the findings in its problem details."""
    errors = [f for f in findings if f.level == "error"]
    detail = f"{errors[0].path or 'it'}: {errors[0].text}" if errors else "it can't be taken"
    return ApiError(422, detail, findings=msgspec.to_builtins(findings[:100]))


def read_document(document: Any) -> Tenant:
    """Convert a JSON document to a tenant.  Raises ApiError."""
    try:
        return parse_tenant(document)
    except TenantError as error:
        raise findings_error(error.findings) from None


def parse_routes(body: Any) -> tuple[str, dict[str, bytes], str | None]:
    """Return the main file's name, the files by name and the base path.  Raises ApiError."""
    if not isinstance(body, dict) or set(body) - {"main", "files", "base"}:
        raise ApiError(422, "routes are main, files and base")
    files, main, base = body.get("files"), body.get("main"), body.get("base")
    if not isinstance(files, dict) or not isinstance(main, str) or main not in files or len(files) > 100:
        raise ApiError(422, "files are 1 to 100 texts or documents by name, and main is one of them")
    if base is not None and not isinstance(base, str):
        raise ApiError(422, "base is a path")
    found: dict[str, bytes] = {}
    for name, value in files.items():
        if not 1 <= len(name) <= 200 or name.startswith("/") or ".." in name.split("/"):
            raise ApiError(422, "a file's name is a path below the description's own place")
        text = value if isinstance(value, str) else json.dumps(value)
        try:
            found[name] = text.encode()
        except UnicodeEncodeError:
            raise ApiError(422, f"{name[:80]!r} is no text") from None
    if sum(map(len, found.values())) > MAX_DESCRIPTION_BYTES:
        raise ApiError(413, f"a description has at most {MAX_DESCRIPTION_BYTES >> 20} MiB")
    return main, found, base


async def compile_routes(description: DescriptionFiles) -> CompiledDescription:
    """Compile a description in a child process.  Raises ApiError with the findings."""
    try:
        return await compile_in_memory(description)
    except DescriptionError as error:
        found = [Finding("error" if f.level == "error" else "warning", f"/files/{f.file}#{f.place}", f.text)
                 for f in error.findings]  # fmt: skip
        raise findings_error(found) from None
    except CompilerError as error:
        raise ApiError(422, str(error)) from None
