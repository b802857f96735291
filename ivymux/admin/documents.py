"""Reading and checking the bodies of calls: tenants, descriptions of routes, and findings in them."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from ivymux.admin.authorization import ApiError
from ivymux.routes.model import CompiledDescription, DescriptionError
from ivymux.service.compiler import CompilerError, DescriptionFiles, compile_in_memory
from ivymux.tenants.model import Finding, Tenant, TenantError, parse_tenant

MAX_DESCRIPTION_BYTES = 32 << 20  # of all files of a description


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
