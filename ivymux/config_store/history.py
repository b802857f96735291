"""History of the configuration: the digest of each stored version, for a bounded number of versions.  Pure.

A change is identified by its version and the digest of its text.  The history is part of the state on the
disks of the primary and of the backup, so that a repeated change is recognised after every failover.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

MAX_CHANGES = 4096  # the lowest versions are dropped first
DIGEST_BYTES = 16


class ChangeOutcome(Enum):
    """How a version and a text relate to the stored changes."""

    NEW = "new"  # above every stored version
    STORED = "taken"  # this change is stored
    CONFLICT = "conflict"  # the version is stored with another text
    SUPERSEDED = "superseded"  # a higher version is stored, and this one is not known


def digest_of(text: str) -> str:
    """Return the digest of a configuration's text, in hexadecimal."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True)
class ChangeHistory:
    """Digests by version, in ascending order of versions."""

    digests: dict[int, str] = field(default_factory=dict)

    @staticmethod
    def from_changes(changes: Iterable[tuple[int, str]]) -> ChangeHistory:
        """Return a history with these versions and digests."""
        return ChangeHistory(dict(sorted((int(version), str(digest)) for version, digest in changes)))

    def newest(self) -> int:
        """Return the highest stored version; -1 where there is none."""
        return next(reversed(self.digests), -1)

    def outcome_of(self, version: int, digest: str) -> ChangeOutcome:
        """Return how a change relates to the stored ones."""
        known = self.digests.get(version)
        if known is not None:
            return ChangeOutcome.STORED if known == digest else ChangeOutcome.CONFLICT
        return ChangeOutcome.NEW if version > self.newest() else ChangeOutcome.SUPERSEDED

    def add(self, version: int, digest: str) -> None:
        """Add a change above all stored ones, and drop the lowest versions beyond MAX_CHANGES."""
        self.digests[version] = digest
        while len(self.digests) > MAX_CHANGES:
            del self.digests[next(iter(self.digests))]

    def changes(self) -> tuple[tuple[int, str], ...]:
        """Return the versions with their digests, in ascending order."""
        return tuple(self.digests.items())
