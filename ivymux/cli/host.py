"""`ivymux host`: a front door of many tenants."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import signal
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add(verbs: Any) -> None:
    verb = verbs.add_parser("host", help="serve many tenants by their desired state", description=__doc__)
    verb.add_argument("file", type=Path, metavar="HOSTING.toml")
    verb.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    # The default would end the process: the desired state is followed without being asked to.
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
    """Serve until SIGTERM or SIGINT."""
    from ivymux.hosting.hosting_gateway import HostingGateway, load_hosting
    from ivymux.hosting.state_stores import open_gateway_store

    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    hosting = load_hosting(path)
    store = await asyncio.to_thread(open_gateway_store, hosting.file, path.parent)
    door = HostingGateway(hosting, store, path.parent)
    try:
        await door.start()
        logging.getLogger("ivymux").info("serving on %s:%d", hosting.listen.host, door.port)
        gc.collect()
        gc.freeze()  # what lives as long as the process need not be looked at again
        await ended.wait()
        await door.drain()
    finally:
        await door.close()
        await asyncio.to_thread(store.close)
