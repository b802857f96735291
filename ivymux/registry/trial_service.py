"""Trials at a registry: operators' calls, what doors are told and tell, the loop that ends what is due.
Imported with the first word on trials.

The board is a note of the store of configuration.  A change is made from the board that it was read from, or
not at all.  While a trial runs, the board is read again and again from who leads: each answer to a door says
how old that reading is, and the door's lease counts from there.  Any registry may end what is due, or what
the guard ends; that it was ended by another already is no error.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

import msgspec

from ivymux.config_store.calls import PutSetting, ReadSetting, encode
from ivymux.data_plane.frontend import Answer
from ivymux.fault_injection import TRIALS, trial_set
from ivymux.fault_injection.guard import Guard, GuardError
from ivymux.fault_injection.trial_set import Board, Trial, TrialError
from ivymux.routing_config.route_plan import Plan, PlanError, plan_of
from ivymux.runtime.log import Log
from ivymux.transport.connection import Connection, TransportError
from ivymux.transport.frames import Message
from ivymux.transport.http_calls import JSON, HttpRequest, error_answer

if TYPE_CHECKING:
    from ivymux.registry.program import Registry

READ = 0.4  # seconds between readings of the board, while a trial runs
CALL = 0.8  # seconds of one
OLD = 30.0  # seconds for which a door's last word on a trial is shown
MAX_COUNT = 1 << 53
MAX_SHOWN = 2000  # doors that one status names
AGAIN = 5  # times that a change is made anew where another came between
NOBODY = "no core machine can answer for trials just now; repeat the call"
FAST = "trials change too fast; repeat the call"

log = Log("registry")


@dataclass(slots=True)
class Word:
    """What a door said last of trials."""

    at: float
    version: int
    zone: str
    counts: dict[str, tuple[bool, int, int, float]]  # in force, requests, caught, seconds since its beginning


@dataclass(slots=True)
class Trials:
    registry: Registry
    longest: float
    board: Board = field(default_factory=Board)
    read_at: float = -1e9  # steady time at which the last reading was asked for
    words: dict[str, Word] = field(default_factory=dict)  # by door
    guard: Guard = field(default_factory=Guard)
    task: asyncio.Task[None] | None = None
    plan: Plan | None = None  # of the configuration, as last looked at

    # --- the board -------------------------------------------------------------------------------------

    def use(self, text: str) -> None:
        """A board that is in force."""
        try:
            board = trial_set.read(text)
        except TrialError as error:
            log.info(f"{error}; it is left.")
            return
        if board.version > self.board.version:
            self.board = board
            if not board.running:
                self.guard = Guard()
        if self.board.running and (self.task is None or self.task.done()):
            self.task = asyncio.get_running_loop().create_task(self.watch())

    async def read(self) -> Board | None:
        """The board from who leads; None where nobody who does can be reached."""
        began = time.monotonic()
        try:
            told = await self.registry.config_store.call(encode(ReadSetting(TRIALS)), CALL)
        except TransportError:
            return None
        if told.get("ok") is not True:
            return None
        version, text = int(told["version"]), str(told["text"])
        if text:
            self.use(text)
        if version >= self.board.version:  # else another's reading was faster than this one
            self.read_at = max(self.read_at, began)
        return self.board if version == self.board.version else trial_set.read(text)

    async def write(self, board: Board) -> bool:
        """Have a board taken in the place of the one before it; whether it was.  Raises TrialError."""
        note = PutSetting(TRIALS, board.version, board.text(), based_on=board.version - 1)
        try:
            told = await self.registry.config_store.call(encode(note), CALL)
        except TransportError as error:
            raise TrialError(f"the store does not answer: {error}; repeat the call", 503) from None
        if told.get("ok") is not True:
            raise TrialError("no core machine can take a change just now; repeat the call", 503)
        if told.get("taken") is False:
            return False
        self.use(board.text())
        return True

    async def watch(self) -> None:
        """While a trial runs: read the board, end what is due or does harm."""
        while self.board.running and not self.registry.ending:
            await asyncio.gather(self.read(), asyncio.sleep(READ))
            now = time.time()
            reason = self.guard.tripped(time.monotonic())
            names = [t.name for t in self.board.running] if reason else trial_set.due(self.board, now)
            for name in names:
                try:
                    await self.close(name, "ivymux", f"guard: {reason}" if reason else trial_set.DONE)
                except TrialError:
                    continue  # ended by another, or nobody leads: the next look goes on
                log.info(f"trial {name} is ended: {reason or trial_set.DONE}.")

    async def close(self, name: str, by: str, why: str) -> Trial:
        """End one trial.  Raises TrialError."""
        for _ in range(AGAIN):
            board = await self.read()
            if board is None:
                raise TrialError(NOBODY, 503)
            asked, caught = self.sums(name)
            made = trial_set.ended(board, name, by, why, time.time(), asked, caught)
            if await self.write(made):
                return made.past[0]
        raise TrialError(FAST, 503)

    # --- doors -------------------------------------------------------------------------------------------

    def heard(self, line: Connection, message: Message, door: str, zone: str) -> None:
        """A door's question and its counts.  Raises ValueError for what no door sends."""
        now = time.monotonic()
        version = int(message["v"])
        counts = {}
        for name, (on, asked, caught, since) in dict(message["c"]).items():
            if not 0 <= int(caught) <= int(asked) < MAX_COUNT:
                raise ValueError("counts of a trial")
            counts[str(name)[:48]] = (bool(on), int(asked), int(caught), float(since))
        if len(counts) > trial_set.MAX_RUNNING:
            raise ValueError("too many trials")
        self.words[door] = Word(now, version, zone, counts)
        if message.get("o") is not None:
            asked, failed, before, lost = map(int, message["o"])
            try:
                self.guard.hear(door, now, asked, failed, (before, lost))
            except GuardError as error:
                raise ValueError(str(error)) from None
        if "n" in message:
            fresh = self.read_at > -1e9
            line.answer(
                message, v=self.board.version, age=round(now - self.read_at, 3) if fresh else None,
                t=self.board.text() if version != self.board.version else "",
            )  # fmt: skip

    def sums(self, name: str) -> tuple[int, int]:
        """Requests of a trial's caller and those caught, over all doors that told."""
        found = [word.counts[name] for word in self.words.values() if name in word.counts]
        return sum(c[1] for c in found), sum(c[2] for c in found)

    # --- what is told ------------------------------------------------------------------------------------

    def status(self, trial: Trial) -> dict[str, Any]:
        """One trial with what each door says of it."""
        now = time.monotonic()
        asked, caught = self.sums(trial.name)
        there, lacking = [], []
        for door in sorted({d.id for d in self.registry.doors.values()})[:MAX_SHOWN]:
            word = self.words.get(door)
            said = word.counts.get(trial.name) if word is not None and now - word.at < OLD else None
            if said is None or not said[0]:
                lacking.append(door)
            else:
                there.append({"door": door, "for_s": said[3], "asked": said[1], "caught": said[2]})
        return {
            **trial_set.shown(trial), "asked": asked or trial.asked, "caught": caught or trial.caught,
            "in_force_at": there, "not_in_force_at": lacking,
        }  # fmt: skip

    # --- operators' calls ----------------------------------------------------------------------------------

    def configured(self) -> Plan | None:
        """The plan of the configuration that this machine holds; None where there is none."""
        version, text = self.registry.version, self.registry.text
        if version < 0:
            return None
        if self.plan is None or self.plan.version != version:
            try:
                self.plan = plan_of(text.encode())
            except PlanError:
                return None
        return self.plan

    async def put(self, request: HttpRequest) -> Answer:
        """Start a trial, or tell (`dry_run`) what would be started."""
        from ivymux.fault_injection.validation import document  # it takes long to import

        try:
            sent = document(request.body)
            for _ in range(AGAIN):
                board = await self.read()
                if board is None:
                    return error_answer(503, NOBODY)
                trial = trial_set.made(request.name, sent, self.configured(), time.time(), self.longest)
                known = next((t for t in board.running if t.name == trial.name), None)
                if known is not None and same(known, trial):
                    return told(self.status(known))  # once more: its answer was lost
                made = trial_set.started(board, trial)
                if sent.dry_run:
                    return told({"dry_run": True, **trial_set.shown(trial)})
                if await self.write(made):
                    log.info(f"trial {trial.name} is started: {trial.does}, share {trial.share:g}.")
                    return told(self.status(trial))
        except TrialError as error:
            return error_answer(error.status, str(error))
        return error_answer(503, FAST)

    async def end(self, request: HttpRequest) -> Answer:
        from ivymux.fault_injection.validation import ending

        try:
            sent = ending(request.body)
            ended = await self.close(request.name, sent.by, sent.why)
        except TrialError as error:
            return error_answer(error.status, str(error))
        log.info(f"trial {request.name} is ended by an operator.")
        return told(trial_set.shown(ended))

    async def list(self) -> Answer:
        board = await self.read()
        if board is None:
            return error_answer(503, NOBODY)
        return told(
            {
                "board_version": board.version,
                "running": [self.status(t) for t in board.running],
                "past": [trial_set.shown(t) for t in board.past],
            }
        )

    async def get(self, name: str) -> Answer:
        board = await self.read()
        if board is None:
            return error_answer(503, NOBODY)
        trial = board.find(name)
        if trial is None:
            return error_answer(404, f"there is no trial {name[:60]!r}; GET /trials lists them")
        return told(trial_set.shown(trial) if trial.ended else self.status(trial))


def same(one: Trial, other: Trial) -> bool:
    """Whether two are one order, sent twice: all alike but for when it came."""
    return replace(one, made=other.made, at=other.at) == other


def told(body: dict[str, Any]) -> Answer:
    return Answer(200, msgspec.json.encode(body), JSON)
