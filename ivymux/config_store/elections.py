"""Elections: promises of majorities, state transfer to the new backups, acceptance by majorities.  Pure.

The protocol follows Vertical Paxos II (Lamport, Malkhi, Zhou 2009) and PacificA (2008).  A candidate is the
primary or a backup of the newest epoch that any promise names, or the primary in force when it changes its
backups or the members.  It repeats its requests under one number until a member refuses: each new number
costs every member a commit to disk, and a slow disk takes longer for it than any time-out that suits a fast
disk.
"""

from __future__ import annotations

from ivymux.config_store.actions import Persist
from ivymux.config_store.changes import ChangeReplication
from ivymux.config_store.history import ChangeHistory
from ivymux.config_store.membership import (
    are_majorities,
    choose_backups,
    deciding_memberships,
    newest_record,
    next_members,
)
from ivymux.config_store.messages import (
    Accepted,
    AcceptRequest,
    Promise,
    PromiseRequest,
    Refusal,
    StateStored,
    StateTransfer,
    StillWriting,
)
from ivymux.config_store.records import (
    ConfigurationState,
    DurableState,
    EpochRecord,
    address_of,
)
from ivymux.config_store.replica_state import NEVER, ElectionAttempt
from ivymux.config_store.timing import (
    BACKUP_TIMEOUT_S,
    FIRST_START_DELAY_S,
    FIRST_START_RANK_DELAY_S,
    JOIN_INTERVAL_S,
    LEASE_S,
    MAX_DEFERRAL_S,
    MAX_DISK_DEFERRAL_S,
    MAX_REFUSAL_FACTOR,
    MAX_STALL_FACTOR,
    MEMBER_TIMEOUT_S,
    MIN_DEFERRAL_S,
    PROGRESS_TIMEOUT_S,
    REFUSAL_PAUSE_S,
    REFUSAL_RANK_PAUSE_S,
    RETRY_INTERVAL_S,
    STALL_PAUSE_S,
    TAKEOVER_RANK_DELAY_S,
    TRANSFER_RETRY_INTERVAL_S,
)

MAX_DEFERRAL_DOUBLINGS = 8


class Elections(ChangeReplication):
    """A replica as a candidate, and as a member that candidates ask."""

    def __init__(self, durable: DurableState, now: float, backup_count: int = 1) -> None:
        super().__init__(durable, now, backup_count)
        self.deferral_count = 0  # attempts of other candidates since a primary last requested its lease
        self.deferred_since = now  # when the latest of these attempts was first received
        self.defer_until = 0.0  # until when it may postpone an attempt of this member
        if self.is_founder():
            self.next_attempt_at = now + FIRST_START_DELAY_S + FIRST_START_RANK_DELAY_S * self.attempt_rank()

    def on_became_primary(self) -> None:
        """Called when an epoch of this machine comes into force."""
        raise NotImplementedError

    # --- starting an attempt ---------------------------------------------------------------------------

    def may_begin_attempt(self) -> bool:
        """Whether this machine, which is not the primary, may try to make the next epoch."""
        if self.now < self.next_attempt_at or self.unsynced_step or self.known_epoch is None:
            return False
        is_founder = self.is_founder()
        if not is_founder and not (self.holds_copy() and self.has_state_of(self.known_epoch)):
            return False
        restart_lease_until = self.restart_lease_until if self.known_epoch.primary != self.identity else 0.0
        leased_until = max(self.leased_until, restart_lease_until)
        return self.leased_to == self.identity or self.now >= leased_until + self.takeover_delay_s()

    def takeover_delay_s(self) -> float:
        """Return how much later than the first backup this machine tries to take over from a lost primary."""
        if self.known_epoch is None or self.identity not in self.known_epoch.other_backups:
            return 0.0
        return TAKEOVER_RANK_DELAY_S * self.known_epoch.backups().index(self.identity)

    def has_state_of(self, record: EpochRecord) -> bool:
        """Whether this machine holds the state of an epoch, or of a later one."""
        return self.state is not None and self.state.epoch >= record.number

    def attempt_rank(self) -> int:
        """Return this machine's place among the possible candidates.

        Pauses depend on it, so that two candidates do not keep colliding.
        """
        assert self.known_epoch is not None
        is_first_epoch = self.known_epoch.number == 0
        candidates = sorted(self.known_epoch.members if is_first_epoch else self.known_epoch.copies())
        return candidates.index(self.identity) if self.identity in candidates else len(candidates)

    def begin_attempt(self, why: str) -> None:
        """Start an attempt to make the next epoch."""
        assert self.known_epoch is not None
        number = max(self.promised, self.highest_promise_seen, self.known_epoch.number) + 1
        attempt = self.attempt = ElectionAttempt(number, self.now, last_progress_at=self.now)
        self.failed_attempts += 1
        self.log(f"tries epoch {number}: {why}")
        self.request_promises(attempt)
        self.promise(number, self.identity)
        attempt.promises[self.identity] = self.known_epoch
        self.choose_epoch(attempt)

    def continue_attempt(self) -> None:
        """Repeat the attempt's unanswered requests, or abandon it if it is refused or stalled."""
        attempt = self.attempt
        assert attempt is not None
        if attempt.epoch_record is None:
            self.choose_epoch(attempt)
            if self.attempt is not attempt or attempt.epoch_record is not None:
                return
        elif self.is_stalled(attempt, attempt.epoch_record):
            self.abandon_attempt(STALL_PAUSE_S * min(MAX_STALL_FACTOR, self.failed_attempts))
            return
        if self.lacks_votes(attempt):
            self.abandon_attempt(0.0)
            return
        if self.now < attempt.next_request_at:
            return
        if attempt.epoch_record is None:
            self.request_promises(attempt)
        elif attempt.backups_without_state():
            self.request_promises(attempt)  # so that other members keep deferring
            self.transfer_state(attempt)
        else:
            self.request_promises(attempt)  # so that other members keep deferring
            self.request_acceptance(attempt)

    def is_stalled(self, attempt: ElectionAttempt, record: EpochRecord) -> bool:
        """Whether a chosen backup is silent, or the attempt has made no progress for too long."""
        last_received_at = min(self.last_received_at.get(backup, 0.0) for backup in record.backups())
        silent_since = max(last_received_at, attempt.last_progress_at)
        lacks_progress = self.now - attempt.last_progress_at > PROGRESS_TIMEOUT_S
        return lacks_progress or self.now - silent_since > BACKUP_TIMEOUT_S

    def lacks_votes(self, attempt: ElectionAttempt) -> bool:
        """Whether another candidate has the attempt's number too, and the other members do not decide.

        The members that have promised the number to the other candidate vote for a higher number only.
        """
        if not attempt.refused_by:
            return False
        max_wait_s = RETRY_INTERVAL_S
        if attempt.epoch_record is not None:
            if attempt.backups_without_state():
                return False
            max_wait_s = BACKUP_TIMEOUT_S  # members may still be writing the record to a slow disk
        max_wait_s += RETRY_INTERVAL_S * self.attempt_rank()
        return self.now - attempt.last_progress_at > max_wait_s

    def abandon_attempt(self, pause: float) -> None:
        """End the attempt; the next may start after `pause` seconds."""
        self.attempt = None
        self.next_attempt_at = self.now + pause

    # --- promises ------------------------------------------------------------------------------------

    def request_promises(self, attempt: ElectionAttempt) -> None:
        """Ask all core machines for promises.

        A machine that the known epoch names as a member is asked too if its disk does not hold that epoch
        yet.
        """
        assert self.known_epoch is not None
        attempt.next_request_at = self.now + RETRY_INTERVAL_S / 2
        known, waits_for_disk = self.known_epoch, self.is_waiting_for_disk(attempt)
        if known.number == attempt.number:  # the attempt's own record, which may not be on the disk yet
            known = attempt.promises[self.identity]
        self.broadcast(PromiseRequest(self.identity, attempt.number, known, waits_for_disk))

    def is_waiting_for_disk(self, attempt: ElectionAttempt) -> bool:
        """Whether a member writes its promise, or this machine or a backup the epoch's state or record.

        Members defer to an attempt that waits for a disk.  A disk that hangs is waited for only so long.
        """
        is_member_writing = self.now - attempt.still_writing_at < RETRY_INTERVAL_S
        may_be_writing = bool(self.unsynced_step) or attempt.epoch_record is not None
        has_progressed = self.now - attempt.last_progress_at < BACKUP_TIMEOUT_S
        return is_member_writing or (may_be_writing and has_progressed)

    def on_promise_request(self, source: str, message: PromiseRequest) -> None:
        """Promise a candidate's epoch, unless a higher promise or a lease that was granted forbids it."""
        candidate, number = message.sender, message.epoch
        is_named_voter = self.identity in message.epoch_record.voters()
        if not self.is_voter() and is_named_voter and self.leaving_since is None:
            # Safe: without that epoch's record on its disk, this machine has promised and granted nothing as
            # a member.
            self.learn_epoch(message.epoch_record)
        if self.known_epoch is None or not self.is_voter():
            return
        if number < self.promised or (number == self.promised and candidate != self.promised_to):
            self.send_refusal(source)
            return
        if self.is_bound_to_other(candidate):
            return  # a primary may still act under the lease that this member granted
        if self.attempt is not None and self.attempt.number < number:
            self.attempt = None
        is_repeat = number == self.promised
        if not is_repeat:
            self.promise(number, candidate)
        self.defer_to_attempt(is_repeat, progresses=message.waits_for_disk)
        if is_repeat and self.unsynced_step:
            self.send(source, StillWriting(self.identity, number))
        else:
            self.send(source, Promise(self.identity, number, self.known_epoch))

    def is_bound_to_other(self, candidate: str) -> bool:
        """Whether a lease that this member granted, maybe before a restart, binds it to another machine."""
        assert self.known_epoch is not None
        leased_until = self.leased_until if self.leased_to != candidate else 0.0
        granted_to_other = self.known_epoch.primary != candidate and self.known_epoch.number > 0
        return self.now < max(leased_until, self.restart_lease_until if granted_to_other else 0.0)

    def defer_to_attempt(self, again: bool, progresses: bool = False) -> None:
        """Postpone this member's own attempt in favour of another candidate's.

        The deferral grows with each attempt that failed, and lasts longer while a disk is written.  `again`:
        the attempt is the one that was deferred to before; `progresses`: the attempt is making progress.
        """
        if not again:
            self.deferral_count += 1
            self.deferred_since = self.now
            doublings = min(self.deferral_count - 1, MAX_DEFERRAL_DOUBLINGS)
            deferral_s = min(MAX_DEFERRAL_S, MIN_DEFERRAL_S * (1 << doublings))
            self.defer_until = self.now + deferral_s
        if progresses:
            latest = self.deferred_since + MAX_DISK_DEFERRAL_S
            self.defer_until = max(self.defer_until, min(self.now + MIN_DEFERRAL_S, latest))
        until = self.now + MIN_DEFERRAL_S
        if not self.unsynced_step:
            until = min(until, self.defer_until)
        self.next_attempt_at = max(self.next_attempt_at, until)

    def on_refusal(self, source: str, message: Refusal) -> None:
        """Abandon the attempt if a member promised a higher epoch, or too few are left for a majority."""
        self.learn_epoch(message.epoch_record)
        self.highest_promise_seen = max(self.highest_promise_seen, message.promised)
        attempt = self.attempt
        if attempt is None or attempt.number > message.promised:
            return
        attempt.refused_by.add(message.sender)
        if attempt.number == message.promised and self.known_epoch is not None:
            remaining = self.known_epoch.voters() - attempt.refused_by
            if are_majorities(self.known_epoch.memberships(), remaining):
                return  # the sender promised this number to another candidate; the others suffice
        # The pause grows with the rank, so that two candidates do not keep colliding.
        pause_s = REFUSAL_PAUSE_S + REFUSAL_RANK_PAUSE_S * self.attempt_rank()
        self.abandon_attempt(pause_s * min(MAX_REFUSAL_FACTOR, self.failed_attempts))

    def on_still_writing(self, source: str, message: StillWriting) -> None:
        self.last_received_at[message.sender] = self.now
        if self.attempt is not None and message.epoch == self.attempt.number:
            self.attempt.still_writing_at = self.now

    def on_promise(self, source: str, message: Promise) -> None:
        attempt = self.attempt
        if attempt is None or message.epoch != attempt.number:
            return
        self.last_received_at[message.sender] = self.now
        if attempt.epoch_record is not None:
            return
        if message.sender not in attempt.promises:
            attempt.last_progress_at = self.now
        attempt.promises[message.sender] = message.epoch_record
        self.choose_epoch(attempt)

    # --- the state at the new backups ------------------------------------------------------------------

    def choose_epoch(self, attempt: ElectionAttempt) -> None:
        """Choose the new epoch's backups and members, once majorities have promised.

        From then on the epoch's state is fixed; it is sent to the backups.
        """
        previous = newest_record(attempt.promises.values())
        memberships = deciding_memberships(attempt.promises.values())
        if not are_majorities(memberships, set(attempt.promises)):
            return
        is_first_epoch = previous.number == 0
        holds_copy = self.identity in previous.copies()
        if not is_first_epoch and not (holds_copy and self.has_state_of(previous)):
            self.abandon_attempt(2 * MIN_DEFERRAL_S)  # only another machine can be the primary
            self.learn_epoch(previous)
            return
        members = self.next_epoch_members(previous, set(attempt.promises))
        able = [member for member in members if member in attempt.promises]
        unfit = self.unfit_backups()
        backups = choose_backups(previous, self.identity, able, unfit, self.backup_count)
        if len(backups) < min(self.backup_count, max(1, len(members) // 2)):
            return  # a majority of the members has that many machines beside this one
        may_wait = not is_first_epoch or len(backups) < self.backup_count
        if may_wait and self.better_backup_may_answer(attempt, backups, previous):
            return
        attempt.memberships = memberships
        others = tuple(m for m in memberships if set(m.members) != set(members))
        attempt.epoch_record = EpochRecord(
            attempt.number, self.identity, backups[0], members, others, backups[1:]
        )
        attempt.last_progress_at = self.now
        text = self.state.text if self.state is not None else ""
        self.state = ConfigurationState(attempt.number, self.held_version(), text)
        self.actions.append(Persist(state=self.state, history=self.history.changes()))
        self.transfer_state(attempt)

    def better_backup_may_answer(
        self, attempt: ElectionAttempt, backups: tuple[str, ...], previous: EpochRecord
    ) -> bool:
        """Whether the promise of a better backup, which holds the state, may still be on its way."""
        unfit = self.unfit_backups()
        awaited = set(previous.copies()) - {self.identity, *attempt.promises, *unfit}
        has_too_few = len(backups) < self.backup_count
        is_better_possible = (
            has_too_few or any(not self.has_lost_lease(m) for m in awaited) or unfit & set(backups)
        )
        return bool(is_better_possible) and self.now - attempt.started_at < RETRY_INTERVAL_S / 3

    def has_lost_lease(self, machine: str) -> bool:
        """Whether a machine was the primary, and has not asked this member for its lease in time."""
        return machine == self.last_primary and self.now - self.primary_seen_at > LEASE_S

    def next_epoch_members(self, record: EpochRecord, present: set[str]) -> tuple[str, ...]:
        """Return the members of the epoch after `record`, as far as known now."""
        joiners = [
            joiner for joiner, at in self.join_requested_at.items() if self.now - at <= 3 * JOIN_INTERVAL_S
        ]
        others = [member for member in record.members if member != self.identity]
        # A silent member may return, so it is removed without a replacement only after a longer silence.
        has_replacement = any(joiner not in record.members for joiner in joiners)
        silence_s = BACKUP_TIMEOUT_S if has_replacement else MEMBER_TIMEOUT_S
        leaving_members = self.leaving_members()
        removable = [member for member in others if self.is_silent(member, present, silence_s)]
        # A leaving member that is needed as a backup stays until another machine can be one.
        staying = [member for member in others if member in present and member not in leaving_members]
        if len(staying) >= self.backup_count:
            removable += [member for member in others if member in leaving_members]
        return next_members(record, self.identity, joiners, removable, self.min_members())

    def is_silent(self, member: str, present: set[str], silence: float) -> bool:
        """Whether a member has sent nothing for `silence` seconds.

        Only the primary in force receives messages of all members; a machine that takes over removes none for
        its silence.
        """
        silent = self.now - self.last_received_at.get(member, NEVER) > silence
        return self.led_epoch is not None and member not in present and silent

    def transfer_state(self, attempt: ElectionAttempt) -> None:
        """Send the new epoch's state to the backups that have not stored it."""
        state = self.state
        assert attempt.epoch_record is not None and state is not None
        attempt.next_request_at = self.now + TRANSFER_RETRY_INTERVAL_S
        transfer = StateTransfer(
            self.identity,
            attempt.number,
            state.version,
            state.text,
            self.history.changes(),
            self.record_replication.store.root_digest(),
        )
        for backup in attempt.backups_without_state():
            self.send(address_of(backup), transfer)

    def on_state_transfer(self, source: str, message: StateTransfer) -> None:
        """Store a new epoch's state as a backup; acknowledge it once the record stores are equal."""
        number = message.epoch
        if number < self.promised or (number == self.promised and message.sender != self.promised_to):
            self.send_refusal(source)
            return
        if self.promised < number:
            self.promise(number, message.sender)
        self.defer_to_attempt(again=True, progresses=True)
        self.send(source, StillWriting(self.identity, number))
        if self.state is None or self.state.epoch < number:
            self.state = ConfigurationState(number, message.version, message.text)
            self.history = ChangeHistory.from_changes(message.history)
            self.record_replication.last_change_number = 0  # change numbers of earlier epochs no longer count
            self.persist_epoch_step(Persist(state=self.state, history=self.history.changes()))
        if message.store_digest != self.record_replication.store.root_digest():
            self.record_replication.send_digests(source, number)  # `StateStored` follows the repair
        else:
            self.send(source, StateStored(self.identity, number))

    def on_state_stored(self, source: str, message: StateStored) -> None:
        attempt = self.attempt
        if attempt is None or attempt.epoch_record is None or message.epoch != attempt.number:
            return
        if message.sender in attempt.backups_without_state():
            attempt.stored_by.add(message.sender)
            attempt.last_progress_at = self.last_received_at[message.sender] = self.now
            if not attempt.backups_without_state():
                self.accept_own_record(attempt)

    # --- acceptance of the epoch record -----------------------------------------------------------------

    def accept_own_record(self, attempt: ElectionAttempt) -> None:
        """Store the new epoch's record on this machine, then ask the other members to store it."""
        assert attempt.epoch_record is not None
        self.known_epoch = attempt.epoch_record
        self.actions.append(Persist(epoch_record=attempt.epoch_record))
        attempt.accepted_by.add(self.identity)
        self.request_acceptance(attempt)
        self.check_acceptance(attempt)

    def request_acceptance(self, attempt: ElectionAttempt) -> None:
        """Ask all core machines to store the new epoch's record, but for silent ones that it leaves out."""
        assert attempt.epoch_record is not None
        attempt.next_request_at = self.now + RETRY_INTERVAL_S / 2
        silent = self.silent_former_members(attempt, attempt.epoch_record)
        self.broadcast(AcceptRequest(self.identity, attempt.epoch_record), except_for=silent)

    def silent_former_members(self, attempt: ElectionAttempt, record: EpochRecord) -> frozenset[str]:
        """Return the addresses of the machines that the new epoch leaves out and that send nothing.

        A frozen machine would read the request when it wakes.  If a cut keeps it from this machine by then,
        its acceptance helps nobody, and it can no longer elect another primary with the members on its side.
        """
        voters = {member for membership in attempt.memberships for member in membership.members}
        left_out = voters - set(record.members) - set(attempt.promises)
        silent = {
            address_of(member)
            for member in left_out
            if self.now - self.last_received_at.get(member, NEVER) > BACKUP_TIMEOUT_S
        }
        return frozenset(silent) - {address_of(member) for member in record.members}

    def on_accept_request(self, source: str, message: AcceptRequest) -> None:
        """Store a candidate's epoch record, unless a promise forbids it."""
        record = message.epoch_record
        if record.number < self.promised or self.has_promised_other(record):
            self.send_refusal(source)
            return
        if record.number > self.promised:
            self.promise(record.number, record.primary)
        self.defer_to_attempt(again=True, progresses=True)
        if self.known_epoch is not None and self.known_epoch.number == record.number:
            self.send(source, StillWriting(self.identity, record.number))
        if self.attempt is not None and self.attempt.number < record.number:
            self.attempt = None
        self.learn_epoch(record)
        self.send(source, Accepted(self.identity, record.number))

    def has_promised_other(self, record: EpochRecord) -> bool:
        """Whether this machine has promised a record's number to another candidate."""
        return record.number == self.promised and record.primary != self.promised_to

    def on_accepted(self, source: str, message: Accepted) -> None:
        attempt = self.attempt
        if attempt is not None and message.epoch == attempt.number and attempt.epoch_record is not None:
            self.last_received_at[message.sender] = self.now
            if message.sender not in attempt.accepted_by:
                attempt.last_progress_at = self.now
            attempt.accepted_by.add(message.sender)
            self.check_acceptance(attempt)

    def check_acceptance(self, attempt: ElectionAttempt) -> None:
        """Put the new epoch into force once majorities of the old and of the new members store its record."""
        assert attempt.epoch_record is not None
        record = attempt.epoch_record.settled()
        if not are_majorities((*attempt.memberships, *record.memberships()), attempt.accepted_by):
            return
        was_primary = self.led_epoch is not None
        self.led_epoch, self.attempt, self.failed_attempts = record, None, 0
        self.settle_epoch(record.number)
        if not was_primary:
            self.lease_grants = {}  # grants to the primary of an epoch carry over to its next epoch
        self.had_majority_at = self.now
        # The backups have just answered; the silence of the other members counts from now at the earliest.
        for member in record.members:
            self.last_received_at.setdefault(member, self.now)
            self.join_requested_at.pop(member, None)
        for backup in record.backups():
            self.last_received_at[backup] = self.now
        backups = ", ".join(f"backup {address_of(backup)}" for backup in record.backups())
        roles = f"primary {address_of(self.identity)}, {backups}"
        self.log(f"epoch {record.number} is in force: {roles}, {len(record.members)} members")
        self.rewrite_pending()
        if self.has_enough_copies():
            self.record_replication.complete_pending()
        else:
            held, needed = len(record.copies()), self.backup_count + 1
            self.log(f"changes wait for more machines: {held} of {needed} hold a copy")
        self.on_became_primary()
