"""Fault-injection trials at a proxy: decides on requests, and renews the lease on the trials at the core.

Imported with the first trial, so that a proxy's start does not take the time to import this module.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from ivymux.data_plane.frontend import CLOSE_CONNECTION, Answer
from ivymux.data_plane.host import Host
from ivymux.data_plane.refusals import TRIAL
from ivymux.fault_injection.request_matcher import RENEWAL_INTERVAL_S, RequestMatcher
from ivymux.fault_injection.trial_set import CLOSE, DELAY, LOSE, TrialError, decode
from ivymux.runtime.log import Log
from ivymux.transport.connection import TransportError
from ivymux.transport.connector import Connector

CALL_TIMEOUT_S = 0.5
BASELINE_S = 10.0  # before a trial: other callers' failures in the trial are compared with this span's
MAX_HOLD_PART = 0.5  # longest delay of a request, as a part of the time that its client still waits
REFUSAL_TEXT = b"refused in a trial of this caller; it has not run\n"

log = Log("proxy")


@dataclass(frozen=True, slots=True)
class Injection:
    """What a trial does to a request: an answer without a backend, a delay, or the loss of the answer."""

    answer: Answer | None = None
    hold_s: float = 0.0
    drops_answer: bool = False


NO_INJECTION = Injection()


class TrialClient:
    """Applies trial sets, decides on requests, and renews the lease while a trial runs."""

    def __init__(
        self, zone: str, id: str, host: Host, connectors: Callable[[], list[Connector]],
        system_time: Callable[[float], float], samples: Iterable[tuple[float, int, int]],
    ) -> None:  # fmt: skip
        """`connectors`: to the core; `system_time`: from steady time; `samples`: earlier request counts."""
        self.matcher, self.id, self.host = RequestMatcher(zone), id, host
        self.connectors, self.system_time, self.samples = connectors, system_time, samples
        self.task: asyncio.Task[None] | None = None
        self.baseline = (0, 0)  # requests and failures before the trial
        self.malformed_replies = 0

    def update_keys(self, keys: Iterable[bytes]) -> None:
        self.matcher.update_keys(keys)

    def apply(self, text: str) -> bool:
        """Apply a trial set that the core sent; return whether one of its trials may be in force."""
        now = time.monotonic()
        try:
            is_newer = self.matcher.apply(decode(text), now, self.system_time(now))
        except TrialError as error:
            log.info(f"ignored an invalid trial set: {error}.")
            return self.is_running()
        if is_newer:
            names = ", ".join(trial.name for trial in self.matcher.trials.running) or "none"
            log.info(f"trial set {self.matcher.trials.version} received; running: {names}.")
        if self.matcher.has_running_trial(now) and not self.is_running():
            self.task = asyncio.get_running_loop().create_task(self.renew_leases())
        return self.is_running()

    def is_running(self) -> bool:
        return self.task is not None and not self.task.done()

    # --- requests --------------------------------------------------------------------------------------

    def inject(
        self, tenant: str, key: bytes, route: str, service: str, request_id: bytes, deadline: float
    ) -> Injection:
        """Decide on a request whose client gives up at `deadline`, in steady time."""
        now = time.monotonic()
        trial = self.matcher.match(now, tenant, key, route, service, request_id)
        if trial is None:
            return NO_INJECTION
        if trial.does == DELAY:
            self.matcher.forwarded += 1
            return Injection(hold_s=min(trial.delay, MAX_HOLD_PART * max(0.0, deadline - now)))
        if trial.does == LOSE:
            self.matcher.forwarded += 1
            return Injection(drops_answer=True)
        self.host.refusal_log.record(TRIAL)
        if trial.does == CLOSE:
            return Injection(Answer(CLOSE_CONNECTION))
        return Injection(Answer(trial.status, REFUSAL_TEXT, retry_after=trial.after))

    # --- the core --------------------------------------------------------------------------------------

    def unaffected_counts(self) -> tuple[int, int]:
        """Requests under no trial, and how many of these were not served for lack of backends."""
        unaffected = self.host.request_count - self.matcher.forwarded
        return unaffected, self.host.refusal_log.refusals.count_unserved()

    async def renew_leases(self) -> None:
        """While a trial runs, report its counts to the core and renew the lease on the trial set."""
        now = time.monotonic()
        self.baseline = self.recent_counts(now)
        while self.matcher.has_running_trial(time.monotonic()):
            requests, failures = self.unaffected_counts()
            now = time.monotonic()
            message = {
                "k": "trial", "v": self.matcher.trials.version, "c": self.matcher.counts(now),
                "o": [requests, failures, *self.baseline],
            }  # fmt: skip
            calls = [self.call(connector, message) for connector in self.connectors()]
            await asyncio.gather(*calls, asyncio.sleep(RENEWAL_INTERVAL_S))
        for connector in self.connectors():  # the final counts
            connector.send({"k": "trial", "v": self.matcher.trials.version, "c": self.matcher.counts(now)})

    def recent_counts(self, now: float) -> tuple[int, int]:
        """Requests and failures within the last BASELINE_S."""
        requests, failures = self.unaffected_counts()
        recent = (sample for sample in self.samples if now - sample[0] <= BASELINE_S)
        _, first_requests, first_failures = next(recent, (now, requests, failures))
        return requests - first_requests, failures - first_failures

    async def call(self, connector: Connector, message: dict[str, Any]) -> None:
        """Report to one core machine, and apply the trial set and the lease in its reply."""
        sent_at = time.monotonic()
        try:
            reply = await connector.call(message, CALL_TIMEOUT_S)
            text, age = reply.get("t"), reply.get("age")
            if isinstance(text, str) and text:
                self.apply(text)
            if age is not None:
                self.matcher.renew_lease(int(reply["v"]), sent_at, float(age))
        except TransportError:
            pass
        except (KeyError, TypeError, ValueError):
            self.malformed_replies += 1

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
