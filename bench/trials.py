"""Trials of one caller on live traffic: whom they reach at each door, what others feel, how soon they hold.

    python -m bench.trials [--quick] [--json FILE|-] [--page FILE]

Real processes on loopback, stand-in backends that write down each effect.  Rounds with a trial and without in
turn, all doors well; then a stretch in which doors join, leave, are killed and freeze and the leader is lost,
with a trial of 0.3 of the caller's requests.  Then trials are started and ended again and again at 3, 12 and
48 doors, and the last door that follows is timed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import signal
import statistics
import tempfile
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import httptools
import uvloop

from bench.common import argument_parser, quantile, render_html, summarize, write_report
from ivymux.fault_injection.request_matcher import LEASE_S
from ivymux.simulation.local_cluster import LocalCluster, local_cluster

DOORS, CORES, PARTNERS = 12, 3, 8
CAUGHT = "partner-3"  # whose requests are tried
ALIKE = "partner-33"  # and whose name begins so
SERVICES = ("archive", "desk")
PAUSE = 0.06  # seconds between one connection's requests
SHARE = 0.3
AT = (3, 12, 48)  # doors, where the time to the last one is measured
SETTLED = 2.0  # seconds behind the troubles, until connections that broke are there again
LIMIT = 30.0  # seconds that one wait may take


@dataclass(slots=True)
class Seen:
    """One request, as its caller has seen it."""

    at: float
    door: str
    caller: str
    name: str  # of an action, the same as its effect's; empty for a read
    status: int  # 0: the connection ended
    tried: bool  # answered by a trial's word
    took: float
    phase: str


class Caller(asyncio.Protocol):
    """One kept connection of a caller to a door; it comes again when it is cut."""

    def __init__(self, evening: Evening, door: str, caller: str, key: str) -> None:
        self.evening, self.door, self.caller, self.key = evening, door, caller, key
        self.transport: asyncio.Transport | None = None
        self.open = False
        self.name, self.phase, self.began = "", "", 0.0

    async def keep(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.evening.over:
            if self.transport is None:
                with contextlib.suppress(OSError):
                    await loop.create_connection(lambda: self, self.door, 8520)
            if self.transport is not None and not self.open:
                self.ask()
            await asyncio.sleep(PAUSE * random.uniform(0.5, 1.5))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)

    def ask(self) -> None:
        evening = self.evening
        number = next(evening.numbers)
        act = number % 3 == 0
        self.name = f"a{number}" if act else ""
        path = f"/sign/{self.name}" if act else f"/read/{number}"
        self.phase, self.began, self.open, self.body = evening.phase, time.perf_counter(), True, b""
        assert self.transport is not None
        self.transport.write(
            b"%s %s HTTP/1.1\r\nHost: minutes.example\r\nTry-Id: t%x\r\nTime-Remaining: 2000\r\n"
            b"Authorization: Bearer %s\r\nContent-Length: 0\r\n\r\n"
            % (b"POST" if act else b"GET", path.encode(), number, self.key.encode())
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.told(self.parser.get_status_code(), b"trial" in self.body)

    def told(self, status: int, tried: bool) -> None:
        if self.open:
            self.open = False
            now = time.perf_counter()
            self.evening.seen.append(
                Seen(now, self.door, self.caller, self.name, status, tried, now - self.began, self.phase)
            )

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.told(0, False)


class Evening:
    def __init__(self, cluster: LocalCluster, seed: int) -> None:
        self.cluster, self.chance = cluster, random.Random(seed)
        self.seen: list[Seen] = []
        self.numbers = iter(range(1, 1 << 60))
        self.phase = ""  # of what is asked now; empty: not counted
        self.over = False
        self.callers = [*(f"partner-{n}" for n in range(PARTNERS - 1)), ALIKE]
        self.events: list[tuple[float, str]] = []
        self.down: set[str] = set()
        self.effects: Counter[str] = Counter()

    def document(self) -> dict[str, Any]:
        return {
            "config_version": 1,
            "route_table": [
                {"name": name, "host_name": "minutes.example", "path_prefix": f"/{name}/", "deadline": "3s",
                 "route_type": kind, "target": "300ms", "service_name": service, "max_attempts": 2}
                for name, kind, service in (
                    ("read", "idempotent", "archive"), ("sign", "non_idempotent", "desk"))
            ],
            "service_table": [{"name": service} for service in SERVICES],
            "tenant_table": [
                {"name": name, "api_keys": [f"key-of-{name}"], "rate_per_s": 5000, "burst_size": 5000}
                for name in self.callers
            ],
        }  # fmt: skip

    async def begin(self, backends: int = 3) -> None:
        cluster = self.cluster
        await cluster.start_all(initial_start=True)
        for service in SERVICES:
            for n in range(backends):
                made = await cluster.start_backend(f"i-{service}-{n}", service)
                made.work = 0.01
        await cluster.put_configuration(self.document())
        for door in cluster.proxy_ips:
            await cluster.wait_until_ready(door)

    # --- trials ----------------------------------------------------------------------------------------

    async def call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """An operator's call, repeated at other core machines until it is answered."""
        async with asyncio.timeout(LIMIT):
            while True:
                for core in self.cluster.core_ips:
                    status, answer = await self.cluster.call_core(method, core, path, body)
                    if status == 200:
                        return dict(json.loads(answer))
                    if 400 <= status < 500:
                        raise AssertionError(answer.decode())
                await asyncio.sleep(0.02)

    async def start(self, name: str, **more: Any) -> None:
        body = {"caller": CAUGHT, "by": "ann", "why": "to see who fails", "lasts": "300s", **more}
        await self.call("PUT", f"/trials/{name}", body)

    async def end(self, name: str) -> None:
        await self.call("DELETE", f"/trials/{name}", {"by": "ann", "why": "seen"})

    async def everywhere(self, name: str) -> None:
        async with asyncio.timeout(LIMIT):
            while (await self.call("GET", f"/trials/{name}"))["not_in_force_at"]:
                await asyncio.sleep(0.05)

    async def span(self, phase: str, seconds: float) -> None:
        self.phase = phase
        await asyncio.sleep(seconds)
        self.phase = ""

    # --- troubles --------------------------------------------------------------------------------------

    async def troubles(self, seconds: float) -> None:
        cluster, until, lost = self.cluster, time.perf_counter() + seconds, False
        while time.perf_counter() < until:
            await asyncio.sleep(1.5)
            up = [d for d in cluster.proxy_ips if d not in self.down]
            kind = self.chance.choice(("kill", "leave", "freeze", "join"))
            if not lost and until - time.perf_counter() < seconds / 2:
                lost, kind = True, "leader"
            door = self.chance.choice(up)
            if kind == "leader":
                leader = cluster.primary_ip()
                await cluster.kill(leader)
                await cluster.start(leader)
            elif kind == "join" or len(up) < DOORS // 2:
                for gone in list(self.down):
                    await cluster.start(gone)
                    self.down.discard(gone)
            elif kind == "freeze":
                cluster.send_signal(door, signal.SIGSTOP)
                await asyncio.sleep(1.0)
                cluster.send_signal(door, signal.SIGCONT)
            else:
                self.down.add(door)
                await cluster.kill(door, signal.SIGTERM if kind == "leave" else signal.SIGKILL)
            self.events.append((time.perf_counter(), kind))
        for gone in list(self.down):
            await cluster.start(gone)
        self.down.clear()
        for door in cluster.proxy_ips:
            await cluster.wait_until_ready(door)
        await asyncio.sleep(SETTLED)


async def evening(folder: Path, quick: bool, seed: int) -> Evening:
    rounds, span, stretch = (2, 3.0, 10.0) if quick else (6, 8.0, 60.0)
    async with local_cluster(folder, CORES, DOORS, timeout_s=900.0) as cluster:
        made = Evening(cluster, seed)
        await made.begin()
        callers = [
            Caller(made, door, name, f"key-of-{name}") for door in cluster.proxy_ips for name in made.callers
        ]
        asking = [asyncio.create_task(caller.keep()) for caller in callers]
        await made.span("", 2.0)
        for n in range(rounds):
            await made.span(f"without {n}", span)
            await made.start(f"whole-{n}")
            await made.everywhere(f"whole-{n}")
            await made.span(f"whole {n}", span)
            await made.end(f"whole-{n}")
            await made.span("", 0.5)
        await made.start("part", share=SHARE)
        await made.everywhere("part")
        await made.span("part", span * 2)
        made.phase = "troubles"
        await made.troubles(stretch)
        made.phase = ""
        await made.end("part")
        await made.start("lost", does="lose", route="sign")
        await made.everywhere("lost")
        await made.span("lost", span)
        await made.end("lost")
        await made.span("after", span)
        made.over = True
        await asyncio.gather(*asking)
        made.effects = Counter(
            ran.target.rpartition("/")[2] for b in cluster.backends for ran in b.ran if ran.method == "POST"
        )
    return made


def judge(made: Evening) -> dict[str, float]:
    """Figures; AssertionError for what must not be."""
    seen = [s for s in made.seen if s.phase]
    others = [s for s in seen if s.caller != CAUGHT]
    own = [s for s in seen if s.caller == CAUGHT]
    shares: dict[str, dict[str, float]] = {}
    for kind in ("whole", "part"):
        for door in made.cluster.proxy_ips:
            there = [s for s in own if s.door == door and s.phase.startswith(kind)]
            shares.setdefault(kind, {})[door] = sum(s.tried for s in there) / max(1, len(there))
    many = sum(s.phase == "part" for s in own) / DOORS
    spread = 4 * math.sqrt(SHARE * (1 - SHARE) / max(1.0, many))
    quiet = [s for s in others if s.phase != "troubles"]
    told = {
        "requests of others": len(others),
        "of these answered by a trial's word": sum(s.tried for s in others),
        "of these failed while all doors were well": sum(s.status != 200 for s in quiet),
        "requests of the caller": len(own),
        "share failed with 1, least door": min(shares["whole"].values()),
        f"share failed with {SHARE}, least door": min(shares["part"].values()),
        f"share failed with {SHARE}, most": max(shares["part"].values()),
        "of the caller's, failed behind the trials": sum(
            s.status != 200 for s in own if s.phase == "after" or s.phase.startswith("without")
        ),
        "actions": sum(bool(s.name) for s in made.seen),
        "effects": sum(made.effects.values()),
        "doubled": sum(n > 1 for n in made.effects.values()),
        "answered and missing": sum(
            not made.effects[s.name] for s in made.seen if s.name and s.status == 200
        ),
        "said not to have run, and ran": sum(
            bool(made.effects[s.name]) for s in made.seen if s.name and s.status in (429, 503)
        ),
    }
    for name in (
        "of these answered by a trial's word", "of these failed while all doors were well", "doubled",
        "answered and missing", "said not to have run, and ran", "of the caller's, failed behind the trials",
    ):  # fmt: skip
        if told[name]:
            bad = [s for s in quiet if s.status != 200][:5]
            raise AssertionError(f"{name}: {told[name]}; {bad}")
    low, high = min(shares["part"].values()), max(shares["part"].values())
    if min(shares["whole"].values()) < 1 or not SHARE - spread <= low <= high <= SHARE + spread:
        raise AssertionError(f"shares: {shares}, within {spread:.3f}")
    return told


def spans(made: Evening) -> dict[str, float]:
    """Times of others with a trial over those without, rounds in turn."""
    found: dict[str, list[float]] = defaultdict(list)
    rounds = {s.phase.split()[1] for s in made.seen if s.phase.startswith("whole")}
    for n in sorted(rounds):
        times = {
            kind: [s.took for s in made.seen if s.caller != CAUGHT and s.phase == f"{kind} {n}"]
            for kind in ("whole", "without")
        }
        for name, part in (("p50", 0.5), ("p99", 0.99)):
            found[name].append(quantile(times["whole"], part) / quantile(times["without"], part))
    return {f"others' {name} with a trial over without": statistics.median(v) for name, v in found.items()}


async def speed(folder: Path, doors: int, times: int) -> dict[str, Any]:
    """From a trial's start and end to its effect at the last door."""
    async with local_cluster(folder, CORES, doors, timeout_s=600.0) as cluster:
        made = Evening(cluster, 1)
        await made.begin(1)
        last: dict[str, tuple[float, bool]] = {}
        callers = [Caller(made, door, CAUGHT, f"key-of-{CAUGHT}") for door in cluster.proxy_ips]

        def note(caller: Caller) -> Any:
            def told(status: int, tried: bool) -> None:
                caller.open = False
                last[caller.door] = caller.began, tried

            return told

        async def ask(caller: Caller) -> None:
            while not made.over:
                if caller.transport is None:
                    with contextlib.suppress(OSError):
                        await asyncio.get_running_loop().create_connection(lambda: caller, caller.door, 8520)
                elif not caller.open:
                    caller.ask()
                await asyncio.sleep(0.004 if doors < 20 else 0.012)

        for caller in callers:
            caller.told = note(caller)  # type: ignore[method-assign]
        asking = [asyncio.create_task(ask(caller)) for caller in callers]
        found: dict[str, list[float]] = {"start": [], "end": []}

        async def until(wanted: bool, since: float) -> float:
            async with asyncio.timeout(LIMIT):
                while len(last) < doors or any(on != wanted or at < since for at, on in last.values()):
                    await asyncio.sleep(0.001)
            return time.perf_counter() - since

        await until(False, time.perf_counter())
        for n in range(times):
            began = time.perf_counter()
            await made.start(f"t{n}")
            found["start"].append(await until(True, began))
            began = time.perf_counter()
            await made.end(f"t{n}")
            found["end"].append(await until(False, began))
        made.over = True
        await asyncio.gather(*asking)
    return {
        f"{doors} doors: from a trial's {kind} to its effect at the last": summarize(values, "s")
        for kind, values in found.items()
    }


def page(made: Evening, found: dict[str, Any]) -> str:
    """An HTML page: the caller against others, door by door, over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    first = min(s.at for s in made.seen)
    plot, axes = plt.subplots(len(made.cluster.proxy_ips), 1, figsize=(12, 14), sharex=True)
    for axis, door in zip(axes, made.cluster.proxy_ips, strict=True):
        for own, color in ((False, "tab:blue"), (True, "tab:red")):
            bins: dict[int, list[bool]] = defaultdict(list)
            for s in made.seen:
                if s.door == door and (s.caller == CAUGHT) == own:
                    bins[int(s.at - first)].append(s.status != 200)
            at = sorted(bins)
            axis.step(at, [sum(bins[t]) / len(bins[t]) for t in at], color=color, linewidth=1)
        for when, kind in made.events:
            axis.axvline(when - first, color="0.8" if kind != "leader" else "0.3", linewidth=0.6)
        axis.set_ylim(-0.05, 1.05)
        axis.set_ylabel(door.rpartition(".")[2])
    axes[0].set_title(
        "share failed by door and second: the caller red, others blue; grey: doors, dark: leader"
    )
    plot.tight_layout()
    return render_html("Trials of one caller", plot, found)


async def main() -> None:
    arguments = argument_parser("trials")
    arguments.add_argument("--seed", type=int, default=1)
    arguments.add_argument("--page", type=Path)
    args = arguments.parse_args()
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        made = await evening(Path(folder), args.quick, args.seed)
    told = judge(made)
    figures |= {name: summarize([value], "") for name, value in told.items()}
    ratios = spans(made)
    if args.page is not None:
        args.page.write_text(page(made, told | ratios))
    for doors in AT[:1] if args.quick else AT:
        with tempfile.TemporaryDirectory() as folder:
            figures |= await speed(Path(folder), doors, 10 if args.quick else 100)
    what = Counter(kind for _, kind in made.events)
    load = f"{DOORS} doors, {CORES} core machines, {PARTNERS} partners, {dict(what)}, lease {LEASE_S:g} s"
    write_report(args, load, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
