"""What a door tells of requests whose clients have left."""

from __future__ import annotations

import pytest

from ivymux.data_plane.client_departures import BOUND, DepartureCounts, OnDeparture
from ivymux.data_plane.frontend import Answer
from ivymux.proxy.metrics import metrics_text
from ivymux.proxy.status_pages import METRICS, StatusPagesFrontend


def test_what_is_left_and_how_its_attempts_end_is_told_once() -> None:
    departures = DepartureCounts()
    assert departures.line() == ""
    departures.left(attempts=2, unwritten=1)
    departures.left(attempts=0, unwritten=0)
    departures.ended(0.01, cancelled=True)
    departures.ended(BOUND + 0.75, cancelled=False)
    line = departures.line()
    assert "left 2 requests unanswered with 2 attempts out (1 unwritten)" in line
    assert "1 cancelled for it, 1 ended over 0.5 s later, the longest 1.25 s" in line
    assert departures.line() == ""


@pytest.mark.parametrize(
    ("what", "unwritten", "written"),
    [
        (OnDeparture.RUN_ON, False, False),
        (OnDeparture.of(False), True, False),
        (OnDeparture.of(True), True, True),
    ],
)
def test_what_may_not_be_repeated_ends_with_its_client_only_before_it_is_written(
    what: OnDeparture, unwritten: bool, written: bool
) -> None:
    assert (what.cancels(written=False), what.cancels(written=True)) == (unwritten, written)


def test_metrics_are_one_figure_a_line_and_other_paths_are_not_found() -> None:
    front = StatusPagesFrontend(
        {METRICS: lambda: Answer(200, metrics_text({"clients": 3, "longest_seconds": 0.25}))}
    )
    page = front.local(METRICS + b"?x=1")
    assert page is not None
    assert page.body == b"ivymux_proxy_clients 3\nivymux_proxy_longest_seconds 0.25\n"
    assert front.encode(page, True, None).endswith(b"connection: close\r\n\r\n" + page.body)
    missing = front.local(b"/other")
    assert missing is not None and missing.status == 404
