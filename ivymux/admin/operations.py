"""Operations of the administration API on tenants and their parts."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import Any

import msgspec
from msgspec.structs import replace

from ivymux.admin.authorization import ApiError, Principal, checked_patch
from ivymux.admin.documents import findings_error, parse_routes, raise_errors, read_document
from ivymux.admin.model import InventoryBody, RequestContext, Result, TenantEdit
from ivymux.admin.transactions import TenantTransactions
from ivymux.desired.model import Admin, Store
from ivymux.inventory.change_policy import ChangePolicy
from ivymux.inventory.model import Inventory, InventoryError
from ivymux.membership.files import Content, parse_content
from ivymux.tenants import secret
from ivymux.tenants.merge import merge
from ivymux.tenants.model import (
    NAME,
    Finding,
    InventoryRef,
    KeyEntry,
    RoutesPart,
    Tenant,
    digest,
    public_document,
)
from ivymux.tenants.places import ANY_ADDRESS, AddressRules

MAX_ADMINS = 40  # of one tenant
MAX_OVERLAP_S = 30 * 86_400.0  # how long a replaced key may stay valid


class TenantOperations(TenantTransactions):
    """Reads and changes tenants on behalf of principals.  All operations raise ApiError."""

    def __init__(self, store: Store, address_rules: AddressRules = ANY_ADDRESS) -> None:
        super().__init__(store)
        self.address_rules = address_rules

    async def authenticate(self, key: bytes) -> Principal | None:
        """Return the owner of an administrator's key, or None for an invalid one."""
        parts = secret.split_key(key, secret.ADMIN_PREFIX)
        if parts is None:
            return None
        admin: Admin | None = await self.run(self.store.admin, parts[0])
        if not secret.is_valid_secret(admin.kept if admin else None, parts[1], time.time()) or admin is None:
            return None
        return Principal(admin.id, admin.name, admin.uid)

    # --- tenants ----------------------------------------------------------------------------------------

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
