"""Scenarios of planned departures, second losses and slow disks over simulated core machines.

Each takes a seed, plays one case to its end and raises `Broken` where a promise was not kept.
"""

from __future__ import annotations

from ivymux.config_store.history import ChangeOutcome
from ivymux.config_store.records import address_of
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import CoreCluster, GuaranteeViolation
from ivymux.simulation.fault_schedules import ReplicaFactory

PRIMARY, BACKUP, WITNESS = "primary", "backup", "witness"
ROLES = (PRIMARY, BACKUP, WITNESS)
SETTLE = 5.0  # seconds for which a successor is up before its predecessor leaves
SYNC_TIME = 4.0  # seconds after which the operators count a machine as back
DOWN = 0.6  # seconds for which machines are without power
WATCHED = 10.0  # seconds for which a core is watched once all machines are up
HANGS = 30.0  # seconds of a commit on a disk that hangs
PATIENT = 3.0  # seconds that a change may wait where one disk hangs
LED_SHARE = 0.95  # of these, with a leader
RECOVERY = 15.0  # seconds within which the operators want service after a loss


def started(seed: int, count: int, spares: int = 0, make_replica: ReplicaFactory = Replica) -> CoreCluster:
    """A core of `count` members with one change acknowledged; `spares` more machines are not up yet."""
    cluster = CoreCluster(seed, count + spares, make_replica)
    for number in range(count):
        cluster.start_at(cluster.random.uniform(0, 0.3), f"m{number}")
    cluster.run_for(1.0)
    if not cluster.run_until(lambda: len(cluster.member_addresses()) == count, 10.0):
        raise GuaranteeViolation(f"{count} machines are no core: {cluster.log[-4:]}")
    change(cluster, 1)
    return cluster


def change(cluster: CoreCluster, version: int, most: float = 10.0) -> float:
    """Have a change taken; seconds until it was acknowledged.  Raises Broken."""
    began = cluster.now
    while cluster.highest_acknowledged < version:
        if cluster.now - began > most:
            raise GuaranteeViolation(f"version {version} is not taken in {most} s: {cluster.log[-6:]}")
        for machine in cluster.machines:
            cluster.put(machine, version, f"v{version}")
        cluster.run_for(0.02)
    return cluster.now - began


def holding(cluster: CoreCluster, role: str, number: int = 0) -> str:
    """The address of a machine that has a role."""
    leader = cluster.machines[cluster.primaries()[0]].replica
    assert leader is not None and leader.led_epoch is not None
    record = leader.led_epoch
    if role == PRIMARY:
        return address_of(record.primary)
    if role == BACKUP:
        return address_of(record.backup)
    witnesses = sorted(
        {address_of(m) for m in record.members} - {address_of(record.primary), address_of(record.backup)}
    )
    return witnesses[number % len(witnesses)]


def departure(
    seed: int, count: int, role: str, victim: str, delay: float, make_replica: ReplicaFactory = Replica
) -> CoreCluster:
    """A machine leaves for good, its successor is up; then another that has a role loses its disk.

    `delay`: seconds from the end of the process that leaves to the loss.
    """
    cluster = started(seed, count, 1, make_replica)
    cluster.start(f"m{count}")
    cluster.run_for(SETTLE)
    change(cluster, 2)
    leaving = holding(cluster, role)
    lost = holding(cluster, victim, seed)
    cluster.leave(leaving, for_good=True)
    if not cluster.run_until(lambda: cluster.machines[leaving].replica is None, 20.0):
        raise GuaranteeViolation(f"{leaving} does not end")
    cluster.run_for(delay)
    if lost == leaving:
        lost = next(iter(sorted(set(cluster.machines) - {leaving})))
    cluster.wipe(lost)
    cluster.run_for(DOWN)
    cluster.start(lost)
    cluster.heal(RECOVERY)
    cluster.read_all()
    return cluster


def slow_repair(
    seed: int, count: int, commit_s: float, delay: float = SYNC_TIME, make_replica: ReplicaFactory = Replica
) -> CoreCluster:
    """A machine returns with an empty slow disk, then another loses its disk and the rest lose power.

    `commit_s`: seconds of a commit on the slow disk, before its own luck.  Raises Broken where nobody leads
    in time, or the core is led for too small a part of what follows.
    """
    cluster = started(seed, count, 0, make_replica)
    machines = list(cluster.machines)
    first = cluster.random.choice(machines)
    cluster.wipe(first)
    cluster.run_for(cluster.random.uniform(0.2, 1.5))
    cluster.machines[first].disk.commit_s = commit_s
    cluster.start(first)
    cluster.run_for(delay)
    second = cluster.random.choice([m for m in machines if m != first])
    for machine in machines:
        if machine == second:
            cluster.wipe(machine)
        else:
            cluster.kill(machine)
    cluster.run_for(DOWN)
    for machine in machines:
        cluster.start(machine)
    cluster.heal(RECOVERY + 8 * commit_s)
    led = 0
    steps = round(WATCHED / 0.05)
    for _ in range(steps):
        cluster.run_for(0.05)
        led += bool(cluster.primaries())
    if led < LED_SHARE * steps:
        raise GuaranteeViolation(f"led for {led / steps:.2f} of {WATCHED:g} s: {cluster.log[-12:]}")
    return cluster


def two_operators(seed: int, count: int, delay: float, make_replica: ReplicaFactory = Replica) -> CoreCluster:
    """Two texts under one number, sent at once to two machines; the leader is lost `delay` seconds later.

    Both are sent again to any machine until each has a clear answer, then again behind a hundred further
    changes and a lost disk.  `Cores` sees to it that one number has one text.
    """
    cluster = started(seed, count, 0, make_replica)
    texts = ("seven by a", "seven by b")
    leader = cluster.primaries()[0]
    for text in texts:
        cluster.put(leader, 7, text)
    cluster.run_for(delay)
    cluster.kill(leader)
    cluster.run_for(cluster.random.uniform(0.0, 1.5))
    cluster.start(leader)
    send_until_clear(cluster, 7, texts)
    for version in range(8, 108):
        change(cluster, version)
    cluster.wipe(holding(cluster, cluster.random.choice(ROLES)))
    cluster.run_for(DOWN)
    cluster.heal(RECOVERY)
    send_until_clear(cluster, 7, texts)
    cluster.read_all()
    return cluster


def send_until_clear(cluster: CoreCluster, version: int, texts: tuple[str, ...], most: float = 15.0) -> None:
    """Until one of the texts is told to be taken, and all others to conflict with it.  Raises Broken."""
    until = cluster.now + most
    told: dict[str, ChangeOutcome] = {}
    checked = cluster.on_change_outcome

    def noted(version_told: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
        checked(version_told, text, outcome, known)
        if version_told == version:
            told[text] = outcome

    cluster.on_change_outcome = noted  # type: ignore[method-assign, assignment]
    while set(told) != set(texts):
        if cluster.now > until:
            raise GuaranteeViolation(f"no clear answer to version {version} in {most} s: {told}")
        for text in texts:
            cluster.put(cluster.random.choice(list(cluster.machines)), version, text)
        cluster.run_for(0.02)
    cluster.on_change_outcome = checked  # type: ignore[method-assign]
    outcomes = sorted(outcome.value for outcome in told.values())
    if outcomes != sorted([ChangeOutcome.STORED.value, *[ChangeOutcome.CONFLICT.value] * (len(texts) - 1)]):
        raise GuaranteeViolation(f"version {version} with {len(texts)} texts: {outcomes}")


def planned_end(
    seed: int, count: int, role: str, make_replica: ReplicaFactory = Replica
) -> tuple[float, float]:
    """Seconds until a process that was told to end has, and the longest that a change meanwhile waits."""
    cluster = started(seed, count, 0, make_replica)
    leaving = holding(cluster, role)
    cluster.leave(leaving)
    began, ended, longest, version = cluster.now, 0.0, 0.0, 2
    while cluster.now < began + 2.0:
        longest = max(longest, change(cluster, version))
        version += 1
        if not ended and cluster.machines[leaving].replica is None:
            ended = cluster.now - began
    if not ended:
        raise GuaranteeViolation(f"a {role} that was told to end is there after 2 s")
    return ended, longest


def hanging_backup(
    seed: int, count: int, delay: float, victim: str = PRIMARY, make_replica: ReplicaFactory = Replica
) -> tuple[CoreCluster, float]:
    """The backup's disk hangs while its process is well; a while later a machine loses its disk.

    `delay`: seconds from the change that waits for the backup until it is started anew, `victim`: the role of
    the machine that is lost once it is back.  Also the seconds that the change waited.  Raises Broken.
    """
    cluster = started(seed, count, 0, make_replica)
    stuck = holding(cluster, BACKUP)
    cluster.run_for(cluster.random.uniform(0.0, 1.0))
    cluster.machines[stuck].disk.commit_s = HANGS
    waited = change(cluster, 2)
    if waited > PATIENT:
        raise GuaranteeViolation(f"a change waited {waited:.1f} s for a backup whose disk hangs")
    if holding(cluster, BACKUP) == stuck:
        raise GuaranteeViolation(f"{stuck} is the backup on")
    cluster.run_for(delay)
    lost = holding(cluster, victim, seed)
    cluster.machines[stuck].disk.commit_s = cluster.machines[
        lost
    ].disk.commit_s  # else two would be lost at once
    cluster.kill(stuck)
    cluster.start(stuck)
    cluster.run_for(SYNC_TIME)
    cluster.wipe(lost)
    cluster.run_for(DOWN)
    cluster.start(lost)
    cluster.heal(RECOVERY)
    cluster.read_all()
    return cluster, waited


def hanging_disks(seed: int, count: int, make_replica: ReplicaFactory = Replica) -> int:
    """All disks but the primary's hang for a while: epochs that were tried meanwhile.  Raises Broken."""
    cluster = started(seed, count, 0, make_replica)
    leader = holding(cluster, PRIMARY)
    others = [machine for machine in cluster.machines if machine != leader]
    for machine in others:
        cluster.machines[machine].disk.commit_s = HANGS
    began = len(cluster.log)
    cluster.put(leader, 2, "v2")
    cluster.run_for(HANGS)
    tried = sum("tries epoch" in line for line in cluster.log[began:])
    for machine in others:
        cluster.machines[machine].disk.commit_s = 0.008
    cluster.run_for(HANGS)
    change(cluster, 3, RECOVERY)
    cluster.read_all()
    return tried
