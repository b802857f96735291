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
    BACKUP_SILENCE,
    DEFERENCE,
    DISK_DISTRUST,
    DISK_PATIENCE,
    DRAIN,
    FULL_RENEWAL,
    LEASE,
    LEASE_MARGIN,
    LEAST_MEMBERS,
    RENEWAL,
    RETRY,
    RETURN,
    UNLED,
)


class Leadership(Elections):
    """A replica as a primary, and as a member that stands by one."""

    def __init__(self, durable: DurableState, now: float) -> None:
        super().__init__(durable, now)
        self.renew_at = 0.0  # the next lease request
        self.renewals = 0
        self.primary, self.primary_at = "", -1e9  # who leads, as last heard, and when that was
        self.tell_epoch_at = now + 2 * LEASE
        self.departure_granted = False  # this process, which is to end, may
        self.no_vote_until = 0.0  # behind an epoch that was first heard of by a lease request

    # --- the primary -----------------------------------------------------------------------------------

    def takes_lead(self) -> None:
        self.renew_at = 0.0
        self.lead()
        self.publish()
        self.record_replication.publish_settings()

    def lead(self) -> None:
        """While an epoch of this machine is in force."""
        record = self.leading
        assert record is not None
        if self.now >= self.renew_at:
            self.renew_lease(record)
        if self.may_serve(self.now):
            self.served_at = self.now
        elif self.now - self.served_at > UNLED:
            self.step_down("no majority stands by it")
            self.wait_until = self.now + DEFERENCE
            return
        self.record_replication.tick_as_primary()
        self.send_writes_again()
        if self.attempt is not None:
            self.pursue()
        elif self.now >= self.wait_until:
            self.reconfigure(record)

    def renew_lease(self, record: EpochRecord) -> None:
        """Ask all members to stand by this primary; now and then with the whole record."""
        self.renew_at = self.now + RENEWAL
        self.leased_to, self.leased_until = self.me, self.now + LEASE
        standing = sum(until > self.now for until in self.grants.values())
        some_may_not_know = standing < len(record.members) - 1
        whole = self.renewals % FULL_RENEWAL == 0 or some_may_not_know
        self.renewals += 1
        self.broadcast(
            LeaseRequest(
                self.me,
                record.number,
                self.now,
                self.held_version(),
                record if whole else None,
                self.record_replication.settings_progress(),
            )
        )

    def reconfigure(self, record: EpochRecord) -> None:
        """Make a new epoch where this one does not do any more; let another lead before this process ends."""
        present = {m for m, at in self.heard.items() if self.now - at < BACKUP_SILENCE} | {self.me}
        leavers = self.leavers()
        staying = {m for m in present if m in record.members and m not in leavers}
        if self.highest_seen > record.number:
            self.begin("a member has promised another")
        elif not self.is_writable():
            self.begin("one that was begun did not come to an end")
        elif self.now - self.heard.get(record.backup, self.now) > BACKUP_SILENCE:
            if is_majority(record.members, present):
                self.begin("the backup is silent")
        elif self.may_replace_hanging_backup(record, present):
            self.distrusted[record.backup] = self.now + DISK_DISTRUST
            self.begin("the backup's disk does not answer")
        elif record.backup in leavers and staying - {self.me, record.backup}:
            self.begin("the backup leaves")
        elif self.leaving_since is not None:
            self.hand_over_when_drained(record.backup in staying)
        elif self.following_members(record, present) != record.members:
            self.begin("the members change")

    def may_replace_hanging_backup(self, record: EpochRecord, present: set[str]) -> bool:
        """Whether what waits for the backup's disk has waited for long, and another may do better.

        The backup's process may be well: its heartbeats and lease grants rest on no disk.
        """
        if self.now - self.waiting_for_backup_since() <= DISK_PATIENCE:
            return False
        others = (present & set(record.members)) - {self.me, record.backup}
        return bool(others - self.unfit_backups()) and is_majority(record.members, {self.me} | others)

    # --- leases ----------------------------------------------------------------------------------------

    def on_lease_request(self, source: str, message: LeaseRequest) -> None:
        primary = message.sender
        record = self.asked_for(message)
        if record is None:
            return  # an epoch that is not known here: the next whole one tells
        # A primary that makes the next epoch itself leads on until that is in force.
        follows = self.record is not None and self.record.primary == primary
        later_known = self.record is not None and record.number < self.record.number and not follows
        if later_known or (record.number < self.promised and self.promised_to != primary):
            self.refuse(source)
            return
        self.primary, self.primary_at = primary, self.now
        self.deferred = 0
        if self.record is None or self.record.number < record.number:
            self.learn_in_force(record, follows)
        if self.attempt is not None and self.attempt.number <= record.number:
            self.attempt = None
        if self.me not in record.members and not (follows and self.is_member()):
            self.joining.clear()
        elif self.now >= self.no_vote_until:
            self.leased_to, self.leased_until = primary, self.now + LEASE
            self.send(source, LeaseGrant(self.me, record.number, message.sent_at))
        if message.version > self.published:
            self.send(source, ConfigurationRequest(self.me))
        if message.notes_told > self.record_replication.settings_progress():
            self.send(source, SettingsRequest(self.me))

    def asked_for(self, message: LeaseRequest) -> EpochRecord | None:
        """The epoch of a lease request, as far as it is known; without members where a later one is."""
        if message.record is not None:
            return message.record
        if self.record is None or self.record.number < message.epoch:
            return None
        if self.record.number > message.epoch:
            return EpochRecord(message.epoch, message.sender, "", ())
        return self.record

    def learn_in_force(self, record: EpochRecord, follows: bool) -> None:
        """An epoch that is first heard of by a lease request: it is in force already."""
        if self.promised < record.number:
            self.promise(record.number, record.primary)
        self.learn(record)
        if not follows:
            # A vote must not outlive what the disk says of its epoch: none until that is surely there.
            self.no_vote_until = self.now + LEASE

    def on_lease_grant(self, source: str, message: LeaseGrant) -> None:
        member = message.sender
        self.heard[member] = self.now
        if self.leading is not None and message.epoch == self.leading.number:
            until = message.sent_at + LEASE_MARGIN * LEASE
            self.grants[member] = max(self.grants.get(member, 0.0), until)

    # --- without a primary -------------------------------------------------------------------------------

    def tell_epoch_while_unled(self) -> None:
        """Who may lead the newest epoch may not know of it: the one that asked for its acceptance is lost."""
        if self.record is None or self.now < self.tell_epoch_at or self.now - self.primary_at < 2 * LEASE:
            return
        self.tell_epoch_at = self.now + RETRY
        self.broadcast(EpochKnown(self.me, self.record))

    def on_epoch_known(self, source: str, message: EpochKnown) -> None:
        self.learn(message.record)

    # --- who joins and leaves ----------------------------------------------------------------------------

    def on_join_request(self, source: str, message: JoinRequest) -> None:
        joiner = message.sender
        if self.leading is None or address_of(joiner) != source or joiner in self.leading.members:
            return
        self.joining[joiner] = self.heard[joiner] = self.now
        self.leaving.pop(joiner, None)

    def on_leaving(self, source: str, message: Leaving) -> None:
        self.leaving[message.sender] = self.now
        if self.leading is None:
            return
        if self.attempt is None:
            self.lead()
        if self.leading is not None and self.may_spare(message.sender, self.leading):
            self.send(source, DepartureGranted(self.me, self.leading.number))

    def may_spare(self, leaver: str, record: EpochRecord) -> bool:
        """Whether nothing rests on a member that leaves: no copy, and no majority."""
        if self.attempt is not None or leaver in (record.primary, record.backup):
            return False
        if leaver not in record.members:
            return True
        present = {m for m, at in self.heard.items() if self.now - at < BACKUP_SILENCE} | {self.me}
        enough = is_majority(record.members, present - self.leavers())
        return enough and len(record.members) <= LEAST_MEMBERS

    def on_departure_granted(self, source: str, message: DepartureGranted) -> None:
        if self.leaving_since is not None and self.leading is None:
            self.departure_granted = True

    def on_leadership_released(self, source: str, message: LeadershipReleased) -> None:
        led_by_sender = self.record is not None and self.record.primary == message.sender
        if self.leased_to != message.sender and not led_by_sender:
            return
        if self.leased_to == message.sender:
            self.leased_until = 0.0
        if led_by_sender:
            self.held_until = 0.0
        self.wait_until = 0.0
        if self.leading is None and self.attempt is None and self.may_begin():
            self.begin("the primary leaves")

    def hand_over_when_drained(self, backup_stays: bool) -> None:
        """Let the backup lead at once, when changes on their way have ended or DRAIN is over."""
        assert self.leaving_since is not None
        drained = not self.pending and not self.record_replication.pending
        if not backup_stays or not (drained or self.now - self.leaving_since > DRAIN):
            return
        self.step_down("this process ends")
        self.leased_to, self.leased_until = "", 0.0
        self.wait_until = self.now + RETURN
        self.broadcast(LeadershipReleased(self.me))

    def may_end(self) -> bool:
        """Whether this process, which is to end, holds nothing any more that others would miss."""
        if self.leaving_since is None:
            return False
        never_a_member = self.record is None or (self.record.number > 0 and not self.is_member())
        return self.departure_granted or (never_a_member and not self.is_in_pair())
