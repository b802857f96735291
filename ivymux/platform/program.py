"""The platform gateway's process: start, wiring and signals.

SIGTERM and SIGINT drain the gateway and end the process; SIGHUP reloads the configuration.
"""

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

from ivymux.data_plane.free_address import wait_until_free
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

COUNTER_WAIT_S = 0.3  # for a connection to the counter before connections are accepted
LINGER_S = 0.6  # after SIGTERM, while clients may still open connections

log = logging.getLogger("ivymux")


class LogRateLimit(logging.Filter):
    """Limits the log records per second, as an error in every request would flood the log."""

    MAX_PER_SECOND = 50

    def __init__(self) -> None:
        super().__init__()
        self.second, self.record_count = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.record_count = second, 0
        self.record_count += 1
        return self.record_count <= self.MAX_PER_SECOND


class PlatformGateway:
    """One gateway for the operators' platform: creates and connects its parts."""

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
                members, addresses = names.parse_members(config.known, cached=True)
            except (KeyError, TypeError, ValueError) as error:
                raise ConfigError(f"known: {type(error).__name__}: {error}") from None
            host.update_members(members, addresses)
        self.discovery = Discovery(config.discovery, names, host.update_members)
        frontend = PlatformFrontend(TermsReader(settings, config.most_units), self.is_ready)
        self.server = Server(frontend, config.listen, config.bounds, host)
        # After SIGTERM, SIGKILL follows no earlier than the longest deadline (at most 3 s) plus 0.7 s.
        longest_deadline = max((cls.deadline for cls in settings.classes), default=3.0)
        self.drain_timeout = min(3.0, longest_deadline) + 0.4

    def is_ready(self) -> bool:
        return not self.server.is_stopping and bool(self.host.upstream.pools)

    async def start(self) -> None:
        """Accept connections, once the counter is connected or `COUNTER_WAIT_S` is over.  Raises OSError."""
        if self.counter is not None:
            await asyncio.wait([self.counter.ready], timeout=COUNTER_WAIT_S)
        await self.server.start()

    def reload(self, env: Mapping[str, str]) -> None:
        """Change to the addresses of discovery and counter in the file; ignore an invalid file."""
        try:
            config = load(env, is_reload=True)
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

    def has_unfinished_answers(self) -> bool:
        """Whether clients still wait for answers, or read them."""
        return bool(self.host.unanswered_count) or self.server.has_unsent_answers()

    async def drain(self) -> None:
        """Serve new connections for `LINGER_S`, finish open requests within `drain_timeout`, then close."""
        started_at = time.monotonic()
        await asyncio.sleep(LINGER_S)
        self.server.stop_listening()
        while self.has_unfinished_answers() and time.monotonic() - started_at < self.drain_timeout:
            await asyncio.sleep(0.01)
        self.host.finish_all()
        await self.close()

    async def close(self) -> None:
        self.server.close()
        await asyncio.sleep(0.05)  # while the last answers are written
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        self.host.upstream.close()


async def serve(env: Mapping[str, str]) -> None:
    """Run a gateway until a signal ends it.  Raises ConfigError."""
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    gateways: list[PlatformGateway] = []  # empty until the gateway has been created

    def reload() -> None:
        for gateway in gateways:
            gateway.reload(env)

    loop.add_signal_handler(signal.SIGHUP, reload)
    config = load(env)
    await wait_until_free([config.listen], terminated)
    gateway = PlatformGateway(config)
    gateways.append(gateway)
    try:
        await gateway.start()
    except OSError as error:
        raise ConfigError(f"cannot listen on {config.listen.host}:{config.listen.port}: {error}") from None
    gc.collect()
    gc.freeze()  # objects that live as long as the process need not be collected
    await terminated.wait()
    await gateway.drain()


def main() -> int:
    """Run the gateway; return the exit code, 2 for an invalid configuration."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())
    try:
        uvloop.run(serve(os.environ))
    except ConfigError as error:
        print(f"ivymux: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0
