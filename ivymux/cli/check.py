"""`ivymux check`: a site file and its description, checked whole without serving."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add(verbs: Any) -> None:
    verb = verbs.add_parser("check", help="check a site and its description", description=__doc__)
    verb.add_argument("site", type=Path, metavar="SITE.toml")
    verb.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    from ivymux.data_plane.limits import ConfigError
    from ivymux.routes.classes import ClassTable, TooManyClasses
    from ivymux.routes.description import compile_description
    from ivymux.routes.model import DescriptionError
    from ivymux.routes.table import Table
    from ivymux.service.compiler import reader
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
        compiled = compile_description(path.name, reader(path), site.options)
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
    told = [str(f) for f in compiled.findings if f.level == "warning"]
    told += [f"{args.site}: warning: {text}" for text in findings(site, compiled)]
    for line in told:
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
        told += [str(f) for f in reading.warnings]
        workers = len(reading.inventory.workers)
    print(
        f"{args.site}: {len(compiled.operations)} operations, {len(site.plans)} plans,"
        f" {workers} workers, {len(site.file.callers.keys)} keys"
    )
    return 1 if told else 0
