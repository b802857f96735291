"""A registry that is cut off from the proxies acknowledges nothing that binds them."""

from __future__ import annotations

from ivymux.registry.proxy_reachability import REMEMBERED, ProxyReach

ALL = [f"10.0.0.{n}" for n in range(1, 13)]


def reach() -> ProxyReach:
    made = ProxyReach()
    for address in ALL:
        made.connected(address)
    return made


def test_all_or_half_of_the_proxies_suffice() -> None:
    made = reach()
    assert made.suffices(ALL, 10.0) and made.suffices(ALL[:6], 10.0)
    assert not made.suffices(ALL[:5], 10.0)  # connected, but they have not heard


def test_connections_that_ended_count_until_they_are_back_or_long_gone() -> None:
    made = reach()
    for address in ALL[3:]:
        made.disconnected(address, 10.0)
    assert not made.suffices(ALL[:3], 11.0)
    for address in ALL[3:6]:
        made.connected(address)
    assert made.suffices(ALL[:6], 12.0)
    assert made.suffices(ALL[:3], 10.0 + REMEMBERED + 0.1)


def test_a_proxy_that_starts_again_at_its_address_is_one() -> None:
    made = reach()
    for address in ALL:  # its new connection comes before the old one's end is seen
        made.connected(address)
        made.disconnected(address, 10.0)
    assert made.suffices(ALL[:6], 10.0) and not made.lost


def test_without_any_proxy_all_is_acknowledged() -> None:
    assert ProxyReach().suffices([], 10.0)
