"""Explores every order of messages, commits, ticks and losses in a small core, up to a budget.  Pure.

A step delivers the first message of a link, ends a commit, advances the time by a tick of all replicas, wipes
a machine's disk, restarts a process, or sends a change to a primary.  Each state that was not seen before is
expanded by all of its steps; a state is known by a hash of machines, disks, links and the remaining budget.
Time advances with ticks alone, so that what happens between two ticks happens at one moment, in any order.

Not explored: frozen processes, cuts of single links, and the repair of idempotency records, whose messages
are dropped.
"""

from __future__ import annotations

import hashlib
import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ivymux.config_store import messages
from ivymux.config_store.actions import EVERYONE, Action, Complete, Persist, Send, may_overtake
from ivymux.config_store.calls import PutConfiguration
from ivymux.config_store.changes import NO_VERSION
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.records import DurableState, EpochRecord
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import GuaranteeViolation, with_writes

TICK_S = 0.1  # coarser than a process's own, as each tick multiplies the states
HASH_BYTES = 12
IGNORED_FIELDS = frozenset({"actions", "handlers", "record_replication", "record_replication_class"})
DROPPED_MESSAGES = (
    messages.RecordDigest,
    messages.RecordRangeDigests,
    messages.RecordRepair,
    messages.RecordsExpired,
    messages.SettingsRequest,
    messages.SettingsInForce,
)
ReplicaFactory = Callable[[DurableState, float], Replica]


@dataclass(frozen=True, slots=True)
class Step:
    """One step; `machine` receives, commits, is wiped or restarted, or is sent a change."""

    kind: str  # deliver, commit, tick, wipe, restart, change
    machine: str = ""
    source: str = ""  # of a delivered message

    def __str__(self) -> str:
        return ":".join(filter(None, (self.kind, self.source, self.machine)))


@dataclass(slots=True)
class Budget:
    """How often each costly kind of step may still be taken."""

    tick: int = 0
    wipe: int = 0
    restart: int = 0
    change: int = 0


@dataclass(slots=True)
class Node:
    """A machine: what is on its disk, its process, and the actions that wait for the first write of them."""

    durable: DurableState
    replica: Replica
    waiting: list[Action] = field(default_factory=list)


class OrderWorld:
    """A state of the core; `apply` changes it by one step and checks the guarantees."""

    def __init__(
        self,
        machine_count: int,
        make_replica: ReplicaFactory = Replica,
        backup_count: int = 1,
        budget: Budget | None = None,
    ) -> None:
        """`backup_count`: of each epoch; as many disks may be lost at once."""
        self.now = 0.0
        self.make_replica = make_replica
        self.backup_count = backup_count
        self.budget = budget or Budget()
        self.lost_disks = 0  # since all machines were last members, with all copies
        self.links: dict[tuple[str, str], list[ReplicaMessage]] = {}
        self.versions_sent, self.acknowledged = 0, NO_VERSION
        self.open_changes: dict[tuple[str, int], int] = {}  # versions by machine and call
        self.wipes = 0
        ips = [f"m{number}" for number in range(machine_count)]
        seeds = tuple(f"{ip}/first" for ip in ips[:3])
        self.nodes: dict[str, Node] = {}
        for ip in ips:
            record = EpochRecord(0, "", "", seeds) if f"{ip}/first" in seeds else None
            durable = DurableState(f"{ip}/first", record, 0, "", None)
            self.nodes[ip] = Node(durable, self.create_replica(durable))

    def create_replica(self, durable: DurableState) -> Replica:
        replica = self.make_replica(durable, self.now)
        replica.backup_count = self.backup_count
        return replica

    # --- steps ---------------------------------------------------------------------------------------------

    def steps(self) -> Iterator[Step]:
        """Yield the steps that are possible in this state."""
        for (source, target), queue in self.links.items():
            if queue:
                yield Step("deliver", target, source)
        for ip, node in self.nodes.items():
            if node.waiting:
                yield Step("commit", ip)
        if self.budget.tick:
            yield Step("tick")
        for ip, node in self.nodes.items():
            if self.budget.wipe and self.lost_disks < self.backup_count:
                yield Step("wipe", ip)
            if self.budget.restart:
                yield Step("restart", ip)
            if self.budget.change and node.replica.may_serve(self.now):
                yield Step("change", ip)

    def apply(self, step: Step) -> None:
        """Take a step.  Raises GuaranteeViolation."""
        match step.kind:
            case "deliver":
                message = self.links[step.source, step.machine].pop(0)
                self.handle(step.machine, step.source, message)
            case "commit":
                self.commit(step.machine)
            case "tick":
                self.budget.tick -= 1
                self.tick()
            case "wipe":
                self.budget.wipe -= 1
                self.wipes += 1
                self.lost_disks += 1
                self.start(step.machine, DurableState(f"{step.machine}/w{self.wipes}", None, 0, "", None))
            case "restart":
                self.budget.restart -= 1
                self.start(step.machine, self.nodes[step.machine].durable)
            case "change":
                self.budget.change -= 1
                self.change(step.machine)
        self.check()
        if self.lost_disks and is_whole(self):
            self.lost_disks = 0

    def tick(self) -> None:
        """Advance the time, and call each replica's timer."""
        self.now = round(self.now + TICK_S, 6)
        for ip, node in self.nodes.items():
            self.execute_all(ip, node.replica.tick(self.now))

    def start(self, ip: str, durable: DurableState) -> None:
        """End a process, whose messages on their way and waiting writes are lost, and start the next one."""
        self.nodes[ip] = Node(durable, self.create_replica(durable))
        for link in self.links:
            if ip in link:
                self.links[link] = []
        self.open_changes = {call: version for call, version in self.open_changes.items() if call[0] != ip}

    def handle(self, ip: str, source: str, message: ReplicaMessage) -> None:
        self.execute_all(ip, self.nodes[ip].replica.handle(self.now, source, message))

    def commit(self, ip: str) -> None:
        """End the commit of the first write that waits, and take the actions behind it up to the next one."""
        node = self.nodes[ip]
        write = node.waiting.pop(0)
        assert isinstance(write, Persist)
        node.durable = with_writes(node.durable, [write])
        while node.waiting and not isinstance(node.waiting[0], Persist):
            self.execute(ip, node.waiting.pop(0))

    def change(self, ip: str) -> None:
        """Send a change to a machine that serves as the primary."""
        self.versions_sent += 1
        version = self.versions_sent
        call = PutConfiguration(version, f"text {version}")
        reply = self.nodes[ip].replica.handle_call(self.now, version, call)
        if reply is None:
            return
        if reply.wait:
            self.open_changes[ip, version] = version
        self.execute_all(ip, reply.actions)

    # --- actions -------------------------------------------------------------------------------------------

    def execute_all(self, ip: str, actions: list[Action]) -> None:
        """Take a replica's actions; they wait for earlier writes unless they may overtake these."""
        node = self.nodes[ip]
        for action in list(actions):
            is_blocked = node.waiting or isinstance(action, Persist)
            writes = [waiting for waiting in node.waiting if isinstance(waiting, Persist)]
            if is_blocked and not may_overtake(action, writes):
                node.waiting.append(action)
            else:
                self.execute(ip, action)

    def execute(self, ip: str, action: Action) -> None:
        if isinstance(action, Send):
            others = [other for other in self.nodes if other != ip and other not in action.except_for]
            for target in others if action.to == EVERYONE else [action.to]:
                self.send(ip, target, action.message)
        elif isinstance(action, Complete) and (ip, action.call_id) in self.open_changes:
            self.acknowledged = max(self.acknowledged, self.open_changes.pop((ip, action.call_id)))

    def send(self, source: str, target: str, message: ReplicaMessage) -> None:
        """Put a message on its link; a message to the machine itself arrives at once."""
        if target not in self.nodes or isinstance(message, DROPPED_MESSAGES):
            return
        if source == target:
            self.handle(target, source, message)
        else:
            self.links.setdefault((source, target), []).append(message)

    # --- guarantees ----------------------------------------------------------------------------------------

    def primaries(self) -> list[str]:
        """Return the machines that would answer reads as the primary."""
        return [ip for ip, node in self.nodes.items() if node.replica.may_serve(self.now)]

    def check(self) -> None:
        """Check that one machine at most serves, and that it has all that was acknowledged.

        Raises GuaranteeViolation.
        """
        primaries = self.primaries()
        if len(primaries) > 1:
            raise GuaranteeViolation(f"{' and '.join(primaries)} serve at the same time")
        for ip in primaries:
            state = self.nodes[ip].replica.state
            version = state.version if state is not None else NO_VERSION
            if version < self.acknowledged:
                raise GuaranteeViolation(
                    f"{ip} serves version {version} after version {self.acknowledged} was acknowledged"
                )

    def fingerprint(self) -> bytes:
        """Return a hash of all that the further course depends on."""
        parts = (
            self.now, self.acknowledged, self.versions_sent, self.wipes, self.lost_disks,
            canonical(self.budget),
            canonical(self.open_changes),
            tuple((link, canonical(queue)) for link, queue in sorted(self.links.items()) if queue),
            tuple(
                (ip, canonical(node.durable), canonical(node.waiting), canonical(node.replica))
                for ip, node in self.nodes.items()
            ),
        )  # fmt: skip
        return hashlib.blake2b(repr(parts).encode(), digest_size=HASH_BYTES).digest()


def canonical(value: Any) -> Any:
    """Return a value as nested tuples that are equal for equal states."""
    if value is None or isinstance(value, int | float | str | bytes):
        return value
    if isinstance(value, dict):
        return tuple(sorted((repr(canonical(key)), canonical(item)) for key, item in value.items()))
    if isinstance(value, set | frozenset):
        return tuple(sorted(repr(canonical(item)) for item in value))
    if isinstance(value, list | tuple):
        return tuple(canonical(item) for item in value)
    return type(value).__name__, tuple(
        (name, canonical(item)) for name, item in fields_of(value) if name not in IGNORED_FIELDS
    )


def fields_of(value: Any) -> list[tuple[str, Any]]:
    """Return the fields of a message, a dataclass or another object by name."""
    if isinstance(value, msgspec.Struct):
        return [(name, getattr(value, name)) for name in value.__struct_fields__]
    if hasattr(value, "__dict__"):
        return sorted(vars(value).items())
    return [(name, getattr(value, name)) for name in type(value).__slots__]


@dataclass(slots=True)
class Exploration:
    """What an exploration has seen."""

    states: int = 0
    deepest: int = 0  # steps from the start
    is_complete: bool = True  # all states within the budget were expanded
    served_states: int = 0  # states in which a primary serves
    acknowledged: int = NO_VERSION  # highest version that was acknowledged in any state


class OrderViolation(AssertionError):
    """A guarantee was broken; the text holds the steps that lead there."""


def explore_orders(start: OrderWorld, max_states: int, finishes: bool = False) -> Exploration:
    """Expand all states that follow from `start`, `max_states` at most.  Raises OrderViolation.

    `finishes`: from each state the core also goes on in order, without further steps of the budget, until it
    has a primary; so the consequences of each order are seen without exploring all that follows.
    """
    found = Exploration()
    seen = {start.fingerprint()}
    stack: list[tuple[bytes, tuple[Step, ...]]] = [(pickle.dumps(start), ())]
    while stack:
        encoded, path = stack.pop()
        for step in list(pickle.loads(encoded).steps()):
            world: OrderWorld = pickle.loads(encoded)
            try:
                world.apply(step)
                if finishes:
                    finish(world)
            except GuaranteeViolation as violation:
                steps = " ".join(map(str, (*path, step)))
                raise OrderViolation(f"{violation}; after {steps}") from None
            if (mark := world.fingerprint()) in seen:
                continue
            if len(seen) >= max_states:
                found.is_complete = False
                return found
            seen.add(mark)
            found.states = len(seen)
            found.deepest = max(found.deepest, len(path) + 1)
            found.served_states += bool(world.primaries())
            found.acknowledged = max(found.acknowledged, world.acknowledged)
            stack.append((pickle.dumps(world), (*path, step)))
    return found


def finish(world: OrderWorld) -> None:
    """Let a copy of a state go on in order until it has a primary.  Raises GuaranteeViolation."""
    copied: OrderWorld = pickle.loads(pickle.dumps(world))
    copied.budget = Budget()
    settle(copied, lambda later: bool(later.primaries()))


def settle(world: OrderWorld, until: Callable[[OrderWorld], bool], max_ticks: int = 100) -> None:
    """Let the core run in order, without losses, until a condition holds.  Raises GuaranteeViolation."""
    for _ in range(max_ticks):
        world.tick()
        while steps := [step for step in world.steps() if step.kind in ("deliver", "commit")]:
            world.apply(steps[0])
        if until(world):
            return
    raise GuaranteeViolation("the core did not settle")


def is_settled(world: OrderWorld) -> bool:
    """Whether one machine serves as the primary of the epoch that all machines know."""
    primaries = world.primaries()
    if len(primaries) != 1:
        return False
    led = world.nodes[primaries[0]].replica.led_epoch
    known = [
        node.replica.known_epoch for node in world.nodes.values() if node.replica.known_epoch is not None
    ]
    return led is not None and len(known) == len(world.nodes) and all(e.number == led.number for e in known)


def is_whole(world: OrderWorld) -> bool:
    """Whether the core is settled, all machines are members, and the epoch has all of its copies."""
    if not is_settled(world):
        return False
    replica = world.nodes[world.primaries()[0]].replica
    identities = {node.replica.identity for node in world.nodes.values()}
    has_all_members = replica.led_epoch is not None and set(replica.led_epoch.members) == identities
    return has_all_members and replica.is_writable()


def whole_core(
    machine_count: int, make_replica: ReplicaFactory = Replica, backup_count: int = 1
) -> OrderWorld:
    """Return a core whose machines are all members of the epoch in force, which has all of its copies."""
    world = OrderWorld(machine_count, make_replica, backup_count)
    settle(world, is_whole)
    return world


def before_takeover(
    machine_count: int, make_replica: ReplicaFactory = Replica, backup_count: int = 1
) -> OrderWorld:
    """Return a core with an acknowledged change whose primary has lost its disk.

    The next tick is the one in which another machine tries to lead.
    """
    world = whole_core(machine_count, make_replica, backup_count)
    world.budget.change = 1
    world.apply(Step("change", world.primaries()[0]))
    settle(world, lambda world: world.acknowledged > NO_VERSION)
    world.budget.wipe = 1
    world.apply(Step("wipe", world.primaries()[0]))
    before = pickle.dumps(world)

    def has_candidate(world: OrderWorld) -> bool:
        nonlocal before
        if any(node.replica.attempt is not None or node.replica.led_epoch for node in world.nodes.values()):
            return True
        before = pickle.dumps(world)
        return False

    settle(world, has_candidate)
    restored: OrderWorld = pickle.loads(before)
    return restored


def with_budget(world: OrderWorld, budget: Budget) -> OrderWorld:
    """Return the world with another budget."""
    world.budget = budget
    return world
