"""Problem details (RFC 9457): the bodies of error answers that the gateway itself gives.  Pure."""

from __future__ import annotations

import json
from http import HTTPStatus

MEDIA_TYPE = b"application/problem+json"
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
TITLES = {
    400: "The request can't be read in one way only",
    401: "No known key",
    403: "The plan does not allow it",
    404: "No such path",
    405: "No such method here",
    408: "The request did not come whole in time",
    413: "The request is too large",
    429: "The quota is used up for now",
    431: "The header section is too large",
    500: "The front door failed",
    501: "Not served here",
    502: "The worker failed",
    503: "No worker has room for it now",
    504: "The worker did not answer in time",
}
NOT_RUN = "Nothing was done; the request may be sent again."
MAY_HAVE_RUN = "It may have been done; look before it is sent again."


def problem_body(status: int, detail: str, request_id: str) -> bytes:
    """Return the body of an error answer; empty texts leave their member out."""
    members: dict[str, object] = {
        "type": "about:blank", "title": TITLES.get(status, "Error"), "status": status,
    }  # fmt: skip
    if detail:
        members["detail"] = detail
    if request_id:
        members["instance"] = f"urn:request:{request_id}"
    return json.dumps(members, separators=(",", ":")).encode()
