"""The membership view that a proxy merges from its registries; counter holders; the system clock."""

from __future__ import annotations

from typing import Any

from ivymux.proxy.counter_holders import AWAY, SEATS, SETTLED, Holders
from ivymux.proxy.membership_view import LOST, OFF, QUIESCING, UP, MembershipView
from ivymux.runtime.clock import SystemClock


def entry(id: str, state: str, seq: int, address: str = "10.0.0.9:80", service: str = "archive") -> list[Any]:
    """A backend, as a registry lists it."""
    return [id, service, address, "hall", 2, state, seq, 0.0]


def snapshot(
    view: MembershipView, registry: str, *entries: list[Any], now: float = 0.0, complete: bool = True
) -> None:
    view.apply_snapshot(registry, "run", 1, complete, entries, [], now)


def test_the_report_with_the_highest_call_number_decides_and_an_end_is_final() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", QUIESCING, 7))
    snapshot(view, "b", entry("i-1", UP, 6))
    assert view.backends["i-1"].state == QUIESCING
    snapshot(view, "c", entry("i-1", OFF, 0))
    snapshot(view, "d", entry("i-1", UP, 9))
    assert view.backends["i-1"].state == OFF


def test_a_later_report_overrules_a_registry_that_lost_the_backend() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", LOST, 5))
    assert view.backends["i-1"].state == LOST
    snapshot(view, "b", entry("i-1", UP, 6))
    assert view.backends["i-1"].state == UP
    view.apply_changes("b", 1, 2, [entry("i-1", LOST, 6)], 5.0)
    assert view.backends["i-1"].state == LOST


def test_changes_after_a_gap_are_not_applied() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 1))
    assert not view.apply_changes("a", 4, 5, [entry("i-1", OFF, 2)], 0.0)
    assert view.backends["i-1"].state == UP
    assert view.apply_changes("a", 1, 5, [entry("i-1", OFF, 2)], 0.0)
    assert view.backends["i-1"].state == OFF


def test_a_backend_is_kept_for_a_while_after_its_registry_disconnects() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 1), now=0.0)
    snapshot(view, "b", now=0.0)
    view.on_disconnected("a", 1.0)
    view.expire_backends(6.0)
    assert view.backends["i-1"].state == UP
    view.expire_backends(7.5)
    assert view.backends["i-1"].state == LOST
    view.on_disconnected("b", 8.0)
    snapshot(view, "a", entry("i-2", UP, 1), now=9.0)
    view.on_disconnected("a", 9.5)
    view.expire_backends(60.0)  # without a connected core machine no backend expires
    assert view.backends["i-2"].state == UP


def test_the_proxies_are_those_that_any_connected_registry_lists() -> None:
    view = MembershipView()
    first, second = ["d1", "10.0.0.1", 7, "hall", 5.0], ["d2", "10.0.0.2", 7, "hall", 5.0]
    view.apply_snapshot("a", "r", 0, True, [], [first], 0.0)
    view.apply_snapshot("b", "r", 0, True, [], [first, second], 0.0)
    assert set(view.proxies()) == {"d1", "d2"}
    view.update_proxies("b", [], ["d2"], 0.0)
    assert set(view.proxies()) == {"d1"}
    view.on_disconnected("a", 1.0)
    view.on_disconnected("b", 1.0)
    assert not view.proxies() and not view.is_connected()


def test_one_door_fewer_moves_only_its_own_names() -> None:
    doors = {f"d{n}": -100.0 for n in range(85)}
    holders = Holders("d0", 0.0)
    holders.use(doors, 0.0)
    before = {name: holders.holder(name, name, 0.0) for name in range(3000)}
    assert 2 <= len(set(before.values())) <= SEATS
    went = before[0]
    assert went is not None
    holders.use({d: at for d, at in doors.items() if d != went}, 1.0)
    moved = {name for name, door in before.items() if holders.holder(name, name, 0.0) != door}
    assert moved == {name for name, door in before.items() if door == went} and moved
    assert holders.missing(1.0) == 1 / 85 and not holders.missing(1.0 + AWAY)


def test_a_door_that_comes_holds_no_window_that_began_before() -> None:
    """Whoever held it is there and knows it; the one that comes would have to take it as spent."""
    doors = {f"d{n}": -100.0 for n in range(8)}
    holders = Holders("d0", -100.0, first=True)
    holders.use(doors, -100.0)
    before = {name: holders.holder(name, name, 15.0) for name in range(600)}
    back = max(set(before.values()), key=str)
    assert back is not None
    holders.use({d: at for d, at in doors.items() if d != back}, 10.0)
    without = {name: holders.holder(name, name, 15.0) for name in range(600)}
    moved = [seat for seat, at in enumerate(holders.changed_at) if at == 10.0]
    assert moved and {name % SEATS for name, door in before.items() if door == back} == set(moved)
    holders.use({**doors, back: 20.0}, 20.1)
    assert {name: holders.holder(name, name, 20.0 + SETTLED - 0.1) for name in range(600)} == without
    assert max(holders.changed_at) == 10.0  # nothing that had begun has moved
    holders.use({**doors, back: 20.4}, 20.5)  # as another registry tells it: the same
    holders.named.clear()
    assert {name: holders.holder(name, name, 20.0 + SETTLED + 0.1) for name in range(600)} == before
    # It opens what began just behind as if it were spent: some may not have heard of it.
    mine = Holders(back, 19.0)
    mine.use({**doors, back: 20.0}, 20.1)
    seat = next(name for name, door in before.items() if door == back)
    assert mine.holder(1, seat, 22.0) == back and not mine.trusted(seat, 1.0, 23.0)
    assert mine.trusted(seat, 1.0, 24.5)
    # With hardly any that were there before, all may hold what had begun.
    young = Holders("d0", 50.0)
    young.use({"d0": -9.0, "d1": -9.0, **{f"d{n}": 50.0 for n in range(2, 8)}}, 50.1)
    assert len({young.holder(name, name, 45.0) for name in range(600)}) > 2


def test_system_time_stays_when_one_machine_jumps() -> None:
    clock = SystemClock(5000.0, 10.0)
    clock.hear("a", 1000.0, 10.0)
    assert clock.read(10.0) == 1000.0
    clock.hear("b", 1000.02, 10.0)
    clock.hear("c", 1002.4, 10.0)  # its time of day had jumped when it started
    assert clock.read(10.0) == 1000.0
    clock.hear("a", 1002.4, 10.0)
    assert clock.read(11.0) == 1003.4  # most of them say so
