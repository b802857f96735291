"""orchidhill: the decisions of an admission gateway for a service sold by plan."""

from orchidhill.gateway import Gateway

__all__ = ["Gateway"]
