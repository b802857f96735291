"""Calls to a tally on Redis or Valkey, by its asyncio client.

The client makes each call once: a call whose connection broke may have been added, and made again it would
count twice.  Only what the server says it has not done is asked again at once, and only a redirection is.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import ssl
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import redis.exceptions as wrong
from redis.asyncio import Redis, Sentinel
from redis.asyncio.cluster import ClusterNode, RedisCluster
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.maint_notifications import MaintNotificationsConfig

from ivymux.data_plane.limits import parse_address
from ivymux.data_plane.passwords import read_password
from ivymux.tally.clock import SharedClock
from ivymux.tally.engine import (
    LANES,
    MIN_RETRY_DELAY_S,
    SCRIPT,
    SCRIPT_SHA1,
    RedisPart,
    lane_of,
    retry_delay,
    script_arguments,
)
from orchidhill.interface import Count, Counted, Late, Outcome

MAX_PENDING = 1000  # calls in one lane
LOST = 2.0  # seconds after which an answer is waited for no more
CONNECT = 1.0  # seconds for a connection
LOG_EVERY = 1.0  # seconds between lines about trouble
TIME_EVERY = 2.0  # seconds between questions for the time
# What the server has not done, by its own words.
UNDONE = (
    wrong.BusyLoadingError, wrong.ReadOnlyError, wrong.ClusterDownError, wrong.TryAgainError,
    wrong.MovedError, wrong.AskError, wrong.NoScriptError, wrong.OutOfMemoryError, wrong.MasterDownError,
    wrong.AuthenticationError, wrong.NoPermissionError,
)  # fmt: skip

log = logging.getLogger("ivymux")


def connect(part: RedisPart) -> Redis | RedisCluster:
    """A client; it opens connections when it is called."""
    keywords: dict[str, Any] = {
        "username": part.username or None, "password": part.password or None, "protocol": part.protocol,
        "socket_timeout": LOST, "socket_connect_timeout": CONNECT, "retry": Retry(NoBackoff(), 0),
        "maint_notifications_config": MaintNotificationsConfig(enabled=False),
    }  # fmt: skip
    if part.tls:
        keywords |= {"ssl": True, "ssl_ca_certs": part.ca or None, "ssl_min_version": ssl.TLSVersion.TLSv1_2}
    nodes = [parse_address(node) for node in part.nodes]
    if part.mode == "cluster":
        starting = [ClusterNode(node.host, node.port) for node in nodes]
        return RedisCluster(startup_nodes=starting, require_full_coverage=False, **keywords)
    if part.mode == "sentinel":
        own = {k: v for k, v in keywords.items() if k not in ("username", "password")}
        told = Sentinel(  # type: ignore[no-untyped-call]
            [(node.host, node.port) for node in nodes],
            sentinel_kwargs=own | {"password": part.sentinel_password or None}, **keywords,
        )  # fmt: skip
        made: Redis = told.master_for(part.service)
        return made
    return Redis(host=nodes[0].host, port=nodes[0].port, max_connections=2 * LANES, **keywords)


def with_passwords(part: RedisPart, folder: Path) -> RedisPart:
    """The same with what stands in its files.  Raises ConfigError."""
    return msgspec.structs.replace(
        part,
        password=read_password(folder, part.password_file, "tally.redis.password_file"),
        sentinel_password=read_password(
            folder, part.sentinel_password_file, "tally.redis.sentinel_password_file"
        ),
        ca=str(folder / part.ca) if part.ca else "",
    )


class Call:
    __slots__ = ("began", "count", "key", "settled", "written")

    def __init__(self, count: Count, key: bytes, began: float) -> None:
        self.count, self.key, self.began = count, key, began
        self.written = self.settled = False


class Lane:
    """Calls one behind the other, in the order in which they came."""

    def __init__(self, owner: RedisCounter) -> None:
        self.owner = owner
        self.queue: deque[Call] = deque()
        self.task: asyncio.Task[None] | None = None
        self.wait, self.closed_until = MIN_RETRY_DELAY_S, 0.0

    def put(self, call: Call) -> bool:
        """Whether the call may yet be answered; else it is told at once why not."""
        if len(self.queue) >= MAX_PENDING:
            self.owner.settle(call, Outcome.FULL)
        elif call.began < self.closed_until:  # nobody could be reached a moment ago
            self.owner.settle(call, Outcome.CONNECT_FAILED)
        else:
            self.queue.append(call)
            if self.task is None:
                self.task = self.owner.loop.create_task(self.work())
            return True
        return False

    async def work(self) -> None:
        try:
            while self.queue:
                call = self.queue.popleft()
                if not call.settled:
                    call.written = True
                    await self.make(call)
        finally:
            self.task = None

    async def make(self, call: Call) -> None:
        owner = self.owner
        try:
            async with asyncio.timeout(LOST):
                total, born = await owner.ask(call)
        except (wrong.RedisError, OSError, TimeoutError, ValueError) as error:
            outcome = judge(error)
            owner.tell_trouble(error)
            owner.settle(call, outcome)
            if outcome is Outcome.CONNECT_FAILED:
                delay, self.wait = retry_delay(self.wait, owner.rng.random())
                self.closed_until = time.monotonic() + delay
        else:
            self.wait = MIN_RETRY_DELAY_S
            owner.answered(call, total, born)


def judge(error: Exception) -> Outcome:
    """How a call ended that was not answered with a total."""
    if isinstance(error, UNDONE) or "is now a slave" in str(error):
        return Outcome.FULL
    if isinstance(error, wrong.ConnectionError | OSError) and not isinstance(error, TimeoutError):
        # No connection came up: the call was never written.
        never = "connecting to" in str(error) or "No master found" in str(error)
        never = never or isinstance(error, wrong.MaxConnectionsError)
        return Outcome.CONNECT_FAILED if never else Outcome.TIMEOUT
    if isinstance(error, wrong.RedisClusterException | wrong.SlotNotCoveredError):
        return Outcome.CONNECT_FAILED  # no node that would know the slot
    if isinstance(error, wrong.ResponseError):
        return Outcome.FULL  # an error answer: a script's first call that fails has done nothing
    return Outcome.TIMEOUT


class RedisCounter:
    """Answers each call once, those of one name in the order of its calls."""

    def __init__(
        self, part: RedisPart, timeout: float, done: Callable[[Counted | Late], None], clock: SharedClock,
        seed: int | None = None,
    ) -> None:  # fmt: skip
        """`timeout`: seconds until a call is told as timed out.  It may be answered after that (`Late`)."""
        self.part, self.timeout, self.done, self.clock = part, timeout, done, clock
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.client = connect(part)
        self.prefix = part.prefix.encode()
        self.caller = secrets.token_hex(6).encode()
        self.lanes = [Lane(self) for _ in range(LANES)]
        self.expiring: deque[Call] = deque()  # all wait equally long: oldest first
        self.timer: asyncio.TimerHandle | None = None
        self.told_at = -LOG_EVERY
        self.ready = self.loop.create_future()
        self.closing: asyncio.Task[None] | None = None
        self.asking = self.loop.create_task(self.ask_time())

    async def ask_time(self) -> None:
        """Set the clock by the server's, from the start on; of a cluster all doors ask the same node."""
        while True:
            try:
                async with asyncio.timeout(CONNECT):
                    for _ in range(2):  # the first one may have connected
                        began = time.monotonic()
                        seconds, part = await self.time_call()
                        self.clock.on_reading(began, time.monotonic(), int(seconds) + int(part) / 1e6)
            except (wrong.RedisError, OSError, TimeoutError, ValueError, TypeError) as error:
                self.tell_trouble(error)
            if not self.ready.done():
                self.ready.set_result(None)
            await asyncio.sleep(TIME_EVERY)

    async def time_call(self) -> Any:
        if isinstance(self.client, RedisCluster):
            await self.client.initialize()
            node = min(self.client.get_primaries(), key=lambda n: (n.host, n.port))
            return await self.client.execute_command("TIME", target_nodes=node)
        return await self.client.execute_command("TIME")  # type: ignore[no-untyped-call]

    def add(self, count: Count) -> None:
        key = self.prefix + b"%x" % count.name
        call = Call(count, key, time.monotonic())
        if self.lanes[lane_of(key)].put(call):
            self.expiring.append(call)
            if self.timer is None:
                self.timer = self.loop.call_later(self.timeout, self.expire)

    async def ask(self, call: Call) -> tuple[float, int]:
        """One call: the total, and which counts it continues."""
        count, born = call.count, self.rng.getrandbits(52) + 1
        given = script_arguments(count.amount, count.expires, born, self.caller, count.call)
        try:
            found = await self.client.execute_command("EVALSHA", SCRIPT_SHA1, 1, call.key, *given)
        except wrong.NoScriptError:  # begun anew, or its scripts were flushed: nothing was done
            found = await self.client.execute_command("EVAL", SCRIPT, 1, call.key, *given)
        return float(found[0]), int(found[1])

    def answered(self, call: Call, total: float, born: int) -> None:
        if call.settled:
            self.tell(call.count, Late(call.count.name))
        else:
            self.settle(call, Outcome.OK, total, born)

    def settle(self, call: Call, outcome: Outcome, total: float = 0.0, born: int = 0) -> None:
        if not call.settled:
            call.settled = True
            spent = time.monotonic() - call.began
            self.tell(call.count, Counted(call.count.name, outcome, total, spent, born))

    def tell(self, count: Count, told: Counted | Late) -> None:
        """Hand an answer to whom it is for."""
        self.done(told)

    def expire(self) -> None:
        now = time.monotonic()
        while self.expiring:
            call = self.expiring[0]
            if not call.settled:
                if (left := call.began + self.timeout - now) > 0:
                    self.timer = self.loop.call_later(left, self.expire)
                    return
                # One that waits in its lane is never written any more.
                self.settle(call, Outcome.TIMEOUT if call.written else Outcome.CONNECT_FAILED)
            self.expiring.popleft()
        self.timer = None

    def tell_trouble(self, error: Exception) -> None:
        if (now := time.monotonic()) >= self.told_at + LOG_EVERY:
            self.told_at = now
            log.warning("tally: redis: %.120s", f"{type(error).__name__}: {error}".replace("\n", " "))

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.asking.cancel()
        for each in self.lanes:
            if each.task is not None:
                each.task.cancel()
        self.closing = self.loop.create_task(self.client.aclose())
