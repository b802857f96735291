"""`ivymux inventory`: checks, converts and applies lists of workers, and shows the lists of a gateway."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "inventory", help="check, apply, confirm and roll back lists of workers", description=__doc__
    )
    subcommands = parser.add_subparsers(title="commands", metavar="COMMAND", required=True)
    check = subcommands.add_parser("check", help="report errors and warnings in a list")
    check.add_argument("files", type=Path, nargs="+", metavar="FILE")
    check.add_argument("--json", action="store_true", help="print one JSON object, for scripts")
    check.set_defaults(run=run_check)
    show = subcommands.add_parser("show", help="print a list as CSV, whatever its format")
    show.add_argument("file", type=Path, metavar="FILE")
    show.set_defaults(run=run_show)
    convert = subcommands.add_parser("convert", help="convert between CSV and Ansible's YAML")
    convert.add_argument("file", type=Path, metavar="FILE")
    convert.add_argument("out", type=Path, metavar="OUT", help="its suffix sets the format: .csv or .yml")
    convert.add_argument("--force", action="store_true", help="overwrite OUT if it exists")
    convert.set_defaults(run=run_convert)
    apply = subcommands.add_parser("apply", help="check a list and install it where a gateway follows it")
    apply.add_argument("site", type=Path, metavar="SITE.toml")
    apply.add_argument("file", type=Path, metavar="FILE")
    apply.add_argument(
        "--confirm", default="", metavar="CODE", help="the code that confirms a change that is held back"
    )
    apply.add_argument("--dry-run", action="store_true", help="only show what would be changed")
    apply.add_argument(
        "--wait",
        type=float,
        default=10.0,
        metavar="SECONDS",
        help="how long the gateway may take to apply it",
    )
    apply.set_defaults(run=run_apply)
    diff = subcommands.add_parser(
        "diff", help="show the change from one list to another, and whether it would be held back"
    )
    diff.add_argument("old", type=Path, metavar="OLD")
    diff.add_argument("new", type=Path, metavar="NEW")
    diff.set_defaults(run=run_diff)
    for name, text, run in (
        ("history", "show the lists that a gateway has kept", run_history),
        ("confirm", "confirm a change that is held back", run_confirm),
        ("rollback", "return to a list of the history", run_rollback),
    ):
        command = subcommands.add_parser(name, help=text)
        command.add_argument("site", type=Path, metavar="SITE.toml")
        if name == "confirm":
            command.add_argument("code", metavar="CODE", help="the code in the gateway's log")
        elif name == "rollback":
            command.add_argument(
                "number", type=int, metavar="NUMBER", help="the list's number in the history"
            )
        command.set_defaults(run=run)


def read(path: Path) -> Any:
    """Read a list.  Raises InventoryError, OSError."""
    from ivymux.membership import files

    return files.parse_content(files.read_content(path))


def run_check(args: argparse.Namespace) -> int:
    from ivymux.inventory.model import InventoryError

    workers, findings = 0, []
    for file in args.files:
        try:
            reading = read(file)
            findings += reading.warnings
            workers += len(reading.inventory.workers)
        except InventoryError as error:
            findings += error.findings
        except OSError as error:
            return fail(error)
    errors = sum(f.level == "error" for f in findings)
    if args.json:
        rows = [{"level": f.level, "file": f.file, "line": f.line, "column": f.column, "text": f.text}
                for f in findings]  # fmt: skip
        print(json.dumps({"workers": workers, "findings": rows}))
    else:
        for finding in findings:
            print(finding)
        names = ", ".join(str(file) for file in args.files)
        print(f"{names}: {workers} workers; {errors} errors, {len(findings) - errors} warnings")
    return 1 if errors else 0


def run_convert(args: argparse.Namespace) -> int:
    from ivymux.inventory.model import InventoryError
    from ivymux.membership.list_change import convert

    try:
        reading = read(args.file)
        data = convert(reading.inventory, args.out)
        with open(args.out, "wb" if args.force else "xb") as sink:
            sink.write(data)
    except InventoryError as error:
        print(error, file=sys.stderr)
        return 1
    except FileExistsError:
        return fail(f"{args.out} already exists: choose another name, or overwrite it with --force")
    except OSError as error:
        return fail(error)
    for finding in reading.warnings:
        print(finding, file=sys.stderr)
    print(f"{args.out}: {len(reading.inventory.workers)} workers; comments and other columns are not copied")
    return 0


def run_apply(args: argparse.Namespace) -> int:
    """Check a list, write it and wait for the gateway.

    Returns 0 if the gateway applied the list, 1 if it was refused or held back, 2 for invalid usage, and 3 if
    the list was written, but not applied in time.
    """
    from ivymux.data_plane.limits import ConfigError
    from ivymux.inventory.model import InventoryError
    from ivymux.membership import list_change
    from ivymux.service.standalone import load_site

    try:
        site = load_site(args.site)
        part = site.file.inventory
        if part is None:
            raise ConfigError(f"{args.site}: there is no [inventory]: the site file lists the workers itself")
        store = open_snapshot_store(args.site) if part.state else None
        last = store.load_last() if store is not None else None
        gateway_addresses = ((site.listen.host, site.listen.port),)
        proposal = list_change.propose(
            args.file, args.site.parent / part.file, part.limits, last, gateway_addresses
        )
    except InventoryError as error:
        print(error, file=sys.stderr)
        return 1
    except (ConfigError, OSError) as error:
        return fail(error)
    for finding in proposal.reading.warnings:
        print(finding)
    code = ""
    if proposal.verdict is not None:
        print(proposal.verdict.change)
        for reason in proposal.verdict.reasons:
            print(f"held back: {reason}")
        code = proposal.verdict.confirmation
        if not proposal.verdict.passes and args.confirm != code:
            if args.confirm:
                print(f"{args.confirm} is the code of another change", file=sys.stderr)
            print(f"nothing was changed; if the change is intended, repeat with --confirm {code}")
            return 1
    if args.dry_run:
        print("nothing was changed")
        return 0
    try:
        if store is not None and args.confirm:
            store.write_command("confirm", args.confirm)
        list_change.write_proposal(proposal)
    except OSError as error:
        return fail(error)
    if store is None:
        print(
            f"{proposal.target}: written; see the gateway's log for the result, as inventory.state is not set"
        )
        return 0
    snapshot = list_change.wait_until_stored(store, proposal.reading.inventory, args.wait)
    if snapshot is None:
        print(f"{proposal.target}: written, but not taken within {args.wait:g} s: see the gateway's log;"
              f" if it holds the change back: ivymux inventory confirm {args.site} {code}")  # fmt: skip
        return 3
    print(f"{proposal.target}: taken as list {snapshot.number}")
    return 0


def run_show(args: argparse.Namespace) -> int:
    from ivymux.inventory.csv_reader import write_csv
    from ivymux.inventory.model import InventoryError

    try:
        sys.stdout.write(write_csv(read(args.file).inventory).decode())
    except InventoryError as error:
        print(error, file=sys.stderr)
        return 1
    except OSError as error:
        return fail(error)
    return 0


def run_diff(args: argparse.Namespace) -> int:
    from ivymux.inventory.change_policy import ChangePolicy, Limits, differences, truncation_reason
    from ivymux.inventory.model import InventoryError

    try:
        old, new = read(args.old), read(args.new)
    except InventoryError as error:
        print(error, file=sys.stderr)
        return 1
    except OSError as error:
        return fail(error)
    change = differences(old.inventory, new.inventory)
    truncation = truncation_reason(old.shape, new.shape, old.inventory, new.inventory, change)
    verdict = ChangePolicy(Limits(), old.inventory).review(new.inventory, 0.0, truncation)
    print(verdict.change)
    for reason in verdict.reasons:
        print(f"held back: {reason}")
    return 0 if verdict.passes else 1


def open_snapshot_store(path: Path) -> Any:
    """Return the snapshot store of a site's gateway.  Raises ConfigError."""
    from ivymux.data_plane.limits import ConfigError
    from ivymux.membership.snapshot_store import SnapshotStore
    from ivymux.service.standalone import load_site

    part = load_site(path).file.inventory
    if part is None or not part.state:
        raise ConfigError(f"{path}: inventory.state is not set: the gateway stores no lists on disk")
    return SnapshotStore(path.parent / part.state)


def run_history(args: argparse.Namespace) -> int:
    from ivymux.data_plane.limits import ConfigError

    try:
        history = open_snapshot_store(args.site).load_history()
    except ConfigError as error:
        return fail(error)
    for s in history:
        taken = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(s.taken))
        print(f"{s.number:6}  {taken}  {len(s.inventory.workers):6} workers  {s.why}")
    return 0


def run_confirm(args: argparse.Namespace) -> int:
    return send_command(args.site, "confirm", args.code)


def run_rollback(args: argparse.Namespace) -> int:
    return send_command(args.site, "rollback", str(args.number))


def send_command(site: Path, command: str, argument: str) -> int:
    """Write a command for the running gateway, which logs the result; return the exit code."""
    from ivymux.data_plane.limits import ConfigError

    try:
        store = open_snapshot_store(site)
        if command == "rollback" and int(argument) not in {s.number for s in store.load_history()}:
            return fail(f"there is no list {argument}; see: ivymux inventory history {site}")
        store.write_command(command, argument)
    except (ConfigError, OSError) as error:
        return fail(error)
    print(f"requested: {command} {argument}; see the gateway's log for the result")
    return 0
