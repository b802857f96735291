"""`ivymux check`: checks a site file, its description and its inventory without serving."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser("check", help="check a site and its description", description=__doc__)
    parser.add_argument("site", type=Path, metavar="SITE.toml")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    from ivymux.data_plane.limits import ConfigError
    from ivymux.routes.classes import ClassTable, TooManyClasses
    from ivymux.routes.description import compile_description
    from ivymux.routes.model import DescriptionError
    from ivymux.routes.table import Table
    from ivymux.service.compiler import folder_reader
    from ivymux.service.site import SCOPES, findings
    from ivymux.service.standalone import description_path, load_site

    try:
        site = load_site(args.site)
    except ConfigError as error:
        return fail(error)
    path = description_path(site, args.site)
    if not path.is_file():
        return fail(f"{args.site}: description.file: there is no file {path}")
    try:
        compiled = compile_description(path.name, folder_reader(path), site.options)
        Table(
            compiled, ClassTable(site.file.keyed.memory, SCOPES[site.file.keyed.scope])
        ).assign_class_numbers()
    except DescriptionError as error:
        for finding in error.findings:
            print(finding)
        return 1
    except TooManyClasses as error:
        print(f"{path}: error: {error}")
        return 1
    workers = len(site.workers)
    warnings = [str(f) for f in compiled.findings if f.level == "warning"]
    warnings += [f"{args.site}: warning: {text}" for text in findings(site, compiled)]
    for line in warnings:
        print(line)
    if (part := site.file.inventory) is not None:
        from ivymux.inventory.model import InventoryError
        from ivymux.membership import files

        try:
            reading = files.parse_content(files.read_content(args.site.parent / part.file))
        except InventoryError as error:
            for found in error.findings:
                print(found)
            return 1
        except OSError as error:
            return fail(error)
        warnings += [str(f) for f in reading.warnings]
        workers = len(reading.inventory.workers)
    print(
        f"{args.site}: {len(compiled.operations)} operations, {len(site.plans)} plans,"
        f" {workers} workers, {len(site.file.callers.keys)} keys"
    )
    return 1 if warnings else 0
