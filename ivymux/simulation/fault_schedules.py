"""Schedules of faults over simulated core machines: random ones, and every pair of faults at every step.

Each is played from its own numbers alone, so a find is a line that plays again.  `Broken` says which promise
was not kept: an acknowledged configuration is never gone, never old when read, never two of one number.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from ivymux.config_store import messages
from ivymux.config_store.actions import Persist
from ivymux.config_store.calls import ClaimAction, EndAction
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.records import DurableState
from ivymux.config_store.replica import Replica
from ivymux.idempotency.record_store import ANSWERED, DONE, FREE, LOST, PROCEED
from ivymux.simulation.core_cluster import (
    EXIT_GRACE_S,
    Answer,
    CoreCluster,
    Disk,
    GuaranteeViolation,
    Machine,
)

Make = Callable[[DurableState, float], Replica]
KINDS = ("kill", "wipe", "cut", "one", "link", "loss", "slow", "stuck", "all", "calm", "aimed")
BACK = 4.5  # seconds after which a machine counts as back


def play(seed: int, make: Make = Replica) -> CoreCluster:
    """One random schedule: changes at any machine, and one machine in trouble at a time, or all at once.

    Raises Broken.
    """
    chance = random.Random(seed)
    cluster = CoreCluster(seed, chance.choice((3, 3, 4)), make)
    for ip in cluster.machines:
        cluster.start_at(chance.uniform(0, 0.4), ip)
    cluster.run_for(2.0)
    version = 0
    callers = Callers(cluster, chance)
    for _ in range(chance.randint(2, 6)):
        strike(cluster, chance)
        for _ in range(chance.randint(4, 40)):
            cluster.run_for(chance.uniform(0.01, 0.2))
            callers.step()
            if chance.random() < 0.4:
                version += chance.randint(1, 3)
            for ip in chance.sample(list(cluster.machines), 2):
                cluster.put(ip, version, f"{version} by {ip}")
            cluster.read_all()
        for machine in cluster.machines.values():
            machine.disk.commit_s = 0.008
        cluster.heal()
        cluster.run_for(BACK)
        cluster.read_all()
    callers.look()
    return cluster


KEYS = 6
NEVER_ENDED = 0.1  # part of the actions whose door dies with them
GIVEN_UP = 0.15  # part of the claims that their door gives up before it hears of them


class Callers:
    """Doors that claim actions by keys, and end them; who sees that none may run twice."""

    def __init__(self, cluster: CoreCluster, chance: random.Random) -> None:
        self.cluster, self.chance = cluster, chance
        self.numbers = itertools.count(1)
        self.live: dict[str, str] = {}  # the claim that may run, by key
        self.done: dict[str, str] = {}  # answers that are acknowledged as kept
        self.runs = 0
        self.owed: dict[str, EndAction] = {}  # ends that are not acknowledged yet, by claim
        self.over: set[str] = set()  # claims that their doors have ended: nothing is sent for them any more

    def asked(self, key: str) -> tuple[str, ClaimAction]:
        claim = f"door/{next(self.numbers)}"
        return claim, ClaimAction(key, "tenant", claim, "place", "body", 2.0)

    def step(self) -> None:
        """A claim, some at several machines or given up at once, and ends that are sent again."""
        machines = list(self.cluster.machines)
        for claim, message in list(self.owed.items()):
            self.cluster.call(self.chance.choice(machines), message, partial(self.ended, claim, message))
        key = f"{self.chance.randrange(KEYS):032x}"
        claim, asked = self.asked(key)
        for ip in self.chance.sample(machines, self.chance.choice((1, 2, len(machines)))):
            self.cluster.call(ip, asked, partial(self.told, key, claim))
        if self.chance.random() < GIVEN_UP:
            self.end(key, claim, FREE)

    def told(self, key: str, claim: str, answer: Answer) -> None:
        if answer["verdict"] == ANSWERED and key in self.done and answer["answer"] != self.done[key]:
            raise GuaranteeViolation(
                f"key {key[-2:]} was answered with {self.done[key]}, then with {answer['answer']}"
            )
        if answer["verdict"] != PROCEED or claim in self.over or self.live.get(key) == claim:
            return
        if key in self.live:
            raise GuaranteeViolation(f"key {key[-2:]} may run for {self.live[key]} and for {claim}")
        self.live[key] = claim
        self.runs += 1
        if self.chance.random() >= NEVER_ENDED:
            state = self.chance.choice((DONE, DONE, FREE, LOST))
            self.cluster.schedule(self.chance.uniform(0.0, 1.0), lambda: self.end(key, claim, state))

    def end(self, key: str, claim: str, state: str) -> None:
        if claim in self.over:
            return
        if state == FREE and self.live.get(key) == claim:
            del self.live[key]  # it has not run, and will not
        self.over.add(claim)
        self.owed[claim] = EndAction(key, claim, state, f"answer to {claim}")

    def ended(self, claim: str, message: EndAction, answer: Answer) -> None:
        self.owed.pop(claim, None)
        if message.state == DONE and self.live.get(message.key) == claim:
            self.done[message.key] = message.answer

    def look(self, most: float = 5.0) -> None:
        """What was kept is still there; a machine says so within `most` seconds.  Raises Broken."""
        for key, answer in list(self.done.items()):
            _, asked = self.asked(key)
            seen: list[Answer] = []
            for _ in range(round(most / 0.05)):
                for ip in self.cluster.machines:
                    self.cluster.call(ip, asked, seen.append)
                if seen:
                    break
                self.cluster.run_for(0.05)
            if not seen or seen[-1]["verdict"] != ANSWERED or seen[-1]["answer"] != answer:
                raise GuaranteeViolation(f"key {key[-2:]} was answered with {answer}, and now {seen[-1:]}")


def strike(cluster: CoreCluster, chance: random.Random) -> None:
    """One trouble, drawn."""
    victim = chance.choice([*cluster.machines, *cluster.primaries()])
    kind = chance.choice(KINDS)
    if kind == "kill":
        cluster.kill(victim)
    elif kind == "wipe":
        cluster.wipe(victim)
    elif kind in ("cut", "one"):
        cluster.isolate(victim, inward=kind == "cut")
    elif kind == "link":  # one machine hears another no more, all else goes on
        other = chance.choice([ip for ip in cluster.machines if ip != victim])
        cluster.cut_links |= (
            {(victim, other), (other, victim)} if chance.random() < 0.5 else {(victim, other)}
        )
    elif kind == "loss":
        cluster.loss_rate = 0.2
    elif kind == "slow":
        cluster.machines[victim].disk.commit_s = chance.choice((0.3, 2.0))
    elif kind == "stuck":  # a disk that hangs, and then its process goes too
        cluster.machines[victim].disk.commit_s = chance.choice((0.3, 2.0))
        after = chance.uniform(0.05, 2.5)
        cluster.schedule(after, lambda: cluster.kill(victim))
        cluster.start_at(after + chance.uniform(0.2, 1.0), victim)
    elif kind in ("all", "aimed"):
        for ip in cluster.machines:
            cluster.kill(ip)
        if kind == "aimed":
            cluster.wipe(victim)
        cluster.run_for(chance.uniform(0.05, 1.0))
        for ip in cluster.machines:
            cluster.start(ip)


# --- every pair of faults ---------------------------------------------------------------------------------

QUIET: tuple[type[ReplicaMessage], ...] = (  # messages that are no step
    messages.LeaseRequest,
    messages.LeaseGrant,
    messages.JoinRequest,
    messages.ConfigurationRequest,
    messages.ConfigurationInForce,
    messages.DiskSynced,
    messages.StillWriting,
    messages.EpochKnown,
    messages.DepartureGranted,
    messages.Leaving,
)
MACHINES = ("m0", "m1", "m2")
ALL = "-"
LINKS = tuple(f"{a}>{b}" for a in MACHINES for b in MACHINES if a != b)  # a is not heard by b
BOTH = ("m0=m1", "m0=m2", "m1=m2")  # neither hears the other
FAULTS = {
    "kill": MACHINES, "power": MACHINES, "wipe": MACHINES, "cut": MACHINES, "out": MACHINES, "in": MACHINES,
    "link": LINKS + BOTH, "all": (ALL,), "all power": (ALL,), "leave": MACHINES,
}  # fmt: skip
DOWN = 0.6  # seconds for which a process is away
CUT = 1.6  # and a cut lasts
MAX_STEPS = 60  # after the first change in which faults are placed; a run without any has 10


@dataclass(frozen=True, slots=True)
class Fault:
    """Before a step, counted from the first change, something happens to a machine."""

    step: int
    kind: str
    machine: str

    @staticmethod
    def read(text: str) -> Fault:
        """As it is printed, `step:kind:machine`."""
        step, kind, machine = text.split(":")
        return Fault(int(step), kind, machine)

    def __str__(self) -> str:
        return f"{self.step}:{self.kind}:{self.machine}"


class Stepped(CoreCluster):
    """Three machines that work in steps: a message that is heard, a write that is done.

    Delays are fixed, so the steps before a fault are the same as without it.
    """

    def __init__(self, faults: tuple[Fault, ...], make: Make = Replica) -> None:
        super().__init__(0, 3, make)
        self.faults = faults
        self.step, self.counting = 0, False
        self.lose = False  # whether a write that is cut short is lost
        self.struck: set[Fault] = set()
        for ip in self.machines:
            self.start_at(0.01 * int(ip[1:]), ip)
        self.run_for(1.0)
        self.heal()
        self.run_for(1.0)
        self.counting = True

    def message_delay_s(self) -> float:
        return 0.002

    def commit_factor(self) -> float:
        return 1.0

    def interrupted_write_survives(self) -> bool:
        return not self.lose

    def stepped(self) -> None:
        if not self.counting:
            return
        for fault in self.faults:
            if fault.step == self.step and fault not in self.struck:
                self.struck.add(fault)
                self.strike(fault)
        self.step += 1

    def strike(self, fault: Fault) -> None:
        all_of = list(self.machines) if fault.kind.startswith("all") else [fault.machine]
        if fault.kind == "link":
            one, other = fault.machine[:2], fault.machine[3:]
            self.cut_links |= {(one, other), (other, one)} if "=" in fault.machine else {(one, other)}
            self.schedule(CUT, self.cut_links.clear)
            return
        if fault.kind in ("cut", "out", "in"):
            self.isolate(fault.machine, fault.kind != "in", fault.kind != "out")
            self.schedule(CUT, self.cut_links.clear)
            return
        if fault.kind == "leave":
            self.leave(fault.machine)
            self.start_at(EXIT_GRACE_S + DOWN, fault.machine)
            return
        if fault.kind == "wipe":
            self.wipe(fault.machine)
        else:
            self.lose = fault.kind in ("power", "all power")
            for ip in all_of:
                self.kill(ip)
        for ip in all_of:
            self.start_at(DOWN, ip)

    def deliver(self, source: str, target: str, life: int, message: ReplicaMessage) -> None:
        if not isinstance(message, QUIET):
            self.stepped()
        super().deliver(source, target, life, message)

    def finish_commit(self, machine: Machine, life: int, disk: Disk, things: list[Persist]) -> None:
        self.stepped()
        super().finish_commit(machine, life, disk, things)


def two_changes(faults: tuple[Fault, ...], make: Make = Replica) -> int:
    """Two changes, each repeated at all machines until it is acknowledged, with faults on the way; the number
    of steps that the run had.  Raises Broken.
    """
    cluster = Stepped(faults, make)
    for version in (1, 2):
        until = cluster.now + 25.0
        while cluster.highest_acknowledged < version:
            if cluster.now > until:
                raise GuaranteeViolation(f"version {version} is not taken in 25 s: {cluster.log[-6:]}")
            for ip in cluster.machines:
                cluster.put(ip, version, f"v{version}")
            for _ in range(4):
                cluster.run_for(0.0125)
                cluster.read_all()
    steps = cluster.step
    for _ in range(30):
        cluster.run_for(0.1)
        cluster.read_all()
    cluster.counting = False
    if (found := cluster.read(cluster.heal())) != 2:
        raise GuaranteeViolation(f"version {found} is read in the end")
    return steps


def placed(step: int) -> Iterator[Fault]:
    """The faults that can come before a step."""
    for kind, places in FAULTS.items():
        for machine in places:
            yield Fault(step, kind, machine)


def after(first: Fault, steps: int) -> Iterator[tuple[Fault, Fault]]:
    """Each second fault behind a first one, in a run that has so many steps with the first alone.

    One disk may be lost; a cut of another machine takes the place of an earlier one.
    """
    for step in range(first.step, min(steps, MAX_STEPS)):
        for second in placed(step):
            if first.kind == "wipe":
                may = second.kind != "wipe" and second.machine in (first.machine, ALL)
            else:
                may = second != first and (second.kind != "wipe" or first.machine == ALL)
            if may:
                yield first, second
