"""Many doors before few servers: that they do not go to the same ones, and learn together which fail."""

from __future__ import annotations

from ivymux.simulation.backend_selection import Floor, Kind
from ivymux.simulation.event_queue import START

DOORS = 85


def kinds(repeatable: bool = True) -> list[Kind]:
    return [Kind(0.2, 120.0, 32, repeatable), Kind(0.5, 40.0, 32, repeatable)]


def test_doors_that_start_together_spread_over_their_servers() -> None:
    floor = Floor(DOORS, kinds(), 1)
    floor.run(12.0)
    assert max(floor.first.values()) <= 10  # of 144 requests to 64 servers in the first second
    assert floor.late(0.0, 3.0) <= floor.late(3.0, 10.0) + 0.02
    assert floor.again <= 0.005 * floor.asked  # nothing is begun anew where nothing is lost


def test_what_several_doors_met_is_left_alone_by_all() -> None:
    failed = []
    for shared in (False, True):
        floor = Floor(DOORS, kinds(repeatable=False), 2, shared)
        for machine in floor.machines[:2]:
            machine.fails_until = START + 8.0
        floor.run(10.0)
        failed.append(floor.failed)
    assert failed[1] * 2 < failed[0] and failed[0] > 40


def test_a_service_that_fails_as_a_whole_is_served_on() -> None:
    floor = Floor(11, kinds(), 3)
    for machine in floor.machines:
        machine.fails_until = START + 3.0
    floor.run(10.0)
    assert floor.late(5.0, 9.0) < 0.1 and len([1 for at, _ in floor.took if at > START + 5.0]) > 600
