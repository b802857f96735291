"""The set of trials: which run, which have ended, what may be started.  Pure; Unix time is passed in.

A trial names one caller, what happens to its requests, to which share of them, from when and for how long.
The set is one replicated setting of the config store, changed by compare-and-set on its version, so that a
change is made whole or not at all.  Ended trials stay in the set, with author and reason, until newer ones
need the space.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from hashlib import sha256

import msgspec

from ivymux.routing_config.route_plan import RoutePlan

REFUSE, DELAY, LOSE, CLOSE = "refuse", "delay", "lose", "close"
FAULTS = {  # what happens to a request, by the value of `does`
    REFUSE: "refused before it is sent",
    DELAY: "held for `delay`, then served",
    LOSE: "run, and its answer lost",
    CLOSE: "its connection closed before it is sent",
}
REFUSAL_STATUSES = (429, 503)  # those that tell a client that its request has not run
MAX_RUNNING = 16
MAX_ENCODED_CHARS = 24 << 10  # of the set; over it, the oldest ended trials are dropped
MAX_DOCUMENT_BYTES = 8 << 10  # of what an operator sends
MAX_DELAY_S = 10.0
DEFAULT_MAX_TRIAL_S = 600.0  # a trial lasts at most this long where the settings give no limit
MAX_STARTS_IN_S = 3600.0  # from the order of a trial to its start
MAX_RETRY_AFTER_S = 60.0
MAX_ZONE_CHARS = 100
MAX_REMARK_CHARS = 200  # of `by` and `why`
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,47}", re.ASCII)
DIGEST = re.compile(r"[0-9a-f]{12,64}", re.ASCII)
DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m)", re.ASCII)
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0}
EXPIRED = "its time is over"  # why a trial ended by itself


class TrialError(ValueError):
    """A refused call about trials; the text is one line that names the place and how to correct it."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status  # of the HTTP answer


@dataclass
class TrialDocument:
    """The body of a call that starts a trial."""

    caller: str
    by: str
    why: str
    does: str = REFUSE
    key_digest: str = ""
    route: str = ""
    service: str = ""
    zone: str = ""
    status: int = 503
    retry_after: str = "1s"
    delay: str = "0ms"
    share: int | float = 1
    starts_in: str = "0s"
    lasts: str = "1m"
    dry_run: bool = False


@dataclass
class EndDocument:
    """The body of a call that ends a trial."""

    by: str
    why: str


@dataclass(frozen=True, slots=True)
class Trial:
    """One trial.  Durations are seconds; `made`, `at` and `ended` are Unix time."""

    name: str
    caller: str  # the tenant's name
    does: str  # a key of FAULTS
    by: str  # who ordered it
    why: str  # the operator's reason
    made: float  # when it was ordered
    at: float  # when it starts
    lasts: float
    key: str = ""  # SHA-256 in hex of the only key that it applies to; empty: all keys of the caller
    route: str = ""
    service: str = ""
    zone: str = ""
    status: int = 503  # of a refusal
    after: float = 1.0  # Retry-After of a refusal
    delay: float = 0.0  # of a delayed request
    share: float = 1.0  # of the caller's requests
    ended: float = 0.0
    ended_by: str = ""
    ended_why: str = ""
    asked: int = 0  # requests of the caller, as reported by the proxies when it ended
    caught: int = 0  # those of them into which the fault was injected

    @property
    def ends_at(self) -> float:
        return self.at + self.lasts

    def overlaps(self, other: Trial) -> bool:
        """Whether some request could be under both."""
        return self.caller == other.caller and all(
            not own or not others or own == others
            for own, others in (
                (self.key, other.key),
                (self.route, other.route),
                (self.service, other.service),
                (self.zone, other.zone),
            )
        )


@dataclass(frozen=True, slots=True)
class TrialSet:
    """All trials that the config store holds, of one version."""

    version: int = -1
    running: tuple[Trial, ...] = ()
    past: tuple[Trial, ...] = field(default=())  # ended ones, the newest first

    def encode(self) -> str:
        return msgspec.json.encode(self).decode()

    def find(self, name: str) -> Trial | None:
        return next((t for t in (*self.running, *self.past) if t.name == name), None)


def decode(text: str) -> TrialSet:
    """Decode the replicated setting's text; an empty text is an empty set.  Raises TrialError."""
    if not text:
        return TrialSet()
    try:
        return msgspec.json.decode(text, type=TrialSet)
    except msgspec.DecodeError as error:
        raise TrialError(f"the board of trials: {error}") from None


def key_digest(key: bytes) -> str:
    """The name of an API key where the key itself must not be shown."""
    return sha256(key).hexdigest()


def duration(text: object, where: str, least: float, most: float) -> float:
    """Convert a time such as `30s` to seconds.  Raises TrialError if it isn't from `least` to `most`."""
    found = DURATION.fullmatch(text) if isinstance(text, str) else None
    value = float(found[1]) * UNITS[found[2]] if found is not None else math.nan
    if not least <= value <= most:
        raise TrialError(f"{where}: {text!r}; write a time from {least:g}s to {most:g}s, as 30s")
    return value


def remark(text: str, where: str) -> str:
    """Check an operator's remark.  Raises TrialError."""
    if not text.strip() or len(text) > MAX_REMARK_CHARS or not text.isprintable():
        raise TrialError(f"{where}: write 1 to 200 signs that can be printed")
    return text.strip()


def decode_trial(text: bytes) -> TrialDocument:
    """Decode the body of a call that starts a trial.  Raises TrialError."""
    if len(text) > MAX_DOCUMENT_BYTES:
        raise TrialError(f"a trial of {len(text)} bytes; {MAX_DOCUMENT_BYTES} at most", 413)
    try:
        return msgspec.json.decode(text, type=TrialDocument)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise TrialError(f"the trial: {error}") from None


def decode_end(text: bytes) -> EndDocument:
    """Decode the body of a call that ends a trial.  Raises TrialError."""
    try:
        return msgspec.json.decode(text[:MAX_DOCUMENT_BYTES], type=EndDocument)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise TrialError(f"the end of a trial: {error}; send by and why") from None


def create_trial(
    name: str,
    document: TrialDocument,
    plan: RoutePlan | None,
    now: float,
    max_trial_s: float = DEFAULT_MAX_TRIAL_S,
) -> Trial:
    """Create the trial that a document describes, checked against the configuration in force.

    Raises TrialError.
    """
    if not NAME.fullmatch(name):
        raise TrialError(f"the name {name[:60]!r}: write 1 to 48 small letters, digits and -")
    if plan is None:
        raise TrialError("no configuration is in force yet, so there is no caller; send one first", 409)
    if document.caller not in plan.tenants:
        raise TrialError(
            f"caller: {document.caller[:60]!r} is no tenant of version {plan.version};"
            " name one tenant of tenant_table (there is no trial of all)"
        )
    if document.does not in FAULTS:
        raise TrialError(f"does: {document.does[:20]!r}; write {', '.join(FAULTS)}")
    if document.status not in REFUSAL_STATUSES:
        raise TrialError(f"status: {document.status}; write 429 or 503: they promise that nothing has run")
    if isinstance(document.share, bool) or not 0 < document.share <= 1:
        raise TrialError(f"share: {document.share}; write more than 0 and 1 at most")
    if document.route and all(
        r.name != document.route for routes in plan.routes_by_host.values() for r in routes
    ):
        raise TrialError(f"route: {document.route[:60]!r} is no route of version {plan.version}")
    if document.service and document.service not in plan.services:
        raise TrialError(f"service: {document.service[:60]!r} is no service of version {plan.version}")
    if len(document.zone) > MAX_ZONE_CHARS:
        raise TrialError("zone: write a zone's name")
    delay_s = duration(document.delay, "delay", 0.0, MAX_DELAY_S)
    if (document.does == DELAY) != (delay_s > 0):
        raise TrialError("delay: give one where does is delay, and only there")
    return Trial(
        name=name,
        caller=document.caller,
        does=document.does,
        by=remark(document.by, "by"),
        why=remark(document.why, "why"),
        made=now,
        at=now + duration(document.starts_in, "starts_in", 0.0, MAX_STARTS_IN_S),
        lasts=duration(document.lasts, "lasts", 1.0, max_trial_s),
        key=resolve_key_digest(document.key_digest, document.caller, plan),
        route=document.route,
        service=document.service,
        zone=document.zone,
        status=document.status,
        after=duration(document.retry_after, "retry_after", 0.0, MAX_RETRY_AFTER_S),
        delay=delay_s,
        share=float(document.share),
    )


def resolve_key_digest(prefix: str, caller: str, plan: RoutePlan) -> str:
    """Return the digest of the caller's only key whose digest has this prefix; empty without a prefix.

    Raises TrialError.
    """
    if not prefix:
        return ""
    if not DIGEST.fullmatch(prefix):
        raise TrialError("key_digest: write 12 to 64 hex digits of the key's SHA-256, never the key")
    own = (key_digest(key) for key, tenant in plan.tenant_by_key.items() if tenant == caller)
    found = {digest for digest in own if digest.startswith(prefix)}
    if len(found) != 1:
        raise TrialError(f"key_digest: it names {len(found)} keys of {caller!r}; name one")
    return found.pop()


def start_trial(trials: TrialSet, trial: Trial) -> TrialSet:
    """Return the set with one more running trial.  Raises TrialError."""
    if any(t.name == trial.name for t in trials.running):
        raise TrialError(f"a trial {trial.name!r} runs already; end it, or give this one another name", 409)
    if (other := next((t for t in trials.running if t.overlaps(trial)), None)) is not None:
        raise TrialError(
            f"caller: requests of {trial.caller!r} are under trial {other.name!r} already;"
            " end it, or narrow one",
            409,
        )
    if len(trials.running) >= MAX_RUNNING:
        raise TrialError(f"{MAX_RUNNING} trials run; end one first", 409)
    past = tuple(t for t in trials.past if t.name != trial.name)
    return drop_oldest(TrialSet(trials.version + 1, (*trials.running, trial), past))


def end_trial(
    trials: TrialSet, name: str, by: str, why: str, now: float, asked: int = 0, caught: int = 0
) -> TrialSet:
    """Return the set with one trial ended.  Raises TrialError."""
    trial = next((t for t in trials.running if t.name == name), None)
    if trial is None:
        known = trials.find(name)
        raise TrialError(
            f"no trial {name[:60]!r} runs" + (" any more" if known is not None else ""), 409 if known else 404
        )
    ended = replace(
        trial,
        ended=now,
        ended_by=remark(by, "by"),
        ended_why=remark(why, "why"),
        asked=asked,
        caught=caught,
    )
    running = tuple(t for t in trials.running if t.name != name)
    return drop_oldest(TrialSet(trials.version + 1, running, (ended, *trials.past)))


def expired_trials(trials: TrialSet, now: float) -> list[str]:
    """The names of the running trials whose time is over."""
    return [t.name for t in trials.running if now >= t.ends_at]


def drop_oldest(trials: TrialSet) -> TrialSet:
    """Return the set without the oldest ended trials that exceed MAX_ENCODED_CHARS."""
    past = trials.past
    while past and len(replace(trials, past=past).encode()) > MAX_ENCODED_CHARS:
        past = past[:-1]
    return replace(trials, past=past)


def describe(trial: Trial) -> dict[str, object]:
    """One trial as operators see it, without its empty fields."""
    fields = msgspec.to_builtins(trial)
    items: Iterable[tuple[str, object]] = fields.items()
    return {name: value for name, value in items if value not in ("", 0, 0.0) or name == "share"}
