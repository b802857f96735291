"""Start, wiring and signals: SIGTERM drains, SIGHUP reads the configuration again."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Mapping

import uvloop

from ivymux.data_plane.host import Host
from ivymux.data_plane.limits import ConfigError
from ivymux.data_plane.server import Server
from ivymux.data_plane.upstream import Upstream
from ivymux.platform.config import Config, load
from ivymux.platform.counter import Counter
from ivymux.platform.discovery import BackendNames, Discovery
from ivymux.platform.frontend import PlatformFrontend
from ivymux.platform.protocol_settings import TermsReader
from orchidhill.gateway import Gateway

COUNTER_WAIT_S = 0.3  # seconds that the start waits for the counter's connections
LINGER_S = 0.6  # seconds after SIGTERM in which new connections go on coming


log = logging.getLogger("ivymux")


class LogRateLimit(logging.Filter):
    """Bounds what is logged in a second: an error that comes with every request must not fill the log."""

    MAX_PER_SECOND = 50

    def __init__(self) -> None:
        super().__init__()
        self.second, self.seen = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.seen = second, 0
        self.seen += 1
        return self.seen <= self.MAX_PER_SECOND


class PlatformGateway:
    """The parts of one front door, wired together."""

    def __init__(self, config: Config) -> None:
        self.config = config
        settings = config.settings
        upstream = Upstream(
            settings.limits.connect_timeout,
            config.conn_idle,
            settings.report_columns,
            config.bounds.max_backend_connections,
        )
        host = self.host = Host(Gateway(settings, config.seed), upstream)
        self.counter: Counter | None = None
        if settings.has_counter and config.counter is not None:
            self.counter = host.counter = Counter(config.counter, settings.counter_timeout, host.post)
        names = BackendNames(settings.zones, config.kinds)
        if config.known:
            try:
                members, addresses = names.members(config.known, cached=True)
            except (KeyError, TypeError, ValueError) as error:
                raise ConfigError(f"known: {type(error).__name__}: {error}") from None
            host.update_members(members, addresses)
        self.discovery = Discovery(config.discovery, names, host.update_members)
        front = PlatformFrontend(TermsReader(settings, config.most_units), self.ready)
        self.server = Server(front, config.listen, config.bounds, host)
        # SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
        self.drain_time = min(3.0, max((c.deadline for c in settings.classes), default=3.0)) + 0.4

    def ready(self) -> bool:
        return not self.server.is_stopping and bool(self.host.upstream.pools)

    async def start(self) -> None:
        if self.counter is not None:
            await asyncio.wait([self.counter.ready], timeout=COUNTER_WAIT_S)
        await self.server.start()

    def reload(self, env: Mapping[str, str]) -> None:
        """Go over to the addresses that the file names now; a file that cannot be served changes nothing."""
        try:
            config = load(env, again=True)
            if config.settings.has_counter != self.config.settings.has_counter:
                raise ConfigError("whether there is a counter changes only with a restart")
        except ConfigError as error:
            log.error("the configuration stays as it was: %s", " ".join(str(error).split()))
            return
        if (config.settings, config.listen) != (self.config.settings, self.config.listen):
            log.warning("other settings or another address to listen on need a restart")
        self.discovery.change_address(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.change_address(config.counter)

    async def drain(self) -> None:
        """Serve on while clients still come, then finish what is held, in time for all of it."""
        began = time.monotonic()
        await asyncio.sleep(LINGER_S)
        self.server.stop_listening()
        while self.host.unanswered_count and time.monotonic() - began < self.drain_time:
            await asyncio.sleep(0.01)
        self.host.finish_all()
        await self.close()

    async def close(self) -> None:
        self.server.close()
        await asyncio.sleep(0.05)  # the last answers leave
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        self.host.upstream.close()


async def serve(env: Mapping[str, str]) -> None:
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    doors: list[PlatformGateway] = []

    def reload() -> None:
        for door in doors:
            door.reload(env)

    loop.add_signal_handler(signal.SIGHUP, reload)
    config = load(env)
    door = PlatformGateway(config)
    doors.append(door)
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
        handler.addFilter(LogRateLimit())
    try:
        uvloop.run(serve(os.environ))
    except ConfigError as error:
        print(f"ivymux: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0
