"""What a replica knows of epochs, its promises and its disk; the base of its other parts.  Pure.

The parts build on one another: `ReplicaState`, `ChangeReplication`, `Elections`, `Leadership`, `Replica`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ivymux.config_store.actions import EVERYONE, Action, LogLine, Persist, Send
from ivymux.config_store.history import ChangeHistory
from ivymux.config_store.idempotency import RecordReplication
from ivymux.config_store.messages import DiskSynced, Refusal, ReplicaMessage
from ivymux.config_store.records import DurableState, EpochRecord, address_of, is_majority
from ivymux.config_store.timing import BACKUP_SILENCE, LEASE
from ivymux.idempotency.record_store import RecordStore


@dataclass(slots=True)
class Attempt:
    """A new epoch on its way."""

    number: int
    began: float
    promises: dict[str, EpochRecord] = field(default_factory=dict)
    previous: EpochRecord | None = None
    record: EpochRecord | None = None  # once a majority has promised: its state is fixed from then on
    backed: bool = False  # its backup has the state on disk
    accepted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)  # who has promised this number to another
    progress_at: float = 0.0  # when a member last took a step of it
    ask_again_at: float = 0.0
    working_at: float = -1e9  # when a member last said that its disk is at what was asked of it


class ReplicaState:
    """One core machine's part in the epochs; `now` is its steady time in seconds."""

    record_replication_class = RecordReplication

    def __init__(self, durable: DurableState, now: float) -> None:
        self.me = durable.identity
        self.now = now
        self.actions: list[Action] = []
        # What is on disk, or on its way there.
        self.record, self.state = durable.record, durable.state
        self.promised, self.promised_to = durable.promised, durable.promised_to
        self.history = ChangeHistory.of(durable.history)
        self.steps = 0  # promises, records and states that were given to the disk
        self.unsynced = 0  # the last of them, while it is not there
        # As a candidate or a primary.
        self.leading: EpochRecord | None = None  # the epoch in force that this machine leads
        self.attempt: Attempt | None = None
        self.failed_attempts = 0
        self.step_downs = 0
        self.highest_seen = durable.promised  # the highest number that any member is known to have promised
        self.grants: dict[str, float] = {}  # until when each member stands by this primary
        self.heard: dict[str, float] = {}  # when each member last answered
        self.joining: dict[str, float] = {}  # who would be a member, and when it last said so
        self.leaving: dict[str, float] = {}  # who said that it ends, and when it last did
        self.distrusted: dict[str, float] = {}  # whose disk did not answer, and until when that counts
        self.served_at = now  # when a majority was last known to stand by this primary
        self.leaving_since: float | None = None  # this machine's own process is to end
        # As a member.
        self.leased_to, self.leased_until = "", 0.0  # this member's vote
        # Votes from before a restart are not known: until they have ended only their holder gets a promise.
        self.held_until = now + LEASE if durable.record is not None else 0.0
        self.wait_until = 0.0  # before this machine begins an attempt
        store = RecordStore()
        for record in durable.idempotency_records.values():
            store.apply(record, now)
        self.record_replication = self.record_replication_class(self, store)

    # --- what it says and keeps ----------------------------------------------------------------------

    def send(self, to: str, message: ReplicaMessage) -> None:
        self.actions.append(Send(to, message))

    def broadcast(self, message: ReplicaMessage) -> None:
        """To all core machines that are known, members or not."""
        self.send(EVERYONE, message)

    def log(self, text: str) -> None:
        self.actions.append(LogLine(text))

    def persist_step(self, step: Persist) -> None:
        """Write a step of an epoch; while that is on its way this machine begins no attempt."""
        self.steps += 1
        self.unsynced = self.steps
        self.actions.append(step)
        self.send(address_of(self.me), DiskSynced(self.me, self.steps))

    def on_disk_synced(self, source: str, message: DiskSynced) -> None:
        if message.sender == self.me and message.step == self.unsynced:
            self.unsynced = 0

    # --- who is who ----------------------------------------------------------------------------------

    def is_member(self) -> bool:
        return self.record is not None and self.me in self.record.members

    def is_in_pair(self) -> bool:
        return self.record is not None and self.me in (self.record.primary, self.record.backup)

    def leavers(self) -> set[str]:
        """Who is about to end: they say so again and again, and one that does no more has ended."""
        return {member for member, at in self.leaving.items() if self.now - at < BACKUP_SILENCE}

    def unfit_backups(self) -> set[str]:
        """Who is made the backup only where nobody else can be: it leaves, or its disk did not answer."""
        return self.leavers() | {member for member, until in self.distrusted.items() if self.now < until}

    def is_founding(self) -> bool:
        """Whether this machine is one of those of the system's very first start, with no epoch yet."""
        return self.record is not None and self.record.number == 0 and self.me in self.record.members

    def may_serve(self, now: float) -> bool:
        """Whether this machine leads an epoch in force, under a lease of a majority.

        Once members have been asked to accept the next epoch, a majority of its members is needed too: they
        could else make a further one among themselves.
        """
        if self.leading is None or self.record is None:
            return False
        votes = {member for member, until in self.grants.items() if until > now} | {self.me}
        epochs = (self.leading, self.record) if self.record.number > self.leading.number else (self.leading,)
        return all(is_majority(epoch.members, votes) for epoch in epochs)

    def is_writable(self) -> bool:
        """Whether changes are written under the epoch in force.

        Not any more once the state of the next one is fixed: who leads behind it may not have them.
        """
        if self.leading is None or self.state is None:
            return False
        fixed = self.attempt is not None and self.attempt.record is not None
        return not fixed and self.state.epoch == self.leading.number

    # --- promises and records ------------------------------------------------------------------------

    def promise(self, number: int, candidate: str) -> None:
        """Take part in nothing below a number, and for that number only in what one candidate makes."""
        if candidate != self.me:
            self.step_down("another one leads now")
        self.promised, self.promised_to = number, candidate
        self.highest_seen = max(self.highest_seen, number)
        self.persist_step(Persist(promised=(number, candidate)))

    def refuse(self, source: str) -> None:
        """Tell who asks for less than was promised what was promised."""
        if self.record is not None:
            self.send(source, Refusal(self.me, self.promised, self.record))

    def learn(self, record: EpochRecord) -> None:
        """An epoch that a peer knows; nothing happens where it is no later one."""
        if self.record is not None and record.number <= self.record.number:
            return
        if self.leading is not None and record.number > self.leading.number:
            self.step_down("a later epoch is known")
        same_primary = self.record is not None and self.record.primary == record.primary
        self.record = record
        self.persist_step(Persist(record=record, same_primary=same_primary))

    def step_down(self, why: str) -> None:
        """Lead no more: what is not on both disks is not acknowledged by this machine."""
        if self.leading is None:
            return
        self.log(f"leads epoch {self.leading.number} no more: {why}")
        self.leading, self.attempt = None, None
        self.step_downs += 1
        self.grants = {}
        self.drop_unacknowledged()

    def drop_unacknowledged(self) -> None:
        self.record_replication.drop_pending()
