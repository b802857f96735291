"""The OpenAPI 3.1 document of the administration API, built from the operations that are served."""

from __future__ import annotations

from typing import Any

import msgspec

from ivymux import __version__
from ivymux.admin.calls import Operation
from ivymux.admin.model import InventoryBody
from ivymux.admin.resources import OBJECT, api_operations
from ivymux.admin.responses import PROBLEM_MEDIA_TYPE, TITLES
from ivymux.service.site import PlanPart
from ivymux.tenants.model import CustomerPart, Tenant
from ivymux.tenants.shares import TenantLimits


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
