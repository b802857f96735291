"""The status pages of a proxy: readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ivymux.data_plane.body_buffer import Blocks
from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.proxy.frontend import REASONS

READINESS = b"/readiness"
METRICS = b"/metrics"

Page = Callable[[], Answer]


class StatusPagesFrontend:
    """A frontend that answers all requests itself, by their path."""

    allows_half_close = False
    closes_after_refusal = False
    header_too_large_status = 431
    max_unread_clients = 10
    max_body_bytes = 1024

    def __init__(self, pages: Mapping[bytes, Page]) -> None:
        self.pages = pages

    def answer_locally(self, target: bytes) -> Answer | None:
        page = self.pages.get(target.partition(b"?")[0])
        return page() if page is not None else Answer(404)

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Blocks,
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        raise BadRequest("nothing else here", 404)

    def refusal(self, error: BadRequest) -> Answer:
        return Answer(error.status)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> Blocks:
        close_header = b"connection: close\r\n" if close else b""
        reason = REASONS.get(answer.status, "Answer").encode()
        head = b"HTTP/1.1 %d %s\r\ncontent-length: %d\r\n%s\r\n" % (
            answer.status, reason, len(answer.body), close_header
        )  # fmt: skip
        return head, answer.body
