"""How a new epoch is made: promises, the whole state at its backup, its record at majorities.  Pure.

After Vertical Paxos II (Lamport, Malkhi, Zhou 2009) and PacificA (2008).  A candidate is the primary or the
backup of the newest epoch that any promise names, or the primary in force that changes its backup or its
members.  It asks again under one number until a member refuses: a try that is begun anew costs every member
a commit, which on a slow disk takes longer than any time-out that suits a fast one.
"""

from __future__ import annotations

from ivymux.config_store.actions import Persist
from ivymux.config_store.changes import ChangeReplication
from ivymux.config_store.history import ChangeHistory
from ivymux.config_store.membership import choose_backup, next_members
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
    is_majority,
)
from ivymux.config_store.replica_state import Attempt
from ivymux.config_store.timing import (
    BACKUP_SILENCE,
    DEFERENCE,
    JOIN_INTERVAL,
    LONGEST_DEFERENCE,
    MAX_DEFERENCE,
    MEMBER_SILENCE,
    PROGRESS_TIMEOUT,
    RETRY,
    TRANSFER_RETRY,
)


class Elections(ChangeReplication):
    """A replica as the maker of a new epoch, and as one of those that it asks."""

    def __init__(self, durable: DurableState, now: float) -> None:
        super().__init__(durable, now)
        self.deferred = 0  # attempts of others since an epoch in force was last heard of
        self.deferred_since = now  # when the last of them was first heard of
        self.defer_until = 0.0  # how long it may keep this member from its own
        if self.is_founding():
            self.wait_until = now + 0.05 + 0.3 * self.order()

    def takes_lead(self) -> None:
        """An epoch of this machine is in force."""
        raise NotImplementedError

    # --- beginning -----------------------------------------------------------------------------------

    def may_begin(self) -> bool:
        """Whether this machine, which does not lead, may make the next epoch."""
        if self.now < self.wait_until or self.unsynced or self.record is None:
            return False
        founding = self.is_founding()
        if not founding and not (self.is_in_pair() and self.has_state_of(self.record)):
            return False
        held_until = self.held_until if self.record.primary != self.me else 0.0
        return self.leased_to == self.me or self.now >= max(self.leased_until, held_until)

    def has_state_of(self, record: EpochRecord) -> bool:
        return self.state is not None and self.state.epoch >= record.number

    def order(self) -> int:
        """My place among those that may begin, so that two do not go on meeting."""
        assert self.record is not None
        pair = (self.record.backup, self.record.primary)
        able = sorted(pair if self.record.number else self.record.members)
        return able.index(self.me) if self.me in able else len(able)

    def begin(self, why: str) -> None:
        """Begin to make the next epoch."""
        assert self.record is not None
        number = max(self.promised, self.highest_seen, self.record.number) + 1
        attempt = self.attempt = Attempt(number, self.now, progress_at=self.now)
        self.failed_attempts += 1
        self.log(f"tries epoch {number}: {why}")
        self.ask_promises(attempt)
        self.promise(number, self.me)
        attempt.promises[self.me] = self.record
        self.decide(attempt)

    def pursue(self) -> None:
        """What an attempt needs is asked for again; one that comes to nothing is given up."""
        attempt = self.attempt
        assert attempt is not None
        if attempt.record is None:
            self.decide(attempt)
            if self.attempt is not attempt or attempt.record is not None:
                return
            if attempt.refused and self.now - attempt.progress_at > RETRY * (1 + self.order()):
                self.give_up(0.0)  # another has this number too, and who could decide is silent
                return
        elif self.is_stalled(attempt, attempt.record.backup):
            self.give_up(0.05 * min(8, self.failed_attempts))
            return
        if self.now < attempt.ask_again_at:
            return
        if attempt.record is None:
            self.ask_promises(attempt)
        elif not attempt.backed:
            self.ask_promises(attempt)  # so that others go on to defer
            self.transfer_state(attempt)
        else:
            self.ask_acceptance(attempt)

    def is_stalled(self, attempt: Attempt, backup: str) -> bool:
        """Whether the backup that was chosen is silent, or nothing has come of an attempt for long."""
        silent_since = max(self.heard.get(backup, 0.0), attempt.progress_at)
        return self.now - attempt.progress_at > PROGRESS_TIMEOUT or self.now - silent_since > BACKUP_SILENCE

    def give_up(self, pause: float) -> None:
        self.attempt = None
        self.wait_until = self.now + pause

    # --- promises ------------------------------------------------------------------------------------

    def ask_promises(self, attempt: Attempt) -> None:
        """Ask for promises, of members too whose disk has not taken the record that made them members."""
        assert self.record is not None
        attempt.ask_again_at = self.now + RETRY / 2
        waits = self.now - attempt.working_at < RETRY
        self.broadcast(PromiseRequest(self.me, attempt.number, self.record, waits))

    def on_promise_request(self, source: str, message: PromiseRequest) -> None:
        candidate, number = message.sender, message.epoch
        if not self.is_member() and self.me in message.record.members and self.leaving_since is None:
            # What this machine has said rests on its disk: without a record there it has said nothing yet.
            self.learn(message.record)
        if self.record is None or not self.is_member():
            return
        if number < self.promised or (number == self.promised and candidate != self.promised_to):
            self.refuse(source)
            return
        if self.stands_by_another(candidate):
            return  # a primary may still act on this member's vote
        if self.attempt is not None and self.attempt.number < number:
            self.attempt = None
        again = number == self.promised
        if not again:
            self.promise(number, candidate)
        self.defer(again, progresses=message.waits_for_disk)
        if again and self.unsynced:
            self.send(source, StillWriting(self.me, number))
        else:
            self.send(source, Promise(self.me, number, self.record))

    def stands_by_another(self, candidate: str) -> bool:
        assert self.record is not None
        leased_until = self.leased_until if self.leased_to != candidate else 0.0
        from_before = self.record.primary != candidate and self.record.number > 0
        return self.now < max(leased_until, self.held_until if from_before else 0.0)

    def defer(self, again: bool, progresses: bool = False) -> None:
        """Let another's attempt come to an end: longer each time that one did not, and while a disk works.

        `again`: it is the attempt that was deferred to before; `progresses`: something is on its way.
        """
        if not again:
            self.deferred += 1
            self.deferred_since = self.now
            longest = min(MAX_DEFERENCE, DEFERENCE * (1 << min(self.deferred - 1, 8)))
            self.defer_until = self.now + longest
        if progresses:
            at_most = self.deferred_since + LONGEST_DEFERENCE
            self.defer_until = max(self.defer_until, min(self.now + DEFERENCE, at_most))
        until = self.now + DEFERENCE
        self.wait_until = max(self.wait_until, until if self.unsynced else min(until, self.defer_until))

    def on_refusal(self, source: str, message: Refusal) -> None:
        self.learn(message.record)
        self.highest_seen = max(self.highest_seen, message.promised)
        attempt = self.attempt
        if attempt is None or attempt.number > message.promised:
            return
        attempt.refused.add(message.sender)
        if attempt.number == message.promised and self.record is not None:
            left = set(self.record.members) - attempt.refused
            if is_majority(self.record.members, left):
                return  # one that has promised this number to another: the rest suffices
        # Two that try at once must not go on meeting: who has the lower name goes first.
        self.give_up((0.03 + 0.15 * self.order()) * min(4, self.failed_attempts))

    def on_still_writing(self, source: str, message: StillWriting) -> None:
        self.heard[message.sender] = self.now
        if self.attempt is not None and message.epoch == self.attempt.number:
            self.attempt.working_at = self.now

    def on_promise(self, source: str, message: Promise) -> None:
        attempt = self.attempt
        if attempt is None or message.epoch != attempt.number or attempt.record is not None:
            return
        self.heard[message.sender] = self.now
        if message.sender not in attempt.promises:
            attempt.progress_at = self.now
        attempt.promises[message.sender] = message.record
        self.decide(attempt)

    # --- the state at the new backup -------------------------------------------------------------------

    def decide(self, attempt: Attempt) -> None:
        """With a majority's promises: who is the backup, who the members."""
        previous = max(attempt.promises.values(), key=lambda record: record.number)
        if not is_majority(previous.members, set(attempt.promises)):
            return
        founding = previous.number == 0
        in_pair = self.me in (previous.primary, previous.backup)
        if not founding and not (in_pair and self.has_state_of(previous)):
            self.give_up(2 * DEFERENCE)  # it is another's to lead
            self.learn(previous)
            return
        members = self.following_members(previous, set(attempt.promises))
        partner = previous.backup if previous.primary == self.me else previous.primary
        able = [member for member in members if member in attempt.promises]
        backup = choose_backup(previous, self.me, able, self.unfit_backups(), partner)
        if backup is None or (not founding and self.better_may_come(attempt, backup, partner)):
            return
        attempt.previous = previous
        attempt.record = EpochRecord(attempt.number, self.me, backup, members)
        attempt.progress_at = self.now
        text = self.state.text if self.state is not None else ""
        self.state = ConfigurationState(attempt.number, self.held_version(), text)
        self.actions.append(Persist(state=self.state, history=self.history.changes()))
        self.transfer_state(attempt)

    def better_may_come(self, attempt: Attempt, backup: str, partner: str) -> bool:
        """Whether the promise of a better backup may be on its way."""
        unfit = self.unfit_backups()
        partner_may = partner not in attempt.promises and partner not in unfit
        return (partner_may or backup in unfit) and self.now - attempt.began < RETRY / 3

    def following_members(self, record: EpochRecord, present: set[str]) -> tuple[str, ...]:
        """The members of the epoch behind one, as far as can be told now."""
        joiners = [joiner for joiner, at in self.joining.items() if self.now - at <= 3 * JOIN_INTERVAL]
        others = [member for member in record.members if member != self.me]
        # One that is silent is replaced sooner than it is let out: it may be on its way back.
        silence = BACKUP_SILENCE if any(j not in record.members for j in joiners) else MEMBER_SILENCE
        leavers = self.leavers()
        going = [member for member in others if self.is_silent(member, present, silence)]
        if any(member in present and member not in leavers for member in others):
            going += [member for member in others if member in leavers]
        # else the only one that can keep the second copy, though it leaves, stays until another can
        return next_members(record, self.me, joiners, going)

    def is_silent(self, member: str, present: set[str], silence: float) -> bool:
        """Whether a member has been silent for long.

        Only who leads hears all members: one that takes over lets none out for its silence.
        """
        silent = self.now - self.heard.get(member, -1e9) > silence
        return self.leading is not None and member not in present and silent

    def transfer_state(self, attempt: Attempt) -> None:
        state = self.state
        assert attempt.record is not None and state is not None
        attempt.ask_again_at = self.now + TRANSFER_RETRY
        transfer = StateTransfer(
            self.me,
            attempt.number,
            state.version,
            state.text,
            self.history.changes(),
            self.record_replication.store.root_digest(),
        )
        self.send(address_of(attempt.record.backup), transfer)

    def on_state_transfer(self, source: str, message: StateTransfer) -> None:
        number = message.epoch
        if number < self.promised or (number == self.promised and message.sender != self.promised_to):
            self.refuse(source)
            return
        if self.promised < number:
            self.promise(number, message.sender)
        self.defer(again=True, progresses=True)
        self.send(source, StillWriting(self.me, number))
        if self.state is None or self.state.epoch < number:
            self.state = ConfigurationState(number, message.version, message.text)
            self.history = ChangeHistory.of(message.history)
            self.record_replication.last_change_number = (
                0  # numbers of an epoch before mean nothing in this one
            )
            self.persist_step(Persist(state=self.state, history=self.history.changes()))
        if message.book_digest != self.record_replication.store.root_digest():
            self.record_replication.send_digests(
                source, number
            )  # `StateStored` follows once they are repaired
        else:
            self.send(source, StateStored(self.me, number))

    def on_state_stored(self, source: str, message: StateStored) -> None:
        attempt = self.attempt
        if attempt is None or attempt.record is None or message.epoch != attempt.number or attempt.backed:
            return
        if message.sender == attempt.record.backup:
            attempt.backed = True
            attempt.progress_at = self.heard[message.sender] = self.now
            self.keep_own_record(attempt)

    # --- the record at majorities ----------------------------------------------------------------------

    def keep_own_record(self, attempt: Attempt) -> None:
        """This machine counts as one that keeps the record: it is on its disk before the others are asked."""
        assert attempt.record is not None
        self.record = attempt.record
        self.actions.append(Persist(record=attempt.record))
        attempt.accepted.add(self.me)
        self.ask_acceptance(attempt)
        self.check_acceptance(attempt)

    def ask_acceptance(self, attempt: Attempt) -> None:
        assert attempt.record is not None
        attempt.ask_again_at = self.now + RETRY / 2
        self.broadcast(AcceptRequest(self.me, attempt.record))

    def on_accept_request(self, source: str, message: AcceptRequest) -> None:
        record = message.record
        if record.number < self.promised:
            self.refuse(source)
            return
        if record.number == self.promised and record.primary != self.promised_to:
            return
        if record.number > self.promised:
            self.promise(record.number, record.primary)
        self.defer(again=True, progresses=True)
        if self.record is not None and self.record.number == record.number:
            self.send(source, StillWriting(self.me, record.number))
        if self.attempt is not None and self.attempt.number < record.number:
            self.attempt = None
        self.learn(record)
        self.send(source, Accepted(self.me, record.number))

    def on_accepted(self, source: str, message: Accepted) -> None:
        attempt = self.attempt
        if attempt is not None and message.epoch == attempt.number and attempt.record is not None:
            self.heard[message.sender] = self.now
            if message.sender not in attempt.accepted:
                attempt.progress_at = self.now
            attempt.accepted.add(message.sender)
            self.check_acceptance(attempt)

    def check_acceptance(self, attempt: Attempt) -> None:
        """In force once majorities of the members before and of its own keep the record."""
        record, previous = attempt.record, attempt.previous
        assert record is not None and previous is not None
        if not all(is_majority(epoch.members, attempt.accepted) for epoch in (previous, record)):
            return
        led_before = self.leading is not None
        self.leading, self.attempt, self.failed_attempts = record, None, 0
        if not led_before:
            self.grants = {}  # else they stand by this primary, whatever the epoch
        self.served_at = self.now
        # The backup has just answered; the others have time to.
        for member in record.members:
            self.heard.setdefault(member, self.now)
            self.joining.pop(member, None)
        self.heard[record.backup] = self.now
        roles = f"primary {address_of(self.me)}, backup {address_of(record.backup)}"
        self.log(f"epoch {record.number} is in force: {roles}, {len(record.members)} members")
        self.write_all_anew()
        self.record_replication.complete_pending()
        self.takes_lead()
