"""Trials at a door: the core is asked for them again and again, requests are caught, counts are told.

Imported with the first trial that a door hears of: one that hears of none starts without it.
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
from ivymux.transport.connection import Connector, TransportError

CALL = 0.5  # seconds of one question
KEPT = 10.0  # seconds of counts from before a trial, which others' failures are held against
LEFT = 0.5  # of the time that a client has left, what a request is held for at most
TEXT = b"refused in a trial of this caller; it has not run\n"

log = Log("proxy")


@dataclass(frozen=True, slots=True)
class Caught:
    """What becomes of a request: an answer at once, or what its call is marked with."""

    answer: Answer | None = None
    hold: float = 0.0
    lose: bool = False


FREE = Caught()


class TrialClient:
    def __init__(
        self, zone: str, id: str, host: Host, lines: Callable[[], list[Connector]],
        system: Callable[[float], float], kept: Iterable[tuple[float, int, int]],
    ) -> None:  # fmt: skip
        """`lines`: to the core; `system`: the system's time at a steady time; `kept`: what `others` gave at
        times before.
        """
        self.catch, self.id, self.host = RequestMatcher(zone), id, host
        self.lines, self.system, self.kept = lines, system, kept
        self.task: asyncio.Task[None] | None = None
        self.before = (0, 0)
        self.spoilt = 0

    def configured(self, keys: Iterable[bytes]) -> None:
        self.catch.update_keys(keys)

    def use(self, text: str) -> bool:
        """A board that the core told of; whether a trial may come to be in force by it."""
        now = time.monotonic()
        try:
            news = self.catch.apply(decode(text), now, self.system(now))
        except TrialError as error:
            log.info(f"{error}; no trial of it is in force here.")
            return self.busy()
        if news:
            names = ", ".join(t.name for t in self.catch.trials.running) or "none"
            log.info(f"board {self.catch.trials.version} of trials: {names}.")
        if self.catch.has_running_trial(now) and not self.busy():
            self.task = asyncio.get_running_loop().create_task(self.renew())
        return self.busy()

    def busy(self) -> bool:
        return self.task is not None and not self.task.done()

    # --- requests --------------------------------------------------------------------------------------

    def meet(self, tenant: str, key: bytes, route: str, service: str, name: bytes, end: float) -> Caught:
        """What becomes of a request whose client gives up at `end`, steady time."""
        now = time.monotonic()
        trial = self.catch.match(now, tenant, key, route, service, name)
        if trial is None:
            return FREE
        if trial.does == DELAY:
            self.catch.forwarded += 1
            return Caught(hold=min(trial.delay, LEFT * max(0.0, end - now)))
        if trial.does == LOSE:
            self.catch.forwarded += 1
            return Caught(lose=True)
        self.host.refusal_log.record(TRIAL)
        if trial.does == CLOSE:
            return Caught(Answer(CLOSE_CONNECTION))
        return Caught(Answer(trial.status, TEXT, retry_after=trial.after))

    # --- the core --------------------------------------------------------------------------------------

    def others(self) -> tuple[int, int]:
        """Requests under no trial, and those of them that ended without service for want of servers."""
        return self.host.request_count - self.catch.forwarded, self.host.refusal_log.refusals.count_unserved()

    async def renew(self) -> None:
        """While a trial runs: ask, tell, and take what is answered."""
        now = time.monotonic()
        self.before = self.past(now)
        while self.catch.has_running_trial(time.monotonic()):
            asked, failed = self.others()
            now = time.monotonic()
            message = {
                "k": "trial", "v": self.catch.trials.version, "c": self.catch.counts(now),
                "o": [asked, failed, *self.before],
            }  # fmt: skip
            calls = [self.ask(line, message) for line in self.lines()]
            await asyncio.gather(*calls, asyncio.sleep(RENEWAL_INTERVAL_S))
        for line in self.lines():  # what it came to
            line.send({"k": "trial", "v": self.catch.trials.version, "c": self.catch.counts(now)})

    def past(self, now: float) -> tuple[int, int]:
        """Requests and failures of the last KEPT seconds, as they were kept."""
        asked, failed = self.others()
        first = next(((a, f) for at, a, f in self.kept if now - at <= KEPT), (asked, failed))
        return asked - first[0], failed - first[1]

    async def ask(self, line: Connector, message: dict[str, Any]) -> None:
        began = time.monotonic()
        try:
            told = await line.call(message, CALL)
            if isinstance(told.get("t"), str) and told["t"]:
                self.use(told["t"])
            if told.get("age") is not None:
                self.catch.renew_lease(int(told["v"]), began, float(told["age"]))
        except TransportError:
            pass
        except (KeyError, TypeError, ValueError):
            self.spoilt += 1

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
