"""What a gateway keeps of customers, backends and requests; how it changes stands in gateway.py.  Pure."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from orchidhill import interface as i
from orchidhill.interface import State

FIRST_LATENCY = 0.3  # guess before the first answer, in seconds


@dataclass(slots=True)
class Lease:
    """A customer's leased budget at this gateway: rate units, or slots where `slots` is set."""

    customer: int
    plan: i.Plan
    width: int
    first: int  # of the customer's gateways
    slots: bool
    length: float  # of a window
    phase: float  # customers' windows roll at different times, to spread the calls
    base: float  # what may be leased at once
    span: float  # seconds in which that fills again
    size: float  # ln of the batch to lease
    window: int = -1
    credits: float = 0.0
    unripe: float = 0.0  # of the credits, leased when the store did not hold them: they come with time
    unripe_at: float = 0.0
    wide: bool = False  # the customer comes to more gateways than it may lease units at once
    epoch: int = -1  # spans passed
    asked: float = 0.0  # the batch of the lease in flight
    waiting: bool = False  # whether one is
    total: float = 0.0  # of this window's name, as last seen, with my calls that are out
    mine: float = 0.0  # what the counter confirmed of my adds to this window
    odds: float = 1.0  # share of this customer's leases that were granted
    owed: float = 0.0  # to be added yet: let in unasked, flowed over, lacking at the edge
    seed: float = 0.0  # what it lacked at the edge, until it is known to be on the window's name
    lapsed: float = 0.0  # credit that lapsed there, until then
    met: bool = False  # whether the counter has answered in this window
    denied_until: float = 0.0
    apart_at: float = 0.0  # since when the counter does not answer for it; 0: it does
    told: float = 0.0  # the last total of this window
    checked: float = -math.inf  # when the counter last answered for it
    last: float = 0.0  # of the window before: what the counter confirmed of my adds, less what is doubtful
    whole: float = 0.0  # and the most that its total came to
    part: float = 0.0  # of the customer's use, what was at this gateway, at the least
    shaky: float = 0.0  # taken off without an answer
    doubts: list[tuple[float, int]] = field(default_factory=list)  # adds without one, to be made again
    born: int = 0  # the incarnation of the counts that answered last
    brought: float = 0.0  # of what I added to counts that had lost it, what had been the others'
    served: float = 0.0
    slope: float = 1e-6  # AdaGrad's sum of squared gradients
    in_use: int = 0  # slots of attempts out
    bucket: float = 0.0  # local share, for when the counter cannot be asked
    bucket_at: float = 0.0
    touched: float = 0.0
    waiters: deque[Job] = field(default_factory=deque)


@dataclass(slots=True)
class Call:
    """A call to the counter that has no answer yet."""

    lease: Lease
    window: int
    amount: float
    gives: bool  # asks for nothing
    number: int  # 0: it may not be made again
    fix: float = 0.0  # of the amount, what puts the name right


@dataclass(slots=True)
class Backend:
    entry: i.Entry
    out: dict[tuple[int, int], float] = field(default_factory=dict)  # attempts out, oldest first
    state: State = State.READY
    latency: float = FIRST_LATENCY
    answered: float = 0.0  # when it last answered
    heard: dict[int, float] = field(default_factory=dict)  # and by class
    seen: float = 0.0  # when anything was last learned of it
    load: float = 0.0  # waiting requests and busy share, as last reported
    load_at: float = -math.inf
    silent: dict[int, float] = field(default_factory=dict)  # classes it left unanswered, and when
    cold_level: float = 0.0  # token bucket for sends while it is cold
    cold_at: float = 0.0
    rank: int = 0  # the lowest ones are near: so every gateway has a set of its own that changes little


@dataclass(slots=True)
class Job:
    """A request that still needs an answer, or whose attempts are still out."""

    req: i.Request
    cls: i.RequestClass
    plan: i.Plan
    arrived: float
    end: float
    leases: list[Lease]
    held: list[Lease] = field(default_factory=list)  # leases whose credit it holds
    out: dict[int, tuple[Backend, float]] = field(default_factory=dict)
    tried: list[int] = field(default_factory=list)
    attempts: int = 0
    window: int = 0  # whose credit it holds
    ran: tuple[Backend, float] | None = None  # first attempt that may have run
    closed: bool = False
