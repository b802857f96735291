"""Resolves workers' host names outside the request path and keeps the last good answer."""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import lru_cache

from ivymux.data_plane.limits import Address
from ivymux.inventory.model import Worker

CACHE_LIFETIME_S = 30.0
LOOKUP_TIMEOUT_S = 5.0
MAX_CONCURRENT_LOOKUPS = 16
WORKERS_PER_STEP = 512  # processed before pending requests get the event loop
log = logging.getLogger("ivymux")
LookUp = Callable[[str], Awaitable[list[str]]]


async def system_look_up(name: str) -> list[str]:
    """Return all addresses of a name, resolved by the system in a thread.  Raises OSError."""
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(name, None, type=socket.SOCK_STREAM)
    return sorted({str(entry[4][0]) for entry in found})


@dataclass(slots=True)
class Answer:
    """The cached address of a host name."""

    address: str
    expires_at: float  # monotonic seconds


@dataclass
class Resolver:
    """Resolves workers' addresses.  A name whose look-up fails keeps its last address."""

    look_up: LookUp = system_look_up
    lifetime_s: float = CACHE_LIFETIME_S
    answers: dict[str, Answer] = field(default_factory=dict)
    failing_names: set[str] = field(default_factory=set)

    async def resolve(self, workers: tuple[Worker, ...]) -> dict[str, Address]:
        """Return addresses by worker name, after a refresh; a worker that never resolved is left out."""
        await self.refresh(workers)
        return await self.cached_addresses(workers)

    async def refresh(self, workers: tuple[Worker, ...]) -> None:
        """Look up the names that have no answer or an expired one."""
        names = {w.host for w in workers if not is_address(w.host)}
        now = time.monotonic()
        due = [n for n in names if n not in self.answers or self.answers[n].expires_at <= now]
        limit = asyncio.Semaphore(MAX_CONCURRENT_LOOKUPS)
        await asyncio.gather(*(self.refresh_name(name, limit) for name in due))
        for name in [n for n in self.answers if n not in names]:
            del self.answers[name]
        self.failing_names &= names

    async def cached_addresses(self, workers: tuple[Worker, ...]) -> dict[str, Address]:
        """Return addresses by worker name from the cached answers, without a look-up."""
        addresses = {}
        for index, worker in enumerate(workers):
            if index % WORKERS_PER_STEP == WORKERS_PER_STEP - 1:
                await asyncio.sleep(0)
            if not is_address(worker.host):
                if (answer := self.answers.get(worker.host)) is not None:
                    addresses[worker.name] = Address(answer.address, worker.port)
            else:
                addresses[worker.name] = Address(worker.host, worker.port)
        return addresses

    async def refresh_name(self, name: str, limit: asyncio.Semaphore) -> None:
        """Look up a name; after a failure its cached answer, if any, is valid for another lifetime."""
        async with limit:
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                    addresses = await self.look_up(name)
            except (OSError, TimeoutError):
                addresses = []
        cached = self.answers.get(name)
        expires_at = time.monotonic() + self.lifetime_s
        if not addresses:
            if name not in self.failing_names:
                self.failing_names.add(name)
                log.warning(
                    "inventory: no address for %s%s", name, "; using the last known address" if cached else ""
                )
            if cached is not None:
                cached.expires_at = expires_at
            return
        self.failing_names.discard(name)
        # The present address is kept if it is still valid, because a worker with a new address counts as a
        # new process that starts cold.
        address = cached.address if cached is not None and cached.address in addresses else addresses[0]
        self.answers[name] = Answer(address, expires_at)


@lru_cache(maxsize=1 << 17)
def is_address(host: str) -> bool:
    """Whether a host is an IP address, which needs no look-up."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
