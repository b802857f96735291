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
import redis.exceptions as errors
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
ANSWER_TIMEOUT_S = 2.0  # seconds after which an answer is waited for no more
CONNECT_TIMEOUT_S = 1.0  # seconds for a connection
MIN_LOG_INTERVAL_S = 1.0  # seconds between lines about trouble
TIME_PERIOD_S = 2.0  # seconds between questions for the time
# What the server has not done, by its own words.
NOT_EXECUTED_ERRORS = (
    errors.BusyLoadingError, errors.ReadOnlyError, errors.ClusterDownError, errors.TryAgainError,
    errors.MovedError, errors.AskError, errors.NoScriptError, errors.OutOfMemoryError, errors.MasterDownError,
    errors.AuthenticationError, errors.NoPermissionError,
)  # fmt: skip

log = logging.getLogger("ivymux")


def create_client(part: RedisPart) -> Redis | RedisCluster:
    """A client; it opens connections when it is called."""
    keywords: dict[str, Any] = {
        "username": part.username or None, "password": part.password or None, "protocol": part.protocol,
        "socket_timeout": ANSWER_TIMEOUT_S, "socket_connect_timeout": CONNECT_TIMEOUT_S,
        "retry": Retry(NoBackoff(), 0),
        "maint_notifications_config": MaintNotificationsConfig(enabled=False),
    }  # fmt: skip
    if part.tls:
        keywords |= {"ssl": True, "ssl_ca_certs": part.ca or None, "ssl_min_version": ssl.TLSVersion.TLSv1_2}
    nodes = [parse_address(node) for node in part.nodes]
    if part.mode == "cluster":
        startup_nodes = [ClusterNode(node.host, node.port) for node in nodes]
        return RedisCluster(startup_nodes=startup_nodes, require_full_coverage=False, **keywords)
    if part.mode == "sentinel":
        sentinel_keywords = {k: v for k, v in keywords.items() if k not in ("username", "password")}
        sentinel = Sentinel(  # type: ignore[no-untyped-call]
            [(node.host, node.port) for node in nodes],
            sentinel_kwargs=sentinel_keywords | {"password": part.sentinel_password or None}, **keywords,
        )  # fmt: skip
        client: Redis = sentinel.master_for(part.service)
        return client
    return Redis(host=nodes[0].host, port=nodes[0].port, max_connections=2 * LANES, **keywords)


def read_passwords(part: RedisPart, folder: Path) -> RedisPart:
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

    def __init__(self, counter: RedisCounter) -> None:
        self.counter = counter
        self.queue: deque[Call] = deque()
        self.task: asyncio.Task[None] | None = None
        self.backoff, self.unreachable_until = MIN_RETRY_DELAY_S, 0.0

    def enqueue(self, call: Call) -> bool:
        """Whether the call may yet be answered; else it is told at once why not."""
        if len(self.queue) >= MAX_PENDING:
            self.counter.settle(call, Outcome.FULL)
        elif call.began < self.unreachable_until:  # nobody could be reached a moment ago
            self.counter.settle(call, Outcome.CONNECT_FAILED)
        else:
            self.queue.append(call)
            if self.task is None:
                self.task = self.counter.loop.create_task(self.run())
            return True
        return False

    async def run(self) -> None:
        try:
            while self.queue:
                call = self.queue.popleft()
                if not call.settled:
                    call.written = True
                    await self.execute(call)
        finally:
            self.task = None

    async def execute(self, call: Call) -> None:
        counter = self.counter
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                total, born = await counter.send(call)
        except (errors.RedisError, OSError, TimeoutError, ValueError) as error:
            outcome = classify_error(error)
            counter.log_error(error)
            counter.settle(call, outcome)
            if outcome is Outcome.CONNECT_FAILED:
                delay, self.backoff = retry_delay(self.backoff, counter.rng.random())
                self.unreachable_until = time.monotonic() + delay
        else:
            self.backoff = MIN_RETRY_DELAY_S
            counter.on_answer(call, total, born)


def classify_error(error: Exception) -> Outcome:
    """How a call ended that was not answered with a total."""
    if isinstance(error, NOT_EXECUTED_ERRORS) or "is now a slave" in str(error):
        return Outcome.FULL
    if isinstance(error, errors.ConnectionError | OSError) and not isinstance(error, TimeoutError):
        # No connection came up: the call was never written.
        never_sent = "connecting to" in str(error) or "No master found" in str(error)
        never_sent = never_sent or isinstance(error, errors.MaxConnectionsError)
        return Outcome.CONNECT_FAILED if never_sent else Outcome.TIMEOUT
    if isinstance(error, errors.RedisClusterException | errors.SlotNotCoveredError):
        return Outcome.CONNECT_FAILED  # no node that would know the slot
    if isinstance(error, errors.ResponseError):
        return Outcome.FULL  # an error answer: a script's first call that fails has done nothing
    return Outcome.TIMEOUT


class RedisCounter:
    """Answers each call once, those of one name in the order of its calls."""

    def __init__(
        self, part: RedisPart, timeout: float, on_result: Callable[[Counted | Late], None],
        clock: SharedClock, seed: int | None = None,
    ) -> None:  # fmt: skip
        """`timeout`: seconds until a call is told as timed out.  It may be answered after that (`Late`)."""
        self.part, self.timeout, self.on_result, self.clock = part, timeout, on_result, clock
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.client = create_client(part)
        self.prefix = part.prefix.encode()
        self.caller_id = secrets.token_hex(6).encode()
        self.lanes = [Lane(self) for _ in range(LANES)]
        self.expiring: deque[Call] = deque()  # all wait equally long: oldest first
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.logged_at = -MIN_LOG_INTERVAL_S
        self.ready = self.loop.create_future()
        self.close_task: asyncio.Task[None] | None = None
        self.clock_task = self.loop.create_task(self.synchronize_clock())

    async def synchronize_clock(self) -> None:
        """Set the clock by the server's, from the start on; of a cluster all doors ask the same node."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    for _ in range(2):  # the first one may have connected
                        sent_at = time.monotonic()
                        seconds, microseconds = await self.request_time()
                        self.clock.on_reading(
                            sent_at, time.monotonic(), int(seconds) + int(microseconds) / 1e6
                        )
            except (errors.RedisError, OSError, TimeoutError, ValueError, TypeError) as error:
                self.log_error(error)
            if not self.ready.done():
                self.ready.set_result(None)
            await asyncio.sleep(TIME_PERIOD_S)

    async def request_time(self) -> Any:
        if isinstance(self.client, RedisCluster):
            await self.client.initialize()
            node = min(self.client.get_primaries(), key=lambda n: (n.host, n.port))
            return await self.client.execute_command("TIME", target_nodes=node)
        return await self.client.execute_command("TIME")  # type: ignore[no-untyped-call]

    def add(self, count: Count) -> None:
        key = self.prefix + b"%x" % count.name
        call = Call(count, key, time.monotonic())
        if self.lanes[lane_of(key)].enqueue(call):
            self.expiring.append(call)
            if self.expiry_timer is None:
                self.expiry_timer = self.loop.call_later(self.timeout, self.expire)

    async def send(self, call: Call) -> tuple[float, int]:
        """One call: the total, and which counts it continues."""
        count, born = call.count, self.rng.getrandbits(52) + 1
        arguments = script_arguments(count.amount, count.expires, born, self.caller_id, count.call)
        try:
            answer = await self.client.execute_command("EVALSHA", SCRIPT_SHA1, 1, call.key, *arguments)
        except errors.NoScriptError:  # begun anew, or its scripts were flushed: nothing was done
            answer = await self.client.execute_command("EVAL", SCRIPT, 1, call.key, *arguments)
        return float(answer[0]), int(answer[1])

    def on_answer(self, call: Call, total: float, born: int) -> None:
        if call.settled:
            self.deliver(call.count, Late(call.count.name))
        else:
            self.settle(call, Outcome.OK, total, born)

    def settle(self, call: Call, outcome: Outcome, total: float = 0.0, born: int = 0) -> None:
        if not call.settled:
            call.settled = True
            elapsed = time.monotonic() - call.began
            self.deliver(call.count, Counted(call.count.name, outcome, total, elapsed, born))

    def deliver(self, count: Count, result: Counted | Late) -> None:
        """Hand an answer to whom it is for."""
        self.on_result(result)

    def expire(self) -> None:
        now = time.monotonic()
        while self.expiring:
            call = self.expiring[0]
            if not call.settled:
                if (time_left := call.began + self.timeout - now) > 0:
                    self.expiry_timer = self.loop.call_later(time_left, self.expire)
                    return
                # One that waits in its lane is never written any more.
                self.settle(call, Outcome.TIMEOUT if call.written else Outcome.CONNECT_FAILED)
            self.expiring.popleft()
        self.expiry_timer = None

    def log_error(self, error: Exception) -> None:
        if (now := time.monotonic()) >= self.logged_at + MIN_LOG_INTERVAL_S:
            self.logged_at = now
            log.warning("tally: redis: %.120s", f"{type(error).__name__}: {error}".replace("\n", " "))

    def close(self) -> None:
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        self.clock_task.cancel()
        for lane in self.lanes:
            if lane.task is not None:
                lane.task.cancel()
        self.close_task = self.loop.create_task(self.client.aclose())
