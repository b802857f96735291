"""Which door holds a tenant's counts: rendezvous hashing over a small set of doors.  Pure.

Every door that has the same list names the same holder, with no word between them (Thaler and Ravishankar
1998). Only `MOST` doors hold counts, those that a hash of their own names first: a door is connected to
these and to no other, however many doors there are.
"""

from __future__ import annotations

from hashlib import blake2b

MOST = 6
SETTLED = 1.5  # seconds after a change of the list in which doors may not agree on it yet


def weight(*parts: str) -> int:
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


class Holders:
    def __init__(self, me: str, now: float, first: bool = False) -> None:
        """`first`: the whole system starts for the first time, so that nobody held anything before."""
        self.me, self.first = me, first
        self.doors: tuple[str, ...] = ()
        self.chosen: tuple[str, ...] = ()  # that may hold counts
        self.changed_at = now  # when the choice last changed; at first what was before is not known
        self.named: dict[int, str] = {}

    def set(self, doors: set[str], now: float) -> bool:
        """The doors there are; whether that changed who may hold counts."""
        self.first = self.first and doors >= set(self.doors)
        self.doors = tuple(sorted(doors))
        chosen = tuple(sorted(sorted(doors, key=lambda d: weight("holder", d))[:MOST]))
        if chosen == self.chosen:
            return False
        self.chosen, self.changed_at = chosen, now
        self.named.clear()
        return True

    def holder(self, name: int) -> str | None:
        """The door that holds a name; None while none is known."""
        if not self.chosen:
            return None
        found = self.named.get(name)
        if found is None:
            if len(self.named) > 20_000:
                self.named.clear()
            text = str(name)
            found = self.named[name] = max(self.chosen, key=lambda d: weight(text, d))
        return found

    def trusted(self, since: float, now: float) -> bool:
        """Whether a name whose window began `since` seconds ago was here from its beginning, if anywhere."""
        return self.first or now - self.changed_at > since + SETTLED
