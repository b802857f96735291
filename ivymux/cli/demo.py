"""`ivymux demo`: a gateway with stand-in workers and the sample description of a minutes service."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import logging
import secrets
import signal
import sys
import tempfile
from importlib import resources
from pathlib import Path
from typing import Any

from ivymux.cli import fail

SITE_TEMPLATE = """\
listen = "{listen}"

[description]
file = "minutes.yaml"

[keyed]
memory = 6.0
scope = "bay"

[plans.community]
rate = 2.0
burst = 10

[plans.council]
rate = 20.0
burst = 40
ceiling = {{ rate = 40.0, burst = 80 }}

[[callers.keys]]
customer = "a-community-group"
plan = "community"
hash = "{first}"

[[callers.keys]]
customer = "a-council"
plan = "council"
hash = "{second}"
"""
WORKER_TEMPLATE = """
[[workers]]
name = "worker-{number}"
address = "{address}"
bay = {bay}
"""


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser("demo", help="start a gateway with stand-in workers", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:8080", metavar="HOST:PORT")
    parser.add_argument("--workers", type=int, default=3, metavar="N", help="stand-in workers, 1 to 20")
    parser.add_argument("--seconds", type=float, default=0.0, help="stop after this time; 0: on Ctrl-C")
    parser.add_argument("--dir", type=Path, help="write site.toml and minutes.yaml there and keep them")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    import uvloop

    from ivymux.data_plane.limits import ConfigError
    from ivymux.routes.model import DescriptionError
    from ivymux.service.compiler import CompilerError

    if not 1 <= args.workers <= 20:
        return fail("--workers: write a number from 1 to 20")
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING, format="%(levelname)s: %(message)s")
    try:
        uvloop.run(demo(args))
    except (ConfigError, DescriptionError, CompilerError, OSError) as error:
        return fail(f"{error}; choose another address by --listen" if "listen" in str(error) else error)
    return 0


async def demo(args: argparse.Namespace) -> None:
    """Start the workers and the gateway; serve until a signal or the end of `--seconds`."""
    from ivymux.service.callers import KEY_PREFIX, hash_key
    from ivymux.service.standalone import open_standalone
    from standins.worker import Worker

    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    keys = [KEY_PREFIX + secrets.token_urlsafe(12) for _ in range(2)]
    workers = [await Worker(bay=number % 2).start() for number in range(args.workers)]
    with contextlib.ExitStack() as stack:
        folder = args.dir or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="ivymux-demo-")))
        folder.mkdir(parents=True, exist_ok=True)
        hashes = [hash_key(key.encode()) for key in keys]
        text = SITE_TEMPLATE.format(listen=args.listen, first=hashes[0], second=hashes[1]) + "".join(
            WORKER_TEMPLATE.format(number=n + 1, address=w.address, bay=w.bay) for n, w in enumerate(workers)
        )
        (folder / "site.toml").write_text(text)
        sample = resources.files("ivymux.demo") / "minutes.yaml"
        (folder / "minutes.yaml").write_text(sample.read_text())
        gateway = await open_standalone(folder / "site.toml")
        try:
            await gateway.start()
            print(usage_text(f"http://{gateway.site.listen.host}:{gateway.port}", keys, folder), flush=True)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(args.seconds or None):
                    await ended.wait()
        finally:
            await gateway.close()
            for worker in workers:
                worker.stop()


def usage_text(base: str, keys: list[str], folder: Path) -> str:
    """Return what the demo prints: requests to try, with the keys of its two customers."""
    return f"""\
A gateway serves {base}; its site file and description are in {folder}

  curl -i -H 'X-API-Key: {keys[0]}' '{base}/v1/meetings?limit=100'
  curl -i -H 'X-API-Key: {keys[1]}' -X POST -d '{{}}' {base}/v1/meetings/7/minutes
  curl -i -H 'X-API-Key: {keys[1]}' -X DELETE {base}/v1/meetings/7

The first is a read of 2 units, the second is never sent twice, the third is not in the description.
The first key's quota is 2 units a second and 10 at once. Ctrl-C ends it."""
