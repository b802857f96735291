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
from ivymux.server import SURPLUS, Server
from ivymux.upstream import Upstream
from orchidhill.gateway import Gateway

COUNTER_WAIT = 0.3  # seconds that the start waits for the counter's connections
LINGER = 0.6  # seconds after SIGTERM in which new connections go on coming
OTHER_SOCKETS = SURPLUS + 40  # descriptors kept for discovery, the counter, the loop and the log


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


class FrontDoor:
    """The parts of one front door, wired together."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        most = (config.sockets - OTHER_SOCKETS) // 2
        upstream = Upstream(settings.limits.connect_timeout, config.conn_idle, settings.report_columns, most)
        host = self.host = Host(Gateway(settings, config.seed), upstream)
        if settings.has_counter and config.counter is not None:
            host.counter = Counter(config.counter, settings.counter_timeout, host.post)
        names = Names(settings.zones, config.kinds)
        seq = 0
        if config.known:
            try:
                members, addresses = names.members(config.known, cached=True)
            except (KeyError, TypeError, ValueError) as error:
                raise ConfigError(f"known: {type(error).__name__}: {error}") from None
            seq = members.version
            host.members(members, addresses)
        self.discovery = Discovery(config.discovery, names, seq, host.members)
        self.server = Server(config, host, most)
        # SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
        self.drain_time = min(3.0, max((c.deadline for c in settings.classes), default=3.0)) + 0.4

    async def start(self) -> None:
        if self.host.counter is not None:
            await asyncio.wait([self.host.counter.ready], timeout=COUNTER_WAIT)
        await self.server.start()

    async def drain(self) -> None:
        """Serve on while clients still come, then finish what is held, in time for all of it."""
        began = time.monotonic()
        await asyncio.sleep(LINGER)
        self.server.stop_listening()
        while self.host.waiting and time.monotonic() - began < self.drain_time:
            await asyncio.sleep(0.01)
        self.host.answer_all()
        await self.close()

    async def close(self) -> None:
        self.server.close()
        await asyncio.sleep(0.05)  # the last answers leave
        self.discovery.close()
        if self.host.counter is not None:
            self.host.counter.close()
        self.host.upstream.close()


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    door = FrontDoor(config)
    try:
        await door.start()
    except OSError as error:
        raise ConfigError(f"cannot listen on {config.listen.host}:{config.listen.port}: {error}") from None
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be looked at again
    await terminated.wait()
    await door.drain()


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
