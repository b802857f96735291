"""Checks that a part of a core that is cut elects a primary where its machines suffice for it.

The checks of CoreCluster find two primaries, but not a core that has none although one could be elected.
"""

from __future__ import annotations

from ivymux.config_store.membership import are_majorities, deciding_memberships, newest_record
from ivymux.simulation.core_cluster import CoreCluster, GuaranteeViolation, Machine

MAX_ELECTION_S = 3.0  # from when a part of the core is able to elect a primary until it has one
USABLE_COMMIT_S = 0.1  # mean duration of a commit on the slowest disk that counts

Part = frozenset[str]


class ElectablePartMonitor:
    """Tracks for how long each part of a core has been able to elect a primary without having one."""

    def __init__(self, cluster: CoreCluster) -> None:
        self.cluster = cluster
        self.able_since: dict[Part, float] = {}  # only of parts without a primary

    def observe(self) -> None:
        """Look at all parts; to be called every few hundredths of a second.

        Raises GuaranteeViolation for a part that has had no primary for more than MAX_ELECTION_S.
        """
        now, primaries = self.cluster.now, set(self.cluster.primaries())
        waiting = [part for part in self.parts() if not part & primaries and self.is_electable(part)]
        self.able_since = {part: self.able_since.get(part, now) for part in waiting}
        for part, since in self.able_since.items():
            if now - since > MAX_ELECTION_S:
                log = "\n".join(self.cluster.log[-30:])
                raise GuaranteeViolation(
                    f"{sorted(part)} have had no primary for {now - since:.1f} s though they may elect one:"
                    f"\n{log}"
                )

    def parts(self) -> list[Part]:
        """Return the sets of running machines that all reach one another in both directions.

        Machines that reach one another only by way of others are left out: some of them may follow a primary
        that the others do not reach.
        """
        remaining = {ip for ip, machine in self.cluster.machines.items() if is_running(machine)}
        parts: list[Part] = []
        while remaining:
            part = self.connected_to(min(remaining), remaining)
            remaining -= part
            if all(self.are_linked(one, other) for one in part for other in part if one < other):
                parts.append(frozenset(part))
        return parts

    def connected_to(self, first: str, machines: set[str]) -> set[str]:
        """Return the machines that a machine reaches, also by way of others, or that reach it."""
        connected, added = {first}, {first}
        while added:
            added = {ip for ip in machines - connected if any(self.has_any_link(ip, one) for one in added)}
            connected |= added
        return connected

    def has_any_link(self, one: str, other: str) -> bool:
        """Whether messages pass between two machines in at least one direction."""
        return not {(one, other), (other, one)} <= self.cluster.cut_links

    def are_linked(self, one: str, other: str) -> bool:
        """Whether messages pass between two machines in both directions."""
        return not {(one, other), (other, one)} & self.cluster.cut_links

    def is_electable(self, part: Part) -> bool:
        """Whether a machine of this part holds the newest state, and the others suffice to elect it."""
        machines = [self.cluster.machines[ip] for ip in part]
        replicas = [m.replica for m in machines if m.disk.commit_s <= USABLE_COMMIT_S]
        voters = [r for r in replicas if r is not None and r.is_voter() and r.leaving_since is None]
        records = [r.known_epoch for r in voters if r.known_epoch is not None]
        if not records:
            return False
        newest = newest_record(records)
        votes = {replica.identity for replica in voters}
        holds_state = any(r.identity in newest.copies() and r.has_state_of(newest) for r in voters)
        return holds_state and are_majorities(deciding_memberships(records), votes)


def is_running(machine: Machine) -> bool:
    """Whether a machine's process runs and is not frozen."""
    return machine.replica is not None and machine.deferred is None
