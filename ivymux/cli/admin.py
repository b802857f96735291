"""`ivymux admin`: serves the administration API of an installation.

`ivymux operator` creates the first key of that API; `ivymux backup` and `ivymux restore` copy the desired
state.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser("admin", help="serve the administration API", description=__doc__)
    parser.add_argument("file", type=Path, metavar="HOSTING.toml")
    parser.set_defaults(run=run)
    operator = subparsers.add_parser("operator", help="create an operator's key for the administration API")
    operator.add_argument("file", type=Path, metavar="HOSTING.toml")
    operator.add_argument("name", help="the operator's name, for the audit record")
    operator.set_defaults(run=run_operator)
    backup = subparsers.add_parser("backup", help="copy the whole desired state, also while it is in use")
    backup.add_argument("file", type=Path, metavar="HOSTING.toml")
    backup.add_argument("copy", type=Path, metavar="COPY")
    backup.set_defaults(run=run_backup)
    restore = subparsers.add_parser(
        "restore", help="restore a copy; no process may have an SQLite store open meanwhile"
    )
    restore.add_argument("file", type=Path, metavar="HOSTING.toml")
    restore.add_argument("copy", type=Path, metavar="COPY")
    restore.set_defaults(run=run_restore)


def run(args: argparse.Namespace) -> int:
    from ivymux.cli.serve import log_to_standard_error
    from ivymux.data_plane.limits import ConfigError
    from ivymux.desired.model import StoreError

    log_to_standard_error()
    try:
        asyncio.run(serve(args.file))
    except (ConfigError, StoreError, OSError) as error:
        return fail(error)
    return 0


async def serve(path: Path) -> None:
    """Serve until SIGTERM or SIGINT."""
    import uvicorn

    from ivymux.admin.app import application
    from ivymux.data_plane.limits import ConfigError

    hosting, store = open_hosting(path)
    try:
        if hosting.admin is None:
            raise ConfigError(f"{path}: admin is not set: the API needs an address to listen on")
        config = uvicorn.Config(
            application(store, hosting.address_rules), host=hosting.admin.host, port=hosting.admin.port,
            log_level="warning", access_log=False, server_header=False, limit_concurrency=256,
            timeout_keep_alive=15, timeout_graceful_shutdown=5, h11_max_incomplete_event_size=32 * 1024,
            http="h11", ws="none", lifespan="off",
        )  # fmt: skip
        await uvicorn.Server(config).serve()
    finally:
        store.close()


def open_hosting(path: Path) -> tuple[Any, Any]:
    """Read an installation's file and open its store.  Raises SiteError, StoreError."""
    from ivymux.hosting.hosting_gateway import load_hosting
    from ivymux.hosting.state_stores import open_store

    hosting = load_hosting(path)
    return hosting, open_store(hosting.file, path.parent)


def run_operator(args: argparse.Namespace) -> int:
    """Print a new key once, to standard output; the store keeps only a salted hash."""
    from ivymux.data_plane.limits import ConfigError
    from ivymux.desired.model import Admin, StoreError
    from ivymux.tenants import secret

    if not (1 <= len(args.name) <= 100 and args.name.isprintable()):
        return fail("a name has 1 to 100 printable characters")
    try:
        _, store = open_hosting(args.file)
        key_id, key, stored = secret.create_key(secret.ADMIN_PREFIX, time.time())
        try:
            store.add_operator(Admin(key_id, args.name, "", stored), time.time())
        finally:
            store.close()
    except (ConfigError, StoreError) as error:
        return fail(error)
    print("the key, shown only now:", file=sys.stderr)
    print(key)
    return 0


def run_backup(args: argparse.Namespace) -> int:
    from ivymux.data_plane.limits import ConfigError
    from ivymux.desired.copying import backup_etcd
    from ivymux.desired.model import StoreError

    try:
        hosting, store = open_hosting(args.file)
        try:
            if hosting.file.etcd is None:
                store.backup(args.copy)
            else:
                backup_etcd(store, args.copy)
        finally:
            store.close()
    except (ConfigError, StoreError, OSError) as error:
        return fail(error)
    print(f"{args.copy}: {args.copy.stat().st_size} bytes, verified")
    return 0


def run_restore(args: argparse.Namespace) -> int:
    from ivymux.data_plane.limits import ConfigError
    from ivymux.desired.copying import restore_etcd
    from ivymux.desired.model import StoreError
    from ivymux.desired.sqlite import restore
    from ivymux.hosting.hosting_gateway import load_hosting

    try:
        file = load_hosting(args.file).file
        if file.etcd is None:
            restore(args.copy, args.file.parent / file.store)
        else:
            _, store = open_hosting(args.file)
            try:
                restore_etcd(args.copy, store)
            finally:
                store.close()
    except (ConfigError, StoreError, OSError) as error:
        return fail(error)
    if file.etcd is None:
        print("restored; start the gateways and the administration API again")
    else:
        print("restored; gateways that follow this etcd switch to the restored state by themselves")
    return 0
