"""A day's events and observations, indexed for the checkers of the rules.  Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ivymux.simulation.day_file import (
    BackendRun,
    ClientAnswer,
    ClientDisconnect,
    ClientRequest,
    ConfigurationChange,
    CrashBackend,
    Day,
    Event,
    FreezeMachine,
    KillMachine,
    Observation,
    QuiesceBackend,
    ReadinessChange,
    RecorderStall,
    RunEnd,
    StartMachine,
)  # fmt: skip

QUIET_PERIOD_S = 3.0  # time without a killed or started machine before rules on time apply


@dataclass(frozen=True, slots=True)
class Breach:
    """One observation that breaks a rule."""

    rule: str
    id: str  # of the request, or the name of what else broke the rule
    text: str

    def __str__(self) -> str:
        return f"{self.rule} {self.id}: {self.text}"


@dataclass(frozen=True, slots=True)
class History:
    """The events of a day and what was observed."""

    day: Day
    observations: list[Observation]
    requests: dict[str, ClientRequest]  # by id
    changes: list[ConfigurationChange]  # by version
    runs: dict[str, list[BackendRun]]  # by request id, in the recorded order
    answers: dict[str, ClientAnswer]  # by request id
    disconnects: dict[str, float]  # by request id: when its client disconnected
    run_ends: dict[tuple[str, str], list[RunEnd]]  # by request id and backend
    readiness: dict[int, list[ReadinessChange]]  # by proxy number
    kills: list[KillMachine]
    starts: list[StartMachine]
    freezes: list[FreezeMachine]
    stalls: list[RecorderStall]
    crashes: list[CrashBackend]
    quiesced_backends: set[str]  # backends that quiesce on this day

    @classmethod
    def of(cls, day: Day, events: Iterable[Event], observations: Iterable[Observation]) -> History:
        """Index the events and observations of a day."""
        events, observations = list(events), list(observations)
        runs: dict[str, list[BackendRun]] = defaultdict(list)
        run_ends: dict[tuple[str, str], list[RunEnd]] = defaultdict(list)
        readiness: dict[int, list[ReadinessChange]] = defaultdict(list)
        for record in observations:
            if isinstance(record, BackendRun):
                runs[record.id].append(record)
            elif isinstance(record, RunEnd):
                run_ends[record.id, record.backend].append(record)
            elif isinstance(record, ReadinessChange):
                readiness[record.door].append(record)
        changes = [event for event in events if isinstance(event, ConfigurationChange)]
        return cls(
            day=day,
            observations=observations,
            requests={event.id: event for event in events if isinstance(event, ClientRequest)},
            changes=sorted(changes, key=lambda change: change.version),
            runs=runs,
            answers={record.id: record for record in observations if isinstance(record, ClientAnswer)},
            disconnects={
                record.id: record.at for record in observations if isinstance(record, ClientDisconnect)
            },
            run_ends=run_ends,
            readiness=readiness,
            kills=[event for event in events if isinstance(event, KillMachine)],
            starts=[event for event in events if isinstance(event, StartMachine)],
            freezes=[event for event in events if isinstance(event, FreezeMachine)],
            stalls=[record for record in observations if isinstance(record, RecorderStall)],
            crashes=[event for event in events if isinstance(event, CrashBackend)],
            quiesced_backends={event.backend for event in events if isinstance(event, QuiesceBackend)},
        )

    def all_runs(self) -> Iterable[tuple[str, BackendRun]]:
        """Yield the request id and the run, for each run of each request."""
        return ((id, run) for id, runs in self.runs.items() for run in runs)

    def fault_times(self, machine: str = "") -> list[float]:
        """Return when machines, or the given one, were killed or started."""
        kills = [kill.at for kill in self.kills if machine in ("", kill.machine)]
        return kills + [start.at for start in self.starts if machine in ("", start.machine)]

    def is_frozen(self, since: float, until: float) -> bool:
        """Whether a machine was frozen within a span, or up to `QUIET_PERIOD_S` before it."""
        return any(
            freeze.at <= until and freeze.at + freeze.seconds + QUIET_PERIOD_S >= since
            for freeze in self.freezes
        )

    def has_stall(self, since: float, until: float) -> bool:
        """Whether the recorder stalled within a span: it then recorded times that are too late."""
        return any(stall.at <= until and stall.at + stall.seconds >= since for stall in self.stalls)

    def is_quiet(self, since: float, until: float | None = None) -> bool:
        """Whether rules on time apply to a moment, or to a span up to `until`.

        They do if no machine was killed, started or frozen from `QUIET_PERIOD_S` before it up to its end, and
        if the recorder did not stall within it.
        """
        end = since if until is None else until
        if self.has_stall(since, end) or self.is_frozen(since, end):
            return False
        return not any(since - QUIET_PERIOD_S <= at <= end for at in self.fault_times())

    def crashed_during(self, run: BackendRun, waits_s: float) -> bool:
        """Whether the backend of a run crashed while the run's client waited."""
        return any(
            crash.backend == run.backend and run.at <= crash.at <= run.at + waits_s for crash in self.crashes
        )

    def run_end_time(self, run: BackendRun) -> float:
        """Return when a backend's work on a run ended; infinite where no end was recorded."""
        ends = [end.at for end in self.run_ends.get((run.id, run.backend), ()) if end.at >= run.at]
        return min(ends, default=math.inf)


Checker = Callable[[History], Iterable[Breach]]


def is_repeatable(request: ClientRequest) -> bool:
    """Whether a request may run more than once."""
    return not request.path.startswith("/sign/")
