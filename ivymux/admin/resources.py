"""The resources of the administration API: every operation, with what its description says of it."""

from __future__ import annotations

from typing import Any

from ivymux.admin.calls import MAX_PAGE_SIZE, Operation
from ivymux.admin.handlers import (
    change_of,
    create,
    delete_member,
    delete_tenant,
    get_audit,
    get_history,
    get_inventory,
    get_member,
    get_routes,
    get_usage,
    list_admins,
    list_members,
    list_tenants,
    member_change,
    put_inventory,
    put_member,
    show,
)
from ivymux.admin.model import InventoryBody
from ivymux.service.site import PlanPart
from ivymux.tenants.model import CustomerPart, public_document
from ivymux.tenants.shares import TenantLimits

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


def tenant_operations() -> list[Operation]:
    """Return the operations on a tenant, its limits, its routes and its inventory."""
    return [
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
    ]  # fmt: skip


def key_operations() -> list[Operation]:
    """Return the operations on callers' keys."""
    return [
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
    ]  # fmt: skip


def report_operations() -> list[Operation]:
    """Return the operations on what is known of a tenant: usage, audit, history."""
    return [
        Operation("GET", TENANT + "/usage", "getUsage", "What front doors tell of it", get_usage, READ),
        Operation("GET", TENANT + "/audit", "getAudit", "Who changed what", get_audit, LISTED, query=PAGED),
        Operation("GET", TENANT + "/history", "getHistory", "Its former states", get_history, LISTED,
                  query=PAGED),
    ]  # fmt: skip


def administrator_operations() -> list[Operation]:
    """Return the operations on administrators' keys."""
    return [
        Operation("GET", TENANT + "/administrators", "listAdministrators", "Its administrators' keys",
                  list_admins, READ),
        Operation("POST", TENANT + "/administrators", "createAdministrator",
                  "Make an administrator's key; it is shown in this answer only", change_of("add_admin"),
                  CREATED, string_object("name"), creates=True),
        Operation("DELETE", TENANT + "/administrators/{member}", "deleteAdministrator", "Revoke such a key",
                  member_change("drop_admin"), DROPPED, changes=True),
    ]  # fmt: skip


def member_operations(part: str, kind: type, title: str) -> list[Operation]:
    """Return the operations on the members of one part of a tenant.

    `kind`: the struct of a member; `title`: what the operations' ids call it.
    """
    list_path, member_path = f"{TENANT}/{part}", f"{TENANT}/{part}/{{member}}"
    created = (*CHANGED, 201)
    return [
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


def api_operations() -> list[Operation]:
    """Return all operations of the API."""
    return [
        *tenant_operations(),
        *key_operations(),
        *report_operations(),
        *administrator_operations(),
        *member_operations("plans", PlanPart, "Plan"),
        *member_operations("customers", CustomerPart, "Customer"),
    ]
