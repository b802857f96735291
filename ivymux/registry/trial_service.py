"""Trials at a registry: operators' calls, proxies' reports, and the loop that ends trials.

Imported on first use.

The set of trials is a replicated setting of the config store, written by compare-and-set on the version
that was read.  While a trial runs, the set is read every READ_INTERVAL_S from the config store's primary.
Each answer to a proxy says how old that reading is, and the proxy's lease counts from the time of the
reading.  Every registry ends the trials whose time is over and those that the guard stops; it is no error if
another registry has ended them first.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from ivymux.config_store.calls import PutSetting, ReadSetting, encode
from ivymux.data_plane.frontend import Answer
from ivymux.fault_injection import TRIALS, trial_set
from ivymux.fault_injection.guard import Guard, GuardError
from ivymux.fault_injection.trial_set import Trial, TrialError, TrialSet
from ivymux.routing_config.route_plan import RoutePlan, RoutingConfigError, parse_route_plan
from ivymux.runtime.log import Log
from ivymux.transport.connection import Connection, TransportError
from ivymux.transport.frames import Message
from ivymux.transport.http_calls import JSON, HttpRequest, error_answer

if TYPE_CHECKING:
    from ivymux.registry.program import Registry

READ_INTERVAL_S = 0.4  # while a trial runs
STORE_CALL_TIMEOUT_S = 0.8
REPORT_TTL_S = 30.0  # a proxy's last report is shown this long
MAX_COUNT = 1 << 53  # up to it, every JSON reader keeps whole numbers exact
MAX_LISTED_PROXIES = 2000  # in the status of one trial
MAX_NAME_CHARS = 48  # of a trial, in a proxy's report
MAX_WRITE_ATTEMPTS = 5  # of a change, when others write in between
NEVER = -1e9  # steady time
ENDED_BY_SYSTEM = "ivymux"  # the author of an end that no operator ordered
UNAVAILABLE = "no core machine can answer for trials just now; repeat the call"
TOO_MANY_CHANGES = "trials change too fast; repeat the call"

log = Log("registry")


class TrialCounts(NamedTuple):
    """What one proxy reports of one trial."""

    is_in_force: bool
    requests: int
    injected: int
    running_s: float


@dataclass(slots=True)
class ProxyReport:
    """A proxy's last report about trials."""

    received_at: float
    version: int  # of the set of trials that the proxy has
    zone: str
    counts: dict[str, TrialCounts]  # by the trial's name


@dataclass(slots=True)
class TrialService:
    """The trials of one registry."""

    registry: Registry
    max_trial_s: float
    trials: TrialSet = field(default_factory=TrialSet)
    read_at: float = NEVER  # steady time at which the last reading was requested
    reports: dict[str, ProxyReport] = field(default_factory=dict)  # by proxy
    guard: Guard = field(default_factory=Guard)
    watcher: asyncio.Task[None] | None = None
    cached_plan: RoutePlan | None = None

    # --- the set of trials -----------------------------------------------------------------------------

    def apply(self, text: str) -> None:
        """Take the replicated setting's text that is in force."""
        try:
            trials = trial_set.decode(text)
        except TrialError as error:
            log.info(f"{error}; these trials are ignored.")
            return
        if trials.version > self.trials.version:
            self.trials = trials
            if not trials.running:
                self.guard = Guard()
        if self.trials.running and (self.watcher is None or self.watcher.done()):
            self.watcher = asyncio.get_running_loop().create_task(self.watch_running())

    async def read_trials(self) -> TrialSet | None:
        """Read the set of trials from the config store's primary; None if no primary can be reached."""
        requested_at = time.monotonic()
        call = encode(ReadSetting(TRIALS))
        try:
            reply = await self.registry.config_store.call(call, STORE_CALL_TIMEOUT_S)
        except TransportError:
            return None
        if reply.get("ok") is not True:
            return None
        version, text = int(reply["version"]), str(reply["text"])
        if text:
            self.apply(text)
        if version >= self.trials.version:  # otherwise a newer set has arrived in the meantime
            self.read_at = max(self.read_at, requested_at)
        return self.trials if version == self.trials.version else trial_set.decode(text)

    async def write_trials(self, trials: TrialSet) -> bool:
        """Replace the previous version by `trials`; return False if another write came first.

        Raises TrialError.
        """
        setting = PutSetting(TRIALS, trials.version, trials.encode(), based_on=trials.version - 1)
        try:
            reply = await self.registry.config_store.call(encode(setting), STORE_CALL_TIMEOUT_S)
        except TransportError as error:
            raise TrialError(f"the store does not answer: {error}; repeat the call", 503) from None
        if reply.get("ok") is not True:
            raise TrialError("no core machine can take a change just now; repeat the call", 503)
        if reply.get("taken") is False:
            return False
        self.apply(trials.encode())
        return True

    async def watch_running(self) -> None:
        """While a trial runs: renew the reading, and end trials that are over or that the guard stops."""
        while self.trials.running and not self.registry.is_stopping:
            await asyncio.gather(self.read_trials(), asyncio.sleep(READ_INTERVAL_S))
            now = time.time()
            trip_reason = self.guard.trip_reason(time.monotonic())
            names = trial_set.expired_trials(self.trials, now)
            if trip_reason:
                names = [trial.name for trial in self.trials.running]
            why = f"guard: {trip_reason}" if trip_reason else trial_set.EXPIRED
            for name in names:
                try:
                    await self.end_trial(name, ENDED_BY_SYSTEM, why)
                except TrialError:
                    continue  # ended by another registry, or there is no primary: the next round tries again
                log.info(f"trial {name} is ended: {trip_reason or trial_set.EXPIRED}.")

    async def end_trial(self, name: str, by: str, why: str) -> Trial:
        """End one trial and return it.  Raises TrialError."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            trials = await self.read_trials()
            if trials is None:
                raise TrialError(UNAVAILABLE, 503)
            requests, injected = self.total_counts(name)
            changed = trial_set.end_trial(trials, name, by, why, time.time(), requests, injected)
            if await self.write_trials(changed):
                return changed.past[0]
        raise TrialError(TOO_MANY_CHANGES, 503)

    # --- proxies -----------------------------------------------------------------------------------------

    def on_proxy_message(self, connection: Connection, message: Message, proxy: str, zone: str) -> None:
        """Take a proxy's report and answer its question for the trials.  Raises ValueError if invalid."""
        now = time.monotonic()
        version = int(message["v"])
        counts = {}
        for name, (is_in_force, requests, injected, running_s) in dict(message["c"]).items():
            if not 0 <= int(injected) <= int(requests) < MAX_COUNT:
                raise ValueError("counts of a trial")
            counts[str(name)[:MAX_NAME_CHARS]] = TrialCounts(
                bool(is_in_force), int(requests), int(injected), float(running_s)
            )
        if len(counts) > trial_set.MAX_RUNNING:
            raise ValueError("too many trials")
        self.reports[proxy] = ProxyReport(now, version, zone, counts)
        others = message.get("o")
        if others is not None:
            requests, failures, requests_before, failures_before = map(int, others)
            try:
                self.guard.report(proxy, now, requests, failures, (requests_before, failures_before))
            except GuardError as error:
                raise ValueError(str(error)) from None
        if "n" in message:
            has_read = self.read_at > NEVER
            connection.answer(
                message,
                v=self.trials.version,
                age=round(now - self.read_at, 3) if has_read else None,
                t=self.trials.encode() if version != self.trials.version else "",
            )

    def total_counts(self, name: str) -> tuple[int, int]:
        """The requests of a trial's caller and the injected ones, over all proxies that reported."""
        found = [report.counts[name] for report in self.reports.values() if name in report.counts]
        return sum(counts.requests for counts in found), sum(counts.injected for counts in found)

    # --- operators' calls --------------------------------------------------------------------------------

    def describe_status(self, trial: Trial) -> dict[str, Any]:
        """One trial with what each proxy reports of it."""
        now = time.monotonic()
        requests, injected = self.total_counts(trial.name)
        in_force_at, not_in_force_at = [], []
        for proxy in sorted({proxy.id for proxy in self.registry.proxies.values()})[:MAX_LISTED_PROXIES]:
            report = self.reports.get(proxy)
            counts = None
            if report is not None and now - report.received_at < REPORT_TTL_S:
                counts = report.counts.get(trial.name)
            if counts is None or not counts.is_in_force:
                not_in_force_at.append(proxy)
            else:
                in_force_at.append(
                    {
                        "door": proxy,
                        "for_s": counts.running_s,
                        "asked": counts.requests,
                        "caught": counts.injected,
                    }
                )
        return {
            **trial_set.describe(trial),
            "asked": requests or trial.asked,
            "caught": injected or trial.caught,
            "in_force_at": in_force_at,
            "not_in_force_at": not_in_force_at,
        }

    def current_plan(self) -> RoutePlan | None:
        """The plan of the configuration that this machine has; None if there is none."""
        version, text = self.registry.config_version, self.registry.config_text
        if version < 0:
            return None
        if self.cached_plan is None or self.cached_plan.version != version:
            try:
                self.cached_plan = parse_route_plan(text.encode())
            except RoutingConfigError:
                return None
        return self.cached_plan

    async def handle_put(self, request: HttpRequest) -> Answer:
        """Start a trial, or only describe it if the call says `dry_run`."""
        from ivymux.fault_injection.validation import decode_trial  # slow to import

        try:
            document = decode_trial(request.body)
            for _ in range(MAX_WRITE_ATTEMPTS):
                trials = await self.read_trials()
                if trials is None:
                    return error_answer(503, UNAVAILABLE)
                trial = trial_set.create_trial(
                    request.name, document, self.current_plan(), time.time(), self.max_trial_s
                )
                running = next((t for t in trials.running if t.name == trial.name), None)
                if running is not None and is_same_order(running, trial):
                    return json_answer(self.describe_status(running))  # a repeat: its first answer was lost
                changed = trial_set.start_trial(trials, trial)
                if document.dry_run:
                    return json_answer({"dry_run": True, **trial_set.describe(trial)})
                if await self.write_trials(changed):
                    log.info(f"trial {trial.name} is started: {trial.does}, share {trial.share:g}.")
                    return json_answer(self.describe_status(trial))
        except TrialError as error:
            return error_answer(error.status, str(error))
        return error_answer(503, TOO_MANY_CHANGES)

    async def handle_end(self, request: HttpRequest) -> Answer:
        """End a trial by an operator's order."""
        from ivymux.fault_injection.validation import decode_end  # slow to import

        try:
            document = decode_end(request.body)
            ended = await self.end_trial(request.name, document.by, document.why)
        except TrialError as error:
            return error_answer(error.status, str(error))
        log.info(f"trial {request.name} is ended by an operator.")
        return json_answer(trial_set.describe(ended))

    async def handle_list(self) -> Answer:
        """Describe all trials, running and past."""
        trials = await self.read_trials()
        if trials is None:
            return error_answer(503, UNAVAILABLE)
        return json_answer(
            {
                "board_version": trials.version,
                "running": [self.describe_status(trial) for trial in trials.running],
                "past": [trial_set.describe(trial) for trial in trials.past],
            }
        )

    async def handle_get(self, name: str) -> Answer:
        """Describe one trial."""
        trials = await self.read_trials()
        if trials is None:
            return error_answer(503, UNAVAILABLE)
        trial = trials.find(name)
        if trial is None:
            return error_answer(404, f"there is no trial {name[:60]!r}; GET /trials lists them")
        return json_answer(trial_set.describe(trial) if trial.ended else self.describe_status(trial))


def is_same_order(one: Trial, other: Trial) -> bool:
    """Whether two trials come from the same order sent twice: they differ only in when it arrived."""
    return replace(one, made=other.made, at=other.at) == other


def json_answer(body: dict[str, Any]) -> Answer:
    return Answer(200, msgspec.json.encode(body), JSON)
