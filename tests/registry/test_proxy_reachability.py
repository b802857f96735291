"""A registry that is partitioned from the proxies acknowledges nothing that must hold at them."""

from __future__ import annotations

from ivymux.registry.proxy_reachability import RETENTION_S, SETTLE_S, ProxyReachability

ALL = [f"10.0.0.{n}" for n in range(1, 13)]


def all_connected() -> ProxyReachability:
    proxies = ProxyReachability()
    for address in ALL:
        proxies.on_connect(address)
    return proxies


def test_half_of_the_connected_proxies_suffices() -> None:
    proxies = all_connected()
    assert proxies.is_sufficient(ALL, 10.0) and proxies.is_sufficient(ALL[:6], 10.0)
    assert not proxies.is_sufficient(ALL[:5], 10.0)  # the others are connected, but have not acknowledged


def test_disconnected_proxies_count_until_the_retention_time_is_over() -> None:
    proxies = all_connected()
    for address in ALL[3:]:
        proxies.on_disconnect(address, 10.0)
    assert not proxies.is_sufficient(ALL[:3], 11.0)
    for address in ALL[3:6]:
        proxies.on_connect(address)
    assert proxies.is_sufficient(ALL[:6], 12.0)
    assert proxies.is_sufficient(ALL[:3], 10.0 + RETENTION_S + 0.1)


def test_a_proxy_that_restarts_at_its_address_counts_once() -> None:
    proxies = all_connected()
    for address in ALL:  # the new connection is accepted before the end of the old one is noticed
        proxies.on_connect(address)
        proxies.on_disconnect(address, 10.0)
    assert proxies.is_sufficient(ALL[:6], 10.0) and not proxies.disconnected_at


def test_without_any_proxy_every_call_is_acknowledged() -> None:
    assert ProxyReachability().is_sufficient([], 10.0)


# Guards against the review's case 8: a registry that was restarted while it was cut off acknowledged a
# departure that no proxy had heard of, as none of no proxies is at least half.
def test_a_registry_that_starts_while_it_is_cut_off_acknowledges_nothing() -> None:
    proxies = ProxyReachability(knows_fleet=False)
    assert not proxies.may_confirm_departure([], 1.0)  # nothing is known of the core yet
    proxies.update_contact(False, 1.0)
    proxies.on_connect(ALL[0])  # the only proxy on its side
    assert not proxies.may_confirm_departure(ALL[:1], 60.0)


def test_a_registry_that_starts_acknowledges_once_the_proxies_in_touch_have_connected() -> None:
    proxies = ProxyReachability(knows_fleet=False)
    proxies.update_contact(True, 1.0)
    assert not proxies.may_confirm_departure([], 1.0 + SETTLE_S / 2)
    for address in ALL:
        proxies.on_connect(address)
    assert proxies.may_confirm_departure(ALL[:6], 1.0 + SETTLE_S)
    proxies.update_contact(False, 9.0)  # the core is cut into halves, and all proxies reach this one
    assert proxies.may_confirm_departure(ALL, 10.0)


# Guards against a registry that forgets, as the core is cut into halves, that it knew its proxies.
def test_a_registry_knows_its_proxies_though_no_backend_has_left_before() -> None:
    proxies = ProxyReachability(knows_fleet=False)
    proxies.update_contact(True, 1.0)
    for address in ALL:
        proxies.on_connect(address)
    proxies.update_contact(False, 60.0)
    assert proxies.may_confirm_departure(ALL, 61.0)


def test_a_registry_that_is_cut_off_forgets_no_proxy() -> None:
    proxies = all_connected()
    proxies.update_contact(True, 0.0)
    proxies.update_contact(False, 9.0)
    for address in ALL:
        proxies.on_disconnect(address, 10.0)
    assert not proxies.may_confirm_departure([], 10.0 + 3 * RETENTION_S)
    proxies.update_contact(True, 100.0)
    assert not proxies.may_confirm_departure([], 100.0 + RETENTION_S / 2)
    assert proxies.may_confirm_departure(
        [], 100.0 + RETENTION_S
    )  # the only proxies that it knew are gone for good


def test_a_registry_that_is_cut_off_and_knows_no_proxy_acknowledges_nothing() -> None:
    proxies = ProxyReachability()
    proxies.update_contact(False, 1.0)
    assert not proxies.may_confirm_departure([], 2.0)


def test_calls_of_backends_that_stay_are_acknowledged_while_all_machines_start() -> None:
    proxies = ProxyReachability(knows_fleet=False)
    assert proxies.is_sufficient([], 1.0)
    proxies.update_contact(False, 1.0)
    for address in ALL:
        proxies.on_connect(address)
    assert proxies.is_sufficient(ALL[:6], 1.1) and not proxies.is_sufficient(ALL[:5], 1.1)
