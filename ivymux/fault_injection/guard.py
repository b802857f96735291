"""Ends all trials if requests that are under no trial start to fail.  Pure; steady time is passed in.

Proxies report how many of their requests were under no trial, how many of these failed for reasons other than
a quota, and the same two counts from before the trials.  If the failures over all proxies rise beyond chance,
the trials are taken to be the cause.  An unrelated outage ends them too, which does no harm.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

WINDOW_S = 5.0  # failures are counted over this time
MIN_FAILURE_RATE = 0.01  # the expected rate is at least this, also if no request failed before the trials
RATE_FACTOR = 2.0  # by which the failure rate from before the trials may rise
MAX_DEVIATIONS = 4.0  # standard deviations above the expected failures that still count as chance
MIN_FAILURES = 10  # fewer never end a trial
REPORT_TTL_S = 10.0  # a proxy without a report for this long is left out


class GuardError(ValueError):
    """An invalid report of a proxy."""


class Sample(NamedTuple):
    """A proxy's counts since its start, of requests under no trial."""

    at: float
    requests: int
    failures: int


@dataclass(slots=True)
class ProxyCounts:
    """One proxy's samples of the last WINDOW_S, and its counts from before the trials."""

    samples: deque[Sample] = field(default_factory=deque)
    requests_before: int = 0
    failures_before: int = 0


@dataclass(slots=True)
class Guard:
    """The counts of all proxies that report, and the decision on them."""

    proxies: dict[str, ProxyCounts] = field(default_factory=dict)

    def report(
        self, proxy: str, now: float, requests: int, failures: int, counts_before: tuple[int, int]
    ) -> None:
        """Take a proxy's counts; `counts_before` are requests and failures from before the trials.

        Raises GuardError.
        """
        if min(requests, failures, *counts_before) < 0:
            raise GuardError("counts below 0")
        counts = self.proxies.setdefault(proxy, ProxyCounts())
        samples = counts.samples
        if samples and (requests < samples[-1].requests or failures < samples[-1].failures):
            samples.clear()  # the proxy has restarted
        samples.append(Sample(now, requests, failures))
        counts.requests_before, counts.failures_before = counts_before
        while len(samples) > 2 and samples[1].at <= now - WINDOW_S:
            samples.popleft()

    def trip_reason(self, now: float) -> str:
        """Why the trials have to end; empty if they need not."""
        requests = failures = requests_before = failures_before = 0
        for proxy, counts in list(self.proxies.items()):
            first, last = counts.samples[0], counts.samples[-1]
            if now - last.at > REPORT_TTL_S:
                del self.proxies[proxy]
                continue
            requests += last.requests - first.requests
            failures += last.failures - first.failures
            requests_before += counts.requests_before
            failures_before += counts.failures_before
        expected_rate = MIN_FAILURE_RATE
        if requests_before:
            expected_rate = max(MIN_FAILURE_RATE, RATE_FACTOR * failures_before / requests_before)
        expected = requests * min(1.0, expected_rate)
        tolerance = MAX_DEVIATIONS * math.sqrt(max(1.0, expected))
        if failures < MIN_FAILURES or failures <= expected + tolerance:
            return ""
        return (
            f"others failed beside it: {failures} of {requests} in {WINDOW_S:g} s,"
            f" {expected_rate:.1%} are usual"
        )
