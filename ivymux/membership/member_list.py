"""From lists of workers to the module's membership events.  Pure: time is passed in (Unix seconds)."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b

from ivymux.data_plane.limits import Address
from ivymux.inventory.model import Worker
from orchidhill import interface as i

SLICE = 64  # workers in one event: a large list must not hold up requests
Step = tuple[i.Members, dict[int, Address]]


class RosterError(ValueError):
    """Workers that the module could not tell apart."""


@lru_cache(maxsize=1 << 17)
def worker_number(name: str) -> int:
    """The module's number of a worker, the same at every front door."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


@dataclass(slots=True)
class Known:
    worker: Worker
    address: Address
    since: float  # when it joined or moved, 0 for at the start


@dataclass(slots=True)
class Roster:
    """The workers that the module was told of, and since when."""

    known: dict[int, Known] = field(default_factory=dict)
    rooms: dict[str, int] = field(default_factory=dict)  # a room keeps its number when others come and go
    kinds: dict[str, int] = field(default_factory=dict)
    version: int = 0

    def change(
        self, workers: tuple[Worker, ...], addresses: Mapping[str, Address], now: float, cold: bool = True
    ) -> Iterator[Step]:
        """The events that lead to a list, those that leave first.  Raises RosterError, changing nothing.

        `addresses` by name; a worker without one is not known yet and comes later, one that was known
        keeps its last.  A worker at another address is another process: it begins cold.  `cold` false:
        at the start of a front door nothing says that workers have just begun.
        """
        wanted: dict[int, Worker] = {}
        for worker in workers:
            number = worker_number(worker.name)
            if number in wanted:
                other = wanted[number].name
                raise RosterError(f"{worker.name!r} has the number of {other!r}: rename it")
            if worker.state != "out":
                wanted[number] = worker
        return self.steps(wanted, addresses, now, cold)

    def steps(
        self, wanted: dict[int, Worker], addresses: Mapping[str, Address], now: float, cold: bool
    ) -> Iterator[Step]:
        first = not self.version
        listed: list[tuple[i.Entry, Address]] = []  # not yet yielded: a large list is looked at bit by bit
        for number in [n for n in self.known if n not in wanted]:
            known = self.known.pop(number)
            listed.append((self.entry(number, known, i.State.GONE), known.address))
            if len(listed) == SLICE:
                yield self.event(i.Listing.DELTA, listed)
                listed = []
        for number, worker in wanted.items():
            before = self.known.get(number)
            address = addresses.get(worker.name) or (before.address if before else None)
            if address is None:
                continue
            stayed = before is not None and before.address == address
            since = before.since if before is not None and stayed else now if cold else 0.0
            known = Known(worker, address, since)
            if before is not None and (before.worker, before.address) == (worker, address):
                continue
            self.known[number] = known
            state = i.State.DRAINING if worker.state == "draining" else i.State.READY
            listed.append((self.entry(number, known, state), address))
            if len(listed) == SLICE and not first:
                yield self.event(i.Listing.DELTA, listed)
                listed = []
        if listed or first:
            yield self.event(i.Listing.FULL if first else i.Listing.DELTA, listed)

    def event(self, listing: i.Listing, listed: list[tuple[i.Entry, Address]]) -> Step:
        self.version += 1
        entries = tuple(entry for entry, _ in listed)
        return i.Members(listing, self.version, entries), {e.backend: a for e, a in listed}

    def entry(self, number: int, known: Known, state: i.State) -> i.Entry:
        worker = known.worker
        room = self.rooms.setdefault(worker.room, len(self.rooms))
        kind = self.kinds.setdefault(worker.kind, len(self.kinds))
        return i.Entry(number, room, known.since, state, kind, worker.bay, worker.weight)
