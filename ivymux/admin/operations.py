"""What the administration API does: changes of tenants, each checked whole and made in one transaction."""

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

from ivymux.admin.authorization import ApiError, Principal, patchable, tag
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
from ivymux.inventory.change_policy import Judge
from ivymux.inventory.model import Inventory, InventoryError
from ivymux.membership.files import Content, parse
from ivymux.routes.model import Compiled, DescriptionError
from ivymux.service.compiler import CompilerError, Texts, compile_texts
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

EFFECT_WAIT = 5.0  # seconds that an answer waits for front doors to serve what it tells of
ALIVE = 6.0  # seconds after which a front door that tells nothing is not waited for
MAX_ADMINS = 40  # of one tenant
MAX_TEXT = 32 << 20  # bytes of all texts of a description
MAX_OVERLAP = 30 * 86_400.0  # seconds that a key may still count after another took its place


@dataclass(slots=True)
class Edit:
    """A change of one tenant that was worked out, and what is answered."""

    tenant: Tenant | None
    body: Any = None
    status: int = 200
    blobs: dict[str, bytes] = field(default_factory=dict)
    add_admins: list[Admin] = field(default_factory=list)
    drop_admins: list[str] = field(default_factory=list)
    remembered: Any = None  # what a repeat of a creation is answered with: never a secret
    changes: list[dict[str, Any]] = field(default_factory=list)


@dataclass(slots=True)
class Done:
    status: int
    body: Any
    etag: str = ""
    in_effect: bool | None = None
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Terms:
    """What a call says beside its body."""

    principal: Principal
    origin: str
    expected: int = 0
    dry_run: bool = False
    repeat: tuple[str, str] | None = None  # the idempotency key within its scope, and the body's digest


def store_problem(error: StoreError) -> NoReturn:
    """The store's trouble as an answer; nothing was changed."""
    if isinstance(error, HostTaken):
        raise ApiError(409, str(error)) from None
    if isinstance(error, StoreFull):
        raise ApiError(507, str(error)) from None
    wait = {"Retry-After": "1"} if isinstance(error, StoreBusy) else {}
    if isinstance(error, StoreDamaged):
        raise ApiError(503, "the store can't be read; its operator has to restore it") from None
    raise ApiError(503, str(error), wait) from None


class Desk:
    def __init__(self, store: Store, address_rules: AddressRules = ANY_ADDRESS) -> None:
        self.store, self.address_rules = store, address_rules

    async def call(self, function: Any, *arguments: Any) -> Any:
        try:
            return await asyncio.to_thread(function, *arguments)
        except StoreError as error:
            store_problem(error)

    async def principal(self, key: bytes) -> Principal | None:
        parts = secret.split_key(key, secret.ADMIN_PREFIX)
        if parts is None:
            return None
        admin: Admin | None = await self.call(self.store.admin, parts[0])
        if not secret.is_valid_secret(admin.kept if admin else None, parts[1], time.time()) or admin is None:
            return None
        return Principal(admin.id, admin.name, admin.uid)

    async def seen(self, principal: Principal, name: str) -> StoredTenant:
        """A tenant; 404 where there is none, or none that the principal may know of."""
        stored: StoredTenant | None = await self.call(self.store.get, name)
        if stored is None or not principal.may_see(stored.uid):
            raise ApiError(404, "there is no such tenant")
        return stored

    # --- changes ---------------------------------------------------------------------------------------

    async def repeated(self, terms: Terms) -> Done | None:
        """The answer of a creation that was made before."""
        if terms.repeat is None:
            return None
        found: StoredAnswer | None = await self.call(self.store.answer_of_repeat, terms.repeat[0])
        if found is None:
            return None
        if found.fingerprint != terms.repeat[1]:
            raise ApiError(422, "this Idempotency-Key was used for another request")
        return Done(found.status, msgspec.json.decode(found.body), found.etag, repeated=True)

    async def commit(
        self, terms: Terms, name: str, before: StoredTenant | None, edit: Edit, action: str, uid: str
    ) -> Done:
        """Make a change, or tell what it would be."""
        old = public_document(before.tenant) if before is not None else {}
        new = public_document(edit.tenant) if edit.tenant is not None else {}
        changes = edit.changes or differences(old, new)
        if terms.dry_run:
            return Done(200, {"dry_run": True, "changes": changes}, tag(before.revision) if before else "")
        repeat = None
        if terms.repeat is not None:
            kept = msgspec.json.encode(edit.remembered)
            repeat = terms.repeat[0], StoredAnswer(terms.repeat[1], edit.status, kept, "")
        change = Change(
            name=name, expected=terms.expected, tenant=edit.tenant, uid=uid, at=time.time(),
            who=f"{terms.principal.name} ({terms.principal.id})", origin=terms.origin, action=action,
            changes=changes, blobs=edit.blobs, add_admins=edit.add_admins, drop_admins=edit.drop_admins,
            repeat=repeat,
        )  # fmt: skip
        try:
            revision = await self.call(self.store.commit, change)
        except RevisionConflict as lost:
            if terms.repeat is not None and (done := await self.repeated(terms)) is not None:
                return done  # the same creation, twice at once
            self.lost(terms, uid, lost, before)
        effect = await self.effect(revision)
        return Done(edit.status, edit.body, tag(revision) if edit.tenant is not None else "", effect)

    def lost(self, terms: Terms, uid: str, lost: RevisionConflict, before: StoredTenant | None) -> NoReturn:
        """Somebody else was first: tell what is other now."""
        current = lost.current
        if before is None:
            raise ApiError(409, "there is a tenant of this name")
        if current is None or current.uid != uid:
            raise ApiError(404, "there is no such tenant")
        self.outdated(terms, current)

    def outdated(self, terms: Terms, current: StoredTenant) -> NoReturn:
        raise ApiError(
            412, "it was changed meanwhile: read it again", {"ETag": tag(current.revision)},
            current=tag(current.revision), since=terms.expected,
        )  # fmt: skip

    async def check_expected(self, terms: Terms, stored: StoredTenant) -> None:
        if terms.expected != stored.revision:
            audit = await self.call(self.store.audit, stored.uid, 1 << 60, 20)
            changes = [
                {"revision": a.revision, "who": a.who, "action": a.action, "changes": a.changes}
                for a in audit if a.revision > terms.expected
            ]  # fmt: skip
            raise ApiError(
                412, "it was changed meanwhile: look at what is other, and read it again",
                {"ETag": tag(stored.revision)}, current=tag(stored.revision), changed=changes,
            )  # fmt: skip

    async def effect(self, revision: int) -> bool:
        """Whether all front doors that are alive serve a revision; waits for it, but not for ever."""
        end = time.monotonic() + EFFECT_WAIT
        while True:
            try:
                reports = await asyncio.to_thread(self.store.reports)
            except StoreError:
                return False
            alive = [r for r in reports if time.time() - r.at < ALIVE]
            if all(r.revision >= revision for r in alive):
                return True
            if time.monotonic() >= end:
                return False
            await asyncio.sleep(self.store.poll_interval_s)

    async def whole(
        self, uid: str, tenant: Tenant, before: Tenant | None, blobs: Mapping[str, bytes]
    ) -> tuple[Tenant, dict[str, bytes], list[Finding]]:
        """A tenant checked in all its parts, with what was compiled.  Raises ApiError."""
        found = check_tenant(tenant)
        refuse(found)
        made: dict[str, bytes] = dict(blobs)
        if not tenant.plans:
            return tenant, made, found
        site = site_of(tenant)
        routes, compiled = tenant.routes, None
        if routes.files:
            stale = before is None or not before.plans or site_of(before).options != site.options
            if stale or not routes.compiled or before is None or before.routes != routes:
                texts = {name: await self.text(uid, d, made) for name, d in routes.files.items()}
                compiled = await compiled_of(Texts(routes.main, texts, site.options))
                data = msgspec.msgpack.encode(compiled)
                made[digest(data)] = data
                tenant = replace(tenant, routes=replace(routes, compiled=digest(data)))
            else:
                data = await self.text(uid, routes.compiled, made)
                compiled = msgspec.msgpack.decode(data, type=Compiled)
            least = min((o.cost.amount for o in compiled.operations if not o.cost.source), default=0.0)
            for plan in site.plans:
                most = min(plan.burst or 1e18, plan.ceiling_burst or 1e18)
                if least > most:
                    path = f"/plans/{plan.name}/burst"
                    found.append(Finding("error", path, f"no request costs as little as {most:g} units"))
            found += [Finding("warning", "", text) for text in site_findings(site, compiled)]
            refuse(found)
        return tenant, made, found

    async def text(self, uid: str, name: str, made: Mapping[str, bytes]) -> bytes:
        if name in made:
            return made[name]
        data: bytes | None = await self.call(self.store.blob, name, uid)
        if data is None:
            raise ApiError(503, "a text of the tenant is not there; its operator has to restore the store")
        return data

    async def change(self, terms: Terms, name: str, action: str, work: Any) -> Done:
        """Change a tenant by `work`, which makes an Edit of its state now."""
        stored = await self.seen(terms.principal, name)
        if (done := await self.repeated(terms)) is not None:
            return done
        if terms.repeat is None:
            await self.check_expected(terms, stored)
        else:
            # A creation is not made from a state that was seen: it adds to what there is.
            terms = Terms(terms.principal, terms.origin, stored.revision, terms.dry_run, terms.repeat)
        edit: Edit = await work(stored.tenant)
        if edit.tenant is not None and edit.tenant is not stored.tenant:
            made = await self.whole(stored.uid, edit.tenant, stored.tenant, edit.blobs)
            edit.tenant, edit.blobs, _ = made
        try:
            return await self.commit(terms, name, stored, edit, action, stored.uid)
        except ApiError as error:
            if error.status == 412 and terms.repeat is not None:
                return await self.change(terms, name, action, work)  # lost to another: add to that
            raise

    async def create(self, terms: Terms, document: Any) -> Done:
        if not terms.principal.operator:
            raise ApiError(403, "only an operator makes tenants")
        if not isinstance(document, dict) or not isinstance(name := document.get("name"), str):
            raise ApiError(422, "a tenant has a name")
        if not NAME.fullmatch(name):
            raise ApiError(422, "a name has 1 to 63 small letters, digits and hyphens")
        if (done := await self.repeated(terms)) is not None:
            return done
        patch = patchable(terms.principal, {k: v for k, v in document.items() if k != "name"})
        tenant = read_document(merge({}, patch))
        uid = secrets.token_hex(12)
        tenant, blobs, _ = await self.whole(uid, tenant, None, {})
        body = {"name": name, **public_document(tenant)}
        edit = Edit(tenant, body, 201, blobs, remembered=body)
        return await self.commit(terms, name, None, edit, "create", uid)

    async def delete(self, terms: Terms, name: str) -> Done:
        if not terms.principal.operator:
            raise ApiError(403, "only an operator deletes tenants")

        async def work(tenant: Tenant) -> Edit:
            return Edit(None, None, 204)

        return await self.change(terms, name, "delete", work)

    # --- parts -----------------------------------------------------------------------------------------

    async def patch(self, terms: Terms, name: str, patch: Any) -> Done:
        checked = patchable(terms.principal, patch)

        async def work(tenant: Tenant) -> Edit:
            made = read_document(merge(msgspec.to_builtins(tenant), checked))
            return Edit(made, public_document(made))

        return await self.change(terms, name, "patch", work)

    async def part(self, terms: Terms, name: str, part: str, member: str, value: Any, merged: bool) -> Done:
        """Put, merge or (with None) take away a plan, a customer or the limits."""
        if part == "limits" and not terms.principal.operator:
            raise ApiError(403, "only an operator changes limits")

        async def work(tenant: Tenant) -> Edit:
            document = msgspec.to_builtins(tenant)
            if part == "limits":
                document["limits"] = merge(document["limits"], value) if merged else value
                made = read_document(document)
                return Edit(made, document["limits"])
            members = document[part]
            there = member in members
            if (value is None or merged) and not there:
                raise ApiError(404, f"there is no such {part[:-1]}")
            if value is None:
                del members[member]
            else:
                members[member] = merge(members[member], value) if merged else value
            made = read_document(document)
            if value is None:
                return Edit(made, None, 204)
            body = msgspec.to_builtins(getattr(made, part)[member])
            return Edit(made, body, 200 if there else 201)

        return await self.change(terms, name, f"{part} {member}".strip(), work)

    async def add_key(self, terms: Terms, name: str, body: Any) -> Done:
        customer = body.get("customer") if isinstance(body, dict) else None
        if not isinstance(customer, str) or set(body) != {"customer"}:
            raise ApiError(422, 'a key is made for a customer: send {"customer": NAME}')

        async def work(tenant: Tenant) -> Edit:
            if customer not in tenant.customers:
                raise ApiError(422, "there is no such customer")
            number, key, kept = secret.create_key(secret.CALLER_PREFIX, time.time())
            entry = KeyEntry(salt=kept.salt, hash=kept.hash, made=kept.made, customer=customer)
            told = {"id": number, "customer": customer, "made": kept.made}
            return Edit(replace(tenant, keys=tenant.keys | {number: entry}), told | {"key": key}, 201,
                        remembered=told)  # fmt: skip

        return await self.change(terms, name, "make key", work)

    async def rotate_key(self, terms: Terms, name: str, number: str, body: Any) -> Done:
        """Another key in the place of one, which counts on for a while."""
        overlap = body.get("overlap", 86_400.0) if isinstance(body, dict) else None
        if (
            not isinstance(overlap, int | float)
            or isinstance(overlap, bool)
            or not 0 <= overlap <= MAX_OVERLAP
        ):
            raise ApiError(422, f"overlap is seconds, from 0 to {MAX_OVERLAP:g}")

        async def work(tenant: Tenant) -> Edit:
            old = tenant.keys.get(number)
            if old is None:
                raise ApiError(404, "there is no such key")
            now = time.time()
            fresh, key, kept = secret.create_key(secret.CALLER_PREFIX, now)
            ends = min(old.ends or now + overlap, now + overlap)
            entry = KeyEntry(salt=kept.salt, hash=kept.hash, made=kept.made, customer=old.customer)
            keys = {k: e for k, e in tenant.keys.items() if e.is_valid_at(now)}
            keys |= {number: replace(old, ends=ends), fresh: entry}
            told = {"id": fresh, "customer": old.customer, "made": now, "replaces": number, "until": ends}
            return Edit(replace(tenant, keys=keys), told | {"key": key}, 201, remembered=told)

        return await self.change(terms, name, "rotate key", work)

    async def drop_key(self, terms: Terms, name: str, number: str) -> Done:
        async def work(tenant: Tenant) -> Edit:
            if number not in tenant.keys:
                raise ApiError(404, "there is no such key")
            return Edit(
                replace(tenant, keys={k: e for k, e in tenant.keys.items() if k != number}), None, 204
            )

        return await self.change(terms, name, "revoke key", work)

    async def put_routes(self, terms: Terms, name: str, body: Any) -> Done:
        main, files, base = routes_of(body)

        async def work(tenant: Tenant) -> Edit:
            blobs = {digest(data): data for data in files.values()}
            named = {file: digest(data) for file, data in files.items()}
            made = replace(tenant, routes=RoutesPart(main=main, files=named, base=base))
            return Edit(made, {"main": main, "files": named, "base": base}, 200, blobs)

        return await self.change(terms, name, "put routes", work)

    async def put_inventory(self, terms: Terms, name: str, body: Any, confirm: str) -> Done:
        try:
            given = msgspec.convert(body, InventoryBody)
        except msgspec.ValidationError as error:
            raise ApiError(422, f"an inventory is form, text and limits: {error}") from None
        data = given.text.encode()
        file = "inventory.csv" if given.form == "csv" else "inventory.yml"
        try:
            reading = await asyncio.to_thread(parse, Content(file, data, {}))
        except InventoryError as error:
            raise problem_of([Finding(f.level, "/text", f.text, f.line) for f in error.findings]) from None

        refuse([
            Finding("error", "/text", f"{w.name} has an address that {wrong}: {w.address}")
            for w in reading.inventory.workers if (wrong := self.address_rules.violation(w.host, w.port))
        ])  # fmt: skip
        stored = await self.seen(terms.principal, name)

        async def work(tenant: Tenant) -> Edit:
            packed = msgspec.msgpack.encode(reading.inventory)
            ref = InventoryRef(form=given.form, digest=digest(data), parsed=digest(packed),
                               limits=tenant.inventory.limits)  # fmt: skip
            if tenant.inventory.parsed:
                before = await self.text(stored.uid, tenant.inventory.parsed, {})
                current = msgspec.msgpack.decode(before, type=Inventory)
                verdict = Judge(tenant.inventory.limits, current).look(reading.inventory, 0.0)
                if not verdict.passes and confirm != verdict.confirmation:
                    raise ApiError(409, "the change is held back: " + "; ".join(verdict.reasons),
                                   confirmation=verdict.confirmation, change=str(verdict.change))  # fmt: skip
            body = {"form": given.form, "workers": len(reading.inventory.workers), "digest": ref.digest}
            return Edit(replace(tenant, inventory=ref), body, 200, {ref.digest: data, ref.parsed: packed})

        return await self.change(terms, name, "put inventory", work)

    async def add_admin(self, terms: Terms, name: str, body: Any) -> Done:
        who = body.get("name") if isinstance(body, dict) and len(body) == 1 else None
        if not isinstance(who, str) or not 1 <= len(who) <= 100 or not who.isprintable():
            raise ApiError(422, 'an administrator has a name: send {"name": NAME}')
        stored = await self.seen(terms.principal, name)
        if len(await self.call(self.store.admins, stored.uid)) >= MAX_ADMINS:
            raise ApiError(409, f"a tenant has at most {MAX_ADMINS} administrators: dismiss one first")

        async def work(tenant: Tenant) -> Edit:
            number, key, kept = secret.create_key(secret.ADMIN_PREFIX, time.time())
            told = {"id": number, "name": who, "made": kept.made}
            changes = [{"path": f"/administrators/{number}", "after": who}]
            admin = Admin(number, who, stored.uid, kept)
            return Edit(
                tenant, told | {"key": key}, 201, add_admins=[admin], remembered=told, changes=changes
            )

        return await self.change(terms, name, "appoint", work)

    async def drop_admin(self, terms: Terms, name: str, number: str) -> Done:
        stored = await self.seen(terms.principal, name)
        if number not in {a.id for a in await self.call(self.store.admins, stored.uid)}:
            raise ApiError(404, "there is no such administrator")

        async def work(tenant: Tenant) -> Edit:
            return Edit(tenant, None, 204, drop_admins=[number],
                        changes=[{"path": f"/administrators/{number}", "before": number}])  # fmt: skip

        return await self.change(terms, name, "dismiss", work)


class InventoryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    text: str
    form: Literal["csv", "yaml"] = "csv"


def refuse(findings: list[Finding]) -> None:
    if any(f.level == "error" for f in findings):
        raise problem_of(findings)


def problem_of(findings: list[Finding]) -> ApiError:
    errors = [f for f in findings if f.level == "error"]
    detail = f"{errors[0].path or 'it'}: {errors[0].text}" if errors else "it can't be taken"
    return ApiError(422, detail, findings=msgspec.to_builtins(findings[:100]))


def read_document(document: Any) -> Tenant:
    try:
        return parse_tenant(document)
    except TenantError as error:
        raise problem_of(error.findings) from None


def routes_of(body: Any) -> tuple[str, dict[str, bytes], str | None]:
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
    if sum(map(len, found.values())) > MAX_TEXT:
        raise ApiError(413, f"a description has at most {MAX_TEXT >> 20} MiB")
    return main, found, base


async def compiled_of(texts: Texts) -> Compiled:
    try:
        return await compile_texts(texts)
    except DescriptionError as error:
        found = [Finding("error" if f.level == "error" else "warning", f"/files/{f.file}#{f.place}", f.text)
                 for f in error.findings]  # fmt: skip
        raise problem_of(found) from None
    except CompilerError as error:
        raise ApiError(422, str(error)) from None
