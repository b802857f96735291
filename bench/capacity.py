"""What state, messages and processor time each role has at growing sizes, the slopes, and where they lead.

    python -m bench.capacity [--quick] [--json FILE|-] [--markdown]     # the tables of docs/CAPACITY.md
    python -m bench.capacity --measure PART SIZE                        # one point, in this process

Each point is measured in a process of its own.  A line is fitted through four sizes or more (least squares);
its residual is the most that a point lies off it, as a part of the point.  What a line gives at the wanted
size is a projection, no measurement.  The registry's connections are real: `bench.sizing`, with hollow
proxies in one process.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from bench.common import summarize, write_report
from ivymux.config_store import messages
from ivymux.config_store.actions import Persist
from ivymux.config_store.durable_store import DurableStore
from ivymux.config_store.history import MAX_CHANGES, digest_of
from ivymux.config_store.messages import ReplicaMessage
from ivymux.config_store.records import ConfigurationState
from ivymux.proxy.counter_holders import CounterHolders
from ivymux.proxy.membership_view import MembershipView
from ivymux.proxy.name_tables import NameTables
from ivymux.registry.backend_records import BackendRecords
from ivymux.routing_config.route_plan import MAX_TEXT_BYTES, RoutePlan, parse_route_plan
from ivymux.simulation.loss_scenarios import start_cluster
from ivymux.transport.frames import encode_frame

PROXIES, BACKENDS, SERVICES, ROUTES, TENANTS = 830, 6800, 130, 4700, 60_000
CORE_MACHINES = 5
QUIET = 10.0  # simulated seconds over which a core without changes is listened to
Values = dict[str, tuple[float, str]]  # by what was measured: its value and its unit


def held_mb(work: Callable[[], Any]) -> float:
    """Memory that what some work gives holds, in MB."""
    gc.collect()
    tracemalloc.start()
    made = work()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return held / 1e6


def timed(work: Callable[[], Any]) -> tuple[Any, float]:
    """What some work gives, and the processor seconds that it took."""
    began = time.process_time()
    made = work()
    return made, time.process_time() - began


def configuration(routes: int, tenants: int) -> bytes:
    services = [f"service-{n}" for n in range(SERVICES)]
    made = {
        "config_version": 1,
        "route_table": [
            {
                "name": f"r-{n}", "host_name": f"h{n % 40}.example", "path_prefix": f"/p{n}/",
                "route_type": "idempotent", "deadline": "5s", "target": "800ms", "precedence": 2,
                "service_name": services[n % SERVICES], "max_attempts": 2, "no_auth": False,
            }
            for n in range(routes)
        ],
        "service_table": [{"name": name, "health_path": "/health", "conn_limit": 130} for name in services],
        "tenant_table": [
            {"name": f"tenant-{n}", "api_keys": [f"k{n:019d}", f"l{n:019d}"], "precedence": 1,
             "rate_per_s": 33, "burst_size": 33}
            for n in range(tenants)
        ],
    }  # fmt: skip
    return json.dumps(made, separators=(",", ":")).encode()


def proxy_configuration(routes: int, tenants: int) -> Values:
    """A configuration as a proxy takes it in."""
    text = configuration(routes, tenants)

    def take() -> tuple[NameTables, RoutePlan]:
        tables = NameTables()
        plan = parse_route_plan(text)
        tables.update(plan)
        return tables, plan

    _, spent = timed(take)
    return {
        "text": (len(text) / 1e6, "MB"),
        "processor time to take it in": (spent, "s"),
        "memory of a proxy": (held_mb(take), "MB"),
    }


def proxy_tenants(size: int) -> Values:
    return proxy_configuration(100, size)


def proxy_routes(size: int) -> Values:
    return proxy_configuration(size, 100)


def registry(size: int) -> BackendRecords:
    made = BackendRecords(3.5)
    for number in range(size):
        made.heartbeat(f"i-{number:08x}", beat(number, 1), 0.0)
    return made


def beat(number: int, seq: int) -> dict[str, Any]:
    return {
        "service_name": f"service-{number % SERVICES}",
        "address": f"10.1.{number // 250}.{number % 250}:8080",
        "zone_name": f"zone-{number % 7}",
        "config_version": "v1",
        "capacity": 2,
        "oper_state": "in_service",
        "warmup_left": "0ms",
        "call_seq": seq,
    }


def registry_backends(size: int) -> Values:
    """Backends at one registry: their beats, the whole list for a proxy that comes."""
    made = registry(size)
    bodies = [msgspec.json.encode(beat(number, 2)) for number in range(size)]

    def all_beat() -> None:
        for number, body in enumerate(bodies):
            made.heartbeat(f"i-{number:08x}", msgspec.json.decode(body), 1.0)

    _, beats = timed(all_beat)
    whole, listed = timed(lambda: encode_frame({"k": "here", "i": made.encode_all(1.0)}))
    _, swept = timed(lambda: made.expire(1.5))
    return {
        "processor time of all beats once, without HTTP": (1000 * beats, "ms"),
        "the whole list": (len(whole) / 1e6, "MB"),
        "processor time to write it": (1000 * listed, "ms"),
        "processor time of a sweep": (1000 * swept, "ms"),
        "memory of a registry": (held_mb(lambda: registry(size)), "MB"),
    }


def proxy_backends(size: int) -> Values:
    """The whole list as a proxy takes it in."""
    lines = registry(size).encode_all(1.0)

    def take() -> MembershipView:
        made = MembershipView()
        made.apply_snapshot("a", "run", size, True, lines, [], 1.0)
        return made

    membership, taken = timed(take)
    _, swept = timed(lambda: membership.expire_backends(1.5))
    return {
        "processor time to take the list in": (1000 * taken, "ms"),
        "processor time of a sweep": (1000 * swept, "ms"),
        "memory of a proxy": (held_mb(take), "MB"),
    }


def proxy_proxies(size: int) -> Values:
    """The other proxies, who may hold a tenant's counts."""
    doors = [
        [f"10.9.{n // 250}.{n % 250}:7342", f"10.9.{n // 250}.{n % 250}", 7342, "zone", float(n)]
        for n in range(size)
    ]
    membership = MembershipView()
    membership.apply_snapshot("a", "run", 0, True, [], doors, 1000.0)
    holders = CounterHolders(str(doors[0][0]), 0.0)
    there = {id: place.joined_at for id, place in membership.proxies().items()}
    _, first = timed(lambda: holders.update_proxies(there, 1000.0))
    joined = {**there, "10.9.9.9:7342": 999.0}
    _, join = timed(lambda: holders.update_proxies(joined, 1001.0))
    told = encode_frame({"k": "doors", "on": doors[:1], "off": []})
    return {
        "processor time as all come": (1000 * first, "ms"),
        "processor time as one comes": (1000 * join, "ms"),
        "bytes of a list of all": (len(encode_frame({"k": "here", "doors": doors})) / 1000, "KB"),
        "bytes to all as one comes": (size * len(told) / 1000, "KB"),
    }


def store_text(size: int) -> Values:
    """A change of so many kilobytes at the configuration store; its disk is this machine's."""
    text = "x" * (size * 1000)
    change = messages.WriteRequest("10.1.0.1/first", 7, 1, 2, text)
    packed, packing = timed(lambda: encode_frame(messages.encode(change)))
    with tempfile.TemporaryDirectory() as folder:
        store = DurableStore(Path(folder))
        steps = [Persist(state=ConfigurationState(7, 2, text), change=(2, digest_of(text)))]
        _, cpu = timed(lambda: store.write(steps))
        began = time.perf_counter()
        store.write(steps)
        wall = time.perf_counter() - began
        store.close()
    return {
        "bytes of a change to the backup": (len(packed) / 1e6, "MB"),
        "processor time to send it": (1000 * packing, "ms"),
        "processor time to write it": (1000 * cpu, "ms"),
        "a commit": (1000 * wall, "ms"),
    }


def store_history(size: int) -> Values:
    """A transfer of the state with a history of so many changes."""
    changes = tuple((version, digest_of(str(version))) for version in range(size))
    transfer = messages.StateTransfer("10.1.0.1/first", 7, size, "", changes, 0)
    packed, packing = timed(lambda: encode_frame(messages.encode(transfer)))
    with tempfile.TemporaryDirectory() as folder:
        store = DurableStore(Path(folder))
        _, cpu = timed(lambda: store.write([Persist(history=changes)]))
        store.close()
    return {
        "bytes of a transfer's history": (len(packed) / 1000, "KB"),
        "processor time to send it": (1000 * packing, "ms"),
        "processor time to write it": (1000 * cpu, "ms"),
    }


def store_members(size: int) -> Values:
    """What members of a core say to one another while nothing changes (simulated time)."""
    cores = start_cluster(1, size)
    cores.run_for(3.0)
    sent = [0, 0]
    send = cores.send

    def counted(source: str, target: str, message: ReplicaMessage) -> None:
        if source != target:
            sent[0] += 1
            sent[1] += len(encode_frame(messages.encode(message)))
        send(source, target, message)

    cores.send = counted  # type: ignore[method-assign]
    cores.run_for(QUIET)
    return {
        "messages between all core machines": (sent[0] / QUIET, "1/s"),
        "bytes between all core machines": (sent[1] / QUIET, "bytes/s"),
    }


@dataclass(frozen=True, slots=True)
class Part:
    """What is measured by size, the sizes, and the one that is wanted."""

    title: str
    measure: Callable[[int], Values]
    sizes: tuple[int, ...]
    wanted: int


PARTS = {
    "proxy-tenants": Part("proxy, by tenants", proxy_tenants, (500, 2000, 8000, 16_000, 30_000), TENANTS),
    "proxy-routes": Part("proxy, by routes", proxy_routes, (100, 400, 1600, 4700), ROUTES),
    "proxy-backends": Part("proxy, by backends", proxy_backends, (155, 600, 2400, 6800), BACKENDS),
    "proxy-proxies": Part("proxy, by proxies", proxy_proxies, (30, 100, 300, 830), PROXIES),
    "registry-backends": Part(
        "registry, by backends that call it", registry_backends, (155, 600, 2400, 6800),
        BACKENDS // CORE_MACHINES,
    ),
    "store-text": Part("configuration store, by KB of a change", store_text, (13, 100, 1000, 5000), 9000),
    "store-history": Part(
        "configuration store, by changes remembered", store_history, (64, 512, 2048, MAX_CHANGES),
        MAX_CHANGES,
    ),
    "store-members": Part("configuration store, by members", store_members, (3, 4, 5, 7), CORE_MACHINES),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Fit:
    """A line through measured points."""

    base: float
    slope: float
    residual: float  # the most that a point lies off it, as a part of the point

    def at(self, size: float) -> float:
        return self.base + self.slope * size


def fit(points: list[tuple[float, float]]) -> Fit:
    """Least squares, each point weighted by its value so that small sizes count too."""
    weights = [1.0 / max(abs(y), 1e-9) ** 2 for _, y in points]
    total = sum(weights)
    mean_x = sum(w * x for w, (x, _) in zip(weights, points, strict=True)) / total
    mean_y = sum(w * y for w, (_, y) in zip(weights, points, strict=True)) / total
    spread = sum(w * (x - mean_x) ** 2 for w, (x, _) in zip(weights, points, strict=True))
    joint = sum(w * (x - mean_x) * (y - mean_y) for w, (x, y) in zip(weights, points, strict=True))
    slope = joint / spread if spread else 0.0
    base = mean_y - slope * mean_x
    residual = max(abs(base + slope * x - y) / max(abs(y), 1e-9) for x, y in points)
    return Fit(base, slope, residual)


def measured(part: str, size: int) -> Values:
    """A point, from a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.capacity", "--measure", part, str(size)],
        capture_output=True, text=True, check=True, timeout=300,
    )  # fmt: skip
    return {name: (float(value), str(unit)) for name, (value, unit) in json.loads(done.stdout).items()}


def registry_proxies(sizes: tuple[int, ...]) -> list[tuple[int, Values]]:
    """Real registries and stores with hollow proxies that hold connections to them."""
    from bench.sizing import measure

    points = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            told = asyncio.run(measure(Path(folder), size, 3))
        values = {
            name.removeprefix(f"{size} doors: "): (float(entry["median"]), str(entry["unit"]))
            for name, entry in told.items()
        }
        points.append((size, values))
    return points


def tables(points: dict[str, tuple[str, int, list[tuple[int, Values]]]]) -> tuple[str, dict[str, Any]]:
    """The page's tables, and the same as figures."""
    lines: list[str] = []
    figures: dict[str, Any] = {}
    for title, wanted, measured_points in points.values():
        sizes = " | ".join(f"{size:,}" for size, _ in measured_points)
        lines += [f"| {title} | {sizes} | each | residual | projected at {wanted:,} |"]
        lines += ["| --- " * (len(measured_points) + 4) + "|"]
        for name, (_, unit) in measured_points[0][1].items():
            values = [(float(size), found[name][0]) for size, found in measured_points]
            line = fit(values)
            cells = " | ".join(f"{value:.3g}" for _, value in values)
            told = f"{line.slope:.3g} | {100 * line.residual:.0f}% | {line.at(wanted):.3g}"
            lines.append(f"| {name}, {unit} | {cells} | {told} |")
            figures[f"{title}: {name}, projected at {wanted}"] = summarize([line.at(wanted)], unit)
        lines.append("")
    return "\n".join(lines), figures


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.capacity")
    parser.add_argument("--quick", action="store_true", help="without the registry's connections")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--markdown", action="store_true")
    parser.add_argument("--measure", nargs=2, metavar=("PART", "SIZE"))
    args = parser.parse_args()
    if args.measure:
        part, size = args.measure
        print(json.dumps(PARTS[part].measure(int(size))))
        return
    points = {
        name: (part.title, part.wanted, [(size, measured(name, size)) for size in part.sizes])
        for name, part in PARTS.items()
    }
    if not args.quick:
        title = "registry, by proxies that are connected"
        points["registry-proxies"] = (title, PROXIES, registry_proxies((30, 100, 200, 300)))
    text, figures = tables(points)
    if args.markdown:
        print(text)
    load = f"a configuration of {MAX_TEXT_BYTES >> 20} MiB at most"
    write_report(args, load, figures, {})


if __name__ == "__main__":
    main()
