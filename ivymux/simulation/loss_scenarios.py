"""Scenarios of planned departures, second losses and slow disks over simulated core machines.

Each takes a seed, plays one case to its end and raises `Broken` where a promise was not kept.
"""

from __future__ import annotations

from ivymux.config_store.history import ChangeOutcome
from ivymux.config_store.records import address_of
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import Broken, Cores
from ivymux.simulation.fault_schedules import Make

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


def started(seed: int, count: int, spares: int = 0, make: Make = Replica) -> Cores:
    """A core of `count` members with one change acknowledged; `spares` more machines are not up yet."""
    cores = Cores(seed, count + spares, make)
    for number in range(count):
        cores.start_at(cores.random.uniform(0, 0.3), f"m{number}")
    cores.run(1.0)
    if not cores.until(lambda: len(cores.membership()) == count, 10.0):
        raise Broken(f"{count} machines are no core: {cores.log[-4:]}")
    change(cores, 1)
    return cores


def change(cores: Cores, version: int, most: float = 10.0) -> float:
    """Have a change taken; seconds until it was acknowledged.  Raises Broken."""
    began = cores.now
    while cores.highest < version:
        if cores.now - began > most:
            raise Broken(f"version {version} is not taken in {most} s: {cores.log[-6:]}")
        for machine in cores.machines:
            cores.put(machine, version, f"v{version}")
        cores.run(0.02)
    return cores.now - began


def holding(cores: Cores, role: str, number: int = 0) -> str:
    """The address of a machine that has a role."""
    leader = cores.machines[cores.leaders()[0]].replica
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


def departure(seed: int, count: int, role: str, victim: str, delay: float, make: Make = Replica) -> Cores:
    """A machine leaves for good, its successor is up; then another that has a role loses its disk.

    `delay`: seconds from the end of the process that leaves to the loss.
    """
    cores = started(seed, count, 1, make)
    cores.start(f"m{count}")
    cores.run(SETTLE)
    change(cores, 2)
    leaving = holding(cores, role)
    lost = holding(cores, victim, seed)
    cores.leave(leaving, gone=True)
    if not cores.until(lambda: cores.machines[leaving].replica is None, 20.0):
        raise Broken(f"{leaving} does not end")
    cores.run(delay)
    if lost == leaving:
        lost = next(iter(sorted(set(cores.machines) - {leaving})))
    cores.wipe(lost)
    cores.run(DOWN)
    cores.start(lost)
    cores.settle(RECOVERY)
    cores.read_all()
    return cores


def slow_repair(
    seed: int, count: int, commit_s: float, delay: float = SYNC_TIME, make: Make = Replica
) -> Cores:
    """A machine returns with an empty slow disk, then another loses its disk and the rest lose power.

    `commit_s`: seconds of a commit on the slow disk, before its own luck.  Raises Broken where nobody leads
    in time, or the core is led for too small a part of what follows.
    """
    cores = started(seed, count, 0, make)
    machines = list(cores.machines)
    first = cores.random.choice(machines)
    cores.wipe(first)
    cores.run(cores.random.uniform(0.2, 1.5))
    cores.machines[first].disk.slow = commit_s
    cores.start(first)
    cores.run(delay)
    second = cores.random.choice([m for m in machines if m != first])
    for machine in machines:
        if machine == second:
            cores.wipe(machine)
        else:
            cores.kill(machine)
    cores.run(DOWN)
    for machine in machines:
        cores.start(machine)
    cores.settle(RECOVERY + 8 * commit_s)
    led = 0
    steps = round(WATCHED / 0.05)
    for _ in range(steps):
        cores.run(0.05)
        led += bool(cores.leaders())
    if led < LED_SHARE * steps:
        raise Broken(f"led for {led / steps:.2f} of {WATCHED:g} s: {cores.log[-12:]}")
    return cores


def two_operators(seed: int, count: int, delay: float, make: Make = Replica) -> Cores:
    """Two texts under one number, sent at once to two machines; the leader is lost `delay` seconds later.

    Both are sent again to any machine until each has a clear answer, then again behind a hundred further
    changes and a lost disk.  `Cores` sees to it that one number has one text.
    """
    cores = started(seed, count, 0, make)
    texts = ("seven by a", "seven by b")
    leader = cores.leaders()[0]
    for text in texts:
        cores.put(leader, 7, text)
    cores.run(delay)
    cores.kill(leader)
    cores.run(cores.random.uniform(0.0, 1.5))
    cores.start(leader)
    send_until_clear(cores, 7, texts)
    for version in range(8, 108):
        change(cores, version)
    cores.wipe(holding(cores, cores.random.choice(ROLES)))
    cores.run(DOWN)
    cores.settle(RECOVERY)
    send_until_clear(cores, 7, texts)
    cores.read_all()
    return cores


def send_until_clear(cores: Cores, version: int, texts: tuple[str, ...], most: float = 15.0) -> None:
    """Until one of the texts is told to be taken, and all others to conflict with it.  Raises Broken."""
    until = cores.now + most
    told: dict[str, ChangeOutcome] = {}
    checked = cores.answered

    def noted(version_told: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
        checked(version_told, text, outcome, known)
        if version_told == version:
            told[text] = outcome

    cores.answered = noted  # type: ignore[method-assign, assignment]
    while set(told) != set(texts):
        if cores.now > until:
            raise Broken(f"no clear answer to version {version} in {most} s: {told}")
        for text in texts:
            cores.put(cores.random.choice(list(cores.machines)), version, text)
        cores.run(0.02)
    cores.answered = checked  # type: ignore[method-assign]
    outcomes = sorted(outcome.value for outcome in told.values())
    if outcomes != sorted([ChangeOutcome.STORED.value, *[ChangeOutcome.CONFLICT.value] * (len(texts) - 1)]):
        raise Broken(f"version {version} with {len(texts)} texts: {outcomes}")


def planned_end(seed: int, count: int, role: str, make: Make = Replica) -> tuple[float, float]:
    """Seconds until a process that was told to end has, and the longest that a change meanwhile waits."""
    cores = started(seed, count, 0, make)
    leaving = holding(cores, role)
    cores.leave(leaving)
    began, ended, longest, version = cores.now, 0.0, 0.0, 2
    while cores.now < began + 2.0:
        longest = max(longest, change(cores, version))
        version += 1
        if not ended and cores.machines[leaving].replica is None:
            ended = cores.now - began
    if not ended:
        raise Broken(f"a {role} that was told to end is there after 2 s")
    return ended, longest


def hanging_backup(
    seed: int, count: int, delay: float, victim: str = PRIMARY, make: Make = Replica
) -> tuple[Cores, float]:
    """The backup's disk hangs while its process is well; a while later a machine loses its disk.

    `delay`: seconds from the change that waits for the backup until it is started anew, `victim`: the role of
    the machine that is lost once it is back.  Also the seconds that the change waited.  Raises Broken.
    """
    cores = started(seed, count, 0, make)
    stuck = holding(cores, BACKUP)
    cores.run(cores.random.uniform(0.0, 1.0))
    cores.machines[stuck].disk.slow = HANGS
    waited = change(cores, 2)
    if waited > PATIENT:
        raise Broken(f"a change waited {waited:.1f} s for a backup whose disk hangs")
    if holding(cores, BACKUP) == stuck:
        raise Broken(f"{stuck} is the backup on")
    cores.run(delay)
    lost = holding(cores, victim, seed)
    cores.machines[stuck].disk.slow = cores.machines[lost].disk.slow  # else two would be lost at once
    cores.kill(stuck)
    cores.start(stuck)
    cores.run(SYNC_TIME)
    cores.wipe(lost)
    cores.run(DOWN)
    cores.start(lost)
    cores.settle(RECOVERY)
    cores.read_all()
    return cores, waited


def hanging_disks(seed: int, count: int, make: Make = Replica) -> int:
    """All disks but the primary's hang for a while: epochs that were tried meanwhile.  Raises Broken."""
    cores = started(seed, count, 0, make)
    leader = holding(cores, PRIMARY)
    others = [machine for machine in cores.machines if machine != leader]
    for machine in others:
        cores.machines[machine].disk.slow = HANGS
    began = len(cores.log)
    cores.put(leader, 2, "v2")
    cores.run(HANGS)
    tried = sum("tries epoch" in line for line in cores.log[began:])
    for machine in others:
        cores.machines[machine].disk.slow = 0.008
    cores.run(HANGS)
    change(cores, 3, RECOVERY)
    cores.read_all()
    return tried
