"""Replication of the configuration: one text per version, on all disks of an epoch before it is acknowledged.

Pure.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ivymux.config_store.actions import Complete, Persist, Publish, Reply
from ivymux.config_store.history import ChangeOutcome, digest_of
from ivymux.config_store.messages import (
    ConfigurationInForce,
    ConfigurationRequest,
    WriteRequest,
    WriteStored,
)
from ivymux.config_store.records import ConfigurationState, DurableState, address_of
from ivymux.config_store.replica_state import ReplicaState
from ivymux.config_store.timing import RETRY_INTERVAL_S

NO_VERSION = -1  # where no configuration is held


@dataclass(slots=True)
class PendingChange:
    """A change that is not on all disks of the epoch yet, with the calls that wait for it."""

    version: int
    text: str
    digest: str
    calls: list[int]
    sent_at: float = 0.0
    written_at: float = 0.0  # when the change was first written under the epoch in force
    stored_by: set[str] = field(default_factory=set)  # the primary and the backups whose disks hold it


class ChangeReplication(ReplicaState):
    """Replication of the configuration from the primary to the backups, and its publication to all."""

    def __init__(self, durable: DurableState, now: float, backup_count: int = 1) -> None:
        super().__init__(durable, now, backup_count)
        self.pending: list[PendingChange] = []  # in rising order of versions
        self.published_version = NO_VERSION  # the last version that this machine published

    def held_version(self) -> int:
        """Return the version of the configuration that this machine holds."""
        return self.state.version if self.state is not None else NO_VERSION

    # --- calls ---------------------------------------------------------------------------------------

    def put_configuration(self, call_id: int, version: int, text: str) -> Reply | None:
        """Store a validated change.

        Returns None where this machine is not the primary, or cannot decide yet.
        """
        if not self.may_serve(self.now):
            return None
        digest = digest_of(text)
        same = next((change for change in self.pending if change.version == version), None)
        if same is not None:
            if same.digest != digest:
                return None  # undecided until the first of the two texts is on all disks
            same.calls.append(call_id)
            return self.reply(ChangeOutcome.STORED, version, digest, wait=True)
        outcome = self.history.outcome_of(version, digest)
        if outcome is not ChangeOutcome.NEW:
            return self.reply(outcome, version, digest)
        if self.pending and version < self.pending[-1].version:
            # Superseded once the higher version is on all disks.
            self.pending[-1].calls.append(call_id)
            return self.reply(ChangeOutcome.SUPERSEDED, version, digest, wait=True)
        change = PendingChange(version, text, digest, [call_id])
        self.pending.append(change)
        if self.is_writable():
            self.write_change(change)
        return self.reply(ChangeOutcome.STORED, version, digest, wait=True)

    def reply(self, outcome: ChangeOutcome, version: int, digest: str, wait: bool = False) -> Reply:
        """Return the answer for the operator: the outcome of the change, and the newest version."""
        known = {**self.history.digests, **{change.version: change.digest for change in self.pending}}
        newest = max(known, default=NO_VERSION)
        answer: dict[str, Any] = {
            "ok": True,
            "outcome": outcome.value,
            "digest": digest,
            "held_version": newest,
            "known_digest": known.get(version if outcome is ChangeOutcome.CONFLICT else newest, ""),
        }
        return Reply(self.actions, answer, wait)

    # --- at the primary ------------------------------------------------------------------------------

    def write_change(self, change: PendingChange) -> None:
        """Write a change to the disks of the primary and the backups."""
        assert self.led_epoch is not None
        change.stored_by.clear()
        change.written_at = self.now
        self.send_write(change)
        state = ConfigurationState(self.led_epoch.number, change.version, change.text)
        self.actions.append(Persist(state=state, change=(change.version, change.digest)))
        self.send(address_of(self.identity), WriteStored(self.identity, state.epoch, state.version))

    def send_write(self, change: PendingChange) -> None:
        """Send a change to the backups that have not stored it."""
        assert self.led_epoch is not None
        change.sent_at = self.now
        position = self.pending.index(change)
        previous = self.pending[position - 1].version if position else self.held_version()
        request = WriteRequest(self.identity, self.led_epoch.number, previous, change.version, change.text)
        for backup in self.led_epoch.backups():
            if backup not in change.stored_by:
                self.send(address_of(backup), request)

    def resend_writes(self) -> None:
        """Repeat writes that the backups have not acknowledged in time."""
        if not self.is_writable():
            return
        for change in self.pending:
            if self.now - change.sent_at > RETRY_INTERVAL_S:
                self.send_write(change)

    def rewrite_pending(self) -> None:
        """Write the pending changes again, under the epoch that has come into force."""
        for change in self.pending:
            self.write_change(change)

    def waiting_since(self, backup: str) -> float:
        """Return when the oldest change that this machine's disk holds and a backup's does not was written.

        Returns infinity if there is none.
        """
        changes = [
            change.written_at
            for change in self.pending
            if self.identity in change.stored_by and backup not in change.stored_by
        ]
        return min([*changes, self.record_replication.waiting_since(backup)])

    def on_write_stored(self, source: str, message: WriteStored) -> None:
        """Note that a disk holds all changes up to a version, and complete those that all disks hold."""
        self.last_received_at[message.sender] = self.now
        if self.led_epoch is None or message.epoch != self.led_epoch.number or not self.is_writable():
            return
        for change in self.pending:
            # Changes are written in order: a disk that holds a later change holds this one too.
            if change.version <= message.version:
                change.stored_by.add(message.sender)
        self.complete_changes()

    def complete_changes(self) -> None:
        """Acknowledge and publish the changes that are on all disks of the epoch."""
        assert self.led_epoch is not None
        copies = set(self.led_epoch.copies())
        done = [change for change in self.pending if copies <= change.stored_by]
        if not done:
            return
        self.pending = [change for change in self.pending if change not in done]
        for change in done:
            self.state = ConfigurationState(self.led_epoch.number, change.version, change.text)
            self.history.add(change.version, change.digest)
            self.actions += [Complete(call_id) for call_id in change.calls]
        self.publish()

    def drop_unacknowledged(self) -> None:
        super().drop_unacknowledged()
        self.pending.clear()

    # --- at a backup ---------------------------------------------------------------------------------

    def on_write_request(self, source: str, message: WriteRequest) -> None:
        """Store a change as a backup; changes of another epoch or with a gap before them are ignored."""
        if self.state is None or self.state.epoch != message.epoch:
            return
        if self.promised > message.epoch and self.promised_to != message.sender:
            return  # promised to another candidate: writes of an earlier primary are fenced off
        if message.version > self.state.version:
            if message.previous > self.state.version:
                return  # an earlier change was lost on the way; the primary will send it again
            self.state = ConfigurationState(message.epoch, message.version, message.text)
            change = (message.version, digest_of(message.text))
            self.history.add(*change)
            self.actions.append(Persist(state=self.state, change=change))
        self.send(source, WriteStored(self.identity, message.epoch, message.version))

    # --- publication -----------------------------------------------------------------------------

    def publish(self) -> None:
        """Broadcast the configuration, which is on all disks of the epoch."""
        state = self.state
        if state is None or state.version < 0:
            return
        self.update_published(state.version, state.text)
        self.broadcast(ConfigurationInForce(self.identity, state.epoch, state.version, state.text))

    def update_published(self, version: int, text: str) -> None:
        """Publish a configuration to this machine's registries if it is newer than the last one."""
        if version > self.published_version:
            self.published_version = version
            self.actions.append(Publish(version, text))

    def on_configuration_in_force(self, source: str, message: ConfigurationInForce) -> None:
        self.update_published(message.version, message.text)

    def on_configuration_request(self, source: str, message: ConfigurationRequest) -> None:
        state = self.state
        if self.may_serve(self.now) and state is not None:
            self.send(source, ConfigurationInForce(self.identity, state.epoch, state.version, state.text))
