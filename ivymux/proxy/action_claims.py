"""Claims of actions at the core, before they go to a backend; how they ended, behind it."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import time
from collections.abc import Callable, Coroutine
from typing import Any

from ivymux.config_store.calls import ClaimAction, EndAction, encode
from ivymux.data_plane.frontend import Answer
from ivymux.idempotency.record_store import DONE, FREE, LOST, PROCEED
from ivymux.idempotency.settings import ConversationSettings
from ivymux.proxy.keyed_actions import Action, answer_for_verdict, encode_answer
from ivymux.transport.connection import Connector, TransportError
from ivymux.transport.frames import Message

ASK = 1.5  # seconds for which a claim is tried; a lost leader is replaced within one
PART = 0.5  # of the time that the client has left, at the most
END = 8.0  # and for which its end is told
CALL = 0.9  # seconds of one call
PAUSE = 0.05
LIFE = 2.0  # seconds behind its client's time after which an action that was not ended counts as unknown
MOST = 2000  # claims and ends under way
AGAIN = 0.5  # seconds after which a caller comes back whose action could not be claimed

Go = Callable[[Answer | None], None]


class ActionClaims:
    """All claims of one door; `cores` gives the lines to the core, the nearest first."""

    def __init__(self, cores: Callable[[], list[Connector]]) -> None:
        self.cores = cores
        self.life = secrets.token_hex(8)  # of this process: what it claimed before is not its own any more
        self.numbers = itertools.count(1)
        self.terms = ConversationSettings()
        self.tasks: set[asyncio.Task[None]] = set()
        self.asked = self.went = self.unclaimed = 0  # since the start
        self.told = 0  # of `asked`, as last logged

    def make(self, action: Action, end: float, name: bytes) -> ActionClaim:
        return ActionClaim(self, action, f"{self.life}/{next(self.numbers)}", end, name)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, message: Message, until: float) -> Message | None:
        """What the core says; None where nobody there could by then."""
        while (now := time.monotonic()) < until:
            for core in self.cores():
                left = until - time.monotonic()
                if left <= 0:
                    return None
                try:
                    told = await core.call(message, min(CALL, left))
                except TransportError:
                    continue
                if told.get("ok") is True:
                    return told
                if "why" in told:
                    return None
            await asyncio.sleep(max(0.0, min(PAUSE, until - now)))
        return None

    def line(self) -> str:
        """For the log, where any came since the last line."""
        if self.asked == self.told:
            return ""
        self.told = self.asked
        answered = self.asked - self.went - self.unclaimed
        return (
            f"actions with keys: {self.asked} claimed, {self.went} sent, {answered} answered without,"
            f" {self.unclaimed} could not be claimed"
        )

    async def finish(self, most: float) -> None:
        """Before the process ends: what is being told is told, for so many seconds."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=most)
        for task in self.tasks:
            task.cancel()


class ActionClaim:
    """One try of an action."""

    def __init__(self, claims: ActionClaims, action: Action, id: str, end: float, name: bytes) -> None:
        self.claims, self.action, self.id, self.until, self.name = claims, action, id, end, name
        self.open = False  # whether the core may hold this claim

    def acquire(self, go: Go) -> None:
        """`go` hears None where the action may be sent, else its answer."""
        if len(self.claims.tasks) >= MOST:
            self.claims.unclaimed += 1
            go(Answer(503, retry_after=AGAIN))
            return
        self.open = True
        self.claims.asked += 1
        self.claims.spawn(self.asking(go))

    async def asking(self, go: Go) -> None:
        now = time.monotonic()
        left = self.until - now
        a = self.action
        claim = ClaimAction(a.key, a.tenant, self.id, a.place, a.body, round(left + LIFE, 3))
        told = await self.claims.call(encode(claim), now + min(ASK, PART * left))
        try:
            verdict = str(told["verdict"]) if told is not None else ""
            if told is not None and verdict != PROCEED:
                answer = answer_for_verdict(
                    verdict, float(told["after"]), str(told["answer"]), str(told["what"]), self.name
                )
        except (KeyError, TypeError, ValueError):  # no core machine of this build says that
            verdict = ""
        if verdict == PROCEED:
            self.claims.went += 1
            go(None)
        elif not verdict:
            self.claims.unclaimed += 1
            go(Answer(503, retry_after=AGAIN))  # what may have been claimed is ended as not run
        else:
            self.open = False
            go(answer)

    def finish(self, answer: Answer | None, ran: bool) -> None:
        """How it ended: with a backend's answer, without one, or without having been sent."""
        if not self.open:
            return
        self.open = False
        state = DONE if answer is not None else LOST if ran else FREE
        text = encode_answer(answer, self.claims.terms.limits.max_answer_chars) if answer is not None else ""
        message = encode(EndAction(self.action.key, self.id, state, text))
        if len(self.claims.tasks) < 2 * MOST:
            self.claims.spawn(self.ending(message))

    async def ending(self, message: Message) -> None:
        await self.claims.call(message, time.monotonic() + END)
