"""The same load over 11 to 1,000 doors of the system: which servers they take, and what that costs.

    python -m bench.servers [--quick] [--json FILE|-]

A model (ivymux/simulation/backend_selection.py): all doors' decisions, servers of differing speed; no clock
or socket, so a run has the same figures on every machine.  Each is played as it is, with doors that all begin
with the same server, and with failures that doors keep to themselves.
"""

from __future__ import annotations

from typing import Any

from bench.common import argument_parser, summarize, write_report
from ivymux.simulation.backend_selection import BackendSelectionSimulation, ServiceLoad
from ivymux.simulation.event_queue import START_TIME
from orchidhill import proxy_gateway

DOORS = (11, 85, 300, 1000)
KINDS = [
    ServiceLoad(0.22, 254.0, 64),
    ServiceLoad(0.29, 85.0, 28, is_repeatable=False),
    ServiceLoad(0.55, 90.0, 63),
]
SECONDS = 14.0
FAILING = (5.0, 10.0)  # seconds in which one server in sixteen fails all that it is sent
FORMS = ("", ", one order for all", ", failures not told")


def play(doors: int, seed: int, form: str) -> BackendSelectionSimulation:
    turns, proxy_gateway.ROTATION_S = (
        proxy_gateway.ROTATION_S,
        proxy_gateway.ROTATION_S if form != FORMS[1] else 0.0,
    )
    try:
        simulation = BackendSelectionSimulation(doors, KINDS, seed, shares_failures=form != FORMS[2])
    finally:
        proxy_gateway.ROTATION_S = turns

    def fail() -> None:
        for backend in simulation.backends[::16]:
            backend.fails_until = START_TIME + FAILING[1]

    simulation.schedule_at(START_TIME + FAILING[0], fail)
    simulation.run_until(SECONDS)
    return simulation


def main() -> None:
    args = argument_parser("servers").parse_args()
    figures: dict[str, Any] = {}
    for doors in DOORS[:2] if args.quick else DOORS:
        for form in FORMS:
            runs = [play(doors, seed, form) for seed in ((1,) if args.quick else (1, 2, 3))]
            name = f"{doors} doors{form}: "
            figures |= {
                name + "late in the first 3 s": summarize(
                    [r.late_share(0.0, 3.0) for r in runs], "of requests"
                ),
                name + "late from 3 s to the failures": summarize(
                    [r.late_share(3.0, 4.5) for r in runs], "of requests"
                ),
                name + "most at one server in the first second": summarize(
                    [max(r.first_second_requests.values()) for r in runs], "requests"
                ),
                name + "never served": summarize([r.failed / r.requested for r in runs], "of requests"),
                name + "new connections": summarize(
                    [r.opened_connections / r.requested for r in runs], "of requests"
                ),
                name + "begun again": summarize([r.retries / r.requested for r in runs], "of requests"),
            }
    rate, backends = sum(k.request_rate for k in KINDS), sum(k.backends for k in KINDS)
    load = f"{rate:.0f} requests a second, {backends} servers"
    write_report(args, load, figures, {})


if __name__ == "__main__":
    main()
