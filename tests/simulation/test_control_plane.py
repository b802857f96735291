"""Runs of the core that once broke a guarantee, played again from their events."""

from __future__ import annotations

import pytest

from ivymux.simulation.control_plane import ControlFault, ControlPlaneWorld

REGRESSIONS = {
    "two machines in the same epoch and the third lost": (
        "seed:977653206:3 0:1.586:in:m0:3.00 0:1.617:aimed:m1:0.40"
    ),
    "a joining machine was added beside a lost one": (
        "0:0.801:replace:backup:3.00 1:0.237:wipe:primary:0.10"
    ),
    "repeated promises counted as progress": (
        "seed:788835368:5 0:0.926:wipe:m4:0.10 0:0.953:full:m2:0.40 0:1.059:halves:m4:3.00"
    ),
    "the machine with the only other copy was removed as it left": (
        "1:0.723:retire:m4:1.50 1:0.782:wipe:m2:1.50 2:0.323:wipe:m1:0.80"
    ),
    "an accepted epoch that its primary did not know": (
        "seed:269117054:3 0:1.258:halves:primary:0.80 0:1.314:retire:backup:0.10 0:1.525:power:m4:0.40"
        " 0:2.396:kill_all:m4:3.00"
    ),
    "a machine that had left and returned was removed": (
        "seed:932223454:3 0:0.147:halves:m0:0.40 0:0.172:leave:primary:1.01 1:1.143:retire:m2:0.10"
        " 1:5.343:aimed:primary:0.60"
    ),
}


@pytest.mark.parametrize("name", REGRESSIONS)
def test_a_run_that_once_broke_a_guarantee_breaks_none(name: str) -> None:
    assert ControlPlaneWorld().play(tuple(REGRESSIONS[name].split())) == ""


def test_a_printed_fault_is_parsed_back() -> None:
    fault = ControlFault(1, 0.5, "kill all", "primary", 0.4)
    assert ControlFault.parse(str(fault)) == fault
