"""Which header fields pass a front door of ordinary HTTP, and which it sets.  Pure."""

from __future__ import annotations

Headers = list[tuple[bytes, bytes]]

# RFC 9110, 7.6.1, and what is met beside it.  Framing is the front door's own on each side.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade http2-settings".split()
)
REQUEST_OWN = HOP_BY_HOP | frozenset(
    b"expect content-length host request-timeout request-id ivymux-customer".split()
)
FORWARDED = frozenset(
    b"forwarded x-forwarded-for x-forwarded-host x-forwarded-proto x-forwarded-port x-forwarded-prefix"
    b" x-forwarded-server x-real-ip x-original-url x-rewrite-url x-original-uri".split()
)
ANSWER_OWN = HOP_BY_HOP | frozenset(b"content-length server-load not-started".split())
BODILESS_ANSWER_OWN = ANSWER_OWN - {b"content-length"}  # there it tells what a GET's would be


def named(headers: Headers) -> set[bytes]:
    """The fields that Connection names: they are for the next hop only."""
    found: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            found.update(part.strip().lower() for part in value.split(b","))
    return found


def passing(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Fields that go on.  Those with an underscore do not: some workers take it for a dash."""
    if gone := named(headers):
        return [p for p in headers if p[0] not in dropped and p[0] not in gone and b"_" not in p[0]]
    return [p for p in headers if p[0] not in dropped and b"_" not in p[0]]


def answer_fields(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """A worker's fields that reach the client, as it wrote them."""
    gone = named(headers)
    return [p for p in headers if p[0] not in dropped and p[0] not in gone]


def forwarded(peer: str, host: bytes, before: Headers) -> bytes:
    """`Forwarded` (RFC 7239) and the X-Forwarded-* fields; `before` is what a trusted proxy said."""
    known: dict[bytes, bytes] = {}
    for field, value in before:
        known[field] = known[field] + b", " + value if field in known else value
    name = f'"[{peer}]"' if ":" in peer else peer
    chain = known.get(b"x-forwarded-for")
    addresses = (chain + b", " if chain else b"") + peer.encode()
    path = known.get(b"forwarded")
    element = b'for=%s;host="%s";proto=http' % (name.encode(), host)
    elements = (path + b", " if path else b"") + element
    return b"x-forwarded-for: %s\r\nx-forwarded-host: %s\r\nx-forwarded-proto: %s\r\nforwarded: %s\r\n" % (
        addresses, known.get(b"x-forwarded-host", host), known.get(b"x-forwarded-proto", b"http"), elements
    )  # fmt: skip
