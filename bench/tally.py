"""The counter service: throughput next to an echo server, recovery, and outages with simulated gateways.

    python -m bench.tally [--quick] [--json FILE|-]

Measures the calls per second in memory and with a file, and the recovery from a file.  In a simulation it
measures the calls of gateways, the share of requests that they serve with and without the counter, and the
time after an outage until they serve as before.
"""

from __future__ import annotations

import asyncio
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any, cast

import hiredis
import uvloop

from bench.common import ChildProcess, parse_arguments, quantile, summarize, write_report
from ivymux.service.site import COUNTER_CALL_RATE
from ivymux.tally.durable import DurableStore
from ivymux.tally.journal import encode_header, encode_record
from standins.world import GatewaySimulation, make_plan

CONNECTIONS, PIPELINED_CALLS = 8, 16  # connections, and outstanding calls on each


class CounterConnection(asyncio.Protocol):
    """A connection with PIPELINED_CALLS outstanding calls; sends one more call for each answer."""

    def __init__(self, count: int, prefix: int) -> None:
        self.remaining, self.prefix, self.name_number = count, prefix, 0
        self.reader = hiredis.Reader()
        self.sent_at: list[float] = []
        self.latencies_s: list[float] = []
        self.answered = 0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send_calls(PIPELINED_CALLS)

    def send_calls(self, count: int) -> None:
        calls = []
        for _ in range(min(count, self.remaining)):
            self.remaining -= 1
            self.name_number = (self.name_number + 1) % 5000
            calls.append(
                hiredis.pack_command(("TALLY", f"{self.prefix}-{self.name_number}", "1.5", "60000"))  # type: ignore[arg-type]
            )
        self.sent_at += [time.perf_counter()] * len(calls)
        if calls:
            self.transport.write(b"".join(calls))

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        now, answer_count = time.perf_counter(), 0
        while (answer := self.reader.gets()) is not False:
            if not isinstance(answer, bytes):
                raise AssertionError(f"not a total: {answer!r}")
            self.latencies_s.append(now - self.sent_at[self.answered])
            self.answered += 1
            answer_count += 1
        if self.remaining:
            self.send_calls(answer_count)
        elif self.answered == len(self.sent_at) and not self.done.done():
            self.done.set_result(None)


async def measure_calls(port: int, server: Any, count: int) -> tuple[float, float, float]:
    """Calls per second of CPU time, calls per second, and the p99 latency in milliseconds."""
    loop, started_at, cpu_before = asyncio.get_running_loop(), time.perf_counter(), server.cpu_seconds()
    connections = [
        (
            await loop.create_connection(
                lambda n=n: CounterConnection(count // CONNECTIONS, n),  # type: ignore[misc]
                "127.0.0.1",
                port,
            )
        )[1]
        for n in range(CONNECTIONS)
    ]
    async with asyncio.timeout(60):
        await asyncio.gather(*(connection.done for connection in connections))
    elapsed_s, cpu_s = time.perf_counter() - started_at, server.cpu_seconds() - cpu_before
    latencies_s = [latency for connection in connections for latency in connection.latencies_s]
    for connection in connections:
        connection.transport.close()
    if len(latencies_s) != count // CONNECTIONS * CONNECTIONS:
        raise AssertionError("some calls were not answered")
    return len(latencies_s) / cpu_s, len(latencies_s) / elapsed_s, quantile(latencies_s, 0.99) * 1e3


class CounterProcess(ChildProcess):
    """A process that runs the counter service, `ivymux tally`."""

    def __init__(self, *options: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ivymux", "tally", "--listen", "127.0.0.1:0", *options],
            stderr=subprocess.PIPE,
        )
        assert self.process.stderr is not None
        match = None
        while match is None:
            line = self.process.stderr.readline()
            if not line:
                raise AssertionError("the counter service exited before it listened")
            match = re.search(rb"tally on \S+:(\d+)", line)
        self.port = int(match[1])


async def measure_throughput(quick: bool, directory: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """Calls per second of an echo server and of the counter service, in memory and with a file."""
    servers: dict[str, ChildProcess] = {
        "a bare echo": ChildProcess("-m", "bench.parts", "echo"),
        "in memory": CounterProcess(),
        "with a file": CounterProcess("--file", str(directory / "counts")),
    }
    measured: dict[str, list[tuple[float, float, float]]] = {name: [] for name in servers}
    try:
        for turn in range(4 if quick else 12):
            for name, server in servers.items():
                rates = await measure_calls(server.port, server, 16_000 if quick else 40_000)
                if turn:  # the first turn is a warm-up
                    measured[name].append(rates)
    finally:
        for server in servers.values():
            server.stop()
    figures = {}
    for name, runs in measured.items():
        figures[f"{name}: calls a second of CPU"] = summarize([run[0] for run in runs], "1/s")
        figures[f"{name}: calls a second"] = summarize([run[1] for run in runs], "1/s")
        figures[f"{name}: p99"] = summarize([run[2] for run in runs], "ms")
    echo_runs = measured.pop("a bare echo")
    return figures, {
        f"CPU for a call {name} over a bare echo": statistics.median(
            echo_run[0] / run[0] for echo_run, run in zip(echo_runs, runs, strict=True)
        )
        for name, runs in measured.items()
    }


def measure_recovery(quick: bool, directory: Path) -> dict[str, Any]:
    """The time to recover a store from a file with many names."""
    count, durations_s = 100_000 if quick else 1_000_000, []
    expires_at = time.time() + 3600
    path = directory / "many"
    path.write_bytes(
        encode_header(os.urandom(16))
        + b"".join(encode_record(b"%d" % n, 1.5, expires_at) for n in range(count))
    )
    for _ in range(1 if quick else 3):
        started_at = time.perf_counter()
        store = DurableStore(path)
        durations_s.append(time.perf_counter() - started_at)
        if len(store.totals) != count:
            raise AssertionError("the recovery lost names")
        store.close()
    return {f"recovery of {count} names": summarize(durations_s, "s")}


def record_totals(simulation: GatewaySimulation, totals: list[tuple[int, int]]) -> None:
    """Appends the numbers of calls and of requests so far."""
    totals.append((simulation.calls, sum(simulation.request_counts.values())))


def simulate_outage(quick: bool) -> tuple[dict[str, Any], dict[str, float]]:
    """Simulated gateways: calls per request, the served share, and the recovery after an outage.

    Forty customers use half of their quota and one sends five times its quota; the counter is unreachable
    during the middle third of the time.
    """
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    length, rate, burst = (30.0 if quick else 60.0), 20.0, 40.0
    for gateway_count in (4, 32) if quick else (4, 32, 256):
        simulation = GatewaySimulation(
            gateway_count, make_plan(rate, burst, 2.0), seed=3, call_rate=COUNTER_CALL_RATE
        )
        began, tenth_of_rate = simulation.now, rate / 2 / 10  # of an ordinary customer, at half of its quota
        gateways_of = [[(n * 7 + k) % gateway_count for k in range(4)] for n in range(40)]
        for customer, gateways in enumerate(gateways_of, start=2):
            simulation.generate_load(customer, 10 * tenth_of_rate, gateways, began, began + length)
        simulation.generate_load(1, 5 * rate, range(gateway_count), began, began + length)
        totals: list[tuple[int, int]] = []
        outage_began, outage_ended = began + length / 3, began + 2 * length / 3
        for moment, state in ((outage_began, "silent"), (outage_ended, "ok")):
            simulation.schedule(moment - began, partial(record_totals, simulation, totals))
            simulation.schedule(moment - began, partial(simulation.set_fault, range(gateway_count), state))
        simulation.run_until(began + length + 1)
        if simulation.overshoot(1, 2 * rate, 2 * burst) > 0.05 * 2 * burst:
            raise AssertionError("the flooding customer exceeded its upper bound")
        (calls_before, requests_before), (calls_after, requests_after) = totals
        ordinary_customers = range(2, 42)
        name = f"{gateway_count} front doors"
        ratios[f"{name}: calls for each request"] = calls_before / requests_before
        ratios[f"{name}: calls for each request while the tally is away"] = (calls_after - calls_before) / (
            requests_after - requests_before
        )
        phases = {
            "": (began, outage_began),
            " while it is away": (outage_began, outage_ended),
            " after": (outage_ended, began + length),
        }
        for phase, (phase_began, phase_ended) in phases.items():
            ratios[f"{name}: served of the quiet{phase}"] = statistics.mean(
                simulation.served_share(customer, phase_began, phase_ended) for customer in ordinary_customers
            )
            flood = sum(
                phase_began <= admission.at < phase_ended
                for admission in simulation.admitted
                if admission.customer == 1
            )
            ratios[f"{name}: the flood's use of its quota{phase}"] = flood / (
                rate * (phase_ended - phase_began)
            )
        usual_share = ratios[f"{name}: served of the quiet"]
        recovered_after = next(
            second
            for second in range(int(length))
            if statistics.mean(
                simulation.served_share(customer, outage_ended + second, outage_ended + second + 1)
                for customer in ordinary_customers
            ) >= 0.98 * usual_share
        )  # fmt: skip
        figures[f"{name}: until the quiet are served as before"] = summarize([float(recovered_after)], "s")
    return figures, ratios


async def main() -> None:
    args = parse_arguments("tally")
    with tempfile.TemporaryDirectory() as name:
        figures, ratios = await measure_throughput(args.quick, Path(name))
        figures |= measure_recovery(args.quick, Path(name))
    simulated_figures, simulated_ratios = simulate_outage(args.quick)
    figures, ratios = figures | simulated_figures, ratios | simulated_ratios
    write_report(
        args,
        f"{CONNECTIONS} connections with {PIPELINED_CALLS} calls out each, 40,000 names",
        figures,
        ratios,
    )


if __name__ == "__main__":
    uvloop.run(main())
