"""The types a host exchanges with :class:`orchidhill.gateway.Gateway`.

The host is the program around a gateway, which owns its sockets and clock.  It builds one
``Gateway(settings, seed)``, passes it one event at a time with the current time in seconds, and carries out
the returned actions in order.  This module has types only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """Whether a request may be repeated."""

    SAFE = "safe"  # always
    KEYED = "keyed"  # within its class's `scope` and `memory`: there, backends drop duplicates by key
    UNSAFE = "unsafe"  # only if no earlier attempt was executed


class Scope(Enum):
    """The group of backends within which a repeat of a keyed request is dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 0
    ERROR = 5
    FULL = 11  # rejected for overload
    RESET = 104
    TIMEOUT = 110
    CONNECT_FAILED = 111
    MOOT = 114  # never started
    CANCELLED = 125

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class State(IntEnum):
    """A backend's state in the membership list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Listing(IntEnum):
    """The form of a membership event."""

    CACHED = 1  # a complete list from the host's cache or configuration
    DELTA = 2  # only the entries that changed
    FULL = 3  # a complete list
    FAILED = 4


class Why(Enum):
    """Why a request was refused."""

    QUOTA = "quota"  # the customer's quota is exhausted, according to the counter
    CEILING = "ceiling"  # in degraded mode, the local share of a plan with a ceiling is exhausted
    COUNTER = "counter"  # no call to the counter was possible in time, and the local share is exhausted
    ROOM = "room"  # no backend had capacity in time
    BACKENDS = "backends"  # all attempts failed, and no retry is allowed
    DEADLINE = "deadline"  # too little time was left to serve the request


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests; times in seconds."""

    name: str
    aim: float  # target latency
    deadline: float
    effect: Effect
    scope: Scope  # in which repeats of a keyed request are dropped
    memory: float  # time during which backends drop repeats of a keyed request
    worth: float  # of an answer within the target latency
    late_worth: float  # of an answer after the target latency
    stream: bool


@dataclass(slots=True, frozen=True)
class Plan:
    """The quotas of each of a plan's customers, over all gateways; 0 means no such limit."""

    name: str
    rate: float  # units per second
    burst: float  # units
    parallel: int  # concurrent attempts
    price: float  # multiplied by the class's worth: a request's priority
    over_cost: float  # cost of a unit admitted beyond the quota
    over_worth: float  # revenue from such a unit
    ceiling_rate: float  # units per second, never exceeded, not even in degraded mode
    ceiling_burst: float  # units, likewise never exceeded
    ceiling_slack: float  # a fraction


@dataclass(slots=True, frozen=True)
class Rules:
    """Parameters of the operating rules; times in seconds."""

    answer_slack: float
    drain_grace: float
    cold_share: float  # part of its capacity that a backend has when it starts
    warm_up: float  # from a backend's start until it has its full capacity
    fall_multiple: float  # limit of a cold backend's requests, as a multiple of a warm one's
    fall_time: float  # over which these requests are counted
    ask_within: float


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment allows; times in seconds."""

    max_attempts: int  # per request
    second_copies: bool  # whether a request may have two attempts in flight
    cancel: bool  # whether attempts may be cancelled
    probes: bool  # whether backends may be asked for their load
    retry_after: bool  # whether most clients heed a retry-after
    max_retry_after: float
    connect_timeout: float


@dataclass(slots=True, frozen=True)
class Settings:
    """A gateway's settings at start; times in seconds."""

    me: int  # number of this gateway
    peers: int  # number of gateways, this one included
    zone: int
    zones: tuple[str, ...]
    period: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    limits: Limits
    has_counter: bool
    counter_price: float  # cost of a call to the counter
    counter_timeout: float
    settles: bool
    membership_push: bool
    weight_source: str
    report_how: str  # how backends report their load; "pull": only when probed
    report_columns: tuple[str, ...]  # names of the values in a load report
    prices: dict[str, float]  # penalties by name
    counter_pace: float = 800.0  # initial estimate of the counter's capacity, in calls per second


@dataclass(slots=True, frozen=True)
class Entry:
    """One backend in a membership list; ``started`` 0 means that it has warmed up."""

    backend: int
    zone: int
    started: float
    state: State
    kind: int
    cell: int
    weight: float
    service: int = 0  # the only service whose requests the backend serves


@dataclass(slots=True)
class Members:
    """A membership list, or changes to it."""

    listing: Listing
    version: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class Request:
    """A client's request; ``left`` is the time in seconds until the client gives up."""

    request: int
    cls: int
    plan: int
    customer: int
    left: float
    units: float
    width: int  # number of gateways that the customer's requests go to
    first: int  # number of the first of these gateways
    is_retry: bool  # by the client
    is_write: bool
    service: int = 0
    most: int = 0  # maximum of attempts that reach a backend; 0: `Limits.max_attempts`
    home: int = 0  # the backend with the conversation's state; 0: none
    is_home_only: bool = False  # whether no other backend may run it


@dataclass(slots=True)
class UnderWay:
    """The backend has started an attempt."""

    request: int
    attempt: int
    backend: int
    spent: float


@dataclass(slots=True)
class Finished:
    """An attempt has ended; ``closed``: its request is settled."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    closed: bool
    spent: float
    charged: int
    metered: int
    report: tuple[float, ...]


@dataclass(slots=True)
class Left:
    """The client has left: nobody waits for the request's answer any more."""

    request: int


@dataclass(slots=True)
class Fired:
    """The timer that a ``SetTimer`` set is due; ``token`` is the one of that action."""

    token: int


@dataclass(slots=True)
class Probed:
    """The answer to one ``Probe``, after ``spent`` seconds; ``report`` as in ``Settings.report_columns``."""

    backend: int
    outcome: Outcome
    spent: float
    report: tuple[float, ...]


@dataclass(slots=True)
class Classes:
    """The new request classes, never fewer than before.  Open requests keep their class."""

    classes: tuple[RequestClass, ...]


@dataclass(slots=True)
class Plans:
    """The new plans, never fewer than before.  Open requests keep their plan."""

    plans: tuple[Plan, ...]


@dataclass(slots=True)
class Shun:
    """Several gateways reported failures of a backend: eject it for a while, unless no other is left."""

    backend: int
    seconds: float


@dataclass(slots=True)
class Doors:
    """The number of gateways has changed to ``count``, this one included."""

    count: int


@dataclass(slots=True)
class PeerSays:
    """A message from another gateway."""

    source: int
    data: bytes


@dataclass(slots=True)
class Counted:
    """The answer to one ``Count``; ``total`` is valid only with ``Outcome.OK``.

    ``born`` identifies the incarnation of the counter's totals; a new incarnation started empty or from a
    copy.  0 if the counter reports no incarnation.
    """

    name: int
    outcome: Outcome
    total: float
    spent: float
    born: int = 0


@dataclass(slots=True)
class Late:
    """A ``Count`` that was reported as timed out was answered after all."""

    name: int


@dataclass(slots=True)
class Leaving:
    """The process is about to end; all requests are answered."""


News = Members | UnderWay | Finished | Probed | PeerSays | Counted | Late
Event = News | Request | Left | Fired | Classes | Plans | Doors | Shun | Leaving


@dataclass(slots=True)
class Send:
    """Start an attempt; ``timeout`` in seconds, 0 means until the client gives up."""

    request: int
    backend: int
    timeout: float


@dataclass(slots=True)
class Refuse:
    """Refuse a request; ``retry_after`` in seconds."""

    request: int
    retry_after: float
    why: Why = Why.ROOM


@dataclass(slots=True)
class Fail:
    """Answer that a request failed and may have taken effect."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt; ``Finished`` follows."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send ``Fired`` with this ``token`` at the time ``at``, in seconds on the clock of ``handle``."""

    at: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a backend for its load."""

    backend: int


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to a backend."""

    backend: int


@dataclass(slots=True)
class Tell:
    """Send a message to one gateway, or to all others with ``peer`` None."""

    peer: int | None
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a log line."""

    text: str


@dataclass(slots=True)
class Watch:
    """Turn membership watching on or off; `Gateway` does not use it."""

    on: bool


@dataclass(slots=True)
class Pull:
    """Request the membership list; `Gateway` does not use it."""


@dataclass(slots=True)
class Count:
    """Add ``amount`` to a named total; a new name expires ``expires`` seconds after its first call.

    ``call`` identifies a call that may be repeated: a counter that reports ``born`` adds its amount once.
    0: the call is never repeated.

    A counter that may have lost the name uses ``drained``, the total at which the name's token bucket would
    be empty now, and ``since``, the seconds since the name's window began.

    A counter that keeps the buckets itself uses:

    - ``customer``, ``rate`` and ``burst``: the customer and its quota, which holds over any ``span`` seconds
    - ``seed``: the bucket's deficit when its window began, as far as the caller knows
    - ``known``: the last total that the caller received, and ``knew``, the incarnation that reported it
    - ``late``: the part of the amount that was admitted in degraded mode, evenly over the last ``spread``
      seconds
    """

    name: int
    amount: float
    expires: float
    call: int = 0
    drained: float = 0.0
    since: float = 0.0
    customer: int = 0
    rate: float = 0.0
    burst: float = 0.0
    span: float = 0.0
    seed: float = 0.0
    known: float = 0.0
    knew: int = 0
    late: float = 0.0
    spread: float = 0.0


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Log | Watch | Pull | Count
