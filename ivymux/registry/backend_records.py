"""Which backends one registry has heard of.  Pure: steady time is passed in.

A backend's life has an id of its own.  `call_seq` orders its calls, a DELETE ends the id for good.  Silence
makes a record `lost`, which a later call takes back; what changes is numbered, and kept for doors that come
again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

UP, QUIESCING, LOST, OFF = "up", "quiescing", "lost", "off"
STATES = {"in_service": UP, "quiescing": QUIESCING}
MAX_RECORDS = 20_000
MAX_NEWS = 4_000  # changes that are kept for doors that come again
TOMBSTONE = 120.0  # seconds for which an ended id is known


class CallError(ValueError):
    """A backend's call that cannot be taken; the text is one plain line with the place and the mend."""


@dataclass(slots=True)
class Record:
    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str
    seq: int
    warm_until: float  # steady time until which it is slow from its start
    heard: float
    silent: float  # seconds without a word after which it counts as lost
    number: int = 0  # of the change that told of it last


class Register:
    def __init__(self, silent: float) -> None:
        """`silent`: seconds without a word after which a backend counts as lost."""
        self.silent = silent
        self.records: dict[str, Record] = {}
        self.news: deque[tuple[int, str]] = deque(maxlen=MAX_NEWS)
        self.number = 0  # of the last change

    def beat(self, id: str, body: Any, now: float) -> bool:
        """Take a backend's call; whether that changes what doors have to know.  Raises CallError."""
        service, address, zone = (text(body, name) for name in ("service_name", "address", "zone_name"))
        host, sep, port = address.rpartition(":")
        if not (sep and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
            raise CallError("address: write HOST:PORT")
        state = STATES.get(text(body, "oper_state"))
        if state is None:
            raise CallError("oper_state: write in_service or quiescing")
        capacity, seq = whole(body, "capacity", 1), whole(body, "call_seq", 0)
        warm = milliseconds(body.get("warmup_left", "0ms"))
        found = self.records.get(id)
        if found is None:
            if len(self.records) >= MAX_RECORDS:
                raise CallError("too many backends; raise no more here")
            found = Record(
                id, service, address, zone, max(1, capacity), state, seq, now + warm, now, self.silent
            )
            self.records[id] = found
            return self.tell(found)
        if found.state == OFF or seq < found.seq:
            return False  # a late one: it is acknowledged, and changes nothing
        if found.state == QUIESCING:
            state = QUIESCING  # there is no way back from it
        found.seq, found.heard = seq, now
        changed = (found.service, found.address, found.zone, found.capacity, found.state) != (
            service, address, zone, max(1, capacity), state
        )  # fmt: skip
        found.service, found.address, found.zone = service, address, zone
        found.capacity, found.state = max(1, capacity), state
        return self.tell(found) if changed else False

    def leave(self, id: str, now: float) -> bool:
        """The id ends for good, also one that was never heard of."""
        found = self.records.get(id)
        if found is None:
            if len(self.records) >= MAX_RECORDS:
                raise CallError("too many backends")
            found = self.records[id] = Record(id, "", "", "", 1, UP, 0, now, now, self.silent)
        found.heard = now
        if found.state == OFF:
            return False
        found.state = OFF
        return self.tell(found)

    def sweep(self, now: float) -> bool:
        """Whether silence made any of them lost."""
        changed = False
        for record in list(self.records.values()):
            quiet = now - record.heard
            if record.state in (UP, QUIESCING) and quiet > record.silent:
                record.state = LOST
                changed = self.tell(record)
            elif record.state in (OFF, LOST) and quiet > TOMBSTONE:
                del self.records[record.id]
        return changed

    def tell(self, record: Record) -> bool:
        self.number += 1
        record.number = self.number
        self.news.append((self.number, record.id))
        return True

    def line(self, record: Record, now: float) -> list[Any]:
        """What doors are told of one."""
        return [
            record.id, record.service, record.address, record.zone, record.capacity, record.state, record.seq,
            round(max(0.0, record.warm_until - now), 2),
        ]  # fmt: skip

    def since(self, number: int, now: float) -> list[list[Any]] | None:
        """The changes after a number; None where they are not kept any more."""
        if number > self.number or (self.news and number < self.news[0][0] - 1) or (not self.news and number):
            return None
        ids = dict.fromkeys(id for n, id in self.news if n > number)
        return [self.line(self.records[id], now) for id in ids if id in self.records]

    def whole(self, now: float) -> list[list[Any]]:
        return [self.line(record, now) for record in self.records.values()]


def text(body: Any, name: str) -> str:
    value = body.get(name) if isinstance(body, dict) else None
    if not isinstance(value, str) or not value or len(value) > 256:
        raise CallError(f"{name}: write a text of 1 to 256 signs")
    return value


def whole(body: Any, name: str, default: int) -> int:
    value: object = body.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 1 << 53:
        raise CallError(f"{name}: write a whole number of 0 or more")
    return value


def milliseconds(value: Any) -> float:
    """A time such as `1500ms` in seconds; what cannot be read counts as none."""
    if isinstance(value, str):
        for unit, part in (("ms", 0.001), ("s", 1.0)):
            if value.endswith(unit):
                try:
                    return min(600.0, max(0.0, float(value.removesuffix(unit)) * part))
                except ValueError:
                    return 0.0
    return 0.0
