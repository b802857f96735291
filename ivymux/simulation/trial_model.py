"""Simulates fault-injection trials in virtual time: registries and proxies hold copies of the core's trials.

Registries and proxies are partitioned, proxies restart, and messages are late, while requests arrive at every
proxy.  The checks use what callers could observe: a trial affects only the requests that it is meant for, and
none later than one lease after its end, whatever messages a proxy has received.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

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

RUN_S = 30.0
REQUEST_INTERVAL_S = 0.1  # between requests at a proxy
REGISTRIES, PROXIES = 3, 5
CALLERS = ("kava", "kava-hearts", "kava hearts", "derwent")  # some are prefixes of others
MAX_CLOCK_SKEW_S = 0.5  # of the system time of a proxy
MAX_PARTITION_DELAY_S = 6.0  # of a message that a partition delays, beyond its usual delay
MAX_DELAY_S = 0.3  # of a message without a partition
READ_INTERVAL_S = 0.4  # between reads of the trials by a registry


@dataclass(frozen=True, slots=True)
class Injection:
    """A request that a proxy selected for a trial's fault."""

    at: float
    proxy: int
    trial: Trial
    tenant: str
    key: bytes
    route: str


@dataclass(slots=True)
class RegistryState:
    """The copy of the trials at a registry."""

    trials: TrialSet = field(default_factory=TrialSet)
    read_at: float = -1e9  # start of the last read from the core


@dataclass(frozen=True, slots=True)
class TrialEvent:
    """An operator's action or a fault, printed as `at:kind:seed`; `seed` determines the details."""

    at: float
    kind: str  # operate, trouble
    seed: int

    @staticmethod
    def parse(text: str) -> TrialEvent:
        """Parse the printed form."""
        at, kind, seed = text.split(":")
        return TrialEvent(float(at), kind, int(seed))

    def __str__(self) -> str:
        return f"{self.at:.2f}:{self.kind}:{self.seed}"


def draw_events(rng: random.Random) -> tuple[TrialEvent, ...]:
    """Draw the events of a run, in random order of time."""
    kinds = ["operate"] * 8 + ["trouble"] * 14
    return tuple(TrialEvent(rng.uniform(0, RUN_S), kind, rng.randrange(1 << 30)) for kind in kinds)


@dataclass
class TrialRun:
    """One run, which depends only on its seed and its events."""

    seed: int
    events: tuple[TrialEvent, ...] | None = None  # drawn by the seed if None
    injections: list[Injection] = field(default_factory=list)
    requests: int = 0
    core_trials: TrialSet = field(default_factory=TrialSet)
    started_at: dict[str, float] = field(default_factory=dict)  # time at the core, by name of the trial
    ended_at: dict[str, float] = field(default_factory=dict)  # time at the core, by name of the trial
    violations: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now = 0.0
        self.order = itertools.count()
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.registries = [RegistryState() for _ in range(REGISTRIES)]
        self.clock_skew_s = [self.rng.uniform(-MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S) for _ in range(PROXIES)]
        self.matchers = [self.create_matcher() for _ in range(PROXIES)]
        self.blocked_until: dict[tuple[str, int], float] = {}  # end of a partition, by place
        self.trial_numbers = itertools.count()

    def create_matcher(self) -> RequestMatcher:
        """Create the matcher of a proxy that has just started."""
        matcher = RequestMatcher("hall")
        matcher.update_keys(key for _, key in self.caller_keys())
        return matcher

    def caller_keys(self) -> list[tuple[str, bytes]]:
        """Return each caller with each of its API keys."""
        return [(caller, f"{caller}/{n}".encode()) for caller in CALLERS for n in range(2)]

    # --- time and messages -----------------------------------------------------------------------------

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after `delay_s` seconds of virtual time."""
        heapq.heappush(self.scheduled, (self.now + delay_s, next(self.order), callback))

    def send(self, place: tuple[str, int], on_delivery: Callable[[], None]) -> None:
        """Send a message to or from a place, as ("registry", 0); a partition there delays or drops it."""
        delay_s = self.rng.uniform(0.001, MAX_DELAY_S)
        blocked_s = self.blocked_until.get(place, 0.0) - self.now
        if blocked_s > 0:
            if self.rng.random() < 0.5:
                return
            delay_s += min(blocked_s, MAX_PARTITION_DELAY_S)
        self.schedule(delay_s, on_delivery)

    def play(self) -> TrialRun:
        """Play the run to its end; `violations` then lists what the checks found."""
        for number in range(REGISTRIES):
            self.schedule(self.rng.uniform(0, READ_INTERVAL_S), lambda n=number: self.read_core(n))  # type: ignore[misc]
        for number in range(PROXIES):
            self.schedule(self.rng.uniform(0, RENEWAL_INTERVAL_S), lambda n=number: self.renew_lease(n))  # type: ignore[misc]
            self.schedule(self.rng.uniform(0, REQUEST_INTERVAL_S), lambda n=number: self.send_request(n))  # type: ignore[misc]
        for event in draw_events(self.rng) if self.events is None else self.events:
            handler = self.operate if event.kind == "operate" else self.inject_fault
            self.schedule(event.at, lambda h=handler, e=event: h(random.Random(e.seed)))  # type: ignore[misc]
        while self.scheduled:
            self.now, _, callback = heapq.heappop(self.scheduled)
            if self.now > RUN_S:
                break
            callback()
        return self

    # --- the core --------------------------------------------------------------------------------------

    def update_core(self, trials: TrialSet) -> None:
        """Store a new set of trials at the core and push it to the registries."""
        for trial in self.core_trials.running:
            if trial not in trials.running:
                self.ended_at[trial.name] = self.now
        for trial in trials.running:
            self.started_at.setdefault(trial.name, self.now)
        self.core_trials = trials
        for number in range(REGISTRIES):
            self.send(("registry", number), lambda n=number, t=trials: self.on_trials(n, t))  # type: ignore[misc]

    def operate(self, rng: random.Random) -> None:
        """End a running trial or start a new one, as an operator does."""
        if self.core_trials.running and rng.random() < 0.4:
            ending = rng.choice(self.core_trials.running)
            self.update_core(end_trial(self.core_trials, ending.name, "ann", "enough", self.now))
            return
        caller, key = rng.choice(self.caller_keys())
        name = f"t{next(self.trial_numbers)}"
        trial = Trial(
            name, caller, rng.choice((REFUSE, LOSE, CLOSE)), "ann", "to see", self.now,
            self.now + rng.choice((0.0, 0.0, 2.0)), rng.uniform(1.0, 12.0),
            key_digest(key) if rng.random() < 0.4 else "", rng.choice(("", "", "sign")),
            share=rng.choice((1.0, 0.3)),
        )  # fmt: skip
        try:
            self.update_core(start_trial(self.core_trials, trial))
        except TrialError:
            return

    # --- registries -----------------------------------------------------------------------------------

    def on_trials(self, number: int, trials: TrialSet) -> None:
        """Store a newer set of trials at a registry, which pushes it to the proxies."""
        state = self.registries[number]
        if trials.version > state.trials.version:
            state.trials = trials
            for proxy in range(PROXIES):
                self.send(("door", proxy), lambda p=proxy, t=trials: self.on_pushed_trials(p, t))  # type: ignore[misc]

    def read_core(self, number: int) -> None:
        """Read the trials at the core regularly, and end those that have expired."""
        self.schedule(READ_INTERVAL_S, lambda: self.read_core(number))
        state, sent_at = self.registries[number], self.now

        def on_answer(trials: TrialSet) -> None:
            self.on_trials(number, trials)
            if trials.version >= state.trials.version:
                state.read_at = max(state.read_at, sent_at)
            for name in expired_trials(trials, self.now):
                if trials.version == self.core_trials.version:  # otherwise the core rejects the change
                    self.update_core(
                        end_trial(self.core_trials, name, "ivymux", "its time is over", self.now)
                    )

        self.send(
            ("registry", number),
            lambda: self.send(("registry", number), lambda t=self.core_trials: on_answer(t)),  # type: ignore[misc]
        )

    # --- proxies ---------------------------------------------------------------------------------------

    def on_pushed_trials(self, number: int, trials: TrialSet) -> None:
        """Apply trials that a registry pushed to a proxy."""
        self.matchers[number].apply(trials, self.now, self.now + self.clock_skew_s[number])

    def renew_lease(self, number: int) -> None:
        """Ask all registries regularly to renew the lease of a proxy."""
        self.schedule(RENEWAL_INTERVAL_S, lambda: self.renew_lease(number))
        matcher, sent_at = self.matchers[number], self.now
        for registry in range(REGISTRIES):
            request = partial(self.on_renewal_request, number, matcher, registry, sent_at)
            self.send(("door", number), request)

    def on_renewal_request(self, number: int, matcher: RequestMatcher, registry: int, sent_at: float) -> None:
        """Answer a proxy with the trials and their age; it ignores the answer if it has restarted."""
        state = self.registries[registry]
        if state.read_at < 0:
            return
        trials, age = state.trials, self.now - state.read_at

        def on_answer() -> None:
            if self.matchers[number] is matcher:
                matcher.apply(trials, self.now, self.now + self.clock_skew_s[number])
                matcher.renew_lease(trials.version, sent_at, age)

        self.send(("door", number), on_answer)

    def send_request(self, number: int) -> None:
        """Send requests of random callers to a proxy regularly, and check those that a trial selects."""
        self.schedule(REQUEST_INTERVAL_S, lambda: self.send_request(number))
        tenant, key = self.rng.choice(self.caller_keys())
        route = self.rng.choice(("sign", "read"))
        name = f"{number}/{self.requests}".encode()
        self.requests += 1
        trial = self.matchers[number].match(self.now, tenant, key, route, "desk", name)
        if trial is not None:
            self.injections.append(Injection(self.now, number, trial, tenant, key, route))
            self.check_injection(self.injections[-1])

    def check_injection(self, injection: Injection) -> None:
        """Record a violation if the trial does not cover the request, or is not in force."""
        trial = injection.trial
        is_unrelated = (
            injection.tenant != trial.caller
            or (trial.key and key_digest(injection.key) != trial.key)
            or (trial.route and injection.route != trial.route)
        )
        if is_unrelated:
            self.violations.append(f"{injection.at:.2f}: {trial.name} affected another caller")
        if injection.at > self.ended_at.get(trial.name, injection.at) + LEASE_S:
            self.violations.append(
                f"{injection.at:.2f}: {trial.name} ended at {self.ended_at[trial.name]:.2f}"
            )
        if not trial.at - MAX_CLOCK_SKEW_S <= injection.at <= trial.ends_at + MAX_CLOCK_SKEW_S + 1e-9:
            self.violations.append(
                f"{injection.at:.2f}: {trial.name} runs from {trial.at:.2f} to {trial.ends_at:.2f}"
            )

    def inject_fault(self, rng: random.Random) -> None:
        """Restart a proxy, or partition a proxy or a registry for a while."""
        kind = rng.choice(("registry", "door", "anew"))
        if kind == "anew":
            self.matchers[rng.randrange(PROXIES)] = self.create_matcher()
            return
        number = rng.randrange(REGISTRIES if kind == "registry" else PROXIES)
        self.blocked_until[kind, number] = self.now + rng.uniform(0.5, 10.0)
