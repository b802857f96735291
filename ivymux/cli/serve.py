"""`ivymux serve`: a standalone front door."""

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


def add(verbs: Any) -> None:
    verb = verbs.add_parser("serve", help="serve a site", description=__doc__)
    verb.add_argument("site", type=Path, metavar="SITE.toml")
    verb.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    # The default would end the process; what a signal asks before the loop hears it is read anyway.
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
    """At a bounded pace."""
    from ivymux.platform.program import LogRateLimit

    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())


async def serve(path: Path) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reads the site and its description again."""
    from ivymux.service.standalone import open_standalone

    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    door = await open_standalone(path)
    try:
        await door.start()
        loop.add_signal_handler(signal.SIGHUP, lambda: door.start_task(door.reload()))
        logging.getLogger("ivymux").info("serving on %s:%d", door.site.listen.host, door.port)
        gc.collect()
        gc.freeze()  # what lives as long as the process need not be looked at again
        await ended.wait()
        await door.drain()
    finally:
        await door.close()
