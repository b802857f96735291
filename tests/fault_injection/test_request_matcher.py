"""Trials at a door: whom they catch, for how long, and 1,000 random evenings of the whole of it."""

from __future__ import annotations

import math

import pytest

from ivymux.fault_injection import request_matcher
from ivymux.fault_injection.guard import Guard, GuardError
from ivymux.fault_injection.request_matcher import LEASE, Catch
from ivymux.fault_injection.trial_set import REFUSE, Board, Trial, digest, ended, started
from ivymux.simulation.trial_model import Run

KEY, OTHER = b"key-one", b"key-one-more"


def trial(name: str = "t", caller: str = "kava", **more: object) -> Trial:
    fields: dict[str, object] = {"made": 100.0, "at": 100.0, "lasts": 10.0, **more}
    return Trial(name, caller, REFUSE, "ann", "to see", **fields)  # type: ignore[arg-type]


def door(*trials: Trial, zone: str = "hall") -> Catch:
    made = Catch(zone)
    made.configured((KEY, OTHER))
    made.use(Board(1, trials), 0.0, 100.0)
    made.renew(1, 0.0, 0.0)
    return made


def test_only_its_caller_is_caught_however_alike_another_is() -> None:
    met = door(trial(key=digest(KEY), route="sign", service="desk"))
    assert met.find(1.0, "kava", KEY, "sign", "desk", b"r")
    for tenant, key, route, service in (
        ("kava-hearts", KEY, "sign", "desk"), ("kav", KEY, "sign", "desk"), ("", KEY, "sign", "desk"),
        ("kava", OTHER, "sign", "desk"), ("kava", KEY, "read", "desk"), ("kava", KEY, "sign", "archive"),
    ):  # fmt: skip
        assert met.find(1.0, tenant, key, route, service, b"r") is None
    met.configured((OTHER,))  # the key is taken away
    assert met.find(1.0, "kava", KEY, "sign", "desk", b"r") is None
    assert door(trial(zone="other")).find(1.0, "kava", KEY, "sign", "desk", b"r") is None


def test_a_share_is_drawn_by_the_request_alike_at_every_door() -> None:
    one, other = door(trial(share=0.3)), door(trial(share=0.3))
    names = [f"try-{n}".encode() for n in range(4000)]
    found = [name for name in names if one.find(1.0, "kava", KEY, "", "", name)]
    assert found == [name for name in names if other.find(1.0, "kava", KEY, "", "", name)]
    assert abs(len(found) / len(names) - 0.3) < 4 * math.sqrt(0.3 * 0.7 / len(names))


def test_a_door_that_hears_nothing_lets_a_trial_go_when_the_lease_is_over() -> None:
    met = door(trial(lasts=60.0))
    assert met.find(LEASE - 0.01, "kava", KEY, "", "", b"r")
    assert met.find(LEASE, "kava", KEY, "", "", b"r") is None
    met.renew(1, 4.0, 1.5)  # an answer that is old counts from when it was true
    assert met.find(4.0 + LEASE - 1.51, "kava", KEY, "", "", b"r")
    assert met.find(4.0 + LEASE - 1.5, "kava", KEY, "", "", b"r") is None
    met.renew(0, 9.0, 0.0)  # the word of a registry that holds an older board is none
    assert met.find(9.1, "kava", KEY, "", "", b"r") is None


def test_an_end_counts_at_once_and_a_clock_that_jumps_makes_no_trial_longer() -> None:
    board = Board(1, (trial(lasts=2.0),))
    met = Catch("hall")
    met.use(board, 0.0, 100.0)
    met.renew(1, 0.0, 0.0)
    other = started(board, trial("u", "derwent"))
    met.use(other, 1.0, 50.0)  # system time has gone back by a minute
    met.renew(2, 1.5, 0.0)
    assert met.find(1.9, "kava", KEY, "", "", b"r") and met.find(2.0, "kava", KEY, "", "", b"r") is None
    met = door(trial())
    assert met.find(1.0, "kava", KEY, "", "", b"r")
    assert met.use(ended(met.board, "t", "ann", "enough", 101.0), 1.0, 101.0)
    assert met.find(1.0, "kava", KEY, "", "", b"r") is None
    assert not met.use(Board(1, (trial(),)), 1.2, 101.2)  # an older board comes late
    assert met.find(1.3, "kava", KEY, "", "", b"r") is None


def test_a_door_that_starts_anew_waits_for_a_word() -> None:
    met = Catch("hall")
    met.use(Board(1, (trial(),)), 0.0, 100.0)
    assert met.find(0.5, "kava", KEY, "", "", b"r") is None
    met.renew(1, 0.6, 0.2)
    assert met.find(0.7, "kava", KEY, "", "", b"r")


@pytest.mark.parametrize("part", range(4))
def test_random_evenings(part: int) -> None:
    runs = [Run(seed).play() for seed in range(250 * part, 250 * part + 250)]
    assert not [(run.seed, run.broken) for run in runs if run.broken]
    assert sum(len(run.caught) for run in runs) > 250 * 20 and sum(bool(run.gone) for run in runs) > 200


def test_the_evenings_find_a_lease_that_counts_from_the_hearing(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the model is for: an age that is left out is seen."""
    true = Catch.renew
    monkeypatch.setattr(Catch, "renew", lambda self, v, asked, age: true(self, v, asked + age, 0.0))
    assert any(Run(seed).play().broken for seed in range(200))
    monkeypatch.setattr(Catch, "renew", true)
    monkeypatch.setattr(request_matcher, "LEASE", 2 * LEASE)
    assert any(Run(seed).play().broken for seed in range(200))


def test_the_guard_ends_trials_where_others_fail_beside_them() -> None:
    guard = Guard()
    for second in range(6):
        guard.hear("d1", float(second), 100 * second, 0, (1000, 1))
        guard.hear("d2", float(second), 100 * second, 0, (1000, 1))
    assert not guard.tripped(5.0)
    guard.hear("d1", 6.0, 600, 9, (1000, 1))
    assert not guard.tripped(6.0)  # too few to say
    guard.hear("d1", 6.5, 650, 40, (1000, 1))
    assert guard.tripped(6.5).startswith("others failed beside it: 40 of ")
    guard.hear("d1", 7.0, 10, 0, (0, 0))  # started anew: its counts begin anew
    assert not guard.tripped(7.0)
    with pytest.raises(GuardError):
        guard.hear("d1", 8.0, -1, 0, (0, 0))


def test_failures_that_were_usual_before_do_not_trip_the_guard() -> None:
    guard = Guard()
    for second in range(6):
        guard.hear("d1", float(second), 100 * second, 20 * second, (1000, 200))
    assert not guard.tripped(5.0)
    for second in range(6, 11):
        guard.hear("d1", float(second), 100 * second, 100 + 70 * (second - 5), (1000, 200))
    assert guard.tripped(10.0)
