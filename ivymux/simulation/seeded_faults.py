"""Faults seeded into the pure parts, to see that the models find them.  Each is used as a context.

What finds nothing proves nothing: each of these was a fault that a reader may well make.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from ivymux.config_store import elections, leadership, messages, replica_state
from ivymux.config_store.actions import Action, Persist, Reply, Send
from ivymux.config_store.history import ChangeHistory, ChangeOutcome
from ivymux.config_store.idempotency import RecordReplication
from ivymux.config_store.messages import PromiseRequest, ReplicaMessage, WriteStored
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord, is_majority
from ivymux.config_store.replica import Replica
from ivymux.config_store.replica_state import ElectionAttempt
from ivymux.fault_injection import request_matcher
from ivymux.fault_injection.request_matcher import RequestMatcher
from ivymux.fault_injection.trial_set import TrialSet
from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.lease_counts import LeaseCounts, TenantUsage
from ivymux.registry import outlier_detection
from ivymux.simulation.control_plane import ControlPlaneWorld
from ivymux.simulation.core_cluster import CoreCluster, Disk
from ivymux.simulation.exploration import Core, Cuts, Doubts, Quotas, Trials, World
from orchidhill import interface as i

Seeded = Callable[[], contextlib.AbstractContextManager[World]]


@contextlib.contextmanager
def swapped(world: World, owner: Any, **parts: Any) -> Iterator[World]:
    """A world in which parts of a class or a module are others."""
    true = {name: getattr(owner, name) for name in parts}
    for name, part in parts.items():
        setattr(owner, name, part)
    try:
        yield world
    finally:
        for name, part in true.items():
            setattr(owner, name, part)


@contextlib.contextmanager
def any_majority(world: World) -> Iterator[World]:
    """A world in which one vote is a majority."""

    def one_vote(members: object, votes: set[str]) -> bool:
        return bool(votes)

    with contextlib.ExitStack() as all_of:
        for module in (elections, leadership, replica_state):
            all_of.enter_context(swapped(world, module, is_majority=one_vote))
        yield world


class Lonely(Replica):
    """Answers once its own disk has a change."""

    def on_write_stored(self, source: str, message: WriteStored) -> None:
        for change in self.pending:
            change.on_backup = True
        super().on_write_stored(source, message)


class Hasty(Replica):
    """Does not wait until a lease that it stands by has ended."""

    def on_promise_request(self, source: str, message: PromiseRequest) -> None:
        self.leased_until = self.restart_lease_until = 0.0
        super().on_promise_request(source, message)


class Sure(Replica):
    """Reads and answers for as long as it thinks that it leads, lease or not."""

    def may_serve(self, now: float) -> bool:
        return self.led_epoch is not None


class Unbacked(Replica):
    """Goes on before its backup has the state."""

    def transfer_state(self, attempt: ElectionAttempt) -> None:
        super().transfer_state(attempt)
        if not attempt.backup_has_state:
            attempt.backup_has_state = True
            self.accept_own_record(attempt)


class Alone(Replica):
    """Takes an epoch up without a majority."""

    def check_acceptance(self, attempt: ElectionAttempt) -> None:
        if attempt.previous_epoch is not None and attempt.epoch_record is not None:
            attempt.accepted_by |= {*attempt.previous_epoch.members, *attempt.epoch_record.members}
        super().check_acceptance(attempt)


class Fresh(Replica):
    """Counts no vote from before its restart."""

    def __init__(self, durable: DurableState, now: float) -> None:
        super().__init__(durable, now)
        self.restart_lease_until = 0.0


class Forgetful(Replica):
    """Keeps none of its promises on disk."""

    def handle(self, now: float, source: str, message: ReplicaMessage) -> list[Action]:
        actions = super().handle(now, source, message)
        return [a for a in actions if not (isinstance(a, Persist) and a.promised)]


class Early(Replica):
    """Answers before its own disk has a change."""

    def put_configuration(self, call: int, version: int, text: str) -> Reply | None:
        reply = super().put_configuration(call, version, text)
        for change in self.pending:
            change.on_own_disk = True
        return reply


class Deaf(Replica):
    """Says that it has a state that it has not written."""

    def handle(self, now: float, source: str, message: ReplicaMessage) -> list[Action]:
        actions = super().handle(now, source, message)
        if isinstance(message, messages.WriteRequest):
            return [a for a in actions if isinstance(a, Send)]
        return actions


class Abrupt(Replica):
    """Ends at once when it is told to, whatever it holds."""

    def may_exit(self) -> bool:
        return self.leaving_since is not None


class Unfenced(Replica):
    """Takes changes of a primary below what it has promised."""

    def on_write_request(self, source: str, message: messages.WriteRequest) -> None:
        promised, self.promised = self.promised, 0
        if self.state is not None:
            state = self.state
            self.state = ConfigurationState(message.epoch, state.version, state.text)
        super().on_write_request(source, message)
        self.promised = promised


class Wavering(Replica):
    """Stands by a primary of an epoch below the one that it has promised."""

    def on_lease_request(self, source: str, message: messages.LeaseRequest) -> None:
        promised, self.promised = self.promised, 0
        super().on_lease_request(source, message)
        self.promised = max(promised, self.promised)


class NumbersOnly(Replica):
    """Knows a change by its number alone."""

    def put_configuration(self, call: int, version: int, text: str) -> Reply | None:
        known = self.history.digests.get(version)
        if known is not None and self.may_serve(self.now):
            return self.reply(ChangeOutcome.STORED, version, known)
        return super().put_configuration(call, version, text)


class NewestOnly(Replica):
    """Gives a new backup the newest change's digest, and no other."""

    def transfer_state(self, attempt: ElectionAttempt) -> None:
        self.history = ChangeHistory.from_changes(self.history.changes()[-1:])
        super().transfer_state(attempt)


class Skipping(Replica):
    """Takes a change though the one before it was lost on its way."""

    def on_write_request(self, source: str, message: messages.WriteRequest) -> None:
        super().on_write_request(source, msgspec.structs.replace(message, previous=-1))


class OneEpochsLease(Replica):
    """Reads under the lease of an epoch's members while those of the next one may go on without it."""

    def may_serve(self, now: float) -> bool:
        if self.led_epoch is None:
            return False
        votes = {member for member, until in self.lease_grants.items() if until > now} | {self.identity}
        return is_majority(self.led_epoch.members, votes)


class Unfixed(Replica):
    """Writes changes under its epoch while the next one's backup has the state of before them."""

    def is_writable(self) -> bool:
        return self.led_epoch is not None and self.state is not None

    def on_write_stored(self, source: str, message: WriteStored) -> None:
        for change in self.pending:
            change.on_backup = change.on_backup or self.attempt is not None
        super().on_write_stored(source, message)


class Hearsay(Replica):
    """Lets out for its silence whom it has never listened to."""

    def is_silent(self, member: str, present: set[str], silence: float) -> bool:
        return member not in present and self.now - self.last_received_at.get(member, -1e9) > silence


class Stateless(Replica):
    """Leads with whatever state it has."""

    def has_state_of(self, record: EpochRecord) -> bool:
        return True


class Unregistered(Replica):
    """Takes its promises for kept before they are on disk, and another's too."""

    def on_promise_request(self, source: str, message: PromiseRequest) -> None:
        if message.epoch == self.promised:
            self.promised_to = message.sender
        super().on_promise_request(source, message)


class QuickClaims(RecordReplication):
    """Answers a claim once its own disk has it."""

    def on_record_stored(self, source: str, message: messages.RecordStored) -> None:
        pending = self.pending.get(message.change_number)
        if pending is not None:
            pending.on_backup = True
        super().on_record_stored(source, message)


class OnOneDisk(Replica):
    """Its claims are on one disk."""

    record_replication_class = QuickClaims


class ForgetfulBook(RecordReplication):
    """Says that it has the primary's book when it has only been asked to."""

    def send_digests(self, primary: str, epoch: int) -> None:
        self.replica.send(primary, messages.StateStored(self.replica.identity, epoch))


class Unrepaired(Replica):
    """Its copy of the book is never repaired."""

    record_replication_class = ForgetfulBook


def by_hearing(self: RequestMatcher, version: int, asked: float, age: float) -> None:
    true_renew(self, version, asked + age, 0.0)


def any_board(self: RequestMatcher, board: Any, steady: float, unix: float) -> bool:
    self.trials = TrialSet(board.version - 1)
    return true_use(self, board, steady, unix)


def alike(
    self: RequestMatcher, steady: float, tenant: str, key: bytes, route: str, service: str, name: bytes
) -> Any:
    near = next((caller for caller in self.active_by_caller if tenant.startswith(caller)), tenant)
    return true_find(self, steady, near, key, route, service, name)


def keyless(
    self: RequestMatcher, steady: float, tenant: str, key: bytes, route: str, service: str, name: bytes
) -> Any:
    for live in self.active_by_caller.get(tenant, ()):
        live.keys |= {key}
    return true_find(self, steady, tenant, key, route, service, name)


def endless(self: RequestMatcher, board: Any, steady: float, unix: float) -> bool:
    before = dict(self.active)
    news = true_use(self, board, steady, unix)
    self.active = before | self.active
    self.index_by_caller()
    return news


def unasked(self: RequestMatcher, board: Any, steady: float, unix: float) -> bool:
    self.lease_until = float("inf")
    return true_use(self, board, steady, unix)


def same_name(self: CoreCluster, ip: str) -> None:
    self.kill(ip)
    kept = self.machines[ip].disk.durable
    record = EpochRecord(0, "", "", tuple(f"{other}/first" for other in self.machines))
    self.machines[ip].disk = Disk(DurableState(kept.identity, record, 0, "", None))


def forgets(self: LeaseCounts, count: Any, now: float) -> TenantUsage:
    usage = self.usages[count.customer] = TenantUsage(count.burst, now, count.name, now - count.since)
    return usage


def endless_room(self: LeaseCounts, usage: TenantUsage, count: i.Count) -> float:
    return usage.level + count.span * count.rate


def always(self: LeaseCounts, usage: TenantUsage, count: i.Count, now: float) -> bool:
    return True


true_renew, true_use, true_find = RequestMatcher.renew_lease, RequestMatcher.apply, RequestMatcher.match

FAULTS: dict[str, Seeded] = {
    "an answer after one disk": lambda: contextlib.nullcontext(Core(Lonely)),
    "reads without a lease": lambda: contextlib.nullcontext(Core(Sure)),
    "an epoch without a majority": lambda: contextlib.nullcontext(Core(Alone)),
    "a backup that does not write": lambda: contextlib.nullcontext(Core(Deaf)),
    "a member that leaves without handing over": lambda: contextlib.nullcontext(ControlPlaneWorld(Abrupt)),
    "changes of an epoch below the promise": lambda: contextlib.nullcontext(ControlPlaneWorld(Unfenced)),
    "a change known by its number alone": lambda: contextlib.nullcontext(ControlPlaneWorld(NumbersOnly)),
    "a backup without the history": lambda: contextlib.nullcontext(ControlPlaneWorld(NewestOnly)),
    "a change behind one that was lost": lambda: contextlib.nullcontext(ControlPlaneWorld(Skipping)),
    "changes behind a state that is fixed": lambda: contextlib.nullcontext(ControlPlaneWorld(Unfixed)),
    "members let out by hearsay": lambda: contextlib.nullcontext(ControlPlaneWorld(Hearsay)),
    "claims on one disk": lambda: contextlib.nullcontext(ControlPlaneWorld(OnOneDisk)),
    "a book that is not repaired": lambda: contextlib.nullcontext(ControlPlaneWorld(Unrepaired)),
    "no lease": lambda: contextlib.nullcontext(ControlPlaneWorld(Sure)),
    "no majority on a day of the control side": lambda: any_majority(ControlPlaneWorld()),
    "an epoch whose backup has not the state": lambda: contextlib.nullcontext(ControlPlaneWorld(Unbacked)),
    "an answer before the own disk": lambda: contextlib.nullcontext(ControlPlaneWorld(Early)),
    "a majority of one": lambda: any_majority(Core()),
    "a trial's lease from its hearing": lambda: swapped(Trials(), RequestMatcher, renew_lease=by_hearing),
    "a lease of twice its length": lambda: swapped(
        Trials(), request_matcher, LEASE_S=2 * request_matcher.LEASE_S
    ),
    "an old board in the place of a new one": lambda: swapped(Trials(), RequestMatcher, apply=any_board),
    "callers whose names begin alike": lambda: swapped(Trials(), RequestMatcher, match=alike),
    "a trial of one key that takes all": lambda: swapped(Trials(), RequestMatcher, match=keyless),
    "an end that a door does not heed": lambda: swapped(Trials(), RequestMatcher, apply=endless),
    "a trial that needs no word of the core": lambda: swapped(Trials(), RequestMatcher, apply=unasked),
    "one door's word that shuts a backend out": lambda: swapped(Doubts(), outlier_detection, MIN_PROXIES=1),
    "no bound on what is shut out": lambda: swapped(Doubts(), outlier_detection, MAX_EJECTED_SHARE=1.0),
    "a store that is not kept to its burst": lambda: swapped(Quotas(), LeaseCounts, available=endless_room),
    "counts that are forgotten": lambda: swapped(Cuts(), LeaseCounts, start_usage=forgets),
    "nothing kept for doors that are cut off": lambda: swapped(
        Cuts(), CounterHolders, missing_share=lambda *a: 0.0
    ),
}

# Days of the control side show these too, one in thousands: `python -m bench.explore --rare`.
RARE: dict[str, Seeded] = {
    "a lease of one epoch's members": lambda: contextlib.nullcontext(ControlPlaneWorld(OneEpochsLease)),
    "votes for a primary below the promise": lambda: contextlib.nullcontext(ControlPlaneWorld(Wavering)),
    "a leader with an abandoned state": lambda: contextlib.nullcontext(ControlPlaneWorld(Stateless)),
    "one promise for two candidates": lambda: contextlib.nullcontext(ControlPlaneWorld(Unregistered)),
    "a lease that is not waited out": lambda: contextlib.nullcontext(ControlPlaneWorld(Hasty)),
    "votes forgotten with a restart": lambda: contextlib.nullcontext(ControlPlaneWorld(Fresh)),
    "promises that are on no disk": lambda: contextlib.nullcontext(ControlPlaneWorld(Forgetful)),
    "a wiped machine that votes as the old one": lambda: swapped(
        ControlPlaneWorld(), CoreCluster, wipe=same_name
    ),
}

# Those that these worlds did not show, in 1,500 to 4,000 days of the core, 400 of cuts.  Random schedules
# (fault_schedules.py, `play`) show the first.
UNSEEN: dict[str, Seeded] = {
    "core: a lease that is not waited out": lambda: contextlib.nullcontext(Core(Hasty)),
    "core: an epoch whose backup has not the state": lambda: contextlib.nullcontext(Core(Unbacked)),
    "core: votes forgotten with a restart": lambda: contextlib.nullcontext(Core(Fresh)),
    "core: promises that are on no disk": lambda: contextlib.nullcontext(Core(Forgetful)),
    "core: an answer before the own disk": lambda: contextlib.nullcontext(Core(Early)),
    "core: a wiped machine that votes as the old one": lambda: swapped(Core(), CoreCluster, wipe=same_name),
    "a door that comes back and goes on with its book": lambda: swapped(
        Cuts(), LeaseCounts, is_complete=always
    ),
}
