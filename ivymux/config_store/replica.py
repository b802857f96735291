"""One core machine's replica: the ways in for messages, calls, time and the end of the process.  Pure.

An epoch names a primary, a backup and the members whose majority decides.  Members that are neither keep only
epochs (witnesses).

* A member promises upward: once it has promised number n it takes part in nothing below n.
* A new epoch needs promises of a majority of the members of the last epoch that any of them knows.  Only that
  epoch's primary or backup may make it, and only with the whole state of that epoch.
* It is in force once its backup has the whole state on disk, and a majority of the old members and of the new
  ones keep its record on disk.
* A primary writes to its own disk and its backup's before it answers.  It reads and answers only under a
  lease of a majority, which it stops using before any of them counts it as over.
* A primary that makes the next epoch itself leads on meanwhile, under the same lease: it reads, and once the
  next epoch's state is fixed it takes changes that are written when that epoch is in force.
* A member that leaves stays until an epoch is in force whose pair it is not in, and which has let it out
  where others suffice: a copy of the state never ends with a process that was told to end.
* A machine with an empty disk that is not at its first start has an identity of its own: it is no member
  until an epoch takes it in.

Whatever must be on disk before it is told comes as `Persist` before the messages that rest on it.
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
    """All parts together.  The host gives steady time, and carries out the actions in their order."""

    def __init__(self, durable: DurableState, now: float) -> None:
        super().__init__(durable, now)
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
        """Each way in begins here.  A primary whose process stood still may ask for its lease once more."""
        if now - self.now > PROCESS_PAUSE_S:
            self.had_majority_at = now
        self.now, self.actions = now, []

    def handle(self, now: float, source: str, message: ReplicaMessage) -> list[Action]:
        """A message of the machine at address `source`.  Raises ValueError for what no correct peer says."""
        self.begin_step(now)
        receiver = self.handlers.get(type(message))
        if receiver is None:
            raise ValueError(f"no message to a replica: {type(message).__name__}")
        receiver(source, message)
        return self.actions

    def tick(self, now: float) -> list[Action]:
        """Called every 50 ms or so."""
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
        """Another machine can be reached from now on: what is being asked is said to it at once."""
        self.next_broadcast_at = 0.0

    def leave(self, now: float) -> list[Action]:
        """This process is to end: what it holds goes over to others first.  `may_end` tells when it has."""
        self.begin_step(now)
        self.leaving_since = now
        self.broadcast(Leaving(self.identity))
        if self.led_epoch is not None:
            self.act_as_primary()
        return self.actions

    def handle_call(self, now: float, call_id: int, call: Call) -> Reply | None:
        """A call that only who leads can answer; None where this machine does not.  Raises ValueError."""
        self.begin_step(now)
        if isinstance(call, PutConfiguration):
            return self.put(call_id, call.version, call.text)
        return self.record_replication.handle_call(call_id, call)
