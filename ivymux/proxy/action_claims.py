"""Claims of keyed actions: acquired at the core before an action is sent to a backend, ended afterwards."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import time
from collections.abc import Callable, Coroutine
from typing import Any

from ivymux.config_store.calls import ClaimAction, EndAction, LookUpAction, encode
from ivymux.data_plane.frontend import Answer
from ivymux.idempotency.record_store import DONE, FREE, LOST, NOT_KNOWN, PROCEED
from ivymux.idempotency.settings import ConversationSettings
from ivymux.proxy.keyed_actions import Action, answer_for_verdict, encode_answer
from ivymux.transport.connection import TransportError
from ivymux.transport.connector import Connector
from ivymux.transport.frames import Message

ACQUIRE_TIMEOUT_S = 1.5  # long enough for a lost leader to be replaced
ACQUIRE_TIME_PART = 0.5  # of the time that the client still waits, the most spent on acquiring
LOOK_UP_TIMEOUT_S = 0.3  # a refusal waits for no longer
END_TIMEOUT_S = 8.0
CALL_TIMEOUT_S = 0.9  # for the answer of one core machine
CALL_RETRY_PAUSE_S = 0.05
# After the client's deadline; the outcome of an action that was not ended by then counts as unknown.
LIFETIME_MARGIN_S = 2.0
MAX_TASKS = 2000  # claims and ends in progress
NOT_CLAIMED_RETRY_AFTER_S = 0.5

# Called with None if the action may be sent, else with the answer to the request.
ResultCallback = Callable[[Answer | None], None]


class ActionClaims:
    """All claims of one proxy."""

    def __init__(self, cores: Callable[[], list[Connector]]) -> None:
        """`cores`: returns the open connections to core machines, the nearest first."""
        self.cores = cores
        self.incarnation_id = secrets.token_hex(8)  # a restarted process does not own its earlier claims
        self.claim_numbers = itertools.count(1)
        self.settings = ConversationSettings()
        self.tasks: set[asyncio.Task[None]] = set()
        self.acquired = self.proceeded = self.failed = 0  # since the start; `acquired` counts attempts
        self.looked_up = self.found = 0  # before a refusal, and of these those with a record
        self.logged_count = 0  # claims and look-ups at the last log line

    def make_claim(self, action: Action, deadline: float, try_id: bytes) -> ActionClaim:
        return ActionClaim(
            self, action, f"{self.incarnation_id}/{next(self.claim_numbers)}", deadline, try_id
        )

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, message: Message, deadline: float) -> Message | None:
        """Call one core machine after another; return None if none accepts the call by the deadline."""
        while (now := time.monotonic()) < deadline:
            for core in self.cores():
                left = deadline - time.monotonic()
                if left <= 0:
                    return None
                try:
                    reply = await core.call(message, min(CALL_TIMEOUT_S, left))
                except TransportError:
                    continue
                if reply.get("ok") is True:
                    return reply
                if "why" in reply:
                    return None
            await asyncio.sleep(max(0.0, min(CALL_RETRY_PAUSE_S, deadline - now)))
        return None

    def log_line(self) -> str:
        """Return a summary for the log; empty if there were no claims since the last summary."""
        count = self.acquired + self.looked_up
        if count == self.logged_count:
            return ""
        self.logged_count = count
        answered = self.acquired - self.proceeded - self.failed
        return (
            f"actions with keys: {self.acquired} claimed, {self.proceeded} sent, {answered} answered without"
            f" sending, {self.failed} could not be claimed; {self.looked_up} looked up before a refusal,"
            f" {self.found} found"
        )

    async def finish(self, timeout: float) -> None:
        """Wait for calls in progress before the process ends, then cancel those that remain."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=timeout)
        for task in self.tasks:
            task.cancel()


class ActionClaim:
    """One request's claim: the exclusive right to run its action, acquired before and ended after the run."""

    def __init__(self, claims: ActionClaims, action: Action, id: str, deadline: float, try_id: bytes) -> None:
        self.claims, self.action, self.id = claims, action, id
        self.deadline, self.try_id = deadline, try_id
        self.is_open = False  # whether the core may hold this claim

    def acquire(self, on_result: ResultCallback) -> None:
        """Acquire the claim; calls `on_result` with None if the action may be sent, else with the answer."""
        if len(self.claims.tasks) >= MAX_TASKS:
            self.claims.failed += 1
            on_result(Answer(503, retry_after=NOT_CLAIMED_RETRY_AFTER_S))
            return
        self.is_open = True
        self.claims.acquired += 1
        self.claims.spawn(self.acquire_at_core(on_result))

    async def acquire_at_core(self, on_result: ResultCallback) -> None:
        now = time.monotonic()
        left = self.deadline - now
        action = self.action
        call = ClaimAction(
            action.key,
            action.tenant,
            self.id,
            action.request_digest,
            action.body_digest,
            round(left + LIFETIME_MARGIN_S, 3),
        )
        timeout = min(ACQUIRE_TIMEOUT_S, ACQUIRE_TIME_PART * left)
        verdict, answer = self.read_reply(await self.claims.call(encode(call), now + timeout))
        if verdict == PROCEED:
            self.claims.proceeded += 1
            on_result(None)
        elif not verdict:
            # The claim stays open, as the core may hold it; `finish` then ends it as not run.
            self.claims.failed += 1
            on_result(Answer(503, retry_after=NOT_CLAIMED_RETRY_AFTER_S))
        else:
            self.is_open = False
            on_result(answer)

    def read_reply(self, reply: Message | None) -> tuple[str, Answer | None]:
        """Return a reply's verdict, empty without a valid one, and the answer for a known action."""
        if reply is None:
            return "", None
        try:
            verdict = str(reply["verdict"])
            if verdict in (PROCEED, NOT_KNOWN):
                return verdict, None
            return verdict, answer_for_verdict(
                verdict, float(reply["after"]), str(reply["answer"]), str(reply["what"]), self.try_id
            )
        except (KeyError, TypeError, ValueError):
            return "", None

    def look_up(self, on_result: ResultCallback) -> None:
        """Call `on_result` with the answer to an action that may have run, with None if none is known."""
        if len(self.claims.tasks) >= MAX_TASKS or not self.claims.cores():
            on_result(None)
            return
        self.claims.looked_up += 1
        self.claims.spawn(self.look_up_at_core(on_result))

    async def look_up_at_core(self, on_result: ResultCallback) -> None:
        now, action = time.monotonic(), self.action
        call = LookUpAction(action.key, action.request_digest, action.body_digest)
        timeout = min(LOOK_UP_TIMEOUT_S, ACQUIRE_TIME_PART * (self.deadline - now))
        _, answer = self.read_reply(await self.claims.call(encode(call), now + timeout))
        self.claims.found += answer is not None
        on_result(answer)

    def finish(self, answer: Answer | None, ran: bool) -> None:
        """End the claim: with a backend's answer, without one, or (not `ran`) as never sent."""
        if not self.is_open:
            return
        self.is_open = False
        state = DONE if answer is not None else LOST if ran else FREE
        max_chars = self.claims.settings.limits.max_answer_chars
        text = encode_answer(answer, max_chars) if answer is not None else ""
        message = encode(EndAction(self.action.key, self.id, state, text))
        if len(self.claims.tasks) < 2 * MAX_TASKS:
            self.claims.spawn(self.end_at_core(message))

    async def end_at_core(self, message: Message) -> None:
        await self.claims.call(message, time.monotonic() + END_TIMEOUT_S)
