"""`ivymux serve`: a gateway for one site."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import signal
import sys
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser("serve", help="serve a site", description=__doc__)
    parser.add_argument("site", type=Path, metavar="SITE.toml")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    # SIGHUP's default action would end the process.  It can be ignored until the event loop handles it, as
    # the files have not been read before that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import uvloop

    from ivymux.data_plane.limits import ConfigError
    from ivymux.routes.model import DescriptionError
    from ivymux.service.compiler import CompilerError

    log_to_standard_error()
    try:
        uvloop.run(serve(args.site))
    except (ConfigError, DescriptionError, CompilerError) as error:
        return fail(error)
    return 0


def log_to_standard_error() -> None:
    """Log to standard error, at a bounded rate."""
    from ivymux.platform.program import LogRateLimit

    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())


async def serve(path: Path) -> None:
    """Serve until SIGTERM or SIGINT; on SIGHUP the site file and its description are read again.

    Raises ConfigError, DescriptionError, CompilerError.
    """
    from ivymux.data_plane.free_address import wait_until_free
    from ivymux.service.standalone import open_standalone

    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    gateway = await open_standalone(path)
    site = gateway.site
    await wait_until_free([site.listen, *([site.tally_listen] if site.tally_listen else [])], ended)
    try:
        await gateway.start()
        loop.add_signal_handler(signal.SIGHUP, lambda: gateway.start_task(gateway.reload()))
        logging.getLogger("ivymux").info("serving on %s:%d", gateway.site.listen.host, gateway.port)
        gc.collect()
        gc.freeze()  # objects that live as long as the process need not be scanned again
        await ended.wait()
        await gateway.drain()
    finally:
        await gateway.close()
