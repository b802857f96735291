"""The registry's records of backends: late calls, planned and silent ends, changes since a number."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.registry.backend_records import LOST, OFF, QUIESCING, UP, BackendRecords, CallError


def heartbeat(seq: int, state: str = "in_service", **changes: Any) -> dict[str, Any]:
    return {
        "service_name": "archive", "address": "10.0.0.9:8080", "zone_name": "hall", "config_version": "v1",
        "capacity": 2, "oper_state": state, "warmup_left": "0ms", "call_seq": seq, **changes,
    }  # fmt: skip


def test_late_heartbeats_change_nothing() -> None:
    backends = BackendRecords(3.5)
    assert backends.heartbeat("i-1", heartbeat(4), 10.0)
    assert backends.heartbeat("i-1", heartbeat(6, "quiescing"), 11.0)
    assert not backends.heartbeat("i-1", heartbeat(5), 11.1)  # out of order
    assert backends.records["i-1"].state == QUIESCING
    assert not backends.heartbeat("i-1", heartbeat(7), 11.2)  # an id never leaves the quiescing state
    assert backends.records["i-1"].state == QUIESCING
    assert backends.deregister("i-1", 12.0) and not backends.deregister("i-1", 12.1)
    assert not backends.heartbeat("i-1", heartbeat(8), 12.2)
    assert backends.records["i-1"].state == OFF


def test_a_deregistration_before_the_first_heartbeat_is_final() -> None:
    backends = BackendRecords(3.5)
    assert backends.deregister("i-2", 1.0)
    assert not backends.heartbeat("i-2", heartbeat(1), 1.5)
    assert backends.records["i-2"].state == OFF


def test_a_silent_backend_is_lost_until_its_next_heartbeat() -> None:
    backends = BackendRecords(3.5)
    backends.heartbeat("i-1", heartbeat(1), 0.0)
    assert not backends.expire(3.4) and backends.expire(3.6)
    assert backends.records["i-1"].state == LOST
    assert backends.heartbeat("i-1", heartbeat(2), 4.0) and backends.records["i-1"].state == UP
    backends.deregister("i-1", 5.0)
    backends.expire(126.0)
    assert not backends.records


def test_changes_since_a_number() -> None:
    backends = BackendRecords(3.5)
    backends.heartbeat("i-1", heartbeat(1), 0.0)
    backends.heartbeat("i-2", heartbeat(1, address="10.0.0.8:8080"), 0.0)
    backends.heartbeat("i-1", heartbeat(2, "quiescing"), 1.0)
    assert [entry.fields[0] for entry in backends.changes_since(1, 1.0) or []] == ["i-2", "i-1"]
    assert backends.changes_since(3, 1.0) == [] and backends.changes_since(4, 1.0) is None
    assert len(backends.encode_all(1.0)) == 2
    for n in range(5000):
        backends.heartbeat("i-1", heartbeat(3 + n, address=f"10.0.0.9:{1 + n}"), 2.0)
    assert backends.changes_since(3, 2.0) is None  # no longer in the log: the proxy needs a full list


@pytest.mark.parametrize(
    "changes",
    [
        {"service_name": ""}, {"address": "10.0.0.9"}, {"address": "a:b"}, {"oper_state": "tired"},
        {"call_seq": -1}, {"capacity": "2"}, {"zone_name": None},
    ],
)  # fmt: skip
def test_an_invalid_heartbeat_is_refused_naming_the_field(changes: dict[str, Any]) -> None:
    backends = BackendRecords(3.5)
    with pytest.raises(CallError, match=next(iter(changes))):
        backends.heartbeat("i-1", heartbeat(1, **changes), 0.0)
    assert not backends.records


# Guards against entries without a bound, of which a few hundred did not fit into a message.
def test_an_id_that_is_too_long_is_refused() -> None:
    backends = BackendRecords(3.5)
    with pytest.raises(CallError, match="256"):
        backends.heartbeat("i" * 257, heartbeat(1), 0.0)
    with pytest.raises(CallError, match="256"):
        backends.deregister("i" * 257, 0.0)
    assert backends.heartbeat("i" * 256, heartbeat(1), 0.0)
