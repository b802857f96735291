"""Quota counters of many tenants in one counter service: all tenants share a few connections to it."""

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

MAX_PENDING_CALLS = 200  # of one tenant


@dataclass(slots=True, kw_only=True)
class RoutedCount(Count):
    """A call under its shared counter name, with the tenant that receives the result."""

    recipient: TenantCounter
    local_name: int  # the counter name that the tenant's decision module uses


class SharedCounter(Protocol):
    """A counter client for all tenants that delivers each result to the tenant that made the call."""

    @property
    def ready(self) -> asyncio.Future[None]: ...

    def add(self, count: Count) -> None: ...

    def close(self) -> None: ...


def reject_unrouted(result: Counted | Late) -> None:
    """Stand in for the common result handler, which a shared counter never calls."""
    raise AssertionError("a result of a shared counter has no recipient")


def deliver_to_recipient(count: Count, result: Counted | Late) -> None:
    """Pass a result to the tenant that made the call, under that tenant's own counter name."""
    assert isinstance(count, RoutedCount)
    result.name = count.local_name
    count.recipient.on_result(result)


class SharedTallyCounter(Counter):
    """The connections to a counter service that all tenants use."""

    def __init__(self, address: Address, timeout: float, clock: SharedClock) -> None:
        super().__init__(address, timeout, reject_unrouted, clock)

    def deliver(self, count: Count, result: Counted | Late) -> None:
        deliver_to_recipient(count, result)


class TenantCounter:
    """The counter of one tenant's decision module.

    Results for the same counter name arrive in the order of the calls.
    """

    def __init__(self, shared: SharedCounter, uid: str, deliver: Callable[[Counted | Late], None]) -> None:
        self.shared, self.uid, self.deliver = shared, uid, deliver
        self.pending_count = 0

    def add(self, count: Count) -> None:
        """Send a call to the shared counter, or fail it at once if too many are pending."""
        if self.pending_count >= MAX_PENDING_CALLS:
            # The limit keeps the shared connections usable for other tenants.  After the result FULL, the
            # decision module slows its calls down.
            self.deliver(Counted(count.name, Outcome.FULL, 0.0, 0.0))
            return
        self.pending_count += 1
        name = counter_name(self.uid, count.name)
        self.shared.add(
            RoutedCount(name, count.amount, count.expires, count.call, recipient=self, local_name=count.name)
        )

    def on_result(self, result: Counted | Late) -> None:
        """Pass a result to the decision module.  A late result belongs to a call that no longer counts."""
        if isinstance(result, Counted):
            self.pending_count -= 1
        self.deliver(result)
