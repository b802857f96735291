"""Idempotency records (tickets) and notes at one core machine, kept by an epoch's primary and backup.  Pure.

As a configuration's change, a record is on two disks before it is acknowledged, under the same epochs and
leases.  A new backup does not get the whole book: digests over ranges are compared, and those that differ are
repaired from the primary's copy before the epoch is in force; while it is, the copies are compared now and
then.

Notes are settings of the system's own that are kept here and told to all: a name, a version, a text.  They
are records that no age ends.
"""

from __future__ import annotations

import contextlib
import math
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Protocol

from msgspec.structs import replace

from ivymux.config_store.actions import Action, Complete, Persist, PublishSetting, Reply
from ivymux.config_store.calls import Call, ClaimAction, EndAction, PutSetting, ReadSetting
from ivymux.config_store.messages import (
    RecordDigest,
    RecordRangeDigests,
    RecordRepair,
    RecordsExpired,
    RecordStored,
    RecordWrite,
    ReplicaMessage,
    SettingsInForce,
    SettingsRequest,
    StateStored,
)
from ivymux.config_store.records import ConfigurationState, EpochRecord, ReplicatedSetting, address_of
from ivymux.config_store.timing import RETRY
from ivymux.idempotency import CONVERSATIONS
from ivymux.idempotency.record_store import (
    DONE,
    GO,
    IN_HAND,
    KEY_DIGITS,
    NOTE,
    OPEN,
    IdempotencyRecord,
    IdempotencyRecordError,
    RecordStore,
    Rules,
    Verdict,
)

COMPARE_INTERVAL = 5.0  # seconds between comparisons of the copies
SWEEP_INTERVAL = 1.0  # seconds between looks for records whose time is over
MAX_IN_MESSAGE = 400  # records in one message of a repair
NUMBERS_IN_EPOCH = 1 << 32
ASK_AGAIN = 0.1  # seconds: when to ask again for what is being written
MAX_NOTE = 32 << 10  # characters
MAX_NOTES = 200


class AttemptView(Protocol):
    """What is seen here of an epoch on its way."""

    number: int
    record: EpochRecord | None


class EpochView(Protocol):
    """What is seen here of the replica, by whose epoch and lease the records go."""

    me: str
    now: float
    actions: list[Action]
    heard: dict[str, float]
    state: ConfigurationState | None
    promised: int
    promised_to: str
    leading: EpochRecord | None

    @property
    def attempt(self) -> AttemptView | None: ...

    def may_serve(self, now: float) -> bool: ...

    def is_writable(self) -> bool: ...

    def send(self, to: str, message: ReplicaMessage) -> None: ...

    def broadcast(self, message: ReplicaMessage) -> None: ...


@dataclass(slots=True)
class UnstoredRecord:
    """A change of the book that is not on both disks yet, with the calls that wait for it."""

    ticket: IdempotencyRecord
    calls: list[int]
    sent_at: float
    written_at: float
    on_own_disk: bool = False
    on_backup: bool = False


def setting_record(name: str, version: int, text: str) -> IdempotencyRecord:
    """The record in which a note is kept."""
    key = blake2b(f"{NOTE}{name}".encode(), digest_size=KEY_DIGITS // 2).hexdigest()
    return IdempotencyRecord(key, "", NOTE + name, name, str(version), 0.0, DONE, 0, text)


def verdict_answer(verdict: Verdict) -> dict[str, Any]:
    return {
        "ok": True,
        "verdict": verdict.kind,
        "after": verdict.after,
        "answer": verdict.answer,
        "what": verdict.what,
    }


@dataclass(slots=True)
class RecordReplication:
    """The book of a replica."""

    replica: EpochView
    book: RecordStore = field(default_factory=RecordStore)
    unstored: dict[int, UnstoredRecord] = field(default_factory=dict)  # by number
    last_number: int = 0  # of the last change made or taken here
    compare_at: float = 0.0
    sweep_at: float = 0.0
    notes: dict[str, ReplicatedSetting] = field(default_factory=dict)  # in force, by name
    rules: Rules = field(default_factory=Rules)

    # --- calls -----------------------------------------------------------------------------------------

    def ask(self, call: int, asked: Call) -> Reply | None:
        """A call of a door or an operator; None where this machine does not lead.  Raises ValueError for what
        no correct process asks.
        """
        if not self.replica.may_serve(self.replica.now) or not self.replica.is_writable():
            return None
        if isinstance(asked, ClaimAction):
            return self.claim(call, asked)
        if isinstance(asked, EndAction):
            return self.end(call, asked)
        if isinstance(asked, PutSetting):
            return self.put_setting(call, asked)
        if isinstance(asked, ReadSetting):
            note = self.notes.get(asked.name, ReplicatedSetting(asked.name, -1, ""))
            return self.reply({"ok": True, "version": note.version, "text": note.text})
        raise IdempotencyRecordError(f"no such call: {type(asked).__name__}")

    def reply(self, answer: dict[str, Any], wait: bool = False) -> Reply:
        return Reply(self.replica.actions, answer, wait)

    def wait_for(self, unstored: UnstoredRecord | None, call: int, answer: dict[str, Any]) -> Reply:
        """The answer, once a change on its way is on both disks."""
        if unstored is not None:
            unstored.calls.append(call)
        return self.reply(answer, wait=unstored is not None)

    def claim(self, call: int, asked: ClaimAction) -> Reply:
        ticket = IdempotencyRecord(asked.key, asked.tenant, asked.claim, asked.place, asked.body, asked.life)
        verdict = self.book.judge(ticket, self.rules, self.replica.now)
        held = self.book.tickets.get(ticket.key)
        unstored = self.unstored_of(ticket.key)
        if verdict.kind != GO:
            if unstored is not None:  # what is not on both disks yet is not said to be so
                verdict = Verdict(IN_HAND, ASK_AGAIN)
            return self.reply(verdict_answer(verdict))
        if held is not None and held.claim == ticket.claim and held.state == OPEN:
            return self.wait_for(unstored, call, verdict_answer(verdict))
        self.store(ticket, call)
        return self.reply(verdict_answer(verdict), wait=True)

    def end(self, call: int, asked: EndAction) -> Reply:
        ticket = self.book.ended(asked.key, asked.claim, asked.state, asked.answer, self.rules)
        if ticket is None or ticket.is_note:  # ended already, or not this one's to end
            return self.wait_for(self.unstored_of(asked.key), call, {"ok": True})
        self.store(ticket, call)
        return self.reply({"ok": True}, wait=True)

    def put_setting(self, call: int, asked: PutSetting) -> Reply:
        """A note that was based on another version than the one held is not taken, nor is another text under
        the version held; what is held is told instead.
        """
        ticket = setting_record(asked.name, asked.version, asked.text)
        held = self.book.tickets.get(ticket.key)
        held_version = int(held.body) if held is not None else -1
        again = held is not None and held_version == asked.version and held.answer == asked.text
        other_base = asked.based_on is not None and asked.based_on != held_version
        if not again and (other_base or held_version == asked.version):
            return self.reply({"ok": True, "taken": False, "version": held_version})
        answer = {"ok": True, "version": asked.version}
        if held_version >= asked.version:
            return self.wait_for(self.unstored_of(ticket.key), call, answer)
        if len(asked.text) > MAX_NOTE or (held is None and len(self.book.notes) >= MAX_NOTES):
            raise IdempotencyRecordError("a note that is too large, or too many")
        self.store(ticket, call)
        return self.reply(answer, wait=True)

    def read_setting(self, name: str) -> ReplicatedSetting | bool | None:
        """A note as it is in force; None where there is none, False where this machine does not lead."""
        if not self.replica.may_serve(self.replica.now):
            return False
        return self.notes.get(name)

    def unstored_of(self, key: str) -> UnstoredRecord | None:
        held = self.book.tickets.get(key)
        return self.unstored.get(held.number) if held is not None else None

    # --- at the primary ----------------------------------------------------------------------------------

    def store(self, ticket: IdempotencyRecord, call: int) -> None:
        """Write a change to both disks; its call is answered then."""
        replica = self.replica
        assert replica.leading is not None
        self.last_number = max(self.last_number, replica.leading.number * NUMBERS_IN_EPOCH) + 1
        made = replace(ticket, number=self.last_number)
        self.book.take(made, replica.now)
        self.unstored[made.number] = UnstoredRecord(made, [call], replica.now, replica.now)
        self.send_record(made)
        replica.actions.append(Persist(tickets=((made.key, made),)))
        replica.send(address_of(replica.me), RecordStored(replica.me, replica.leading.number, made.number))

    def send_record(self, ticket: IdempotencyRecord) -> None:
        epoch, backup = self.pair()
        self.replica.send(backup, RecordWrite(self.replica.me, epoch, ticket))

    def pair(self) -> tuple[int, str]:
        """The epoch under which records go to a backup, and that one's address."""
        attempt = self.replica.attempt
        record = attempt.record if attempt is not None and attempt.record is not None else None
        record = record or self.replica.leading
        assert record is not None
        return record.number, address_of(record.backup)

    def waits_for_backup_since(self) -> float:
        """When the oldest of what is on the primary's disk alone was written; infinite where nothing is."""
        alone = [u.written_at for u in self.unstored.values() if u.on_own_disk and not u.on_backup]
        return min(alone, default=math.inf)

    def on_record_stored(self, source: str, message: RecordStored) -> None:
        replica = self.replica
        replica.heard[message.sender] = replica.now
        leading = replica.leading
        if leading is None or message.epoch != leading.number or not replica.is_writable():
            return
        unstored = self.unstored.get(message.number)
        if unstored is None:
            return
        unstored.on_own_disk = unstored.on_own_disk or message.sender == replica.me
        unstored.on_backup = unstored.on_backup or message.sender == leading.backup
        if unstored.on_own_disk and unstored.on_backup:
            del self.unstored[message.number]
            replica.actions += [Complete(call) for call in unstored.calls]
            if unstored.ticket.is_note:
                self.publish_settings()

    def lead(self) -> None:
        """While this machine leads: what is not stored is sent again, copies are compared, old ones go."""
        now = self.replica.now
        if not self.replica.is_writable():
            return
        for unstored in self.unstored.values():
            if now - unstored.sent_at > RETRY:
                unstored.sent_at = now
                self.send_record(unstored.ticket)
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_INTERVAL
            self.drop_old()
        if now >= self.compare_at:
            self.compare_at = now + COMPARE_INTERVAL
            if self.book.tickets and not self.unstored:
                epoch, backup = self.pair()
                self.replica.send(backup, RecordDigest(self.replica.me, epoch, self.book.root()))
        if len(self.notes) < len(self.book.notes):
            self.publish_settings()

    def drop_old(self) -> None:
        old = [key for key in self.book.aged(self.rules, self.replica.now) if key not in self.book.notes]
        if old and not self.unstored:
            self.forget(old)
            epoch, backup = self.pair()
            self.replica.send(backup, RecordsExpired(self.replica.me, epoch, tuple(old)))

    def forget(self, keys: list[str]) -> None:
        for key in keys:
            self.book.drop(key)
        if keys:
            self.replica.actions.append(Persist(tickets=tuple((key, None) for key in keys)))

    def on_record_range_digests(self, source: str, message: RecordRangeDigests) -> None:
        """The other copy's digests, where it is not this one: it gets what differs."""
        if message.sender != self.repaired_backup(message.epoch):
            return
        if len(message.digests) != len(self.book.digests):
            return
        ranges: list[tuple[int, tuple[IdempotencyRecord, ...]]] = []
        for place, tickets in self.book.inside(self.book.differing([*message.digests])).items():
            ranges.append((place, tuple(tickets)))
            if sum(len(inside) for _, inside in ranges) >= MAX_IN_MESSAGE:
                self.send_repair(ranges, last=False)
                ranges = []
        self.send_repair(ranges, last=True)

    def repaired_backup(self, epoch: int) -> str:
        """Whose copy is repaired in an epoch: that of its backup, before it is in force or while it is."""
        attempt, leading = self.replica.attempt, self.replica.leading
        if attempt is not None and attempt.record is not None and attempt.number == epoch:
            return attempt.record.backup
        in_force = leading is not None and leading.number == epoch and self.replica.is_writable()
        return leading.backup if in_force and leading is not None and not self.unstored else ""

    def send_repair(self, ranges: list[tuple[int, tuple[IdempotencyRecord, ...]]], last: bool) -> None:
        epoch, backup = self.pair()
        digest = self.book.root() if last else None
        repair = RecordRepair(self.replica.me, epoch, self.last_number, tuple(ranges), digest)
        self.replica.send(backup, repair)

    def complete_all(self) -> None:
        """A new epoch is in force: its backup's book is this one, so all that is in it is on both disks."""
        for unstored in self.unstored.values():
            self.replica.actions += [Complete(call) for call in unstored.calls]
        self.unstored.clear()

    def stop(self) -> None:
        """This machine leads no more: what was not on both disks is not acknowledged by it."""
        self.unstored.clear()

    # --- at the backup -----------------------------------------------------------------------------------

    def follows(self, epoch: int, primary: str) -> bool:
        """Whether a message is of the primary that this machine follows, for an epoch whose state it has."""
        replica = self.replica
        return (
            replica.state is not None
            and replica.state.epoch == epoch <= replica.promised
            and primary == replica.promised_to
            and replica.leading is None
        )

    def on_record_write(self, source: str, message: RecordWrite) -> None:
        if not self.follows(message.epoch, message.sender):
            return
        ticket = message.ticket
        if self.book.take(ticket, self.replica.now):
            self.replica.actions.append(Persist(tickets=((ticket.key, ticket),)))
        self.last_number = max(self.last_number, ticket.number)
        self.replica.send(source, RecordStored(self.replica.me, message.epoch, ticket.number))

    def on_records_expired(self, source: str, message: RecordsExpired) -> None:
        if self.follows(message.epoch, message.sender):
            self.forget([key for key in message.keys if key in self.book.tickets])

    def on_record_digest(self, source: str, message: RecordDigest) -> None:
        if self.follows(message.epoch, message.sender) and message.digest != self.book.root():
            self.send_digests(source, message.epoch)

    def send_digests(self, primary: str, epoch: int) -> None:
        self.replica.send(primary, RecordRangeDigests(self.replica.me, epoch, tuple(self.book.digests)))

    def on_record_repair(self, source: str, message: RecordRepair) -> None:
        # One that left before changes that are here already would undo them.
        if not self.follows(message.epoch, message.sender) or message.last_number < self.last_number:
            return
        changes: list[tuple[str, IdempotencyRecord | None]] = []
        for place, tickets in message.ranges:
            if not 0 <= place < len(self.book.digests):
                raise IdempotencyRecordError("no range of keys")
            changes += self.book.mend(place, list(tickets), self.replica.now)
        if changes:
            self.replica.actions.append(Persist(tickets=tuple(changes)))
        if message.digest is not None and message.digest == self.book.root():
            self.replica.send(source, StateStored(self.replica.me, message.epoch))

    # --- notes ---------------------------------------------------------------------------------------------

    def notes_told(self) -> int:
        """How far the notes that are in force here have come."""
        return sum(note.version + 1 for note in self.notes.values())

    def publish_settings(self) -> None:
        """Notes that can be lost no more go to all."""
        stored = [ticket for ticket in self.book.notes.values() if ticket.number not in self.unstored]
        told = tuple(ReplicatedSetting(ticket.place, int(ticket.body), ticket.answer) for ticket in stored)
        for note in told:
            self.learn_setting(note)
        if told:
            self.replica.broadcast(SettingsInForce(self.replica.me, told))

    def on_settings_in_force(self, source: str, message: SettingsInForce) -> None:
        for note in message.notes:
            self.learn_setting(note)

    def on_settings_request(self, source: str, message: SettingsRequest) -> None:
        if self.replica.may_serve(self.replica.now):
            self.publish_settings()

    def learn_setting(self, note: ReplicatedSetting) -> None:
        held = self.notes.get(note.name)
        if held is not None and held.version >= note.version:
            return
        self.notes[note.name] = note
        self.replica.actions.append(PublishSetting(note))
        if note.name == CONVERSATIONS:
            # Only where there are settings: a start is charged.
            from ivymux.idempotency.settings import TermsError, read

            with contextlib.suppress(TermsError):  # it was checked; an older program keeps what it knew
                self.rules = read(note.text.encode()).rules
