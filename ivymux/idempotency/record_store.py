"""The book of tickets: one for each action that carries a key, and what may be done about it.  Pure.

A ticket is OPEN from before its action goes to a backend, and may have run from then on.  It ends as DONE,
with the answer; as LOST, where nobody can know any more whether it ran; or as FREE, where it surely has not.
Only the claim that opened a ticket ends it, and only a FREE one is opened again: so an action runs once at
the most, whatever is lost.

Two machines hold a book.  Each ticket carries the number of its last change, so that a late copy undoes
nothing; copies are compared by digests over ranges of keys, and mended from the primary's.  Ages count on
steady time from when a copy learned of a ticket: never too short, also behind a restart.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec
from msgspec.structs import replace

OPEN, DONE, LOST, FREE = "open", "done", "lost", "free"
STATES = (OPEN, DONE, LOST, FREE)
RANGES = 256  # of keys, by their first two digits
MAX_TICKETS = 60_000
MAX_BYTES = 24 << 20  # of answers, over all tickets
MAX_ANSWER = 64 << 10  # characters of one answer, as it is kept
FREE_KEPT = 30.0  # seconds for which a free one is kept, so that late copies of it are known
KEY_DIGITS = 32
NOTE = "note "  # before the name of a note, in the place of a claim; no age ends it

GO, IN_HAND, ANSWERED, UNKNOWN, DIFFERS, FULL = "go", "in hand", "answered", "unknown", "differs", "full"


class IdempotencyRecordError(ValueError):
    """A ticket, or a call about one, that no correct process sends."""


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """One action, by the digest of its tenant and key.  Raises IdempotencyRecordError if out of bounds."""

    key: str
    tenant: str
    claim: str  # names the try that opened it: its door's life and a number
    place: str  # digest of its method and target
    body: str  # digest of its body
    life: float  # seconds within which its claim ends it
    state: str = OPEN
    number: int = 0  # of its last change, rising
    answer: str = ""  # what a repeat is answered with; empty: it was not kept

    def __post_init__(self) -> None:
        if self.state not in STATES or len(self.key) != KEY_DIGITS or len(self.answer) > MAX_ANSWER:
            raise IdempotencyRecordError("a ticket out of its bounds")
        int(self.key, 16)

    @property
    def is_note(self) -> bool:
        return self.claim.startswith(NOTE)

    def wire(self) -> list[Any]:
        return [*msgspec.structs.astuple(self)]

    @staticmethod
    def read(wire: Any) -> IdempotencyRecord:
        """Raises IdempotencyRecordError."""
        if not isinstance(wire, list) or len(wire) != len(IdempotencyRecord.__struct_fields__):
            raise IdempotencyRecordError("no ticket")
        try:
            return msgspec.convert(wire, IdempotencyRecord)
        except msgspec.ValidationError as error:
            raise IdempotencyRecordError(f"no ticket: {error}") from None

    def digest(self) -> int:
        text = "\0".join(map(str, self.wire()))
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class Rules:
    """What a book goes by; seconds and numbers."""

    kept: float = 900.0  # for which a ticket is known
    most_for_tenant: int = 10_000
    most_answer: int = 16 << 10  # characters of an answer that is kept


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is said of a claim; `after`: when to come back, in seconds."""

    kind: str
    after: float = 0.0
    answer: str = ""
    what: str = ""  # of DIFFERS: what is another


@dataclass(slots=True)
class RecordStore:
    tickets: dict[str, IdempotencyRecord] = field(default_factory=dict)
    learned: dict[str, float] = field(default_factory=dict)  # steady time, the oldest first; not of notes
    free: dict[str, float] = field(default_factory=dict)  # the same, of free ones
    notes: dict[str, IdempotencyRecord] = field(default_factory=dict)
    digests: list[int] = field(default_factory=lambda: [0] * RANGES)
    held: dict[str, int] = field(default_factory=dict)  # tickets by tenant
    bytes: int = 0  # of answers

    def root(self) -> int:
        """One digest over all."""
        return int.from_bytes(blake2b(repr(self.digests).encode(), digest_size=8).digest(), "big")

    # --- copies ------------------------------------------------------------------------------------------

    def take(self, ticket: IdempotencyRecord, now: float) -> bool:
        """Take a copy in, unless a later one is held; whether that changed anything."""
        held = self.tickets.get(ticket.key)
        if held is not None and held.number >= ticket.number:
            return False
        self.drop(ticket.key)
        self.tickets[ticket.key] = ticket
        if ticket.is_note:
            self.notes[ticket.key] = ticket
        else:
            (self.free if ticket.state == FREE else self.learned)[ticket.key] = now
        self.digests[place(ticket.key)] ^= ticket.digest()
        self.held[ticket.tenant] = self.held.get(ticket.tenant, 0) + 1
        self.bytes += len(ticket.answer)
        return True

    def drop(self, key: str) -> None:
        held = self.tickets.pop(key, None)
        if held is None:
            return
        for part in (self.learned, self.free, self.notes):
            part.pop(key, None)
        self.digests[place(key)] ^= held.digest()
        self.bytes -= len(held.answer)
        self.held[held.tenant] -= 1
        if not self.held[held.tenant]:
            del self.held[held.tenant]

    def differing(self, digests: list[int]) -> list[int]:
        """The ranges in which another copy is not this one."""
        return [n for n, (mine, other) in enumerate(zip(self.digests, digests, strict=True)) if mine != other]

    def inside(self, ranges: Iterable[int]) -> dict[int, list[IdempotencyRecord]]:
        found: dict[int, list[IdempotencyRecord]] = {n: [] for n in ranges}
        for key, ticket in self.tickets.items():
            if (at := place(key)) in found:
                found[at].append(ticket)
        return found

    def mend(
        self, at: int, tickets: list[IdempotencyRecord], now: float
    ) -> list[tuple[str, IdempotencyRecord | None]]:
        """Make one range what the newer copy has there; the changes, None for what is gone."""
        there = {t.key: t for t in tickets}
        changes: list[tuple[str, IdempotencyRecord | None]] = []
        for key in [k for k in self.tickets if place(k) == at and k not in there]:
            self.drop(key)
            changes.append((key, None))
        for key, ticket in there.items():
            if self.tickets.get(key) != ticket:
                self.drop(key)
                self.take(ticket, now)
                changes.append((key, ticket))
        return changes

    def aged(self, rules: Rules, now: float, most: int = 500) -> list[str]:
        """Keys whose time is over, the oldest first."""
        found: list[str] = []
        for part, kept in ((self.free, FREE_KEPT), (self.learned, rules.kept)):
            for key, since in part.items():
                if now - since <= kept or len(found) >= most:
                    break
                found.append(key)
        return found

    # --- claims ------------------------------------------------------------------------------------------

    def judge(self, asked: IdempotencyRecord, rules: Rules, now: float) -> Verdict:
        """What holds of a claim.  GO: `asked` may be taken in, and holds once both copies have it."""
        held = self.tickets.get(asked.key)
        if held is None or held.state == FREE:
            if held is None and self.full(asked.tenant, rules):
                return Verdict(FULL, 1.0)
            return Verdict(GO)
        if held.claim == asked.claim and held.state == OPEN:
            return Verdict(GO)  # asked again, as an answer was lost
        if held.place != asked.place:
            return Verdict(DIFFERS, what="method or path")
        if held.body != asked.body:
            return Verdict(DIFFERS, what="body")
        if held.state == DONE:
            return Verdict(ANSWERED, answer=held.answer)
        left = self.learned[asked.key] + held.life - now
        if held.state == LOST or left <= 0:
            return Verdict(UNKNOWN)
        return Verdict(IN_HAND, after=min(left, 1.0))

    def full(self, tenant: str, rules: Rules) -> bool:
        """Whether a tenant has its part; where the book is full, more than an even one."""
        own = self.held.get(tenant, 0)
        crowded = len(self.tickets) >= MAX_TICKETS and own * len(self.held) >= MAX_TICKETS
        return own >= rules.most_for_tenant or crowded

    def ended(self, key: str, claim: str, state: str, answer: str, rules: Rules) -> IdempotencyRecord | None:
        """The ticket as its claim ends it; None where that is not its to end, or has ended."""
        held = self.tickets.get(key)
        if held is None or held.claim != claim or held.state != OPEN or state not in (DONE, LOST, FREE):
            return None
        small = len(answer) <= min(rules.most_answer, MAX_ANSWER) and self.bytes + len(answer) <= MAX_BYTES
        return replace(held, state=state, answer=answer if state == DONE and small else "")


def place(key: str) -> int:
    """The range of a key."""
    return int(key[:2], 16)
