"""Which configuration was taken under each version: digests of a bounded number of changes.  Pure.

A change is known by its version and the digest of its text.  The history is kept with the state, on the
disks of the primary and of the backup, so that a change that is sent again is known after any takeover.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

MAX_CHANGES = 4096  # versions that are remembered; the lowest are forgotten first
DIGEST_BYTES = 16


class Identity(Enum):
    """What a version and a text are to the changes taken so far."""

    NEW = "new"  # above every version that was taken
    TAKEN = "taken"  # this very change was taken
    CONFLICT = "conflict"  # the version was taken with another text
    SUPERSEDED = "superseded"  # a higher version holds, and this one is not known to have been taken


def digest_of(text: str) -> str:
    """The digest by which a configuration's text is known, in hexadecimal."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True)
class ChangeHistory:
    """Digests by version, in rising order of versions."""

    digests: dict[int, str] = field(default_factory=dict)

    @staticmethod
    def of(changes: Iterable[tuple[int, str]]) -> ChangeHistory:
        return ChangeHistory(dict(sorted((int(version), str(digest)) for version, digest in changes)))

    def newest(self) -> int:
        """The highest version that was taken; -1 where there is none."""
        return next(reversed(self.digests), -1)

    def identify(self, version: int, digest: str) -> Identity:
        known = self.digests.get(version)
        if known is not None:
            return Identity.TAKEN if known == digest else Identity.CONFLICT
        return Identity.NEW if version > self.newest() else Identity.SUPERSEDED

    def take(self, version: int, digest: str) -> None:
        """Remember a change above all that were taken; the lowest is forgotten where there is no room."""
        self.digests[version] = digest
        while len(self.digests) > MAX_CHANGES:
            del self.digests[next(iter(self.digests))]

    def changes(self) -> tuple[tuple[int, str], ...]:
        return tuple(self.digests.items())
