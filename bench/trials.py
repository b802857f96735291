"""Trials on one caller with live traffic: the share failed per proxy, the effect on others, the delays.

    python -m bench.trials [--quick] [--json FILE|-] [--page FILE]

Runs real processes on loopback addresses, and stand-in backends that record each effect.  First, rounds with
and without a trial alternate while all proxies run.  Then proxies join, leave, freeze and are killed and the
primary is lost, during a trial that fails 0.3 of the caller's requests.  Finally trials are started and ended
repeatedly with 3, 12 and 48 proxies, to measure the delay until the last proxy applies the change.
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

PROXIES, CORE_MACHINES, CALLERS = 12, 3, 8
TRIED_CALLER = "partner-3"  # the caller that the trials are on
SIMILAR_CALLER = "partner-33"  # a caller whose name begins with TRIED_CALLER
SERVICES = ("archive", "desk")
PAUSE_S = 0.06  # mean time after which a connection sends its next request, if it has its answer
TRIAL_SHARE = 0.3
PROXY_COUNTS = (3, 12, 48)  # with which the delay to the last proxy is measured
SETTLE_S = 2.0  # after the faults, for lost connections to be established again
WAIT_LIMIT_S = 30.0  # for each wait


@dataclass(slots=True)
class Observation:
    """The outcome of one request as its caller sees it."""

    time: float
    proxy: str
    caller: str
    action: str  # the name that the action's effect has at the backend; empty for a read
    status: int  # 0 if the connection was lost
    by_trial: bool  # whether a trial made the answer
    latency_s: float
    phase: str


class CallerConnection(asyncio.Protocol):
    """A caller's connection to a proxy, with one request at a time; a lost connection is reconnected."""

    def __init__(self, run: TrialRun, proxy: str, caller: str, key: str) -> None:
        self.run, self.proxy, self.caller, self.key = run, proxy, caller, key
        self.transport: asyncio.Transport | None = None
        self.awaits_answer = False
        self.action, self.phase, self.sent_at = "", "", 0.0

    async def keep_requesting(self) -> None:
        """Sends requests one after another until the run is over, reconnecting if needed."""
        loop = asyncio.get_running_loop()
        while not self.run.is_over:
            if self.transport is None:
                with contextlib.suppress(OSError):
                    await loop.create_connection(lambda: self, self.proxy, 8520)
            if self.transport is not None and not self.awaits_answer:
                self.send_request()
            await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)

    def send_request(self) -> None:
        run = self.run
        number = next(run.request_numbers)
        is_action = number % 3 == 0
        self.action = f"a{number}" if is_action else ""
        path = f"/sign/{self.action}" if is_action else f"/read/{number}"
        self.phase, self.sent_at, self.awaits_answer, self.body = run.phase, time.perf_counter(), True, b""
        assert self.transport is not None
        self.transport.write(
            b"%s %s HTTP/1.1\r\nHost: minutes.example\r\nTry-Id: t%x\r\nTime-Remaining: 2000\r\n"
            b"Authorization: Bearer %s\r\nContent-Length: 0\r\n\r\n"
            % (b"POST" if is_action else b"GET", path.encode(), number, self.key.encode())
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.record(self.parser.get_status_code(), b"trial" in self.body)

    def record(self, status: int, by_trial: bool) -> None:
        if self.awaits_answer:
            self.awaits_answer = False
            now = time.perf_counter()
            self.run.observations.append(
                Observation(
                    now,
                    self.proxy,
                    self.caller,
                    self.action,
                    status,
                    by_trial,
                    now - self.sent_at,
                    self.phase,
                )
            )

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.record(0, False)


class TrialRun:
    """A local cluster under load, the trials and faults in it, and what the callers observed."""

    def __init__(self, cluster: LocalCluster, seed: int) -> None:
        self.cluster, self.random = cluster, random.Random(seed)
        self.observations: list[Observation] = []
        self.request_numbers = iter(range(1, 1 << 60))
        self.phase = ""  # of the requests that are sent now; requests of the empty phase are not counted
        self.is_over = False
        self.callers = [*(f"partner-{n}" for n in range(CALLERS - 1)), SIMILAR_CALLER]
        self.faults: list[tuple[float, str]] = []
        self.stopped_proxies: set[str] = set()
        self.effects: Counter[str] = Counter()

    def configuration(self) -> dict[str, Any]:
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

    async def start_cluster(self, backends: int = 3) -> None:
        cluster = self.cluster
        await cluster.start_all(initial_start=True)
        for service in SERVICES:
            for n in range(backends):
                backend = await cluster.start_backend(f"i-{service}-{n}", service)
                backend.work_s = 0.01
        await cluster.put_configuration(self.configuration())
        for proxy in cluster.proxy_ips:
            await cluster.wait_until_ready(proxy)

    # --- trials ----------------------------------------------------------------------------------------

    async def call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Makes an operator's call; repeats it at the core machines in turn until it succeeds."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                for core in self.cluster.core_ips:
                    status, answer = await self.cluster.call_core(method, core, path, body)
                    if status == 200:
                        return dict(json.loads(answer))
                    if 400 <= status < 500:
                        raise AssertionError(answer.decode())
                await asyncio.sleep(0.02)

    async def start_trial(self, name: str, **fields: Any) -> None:
        body = {"caller": TRIED_CALLER, "by": "ann", "why": "to see who fails", "lasts": "300s", **fields}
        await self.call("PUT", f"/trials/{name}", body)

    async def end_trial(self, name: str) -> None:
        await self.call("DELETE", f"/trials/{name}", {"by": "ann", "why": "seen"})

    async def wait_until_in_force(self, name: str) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while (await self.call("GET", f"/trials/{name}"))["not_in_force_at"]:
                await asyncio.sleep(0.05)

    async def measure_phase(self, phase: str, duration_s: float) -> None:
        """Counts the requests of a time under the name of a phase."""
        self.phase = phase
        await asyncio.sleep(duration_s)
        self.phase = ""

    # --- faults --------------------------------------------------------------------------------------

    async def inject_faults(self, duration_s: float) -> None:
        """Kills, stops, freezes and starts proxies, and once the primary; then starts all again."""
        cluster, ends_at, primary_lost = self.cluster, time.perf_counter() + duration_s, False
        while time.perf_counter() < ends_at:
            await asyncio.sleep(1.5)
            running = [ip for ip in cluster.proxy_ips if ip not in self.stopped_proxies]
            kind = self.random.choice(("kill", "leave", "freeze", "join"))
            if not primary_lost and ends_at - time.perf_counter() < duration_s / 2:
                primary_lost, kind = True, "leader"
            proxy = self.random.choice(running)
            if kind == "leader":
                primary = cluster.primary_ip()
                await cluster.kill(primary)
                await cluster.start(primary)
            elif kind == "join" or len(running) < PROXIES // 2:
                for stopped in list(self.stopped_proxies):
                    await cluster.start(stopped)
                    self.stopped_proxies.discard(stopped)
            elif kind == "freeze":
                cluster.send_signal(proxy, signal.SIGSTOP)
                await asyncio.sleep(1.0)
                cluster.send_signal(proxy, signal.SIGCONT)
            else:
                self.stopped_proxies.add(proxy)
                await cluster.kill(proxy, signal.SIGTERM if kind == "leave" else signal.SIGKILL)
            self.faults.append((time.perf_counter(), kind))
        for stopped in list(self.stopped_proxies):
            await cluster.start(stopped)
        self.stopped_proxies.clear()
        for proxy in cluster.proxy_ips:
            await cluster.wait_until_ready(proxy)
        await asyncio.sleep(SETTLE_S)


async def run_trials(directory: Path, quick: bool, seed: int) -> TrialRun:
    """Runs all phases on one cluster and returns what was observed."""
    rounds, phase_s, faults_s = (2, 3.0, 10.0) if quick else (6, 8.0, 60.0)
    async with local_cluster(directory, CORE_MACHINES, PROXIES, timeout_s=900.0) as cluster:
        run = TrialRun(cluster, seed)
        await run.start_cluster()
        callers = [
            CallerConnection(run, proxy, name, f"key-of-{name}")
            for proxy in cluster.proxy_ips
            for name in run.callers
        ]
        tasks = [asyncio.create_task(caller.keep_requesting()) for caller in callers]
        await run.measure_phase("", 2.0)
        for n in range(rounds):
            await run.measure_phase(f"without {n}", phase_s)
            await run.start_trial(f"whole-{n}")
            await run.wait_until_in_force(f"whole-{n}")
            await run.measure_phase(f"whole {n}", phase_s)
            await run.end_trial(f"whole-{n}")
            await run.measure_phase("", 0.5)
        await run.start_trial("part", share=TRIAL_SHARE)
        await run.wait_until_in_force("part")
        await run.measure_phase("part", phase_s * 2)
        run.phase = "troubles"
        await run.inject_faults(faults_s)
        run.phase = ""
        await run.end_trial("part")
        await run.start_trial("lost", does="lose", route="sign")
        await run.wait_until_in_force("lost")
        await run.measure_phase("lost", phase_s)
        await run.end_trial("lost")
        await run.measure_phase("after", phase_s)
        run.is_over = True
        await asyncio.gather(*tasks)
        run.effects = Counter(
            request.target.rpartition("/")[2]
            for backend in cluster.backends
            for request in backend.executed
            if request.method == "POST"
        )
    return run


def check_run(run: TrialRun) -> dict[str, float]:
    """The run's figures; raises AssertionError if a trial affected other callers or an answer is wrong."""
    counted = [seen for seen in run.observations if seen.phase]
    others = [seen for seen in counted if seen.caller != TRIED_CALLER]
    own = [seen for seen in counted if seen.caller == TRIED_CALLER]
    shares: dict[str, dict[str, float]] = {}
    for kind in ("whole", "part"):
        for proxy in run.cluster.proxy_ips:
            at_proxy = [seen for seen in own if seen.proxy == proxy and seen.phase.startswith(kind)]
            shares.setdefault(kind, {})[proxy] = sum(seen.by_trial for seen in at_proxy) / max(
                1, len(at_proxy)
            )
    requests_per_proxy = sum(seen.phase == "part" for seen in own) / PROXIES
    tolerance = 4 * math.sqrt(TRIAL_SHARE * (1 - TRIAL_SHARE) / max(1.0, requests_per_proxy))
    without_faults = [seen for seen in others if seen.phase != "troubles"]
    totals = {
        "requests of others": len(others),
        "of these answered by a trial's word": sum(seen.by_trial for seen in others),
        "of these failed while all doors were well": sum(seen.status != 200 for seen in without_faults),
        "requests of the caller": len(own),
        "share failed with 1, least door": min(shares["whole"].values()),
        f"share failed with {TRIAL_SHARE}, least door": min(shares["part"].values()),
        f"share failed with {TRIAL_SHARE}, most": max(shares["part"].values()),
        "of the caller's, failed behind the trials": sum(
            seen.status != 200 for seen in own if seen.phase == "after" or seen.phase.startswith("without")
        ),
        "actions": sum(bool(seen.action) for seen in run.observations),
        "effects": sum(run.effects.values()),
        "doubled": sum(n > 1 for n in run.effects.values()),
        "answered and missing": sum(
            not run.effects[seen.action] for seen in run.observations if seen.action and seen.status == 200
        ),
        "said not to have run, and ran": sum(
            bool(run.effects[seen.action])
            for seen in run.observations
            if seen.action and seen.status in (429, 503)
        ),
    }
    for name in (
        "of these answered by a trial's word", "of these failed while all doors were well", "doubled",
        "answered and missing", "said not to have run, and ran", "of the caller's, failed behind the trials",
    ):  # fmt: skip
        if totals[name]:
            failed = [seen for seen in without_faults if seen.status != 200][:5]
            raise AssertionError(f"{name}: {totals[name]}; {failed}")
    low, high = min(shares["part"].values()), max(shares["part"].values())
    if (
        min(shares["whole"].values()) < 1
        or not TRIAL_SHARE - tolerance <= low <= high <= TRIAL_SHARE + tolerance
    ):
        raise AssertionError(f"shares: {shares}, within {tolerance:.3f}")
    return totals


def latency_ratios(run: TrialRun) -> dict[str, float]:
    """Latencies of the other callers with a trial relative to those without: the median over the rounds."""
    round_ratios: dict[str, list[float]] = defaultdict(list)
    rounds = {seen.phase.split()[1] for seen in run.observations if seen.phase.startswith("whole")}
    for n in sorted(rounds):
        latencies_s = {
            kind: [
                seen.latency_s
                for seen in run.observations
                if seen.caller != TRIED_CALLER and seen.phase == f"{kind} {n}"
            ]
            for kind in ("whole", "without")
        }
        for name, fraction in (("p50", 0.5), ("p99", 0.99)):
            round_ratios[name].append(
                quantile(latencies_s["whole"], fraction) / quantile(latencies_s["without"], fraction)
            )
    return {
        f"others' {name} with a trial over without": statistics.median(values)
        for name, values in round_ratios.items()
    }


async def propagation_delays(directory: Path, proxies: int, rounds: int) -> dict[str, Any]:
    """Delays from a trial's start and end to its effect at the last proxy."""
    async with local_cluster(directory, CORE_MACHINES, proxies, timeout_s=600.0) as cluster:
        run = TrialRun(cluster, 1)
        await run.start_cluster(1)
        last_answers: dict[str, tuple[float, bool]] = {}
        callers = [
            CallerConnection(run, proxy, TRIED_CALLER, f"key-of-{TRIED_CALLER}")
            for proxy in cluster.proxy_ips
        ]

        def recorder(caller: CallerConnection) -> Any:
            def record(status: int, by_trial: bool) -> None:
                caller.awaits_answer = False
                last_answers[caller.proxy] = caller.sent_at, by_trial

            return record

        async def keep_requesting(caller: CallerConnection) -> None:
            while not run.is_over:
                if caller.transport is None:
                    with contextlib.suppress(OSError):
                        await asyncio.get_running_loop().create_connection(lambda: caller, caller.proxy, 8520)
                elif not caller.awaits_answer:
                    caller.send_request()
                await asyncio.sleep(0.004 if proxies < 20 else 0.012)

        for caller in callers:
            caller.record = recorder(caller)  # type: ignore[method-assign]
        tasks = [asyncio.create_task(keep_requesting(caller)) for caller in callers]
        delays_s: dict[str, list[float]] = {"start": [], "end": []}

        async def seconds_until(wanted: bool, since: float) -> float:
            async with asyncio.timeout(WAIT_LIMIT_S):
                while len(last_answers) < proxies or any(
                    by_trial != wanted or sent_at < since for sent_at, by_trial in last_answers.values()
                ):
                    await asyncio.sleep(0.001)
            return time.perf_counter() - since

        await seconds_until(False, time.perf_counter())
        for n in range(rounds):
            ordered_at = time.perf_counter()
            await run.start_trial(f"t{n}")
            delays_s["start"].append(await seconds_until(True, ordered_at))
            ordered_at = time.perf_counter()
            await run.end_trial(f"t{n}")
            delays_s["end"].append(await seconds_until(False, ordered_at))
        run.is_over = True
        await asyncio.gather(*tasks)
    return {
        f"{proxies} doors: from a trial's {kind} to its effect at the last": summarize(values, "s")
        for kind, values in delays_s.items()
    }


def result_page(run: TrialRun, results: dict[str, Any]) -> str:
    """An HTML page with the failed share of the caller and of the others, by proxy and over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    first = min(seen.time for seen in run.observations)
    plot, axes = plt.subplots(len(run.cluster.proxy_ips), 1, figsize=(12, 14), sharex=True)
    for axis, proxy in zip(axes, run.cluster.proxy_ips, strict=True):
        for of_tried_caller, color in ((False, "tab:blue"), (True, "tab:red")):
            failed_by_second: dict[int, list[bool]] = defaultdict(list)
            for seen in run.observations:
                if seen.proxy == proxy and (seen.caller == TRIED_CALLER) == of_tried_caller:
                    failed_by_second[int(seen.time - first)].append(seen.status != 200)
            seconds = sorted(failed_by_second)
            axis.step(
                seconds,
                [sum(failed_by_second[t]) / len(failed_by_second[t]) for t in seconds],
                color=color,
                linewidth=1,
            )
        for faulted_at, kind in run.faults:
            axis.axvline(faulted_at - first, color="0.8" if kind != "leader" else "0.3", linewidth=0.6)
        axis.set_ylim(-0.05, 1.05)
        axis.set_ylabel(proxy.rpartition(".")[2])
    axes[0].set_title(
        "share failed by proxy and second: the caller red, others blue; grey: proxies, dark: the primary"
    )
    plot.tight_layout()
    return render_html("Trials of one caller", plot, results)


async def main() -> None:
    parser = argument_parser("trials")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--page", type=Path)
    args = parser.parse_args()
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as directory:
        run = await run_trials(Path(directory), args.quick, args.seed)
    totals = check_run(run)
    figures |= {name: summarize([value], "") for name, value in totals.items()}
    ratios = latency_ratios(run)
    if args.page is not None:
        args.page.write_text(result_page(run, totals | ratios))
    for proxies in PROXY_COUNTS[:1] if args.quick else PROXY_COUNTS:
        with tempfile.TemporaryDirectory() as directory:
            figures |= await propagation_delays(Path(directory), proxies, 10 if args.quick else 100)
    fault_counts = Counter(kind for _, kind in run.faults)
    workload = (
        f"{PROXIES} doors, {CORE_MACHINES} core machines, {CALLERS} partners, "
        f"{dict(fault_counts)}, lease {LEASE_S:g} s"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
