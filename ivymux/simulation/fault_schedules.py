"""Schedules of faults over simulated core machines: random ones, and every pair of faults at every step.

Each run depends only on its seed or its list of faults, which reproduce a failure.  GuaranteeViolation says
which guarantee was broken: no acknowledged configuration is lost, no read is stale, no version has two texts.
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
    USUAL_COMMIT_S,
    Answer,
    CoreCluster,
    Disk,
    GuaranteeViolation,
    Machine,
)

ReplicaFactory = Callable[[DurableState, float], Replica]
# "one" drops messages in one direction only; "calm" is no fault.
RANDOM_FAULT_KINDS = ("kill", "wipe", "cut", "one", "link", "loss", "slow", "stuck", "all", "calm", "aimed")
CALM_S = 4.5  # between faults, long enough for a restarted machine to catch up


def play_random_schedule(seed: int, make_replica: ReplicaFactory = Replica) -> CoreCluster:
    """Play a random schedule: changes at any machine, with faults of one machine at a time or of all at once.

    Raises GuaranteeViolation.
    """
    rng = random.Random(seed)
    cluster = CoreCluster(seed, rng.choice((3, 3, 4)), make_replica)
    for ip in cluster.machines:
        cluster.start_at(rng.uniform(0, 0.4), ip)
    cluster.run_for(2.0)
    version = 0
    callers = ActionCallers(cluster, rng)
    for _ in range(rng.randint(2, 6)):
        inject_random_fault(cluster, rng)
        for _ in range(rng.randint(4, 40)):
            cluster.run_for(rng.uniform(0.01, 0.2))
            callers.step()
            if rng.random() < 0.4:
                version += rng.randint(1, 3)
            for ip in rng.sample(list(cluster.machines), 2):
                cluster.put(ip, version, f"{version} by {ip}")
            cluster.read_all()
        for machine in cluster.machines.values():
            machine.disk.commit_s = USUAL_COMMIT_S
        cluster.heal()
        cluster.run_for(CALM_S)
        cluster.read_all()
    callers.verify_kept_answers()
    return cluster


KEY_COUNT = 6  # idempotency keys that the claims are made for
UNFINISHED_SHARE = 0.1  # of the granted actions: the proxy dies and never ends the claim
ABANDONED_SHARE = 0.15  # of the claims: the proxy gives the claim up before the answer


class ActionCallers:
    """Proxies that claim actions by idempotency key and end them; checks that no action may run twice."""

    def __init__(self, cluster: CoreCluster, rng: random.Random) -> None:
        self.cluster, self.rng = cluster, rng
        self.numbers = itertools.count(1)
        self.granted: dict[str, str] = {}  # the claim whose action may run, by key
        self.kept_answers: dict[str, str] = {}  # acknowledged as stored, by key
        self.runs = 0
        self.open_ends: dict[str, EndAction] = {}  # sent but not acknowledged yet, by claim
        self.ended_claims: set[str] = set()  # no proxy runs an action for these any more

    def new_claim(self, key: str) -> tuple[str, ClaimAction]:
        """Create a claim with a new id; returns the id and the call."""
        claim = f"door/{next(self.numbers)}"
        return claim, ClaimAction(key, "tenant", claim, "place", "body", 2.0)

    def step(self) -> None:
        """Send a claim to one or more machines, give it up at random, and resend unacknowledged ends."""
        machines = list(self.cluster.machines)
        for claim, message in list(self.open_ends.items()):
            self.cluster.call(self.rng.choice(machines), message, partial(self.on_end_answer, claim, message))
        key = f"{self.rng.randrange(KEY_COUNT):032x}"
        claim, request = self.new_claim(key)
        for ip in self.rng.sample(machines, self.rng.choice((1, 2, len(machines)))):
            self.cluster.call(ip, request, partial(self.on_claim_answer, key, claim))
        if self.rng.random() < ABANDONED_SHARE:
            self.end_claim(key, claim, FREE)

    def on_claim_answer(self, key: str, claim: str, answer: Answer) -> None:
        """Check the answer to a claim; a granted action runs for up to a second.

        Raises GuaranteeViolation if the key has two answers or two granted claims.
        """
        if (
            answer["verdict"] == ANSWERED
            and key in self.kept_answers
            and answer["answer"] != self.kept_answers[key]
        ):
            raise GuaranteeViolation(
                f"key {key[-2:]} was answered with {self.kept_answers[key]}, then with {answer['answer']}"
            )
        if answer["verdict"] != PROCEED or claim in self.ended_claims or self.granted.get(key) == claim:
            return
        if key in self.granted:
            raise GuaranteeViolation(f"key {key[-2:]} may run for {self.granted[key]} and for {claim}")
        self.granted[key] = claim
        self.runs += 1
        if self.rng.random() >= UNFINISHED_SHARE:
            state = self.rng.choice((DONE, DONE, FREE, LOST))
            self.cluster.schedule(self.rng.uniform(0.0, 1.0), lambda: self.end_claim(key, claim, state))

    def end_claim(self, key: str, claim: str, state: str) -> None:
        """End a claim once; the end is sent until it is acknowledged."""
        if claim in self.ended_claims:
            return
        if state == FREE and self.granted.get(key) == claim:
            del self.granted[key]  # the action has not run, and will not
        self.ended_claims.add(claim)
        self.open_ends[claim] = EndAction(key, claim, state, f"answer to {claim}")

    def on_end_answer(self, claim: str, message: EndAction, answer: Answer) -> None:
        """Record that the end of a claim was acknowledged, and with it the answer stored."""
        self.open_ends.pop(claim, None)
        if message.state == DONE and self.granted.get(message.key) == claim:
            self.kept_answers[message.key] = message.answer

    def verify_kept_answers(self, timeout_s: float = 5.0) -> None:
        """Check that a machine returns each stored answer within `timeout_s` seconds.

        Raises GuaranteeViolation.
        """
        for key, answer in list(self.kept_answers.items()):
            _, request = self.new_claim(key)
            seen: list[Answer] = []
            for _ in range(round(timeout_s / 0.05)):
                for ip in self.cluster.machines:
                    self.cluster.call(ip, request, seen.append)
                if seen:
                    break
                self.cluster.run_for(0.05)
            if not seen or seen[-1]["verdict"] != ANSWERED or seen[-1]["answer"] != answer:
                raise GuaranteeViolation(f"key {key[-2:]} was answered with {answer}, then with {seen[-1:]}")


def inject_random_fault(cluster: CoreCluster, rng: random.Random) -> None:
    """Draw a fault and a machine, and inject the fault."""
    victim = rng.choice([*cluster.machines, *cluster.primaries()])
    kind = rng.choice(RANDOM_FAULT_KINDS)
    if kind == "kill":
        cluster.kill(victim)
    elif kind == "wipe":
        cluster.wipe(victim)
    elif kind in ("cut", "one"):
        cluster.isolate(victim, inward=kind == "cut")
    elif kind == "link":  # between two machines, in one or both directions
        other = rng.choice([ip for ip in cluster.machines if ip != victim])
        cluster.cut_links |= {(victim, other), (other, victim)} if rng.random() < 0.5 else {(victim, other)}
    elif kind == "loss":
        cluster.loss_rate = 0.2
    elif kind == "slow":
        cluster.machines[victim].disk.commit_s = rng.choice((0.3, 2.0))
    elif kind == "stuck":  # the disk hangs, and later the process restarts
        cluster.machines[victim].disk.commit_s = rng.choice((0.3, 2.0))
        ends_after = rng.uniform(0.05, 2.5)
        cluster.schedule(ends_after, lambda: cluster.kill(victim))
        cluster.start_at(ends_after + rng.uniform(0.2, 1.0), victim)
    elif kind in ("all", "aimed"):
        for ip in cluster.machines:
            cluster.kill(ip)
        if kind == "aimed":
            cluster.wipe(victim)
        cluster.run_for(rng.uniform(0.05, 1.0))
        for ip in cluster.machines:
            cluster.start(ip)


# --- every pair of faults ---------------------------------------------------------------------------------

UNCOUNTED_MESSAGES: tuple[type[ReplicaMessage], ...] = (  # not counted as steps
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
ALL_TARGET = "-"  # the target of a fault of all machines
ONE_WAY_LINKS = tuple(f"{a}>{b}" for a in MACHINES for b in MACHINES if a != b)  # from a to b
TWO_WAY_LINKS = ("m0=m1", "m0=m2", "m1=m2")  # messages in both directions are lost
FAULT_TARGETS = {
    "kill": MACHINES, "power": MACHINES, "wipe": MACHINES, "cut": MACHINES, "out": MACHINES, "in": MACHINES,
    "link": ONE_WAY_LINKS + TWO_WAY_LINKS, "all": (ALL_TARGET,), "all power": (ALL_TARGET,),
    "leave": MACHINES,
}  # fmt: skip
DOWNTIME_S = 0.6  # of a killed process
CUT_S = 1.6  # duration of a network fault
CHANGE_TIMEOUT_S = 25.0
MAX_STEPS = 60  # steps before which faults are injected; a run without faults has 10


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a machine or link before a step, counted from the first change."""

    step: int
    kind: str
    machine: str

    @staticmethod
    def parse(text: str) -> Fault:
        """Parse the printed form, `step:kind:machine`."""
        step, kind, machine = text.split(":")
        return Fault(int(step), kind, machine)

    def __str__(self) -> str:
        return f"{self.step}:{self.kind}:{self.machine}"


class SteppedCluster(CoreCluster):
    """Three machines whose steps are counted: a message delivered, a commit finished.

    Delays are fixed, so the steps before a fault are the same as in a run without that fault.
    """

    def __init__(self, faults: tuple[Fault, ...], make_replica: ReplicaFactory = Replica) -> None:
        super().__init__(0, 3, make_replica)
        self.faults = faults
        self.step, self.is_counting = 0, False
        self.interrupted_writes_are_lost = False
        self.injected: set[Fault] = set()
        for ip in self.machines:
            self.start_at(0.01 * int(ip[1:]), ip)
        self.run_for(1.0)
        self.heal()
        self.run_for(1.0)
        self.is_counting = True

    def message_delay_s(self) -> float:
        return 0.002

    def commit_factor(self) -> float:
        return 1.0

    def interrupted_write_survives(self) -> bool:
        return not self.interrupted_writes_are_lost

    def on_step(self) -> None:
        """Count a step and inject the faults that are due before it."""
        if not self.is_counting:
            return
        for fault in self.faults:
            if fault.step == self.step and fault not in self.injected:
                self.injected.add(fault)
                self.inject(fault)
        self.step += 1

    def inject(self, fault: Fault) -> None:
        """Apply a fault and schedule its end."""
        affected = list(self.machines) if fault.kind.startswith("all") else [fault.machine]
        if fault.kind == "link":
            one, other = fault.machine[:2], fault.machine[3:]
            self.cut_links |= {(one, other), (other, one)} if "=" in fault.machine else {(one, other)}
            self.schedule(CUT_S, self.cut_links.clear)
            return
        if fault.kind in ("cut", "out", "in"):
            self.isolate(fault.machine, fault.kind != "in", fault.kind != "out")
            self.schedule(CUT_S, self.cut_links.clear)
            return
        if fault.kind == "leave":
            self.leave(fault.machine)
            self.start_at(EXIT_GRACE_S + DOWNTIME_S, fault.machine)
            return
        if fault.kind == "wipe":
            self.wipe(fault.machine)
        else:
            self.interrupted_writes_are_lost = fault.kind in ("power", "all power")
            for ip in affected:
                self.kill(ip)
        for ip in affected:
            self.start_at(DOWNTIME_S, ip)

    def deliver(self, source: str, target: str, incarnation: int, message: ReplicaMessage) -> None:
        if not isinstance(message, UNCOUNTED_MESSAGES):
            self.on_step()
        super().deliver(source, target, incarnation, message)

    def finish_commit(self, machine: Machine, incarnation: int, disk: Disk, writes: list[Persist]) -> None:
        self.on_step()
        super().finish_commit(machine, incarnation, disk, writes)


def run_two_changes(faults: tuple[Fault, ...], make_replica: ReplicaFactory = Replica) -> int:
    """Send two changes to all machines until each is acknowledged, while faults are injected.

    Returns the number of steps of the run.  Raises GuaranteeViolation.
    """
    cluster = SteppedCluster(faults, make_replica)
    for version in (1, 2):
        deadline = cluster.now + CHANGE_TIMEOUT_S
        while cluster.highest_acknowledged < version:
            if cluster.now > deadline:
                raise GuaranteeViolation(
                    f"version {version} is not stored within {CHANGE_TIMEOUT_S:g} s: {cluster.log[-6:]}"
                )
            for ip in cluster.machines:
                cluster.put(ip, version, f"v{version}")
            for _ in range(4):
                cluster.run_for(0.0125)
                cluster.read_all()
    steps = cluster.step
    for _ in range(30):
        cluster.run_for(0.1)
        cluster.read_all()
    cluster.is_counting = False
    if (found := cluster.read(cluster.heal())) != 2:
        raise GuaranteeViolation(f"the final read gives version {found}, not 2")
    return steps


def faults_before_step(step: int) -> Iterator[Fault]:
    """Yield each fault that can be injected before a step."""
    for kind, places in FAULT_TARGETS.items():
        for machine in places:
            yield Fault(step, kind, machine)


def pairs_with_second_fault(first: Fault, steps: int) -> Iterator[tuple[Fault, Fault]]:
    """Yield each pair of a first fault and a later one; the run with the first alone has `steps` steps.

    At most one disk is lost, together with faults of the same machine or of all machines only.  The end of a
    network fault also ends any other network fault.
    """
    for step in range(first.step, min(steps, MAX_STEPS)):
        for second in faults_before_step(step):
            if first.kind == "wipe":
                is_tolerable = second.kind != "wipe" and second.machine in (first.machine, ALL_TARGET)
            else:
                is_tolerable = second != first and (second.kind != "wipe" or first.machine == ALL_TARGET)
            if is_tolerable:
                yield first, second
