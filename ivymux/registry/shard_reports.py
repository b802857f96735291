"""The part of a backend's call that is about the keys that it holds, and of the answer to it.  Pure."""

from __future__ import annotations

from typing import Any

from ivymux.config_store.calls import ReportHoldings
from ivymux.registry.backend_records import QUIESCING, BackendRecord, CallError
from ivymux.sharding import ShardingError
from ivymux.sharding.shard_table import parse_rows
from ivymux.transport.frames import Message


def holdings_report(body: Any, record: BackendRecord) -> ReportHoldings | None:
    """Return the report in a backend's call, None if its service is not divided by key.  Raises CallError."""
    if "holdings" not in body:
        return None
    holdings, released = body["holdings"], body.get("released", [])
    for name, rows in (("holdings", holdings), ("released", released)):
        try:
            parse_rows(rows)
        except ShardingError as error:
            raise CallError(f"{name}: {error}") from None
    return ReportHoldings(
        record.service,
        record.id,
        record.address,
        record.capacity,
        record.state == QUIESCING,
        int(body.get("call_seq", 0)),
        holdings,
        released,
    )


def holdings_answer(reply: Message) -> dict[str, Any]:
    """Return the fields of the answer to a backend; none renews nothing, as after a call that came late."""
    if "holdings" not in reply:
        return {}
    return {"holdings": reply["holdings"], "hold_time": f"{round(1000 * float(reply['hold_s']))}ms"}
