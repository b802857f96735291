"""`ivymux tenant`: changes tenants through the administration API.

The API's address and the key come from IVYMUX_ADMIN (http://HOST:PORT) and IVYMUX_ADMIN_KEY, never from the
command line, which other users of a machine can read.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import secrets
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

from ivymux.cli import fail

TIMEOUT_S = 60.0
MAX_ATTEMPTS = 3  # of one call
MAX_ANSWER_BYTES = 64 << 20


class CallError(Exception):
    """A call that could not be made, or was refused; `code` is the command's exit code."""

    def __init__(self, text: str, code: int) -> None:
        self.code = code
        super().__init__(text)


class AdminClient:
    """A client of the administration API."""

    def __init__(self, address: str, key: str) -> None:
        """Raises CallError."""
        parts = urlsplit(address)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise CallError("IVYMUX_ADMIN is not an address: write http://HOST:PORT", 2)
        if not key:
            raise CallError("IVYMUX_ADMIN_KEY is empty: create a first key with ivymux operator", 2)
        self.parts, self.key = parts, key

    def call(
        self, method: str, path: str, body: Any = None, etag: str = "", **query: str
    ) -> tuple[Any, http.client.HTTPMessage]:
        """Make a call; return the answer's JSON and headers.  Raises CallError.

        A GET, and a POST under the same Idempotency-Key, is repeated if the answer is lost.
        """
        headers = {"Authorization": f"Bearer {self.key}"}
        if etag:
            headers["If-Match"] = etag
        if method == "POST":
            headers["Idempotency-Key"] = secrets.token_hex(16)
        data = None
        if body is not None:
            patch = method == "PATCH"
            headers["Content-Type"] = "application/merge-patch+json" if patch else "application/json"
            data = json.dumps(body).encode()
        parameters = {name: value for name, value in query.items() if value}
        target = path + ("?" + urlencode(parameters) if parameters else "")
        is_repeatable = method in ("GET", "POST")
        for attempt in range(MAX_ATTEMPTS if is_repeatable else 1):
            try:
                return self.send(method, target, data, headers)
            except (OSError, http.client.HTTPException) as error:
                if attempt == (MAX_ATTEMPTS if is_repeatable else 1) - 1:
                    raise CallError(f"{self.parts.netloc} can't be reached: {error}", 2) from None
        raise AssertionError

    def send(
        self, method: str, target: str, data: bytes | None, headers: dict[str, str]
    ) -> tuple[Any, http.client.HTTPMessage]:
        """Send a request once.  Raises CallError, OSError, HTTPException."""
        connection_type = (
            http.client.HTTPSConnection if self.parts.scheme == "https" else http.client.HTTPConnection
        )
        connection = connection_type(self.parts.hostname or "", self.parts.port, timeout=TIMEOUT_S)
        try:
            connection.request(method, target, data, headers)
            answer = connection.getresponse()
            text = answer.read(MAX_ANSWER_BYTES)
        finally:
            connection.close()
        try:
            body = json.loads(text) if text else None
        except ValueError:
            raise CallError(
                f"the answer {answer.status} is not JSON: is this the administration API?", 2
            ) from None
        if answer.status >= 400:
            raise CallError(problem_text(answer.status, body), 1)
        return body, answer.headers

    def change(self, method: str, tenant: str, path: str, body: Any, dry_run: bool, **query: str) -> Any:
        """Change a tenant; return the answer's JSON.  Raises CallError, also after a concurrent change."""
        _, headers = self.call("GET", tenant_path(tenant))
        result, answer = self.call(
            method,
            tenant_path(tenant) + path,
            body,
            headers["ETag"] or "",
            dry_run="true" if dry_run else "",
            **query,
        )
        if answer["Ivymux-In-Effect"] == "false":
            print("stored, but not yet in effect at all gateways", file=sys.stderr)
        return result


def problem_text(status: int, body: Any) -> str:
    """Format problem details (RFC 9457) for the terminal."""
    if not isinstance(body, dict):
        return f"{status}"
    lines = [f"{body.get('title', status)}: {body.get('detail', '')}"]
    for finding in body.get("findings", [])[:20]:
        place = finding.get("path", "") + (f":{finding['line']}" if finding.get("line") else "")
        lines.append(f"  {finding.get('level')}: {place}: {finding.get('text')}")
    if body.get("confirmation"):
        lines.append(f"  if the change is intended, repeat with --confirm {body['confirmation']}")
    for change in body.get("changed", [])[:10]:
        lines.append(f"  {change.get('who')}: {change.get('action')}")
    return "\n".join(lines)


def tenant_path(tenant: str) -> str:
    """Return the path of a tenant in the API."""
    return "/v1/tenants/" + quote(tenant, safe="")


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "tenant", help="change tenants through the administration API", description=__doc__
    )
    subcommands = parser.add_subparsers(title="commands", metavar="COMMAND", required=True)

    def command(name: str, help_text: str, run: Any, *arguments: str, changes: bool = False) -> Any:
        command_parser = subcommands.add_parser(name, help=help_text)
        for argument in arguments:
            command_parser.add_argument(argument, metavar=argument.upper())
        command_parser.add_argument("--json", action="store_true", help="print JSON on one line, for scripts")
        if changes:
            command_parser.add_argument("--dry-run", action="store_true", help="only show what would change")
        command_parser.set_defaults(run=with_client(run))
        return command_parser

    command("list", "list all tenants", run_list)
    create = command("create", "create a tenant", run_create, "tenant")
    create.add_argument("--host", action="append", default=[], metavar="NAME")
    create.add_argument("--file", type=Path, metavar="JSON", help="the tenant's initial parts")
    command("show", "show a tenant's document", run_show, "tenant")
    parts = "change parts: plans.gold.rate=5 limits.weight=2 customers.c=null"
    set_ = command("set", parts, run_set, "tenant", changes=True)
    set_.add_argument("parts", nargs="+", metavar="PATH=JSON")
    command("delete", "delete a tenant and all that belongs to it", run_delete, "tenant", changes=True)
    routes = command("routes", "replace the description of routes", run_routes, "tenant", changes=True)
    routes.add_argument("files", nargs="+", type=Path, metavar="FILE", help="the first one is the main file")
    inventory = command("inventory", "replace the list of workers", run_inventory, "tenant", changes=True)
    inventory.add_argument("file", type=Path, metavar="FILE")
    inventory.add_argument("--confirm", default="", metavar="CODE")
    command("keys", "list the callers' keys", run_keys, "tenant")
    command("add-key", "create a key for a customer; it is shown once", run_add_key, "tenant", "customer")
    rotate = command("rotate-key", "replace a key; the new one is shown once", run_rotate, "tenant", "key")
    rotate.add_argument("--overlap", type=float, default=86_400.0, metavar="SECONDS")
    command("drop-key", "revoke a key", run_drop_key, "tenant", "key", changes=True)
    command("appoint", "create an administrator's key; it is shown once", run_appoint, "tenant", "name")
    command("usage", "show the gateways' reports of a tenant's usage", run_usage, "tenant")
    command("audit", "show who changed what", run_audit, "tenant")


def with_client(run_command: Any) -> Any:
    """Return a function that calls `run_command` with a client, and turns errors into exit codes."""

    def run(args: argparse.Namespace) -> int:
        try:
            client = AdminClient(os.environ.get("IVYMUX_ADMIN", ""), os.environ.get("IVYMUX_ADMIN_KEY", ""))
            return int(run_command(client, args) or 0)
        except CallError as error:
            print(f"ivymux: {error}", file=sys.stderr)
            return error.code
        except OSError as error:
            return fail(error)

    return run


def print_result(args: argparse.Namespace, value: Any, columns: tuple[str, ...] = ()) -> None:
    """Print JSON on one line for scripts, else a table with these columns, else indented JSON."""
    if args.json or not columns:
        print(json.dumps(value, indent=None if args.json else 2))
        return
    rows = [columns, *(tuple(str(item.get(c, "")) for c in columns) for item in value)]
    widths = [max(len(row[n]) for row in rows) for n in range(len(columns))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def fetch_all(client: AdminClient, path: str) -> list[Any]:
    """Return the items of all pages of a list.  Raises CallError."""
    items: list[Any] = []
    cursor = ""
    while True:
        body, _ = client.call("GET", path, limit="200", cursor=cursor)
        items += body["items"]
        cursor = body["next"]
        if not cursor:
            return items


def run_list(client: AdminClient, args: argparse.Namespace) -> None:
    tenants = fetch_all(client, "/v1/tenants")
    for tenant in tenants:
        tenant["hosts"] = tenant["hosts"] if args.json else " ".join(tenant["hosts"])
    print_result(args, tenants, ("name", "hosts", "etag"))


def run_create(client: AdminClient, args: argparse.Namespace) -> None:
    body = json.loads(args.file.read_text()) if args.file else {}
    body |= {"name": args.tenant} | ({"hosts": args.host} if args.host else {})
    print_result(args, client.call("POST", "/v1/tenants", body)[0])


def run_show(client: AdminClient, args: argparse.Namespace) -> None:
    print_result(args, client.call("GET", tenant_path(args.tenant))[0])


def run_set(client: AdminClient, args: argparse.Namespace) -> int:
    """Build a merge patch from arguments PATH=JSON, and apply it; what is not JSON is taken as a string."""
    patch: dict[str, Any] = {}
    for part in args.parts:
        path, separator, text = part.partition("=")
        if not separator or not path:
            return fail(f"{part!r}: write PATH=JSON, such as plans.gold.rate=5")
        try:
            value = json.loads(text)
        except ValueError:
            value = text
        *names, last = path.split(".")
        node = patch
        for name in names:
            node = node.setdefault(name, {})
        node[last] = value
    print_result(args, client.change("PATCH", args.tenant, "", patch, args.dry_run))
    return 0


def run_delete(client: AdminClient, args: argparse.Namespace) -> None:
    result = client.change("DELETE", args.tenant, "", None, args.dry_run)
    print_result(args, result if result is not None else {"deleted": args.tenant})


def run_routes(client: AdminClient, args: argparse.Namespace) -> None:
    files = {path.name: path.read_text(encoding="utf-8") for path in args.files}
    body = {"main": args.files[0].name, "files": files}
    print_result(args, client.change("PUT", args.tenant, "/routes", body, args.dry_run))


def run_inventory(client: AdminClient, args: argparse.Namespace) -> None:
    form = "yaml" if args.file.suffix.lower() in (".yml", ".yaml") else "csv"
    body = {"form": form, "text": args.file.read_text(encoding="utf-8-sig")}
    print_result(
        args, client.change("PUT", args.tenant, "/inventory", body, args.dry_run, confirm=args.confirm)
    )


def run_keys(client: AdminClient, args: argparse.Namespace) -> None:
    print_result(
        args, fetch_all(client, tenant_path(args.tenant) + "/keys"), ("name", "customer", "made", "ends")
    )


def run_add_key(client: AdminClient, args: argparse.Namespace) -> None:
    print_result(
        args, client.call("POST", tenant_path(args.tenant) + "/keys", {"customer": args.customer})[0]
    )


def run_rotate(client: AdminClient, args: argparse.Namespace) -> None:
    path = f"{tenant_path(args.tenant)}/keys/{quote(args.key, safe='')}/rotate"
    print_result(args, client.call("POST", path, {"overlap": args.overlap})[0])


def run_drop_key(client: AdminClient, args: argparse.Namespace) -> None:
    result = client.change("DELETE", args.tenant, f"/keys/{quote(args.key, safe='')}", None, args.dry_run)
    print_result(args, result if result is not None else {"revoked": args.key})


def run_appoint(client: AdminClient, args: argparse.Namespace) -> None:
    print_result(
        args, client.call("POST", tenant_path(args.tenant) + "/administrators", {"name": args.name})[0]
    )


def run_usage(client: AdminClient, args: argparse.Namespace) -> None:
    result, _ = client.call("GET", tenant_path(args.tenant) + "/usage")
    print_result(
        args, result if args.json else result["doors"], ("door", "in_effect", "served", "refused", "open")
    )


def run_audit(client: AdminClient, args: argparse.Namespace) -> None:
    records = fetch_all(client, tenant_path(args.tenant) + "/audit")
    print_result(args, records, ("revision", "at", "who", "origin", "action"))
