"""`ivymux tenant`: changes tenants by the administration API.

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

TIMEOUT = 60.0
TRIES = 3
MAX_ANSWER = 64 << 20


class CallError(Exception):
    """A call that could not be made, or was refused."""

    def __init__(self, text: str, code: int) -> None:
        self.code = code
        super().__init__(text)


class Remote:
    """The API as commands call it."""

    def __init__(self, address: str, key: str) -> None:
        """Raises CallError."""
        parts = urlsplit(address)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise CallError("IVYMUX_ADMIN is no address: write http://HOST:PORT", 2)
        if not key:
            raise CallError("IVYMUX_ADMIN_KEY is empty: ivymux operator makes a first key", 2)
        self.parts, self.key = parts, key

    def call(
        self, method: str, path: str, body: Any = None, etag: str = "", **query: str
    ) -> tuple[Any, http.client.HTTPMessage]:
        """Raises CallError.  A creation whose answer is lost is sent again under the same Idempotency-Key."""
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
        asked = {name: value for name, value in query.items() if value}
        target = path + ("?" + urlencode(asked) if asked else "")
        repeatable = method in ("GET", "POST")
        for turn in range(TRIES if repeatable else 1):
            try:
                return self.once(method, target, data, headers)
            except (OSError, http.client.HTTPException) as error:
                if turn == (TRIES if repeatable else 1) - 1:
                    raise CallError(f"{self.parts.netloc} can't be reached: {error}", 2) from None
        raise AssertionError

    def once(
        self, method: str, target: str, data: bytes | None, headers: dict[str, str]
    ) -> tuple[Any, http.client.HTTPMessage]:
        kind = http.client.HTTPSConnection if self.parts.scheme == "https" else http.client.HTTPConnection
        connection = kind(self.parts.hostname or "", self.parts.port, timeout=TIMEOUT)
        try:
            connection.request(method, target, data, headers)
            answer = connection.getresponse()
            text = answer.read(MAX_ANSWER)
        finally:
            connection.close()
        try:
            body = json.loads(text) if text else None
        except ValueError:
            raise CallError(
                f"the answer {answer.status} is no JSON: is this the administration API?", 2
            ) from None
        if answer.status >= 400:
            raise CallError(told(answer.status, body), 1)
        return body, answer.headers

    def change(self, method: str, tenant: str, path: str, body: Any, dry_run: bool, **query: str) -> Any:
        """A change of what the tenant is now; somebody else's change in between refuses it."""
        _, headers = self.call("GET", at(tenant))
        found, answer = self.call(
            method, at(tenant) + path, body, headers["ETag"] or "", dry_run="true" if dry_run else "", **query
        )
        if answer["Ivymux-In-Effect"] == "false":
            print("kept, and not yet served by all front doors", file=sys.stderr)
        return found


def told(status: int, body: Any) -> str:
    """A problem as lines for people."""
    if not isinstance(body, dict):
        return f"{status}"
    lines = [f"{body.get('title', status)}: {body.get('detail', '')}"]
    for finding in body.get("findings", [])[:20]:
        place = finding.get("path", "") + (f":{finding['line']}" if finding.get("line") else "")
        lines.append(f"  {finding.get('level')}: {place}: {finding.get('text')}")
    if body.get("confirmation"):
        lines.append(f"  if it is meant, again with --confirm {body['confirmation']}")
    for change in body.get("changed", [])[:10]:
        lines.append(f"  {change.get('who')}: {change.get('action')}")
    return "\n".join(lines)


def at(tenant: str) -> str:
    return "/v1/tenants/" + quote(tenant, safe="")


def add(verbs: Any) -> None:
    verb = verbs.add_parser("tenant", help="change tenants by the administration API", description=__doc__)
    below = verb.add_subparsers(title="commands", metavar="COMMAND", required=True)

    def command(name: str, text: str, run: Any, *arguments: str, changes: bool = False) -> Any:
        made = below.add_parser(name, help=text)
        for argument in arguments:
            made.add_argument(argument, metavar=argument.upper())
        made.add_argument("--json", action="store_true", help="for scripts")
        if changes:
            made.add_argument("--dry-run", action="store_true", help="tell what would change")
        made.set_defaults(run=guarded(run))
        return made

    command("list", "all tenants", run_list)
    create = command("create", "make a tenant", run_create, "tenant")
    create.add_argument("--host", action="append", default=[], metavar="NAME")
    create.add_argument("--file", type=Path, metavar="JSON", help="parts that it begins with")
    command("show", "a tenant, whole", run_show, "tenant")
    parts = "change parts: plans.gold.rate=5 limits.weight=2 customers.c=null"
    set_ = command("set", parts, run_set, "tenant", changes=True)
    set_.add_argument("parts", nargs="+", metavar="PATH=JSON")
    command("delete", "delete a tenant and all that belongs to it", run_delete, "tenant", changes=True)
    routes = command("routes", "put a description of routes", run_routes, "tenant", changes=True)
    routes.add_argument("files", nargs="+", type=Path, metavar="FILE", help="the first one is the main file")
    inventory = command("inventory", "put a list of workers", run_inventory, "tenant", changes=True)
    inventory.add_argument("file", type=Path, metavar="FILE")
    inventory.add_argument("--confirm", default="", metavar="CODE")
    command("keys", "callers' keys", run_keys, "tenant")
    command("add-key", "make a key for a customer; it is shown once", run_add_key, "tenant", "customer")
    rotate = command("rotate-key", "another key in its place; it is shown once", run_rotate, "tenant", "key")
    rotate.add_argument("--overlap", type=float, default=86_400.0, metavar="SECONDS")
    command("drop-key", "revoke a key", run_drop_key, "tenant", "key", changes=True)
    command("appoint", "make an administrator's key; it is shown once", run_appoint, "tenant", "name")
    command("usage", "what front doors tell of it", run_usage, "tenant")
    command("audit", "who changed what", run_audit, "tenant")


def guarded(work: Any) -> Any:
    def run(args: argparse.Namespace) -> int:
        try:
            remote = Remote(os.environ.get("IVYMUX_ADMIN", ""), os.environ.get("IVYMUX_ADMIN_KEY", ""))
            return int(work(remote, args) or 0)
        except CallError as error:
            print(f"ivymux: {error}", file=sys.stderr)
            return error.code
        except OSError as error:
            return fail(error)

    return run


def show(args: argparse.Namespace, value: Any, columns: tuple[str, ...] = ()) -> None:
    """JSON for scripts, else a table of so many columns, or JSON laid out."""
    if args.json or not columns:
        print(json.dumps(value, indent=None if args.json else 2))
        return
    rows = [columns, *(tuple(str(item.get(c, "")) for c in columns) for item in value)]
    widths = [max(len(row[n]) for row in rows) for n in range(len(columns))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def pages(remote: Remote, path: str) -> list[Any]:
    found: list[Any] = []
    cursor = ""
    while True:
        body, _ = remote.call("GET", path, limit="200", cursor=cursor)
        found += body["items"]
        cursor = body["next"]
        if not cursor:
            return found


def run_list(remote: Remote, args: argparse.Namespace) -> None:
    found = pages(remote, "/v1/tenants")
    for item in found:
        item["hosts"] = item["hosts"] if args.json else " ".join(item["hosts"])
    show(args, found, ("name", "hosts", "etag"))


def run_create(remote: Remote, args: argparse.Namespace) -> None:
    body = json.loads(args.file.read_text()) if args.file else {}
    body |= {"name": args.tenant} | ({"hosts": args.host} if args.host else {})
    show(args, remote.call("POST", "/v1/tenants", body)[0])


def run_show(remote: Remote, args: argparse.Namespace) -> None:
    show(args, remote.call("GET", at(args.tenant))[0])


def run_set(remote: Remote, args: argparse.Namespace) -> int:
    patch: dict[str, Any] = {}
    for part in args.parts:
        place, sep, text = part.partition("=")
        if not sep or not place:
            return fail(f"{part!r}: write PATH=JSON, such as plans.gold.rate=5")
        try:
            value = json.loads(text)
        except ValueError:
            value = text
        *names, last = place.split(".")
        into = patch
        for name in names:
            into = into.setdefault(name, {})
        into[last] = value
    show(args, remote.change("PATCH", args.tenant, "", patch, args.dry_run))
    return 0


def run_delete(remote: Remote, args: argparse.Namespace) -> None:
    found = remote.change("DELETE", args.tenant, "", None, args.dry_run)
    show(args, found if found is not None else {"deleted": args.tenant})


def run_routes(remote: Remote, args: argparse.Namespace) -> None:
    files = {path.name: path.read_text(encoding="utf-8") for path in args.files}
    body = {"main": args.files[0].name, "files": files}
    show(args, remote.change("PUT", args.tenant, "/routes", body, args.dry_run))


def run_inventory(remote: Remote, args: argparse.Namespace) -> None:
    form = "yaml" if args.file.suffix.lower() in (".yml", ".yaml") else "csv"
    body = {"form": form, "text": args.file.read_text(encoding="utf-8-sig")}
    show(args, remote.change("PUT", args.tenant, "/inventory", body, args.dry_run, confirm=args.confirm))


def run_keys(remote: Remote, args: argparse.Namespace) -> None:
    show(args, pages(remote, at(args.tenant) + "/keys"), ("name", "customer", "made", "ends"))


def run_add_key(remote: Remote, args: argparse.Namespace) -> None:
    show(args, remote.call("POST", at(args.tenant) + "/keys", {"customer": args.customer})[0])


def run_rotate(remote: Remote, args: argparse.Namespace) -> None:
    path = f"{at(args.tenant)}/keys/{quote(args.key, safe='')}/rotate"
    show(args, remote.call("POST", path, {"overlap": args.overlap})[0])


def run_drop_key(remote: Remote, args: argparse.Namespace) -> None:
    found = remote.change("DELETE", args.tenant, f"/keys/{quote(args.key, safe='')}", None, args.dry_run)
    show(args, found if found is not None else {"revoked": args.key})


def run_appoint(remote: Remote, args: argparse.Namespace) -> None:
    show(args, remote.call("POST", at(args.tenant) + "/administrators", {"name": args.name})[0])


def run_usage(remote: Remote, args: argparse.Namespace) -> None:
    found, _ = remote.call("GET", at(args.tenant) + "/usage")
    show(args, found if args.json else found["doors"], ("door", "in_effect", "served", "refused", "open"))


def run_audit(remote: Remote, args: argparse.Namespace) -> None:
    found = pages(remote, at(args.tenant) + "/audit")
    show(args, found, ("revision", "at", "who", "origin", "action"))
