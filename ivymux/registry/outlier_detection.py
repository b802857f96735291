"""Ejects backends that fail requests although their heartbeats are in order.  Pure; time is steady.

In a large fleet one proxy sends a backend a request only about every 20 s, so it learns of a failure only
after the failure is over; the reports of all proxies together show it within a few requests.  Reports of a
single proxy don't suffice, as that proxy may be at fault itself.  Only a part of a service may be ejected at
once: if more of it fails, the service as a whole or the network is at fault, and ejections would make that
worse.  An ejected backend returns soon, and each time it fails again the ejection lasts longer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

WINDOW_S = 2.0  # failures within it count together
MIN_FAILURES = 3
MIN_PROXIES = 2  # that reported failures; one suffices if only one is connected
FIRST_EJECTION_S, MAX_EJECTION_S = 2.0, 8.0
REPEAT_WINDOW_S = 4.0  # an ejection this soon after the end of the previous one lasts twice as long
MAX_EJECTED_SHARE = 1 / 3  # of a service's backends
MAX_BACKENDS = 5000  # with more, the records of those without a recent ejection are dropped


class FailureReport(NamedTuple):
    """Failures of one backend that one proxy reported at once."""

    at: float
    proxy: str
    failures: int


@dataclass(slots=True)
class BackendFailures:
    """One backend's recent failures and its last ejection; times are steady seconds."""

    reports: deque[FailureReport] = field(default_factory=deque)
    ejected_until: float = 0.0
    ejection_s: float = 0.0  # length of the last ejection


@dataclass(slots=True)
class OutlierDetector:
    """Decides on ejections for all backends of a registry."""

    backends: dict[str, BackendFailures] = field(default_factory=dict)

    def report(
        self, proxy: str, backend: str, failures: int, proxies: int, peers: list[str], now: float
    ) -> float:
        """Add a proxy's failure report; return the seconds for which the backend is ejected, 0 for none.

        `proxies` is the number of connected proxies; `peers` are the backends in service of the same service,
        this one included.
        """
        record = self.backends.get(backend)
        if record is None:
            if len(self.backends) >= MAX_BACKENDS:
                self.drop_old(now)
            record = self.backends[backend] = BackendFailures()
        record.reports.append(FailureReport(now, proxy, failures))
        while record.reports[0].at < now - WINDOW_S:
            record.reports.popleft()
        if now < record.ejected_until or sum(report.failures for report in record.reports) < MIN_FAILURES:
            return 0.0
        if len({report.proxy for report in record.reports}) < min(MIN_PROXIES, proxies):
            return 0.0
        ejected = sum(peer in self.backends and self.backends[peer].ejected_until > now for peer in peers)
        if ejected + 1 > max(1.0, MAX_EJECTED_SHARE * len(peers)):
            return 0.0
        is_repeat = now < record.ejected_until + REPEAT_WINDOW_S
        record.ejection_s = (
            min(MAX_EJECTION_S, 2 * record.ejection_s)
            if is_repeat and record.ejection_s
            else FIRST_EJECTION_S
        )
        record.ejected_until = now + record.ejection_s
        record.reports.clear()
        return record.ejection_s

    def drop_old(self, now: float) -> None:
        """Drop the backends without a recent ejection."""
        self.backends = {
            id: record for id, record in self.backends.items() if record.ejected_until + REPEAT_WINDOW_S > now
        }
