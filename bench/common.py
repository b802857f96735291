"""What benchmarks share: processes and their CPU time, a closed-loop load, the report."""

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


class Child:
    """A process of a benchmark."""

    def __init__(self, *arguments: str, env: dict[str, str] | None = None, prints_port: bool = True) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
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

    def cpu(self) -> float:
        """Seconds on a processor so far, of all its threads; exact, where ticks of 10 ms are not."""
        total = 0
        for task in os.listdir(f"/proc/{self.process.pid}/task"):
            with open(f"/proc/{self.process.pid}/task/{task}/schedstat") as source:
                total += int(source.read().split()[0])
        return total / 1e9

    def peak_mb(self) -> float:
        with open(f"/proc/{self.process.pid}/status") as source:
            return next(int(line.split()[1]) / 1024 for line in source if line.startswith("VmHWM"))

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()


class Loader(asyncio.Protocol):
    """One connection that asks again as soon as it has its answer."""

    def __init__(self, load: Load, turn: int) -> None:
        self.load, self.turn = load, turn
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask()

    def ask(self) -> None:
        self.turn += 1
        self.size = 0
        self.began = time.perf_counter()
        self.transport.write(self.load.requests[self.turn % len(self.load.requests)])

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.size += len(body)

    def on_message_complete(self) -> None:
        load = self.load
        load.times.append(time.perf_counter() - self.began)
        status = self.parser.get_status_code()
        load.wrong += status != 200 or self.size != load.size
        load.refused += status != 200
        load.left -= 1
        if load.left > 0:
            if load.pause:
                asyncio.get_running_loop().call_later(load.pause, self.ask)
            else:
                self.ask()
        elif not self.done.done():
            self.done.set_result(None)
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError("the connection ended early"))


class Load:
    """So many requests over so many connections; each answer is checked for status and size."""

    def __init__(self, requests: Sequence[bytes], size: int, count: int, pause: float = 0.0) -> None:
        self.requests, self.size, self.left, self.pause = requests, size, count, pause
        self.times: list[float] = []
        self.wrong = self.refused = 0

    async def run(self, port: int, connections: int, host: str = "127.0.0.1") -> None:
        loop = asyncio.get_running_loop()
        made = [
            await loop.create_connection(lambda n=n: Loader(self, n * 7), host, port)  # type: ignore[misc]
            for n in range(connections)
        ]
        await asyncio.gather(*(loader.done for _, loader in made))
        if self.wrong:
            raise AssertionError(f"{self.wrong} of {len(self.times)} answers were wrong")


def quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def figure(values: Sequence[float], unit: str) -> dict[str, Any]:
    """A figure of several runs."""
    return {"unit": unit, "median": round(statistics.median(values), 3), "least": round(min(values), 3),
            "most": round(max(values), 3), "runs": len(values)}  # fmt: skip


def html(title: str, plot: Any, found: Mapping[str, Any]) -> str:
    """A page with figures by name, and a plot of matplotlib's."""
    data = io.BytesIO()
    plot.savefig(data, format="png", dpi=80)
    rows = "".join(f"<tr><td>{name}</td><td>{value}</td></tr>" for name, value in found.items())
    image = base64.b64encode(data.getvalue()).decode()
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><h1>{title}</h1>"
        f'<table>{rows}</table><img src="data:image/png;base64,{image}" alt="plots">'
    )


def arguments(area: str) -> argparse.Namespace:
    return parser(area).parse_args()


def parser(area: str) -> argparse.ArgumentParser:
    """What all benchmarks are told by."""
    parser = argparse.ArgumentParser(prog=f"python -m bench.{area}")
    parser.add_argument("--quick", action="store_true", help="ends within 40 s")
    parser.add_argument("--json", metavar="FILE", help="write the report there, - for standard output")
    return parser


def report(
    args: argparse.Namespace, workload: str, figures: dict[str, Any], ratios: dict[str, float]
) -> None:
    made = {
        "machine": {
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "system": platform.machine(),
        },
        "workload": workload,
        "figures": figures,
        "ratios": {name: round(value, 3) for name, value in ratios.items()},
    }
    text = json.dumps(made, indent=2)
    if args.json and args.json != "-":
        with open(args.json, "w") as sink:
            sink.write(text + "\n")
    else:
        print(text)
