"""The backends that one registry knows.  Pure: steady time is passed in.

Each incarnation of a backend has its own id.  `call_seq` orders the heartbeats of an id; a DELETE ends the id
for good.  A record without heartbeats becomes `lost`, and a later heartbeat revives it.  Changes are numbered
and kept in a log, so that a proxy that reconnects gets only those that it missed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from ivymux.registry.proxy_updates import NumberedEntry

UP, QUIESCING, LOST, OFF = "up", "quiescing", "lost", "off"
STATES = {"in_service": UP, "quiescing": QUIESCING}  # by `oper_state`
MAX_RECORDS = 20_000
MAX_LOGGED_CHANGES = 4_000
TOMBSTONE_TTL_S = 120.0  # a record that is off or lost is kept this long after its last call
MAX_WARMUP_S = 600.0
MAX_TEXT_CHARS = 256
MAX_NUMBER = (1 << 53) - 1  # the largest that every JSON reader keeps exact
MAX_PORT = 65535


class CallError(ValueError):
    """An invalid call of a backend; the text is one line that names the field and how to correct it."""


@dataclass(slots=True)
class BackendRecord:
    """What a registry knows of one incarnation of a backend; times are steady seconds."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str
    call_seq: int
    warm_until: float  # until then the backend is slow because it has just started
    last_call_at: float
    silence_timeout_s: float  # without a call for this long, the backend counts as lost
    change_number: int = 0  # of the last change of this record


class BackendRecords:
    """All records of one registry, with a log of their changes."""

    def __init__(self, silence_timeout_s: float) -> None:
        """A backend without a call for `silence_timeout_s` seconds counts as lost."""
        self.silence_timeout_s = silence_timeout_s
        self.records: dict[str, BackendRecord] = {}
        self.change_log: deque[tuple[int, str]] = deque(maxlen=MAX_LOGGED_CHANGES)  # change numbers and ids
        self.last_change = 0

    def heartbeat(self, id: str, body: Any, now: float) -> bool:
        """Apply a backend's heartbeat; return whether proxies have to know of it.  Raises CallError."""
        check_id(id)
        service, address, zone = (
            required_text(body, name) for name in ("service_name", "address", "zone_name")
        )
        host, separator, port = address.rpartition(":")
        if not (separator and host and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
            raise CallError("address: write HOST:PORT")
        state = STATES.get(required_text(body, "oper_state"))
        if state is None:
            raise CallError("oper_state: write in_service or quiescing")
        capacity, call_seq = whole_number(body, "capacity", 1), whole_number(body, "call_seq", 0)
        capacity = max(1, capacity)
        warmup_left = seconds(body.get("warmup_left", "0ms"))
        record = self.records.get(id)
        if record is None:
            if len(self.records) >= MAX_RECORDS:
                raise CallError("too many backends; raise no more here")
            record = BackendRecord(
                id, service, address, zone, capacity, state, call_seq, now + warmup_left, now,
                self.silence_timeout_s,
            )  # fmt: skip
            self.records[id] = record
            self.record_change(record)
            return True
        if record.state == OFF or call_seq < record.call_seq:
            return False  # a late call: it is acknowledged and changes nothing
        if record.state == QUIESCING:
            state = QUIESCING  # a backend that quiesces can't return to service under the same id
        record.call_seq, record.last_call_at = call_seq, now
        before = (record.service, record.address, record.zone, record.capacity, record.state)
        if before == (service, address, zone, capacity, state):
            return False
        record.service, record.address, record.zone = service, address, zone
        record.capacity, record.state = capacity, state
        self.record_change(record)
        return True

    def deregister(self, id: str, now: float) -> bool:
        """End an id for good, even an unknown one; return whether that changes anything.

        Raises CallError for an id that is too long, and if there are too many records.
        """
        check_id(id)
        record = self.records.get(id)
        if record is None:
            if len(self.records) >= MAX_RECORDS:
                raise CallError("too many backends")
            record = self.records[id] = BackendRecord(
                id, "", "", "", 1, UP, 0, now, now, self.silence_timeout_s
            )
        record.last_call_at = now
        if record.state == OFF:
            return False
        record.state = OFF
        self.record_change(record)
        return True

    def expire(self, now: float) -> bool:
        """Mark silent backends as lost and drop old tombstones; return whether any became lost."""
        changed = False
        for record in list(self.records.values()):
            silence_s = now - record.last_call_at
            if record.state in (UP, QUIESCING) and silence_s > record.silence_timeout_s:
                record.state = LOST
                self.record_change(record)
                changed = True
            elif record.state in (OFF, LOST) and silence_s > TOMBSTONE_TTL_S:
                del self.records[record.id]
        return changed

    def record_change(self, record: BackendRecord) -> None:
        """Number a change of a record and log it."""
        self.last_change += 1
        record.change_number = self.last_change
        self.change_log.append((self.last_change, record.id))

    def encode_record(self, record: BackendRecord, now: float) -> NumberedEntry:
        """One record as messages to proxies carry it."""
        fields = [
            record.id, record.service, record.address, record.zone, record.capacity, record.state,
            record.call_seq, round(max(0.0, record.warm_until - now), 2),
        ]  # fmt: skip
        return NumberedEntry(record.change_number, fields)

    def changes_since(self, number: int, now: float) -> list[NumberedEntry] | None:
        """Encode the records changed after change `number`; None if the log doesn't reach back that far."""
        if (
            number > self.last_change
            or (self.change_log and number < self.change_log[0][0] - 1)
            or (not self.change_log and number)
        ):
            return None
        ids = dict.fromkeys(id for change, id in self.change_log if change > number)
        return [self.encode_record(self.records[id], now) for id in ids if id in self.records]

    def encode_all(self, now: float) -> list[NumberedEntry]:
        """All records as messages to proxies carry them."""
        return [self.encode_record(record, now) for record in self.records.values()]


def check_id(id: str) -> None:
    """Check the id of a backend, which messages to all proxies carry.  Raises CallError."""
    if len(id) > MAX_TEXT_CHARS:
        raise CallError(f"the backend's id in the path: write a text of 1 to {MAX_TEXT_CHARS} signs")


def required_text(body: Any, name: str) -> str:
    """A field of a heartbeat that must be a text.  Raises CallError."""
    value = body.get(name) if isinstance(body, dict) else None
    if not isinstance(value, str) or not value or len(value) > MAX_TEXT_CHARS:
        raise CallError(f"{name}: write a text of 1 to {MAX_TEXT_CHARS} signs")
    return value


def whole_number(body: Any, name: str, default: int) -> int:
    """A field of a heartbeat that must be a whole number, not negative.  Raises CallError."""
    value: object = body.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_NUMBER:
        raise CallError(f"{name}: write a whole number of 0 or more")
    return value


def seconds(value: Any) -> float:
    """Convert a time such as `1500ms` to seconds, at most MAX_WARMUP_S; 0 if it can't be read."""
    if isinstance(value, str):
        for unit, factor in (("ms", 0.001), ("s", 1.0)):
            if value.endswith(unit):
                try:
                    return min(MAX_WARMUP_S, max(0.0, float(value.removesuffix(unit)) * factor))
                except ValueError:
                    return 0.0
    return 0.0
