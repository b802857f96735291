"""Actions with an idempotency key compared with actions without: CPU at the proxies, latency, core memory.

    python -m bench.conversations [--quick] [--json FILE|-]

Runs three core machines, a number of proxies, and backends that seal their answers, all on one machine, in
alternate rounds with and without keys.  The latency includes the syncs of this machine's disk.
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

PROXY_COUNTS = (3, 8, 32)
CONNECTIONS = 32  # in total
PAUSE_S = 0.02  # between the actions of a connection
STORED_KEYS = 10_000  # number of keys to store before the core's memory is measured again

action_numbers = itertools.count(1)


class ActionLoad(Load):
    """A load of actions, each with its own idempotency key or with none."""

    def __init__(self, count: int, keyed: bool) -> None:
        super().__init__([b""], len(ANSWER_BODY), count, PAUSE_S)
        self.requests = self  # type: ignore[assignment]
        self.keyed = keyed

    def __len__(self) -> int:
        return 1 << 60

    def __getitem__(self, request_index: int) -> bytes:
        number = next(action_numbers)
        key = b'Idempotency-Key: "action-%d"\r\n' % number if self.keyed else b""
        return (
            b"POST /acts/%d HTTP/1.1\r\nHost: h.example\r\nTry-Id: %016x\r\nTime-Remaining: 9000\r\n"
            b"Authorization: Bearer key-%d\r\n%sContent-Length: 3\r\n\r\nyes"
        ) % (number, number, request_index % TENANTS, key)


def configuration_with_actions() -> dict[str, Any]:
    configuration = routing_configuration()
    (read_route,) = configuration["route_table"]
    action_route = {**read_route, "name": "act", "path_prefix": "/acts/", "route_type": "non_idempotent"}
    return {**configuration, "route_table": [read_route, action_route]}


async def measure_round(
    proxies: dict[str, ChildProcess], port: int, keyed: bool, count: int
) -> tuple[float, float]:
    """Microseconds of the proxies' CPU per action and the median latency in ms, with load on all proxies."""
    loads = {ip: ActionLoad(count, keyed) for ip in proxies}
    cpu_before = sum(proxy.cpu_seconds() for proxy in proxies.values())
    connections_each = max(1, CONNECTIONS // len(proxies))
    await asyncio.gather(*(load.run(port, connections_each, ip) for ip, load in loads.items()))
    cpu_s = sum(proxy.cpu_seconds() for proxy in proxies.values()) - cpu_before
    latencies_s = [latency for load in loads.values() for latency in load.latencies_s]
    return cpu_s / (count * len(proxies)) * 1e6, 1000 * quantile(latencies_s, 0.5)


async def measure(quick: bool, directory: Path, proxy_count: int) -> tuple[dict[str, Any], dict[str, float]]:
    actions_each, runs = max(10, (400 if quick else 1200) // proxy_count), 5 if quick else 11
    backends = [ChildProcess("-m", "bench.parts", "sealed") for _ in range(BACKENDS)]
    system = LocalSystem(directory, configuration_with_actions())
    try:
        for ip in CORE_IPS:
            system.start(ip, "config_store")
            system.start(ip, "registry")
        proxies = {ip: system.start(ip, "proxy") for ip in (f"127.0.0.{10 + n}" for n in range(proxy_count))}
        await system.configure(backends)
        heartbeats = asyncio.get_running_loop().create_task(system.send_heartbeats(backends))
        for ip in proxies:
            await system.wait_until_ready(ip)
        cpu_us: dict[bool, list[float]] = {False: [], True: []}
        median_ms: dict[bool, list[float]] = {False: [], True: []}
        for run in range(runs + 1):
            for keyed in (False, True):
                us, ms = await measure_round(proxies, system.frontend_port, keyed, actions_each)
                if run:
                    cpu_us[keyed].append(us)
                    median_ms[keyed].append(ms)
        core_processes = [c for c in system.children if c not in proxies.values()]
        peak_before_mb = max(c.peak_mb() for c in core_processes)
        if proxy_count == PROXY_COUNTS[0]:
            await ActionLoad(STORED_KEYS, True).run(system.frontend_port, 200, next(iter(proxies)))
        heartbeats.cancel()
        figures = {}
        for keyed, name in ((False, "without a key"), (True, "with one")):
            figures[f"{proxy_count} doors: CPU for each action {name}"] = summarize(cpu_us[keyed], "us")
            figures[f"{proxy_count} doors: median time of an action {name}"] = summarize(
                median_ms[keyed], "ms"
            )
        if proxy_count == PROXY_COUNTS[0]:
            figures[f"peak memory of a core process, before and after {STORED_KEYS} keys more"] = summarize(
                [peak_before_mb, max(c.peak_mb() for c in core_processes)], "MB"
            )
    finally:
        for child in (*backends, *system.children):
            child.stop()
    cpu_ratios = sorted(a / b for a, b in zip(cpu_us[True], cpu_us[False], strict=True))
    time_ratios = sorted(a / b for a, b in zip(median_ms[True], median_ms[False], strict=True))
    return figures, {
        f"{proxy_count} doors: CPU with a key over without": cpu_ratios[len(cpu_ratios) // 2],
        f"{proxy_count} doors: median time with a key over without": time_ratios[len(time_ratios) // 2],
    }


def core_bytes_per_action() -> float:
    """Bytes that an action's claim and end cost between a core machine, the primary and the backup."""
    record = IdempotencyRecord("a" * KEY_DIGITS, "partner-one", f"{'b' * 16}/12345", "c" * 16, "d" * 16, 3.2)
    fields = [(b"content-type", b"text/plain"), (b"server-seal", b"e" * 24)]
    answer = encode_answer(Answer(200, ANSWER_BODY, headers=fields), 9999)
    forwarding = {"passed": True, "w": 0.85, "n": 1234}
    claimed = ClaimAction(
        record.key, record.tenant, record.claim, record.request_digest, record.body_digest, record.lifetime_s
    )
    claim = {**encode_call(claimed), **forwarding}
    end = {**encode_call(EndAction(record.key, record.claim, DONE, answer)), **forwarding}
    verdict = {"re": 1234, "ok": True, "verdict": "go", "after": 0.0, "answer": "", "what": ""}
    total = sum(len(encode_frame(message)) for message in (claim, end, verdict, {"re": 1234, "ok": True}))
    for state, text in (("open", ""), (DONE, answer)):
        copy = replace(record, state=state, answer=text, change_number=7 << 32)
        total += len(encode_frame(encode(RecordWrite("10.1.0.33/first", 7, copy))))
        total += len(encode_frame(encode(RecordStored("10.2.0.33/first", 7, 7 << 32))))
    return float(total)


async def main() -> None:
    args = parse_arguments("conversations")
    figures: dict[str, Any] = {}
    ratios: dict[str, float] = {}
    for count in PROXY_COUNTS:
        with tempfile.TemporaryDirectory() as name:
            count_figures, count_ratios = await measure(args.quick, Path(name), count)
        figures |= count_figures
        ratios |= count_ratios
    figures["bytes between core machines for an action with a key"] = summarize(
        [core_bytes_per_action()], "bytes"
    )
    workload = (
        f"{CONNECTIONS} connections, {PAUSE_S} s between their actions, "
        f"{TENANTS} tenants, {BACKENDS} backends"
    )
    write_report(args, workload, figures, ratios)


if __name__ == "__main__":
    uvloop.run(main())
