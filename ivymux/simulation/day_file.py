"""A day as a file: what clients, backends, an operator and faults do, and what was seen from outside.  Pure.

JSON, one object a line.  The first line is the `day`; then what is done (`at` seconds from its beginning),
then, in a record, what was seen.  A record can be played again: what was seen is left out then.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Literal

import msgspec

MAX_LINE = 1 << 16  # bytes
MAX_LINES = 500_000
FORMAT = 2
LEAVING = 0.2  # of the reads of a drawn day, whose clients leave
LEAVES_AFTER = 0.1  # seconds
SLOW_RUN = 5  # slow requests of a backend in a row
READABLE = (1, 2)  # an older form lacks fields, which have defaults


class DayError(ValueError):
    """A file that is no day; the text is one plain line with the place and the mend."""


class Line(msgspec.Struct, frozen=True, tag_field="is", forbid_unknown_fields=True):
    pass


class Day(Line, frozen=True, tag="day"):
    """What there is: machines, backends of each service, one tenant and its quota."""

    v: int
    seed: int
    cores: int = 3
    doors: int = 2
    services: dict[str, int] = msgspec.field(default_factory=lambda: {"archive": 3, "desk": 2})
    rate: float = 500.0
    burst: float = 500.0
    work: float = 0.0  # seconds that a backend takes for a request


class Ask(Line, frozen=True, tag="ask"):
    """A client's try.  Requests to /sign/ may run once; all others may be repeated."""

    at: float
    id: str
    door: int
    path: str
    method: str = "GET"
    key: str = "key-one"
    waits: float = 2.0  # seconds that its client waits, as it says
    leaves: float = 0.0  # seconds after which its client leaves without a word; 0: it does not


class Change(Line, frozen=True, tag="change"):
    """The operator's configuration, at one core machine first: routes and their services."""

    at: float
    core: int
    version: int
    routes: dict[str, str]


class Kill(Line, frozen=True, tag="kill"):
    at: float
    machine: str  # core-0, door-1
    how: Literal["kill", "term", "wipe"] = "kill"


class Start(Line, frozen=True, tag="start"):
    at: float
    machine: str


class Leave(Line, frozen=True, tag="leave"):
    """A backend says that it leaves, serves on for a while, and is gone."""

    at: float
    backend: str  # archive-0
    stays: float = 2.6  # seconds that it serves on once its leaving was heard


class Spoil(Line, frozen=True, tag="spoil"):
    """A backend's next answers: lost once they have run, without a seal, refused as it is full, or slow."""

    at: float
    backend: str
    how: Literal["lost", "unsealed", "full", "slow"]
    count: int = 1


class Answered(Line, frozen=True, tag="answered"):
    """What a client saw; status 0 where no answer came."""

    at: float
    sent: float
    id: str
    status: int
    named: str = ""  # the request that the answer names
    seal: str = ""
    body: str = ""


class Ran(Line, frozen=True, tag="ran"):
    """What a backend saw."""

    at: float
    id: str
    service: str
    backend: str
    method: str
    target: str
    tenant: str
    key: bool  # whether the client's key came along
    done: bool  # False where it was turned away
    remaining: float = -1.0  # seconds that were left of its time, as it was told; -1: it was not
    work: float = 0.0  # seconds that it takes there


class Ended(Line, frozen=True, tag="ended"):
    """A backend's work on a request ended: by itself (`whole`), or as its connection closed."""

    at: float
    id: str
    backend: str
    whole: bool


class Departed(Line, frozen=True, tag="departed"):
    """A client left before its answer."""

    at: float
    id: str


class Ready(Line, frozen=True, tag="ready"):
    """A door's answer to the question whether it takes clients, where it has changed."""

    at: float
    door: int
    ready: bool


class Stalled(Line, frozen=True, tag="stalled"):
    """Who wrote all this down stood still: what is said to have been seen then may have been earlier."""

    at: float
    seconds: float


class Told(Line, frozen=True, tag="told"):
    """How a change was answered in the end."""

    at: float
    sent: float
    version: int
    status: int


class Left(Line, frozen=True, tag="left"):
    """A backend's leaving was acknowledged."""

    at: float
    backend: str
    sent: float = -1.0  # when it was said first; -1: not recorded


class Read(Line, frozen=True, tag="read"):
    """What the operator read at the end."""

    at: float
    version: int
    same: bool  # as it was sent under that number


Doing = Ask | Change | Kill | Start | Leave | Spoil
Seen = Answered | Ran | Ended | Departed | Ready | Stalled | Told | Left | Read
LINES = msgspec.json.Decoder(Day | Doing | Seen)
DOING = (Ask, Change, Kill, Start, Leave, Spoil)


def read(data: bytes) -> tuple[Day, list[Doing], list[Seen]]:
    """A day, what is done on it and what was seen.  Raises DayError."""
    lines = data.splitlines()
    if len(lines) > MAX_LINES:
        raise DayError(f"{len(lines)} lines; {MAX_LINES} at most: cut the day in parts")
    day: Day | None = None
    doing: list[Doing] = []
    seen: list[Seen] = []
    for number, line in enumerate(lines, 1):
        if len(line) > MAX_LINE:
            raise DayError(f"line {number}: {len(line)} bytes; {MAX_LINE} at most")
        try:
            found = LINES.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise DayError(f"line {number}: {error}; see the page of replay") from None
        if isinstance(found, Day):
            if day is not None or number > 1:
                raise DayError(f"line {number}: a second day; one file holds one")
            day = found
        elif day is None:
            raise DayError('line 1: the day itself comes first, as {"is":"day","v":1,"seed":1}')
        elif isinstance(found, DOING):
            doing.append(found)
        else:
            seen.append(found)
    if day is None:
        raise DayError("an empty file; write one with --make")
    if day.v not in READABLE:
        raise DayError(f"line 1: v is {day.v}; this program reads {FORMAT}")
    for number, event in enumerate(doing, 2):
        fits(day, event, number)
    return day, sorted(doing, key=lambda e: e.at), seen


def fits(day: Day, event: Doing, number: int) -> None:
    """Whether an event names what there is.  Raises DayError."""
    backends = {f"{service}-{n}" for service, count in day.services.items() for n in range(count)}
    machines = {f"core-{n}" for n in range(day.cores)} | {f"door-{n}" for n in range(day.doors)}
    if not 0 <= event.at <= 3600:
        raise DayError(f"event {number - 1}: at {event.at}; write 0 to 3600 seconds")
    if isinstance(event, Ask) and not 0 <= event.door < day.doors:
        raise DayError(f"event {number - 1}: door {event.door}; there are {day.doors}, from 0")
    if isinstance(event, Change) and not 0 <= event.core < day.cores:
        raise DayError(f"event {number - 1}: core {event.core}; there are {day.cores}, from 0")
    if isinstance(event, Kill | Start) and event.machine not in machines:
        raise DayError(
            f"event {number - 1}: no machine {event.machine!r}; there are {', '.join(sorted(machines))}"
        )
    if isinstance(event, Leave | Spoil) and event.backend not in backends:
        raise DayError(
            f"event {number - 1}: no backend {event.backend!r}; there are {', '.join(sorted(backends))}"
        )


def write(lines: Iterable[Day | Doing | Seen]) -> bytes:
    return b"".join(msgspec.json.encode(line) + b"\n" for line in lines)


def draw(seed: int, seconds: float = 20.0, rate: float = 40.0) -> tuple[Day, list[Doing]]:
    """A day by its seed: requests at a rate a second, and each kind of trouble at least once."""
    draws = random.Random(seed)
    day = Day(FORMAT, seed)
    doing: list[Doing] = []
    at, number = 0.0, 0
    while (at := at + draws.expovariate(rate)) < seconds:
        number += 1
        sign = draws.random() < 0.4
        doing.append(
            Ask(
                round(at, 4), f"r{number}", draws.randrange(day.doors),
                f"/{'sign' if sign else 'read'}/{number}", "POST" if sign else "GET",
            )
        )  # fmt: skip
    version = 1
    for part in (0.1, 0.35, 0.6, 0.8):
        version += draws.randint(1, 4)
        moved = draws.random() < 0.5
        doing.append(
            Change(
                round(seconds * part, 3), draws.randrange(day.cores), version,
                {"read": "desk" if moved else "archive", "sign": "desk"},
            )
        )  # fmt: skip
    core = f"core-{draws.randrange(day.cores)}"
    doing += [
        Kill(round(seconds * 0.25, 3), core, draws.choice(("kill", "wipe"))),
        Start(round(seconds * 0.25 + 1.0, 3), core),
        Kill(round(seconds * 0.5, 3), "door-1", draws.choice(("kill", "term"))),
        Start(round(seconds * 0.5 + 4.0, 3), "door-1"),
        Leave(round(seconds * 0.7, 3), "archive-2"),
    ]
    for part in (0.15, 0.45, 0.75):
        how: list[Literal["lost", "unsealed", "full"]] = ["lost", "unsealed", "full"]
        doing.append(Spoil(round(seconds * part, 3), f"desk-{draws.randrange(2)}", draws.choice(how), 3))
    return day, sorted(with_departures(seed, seconds, doing), key=lambda e: e.at)


def with_departures(seed: int, seconds: float, doing: list[Doing]) -> list[Doing]:
    """The same with backends that are slow for a while, and with clients that leave their reads."""
    draws = random.Random(f"departures {seed}")
    made: list[Doing] = [
        msgspec.structs.replace(event, leaves=LEAVES_AFTER)
        if isinstance(event, Ask) and event.path.startswith("/read/") and draws.random() < LEAVING
        else event
        for event in doing
    ]
    for part in (0.2, 0.4, 0.65):
        made.append(Spoil(round(seconds * part, 3), f"archive-{draws.randrange(2)}", "slow", SLOW_RUN))
    return made
