"""Trials at a proxy: which requests they match, for how long, and 1,000 random runs of a simulated system."""

from __future__ import annotations

import math

import pytest

from ivymux.fault_injection import request_matcher
from ivymux.fault_injection.guard import Guard, GuardError
from ivymux.fault_injection.request_matcher import LEASE_S, RequestMatcher
from ivymux.fault_injection.trial_set import REFUSE, Trial, TrialSet, end_trial, key_digest, start_trial
from ivymux.simulation.trial_model import TrialRun

KEY, OTHER_KEY = b"key-one", b"key-one-more"


def create_trial(name: str = "t", caller: str = "kava", **more: object) -> Trial:
    fields: dict[str, object] = {"made": 100.0, "at": 100.0, "lasts": 10.0, **more}
    return Trial(name, caller, REFUSE, "ann", "to see", **fields)  # type: ignore[arg-type]


def matcher_with(*trials: Trial, zone: str = "hall") -> RequestMatcher:
    matcher = RequestMatcher(zone)
    matcher.update_keys((KEY, OTHER_KEY))
    matcher.apply(TrialSet(1, trials), 0.0, 100.0)
    matcher.renew_lease(1, 0.0, 0.0)
    return matcher


def test_only_requests_of_the_named_caller_match_however_similar_others_are() -> None:
    matcher = matcher_with(create_trial(key=key_digest(KEY), route="sign", service="desk"))
    assert matcher.match(1.0, "kava", KEY, "sign", "desk", b"r")
    for tenant, key, route, service in (
        ("kava-hearts", KEY, "sign", "desk"), ("kav", KEY, "sign", "desk"), ("", KEY, "sign", "desk"),
        ("kava", OTHER_KEY, "sign", "desk"), ("kava", KEY, "read", "desk"), ("kava", KEY, "sign", "archive"),
    ):  # fmt: skip
        assert matcher.match(1.0, tenant, key, route, service, b"r") is None
    matcher.update_keys((OTHER_KEY,))  # the configuration no longer has the key
    assert matcher.match(1.0, "kava", KEY, "sign", "desk", b"r") is None
    elsewhere = matcher_with(create_trial(zone="other"))
    assert elsewhere.match(1.0, "kava", KEY, "sign", "desk", b"r") is None


def test_all_proxies_sample_the_same_requests() -> None:
    one, other = matcher_with(create_trial(share=0.3)), matcher_with(create_trial(share=0.3))
    ids = [f"try-{n}".encode() for n in range(4000)]
    found = [id for id in ids if one.match(1.0, "kava", KEY, "", "", id)]
    assert found == [id for id in ids if other.match(1.0, "kava", KEY, "", "", id)]
    assert abs(len(found) / len(ids) - 0.3) < 4 * math.sqrt(0.3 * 0.7 / len(ids))


def test_a_trial_ends_with_the_lease_at_a_proxy_without_contact_to_the_core() -> None:
    matcher = matcher_with(create_trial(lasts=60.0))
    assert matcher.match(LEASE_S - 0.01, "kava", KEY, "", "", b"r")
    assert matcher.match(LEASE_S, "kava", KEY, "", "", b"r") is None
    matcher.renew_lease(1, 4.0, 1.5)  # an old answer grants a lease from the time at which it was true
    assert matcher.match(4.0 + LEASE_S - 1.51, "kava", KEY, "", "", b"r")
    assert matcher.match(4.0 + LEASE_S - 1.5, "kava", KEY, "", "", b"r") is None
    matcher.renew_lease(0, 9.0, 0.0)  # an answer for an older set of trials grants none
    assert matcher.match(9.1, "kava", KEY, "", "", b"r") is None


def test_an_end_takes_effect_at_once_and_a_clock_jump_extends_no_trial() -> None:
    trials = TrialSet(1, (create_trial(lasts=2.0),))
    matcher = RequestMatcher("hall")
    matcher.apply(trials, 0.0, 100.0)
    matcher.renew_lease(1, 0.0, 0.0)
    with_another = start_trial(trials, create_trial("u", "derwent"))
    matcher.apply(with_another, 1.0, 50.0)  # system time has gone back by a minute
    matcher.renew_lease(2, 1.5, 0.0)
    assert matcher.match(1.9, "kava", KEY, "", "", b"r")
    assert matcher.match(2.0, "kava", KEY, "", "", b"r") is None
    matcher = matcher_with(create_trial())
    assert matcher.match(1.0, "kava", KEY, "", "", b"r")
    assert matcher.apply(end_trial(matcher.trials, "t", "ann", "enough", 101.0), 1.0, 101.0)
    assert matcher.match(1.0, "kava", KEY, "", "", b"r") is None
    assert not matcher.apply(TrialSet(1, (create_trial(),)), 1.2, 101.2)  # an older set arrives late
    assert matcher.match(1.3, "kava", KEY, "", "", b"r") is None


def test_a_restarted_proxy_injects_nothing_before_its_first_lease() -> None:
    matcher = RequestMatcher("hall")
    matcher.apply(TrialSet(1, (create_trial(),)), 0.0, 100.0)
    assert matcher.match(0.5, "kava", KEY, "", "", b"r") is None
    matcher.renew_lease(1, 0.6, 0.2)
    assert matcher.match(0.7, "kava", KEY, "", "", b"r")


@pytest.mark.parametrize("part", range(4))
def test_random_runs_inject_faults_only_into_requests_under_a_trial(part: int) -> None:
    runs = [TrialRun(seed).play() for seed in range(250 * part, 250 * part + 250)]
    assert not [(run.seed, run.violations) for run in runs if run.violations]
    assert sum(len(run.injections) for run in runs) > 250 * 20
    assert sum(bool(run.ended_at) for run in runs) > 200


def test_random_runs_detect_a_lease_that_is_too_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """The model must find a lease that ignores the answer's age, and one of twice the length."""
    original = RequestMatcher.renew_lease
    monkeypatch.setattr(
        RequestMatcher, "renew_lease", lambda self, v, asked, age: original(self, v, asked + age, 0.0)
    )
    assert any(TrialRun(seed).play().violations for seed in range(200))
    monkeypatch.setattr(RequestMatcher, "renew_lease", original)
    monkeypatch.setattr(request_matcher, "LEASE_S", 2 * LEASE_S)
    assert any(TrialRun(seed).play().violations for seed in range(200))


def test_the_guard_trips_when_requests_under_no_trial_fail() -> None:
    guard = Guard()
    for second in range(6):
        guard.report("d1", float(second), 100 * second, 0, (1000, 1))
        guard.report("d2", float(second), 100 * second, 0, (1000, 1))
    assert not guard.trip_reason(5.0)
    guard.report("d1", 6.0, 600, 9, (1000, 1))
    assert not guard.trip_reason(6.0)  # too few failures
    guard.report("d1", 6.5, 650, 40, (1000, 1))
    assert guard.trip_reason(6.5).startswith("others failed beside it: 40 of ")
    guard.report("d1", 7.0, 10, 0, (0, 0))  # the proxy has restarted: its counts start anew
    assert not guard.trip_reason(7.0)
    with pytest.raises(GuardError):
        guard.report("d1", 8.0, -1, 0, (0, 0))


def test_a_failure_rate_that_was_usual_before_does_not_trip_the_guard() -> None:
    guard = Guard()
    for second in range(6):
        guard.report("d1", float(second), 100 * second, 20 * second, (1000, 200))
    assert not guard.trip_reason(5.0)
    for second in range(6, 11):
        guard.report("d1", float(second), 100 * second, 100 + 70 * (second - 5), (1000, 200))
    assert guard.trip_reason(10.0)
