"""The board of trials: which run, which have ended, what may be started.  Pure; Unix time is passed in.

A trial names one caller, what happens to its requests, to which share of them, from when and for how long.
The board is one note of the store of configuration, so that a change of it is made whole or not at all: who
changes it says which version it had read.  Ended trials stay on it, with author and reason, until newer
ones need their room.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from hashlib import sha256

import msgspec

from ivymux.routing_config.route_plan import Plan

REFUSE, DELAY, LOSE, CLOSE = "refuse", "delay", "lose", "close"
DOES = {
    REFUSE: "refused before it is sent",
    DELAY: "held for `delay`, then served",
    LOSE: "run, and its answer lost",
    CLOSE: "its connection closed before it is sent",
}
STATUSES = (429, 503)  # with which a refusal promises that the request has not run
MAX_RUNNING = 16
MAX_TEXT = 24 << 10  # bytes of the board; the oldest ended trials give way
MAX_DOCUMENT = 8 << 10  # and of what an operator sends
MAX_DELAY = 10.0  # seconds
LONGEST = 600.0  # seconds, where the settings say nothing
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,47}", re.ASCII)
DIGEST = re.compile(r"[0-9a-f]{12,64}", re.ASCII)
TIME = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m)", re.ASCII)
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0}
DONE = "its time is over"


class TrialError(ValueError):
    """A trial that cannot be; the text is one plain line with the place and the mend."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status  # of the answer


@dataclass
class TrialDocument:
    """A trial as an operator sends it."""

    caller: str
    by: str
    why: str
    does: str = REFUSE
    key_digest: str = ""
    route: str = ""
    service: str = ""
    zone: str = ""
    status: int = 503
    retry_after: str = "1s"
    delay: str = "0ms"
    share: int | float = 1
    starts_in: str = "0s"
    lasts: str = "1m"
    dry_run: bool = False


@dataclass
class EndDocument:
    """The end of one, as an operator sends it."""

    by: str
    why: str


@dataclass(frozen=True, slots=True)
class Trial:
    """Times in seconds, those with a date Unix time."""

    name: str
    caller: str  # the tenant's name
    does: str
    by: str
    why: str
    made: float  # when it was started
    at: float  # from when on it is in force
    lasts: float
    key: str = ""  # SHA-256 of the one key that it is about, in hex; empty: all keys of the caller
    route: str = ""
    service: str = ""
    zone: str = ""
    status: int = 503
    after: float = 1.0
    delay: float = 0.0
    share: float = 1.0
    ended: float = 0.0
    ended_by: str = ""
    ended_why: str = ""
    asked: int = 0  # requests of the caller, as doors had told when it ended
    caught: int = 0  # and those that it failed

    @property
    def until(self) -> float:
        return self.at + self.lasts

    def meets(self, other: Trial) -> bool:
        """Whether some request could be under both."""
        return self.caller == other.caller and all(
            not mine or not its or mine == its
            for mine, its in (
                (self.key, other.key),
                (self.route, other.route),
                (self.service, other.service),
                (self.zone, other.zone),
            )
        )


@dataclass(frozen=True, slots=True)
class Board:
    version: int = -1
    running: tuple[Trial, ...] = ()
    past: tuple[Trial, ...] = field(default=())  # the newest first

    def text(self) -> str:
        return msgspec.json.encode(self).decode()

    def find(self, name: str) -> Trial | None:
        return next((t for t in (*self.running, *self.past) if t.name == name), None)


def read(text: str) -> Board:
    """The board in a note's text; an empty text is an empty board.  Raises TrialError."""
    if not text:
        return Board()
    try:
        return msgspec.json.decode(text, type=Board)
    except msgspec.DecodeError as error:
        raise TrialError(f"the board of trials: {error}") from None


def digest(key: bytes) -> str:
    """What a key is named by where it may not be shown."""
    return sha256(key).hexdigest()


def seconds(text: object, where: str, least: float, most: float) -> float:
    found = TIME.fullmatch(text) if isinstance(text, str) else None
    made = float(found[1]) * UNITS[found[2]] if found is not None else math.nan
    if not least <= made <= most:
        raise TrialError(f"{where}: {text!r}; write a time from {least:g}s to {most:g}s, as 30s")
    return made


def words(text: str, where: str) -> str:
    if not text.strip() or len(text) > 200 or not text.isprintable():
        raise TrialError(f"{where}: write 1 to 200 signs that can be printed")
    return text.strip()


def document(text: bytes) -> TrialDocument:
    """Raises TrialError."""
    if len(text) > MAX_DOCUMENT:
        raise TrialError(f"a trial of {len(text)} bytes; {MAX_DOCUMENT} at most", 413)
    try:
        return msgspec.json.decode(text, type=TrialDocument)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise TrialError(f"the trial: {error}") from None


def ending(text: bytes) -> EndDocument:
    """Raises TrialError."""
    try:
        return msgspec.json.decode(text[:MAX_DOCUMENT], type=EndDocument)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise TrialError(f"the end of a trial: {error}; send by and why") from None


def made(name: str, sent: TrialDocument, plan: Plan | None, now: float, longest: float = LONGEST) -> Trial:
    """The trial that a document describes, held against the configuration in force.  Raises TrialError."""
    if not NAME.fullmatch(name):
        raise TrialError(f"the name {name[:60]!r}: write 1 to 48 small letters, digits and -")
    if plan is None:
        raise TrialError("no configuration is in force yet, so there is no caller; send one first", 409)
    if sent.caller not in plan.tenants:
        raise TrialError(
            f"caller: {sent.caller[:60]!r} is no tenant of version {plan.version};"
            " name one tenant of tenant_table (there is no trial of all)"
        )
    if sent.does not in DOES:
        raise TrialError(f"does: {sent.does[:20]!r}; write {', '.join(DOES)}")
    if sent.status not in STATUSES:
        raise TrialError(f"status: {sent.status}; write 429 or 503: they promise that nothing has run")
    if isinstance(sent.share, bool) or not 0 < sent.share <= 1:
        raise TrialError(f"share: {sent.share}; write more than 0 and 1 at most")
    if sent.route and all(r.name != sent.route for routes in plan.hosts.values() for r in routes):
        raise TrialError(f"route: {sent.route[:60]!r} is no route of version {plan.version}")
    if sent.service and sent.service not in plan.services:
        raise TrialError(f"service: {sent.service[:60]!r} is no service of version {plan.version}")
    if len(sent.zone) > 100:
        raise TrialError("zone: write a zone's name")
    delay = seconds(sent.delay, "delay", 0.0, MAX_DELAY)
    if (sent.does == DELAY) != (delay > 0):
        raise TrialError("delay: give one where does is delay, and only there")
    return Trial(
        name, sent.caller, sent.does, words(sent.by, "by"), words(sent.why, "why"), now,
        now + seconds(sent.starts_in, "starts_in", 0.0, 3600.0), seconds(sent.lasts, "lasts", 1.0, longest),
        whole_digest(sent.key_digest, sent.caller, plan), sent.route, sent.service, sent.zone, sent.status,
        seconds(sent.retry_after, "retry_after", 0.0, 60.0), delay, float(sent.share),
    )  # fmt: skip


def whole_digest(start: str, caller: str, plan: Plan) -> str:
    """The digest of the one key of a caller whose digest begins so.  Raises TrialError."""
    if not start:
        return ""
    if not DIGEST.fullmatch(start):
        raise TrialError("key_digest: write 12 to 64 hex digits of the key's SHA-256, never the key")
    own = (digest(key) for key, tenant in plan.keys.items() if tenant == caller)
    found = {made for made in own if made.startswith(start)}
    if len(found) != 1:
        raise TrialError(f"key_digest: it names {len(found)} keys of {caller!r}; name one")
    return found.pop()


def started(board: Board, trial: Trial) -> Board:
    """The board with one more.  Raises TrialError."""
    if any(t.name == trial.name for t in board.running):
        raise TrialError(f"a trial {trial.name!r} runs already; end it, or give this one another name", 409)
    if (other := next((t for t in board.running if t.meets(trial)), None)) is not None:
        raise TrialError(
            f"caller: requests of {trial.caller!r} are under trial {other.name!r} already;"
            " end it, or narrow one",
            409,
        )
    if len(board.running) >= MAX_RUNNING:
        raise TrialError(f"{MAX_RUNNING} trials run; end one first", 409)
    past = tuple(t for t in board.past if t.name != trial.name)
    return fitted(Board(board.version + 1, (*board.running, trial), past))


def ended(board: Board, name: str, by: str, why: str, now: float, asked: int = 0, caught: int = 0) -> Board:
    """The board with one trial ended.  Raises TrialError."""
    trial = next((t for t in board.running if t.name == name), None)
    if trial is None:
        known = board.find(name)
        raise TrialError(
            f"no trial {name[:60]!r} runs" + (" any more" if known is not None else ""), 409 if known else 404
        )
    done = replace(
        trial, ended=now, ended_by=words(by, "by"), ended_why=words(why, "why"), asked=asked, caught=caught
    )
    running = tuple(t for t in board.running if t.name != name)
    return fitted(Board(board.version + 1, running, (done, *board.past)))


def due(board: Board, now: float) -> list[str]:
    """The trials whose time is over."""
    return [t.name for t in board.running if now >= t.until]


def fitted(board: Board) -> Board:
    """Within its bound; the oldest of the ended give way."""
    past = board.past
    while past and len(replace(board, past=past).text()) > MAX_TEXT:
        past = past[:-1]
    return replace(board, past=past)


def shown(trial: Trial) -> dict[str, object]:
    """One as operators are shown it: what is empty is left out."""
    fields = msgspec.to_builtins(trial)
    kept: Iterable[tuple[str, object]] = fields.items()
    return {name: value for name, value in kept if value not in ("", 0, 0.0) or name == "share"}
