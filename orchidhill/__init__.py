"""Decisions of an admission gateway for a service with customers, plans and quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from orchidhill.gateway import Gateway

__all__ = ["Gateway"]


def __getattr__(name: str) -> object:
    """Import `Gateway` on first use: a proxy starts faster without it."""
    if name != "Gateway":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from orchidhill.gateway import Gateway

    return Gateway
