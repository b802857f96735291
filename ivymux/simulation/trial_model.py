"""A model of trials under faults: a core that holds the board, registries and doors that are cut off, start
anew and hear late; requests at every door all the while.  Pure: one seed, one evening.

What is checked is what callers could see: nobody but the caller of a trial is ever caught, and nobody once
the trial has ended for longer than the lease, whatever a door has heard.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ivymux.fault_injection.request_matcher import LEASE_S, RENEWAL_INTERVAL_S, RequestMatcher
from ivymux.fault_injection.trial_set import (
    CLOSE,
    LOSE,
    REFUSE,
    Trial,
    TrialError,
    TrialSet,
    end_trial,
    expired_trials,
    key_digest,
    start_trial,
)

SECONDS = 30.0
STEP = 0.1  # seconds between requests at a door
REGISTRIES, DOORS = 3, 5
CALLERS = ("kava", "kava-hearts", "kava hearts", "derwent")  # some begin alike
SKEW = 0.5  # seconds that a door's system time may be off
HELD_UP = 6.0  # seconds for which a cut may hold a message up
MAX_FAR = 0.3  # seconds of an ordinary message
READ = 0.4


@dataclass(frozen=True, slots=True)
class Caught:
    at: float
    door: int
    trial: Trial
    tenant: str
    key: bytes
    route: str


@dataclass(slots=True)
class Known:
    """What a registry knows."""

    board: TrialSet = field(default_factory=TrialSet)
    read_at: float = -1e9


@dataclass(frozen=True, slots=True)
class Happening:
    """An operator's act or a trouble, `at:kind:seed`; what it is in detail is drawn by a seed of its own."""

    at: float
    kind: str  # operate, trouble
    seed: int

    @staticmethod
    def read(text: str) -> Happening:
        """As it is printed."""
        at, kind, seed = text.split(":")
        return Happening(float(at), kind, int(seed))

    def __str__(self) -> str:
        return f"{self.at:.2f}:{self.kind}:{self.seed}"


def drawn(chance: random.Random) -> tuple[Happening, ...]:
    kinds = ["operate"] * 8 + ["trouble"] * 14
    return tuple(Happening(chance.uniform(0, SECONDS), kind, chance.randrange(1 << 30)) for kind in kinds)


@dataclass
class Run:
    seed: int
    happenings: tuple[Happening, ...] | None = None  # drawn where there are none
    caught: list[Caught] = field(default_factory=list)
    asked: int = 0
    core: TrialSet = field(default_factory=TrialSet)
    begun: dict[str, float] = field(default_factory=dict)  # when a trial came on the board
    gone: dict[str, float] = field(default_factory=dict)  # and when it was off it
    broken: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.now = 0.0
        self.order = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.registries = [Known() for _ in range(REGISTRIES)]
        self.skew = [self.chance.uniform(-SKEW, SKEW) for _ in range(DOORS)]
        self.doors = [self.door() for _ in range(DOORS)]
        self.cut: dict[tuple[str, int], float] = {}  # until when a registry or a door hears nobody
        self.names = itertools.count()

    def door(self) -> RequestMatcher:
        made = RequestMatcher("hall")
        made.update_keys(key for _, key in self.keys())
        return made

    def keys(self) -> list[tuple[str, bytes]]:
        return [(caller, f"{caller}/{n}".encode()) for caller in CALLERS for n in range(2)]

    # --- time and messages -----------------------------------------------------------------------------

    def later(self, wait: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + wait, next(self.order), what))

    def send(self, place: tuple[str, int], what: Callable[[], None]) -> None:
        """A message to or from a place: late, held up by a cut, or lost."""
        far = self.chance.uniform(0.001, MAX_FAR)
        held = self.cut.get(place, 0.0) - self.now
        if held > 0:
            if self.chance.random() < 0.5:
                return
            far += min(held, HELD_UP)
        self.later(far, what)

    def play(self) -> Run:
        for number in range(REGISTRIES):
            self.later(self.chance.uniform(0, READ), lambda n=number: self.reading(n))  # type: ignore[misc]
        for number in range(DOORS):
            self.later(self.chance.uniform(0, RENEWAL_INTERVAL_S), lambda n=number: self.asking(n))  # type: ignore[misc]
            self.later(self.chance.uniform(0, STEP), lambda n=number: self.request(n))  # type: ignore[misc]
        for thing in drawn(self.chance) if self.happenings is None else self.happenings:
            act = self.operate if thing.kind == "operate" else self.trouble
            self.later(thing.at, lambda a=act, t=thing: a(random.Random(t.seed)))  # type: ignore[misc]
        while self.queue:
            self.now, _, what = heapq.heappop(self.queue)
            if self.now > SECONDS:
                break
            what()
        return self

    # --- the core --------------------------------------------------------------------------------------

    def change(self, board: TrialSet) -> None:
        for trial in self.core.running:
            if trial not in board.running:
                self.gone[trial.name] = self.now
        for trial in board.running:
            self.begun.setdefault(trial.name, self.now)
        self.core = board
        for number in range(REGISTRIES):
            self.send(("registry", number), lambda n=number, b=board: self.told(n, b))  # type: ignore[misc]

    def operate(self, chance: random.Random) -> None:
        if self.core.running and chance.random() < 0.4:
            self.change(
                end_trial(self.core, chance.choice(self.core.running).name, "ann", "enough", self.now)
            )
            return
        caller, key = chance.choice(self.keys())
        trial = Trial(
            f"t{next(self.names)}", caller, chance.choice((REFUSE, LOSE, CLOSE)), "ann", "to see", self.now,
            self.now + chance.choice((0.0, 0.0, 2.0)), chance.uniform(1.0, 12.0),
            key_digest(key) if chance.random() < 0.4 else "", chance.choice(("", "", "sign")),
            share=chance.choice((1.0, 0.3)),
        )  # fmt: skip
        try:
            self.change(start_trial(self.core, trial))
        except TrialError:
            return

    # --- registries -----------------------------------------------------------------------------------

    def told(self, number: int, board: TrialSet) -> None:
        """A board that was pushed."""
        known = self.registries[number]
        if board.version > known.board.version:
            known.board = board
            for door in range(DOORS):
                self.send(("door", door), lambda d=door, b=board: self.pushed(d, b))  # type: ignore[misc]

    def reading(self, number: int) -> None:
        self.later(READ, lambda: self.reading(number))
        known, asked = self.registries[number], self.now

        def answer(board: TrialSet) -> None:
            self.told(number, board)
            if board.version >= known.board.version:
                known.read_at = max(known.read_at, asked)
            for name in expired_trials(board, self.now):
                if board.version == self.core.version:  # else it is not taken
                    self.change(end_trial(self.core, name, "ivymux", "its time is over", self.now))

        self.send(
            ("registry", number),
            lambda: self.send(("registry", number), lambda b=self.core: answer(b)),  # type: ignore[misc]
        )

    # --- doors -----------------------------------------------------------------------------------------

    def pushed(self, number: int, board: TrialSet) -> None:
        self.doors[number].apply(board, self.now, self.now + self.skew[number])

    def asking(self, number: int) -> None:
        self.later(RENEWAL_INTERVAL_S, lambda: self.asking(number))
        door, asked = self.doors[number], self.now
        for at in range(REGISTRIES):
            self.send(("door", number), lambda n=at: self.question(number, door, n, asked))  # type: ignore[misc]

    def question(self, number: int, door: RequestMatcher, at: int, asked: float) -> None:
        known = self.registries[at]
        if known.read_at < 0:
            return
        board, age = known.board, self.now - known.read_at

        def answer() -> None:
            if self.doors[number] is door:
                door.apply(board, self.now, self.now + self.skew[number])
                door.renew_lease(board.version, asked, age)

        self.send(("door", number), answer)

    def request(self, number: int) -> None:
        self.later(STEP, lambda: self.request(number))
        tenant, key = self.chance.choice(self.keys())
        route = self.chance.choice(("sign", "read"))
        name = f"{number}/{self.asked}".encode()
        self.asked += 1
        trial = self.doors[number].match(self.now, tenant, key, route, "desk", name)
        if trial is not None:
            self.caught.append(Caught(self.now, number, trial, tenant, key, route))
            self.judge(self.caught[-1])

    def judge(self, seen: Caught) -> None:
        trial = seen.trial
        other = (
            seen.tenant != trial.caller
            or (trial.key and key_digest(seen.key) != trial.key)
            or (trial.route and seen.route != trial.route)
        )
        if other:
            self.broken.append(f"{seen.at:.2f}: another caller was caught by {trial.name}")
        if seen.at > self.gone.get(trial.name, seen.at) + LEASE_S:
            self.broken.append(f"{seen.at:.2f}: {trial.name} ended at {self.gone[trial.name]:.2f}")
        if not trial.at - SKEW <= seen.at <= trial.ends_at + SKEW + 1e-9:
            self.broken.append(f"{seen.at:.2f}: {trial.name} runs from {trial.at:.2f} to {trial.ends_at:.2f}")

    def trouble(self, chance: random.Random) -> None:
        kind = chance.choice(("registry", "door", "anew"))
        if kind == "anew":
            self.doors[chance.randrange(DOORS)] = self.door()
            return
        number = chance.randrange(REGISTRIES if kind == "registry" else DOORS)
        self.cut[kind, number] = self.now + chance.uniform(0.5, 10.0)
