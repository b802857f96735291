"""A counter client for Redis or Valkey, on the asyncio client of redis-py.

Each call is sent once: a call whose connection broke may have been executed, and would count twice if it was
sent again.  A call is sent again at once only if the server's answer says that it was not executed, such as a
redirection or NOSCRIPT.
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

MAX_PENDING = 1000  # queued calls of one lane
ANSWER_TIMEOUT_S = 2.0  # a call is abandoned after this
CONNECT_TIMEOUT_S = 1.0
MIN_LOG_INTERVAL_S = 1.0  # between log lines about errors
TIME_PERIOD_S = 2.0  # between requests for the server's time
# Error answers by which the server says that it has not executed the call.
NOT_EXECUTED_ERRORS = (
    errors.BusyLoadingError, errors.ReadOnlyError, errors.ClusterDownError, errors.TryAgainError,
    errors.MovedError, errors.AskError, errors.NoScriptError, errors.OutOfMemoryError, errors.MasterDownError,
    errors.AuthenticationError, errors.NoPermissionError,
)  # fmt: skip

log = logging.getLogger("ivymux")


def create_client(part: RedisPart) -> Redis | RedisCluster:
    """Create the client of redis-py; it connects with its first command."""
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
    """Return the settings with the contents of the password files.

    The path of the CA file, given relative to `folder`, is joined with it.  Raises ConfigError.
    """
    return msgspec.structs.replace(
        part,
        password=read_password(folder, part.password_file, "tally.redis.password_file"),
        sentinel_password=read_password(
            folder, part.sentinel_password_file, "tally.redis.sentinel_password_file"
        ),
        ca=str(folder / part.ca) if part.ca else "",
    )


class Call:
    """A call to the counter.

    `written`: its lane has begun to send it.  `settled`: its result, possibly a timeout, was reported.
    """

    __slots__ = ("began", "count", "key", "settled", "written")

    def __init__(self, count: Count, key: bytes, began: float) -> None:
        self.count, self.key, self.began = count, key, began
        self.written = self.settled = False


class Lane:
    """A queue whose calls are executed one at a time, in order of arrival."""

    def __init__(self, counter: RedisCounter) -> None:
        self.counter = counter
        self.queue: deque[Call] = deque()
        self.task: asyncio.Task[None] | None = None
        self.backoff, self.unreachable_until = MIN_RETRY_DELAY_S, 0.0

    def enqueue(self, call: Call) -> bool:
        """Queue a call and return True, or report at once why it fails and return False."""
        if len(self.queue) >= MAX_PENDING:
            self.counter.settle(call, Outcome.FULL)
        elif call.began < self.unreachable_until:  # backing off after a failed connection
            self.counter.settle(call, Outcome.CONNECT_FAILED)
        else:
            self.queue.append(call)
            if self.task is None:
                self.task = self.counter.loop.create_task(self.run())
            return True
        return False

    async def run(self) -> None:
        """Execute the queued calls one after another, until none is left."""
        try:
            while self.queue:
                call = self.queue.popleft()
                if not call.settled:
                    call.written = True
                    await self.execute(call)
        finally:
            self.task = None

    async def execute(self, call: Call) -> None:
        """Execute a call and report its result."""
        counter = self.counter
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                total, incarnation = await counter.send(call)
        except (errors.RedisError, OSError, TimeoutError, ValueError) as error:
            outcome = classify_error(error)
            counter.log_error(error)
            counter.settle(call, outcome)
            if outcome is Outcome.CONNECT_FAILED:
                delay, self.backoff = retry_delay(self.backoff, counter.rng.random())
                self.unreachable_until = time.monotonic() + delay
        else:
            self.backoff = MIN_RETRY_DELAY_S
            counter.on_answer(call, total, incarnation)


def classify_error(error: Exception) -> Outcome:
    """Return the outcome of a call that failed with this error."""
    if isinstance(error, NOT_EXECUTED_ERRORS) or "is now a slave" in str(error):
        return Outcome.FULL
    if isinstance(error, errors.ConnectionError | OSError) and not isinstance(error, TimeoutError):
        # These errors are raised before a connection is established, so the call was not sent.
        never_sent = "connecting to" in str(error) or "No master found" in str(error)
        never_sent = never_sent or isinstance(error, errors.MaxConnectionsError)
        return Outcome.CONNECT_FAILED if never_sent else Outcome.TIMEOUT
    if isinstance(error, errors.RedisClusterException | errors.SlotNotCoveredError):
        return Outcome.CONNECT_FAILED  # no node serves the key's slot
    if isinstance(error, errors.ResponseError):
        return Outcome.FULL  # a script that fails at its first command has added nothing
    return Outcome.TIMEOUT


class RedisCounter:
    """A counter client that reports one outcome for each call, in call order for each name."""

    def __init__(
        self, part: RedisPart, timeout: float, on_result: Callable[[Counted | Late], None],
        clock: SharedClock, seed: int | None = None,
    ) -> None:  # fmt: skip
        """`timeout`: of a call, in seconds; `on_result` gets the results.

        A call that is answered after its timeout gives a second result, `Late`.
        """
        self.part, self.timeout, self.on_result, self.clock = part, timeout, on_result, clock
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.client = create_client(part)
        self.prefix = part.prefix.encode()
        self.caller_id = secrets.token_hex(6).encode()
        self.lanes = [Lane(self) for _ in range(LANES)]
        self.expiring: deque[Call] = deque()  # oldest first, as all have the same timeout
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.logged_at = -MIN_LOG_INTERVAL_S
        self.ready = self.loop.create_future()
        self.close_task: asyncio.Task[None] | None = None
        self.clock_task = self.loop.create_task(self.synchronize_clock())

    async def synchronize_clock(self) -> None:
        """Periodically set the clock by the server's; all gateways read the same node of a cluster."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    for _ in range(2):  # the first may include the time to connect
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
        """Return the server's Unix time as seconds and microseconds."""
        if isinstance(self.client, RedisCluster):
            await self.client.initialize()
            node = min(self.client.get_primaries(), key=lambda n: (n.host, n.port))
            return await self.client.execute_command("TIME", target_nodes=node)
        return await self.client.execute_command("TIME")  # type: ignore[no-untyped-call]

    def add(self, count: Count) -> None:
        """Queue a count in the lane of its key."""
        key = self.prefix + b"%x" % count.name
        call = Call(count, key, time.monotonic())
        if self.lanes[lane_of(key)].enqueue(call):
            self.expiring.append(call)
            if self.expiry_timer is None:
                self.expiry_timer = self.loop.call_later(self.timeout, self.expire)

    async def send(self, call: Call) -> tuple[float, int]:
        """Execute a call; return the total and the incarnation of the name's totals."""
        count, incarnation = call.count, self.rng.getrandbits(52) + 1
        arguments = script_arguments(count.amount, count.expires, incarnation, self.caller_id, count.call)
        try:
            answer = await self.client.execute_command("EVALSHA", SCRIPT_SHA1, 1, call.key, *arguments)
        except errors.NoScriptError:  # restarted, or its scripts were flushed; nothing was executed
            answer = await self.client.execute_command("EVAL", SCRIPT, 1, call.key, *arguments)
        return float(answer[0]), int(answer[1])

    def on_answer(self, call: Call, total: float, incarnation: int) -> None:
        """Report the result of an answered call, or that the answer is late."""
        if call.settled:
            self.deliver(call.count, Late(call.count.name))
        else:
            self.settle(call, Outcome.OK, total, incarnation)

    def settle(self, call: Call, outcome: Outcome, total: float = 0.0, incarnation: int = 0) -> None:
        """Report the result of a call, once."""
        if not call.settled:
            call.settled = True
            elapsed = time.monotonic() - call.began
            self.deliver(call.count, Counted(call.count.name, outcome, total, elapsed, incarnation))

    def deliver(self, count: Count, result: Counted | Late) -> None:
        """Pass a result on; subclasses choose the receiver by `count`."""
        self.on_result(result)

    def expire(self) -> None:
        """Settle the calls that have timed out, and set the timer for the next one."""
        now = time.monotonic()
        while self.expiring:
            call = self.expiring[0]
            if not call.settled:
                if (time_left := call.began + self.timeout - now) > 0:
                    self.expiry_timer = self.loop.call_later(time_left, self.expire)
                    return
                # A call that is still in its lane's queue will not be sent any more.
                self.settle(call, Outcome.TIMEOUT if call.written else Outcome.CONNECT_FAILED)
            self.expiring.popleft()
        self.expiry_timer = None

    def log_error(self, error: Exception) -> None:
        """Log an error, at most one per `MIN_LOG_INTERVAL_S`."""
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
