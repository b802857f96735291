"""Host names of workers, looked up off the hot path; the last good answer is kept."""

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

LIFE = 30.0  # seconds that an answer counts
TIMEOUT = 5.0
AT_ONCE = 16
SLICE = 512  # workers looked at before requests go between
log = logging.getLogger("ivymux")
LookUp = Callable[[str], Awaitable[list[str]]]


async def system(name: str) -> list[str]:
    """All addresses of a name, by the system's own look-up in a thread.  Raises OSError."""
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(name, None, type=socket.SOCK_STREAM)
    return sorted({str(entry[4][0]) for entry in found})


@dataclass(slots=True)
class Answer:
    address: str
    until: float


@dataclass
class Resolver:
    """Addresses of workers.  A name that can't be looked up keeps its last address."""

    look_up: LookUp = system
    life: float = LIFE
    answers: dict[str, Answer] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)

    async def resolve(self, workers: tuple[Worker, ...]) -> dict[str, Address]:
        """Addresses by worker; one whose name never had an answer is left out."""
        await self.renew_all(workers)
        return await self.known(workers)

    async def renew_all(self, workers: tuple[Worker, ...]) -> None:
        """Look up what has no answer, or one that has had its time."""
        names = {w.host for w in workers if not is_address(w.host)}
        now = time.monotonic()
        due = [n for n in names if n not in self.answers or self.answers[n].until <= now]
        gate = asyncio.Semaphore(AT_ONCE)
        await asyncio.gather(*(self.renew(name, gate) for name in due))
        for name in [n for n in self.answers if n not in names]:
            del self.answers[name]
        self.failing &= names

    async def known(self, workers: tuple[Worker, ...]) -> dict[str, Address]:
        """Addresses by worker, of answers that are there."""
        found = {}
        for number, worker in enumerate(workers):
            if number % SLICE == SLICE - 1:
                await asyncio.sleep(0)
            if not is_address(worker.host):
                if (answer := self.answers.get(worker.host)) is not None:
                    found[worker.name] = Address(answer.address, worker.port)
            else:
                found[worker.name] = Address(worker.host, worker.port)
        return found

    async def renew(self, name: str, gate: asyncio.Semaphore) -> None:
        async with gate:
            try:
                async with asyncio.timeout(TIMEOUT):
                    addresses = await self.look_up(name)
            except (OSError, TimeoutError):
                addresses = []
        known = self.answers.get(name)
        until = time.monotonic() + self.life
        if not addresses:
            if name not in self.failing:
                self.failing.add(name)
                log.warning("inventory: no address for %s%s", name, ": the last one is kept" if known else "")
            if known is not None:
                known.until = until
            return
        self.failing.discard(name)
        # Of several the known one stays: a change of address makes another, cold process of a worker.
        address = known.address if known is not None and known.address in addresses else addresses[0]
        self.answers[name] = Answer(address, until)


@lru_cache(maxsize=1 << 17)
def is_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
