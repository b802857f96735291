"""What a door knows of backends, doors and core machines: the words of all its registries, put together.
Pure.

Each registry tells what it heard itself; they do not copy one another.  Of a backend the word with the
highest `call_seq` counts, its end before all.  A backend that no connected registry knows is kept for a
while: its own registry may have just gone, and its calls go to another one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

ORPHAN = 6.0  # seconds for which a backend is kept that no connected registry knows
END_KEPT = 120.0  # and for which an ended id is
UP, QUIESCING, LOST, OFF = "up", "quiescing", "lost", "off"


class RollError(ValueError):
    """News that no correct registry sends."""


@dataclass(slots=True)
class Backend:
    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str
    seq: int
    warm_until: float
    number: int  # this door's own, for its module
    seen_at: float = 0.0  # when a connected registry last had it
    sources: dict[str, tuple[int, str]] = field(default_factory=dict)  # seq and state by registry


@dataclass(frozen=True, slots=True)
class DoorPlace:
    """A door, as a registry tells of it."""

    address: str
    port: int
    zone: str
    came: float  # since when it is there, steady seconds of the door that hears it

    @classmethod
    def read(cls, told: Any, now: float) -> DoorPlace:
        _, address, port, zone, age = told
        return cls(str(address), int(port), str(zone), now - max(0.0, float(age)))


@dataclass(slots=True)
class Source:
    """One registry, as it is connected now."""

    run: str = ""
    number: int = 0
    doors: dict[str, DoorPlace] = field(default_factory=dict)
    up: bool = False


class Roll:
    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.by_number: dict[int, Backend] = {}
        self.sources: dict[str, Source] = {}
        self.next = 0
        self.changed: dict[int, Backend] = {}  # since the last `take`
        self.doors_changed = False

    def source(self, name: str) -> Source:
        return self.sources.setdefault(name, Source())

    def snapshot(
        self, name: str, run: str, number: int, whole: bool, lines: Any, doors: Any, now: float
    ) -> None:
        """A registry's first word on a connection: all it has, or what changed since its last one."""
        source = self.source(name)
        source.run, source.number, source.up = run, number, True
        source.doors = {str(d[0]): DoorPlace.read(d, now) for d in doors}
        self.doors_changed = True
        if whole:
            for backend in self.backends.values():
                if backend.sources.pop(name, None) is not None:
                    self.judge(backend, now)
        self.lines(name, lines, now)

    def news(self, name: str, start: int, number: int, lines: Any, now: float) -> bool:
        """Numbered changes; False where some before them are missing."""
        source = self.source(name)
        if start != source.number:
            return False
        source.number = number
        self.lines(name, lines, now)
        return True

    def lines(self, name: str, lines: Any, now: float) -> None:
        try:
            for id, service, address, zone, capacity, state, seq, warm in lines:
                self.line(name, str(id), str(service), str(address), str(zone), int(capacity), str(state),
                          int(seq), now + float(warm), now)  # fmt: skip
        except (TypeError, ValueError) as error:
            raise RollError(f"a backend's line: {error}") from None

    def line(
        self, name: str, id: str, service: str, address: str, zone: str, capacity: int, state: str, seq: int,
        warm_until: float, now: float,
    ) -> None:  # fmt: skip
        found = self.backends.get(id)
        if found is None:
            self.next += 1
            found = Backend(id, service, address, zone, capacity, state, seq, warm_until, self.next)
            self.backends[id] = self.by_number[self.next] = found
            self.changed[found.number] = found
        elif seq >= found.seq and state != OFF and found.state != OFF:
            if (found.service, found.address) != (service, address):
                self.changed[found.number] = found
            found.service, found.address, found.zone, found.capacity = service, address, zone, capacity
        found.sources[name] = (seq, state)
        found.seen_at = now
        self.judge(found, now)

    def judge(self, backend: Backend, now: float) -> None:
        """The state that all words together give."""
        was = backend.state
        if was == OFF:
            return
        words = [word for source, word in backend.sources.items() if self.source(source).up]
        if any(state == OFF for _, state in backend.sources.values()):
            state = OFF
        elif not words:
            state = was
        else:
            seq = max(backend.seq, *(seq for seq, _ in words))
            newest = [state for s, state in words if s == seq]
            if was == QUIESCING or QUIESCING in newest:
                state = QUIESCING
            elif not newest:
                state = was  # who heard of it last is not connected: its word stands
            else:
                state = UP if UP in newest else LOST
            backend.seq = seq
        if state != was:
            backend.state = state
            self.changed[backend.number] = backend

    def lost(self, name: str, now: float) -> None:
        """The connection to a registry has ended."""
        source = self.source(name)
        source.up, source.doors, self.doors_changed = False, {}, True
        for backend in self.backends.values():
            if name in backend.sources:
                backend.seen_at = now

    def sweep(self, now: float) -> None:
        """Backends that nobody knows any more; only while some registry is connected."""
        if not any(s.up for s in self.sources.values()):
            return
        for backend in list(self.backends.values()):
            if any(self.source(name).up for name in backend.sources):
                backend.seen_at = now if backend.state not in (OFF, LOST) else backend.seen_at
                if backend.state not in (OFF, LOST):
                    continue
            quiet = now - backend.seen_at
            if backend.state in (UP, QUIESCING) and quiet > ORPHAN:
                backend.state = LOST
                self.changed[backend.number] = backend
            elif backend.state in (OFF, LOST) and quiet > END_KEPT:
                del self.backends[backend.id], self.by_number[backend.number]

    def take(self) -> list[Backend]:
        """What changed since the last look."""
        changed, self.changed = list(self.changed.values()), {}
        return changed

    def told_doors(self, name: str, come: Any, gone: Any, now: float) -> None:
        """A registry's word on doors that have come, and on the ids of those that have gone."""
        source = self.source(name)
        for door in come:
            source.doors[str(door[0])] = DoorPlace.read(door, now)
        for id in gone:
            source.doors.pop(str(id), None)
        self.doors_changed = True

    def doors(self) -> dict[str, DoorPlace]:
        """All doors that some connected registry sees, by id: as who has seen them for longest tells."""
        found: dict[str, DoorPlace] = {}
        for source in self.sources.values():
            if source.up:
                for id, place in source.doors.items():
                    if id not in found or place.came < found[id].came:
                        found[id] = place
        return found

    def in_touch(self) -> bool:
        return any(source.up for source in self.sources.values())
