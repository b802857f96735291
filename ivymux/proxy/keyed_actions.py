"""Actions that carry an idempotency key: parsing, digests, and stored answers.  Pure.

The key is the value of the `Idempotency-Key` header (IETF draft "The Idempotency-Key HTTP Header Field"): a
quoted string, or a bare token.  Keys are scoped to a tenant: equal keys of two tenants are different keys.
"""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from ivymux.data_plane.body_buffer import Blocks, total_length
from ivymux.data_plane.frontend import Answer, BadRequest, Headers
from ivymux.idempotency.record_store import ANSWERED, IN_PROGRESS, KEY_DIGITS, LIMIT_REACHED, MISMATCH

HEADER = b"idempotency-key"
KEY = re.compile(rb'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\]){1,255})"|([!#-\[\]-~]{1,255})')
REPLAYED = (b"idempotent-replayed", b"true")
PER_ATTEMPT_HEADERS = frozenset((b"try-id", b"connection", b"keep-alive"))  # not stored with an answer
UNKNOWN_OUTCOME_TEXT = b"whether this action ran is not known; it is not sent again\n"
MIN_IN_PROGRESS_RETRY_S = 0.05
MIN_LIMIT_REACHED_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class Action:
    """One action, identified by its key; all fields but the tenant are digests."""

    key: str
    tenant: str
    request_digest: str  # of its method, host and target
    body_digest: str
    conversation: str


DIGEST_BYTES = 8


def digest(*parts: bytes, size: int = DIGEST_BYTES) -> str:
    """Digest parts unambiguously: each is preceded by its length."""
    hasher = blake2b(digest_size=size)
    for part in parts:
        hasher.update(b"%d:" % len(part))
        hasher.update(part)
    return hasher.hexdigest()


def digest_body(blocks: Blocks) -> str:
    """Digest a body as `digest` does a single part."""
    hasher = blake2b(b"%d:" % total_length(blocks), digest_size=DIGEST_BYTES)
    for block in blocks:
        hasher.update(block)
    return hasher.hexdigest()


def parse_key(headers: Headers) -> bytes:
    """Return the caller's key.  Raises BadRequest."""
    values = [value for field, value in headers if field == HEADER]
    match = KEY.fullmatch(values[0]) if len(values) == 1 else None
    if match is None:
        raise BadRequest('Idempotency-Key: send it once, as a text of 1 to 255 characters in quotes: "a-key"')
    return match[1] if match[1] is not None else match[2]


def make_action(
    headers: Headers, tenant: str, authorization: bytes, conversation_header: bytes, method: bytes,
    host: bytes, target: bytes, body: Blocks,
) -> Action:  # fmt: skip
    """Make the action of a request.

    A request without the conversation header belongs to the conversation of the caller's credentials.
    Raises BadRequest.
    """
    name = next(
        (value for field, value in headers if conversation_header and field == conversation_header), b""
    )
    return Action(
        key=digest(tenant.encode(), parse_key(headers), size=KEY_DIGITS // 2),
        tenant=tenant,
        request_digest=digest(method, host, target),
        body_digest=digest_body(body),
        conversation=digest(b"named", name) if name else digest(b"caller", authorization),
    )


def encode_answer(answer: Answer, max_chars: int) -> str:
    """Encode an answer for its idempotency record; empty if it is longer than `max_chars`."""
    if answer.body_length > max_chars:
        return ""
    fields = [
        [name.decode("latin-1"), value.decode("latin-1")]
        for name, value in answer.headers or ()
        if name not in PER_ATTEMPT_HEADERS
    ]
    record = [answer.status, fields, b64encode(answer.whole_body()).decode()]
    text = msgspec.json.encode(record).decode()
    return text if len(text) <= max_chars else ""


def replay_answer(text: str, try_id: bytes) -> Answer:
    """Decode a stored answer for a retry of its action."""
    record: Any = msgspec.json.decode(text)
    status, fields, body = record
    headers = [(str(name).encode("latin-1"), str(value).encode("latin-1")) for name, value in fields]
    if try_id:
        headers.append((b"try-id", try_id))
    return Answer(int(status), b64decode(body), headers=[*headers, REPLAYED])


def answer_for_verdict(verdict: str, after: float, stored: str, difference: str, try_id: bytes) -> Answer:
    """The answer to an action that is not sent to a backend.

    `after`: seconds until a retry; `stored`: the stored answer, if any; `difference`: which part of the
    request differs from the first one with its key.
    """
    if verdict == IN_PROGRESS:
        return Answer(
            409, b"an action with this key is at work\n", retry_after=max(MIN_IN_PROGRESS_RETRY_S, after)
        )
    if verdict == ANSWERED:
        if not stored:
            return Answer(409, b"this action has run; its answer was not kept\n")
        return replay_answer(stored, try_id)
    if verdict == MISMATCH:
        return Answer(
            422, f"this key was sent with another {difference}; give each action its own\n".encode()
        )
    if verdict == LIMIT_REACHED:
        return Answer(
            429,
            b"too many actions are remembered for this caller\n",
            retry_after=max(MIN_LIMIT_REACHED_RETRY_S, after),
        )
    return Answer(502, UNKNOWN_OUTCOME_TEXT)
