"""The membership view that a proxy merges from all registries, counter holders, and the system clock."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from ivymux.proxy.counter_holders import DEPARTED_RESERVE_S, SEATS, SETTLE_S, CounterHolders
from ivymux.proxy.membership_view import LOST, OFF, QUIESCING, UP, MembershipView
from ivymux.runtime.clock import SystemClock


def entry(id: str, state: str, seq: int, address: str = "10.0.0.9:80", service: str = "archive") -> list[Any]:
    """Return a backend's entry in a registry's list."""
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


# Guards against a backend that serves and is sent nothing: it went to another registry for one call and came
# back, which the first registry does not report, as nothing changed there.
def test_a_backend_that_calls_one_registry_is_up_though_another_hears_it_no_more() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 1))
    snapshot(view, "b", entry("i-1", UP, 7))
    view.apply_changes("b", 1, 2, [entry("i-1", LOST, 7)], 3.5)
    assert view.backends["i-1"].state == UP
    view.apply_changes("a", 1, 2, [entry("i-1", LOST, 9)], 9.0)
    assert view.backends["i-1"].state == LOST


def test_a_backend_that_quiesces_holds_its_address_while_one_registry_hears_it() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-0", UP, 1), entry("i-1", QUIESCING, 3))
    snapshot(view, "b", entry("i-1", LOST, 4))
    assert view.holds_address(view.backends["i-1"]) and not view.holds_address(view.backends["i-0"])


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


# Guards against a proxy that was cut off from one registry for some seconds, and then left out the backends
# that call this registry until something about them changed.
def test_what_a_registry_reported_holds_again_once_it_is_connected() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 1))
    snapshot(view, "b")
    view.on_disconnected("a", 1.0)
    view.expire_backends(7.5)
    assert view.backends["i-1"].state == LOST
    snapshot(view, "a", now=8.0, complete=False)
    assert view.backends["i-1"].state == UP


# Guards against a crashed backend that is sent requests for good: the registry that heard it last restarted,
# and another one reported it lost under an earlier call.
def test_a_backend_that_is_only_reported_as_lost_expires() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 7))
    view.on_disconnected("a", 1.0)
    snapshot(view, "b", entry("i-1", LOST, 6), now=1.0)
    view.apply_snapshot("a", "another run", 1, True, [], [], 2.0)
    view.expire_backends(4.0)
    assert view.backends["i-1"].state == UP  # it may be about to call the registry that restarted
    view.expire_backends(8.5)
    assert view.backends["i-1"].state == LOST


# Guards against requests to a backend that leaves: as one that is only silent, it is tried where none is up.
def test_a_quiescing_backend_that_no_registry_hears_any_more_has_ended() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", QUIESCING, 7))
    snapshot(view, "b")
    view.on_disconnected("a", 1.0)
    view.expire_backends(7.5)
    assert view.backends["i-1"].state == OFF


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


def test_a_proxy_that_leaves_moves_only_the_names_that_it_held() -> None:
    proxies = {f"d{n}": -100.0 for n in range(85)}
    holders = CounterHolders("d0", 0.0)
    holders.update_proxies(proxies, 0.0)
    before = {name: holders.find_holder(name, name, 0.0) for name in range(3000)}
    assert 2 <= len(set(before.values())) <= SEATS
    left = before[0]
    assert left is not None
    holders.update_proxies({proxy: at for proxy, at in proxies.items() if proxy != left}, 1.0)
    moved = {name for name, proxy in before.items() if holders.find_holder(name, name, 0.0) != proxy}
    assert moved == {name for name, proxy in before.items() if proxy == left} and moved
    assert holders.missing_share(1.0) == 1 / 85 and not holders.missing_share(1.0 + DEPARTED_RESERVE_S)


def test_a_proxy_that_joins_holds_no_window_that_began_before() -> None:
    """The previous holder has the window's counts; a new holder would have to treat the window as spent."""
    proxies = {f"d{n}": -100.0 for n in range(8)}
    holders = CounterHolders("d0", -100.0, first_start=True)
    holders.update_proxies(proxies, -100.0)
    before = {name: holders.find_holder(name, name, 15.0) for name in range(600)}
    rejoined = max(set(before.values()), key=str)
    assert rejoined is not None
    holders.update_proxies({proxy: at for proxy, at in proxies.items() if proxy != rejoined}, 10.0)
    without = {name: holders.find_holder(name, name, 15.0) for name in range(600)}
    moved = [seat for seat, at in enumerate(holders.seat_changed_at) if at == 10.0]
    assert moved and {name % SEATS for name, proxy in before.items() if proxy == rejoined} == set(moved)
    holders.update_proxies({**proxies, rejoined: 20.0}, 20.1)
    assert {name: holders.find_holder(name, name, 20.0 + SETTLE_S - 0.1) for name in range(600)} == without
    assert max(holders.seat_changed_at) == 10.0  # no window that had begun has moved
    # Another registry reports the same join at a slightly different time.
    holders.update_proxies({**proxies, rejoined: 20.4}, 20.5)
    holders.holder_by_name.clear()
    assert {name: holders.find_holder(name, name, 20.0 + SETTLE_S + 0.1) for name in range(600)} == before
    # The proxy treats windows that began just after its join as spent, as not all others may know of it yet.
    rejoined_view = CounterHolders(rejoined, 19.0)
    rejoined_view.update_proxies({**proxies, rejoined: 20.0}, 20.1)
    seat = next(name for name, proxy in before.items() if proxy == rejoined)
    assert rejoined_view.find_holder(1, seat, 22.0) == rejoined and not rejoined_view.has_full_history(
        seat, 1.0, 23.0
    )
    assert rejoined_view.has_full_history(seat, 1.0, 24.5)
    # With too few proxies that were present before, any proxy may hold a window that had begun.
    few_established = CounterHolders("d0", 50.0)
    few_established.update_proxies({"d0": -9.0, "d1": -9.0, **{f"d{n}": 50.0 for n in range(2, 8)}}, 50.1)
    assert len({few_established.find_holder(name, name, 45.0) for name in range(600)}) > 2


def test_system_time_follows_the_majority_when_one_machine_jumps() -> None:
    clock = SystemClock(5000.0, 10.0)
    clock.update("a", 1000.0, 10.0)
    assert clock.system_time(10.0) == 1000.0
    clock.update("b", 1000.02, 10.0)
    clock.update("c", 1002.4, 10.0)  # its wall clock had jumped at its start
    assert clock.system_time(10.0) == 1000.0
    clock.update("a", 1002.4, 10.0)
    assert clock.system_time(11.0) == 1003.4  # the majority now agrees on the later time


# --- addresses that are used again -------------------------------------------------------------------------


def present(view: MembershipView) -> set[str]:
    return {backend.id for backend in view.present_backends() if backend.state in (UP, QUIESCING)}


def changed(view: MembershipView) -> set[str]:
    return {backend.id for backend in view.drain_changes()}


# Guards against the review's case 6: the news that a crashed backend is silent took the address back from its
# successor, which was then never sent a request again.
def test_late_news_of_a_backend_leaves_its_address_to_the_successor() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 5))
    view.apply_changes("a", 1, 2, [entry("i-2", UP, 1)], 1.0)
    assert present(view) == {"i-2"} and changed(view) == {"i-1", "i-2"}
    view.apply_changes("a", 2, 3, [entry("i-1", LOST, 5)], 3.5)
    assert present(view) == {"i-2"} and "i-2" in changed(view)
    view.apply_changes("a", 3, 4, [entry("i-1", UP, 6)], 4.0)  # a call of its that was late
    assert present(view) == {"i-2"}
    view.apply_changes("a", 4, 5, [entry("i-1", OFF, 7)], 5.0)
    assert present(view) == {"i-2"}


def test_an_address_that_is_used_by_another_service_belongs_to_that_one() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 5, service="archive"))
    snapshot(view, "b", entry("i-2", UP, 1, service="desk"))
    view.on_disconnected("a", 1.0)
    view.expire_backends(8.0)
    assert present(view) == {"i-2"}


def test_a_list_in_any_order_leaves_the_address_to_the_backend_that_serves() -> None:
    for order in ((entry("i-1", LOST, 5), entry("i-2", UP, 1)), (entry("i-2", UP, 1), entry("i-1", LOST, 5))):
        view = MembershipView()
        snapshot(view, "a", *order)
        assert present(view) == {"i-2"}


def test_a_predecessor_that_is_learned_of_last_gives_the_address_back_once_it_is_lost() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-2", UP, 1))
    snapshot(view, "b", entry("i-1", UP, 5))
    view.drain_changes()
    view.apply_changes("b", 1, 2, [entry("i-1", LOST, 5)], 3.0)
    assert present(view) == {"i-2"} and changed(view) == {"i-1", "i-2"}


def test_a_backend_that_moves_leaves_its_address_to_whoever_is_there() -> None:
    view = MembershipView()
    snapshot(view, "a", entry("i-1", UP, 5), entry("i-2", UP, 1))
    assert present(view) == {"i-2"}
    view.apply_changes("a", 1, 2, [entry("i-2", UP, 2, "10.0.0.8:80")], 1.0)
    assert present(view) == {"i-1", "i-2"}
    view.apply_changes("a", 2, 3, [entry("i-2", LOST, 2, "10.0.0.8:80")], 2.0)
    view.expire_backends(200.0)
    assert present(view) == {"i-1"} and "10.0.0.8:80" not in view.address_claims.claimants


NEWS = st.lists(
    st.tuples(
        st.sampled_from("abc"),  # a registry
        st.integers(0, 2),  # a former life of the machine at the address
        st.sampled_from([UP, QUIESCING, LOST, OFF]),
    ),
    max_size=20,
)


@given(NEWS, NEWS, st.sampled_from("abc"))
def test_the_last_life_at_an_address_is_present_once_the_former_ones_are_lost(
    before: list[tuple[str, int, str]], after: list[tuple[str, int, str]], registry_of_last: str
) -> None:
    view = MembershipView()
    for registry in "abc":
        snapshot(view, registry)
    lost = [(registry, life, LOST) for registry in "abc" for life in range(3)]
    sequence = dict.fromkeys("abc", 1)
    for number, (registry, life, state) in enumerate([*before, (registry_of_last, 9, UP), *after, *lost]):
        sequence[registry] += 1
        news = [entry(f"i-{life}", state, number)]
        assert view.apply_changes(registry, sequence[registry] - 1, sequence[registry], news, 1.0)
    assert present(view) == {"i-9"}
