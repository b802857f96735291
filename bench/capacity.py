"""Memory, messages and CPU time of each role at growing sizes, with fitted lines and projections.

    python -m bench.capacity [--quick] [--json FILE|-] [--markdown]     # the tables of docs/CAPACITY.md
    python -m bench.capacity --measure PART SIZE                        # one point, in this process

Each point is measured in a separate process.  A line is fitted to four or more sizes by least squares; its
residual is the largest deviation of a point from the line, relative to the point.  A value at the projected
size is an extrapolation, not a measurement.  The registry's connections are real: `bench.sizing` opens them
with stand-in proxies in one process.
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
from ivymux.registry.proxy_updates import change_message, split_changes
from ivymux.routing_config.route_plan import MAX_TEXT_BYTES, RoutePlan, parse_route_plan
from ivymux.simulation.loss_scenarios import start_cluster
from ivymux.transport.frames import encode_frame

# The sizes to project to.
PROXIES, BACKENDS, SERVICES, ROUTES, TENANTS = 830, 6800, 130, 4700, 60_000
CORE_MACHINES = 5
OBSERVED_S = 10.0  # simulated seconds over which the messages of an idle core are counted
Values = dict[str, tuple[float, str]]  # by name of the figure: its value and its unit


def allocated_mb(build: Callable[[], Any]) -> float:
    """Memory in MB that the result of `build` takes up."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return allocated_bytes / 1e6


def measure_cpu(work: Callable[[], Any]) -> tuple[Any, float]:
    """The result of `work`, and its CPU time in seconds."""
    started_at = time.process_time()
    result = work()
    return result, time.process_time() - started_at


def configuration_text(routes: int, tenants: int) -> bytes:
    services = [f"service-{n}" for n in range(SERVICES)]
    document = {
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
    return json.dumps(document, separators=(",", ":")).encode()


def proxy_configuration(routes: int, tenants: int) -> Values:
    """A proxy that loads a configuration."""
    text = configuration_text(routes, tenants)

    def load() -> tuple[NameTables, RoutePlan]:
        tables = NameTables()
        plan = parse_route_plan(text)
        tables.update(plan)
        return tables, plan

    _, cpu_s = measure_cpu(load)
    return {
        "text": (len(text) / 1e6, "MB"),
        "processor time to take it in": (cpu_s, "s"),
        "memory of a proxy": (allocated_mb(load), "MB"),
    }


def proxy_tenants(size: int) -> Values:
    """A proxy whose configuration has `size` tenants and few routes."""
    return proxy_configuration(100, size)


def proxy_routes(size: int) -> Values:
    """A proxy whose configuration has `size` routes and few tenants."""
    return proxy_configuration(size, 100)


def build_backend_records(size: int) -> BackendRecords:
    records = BackendRecords(3.5)
    for number in range(size):
        records.heartbeat(f"i-{number:08x}", heartbeat_body(number, 1), 0.0)
    return records


def heartbeat_body(number: int, seq: int) -> dict[str, Any]:
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
    """Backends of one registry: their heartbeats, and the snapshot for a proxy that connects."""
    records = build_backend_records(size)
    bodies = [msgspec.json.encode(heartbeat_body(number, 2)) for number in range(size)]

    def receive_heartbeats() -> None:
        for number, body in enumerate(bodies):
            records.heartbeat(f"i-{number:08x}", msgspec.json.decode(body), 1.0)

    _, heartbeats_cpu_s = measure_cpu(receive_heartbeats)
    snapshot, snapshot_cpu_s = measure_cpu(lambda: encode_changes(records))
    _, expiry_cpu_s = measure_cpu(lambda: records.expire(1.5))
    return {
        "processor time of all beats once, without HTTP": (1000 * heartbeats_cpu_s, "ms"),
        "the whole list": (len(snapshot) / 1e6, "MB"),
        "processor time to write it": (1000 * snapshot_cpu_s, "ms"),
        "processor time of a sweep": (1000 * expiry_cpu_s, "ms"),
        "memory of a registry": (allocated_mb(lambda: build_backend_records(size)), "MB"),
    }


def encode_changes(records: BackendRecords) -> bytes:
    """Return all backends as a registry sends them to a proxy that connects."""
    batches = split_changes(0, records.last_change, records.encode_all(1.0))
    return b"".join(encode_frame(change_message(batch)) for batch in batches)


def proxy_backends(size: int) -> Values:
    """A proxy that applies a snapshot of all backends."""
    entries = [entry.fields for entry in build_backend_records(size).encode_all(1.0)]

    def apply_snapshot() -> MembershipView:
        view = MembershipView()
        view.apply_snapshot("a", "run", size, True, entries, [], 1.0)
        return view

    view, snapshot_cpu_s = measure_cpu(apply_snapshot)
    _, expiry_cpu_s = measure_cpu(lambda: view.expire_backends(1.5))
    return {
        "processor time to take the list in": (1000 * snapshot_cpu_s, "ms"),
        "processor time of a sweep": (1000 * expiry_cpu_s, "ms"),
        "memory of a proxy": (allocated_mb(apply_snapshot), "MB"),
    }


def proxy_proxies(size: int) -> Values:
    """The other proxies, each of which may hold a tenant's counts."""
    proxies = [
        [f"10.9.{n // 250}.{n % 250}:7342", f"10.9.{n // 250}.{n % 250}", 7342, "zone", float(n)]
        for n in range(size)
    ]
    view = MembershipView()
    view.apply_snapshot("a", "run", 0, True, [], proxies, 1000.0)
    holders = CounterHolders(str(proxies[0][0]), 0.0)
    joined_at = {id: proxy.joined_at for id, proxy in view.proxies().items()}
    _, first_cpu_s = measure_cpu(lambda: holders.update_proxies(joined_at, 1000.0))
    with_new_proxy = {**joined_at, "10.9.9.9:7342": 999.0}
    _, join_cpu_s = measure_cpu(lambda: holders.update_proxies(with_new_proxy, 1001.0))
    join_message = encode_frame({"k": "doors", "on": proxies[:1], "off": []})
    return {
        "processor time as all come": (1000 * first_cpu_s, "ms"),
        "processor time as one comes": (1000 * join_cpu_s, "ms"),
        "bytes of a list of all": (len(encode_frame({"k": "here", "doors": proxies})) / 1000, "KB"),
        "bytes to all as one comes": (size * len(join_message) / 1000, "KB"),
    }


def store_text(size: int) -> Values:
    """A change of `size` kilobytes at the config store, which writes it to this machine's disk."""
    text = "x" * (size * 1000)
    change = messages.WriteRequest("10.1.0.1/first", 7, 1, 2, text)
    frame, encoding_cpu_s = measure_cpu(lambda: encode_frame(messages.encode(change)))
    with tempfile.TemporaryDirectory() as directory:
        store = DurableStore(Path(directory))
        actions = [Persist(state=ConfigurationState(7, 2, text), change=(2, digest_of(text)))]
        _, write_cpu_s = measure_cpu(lambda: store.write(actions))
        started_at = time.perf_counter()
        store.write(actions)
        commit_s = time.perf_counter() - started_at
        store.close()
    return {
        "bytes of a change to the backup": (len(frame) / 1e6, "MB"),
        "processor time to send it": (1000 * encoding_cpu_s, "ms"),
        "processor time to write it": (1000 * write_cpu_s, "ms"),
        "a commit": (1000 * commit_s, "ms"),
    }


def store_history(size: int) -> Values:
    """A transfer of the state with a history of `size` changes."""
    changes = tuple((version, digest_of(str(version))) for version in range(size))
    transfer = messages.StateTransfer("10.1.0.1/first", 7, size, "", changes, 0)
    frame, encoding_cpu_s = measure_cpu(lambda: encode_frame(messages.encode(transfer)))
    with tempfile.TemporaryDirectory() as directory:
        store = DurableStore(Path(directory))
        _, write_cpu_s = measure_cpu(lambda: store.write([Persist(history=changes)]))
        store.close()
    return {
        "bytes of a transfer's history": (len(frame) / 1000, "KB"),
        "processor time to send it": (1000 * encoding_cpu_s, "ms"),
        "processor time to write it": (1000 * write_cpu_s, "ms"),
    }


def store_members(size: int) -> Values:
    """Messages between the members of an idle core, in simulated time."""
    cluster = start_cluster(1, size)
    cluster.run_for(3.0)
    sent = [0, 0]
    send = cluster.send

    def count_and_send(source: str, target: str, message: ReplicaMessage) -> None:
        if source != target:
            sent[0] += 1
            sent[1] += len(encode_frame(messages.encode(message)))
        send(source, target, message)

    cluster.send = count_and_send  # type: ignore[method-assign]
    cluster.run_for(OBSERVED_S)
    return {
        "messages between all core machines": (sent[0] / OBSERVED_S, "1/s"),
        "bytes between all core machines": (sent[1] / OBSERVED_S, "bytes/s"),
    }


@dataclass(frozen=True, slots=True)
class Series:
    """A measurement as a function of size, the sizes to measure, and the size to project to."""

    title: str
    measure: Callable[[int], Values]
    sizes: tuple[int, ...]
    projected_size: int


SERIES = {
    "proxy-tenants": Series("proxy, by tenants", proxy_tenants, (500, 2000, 8000, 16_000, 30_000), TENANTS),
    "proxy-routes": Series("proxy, by routes", proxy_routes, (100, 400, 1600, 4700), ROUTES),
    "proxy-backends": Series("proxy, by backends", proxy_backends, (155, 600, 2400, 6800), BACKENDS),
    "proxy-proxies": Series("proxy, by proxies", proxy_proxies, (30, 100, 300, 830), PROXIES),
    "registry-backends": Series(
        "registry, by backends that call it", registry_backends, (155, 600, 2400, 6800),
        BACKENDS // CORE_MACHINES,
    ),
    "store-text": Series("configuration store, by KB of a change", store_text, (13, 100, 1000, 5000), 9000),
    "store-history": Series(
        "configuration store, by changes remembered", store_history, (64, 512, 2048, MAX_CHANGES),
        MAX_CHANGES,
    ),
    "store-members": Series("configuration store, by members", store_members, (3, 4, 5, 7), CORE_MACHINES),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A line fitted to measured points."""

    intercept: float
    slope: float
    residual: float  # the largest deviation of a point from the line, relative to the point

    def predict(self, size: float) -> float:
        return self.intercept + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Least squares of the relative deviations, so that small sizes count as much as large ones."""
    weights = [1.0 / max(abs(y), 1e-9) ** 2 for _, y in points]
    total = sum(weights)
    mean_x = sum(weight * x for weight, (x, _) in zip(weights, points, strict=True)) / total
    mean_y = sum(weight * y for weight, (_, y) in zip(weights, points, strict=True)) / total
    x_variance = sum(weight * (x - mean_x) ** 2 for weight, (x, _) in zip(weights, points, strict=True))
    covariance = sum(
        weight * (x - mean_x) * (y - mean_y) for weight, (x, y) in zip(weights, points, strict=True)
    )
    slope = covariance / x_variance if x_variance else 0.0
    intercept = mean_y - slope * mean_x
    residual = max(abs(intercept + slope * x - y) / max(abs(y), 1e-9) for x, y in points)
    return LinearFit(intercept, slope, residual)


def run_measurement(series: str, size: int) -> Values:
    """Measures one point in a separate process."""
    process = subprocess.run(
        [sys.executable, "-m", "bench.capacity", "--measure", series, str(size)],
        capture_output=True, text=True, check=True, timeout=300,
    )  # fmt: skip
    return {name: (float(value), str(unit)) for name, (value, unit) in json.loads(process.stdout).items()}


def registry_proxies(sizes: tuple[int, ...]) -> list[tuple[int, Values]]:
    """Real registries and config stores, with stand-in proxies that keep connections to them."""
    from bench.sizing import measure

    points = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            sizing_figures = asyncio.run(measure(Path(directory), size, 3))
        values = {
            name.removeprefix(f"{size} doors: "): (float(entry["median"]), str(entry["unit"]))
            for name, entry in sizing_figures.items()
        }
        points.append((size, values))
    return points


def render_tables(points: dict[str, tuple[str, int, list[tuple[int, Values]]]]) -> tuple[str, dict[str, Any]]:
    """The results as Markdown tables, and as figures of the report."""
    lines: list[str] = []
    figures: dict[str, Any] = {}
    for title, projected_size, series_points in points.values():
        sizes = " | ".join(f"{size:,}" for size, _ in series_points)
        lines += [f"| {title} | {sizes} | each | residual | projected at {projected_size:,} |"]
        lines += ["| --- " * (len(series_points) + 4) + "|"]
        for name, (_, unit) in series_points[0][1].items():
            values = [(float(size), measured_values[name][0]) for size, measured_values in series_points]
            fit = fit_line(values)
            cells = " | ".join(f"{value:.3g}" for _, value in values)
            fit_cells = f"{fit.slope:.3g} | {100 * fit.residual:.0f}% | {fit.predict(projected_size):.3g}"
            lines.append(f"| {name}, {unit} | {cells} | {fit_cells} |")
            figures[f"{title}: {name}, projected at {projected_size}"] = summarize(
                [fit.predict(projected_size)], unit
            )
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
        series, size = args.measure
        print(json.dumps(SERIES[series].measure(int(size))))
        return
    points = {
        name: (
            series.title,
            series.projected_size,
            [(size, run_measurement(name, size)) for size in series.sizes],
        )
        for name, series in SERIES.items()
    }
    if not args.quick:
        title = "registry, by proxies that are connected"
        points["registry-proxies"] = (title, PROXIES, registry_proxies((30, 100, 200, 300)))
    text, figures = render_tables(points)
    if args.markdown:
        print(text)
    workload = f"a configuration of {MAX_TEXT_BYTES >> 20} MiB at most"
    write_report(args, workload, figures, {})


if __name__ == "__main__":
    main()
