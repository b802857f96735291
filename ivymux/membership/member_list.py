"""Turns inventories into the decision module's membership events.  Pure: time is passed in (Unix seconds)."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b

from ivymux.data_plane.limits import Address
from ivymux.inventory.model import Worker
from orchidhill import interface as i

MAX_ENTRIES_PER_EVENT = 64  # in all events but the first, so that a large list does not delay requests
MembershipEvent = tuple[i.Members, dict[int, Address]]  # the event, and its workers' addresses by number


class MemberListError(ValueError):
    """Two workers have the same number, so the decision module could not distinguish them."""


@lru_cache(maxsize=1 << 17)
def worker_number(name: str) -> int:
    """Return the number that identifies a worker to the decision module: a hash of the worker's name.

    Every gateway computes the same number.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


@dataclass(slots=True)
class Member:
    """A worker that the decision module knows."""

    worker: Worker
    address: Address
    since: float  # Unix time of joining or of the last change of address; 0 if listed at the gateway's start


@dataclass(slots=True)
class MemberList:
    """The workers that the decision module knows, and since when."""

    members: dict[int, Member] = field(default_factory=dict)
    # Rooms and kinds by name.  Each keeps its number when others are added or removed.
    room_numbers: dict[str, int] = field(default_factory=dict)
    kind_numbers: dict[str, int] = field(default_factory=dict)
    version: int = 0

    def change(
        self, workers: tuple[Worker, ...], addresses: Mapping[str, Address], now: float, cold: bool = True
    ) -> Iterator[MembershipEvent]:
        """Return the events that lead to the list `workers`, removals first.

        `addresses` has the workers' addresses by name.  A new worker without an address is added once its
        address is known; a present member keeps its last address.  A worker whose address changes is a new
        process, so it starts cold.  `cold` is false when a gateway starts, as its workers may have been
        running for a long time.

        Raises MemberListError, without a change, if two workers have the same number.
        """
        wanted: dict[int, Worker] = {}
        for worker in workers:
            number = worker_number(worker.name)
            if number in wanted:
                other = wanted[number].name
                raise MemberListError(f"{worker.name!r} has the number of {other!r}: rename it")
            if worker.state != "out":
                wanted[number] = worker
        return self.generate_events(wanted, addresses, now, cold)

    def generate_events(
        self, wanted: dict[int, Worker], addresses: Mapping[str, Address], now: float, cold: bool
    ) -> Iterator[MembershipEvent]:
        """Yield the events for `change`, updating the members; `wanted` has the workers by number."""
        is_initial = not self.version
        # Entries of the next event.  An event with the maximum of entries is yielded before the rest of the
        # list is processed, so that a large list does not block the caller for long.
        pending: list[tuple[i.Entry, Address]] = []
        for number in [n for n in self.members if n not in wanted]:
            removed = self.members.pop(number)
            pending.append((self.build_entry(number, removed, i.State.GONE), removed.address))
            if len(pending) == MAX_ENTRIES_PER_EVENT:
                yield self.build_event(i.Listing.DELTA, pending)
                pending = []
        for number, worker in wanted.items():
            previous = self.members.get(number)
            address = addresses.get(worker.name) or (previous.address if previous else None)
            if address is None:
                continue
            is_same_process = previous is not None and previous.address == address
            since = previous.since if previous is not None and is_same_process else now if cold else 0.0
            member = Member(worker, address, since)
            if previous is not None and (previous.worker, previous.address) == (worker, address):
                continue
            self.members[number] = member
            state = i.State.DRAINING if worker.state == "draining" else i.State.READY
            pending.append((self.build_entry(number, member, state), address))
            if len(pending) == MAX_ENTRIES_PER_EVENT and not is_initial:
                yield self.build_event(i.Listing.DELTA, pending)
                pending = []
        if pending or is_initial:
            yield self.build_event(i.Listing.FULL if is_initial else i.Listing.DELTA, pending)

    def build_event(self, listing: i.Listing, pending: list[tuple[i.Entry, Address]]) -> MembershipEvent:
        """Return the event of these entries, with the next version of the list."""
        self.version += 1
        entries = tuple(entry for entry, _ in pending)
        return i.Members(listing, self.version, entries), {e.backend: a for e, a in pending}

    def build_entry(self, number: int, member: Member, state: i.State) -> i.Entry:
        """Return the decision module's entry of a member; new rooms and kinds get the next numbers."""
        worker = member.worker
        room = self.room_numbers.setdefault(worker.room, len(self.room_numbers))
        kind = self.kind_numbers.setdefault(worker.kind, len(self.kind_numbers))
        return i.Entry(number, room, member.since, state, kind, worker.bay, worker.weight)
