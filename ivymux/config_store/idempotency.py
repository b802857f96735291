"""Replication of idempotency records and replicated settings between an epoch's primary and backups.  Pure.

Like a change of the configuration, a change of a record is on the primary's disk and on all backups' before
it is acknowledged, under the same epochs and leases.  A new backup does not receive the whole record store:
the copies are compared by digests over ranges of keys, and ranges that differ are repaired from the primary's
copy before the epoch comes into force.  While it is in force, the copies are compared periodically.

A replicated setting is an internal setting of the system with a name, a version and a text; it is broadcast
to all core machines.  It is stored as a record that never expires.
"""

from __future__ import annotations

import contextlib
import math
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Protocol

import msgspec
from msgspec.structs import replace

from ivymux.config_store.actions import Action, Complete, Persist, PublishSetting, Reply
from ivymux.config_store.calls import Call, ClaimAction, EndAction, LookUpAction, PutSetting, ReadSetting
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
from ivymux.config_store.record_repair import RepairItem, plan_repair, resumption_key
from ivymux.config_store.records import ConfigurationState, EpochRecord, ReplicatedSetting, address_of
from ivymux.config_store.timing import RETRY_INTERVAL_S
from ivymux.idempotency import CONVERSATIONS
from ivymux.idempotency.record_store import (
    DONE,
    IN_PROGRESS,
    KEY_DIGITS,
    OPEN,
    PROCEED,
    SETTING_CLAIM_PREFIX,
    IdempotencyRecord,
    IdempotencyRecordError,
    RecordLimits,
    RecordStore,
    Verdict,
    range_interval,
)
from ivymux.transport.batching import split_by_bytes

COMPARE_INTERVAL_S = 5.0  # between comparisons of the copies
SWEEP_INTERVAL_S = 1.0  # between removals of expired records
CHANGE_NUMBERS_PER_EPOCH = 1 << 32  # so that the numbers of a later epoch are higher
PENDING_RETRY_AFTER_S = 0.1  # when to repeat a claim whose record is still being written
MAX_SETTING_CHARS = 32 << 10
MAX_SETTINGS = 200
NO_VERSION = -1  # of a setting that is not known


class AttemptView(Protocol):
    """The part of an election attempt that record replication needs."""

    number: int
    epoch_record: EpochRecord | None
    last_progress_at: float


class ReplicaView(Protocol):
    """The part of the replica that record replication needs: its epoch, lease and outgoing messages."""

    identity: str
    now: float
    actions: list[Action]
    last_received_at: dict[str, float]
    state: ConfigurationState | None
    promised: int
    promised_to: str
    led_epoch: EpochRecord | None

    @property
    def attempt(self) -> AttemptView | None: ...

    def may_serve(self, now: float) -> bool: ...

    def is_writable(self) -> bool: ...

    def send(self, to: str, message: ReplicaMessage) -> None: ...

    def broadcast(self, message: ReplicaMessage) -> None: ...


@dataclass(slots=True)
class PendingRecord:
    """A change of a record that is not on all disks of the epoch yet, with the calls that wait for it."""

    record: IdempotencyRecord
    calls: list[int]
    sent_at: float
    written_at: float
    stored_by: set[str] = field(default_factory=set)  # the primary and the backups whose disks hold it


def setting_record(name: str, version: int, text: str) -> IdempotencyRecord:
    """Return the record that holds a replicated setting.

    `request_digest` holds the name, `body_digest` the version and `answer` the text.
    """
    key = blake2b(f"{SETTING_CLAIM_PREFIX}{name}".encode(), digest_size=KEY_DIGITS // 2).hexdigest()
    return IdempotencyRecord(key, "", SETTING_CLAIM_PREFIX + name, name, str(version), 0.0, DONE, 0, text)


def setting_of(record: IdempotencyRecord) -> ReplicatedSetting:
    """Return the replicated setting that a record holds."""
    return ReplicatedSetting(record.request_digest, int(record.body_digest), record.answer)


def verdict_answer(verdict: Verdict) -> dict[str, Any]:
    """Return a verdict in the form that a connection carries."""
    return {
        "ok": True,
        "verdict": verdict.kind,
        "after": verdict.retry_after_s,
        "answer": verdict.answer,
        "what": verdict.mismatch,
    }


@dataclass(slots=True)
class RecordReplication:
    """The record store of one replica and its replication."""

    replica: ReplicaView
    store: RecordStore = field(default_factory=RecordStore)
    pending: dict[int, PendingRecord] = field(default_factory=dict)  # by change number
    last_change_number: int = 0  # of the last change made or applied here
    next_compare_at: float = 0.0
    next_sweep_at: float = 0.0
    settings: dict[str, ReplicatedSetting] = field(default_factory=dict)  # in force, by name
    limits: RecordLimits = field(default_factory=RecordLimits)
    compared_digests: dict[str, tuple[int, ...]] = field(default_factory=dict)  # last received, by backup

    # --- calls -----------------------------------------------------------------------------------------

    def handle_call(self, call_id: int, call: Call) -> Reply | None:
        """Handle a call of a proxy or a registry.

        Returns None where this machine is not the primary, or may not write now.  Raises ValueError for a
        call that no correct process makes.
        """
        if not self.replica.may_serve(self.replica.now) or not self.replica.is_writable():
            return None
        if isinstance(call, ClaimAction):
            return self.claim_action(call_id, call)
        if isinstance(call, LookUpAction):
            return self.look_up_action(call)
        if isinstance(call, EndAction):
            return self.end_action(call_id, call)
        if isinstance(call, PutSetting):
            return self.put_setting(call_id, call)
        if isinstance(call, ReadSetting):
            setting = self.settings.get(call.name, ReplicatedSetting(call.name, NO_VERSION, ""))
            return self.reply({"ok": True, "version": setting.version, "text": setting.text})
        raise IdempotencyRecordError(f"no such call: {type(call).__name__}")

    def reply(self, answer: dict[str, Any], wait: bool = False) -> Reply:
        """Return the reply to a call; with `wait`, it is sent once all disks hold the change."""
        return Reply(self.replica.actions, answer, wait)

    def reply_after(self, pending: PendingRecord | None, call_id: int, answer: dict[str, Any]) -> Reply:
        """Return the reply to a call, which waits for a pending change if there is one."""
        if pending is not None:
            pending.calls.append(call_id)
        return self.reply(answer, wait=pending is not None)

    def claim_action(self, call_id: int, call: ClaimAction) -> Reply:
        """Open a record for an action, or answer with why that is not possible."""
        record = IdempotencyRecord(
            call.key, call.tenant, call.claim, call.request_digest, call.body_digest, call.lifetime_s
        )
        verdict = self.store.judge_claim(record, self.limits, self.replica.now)
        held = self.store.records.get(record.key)
        pending = self.pending_for(record.key)
        if verdict.kind != PROCEED:
            if pending is not None:  # a state that is not on all disks yet must not be reported
                verdict = Verdict(IN_PROGRESS, PENDING_RETRY_AFTER_S)
            return self.reply(verdict_answer(verdict))
        if held is not None and held.claim == record.claim and held.state == OPEN:
            return self.reply_after(pending, call_id, verdict_answer(verdict))
        self.replicate(record, call_id)
        return self.reply(verdict_answer(verdict), wait=True)

    def look_up_action(self, call: LookUpAction) -> Reply:
        """Answer with what is known of an action; nothing is written."""
        verdict = self.store.look_up(call.key, call.request_digest, call.body_digest, self.replica.now)
        if self.pending_for(call.key) is not None:
            verdict = Verdict(IN_PROGRESS, PENDING_RETRY_AFTER_S)
        return self.reply(verdict_answer(verdict))

    def end_action(self, call_id: int, call: EndAction) -> Reply:
        """End the record of an action with its outcome."""
        record = self.store.ended_record(call.key, call.claim, call.state, call.answer, self.limits)
        if record is None or record.is_setting:  # already ended, or held by another claim
            return self.reply_after(self.pending_for(call.key), call_id, {"ok": True})
        self.replicate(record, call_id)
        return self.reply({"ok": True}, wait=True)

    def put_setting(self, call_id: int, call: PutSetting) -> Reply:
        """Store a replicated setting.

        A setting that was based on another version than the one held is not stored, nor is another text
        under the version held; the answer then carries the version held.  Raises IdempotencyRecordError for
        a setting that is too long, or one too many.
        """
        record = setting_record(call.name, call.version, call.text)
        held = self.store.records.get(record.key)
        held_version = int(held.body_digest) if held is not None else NO_VERSION
        is_repeat = held is not None and held_version == call.version and held.answer == call.text
        has_other_base = call.based_on is not None and call.based_on != held_version
        if not is_repeat and (has_other_base or held_version == call.version):
            return self.reply({"ok": True, "taken": False, "version": held_version})
        answer = {"ok": True, "version": call.version}
        if held_version >= call.version:
            return self.reply_after(self.pending_for(record.key), call_id, answer)
        is_too_many = held is None and len(self.store.settings) >= MAX_SETTINGS
        if len(call.text) > MAX_SETTING_CHARS or is_too_many:
            raise IdempotencyRecordError("the setting is too long, or there are too many settings")
        self.replicate(record, call_id)
        return self.reply(answer, wait=True)

    def read_setting(self, name: str) -> ReplicatedSetting | bool | None:
        """Return a setting in force, None if there is none, False where this machine is not the primary."""
        if not self.replica.may_serve(self.replica.now):
            return False
        return self.settings.get(name)

    def pending_for(self, key: str) -> PendingRecord | None:
        """Return the pending change of a record, if there is one."""
        held = self.store.records.get(key)
        return self.pending.get(held.change_number) if held is not None else None

    # --- at the primary ----------------------------------------------------------------------------------

    def replicate(self, record: IdempotencyRecord, call_id: int) -> None:
        """Write a change to all disks of the epoch; the call is answered once all have it."""
        replica = self.replica
        assert replica.led_epoch is not None
        first_number = replica.led_epoch.number * CHANGE_NUMBERS_PER_EPOCH
        self.last_change_number = max(self.last_change_number, first_number) + 1
        record = replace(record, change_number=self.last_change_number)
        self.store.apply(record, replica.now)
        pending = PendingRecord(record, [call_id], replica.now, replica.now)
        self.pending[record.change_number] = pending
        self.send_to_backups(pending)
        replica.actions.append(Persist(idempotency_records=((record.key, record),)))
        stored = RecordStored(replica.identity, replica.led_epoch.number, record.change_number)
        replica.send(address_of(replica.identity), stored)

    def send_to_backups(self, pending: PendingRecord) -> None:
        """Send a change to the backups that have not stored it."""
        epoch = self.epoch_to_replicate()
        write = RecordWrite(self.replica.identity, epoch.number, pending.record)
        for backup in epoch.backups():
            if backup not in pending.stored_by:
                self.replica.send(address_of(backup), write)

    def epoch_to_replicate(self) -> EpochRecord:
        """Return the epoch under which records are sent to its backups."""
        attempt = self.replica.attempt
        epoch = attempt.epoch_record if attempt is not None and attempt.epoch_record is not None else None
        epoch = epoch or self.replica.led_epoch
        assert epoch is not None
        return epoch

    def waiting_since(self, backup: str) -> float:
        """Return when the oldest change that the primary's disk holds and a backup's does not was written.

        Returns infinity if there is none.
        """
        primary = self.replica.identity
        return min(
            (
                pending.written_at
                for pending in self.pending.values()
                if primary in pending.stored_by and backup not in pending.stored_by
            ),
            default=math.inf,
        )

    def on_record_stored(self, source: str, message: RecordStored) -> None:
        """Note that a disk holds a change, and complete the change once all disks hold it."""
        replica = self.replica
        replica.last_received_at[message.sender] = replica.now
        epoch = replica.led_epoch
        if epoch is None or message.epoch != epoch.number or not replica.is_writable():
            return
        pending = self.pending.get(message.change_number)
        if pending is None:
            return
        pending.stored_by.add(message.sender)
        if pending.stored_by >= set(epoch.copies()):
            del self.pending[message.change_number]
            replica.actions += [Complete(call_id) for call_id in pending.calls]
            if pending.record.is_setting:
                self.publish_settings()

    def tick_as_primary(self) -> None:
        """Resend pending changes, remove expired records and compare the copies, each when it is due."""
        now = self.replica.now
        if not self.replica.is_writable():
            return
        for pending in self.pending.values():
            if now - pending.sent_at > RETRY_INTERVAL_S:
                pending.sent_at = now
                self.send_to_backups(pending)
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_INTERVAL_S
            self.remove_expired()
        if now >= self.next_compare_at:
            self.next_compare_at = now + COMPARE_INTERVAL_S
            if self.store.records and not self.pending:
                epoch = self.epoch_to_replicate()
                digest = RecordDigest(self.replica.identity, epoch.number, self.store.root_digest())
                for backup in epoch.backups():
                    self.replica.send(address_of(backup), digest)
        if len(self.settings) < len(self.store.settings):
            self.publish_settings()

    def remove_expired(self) -> None:
        """Remove records whose retention time is over, here and at the backups."""
        expired = [
            key
            for key in self.store.expired_keys(self.limits, self.replica.now)
            if key not in self.store.settings
        ]
        if expired and not self.pending:
            self.remove(expired)
            epoch = self.epoch_to_replicate()
            message = RecordsExpired(self.replica.identity, epoch.number, tuple(expired))
            for backup in epoch.backups():
                self.replica.send(address_of(backup), message)

    def remove(self, keys: list[str]) -> None:
        """Remove records from this copy and its disk."""
        for key in keys:
            self.store.remove(key)
        if keys:
            self.replica.actions.append(Persist(idempotency_records=tuple((key, None) for key in keys)))

    def on_record_range_digests(self, source: str, message: RecordRangeDigests) -> None:
        """Send a backup the ranges in which its copy differs from this one."""
        if message.sender not in self.backups_to_repair(message.epoch):
            return
        backup = address_of(message.sender)
        if len(message.digests) != len(self.store.digests):
            return
        self.note_repair_progress(message)
        differing = self.store.differing_ranges([*message.digests])
        batches = plan_repair(self.store.records_in_ranges(differing), message.resume_after) or [[]]
        for batch in batches:
            self.send_repair(backup, batch, last=batch is batches[-1])

    def note_repair_progress(self, message: RecordRangeDigests) -> None:
        """Keep an attempt going whose backup has come closer to this copy since its last comparison."""
        self.replica.last_received_at[message.sender] = self.replica.now
        attempt = self.replica.attempt
        if attempt is not None and self.compared_digests.get(message.sender) != message.digests:
            attempt.last_progress_at = self.replica.now
        self.compared_digests[message.sender] = message.digests

    def backups_to_repair(self, epoch: int) -> tuple[str, ...]:
        """Return the backups of an epoch, before the epoch is in force or while it is; none if neither."""
        attempt, led_epoch = self.replica.attempt, self.replica.led_epoch
        if attempt is not None and attempt.epoch_record is not None and attempt.number == epoch:
            return attempt.epoch_record.backups()
        if led_epoch is None or led_epoch.number != epoch or not self.replica.is_writable():
            return ()
        return led_epoch.backups() if not self.pending else ()

    def send_repair(self, backup: str, batch: list[RepairItem], last: bool) -> None:
        """Send a part of this copy to a backup at an address; the last message carries the store's digest."""
        repair = RecordRepair(
            self.replica.identity,
            self.epoch_to_replicate().number,
            self.last_change_number,
            tuple((i.whole_range, i.interval.records) for i in batch if i.whole_range is not None),
            self.store.root_digest() if last else None,
            tuple(i.interval for i in batch if i.whole_range is None),
        )
        self.replica.send(backup, repair)

    def complete_pending(self) -> None:
        """Acknowledge all pending changes.

        Called when a new epoch comes into force: its backups' copies equal this one, so all disks hold them.
        """
        for pending in self.pending.values():
            self.replica.actions += [Complete(call_id) for call_id in pending.calls]
        self.pending.clear()

    def drop_pending(self) -> None:
        """Forget pending changes without an acknowledgement, as this machine is no longer the primary."""
        self.pending.clear()

    # --- at a backup -------------------------------------------------------------------------------------

    def is_backup_of(self, primary: str, epoch: int) -> bool:
        """Whether this machine follows a primary in an epoch, and holds that epoch's state."""
        replica = self.replica
        return (
            replica.state is not None
            and replica.state.epoch == epoch <= replica.promised
            and primary == replica.promised_to
            and replica.led_epoch is None
        )

    def on_record_write(self, source: str, message: RecordWrite) -> None:
        if not self.is_backup_of(message.sender, message.epoch):
            return
        record = message.record
        if self.store.apply(record, self.replica.now):
            self.replica.actions.append(Persist(idempotency_records=((record.key, record),)))
        self.last_change_number = max(self.last_change_number, record.change_number)
        self.replica.send(source, RecordStored(self.replica.identity, message.epoch, record.change_number))

    def on_records_expired(self, source: str, message: RecordsExpired) -> None:
        if self.is_backup_of(message.sender, message.epoch):
            self.remove([key for key in message.keys if key in self.store.records])

    def on_record_digest(self, source: str, message: RecordDigest) -> None:
        if self.is_backup_of(message.sender, message.epoch) and message.digest != self.store.root_digest():
            self.send_digests(source, message.epoch)

    def send_digests(self, primary: str, epoch: int, resume_after: str = "") -> None:
        """Send the primary the digests of this copy, so that it repairs the ranges that differ.

        `resume_after`: see RecordRangeDigests.
        """
        digests = tuple(self.store.digests)
        self.replica.send(primary, RecordRangeDigests(self.replica.identity, epoch, digests, resume_after))

    def on_record_repair(self, source: str, message: RecordRepair) -> None:
        """Apply a part of the primary's copy; if more differs, compare again for the next part.

        A repair that was sent before changes that this copy already holds is ignored: it would undo them.
        """
        if not self.is_backup_of(message.sender, message.epoch):
            return
        if message.last_change_number < self.last_change_number:
            return
        if any(not 0 <= number < len(self.store.digests) for number, _ in message.ranges):
            raise IdempotencyRecordError("the repair names a range of keys that does not exist")
        whole_ranges = [range_interval(number, records) for number, records in message.ranges]
        changes = self.store.repair([*whole_ranges, *message.intervals], self.replica.now)
        if changes:
            self.replica.actions.append(Persist(idempotency_records=tuple(changes)))
        if message.digest is None:
            return
        if message.digest == self.store.root_digest():
            self.replica.send(source, StateStored(self.replica.identity, message.epoch))
        elif changes or resumption_key(message.intervals):
            self.send_digests(source, message.epoch, resumption_key(message.intervals))

    # --- replicated settings ------------------------------------------------------------------------------

    def settings_progress(self) -> int:
        """Return a number that rises with each setting that comes into force here."""
        return sum(setting.version + 1 for setting in self.settings.values())

    def publish_settings(self) -> None:
        """Broadcast the settings that are on all disks of the epoch."""
        stored = [
            record for record in self.store.settings.values() if record.change_number not in self.pending
        ]
        settings = [setting_of(record) for record in stored]
        for setting in settings:
            self.update_setting(setting)
        for batch in split_by_bytes(settings, lambda setting: len(msgspec.json.encode(setting))):
            self.replica.broadcast(SettingsInForce(self.replica.identity, tuple(batch)))

    def on_settings_in_force(self, source: str, message: SettingsInForce) -> None:
        for setting in message.settings:
            self.update_setting(setting)

    def on_settings_request(self, source: str, message: SettingsRequest) -> None:
        if self.replica.may_serve(self.replica.now):
            self.publish_settings()

    def update_setting(self, setting: ReplicatedSetting) -> None:
        """Put a setting into force unless the same or a later version of it is in force."""
        held = self.settings.get(setting.name)
        if held is not None and held.version >= setting.version:
            return
        self.settings[setting.name] = setting
        self.replica.actions.append(PublishSetting(setting))
        if setting.name == CONVERSATIONS:
            # Imported only where such settings exist, as the import slows the process's start.
            from ivymux.idempotency.settings import ConversationSettingsError, read

            # The settings were validated when they were stored; an older release that cannot read them keeps
            # its limits.
            with contextlib.suppress(ConversationSettingsError):
                self.limits = read(setting.text.encode()).limits
