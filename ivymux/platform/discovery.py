"""Discovery: the watch on the list of backends, and their names as the module's ids."""

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

MAX_LINE_BYTES = 4 << 20  # bytes of one line; a longer one ends the watch
WATCH_SILENCE_S = 7.0  # seconds: an empty line comes every 2 s while the agent is well
LIST_TIMEOUT_S = 1.0  # seconds: the whole list comes at once, or, asked for while discovery is down, never
RETRY_MIN_S, RETRY_MAX_S = 0.1, 0.5  # seconds between attempts to watch
CONNECT_TIMEOUT_S = 1.0
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}

log = logging.getLogger(__name__)
OnMembers = Callable[[Members, dict[int, Address]], None]


def backend_id(name: str) -> int:
    """The module's id of a backend, derived from the name alone so that every front door has the same."""
    prefix, _, digits = name.partition("-")
    if prefix == "s" and len(digits) == 8 and all(c in "0123456789abcdef" for c in digits):
        return int(digits, 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class BackendNames:
    """Turns discovery's lines into the module's lists."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.hosts: dict[int, str] = {}  # two names with one id would be taken for one backend

    def entry(self, raw: Any) -> tuple[Entry, Address]:
        state = STATES[raw["health"]]
        name = str(raw["host"])
        number = backend_id(name)
        if self.hosts.setdefault(number, name) != name:
            raise ValueError(f"{name} has the id of {self.hosts[number]}")
        return Entry(
            backend=number,
            zone=self.zones[settings_text(raw["site"])],
            started=float(raw["born_ms"]) / 1000,
            state=state,
            kind=self.kinds[settings_text(raw["class"])],
            cell=int(raw["block"]),
            weight=float(raw["share"]),
        ), parse_address(raw["dial"])

    def members(self, raw: Any, cached: bool = False) -> tuple[Members, dict[int, Address]]:
        """One line as a list or a change; entries that make no sense are logged and left out."""
        if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
            raise ValueError("not a list of hosts")
        listing = Listing.CACHED if cached else Listing.FULL if raw.get("whole") else Listing.DELTA
        version = int(raw["seq"])
        known = self.hosts
        if listing is not Listing.DELTA:
            self.hosts = {}
        entries, addresses = [], {}
        for item in raw["hosts"]:
            try:
                entry, address = self.entry(item)
            except (ConfigError, KeyError, TypeError, ValueError) as error:
                log.warning("discovery: entry skipped: %s: %s", type(error).__name__, error)
                continue
            entries.append(entry)
            addresses[entry.backend] = address
            if entry.state is State.GONE:
                del self.hosts[entry.backend]  # ids are ever new: kept ones would pile up
        if raw["hosts"] and not entries and listing is not Listing.DELTA:
            self.hosts = known
            raise ValueError("no entry can be read")  # must not empty the fleet
        return Members(listing, version, tuple(entries)), addresses


class WatchConnection(asyncio.Protocol):
    """One connection: the whole list first, then a watch, a chunked answer with one JSON object a line.

    The whole list comes first each time, as the version to go on from may mean nothing to this agent.
    """

    def __init__(self, source: DiscoverySource) -> None:
        self.source = source
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.is_watching = False
        self.buffer = b""
        self.closed: asyncio.Future[None] = source.owner.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.send_request("/api/targets")

    def silence_timeout(self) -> float:
        """Seconds of silence after which it is broken."""
        return WATCH_SILENCE_S if self.is_watching else LIST_TIMEOUT_S

    def send_request(self, target: str) -> None:
        assert self.transport is not None
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.source.last_received_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # framing is lost
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
            self.end("a line without an end")

    def on_message_complete(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_watching:
            self.transport.close()
        elif not self.source.handle_line(self.buffer):
            self.end("no whole list")
        else:
            self.is_watching, self.buffer = True, b""
            self.send_request(f"/api/targets?watch=1&from={self.source.version}")

    def end(self, why: str) -> None:
        log.warning("discovery: watch ended: %s", why)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)


class DiscoverySource:
    """One agent's address, watched until it is closed."""

    def __init__(self, owner: Discovery, address: Address) -> None:
        self.owner, self.address = owner, address
        self.version = -1  # of the last list or change; each agent may count on its own
        self.last_received_at = 0.0
        self.task = owner.loop.create_task(self.run())

    async def run(self) -> None:
        wait = RETRY_MIN_S
        while True:
            began = time.monotonic()
            with contextlib.suppress(OSError, TimeoutError):
                await self.watch()
            # One that lasted was well: come back at once; one that did not must not be hammered.
            wait = RETRY_MIN_S if time.monotonic() - began > 2 * RETRY_MAX_S else min(RETRY_MAX_S, 2 * wait)
            await asyncio.sleep(wait)

    async def watch(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, watch = await self.owner.loop.create_connection(
                lambda: WatchConnection(self), self.address.host, self.address.port
            )
        self.last_received_at = time.monotonic()
        try:
            # A vanished peer says nothing, not even that it is gone: silence ends the watch too.  What the
            # agent has counts as told: asked while discovery was down it must be asked anew soon after.
            while (left := self.last_received_at + watch.silence_timeout() - time.monotonic()) > 0:
                await asyncio.wait([watch.closed], timeout=left)
                if watch.closed.done():
                    return
        finally:
            if watch.transport is not None:
                watch.transport.abort()

    def handle_line(self, line: bytes) -> bool:
        """Tell of a list or a change; false for what is neither a whole list nor known to follow one."""
        try:
            members, addresses = self.owner.names.members(json.loads(line))
        except (KeyError, TypeError, ValueError) as error:
            log.warning("discovery: line skipped: %s: %s", type(error).__name__, error)
            return False
        if members.listing is Listing.DELTA and members.version <= self.version:
            return False  # a change that is known already
        if members.listing is Listing.FULL:
            self.owner.promote(self)
        elif self.version < 0 or self is not self.owner.sources[0]:
            return False  # a change to a list that was never told
        self.version = members.version
        self.owner.on_members(members, addresses)
        return True


class Discovery:
    """Keeps a watch open and tells of every list and change."""

    def __init__(self, address: Address, names: BackendNames, heard: OnMembers) -> None:
        self.names, self.on_members = names, heard
        self.loop = asyncio.get_running_loop()
        self.sources = [DiscoverySource(self, address)]  # the one in use, then one that is to take over

    def change_address(self, address: Address) -> None:
        """Watch another address.  The list stays, and the old watch is heard, until a whole list comes."""
        if address != self.sources[-1].address:
            for source in self.sources[1:]:
                source.task.cancel()
            self.sources[1:] = [DiscoverySource(self, address)]

    def promote(self, source: DiscoverySource) -> None:
        while self.sources[0] is not source:
            self.sources.pop(0).task.cancel()

    def close(self) -> None:
        for source in self.sources:
            source.task.cancel()
