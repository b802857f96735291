"""A replica's epochs, promises and durable state; the base class of its other parts.  Pure.

The parts build on one another: `ReplicaState`, `ChangeReplication`, `Elections`, `Leadership`, `Replica`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ivymux.config_store.actions import EVERYONE, Action, LogLine, Persist, Send
from ivymux.config_store.history import ChangeHistory
from ivymux.config_store.idempotency import RecordReplication
from ivymux.config_store.messages import DiskSynced, Refusal, ReplicaMessage
from ivymux.config_store.records import DurableState, EpochRecord, Membership, address_of, is_majority
from ivymux.config_store.timing import BACKUP_TIMEOUT_S, LEASE_S
from ivymux.idempotency.record_store import RecordStore

NEVER = -1e9  # a steady time before every other


@dataclass(slots=True)
class ElectionAttempt:
    """A new epoch that this machine is trying to bring into force."""

    number: int
    started_at: float
    promises: dict[str, EpochRecord] = field(default_factory=dict)
    # Of which majorities have promised, and have to accept the record; set together with the record.
    memberships: tuple[Membership, ...] = ()
    # Set once a majority has promised; the state of the new epoch is fixed from then on.
    epoch_record: EpochRecord | None = None
    stored_by: set[str] = field(default_factory=set)  # backups whose disks hold the epoch's state
    accepted_by: set[str] = field(default_factory=set)
    refused_by: set[str] = field(
        default_factory=set
    )  # members that promised this number to another candidate
    last_progress_at: float = 0.0  # when a member last took a step of the attempt
    next_request_at: float = 0.0
    still_writing_at: float = NEVER  # when a member last reported that its disk is still writing

    def backups_without_state(self) -> tuple[str, ...]:
        """Return the new epoch's backups whose disks do not hold its state yet."""
        if self.epoch_record is None:
            return ()
        return tuple(backup for backup in self.epoch_record.backups() if backup not in self.stored_by)


class ReplicaState:
    """State and helpers that all parts of a replica share; `now` is the machine's steady time in seconds."""

    record_replication_class = RecordReplication

    def __init__(self, durable: DurableState, now: float, backup_count: int = 1) -> None:
        """`backup_count`: of an epoch that this machine makes; as many disks may be lost at once."""
        self.identity = durable.identity
        self.now = now
        self.backup_count = backup_count
        self.actions: list[Action] = []
        # What is on disk, or being written.
        self.known_epoch, self.state = durable.epoch_record, durable.state
        self.promised, self.promised_to = durable.promised, durable.promised_to
        self.history = ChangeHistory.from_changes(durable.history)
        self.epoch_steps = 0  # promises, records and states that were given to the disk
        self.unsynced_step = 0  # the last of them while it is not on disk yet, else 0
        # As a candidate or a primary.
        self.led_epoch: EpochRecord | None = None  # the epoch in force whose primary this machine is
        self.attempt: ElectionAttempt | None = None
        self.failed_attempts = 0
        self.step_downs = 0  # how often this machine has stopped being the primary
        self.highest_promise_seen = durable.promised  # by any member
        self.lease_grants: dict[str, float] = {}  # until when each member grants this primary its lease
        self.last_received_at: dict[str, float] = {}  # when each member last answered
        self.join_requested_at: dict[str, float] = {}  # when each non-member last asked to join
        self.leave_announced_at: dict[str, float] = {}  # when each machine last announced that it leaves
        self.distrusted_until: dict[str, float] = {}  # members whose disk did not answer
        self.had_majority_at = now  # when a majority was last known to grant this primary its lease
        self.leaving_since: float | None = None  # when this process was asked to shut down
        # As a member.
        self.leased_to, self.leased_until = "", 0.0  # the lease that this member grants
        self.last_primary, self.primary_seen_at = "", NEVER  # the last primary that asked for its lease
        # A lease granted before a restart is not remembered.  Until it must have expired, this member gives
        # promises only to the primary of the known epoch, as that machine may hold the lease.
        self.restart_lease_until = now + LEASE_S if durable.epoch_record is not None else 0.0
        self.next_attempt_at = 0.0  # the earliest time for an attempt of this machine
        store = RecordStore()
        for record in durable.idempotency_records.values():
            store.apply(record, now)
        self.record_replication = self.record_replication_class(self, store)

    # --- messages and durable steps -------------------------------------------------------------------

    def send(self, to: str, message: ReplicaMessage) -> None:
        """Send a message to the machine at an address."""
        self.actions.append(Send(to, message))

    def broadcast(self, message: ReplicaMessage, except_for: frozenset[str] = frozenset()) -> None:
        """Send a message to all known core machines, whether they are members or not.

        `except_for`: addresses to which it is not sent.
        """
        self.actions.append(Send(EVERYONE, message, except_for))

    def log(self, text: str) -> None:
        """Log a line."""
        self.actions.append(LogLine(text))

    def persist_epoch_step(self, step: Persist) -> None:
        """Write a step of an epoch to disk; this machine starts no attempt until it is there."""
        self.epoch_steps += 1
        self.unsynced_step = self.epoch_steps
        self.actions.append(step)
        self.send(address_of(self.identity), DiskSynced(self.identity, self.epoch_steps))

    def on_disk_synced(self, source: str, message: DiskSynced) -> None:
        if message.sender == self.identity and message.step == self.unsynced_step:
            self.unsynced_step = 0

    # --- roles ----------------------------------------------------------------------------------------

    def is_member(self) -> bool:
        """Whether this machine is a member of the newest epoch that it knows."""
        return self.known_epoch is not None and self.identity in self.known_epoch.members

    def is_voter(self) -> bool:
        """Whether this machine's vote may count in an election, by the newest epoch that it knows."""
        return self.known_epoch is not None and self.identity in self.known_epoch.voters()

    def holds_copy(self) -> bool:
        """Whether this machine is the primary or a backup of the newest epoch that it knows."""
        return self.known_epoch is not None and self.identity in self.known_epoch.copies()

    def leaving_members(self) -> set[str]:
        """Return the machines that are leaving.

        A leaving machine repeats its announcement; one that has stopped doing so has ended.
        """
        return {member for member, at in self.leave_announced_at.items() if self.now - at < BACKUP_TIMEOUT_S}

    def unfit_backups(self) -> set[str]:
        """Return the machines to avoid as the backup: leaving ones, and ones whose disk did not answer."""
        distrusted = {member for member, until in self.distrusted_until.items() if self.now < until}
        return self.leaving_members() | distrusted

    def min_members(self) -> int:
        """Return how many members remain a majority after as many losses as there are backups.

        Below this, no member is removed without a replacement.
        """
        return 2 * self.backup_count + 1

    def is_founder(self) -> bool:
        """Whether this machine is a seed of the system's first start, before the first epoch."""
        epoch = self.known_epoch
        return epoch is not None and epoch.number == 0 and self.identity in epoch.members

    def may_serve(self, now: float) -> bool:
        """Whether this machine is the primary of an epoch in force and holds the lease of a majority.

        Once members have been asked to accept the next epoch, the lease of a majority of its members is
        needed too, as they could otherwise make a further epoch among themselves.
        """
        if self.led_epoch is None or self.known_epoch is None:
            return False
        votes = {member for member, until in self.lease_grants.items() if until > now} | {self.identity}
        has_next_epoch = self.known_epoch.number > self.led_epoch.number
        epochs = (self.led_epoch, self.known_epoch) if has_next_epoch else (self.led_epoch,)
        return all(is_majority(epoch.members, votes) for epoch in epochs)

    def has_enough_copies(self) -> bool:
        """Whether the epoch in force has as many backups as this machine has to keep.

        Where the core has too few members for that, its epochs have fewer, and no change is acknowledged.
        """
        return self.led_epoch is not None and len(self.led_epoch.backups()) >= self.backup_count

    def is_writable(self) -> bool:
        """Whether changes may be written, and acknowledged, under the epoch in force."""
        return self.has_enough_copies() and self.has_current_state()

    def has_current_state(self) -> bool:
        """Whether the state belongs to the epoch in force.

        It does not once the state of the next epoch is fixed, whose primary might not have later changes.
        """
        if self.led_epoch is None or self.state is None:
            return False
        next_state_fixed = self.attempt is not None and self.attempt.epoch_record is not None
        return not next_state_fixed and self.state.epoch == self.led_epoch.number

    # --- promises and epoch records -------------------------------------------------------------------

    def promise(self, number: int, candidate: str) -> None:
        """Promise to ignore lower epochs and, for this number, every other candidate."""
        if candidate != self.identity:
            self.step_down("promised an epoch to another candidate")
        self.promised, self.promised_to = number, candidate
        self.highest_promise_seen = max(self.highest_promise_seen, number)
        self.persist_epoch_step(Persist(promised=(number, candidate)))

    def send_refusal(self, source: str) -> None:
        """Refuse a request that this machine's promise excludes; the refusal carries the promise."""
        if self.known_epoch is not None:
            self.send(source, Refusal(self.identity, self.promised, self.known_epoch))

    def learn_epoch(self, record: EpochRecord) -> None:
        """Store an epoch record of a peer if it is newer than the known one, or a settled copy of it."""
        if self.known_epoch is not None and record.number <= self.known_epoch.number:
            if not record.joint_memberships:
                self.settle_epoch(record.number)
            return
        if self.led_epoch is not None and record.number > self.led_epoch.number:
            self.step_down("a later epoch is known")
        same_primary = self.known_epoch is not None and self.known_epoch.primary == record.primary
        self.known_epoch = record
        self.persist_epoch_step(Persist(epoch_record=record, same_primary=same_primary))

    def settle_epoch(self, number: int) -> None:
        """Store that an epoch is in force, so that its own members decide alone, if it is the known one."""
        known = self.known_epoch
        if known is not None and known.number == number and known.joint_memberships:
            self.known_epoch = known.settled()
            self.actions.append(Persist(epoch_record=self.known_epoch, same_primary=True))

    def step_down(self, why: str) -> None:
        """Stop being the primary; changes that are not on all disks of the epoch are not acknowledged."""
        if self.led_epoch is None:
            return
        self.log(f"no longer the primary of epoch {self.led_epoch.number}: {why}")
        self.led_epoch, self.attempt = None, None
        self.step_downs += 1
        self.lease_grants = {}
        self.drop_unacknowledged()

    def drop_unacknowledged(self) -> None:
        """Forget changes that are not on all disks of the epoch."""
        self.record_replication.drop_pending()
