"""One core machine's replica: entry points for messages, calls, ticks and the end of the process.  Pure.

An epoch names a primary, one or more backups and the members whose majority decides.  Members that are
neither primary nor backup store only epoch records (witnesses).

* Fencing: a member that has promised epoch n ignores every lower epoch.
* A new epoch needs the promises of majorities of the members of every epoch that may be in force.  Only the
  primary or a backup of the newest of them may make it, and only if it holds the whole state of that epoch.
* An epoch is in force once its backups' disks hold the whole state, and the disks of the same majorities and
  of a majority of the new members hold its record.
* A primary writes to its own disk and to all backups' before it acknowledges.  It reads and acknowledges only
  under the lease of a majority, which it stops using before any of the members counts it as expired.
* A primary that makes the next epoch itself stays the primary meanwhile, under the same lease.  It still
  serves reads; once the next epoch's state is fixed, new changes wait until that epoch is in force.
* A leaving machine stays until an epoch is in force that has it neither as primary nor as backup, and that
  has removed it from the members where enough others remain.  A copy of the state is therefore never lost
  with a process that was asked to shut down.
* A machine with an empty disk that does not take part in the system's first start gets a new identity.  It is
  not a member until an epoch includes it.

Whatever must be on disk before a message is sent precedes that message as a `Persist` action.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ivymux.config_store import messages
from ivymux.config_store.actions import Action, Reply
from ivymux.config_store.calls import Call, PutConfiguration
from ivymux.config_store.leadership import Leadership
from ivymux.config_store.messages import JoinRequest, Leaving, ReplicaMessage
from ivymux.config_store.records import DurableState
from ivymux.config_store.timing import JOIN_INTERVAL_S, PROCESS_PAUSE_S


class Replica(Leadership):
    """A complete replica.  The host passes in steady time and carries out the returned actions in order."""

    def __init__(self, durable: DurableState, now: float, backup_count: int = 1) -> None:
        super().__init__(durable, now, backup_count)
        replication = self.record_replication
        self.handlers: dict[type[ReplicaMessage], Callable[[str, Any], None]] = {
            messages.PromiseRequest: self.on_promise_request,
            messages.Promise: self.on_promise,
            messages.Refusal: self.on_refusal,
            messages.StillWriting: self.on_still_writing,
            messages.StateTransfer: self.on_state_transfer,
            messages.StateStored: self.on_state_stored,
            messages.AcceptRequest: self.on_accept_request,
            messages.Accepted: self.on_accepted,
            messages.EpochKnown: self.on_epoch_known,
            messages.DiskSynced: self.on_disk_synced,
            messages.JoinRequest: self.on_join_request,
            messages.Leaving: self.on_leaving,
            messages.DepartureGranted: self.on_departure_granted,
            messages.LeadershipReleased: self.on_leadership_released,
            messages.LeaseRequest: self.on_lease_request,
            messages.LeaseGrant: self.on_lease_grant,
            messages.WriteRequest: self.on_write_request,
            messages.WriteStored: self.on_write_stored,
            messages.ConfigurationRequest: self.on_configuration_request,
            messages.ConfigurationInForce: self.on_configuration_in_force,
            messages.RecordWrite: replication.on_record_write,
            messages.RecordStored: replication.on_record_stored,
            messages.RecordsExpired: replication.on_records_expired,
            messages.RecordDigest: replication.on_record_digest,
            messages.RecordRangeDigests: replication.on_record_range_digests,
            messages.RecordRepair: replication.on_record_repair,
            messages.SettingsRequest: replication.on_settings_request,
            messages.SettingsInForce: replication.on_settings_in_force,
        }

    def begin_step(self, now: float) -> None:
        """Start the handling of an event.

        After a pause of its process, a primary gets the time to renew its lease before it steps down.
        """
        if now - self.now > PROCESS_PAUSE_S:
            self.had_majority_at = now
        self.now, self.actions = now, []

    def handle(self, now: float, source: str, message: ReplicaMessage) -> list[Action]:
        """Handle a message from the machine at address `source`.

        Raises ValueError for a message that no correct peer sends.
        """
        self.begin_step(now)
        handler = self.handlers.get(type(message))
        if handler is None:
            raise ValueError(f"not a message between replicas: {type(message).__name__}")
        handler(source, message)
        return self.actions

    def tick(self, now: float) -> list[Action]:
        """Do the work that is due; called about every 50 ms."""
        self.begin_step(now)
        if self.leaving_since is not None:
            self.broadcast(Leaving(self.identity))
        if self.led_epoch is not None:
            self.act_as_primary()
        elif self.attempt is not None:
            self.continue_attempt()
        elif self.may_begin_attempt():
            self.begin_attempt("a first start" if self.is_founder() else "the primary is silent")
        elif not self.is_member() and self.leaving_since is None and now >= self.next_broadcast_at:
            self.next_broadcast_at = now + JOIN_INTERVAL_S
            self.broadcast(JoinRequest(self.identity))
        if self.led_epoch is None:
            self.announce_epoch_without_primary()
        return self.actions

    def on_peer_connected(self) -> None:
        """A connection to another machine is up: repeat lease or join requests at once."""
        self.next_broadcast_at = 0.0

    def leave(self, now: float) -> list[Action]:
        """Start to shut down by handing over this process's roles; `may_exit` says when it is complete."""
        self.begin_step(now)
        self.leaving_since = now
        self.broadcast(Leaving(self.identity))
        if self.led_epoch is not None:
            self.act_as_primary()
        return self.actions

    def handle_call(self, now: float, call_id: int, call: Call) -> Reply | None:
        """Handle a call that only the primary can answer; returns None where this machine is not the primary.

        Raises ValueError for a call that no correct process makes.
        """
        self.begin_step(now)
        if isinstance(call, PutConfiguration):
            return self.put_configuration(call_id, call.version, call.text)
        return self.record_replication.handle_call(call_id, call)
