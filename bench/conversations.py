"""Actions with a caller's key beside actions without: CPU at the door, time, memory at the core.

    python -m bench.conversations [--quick] [--json FILE|-]

Three core machines, so many doors, backends that seal their answers; rounds in turn, all on one machine.  A
sync of the disk takes here what this machine's takes.
"""

from __future__ import annotations

import asyncio
import itertools
import tempfile
from pathlib import Path
from typing import Any

import uvloop
from msgspec.structs import replace

from bench.common import ChildProcess, Load, parse_arguments, quantile, summarize, write_report
from bench.parts import ANSWER_BODY
from bench.routes import BACKENDS
from bench.system import CORE_IPS, TENANTS, LocalSystem, routing_configuration
from ivymux.config_store.calls import ClaimAction, EndAction
from ivymux.config_store.calls import encode as encode_call
from ivymux.config_store.messages import RecordStored, RecordWrite, encode
from ivymux.data_plane.frontend import Answer
from ivymux.idempotency.record_store import DONE, KEY_DIGITS, IdempotencyRecord
from ivymux.proxy.keyed_actions import encode_answer
from ivymux.transport.frames import encode_frame

DOORS = (3, 8, 32)
CONNECTIONS = 32  # in all
PAUSE = 0.02  # seconds between the actions of one
KNOWN = 10_000  # keys behind which memory is measured

numbers = itertools.count(1)


class Actions(Load):
    """Actions, each with a key of its own or none."""

    def __init__(self, count: int, keyed: bool) -> None:
        super().__init__([b""], len(ANSWER_BODY), count, PAUSE)
        self.requests = self  # type: ignore[assignment]
        self.keyed = keyed

    def __len__(self) -> int:
        return 1 << 60

    def __getitem__(self, turn: int) -> bytes:
        number = next(numbers)
        key = b'Idempotency-Key: "action-%d"\r\n' % number if self.keyed else b""
        return (
            b"POST /acts/%d HTTP/1.1\r\nHost: h.example\r\nTry-Id: %016x\r\nTime-Remaining: 9000\r\n"
            b"Authorization: Bearer key-%d\r\n%sContent-Length: 3\r\n\r\nyes"
        ) % (number, number, turn % TENANTS, key)


def with_actions() -> dict[str, Any]:
    made = routing_configuration()
    (read,) = made["route_table"]
    act = {**read, "name": "act", "path_prefix": "/acts/", "route_type": "non_idempotent"}
    return {**made, "route_table": [read, act]}


async def round_of(doors: dict[str, ChildProcess], port: int, keyed: bool, count: int) -> tuple[float, float]:
    """Microseconds of CPU for each action at the doors, and the median time in ms; all doors at once."""
    loads = {ip: Actions(count, keyed) for ip in doors}
    before = sum(door.cpu_seconds() for door in doors.values())
    each = max(1, CONNECTIONS // len(doors))
    await asyncio.gather(*(load.run(port, each, ip) for ip, load in loads.items()))
    spent = sum(door.cpu_seconds() for door in doors.values()) - before
    times = [t for load in loads.values() for t in load.latencies_s]
    return spent / (count * len(doors)) * 1e6, 1000 * quantile(times, 0.5)


async def measure(quick: bool, folder: Path, count: int) -> tuple[dict[str, Any], dict[str, float]]:
    each, runs = max(10, (400 if quick else 1200) // count), 5 if quick else 11
    sealed = [ChildProcess("-m", "bench.parts", "sealed") for _ in range(BACKENDS)]
    system = LocalSystem(folder, with_actions())
    try:
        for ip in CORE_IPS:
            system.start(ip, "config_store")
            system.start(ip, "registry")
        doors = {ip: system.start(ip, "proxy") for ip in (f"127.0.0.{10 + n}" for n in range(count))}
        await system.configure(sealed)
        beating = asyncio.get_running_loop().create_task(system.send_heartbeats(sealed))
        for ip in doors:
            await system.wait_until_ready(ip)
        cpu: dict[bool, list[float]] = {False: [], True: []}
        times: dict[bool, list[float]] = {False: [], True: []}
        for run in range(runs + 1):
            for keyed in (False, True):
                spent, median = await round_of(doors, system.frontend_port, keyed, each)
                if run:
                    cpu[keyed].append(spent)
                    times[keyed].append(median)
        core = [c for c in system.children if c not in doors.values()]
        before = max(c.peak_mb() for c in core)
        if count == DOORS[0]:
            await Actions(KNOWN, True).run(system.frontend_port, 200, next(iter(doors)))
        beating.cancel()
        figures = {}
        for keyed, name in ((False, "without a key"), (True, "with one")):
            figures[f"{count} doors: CPU for each action {name}"] = summarize(cpu[keyed], "us")
            figures[f"{count} doors: median time of an action {name}"] = summarize(times[keyed], "ms")
        if count == DOORS[0]:
            figures[f"peak memory of a core process, before and after {KNOWN} keys more"] = summarize(
                [before, max(c.peak_mb() for c in core)], "MB"
            )
    finally:
        for child in (*sealed, *system.children):
            child.stop()
    pairs = sorted(a / b for a, b in zip(cpu[True], cpu[False], strict=True))
    slower = sorted(a / b for a, b in zip(times[True], times[False], strict=True))
    return figures, {
        f"{count} doors: CPU with a key over without": pairs[len(pairs) // 2],
        f"{count} doors: median time with a key over without": slower[len(slower) // 2],
    }


def between() -> float:
    """Bytes from a core machine to who leads, from there to the backup and back, for a claim and its end."""
    record = IdempotencyRecord("a" * KEY_DIGITS, "partner-one", f"{'b' * 16}/12345", "c" * 16, "d" * 16, 3.2)
    fields = [(b"content-type", b"text/plain"), (b"server-seal", b"e" * 24)]
    answer = encode_answer(Answer(200, ANSWER_BODY, headers=fields), 9999)
    passed = {"passed": True, "w": 0.85, "n": 1234}
    claimed = ClaimAction(
        record.key, record.tenant, record.claim, record.request_digest, record.body_digest, record.lifetime_s
    )
    claim = {**encode_call(claimed), **passed}
    end = {**encode_call(EndAction(record.key, record.claim, DONE, answer)), **passed}
    told = {"re": 1234, "ok": True, "verdict": "go", "after": 0.0, "answer": "", "what": ""}
    total = sum(len(encode_frame(m)) for m in (claim, end, told, {"re": 1234, "ok": True}))
    for state, text in (("open", ""), (DONE, answer)):
        copy = replace(record, state=state, answer=text, change_number=7 << 32)
        total += len(encode_frame(encode(RecordWrite("10.1.0.33/first", 7, copy))))
        total += len(encode_frame(encode(RecordStored("10.2.0.33/first", 7, 7 << 32))))
    return float(total)


async def main() -> None:
    args = parse_arguments("conversations")
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    for count in DOORS:
        with tempfile.TemporaryDirectory() as name:
            found, compared = await measure(args.quick, Path(name), count)
        figures |= found
        ratios |= compared
    figures["bytes between core machines for an action with a key"] = summarize([between()], "bytes")
    load = (
        f"{CONNECTIONS} connections, {PAUSE} s between their actions, {TENANTS} tenants, {BACKENDS} backends"
    )
    write_report(args, load, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
