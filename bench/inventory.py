"""An inventory of 10,000 workers: reading, checking, applying it, p99 latency meanwhile, delay of a change.

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
from ivymux.inventory.csv_reader import write_csv
from ivymux.inventory.model import Inventory, Worker
from ivymux.membership.reader import ReadTask, read_and_check, read_in_child_process
from ivymux.service.standalone import open_standalone

WORKERS = 10_000


def make_inventory(count: int, answering: list[str], variant: int = 0) -> Inventory:
    """`count` workers; all but `answering` are draining, at addresses where nothing listens."""
    workers = []
    for n in range(count):
        if n < len(answering):
            host, _, port = answering[n].rpartition(":")
            workers.append(Worker(f"w{n:05d}", host, int(port), "r0", 0))
        else:
            host = f"127.{1 + n % 100}.{n // 25_000}.{n // 100 % 250}"
            weight = 1.0 + (variant + n) % 2
            workers.append(
                Worker(f"w{n:05d}", host, 9, f"r{n % 3}", n % 500, weight=weight, state="draining")
            )
    return Inventory(tuple(sorted(workers)))


async def measure_reading(quick: bool, directory: Path) -> dict[str, Any]:
    """The time to read and check an inventory in a child process, and without starting a child."""
    path = directory / "workers.csv"
    previous, changed = make_inventory(WORKERS, []), make_inventory(WORKERS, [], 1)
    path.write_bytes(write_csv(changed))
    child_process_s, read_s = [], []
    for _ in range(3 if quick else 7):
        started_at = time.perf_counter()
        result = await read_in_child_process(ReadTask(str(path), Limits(), previous, None))
        child_process_s.append(time.perf_counter() - started_at)
        assert result.inventory == changed and not result.reasons and result.change is not None
        assert len(result.change.other) == WORKERS
        started_at = time.perf_counter()
        read_and_check(ReadTask(str(path), Limits(), previous, None))
        read_s.append(time.perf_counter() - started_at)
    return {
        "10000 workers read and judged in a process of its own": summarize(child_process_s, "s"),
        "of that reading and judging": summarize(read_s, "s"),
    }


async def measure_applying(quick: bool, directory: Path) -> dict[str, Any]:
    """Applies inventories in a gateway in this process; its memory is what the process grows by."""
    backend = ChildProcess("-m", "bench.parts", "worker")
    site_path = write_site(directory, [], free_port(), json.dumps(small_description()).encode())
    site_path.write_text(
        site_path.read_text() + '\n[inventory]\nfile = "workers.csv"\nwatch = 3600.0\nsettle = 0.0\n'
    )
    inventory_file = directory / "workers.csv"
    inventory_file.write_bytes(write_csv(make_inventory(1, [backend.address])))
    gateway = await open_standalone(site_path)
    await gateway.start()
    assert gateway.inventory is not None
    durations_s = []
    try:
        before_kb = resident_kb()
        for turn in range(2 if quick else 5):
            inventory_file.write_bytes(write_csv(make_inventory(WORKERS, [backend.address], turn)))
            started_at = time.perf_counter()
            await gateway.inventory.poll()
            await gateway.inventory.poll()
            durations_s.append(time.perf_counter() - started_at)
            assert len(gateway.member_list.members) == WORKERS
        growth_kb = resident_kb() - before_kb
    finally:
        await gateway.close()
        backend.stop()
    return {
        "10000 workers read, judged and applied": summarize(durations_s, "s"),
        "memory for each worker": summarize([growth_kb / WORKERS], "KB"),
    }


def resident_kb() -> float:
    """The resident memory of this process in kilobytes."""
    with open("/proc/self/status") as file:
        return next(float(line.split()[1]) for line in file if line.startswith("VmRSS"))


async def measure_latency_during_changes(
    quick: bool, directory: Path
) -> tuple[dict[str, Any], dict[str, float]]:
    """The p99 latency while all workers change and otherwise, and the delay until a new worker is used."""
    backends = [ChildProcess("-m", "bench.parts", "worker") for _ in range(2)]
    answering = [backend.address for backend in backends]
    port = free_port()
    site_path = write_site(directory, [], port, json.dumps(small_description()).encode())
    site_path.write_text(site_path.read_text() + '\n[inventory]\nfile = "workers.csv"\n')
    inventory_file = directory / "workers.csv"

    def replace_inventory(inventory: Inventory) -> None:
        temporary = directory / "part"
        temporary.write_bytes(write_csv(inventory))
        temporary.replace(inventory_file)

    replace_inventory(make_inventory(WORKERS, answering))
    env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
    gateway = ChildProcess("-m", "ivymux", "serve", str(site_path), env=env, prints_port=False)
    steady_ms, changing_ms, delays_s = [], [], []
    try:
        await wait_until_listening(port)
        for turn in range(1, 3 if quick else 6):
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            await load.run(port, 8)
            steady_ms.append(quantile(load.latencies_s, 0.99) * 1e3)
            load = Load(standalone_requests(), len(ANSWER_BODY), 2_000, pause_s=0.01)
            replace_inventory(make_inventory(WORKERS, answering, turn))
            await load.run(port, 8)
            changing_ms.append(quantile(load.latencies_s, 0.99) * 1e3)
    finally:
        gateway.stop()
    # A change has taken effect when the new worker spends CPU time on its first request.
    replace_inventory(make_inventory(1, answering[:1]))
    gateway = ChildProcess("-m", "ivymux", "serve", str(site_path), env=env, prints_port=False)
    try:
        await wait_until_listening(port)
        for _ in range(3 if quick else 7):
            new_backend = ChildProcess("-m", "bench.parts", "worker")
            load = Load(standalone_requests(), len(ANSWER_BODY), 1 << 30, pause_s=0.002)
            task = asyncio.ensure_future(load.run(port, 8))
            cpu_before = new_backend.cpu_seconds()
            replace_inventory(make_inventory(2, [answering[0], new_backend.address]))
            renamed_at = time.perf_counter()
            while new_backend.cpu_seconds() - cpu_before < 0.0005 and time.perf_counter() - renamed_at < 10:
                await asyncio.sleep(0.01)
            delays_s.append(time.perf_counter() - renamed_at)
            load.remaining = 1
            await task
            replace_inventory(make_inventory(1, answering[:1]))
            await asyncio.sleep(1.5)
            new_backend.stop()
    finally:
        gateway.stop()
        for backend in backends:
            backend.stop()
    differences_ms = sorted(
        changing - steady for changing, steady in zip(changing_ms, steady_ms, strict=True)
    )
    return {
        "p99 at a steady pace": summarize(steady_ms, "ms"),
        "p99 while 10000 workers change": summarize(changing_ms, "ms"),
        "p99 more while they do": summarize(differences_ms, "ms"),
        "from a file's rename to a new worker's first request": summarize(delays_s, "s"),
    }, {"p99 while changing over quiet": changing_ms[len(changing_ms) // 2] / steady_ms[len(steady_ms) // 2]}


async def main() -> None:
    args = parse_arguments("inventory")
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        for subdirectory in ("read", "apply", "on"):
            (directory / subdirectory).mkdir()
        figures = await measure_reading(args.quick, directory / "read")
        figures |= await measure_applying(args.quick, directory / "apply")
        latency_figures, ratios = await measure_latency_during_changes(args.quick, directory / "on")
        figures |= latency_figures
    write_report(args, f"{WORKERS} workers in 500 bays; 200 customers at a steady pace", figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
