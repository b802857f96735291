"""Notices that a core machine is cut off from every majority of the core.  Pure."""

from __future__ import annotations

from collections.abc import Collection

from ivymux.config_store.membership import are_majorities
from ivymux.config_store.records import EpochRecord, address_of

ISOLATION_DELAY_S = 0.5  # peers that restart or reconnect are back within it


class IsolationDetector:
    """Tracks for how long a machine has reached too few members to find or to elect a primary."""

    def __init__(self) -> None:
        self.isolated_since: float | None = None  # None while a majority is reached

    def update(self, now: float, epoch: EpochRecord | None, identity: str, reached: Collection[str]) -> None:
        """Note at `now` which peers are reached.

        `epoch`: the newest that this machine knows, None where it knows none; `identity`: of this machine;
        `reached`: the addresses of the peers.
        """
        if epoch is None or self.reaches_majority(epoch, identity, reached):
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = now

    @staticmethod
    def reaches_majority(epoch: EpochRecord, identity: str, reached: Collection[str]) -> bool:
        """Whether this machine and the peers that it reaches could put the next epoch into force."""
        votes = {member for member in epoch.voters() if member == identity or address_of(member) in reached}
        return are_majorities(epoch.memberships(), votes)

    def is_isolated(self, now: float) -> bool:
        """Whether no majority has been reached for ISOLATION_DELAY_S."""
        return self.isolated_since is not None and now - self.isolated_since >= ISOLATION_DELAY_S
