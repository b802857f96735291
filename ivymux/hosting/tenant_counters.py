"""Tenants' counts on one tally that front doors share: a few connections for all, a part of them for each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ivymux.data_plane.limits import Address
from ivymux.platform.counter import Counter
from ivymux.tally.clock import SharedClock
from ivymux.tenants.names import counter_name
from orchidhill.interface import Count, Counted, Late, Outcome

MAX_OUT = 200  # calls of one tenant that wait for their answers


@dataclass(slots=True, kw_only=True)
class Routed(Count):
    """A call under its shared name, and whom its answer goes to."""

    port: TenantCounter
    own: int  # the name that the module knows


class Shared(Protocol):
    """A counter whose answers go to the module that called."""

    @property
    def ready(self) -> asyncio.Future[None]: ...

    def add(self, count: Count) -> None: ...

    def close(self) -> None: ...


def nobody(told: Counted | Late) -> None:
    raise AssertionError("each call says where its answer goes")


def route(count: Count, told: Counted | Late) -> None:
    """An answer goes to its module, under the name that this one knows."""
    assert isinstance(count, Routed)
    told.name = count.own
    count.port.answered(told)


class SharedCounter(Counter):
    """The connections to a tally."""

    def __init__(self, address: Address, timeout: float, clock: SharedClock) -> None:
        super().__init__(address, timeout, nobody, clock)

    def deliver(self, count: Count, result: Counted | Late) -> None:
        route(count, result)


class TenantCounter:
    """What one tenant's module calls; its answers come in the order of its calls for each name."""

    def __init__(self, shared: Shared, uid: str, done: Callable[[Counted | Late], None]) -> None:
        self.shared, self.uid, self.done = shared, uid, done
        self.out = 0

    def add(self, count: Count) -> None:
        if self.out >= MAX_OUT:
            # Who asks that much leaves the connections to the others; its module slows down for it.
            self.done(Counted(count.name, Outcome.FULL, 0.0, 0.0))
            return
        self.out += 1
        name = counter_name(self.uid, count.name)
        self.shared.add(Routed(name, count.amount, count.expires, count.call, port=self, own=count.name))

    def answered(self, told: Counted | Late) -> None:
        if isinstance(told, Counted):
            self.out -= 1
        self.done(told)
