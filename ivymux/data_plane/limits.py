"""Network addresses, and limits on the connections and memory of one process."""

from __future__ import annotations

from dataclasses import dataclass

LISTEN_BACKLOG = 1024  # connections that wait to be accepted
# For the event loop, the log, the listening socket and its copy, the discovery client and the counter client;
# each of the two clients needs twice as many while its address changes.
RESERVED_DESCRIPTORS = 29
BODY_MEMORY_SHARE = 1 / 8  # of the process's memory, for request bodies
LONGEST_BODY_MEMORY_SHARE = 0.4  # at the most, for the longest body that clients may send
BODY_MEMORY_PER_BYTE = 9 / 8  # of a body in short pieces, whose blocks grow by an eighth ahead
HEAD_MEMORY_SHARE = 1 / 8  # of the process's memory, for heads that are received, and bytes not parsed yet
MESSAGE_MEMORY_SHARE = 0.45  # of the process's memory, for request bodies and answers together
ANSWER_MEMORY_SHARE = 1 / 4  # of the process's memory, for answers that clients have not read yet


class ConfigError(ValueError):
    """An invalid configuration; its text is a single line."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


def held_body_bytes(memory_mb: float, max_body_bytes: int) -> int:
    """Return how much memory request bodies may take: their usual share, and room for the longest one.

    Where the process has too little memory for that, the longest body is refused.
    """
    memory_bytes = memory_mb * (1 << 20)
    longest = min(LONGEST_BODY_MEMORY_SHARE * memory_bytes, BODY_MEMORY_PER_BYTE * max_body_bytes)
    return int(max(BODY_MEMORY_SHARE * memory_bytes, longest))


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits on the connections and buffers of one process."""

    max_clients: int  # client connections that are served
    surplus_clients: int  # further client connections, whose requests are answered with a refusal
    max_backend_connections: int
    max_held_bytes: int  # of request bodies
    max_held_answer_bytes: int = 1 << 62  # of answers that clients have not read yet
    max_total_head_bytes: int = 16 << 20  # of heads, trailers and what is not parsed yet
    max_message_bytes: int = 1 << 62  # of request bodies and answers together

    @classmethod
    def from_limits(cls, sockets: int, memory_mb: float) -> Bounds:
        """Divide the configured number of sockets and the memory among clients and backends."""
        surplus = max(8, sockets // 16)
        left = sockets - RESERVED_DESCRIPTORS - surplus
        memory_bytes = int(memory_mb * (1 << 20))
        return cls(
            left // 2, surplus, left - left // 2,
            int(memory_bytes * BODY_MEMORY_SHARE), int(memory_bytes * ANSWER_MEMORY_SHARE),
            int(memory_bytes * HEAD_MEMORY_SHARE),
            int(memory_bytes * MESSAGE_MEMORY_SHARE),
        )  # fmt: skip


def parse_address(text: object) -> Address:
    """Parse HOST:PORT.  Raises ConfigError."""
    host, separator, port = str(text).rpartition(":")
    if not (separator and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"not an address of the form HOST:PORT: {text!r}")
    return Address(host, int(port))
