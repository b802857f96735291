"""Client of the discovery agent: watches the list of backends and maps their names to ids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, cast

import httptools

from ivymux.data_plane.limits import Address, ConfigError, parse_address
from ivymux.platform.config import settings_text
from orchidhill.interface import Entry, Listing, Members, State

MAX_LINE_BYTES = 4 << 20  # a longer line ends the watch
WATCH_SILENCE_S = 7.0  # without any byte, after which a watch is broken: a healthy agent sends every 2 s
LIST_TIMEOUT_S = 1.0  # for the whole list, which comes at once, or never if discovery is down
RETRY_MIN_S, RETRY_MAX_S = 0.1, 0.5  # between attempts to watch
CONNECT_TIMEOUT_S = 1.0
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}

log = logging.getLogger(__name__)
OnMembers = Callable[[Members, dict[int, Address]], None]


def backend_id(name: str) -> int:
    """Return a backend's id, which depends on its name only, so that all gateways use the same id."""
    prefix, _, digits = name.partition("-")
    if prefix == "s" and len(digits) == 8 and all(c in "0123456789abcdef" for c in digits):
        return int(digits, 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class BackendNames:
    """Converts the agent's lists of named backends into lists of ids for the decision module."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.name_by_id: dict[int, str] = {}  # to detect two names with the same id

    def parse_entry(self, raw: Any) -> tuple[Entry, Address]:
        """Convert one backend.  Raises ConfigError, KeyError, TypeError or ValueError."""
        state = STATES[raw["health"]]
        name = str(raw["host"])
        backend = backend_id(name)
        if self.name_by_id.setdefault(backend, name) != name:
            raise ValueError(f"{name} has the id of {self.name_by_id[backend]}")
        return Entry(
            backend=backend,
            zone=self.zones[settings_text(raw["site"])],
            started=float(raw["born_ms"]) / 1000,
            state=state,
            kind=self.kinds[settings_text(raw["class"])],
            cell=int(raw["block"]),
            weight=float(raw["share"]),
        ), parse_address(raw["dial"])

    def parse_members(self, raw: Any, cached: bool = False) -> tuple[Members, dict[int, Address]]:
        """Convert a whole list or a change of it; invalid entries are logged and skipped.

        `cached`: the list comes from the configuration.  Raises KeyError, TypeError or ValueError.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
            raise ValueError("not a list of hosts")
        listing = Listing.CACHED if cached else Listing.FULL if raw.get("whole") else Listing.DELTA
        version = int(raw["seq"])
        previous = self.name_by_id
        if listing is not Listing.DELTA:
            self.name_by_id = {}
        entries, addresses = [], {}
        for item in raw["hosts"]:
            try:
                entry, address = self.parse_entry(item)
            except (ConfigError, KeyError, TypeError, ValueError) as error:
                log.warning("discovery: entry skipped: %s: %s", type(error).__name__, error)
                continue
            entries.append(entry)
            addresses[entry.backend] = address
            if entry.state is State.GONE:
                del self.name_by_id[entry.backend]  # new backends have new ids, so the map would grow
        if raw["hosts"] and not entries and listing is not Listing.DELTA:
            self.name_by_id = previous
            raise ValueError("no entry is valid")  # an unreadable list must not remove all backends
        return Members(listing, version, tuple(entries)), addresses


class WatchConnection(asyncio.Protocol):
    """One connection to an agent: requests the whole list, then a watch on its changes.

    The watch is a chunked answer with one JSON object per line.  Each connection begins with the whole list,
    as agents may number their versions differently.
    """

    def __init__(self, source: DiscoverySource) -> None:
        self.source = source
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.is_watching = False  # whether the whole list has been received
        self.buffer = b""  # an incomplete line, or an incomplete list
        self.closed: asyncio.Future[None] = source.owner.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.send_request("/api/targets")

    def silence_timeout(self) -> float:
        """Return the seconds without any byte after which the connection counts as broken."""
        return WATCH_SILENCE_S if self.is_watching else LIST_TIMEOUT_S

    def send_request(self, target: str) -> None:
        assert self.transport is not None
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.source.last_received_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # later bytes can't be parsed either
            self.end(str(error))

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.end(f"answered {self.parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        if self.is_watching:
            *lines, self.buffer = (self.buffer + body).split(b"\n")
            for line in lines:
                if line.strip():
                    self.source.handle_line(line)
        else:
            self.buffer += body
        if len(self.buffer) > MAX_LINE_BYTES:
            self.buffer = b""
            self.end(f"a line longer than {MAX_LINE_BYTES} bytes")

    def on_message_complete(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_watching:
            self.transport.close()
        elif not self.source.handle_line(self.buffer):
            self.end("no valid list")
        else:
            self.is_watching, self.buffer = True, b""
            self.send_request(f"/api/targets?watch=1&from={self.source.version}")

    def end(self, reason: str) -> None:
        """Log why the watch ends, and close the connection."""
        log.warning("discovery: watch ended: %s", reason)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)


class DiscoverySource:
    """One agent's address, which is watched until `task` is cancelled."""

    def __init__(self, owner: Discovery, address: Address) -> None:
        self.owner, self.address = owner, address
        self.version = -1  # of the last list or change; agents may use different version numbers
        self.last_received_at = 0.0
        self.task = owner.loop.create_task(self.run())

    async def run(self) -> None:
        """Watch repeatedly; the delay between watches grows while they end quickly, to spare the agent."""
        retry_delay = RETRY_MIN_S
        while True:
            started_at = time.monotonic()
            with contextlib.suppress(OSError, TimeoutError):
                await self.watch()
            has_lasted = time.monotonic() - started_at > 2 * RETRY_MAX_S
            retry_delay = RETRY_MIN_S if has_lasted else min(RETRY_MAX_S, 2 * retry_delay)
            await asyncio.sleep(retry_delay)

    async def watch(self) -> None:
        """Connect and watch until the connection ends or is silent.  Raises OSError, TimeoutError."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, watch = await self.owner.loop.create_connection(
                lambda: WatchConnection(self), self.address.host, self.address.port
            )
        self.last_received_at = time.monotonic()
        try:
            # A failed machine never closes its connections, so silence ends the watch too.  An agent that
            # was asked for the list while discovery was down never answers: it treats the list that it
            # receives later as already sent.  A new connection therefore has to ask again soon.
            while (time_left := self.last_received_at + watch.silence_timeout() - time.monotonic()) > 0:
                await asyncio.wait([watch.closed], timeout=time_left)
                if watch.closed.done():
                    return
        finally:
            if watch.transport is not None:
                watch.transport.abort()

    def handle_line(self, line: bytes) -> bool:
        """Pass on a whole list or a change that follows one; return False for anything else."""
        try:
            members, addresses = self.owner.names.parse_members(json.loads(line))
        except (KeyError, TypeError, ValueError) as error:
            log.warning("discovery: line skipped: %s: %s", type(error).__name__, error)
            return False
        if members.listing is Listing.DELTA and members.version <= self.version:
            return False  # an old change
        if members.listing is Listing.FULL:
            self.owner.promote(self)
        elif self.version < 0 or self is not self.owner.sources[0]:
            return False  # a change of a list that was not received from this agent
        self.version = members.version
        self.owner.on_members(members, addresses)
        return True


class Discovery:
    """Keeps a watch open and calls `on_members` for every list and change."""

    def __init__(self, address: Address, names: BackendNames, on_members: OnMembers) -> None:
        self.names, self.on_members = names, on_members
        self.loop = asyncio.get_running_loop()
        # The source in use, and after a change of address the one that will replace it.
        self.sources = [DiscoverySource(self, address)]

    def change_address(self, address: Address) -> None:
        """Watch another address; the old one is used until the new one has sent a whole list."""
        if address != self.sources[-1].address:
            for source in self.sources[1:]:
                source.task.cancel()
            self.sources[1:] = [DiscoverySource(self, address)]

    def promote(self, source: DiscoverySource) -> None:
        """Use a source and close those before it."""
        while self.sources[0] is not source:
            self.sources.pop(0).task.cancel()

    def close(self) -> None:
        for source in self.sources:
            source.task.cancel()
