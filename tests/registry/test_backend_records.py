"""What one registry knows: late calls, planned ends, silence, and news for doors that come again."""

from __future__ import annotations

from typing import Any

import pytest

from ivymux.registry.backend_records import LOST, OFF, QUIESCING, UP, CallError, Register


def call(seq: int, state: str = "in_service", **changes: Any) -> dict[str, Any]:
    return {
        "service_name": "archive", "address": "10.0.0.9:8080", "zone_name": "hall", "config_version": "v1",
        "capacity": 2, "oper_state": state, "warmup_left": "0ms", "call_seq": seq, **changes,
    }  # fmt: skip


def test_a_late_call_changes_nothing() -> None:
    register = Register(3.5)
    assert register.beat("i-1", call(4), 10.0)
    assert register.beat("i-1", call(6, "quiescing"), 11.0)
    assert not register.beat("i-1", call(5), 11.1)  # out of order
    assert register.records["i-1"].state == QUIESCING
    assert not register.beat("i-1", call(7), 11.2)  # there is no way back from it
    assert register.records["i-1"].state == QUIESCING
    assert register.leave("i-1", 12.0) and not register.leave("i-1", 12.1)
    assert not register.beat("i-1", call(8), 12.2)
    assert register.records["i-1"].state == OFF


def test_an_end_that_comes_before_any_call_holds() -> None:
    register = Register(3.5)
    assert register.leave("i-2", 1.0)
    assert not register.beat("i-2", call(1), 1.5)
    assert register.records["i-2"].state == OFF


def test_silence_and_what_ends_it() -> None:
    register = Register(3.5)
    register.beat("i-1", call(1), 0.0)
    assert not register.sweep(3.4) and register.sweep(3.6)
    assert register.records["i-1"].state == LOST
    assert register.beat("i-1", call(2), 4.0) and register.records["i-1"].state == UP
    register.leave("i-1", 5.0)
    register.sweep(126.0)
    assert not register.records


def test_news_since_a_number() -> None:
    register = Register(3.5)
    register.beat("i-1", call(1), 0.0)
    register.beat("i-2", call(1, address="10.0.0.8:8080"), 0.0)
    register.beat("i-1", call(2, "quiescing"), 1.0)
    assert [line[0] for line in register.since(1, 1.0) or []] == ["i-2", "i-1"]
    assert register.since(3, 1.0) == [] and register.since(4, 1.0) is None
    assert len(register.whole(1.0)) == 2
    for n in range(5000):
        register.beat("i-1", call(3 + n, address=f"10.0.0.9:{1 + n}"), 2.0)
    assert register.since(3, 2.0) is None  # too long ago: all is told anew


@pytest.mark.parametrize(
    "changes",
    [
        {"service_name": ""}, {"address": "10.0.0.9"}, {"address": "a:b"}, {"oper_state": "tired"},
        {"call_seq": -1}, {"capacity": "2"}, {"zone_name": None},
    ],
)  # fmt: skip
def test_a_call_that_cannot_be_read_is_refused_with_its_place(changes: dict[str, Any]) -> None:
    register = Register(3.5)
    with pytest.raises(CallError, match=next(iter(changes))):
        register.beat("i-1", call(1, **changes), 0.0)
    assert not register.records
