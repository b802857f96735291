"""Simulates a cluster of core machines, their disks and their network in virtual time, from one seed.

The checks use only what an operator can observe: the changes that were acknowledged and the results of reads.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ivymux.config_store.actions import (
    EVERYONE,
    Action,
    Complete,
    LogLine,
    Persist,
    Publish,
    Send,
    may_overtake,
)
from ivymux.config_store.calls import Call, PutConfiguration
from ivymux.config_store.history import ChangeOutcome, digest_of
from ivymux.config_store.messages import (
    RecordRepair,
    RecordsExpired,
    ReplicaMessage,
    SettingsInForce,
    StateTransfer,
)
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord
from ivymux.config_store.replica import Replica
from ivymux.transport.frames import MAX_FRAME_BYTES

Answer = dict[str, Any]
TICK_INTERVAL_S = 0.05  # between the ticks of a replica
USUAL_COMMIT_S = 0.008
# Messages whose length grows with the state.
GROWING_MESSAGES = (RecordRepair, RecordsExpired, SettingsInForce, StateTransfer)

EXIT_GRACE_S = 5.0  # within which a process has to exit after a request to stop


class GuaranteeViolation(AssertionError):
    """The core broke one of its guarantees."""


def with_writes(durable: DurableState, writes: Iterable[Persist]) -> DurableState:
    """Return what is on a disk after further writes, in order."""
    for write in writes:
        promised = write.promised or (durable.promised, durable.promised_to)
        records = durable.idempotency_records
        if write.idempotency_records:
            records = {
                key: record
                for key, record in {**records, **dict(write.idempotency_records)}.items()
                if record is not None
            }
        history = durable.history if write.history is None else write.history
        if write.change is not None:
            history = (*history, write.change)
        durable = DurableState(
            durable.identity,
            write.epoch_record or durable.epoch_record,
            *promised,
            write.state or durable.state,
            records,
            history,
        )
    return durable


@dataclass
class Disk:
    """The synced state of a machine, including its identity, which a wipe replaces."""

    durable: DurableState
    commit_s: float = USUAL_COMMIT_S  # mean duration of a commit
    is_full: bool = False  # every write fails, and the process that writes exits


@dataclass
class Machine:
    """A core machine: its disk, and the replica process while it runs."""

    ip: str
    disk: Disk
    replica: Replica | None = None
    incarnation: int = 0
    queued: list[Action] = field(default_factory=list)  # until the running commit ends
    committing: list[Persist] = field(default_factory=list)  # until the process learns that it is done
    is_commit_on_disk: bool = False  # a frozen process learns of the end of its commit later
    after_commit: list[Action] = field(default_factory=list)  # executed once `committing` is synced
    commit_ends_at: float = 0.0
    published_version: int = -1
    deferred: list[Callable[[], None]] | None = None  # events while the process is frozen, else None
    open_changes: dict[int, tuple[int, str, ChangeOutcome]] = field(default_factory=dict)  # by call id
    open_calls: dict[int, tuple[Answer, Callable[[Answer], None]]] = field(default_factory=dict)  # by call id


class CoreCluster:
    """Core machines with simulated disks, network and operators, and checks of the core's guarantees.

    `replica` creates the replica of a machine; tests pass a faulty one to verify the checks.
    """

    def __init__(
        self, seed: int, count: int = 3, replica: Callable[[DurableState, float], Replica] = Replica
    ) -> None:
        self.random = random.Random(seed)
        self.make_replica = replica
        self.backup_count = 1  # of each epoch
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.cut_links: set[tuple[str, str]] = set()
        self.removed_machines: set[str] = set()  # never started again
        self.loss_rate = 0.0
        self.machines: dict[str, Machine] = {}
        self.sent_texts: dict[int, set[str]] = {}  # by version: the texts that operators sent
        self.text_by_version: dict[int, str] = {}  # the text that was acknowledged or read
        self.acknowledged_versions: set[int] = set()
        self.highest_acknowledged = -1  # of the versions acknowledged as stored
        self.highest_read = -1
        self.superseded: set[tuple[int, str]] = set()  # changes answered as superseded
        self.log: list[str] = []
        self.call_ids = itertools.count(1)
        self.wipe_numbers = itertools.count(1)
        ips = [f"m{n}" for n in range(count)]
        seeds = tuple(f"{ip}/first" for ip in ips[:3])
        for ip in ips:
            record = EpochRecord(0, "", "", seeds) if f"{ip}/first" in seeds else None
            self.machines[ip] = Machine(ip, Disk(DurableState(f"{ip}/first", record, 0, "", None)))

    # --- time -----------------------------------------------------------------------------------------

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after `delay_s` seconds of virtual time."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), callback))

    def run_for(self, span_s: float) -> None:
        """Advance the virtual time by `span_s` seconds and run the events that fall due."""
        end = self.now + span_s
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Run until the condition is true or `timeout_s` seconds have passed; returns the condition."""
        end = self.now + timeout_s
        while not condition() and self.now < end:
            self.run_for(TICK_INTERVAL_S)
        return condition()

    # --- machines -------------------------------------------------------------------------------------

    def run_until_acknowledged(self, version: int, timeout_s: float) -> bool:
        """Run until this version or a later one is acknowledged; returns whether it is."""
        return self.run_until(lambda: self.highest_acknowledged >= version, timeout_s)

    def run_until_led(self, timeout_s: float) -> bool:
        """Run until a primary serves reads; returns whether one does."""
        return self.run_until(lambda: bool(self.primaries()), timeout_s)

    def start_at(self, delay_s: float, ip: str) -> None:
        """Start the process of a machine after `delay_s` seconds."""
        self.schedule(delay_s, lambda: self.start(ip))

    def start(self, ip: str) -> None:
        """Start the process of a machine, unless it runs."""
        machine = self.machines[ip]
        if machine.replica is not None:
            return
        machine.incarnation += 1
        machine.replica = self.make_replica(machine.disk.durable, self.now)
        machine.replica.backup_count = self.backup_count
        machine.queued, machine.committing, machine.after_commit, machine.deferred = [], [], [], None
        machine.open_changes, machine.open_calls, machine.published_version = {}, {}, -1
        self.tick(machine, machine.incarnation)

    def tick(self, machine: Machine, incarnation: int) -> None:
        """Call the replica's timer and schedule the next call, for as long as this process runs."""
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.deferred is not None:
            machine.deferred.append(lambda: self.tick(machine, incarnation))
            return
        self.execute_all(machine, machine.replica.tick(self.now))
        self.schedule(
            TICK_INTERVAL_S * self.random.uniform(0.9, 1.1), lambda: self.tick(machine, incarnation)
        )

    def kill(self, ip: str) -> None:
        """Kill the process; a commit in progress is either on its disk or lost."""
        machine = self.machines[ip]
        is_interrupted = bool(machine.committing) and not machine.is_commit_on_disk
        if machine.replica is not None and is_interrupted and self.interrupted_write_survives():
            self.apply_writes(machine.disk, machine.committing)
        machine.replica, machine.committing = None, []

    def freeze(self, ip: str) -> None:
        """Suspend the process; its disk finishes a running commit, and incoming events are deferred."""
        machine = self.machines[ip]
        if machine.replica is not None and machine.deferred is None:
            machine.deferred = []

    def thaw(self, ip: str) -> None:
        """Resume a frozen process and run its deferred events."""
        machine = self.machines[ip]
        deferred, machine.deferred = machine.deferred or [], None
        for callback in deferred:
            callback()

    def leave(self, ip: str, for_good: bool = False, grace_s: float = EXIT_GRACE_S) -> None:
        """Ask a process to exit; it exits when its replica may, at the latest after `grace_s` seconds.

        With `for_good`, the machine is never started again.
        """
        machine = self.machines[ip]
        if machine.replica is None:
            return
        if for_good:
            self.removed_machines.add(ip)
        incarnation, exit_deadline = machine.incarnation, self.now + grace_s
        self.execute_all(machine, machine.replica.leave(self.now))

        def exit_if_allowed() -> None:
            if machine.replica is None or machine.incarnation != incarnation:
                return
            if (machine.deferred is None and machine.replica.may_exit()) or self.now >= exit_deadline:
                self.kill(ip)
            else:
                self.schedule(TICK_INTERVAL_S, exit_if_allowed)

        self.schedule(TICK_INTERVAL_S, exit_if_allowed)

    def member_addresses(self) -> set[str]:
        """Return the addresses of the members of the epoch in force; empty without a primary."""
        primaries = self.primaries()
        replica = self.machines[primaries[0]].replica if primaries else None
        if replica is None or replica.led_epoch is None:
            return set()
        return {m.partition("/")[0] for m in replica.led_epoch.members}

    def wipe(self, ip: str) -> None:
        """Kill the process and replace its disk by an empty one with a new identity."""
        self.kill(ip)
        durable = DurableState(f"{ip}/w{next(self.wipe_numbers)}", None, 0, "", None)
        self.machines[ip].disk = Disk(durable)

    def isolate(self, ip: str, outward: bool = True, inward: bool = True) -> None:
        """Drop the messages that a machine sends (`outward`) or receives (`inward`)."""
        for other in self.machines:
            if outward:
                self.cut_links.add((ip, other))
            if inward:
                self.cut_links.add((other, ip))

    # --- actions, in the order in which the real process executes them --------------------------------

    def execute_all(self, machine: Machine, actions: list[Action]) -> None:
        """Execute the actions of a replica; they wait for earlier writes unless they may overtake them."""
        for action in actions:
            is_blocked = machine.queued or machine.committing or isinstance(action, Persist)
            if is_blocked and not may_overtake(action, [*machine.committing, *machine.queued]):
                machine.queued.append(action)
            else:
                self.execute(machine, action)
        self.start_commit(machine)

    def start_commit(self, machine: Machine) -> None:
        """Start one commit of all queued writes, unless a commit is running."""
        if machine.committing:
            return
        while machine.queued and not isinstance(machine.queued[0], Persist):
            self.execute(machine, machine.queued.pop(0))
        writes = [a for a in machine.queued if isinstance(a, Persist)]
        machine.after_commit = [a for a in machine.queued if not isinstance(a, Persist)]
        machine.queued = []
        if writes:
            machine.committing, machine.is_commit_on_disk = writes, False
            incarnation, disk = machine.incarnation, machine.disk
            duration_s = disk.commit_s * self.commit_factor()
            machine.commit_ends_at = self.now + duration_s
            self.schedule(duration_s, lambda: self.finish_commit(machine, incarnation, disk, writes))

    def finish_commit(self, machine: Machine, incarnation: int, disk: Disk, writes: list[Persist]) -> None:
        """Store the writes of a commit and execute what waits for it; a full disk ends the process."""
        if machine.incarnation != incarnation or machine.replica is None:
            return
        if disk.is_full:
            machine.committing = []
            self.kill(machine.ip)
            return
        self.apply_writes(disk, writes)
        machine.is_commit_on_disk = True
        if machine.deferred is not None:
            machine.deferred.append(lambda: self.execute_after_commit(machine, incarnation))
        else:
            self.execute_after_commit(machine, incarnation)

    def execute_after_commit(self, machine: Machine, incarnation: int) -> None:
        """Execute the actions that waited for a commit, and start the next one."""
        if machine.incarnation != incarnation or machine.replica is None:
            return
        machine.committing = []
        waiting, machine.after_commit = machine.after_commit, []
        for action in waiting:
            self.execute(machine, action)
        self.start_commit(machine)

    def apply_writes(self, disk: Disk, writes: list[Persist]) -> None:
        """Apply the writes of one commit to a disk, in order."""
        disk.durable = with_writes(disk.durable, writes)

    def execute(self, machine: Machine, action: Action) -> None:
        """Execute one action at once."""
        if isinstance(action, Send):
            others = [m for m in self.machines if m != machine.ip and m not in action.except_for]
            targets = others if action.to == EVERYONE else [action.to]
            for target in targets:
                self.send(machine.ip, target, action.message)
        elif isinstance(action, Complete):
            self.on_call_complete(machine, action)
        elif isinstance(action, Publish):
            machine.published_version = max(machine.published_version, action.version)
            self.check_state(ConfigurationState(0, action.version, action.text))
        elif isinstance(action, LogLine):
            self.log.append(f"{machine.ip}: {action.text}")

    def send(self, source: str, target: str, message: ReplicaMessage) -> None:
        """Send a message, which is lost on a cut link or at random."""
        if source != target and ((source, target) in self.cut_links or self.random.random() < self.loss_rate):
            return
        self.check_length(message)
        incarnation = self.machines[target].incarnation
        delay = 0.0001 if source == target else self.message_delay_s()
        self.schedule(delay, lambda: self.deliver(source, target, incarnation, message))

    def check_length(self, message: ReplicaMessage) -> None:
        """Check that a message whose length grows with the state fits into one frame of the transport."""
        if isinstance(message, GROWING_MESSAGES) and len(msgspec.json.encode(message)) > MAX_FRAME_BYTES:
            raise GuaranteeViolation(f"{type(message).__name__} has more than {MAX_FRAME_BYTES} bytes")

    def deliver(self, source: str, target: str, incarnation: int, message: ReplicaMessage) -> None:
        """Deliver a message, unless the receiving process has ended since it was sent."""
        machine = self.machines[target]
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.deferred is not None:
            machine.deferred.append(lambda: self.deliver(source, target, incarnation, message))
        else:
            self.execute_all(machine, machine.replica.handle(self.now, source, message))

    # --- random delays and failures -------------------------------------------------------------------

    def message_delay_s(self) -> float:
        """Draw the seconds that a message takes."""
        return self.random.uniform(0.0008, 0.004)

    def commit_factor(self) -> float:
        """Draw the factor by which a commit takes longer or shorter than the mean of its disk."""
        return self.random.uniform(0.5, 2)

    def interrupted_write_survives(self) -> bool:
        """Draw whether a commit in progress is on disk after its process was killed."""
        return self.random.random() >= 0.5

    # --- operators and callers ------------------------------------------------------------------------

    def put(self, ip: str, version: int, text: str) -> bool:
        """Send a change to a machine; returns whether it accepts the call, which may be answered later."""
        machine = self.machines[ip]
        if machine.replica is None or machine.deferred is not None:
            return False
        self.sent_texts.setdefault(version, set()).add(text)
        call_id = next(self.call_ids)
        reply = machine.replica.handle_call(self.now, call_id, PutConfiguration(version, text))
        if reply is None:
            return False
        outcome = ChangeOutcome(reply.answer["outcome"])
        if reply.answer["held_version"] < self.highest_acknowledged:
            raise GuaranteeViolation(
                f"{ip} holds version {reply.answer['held_version']} after version"
                f" {self.highest_acknowledged} was acknowledged"
            )
        if reply.wait:
            machine.open_changes[call_id] = version, text, outcome
        else:
            self.on_change_outcome(version, text, outcome, reply.answer["known_digest"])
        self.execute_all(machine, reply.actions)
        return True

    def on_change_outcome(self, version: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
        """Check the outcome of a change, as an operator gets it: a version has exactly one text.

        `known` is the digest of the stored text, if the outcome is a conflict.  Raises GuaranteeViolation.
        """
        if outcome is ChangeOutcome.STORED:
            if self.text_by_version.setdefault(version, text) != text:
                raise GuaranteeViolation(f"version {version} was acknowledged with two texts")
            if (version, text) in self.superseded:
                raise GuaranteeViolation(f"version {version} was answered as superseded, and as stored")
            self.highest_acknowledged = max(self.highest_acknowledged, version)
            self.acknowledged_versions.add(version)
        elif outcome is ChangeOutcome.CONFLICT:
            stored = next((t for t in self.sent_texts[version] if digest_of(t) == known), None)
            if stored is None or stored == text or self.text_by_version.setdefault(version, stored) != stored:
                raise GuaranteeViolation(
                    f"version {version} is reported as stored with another text than {text}"
                )
        elif version in self.acknowledged_versions and self.text_by_version[version] == text:
            raise GuaranteeViolation(f"version {version} was acknowledged, and is answered as superseded")
        else:
            self.superseded.add((version, text))

    def call(self, ip: str, request: Call, on_answer: Callable[[Answer], None]) -> bool:
        """Send a call about an idempotency record or a setting; returns whether the machine accepts it.

        `on_answer` receives the answer, at once or when the change is on two disks.
        """
        machine = self.machines[ip]
        if machine.replica is None or machine.deferred is not None:
            return False
        call_id = next(self.call_ids)
        reply = machine.replica.handle_call(self.now, call_id, request)
        if reply is None:
            return False
        if reply.wait:
            machine.open_calls[call_id] = reply.answer, on_answer
        else:
            on_answer(reply.answer)
        self.execute_all(machine, reply.actions)
        return True

    def on_call_complete(self, machine: Machine, action: Complete) -> None:
        """Deliver an answer that waited for both disks."""
        open_call = machine.open_calls.pop(action.call_id, None)
        if open_call is not None:
            answer, on_answer = open_call
            on_answer(answer)
            return
        change = machine.open_changes.pop(action.call_id, None)
        if change is not None:
            self.on_change_outcome(*change)
        assert machine.replica is not None and machine.replica.state is not None
        self.check_state(machine.replica.state)

    def check_state(self, state: ConfigurationState) -> None:
        """Check a configuration in force: its version has one text.  Raises GuaranteeViolation."""
        if state.version < 0:
            return
        if state.text not in self.sent_texts[state.version]:
            raise GuaranteeViolation(f"version {state.version} is in force with a text that no operator sent")
        if self.text_by_version.setdefault(state.version, state.text) != state.text:
            raise GuaranteeViolation(f"version {state.version} is in force with two texts")

    def read(self, ip: str) -> int | None:
        """Read the version of the configuration at a machine; None if it does not serve reads.

        Raises GuaranteeViolation if a newer version was acknowledged or read before.
        """
        replica = self.machines[ip].replica
        if replica is None or self.machines[ip].deferred is not None or not replica.may_serve(self.now):
            return None
        state = replica.state
        version = state.version if state is not None else -1
        if version < self.highest_acknowledged:
            raise GuaranteeViolation(
                f"{ip} serves version {version} after version {self.highest_acknowledged} was acknowledged"
            )
        if version < self.highest_read:
            raise GuaranteeViolation(
                f"{ip} serves version {version} after version {self.highest_read} was read"
            )
        self.highest_read = version
        if state is not None:
            self.check_state(state)
        return version

    def read_all(self) -> None:
        """Read at every machine, to check what each serves."""
        for ip in self.machines:
            self.read(ip)

    def primaries(self) -> list[str]:
        """Return the addresses of the machines that serve reads: the primary, or none."""
        return [ip for ip in self.machines if self.read(ip) is not None]

    def heal(self, timeout_s: float = 20.0) -> str:
        """Start and reconnect all machines and return the primary's address.

        Raises GuaranteeViolation if there is no primary within `timeout_s` seconds.
        """
        self.cut_links.clear()
        self.loss_rate = 0.0
        for ip in self.machines:
            self.thaw(ip)
            if ip not in self.removed_machines:
                self.start(ip)
        if not self.run_until(lambda: bool(self.primaries()), timeout_s):
            raise GuaranteeViolation(f"no primary {timeout_s} s after all faults ended: {self.log[-8:]}")
        return self.primaries()[0]
