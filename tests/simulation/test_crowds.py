"""Crowds in day files and soak plans."""

from __future__ import annotations

import pytest

from ivymux.simulation.day_file import FORMAT, Day, DayError, SendCrowd, read, write
from ivymux.simulation.misbehaving_clients import HTTP_MISBEHAVIOURS, HTTP_PORTS, MISBEHAVIOURS, PORTS
from ivymux.simulation.soak_plan import SoakSize, draw_soak

DAY = Day(FORMAT, 1, 3, 2, {"archive": 1})
CROWD = SendCrowd(1.0, "door-1", "front", "header-value", 5, 1000, 2.0)


def test_a_crowd_is_read_as_it_was_written() -> None:
    assert read(write([DAY, CROWD]))[1] == [CROWD]


@pytest.mark.parametrize(
    "wrong",
    [
        SendCrowd(1.0, "door-9", "front", "header-value", 5, 1000, 2.0),
        SendCrowd(1.0, "door-1", "back", "header-value", 5, 1000, 2.0),
        SendCrowd(1.0, "door-1", "front", "politeness", 5, 1000, 2.0),
    ],
)
def test_an_unknown_machine_port_or_misbehaviour_is_refused(wrong: SendCrowd) -> None:
    with pytest.raises(DayError, match="event 1"):
        read(write([DAY, wrong]))


def test_plans_have_crowds_of_all_kinds_at_all_ports() -> None:
    crowds = [
        event
        for seed in range(30)
        for event in draw_soak(seed, SoakSize())[1]
        if isinstance(event, SendCrowd)
    ]
    assert {crowd.port for crowd in crowds} == set(PORTS)
    assert {crowd.misbehaviour for crowd in crowds} == set(MISBEHAVIOURS)
    assert all((crowd.misbehaviour in HTTP_MISBEHAVIOURS) == (crowd.port in HTTP_PORTS) for crowd in crowds)
