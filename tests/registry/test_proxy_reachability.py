"""A registry that is partitioned from the proxies acknowledges nothing that must hold at them."""

from __future__ import annotations

from ivymux.registry.proxy_reachability import RETENTION_S, ProxyReachability

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
