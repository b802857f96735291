"""The judge holds back what a slip does, whole or in pieces; settling and snapshots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.inventory.change_policy import (
    Change,
    Judge,
    Limits,
    confirmation,
    cut_reason,
    differences,
    digest,
)
from ivymux.inventory.csv_reader import read_sheet
from ivymux.inventory.file_stability import Settle
from ivymux.inventory.model import Inventory, Shape, Worker
from ivymux.inventory.snapshot import Snapshot, SnapshotError, decode, encode

from . import damage


def fleet(count: int, **changes: Worker) -> Inventory:
    workers = {f"w{n}": Worker(f"w{n}", "10.0.0.1", 1000 + n, f"r{n % 2}", n % 4) for n in range(count)}
    return Inventory(tuple(sorted((workers | changes).values())))


def without(inventory: Inventory, *names: str) -> Inventory:
    return Inventory(tuple(w for w in inventory.workers if w.name not in names))


def test_small_changes_go_through_and_large_ones_are_held_back() -> None:
    judge = Judge(Limits(), fleet(20))
    assert judge.look(fleet(20), 0.0).passes and not judge.look(fleet(20), 0.0).change
    assert judge.look(fleet(40), 0.0).passes  # more workers are no slip that harms
    assert judge.look(without(fleet(20), "w1", "w2", "w3"), 0.0).passes
    held = judge.look(without(fleet(20), *(f"w{n}" for n in range(6))), 0.0)
    assert held.reasons == ("6 of 20 workers leave, drain or move",)
    bay = judge.look(without(fleet(20), "w0", "w4", "w8"), 0.0)
    assert bay.reasons == ("3 of 5 workers of bay 0 in r0 leave, drain or move",)


def test_a_room_is_not_emptied_and_the_last_worker_stays() -> None:
    pair = Inventory((Worker("a", "h", 1, "x"), Worker("b", "h", 2, "y"), Worker("c", "h", 3, "y")))
    verdict = Judge(Limits(fleet=1, bay=1), pair).look(without(pair, "a"), 0.0)
    assert verdict.reasons == ("the room x is left with 0 of 1 workers",)
    one = Inventory((Worker("a", "h", 1),))
    other = Inventory((Worker("b", "h", 2),))
    assert not Judge(Limits(), one).look(Inventory(()), 0.0).passes
    # Another in its place leaves the room as full as it was; one may always go.
    assert Judge(Limits(), one).look(other, 0.0).passes


def test_draining_and_moving_count_as_leaving() -> None:
    base = fleet(8)
    drained = {
        f"w{n}": Worker(f"w{n}", "10.0.0.1", 1000 + n, f"r{n % 2}", n % 4, state="draining") for n in range(4)
    }
    assert not Judge(Limits(), base).look(fleet(8, **drained), 0.0).passes
    moved = {f"w{n}": Worker(f"w{n}", "10.0.0.9", 1000 + n, f"r{n % 2}", n % 4) for n in range(4)}
    verdict = Judge(Limits(), base).look(fleet(8, **moved), 0.0)
    assert "4 of 8 workers get another address, room or bay" in verdict.reasons
    assert verdict.change.moved == ("w0", "w1", "w2", "w3")


def test_a_confirmation_is_for_one_step_only() -> None:
    a, b, c = fleet(8), fleet(4), fleet(3)
    codes = {confirmation(x, y) for x in (a, b, c) for y in (a, b, c)}
    assert len(codes) == 9 and digest(fleet(8)) == digest(a)


def test_changes_add_up_within_the_window_and_are_forgotten_behind_it() -> None:
    judge, now = Judge(Limits(), fleet(20)), 0.0
    for number in range(5):
        smaller = without(judge.current, f"w{number}")
        assert judge.look(smaller, now).passes, number
        judge.take(smaller, now)
        now += 10.0
    assert not judge.look(without(judge.current, "w19"), now).passes  # the sixth of twenty
    # A clock that goes back does not end the window sooner.
    assert not judge.look(without(judge.current, "w19"), now - 1e6).passes
    assert judge.look(without(judge.current, "w19"), now + 600).passes


def test_a_confirmed_step_begins_the_window_anew() -> None:
    judge = Judge(Limits(), fleet(20))
    judge.take(fleet(8), 0.0, confirmed=True)
    assert judge.look(without(fleet(8), "w1"), 1.0).passes
    assert judge.look(fleet(20), 1.0).passes  # back again: nothing leaves


@given(
    st.integers(4, 40),
    st.lists(st.lists(st.integers(0, 39), max_size=6), max_size=30),
    st.lists(st.floats(0, 60), min_size=30, max_size=30),
)
def test_no_large_drop_passes_as_many_small_ones(
    count: int, steps: list[list[int]], waits: list[float]
) -> None:
    """Within one window no more is lost than one step may take, however it is split."""
    limits = Limits(window=1e9)
    base = fleet(count)
    judge, now = Judge(limits, base), 0.0
    for names, wait in zip(steps, waits, strict=False):
        now += wait
        smaller = without(judge.current, *(f"w{n}" for n in names))
        if judge.look(smaller, now).passes:
            judge.take(smaller, now)
    lost = count - len(judge.current.workers)
    assert lost <= max(limits.least, limits.fleet * count)
    for room in {w.room for w in base.workers}:
        assert any(w.room == room for w in judge.current.workers)


@pytest.mark.parametrize(
    "variant", [v for v in damage.damaged(damage.sheets) if v.line is None], ids=lambda v: v.name
)
def test_what_only_the_judge_can_see_it_holds_back(variant: damage.Variant) -> None:
    good = read_sheet(damage.SHEET.encode(), "w.csv").inventory
    assert not Judge(Limits(), good).look(read_sheet(variant.data, "w.csv").inventory, 0.0).passes


def test_differences_are_told_by_worker() -> None:
    old = fleet(4)
    new = without(fleet(5, w1=Worker("w1", "10.0.0.1", 1001, "r1", 1, weight=2.0)), "w0")
    change = differences(old, new)
    assert (change.added, change.removed, change.other) == (("w4",), ("w0",), ("w1",))
    assert str(change) == "1 added (w4); 1 removed (w0); 1 other (w1)"


@pytest.mark.parametrize(("counted", "ended"), [(False, True), (True, True), (False, False)])
def test_a_list_without_its_end_is_held_back_unless_its_count_is_there(counted: bool, ended: bool) -> None:
    old, listed = Shape(tuple("abcdef"), counted), fleet(1)

    def held(order: str, change: Change, with_count: bool = False) -> bool:
        new = Shape(tuple(order), with_count, ended)
        return cut_reason(old, new, listed, listed, change) is not None

    lost = Change(removed=("f",))
    assert held("abcde", lost) and not held("abcde", lost, with_count=True)  # meant: its count is right
    assert held("abdef", lost) is counted  # one from the middle
    assert held("abcdefg", Change(added=("g",))) is counted
    assert held("abcdef", Change(other=("f",))) is (counted or not ended)
    assert not held("abcde", Change())


def test_a_last_worker_without_its_last_lines_is_held_back() -> None:
    shape = Shape(("w0", "w1"))
    before, change = fleet(2, w1=Worker("w1", "h", 7, kind="big", weight=2.0)), Change(other=("w1",))
    cut = fleet(2, w1=Worker("w1", "h", 7))
    edited = fleet(2, w1=Worker("w1", "h", 7, kind="big", weight=3.0))
    assert cut_reason(shape, shape, before, cut, change)
    assert cut_reason(shape, shape, before, edited, change) is None


# --- settling ----------------------------------------------------------------------------------------


def test_a_file_is_read_once_it_rests() -> None:
    settle = Settle(rest=0.5)
    assert settle.look("a", 0.0) == "wait" and settle.look("a", 0.4) == "wait"
    assert settle.look("b", 0.45) == "wait" and settle.look("b", 0.9) == "wait"
    assert settle.look("b", 0.96) == "read"
    settle.taken()
    assert settle.look("b", 1.0) == "same"
    assert settle.look(None, 1.1) == "wait" and settle.look("b", 1.2) == "wait"
    assert settle.look("b", 1.3) == "same"


def test_a_file_that_flips_is_never_read_and_told_of_once() -> None:
    settle, looks = Settle(rest=0.5, patience=30.0), []
    for turn in range(1000):
        looks.append(settle.look("ab"[turn % 2], turn * 0.1))
    assert looks.count("restless") == 1 and "read" not in looks
    assert settle.look("a", 100.0) == "wait" and settle.look("a", 100.6) == "read"


# --- snapshots ---------------------------------------------------------------------------------------


def test_a_snapshot_is_whole_or_refused() -> None:
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
