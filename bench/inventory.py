"""An inventory of 10,000 workers: read, judged and applied; p99 meanwhile; from a rename to its effect.

`python -m bench.inventory [--quick] [--json FILE|-]`
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from bench.common import ChildProcess, Load, parse_arguments, quantile, summarize, write_report
from bench.parts import ANSWER_BODY
from bench.routes import free_port, small_description, standalone_requests, wait_until_listening, write_site
from ivymux.inventory.change_policy import Limits
from ivymux.inventory.csv_reader import write_sheet
from ivymux.inventory.model import Inventory, Worker
from ivymux.membership.reader import ReadTask, read_and_check, read_in_child_process
from ivymux.service.standalone import open_standalone

SIZE = 10_000


def fleet(size: int, real: list[str], turn: int = 0) -> Inventory:
    """Workers of which the first few answer; the others are listed as draining, at addresses of nobody."""
    workers = []
    for n in range(size):
        if n < len(real):
            host, _, port = real[n].rpartition(":")
            workers.append(Worker(f"w{n:05d}", host, int(port), "r0", 0))
        else:
            host = f"127.{1 + n % 100}.{n // 25_000}.{n // 100 % 250}"
            weight = 1.0 + (turn + n) % 2
            workers.append(
                Worker(f"w{n:05d}", host, 9, f"r{n % 3}", n % 500, weight=weight, state="draining")
            )
    return Inventory(tuple(sorted(workers)))


async def reading(quick: bool, folder: Path) -> dict[str, Any]:
    """The reader's own process, and what reading alone takes of it."""
    path = folder / "workers.csv"
    old, new = fleet(SIZE, []), fleet(SIZE, [], 1)
    path.write_bytes(write_sheet(new))
    beside, alone = [], []
    for _ in range(3 if quick else 7):
        began = time.perf_counter()
        done = await read_in_child_process(ReadTask(str(path), Limits(), old, None))
        beside.append(time.perf_counter() - began)
        assert done.inventory == new and not done.reasons and done.change is not None
        assert len(done.change.other) == SIZE
        began = time.perf_counter()
        read_and_check(ReadTask(str(path), Limits(), old, None))
        alone.append(time.perf_counter() - began)
    return {
        "10000 workers read and judged in a process of its own": summarize(beside, "s"),
        "of that reading and judging": summarize(alone, "s"),
    }


async def applying(quick: bool, folder: Path) -> dict[str, Any]:
    """A door in this process takes over lists of 10,000; memory by what it grows."""
    worker = ChildProcess("-m", "bench.parts", "worker")
    path = write_site(folder, [], free_port(), json.dumps(small_description()).encode())
    path.write_text(path.read_text() + '\n[inventory]\nfile = "workers.csv"\nwatch = 3600.0\nsettle = 0.0\n')
    file = folder / "workers.csv"
    file.write_bytes(write_sheet(fleet(1, [worker.address])))
    door = await open_standalone(path)
    await door.start()
    assert door.inventory is not None
    times = []
    try:
        before = resident()
        for turn in range(2 if quick else 5):
            file.write_bytes(write_sheet(fleet(SIZE, [worker.address], turn)))
            began = time.perf_counter()
            await door.inventory.poll()
            await door.inventory.poll()
            times.append(time.perf_counter() - began)
            assert len(door.member_list.members) == SIZE
        grown = resident() - before
    finally:
        await door.close()
        worker.stop()
    return {
        "10000 workers read, judged and applied": summarize(times, "s"),
        "memory for each worker": summarize([grown / SIZE], "KB"),
    }


def resident() -> float:
    """Kilobytes of this process in memory."""
    with open("/proc/self/status") as source:
        return next(float(line.split()[1]) for line in source if line.startswith("VmRSS"))


async def serving_on(quick: bool, folder: Path) -> tuple[dict[str, Any], dict[str, float]]:
    """p99 at a steady pace with and without 10,000 changes on their way in; from rename to effect."""
    workers = [ChildProcess("-m", "bench.parts", "worker") for _ in range(2)]
    real = [w.address for w in workers]
    port = free_port()
    path = write_site(folder, [], port, json.dumps(small_description()).encode())
    path.write_text(path.read_text() + '\n[inventory]\nfile = "workers.csv"\n')
    file = folder / "workers.csv"

    def write(inventory: Inventory) -> None:
        part = folder / "part"
        part.write_bytes(write_sheet(inventory))
        part.replace(file)

    write(fleet(SIZE, real))
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    door = ChildProcess("-m", "ivymux", "serve", str(path), env=env, prints_port=False)
    quiet, busy, effects = [], [], []
    try:
        await wait_until_listening(port)
        for turn in range(1, 3 if quick else 6):
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            await load.run(port, 8)
            quiet.append(quantile(load.latencies_s, 0.99) * 1e3)
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            write(fleet(SIZE, real, turn))
            await load.run(port, 8)
            busy.append(quantile(load.latencies_s, 0.99) * 1e3)
    finally:
        door.stop()
    # The effect is seen at a worker: one that joins gets its first request.
    write(fleet(1, real[:1]))
    door = ChildProcess("-m", "ivymux", "serve", str(path), env=env, prints_port=False)
    try:
        await wait_until_listening(port)
        for _ in range(3 if quick else 7):
            fresh = ChildProcess("-m", "bench.parts", "worker")
            load = Load(standalone_requests(), len(ANSWER_BODY), 1 << 30, pause_s=0.002)
            task = asyncio.ensure_future(load.run(port, 8))
            before = fresh.cpu_seconds()
            write(fleet(2, [real[0], fresh.address]))
            began = time.perf_counter()
            while fresh.cpu_seconds() - before < 0.0005 and time.perf_counter() - began < 10:
                await asyncio.sleep(0.01)
            effects.append(time.perf_counter() - began)
            load.remaining = 1
            await task
            write(fleet(1, real[:1]))
            await asyncio.sleep(1.5)
            fresh.stop()
    finally:
        door.stop()
        for w in workers:
            w.stop()
    more = sorted(b - q for b, q in zip(busy, quiet, strict=True))
    return {
        "p99 at a steady pace": summarize(quiet, "ms"),
        "p99 while 10000 workers change": summarize(busy, "ms"),
        "p99 more while they do": summarize(more, "ms"),
        "from a file's rename to a new worker's first request": summarize(effects, "s"),
    }, {"p99 while changing over quiet": busy[len(busy) // 2] / quiet[len(quiet) // 2]}


async def main() -> None:
    args = parse_arguments("inventory")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for part in ("read", "apply", "on"):
            (folder / part).mkdir()
        figures = await reading(args.quick, folder / "read")
        figures |= await applying(args.quick, folder / "apply")
        more, ratios = await serving_on(args.quick, folder / "on")
        figures |= more
    write_report(args, f"{SIZE} workers in 500 bays; 200 customers at a steady pace", figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
