"""Breaks each rule with a constructed record; the check must report the rule and the request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from msgspec.structs import replace

from ivymux.simulation.day_file import (
    BackendQuiesced,
    BackendRun,
    ChangeAnswer,
    ClientAnswer,
    ClientDisconnect,
    ClientRequest,
    ConfigurationChange,
    ConfigurationRead,
    Day,
    Event,
    KillMachine,
    Observation,
    ReadinessChange,
    RecorderStall,
    RunEnd,
    StartMachine,
)  # fmt: skip
from ivymux.simulation.rules import check

DAY = Day(1, 1, rate=1.0, burst=1.0)
REQUESTS = [
    ClientRequest(1.0, "r1", 0, "/read/1"),
    ClientRequest(2.0, "s1", 0, "/sign/1", "POST"),
    ClientRequest(9.0, "r2", 1, "/read/2"),
]
CHANGES = [
    ConfigurationChange(0.0, 0, 1, {"read": "archive", "sign": "desk"}),
    ConfigurationChange(3.0, 0, 4, {"read": "desk", "sign": "desk"}),
]


def make_run(request: ClientRequest, at: float, service: str, backend: str) -> BackendRun:
    return BackendRun(
        at, request.id, service, backend, request.method, request.path, "clerks", key=False, done=True
    )


def make_answer(run: BackendRun) -> ClientAnswer:
    return ClientAnswer(
        run.at + 0.1, run.at, run.id, 200, run.id, f"seal-{run.id}", f"{run.service} {run.target}"
    )


RUNS = [
    make_run(REQUESTS[0], 1.1, "archive", "archive-0"),
    make_run(REQUESTS[1], 2.1, "desk", "desk-0"),
    make_run(REQUESTS[2], 9.1, "desk", "desk-1"),
]
OUTDATED_RUN = make_run(REQUESTS[2], 9.1, "archive", "archive-1")
VALID: list[Observation] = [
    ChangeAnswer(0.0, 0.0, 1, 200), ChangeAnswer(3.1, 3.0, 4, 200), BackendQuiesced(6.0, "archive-0"),
    *RUNS, *map(make_answer, RUNS), ConfigurationRead(12.0, 4, True),
]  # fmt: skip
FIRST_RUN, FIRST_ANSWER, READ = 3, 6, 9  # indices into VALID


def find_breaches(
    observations: list[Observation], events: list[Event] | None = None
) -> list[tuple[str, str]]:
    breaches = check(DAY, events or [*CHANGES, *REQUESTS], observations)
    return [(breach.rule, breach.id) for breach in breaches]


def with_changed(position: int, **fields: Any) -> list[Observation]:
    """Return the valid observations with other values in one of them."""
    return [
        replace(record, **fields) if number == position else record for number, record in enumerate(VALID)
    ]


def test_a_valid_day_breaks_no_rule() -> None:
    assert find_breaches(VALID) == []


CASES: dict[str, tuple[Callable[[], list[Observation]], list[tuple[str, str]]]] = {
    "another request's answer": (lambda: with_changed(FIRST_ANSWER, named="r2"), [("MIXED", "r1")]),
    "a success without its seal": (lambda: with_changed(FIRST_ANSWER, seal=""), [("MIXED", "r1")]),
    "half a body": (lambda: with_changed(FIRST_ANSWER, body="archive /re"), [("MIXED", "r1")]),
    "a run that no client requested": (
        lambda: [*VALID, BackendRun(5.0, "x9", "desk", "desk-0", "GET", "/read/9", "clerks", False, True)],
        [("UNASKED", "x9")],
    ),
    "another path": (
        lambda: with_changed(FIRST_RUN, target="/read/7"), [("MIXED", "r1"), ("UNASKED", "r1")]
    ),
    "the key is passed on": (lambda: with_changed(FIRST_RUN, key=True), [("UNASKED", "r1")]),
    "another tenant": (lambda: with_changed(FIRST_RUN, tenant="chairs"), [("UNASKED", "r1")]),
    "an action runs twice": (
        lambda: [*VALID, make_run(REQUESTS[1], 2.2, "desk", "desk-1")], [("TWICE", "s1")]
    ),
    "an action is refused after it ran": (
        lambda: with_changed(FIRST_ANSWER + 1, status=503, seal="", body=""), [("REFUSED", "s1")]
    ),
    "a service that no configuration names": (
        lambda: with_changed(FIRST_RUN, service="other"), [("MIXED", "r1"), ("ROUTE", "r1")]
    ),
    "an older version, long after a newer one is acknowledged": (
        lambda: [*VALID[:5], OUTDATED_RUN, *VALID[6:8], make_answer(OUTDATED_RUN), VALID[9]],
        [("CONFIG", "r2")],
    ),
    "a request at a quiesced backend": (
        lambda: [*VALID, make_run(REQUESTS[0], 8.7, "archive", "archive-0")], [("DRAIN", "r1")]
    ),
    "more requests in a window than the quota": (
        lambda: [*VALID, *(make_run(REQUESTS[0], 1.2 + n / 100, "archive", "archive-0") for n in range(26))],
        [("QUOTA", "clerks")],
    ),
    "an acknowledged version is lost": (lambda: with_changed(READ, version=1), [("LOST", "version 4")]),
    "another text under a version": (lambda: with_changed(READ, same=False), [("CONFIG", "version 4")]),
    "the configuration is not read": (lambda: VALID[:READ], [("CONFIG", "version 4")]),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES)
def test_a_breach_names_its_rule_and_what_broke_it(case: str) -> None:
    make_observations, expected = CASES[case]
    assert find_breaches(make_observations()) == expected


def test_rules_on_time_do_not_apply_soon_after_a_fault() -> None:
    make_observations, _ = CASES["an older version, long after a newer one is acknowledged"]
    observations = make_observations()
    assert find_breaches(observations, [*CHANGES, *REQUESTS, KillMachine(8.0, "core-0")]) == []
    long_before = KillMachine(5.0, "core-0")
    assert find_breaches(observations, [*CHANGES, *REQUESTS, long_before]) == [("CONFIG", "r2")]


# --- rules on time, on departures and on load ----------------------------------------------------------


SLOW_WORK_S = 2.0  # of a slow backend
HIGH_QUOTA_DAY = Day(2, 1, rate=1000.0, burst=1000.0)
FIRST_CHANGE = ConfigurationChange(0.0, 0, 1, {"read": "archive", "sign": "desk"})
FIRST_CHANGE_ANSWER = ChangeAnswer(0.0, 0.0, 1, 200)
LAST_READ = ConfigurationRead(90.0, 1, True)


def make_reads(count: int, **fields: Any) -> list[ClientRequest]:
    return [ClientRequest(20.0 + n / 100, f"r{n}", 0, f"/read/{n}", **fields) for n in range(count)]


def make_actions(count: int, **fields: Any) -> list[ClientRequest]:
    return [ClientRequest(20.0, f"s{n}", 0, f"/sign/{n}", "POST", **fields) for n in range(count)]


def run_read(
    request: ClientRequest, after: float = 0.01, backend: str = "archive-0", **fields: Any
) -> BackendRun:
    run = make_run(request, request.at + after, "archive", backend)
    return replace(run, remaining=request.waits - after, **fields)


def answer_read(request: ClientRequest, took_s: float = 0.1, status: int = 200) -> ClientAnswer:
    body, seal = (f"archive {request.path}", f"seal-{request.id}") if status == 200 else ("", "")
    named = request.id if status else ""
    return ClientAnswer(request.at + took_s, request.at, request.id, status, named, seal, body)


def disconnect(request: ClientRequest) -> ClientDisconnect:
    return ClientDisconnect(request.at + 0.1, request.id)


def find_rules(events: list[Event], observations: list[Observation]) -> list[str]:
    """Return the names of the rules that these events and observations break, on a day with a high quota."""
    all_observations = [FIRST_CHANGE_ANSWER, LAST_READ, *observations]
    return [breach.rule for breach in check(HIGH_QUOTA_DAY, [FIRST_CHANGE, *events], all_observations)]


@pytest.mark.parametrize(("ended", "rules"), [(0.1, []), (0.6, ["GONE"]), (None, ["GONE"])])
def test_work_that_lasts_half_a_second_after_the_clients_disconnect_is_reported(
    ended: float | None, rules: list[str]
) -> None:
    requests = make_reads(3, leaves=0.1)
    observations: list[Observation] = [run_read(request, work=SLOW_WORK_S) for request in requests]
    observations += [disconnect(request) for request in requests]
    if ended is not None:
        observations += [
            RunEnd(request.at + 0.1 + ended, request.id, "archive-0", False) for request in requests
        ]
    assert find_rules([*requests], observations) == rules


def test_short_work_and_actions_may_continue_after_a_disconnect() -> None:
    reads, actions = make_reads(3, leaves=0.1), make_actions(3, leaves=0.1)
    observations: list[Observation] = [run_read(request, work=0.3) for request in reads]
    for request in actions:
        run = make_run(request, request.at + 0.01, "desk", "desk-0")
        observations.append(replace(run, work=SLOW_WORK_S, remaining=1.9))
    observations += [disconnect(request) for request in (*reads, *actions)]
    assert find_rules([*reads, *actions], observations) == []


def test_more_than_three_requests_sent_after_the_disconnect_are_reported() -> None:
    requests = make_reads(4, leaves=0.1)
    disconnects: list[Observation] = [disconnect(request) for request in requests]
    late_runs: list[Observation] = [run_read(request, after=0.7) for request in requests]
    assert find_rules([*requests], disconnects + late_runs) == ["GONE"]
    assert find_rules([*requests], disconnects + late_runs[:3]) == []


@pytest.mark.parametrize(("took_s", "rules"), [(2.4, []), (2.6, ["CONFIG"])])
def test_a_request_has_its_answer_within_half_a_second_of_its_deadline(
    took_s: float, rules: list[str]
) -> None:
    requests = make_reads(8)
    observations: list[Observation] = []
    for request in requests:
        observations += [run_read(request), answer_read(request, took_s, 504)]
    assert find_rules([*requests], observations) == rules
    assert find_rules([*requests[:7]], observations[:14]) == []  # fewer than the rule's minimum
    # A stalled recorder sees answers too late.
    assert find_rules([*requests], [*observations, RecorderStall(21.0, 0.3)]) == []


@pytest.mark.parametrize(
    ("status", "broken_off_s", "rules"),
    [
        (504, 0.4, ["LOST"]),
        (502, 0.4, ["LOST"]),
        (503, 0.4, ["LOST"]),
        (200, 0.4, []),  # another backend has answered
        (504, 1.96, []),  # at the deadline
        (504, None, []),  # its run was completed
    ],
)
def test_a_terminated_proxy_puts_no_failure_in_the_place_of_an_answer(
    status: int, broken_off_s: float | None, rules: list[str]
) -> None:
    (request,) = make_reads(1)
    run = run_read(request)
    ended_s = broken_off_s if broken_off_s is not None else 0.4
    end = RunEnd(request.at + ended_s, request.id, run.backend, broken_off_s is None)
    answer = answer_read(request, 1.97, status)
    observations: list[Observation] = [run, end, answer if status != 200 else replace(answer, seal="seal-r")]
    term = KillMachine(request.at + 0.2, "door-0", "term")
    found = [rule for rule in find_rules([request, term], observations) if rule == "LOST"]
    assert found == rules
    assert "LOST" not in find_rules([request], observations)


def test_a_terminated_proxy_loses_no_forwarded_request_and_others_lose_few() -> None:
    (request,) = make_reads(1)
    observations: list[Observation] = [run_read(request), answer_read(request, 0.5, 0)]
    term = KillMachine(request.at + 0.2, "door-0", "term")
    assert find_rules([request, term], observations) == ["LOST"]
    other_fault = KillMachine(request.at - 1, "core-0")
    assert find_rules([request, term, other_fault], observations) == []
    # The start of the proxy's successor is planned; that of a machine that was killed is not.
    successor = StartMachine(request.at + 0.3, "door-0")
    assert find_rules([request, term, successor], observations) == ["LOST"]
    assert find_rules([request, term, StartMachine(request.at + 0.3, "door-1")], observations) == []
    # Without a terminated proxy, three lost requests are allowed.
    requests = make_reads(4)
    lost: list[Observation] = []
    for request in requests:
        lost += [run_read(request), answer_read(request, 0.5, 0)]
    assert find_rules([*requests], lost) == ["LOST"]
    assert find_rules([*requests], lost[:6]) == []


def test_a_terminated_proxy_is_not_ready_four_seconds_later() -> None:
    term: list[Event] = [KillMachine(30.0, "door-0", "term")]
    ready, not_ready = ReadinessChange(1.0, 0, True), ReadinessChange(31.0, 0, False)
    assert find_rules(term, [ready]) == ["DRAIN"]
    assert find_rules(term, [ready, not_ready]) == []


def test_retries_keep_to_the_retry_budget_and_to_the_attempts_of_their_route() -> None:
    requests = make_reads(60)
    first: list[Observation] = [run_read(request) for request in requests]
    second: list[Observation] = [run_read(request, 0.02, "archive-1") for request in requests]
    more: list[Observation] = [run_read(request, 0.03, "archive-1") for request in requests[:20]]
    assert (
        find_rules([*requests], first + second) == []
    )  # 60 retries; 0.2 of 60 requests, and 56, are allowed
    assert find_rules([*requests], first + second + more) == ["BUDGET"]
    third: list[Observation] = [run_read(request, 0.03, "archive-2") for request in requests[:4]]
    assert find_rules([*requests], first[:4] + second[:4] + third) == ["BUDGET"]
    assert find_rules([*requests], first[:3] + second[:3] + third[:3]) == []


def test_backends_receive_no_more_time_than_the_client_has_left() -> None:
    requests = make_reads(30)
    runs = [run_read(request) for request in requests]
    too_long: list[Observation] = [replace(run, remaining=2.6) for run in runs]
    missing: list[Observation] = [replace(run, remaining=-1.0) for run in runs]
    assert find_rules([*requests], [*runs]) == []
    assert find_rules([*requests], too_long) == ["BUDGET"]
    assert find_rules([*requests], missing) == ["BUDGET"]
    # A stalled recorder sees runs too late: their time is not judged, but all of them carry one.
    stall = RecorderStall(requests[0].at, requests[-1].at - requests[0].at + 0.1)
    assert find_rules([*requests], [*too_long, stall]) == []
    assert find_rules([*requests], [*missing, stall]) == ["BUDGET"]
    # A stall before the first request is sent excuses nothing.
    earlier = RecorderStall(requests[0].at - 0.4, 0.3)
    assert find_rules([*requests], [*too_long, earlier]) == ["BUDGET"]


def test_no_route_is_starved_and_no_valid_request_denied() -> None:
    reads, actions = make_reads(20), make_actions(20)
    served: list[Observation] = []
    for request in reads:
        served += [run_read(request), answer_read(request)]
    refused: list[Observation] = [answer_read(request, status=503) for request in actions]
    denied: list[Observation] = [answer_read(request, status=404) for request in reads]
    assert find_rules([*reads, *actions], served + refused) == ["STARVED"]
    assert find_rules([*reads], served[:28] + denied[14:]) == ["DENIED"]
    assert find_rules([*reads], served[:30] + denied[15:]) == []


def test_late_acknowledgements_are_reported_only_without_a_fault() -> None:
    late: list[Observation] = [BackendQuiesced(36.0, "archive-0", 30.0)]
    assert find_rules([], late) == ["ACKS"]
    assert find_rules([KillMachine(31.0, "core-0")], late) == []


def test_a_proxy_does_not_return_to_an_older_version_unless_it_restarts() -> None:
    requests = [ClientRequest(at, f"r{at}", 0, f"/read/{at}") for at in (20.0, 21.0, 22.0)]
    change = ConfigurationChange(19.0, 0, 2, {"read": "desk", "sign": "desk"})
    events: list[Event] = [*requests, change]
    observations: list[Observation] = [
        replace(make_run(request, request.at + 0.1, service, f"{service}-0"), remaining=1.9)
        for request, service in zip(requests, ("archive", "desk", "archive"), strict=True)
    ]
    assert find_rules(events, observations) == ["CONFIG"]
    assert find_rules(events, observations[:2]) == []
    restart: list[Event] = [KillMachine(21.5, "door-0"), StartMachine(21.6, "door-0")]
    assert find_rules([*events, *restart], observations) == []


def test_a_copy_under_an_older_version_is_not_taken_for_a_version_that_was_not_sent_yet() -> None:
    requests = [ClientRequest(at, f"r{n}", 0, f"/read/{n}") for n, at in enumerate((2.9, 3.2, 5.0))]
    later = ConfigurationChange(20.0, 0, 9, {"read": "archive", "sign": "desk"})
    runs = [
        make_run(requests[0], 2.95, "archive", "archive-0"),
        make_run(requests[1], 3.3, "desk", "desk-0"),
        make_run(requests[0], 3.6, "archive", "archive-1"),
        make_run(requests[2], 5.1, "desk", "desk-1"),
    ]
    events: list[Event] = [*CHANGES, later, *requests]
    observations: list[Observation] = [ChangeAnswer(0.0, 0.0, 1, 200), ChangeAnswer(3.1, 3.0, 4, 200), *runs]
    assert ("CONFIG", "r2") not in find_breaches(observations, events)
    returned = make_run(requests[2], 5.1, "archive", "archive-1")
    assert ("CONFIG", "r2") in find_breaches([*observations[:-1], returned], events)
