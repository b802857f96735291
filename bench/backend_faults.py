"""Requests over real processes to backends that answer wrongly, from clients that leave or read slowly.

    python -m bench.backend_faults [--quick] [--seed N] [--requests N] [--json FILE|-]

Backends break off at any byte, close, add whole or broken-off second answers or other bytes, at once or
late, and answer with failures, without a body, or in chunks.  Meanwhile one proxy is stopped and started
again and again, and both get SIGHUP.  A violated rule ends the run with the request's id; the seed draws the
answers and the clients.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import httpx

from bench.common import argument_parser, quantile, summarize, write_report
from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster
from standins.backend import CLOSE_MARKER, LATE_MARKER, Backend, ExecutedRequest

FULL_REQUESTS, QUICK_REQUESTS = 20_000, 2_000
BACKENDS_PER_SERVICE = 4
WORKERS = 32  # requests that are open at the same time
SOUND_SHARE = 0.7  # of the answers
ACTION_SHARE, LEAVING_SHARE, SLOW_SHARE = 0.3, 0.1, 0.02  # of the requests
LONG_ANSWER_BYTES = 400_000  # of those that are read slowly
SLOW_READ_BYTES, SLOW_READ_PAUSE_S = 20_000, 0.02
MAX_LEAVE_AFTER_S = 0.03
LATE_S = 0.003  # after an answer, for late bytes: many connections have their next request by then
OPERATION_INTERVAL_S = 1.5  # between two signals
REFUSALS = (429, 503)
FAULTS = (
    "broken off", "closed", "second answer", "second status line", "other bytes", "failure", "refusal",
    "no content", "not modified", "chunked", "late second answer", "late part of a second answer",
)  # fmt: skip


class BrokenRuleError(AssertionError):
    """What a client or a backend saw breaks a rule; the text names the rule and the request."""


@dataclass(frozen=True)
class GivenAnswer:
    """What a backend did for a request."""

    status: int
    is_whole: bool


class FaultyAnswers:
    """Draws the answers of all backends, and remembers them by the id of the request."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.given: dict[str, list[GivenAnswer]] = {}
        self.counts: Counter[str] = Counter()

    def make_answer(self, request: ExecutedRequest) -> bytes:
        """Return the bytes of the answer, and note what they are."""
        kind = "sound" if self.random.random() < SOUND_SHARE else self.random.choice(FAULTS)
        self.counts[kind] += 1
        seal = f"Server-Seal: seal-{request.id}\r\n"
        body = expected_body(request.id, request.target)
        sound = Backend.encode_answer(200, request.id, body, seal)
        status, is_whole, data = 200, True, sound
        if kind == "broken off":
            is_whole, data = False, sound[: self.random.randrange(1, len(sound))] + CLOSE_MARKER
        elif kind == "closed":
            is_whole, data = False, CLOSE_MARKER
        elif kind == "second answer":
            data = sound + sound
        elif kind == "second status line":
            data = sound + b"HTTP/1.1 200 OK"[: self.random.randrange(1, 16)]
        elif kind == "late second answer":
            data = sound + LATE_MARKER + sound
        elif kind == "late part of a second answer":
            data = sound + LATE_MARKER + sound[: self.random.randrange(1, len(sound))]
        elif kind == "other bytes":
            data = sound + self.random.randbytes(self.random.randrange(1, 60))
        elif kind == "failure":
            status = 500
            data = Backend.encode_answer(status, request.id, b"failed", seal)
        elif kind == "refusal":
            status = 503
            data = Backend.encode_answer(status, request.id, headers="Not-Executed: 1\r\n")
        elif kind == "no content":
            status = 204
            data = f"HTTP/1.1 204 X\r\nTry-Id: {request.id}\r\n{seal}\r\n".encode()
        elif kind == "not modified":
            status = 304
            data = f"HTTP/1.1 304 X\r\nTry-Id: {request.id}\r\n{seal}\r\n".encode()
        elif kind == "chunked":
            head = f"HTTP/1.1 200 X\r\nTry-Id: {request.id}\r\n{seal}Transfer-Encoding: chunked\r\n\r\n"
            data = head.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        self.given.setdefault(request.id, []).append(GivenAnswer(status, is_whole))
        return data


def expected_body(id: str, target: str) -> bytes:
    """Return the body of a success for a request."""
    text = f"{id} {target} ".encode()
    return text * (LONG_ANSWER_BYTES // len(text)) if "long" in target else text


@dataclass
class Exchange:
    """A request of a client, and what came back."""

    id: str
    path: str
    answer: httpx.Response | None
    waited: bool  # for the whole answer
    seconds: float

    @property
    def is_action(self) -> bool:
        return self.path.startswith("/sign/")


class Clients:
    """Sends requests to the proxies that take them."""

    def __init__(self, cluster: LocalCluster, seed: int) -> None:
        self.cluster, self.random = cluster, random.Random(seed + 1)
        self.ready = list(cluster.proxy_ips)  # proxies that are not being stopped
        self.exchanges: list[Exchange] = []

    async def send_all(self, numbers_to_send: range) -> None:
        """Send the requests with these numbers, WORKERS at a time."""
        numbers = iter(numbers_to_send)

        async def work() -> None:
            for number in numbers:
                await self.send_one(f"r{number}")

        await asyncio.gather(*(work() for _ in range(WORKERS)))

    async def send_one(self, id: str) -> None:
        draw, proxy = self.random.random(), self.random.choice(self.ready)
        path = "/sign/1" if self.random.random() < ACTION_SHARE else "/read/1"
        began, answer = time.monotonic(), None
        if draw < LEAVING_SHARE:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_LEAVE_AFTER_S * self.random.random()):
                    await self.request(proxy, id, path)
        elif draw < LEAVING_SHARE + SLOW_SHARE:
            path = "/read/long"
            answer = await self.request(proxy, id, path, is_slow=True)
        else:
            answer = await self.request(proxy, id, path)
        waited = draw >= LEAVING_SHARE
        self.exchanges.append(Exchange(id, path, answer, waited, time.monotonic() - began))

    async def request(self, proxy: str, id: str, path: str, is_slow: bool = False) -> httpx.Response | None:
        """Send one request on a connection of its own; return None if it ends without a whole answer."""
        headers = {
            "Host": "minutes.example", "Try-Id": id, "Time-Remaining": "9000", "Connection": "close",
            "Authorization": "Bearer key-one",
        }  # fmt: skip
        method = "POST" if path.startswith("/sign/") else "GET"
        client, url = self.cluster.http_client, f"http://{proxy}:8520{path}"
        try:
            async with client.stream(method, url, headers=headers, timeout=20.0) as answer:
                parts = []
                async for part in answer.aiter_raw(SLOW_READ_BYTES):
                    parts.append(part)
                    if is_slow:
                        await asyncio.sleep(SLOW_READ_PAUSE_S)
                return httpx.Response(answer.status_code, headers=answer.headers, content=b"".join(parts))
        except httpx.HTTPError:
            return None


def check(exchange: Exchange, given: list[GivenAnswer]) -> None:
    """Check one exchange against what the backends did.  Raises BrokenRuleError."""
    answer, id = exchange.answer, exchange.id
    if exchange.is_action and len(given) > 1 and any(one.status not in REFUSALS for one in given[:-1]):
        raise BrokenRuleError(f"TWICE: the action {id} ran {len(given)} times")
    if answer is None:
        if exchange.waited and given:
            raise BrokenRuleError(f"LOST: {id} reached a backend and got no whole answer")
        return
    seal = answer.headers.get("server-seal")
    if seal is not None and seal != f"seal-{id}":
        raise BrokenRuleError(f"MIXED: {id} got the seal {seal}")
    if answer.status_code == 200 and answer.content != expected_body(id, exchange.path):
        raise BrokenRuleError(f"MIXED: {id} got a body of {len(answer.content)} bytes that is not its own")
    is_success = answer.is_success
    if (is_success or seal is not None) and GivenAnswer(answer.status_code, True) not in given:
        raise BrokenRuleError(f"MIXED: {id} got {answer.status_code} with {seal}, its backends gave {given}")
    if is_success and seal is None:
        raise BrokenRuleError(f"MIXED: {id} got {answer.status_code} without a seal")
    has_run = any(one.status not in REFUSALS for one in given)
    if exchange.is_action and answer.status_code in REFUSALS and has_run:
        raise BrokenRuleError(f"REFUSED: the action {id} ran, and was answered with {answer.status_code}")


async def disturb(cluster: LocalCluster, clients: Clients) -> None:
    """Send SIGHUP to both proxies in turn, and stop and start the first one, without an end."""
    first = cluster.proxy_ips[0]
    while True:
        for ip in cluster.proxy_ips:
            await asyncio.sleep(OPERATION_INTERVAL_S)
            cluster.send_signal(ip, signal.SIGHUP)
        clients.ready.remove(first)
        processes = cluster.processes[first]
        cluster.send_signal(first, signal.SIGTERM)
        for process in processes:
            await process.wait()
        await cluster.start(first)
        await cluster.wait_until_ready(first)
        clients.ready.append(first)


def memory_mb(cluster: LocalCluster, ip: str) -> float:
    """Return the resident memory of a proxy."""
    status = Path(f"/proc/{cluster.processes[ip][0].pid}/status").read_text()
    return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmRSS"))


def configuration() -> dict[str, object]:
    built = build_configuration(1)
    for route in built["route_table"]:
        route |= {"deadline": "9s", "target": "1s"}
    built["tenant_table"][0] |= {"rate_per_s": 5_000, "burst_size": 5_000}
    return built


async def play(count: int, seed: int, folder: Path) -> tuple[Clients, FaultyAnswers, list[float]]:
    """Send the requests; return clients, answers, and a proxy's memory at half and at the end, in MB."""
    answers = FaultyAnswers(seed)
    async with local_cluster(folder, timeout_s=900.0) as cluster:
        await cluster.start_all(initial_start=True)
        for number in range(BACKENDS_PER_SERVICE):
            for service in ("archive", "desk"):
                await cluster.start_backend(f"i-{service}-{number}", service)
        await cluster.put_configuration(configuration())
        for ip in cluster.proxy_ips:
            await cluster.wait_until_ready(ip)
            await cluster.wait_until_served(ip)
            await cluster.wait_until_served(ip, "/sign/1")
        for backend in cluster.backends:
            backend.make_answer, backend.late_s = answers.make_answer, LATE_S
        clients = Clients(cluster, seed)
        disturbing = asyncio.create_task(disturb(cluster, clients))
        memory = []
        for half in (range(count // 2), range(count // 2, count)):
            await clients.send_all(half)
            memory.append(memory_mb(cluster, cluster.proxy_ips[1]))
        disturbing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await disturbing
    return clients, answers, memory


def main() -> None:
    parser = argument_parser("backend_faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=0)
    args = parser.parse_args()
    count = args.requests or (QUICK_REQUESTS if args.quick else FULL_REQUESTS)
    with tempfile.TemporaryDirectory() as folder:
        clients, answers, memory = asyncio.run(play(count, args.seed, Path(folder)))
    for exchange in clients.exchanges:
        check(exchange, answers.given.get(exchange.id, []))
    waiting = [exchange for exchange in clients.exchanges if exchange.waited]
    statuses = Counter(str(e.answer.status_code) if e.answer else "closed" for e in waiting)
    figures = {f"answered {status}": summarize([n], "requests") for status, n in sorted(statuses.items())}
    figures |= {f"backends: {kind}": summarize([n], "answers") for kind, n in sorted(answers.counts.items())}
    times_s = [e.seconds for e in waiting if e.answer is not None and "long" not in e.path]
    figures["time of an answer, median"] = summarize([1000 * quantile(times_s, 0.5)], "ms")
    figures["time of an answer, 99 in 100"] = summarize([1000 * quantile(times_s, 0.99)], "ms")
    figures["memory of a proxy at half and at the end"] = summarize(memory, "MB")
    write_report(args, f"{count} requests, seed {args.seed}; no rule broken", figures, {})


if __name__ == "__main__":
    main()
