"""What a backend's call says about the keys that it holds, and what its answer says."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.registry.backend_records import BackendRecord, CallError
from ivymux.registry.shard_reports import holdings_answer, holdings_report

RECORD = BackendRecord("i-1", "archive", "10.0.0.1:80", "hall", 2, "quiescing", 7, 0.0, 0.0, 3.0)


def test_only_backends_of_divided_services_report_holdings() -> None:
    assert holdings_report({"call_seq": 7}, RECORD) is None
    report = holdings_report({"call_seq": 7, "holdings": [[0, 9, 3]]}, RECORD)
    assert report is not None and report.is_leaving and report.released == []
    assert (report.service, report.id, report.call_seq) == ("archive", "i-1", 7)


@pytest.mark.parametrize("name", ["holdings", "released"])
@pytest.mark.parametrize("rows", [None, 3, [[1]], [[5, 4, 1]]])
def test_malformed_rows_are_refused_with_their_place(name: str, rows: Any) -> None:
    with pytest.raises(CallError, match=name):
        holdings_report({"call_seq": 7, "holdings": [], "released": [], name: rows}, RECORD)


def test_an_answer_without_rows_renews_nothing() -> None:
    assert holdings_answer({"ok": True}) == {}
    granted = {"ok": True, "holdings": [[0, 9, 3, ""]], "hold_s": 4.05}
    assert holdings_answer(granted) == {"holdings": [[0, 9, 3, ""]], "hold_time": "4050ms"}
