"""`ivymux routes`: checks a description, and shows how requests are matched to its operations."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "routes", help="check an OpenAPI description and match requests", description=__doc__
    )
    subcommands = parser.add_subparsers(title="commands", metavar="COMMAND", required=True)
    check = subcommands.add_parser("check", help="report errors and warnings in a description")
    check.add_argument("file", type=Path, metavar="FILE")
    check.add_argument("--json", action="store_true", help="print one JSON object, for scripts")
    check.add_argument("--strict", action="store_true", help="exit with 1 also if there are only warnings")
    check.add_argument("--base", metavar="PATH", help="a base path in place of those of `servers`")
    check.set_defaults(run=run_check)
    match = subcommands.add_parser(
        "match",
        help="show the operations that requests match",
        description="Reads lines METHOD TARGET on standard input; prints one JSON object a line.",
    )
    match.add_argument("file", type=Path, metavar="FILE")
    match.add_argument("--base", metavar="PATH", help="a base path in place of those of `servers`")
    match.set_defaults(run=run_match)


def load(args: argparse.Namespace) -> Any:
    """Compile a description.  Raises DescriptionError, and OSError if the file can't be read."""
    from ivymux.routes.description import compile_description
    from ivymux.routes.model import Options
    from ivymux.service.compiler import folder_reader

    with open(args.file, "rb"):
        pass  # a missing file is invalid usage, not a finding
    return compile_description(args.file.name, folder_reader(args.file), Options(base=args.base))


def run_check(args: argparse.Namespace) -> int:
    from ivymux.routes.model import DescriptionError, Finding

    operations: list[Any] = []
    try:
        compiled = load(args)
        found: list[Finding] = compiled.findings
        operations = compiled.operations
    except DescriptionError as error:
        found = error.findings
    except OSError as error:
        return fail(f"{args.file}: {error.strerror}")
    counts = {level: sum(f.level == level for f in found) for level in ("error", "warning", "note")}
    if args.json:
        rows = [{"level": f.level, "file": f.file, "place": f.place, "text": f.text} for f in found]
        print(json.dumps({"operations": len(operations), "findings": rows, **counts}))
    else:
        for finding in found:
            print(finding)
        effects = [o.effect.value for o in operations]
        effect_counts = ", ".join(f"{effects.count(e)} {e}" for e in ("safe", "keyed", "unsafe"))
        print(f"{args.file}: {len(operations)} operations ({effect_counts}); {counts['error']} errors, "
              f"{counts['warning']} warnings, {counts['note']} notes")  # fmt: skip
    return 1 if counts["error"] or (args.strict and counts["warning"]) else 0


def run_match(args: argparse.Namespace) -> int:
    from ivymux.routes.classes import ClassTable
    from ivymux.routes.model import DescriptionError
    from ivymux.routes.table import Table
    from orchidhill.interface import Scope

    try:
        table = Table(load(args), ClassTable(0.0, Scope.ALL))
    except DescriptionError as error:
        print(error, file=sys.stderr)
        return 1
    except OSError as error:
        return fail(f"{args.file}: {error.strerror}")
    for _ in table.build():
        pass
    table.assign_class_numbers()
    has_errors = 0
    for line in sys.stdin:
        if line.strip():
            result = match(table, line)
            has_errors |= "error" in result
            print(json.dumps(result), flush=True)
    return int(has_errors)


def match(table: Any, line: str) -> dict[str, object]:
    """Return the operation that a line METHOD TARGET matches, or an error, as a JSON object."""
    from ivymux.routes.matcher import NoRoute
    from ivymux.routes.table import BadParameter

    method, _, target = line.strip().partition(" ")
    try:
        decision = table.decide(method, target.strip().encode(), [])
    except NoRoute as error:
        return {"error": str(error), "status": error.status}
    except BadParameter as error:
        return {"error": str(error), "status": 400}
    operation = decision.operation
    return {
        "operation": operation.id, "path": operation.path, "class": operation.cls,
        "effect": operation.effect.value, "cost": decision.units, "aim": operation.aim,
        "deadline": operation.deadline,
    }  # fmt: skip
