"""The store of idempotency records: one record for each action that carries a key.  Pure.

A record is OPEN from before its action is sent to a backend; from then on the action may have run.  It ends
as DONE, with the answer; as LOST, where it can no longer be known whether the action ran; or as FREE, where
the action has certainly not run.  Only the claim that opened a record can end it, and only a FREE record can
be opened again.  An action therefore runs at most once, whatever fails.

The primary and the backup each keep a copy of the store.  Each record carries the number of its last change,
so that a delayed message never overwrites a newer state.  Copies are compared by digests over ranges of
keys, and ranges that differ are repaired from the primary's copy.  Ages are measured on the steady clock
from when a copy first received a record: a record is never kept for too short a time, even after a restart.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec
from msgspec.structs import replace

# States of a record.
OPEN, DONE, LOST, FREE = "open", "done", "lost", "free"
STATES = (OPEN, DONE, LOST, FREE)

# Verdicts on a claim.
PROCEED = "go"  # the action may be sent once both copies hold the record
IN_PROGRESS = "in hand"  # another claim is running the action
ANSWERED = "answered"  # the action has run
OUTCOME_UNKNOWN = "unknown"  # the action may have run; it must not be sent again
MISMATCH = "differs"  # the key was used before with another request
LIMIT_REACHED = "full"  # this tenant may have no further record
NOT_KNOWN = "none"  # answer to a look-up: the action has not run, or is not known any more

KEY_RANGES = 256  # by the first two digits of the key
KEY_DIGITS = 32
MAX_RECORDS = 60_000  # above which no tenant gets more than an even share
MAX_STORED_ANSWER_CHARS = 24 << 20  # over all records
MAX_ANSWER_CHARS = 64 << 10  # of one record
FREE_RETENTION_S = 30.0  # a FREE record is kept this long so that delayed copies of it are recognised
MAX_RETRY_AFTER_S = 1.0
MAX_EXPIRED_KEYS = 500  # in one sweep
SETTING_CLAIM_PREFIX = "note "  # followed by the name of a replicated setting, in place of a claim


class IdempotencyRecordError(ValueError):
    """A malformed record, or a malformed call about a record: no correct process sends either."""


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """One action, identified by the digest of its tenant and key.

    Replicated settings are kept as records too; they never expire.  Raises IdempotencyRecordError for values
    out of bounds.
    """

    key: str
    tenant: str
    claim: str  # that opened the record: the proxy's incarnation id and a number
    request_digest: str  # of the action's method and target
    body_digest: str
    lifetime_s: float  # within which the claim must end the record
    state: str = OPEN
    change_number: int = 0  # of the last change; increases with each change
    answer: str = ""  # for repeats of the action; empty if the answer was not kept

    def __post_init__(self) -> None:
        if self.state not in STATES or len(self.key) != KEY_DIGITS or len(self.answer) > MAX_ANSWER_CHARS:
            raise IdempotencyRecordError("idempotency record with a value out of bounds")
        if f"{int(self.key, 16):0{KEY_DIGITS}x}" != self.key:  # intervals of keys rely on their order
            raise IdempotencyRecordError("idempotency record with a key that is not in lower-case digits")

    @property
    def is_setting(self) -> bool:
        """Whether this record holds a replicated setting."""
        return self.claim.startswith(SETTING_CLAIM_PREFIX)

    def to_wire(self) -> list[Any]:
        """Return the fields in the order of their declaration."""
        return [*msgspec.structs.astuple(self)]

    @staticmethod
    def from_wire(wire: Any) -> IdempotencyRecord:
        """Read a record from the form of `to_wire`.  Raises IdempotencyRecordError."""
        if not isinstance(wire, list) or len(wire) != len(IdempotencyRecord.__struct_fields__):
            raise IdempotencyRecordError("not an idempotency record")
        try:
            return msgspec.convert(wire, IdempotencyRecord)
        except msgspec.ValidationError as error:
            raise IdempotencyRecordError(f"not an idempotency record: {error}") from None

    def digest(self) -> int:
        """Return a 64-bit digest over all fields."""
        text = "\0".join(map(str, self.to_wire()))
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class KeyInterval(msgspec.Struct, frozen=True, array_like=True):
    """All records of one copy from key `first` to key `last`, both included; they lie in one range of keys.

    Raises IdempotencyRecordError for bounds or records that do not fit together.
    """

    first: str
    last: str
    records: tuple[IdempotencyRecord, ...]

    def __post_init__(self) -> None:
        if any(len(key) != KEY_DIGITS for key in (self.first, self.last)) or self.first > self.last:
            raise IdempotencyRecordError("interval of keys with bounds that do not fit together")
        if key_range(self.first) != key_range(self.last):
            raise IdempotencyRecordError("interval of keys over more than one range")
        if any(not self.first <= record.key <= self.last for record in self.records):
            raise IdempotencyRecordError("interval of keys with a record outside of it")


def range_interval(number: int, records: Iterable[IdempotencyRecord] = ()) -> KeyInterval:
    """Return a whole range of keys as an interval."""
    prefix = f"{number:02x}"
    digits = KEY_DIGITS - len(prefix)
    return KeyInterval(prefix + "0" * digits, prefix + "f" * digits, tuple(records))


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """How long records are kept, and how many and how large they may be."""

    retention_s: float = 900.0
    max_per_tenant: int = 10_000
    max_answer_chars: int = 16 << 10  # longer answers are not kept


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a claim."""

    kind: str
    retry_after_s: float = 0.0
    answer: str = ""
    mismatch: str = ""  # for MISMATCH: the part of the request that differs


@dataclass(slots=True)
class RecordStore:
    """One copy of the records, with indices by age and tenant and a digest for each range of keys."""

    records: dict[str, IdempotencyRecord] = field(default_factory=dict)  # by key
    # Steady time by key, oldest first; without records of settings.
    received_at: dict[str, float] = field(default_factory=dict)
    freed_at: dict[str, float] = field(default_factory=dict)  # the same, for FREE records
    settings: dict[str, IdempotencyRecord] = field(default_factory=dict)  # records of replicated settings
    digests: list[int] = field(default_factory=lambda: [0] * KEY_RANGES)
    counts_by_tenant: dict[str, int] = field(default_factory=dict)
    answer_chars: int = 0  # over all records

    def root_digest(self) -> int:
        """Return one digest over the whole store."""
        return int.from_bytes(blake2b(repr(self.digests).encode(), digest_size=8).digest(), "big")

    # --- copies ------------------------------------------------------------------------------------------

    def apply(self, record: IdempotencyRecord, now: float) -> bool:
        """Store a record unless a newer state of it is held; return whether that changed anything."""
        held = self.records.get(record.key)
        if held is not None and held.change_number >= record.change_number:
            return False
        self.remove(record.key)
        self.records[record.key] = record
        if record.is_setting:
            self.settings[record.key] = record
        else:
            (self.freed_at if record.state == FREE else self.received_at)[record.key] = now
        self.digests[key_range(record.key)] ^= record.digest()
        self.counts_by_tenant[record.tenant] = self.counts_by_tenant.get(record.tenant, 0) + 1
        self.answer_chars += len(record.answer)
        return True

    def remove(self, key: str) -> None:
        """Remove a record; a key without one is ignored."""
        held = self.records.pop(key, None)
        if held is None:
            return
        for index in (self.received_at, self.freed_at, self.settings):
            index.pop(key, None)
        self.digests[key_range(key)] ^= held.digest()
        self.answer_chars -= len(held.answer)
        self.counts_by_tenant[held.tenant] -= 1
        if not self.counts_by_tenant[held.tenant]:
            del self.counts_by_tenant[held.tenant]

    def differing_ranges(self, digests: list[int]) -> list[int]:
        """Return the ranges whose digests differ from those of another copy."""
        return [n for n, (own, other) in enumerate(zip(self.digests, digests, strict=True)) if own != other]

    def records_in_ranges(self, ranges: Iterable[int]) -> dict[int, list[IdempotencyRecord]]:
        """Return the records of each of these ranges."""
        found: dict[int, list[IdempotencyRecord]] = {n: [] for n in ranges}
        for key, record in self.records.items():
            if (number := key_range(key)) in found:
                found[number].append(record)
        return found

    def repair(
        self, intervals: Iterable[KeyInterval], now: float
    ) -> list[tuple[str, IdempotencyRecord | None]]:
        """Make intervals equal to the primary's copy; return the changes, None for a removed record."""
        intervals = tuple(intervals)
        held = self.records_in_ranges(key_range(interval.first) for interval in intervals)
        changes: list[tuple[str, IdempotencyRecord | None]] = []
        for interval in intervals:
            in_range = held[key_range(interval.first)]
            keys = [record.key for record in in_range if interval.first <= record.key <= interval.last]
            changes += self.repair_interval(interval, keys, now)
        return changes

    def repair_interval(
        self, interval: KeyInterval, held_keys: Iterable[str], now: float
    ) -> list[tuple[str, IdempotencyRecord | None]]:
        """Make one interval, in which this copy holds `held_keys`, equal to the primary's copy."""
        wanted = {record.key: record for record in interval.records}
        changes: list[tuple[str, IdempotencyRecord | None]] = []
        for key in held_keys:
            if key not in wanted:
                self.remove(key)
                changes.append((key, None))
        for key, record in wanted.items():
            if self.records.get(key) != record:
                self.remove(key)
                self.apply(record, now)
                changes.append((key, record))
        return changes

    def expired_keys(self, limits: RecordLimits, now: float, limit: int = MAX_EXPIRED_KEYS) -> list[str]:
        """Return up to `limit` keys whose retention time is over, oldest first within each index."""
        found: list[str] = []
        for index, retention_s in (
            (self.freed_at, FREE_RETENTION_S),
            (self.received_at, limits.retention_s),
        ):
            for key, since in index.items():
                if now - since <= retention_s or len(found) >= limit:
                    break
                if now - since > retention_s + self.open_lifetime_s(key):
                    found.append(key)
        return found

    def open_lifetime_s(self, key: str) -> float:
        """Return for how long after its start the claim of an open record may end it; 0 if it has ended.

        The retention time begins with the action's end, or when its claim can no longer end it.
        """
        record = self.records[key]
        return record.lifetime_s if record.state == OPEN else 0.0

    # --- claims ------------------------------------------------------------------------------------------

    def judge_claim(self, claimed: IdempotencyRecord, limits: RecordLimits, now: float) -> Verdict:
        """Decide on a claim.

        PROCEED: `claimed` may be stored; the claim is in force once both copies hold it.
        """
        held = self.records.get(claimed.key)
        if held is None or held.state == FREE:
            if held is None and self.is_full_for(claimed.tenant, limits):
                return Verdict(LIMIT_REACHED, MAX_RETRY_AFTER_S)
            return Verdict(PROCEED)
        if held.claim == claimed.claim and held.state == OPEN:
            return Verdict(PROCEED)  # the claim is repeated, as the reply to it was lost
        return self.judge_repeat(held, claimed.request_digest, claimed.body_digest, now)

    def look_up(self, key: str, request_digest: str, body_digest: str, now: float) -> Verdict:
        """Return the verdict on a repeat of an action; NOT_KNOWN if no record says that it may have run."""
        held = self.records.get(key)
        if held is None or held.state == FREE:
            return Verdict(NOT_KNOWN)
        return self.judge_repeat(held, request_digest, body_digest, now)

    def judge_repeat(
        self, held: IdempotencyRecord, request_digest: str, body_digest: str, now: float
    ) -> Verdict:
        """Decide on a request whose key has a record that another claim opened."""
        if held.request_digest != request_digest:
            return Verdict(MISMATCH, mismatch="method or path")
        if held.body_digest != body_digest:
            return Verdict(MISMATCH, mismatch="body")
        if held.state == DONE:
            return Verdict(ANSWERED, answer=held.answer)
        remaining_s = self.received_at[held.key] + held.lifetime_s - now
        if held.state == LOST or remaining_s <= 0:
            return Verdict(OUTCOME_UNKNOWN)
        return Verdict(IN_PROGRESS, retry_after_s=min(remaining_s, MAX_RETRY_AFTER_S))

    def is_full_for(self, tenant: str, limits: RecordLimits) -> bool:
        """Whether a tenant may have no more records.

        A tenant may have `max_per_tenant`; in a full store, no more than an even share of all records.
        """
        count = self.counts_by_tenant.get(tenant, 0)
        over_share = len(self.records) >= MAX_RECORDS and count * len(self.counts_by_tenant) >= MAX_RECORDS
        return count >= limits.max_per_tenant or over_share

    def ended_record(
        self, key: str, claim: str, state: str, answer: str, limits: RecordLimits
    ) -> IdempotencyRecord | None:
        """Return the ended record; None if the claim does not hold the record or has ended it before."""
        held = self.records.get(key)
        if held is None or held.claim != claim or held.state != OPEN or state not in (DONE, LOST, FREE):
            return None
        fits_record = len(answer) <= min(limits.max_answer_chars, MAX_ANSWER_CHARS)
        keeps_answer = fits_record and self.answer_chars + len(answer) <= MAX_STORED_ANSWER_CHARS
        return replace(held, state=state, answer=answer if state == DONE and keeps_answer else "")


def key_range(key: str) -> int:
    """Return the number of the range that a key belongs to."""
    return int(key[:2], 16)
