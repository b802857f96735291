"""An epoch in force: its primary's lease, who joins and leaves it, when the next one is made.  Pure."""

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
    MIN_MEMBERS,
    RECLAIM_DELAY_S,
    RENEWAL_INTERVAL_S,
    RENEWALS_PER_RECORD,
    RETRY_INTERVAL_S,
)


class Leadership(Elections):
    """A replica as a primary, and as a member that stands by one."""

    def __init__(self, durable: DurableState, now: float) -> None:
        super().__init__(durable, now)
        self.next_broadcast_at = 0.0  # the next lease request
        self.renewal_count = 0
        self.last_primary, self.primary_seen_at = "", -1e9  # who leads, as last heard, and when that was
        self.next_announcement_at = now + 2 * LEASE_S
        self.departure_granted = False  # this process, which is to end, may
        self.no_lease_until = 0.0  # behind an epoch that was first heard of by a lease request

    # --- the primary -----------------------------------------------------------------------------------

    def on_became_primary(self) -> None:
        self.next_broadcast_at = 0.0
        self.act_as_primary()
        self.publish()
        self.record_replication.publish_settings()

    def act_as_primary(self) -> None:
        """While an epoch of this machine is in force."""
        record = self.led_epoch
        assert record is not None
        if self.now >= self.next_broadcast_at:
            self.request_lease(record)
        if self.may_serve(self.now):
            self.had_majority_at = self.now
        elif self.now - self.had_majority_at > LOST_MAJORITY_TIMEOUT_S:
            self.step_down("no majority stands by it")
            self.next_attempt_at = self.now + MIN_DEFERRAL_S
            return
        self.record_replication.tick_as_primary()
        self.resend_writes()
        if self.attempt is not None:
            self.continue_attempt()
        elif self.now >= self.next_attempt_at:
            self.reconfigure(record)

    def request_lease(self, record: EpochRecord) -> None:
        """Ask all members to stand by this primary; now and then with the whole record."""
        self.next_broadcast_at = self.now + RENEWAL_INTERVAL_S
        self.leased_to, self.leased_until = self.identity, self.now + LEASE_S
        standing = sum(until > self.now for until in self.lease_grants.values())
        some_may_not_know = standing < len(record.members) - 1
        whole = self.renewal_count % RENEWALS_PER_RECORD == 0 or some_may_not_know
        self.renewal_count += 1
        self.broadcast(
            LeaseRequest(
                self.identity,
                record.number,
                self.now,
                self.held_version(),
                record if whole else None,
                self.record_replication.settings_progress(),
            )
        )

    def reconfigure(self, record: EpochRecord) -> None:
        """Make a new epoch where this one does not do any more; let another lead before this process ends."""
        present = {m for m, at in self.last_received_at.items() if self.now - at < BACKUP_TIMEOUT_S} | {
            self.identity
        }
        leaving_members = self.leaving_members()
        staying = {m for m in present if m in record.members and m not in leaving_members}
        if self.highest_promise_seen > record.number:
            self.begin_attempt("a member has promised another")
        elif not self.is_writable():
            self.begin_attempt("one that was begun did not come to an end")
        elif self.now - self.last_received_at.get(record.backup, self.now) > BACKUP_TIMEOUT_S:
            if is_majority(record.members, present):
                self.begin_attempt("the backup is silent")
        elif self.may_replace_hanging_backup(record, present):
            self.distrusted_until[record.backup] = self.now + DISK_DISTRUST_S
            self.begin_attempt("the backup's disk does not answer")
        elif record.backup in leaving_members and staying - {self.identity, record.backup}:
            self.begin_attempt("the backup leaves")
        elif self.leaving_since is not None:
            self.hand_over_when_drained(record.backup in staying)
        elif self.next_epoch_members(record, present) != record.members:
            self.begin_attempt("the members change")

    def may_replace_hanging_backup(self, record: EpochRecord, present: set[str]) -> bool:
        """Whether what waits for the backup's disk has waited for long, and another may do better.

        The backup's process may be well: its heartbeats and lease grants rest on no disk.
        """
        if self.now - self.waiting_for_backup_since() <= BACKUP_DISK_TIMEOUT_S:
            return False
        others = (present & set(record.members)) - {self.identity, record.backup}
        return bool(others - self.unfit_backups()) and is_majority(record.members, {self.identity} | others)

    # --- leases ----------------------------------------------------------------------------------------

    def on_lease_request(self, source: str, message: LeaseRequest) -> None:
        primary = message.sender
        record = self.requested_epoch(message)
        if record is None:
            return  # an epoch that is not known here: the next whole one tells
        # A primary that makes the next epoch itself leads on until that is in force.
        follows = self.known_epoch is not None and self.known_epoch.primary == primary
        later_known = self.known_epoch is not None and record.number < self.known_epoch.number and not follows
        if later_known or (record.number < self.promised and self.promised_to != primary):
            self.send_refusal(source)
            return
        self.last_primary, self.primary_seen_at = primary, self.now
        self.deferral_count = 0
        if self.known_epoch is None or self.known_epoch.number < record.number:
            self.learn_epoch_in_force(record, follows)
        if self.attempt is not None and self.attempt.number <= record.number:
            self.attempt = None
        if self.identity not in record.members and not (follows and self.is_member()):
            self.join_requested_at.clear()
        elif self.now >= self.no_lease_until:
            self.leased_to, self.leased_until = primary, self.now + LEASE_S
            self.send(source, LeaseGrant(self.identity, record.number, message.sent_at))
        if message.version > self.published_version:
            self.send(source, ConfigurationRequest(self.identity))
        if message.settings_progress > self.record_replication.settings_progress():
            self.send(source, SettingsRequest(self.identity))

    def requested_epoch(self, message: LeaseRequest) -> EpochRecord | None:
        """The epoch of a lease request, as far as it is known; without members where a later one is."""
        if message.epoch_record is not None:
            return message.epoch_record
        if self.known_epoch is None or self.known_epoch.number < message.epoch:
            return None
        if self.known_epoch.number > message.epoch:
            return EpochRecord(message.epoch, message.sender, "", ())
        return self.known_epoch

    def learn_epoch_in_force(self, record: EpochRecord, follows: bool) -> None:
        """An epoch that is first heard of by a lease request: it is in force already."""
        if self.promised < record.number:
            self.promise(record.number, record.primary)
        self.learn_epoch(record)
        if not follows:
            # A vote must not outlive what the disk says of its epoch: none until that is surely there.
            self.no_lease_until = self.now + LEASE_S

    def on_lease_grant(self, source: str, message: LeaseGrant) -> None:
        member = message.sender
        self.last_received_at[member] = self.now
        if self.led_epoch is not None and message.epoch == self.led_epoch.number:
            until = message.sent_at + LEASE_MARGIN * LEASE_S
            self.lease_grants[member] = max(self.lease_grants.get(member, 0.0), until)

    # --- without a primary -------------------------------------------------------------------------------

    def announce_epoch_without_primary(self) -> None:
        """Who may lead the newest epoch may not know of it: the one that asked for its acceptance is lost."""
        if (
            self.known_epoch is None
            or self.now < self.next_announcement_at
            or self.now - self.primary_seen_at < 2 * LEASE_S
        ):
            return
        self.next_announcement_at = self.now + RETRY_INTERVAL_S
        self.broadcast(EpochKnown(self.identity, self.known_epoch))

    def on_epoch_known(self, source: str, message: EpochKnown) -> None:
        self.learn_epoch(message.epoch_record)

    # --- who joins and leaves ----------------------------------------------------------------------------

    def on_join_request(self, source: str, message: JoinRequest) -> None:
        joiner = message.sender
        if self.led_epoch is None or address_of(joiner) != source or joiner in self.led_epoch.members:
            return
        self.join_requested_at[joiner] = self.last_received_at[joiner] = self.now
        self.leave_announced_at.pop(joiner, None)

    def on_leaving(self, source: str, message: Leaving) -> None:
        self.leave_announced_at[message.sender] = self.now
        if self.led_epoch is None:
            return
        if self.attempt is None:
            self.act_as_primary()
        if self.led_epoch is not None and self.may_release(message.sender, self.led_epoch):
            self.send(source, DepartureGranted(self.identity, self.led_epoch.number))

    def may_release(self, leaver: str, record: EpochRecord) -> bool:
        """Whether nothing rests on a member that leaves: no copy, and no majority."""
        if self.attempt is not None or leaver in (record.primary, record.backup):
            return False
        if leaver not in record.members:
            return True
        present = {m for m, at in self.last_received_at.items() if self.now - at < BACKUP_TIMEOUT_S} | {
            self.identity
        }
        enough = is_majority(record.members, present - self.leaving_members())
        return enough and len(record.members) <= MIN_MEMBERS

    def on_departure_granted(self, source: str, message: DepartureGranted) -> None:
        if self.leaving_since is not None and self.led_epoch is None:
            self.departure_granted = True

    def on_leadership_released(self, source: str, message: LeadershipReleased) -> None:
        led_by_sender = self.known_epoch is not None and self.known_epoch.primary == message.sender
        if self.leased_to != message.sender and not led_by_sender:
            return
        if self.leased_to == message.sender:
            self.leased_until = 0.0
        if led_by_sender:
            self.restart_lease_until = 0.0
        self.next_attempt_at = 0.0
        if self.led_epoch is None and self.attempt is None and self.may_begin_attempt():
            self.begin_attempt("the primary leaves")

    def hand_over_when_drained(self, backup_stays: bool) -> None:
        """Let the backup lead at once, when changes on their way have ended or DRAIN is over."""
        assert self.leaving_since is not None
        drained = not self.pending and not self.record_replication.pending
        if not backup_stays or not (drained or self.now - self.leaving_since > DRAIN_S):
            return
        self.step_down("this process ends")
        self.leased_to, self.leased_until = "", 0.0
        self.next_attempt_at = self.now + RECLAIM_DELAY_S
        self.broadcast(LeadershipReleased(self.identity))

    def may_exit(self) -> bool:
        """Whether this process, which is to end, holds nothing any more that others would miss."""
        if self.leaving_since is None:
            return False
        never_a_member = self.known_epoch is None or (self.known_epoch.number > 0 and not self.is_member())
        return self.departure_granted or (never_a_member and not self.is_in_pair())
