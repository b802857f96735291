"""Core machines in simulated time: members of epochs, their disks and their network, from one seed.

A checker sees what an operator sees: which changes were acknowledged, and what was read when.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

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
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.records import ConfigurationState, DurableState, EpochRecord
from ivymux.config_store.replica import Replica

Answer = dict[str, Any]
TICK = 0.05
GRACE = 5.0  # seconds for which a process that was told to end may go on


class Broken(AssertionError):
    """A promise that was not kept."""


@dataclass
class Disk:
    """What is synced, and a token that a wipe takes away."""

    kept: DurableState
    slow: float = 0.008  # seconds of a commit
    full: bool = False  # takes no more: a process that writes ends


@dataclass
class Machine:
    ip: str
    disk: Disk
    replica: Replica | None = None
    life: int = 0
    queue: list[Action] = field(default_factory=list)
    writing: list[Persist] = field(default_factory=list)
    resting: list[Action] = field(default_factory=list)  # what goes out once that is done
    commit_ends: float = 0.0
    known: int = -1
    thawed: list[Callable[[], None]] | None = None  # while frozen: what comes behind it
    calls: dict[int, tuple[int, str, ChangeOutcome]] = field(default_factory=dict)
    asked: dict[int, tuple[Answer, Callable[[Answer], None]]] = field(default_factory=dict)


class Cores:
    """`replica` makes a machine's replica: a test puts a broken one in its place to see that it is found."""

    def __init__(
        self, seed: int, count: int = 3, replica: Callable[[DurableState, float], Replica] = Replica
    ) -> None:
        self.random = random.Random(seed)
        self.make = replica
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.cut: set[tuple[str, str]] = set()
        self.removed: set[str] = set()  # machines that are gone for good
        self.loss = 0.0
        self.machines: dict[str, Machine] = {}
        self.sent: dict[int, set[str]] = {}  # texts by version, as operators sent them
        self.held: dict[int, str] = {}  # the one text of each that was read, or held when acknowledged
        self.acked: set[int] = set()
        self.highest = -1  # of the versions that were acknowledged as taken
        self.highest_read = -1
        self.unchanged: set[tuple[int, str]] = set()  # changes that were said to have changed nothing
        self.log: list[str] = []
        self.call = itertools.count(1)
        self.wipes = itertools.count(1)
        ips = [f"m{n}" for n in range(count)]
        seeds = tuple(f"{ip}/first" for ip in ips[:3])
        for ip in ips:
            record = EpochRecord(0, "", "", seeds) if f"{ip}/first" in seeds else None
            self.machines[ip] = Machine(ip, Disk(DurableState(f"{ip}/first", record, 0, "", None)))

    # --- time ----------------------------------------------------------------------------------------

    def at(self, delay: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), what))

    def run(self, span: float) -> None:
        until = self.now + span
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until

    def until(self, what: Callable[[], bool], most: float) -> bool:
        """Run on until something holds, for `most` seconds at the most."""
        end = self.now + most
        while not what() and self.now < end:
            self.run(TICK)
        return what()

    # --- machines ------------------------------------------------------------------------------------

    def acknowledged(self, version: int, most: float) -> bool:
        """Run on until a version, or a later one, is acknowledged."""
        return self.until(lambda: self.highest >= version, most)

    def led(self, most: float) -> bool:
        """Run on until a machine leads."""
        return self.until(lambda: bool(self.leaders()), most)

    def start_at(self, delay: float, ip: str) -> None:
        self.at(delay, lambda: self.start(ip))

    def start(self, ip: str) -> None:
        machine = self.machines[ip]
        if machine.replica is not None:
            return
        machine.life += 1
        machine.replica = self.make(machine.disk.kept, self.now)
        machine.queue, machine.writing, machine.resting, machine.thawed = [], [], [], None
        machine.calls, machine.asked, machine.known = {}, {}, -1
        self.tick(machine, machine.life)

    def tick(self, machine: Machine, life: int) -> None:
        if machine.replica is None or machine.life != life:
            return
        if machine.thawed is not None:
            machine.thawed.append(lambda: self.tick(machine, life))
            return
        self.carry(machine, machine.replica.tick(self.now))
        self.at(TICK * self.random.uniform(0.9, 1.1), lambda: self.tick(machine, life))

    def kill(self, ip: str) -> None:
        """The process is gone; a write that it was at is on its disk by now, or never will be."""
        machine = self.machines[ip]
        if machine.replica is not None and machine.writing and self.survives():
            self.store(machine.disk, machine.writing)
        machine.replica, machine.writing = None, []

    def freeze(self, ip: str) -> None:
        """The process stands still; what its disk is at goes on, what comes waits."""
        machine = self.machines[ip]
        if machine.replica is not None and machine.thawed is None:
            machine.thawed = []

    def thaw(self, ip: str) -> None:
        machine = self.machines[ip]
        waiting, machine.thawed = machine.thawed or [], None
        for what in waiting:
            what()

    def leave(self, ip: str, gone: bool = False, grace: float = GRACE) -> None:
        """A planned end: the process ends once its replica may, or when `grace` is over.

        `gone`: the machine never comes back.
        """
        machine = self.machines[ip]
        if machine.replica is None:
            return
        if gone:
            self.removed.add(ip)
        life, ends = machine.life, self.now + grace
        self.carry(machine, machine.replica.leave(self.now))

        def look() -> None:
            if machine.replica is None or machine.life != life:
                return
            if (machine.thawed is None and machine.replica.may_exit()) or self.now >= ends:
                self.kill(ip)
            else:
                self.at(TICK, look)

        self.at(TICK, look)

    def membership(self) -> set[str]:
        """The addresses of the members of the epoch in force; none where nobody leads."""
        leaders = self.leaders()
        replica = self.machines[leaders[0]].replica if leaders else None
        if replica is None or replica.led_epoch is None:
            return set()
        return {m.partition("/")[0] for m in replica.led_epoch.members}

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        kept = DurableState(f"{ip}/w{next(self.wipes)}", None, 0, "", None)
        self.machines[ip].disk = Disk(kept)

    def cut_off(self, ip: str, outward: bool = True, inward: bool = True) -> None:
        """What a machine says, or hears, is lost."""
        for other in self.machines:
            if outward:
                self.cut.add((ip, other))
            if inward:
                self.cut.add((other, ip))

    # --- actions, as the program carries them out ----------------------------------------------------

    def carry(self, machine: Machine, actions: list[Action]) -> None:
        for action in actions:
            behind = machine.queue or machine.writing or isinstance(action, Persist)
            if behind and not may_overtake(action, [*machine.writing, *machine.queue]):
                machine.queue.append(action)
            else:
                self.act(machine, action)
        self.flush(machine)

    def flush(self, machine: Machine) -> None:
        if machine.writing:
            return
        while machine.queue and not isinstance(machine.queue[0], Persist):
            self.act(machine, machine.queue.pop(0))
        things = [a for a in machine.queue if isinstance(a, Persist)]
        machine.resting = [a for a in machine.queue if not isinstance(a, Persist)]
        machine.queue = []
        if things:
            machine.writing = things
            life, disk = machine.life, machine.disk
            takes = disk.slow * self.pace()
            machine.commit_ends = self.now + takes
            self.at(takes, lambda: self.written(machine, life, disk, things))

    def written(self, machine: Machine, life: int, disk: Disk, things: list[Persist]) -> None:
        if machine.life != life or machine.replica is None:
            return
        if disk.full:
            machine.writing = []
            self.kill(machine.ip)
            return
        self.store(disk, things)
        machine.writing = []
        if machine.thawed is not None:
            machine.thawed.append(lambda: self.rested(machine, life))
        else:
            self.rested(machine, life)

    def rested(self, machine: Machine, life: int) -> None:
        """What rested on a commit goes out."""
        if machine.life != life or machine.replica is None:
            return
        resting, machine.resting = machine.resting, []
        for action in resting:
            self.act(machine, action)
        self.flush(machine)

    def store(self, disk: Disk, things: list[Persist]) -> None:
        for thing in things:
            old = disk.kept
            promised = thing.promised or (old.promised, old.promised_to)
            records = old.idempotency_records
            if thing.idempotency_records:
                records = {
                    k: t for k, t in {**records, **dict(thing.idempotency_records)}.items() if t is not None
                }
            history = old.history if thing.history is None else thing.history
            if thing.change is not None:
                history = (*history, thing.change)
            disk.kept = DurableState(
                old.identity,
                thing.epoch_record or old.epoch_record,
                *promised,
                thing.state or old.state,
                records,
                history,
            )

    def act(self, machine: Machine, action: Action) -> None:
        if isinstance(action, Send):
            targets = [m for m in self.machines if m != machine.ip] if action.to == EVERYONE else [action.to]
            for target in targets:
                self.send(machine.ip, target, action.message)
        elif isinstance(action, Complete):
            self.done(machine, action)
        elif isinstance(action, Publish):
            machine.known = max(machine.known, action.version)
            self.seen(ConfigurationState(0, action.version, action.text))
        elif isinstance(action, LogLine):
            self.log.append(f"{machine.ip}: {action.text}")

    def send(self, source: str, target: str, message: ReplicaMessage) -> None:
        if source != target and ((source, target) in self.cut or self.random.random() < self.loss):
            return
        life = self.machines[target].life
        delay = 0.0001 if source == target else self.delay()
        self.at(delay, lambda: self.arrive(source, target, life, message))

    def arrive(self, source: str, target: str, life: int, message: ReplicaMessage) -> None:
        machine = self.machines[target]
        if machine.replica is None or machine.life != life:
            return
        if machine.thawed is not None:
            machine.thawed.append(lambda: self.arrive(source, target, life, message))
        else:
            self.carry(machine, machine.replica.handle(self.now, source, message))

    # --- luck ----------------------------------------------------------------------------------------

    def delay(self) -> float:
        """Seconds that a message takes."""
        return self.random.uniform(0.0008, 0.004)

    def pace(self) -> float:
        """Times its usual that a write takes."""
        return self.random.uniform(0.5, 2)

    def survives(self) -> bool:
        """Whether a write that power cut short is there."""
        return self.random.random() >= 0.5

    # --- the operator --------------------------------------------------------------------------------

    def put(self, ip: str, version: int, text: str) -> bool:
        """Whether a machine took the change; its acknowledgement may come later."""
        machine = self.machines[ip]
        if machine.replica is None or machine.thawed is not None:
            return False
        self.sent.setdefault(version, set()).add(text)
        call = next(self.call)
        told = machine.replica.handle_call(self.now, call, PutConfiguration(version, text))
        if told is None:
            return False
        outcome = ChangeOutcome(told.answer["outcome"])
        if told.answer["held_version"] < self.highest:
            raise Broken(
                f"{told.answer['held_version']} is held at {ip}, and {self.highest} was acknowledged"
            )
        if told.wait:
            machine.calls[call] = version, text, outcome
        else:
            self.answered(version, text, outcome, told.answer["known_digest"])
        self.carry(machine, told.actions)
        return True

    def answered(self, version: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
        """What an operator was told of a change: one number has one text, whatever it is asked and when."""
        if outcome is ChangeOutcome.STORED:
            if self.held.setdefault(version, text) != text:
                raise Broken(f"version {version} was acknowledged with two texts")
            if (version, text) in self.unchanged:
                raise Broken(f"version {version} was said to have changed nothing, and to be taken")
            self.highest = max(self.highest, version)
            self.acked.add(version)
        elif outcome is ChangeOutcome.CONFLICT:
            taken = next((t for t in self.sent[version] if digest_of(t) == known), None)
            if taken is None or taken == text or self.held.setdefault(version, taken) != taken:
                raise Broken(f"version {version} is said to be taken with another text than {text}")
        elif version in self.acked and self.held[version] == text:
            raise Broken(f"version {version} was acknowledged, and is said to have changed nothing")
        else:
            self.unchanged.add((version, text))

    def ask(self, ip: str, asked: Call, told: Callable[[Answer], None]) -> bool:
        """A call about a ticket; `told` hears its answer, now or once it is on two disks."""
        machine = self.machines[ip]
        if machine.replica is None or machine.thawed is not None:
            return False
        call = next(self.call)
        said = machine.replica.handle_call(self.now, call, asked)
        if said is None:
            return False
        if said.wait:
            machine.asked[call] = said.answer, told
        else:
            told(said.answer)
        self.carry(machine, said.actions)
        return True

    def done(self, machine: Machine, action: Complete) -> None:
        """An answer that waited for both disks."""
        answer = machine.asked.pop(action.call_id, None)
        if answer is not None:
            answer[1](answer[0])
            return
        change = machine.calls.pop(action.call_id, None)
        if change is not None:
            self.answered(*change)
        assert machine.replica is not None and machine.replica.state is not None
        self.seen(machine.replica.state)

    def seen(self, state: ConfigurationState) -> None:
        """A configuration that holds.  Raises Broken where its number was seen with another text."""
        if state.version < 0:
            return
        if state.text not in self.sent[state.version]:
            raise Broken(f"version {state.version} holds with a text that nobody sent")
        if self.held.setdefault(state.version, state.text) != state.text:
            raise Broken(f"version {state.version} holds with two texts")

    def read(self, ip: str) -> int | None:
        """What a read of the configuration gives there; None where that machine gives no answer."""
        replica = self.machines[ip].replica
        if replica is None or self.machines[ip].thawed is not None or not replica.may_serve(self.now):
            return None
        state = replica.state
        version = state.version if state is not None else -1
        if version < self.highest:
            raise Broken(f"read {version} at {ip}, and {self.highest} was acknowledged")
        if version < self.highest_read:
            raise Broken(f"read {version} at {ip}, and {self.highest_read} was read before")
        self.highest_read = version
        if state is not None:
            self.seen(state)
        return version

    def read_all(self) -> None:
        for ip in self.machines:
            self.read(ip)

    def leaders(self) -> list[str]:
        return [ip for ip in self.machines if self.read(ip) is not None]

    def settle(self, most: float = 20.0) -> str:
        """All machines up and connected: who leads then.  Raises Broken where nobody does."""
        self.cut.clear()
        self.loss = 0.0
        for ip in self.machines:
            self.thaw(ip)
            if ip not in self.removed:
                self.start(ip)
        if not self.until(lambda: bool(self.leaders()), most):
            raise Broken(f"nobody leads {most} s after all is well: {self.log[-8:]}")
        return self.leaders()[0]
