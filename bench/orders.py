"""Explores every order of messages, commits and losses in small cores, up to a number of states.

    python -m bench.orders [--quick] [--states N] [--jobs N] [--json FILE|-]

A violated guarantee ends the run with the steps that lead to it (ivymux/simulation/order_exploration.py).
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable

from bench.common import argument_parser, summarize, write_report
from ivymux.simulation.order_exploration import (
    Budget,
    Exploration,
    OrderWorld,
    before_takeover,
    explore_orders,
    whole_core,
)

QUICK_STATES, FULL_STATES = 600, 20_000
# By name: the core at the start, and how often each costly step may be taken.
SCENARIOS: dict[str, tuple[Callable[[], OrderWorld], Budget]] = {
    "3 machines: a change, a lost disk, a restart": (
        lambda: whole_core(3),
        Budget(change=1, wipe=1, restart=1),
    ),
    "3 machines: two changes, a lost disk, a restart": (
        lambda: whole_core(3),
        Budget(change=2, wipe=1, restart=1),
    ),
    "4 machines: a change, a lost disk, a restart": (
        lambda: whole_core(4),
        Budget(change=1, wipe=1, restart=1),
    ),
    "5 machines, 3 copies: a change, two lost disks": (
        lambda: whole_core(5, backup_count=2),
        Budget(change=1, wipe=2),
    ),
    "5 machines, 3 copies: a change, two lost disks, a restart": (
        lambda: whole_core(5, backup_count=2),
        Budget(change=1, wipe=2, restart=1),
    ),
    "3 machines: a takeover": (lambda: before_takeover(3), Budget(tick=1)),
    "3 machines: a takeover, a restart, a lost disk": (
        lambda: before_takeover(3),
        Budget(tick=1, wipe=1, restart=1),
    ),
    "3 machines: a takeover of two ticks, a change": (lambda: before_takeover(3), Budget(tick=2, change=1)),
    "4 machines: a takeover, a restart": (lambda: before_takeover(4), Budget(tick=1, restart=1)),
}


def explore_scenario(case: tuple[str, int]) -> tuple[str, Exploration]:
    name, max_states = case
    make_world, budget = SCENARIOS[name]
    world = make_world()
    world.budget = budget
    return name, explore_orders(world, max_states, finishes=True)


def main() -> None:
    parser = argument_parser("orders")
    parser.add_argument("--states", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    args = parser.parse_args()
    max_states = args.states or (QUICK_STATES if args.quick else FULL_STATES)
    figures = {}
    with multiprocessing.Pool(args.jobs) as pool:
        for name, found in pool.imap(explore_scenario, [(name, max_states) for name in SCENARIOS]):
            extent = "all" if found.is_complete else "not all"
            print(f"{name}: {found.states} states, {extent}, up to {found.deepest} steps deep", flush=True)
            figures[f"{name}: states, {extent}"] = summarize([found.states], "states")
    write_report(args, "every order of messages, commits and losses in small cores", figures, {})


if __name__ == "__main__":
    main()
