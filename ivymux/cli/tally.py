"""`ivymux tally`: serves the quota counters that several gateways share."""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
from pathlib import Path
from typing import Any

from ivymux.cli import fail


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser("tally", help="serve quota counters for gateways", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:6400", metavar="HOST:PORT")
    parser.add_argument(
        "--file", type=Path, help="keep the counts in this file, so that they survive a restart"
    )
    parser.add_argument("--names", type=int, default=1_000_000, help="maximum number of counters at a time")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    import uvloop

    from ivymux.cli.serve import log_to_standard_error
    from ivymux.data_plane.limits import ConfigError, parse_address
    from ivymux.tally.durable import CounterFileError

    log_to_standard_error()
    try:
        if not 1 <= args.names <= 100_000_000:
            raise ConfigError("--names is a number from 1 to 100000000")
        uvloop.run(serve(parse_address(args.listen), args.file, args.names))
    except (ConfigError, CounterFileError) as error:
        return fail(error)
    return 0


async def serve(listen: Any, file: Path | None, names: int) -> None:
    """Serve until SIGTERM or SIGINT.  Raises ConfigError, CounterFileError."""
    from ivymux.data_plane.free_address import wait_until_free
    from ivymux.data_plane.limits import ConfigError
    from ivymux.tally.durable import DurableStore
    from ivymux.tally.server import CounterServer
    from ivymux.tally.store import CounterStore

    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await wait_until_free([listen], ended)  # before the file is opened, which has one user at a time
    durable = DurableStore(file, names) if file is not None else None
    server = (
        CounterServer(durable, durable.clock) if durable is not None else CounterServer(CounterStore(names))
    )
    maintenance = loop.create_task(durable.maintain()) if durable is not None else None
    try:
        try:
            port = await server.start(listen)
        except OSError as error:
            raise ConfigError(f"cannot listen: {error}") from None
        logging.getLogger("ivymux").info("tally on %s:%d", listen.host, port)
        await ended.wait()
    finally:
        server.close()
        if maintenance is not None:
            maintenance.cancel()
        if durable is not None:
            durable.close()
