"""Shared code of the benchmarks: child processes and their CPU time, a closed-loop load, the report."""

from __future__ import annotations

import argparse
import asyncio
import base64
import io
import json
import os
import platform
import statistics
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from typing import Any, cast

import httptools


class ChildProcess:
    """A process that a benchmark starts; with `prints_port` it prints its port on its first line."""

    def __init__(self, *command: str, env: dict[str, str] | None = None, prints_port: bool = True) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *command],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE if prints_port else None,
            stderr=subprocess.DEVNULL,
            env=env,
        )
        self.port = 0
        if prints_port:
            assert self.process.stdout is not None
            self.port = int(self.process.stdout.readline())

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def cpu_seconds(self) -> float:
        """CPU time of all threads so far, from schedstat, because other sources count in ticks of 10 ms."""
        total_ns = 0
        for task in os.listdir(f"/proc/{self.process.pid}/task"):
            with open(f"/proc/{self.process.pid}/task/{task}/schedstat") as file:
                total_ns += int(file.read().split()[0])
        return total_ns / 1e9

    def peak_mb(self) -> float:
        """The peak resident memory so far, in MB."""
        with open(f"/proc/{self.process.pid}/status") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM"))

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()


class LoadConnection(asyncio.Protocol):
    """A connection that sends its next request once the previous one is answered and the pause is over."""

    def __init__(self, load: Load, request_index: int) -> None:
        self.load, self.request_index = load, request_index
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.body_size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send_request()

    def send_request(self) -> None:
        self.request_index += 1
        self.body_size = 0
        self.sent_at = time.perf_counter()
        self.transport.write(self.load.requests[self.request_index % len(self.load.requests)])

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)

    def on_message_complete(self) -> None:
        load = self.load
        load.latencies_s.append(time.perf_counter() - self.sent_at)
        status = self.parser.get_status_code()
        load.unexpected_answers += status != 200 or self.body_size != load.body_size
        load.refused += status != 200
        load.remaining -= 1
        if load.remaining > 0:
            if load.pause_s:
                asyncio.get_running_loop().call_later(load.pause_s, self.send_request)
            else:
                self.send_request()
        elif not self.done.done():
            self.done.set_result(None)
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError("connection closed before the load was complete"))


class Load:
    """A number of requests over several connections; checks the status and the size of each answer.

    `requests` are sent in turn; `body_size`: the expected size of an answer's body, in bytes; `count`: the
    number of requests.
    """

    def __init__(self, requests: Sequence[bytes], body_size: int, count: int, pause_s: float = 0.0) -> None:
        self.requests, self.body_size, self.remaining, self.pause_s = requests, body_size, count, pause_s
        self.latencies_s: list[float] = []
        self.unexpected_answers = self.refused = 0

    async def run(self, port: int, connections: int, host: str = "127.0.0.1") -> None:
        """Sends the requests over a number of connections; raises AssertionError for unexpected answers."""
        loop = asyncio.get_running_loop()
        opened = [
            await loop.create_connection(lambda n=n: LoadConnection(self, n * 7), host, port)  # type: ignore[misc]
            for n in range(connections)
        ]
        await asyncio.gather(*(loader.done for _, loader in opened))
        if self.unexpected_answers:
            raise AssertionError(
                f"{self.unexpected_answers} of {len(self.latencies_s)} answers had another status or size"
            )


def quantile(values: list[float], fraction: float) -> float:
    """The value below which this fraction of the values lies, without interpolation."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def summarize(values: Sequence[float], unit: str) -> dict[str, Any]:
    """The report's entry for one figure that was measured in several runs."""
    return {"unit": unit, "median": round(statistics.median(values), 3), "least": round(min(values), 3),
            "most": round(max(values), 3), "runs": len(values)}  # fmt: skip


def render_html(title: str, plot: Any, results: Mapping[str, Any]) -> str:
    """An HTML page with a table of results by name and a matplotlib figure."""
    png = io.BytesIO()
    plot.savefig(png, format="png", dpi=80)
    rows = "".join(f"<tr><td>{name}</td><td>{value}</td></tr>" for name, value in results.items())
    image = base64.b64encode(png.getvalue()).decode()
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><h1>{title}</h1>"
        f'<table>{rows}</table><img src="data:image/png;base64,{image}" alt="plots">'
    )


def parse_arguments(module: str) -> argparse.Namespace:
    """The command line's options of `python -m bench.MODULE`, if it has no others than all benchmarks."""
    return argument_parser(module).parse_args()


def argument_parser(module: str) -> argparse.ArgumentParser:
    """An argument parser with the options that all benchmarks have."""
    parser = argparse.ArgumentParser(prog=f"python -m bench.{module}")
    parser.add_argument("--quick", action="store_true", help="a short run, within 40 s")
    parser.add_argument("--json", metavar="FILE", help="write the report to FILE; - is standard output")
    return parser


def write_report(
    args: argparse.Namespace, workload: str, figures: dict[str, Any], ratios: dict[str, float]
) -> None:
    """Writes the report as JSON to the file that --json names, or to standard output."""
    content = {
        "machine": {
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "system": platform.machine(),
        },
        "workload": workload,
        "figures": figures,
        "ratios": {name: round(value, 3) for name, value in ratios.items()},
    }
    text = json.dumps(content, indent=2)
    if args.json and args.json != "-":
        with open(args.json, "w") as file:
            file.write(text + "\n")
    else:
        print(text)
