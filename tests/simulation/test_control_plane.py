"""Days of the control side that once broke a promise, and a seeded fault's that must: all by their events."""

from __future__ import annotations

import pytest

from ivymux.simulation.control_plane import Control, ControlFault

FOUND = {
    "two with the same number, and the third gone": (
        "seed:977653206:3 0:1.586:in:m0:3.00 0:1.617:aimed:m1:0.40"
    ),
    "a machine that joined was added beside one that was gone": (
        "0:0.801:replace:backup:3.00 1:0.237:wipe:primary:0.10"
    ),
    "repeated promises counted as progress": (
        "seed:788835368:5 0:0.926:wipe:m4:0.10 0:0.953:full:m2:0.40 0:1.059:halves:m4:3.00"
    ),
    "the only other copy was let out as it left": (
        "1:0.723:retire:m4:1.50 1:0.782:wipe:m2:1.50 2:0.323:wipe:m1:0.80"
    ),
    "an accepted epoch that its leader did not know": (
        "seed:269117054:3 0:1.258:halves:primary:0.80 0:1.314:retire:backup:0.10 0:1.525:power:m4:0.40"
        " 0:2.396:kill_all:m4:3.00"
    ),
    "one that had left and was back was let out": (
        "seed:932223454:3 0:0.147:halves:m0:0.40 0:0.172:leave:primary:1.01 1:1.143:retire:m2:0.10"
        " 1:5.343:aimed:primary:0.60"
    ),
}


@pytest.mark.parametrize("what", FOUND)
def test_a_day_that_once_broke_a_promise(what: str) -> None:
    assert Control().play(tuple(FOUND[what].split())) == ""


def test_a_fault_is_read_as_it_is_printed() -> None:
    fault = ControlFault(1, 0.5, "kill all", "primary", 0.4)
    assert ControlFault.read(str(fault)) == fault
