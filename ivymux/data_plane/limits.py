"""Addresses, and what one process may hold."""

from __future__ import annotations

from dataclasses import dataclass

LISTEN_BACKLOG = 1024  # connections that wait to be taken
RESERVED_DESCRIPTORS = (
    28  # descriptors kept for discovery, the counter (both may be moving), the loop and the log
)
BODY_MEMORY_SHARE = 1 / 8  # of the memory, for the bodies of requests


class ConfigError(ValueError):
    """A configuration that cannot be served; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Bounds:
    """What the process may hold, from the configuration's limits."""

    max_clients: int  # client connections
    surplus_clients: int  # and above those, that are still answered, with a refusal
    max_backend_connections: int  # connections to backends
    max_held_bytes: int  # bytes of requests' bodies

    @classmethod
    def from_limits(cls, sockets: int, memory_mb: float) -> Bounds:
        surplus = max(8, sockets // 16)
        left = sockets - RESERVED_DESCRIPTORS - surplus
        return cls(left // 2, surplus, left - left // 2, int(memory_mb * BODY_MEMORY_SHARE * (1 << 20)))


def parse_address(text: object) -> Address:
    host, sep, port = str(text).rpartition(":")
    if not (sep and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"not an address of the form HOST:PORT: {text!r}")
    return Address(host, int(port))
