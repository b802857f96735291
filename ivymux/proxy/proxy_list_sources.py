"""Which registries send a proxy the list of all proxies.  Pure.

Each registry can send the whole list, and in a large fleet these lists are most of what crosses zones at a
start.  A proxy takes them from a few registries: it then misses only proxies that are connected to none of
them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_LIST_SOURCES = 4  # a core with up to this many machines sends the lists from each


class RegistryLink(NamedTuple):
    """A connected registry, as a source of lists."""

    ip: str
    zone: str
    sends_lists: bool  # or has been asked to


def needs_list_source(links: Iterable[RegistryLink]) -> bool:
    """Whether a registry that connects should send the list."""
    return sum(link.sends_lists for link in links) < MAX_LIST_SOURCES


def further_list_sources(links: Iterable[RegistryLink], own_zone: str) -> list[str]:
    """Return the registries to ask for the list in place of those that were lost, the proxy's zone first."""
    links = list(links)
    missing = MAX_LIST_SOURCES - sum(link.sends_lists for link in links)
    others = sorted((link.zone != own_zone, link.ip) for link in links if not link.sends_lists)
    return [ip for _, ip in others[: max(0, missing)]]
