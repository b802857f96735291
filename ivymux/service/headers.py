"""Which header fields a gateway of ordinary HTTP passes on, and which it sets itself.  Pure."""

from __future__ import annotations

Headers = list[tuple[bytes, bytes]]

# The fields of RFC 9110, 7.6.1, and others that clients send hop by hop.  On each of its two connections the
# gateway frames messages itself.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade http2-settings".split()
)
REQUEST_DROPPED = HOP_BY_HOP | frozenset(
    b"expect content-length host request-timeout request-id ivymux-customer".split()
)
FORWARDING_NAMES = frozenset(
    b"forwarded x-forwarded-for x-forwarded-host x-forwarded-proto x-forwarded-port x-forwarded-prefix"
    b" x-forwarded-server x-real-ip x-original-url x-rewrite-url x-original-uri".split()
)
ANSWER_DROPPED = HOP_BY_HOP | frozenset(b"content-length server-load not-started".split())
# In an answer without a body, Content-Length gives the length that the answer to a GET would have.
BODILESS_ANSWER_DROPPED = ANSWER_DROPPED - {b"content-length"}


def connection_fields(headers: Headers) -> set[bytes]:
    """Return the names of the fields that Connection lists: they are for the next hop only."""
    found: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            found.update(part.strip().lower() for part in value.split(b","))
    return found


def forwardable_fields(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return a request's fields that are passed on to a backend.

    Fields with an underscore in their name are not: some backends read it as a hyphen.
    """
    if hop_by_hop := connection_fields(headers):
        return [p for p in headers if p[0] not in dropped and p[0] not in hop_by_hop and b"_" not in p[0]]
    return [p for p in headers if p[0] not in dropped and b"_" not in p[0]]


def answer_fields(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return a backend's fields that are passed on to the client, unchanged."""
    hop_by_hop = connection_fields(headers)
    return [p for p in headers if p[0] not in dropped and p[0] not in hop_by_hop]


def forwarding_fields(peer_address: str, host: bytes, trusted_fields: Headers) -> bytes:
    """Return the fields `Forwarded` (RFC 7239) and X-Forwarded-* for a backend, as bytes.

    `trusted_fields`: such fields that a trusted proxy sent; the gateway appends to them.
    """
    received: dict[bytes, bytes] = {}
    for name, value in trusted_fields:
        received[name] = received[name] + b", " + value if name in received else value
    node = f'"[{peer_address}]"' if ":" in peer_address else peer_address
    earlier_addresses = received.get(b"x-forwarded-for")
    addresses = (earlier_addresses + b", " if earlier_addresses else b"") + peer_address.encode()
    earlier_elements = received.get(b"forwarded")
    element = b'for=%s;host="%s";proto=http' % (node.encode(), host)
    elements = (earlier_elements + b", " if earlier_elements else b"") + element
    return b"x-forwarded-for: %s\r\nx-forwarded-host: %s\r\nx-forwarded-proto: %s\r\nforwarded: %s\r\n" % (
        addresses, received.get(b"x-forwarded-host", host), received.get(b"x-forwarded-proto", b"http"),
        elements,
    )  # fmt: skip
