"""Which door holds a tenant's counts: rendezvous hashing over a small set of doors.  Pure.

A name is a tenant's window.  There are `SEATS` seats; a tenant belongs to one of them, and a seat to the door
whose hash with it is the greatest (Thaler and Ravishankar 1998).  So a door is connected to a few others,
however many there are, and one that goes leaves the other seats as they were.

A window is held only by doors that were there when it began: one that joins, or comes back, does not know
what was granted before, while who held it until then does.  With the same list every door names the same
holder, with no word between them.  Times are steady seconds of the door that looks.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from hashlib import blake2b

SEATS = 6
FEW = 3  # with fewer that were there from the beginning all doors may hold a window
SETTLED = 1.5  # seconds after a change of the list in which doors may not agree on it yet
SAME = 1.0  # seconds by which registries may differ on when a door came
KEPT = 30.0  # seconds: no window is longer
TOGETHER = 3.0  # seconds within which all doors start that were lost together
AWAY = 30.0  # seconds for which a part of each quota is kept for a door that went: it may be alive, cut off
MAX_NAMED = 20_000

Seats = tuple[str, ...]
NOBODY: Seats = ("",) * SEATS


def weight(*parts: str) -> int:
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


class Holders:
    def __init__(self, me: str, now: float, first: bool = False) -> None:
        """`first`: the whole system starts for the first time, so that nobody held anything before."""
        self.me, self.first, self.born = me, first, now
        self.oldest = now  # since when the oldest door that was ever told of is there
        self.came: dict[str, float] = {}  # doors, and since when each of them is there
        self.times: list[float] = []  # the same in their order
        self.seats: list[Seats] = [NOBODY]  # who has them among the first n of these
        # When a seat last changed for windows that had begun; at first it is not known what was before.
        self.changed_at = [now] * SEATS
        self.weights: dict[str, tuple[int, ...]] = {}
        self.named: dict[int, str] = {}
        self.gone: dict[str, float] = {}  # doors that went, and when

    def use(self, doors: Mapping[str, float], now: float) -> None:
        """The doors there are, and since when."""
        self.first = self.first and doors.keys() >= self.came.keys()
        came = {d: self.since(d, at) for d, at in doors.items()}
        if came == self.came:
            return
        self.oldest = min(self.oldest, *came.values(), now)
        before = self.times, self.seats
        went = self.came.keys() - came.keys() - {self.me}
        self.gone = {d: at for d, at in self.gone.items() if d not in came and now - at < AWAY}
        self.gone |= dict.fromkeys(went, now)
        self.came = came
        self.place()
        for began in self.edges(before[0], now):
            was, seated = self.seated(*before, began), self.seated(self.times, self.seats, began)
            for seat in range(SEATS):
                if was[seat] != seated[seat]:
                    self.changed_at[seat] = now
        self.named.clear()

    def since(self, door: str, at: float) -> float:
        known = self.came.get(door)
        return known if known is not None and abs(known - at) < SAME else at

    def place(self) -> None:
        """Who has the seats among the doors that had come by each time."""
        self.weights = {d: self.weights.get(d) or self.weigh(d) for d in self.came}
        order = sorted(self.came, key=lambda d: (self.came[d], d))
        self.times, self.seats = [self.came[d] for d in order], [NOBODY]
        held: list[tuple[int, str]] = [(-1, "")] * SEATS
        for door in order:
            for seat, mine in enumerate(self.weights[door]):
                held[seat] = max(held[seat], (mine, door))
            self.seats.append(tuple(d for _, d in held))

    def weigh(self, door: str) -> tuple[int, ...]:
        return tuple(weight(str(seat), door) for seat in range(SEATS))

    @staticmethod
    def seated(times: list[float], seats: list[Seats], began: float) -> Seats:
        """Who has the seats for windows that began at a time."""
        there = bisect_right(times, began - SETTLED)
        return seats[there if there >= FEW else -1]

    def edges(self, before: list[float], now: float) -> list[float]:
        """Beginnings of windows, up to now, of which each stands for all up to the next."""
        found = {at + SETTLED for at in (*before, *self.times)}
        return [now - KEPT, *(at for at in found if now - KEPT < at <= now)]

    def holder(self, name: int, customer: int, began: float) -> str | None:
        """The door that holds a customer's name whose window began at a time; None while none is known."""
        if not self.times:
            return None
        found = self.named.get(name)
        if found is None:
            if len(self.named) > MAX_NAMED:
                self.named.clear()
            found = self.named[name] = self.seated(self.times, self.seats, began)[customer % SEATS]
        return found

    def near(self) -> set[str]:
        """The doors that hold what begins from now on."""
        return set(self.seats[-1])

    def may_hold(self, now: float) -> set[str]:
        """Those, and who may still hold a window that has begun."""
        first = bisect_right(self.times, now - KEPT - SETTLED)
        return {d for seats in self.seats[min(first, len(self.times)) :] for d in seats}

    def missing(self, now: float) -> float:
        """The part of all doors that may be cut off, and let in their shares of each quota by themselves."""
        if not self.gone:
            return 0.0
        away = sum(now - at < AWAY for at in self.gone.values())
        return away / max(1, away + len(self.came))

    def anew(self, now: float) -> bool:
        """Whether all doors started about when this one did: all was granted before that."""
        together = self.oldest > self.born - TOGETHER and not self.gone
        return together and now - self.born < 2 * TOGETHER

    def trusted(self, customer: int, since: float, now: float) -> bool:
        """Whether a window that began `since` seconds ago was held here from its beginning, if anywhere."""
        if self.first:
            return True
        joined = self.came.get(self.me, now)
        # Of one that joins others may hear late, and go on with who held the window's tenant before.
        if joined - self.oldest > TOGETHER and now - since < joined + 2 * SETTLED:
            return False
        return now - self.changed_at[customer % SEATS] > since + SETTLED
