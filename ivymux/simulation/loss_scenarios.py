"""Scenarios of planned departures, second losses and slow disks over simulated core machines.

Each scenario takes a seed, runs to its end and raises GuaranteeViolation if the core breaks a guarantee.
"""

from __future__ import annotations

from collections.abc import Callable

from ivymux.config_store.history import ChangeOutcome
from ivymux.config_store.records import address_of
from ivymux.config_store.replica import Replica
from ivymux.simulation.core_cluster import USUAL_COMMIT_S, CoreCluster, GuaranteeViolation
from ivymux.simulation.fault_schedules import ActionCallers, ReplicaFactory

PRIMARY, BACKUP, WITNESS = "primary", "backup", "witness"
ROLES = (PRIMARY, BACKUP, WITNESS)
SUCCESSOR_HEAD_START_S = 5.0  # between the start of a successor and its predecessor's exit
CATCH_UP_S = 4.0  # after which operators count a restarted machine as recovered
DOWNTIME_S = 0.6  # of machines without power
OBSERVATION_S = 10.0  # for which the core is observed once all machines are up
SLOW_COMMIT_S = 0.3
HANGING_COMMIT_S = 30.0  # duration of a commit on a hanging disk
MAX_CHANGE_WAIT_S = 3.0  # for a change while one disk hangs
MIN_LED_SHARE = 0.95  # of the observation, with a primary
RECOVERY_TIMEOUT_S = 15.0  # within which operators expect service after a loss


def start_cluster(
    seed: int, count: int, spares: int = 0, make_replica: ReplicaFactory = Replica, backup_count: int = 1
) -> CoreCluster:
    """Create a core with `start_members`; `spares` machines stay down."""
    cluster = CoreCluster(seed, count + spares, make_replica)
    cluster.backup_count = backup_count
    start_members(cluster, count)
    return cluster


def start_members(cluster: CoreCluster, count: int) -> None:
    """Start a core of `count` members and have one change acknowledged.

    Raises GuaranteeViolation if they form no core.
    """
    for number in range(count):
        cluster.start_at(cluster.random.uniform(0, 0.3), f"m{number}")
    cluster.run_for(1.0)
    if not cluster.run_until(lambda: len(cluster.member_addresses()) == count, 10.0):
        raise GuaranteeViolation(f"{count} machines form no core: {cluster.log[-4:]}")
    put_until_acknowledged(cluster, 1)


def put_until_acknowledged(cluster: CoreCluster, version: int, timeout_s: float = 10.0) -> float:
    """Send a change to all machines until it is acknowledged; returns the seconds that took.

    Raises GuaranteeViolation after `timeout_s` seconds.
    """
    began = cluster.now
    while cluster.highest_acknowledged < version:
        if cluster.now - began > timeout_s:
            raise GuaranteeViolation(
                f"version {version} is not stored within {timeout_s} s: {cluster.log[-6:]}"
            )
        for machine in cluster.machines:
            cluster.put(machine, version, f"v{version}")
        cluster.run_for(0.02)
    return cluster.now - began


def machine_with_role(cluster: CoreCluster, role: str, number: int = 0) -> str:
    """Return the address of the machine with a role; `number` selects one of several witnesses."""
    primary = cluster.machines[cluster.primaries()[0]].replica
    assert primary is not None and primary.led_epoch is not None
    record = primary.led_epoch
    if role == PRIMARY:
        return address_of(record.primary)
    if role == BACKUP:
        return address_of(record.backups()[number % len(record.backups())])
    witnesses = sorted(address_of(m) for m in set(record.members) - set(record.copies()))
    return witnesses[number % len(witnesses)]


def departure(
    seed: int, count: int, role: str, victim: str, delay: float, make_replica: ReplicaFactory = Replica
) -> CoreCluster:
    """Let a machine with a successor leave for good, then the machine with the role `victim` lose its disk.

    `delay` is the time from the exit to the loss, in seconds.  Raises GuaranteeViolation.
    """
    cluster = start_cluster(seed, count, 1, make_replica)
    cluster.start(f"m{count}")
    cluster.run_for(SUCCESSOR_HEAD_START_S)
    put_until_acknowledged(cluster, 2)
    leaving = machine_with_role(cluster, role)
    lost = machine_with_role(cluster, victim, seed)
    cluster.leave(leaving, for_good=True)
    if not cluster.run_until(lambda: cluster.machines[leaving].replica is None, 20.0):
        raise GuaranteeViolation(f"{leaving} does not exit")
    cluster.run_for(delay)
    if lost == leaving:
        lost = next(iter(sorted(set(cluster.machines) - {leaving})))
    cluster.wipe(lost)
    cluster.run_for(DOWNTIME_S)
    cluster.start(lost)
    cluster.heal(RECOVERY_TIMEOUT_S)
    cluster.read_all()
    return cluster


def slow_repair(
    seed: int, count: int, commit_s: float, delay: float = CATCH_UP_S, make_replica: ReplicaFactory = Replica
) -> CoreCluster:
    """Let a machine return with an empty slow disk, then another lose its disk and the rest lose power.

    `commit_s` is the mean duration of a commit on the slow disk.  Raises GuaranteeViolation if there is no
    primary in time, or for too small a share of the observation.
    """
    cluster = start_cluster(seed, count, 0, make_replica)
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
    cluster.run_for(DOWNTIME_S)
    for machine in machines:
        cluster.start(machine)
    cluster.heal(RECOVERY_TIMEOUT_S + 8 * commit_s)
    led_steps = 0
    steps = round(OBSERVATION_S / 0.05)
    for _ in range(steps):
        cluster.run_for(0.05)
        led_steps += bool(cluster.primaries())
    if led_steps < MIN_LED_SHARE * steps:
        raise GuaranteeViolation(
            f"there was a primary for {led_steps / steps:.2f} of {OBSERVATION_S:g} s: {cluster.log[-12:]}"
        )
    return cluster


def count_epochs(cluster: CoreCluster) -> int:
    """Return how many epochs have come into force."""
    return sum("is in force" in line for line in cluster.log)


def run_until_exactly(cluster: CoreCluster, condition: Callable[[], bool], timeout_s: float = 1.0) -> None:
    """Run until the condition is true, within 2 ms, or until the time is over."""
    deadline = cluster.now + timeout_s
    while not condition() and cluster.now < deadline:
        cluster.run_for(0.002)


def lost_disks(seed: int, count: int, losses: int, make_replica: ReplicaFactory = Replica) -> CoreCluster:
    """Let `losses` machines lose their disks soon after a change, in some runs while all others lose power.

    The core keeps one copy more than that.  In half of the runs the members or the backups are changing
    meanwhile, and in half a disk is slow.  Raises GuaranteeViolation.
    """
    cluster = start_cluster(seed, count, 1, make_replica, losses)
    rng = cluster.random
    cluster.run_for(rng.uniform(0.0, 1.0))
    if rng.random() < 0.5:
        cluster.machines[rng.choice(list(cluster.machines))].disk.commit_s = SLOW_COMMIT_S
    change = rng.choice(("none", "none", "join", "leave"))
    if change == "join":
        cluster.start(f"m{count}")
        cluster.run_for(rng.uniform(0.0, 1.0))
    elif change == "leave":  # another machine becomes a backup, maybe the one with the slow disk
        cluster.leave(machine_with_role(cluster, BACKUP, seed))
        cluster.run_for(rng.uniform(0.0, 0.5))
    callers = ActionCallers(cluster, rng)
    for _ in range(rng.choice((0, rng.randint(1, 20)))):
        callers.step()
        cluster.run_for(rng.uniform(0.0, 0.05))
    moment = rng.choice(("change", "change", "epoch", "claim", "any"))
    if moment == "change":
        put_until_acknowledged(cluster, 2)
    elif moment == "epoch":
        epochs = count_epochs(cluster)
        run_until_exactly(cluster, lambda: count_epochs(cluster) > epochs)
    elif moment == "claim":
        callers.step()
        kept = len(callers.kept_answers)
        run_until_exactly(cluster, lambda: len(callers.kept_answers) > kept)
    machines = [ip for ip, machine in cluster.machines.items() if machine.replica is not None]
    if not cluster.run_until_led(RECOVERY_TIMEOUT_S):
        raise GuaranteeViolation(f"no primary before any disk is lost: {cluster.log[-6:]}")
    holders = [machine_with_role(cluster, PRIMARY)]
    holders += [machine_with_role(cluster, BACKUP, number) for number in range(losses)]
    victims = rng.sample(holders if rng.random() < 0.7 else machines, losses)
    all_lose_power = rng.random() < 0.4
    for victim in victims:
        cluster.wipe(victim)
        if not all_lose_power:
            cluster.run_for(rng.choice((0.0, rng.uniform(0.0, 0.1), rng.uniform(0.0, 1.5))))
    if all_lose_power:
        for machine in machines:
            cluster.kill(machine)
    cluster.run_for(rng.uniform(DOWNTIME_S, 2 * DOWNTIME_S))
    for machine in machines:
        cluster.machines[machine].disk.commit_s = USUAL_COMMIT_S
    cluster.heal(RECOVERY_TIMEOUT_S)
    cluster.read_all()
    put_until_acknowledged(cluster, 3, RECOVERY_TIMEOUT_S)
    callers.verify_kept_answers()
    return cluster


def two_operators(seed: int, count: int, delay: float, make_replica: ReplicaFactory = Replica) -> CoreCluster:
    """Send two texts under one version at once, and kill the primary `delay` seconds later.

    Both texts are sent again to any machine until each has a definite answer, and once more after a hundred
    changes and a lost disk.  CoreCluster checks that the version has one text.  Raises GuaranteeViolation.
    """
    cluster = start_cluster(seed, count, 0, make_replica)
    texts = ("seven by a", "seven by b")
    primary = cluster.primaries()[0]
    for text in texts:
        cluster.put(primary, 7, text)
    cluster.run_for(delay)
    cluster.kill(primary)
    cluster.run_for(cluster.random.uniform(0.0, 1.5))
    cluster.start(primary)
    send_until_clear(cluster, 7, texts)
    for version in range(8, 108):
        put_until_acknowledged(cluster, version)
    cluster.wipe(machine_with_role(cluster, cluster.random.choice(ROLES)))
    cluster.run_for(DOWNTIME_S)
    cluster.heal(RECOVERY_TIMEOUT_S)
    send_until_clear(cluster, 7, texts)
    cluster.read_all()
    return cluster


def send_until_clear(
    cluster: CoreCluster, version: int, texts: tuple[str, ...], timeout_s: float = 15.0
) -> None:
    """Send texts until one is answered as stored and the others as conflicts.  Raises GuaranteeViolation."""
    deadline = cluster.now + timeout_s
    outcome_by_text: dict[str, ChangeOutcome] = {}
    check_outcome = cluster.on_change_outcome

    def record_outcome(answered_version: int, text: str, outcome: ChangeOutcome, known: str = "") -> None:
        check_outcome(answered_version, text, outcome, known)
        if answered_version == version:
            outcome_by_text[text] = outcome

    cluster.on_change_outcome = record_outcome  # type: ignore[method-assign, assignment]
    while set(outcome_by_text) != set(texts):
        if cluster.now > deadline:
            raise GuaranteeViolation(
                f"no definite answer to version {version} within {timeout_s} s: {outcome_by_text}"
            )
        for text in texts:
            cluster.put(cluster.random.choice(list(cluster.machines)), version, text)
        cluster.run_for(0.02)
    cluster.on_change_outcome = check_outcome  # type: ignore[method-assign]
    outcomes = sorted(outcome.value for outcome in outcome_by_text.values())
    if outcomes != sorted([ChangeOutcome.STORED.value, *[ChangeOutcome.CONFLICT.value] * (len(texts) - 1)]):
        raise GuaranteeViolation(f"version {version} with {len(texts)} texts: {outcomes}")


def planned_exit(
    seed: int, count: int, role: str, make_replica: ReplicaFactory = Replica
) -> tuple[float, float]:
    """Ask a machine to exit; returns the seconds until its process ends and the longest wait of a change.

    Raises GuaranteeViolation.
    """
    cluster = start_cluster(seed, count, 0, make_replica)
    leaving = machine_with_role(cluster, role)
    cluster.leave(leaving)
    began, exited_after, longest_wait, version = cluster.now, 0.0, 0.0, 2
    while cluster.now < began + 2.0:
        longest_wait = max(longest_wait, put_until_acknowledged(cluster, version))
        version += 1
        if not exited_after and cluster.machines[leaving].replica is None:
            exited_after = cluster.now - began
    if not exited_after:
        raise GuaranteeViolation(f"a {role} that was asked to exit still runs after 2 s")
    return exited_after, longest_wait


def hanging_backup(
    seed: int, count: int, delay: float, victim: str = PRIMARY, make_replica: ReplicaFactory = Replica
) -> tuple[CoreCluster, float]:
    """Let the backup's disk hang while its process runs; later the machine with role `victim` loses its disk.

    `delay` is the time from the change that waits for the backup to the restart of the backup, in seconds.
    Returns the cluster and the seconds that the change waited.  Raises GuaranteeViolation.
    """
    cluster = start_cluster(seed, count, 0, make_replica)
    stuck = machine_with_role(cluster, BACKUP)
    cluster.run_for(cluster.random.uniform(0.0, 1.0))
    cluster.machines[stuck].disk.commit_s = HANGING_COMMIT_S
    waited = put_until_acknowledged(cluster, 2)
    if waited > MAX_CHANGE_WAIT_S:
        raise GuaranteeViolation(f"a change waited {waited:.1f} s for a backup whose disk hangs")
    if machine_with_role(cluster, BACKUP) == stuck:
        raise GuaranteeViolation(f"{stuck} is still the backup")
    cluster.run_for(delay)
    lost = machine_with_role(cluster, victim, seed)
    # Restore the disk's usual speed before the loss: the core tolerates only one lost disk at a time.
    cluster.machines[stuck].disk.commit_s = cluster.machines[lost].disk.commit_s
    cluster.kill(stuck)
    cluster.start(stuck)
    cluster.run_for(CATCH_UP_S)
    cluster.wipe(lost)
    cluster.run_for(DOWNTIME_S)
    cluster.start(lost)
    cluster.heal(RECOVERY_TIMEOUT_S)
    cluster.read_all()
    return cluster, waited


def hanging_disks(seed: int, count: int, make_replica: ReplicaFactory = Replica) -> int:
    """Let all disks but the primary's hang for a while; return the number of epochs tried meanwhile.

    Raises GuaranteeViolation.
    """
    cluster = start_cluster(seed, count, 0, make_replica)
    primary = machine_with_role(cluster, PRIMARY)
    others = [machine for machine in cluster.machines if machine != primary]
    for machine in others:
        cluster.machines[machine].disk.commit_s = HANGING_COMMIT_S
    first_line = len(cluster.log)
    cluster.put(primary, 2, "v2")
    cluster.run_for(HANGING_COMMIT_S)
    tried_epochs = sum("tries epoch" in line for line in cluster.log[first_line:])
    for machine in others:
        cluster.machines[machine].disk.commit_s = USUAL_COMMIT_S
    cluster.run_for(HANGING_COMMIT_S)
    put_until_acknowledged(cluster, 3, RECOVERY_TIMEOUT_S)
    cluster.read_all()
    return tried_epochs
