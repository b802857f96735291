"""Which proxy holds a tenant's counts: rendezvous hashing over a small set of proxies.  Pure.

A count's name is one window of one tenant.  There are `SEATS` seats; a tenant belongs to one of them, and a
seat to the proxy with the greatest hash for it (Thaler and Ravishankar 1998).  So a proxy connects to a few
others, however many there are, and a proxy that leaves does not move the seats of the others.

Only proxies that were present when a window began may hold it: a proxy that joins or comes back later does
not know what was granted before, while the previous holder still does.  Proxies with the same list choose the
same holder without exchanging messages.  Times are in steady seconds of the local process.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from hashlib import blake2b

SEATS = 6
MIN_ESTABLISHED_PROXIES = 3  # if fewer were present when a window began, any proxy may hold the window
SETTLE_S = 1.5  # after a change of the list of proxies, during which proxies may not agree on the list
JOIN_TOLERANCE_S = 1.0  # by which registries may differ on when a proxy joined
MAX_WINDOW_S = 30.0  # upper bound of a window's length
COMMON_START_S = 3.0  # within which proxies that were lost together start again
DEPARTED_RESERVE_S = 30.0  # for which parts of quotas are reserved for a proxy that left but may be running
MAX_CACHED_HOLDERS = 20_000

Seats = tuple[str, ...]  # the proxy that has each seat
NO_SEATS: Seats = ("",) * SEATS


def hash_weight(*parts: str) -> int:
    """Return a 64-bit weight for rendezvous hashing, the same at all proxies."""
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


class CounterHolders:
    """The present proxies, and which of them holds a name."""

    def __init__(self, me: str, now: float, first_start: bool = False) -> None:
        """`first_start`: the whole system starts for the first time, so there are no earlier counts."""
        self.me, self.first_start, self.started_at = me, first_start, now
        self.oldest_join = now  # of all proxies that were ever listed
        self.joined_at: dict[str, float] = {}  # by proxy
        self.join_times: list[float] = []  # sorted
        self.seat_tables: list[Seats] = [NO_SEATS]  # at index n: seats among the first n proxies to join
        # When a seat last changed for windows that had begun; the seats before the start are unknown.
        self.seat_changed_at = [now] * SEATS
        self.seat_weights: dict[str, tuple[int, ...]] = {}
        self.holder_by_name: dict[int, str] = {}
        self.left_at: dict[str, float] = {}  # by proxy that left

    def update_proxies(self, joined_at: Mapping[str, float], now: float) -> None:
        """Set the present proxies and when each joined."""
        self.first_start = self.first_start and joined_at.keys() >= self.joined_at.keys()
        updated = {proxy: self.stable_join_time(proxy, at) for proxy, at in joined_at.items()}
        if updated == self.joined_at:
            return
        self.oldest_join = min(self.oldest_join, *updated.values(), now)
        previous = self.join_times, self.seat_tables
        left = self.joined_at.keys() - updated.keys() - {self.me}
        self.left_at = {
            proxy: at
            for proxy, at in self.left_at.items()
            if proxy not in updated and now - at < DEPARTED_RESERVE_S
        }
        self.left_at |= dict.fromkeys(left, now)
        self.joined_at = updated
        self.assign_seats()
        for window_start in self.window_starts(previous[0], now):
            old_seats = self.seats_of_window(*previous, window_start)
            new_seats = self.seats_of_window(self.join_times, self.seat_tables, window_start)
            for seat in range(SEATS):
                if old_seats[seat] != new_seats[seat]:
                    self.seat_changed_at[seat] = now
        self.holder_by_name.clear()

    def stable_join_time(self, proxy: str, at: float) -> float:
        """Return a proxy's known join time unless the reported one differs by more than registries may."""
        known = self.joined_at.get(proxy)
        return known if known is not None and abs(known - at) < JOIN_TOLERANCE_S else at

    def assign_seats(self) -> None:
        """Compute which proxy has each seat after each join."""
        self.seat_weights = {
            proxy: self.seat_weights.get(proxy) or self.weights_of(proxy) for proxy in self.joined_at
        }
        order = sorted(self.joined_at, key=lambda proxy: (self.joined_at[proxy], proxy))
        self.join_times, self.seat_tables = [self.joined_at[proxy] for proxy in order], [NO_SEATS]
        best: list[tuple[int, str]] = [(-1, "")] * SEATS
        for proxy in order:
            for seat, weight in enumerate(self.seat_weights[proxy]):
                best[seat] = max(best[seat], (weight, proxy))
            self.seat_tables.append(tuple(holder for _, holder in best))

    def weights_of(self, proxy: str) -> tuple[int, ...]:
        return tuple(hash_weight(str(seat), proxy) for seat in range(SEATS))

    @staticmethod
    def seats_of_window(join_times: list[float], seat_tables: list[Seats], window_start: float) -> Seats:
        """Return the seats for windows that began at `window_start`."""
        established = bisect_right(join_times, window_start - SETTLE_S)
        return seat_tables[established if established >= MIN_ESTABLISHED_PROXIES else -1]

    def window_starts(self, previous_join_times: list[float], now: float) -> list[float]:
        """Return window starts up to now at which seats may change; each stands for those up to the next."""
        changes = {at + SETTLE_S for at in (*previous_join_times, *self.join_times)}
        return [now - MAX_WINDOW_S, *(at for at in changes if now - MAX_WINDOW_S < at <= now)]

    def find_holder(self, name: int, customer: int, window_start: float) -> str | None:
        """Return the proxy that holds a customer's name; `window_start`: of the name's window.

        None while no proxy is listed.
        """
        if not self.join_times:
            return None
        holder = self.holder_by_name.get(name)
        if holder is None:
            if len(self.holder_by_name) > MAX_CACHED_HOLDERS:
                self.holder_by_name.clear()
            seats = self.seats_of_window(self.join_times, self.seat_tables, window_start)
            holder = self.holder_by_name[name] = seats[customer % SEATS]
        return holder

    def current_holders(self) -> set[str]:
        """Return the proxies that hold windows that begin from now on."""
        return set(self.seat_tables[-1])

    def possible_holders(self, now: float) -> set[str]:
        """Return the current holders, and proxies that may still hold a window that has begun."""
        first = bisect_right(self.join_times, now - MAX_WINDOW_S - SETTLE_S)
        tables = self.seat_tables[min(first, len(self.join_times)) :]
        return {proxy for seats in tables for proxy in seats}

    def missing_share(self, now: float) -> float:
        """Return the share of all proxies that left; they may be partitioned and grant their local shares."""
        if not self.left_at:
            return 0.0
        missing = sum(now - at < DEPARTED_RESERVE_S for at in self.left_at.values())
        return missing / max(1, missing + len(self.joined_at))

    def is_common_start(self, now: float) -> bool:
        """Whether all proxies have just started together, so that all earlier grants precede their starts."""
        started_together = self.oldest_join > self.started_at - COMMON_START_S and not self.left_at
        return started_together and now - self.started_at < 2 * COMMON_START_S

    def has_full_history(self, customer: int, since: float, now: float) -> bool:
        """Whether no other proxy held the customer's window since it began, `since` seconds ago."""
        if self.first_start:
            return True
        joined_at = self.joined_at.get(self.me, now)
        # Others may learn of a new proxy late, and use the previous holder until then.
        if joined_at - self.oldest_join > COMMON_START_S and now - since < joined_at + 2 * SETTLE_S:
            return False
        return now - self.seat_changed_at[customer % SEATS] > since + SETTLE_S
