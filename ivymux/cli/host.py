"""`ivymux host`: a gateway for many tenants."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import signal
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "host", help="serve many tenants as their desired state defines", description=__doc__
    )
    parser.add_argument("file", type=Path, metavar="HOSTING.toml")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    # SIGHUP's default action would end the process.  It is ignored, since changes of the desired state are
    # applied without it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import uvloop

    from ivymux.cli.serve import log_to_standard_error
    from ivymux.data_plane.limits import ConfigError
    from ivymux.desired.model import StoreError

    log_to_standard_error()
    try:
        uvloop.run(host(args.file))
    except (ConfigError, StoreError) as error:
        return fail(error)
    return 0


async def host(path: Path) -> None:
    """Serve until SIGTERM or SIGINT.  Raises ConfigError, StoreError."""
    from ivymux.data_plane.free_address import wait_until_free
    from ivymux.hosting.hosting_gateway import HostingGateway, load_hosting
    from ivymux.hosting.state_stores import open_gateway_store

    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    hosting = load_hosting(path)
    await wait_until_free([hosting.listen], ended)
    store = await asyncio.to_thread(open_gateway_store, hosting.file, path.parent)
    gateway = HostingGateway(hosting, store, path.parent)
    try:
        await gateway.start()
        logging.getLogger("ivymux").info("serving on %s:%d", hosting.listen.host, gateway.port)
        gc.collect()
        gc.freeze()  # objects that live as long as the process need not be scanned again
        await ended.wait()
        await gateway.drain()
    finally:
        await gateway.close()
        await asyncio.to_thread(store.close)
