"""Settings, events and a fake counter for tests of `Gateway`."""

from __future__ import annotations

from collections.abc import Iterable

from orchidhill import interface as i
from orchidhill.gateway import Gateway
from orchidhill.wire import parse_settings

BASE = {
    "me": "0",
    "peers_total": "3",
    "az": "0",
    "zones": "a,b",
    "period_s": "0.002",
    "rules.answer_slack_s": "0.008",
    "rules.drain_grace_s": "1.0",
    "rules.cold_share": "0.2",
    "rules.warm_up_s": "10.0",
    "rules.fall_multiple": "2.0",
    "rules.fall_s": "2.0",
    "caps.max_attempts": "4",
    "caps.second_copies": "true",
    "caps.cancel": "true",
    "caps.retry_after": "true",
    "caps.max_retry_after_s": "1.0",
    "caps.connect_timeout_s": "0.25",
    "extra.has_counter": "true",
    "extra.counter_price": "0.01",
    "extra.counter_timeout_s": "0.05",
    "classes.count": "3",
    "tariffs.count": "3",
}
EFFECTS = ("safe", "keyed", "unsafe")
for n, effect in enumerate(EFFECTS):
    BASE |= {
        f"classes.{n}.name": f"class-{n}",
        f"classes.{n}.goal_time_s": "2.0",
        f"classes.{n}.deadline_s": "4.0",
        f"classes.{n}.effect": effect,
        f"classes.{n}.dedup_scope": "cell",
        f"classes.{n}.memory_span_s": "2.0",
        f"classes.{n}.worth": "1.0",
    }
PLANS: tuple[dict[str, str], ...] = (
    {"quota_rate": "4.0", "peak_units": "8.0", "over_cost": "1.0"},
    {"quota_rate": "4.0", "peak_units": "8.0", "never_over_rate": "8.0", "hard_burst": "16.0"},
    {"parallel": "2", "over_cost": "0.5"},
)
for n, plan in enumerate(PLANS):
    BASE |= {f"tariffs.{n}.name": f"plan-{n}", f"tariffs.{n}.pays": "1.0"}
    BASE |= {f"tariffs.{n}.{key}": value for key, value in plan.items()}
START = 100.0  # seconds on the clock of the tests


def settings_text(**changes: str) -> str:
    """Return the settings message with some keys changed; a double underscore in a name stands for a dot."""
    values = BASE | {key.replace("__", "."): value for key, value in changes.items()}
    return "\n".join(f"{key}={value}" for key, value in values.items())


def make_entry(
    backend: int, *, cell: int = 0, started: float = 0.0, state: i.State = i.State.READY
) -> i.Entry:
    return i.Entry(backend, 0, started, state, 0, cell, 1.0)


def make_request(
    request: int, *, cls: int = 0, plan: int = 0, customer: int = 5, left: float = 4.0
) -> i.Request:
    return i.Request(request, cls, plan, customer, left, 1.0, 3, 0, False, False)


def make_finished(
    request: int, send: i.Send, outcome: i.Outcome, attempt: int = 0, closed: bool = False
) -> i.Finished:
    return i.Finished(request, attempt, send.backend, outcome, closed, 0.1, 0, 0, ())


def sends(actions: Iterable[i.Action]) -> list[i.Send]:
    return [a for a in actions if isinstance(a, i.Send)]


class FakeCounter:
    """A shared counter that answers with `outcome`; while `is_late`, it adds but its answers time out."""

    def __init__(self) -> None:
        self.totals: dict[int, float] = {}
        self.calls = 0
        self.outcome = i.Outcome.OK
        self.is_late = False

    def lose_totals(self) -> None:
        self.totals.clear()

    def answer(self, call: i.Count) -> i.Counted:
        self.calls += 1
        if self.outcome is not i.Outcome.OK:
            return i.Counted(call.name, self.outcome, 0.0, 0.05)
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        if self.is_late:
            return i.Counted(call.name, i.Outcome.TIMEOUT, 0.0, 0.05)
        return i.Counted(call.name, i.Outcome.OK, self.totals[call.name], 0.001)


def make_gateway(backends: Iterable[i.Entry] = (), seed: int = 1, /, **changes: str) -> Gateway:
    """Return a gateway that knows these backends, by default six in two cells."""
    gateway = Gateway(parse_settings(settings_text(**changes)), seed)
    entries = tuple(backends) or tuple(make_entry(n, cell=n % 2) for n in range(1, 7))
    gateway.handle(START, i.Members(i.Listing.CACHED, 1, entries))
    return gateway


def handle_event(gateway: Gateway, counter: FakeCounter, now: float, event: i.Event) -> list[i.Action]:
    """Pass an event, answer all resulting counter calls at once, and return all actions; ignore timers."""
    actions = gateway.handle(now, event)
    index = 0
    while index < len(actions):
        action = actions[index]
        index += 1
        if isinstance(action, i.Count):
            actions = actions + gateway.handle(now, counter.answer(action))
    return actions
