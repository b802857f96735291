"""orchidhill: the decisions of an admission gateway for a service sold by plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from orchidhill.gateway import Gateway

__all__ = ["Gateway"]


def __getattr__(name: str) -> object:
    """`Gateway`, once it is asked for: a door of the system decides without it, and starts faster."""
    if name != "Gateway":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from orchidhill.gateway import Gateway

    return Gateway
