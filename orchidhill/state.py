"""State of customers, backends and requests, which gateway.py and admission.py change.  Pure."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from orchidhill import interface as i
from orchidhill.interface import State

INITIAL_LATENCY_S = 0.3  # estimate before the first answer


@dataclass(slots=True)
class Lease:
    """A customer's leased credits at this gateway: rate units, or concurrency slots with `for_slots`."""

    customer: int
    plan: i.Plan
    width: int  # gateways that the customer's requests come to
    first_gateway: int  # number of the first of the customer's gateways
    for_slots: bool
    window_length: float  # seconds
    phase: float  # seconds; offsets the customers' windows, to spread the calls
    capacity: float  # credits that may be leased at once
    refill_time: float  # seconds in which the capacity refills
    log_size: float  # natural logarithm of the lease size in credits
    window: int = -1  # number of the current window
    credits: float = 0.0
    advance: float = 0.0  # part of `credits` that the bucket did not hold yet: spendable as it refills
    advance_at: float = 0.0
    is_wide: bool = False  # whether the customer comes to more gateways than `capacity`
    refill_period: int = -1  # number of the current period of `refill_time`
    requested: float = 0.0  # credits that the call in flight asks for; 0: that call only reads the total
    is_leasing: bool = False  # whether a lease call or a read is in flight
    total: float = 0.0  # last known counter total of this window, plus this gateway's calls in flight
    confirmed: float = 0.0  # this gateway's additions to this window that the counter confirmed
    grant_odds: float = 1.0  # smoothed share of the customer's leases that were granted
    owed: float = 0.0  # still to be added to the counter: local admissions, overflow, deficit at the edge
    edge_deficit: float = 0.0  # the bucket's deficit at the window's edge, until known to be in the total
    expired_credits: float = 0.0  # credits that expired at the window's edge, for the same time
    is_synced: bool = False  # whether the counter has answered in this window
    denied_until: float = 0.0
    degraded_at: float = 0.0  # since when the counter has not answered for this customer; 0: not degraded
    last_total: float = 0.0  # the counter's last answer for this window
    answered_at: float = -math.inf  # when the counter last answered for this customer
    previous_confirmed: float = 0.0  # `confirmed` of the previous window, less the uncertain additions
    previous_total: float = 0.0  # maximum that the previous window's total may have been
    usage_share: float = 0.0  # lower bound of this gateway's share of the customer's use
    unanswered_returns: float = 0.0  # sum of returns that got no answer, negative
    unanswered_adds: list[tuple[float, int]] = field(default_factory=list)  # to repeat: amount, serial
    incarnation: int = 0  # of the counter that answered last
    restored_for_others: float = 0.0  # part of a restored total that other gateways had added
    served_units: float = 0.0  # in this refill period
    gradient_sum: float = 1e-6  # AdaGrad's sum of squared gradients
    in_use: int = 0  # slots held by attempts in flight
    local_level: float = 0.0  # token bucket of the local share, used while the counter can't be asked
    local_level_at: float = 0.0
    used_at: float = 0.0
    waiters: deque[Job] = field(default_factory=deque)


@dataclass(slots=True)
class Call:
    """A call to the counter that has no answer yet."""

    lease: Lease
    window: int
    amount: float
    is_adjustment: bool  # corrects the total or returns credits: no request waits for it
    serial: int  # identifies the call; 0: the call must not be repeated
    correction: float = 0.0  # part of the amount that repairs the total, such as overflow


@dataclass(slots=True)
class Backend:
    """A backend as this gateway sees it."""

    entry: i.Entry
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)  # send times, oldest attempt first
    state: State = State.READY
    latency: float = INITIAL_LATENCY_S
    answered_at: float = 0.0
    class_answered_at: dict[int, float] = field(default_factory=dict)  # by class
    observed_at: float = 0.0  # when the latency was last updated
    load: float = 0.0  # waiting requests and utilisation, as last reported
    load_at: float = -math.inf
    silent_since: dict[int, float] = field(default_factory=dict)  # by class that the backend does not answer
    cold_level: float = 0.0  # token bucket for sends during warm-up
    cold_at: float = 0.0
    rank: int = 0  # stable hash; the lowest ranks form the gateway's subset, so that it changes little


@dataclass(slots=True)
class Job:
    """A request that still needs an answer, or whose attempts are still in flight."""

    req: i.Request
    cls: i.RequestClass
    plan: i.Plan
    arrived_at: float
    deadline: float
    leases: list[Lease]
    granted: list[Lease] = field(default_factory=list)  # leases whose credits the job holds
    in_flight: dict[int, tuple[Backend, float]] = field(default_factory=dict)  # by attempt: backend, sent at
    tried: list[int] = field(default_factory=list)  # backends, in order
    attempts: int = 0
    credit_period: int = 0  # refill period of the credits that the job holds
    possible_run: tuple[Backend, float] | None = None  # attempt that may have taken effect
    closed: bool = False
