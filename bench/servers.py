"""The same load over 11 to 1,000 doors of the system: which servers they take, and what that costs.

    python -m bench.servers [--quick] [--json FILE|-]

A model (ivymux/simulation/backend_selection.py): all doors' decisions, servers of differing speed; no clock
or socket, so a run has the same figures on every machine.  Each is played as it is, with doors that all begin
with the same server, and with failures that doors keep to themselves.
"""

from __future__ import annotations

from typing import Any

from bench.common import figure, parser, report
from ivymux.simulation.backend_selection import Floor, Kind
from ivymux.simulation.event_queue import START
from orchidhill import proxy_gateway

DOORS = (11, 85, 300, 1000)
KINDS = [Kind(0.22, 254.0, 64), Kind(0.29, 85.0, 28, repeatable=False), Kind(0.55, 90.0, 63)]
SECONDS = 14.0
FAILING = (5.0, 10.0)  # seconds in which one server in sixteen fails all that it is sent
FORMS = ("", ", one order for all", ", failures not told")


def play(doors: int, seed: int, form: str) -> Floor:
    turns, proxy_gateway.ROTATION_S = (
        proxy_gateway.ROTATION_S,
        proxy_gateway.ROTATION_S if form != FORMS[1] else 0.0,
    )
    try:
        floor = Floor(doors, KINDS, seed, shared=form != FORMS[2])
    finally:
        proxy_gateway.ROTATION_S = turns

    def fail() -> None:
        for machine in floor.machines[::16]:
            machine.fails_until = START + FAILING[1]

    floor.at(START + FAILING[0], fail)
    floor.run(SECONDS)
    return floor


def main() -> None:
    args = parser("servers").parse_args()
    figures: dict[str, Any] = {}
    for doors in DOORS[:2] if args.quick else DOORS:
        for form in FORMS:
            runs = [play(doors, seed, form) for seed in ((1,) if args.quick else (1, 2, 3))]
            name = f"{doors} doors{form}: "
            figures |= {
                name + "late in the first 3 s": figure([r.late(0.0, 3.0) for r in runs], "of requests"),
                name + "late from 3 s to the failures": figure(
                    [r.late(3.0, 4.5) for r in runs], "of requests"
                ),
                name + "most at one server in the first second": figure(
                    [max(r.first.values()) for r in runs], "requests"
                ),
                name + "never served": figure([r.failed / r.asked for r in runs], "of requests"),
                name + "new connections": figure([r.connections / r.asked for r in runs], "of requests"),
                name + "begun again": figure([r.again / r.asked for r in runs], "of requests"),
            }
    load = f"{sum(k.rate for k in KINDS):.0f} requests a second, {sum(k.servers for k in KINDS)} servers"
    report(args, load, figures, {})


if __name__ == "__main__":
    main()
