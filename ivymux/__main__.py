"""Start, wiring and SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time

import uvloop

from ivymux.config import Config, ConfigError, load
from ivymux.counter import Counter
from ivymux.discovery import Discovery, Names
from ivymux.host import Host
from ivymux.server import Server
from ivymux.upstream import Upstream
from orchidhill.gateway import Gateway

COUNTER_WAIT = 0.3  # seconds that the start waits for the counter's connections
LINGER = 0.6  # seconds after SIGTERM in which new connections go on coming
DRAIN = 3.4  # seconds after SIGTERM by which all that is held has been answered
OTHER_SOCKETS = 40  # descriptors kept for discovery, the counter, the loop and the log


class Steady(logging.Filter):
    """Bounds what is logged in a second: an error that comes with every request must not fill the log."""

    MOST = 50

    def __init__(self) -> None:
        super().__init__()
        self.second, self.seen = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.seen = second, 0
        self.seen += 1
        return self.seen <= self.MOST


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    loop.add_signal_handler(signal.SIGINT, terminated.set)

    settings = config.settings
    most = (config.sockets - OTHER_SOCKETS) // 2
    upstream = Upstream(settings.limits.connect_timeout, config.conn_idle, settings.report_columns, most)
    host = Host(Gateway(settings, config.seed), upstream)
    if settings.has_counter and config.counter is not None:
        host.counter = Counter(config.counter, settings.counter_timeout, host.post)
    names = Names(settings.zones, config.kinds)
    seq = 0
    if config.known:
        try:
            members, addresses = names.members(config.known, cached=True)
        except (KeyError, TypeError, ValueError) as error:
            raise ConfigError(f"known: {error}") from None
        seq = members.version
        host.members(members, addresses)
    discovery = Discovery(config.discovery, names, seq, host.members)
    if host.counter is not None:
        await asyncio.wait([host.counter.ready], timeout=COUNTER_WAIT)
    server = Server(config, host, most)
    try:
        await server.start()
    except OSError as error:
        raise ConfigError(f"cannot listen on {config.listen.host}:{config.listen.port}: {error}") from None
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be looked at again

    await terminated.wait()
    began = time.monotonic()
    await asyncio.sleep(LINGER)
    server.stop_listening()
    while host.waiting and time.monotonic() - began < DRAIN:
        await asyncio.sleep(0.01)
    host.answer_all()
    server.close()
    await asyncio.sleep(0.05)  # the last answers leave
    discovery.close()
    if host.counter is not None:
        host.counter.close()
    upstream.close()


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(Steady())
    try:
        uvloop.run(serve(load(os.environ)))
    except ConfigError as error:
        print(f"ivymux: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
