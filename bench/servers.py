"""The same load on 11 to 1,000 proxies: which backends they choose, and what it costs.

    python -m bench.servers [--quick] [--json FILE|-]

A model (ivymux/simulation/backend_selection.py) of all proxies' decisions and of backends that differ in
speed.  It uses no clock and no socket, so a run gives the same figures on every machine.  Besides the rules
as they are, it runs a variant in which all proxies begin with the same backend, and one in which proxies do
not report failures.
"""

from __future__ import annotations

from typing import Any

from bench.common import argument_parser, summarize, write_report
from ivymux.simulation.backend_selection import BackendSelectionSimulation, ServiceLoad
from ivymux.simulation.event_queue import START_TIME
from orchidhill import proxy_backends

PROXY_COUNTS = (11, 85, 300, 1000)
SERVICE_LOADS = [
    ServiceLoad(0.22, 254.0, 64),
    ServiceLoad(0.29, 85.0, 28, is_repeatable=False),
    ServiceLoad(0.55, 90.0, 63),
]
DURATION_S = 14.0
FAILING_S = (5.0, 10.0)  # start and end of the time in which one backend in sixteen fails all requests
VARIANTS = ("", ", one order for all", ", failures not told")


def run_simulation(proxies: int, seed: int, variant: str) -> BackendSelectionSimulation:
    """Runs the simulation with one of VARIANTS, and failures of some backends in FAILING_S."""
    rotation_s, proxy_backends.ROTATION_S = (
        proxy_backends.ROTATION_S,
        proxy_backends.ROTATION_S if variant != VARIANTS[1] else 0.0,
    )
    try:
        simulation = BackendSelectionSimulation(
            proxies, SERVICE_LOADS, seed, shares_failures=variant != VARIANTS[2]
        )
    finally:
        proxy_backends.ROTATION_S = rotation_s

    def fail() -> None:
        for backend in simulation.backends[::16]:
            backend.fails_until = START_TIME + FAILING_S[1]

    simulation.schedule_at(START_TIME + FAILING_S[0], fail)
    simulation.run_until(DURATION_S)
    return simulation


def main() -> None:
    args = argument_parser("servers").parse_args()
    figures: dict[str, Any] = {}
    for proxies in PROXY_COUNTS[:2] if args.quick else PROXY_COUNTS:
        for variant in VARIANTS:
            runs = [run_simulation(proxies, seed, variant) for seed in ((1,) if args.quick else (1, 2, 3))]
            name = f"{proxies} doors{variant}: "
            figures |= {
                name + "late in the first 3 s": summarize(
                    [run.late_share(0.0, 3.0) for run in runs], "of requests"
                ),
                name + "late from 3 s to the failures": summarize(
                    [run.late_share(3.0, 4.5) for run in runs], "of requests"
                ),
                name + "most at one server in the first second": summarize(
                    [max(run.first_second_requests.values()) for run in runs], "requests"
                ),
                name + "never served": summarize([run.failed / run.requested for run in runs], "of requests"),
                name + "new connections": summarize(
                    [run.opened_connections / run.requested for run in runs], "of requests"
                ),
                name + "begun again": summarize([run.retries / run.requested for run in runs], "of requests"),
            }
    rate, backends = (
        sum(service_load.request_rate for service_load in SERVICE_LOADS),
        sum(service_load.backends for service_load in SERVICE_LOADS),
    )
    workload = f"{rate:.0f} requests a second, {backends} servers"
    write_report(args, workload, figures, {})


if __name__ == "__main__":
    main()
