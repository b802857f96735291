"""The file format of a day: timed events that replay plays, and what was observed from outside.  Pure.

JSON Lines.  The first record is the `day`, then follow its events (`at` in seconds from the beginning of the
day) and, in a recorded day, the observations.  A recorded day can be played again, without its observations.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Literal

import msgspec

from ivymux.simulation.misbehaving_clients import MISBEHAVIOURS, PORTS

MAX_LINE_BYTES = 1 << 16
MAX_LINES = 500_000
MAX_DAY_S = 3600
FORMAT = 3  # version of the format that is written
READABLE_FORMATS = (1, 2, 3)  # an older format lacks fields, which have defaults, and kinds of records

# Parameters of a day that is drawn at random.
DISCONNECT_SHARE = 0.2  # of the reads, those whose clients disconnect
DISCONNECT_AFTER_S = 0.1
SLOW_RUNS = 5  # consecutive slow requests of a backend


class DayError(ValueError):
    """The file is not a valid day; the message is one line that says where and what to write."""


class Record(msgspec.Struct, frozen=True, tag_field="is", forbid_unknown_fields=True):
    """One line of the file."""


class Day(Record, frozen=True, tag="day"):
    """The system of the day: machines, the number of backends of each service, one tenant and its quota."""

    v: int  # format of the file
    seed: int
    cores: int = 3
    doors: int = 2  # proxies
    services: dict[str, int] = msgspec.field(default_factory=lambda: {"archive": 3, "desk": 2})
    rate: float = 500.0  # requests per second
    burst: float = 500.0
    work: float = 0.0  # seconds that a backend takes for a request
    grace: float = 3.0  # seconds between SIGTERM and SIGKILL


class ClientRequest(Record, frozen=True, tag="ask"):
    """A client sends a request once.  Requests to /sign/ must not run twice; all others are repeatable."""

    at: float
    id: str
    door: int  # number of the proxy
    path: str
    method: str = "GET"
    key: str = "key-one"
    waits: float = 2.0  # seconds that the client waits, sent along as its remaining time
    leaves: float = 0.0  # seconds after which the client disconnects without an answer; 0: never
    body: int = 0  # bytes that the client sends as its body
    work: float = 0.0  # seconds that a backend takes for it, beyond the day's `work`
    answer: int = 0  # bytes of the backend's answer, which is padded with spaces; 0: its usual answer


class ConfigurationChange(Record, frozen=True, tag="change"):
    """The operator sends a configuration, first to the given core machine: routes and their services."""

    at: float
    core: int
    version: int
    routes: dict[str, str]


class KillMachine(Record, frozen=True, tag="kill"):
    """A machine's processes get SIGKILL or SIGTERM, or are killed and lose their data."""

    at: float
    machine: str  # core-0, door-1
    how: Literal["kill", "term", "wipe"] = "kill"


class StartMachine(Record, frozen=True, tag="start"):
    """A machine starts again."""

    at: float
    machine: str


class FreezeMachine(Record, frozen=True, tag="freeze"):
    """A machine's processes get SIGSTOP, and SIGCONT later."""

    at: float
    machine: str
    seconds: float


class ReloadMachine(Record, frozen=True, tag="reload"):
    """A machine's settings file is written anew, and its processes get SIGHUP."""

    at: float
    machine: str


class QuiesceBackend(Record, frozen=True, tag="leave"):
    """A backend announces that it quiesces, still serves for a while, and stops."""

    at: float
    backend: str  # archive-0
    stays: float = 2.6  # seconds that it serves after its quiescing was acknowledged


class CrashBackend(Record, frozen=True, tag="crash"):
    """A backend ends without a word, and is back later at its address under another instance id."""

    at: float
    backend: str
    seconds: float  # until it is back


class SpoilAnswers(Record, frozen=True, tag="spoil"):
    """A backend spoils its next answers.

    They are lost after the request has run, lack their seal, refuse the request because the backend is full,
    or are slow.
    """

    at: float
    backend: str
    how: Literal["lost", "unsealed", "full", "slow"]
    count: int = 1


class SendCrowd(Record, frozen=True, tag="crowd"):
    """Clients that don't keep to the limits (misbehaving_clients.py) send to one port for a while."""

    at: float
    machine: str
    port: str
    misbehaviour: str
    connections: int
    bytes: int  # sent on each connection, and on those opened in its place
    seconds: float  # after which those that have not sent all leave


class ClientAnswer(Record, frozen=True, tag="answered"):
    """What a client received; the status is 0 if the connection ended without an answer."""

    at: float
    sent: float
    id: str
    status: int
    named: str = ""  # id of the request that the answer names
    seal: str = ""
    body: str = ""


class BackendRun(Record, frozen=True, tag="ran"):
    """A request as a backend received it."""

    at: float
    id: str
    service: str
    backend: str
    method: str
    target: str
    tenant: str
    key: bool  # whether the client's key was passed on
    done: bool  # False if the backend refused the request
    remaining: float = -1.0  # seconds of remaining time that the backend received; -1: none
    work: float = 0.0  # seconds that the request takes


class RunEnd(Record, frozen=True, tag="ended"):
    """A backend's work on a request ended: completed (`whole`), or because its connection closed."""

    at: float
    id: str
    backend: str
    whole: bool


class ClientDisconnect(Record, frozen=True, tag="departed"):
    """A client disconnected before its answer arrived."""

    at: float
    id: str


class ReadinessChange(Record, frozen=True, tag="ready"):
    """A proxy's readiness, recorded when it differs from the one before."""

    at: float
    door: int  # number of the proxy
    ready: bool


class RecorderStall(Record, frozen=True, tag="stalled"):
    """The recording process was stalled: observations of this time may have happened earlier."""

    at: float
    seconds: float


class ChangeAnswer(Record, frozen=True, tag="told"):
    """The final answer to a configuration change."""

    at: float
    sent: float
    version: int
    status: int


class BackendQuiesced(Record, frozen=True, tag="left"):
    """A backend's quiescing was acknowledged."""

    at: float
    backend: str
    sent: float = -1.0  # when the backend first announced that it quiesces; -1: not recorded


class ConfigurationRead(Record, frozen=True, tag="read"):
    """The configuration that the operator read at the end of the day."""

    at: float
    version: int
    same: bool  # whether it equals the text that was sent under this version


class ProcessEnd(Record, frozen=True, tag="process-ended"):
    """A process that ended without being asked to; a negative code is the signal that ended it."""

    at: float  # the end of the day, as the time of the end is not recorded
    machine: str
    role: str
    code: int


class ProcessUse(Record, frozen=True, tag="process-used"):
    """The most that the processes of one machine and role used at one time."""

    at: float
    machine: str
    role: str
    memory_mb: float
    descriptors: int


Event = (
    ClientRequest
    | ConfigurationChange
    | KillMachine
    | StartMachine
    | FreezeMachine
    | ReloadMachine
    | QuiesceBackend
    | CrashBackend
    | SpoilAnswers
    | SendCrowd
)
Observation = (
    ClientAnswer
    | BackendRun
    | RunEnd
    | ClientDisconnect
    | ReadinessChange
    | RecorderStall
    | ChangeAnswer
    | BackendQuiesced
    | ConfigurationRead
    | ProcessEnd
    | ProcessUse
)
RECORD_DECODER = msgspec.json.Decoder(Day | Event | Observation)
EVENT_TYPES = (
    ClientRequest,
    ConfigurationChange,
    KillMachine,
    StartMachine,
    FreezeMachine,
    ReloadMachine,
    QuiesceBackend,
    CrashBackend,
    SpoilAnswers,
    SendCrowd,
)


def read(data: bytes) -> tuple[Day, list[Event], list[Observation]]:
    """Read a day, its events in order of time, and its observations.  Raises DayError."""
    lines = data.splitlines()
    if len(lines) > MAX_LINES:
        raise DayError(f"{len(lines)} lines; {MAX_LINES} at most: cut the day in parts")
    day: Day | None = None
    events: list[Event] = []
    observations: list[Observation] = []
    for number, line in enumerate(lines, 1):
        record = decode_line(line, number)
        if isinstance(record, Day):
            if day is not None or number > 1:
                raise DayError(f"line {number}: a second day; one file holds one")
            day = record
        elif day is None:
            raise DayError('line 1: the day itself comes first, as {"is":"day","v":1,"seed":1}')
        elif isinstance(record, EVENT_TYPES):
            events.append(record)
        else:
            observations.append(record)
    if day is None:
        raise DayError("an empty file; write one with --make")
    if day.v not in READABLE_FORMATS:
        raise DayError(f"line 1: v is {day.v}; this program reads {FORMAT}")
    for number, event in enumerate(events, 1):
        validate_event(day, event, number)
    return day, sorted(events, key=lambda event: event.at), observations


def decode_line(line: bytes, number: int) -> Day | Event | Observation:
    """Decode the line with this number, from 1.  Raises DayError."""
    if len(line) > MAX_LINE_BYTES:
        raise DayError(f"line {number}: {len(line)} bytes; {MAX_LINE_BYTES} at most")
    try:
        record: Day | Event | Observation = RECORD_DECODER.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DayError(f"line {number}: {error}; see docs/operators/replay.md") from None
    return record


def validate_event(day: Day, event: Event, number: int) -> None:
    """Check that an event names machines and backends of the day.  Raises DayError."""
    backends = {f"{service}-{n}" for service, count in day.services.items() for n in range(count)}
    machines = {f"core-{n}" for n in range(day.cores)} | {f"door-{n}" for n in range(day.doors)}
    if not 0 <= event.at <= MAX_DAY_S:
        raise DayError(f"event {number}: at {event.at}; write 0 to {MAX_DAY_S} seconds")
    if isinstance(event, ClientRequest) and not 0 <= event.door < day.doors:
        raise DayError(f"event {number}: door {event.door}; there are {day.doors}, from 0")
    if isinstance(event, ConfigurationChange) and not 0 <= event.core < day.cores:
        raise DayError(f"event {number}: core {event.core}; there are {day.cores}, from 0")
    about_machine = KillMachine | StartMachine | FreezeMachine | ReloadMachine | SendCrowd
    if isinstance(event, about_machine) and event.machine not in machines:
        names = ", ".join(sorted(machines))
        raise DayError(f"event {number}: no machine {event.machine!r}; there are {names}")
    if isinstance(event, SendCrowd) and event.misbehaviour not in MISBEHAVIOURS:
        raise DayError(
            f"event {number}: misbehaviour {event.misbehaviour!r}; write {', '.join(MISBEHAVIOURS)}"
        )
    if isinstance(event, SendCrowd) and event.port not in PORTS:
        raise DayError(f"event {number}: port {event.port!r}; write {', '.join(PORTS)}")
    about_backend = QuiesceBackend | CrashBackend | SpoilAnswers
    if isinstance(event, about_backend) and event.backend not in backends:
        names = ", ".join(sorted(backends))
        raise DayError(f"event {number}: no backend {event.backend!r}; there are {names}")


def write(records: Iterable[Day | Event | Observation]) -> bytes:
    """Encode records, one on each line."""
    return b"".join(msgspec.json.encode(record) + b"\n" for record in records)


def draw(seed: int, seconds: float = 20.0, rate: float = 40.0) -> tuple[Day, list[Event]]:
    """Draw a day by its seed: `rate` requests per second, and each kind of fault at least once."""
    rng = random.Random(seed)
    day = Day(FORMAT, seed)
    events: list[Event] = []
    at, number = 0.0, 0
    while (at := at + rng.expovariate(rate)) < seconds:
        number += 1
        is_sign = rng.random() < 0.4
        events.append(
            ClientRequest(
                round(at, 4), f"r{number}", rng.randrange(day.doors),
                f"/{'sign' if is_sign else 'read'}/{number}", "POST" if is_sign else "GET",
            )
        )  # fmt: skip
    version = 1
    for fraction in (0.1, 0.35, 0.6, 0.8):
        version += rng.randint(1, 4)
        is_moved = rng.random() < 0.5
        events.append(
            ConfigurationChange(
                round(seconds * fraction, 3), rng.randrange(day.cores), version,
                {"read": "desk" if is_moved else "archive", "sign": "desk"},
            )
        )  # fmt: skip
    core = f"core-{rng.randrange(day.cores)}"
    events += [
        KillMachine(round(seconds * 0.25, 3), core, rng.choice(("kill", "wipe"))),
        StartMachine(round(seconds * 0.25 + 1.0, 3), core),
        KillMachine(round(seconds * 0.5, 3), "door-1", rng.choice(("kill", "term"))),
        StartMachine(round(seconds * 0.5 + 4.0, 3), "door-1"),
        QuiesceBackend(round(seconds * 0.7, 3), "archive-2"),
    ]
    for fraction in (0.15, 0.45, 0.75):
        how: list[Literal["lost", "unsealed", "full"]] = ["lost", "unsealed", "full"]
        backend = f"desk-{rng.randrange(2)}"
        events.append(SpoilAnswers(round(seconds * fraction, 3), backend, rng.choice(how), 3))
    return day, sorted(add_disconnects(seed, seconds, events), key=lambda event: event.at)


def add_disconnects(seed: int, seconds: float, events: list[Event]) -> list[Event]:
    """Let clients of some reads disconnect, and make backends slow for a while.

    A separate random generator draws these, so that the given events do not depend on them.
    """
    rng = random.Random(f"departures {seed}")
    changed: list[Event] = [
        msgspec.structs.replace(event, leaves=DISCONNECT_AFTER_S)
        if isinstance(event, ClientRequest)
        and event.path.startswith("/read/")
        and rng.random() < DISCONNECT_SHARE
        else event
        for event in events
    ]
    for fraction in (0.2, 0.4, 0.65):
        backend = f"archive-{rng.randrange(2)}"
        changed.append(SpoilAnswers(round(seconds * fraction, 3), backend, "slow", SLOW_RUNS))
    return changed
