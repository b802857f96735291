"""The change policy holds back probable mistakes, at once or in steps; file stability and snapshots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.inventory.change_policy import (
    Change,
    ChangePolicy,
    Limits,
    confirmation,
    differences,
    digest,
    truncation_reason,
)
from ivymux.inventory.csv_reader import read_csv
from ivymux.inventory.file_stability import FileStability
from ivymux.inventory.model import FileShape, Inventory, Worker
from ivymux.inventory.snapshot import Snapshot, SnapshotError, decode, encode

from . import damage


def fleet(count: int, **changes: Worker) -> Inventory:
    workers = {f"w{n}": Worker(f"w{n}", "10.0.0.1", 1000 + n, f"r{n % 2}", n % 4) for n in range(count)}
    return Inventory(tuple(sorted((workers | changes).values())))


def without(inventory: Inventory, *names: str) -> Inventory:
    return Inventory(tuple(w for w in inventory.workers if w.name not in names))


def test_small_changes_pass_and_large_ones_are_held_back() -> None:
    policy = ChangePolicy(Limits(), fleet(20))
    assert policy.review(fleet(20), 0.0).passes and not policy.review(fleet(20), 0.0).change
    assert policy.review(fleet(40), 0.0).passes  # additional workers do no harm
    assert policy.review(without(fleet(20), "w1", "w2", "w3"), 0.0).passes
    verdict = policy.review(without(fleet(20), *(f"w{n}" for n in range(6))), 0.0)
    assert verdict.reasons == ("6 of 20 workers leave, drain or move",)
    bay_verdict = policy.review(without(fleet(20), "w0", "w4", "w8"), 0.0)
    assert bay_verdict.reasons == ("3 of 5 workers of bay 0 in r0 leave, drain or move",)


def test_a_room_and_the_fleet_keep_a_ready_worker() -> None:
    pair = Inventory((Worker("a", "h", 1, "x"), Worker("b", "h", 2, "y"), Worker("c", "h", 3, "y")))
    verdict = ChangePolicy(Limits(fleet=1, bay=1), pair).review(without(pair, "a"), 0.0)
    assert verdict.reasons == ("the room x is left with 0 of 1 workers",)
    one = Inventory((Worker("a", "h", 1),))
    other = Inventory((Worker("b", "h", 2),))
    assert not ChangePolicy(Limits(), one).review(Inventory(()), 0.0).passes
    # A replacement keeps the number of ready workers in the room; one worker may always leave.
    assert ChangePolicy(Limits(), one).review(other, 0.0).passes


def test_draining_and_moving_count_as_leaving() -> None:
    base = fleet(8)
    drained = {
        f"w{n}": Worker(f"w{n}", "10.0.0.1", 1000 + n, f"r{n % 2}", n % 4, state="draining") for n in range(4)
    }
    assert not ChangePolicy(Limits(), base).review(fleet(8, **drained), 0.0).passes
    moved = {f"w{n}": Worker(f"w{n}", "10.0.0.9", 1000 + n, f"r{n % 2}", n % 4) for n in range(4)}
    verdict = ChangePolicy(Limits(), base).review(fleet(8, **moved), 0.0)
    assert "4 of 8 workers get another address, room or bay" in verdict.reasons
    assert verdict.change.moved == ("w0", "w1", "w2", "w3")


def test_a_confirmation_is_valid_for_one_change_only() -> None:
    a, b, c = fleet(8), fleet(4), fleet(3)
    codes = {confirmation(x, y) for x in (a, b, c) for y in (a, b, c)}
    assert len(codes) == 9 and digest(fleet(8)) == digest(a)


def test_changes_add_up_within_the_window_and_not_beyond_it() -> None:
    policy, now = ChangePolicy(Limits(), fleet(20)), 0.0
    for number in range(5):
        smaller = without(policy.current, f"w{number}")
        assert policy.review(smaller, now).passes, number
        policy.accept(smaller, now)
        now += 10.0
    assert not policy.review(without(policy.current, "w19"), now).passes  # the sixth of twenty
    # A clock that goes back does not end the window sooner.
    assert not policy.review(without(policy.current, "w19"), now - 1e6).passes
    assert policy.review(without(policy.current, "w19"), now + 600).passes


def test_a_confirmed_change_starts_a_new_window() -> None:
    policy = ChangePolicy(Limits(), fleet(20))
    policy.accept(fleet(8), 0.0, confirmed=True)
    assert policy.review(without(fleet(8), "w1"), 1.0).passes
    assert policy.review(fleet(20), 1.0).passes  # back to the former list: no worker leaves


@given(
    st.integers(4, 40),
    st.lists(st.lists(st.integers(0, 39), max_size=6), max_size=30),
    st.lists(st.floats(0, 60), min_size=30, max_size=30),
)
def test_a_large_loss_cannot_pass_as_many_small_ones(
    count: int, steps: list[list[int]], waits: list[float]
) -> None:
    """Within a window no more workers are lost than one change may take, however the loss is split."""
    limits = Limits(window=1e9)
    base = fleet(count)
    policy, now = ChangePolicy(limits, base), 0.0
    for names, wait in zip(steps, waits, strict=False):
        now += wait
        smaller = without(policy.current, *(f"w{n}" for n in names))
        if policy.review(smaller, now).passes:
            policy.accept(smaller, now)
    lost = count - len(policy.current.workers)
    assert lost <= max(limits.least, limits.fleet * count)
    for room in {w.room for w in base.workers}:
        assert any(w.room == room for w in policy.current.workers)


@pytest.mark.parametrize(
    "variant", [v for v in damage.damaged(damage.sheets) if v.line is None], ids=lambda v: v.name
)
def test_damage_that_leaves_a_valid_file_is_held_back(variant: damage.Variant) -> None:
    good = read_csv(damage.SHEET.encode(), "w.csv").inventory
    assert not ChangePolicy(Limits(), good).review(read_csv(variant.data, "w.csv").inventory, 0.0).passes


def test_differences_are_grouped_by_worker() -> None:
    old = fleet(4)
    new = without(fleet(5, w1=Worker("w1", "10.0.0.1", 1001, "r1", 1, weight=2.0)), "w0")
    change = differences(old, new)
    assert (change.added, change.removed, change.other) == (("w4",), ("w0",), ("w1",))
    assert str(change) == "1 added (w4); 1 removed (w0); 1 other (w1)"


@pytest.mark.parametrize(("counted", "ended"), [(False, True), (True, True), (False, False)])
def test_a_list_without_its_end_is_held_back_unless_it_has_its_count(counted: bool, ended: bool) -> None:
    old, listed = FileShape(tuple("abcdef"), counted), fleet(1)

    def is_held_back(order: str, change: Change, with_count: bool = False) -> bool:
        new = FileShape(tuple(order), with_count, ended)
        return truncation_reason(old, new, listed, listed, change) is not None

    lost = Change(removed=("f",))
    # A correct count shows that the shorter list is intended.
    assert is_held_back("abcde", lost) and not is_held_back("abcde", lost, with_count=True)
    assert is_held_back("abdef", lost) is counted  # one from the middle
    assert is_held_back("abcdefg", Change(added=("g",))) is counted
    assert is_held_back("abcdef", Change(other=("f",))) is (counted or not ended)
    assert not is_held_back("abcde", Change())


def test_a_last_worker_without_its_last_lines_is_held_back() -> None:
    shape = FileShape(("w0", "w1"))
    before, change = fleet(2, w1=Worker("w1", "h", 7, kind="big", weight=2.0)), Change(other=("w1",))
    cut = fleet(2, w1=Worker("w1", "h", 7))
    edited = fleet(2, w1=Worker("w1", "h", 7, kind="big", weight=3.0))
    assert truncation_reason(shape, shape, before, cut, change)
    assert truncation_reason(shape, shape, before, edited, change) is None


# --- file stability ----------------------------------------------------------------------------------


def test_a_file_is_read_once_it_is_stable() -> None:
    stability = FileStability(quiet_period_s=0.5)
    assert stability.observe("a", 0.0) == "wait" and stability.observe("a", 0.4) == "wait"
    assert stability.observe("b", 0.45) == "wait" and stability.observe("b", 0.9) == "wait"
    assert stability.observe("b", 0.96) == "read"
    stability.mark_read()
    assert stability.observe("b", 1.0) == "same"
    assert stability.observe(None, 1.1) == "wait" and stability.observe("b", 1.2) == "wait"
    assert stability.observe("b", 1.3) == "same"


def test_a_file_that_keeps_changing_is_never_read_and_reported_once() -> None:
    stability, statuses = FileStability(quiet_period_s=0.5, report_after_s=30.0), []
    for turn in range(1000):
        statuses.append(stability.observe("ab"[turn % 2], turn * 0.1))
    assert statuses.count("restless") == 1 and "read" not in statuses
    assert stability.observe("a", 100.0) == "wait" and stability.observe("a", 100.6) == "read"


# --- snapshots ---------------------------------------------------------------------------------------


def test_a_truncated_or_damaged_snapshot_is_refused() -> None:
    snapshot = Snapshot(3, 1e9, "w.csv", "d" * 64, "changed", fleet(5))
    data = encode(snapshot)
    assert decode(data) == snapshot
    for cut in range(len(data)):
        with pytest.raises(SnapshotError):
            decode(data[:cut])
    for at in range(0, len(data), 3):
        with pytest.raises(SnapshotError):
            decode(data[:at] + bytes([data[at] ^ 0x20]) + data[at + 1 :])
    with pytest.raises(SnapshotError):
        decode(data + b"x")
