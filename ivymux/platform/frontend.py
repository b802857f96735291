"""The frontend for the platform's protocol, which carries a request's terms in its headers."""

from __future__ import annotations

import time
from collections.abc import Callable

from ivymux.data_plane.body_buffer import Blocks
from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.platform.protocol_settings import TermsReader
from orchidhill import interface as i

MAX_BODY_BYTES = 64 * 1024  # of a request, by the protocol
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 409: "Conflict",
    413: "Content Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length request-timeout".split()
)


class PlatformFrontend:
    """Reads requests and writes answers by the platform's protocol."""

    max_body_bytes = MAX_BODY_BYTES
    header_too_large_status = 400
    allows_half_close = False
    closes_after_refusal = True
    max_unread_clients = 1 << 30  # unlimited, as answers are small by the protocol

    def __init__(self, terms_reader: TermsReader, is_ready: Callable[[], bool]) -> None:
        self.terms_reader, self.is_ready = terms_reader, is_ready

    def answer_locally(self, target: bytes) -> Answer | None:
        return Answer(200 if self.is_ready() else 503) if target == b"/-/ready" else None

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Blocks,
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        terms = self.terms_reader.read(method, target, headers)
        deadline = received_at + terms.timeout
        content = b"".join(body)
        head = b"%s %s HTTP/1.1\r\n" % (method, target) + b"".join(
            b"%s: %s\r\n" % pair for pair in headers if pair[0] not in HOP_BY_HOP
        )
        if method == b"POST" or content:
            head += b"Content-Length: %d\r\n" % len(content)

        def make_payload(time_left: float) -> bytes:
            return b"%sRequest-Timeout: %dm\r\n\r\n" % (head, max(1, int(time_left * 1000)))

        def make_event(request: int) -> i.Request:
            return i.Request(
                request, terms.cls, terms.plan, terms.customer, deadline - time.monotonic(), terms.units,
                terms.spread, terms.first, terms.is_retry, method == b"POST",
            )  # fmt: skip

        return Call(terms.request_id, deadline, make_event, make_payload, body=(content,))

    def refusal(self, error: BadRequest) -> Answer:
        return Answer(error.status, f"{error}\n".encode(), retry_after=1.0 if error.status == 503 else 0.0)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> Blocks:
        body = answer.whole_body()
        head = f"HTTP/1.1 {answer.status} {REASONS[answer.status]}\r\nContent-Length: {len(body)}\r\n"
        if answer.retry_after > 0:
            head += f"Retry-After: {answer.retry_after:.3f}\r\n"
        if close:
            head += "Connection: close\r\n"
        if answer.content_type:
            return (head.encode() + b"Content-Type: " + answer.content_type + b"\r\n\r\n" + body,)
        return (head.encode() + b"\r\n" + body,)
