"""An epoch in force: its primary's lease, joins and departures, the start of the next epoch.  Pure."""

from __future__ import annotations

from ivymux.config_store.elections import Elections
from ivymux.config_store.messages import (
    ConfigurationRequest,
    DepartureGranted,
    EpochKnown,
    JoinRequest,
    LeadershipReleased,
    LeaseGrant,
    LeaseRequest,
    Leaving,
    SettingsRequest,
)
from ivymux.config_store.records import DurableState, EpochRecord, address_of, is_majority
from ivymux.config_store.timing import (
    BACKUP_DISK_TIMEOUT_S,
    BACKUP_TIMEOUT_S,
    DISK_DISTRUST_S,
    DRAIN_S,
    LEASE_MARGIN,
    LEASE_S,
    LOST_MAJORITY_TIMEOUT_S,
    MIN_DEFERRAL_S,
    RECLAIM_DELAY_S,
    RENEWAL_INTERVAL_S,
    RENEWALS_PER_RECORD,
    RETRY_INTERVAL_S,
)


class Leadership(Elections):
    """A replica as the primary of an epoch in force, and as a member that grants the primary its lease."""

    def __init__(self, durable: DurableState, now: float, backup_count: int = 1) -> None:
        super().__init__(durable, now, backup_count)
        self.next_broadcast_at = 0.0  # of a lease request, or of a join request
        self.renewal_count = 0
        self.next_announcement_at = now + 2 * LEASE_S
        self.departure_granted = False  # whether this process, which was asked to shut down, may exit
        self.no_lease_until = 0.0  # set when an epoch is learned from a lease request

    # --- the primary -----------------------------------------------------------------------------------

    def on_became_primary(self) -> None:
        self.next_broadcast_at = 0.0
        self.act_as_primary()
        self.publish()
        self.record_replication.publish_settings()

    def act_as_primary(self) -> None:
        """Do the periodic work of a primary: lease, replication, the next epoch."""
        record = self.led_epoch
        assert record is not None
        if self.now >= self.next_broadcast_at:
            self.request_lease(record)
        if self.may_serve(self.now):
            self.had_majority_at = self.now
        elif self.now - self.had_majority_at > LOST_MAJORITY_TIMEOUT_S:
            self.step_down("no lease of a majority")
            self.next_attempt_at = self.now + MIN_DEFERRAL_S
            return
        self.record_replication.tick_as_primary()
        self.resend_writes()
        if self.attempt is not None:
            self.continue_attempt()
        elif self.now >= self.next_attempt_at:
            self.reconfigure(record)

    def request_lease(self, record: EpochRecord) -> None:
        """Ask all core machines for the lease.

        The request carries the whole epoch record periodically, and whenever a member may not know it.
        """
        self.next_broadcast_at = self.now + RENEWAL_INTERVAL_S
        self.leased_to, self.leased_until = self.identity, self.now + LEASE_S
        granting = sum(until > self.now for until in self.lease_grants.values())
        some_may_not_know = granting < len(record.members) - 1
        with_record = self.renewal_count % RENEWALS_PER_RECORD == 0 or some_may_not_know
        self.renewal_count += 1
        self.broadcast(
            LeaseRequest(
                self.identity,
                record.number,
                self.now,
                self.held_version(),
                record if with_record else None,
                self.record_replication.settings_progress(),
            )
        )

    def reachable_machines(self) -> set[str]:
        """Return this machine and those that have answered within BACKUP_TIMEOUT_S."""
        recent = {m for m, at in self.last_received_at.items() if self.now - at < BACKUP_TIMEOUT_S}
        return recent | {self.identity}

    def reconfigure(self, record: EpochRecord) -> None:
        """Start the next epoch if the current one no longer fits, or hand over if this process is to end."""
        present = self.reachable_machines()
        leaving_members = self.leaving_members()
        staying = {m for m in present if m in record.members and m not in leaving_members}
        if self.highest_promise_seen > record.number:
            self.begin_attempt("a member has promised a higher epoch")
        elif not self.has_current_state():
            self.begin_attempt("the last attempt did not finish")
        elif any(self.is_silent_backup(backup) for backup in record.backups()):
            if is_majority(record.members, present):
                self.begin_attempt("the backup is silent")
        elif hanging := self.replaceable_hanging_backups(record, present):
            for backup in hanging:
                self.distrusted_until[backup] = self.now + DISK_DISTRUST_S
            self.begin_attempt("the backup's disk does not answer")
        elif leaving_members & set(record.backups()) and staying - set(record.copies()):
            self.begin_attempt("the backup leaves")
        elif not self.has_enough_copies() and staying - set(record.copies()) - self.unfit_backups():
            self.begin_attempt("more copies are needed")
        elif self.leaving_since is not None:
            self.hand_over_when_drained(bool(staying & set(record.backups())))
        elif self.next_epoch_members(record, present) != record.members:
            self.begin_attempt("the members change")

    def is_silent_backup(self, backup: str) -> bool:
        """Whether a backup has sent nothing for too long."""
        return self.now - self.last_received_at.get(backup, self.now) > BACKUP_TIMEOUT_S

    def replaceable_hanging_backups(self, record: EpochRecord, present: set[str]) -> set[str]:
        """Return the backups whose disks have not answered for too long, if other members can replace them.

        A backup's process may still answer, as its lease grants need no disk.
        """
        hanging = {b for b in record.backups() if self.now - self.waiting_since(b) > BACKUP_DISK_TIMEOUT_S}
        others = (present & set(record.members)) - {self.identity, *hanging}
        able = others - self.unfit_backups()
        is_possible = len(able) >= self.backup_count and is_majority(record.members, {self.identity} | others)
        return hanging if is_possible else set()

    # --- leases ----------------------------------------------------------------------------------------

    def on_lease_request(self, source: str, message: LeaseRequest) -> None:
        """Grant the lease to the primary of the epoch in force, and request what is newer than known here."""
        primary = message.sender
        record = self.requested_epoch(message)
        if record is None:
            return  # the epoch is not known here; a later request carries its record
        # A primary that makes the next epoch itself stays in charge until that epoch is in force.
        same_primary = self.known_epoch is not None and self.known_epoch.primary == primary
        later_known = (
            self.known_epoch is not None and record.number < self.known_epoch.number and not same_primary
        )
        if later_known or (record.number < self.promised and self.promised_to != primary):
            self.send_refusal(source)
            return
        self.last_primary, self.primary_seen_at = primary, self.now
        self.deferral_count = 0
        if self.known_epoch is None or self.known_epoch.number < record.number:
            self.learn_epoch_in_force(record, same_primary)
        else:
            self.settle_epoch(record.number)
        if self.attempt is not None and self.attempt.number <= record.number:
            self.attempt = None
        if self.identity not in record.members and not (same_primary and self.is_voter()):
            self.join_requested_at.clear()
        elif self.now >= self.no_lease_until:
            self.leased_to, self.leased_until = primary, self.now + LEASE_S
            self.send(source, LeaseGrant(self.identity, record.number, message.sent_at))
        if message.version > self.published_version:
            self.send(source, ConfigurationRequest(self.identity))
        if message.settings_progress > self.record_replication.settings_progress():
            self.send(source, SettingsRequest(self.identity))

    def requested_epoch(self, message: LeaseRequest) -> EpochRecord | None:
        """Return the epoch of a lease request; None where it is not known.

        Where a later epoch is known, the record has the number and the primary alone.
        """
        if message.epoch_record is not None:
            return message.epoch_record
        if self.known_epoch is None or self.known_epoch.number < message.epoch:
            return None
        if self.known_epoch.number > message.epoch:
            return EpochRecord(message.epoch, message.sender, "", ())
        return self.known_epoch

    def learn_epoch_in_force(self, record: EpochRecord, same_primary: bool) -> None:
        """Store an epoch that was learned from a lease request, and is therefore in force.

        `same_primary`: the epoch known before has the same primary.
        """
        if self.promised < record.number:
            self.promise(record.number, record.primary)
        self.learn_epoch(record)
        if not same_primary:
            # A grant is safe only once the epoch's record is on disk: a restart before that would lose the
            # record and the grant.
            self.no_lease_until = self.now + LEASE_S

    def on_lease_grant(self, source: str, message: LeaseGrant) -> None:
        member = message.sender
        self.last_received_at[member] = self.now
        if self.led_epoch is not None and message.epoch == self.led_epoch.number:
            until = message.sent_at + LEASE_MARGIN * LEASE_S
            self.lease_grants[member] = max(self.lease_grants.get(member, 0.0), until)

    # --- without a primary -------------------------------------------------------------------------------

    def announce_epoch_without_primary(self) -> None:
        """Broadcast the newest known epoch while no primary asks for its lease.

        If the candidate that asked for acceptance of that epoch is lost, the machine that may lead next might
        not know the epoch.
        """
        if self.known_epoch is None or self.now < self.next_announcement_at:
            return
        if self.now - self.primary_seen_at < 2 * LEASE_S:
            return
        self.next_announcement_at = self.now + RETRY_INTERVAL_S
        self.broadcast(EpochKnown(self.identity, self.known_epoch))

    def on_epoch_known(self, source: str, message: EpochKnown) -> None:
        self.learn_epoch(message.epoch_record)

    # --- members that join and leave ---------------------------------------------------------------------

    def on_join_request(self, source: str, message: JoinRequest) -> None:
        joiner = message.sender
        if self.led_epoch is None or address_of(joiner) != source or joiner in self.led_epoch.members:
            return
        self.join_requested_at[joiner] = self.last_received_at[joiner] = self.now
        self.leave_announced_at.pop(joiner, None)

    def on_leaving(self, source: str, message: Leaving) -> None:
        """Reconfigure for a machine that leaves, and permit it to exit once nothing depends on it."""
        self.leave_announced_at[message.sender] = self.now
        if self.led_epoch is None:
            return
        if self.attempt is None:
            self.act_as_primary()
        if self.led_epoch is not None and self.may_release(message.sender, self.led_epoch):
            self.send(source, DepartureGranted(self.identity, self.led_epoch.number))

    def may_release(self, leaver: str, record: EpochRecord) -> bool:
        """Whether a leaving machine holds no copy of the state and is not needed for a majority."""
        if self.attempt is not None or leaver in record.copies():
            return False
        if leaver not in record.members:
            return True
        enough_stay = is_majority(record.members, self.reachable_machines() - self.leaving_members())
        return enough_stay and len(record.members) <= self.min_members()

    def on_departure_granted(self, source: str, message: DepartureGranted) -> None:
        if self.leaving_since is not None and self.led_epoch is None:
            self.departure_granted = True

    def on_leadership_released(self, source: str, message: LeadershipReleased) -> None:
        """Drop the lease granted to the sender, and begin an attempt at once if this machine may lead."""
        sender_was_primary = self.known_epoch is not None and self.known_epoch.primary == message.sender
        if self.leased_to != message.sender and not sender_was_primary:
            return
        if self.leased_to == message.sender:
            self.leased_until = 0.0
        if sender_was_primary:
            self.restart_lease_until = 0.0
        self.next_attempt_at = self.now + self.takeover_delay_s()
        if self.led_epoch is None and self.attempt is None and self.may_begin_attempt():
            self.begin_attempt("the primary leaves")

    def hand_over_when_drained(self, backup_stays: bool) -> None:
        """Release the leadership to a backup once pending changes are complete or DRAIN_S is over."""
        assert self.leaving_since is not None
        is_drained = not self.pending and not self.record_replication.pending
        if not backup_stays or not (is_drained or self.now - self.leaving_since > DRAIN_S):
            return
        self.step_down("this process ends")
        self.leased_to, self.leased_until = "", 0.0
        self.next_attempt_at = self.now + RECLAIM_DELAY_S
        self.broadcast(LeadershipReleased(self.identity))

    def may_exit(self) -> bool:
        """Whether this process was asked to shut down and no other machine depends on it any longer."""
        if self.leaving_since is None:
            return False
        is_outsider = self.known_epoch is None or (self.known_epoch.number > 0 and not self.is_voter())
        return self.departure_granted or (is_outsider and not self.holds_copy())
