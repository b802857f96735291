"""A door's part in trials: which requests are caught, and until when.  Pure; times are passed in.

What a door has heard of a trial binds it only while it knows that the core still holds to it.  It asks the
core again and again; each answer says how old it is, and counts from when it was asked for.  `LEASE` seconds
behind that the door lets every trial go, on its steady clock, whatever it has heard or not.  So a trial ends
at each door within the lease of its end, in touch or not; a door that starts anew has none at first.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from ivymux.fault_injection.trial_set import Board, Trial, digest

LEASE = 3.0  # seconds for which a core's word on trials binds a door, from when it was asked for
RENEW = 0.6  # seconds between a door's questions


@dataclass(slots=True)
class Live:
    """One trial at this door, in steady time."""

    trial: Trial
    begin: float
    end: float
    keys: frozenset[bytes] = frozenset()  # of a trial about one key
    asked: int = 0  # requests of its caller, at this door
    caught: int = 0
    since: float = 0.0  # when it first caught or could have; 0: not yet

    def draws(self, name: bytes) -> bool:
        """Whether a request is of the share: by its id, the same at every door."""
        if self.trial.share >= 1:
            return True
        drawn = blake2b(name, digest_size=8, key=self.trial.name.encode()).digest()
        return int.from_bytes(drawn, "big") / 2**64 < self.trial.share


@dataclass(slots=True)
class Catch:
    zone: str  # the door's
    board: Board = field(default_factory=Board)
    live: dict[str, Live] = field(default_factory=dict)
    keys: dict[str, bytes] = field(default_factory=dict)  # the configuration's keys, by their digests
    fresh: float = -math.inf  # steady time up to which the core's word counts
    mine: dict[str, list[Live]] = field(default_factory=dict)  # of this zone, by caller
    under: int = 0  # requests under a trial that went on to the module

    def use(self, board: Board, steady: float, unix: float) -> bool:
        """Take a newer board; whether it is one."""
        if board.version <= self.board.version:
            return False
        self.board = board
        before, self.live = self.live, {}
        for trial in board.running:
            wait = max(0.0, trial.at - unix)
            found = Live(trial, steady + wait, steady + min(wait + trial.lasts, trial.until - unix))
            known = before.get(trial.name)
            if known is not None and known.trial == trial:  # no clock's step makes it longer
                known.end = min(known.end, found.end)
                found = known
            self.live[trial.name] = found
        self.place()
        return True

    def configured(self, keys: Iterable[bytes]) -> None:
        """The keys of the configuration in force."""
        self.keys = {digest(key): key for key in keys}
        self.place()

    def place(self) -> None:
        self.mine = {}
        for live in self.live.values():
            trial = live.trial
            if trial.zone and trial.zone != self.zone:
                continue
            live.keys = frozenset({self.keys[trial.key]} if trial.key in self.keys else ())
            self.mine.setdefault(trial.caller, []).append(live)

    def renew(self, version: int, asked: float, age: float) -> None:
        """The core's answer to a question of steady time `asked`: the board it held `age` seconds before."""
        if version == self.board.version:
            self.fresh = max(self.fresh, asked - max(0.0, age) + LEASE)

    def due(self, steady: float) -> bool:
        """Whether there is anything to ask the core about."""
        return any(steady < live.end for live in self.live.values())

    def in_force(self, name: str, steady: float) -> bool:
        live = self.live.get(name)
        return live is not None and steady < self.fresh and live.begin <= steady < live.end

    def find(
        self, steady: float, tenant: str, key: bytes, route: str, service: str, name: bytes
    ) -> Trial | None:
        """The trial that a request is caught by, if any."""
        lives = self.mine.get(tenant)
        if lives is None or steady >= self.fresh:
            return None
        for live in lives:
            trial = live.trial
            if not live.begin <= steady < live.end:
                continue
            if trial.key and key not in live.keys:
                continue
            if (trial.route and trial.route != route) or (trial.service and trial.service != service):
                continue
            live.asked += 1
            live.since = live.since or steady
            if not live.draws(name):
                return None
            live.caught += 1
            return trial
        return None

    def counts(self, steady: float) -> dict[str, list[float]]:
        """By trial: whether it is in force here, requests of its caller, those caught."""
        return {
            name: [int(self.in_force(name, steady)), live.asked, live.caught, round(steady - live.begin, 2)]
            for name, live in self.live.items()
            if live in self.mine.get(live.trial.caller, ())
        }
