"""Requests whose clients disconnect: counts, the log line, metrics, and which attempts are cancelled."""

from __future__ import annotations

import pytest

from ivymux.data_plane.client_departures import LATE_AFTER_S, DepartureCounts, OnDeparture
from ivymux.data_plane.frontend import Answer
from ivymux.proxy.metrics import format_metrics
from ivymux.proxy.status_pages import METRICS, StatusPagesFrontend


def test_disconnects_and_the_ends_of_attempts_are_logged_once() -> None:
    departures = DepartureCounts()
    assert departures.log_line() == ""
    departures.record_departure(attempts=2, unwritten=1)
    departures.record_departure(attempts=0, unwritten=0)
    departures.record_attempt_end(0.01, cancelled=True)
    departures.record_attempt_end(LATE_AFTER_S + 0.75, cancelled=False)
    line = departures.log_line()
    assert "left 2 requests unanswered with 2 attempts out (1 unwritten)" in line
    assert "1 cancelled for it, 1 ended over 0.5 s later, the longest 1.25 s" in line
    assert departures.log_line() == ""


@pytest.mark.parametrize(
    ("rule", "unwritten", "written"),
    [
        (OnDeparture.RUN_ON, False, False),
        (OnDeparture.for_request(False), True, False),
        (OnDeparture.for_request(True), True, True),
    ],
)
def test_an_unrepeatable_request_is_cancelled_only_before_it_is_written(
    rule: OnDeparture, unwritten: bool, written: bool
) -> None:
    assert (rule.cancels_attempt(written=False), rule.cancels_attempt(written=True)) == (unwritten, written)


def test_metrics_are_one_value_per_line_and_other_paths_are_not_found() -> None:
    frontend = StatusPagesFrontend(
        {METRICS: lambda: Answer(200, format_metrics({"clients": 3, "longest_seconds": 0.25}))}
    )
    page = frontend.answer_locally(METRICS + b"?x=1")
    assert page is not None
    assert page.body == b"ivymux_proxy_clients 3\nivymux_proxy_longest_seconds 0.25\n"
    assert b"".join(frontend.encode(page, True, None)).endswith(b"connection: close\r\n\r\n" + page.body)
    missing = frontend.answer_locally(b"/other")
    assert missing is not None and missing.status == 404
