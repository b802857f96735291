"""The tally as a program: calls a second beside a bare echo, in memory and with a file; its recovery.
Simulated front doors at it: calls, what is served with and without it, how soon all is well again.

`python -m bench.tally [--quick] [--json FILE|-]`
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
from ivymux.service.site import PACE
from ivymux.tally.durable import DurableStore
from ivymux.tally.journal import encode_header, encode_record
from standins.world import World, plan

LINES, DEPTH = 8, 16  # connections, and calls out on each


class Asker(asyncio.Protocol):
    """One connection with so many calls out; each answer brings the next call."""

    def __init__(self, count: int, turn: int) -> None:
        self.left, self.turn, self.name = count, turn, 0
        self.reader = hiredis.Reader()
        self.sent: list[float] = []
        self.times: list[float] = []
        self.at = 0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask(DEPTH)

    def ask(self, count: int) -> None:
        calls = []
        for _ in range(min(count, self.left)):
            self.left -= 1
            self.name = (self.name + 1) % 5000
            calls.append(hiredis.pack_command(("TALLY", f"{self.turn}-{self.name}", "1.5", "60000")))  # type: ignore[arg-type]
        self.sent += [time.perf_counter()] * len(calls)
        if calls:
            self.transport.write(b"".join(calls))

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        now, got = time.perf_counter(), 0
        while (answer := self.reader.gets()) is not False:
            if not isinstance(answer, bytes):
                raise AssertionError(f"not a total: {answer!r}")
            self.times.append(now - self.sent[self.at])
            self.at += 1
            got += 1
        if self.left:
            self.ask(got)
        elif self.at == len(self.sent) and not self.done.done():
            self.done.set_result(None)


async def ask(port: int, child: Any, count: int) -> tuple[float, float, float]:
    """Calls a second of CPU, calls a second, and p99 in milliseconds."""
    loop, began, before = asyncio.get_running_loop(), time.perf_counter(), child.cpu_seconds()
    made = [
        (await loop.create_connection(lambda n=n: Asker(count // LINES, n), "127.0.0.1", port))[1]  # type: ignore[misc]
        for n in range(LINES)
    ]
    async with asyncio.timeout(60):
        await asyncio.gather(*(asker.done for asker in made))
    spent, cpu = time.perf_counter() - began, child.cpu_seconds() - before
    times = [t for asker in made for t in asker.times]
    for asker in made:
        asker.transport.close()
    if len(times) != count // LINES * LINES:
        raise AssertionError("calls were not answered")
    return len(times) / cpu, len(times) / spent, quantile(times, 0.99) * 1e3


class Program(ChildProcess):
    """`ivymux tally` in a process of its own."""

    def __init__(self, *more: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ivymux", "tally", "--listen", "127.0.0.1:0", *more],
            stderr=subprocess.PIPE,
        )
        assert self.process.stderr is not None
        found = None
        while found is None:
            line = self.process.stderr.readline()
            if not line:
                raise AssertionError("the tally ended")
            found = re.search(rb"tally on \S+:(\d+)", line)
        self.port = int(found[1])


async def calls(quick: bool, folder: Path) -> tuple[dict[str, Any], dict[str, float]]:
    children: dict[str, ChildProcess] = {
        "a bare echo": ChildProcess("-m", "bench.parts", "echo"),
        "in memory": Program(),
        "with a file": Program("--file", str(folder / "counts")),
    }
    found: dict[str, list[tuple[float, float, float]]] = {name: [] for name in children}
    try:
        for turn in range(4 if quick else 12):
            for name, child in children.items():
                got = await ask(child.port, child, 16_000 if quick else 40_000)
                if turn:  # the first one warms up
                    found[name].append(got)
    finally:
        for child in children.values():
            child.stop()
    figures = {}
    for name, runs in found.items():
        figures[f"{name}: calls a second of CPU"] = summarize([r[0] for r in runs], "1/s")
        figures[f"{name}: calls a second"] = summarize([r[1] for r in runs], "1/s")
        figures[f"{name}: p99"] = summarize([r[2] for r in runs], "ms")
    echo = found.pop("a bare echo")
    return figures, {
        f"CPU for a call {name} over a bare echo": statistics.median(
            e[0] / r[0] for e, r in zip(echo, runs, strict=True)
        )
        for name, runs in found.items()
    }


def recovery(quick: bool, folder: Path) -> dict[str, Any]:
    """From a file of so many names to a store that can be asked."""
    count, times = 100_000 if quick else 1_000_000, []
    ends = time.time() + 3600
    path = folder / "many"
    path.write_bytes(
        encode_header(os.urandom(16)) + b"".join(encode_record(b"%d" % n, 1.5, ends) for n in range(count))
    )
    for _ in range(1 if quick else 3):
        began = time.perf_counter()
        store = DurableStore(path)
        times.append(time.perf_counter() - began)
        if len(store.totals) != count:
            raise AssertionError("names were lost")
        store.close()
    return {f"recovery of {count} names": summarize(times, "s")}


def mark(world: World, marks: list[tuple[int, int]]) -> None:
    marks.append((world.calls, sum(world.asked.values())))


def living(quick: bool) -> tuple[dict[str, Any], dict[str, float]]:
    """Simulated front doors: calls for each request, what is served, and how soon all is well after trouble.

    Forty customers at half of their quota and one at five times, the tally away for the middle third.
    """
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    length, rate, burst = (30.0 if quick else 60.0), 20.0, 40.0
    for doors in (4, 32) if quick else (4, 32, 256):
        world = World(doors, plan(rate, burst, 2.0), seed=3, pace=PACE)
        begin, each = world.now, rate / 2 / 10
        spread = [[(n * 7 + k) % doors for k in range(4)] for n in range(40)]
        for customer, at in enumerate(spread, start=2):
            world.load(customer, 10 * each, at, begin, begin + length)
        world.load(1, 5 * rate, range(doors), begin, begin + length)
        marks: list[tuple[int, int]] = []
        cut, healed = begin + length / 3, begin + 2 * length / 3
        for moment, how in ((cut, "silent"), (healed, "ok")):
            world.after(moment - begin, partial(mark, world, marks))
            world.after(moment - begin, partial(world.cut, range(doors), how))
        world.run(begin + length + 1)
        if world.overshoot(1, 2 * rate, 2 * burst) > 0.05 * 2 * burst:
            raise AssertionError("the ceiling was passed")
        (calls_cut, asked_cut), (calls_healed, asked_healed) = marks
        quiet = range(2, 42)
        name = f"{doors} front doors"
        ratios[f"{name}: calls for each request"] = calls_cut / asked_cut
        ratios[f"{name}: calls for each request while the tally is away"] = (calls_healed - calls_cut) / (
            asked_healed - asked_cut
        )
        spans = {"": (begin, cut), " while it is away": (cut, healed), " after": (healed, begin + length)}
        for what, (since, until) in spans.items():
            ratios[f"{name}: served of the quiet{what}"] = statistics.mean(
                world.served(customer, since, until) for customer in quiet
            )
            flood = sum(since <= let.at < until for let in world.let if let.customer == 1)
            ratios[f"{name}: the flood's use of its quota{what}"] = flood / (rate * (until - since))
        usual = ratios[f"{name}: served of the quiet"]
        steady = next(
            second
            for second in range(int(length))
            if statistics.mean(
                world.served(c, healed + second, healed + second + 1) for c in quiet
            ) >= 0.98 * usual
        )  # fmt: skip
        figures[f"{name}: until the quiet are served as before"] = summarize([float(steady)], "s")
    return figures, ratios


async def main() -> None:
    args = parse_arguments("tally")
    with tempfile.TemporaryDirectory() as name:
        figures, ratios = await calls(args.quick, Path(name))
        figures |= recovery(args.quick, Path(name))
    more, also = living(args.quick)
    figures, ratios = figures | more, ratios | also
    write_report(args, f"{LINES} connections with {DEPTH} calls out each, 40,000 names", figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
