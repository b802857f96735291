"""The few registries that send a proxy the list of all proxies, and those that take their place."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import pytest

from ivymux.data_plane.limits import Address
from ivymux.proxy.membership_view import MembershipView
from ivymux.proxy.program import Proxy
from ivymux.proxy.proxy_list_sources import (
    MAX_LIST_SOURCES,
    RegistryLink,
    further_list_sources,
    needs_list_source,
)
from ivymux.registry.program import Registry
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import LocalCluster

from ..sockets import run, until

CORES = MAX_LIST_SOURCES + 3
OTHER_PROXY = ["other", "127.0.0.9", 7, "hall", 1.0]


def links(count: int, sources: int) -> list[RegistryLink]:
    return [
        RegistryLink(f"10.0.0.{n}", "hall" if n == count - 1 else "room", n < sources) for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 3, MAX_LIST_SOURCES])
def test_each_registry_of_a_small_core_sends_lists(count: int) -> None:
    assert all(needs_list_source(links(count, sources)) for sources in range(count))


def test_lost_sources_are_replaced_in_the_own_zone_first() -> None:
    assert not needs_list_source(links(9, MAX_LIST_SOURCES))
    assert further_list_sources(links(9, MAX_LIST_SOURCES), "hall") == []
    assert further_list_sources(links(9, MAX_LIST_SOURCES - 2), "hall") == ["10.0.0.8", "10.0.0.2"]
    assert further_list_sources(links(2, 2), "hall") == []


def test_the_list_is_kept_until_another_registry_has_sent_its_own() -> None:
    view = MembershipView()
    view.apply_snapshot("a", "run", 1, True, [], [OTHER_PROXY], 0.0)
    view.apply_snapshot("b", "run", 1, True, [], None, 0.0)
    assert view.has_proxy_list() and set(view.proxies()) == {"other"}
    view.on_disconnected("a", 1.0)
    assert view.is_connected() and not view.has_proxy_list()
    view.update_proxies("b", [OTHER_PROXY], [], 1.0)
    assert view.has_proxy_list() and set(view.proxies()) == {"other"}


def sources(proxy: Proxy) -> set[str]:
    return {core.ip for core in proxy.cores.values() if core.is_connected and core.sends_proxy_lists}


# Guards against a proxy that takes its tenants' counts from wrong holders, as the registries that list all
# proxies for it are gone.
def test_a_proxy_whose_list_sources_are_all_lost_keeps_the_list_and_finds_others(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path, core_count=CORES)
        registries: dict[str, Registry] = {}
        for ip in cluster.core_ips:
            registries[ip] = Registry(load(cluster.write_settings(ip, True)))
            await registries[ip].listener.start(Address(ip, registries[ip].settings.registry_port))
        proxies = [Proxy(load(cluster.write_settings(ip, True))) for ip in cluster.proxy_ips]
        ids, seen = {proxy.id for proxy in proxies}, []
        for proxy in proxies:
            proxy.add_cores(cluster.core_ips)
        first = proxies[0]
        await until(lambda: all(len(proxy.membership.proxies()) == len(ids) for proxy in proxies))
        await until(lambda: all(core.is_connected for core in first.cores.values()))
        lost = sources(first)
        assert len(lost) == MAX_LIST_SOURCES
        update = first.holders.update_proxies

        def record_proxies(joined_at: Mapping[str, float], now: float) -> None:
            seen.append(set(joined_at))
            update(joined_at, now)

        first.holders.update_proxies = record_proxies  # type: ignore[method-assign]
        for ip in lost:
            registries[ip].listener.close()
        await until(lambda: sources(first) == set(cluster.core_ips) - lost)
        await until(lambda: set(first.membership.proxies()) == ids)
        assert seen and all(joined == ids for joined in seen)
        for proxy in proxies:
            for core in proxy.cores.values():
                core.connector.close()
        for registry in registries.values():
            await registry.stop()
        await cluster.close()

    run(test())
