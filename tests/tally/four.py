"""Four gateways over loopback, each with a faulty counter server, and workers that record requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ivymux.routes.description import compile_description
from ivymux.service.callers import hash_key
from ivymux.service.standalone import StandaloneGateway, load_site
from standins.tally import CopyableStore, FaultyCounterServer
from standins.worker import ReceivedRequest, Reply, Worker
from tests.routes.describing import described, operation
from tests.service.fixtures import Client

GATEWAY_COUNT = 4
RATE, BURST = 5.0, 18.0  # of each customer's quota; its ceiling is twice that
PATHS = {"/read/{id}": {"get": operation(x={"deadline": 2.0, "aim": 1.5})}}


@dataclass
class FourGateways:
    """The gateways, their connections to the counter, and what clients and workers observed."""

    gateways: list[StandaloneGateway]
    counter_servers: list[FaultyCounterServer]
    workers: list[Worker]
    store: CopyableStore
    folder: Path
    begin: float
    # By customer: the times at which requests ran, the answers by status, and the answers to requests that
    # were sent during the outage.
    run_times: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    answer_counts: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    outage_answers: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    outage: tuple[float, float] = (0.0, 0.0)  # begin and end, in seconds from the start
    unanswered: int = 0

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time() - self.begin

    async def sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.now))

    async def generate_load(self, customer: str, rate: float, shares: Iterable[float], end: float) -> None:
        """Send `rate` requests per second at random times (open loop), spread over gateways by shares."""
        rng, weights = random.Random(customer), list(shares)
        tasks: set[asyncio.Task[None]] = set()
        at = 0.0
        while (at := at + rng.expovariate(rate)) < end:
            await self.sleep_until(at)
            (gateway,) = rng.choices(range(GATEWAY_COUNT), weights)
            tasks.add(asyncio.create_task(self.send_request(gateway, customer)))
            tasks = {task for task in tasks if not task.done()}
        await asyncio.gather(*tasks)

    async def send_request(self, gateway: int, customer: str) -> None:
        at = self.now
        try:
            async with Client(self.gateways[gateway]) as client:
                answer = await client.send_request("GET /read/7", b"", f"iv_{customer}")
        except (OSError, asyncio.IncompleteReadError):
            self.unanswered += 1  # the gateway was killed
            return
        self.answer_counts[customer][answer.status] += 1
        if self.outage[0] <= at < self.outage[1]:
            self.outage_answers[customer][answer.status] += 1
        assert answer.status == 200 or answer.header("retry-after"), answer

    async def restart(self, number: int) -> None:
        """Kill a gateway and start another one without state in its place."""
        await self.gateways[number].close()
        self.gateways[number] = await start_gateway(self, number)

    def overshoot(self, customer: str, rate: float, burst: float) -> float:
        """Return the maximum of units that ran beyond a bucket that was full at first."""
        level, last, worst = burst, 0.0, 0.0
        for at in self.run_times[customer]:
            level, last = min(burst, level + (at - last) * rate) - 1, at
            worst = max(worst, -level)
        return worst

    def served_share(self, customer: str) -> float:
        """Return the share of requests sent during the outage that were served."""
        found = self.outage_answers[customer]
        return found[200] / max(1, found.total())

    async def set_fault(self, fault: str, gateways: Iterable[int] = range(GATEWAY_COUNT)) -> None:
        """Change the fault of the counter as these gateways reach it (see FaultyCounterServer)."""
        for gateway in gateways:
            await self.counter_servers[gateway].set_fault(fault)

    def use_counter(self, store: CopyableStore, gateways: Iterable[int] = range(GATEWAY_COUNT)) -> None:
        """Connect these gateways to another counter."""
        for gateway in gateways:
            self.counter_servers[gateway].use_store(store)


def write_site_file(
    folder: Path,
    number: int,
    counter_server: FaultyCounterServer,
    workers: list[Worker],
    customers: Iterable[str],
) -> Path:
    keys = [f'[[callers.keys]]\ncustomer = "{c}"\nplan = "council"\nhash = "{hash_key(f"iv_{c}".encode())}"'
            for c in customers]  # fmt: skip
    text = [
        'listen = "127.0.0.1:0"', '[description]\nfile = "api.json"\nwatch = 0',
        f"[tally]\naddress = \"127.0.0.1:{counter_server.port}\"\ndoors = {GATEWAY_COUNT}",
        f"number = {number}\ntimeout = 0.25",
        "[limits]\nmax_retry_after = 2.0",
        f"[plans.council]\nrate = {RATE}\nburst = {BURST}",
        f"ceiling = {{ rate = {2 * RATE}, burst = {2 * BURST} }}",
        *keys,
        *(f'[[workers]]\nname = "w{n}"\naddress = "{w.address}"' for n, w in enumerate(workers)),
    ]  # fmt: skip
    path = folder / f"site{number}.toml"
    path.write_text("\n".join(text))
    return path


async def start_gateway(cluster: FourGateways, number: int, clock_error: float = 0.0) -> StandaloneGateway:
    """Start a gateway; `clock_error`: seconds by which its machine's wall clock is wrong."""
    path = cluster.folder / f"site{number}.toml"
    site = load_site(path)
    data = (cluster.folder / "api.json").read_bytes()
    gateway = StandaloneGateway(
        path, site, compile_description("api.json", {"api.json": data}.__getitem__, site.options)
    )
    gateway.clock.offset += clock_error
    gateway.clock.last_time += clock_error
    await gateway.start()
    return gateway


@contextlib.asynccontextmanager
async def run_four_gateways(folder: Path, customers: Iterable[str]) -> AsyncIterator[FourGateways]:
    """Start everything; each worker answers after 5 ms and records when a customer's request ran."""
    loop = asyncio.get_running_loop()
    store = CopyableStore()
    cluster = FourGateways([], [], [], store, folder, loop.time())

    def respond(request: ReceivedRequest) -> Reply:
        cluster.run_times[request.header("ivymux-customer")].append(cluster.now)
        return Reply(delay=0.005)

    cluster.workers = [await Worker(respond=respond).start() for _ in range(4)]
    cluster.counter_servers = [await FaultyCounterServer(store).start() for _ in range(GATEWAY_COUNT)]
    (folder / "api.json").write_text(json.dumps(described(PATHS)))
    customer_list = list(customers)
    for number, counter_server in enumerate(cluster.counter_servers):
        write_site_file(folder, number, counter_server, cluster.workers, customer_list)
        cluster.gateways.append(await start_gateway(cluster, number))
    cluster.begin = loop.time()
    try:
        yield cluster
    finally:
        for gateway in cluster.gateways:
            await gateway.close()
        for counter_server in cluster.counter_servers:
            counter_server.stop()
        for worker in cluster.workers:
            worker.stop()
